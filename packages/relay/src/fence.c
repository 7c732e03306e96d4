/*
 * The fence of a change of primary: which servers must be paused before another
 * may be promoted, and whether all of them are.
 */
#include "relay_internal.h"

/* A term above every term that a server of the service has reported. */
uint64_t rfence_next_term(const struct rservice *v)
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
 * Whether another proxy may rely on this server's confirmation of the old
 * primary. It may also do so with one that has just left the list, as long as
 * it answers.
 */
static bool may_confirm(const struct rservice *v, const struct rserver *s)
{
	return s != v->old && !s->moved && (s->listed || rserver_is_up(s));
}

/*
 * Whether the server's process is gone while the old primary has stepped down.
 * Such a server is not waited for: if it comes back, every proxy has it in
 * doubt, and the old primary is relied on again only if both of them restart.
 */
static bool is_gone_after_step_down(const struct rservice *v,
				    const struct rserver *s)
{
	return v->stepped_down && s != v->old && (s->refused || s->moved);
}

/*
 * Once the platform was told, the target may become primary at any moment and
 * must not be paused.
 */
static bool must_be_paused(const struct rservice *v, const struct rserver *s)
{
	if (v->phase >= PHASE_PROMOTE && s == v->target)
		return false;
	if (is_gone_after_step_down(v, s))
		return false;
	return may_confirm(v, s) && !is_paused(v, s);
}

/* Whether a server that must be paused isn't. */
bool rfence_any_unpaused(const struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++)
		if (must_be_paused(v, rservice_server(v, i)))
			return true;
	return false;
}

/* Pauses every server that may confirm the old primary. True once all are. */
bool rfence_pause_others(struct rservice *v, uint64_t now_us)
{
	bool all = true;
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (!must_be_paused(v, s))
			continue;
		all = false;
		/* A server that still acts as a primary can't be paused. */
		rserver_repeat_order(s,
				     s->status.role == ROLE_PRIMARY ?
					     RELAY_STEP_DOWN :
					     RELAY_PAUSE,
				     v->fence_term, now_us);
	}
	return all;
}

/*
 * Failure: the primary and one replica are down while another replica is
 * promoted alone. Both come back before the promotion takes effect, the replica
 * confirms the primary, and a write that they acknowledge is lost. Guard: at
 * most one of the known servers, including those that left the list a moment
 * ago, may be unpaused, since a primary needs a second server to be relied on.
 */
bool rfence_at_most_one_unpaused(const struct rservice *v)
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
 * Whether each paused server has reported its pause again since all of them
 * were paused. One that has not answered since may have restarted without its
 * pause. One that refuses connections is not waited for: if its process has
 * ended, every proxy has it in doubt when it comes back, and if only this proxy
 * is refused, its pause stands.
 */
bool rfence_pauses_reported_again(const struct rservice *v)
{
	unsigned i;

	if (!v->fenced_at_us || !v->relay->guards.distrust_restarted)
		return true;
	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (is_paused(v, s) && !s->refused && !s->moved &&
		    s->status_at_us < v->fenced_at_us)
			return false;
	}
	return true;
}

/*
 * Failure: a server that other proxies know and rely on is not in this proxy's
 * list yet, because changes in the store arrive in batches, through other
 * proxies, or with a delay. It is not paused and confirms the old primary while
 * another server is promoted. Guard: the duty is claimed again once all are
 * paused, and the list must be current up to that claim. A server that was
 * listed before the pauses is therefore paused too; one listed later is in
 * doubt at every proxy, see trust.c.
 */
bool rfence_knows_all_servers(const struct rservice *v)
{
	const struct relay *r = v->relay;

	return !r->guards.claim_after_fence ||
	       (r->claimed_at_us >= v->fenced_at_us &&
		r->known_revision >= r->token);
}
