/*
 * The target of a change of primary: which servers may be promoted, and which
 * of them is.
 *
 * In a service whose commits must reach replicas before they are acknowledged
 * (sync_replicas) the server with the newest log is promoted, even if it is
 * leaving or has left the list; it leads until one that stays has its log.
 * Elsewhere only a server that stays is.
 */
#define LOG_MODULE "target"
#include "pending.h"
#include "target.h"

#include <celeryquay/base/log.h>

/* A successor that is behind by less than this catches up in a moment. */
#define NEAR_US (500 * USEC_PER_MSEC)
/* The least time between two status probes of a successor that is awaited. */
#define REFRESH_INTERVAL_US (100 * USEC_PER_MSEC)

/* Whether it answers, and is known to be a replica. */
bool rtarget_is_replica(const struct rserver *s)
{
	return rserver_is_up(s) && s->status_at_us &&
	       s->status.role == ROLE_REPLICA;
}

/* Whether the server can lead, and will go on running. */
static bool may_stay(const struct rserver *s)
{
	return s->listed && !s->info.leaving && rtarget_is_replica(s);
}

/* The primary that a change replaces, or would. */
static const struct rserver *outgoing(const struct rservice *v)
{
	return v->phase == PHASE_WATCH ? v->primary : v->old;
}

/*
 * Whether the server can be promoted, if only until another one that stays has
 * received its log. The old primary can once it has stepped down.
 */
static bool may_lead(const struct rserver *s)
{
	const struct rservice *v = s->service;

	if (v->sync_replicas)
		return rtarget_is_replica(s) &&
		       (s != outgoing(v) || v->stepped_down);
	return may_stay(s) && s != outgoing(v);
}

/* Whether a change of primary may promote a server that is leaving. */
bool rtarget_may_be_leaving(const struct rservice *v)
{
	return v->sync_replicas > 0;
}

/* Negative, zero or positive as a is a worse target than b, as good, better. */
static int compare(const struct rserver *a, const struct rserver *b)
{
	int order = position_cmp(a->status.received, b->status.received);

	if (order)
		return order;
	if (may_stay(a) != may_stay(b))
		return may_stay(a) ? 1 : -1;
	if (a->listed != b->listed)
		return a->listed ? 1 : -1;
	if (a == outgoing(a->service) || b == outgoing(a->service))
		return b == outgoing(a->service) ? 1 : -1;
	if (!a->info.leaving || !b->info.leaving ||
	    a->leaving_at_us == b->leaving_at_us)
		return 0;
	return a->leaving_at_us < b->leaving_at_us ? -1 : 1;
}

/* The server to promote in place of the primary, or NULL. */
struct rserver *rtarget_best(const struct rservice *v)
{
	struct rserver *best = NULL;
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (may_lead(s) && (!best || compare(s, best) > 0))
			best = s;
	}
	return best;
}

/* The best of those that can lead and stay, or NULL. */
struct rserver *rtarget_successor(const struct rservice *v)
{
	struct rserver *best = NULL;
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (s == outgoing(v) || !may_stay(s))
			continue;
		if (!best || compare(s, best) > 0)
			best = s;
	}
	return best;
}

/*
 * The server to promote, which is the one that an earlier promotion names if
 * that may still take effect. NULL: none can lead, or another one may come to
 * lead; see pending.c.
 */
struct rserver *rtarget_choose(const struct rservice *v, uint64_t now_us)
{
	struct relay *r = v->relay;
	struct rpending_view pending = rpending_of(r->pending, v->name, now_us);
	struct rserver *best = rtarget_best(v);
	struct rserver *named;

	if (!pending.n || !r->guards.await_promotions)
		return best;
	named = pending.server ?
			g_hash_table_lookup(r->servers, pending.server) :
			NULL;
	if (named && named->moved)
		return best;
	if (named && rtarget_is_replica(named) && named != outgoing(v) &&
	    (pending.must_be_awaited || !best ||
	     position_cmp(named->status.received, best->status.received) >= 0))
		return named;
	return pending.must_be_awaited ? NULL : best;
}

/* Whether a change could promote a server now. */
bool rtarget_exists(const struct rservice *v)
{
	bool needs_one_that_stays = v->primary && rserver_is_up(v->primary);
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (s == v->primary)
			continue;
		if (may_stay(s) || (v->sync_replicas && rtarget_is_replica(s) &&
				    !needs_one_that_stays))
			return true;
	}
	return false;
}

/* The primary's newest position of NEAR_US ago, NULL: it isn't known. */
static const struct rsample *settled_sample(const struct rservice *v,
					    uint64_t now_us)
{
	unsigned n = MIN(v->n_samples, MAX_SAMPLES);
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct rsample *sample =
			&v->samples[(v->n_samples - 1 - i) % MAX_SAMPLES];

		if (sample->us + NEAR_US <= now_us)
			return sample;
	}
	return NULL;
}

/*
 * Whether a server that can stay has nearly all of the primary's log. In the
 * first moments of a term not enough is known of that.
 */
bool rtarget_is_successor_near(const struct rservice *v, uint64_t now_us)
{
	const struct rsample *sample = settled_sample(v, now_us);
	const struct rserver *s = rtarget_successor(v);
	struct position to_reach =
		position_max(v->lead_start, v->primary->status.received);

	if (!s || now_us < v->lead_seen_at_us + NEAR_US)
		return false;
	if (sample)
		to_reach = sample->position;
	return position_cmp(position_max(s->applied, s->status.received),
			    to_reach) >= 0;
}

/*
 * Asks the servers that can stay how much of the log they have, and the primary
 * if that isn't known.
 */
void rtarget_refresh(const struct rservice *v, uint64_t now_us)
{
	bool is_known = settled_sample(v, now_us);
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if ((s == v->primary ? !is_known : may_stay(s)) &&
		    now_us >= s->probed_at_us + REFRESH_INTERVAL_US)
			rserver_probe_soon(s);
	}
}

static void log_candidate(const struct rserver *s, bool is_chosen)
{
	struct log_line *l = rlog_server(s, "candidate");

	if (!l)
		return;
	rlog_position(l, "received", s->status.received);
	log_u64(l, "paused", s->status.held);
	log_bool(l, "up", rserver_is_up(s));
	log_bool(l, "listed", s->listed);
	log_bool(l, "leaving", s->info.leaving);
	log_bool(l, "chosen", is_chosen);
	log_event_end(l);
}

/* Logs what each server of the service has when one of them is promoted. */
void rtarget_log_candidates(const struct rservice *v,
			    const struct rserver *chosen)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		log_candidate(s, s == chosen);
	}
}
