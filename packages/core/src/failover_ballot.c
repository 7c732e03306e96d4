#include "failover_internal.h"

#include <string.h>

/* Ballots in a row without back-off, after promotions without an answer. */
#define MAX_ATTEMPTS 3
/* Limits the back-off to 16 times backoff_us, before jitter. */
#define MAX_BACKOFF_DOUBLINGS 4

static unsigned count_bits(uint32_t mask)
{
	return (unsigned)__builtin_popcount(mask);
}

static void send_grant(struct failover *f, unsigned server, uint64_t now_us)
{
	f->grant_sent_at_us[server] = now_us;
	f->grant_due_at_us[server] = now_us + f->settings.call_timeout_us;
	f->ops->grant(f->ctx, server, f->term, f->holder);
}

/*
 * Chooses a term above all that were seen and asks every server to grant it.
 * The grants of a majority fence every older primary.
 */
void ballot_start(struct failover *f, enum failover_reason reason,
		  uint64_t now_us)
{
	unsigned i;

	f->reason = reason;
	f->excluded = reason == REASON_STALLED ? f->primary : NO_SERVER;
	f->term = MAX(f->term, f->max_term) + 1;
	f->max_term = f->term;
	f->granters = 0;
	f->refusers = 0;
	f->target = NO_SERVER;
	failover_log_decision(f, "ballot", "why=%s term=%" PRIu64 " rank=%u",
			      watch_reason_name(reason), f->term, f->rank);
	failover_enter_phase(f, FAILOVER_GRANT,
			     now_us + PHASE_CALL_TIMEOUTS *
					      f->settings.call_timeout_us);
	for (i = 0; i < f->n_servers; i++)
		send_grant(f, i, now_us);
}

/*
 * Waits before the next ballot. The jitter separates two holders that split the
 * grants of a term between them; without it they could do so for ever.
 */
void ballot_back_off(struct failover *f, uint64_t now_us)
{
	unsigned doublings = MIN(f->attempts, MAX_BACKOFF_DOUBLINGS);
	uint64_t wait_us = f->settings.backoff_us << doublings;

	f->attempts++;
	wait_us = (uint64_t)(wait_us * g_rand_double_range(f->rng, 0.5, 1.5));
	move_finish(f);
	failover_log_decision(f, "back_off",
			      "term=%" PRIu64 " wait_ms=%" PRIu64
			      " attempts=%u",
			      f->term, wait_us / USEC_PER_MSEC, f->attempts);
	failover_enter_phase(f, FAILOVER_BACKOFF, now_us + wait_us);
}

/*
 * Whether a is a worse target than b: its last entry is earlier or, if they are
 * equal, only a is leaving.
 */
static bool is_worse(const struct failover *f, unsigned a, unsigned b)
{
	const struct position *pa = &f->granted_position[a];
	const struct position *pb = &f->granted_position[b];

	if (pa->term != pb->term)
		return pa->term < pb->term;
	if (pa->index != pb->index)
		return pa->index < pb->index;
	return failover_is_leaving(f, a) && !failover_is_leaving(f, b);
}

/*
 * The candidate with the highest last entry. An acknowledged write is on a
 * majority, so at least one granter has it, and so does the highest one.
 */
static int highest(const struct failover *f, uint32_t candidates)
{
	int best = NO_SERVER;
	unsigned i;

	for (i = 0; i < f->n_servers; i++) {
		if (!(candidates & (1U << i)))
			continue;
		if (best == NO_SERVER ||
		    (f->guards.highest && is_worse(f, (unsigned)best, i)))
			best = (int)i;
	}
	return best;
}

/*
 * A planned switchover promotes its target only if no granter has a higher last
 * entry: a write that ran on in spite of the hold may be on the other servers
 * and acknowledged.
 */
static int planned_target(const struct failover *f, int best)
{
	if (!(f->granters & (1U << f->move_target)))
		return best;
	if (!f->guards.move_highest ||
	    !is_worse(f, (unsigned)f->move_target, (unsigned)best))
		return f->move_target;
	return best;
}

static void promote(struct failover *f, int target, uint64_t now_us)
{
	f->target = target;
	failover_log_decision(f, "promote",
			      "server=%d term=%" PRIu64 " last=%" PRIu64
			      ":%" PRIu64,
			      target, f->term, f->granted_position[target].term,
			      f->granted_position[target].index);
	failover_enter_phase(f, FAILOVER_PROMOTE,
			     now_us + f->settings.call_timeout_us);
	f->ops->promote(f->ctx, (unsigned)target, f->term, f->holder);
}

/*
 * Promotes a server once enough have granted. A planned switchover waits for
 * its target's answer unless the call is final. The excluded server (a stalled
 * primary, whose log is the highest though no replica received it) may only be
 * left out when the others are a majority by themselves.
 */
static void promote_if_granted(struct failover *f, bool final, uint64_t now_us)
{
	unsigned needed = f->guards.majority ? failover_majority(f) : 1;
	uint32_t candidates = f->granters;
	uint32_t counted = f->granters;
	int best;

	if (f->excluded != NO_SERVER)
		candidates &= ~(1U << f->excluded);
	if (f->guards.rest_majority)
		counted = candidates;
	if (count_bits(counted) < needed || !candidates)
		return;
	if (f->moving && !final &&
	    !((f->granters | f->refusers) & (1U << f->move_target)))
		return;
	best = highest(f, candidates);
	if (f->moving)
		best = planned_target(f, best);
	promote(f, best, now_us);
}

/*
 * Whether the answer is a grant of this ballot's term to this holder. Guards
 * against counting a refusal, a late grant of an earlier ballot, or a grant of
 * the same term to another holder.
 */
static bool is_own_grant(const struct failover *f,
			 const struct server_status *status)
{
	return status->granted_ok && status->granted == f->term &&
	       !strcmp(status->holder, f->holder);
}

/* The answer to a grant call. */
void ballot_on_grant(struct failover *f, unsigned server,
		     const struct server_status *status, uint64_t now_us)
{
	if (f->phase != FAILOVER_GRANT)
		return;
	if (is_own_grant(f, status) || !f->guards.own_grant) {
		f->granters |= 1U << server;
		f->granted_position[server].term = status->term;
		f->granted_position[server].index = status->received;
		promote_if_granted(f, false, now_us);
		return;
	}
	if (status->granted < f->term)
		return;
	f->refusers |= 1U << server;
	if (f->n_servers - count_bits(f->refusers) < failover_majority(f))
		ballot_back_off(f, now_us);
}

/* The target is primary: records it, releases the held writes. */
static void on_promoted(struct failover *f, uint64_t now_us)
{
	f->primary = f->target;
	f->primary_term = f->term;
	watch_on_new_primary(f);
	if (f->reason == REASON_STALLED)
		f->stall.count++;
	if (f->moving)
		f->last_move_at_us = now_us;
	f->ops->record(f->ctx, f->term, (unsigned)f->target, f->holder);
	failover_log_decision(f, "promoted", "server=%d term=%" PRIu64,
			      f->target, f->term);
	failover_enter_phase(f, FAILOVER_FOLLOW,
			     now_us + PHASE_CALL_TIMEOUTS *
					      f->settings.call_timeout_us);
	move_finish(f);
}

/* The answer to a promotion, or to another call that shows its outcome. */
void ballot_on_promote(struct failover *f, unsigned server,
		       const struct server_status *status, uint64_t now_us)
{
	if (f->phase != FAILOVER_PROMOTE || (int)server != f->target)
		return;
	if (status->role == ROLE_PRIMARY && status->term == f->term)
		on_promoted(f, now_us);
	else if (status->granted > f->term)
		ballot_back_off(f, now_us);
}

/*
 * A promotion without an answer may have succeeded. Promoting another server in
 * its term could make two primaries of one term, so the next try takes a new
 * term.
 */
static void on_promotion_unanswered(struct failover *f, uint64_t now_us)
{
	int other;

	failover_log_decision(f, "promote_lost", "server=%d term=%" PRIu64,
			      f->target, f->term);
	if (!f->guards.new_term) {
		f->granters &= ~(1U << f->target);
		other = highest(f, f->granters);
		if (other != NO_SERVER) {
			promote(f, other, now_us);
			return;
		}
	}
	if (f->attempts + 1 >= MAX_ATTEMPTS) {
		ballot_back_off(f, now_us);
		return;
	}
	f->attempts++;
	move_finish(f);
	ballot_start(f, f->reason, now_us);
}

/* A grant or a promotion call failed or was not answered in time. */
void ballot_on_failure(struct failover *f, unsigned server,
		       enum failover_call call, uint64_t now_us)
{
	if (call == CALL_GRANT)
		f->grant_due_at_us[server] =
			MAX(now_us, f->grant_sent_at_us[server] +
					    CALL_RETRY_INTERVAL_US);
	if (call == CALL_PROMOTE && f->phase == FAILOVER_PROMOTE &&
	    (int)server == f->target)
		on_promotion_unanswered(f, now_us);
}

/* Asks the servers again that have not answered. */
static void resend_grants(struct failover *f, uint64_t now_us)
{
	uint32_t answered = f->granters | f->refusers;
	unsigned i;

	for (i = 0; i < f->n_servers; i++) {
		if (!(answered & (1U << i)) && now_us >= f->grant_due_at_us[i])
			send_grant(f, i, now_us);
	}
}

/* Handles the deadlines of the ballot and of the back-off after it. */
void ballot_tick(struct failover *f, uint64_t now_us)
{
	if (f->phase == FAILOVER_PROMOTE && now_us >= f->deadline_us) {
		on_promotion_unanswered(f, now_us);
	} else if (f->phase == FAILOVER_GRANT && now_us >= f->deadline_us) {
		promote_if_granted(f, true, now_us);
		if (f->phase == FAILOVER_GRANT)
			ballot_back_off(f, now_us);
	} else if (f->phase == FAILOVER_GRANT) {
		resend_grants(f, now_us);
	} else if (f->phase == FAILOVER_BACKOFF && now_us >= f->deadline_us) {
		failover_enter_phase(f, FAILOVER_WATCH, 0);
	}
}
