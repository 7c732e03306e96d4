#ifndef CELERYQUAY_TRANSPORT_HTTP_JSON_H
#define CELERYQUAY_TRANSPORT_HTTP_JSON_H

/* HTTP calls with JSON bodies. */

#include <celeryquay/transport/http.h>
#include <json-glib/json-glib.h>

/* Parses a body; NULL if it is not a JSON object. */
JsonNode *http_json_parse(struct str body);
/* Makes a JSON object from pairs of name and value, ended by NULL. */
char *http_json_strings(const char *name, ...) G_GNUC_NULL_TERMINATED;
/*
 * Sends a POST on a new connection. If the server has just closed a reused
 * connection, libcurl sends the request again, and the second request would
 * find the effects of the first.
 */
struct http_call *http_json_post_once(struct http *h, const char *url,
				      const char *const *headers,
				      const char *body, uint64_t timeout_us,
				      const struct http_events *events,
				      void *ctx);

#endif
