#ifndef CELERYQUAY_TESTS_SUPPORT_STORY_H
#define CELERYQUAY_TESTS_SUPPORT_STORY_H

/*
 * Stories of one group of servers and three proxies with a caller each that
 * writes and reads all the while: something happens in a phase of a change of
 * primary, all heals, and the history is looked through.
 */

#include "support_history.h"

#define STORY_RELAYS 3
#define STORY_SEEDS 60

/* The proxies run without a guard of struct relay_guards, or with all. */
#define STORY_ALL_GUARDS SIZE_MAX

/* What was wrong, "" when nothing was; free it. */
typedef char *(*story_fn)(uint32_t seed);

/* The callers come after settle_us. */
struct fake *story_start(uint32_t seed, uint64_t settle_us);
void story_callers_come(struct fake *f);
char *story_end(struct fake *f);
const struct rservice *story_service(const struct fake *f, unsigned relay);
/* The proxy that comes to that phase first, -1: none does in 20 s. */
int story_run_until(struct fake *f, enum rphase phase);
/* Into one of the phases, drawn from the seed, and up to 200 ms on. */
int story_run_into_a_phase(struct fake *f, uint32_t seed);
void story_check_promises(story_fn story);
/* At least one seed shows the fault when the guard is off. */
void story_check_is_noticed(story_fn story, size_t guard);

#endif
