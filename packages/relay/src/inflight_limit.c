/*
 * An adaptive concurrency limit: how many statements this proxy keeps in flight
 * at a server. Steps that prepare a connection for a statement count, too.
 *
 * Failure: replicas fall behind, so all reads that must be fresh go to the
 * primary, which can't run that many. Its queue fills up. Every statement waits
 * there in the order of arrival for most of its latency target, the excess is
 * shed, and nearly all end late although the server is always busy. Hardly any
 * statement of the service is served in time while the overload lasts.
 *
 * Guard: when too many statements are slow, fewer are kept in flight. The rest
 * wait in this proxy's queue, where higher priorities and earlier deadlines
 * come first and the others are refused in time to go elsewhere.
 */
#include "relay_internal.h"

#include <celeryquay/sched/speed.h>

/*
 * A statement is slow when the server took more than its profile's latency
 * target divided by this: the same time as it may wait in the queue here.
 */
#define SLOW_DIVISOR 4
/*
 * The server is congested when more than one statement in this many is slow.
 * Without a queue at the server it is one in 15.
 */
#define CONGESTED_DIVISOR 4
/* Fewer answers are not evaluated, since slow ones come in runs. */
#define MIN_ANSWERS 8
/* The shortest time between two evaluations. */
#define MIN_INTERVAL_US (50 * USEC_PER_MSEC)
/*
 * The limit halves within about three evaluations and grows by one in two. The
 * fast decrease ends an overload within a second; the slow increase keeps it
 * from coming back at once.
 */
#define DECREASE_FACTOR 0.8
#define INCREASE_STEP 0.5
/* The limit is lifted once it exceeds this multiple of the server's slots. */
#define UNLIMITED_SLOTS 4

/* What keeps the server's slots busy: statements, and connections opening. */
unsigned inflight_running(const struct rserver *s)
{
	return s->n_busy - MIN(s->n_busy, s->n_overdue) + s->opening.length;
}

/*
 * A replica that answers again is loaded slowly: one that flaps would otherwise
 * be given all reads each time, and lose them. A primary has no substitute.
 */
static unsigned usable_slots(const struct rserver *s)
{
	unsigned slots = MAX(s->info.slots, 1);

	if (!s->back_at_us || s == s->service->primary)
		return slots;
	return MAX((unsigned)(slots *
			      sspeed_ramp(s->back_at_us, s->relay->ticked_us)),
		   1);
}

/*
 * What waits at the server is in nobody's order. A home through which all
 * statements of a service go keeps the slots busy with one more than they are:
 * the next statement is there when one ends. Opening a connection takes a slot,
 * too. The adaptive limit is not used there: it would leave slots of a slow
 * server empty.
 */
static bool is_full_of_own(const struct rserver *s)
{
	return inflight_running(s) >= usable_slots(s) + 1;
}

/* Whether the limit allows no further statement to the server now. */
bool inflight_is_full(const struct rserver *s)
{
	const struct inflight_limit *l = &s->limit;

	if (s->service->pooled && !s->service->peers)
		return is_full_of_own(s);
	if (!l->most || !s->relay->guards.limit_in_flight)
		return false;
	return s->n_busy >= (unsigned)l->most;
}

/* Notes that one more connection is busy; n_busy includes it already. */
void inflight_on_sent(struct rserver *s)
{
	s->limit.peak = MAX(s->limit.peak, s->n_busy);
}

static void decrease(struct inflight_limit *l)
{
	double from = l->peak;

	if (l->most && l->most < from)
		from = l->most;
	l->most = MAX(from * DECREASE_FACTOR, 1);
}

static void increase(struct inflight_limit *l, unsigned slots)
{
	if (!l->most || l->peak < (unsigned)l->most)
		return;
	l->most += INCREASE_STEP;
	if (l->most > slots * UNLIMITED_SLOTS)
		l->most = 0;
}

/*
 * Notes how long the server took for a statement of the given latency target,
 * or that it shed it, and adapts the limit.
 */
void inflight_on_answer(struct rserver *s, uint64_t took_us,
			uint64_t target_latency_us, enum relay_code code,
			uint64_t now_us)
{
	struct inflight_limit *l = &s->limit;

	l->n++;
	if (code == RELAY_BUSY || took_us * SLOW_DIVISOR > target_latency_us)
		l->n_slow++;
	if (l->n < MIN_ANSWERS || now_us < l->evaluated_at_us + MIN_INTERVAL_US)
		return;
	if (l->n_slow * CONGESTED_DIVISOR > l->n)
		decrease(l);
	else
		increase(l, MAX(s->info.slots, 1));
	l->n = l->n_slow = 0;
	l->peak = s->n_busy;
	l->evaluated_at_us = now_us;
}
