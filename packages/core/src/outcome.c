#include "outcome.h"

#include <celeryquay/base/strict_json.h>

#include <celeryquay/core/upstream.h>
#include <json-glib/json-glib.h>
#include <string.h>

/* Beginning of every element of a "results" list. */
#define ELEMENT_START "{\"columns\":"
#define ROWS_AFFECTED "rows_affected"

/* Format: "<length of the caller's name>:<name>/<key>" */
char *outcome_key(struct str caller, struct str key)
{
	char len[STR_U64_SIZE];
	struct str head = { .data = len, .len = str_put_u64(len, caller.len) };
	char *name = str_join(head, ':', caller);
	char *out = str_join(str_from_c(name), '/', key);

	g_free(name);
	return out;
}

/*
 * Format: "<length>:<name>:transaction:<id>", which outcome_key() never
 * returns. A long transaction commits at most once, whatever keys its commit
 * requests have.
 */
char *outcome_transaction_key(struct str caller, struct str transaction)
{
	return g_strdup_printf("%zu:%.*s:transaction:%.*s", caller.len,
			       (int)caller.len, caller.data,
			       (int)transaction.len, transaction.data);
}

/* Parses the elements of a "results" list; the caller frees the parser. */
static JsonArray *parse_results(JsonParser *parser, const char *text,
				size_t len)
{
	GString *list = g_string_sized_new(len + 2);
	JsonNode *root;
	bool ok;

	g_string_append_c(list, '[');
	g_string_append_len(list, text, (gssize)len);
	g_string_append_c(list, ']');
	ok = strict_json_load(parser, str_from_gstring(list), NULL);
	g_string_free(list, TRUE);
	root = ok ? json_parser_get_root(parser) : NULL;
	return root && JSON_NODE_HOLDS_ARRAY(root) ? json_node_get_array(root) :
						     NULL;
}

static JsonObject *get_element(JsonArray *list, unsigned i)
{
	JsonNode *node = NULL;

	if (list && i < json_array_get_length(list))
		node = json_array_get_element(list, i);
	return node && JSON_NODE_HOLDS_OBJECT(node) ?
		       json_node_get_object(node) :
		       NULL;
}

static int64_t get_rows_affected(JsonObject *o)
{
	return o ? json_object_get_int_member_with_default(o, ROWS_AFFECTED,
							   0) :
		   0;
}

/* The list with only the number of rows affected in each element. */
static GString *strip_rows(const GString *results)
{
	JsonParser *parser = json_parser_new();
	JsonArray *list = parse_results(parser, results->str, results->len);
	unsigned n = list ? json_array_get_length(list) : 0;
	GString *out = g_string_new("[");
	unsigned i;

	for (i = 0; i < n; i++)
		g_string_append_printf(out,
				       "%s{\"columns\":[],\"rows\":[],"
				       "\"" ROWS_AFFECTED "\":%" G_GINT64_FORMAT
				       "}",
				       i ? "," : "",
				       get_rows_affected(get_element(list, i)));
	g_string_append_c(out, ']');
	g_object_unref(parser);
	return out;
}

/* The results if they are small, else without rows, else an empty list. */
GString *outcome_summary(const GString *results)
{
	GString *out;

	if (results->len + 2 <= MAX_OUTCOME_SUMMARY_BYTES) {
		out = g_string_sized_new(results->len + 2);
		g_string_append_c(out, '[');
		g_string_append_len(out, results->str, (gssize)results->len);
		g_string_append_c(out, ']');
		return out;
	}
	out = strip_rows(results);
	if (out->len > MAX_OUTCOME_SUMMARY_BYTES)
		g_string_assign(out, "[]");
	return out;
}

/* A summary is already the text of the list. */
GBytes *outcome_results(const char *summary)
{
	size_t len = strlen(summary);

	if (len < 2 || summary[0] != '[' || summary[len - 1] != ']')
		return g_bytes_new_static("[]", 2);
	return g_bytes_new(summary, len);
}

static const char *get_text_cell(JsonArray *row, unsigned i)
{
	JsonNode *node = json_array_get_element(row, i);

	return JSON_NODE_HOLDS_VALUE(node) &&
			       json_node_get_value_type(node) == G_TYPE_STRING ?
		       json_node_get_string(node) :
		       NULL;
}

/* Parses the columns state, digest and summary. */
static bool parse_row(JsonArray *row, struct outcome_row *out)
{
	const char *state, *digest, *summary;

	if (json_array_get_length(row) != 3)
		return false;
	state = get_text_cell(row, 0);
	digest = get_text_cell(row, 1);
	summary = get_text_cell(row, 2);
	if (!state || !digest || !summary)
		return false;
	if (!strcmp(state, "done"))
		out->state = OUTCOME_ROW_DONE;
	else if (!strcmp(state, "tombstone"))
		out->state = OUTCOME_ROW_TOMBSTONE;
	else
		return false;
	out->digest = g_strdup(digest);
	out->summary = g_strdup(summary);
	return true;
}

/* An answer without a row gives OUTCOME_ROW_NONE and true. */
bool outcome_row_parse(const GString *results, struct outcome_row *out)
{
	JsonParser *parser = json_parser_new();
	JsonArray *list = parse_results(parser, results->str, results->len);
	JsonObject *first = get_element(list, 0);
	JsonNode *node = first ? json_object_get_member(first, "rows") : NULL;
	JsonArray *rows = NULL;
	bool ok = false;

	memset(out, 0, sizeof(*out));
	if (node && JSON_NODE_HOLDS_ARRAY(node))
		rows = json_node_get_array(node);
	if (rows && !json_array_get_length(rows)) {
		ok = true;
	} else if (rows) {
		node = json_array_get_element(rows, 0);
		ok = JSON_NODE_HOLDS_ARRAY(node) &&
		     parse_row(json_node_get_array(node), out);
	}
	g_object_unref(parser);
	return ok;
}

/* Frees the row's strings, not the row itself. */
void outcome_row_clear(struct outcome_row *row)
{
	g_free(row->digest);
	g_free(row->summary);
	memset(row, 0, sizeof(*row));
}

/* Start of the last element of the results, or NULL. */
static char *find_last_element(const GString *results)
{
	const size_t len = strlen(ELEMENT_START);
	size_t i = results->len;

	while (i--) {
		if (results->str[i] == '{' &&
		    !strncmp(results->str + i, ELEMENT_START, len))
			return results->str + i;
	}
	return NULL;
}

/*
 * The position is the last kept step, since the step after it, the COMMIT, has
 * overwritten last_step_row. Quotes within strings are escaped, so the last
 * ELEMENT_START is the start of the last element, whatever the caller's own
 * rows contain.
 */
bool outcome_take_position(GString *results, struct position *out)
{
	static const char row_start[] = "\"rows\":[[\"";
	char *at = find_last_element(results);
	const char *value, *end;
	struct str text;

	if (!at)
		return false;
	value = strstr(at, row_start);
	if (!value)
		return false;
	value += strlen(row_start);
	end = strchr(value, '"');
	if (!end)
		return false;
	text = (struct str){ .data = value, .len = (size_t)(end - value) };
	if (!position_parse(text, out))
		return false;
	if (at > results->str && at[-1] == ',')
		at--;
	g_string_truncate(results, (gsize)(at - results->str));
	return true;
}

/* 0 if the answer is malformed. */
uint64_t outcome_rows_affected(const GString *results)
{
	JsonParser *parser = json_parser_new();
	JsonArray *list = parse_results(parser, results->str, results->len);
	int64_t n = get_rows_affected(get_element(list, 0));

	g_object_unref(parser);
	return n > 0 ? (uint64_t)n : 0;
}
