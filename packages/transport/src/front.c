#include "front_private.h"

#include <string.h>
#include <sys/socket.h>

#define LOG_MODULE "front"
#include <celeryquay/base/log.h>

#define LISTEN_BACKLOG 4096
/* Idle time before the first TCP keepalive probe. */
#define KEEPALIVE_S 60
/*
 * Longest time that a caller's connection may be idle between requests.
 * Callers pool their connections, and a fleet with millions of them must not
 * reconnect whenever a pool is unused for a while.
 */
#define IDLE_TIMEOUT_MS (300 * 1000ULL)
/*
 * Connections above a port's limit that get OVERLOADED as a response. Any
 * further ones are closed at once.
 */
#define REFUSED_MAX 64
/*
 * Connections on the operators' port. They have a limit of their own, so that
 * callers who use up theirs don't lock the operators out.
 */
#define OPERATORS_MAX 256

static void free_front(uv_handle_t *last_handle)
{
	g_free(last_handle->data);
}

/*
 * h2o closes its timers and its queue when its context is disposed of, but
 * their memory is part of the front. So last_handle is closed once more in a
 * later loop iteration, after them, and the loop no longer refers to the front
 * when it is freed.
 */
static void on_handles_closed(uv_handle_t *handle)
{
	struct front *f = handle->data;

	uv_idle_init(f->loop, &f->last_handle);
	f->last_handle.data = f;
	uv_close((uv_handle_t *)&f->last_handle, free_front);
}

static void free_port(struct front_port *port)
{
	if (port->accept.ssl_ctx)
		SSL_CTX_free(port->accept.ssl_ctx);
}

/* Frees the front once it is destroyed and its last connection has closed. */
void front_free_if_closed(struct front *f)
{
	h2o_timeout_entry_t *goaway =
		&f->context.http2._graceful_shutdown_timeout;

	if (!f->destroyed || f->connections.length || f->lingers.length)
		return;
	/*
	 * Timer of the second GOAWAY, a second after the first. h2o leaves it
	 * linked.
	 */
	if (h2o_timeout_is_linked(goaway))
		h2o_timeout_unlink(goaway);
	h2o_context_dispose(&f->context);
	h2o_config_dispose(&f->config);
	free_port(&f->callers);
	free_port(&f->operators);
	uv_close((uv_handle_t *)&f->last_handle, on_handles_closed);
}

static void on_connection_freed(uv_handle_t *handle)
{
	struct front_connection *c = (struct front_connection *)handle;
	struct front *f = c->port->front;

	g_queue_unlink(&f->connections, &c->link);
	c->port->connections--;
	g_free(c);
	front_free_if_closed(f);
}

static void on_socket_closed(void *data)
{
	struct front_connection *c = data;

	c->sock = NULL;
	front_linger_begin(c);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct front_port *port = listener->data;
	struct front *f = port->front;
	struct front_connection *c;

	if (status < 0) {
		LOG_WARN("accept: %s", uv_strerror(status));
		return;
	}
	c = g_new0(struct front_connection, 1);
	c->port = port;
	c->link.data = c;
	c->linger_fd = -1;
	uv_tcp_init(f->loop, &c->tcp);
	g_queue_push_tail_link(&f->connections, &c->link);
	port->connections++;
	status = uv_accept(listener, (uv_stream_t *)&c->tcp);
	if (status < 0 ||
	    port->connections > port->connection_limit + REFUSED_MAX) {
		uv_close((uv_handle_t *)&c->tcp, on_connection_freed);
		return;
	}
	c->refused = port->connections > port->connection_limit;
	uv_tcp_nodelay(&c->tcp, 1);
	uv_tcp_keepalive(&c->tcp, 1, KEEPALIVE_S);
	c->sock = h2o_uv_socket_create((uv_stream_t *)&c->tcp,
				       on_connection_freed);
	c->sock->on_close.cb = on_socket_closed;
	c->sock->on_close.data = c;
	h2o_accept(&port->accept, c->sock);
}

static int parse_address(const struct front_listener *l,
			 struct sockaddr_storage *out)
{
	if (strchr(l->host, ':'))
		return uv_ip6_addr(l->host, l->port,
				   (struct sockaddr_in6 *)out);
	return uv_ip4_addr(l->host, l->port, (struct sockaddr_in *)out);
}

static uint16_t bound_port(uv_tcp_t *tcp)
{
	struct sockaddr_storage address = { 0 };
	int len = sizeof(address);

	uv_tcp_getsockname(tcp, (struct sockaddr *)&address, &len);
	if (address.ss_family == AF_INET6)
		return ntohs(((struct sockaddr_in6 *)&address)->sin6_port);
	return ntohs(((struct sockaddr_in *)&address)->sin_port);
}

static bool port_open(struct front *f, struct front_port *port,
		      const struct front_listener *l, struct err *err)
{
	struct sockaddr_storage address = { 0 };
	int status;

	port->accept.ctx = &f->context;
	port->accept.hosts = f->config.hosts;
	if (l->tls_certificate) {
		port->accept.ssl_ctx =
			front_tls_create(l->tls_certificate, l->tls_key, err);
		if (!port->accept.ssl_ctx)
			return false;
	}
	status = parse_address(l, &address);
	if (!status)
		status = uv_tcp_bind(&port->listener,
				     (struct sockaddr *)&address, 0);
	if (!status)
		status = uv_listen((uv_stream_t *)&port->listener,
				   LISTEN_BACKLOG, on_connection);
	if (status) {
		err_set(err, ERR_SYSTEM, "listen on %s:%u: %s", l->host,
			l->port, uv_strerror(status));
		return false;
	}
	port->number = bound_port(&port->listener);
	return true;
}

static void port_init(struct front *f, struct front_port *port)
{
	port->front = f;
	uv_tcp_init(f->loop, &port->listener);
	port->listener.data = port;
}

/* Sets up h2o with a single handler for all hosts and paths. */
static void http_init(struct front *f)
{
	struct front_handler *handler;
	h2o_hostconf_t *host;

	h2o_config_init(&f->config);
	f->config.server_name = h2o_iovec_init(H2O_STRLIT("celeryquay"));
	f->config.max_request_entity_size = f->max_body_bytes;
	f->config.http1.req_timeout = IDLE_TIMEOUT_MS;
	f->config.http2.idle_timeout = IDLE_TIMEOUT_MS;
	f->config.handshake_timeout = f->header_timeout_us / USEC_PER_MSEC;
	host = h2o_config_register_host(
		&f->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	handler = (struct front_handler *)h2o_create_handler(
		&host->fallback_path, sizeof(*handler));
	handler->super.on_req = front_on_request;
	handler->front = f;
	front_error_register(&host->fallback_path);
	h2o_context_init(&f->context, f->loop, &f->config);
}

/*
 * Listens on both ports and serves them on the loop. Returns NULL with
 * BAD_SETTINGS or SYSTEM when a certificate or an address can't be used; what
 * was opened by then is closed in the next iterations of the loop.
 */
struct front *front_create(uv_loop_t *loop,
			   const struct front_settings *settings,
			   const struct front_events *events, void *ctx,
			   struct err *err)
{
	struct front *f = g_new0(struct front, 1);

	f->loop = loop;
	f->events = *events;
	f->ctx = ctx;
	f->max_body_bytes = settings->max_body_bytes;
	f->header_timeout_us = settings->header_timeout_us;
	http_init(f);
	uv_idle_init(loop, &f->last_handle);
	f->last_handle.data = f;
	front_tick_start(f);
	port_init(f, &f->callers);
	port_init(f, &f->operators);
	f->callers.connection_limit = settings->max_connections;
	f->operators.operators = true;
	f->operators.connection_limit = OPERATORS_MAX;
	if (!port_open(f, &f->callers, &settings->callers, err) ||
	    !port_open(f, &f->operators, &settings->operators, err)) {
		front_destroy(f);
		return NULL;
	}
	return f;
}

static void close_listener(uv_tcp_t *listener)
{
	if (!uv_is_closing((uv_handle_t *)listener))
		uv_close((uv_handle_t *)listener, NULL);
}

/*
 * Stops accepting, ends every exchange without an answer and closes every
 * connection. No event is called any more. The memory is freed after the loop
 * has run the close callbacks.
 */
void front_destroy(struct front *f)
{
	GList *l;

	if (!f)
		return;
	f->destroyed = true;
	front_stop_accepting(f);
	close_listener(&f->operators.listener);
	uv_close((uv_handle_t *)&f->tick, NULL);
	front_linger_sweep(f, true);
	for (l = f->connections.head; l; l = l->next)
		front_shutdown_socket(l->data, SHUT_RDWR);
	while (f->exchanges.head)
		front_abandon(f->exchanges.head->data);
	front_free_if_closed(f);
}

/* The TCP port on which callers are served. */
uint16_t front_caller_port(const struct front *f)
{
	return f->callers.number;
}

/* The TCP port on which operators are served. */
uint16_t front_admin_port(const struct front *f)
{
	return f->operators.number;
}

/*
 * Closes the callers' listener and asks every connection to end: HTTP/2 by
 * GOAWAY, HTTP/1 by "Connection: close" in the next response. An idle HTTP/1
 * connection is shut down for reading: a request that has arrived by then is
 * still read and served, a later one is never accepted. The operators' port
 * stays open, because the load balancer learns of the stop from it.
 */
void front_stop_accepting(struct front *f)
{
	GList *l;

	if (f->stopping)
		return;
	f->stopping = true;
	close_listener(&f->callers.listener);
	h2o_context_request_shutdown(&f->context);
	for (l = f->connections.head; l; l = l->next) {
		struct front_connection *c = l->data;

		if (!c->exchanges && !c->http2 && !c->port->operators)
			front_shutdown_socket(c, SHUT_RD);
	}
}

/* Open connections on both ports. */
unsigned front_connections(const struct front *f)
{
	return f->connections.length;
}

/* Exchanges that wait for an answer or whose response is being sent. */
unsigned front_exchanges(const struct front *f)
{
	return f->exchanges.length;
}
