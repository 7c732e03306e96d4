#include "support_story.h"

#include <celeryquay/suite.h>

/*
 * Servers are newly listed, crash, or return under a new id while a primary is
 * replaced.
 */

static struct fake *start(uint32_t seed)
{
	struct fake *f = scenario_start(seed, 6 * USEC_PER_SEC);

	scenario_open_callers(f);
	fake_run(f, USEC_PER_SEC);
	return f;
}

static char *new_server_in_a_change(uint32_t seed)
{
	struct fake *f = start(seed);

	fake_crash(f, 0);
	scenario_run_into_phase(f, seed);
	fake_add_replica(f, 0);
	fake_run(f, fake_random(f, 20, 400) * MS);
	fake_rejoin_with_new_id(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *new_server_that_coordinator_learns_late(uint32_t seed)
{
	struct fake *f = start(seed);
	int coordinator;

	fake_crash(f, 0);
	coordinator = scenario_run_until(f, PHASE_FENCE);
	if (coordinator >= 0)
		f->relays[coordinator].list_delay_us = 2 * USEC_PER_SEC;
	if (seed % 2)
		scenario_run_until(f, PHASE_LEASE_EXPIRY);
	fake_run(f, fake_random(f, 0, 10) * MS);
	fake_add_replica(f, 0);
	fake_run(f, fake_random(f, 20, 400) * MS);
	fake_rejoin_with_new_id(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *new_server_after_promotion_call(uint32_t seed)
{
	struct fake *f = start(seed);
	int coordinator;

	fake_crash(f, 0);
	coordinator = scenario_run_until(f, PHASE_PROMOTE);
	if (coordinator >= 0)
		f->relays[coordinator].list_delay_us = 2 * USEC_PER_SEC;
	fake_add_replica(f, 0);
	fake_run(f, fake_random(f, 20, 200) * MS);
	fake_rejoin_with_new_id(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *new_server_just_before_the_pauses(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i, late = seed % SCENARIO_RELAYS;

	f->relays[late].list_delay_us = 3 * USEC_PER_SEC;
	for (i = 0; i < SCENARIO_RELAYS; i++)
		f->relays[i].deaf = i != late;
	fake_add_replica(f, 0);
	fake_run(f, fake_random(f, 0, 700) * MS);
	fake_crash(f, 0);
	scenario_run_until(f, PHASE_LEASE_EXPIRY);
	fake_run(f, fake_random(f, 0, 400) * MS);
	fake_rejoin_with_new_id(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *paused_replica_returns_with_new_id(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned replica = 1 + seed / 4 % 2;

	fake_crash(f, 0);
	scenario_run_into_phase(f, seed);
	fake_crash(f, replica);
	fake_run(f, fake_random(f, 20, 300) * MS);
	fake_rejoin_with_new_id(f, replica);
	fake_run(f, fake_random(f, 0, 200) * MS);
	fake_rejoin_with_new_id(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *planned_replacement_of_all_servers(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i;

	for (i = 0; i < GROUP_SIZE; i++) {
		fake_add_replica(f, 0);
		fake_run(f, fake_random(f, 0, 300) * MS);
		fake_leave(f, i, 7 * USEC_PER_SEC);
		fake_run(f, fake_random(f, 0, 500) * MS);
	}
	scenario_run_into_phase(f, seed);
	fake_crash(f, fake_random(f, 0, GROUP_SIZE));
	fake_run(f, 9 * USEC_PER_SEC);
	return scenario_finish(f);
}

/*
 * A primary crashes and its replicas are paused. A new server of the service is
 * listed, which no proxy pauses. The old primary returns under a new id, the
 * new server confirms it, and a write acknowledged there would be lost with the
 * promotion. One replica's confirmation is enough for a lease, so that of a
 * server which no pause can have reached must not count. Such a fault shows in
 * the log as primary-confirmed by the new server 50 ms after it was listed; no
 * such line is logged without the fault.
 */
START_TEST(test_server_listed_in_change)
{
	scenario_check_guarantees(new_server_in_a_change);
}
END_TEST

/* The same after the promotion call, when the change can't be abandoned. */
START_TEST(test_server_listed_after_promotion_call)
{
	scenario_check_guarantees(new_server_after_promotion_call);
}
END_TEST

/* Without the guard distrust_newly_listed the checker finds that fault. */
START_TEST(test_checker_finds_new_servers_confirmation)
{
	scenario_check_guard_is_needed(new_server_after_promotion_call,
				       offsetof(struct relay_guards,
						distrust_newly_listed));
}
END_TEST

/*
 * The same, but the proxy that replaces the primary is the last to learn of the
 * new server, after its promotion call.
 */
START_TEST(test_server_that_coordinator_learns_late)
{
	scenario_check_guarantees(new_server_that_coordinator_learns_late);
}
END_TEST

/*
 * A new server rightly confirms the primary to two proxies just before the
 * primary crashes. The third proxy doesn't know the new server when it pauses
 * the others and has one promoted.
 */
START_TEST(test_server_never_paused)
{
	scenario_check_guarantees(new_server_just_before_the_pauses);
}
END_TEST

/* Without the guard claim_after_fence the checker finds that fault. */
START_TEST(test_checker_finds_server_never_paused)
{
	scenario_check_guard_is_needed(new_server_just_before_the_pauses,
				       offsetof(struct relay_guards,
						claim_after_fence));
}
END_TEST

/*
 * A paused replica crashes and returns with its log under a new id, without its
 * pause; then the old primary does so, too, and the replica confirms it.
 */
START_TEST(test_pause_lost_with_server_id)
{
	scenario_check_guarantees(paused_replica_returns_with_new_id);
}
END_TEST

/* All servers are replaced as planned, and one more crashes. */
START_TEST(test_planned_replacement_of_all_servers)
{
	scenario_check_guarantees(planned_replacement_of_all_servers);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("newcomers");

	tcase_add_test(tc, test_server_listed_in_change);
	tcase_add_test(tc, test_server_listed_after_promotion_call);
	tcase_add_test(tc, test_checker_finds_new_servers_confirmation);
	tcase_add_test(tc, test_server_that_coordinator_learns_late);
	tcase_add_test(tc, test_server_never_paused);
	tcase_add_test(tc, test_checker_finds_server_never_paused);
	tcase_add_test(tc, test_pause_lost_with_server_id);
	tcase_add_test(tc, test_planned_replacement_of_all_servers);
	return suite_main("newcomers", tc);
}
