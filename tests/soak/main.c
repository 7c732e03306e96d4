/*
 * The fault soak: proxies as processes of their own before stand-ins of the
 * platform, callers that never rest, and faults from outside that a seed
 * decides. What callers and servers see is checked against every promise of
 * the relay while it runs.
 */
#include "member.h"
#include "operator.h"
#include "plan.h"
#include "server.h"

#include <gio/gio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define READY_LIMIT_US (20 * SEC)
#define WARM_US SEC
#define PLAN_TAIL_US (6 * SEC) /* the longest fault, and a bit */
#define GOOD_SHARE 0.95 /* of a second's answers, for two in a row */
#define GOOD_SECONDS 2
/* Without any connection a proxy has 25 to 45: pipes, listeners, its log. */
#define FILES_FIXED 64
#define DATABASES 3 /* of a service, one of each kind */
#define CALLERS_CROWD                                          \
	4 /* times as many at a proxy after others were killed \
	   */

struct options {
	char *seeds;
	char *lie;
	char *keep;
	int seed;
	int seconds;
	int proxies;
	int callers;
	int gap_ms;
	int max_connections;
	int recover_seconds;
	int jobs;
	gboolean show_plan;
	gboolean stay;
	gboolean returns;
	gboolean even;
	gboolean serve;
};

static struct soak {
	struct options options;
	uv_loop_t loop;
	struct audit *audit;
	struct store *store;
	struct groups *groups;
	struct fleet *fleet;
	struct callers *callers;
	struct plan *plan;
	struct load load;
	uv_tcp_t listeners[SERVERS_MAX];
} soak;

static void run_for(uint64_t us)
{
	uint64_t until_us = later_now_us() + us;

	while (later_now_us() < until_us)
		uv_run(&soak.loop, UV_RUN_ONCE);
}

static enum group_lie lie_of(const char *name)
{
	static const char *const names[LIES] = {
		[LIE_STALE] = "stale",	   [LIE_SIGNATURE] = "signature",
		[LIE_TWICE] = "twice",	   [LIE_VALUES] = "values",
		[LIE_REFUSED] = "refused", [LIE_FENCE] = "fence",
	};
	unsigned i;

	for (i = 0; name && i < LIES; i++)
		if (names[i] && !strcmp(names[i], name))
			return (enum group_lie)i;
	return LIE_NONE;
}

/* A few proxies connect to servers themselves, more go through homes. */
static void draw_size(GRand *rng, unsigned *n_proxies, unsigned *connections)
{
	bool homes = g_rand_int_range(rng, 0, 3) == 0;

	*n_proxies = (unsigned)g_rand_int_range(rng, 3, 6) + (homes ? 3 : 0);
	*connections = homes ? 10 : 40;
	if (soak.load.pooled_proxies) {
		*n_proxies = soak.load.pooled_proxies;
		*connections = LOAD_POOLED_CONNECTIONS;
	}
	if (soak.options.proxies)
		*n_proxies = (unsigned)soak.options.proxies;
	if (soak.options.max_connections)
		*connections = (unsigned)soak.options.max_connections;
}

static bool start(GRand *rng)
{
	unsigned n_proxies, connections, i;
	uint64_t until_us = later_now_us() + READY_LIMIT_US;

	if (soak.options.even || soak.options.serve)
		load_even(&soak.load);
	else
		load_draw(&soak.load, (guint32)soak.options.seed);
	draw_size(rng, &n_proxies, &connections);
	soak.audit = audit_create();
	soak.groups =
		groups_create(&soak.loop, soak.audit, rng, 2, connections);
	soak.groups->lie = lie_of(soak.options.lie);
	soak.store = store_create(&soak.loop, groups_promote, soak.groups);
	soak.groups->store = soak.store;
	for (i = 0; i < soak.groups->n * GROUP_SIZE; i++)
		if (!server_listen(&soak.groups->servers[i], &soak.listeners[i],
				   &soak.groups->servers[i].port))
			return false;
	operator_put_config(soak.store, soak.groups);
	soak.fleet = fleet_create(&soak.loop, soak.audit, &soak.load, n_proxies,
				  soak.groups, store_port(soak.store));
	if (!soak.fleet)
		return false;
	members_list(soak.groups);
	while (!fleet_all_ready(soak.fleet) && later_now_us() < until_us)
		uv_run(&soak.loop, UV_RUN_ONCE);
	if (!fleet_all_ready(soak.fleet))
		audit_wrong(soak.audit, "not all proxies got ready");
	soak.callers = callers_create(soak.fleet, soak.groups, rng,
				      (unsigned)soak.options.callers);
	soak.plan = plan_create((uint32_t)soak.options.seed, n_proxies,
				soak.groups->n * GROUP_FIRST,
				(uint64_t)soak.options.seconds * SEC,
				(unsigned)soak.options.gap_ms,
				soak.options.stay);
	if (soak.options.returns)
		plan_add_returns(soak.plan, (uint32_t)soak.options.seed,
				 (uint64_t)soak.options.seconds * SEC);
	if (!soak.options.even)
		plan_add_uneven(soak.plan, (uint32_t)soak.options.seed,
				(uint64_t)soak.options.seconds * SEC);
	return true;
}

static void heal(void)
{
	unsigned i;

	store_set_fault(soak.store, STORE_GOOD);
	fleet_fault(soak.fleet, "/heal", "{\"reset_silent\":true}");
	soak.groups->late_us = 0;
	for (i = 0; i < soak.groups->n * GROUP_SIZE; i++)
		member_restart(&soak.groups->servers[i]);
	for (i = 0; i < soak.fleet->n; i++)
		fleet_signal(&soak.fleet->proxies[i], SIGCONT);
}

static double share_of_a_second(void)
{
	struct callers_count a = callers_count(soak.callers), b;
	unsigned bad;

	run_for(SEC);
	b = callers_count(soak.callers);
	bad = b.refused + b.failed + b.in_doubt + b.cut + b.late - a.refused -
	      a.failed - a.in_doubt - a.cut - a.late;
	return (double)(b.ok - a.ok) / MAX(b.ok - a.ok + bad, 1);
}

/* Seconds until callers are served as before. */
static unsigned recover(void)
{
	unsigned seconds = 0, good = 0;

	while (good < GOOD_SECONDS &&
	       seconds < (unsigned)soak.options.recover_seconds) {
		good = share_of_a_second() >= GOOD_SHARE &&
				       fleet_all_ready(soak.fleet) &&
				       fleet_all_configured(
					       soak.fleet, operator_version()) ?
			       good + 1 :
			       0;
		seconds++;
	}
	if (good < GOOD_SECONDS)
		audit_wrong(soak.audit, "service is not back after %u s",
			    seconds);
	return seconds;
}

/*
 * A home has a session of each other proxy for each database of its services;
 * of 437 files that the busiest of 100 proxies had, 368 were these. To its
 * servers it has no more connections than they allow.
 */
static unsigned files_allowed(void)
{
	const struct groups *g = soak.groups;
	unsigned n_proxies = soak.fleet->n;
	unsigned n_callers = (unsigned)soak.options.callers;

	return FILES_FIXED + n_proxies * g->n * DATABASES +
	       g->n_most * g->max_connections +
	       CALLERS_CROWD * n_callers / n_proxies;
}

static void print_result(unsigned seconds)
{
	struct callers_count n = callers_count(soak.callers);
	unsigned i, over = 0, files = fleet_most_files(soak.fleet);

	for (i = 0; i < soak.groups->n * GROUP_SIZE; i++)
		over += soak.groups->servers[i].n_over;
	if (files > files_allowed())
		audit_wrong(soak.audit, "a proxy has %u files open of %u",
			    files, files_allowed());
	printf("seed %d: %s: %u proxies, %u ok, %u refused, %u failed, "
	       "%u in doubt, %u cut, %u late, %u over limits, %u promotions, "
	       "back after %u s, files %u, memory %u KB\n",
	       soak.options.seed, audit_n_wrong(soak.audit) ? "WRONG" : "good",
	       soak.fleet->n, n.ok, n.refused, n.failed, n.in_doubt, n.cut,
	       n.late, over, soak.groups->n_promotions, seconds, files,
	       fleet_most_memory_kb(soak.fleet));
}

/*
 * One seed, after which the process ends: what the loop's timers hold goes with
 * it, so nothing but the fleet is taken down. True: nothing was wrong.
 */
static bool run_seed(void)
{
	GRand *rng = g_rand_new_with_seed((guint32)soak.options.seed);
	unsigned seconds;
	char *plan;

	uv_loop_init(&soak.loop);
	signal(SIGPIPE, SIG_IGN);
	if (!start(rng)) {
		fprintf(stderr, "the soak can't start\n");
		return false;
	}
	run_for(WARM_US);
	callers_press(soak.callers, soak.load.pressing_percent);
	plan_start(soak.plan, &soak.loop, soak.fleet, soak.groups, soak.store,
		   soak.callers);
	run_for((uint64_t)soak.options.seconds * SEC + PLAN_TAIL_US);
	callers_press(soak.callers, 0);
	heal();
	seconds = recover();
	callers_rest(soak.callers);
	print_result(seconds);
	fleet_destroy(soak.fleet);
	if (audit_n_wrong(soak.audit) || soak.options.show_plan) {
		plan = load_text(&soak.load, soak.fleet->n);
		printf("%s", plan);
		g_free(plan);
		plan = plan_text(soak.plan);
		printf("%s", plan);
		g_free(plan);
	}
	fflush(stdout); /* a sanitizer may end the process before exit does */
	return !audit_n_wrong(soak.audit);
}

static void on_end_signal(uv_signal_t *signal, int number)
{
	(void)number;
	uv_stop(signal->loop);
}

/* Where a caller can speak to each proxy, and its pages for operators. */
static void print_ready(void)
{
	unsigned i;

	printf("{\"ready\": true, \"proxies\": [");
	for (i = 0; i < soak.fleet->n; i++) {
		const struct fleet_proxy *p = &soak.fleet->proxies[i];

		printf("%s{\"name\": \"%s\", \"callers\": "
		       "\"127.0.0.1:%u\", \"pages\": \"%s:%u\"}",
		       i ? ", " : "", p->name, p->front, p->address,
		       FLEET_READY_PORT);
	}
	printf("], \"store\": \"127.0.0.1:%u\"}\n", store_port(soak.store));
	fflush(stdout);
}

/* The same processes, without callers and faults, until a signal. */
static bool serve(void)
{
	GRand *rng = g_rand_new_with_seed(1);
	uv_signal_t ends[2];

	uv_loop_init(&soak.loop);
	signal(SIGPIPE, SIG_IGN);
	if (!start(rng)) {
		fprintf(stderr, "the proxies can't start\n");
		return false;
	}
	soak.groups->adopts = true;
	uv_signal_init(&soak.loop, &ends[0]);
	uv_signal_start(&ends[0], on_end_signal, SIGINT);
	uv_signal_init(&soak.loop, &ends[1]);
	uv_signal_start(&ends[1], on_end_signal, SIGTERM);
	print_ready();
	uv_run(&soak.loop, UV_RUN_DEFAULT);
	return fleet_destroy(soak.fleet);
}

static char *self_path(void)
{
	return g_file_read_link("/proc/self/exe", NULL);
}

static GSubprocess *launch_seed(int seed, char **argv)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	GSubprocessLauncher *l =
		g_subprocess_launcher_new(G_SUBPROCESS_FLAGS_STDOUT_PIPE);
	GSubprocess *p;
	char *dir = NULL;
	unsigned i;

	if (soak.options.keep)
		dir = g_strdup_printf("%s/seed-%d", soak.options.keep, seed);
	if (dir && !g_mkdir_with_parents(dir, 0755))
		g_subprocess_launcher_setenv(l, "CQ_LOG_DIR", dir, TRUE);
	g_ptr_array_add(args, self_path());
	for (i = 1; argv[i]; i++)
		g_ptr_array_add(args, g_strdup(argv[i]));
	g_ptr_array_add(args, g_strdup_printf("--seed=%d", seed));
	g_ptr_array_add(args, NULL);
	p = g_subprocess_launcher_spawnv(l, (const gchar *const *)args->pdata,
					 NULL);
	g_ptr_array_free(args, TRUE);
	g_object_unref(l);
	g_free(dir);
	return p;
}

/* Prints what one seed said; true: nothing was wrong. */
static bool collect(GSubprocess *p)
{
	char *out = NULL;
	bool good = g_subprocess_communicate_utf8(p, NULL, NULL, &out, NULL,
						  NULL) &&
		    g_subprocess_get_if_exited(p) &&
		    !g_subprocess_get_exit_status(p);

	printf("%s", out ? out : "");
	fflush(stdout);
	g_free(out);
	g_object_unref(p);
	return good;
}

/* Each seed in a process of its own, some at a time. */
static bool run_seeds(int from, int to, char **argv)
{
	GQueue running = G_QUEUE_INIT;
	unsigned n_wrong = 0;
	int seed;

	for (seed = from; seed <= to; seed++) {
		GSubprocess *p = launch_seed(seed, argv);

		if (p)
			g_queue_push_tail(&running, p);
		if (running.length >= (unsigned)soak.options.jobs)
			n_wrong += !collect(g_queue_pop_head(&running));
	}
	while (running.length)
		n_wrong += !collect(g_queue_pop_head(&running));
	printf("%d seeds, %u wrong\n", to - from + 1, n_wrong);
	return !n_wrong;
}

static bool parse(int *argc, char ***argv, struct options *o)
{
	const GOptionEntry entries[] = {
		{ "seeds", 0, 0, G_OPTION_ARG_STRING, &o->seeds,
		  "Each in a process of its own", "A-B" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &o->seed, "One, here", "N" },
		{ "jobs", 0, 0, G_OPTION_ARG_INT, &o->jobs,
		  "Seeds at a time (3)", "N" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &o->seconds,
		  "New faults for that long (15)", "S" },
		{ "gap-ms", 0, 0, G_OPTION_ARG_INT, &o->gap_ms,
		  "Between two faults, on average (700)", "MS" },
		{ "proxies", 0, 0, G_OPTION_ARG_INT, &o->proxies,
		  "How many; drawn by the seed unless given", "N" },
		{ "connections", 0, 0, G_OPTION_ARG_INT, &o->max_connections,
		  "A server's limit; drawn unless given", "N" },
		{ "callers", 0, 0, G_OPTION_ARG_INT, &o->callers,
		  "Sessions at a time (24)", "N" },
		{ "recover-seconds", 0, 0, G_OPTION_ARG_INT,
		  &o->recover_seconds, "Service must be back in that time (12)",
		  "S" },
		{ "lie", 0, 0, G_OPTION_ARG_STRING, &o->lie,
		  "What servers do wrong: stale, signature, twice, values, "
		  "refused, fence",
		  "NAME" },
		{ "keep", 0, 0, G_OPTION_ARG_STRING, &o->keep,
		  "Where the proxies' logs go, a folder for each seed", "DIR" },
		{ "serve", 0, 0, G_OPTION_ARG_NONE, &o->serve,
		  "No callers and no faults: for a look by hand", NULL },
		{ "stay", 0, 0, G_OPTION_ARG_NONE, &o->stay,
		  "No server joins, leaves or comes back under another id",
		  NULL },
		{ "returns", 0, 0, G_OPTION_ARG_NONE, &o->returns,
		  "The store comes back from older copies, and operators write",
		  NULL },
		{ "even", 0, 0, G_OPTION_ARG_NONE, &o->even,
		  "Proxies and callers alike, no slow or flapping server, no "
		  "narrow link",
		  NULL },
		{ "plan", 0, 0, G_OPTION_ARG_NONE, &o->show_plan,
		  "Print the faults of each seed", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *context = g_option_context_new("- fault soak");
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok)
		fprintf(stderr, "%s\n", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	if (ok && o->lie && lie_of(o->lie) == LIE_NONE) {
		fprintf(stderr, "no such lie: %s\n", o->lie);
		return false;
	}
	return ok;
}

static bool parse_seeds(const char *text, int *from, int *to)
{
	return text && sscanf(text, "%d-%d", from, to) == 2 && *from >= 1 &&
	       *to >= *from;
}

int main(int argc, char **argv)
{
	struct options o = { .seconds = 15,
			     .gap_ms = 700,
			     .callers = 24,
			     .recover_seconds = 12,
			     .jobs = 3 };
	g_auto(GStrv) given = g_strdupv(argv);
	int from = 0, to = 0;

	if (!parse(&argc, &argv, &o))
		return 2;
	soak.options = o;
	if (o.serve)
		return serve() ? 0 : 1;
	if (o.seed)
		return run_seed() ? 0 : 1;
	if (!parse_seeds(o.seeds, &from, &to)) {
		fprintf(stderr, "--seeds A-B is wanted\n");
		return 2;
	}
	return run_seeds(from, to, given) ? 0 : 1;
}
