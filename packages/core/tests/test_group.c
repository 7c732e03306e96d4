#include "support_group.h"

#include <celeryquay/suite.h>
#include <json-glib/json-glib.h>
#include <stdlib.h>
#include <string.h>

/*
 * Requests through a home, the proxy that runs a database's requests, while its
 * servers and links work.
 */

static struct rig *start_rig(void)
{
	struct rig_settings s;
	struct rig *r;

	rig_settings_default(&s);
	r = rig_create(1, &s);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	return r;
}

START_TEST(write_is_done_once_majority_has_it)
{
	struct rig *r = start_rig();
	struct rig_call *c = rig_write(r, 0, 7);
	unsigned i, n = 0;

	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert(c->by_primary);
	ck_assert_str_eq(c->server, fdb_name(0));
	for (i = 0; i < 3; i++)
		n += fake_count_trip(rig_sql(r), i, 7);
	ck_assert_uint_ge(n, 2);
	ck_assert_uint_eq(group_counts(rig_group(r, 0))->writes_done, 1);
	rig_destroy(r);
}
END_TEST

START_TEST(session_reads_own_write_from_a_replica)
{
	struct rig *r = start_rig();
	struct rig_call *w = rig_write(r, 0, 7);
	struct rig_call *c;

	ck_assert(rig_wait(r, w, USEC_PER_SEC));
	c = rig_read(r, 0, 5 * USEC_PER_SEC, w->seen);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert(rig_result_contains(c, 7));
	ck_assert(!c->by_primary);
	ck_assert_uint_ge(c->seen.index, w->seen.index);
	rig_destroy(r);
}
END_TEST

START_TEST(read_of_age_0_sees_all_that_was_acknowledged)
{
	struct position nothing = { 0, 0 };
	struct rig *r = start_rig();
	struct rig_call *w, *c;
	uint64_t trip;

	for (trip = 1; trip <= 20; trip++) {
		w = rig_write(r, 0, trip);
		ck_assert(rig_wait(r, w, USEC_PER_SEC));
		c = rig_read(r, 0, 0, nothing);
		ck_assert(rig_wait(r, c, USEC_PER_SEC));
		ck_assert_int_eq(c->outcome, OUTCOME_DONE);
		ck_assert(rig_result_contains(c, trip));
	}
	rig_destroy(r);
}
END_TEST

START_TEST(repeated_key_returns_first_outcome)
{
	struct rig *r = start_rig();
	struct rig_call *first = rig_write(r, 0, 7);
	struct rig_call *again;

	ck_assert(rig_wait(r, first, USEC_PER_SEC));
	again = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, again, USEC_PER_SEC));
	ck_assert_int_eq(again->outcome, OUTCOME_DONE);
	ck_assert(again->repeated);
	ck_assert_str_eq(again->results, first->results);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	rig_destroy(r);
}
END_TEST

/*
 * An operator changes a profile from read to write access. The home already has
 * the change, the proxy that the caller is connected to does not, so it reports
 * a request that it gives up on as a read that did not run. If the home ran it
 * as a write, the trip would be stored all the same.
 */
START_TEST(read_under_older_profile_does_not_write)
{
	struct rig *r = start_rig();
	struct rig_call *c = rig_call(r, 0, ACCESS_WRITE, 7);

	rig_add(c, "WRITE $1", 7);
	c->request->read_only = true;
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_int_eq(c->code, ERR_NO_HOME);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 0);
	rig_destroy(r);
}
END_TEST

/*
 * A faulty client sends a second trip under the idempotency key of the first.
 * The second is not stored, so it must not be reported as done. With the digest
 * check switched off it is.
 */
START_TEST(key_with_another_body_is_refused)
{
	struct rig *r = start_rig();
	struct rig_call *first = rig_write(r, 0, 7);
	struct rig_call *other = rig_call(r, 0, ACCESS_WRITE, 7);

	ck_assert(rig_wait(r, first, USEC_PER_SEC));
	rig_add(other, "WRITE $1", 8);
	other->request->digest = STR("another body");
	rig_send(other);
	ck_assert(rig_wait(r, other, USEC_PER_SEC));
	ck_assert_int_eq(other->code, ERR_KEY_REUSED);
	ck_assert_int_eq(other->outcome, OUTCOME_NOT_RUN);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 8), 0);

	group_test_guards(rig_group(r, 0))->check_digest = false;
	other = rig_call(r, 0, ACCESS_WRITE, 7);
	rig_add(other, "WRITE $1", 8);
	other->request->digest = STR("another body");
	rig_send(other);
	ck_assert(rig_wait(r, other, USEC_PER_SEC));
	ck_assert_int_eq(other->outcome, OUTCOME_DONE);
	rig_destroy(r);
}
END_TEST

/* A failed statement rolls back the whole write, and its key stays usable. */
START_TEST(failed_statement_rolls_back_whole_request)
{
	struct rig *r = start_rig();
	struct rig_call *c = rig_call(r, 0, ACCESS_WRITE, 7);

	rig_add(c, "WRITE $1", 7);
	rig_add(c, "FAIL", 0);
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->code, ERR_STATEMENT_FAILED);
	ck_assert_int_eq(c->outcome, OUTCOME_ROLLED_BACK);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 0);
	c = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert(!c->repeated);
	rig_destroy(r);
}
END_TEST

/* A write statement under a read profile fails and stores nothing. */
START_TEST(read_profile_writes_nothing)
{
	struct rig *r = start_rig();
	struct rig_call *c = rig_call(r, 0, ACCESS_READ, 7);

	rig_add(c, "WRITE $1", 7);
	c->profile.max_age_us = USEC_PER_SEC;
	rig_send(c);
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert_int_eq(c->code, ERR_READ_ONLY);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 0);
	rig_destroy(r);
}
END_TEST

/*
 * A queue that can't meet a request's deadline refuses it within 10 ms, with
 * the time after which a retry makes sense. A refused request did not run.
 */
START_TEST(overload_is_refused_at_once)
{
	struct rig *r = start_rig();
	struct rig_call *slow[40];
	unsigned i, refused = 0;

	for (i = 0; i < G_N_ELEMENTS(slow); i++) {
		slow[i] = rig_call(r, 0, ACCESS_WRITE, 100 + i);
		rig_add(slow[i], "SLOW $1", 200000);
		rig_add(slow[i], "WRITE $1", 100 + i);
		slow[i]->request->deadline_left_us = USEC_PER_SEC;
		rig_send(slow[i]);
		if (i < 3)
			rig_run_for(r, 300 * USEC_PER_MSEC);
	}
	rig_run_for(r, 5 * USEC_PER_SEC);
	for (i = 0; i < G_N_ELEMENTS(slow); i++) {
		ck_assert_uint_eq(slow[i]->answers, 1);
		if (slow[i]->code != ERR_OVERLOADED)
			continue;
		refused++;
		ck_assert_uint_gt(slow[i]->retry_after_us, 0);
		ck_assert_uint_lt(slow[i]->answered_us - slow[i]->sent_us,
				  10 * USEC_PER_MSEC);
		ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, slow[i]->trip),
				  0);
	}
	ck_assert_uint_gt(refused, 0);
	ck_assert_uint_eq(group_counts(rig_group(r, 0))->refused, refused);
	rig_destroy(r);
}
END_TEST

START_TEST(status_is_json)
{
	struct rig *r = start_rig();
	GString *out = g_string_new(NULL);
	JsonParser *parser = json_parser_new();

	group_write_status(rig_group(r, 0), out, sim_now(rig_sim(r)));
	ck_assert(json_parser_load_from_data(parser, out->str, -1, NULL));
	ck_assert_ptr_nonnull(strstr(out->str, "\"primary\":\"codes-1-a\""));
	g_object_unref(parser);
	g_string_free(out, TRUE);
	rig_destroy(r);
}
END_TEST

/*
 * A proxy is told to stop while a write runs. New requests are refused, the
 * write is completed, and then the group is idle.
 */
START_TEST(stop_finishes_running_request)
{
	struct rig *r = start_rig();
	struct rig_call *running = rig_write(r, 0, 7);
	struct rig_call *late;

	rig_run_for(r, USEC_PER_MSEC);
	ck_assert_uint_eq(running->answers, 0);
	group_stop(rig_group(r, 0), sim_now(rig_sim(r)));
	ck_assert(!group_is_idle(rig_group(r, 0)));
	late = rig_write(r, 0, 8);
	ck_assert(rig_wait(r, running, USEC_PER_SEC));
	ck_assert_int_eq(running->outcome, OUTCOME_DONE);
	ck_assert_int_eq(late->code, ERR_STOPPING);
	ck_assert(group_is_idle(rig_group(r, 0)));
	rig_destroy(r);
}
END_TEST

/*
 * A request whose caller disconnects while it waits for a primary is answered
 * at once as not run, and is not run later.
 */
START_TEST(cancel_drops_waiting_request)
{
	struct rig *r = start_rig();
	struct rig_call *c;

	fake_sql_crash(rig_sql(r), 0, true);
	rig_run_for(r, 300 * USEC_PER_MSEC);
	c = rig_write(r, 0, 7);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	group_cancel(rig_group(r, 0), c->request, sim_now(rig_sim(r)));
	rig_run_for(r, 2 * USEC_PER_MSEC);
	ck_assert_uint_eq(c->answers, 1);
	ck_assert_int_eq(c->outcome, OUTCOME_NOT_RUN);
	rig_run_for(r, 10 * USEC_PER_SEC);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), rig_primary(r), 7), 0);
	rig_destroy(r);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("group");

	tcase_add_test(t, write_is_done_once_majority_has_it);
	tcase_add_test(t, session_reads_own_write_from_a_replica);
	tcase_add_test(t, read_of_age_0_sees_all_that_was_acknowledged);
	tcase_add_test(t, repeated_key_returns_first_outcome);
	tcase_add_test(t, read_under_older_profile_does_not_write);
	tcase_add_test(t, key_with_another_body_is_refused);
	tcase_add_test(t, failed_statement_rolls_back_whole_request);
	tcase_add_test(t, read_profile_writes_nothing);
	tcase_add_test(t, overload_is_refused_at_once);
	tcase_add_test(t, status_is_json);
	tcase_add_test(t, stop_finishes_running_request);
	tcase_add_test(t, cancel_drops_waiting_request);
	return suite_main("group", t);
}
