#include <celeryquay/core/fresh.h>

#include "fresh_samples.h"

#include <glib.h>
#include <stdlib.h>

/* A lower lag moves the smoothed one by an eighth of the difference. */
#define LAG_SMOOTHING_DIVISOR 8
/*
 * Data that has been missing for some time is expected to be missing for at
 * least a quarter of that time more.
 */
#define MISSING_DIVISOR 4

struct fresh_server {
	bool known;
	struct server_status status;
	uint64_t started_us; /* start of the probe that returned the status */
	uint64_t granted; /* highest term ever reported as granted */
	uint64_t granted_seen_at_us; /* start of the last probe reporting it */
	/* Start of the last probe that reported no grant above the term. */
	uint64_t no_higher_grant_at_us;
	uint64_t lag_us; /* smoothed lag while it is behind the primary */
	/* The last entry of its log before it granted a higher term. */
	struct position proof;
};

struct fresh {
	unsigned n_servers;
	struct fresh_server *servers;
	uint64_t term; /* highest term that had a primary, as far as seen */
	uint64_t confirmed_until_us; /* see fresh_confirmed_until_us() */
	struct fresh_samples samples; /* positions of that term's primary */
};

/* n_servers counts all servers of the group, reachable or not. */
struct fresh *fresh_create(unsigned n_servers)
{
	struct fresh *f;

	g_assert(n_servers <= FRESH_MAX_SERVERS);
	f = g_new0(struct fresh, 1);
	f->n_servers = n_servers;
	f->servers = g_new0(struct fresh_server, n_servers);
	return f;
}

void fresh_destroy(struct fresh *f)
{
	if (!f)
		return;
	g_free(f->servers);
	g_free(f);
}

static unsigned majority(const struct fresh *f)
{
	return f->n_servers / 2 + 1;
}

static uint64_t last_term(const struct history *h)
{
	return h->count ? h->entries[h->count - 1].term : 0;
}

static int compare_newest(const void *a, const void *b)
{
	const uint64_t *x = a;
	const uint64_t *y = b;

	return (*x < *y) - (*x > *y);
}

/*
 * Raises confirmed_until_us to the latest time s such that probes started at s
 * or later found a majority without a grant above the term. No write of a
 * higher term was acknowledged before s: that needs a primary with grants of a
 * majority, and the two majorities share a server.
 */
static void update_confirmed_until(struct fresh *f)
{
	uint64_t clear[FRESH_MAX_SERVERS] = { 0 };
	unsigned i;

	for (i = 0; i < f->n_servers; i++)
		clear[i] = f->servers[i].no_higher_grant_at_us;
	qsort(clear, f->n_servers, sizeof(clear[0]), compare_newest);
	if (clear[majority(f) - 1] <= f->confirmed_until_us)
		return;
	f->confirmed_until_us = clear[majority(f) - 1];
	fresh_samples_prune(&f->samples, f->confirmed_until_us);
}

/*
 * A higher term had a primary. Samples up to confirmed_until_us stay valid,
 * later ones are dropped.
 */
static void raise_term(struct fresh *f, uint64_t term)
{
	unsigned i;

	if (term <= f->term)
		return;
	fresh_samples_drop_after(&f->samples, f->confirmed_until_us);
	f->term = term;
	for (i = 0; i < f->n_servers; i++) {
		struct fresh_server *sv = &f->servers[i];

		if (sv->granted <= term)
			sv->no_higher_grant_at_us =
				MAX(sv->no_higher_grant_at_us,
				    sv->granted_seen_at_us);
	}
}

static void note_grant(struct fresh *f, struct fresh_server *sv,
		       uint64_t started_us, uint64_t granted)
{
	if (granted > sv->granted) {
		sv->granted = granted;
		sv->granted_seen_at_us = started_us;
	} else if (granted == sv->granted) {
		sv->granted_seen_at_us =
			MAX(sv->granted_seen_at_us, started_us);
	}
	if (granted <= f->term)
		sv->no_higher_grant_at_us =
			MAX(sv->no_higher_grant_at_us, started_us);
}

/*
 * What a log held before its server granted a higher term is seen by every
 * later promotion. What it holds after the grant may come from a later primary
 * and proves nothing, see fresh_is_durable().
 */
static void note_proof(struct fresh_server *sv, const struct server_status *s)
{
	struct position last = { last_term(&s->history), s->received };

	if (s->granted <= last.term)
		sv->proof = last;
}

/*
 * A replica's lag can be measured only while it is behind; otherwise the last
 * value is kept.
 */
static void note_lag(const struct fresh *f, struct fresh_server *sv,
		     uint64_t started_us)
{
	uint64_t passed_at_us =
		fresh_samples_passed_at_us(&f->samples, sv->status.applied);
	uint64_t lag_us;

	if (!passed_at_us || passed_at_us >= started_us)
		return;
	lag_us = started_us - passed_at_us;
	if (lag_us > sv->lag_us)
		sv->lag_us = lag_us;
	else
		sv->lag_us -= (sv->lag_us - lag_us) / LAG_SMOOTHING_DIVISOR;
}

/* Whether a status is certainly older than the known one. */
static bool status_is_older(const struct fresh_server *sv, uint64_t started_us,
			    const struct server_status *status)
{
	return sv->known && started_us <= sv->started_us &&
	       status->granted < sv->granted;
}

/*
 * Processes a server's status. started_us is when the probe was sent, by the
 * same clock as all other times. A late status is still evidence of the
 * server's state at that time, but does not replace a newer one. Otherwise the
 * status is believed, even if the log is shorter than before.
 */
void fresh_on_status(struct fresh *f, unsigned server, uint64_t started_us,
		     const struct server_status *status)
{
	struct fresh_server *sv = &f->servers[server];
	bool primary = status->role == ROLE_PRIMARY;

	raise_term(f, last_term(&status->history));
	if (primary)
		raise_term(f, status->term);
	if (!status_is_older(sv, started_us, status)) {
		sv->known = true;
		sv->status = *status;
		sv->started_us = started_us;
	}
	note_grant(f, sv, started_us, status->granted);
	note_proof(sv, status);
	if (primary && status->term == f->term)
		fresh_samples_add(&f->samples, started_us,
				  (struct position){ f->term,
						     status->received });
	else if (sv->status.role == ROLE_REPLICA)
		note_lag(f, sv, started_us);
	update_confirmed_until(f);
}

/*
 * Raises the position that the server is known to have applied, by an answer on
 * one of its connections. For a replica, only positions up to the known end of
 * its log count: the end of the log may have been truncated while the answer
 * was on its way.
 */
void fresh_on_applied(struct fresh *f, unsigned server, struct position p)
{
	struct fresh_server *sv = &f->servers[server];
	struct server_status *s = &sv->status;

	if (!sv->known || !p.term || !history_contains(&s->history, p))
		return;
	if (s->role == ROLE_PRIMARY && p.term == s->term) {
		s->received = MAX(s->received, p.index);
		s->applied = s->received;
		/* A fenced primary commits nothing, so p precedes the fence. */
		if (position_is_before(sv->proof, p))
			sv->proof = p;
	} else if (p.index <= s->received) {
		s->applied = MAX(s->applied, p.index);
	}
}

/*
 * Forgets the server's log: the server may come back with an empty or shorter
 * one. Its grants stay known, since a server must never forget a grant.
 */
void fresh_forget(struct fresh *f, unsigned server)
{
	struct fresh_server *sv = &f->servers[server];

	sv->known = false;
	sv->proof = (struct position){ 0, 0 };
}

/*
 * The highest term that had a primary. 0 if a majority has granted a higher one
 * since: then nothing commits until the next primary is promoted.
 */
uint64_t fresh_term(const struct fresh *f)
{
	unsigned higher = 0;
	unsigned i;

	for (i = 0; i < f->n_servers; i++)
		higher += f->servers[i].granted > f->term;
	return higher >= majority(f) ? 0 : f->term;
}

static bool is_primary(const struct fresh *f, const struct fresh_server *sv)
{
	return sv->known && sv->status.role == ROLE_PRIMARY &&
	       sv->status.term == f->term && !sv->status.fenced &&
	       sv->granted <= f->term;
}

/* The primary of the current term, -1 if none is known. */
int fresh_primary(const struct fresh *f)
{
	unsigned i;

	if (!fresh_term(f))
		return -1;
	for (i = 0; i < f->n_servers; i++) {
		if (is_primary(f, &f->servers[i]))
			return (int)i;
	}
	return -1;
}

/*
 * Whether the server's reads see the log up to p, in the same history. The
 * primary has every position of its own term, even one later than its status.
 */
bool fresh_has_applied(const struct fresh *f, unsigned server,
		       struct position p)
{
	const struct fresh_server *sv = &f->servers[server];

	if (!sv->known || !history_contains(&sv->status.history, p))
		return false;
	if (sv->status.role == ROLE_PRIMARY && p.term == sv->status.term)
		return true;
	return !p.term || sv->status.applied >= p.index;
}

/*
 * Start of the newest confirmed sample whose position the server has applied,
 * 0: none.
 */
static uint64_t newest_covered_at_us(const struct fresh *f, unsigned server)
{
	unsigned i;

	for (i = f->samples.count; i > 0; i--) {
		const struct fresh_sample *s = &f->samples.list[i - 1];

		if (s->started_us <= f->confirmed_until_us &&
		    fresh_has_applied(f, server, s->at))
			return s->started_us;
	}
	return 0;
}

/*
 * Upper bound of the age of the server's data: its reads see everything that
 * was acknowledged longer ago. The age of the primary's data is the time since
 * it was last confirmed, as writes of a later term may be missing. UINT64_MAX:
 * not known.
 */
uint64_t fresh_age_us(const struct fresh *f, unsigned server, uint64_t now_us)
{
	uint64_t since_us;

	if (!f->servers[server].known)
		return UINT64_MAX;
	if (fresh_primary(f) == (int)server)
		since_us = f->confirmed_until_us;
	else
		since_us = newest_covered_at_us(f, server);
	if (!since_us)
		return UINT64_MAX;
	return now_us > since_us ? now_us - since_us : 0;
}

/* The time until which a majority had granted no term above the current one. */
uint64_t fresh_confirmed_until_us(const struct fresh *f)
{
	return f->confirmed_until_us;
}

/*
 * Whether a server's log proves p for every later term: it has p and received
 * an entry of the given term, at p or after it, before it granted a higher one.
 */
static bool proves_survival(const struct fresh_server *sv, uint64_t term,
			    struct position p)
{
	const struct server_status *s = &sv->status;

	if (!sv->known || sv->proof.term != term)
		return false;
	if (p.term == term && p.index > sv->proof.index)
		return false;
	if (p.term != term && last_term(&s->history) != term)
		return false;
	return s->received >= p.index && history_contains(&s->history, p);
}

/*
 * Whether p survives every promotion. A promotion takes the highest (term,
 * position) of a majority of granters, so p is safe if a majority had, before
 * granting a higher term, an entry of one and the same term at p or after it.
 * Copies of p alone are not enough: an entry of an old term that a later
 * primary copied to a majority is still lost if a server is promoted whose log
 * lacks it and ends in a term between the two.
 */
bool fresh_is_durable(const struct fresh *f, struct position p)
{
	unsigned i, k;

	for (i = 0; i < f->n_servers; i++) {
		uint64_t term = f->servers[i].proof.term;
		unsigned count = 0;

		if (term < p.term)
			continue;
		for (k = 0; k < f->n_servers; k++)
			count += proves_survival(&f->servers[k], term, p);
		if (count >= majority(f))
			return true;
	}
	return false;
}

/*
 * Whether p can never be in the database's history again: the log of the
 * current term does not contain it, and that term's first entry survives every
 * promotion.
 */
bool fresh_is_lost(const struct fresh *f, struct position p)
{
	unsigned i;

	if (!p.term || p.term >= f->term)
		return false;
	for (i = 0; i < f->n_servers; i++) {
		const struct history *h = &f->servers[i].status.history;
		struct position first = { f->term, 0 };

		if (!f->servers[i].known || last_term(h) != f->term)
			continue;
		first.index = h->entries[h->count - 1].start;
		return !history_contains(h, p) && fresh_is_durable(f, first);
	}
	return false;
}

/*
 * Estimates the time until the server's reads see p and everything acknowledged
 * before since_us, by the lag measured when it was last behind. 0 if they see
 * it already, UINT64_MAX if nothing is known to estimate from.
 */
uint64_t fresh_catch_up_us(const struct fresh *f, unsigned server,
			   struct position p, uint64_t since_us,
			   uint64_t now_us)
{
	uint64_t covered_at_us = newest_covered_at_us(f, server);
	uint64_t target_at_us = since_us;
	uint64_t due_at_us, missing_for_us, left_us;

	if (!covered_at_us)
		return UINT64_MAX;
	if (!fresh_has_applied(f, server, p)) {
		uint64_t passed_at_us =
			fresh_samples_passed_at_us(&f->samples, p.index - 1);

		target_at_us =
			MAX(target_at_us, passed_at_us ? passed_at_us : now_us);
	} else if (covered_at_us >= since_us) {
		return 0;
	}
	due_at_us = target_at_us + f->servers[server].lag_us;
	missing_for_us = now_us > target_at_us ? now_us - target_at_us : 0;
	left_us = due_at_us > now_us ? due_at_us - now_us : 0;
	return MAX(left_us, missing_for_us / MISSING_DIVISOR);
}

/* NULL before the first status and after fresh_forget(). */
const struct server_status *fresh_status(const struct fresh *f, unsigned server)
{
	const struct fresh_server *sv = &f->servers[server];

	return sv->known ? &sv->status : NULL;
}
