#ifndef CELERYQUAY_TRANSPORT_HTTP_H
#define CELERYQUAY_TRANSPORT_HTTP_H

/*
 * HTTP calls over libcurl's multi interface on a libuv loop. Callbacks come
 * from the loop and never from within libcurl, so they may start and cancel
 * calls.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <uv.h>

struct http;
struct http_call;

struct http_events {
	/* A part of a streamed body; NULL: the body is gathered for done(). */
	void (*data)(void *ctx, struct str part);
	/*
	 * The end; the call is freed after it. err's code is 0 when there is
	 * a whole answer with a status. not_sent: no server was reached.
	 */
	void (*done)(void *ctx, const struct err *err, bool not_sent,
		     long status, struct str body);
};

enum http_method { HTTP_POST, HTTP_GET, HTTP_DELETE };

struct http_request {
	enum http_method method;
	const char *url;
	struct str body; /* copied; of a POST only */
	/* Further "Name: value" lines, copied, ended by NULL; or NULL. */
	const char *const *headers;
	uint64_t timeout_us; /* of the whole call; 0: none */
	uint64_t connect_timeout_us;
	uint64_t silence_us; /* without a byte of the body; 0: no limit */
	/*
	 * A kept connection may be closed by the server just then; libcurl
	 * sends the call again without a word. A call that must not run
	 * twice asks for a new connection.
	 */
	bool new_connection;
};

struct http *http_create(uv_loop_t *loop, struct err *err);
void http_destroy(struct http *h);
struct http_call *http_start(struct http *h, const struct http_request *request,
			     const struct http_events *events, void *ctx);
void http_cancel(struct http_call *call);
/* Whether a part of the answer's body has come. */
bool http_has_begun(const struct http_call *call);

#endif
