/*
 * Cleanup after changes of primary that ended early: replicas that are still
 * paused, and old primaries that don't follow the new one.
 */
#include "relay_internal.h"

/* The least time between two claims made for cleanup. */
#define CLAIM_RETRY_INTERVAL_US USEC_PER_SEC

/* Whether this proxy made the pause and still has the duty. */
static bool is_own_pause(const struct rservice *v, const struct rserver *s)
{
	return s->status.held == v->fence_term &&
	       !g_strcmp0(v->relay->duty_holder, v->relay->name);
}

/*
 * Whether a promotion that relies on the pause may still take effect. A pause
 * made by one proxy also protects a promotion by another.
 */
static bool is_pause_needed(const struct rservice *v, const struct rserver *s,
			    uint64_t now_us)
{
	if (now_us < v->relay->duty_others_seen_at_us + PROMOTION_MAX_US ||
	    rfailover_is_promotion_pending(v, now_us))
		return true;
	return !is_own_pause(v, s) &&
	       now_us < s->seen_pause_at_us + PROMOTION_MAX_US;
}

/*
 * Whether a replica that is still paused from a change may receive again.
 *
 * Failure: a change runs at another proxy, and this one knows nothing of it,
 * since the store has not answered it. The old primary comes back just before
 * the promotion takes effect, this proxy resumes a replica, the replica
 * confirms the old primary, and what that acknowledges is lost.
 *
 * Guard: both the pause and the last claim must be older than the time in which
 * a promotion takes effect after its claim; this suffices because a change
 * claims the duty again for each try. This proxy must also have the duty
 * itself. Its claim fails if another proxy has claimed since, and makes that
 * proxy's next claim fail.
 */
static bool may_resume(struct rservice *v, struct rserver *s, uint64_t now_us)
{
	struct relay *r = v->relay;

	if (!r->guards.resume_under_duty)
		return !rduty_is_held_elsewhere(r, now_us);
	if (s->seen_pause_term != s->status.held) {
		s->seen_pause_term = s->status.held;
		s->seen_pause_at_us = now_us;
	}
	if (rduty_is_held_elsewhere(r, now_us) || !r->duty_known ||
	    r->stopping || is_pause_needed(v, s, now_us))
		return false;
	if (rduty_is_claim_valid(r, now_us))
		return true;
	if (now_us > r->claim_sent_at_us + CLAIM_RETRY_INTERVAL_US)
		rduty_claim(r, now_us);
	return false;
}

/*
 * Resumes replicas that need not be paused any more, and makes primaries of an
 * older term step down.
 */
void rcleanup_tick(struct rservice *v, uint64_t now_us)
{
	unsigned i;

	if (!v->primary)
		return;
	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (s == v->primary || !rserver_is_up(s) || !s->status_at_us)
			continue;
		if (s->status.role == ROLE_PRIMARY && s->status.term < v->term)
			rserver_repeat_order(s, RELAY_STEP_DOWN, v->term,
					     now_us);
		else if (s->status.held > v->term && may_resume(v, s, now_us))
			rserver_repeat_order(s, RELAY_RESUME, 0, now_us);
	}
}
