/*
 * The duty record: which proxy may replace primaries, as far as this proxy
 * knows, and whether its own claim may still be used. The record is in the
 * store; its revision is the token of a claim.
 */
#include "pending.h"
#include "target.h"

/*
 * Failure: another proxy claimed the duty just before the store came back from
 * a copy that lacks the claim. It still uses the claim, and this proxy makes
 * one beside it: the platform gets the lower token last, or a server that the
 * copy lacks is left out of a fence. Guard: no claim is made until any earlier
 * one has expired, and until live servers have written their entries again.
 */
static bool may_claim_be_forgotten(const struct relay *r, uint64_t now_us)
{
	return r->store_returned_at_us &&
	       now_us < r->store_returned_at_us + r->settings.claim_hold_us;
}

/*
 * Whether another proxy claimed the duty so recently that it may be using it.
 */
bool rduty_is_held_elsewhere(const struct relay *r, uint64_t now_us)
{
	if (may_claim_be_forgotten(r, now_us))
		return true;
	if (!r->duty_holder || !strcmp(r->duty_holder, r->name))
		return false;
	return now_us < r->duty_changed_at_us + r->settings.claim_hold_us;
}

/*
 * Whether this proxy's claim may still be used. Failure: this proxy was
 * suspended and another has claimed the duty since; the platform would be given
 * an outdated, lower token. Guard: a claim is used only for half of the time in
 * which no other proxy may make one, and only while no other claim is known.
 */
bool rduty_is_claim_valid(const struct relay *r, uint64_t now_us)
{
	return r->token &&
	       (!r->guards.fresh_claim ||
		(r->token == r->duty_revision &&
		 now_us < r->claimed_at_us + r->settings.claim_hold_us / 2));
}

/* The server that the claim may be used to promote, NULL: none. */
static const struct rserver *planned_target(const struct rservice *v,
					    uint64_t now_us)
{
	if (!v->fenced_at_us ||
	    (v->phase != PHASE_CLAIM && v->phase != PHASE_LEASE_EXPIRY))
		return NULL;
	return v->target ? v->target : rtarget_choose(v, now_us);
}

static void plan_promotions(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rservice *v = value;
		const struct rserver *target = planned_target(v, now_us);

		if (target)
			rpending_plan(r->pending, v->name, target->info.id,
				      v->term, now_us);
	}
}

/*
 * Claims the duty unless a claim is under way. The outcome goes to
 * rfailover_on_claimed().
 */
void rduty_claim(struct relay *r, uint64_t now_us)
{
	struct relay_promotion *promotions;
	unsigned n;

	if (r->claiming)
		return;
	r->claiming = true;
	r->claim_sent_at_us = now_us;
	r->claim_expected = r->duty_revision;
	rpending_begin_claim(r->pending, r->duty_revision, now_us);
	plan_promotions(r, now_us);
	promotions = rpending_list(r->pending, &n, now_us);
	r->ops->claim(r->ctx, r->duty_revision, promotions, n);
	g_free(promotions);
}

/* The store may have forgotten a claim: this proxy makes none for a while. */
void rduty_await_forgotten(struct relay *r, uint64_t now_us)
{
	if (!r->guards.expect_forgotten)
		return;
	r->store_returned_at_us = now_us;
	rpending_on_store_returned(r->pending, now_us);
}

/*
 * The store may have forgotten any claim. This proxy's own is not used any
 * more, and another's counts as made just now: its promotion may take effect.
 */
void rduty_on_store_returned(struct relay *r, uint64_t now_us)
{
	rduty_await_forgotten(r, now_us);
	if (!r->guards.expect_forgotten)
		return;
	r->token = 0;
	r->duty_changed_at_us = now_us;
	r->duty_others_seen_at_us = now_us;
	r->duty_others_claimed_at_us = now_us;
}
