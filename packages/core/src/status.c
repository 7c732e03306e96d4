#include <celeryquay/core/upstream.h>

#include <celeryquay/base/strict_json.h>

#include "status_scan.h"

#include <json-glib/json-glib.h>
#include <string.h>

/* Bounds the size of a status, in bytes; real ones are far smaller. */
#define STATUS_MAX_BYTES 65536

/* Reads an integer of at least 0; false for anything else. */
static bool node_u64(JsonNode *node, uint64_t *out)
{
	gint64 value;

	if (!node || !JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_INT64)
		return false;
	value = json_node_get_int(node);
	if (value < 0)
		return false;
	*out = (uint64_t)value;
	return true;
}

static bool get_u64(JsonObject *o, const char *key, uint64_t *out)
{
	return node_u64(json_object_get_member(o, key), out);
}

static bool get_bool(JsonObject *o, const char *key)
{
	return json_object_get_boolean_member_with_default(o, key, FALSE);
}

/* Reads a string that fits with its NUL; absent or null gives an empty one. */
static bool get_name(JsonObject *o, const char *key, char *out, size_t size)
{
	JsonNode *node = json_object_get_member(o, key);
	const char *text;

	out[0] = '\0';
	if (!node || JSON_NODE_HOLDS_NULL(node))
		return true;
	if (!JSON_NODE_HOLDS_VALUE(node) ||
	    json_node_get_value_type(node) != G_TYPE_STRING)
		return false;
	text = json_node_get_string(node);
	return g_strlcpy(out, text, size) < size;
}

static bool get_role(JsonObject *o, enum server_role *out)
{
	char role[16];

	if (!get_name(o, "role", role, sizeof(role)))
		return false;
	if (!strcmp(role, "primary"))
		*out = ROLE_PRIMARY;
	else if (!strcmp(role, "replica"))
		*out = ROLE_REPLICA;
	else
		return false;
	return true;
}

static bool get_entry(JsonNode *node, struct history_entry *out)
{
	JsonArray *pair;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return false;
	pair = json_node_get_array(node);
	return json_array_get_length(pair) == 2 &&
	       node_u64(json_array_get_element(pair, 0), &out->term) &&
	       node_u64(json_array_get_element(pair, 1), &out->start);
}

/* Reads the newest HISTORY_MAX entries; terms and starts must both rise. */
static bool get_history(JsonObject *o, struct history *out)
{
	JsonNode *node = json_object_get_member(o, "history");
	struct history_entry entry, last = { 0 };
	JsonArray *list;
	unsigned i, n, skip;

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return false;
	list = json_node_get_array(node);
	n = json_array_get_length(list);
	skip = n > HISTORY_MAX ? n - HISTORY_MAX : 0;
	out->count = 0;
	for (i = 0; i < n; i++) {
		if (!get_entry(json_array_get_element(list, i), &entry))
			return false;
		if (entry.term <= last.term || entry.start <= last.start)
			return false;
		last = entry;
		if (i >= skip)
			out->entries[out->count++] = entry;
	}
	return true;
}

static bool get_counts(JsonObject *o, struct server_status *out)
{
	uint64_t connections = 0, limit = 0;

	if (!get_u64(o, "connections", &connections) ||
	    !get_u64(o, "connection_limit", &limit))
		return false;
	out->connections = (unsigned)MIN(connections, UINT_MAX);
	out->connection_limit = (unsigned)MIN(limit, UINT_MAX);
	return true;
}

static bool get_status(JsonObject *o, struct server_status *out)
{
	memset(out, 0, sizeof(*out));
	out->fenced = get_bool(o, "fenced");
	out->leaving = get_bool(o, "leaving");
	out->granted_ok = get_bool(o, "granted_ok");
	return get_u64(o, "term", &out->term) && get_role(o, &out->role) &&
	       get_u64(o, "granted", &out->granted) &&
	       get_u64(o, "received", &out->received) &&
	       get_u64(o, "applied", &out->applied) &&
	       get_name(o, "server", out->name, sizeof(out->name)) &&
	       get_name(o, "holder", out->holder, sizeof(out->holder)) &&
	       get_name(o, "following", out->following,
			sizeof(out->following)) &&
	       get_history(o, &out->history) && get_counts(o, out);
}

/* Reads a status in any JSON notation. */
static bool parse_json(struct str json, struct server_status *out)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root;
	bool ok = false;

	if (strict_json_load(parser, json, NULL)) {
		root = json_parser_get_root(parser);
		ok = root && JSON_NODE_HOLDS_OBJECT(root) &&
		     get_status(json_node_get_object(root), out);
	}
	g_object_unref(parser);
	return ok;
}

/*
 * Reads a status. It must be complete and valid: a status that is only partly
 * understood could confirm a write that no majority has. *out is undefined
 * after a failure.
 */
bool status_parse(struct str json, struct server_status *out, struct err *err)
{
	if (json.len > STATUS_MAX_BYTES) {
		err_set(err, ERR_BAD_MESSAGE, "status too large: %zu bytes",
			json.len);
		return false;
	}
	if (status_scan(json, out) || parse_json(json, out))
		return true;
	err_set(err, ERR_BAD_MESSAGE, "not a valid status: %.*s",
		(int)MIN(json.len, 120), json.data);
	return false;
}

/* Reads "term:index"; *out is unchanged after a failure. */
bool position_parse(struct str text, struct position *out)
{
	const char *colon = memchr(text.data, ':', text.len);
	struct position p;
	struct str term, index;

	if (!colon)
		return false;
	term = (struct str){ text.data, (size_t)(colon - text.data) };
	index = (struct str){ colon + 1, text.len - term.len - 1 };
	if (!str_to_u64(term, &p.term) || !str_to_u64(index, &p.index))
		return false;
	*out = p;
	return true;
}
