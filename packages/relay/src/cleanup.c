/*
 * What changes of primary leave behind when they end early: replicas that are
 * paused, and old primaries that do not follow.
 */
#include "relay_internal.h"

#define CLAIM_RETRY_INTERVAL_US USEC_PER_SEC

/* Whether the pause is this proxy's own, made under a duty that it has. */
static bool is_own_pause(const struct rservice *v, const struct rserver *s)
{
	return s->status.held == v->fence_term &&
	       !g_strcmp0(v->relay->duty_holder, v->relay->name);
}

/*
 * Whether a promotion may come yet that the pause is needed for. The promotion
 * of another proxy needs it too, whoever made it.
 */
static bool is_pause_needed(const struct rservice *v, const struct rserver *s,
			    uint64_t now_us)
{
	if (now_us < v->relay->duty_used_us + PROMOTED_WITHIN_US)
		return true;
	if (is_own_pause(v, s))
		return rch_is_told(v, now_us);
	return now_us < s->seen_pause_at_us + PROMOTED_WITHIN_US;
}

/*
 * Whether a replica that another change left paused may receive again.
 *
 * Failure: a change runs elsewhere, and this proxy, which the store has not
 * answered since, knows nothing of it. The old primary comes back a moment
 * before the promotion takes effect, a replica is resumed here and confirms
 * it, and what it stores is told as stored and gone. Guard: both the
 * pause and the last claim must be older than a promotion can take after its
 * claim, since a change claims the duty anew for each try; and this proxy must
 * have the duty itself: it claims it, which fails when another has claimed
 * since, and which makes the next claim of that other fail.
 */
static bool may_resume(struct rservice *v, struct rserver *s, uint64_t now_us)
{
	struct relay *r = v->relay;

	if (!r->guards.resume_under_duty)
		return !rdt_is_others(r, now_us);
	if (s->seen_pause_term != s->status.held) {
		s->seen_pause_term = s->status.held;
		s->seen_pause_at_us = now_us;
	}
	if (rdt_is_others(r, now_us) || !r->duty_known || r->stopping ||
	    is_pause_needed(v, s, now_us))
		return false;
	if (rdt_is_fresh(r, now_us))
		return true;
	if (now_us > r->claim_sent_us + CLAIM_RETRY_INTERVAL_US)
		rdt_claim(r, now_us);
	return false;
}

/* What was paused receives again, and an older primary follows. */
void rtd_tick(struct rservice *v, uint64_t now_us)
{
	unsigned i;

	if (!v->primary)
		return;
	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (s == v->primary || !rsv_is_up(s) || !s->status_at_us)
			continue;
		if (s->status.role == ROLE_PRIMARY && s->status.term < v->term)
			rsv_order_again(s, RELAY_STEP_DOWN, v->term, now_us);
		else if (s->status.held > v->term && may_resume(v, s, now_us))
			rsv_order_again(s, RELAY_RESUME, 0, now_us);
	}
}
