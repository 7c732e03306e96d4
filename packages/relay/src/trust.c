/*
 * Which replicas' confirmations of a primary are trusted.
 *
 * A replica confirms the primary by answering that it is in the primary's term
 * and not paused: no change of primary had a complete fence when it was asked.
 * This holds only for a replica that such a fence covers: one that the proxy
 * which runs the change knows of, and that has not forgotten its pause in a
 * restart. The confirmation of any other replica is in doubt. It counts only if
 * all servers that may be promoted agree, since the one being promoted knows of
 * the change.
 */
#include "target.h"

/*
 * How long a server is in doubt: by then the change that it may not know of has
 * taken effect or never will.
 */
#define DOUBT_US PROMOTION_MAX_US
/*
 * A proxy that replaces a primary ignores a server from gone_after_us after it
 * left the list. By then any lease that rests on a list which still named it
 * must have expired; this margin of one second allows for a list that arrives
 * late.
 */
#define LIST_DELAY_MARGIN_US USEC_PER_SEC

static uint64_t list_max_age_us(const struct relay *r)
{
	return r->settings.gone_after_us - r->settings.authority_us -
	       LIST_DELAY_MARGIN_US;
}

/*
 * Whether the server may be unaware of a change of primary that is under way.
 */
bool rtrust_is_in_doubt(const struct rserver *s, uint64_t now_us)
{
	if (s->info.forgotten && s->relay->guards.expect_forgotten)
		return true;
	return s->doubted_at_us && now_us < s->doubted_at_us + DOUBT_US;
}

/*
 * Whether the list of servers is recent enough to rely on; see
 * list_max_age_us().
 */
bool rtrust_is_list_fresh(const struct relay *r, uint64_t at_us)
{
	return !r->guards.check_list_age ||
	       at_us < r->store_heard_at_us + list_max_age_us(r);
}

/*
 * Failure: another proxy has paused all replicas and is about to promote one. A
 * server that knows nothing of this, because it was just listed, has a new id
 * or has restarted, confirms the old primary to this proxy. Writes are then
 * acknowledged by the old primary and lost.
 *
 * Guard: such a server is in doubt from the moment this proxy notices it. The
 * doubt ends once a replica that is not in doubt, asked later, turns out not to
 * be paused: no fence was complete then, and each fence covers every server
 * that was listed before it became complete.
 */
void rtrust_end_doubts(const struct rservice *v, uint64_t unpaused_us)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (s->doubted_at_us < unpaused_us)
			s->doubted_at_us = 0;
	}
}

/*
 * Whether no other proxy can have dropped the server yet.
 *
 * Failure: a partition leaves this proxy with an old primary and a replica, but
 * without the store. On the other side both have left the list, and a server is
 * promoted without a fence that covers this replica. Writes acknowledged on
 * this side are lost when the partition ends. Guard: a confirmation counts
 * alone only while it is certain that no other proxy has dropped the server.
 */
static bool is_known_to_others(const struct rserver *s, uint64_t now_us)
{
	const struct relay *r = s->relay;

	if (!r->guards.check_list_age)
		return true;
	return (s->listed || now_us < s->unlisted_at_us + list_max_age_us(r)) &&
	       rtrust_is_list_fresh(r, now_us);
}

/*
 * Whether a change may promote the server. One whose address now belongs to
 * another server is never promoted. If the list is fresh, neither is one whose
 * process is gone or, unless it may be the one with the newest log, one that is
 * leaving. If it is not, a partition may be the reason, and the leaving server
 * may be the only one known of the other side.
 */
static bool can_be_promoted(const struct rserver *s, uint64_t now_us)
{
	if (s == s->service->primary || s->moved)
		return false;
	return !rtrust_is_list_fresh(s->relay, now_us) ||
	       (!s->refused &&
		(!s->info.leaving || rtarget_may_be_leaving(s->service)));
}

/*
 * When every server that a change could promote last knew of no change: the
 * earliest of these instants, 0 if one of them has not confirmed the term.
 */
static uint64_t all_agreed_at_us(const struct rservice *v, uint64_t now_us)
{
	uint64_t earliest_us = NEVER_US;
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (!can_be_promoted(s, now_us))
			continue;
		if (s->agreed_term != v->term)
			return 0;
		earliest_us = MIN(earliest_us, s->agreed_at_us);
	}
	return earliest_us == NEVER_US ? 0 : earliest_us;
}

/*
 * Failure: the server being promoted restarts, or all that may be promoted do.
 * They have forgotten their pauses and together confirm the old primary. Guard:
 * after another proxy's claim, servers that are all in doubt confirm nothing
 * until its promotion has taken effect or no longer can. The duty record that a
 * proxy reads first after its own start may be old and doesn't count as such a
 * claim.
 */
static bool may_all_have_restarted(const struct rservice *v, uint64_t now_us)
{
	const struct relay *r = v->relay;
	unsigned i;

	if (now_us >= r->duty_others_claimed_at_us + PROMOTION_MAX_US ||
	    r->duty_others_claimed_at_us <= v->term_seen_at_us)
		return false;
	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (can_be_promoted(s, now_us) &&
		    !rtrust_is_in_doubt(s, now_us))
			return false;
	}
	return true;
}

/*
 * Failure: a promotion takes effect and ends the pauses of all replicas. A
 * replica that has not heard of the new primary yet is still in the old term
 * but not paused, and confirms the old primary. Guard: while a claim is so
 * recent that its promotion may still take effect, a confirmation counts only
 * if all servers that may be promoted agree, because the target stays paused
 * until it is primary. A newer term shows that the change is complete and ends
 * this.
 */
static bool may_promotion_take_effect(const struct rservice *v, uint64_t now_us)
{
	const struct relay *r = v->relay;

	if (!r->guards.distrust_unpaused)
		return false;
	return (r->duty_changed_at_us > v->term_seen_at_us &&
		now_us < r->duty_changed_at_us + PROMOTION_MAX_US) ||
	       (r->guards.await_promotions &&
		rfailover_is_promotion_pending(v, now_us));
}

/* Whether the server's confirmation is sufficient without any other. */
bool rtrust_suffices_alone(const struct rserver *s, uint64_t now_us)
{
	return !rtrust_is_in_doubt(s, now_us) &&
	       is_known_to_others(s, now_us) &&
	       !may_promotion_take_effect(s->service, now_us);
}

/*
 * The start of the lease that the replica's confirmation gives, 0: it gives
 * none.
 */
uint64_t rtrust_lease_start_us(const struct rserver *s, uint64_t now_us)
{
	uint64_t agreed_at_us;

	if (rtrust_suffices_alone(s, now_us))
		return s->agreed_at_us;
	if (may_all_have_restarted(s->service, now_us))
		return 0;
	agreed_at_us = all_agreed_at_us(s->service, now_us);
	return agreed_at_us > s->doubted_at_us ? agreed_at_us : 0;
}
