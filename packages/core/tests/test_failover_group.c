/*
 * Seeded histories of struct group (reads, writes, long transactions, two
 * homes) with faults injected during the steps of its failover, and with
 * timeouts so short that the homes interfere with each other. Then each of
 * failover's rules is switched off in turn, and the same checks must fail.
 *
 * CQ_GROUP_HISTORIES sets the number of seeds, CQ_FIRST_SEED the first one.
 */
#include "failover_internal.h"
#include "support_history.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define HISTORIES 20
#define MUTANT_HISTORIES 60
#define HISTORY_SECONDS 10 /* of each history, with faults */
#define POLL_US 250 /* interval at which the homes' failover is polled */
#define HOMES 2
#define SERVERS 3
#define MAX_TERMS 4096 /* two primaries of a later term are not detected */
#define MOVE_INTERVAL_US (150 * USEC_PER_MSEC)

typedef void (*mutate_fn)(struct failover_guards *guards);

/* A history with faults aimed at the steps of the failover. */
struct aimed_history {
	struct rig *rig;
	GRand *rng;
	mutate_fn mutate; /* switches a rule off, NULL: none */
	bool short_timeouts; /* the homes have short timeouts */
	bool moves; /* planned moves are requested */
	uint64_t until_us; /* end of the aimed faults and moves */
	/* The homes' failovers and their phases at the last poll. */
	const struct failover *last_failover[HOMES];
	enum failover_phase last_phase[HOMES];
	int leader[MAX_TERMS]; /* server + 1, by term; 0: no primary */
	char violation[100]; /* the last term with two primaries, "": none */
};

static unsigned pick(struct aimed_history *a, unsigned n)
{
	return (unsigned)g_rand_int_range(a->rng, 0, (gint32)n);
}

static void on_promoted(void *ctx, unsigned server, uint64_t term)
{
	struct aimed_history *a = ctx;

	if (term >= MAX_TERMS)
		return;
	if (a->leader[term] && a->leader[term] != (int)server + 1)
		g_snprintf(a->violation, sizeof(a->violation),
			   "two primaries of term %" PRIu64, term);
	a->leader[term] = (int)server + 1;
}

static void set_short_timeouts(struct failover *f)
{
	f->settings.probe_interval_us = 20 * USEC_PER_MSEC;
	f->settings.suspect_after_us = 120 * USEC_PER_MSEC;
	f->settings.call_timeout_us = 50 * USEC_PER_MSEC;
	f->settings.refused_after_us = 40 * USEC_PER_MSEC;
	f->settings.stalled_after_us = 150 * USEC_PER_MSEC;
	f->settings.cut_off_after_us = 300 * USEC_PER_MSEC;
	f->settings.rank_delay_us = 0;
	f->settings.backoff_us = 20 * USEC_PER_MSEC;
	f->settings.damping_us = 50 * USEC_PER_MSEC;
}

static void prepare(struct aimed_history *a, struct failover *f)
{
	if (a->short_timeouts)
		set_short_timeouts(f);
	if (a->mutate)
		a->mutate(&f->guards);
}

/* A blocked link that is to be restored. */
struct link_restore {
	struct aimed_history *a;
	int from;
	int to;
};

static void restore_link(void *ctx, void *data)
{
	struct aimed_history *a = ctx;
	struct link_restore *m = data;

	sim_block(rig_sim(a->rig), m->from, m->to, false);
}

static void block_link(struct aimed_history *a, int from, int to)
{
	struct sim *sim = rig_sim(a->rig);
	struct link_restore m = { .a = a, .from = from, .to = to };

	sim_block(sim, from, to, true);
	sim_at(sim, SIM_NO_NODE, (20 + pick(a, 400)) * USEC_PER_MSEC,
	       restore_link, a, g_memdup2(&m, sizeof(m)));
}

/* Blocks the link from a primary to its second replica. */
static void block_second_replica(void *ctx, void *data)
{
	unsigned server = *(unsigned *)data;

	block_link(ctx, (int)server, (int)(server + 2) % 3);
}

/* Injects a fault during a ballot of the home whose index is in data. */
static void inject_fault(void *ctx, void *data)
{
	struct aimed_history *a = ctx;
	struct sim *sim = rig_sim(a->rig);
	unsigned server = pick(a, SERVERS);
	int node = rig_node(a->rig, *(unsigned *)data);

	switch (pick(a, 7)) {
	case 0:
		sim_pause(sim, node, (50 + pick(a, 600)) * USEC_PER_MSEC);
		break;
	case 1:
		sim_pause(sim, (int)server,
			  (50 + pick(a, 400)) * USEC_PER_MSEC);
		break;
	case 2:
		block_link(a, (int)server, node);
		break;
	case 3:
		block_link(a, node, (int)server);
		break;
	case 4:
		block_link(a, (int)server, (int)(server + 1 + pick(a, 2)) % 3);
		break;
	case 5:
		server = rig_primary(a->rig);
		block_link(a, (int)server, (int)(server + 1) % 3);
		sim_at(sim, SIM_NO_NODE, pick(a, 200) * USEC_PER_MSEC,
		       block_second_replica, a,
		       g_memdup2(&server, sizeof(server)));
		break;
	default:
		break;
	}
}

static void poll_failovers(void *ctx, void *data)
{
	struct aimed_history *a = ctx;
	struct group *g;
	struct failover *f;
	unsigned i;

	(void)data;
	for (i = 0; i < HOMES; i++) {
		g = rig_group(a->rig, i);
		f = g ? g->failover : NULL;
		if (f && f != a->last_failover[i])
			prepare(a, f);
		a->last_failover[i] = f;
		if (f && f->phase != a->last_phase[i] &&
		    (f->phase == FAILOVER_GRANT ||
		     f->phase == FAILOVER_PROMOTE) &&
		    pick(a, 2))
			sim_at(rig_sim(a->rig), SIM_NO_NODE, pick(a, 3000),
			       inject_fault, a, g_memdup2(&i, sizeof(i)));
		if (f)
			a->last_phase[i] = f->phase;
	}
	if (sim_now(rig_sim(a->rig)) < a->until_us)
		sim_at(rig_sim(a->rig), SIM_NO_NODE, POLL_US, poll_failovers, a,
		       NULL);
}

/* Requests planned moves, sometimes at both homes at once. */
static void request_moves(void *ctx, void *data)
{
	struct aimed_history *a = ctx;
	struct sim *sim = rig_sim(a->rig);
	unsigned first = pick(a, SERVERS);
	struct err err = { 0 };
	struct group *g;
	unsigned i;

	(void)data;
	for (i = 0; i < HOMES; i++) {
		g = rig_group(a->rig, i);
		if (g && pick(a, 2))
			group_move_primary(g, fdb_name((first + i) % SERVERS),
					   sim_now(sim), &err);
	}
	if (sim_now(sim) < a->until_us)
		sim_at(sim, SIM_NO_NODE, MOVE_INTERVAL_US, request_moves, a,
		       NULL);
}

/* Runs one history. Returns a violated guarantee or "", newly allocated. */
static char *run_history(uint32_t seed, mutate_fn mutate, bool moves)
{
	struct history_run *h = history_run_create(seed);
	struct aimed_history a = { .rig = history_run_rig(h),
				   .mutate = mutate };
	char *violation;

	a.rng = g_rand_new_with_seed(seed ^ 0xa13);
	a.short_timeouts = pick(&a, 4) != 0;
	a.moves = pick(&a, 3) == 0 || moves;
	a.until_us = sim_now(rig_sim(a.rig)) + HISTORY_SECONDS * USEC_PER_SEC;
	fdb_set_promoted(rig_db(a.rig), on_promoted, &a);
	poll_failovers(&a, NULL);
	if (a.moves)
		request_moves(&a, NULL);
	violation = g_strdup(history_run_check(h, HISTORY_SECONDS));
	if (a.violation[0]) {
		g_free(violation);
		violation = g_strdup(a.violation);
	}
	history_run_destroy(h);
	g_rand_free(a.rng);
	return violation;
}

static unsigned from_environment(const char *name, unsigned fallback)
{
	const char *text = g_getenv(name);

	return text ? (unsigned)strtoul(text, NULL, 10) : fallback;
}

/*
 * The primary fails after a write was acknowledged, and further faults hit the
 * failover itself. In any combination of them, an acknowledged write must be
 * stored exactly once, and one that was reported as not run must not be stored.
 */
START_TEST(test_group_keeps_guarantees_with_aimed_faults)
{
	unsigned first = from_environment("CQ_FIRST_SEED", 1);
	unsigned n = from_environment("CQ_GROUP_HISTORIES", HISTORIES);
	unsigned seed, failed = 0;
	char *violation;

	for (seed = first; seed < first + n; seed++) {
		violation = run_history(seed, NULL, false);
		if (violation[0]) {
			failed++;
			printf("seed %u: %s\n", seed, violation);
		}
		g_free(violation);
	}
	printf("%u histories of the group, %u failed\n", n, failed);
	ck_assert_uint_eq(failed, 0);
}
END_TEST

/* Mutants: each switches one of failover's rules off. */

#define MUTANT(name)                                     \
	static void no_##name(struct failover_guards *g) \
	{                                                \
		g->name = false;                         \
	}

MUTANT(majority)
MUTANT(own_grant)
MUTANT(highest)
MUTANT(new_term)
MUTANT(rest_majority)
MUTANT(move_highest)

static const struct {
	const char *name;
	mutate_fn mutate;
	bool moves;
} mutants[] = {
	{ "majority", no_majority, false },
	{ "own_grant", no_own_grant, true },
	{ "highest", no_highest, false },
	{ "new_term", no_new_term, false },
	{ "rest_majority", no_rest_majority, false },
	{ "move_highest", no_move_highest, true },
};

/*
 * A check that passes without the rule that it covers proves nothing: with each
 * rule off, some history must violate a guarantee.
 */
START_TEST(test_checks_detect_each_missing_rule)
{
	unsigned n = from_environment("CQ_MUTANT_HISTORIES", MUTANT_HISTORIES);
	char *violation = g_strdup("");
	unsigned seed;

	for (seed = 1; !violation[0] && seed <= n; seed++) {
		g_free(violation);
		violation = run_history(seed, mutants[_i].mutate,
					mutants[_i].moves);
	}
	printf("without %s: seed %u: %s\n", mutants[_i].name, seed - 1,
	       violation);
	ck_assert_str_ne(violation, "");
	g_free(violation);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("failover_group");
	TCase *histories = tcase_create("histories");
	TCase *mutants_case = tcase_create("mutants");
	SRunner *runner = srunner_create(suite);
	int failed;

	tcase_set_timeout(histories, 0);
	tcase_set_timeout(mutants_case, 0);
	tcase_add_test(histories,
		       test_group_keeps_guarantees_with_aimed_faults);
	tcase_add_loop_test(mutants_case, test_checks_detect_each_missing_rule,
			    0, G_N_ELEMENTS(mutants));
	suite_add_tcase(suite, histories);
	suite_add_tcase(suite, mutants_case);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
