/*
 * A small HTTP/1.1 listener for the stand-ins: h2o on a libuv loop, with a
 * table of routes whose handlers take a JSON object and return a JSON node.
 * A raw handler may take requests before the table sees them, for answers
 * that are streamed, held back or dropped.
 *
 *	static const struct control_route routes[] = {
 *		{ "GET", "/state", on_state },
 *		{ "POST", "/heal", on_heal },
 *	};
 *	http = control_http_create(loop, routes, G_N_ELEMENTS(routes), data);
 *	if (!control_http_listen(http, "127.0.0.1:0", &error))
 *		...
 *	port = control_http_port(http);
 */
#ifndef STANDIN_CONTROL_HTTP_H
#define STANDIN_CONTROL_HTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <h2o.h>
#include <json-glib/json-glib.h>
#include <uv.h>

struct control_http;

struct control_route {
	const char *method;
	const char *path;
	/*
	 * Returns the answer, which the caller frees; NULL means {}. `body`
	 * is never NULL. `status` is 200 unless the handler sets another.
	 */
	JsonNode *(*handle)(void *data, JsonObject *body, unsigned *status);
};

struct control_http *control_http_create(uv_loop_t *loop,
					 const struct control_route *routes,
					 size_t route_count, void *data);
void control_http_destroy(struct control_http *http);

bool control_http_listen(struct control_http *http, const char *address,
			 GError **error);
uint16_t control_http_port(const struct control_http *http);

void control_http_set_raw(struct control_http *http,
			  bool (*raw)(void *data, h2o_req_t *req));
void control_http_set_refusing(struct control_http *http, bool refusing);

JsonNode *control_http_parse(const h2o_req_t *req);
void control_http_add_number(h2o_req_t *req, const char *name, uint64_t number);
void control_http_answer(h2o_req_t *req, unsigned status, JsonNode *node);
void control_http_drop(struct control_http *http, h2o_req_t *req);
void control_http_cut(struct control_http *http, h2o_req_t *req);
bool control_http_peer_closed(struct control_http *http, h2o_req_t *req);
void control_http_cut_all(struct control_http *http);
JsonNode *control_http_message(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
bool control_http_path_is(const h2o_req_t *req, const char *path);

bool control_parse_address(const char *text, struct sockaddr_storage *address,
			   GError **error);
uint16_t control_address_port(const struct sockaddr_storage *address);
int64_t control_int(JsonObject *object, const char *name, int64_t fallback);
bool control_bool(JsonObject *object, const char *name, bool fallback);
const char *control_string(JsonObject *object, const char *name,
			   const char *fallback);

#endif
