/*
 * Alarms with microsecond deadlines on a libuv loop: its own timers round
 * to a millisecond, which is as long as the delays that are simulated.
 */
#ifndef STANDIN_FAULT_CLOCK_H
#define STANDIN_FAULT_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

#include <uv.h>

struct fault_clock;

/* Part of what it wakes; zeroed but for `fire` at first. */
struct fault_alarm {
	uint64_t due_us;
	bool armed;
	void (*fire)(struct fault_alarm *alarm);
};

struct fault_clock *fault_clock_create(uv_loop_t *loop);
void fault_clock_destroy(struct fault_clock *clock);
void fault_clock_arm(struct fault_clock *clock, struct fault_alarm *alarm,
		     uint64_t due_us);
void fault_clock_disarm(struct fault_clock *clock, struct fault_alarm *alarm);
uint64_t fault_now_us(void);

#endif
