#include "support_history.h"

#include <celeryquay/suite.h>
#include <string.h>

/*
 * Servers and proxies that start anew while a primary is replaced, as the days
 * of test_member_days.c found them.
 */

#define SEEDS 60
#define N_RELAYS 3
#define CHANGE_LIMIT_US (20 * USEC_PER_SEC)
#define REST_US (9 * USEC_PER_SEC)

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

/* A caller at each proxy that has none. */
static void come(struct fake *f)
{
	unsigned i;

	for (i = 0; i < N_RELAYS; i++) {
		if (callers[i] && callers[i]->open)
			continue;
		callers[i] = hist_open(f, i, 0, RELAY_KIND_PRIMARY);
		callers[i]->next = next_event;
		next_event(f, callers[i]);
	}
}

/* Three proxies with a caller each that writes and reads all the while. */
static struct fake *start(uint32_t seed)
{
	struct fake *f = fake_create(seed, N_RELAYS, 1);
	unsigned i;

	for (i = 0; i < N_RELAYS; i++)
		callers[i] = NULL;
	f->ages = seed / 2 % 2;
	f->promote_us = 300 * MS + seed % 8 * 100 * MS;
	fake_run(f, 6 * USEC_PER_SEC);
	come(f);
	fake_run(f, USEC_PER_SEC);
	return f;
}

/* What was wrong until a while after all has healed. */
static char *end(struct fake *f)
{
	unsigned acked;
	char *wrong;

	fake_heal(f);
	fake_list(f);
	fake_run(f, REST_US);
	come(f);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	wrong = g_strdup(hist_check(f));
	if (!*wrong && hist_acknowledged(f) < acked + 50) {
		g_free(wrong);
		wrong = g_strdup("nothing is stored any more");
	}
	fake_destroy(f);
	return wrong;
}

static const struct rservice *service_at(const struct fake *f, unsigned relay)
{
	return g_hash_table_lookup(f->relays[relay].relay->services, "group0");
}

/* The relay that replaces the primary and has come that far, or -1. */
static int run_until(struct fake *f, enum rphase phase)
{
	uint64_t limit_us = f->now_us + CHANGE_LIMIT_US;
	unsigned i;

	for (; f->now_us < limit_us; fake_run(f, MS))
		for (i = 0; i < N_RELAYS; i++)
			if (service_at(f, i)->phase == phase)
				return (int)i;
	return -1;
}

static unsigned target_of(const struct fake *f, int relay)
{
	const struct rservice *v = service_at(f, (unsigned)relay);
	unsigned i;

	for (i = 1; i < f->n_servers; i++)
		if (v->target && !strcmp(v->target->info.id, f->servers[i].id))
			return i;
	return 1;
}

/*
 * The other replica is told to leave, or gone, or starts anew as well, where
 * the changing proxy can't pause it again.
 */
static char *target_starts_anew(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned target;
	int changer;

	if (seed % 3 == 0)
		fake_leave(f, 2, 9 * USEC_PER_SEC);
	if (seed % 3 == 1)
		fake_leave(f, 2, 0);
	fake_run(f, 8 * USEC_PER_SEC);
	f->promote_us = 1000 * MS;
	fake_crash(f, 0);
	changer = run_until(f, PHASE_SETTLE);
	target = changer < 0 ? 1 : target_of(f, changer);
	fake_run(f, fake_random(f, 0, 300) * MS);
	if (seed % 3 == 2) {
		fake_cut(f, (unsigned)MAX(changer, 0), 3 - target, true);
		fake_reborn(f, 3 - target, true);
	}
	fake_reborn(f, target, true);
	fake_run(f, fake_random(f, 0, 300) * MS);
	fake_reborn(f, 0, true);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

/*
 * The changing proxy reaches the primary, not the one replica that runs, and
 * the other starts again after two seconds; so its change goes on for longer
 * than its claim keeps others away.
 */
static char *change_that_outlives_its_claim(uint32_t seed)
{
	struct fake *f = start(seed);
	int changer;

	f->promote_late_us = fake_random(f, 1000, 2500) * MS;
	f->promote_us = 400 * MS;
	fake_leave(f, 0, 5500 * MS);
	changer = run_until(f, PHASE_CATCH_UP);
	if (changer >= 0)
		fake_cut(f, (unsigned)changer, 1, true);
	fake_crash(f, 2);
	fake_run(f, fake_random(f, 1700, 2000) * MS);
	fake_reborn(f, 2, true);
	fake_run(f, fake_random(f, 1500, 3000) * MS);
	memset(f->cut, 0, sizeof(f->cut));
	fake_run(f, 6 * USEC_PER_SEC);
	return end(f);
}

/* A proxy's process begins anew in any phase, its own change or another's. */
static char *proxy_starts_anew(uint32_t seed)
{
	static const enum rphase phases[] = { PHASE_FENCE, PHASE_HOLD,
					      PHASE_PROMOTE, PHASE_SETTLE };
	struct fake *f = start(seed);
	int changer;

	fake_crash(f, 0);
	changer = run_until(f, phases[seed % G_N_ELEMENTS(phases)]);
	fake_run(f, fake_random(f, 0, 100) * MS);
	if (changer >= 0 && seed / 4 % 2)
		fake_restart_relay(f, (unsigned)changer);
	else
		fake_restart_relay(f, ((unsigned)changer + 1) % N_RELAYS);
	come(f);
	fake_run(f, fake_random(f, 0, 100) * MS);
	if (seed / 8 % 2)
		fake_join(f, 0);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

typedef char *(*story_fn)(uint32_t seed);

static void check_promises(story_fn story)
{
	unsigned n_bad = 0;
	uint32_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		char *wrong = story(seed);

		if (*wrong) {
			n_bad++;
			g_printerr("seed %u: %s\n", seed, wrong);
		}
		g_free(wrong);
	}
	ck_assert_msg(!n_bad, "%u of %u seeds", n_bad, SEEDS);
}

/*
 * A service has two servers left. Its primary dies, the replica is paused, and
 * its promotion is under way when it starts again under its id, without its
 * pause. The old primary starts again, too; the replica is the only one to be
 * asked, so all agree, and a code that is stored there is gone a moment later.
 */
START_TEST(test_a_target_that_starts_anew)
{
	check_promises(target_starts_anew);
}
END_TEST

/*
 * A planned change takes longer than its claim keeps others away, and another
 * proxy claims the duty and has a server promoted. The first claims it back for
 * its second fence, at once, and both tell the platform: the older token after
 * the newer one.
 */
START_TEST(test_a_change_that_outlives_its_claim)
{
	check_promises(change_that_outlives_its_claim);
}
END_TEST

/*
 * A proxy's process ends while a primary is replaced, by it or by another, and
 * begins anew; servers are all new to it. The old primary comes back under
 * another id, and is not to be relied on there either.
 */
START_TEST(test_a_proxy_that_starts_anew)
{
	check_promises(proxy_starts_anew);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("member-stories");

	tcase_add_test(tc, test_a_target_that_starts_anew);
	tcase_add_test(tc, test_a_change_that_outlives_its_claim);
	tcase_add_test(tc, test_a_proxy_that_starts_anew);
	return suite_main("member-stories", tc);
}
