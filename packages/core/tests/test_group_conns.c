#include "support_fake_sql.h"
#include "support_group.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

/*
 * Connections to servers: their limit, ones that stop answering, session state
 * left in them, servers that leave or are removed.
 */

static struct rig *start_rig(unsigned n_homes, unsigned connections)
{
	struct rig_settings s;
	struct rig *r;

	rig_settings_default(&s);
	s.n_homes = n_homes;
	s.connections = connections;
	r = rig_create(1, &s);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	return r;
}

static struct rig_call *run_statement(struct rig *r, enum access access,
				      const char *sql, int64_t param)
{
	static uint64_t trips = 1000;
	struct rig_call *c = rig_call(r, 0, access, ++trips);

	rig_add(c, sql, param);
	c->profile.max_age_us = 5 * USEC_PER_SEC;
	rig_send(c);
	ck_assert(rig_wait(r, c, 6 * USEC_PER_SEC));
	return c;
}

/* Two homes together never open more connections than a server allows. */
START_TEST(homes_share_connection_limit)
{
	static const unsigned limits[] = { 6, 8, 12, 20 };
	struct rig *r;
	unsigned i, k;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		r = start_rig(2, limits[i]);
		for (k = 0; k < 30; k++) {
			rig_write(r, 0, 100 + k);
			rig_write(r, 1, 200 + k);
			rig_read(r, 0, USEC_PER_SEC, (struct position){ 0, 0 });
			rig_read(r, 1, USEC_PER_SEC, (struct position){ 0, 0 });
		}
		rig_run_for(r, 2 * USEC_PER_SEC);
		for (k = 0; k < 3; k++) {
			ck_assert_uint_eq(
				fake_sql_refused_connections(rig_sql(r), k), 0);
			ck_assert_uint_le(fake_sql_max_connections(rig_sql(r),
								   k),
					  limits[i]);
		}
		ck_assert_uint_eq(group_counts(rig_group(r, 0))->writes_done,
				  30);
		rig_destroy(r);
	}
}
END_TEST

/*
 * A device between proxy and servers loses track of the open connections: what
 * is sent on them vanishes, while new connections work. Callers must not wait
 * until their deadlines on each of the old ones.
 */
START_TEST(silent_connections_are_replaced)
{
	struct rig *r = start_rig(1, 20);
	struct rig_call *c;
	unsigned i;

	rig_run_for(r, 3 * USEC_PER_SEC);
	for (i = 0; i < 3; i++)
		fake_upstream_mute(rig_upstream(r, 0), i);
	rig_run_for(r, USEC_PER_SEC);
	for (i = 0; i < 10; i++) {
		c = run_statement(r, ACCESS_WRITE, "WRITE $1", i + 1);
		ck_assert_int_eq(c->outcome, OUTCOME_DONE);
		ck_assert_uint_lt(c->answered_us - c->sent_us, USEC_PER_SEC);
		c = run_statement(r, ACCESS_READ, "READ", 0);
		ck_assert_int_eq(c->outcome, OUTCOME_DONE);
		ck_assert_uint_lt(c->answered_us - c->sent_us, USEC_PER_SEC);
	}
	rig_destroy(r);
}
END_TEST

/*
 * One caller sets a session variable. The next caller's statement on the same
 * connection must not see it; with the guard switched off it does.
 */
START_TEST(session_state_does_not_leak)
{
	struct rig *r = start_rig(1, 20);
	struct rig_call *c;
	unsigned i, leaks = 0;

	for (i = 0; i < 20; i++) {
		run_statement(r, ACCESS_WRITE, "SET x $1", 42);
		c = run_statement(r, ACCESS_WRITE, "SHOW", 0);
		ck_assert_ptr_nonnull(strstr(c->results, "[\"\"]"));
	}
	group_test_guards(rig_group(r, 0))->clean_state = false;
	for (i = 0; i < 20; i++) {
		run_statement(r, ACCESS_WRITE, "SET x $1", 42);
		c = run_statement(r, ACCESS_WRITE, "SHOW", 0);
		leaks += strstr(c->results, "[\"42\"]") != NULL;
	}
	ck_assert_uint_gt(leaks, 0);
	rig_destroy(r);
}
END_TEST

/*
 * By mistake, all addresses in the configuration lead to one server. If it were
 * counted once per address, it would make a majority alone.
 */
static struct rig_call *write_with_duplicate_address(struct rig *r, bool guard)
{
	struct database_conf *conf = rig_conf(r);
	struct rig_call *c;

	group_test_guards(rig_group(r, 0))->check_name = guard;
	conf->servers[1].port = conf->servers[0].port;
	conf->servers[2].port = conf->servers[0].port;
	rig_crash_home(r, 0);
	rig_restart_home(r, 0);
	group_test_guards(rig_group(r, 0))->check_name = guard;
	sim_isolate(rig_sim(r), 1, true);
	sim_isolate(rig_sim(r), 2, true);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	c = rig_write(r, 0, 7);
	rig_wait(r, c, 6 * USEC_PER_SEC);
	return c;
}

START_TEST(one_server_under_three_addresses_is_no_majority)
{
	struct rig *r = start_rig(1, 20);
	struct rig_call *c = write_with_duplicate_address(r, true);

	ck_assert_int_ne(c->outcome, OUTCOME_DONE);
	rig_destroy(r);
	r = start_rig(1, 20);
	c = write_with_duplicate_address(r, false);
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	rig_destroy(r);
}
END_TEST

/* A server that operators mark as leaving gets no new requests from then on. */
START_TEST(leaving_server_gets_no_new_work)
{
	struct rig *r = start_rig(1, 20);
	struct database_conf *conf = rig_conf(r);
	struct rig_call *c;
	unsigned i;

	conf->servers[1].leaving = true;
	group_reconfigure(rig_group(r, 0), conf, sim_now(rig_sim(r)));
	for (i = 0; i < 20; i++) {
		c = run_statement(r, ACCESS_READ, "READ", 0);
		ck_assert_str_ne(c->server, fdb_name(1));
	}
	rig_destroy(r);
}
END_TEST

/*
 * Planned: the primary is marked as leaving. Another server takes over and no
 * write fails.
 */
START_TEST(leaving_primary_hands_over)
{
	struct rig *r = start_rig(1, 20);
	struct database_conf *conf = rig_conf(r);
	struct rig_call *c;
	unsigned i;

	conf->servers[0].leaving = true;
	group_reconfigure(rig_group(r, 0), conf, sim_now(rig_sim(r)));
	for (i = 0; i < 50; i++) {
		c = run_statement(r, ACCESS_WRITE, "WRITE $1", i + 1);
		ck_assert_int_eq(c->outcome, OUTCOME_DONE);
		rig_run_for(r, 20 * USEC_PER_MSEC);
	}
	ck_assert_uint_ne(rig_primary(r), 0);
	rig_destroy(r);
}
END_TEST

START_TEST(connections_to_removed_server_are_closed)
{
	struct rig *r = start_rig(1, 20);
	struct database_conf *conf = rig_conf(r);
	struct rig_call *c;

	conf->n_servers = 2;
	group_reconfigure(rig_group(r, 0), conf, sim_now(rig_sim(r)));
	rig_run_for(r, 500 * USEC_PER_MSEC);
	ck_assert_uint_eq(fake_sql_connections(rig_sql(r), 2), 0);
	c = run_statement(r, ACCESS_WRITE, "WRITE $1", 7);
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	conf->n_servers = 3;
	group_reconfigure(rig_group(r, 0), conf, sim_now(rig_sim(r)));
	rig_run_for(r, 500 * USEC_PER_MSEC);
	ck_assert_uint_gt(fake_sql_connections(rig_sql(r), 2), 0);
	c = run_statement(r, ACCESS_WRITE, "WRITE $1", 8);
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	rig_destroy(r);
}
END_TEST

/*
 * The home moves to another proxy while a write runs here. The write is
 * completed; then all connections are closed, so that the new home can use
 * their share of the limit.
 */
START_TEST(moved_home_closes_its_connections)
{
	struct rig *r = start_rig(1, 20);
	struct rig_call *running = rig_write(r, 0, 7);
	struct rig_call *late;
	unsigned i;

	rig_run_for(r, USEC_PER_MSEC);
	group_set_rank(rig_group(r, 0), 5, sim_now(rig_sim(r)));
	late = rig_write(r, 0, 8);
	ck_assert(rig_wait(r, running, USEC_PER_SEC));
	ck_assert_int_eq(running->outcome, OUTCOME_DONE);
	ck_assert_int_eq(late->code, ERR_NO_HOME);
	rig_run_for(r, 200 * USEC_PER_MSEC);
	for (i = 0; i < 3; i++)
		ck_assert_uint_eq(fake_sql_connections(rig_sql(r), i), 0);
	group_set_rank(rig_group(r, 0), 0, sim_now(rig_sim(r)));
	late = run_statement(r, ACCESS_WRITE, "WRITE $1", 9);
	ck_assert_int_eq(late->outcome, OUTCOME_DONE);
	rig_destroy(r);
}
END_TEST

/*
 * A removal of old outcomes commits, and the statement after its COMMIT fails,
 * so the home does not know the connection's last commit. The next write on
 * that connection would be stored, but reported as "unknown", as if a statement
 * of its caller had committed. So the connection is closed instead.
 */
START_TEST(failure_after_removal_commit_closes_connection)
{
	struct rig *r = start_rig(1, 20);
	struct rig_call *c;
	uint64_t trip;

	fake_sql_fail_after_commit(rig_sql(r), 0, 1);
	rig_group(r, 0)->next_clean_at_us = 0;
	rig_run_for(r, 50 * USEC_PER_MSEC);
	ck_assert(!fake_sql_take_failure_after_commit(rig_sql(r), 0));
	for (trip = 1; trip <= 5; trip++) {
		c = rig_write(r, 0, trip);
		ck_assert(rig_wait(r, c, USEC_PER_SEC));
		ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	}
	rig_destroy(r);
}
END_TEST

/*
 * The same failure after the creation of the outcome table: the connection is
 * replaced by a new one.
 */
START_TEST(failure_after_creation_commit_closes_connection)
{
	struct rig_settings s;
	struct rig *r;
	uint64_t opened[2];
	unsigned i;

	rig_settings_default(&s);
	for (i = 0; i < 2; i++) {
		r = rig_create(1, &s);
		fake_sql_fail_after_commit(rig_sql(r), 0, i);
		rig_run_for(r, 800 * USEC_PER_MSEC);
		ck_assert(!fake_sql_take_failure_after_commit(rig_sql(r), 0));
		opened[i] = group_counts(rig_group(r, 0))->conns_opened;
		rig_destroy(r);
	}
	ck_assert_uint_eq(opened[1], opened[0] + 1);
}
END_TEST

int main(void)
{
	Suite *s = suite_create("group_conns");
	TCase *t = tcase_create("conns");
	SRunner *runner = srunner_create(s);
	int failed;

	tcase_add_test(t, homes_share_connection_limit);
	tcase_add_test(t, silent_connections_are_replaced);
	tcase_add_test(t, session_state_does_not_leak);
	tcase_add_test(t, one_server_under_three_addresses_is_no_majority);
	tcase_add_test(t, leaving_server_gets_no_new_work);
	tcase_add_test(t, leaving_primary_hands_over);
	tcase_add_test(t, connections_to_removed_server_are_closed);
	tcase_add_test(t, moved_home_closes_its_connections);
	tcase_add_test(t, failure_after_removal_commit_closes_connection);
	tcase_add_test(t, failure_after_creation_commit_closes_connection);
	suite_add_tcase(s, t);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
