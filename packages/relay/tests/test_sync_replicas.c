/*
 * Changes of primary in a service whose commits must reach a replica before
 * they are acknowledged: its servers crash, leave, or fall behind.
 */
#include "support_durable.h"

#include <celeryquay/suite.h>
#include <string.h>

/* The replica with the newest log is leaving when the primary crashes. */
static void leaving_holder(struct fake *f)
{
	durable_leave(f, HOLDER, 8 * USEC_PER_SEC);
	durable_run_for(f, 0, 1500);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 2500);
	fake_crash(f, PRIMARY);
	durable_receive_again(f, BEHIND, (unsigned)fake_random(f, 500, 5000));
	fake_run(f, 10 * USEC_PER_SEC);
}

/* It ends before another server has received its log. */
static void holder_ends_early(struct fake *f)
{
	durable_leave(f, HOLDER, fake_random(f, 1200, 3500) * MS);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 1100);
	fake_crash(f, PRIMARY);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* It goes on receiving while its entry has left the list. */
static void unlisted_holder(struct fake *f)
{
	f->servers[HOLDER].without_store = true;
	f->servers[HOLDER].listed = false;
	fake_publish_lists(f);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 200, 2500);
	fake_crash(f, PRIMARY);
	fake_run(f, 4 * USEC_PER_SEC);
	f->servers[HOLDER].without_store = false;
	f->servers[HOLDER].listed = true;
	fake_publish_lists(f);
	fake_run(f, 4 * USEC_PER_SEC);
}

/* The primary is replaced as planned, and nobody stays that has its log. */
static void leaving_primary(struct fake *f)
{
	durable_leave(f, HOLDER, fake_random(f, 6000, 9000) * MS);
	durable_run_for(f, 0, 1500);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 2000);
	durable_leave(f, PRIMARY, 7 * USEC_PER_SEC);
	durable_receive_again(f, BEHIND, (unsigned)fake_random(f, 2000, 9000));
	fake_run(f, 12 * USEC_PER_SEC);
}

/* The primary and the only replica that has its log crash at once. */
static void crashed_holder(struct fake *f)
{
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 2000);
	durable_crash_for_a_while(f, HOLDER);
	durable_run_for(f, 0, 50);
	durable_crash_for_a_while(f, PRIMARY);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* The same, and proxies start that have never known the replica. */
static void crashed_holder_and_new_relays(struct fake *f)
{
	unsigned i;

	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 2000);
	durable_crash_for_a_while(f, HOLDER);
	fake_crash(f, PRIMARY);
	durable_run_for(f, 3000, 4500);
	for (i = 0; i < DURABLE_RELAYS; i++)
		if (fake_chance(f, 0.7))
			fake_restart_relay(f, i);
	durable_open_writers(f);
	fake_run(f, 10 * USEC_PER_SEC);
}

/* The replica starts again under its id and has lost its log. */
static void holder_without_its_log(struct fake *f)
{
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 2000);
	durable_crash_for_a_while(f, PRIMARY);
	durable_run_for(f, 0, 300);
	fake_restart_at_once(f, HOLDER, false);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* Some proxies can't reach the replica that has the newest log. */
static void unreachable_holder(struct fake *f)
{
	unsigned i;

	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 2000);
	for (i = 0; i < DURABLE_RELAYS; i++)
		if (fake_chance(f, 0.5))
			fake_cut(f, i, HOLDER, true);
	fake_crash(f, PRIMARY);
	fake_run(f, 8 * USEC_PER_SEC);
}

/* A proxy is suspended in the change, calls and their answers are lost. */
static void duty_moves(struct fake *f)
{
	unsigned i;

	durable_leave(f, HOLDER, 12 * USEC_PER_SEC);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 1500);
	f->lose_claims = fake_chance(f, 0.5) ? 0.5 : 0;
	f->n_promotions_to_drop = (unsigned)fake_random(f, 0, 3);
	fake_crash(f, PRIMARY);
	durable_run_for(f, 200, 1500);
	for (i = 0; i < DURABLE_RELAYS; i++)
		if (!g_strcmp0(f->relays[i].name, f->duty_holder))
			fake_suspend_relay(f, i,
					   fake_random(f, 500, 4000) * MS);
	fake_run(f, 10 * USEC_PER_SEC);
}

/* The server that is being promoted dies before it leads. */
static void target_dies(struct fake *f)
{
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 1500);
	fake_crash(f, PRIMARY);
	while (!f->last_token)
		fake_run(f, MS);
	durable_run_for(f, 0, 1200);
	durable_crash_for_a_while(f, HOLDER);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* A primary that was just promoted crashes before the other has followed. */
static void new_primary_dies(struct fake *f)
{
	unsigned n = f->n_promotions;

	f->servers[BEHIND].receives_at_once = (unsigned)fake_random(f, 0, 4);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 1500);
	fake_crash(f, PRIMARY);
	while (f->n_promotions == n)
		fake_run(f, MS);
	durable_receive_again(f, BEHIND, (unsigned)fake_random(f, 0, 500));
	durable_run_for(f, 0, 600);
	durable_crash_for_a_while(f, HOLDER);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* Both replicas that a server needs to be known for are away for long. */
static void long_outage(struct fake *f)
{
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 2000);
	durable_crash_for(f, HOLDER, 9500);
	durable_run_for(f, 0, 100);
	fake_crash(f, PRIMARY);
	fake_run(f, 14 * USEC_PER_SEC);
}

/*
 * A server is listed while one that leaves is promoted, and confirms the old
 * primary to a proxy that still reaches it.
 */
static void newcomer_confirms(struct fake *f)
{
	fake_crash(f, BEHIND);
	fake_run(f, 10 * USEC_PER_SEC);
	durable_leave(f, HOLDER, 30 * USEC_PER_SEC);
	fake_cut(f, 1, PRIMARY, true);
	fake_cut(f, 2, PRIMARY, true);
	scenario_run_until(f, PHASE_LEASE_EXPIRY);
	durable_run_for(f, 0, 300);
	fake_add_replica(f, 0);
	fake_run(f, 6 * USEC_PER_SEC);
}

static void connections_event(struct fake *f, void *data)
{
	f->max_connections = GPOINTER_TO_UINT(data);
}

/* The servers take no more connections, so they can't be asked. */
static void full_servers(struct fake *f)
{
	unsigned limit = f->max_connections;

	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 1500);
	f->max_connections = 1;
	durable_crash_for_a_while(f, PRIMARY);
	fake_restart_at_once(f, fake_chance(f, 0.5) ? HOLDER : BEHIND, true);
	fake_at(f, -1, fake_random(f, 500, 6000) * MS, connections_event,
		GUINT_TO_POINTER(limit), NULL);
	fake_run(f, 10 * USEC_PER_SEC);
}

static unsigned any_server(struct fake *f)
{
	return (unsigned)fake_random(f, 0, f->n_servers);
}

/* One of the faults above, at any server and at any time. */
static void inject_fault(struct fake *f)
{
	unsigned server = any_server(f);
	unsigned relay = (unsigned)fake_random(f, 0, DURABLE_RELAYS);

	switch (fake_random(f, 0, 8)) {
	case 0:
	case 1:
		if (!f->servers[server].down)
			durable_crash_for_a_while(f, server);
		break;
	case 2:
		if (fake_may_stop(f, server))
			durable_leave(f, server,
				      fake_random(f, 3000, 9000) * MS);
		break;
	case 3:
	case 4:
		durable_stop_receiving(f, server);
		durable_receive_again(f, server,
				      (unsigned)fake_random(f, 500, 7000));
		break;
	case 5:
		fake_cut(f, relay, server, true);
		break;
	case 6:
		fake_suspend_relay(f, relay, fake_random(f, 200, 3000) * MS);
		break;
	default:
		f->relays[relay].list_delay_us = fake_random(f, 0, 2000) * MS;
		break;
	}
}

static void drawn_faults(struct fake *f)
{
	unsigned i;

	for (i = 0; i < 8; i++) {
		inject_fault(f);
		durable_run_for(f, 0, 2500);
		durable_open_writers(f);
	}
	for (i = 0; i < DURABLE_RELAYS; i++)
		f->relays[i].list_delay_us = 0;
	fake_run(f, 10 * USEC_PER_SEC);
}

static const struct durable_path paths[] = {
	{ "leaving holder", leaving_holder },
	{ "holder ends early", holder_ends_early },
	{ "unlisted holder", unlisted_holder },
	{ "leaving primary", leaving_primary },
	{ "crashed holder", crashed_holder },
	{ "crashed holder, new relays", crashed_holder_and_new_relays },
	{ "holder without its log", holder_without_its_log },
	{ "unreachable holder", unreachable_holder },
	{ "duty moves", duty_moves },
	{ "target dies", target_dies },
	{ "new primary dies", new_primary_dies },
	{ "long outage", long_outage },
	{ "newcomer confirms", newcomer_confirms },
	{ "full servers", full_servers },
	{ "drawn faults", drawn_faults },
};

/* Guards against a promotion that loses what was acknowledged. */
START_TEST(test_promotion_keeps_acknowledged_commits)
{
	durable_check_path(&paths[_i]);
}
END_TEST

/* Guards against a wait for servers that stay while one that leaves has all. */
START_TEST(test_leaving_holder_takes_over)
{
	struct fake *f = durable_start((uint32_t)_i);
	unsigned acked;

	durable_leave(f, HOLDER, 9 * USEC_PER_SEC);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 500);
	fake_crash(f, PRIMARY);
	durable_receive_again(f, BEHIND, 1000);
	acked = hist_acknowledged(f);
	fake_run(f, DURABLE_FAILOVER_MAX_US);
	ck_assert_uint_gt(hist_acknowledged(f),
			  acked + DURABLE_ACKNOWLEDGED_MIN);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

/* Guards against a step-down that nobody can follow for seconds. */
START_TEST(test_leaving_primary_serves_until_one_is_near)
{
	struct fake *f = durable_start((uint32_t)_i);
	unsigned acked;

	durable_leave(f, HOLDER, 12 * USEC_PER_SEC);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 700, 900);
	durable_leave(f, PRIMARY, 9 * USEC_PER_SEC);
	fake_run(f, USEC_PER_SEC);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	ck_assert_uint_gt(hist_acknowledged(f),
			  acked + DURABLE_ACKNOWLEDGED_MIN);
	fake_destroy(f);
}
END_TEST

/* Guards against a planned change that loses what a replica had not received.
 */
START_TEST(test_planned_change_waits_for_a_successor)
{
	struct fake *f = durable_start_with((uint32_t)_i, 0);
	unsigned i, lost = 0;

	durable_stop_receiving(f, HOLDER);
	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 700, 900);
	durable_leave(f, PRIMARY, 9 * USEC_PER_SEC);
	durable_receive_again(f, HOLDER, 3000);
	durable_receive_again(f, BEHIND, 3000);
	fake_run(f, 8 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	for (i = 1; i < f->commits->len; i++)
		lost += g_array_index(f->commits, struct fake_commit, i).lost;
	ck_assert_uint_eq(lost, 0);
	fake_destroy(f);
}
END_TEST

/* The primary and the replica that has its log are lost for good. */
static struct fake *start_without_holder(uint32_t seed)
{
	struct fake *f = durable_start(seed);

	durable_stop_receiving(f, BEHIND);
	durable_run_for(f, 300, 1500);
	fake_crash(f, HOLDER);
	fake_crash(f, PRIMARY);
	return f;
}

/* Guards against a service that stays without a primary for ever. */
START_TEST(test_lost_holder_is_given_up)
{
	struct fake *f = start_without_holder((uint32_t)_i);

	durable_check_promotion(f, DURABLE_GIVEN_UP_US);
	fake_destroy(f);
}
END_TEST

/* Guards against operators who can't give up what is lost at once. */
START_TEST(test_operator_gives_up_durability)
{
	struct fake *f = start_without_holder((uint32_t)_i);
	struct relay_catalog *catalog;
	unsigned i;

	fake_run(f, 11 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 0);
	ck_assert_uint_eq(f->servers[BEHIND].held, 0);
	f->config_version++;
	f->sync_replicas = 0;
	catalog = fake_catalog(f);
	for (i = 0; i < DURABLE_RELAYS; i++)
		relay_on_catalog(f->relays[i].relay, catalog, f->now_us);
	relay_catalog_unref(catalog);
	durable_check_promotion(f, DURABLE_FAILOVER_MAX_US);
	fake_destroy(f);
}
END_TEST

/* Guards against a wait for a replica that left for good long ago. */
START_TEST(test_replica_lost_long_ago_is_not_awaited)
{
	struct fake *f = durable_start((uint32_t)_i);

	fake_crash(f, HOLDER);
	fake_run(f, DURABLE_GIVEN_UP_US);
	fake_crash(f, PRIMARY);
	durable_check_promotion(f, DURABLE_FAILOVER_MAX_US);
	fake_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("sync_replicas");

	tcase_add_loop_test(tc, test_promotion_keeps_acknowledged_commits, 0,
			    G_N_ELEMENTS(paths));
	tcase_add_loop_test(tc, test_leaving_holder_takes_over, 0, 8);
	tcase_add_loop_test(tc, test_leaving_primary_serves_until_one_is_near,
			    0, 4);
	tcase_add_loop_test(tc, test_planned_change_waits_for_a_successor, 0,
			    4);
	tcase_add_loop_test(tc, test_lost_holder_is_given_up, 0, 4);
	tcase_add_loop_test(tc, test_operator_gives_up_durability, 0, 4);
	tcase_add_loop_test(tc, test_replica_lost_long_ago_is_not_awaited, 0,
			    4);
	return suite_main("sync_replicas", tc);
}
