#define LOG_MODULE "store"
#include "store_watch.h"

#include <celeryquay/base/log.h>

/*
 * Maximum number of keys in one answer. A longer range is read in pages, all at
 * the same revision, so that parsing one large JSON text doesn't block the
 * loop.
 */
#define PAGE_KEYS_MAX 500
#define RANGE_PATH "/v3/kv/range"
#define TXN_PATH "/v3/kv/txn"

/*
 * An operation without a result yet. store_destroy() frees those that are left.
 */
struct op {
	struct store *store;
	GList link; /* in the store's ops */
	char *prefix; /* of a range; NULL: the operation has one key */
	GArray *kvs; /* struct store_kv, read so far */
	uint64_t revision; /* of the first page; 0: none has come yet */
	uint64_t expected; /* of a write: the key's revision; 0: no such key */
	store_range_fn range_done;
	store_cas_fn cas_done;
	void *user;
};

struct store {
	uv_loop_t *loop;
	struct store_link link;
	struct watch *watch; /* NULL: none is open */
	GQueue ops; /* struct op */
};

static struct op *op_create(struct store *s, void *user)
{
	struct op *op = g_new0(struct op, 1);

	op->store = s;
	op->user = user;
	op->kvs = store_kvs_create();
	op->link.data = op;
	g_queue_push_tail_link(&s->ops, &op->link);
	return op;
}

static void op_free(struct op *op)
{
	g_array_unref(op->kvs);
	g_free(op->prefix);
	g_free(op);
}

/*
 * Called before the user's callback: the callback may destroy the store, which
 * must not free the op as well.
 */
static void op_unlink(struct op *op)
{
	g_queue_unlink(&op->store->ops, &op->link);
}

static const struct store_kv *kvs_of(const struct op *op)
{
	return (const struct store_kv *)(const void *)op->kvs->data;
}

static void on_page(void *ctx, const struct err *err, JsonObject *answer,
		    uint64_t era);

static void request_page(struct op *op, const char *from)
{
	struct store_page page = {
		.from = from,
		.prefix = op->prefix,
		.limit = op->prefix ? PAGE_KEYS_MAX : 0,
		.revision = op->revision,
	};
	struct store_post post = {
		.path = RANGE_PATH,
		.body = store_body_range(&page),
	};

	store_call(&op->store->link, &post, on_page, op);
}

/*
 * Keys contain no NUL byte, so the key with the byte 1 appended comes directly
 * after the last one that was read.
 */
static void request_next_page(struct op *op)
{
	const struct store_kv *last = &kvs_of(op)[op->kvs->len - 1];
	char *from = g_strconcat(last->key, "\x01", NULL);

	request_page(op, from);
	g_free(from);
}

/* A range has one era. False: this page is of another one than the first. */
static bool take_page(struct op *op, JsonObject *answer, uint64_t era)
{
	if (op->revision && kv_stamp_era(op->revision) != era)
		return false;
	if (!op->revision)
		op->revision = store_body_revision(answer, era);
	store_body_kvs(answer, era, op->kvs);
	return true;
}

static void finish_range(struct op *op, const struct err *err)
{
	op_unlink(op);
	if (err->code)
		g_array_set_size(op->kvs, 0);
	if (op->range_done)
		op->range_done(op->user, err, op->revision, kvs_of(op),
			       op->kvs->len);
	else
		op->cas_done(op->user, err, false, op->revision,
			     op->kvs->len ? kvs_of(op) : NULL);
	op_free(op);
}

static void on_page(void *ctx, const struct err *err, JsonObject *answer,
		    uint64_t era)
{
	struct op *op = ctx;
	guint before = op->kvs->len;
	struct err why = *err;

	if (answer && !take_page(op, answer, era))
		err_set(&why, ERR_STORE_DOWN,
			"the store came back from an older copy between two "
			"pages");
	if (!why.code && op->prefix && store_body_bool(answer, "more") &&
	    op->kvs->len > before) {
		request_next_page(op);
		return;
	}
	finish_range(op, &why);
}

/* Reads all keys with the prefix at one revision. */
void store_range(struct store *s, const char *prefix, store_range_fn done,
		 void *user)
{
	struct op *op = op_create(s, user);

	op->prefix = g_strdup(prefix);
	op->range_done = done;
	request_page(op, prefix);
}

/* Reads one key; a key that doesn't exist is a success with n == 0. */
void store_get(struct store *s, const char *key, store_range_fn done,
	       void *user)
{
	struct op *op = op_create(s, user);

	op->range_done = done;
	request_page(op, key);
}

/* Reads the key as stored, which the transaction's failure branch returned. */
static void read_current(JsonObject *answer, uint64_t era, GArray *kvs)
{
	JsonNode *node = json_object_get_member(answer, "responses");
	JsonArray *list;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return;
	list = json_node_get_array(node);
	if (!json_array_get_length(list))
		return;
	node = json_array_get_element(list, 0);
	if (JSON_NODE_HOLDS_OBJECT(node))
		store_body_kvs(store_body_object(json_node_get_object(node),
						 "response_range"),
			       era, kvs);
}

/*
 * A write that took effect in another era than its condition was read in may
 * have met it by chance. Its outcome is for the calling code to read.
 */
static void on_cas(void *ctx, const struct err *err, JsonObject *answer,
		   uint64_t era)
{
	struct op *op = ctx;
	uint64_t revision = store_body_revision(answer, era);
	bool took_effect = answer && store_body_bool(answer, "succeeded");
	struct err why = *err;

	if (answer && !took_effect)
		read_current(answer, era, op->kvs);
	if (took_effect && op->expected && kv_stamp_era(op->expected) != era) {
		took_effect = false;
		err_set(&why, ERR_STORE_DOWN,
			"the store came back from an older copy meanwhile");
	}
	op_unlink(op);
	op->cas_done(op->user, &why, took_effect, revision,
		     op->kvs->len ? kvs_of(op) : NULL);
	op_free(op);
}

/*
 * Writes or removes one key if its revision is the expected one. After
 * STORE_DOWN the write may or may not have been made. A revision of an earlier
 * era can't be the key's any more, so the key is only read.
 */
void store_cas(struct store *s, const char *key, uint64_t expected,
	       const struct str *value, store_cas_fn done, void *user)
{
	struct op *op = op_create(s, user);
	struct store_post post = {
		.path = TXN_PATH,
		.writes = true,
	};

	op->cas_done = done;
	op->expected = expected;
	if (expected && kv_stamp_era(expected) < s->link.era) {
		request_page(op, key);
		return;
	}
	post.body = store_body_cas(key, expected, value);
	store_call(&s->link, &post, on_cas, op);
}

/* Watches a prefix; a watch that is already open is closed first. */
void store_watch(struct store *s, const char *prefix, uint64_t from_revision,
		 uint64_t silence_timeout_us,
		 const struct store_watch_events *events, void *ctx)
{
	struct watch_target target = {
		.prefix = prefix,
		.from_revision = from_revision,
		.silence_timeout_us = silence_timeout_us,
	};

	watch_close(&s->watch);
	watch_open(&s->watch, &s->link, s->loop, &target, events, ctx);
}

/* Closes the watch, if there is one, without a callback. */
void store_unwatch(struct store *s)
{
	watch_close(&s->watch);
}

/* Number of HTTP calls made so far; a watch counts as one. */
uint64_t store_calls(const struct store *s)
{
	return s->link.calls;
}

/*
 * Creates a client for the store at these URLs (a NULL-terminated list of at
 * least one, without a path). Returns NULL when libcurl can't be initialized.
 */
struct store *store_create(uv_loop_t *loop, const char *const *urls,
			   uint64_t timeout_us)
{
	struct store *s = g_new0(struct store, 1);
	struct err err = { 0 };

	s->loop = loop;
	s->link.http = http_create(loop, &err);
	if (!s->link.http) {
		LOG_ERR("%s", err.message);
		g_free(s);
		return NULL;
	}
	s->link.urls = g_strdupv((char **)urls);
	s->link.n_urls = g_strv_length(s->link.urls);
	s->link.timeout_us = timeout_us;
	g_queue_init(&s->link.open);
	g_queue_init(&s->ops);
	return s;
}

/*
 * Cancels all calls and the watch without callbacks. The loop must run once
 * more for all memory to be freed. NULL is ignored.
 */
void store_destroy(struct store *s)
{
	if (!s)
		return;
	watch_close(&s->watch);
	http_destroy(s->link.http);
	while (s->ops.head) {
		struct op *op = s->ops.head->data;

		g_queue_unlink(&s->ops, &op->link);
		op_free(op);
	}
	store_link_clear(&s->link);
	g_free(s);
}
