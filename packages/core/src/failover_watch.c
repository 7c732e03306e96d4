#include "failover_internal.h"

#include <string.h>

/* A server that answered in the last three probe intervals is reachable. */
#define REACHABLE_PROBE_INTERVALS 3
/* Limits the wait before a stalled primary is replaced: 16 stalled_after_us. */
#define MAX_STALL_DOUBLINGS 4

/* The time from earlier_us to now_us, 0 if earlier_us is the later one. */
static uint64_t elapsed_us(uint64_t now_us, uint64_t earlier_us)
{
	return now_us > earlier_us ? now_us - earlier_us : 0;
}

const char *watch_reason_name(enum failover_reason reason)
{
	static const char *const names[] = {
		[REASON_NONE] = "none",
		[REASON_SILENT] = "silent",
		[REASON_REFUSED] = "refused",
		[REASON_CUT_OFF] = "cut_off_though_replicas_hear_it",
		[REASON_NO_PRIMARY] = "no_primary",
		[REASON_FENCED] = "fenced",
		[REASON_STALLED] = "stalled",
		[REASON_MOVE] = "planned",
	};

	return names[reason];
}

/* The server answered a call that started at started_us. */
void watch_on_alive(struct failover *f, unsigned server, uint64_t started_us)
{
	struct failover_server *s = &f->servers[server];

	if (started_us > s->alive_at_us)
		s->alive_at_us = started_us;
	/*
	 * A late answer to a call that was sent before the first unanswered
	 * probe does not show that the server was alive since.
	 */
	if (s->n_unanswered && started_us < s->first_unanswered_at_us)
		return;
	s->n_unanswered = 0;
	s->n_refused = 0;
}

/* A probe failed; refused: no process listens at the server's address. */
void watch_on_unanswered(struct failover *f, unsigned server, bool refused)
{
	struct failover_server *s = &f->servers[server];

	if (!s->probing)
		return;
	s->probing = false;
	if (!s->n_unanswered)
		s->first_unanswered_at_us = s->probe_sent_at_us;
	s->n_unanswered++;
	if (refused)
		s->n_refused++;
}

/* There is a new primary: the others are told to follow it at once. */
void watch_on_new_primary(struct failover *f)
{
	unsigned i;

	f->attempts = 0;
	for (i = 0; i < f->n_servers; i++)
		f->servers[i].follow_due_at_us = 0;
}

/*
 * Updates the known primary. A server that is primary of a lower term than the
 * known primary's is an old primary.
 */
static void note_primary(struct failover *f, unsigned server,
			 const struct server_status *status, uint64_t now_us)
{
	bool leads = status->role == ROLE_PRIMARY;

	if (leads && status->term > f->primary_term) {
		f->primary = (int)server;
		f->primary_term = status->term;
		watch_on_new_primary(f);
		failover_log_decision(f, "primary", "server=%u term=%" PRIu64,
				      server, status->term);
		return;
	}
	if (leads && status->term == f->primary_term) {
		f->primary = (int)server;
		return;
	}
	if (f->primary == (int)server) {
		f->primary = NO_SERVER;
		f->no_primary_since_us = now_us;
	}
}

/* Tracks the highest term seen and when another holder last raised it. */
static void note_term(struct failover *f, const struct server_status *status,
		      uint64_t now_us)
{
	uint64_t term = MAX(status->granted, status->term);

	if (term <= f->max_term)
		return;
	f->max_term = term;
	f->max_term_raised_at_us = now_us;
}

/*
 * The highest index of the primary's log that a majority of the servers has:
 * the majority-th of their indexes, in descending order.
 */
static uint64_t majority_index(const struct failover *f)
{
	uint64_t sorted[FRESH_MAX_SERVERS] = { 0 };
	const struct failover_server *s;
	unsigned i, j;
	uint64_t at;

	for (i = 0; i < f->n_servers; i++) {
		s = &f->servers[i];
		at = s->known && s->status.term == f->primary_term ?
			     s->status.received :
			     0;
		for (j = i; j && sorted[j - 1] < at; j--)
			sorted[j] = sorted[j - 1];
		sorted[j] = at;
	}
	return sorted[failover_majority(f) - 1];
}

/*
 * Guards against a primary that answers, but from which the replicas receive
 * nothing: every write hangs without a majority. This shows as a primary whose
 * log stays ahead of the majority's while the latter does not grow. Lag alone
 * does not look like that, since the log of a lagging majority still grows.
 */
static void note_stall(struct failover *f, uint64_t now_us)
{
	struct failover_stall *stall = &f->stall;
	uint64_t index = majority_index(f);

	if (f->primary == NO_SERVER ||
	    f->servers[f->primary].status.received <= index) {
		stall->since_us = 0;
		if (f->primary != NO_SERVER && index)
			stall->count = 0;
	} else if (!stall->since_us || stall->term != f->primary_term ||
		   stall->majority_index != index) {
		stall->since_us = now_us;
	}
	stall->term = f->primary_term;
	stall->majority_index = index;
}

/* Processes a server's status. */
void watch_on_status(struct failover *f, unsigned server, uint64_t started_us,
		     const struct server_status *status, uint64_t now_us)
{
	struct failover_server *s = &f->servers[server];

	note_term(f, status, now_us);
	/* An older answer that comes late must not replace a newer one. */
	if (s->known && started_us < s->status_started_at_us)
		return;
	if (s->known && s->status.term == status->term &&
	    s->status.received < status->received)
		s->log_grew_after_us = s->status_started_at_us;
	s->known = true;
	s->status = *status;
	s->status_started_at_us = started_us;
	note_primary(f, server, status, now_us);
	note_stall(f, now_us);
}

/* Whether the server answered recently, so that a ballot can reach it. */
bool watch_is_reachable(const struct failover *f, unsigned server,
			uint64_t now_us)
{
	const struct failover_server *s = &f->servers[server];
	uint64_t window_us =
		REACHABLE_PROBE_INTERVALS * f->settings.probe_interval_us;

	return s->known && elapsed_us(now_us, s->alive_at_us) <= window_us;
}

/* Number of reachable servers, not counting `except`. */
unsigned watch_count_reachable(const struct failover *f, int except,
			       uint64_t now_us)
{
	unsigned i, n = 0;

	for (i = 0; i < f->n_servers; i++)
		if ((int)i != except && watch_is_reachable(f, i, now_us))
			n++;
	return n;
}

/*
 * Whether the replicas' statuses show that their logs still grew in the
 * primary's term after the primary stopped answering this proxy.
 */
static bool replicas_still_receive(const struct failover *f,
				   uint64_t silence_us, uint64_t now_us)
{
	const struct failover_settings *set = &f->settings;
	uint64_t silence_start_us =
		elapsed_us(now_us, silence_us) + set->call_timeout_us;
	const struct failover_server *s;
	unsigned i;

	for (i = 0; i < f->n_servers; i++) {
		s = &f->servers[i];
		if ((int)i != f->primary && s->status.term >= f->primary_term &&
		    s->log_grew_after_us > silence_start_us &&
		    elapsed_us(now_us, s->log_grew_after_us) <
			    set->suspect_after_us)
			return true;
	}
	return false;
}

/*
 * Guards against replacing a primary that only this proxy can't reach, as when
 * the network between them is cut. This holds for cut_off_after_us only, since
 * a primary that its first home can't reach is of little use in the long run.
 * After that time the decision log shows REASON_CUT_OFF for the change.
 */
static enum failover_reason unless_replicas_receive(const struct failover *f,
						    enum failover_reason reason,
						    uint64_t silence_us,
						    uint64_t now_us)
{
	if (!f->guards.progress ||
	    !replicas_still_receive(f, silence_us, now_us))
		return reason;
	if (silence_us < f->settings.cut_off_after_us)
		return REASON_NONE;
	return REASON_CUT_OFF;
}

/* Whether all servers answered recently, so that no primary is unseen. */
static bool all_reachable(const struct failover *f, uint64_t now_us)
{
	return watch_count_reachable(f, NO_SERVER, now_us) == f->n_servers;
}

static uint64_t rank_delay(const struct failover *f)
{
	return f->rank * f->settings.rank_delay_us;
}

/* Whether to replace the primary because none is known. */
static enum failover_reason reason_no_primary(const struct failover *f,
					      uint64_t now_us)
{
	uint64_t silence_us = elapsed_us(now_us, MAX(f->no_primary_since_us,
						     f->resumed_at_us));
	uint64_t wait_us = rank_delay(f);

	if (!all_reachable(f, now_us))
		wait_us += f->settings.suspect_after_us;
	if (silence_us < wait_us)
		return REASON_NONE;
	return unless_replicas_receive(f, REASON_NO_PRIMARY, silence_us,
				       now_us);
}

/* Whether to replace the primary because it does not answer. */
static enum failover_reason reason_silent(const struct failover *f,
					  uint64_t now_us)
{
	const struct failover_server *s = &f->servers[f->primary];
	const struct failover_settings *set = &f->settings;
	uint64_t silence_us =
		elapsed_us(now_us, MAX(s->alive_at_us, f->resumed_at_us));
	unsigned min_unanswered = f->guards.min_probes ? MIN_UNANSWERED_PROBES :
							 1;

	if (s->n_refused >= MIN_REFUSED_PROBES &&
	    silence_us >= set->refused_after_us + rank_delay(f))
		return unless_replicas_receive(f, REASON_REFUSED, silence_us,
					       now_us);
	if (s->n_unanswered < min_unanswered ||
	    silence_us < set->suspect_after_us + rank_delay(f))
		return REASON_NONE;
	return unless_replicas_receive(f, REASON_SILENT, silence_us, now_us);
}

/*
 * Guards against a ballot that was left unfinished (its holder died, or did not
 * get a majority): a server that granted a later term than the primary's
 * accepts no more log entries from it; if it is that primary, it commits
 * nothing. Only a new term resolves this.
 */
static bool later_term_without_primary(const struct failover *f,
				       uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < f->n_servers; i++)
		if (f->servers[i].status.granted > f->primary_term &&
		    watch_is_reachable(f, i, now_us))
			return true;
	return false;
}

static bool are_writes_stalled(const struct failover *f, uint64_t now_us)
{
	unsigned doublings = MIN(f->stall.count, MAX_STALL_DOUBLINGS);
	uint64_t wait_us = f->settings.stalled_after_us << doublings;

	return f->stall.since_us &&
	       elapsed_us(now_us, MAX(f->stall.since_us, f->resumed_at_us)) >=
		       wait_us + rank_delay(f) &&
	       watch_count_reachable(f, f->primary, now_us) >=
		       failover_majority(f);
}

/*
 * Why the primary must be replaced now, or REASON_NONE. It is never replaced
 * while another holder's ballot has time left, or when no majority is
 * reachable.
 */
enum failover_reason watch_reason(struct failover *f, uint64_t now_us)
{
	const uint64_t wait_limit_us =
		PHASE_CALL_TIMEOUTS * f->settings.call_timeout_us;
	enum failover_reason reason = REASON_NONE;
	int except = f->primary;

	if (f->guards.foreign_ballot && f->max_term_raised_at_us &&
	    elapsed_us(now_us, f->max_term_raised_at_us) < wait_limit_us &&
	    f->max_term > f->primary_term)
		return REASON_NONE;
	if (f->primary == NO_SERVER) {
		reason = reason_no_primary(f, now_us);
	} else if (later_term_without_primary(f, now_us) &&
		   elapsed_us(now_us, MAX(f->max_term_raised_at_us,
					  f->resumed_at_us)) >=
			   wait_limit_us + rank_delay(f)) {
		reason = REASON_FENCED;
		except = NO_SERVER;
	} else {
		reason = reason_silent(f, now_us);
	}
	if (reason == REASON_NONE && are_writes_stalled(f, now_us))
		reason = REASON_STALLED;
	if (reason != REASON_NONE && f->guards.reachable &&
	    watch_count_reachable(f, except, now_us) < failover_majority(f))
		return REASON_NONE;
	return reason;
}
