/*
 * How many statements this proxy keeps in flight at a server: an adaptive
 * concurrency limit. What prepares a connection for a statement counts too.
 *
 * Failure: replicas fall behind, all that must be fresh goes to the primary,
 * and that is more than it can run. Its queue fills up; every statement waits
 * there in the order of arrival for most of its aim, those that come in vain
 * are shed, and nearly all end late, though the server works all the time. It
 * shows as a service of which hardly anything is served in time for as long
 * as it lasts. Guard: where too many statements take long, fewer are kept in
 * flight, and the rest wait here, where those of a higher priority and an
 * earlier due time come first and the others are refused in time to go
 * elsewhere.
 */
#include "relay_internal.h"

/*
 * A statement is slow when the server took more than this share of its
 * profile's aim: as much as it may wait here.
 */
#define SLOW_SHARE 4
/* One slow one in so many is too much; without a queue it is one in 15. */
#define CONGESTED_SHARE 4
/* As few as may be judged: slow ones come in runs. */
#define JUDGED_LEAST 8
#define JUDGE_US (50 * USEC_PER_MSEC)
/*
 * Down to a half within three judgements, up by one in two: the first ends an
 * overload within a second, the second keeps it from coming back at once.
 */
#define SHRINK 0.8
#define GROW 0.5
/* More than a server's slots and as much again is no limit any more. */
#define FREE_SLOTS 4

/* Whether no further statement should be sent there. */
bool rcl_is_full(const struct rserver *s)
{
	const struct rclimit *l = &s->limit;

	if (!l->most || !s->relay->guards.limit_in_flight)
		return false;
	return s->n_busy >= (unsigned)l->most;
}

/* One more connection is busy; it is counted already. */
void rcl_on_sent(struct rserver *s)
{
	s->limit.peak = MAX(s->limit.peak, s->n_busy);
}

static void shrink(struct rclimit *l)
{
	double from = l->peak;

	if (l->most && l->most < from)
		from = l->most;
	l->most = MAX(from * SHRINK, 1);
}

static void grow(struct rclimit *l, unsigned slots)
{
	if (!l->most || l->peak < (unsigned)l->most)
		return;
	l->most += GROW;
	if (l->most > slots * FREE_SLOTS)
		l->most = 0;
}

/* The server took so long for a statement of that aim, or shed it. */
void rcl_on_answer(struct rserver *s, uint64_t took_us, uint64_t aim_us,
		   enum relay_code code, uint64_t now_us)
{
	struct rclimit *l = &s->limit;

	l->n++;
	if (code == RELAY_BUSY || took_us * SLOW_SHARE > aim_us)
		l->n_slow++;
	if (l->n < JUDGED_LEAST || now_us < l->judged_us + JUDGE_US)
		return;
	if (l->n_slow * CONGESTED_SHARE > l->n)
		shrink(l);
	else
		grow(l, MAX(s->info.slots, 1));
	l->n = l->n_slow = 0;
	l->peak = s->n_busy;
	l->judged_us = now_us;
}
