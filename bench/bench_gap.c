/*
 * bench_gap: how long writes are impossible after the primary fails, with
 * real processes. Each server stands behind the fault proxy with the delay of
 * a deployment. A trial waits until all servers are in step, fails the
 * primary, and takes the time from the fault to the first acknowledgement of
 * a write that was sent after it. Four callers write all the time; what each
 * was told is compared with the rows at the end of the series.
 */
#include "cluster.h"
#include "load.h"
#include "writers.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DATABASE "ledger/miles-1"
#define PATH "/v1/ledger/miles-1"
#define CALLERS 4
#define CALLER_PAUSE_US 5000
#define STEP_WAIT_US ((uint64_t)60 * G_USEC_PER_SEC)
#define STEP_POLL_US 20000
#define GAP_LIMIT_US ((uint64_t)60 * G_USEC_PER_SEC)
#define QUIET_MIN_US 300000
#define QUIET_MAX_US 600000
#define SEED 5

struct deployment {
	const char *name;
	const char *delay;
	unsigned slots;
	unsigned connections;
};

static const struct deployment deployments[] = {
	{ "ajopaivakirja", "{\"route\":\"*\",\"ms\":1}", 3, 20 },
	{ "kilifi", "{\"route\":\"*\",\"ms\":0.5}", 2, 30 },
};

enum fault { KILL, PAUSE, SILENT, FAULTS };
static const char *const fault_names[] = { "kill", "pause", "silent" };

static int trials = 20;
static int kills = 200;
static char *only_fault;
static char *only_deployment;
static char *only_store;

static const GOptionEntry options[] = {
	{ "trials", 0, 0, G_OPTION_ARG_INT, &trials, "trials of a series (20)",
	  "N" },
	{ "kills", 0, 0, G_OPTION_ARG_INT, &kills,
	  "trials of a series of kills with the store up (200)", "N" },
	{ "fault", 0, 0, G_OPTION_ARG_STRING, &only_fault,
	  "kill, pause or silent (all)", "NAME" },
	{ "deployment", 0, 0, G_OPTION_ARG_STRING, &only_deployment,
	  "ajopaivakirja or kilifi (both)", "NAME" },
	{ "store", 0, 0, G_OPTION_ARG_STRING, &only_store, "up or hang (both)",
	  "NAME" },
	G_OPTION_ENTRY_NULL,
};

struct series {
	const struct deployment *deployment;
	enum fault fault;
	bool store_hangs;
	struct cluster *c;
	struct writers *writers;
	GRand *rng;
	struct samples gap_us;
	struct samples longest_us;
	unsigned failed; /* no write for a minute */
};

static void fail(const char *text)
{
	fprintf(stderr, "bench_gap: %s\n", text);
	exit(EXIT_FAILURE);
}

static void start(struct series *s)
{
	struct cluster_spec spec;
	struct err err = { 0 };

	cluster_default(&spec);
	spec.n_databases = 1;
	spec.databases[0].slots = s->deployment->slots;
	spec.databases[0].connections = s->deployment->connections;
	spec.faults = true;
	spec.durable = true;
	spec.lag_ms = 20;
	s->c = cluster_start(&spec, &err);
	if (!s->c)
		fail(err.message);
	if (!cluster_control(s->c, s->c->faults_control, "/delay",
			     s->deployment->delay))
		fail("no delay");
	if (s->store_hangs &&
	    !cluster_control(s->c, s->c->store_control, "/outage",
			     "{\"mode\":\"hang\"}"))
		fail("no outage");
}

struct standing {
	int64_t term;
	int64_t received;
	bool primary;
};

static bool ask(struct cluster *c, unsigned i, struct standing *out)
{
	struct http_call call = { .timeout_ms = 2000 };
	struct http_reply reply = { 0 };
	JsonObject *status;
	bool ok;

	http_call(c->http, c->servers[i].control, "/state", &call, &reply);
	ok = reply.status == 200 && reply.json;
	if (ok) {
		status = json_object_get_object_member(reply.json, "status");
		out->term = json_object_get_int_member(status, "term");
		out->received = json_object_get_int_member(status, "received");
		out->primary =
			!strcmp(json_object_get_string_member(status, "role"),
				"primary");
	}
	http_reply_clear(&reply);
	return ok;
}

/* The only primary when all servers have its term and some of its writes. */
static int primary_in_step(struct cluster *c)
{
	struct standing all[CLUSTER_SERVERS_PER_DATABASE];
	int primary = -1;
	unsigned i;

	for (i = 0; i < c->n_servers; i++) {
		if (!ask(c, i, &all[i]))
			return -1;
		if (all[i].primary && primary >= 0)
			return -1;
		if (all[i].primary)
			primary = (int)i;
	}
	for (i = 0; primary >= 0 && i < c->n_servers; i++) {
		if (all[i].term != all[primary].term ||
		    all[i].received + 100 < all[primary].received)
			return -1;
	}
	return primary;
}

static int wait_in_step(struct series *s)
{
	uint64_t end = load_now_us() + STEP_WAIT_US;
	int primary;

	while ((primary = primary_in_step(s->c)) < 0) {
		if (load_now_us() > end)
			fail("the servers did not get in step");
		g_usleep(STEP_POLL_US);
	}
	return primary;
}

static void black_hole(struct series *s, int primary)
{
	char *body =
		g_strdup_printf("{\"route\":\"%s\",\"direction\":\"both\"}",
				s->c->servers[primary].name);

	if (!cluster_control(s->c, s->c->faults_control, "/blackhole", body))
		fail("no black hole");
	g_free(body);
}

static void begin_fault(struct series *s, int primary)
{
	struct child *child = s->c->servers[primary].child;

	if (s->fault == SILENT)
		black_hole(s, primary);
	else
		child_signal(child, s->fault == KILL ? SIGKILL : SIGSTOP);
}

static void end_fault(struct series *s, int primary)
{
	struct err err = { 0 };

	if (s->fault == SILENT) {
		if (!cluster_control(s->c, s->c->faults_control, "/heal",
				     "{\"route\":\"*\",\"keep_delay\":true,"
				     "\"reset_silent\":true}"))
			fail("no healing");
	} else if (s->fault == PAUSE) {
		child_signal(s->c->servers[primary].child, SIGCONT);
	} else {
		child_wait(s->c->servers[primary].child);
		if (!cluster_start_server(s->c, (unsigned)primary, 0, &err))
			fail(err.message);
	}
}

static void run_trial(struct series *s)
{
	int primary = wait_in_step(s);
	uint64_t began, done;

	/* The fault comes at any phase of the probes. */
	g_usleep((gulong)g_rand_int_range(s->rng, QUIET_MIN_US, QUIET_MAX_US));
	began = load_now_us();
	begin_fault(s, primary);
	writers_mark(s->writers);
	done = writers_wait_done(s->writers, GAP_LIMIT_US);
	if (done)
		samples_add(&s->gap_us, done - began);
	else
		s->failed++;
	end_fault(s, primary);
	wait_in_step(s);
	samples_add(&s->longest_us, writers_longest_us(s->writers));
}

static void print_series(struct series *s, unsigned n,
			 const struct writers_tally *t)
{
	printf("{\"bench\":\"gap\",\"deployment\":\"%s\",\"fault\":\"%s\","
	       "\"store\":\"%s\",\"trials\":%u,\"p50_ms\":%.0f,"
	       "\"p99_ms\":%.0f,\"max_ms\":%.0f,\"no_gap_end\":%u,"
	       "\"longest_write_ms\":%.0f,\"sent\":%" G_GUINT64_FORMAT
	       ",\"done\":%" G_GUINT64_FORMAT ",\"not_run\":%" G_GUINT64_FORMAT
	       ",\"unknown\":%" G_GUINT64_FORMAT
	       ",\"no_answer\":%" G_GUINT64_FORMAT
	       ",\"lost\":%" G_GUINT64_FORMAT ",\"doubled\":%" G_GUINT64_FORMAT
	       ",\"false_not_run\":%" G_GUINT64_FORMAT "}\n",
	       s->deployment->name, fault_names[s->fault],
	       s->store_hangs ? "hang" : "up", n, samples_ms(&s->gap_us, 0.5),
	       samples_ms(&s->gap_us, 0.99), samples_ms(&s->gap_us, 1.0),
	       s->failed, samples_ms(&s->longest_us, 1.0), t->sent, t->done,
	       t->not_run, t->unknown, t->no_answer, t->lost, t->doubled,
	       t->false_not_run);
	fflush(stdout);
	if (t->first_failure[0])
		fprintf(stderr, "bench_gap: first failure: %s\n",
			t->first_failure);
}

static void run_series(struct series *s)
{
	unsigned n = (unsigned)(s->fault == KILL && !s->store_hangs ? kills :
								      trials);
	struct writers_spec spec = { .path = PATH,
				     .n = CALLERS,
				     .pause_us = CALLER_PAUSE_US };
	struct writers_tally tally;
	unsigned i;

	start(s);
	s->rng = g_rand_new_with_seed(SEED);
	samples_init(&s->gap_us);
	samples_init(&s->longest_us);
	spec.cluster = s->c;
	s->writers = writers_start(&spec);
	for (i = 0; i < n; i++)
		run_trial(s);
	writers_stop(s->writers);
	if (!writers_check(s->writers, s->c->servers[wait_in_step(s)].port,
			   &tally))
		fail("the rows can't be read");
	print_series(s, n, &tally);
	writers_destroy(s->writers);
	samples_clear(&s->gap_us);
	samples_clear(&s->longest_us);
	g_rand_free(s->rng);
	cluster_destroy(s->c);
}

static bool wanted(const char *only, const char *name)
{
	return !only || !strcmp(only, name);
}

static void run_fault(const struct deployment *deployment, enum fault fault)
{
	static const char *const stores[] = { "up", "hang" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(stores); i++) {
		struct series s = { .deployment = deployment,
				    .fault = fault,
				    .store_hangs = i == 1 };

		if (wanted(only_store, stores[i]))
			run_series(&s);
	}
}

int main(int argc, char **argv)
{
	GOptionContext *context =
		g_option_context_new("- writes after a primary's failure");
	unsigned i, fault;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		fail("bad options; see --help");
	g_option_context_free(context);
	for (i = 0; i < G_N_ELEMENTS(deployments); i++) {
		if (!wanted(only_deployment, deployments[i].name))
			continue;
		for (fault = 0; fault < FAULTS; fault++) {
			if (wanted(only_fault, fault_names[fault]))
				run_fault(&deployments[i], fault);
		}
	}
	return EXIT_SUCCESS;
}
