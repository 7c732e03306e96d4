#include "support_story.h"

#include <celeryquay/suite.h>

/*
 * A proxy that replaces a primary receives the platform's reply, the list of
 * servers or a replica's status late or not at all.
 */

static struct fake *start(uint32_t seed)
{
	struct fake *f = scenario_start(seed, 6 * USEC_PER_SEC);

	scenario_open_callers(f);
	fake_run(f, USEC_PER_SEC);
	return f;
}

static char *late_promotion(uint32_t seed)
{
	struct fake *f = start(seed);

	f->promote_call_delay_us = fake_random(f, 300, 1200) * MS;
	f->promote_duration_us = 1000 * MS;
	fake_crash(f, 0);
	scenario_run_until(f, PHASE_PROMOTE);
	f->lose_claims = 1;
	fake_run(f, fake_random(f, 0, 1500) * MS);
	if (seed % 2)
		fake_add_replica(f, 0);
	fake_rejoin_with_new_id(f, 0);
	fake_run(f, 6 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *abandoned_promotions(uint32_t seed)
{
	struct fake *f = start(seed);

	f->promote_call_delay_us = fake_random(f, 2000, 3000) * MS;
	f->promote_duration_us = 1000 * MS;
	f->lose_promote_replies = true;
	f->n_promotions_to_drop = seed / 2 % 4;
	fake_crash(f, 0);
	scenario_run_until(f, PHASE_PROMOTE);
	fake_run(f, fake_random(f, 0, 3000) * MS);
	if (seed % 2)
		fake_restart(f, 0);
	else
		fake_rejoin_with_new_id(f, 0);
	fake_run(f, 14 * USEC_PER_SEC);
	return scenario_finish(f);
}

/*
 * Partitions the network: the proxy `lonely` is with the primary and one
 * replica, without the store; the other proxies are with the store and the
 * other replica, the only server that is still listed.
 */
static void partition_network(struct fake *f, unsigned separated,
			      unsigned replica)
{
	unsigned i, server;

	f->relays[separated].deaf = true;
	f->relays[separated].drop_lists = true;
	for (i = 0; i < SCENARIO_RELAYS; i++)
		for (server = 0; server < GROUP_SIZE; server++)
			fake_cut(f, i, server,
				 (i == separated) == (server == replica));
	for (server = 0; server < GROUP_SIZE; server++)
		f->servers[server].listed = server == replica;
	fake_publish_lists(f);
}

static char *servers_lost_beyond_partition(uint32_t seed)
{
	struct fake *f = start(seed);

	partition_network(f, seed % SCENARIO_RELAYS,
			  1 + seed / SCENARIO_RELAYS % 2);
	fake_run(f, 14 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *new_server_beyond_a_partition(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned separated = seed % SCENARIO_RELAYS;
	unsigned replica = 1 + seed / SCENARIO_RELAYS % 2;

	fake_leave(f, replica, 60 * USEC_PER_SEC);
	fake_run(f, 500 * MS);
	partition_network(f, separated, replica);
	fake_run(f, fake_random(f, 0, 1000) * MS);
	fake_cut(f, separated, fake_add_replica(f, 0), true);
	fake_run(f, 14 * USEC_PER_SEC);
	return scenario_finish(f);
}

static void send_list_of_one(struct fake *f, unsigned relay, unsigned server)
{
	struct fake_server *s = &f->servers[server];
	struct relay_server_info info = { .id = s->id,
					  .service = s->service,
					  .host = "10.0.0.1",
					  .port = 1,
					  .zone = "a",
					  .role = s->role,
					  .slots = FAKE_SLOTS,
					  .started_at_ms = s->started_at_ms };

	relay_on_servers(f->relays[relay].relay, &info, 1, f->now_us);
}

static char *list_with_the_old_primary_alone(uint32_t seed)
{
	struct fake *f = scenario_start(seed, 0);
	unsigned i, last = SCENARIO_RELAYS - 1;

	f->relays[last].drop_lists = true;
	fake_run(f, 6 * USEC_PER_SEC);
	scenario_open_callers(f);
	fake_crash(f, 0);
	scenario_run_until(f, PHASE_PROMOTE);
	for (i = 0; i < last; i++)
		f->relays[i].drop_lists = true;
	send_list_of_one(f, last, fake_rejoin_with_new_id(f, 0));
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *planned_change_with_an_unreached_replica(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned acked;
	char *wrong;

	fake_cut(f, seed % SCENARIO_RELAYS, 2, true);
	f->servers[0].leaving = true;
	fake_publish_lists(f);
	fake_run(f, 10 * USEC_PER_SEC);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	if (hist_acknowledged(f) > acked)
		return scenario_finish(f);
	wrong = scenario_finish(f);
	g_free(wrong);
	return g_strdup("nothing is stored within 10 s");
}

static char *step_down_forgotten_late(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i;

	for (i = 0; i < SCENARIO_RELAYS; i++)
		fake_cut(f, i, 2, i == seed % SCENARIO_RELAYS);
	f->servers[0].leaving = true;
	fake_publish_lists(f);
	scenario_run_until(f, PHASE_PROMOTE);
	fake_run(f, fake_random(f, 0, 300) * MS);
	fake_restart_at_once(f, 0, true);
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

/*
 * The platform accepts a promotion, but its reply is lost. The promotion takes
 * effect after the change was abandoned, when the old primary serves again.
 */
START_TEST(test_late_promotion)
{
	scenario_check_guarantees(late_promotion);
}
END_TEST

/*
 * No promotion call gets a reply, and up to three of the first are dropped.
 * The proxy abandons the change and resumes the replicas; the old primary is
 * back, they confirm it, and then the last call takes effect.
 */
START_TEST(test_abandoned_promotions)
{
	scenario_check_guarantees(abandoned_promotions);
}
END_TEST

/*
 * A partition leaves a proxy with the primary and one replica, without the
 * store. The other proxies consider both lost after some seconds and promote
 * the last replica. What the old primary stores from then on is rolled back
 * when the partition ends and must not be acknowledged.
 */
START_TEST(test_servers_lost_beyond_partition)
{
	scenario_check_guarantees(servers_lost_beyond_partition);
}
END_TEST

/*
 * The same, but the replica on the other side is about to leave, and a server
 * is promoted that the separated proxy has never seen in a list.
 */
START_TEST(test_new_server_beyond_partition)
{
	scenario_check_guarantees(new_server_beyond_a_partition);
}
END_TEST

/* Without the guard check_list_age the checker finds that fault. */
START_TEST(test_checker_finds_servers_lost_beyond_partition)
{
	scenario_check_guard_is_needed(servers_lost_beyond_partition,
				       offsetof(struct relay_guards,
						check_list_age));
}
END_TEST

/*
 * A proxy has just started, and its list has a single server of the service:
 * the old primary, which came back while another is promoted. The entries of
 * the other servers expired in an outage of the store.
 */
START_TEST(test_list_with_old_primary_alone)
{
	scenario_check_guarantees(list_with_the_old_primary_alone);
}
END_TEST

/*
 * A primary steps down as planned, and the proxy that replaces it can't reach
 * one replica. It must not restart the fence again and again: there is no
 * primary meanwhile.
 */
START_TEST(test_planned_change_with_unreached_replica)
{
	scenario_check_guarantees(planned_change_with_an_unreached_replica);
}
END_TEST

/*
 * In the same change the old primary restarts just before the promotion and has
 * forgotten its step-down; the replica that was not paused confirms it to the
 * other proxies.
 */
START_TEST(test_step_down_forgotten_late)
{
	scenario_check_guarantees(step_down_forgotten_late);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("late_news");

	tcase_add_test(tc, test_late_promotion);
	tcase_add_test(tc, test_abandoned_promotions);
	tcase_add_test(tc, test_servers_lost_beyond_partition);
	tcase_add_test(tc, test_new_server_beyond_partition);
	tcase_add_test(tc, test_checker_finds_servers_lost_beyond_partition);
	tcase_add_test(tc, test_list_with_old_primary_alone);
	tcase_add_test(tc, test_planned_change_with_unreached_replica);
	tcase_add_test(tc, test_step_down_forgotten_late);
	return suite_main("late_news", tc);
}
