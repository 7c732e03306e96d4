#ifndef CELERYQUAY_SCHED_ADMISSION_H
#define CELERYQUAY_SCHED_ADMISSION_H

/*
 * Whether a statement waits for a server or is refused at once, and when a
 * refused caller is told to retry. Times are microseconds.
 */

#include <stdbool.h>
#include <stdint.h>

enum sadmit_verdict {
	SADMIT_WAIT,
	/* It would not end before its deadline behind the work before it. */
	SADMIT_REFUSE_OVERLOAD,
	/* Nothing that may run it is usable, and none is expected in time. */
	SADMIT_REFUSE_NO_SERVER,
	SADMIT_VERDICTS
};

struct sadmit_request {
	uint64_t wait_us; /* predicted; UINT64_MAX: no server may run it now */
	uint64_t cost_us; /* expected service time */
	uint64_t deadline_us; /* instant at which its answer is of no use */
	/*
	 * Instant until which it waits although no server may run it: a change
	 * of primary may end, a connection be opened.
	 */
	uint64_t patience_us;
};

enum sadmit_verdict sadmit_check(const struct sadmit_request *request,
				 uint64_t now_us);
const char *sadmit_verdict_name(enum sadmit_verdict verdict);

/*
 * The times at which refused callers are told to retry, spread so that they
 * return one after the other. Zero-initialized.
 */
struct sretry {
	uint64_t last_at_us; /* instant that the last refused caller was told */
};

/*
 * After how long a refused caller should retry. free_after_us: when a statement
 * like its own could be served; interval_us: time between two statements that
 * the service can finish.
 */
uint64_t sretry_after_us(struct sretry *r, uint64_t free_after_us,
			 uint64_t interval_us, uint64_t now_us);

#endif
