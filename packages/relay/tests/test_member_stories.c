#include "support_story.h"

#include <celeryquay/suite.h>
#include <string.h>

/*
 * Servers and proxies restart while a primary is replaced: scenarios taken from
 * the random histories of test_member_days.c.
 */

/* Callers start after 6 s, when the proxies know all servers. */
static struct fake *start(uint32_t seed)
{
	struct fake *f = scenario_start(seed, 6 * USEC_PER_SEC);

	scenario_open_callers(f);
	fake_run(f, USEC_PER_SEC);
	return f;
}

static unsigned target_of(const struct fake *f, int relay)
{
	const struct rservice *v = scenario_service(f, (unsigned)relay);
	unsigned i;

	for (i = 1; i < f->n_servers; i++)
		if (v->target && !strcmp(v->target->info.id, f->servers[i].id))
			return i;
	return 1;
}

/*
 * The other replica is leaving, or has left, or restarts as well, and the proxy
 * that makes the change can't reach it to pause it again.
 */
static char *target_restarts(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned target;
	int coordinator;

	if (seed % 3 == 0)
		fake_leave(f, 2, 9 * USEC_PER_SEC);
	if (seed % 3 == 1)
		fake_leave(f, 2, 0);
	fake_run(f, 8 * USEC_PER_SEC);
	f->promote_duration_us = 1000 * MS;
	fake_crash(f, 0);
	coordinator = scenario_run_until(f, PHASE_AWAIT_PRIMARY);
	target = coordinator < 0 ? 1 : target_of(f, coordinator);
	fake_run(f, fake_random(f, 0, 300) * MS);
	if (seed % 3 == 2) {
		fake_cut(f, (unsigned)MAX(coordinator, 0), 3 - target, true);
		fake_restart_at_once(f, 3 - target, true);
	}
	fake_restart_at_once(f, target, true);
	fake_run(f, fake_random(f, 0, 300) * MS);
	fake_restart_at_once(f, 0, true);
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

/*
 * The proxy that makes the change reaches the primary, but not the only running
 * replica, and the other replica restarts after about two seconds; so the
 * change takes longer than the claim excludes other proxies.
 */
static char *change_that_outlives_its_claim(uint32_t seed)
{
	struct fake *f = start(seed);
	int coordinator;

	f->promote_call_delay_us = fake_random(f, 1000, 2500) * MS;
	f->promote_duration_us = 400 * MS;
	fake_leave(f, 0, 5500 * MS);
	coordinator = scenario_run_until(f, PHASE_CATCH_UP);
	if (coordinator >= 0)
		fake_cut(f, (unsigned)coordinator, 1, true);
	fake_crash(f, 2);
	fake_run(f, fake_random(f, 1700, 2000) * MS);
	fake_restart_at_once(f, 2, true);
	fake_run(f, fake_random(f, 1500, 3000) * MS);
	memset(f->cut, 0, sizeof(f->cut));
	fake_run(f, 6 * USEC_PER_SEC);
	return scenario_finish(f);
}

/* A proxy restarts in some phase of its own change or of another proxy's. */
static char *proxy_restarts(uint32_t seed)
{
	static const enum rphase phases[] = { PHASE_FENCE, PHASE_LEASE_EXPIRY,
					      PHASE_PROMOTE,
					      PHASE_AWAIT_PRIMARY };
	struct fake *f = start(seed);
	int coordinator;

	fake_crash(f, 0);
	coordinator =
		scenario_run_until(f, phases[seed % G_N_ELEMENTS(phases)]);
	fake_run(f, fake_random(f, 0, 100) * MS);
	if (coordinator >= 0 && seed / 4 % 2)
		fake_restart_relay(f, (unsigned)coordinator);
	else
		fake_restart_relay(f, ((unsigned)coordinator + 1) %
					      SCENARIO_RELAYS);
	scenario_open_callers(f);
	fake_run(f, fake_random(f, 0, 100) * MS);
	if (seed / 8 % 2)
		fake_add_replica(f, 0);
	fake_rejoin_with_new_id(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return scenario_finish(f);
}

/*
 * A service has two servers left. The primary crashes, and the replica is
 * paused. While its promotion is in progress, the replica restarts under the
 * same id and has no pause any more. The old primary restarts, too, and the
 * replica, the only one to ask, confirms it. A write acknowledged there would
 * be lost with the promotion.
 */
START_TEST(test_target_restarts)
{
	scenario_check_guarantees(target_restarts);
}
END_TEST

/*
 * A planned change takes longer than its claim excludes other proxies, and
 * another proxy claims the duty and requests a promotion. The first proxy
 * claims it back at once for its second fence, and both call the platform: the
 * older token must not be sent after the newer one.
 */
START_TEST(test_change_outlives_its_claim)
{
	scenario_check_guarantees(change_that_outlives_its_claim);
}
END_TEST

/*
 * A proxy restarts while it or another proxy replaces a primary; all servers
 * are new to it. The old primary returns under a new id, and the restarted
 * proxy must not rely on it either.
 */
START_TEST(test_proxy_restarts)
{
	scenario_check_guarantees(proxy_restarts);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("member-stories");

	tcase_add_test(tc, test_target_restarts);
	tcase_add_test(tc, test_change_outlives_its_claim);
	tcase_add_test(tc, test_proxy_restarts);
	return suite_main("member-stories", tc);
}
