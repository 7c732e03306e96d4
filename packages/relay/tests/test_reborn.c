#include "support_history.h"

#include <celeryquay/suite.h>

/*
 * Servers that restart at once under the same id lose their pause, their
 * step-down or their log.
 */

#define SEEDS 40
#define N_RELAYS 3

static struct hist_session *callers[N_RELAYS];

static void next_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->open && s->state != 'I')
		hist_start(f, s, RELAY_ROLLBACK, "", "");
	else if (s->open)
		hist_start(f, s, fake_chance(f, 0.5) ? RELAY_WRITE : RELAY_READ,
			   "", "1");
}

/* Starts three proxies, each with a caller that always writes and reads. */
static struct fake *start(uint32_t seed, bool guard)
{
	struct fake *f = fake_create(seed, N_RELAYS, 1);
	unsigned i;

	for (i = 0; i < N_RELAYS; i++) {
		struct relay_guards *g = relay_guards_of(f->relays[i].relay);

		g->distrust_restarted = guard;
		/* It asks all replicas, which hides distrust_restarted's
		 * effect. */
		g->distrust_unpaused = guard;
	}
	fake_run(f, USEC_PER_SEC);
	for (i = 0; i < N_RELAYS; i++) {
		callers[i] = hist_open(f, i, 0, RELAY_KIND_PRIMARY);
		callers[i]->next = next_event;
		next_event(f, callers[i]);
	}
	fake_run(f, USEC_PER_SEC);
	return f;
}

/* Ends all faults; the violations found until 9 s later, "" if none. */
static char *end(struct fake *f)
{
	unsigned acked;
	char *wrong;

	f->relays[1].drop_lists = false;
	fake_heal(f);
	fake_run(f, 8 * USEC_PER_SEC);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	wrong = g_strdup(hist_check(f));
	if (!*wrong && hist_acknowledged(f) < acked + 50) {
		g_free(wrong);
		wrong = g_strdup("hardly any more is stored");
	}
	fake_destroy(f);
	return wrong;
}

static bool any_relay_in(const struct fake *f, enum rphase phase)
{
	unsigned i;

	for (i = 0; i < f->n_relays; i++) {
		const struct rservice *v = g_hash_table_lookup(
			f->relays[i].relay->services, "group0");

		if (v->phase == phase)
			return true;
	}
	return false;
}

static void run_until(struct fake *f, enum rphase phase)
{
	uint64_t limit_us = f->now_us + 20 * USEC_PER_SEC;

	while (!any_relay_in(f, phase) && f->now_us < limit_us)
		fake_run(f, MS);
}

static const enum rphase phases[] = { PHASE_FENCE, PHASE_LEASE_EXPIRY,
				      PHASE_PROMOTE, PHASE_AWAIT_PRIMARY };

/*
 * The primary is cut off from two proxies of three, which replace it; one
 * replica restarts meanwhile. The third proxy learns of the restart from the
 * list, or only from connections that break.
 */
static char *replica_restarts_in_change(uint32_t seed, bool guard)
{
	struct fake *f = start(seed, guard);

	f->promote_duration_us = 300 * MS + seed % 5 * 100 * MS;
	fake_cut(f, 0, 0, true);
	fake_cut(f, 2, 0, true);
	run_until(f, phases[seed % G_N_ELEMENTS(phases)]);
	fake_run(f, fake_random(f, 0, 200) * MS);
	f->relays[1].drop_lists = seed / 8 % 2;
	fake_restart_at_once(f, 1 + seed / 4 % 2, true);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

/* The primary steps down as planned, and restarts before the promotion. */
static char *primary_restarts_in_planned_change(uint32_t seed, bool guard)
{
	struct fake *f = start(seed, guard);

	f->promote_duration_us = 300 * MS + seed % 5 * 100 * MS;
	f->servers[1].lag_us = f->servers[2].lag_us = 100 * MS;
	f->servers[0].leaving = true;
	fake_publish_lists(f);
	while (f->servers[0].role == ROLE_PRIMARY)
		fake_run(f, MS);
	fake_run(f, fake_random(f, 0, 400) * MS);
	fake_restart_at_once(f, 0, true);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

/* A primary restarts at once with an empty log. */
static char *primary_restarts_without_log(uint32_t seed, bool guard)
{
	struct fake *f = start(seed, guard);

	f->servers[1].lag_us = f->servers[2].lag_us = 10 * MS;
	fake_run(f, fake_random(f, 0, 400) * MS);
	fake_restart_at_once(f, 0, false);
	fake_run(f, 8 * USEC_PER_SEC);
	return end(f);
}

typedef char *(*scenario_fn)(uint32_t seed, bool guard);

static void check_guarantees(scenario_fn scenario)
{
	uint32_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		char *wrong = scenario(seed, true);

		ck_assert_msg(!*wrong, "seed %u: %s", seed, wrong);
		g_free(wrong);
	}
}

static void check_guards_are_needed(scenario_fn scenario)
{
	unsigned n = 0;
	uint32_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		char *wrong = scenario(seed, false);

		n += *wrong != 0;
		g_free(wrong);
	}
	ck_assert_uint_gt(n, 0);
}

/*
 * One proxy still reaches a primary that the two others replace. A replica that
 * was paused for the change restarts under the same id without its pause. If it
 * went on confirming the old primary, writes acknowledged there would be lost
 * with the promotion.
 */
START_TEST(test_replica_forgets_pause)
{
	check_guarantees(replica_restarts_in_change);
}
END_TEST

/* Without the guards the checker finds that fault. */
START_TEST(test_checker_finds_forgotten_pause)
{
	check_guards_are_needed(replica_restarts_in_change);
}
END_TEST

/*
 * A primary has stepped down for a planned change and restarts before the
 * promotion takes effect. It is primary again, its replicas confirm it, and
 * what it stores until the promotion would be lost.
 */
START_TEST(test_primary_forgets_step_down)
{
	check_guarantees(primary_restarts_in_planned_change);
}
END_TEST

/* Without the guards the checker finds that fault. */
START_TEST(test_checker_finds_forgotten_step_down)
{
	check_guards_are_needed(primary_restarts_in_planned_change);
}
END_TEST

/*
 * A primary restarts without its log and is primary of the same term with an
 * empty one. Reads must not miss acknowledged writes, which both replicas have.
 */
START_TEST(test_primary_loses_log)
{
	check_guarantees(primary_restarts_without_log);
}
END_TEST

/* Without the guards the checker finds that fault. */
START_TEST(test_checker_finds_lost_log)
{
	check_guards_are_needed(primary_restarts_without_log);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("reborn");

	tcase_add_test(tc, test_replica_forgets_pause);
	tcase_add_test(tc, test_checker_finds_forgotten_pause);
	tcase_add_test(tc, test_primary_forgets_step_down);
	tcase_add_test(tc, test_checker_finds_forgotten_step_down);
	tcase_add_test(tc, test_primary_loses_log);
	tcase_add_test(tc, test_checker_finds_lost_log);
	return suite_main("reborn", tc);
}
