#include "support_story.h"

#include <celeryquay/suite.h>

/*
 * Servers that are listed again or restart, and proxies that resume or are
 * late, while another proxy's change of primary is under way.
 */

#define FREEZE_US (6 * USEC_PER_SEC)
/* How long a service may be without a primary. */
#define CHANGE_MAX_US (7 * USEC_PER_SEC)

static struct fake *start(uint32_t seed)
{
	struct fake *f = scenario_start(seed, 6 * USEC_PER_SEC);

	scenario_open_callers(f);
	fake_run(f, USEC_PER_SEC);
	return f;
}

/* Whether a proxy other than `but` makes its fence or has just completed it. */
static bool any_other_is_fencing(const struct fake *f, int but)
{
	int i;

	for (i = 0; i < SCENARIO_RELAYS; i++) {
		enum rphase phase = scenario_service(f, (unsigned)i)->phase;

		if (i != but &&
		    (phase == PHASE_LEASE_EXPIRY || phase == PHASE_FENCE))
			return true;
	}
	return false;
}

static char *own_pause_beside_anothers_promotion(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned ms = 0;
	int changer;

	f->promote_call_delay_us = (2600 + seed % 6 * 100) * MS;
	f->promote_duration_us = 700 * MS;
	fake_crash(f, 0);
	changer = scenario_run_until(f, PHASE_PROMOTE);
	if (changer >= 0)
		fake_suspend_relay(f, (unsigned)changer, FREEZE_US);
	while (!any_other_is_fencing(f, changer) && ms++ < 6000)
		fake_run(f, MS);
	fake_run(f, seed % 10 * 10 * MS);
	fake_rejoin_with_new_id(f, 0);
	fake_run(f, FREEZE_US);
	return scenario_finish(f);
}

/*
 * Only the proxy that replaces the primary is cut off from it and from a
 * replica that has left the list. The replica is listed again once the fence is
 * complete, and the other proxies hear of both a little later.
 */
static char *replica_that_is_relisted(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i, changer = seed % SCENARIO_RELAYS, ms = 0;

	f->promote_duration_us = 300 * MS;
	for (i = 0; i < SCENARIO_RELAYS; i++)
		if (i != changer)
			f->relays[i].list_delay_us =
				(100 + seed % 5 * 100) * MS;
	fake_cut(f, changer, 0, true);
	fake_run(f, 3000 * MS);
	fake_cut(f, changer, 2, true);
	f->servers[2].listed = false;
	fake_publish_lists(f);
	while (scenario_service(f, changer)->phase != PHASE_LEASE_EXPIRY &&
	       ms++ < 20000)
		fake_run(f, MS);
	fake_run(f, 12 * MS);
	for (i = 0; i < SCENARIO_RELAYS; i++)
		f->relays[i].list_delay_us = i == changer ? 1000 * MS : 0;
	f->servers[2].listed = true;
	fake_publish_lists(f);
	fake_run(f, 6 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *lone_primary_without_the_store(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i, last = SCENARIO_RELAYS - 1;

	f->promote_duration_us = 300 * MS;
	fake_crash(f, 1);
	fake_crash(f, 2);
	fake_run(f, 10 * USEC_PER_SEC);
	f->relays[last].deaf = true;
	f->relays[last].drop_lists = true;
	for (i = 0; i < last; i++)
		fake_cut(f, i, 0, true);
	fake_restart(f, 1);
	fake_run(f, 14 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *target_that_restarts(uint32_t seed)
{
	struct fake *f = start(seed);

	fake_crash(f, 2);
	fake_run(f, 10 * USEC_PER_SEC);
	f->promote_duration_us = 1000 * MS;
	fake_crash(f, 0);
	scenario_run_until(f, PHASE_PROMOTE);
	fake_run(f, 20 * MS);
	fake_restart_at_once(f, 1, true);
	fake_run(f, seed % 2 * 30 * MS);
	fake_restart(f, 0);
	fake_run(f, 6 * USEC_PER_SEC);
	return scenario_finish(f);
}

/*
 * The primary goes silent, and once its replicas are paused one of them ends
 * for good. How long the service has no primary, in us.
 */
static uint64_t change_in_which_a_paused_replica_ends(struct fake *f)
{
	uint64_t silent_us = f->now_us;

	f->servers[0].dark = true;
	scenario_run_until(f, PHASE_LEASE_EXPIRY);
	fake_run(f, fake_random(f, 0, 300) * MS);
	fake_crash(f, 1);
	f->servers[1].replaced = true;
	while (!f->n_promotions && f->now_us < silent_us + 20 * USEC_PER_SEC)
		fake_run(f, MS);
	return f->now_us - silent_us;
}

static char *paused_replica_that_ends(uint32_t seed)
{
	struct fake *f = start(seed);

	change_in_which_a_paused_replica_ends(f);
	return scenario_finish(f);
}

static char *paused_replica_that_restarts(uint32_t seed)
{
	struct fake *f = start(seed);

	f->servers[0].dark = true;
	scenario_run_until(f, PHASE_LEASE_EXPIRY);
	fake_run(f, fake_random(f, 0, 300) * MS);
	fake_crash(f, 1);
	fake_run(f, fake_random(f, 0, 1000) * MS);
	f->servers[0].dark = false;
	fake_restart_at_once(f, 1, true);
	fake_run(f, 6 * USEC_PER_SEC);
	return scenario_finish(f);
}

/*
 * A proxy is suspended while its promotion is under way. Another one claims the
 * duty, pauses the replicas again and sees the old primary come back. Guards
 * against that proxy ending at once the pauses that it takes for its own.
 */
START_TEST(test_an_own_pause_beside_anothers_promotion)
{
	scenario_check_guarantees(own_pause_beside_anothers_promotion);
}
END_TEST

/*
 * A replica's entry in the list lapses while it runs. A change of primary goes
 * on without it, and it is listed again before other proxies have dropped it:
 * to them it was there all the time.
 */
START_TEST(test_a_replica_that_is_relisted)
{
	scenario_check_guarantees(replica_that_is_relisted);
}
END_TEST

/*
 * Both replicas are gone, and a proxy rightly relies on the primary alone. That
 * proxy loses the store, a replica comes back, and other proxies, which can't
 * reach the primary, have the replica promoted.
 */
START_TEST(test_a_lone_primary_without_the_store)
{
	scenario_check_guarantees(lone_primary_without_the_store);
}
END_TEST

/*
 * The server that is being promoted restarts under its id before the promotion
 * takes effect, and confirms the old primary, which is also back.
 */
START_TEST(test_a_target_that_restarts)
{
	scenario_check_guarantees(target_that_restarts);
}
END_TEST

/* Fails if a change gives up because a paused replica has ended. */
START_TEST(test_a_paused_replica_that_ends_is_not_waited_for)
{
	uint32_t seed;

	for (seed = 0; seed < SCENARIO_SEEDS; seed++) {
		struct fake *f = start(seed);
		uint64_t us = change_in_which_a_paused_replica_ends(f);

		ck_assert_msg(us <= CHANGE_MAX_US, "seed %u: %u ms", seed,
			      (unsigned)(us / MS));
		fake_destroy(f);
	}
	scenario_check_guarantees(paused_replica_that_ends);
}
END_TEST

/* Fails if such a replica comes back and confirms the old primary. */
START_TEST(test_a_paused_replica_that_restarts_confirms_nothing)
{
	scenario_check_guarantees(paused_replica_that_restarts);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("returns");

	tcase_add_test(tc, test_an_own_pause_beside_anothers_promotion);
	tcase_add_test(tc, test_a_replica_that_is_relisted);
	tcase_add_test(tc, test_a_lone_primary_without_the_store);
	tcase_add_test(tc, test_a_paused_replica_that_ends_is_not_waited_for);
	tcase_add_test(tc,
		       test_a_paused_replica_that_restarts_confirms_nothing);
	tcase_add_test(tc, test_a_target_that_restarts);
	return suite_main("returns", tc);
}
