#include "control_http.h"

#include <string.h>
#include <sys/socket.h>

#define LOG_MODULE "control_http"
#define LOG_WARN(...)                                                 \
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "MODULE", \
			 LOG_MODULE, "MESSAGE", __VA_ARGS__)

#define LISTEN_BACKLOG 512
#define NUMBER_TEXT_MAX 24 /* bytes of any 64-bit number in text */
/*
 * h2o closes an idle connection after 10 s, and a call that is sent at that
 * moment fails: a failure that no test has asked for.
 */
#define IDLE_MS 3600000

struct connection {
	uv_tcp_t tcp;
	struct control_http *http;
	h2o_socket_t *sock;
};

struct control_handler {
	h2o_handler_t super;
	struct control_http *http;
};

struct control_http {
	uv_loop_t *loop;
	uv_tcp_t listener;
	bool listening;
	bool refusing;
	bool closing;
	uint16_t port;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	const struct control_route *routes;
	size_t route_count;
	bool (*raw)(void *data, h2o_req_t *req);
	void *data;
	GHashTable *connections; /* h2o_socket_t * -> struct connection * */
};

/*
 * Reads "HOST:PORT" with a numeric host; IPv6 hosts stand in brackets.
 */
bool control_parse_address(const char *text, struct sockaddr_storage *address,
			   GError **error)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	g_autofree char *host = NULL;
	uint64_t port = 0;
	int result = -1;

	if (colon && g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX,
						&port, NULL)) {
		host = g_strndup(text, (gsize)(colon - text));
		if (host[0] == '[' && g_str_has_suffix(host, "]")) {
			host[strlen(host) - 1] = '\0';
			result = uv_ip6_addr(host + 1, (int)port,
					     (struct sockaddr_in6 *)address);
		} else {
			result = uv_ip4_addr(host, (int)port,
					     (struct sockaddr_in *)address);
		}
	}
	if (result == 0)
		return true;
	g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
		    "not a numeric HOST:PORT: '%s'", text ? text : "");
	return false;
}

/*
 * The port of an IPv4 or IPv6 address, in host order.
 */
uint16_t control_address_port(const struct sockaddr_storage *address)
{
	if (address->ss_family == AF_INET6)
		return ntohs(((const struct sockaddr_in6 *)address)->sin6_port);
	return ntohs(((const struct sockaddr_in *)address)->sin_port);
}

/*
 * The member as a number. 64-bit numbers may come as JSON strings, as in
 * the store's API; anything else gives the fallback.
 */
int64_t control_int(JsonObject *object, const char *name, int64_t fallback)
{
	JsonNode *node = json_object_get_member(object, name);
	const char *text;
	char *end;
	int64_t value;

	if (!node || !JSON_NODE_HOLDS_VALUE(node))
		return fallback;
	if (json_node_get_value_type(node) != G_TYPE_STRING)
		return json_node_get_int(node);
	text = json_node_get_string(node);
	value = g_ascii_strtoll(text, &end, 10);
	return *text && !*end ? value : fallback;
}

/*
 * The member as a boolean, or the fallback.
 */
bool control_bool(JsonObject *object, const char *name, bool fallback)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_BOOLEAN)
		return fallback;
	return json_node_get_boolean(node);
}

/*
 * The member as a string that the object owns, or the fallback.
 */
const char *control_string(JsonObject *object, const char *name,
			   const char *fallback)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return fallback;
	return json_node_get_string(node);
}

/*
 * An object {"message": ...} for a refusal.
 */
JsonNode *control_http_message(const char *format, ...)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	g_autofree char *text = NULL;
	va_list args;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	json_object_set_string_member(object, "message", text);
	json_node_take_object(node, object);
	return node;
}

/*
 * Whether the request's path, without the query, is `path`.
 */
bool control_http_path_is(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len,
			 path, strlen(path));
}

/*
 * Adds a header with a number to the answer. `name` is lower-case and not
 * copied.
 */
void control_http_add_number(h2o_req_t *req, const char *name, uint64_t number)
{
	char text[NUMBER_TEXT_MAX];
	h2o_iovec_t value;

	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, number);
	value = h2o_strdup(&req->pool, text, SIZE_MAX);
	h2o_add_header_by_str(&req->pool, &req->res.headers, name, strlen(name),
			      0, NULL, value.base, value.len);
}

/*
 * Sends the node (NULL means {}) as the whole answer and frees it.
 */
void control_http_answer(h2o_req_t *req, unsigned status, JsonNode *node)
{
	g_autofree char *text = node ? json_to_string(node, FALSE) : NULL;
	const char *body = text ? text : "{}";

	req->res.status = (int)status;
	req->res.reason = status < 400 ? "OK" : "Error";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("application/json"));
	h2o_send_inline(req, body, strlen(body));
	if (node)
		json_node_unref(node);
}

static struct connection *connection_of(struct control_http *http,
					h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

	return g_hash_table_lookup(http->connections, sock);
}

static int connection_fd(struct connection *connection)
{
	uv_os_fd_t fd = -1;

	if (uv_fileno((uv_handle_t *)&connection->tcp, &fd) < 0)
		return -1;
	return fd;
}

/*
 * Shuts both directions of the request's socket down. h2o does not read
 * while a request is being answered, so it only learns of it with the next
 * write: the caller sends something, which fails, and h2o then closes.
 */
void control_http_cut(struct control_http *http, h2o_req_t *req)
{
	struct connection *connection = connection_of(http, req);

	if (connection)
		shutdown(connection_fd(connection), SHUT_RDWR);
}

/*
 * Closes the connection without an answer to a request that has none yet.
 */
void control_http_drop(struct control_http *http, h2o_req_t *req)
{
	control_http_cut(http, req);
	req->http1_is_persistent = 0;
	control_http_answer(req, 500, NULL);
}

/*
 * Whether the other end has closed. h2o doesn't look while an answer is
 * streamed, so a stream that has nothing to send has to ask.
 */
bool control_http_peer_closed(struct control_http *http, h2o_req_t *req)
{
	struct connection *connection = connection_of(http, req);
	char byte;

	if (!connection)
		return true;
	return recv(connection_fd(connection), &byte, 1,
		    MSG_PEEK | MSG_DONTWAIT) == 0;
}

/*
 * Shuts every open connection down. Those that wait for a request close at
 * once, the others with their next write.
 */
void control_http_cut_all(struct control_http *http)
{
	GHashTableIter iter;
	gpointer connection;

	g_hash_table_iter_init(&iter, http->connections);
	while (g_hash_table_iter_next(&iter, NULL, &connection))
		shutdown(connection_fd(connection), SHUT_RDWR);
}

/*
 * While refusing, new connections are reset as soon as they come.
 */
void control_http_set_refusing(struct control_http *http, bool refusing)
{
	http->refusing = refusing;
}

/*
 * Hands each request to `raw` first; it returns true if it took it.
 */
void control_http_set_raw(struct control_http *http,
			  bool (*raw)(void *data, h2o_req_t *req))
{
	http->raw = raw;
}

/*
 * The request's body, {} if there is none, or NULL if it isn't an object.
 */
JsonNode *control_http_parse(const h2o_req_t *req)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *node;

	if (req->entity.base == NULL || req->entity.len == 0) {
		node = json_node_new(JSON_NODE_OBJECT);
		json_node_take_object(node, json_object_new());
		return node;
	}
	if (!json_parser_load_from_data(parser, req->entity.base,
					(gssize)req->entity.len, NULL))
		return NULL;
	node = json_parser_steal_root(parser);
	if (node && JSON_NODE_HOLDS_OBJECT(node))
		return node;
	if (node)
		json_node_unref(node);
	return NULL;
}

static void run_route(struct control_http *http,
		      const struct control_route *route, h2o_req_t *req)
{
	JsonNode *body = control_http_parse(req);
	JsonNode *answer;
	unsigned status = 200;

	if (!body) {
		answer = control_http_message("the body is not a JSON object");
		control_http_answer(req, 400, answer);
		return;
	}
	answer = route->handle(http->data, json_node_get_object(body), &status);
	json_node_unref(body);
	control_http_answer(req, status, answer);
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct control_http *http = ((struct control_handler *)self)->http;
	const struct control_route *route;
	size_t i;

	if (http->raw && http->raw(http->data, req))
		return 0;
	for (i = 0; i < http->route_count; i++) {
		route = &http->routes[i];
		if (!control_http_path_is(req, route->path))
			continue;
		if (!h2o_memis(req->method.base, req->method.len, route->method,
			       strlen(route->method)))
			continue;
		run_route(http, route, req);
		return 0;
	}
	control_http_answer(req, 404, control_http_message("no such route"));
	return 0;
}

static void on_listener_closed(uv_handle_t *handle)
{
	struct control_http *http = handle->data;

	http->listening = false;
}

static void on_refused_closed(uv_handle_t *handle)
{
	g_free(H2O_STRUCT_FROM_MEMBER(struct connection, tcp, handle));
}

static void on_connection_closed(uv_handle_t *handle)
{
	struct connection *connection =
		H2O_STRUCT_FROM_MEMBER(struct connection, tcp, handle);

	g_hash_table_remove(connection->http->connections, connection->sock);
	g_free(connection);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct control_http *http = listener->data;
	struct connection *connection;
	uv_handle_t *handle;

	if (status < 0) {
		LOG_WARN("can't accept: %s", uv_strerror(status));
		return;
	}
	connection = g_new0(struct connection, 1);
	connection->http = http;
	handle = (uv_handle_t *)&connection->tcp;
	uv_tcp_init(http->loop, &connection->tcp);
	if (uv_accept(listener, (uv_stream_t *)&connection->tcp) < 0) {
		uv_close(handle, on_refused_closed);
		return;
	}
	if (http->refusing || http->closing) {
		uv_tcp_close_reset(&connection->tcp, on_refused_closed);
		return;
	}
	uv_tcp_nodelay(&connection->tcp, 1);
	connection->sock = h2o_uv_socket_create((uv_stream_t *)&connection->tcp,
						on_connection_closed);
	g_hash_table_insert(http->connections, connection->sock, connection);
	h2o_accept(&http->accept, connection->sock);
}

/*
 * Listens on a numeric HOST:PORT; port 0 takes a free one.
 */
bool control_http_listen(struct control_http *http, const char *address,
			 GError **error)
{
	struct sockaddr_storage name;
	uv_stream_t *stream = (uv_stream_t *)&http->listener;
	int length = sizeof(name);
	int result;

	if (!control_parse_address(address, &name, error))
		return false;
	uv_tcp_init(http->loop, &http->listener);
	http->listener.data = http;
	http->listening = true;
	result = uv_tcp_bind(&http->listener, (struct sockaddr *)&name, 0);
	if (result == 0)
		result = uv_listen(stream, LISTEN_BACKLOG, on_connection);
	if (result == 0)
		result = uv_tcp_getsockname(&http->listener,
					    (struct sockaddr *)&name, &length);
	if (result == 0) {
		http->port = control_address_port(&name);
		return true;
	}
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		    "can't listen on %s: %s", address, uv_strerror(result));
	return false;
}

/*
 * The port that is listened on.
 */
uint16_t control_http_port(const struct control_http *http)
{
	return http->port;
}

/*
 * Sets h2o up on the loop. The routes and the data must outlive the result;
 * `data` is handed to every handler.
 */
struct control_http *control_http_create(uv_loop_t *loop,
					 const struct control_route *routes,
					 size_t route_count, void *data)
{
	struct control_http *http = g_new0(struct control_http, 1);
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct control_handler *handler;

	http->loop = loop;
	http->routes = routes;
	http->route_count = route_count;
	http->data = data;
	http->connections = g_hash_table_new(NULL, NULL);
	h2o_config_init(&http->config);
	http->config.http1.req_timeout = IDLE_MS;
	host = h2o_config_register_host(
		&http->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct control_handler *)h2o_create_handler(
		path, sizeof(*handler));
	handler->super.on_req = on_request;
	handler->http = http;
	h2o_context_init(&http->context, loop, &http->config);
	http->accept.ctx = &http->context;
	http->accept.hosts = http->config.hosts;
	return http;
}

/*
 * Cuts all connections, runs the loop until they are closed, and frees.
 * Answers that are still held back must have been dropped before.
 */
void control_http_destroy(struct control_http *http)
{
	if (!http)
		return;
	http->closing = true;
	if (http->listening)
		uv_close((uv_handle_t *)&http->listener, on_listener_closed);
	control_http_cut_all(http);
	while (http->listening || g_hash_table_size(http->connections) > 0)
		uv_run(http->loop, UV_RUN_ONCE);
	h2o_context_dispose(&http->context);
	h2o_config_dispose(&http->config);
	g_hash_table_destroy(http->connections);
	g_free(http);
}
