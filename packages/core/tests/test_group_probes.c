#include "support_group.h"

#include "failover_internal.h"

#include <check.h>
#include <stdlib.h>

/* The rate at which a home probes servers while requests wait for them. */

#define STEP_US 250
#define OBSERVATION_US (800 * USEC_PER_MSEC)
/* Probes within OBSERVATION_US: one each 5 ms, and the regular ones. */
#define MAX_PROBES 200

/* Runs for the given time and counts the probes of the server that start. */
static unsigned count_probes(struct rig *r, int server, uint64_t duration_us)
{
	struct server *s = group_server(rig_group(r, 0), server);
	uint64_t last_started_at_us = s->probe_started_us;
	unsigned n = 0;
	uint64_t t;

	for (t = 0; t < duration_us; t += STEP_US) {
		rig_run_for(r, STEP_US);
		if (s->probe_started_us != last_started_at_us)
			n++;
		last_started_at_us = s->probe_started_us;
	}
	return n;
}

/*
 * A partition cuts the primary off from its replicas while a write waits for
 * its majority. Without a limit the home probes the isolated primary again as
 * soon as it has answered, more than 20,000 times a second on a fast link. That
 * takes all of the home's time, so callers of its other databases wait too.
 */
START_TEST(waiting_write_does_not_flood_the_primary)
{
	struct rig_settings s;
	struct rig *r;
	struct rig_call *c;
	unsigned probes;
	int i;

	rig_settings_default(&s);
	s.n_homes = 1;
	s.network.latency_us = 20;
	s.network.jitter_us = 5;
	r = rig_create(1, &s);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	for (i = 1; i < 3; i++) {
		sim_block(rig_sim(r), 0, i, true);
		sim_block(rig_sim(r), i, 0, true);
	}
	c = rig_write(r, 0, 7);
	probes = count_probes(r, 0, OBSERVATION_US);
	ck_assert_uint_le(probes, MAX_PROBES);
	ck_assert_uint_ge(probes, 2);
	ck_assert(rig_wait(r, c, 6 * USEC_PER_SEC));
	ck_assert_int_eq(c->code, ERR_SETTLED_NOT_RUN);
	rig_destroy(r);
}
END_TEST

/*
 * Reads with a maximum age of 0 wait for a majority to confirm the primary
 * while neither replica answers. The primary alone answers at once, which
 * confirms nothing; it must not be probed again without a pause.
 */
START_TEST(waiting_read_does_not_flood_the_primary)
{
	struct position nothing = { 0, 0 };
	struct rig_settings s;
	struct rig *r;
	unsigned i;

	rig_settings_default(&s);
	s.network.latency_us = 20;
	s.network.jitter_us = 5;
	r = rig_create(1, &s);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	fake_sql_crash(rig_sql(r), 1, true);
	fake_sql_crash(rig_sql(r), 2, true);
	for (i = 0; i < 5; i++)
		rig_read(r, 0, 0, nothing);
	ck_assert_uint_le(count_probes(r, 0, OBSERVATION_US), MAX_PROBES);
	rig_destroy(r);
}
END_TEST

/* Removes the last server from the configuration: a new failover is created. */
static void remove_last_server(struct rig *r)
{
	struct database_conf conf = *rig_conf(r);

	conf.n_servers--;
	group_reconfigure(rig_group(r, 0), &conf, sim_now(rig_sim(r)));
}

/*
 * An operator removes a server while the home's failover has sent one grant and
 * queued another. The failover that replaces it requested neither: it must not
 * get the answer to the first, and the second must not be sent, since a server
 * that accepts it fences a primary that nobody wants to replace.
 */
START_TEST(calls_of_replaced_failover_are_dropped)
{
	struct server_call call = { .kind = CALL_GRANT, .term = 9 };
	struct rig_settings settings;
	struct server_status st;
	struct rig *r;
	struct server *s;
	uint64_t sent_at_us;

	rig_settings_default(&settings);
	r = rig_create(1, &settings);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	s = group_server(rig_group(r, 0), 1);
	probe_call(s, &call);
	while (!s->call_running)
		rig_run_for(r, STEP_US);
	sent_at_us = s->probe->started_us;
	call.term = 10;
	probe_call(s, &call);
	remove_last_server(r);
	ck_assert_uint_eq(s->calls.length, 0);
	while (s->heard_us <= sent_at_us || s->call_running)
		rig_run_for(r, STEP_US / 5);
	ck_assert(!rig_group(r, 0)->failover->servers[1].known);
	ck_assert_ptr_nonnull(fresh_status(rig_group(r, 0)->fresh, 1));
	rig_run_for(r, 50 * USEC_PER_MSEC);
	ck_assert(rig_group(r, 0)->failover->servers[1].known);
	fdb_status(rig_db(r), 1, &st);
	ck_assert_uint_ne(st.granted, 10);
	rig_destroy(r);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("group_probes");
	TCase *tests = tcase_create("group_probes");
	SRunner *runner;
	int failed;

	tcase_add_test(tests, waiting_write_does_not_flood_the_primary);
	tcase_add_test(tests, waiting_read_does_not_flood_the_primary);
	tcase_add_test(tests, calls_of_replaced_failover_are_dropped);
	suite_add_tcase(suite, tests);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
