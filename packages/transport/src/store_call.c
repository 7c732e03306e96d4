#define LOG_MODULE "store"
#include "store_call.h"

#include <celeryquay/base/log.h>

#define ERA_HEADER "Store-Era"
#define HTTP_OK 200
#define HTTP_SERVER_ERROR 500

struct store_call {
	struct store_link *link;
	GList node; /* in the link's `open` queue */
	const char *path;
	GString *body;
	struct http_call *http; /* the latest attempt */
	bool writes;
	unsigned url_index; /* index of the URL of the latest attempt */
	unsigned n_attempts; /* so far; at most the number of URLs */
	uint64_t deadline_at_us; /* of all attempts, on uv_hrtime()'s clock */
	store_answer_fn done;
	void *ctx;
};

static void start(struct store_call *call);

static void call_free(struct store_call *call)
{
	g_string_free(call->body, TRUE);
	g_free(call);
}

/*
 * Frees the URLs and the calls that had no answer when the HTTP client was
 * destroyed.
 */
void store_link_clear(struct store_link *link)
{
	while (link->open.head) {
		struct store_call *call = link->open.head->data;

		g_queue_unlink(&link->open, &call->node);
		call_free(call);
	}
	g_clear_pointer(&link->urls, g_strfreev);
}

/*
 * Moves on from a URL that failed to the next one, unless another call has
 * already done so.
 */
void store_link_url_failed(struct store_link *link, unsigned url_index)
{
	if (link->current == url_index)
		link->current = (url_index + 1) % link->n_urls;
}

/* Reads the era of an answer; an answer of an older era came late. */
bool store_link_read_era(struct store_link *link, const struct http_call *call,
			 uint64_t *era, struct err *err)
{
	const char *text = http_response_header(call, ERA_HEADER);

	if (!kv_stamp_parse_era(text, era)) {
		err_set(err, ERR_STORE_DOWN, "unreadable era \"%.32s\"", text);
		return false;
	}
	if (*era < link->era) {
		err_set(err, ERR_STORE_DOWN,
			"an answer of era %" G_GUINT64_FORMAT
			" came after one of era %" G_GUINT64_FORMAT,
			*era, link->era);
		return false;
	}
	link->era = *era;
	return true;
}

/* The current URL with the path appended; freed with g_free(). */
char *store_link_url(const struct store_link *link, const char *path)
{
	return g_strconcat(link->urls[link->current], path, NULL);
}

static uint64_t now_us(void)
{
	return uv_hrtime() / 1000;
}

/*
 * Reports the result and frees the call. The call is unlinked first, because
 * the callback may destroy the store, which frees all calls that are linked.
 */
static void finish(struct store_call *call, const struct err *err,
		   JsonObject *answer, uint64_t era)
{
	g_queue_unlink(&call->link->open, &call->node);
	call->done(call->ctx, err, answer, era);
	call_free(call);
}

/*
 * Sets err for an answer with another status than 200. Without an error object
 * in JSON, the status alone decides: 500 and above is STORE_DOWN.
 */
static void read_error(JsonObject *answer, long status, struct err *err)
{
	enum err_code code = status >= HTTP_SERVER_ERROR ? ERR_STORE_DOWN :
							   ERR_STORE_REFUSED;

	if (!answer || !store_body_error(answer, err))
		err_set(err, code, "HTTP status %ld", status);
}

static void read_answer(struct store_call *call, long status, struct str body)
{
	JsonParser *parser = NULL;
	JsonObject *answer = store_body_parse(body, &parser);
	struct err err = { 0 };
	uint64_t era;

	if (!store_link_read_era(call->link, call->http, &era, &err)) {
		answer = NULL;
	} else if (status != HTTP_OK) {
		read_error(answer, status, &err);
		answer = NULL;
	} else if (!answer) {
		err_set(&err, ERR_STORE_DOWN, "the answer is not JSON");
	}
	if (err.code == ERR_STORE_DOWN)
		store_link_url_failed(call->link, call->url_index);
	finish(call, &err, answer, era);
	g_clear_object(&parser);
}

static bool may_try_next_url(const struct store_call *call)
{
	return call->n_attempts < call->link->n_urls &&
	       now_us() < call->deadline_at_us;
}

/*
 * Only a call that reached no server is retried here. After any other failure
 * the store may have executed the call and only the answer was lost: a retried
 * write would then fail its compare against its own first attempt and take it
 * for someone else's change. STORE_DOWN means that the outcome is unknown; the
 * caller reads the key and looks for its change id.
 */
static void on_done(void *ctx, const struct err *err, bool not_sent,
		    long status, struct str body)
{
	struct store_call *call = ctx;

	if (!err->code) {
		read_answer(call, status, body);
		return;
	}
	LOG_DBG("%s: %s", call->path, err->message);
	store_link_url_failed(call->link, call->url_index);
	if (not_sent && may_try_next_url(call)) {
		start(call);
		return;
	}
	finish(call, err, NULL, 0);
}

static const struct http_events events = { .done = on_done };

static void start(struct store_call *call)
{
	struct store_link *link = call->link;
	uint64_t now = now_us();
	char *url = store_link_url(link, call->path);
	struct http_request request = {
		.url = url,
		.body = str_from_gstring(call->body),
		.new_connection = call->writes,
	};

	request.timeout_us =
		call->deadline_at_us > now ? call->deadline_at_us - now : 1;
	request.connect_timeout_us = request.timeout_us;
	call->url_index = link->current;
	call->n_attempts++;
	link->calls++;
	call->http = http_start(link->http, &request, &events, call);
	g_free(url);
}

/*
 * Starts a call. `done` is called once, from the loop; it is never called when
 * the HTTP client is destroyed before.
 */
void store_call(struct store_link *link, const struct store_post *post,
		store_answer_fn done, void *ctx)
{
	struct store_call *call = g_new0(struct store_call, 1);

	call->link = link;
	call->path = post->path;
	call->body = post->body;
	call->writes = post->writes;
	call->deadline_at_us = now_us() + link->timeout_us;
	call->done = done;
	call->ctx = ctx;
	call->node.data = call;
	g_queue_push_tail_link(&link->open, &call->node);
	start(call);
}
