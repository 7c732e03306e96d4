/*
 * The fence of a change of primary: who must be paused, and whether all are.
 */
#include "relay_internal.h"

/* Above all that any server of the service has seen. */
uint64_t rfn_term(const struct rservice *v)
{
	uint64_t term = v->term;
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		term = MAX(term, MAX(s->status.term, s->status.held));
	}
	return term + 1;
}

static bool is_paused(const struct rservice *v, const struct rserver *s)
{
	return s->status.held >= v->fence_term;
}

/*
 * Whether another proxy may take this server's word for the old primary: also
 * one that has just left the list, as long as it answers.
 */
static bool may_confirm(const struct rservice *v, const struct rserver *s)
{
	return s != v->old && !s->moved && (s->listed || rsv_is_up(s));
}

/*
 * Whether the server's process is gone, beside an old primary that stepped
 * down. It is not waited for: who comes back there is in doubt everywhere, and
 * it takes both to start anew to be relied on.
 */
static bool is_gone_after_step_down(const struct rservice *v,
				    const struct rserver *s)
{
	return v->stepped_down && s != v->old && (s->refused || s->moved);
}

/* After the platform was told, the target is the primary at any moment. */
static bool must_be_paused(const struct rservice *v, const struct rserver *s)
{
	if (v->phase >= PHASE_PROMOTE && s == v->target)
		return false;
	if (is_gone_after_step_down(v, s))
		return false;
	return may_confirm(v, s) && !is_paused(v, s);
}

/* Whether a server that must be paused isn't. */
bool rfn_any_unpaused(const struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++)
		if (must_be_paused(v, rservice_server(v, i)))
			return true;
	return false;
}

/* Pauses the others; true when every one that may confirm it is paused. */
bool rfn_pause_others(struct rservice *v, uint64_t now_us)
{
	bool all = true;
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (!must_be_paused(v, s))
			continue;
		all = false;
		/* A primary that is not relied on can't be paused. */
		rsv_order_again(s,
				s->status.role == ROLE_PRIMARY ?
					RELAY_STEP_DOWN :
					RELAY_PAUSE,
				v->fence_term, now_us);
	}
	return all;
}

/*
 * Failure: the primary and a replica are down while another replica is
 * promoted alone. Both come back before that takes effect, one confirms the
 * other, and a write that they took is told as stored and gone. Guard: of the
 * servers that are known, also those that left the list a moment ago, one at
 * most may be unpaused, since it takes two to be relied on.
 */
bool rfn_no_two_are_left(const struct rservice *v)
{
	unsigned i, n_paused = 0;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (is_paused(v, s) || is_gone_after_step_down(v, s))
			n_paused++;
	}
	return v->servers->len <= n_paused + 1;
}

/*
 * Whether each server that was paused has said so since all of them were: one
 * that fell silent may have started anew without its pause.
 */
bool rfn_pauses_stand(const struct rservice *v)
{
	unsigned i;

	if (!v->fenced_at_us || !v->relay->guards.doubt_reborn)
		return true;
	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (is_paused(v, s) && s->status_at_us < v->fenced_at_us)
			return false;
	}
	return true;
}

/*
 * Failure: a server that others know, and go by, is not in this proxy's list
 * yet: news of the store are gathered, or come through other proxies, or stop
 * for a while. It is not paused, and confirms the old primary while another is
 * promoted. Guard: the duty is claimed once more when all are paused, and the
 * list must be known up to that claim. Who was listed before the pauses is
 * paused, too; who is listed later is in doubt everywhere, see word.c.
 */
bool rfn_knows_all_servers(const struct rservice *v)
{
	const struct relay *r = v->relay;

	return !r->guards.claim_after_fence ||
	       (r->claimed_us >= v->fenced_at_us &&
		r->known_revision >= r->token);
}
