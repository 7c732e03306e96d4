#include <celeryquay/base/pace.h>

#include <celeryquay/base/clock.h>
#include <glib.h>

#define STEPS_A_LOOK 16 /* a look at the clock costs more than a step */
#define RUN_US 4000 /* what a caller's statement may wait for the job */
#define REST_MOST_US 50000 /* also after the VM was suspended */

/*
 * Rests after RUN_US. How long it ran is taken by the wall: on a share of a
 * processor the rest is longer, too.
 */
void pace_step(struct pace *p)
{
	uint64_t now_us, ran_us;

	if (!p || ++p->steps % STEPS_A_LOOK)
		return;
	now_us = clock_boot_us();
	if (!p->began_us)
		p->began_us = now_us;
	ran_us = now_us - p->began_us;
	if (ran_us < RUN_US)
		return;
	g_usleep(MIN(ran_us, REST_MOST_US));
	p->began_us = clock_boot_us();
}
