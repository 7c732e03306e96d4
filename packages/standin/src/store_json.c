#include "store_json.h"

#include <string.h>

/*
 * Notes why a call is refused. The first reason stands.
 */
void store_fail(struct store_error *error, enum store_code code,
		const char *format, ...)
{
	va_list args;

	if (error->code != STORE_OK)
		return;
	error->code = code;
	va_start(args, format);
	g_vsnprintf(error->text, sizeof(error->text), format, args);
	va_end(args);
}

/*
 * The answer of a refused call.
 */
JsonNode *store_error_json(const struct store_error *error)
{
	JsonObject *object = json_object_new();

	json_object_set_string_member(object, "error", error->text);
	json_object_set_int_member(object, "code", error->code);
	json_object_set_string_member(object, "message", error->text);
	return store_object_node(object);
}

/*
 * The HTTP status that the gateway maps a code to.
 */
unsigned store_error_status(enum store_code code)
{
	switch (code) {
	case STORE_OK:
		return 200;
	case STORE_INVALID_ARGUMENT:
	case STORE_FAILED_PRECONDITION:
	case STORE_OUT_OF_RANGE:
		return 400;
	case STORE_NOT_FOUND:
		return 404;
	case STORE_UNIMPLEMENTED:
		return 501;
	case STORE_UNAVAILABLE:
		return 503;
	}
	return 500;
}

/*
 * Refuses members that are not among the names. What is outside of the
 * subset must fail loudly rather than be left undone.
 */
bool store_only_members(JsonObject *object, const char *const *names,
			struct store_error *error)
{
	JsonObjectIter iter;
	const char *name;

	json_object_iter_init(&iter, object);
	while (json_object_iter_next(&iter, &name, NULL)) {
		if (g_strv_contains(names, name))
			continue;
		store_fail(error, STORE_INVALID_ARGUMENT,
			   "unknown field \"%s\"", name);
		return false;
	}
	return true;
}

/*
 * A member in base64 as bytes that the caller frees; none if it is absent
 * or, with an error, if it can't be read.
 */
GBytes *store_get_bytes(JsonObject *object, const char *name,
			struct store_error *error)
{
	JsonNode *node = json_object_get_member(object, name);
	const char *text = NULL;
	guchar *data;
	gsize size;

	if (!node)
		return g_bytes_new(NULL, 0);
	if (JSON_NODE_HOLDS_VALUE(node))
		text = json_node_get_string(node);
	if (!text || strlen(text) % 4 != 0) {
		store_fail(error, STORE_INVALID_ARGUMENT,
			   "\"%s\" is not base64", name);
		return g_bytes_new(NULL, 0);
	}
	data = g_base64_decode(text, &size);
	return g_bytes_new_take(data, size);
}

/*
 * A member that is an object, or NULL.
 */
JsonObject *store_get_object(JsonObject *object, const char *name)
{
	JsonNode *node = json_object_get_member(object, name);

	if (!node || !JSON_NODE_HOLDS_OBJECT(node))
		return NULL;
	return json_node_get_object(node);
}

/*
 * Sets a 64-bit number as a string, unless it is 0.
 */
void store_set_int(JsonObject *object, const char *name, int64_t value)
{
	char text[32];

	if (value == 0)
		return;
	g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, value);
	json_object_set_string_member(object, name, text);
}

/*
 * Sets the header that every answer starts with.
 */
void store_set_header(JsonObject *object, int64_t revision)
{
	JsonObject *header = json_object_new();

	store_set_int(header, "cluster_id", 1);
	store_set_int(header, "member_id", 1);
	store_set_int(header, "revision", revision);
	store_set_int(header, "raft_term", 1);
	json_object_set_object_member(object, "header", header);
}

static void set_bytes(JsonObject *object, const char *name, GBytes *bytes)
{
	g_autofree char *text = NULL;
	gsize size = 0;
	const void *data = bytes ? g_bytes_get_data(bytes, &size) : NULL;

	if (size == 0)
		return;
	text = g_base64_encode(data, size);
	json_object_set_string_member(object, name, text);
}

/*
 * An entry as the API's "kv".
 */
JsonObject *store_entry_json(const struct store_entry *entry, bool keys_only)
{
	JsonObject *kv = json_object_new();

	set_bytes(kv, "key", entry->key);
	store_set_int(kv, "create_revision", entry->create_revision);
	store_set_int(kv, "mod_revision", entry->mod_revision);
	store_set_int(kv, "version", entry->version);
	if (!keys_only)
		set_bytes(kv, "value", entry->value);
	store_set_int(kv, "lease", entry->lease);
	return kv;
}

/*
 * A node that takes the object.
 */
JsonNode *store_object_node(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, object);
	return node;
}
