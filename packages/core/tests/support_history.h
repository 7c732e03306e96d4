#ifndef CELERYQUAY_TESTS_SUPPORT_HISTORY_H
#define CELERYQUAY_TESTS_SUPPORT_HISTORY_H

/*
 * Seeded random histories: sessions of callers write and read through two homes
 * while servers, homes and links fail at random. Each read is checked against
 * the writes acknowledged before it, and each write's answer against the final
 * log.
 */

#include "support_group.h"

struct history_run;

struct history_run *history_run_create(uint32_t seed);
void history_run_destroy(struct history_run *h);
struct rig *history_run_rig(struct history_run *h);
/* Called with the guards of each group that starts, for mutation tests. */
typedef void (*history_guards_fn)(struct group_guards *guards);
void history_run_set_guards(struct history_run *h, history_guards_fn fn);
/*
 * Runs with faults for some seconds, heals and checks. Returns the first
 * violated guarantee, "" if none.
 */
const char *history_run_check(struct history_run *h, unsigned seconds);
/* Prints a line of counts. */
void history_run_print(struct history_run *h, uint32_t seed, const char *what);

#endif
