#define _GNU_SOURCE
#include "explain.h"

#include "log_lines.h"

#include <celeryquay/relay/statement.h>

#include <string.h>

/* Bounds the states kept: some 15 of each of 1,400 proxies; a few MB. */
#define STATES_MAX 20000
/*
 * Bounds the lines kept of the statement, which has one for each try at each
 * of two proxies.
 */
#define MATCHES_MAX 1000

/*
 * Events that report the state of a proxy. A line replaces the last one with
 * the same proxy, subject, database and value of the key.
 */
static const struct state_event {
	const char *event;
	const char *subject; /* what the state is about */
	const char *key; /* field that tells them apart; NULL: none */
} state_events[] = {
	{ "started", "life", NULL },
	{ "reload", "life", NULL },
	{ "stopping", "life", NULL },
	{ "stopped", "life", NULL },
	{ "store-lost", "store", NULL },
	{ "store-back", "store", NULL },
	{ "store-returned", "store", NULL },
	{ "config", "config", NULL },
	{ "config-left-aside", "config-left-aside", NULL },
	{ "proxies", "proxies", NULL },
	{ "proxies-held", "proxies", NULL },
	{ "primary", "primary", "service" },
	{ "primary-lost", "primary", "service" },
	{ "primary-confirmed", "lease", "service" },
	{ "word-left-aside", "word", "by" },
	{ "change", "change", "service" },
	{ "home", "home", "service" },
	{ "homes-pooled", "pooling", "service" },
	{ "feed", "feed", NULL },
	{ "watcher-left", "watcher-left", "proxy" },
	{ "server-listed", "list", "server" },
	{ "server-unlisted", "list", "server" },
	{ "server-gone", "list", "server" },
	{ "server-reborn", "list", "server" },
	{ "server-lost", "server", "server" },
	{ "server-back", "server", "server" },
	{ "proxy-lost", "proxy", "proxy" }, /* one per database */
	{ "proxy-back", "proxy", "proxy" },
	{ "log-dropped", "log-dropped", NULL },
};

/* A line with the statement's id, and the state of its proxy at that time. */
struct match {
	JsonNode *line;
	GPtrArray *states; /* JsonNode */
	unsigned order; /* number of the match in the order of reading */
};

struct explain {
	char *id;
	GHashTable *states; /* node, subject, key, database -> JsonNode */
	GPtrArray *matches; /* struct match */
};

static void match_free(gpointer data)
{
	struct match *m = data;

	json_node_unref(m->line);
	g_ptr_array_unref(m->states);
	g_free(m);
}

static void node_free(gpointer node)
{
	json_node_unref(node);
}

/* For the statement with the id; no log is read yet. */
struct explain *explain_create(const char *id)
{
	struct explain *e = g_new0(struct explain, 1);

	e->id = g_strdup(id);
	e->states = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  node_free);
	e->matches = g_ptr_array_new_with_free_func(match_free);
	return e;
}

/* NULL is ignored. */
void explain_destroy(struct explain *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->states);
	g_ptr_array_unref(e->matches);
	g_free(e->id);
	g_free(e);
}

/* Whether any line has the statement's id. */
bool explain_found(const struct explain *e)
{
	return e->matches->len;
}

static const struct state_event *state_event_of(JsonObject *line)
{
	const char *event = log_lines_text(line, "event");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(state_events); i++)
		if (!strcmp(state_events[i].event, event))
			return &state_events[i];
	return NULL;
}

static gboolean is_of_node(gpointer key, gpointer value, gpointer node)
{
	(void)key;
	return !strcmp(log_lines_text(json_node_get_object(value), "node"),
		       node);
}

static void record_state(struct explain *e, JsonNode *node)
{
	JsonObject *line = json_node_get_object(node);
	const struct state_event *kind = state_event_of(line);
	char *key;

	if (!kind)
		return;
	/* A proxy that starts keeps no state of its previous process. */
	if (!strcmp(log_lines_text(line, "event"), "started"))
		g_hash_table_foreach_remove(e->states, is_of_node,
					    (gpointer)log_lines_text(line,
								     "node"));
	key = g_strjoin("\n", log_lines_text(line, "node"), kind->subject,
			kind->key ? log_lines_text(line, kind->key) : "",
			log_lines_text(line, "database"), NULL);
	if (g_hash_table_size(e->states) < STATES_MAX ||
	    g_hash_table_contains(e->states, key))
		g_hash_table_replace(e->states, key, json_node_ref(node));
	else
		g_free(key);
}

static bool is_same_or_none(JsonObject *state, JsonObject *line,
			    const char *key)
{
	const char *of = log_lines_text(state, key);

	return !*of || !strcmp(of, log_lines_text(line, key));
}

/*
 * Whether the state is of the proxy that wrote the line, and not of another
 * service or database.
 */
static bool applies_to(JsonObject *state, JsonObject *line)
{
	return !strcmp(log_lines_text(state, "node"),
		       log_lines_text(line, "node")) &&
	       is_same_or_none(state, line, "service") &&
	       is_same_or_none(state, line, "database");
}

static gint by_steady_time(gconstpointer a, gconstpointer b)
{
	JsonObject *x = json_node_get_object(*(JsonNode *const *)a);
	JsonObject *y = json_node_get_object(*(JsonNode *const *)b);
	int64_t p = log_lines_number(x, "steady_ms"),
		q = log_lines_number(y, "steady_ms");

	return p != q ? (p > q) - (p < q) :
			strcmp(log_lines_text(x, "event"),
			       log_lines_text(y, "event"));
}

static void record_match(struct explain *e, JsonNode *node)
{
	struct match *m;
	GHashTableIter iter;
	gpointer value;

	if (e->matches->len >= MATCHES_MAX)
		return;
	m = g_new0(struct match, 1);
	m->line = json_node_ref(node);
	m->order = e->matches->len;
	m->states = g_ptr_array_new_with_free_func(node_free);
	g_hash_table_iter_init(&iter, e->states);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (applies_to(json_node_get_object(value),
			       json_node_get_object(node)))
			g_ptr_array_add(m->states, json_node_ref(value));
	g_ptr_array_sort(m->states, by_steady_time);
	g_ptr_array_add(e->matches, m);
}

/*
 * Whether a line may have the id or report a state. Most lines don't, and
 * parsing all of them as JSON would take long.
 */
static bool may_matter(const struct explain *e, const char *line, size_t len)
{
	static const char event[] = "\"event\":\"";
	const char *at = memmem(line, len, event, sizeof(event) - 1);
	size_t i, left;

	if (memmem(line, len, e->id, strlen(e->id)))
		return true;
	if (!at)
		return false;
	at += sizeof(event) - 1;
	left = len - (size_t)(at - line);
	for (i = 0; i < G_N_ELEMENTS(state_events); i++) {
		size_t n = strlen(state_events[i].event);

		if (n < left && !memcmp(at, state_events[i].event, n) &&
		    at[n] == '"')
			return true;
	}
	return false;
}

static bool take_line(void *ctx, const char *text, size_t len)
{
	struct explain *e = ctx;
	JsonParser *parser;
	JsonObject *line;

	if (!may_matter(e, text, len))
		return true;
	parser = json_parser_new_immutable();
	line = log_lines_parse(parser, text, len);
	if (line) {
		record_state(e, json_parser_get_root(parser));
		if (!strcmp(log_lines_text(line, "id"), e->id))
			record_match(e, json_parser_get_root(parser));
	}
	g_object_unref(parser);
	return line;
}

/* Reads one log to its end; *err names the first broken line. */
void explain_read(struct explain *e, const char *name, FILE *log,
		  struct err *err)
{
	log_lines_read(name, log, take_line, e, err);
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct match *x = *(const struct match *const *)a;
	const struct match *y = *(const struct match *const *)b;
	int d = strcmp(log_lines_text(json_node_get_object(x->line), "time"),
		       log_lines_text(json_node_get_object(y->line), "time"));

	return d ? d : (int)x->order - (int)y->order;
}

static void sort(struct explain *e)
{
	g_ptr_array_sort(e->matches, by_time);
}

/*
 * The line with the outcome that the caller got: the last one of the proxy that
 * the caller is connected to, or else the first one of a home.
 */
static JsonObject *outcome_of(const struct explain *e)
{
	JsonObject *found = NULL;
	unsigned i;

	for (i = 0; i < e->matches->len; i++) {
		const struct match *m = g_ptr_array_index(e->matches, i);
		JsonObject *line = json_node_get_object(m->line);
		bool from_proxy = json_object_get_boolean_member_with_default(
			line, "from_proxy", FALSE);

		if (strcmp(log_lines_text(line, "event"), "statement") != 0 &&
		    strcmp(log_lines_text(line, "event"), "request") != 0)
			continue;
		if (!found || !from_proxy)
			found = line;
	}
	return found;
}

/*
 * The meaning of the outcome's code: a code of the relay, or one of the proxy's
 * own interface.
 */
static const char *meaning_of(JsonObject *outcome)
{
	const char *code = log_lines_text(outcome, "code");
	const struct relay_code_info *info = relay_code_find(code);
	const struct err_info *table;
	unsigned i, n;

	if (info)
		return info->meaning;
	table = err_table(&n);
	for (i = 0; i < n; i++)
		if (!strcmp(table[i].name, code))
			return table[i].meaning;
	return log_lines_text(outcome, "outcome");
}

/*
 * The last line, by time, of a proxy that refused the statement by the forecast
 * of its queue; NULL: none did. The proxy that the caller is connected to
 * passes a home's refusal on, so the home's line counts, too.
 */
static JsonObject *refusal_of(const struct explain *e)
{
	JsonObject *outcome = outcome_of(e), *found = NULL;
	unsigned i;

	if (!outcome || strcmp(log_lines_text(outcome, "code"), "BUSY") != 0)
		return NULL;
	for (i = 0; i < e->matches->len; i++) {
		const struct match *m = g_ptr_array_index(e->matches, i);
		JsonObject *line = json_node_get_object(m->line);

		if (!strcmp(log_lines_text(line, "event"), "statement") &&
		    log_lines_refusal(line))
			found = line;
	}
	return found;
}

/* The cause that refusal_of() shows; "": none. Freed with g_free(). */
static char *cause_of(const struct explain *e)
{
	JsonObject *line = refusal_of(e);

	if (!line)
		return g_strdup("");
	if (log_lines_refusal(line) == LOG_REFUSAL_NO_SERVER)
		return g_strdup_printf(
			"no usable server at %s: none that may run it could be "
			"used, and none was expected in time",
			log_lines_text(line, "node"));
	return g_strdup_printf(
		"overload at %s: with %" G_GINT64_FORMAT
		" statements in the queue it was expected to wait for %" G_GINT64_FORMAT
		" ms and to take %" G_GINT64_FORMAT " ms",
		log_lines_text(line, "node"), log_lines_number(line, "queue"),
		log_lines_number(line, "expected_wait_ms"),
		log_lines_number(line, "expected_service_ms"));
}

static void append_value(GString *out, JsonNode *node)
{
	char *text;

	if (JSON_NODE_HOLDS_VALUE(node) &&
	    json_node_get_value_type(node) == G_TYPE_STRING) {
		const char *s = json_node_get_string(node);

		g_string_append(out, *s ? s : "-");
		return;
	}
	text = json_to_string(node, FALSE);
	g_string_append(out, text);
	g_free(text);
}

static const char *name_of(JsonObject *line)
{
	const char *event = log_lines_text(line, "event");

	return *event ? event : log_lines_text(line, "decision");
}

static bool is_in_heading(const char *key)
{
	return !strcmp(key, "time") || !strcmp(key, "steady_ms") ||
	       !strcmp(key, "node") || !strcmp(key, "event");
}

/* Appends "key=value ..." for the fields that are not nested. */
static void append_scalars(GString *out, JsonObject *object)
{
	JsonObjectIter iter;
	const char *key;
	JsonNode *node;

	json_object_iter_init_ordered(&iter, object);
	while (json_object_iter_next_ordered(&iter, &key, &node)) {
		if (is_in_heading(key) || !JSON_NODE_HOLDS_VALUE(node))
			continue;
		g_string_append_printf(out, " %s=", key);
		append_value(out, node);
	}
}

static void append_list(GString *out, const char *key, JsonArray *list)
{
	unsigned i;

	for (i = 0; i < json_array_get_length(list); i++) {
		JsonNode *node = json_array_get_element(list, i);

		g_string_append_printf(out, "\n    %s:", key);
		if (JSON_NODE_HOLDS_OBJECT(node)) {
			append_scalars(out, json_node_get_object(node));
		} else {
			g_string_append_c(out, ' ');
			append_value(out, node);
		}
	}
}

static void append_nested(GString *out, JsonObject *line)
{
	JsonObjectIter iter;
	const char *key;
	JsonNode *node;

	json_object_iter_init_ordered(&iter, line);
	while (json_object_iter_next_ordered(&iter, &key, &node)) {
		if (JSON_NODE_HOLDS_ARRAY(node))
			append_list(out, key, json_node_get_array(node));
		if (!JSON_NODE_HOLDS_OBJECT(node))
			continue;
		g_string_append_printf(out, "\n    %s:", key);
		append_scalars(out, json_node_get_object(node));
	}
}

static void append_states(GString *out, const struct match *m)
{
	int64_t now =
		log_lines_number(json_node_get_object(m->line), "steady_ms");
	unsigned i;

	for (i = 0; i < m->states->len; i++) {
		JsonObject *b =
			json_node_get_object(g_ptr_array_index(m->states, i));

		g_string_append_printf(out,
				       "\n    believed, %" G_GINT64_FORMAT
				       " ms before: %s",
				       now - log_lines_number(b, "steady_ms"),
				       log_lines_text(b, "event"));
		append_scalars(out, b);
	}
}

/* Appends the timeline as text. */
void explain_write_text(struct explain *e, GString *out)
{
	JsonObject *outcome;
	char *cause;
	unsigned i;

	sort(e);
	outcome = outcome_of(e);
	cause = cause_of(e);
	g_string_append_printf(out, "%s: ", e->id);
	if (outcome) {
		g_string_append_printf(out, "%s (%" G_GINT64_FORMAT "), %s: %s",
				       log_lines_text(outcome, "code"),
				       log_lines_number(outcome, "number"),
				       log_lines_text(outcome, "outcome"),
				       meaning_of(outcome));
	} else {
		g_string_append(out, "no line in these logs has its outcome");
	}
	g_string_append_c(out, '\n');
	if (*cause)
		g_string_append_printf(out, "cause: %s\n", cause);
	g_free(cause);
	for (i = 0; i < e->matches->len; i++) {
		const struct match *m = g_ptr_array_index(e->matches, i);
		JsonObject *line = json_node_get_object(m->line);

		g_string_append_printf(out, "\n%s %s %s\n   ",
				       log_lines_text(line, "time"),
				       log_lines_text(line, "node"),
				       name_of(line));
		append_scalars(out, line);
		append_nested(out, line);
		append_states(out, m);
		g_string_append_c(out, '\n');
	}
}

static JsonObject *json_match(const struct match *m)
{
	JsonObject *o = json_object_new();
	JsonArray *states = json_array_new();
	unsigned i;

	for (i = 0; i < m->states->len; i++)
		json_array_add_element(
			states, json_node_ref(g_ptr_array_index(m->states, i)));
	json_object_set_member(o, "line", json_node_ref(m->line));
	json_object_set_array_member(o, "believed", states);
	return o;
}

/* Appends the timeline as one JSON object. */
void explain_write_json(struct explain *e, GString *out)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	JsonObject *o = json_object_new();
	JsonArray *lines = json_array_new();
	JsonObject *outcome;
	char *text, *cause;
	unsigned i;

	sort(e);
	outcome = outcome_of(e);
	json_object_set_string_member(o, "id", e->id);
	json_object_set_string_member(
		o, "code", outcome ? log_lines_text(outcome, "code") : "");
	json_object_set_string_member(o, "meaning",
				      outcome ? meaning_of(outcome) : "");
	cause = cause_of(e);
	json_object_set_string_member(o, "cause", cause);
	g_free(cause);
	for (i = 0; i < e->matches->len; i++)
		json_array_add_object_element(
			lines, json_match(g_ptr_array_index(e->matches, i)));
	json_object_set_array_member(o, "timeline", lines);
	json_node_take_object(root, o);
	text = json_to_string(root, FALSE);
	g_string_append(out, text);
	g_string_append_c(out, '\n');
	g_free(text);
	json_node_unref(root);
}
