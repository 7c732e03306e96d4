#ifndef CELERYQUAY_CLIENT_HTTP_H
#define CELERYQUAY_CLIENT_HTTP_H

/* Blocking HTTP client on libcurl, for the operators' CLI and for tests. */

#include <json-glib/json-glib.h>
#include <stdbool.h>

struct http_call {
	const char *host; /* NULL: 127.0.0.1 */
	const char *ca_file; /* trusted for TLS; NULL: plain HTTP */
	const char *method; /* NULL: POST if there is a body, else GET */
	const char *token; /* bearer token, or NULL */
	const char *session; /* value of Celeryquay-Session, or NULL */
	const char *key; /* value of Idempotency-Key, or NULL */
	const char *body; /* JSON text, or NULL */
	long timeout_ms; /* 0: 30 s */
};

struct http_reply {
	long status; /* HTTP status; 0: no complete answer */
	GString *body;
	JsonParser *parser; /* owns json */
	JsonObject *json; /* NULL if the body is not a JSON object */
};

/* A client, which keeps its connection open between calls. */
struct http;

struct http *http_create(void);
void http_destroy(struct http *h);
/*
 * Overwrites *reply and frees what it held from an earlier call; it must be
 * zeroed before the first one.
 */
void http_call(struct http *h, int port, const char *path,
	       const struct http_call *call, struct http_reply *reply);
void http_reply_clear(struct http_reply *reply);
const char *http_str(const struct http_reply *reply, const char *key);

#endif
