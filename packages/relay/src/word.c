/*
 * Whose word on a primary counts.
 *
 * A replica that is not paused shows that no change of primary had a whole
 * fence when it was asked. That holds for a replica which such a fence takes
 * in: one that the changing proxy knows, and that has not forgotten its pause.
 * Of all others the word is in doubt, and counts only together with that of
 * all who may be promoted, since that one knows.
 */
#include "relay_internal.h"

/* What a server doesn't know of a change matters no more by then. */
#define DOUBT_US PROMOTED_WITHIN_US
/*
 * Who replaces a primary gives a server up gone_after_us after it left the
 * list. By then a lease must be over that rests on a list in which it still
 * was; and a second more, for a list that trails.
 */
#define LIST_DELAY_MARGIN_US USEC_PER_SEC

static uint64_t list_max_age_us(const struct relay *r)
{
	return r->settings.gone_after_us - r->settings.authority_us -
	       LIST_DELAY_MARGIN_US;
}

/* Whether the server may know nothing of a change that is under way. */
bool rwd_is_doubted(const struct rserver *s, uint64_t now_us)
{
	return s->doubted_at_us && now_us < s->doubted_at_us + DOUBT_US;
}

/* Whether the list is as new as its use of it rests on; see list_max_age_us().
 */
bool rwd_is_list_fresh(const struct relay *r, uint64_t at_us)
{
	return !r->guards.check_list_age ||
	       at_us < r->store_heard_us + list_max_age_us(r);
}

/*
 * Failure: another proxy paused all replicas and is about to promote one. A
 * server that knows nothing of that, since it is listed only now, has another
 * id now or has started anew, confirms the old primary here; what is stored
 * there is told as stored and is gone. Guard: the word of a server is in doubt
 * from the moment that this proxy sees it. The doubt ends once a replica
 * without one, asked later, is not paused: no fence was complete then, and
 * each fence takes in all that was listed before it is.
 */
void rwd_end_doubts(const struct rservice *v, uint64_t unpaused_us)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (s->doubted_at_us < unpaused_us)
			s->doubted_at_us = 0;
	}
}

/*
 * Failure: a partition leaves this proxy with an old primary and a replica, and
 * without the store. On the other side both have left the list, and a server
 * is promoted that was never fenced against this replica. It shows as writes
 * that are told as stored and are gone when the partition ends. Guard: a word
 * counts alone only while it is certain that no other proxy has given the
 * server up.
 */
static bool is_known_to_others(const struct rserver *s, uint64_t now_us)
{
	const struct relay *r = s->relay;

	if (!r->guards.check_list_age)
		return true;
	return (s->listed || now_us < s->unlisted_us + list_max_age_us(r)) &&
	       rwd_is_list_fresh(r, now_us);
}

/*
 * One whose address another has isn't promoted. By a list that is fresh, nor is
 * one that is told to leave, or whose process is gone; without it, a partition
 * may stand between, and who leaves may be all that is known of the other side.
 */
static bool can_be_promoted(const struct rserver *s, uint64_t now_us)
{
	if (s == s->service->primary || s->moved)
		return false;
	return !rwd_is_list_fresh(s->relay, now_us) ||
	       (!s->info.leaving && !s->refused);
}

/*
 * When all that a change could promote last knew of none: the earliest of their
 * words, 0 when one of them doesn't say so.
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
		earliest_us = MIN(earliest_us, s->agreed_us);
	}
	return earliest_us == NEVER_US ? 0 : earliest_us;
}

/*
 * Failure: the server that is being promoted starts again, or all who might be
 * do, and know of no pause; together they confirm the old primary. Guard: after
 * another proxy's claim, servers that are all in doubt confirm nothing until
 * its promotion has taken effect or can't any more. What a proxy that has just
 * started reads of the duty may be of long ago and does not count.
 */
static bool may_all_have_restarted(const struct rservice *v, uint64_t now_us)
{
	const struct relay *r = v->relay;
	unsigned i;

	if (now_us >= r->duty_others_us + PROMOTED_WITHIN_US ||
	    r->duty_others_us <= v->term_seen_at_us)
		return false;
	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (can_be_promoted(s, now_us) && !rwd_is_doubted(s, now_us))
			return false;
	}
	return true;
}

/*
 * Failure: a promotion takes effect and ends the pauses of all replicas. One
 * that has not heard of the new primary yet is in the old term and not paused,
 * and confirms the old primary. Guard: while a claim of the duty is so recent
 * that its promotion may take effect, a word counts only together with that of
 * all who may be promoted: that one is paused until it leads. It is over once
 * a newer term shows that the change is.
 */
static bool may_promotion_take_effect(const struct rservice *v, uint64_t now_us)
{
	const struct relay *r = v->relay;

	return r->guards.doubt_unpaused &&
	       r->duty_changed_us > v->term_seen_at_us &&
	       now_us < r->duty_changed_us + PROMOTED_WITHIN_US;
}

/* Whether what the server shows of the primary needs nobody else's word. */
bool rwd_counts_alone(const struct rserver *s, uint64_t now_us)
{
	return !rwd_is_doubted(s, now_us) && is_known_to_others(s, now_us) &&
	       !may_promotion_take_effect(s->service, now_us);
}

/* From when a lease counts that rests on a replica's word, 0: on none. */
uint64_t rwd_since_us(const struct rserver *s, uint64_t now_us)
{
	uint64_t agreed_us;

	if (rwd_counts_alone(s, now_us))
		return s->agreed_us;
	if (may_all_have_restarted(s->service, now_us))
		return 0;
	agreed_us = all_agreed_at_us(s->service, now_us);
	return agreed_us > s->doubted_at_us ? agreed_us : 0;
}
