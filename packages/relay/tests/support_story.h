#ifndef CELERYQUAY_TESTS_SUPPORT_STORY_H
#define CELERYQUAY_TESTS_SUPPORT_STORY_H

/*
 * Scenarios with one group of servers and three proxies. A caller at each proxy
 * writes and reads all the time. A fault occurs in some phase of a change of
 * primary, all faults end, and the history is checked.
 */

#include "support_history.h"

#define SCENARIO_RELAYS 3
#define SCENARIO_SEEDS 60

/* In place of a guard's offset in struct relay_guards: none is off. */
#define SCENARIO_ALL_GUARDS SIZE_MAX

/* Returns the violations found, "" if none; the caller frees it. */
typedef char *(*scenario_fn)(uint32_t seed);

/* Runs the proxies for settle_us without callers. */
struct fake *scenario_start(uint32_t seed, uint64_t settle_us);
/* Opens a session at each proxy that has none. */
void scenario_open_callers(struct fake *f);
/*
 * Ends all faults, checks that writes succeed again, and frees the fake;
 * returns the violations found like a scenario_fn.
 */
char *scenario_finish(struct fake *f);
/* The group as a proxy sees it. */
const struct rservice *scenario_service(const struct fake *f, unsigned relay);
/* The proxy that is first in that phase, -1: none within 20 s. */
int scenario_run_until(struct fake *f, enum rphase phase);
/* Runs into a phase that the seed selects, and up to 200 ms further. */
int scenario_run_into_phase(struct fake *f, uint32_t seed);
/* No seed may show a violation. */
void scenario_check_guarantees(scenario_fn scenario);
/* At least one seed must show a violation when the guard is off. */
void scenario_check_guard_is_needed(scenario_fn scenario, size_t guard);

#endif
