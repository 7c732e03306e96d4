#include <celeryquay/transport/http.h>

#include <celeryquay/core/types.h>
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

/*
 * Largest response body that is collected, or part of a streamed one that waits
 * to be delivered. A call that gets more fails.
 */
#define BODY_MAX_BYTES ((size_t)64 * 1024 * 1024)
/* Idle connections kept open for later calls. */
#define IDLE_CONNECTIONS_MAX 4L
/*
 * TCP keepalive: a broken network path is noticed within seconds, also while a
 * call waits long for data, as a watch does.
 */
#define KEEPALIVE_IDLE_S 1L
#define KEEPALIVE_INTERVAL_S 1L
#define NSEC_PER_USEC 1000

struct http {
	uv_loop_t *loop;
	uv_timer_t timer; /* the timeout that libcurl asks for */
	/* Runs until the first call may reach its silence_us. */
	uv_timer_t silence_timer;
	CURLM *multi;
	struct curl_slist *headers; /* of all calls */
	GQueue calls; /* struct http_call */
	/* Streaming calls with data that is not delivered yet. */
	GQueue with_data;
	bool closing; /* being destroyed: no more events */
};

struct http_call {
	struct http *http;
	CURL *easy;
	struct curl_slist *headers; /* NULL: only those of all calls */
	const struct http_events *events;
	void *ctx;
	GString *received; /* body, or its part that is not delivered yet */
	bool too_large; /* more than BODY_MAX_BYTES */
	bool body_begun; /* some of the body has been received */
	bool sent; /* some of the request may have been sent */
	unsigned user_timeout_ms; /* 0: undelivered bytes are not dropped */
	uint64_t silence_us; /* 0: no limit */
	/* Time of the last byte of the body, or of the start of the call. */
	uint64_t last_byte_at_us;
	/* Message from libcurl or for a stall; "" if there is none. */
	char error_text[CURL_ERROR_SIZE];
	GList link; /* in calls */
	GList data_link; /* in with_data */
	bool has_data; /* linked in with_data */
};

/* A socket of libcurl's, polled by the loop. */
struct http_socket {
	uv_poll_t poll;
	struct http *http;
	curl_socket_t fd;
};

static uint64_t now_us(void)
{
	return uv_hrtime() / NSEC_PER_USEC;
}

static long to_ms(uint64_t us)
{
	return (long)((us + USEC_PER_MSEC - 1) / USEC_PER_MSEC);
}

static void call_dispose(struct http_call *call)
{
	struct http *h = call->http;

	if (call->has_data)
		g_queue_unlink(&h->with_data, &call->data_link);
	curl_multi_remove_handle(h->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	g_string_free(call->received, TRUE);
	g_free(call);
}

static void call_free(struct http_call *call)
{
	g_queue_unlink(&call->http->calls, &call->link);
	call_dispose(call);
}

/* Calls data() for the streaming calls that have received something. */
static void deliver_data(struct http *h)
{
	while (!h->closing && h->with_data.head) {
		struct http_call *call = h->with_data.head->data;
		GString *part = call->received;

		g_queue_unlink(&h->with_data, &call->data_link);
		call->has_data = false;
		call->received = g_string_new(NULL);
		call->events->data(call->ctx, str_from_gstring(part));
		g_string_free(part, TRUE);
	}
}

static void finish(struct http_call *call, CURLcode code)
{
	struct err err = { 0 };
	const char *url = "";
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_EFFECTIVE_URL, &url);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->too_large)
		err_set(&err, ERR_STORE_DOWN, "%s: the response is too large",
			url);
	else if (code)
		err_set(&err, ERR_STORE_DOWN, "%s: %s", url,
			*call->error_text ? call->error_text :
					    curl_easy_strerror(code));
	call->events->done(call->ctx, &err, !call->sent, status,
			   str_from_gstring(call->received));
}

/*
 * Calls the events for what libcurl has done. This runs outside of libcurl, so
 * that events may start and cancel calls.
 */
static void deliver(struct http *h)
{
	CURLMsg *msg;
	int left;

	deliver_data(h);
	while (!h->closing && (msg = curl_multi_info_read(h->multi, &left))) {
		struct http_call *call = NULL;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE,
				  (char **)&call);
		curl_multi_remove_handle(h->multi, call->easy);
		finish(call, code);
		if (!h->closing)
			call_free(call);
	}
}

/* The time at which the call reaches its silence_us. */
static uint64_t silent_at_us(const struct http_call *call)
{
	return call->last_byte_at_us + call->silence_us;
}

static struct http_call *find_silent(const struct http *h)
{
	GList *l;

	for (l = h->calls.head; l; l = l->next) {
		struct http_call *call = l->data;

		if (call->silence_us && now_us() >= silent_at_us(call))
			return call;
	}
	return NULL;
}

static void on_silence(uv_timer_t *timer);

/* Sets the timer to the first call that may reach its silence_us. */
static void watch_silence(struct http *h)
{
	uint64_t first_at_us = UINT64_MAX, now = now_us();
	GList *l;

	for (l = h->calls.head; l; l = l->next) {
		const struct http_call *call = l->data;

		if (call->silence_us)
			first_at_us = MIN(first_at_us, silent_at_us(call));
	}
	if (first_at_us == UINT64_MAX)
		uv_timer_stop(&h->silence_timer);
	else
		uv_timer_start(
			&h->silence_timer, on_silence,
			(uint64_t)to_ms(first_at_us - MIN(first_at_us, now)),
			0);
}

/*
 * Ends the calls that have received no byte of the body for too long. A limit
 * on the whole call instead would cut off a large response over a slow link.
 */
static void on_silence(uv_timer_t *timer)
{
	struct http *h = timer->data;
	struct http_call *call = find_silent(h);

	if (!call) {
		watch_silence(h);
		return;
	}
	/*
	 * The event may end other calls, so the next silent call is looked for
	 * from the start.
	 */
	uv_timer_start(timer, on_silence, 0, 0);
	g_strlcpy(call->error_text, "the response has stalled",
		  sizeof(call->error_text));
	curl_multi_remove_handle(h->multi, call->easy);
	finish(call, CURLE_OPERATION_TIMEDOUT);
	if (!h->closing)
		call_free(call);
}

static void run_socket_action(struct http *h, curl_socket_t fd, int flags)
{
	int running;

	curl_multi_socket_action(h->multi, fd, flags, &running);
	deliver(h);
}

static void on_poll(uv_poll_t *poll, int status, int events)
{
	struct http_socket *s = poll->data;
	int flags = 0;

	if (status < 0)
		flags = CURL_CSELECT_ERR;
	if (events & UV_READABLE)
		flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE)
		flags |= CURL_CSELECT_OUT;
	run_socket_action(s->http, s->fd, flags);
}

static void on_timer(uv_timer_t *timer)
{
	run_socket_action(timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static void free_socket(uv_handle_t *poll)
{
	g_free(poll->data);
}

static struct http_socket *add_socket(struct http *h, curl_socket_t fd)
{
	struct http_socket *s = g_new0(struct http_socket, 1);

	s->http = h;
	s->fd = fd;
	if (uv_poll_init_socket(h->loop, &s->poll, fd)) {
		g_free(s);
		return NULL;
	}
	s->poll.data = s;
	curl_multi_assign(h->multi, fd, s);
	return s;
}

static int on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
			  void *socket)
{
	struct http *h = ctx;
	struct http_socket *s = socket;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (s) {
			curl_multi_assign(h->multi, fd, NULL);
			uv_close((uv_handle_t *)&s->poll, free_socket);
		}
		return 0;
	}
	if (!s)
		s = add_socket(h, fd);
	if (!s)
		return -1;
	if (what & CURL_POLL_IN)
		events |= UV_READABLE;
	if (what & CURL_POLL_OUT)
		events |= UV_WRITABLE;
	uv_poll_start(&s->poll, events, on_poll);
	return 0;
}

static int on_curl_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	struct http *h = ctx;

	(void)multi;
	if (h->closing)
		return 0;
	if (timeout_ms < 0)
		uv_timer_stop(&h->timer);
	else
		uv_timer_start(&h->timer, on_timer, (uint64_t)timeout_ms, 0);
	return 0;
}

/* Creates a client on a loop; NULL with SYSTEM when libcurl can't start. */
struct http *http_create(uv_loop_t *loop, struct err *err)
{
	struct http *h = g_new0(struct http, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	h->multi = curl_multi_init();
	if (!h->multi) {
		err_set(err, ERR_SYSTEM, "cannot initialize libcurl");
		curl_global_cleanup();
		g_free(h);
		return NULL;
	}
	h->loop = loop;
	uv_timer_init(loop, &h->timer);
	h->timer.data = h;
	uv_timer_init(loop, &h->silence_timer);
	h->silence_timer.data = h;
	h->headers = curl_slist_append(NULL, "Content-Type: application/json");
	/* libcurl would wait a second for "100 Continue" on large bodies. */
	h->headers = curl_slist_append(h->headers, "Expect:");
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
	curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS_MAX);
	return h;
}

static void free_http(uv_handle_t *timer)
{
	g_free(timer->data);
}

/*
 * Cancels all calls without events; may be called from an event. The memory is
 * freed in the next iteration of the loop.
 */
void http_destroy(struct http *h)
{
	GList *link;

	if (!h)
		return;
	h->closing = true;
	while ((link = g_queue_pop_head_link(&h->calls)))
		call_dispose(link->data);
	curl_multi_cleanup(h->multi);
	curl_slist_free_all(h->headers);
	curl_global_cleanup();
	uv_close((uv_handle_t *)&h->silence_timer, NULL);
	uv_close((uv_handle_t *)&h->timer, free_http);
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct http_call *call = ctx;
	struct http *h = call->http;
	size_t len = size * n;

	if (call->received->len + len > BODY_MAX_BYTES) {
		call->too_large = true;
		return 0;
	}
	g_string_append_len(call->received, data, (gssize)len);
	call->body_begun = true;
	call->last_byte_at_us = now_us();
	if (call->events->data && !call->has_data) {
		call->has_data = true;
		g_queue_push_tail_link(&h->with_data, &call->data_link);
	}
	return len;
}

/* Called by libcurl once the connection is open, before it sends. */
static int on_connected(void *ctx, char *ip, char *local_ip, int port,
			int local_port)
{
	struct http_call *call = ctx;

	(void)ip;
	(void)local_ip;
	(void)port;
	(void)local_port;
	if (call->events->may_send && !call->events->may_send(call->ctx)) {
		g_strlcpy(call->error_text, "the request may not be sent now",
			  sizeof(call->error_text));
		return CURL_PREREQFUNC_ABORT;
	}
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* Makes each close of the socket, also by the system, an abort. */
static int on_socket_created(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	const struct linger abort_on_close = { .l_onoff = 1, .l_linger = 0 };
	const struct http_call *call = ctx;

	(void)purpose;
	if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
		       sizeof(abort_on_close)) ||
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
		       &call->user_timeout_ms, sizeof(call->user_timeout_ms)))
		return CURL_SOCKOPT_ERROR;
	return CURL_SOCKOPT_OK;
}

static void set_abort_on_close(struct http_call *call,
			       const struct http_request *request)
{
	call->user_timeout_ms = (unsigned)to_ms(request->timeout_us);
	curl_easy_setopt(call->easy, CURLOPT_SOCKOPTFUNCTION,
			 on_socket_created);
	curl_easy_setopt(call->easy, CURLOPT_SOCKOPTDATA, call);
	/* Another call that reused the connection would be aborted as well. */
	curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
}

/* Sets the headers that all calls have, and the request's additional ones. */
static void set_headers(struct http_call *call,
			const struct http_request *request)
{
	const struct curl_slist *common = call->http->headers;
	unsigned i;

	if (!request->headers) {
		curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, common);
		return;
	}
	for (; common; common = common->next)
		call->headers = curl_slist_append(call->headers, common->data);
	for (i = 0; request->headers[i]; i++)
		call->headers =
			curl_slist_append(call->headers, request->headers[i]);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
}

static void set_method(CURL *easy, const struct http_request *request)
{
	if (request->method == HTTP_DELETE)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "DELETE");
	if (request->method != HTTP_POST) {
		curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
		return;
	}
	/* If COPYPOSTFIELDS were NULL, libcurl would use its read callback. */
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)request->body.len);
	curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
			 request->body.len ? request->body.data : "");
}

static void set_options(struct http_call *call,
			const struct http_request *request)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, call->error_text);
	set_method(easy, request);
	set_headers(call, request);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, to_ms(request->timeout_us));
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 to_ms(request->connect_timeout_us));
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 (long)request->new_connection);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_connected);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	if (request->drops_undelivered)
		set_abort_on_close(call, request);
}

/* Starts a call. No event is called before the loop runs again. */
struct http_call *http_start(struct http *h, const struct http_request *request,
			     const struct http_events *events, void *ctx)
{
	struct http_call *call = g_new0(struct http_call, 1);

	call->http = h;
	call->events = events;
	call->ctx = ctx;
	call->received = g_string_new(NULL);
	call->link.data = call;
	call->data_link.data = call;
	call->easy = curl_easy_init();
	g_queue_push_tail_link(&h->calls, &call->link);
	set_options(call, request);
	curl_multi_add_handle(h->multi, call->easy);
	call->silence_us = request->silence_us;
	call->last_byte_at_us = now_us();
	if (call->silence_us)
		watch_silence(h);
	return call;
}

/* A header of the response, NULL if it has none; valid until done() returns. */
const char *http_response_header(const struct http_call *call, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header))
		return NULL;
	return header->value;
}

/* Whether any part of the response body has been received. */
bool http_response_body_has_begun(const struct http_call *call)
{
	return call->body_begun;
}

/*
 * Cancels a call without events; NULL is ignored. Must not be called from the
 * call's own done().
 */
void http_cancel(struct http_call *call)
{
	if (call)
		call_free(call);
}
