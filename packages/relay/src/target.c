/*
 * The target of a change of primary: which servers may be promoted, and which
 * of them is.
 */
#define LOG_MODULE "target"
#include "relay_internal.h"

#include <celeryquay/base/log.h>

/* Whether the server can lead, and will go on running. */
static bool may_take_over(const struct rserver *s)
{
	return s->listed && !s->info.leaving && rserver_is_up(s) &&
	       s->status.role == ROLE_REPLICA;
}

/* Whether a server could be promoted now. */
bool rtarget_exists(const struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (s != v->primary && may_take_over(s))
			return true;
	}
	return false;
}

/* The server to promote in place of v->old, or NULL. */
struct rserver *rtarget_best(const struct rservice *v)
{
	struct rserver *best = NULL;
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		struct rserver *s = rservice_server(v, i);

		if (s == v->old || !may_take_over(s))
			continue;
		if (!best ||
		    position_cmp(s->status.received, best->status.received) > 0)
			best = s;
	}
	return best;
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
