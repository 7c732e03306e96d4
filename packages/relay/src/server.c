/* Servers: the state known of each, and the probes that keep it up to date. */
#define LOG_MODULE "server"
#include "durable.h"
#include "roster.h"
#include "scheduler.h"

#include <celeryquay/sched/connections.h>

#include <celeryquay/base/log.h>
#include <celeryquay/relay/server_list.h>

#define PROBE_TIMEOUT_US (400 * USEC_PER_MSEC)
/* The least time between two connections opened for a probe. */
#define REOPEN_INTERVAL_US (150 * USEC_PER_MSEC)
#define PROBE_MIN_INTERVAL_US \
	(30 * USEC_PER_MSEC) /* between two probes of a server */
/* A server with statements in flight is probed after this silence. */
#define IN_FLIGHT_SILENCE_US (200 * USEC_PER_MSEC)
#define NO_PRIMARY_PROBE_INTERVAL_US                                         \
	(80 * USEC_PER_MSEC) /* between two probes while a wanted primary is \
				missing */
/* A leaving primary gets work for this long. */
#define LEAVING_PRIMARY_WORK_US (5 * USEC_PER_SEC)
/* Any server is probed after this silence. */
#define IDLE_PROBE_INTERVAL_US (3 * USEC_PER_SEC)
#define ORDER_RETRY_INTERVAL_US (150 * USEC_PER_MSEC)
/* An older status is asked for again, even while other answers come. */
#define STATUS_MAX_AGE_US (10 * USEC_PER_SEC)
/* Assumed of a server until its first answers. */
#define INITIAL_LATENCY_US (15 * USEC_PER_MSEC)

/*
 * Creates a server that the platform lists. Its connections are opened with the
 * next tick.
 */
struct rserver *rserver_create(struct rservice *service,
			       const struct relay_server_info *info,
			       uint64_t now_us)
{
	struct rserver *s = g_new0(struct rserver, 1);

	s->relay = service->relay;
	s->relay->active_stale = true;
	s->service = service;
	relay_server_info_copy(&s->info, info);
	s->listed = true;
	s->listed_at_us = now_us;
	s->leaving_at_us = now_us;
	s->latency_us = INITIAL_LATENCY_US;
	s->lag_us = NEVER_US;
	g_queue_init(&s->idle);
	g_queue_init(&s->opening);
	return s;
}

/* Frees a server; its connections must be closed. */
void rserver_destroy(gpointer server)
{
	struct rserver *s = server;

	s->relay->active_stale = true;
	relay_server_info_clear(&s->info);
	sconn_usage_destroy(s->usage);
	g_free(s);
}

/*
 * Handles a server that may have restarted: its answers so far may be outdated.
 *
 * Failure: a server restarts under its old id. It knows of no pause, step-down
 * or higher term, and what this proxy knows of it is true of another process;
 * trust.c and failover.c say what callers would see. Guard: a connection ends
 * with its process. So after one broke, the next one opened may lead to another
 * process, unless an older connection has answered since.
 */
static void suspect_restart(struct rserver *s, uint64_t now_us)
{
	s->conn_broke_at_us = 0;
	if (s->service->peers || !s->relay->guards.distrust_restarted)
		return;
	s->status.held = 0;
	rprimary_on_maybe_restarted(s, now_us);
	rfailover_on_maybe_restarted(s, now_us);
}

/* A connection was lost, or closed because it was silent. */
void rserver_on_conn_broke(struct rserver *s, uint64_t now_us)
{
	s->conn_broke_at_us = now_us;
}

/*
 * An answer came to a statement sent at sent_us. From a connection opened
 * before the break it shows that the process is still the same.
 */
void rserver_on_conn_answered(struct rserver *s, const struct rconn *c,
			      uint64_t sent_us)
{
	if (c->opened_us < s->conn_broke_at_us && sent_us > s->conn_broke_at_us)
		s->conn_broke_at_us = 0;
}

/*
 * A connection was opened. If it is the only one, nothing shows that it leads
 * to the same process as before, if this proxy ever had a connection: a home of
 * a database may have known the server by the list alone.
 */
void rserver_on_conn_opened(struct rserver *s, uint64_t now_us)
{
	bool is_only_one = s->n_conns == s->opening.length &&
			   s->relay->guards.distrust_newly_listed;

	if (s->conn_broke_at_us || is_only_one)
		suspect_restart(s, now_us);
}

/*
 * Resets the server's state: its id belongs to another process now. Connections
 * with a statement in flight are left open until it ends, since they may
 * already lead to the new process.
 */
static void on_restarted(struct rserver *s, uint64_t now_us)
{
	rlog_server_event(s, "server-reborn");
	rdurable_on_restarted(s, now_us);
	rconn_close_idle(s);
	rsched_on_restarted(s);
	s->refused = s->moved = s->order_pending = false;
	s->refused_until_us = s->open_after_us = 0;
	s->applied = (struct position){ 0 };
	s->lag_seen_at_us = 0;
	s->lag_us = NEVER_US;
	s->status = (struct relay_status){ 0 };
	s->status_at_us = s->heard_us = s->failing_since_us = 0;
	s->seen_pause_term = 0;
	s->latency_us = INITIAL_LATENCY_US;
	s->outlier = (struct routlier){ 0 };
	s->limit = (struct inflight_limit){ 0 };
	suspect_restart(s, now_us);
	rserver_probe_soon(s);
}

/* Whether rserver_update() would change nothing. */
bool rserver_is_unchanged(const struct rserver *s,
			  const struct relay_server_info *info)
{
	return s->listed == !info->unusable &&
	       relay_server_info_equal(&s->info, info);
}

/*
 * Takes over the server's new entry in the list, which may also be one that
 * can't be read.
 */
void rserver_update(struct rserver *s, const struct relay_server_info *info,
		    uint64_t now_us)
{
	const struct relay_server_info *old = &s->info;
	bool was_listed = s->listed && !s->info.forgotten;

	/*
	 * Failure: an outdated entry of the id's earlier process arrives late,
	 * and its successor is believed to be leaving.
	 */
	if (info->started_at_ms && info->started_at_ms < old->started_at_ms)
		return;
	if (old->started_at_ms && info->started_at_ms > old->started_at_ms &&
	    s->relay->guards.distrust_restarted)
		on_restarted(s, now_us);
	if (info->leaving && !old->leaving)
		s->leaving_at_us = now_us;
	if (info->role != old->role || info->leaving != old->leaving)
		rserver_probe_soon(s);
	relay_server_info_replace(&s->info, info);
	s->listed = !info->unusable;
	/*
	 * Other proxies may have dropped it meanwhile and not have paused it.
	 */
	if (s->listed && !was_listed && !info->forgotten)
		rprimary_on_listed(s, now_us);
	if (s->listed)
		s->unlisted_at_us = 0;
	else if (!s->unlisted_at_us)
		s->unlisted_at_us = now_us;
}

/* Whether it answered when it was last asked. */
bool rserver_is_up(const struct rserver *s)
{
	return s->heard_us && !s->failing_since_us && !s->moved;
}

/* Whether it may get new transactions. */
bool rserver_takes_work(const struct rserver *s, uint64_t now_us)
{
	if (s->info.leaving || s->moved || s->info.unusable)
		return false;
	if (s->service->peers)
		return s->listed;
	return s->listed ||
	       now_us < s->unlisted_at_us + s->relay->settings.gone_after_us;
}

/*
 * Whether it may get work as a primary, also while it leaves. The platform
 * grants a leaving server time to drain; LEAVING_PRIMARY_WORK_US is shorter and
 * leaves a margin.
 */
bool rserver_takes_primary_work(const struct rserver *s, uint64_t now_us)
{
	if (rserver_takes_work(s, now_us))
		return true;
	return s->info.leaving && s->listed && !s->moved &&
	       now_us < s->leaving_at_us + LEAVING_PRIMARY_WORK_US;
}

static void log_back(const struct rserver *s, uint64_t now_us)
{
	struct log_line *l = rlog_server(s, s->service->peers ? "proxy-back" :
								"server-back");

	if (!l)
		return;
	log_u64(l, "failed_ms",
		(now_us - MIN(s->failing_since_us, now_us)) / USEC_PER_MSEC);
	log_event_end(l);
}

static void log_lost(const struct rserver *s, bool refused)
{
	struct log_line *l = rlog_server(s, s->service->peers ? "proxy-lost" :
								"server-lost");

	if (!l)
		return;
	log_cstr(l, "why", refused ? "refused" : "silent");
	log_u64(l, "in_flight", s->in_flight);
	log_event_end(l);
}

/*
 * Handles any answer: it shows that the server is alive and, with a position,
 * what its log has applied.
 */
void rserver_on_answer(struct rserver *s, const struct relay_answer *answer,
		       uint64_t sent_us, uint64_t now_us)
{
	bool was_paused, same_term;

	if (s->failing_since_us) {
		log_back(s, now_us);
		s->back_at_us = now_us;
	}
	s->heard_us = now_us;
	s->failing_since_us = 0;
	s->refused = false;
	if (answer->position.term) {
		/* Not the maximum: a log that was rolled back is shorter. */
		s->applied = answer->position;
		rprimary_on_position(s, answer->position, sent_us);
		rprimary_on_applied(s, answer->position, now_us);
	}
	if (!answer->has_status)
		return;
	was_paused = s->status.held > s->status.term;
	same_term = s->status.term == answer->status.term;
	s->status = answer->status;
	s->status_at_us = sent_us;
	s->status_own_conns = s->n_conns - s->opening.length;
	rdurable_on_status(s, now_us);
	if (was_paused && same_term && s->status.held <= s->status.term)
		rprimary_on_unpaused(s, now_us);
	rprimary_on_status(s, sent_us, now_us);
	rfailover_on_status(s, now_us);
}

/* It didn't answer a statement sent, or a connection tried, at since_us. */
void rserver_on_failure(struct rserver *s, bool refused, uint64_t since_us)
{
	if (!s->failing_since_us) {
		log_lost(s, refused);
		s->failing_since_us = since_us;
	}
	if (!refused || s->refused)
		return;
	s->refused = true;
	s->refused_at_us = s->relay->ticked_us + TICK_US;
}

/* Sends a probe with the next tick. */
void rserver_probe_soon(struct rserver *s)
{
	s->probe_requested = true;
}

/* Sends an order in place of the next status probe. */
void rserver_order(struct rserver *s, enum relay_verb verb, uint64_t term)
{
	s->order_pending = true;
	s->order = verb;
	s->order_term = term;
}

/* The same, unless the last order is pending or was sent just now. */
void rserver_repeat_order(struct rserver *s, enum relay_verb verb,
			  uint64_t term, uint64_t now_us)
{
	if (!s->order_pending &&
	    now_us > s->order_sent_at_us + ORDER_RETRY_INTERVAL_US)
		rserver_order(s, verb, term);
}

static void send_probe(struct rserver *s, struct rconn *c, uint64_t now_us)
{
	struct relay_statement st = { .verb = RELAY_STATUS };
	enum rstep step = STEP_STATUS;

	if (s->order_pending) {
		st.verb = s->order;
		st.term = s->order_term;
		step = STEP_ORDER;
		s->order_pending = false;
		s->order_sent_at_us = now_us;
		if (s->order == RELAY_PAUSE)
			rmetrics_pause(s->relay);
	}
	s->probe_requested = false;
	s->probed_at_us = now_us;
	s->probing = c;
	g_queue_unlink(&s->idle, &c->link);
	c->state = RCONN_IN_USE;
	rconn_send(c, step, &st, PROBE_TIMEOUT_US, now_us);
}

/* Handles the answer to a status probe or an order. */
void rserver_on_probe_answered(struct rconn *c,
			       const struct relay_answer *answer,
			       uint64_t now_us)
{
	struct rserver *s = c->server;

	(void)answer;
	s->probing = NULL;
	rconn_release(c, now_us);
	if (!s->service->peers)
		rfailover_tick(s->service, now_us);
	rserver_tick(s, now_us);
}

static bool primary_fails(const struct rserver *s)
{
	const struct rserver *p = s->service->primary;

	return p ? p->failing_since_us != 0 : true;
}

/*
 * Status probes take up the servers' slots, so they are sent only when callers'
 * statements don't show what must be known.
 */
static bool peer_probe_is_due(const struct rserver *s, uint64_t now_us)
{
	uint64_t quiet_us = now_us - s->heard_us;

	if (now_us < s->probed_at_us + s->relay->settings.probe_interval_us)
		return false;
	return s->probe_requested || s->failing_since_us ||
	       quiet_us > IDLE_PROBE_INTERVAL_US ||
	       (s->in_flight && quiet_us > IN_FLIGHT_SILENCE_US);
}

static bool probe_is_due(const struct rserver *s, uint64_t now_us)
{
	const struct rservice *v = s->service;
	uint64_t quiet_us = now_us - s->heard_us;
	uint64_t every_us = s->relay->settings.probe_interval_us;

	if (v->peers)
		return peer_probe_is_due(s, now_us);
	if (s->probe_requested || !s->status_at_us)
		return true;
	if (!v->primary && now_us < v->wanted_at_us + every_us &&
	    now_us > s->probed_at_us + NO_PRIMARY_PROBE_INTERVAL_US)
		return true;
	if (now_us < s->probed_at_us + every_us)
		return false;
	if (s->failing_since_us || primary_fails(s) || rfailover_is_running(v))
		return true;
	if (s->in_flight && quiet_us > IN_FLIGHT_SILENCE_US)
		return true;
	if (v->primary != s && rprimary_needs_renewal(v, now_us))
		return true;
	return quiet_us > IDLE_PROBE_INTERVAL_US ||
	       now_us > s->status_at_us + STATUS_MAX_AGE_US;
}

/* Whether connections to it are kept, even if only for probes. */
bool rserver_keeps_conns(const struct rserver *s, uint64_t now_us)
{
	return !s->moved &&
	       (s->listed || rdurable_is_holder(s) ||
		now_us < s->unlisted_at_us + s->relay->settings.gone_after_us);
}

static bool may_open_for_probe(const struct rserver *s, uint64_t now_us)
{
	if (s->opening.length || now_us < s->open_after_us)
		return false;
	if (s->service->peers && !s->listed)
		return false; /* a proxy isn't failed over, so its state doesn't
				 matter */
	return !s->n_conns || s->order_pending ||
	       now_us > s->heard_us + IDLE_PROBE_INTERVAL_US ||
	       s->failing_since_us ||
	       (s->in_flight && now_us > s->heard_us + IN_FLIGHT_SILENCE_US);
}

/* Sends a probe if one is due, and maintains the connections. */
void rserver_tick(struct rserver *s, uint64_t now_us)
{
	struct rconn *c;

	rconn_tick(s, now_us);
	if (!rconn_is_wanted(s))
		return;
	if (!rserver_keeps_conns(s, now_us) || s->probing ||
	    (!s->order_pending && !probe_is_due(s, now_us)))
		return;
	if (now_us < s->probed_at_us + PROBE_MIN_INTERVAL_US)
		return;
	c = g_queue_peek_head(&s->idle);
	if (c) {
		send_probe(s, c, now_us);
	} else if (may_open_for_probe(s, now_us)) {
		s->open_after_us = now_us + REOPEN_INTERVAL_US;
		rconn_open(s, "", now_us);
	}
}

/* Creates a service without servers. */
struct rservice *rservice_create(struct relay *r, const char *name)
{
	struct rservice *v = g_new0(struct rservice, 1);

	v->relay = r;
	v->name = g_strdup(name);
	v->is_home = true;
	v->homes = g_ptr_array_new_with_free_func(g_free);
	v->spares = g_ptr_array_new_with_free_func(g_free);
	v->servers = g_ptr_array_new();
	v->missing = rdurable_missing_new();
	v->roster = rroster_create();
	return v;
}

/* Frees the service, but not its servers, which the relay owns. */
void rservice_destroy(gpointer service)
{
	struct rservice *v = service;

	g_ptr_array_free(v->servers, TRUE);
	g_ptr_array_free(v->missing, TRUE);
	rroster_destroy(v->roster);
	g_ptr_array_free(v->homes, TRUE);
	g_ptr_array_free(v->spares, TRUE);
	rsched_destroy(v->sched);
	g_free(v->name);
	g_free(v);
}

/* Returns the service's server of that index, from 0. */
struct rserver *rservice_server(const struct rservice *v, unsigned index)
{
	return g_ptr_array_index(v->servers, index);
}
