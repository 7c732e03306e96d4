#include "failover_internal.h"

/* Minimum time between two tries of an automatic switchover. */
#define AUTO_MOVE_RETRY_INTERVAL_US (1 * USEC_PER_SEC)

/* Ends the planned switchover, if one runs, and releases the held writes. */
void move_finish(struct failover *f)
{
	f->moving = false;
	if (!f->holding)
		return;
	f->holding = false;
	f->ops->hold_writes(f->ctx, false);
}

/* Gives up before a term was requested: the primary stays as it is. */
static void move_abort(struct failover *f, const char *why)
{
	failover_log_decision(f, "move_aborted", "target=%d why=%s",
			      f->move_target, why);
	move_finish(f);
	failover_enter_phase(f, FAILOVER_WATCH, 0);
}

/* Whether the server is a replica that could be promoted at once. */
static bool is_candidate(const struct failover *f, unsigned server,
			 uint64_t now_us)
{
	const struct failover_server *s = &f->servers[server];

	return (int)server != f->primary &&
	       watch_is_reachable(f, server, now_us) &&
	       s->status.role == ROLE_REPLICA &&
	       !failover_is_leaving(f, server) &&
	       s->status.term == f->primary_term &&
	       s->status.granted <= f->primary_term;
}

static int best_target(const struct failover *f, uint64_t now_us)
{
	int best = NO_SERVER;
	unsigned i;

	for (i = 0; i < f->n_servers; i++) {
		if (!is_candidate(f, i, now_us))
			continue;
		if (best == NO_SERVER || f->servers[best].status.received <
						 f->servers[i].status.received)
			best = (int)i;
	}
	return best;
}

/*
 * Guards against flapping: a server whose leaving mark is set and cleared again
 * and again would move the primary each time. Only planned switchovers are
 * delayed.
 */
static bool is_damped(const struct failover *f, uint64_t now_us)
{
	return f->guards.damping && f->last_move_at_us &&
	       now_us - f->last_move_at_us < f->settings.damping_us;
}

/* Holds new writes back and waits for the target to catch up. */
bool move_start(struct failover *f, int target, uint64_t now_us,
		struct err *err)
{
	if (f->phase != FAILOVER_WATCH) {
		err_set(err, ERR_CONFLICT,
			"a change of primary is already running");
		return false;
	}
	if (f->primary == NO_SERVER) {
		err_set(err, ERR_NO_PRIMARY, "no primary is currently known");
		return false;
	}
	if (is_damped(f, now_us)) {
		err_set(err, ERR_CONFLICT,
			"the primary was changed only %" PRIu64 " ms ago",
			(now_us - f->last_move_at_us) / USEC_PER_MSEC);
		return false;
	}
	if (target == NO_SERVER)
		target = best_target(f, now_us);
	if (target < 0 || (unsigned)target >= f->n_servers ||
	    !is_candidate(f, (unsigned)target, now_us)) {
		err_set(err, ERR_NO_SERVER,
			"server %d cannot become primary now", target);
		return false;
	}
	f->moving = true;
	f->holding = true;
	f->move_target = target;
	f->move_started_at_us = now_us;
	failover_log_decision(f, "move", "from=%d to=%d", f->primary, target);
	failover_enter_phase(f, FAILOVER_DRAIN, now_us + f->settings.drain_us);
	f->ops->hold_writes(f->ctx, true);
	return true;
}

/*
 * Whether the target's log is as long as the primary's, by statuses requested
 * after the hold began.
 */
static bool target_has_caught_up(const struct failover *f)
{
	const struct failover_server *from = &f->servers[f->primary];
	const struct failover_server *to = &f->servers[f->move_target];

	return from->status_started_at_us >= f->move_started_at_us &&
	       to->status_started_at_us >= f->move_started_at_us &&
	       from->status.term == to->status.term &&
	       from->status.received == to->status.received;
}

/*
 * Starts the ballot once the target has caught up and no write is running;
 * gives up at the deadline.
 */
void move_tick(struct failover *f, uint64_t now_us)
{
	if (f->phase != FAILOVER_DRAIN)
		return;
	if (f->primary == NO_SERVER || f->max_term > f->primary_term) {
		move_abort(f, "primary_changed");
		return;
	}
	if (target_has_caught_up(f) &&
	    (!f->ops->running_writes || !f->ops->running_writes(f->ctx))) {
		ballot_start(f, REASON_MOVE, now_us);
		return;
	}
	if (now_us >= f->deadline_us)
		move_abort(f, "target_behind_or_writes_running");
}

/* Starts a switchover if the primary is marked leaving. */
void move_if_leaving(struct failover *f, uint64_t now_us)
{
	struct err err = { 0 };

	if (f->primary == NO_SERVER ||
	    !failover_is_leaving(f, (unsigned)f->primary))
		return;
	if (!f->next_auto_move_at_us)
		f->next_auto_move_at_us =
			now_us + f->rank * f->settings.damping_us;
	if (now_us < f->next_auto_move_at_us || is_damped(f, now_us))
		return;
	f->next_auto_move_at_us = now_us + AUTO_MOVE_RETRY_INTERVAL_US;
	if (!move_start(f, NO_SERVER, now_us, &err))
		failover_log_decision(f, "move_refused", "%s", err.message);
}
