#include <celeryquay/base/pace.h>

#include <celeryquay/base/clock.h>
#include <glib.h>

/* The clock is read once in so many steps: reading costs more than a step. */
#define STEPS_PER_CLOCK_READ 16
/* Bounds how long a caller's statement waits for the job. */
#define RUN_SLICE_US 4000
/* Bounds a sleep: time in which the VM was suspended counts as run time. */
#define SLEEP_MAX_US 50000

/*
 * Sleeps once the job has run for RUN_SLICE_US. The run is measured in elapsed
 * time, so the sleep is longer, too, when the job gets only a share of a
 * processor.
 */
void pace_step(struct pace *p)
{
	uint64_t now_us, ran_us;

	if (!p || ++p->steps % STEPS_PER_CLOCK_READ)
		return;
	now_us = clock_boot_us();
	if (!p->run_started_at_us)
		p->run_started_at_us = now_us;
	ran_us = now_us - p->run_started_at_us;
	if (ran_us < RUN_SLICE_US)
		return;
	g_usleep(MIN(ran_us, SLEEP_MAX_US));
	p->run_started_at_us = clock_boot_us();
}
