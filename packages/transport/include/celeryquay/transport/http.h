#ifndef CELERYQUAY_TRANSPORT_HTTP_H
#define CELERYQUAY_TRANSPORT_HTTP_H

/*
 * HTTP client on top of libcurl's multi interface and a libuv loop. Events are
 * called from the loop and never from within libcurl, so they may start and
 * cancel calls.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <uv.h>

struct http;
struct http_call;

struct http_events {
	/*
	 * The next part of a streamed body. If this is NULL, the whole body is
	 * collected and passed to done().
	 */
	void (*data)(void *ctx, struct str part);
	/*
	 * Called once the connection is open, just before the request is sent;
	 * false ends the call. NULL: the request is always sent. It may be
	 * called from within libcurl and must not start or cancel calls.
	 */
	bool (*may_send)(void *ctx);
	/*
	 * The call has ended and is freed after this. err->code is 0 when a
	 * complete response with a status was received. not_sent: no byte of
	 * the request was sent.
	 */
	void (*done)(void *ctx, const struct err *err, bool not_sent,
		     long status, struct str body);
};

enum http_method { HTTP_POST, HTTP_GET, HTTP_DELETE };

struct http_request {
	enum http_method method;
	const char *url;
	struct str body; /* of a POST only; copied */
	/* Additional "Name: value" lines, NULL-terminated, or NULL; copied. */
	const char *const *headers;
	uint64_t timeout_us; /* of the whole call; 0: no limit */
	uint64_t connect_timeout_us;
	/* Longest time without a byte of the response body; 0: no limit. */
	uint64_t silence_us;
	/*
	 * If the server closes a reused connection just as the request is
	 * sent, libcurl silently sends the request again. A call that must
	 * not run twice asks for a new connection.
	 */
	bool new_connection;
	/*
	 * An ordinary close leaves it to the system to deliver what the server
	 * has not received yet, which may take minutes. With this it is dropped
	 * as soon as the call ends or is cancelled, or the process ends in any
	 * way, and after timeout_us if the process is stopped. For a call that
	 * would do harm if it came late.
	 */
	bool drops_undelivered;
};

struct http *http_create(uv_loop_t *loop, struct err *err);
void http_destroy(struct http *h);
struct http_call *http_start(struct http *h, const struct http_request *request,
			     const struct http_events *events, void *ctx);
void http_cancel(struct http_call *call);
/* A header of the response, NULL if it has none; valid until done() returns. */
const char *http_response_header(const struct http_call *call,
				 const char *name);
/* Whether any part of the response body has been received. */
bool http_response_body_has_begun(const struct http_call *call);

#endif
