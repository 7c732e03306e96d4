/*
 * The duty record: which proxy may replace primaries, as far as this proxy
 * knows, and whether its own claim may still be used. The record is in the
 * store; its revision is the token of a claim.
 */
#include "relay_internal.h"

/*
 * Whether another proxy claimed the duty so recently that it may be using it.
 */
bool rduty_is_held_elsewhere(const struct relay *r, uint64_t now_us)
{
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

/*
 * Claims the duty unless a claim is under way. The outcome goes to
 * rfailover_on_claimed().
 */
void rduty_claim(struct relay *r, uint64_t now_us)
{
	if (r->claiming)
		return;
	r->claiming = true;
	r->claim_sent_at_us = now_us;
	r->ops->claim(r->ctx, r->duty_revision);
}
