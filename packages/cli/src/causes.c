#define _GNU_SOURCE
#include "causes.h"

#include "log_lines.h"

#include <string.h>

/*
 * Bounds the ids kept in home_causes and pending together, to match a refusal
 * with the line of the home that refused it: 64 MB.
 */
#define PENDING_MAX 500000

enum cause {
	CAUSE_NO_PRIMARY,
	CAUSE_BEING_REPLACED,
	CAUSE_NOT_CONFIRMED,
	CAUSE_SERVERS_DOWN,
	CAUSE_LAGGING_OVERLOAD,
	CAUSE_OVERLOAD,
	CAUSE_NO_CONNECTION,
	CAUSE_AWAITS_CONNECTION,
	CAUSE_FORECAST,
	CAUSE_NO_SERVER,
	CAUSE_LAGGING,
	CAUSE_NO_HOME,
	CAUSE_SERVER_LOST,
	CAUSE_ANSWER_LOST,
	CAUSE_SERVER_REFUSED,
	CAUSE_CALLER,
	CAUSE_HOME_REFUSED,
	CAUSE_OTHER,
	CAUSES,
};

static const struct {
	const char *name;
	const char *meaning;
} infos[CAUSES] = {
	[CAUSE_NO_PRIMARY] = { "no-primary",
			       "no server is known to be the primary" },
	[CAUSE_BEING_REPLACED] = { "being-replaced",
				   "a change of primary is in progress" },
	[CAUSE_NOT_CONFIRMED] = { "primary-not-confirmed",
				  "the replicas did not confirm the primary" },
	[CAUSE_SERVERS_DOWN] = { "servers-down",
				 "the servers that could run it do not answer" },
	[CAUSE_LAGGING_OVERLOAD] = { "replicas-behind",
				     "replicas lag, other servers are at "
				     "their limit" },
	[CAUSE_OVERLOAD] = { "servers-at-limit",
			     "the servers have as many in flight "
			     "as they answer in time" },
	[CAUSE_NO_CONNECTION] = { "connections-used-up",
				  "no connection to the servers "
				  "that could run it" },
	[CAUSE_AWAITS_CONNECTION] = { "connection-awaited",
				      "others came first, or a "
				      "connection was being opened" },
	[CAUSE_FORECAST] = { "overload-forecast",
			     "by the forecast of the queue it would not have "
			     "been served in time" },
	[CAUSE_NO_SERVER] = { "no-usable-server",
			      "no server that may run it was usable, and none "
			      "was expected in time" },
	[CAUSE_LAGGING] = { "too-fresh",
			    "servers lack the writes that a read must see" },
	[CAUSE_NO_HOME] = { "no-home",
			    "no home of the database can be reached" },
	[CAUSE_SERVER_LOST] = { "server-lost",
				"a transaction's server or connection was lost" },
	[CAUSE_ANSWER_LOST] = { "answer-lost",
				"it was sent, but no answer came" },
	[CAUSE_SERVER_REFUSED] = { "server-refused",
				   "a server took it and "
				   "answered with a failure" },
	[CAUSE_CALLER] = { "caller",
			   "the statement or the database's name is wrong" },
	[CAUSE_HOME_REFUSED] = { "home-refused", "a home refused it, and that "
						 "home's log line is missing" },
	[CAUSE_OTHER] = { "other",
			  "the log line shows none of the known causes" },
};

/* The statements with one cause. */
struct tally {
	unsigned n;
	GHashTable *services; /* service name -> number of statements */
};

struct causes {
	struct tally tallies[CAUSES];
	GHashTable *home_causes; /* id -> cause + 1, from homes' lines */
	GHashTable *pending; /* id -> service, of refusals by homes */
	unsigned n_left_out; /* not counted: PENDING_MAX was reached */
	unsigned n; /* statements in all tallies */
};

struct causes *causes_create(void)
{
	struct causes *c = g_new0(struct causes, 1);
	unsigned i;

	for (i = 0; i < CAUSES; i++)
		c->tallies[i].services = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	c->home_causes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->pending =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return c;
}

/* NULL is ignored. */
void causes_destroy(struct causes *c)
{
	unsigned i;

	if (!c)
		return;
	for (i = 0; i < CAUSES; i++)
		g_hash_table_destroy(c->tallies[i].services);
	g_hash_table_destroy(c->home_causes);
	g_hash_table_destroy(c->pending);
	g_free(c);
}

static void count(struct causes *c, enum cause cause, const char *service)
{
	struct tally *t = &c->tallies[cause];
	unsigned n =
		GPOINTER_TO_UINT(g_hash_table_lookup(t->services, service));

	c->n++;
	t->n++;
	g_hash_table_replace(t->services, g_strdup(service),
			     GUINT_TO_POINTER(n + 1));
}

/*
 * The number of servers or homes in the list that were passed over for the
 * given reason; "" counts those that were not passed over.
 */
static unsigned passed_over(JsonArray *rows, const char *why)
{
	unsigned i, n = 0;

	for (i = 0; i < json_array_get_length(rows); i++) {
		JsonObject *row = json_array_get_object_element(rows, i);

		n += !strcmp(log_lines_text(row, "passed_over"), why);
	}
	return n;
}

static JsonArray *array_member(JsonObject *line, const char *key)
{
	JsonNode *node = json_object_get_member(line, key);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

static enum cause cause_of_homes(JsonArray *homes)
{
	if (!passed_over(homes, ""))
		return CAUSE_NO_HOME;
	return CAUSE_AWAITS_CONNECTION;
}

/* The cause from the servers' states; the most specific one wins. */
static enum cause cause_of_servers(JsonObject *line, JsonArray *servers)
{
	bool lagging = passed_over(servers, "lagging") ||
		       passed_over(servers, "no-known-position");

	if (passed_over(servers, "being-replaced"))
		return CAUSE_BEING_REPLACED;
	if (passed_over(servers, ""))
		return CAUSE_AWAITS_CONNECTION;
	if (passed_over(servers, "at-limit"))
		return lagging ? CAUSE_LAGGING_OVERLOAD : CAUSE_OVERLOAD;
	if (passed_over(servers, "no-connection"))
		return CAUSE_NO_CONNECTION;
	if (passed_over(servers, "lease-over"))
		return CAUSE_NOT_CONFIRMED;
	if (passed_over(servers, "down"))
		return CAUSE_SERVERS_DOWN;
	if (json_object_has_member(line, "primary") &&
	    !*log_lines_text(json_object_get_object_member(line, "primary"),
			     "server"))
		return CAUSE_NO_PRIMARY;
	return lagging ? CAUSE_LAGGING : CAUSE_OTHER;
}

/*
 * Why a home whose queue forecasts waits refused the statement. Where no server
 * was usable, the servers' states may say why.
 */
static enum cause cause_of_forecast(enum log_refusal refusal, JsonObject *line,
				    JsonArray *servers)
{
	enum cause cause;

	if (refusal == LOG_REFUSAL_OVERLOAD)
		return CAUSE_FORECAST;
	cause = servers ? cause_of_servers(line, servers) : CAUSE_NO_SERVER;
	switch (cause) {
	case CAUSE_NO_PRIMARY:
	case CAUSE_BEING_REPLACED:
	case CAUSE_NOT_CONFIRMED:
	case CAUSE_SERVERS_DOWN:
	case CAUSE_LAGGING:
		return cause;
	default:
		return CAUSE_NO_SERVER;
	}
}

static enum cause cause_of(JsonObject *line)
{
	enum log_refusal refusal = log_lines_refusal(line);
	const char *code = log_lines_text(line, "code");
	JsonArray *servers = array_member(line, "servers");
	JsonArray *homes = array_member(line, "homes");

	if (!strcmp(code, "IN_DOUBT") || !strcmp(code, "TIMED_OUT"))
		return CAUSE_ANSWER_LOST;
	if (!strcmp(code, "ABORTED"))
		return CAUSE_SERVER_LOST;
	if (!strcmp(code, "NO_DATABASE") || !strcmp(code, "MALFORMED") ||
	    !strcmp(code, "NO_STATEMENT"))
		return CAUSE_CALLER;
	if (!strcmp(code, "LAGGING"))
		return CAUSE_LAGGING;
	if (!strcmp(code, "FAILED"))
		return CAUSE_SERVER_REFUSED;
	if (refusal)
		return cause_of_forecast(refusal, line, servers);
	if (servers)
		return cause_of_servers(line, servers);
	return homes ? cause_of_homes(homes) : CAUSE_OTHER;
}

static bool has_server(JsonArray *rows, const char *server)
{
	unsigned i;

	for (i = 0; i < json_array_get_length(rows); i++) {
		JsonObject *row = json_array_get_object_element(rows, i);

		if (!strcmp(log_lines_text(row, "server"), server))
			return true;
	}
	return false;
}

/*
 * Whether the proxy passed the refusal of a home on, in the home's words: the
 * last server is a home, and its answer is not among the failed tries, after
 * which the statement would have waited here again.
 */
static bool is_passed_on(JsonObject *line, JsonArray *homes)
{
	const char *server = log_lines_text(line, "server");
	JsonArray *tries = array_member(line, "tries");
	unsigned n = tries ? json_array_get_length(tries) : 0;
	JsonObject *last = n ? json_array_get_object_element(tries, n - 1) :
			       NULL;

	return *server && !strcmp(log_lines_text(line, "code"), "BUSY") &&
	       has_server(homes, server) &&
	       (!last || strcmp(log_lines_text(last, "server"), server) != 0);
}

/* Whether a home refused the statement; the home's own log has the cause. */
static bool is_from_home(JsonObject *line)
{
	JsonArray *homes = array_member(line, "homes");

	if (!homes)
		return false;
	return is_passed_on(line, homes) ||
	       (!array_member(line, "servers") &&
		g_str_has_prefix(log_lines_text(line, "why"), "the home"));
}

static void add_refusal(struct causes *c, JsonObject *line)
{
	const char *id = log_lines_text(line, "id");
	const char *service = log_lines_text(line, "service");

	if (g_hash_table_size(c->pending) + g_hash_table_size(c->home_causes) >=
	    PENDING_MAX) {
		c->n_left_out++;
		return;
	}
	if (log_lines_bool(line, "from_proxy"))
		g_hash_table_replace(c->home_causes, g_strdup(id),
				     GUINT_TO_POINTER(cause_of(line) + 1));
	else if (is_from_home(line))
		g_hash_table_replace(c->pending, g_strdup(id),
				     g_strdup(service));
	else
		count(c, cause_of(line), service);
}

static bool take_line(void *ctx, const char *text, size_t len)
{
	static const char event[] = "\"event\":\"statement\"";
	struct causes *c = ctx;
	JsonParser *parser;
	JsonObject *line;

	if (!memmem(text, len, event, sizeof(event) - 1))
		return true;
	parser = json_parser_new_immutable();
	line = log_lines_parse(parser, text, len);
	if (line && strcmp(log_lines_text(line, "code"), "OK") != 0)
		add_refusal(c, line);
	g_object_unref(parser);
	return line;
}

void causes_read(struct causes *c, const char *name, FILE *log, struct err *err)
{
	log_lines_read(name, log, take_line, c, err);
}

/* Counts the statements refused by homes, with the causes the homes logged. */
static void settle(struct causes *c)
{
	GHashTableIter iter;
	gpointer id, service;

	g_hash_table_iter_init(&iter, c->pending);
	while (g_hash_table_iter_next(&iter, &id, &service)) {
		unsigned at = GPOINTER_TO_UINT(
			g_hash_table_lookup(c->home_causes, id));

		count(c, at ? (enum cause)(at - 1) : CAUSE_HOME_REFUSED,
		      service);
		g_hash_table_iter_remove(&iter);
	}
}

static void sort(const struct causes *c, enum cause order[CAUSES])
{
	unsigned i, j;

	for (i = 0; i < CAUSES; i++) {
		for (j = i; j && c->tallies[order[j - 1]].n < c->tallies[i].n;
		     j--)
			order[j] = order[j - 1];
		order[j] = (enum cause)i;
	}
}

/* The service with the most statements of the tally; *n is their number. */
static const char *top_service(const struct tally *t, unsigned *n)
{
	const char *top = "";
	GHashTableIter iter;
	gpointer name, value;

	*n = 0;
	g_hash_table_iter_init(&iter, t->services);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		unsigned n_here = GPOINTER_TO_UINT(value);

		if (n_here > *n || (n_here == *n && strcmp(name, top) < 0)) {
			top = name;
			*n = n_here;
		}
	}
	return top;
}

void causes_write_text(struct causes *c, GString *out)
{
	enum cause order[CAUSES] = { 0 };
	unsigned i, n;

	settle(c);
	sort(c, order);
	g_string_append_printf(out, "%u statements refused or failed\n", c->n);
	for (i = 0; i < CAUSES; i++) {
		const struct tally *t = &c->tallies[order[i]];
		const char *service;

		if (!t->n)
			break;
		service = top_service(t, &n);
		g_string_append_printf(
			out, "%8u  %5.1f %%  %-22s %s; most at %s: %u\n", t->n,
			100.0 * t->n / c->n, infos[order[i]].name,
			infos[order[i]].meaning, *service ? service : "-", n);
	}
	if (c->n_left_out)
		g_string_append_printf(
			out,
			"%u more were left out: too many to match "
			"with the lines of homes\n",
			c->n_left_out);
}

void causes_write_json(struct causes *c, GString *out)
{
	enum cause order[CAUSES] = { 0 };
	unsigned i, n;

	settle(c);
	sort(c, order);
	g_string_append_printf(out,
			       "{\"statements\":%u,\"left_out\":%u,"
			       "\"causes\":[",
			       c->n, c->n_left_out);
	for (i = 0; i < CAUSES && c->tallies[order[i]].n; i++) {
		const struct tally *t = &c->tallies[order[i]];
		const char *service = top_service(t, &n);

		g_string_append_printf(out,
				       "%s{\"cause\":\"%s\",\"statements\":%u,"
				       "\"service\":\"%s\",\"of_it\":%u}",
				       i ? "," : "", infos[order[i]].name, t->n,
				       service, n);
	}
	g_string_append(out, "]}\n");
}
