#include "support_story.h"

#include <celeryquay/suite.h>

#include <stddef.h>

/*
 * The store comes back from an older copy while a primary is replaced: claims
 * and servers' entries are gone, and proxies learn of it one after the other.
 */

#define SEEDS 60
#define EPISODES 5
#define LATE_MAX_MS 2500 /* by so much a proxy may learn of a return late */
/* How long a service may be without a primary. */
#define CHANGE_MAX_US (7 * USEC_PER_SEC)
#define WRITES_TIMEOUT_US (15 * USEC_PER_SEC)

static struct fake *start(uint32_t seed)
{
	struct fake *f = scenario_start(seed, 6 * USEC_PER_SEC);

	scenario_open_callers(f);
	fake_run(f, USEC_PER_SEC);
	return f;
}

static void learn_late(struct fake *f, unsigned relay)
{
	f->relays[relay].return_delay_us = fake_random(f, 0, LATE_MAX_MS) * MS;
}

static char *claim_of_a_proxy_that_learns_late(uint32_t seed)
{
	struct fake *f = start(seed);
	int changer;

	fake_copy_store(f);
	fake_crash(f, 0);
	changer = scenario_run_into_phase(f, seed);
	if (changer >= 0)
		learn_late(f, (unsigned)changer);
	fake_restore_store(f);
	fake_run(f, 6 * USEC_PER_SEC);
	return scenario_finish(f);
}

static char *promotion_that_is_told_late(uint32_t seed)
{
	struct fake *f = start(seed);
	int changer;

	fake_copy_store(f);
	f->promote_call_delay_us = fake_random(f, 0, 1400) * MS;
	fake_crash(f, 0);
	changer = scenario_run_until(f, PHASE_LEASE_EXPIRY);
	fake_run(f, fake_random(f, 0, 500) * MS);
	if (changer >= 0)
		learn_late(f, (unsigned)changer);
	fake_restore_store(f);
	fake_run(f, fake_random(f, 0, 1500) * MS);
	fake_restart(f, 0);
	fake_run(f, 6 * USEC_PER_SEC);
	return scenario_finish(f);
}

/*
 * One proxy has not heard of a new replica when the store forgets it, and the
 * replica can't write its entry again. The other proxies know it, hear of the
 * return, and are then cut off from the store.
 */
static char *replica_that_one_proxy_never_knew(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned changer = seed % SCENARIO_RELAYS, i, added;

	f->promote_duration_us = 1000 * MS;
	fake_copy_store(f);
	f->relays[changer].list_delay_us = 20 * USEC_PER_SEC;
	added = fake_add_replica(f, 0);
	f->servers[added].without_store = true;
	fake_run(f, USEC_PER_SEC);
	fake_restore_store(f);
	f->relays[changer].list_delay_us = 0;
	fake_run(f, 50 * MS);
	for (i = 0; i < SCENARIO_RELAYS; i++)
		f->relays[i].deaf = i != changer;
	fake_crash(f, 0);
	scenario_run_until(f, PHASE_PROMOTE);
	fake_run(f, fake_random(f, 0, 400) * MS);
	fake_restart(f, 0);
	fake_run(f, 6 * USEC_PER_SEC);
	f->servers[added].without_store = false;
	return scenario_finish(f);
}

/* Fails if a proxy acts on a claim that the store has forgotten. */
START_TEST(test_a_claim_of_a_proxy_that_learns_late)
{
	scenario_check_guarantees(claim_of_a_proxy_that_learns_late);
}
END_TEST

/* Fails if a claim follows a forgotten one whose promotion is on its way. */
START_TEST(test_a_promotion_that_is_told_late)
{
	scenario_check_guarantees(promotion_that_is_told_late);
}
END_TEST

/* Fails if a server that the store has forgotten confirms a primary. */
START_TEST(test_a_replica_that_one_proxy_never_knew)
{
	scenario_check_guarantees(replica_that_one_proxy_never_knew);
}
END_TEST

/* The checker notices if a forgotten server confirms a primary. */
START_TEST(test_forgotten_servers_and_claims_still_count)
{
	scenario_check_guard_is_needed(replica_that_one_proxy_never_knew,
				       offsetof(struct relay_guards,
						expect_forgotten));
}
END_TEST

/* Fails if proxies go on expecting a duty record that the copy lacks. */
START_TEST(test_a_primary_is_replaced_after_the_record_is_gone)
{
	struct fake *f = start(1);
	unsigned n;

	fake_copy_store(f);
	fake_crash(f, 0);
	scenario_run_until(f, PHASE_AWAIT_PRIMARY);
	fake_run(f, 4 * USEC_PER_SEC);
	fake_restart(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	n = f->n_promotions;
	ck_assert_uint_eq(n, 1);
	fake_restore_store(f);
	ck_assert_uint_eq(f->duty_revision, 0);
	fake_crash(f, fake_primary(f, 0)->index);
	fake_run(f, CHANGE_MAX_US);
	ck_assert_uint_eq(f->n_promotions, n + 1);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

static void restore_event(struct fake *f, void *data)
{
	unsigned i;

	(void)data;
	for (i = 0; i < SCENARIO_RELAYS; i++)
		learn_late(f, i);
	fake_restore_store(f);
}

static void copy_event(struct fake *f, void *data)
{
	(void)data;
	fake_copy_store(f);
}

static void restart_event(struct fake *f, void *data)
{
	fake_restart(f, GPOINTER_TO_UINT(data));
}

static void fault_event(struct fake *f, void *data)
{
	unsigned all[MAX_SERVERS], n = fake_running_servers(f, 0, all);
	unsigned server = n ? all[fake_random(f, 0, n)] : 0;
	unsigned relay = (unsigned)fake_random(f, 0, SCENARIO_RELAYS);

	(void)data;
	switch (fake_random(f, 0, 6)) {
	case 0:
		if (fake_may_stop(f, server)) {
			fake_crash(f, server);
			fake_at(f, -1, fake_random(f, 20, 2500) * MS,
				restart_event, GUINT_TO_POINTER(server), NULL);
		}
		break;
	case 1:
		if (n < 5 && f->n_servers < MAX_SERVERS && fake_primary(f, 0))
			fake_add_replica(f, 0);
		break;
	case 2:
		fake_restart_relay(f, relay);
		scenario_open_callers(f);
		break;
	case 3:
		fake_cut(f, relay, server, true);
		break;
	case 4:
		fake_suspend_relay(f, relay, fake_random(f, 200, 2500) * MS);
		break;
	default:
		f->relays[relay].list_delay_us = fake_random(f, 50, 2500) * MS;
		break;
	}
}

static void end_primary_event(struct fake *f, void *data)
{
	struct fake_server *p = fake_primary(f, 0);

	(void)data;
	if (!p || !fake_may_stop(f, p->index))
		return;
	fake_crash(f, p->index);
	fake_at(f, -1, fake_random(f, 20, 2500) * MS, restart_event,
		GUINT_TO_POINTER(p->index), NULL);
}

/* Faults of 3 s, among them the primary's and one or two returns. */
static void episode(struct fake *f)
{
	unsigned i, n = (unsigned)fake_random(f, 1, 5);

	fake_at(f, -1, fake_random(f, 0, 1500) * MS, copy_event, NULL, NULL);
	fake_at(f, -1, fake_random(f, 1500, 3000) * MS, restore_event, NULL,
		NULL);
	if (fake_chance(f, 0.3))
		fake_at(f, -1, fake_random(f, 1500, 3000) * MS, restore_event,
			NULL, NULL);
	fake_at(f, -1, 1500 * MS, end_primary_event, NULL, NULL);
	for (i = 0; i < n; i++)
		fake_at(f, -1, fake_random(f, 0, 3000) * MS, fault_event, NULL,
			NULL);
	fake_run(f, 3000 * MS + fake_random(f, 500, 4500) * MS);
}

static void heal(struct fake *f)
{
	unsigned i, all[MAX_SERVERS];

	fake_heal(f);
	for (i = 0; i < SCENARIO_RELAYS; i++)
		f->relays[i].list_delay_us = 0;
	if (fake_running_servers(f, 0, all) < GROUP_SIZE &&
	    fake_primary(f, 0) && f->n_servers < MAX_SERVERS)
		fake_add_replica(f, 0);
	fake_publish_lists(f);
}

/* Fails if any order of these faults breaks a guarantee. */
START_TEST(test_returns_among_other_faults)
{
	unsigned seed, i, bad = 0, promotions = 0;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct fake *f = start(seed);
		bool is_writable;

		for (i = 0; i < EPISODES; i++) {
			scenario_open_callers(f);
			episode(f);
			heal(f);
			fake_run(f, fake_random(f, 0, 4000) * MS);
		}
		is_writable = hist_accepts_writes(f, WRITES_TIMEOUT_US);
		if (*hist_check(f) || !is_writable) {
			bad++;
			g_printerr("seed %u: %s%s\n", seed, hist_check(f),
				   is_writable ? "" : "not writable again");
		}
		promotions += f->n_promotions;
		fake_destroy(f);
	}
	ck_assert_msg(!bad, "%u of %u seeds", bad, SEEDS);
	ck_assert_uint_gt(promotions, SEEDS);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("store-return");

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, test_a_claim_of_a_proxy_that_learns_late);
	tcase_add_test(tc, test_a_promotion_that_is_told_late);
	tcase_add_test(tc, test_a_replica_that_one_proxy_never_knew);
	tcase_add_test(tc, test_forgotten_servers_and_claims_still_count);
	tcase_add_test(tc, test_a_primary_is_replaced_after_the_record_is_gone);
	tcase_add_test(tc, test_returns_among_other_faults);
	return suite_main("store-return", tc);
}
