#include "confsync_internal.h"

#include <string.h>

/* The initial fetch tries another peer when no answer came within this time. */
#define FETCH_TIMEOUT_US USEC_PER_SEC
/* Delay of the next attempt after CONF_BUSY. */
#define FETCH_BUSY_RETRY_US (200 * USEC_PER_MSEC)
/* One of so many digests goes to a member of another data centre. */
#define REMOTE_DIGEST_INTERVAL 8
/* Size limit of a CONF_KEYS message unless its first bucket is larger. */
#define MAX_KEYS_BYTES 8192

static void send_header(struct confsync *c, const struct member_info *to,
			enum conf_type type)
{
	struct conf_out o;

	conf_out_init(&o, type);
	confsync_send(c, to, &o);
}

/*
 * Initial fetch: a node that starts gets all items from peers, so that the
 * store need not be up. It asks a random peer for each part, to spread the
 * load.
 */
static void fetch_tick(struct confsync *c, uint64_t now_us)
{
	const struct member_info *to;
	struct conf_out o;

	if (now_us < c->next_fetch_at_us)
		return;
	to = confsync_neighbour(c);
	if (!to)
		return;
	c->fetch_pending = true;
	c->next_fetch_at_us = now_us + FETCH_TIMEOUT_US;
	conf_out_init(&o, CONF_FETCH);
	o.cursor = c->fetch_cursor;
	confsync_send(c, to, &o);
}

/*
 * Sends a digest to a neighbour; now and then to a member of another data
 * centre, so that neighbours which share a stale table are repaired too.
 */
static void digest_tick(struct confsync *c, uint64_t now_us)
{
	const struct member_info *to;

	if (now_us < c->next_digest_at_us)
		return;
	c->next_digest_at_us = now_us + c->settings.digest_interval_us;
	to = ++c->digests_sent % REMOTE_DIGEST_INTERVAL ?
		     confsync_neighbour(c) :
		     confsync_remote_member(c);
	if (to)
		send_header(c, to, CONF_DIGEST);
}

/* Runs the initial fetch until the node is ready, later sends digests. */
void confsync_repair_tick(struct confsync *c, uint64_t now_us)
{
	if (c->ready)
		digest_tick(c, now_us);
	else
		fetch_tick(c, now_us);
}

/*
 * Equal tables need no answer, unless this node's revision is higher; when they
 * differ, the bucket hashes are sent.
 */
void confsync_on_digest(struct confsync *c, const struct conf_message *msg,
			const struct member_info *from)
{
	struct conf_out o;

	if (!c->ready)
		return;
	if (msg->hash == c->table.hash) {
		if (msg->revision < confsync_revision(c))
			send_header(c, from, CONF_REVISION);
		return;
	}
	if (c->tokens <= 0)
		return;
	conf_out_init(&o, CONF_BUCKETS);
	o.buckets = true;
	o.size += sizeof(msg->buckets);
	confsync_send(c, from, &o);
}

/* The entries of the wanted buckets; NULL for an empty bucket. */
struct by_bucket {
	const bool *wanted;
	GPtrArray *entries[CONFSYNC_BUCKETS];
};

static gboolean collect_by_bucket(gpointer key, gpointer value, gpointer user)
{
	struct by_bucket *by = user;
	struct entry *entry = value;
	unsigned bucket = confsync_bucket(entry);

	(void)key;
	if (!by->wanted[bucket] || (!entry->item && !entry->bad_revision))
		return FALSE;
	if (!by->entries[bucket])
		by->entries[bucket] = g_ptr_array_new();
	g_ptr_array_add(by->entries[bucket], entry);
	return FALSE;
}

/*
 * Adds all entries of a bucket, or none and returns false; the first bucket is
 * always added. A rejected value is listed as known, otherwise peers would send
 * it again and again.
 */
static bool add_bucket(struct conf_out *o, GPtrArray *entries)
{
	size_t size = o->size;
	unsigned i, before = o->items->len;

	for (i = 0; entries && i < entries->len; i++) {
		struct entry *entry = g_ptr_array_index(entries, i);
		uint64_t own = entry_revision(entry);
		bool bad = entry->bad_revision > own;

		if (conf_out_key(o, str_from_c(entry->key),
				 bad ? entry->bad_revision : own,
				 !bad && !entry_is_live(entry),
				 before ? MAX_KEYS_BYTES : SIZE_MAX))
			continue;
		g_array_set_size(o->items, before);
		o->size = size;
		return false;
	}
	return true;
}

/*
 * Answers with keys and revisions of the buckets that differ, starting at a
 * random one since not all may fit.
 */
void confsync_on_buckets(struct confsync *c, const struct conf_message *msg,
			 const struct member_info *from)
{
	uint8_t mask[CONFSYNC_MASK_BYTES] = { 0 };
	bool wanted[CONFSYNC_BUCKETS];
	struct by_bucket by = { .wanted = wanted };
	unsigned i, start = g_rand_int(c->rng) % CONFSYNC_BUCKETS;
	struct conf_out o;

	if (!msg->has_buckets || c->tokens <= 0)
		return;
	for (i = 0; i < CONFSYNC_BUCKETS; i++)
		wanted[i] = msg->buckets[i] != (uint32_t)c->table.buckets[i];
	g_tree_foreach(c->table.entries, collect_by_bucket, &by);
	conf_out_init(&o, CONF_KEYS);
	o.mask = mask;
	o.size += sizeof(mask);
	for (i = 0; i < CONFSYNC_BUCKETS; i++) {
		unsigned bucket = (start + i) % CONFSYNC_BUCKETS;

		if (!wanted[bucket])
			continue;
		if (!add_bucket(&o, by.entries[bucket]))
			break;
		mask[bucket / 8] |= (uint8_t)(1U << bucket % 8);
	}
	for (i = 0; i < CONFSYNC_BUCKETS; i++) {
		if (by.entries[i])
			g_ptr_array_free(by.entries[i], TRUE);
	}
	confsync_send(c, from, &o);
}

/* Comparison of the table with a peer's CONF_KEYS message. */
struct compare {
	struct confsync *c;
	const struct conf_message *msg;
	GHashTable *peer_keys; /* set of the keys in the message */
	GPtrArray *removed_by_peer; /* entries that the peer knows as removed */
	struct conf_out items; /* what the peer lacks */
	struct conf_out request; /* what is missing here */
};

/*
 * Compares one item of the peer: sends a newer one or a tombstone, applies a
 * removal, or requests the item.
 */
static void compare_peer_item(struct compare *cmp, const struct conf_item *in)
{
	struct confsync *c = cmp->c;
	char *key = str_dup(in->key);
	struct entry *entry = confsync_table_find(&c->table, key);
	uint64_t own = entry_revision(entry);
	uint64_t complete = confsync_revision(c);
	size_t limit = c->settings.max_message_bytes;

	if (in->revision < own)
		conf_out_item(&cmp->items, entry, true, limit);
	else if (in->revision > own && in->removed)
		confsync_apply(c, in, false, NULL);
	else if (in->revision > own && !own && in->revision <= complete)
		conf_out_key(&cmp->items, in->key, complete, true, limit);
	else if (in->revision > own &&
		 (!entry || in->revision > entry->bad_revision))
		conf_out_key(&cmp->request, in->key, in->revision, false,
			     limit);
	g_free(key);
}

static bool in_mask(const struct conf_message *msg, const struct entry *entry)
{
	unsigned bucket = confsync_bucket(entry);

	return msg->mask.len &&
	       (uint8_t)msg->mask.data[bucket / 8] >> bucket % 8 & 1;
}

/*
 * Compares an entry that the peer does not list. If the peer's table is
 * complete up to the entry's revision or beyond, the item was removed;
 * otherwise the peer lacks it.
 */
static gboolean compare_own_entry(gpointer key, gpointer value, gpointer user)
{
	struct compare *cmp = user;
	struct entry *entry = value;

	if (!entry->item || !in_mask(cmp->msg, entry) ||
	    g_hash_table_contains(cmp->peer_keys, key))
		return FALSE;
	if (entry_revision(entry) <= cmp->msg->revision) {
		if (entry_is_live(entry))
			g_ptr_array_add(cmp->removed_by_peer, entry);
		return FALSE;
	}
	return !conf_out_item(&cmp->items, entry, true,
			      cmp->c->settings.max_message_bytes);
}

/* Removes keys missing from the peer's table as of its revision. */
static void apply_peer_removals(struct compare *cmp)
{
	unsigned i;

	for (i = 0; i < cmp->removed_by_peer->len; i++) {
		struct entry *entry =
			g_ptr_array_index(cmp->removed_by_peer, i);
		struct conf_item in = { .key = str_from_c(entry->key),
					.revision = cmp->msg->revision,
					.removed = true };

		confsync_apply(cmp->c, &in, false, NULL);
	}
}

static void send_if_any(struct confsync *c, const struct member_info *to,
			struct conf_out *o)
{
	if (o->items->len)
		confsync_send(c, to, o);
	else
		conf_out_clear(o);
}

/* Sends items that the peer lacks and requests those missing here. */
void confsync_on_keys(struct confsync *c, const struct conf_message *msg,
		      const struct member_info *from, uint64_t now_us)
{
	struct compare cmp = { .c = c, .msg = msg };
	unsigned i;

	(void)now_us;
	if (!c->ready || c->tokens <= 0)
		return;
	cmp.peer_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	cmp.removed_by_peer = g_ptr_array_new();
	conf_out_init(&cmp.items, CONF_ITEMS);
	conf_out_init(&cmp.request, CONF_REQUEST);
	for (i = 0; i < msg->items->len; i++) {
		const struct conf_item *in =
			&g_array_index(msg->items, struct conf_item, i);

		compare_peer_item(&cmp, in);
		g_hash_table_add(cmp.peer_keys, str_dup(in->key));
	}
	g_tree_foreach(c->table.entries, compare_own_entry, &cmp);
	send_if_any(c, from, &cmp.items);
	apply_peer_removals(&cmp);
	send_if_any(c, from, &cmp.request);
	g_ptr_array_free(cmp.removed_by_peer, TRUE);
	g_hash_table_destroy(cmp.peer_keys);
}

/*
 * Applies items that were requested or found missing. Items that this node
 * knows to be removed are answered with tombstones.
 */
void confsync_on_items(struct confsync *c, const struct conf_message *msg,
		       const struct member_info *from)
{
	struct conf_out tombstones;
	unsigned i;

	conf_out_init(&tombstones, CONF_ITEMS);
	for (i = 0; i < msg->items->len; i++) {
		const struct conf_item *in =
			&g_array_index(msg->items, struct conf_item, i);
		enum apply_result result;

		if (!in->removed && !in->has_json)
			continue;
		result = confsync_apply(c, in, false, NULL);
		c->stats.repaired += result == APPLY_DONE;
		if (result == APPLY_REFUSED)
			conf_out_key(&tombstones, in->key, confsync_revision(c),
				     true, c->settings.max_message_bytes);
	}
	if (from && tombstones.items->len)
		confsync_send(c, from, &tombstones);
	else
		conf_out_clear(&tombstones);
}

/* Answers with the next items after the cursor. */
void confsync_on_fetch(struct confsync *c, const struct conf_message *msg,
		       const struct member_info *from)
{
	char *cursor = str_dup(msg->cursor);
	struct conf_out o;
	GTreeNode *node;

	if (!c->ready || c->tokens <= 0) {
		g_free(cursor);
		send_header(c, from, CONF_BUSY);
		return;
	}
	conf_out_init(&o, CONF_FETCH_PART);
	o.size += CONFSYNC_MAX_KEY_BYTES;
	node = g_tree_upper_bound(c->table.entries, cursor);
	for (; node; node = g_tree_node_next(node)) {
		struct entry *entry = g_tree_node_value(node);

		if (entry_is_live(entry) &&
		    !conf_out_item(&o, entry, true,
				   c->settings.max_message_bytes))
			break;
		o.cursor = entry->key;
	}
	o.last = !node;
	confsync_send(c, from, &o);
	g_free(cursor);
}

/* Applies a part and requests the next; after the last the node is ready. */
void confsync_on_fetch_part(struct confsync *c, const struct conf_message *msg,
			    uint64_t now_us)
{
	unsigned i;

	if (c->ready || !c->fetch_pending)
		return;
	for (i = 0; i < msg->items->len; i++) {
		const struct conf_item *in =
			&g_array_index(msg->items, struct conf_item, i);

		if (in->has_json)
			confsync_apply(c, in, false, NULL);
	}
	c->fetch_pending = false;
	c->next_fetch_at_us = now_us;
	if (msg->last) {
		c->ready = true;
		c->next_digest_at_us = now_us;
	} else if (msg->cursor.len) {
		g_free(c->fetch_cursor);
		c->fetch_cursor = str_dup(msg->cursor);
		fetch_tick(c, now_us);
	}
}

/* The peer is not ready itself or has used up its send budget. */
void confsync_on_busy(struct confsync *c, uint64_t now_us)
{
	if (c->ready || !c->fetch_pending)
		return;
	c->fetch_pending = false;
	c->next_fetch_at_us = now_us + FETCH_BUSY_RETRY_US;
}
