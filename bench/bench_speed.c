/*
 * bench_speed: small reads through one proxy beside the same reads through
 * libpq, on the same cores, in turns within one run.
 *
 * What is compared: 64 callers. Directly, they wait in turn for a pool of as
 * many connections as the servers have slots, each statement prepared once;
 * through the proxy, each has an HTTP connection of its own, and the proxy
 * does the waiting for the same slots. "plain" sends the SELECT alone, which
 * is all that a caller without the proxy would do; "transaction" sends the
 * four statements that the proxy itself sends for a read. All processes share
 * the given cores, so what the proxy costs is taken from the servers.
 */
#include "cluster.h"
#include "load.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALLERS 64
#define MAX_ROUNDS 32
#define ROWS_POLL_US 10000
#define PATH "/v1/ledger/miles-1"
#define SELECT "SELECT id, purpose, miles FROM trip WHERE id = 7"
#define BODY \
	"{\"profile\":\"read-any\",\"statements\":[{\"sql\":\"" SELECT "\"}]}"

static const char init_sql[] =
	"CREATE TABLE trip(id INTEGER PRIMARY KEY, purpose TEXT, miles REAL);"
	"INSERT INTO trip WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL "
	"SELECT i + 1 FROM n WHERE i < 1000) "
	"SELECT i, 'drive ' || i, i / 4.0 FROM n;";

static int cores = 4;
static int rounds = 5;
static int round_ms = 2000;
static int warm_ms = 500;

static const GOptionEntry options[] = {
	{ "cores", 0, 0, G_OPTION_ARG_INT, &cores,
	  "cores for all processes together (4)", "N" },
	{ "rounds", 0, 0, G_OPTION_ARG_INT, &rounds,
	  "turns of each way; medians of them (5)", "N" },
	{ "round-ms", 0, 0, G_OPTION_ARG_INT, &round_ms,
	  "length of a turn (2000)", "MS" },
	G_OPTION_ENTRY_NULL,
};

struct bench {
	struct cluster *c;
	struct child *echo;
	struct load_pg plain;
	struct load_pg transaction;
	struct load_http proxy;
	struct load_http bare;
};

static void fail(const char *text)
{
	fprintf(stderr, "bench_speed: %s\n", text);
	exit(EXIT_FAILURE);
}

/* What a server's reads can see, 0 when it does not tell. */
static int64_t applied(struct cluster *c, unsigned i)
{
	struct http_call call = { 0 };
	struct http_reply reply = { 0 };
	JsonObject *status;
	int64_t position = 0;

	http_call(c->http, c->servers[i].control, "/state", &call, &reply);
	if (reply.json) {
		status = json_object_get_object_member(reply.json, "status");
		position = json_object_get_int_member(status, "applied");
	}
	http_reply_clear(&reply);
	return position;
}

/* Until every server has the rows. */
static void wait_rows(struct cluster *c)
{
	int64_t wanted = applied(c, 0);
	unsigned i;

	for (i = 0; i < c->n_servers; i++) {
		while (applied(c, i) < wanted)
			g_usleep(ROWS_POLL_US);
	}
}

static void start(struct bench *b)
{
	static const char *const no_args[] = { NULL };
	struct cluster_spec spec;
	struct err err = { 0 };

	cluster_default(&spec);
	spec.n_databases = 1;
	spec.databases[0].init_sql = init_sql;
	spec.n_proxies = 1;
	spec.connect_delay_ms = 0;
	b->c = cluster_start(&spec, &err);
	if (!b->c)
		fail(err.message);
	wait_rows(b->c);
	b->echo = child_start("celeryquay-bench-echo", no_args, &err);
	if (!b->echo)
		fail(err.message);
}

static void describe(struct bench *b)
{
	unsigned i;

	b->plain = (struct load_pg){
		.n_ports = CLUSTER_SERVERS_PER_DATABASE,
		.connections = b->c->spec.databases[0].slots,
		.callers = CALLERS,
		.n_statements = 1,
		.sql = { SELECT },
	};
	for (i = 0; i < CLUSTER_SERVERS_PER_DATABASE; i++)
		b->plain.ports[i] = b->c->servers[i].port;
	b->transaction = b->plain;
	b->transaction.n_statements = 4;
	b->transaction.sql[0] = "BEGIN READ ONLY";
	b->transaction.sql[1] = SELECT;
	b->transaction.sql[2] = "SELECT cq_read_position()";
	b->transaction.sql[3] = "COMMIT";
	b->proxy = (struct load_http){
		.port = b->c->proxies[0].http,
		.path = PATH,
		.token = b->c->token,
		.body = BODY,
		.callers = CALLERS,
	};
	b->bare = b->proxy;
	b->bare.port = (int)child_ready_int(b->echo, "http");
}

/* Processor time of the servers together. */
static uint64_t servers_cpu_us(const struct bench *b)
{
	uint64_t us = 0;
	unsigned i;

	for (i = 0; i < b->c->n_servers; i++)
		us += load_cpu_us(child_pid(b->c->servers[i].child));
	return us;
}

/* What one way of asking came to in one turn. */
struct turn {
	double per_s;
	double p50_us;
	double p99_us;
	double proxy_us; /* processor time for each request */
	double servers_us;
};

static struct turn run_turn(struct bench *b, const struct load_pg *pg,
			    const struct load_http *http)
{
	pid_t proxy = child_pid(b->c->proxies[0].child);
	uint64_t cpu = load_cpu_us(proxy), servers = servers_cpu_us(b);
	struct load_result r = { 0 };
	struct turn t = { 0 };

	if (pg ? !load_pg_run(pg, &r) : !load_http_run(http, &r))
		fail("the load broke off");
	if (r.failed || !r.done)
		fail("requests failed");
	t.per_s = load_per_s(&r);
	t.p50_us = (double)samples_quantile(&r.us, 0.5);
	t.p99_us = (double)samples_quantile(&r.us, 0.99);
	t.proxy_us = (double)(load_cpu_us(proxy) - cpu) / (double)r.done;
	t.servers_us = (double)(servers_cpu_us(b) - servers) / (double)r.done;
	load_result_clear(&r);
	return t;
}

enum way { PLAIN, TRANSACTION, PROXY, ECHO, WAYS };
static const char *const way_names[] = { "plain", "transaction", "proxy",
					 "echo" };

static struct turn run_way(struct bench *b, enum way way, unsigned callers,
			   uint64_t us)
{
	struct load_pg pg = way == TRANSACTION ? b->transaction : b->plain;
	struct load_http http = way == ECHO ? b->bare : b->proxy;

	pg.callers = http.callers = callers;
	pg.duration_us = http.duration_us = us;
	if (way == PLAIN || way == TRANSACTION)
		return run_turn(b, &pg, NULL);
	return run_turn(b, NULL, &http);
}

static double median_of(const struct turn *turns, size_t offset)
{
	double values[MAX_ROUNDS];
	int i;

	for (i = 0; i < rounds; i++)
		values[i] = *(const double *)((const char *)&turns[i] + offset);
	return load_median(values, (unsigned)rounds);
}

/* The median over the rounds of one way's value to another's. */
static double ratio(const struct turn *a, const struct turn *b, size_t offset)
{
	double values[MAX_ROUNDS];
	int i;

	for (i = 0; i < rounds; i++)
		values[i] = *(const double *)((const char *)&a[i] + offset) /
			    *(const double *)((const char *)&b[i] + offset);
	return load_median(values, (unsigned)rounds);
}

#define MEDIAN(turns, field) median_of(turns, offsetof(struct turn, field))
#define RATIO(a, b, field) ratio(a, b, offsetof(struct turn, field))

static void run_rounds(struct bench *b, unsigned callers,
		       struct turn turns[WAYS][MAX_ROUNDS])
{
	int i, way;

	for (way = 0; way < WAYS; way++)
		run_way(b, way, callers, (uint64_t)warm_ms * 1000);
	for (i = 0; i < rounds; i++) {
		for (way = 0; way < WAYS; way++)
			turns[way][i] = run_way(b, way, callers,
						(uint64_t)round_ms * 1000);
	}
}

static void print_ways(unsigned callers, struct turn turns[WAYS][MAX_ROUNDS])
{
	int way;

	for (way = 0; way < WAYS; way++)
		printf("{\"bench\":\"speed\",\"way\":\"%s\",\"callers\":%u,"
		       "\"cores\":%d,\"per_s\":%.0f,\"p50_us\":%.0f,"
		       "\"p99_us\":%.0f,\"proxy_cpu_us\":%.1f,"
		       "\"servers_cpu_us\":%.1f}\n",
		       way_names[way], callers, cores,
		       MEDIAN(turns[way], per_s), MEDIAN(turns[way], p50_us),
		       MEDIAN(turns[way], p99_us), MEDIAN(turns[way], proxy_us),
		       MEDIAN(turns[way], servers_us));
}

/* Throughput with all callers at once. */
static void run_throughput(struct bench *b)
{
	struct turn turns[WAYS][MAX_ROUNDS];

	run_rounds(b, CALLERS, turns);
	print_ways(CALLERS, turns);
	printf("{\"bench\":\"speed\",\"compare\":\"throughput\",\"cores\":%d,"
	       "\"to_plain\":%.3f,\"to_transaction\":%.3f,"
	       "\"to_echo\":%.3f}\n",
	       cores, RATIO(turns[PROXY], turns[PLAIN], per_s),
	       RATIO(turns[PROXY], turns[TRANSACTION], per_s),
	       RATIO(turns[PROXY], turns[ECHO], per_s));
	fflush(stdout);
}

/* What the proxy adds for one caller who waits for nobody else. */
static void run_latency(struct bench *b)
{
	struct turn turns[WAYS][MAX_ROUNDS];
	double direct, proxy, echo;

	run_rounds(b, 1, turns);
	print_ways(1, turns);
	direct = MEDIAN(turns[PLAIN], p50_us);
	proxy = MEDIAN(turns[PROXY], p50_us);
	echo = MEDIAN(turns[ECHO], p50_us);
	printf("{\"bench\":\"speed\",\"compare\":\"latency\",\"cores\":%d,"
	       "\"direct_us\":%.0f,\"proxy_us\":%.0f,\"echo_us\":%.0f,"
	       "\"added_us\":%.0f,\"added_to_echo\":%.3f}\n",
	       cores, direct, proxy, echo, proxy - direct,
	       (proxy - direct) / echo);
	fflush(stdout);
}

int main(int argc, char **argv)
{
	GOptionContext *context =
		g_option_context_new("- reads through the proxy and directly");
	struct bench b = { 0 };

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    rounds < 1 || rounds > MAX_ROUNDS)
		fail("bad options; see --help");
	g_option_context_free(context);
	if (cores > 0 && !load_pin((unsigned)cores))
		fail("not so many cores");
	start(&b);
	describe(&b);
	run_throughput(&b);
	run_latency(&b);
	child_destroy(b.echo);
	cluster_destroy(b.c);
	return EXIT_SUCCESS;
}
