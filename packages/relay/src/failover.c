/*
 * Failover: the replacement of a primary, one state machine per service.
 *
 * WATCH: no change runs; one starts if the primary fails, leaves or is missing.
 * CLAIM: the duty record is written on condition that it is unchanged. Its new
 *   revision is the token that the platform checks, so tokens only increase. A
 *   proxy that sees another's claim does nothing for claim_hold_us.
 * FENCE: the primary steps down, or every other server is paused in a higher
 *   term. Either takes away what the lease of rprimary_lease_holds() rests on.
 * CATCH_UP: the target receives the rest of the log of a primary that stepped
 *   down.
 * HOLD: leases that other proxies got before the pause expire, and a claim made
 *   after it shows that no server was missed.
 * PROMOTE, SETTLE: the platform is told to promote the target; the target
 *   reports that it is primary.
 */
#define LOG_MODULE "change"
#include "durable.h"
#include "homes.h"
#include "pending.h"
#include "suspect.h"
#include "target.h"

#include <celeryquay/base/log.h>

#include <string.h>

/* A change usually takes about this long. */
#define TYPICAL_CHANGE_US (2 * USEC_PER_SEC)
/*
 * Up to this is added to a start or a back-off, so that proxies don't all claim
 * at once.
 */
#define JITTER_US (80 * USEC_PER_MSEC)
#define BACKOFF_US USEC_PER_SEC /* after a change that was aborted */
/* Timeouts of the phases; a change that exceeds one is aborted or retried. */
#define CLAIM_TIMEOUT_US USEC_PER_SEC
#define FENCE_TIMEOUT_US (2500 * USEC_PER_MSEC)
#define CATCH_UP_TIMEOUT_US (2 * USEC_PER_SEC)
#define CATCH_UP_PAUSE_TIMEOUT_US USEC_PER_SEC /* from then on */
#define PROMOTE_TIMEOUT_US (1500 * USEC_PER_MSEC)
#define SETTLE_TIMEOUT_US (3 * USEC_PER_SEC)
#define MAX_PROMOTE_RETRIES 3

/* Whether this proxy is replacing the service's primary. */
bool rfailover_is_running(const struct rservice *v)
{
	if (v->phase == PHASE_CLAIM) /* the second claim of a change */
		return v->fenced_at_us || v->stepped_down;
	return v->phase != PHASE_WATCH;
}

/* Whether a promotion of another server than the primary may take effect. */
bool rfailover_is_promotion_pending(const struct rservice *v, uint64_t now_us)
{
	return rpending_may_replace(v->relay->pending, v->name,
				    v->primary ? v->primary->info.id : NULL,
				    now_us);
}

/* When a primary can be expected again, 0 if there is one that works. */
uint64_t rfailover_expected_primary_at_us(const struct rservice *v)
{
	if (!v->primary)
		return v->no_primary_us + TYPICAL_CHANGE_US;
	if (v->primary->failing_since_us)
		return v->primary->failing_since_us + TYPICAL_CHANGE_US;
	return 0;
}

/* The phase's name in logs. */
const char *rfailover_phase_name(enum rphase phase)
{
	static const char *const names[] = {
		[PHASE_WATCH] = "none",		  [PHASE_CLAIM] = "claim",
		[PHASE_FENCE] = "fence",	  [PHASE_CATCH_UP] = "catch-up",
		[PHASE_LEASE_EXPIRY] = "hold",	  [PHASE_PROMOTE] = "promote",
		[PHASE_AWAIT_PRIMARY] = "settle",
	};

	return names[phase];
}

static void log_change(const struct rservice *v, const char *step,
		       const char *why, uint64_t now_us)
{
	struct log_line *l = log_event(LOG_STATE, "change");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_cstr(l, "step", step);
	log_cstr(l, "why", why);
	log_cstr(l, "old", v->old ? v->old->info.id : "");
	log_cstr(l, "target", v->target ? v->target->info.id : "");
	log_u64(l, "term", v->term);
	log_u64(l, "fence_term", v->fence_term);
	log_u64(l, "token", v->relay->token);
	log_u64(l, "try", v->tries + 1);
	log_cstr(l, "after", rfailover_phase_name(v->phase));
	log_u64(l, "after_ms",
		(now_us - MIN(v->phase_started_at_us, now_us)) / USEC_PER_MSEC);
	log_event_end(l);
}

/* A call that nobody waits for any more must not reach the platform. */
static void give_up_call(struct rservice *v)
{
	if (rpending_give_up(v->relay->pending, v->name))
		v->relay->ops->cancel_promotions(v->relay->ctx, v->name);
}

static void enter(struct rservice *v, enum rphase phase, uint64_t now_us)
{
	if (v->phase == PHASE_PROMOTE)
		give_up_call(v);
	if (phase != PHASE_WATCH)
		log_change(v, rfailover_phase_name(phase), v->reason, now_us);
	v->phase = phase;
	v->phase_started_at_us = now_us;
}

static void abort_change(struct rservice *v, const char *why, uint64_t now_us)
{
	log_change(v, "gave-up", why, now_us);
	v->act_not_before_us =
		now_us + BACKOFF_US +
		(uint64_t)g_rand_int_range(v->relay->rng, 0, JITTER_US);
	v->act_scheduled = true;
	enter(v, PHASE_WATCH, now_us);
}

static void start_claim(struct rservice *v, uint64_t now_us)
{
	struct relay *r = v->relay;

	enter(v, PHASE_CLAIM, now_us);
	rduty_claim(r, now_us);
}

/*
 * Claims the duty again in the middle of a change. Failure: the change takes
 * longer than its claim keeps other proxies away, another proxy claims the
 * duty, and this one claims it back at once. The other continues with a claim
 * that it believes to be valid, and the platform receives the older token after
 * the newer one. Guard: like the first claim, this one waits while another
 * proxy has the duty.
 */
static void claim_again(struct rservice *v, uint64_t now_us)
{
	if (rduty_is_held_elsewhere(v->relay, now_us))
		abort_change(v, "another has the duty", now_us);
	else
		start_claim(v, now_us);
}

static void log_awaited(const struct rservice *v, uint64_t now_us)
{
	struct rpending_view pending =
		rpending_of(v->relay->pending, v->name, now_us);
	struct log_line *l = log_event(LOG_STATE, "promotion-awaited");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_cstr(l, "server", pending.server ? pending.server : "");
	log_u64(l, "pending", pending.n);
	log_event_end(l);
}

/*
 * Whether no server may be named for now, because an earlier promotion may take
 * effect: a change would only pause the replicas in vain.
 */
static bool is_promotion_awaited(struct rservice *v, uint64_t now_us)
{
	bool is_awaited = rtarget_best(v) && !rtarget_choose(v, now_us);

	if (is_awaited && !v->promotion_awaited)
		log_awaited(v, now_us);
	v->promotion_awaited = is_awaited;
	return is_awaited;
}

static void watch(struct rservice *v, uint64_t now_us)
{
	const char *why = rsuspect_reason(v, now_us);

	if (!why)
		v->withheld = v->promotion_awaited = false;
	if (!why || rdurable_is_withheld(v, now_us) ||
	    is_promotion_awaited(v, now_us)) {
		v->act_scheduled = false;
		return;
	}
	if (!v->act_scheduled) {
		v->act_scheduled = true;
		v->act_not_before_us =
			now_us +
			(uint64_t)g_rand_int_range(v->relay->rng, 0, JITTER_US);
	}
	if (now_us < v->act_not_before_us || !v->relay->duty_known ||
	    v->relay->stopping || rduty_is_held_elsewhere(v->relay, now_us))
		return;
	v->reason = why;
	/*
	 * Failure: state left by an earlier change would let this one skip its
	 * fence; writes acknowledged by the old primary would be lost.
	 */
	v->fenced_at_us = 0;
	v->stepped_down = false;
	v->old = v->primary;
	v->term_at_start = v->term;
	start_claim(v, now_us);
}

static void start_fence(struct rservice *v, uint64_t now_us)
{
	v->stepped_down = false;
	v->target = NULL;
	v->tries = 0;
	v->fence_term = rfence_next_term(v);
	v->fenced_at_us = 0;
	enter(v, PHASE_FENCE, now_us);
}

static bool is_planned(const struct rservice *v)
{
	return v->old && rserver_is_up(v->old);
}

/*
 * The fence is complete: as far as is known, nobody can commit at the old
 * primary from now on.
 */
static void on_fenced(struct rservice *v, uint64_t now_us)
{
	v->fenced_at_us = now_us;
	rprimary_probe_all(v);
	if (v->relay->guards.claim_after_fence)
		claim_again(v, now_us);
	else
		enter(v, PHASE_LEASE_EXPIRY, now_us);
}

static void fence(struct rservice *v, uint64_t now_us)
{
	if (now_us > v->phase_started_at_us + FENCE_TIMEOUT_US) {
		abort_change(v, "the old primary could not be fenced", now_us);
		return;
	}
	if (!v->relay->guards.fence) {
		enter(v, PHASE_LEASE_EXPIRY, now_us);
		return;
	}
	if (v->stepped_down) {
		enter(v, PHASE_CATCH_UP, now_us);
		return;
	}
	if (is_planned(v))
		rserver_repeat_order(v->old, RELAY_STEP_DOWN, v->fence_term,
				     now_us);
	if (is_planned(v) || !rfence_pause_others(v, now_us) ||
	    !rfence_at_most_one_unpaused(v))
		return;
	on_fenced(v, now_us);
}

static void catch_up(struct rservice *v, uint64_t now_us)
{
	struct rserver *next = rtarget_successor(v);

	if (next)
		rserver_probe_soon(next);
	if (next && position_cmp(next->status.received, v->old_position) < 0 &&
	    now_us < v->phase_started_at_us + CATCH_UP_TIMEOUT_US)
		return;
	/*
	 * Failure: the old primary continues to run reads as a replica, and a
	 * proxy that doesn't know of its step-down still has a lease on it, so
	 * callers miss what the new primary stores. Or it restarts, has
	 * forgotten its step-down and is confirmed by replicas, and what it
	 * stores is lost. Guard: replicas are paused too, and the leases expire
	 * before the promotion can take effect. All must be paused, as another
	 * proxy may reach a replica that this one can't.
	 */
	if (!v->relay->guards.distrust_restarted ||
	    (rfence_pause_others(v, now_us) && rfence_at_most_one_unpaused(v)))
		on_fenced(v, now_us);
	else if (now_us > v->phase_started_at_us + CATCH_UP_TIMEOUT_US +
				  CATCH_UP_PAUSE_TIMEOUT_US)
		abort_change(v, "a replica could not be paused", now_us);
}

/*
 * Whether this process's claim states the promotion of the target. A change
 * without a fence, as in tests, has no second claim to state it.
 */
static bool is_stated(const struct rservice *v, const struct rserver *target)
{
	const struct relay *r = v->relay;

	return !r->guards.await_promotions || !v->fenced_at_us ||
	       rpending_is_planned(r->pending, v->name, target->info.id,
				   r->token_expected);
}

static void promote(struct rservice *v, uint64_t now_us)
{
	struct relay *r = v->relay;
	struct rserver *best = rtarget_choose(v, now_us);
	const char *by;

	/* The platform might get that call after this one's higher token. */
	if (rpending_is_call_open(r->pending, r->token))
		return;
	rtarget_log_candidates(v, best);
	if (!best && rtarget_best(v)) {
		abort_change(v, "another server's promotion may come", now_us);
		return;
	}
	if (!best || (v->target && v->target != best)) {
		abort_change(v, "no server can take over", now_us);
		return;
	}
	if (rdurable_may_lack_commits(v, best, &by, now_us)) {
		abort_change(v, "a server that may have more is missing",
			     now_us);
		return;
	}
	if (!is_stated(v, best)) {
		claim_again(v, now_us);
		return;
	}
	v->target = best;
	rpending_on_sent(r->pending, v->name, best->info.id, r->token, now_us);
	counter_add(r->n_promotions, 1);
	enter(v, PHASE_PROMOTE, now_us);
	r->ops->promote(r->ctx, v->name, v->target->info.id, r->token);
}

/* Makes the fence again, in the same term and for the same target. */
static void fence_again(struct rservice *v, uint64_t now_us)
{
	v->stepped_down = false;
	v->fenced_at_us = 0;
	if (v->phase != PHASE_CLAIM)
		enter(v, PHASE_FENCE, now_us);
}

static void hold(struct rservice *v, uint64_t now_us)
{
	const struct relay_settings *set = &v->relay->settings;

	/* A server that appeared after the pauses is paused like the others. */
	if (v->fenced_at_us && v->relay->guards.claim_after_fence &&
	    rfence_any_unpaused(v)) {
		rmetrics_fence_repeated(v->relay);
		fence_again(v, now_us);
		return;
	}
	if (v->fenced_at_us && v->relay->guards.await_lease_expiry &&
	    now_us + set->promote_least_us <
		    v->fenced_at_us + set->authority_us)
		return;
	if (!rfence_pauses_reported_again(v)) {
		if (now_us > v->phase_started_at_us + FENCE_TIMEOUT_US)
			abort_change(v, "a paused server is silent", now_us);
		return;
	}
	if (v->fenced_at_us && rduty_is_claim_valid(v->relay, now_us) &&
	    !rfence_knows_all_servers(v)) {
		/* The claim was made earlier, for another service's change. */
		if (v->relay->claimed_at_us < v->fenced_at_us)
			claim_again(v, now_us);
		else if (now_us > v->phase_started_at_us + FENCE_TIMEOUT_US)
			abort_change(v, "the list of servers is too old",
				     now_us);
		return;
	}
	if (rduty_is_claim_valid(v->relay, now_us))
		promote(v, now_us);
	else
		claim_again(v, now_us);
}

static void settle(struct rservice *v, uint64_t now_us)
{
	rfence_pause_others(v, now_us);
	if (v->target)
		rserver_probe_soon(v->target);
	if (now_us <= v->phase_started_at_us + SETTLE_TIMEOUT_US)
		return;
	rpending_on_not_settled(v->relay->pending, v->name);
	abort_change(v, "the target does not lead", now_us);
}

/* Runs the state machine. */
void rfailover_tick(struct rservice *v, uint64_t now_us)
{
	if ((!v->is_home || !v->configured) && v->phase == PHASE_WATCH)
		return;
	switch (v->phase) {
	case PHASE_WATCH:
		watch(v, now_us);
		if (v->phase == PHASE_WATCH && !v->act_scheduled)
			rcleanup_tick(v, now_us);
		break;
	case PHASE_CLAIM:
		if (now_us > v->phase_started_at_us + CLAIM_TIMEOUT_US)
			abort_change(v, "the store does not answer", now_us);
		break;
	case PHASE_FENCE:
		fence(v, now_us);
		break;
	case PHASE_CATCH_UP:
		catch_up(v, now_us);
		break;
	case PHASE_LEASE_EXPIRY:
		hold(v, now_us);
		break;
	case PHASE_PROMOTE:
		rfence_pause_others(v, now_us);
		if (now_us > v->phase_started_at_us + PROMOTE_TIMEOUT_US)
			rfailover_on_promoted(v, RELAY_PROMOTED_UNKNOWN,
					      now_us);
		break;
	case PHASE_AWAIT_PRIMARY:
		settle(v, now_us);
		break;
	}
}

static void on_claimed(struct rservice *v, uint64_t now_us)
{
	if (v->phase != PHASE_CLAIM)
		return;
	if (v->fenced_at_us || v->stepped_down)
		enter(v, PHASE_LEASE_EXPIRY, now_us);
	else
		start_fence(v, now_us);
}

/* Handles a claim's outcome for every service that waits for it. */
void rfailover_on_claimed(struct relay *r, enum relay_claim outcome,
			  uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *v = value;

		if (v->phase != PHASE_CLAIM)
			continue;
		if (outcome == RELAY_CLAIM_DONE)
			on_claimed(v, now_us);
		else
			abort_change(v, "the claim was not had", now_us);
		if (v->phase != PHASE_WATCH)
			rfailover_tick(v, now_us);
	}
}

void rfailover_on_duty_lost(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *v = value;

		if (v->phase == PHASE_PROMOTE)
			abort_change(v, "another has the duty", now_us);
	}
}

/* Handles the platform's answer to the promotion, or the lack of one. */
void rfailover_on_promoted(struct rservice *v, enum relay_promoted outcome,
			   uint64_t now_us)
{
	if (v->phase != PHASE_PROMOTE)
		return;
	if (outcome == RELAY_PROMOTED_ACCEPTED) {
		enter(v, PHASE_AWAIT_PRIMARY, now_us);
		return;
	}
	if (++v->tries > MAX_PROMOTE_RETRIES) {
		abort_change(v, "the platform refused", now_us);
		return;
	}
	/*
	 * Each try gets a new token, so that a late promotion can't arrive with
	 * the lower one.
	 */
	v->relay->token = 0;
	enter(v, PHASE_LEASE_EXPIRY, now_us);
}

/*
 * Handles a server that may have restarted and forgotten what this change
 * ordered: its step-down or its pause. Until the platform is told, the fence is
 * made again; from then on only the order to this server is repeated. The
 * target is ordered too, because it may be the only one that confirms the old
 * primary; its promotion ends the pause.
 */
void rfailover_on_maybe_restarted(struct rserver *s, uint64_t now_us)
{
	struct rservice *v = s->service;
	bool stepped_down = s == v->old && v->stepped_down;
	bool paused = s != v->old && (v->fenced_at_us || v->stepped_down);

	if (v->phase == PHASE_WATCH || (!stepped_down && !paused))
		return;
	if (v->phase < PHASE_PROMOTE)
		fence_again(v, now_us);
	else if (stepped_down && s == v->target)
		return;
	else if (stepped_down)
		rserver_order(s, RELAY_STEP_DOWN, v->fence_term);
	else
		rserver_order(s, RELAY_PAUSE, v->fence_term);
}

/*
 * Whether another server became primary, which ends the change. Failure: the
 * platform's answer to a promotion is lost, or another proxy replaced the
 * primary meanwhile; a further promotion would replace a primary that was never
 * fenced, and what that acknowledges then is rolled back. Guard: any primary in
 * a newer term ends the change. An old primary that comes back ends it only
 * until the platform was told; from then on its term is over, and what was
 * paused must stay paused.
 */
static bool other_primary_leads(const struct rservice *v, uint64_t now_us)
{
	if (!v->primary)
		return false;
	if (v->term > v->term_at_start)
		return true;
	return !rfailover_is_promotion_pending(v, now_us) &&
	       v->primary != v->old;
}

/* Handles a server's status, which a phase may be waiting for. */
void rfailover_on_status(struct rserver *s, uint64_t now_us)
{
	struct rservice *v = s->service;

	if (v->phase == PHASE_FENCE && s == v->old &&
	    s->status.role == ROLE_REPLICA) {
		v->stepped_down = true;
		v->old_position = s->status.received;
	}
	if (v->phase != PHASE_WATCH && other_primary_leads(v, now_us)) {
		log_change(v, "done", v->primary->info.id, now_us);
		v->act_scheduled = false;
		enter(v, PHASE_WATCH, now_us);
	}
}
