/*
 * Seeded histories of a database group, its homes and their writers on the
 * virtual clock, with faults of every kind, single and overlapping. Each
 * history is checked for violated guarantees; then each rule is switched off in
 * turn, and the same checks must fail.
 *
 * CQ_HISTORIES sets the number of seeds, CQ_FIRST_SEED the first one, and
 * CLUSTER_TRACE=1 prints the decisions.
 */
#include "failover_internal.h"
#include "support_cluster.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HISTORIES 300
#define MUTANT_HISTORIES 400
#define MAX_FAULTS 5
/* Further faults, each triggered by a step of a ballot. */
#define MAX_AIMED_FAULTS 4
#define MOVE_INTERVAL_US (60 * USEC_PER_MSEC)
/* Max. time from the step of a ballot to the fault that it triggers. */
#define AIMED_MAX_DELAY_US (3 * USEC_PER_MSEC)
/* Run time with faults, then after healing, then without new writes. */
#define FAULTS_DURATION_US (9 * USEC_PER_SEC)
#define RECOVERY_US (4 * USEC_PER_SEC)
/* Longer than a write's deadline, so that all are answered at the end. */
#define SETTLING_US (5 * USEC_PER_SEC)

enum fault {
	FAULT_CRASH, /* of a server's process */
	FAULT_CRASH_SILENT, /* crash of a server's host */
	FAULT_ISOLATE, /* a server from all nodes */
	FAULT_SPLIT_FROM_SERVERS, /* homes still reach the server */
	FAULT_SPLIT_FROM_HOMES, /* other servers still reach it */
	FAULT_ONE_WAY, /* from the server to one node */
	FAULT_ONE_WAY_BACK, /* from one node to the server */
	FAULT_SPLIT_ONE_BY_ONE, /* server to one replica, later to the other */
	FAULT_PAUSE_SERVER,
	FAULT_PAUSE_HOME,
	FAULT_CRASH_HOME,
	FAULT_LOSS, /* of messages */
	FAULT_DISORDER, /* lost, duplicated and reordered messages */
	FAULT_MOVES, /* successive moves requested at one home */
	FAULT_CROSSED_MOVES, /* at all homes at once, to different servers */
	FAULT_LEAVING, /* a server is marked as leaving */
	FAULT_KINDS,
};

struct history_run {
	struct cluster *c;
	GRand *rng;
	unsigned homes;
	unsigned aimed_left; /* number of aimed faults still to come */
	int preferred_fault; /* enum fault, chosen more often; -1: none */
};

struct fault_plan {
	enum fault kind;
	unsigned server;
	unsigned home;
	unsigned other; /* node at the other end of a one-way block */
	uint64_t duration_us;
};

/* Switches one rule off; NULL for none. */
typedef void (*mutate_fn)(struct cluster *c);

static unsigned pick(GRand *rng, unsigned n)
{
	return (unsigned)g_rand_int_range(rng, 0, (gint32)n);
}

static void split_from_nodes(struct cluster *c, unsigned server, unsigned from,
			     unsigned to, bool blocked)
{
	unsigned i;

	for (i = from; i < to; i++) {
		if (i == server)
			continue;
		sim_block(cluster_sim(c), (int)server, (int)i, blocked);
		sim_block(cluster_sim(c), (int)i, (int)server, blocked);
	}
}

static void set_network_faults(struct cluster *c, double loss, double disorder)
{
	struct sim_network *net = sim_network(cluster_sim(c));

	net->loss = loss;
	net->duplicate = disorder;
	net->reorder = disorder;
	net->reorder_us = 300 * USEC_PER_MSEC;
}

static void block_last_replica(void *ctx, void *data)
{
	struct fault_plan *p = data;

	sim_block(cluster_sim(ctx), (int)p->server, (int)(p->server + 2) % 3,
		  true);
}

static void request_move(struct cluster *c, unsigned home, unsigned server)
{
	struct failover *f = cluster_failover(c, home);
	struct err err = { 0 };

	if (f)
		failover_move(f, (int)server, sim_now(cluster_sim(c)), &err);
}

static void move_to_next(void *ctx, void *data)
{
	struct fault_plan *p = data;

	p->server = (p->server + 1) % 3;
	request_move(ctx, p->home, p->server);
	if (p->duration_us < MOVE_INTERVAL_US)
		return;
	p->duration_us -= MOVE_INTERVAL_US;
	sim_at(cluster_sim(ctx), SIM_NO_NODE, MOVE_INTERVAL_US, move_to_next,
	       ctx, g_memdup2(p, sizeof(*p)));
}

static void begin_fault(void *ctx, void *data)
{
	struct fault_plan *p = data;
	struct cluster *c = ctx;
	struct sim *sim = cluster_sim(c);
	unsigned i;

	switch (p->kind) {
	case FAULT_CRASH:
	case FAULT_CRASH_SILENT:
		cluster_crash_server(c, p->server,
				     p->kind == FAULT_CRASH_SILENT);
		break;
	case FAULT_ISOLATE:
		sim_isolate(sim, (int)p->server, true);
		break;
	case FAULT_SPLIT_FROM_SERVERS:
		split_from_nodes(c, p->server, 0, 3, true);
		break;
	case FAULT_SPLIT_FROM_HOMES:
		split_from_nodes(c, p->server, 3, SIM_MAX_NODES, true);
		break;
	case FAULT_ONE_WAY:
		sim_block(sim, (int)p->server, (int)p->other, true);
		break;
	case FAULT_ONE_WAY_BACK:
		sim_block(sim, (int)p->other, (int)p->server, true);
		break;
	case FAULT_SPLIT_ONE_BY_ONE:
		sim_block(sim, (int)p->server, (int)(p->server + 1) % 3, true);
		sim_at(sim, SIM_NO_NODE, p->duration_us / 4, block_last_replica,
		       c, g_memdup2(p, sizeof(*p)));
		break;
	case FAULT_PAUSE_SERVER:
		sim_pause(sim, (int)p->server, p->duration_us);
		break;
	case FAULT_PAUSE_HOME:
		sim_pause(sim, cluster_node(c, p->home), p->duration_us);
		break;
	case FAULT_CRASH_HOME:
		cluster_crash_home(c, p->home);
		break;
	case FAULT_LOSS:
		set_network_faults(c, 0.1, 0);
		break;
	case FAULT_DISORDER:
		set_network_faults(c, 0.05, 0.2);
		break;
	case FAULT_MOVES:
		move_to_next(c, p);
		break;
	case FAULT_CROSSED_MOVES:
		for (i = 0; i < CLUSTER_MAX_HOMES; i++)
			request_move(c, i, (p->server + i) % 3);
		break;
	case FAULT_LEAVING:
		fdb_set_leaving(cluster_db(c), p->server, true);
		break;
	default:
		break;
	}
}

static void end_fault(void *ctx, void *data)
{
	struct fault_plan *p = data;
	struct cluster *c = ctx;

	cluster_restart_server(c, p->server);
	cluster_restart_home(c, p->home);
	sim_isolate(cluster_sim(c), (int)p->server, false);
	if (p->kind == FAULT_LOSS || p->kind == FAULT_DISORDER)
		set_network_faults(c, 0, 0);
	fdb_set_leaving(cluster_db(c), p->server, false);
}

/*
 * Schedules a random fault. Half of them (and a third of the others) hit server
 * 0, the first primary; home -1 stands for a random home.
 */
static void plan_fault(struct history_run *run, uint64_t start_us, int home)
{
	struct fault_plan *p = g_new0(struct fault_plan, 1);
	struct sim *sim = cluster_sim(run->c);
	GRand *rng = run->rng;

	p->kind = (enum fault)pick(rng, FAULT_KINDS);
	if (run->preferred_fault >= 0 && pick(rng, 2))
		p->kind = (enum fault)run->preferred_fault;
	p->server = pick(rng, 2) ? 0 : pick(rng, 3);
	p->home = home >= 0 ? (unsigned)home : pick(rng, run->homes);
	p->other =
		(p->server + 1 + pick(rng, 2 + run->homes)) % (3 + run->homes);
	/* From 50 ms to about 3 s. */
	p->duration_us = (50 * USEC_PER_MSEC) << pick(rng, 7);
	sim_at(sim, SIM_NO_NODE, start_us, begin_fault, run->c, p);
	sim_at(sim, SIM_NO_NODE, start_us + p->duration_us, end_fault, run->c,
	       g_memdup2(p, sizeof(*p)));
}

/* Injects aimed faults: they start during a ballot. */
static void on_decision(void *ctx, unsigned home, const char *what,
			const char *detail)
{
	struct history_run *run = ctx;

	(void)detail;
	if (strcmp(what, "ballot") != 0 && strcmp(what, "promote") != 0)
		return;
	if (!run->aimed_left || pick(run->rng, 3) == 0)
		return;
	run->aimed_left--;
	plan_fault(run, pick(run->rng, AIMED_MAX_DELAY_US), (int)home);
}

/* Half of the runs use short timeouts, so that the homes interfere. */
static void vary_settings(struct cluster_settings *s, GRand *rng)
{
	struct failover_settings *f = &s->failover;

	s->n_homes = 2 + pick(rng, 2);
	s->write_interval_us = (5 + pick(rng, 40)) * USEC_PER_MSEC;
	s->network.jitter_us = pick(rng, 2) ? 200 : 3000;
	if (pick(rng, 2))
		return;
	f->probe_interval_us = 20 * USEC_PER_MSEC;
	f->call_timeout_us = 40 * USEC_PER_MSEC;
	f->suspect_after_us = 100 * USEC_PER_MSEC;
	f->refused_after_us = 30 * USEC_PER_MSEC;
	f->stalled_after_us = 150 * USEC_PER_MSEC;
	f->cut_off_after_us = 300 * USEC_PER_MSEC;
	f->rank_delay_us = pick(rng, 3) * (10 * USEC_PER_MSEC);
	f->backoff_us = 20 * USEC_PER_MSEC;
	f->damping_us = 50 * USEC_PER_MSEC;
}

/* Returns the first guarantee that the history violates, allocated, or NULL. */
static char *run_history(uint32_t seed, mutate_fn mutate, int preferred_fault)
{
	struct history_run run = { .aimed_left = MAX_AIMED_FAULTS,
				   .preferred_fault = preferred_fault };
	struct cluster_settings settings;
	struct cluster *c;
	uint64_t recent_from_at_us;
	char *violation = NULL;
	unsigned i, n;

	run.rng = g_rand_new_with_seed(seed ^ 0x5eed);
	cluster_settings_default(&settings);
	vary_settings(&settings, run.rng);
	run.homes = settings.n_homes;
	run.c = c = cluster_create(seed, &settings);
	cluster_set_decision(c, on_decision, &run);
	if (mutate)
		mutate(c);
	if (pick(run.rng, 4) == 0)
		set_network_faults(c, 0.05, 0.1);
	n = 1 + pick(run.rng, MAX_FAULTS);
	for (i = 0; i < n; i++)
		plan_fault(
			&run,
			(uint64_t)(g_rand_double(run.rng) * FAULTS_DURATION_US),
			-1);
	cluster_run_for(c, FAULTS_DURATION_US);
	run.aimed_left = 0;
	cluster_heal(c);
	set_network_faults(c, 0, 0);
	cluster_run_for(c, RECOVERY_US);
	recent_from_at_us = sim_now(cluster_sim(c)) - USEC_PER_SEC;
	cluster_stop_writes(c);
	cluster_run_for(c, SETTLING_US);
	if (cluster_check_end(c)[0])
		violation = g_strdup(cluster_violation(c));
	else if (cluster_last_ack_at_us(c) < recent_from_at_us && !mutate)
		violation = g_strdup("writes did not come back");
	cluster_destroy(c);
	g_rand_free(run.rng);
	return violation;
}

static unsigned from_environment(const char *name, unsigned fallback)
{
	const char *text = g_getenv(name);

	return text ? (unsigned)strtoul(text, NULL, 10) : fallback;
}

/*
 * An acknowledged write is lost or stored twice, or a write that was reported
 * as not run is stored. No sequence of crashes, partitions, pauses and lost or
 * reordered messages may cause this.
 */
START_TEST(test_histories_keep_all_guarantees)
{
	unsigned first = from_environment("CQ_FIRST_SEED", 1);
	unsigned n = from_environment("CQ_HISTORIES", HISTORIES);
	unsigned seed, failed = 0;
	char *violation;

	for (seed = first; seed < first + n; seed++) {
		violation = run_history(seed, NULL, -1);
		if (!violation)
			continue;
		failed++;
		printf("seed %u: %s\n", seed, violation);
		g_free(violation);
	}
	printf("%u histories, %u failed\n", n, failed);
	ck_assert_uint_eq(failed, 0);
}
END_TEST

/* Mutants: each switches one rule off at all homes or servers. */

#define GUARD_MUTANT(name)                                                     \
	static void no_##name(struct cluster *c)                               \
	{                                                                      \
		unsigned i;                                                    \
                                                                               \
		for (i = 0; cluster_failover(c, i); i++)                       \
			failover_guards(cluster_failover(c, i))->name = false; \
	}
#define SERVER_MUTANT(name)                             \
	static void no_##name(struct cluster *c)        \
	{                                               \
		fdb_rules(cluster_db(c))->name = false; \
	}
#define WRITER_MUTANT(name)                      \
	static void no_##name(struct cluster *c) \
	{                                        \
		cluster_rules(c)->name = false;  \
	}

GUARD_MUTANT(majority)
GUARD_MUTANT(own_grant)
GUARD_MUTANT(highest)
GUARD_MUTANT(new_term)
GUARD_MUTANT(rest_majority)
GUARD_MUTANT(move_highest)
SERVER_MUTANT(grants_once)
SERVER_MUTANT(follow_removes_tail)
WRITER_MUTANT(ack_needs_majority)
WRITER_MUTANT(ack_in_term)
WRITER_MUTANT(ack_before_grant)
WRITER_MUTANT(settle_needs_majority)
WRITER_MUTANT(settle_before_not_run)

/*
 * With the writer's rule ack_before_grant on, either of these server rules is
 * enough, so that rule is switched off together with one of them.
 */
static void no_fenced_commits_nothing(struct cluster *c)
{
	fdb_rules(cluster_db(c))->fenced_commits_nothing = false;
	no_ack_before_grant(c);
}

static void no_fenced_takes_no_log(struct cluster *c)
{
	fdb_rules(cluster_db(c))->fenced_takes_no_log = false;
	no_ack_before_grant(c);
}

static const struct {
	const char *name;
	mutate_fn mutate;
	int preferred_fault;
} mutants[] = {
	{ "majority", no_majority, -1 },
	{ "own_grant", no_own_grant, FAULT_CROSSED_MOVES },
	{ "highest", no_highest, -1 },
	{ "new_term", no_new_term, FAULT_ONE_WAY },
	{ "rest_majority", no_rest_majority, -1 },
	{ "move_highest", no_move_highest, FAULT_MOVES },
	{ "fenced_commits_nothing", no_fenced_commits_nothing, -1 },
	{ "grants_once", no_grants_once, FAULT_CROSSED_MOVES },
	{ "fenced_takes_no_log", no_fenced_takes_no_log, -1 },
	{ "follow_removes_tail", no_follow_removes_tail, -1 },
	{ "ack_needs_majority", no_ack_needs_majority, -1 },
	{ "ack_in_term", no_ack_in_term, -1 },
	{ "ack_before_grant", no_ack_before_grant, -1 },
	{ "settle_needs_majority", no_settle_needs_majority, -1 },
	{ "settle_before_not_run", no_settle_before_not_run, -1 },
};

/*
 * A check that passes without the rule that it covers proves nothing: with each
 * rule off, some history must violate a guarantee.
 */
START_TEST(test_checks_detect_each_missing_rule)
{
	unsigned n = from_environment("CQ_MUTANT_HISTORIES", MUTANT_HISTORIES);
	char *violation = NULL;
	unsigned seed;

	for (seed = 1; !violation && seed <= n; seed++)
		violation = run_history(seed, mutants[_i].mutate,
					mutants[_i].preferred_fault);
	printf("without %s: seed %u: %s\n", mutants[_i].name, seed - 1,
	       violation ? violation : "nothing noticed");
	ck_assert_ptr_nonnull(violation);
	g_free(violation);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("failover_histories");
	TCase *histories = tcase_create("histories");
	TCase *mutants_case = tcase_create("mutants");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(histories, 0);
	tcase_add_test(histories, test_histories_keep_all_guarantees);
	tcase_set_timeout(mutants_case, 0);
	tcase_add_loop_test(mutants_case, test_checks_detect_each_missing_rule,
			    0, G_N_ELEMENTS(mutants));
	suite_add_tcase(suite, histories);
	suite_add_tcase(suite, mutants_case);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
