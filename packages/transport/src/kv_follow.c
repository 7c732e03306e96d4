#define LOG_MODULE "kv-follow"
#include <celeryquay/transport/kv_follow.h>

#include <celeryquay/base/clock.h>
#include <celeryquay/base/log.h>
#include <celeryquay/core/types.h>
#include <celeryquay/transport/kv_table.h>

#define CONNECT_TIMEOUT_US (1000 * USEC_PER_MSEC)
#define NSEC_PER_USEC 1000
#define WATCH_LATE_US USEC_PER_SEC
#define GATHER_MS 200
#define RETRY_LEAST_MS 60
#define RETRY_MOST_MS 300
/* Entries that lapsed in an outage are back by then, if anybody lives. */
#define HOLD_MS 2500
#define HTTP_OK 200

/* A proxy's answers have been gathered already. */
#define FEED_GATHER_MS 10

/* A call that has no answer yet. */
struct asked {
	struct kv_follow *follow;
	struct http_call *call;
	uint64_t sent_ns;
	uint64_t sent_us; /* of the boot clock */
	GList link; /* in asked */
};

struct kv_follow {
	char *base;
	struct http *http;
	struct kv_table *table;
	const struct kv_codec *codec;
	const struct kv_events *events;
	void *ctx;
	uv_timer_t retry;
	uv_timer_t repeat;
	uv_timer_t release;
	GQueue asked; /* the same call, sent more than once in a silence */
	char *feed; /* the proxy that is asked; NULL: the store */
	char *left_feed; /* the one before, to go on with */
	uint64_t left_cursor;
	struct kv_source source;
	uint64_t cursor; /* the watch goes on from here; 0: a range is due */
	uint64_t known_at; /* all up to this revision of the store is known */
	uint64_t range_at; /* the store's revision at the first page */
	uint64_t range_cursor;
	uint64_t range_us; /* the first page was asked for then */
	uint64_t sent_us; /* the call that was answered last */
	char *page; /* the key before the next page; NULL: the first one */
	char *last; /* key of the answer's last item */
	unsigned delay_ms; /* before the next try; 0: all is well */
	bool incomplete; /* a value was left out that isn't known here */
	bool owed; /* the store's answer that brings it has not come yet */
	char *owed_key; /* it is this one; NULL: several */
	bool reads_key; /* the call in flight asks for it */
	bool partial; /* the range is no range: nothing is missing in it */
	bool failing;
	bool holding;
};

static void next_call(struct kv_follow *f);

static void tell_gone(struct kv_follow *f, GPtrArray *gone)
{
	unsigned i;

	for (i = 0; i < gone->len; i++)
		f->events->gone(f->ctx, g_ptr_array_index(gone, i),
				f->known_at);
	g_ptr_array_unref(gone);
}

static void on_release(uv_timer_t *timer)
{
	struct kv_follow *f = timer->data;
	GPtrArray *gone;

	if (f->failing)
		return;
	f->holding = false;
	gone = g_ptr_array_new_with_free_func(g_free);
	kv_table_release(f->table, gone);
	tell_gone(f, gone);
	f->events->settled(f->ctx, f->known_at);
}

/* What is missing in and right after an outage may only have lapsed. */
static void note_store(struct kv_follow *f, bool works)
{
	if (works && f->failing)
		uv_timer_start(&f->release, on_release, HOLD_MS, 0);
	f->failing = !works;
	if (!works)
		f->holding = true;
}

static void heard(struct kv_follow *f, bool works, uint64_t took_us)
{
	note_store(f, works);
	f->events->heard(f->ctx, works, f->cursor ? 0 : took_us);
}

static void on_retry(uv_timer_t *timer)
{
	next_call(timer->data);
}

static bool is_answered(const struct kv_follow *f)
{
	GList *l;

	for (l = f->asked.head; l; l = l->next) {
		const struct asked *a = l->data;

		if (http_has_begun(a->call))
			return true;
	}
	return false;
}

/* An answer that goes on over a narrow link shares it with no second one. */
static void on_repeat(uv_timer_t *timer)
{
	struct kv_follow *f = timer->data;

	if (!is_answered(f))
		next_call(f);
	else
		uv_timer_start(timer, on_repeat, f->source.repeat_ms, 0);
}

static void retry_later(struct kv_follow *f)
{
	unsigned delay = CLAMP(f->delay_ms, RETRY_LEAST_MS, RETRY_MOST_MS);

	f->delay_ms = delay * 2;
	delay = delay / 2 + (unsigned)g_random_int_range(0, (gint32)delay);
	uv_timer_start(&f->retry, on_retry, delay, 0);
}

static void forget(struct asked *a)
{
	g_queue_unlink(&a->follow->asked, &a->link);
	g_free(a);
}

/* Nothing that was asked before counts any more. */
static void cancel_others(struct kv_follow *f)
{
	struct asked *a;

	uv_timer_stop(&f->repeat);
	while ((a = g_queue_peek_head(&f->asked))) {
		http_cancel(a->call);
		forget(a);
	}
}

/* One key alone is read by itself; several are read with all others. */
static void note_missing(struct kv_follow *f, const char *key)
{
	bool is_first = !f->incomplete;

	f->incomplete = true;
	if (is_first)
		f->owed_key = g_strdup(key);
	else if (g_strcmp0(f->owed_key, key))
		g_clear_pointer(&f->owed_key, g_free);
}

static void take_item(void *ctx, const struct kv_item *item)
{
	struct kv_follow *f = ctx;
	bool hold = f->holding &&
		    g_str_has_prefix(item->key, f->codec->held_prefix);

	g_free(f->last);
	f->last = g_strdup(item->key);
	if (item->deleted) {
		if (kv_table_delete(f->table, item->key, item->revision, hold))
			f->events->gone(f->ctx, item->key, item->revision);
	} else if (!item->value.data) {
		if (!kv_table_confirm(f->table, item->key, item->revision))
			note_missing(f, item->key);
	} else if (kv_table_put(f->table, item->key, item->revision)) {
		f->events->set(f->ctx, item->key, item->revision, item->value);
	}
}

/* The items are told as they are read. */
bool kv_follow_read(struct kv_follow *f, struct str body,
		    struct kv_answer *answer)
{
	*answer = (struct kv_answer){ .known_us = INT64_MIN };
	g_clear_pointer(&f->last, g_free);
	if (!f->owed)
		g_clear_pointer(&f->owed_key, g_free);
	return f->codec->read(body, answer, take_item, f);
}

/*
 * Failure: an answer is long on its way, or the process stands still before it
 * reads it, and what it says counts as new. Guard: an answer is as old as its
 * question. Another proxy says what it knew when the question came, which is
 * not before it was sent.
 */
static void tell_known(struct kv_follow *f, const struct kv_answer *answer,
		       uint64_t asked_us)
{
	int64_t now_us = (int64_t)clock_boot_us();
	int64_t known_us = (int64_t)asked_us;

	if (f->feed && answer->known_us == INT64_MIN)
		return;
	/* Nobody knows more than that, whatever the other says. */
	if (f->feed && answer->known_us >= now_us - known_us)
		known_us = now_us;
	else if (f->feed)
		known_us += answer->known_us;
	if (known_us > 0)
		f->events->known(f->ctx, (uint64_t)known_us);
}

static void end_range(struct kv_follow *f)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);

	if (!f->partial)
		kv_table_range_end(f->table, "", f->range_at,
				   f->holding ? f->codec->held_prefix : NULL,
				   gone);
	f->owed = f->owed && f->feed;
	f->known_at = MAX(f->known_at, f->range_at);
	tell_gone(f, gone);
	f->cursor = f->range_cursor;
	f->events->settled(f->ctx, f->known_at);
}

/* Nothing was read to its end yet, and the store is asked. */
static bool is_at_start(const struct kv_follow *f)
{
	return !f->known_at && !f->feed;
}

/*
 * Pages are no snapshot. The watch goes on from the first page's revision,
 * so what changed between the pages is told once more.
 */
static void take_page(struct kv_follow *f, const struct kv_answer *answer)
{
	if (!f->page) {
		f->range_us = f->sent_us;
		f->range_at = answer->at;
		f->range_cursor = answer->cursor ? answer->cursor : answer->at;
		f->partial = answer->partial;
	}
	g_clear_pointer(&f->page, g_free);
	if (answer->more)
		f->page = g_steal_pointer(&f->last);
	/* What is sent twice could not be told from the next page. */
	f->source.repeat_ms = 0;
	if (f->page) {
		if (is_at_start(f))
			f->events->first_page(f->ctx);
		return;
	}
	end_range(f);
	tell_known(f, answer, f->range_us);
}

/* The next call reads a range. */
static void read_again(struct kv_follow *f)
{
	f->cursor = 0;
	g_clear_pointer(&f->page, g_free);
}

/* The history is gone. */
static void start_over(struct kv_follow *f)
{
	LOG_INFO("the watch from %" G_GUINT64_FORMAT " is too old", f->cursor);
	if (!f->feed)
		heard(f, true, 0);
	f->delay_ms = 0;
	read_again(f);
}

/* Also another proxy's answer says that the store is back. */
static void tell_works(struct kv_follow *f, const struct kv_answer *answer,
		       uint64_t took_us)
{
	if (!f->feed)
		heard(f, true, took_us);
	else if (f->events->fed(f->ctx, true, answer->age_us))
		note_store(f, true);
}

/*
 * What a watch of the store doesn't tell is known less well: while a store
 * drops its history, it may hold changes back for a moment.
 */
static void tell_known_by_watch(struct kv_follow *f,
				const struct kv_answer *answer)
{
	uint64_t late_us = f->feed ? 0 : WATCH_LATE_US;

	if (f->sent_us > late_us)
		tell_known(f, answer, f->sent_us - late_us);
}

static void take_news(struct kv_follow *f, const struct kv_answer *answer)
{
	uint64_t next = answer->cursor ? answer->cursor : answer->at;
	bool is_news = next != f->cursor;

	f->cursor = f->feed ? next : MAX(f->cursor, next);
	f->known_at = MAX(f->known_at, answer->at);
	f->events->settled(f->ctx, f->known_at);
	tell_known_by_watch(f, answer);
	/* Changes come in bursts; a call for each would be dear. */
	uv_timer_start(&f->retry, on_retry,
		       f->feed ? FEED_GATHER_MS :
		       is_news ? GATHER_MS :
				 0,
		       0);
}

/*
 * Another proxy left out a value, because it is large or because this one was
 * to know it. The store has it; the proxy's changes go on from here after it.
 */
static void ask_store_once(struct kv_follow *f, const struct kv_answer *answer)
{
	f->incomplete = false;
	f->owed = true;
	g_free(f->left_feed);
	f->left_feed = g_strdup(f->feed);
	f->left_cursor = answer->cursor;
	next_call(f);
}

/* The watcher's changes go on after the value that it had left out. */
static void take_key(struct kv_follow *f)
{
	f->owed = false;
	f->cursor = f->known_at;
	f->events->settled(f->ctx, f->known_at);
	next_call(f);
}

static void take_answer(struct kv_follow *f, const struct kv_answer *answer,
			uint64_t took_us)
{
	tell_works(f, answer, took_us);
	f->delay_ms = 0;
	if (f->reads_key) {
		take_key(f);
	} else if (f->incomplete) {
		ask_store_once(f, answer);
	} else if (f->cursor) {
		take_news(f, answer);
	} else {
		take_page(f, answer);
		next_call(f);
	}
}

/* Whoever is asked next; the store is asked at once after a proxy failed. */
static void on_failed(struct kv_follow *f)
{
	g_clear_pointer(&f->page, g_free);
	if (!f->feed) {
		heard(f, false, 0);
		retry_later(f);
		return;
	}
	f->events->fed(f->ctx, false, 0);
	uv_timer_start(&f->retry, on_retry, FEED_GATHER_MS, 0);
}

static bool read_body(struct kv_follow *f, struct str body,
		      struct kv_answer *answer)
{
	if (!f->cursor && !f->page && !f->reads_key)
		kv_table_range_begin(f->table);
	return kv_follow_read(f, body, answer);
}

static void on_done(void *ctx, const struct err *err, bool not_sent,
		    long status, struct str body)
{
	struct asked *a = ctx;
	struct kv_follow *f = a->follow;
	uint64_t took_us = (uv_hrtime() - a->sent_ns) / NSEC_PER_USEC;
	struct kv_answer answer;

	(void)not_sent;
	f->sent_us = a->sent_us;
	forget(a);
	/* One that was sent after it may still be answered. */
	if (err->code && f->asked.head)
		return;
	cancel_others(f);
	if (!err->code && status == HTTP_OK) {
		if (read_body(f, body, &answer)) {
			take_answer(f, &answer, took_us);
			return;
		}
		f->events->refused(f->ctx, status, body.len);
	}
	if (!err->code && status == f->codec->too_old && f->cursor) {
		start_over(f);
		retry_later(f);
		return;
	}
	if (!err->code && status == f->codec->not_found && f->reads_key) {
		answer = (struct kv_answer){ 0 };
		take_answer(f, &answer, took_us);
		return;
	}
	LOG_DBG("status %ld: %s", status, err->message);
	on_failed(f);
}

/*
 * A cursor is of one source; another one is asked for all, unless it was left
 * a moment ago. The store goes on from what is known of it.
 */
static void change_source(struct kv_follow *f, const char *base)
{
	if (!g_strcmp0(f->feed, base))
		return;
	cancel_others(f);
	g_free(f->feed);
	f->feed = g_strdup(base);
	f->delay_ms = 0;
	read_again(f);
	if (base && !g_strcmp0(f->left_feed, base))
		f->cursor = f->left_cursor;
	if (!base && !f->owed)
		f->cursor = f->known_at;
	if (base)
		g_clear_pointer(&f->left_feed, g_free);
}

/*
 * The pages of a range are all of one source, but for the first one: it may
 * have named another proxy that has all of it.
 *
 * Failure: hundreds of proxies start at once and read everything from the
 * store. Its link is full for many seconds, in which none of them can serve.
 */
static void choose_source(struct kv_follow *f)
{
	if (f->page && !is_at_start(f))
		return;
	/* Until it has answered: the proxy won't tell of the value again. */
	if (f->owed)
		f->events->missing(f->ctx);
	f->events->source(f->ctx, !f->cursor, &f->source);
	if (f->page)
		f->source.repeat_ms = 0;
	change_source(f, f->source.base);
}

static char *next_url(const struct kv_follow *f, const struct kv_source *source)
{
	if (f->feed && f->cursor)
		return f->codec->feed_watch_url(f->feed, f->cursor,
						source->wait_ms);
	if (f->feed)
		return f->codec->feed_range_url(f->feed, f->known_at);
	if (f->reads_key)
		return f->codec->key_url(f->base, f->owed_key);
	if (f->cursor)
		return f->codec->watch_url(f->base, f->cursor, source->wait_ms);
	return f->codec->range_url(f->base, f->page);
}

/* Sends what is due to whom it is due. */
static void send_call(struct kv_follow *f)
{
	static const struct http_events events = { .done = on_done };
	struct http_request request = { .method = HTTP_GET };
	struct asked *a = g_new0(struct asked, 1);
	char *url;

	f->reads_key = f->owed && f->owed_key && !f->feed && !f->page;
	url = next_url(f, &f->source);
	request.url = url;
	request.timeout_us = f->source.most_us;
	request.silence_us = f->source.timeout_us;
	request.connect_timeout_us =
		MIN(f->source.timeout_us, CONNECT_TIMEOUT_US);
	a->follow = f;
	a->sent_ns = uv_hrtime();
	a->sent_us = clock_boot_us();
	a->link.data = a;
	g_queue_push_tail_link(&f->asked, &a->link);
	a->call = http_start(f->http, &request, &events, a);
	if (f->source.repeat_ms)
		uv_timer_start(&f->repeat, on_repeat, f->source.repeat_ms, 0);
	g_free(url);
}

static void next_call(struct kv_follow *f)
{
	choose_source(f);
	send_call(f);
}

/* Starts to read with the loop's next turn. */
struct kv_follow *kv_follow_create(uv_loop_t *loop, struct http *http,
				   const char *base,
				   const struct kv_codec *codec,
				   const struct kv_events *events, void *ctx)
{
	struct kv_follow *f = g_new0(struct kv_follow, 1);

	f->base = g_strdup(base);
	f->http = http;
	f->table = kv_table_create();
	f->codec = codec;
	f->events = events;
	f->ctx = ctx;
	uv_timer_init(loop, &f->retry);
	uv_timer_init(loop, &f->repeat);
	uv_timer_init(loop, &f->release);
	f->retry.data = f->repeat.data = f->release.data = f;
	uv_timer_start(&f->retry, on_retry, 0, 0);
	return f;
}

/* What was taken last. */
uint64_t kv_follow_revision(const struct kv_follow *f, const char *key)
{
	return kv_table_revision(f->table, key);
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* NULL is ignored. The loop must turn once more for the memory to go. */
void kv_follow_destroy(struct kv_follow *f)
{
	struct asked *a;

	if (!f)
		return;
	while ((a = g_queue_peek_head(&f->asked)))
		forget(a);
	kv_table_destroy(f->table);
	g_free(f->last);
	g_free(f->owed_key);
	g_free(f->page);
	g_free(f->feed);
	g_free(f->left_feed);
	g_free(f->base);
	uv_close((uv_handle_t *)&f->retry, NULL);
	uv_close((uv_handle_t *)&f->repeat, NULL);
	uv_close((uv_handle_t *)&f->release, on_closed);
}
