#include "confsync_internal.h"

/* Larger values are not pushed; a peer that lacks one requests it. */
#define MAX_PUSHED_VALUE_BYTES 4096
/* More are left to the digest comparison, which is cheaper in bulk. */
#define MAX_QUEUED_UPDATES 128
/* Bound of the overdraft, in messages of the largest size. */
#define OVERDRAFT_MESSAGES 2
/* An item is not requested from another peer within this time of a request. */
#define REQUEST_RETRY_US (500 * USEC_PER_MSEC)

/* Bytes by which updates may overdraw the send budget. */
static int64_t max_overdraft(const struct confsync *c)
{
	return (int64_t)OVERDRAFT_MESSAGES * c->settings.max_message_bytes;
}

/* Removes the entry from the update queue. */
void confsync_update_drop(struct confsync *c, struct entry *entry)
{
	struct conf_update_queue *updates = &c->updates;

	if (!entry->update_queued)
		return;
	if (entry->update_prev)
		entry->update_prev->update_next = entry->update_next;
	else
		updates->head = entry->update_next;
	if (entry->update_next)
		entry->update_next->update_prev = entry->update_prev;
	else
		updates->tail = entry->update_prev;
	entry->update_next = entry->update_prev = NULL;
	entry->update_queued = false;
	updates->count--;
}

/* Queues the entry's current item to be pushed with the next tick. */
void confsync_update_add(struct confsync *c, struct entry *entry)
{
	struct conf_update_queue *updates = &c->updates;

	confsync_update_drop(c, entry);
	if (updates->count >= MAX_QUEUED_UPDATES)
		return;
	if (!updates->count)
		updates->next_at_us = 0;
	entry->update_sent = 0;
	entry->update_queued = true;
	entry->update_prev = updates->tail;
	if (updates->tail)
		updates->tail->update_next = entry;
	else
		updates->head = entry;
	updates->tail = entry;
	updates->count++;
}

/*
 * Adds queued entries up to the message limit; returns the first that did not
 * fit. Only the first round carries the value: later most members have it, and
 * key and revision are enough for the others to request it.
 */
static struct entry *add_queued_updates(struct confsync *c, struct conf_out *o)
{
	struct entry *entry;

	for (entry = c->updates.head; entry; entry = entry->update_next) {
		bool body = !entry->update_sent && entry_is_live(entry) &&
			    strlen(entry->item->json) <= MAX_PUSHED_VALUE_BYTES;

		if (!conf_out_item(o, entry, body,
				   c->settings.max_message_bytes))
			break;
	}
	return entry;
}

static void send_to_random_peers(struct confsync *c)
{
	unsigned i;

	for (i = 0; i < c->settings.fanout; i++) {
		const struct member_info *to = confsync_neighbour(c);
		struct conf_out o;

		if (!to)
			return;
		conf_out_init(&o, CONF_UPDATE);
		add_queued_updates(c, &o);
		confsync_send(c, to, &o);
	}
}

/*
 * Pushes queued updates. They may overdraw the send budget up to a bound, so
 * that repairs never delay a change that an operator makes now.
 */
void confsync_update_tick(struct confsync *c, uint64_t now_us)
{
	struct conf_update_queue *updates = &c->updates;
	struct entry *entry, *next, *end;
	struct conf_out o;

	if (!updates->count || now_us < updates->next_at_us ||
	    c->tokens <= -max_overdraft(c))
		return;
	updates->next_at_us = now_us + c->settings.round_interval_us;
	send_to_random_peers(c);
	/* Selects the same entries again to count the round. */
	conf_out_init(&o, CONF_UPDATE);
	end = add_queued_updates(c, &o);
	conf_out_clear(&o);
	for (entry = updates->head; entry != end; entry = next) {
		next = entry->update_next;
		if (++entry->update_sent >= c->settings.rounds)
			confsync_update_drop(c, entry);
	}
}

/*
 * Whether to request an item, from one peer within REQUEST_RETRY_US; notes the
 * request if so.
 */
static bool should_request(struct confsync *c, const struct conf_item *in,
			   uint64_t now_us)
{
	char *key = str_dup(in->key);
	struct entry *entry = confsync_table_find(&c->table, key);
	bool request = in->revision > entry_revision(entry);

	if (request && !entry && in->revision <= confsync_revision(c))
		request = false; /* was removed before, see is_resurrection() */
	if (request && entry && in->revision <= entry->bad_revision)
		request = false;
	if (request) {
		entry = confsync_table_get(&c->table, key);
		request = entry->requested_revision < in->revision ||
			  now_us >= entry->request_again_at_us;
	}
	if (request) {
		entry->requested_revision = in->revision;
		entry->request_again_at_us = now_us + REQUEST_RETRY_US;
	}
	g_free(key);
	return request;
}

static void apply_update(struct confsync *c, const struct conf_item *in)
{
	struct entry *entry;
	char *key;

	if (confsync_apply(c, in, false, NULL) != APPLY_DONE)
		return;
	key = str_dup(in->key);
	entry = confsync_table_find(&c->table, key);
	if (entry)
		confsync_update_add(c, entry);
	g_free(key);
}

/* Applies and forwards items that carry their value; requests the others. */
void confsync_on_update(struct confsync *c, const struct conf_message *msg,
			const struct member_info *from, uint64_t now_us)
{
	struct conf_out o;
	unsigned i;

	conf_out_init(&o, CONF_REQUEST);
	o.as_update = true;
	for (i = 0; i < msg->items->len; i++) {
		const struct conf_item *in =
			&g_array_index(msg->items, struct conf_item, i);

		if (in->removed || in->has_json)
			apply_update(c, in);
		else if (from && should_request(c, in, now_us))
			conf_out_key(&o, in->key, in->revision, false,
				     c->settings.max_message_bytes);
	}
	if (o.items->len)
		confsync_send(c, from, &o);
	else
		conf_out_clear(&o);
}

/* Sends requested items; only updates may overdraw the send budget. */
void confsync_on_request(struct confsync *c, const struct conf_message *msg,
			 const struct member_info *from)
{
	int64_t min_tokens = msg->as_update ? -max_overdraft(c) : 0;
	struct conf_out o;
	unsigned i;

	if (c->tokens <= min_tokens)
		return;
	conf_out_init(&o, msg->as_update ? CONF_UPDATE : CONF_ITEMS);
	for (i = 0; i < msg->items->len; i++) {
		const struct conf_item *in =
			&g_array_index(msg->items, struct conf_item, i);
		char *key = str_dup(in->key);
		struct entry *entry = confsync_table_find(&c->table, key);

		g_free(key);
		if (entry && entry->item &&
		    !conf_out_item(&o, entry, true,
				   c->settings.max_message_bytes))
			break;
	}
	if (o.items->len)
		confsync_send(c, from, &o);
	else
		conf_out_clear(&o);
}
