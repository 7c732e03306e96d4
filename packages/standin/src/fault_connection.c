#include "fault_connection.h"

#define LOG_MODULE "fault_connection"
#define LOG_INFO(...)                                                          \
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MODULE", LOG_MODULE, \
			 "MESSAGE", __VA_ARGS__)

static void on_closed(uv_handle_t *handle)
{
	struct fault_pipe *pipe = handle->data;
	struct fault_connection *connection = pipe->connection;

	if (--connection->handles == 0)
		g_free(connection);
}

static void close_handle(uv_tcp_t *tcp, bool reset)
{
	if (!reset || uv_tcp_close_reset(tcp, on_closed) != 0)
		uv_close((uv_handle_t *)tcp, on_closed);
}

/*
 * Closes both ends at once, with a reset or in order. What was not delivered
 * yet is lost.
 */
void fault_connection_close(struct fault_connection *connection, bool reset)
{
	struct fault_route *route = connection->route;
	int i;

	if (connection->closing)
		return;
	connection->closing = true;
	route->counters.resets += reset;
	g_queue_unlink(&route->connections, &connection->link);
	for (i = 0; i < FAULT_DIRECTIONS; i++) {
		fault_clock_disarm(route->clock, &connection->pipes[i].alarm);
		fault_pipe_clear(&connection->pipes[i]);
	}
	close_handle(&connection->client, reset);
	if (connection->has_target)
		close_handle(&connection->target, reset);
}

/*
 * Closes a connection both directions of which are over.
 */
void fault_connection_close_if_over(struct fault_connection *connection)
{
	const struct fault_pipe *pipes = connection->pipes;

	if (!fault_pipe_is_over(&pipes[FAULT_UP]))
		return;
	if (connection->has_target && !fault_pipe_is_over(&pipes[FAULT_DOWN]))
		return;
	fault_connection_close(connection, false);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct fault_connection *connection = connect->data;
	struct fault_route *route = connection->route;

	if (connection->closing)
		return;
	if (status < 0) {
		LOG_INFO("route %s: can't reach the target: %s", route->name,
			 uv_strerror(status));
		route->counters.connect_failures++;
		fault_connection_close(connection, true);
		return;
	}
	uv_tcp_nodelay(&connection->target, 1);
	connection->connected = true;
	fault_connection_pump(connection);
}

static void connect_target(struct fault_connection *connection)
{
	struct fault_route *route = connection->route;
	int result;

	uv_tcp_init(route->loop, &connection->target);
	connection->has_target = true;
	connection->connected = false;
	connection->handles++;
	connection->connect.data = connection;
	result = uv_tcp_connect(&connection->connect, &connection->target,
				(struct sockaddr *)&route->target,
				on_connected);
	if (result == 0)
		return;
	route->counters.connect_failures++;
	fault_connection_close(connection, true);
}

/*
 * Accepts a connection and connects to the target. When new connections are
 * silent in both directions nothing of this one reaches the target, so it
 * isn't connected at all.
 */
void fault_connection_accept(struct fault_route *route, uv_stream_t *listener)
{
	struct fault_connection *connection =
		g_new0(struct fault_connection, 1);
	struct fault_pipe *pipes = connection->pipes;

	connection->route = route;
	connection->link.data = connection;
	connection->handles = 1;
	uv_tcp_init(route->loop, &connection->client);
	fault_pipe_init(&pipes[FAULT_UP], connection, FAULT_UP,
			&connection->client, &connection->target);
	fault_pipe_init(&pipes[FAULT_DOWN], connection, FAULT_DOWN,
			&connection->target, &connection->client);
	g_queue_push_tail_link(&route->connections, &connection->link);
	if (uv_accept(listener, (uv_stream_t *)&connection->client) < 0) {
		fault_connection_close(connection, false);
		return;
	}
	route->counters.accepted++;
	uv_tcp_nodelay(&connection->client, 1);
	if (pipes[FAULT_UP].silent && pipes[FAULT_DOWN].silent) {
		connection->connected = true;
		fault_connection_pump(connection);
		return;
	}
	connect_target(connection);
}

/*
 * Writes what is due in both directions, after a setting has changed.
 */
void fault_connection_pump(struct fault_connection *connection)
{
	fault_pipe_pump(&connection->pipes[FAULT_UP]);
	fault_pipe_pump(&connection->pipes[FAULT_DOWN]);
}

/*
 * From now on a direction loses its bytes and its end: to both sides the
 * connection stays open.
 */
void fault_connection_silence(struct fault_connection *connection,
			      enum fault_direction direction)
{
	fault_pipe_silence(&connection->pipes[direction]);
	fault_connection_close_if_over(connection);
}

/*
 * Delivers what was held back. A direction that has lost bytes can't go on,
 * as its stream would have a gap that TCP never shows: it stays silent for
 * good, or the connection is reset.
 */
void fault_connection_heal(struct fault_connection *connection,
			   bool reset_silent)
{
	struct fault_pipe *pipes = connection->pipes;

	if (reset_silent && fault_connection_is_silent(connection)) {
		fault_connection_close(connection, true);
		return;
	}
	if (!connection->has_target && !pipes[FAULT_UP].swallowed)
		connect_target(connection);
	if (connection->closing || !connection->has_target)
		return;
	fault_pipe_heal(&pipes[FAULT_UP]);
	if (!connection->closing)
		fault_pipe_heal(&pipes[FAULT_DOWN]);
}

/*
 * Whether a direction lets nothing through.
 */
bool fault_connection_is_silent(const struct fault_connection *connection)
{
	return connection->pipes[FAULT_UP].silent ||
	       connection->pipes[FAULT_DOWN].silent;
}
