#include "support_group.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

/* Reads while replicas lag, lose entries that they had, or are cut off. */

static const struct position nothing = { 0, 0 };

static struct rig *create_rig(unsigned n_homes)
{
	struct rig_settings s;
	struct rig *r;

	rig_settings_default(&s);
	s.n_homes = n_homes;
	r = rig_create(1, &s);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	return r;
}

static struct rig_call *wait_done(struct rig_call *c)
{
	ck_assert(rig_wait(c->rig, c, 6 * USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	return c;
}

/*
 * A session writes through one proxy and reads through another while both
 * replicas lag by a second. The read must contain the write.
 */
START_TEST(session_reads_own_write_past_lagging_replicas)
{
	struct rig *r = create_rig(2);
	struct rig_call *w, *c;
	uint64_t trip;

	fdb_set_lag(rig_db(r), 1, USEC_PER_SEC);
	fdb_set_lag(rig_db(r), 2, USEC_PER_SEC);
	for (trip = 1; trip < 20; trip++) {
		w = wait_done(rig_write(r, 0, trip));
		c = wait_done(rig_read(r, 1, 60 * USEC_PER_SEC, w->seen));
		ck_assert(rig_result_contains(c, trip));
	}
	rig_destroy(r);
}
END_TEST

/*
 * Reads with a maximum age of 300 ms must not be served by a replica that lags
 * by more than that.
 */
START_TEST(stale_replica_is_skipped)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;
	uint64_t trip;

	fdb_set_lag(rig_db(r), 1, 700 * USEC_PER_MSEC);
	for (trip = 1; trip < 30; trip++) {
		wait_done(rig_write(r, 0, trip));
		rig_run_for(r, 50 * USEC_PER_MSEC);
		c = wait_done(rig_read(r, 0, 300 * USEC_PER_MSEC, nothing));
		ck_assert_uint_le(c->age_us, 300 * USEC_PER_MSEC);
		if (trip > 20)
			ck_assert_str_ne(c->server, fdb_name(1));
	}
	rig_destroy(r);
}
END_TEST

/*
 * A partition leaves the proxy with one replica, so nothing confirms any more
 * how old its data is. The age must grow from the last confirmation, and reads
 * that allow less must not run. Without news the replica must not look fresh.
 */
START_TEST(replica_without_confirmation_becomes_stale)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;

	sim_block(rig_sim(r), rig_node(r, 0), 0, true);
	sim_block(rig_sim(r), rig_node(r, 0), 2, true);
	rig_run_for(r, 2 * USEC_PER_SEC);
	c = rig_read(r, 0, 5 * USEC_PER_SEC, nothing);
	wait_done(c);
	ck_assert_uint_ge(c->age_us, 1800 * USEC_PER_MSEC);
	c = rig_read(r, 0, USEC_PER_SEC, nothing);
	rig_wait(r, c, 6 * USEC_PER_SEC);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	rig_destroy(r);
}
END_TEST

/*
 * A read was queued for a replica that qualified at the time. When the read is
 * to start, the replica's data is too old or behind the session's position, so
 * the read must not run there.
 */
START_TEST(bounds_are_checked_when_the_read_starts)
{
	struct rig *r = create_rig(1);
	struct group *g = rig_group(r, 0);
	struct rig_call *w = wait_done(rig_write(r, 0, 7));
	struct rig_call *c = rig_call(r, 0, ACCESS_READ, 0);
	struct server *s = group_server(g, 1);
	uint64_t now_us;
	struct run *run;

	rig_run_for(r, 300 * USEC_PER_MSEC);
	now_us = sim_now(rig_sim(r));
	c->profile.max_age_us = 200 * USEC_PER_MSEC;
	c->request->seen = w->seen;
	run = run_create(g, &read_type, c->request, &c->profile, 100, NULL,
			 NULL, now_us);
	ck_assert(read_may_run(run, s, now_us));
	run->arrived_us = now_us + 400 * USEC_PER_MSEC;
	ck_assert(!read_may_run(run, s, now_us + 500 * USEC_PER_MSEC));
	group_test_guards(g)->check_age = false;
	ck_assert(read_may_run(run, s, now_us + 500 * USEC_PER_MSEC));
	group_test_guards(g)->check_age = true;
	c->request->seen.index += 100;
	ck_assert(!read_may_run(run, s, now_us));
	run_answer(run, answer_error(ERR_DEADLINE, "not sent"));
	g_queue_unlink(&g->runs[RUN_ANSWERED], &run->link);
	g_hash_table_remove(g->by_request, run->request);
	run_destroy(run);
	rig_destroy(r);
}
END_TEST

/*
 * A replica is rebuilt from an old copy between the routing decision and the
 * statement, and its connection survives that. Without the check of the
 * position that was read, the session would miss data that it has seen before.
 */
START_TEST(position_going_back_is_detected)
{
	struct rig *r = create_rig(1);
	struct group *g = rig_group(r, 0);
	struct rig_call *w = wait_done(rig_write(r, 0, 7));
	struct rig_call *c = rig_call(r, 0, ACCESS_READ, 0);
	struct server *s = group_server(g, 1);
	struct position p = w->seen;
	struct run *run;

	rig_run_for(r, 300 * USEC_PER_MSEC);
	c->request->seen = w->seen;
	run = run_create(g, &read_type, c->request, &c->profile, 100, NULL,
			 NULL, sim_now(rig_sim(r)));
	read_record_start_position(run, s);
	ck_assert(read_check_position(run, s, p));
	p.index--;
	ck_assert(!read_check_position(run, s, p));
	c->request->seen = nothing;
	ck_assert(!read_check_position(run, s, p));
	p = w->seen;
	p.term++;
	ck_assert(!read_check_position(run, s, p));
	group_test_guards(g)->check_read_position = false;
	ck_assert(read_check_position(run, s, p));
	run_answer(run, answer_error(ERR_DEADLINE, "not sent"));
	g_queue_unlink(&g->runs[RUN_ANSWERED], &run->link);
	g_hash_table_remove(g->by_request, run->request);
	run_destroy(run);
	rig_destroy(r);
}
END_TEST

/* Cuts the primary off from its replicas; the home still reaches all three. */
static void cut_off_primary(struct rig *r)
{
	int i;

	for (i = 1; i < 3; i++) {
		sim_block(rig_sim(r), 0, i, true);
		sim_block(rig_sim(r), i, 0, true);
	}
}

/*
 * A read at the primary sees a write that no replica has. If the primary is
 * lost, so is the write, and the session's position is in no server's history
 * any more. So the answer waits a limited time for a majority to have what the
 * read saw.
 */
START_TEST(primary_read_waits_for_majority)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;

	cut_off_primary(r);
	rig_write(r, 0, 7);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	c = rig_read(r, 0, 0, nothing);
	rig_run_for(r, 100 * USEC_PER_MSEC);
	ck_assert_uint_eq(c->answers, 0);
	sim_heal(rig_sim(r));
	wait_done(c);
	ck_assert(rig_result_contains(c, 7));
	ck_assert(fresh_is_durable(group_fresh(rig_group(r, 0)), c->seen));
	rig_destroy(r);

	r = create_rig(1);
	group_test_guards(rig_group(r, 0))->confirm_reads = false;
	cut_off_primary(r);
	rig_write(r, 0, 7);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	c = wait_done(rig_read(r, 0, 0, nothing));
	ck_assert(rig_result_contains(c, 7));
	ck_assert(!fresh_is_durable(group_fresh(rig_group(r, 0)), c->seen));
	rig_destroy(r);
}
END_TEST

/*
 * A replica's process crashes during a read. Reads change nothing, so the read
 * is retried at another server within its deadline.
 */
START_TEST(read_is_retried_when_its_server_crashes)
{
	struct rig *r = create_rig(1);
	struct rig_call *calls[20];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		calls[i] = rig_read(r, 0, 5 * USEC_PER_SEC, nothing);
		if (i == 10)
			fake_sql_crash(rig_sql(r), 1, false);
		rig_run_for(r, USEC_PER_MSEC / 2);
	}
	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		wait_done(calls[i]);
		ck_assert_uint_lt(calls[i]->answered_us - calls[i]->sent_us,
				  USEC_PER_SEC);
	}
	rig_destroy(r);
}
END_TEST

/* A session whose position was lost in a failover gets that error at once. */
START_TEST(lost_history_is_reported)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;

	fake_sql_crash(rig_sql(r), 0, false);
	rig_run_for(r, 5 * USEC_PER_SEC);
	c = rig_read(r, 0, 5 * USEC_PER_SEC, (struct position){ 1, 50 });
	ck_assert(rig_wait(r, c, 50 * USEC_PER_MSEC));
	ck_assert_int_eq(c->code, ERR_LOST_HISTORY);
	rig_destroy(r);
}
END_TEST

/*
 * A read waits for a slot of a replica that gets nothing from the primary any
 * more. The age in the answer must include the time in the queue, or the caller
 * takes the data for younger than it is.
 */
START_TEST(reported_age_includes_queueing)
{
	struct rig *r = create_rig(1);
	struct rig_call *c[8];
	uint64_t cut_at_us;
	unsigned i;

	cut_off_primary(r);
	cut_at_us = sim_now(rig_sim(r));
	rig_run_for(r, 10 * USEC_PER_MSEC);
	rig_write(r, 0, 7);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	for (i = 0; i < G_N_ELEMENTS(c); i++) {
		c[i] = rig_call(r, 0, ACCESS_READ, 0);
		rig_add(c[i], "SLOW $1", 100000);
		rig_add(c[i], "READ", 0);
		c[i]->profile.max_age_us = 5 * USEC_PER_SEC;
		rig_send(c[i]);
	}
	for (i = 0; i < G_N_ELEMENTS(c); i++) {
		wait_done(c[i]);
		if (rig_result_contains(c[i], 7))
			continue;
		/* The age is that at the statement's start, 100 ms ago. */
		ck_assert_uint_ge(c[i]->age_us + 150 * USEC_PER_MSEC,
				  c[i]->answered_us - cut_at_us);
	}
	rig_destroy(r);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("reads");

	tcase_add_test(t, session_reads_own_write_past_lagging_replicas);
	tcase_add_test(t, stale_replica_is_skipped);
	tcase_add_test(t, replica_without_confirmation_becomes_stale);
	tcase_add_test(t, bounds_are_checked_when_the_read_starts);
	tcase_add_test(t, position_going_back_is_detected);
	tcase_add_test(t, primary_read_waits_for_majority);
	tcase_add_test(t, read_is_retried_when_its_server_crashes);
	tcase_add_test(t, lost_history_is_reported);
	tcase_add_test(t, reported_age_includes_queueing);
	return suite_main("group_reads", t);
}
