#define LOG_MODULE "kv-follow"
#include <celeryquay/transport/kv_follow.h>

#include <celeryquay/base/clock.h>
#include <celeryquay/base/log.h>
#include <celeryquay/core/types.h>
#include <celeryquay/transport/kv_table.h>

#define CONNECT_TIMEOUT_US (1000 * USEC_PER_MSEC)
#define NSEC_PER_USEC 1000
#define WATCH_DELAY_MAX_US USEC_PER_SEC
#define BATCH_DELAY_MS 200
#define RETRY_MIN_MS 60
#define RETRY_MAX_MS 300
/*
 * How long deletions are held back after an outage. By then a live server has
 * written its expired entry again.
 */
#define DELETION_HOLD_MS 2500
#define HTTP_OK 200

/* A proxy's answers come batched already. */
#define FEED_BATCH_DELAY_MS 10

/* A call without an answer so far. */
struct pending_call {
	struct kv_follow *follow;
	struct http_call *call;
	uint64_t sent_at_ns;
	uint64_t sent_at_us; /* by the boot clock */
	GList link; /* in kv_follow's pending_calls */
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
	/* Several if the store is silent and the same call was repeated. */
	GQueue pending_calls;
	char *feed; /* base URL of the proxy in use; NULL: the store */
	/*
	 * The proxy that was left to read a value from the store, and where its
	 * watch continues.
	 */
	char *previous_feed;
	uint64_t previous_cursor;
	struct kv_source source;
	uint64_t cursor; /* where the next watch starts; 0: a range is due */
	uint64_t known_revision; /* everything up to this revision is known */
	uint64_t era; /* the newest seen, of the store or of another proxy */
	uint64_t range_revision; /* revision of the store at the first page */
	uint64_t range_cursor;
	uint64_t range_sent_at_us; /* when the first page was requested */
	uint64_t sent_at_us; /* when the last answered call was sent */
	char *page; /* the next page starts after it; NULL: first page */
	char *last_key; /* key of the last item of the answer */
	unsigned retry_delay_ms; /* before the next retry; 0: no failure */
	bool value_omitted; /* the answer lacks a value not known here */
	bool value_missing; /* such a value has yet to come from the store */
	char *missing_key; /* its key; NULL: several keys */
	bool reads_key; /* the call in flight reads missing_key only */
	/* The range holds changes only, so an absent key was not deleted. */
	bool partial;
	bool store_failing;
	bool holds_deletions;
	/* Deletions of any key are held back, see begin_era(). */
	bool store_returned;
	/* The answer is not of the era that is being read. */
	bool answer_discarded;
};

static void next_call(struct kv_follow *f);

static void report_deleted(struct kv_follow *f, GPtrArray *gone)
{
	unsigned i;

	for (i = 0; i < gone->len; i++)
		f->events->gone(f->ctx, g_ptr_array_index(gone, i),
				f->known_revision);
	g_ptr_array_unref(gone);
}

static void on_release(uv_timer_t *timer)
{
	struct kv_follow *f = timer->data;
	GPtrArray *gone;

	if (f->store_failing)
		return;
	f->holds_deletions = f->store_returned = false;
	gone = g_ptr_array_new_with_free_func(g_free);
	kv_table_release_held(f->table, gone);
	report_deleted(f, gone);
	f->events->settled(f->ctx, f->known_revision);
}

/*
 * Notes whether the store answers. Deletions seen during an outage and right
 * after it are held back, since the keys may only have expired.
 */
static void set_store_state(struct kv_follow *f, bool works)
{
	if (works && f->store_failing)
		uv_timer_start(&f->release, on_release, DELETION_HOLD_MS, 0);
	f->store_failing = !works;
	if (!works)
		f->holds_deletions = true;
}

static void report_store_result(struct kv_follow *f, bool works,
				uint64_t took_us)
{
	set_store_state(f, works);
	f->events->store_call_ended(f->ctx, works, f->cursor ? 0 : took_us);
}

/* Makes the next call read a range from its first page. */
static void restart_range(struct kv_follow *f)
{
	f->cursor = 0;
	g_clear_pointer(&f->page, g_free);
}

/* The call in flight, or the one just answered, begins a range. */
static bool reads_first_page(const struct kv_follow *f)
{
	return !f->cursor && !f->page && !f->reads_key;
}

/*
 * If the store came back from an older copy, true, and everything is read
 * again: what was written since that copy is gone. Its writers write it again
 * soon, so deletions of all keys are held back meanwhile.
 */
static bool begin_era(struct kv_follow *f, uint64_t era)
{
	bool is_first = !f->known_revision && !f->page;

	f->era = era;
	f->events->era(f->ctx, era, !is_first);
	if (is_first)
		return false;
	restart_range(f);
	f->value_missing = f->value_omitted = false;
	g_clear_pointer(&f->missing_key, g_free);
	g_clear_pointer(&f->previous_feed, g_free);
	f->holds_deletions = f->store_returned = true;
	uv_timer_start(&f->release, on_release, DELETION_HOLD_MS, 0);
	return true;
}

static void on_retry(uv_timer_t *timer)
{
	next_call(timer->data);
}

static bool is_answer_arriving(const struct kv_follow *f)
{
	GList *l;

	for (l = f->pending_calls.head; l; l = l->next) {
		const struct pending_call *a = l->data;

		if (http_response_body_has_begun(a->call))
			return true;
	}
	return false;
}

/*
 * A call is not repeated while its answer is arriving, since two answers would
 * compete for a narrow link.
 */
static void on_repeat(uv_timer_t *timer)
{
	struct kv_follow *f = timer->data;

	if (!is_answer_arriving(f))
		next_call(f);
	else
		uv_timer_start(timer, on_repeat, f->source.repeat_ms, 0);
}

static void retry_later(struct kv_follow *f)
{
	unsigned delay = CLAMP(f->retry_delay_ms, RETRY_MIN_MS, RETRY_MAX_MS);

	f->retry_delay_ms = delay * 2;
	delay = delay / 2 + (unsigned)g_random_int_range(0, (gint32)delay);
	uv_timer_start(&f->retry, on_retry, delay, 0);
}

static void remove_call(struct pending_call *a)
{
	g_queue_unlink(&a->follow->pending_calls, &a->link);
	g_free(a);
}

/* Cancels all calls in flight; their answers no longer count. */
static void cancel_calls(struct kv_follow *f)
{
	struct pending_call *a;

	uv_timer_stop(&f->repeat);
	while ((a = g_queue_peek_head(&f->pending_calls))) {
		http_cancel(a->call);
		remove_call(a);
	}
}

/* A single missing key is read on its own; for several, everything is read. */
static void note_omitted(struct kv_follow *f, const char *key)
{
	bool is_first = !f->value_omitted;

	f->value_omitted = true;
	if (is_first)
		f->missing_key = g_strdup(key);
	else if (g_strcmp0(f->missing_key, key))
		g_clear_pointer(&f->missing_key, g_free);
}

static void report_left_aside(struct kv_follow *f, const struct kv_item *item)
{
	uint64_t known = kv_table_revision(f->table, item->key);

	if (item->revision < known)
		f->events->left_aside(f->ctx, item->key, item->revision, known);
}

static void take_item(void *ctx, const struct kv_item *item)
{
	struct kv_follow *f = ctx;
	bool hold = f->holds_deletions &&
		    g_str_has_prefix(item->key, f->codec->expiring_prefix);

	g_free(f->last_key);
	f->last_key = g_strdup(item->key);
	if (item->deleted) {
		if (kv_table_delete(f->table, item->key, item->revision, hold))
			f->events->gone(f->ctx, item->key, item->revision);
	} else if (!item->value.data) {
		if (!kv_table_confirm(f->table, item->key, item->revision))
			note_omitted(f, item->key);
	} else if (kv_table_put(f->table, item->key, item->revision)) {
		f->events->set(f->ctx, item->key, item->revision, item->value);
	} else {
		report_left_aside(f, item);
	}
}

/*
 * Whether the items of another proxy's answer count. That proxy may have heard
 * of the store's return sooner than this one, or later.
 */
static bool begin_feed_answer(void *ctx, const struct kv_answer *answer)
{
	struct kv_follow *f = ctx;
	uint64_t era = kv_stamp_era(answer->at);
	bool is_whole = reads_first_page(f) && !answer->partial;

	if (era < f->era || (era > f->era && begin_era(f, era) && !is_whole))
		f->answer_discarded = true;
	return !f->answer_discarded;
}

static bool read_answer(struct kv_follow *f, struct str body, kv_begin_fn begin,
			struct kv_answer *answer)
{
	*answer = (struct kv_answer){ .known_us = INT64_MIN };
	f->answer_discarded = false;
	g_clear_pointer(&f->last_key, g_free);
	if (!f->value_missing)
		g_clear_pointer(&f->missing_key, g_free);
	return f->codec->read(body, begin ? 0 : f->era, answer, begin,
			      take_item, f);
}

/* Items are reported while the answer is parsed. */
bool kv_follow_read(struct kv_follow *f, struct str body,
		    struct kv_answer *answer)
{
	return read_answer(f, body, NULL, answer);
}

/*
 * An answer may be delayed on the network or by a stall of this process, and
 * its content must not count as recent. So it is dated by the time when the
 * call was sent. Another proxy says what it knew relative to the arrival of the
 * request, which is not before the request was sent.
 */
static void report_known(struct kv_follow *f, const struct kv_answer *answer,
			 uint64_t call_sent_at_us)
{
	int64_t now_us = (int64_t)clock_boot_us();
	int64_t known_at_us = (int64_t)call_sent_at_us;

	if (f->feed && answer->known_us == INT64_MIN)
		return;
	/* Whatever the other proxy says, the time can't be in the future. */
	if (f->feed && answer->known_us >= now_us - known_at_us)
		known_at_us = now_us;
	else if (f->feed)
		known_at_us += answer->known_us;
	if (known_at_us > 0)
		f->events->known(f->ctx, (uint64_t)known_at_us);
}

/* Deletions under this prefix are held back; NULL: none are. */
static const char *held_prefix(const struct kv_follow *f)
{
	if (f->store_returned)
		return "";
	return f->holds_deletions ? f->codec->expiring_prefix : NULL;
}

static void report_forgotten(struct kv_follow *f, GPtrArray *held)
{
	unsigned i;

	for (i = 0; f->store_returned && i < held->len; i++)
		f->events->forgotten(f->ctx, g_ptr_array_index(held, i));
	g_ptr_array_unref(held);
}

static void end_range(struct kv_follow *f)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *held = g_ptr_array_new_with_free_func(g_free);

	if (!f->partial)
		kv_table_range_end(f->table, f->range_revision, held_prefix(f),
				   gone, held);
	f->value_missing = f->value_missing && f->feed;
	f->known_revision = MAX(f->known_revision, f->range_revision);
	report_deleted(f, gone);
	report_forgotten(f, held);
	f->cursor = f->range_cursor;
	f->events->settled(f->ctx, f->known_revision);
}

/* No range has been completed yet, and the store is being read. */
static bool is_initial_read(const struct kv_follow *f)
{
	return !f->known_revision && !f->feed;
}

/*
 * The pages are no snapshot. The watch starts at the first page's revision, so
 * changes made between the pages are reported again.
 */
static void take_page(struct kv_follow *f, const struct kv_answer *answer)
{
	if (!f->page) {
		f->range_sent_at_us = f->sent_at_us;
		f->range_revision = answer->at;
		f->range_cursor = answer->cursor ? answer->cursor : answer->at;
		f->partial = answer->partial;
	}
	g_clear_pointer(&f->page, g_free);
	if (answer->more)
		f->page = g_steal_pointer(&f->last_key);
	/*
	 * No repeats from here on: the answer to a repeated call could not be
	 * told from the one to the next page.
	 */
	f->source.repeat_ms = 0;
	if (f->page) {
		if (is_initial_read(f))
			f->events->first_page(f->ctx);
		return;
	}
	end_range(f);
	report_known(f, answer, f->range_sent_at_us);
}

/* The store no longer has the history after the cursor. */
static void reset_watch(struct kv_follow *f)
{
	LOG_INFO("the watch from %" G_GUINT64_FORMAT " is too old",
		 kv_stamp_revision(f->cursor));
	if (!f->feed)
		report_store_result(f, true, 0);
	f->retry_delay_ms = 0;
	restart_range(f);
}

/*
 * An answer of another proxy also shows that the store is back, if it is recent
 * enough.
 */
static void report_answered(struct kv_follow *f, const struct kv_answer *answer,
			    uint64_t took_us)
{
	if (!f->feed)
		report_store_result(f, true, took_us);
	else if (f->events->fed(f->ctx, true, answer->age_us))
		set_store_state(f, true);
}

/*
 * That the store's watch reports no change is less reliable: while a store
 * drops its history it may delay changes for a moment. Its answers count as
 * older by that much.
 */
static void report_known_by_watch(struct kv_follow *f,
				  const struct kv_answer *answer)
{
	uint64_t delay_us = f->feed ? 0 : WATCH_DELAY_MAX_US;

	if (f->sent_at_us > delay_us)
		report_known(f, answer, f->sent_at_us - delay_us);
}

static void take_changes(struct kv_follow *f, const struct kv_answer *answer)
{
	uint64_t next = answer->cursor ? answer->cursor : answer->at;
	bool has_changes = next != f->cursor;

	f->cursor = f->feed ? next : MAX(f->cursor, next);
	f->known_revision = MAX(f->known_revision, answer->at);
	f->events->settled(f->ctx, f->known_revision);
	report_known_by_watch(f, answer);
	/* Changes come in bursts; a call for each would be expensive. */
	uv_timer_start(&f->retry, on_retry,
		       f->feed	   ? FEED_BATCH_DELAY_MS :
		       has_changes ? BATCH_DELAY_MS :
				     0,
		       0);
}

/*
 * Another proxy left out a value, because it is large or because it should be
 * known here. The value is read from the store; afterwards the watch of that
 * proxy continues from this answer.
 */
static void fetch_omitted_value(struct kv_follow *f,
				const struct kv_answer *answer)
{
	f->value_omitted = false;
	f->value_missing = true;
	g_free(f->previous_feed);
	f->previous_feed = g_strdup(f->feed);
	f->previous_cursor = answer->cursor;
	next_call(f);
}

/* The value has been read; the next call may return to the proxy's changes. */
static void take_key(struct kv_follow *f)
{
	f->value_missing = false;
	f->cursor = f->known_revision;
	f->events->settled(f->ctx, f->known_revision);
	next_call(f);
}

static void take_answer(struct kv_follow *f, const struct kv_answer *answer,
			uint64_t took_us)
{
	report_answered(f, answer, took_us);
	f->retry_delay_ms = 0;
	if (f->reads_key) {
		take_key(f);
	} else if (f->value_omitted) {
		fetch_omitted_value(f, answer);
	} else if (f->cursor) {
		take_changes(f, answer);
	} else {
		take_page(f, answer);
		next_call(f);
	}
}

/*
 * After a failed proxy the next source is tried at once, after a failure of the
 * store with a back-off.
 */
static void on_failed(struct kv_follow *f)
{
	g_clear_pointer(&f->page, g_free);
	if (!f->feed) {
		report_store_result(f, false, 0);
		retry_later(f);
		return;
	}
	f->events->fed(f->ctx, false, 0);
	uv_timer_start(&f->retry, on_retry, FEED_BATCH_DELAY_MS, 0);
}

/* Only the store's own answers carry an era. False: malformed. */
static bool read_era(const struct kv_follow *f, const struct http_call *call,
		     uint64_t *era)
{
	const char *text = NULL;

	if (!f->feed && f->codec->era_header)
		text = http_response_header(call, f->codec->era_header);
	return kv_stamp_parse_era(text, era);
}

static bool read_body(struct kv_follow *f, struct str body,
		      struct kv_answer *answer)
{
	if (reads_first_page(f))
		kv_table_range_begin(f->table);
	return read_answer(f, body, f->feed ? begin_feed_answer : NULL, answer);
}

static void on_body(struct kv_follow *f, struct str body, uint64_t took_us)
{
	struct kv_answer answer;

	if (!read_body(f, body, &answer)) {
		f->events->refused(f->ctx, HTTP_OK, body.len);
		on_failed(f);
	} else if (!f->answer_discarded) {
		take_answer(f, &answer, took_us);
	} else if (kv_stamp_era(answer.at) < f->era) {
		LOG_INFO("%s does not know of era %" G_GUINT64_FORMAT " yet",
			 f->feed, f->era);
		on_failed(f);
	} else {
		next_call(f);
	}
}

/* Handles a complete answer of the store, or of another proxy. */
static void on_status(struct kv_follow *f, long status, struct str body,
		      uint64_t took_us)
{
	struct kv_answer answer = { 0 };

	if (status == HTTP_OK) {
		on_body(f, body, took_us);
	} else if (status == f->codec->history_gone_status && f->cursor) {
		reset_watch(f);
		retry_later(f);
	} else if (status == f->codec->not_found && f->reads_key) {
		take_answer(f, &answer, took_us);
	} else {
		LOG_DBG("status %ld", status);
		on_failed(f);
	}
}

/* The store answers, but not with a page of its new era. */
static bool is_answer_outdated(const struct kv_follow *f, long status)
{
	return status == f->codec->history_gone_status ||
	       status == f->codec->not_found ||
	       (status == HTTP_OK && !reads_first_page(f));
}

/*
 * Whether the store's answer, which has this era, is to be handled. An answer
 * of an earlier era has arrived late.
 */
static bool check_answer_era(struct kv_follow *f, uint64_t era, long status)
{
	bool is_outdated = is_answer_outdated(f, status);

	if (era < f->era) {
		on_failed(f);
		return false;
	}
	if (era == f->era || !begin_era(f, era) || !is_outdated)
		return true;
	report_store_result(f, true, 0);
	next_call(f);
	return false;
}

static void on_done(void *ctx, const struct err *err, bool not_sent,
		    long status, struct str body)
{
	struct pending_call *a = ctx;
	struct kv_follow *f = a->follow;
	uint64_t took_us = (uv_hrtime() - a->sent_at_ns) / NSEC_PER_USEC;
	uint64_t era;
	bool has_era = read_era(f, a->call, &era);

	(void)not_sent;
	f->sent_at_us = a->sent_at_us;
	remove_call(a);
	/* A repeat of the call may still be answered. */
	if (err->code && f->pending_calls.head)
		return;
	cancel_calls(f);
	if (err->code) {
		LOG_DBG("%s", err->message);
		on_failed(f);
	} else if (!has_era) {
		f->events->refused(f->ctx, status, body.len);
		on_failed(f);
	} else if (f->feed || check_answer_era(f, era, status)) {
		on_status(f, status, body, took_us);
	}
}

/*
 * A cursor is valid for one proxy. A new one is asked for everything, unless it
 * was left just before to read a value. The store continues from the last known
 * revision.
 */
static void change_source(struct kv_follow *f, const char *base)
{
	if (!g_strcmp0(f->feed, base))
		return;
	cancel_calls(f);
	g_free(f->feed);
	f->feed = g_strdup(base);
	f->retry_delay_ms = 0;
	restart_range(f);
	if (base && !g_strcmp0(f->previous_feed, base))
		f->cursor = f->previous_cursor;
	if (!base && !f->value_missing &&
	    kv_stamp_era(f->known_revision) == f->era)
		f->cursor = f->known_revision;
	if (base)
		g_clear_pointer(&f->previous_feed, g_free);
}

/*
 * All pages of a range come from one source, except that the first range of all
 * may switch after its first page, which may have named a proxy that has
 * everything.
 *
 * If hundreds of proxies start at once and all read everything from the store,
 * its link is saturated for many seconds, in which none of them can serve.
 */
static void choose_source(struct kv_follow *f)
{
	if (f->page && !is_initial_read(f))
		return;
	/*
	 * Repeated until the store has answered, since the proxy won't name the
	 * value again.
	 */
	if (f->value_missing)
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
		return f->codec->feed_range_url(f->feed, f->known_revision);
	if (f->reads_key)
		return f->codec->key_url(f->base, f->missing_key);
	if (f->cursor)
		return f->codec->watch_url(
			f->base, kv_stamp_revision(f->cursor), source->wait_ms);
	return f->codec->range_url(f->base, f->page);
}

/* Sends the next call to the chosen source. */
static void send_call(struct kv_follow *f)
{
	static const struct http_events events = { .done = on_done };
	struct http_request request = { .method = HTTP_GET };
	struct pending_call *a = g_new0(struct pending_call, 1);
	char *url;

	f->reads_key = f->value_missing && f->missing_key && !f->feed &&
		       !f->page;
	url = next_url(f, &f->source);
	request.url = url;
	request.timeout_us = f->source.total_timeout_us;
	request.silence_us = f->source.timeout_us;
	request.connect_timeout_us =
		MIN(f->source.timeout_us, CONNECT_TIMEOUT_US);
	a->follow = f;
	a->sent_at_ns = uv_hrtime();
	a->sent_at_us = clock_boot_us();
	a->link.data = a;
	g_queue_push_tail_link(&f->pending_calls, &a->link);
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

/* The first call is sent in the loop's next iteration. */
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

uint64_t kv_follow_revision(const struct kv_follow *f, const char *key)
{
	return kv_table_revision(f->table, key);
}

/* The era of the store, as far as it is known. */
uint64_t kv_follow_era(const struct kv_follow *f)
{
	return f->era;
}

/* What has been read so far is of another era unless this returns true. */
bool kv_follow_check_era(struct kv_follow *f, uint64_t era)
{
	if (era > f->era && begin_era(f, era)) {
		cancel_calls(f);
		uv_timer_start(&f->retry, on_retry, 0, 0);
	}
	return era == f->era && era == kv_stamp_era(f->known_revision);
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* NULL is ignored. The memory is freed in the loop's next iteration. */
void kv_follow_destroy(struct kv_follow *f)
{
	struct pending_call *a;

	if (!f)
		return;
	while ((a = g_queue_peek_head(&f->pending_calls)))
		remove_call(a);
	kv_table_destroy(f->table);
	g_free(f->last_key);
	g_free(f->missing_key);
	g_free(f->page);
	g_free(f->feed);
	g_free(f->previous_feed);
	g_free(f->base);
	uv_close((uv_handle_t *)&f->retry, NULL);
	uv_close((uv_handle_t *)&f->repeat, NULL);
	uv_close((uv_handle_t *)&f->release, on_closed);
}
