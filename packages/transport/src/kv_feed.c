#define LOG_MODULE "kv-feed"
#include <celeryquay/transport/kv_feed.h>

#include <celeryquay/base/clock.h>
#include <celeryquay/base/log.h>
#include <celeryquay/core/types.h>

#include <string.h>

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_GONE 410
#define HTTP_UNAVAILABLE 503
/*
 * Lowest limit on the size of a value that is sent; also the limit where
 * neither the link nor the number of followers is known. A larger value is only
 * named, and each follower reads it from the store.
 *
 * Without a limit, a configuration of a few hundred kilobytes goes to 75
 * followers over a link of 10 Mbit/s. That takes many seconds; the followers'
 * calls time out after one, they switch to other watchers and fill those links
 * as well, so that watchers answer nobody while the store, whose link could
 * carry the value, is idle. Hence the limit follows from the link's bandwidth
 * and the number of followers.
 */
#define VALUE_LIMIT_MIN_BYTES 4096
/* Changes that are kept. A follower further behind has to read everything. */
#define CHANGES_MAX 4096
#define WAIT_MAX_MS 5000
/*
 * How long a read of everything may wait for this proxy's own first read.
 * Shorter than a follower waits for the beginning of an answer.
 */
#define RANGE_WAIT_MS 800
/*
 * A longer gap between two answers of the store counts as silence. In normal
 * operation the next answer comes sooner.
 */
#define STORE_SILENCE_US (1500 * USEC_PER_MSEC)
/*
 * A cursor has the random epoch of this process in the upper bits and the
 * number of changes in the lower ones.
 */
#define EPOCH_SHIFT 32
#define COUNT_MASK ((UINT64_C(1) << EPOCH_SHIFT) - 1)
/* Between the epochs of one process; keeps them odd. */
#define EPOCH_STEP (UINT64_C(2) << EPOCH_SHIFT)

struct entry {
	uint64_t revision;
	GBytes *value;
	GBytes *packed; /* compressed; NULL: the value is sent uncompressed */
	/* set at the first request; `packed` is final then */
	bool compression_tried;
};

struct change {
	char *key;
	uint64_t revision;
	bool deleted;
};

struct waiter {
	struct kv_feed *feed;
	struct ready_request *wait;
	bool reads_all; /* requested before this proxy had read everything */
	/*
	 * The cursor from which changes are requested; with reads_all: the
	 * revision up to which the follower knows the store.
	 */
	uint64_t after;
	uint64_t received_at_us; /* when the request came, by the boot clock */
	uv_timer_t timer;
	GList link;
};

struct kv_feed {
	uv_loop_t *loop;
	const struct kv_codec *codec;
	GHashTable *entries; /* key -> struct entry */
	GPtrArray *changes; /* struct change, oldest first */
	uint64_t oldest_change; /* number of the oldest change that is kept */
	uint64_t epoch;
	uint64_t store_revision; /* of the store, at the last kv_feed_commit()
				  */
	uint64_t heard_at_us; /* when the store last answered, by uv_now() */
	/*
	 * Everything that the store had at this time of the boot clock is known
	 * here; 0: unknown.
	 */
	uint64_t known_at_us;
	bool has_everything; /* everything has been read once */
	size_t value_max; /* larger values are named without their data */
	uint64_t log_start; /* every change after this revision is kept */
	GQueue waiters;
};

static void free_entry(gpointer data)
{
	struct entry *e = data;

	g_bytes_unref(e->value);
	g_clear_pointer(&e->packed, g_bytes_unref);
	g_free(e);
}

static void free_change(gpointer data)
{
	struct change *c = data;

	g_free(c->key);
	g_free(c);
}

static uint64_t now_us(const struct kv_feed *f)
{
	return uv_now(f->loop) * USEC_PER_MSEC;
}

/* Requests are refused until everything has been read once. */
struct kv_feed *kv_feed_create(uv_loop_t *loop, const struct kv_codec *codec)
{
	struct kv_feed *f = g_new0(struct kv_feed, 1);

	f->loop = loop;
	f->codec = codec;
	f->value_max = VALUE_LIMIT_MIN_BYTES;
	f->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   free_entry);
	f->changes = g_ptr_array_new_with_free_func(free_change);
	/* A cursor of 0 would mean "none yet". */
	f->epoch = (uint64_t)(g_random_int() | 1) << EPOCH_SHIFT;
	return f;
}

static uint64_t cursor(const struct kv_feed *f)
{
	return f->epoch | ((f->oldest_change + f->changes->len) & COUNT_MASK);
}

static void add_change(struct kv_feed *f, const char *key, uint64_t revision,
		       bool deleted)
{
	struct change *c = g_new0(struct change, 1);
	unsigned i;

	c->key = g_strdup(key);
	c->revision = revision;
	c->deleted = deleted;
	g_ptr_array_add(f->changes, c);
	if (f->changes->len <= CHANGES_MAX)
		return;
	for (i = 0; i < CHANGES_MAX / 2; i++) {
		c = g_ptr_array_index(f->changes, i);
		f->log_start = MAX(f->log_start, c->revision);
	}
	g_ptr_array_remove_range(f->changes, 0, CHANGES_MAX / 2);
	f->oldest_change += CHANGES_MAX / 2;
}

/*
 * value_max: the largest value that this proxy's link can carry to all of its
 * followers, in bytes.
 */
void kv_feed_set_value_max(struct kv_feed *f, size_t value_max)
{
	f->value_max = MAX(value_max, VALUE_LIMIT_MIN_BYTES);
}

/* Records the new value of a key. */
void kv_feed_set(struct kv_feed *f, const char *key, uint64_t revision,
		 struct str value)
{
	struct entry *e = g_new0(struct entry, 1);

	e->revision = revision;
	e->value = g_bytes_new(value.data, value.len);
	g_hash_table_replace(f->entries, g_strdup(key), e);
	add_change(f, key, revision, false);
}

/* The value belongs to the feed and lasts until the key's next change. */
bool kv_feed_get(const struct kv_feed *f, const char *key, uint64_t *revision,
		 struct str *value)
{
	const struct entry *e = g_hash_table_lookup(f->entries, key);

	if (!e)
		return false;
	*revision = e->revision;
	*value = str_from_bytes(e->value);
	return true;
}

/* Records that a key was deleted. */
void kv_feed_delete(struct kv_feed *f, const char *key, uint64_t revision)
{
	if (g_hash_table_remove(f->entries, key))
		add_change(f, key, revision, true);
}

/* Compresses the value when it is first requested, once for all followers. */
static void compress_once(const struct kv_feed *f, struct entry *e)
{
	if (!e->compression_tried && f->codec->pack)
		e->packed = f->codec->pack(str_from_bytes(e->value));
	e->compression_tried = true;
}

static size_t wire_size(const struct entry *e)
{
	return g_bytes_get_size(e->packed ? e->packed : e->value);
}

static struct kv_item make_item(const struct kv_feed *f, const char *key,
				uint64_t revision, bool deleted,
				bool with_value)
{
	struct kv_item item = { .key = key,
				.revision = revision,
				.deleted = deleted };
	struct entry *e = g_hash_table_lookup(f->entries, key);

	if (!with_value || deleted || !e)
		return item;
	compress_once(f, e);
	if (wire_size(e) > f->value_max)
		return item;
	item.value = str_from_bytes(e->value);
	if (e->packed)
		item.packed = str_from_bytes(e->packed);
	return item;
}

/* Appends every key; values that are not newer than `since` are left out. */
static void append_all(const struct kv_feed *f, GArray *items, uint64_t since)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, f->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct entry *e = value;
		struct kv_item item = make_item(f, key, e->revision, false,
						e->revision > since);

		g_array_append_val(items, item);
	}
}

/*
 * Appends the kept changes from this index on, if they are newer than `since`.
 * Only the latest value of a key is sent: a change to which a newer one follows
 * is skipped. A key that was deleted and written again is sent as both, in that
 * order.
 */
static void append_changes(const struct kv_feed *f, GArray *items,
			   uint64_t from, uint64_t since)
{
	uint64_t i;

	for (i = from; i < f->changes->len; i++) {
		const struct change *c = g_ptr_array_index(f->changes, i);
		struct entry *e = g_hash_table_lookup(f->entries, c->key);
		struct kv_item item;

		if (c->revision <= since)
			continue; /* known to the follower */
		if (!c->deleted && (!e || e->revision != c->revision))
			continue; /* a later change of this key follows */
		item = make_item(f, c->key, c->revision, c->deleted, true);
		g_array_append_val(items, item);
	}
}

/*
 * The time up to which everything is known here, relative to the request's
 * arrival (negative: before it); INT64_MIN: unknown.
 */
static int64_t known_offset_us(const struct kv_feed *f, uint64_t received_at_us)
{
	return f->known_at_us ?
		       (int64_t)f->known_at_us - (int64_t)received_at_us :
		       INT64_MIN;
}

static void answer(const struct kv_feed *f, struct ready_request *wait,
		   uint64_t received_at_us, GArray *items, bool partial)
{
	GString *body = g_string_new(NULL);
	uint64_t now = now_us(f);
	struct kv_answer head = {
		.at = f->store_revision,
		.cursor = cursor(f),
		.age_us = now - MIN(f->heard_at_us, now),
		.known_us = known_offset_us(f, received_at_us),
		.partial = partial,
	};

	f->codec->write(body, &head, (struct kv_item *)items->data, items->len);
	ready_answer(wait, HTTP_OK, str_from_gstring(body));
	g_string_free(body, TRUE);
}

/*
 * Sends the changes newer than `since` if all of them are kept, otherwise every
 * key.
 */
static void answer_since(const struct kv_feed *f, struct ready_request *wait,
			 uint64_t since)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct kv_item));
	bool partial = since >= f->log_start && since <= f->store_revision;

	if (partial)
		append_changes(f, items, 0, since);
	else
		append_all(f, items, since);
	answer(f, wait, clock_boot_us(), items, partial);
	g_array_free(items, TRUE);
}

static void answer_changes(const struct kv_feed *f, struct ready_request *wait,
			   uint64_t received_at_us, uint64_t after)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct kv_item));

	append_changes(f, items, (after & COUNT_MASK) - f->oldest_change, 0);
	answer(f, wait, received_at_us, items, true);
	g_array_free(items, TRUE);
}

/* Whether the cursor is of this process and all changes after it are kept. */
static bool has_changes_after(const struct kv_feed *f, uint64_t after)
{
	uint64_t n = after & COUNT_MASK;

	return (after & ~COUNT_MASK) == f->epoch && n >= f->oldest_change &&
	       n <= f->oldest_change + f->changes->len;
}

static void on_closed(uv_handle_t *timer)
{
	g_free(timer->data);
}

static void remove_waiter(struct waiter *w)
{
	g_queue_unlink(&w->feed->waiters, &w->link);
	uv_close((uv_handle_t *)&w->timer, on_closed);
}

static void answer_waiter(struct waiter *w)
{
	struct ready_request *wait = w->wait;
	struct kv_feed *f = w->feed;
	uint64_t after = w->after, received_at_us = w->received_at_us;
	bool reads_all = w->reads_all;

	ready_on_disconnect(wait, NULL, NULL);
	remove_waiter(w);
	if (!f->has_everything)
		ready_answer(wait, HTTP_UNAVAILABLE, STR(""));
	else if (reads_all)
		answer_since(f, wait, after);
	else if (!has_changes_after(f, after))
		ready_answer(wait, HTTP_GONE, STR(""));
	else
		answer_changes(f, wait, received_at_us, after);
}

static void on_timer(uv_timer_t *timer)
{
	answer_waiter(timer->data);
}

static void on_disconnect(void *ctx)
{
	remove_waiter(ctx);
}

static void add_waiter(struct kv_feed *f, struct ready_request *wait,
		       bool reads_all, uint64_t after, uint64_t wait_ms)
{
	struct waiter *w = g_new0(struct waiter, 1);

	w->feed = f;
	w->wait = wait;
	w->reads_all = reads_all;
	w->after = after;
	w->received_at_us = clock_boot_us();
	w->link.data = w;
	uv_timer_init(f->loop, &w->timer);
	w->timer.data = w;
	uv_timer_start(&w->timer, on_timer, MIN(wait_ms, WAIT_MAX_MS), 0);
	g_queue_push_tail_link(&f->waiters, &w->link);
	ready_on_disconnect(wait, on_disconnect, w);
}

/* Answers the waiting requests that have changes to receive; all: every one. */
static void answer_waiters(struct kv_feed *f, bool all)
{
	GList *l, *next;

	if (!f->has_everything)
		return;
	for (l = f->waiters.head; l; l = next) {
		struct waiter *w = l->data;

		next = l->next;
		if (all || w->reads_all || w->after != cursor(f))
			answer_waiter(w);
	}
}

/*
 * The store answered age_us ago. After a silence of the store every waiting
 * follower is answered at once, so that it learns that the store is back.
 */
void kv_feed_store_answered(struct kv_feed *f, uint64_t age_us)
{
	uint64_t now = now_us(f), previous_at_us = f->heard_at_us;

	f->heard_at_us = now > age_us ? now - age_us : 0;
	if (f->heard_at_us > previous_at_us + STORE_SILENCE_US)
		answer_waiters(f, true);
}

/* Called after everything known by then has been reported here. */
void kv_feed_known_as_of(struct kv_feed *f, uint64_t known_at_us)
{
	f->known_at_us = MAX(f->known_at_us, known_at_us);
}

/*
 * Begins the kept changes anew at this revision. In a new era every follower
 * has to read everything: one that knew more than this proxy did would not hear
 * of what the store has lost.
 */
static void begin_log(struct kv_feed *f, uint64_t at)
{
	g_ptr_array_set_size(f->changes, 0);
	f->oldest_change = 0;
	f->epoch += EPOCH_STEP;
	f->log_start = at;
}

/*
 * The changes reported so far form one consistent state at this revision of the
 * store; waiting followers receive them.
 */
void kv_feed_commit(struct kv_feed *f, uint64_t at)
{
	if (!f->has_everything ||
	    kv_stamp_era(at) > kv_stamp_era(f->store_revision))
		begin_log(f, at);
	f->has_everything = true;
	f->store_revision = MAX(f->store_revision, at);
	answer_waiters(f, false);
}

/* Parses the number after "name=" in a query; false if there is none. */
static bool query_number(struct str query, const char *name, uint64_t *out)
{
	char *text = str_dup(query);
	char **parts = g_strsplit(text, "&", -1);
	size_t n = strlen(name);
	bool found = false;
	unsigned i;

	for (i = 0; parts[i] && !found; i++)
		found = !strncmp(parts[i], name, n) && parts[i][n] == '=' &&
			str_to_u64(str_from_c(parts[i] + n + 1), out);
	g_strfreev(parts);
	g_free(text);
	return found;
}

/*
 * If this proxy has just started too, the request waits until everything has
 * been read here.
 */
static void answer_range(struct kv_feed *f, struct ready_request *wait,
			 uint64_t since)
{
	if (f->has_everything)
		answer_since(f, wait, since);
	else
		add_waiter(f, wait, true, since, RANGE_WAIT_MS);
}

/* Answers a request of another proxy, at once or when there are changes. */
void kv_feed_handle_request(struct kv_feed *f, struct str query,
			    struct ready_request *wait)
{
	uint64_t after, since, wait_ms;

	if (query_number(query, "since", &since))
		answer_range(f, wait, since);
	else if (!f->has_everything)
		ready_answer(wait, HTTP_UNAVAILABLE, STR(""));
	else if (!query_number(query, "after", &after) ||
		 !query_number(query, "waitMs", &wait_ms))
		ready_answer(wait, HTTP_BAD_REQUEST, STR(""));
	else if (!has_changes_after(f, after))
		ready_answer(wait, HTTP_GONE, STR(""));
	else if (after != cursor(f))
		answer_changes(f, wait, clock_boot_us(), after);
	else
		add_waiter(f, wait, false, after, wait_ms);
}

/*
 * NULL is ignored. Must precede the destruction of the HTTP port, which can't
 * close while requests are unanswered.
 */
void kv_feed_destroy(struct kv_feed *f)
{
	if (!f)
		return;
	while (f->waiters.head) {
		struct waiter *w = f->waiters.head->data;
		struct ready_request *wait = w->wait;

		ready_on_disconnect(wait, NULL, NULL);
		remove_waiter(w);
		ready_answer(wait, HTTP_UNAVAILABLE, STR(""));
	}
	g_ptr_array_unref(f->changes);
	g_hash_table_destroy(f->entries);
	g_free(f);
}
