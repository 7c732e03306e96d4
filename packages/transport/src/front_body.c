#include "front_private.h"

#include <celeryquay/base/strict_json.h>

#include <json-glib/json-glib.h>
#include <math.h>
#include <string.h>

/* Limits of one request body. */
#define STATEMENTS_MAX 1000
#define PARAMETERS_MAX 10000

/* Counts over the whole body. */
struct totals {
	unsigned params;
	unsigned members; /* members of all objects that were read */
};

static bool bad_field(struct err *err, const char *path, const char *reason)
{
	err_set(err, ERR_BAD_FIELD, "%s: %s", path, reason);
	return false;
}

/* A view of the node's string, valid as long as the node. */
static struct str text_of(JsonNode *node)
{
	return str_from_c(json_node_get_string(node));
}

static bool is_text(JsonNode *node)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == G_TYPE_STRING;
}

static bool is_base64(const char *text)
{
	size_t len = strlen(text);
	size_t n = strspn(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				"abcdefghijklmnopqrstuvwxyz0123456789+/");

	return len % 4 == 0 && len - n <= 2 && strspn(text + n, "=") == len - n;
}

/* Reads a parameter of the form {"bytes": "<base64>"}. */
static bool read_bytes(struct request *r, JsonObject *object,
		       struct value *value, const char *path, struct err *err)
{
	JsonNode *node = json_object_get_member(object, "bytes");
	const char *text;
	guchar *data;
	gsize len;

	if (!node || !is_text(node) || json_object_get_size(object) != 1)
		return bad_field(
			err, path,
			"an object is allowed only as {\"bytes\": base64}");
	text = json_node_get_string(node);
	if (!is_base64(text))
		return bad_field(err, path, "not base64");
	data = g_base64_decode(text, &len);
	value->type = VALUE_BYTES;
	value->u.s = request_copy_bytes(r, (const char *)data, len);
	g_free(data);
	return true;
}

static bool read_scalar(JsonNode *node, struct value *value, const char *path,
			struct err *err)
{
	switch (json_node_get_value_type(node)) {
	case G_TYPE_BOOLEAN:
		value->type = VALUE_BOOL;
		value->u.b = json_node_get_boolean(node);
		return true;
	case G_TYPE_INT64:
		value->type = VALUE_INT;
		value->u.i = json_node_get_int(node);
		return true;
	case G_TYPE_DOUBLE:
		value->type = VALUE_FLOAT;
		value->u.f = json_node_get_double(node);
		return isfinite(value->u.f) ||
		       bad_field(err, path, "the number is out of range");
	case G_TYPE_STRING:
		value->type = VALUE_TEXT;
		value->u.s = text_of(node);
		return true;
	default:
		return bad_field(err, path, "not a value");
	}
}

static bool read_param(struct request *r, JsonNode *node, struct value *value,
		       struct totals *totals, const char *path, struct err *err)
{
	switch (json_node_get_node_type(node)) {
	case JSON_NODE_NULL:
		value->type = VALUE_NULL;
		return true;
	case JSON_NODE_VALUE:
		return read_scalar(node, value, path, err);
	case JSON_NODE_OBJECT:
		totals->members++;
		return read_bytes(r, json_node_get_object(node), value, path,
				  err);
	default:
		return bad_field(err, path, "a list cannot be a parameter");
	}
}

static bool read_params(struct request *r, unsigned index, JsonNode *node,
			struct totals *totals, struct err *err)
{
	struct statement *s = &r->statements[index];
	char path[64];
	JsonArray *list;
	unsigned i;

	g_snprintf(path, sizeof(path), "statements[%u].params", index);
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return bad_field(err, path, "a list is expected");
	list = json_node_get_array(node);
	s->n_params = json_array_get_length(list);
	totals->params += s->n_params;
	if (totals->params > PARAMETERS_MAX)
		return bad_field(err, path, "more than 10000 parameters");
	s->params = g_new0(struct value, s->n_params);
	for (i = 0; i < s->n_params; i++) {
		g_snprintf(path, sizeof(path), "statements[%u].params[%u]",
			   index, i);
		if (!read_param(r, json_array_get_element(list, i),
				&s->params[i], totals, path, err))
			return false;
	}
	return true;
}

static bool read_statement(struct request *r, unsigned index, JsonNode *node,
			   struct totals *totals, struct err *err)
{
	JsonNode *params;
	JsonObject *object;
	JsonNode *sql;
	char path[64];

	g_snprintf(path, sizeof(path), "statements[%u]", index);
	if (!JSON_NODE_HOLDS_OBJECT(node))
		return bad_field(err, path, "an object is expected");
	object = json_node_get_object(node);
	sql = json_object_get_member(object, "sql");
	params = json_object_get_member(object, "params");
	if (json_object_get_size(object) != 1U + (params != NULL) || !sql)
		return bad_field(err, path,
				 "takes \"sql\" and \"params\" only");
	if (!is_text(sql) || !text_of(sql).len) {
		g_snprintf(path, sizeof(path), "statements[%u].sql", index);
		return bad_field(err, path, "a string is expected");
	}
	r->statements[index].sql = text_of(sql);
	totals->members += json_object_get_size(object);
	return !params || read_params(r, index, params, totals, err);
}

static bool read_statements(struct request *r, JsonNode *node,
			    struct totals *totals, struct err *err)
{
	JsonArray *list;
	unsigned i;

	if (!JSON_NODE_HOLDS_ARRAY(node))
		return bad_field(err, "statements", "a list is expected");
	list = json_node_get_array(node);
	if (!json_array_get_length(list))
		return bad_field(err, "statements", "the list is empty");
	if (json_array_get_length(list) > STATEMENTS_MAX)
		return bad_field(err, "statements",
				 "more than 1000 statements");
	r->n_statements = json_array_get_length(list);
	r->statements = g_new0(struct statement, r->n_statements);
	for (i = 0; i < r->n_statements; i++) {
		if (!read_statement(r, i, json_array_get_element(list, i),
				    totals, err))
			return false;
	}
	return true;
}

static bool takes_profile(enum request_kind kind)
{
	return kind == REQUEST_RUN || kind == REQUEST_BEGIN;
}

static bool takes_statements(enum request_kind kind)
{
	return kind == REQUEST_RUN || kind == REQUEST_IN_TRANSACTION;
}

/*
 * Fails if a field is missing which the kind of request needs, or present
 * though the kind doesn't have it. Adds an expected field to *n.
 */
static bool check_field(JsonObject *object, const char *name, bool expected,
			unsigned *n, struct err *err)
{
	if (json_object_has_member(object, name) != expected)
		return bad_field(err, name,
				 expected ? "the field is missing" :
					    "this call has no such field");
	*n += expected;
	return true;
}

static bool read_fields(struct request *r, JsonObject *object,
			struct totals *totals, struct err *err)
{
	bool statements = takes_statements(r->kind);
	bool profile = takes_profile(r->kind);
	unsigned *n = &totals->members;
	JsonNode *node;

	if (!check_field(object, "profile", profile, n, err) ||
	    !check_field(object, "statements", statements, n, err))
		return false;
	if (json_object_get_size(object) != *n)
		return bad_field(err, "body", "there is an unknown field");
	if (profile) {
		node = json_object_get_member(object, "profile");
		if (!is_text(node))
			return bad_field(err, "profile",
					 "a string is expected");
		r->profile = text_of(node);
	}
	node = json_object_get_member(object, "statements");
	return !statements || read_statements(r, node, totals, err);
}

static void free_node(void *node)
{
	json_node_unref(node);
}

/*
 * Reads the whole body. For duplicate keys the parser keeps only the last
 * value, but the proxy can't know which of the two amounts the caller meant.
 * So the body is refused if fewer members were read than strict_json_check()
 * counted.
 */
static bool read_body(struct request *r, JsonNode *root, unsigned members,
		      struct err *err)
{
	struct totals totals = { 0 };

	if (!JSON_NODE_HOLDS_OBJECT(root))
		return bad_field(err, "body", "an object is expected");
	if (!read_fields(r, json_node_get_object(root), &totals, err))
		return false;
	return totals.members == members ||
	       bad_field(err, "body", "a field occurs twice");
}

/*
 * Parses the body of a request of this kind with JSON-GLib. The request's
 * views point into the parsed JSON, which its `body` keeps alive. Returns NULL
 * with BAD_JSON, TOO_DEEP or BAD_FIELD, and the field's path in the message.
 */
struct request *front_parse_json(enum request_kind kind, struct str body,
				 struct err *err)
{
	struct request *r;
	unsigned members;
	JsonNode *root;

	if (!strict_json_check(body, FRONT_DEPTH_MAX, &members, err))
		return NULL;
	root = strict_json_parse(body, err);
	if (!root)
		return NULL;
	r = request_create(kind);
	r->body = g_bytes_new_with_free_func("", 0, free_node, root);
	if (read_body(r, root, members, err))
		return r;
	request_unref(r);
	return NULL;
}

/*
 * Parses the body of a request of this kind. Most bodies are simple enough for
 * front_parse_plain(); JSON-GLib takes six times as long for one. Returns NULL
 * with an error as front_parse_json() does.
 */
struct request *front_parse(enum request_kind kind, struct str body,
			    struct err *err)
{
	bool statements = takes_statements(kind);
	bool profile = takes_profile(kind);
	struct request *r = NULL;

	if (!body.len && !profile && !statements)
		return request_create(kind);
	if (profile || statements)
		r = front_parse_plain(kind, profile, statements, body);
	return r ? r : front_parse_json(kind, body, err);
}

/* Parses the body of a request to run statements. */
struct request *front_parse_body(struct str body, struct err *err)
{
	return front_parse(REQUEST_RUN, body, err);
}
