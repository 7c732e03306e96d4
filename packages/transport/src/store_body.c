#include "store_body.h"

#include <celeryquay/base/strict_json.h>

#include <string.h>

/* gRPC status OUT_OF_RANGE: the requested revision has been compacted. */
#define GRPC_OUT_OF_RANGE 11
/* gRPC statuses after which the call may or may not have been executed. */
#define GRPC_UNKNOWN 2
#define GRPC_DEADLINE_EXCEEDED 4
#define GRPC_INTERNAL 13
#define GRPC_UNAVAILABLE 14

static void append_base64(GString *out, const char *name, struct str value)
{
	char *text = g_base64_encode((const guchar *)value.data, value.len);

	g_string_append_printf(out, "\"%s\":\"%s\"", name, text);
	g_free(text);
}

static void append_key(GString *out, const char *key)
{
	append_base64(out, "key", str_from_c(key));
}

/*
 * Appends the end of the range, which is the first key after all keys with the
 * prefix. "\0" means all keys: for a prefix that is empty or all 0xff bytes.
 */
static void append_range_end(GString *out, const char *prefix)
{
	GString *end = g_string_new(prefix);

	while (end->len && (guchar)end->str[end->len - 1] == 0xff)
		g_string_truncate(end, end->len - 1);
	if (end->len)
		end->str[end->len - 1]++;
	else
		g_string_append_c(end, '\0');
	g_string_append_c(out, ',');
	append_base64(out, "range_end", str_from_gstring(end));
	g_string_free(end, TRUE);
}

/* The body of a range call; the caller frees it. */
GString *store_body_range(const struct store_page *page)
{
	GString *out = g_string_new("{");

	append_key(out, page->from);
	if (page->prefix)
		append_range_end(out, page->prefix);
	if (page->limit)
		g_string_append_printf(out, ",\"limit\":\"%u\"", page->limit);
	if (page->revision)
		g_string_append_printf(out,
				       ",\"revision\":\"%" G_GUINT64_FORMAT
				       "\"",
				       kv_stamp_revision(page->revision));
	g_string_append_c(out, '}');
	return out;
}

/*
 * The body of a transaction that writes a key (value NULL: removes it) if its
 * mod revision is the expected one, and reads it otherwise. An expected
 * revision of 0 means that the key must not exist.
 */
GString *store_body_cas(const char *key, uint64_t expected,
			const struct str *value)
{
	const char *target = expected ? "MOD" : "CREATE";
	const char *field = expected ? "mod_revision" : "create_revision";
	const char *op = value ? "request_put" : "request_delete_range";
	GString *out = g_string_new("{\"compare\":[{");

	append_key(out, key);
	g_string_append_printf(out,
			       ",\"target\":\"%s\",\"result\":\"EQUAL\","
			       "\"%s\":\"%" G_GUINT64_FORMAT
			       "\"}],\"success\":[{\"%s\":{",
			       target, field, kv_stamp_revision(expected), op);
	append_key(out, key);
	if (value) {
		g_string_append_c(out, ',');
		append_base64(out, "value", *value);
	}
	g_string_append(out, "}}],\"failure\":[{\"request_range\":{");
	append_key(out, key);
	g_string_append(out, "}}]}");
	return out;
}

/* The body of the call that opens a watch of a prefix with progress notices. */
GString *store_body_watch(const char *prefix, uint64_t from_revision)
{
	GString *out = g_string_new("{\"create_request\":{");

	append_key(out, prefix);
	append_range_end(out, prefix);
	g_string_append_printf(out,
			       ",\"start_revision\":\"%" G_GUINT64_FORMAT
			       "\",\"progress_notify\":true}}",
			       kv_stamp_revision(from_revision));
	return out;
}

/*
 * Parses a JSON text to an object, which is valid as long as *parser. Returns
 * NULL when the text is not a JSON object; *parser is NULL then.
 */
JsonObject *store_body_parse(struct str text, JsonParser **parser)
{
	JsonNode *root;

	*parser = json_parser_new();
	if (strict_json_load(*parser, text, NULL)) {
		root = json_parser_get_root(*parser);
		if (root && JSON_NODE_HOLDS_OBJECT(root))
			return json_node_get_object(root);
	}
	g_clear_object(parser);
	return NULL;
}

/* A member that is an object; NULL when it is absent or not an object. */
JsonObject *store_body_object(JsonObject *o, const char *name)
{
	JsonNode *node = o ? json_object_get_member(o, name) : NULL;

	return node && JSON_NODE_HOLDS_OBJECT(node) ?
		       json_node_get_object(node) :
		       NULL;
}

static JsonArray *get_array(JsonObject *o, const char *name)
{
	JsonNode *node = o ? json_object_get_member(o, name) : NULL;

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

static JsonNode *get_value(JsonObject *o, const char *name)
{
	JsonNode *node = o ? json_object_get_member(o, name) : NULL;

	return node && JSON_NODE_HOLDS_VALUE(node) ? node : NULL;
}

static const char *get_string(JsonObject *o, const char *name)
{
	JsonNode *node = get_value(o, name);

	return node && json_node_get_value_type(node) == G_TYPE_STRING ?
		       json_node_get_string(node) :
		       "";
}

/* A boolean member; false when it is absent. */
bool store_body_bool(JsonObject *o, const char *name)
{
	JsonNode *node = get_value(o, name);

	return node && json_node_get_boolean(node);
}

/* A number, which may be encoded as a string; 0 when it is absent. */
uint64_t store_body_u64(JsonObject *o, const char *name)
{
	JsonNode *node = get_value(o, name);
	uint64_t value = 0;

	if (!node)
		return 0;
	if (json_node_get_value_type(node) == G_TYPE_STRING)
		str_to_u64(str_from_c(json_node_get_string(node)), &value);
	else
		value = (uint64_t)MAX(0, json_node_get_int(node));
	return value;
}

/* The store's revision from an answer's header; 0 when it is absent. */
uint64_t store_body_revision(JsonObject *answer, uint64_t era)
{
	uint64_t revision =
		store_body_u64(store_body_object(answer, "header"), "revision");

	return revision ? kv_stamp(era, revision) : 0;
}

static char *get_bytes(JsonObject *o, const char *name, size_t *len)
{
	char *text = g_strdup(get_string(o, name));
	gsize n = 0;

	if (text[0] && text[1])
		g_base64_decode_inplace(text, &n);
	text[n] = '\0';
	*len = n;
	return text;
}

/*
 * Reads one key with its value; false when there is no object. The strings in
 * *out are freed by the array from store_kvs_create() that it is added to.
 */
bool store_body_kv(JsonObject *o, uint64_t era, struct store_kv *out)
{
	size_t key_len;

	if (!o)
		return false;
	out->key = get_bytes(o, "key", &key_len);
	out->value.data = get_bytes(o, "value", &out->value.len);
	out->mod_revision = kv_stamp(era, store_body_u64(o, "mod_revision"));
	out->removed = false;
	return true;
}

static void kv_clear(gpointer data)
{
	struct store_kv *kv = data;

	g_free(kv->key);
	g_free((char *)kv->value.data);
}

/* Creates an empty array of struct store_kv, which frees their strings. */
GArray *store_kvs_create(void)
{
	GArray *kvs = g_array_new(FALSE, TRUE, sizeof(struct store_kv));

	g_array_set_clear_func(kvs, kv_clear);
	return kvs;
}

/* Appends the keys from the "kvs" list of a range answer. */
void store_body_kvs(JsonObject *o, uint64_t era, GArray *out)
{
	JsonArray *list = get_array(o, "kvs");
	guint n = list ? json_array_get_length(list) : 0;
	guint i;

	for (i = 0; i < n; i++) {
		JsonNode *node = json_array_get_element(list, i);
		struct store_kv kv;

		if (JSON_NODE_HOLDS_OBJECT(node) &&
		    store_body_kv(json_node_get_object(node), era, &kv))
			g_array_append_val(out, kv);
	}
}

/*
 * Whether the answer is an error: {"code", "message"} or, on a stream,
 * {"error": {"grpc_code", "message"}}. Sets err to the matching code.
 */
bool store_body_error(JsonObject *answer, struct err *err)
{
	JsonObject *error = store_body_object(answer, "error");
	const char *text = get_string(error ? error : answer, "message");
	uint64_t code = store_body_u64(answer, "code");

	if (error)
		code = MAX(store_body_u64(error, "grpc_code"),
			   store_body_u64(error, "code"));
	if (!error && !code)
		return false;
	switch (code) {
	case GRPC_OUT_OF_RANGE:
		err_set(err, ERR_STORE_COMPACTED, "%s", text);
		break;
	case GRPC_UNKNOWN:
	case GRPC_DEADLINE_EXCEEDED:
	case GRPC_INTERNAL:
	case GRPC_UNAVAILABLE:
		err_set(err, ERR_STORE_DOWN, "%s", text);
		break;
	default:
		err_set(err, ERR_STORE_REFUSED, "%s", text);
		break;
	}
	return true;
}
