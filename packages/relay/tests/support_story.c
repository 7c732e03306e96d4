#include "support_story.h"

#include <check.h>
#include <string.h>

#define PHASE_TIMEOUT_US (20 * USEC_PER_SEC) /* for reaching a phase */
#define RECOVERY_US (9 * USEC_PER_SEC) /* for recovery from the faults */

/* Offset in struct relay_guards of the guard to switch off. */
static size_t guard_off = SCENARIO_ALL_GUARDS;

static void next_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->open && s->state != 'I')
		hist_start(f, s, RELAY_ROLLBACK, "", "");
	else if (s->open)
		hist_start(f, s, fake_chance(f, 0.5) ? RELAY_WRITE : RELAY_READ,
			   "", "1");
}

static struct hist_session *callers[SCENARIO_RELAYS];

void scenario_open_callers(struct fake *f)
{
	unsigned i;

	for (i = 0; i < SCENARIO_RELAYS; i++) {
		if (callers[i] && callers[i]->open)
			continue;
		callers[i] = hist_open(f, i, 0, RELAY_KIND_PRIMARY);
		callers[i]->next = next_event;
		next_event(f, callers[i]);
	}
}

/*
 * distrust_unpaused is off, too: it asks all replicas while a change may be in
 * progress, which would hide the effect of the other guard.
 */
static void switch_guard_off(struct fake *f)
{
	unsigned i;

	if (guard_off == SCENARIO_ALL_GUARDS)
		return;
	for (i = 0; i < SCENARIO_RELAYS; i++) {
		struct relay_guards *g = relay_guards_of(f->relays[i].relay);

		g->distrust_unpaused = false;
		((bool *)g)[guard_off] = false;
	}
}

/* The seed selects how long promotions take: 300 to 1,000 ms. */
struct fake *scenario_start(uint32_t seed, uint64_t settle_us)
{
	struct fake *f = fake_create(seed, SCENARIO_RELAYS, 1);

	memset(callers, 0, sizeof(callers));
	switch_guard_off(f);
	f->promote_duration_us = 300 * MS + seed % 8 * 100 * MS;
	fake_run(f, settle_us);
	return f;
}

char *scenario_finish(struct fake *f)
{
	unsigned acked, i;
	char *wrong;

	for (i = 0; i < f->n_relays; i++) {
		f->relays[i].list_delay_us = 0;
		f->relays[i].drop_lists = false;
		f->relays[i].deaf = false;
	}
	fake_heal(f);
	fake_publish_lists(f);
	fake_run(f, RECOVERY_US);
	scenario_open_callers(f);
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

const struct rservice *scenario_service(const struct fake *f, unsigned relay)
{
	return g_hash_table_lookup(f->relays[relay].relay->services, "group0");
}

/* The relay that is in that phase of a change, or -1. */
static int relay_in_phase(const struct fake *f, enum rphase phase)
{
	unsigned i;

	for (i = 0; i < f->n_relays; i++)
		if (scenario_service(f, i)->phase == phase)
			return (int)i;
	return -1;
}

/* Polls each millisecond. */
int scenario_run_until(struct fake *f, enum rphase phase)
{
	uint64_t limit_us = f->now_us + PHASE_TIMEOUT_US;

	while (relay_in_phase(f, phase) < 0 && f->now_us < limit_us)
		fake_run(f, MS);
	return relay_in_phase(f, phase);
}

static const enum rphase phases[] = { PHASE_FENCE, PHASE_LEASE_EXPIRY,
				      PHASE_PROMOTE, PHASE_AWAIT_PRIMARY };

/* Returns the proxy that was first in the phase, or -1. */
int scenario_run_into_phase(struct fake *f, uint32_t seed)
{
	int changer =
		scenario_run_until(f, phases[seed % G_N_ELEMENTS(phases)]);

	fake_run(f, fake_random(f, 0, 200) * MS);
	return changer;
}

void scenario_check_guarantees(scenario_fn scenario)
{
	uint32_t seed;

	for (seed = 0; seed < SCENARIO_SEEDS; seed++) {
		char *wrong = scenario(seed);

		ck_assert_msg(!*wrong, "seed %u: %s", seed, wrong);
		g_free(wrong);
	}
}

/* Stops at the first seed with a violation. */
void scenario_check_guard_is_needed(scenario_fn scenario, size_t guard)
{
	bool noticed = false;
	uint32_t seed;

	guard_off = guard;
	for (seed = 0; seed < SCENARIO_SEEDS && !noticed; seed++) {
		char *wrong = scenario(seed);

		noticed = *wrong;
		g_free(wrong);
	}
	guard_off = SCENARIO_ALL_GUARDS;
	ck_assert_msg(noticed, "no seed shows what the guard prevents");
}
