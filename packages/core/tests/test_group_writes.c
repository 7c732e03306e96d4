#include "support_group.h"

#include <celeryquay/suite.h>
#include <stdlib.h>

/* Writes under failures: the outcome in each answer must be true. */

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

static struct group_guards *guards(struct rig *r, unsigned home)
{
	return group_test_guards(rig_group(r, home));
}

/*
 * The server commits a write, and its answer is lost with the connection. The
 * write is stored, so "not run" would be false, and a second try would store it
 * twice.
 */
START_TEST(lost_commit_answer_is_settled)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;

	fake_sql_lose_commit_replies(rig_sql(r), 0, 1);
	c = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, c, 5 * USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	ck_assert_uint_eq(group_counts(rig_group(r, 0))->settled_done, 1);

	guards(r, 0)->settle = false;
	fake_sql_lose_commit_replies(rig_sql(r), 0, 1);
	c = rig_write(r, 0, 8);
	ck_assert(rig_wait(r, c, 5 * USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 8), 1);
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
 * A partition cuts the primary off from its replicas, but it still believes
 * that it leads and commits. Then a replica is promoted, and what the old
 * primary has committed is lost. The write must not have been answered "done".
 */
START_TEST(isolated_primary_acknowledges_nothing)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;

	cut_off_primary(r);
	c = rig_write(r, 0, 7);
	rig_run_for(r, 20 * USEC_PER_MSEC);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	ck_assert_uint_eq(c->answers, 0);
	ck_assert(rig_wait(r, c, 6 * USEC_PER_SEC));
	ck_assert_uint_ne(rig_primary(r), 0);
	ck_assert_int_eq(c->code, ERR_SETTLED_NOT_RUN);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), rig_primary(r), 7), 0);
	rig_destroy(r);

	r = create_rig(1);
	guards(r, 0)->confirm_writes = false;
	cut_off_primary(r);
	c = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	rig_run_for(r, 5 * USEC_PER_SEC);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), rig_primary(r), 7), 0);
	rig_destroy(r);
}
END_TEST

/*
 * Both replicas are down. A write would run and its outcome be unknown, since
 * no majority can have it, so it must be refused at once, before it runs.
 */
START_TEST(write_without_majority_is_refused_early)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;

	fake_sql_crash(rig_sql(r), 1, false);
	fake_sql_crash(rig_sql(r), 2, false);
	rig_run_for(r, 3 * USEC_PER_SEC);
	c = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, c, 50 * USEC_PER_MSEC));
	ck_assert_int_eq(c->code, ERR_NO_MAJORITY);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_uint_gt(c->retry_after_us, 0);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 0);
	rig_destroy(r);
}
END_TEST

/*
 * A repeated write finds the first one's outcome row on a primary that is cut
 * off from its replicas. The row may be lost with the primary, so the outcome
 * must not be answered before a majority has the row.
 */
START_TEST(repeated_write_waits_for_majority)
{
	struct rig *r = create_rig(1);
	struct rig_call *first, *again;

	cut_off_primary(r);
	first = rig_write(r, 0, 7);
	rig_run_for(r, 20 * USEC_PER_MSEC);
	again = rig_write(r, 0, 7);
	rig_run_for(r, 20 * USEC_PER_MSEC);
	ck_assert_uint_eq(again->answers, 0);
	guards(r, 0)->confirm_repeats = false;
	again = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, again, 20 * USEC_PER_MSEC));
	ck_assert_int_eq(again->outcome, OUTCOME_DONE);
	ck_assert_uint_eq(first->answers, 0);
	rig_destroy(r);
}
END_TEST

/*
 * The primary's process crashes while writes arrive. They must wait for the
 * next primary instead of failing, as long as their deadlines allow.
 */
START_TEST(writes_wait_for_the_next_primary)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;

	fake_sql_crash(rig_sql(r), 0, false);
	rig_run_for(r, 100 * USEC_PER_MSEC);
	c = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, c, 5 * USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert_uint_ne(rig_primary(r), 0);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), rig_primary(r), 7), 1);
	ck_assert_uint_eq(group_counts(rig_group(r, 0))->promotions, 1);
	rig_destroy(r);
}
END_TEST

/*
 * A caller's statement would end the transaction by itself, and the others
 * would be stored although the answer says "rolled back". Such a request must
 * be refused before anything is run.
 */
START_TEST(transaction_control_is_refused)
{
	struct rig *r = create_rig(1);
	struct rig_call *c = rig_call(r, 0, ACCESS_WRITE, 7);

	rig_add(c, "WRITE $1", 7);
	rig_add(c, " -- a comment\n/* another */ ; commit", 0);
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->code, ERR_TRANSACTION_CONTROL);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);

	guards(r, 0)->refuse_control = false;
	c = rig_call(r, 0, ACCESS_WRITE, 8);
	rig_add(c, "WRITE $1", 8);
	rig_add(c, "COMMIT", 0);
	rig_add(c, "FAIL", 0);
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 8), 1);
	rig_destroy(r);
}
END_TEST

/*
 * A statement commits although its first word does not show it. A part of the
 * transaction is stored, so "done" would be as false as "not run".
 */
START_TEST(split_transaction_is_detected)
{
	struct rig *r = create_rig(1);
	struct rig_call *c = rig_call(r, 0, ACCESS_WRITE, 7);

	rig_add(c, "WRITE $1", 7);
	rig_add(c, "SNEAK", 0);
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);

	c = rig_call(r, 0, ACCESS_WRITE, 9);
	rig_add(c, "WRITE $1", 9);
	rig_add(c, "SNEAK", 0);
	rig_add(c, "FAIL", 0);
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 9), 1);
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);

	guards(r, 0)->check_split = false;
	c = rig_call(r, 0, ACCESS_WRITE, 10);
	rig_add(c, "WRITE $1", 10);
	rig_add(c, "SNEAK", 0);
	rig_add(c, "FAIL", 0);
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_ROLLED_BACK);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 10), 1);
	rig_destroy(r);
}
END_TEST

/* A write at home 0, sent again to home 1 when home 0 does not answer. */
static struct rig_call *resend_past_paused_home(struct rig *r,
						struct rig_call **first)
{
	struct rig_call *again;

	*first = rig_call(r, 0, ACCESS_WRITE, 7);
	rig_add(*first, "SLOW $1", 50000);
	rig_add(*first, "WRITE $1", 7);
	rig_send(*first);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	sim_pause(rig_sim(r), rig_node(r, 0), 1500 * USEC_PER_MSEC);
	rig_run_for(r, 400 * USEC_PER_MSEC);
	again = rig_call(r, 1, ACCESS_WRITE, 7);
	rig_add(again, "WRITE $1", 7);
	again->request->resend = true;
	again->request->deadline_left_us = 600 * USEC_PER_MSEC;
	rig_send(again);
	rig_run_for(r, 5 * USEC_PER_SEC);
	return again;
}

/*
 * A proxy is paused in the middle of a write, whose claim of the key blocks the
 * resent write at the next proxy until that one's deadline. If the resent write
 * were answered "rolled back", the first could still commit after the pause.
 */
START_TEST(refusal_of_a_resent_write_is_settled)
{
	struct rig *r = create_rig(2);
	struct rig_call *first, *again = resend_past_paused_home(r, &first);

	ck_assert_uint_eq(again->answers, 1);
	if (fake_count_trip(rig_sql(r), rig_primary(r), 7))
		ck_assert(again->outcome == OUTCOME_UNKNOWN ||
			  again->outcome == OUTCOME_DONE);
	rig_destroy(r);

	r = create_rig(2);
	guards(r, 1)->settle_resends = false;
	again = resend_past_paused_home(r, &first);
	ck_assert_int_eq(again->outcome, OUTCOME_ROLLED_BACK);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), rig_primary(r), 7), 1);
	rig_destroy(r);
}
END_TEST

/* Another proxy asks for the outcome of a write that it had sent here. */
START_TEST(settle_request_returns_done_or_not_run)
{
	struct rig *r = create_rig(1);
	struct rig_call *w = rig_write(r, 0, 7);
	struct rig_call *done = rig_call(r, 0, ACCESS_WRITE, 7);
	struct rig_call *not_run = rig_call(r, 0, ACCESS_WRITE, 8);

	ck_assert(rig_wait(r, w, USEC_PER_SEC));
	done->request->kind = REQUEST_SETTLE;
	rig_send(done);
	not_run->request->kind = REQUEST_SETTLE;
	rig_send(not_run);
	ck_assert(rig_wait(r, done, USEC_PER_SEC));
	ck_assert(rig_wait(r, not_run, USEC_PER_SEC));
	ck_assert_int_eq(done->outcome, OUTCOME_DONE);
	ck_assert(done->repeated);
	ck_assert_int_eq(not_run->code, ERR_SETTLED_NOT_RUN);
	w = rig_write(r, 0, 8);
	ck_assert(rig_wait(r, w, USEC_PER_SEC));
	ck_assert_int_eq(w->code, ERR_SETTLED_NOT_RUN);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 8), 0);
	rig_destroy(r);
}
END_TEST

/*
 * The proxy is cut off from every server after it has sent the commit, so it
 * cannot find out the outcome. The caller must get the unknown outcome at its
 * deadline and not later.
 */
START_TEST(unknown_outcome_is_answered_by_the_deadline)
{
	struct rig *r = create_rig(1);
	struct rig_call *c = rig_write(r, 0, 7);

	while (!rig_group(r, 0)->runs[RUN_COMMITTING].length)
		rig_run_for(r, 100);
	sim_isolate(rig_sim(r), rig_node(r, 0), true);
	rig_run_for(r, 6 * USEC_PER_SEC);
	ck_assert_uint_eq(c->answers, 1);
	ck_assert_int_eq(c->code, ERR_UNKNOWN_OUTCOME);
	ck_assert_uint_le(c->answered_us - c->sent_us, 5010 * USEC_PER_MSEC);
	rig_destroy(r);
}
END_TEST

/*
 * A write is committed, but answered as unknown; then it is sent again while
 * the proxy reaches only the primary. Returns the second call.
 */
static struct rig_call *repeat_unknown_write(struct rig *r)
{
	struct rig_call *c = rig_call(r, 0, ACCESS_WRITE, 7);
	int node = rig_node(r, 0);

	rig_add(c, "WRITE $1", 7);
	c->request->deadline_left_us = 400 * USEC_PER_MSEC;
	rig_send(c);
	while (!rig_group(r, 0)->runs[RUN_COMMITTING].length)
		rig_run_for(r, 100);
	rig_run_for(r, USEC_PER_MSEC);
	sim_isolate(rig_sim(r), node, true);
	rig_run_for(r, 450 * USEC_PER_MSEC);
	ck_assert_int_eq(c->code, ERR_UNKNOWN_OUTCOME);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	sim_block(rig_sim(r), node, 0, false);
	sim_block(rig_sim(r), 0, node, false);
	rig_run_for(r, 2 * USEC_PER_SEC);
	c = rig_write(r, 0, 7);
	rig_wait(r, c, 6 * USEC_PER_SEC);
	return c;
}

/*
 * A write was stored, but answered as unknown, and its caller sends it again
 * under its key. Now the proxy reaches no majority and refuses the write before
 * it runs. If the answer said "not run", the caller would store the data a
 * second time under a new key.
 */
START_TEST(refusal_after_unknown_is_settled)
{
	struct rig *r = create_rig(1);
	struct rig_call *c = repeat_unknown_write(r);

	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	sim_heal(rig_sim(r));
	rig_run_for(r, 2 * USEC_PER_SEC);
	c = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, c, 6 * USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert(c->repeated);
	rig_destroy(r);

	r = create_rig(1);
	guards(r, 0)->remember_unknown = false;
	c = repeat_unknown_write(r);
	ck_assert_int_eq(c->code, ERR_NO_MAJORITY);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	rig_destroy(r);
}
END_TEST

/* Sends a write of the trip, under the trip's key, that takes duration_us. */
static struct rig_call *slow_write(struct rig *r, uint64_t trip,
				   uint64_t duration_us, uint64_t deadline_us)
{
	struct rig_call *c = rig_call(r, 0, ACCESS_WRITE, trip);

	rig_add(c, "WRITE $1", (int64_t)trip);
	rig_add(c, "SLOW $1", (int64_t)duration_us);
	c->request->deadline_left_us = deadline_us;
	rig_send(c);
	return c;
}

/*
 * A client gives up on a slow write and sends it again under its key, while the
 * first try still runs. The second one waits until its deadline for the key
 * that the first one holds. "Rolled back" would be false: the first try stores
 * the write a moment later.
 */
START_TEST(resend_during_the_first_try_is_settled)
{
	struct rig *r = create_rig(1);
	struct rig_call *first, *second;

	first = slow_write(r, 7, USEC_PER_SEC, 3 * USEC_PER_SEC);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	second = slow_write(r, 7, 0, 300 * USEC_PER_MSEC);
	ck_assert(rig_wait(r, second, 2 * USEC_PER_SEC));
	ck_assert_int_eq(second->outcome, OUTCOME_UNKNOWN);
	ck_assert(rig_wait(r, first, 5 * USEC_PER_SEC));
	ck_assert_int_eq(first->outcome, OUTCOME_DONE);
	second = slow_write(r, 7, 0, 3 * USEC_PER_SEC);
	ck_assert(rig_wait(r, second, 2 * USEC_PER_SEC));
	ck_assert_int_eq(second->outcome, OUTCOME_DONE);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);

	guards(r, 0)->settle_resends = false;
	first = slow_write(r, 8, USEC_PER_SEC, 3 * USEC_PER_SEC);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	second = slow_write(r, 8, 0, 300 * USEC_PER_MSEC);
	ck_assert(rig_wait(r, second, 2 * USEC_PER_SEC));
	ck_assert_int_eq(second->outcome, OUTCOME_ROLLED_BACK);
	ck_assert(rig_wait(r, first, 5 * USEC_PER_SEC));
	ck_assert_int_eq(first->outcome, OUTCOME_DONE);
	rig_destroy(r);
}
END_TEST

/*
 * A write was answered as unknown, and its client sends it again while its home
 * stops. The next home does not know of the first try: its "no primary" would
 * be answered as "not run", though the write may be stored. The stopping home
 * must report that the key's write may be stored, so that the entry proxy has
 * the outcome settled.
 */
START_TEST(stopping_home_reports_key_of_unknown_outcome)
{
	struct rig *r = create_rig(1);
	struct rig_call *c;

	cut_off_primary(r);
	c = rig_call(r, 0, ACCESS_WRITE, 7);
	rig_add(c, "WRITE $1", 7);
	c->request->deadline_left_us = 100 * USEC_PER_MSEC;
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	group_stop(rig_group(r, 0), sim_now(rig_sim(r)));
	c = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->code, ERR_STOPPING);
	ck_assert(c->repeated);
	c = rig_write(r, 0, 8);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->code, ERR_STOPPING);
	ck_assert(!c->repeated);
	rig_destroy(r);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("writes");

	tcase_add_test(t, lost_commit_answer_is_settled);
	tcase_add_test(t, isolated_primary_acknowledges_nothing);
	tcase_add_test(t, write_without_majority_is_refused_early);
	tcase_add_test(t, repeated_write_waits_for_majority);
	tcase_add_test(t, writes_wait_for_the_next_primary);
	tcase_add_test(t, transaction_control_is_refused);
	tcase_add_test(t, split_transaction_is_detected);
	tcase_add_test(t, refusal_of_a_resent_write_is_settled);
	tcase_add_test(t, settle_request_returns_done_or_not_run);
	tcase_add_test(t, unknown_outcome_is_answered_by_the_deadline);
	tcase_add_test(t, refusal_after_unknown_is_settled);
	tcase_add_test(t, resend_during_the_first_try_is_settled);
	tcase_add_test(t, stopping_home_reports_key_of_unknown_outcome);
	return suite_main("group_writes", t);
}
