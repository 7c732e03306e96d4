#define LOG_MODULE "kv-feed"
#include <celeryquay/transport/kv_feed.h>

#include <celeryquay/base/clock.h>
#include <celeryquay/base/log.h>
#include <celeryquay/core/types.h>

#include <string.h>

#define HTTP_OK 200
#define HTTP_BAD 400
#define HTTP_GONE 410
#define HTTP_UNAVAILABLE 503
/*
 * Larger values are not sent: who follows asks the store for them.
 *
 * Failure: a configuration of a few hundred kilobytes goes to 75 followers over
 * a link of 10 Mbit/s. It takes many seconds, their calls end after one, they
 * leave for other watchers and fill those links, too. It shows as watchers that
 * answer nobody while the store, with a link for it, is idle. Guard: what is
 * sent goes by the link and its followers; this much where neither is known.
 */
#define VALUE_LEAST_BYTES 4096
/* Changes that are kept; who is further behind reads all. */
#define CHANGES_MAX 4096
#define WAIT_MAX_MS 5000
/* Shorter than a follower waits for the beginning of an answer. */
#define START_WAIT_MS 800
/* Between two answers of the store; one of a calm day comes sooner. */
#define SILENCE_US (1500 * USEC_PER_MSEC)
/* A cursor is this process's number above the count of changes. */
#define EPOCH_SHIFT 32
#define COUNT_MASK ((UINT64_C(1) << EPOCH_SHIFT) - 1)

struct entry {
	uint64_t revision;
	GBytes *value;
	GBytes *packed; /* NULL: it is sent as it is */
	bool asked; /* for the first time; it was packed then, if it can be */
};

struct change {
	char *key;
	uint64_t revision;
	bool deleted;
};

struct waiter {
	struct kv_feed *feed;
	struct ready_wait *wait;
	bool reads_all; /* came before all was read here */
	uint64_t after; /* this cursor; reads_all: this revision */
	uint64_t asked_us; /* of the boot clock */
	uv_timer_t timer;
	GList link;
};

struct kv_feed {
	uv_loop_t *loop;
	const struct kv_codec *codec;
	GHashTable *entries; /* key -> struct entry */
	GPtrArray *changes; /* struct change, oldest first */
	uint64_t first; /* number of the oldest change */
	uint64_t epoch;
	uint64_t at;
	uint64_t heard_us; /* uv_now() in microseconds */
	uint64_t known_us; /* all that the store had then is; 0: not said */
	bool settled; /* everything was read once */
	size_t value_max; /* larger ones are only named */
	uint64_t log_at; /* all changes after this revision are kept */
	GQueue waiters;
};

static void entry_free(gpointer data)
{
	struct entry *e = data;

	g_bytes_unref(e->value);
	g_clear_pointer(&e->packed, g_bytes_unref);
	g_free(e);
}

static void change_free(gpointer data)
{
	struct change *c = data;

	g_free(c->key);
	g_free(c);
}

static uint64_t now_us(const struct kv_feed *f)
{
	return uv_now(f->loop) * USEC_PER_MSEC;
}

/* Refuses until everything was read once. */
struct kv_feed *kv_feed_create(uv_loop_t *loop, const struct kv_codec *codec)
{
	struct kv_feed *f = g_new0(struct kv_feed, 1);

	f->loop = loop;
	f->codec = codec;
	f->value_max = VALUE_LEAST_BYTES;
	f->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   entry_free);
	f->changes = g_ptr_array_new_with_free_func(change_free);
	/* 0 would look like "nothing yet". */
	f->epoch = (uint64_t)(g_random_int() | 1) << EPOCH_SHIFT;
	return f;
}

static uint64_t cursor(const struct kv_feed *f)
{
	return f->epoch | ((f->first + f->changes->len) & COUNT_MASK);
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
		f->log_at = MAX(f->log_at, c->revision);
	}
	g_ptr_array_remove_range(f->changes, 0, CHANGES_MAX / 2);
	f->first += CHANGES_MAX / 2;
}

/* How large a value its link carries to all that follow it, in bytes. */
void kv_feed_limit(struct kv_feed *f, size_t value_max)
{
	f->value_max = MAX(value_max, VALUE_LEAST_BYTES);
}

/* A key has a new value. */
void kv_feed_set(struct kv_feed *f, const char *key, uint64_t revision,
		 struct str value)
{
	struct entry *e = g_new0(struct entry, 1);

	e->revision = revision;
	e->value = g_bytes_new(value.data, value.len);
	g_hash_table_replace(f->entries, g_strdup(key), e);
	add_change(f, key, revision, false);
}

/* A key went. */
void kv_feed_gone(struct kv_feed *f, const char *key, uint64_t revision)
{
	if (g_hash_table_remove(f->entries, key))
		add_change(f, key, revision, true);
}

/* Packs it when it is first asked for, once for all who ask. */
static void prepare(const struct kv_feed *f, struct entry *e)
{
	if (!e->asked && f->codec->pack)
		e->packed = f->codec->pack(str_from_bytes(e->value));
	e->asked = true;
}

static size_t size_on_the_wire(const struct entry *e)
{
	return g_bytes_get_size(e->packed ? e->packed : e->value);
}

static struct kv_item item_of(const struct kv_feed *f, const char *key,
			      uint64_t revision, bool deleted, bool with_value)
{
	struct kv_item item = { .key = key,
				.revision = revision,
				.deleted = deleted };
	struct entry *e = g_hash_table_lookup(f->entries, key);

	if (!with_value || deleted || !e)
		return item;
	prepare(f, e);
	if (size_on_the_wire(e) > f->value_max)
		return item;
	item.value = str_from_bytes(e->value);
	if (e->packed)
		item.packed = str_from_bytes(e->packed);
	return item;
}

/* All of it; what is not newer than `since` is named alone. */
static void put_all(const struct kv_feed *f, GArray *items, uint64_t since)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, f->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct entry *e = value;
		struct kv_item item = item_of(f, key, e->revision, false,
					      e->revision > since);

		g_array_append_val(items, item);
	}
}

/*
 * A key that changed twice comes twice with its last value; the second is no
 * news to who reads it. One that went and is back comes in that order.
 */
static void put_changes(const struct kv_feed *f, GArray *items, uint64_t from,
			uint64_t since)
{
	uint64_t i;

	for (i = from; i < f->changes->len; i++) {
		const struct change *c = g_ptr_array_index(f->changes, i);
		struct entry *e = g_hash_table_lookup(f->entries, c->key);
		struct kv_item item;

		if (c->revision <= since)
			continue; /* it is known */
		if (!c->deleted && (!e || e->revision != c->revision))
			continue; /* a later change of it follows */
		item = item_of(f, c->key, c->revision, c->deleted, true);
		g_array_append_val(items, item);
	}
}

/* How long after the question all was known, less than 0: before it. */
static int64_t known_after_us(const struct kv_feed *f, uint64_t asked_us)
{
	return f->known_us ? (int64_t)f->known_us - (int64_t)asked_us :
			     INT64_MIN;
}

static void answer(const struct kv_feed *f, struct ready_wait *wait,
		   uint64_t asked_us, GArray *items, bool partial)
{
	GString *body = g_string_new(NULL);
	uint64_t now = now_us(f);
	struct kv_answer head = {
		.at = f->at,
		.cursor = cursor(f),
		.age_us = now - MIN(f->heard_us, now),
		.known_us = known_after_us(f, asked_us),
		.partial = partial,
	};

	f->codec->write(body, &head, (struct kv_item *)items->data, items->len);
	ready_answer(wait, HTTP_OK, str_from_gstring(body));
	g_string_free(body, TRUE);
}

/* All, or what is newer than `since` where every change since is kept. */
static void answer_since(const struct kv_feed *f, struct ready_wait *wait,
			 uint64_t since)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct kv_item));
	bool partial = since >= f->log_at && since <= f->at;

	if (partial)
		put_changes(f, items, 0, since);
	else
		put_all(f, items, since);
	answer(f, wait, clock_boot_us(), items, partial);
	g_array_free(items, TRUE);
}

static void answer_changes(const struct kv_feed *f, struct ready_wait *wait,
			   uint64_t asked_us, uint64_t after)
{
	GArray *items = g_array_new(FALSE, FALSE, sizeof(struct kv_item));

	put_changes(f, items, (after & COUNT_MASK) - f->first, 0);
	answer(f, wait, asked_us, items, true);
	g_array_free(items, TRUE);
}

static void on_closed(uv_handle_t *timer)
{
	g_free(timer->data);
}

static void forget(struct waiter *w)
{
	g_queue_unlink(&w->feed->waiters, &w->link);
	uv_close((uv_handle_t *)&w->timer, on_closed);
}

static void serve(struct waiter *w)
{
	struct ready_wait *wait = w->wait;
	struct kv_feed *f = w->feed;
	uint64_t after = w->after, asked_us = w->asked_us;
	bool reads_all = w->reads_all;

	ready_on_gone(wait, NULL, NULL);
	forget(w);
	if (!f->settled)
		ready_answer(wait, HTTP_UNAVAILABLE, STR(""));
	else if (reads_all)
		answer_since(f, wait, after);
	else
		answer_changes(f, wait, asked_us, after);
}

static void on_timer(uv_timer_t *timer)
{
	serve(timer->data);
}

static void on_gone(void *ctx)
{
	forget(ctx);
}

static void wait_for_news(struct kv_feed *f, struct ready_wait *wait,
			  bool reads_all, uint64_t after, uint64_t wait_ms)
{
	struct waiter *w = g_new0(struct waiter, 1);

	w->feed = f;
	w->wait = wait;
	w->reads_all = reads_all;
	w->after = after;
	w->asked_us = clock_boot_us();
	w->link.data = w;
	uv_timer_init(f->loop, &w->timer);
	w->timer.data = w;
	uv_timer_start(&w->timer, on_timer, MIN(wait_ms, WAIT_MAX_MS), 0);
	g_queue_push_tail_link(&f->waiters, &w->link);
	ready_on_gone(wait, on_gone, w);
}

/* Those that wait are answered now; all: also where there is no news. */
static void serve_waiters(struct kv_feed *f, bool all)
{
	GList *l, *next;

	if (!f->settled)
		return;
	for (l = f->waiters.head; l; l = next) {
		struct waiter *w = l->data;

		next = l->next;
		if (all || w->reads_all || w->after != cursor(f))
			serve(w);
	}
}

/*
 * The store was heard that long before. Where it had been silent, those that
 * wait learn at once that it is back.
 */
void kv_feed_heard(struct kv_feed *f, uint64_t age_us)
{
	uint64_t now = now_us(f), before_us = f->heard_us;

	f->heard_us = now > age_us ? now - age_us : 0;
	if (f->heard_us > before_us + SILENCE_US)
		serve_waiters(f, true);
}

/* Told after all that was known by then. */
void kv_feed_known(struct kv_feed *f, uint64_t known_us)
{
	f->known_us = MAX(f->known_us, known_us);
}

/* What was told so far belongs together: those that wait for news get it. */
void kv_feed_settled(struct kv_feed *f, uint64_t at)
{
	if (!f->settled)
		f->log_at = at;
	f->settled = true;
	f->at = MAX(f->at, at);
	serve_waiters(f, false);
}

/* The number behind "name=" in a query; false when it isn't there. */
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

/* Whether the changes since the cursor are still known here. */
static bool is_known(const struct kv_feed *f, uint64_t after)
{
	uint64_t n = after & COUNT_MASK;

	return (after & ~COUNT_MASK) == f->epoch && n >= f->first &&
	       n <= f->first + f->changes->len;
}

/* Where both proxies have just started, it waits until all was read here. */
static void ask_all(struct kv_feed *f, struct ready_wait *wait, uint64_t since)
{
	if (f->settled)
		answer_since(f, wait, since);
	else
		wait_for_news(f, wait, true, since, START_WAIT_MS);
}

/* A call of another proxy. */
void kv_feed_ask(struct kv_feed *f, struct str query, struct ready_wait *wait)
{
	uint64_t after, since, wait_ms;

	if (query_number(query, "since", &since))
		ask_all(f, wait, since);
	else if (!f->settled)
		ready_answer(wait, HTTP_UNAVAILABLE, STR(""));
	else if (!query_number(query, "after", &after) ||
		 !query_number(query, "waitMs", &wait_ms))
		ready_answer(wait, HTTP_BAD, STR(""));
	else if (!is_known(f, after))
		ready_answer(wait, HTTP_GONE, STR(""));
	else if (after != cursor(f))
		answer_changes(f, wait, clock_boot_us(), after);
	else
		wait_for_news(f, wait, false, after, wait_ms);
}

/*
 * NULL is ignored. Before the port that it serves, which could not end while
 * calls are without an answer.
 */
void kv_feed_destroy(struct kv_feed *f)
{
	if (!f)
		return;
	while (f->waiters.head) {
		struct waiter *w = f->waiters.head->data;
		struct ready_wait *wait = w->wait;

		ready_on_gone(wait, NULL, NULL);
		forget(w);
		ready_answer(wait, HTTP_UNAVAILABLE, STR(""));
	}
	g_ptr_array_unref(f->changes);
	g_hash_table_destroy(f->entries);
	g_free(f);
}
