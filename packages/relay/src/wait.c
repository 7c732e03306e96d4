/*
 * The queue of statements that wait for a connection: to a home, or to a server
 * of a service whose homes are not pooled.
 */
#define LOG_MODULE "wait"
#include "wait.h"

#include "homes.h"
#include "scheduler.h"

/* The queue timeout is a profile's latency target divided by this. */
#define QUEUE_TIMEOUT_DIVISOR 4
/*
 * The part of the queue timeout that a statement from another proxy may wait
 * here when that proxy did not say how long.
 */
#define PEER_WAIT_NUM 3
#define PEER_WAIT_DEN 4
/* From the caller to this proxy and back. */
#define CALLER_ROUND_TRIP_US (10 * USEC_PER_MSEC)
/*
 * Allowed for the round trip between two proxies and their own work, which take
 * 2 to 3 ms.
 */
#define PEER_ROUND_TRIP_US (4 * USEC_PER_MSEC)
/*
 * A proxy that becomes a home of a service whose homes are pooled, as when it
 * is asked as a spare, has to connect to the servers and find the primary
 * first. The statements that come meanwhile wait this long: with the usual
 * queue timeout, 30 ms, some were refused after each change of the list.
 */
#define NEW_HOME_WAIT_US (150 * USEC_PER_MSEC)
/* After how long a refused caller is told to retry, at least. */
#define MIN_RETRY_AFTER_US (100 * USEC_PER_MSEC)

static bool has_precedence(const struct rrun *a, const struct rrun *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->account_priority != b->account_priority)
		return a->account_priority < b->account_priority;
	return a->due_us < b->due_us;
}

/* Queues the run by priority, then by deadline of its latency target. */
void rwait_push(struct rsession *s, uint64_t now_us)
{
	GQueue *waiting = &s->relay->waiting;
	GList *before = waiting->tail;

	if (rsched_applies(s)) {
		rsched_push(s, now_us);
		return;
	}
	while (before &&
	       has_precedence(&s->run, &((struct rsession *)before->data)->run))
		before = before->prev;
	s->run.state = RRUN_QUEUED;
	if (before)
		g_queue_insert_after_link(waiting, before, &s->run.link);
	else
		g_queue_push_head_link(waiting, &s->run.link);
}

/*
 * How long a statement may wait in the queue. A caller that is refused early
 * can still retry within its latency target; one that waited for long can't.
 * Where the target is too short for any retry, the statement waits for as long
 * as it may still be served in time. With faults, and a target of 100 ms, this
 * lowers the late urgent statements from 5.0 % to 3.7 % and the refused ones
 * from 0.9 % to 0.5 %.
 */
static uint64_t queue_timeout_us(const struct relay_profile *profile,
				 bool for_peer)
{
	uint64_t us = profile->target_latency_us / QUEUE_TIMEOUT_DIVISOR;

	if (us + MIN_RETRY_AFTER_US >= profile->target_latency_us)
		us = profile->target_latency_us;
	/* The other proxy may have queued it before, too. */
	if (for_peer)
		us = us * PEER_WAIT_NUM / PEER_WAIT_DEN;

	us = us > 2 * CALLER_ROUND_TRIP_US ? us - CALLER_ROUND_TRIP_US : us / 2;
	return MIN(us, profile->timeout_us);
}

/*
 * Time that the statement has spent elsewhere, on its way here. A proxy that
 * leaves it to a home says how much of its time is left. One that does not pool
 * homes, as of an older version, says how much of its queue timeout is left,
 * which is far less; taken for the time left, it would have nearly all such
 * statements refused.
 */
static uint64_t elapsed_us(const struct relay_profile *profile,
			   uint64_t wait_us)
{
	uint64_t queue_us = queue_timeout_us(profile, false);

	if (wait_us && wait_us <= queue_us)
		return queue_us - wait_us;
	return wait_us && wait_us < profile->timeout_us ?
		       profile->timeout_us - wait_us :
		       0;
}

/*
 * Where homes are pooled, a statement waits in one queue for all that it may
 * wait, as long as it is expected to be served; the queue timeout holds only
 * while no server may run it. Elsewhere it is refused after the queue timeout.
 */
void rwait_set_deadlines(struct rsession *s,
			 const struct relay_profile *profile, uint64_t wait_us,
			 uint64_t now_us)
{
	const struct rservice *v =
		registry_service_of_database(s->relay, s->database);
	struct rrun *run = &s->run;
	uint64_t timeout_us = queue_timeout_us(profile, s->peer);

	run->pooled = v && v->pooled;
	/* Of an earlier statement; rsched_push() sets them if it is called. */
	run->wait.cost_us = run->forecast_us = 0;
	run->verdict = SADMIT_WAIT;
	run->deadline_us = now_us + profile->timeout_us;
	run->due_us = now_us + profile->target_latency_us;
	if (run->pooled) {
		uint64_t spent_us = elapsed_us(profile, wait_us);

		run->deadline_us -= spent_us;
		run->due_us -= MIN(spent_us, profile->target_latency_us);
		if (s->peer && !(v->is_home && v->primary_usable_at_us))
			timeout_us = MAX(timeout_us, NEW_HOME_WAIT_US);
	} else if (wait_us) {
		timeout_us = MIN(wait_us, profile->timeout_us);
	}
	run->queue_deadline_us = now_us + timeout_us;
}

/*
 * The time left here, less the round trips to the other proxy and to the
 * caller; at least 1, as 0 is no time limit.
 */
uint64_t rwait_peer_wait_us(const struct rrun *run, uint64_t now_us)
{
	uint64_t until_us = run->queue_deadline_us;

	if (run->pooled)
		until_us = run->deadline_us -
			   MIN(CALLER_ROUND_TRIP_US, run->deadline_us);
	return until_us > now_us + PEER_ROUND_TRIP_US ?
		       until_us - now_us - PEER_ROUND_TRIP_US :
		       1;
}

/* Takes a run that starts out of its queue. */
void rwait_on_started(struct rsession *s)
{
	if (rsched_is_queued(s))
		rsched_on_started(s);
	else
		g_queue_unlink(&s->relay->waiting, &s->run.link);
}

/* Takes a run that won't start out of its queue. */
void rwait_cancel(struct rsession *s)
{
	if (rsched_is_queued(s))
		rsched_cancel(s);
	else
		g_queue_unlink(&s->relay->waiting, &s->run.link);
}

/* Starts queued runs, in the queues' order, for which there is a connection. */
void rwait_dispatch(struct relay *r, uint64_t now_us)
{
	GList *l = r->waiting.head;

	while (l) {
		GList *next = l->next;

		rrun_try_start(l->data, now_us);
		l = next;
	}
	rsched_dispatch(r, now_us);
}

/*
 * A statement that a server shed is refused at once when its queue timeout is
 * over, unless the queue predicts whether it is served. Retries against an
 * overloaded server would go on otherwise, and the caller would be told to
 * retry when its latency target is nearly used up.
 */
bool rwait_may_requeue(const struct rsession *s, uint64_t now_us)
{
	return rsched_applies(s) || now_us < s->run.queue_deadline_us;
}

/* Refuses a run; the text says when to retry. */
void rwait_refuse(struct rsession *s, uint64_t retry_after_us, uint64_t now_us)
{
	char text[64];

	g_snprintf(text, sizeof(text), "no server in time; come back in %u ms",
		   (unsigned)(retry_after_us / USEC_PER_MSEC));
	/* Callers need not know that a home is cut off from a server. */
	rrun_fail(s, s->run.code == RELAY_MOVED ? RELAY_BUSY : s->run.code,
		  text, now_us);
}

/* Refuses a run that got no server, until the next primary if it needs one. */
void rwait_refuse_unserved(struct rsession *s, uint64_t now_us)
{
	const struct rservice *v =
		registry_service_of_database(s->relay, s->database);
	uint64_t until_us = 0, wait_us = MIN_RETRY_AFTER_US;

	if (v && s->run.to_primary)
		until_us = rfailover_expected_primary_at_us(v);
	if (until_us > now_us + wait_us)
		wait_us = until_us - now_us;
	rwait_refuse(s, wait_us, now_us);
}

/* Refuses a run whose queue timeout is over. */
void rwait_check(struct rsession *s, uint64_t now_us)
{
	if (!rsched_is_queued(s) && now_us >= s->run.queue_deadline_us)
		rwait_refuse_unserved(s, now_us);
}
