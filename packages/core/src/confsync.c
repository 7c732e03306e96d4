#define LOG_MODULE "confsync"
#include "confsync_internal.h"

#include <celeryquay/base/log.h>

#include <string.h>
#include <xxhash.h>

/* One item of the largest size, 1 MiB, and others in the same message. */
#define MAX_MESSAGE_BYTES (2U << 20)
/* Random picks before falling back to another choice of member. */
#define PICK_TRIES 8

/*
 * Defaults for up to some thousands of members. An update reaches 1,400 members
 * in five or six rounds of 200 ms; digests cost some 20 bytes per second when
 * nothing changes. The burst that a node may save up while idle serves nodes
 * that start: they fetch 5 MB in parts of 60 KB from many peers. Over some
 * minutes no node sends more than max_bytes_per_s.
 */
void confsync_settings_default(struct confsync_settings *s)
{
	*s = (struct confsync_settings){
		.fanout = 3,
		.rounds = 4,
		.round_interval_us = 200 * USEC_PER_MSEC,
		.digest_interval_us = 2 * USEC_PER_SEC,
		.max_message_bytes = 60000,
		.max_bytes_per_s = 5000,
		.burst_bytes = 1000000,
		.watchers_per_region = 2,
		.max_tombstones = 1024,
	};
}

/* members, model, ops, ctx and rng must outlive it; settings are copied. */
struct confsync *confsync_create(const struct confsync_settings *settings,
				 struct members *members, struct model *model,
				 const struct confsync_ops *ops, void *ctx,
				 GRand *rng, uint64_t now_us)
{
	struct confsync *c = g_new0(struct confsync, 1);
	double phase = g_rand_double(rng);

	c->settings = *settings;
	c->settings.rounds = CLAMP(c->settings.rounds, 1, CONFSYNC_MAX_ROUNDS);
	c->members = members;
	c->model = model;
	c->ops = ops;
	c->ctx = ctx;
	c->rng = rng;
	c->revisions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->fetch_cursor = g_strdup("");
	c->tokens = settings->burst_bytes;
	c->refilled_at_us = c->next_fetch_at_us = now_us;
	c->next_digest_at_us =
		now_us +
		(uint64_t)(phase * (double)settings->digest_interval_us);
	c->watcher_generation = UINT64_MAX;
	confsync_table_init(&c->table);
	return c;
}

/* Frees the table; the items in the model stay. */
void confsync_destroy(struct confsync *c)
{
	if (!c)
		return;
	confsync_table_clear(&c->table);
	g_hash_table_destroy(c->revisions);
	g_free(c->fetch_cursor);
	g_free(c);
}

static bool is_reachable(const struct confsync *c, const struct member_info *m)
{
	return m && m != members_self(c->members) && m->state != MEMBER_DEAD &&
	       m->state != MEMBER_LEFT;
}

static bool is_in_other_data_centre(const struct confsync *c,
				    const struct member_info *m)
{
	return strcmp(m->data_centre, members_self(c->members)->data_centre) !=
	       0;
}

/* A random member, preferably of another data centre. */
const struct member_info *confsync_remote_member(struct confsync *c)
{
	const struct member_info *any = NULL;
	unsigned i, n = members_count(c->members);
	unsigned start;

	for (i = 0; i < PICK_TRIES; i++) {
		unsigned at = (unsigned)g_rand_int_range(c->rng, 0, (gint32)n);
		const struct member_info *m = members_at(c->members, at);

		if (!is_reachable(c, m))
			continue;
		if (is_in_other_data_centre(c, m))
			return m;
		any = m;
	}
	if (any)
		return any;
	start = (unsigned)g_rand_int_range(c->rng, 0, (gint32)n);
	for (i = 0; i < n; i++) {
		const struct member_info *m =
			members_at(c->members, (start + i) % n);

		if (is_reachable(c, m))
			return m;
	}
	return NULL;
}

/* A random member with an open link; without one, any member. */
const struct member_info *confsync_neighbour(struct confsync *c)
{
	unsigned i, n = members_neighbour_count(c->members);

	for (i = 0; i < PICK_TRIES && n; i++) {
		unsigned at = (unsigned)g_rand_int_range(c->rng, 0, (gint32)n);
		const struct member_info *m = members_neighbour(c->members, at);

		if (is_reachable(c, m))
			return m;
	}
	return confsync_remote_member(c);
}

/* Encodes, sends and clears the message; charges its bytes to the budget. */
void confsync_send(struct confsync *c, const struct member_info *to,
		   struct conf_out *o)
{
	GBytes *bytes = conf_pack(o, c);
	size_t len = g_bytes_get_size(bytes);

	c->tokens -= (int64_t)len;
	c->bytes_sent += len;
	c->ops->send(c->ctx, to, bytes);
	g_bytes_unref(bytes);
	conf_out_clear(o);
}

/* Starts a list of the store's whole prefix. */
void confsync_list_begin(struct confsync *c)
{
	c->listing = true;
	c->list_seq++;
}

/*
 * Applies one key of a list, or one event of the watch. False with BAD_ITEM for
 * an invalid value: ops->rejected is called, and the last valid value stays.
 */
bool confsync_from_store(struct confsync *c, const char *key, uint64_t revision,
			 bool removed, struct str json, uint64_t now_us,
			 struct err *err)
{
	struct conf_item in = { .key = str_from_c(key),
				.revision = revision,
				.removed = removed,
				.has_json = !removed,
				.json = json };
	enum apply_result result;
	struct entry *entry;

	(void)now_us;
	if (in.key.len > CONFSYNC_MAX_KEY_BYTES) {
		err_set(err, ERR_BAD_ITEM, "key too long: %zu bytes",
			in.key.len);
		return false;
	}
	result = confsync_apply(c, &in, true, err);
	entry = confsync_table_find(&c->table, key);
	if (entry && c->listing)
		entry->last_list = c->list_seq;
	if (entry && result == APPLY_DONE)
		confsync_update_add(c, entry);
	if (!c->listing && c->listed)
		c->watch_revision = MAX(c->watch_revision, revision);
	return result != APPLY_REJECTED;
}

/* Keys that a list up to this revision should contain, but doesn't. */
struct unlisted {
	struct confsync *c;
	uint64_t revision;
	GPtrArray *entries;
};

static gboolean find_unlisted(gpointer key, gpointer value, gpointer user)
{
	struct unlisted *u = user;
	struct entry *entry = value;
	bool live = entry_is_live(entry) &&
		    entry_revision(entry) <= u->revision;
	bool bad = entry->bad_revision && entry->bad_revision <= u->revision;

	(void)key;
	if ((live || bad) && entry->last_list != u->c->list_seq)
		g_ptr_array_add(u->entries, entry);
	return FALSE;
}

/*
 * Ends a list that holds all keys up to the revision. A key that is missing was
 * removed while no watch was held, by an event that this node will never see:
 * it gets a tombstone of the list's revision, which is below the revision of
 * any later value of the key.
 */
void confsync_list_done(struct confsync *c, uint64_t revision, uint64_t now_us)
{
	struct unlisted u = { .c = c, .revision = revision };
	unsigned i;

	if (!c->listing)
		return;
	u.entries = g_ptr_array_new();
	g_tree_foreach(c->table.entries, find_unlisted, &u);
	for (i = 0; i < u.entries->len; i++) {
		struct entry *entry = g_ptr_array_index(u.entries, i);
		char *key = g_strdup(entry->key);

		confsync_from_store(c, key, revision, true, STR(""), now_us,
				    NULL);
		g_free(key);
	}
	g_ptr_array_free(u.entries, TRUE);
	c->listing = false;
	c->listed = true;
	c->ready = true;
	c->complete_revision = MAX(c->complete_revision, revision);
}

/* The watch has delivered all events up to this revision. */
void confsync_progress(struct confsync *c, uint64_t revision, uint64_t now_us)
{
	(void)now_us;
	if (c->listed && !c->listing)
		c->complete_revision = MAX(c->complete_revision, revision);
}

static void record_member_revision(struct confsync *c, const char *from,
				   uint64_t revision)
{
	uint64_t *known = g_hash_table_lookup(c->revisions, from);

	if (known) {
		*known = revision;
		return;
	}
	if (g_hash_table_size(c->revisions) >
	    2 * (members_count(c->members) + 1))
		g_hash_table_remove_all(c->revisions);
	known = g_new(uint64_t, 1);
	*known = revision;
	g_hash_table_insert(c->revisions, g_strdup(from), known);
}

/* Messages that are handled even when the sender is not a known member. */
static void handle_message(struct confsync *c, const struct conf_message *msg,
			   const struct member_info *from, uint64_t now_us)
{
	switch (msg->type) {
	case CONF_UPDATE:
		confsync_on_update(c, msg, from, now_us);
		break;
	case CONF_ITEMS:
		confsync_on_items(c, msg, from);
		break;
	case CONF_FETCH_PART:
		confsync_on_fetch_part(c, msg, now_us);
		break;
	case CONF_BUSY:
		confsync_on_busy(c, now_us);
		break;
	default:
		break;
	}
}

/* Messages that are answered, for which the sender must be a known member. */
static void answer_request(struct confsync *c, const struct conf_message *msg,
			   const struct member_info *from, uint64_t now_us)
{
	switch (msg->type) {
	case CONF_REQUEST:
		confsync_on_request(c, msg, from);
		break;
	case CONF_DIGEST:
		confsync_on_digest(c, msg, from);
		break;
	case CONF_BUCKETS:
		confsync_on_buckets(c, msg, from);
		break;
	case CONF_KEYS:
		confsync_on_keys(c, msg, from, now_us);
		break;
	case CONF_FETCH:
		confsync_on_fetch(c, msg, from);
		break;
	default:
		break;
	}
}

/*
 * Handles a message from the authenticated peer of this name. False with
 * BAD_MESSAGE for a malformed one, of which nothing is applied.
 */
bool confsync_on_message(struct confsync *c, const char *from,
			 struct str message, uint64_t now_us, struct err *err)
{
	const struct member_info *member = members_find(c->members, from);
	struct conf_message msg;
	struct unpack unpack;

	if (message.len > MAX_MESSAGE_BYTES) {
		err_set(err, ERR_BAD_MESSAGE,
			"configuration too large: %zu bytes", message.len);
		return false;
	}
	if (!unpack_open(&unpack, message, err))
		return false;
	if (!conf_parse(&msg, &unpack, err)) {
		unpack_close(&unpack);
		return false;
	}
	if (member)
		record_member_revision(c, from, msg.revision);
	handle_message(c, &msg, member, now_us);
	if (msg.has_revision_hash)
		confsync_learn_revision(c, msg.revision, msg.revision_hash);
	if (member)
		answer_request(c, &msg, member, now_us);
	conf_clear(&msg);
	unpack_close(&unpack);
	return true;
}

static void refill_tokens(struct confsync *c, uint64_t now_us)
{
	uint64_t elapsed = MIN(now_us - c->refilled_at_us, 3600 * USEC_PER_SEC);
	uint64_t bytes = elapsed * c->settings.max_bytes_per_s / USEC_PER_SEC;

	if (!bytes)
		return;
	c->tokens = MIN(c->tokens + (int64_t)bytes,
			(int64_t)c->settings.burst_bytes);
	c->refilled_at_us = now_us;
}

static uint64_t watcher_weight(const struct member_info *m)
{
	return XXH64(m->name, strlen(m->name), 0);
}

/*
 * Rendezvous hashing: the live members of a region with the highest hashes
 * watch the store. All members agree on them without communication, and when
 * one dies only that one is replaced.
 */
static bool compute_watcher(const struct confsync *c)
{
	const struct member_info *self = members_self(c->members);
	uint64_t own_weight = watcher_weight(self);
	unsigned i, n = members_count(c->members), ahead = 0;

	if (!member_is_live(self))
		return false;
	for (i = 0; i < n; i++) {
		const struct member_info *m = members_at(c->members, i);

		ahead += member_is_live(m) &&
			 !strcmp(m->region, self->region) &&
			 watcher_weight(m) > own_weight;
	}
	return ahead < c->settings.watchers_per_region;
}

static void watcher_tick(struct confsync *c)
{
	uint64_t changes = members_change_count(c->members);

	if (!members_joined(c->members) || changes == c->watcher_generation)
		return;
	c->watcher_generation = changes;
	c->watcher = compute_watcher(c);
}

/* Runs periodic work; must be called at least every 100 ms. */
void confsync_tick(struct confsync *c, uint64_t now_us)
{
	refill_tokens(c, now_us);
	watcher_tick(c);
	if (c->watch_revision && !c->listing) {
		c->complete_revision =
			MAX(c->complete_revision, c->watch_revision);
		c->watch_revision = 0;
	}
	confsync_update_tick(c, now_us);
	confsync_repair_tick(c, now_us);
}

/* Whether this node should hold a watch of the store now. */
bool confsync_is_watcher(const struct confsync *c)
{
	return c->watcher;
}

/* The revision up to which this node has all that the store held. */
uint64_t confsync_revision(const struct confsync *c)
{
	return MIN(c->complete_revision, c->table.min_bad_revision - 1);
}

/* The member's last known revision; 0 when unknown. */
uint64_t confsync_member_revision(const struct confsync *c, const char *name)
{
	uint64_t *known = g_hash_table_lookup(c->revisions, name);

	if (!strcmp(name, members_self(c->members)->name))
		return confsync_revision(c);
	return known ? *known : 0;
}

/* Whether the configuration has been loaded from the store or from peers. */
bool confsync_ready(const struct confsync *c)
{
	return c->ready;
}

/* Table sizes, and counts of conflicts, refusals and repairs. */
void confsync_stats(const struct confsync *c, struct confsync_stats *out)
{
	*out = c->stats;
	out->items = c->table.n_items;
	out->tombstones = c->table.n_tombstones;
	out->bad_keys = c->table.n_bad;
}

/* Bytes of messages sent, without the transport's overhead. */
uint64_t confsync_bytes_sent(const struct confsync *c)
{
	return c->bytes_sent;
}
