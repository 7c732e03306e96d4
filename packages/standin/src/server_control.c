#include "server_control.h"

#include "server.h"
#include "server_node.h"

#define HTTP_BAD_REQUEST 400
#define US_PER_MS 1000

/* Refuses a body that does not make sense. */
static JsonNode *refuse(unsigned *status, const char *why)
{
	*status = HTTP_BAD_REQUEST;
	return control_http_message("%s", why);
}

/* POST /lag {"ms":..,"receive_ms":..} */
static JsonNode *on_lag(void *data, JsonObject *body, unsigned *status)
{
	struct server *srv = data;
	int64_t ms, receive_ms;

	ms = control_int(body, "ms", (int64_t)srv->lag_us / US_PER_MS);
	receive_ms = control_int(body, "receive_ms",
				 (int64_t)srv->receive_lag_us / US_PER_MS);
	if (ms < 0 || receive_ms < 0)
		return refuse(status, "a lag is not below 0");
	srv->lag_us = (uint64_t)ms * US_PER_MS;
	srv->receive_lag_us = (uint64_t)receive_ms * US_PER_MS;
	server_kick(srv);
	return NULL;
}

/* POST /peers {"name":"host:port",...} */
static JsonNode *on_peers(void *data, JsonObject *body, unsigned *status)
{
	g_autoptr(GList) names = json_object_get_members(body);
	const GList *name;

	for (name = names; name; name = name->next) {
		if (!server_set_peer(data, name->data,
				     control_string(body, name->data, "")))
			return refuse(status, "an address is HOST:PORT");
	}
	return NULL;
}

/* POST /partition {"from":[names]}; an empty list ends it */
static JsonNode *on_partition(void *data, JsonObject *body, unsigned *status)
{
	JsonNode *from = json_object_get_member(body, "from");
	GHashTable *names;
	JsonArray *array;
	guint i;

	if (!from || !JSON_NODE_HOLDS_ARRAY(from))
		return refuse(status, "from is a list of names");
	array = json_node_get_array(from);
	names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < json_array_get_length(array); i++)
		g_hash_table_add(names, g_strdup(json_array_get_string_element(
						array, i)));
	server_set_partition(data, names);
	return NULL;
}

/* POST /pause {"ms":..} */
static JsonNode *on_pause(void *data, JsonObject *body, unsigned *status)
{
	int64_t ms = control_int(body, "ms", 0);

	if (ms <= 0)
		return refuse(status, "ms is above 0");
	server_pause(data, (uint64_t)ms);
	return NULL;
}

/* POST /drop_answers {"count":..,"after":"commit"} */
static JsonNode *on_drop_answers(void *data, JsonObject *body, unsigned *status)
{
	struct server *srv = data;
	int64_t count = control_int(body, "count", 1);

	if (count < 0 ||
	    g_strcmp0(control_string(body, "after", "commit"), "commit"))
		return refuse(status, "answers are dropped after a commit");
	srv->drop_answers = (unsigned)count;
	return NULL;
}

/* POST /silent {"existing":true} */
static JsonNode *on_silent(void *data, JsonObject *body, unsigned *status)
{
	if (!control_bool(body, "existing", true))
		return refuse(status, "only existing connections go silent");
	server_silence(data);
	return NULL;
}

/* POST /jump_back {"position":..} */
static JsonNode *on_jump_back(void *data, JsonObject *body, unsigned *status)
{
	struct server *srv = data;
	int64_t position = control_int(body, "position", -1);

	if (position < 0 || !node_jump_back(srv->node, (uint64_t)position))
		return refuse(status, "a replica goes back to a position");
	server_changed(srv);
	return NULL;
}

/* POST /heal {} */
static JsonNode *on_heal(void *data, JsonObject *body, unsigned *status)
{
	(void)body;
	(void)status;
	server_heal(data);
	return NULL;
}

/* The counters and the faults in force. */
static JsonObject *make_counts(const struct server *srv)
{
	const struct server_counts *counts = &srv->counts;
	const struct {
		const char *name;
		uint64_t value;
	} values[] = {
		{ "sessions", srv->sessions.length },
		{ "accepted", counts->accepted },
		{ "refused_connections", counts->refused_connections },
		{ "connections_max", counts->connections_max },
		{ "transactions", counts->transactions },
		{ "commits", counts->commits },
		{ "rollbacks", counts->rollbacks },
		{ "errors", counts->errors },
		{ "statements", counts->statements },
		{ "reads", counts->reads },
		{ "writes", counts->writes },
		{ "functions", counts->functions },
		{ "controls", counts->controls },
		{ "pulls", counts->pulls },
		{ "dropped_answers", counts->dropped_answers },
		{ "idle_writers_ended", counts->idle_writers_ended },
		{ "lag_ms", srv->lag_us / US_PER_MS },
		{ "receive_lag_ms", srv->receive_lag_us / US_PER_MS },
		{ "drop_answers", srv->drop_answers },
		{ "paused", srv->paused },
		{ "partition", g_hash_table_size(srv->partition) },
	};
	JsonObject *object = json_object_new();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++)
		json_object_set_int_member(object, values[i].name,
					   (gint64)values[i].value);
	return object;
}

/* GET /state: {"status":{..},"counts":{..}} */
static JsonNode *on_state(void *data, JsonObject *body, unsigned *status)
{
	g_autoptr(GString) text = g_string_new(NULL);
	const struct server *srv = data;
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	(void)body;
	(void)status;
	node_put_status(srv->node, text, -1);
	json_object_set_member(object, "status",
			       json_from_string(text->str, NULL));
	json_object_set_object_member(object, "counts", make_counts(srv));
	json_node_take_object(node, object);
	return node;
}

const struct control_route server_control_routes[] = {
	{ "GET", "/state", on_state },
	{ "POST", "/lag", on_lag },
	{ "POST", "/peers", on_peers },
	{ "POST", "/partition", on_partition },
	{ "POST", "/pause", on_pause },
	{ "POST", "/drop_answers", on_drop_answers },
	{ "POST", "/silent", on_silent },
	{ "POST", "/jump_back", on_jump_back },
	{ "POST", "/heal", on_heal },
};

const size_t server_control_route_count = G_N_ELEMENTS(server_control_routes);
