#include "failover_internal.h"
#include "support_cluster.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define WARM_UP_US (2 * USEC_PER_SEC)

static struct cluster *start_cluster(const struct cluster_settings *settings)
{
	struct cluster *c = cluster_create(1, settings);

	cluster_run_for(c, WARM_UP_US);
	return c;
}

static struct cluster *start_default_cluster(unsigned homes)
{
	struct cluster_settings settings;

	cluster_settings_default(&settings);
	settings.n_homes = homes;
	return start_cluster(&settings);
}

static void heal_and_check(struct cluster *c)
{
	cluster_heal(c);
	cluster_run_for(c, 2 * USEC_PER_SEC);
	cluster_stop_writes(c);
	cluster_run_for(c, 5 * USEC_PER_SEC);
	ck_assert_str_eq(cluster_check_end(c), "");
	cluster_destroy(c);
}

static bool follows(struct cluster *c, unsigned server, unsigned primary)
{
	struct server_status st;

	fdb_status(cluster_db(c), server, &st);
	return st.role == ROLE_REPLICA && st.received &&
	       !strcmp(st.following, fdb_name(primary)) &&
	       st.received == fdb_log_length(cluster_db(c), primary);
}

/*
 * After a power failure all servers start as replicas. Unless a home promotes
 * one by itself, all writes are refused until an operator does.
 */
START_TEST(test_group_without_primary_gets_one)
{
	struct cluster_settings settings;
	struct cluster *c;

	cluster_settings_default(&settings);
	c = cluster_create_bare(1, &settings);
	cluster_run_for(c, 1 * USEC_PER_SEC);
	ck_assert_uint_eq(cluster_counts(c)->promotions, 1);
	ck_assert_uint_gt(cluster_counts(c)->acknowledged, 0);
	heal_and_check(c);
}
END_TEST

/*
 * The primary fails and must be replaced without an operator. If only its
 * process ended (case 0), the host refuses connections; if the host is down
 * (case 1), it does not answer at all. A refusal is detected sooner.
 */
START_TEST(test_dead_primary_is_replaced)
{
	struct cluster *c = start_default_cluster(2);
	uint64_t last_ack_at_us;

	cluster_crash_server(c, 0, _i == 1);
	cluster_run_for(c, _i == 1 ? 900 * MS : 800 * MS);
	ck_assert_uint_eq(cluster_counts(c)->promotions, 2);
	ck_assert_uint_eq(cluster_primary(c), 1);
	last_ack_at_us = cluster_last_ack_at_us(c);
	ck_assert_uint_gt(last_ack_at_us, sim_now(cluster_sim(c)) - 200 * MS);
	heal_and_check(c);
}
END_TEST

/*
 * An isolated primary returns after another server was promoted. It still acts
 * as primary, and its log has entries that were never acknowledged. It must
 * remove them and follow the new primary.
 */
START_TEST(test_old_primary_follows_when_it_returns)
{
	struct cluster *c = start_default_cluster(2);

	sim_isolate(cluster_sim(c), 0, true);
	cluster_run_for(c, 1500 * MS);
	ck_assert_uint_eq(cluster_primary(c), 1);
	ck_assert(fdb_can_write(cluster_db(c), 0));
	sim_isolate(cluster_sim(c), 0, false);
	cluster_run_for(c, 500 * MS);
	cluster_stop_writes(c);
	cluster_run_for(c, 500 * MS);
	ck_assert(follows(c, 0, 1));
	ck_assert(follows(c, 2, 1));
	heal_and_check(c);
}
END_TEST

/*
 * The network drops the primary's messages to its replicas, while the proxies
 * still reach it: every write waits for its majority until its deadline. The
 * primary can be replaced safely, as the replicas are a majority without it and
 * the entries that only it has were never acknowledged.
 */
START_TEST(test_primary_that_reaches_no_replica_is_replaced)
{
	struct cluster *c = start_default_cluster(2);

	sim_block(cluster_sim(c), 0, 1, true);
	sim_block(cluster_sim(c), 0, 2, true);
	cluster_run_for(c, 1500 * MS);
	ck_assert_uint_eq(cluster_counts(c)->promotions, 2);
	ck_assert_uint_ne(cluster_primary(c), 0);
	heal_and_check(c);
}
END_TEST

/*
 * The first home is cut off after the servers granted it a term and before it
 * promoted one. The grants fence them, so that they receive no log entries; the
 * second home must complete the failover.
 */
static void isolate_home_at_promote(void *ctx, unsigned home, const char *what,
				    const char *detail)
{
	(void)detail;
	if (home == 0 && !strcmp(what, "promote"))
		sim_isolate(cluster_sim(ctx), cluster_node(ctx, 0), true);
}

START_TEST(test_next_home_completes_an_abandoned_ballot)
{
	struct cluster *c = start_default_cluster(2);

	cluster_set_decision(c, isolate_home_at_promote, c);
	cluster_crash_server(c, 0, true);
	cluster_run_for(c, 2 * USEC_PER_SEC);
	ck_assert_uint_eq(cluster_counts(c)->promotions, 2);
	ck_assert_int_ge(failover_primary(cluster_failover(c, 1)), 1);
	heal_and_check(c);
}
END_TEST

/*
 * The target was promoted, but its answer is lost. Promoting a second server in
 * the same term would make two primaries of one term, so the next attempt must
 * take a new term.
 */
static void lose_promote_answer(void *ctx, unsigned home, const char *what,
				const char *detail)
{
	(void)home;
	(void)detail;
	if (!strcmp(what, "promote"))
		sim_block(cluster_sim(ctx), 1, cluster_node(ctx, 0), true);
	if (strcmp(what, "promote_lost") != 0)
		return;
	sim_block(cluster_sim(ctx), 1, cluster_node(ctx, 0), false);
	cluster_set_decision(ctx, NULL, NULL);
}

START_TEST(test_lost_answer_to_promotion_takes_new_term)
{
	struct cluster *c = start_default_cluster(1);

	cluster_set_decision(c, lose_promote_answer, c);
	cluster_crash_server(c, 0, true);
	cluster_run_for(c, 2 * USEC_PER_SEC);
	ck_assert_uint_eq(failover_term(cluster_failover(c, 0)), 3);
	heal_and_check(c);
}
END_TEST

/*
 * An operator moves the primary for maintenance. This must fail no caller's
 * write, and hold writes back for less than 300 ms.
 */
START_TEST(test_planned_move_fails_no_write)
{
	struct cluster *c = start_default_cluster(1);
	struct err err = { 0 };
	uint64_t now_us = sim_now(cluster_sim(c));

	ck_assert(failover_move(cluster_failover(c, 0), 2, now_us, &err));
	ck_assert(!failover_move(cluster_failover(c, 0), 1, now_us, &err));
	ck_assert_int_eq(err.code, ERR_CONFLICT);
	cluster_run_for(c, 1 * USEC_PER_SEC);
	ck_assert_uint_eq(cluster_primary(c), 2);
	ck_assert_uint_eq(cluster_counts(c)->not_run, 0);
	ck_assert_uint_lt(cluster_longest_hold_us(c), 300 * MS);
	heal_and_check(c);
}
END_TEST

/*
 * An operator requests a move from a home that has just started and has not
 * found the primary yet. The error must be ERR_NO_PRIMARY, not that another
 * move is in progress.
 */
START_TEST(test_move_before_primary_is_found_fails_with_no_primary)
{
	struct cluster_settings settings;
	struct err err = { 0 };
	struct cluster *c;

	cluster_settings_default(&settings);
	c = cluster_create(1, &settings);
	ck_assert(!failover_move(cluster_failover(c, 0), 2,
				 sim_now(cluster_sim(c)), &err));
	ck_assert_int_eq(err.code, ERR_NO_PRIMARY);
	cluster_run_for(c, WARM_UP_US);
	ck_assert(failover_move(cluster_failover(c, 0), 2,
				sim_now(cluster_sim(c)), &err));
	cluster_run_for(c, 1 * USEC_PER_SEC);
	ck_assert_uint_eq(cluster_primary(c), 2);
	heal_and_check(c);
}
END_TEST

/*
 * The target of a move receives no log entries. The move must be abandoned,
 * with the writes released and the old primary unchanged.
 */
START_TEST(test_move_to_stalled_target_is_abandoned)
{
	struct cluster *c = start_default_cluster(1);
	struct err err = { 0 };

	sim_block(cluster_sim(c), 0, 2, true);
	cluster_run_for(c, 200 * MS);
	ck_assert(failover_move(cluster_failover(c, 0), 2,
				sim_now(cluster_sim(c)), &err));
	cluster_run_for(c, 500 * MS);
	ck_assert_uint_eq(cluster_counts(c)->promotions, 1);
	ck_assert_uint_eq(cluster_counts(c)->grants, 0);
	ck_assert_uint_lt(cluster_longest_hold_us(c), 300 * MS);
	ck_assert_uint_eq(cluster_counts(c)->not_run, 0);
	heal_and_check(c);
}
END_TEST

/* The platform is about to stop the primary's VM: the primary must move. */
START_TEST(test_leaving_primary_hands_over)
{
	struct cluster *c = start_default_cluster(2);

	fdb_set_leaving(cluster_db(c), 0, true);
	cluster_run_for(c, 1 * USEC_PER_SEC);
	ck_assert_uint_ne(cluster_primary(c), 0);
	ck_assert_uint_eq(cluster_counts(c)->promotions, 2);
	heal_and_check(c);
}
END_TEST

/*
 * Events that must not cause a failover. Each case returns the number of
 * unneeded promotions (grants in home_cut_off and home_starved). With its guard
 * on that must be 0; with the guard off it must not, or the case tests nothing.
 */

/* The primary repeatedly pauses for 300 ms, with packet loss. */
static unsigned pauses_under_loss(bool guarded)
{
	struct cluster_settings settings;
	struct cluster *c;
	unsigned i, n;

	(void)guarded;
	cluster_settings_default(&settings);
	settings.network.loss = 0.01;
	settings.network.retransmit_us = 200 * MS;
	c = start_cluster(&settings);
	for (i = 0; guarded && i < 100; i++) {
		sim_pause(cluster_sim(c), 0, 300 * MS);
		cluster_run_for(c, 2 * USEC_PER_SEC);
	}
	/* No guard to switch off here; a long pause must cause a failover. */
	if (!guarded) {
		sim_pause(cluster_sim(c), 0, 1500 * MS);
		cluster_run_for(c, 2 * USEC_PER_SEC);
	}
	n = cluster_counts(c)->promotions - 1;
	cluster_destroy(c);
	return n;
}

/*
 * One connection goes silent for good while new ones work: calls sent within
 * 150 ms are lost, with a call timeout of 800 ms. So few unanswered probes must
 * not make the primary suspect.
 */
static unsigned silent_connection(bool guarded)
{
	struct cluster_settings settings;
	struct cluster *c;
	unsigned n;

	cluster_settings_default(&settings);
	settings.failover.call_timeout_us = 800 * MS;
	settings.write_interval_us = 0;
	settings.n_homes = 1;
	c = start_cluster(&settings);
	failover_guards(cluster_failover(c, 0))->min_probes = guarded;
	sim_block(cluster_sim(c), cluster_node(c, 0), 0, true);
	cluster_run_for(c, 150 * MS);
	sim_block(cluster_sim(c), cluster_node(c, 0), 0, false);
	cluster_run_for(c, 2 * USEC_PER_SEC);
	n = cluster_counts(c)->promotions - 1;
	cluster_destroy(c);
	return n;
}

/*
 * Only the first home's link to the primary is down, for 1 s. The replicas
 * still hear the primary.
 */
static unsigned own_link_down(bool guarded)
{
	struct cluster *c = start_default_cluster(2);
	unsigned n;

	failover_guards(cluster_failover(c, 0))->progress = guarded;
	sim_block(cluster_sim(c), cluster_node(c, 0), 0, true);
	cluster_run_for(c, 1000 * MS);
	sim_block(cluster_sim(c), cluster_node(c, 0), 0, false);
	cluster_run_for(c, 1 * USEC_PER_SEC);
	n = cluster_counts(c)->promotions - 1;
	cluster_destroy(c);
	return n;
}

/*
 * The home reaches only one replica, so that its ballot cannot win. A grant
 * would only fence that replica.
 */
static unsigned home_cut_off(bool guarded)
{
	struct cluster *c = start_default_cluster(1);
	unsigned n;

	failover_guards(cluster_failover(c, 0))->reachable = guarded;
	sim_block(cluster_sim(c), cluster_node(c, 0), 0, true);
	sim_block(cluster_sim(c), cluster_node(c, 0), 1, true);
	cluster_run_for(c, 3 * USEC_PER_SEC);
	n = cluster_counts(c)->grants;
	cluster_destroy(c);
	return n;
}

static void pause_target(void *ctx, unsigned home, const char *what,
			 const char *detail)
{
	(void)detail;
	if (home == 0 && !strcmp(what, "promote"))
		sim_pause(cluster_sim(ctx), 1, 150 * MS);
}

/*
 * The target of the first home's ballot pauses for 150 ms. The second home must
 * give that ballot time to end instead of starting its own.
 */
static unsigned slow_ballot(bool guarded)
{
	struct cluster_settings settings;
	struct cluster *c;
	unsigned n;

	cluster_settings_default(&settings);
	settings.failover.rank_delay_us = 120 * MS;
	settings.failover.call_timeout_us = 200 * MS;
	c = start_cluster(&settings);
	failover_guards(cluster_failover(c, 1))->foreign_ballot = guarded;
	cluster_set_decision(c, pause_target, c);
	cluster_crash_server(c, 0, true);
	cluster_run_for(c, 2 * USEC_PER_SEC);
	n = cluster_counts(c)->promotions - 2;
	cluster_destroy(c);
	return n;
}

/*
 * Each primary in turn is marked as leaving for 500 ms and then unmarked for
 * 600 ms. Promotions by choice must keep their minimum interval.
 */
static unsigned flapping_leaving_flag(bool guarded)
{
	struct cluster *c = start_default_cluster(1);
	unsigned i, n;

	failover_guards(cluster_failover(c, 0))->damping = guarded;
	for (i = 0; i < 8; i++) {
		n = cluster_primary(c);
		fdb_set_leaving(cluster_db(c), n, true);
		cluster_run_for(c, 500 * MS);
		fdb_set_leaving(cluster_db(c), n, false);
		cluster_run_for(c, 600 * MS);
	}
	n = cluster_counts(c)->promotions - 2;
	cluster_destroy(c);
	return n;
}

static unsigned grants_requested;

static void count_grant(void *ctx, unsigned server, uint64_t term,
			const char *holder)
{
	(void)ctx;
	(void)server;
	(void)term;
	(void)holder;
	grants_requested++;
}

static void ignore_probe(void *ctx, unsigned server)
{
	(void)ctx;
	(void)server;
}

static void ignore_follow(void *ctx, unsigned server, uint64_t term,
			  unsigned primary)
{
	(void)ctx;
	(void)server;
	(void)term;
	(void)primary;
}

static void ignore_decision(void *ctx, const char *what, const char *detail)
{
	(void)ctx;
	(void)what;
	(void)detail;
}

/*
 * The home's VM gets CPU time only for a moment every 250 ms, so that the
 * probes of all servers time out before their answers are read. The guard must
 * be enough even with the guard for reachable servers off.
 */
static unsigned home_starved(bool guarded)
{
	static const struct failover_ops ops = { .probe = ignore_probe,
						 .grant = count_grant,
						 .follow = ignore_follow,
						 .decision = ignore_decision };
	struct server_status st = { .term = 1,
				    .granted = 1,
				    .role = ROLE_PRIMARY };
	struct failover_settings settings;
	GRand *rng = g_rand_new_with_seed(1);
	struct failover *f;
	uint64_t now_us = USEC_PER_SEC;
	unsigned i;

	grants_requested = 0;
	failover_settings_default(&settings);
	f = failover_create(&settings, 3, "proxy-1/1", &ops, NULL, rng, now_us);
	failover_guards(f)->reachable = false;
	failover_guards(f)->own_pause = guarded;
	for (i = 0; i < 3; i++) {
		failover_on_status(f, i, CALL_PROBE, now_us, &st, now_us);
		st.role = ROLE_REPLICA;
	}
	for (i = 0; i < 8; i++) {
		now_us += 250 * MS;
		failover_tick(f, now_us);
	}
	failover_destroy(f);
	g_rand_free(rng);
	return grants_requested;
}

static const struct {
	const char *name;
	unsigned (*run)(bool guarded);
} no_failover_cases[] = {
	{ "pauses_under_loss", pauses_under_loss },
	{ "min_probes", silent_connection },
	{ "progress", own_link_down },
	{ "reachable", home_cut_off },
	{ "foreign_ballot", slow_ballot },
	{ "damping", flapping_leaving_flag },
	{ "own_pause", home_starved },
};

START_TEST(test_no_unneeded_failover)
{
	ck_assert_msg(no_failover_cases[_i].run(true) == 0,
		      "%s: unneeded promotion or grant",
		      no_failover_cases[_i].name);
	ck_assert_msg(no_failover_cases[_i].run(false) > 0,
		      "%s: without the guard neither promotion nor grant",
		      no_failover_cases[_i].name);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("failover");

	tcase_add_test(tc, test_group_without_primary_gets_one);
	tcase_add_loop_test(tc, test_dead_primary_is_replaced, 0, 2);
	tcase_add_test(tc, test_old_primary_follows_when_it_returns);
	tcase_add_test(tc, test_primary_that_reaches_no_replica_is_replaced);
	tcase_add_test(tc, test_next_home_completes_an_abandoned_ballot);
	tcase_add_test(tc, test_lost_answer_to_promotion_takes_new_term);
	tcase_add_test(tc, test_planned_move_fails_no_write);
	tcase_add_test(tc,
		       test_move_before_primary_is_found_fails_with_no_primary);
	tcase_add_test(tc, test_move_to_stalled_target_is_abandoned);
	tcase_add_test(tc, test_leaving_primary_hands_over);
	tcase_add_loop_test(tc, test_no_unneeded_failover, 0,
			    G_N_ELEMENTS(no_failover_cases));
	return suite_main("failover", tc);
}
