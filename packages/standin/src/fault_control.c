#include "fault_control.h"

#include <string.h>

#define DEFAULT_SEED 1

/* Which directions a body names. */
struct directions {
	bool named[FAULT_DIRECTIONS];
};

/*
 * Opens a route, or gives one that there is a new target, where `listen` is
 * left alone.
 */
bool fault_proxy_add(struct fault_proxy *proxy, const char *name,
		     const char *listen, const char *target, GError **error)
{
	struct fault_route *route = g_hash_table_lookup(proxy->routes, name);

	if (route)
		return fault_route_set_target(route, target, error);
	route = fault_route_create(proxy->loop, proxy->clock, name, listen,
				   target, error);
	if (!route)
		return false;
	g_hash_table_insert(proxy->routes, route->name, route);
	return true;
}

static JsonNode *refuse(unsigned *status, const char *message)
{
	*status = 400;
	return control_http_message("%s", message);
}

/* A time in milliseconds, which may have a fraction. */
static bool get_us(JsonObject *body, const char *name, double fallback_ms,
		   uint64_t *us)
{
	JsonNode *node = json_object_get_member(body, name);
	double ms = fallback_ms;

	if (node && JSON_NODE_HOLDS_VALUE(node))
		ms = json_node_get_double(node);
	if (!(ms >= 0 && ms < 1e9))
		return false;
	*us = (uint64_t)(ms * 1000);
	return true;
}

static bool get_directions(JsonObject *body, struct directions *directions)
{
	const char *name = control_string(body, "direction", "both");
	bool both = strcmp(name, "both") == 0;

	directions->named[FAULT_UP] = both || strcmp(name, "up") == 0;
	directions->named[FAULT_DOWN] = both || strcmp(name, "down") == 0;
	return directions->named[FAULT_UP] || directions->named[FAULT_DOWN];
}

/*
 * The routes that a body means, or an error answer if there is none. The
 * caller frees the list.
 */
static GList *get_routes(struct fault_proxy *proxy, JsonObject *body,
			 unsigned *status)
{
	const char *name = control_string(body, "route", "*");
	struct fault_route *route;

	if (strcmp(name, "*") == 0)
		return g_hash_table_get_values(proxy->routes);
	route = g_hash_table_lookup(proxy->routes, name);
	if (route)
		return g_list_prepend(NULL, route);
	*status = 404;
	return NULL;
}

static JsonNode *routes_done(GList *routes, unsigned status)
{
	g_list_free(routes);
	return status == 404 ? control_http_message("no such route") : NULL;
}

static JsonNode *on_delay(void *data, JsonObject *body, unsigned *status)
{
	GList *routes = get_routes(data, body, status);
	uint32_t seed = (uint32_t)control_int(body, "seed", DEFAULT_SEED);
	uint64_t delay_us;
	uint64_t jitter_us;
	GList *link;

	if (!get_us(body, "ms", -1, &delay_us) ||
	    !get_us(body, "jitter_ms", 0, &jitter_us)) {
		g_list_free(routes);
		return refuse(status, "bad \"ms\" or \"jitter_ms\"");
	}
	for (link = routes; link; link = link->next)
		fault_route_delay(link->data, delay_us, jitter_us, seed);
	return routes_done(routes, *status);
}

static JsonNode *on_loss(void *data, JsonObject *body, unsigned *status)
{
	GList *routes = get_routes(data, body, status);
	uint32_t seed = (uint32_t)control_int(body, "seed", DEFAULT_SEED);
	JsonNode *node = json_object_get_member(body, "percent");
	double percent = node ? json_node_get_double(node) : -1;
	uint64_t stall_us;
	GList *link;

	if (!(percent >= 0 && percent <= 100) ||
	    !get_us(body, "stall_ms", 200, &stall_us)) {
		g_list_free(routes);
		return refuse(status, "bad \"percent\" or \"stall_ms\"");
	}
	for (link = routes; link; link = link->next)
		fault_route_lose(link->data, percent / 100, stall_us, seed);
	return routes_done(routes, *status);
}

static JsonNode *on_cut(void *data, JsonObject *body, unsigned *status)
{
	GList *routes = get_routes(data, body, status);
	GList *link;

	for (link = routes; link; link = link->next)
		fault_route_cut(link->data);
	return routes_done(routes, *status);
}

static void silence(struct fault_route *route,
		    const struct directions *directions, bool existing,
		    bool future)
{
	int i;

	for (i = 0; i < FAULT_DIRECTIONS; i++) {
		if (directions->named[i])
			fault_route_silence(route, (enum fault_direction)i,
					    existing, future);
	}
}

static JsonNode *on_blackhole(void *data, JsonObject *body, unsigned *status)
{
	GList *routes = get_routes(data, body, status);
	bool existing = control_bool(body, "existing", true);
	bool future = control_bool(body, "new", true);
	struct directions directions;
	GList *link;

	if (!get_directions(body, &directions)) {
		g_list_free(routes);
		return refuse(status, "bad \"direction\"");
	}
	for (link = routes; link; link = link->next)
		silence(link->data, &directions, existing, future);
	return routes_done(routes, *status);
}

static JsonNode *on_drop_after(void *data, JsonObject *body, unsigned *status)
{
	GList *routes = get_routes(data, body, status);
	int64_t bytes = control_int(body, "bytes", -1);
	struct directions directions;
	GList *link;
	int i;

	if (bytes < 0 || !get_directions(body, &directions)) {
		g_list_free(routes);
		return refuse(status, "bad \"bytes\" or \"direction\"");
	}
	for (link = routes; link; link = link->next) {
		for (i = 0; i < FAULT_DIRECTIONS; i++) {
			if (directions.named[i])
				fault_route_drop_after(link->data,
						       (enum fault_direction)i,
						       (uint64_t)bytes);
		}
	}
	return routes_done(routes, *status);
}

static JsonNode *on_pause(void *data, JsonObject *body, unsigned *status)
{
	GList *routes = get_routes(data, body, status);
	uint64_t until_us = UINT64_MAX;
	uint64_t pause_us;
	GList *link;

	if (json_object_has_member(body, "ms")) {
		if (!get_us(body, "ms", -1, &pause_us)) {
			g_list_free(routes);
			return refuse(status, "bad \"ms\"");
		}
		until_us = fault_now_us() + pause_us;
	}
	for (link = routes; link; link = link->next)
		fault_route_pause(link->data, until_us);
	return routes_done(routes, *status);
}

static JsonNode *on_heal(void *data, JsonObject *body, unsigned *status)
{
	GList *routes = get_routes(data, body, status);
	bool keep_delay = control_bool(body, "keep_delay", false);
	bool reset_silent = control_bool(body, "reset_silent", false);
	g_autoptr(GError) error = NULL;
	GList *link;

	for (link = routes; link && !error; link = link->next)
		fault_route_heal(link->data, keep_delay, reset_silent, &error);
	if (!error)
		return routes_done(routes, *status);
	g_list_free(routes);
	*status = 500;
	return control_http_message("%s", error->message);
}

static JsonNode *on_route(void *data, JsonObject *body, unsigned *status)
{
	struct fault_proxy *proxy = data;
	const char *name = control_string(body, "name", NULL);
	const char *listen = control_string(body, "listen", "127.0.0.1:0");
	const char *target = control_string(body, "target", "");
	g_autoptr(GError) error = NULL;
	const struct fault_route *route;
	JsonObject *answer;
	JsonNode *node;

	if (!name || !*name || strcmp(name, "*") == 0)
		return refuse(status, "bad \"name\"");
	if (!fault_proxy_add(proxy, name, listen, target, &error))
		return refuse(status, error->message);
	route = g_hash_table_lookup(proxy->routes, name);
	answer = json_object_new();
	json_object_set_string_member(answer, "name", name);
	json_object_set_int_member(answer, "port", fault_route_port(route));
	node = json_node_new(JSON_NODE_OBJECT);
	json_node_take_object(node, answer);
	return node;
}

static JsonNode *on_state(void *data, JsonObject *body, unsigned *status)
{
	struct fault_proxy *proxy = data;
	JsonObject *routes = json_object_new();
	JsonObject *state = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	GHashTableIter iter;
	gpointer name;
	gpointer route;

	(void)body;
	(void)status;
	g_hash_table_iter_init(&iter, proxy->routes);
	while (g_hash_table_iter_next(&iter, &name, &route))
		json_object_set_object_member(routes, name,
					      fault_route_state(route));
	json_object_set_object_member(state, "routes", routes);
	json_node_take_object(node, state);
	return node;
}

const struct control_route fault_control_routes[] = {
	{ "POST", "/route", on_route },
	{ "POST", "/delay", on_delay },
	{ "POST", "/loss", on_loss },
	{ "POST", "/cut", on_cut },
	{ "POST", "/blackhole", on_blackhole },
	{ "POST", "/drop_after", on_drop_after },
	{ "POST", "/pause", on_pause },
	{ "POST", "/heal", on_heal },
	{ "GET", "/state", on_state },
};
const size_t fault_control_route_count = G_N_ELEMENTS(fault_control_routes);
