#include <celeryquay/sched/admission.h>

#include <glib.h>

/* Sooner than this a caller can't be back, given its own round trip. */
#define MIN_RETRY_AFTER_US (UINT64_C(100) * 1000)
/*
 * Callers' deadlines are some seconds; nothing is known about the load further
 * ahead than that.
 */
#define MAX_RETRY_AFTER_US (UINT64_C(5) * 1000 * 1000)

/* Checks again whether a statement that waits, or is to wait, is served. */
enum sadmit_verdict sadmit_check(const struct sadmit_request *request,
				 uint64_t now_us)
{
	if (request->wait_us == UINT64_MAX)
		return now_us < request->patience_us ? SADMIT_WAIT :
						       SADMIT_REFUSE_NO_SERVER;
	if (now_us + request->wait_us + request->cost_us > request->deadline_us)
		return SADMIT_REFUSE_OVERLOAD;
	return SADMIT_WAIT;
}

/* The verdict as logs and metrics name it. */
const char *sadmit_verdict_name(enum sadmit_verdict verdict)
{
	static const char *const names[] = {
		[SADMIT_WAIT] = "wait",
		[SADMIT_REFUSE_OVERLOAD] = "overload",
		[SADMIT_REFUSE_NO_SERVER] = "no-server",
	};

	return names[verdict];
}

/*
 * After how long a refused caller should retry. If all were told the same time,
 * they would return together, most would be refused again, and each has but a
 * few retries. Once the latest time has been told, it begins with the earliest
 * again.
 */
uint64_t sretry_after_us(struct sretry *r, uint64_t free_after_us,
			 uint64_t interval_us, uint64_t now_us)
{
	uint64_t least_us =
		CLAMP(free_after_us, MIN_RETRY_AFTER_US, MAX_RETRY_AFTER_US);
	uint64_t at_us = MAX(now_us + least_us, r->last_at_us + interval_us);

	if (at_us > now_us + MAX_RETRY_AFTER_US)
		at_us = now_us + least_us;
	r->last_at_us = at_us;
	return at_us - now_us;
}
