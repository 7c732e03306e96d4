#define LOG_MODULE "store"
#include "store_sync.h"

#include <celeryquay/base/log.h>
#include <celeryquay/base/strict_json.h>
#include <celeryquay/transport/kv_stamp.h>
#include <json-glib/json-glib.h>

#include <inttypes.h>
#include <string.h>

/*
 * A watch without events or progress notices for this long may be dead, for
 * instance because a NAT or firewall dropped the connection. It is reopened
 * from the revision it had reached, which costs one call and no list. So a
 * change that it missed is in force everywhere a few seconds later.
 */
#define WATCH_SILENCE_MAX_US (5 * USEC_PER_SEC)
/* Wait before a failed list or watch is retried; it doubles up to the max. */
#define BACKOFF_MIN_US (200 * USEC_PER_MSEC)
#define BACKOFF_MAX_US (10 * USEC_PER_SEC)
/* Maximum number of reads to find out whether a change took effect. */
#define CHANGE_LOOKUPS_MAX 5
/* Attempts to write items again that the store has lost. */
#define REWRITES_MAX 5
/* A node with seeds waits this long for its peers before it lists the store. */
#define PEERS_WAIT_US (500 * USEC_PER_MSEC)

enum watch_state { WATCH_IDLE, WATCH_LISTING, WATCH_WATCHING };

/* A new primary that the store does not have yet. */
struct record {
	char *key; /* with MODEL_PREFIX */
	char *server;
	char *holder;
	uint64_t term;
	uint64_t next_at_us; /* earliest time of the next attempt */
	bool running; /* a call to the store is open */
};

struct store_sync {
	struct node *node;
	enum watch_state state;
	uint64_t next_at_us; /* earliest time of the next list or watch */
	uint64_t watch_opened_at_us; /* when the current watch was opened */
	uint64_t revision; /* applied up to this one; 0: list first */
	uint64_t listed; /* revision of the last list that was applied */
	unsigned n_rewriting; /* lost items that are being written */
	unsigned n_rewrites; /* attempts since the store returned */
	bool rewrite_failed; /* the store did not answer one of them */
	uint64_t backoff_us; /* next wait, before the jitter */
	uint64_t started_at_us;
	GHashTable *records; /* key -> struct record */
};

/* An operator's change that is being made. */
struct change {
	struct store_sync *s;
	char *key; /* with MODEL_PREFIX */
	char *value; /* NULL: remove */
	char *id; /* the "change" field of the value */
	uint64_t expected; /* revision */
	unsigned lookups; /* reads since an answer was lost */
	store_sync_done_fn done;
	void *user;
};

static void record_destroy(gpointer data)
{
	struct record *r = data;

	g_free(r->key);
	g_free(r->server);
	g_free(r->holder);
	g_free(r);
}

/* The store is not called before the first tick. */
struct store_sync *store_sync_create(struct node *node)
{
	struct store_sync *s = g_new0(struct store_sync, 1);

	s->node = node;
	s->backoff_us = BACKOFF_MIN_US;
	s->started_at_us = node_now_us();
	s->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   record_destroy);
	return s;
}

/* The store client must be destroyed before. */
void store_sync_destroy(struct store_sync *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->records);
	g_free(s);
}

/*
 * Schedules a retry. The wait doubles each time, and its jitter spreads the
 * retries of the fleet.
 */
static void back_off(struct store_sync *s)
{
	double jitter = g_rand_double_range(s->node->rng, 0.5, 1.5);

	s->state = WATCH_IDLE;
	s->next_at_us =
		node_now_us() + (uint64_t)((double)s->backoff_us * jitter);
	s->backoff_us = MIN(s->backoff_us * 2, BACKOFF_MAX_US);
}

static void advance_revision(struct store_sync *s, uint64_t revision)
{
	s->revision = MAX(s->revision, revision);
}

static void apply_kv(struct store_sync *s, const struct store_kv *kv)
{
	struct err err = { 0 };

	if (strncmp(kv->key, MODEL_PREFIX, strlen(MODEL_PREFIX)) != 0)
		return;
	if (!confsync_from_store(s->node->confsync,
				 kv->key + strlen(MODEL_PREFIX),
				 kv->mod_revision, kv->removed, kv->value,
				 node_now_us(), &err))
		LOG_WARN("store key %s at revision %" PRIu64
			 " rejected, the last valid value stays in force: %s",
			 kv->key, kv->mod_revision, err.message);
}

static void on_watch_event(void *ctx, const struct store_kv *kv)
{
	apply_kv(ctx, kv);
	advance_revision(ctx, kv->mod_revision);
}

static void on_watch_progress(void *ctx, uint64_t revision)
{
	struct store_sync *s = ctx;

	confsync_progress(s->node->confsync, revision, node_now_us());
	advance_revision(s, revision);
}

static void on_watch_ended(void *ctx, const struct err *err)
{
	struct store_sync *s = ctx;
	uint64_t now = node_now_us();

	LOG_INFO("store watch from revision %" PRIu64 " ended, will retry: %s",
		 s->revision, err->message);
	if (err->code == ERR_STORE_COMPACTED)
		s->revision = 0;
	if (now - s->watch_opened_at_us < WATCH_SILENCE_MAX_US) {
		back_off(s);
		return;
	}
	s->state = WATCH_IDLE;
	s->backoff_us = BACKOFF_MIN_US;
}

static const struct store_watch_events watch_events = {
	.event = on_watch_event,
	.progress = on_watch_progress,
	.ended = on_watch_ended,
};

static void watch(struct store_sync *s)
{
	s->state = WATCH_WATCHING;
	s->watch_opened_at_us = node_now_us();
	store_watch(s->node->store, MODEL_PREFIX, s->revision + 1,
		    WATCH_SILENCE_MAX_US, &watch_events, s);
}

/* Items known here that a list lacks. */
struct lost {
	GHashTable *listed; /* keys with MODEL_PREFIX */
	GPtrArray *items; /* struct item */
};

static void add_if_lost(struct item *item, void *ctx)
{
	struct lost *lost = ctx;
	char *key = g_strconcat(MODEL_PREFIX, item->key, NULL);

	if (item->kind != ITEM_MEMBER && !item->removed &&
	    !g_hash_table_contains(lost->listed, key))
		g_ptr_array_add(lost->items, item_ref(item));
	g_free(key);
}

static void unref_item(gpointer item)
{
	item_unref(item);
}

static GPtrArray *find_lost(struct store_sync *s, const struct store_kv *kvs,
			    unsigned n)
{
	struct lost lost = {
		.listed = g_hash_table_new(g_str_hash, g_str_equal),
		.items = g_ptr_array_new_with_free_func(unref_item),
	};
	unsigned i;

	for (i = 0; i < n; i++)
		g_hash_table_add(lost.listed, (char *)kvs[i].key);
	model_each(s->node->model, add_if_lost, &lost);
	g_hash_table_destroy(lost.listed);
	return lost.items;
}

/* The list is read again once all writes have ended. */
static void on_rewritten(void *user, const struct err *err, bool took_effect,
			 uint64_t revision, const struct store_kv *current)
{
	struct store_sync *s = user;

	(void)took_effect; /* another node may have been first */
	(void)revision;
	(void)current;
	s->rewrite_failed |= err->code != ERR_NONE;
	if (--s->n_rewriting)
		return;
	if (s->rewrite_failed) {
		back_off(s);
		return;
	}
	s->state = WATCH_IDLE;
	s->next_at_us = 0;
}

static void rewrite(struct store_sync *s, const struct item *item)
{
	char *key = g_strconcat(MODEL_PREFIX, item->key, NULL);
	struct str value = str_from_c(item->json);

	LOG_WARN("the store came back without %s, it is written again",
		 item->key);
	s->n_rewriting++;
	store_cas(s->node->store, key, 0, &value, on_rewritten, s);
	g_free(key);
}

/*
 * Whether items were lost with the store's return from an older copy. An
 * operator was told that they are stored, so they are written again, unless
 * somebody did meanwhile.
 */
static bool rewrite_lost(struct store_sync *s, uint64_t revision,
			 const struct store_kv *kvs, unsigned n)
{
	GPtrArray *lost;
	unsigned i;

	if (!s->listed || kv_stamp_era(revision) <= kv_stamp_era(s->listed) ||
	    s->n_rewrites >= REWRITES_MAX)
		return false;
	lost = find_lost(s, kvs, n);
	s->n_rewrites += lost->len > 0;
	s->rewrite_failed = false;
	for (i = 0; i < lost->len; i++)
		rewrite(s, g_ptr_array_index(lost, i));
	g_ptr_array_unref(lost);
	return s->n_rewriting > 0;
}

static void on_list(void *user, const struct err *err, uint64_t revision,
		    const struct store_kv *kvs, unsigned n)
{
	struct store_sync *s = user;
	unsigned i;

	if (err->code) {
		LOG_WARN("listing the configuration in the store failed, "
			 "will retry: %s",
			 err->message);
		back_off(s);
		return;
	}
	if (rewrite_lost(s, revision, kvs, n))
		return;
	confsync_list_begin(s->node->confsync);
	for (i = 0; i < n; i++)
		apply_kv(s, &kvs[i]);
	confsync_list_done(s->node->confsync, revision, node_now_us());
	s->backoff_us = BACKOFF_MIN_US;
	s->revision = s->listed = revision;
	s->n_rewrites = 0;
	s->state = WATCH_IDLE;
	if (confsync_is_watcher(s->node->confsync))
		watch(s);
}

/*
 * Whether to list or watch the store now. A node with seeds first tries to get
 * its configuration from its peers.
 */
static bool should_call_store(struct store_sync *s, uint64_t now_us)
{
	bool alone = members_count(s->node->members) <= 1;
	bool waits_for_peers = s->node->settings->n_seeds && alone &&
			       now_us - s->started_at_us < PEERS_WAIT_US;

	if (s->state != WATCH_IDLE || now_us < s->next_at_us || waits_for_peers)
		return false;
	return confsync_is_watcher(s->node->confsync) ||
	       !confsync_ready(s->node->confsync);
}

static void on_record_done(void *user, const struct err *err, bool took_effect,
			   uint64_t revision, const struct store_kv *current);

/* An open read or compare-and-swap of a record. */
struct record_call {
	struct store_sync *s;
	char *key;
	uint64_t term;
};

static void retry_record_later(struct store_sync *s, struct record *r)
{
	r->running = false;
	r->next_at_us = node_now_us() + BACKOFF_MAX_US / 5;
	(void)s;
}

static uint64_t recorded_term(const struct store_kv *kv)
{
	struct err err = { 0 };
	struct item *item;
	uint64_t term = 0;

	item = item_parse(kv->key + strlen(MODEL_PREFIX), kv->mod_revision,
			  kv->value, &err);
	if (item)
		term = item->u.primary.term;
	item_unref(item);
	return term;
}

static void on_record_read(void *user, const struct err *err, uint64_t revision,
			   const struct store_kv *kvs, unsigned n)
{
	struct record_call *call = user;
	struct record *r = g_hash_table_lookup(call->s->records, call->key);
	struct str view;
	char *value;

	(void)revision;
	if (!r)
		goto out;
	if (err->code) {
		retry_record_later(call->s, r);
		goto out;
	}
	if (n && recorded_term(&kvs[0]) >= r->term) {
		g_hash_table_remove(call->s->records, call->key);
		goto out;
	}
	value = g_strdup_printf("{\"term\":%" PRIu64 ",\"server\":\"%s\","
				"\"holder\":\"%s\",\"change\":\"%s-%" PRIu64
				"\"}",
				r->term, r->server, r->holder, r->holder,
				r->term);
	call->term = r->term;
	view = str_from_c(value);
	store_cas(call->s->node->store, call->key, n ? kvs[0].mod_revision : 0,
		  &view, on_record_done, call);
	g_free(value);
	return;
out:
	g_free(call->key);
	g_free(call);
}

static void on_record_done(void *user, const struct err *err, bool took_effect,
			   uint64_t revision, const struct store_kv *current)
{
	struct record_call *call = user;
	struct record *r = g_hash_table_lookup(call->s->records, call->key);

	(void)revision;
	(void)current;
	if (r && !err->code && took_effect && r->term == call->term)
		g_hash_table_remove(call->s->records, call->key);
	else if (r)
		retry_record_later(call->s, r);
	g_free(call->key);
	g_free(call);
}

static void run_records(struct store_sync *s, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->records);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct record *r = value;
		struct record_call *call;

		if (r->running || now_us < r->next_at_us)
			continue;
		r->running = true;
		call = g_new0(struct record_call, 1);
		call->s = s;
		call->key = g_strdup(r->key);
		store_get(s->node->store, r->key, on_record_read, call);
	}
}

/* Lists or watches the store if this node should, and retries records. */
void store_sync_tick(struct store_sync *s, uint64_t now_us)
{
	if (s->state == WATCH_WATCHING &&
	    !confsync_is_watcher(s->node->confsync)) {
		store_unwatch(s->node->store);
		s->state = WATCH_IDLE;
	}
	if (should_call_store(s, now_us) && s->revision) {
		watch(s);
	} else if (should_call_store(s, now_us)) {
		s->state = WATCH_LISTING;
		store_range(s->node->store, MODEL_PREFIX, on_list, s);
	}
	run_records(s, now_us);
}

/* Keeps the database's newest term until the store has it. */
void store_sync_record(struct store_sync *s, const char *database,
		       uint64_t term, const char *server, const char *holder)
{
	char *key = g_strdup_printf(MODEL_PREFIX "primary/%s", database);
	struct record *r = g_hash_table_lookup(s->records, key);

	if (r && r->term >= term) {
		g_free(key);
		return;
	}
	r = g_new0(struct record, 1);
	r->key = key;
	r->term = term;
	r->server = g_strdup(server);
	r->holder = g_strdup(holder);
	g_hash_table_replace(s->records, r->key, r);
}

static void change_finish(struct change *c, enum err_code code,
			  const char *message, uint64_t revision)
{
	struct err err = { 0 };

	if (code)
		err_set(&err, code, "%s", message);
	c->done(c->user, &err, revision);
	g_free(c->key);
	g_free(c->value);
	g_free(c->id);
	g_free(c);
}

/* Whether this change wrote the value that is now in the store. */
static bool was_written_by(const struct change *c, const struct store_kv *kv)
{
	JsonParser *parser = json_parser_new();
	bool same = false;
	JsonNode *root;

	if (strict_json_load(parser, kv->value, NULL)) {
		root = json_parser_get_root(parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			same = !g_strcmp0(
				json_object_get_string_member_with_default(
					json_node_get_object(root), "change",
					NULL),
				c->id);
	}
	g_object_unref(parser);
	return same;
}

static void change_conflict(struct change *c, const struct store_kv *current)
{
	char text[160];

	if (current && current->mod_revision)
		g_snprintf(text, sizeof(text),
			   "the item is at revision %" PRIu64
			   ", expected %" PRIu64,
			   current->mod_revision, c->expected);
	else
		g_snprintf(text, sizeof(text),
			   "the item does not exist, revision %" PRIu64
			   " was expected",
			   c->expected);
	change_finish(c, ERR_CONFLICT, text, 0);
}

static void on_change_looked_up(void *user, const struct err *err,
				uint64_t revision, const struct store_kv *kvs,
				unsigned n);

/*
 * Reads the item to find out whether a change took effect whose answer was
 * lost. Otherwise the operator would be told of a failure, repeat the change
 * and get a conflict with the first attempt.
 */
static void change_look_up(struct change *c)
{
	if (c->lookups++ >= CHANGE_LOOKUPS_MAX) {
		change_finish(c, ERR_STORE_DOWN,
			      "the store does not answer; the change may have "
			      "taken effect",
			      0);
		return;
	}
	store_get(c->s->node->store, c->key, on_change_looked_up, c);
}

/*
 * Whether an earlier attempt of this change removed the item. Guards against a
 * false "no such item" error: the first attempt of a removal, whose answer was
 * lost, may take effect between the read of the item and the next attempt,
 * which then finds nothing to remove although the removal succeeded.
 */
static bool removed_before(const struct change *c,
			   const struct store_kv *current)
{
	return !c->value && c->lookups > 0 &&
	       !(current && current->mod_revision);
}

static void on_change_done(void *user, const struct err *err, bool took_effect,
			   uint64_t revision, const struct store_kv *current)
{
	struct change *c = user;

	if (err->code)
		change_look_up(c);
	else if (took_effect || removed_before(c, current))
		change_finish(c, ERR_NONE, "", revision);
	else if (current && current->mod_revision && was_written_by(c, current))
		change_finish(c, ERR_NONE, "", current->mod_revision);
	else if (!c->value && !(current && current->mod_revision))
		change_finish(c, ERR_NO_SUCH_ITEM, "there is no such item", 0);
	else
		change_conflict(c, current);
}

static void on_change_looked_up(void *user, const struct err *err,
				uint64_t revision, const struct store_kv *kvs,
				unsigned n)
{
	struct change *c = user;
	struct str view;

	if (err->code) {
		change_look_up(c);
		return;
	}
	if (n && c->value && was_written_by(c, &kvs[0])) {
		change_finish(c, ERR_NONE, "", kvs[0].mod_revision);
		return;
	}
	if (!n && !c->value) {
		change_finish(c, ERR_NONE, "", revision);
		return;
	}
	view = str_from_c(c->value);
	store_cas(c->s->node->store, c->key, c->expected,
		  c->value ? &view : NULL, on_change_done, c);
}

/*
 * Makes an operator's change. done() is called once, and never before this
 * function has returned.
 */
void store_sync_change(struct store_sync *s, const char *key, uint64_t expected,
		       const struct str *value, const char *change,
		       store_sync_done_fn done, void *user)
{
	struct change *c = g_new0(struct change, 1);

	c->s = s;
	c->key = g_strconcat(MODEL_PREFIX, key, NULL);
	c->value = value ? str_dup(*value) : NULL;
	c->id = g_strdup(change);
	c->expected = expected;
	c->done = done;
	c->user = user;
	store_cas(s->node->store, c->key, expected, value, on_change_done, c);
}
