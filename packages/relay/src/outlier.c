/*
 * Outlier detection: a server that fails part of its statements although its
 * health checks pass.
 *
 * Failure: one server of a group sheds, fails or never answers a share of its
 * statements. Since it does less work its latency looks best, so it gets more
 * of them, and callers see retries, late answers and refusals. Guard: the
 * average delay that its failures cause is added to the server's cost, so that
 * others are preferred while they have capacity. The server is never excluded
 * altogether, the penalty decays, and where all servers fail alike, as in an
 * overload, the order between them doesn't change.
 */
#include "relay_internal.h"

/*
 * What a failure costs the statement. One that the server sheds needs a retry:
 * a round trip, a backoff of up to 40 ms, and one of six tries. One that fails
 * has also used the server's time. One whose answer is lost is retried after
 * 150 ms at the earliest.
 */
#define SHED_COST_US (60 * USEC_PER_MSEC)
#define FAILED_COST_US (100 * USEC_PER_MSEC)
#define LOST_COST_US (250 * USEC_PER_MSEC)
/*
 * The newest answer counts one eighth of the moving average, so that about ten
 * statements decide.
 */
#define WEIGHT 8
/* Without a new answer the penalty halves after each such period. */
#define HALF_LIFE_US (1 * USEC_PER_SEC)
/* After more half-lives the penalty is 0; bounds the shift. */
#define MAX_HALF_LIVES 20

/* The penalty that is added to the server's cost now. */
uint64_t routlier_cost_us(const struct routlier *o, uint64_t now_us)
{
	uint64_t since_us = now_us - MIN(o->updated_at_us, now_us);
	uint64_t half_lives = since_us / HALF_LIFE_US;

	return half_lives > MAX_HALF_LIVES ? 0 : o->cost_us >> half_lives;
}

static void add_sample(struct routlier *o, uint64_t us, uint64_t now_us)
{
	uint64_t before_us = routlier_cost_us(o, now_us);

	o->cost_us = (before_us * (WEIGHT - 1) + us) / WEIGHT;
	o->updated_at_us = now_us;
}

/* Notes the server's answer to a caller's statement. */
void routlier_on_answer(struct routlier *o, enum relay_code code,
			uint64_t now_us)
{
	if (code == RELAY_OK)
		add_sample(o, 0, now_us);
	else if (code == RELAY_BUSY)
		add_sample(o, SHED_COST_US, now_us);
	else if (code == RELAY_FAILED)
		add_sample(o, FAILED_COST_US, now_us);
}

/* Notes an answer that is lost or later than usual. */
void routlier_on_lost(struct routlier *o, uint64_t now_us)
{
	add_sample(o, LOST_COST_US, now_us);
}
