#include <celeryquay/base/settings.h>

#include <celeryquay/base/strict_json.h>

#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define DAY_MS (INT64_C(24) * 3600 * 1000)
#define RATE_MAX 1e9
#define COUNT_MAX 1000000

const char *const SETTINGS_REQUIRED_STR = "\001required";

struct settings {
	char *source; /* file or item, and the path of keys to this object */
	JsonNode *root; /* owned by this reader */
	JsonObject *object; /* within root */
	GHashTable *requested_keys; /* set of the keys that were requested */
	struct pace *pace; /* pauses while reading and freeing; NULL: none */
};

static struct settings *reader_create(char *source, JsonNode *node)
{
	struct settings *s = g_new0(struct settings, 1);

	s->source = source;
	s->root = node;
	s->object = json_node_get_object(node);
	s->requested_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return s;
}

/* Called by the parser after each array element. */
static void on_element(JsonParser *parser, JsonArray *array, gint index,
		       gpointer pace)
{
	(void)parser;
	(void)array;
	(void)index;
	pace_step(pace);
}

/*
 * Reads one JSON object from memory. Errors name the source. Returns NULL with
 * BAD_SETTINGS if the data is not valid JSON, nested too deeply or no object.
 */
struct settings *settings_from_data(const char *source, const char *data,
				    size_t len, struct err *err)
{
	return settings_from_data_paced(source, data, len, NULL, err);
}

/* The same with pauses, also while settings_for_each() reads from the object.
 */
struct settings *settings_from_data_paced(const char *source, const char *data,
					  size_t len, struct pace *pace,
					  struct err *err)
{
	JsonParser *parser;
	struct settings *s = NULL;
	struct err reason = { 0 };
	JsonNode *root;

	parser = json_parser_new();
	if (pace)
		g_signal_connect(parser, "array-element",
				 G_CALLBACK(on_element), pace);
	if (!strict_json_load(parser, (struct str){ data, len }, &reason)) {
		err_set(err, ERR_BAD_SETTINGS, "%s: %s", source,
			reason.message);
		goto out;
	}
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		err_set(err, ERR_BAD_SETTINGS, "%s: not a JSON object", source);
		goto out;
	}
	s = reader_create(g_strdup(source), json_node_copy(root));
	s->pace = pace;
out:
	g_object_unref(parser);
	return s;
}

/* Reads one JSON object from a file; NULL with BAD_SETTINGS on failure. */
struct settings *settings_from_file(const char *path, struct err *err)
{
	GError *error = NULL;
	struct settings *s;
	char *data;
	gsize len;

	if (!g_file_get_contents(path, &data, &len, &error)) {
		err_set(err, ERR_BAD_SETTINGS, "%s", error->message);
		g_error_free(error);
		return NULL;
	}
	s = settings_from_data(path, data, len, err);
	g_free(data);
	return s;
}

static JsonNode *lookup(struct settings *s, const char *key)
{
	g_hash_table_add(s->requested_keys, g_strdup(key));
	return json_object_get_member(s->object, key);
}

/* Sets BAD_SETTINGS with source, key and reason; always returns false. */
bool settings_fail(struct settings *s, const char *key, struct err *err,
		   const char *fmt, ...)
{
	char reason[160];
	va_list args;

	va_start(args, fmt);
	vsnprintf(reason, sizeof(reason), fmt, args);
	va_end(args);
	err_set(err, ERR_BAD_SETTINGS, "%s: %s: %s", s->source, key, reason);
	return false;
}

/* The object under a key; NULL and an error if there is none. */
struct settings *settings_child(struct settings *parent, const char *key,
				struct err *err)
{
	JsonNode *node = lookup(parent, key);

	if (!node || !JSON_NODE_HOLDS_OBJECT(node)) {
		settings_fail(parent, key, err, "expected an object");
		return NULL;
	}
	return reader_create(g_strdup_printf("%s: %s", parent->source, key),
			     json_node_copy(node));
}

/* Number of elements of the list; 0 if the key has no list. */
unsigned settings_list_length(struct settings *s, const char *key)
{
	JsonNode *node = lookup(s, key);

	if (!node || !JSON_NODE_HOLDS_ARRAY(node))
		return 0;
	return json_array_get_length(json_node_get_array(node));
}

/* The object at an index of the list, which must be in range. */
struct settings *settings_list_child(struct settings *s, const char *key,
				     unsigned index, struct err *err)
{
	JsonArray *list = json_node_get_array(lookup(s, key));
	JsonNode *node = json_array_get_element(list, index);

	if (!JSON_NODE_HOLDS_OBJECT(node)) {
		settings_fail(s, key, err, "expected an object as element %u",
			      index);
		return NULL;
	}
	return reader_create(g_strdup_printf("%s: %s[%u]", s->source, key,
					     index),
			     json_node_copy(node));
}

/* Frees the elements of a list one by one, with pauses. */
static void free_list_elements(JsonObject *object, const gchar *name,
			       JsonNode *node, gpointer pace)
{
	JsonArray *list;
	unsigned n;

	(void)object;
	(void)name;
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return;
	list = json_node_get_array(node);
	for (n = json_array_get_length(list); n; n--) {
		json_array_remove_element(list, n - 1);
		pace_step(pace);
	}
}

/* Frees the reader; its children stay valid. */
void settings_destroy(struct settings *s)
{
	if (!s)
		return;
	if (s->pace)
		json_object_foreach_member(s->object, free_list_elements,
					   s->pace);
	g_hash_table_destroy(s->requested_keys);
	json_node_unref(s->root);
	g_free(s->source);
	g_free(s);
}

/* Whether the key is present with a value other than null. */
bool settings_has(struct settings *s, const char *key)
{
	JsonNode *node = lookup(s, key);

	return node && !JSON_NODE_HOLDS_NULL(node);
}

static bool holds(JsonNode *node, GType type)
{
	return JSON_NODE_HOLDS_VALUE(node) &&
	       json_node_get_value_type(node) == type;
}

/* A string, copied to *out; when absent, the fallback, which may be NULL. */
bool settings_str(struct settings *s, const char *key, const char *fallback,
		  char **out, struct err *err)
{
	JsonNode *node = lookup(s, key);

	if (!node) {
		if (fallback == SETTINGS_REQUIRED_STR)
			return settings_fail(s, key, err, "missing");
		*out = g_strdup(fallback);
		return true;
	}
	if (!holds(node, G_TYPE_STRING))
		return settings_fail(s, key, err, "expected a string");
	*out = g_strdup(json_node_get_string(node));
	return true;
}

/* A whole number from min to max; the fallback when absent. */
bool settings_int(struct settings *s, const char *key, int64_t min, int64_t max,
		  int64_t fallback, int64_t *out, struct err *err)
{
	JsonNode *node = lookup(s, key);
	int64_t value;

	if (!node) {
		if (fallback == SETTINGS_REQUIRED_INT)
			return settings_fail(s, key, err, "missing");
		*out = fallback;
		return true;
	}
	if (!holds(node, G_TYPE_INT64))
		return settings_fail(s, key, err, "expected a whole number");
	value = json_node_get_int(node);
	if (value < min || value > max)
		return settings_fail(s, key, err,
				     "%" G_GINT64_FORMAT " is not from "
				     "%" G_GINT64_FORMAT
				     " to %" G_GINT64_FORMAT,
				     value, min, max);
	*out = value;
	return true;
}

/* A number without a unit; the fallback when absent. */
bool settings_count(struct settings *s, const char *key, int64_t fallback,
		    unsigned *out, struct err *err)
{
	int64_t value = 0;

	if (!settings_int(s, key, 0, COUNT_MAX, fallback, &value, err))
		return false;
	*out = (unsigned)value;
	return true;
}

/* Infinity as the fallback means that the key is required. */
bool settings_double(struct settings *s, const char *key, double max,
		     double fallback, double *out, struct err *err)
{
	JsonNode *node = lookup(s, key);

	if (!node) {
		if (isinf(fallback))
			return settings_fail(s, key, err, "missing");
		*out = fallback;
		return true;
	}
	if (!holds(node, G_TYPE_INT64) && !holds(node, G_TYPE_DOUBLE))
		return settings_fail(s, key, err, "expected a number");
	*out = json_node_get_double(node);
	if (*out >= 0 && *out <= max)
		return true;
	return settings_fail(s, key, err, "%.10g is not from 0 to %.10g", *out,
			     max);
}

/* Takes fractions: platforms write bandwidths, say, as 200 or as 200.0. */
bool settings_uint_truncated(struct settings *s, const char *key,
			     unsigned fallback, unsigned *out, struct err *err)
{
	double value = 0;

	if (!settings_double(s, key, COUNT_MAX, fallback, &value, err))
		return false;
	*out = (unsigned)value;
	return true;
}

/* Such as a rate per second, which may be 0 or less than one. */
bool settings_nonnegative_double(struct settings *s, const char *key,
				 double *out, struct err *err)
{
	return settings_double(s, key, RATE_MAX, SETTINGS_REQUIRED_DOUBLE, out,
			       err);
}

/* Platforms write milliseconds, while the clocks count microseconds. */
bool settings_ms_as_us(struct settings *s, const char *key, int64_t min,
		       int64_t fallback, uint64_t *us, struct err *err)
{
	int64_t ms = 0;

	if (!settings_int(s, key, min, DAY_MS, fallback, &ms, err))
		return false;
	*us = (uint64_t)ms * 1000;
	return true;
}

/* Stops at the first item for which the callback returns false. */
bool settings_for_each(struct settings *s, const char *key,
		       bool (*handle)(void *ctx, struct settings *item,
				      struct err *err),
		       void *ctx, struct err *err)
{
	unsigned i, n = settings_list_length(s, key);
	JsonNode *node = lookup(s, key);
	bool ok = true;

	if (node && !JSON_NODE_HOLDS_ARRAY(node))
		return settings_fail(s, key, err, "expected a list");
	for (i = 0; ok && i < n; i++) {
		struct settings *item = settings_list_child(s, key, i, err);

		ok = item && handle(ctx, item, err);
		settings_destroy(item);
		pace_step(s->pace);
	}
	return ok;
}

/* True or false; the fallback when absent. */
bool settings_bool(struct settings *s, const char *key, bool fallback,
		   bool *out, struct err *err)
{
	JsonNode *node = lookup(s, key);

	if (!node) {
		*out = fallback;
		return true;
	}
	if (!holds(node, G_TYPE_BOOLEAN))
		return settings_fail(s, key, err, "expected true or false");
	*out = json_node_get_boolean(node);
	return true;
}

/* A NULL-terminated list of strings for g_strfreev(); empty if absent. */
bool settings_str_list(struct settings *s, const char *key, char ***out,
		       struct err *err)
{
	JsonNode *node = lookup(s, key);
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	JsonArray *array = NULL;
	guint i, n = 0;

	if (node) {
		if (!JSON_NODE_HOLDS_ARRAY(node))
			goto err;
		array = json_node_get_array(node);
		n = json_array_get_length(array);
	}
	for (i = 0; i < n; i++) {
		JsonNode *element = json_array_get_element(array, i);

		if (!holds(element, G_TYPE_STRING))
			goto err;
		g_ptr_array_add(list, g_strdup(json_node_get_string(element)));
	}
	g_ptr_array_add(list, NULL);
	*out = (char **)g_ptr_array_free(list, FALSE);
	return true;
err:
	g_ptr_array_free(list, TRUE);
	return settings_fail(s, key, err, "expected a list of strings");
}

/* Rejects keys that were never requested, so that a typo is not ignored. */
bool settings_reject_unknown(struct settings *s, struct err *err)
{
	GList *keys = json_object_get_members(s->object);
	bool ok = true;
	GList *l;

	for (l = keys; l && ok; l = l->next) {
		if (!g_hash_table_contains(s->requested_keys, l->data))
			ok = settings_fail(s, l->data, err, "unknown key");
	}
	g_list_free(keys);
	return ok;
}
