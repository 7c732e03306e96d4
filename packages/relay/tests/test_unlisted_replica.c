/*
 * A replica of a service with sync_replicas loses the store: its entry expires,
 * and it goes on receiving. What only it has is lost if another replica is
 * promoted by proxies that don't know of it, or take it for gone.
 */
#include "support_durable.h"

#include <celeryquay/suite.h>
#include <string.h>

/* The other replica is behind by up to half of that. */
static void fall_behind(struct fake *f, unsigned server)
{
	f->servers[server].lag_us = fake_random(f, 100, 400) * MS;
}

/* The replica whose entry expires is the only one that is up to date. */
static void lose_the_holder(struct fake *f)
{
	fall_behind(f, BEHIND);
	durable_lose_the_store(f, HOLDER);
}

/* The replica is listed again that long after the crash. */
static void crash_primary(struct fake *f, unsigned from_ms, unsigned to_ms)
{
	durable_crash_for_a_while(f, PRIMARY);
	durable_run_for(f, from_ms, to_ms);
	durable_reach_the_store(f, HOLDER);
}

/* Proxies start one after the other and don't know the replica. */
static void unlisted_holder_and_new_relays(struct fake *f)
{
	lose_the_holder(f);
	durable_restart_relays(f, 300, 1000);
	durable_run_for(f, 0, 1000);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* All proxies start at once. */
static void unlisted_holder_and_killed_relays(struct fake *f)
{
	lose_the_holder(f);
	durable_run_for(f, 0, 1000);
	durable_restart_relays(f, 0, 0);
	durable_run_for(f, 500, 4000);
	crash_primary(f, 300, 1500);
	fake_run(f, 14 * USEC_PER_SEC);
}

/* One proxy is new and may be the first to act; the others know. */
static void unlisted_holder_and_an_added_relay(struct fake *f)
{
	lose_the_holder(f);
	durable_run_for(f, 0, 4000);
	fake_restart_relay(f, (unsigned)fake_random(f, 0, DURABLE_RELAYS));
	durable_open_writers(f);
	durable_run_for(f, 300, 2000);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* It stays without the store for longer than proxies keep what they know. */
static void long_unlisted_holder(struct fake *f)
{
	lose_the_holder(f);
	durable_run_for(f, 4000, 20000);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* The same, and proxies start meanwhile. */
static void long_unlisted_holder_and_new_relays(struct fake *f)
{
	lose_the_holder(f);
	durable_run_for(f, 2000, 15000);
	durable_restart_relays(f, 0, 1000);
	durable_run_for(f, 500, 12000);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* Some proxies can't reach it either. */
static void unlisted_and_unreachable_holder(struct fake *f)
{
	unsigned i;

	fall_behind(f, BEHIND);
	for (i = 0; i < DURABLE_RELAYS; i++)
		if (fake_chance(f, 0.6))
			fake_cut(f, i, HOLDER, true);
	durable_lose_the_store(f, HOLDER);
	durable_run_for(f, 1000, 6000);
	durable_crash_for_a_while(f, PRIMARY);
	durable_run_for(f, 300, 2500);
	memset(f->cut, 0, sizeof(f->cut));
	durable_reach_the_store(f, HOLDER);
	fake_run(f, 12 * USEC_PER_SEC);
}

static void holder_unlisted_twice(struct fake *f)
{
	lose_the_holder(f);
	durable_run_for(f, 500, 7000);
	durable_reach_the_store(f, HOLDER);
	durable_run_for(f, 0, 1500);
	durable_lose_the_store(f, HOLDER);
	durable_run_for(f, 0, 3000);
	if (fake_chance(f, 0.5))
		durable_restart_relays(f, 100, 500);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* The store comes back from a copy that lacks the replica's entry. */
static void store_forgets_the_holder(struct fake *f)
{
	fall_behind(f, BEHIND);
	f->servers[HOLDER].listed = false;
	fake_copy_store(f);
	f->servers[HOLDER].listed = true;
	f->servers[HOLDER].without_store = true;
	durable_run_for(f, 100, 1000);
	fake_restore_store(f);
	durable_run_for(f, 0, 4000);
	if (fake_chance(f, 0.5))
		durable_restart_relays(f, 100, 500);
	crash_primary(f, 300, 3000);
	fake_run(f, 14 * USEC_PER_SEC);
}

/* It ends, and a new server has its log at its address. */
static void unlisted_holder_is_succeeded(struct fake *f)
{
	lose_the_holder(f);
	durable_run_for(f, 500, 3000);
	if (fake_chance(f, 0.5))
		durable_restart_relays(f, 100, 400);
	fake_crash(f, HOLDER);
	durable_run_for(f, 0, 600);
	fake_rejoin_with_new_id(f, HOLDER);
	durable_run_for(f, 0, 600);
	durable_crash_for_a_while(f, PRIMARY);
	fake_run(f, 14 * USEC_PER_SEC);
}

/* The primary is cut off from the proxies, and does not crash. */
static void primary_is_cut_off(struct fake *f)
{
	unsigned i;

	lose_the_holder(f);
	durable_restart_relays(f, 100, 600);
	for (i = 0; i < DURABLE_RELAYS; i++)
		fake_cut(f, i, PRIMARY, true);
	durable_run_for(f, 1000, 4000);
	memset(f->cut, 0, sizeof(f->cut));
	durable_reach_the_store(f, HOLDER);
	fake_run(f, 14 * USEC_PER_SEC);
}

static const struct durable_path paths[] = {
	{ "unlisted holder, new relays", unlisted_holder_and_new_relays },
	{ "unlisted holder, killed relays", unlisted_holder_and_killed_relays },
	{ "unlisted holder, added relay", unlisted_holder_and_an_added_relay },
	{ "long unlisted holder", long_unlisted_holder },
	{ "long unlisted holder, new relays",
	  long_unlisted_holder_and_new_relays },
	{ "unreachable unlisted holder", unlisted_and_unreachable_holder },
	{ "holder unlisted twice", holder_unlisted_twice },
	{ "store forgets the holder", store_forgets_the_holder },
	{ "unlisted holder is succeeded", unlisted_holder_is_succeeded },
	{ "primary is cut off", primary_is_cut_off },
};

/* Guards against a promotion without the commits of an unlisted replica. */
START_TEST(test_unlisted_replica_is_not_forgotten)
{
	durable_check_path(&paths[_i]);
}
END_TEST

/* Guards against a wait for replicas where no commit waits for them. */
START_TEST(test_new_relays_without_sync_replicas_do_not_wait)
{
	struct fake *f = durable_start_with((uint32_t)_i, 0);

	durable_restart_relays(f, 0, 0);
	fake_run(f, USEC_PER_SEC);
	fake_crash(f, PRIMARY);
	durable_check_promotion(f, DURABLE_FAILOVER_MAX_US);
	fake_destroy(f);
}
END_TEST

/* Guards against a planned change that waits though the log is at hand. */
START_TEST(test_planned_change_after_a_restart_does_not_wait)
{
	struct fake *f = durable_start((uint32_t)_i);

	durable_restart_relays(f, 0, 0);
	fake_run(f, USEC_PER_SEC);
	durable_leave(f, PRIMARY, 9 * USEC_PER_SEC);
	durable_check_promotion(f, DURABLE_FAILOVER_MAX_US);
	fake_destroy(f);
}
END_TEST

/* Guards against a wait for servers that the roster shows not to exist. */
START_TEST(test_crash_after_a_restart_is_answered)
{
	struct fake *f = durable_start((uint32_t)_i);

	durable_restart_relays(f, 0, 0);
	fake_run(f, USEC_PER_SEC);
	fake_crash(f, PRIMARY);
	durable_check_promotion(f, DURABLE_FAILOVER_MAX_US);
	fake_destroy(f);
}
END_TEST

/* Guards against a wait without a roster that does not end. */
START_TEST(test_wait_without_a_roster_ends)
{
	struct fake *f = durable_start((uint32_t)_i);

	memset(f->rosters, 0, sizeof(f->rosters));
	durable_restart_relays(f, 0, 0);
	fake_crash(f, PRIMARY);
	fake_run(f, DURABLE_START_WAIT_US - USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 0);
	durable_check_promotion(f, DURABLE_GIVEN_UP_US - DURABLE_START_WAIT_US);
	fake_destroy(f);
}
END_TEST

static bool is_in_roster(const struct fake *f, unsigned server)
{
	const struct fake_roster *roster = &f->rosters[0];
	unsigned i;

	for (i = 0; i < roster->n; i++)
		if (roster->servers[i] == server)
			return true;
	return false;
}

/* Until a server that ended is taken out of the roster. */
#define ROSTER_UPDATE_US (75 * USEC_PER_SEC)

/* Guards against a roster that lacks a server, or keeps those of all time. */
START_TEST(test_roster_follows_the_servers)
{
	struct fake *f = durable_start((uint32_t)_i);
	unsigned added;

	ck_assert(is_in_roster(f, PRIMARY) && is_in_roster(f, HOLDER) &&
		  is_in_roster(f, BEHIND));
	ck_assert_uint_le(f->n_rosters_written, 3);
	added = fake_add_replica(f, 0);
	fake_run(f, USEC_PER_SEC);
	ck_assert(is_in_roster(f, added));
	durable_lose_the_store(f, HOLDER);
	fake_leave(f, BEHIND, 100 * MS);
	fake_run(f, ROSTER_UPDATE_US);
	ck_assert(is_in_roster(f, HOLDER));
	ck_assert(!is_in_roster(f, BEHIND));
	ck_assert_uint_le(f->n_rosters_written, 7);
	fake_destroy(f);
}
END_TEST

/* Guards against trust in a roster from before the store's return. */
START_TEST(test_roster_is_written_again_after_a_return)
{
	struct fake *f = durable_start((uint32_t)_i);

	fake_copy_store(f);
	fake_restore_store(f);
	ck_assert(f->rosters[0].era != f->era);
	fake_run(f, 2 * USEC_PER_SEC);
	ck_assert(f->rosters[0].era == f->era);
	ck_assert_uint_eq(f->rosters[0].n, GROUP_SIZE);
	fake_destroy(f);
}
END_TEST

/* Guards against calls of the store for services that need no roster. */
START_TEST(test_no_roster_without_sync_replicas)
{
	struct fake *f = durable_start_with((uint32_t)_i, 0);

	fake_run(f, USEC_PER_SEC);
	ck_assert_uint_eq(f->n_rosters_written, 0);
	fake_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("unlisted_replica");

	tcase_add_loop_test(tc, test_unlisted_replica_is_not_forgotten, 0,
			    G_N_ELEMENTS(paths));
	tcase_add_loop_test(
		tc, test_new_relays_without_sync_replicas_do_not_wait, 0, 4);
	tcase_add_loop_test(
		tc, test_planned_change_after_a_restart_does_not_wait, 0, 4);
	tcase_add_loop_test(tc, test_crash_after_a_restart_is_answered, 0, 4);
	tcase_add_loop_test(tc, test_wait_without_a_roster_ends, 0, 4);
	tcase_add_loop_test(tc, test_roster_follows_the_servers, 0, 4);
	tcase_add_loop_test(tc, test_roster_is_written_again_after_a_return, 0,
			    4);
	tcase_add_loop_test(tc, test_no_roster_without_sync_replicas, 0, 2);
	return suite_main("unlisted_replica", tc);
}
