/*
 * Which server is primary, and until when that is certain: its lease.
 *
 * Failure: a primary that is cut off, or a proxy that is, continues although
 * another server was promoted. Reads miss acknowledged writes, and acknowledged
 * writes are lost. Guard: a proxy that replaces a primary first makes it step
 * down, or pauses every other server with a higher term; either way it then
 * waits until `authority_us` has passed. So the lease lasts that long from the
 * moment when a replica whose confirmation is trusted (see trust.c) was asked
 * and knew of no higher term.
 */
#define LOG_MODULE "lead"
#include "pending.h"
#include "relay_internal.h"

#include <celeryquay/base/log.h>

/* The least time between two samples; the ring then covers at least 2.5 s. */
#define SAMPLE_INTERVAL_US (40 * USEC_PER_MSEC)
/* A lease in use is renewed when less than this is left of it. */
#define RENEW_BEFORE_US (150 * USEC_PER_MSEC)
/* A primary is in use for this long after a statement needed it. */
#define WANTED_RECENTLY_US USEC_PER_SEC

/* Whether any server besides the primary is known. */
static bool has_others(const struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++)
		if (rservice_server(v, i) != v->primary)
			return true;
	return false;
}

/*
 * Whether the service may have servers that this proxy doesn't know of.
 *
 * Failure: the list names only one server of a service, an old primary,
 * although there are others: the proxy has just started, their entries expired
 * during an outage of the store, or they returned since the store last
 * answered. One of them is promoted, and writes acknowledged by the old primary
 * are lost. Guard: a lone server that is in doubt is not relied on while a
 * promotion may be under way. One that had others before is relied on only with
 * a fresh list. A service that never had more than one server here continues
 * without the store.
 */
static bool may_have_unlisted_others(const struct rservice *v, uint64_t at_us)
{
	const struct rserver *p = v->primary;
	const struct relay *r = v->relay;

	if (v->had_several_servers && !rtrust_is_list_fresh(r, at_us))
		return true;
	return r->guards.distrust_newly_listed &&
	       rtrust_is_in_doubt(p, at_us) &&
	       at_us < r->duty_others_seen_at_us + PROMOTION_MAX_US;
}

/*
 * Whether the lease holds at at_us: no other server can have become primary
 * before then. A server without others beside it can't be replaced.
 */
bool rprimary_lease_holds(const struct rservice *v, uint64_t at_us)
{
	if (!v->primary)
		return false;
	if (!has_others(v))
		return !may_have_unlisted_others(v, at_us);
	return at_us < v->confirmed_us + v->relay->settings.authority_us;
}

/* Probes every server of the service with the next tick. */
void rprimary_probe_all(struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++)
		rserver_probe_soon(rservice_server(v, i));
}

static void log_primary(const struct rservice *v, const struct rserver *s,
			uint64_t now_us)
{
	struct log_line *l =
		log_event(LOG_STATE, s ? "primary" : "primary-lost");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_cstr(l, "server", s ? s->info.id : "");
	log_cstr(l, "was", v->primary ? v->primary->info.id : "");
	log_u64(l, "term", s ? s->status.term : v->term);
	if (!v->primary)
		log_u64(l, "missing_ms",
			(now_us - MIN(v->no_primary_us, now_us)) /
				USEC_PER_MSEC);
	log_event_end(l);
}

static void set_term(struct rservice *v, uint64_t term, uint64_t now_us)
{
	if (term == v->term)
		return;
	v->term = term;
	v->term_seen_at_us = now_us;
}

static void set_primary(struct rservice *v, struct rserver *s, uint64_t now_us)
{
	if (v->primary == s)
		return;
	log_primary(v, s, now_us);
	v->primary = s;
	v->primary_changes++;
	v->confirmed_us = 0;
	v->confirmed_by = NULL;
	v->no_primary_us = now_us;
	if (!s)
		return;
	/* Positions of another term may since have been rolled back. */
	if (s->status.term != v->samples_term)
		v->n_samples = 0;
	v->samples_term = s->status.term;
	if (s->status.term != v->lead_start.term) {
		v->lead_start = s->status.received;
		v->lead_seen_at_us = now_us;
	}
	rpending_on_leader(v->relay->pending, v->name, s->info.id,
			   s->status.term);
	set_term(v, s->status.term, now_us);
	rprimary_probe_all(v);
}

/*
 * Logs which replica a lease rests on, once per replica, primary and kind of
 * evidence, so that a write which was acknowledged by mistake can be traced to
 * the server that was not fenced.
 */
static void log_confirmed(const struct rserver *by, enum revidence evidence,
			  uint64_t at_us, uint64_t now_us)
{
	const struct rservice *v = by->service;
	struct log_line *l = log_event(LOG_STATE, "primary-confirmed");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_cstr(l, "server", v->primary->info.id);
	log_u64(l, "term", v->term);
	log_cstr(l, "by", by->info.id);
	log_cstr(l, "evidence",
		 evidence == EVIDENCE_STATUS ? "status" : "applied");
	log_u64(l, "asked_ms", (now_us - MIN(at_us, now_us)) / USEC_PER_MSEC);
	log_u64(l, "listed_ms",
		(now_us - MIN(by->listed_at_us, now_us)) / USEC_PER_MSEC);
	log_event_end(l);
}

/* The replica was not paused at at_us: the lease starts then. */
static void confirm(struct rserver *by, enum revidence evidence, uint64_t at_us,
		    uint64_t now_us)
{
	struct rservice *v = by->service;

	if (!v->primary || at_us <= v->confirmed_us)
		return;
	rtrust_end_doubts(v, at_us);
	v->confirmed_us = at_us;
	v->confirmed_by = by;
	if (by->confirmation_logged[evidence] == v->primary_changes)
		return;
	by->confirmation_logged[evidence] = v->primary_changes;
	log_confirmed(by, evidence, at_us, now_us);
}

/* Stops relying on the server if it is the primary. */
void rprimary_drop(struct rserver *s, uint64_t now_us)
{
	if (s->service->primary == s)
		set_primary(s->service, NULL, now_us);
}

/*
 * Failure: a primary restarts without its log and continues to lead in its
 * term. Reads there miss acknowledged writes, although its replicas have them.
 * Guard: the server is not accepted as primary while it lacks a position of the
 * same term that this proxy has seen, so that a replica replaces it.
 */
static bool lacks_known_log(const struct rserver *s)
{
	const struct rservice *v = s->service;
	struct position newest;

	if (!s->relay->guards.distrust_restarted || !v->n_samples ||
	    s->status.term != v->samples_term)
		return false;
	newest = v->samples[(v->n_samples - 1) % MAX_SAMPLES].position;
	return position_cmp(s->status.received, newest) < 0;
}

/*
 * The server may have restarted. A primary must show itself as one again, and
 * what a replica said about it before is true of its former process only.
 */
void rprimary_on_maybe_restarted(struct rserver *s, uint64_t now_us)
{
	s->doubted_at_us = now_us;
	s->doubted_as_new = s->doubted_as_new && !s->heard_us;
	s->agreed_at_us = 0;
	rprimary_drop(s, now_us);
	rprimary_probe_all(s->service);
}

/* The server was just listed, for the first time or again. */
void rprimary_on_listed(struct rserver *s, uint64_t now_us)
{
	if (s->service->peers || !s->relay->guards.distrust_newly_listed)
		return;
	s->doubted_at_us = now_us;
	s->doubted_as_new = true;
}

static void note_primary(struct rserver *s, uint64_t now_us)
{
	struct rservice *v = s->service;

	if (s->status.term < v->term)
		return;
	if (v->primary == s && s->status.term == v->term)
		return;
	if (lacks_known_log(s)) {
		rlog_server_event(s, "primary-without-its-log");
		return;
	}
	if (v->primary == s)
		set_primary(v, NULL, now_us);
	set_primary(v, s, now_us);
}

/*
 * The server is no longer paused, in the same term: a change was aborted, or a
 * promotion has just taken effect.
 */
void rprimary_on_unpaused(struct rserver *s, uint64_t now_us)
{
	if (!s->relay->guards.distrust_unpaused)
		return;
	s->doubted_at_us = now_us;
	s->agreed_at_us = 0;
	rprimary_probe_all(s->service);
}

static void note_replica(struct rserver *s, uint64_t started_us,
			 uint64_t now_us)
{
	struct rservice *v = s->service;
	uint64_t counts_us;

	if (v->primary == s)
		set_primary(v, NULL, now_us);
	if (s->status.term > v->term) {
		set_primary(v, NULL, now_us);
		set_term(v, s->status.term, now_us);
	}
	if (!v->primary || s->status.held > v->term)
		return;
	s->agreed_at_us = started_us;
	s->agreed_term = v->term;
	counts_us = rtrust_lease_start_us(s, now_us);
	rlog_not_relied_on(s, counts_us, rtrust_is_in_doubt(s, now_us));
	confirm(s, EVIDENCE_STATUS, counts_us, now_us);
}

/* Handles the status that the server gave to a probe sent at started_us. */
void rprimary_on_status(struct rserver *s, uint64_t started_us, uint64_t now_us)
{
	if (s->status.role == ROLE_PRIMARY)
		note_primary(s, now_us);
	else if (s->status.role == ROLE_REPLICA)
		note_replica(s, started_us, now_us);
}

/* Whether statements need the primary and its lease is about to expire. */
bool rprimary_needs_renewal(const struct rservice *v, uint64_t now_us)
{
	return v->primary && now_us < v->wanted_at_us + WANTED_RECENTLY_US &&
	       !rprimary_lease_holds(v, now_us + RENEW_BEFORE_US);
}

/*
 * Renews an expired lease for a statement that needs the primary. Its replicas
 * are asked now rather than with the next tick. The usual case is a service
 * that was not used for a while.
 */
void rprimary_renew_lease(struct rservice *v, uint64_t now_us)
{
	unsigned i;

	if (!v->relay->guards.renew_lease_at_once ||
	    rprimary_lease_holds(v, now_us))
		return;
	for (i = 0; i < v->servers->len; i++)
		rserver_tick(rservice_server(v, i), now_us);
}

/* The newest sample at or before the position, NULL if there is none. */
static const struct rsample *newest_covered(const struct rservice *v,
					    struct position p)
{
	unsigned n = MIN(v->n_samples, MAX_SAMPLES);
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct rsample *sample =
			&v->samples[(v->n_samples - 1 - i) % MAX_SAMPLES];

		if (position_cmp(sample->position, p) <= 0)
			return sample;
	}
	return NULL;
}

/*
 * Renews the lease from a position that the replica has applied. A write that
 * the primary made after a sample's `us` can have reached the replica only
 * after that, and a paused replica receives nothing, so it wasn't paused at
 * `us`. This makes most status probes unnecessary.
 */
static void note_unpaused(struct rserver *s, struct position p, uint64_t now_us)
{
	const struct rservice *v = s->service;
	unsigned n = MIN(v->n_samples, MAX_SAMPLES);
	unsigned i;

	for (i = 0; i < n; i++) {
		const struct rsample *sample =
			&v->samples[(v->n_samples - 1 - i) % MAX_SAMPLES];

		if (sample->us <= v->confirmed_us)
			return;
		if (position_cmp(sample->position, p) < 0) {
			confirm(s, EVIDENCE_APPLIED, sample->us, now_us);
			return;
		}
	}
}

/*
 * Handles the position that a replica has applied: updates its lag and, if its
 * confirmation is trusted, the lease.
 */
void rprimary_on_applied(struct rserver *s, struct position p, uint64_t now_us)
{
	struct rservice *v = s->service;
	const struct rsample *sample;

	if (v->primary == s || p.term != v->term)
		return;
	sample = newest_covered(v, p);
	s->lag_us = sample ? now_us - MIN(sample->us, now_us) : NEVER_US;
	if (s->status.held <= v->term && rtrust_suffices_alone(s, now_us))
		note_unpaused(s, p, now_us);
}

/* The server, believed to be the primary, refused a write. */
void rprimary_on_read_only(struct rserver *s, uint64_t now_us)
{
	rprimary_drop(s, now_us);
	rprimary_probe_all(s->service);
}

/*
 * Samples the primary's log position from an answer to what was sent at
 * sent_us: whatever was acknowledged before that is at or before p.
 */
void rprimary_on_position(struct rserver *s, struct position p,
			  uint64_t sent_us)
{
	struct rservice *v = s->service;
	struct rsample *last;

	if (v->primary != s || !p.term || p.term != v->term ||
	    !rprimary_lease_holds(v, sent_us))
		return;
	last = &v->samples[(v->n_samples + MAX_SAMPLES - 1) % MAX_SAMPLES];
	if (v->n_samples && sent_us < last->us + SAMPLE_INTERVAL_US)
		return;
	v->samples[v->n_samples % MAX_SAMPLES] =
		(struct rsample){ .us = sent_us, .position = p };
	v->n_samples++;
}

/*
 * Finds the position that a read must see so that its data is at most
 * max_age_us old. False: nothing is known of the primary in that time.
 */
bool rprimary_read_floor(const struct rservice *v, uint64_t max_age_us,
			 uint64_t now_us, struct rsample *out)
{
	uint64_t since_us = now_us > max_age_us ? now_us - max_age_us : 0;
	unsigned n = MIN(v->n_samples, MAX_SAMPLES);
	bool found = false;
	unsigned i;

	for (i = 0; i < n; i++) {
		unsigned at = (v->n_samples - 1 - i) % MAX_SAMPLES;

		if (v->samples[at].us < since_us)
			break;
		*out = v->samples[at];
		found = true;
	}
	return found;
}
