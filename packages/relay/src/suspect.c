/* Whether a service's primary must be replaced, and why. */
#include "suspect.h"

#include "target.h"

/* A service without a primary for this long gets a new one. */
#define NO_PRIMARY_LIMIT_US (2500 * USEC_PER_MSEC)
/* Replicas of a failing primary are watched from then on. */
#define WATCH_AFTER_US (250 * USEC_PER_MSEC)
/* Within this time from then a replica can have shown its progress. */
#define REPLICA_ANSWER_US (400 * USEC_PER_MSEC)
/* A primary that fails here is left to other proxies for this long at most. */
#define ALIVE_FOR_OTHERS_MAX_US (8 * USEC_PER_SEC)
/*
 * How long a step-down waits for a silent replica: less than the 5 s for which
 * rserver_takes_primary_work() lets a leaving primary have work.
 */
#define STEP_DOWN_DELAY_MAX_US (4 * USEC_PER_SEC)

static struct position newest_received(const struct rservice *v)
{
	struct position newest = { 0 };
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (s != v->primary && rserver_is_up(s))
			newest = position_max(newest, s->status.received);
	}
	return newest;
}

/*
 * Whether the failing primary still serves other proxies.
 *
 * Failure: only this proxy is cut off from a primary that serves all others;
 * replacing it would interrupt them for a second. Guard: replicas that continue
 * to receive writes show that the primary is alive, so as long as one does, the
 * primary is left in place, but for ALIVE_FOR_OTHERS_MAX_US at most.
 */
static bool is_alive_for_others(struct rservice *v, uint64_t now_us)
{
	uint64_t since_us = v->primary->failing_since_us;

	if (now_us > since_us + ALIVE_FOR_OTHERS_MAX_US)
		return false;
	if (v->watch_started_at_us < since_us &&
	    now_us >= since_us + WATCH_AFTER_US) {
		v->watch_started_at_us = now_us;
		v->watch_position = newest_received(v);
		v->alive_for_others = false;
	}
	if (v->watch_started_at_us >= since_us &&
	    position_cmp(newest_received(v), v->watch_position) > 0)
		v->alive_for_others = true;
	if (v->watch_started_at_us < since_us)
		return false;
	if (!v->primary->refused &&
	    now_us < v->watch_started_at_us + REPLICA_ANSWER_US)
		return true; /* no replica's progress can be known yet */
	return v->alive_for_others;
}

static bool is_any_replica_silent(const struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (s != v->primary && !s->moved && !s->refused &&
		    !rserver_is_up(s))
			return true;
	}
	return false;
}

/*
 * Whether a leaving primary may be made to step down. Failure: it steps down
 * while a replica is silent, and there is no primary until that replica has
 * left the list and is given up; or while its successor is far behind, and
 * there is none until that has caught up, or what it lacks is lost. Guard: both
 * are waited for as long as the leaving primary still serves. A primary whose
 * commits must not be lost waits for its successor in any case.
 */
static bool may_step_down(const struct rservice *v, uint64_t now_us)
{
	bool is_late = now_us >
		       v->primary->leaving_at_us + STEP_DOWN_DELAY_MAX_US;

	if (!is_late && is_any_replica_silent(v))
		return false;
	if (!rserver_is_up(v->primary) || (is_late && !v->sync_replicas))
		return true;
	return rtarget_is_successor_near(v, now_us);
}

static const char *primary_failure(struct rservice *v, uint64_t now_us)
{
	const struct relay_settings *set = &v->relay->settings;
	struct rserver *p = v->primary;
	uint64_t limit_us = set->suspect_after_us;
	bool elsewhere;

	if (p->info.leaving) {
		if (may_step_down(v, now_us))
			return "leaving";
		rtarget_refresh(v, now_us);
		return NULL;
	}
	if (p->moved ||
	    (!p->listed &&
	     now_us > p->unlisted_at_us + set->gone_after_us * 2 / 3))
		return "gone";
	if (!p->failing_since_us)
		return NULL;
	elsewhere = is_alive_for_others(v, now_us);
	if (p->refused)
		limit_us = set->refused_after_us;
	if (now_us < p->failing_since_us + limit_us || elsewhere)
		return NULL;
	return p->refused ? "refused" : "silent";
}

/*
 * Whether a server that answers has not reported its role. Failure: a server
 * whose connections are all taken answers this proxy, but not with a status;
 * the primary then counted as missing, and its replicas were paused.
 */
static bool any_role_unknown(const struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (s->listed && rserver_is_up(s) && !s->status_at_us)
			return true;
	}
	return false;
}

/* Why the primary must be replaced, NULL if it need not or can't be. */
const char *rsuspect_reason(struct rservice *v, uint64_t now_us)
{
	if (!rtarget_exists(v))
		return NULL;
	if (v->primary)
		return primary_failure(v, now_us);
	if (now_us > v->no_primary_us + NO_PRIMARY_LIMIT_US &&
	    !any_role_unknown(v))
		return "missing";
	return NULL;
}
