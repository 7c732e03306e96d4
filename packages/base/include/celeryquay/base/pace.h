#ifndef CELERYQUAY_BASE_PACE_H
#define CELERYQUAY_BASE_PACE_H

#include <stdint.h>

/*
 * Keeps a long job, in a thread of its own, from taking the processor from
 * others: the job rests for as long as it has run.
 */
struct pace {
	unsigned steps;
	uint64_t began_us; /* it runs since then, 0: it has not begun */
};

/* Called often by the job; may sleep. NULL is ignored. */
void pace_step(struct pace *p);

#endif
