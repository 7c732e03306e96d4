/*
 * The duty of replacing primaries, as this proxy knows it: who has it, and
 * whether its own claim still serves.
 */
#include "relay_internal.h"

/* Whether another proxy has claimed it so lately that it may be at work. */
bool rdt_is_others(const struct relay *r, uint64_t now_us)
{
	if (!r->duty_holder || !strcmp(r->duty_holder, r->name))
		return false;
	return now_us < r->duty_changed_us + r->settings.claim_hold_us;
}

/*
 * Failure: this proxy was suspended and another has the duty by now; a token
 * that is too low would reach the platform. A claim is used only while nobody
 * else may make one, with time to spare, and none is known.
 */
bool rdt_is_fresh(const struct relay *r, uint64_t now_us)
{
	return r->token &&
	       (!r->guards.fresh_claim ||
		(r->token == r->duty_revision &&
		 now_us < r->claimed_us + r->settings.claim_hold_us / 2));
}

/* Claims it, unless a claim is under way; rch_on_claimed() hears of it. */
void rdt_claim(struct relay *r, uint64_t now_us)
{
	if (r->claiming)
		return;
	r->claiming = true;
	r->claim_sent_us = now_us;
	r->ops->claim(r->ctx, r->duty_revision);
}
