/*
 * Who is primary, and until when that may be relied on.
 *
 * Failure: a primary that is cut off, or a proxy that is, goes on although
 * another server was promoted. It shows as reads that miss acknowledged
 * writes, and as acknowledged writes that vanish. Guard: whoever replaces a
 * primary first makes it step down, or pauses every other server with a higher
 * term and then waits until `authority_us` is over. So a primary may be relied
 * on for that long after a replica whose word counts, see word.c, was asked
 * and knew of no higher term.
 */
#define LOG_MODULE "lead"
#include "relay_internal.h"

#include <celeryquay/base/log.h>

#define SAMPLE_INTERVAL_US (40 * USEC_PER_MSEC)
#define RENEW_BEFORE_US (150 * USEC_PER_MSEC)
#define WANTED_RECENTLY_US USEC_PER_SEC

/* Whether another server is known that could take the primary's place. */
static bool has_others(const struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++)
		if (rservice_server(v, i) != v->primary)
			return true;
	return false;
}

/*
 * Failure: a list names one server of a service, an old primary, and the others
 * are there all the same: the proxy has just started, their entries lapsed in
 * an outage of the store, or they came back since the store was last heard.
 * One of them is promoted, and writes at the old one are told as stored and
 * are gone. Guard: a lone server that may be new is not relied on while a
 * promotion may be under way, and one that had others only by a list that is
 * fresh. A service that never had more than one server here goes on without
 * the store.
 */
static bool may_have_unlisted_others(const struct rservice *v, uint64_t at_us)
{
	const struct rserver *p = v->primary;
	const struct relay *r = v->relay;

	if (v->had_others && !rwd_is_list_fresh(r, at_us))
		return true;
	return r->guards.doubt_newcomers && rwd_is_doubted(p, at_us) &&
	       at_us < r->duty_used_us + PROMOTED_WITHIN_US;
}

/*
 * Whether nobody else can have become primary before at_us. A server without
 * others beside it can't be replaced.
 */
bool rld_holds(const struct rservice *v, uint64_t at_us)
{
	if (!v->primary)
		return false;
	if (!has_others(v))
		return !may_have_unlisted_others(v, at_us);
	return at_us < v->confirmed_us + v->relay->settings.authority_us;
}

/* Every server of the service is probed at once. */
void rld_ask(struct rservice *v)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++)
		rsv_probe_soon(rservice_server(v, i));
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
	/* Positions of an older term may have been rolled back. */
	if (s->status.term != v->samples_term)
		v->n_samples = 0;
	v->samples_term = s->status.term;
	set_term(v, s->status.term, now_us);
	rld_ask(v);
}

/*
 * Whose word a lease rests on, once for each replica, primary and evidence:
 * what is told as stored by mistake is traced to the server that was not
 * fenced.
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
		(now_us - MIN(by->listed_us, now_us)) / USEC_PER_MSEC);
	log_event_end(l);
}

/* A replica was not paused at that time: the lease counts from then. */
static void confirm(struct rserver *by, enum revidence evidence, uint64_t at_us,
		    uint64_t now_us)
{
	struct rservice *v = by->service;

	if (!v->primary || at_us <= v->confirmed_us)
		return;
	rwd_end_doubts(v, at_us);
	v->confirmed_us = at_us;
	v->confirmed_by = by;
	if (by->confirmation_logged[evidence] == v->primary_changes)
		return;
	by->confirmation_logged[evidence] = v->primary_changes;
	log_confirmed(by, evidence, at_us, now_us);
}

/* The server is not to be relied on as primary any more. */
void rld_drop(struct rserver *s, uint64_t now_us)
{
	if (s->service->primary == s)
		set_primary(s->service, NULL, now_us);
}

/*
 * Failure: a primary starts anew without its log, and leads on in its term.
 * Members see none of what they stored, though its replicas have it. Guard: it
 * is not taken for the primary while it lacks a position that this proxy has
 * seen of the same term, so that a replica takes its place.
 */
static bool lacks_known_log(const struct rserver *s)
{
	const struct rservice *v = s->service;
	struct position newest;

	if (!s->relay->guards.doubt_reborn || !v->n_samples ||
	    s->status.term != v->samples_term)
		return false;
	newest = v->samples[(v->n_samples - 1) % MAX_SAMPLES].position;
	return position_cmp(s->status.received, newest) < 0;
}

/*
 * The server may have started anew. A primary has to show itself once more,
 * and what replicas said of it before holds for its former process alone.
 */
void rld_on_doubt(struct rserver *s, uint64_t now_us)
{
	s->doubted_at_us = now_us;
	s->doubted_as_new = s->doubted_as_new && !s->heard_us;
	s->agreed_us = 0;
	rld_drop(s, now_us);
	rld_ask(s->service);
}

/* The server is in the list for the first time, or again. */
void rld_on_listed(struct rserver *s, uint64_t now_us)
{
	if (s->service->peers || !s->relay->guards.doubt_newcomers)
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
		rlg_server_event(s, "primary-without-its-log");
		return;
	}
	if (v->primary == s)
		set_primary(v, NULL, now_us);
	set_primary(v, s, now_us);
}

/*
 * The server was paused and is not any more, in the same term: a change was
 * given up, or a promotion has just taken effect.
 */
void rld_on_unpaused(struct rserver *s, uint64_t now_us)
{
	if (!s->relay->guards.doubt_unpaused)
		return;
	s->doubted_at_us = now_us;
	s->agreed_us = 0;
	rld_ask(s->service);
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
	s->agreed_us = started_us;
	s->agreed_term = v->term;
	counts_us = rwd_since_us(s, now_us);
	rlg_left_aside(s, counts_us, rwd_is_doubted(s, now_us));
	confirm(s, EVIDENCE_STATUS, counts_us, now_us);
}

/* Takes in the status that the server gave to a probe sent at started_us. */
void rld_on_status(struct rserver *s, uint64_t started_us, uint64_t now_us)
{
	if (s->status.role == ROLE_PRIMARY)
		note_primary(s, now_us);
	else if (s->status.role == ROLE_REPLICA)
		note_replica(s, started_us, now_us);
}

/* Whether statements need the primary, and what is known of it runs out. */
bool rld_wants(const struct rservice *v, uint64_t now_us)
{
	return v->primary && now_us < v->wanted_us + WANTED_RECENTLY_US &&
	       !rld_holds(v, now_us + RENEW_BEFORE_US);
}

/*
 * A statement needs the primary. Where its lease is over, as where nobody asked
 * for the service for a while, replicas are asked now rather than with the next
 * tick.
 */
void rld_renew(struct rservice *v, uint64_t now_us)
{
	unsigned i;

	if (!v->relay->guards.renew_at_once || rld_holds(v, now_us))
		return;
	for (i = 0; i < v->servers->len; i++)
		rsv_tick(rservice_server(v, i), now_us);
}

/* The newest sample that the position covers, NULL when none is known. */
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
 * A write that the primary made after `us` can have reached the replica only
 * after that, and a paused one receives nothing; so it wasn't paused at `us`.
 * This saves most statuses.
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

/* Takes in what a replica has applied: how far behind it is, and its word. */
void rld_on_applied(struct rserver *s, struct position p, uint64_t now_us)
{
	struct rservice *v = s->service;
	const struct rsample *sample;

	if (v->primary == s || p.term != v->term)
		return;
	sample = newest_covered(v, p);
	s->lag_us = sample ? now_us - MIN(sample->us, now_us) : NEVER_US;
	if (s->status.held <= v->term && rwd_counts_alone(s, now_us))
		note_unpaused(s, p, now_us);
}

/* A server that was taken for the primary refused to write. */
void rld_on_read_only(struct rserver *s, uint64_t now_us)
{
	rld_drop(s, now_us);
	rld_ask(s->service);
}

/*
 * Takes in where the primary's log stood, from an answer to what was sent at
 * sent_us: what was acknowledged before that is at or before p.
 */
void rld_on_position(struct rserver *s, struct position p, uint64_t sent_us)
{
	struct rservice *v = s->service;
	struct rsample *last;

	if (v->primary != s || !p.term || p.term != v->term ||
	    !rld_holds(v, sent_us))
		return;
	last = &v->samples[(v->n_samples + MAX_SAMPLES - 1) % MAX_SAMPLES];
	if (v->n_samples && sent_us < last->us + SAMPLE_INTERVAL_US)
		return;
	v->samples[v->n_samples % MAX_SAMPLES] =
		(struct rsample){ .us = sent_us, .position = p };
	v->n_samples++;
}

/*
 * The earliest position that a read of at most that age must see. False when
 * nothing is known of the primary since then.
 */
bool rld_floor(const struct rservice *v, uint64_t max_age_us, uint64_t now_us,
	       struct rsample *out)
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
