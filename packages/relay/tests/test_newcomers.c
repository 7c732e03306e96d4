#include "support_story.h"

#include <celeryquay/suite.h>

/*
 * Servers are newly listed, crash, or return under a new id while a primary is
 * replaced.
 */

static struct fake *start(uint32_t seed)
{
	struct fake *f = story_start(seed, 6 * USEC_PER_SEC);

	story_callers_come(f);
	fake_run(f, USEC_PER_SEC);
	return f;
}

static char *new_server_in_a_change(uint32_t seed)
{
	struct fake *f = start(seed);

	fake_crash(f, 0);
	story_run_into_a_phase(f, seed);
	fake_join(f, 0);
	fake_run(f, fake_random(f, 20, 400) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return story_end(f);
}

static char *new_server_that_the_changer_sees_late(uint32_t seed)
{
	struct fake *f = start(seed);
	int changer;

	fake_crash(f, 0);
	changer = story_run_until(f, PHASE_FENCE);
	if (changer >= 0)
		f->relays[changer].list_lag_us = 2 * USEC_PER_SEC;
	if (seed % 2)
		story_run_until(f, PHASE_HOLD);
	fake_run(f, fake_random(f, 0, 10) * MS);
	fake_join(f, 0);
	fake_run(f, fake_random(f, 20, 400) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return story_end(f);
}

static char *new_server_after_the_platform_was_told(uint32_t seed)
{
	struct fake *f = start(seed);
	int changer;

	fake_crash(f, 0);
	changer = story_run_until(f, PHASE_PROMOTE);
	if (changer >= 0)
		f->relays[changer].list_lag_us = 2 * USEC_PER_SEC;
	fake_join(f, 0);
	fake_run(f, fake_random(f, 20, 200) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return story_end(f);
}

static char *new_server_just_before_the_pauses(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i, late = seed % STORY_RELAYS;

	f->relays[late].list_lag_us = 3 * USEC_PER_SEC;
	for (i = 0; i < STORY_RELAYS; i++)
		f->relays[i].deaf = i != late;
	fake_join(f, 0);
	fake_run(f, fake_random(f, 0, 700) * MS);
	fake_crash(f, 0);
	story_run_until(f, PHASE_HOLD);
	fake_run(f, fake_random(f, 0, 400) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return story_end(f);
}

static char *paused_replica_comes_back_as_another(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned replica = 1 + seed / 4 % 2;

	fake_crash(f, 0);
	story_run_into_a_phase(f, seed);
	fake_crash(f, replica);
	fake_run(f, fake_random(f, 20, 300) * MS);
	fake_return(f, replica);
	fake_run(f, fake_random(f, 0, 200) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return story_end(f);
}

static char *planned_change_of_all_servers(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i;

	for (i = 0; i < GROUP_SIZE; i++) {
		fake_join(f, 0);
		fake_run(f, fake_random(f, 0, 300) * MS);
		fake_leave(f, i, 7 * USEC_PER_SEC);
		fake_run(f, fake_random(f, 0, 500) * MS);
	}
	story_run_into_a_phase(f, seed);
	fake_crash(f, fake_random(f, 0, GROUP_SIZE));
	fake_run(f, 9 * USEC_PER_SEC);
	return story_end(f);
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
START_TEST(test_a_server_that_is_listed_in_a_change)
{
	story_check_promises(new_server_in_a_change);
}
END_TEST

/* The same after the promotion call, when the change can't be abandoned. */
START_TEST(test_a_server_that_is_listed_at_last)
{
	story_check_promises(new_server_after_the_platform_was_told);
}
END_TEST

/* Without the guard doubt_newcomers the checker finds that fault. */
START_TEST(test_what_new_servers_say_is_noticed)
{
	story_check_is_noticed(new_server_after_the_platform_was_told,
			       offsetof(struct relay_guards, doubt_newcomers));
}
END_TEST

/*
 * The same, but the proxy that replaces the primary is the last to learn of the
 * new server, after its promotion call.
 */
START_TEST(test_a_server_that_the_changer_sees_late)
{
	story_check_promises(new_server_that_the_changer_sees_late);
}
END_TEST

/*
 * A new server rightly confirms the primary to two proxies just before the
 * primary crashes. The third proxy doesn't know the new server when it pauses
 * the others and has one promoted.
 */
START_TEST(test_a_server_that_the_changer_never_paused)
{
	story_check_promises(new_server_just_before_the_pauses);
}
END_TEST

/* Without the guard claim_after_fence the checker finds that fault. */
START_TEST(test_a_server_that_was_not_paused_is_noticed)
{
	story_check_is_noticed(new_server_just_before_the_pauses,
			       offsetof(struct relay_guards,
					claim_after_fence));
}
END_TEST

/*
 * A paused replica crashes and returns with its log under a new id, without its
 * pause; then the old primary does so, too, and the replica confirms it.
 */
START_TEST(test_a_pause_that_is_gone_with_its_id)
{
	story_check_promises(paused_replica_comes_back_as_another);
}
END_TEST

/* All servers are replaced as planned, and one more crashes. */
START_TEST(test_a_release_in_a_change)
{
	story_check_promises(planned_change_of_all_servers);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("newcomers");

	tcase_add_test(tc, test_a_server_that_is_listed_in_a_change);
	tcase_add_test(tc, test_a_server_that_is_listed_at_last);
	tcase_add_test(tc, test_what_new_servers_say_is_noticed);
	tcase_add_test(tc, test_a_server_that_the_changer_sees_late);
	tcase_add_test(tc, test_a_server_that_the_changer_never_paused);
	tcase_add_test(tc, test_a_server_that_was_not_paused_is_noticed);
	tcase_add_test(tc, test_a_pause_that_is_gone_with_its_id);
	tcase_add_test(tc, test_a_release_in_a_change);
	return suite_main("newcomers", tc);
}
