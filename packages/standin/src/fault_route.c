#include "fault_route.h"

#include <errno.h>
#include <unistd.h>

#include "control_http.h"
#include "fault_connection.h"

#define LOG_MODULE "fault_route"
#define LOG_WARN(...)                                                 \
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "MODULE", \
			 LOG_MODULE, "MESSAGE", __VA_ARGS__)

#define LISTEN_BACKLOG 512

static bool fail(GError **error, const struct fault_route *route,
		 const char *what, const char *why)
{
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
		    "route %s: can't %s: %s", route->name, what, why);
	return false;
}

/*
 * Binds a socket that never listens, and keeps the port with it: while the
 * route is cut nothing listens there, so that connects are refused as by a
 * host that is up, and no other process may get the port meanwhile.
 */
static bool reserve_port(struct fault_route *route, GError **error)
{
	socklen_t length = sizeof(route->address);
	struct sockaddr *address = (struct sockaddr *)&route->address;
	int on = 1;

	route->reserve_fd =
		socket(route->address.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (route->reserve_fd < 0)
		return fail(error, route, "open a socket", g_strerror(errno));
	setsockopt(route->reserve_fd, SOL_SOCKET, SO_REUSEADDR, &on,
		   sizeof(on));
	if (bind(route->reserve_fd, address, length) < 0 ||
	    getsockname(route->reserve_fd, address, &length) < 0)
		return fail(error, route, "bind the port", g_strerror(errno));
	return true;
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct fault_route *route = listener->data;

	if (status < 0)
		LOG_WARN("route %s: can't accept: %s", route->name,
			 uv_strerror(status));
	else
		fault_connection_accept(route, listener);
}

static void on_listener_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void stop_listening(struct fault_route *route)
{
	if (route->listener)
		uv_close((uv_handle_t *)route->listener, on_listener_closed);
	route->listener = NULL;
}

static bool start_listening(struct fault_route *route, GError **error)
{
	int result;

	if (route->listener)
		return true;
	route->listener = g_new0(uv_tcp_t, 1);
	uv_tcp_init(route->loop, route->listener);
	route->listener->data = route;
	result = uv_tcp_bind(route->listener,
			     (struct sockaddr *)&route->address, 0);
	if (result == 0)
		result = uv_listen((uv_stream_t *)route->listener,
				   LISTEN_BACKLOG, on_connection);
	if (result == 0)
		return true;
	stop_listening(route);
	return fail(error, route, "listen", uv_strerror(result));
}

/*
 * Opens a route from a HOST:PORT that is listened on, where port 0 takes a
 * free one, to a HOST:PORT that connections are carried to.
 */
struct fault_route *fault_route_create(uv_loop_t *loop,
				       struct fault_clock *clock,
				       const char *name, const char *listen,
				       const char *target, GError **error)
{
	struct fault_route *route = g_new0(struct fault_route, 1);

	route->name = g_strdup(name);
	route->loop = loop;
	route->clock = clock;
	route->reserve_fd = -1;
	route->settings.jitter_rand = g_rand_new_with_seed(0);
	route->settings.loss_rand = g_rand_new_with_seed(0);
	g_queue_init(&route->connections);
	if (control_parse_address(listen, &route->address, error) &&
	    control_parse_address(target, &route->target, error) &&
	    reserve_port(route, error) && start_listening(route, error))
		return route;
	fault_route_destroy(route);
	return NULL;
}

/*
 * Resets the route's connections, closes its port and frees. The loop has
 * to run afterwards, until the handles are closed.
 */
void fault_route_destroy(struct fault_route *route)
{
	if (!route)
		return;
	fault_route_cut(route);
	if (route->reserve_fd >= 0)
		close(route->reserve_fd);
	g_rand_free(route->settings.jitter_rand);
	g_rand_free(route->settings.loss_rand);
	g_free(route->name);
	g_free(route);
}

/*
 * Carries the connections that come from now on to another HOST:PORT.
 */
bool fault_route_set_target(struct fault_route *route, const char *target,
			    GError **error)
{
	struct sockaddr_storage address;

	if (!control_parse_address(target, &address, error))
		return false;
	route->target = address;
	return true;
}

/*
 * The port that the route listens on, or will again after a cut.
 */
uint16_t fault_route_port(const struct fault_route *route)
{
	return control_address_port(&route->address);
}

/*
 * Resets all connections, and refuses new ones until the route is healed.
 */
void fault_route_cut(struct fault_route *route)
{
	route->settings.cut = true;
	stop_listening(route);
	while (!g_queue_is_empty(&route->connections))
		fault_connection_close(g_queue_peek_head(&route->connections),
				       true);
}

/*
 * Delays what is read from now on by `delay_us` and a random part of
 * `jitter_us`, in each direction.
 */
void fault_route_delay(struct fault_route *route, uint64_t delay_us,
		       uint64_t jitter_us, uint32_t seed)
{
	route->settings.delay_us = delay_us;
	route->settings.jitter_us = jitter_us;
	g_rand_set_seed(route->settings.jitter_rand, seed);
}

/*
 * Shows loss as TCP does: with a probability of `loss` (0 to 1), a read
 * waits for `stall_us`, as for its retransmission, and so does what follows.
 */
void fault_route_lose(struct fault_route *route, double loss, uint64_t stall_us,
		      uint32_t seed)
{
	route->settings.loss = loss;
	route->settings.stall_us = stall_us;
	g_rand_set_seed(route->settings.loss_rand, seed);
}

static void pump_all(struct fault_route *route)
{
	GList *link = route->connections.head;

	while (link) {
		struct fault_connection *connection = link->data;

		link = link->next;
		fault_connection_pump(connection);
	}
}

/*
 * Holds everything back until a time of fault_now_us(), and delivers it
 * then: a partition that ends before the connections time out.
 */
void fault_route_pause(struct fault_route *route, uint64_t until_us)
{
	route->settings.paused_until_us = until_us;
	pump_all(route);
}

/*
 * Swallows a direction's bytes on the connections that exist, on those that
 * come, or on both.
 */
void fault_route_silence(struct fault_route *route,
			 enum fault_direction direction, bool existing,
			 bool future)
{
	GList *link = route->connections.head;

	if (future)
		route->settings.silent_new[direction] = true;
	while (existing && link) {
		struct fault_connection *connection = link->data;

		link = link->next;
		fault_connection_silence(connection, direction);
	}
}

/*
 * Lets so many more bytes through in a direction, counted over the route,
 * and resets the connection that carries the last of them.
 */
void fault_route_drop_after(struct fault_route *route,
			    enum fault_direction direction, uint64_t bytes)
{
	route->settings.drop[direction].armed = true;
	route->settings.drop[direction].bytes_left = bytes;
}

static void clear_settings(struct fault_settings *settings, bool keep_delay)
{
	int i;

	settings->cut = false;
	settings->loss = 0;
	settings->paused_until_us = 0;
	if (!keep_delay) {
		settings->delay_us = 0;
		settings->jitter_us = 0;
	}
	for (i = 0; i < FAULT_DIRECTIONS; i++) {
		settings->silent_new[i] = false;
		settings->drop[i].armed = false;
	}
}

/*
 * Ends all faults, but for the delay if that is kept. Connections that have
 * lost bytes stay silent, or are reset if `reset_silent`.
 */
bool fault_route_heal(struct fault_route *route, bool keep_delay,
		      bool reset_silent, GError **error)
{
	GList *link = route->connections.head;

	clear_settings(&route->settings, keep_delay);
	while (link) {
		struct fault_connection *connection = link->data;

		link = link->next;
		fault_connection_heal(connection, reset_silent);
	}
	return start_listening(route, error);
}

static unsigned count_silent(const struct fault_route *route)
{
	unsigned count = 0;
	GList *link;

	for (link = route->connections.head; link; link = link->next)
		count += fault_connection_is_silent(link->data);
	return count;
}

/*
 * What GET /state tells of a route; the caller frees it.
 */
JsonObject *fault_route_state(const struct fault_route *route)
{
	const struct fault_counters *counters = &route->counters;
	bool paused = route->settings.paused_until_us > fault_now_us();
	const struct {
		const char *name;
		uint64_t value;
	} numbers[] = {
		{ "port", fault_route_port(route) },
		{ "target_port", control_address_port(&route->target) },
		{ "open", route->connections.length },
		{ "silent", count_silent(route) },
		{ "accepted", counters->accepted },
		{ "connect_failures", counters->connect_failures },
		{ "resets", counters->resets },
		{ "stalls", counters->stalls },
		{ "bytes_up", counters->bytes[FAULT_UP] },
		{ "bytes_down", counters->bytes[FAULT_DOWN] },
		{ "swallowed_up", counters->swallowed[FAULT_UP] },
		{ "swallowed_down", counters->swallowed[FAULT_DOWN] },
		{ "swallowed_ends", counters->swallowed_ends },
	};
	JsonObject *state = json_object_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(numbers); i++)
		json_object_set_int_member(state, numbers[i].name,
					   (gint64)numbers[i].value);
	json_object_set_boolean_member(state, "cut", route->settings.cut);
	json_object_set_boolean_member(state, "paused", paused);
	return state;
}
