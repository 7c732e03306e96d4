#include "store_watch.h"

#include <celeryquay/core/types.h>
#include <string.h>

/* Maximum size of an incomplete line; no valid line of a watch is that long. */
#define LINE_MAX_BYTES ((size_t)64 * 1024 * 1024)
#define WATCH_PATH "/v3/watch"
#define HTTP_OK 200

struct watch {
	int refs; /* one of the slot, one while lines are read */
	struct watch **slot; /* where the owner keeps the watch; NULL: closed */
	struct store_link *link;
	struct http_call *call; /* NULL: ended */
	unsigned url_index; /* index of its URL */
	uint64_t from_revision;
	uint64_t era; /* of the stream */
	bool has_era; /* it was read from the header */
	const struct store_watch_events *events;
	void *ctx;
	uv_timer_t timer;
	uint64_t silence_timeout_us; /* longest time without a line */
	uint64_t last_line_at_us; /* when the last line came, or the start */
	GString *line; /* received bytes of a line that is not complete yet */
};

static uint64_t now_us(void)
{
	return uv_hrtime() / 1000;
}

static void free_watch(uv_handle_t *timer)
{
	struct watch *w = timer->data;

	g_string_free(w->line, TRUE);
	g_free(w);
}

static void unref(struct watch *w)
{
	if (!--w->refs)
		uv_close((uv_handle_t *)&w->timer, free_watch);
}

/* Closes the watch without a callback. */
void watch_close(struct watch **slot)
{
	struct watch *w = *slot;

	if (!w)
		return;
	*slot = NULL;
	w->slot = NULL;
	uv_timer_stop(&w->timer);
	http_cancel(w->call);
	w->call = NULL;
	unref(w);
}

static void end(struct watch *w, const struct err *err)
{
	const struct store_watch_events *events = w->events;
	void *ctx = w->ctx;

	if (err->code == ERR_STORE_DOWN)
		store_link_url_failed(w->link, w->url_index);
	watch_close(w->slot);
	events->ended(ctx, err);
}

static void arm_silence_timer(struct watch *w);

/*
 * A device between the store and the proxy may drop its state of the connection
 * without closing it: no data arrives then, and no error is reported. Since the
 * store sends progress notices at a regular interval, their absence shows it.
 */
static void on_silence_timer(uv_timer_t *timer)
{
	struct watch *w = timer->data;
	struct err err;

	if (now_us() - w->last_line_at_us < w->silence_timeout_us) {
		arm_silence_timer(w);
		return;
	}
	err_set(&err, ERR_STORE_DOWN,
		"the watch was silent for %" G_GUINT64_FORMAT " ms",
		w->silence_timeout_us / USEC_PER_MSEC);
	end(w, &err);
}

static void arm_silence_timer(struct watch *w)
{
	uint64_t left = w->last_line_at_us + w->silence_timeout_us - now_us();

	uv_timer_start(&w->timer, on_silence_timer,
		       (left + USEC_PER_MSEC - 1) / USEC_PER_MSEC, 0);
}

static void deliver_event(struct watch *w, JsonObject *event)
{
	JsonObject *o = store_body_object(event, "kv");
	GArray *kvs = store_kvs_create();
	struct store_kv kv;

	if (store_body_kv(o, w->era, &kv)) {
		kv.removed =
			!g_strcmp0(json_object_get_string_member_with_default(
					   event, "type", "PUT"),
				   "DELETE");
		g_array_append_val(kvs, kv);
		w->events->event(w->ctx, &kv);
	}
	g_array_unref(kvs);
}

static void deliver_events(struct watch *w, JsonArray *list)
{
	guint n = json_array_get_length(list);
	guint i;

	for (i = 0; i < n && w->slot; i++) {
		JsonNode *node = json_array_get_element(list, i);

		if (JSON_NODE_HOLDS_OBJECT(node))
			deliver_event(w, json_node_get_object(node));
	}
}

static void read_canceled(struct watch *w, JsonObject *result)
{
	uint64_t compacted = store_body_u64(result, "compact_revision");
	struct err err;

	if (compacted)
		err_set(&err, ERR_STORE_COMPACTED,
			"revisions below %" G_GUINT64_FORMAT " are compacted",
			compacted);
	else
		err_set(&err, ERR_STORE_DOWN, "the store ended the watch");
	end(w, &err);
}

/* What the watch would go on from is gone. */
static void end_returned(struct watch *w)
{
	struct err err;

	err_set(&err, ERR_STORE_COMPACTED,
		"the store came back from an older copy");
	end(w, &err);
}

/* A store whose revisions ran back under an open watch came back as well. */
static void read_progress(struct watch *w, JsonObject *result)
{
	uint64_t revision = store_body_revision(result, w->era);

	if (revision + 1 < w->from_revision)
		end_returned(w);
	else
		w->events->progress(w->ctx, revision);
}

static void read_result(struct watch *w, JsonObject *result)
{
	JsonNode *events = json_object_get_member(result, "events");

	if (store_body_bool(result, "canceled"))
		read_canceled(w, result);
	else if (events && JSON_NODE_HOLDS_ARRAY(events))
		deliver_events(w, json_node_get_array(events));
	else if (!store_body_bool(result, "created"))
		read_progress(w, result);
}

static void read_line(struct watch *w, struct str line)
{
	JsonParser *parser = NULL;
	JsonObject *answer = store_body_parse(line, &parser);
	JsonObject *result = store_body_object(answer, "result");
	struct err err = { 0 };

	if (!line.len)
		return;
	w->last_line_at_us = now_us();
	if (result) {
		read_result(w, result);
	} else {
		if (!answer || !store_body_error(answer, &err))
			err_set(&err, ERR_STORE_DOWN,
				"a line of the watch is not recognized");
		end(w, &err);
	}
	g_clear_object(&parser);
}

/*
 * Reads the complete lines and keeps the rest; stops when a callback has closed
 * the watch.
 */
static void read_lines(struct watch *w)
{
	size_t start = 0;
	const char *eol;

	while (w->slot && (eol = memchr(w->line->str + start, '\n',
					w->line->len - start))) {
		struct str line = { .data = w->line->str + start };

		line.len = (size_t)(eol - line.data);
		start += line.len + 1;
		read_line(w, line);
	}
	g_string_erase(w->line, 0, (gssize)start);
}

/* False: the stream is of another era than the watch, which has ended. */
static bool check_era(struct watch *w)
{
	struct err err = { 0 };

	if (w->has_era)
		return true;
	w->has_era = true;
	if (!store_link_read_era(w->link, w->call, &w->era, &err)) {
		end(w, &err);
		return false;
	}
	if (w->era == kv_stamp_era(w->from_revision))
		return true;
	end_returned(w);
	return false;
}

static void on_data(void *ctx, struct str part)
{
	struct watch *w = ctx;
	struct err err;

	if (!check_era(w))
		return;
	w->refs++;
	g_string_append_len(w->line, part.data, (gssize)part.len);
	read_lines(w);
	if (w->slot && w->line->len > LINE_MAX_BYTES) {
		err_set(&err, ERR_STORE_DOWN,
			"a line of the watch is above 64 MiB");
		end(w, &err);
	}
	unref(w);
}

/*
 * The stream ended: it failed, the store closed it, or the store answered with
 * an error instead of a stream.
 */
static void on_done(void *ctx, const struct err *err, bool not_sent,
		    long status, struct str body)
{
	struct watch *w = ctx;
	struct err why = *err;
	JsonParser *parser = NULL;
	JsonObject *answer =
		store_body_parse(str_from_gstring(w->line), &parser);

	(void)not_sent;
	(void)body;
	w->call = NULL; /* the HTTP client frees it after this callback */
	if (!why.code && answer)
		store_body_error(answer, &why);
	if (!why.code && status != HTTP_OK)
		err_set(&why, ERR_STORE_DOWN, "HTTP status %ld", status);
	else if (!why.code)
		err_set(&why, ERR_STORE_DOWN, "the store closed the watch");
	g_clear_object(&parser);
	end(w, &why);
}

static const struct http_events http_events = {
	.data = on_data,
	.done = on_done,
};

/* Opens a watch that starts at a revision; *slot must be NULL. */
void watch_open(struct watch **slot, struct store_link *link, uv_loop_t *loop,
		const struct watch_target *target,
		const struct store_watch_events *events, void *ctx)
{
	GString *body = store_body_watch(target->prefix, target->from_revision);
	char *url = store_link_url(link, WATCH_PATH);
	struct watch *w = g_new0(struct watch, 1);
	struct http_request request = {
		.url = url,
		.body = str_from_gstring(body),
		.connect_timeout_us = link->timeout_us,
	};

	w->refs = 1;
	w->slot = slot;
	w->link = link;
	w->url_index = link->current;
	w->events = events;
	w->ctx = ctx;
	w->from_revision = target->from_revision;
	w->line = g_string_new(NULL);
	w->silence_timeout_us = target->silence_timeout_us;
	w->last_line_at_us = now_us();
	uv_timer_init(loop, &w->timer);
	w->timer.data = w;
	arm_silence_timer(w);
	link->calls++;
	w->call = http_start(link->http, &request, &http_events, w);
	*slot = w;
	g_free(url);
	g_string_free(body, TRUE);
}
