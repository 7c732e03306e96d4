#ifndef CELERYQUAY_BASE_PACE_H
#define CELERYQUAY_BASE_PACE_H

#include <stdint.h>

/*
 * Limits a long job in a thread of its own to about half of a processor: it
 * sleeps for as long as it has run, so that it does not starve other threads.
 */
struct pace {
	unsigned steps; /* calls of pace_step() */
	uint64_t run_started_at_us; /* 0: no run yet */
};

/* To be called often by the job; may sleep. Does nothing if p is NULL. */
void pace_step(struct pace *p);

#endif
