#include "failover_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Probe interval of the old and new primary during a planned switchover. */
#define FAST_PROBE_INTERVAL_US (5 * USEC_PER_MSEC)
/* Probe intervals between two follow calls to the same server. */
#define FOLLOW_RETRY_PROBES 2
/*
 * Tick interval while a decision may fall due by the passage of time alone, see
 * is_decision_pending().
 */
#define PENDING_TICK_INTERVAL_US (10 * USEC_PER_MSEC)
/* Probe intervals without a call after which this process counts as paused. */
#define PAUSE_PROBE_INTERVALS 2

/*
 * Default times, for servers with a round trip of at most a few milliseconds. A
 * primary that pauses for 300 ms while a packet is lost is not replaced.
 */
void failover_settings_default(struct failover_settings *s)
{
	s->probe_interval_us = 100 * USEC_PER_MSEC;
	s->suspect_after_us = 700 * USEC_PER_MSEC;
	s->call_timeout_us = 120 * USEC_PER_MSEC;
	s->rank_delay_us = 300 * USEC_PER_MSEC;
	s->backoff_us = 100 * USEC_PER_MSEC;
	s->damping_us = 10 * USEC_PER_SEC;
	s->refused_after_us = 200 * USEC_PER_MSEC;
	s->stalled_after_us = 1 * USEC_PER_SEC;
	s->cut_off_after_us = 1200 * USEC_PER_MSEC;
	s->drain_us = 100 * USEC_PER_MSEC;
}

/* Starts to monitor servers of which nothing is known yet. */
struct failover *failover_create(const struct failover_settings *settings,
				 unsigned n_servers, const char *holder,
				 const struct failover_ops *ops, void *ctx,
				 GRand *rng, uint64_t now_us)
{
	struct failover *f = g_new0(struct failover, 1);

	f->settings = *settings;
	f->n_servers = MIN(n_servers, FRESH_MAX_SERVERS);
	f->holder = g_strndup(holder,
			      sizeof(((struct server_status *)0)->holder) - 1);
	f->ops = ops;
	f->ctx = ctx;
	f->rng = rng;
	memset(&f->guards, true, sizeof(f->guards));
	f->primary = NO_SERVER;
	f->excluded = NO_SERVER;
	f->target = NO_SERVER;
	f->move_target = NO_SERVER;
	f->no_primary_since_us = now_us;
	f->resumed_at_us = now_us;
	f->last_call_at_us = now_us;
	return f;
}

/* Writes that are held back are not released. */
void failover_destroy(struct failover *f)
{
	if (!f)
		return;
	g_free(f->holder);
	g_free(f);
}

/* The rules that are on; tests switch them off. */
struct failover_guards *failover_guards(struct failover *f)
{
	return &f->guards;
}

/* Smallest majority of all servers, reachable or not. */
unsigned failover_majority(const struct failover *f)
{
	return f->n_servers / 2 + 1;
}

/* Whether the operators or the server's own status mark it as leaving. */
bool failover_is_leaving(const struct failover *f, unsigned server)
{
	const struct failover_server *s = &f->servers[server];

	return s->marked_leaving || s->status.leaving;
}

/* Writes one line to the decision log. */
void failover_log_decision(struct failover *f, const char *what,
			   const char *fmt, ...)
{
	char detail[160];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(detail, sizeof(detail), fmt, ap);
	va_end(ap);
	f->ops->decision(f->ctx, what, detail);
}

/* All changes of the phase go through here. */
void failover_enter_phase(struct failover *f, enum failover_phase phase,
			  uint64_t deadline_us)
{
	f->phase = phase;
	f->deadline_us = deadline_us;
}

/* Sets the name that other servers report in `following`. */
void failover_set_name(struct failover *f, unsigned server, const char *name)
{
	if (server < f->n_servers)
		g_strlcpy(f->servers[server].name, name,
			  sizeof(f->servers[server].name));
}

/* Homes of a higher rank wait longer, so that the first one acts alone. */
void failover_set_rank(struct failover *f, unsigned rank)
{
	f->rank = rank;
}

/* Sets the operators' mark; the server's own mark is in its status. */
void failover_set_leaving(struct failover *f, unsigned server, bool leaving)
{
	if (server < f->n_servers)
		f->servers[server].marked_leaving = leaving;
}

int failover_primary(const struct failover *f)
{
	return f->primary;
}

uint64_t failover_term(const struct failover *f)
{
	return f->primary_term;
}

enum failover_phase failover_phase(const struct failover *f)
{
	return f->phase;
}

/* The interval at which a server is probed in the current phase. */
static uint64_t probe_interval(const struct failover *f, unsigned server)
{
	if (f->phase == FAILOVER_DRAIN &&
	    ((int)server == f->primary || (int)server == f->move_target))
		return FAST_PROBE_INTERVAL_US;
	return f->settings.probe_interval_us;
}

/* When the server's probe in flight times out or the next one is due. */
static uint64_t probe_due_at_us(const struct failover *f, unsigned server)
{
	const struct failover_server *s = &f->servers[server];

	if (s->probing)
		return s->probe_sent_at_us + f->settings.call_timeout_us;
	return s->probe_sent_at_us + probe_interval(f, server);
}

static void probe_tick(struct failover *f, uint64_t now_us)
{
	struct failover_server *s;
	unsigned i;

	for (i = 0; i < f->n_servers; i++) {
		s = &f->servers[i];
		if (now_us < probe_due_at_us(f, i))
			continue;
		if (s->probing)
			watch_on_unanswered(f, i, false);
		s->probing = true;
		s->probe_sent_at_us = now_us;
		f->ops->probe(f->ctx, i);
	}
}

/*
 * Whether the server neither follows the primary nor has granted a later term
 * than the primary's.
 */
static bool must_be_told_to_follow(const struct failover *f, unsigned server)
{
	const struct failover_server *s = &f->servers[server];
	const char *primary = f->servers[f->primary].name;
	bool confirmed = s->followed_term == f->primary_term;

	if (!s->known || s->status.granted > f->primary_term)
		return false;
	if (s->status.role == ROLE_PRIMARY)
		return s->status.term < f->primary_term;
	if (!primary[0])
		return !confirmed;
	return strcmp(s->status.following, primary) != 0 ||
	       (s->status.term != f->primary_term && !confirmed);
}

/*
 * Tells servers to follow the primary until they do, including an old primary
 * that comes back much later. The call is idempotent, so every home may send
 * it; a home of a higher rank does so only if those before it don't.
 */
static void follow_tick(struct failover *f, uint64_t now_us)
{
	struct failover_server *s;
	unsigned i;

	if (f->primary == NO_SERVER || f->phase == FAILOVER_GRANT ||
	    f->phase == FAILOVER_PROMOTE)
		return;
	for (i = 0; i < f->n_servers; i++) {
		s = &f->servers[i];
		if ((int)i == f->primary || !must_be_told_to_follow(f, i)) {
			s->not_following_since_us = 0;
			continue;
		}
		if (!s->not_following_since_us)
			s->not_following_since_us = now_us;
		if (f->phase != FAILOVER_FOLLOW &&
		    (!watch_is_reachable(f, i, now_us) ||
		     now_us - s->not_following_since_us <
			     f->rank * f->settings.rank_delay_us))
			continue;
		if (now_us < s->follow_due_at_us)
			continue;
		s->follow_due_at_us =
			now_us +
			FOLLOW_RETRY_PROBES * f->settings.probe_interval_us;
		f->ops->follow(f->ctx, i, f->primary_term,
			       (unsigned)f->primary);
	}
}

/* Whether a majority, including the primary, is in the new term. */
static bool majority_follows(const struct failover *f)
{
	unsigned i, n = 1;

	for (i = 0; i < f->n_servers; i++)
		if ((int)i != f->primary &&
		    f->servers[i].followed_term == f->primary_term)
			n++;
	return n >= failover_majority(f);
}

static void on_follow_answer(struct failover *f, unsigned server,
			     const struct server_status *status)
{
	struct failover_server *s = &f->servers[server];

	if (status->granted_ok && status->granted == f->primary_term &&
	    status->role == ROLE_REPLICA)
		s->followed_term = f->primary_term;
}

/*
 * Guards against decisions on stale data after this process was paused: all
 * servers seem silent then, and a ballot in progress may have been overtaken.
 * A long gap between two calls indicates a pause. Silence is then counted anew
 * from now on, and the current phase is abandoned.
 */
static void detect_pause(struct failover *f, uint64_t now_us)
{
	const struct failover_settings *set = &f->settings;
	uint64_t gap_us = MAX(set->call_timeout_us,
			      PAUSE_PROBE_INTERVALS * set->probe_interval_us);
	bool paused = now_us > f->last_call_at_us + gap_us;
	unsigned i;

	f->last_call_at_us = MAX(f->last_call_at_us, now_us);
	if (!paused || !f->guards.own_pause)
		return;
	f->resumed_at_us = now_us;
	for (i = 0; i < f->n_servers; i++) {
		f->servers[i].probing = false;
		f->servers[i].n_unanswered = 0;
		f->servers[i].n_refused = 0;
	}
	if (f->phase != FAILOVER_WATCH)
		failover_log_decision(f, "paused", "phase=%d", f->phase);
	move_finish(f);
	failover_enter_phase(f, FAILOVER_WATCH, 0);
}

/* Takes every transition that is due by what is known. */
static void advance_phase(struct failover *f, uint64_t now_us)
{
	enum failover_reason reason;

	ballot_tick(f, now_us);
	move_tick(f, now_us);
	if (f->phase == FAILOVER_FOLLOW &&
	    (majority_follows(f) || now_us >= f->deadline_us)) {
		failover_log_decision(f, "followed",
				      "term=%" PRIu64 " majority=%s",
				      f->primary_term,
				      majority_follows(f) ? "yes" : "no");
		failover_enter_phase(f, FAILOVER_WATCH, 0);
	}
	if (f->phase == FAILOVER_WATCH) {
		reason = watch_reason(f, now_us);
		if (reason != REASON_NONE)
			ballot_start(f, reason, now_us);
		else
			move_if_leaving(f, now_us);
	}
	follow_tick(f, now_us);
}

/* Sends due probes, checks deadlines and acts on them. */
void failover_tick(struct failover *f, uint64_t now_us)
{
	detect_pause(f, now_us);
	probe_tick(f, now_us);
	advance_phase(f, now_us);
}

/* Whether a decision may become due without another answer or failure. */
static bool is_decision_pending(const struct failover *f)
{
	return f->phase != FAILOVER_WATCH || f->primary == NO_SERVER ||
	       f->servers[f->primary].n_unanswered || f->stall.since_us ||
	       f->max_term > f->primary_term;
}

uint64_t failover_next_tick_us(const struct failover *f)
{
	uint64_t next_us = f->deadline_us ? f->deadline_us : UINT64_MAX;
	unsigned i;

	if (is_decision_pending(f))
		next_us = MIN(next_us,
			      f->last_call_at_us + PENDING_TICK_INTERVAL_US);
	for (i = 0; i < f->n_servers; i++)
		next_us = MIN(next_us, probe_due_at_us(f, i));
	return next_us;
}

/* Abandons the ballot if its term or a later one has a primary. */
static void yield_to_primary(struct failover *f)
{
	if (f->phase != FAILOVER_GRANT && f->phase != FAILOVER_PROMOTE)
		return;
	if (f->primary == NO_SERVER || f->primary_term < f->term)
		return;
	failover_log_decision(f, "yield", "term=%" PRIu64 " to=%" PRIu64,
			      f->term, f->primary_term);
	move_finish(f);
	failover_enter_phase(f, FAILOVER_WATCH, 0);
}

/* The server answered a call that started at started_us. */
void failover_on_status(struct failover *f, unsigned server,
			enum failover_call call, uint64_t started_us,
			const struct server_status *status, uint64_t now_us)
{
	if (server >= f->n_servers)
		return;
	detect_pause(f, now_us);
	if (call == CALL_PROBE &&
	    started_us >= f->servers[server].probe_sent_at_us)
		f->servers[server].probing = false;
	watch_on_alive(f, server, started_us);
	if (call == CALL_GRANT)
		ballot_on_grant(f, server, status, now_us);
	else
		ballot_on_promote(f, server, status, now_us);
	watch_on_status(f, server, started_us, status, now_us);
	if (call == CALL_FOLLOW)
		on_follow_answer(f, server, status);
	yield_to_primary(f);
	advance_phase(f, now_us);
}

static void on_failure(struct failover *f, unsigned server,
		       enum failover_call call, bool refused, uint64_t now_us)
{
	if (server >= f->n_servers)
		return;
	detect_pause(f, now_us);
	if (call == CALL_PROBE)
		watch_on_unanswered(f, server, refused);
	else if (call == CALL_FOLLOW && f->phase == FAILOVER_FOLLOW)
		f->servers[server].follow_due_at_us =
			now_us + CALL_RETRY_INTERVAL_US;
	else
		ballot_on_failure(f, server, call, now_us);
	advance_phase(f, now_us);
}

/* The call was not answered in time. */
void failover_on_failure(struct failover *f, unsigned server,
			 enum failover_call call, uint64_t now_us)
{
	on_failure(f, server, call, false, now_us);
}

/* The call failed because no process listens at the server's address. */
void failover_on_refused(struct failover *f, unsigned server,
			 enum failover_call call, uint64_t now_us)
{
	on_failure(f, server, call, true, now_us);
}

/* The server answered a call of another module. */
void failover_on_alive(struct failover *f, unsigned server, uint64_t started_us)
{
	if (server < f->n_servers)
		watch_on_alive(f, server, started_us);
}

/* Starts a planned switchover. */
bool failover_move(struct failover *f, int target, uint64_t now_us,
		   struct err *err)
{
	detect_pause(f, now_us);
	return move_start(f, target, now_us, err);
}
