#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>
#include <string.h>

/* How long the server holds a long poll without a change of positions. */
#define LONG_POLL_MS 1000
/* For the answer to a long poll; longer than LONG_POLL_MS. */
#define LONG_POLL_TIMEOUT_US (1500 * USEC_PER_MSEC)
/*
 * The least time between two probes for the same requests, if the first one
 * did not let them proceed.
 */
#define PROBE_GAP_US (5 * USEC_PER_MSEC)
/* The same if the first one failed. */
#define FAILED_PROBE_GAP_US (50 * USEC_PER_MSEC)
/*
 * No new write is started once no majority has answered, or has received the
 * end of the primary's log, for this long.
 */
#define MAJORITY_STALE_US (1 * USEC_PER_SEC)

/*
 * Called after a new status: has waiting requests routed again, and measures
 * how long the majority has lagged behind the primary's log.
 */
static void note_status_change(struct group *g, uint64_t now_us)
{
	int primary = fresh_primary(g->fresh);
	const struct server_status *st;
	struct position last;

	g->news = true;
	if (primary < 0)
		return;
	st = fresh_status(g->fresh, (unsigned)primary);
	last = (struct position){ st->term, st->received };
	if (fresh_is_durable(g->fresh, last)) {
		g->lag_since_us = 0;
	} else if (!g->lag_since_us || g->lag_position.term != last.term ||
		   fresh_is_durable(g->fresh, g->lag_position)) {
		g->lag_since_us = now_us;
		g->lag_position = last;
	}
}

/* Whether a majority ever confirmed the present primary. */
bool probe_majority_known(struct group *g)
{
	return fresh_confirmed_until_us(g->fresh) != 0;
}

/*
 * Whether a write that is begun now could not be confirmed: no majority
 * answers, or none has received what the primary had MAJORITY_STALE_US ago.
 * This is what an isolated primary looks like.
 */
bool probe_majority_stale(struct group *g, uint64_t now_us)
{
	uint64_t since_us =
		MAX(fresh_confirmed_until_us(g->fresh), g->tracking_started_us);
	uint64_t wait_limit_us =
		MAJORITY_STALE_US + 2 * g->settings.probe_interval_us;

	if (now_us > since_us + wait_limit_us)
		return true;
	return g->lag_since_us && now_us > g->lag_since_us + MAJORITY_STALE_US;
}

/* Requests a probe started at since_us or later; one serves all requests. */
void probe_request(struct server *s, uint64_t since_us)
{
	if (s->probe_requested && s->probe_earliest_us >= since_us)
		return;
	s->probe_requested = true;
	s->probe_earliest_us = since_us;
}

/* Requests such a probe of all servers. */
void probe_request_all(struct group *g, uint64_t since_us)
{
	unsigned i;

	for (i = 0; i < g->n_active; i++)
		probe_request(group_server(g, (int)i), since_us);
}

/* Queues a failover call for the server's probe connection. */
void probe_call(struct server *s, const struct server_call *call)
{
	struct server_call *copy = g_new(struct server_call, 1);

	*copy = *call;
	g_queue_push_tail(&s->calls, copy);
}

/* Parses a status; a text equal to the last one is not parsed again. */
static bool parse_status(struct server *s, const char *text,
			 struct server_status *out, struct err *err)
{
	if (g_strcmp0(s->status_json, text) != 0) {
		if (!status_parse(str_from_c(text), &s->status, err)) {
			g_clear_pointer(&s->status_json, g_free);
			return false;
		}
		g_free(s->status_json);
		s->status_json = g_strdup(text);
	}
	*out = s->status;
	return true;
}

/*
 * Reads the status in an answer. The server's own name must be the configured
 * one: if by a mistake in the configuration two addresses lead to one server,
 * it would be counted twice and could form a majority by itself.
 */
static bool read_status(struct server *s, struct upstream_result *result,
			struct server_status *out)
{
	struct err err = { 0 };

	if (!result->conn_usable || result->err.code || !result->last_step_row)
		return false;
	if (!parse_status(s, result->last_step_row[0], out, &err)) {
		LOG_WARN("%s: %s: %s", s->group->label, s->name, err.message);
		return false;
	}
	if (s->group->guards.check_name && strcmp(out->name, s->name) != 0) {
		LOG_WARN("%s: the server at %s:%u identifies itself as %s, "
			 "not %s",
			 s->group->label, s->host, s->port, out->name, s->name);
		return false;
	}
	return true;
}

/* Reports a failed probe or call to failover. */
static void report_failure(struct server *s, enum failover_call kind,
			   bool refused, uint64_t now_us)
{
	struct failover *f = s->group->failover;

	if (s->index < 0)
		return;
	if (refused)
		failover_on_refused(f, (unsigned)s->index, kind, now_us);
	else
		failover_on_failure(f, (unsigned)s->index, kind, now_us);
}

/* Reports all queued calls as failed. */
static void fail_calls(struct server *s, bool refused, uint64_t now_us)
{
	GQueue calls = s->calls;
	struct server_call *call;

	g_queue_init(&s->calls);
	while ((call = g_queue_pop_head(&calls))) {
		report_failure(s, call->kind, refused, now_us);
		g_free(call);
	}
}

static void on_status(void *user, struct conn *c,
		      struct upstream_result *result, uint64_t now_us)
{
	struct server *s = user;
	struct group *g = s->group;
	enum failover_call kind = s->call_running ? s->call.kind : CALL_PROBE;
	bool stale = s->call_stale;
	struct server_status status;

	s->call_running = s->call_stale = false;
	if (s->index < 0)
		return;
	s->probe_failed = !read_status(s, result, &status);
	if (s->probe_failed) {
		if (!stale)
			report_failure(s, kind, false, now_us);
		if (!result->conn_usable)
			fail_calls(s, false, now_us);
		return;
	}
	s->heard_us = now_us;
	fresh_on_status(g->fresh, (unsigned)s->index, c->started_us, &status);
	note_status_change(g, now_us);
	if (!stale)
		failover_on_status(g->failover, (unsigned)s->index, kind,
				   c->started_us, &status, now_us);
}

/*
 * Forgets the calls of a failover object that is being replaced. The new one
 * must not get answers to the old one's calls: it would take a grant that it
 * never requested for its own, or give up a term because of a failure. Queued
 * calls are dropped; the answer to the call in flight is used only as a status
 * of the server.
 */
void probe_forget_calls(struct server *s)
{
	g_queue_clear_full(&s->calls, g_free);
	s->call_stale = s->probe && s->probe->state == CONN_BUSY;
}

static void send_call(struct server *s, uint64_t now_us)
{
	struct server_call *call = g_queue_pop_head(&s->calls);
	struct conn *c = s->probe;
	struct str sql = SQL_FOLLOW;

	s->call = *call;
	s->call_running = true;
	g_free(call);
	if (s->call.kind == CALL_GRANT)
		sql = SQL_GRANT;
	else if (s->call.kind == CALL_PROMOTE)
		sql = SQL_PROMOTE;
	conn_begin(c);
	conn_add_step(c, sql, false);
	conn_add_int_param(c, (int64_t)s->call.term);
	conn_add_text_param(c, str_from_c(s->call.name));
	conn_send(c, 0, s->group->settings.failover.call_timeout_us, on_status,
		  s, now_us);
}

static void send_probe(struct server *s, uint64_t now_us)
{
	s->probe_requested = s->probe_urgent = false;
	s->probe_earliest_us = 0;
	s->probe_started_us = now_us;
	conn_begin(s->probe);
	conn_add_step(s->probe, SQL_STATUS, false);
	conn_send(s->probe, 0, s->group->settings.failover.call_timeout_us,
		  on_status, s, now_us);
}

static void open_probe(struct server *s, uint64_t now_us)
{
	struct upstream_target target = server_target(s);

	s->probe_started_us = now_us;
	s->call_running = s->call_stale = false;
	s->probe = conn_pool_open(s->group->conns, s, CONN_PROBE, &target,
				  s->group->settings.failover.call_timeout_us,
				  now_us);
}

/*
 * Whether a connection could not be opened because no server process runs at
 * the address. The kernel then refuses the connection; behind a proxy or load
 * balancer it is accepted and closed at once without any data. A server that is
 * paused, slow or cut off does neither, and one that accepts no more
 * connections answers with FATAL. libpq reports the cause only as the system's
 * error text.
 */
static bool is_refusal(const struct err *err)
{
	static const char *const words[] = {
		"Connection refused",
		"Connection reset by peer",
		"server closed the connection unexpectedly",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(words); i++) {
		if (strstr(err->message, words[i]))
			return true;
	}
	return false;
}

/*
 * The probe connection was opened, or could not be. The server process may have
 * been replaced by one with less data since the last connection was lost, so
 * what was known of its positions is forgotten.
 */
void probe_on_opened(struct server *s, const struct err *err, uint64_t now_us)
{
	bool refused;

	if (s->index < 0)
		return;
	fresh_forget(s->group->fresh, (unsigned)s->index);
	if (!err) {
		s->probe_failed = false;
		s->group->again = true;
		return;
	}
	refused = is_refusal(err);
	if (strstr(err->message, "FATAL"))
		server_mark_alive(s, s->probe_started_us, now_us);
	s->probe_requested = s->probe_urgent = false;
	s->probe_failed = true;
	report_failure(s, CALL_PROBE, refused, now_us);
	fail_calls(s, refused, now_us);
}

/*
 * The idle probe connection was lost. Opening a new one shows whether the
 * server still runs.
 */
void probe_on_lost(struct server *s, uint64_t now_us)
{
	if (s->index >= 0)
		fresh_forget(s->group->fresh, (unsigned)s->index);
	probe_request(s, now_us);
	s->group->news = true;
}

static void on_long_poll(void *user, struct conn *c,
			 struct upstream_result *result, uint64_t now_us)
{
	struct server *s = user;
	struct group *g = s->group;
	struct server_status status;

	if (s->index < 0 || !read_status(s, result, &status))
		return;
	server_mark_alive(s, c->started_us, now_us);
	fresh_on_status(g->fresh, (unsigned)s->index, c->started_us, &status);
	note_status_change(g, now_us);
}

/*
 * Sends a long poll, which the replica answers when its positions change, so
 * that the acknowledgement of a write does not wait for the next probe.
 */
static void send_long_poll(struct server *s, const struct server_status *known,
			   uint64_t now_us)
{
	struct conn *c = s->long_poll;

	conn_begin(c);
	conn_add_step(c, SQL_WAIT, false);
	conn_add_int_param(c, (int64_t)known->term);
	conn_add_int_param(c, (int64_t)known->received);
	conn_add_int_param(c, (int64_t)known->applied);
	conn_add_int_param(c, (int64_t)known->granted);
	conn_add_int_param(c, LONG_POLL_MS);
	conn_send(c, 0, LONG_POLL_TIMEOUT_US, on_long_poll, s, now_us);
}

/* The first home, which runs the writes, long-polls all replicas. */
static void long_poll_tick(struct server *s, uint64_t now_us)
{
	const struct server_status *known =
		fresh_status(s->group->fresh, (unsigned)s->index);
	struct upstream_target target = server_target(s);

	if (s->group->rank || !known || known->role != ROLE_REPLICA ||
	    !server_may_long_poll(s))
		return;
	if (!s->long_poll && now_us >= s->open_after_us &&
	    server_is_up(s, now_us))
		s->long_poll = conn_pool_open(s->group->conns, s,
					      CONN_LONG_POLL, &target,
					      LONG_POLL_TIMEOUT_US, now_us);
	else if (s->long_poll && s->long_poll->state == CONN_IDLE)
		send_long_poll(s, known, now_us);
}

/* Probes servers without a long poll while a request awaits its majority. */
static void probe_for_confirming(struct server *s)
{
	bool listens = s->long_poll && s->long_poll->state == CONN_BUSY;

	if (s->group->runs[RUN_CONFIRMING].length && !listens)
		probe_request(s, 0);
}

/*
 * When a probe is due that nobody requested, two probe intervals after the last
 * one. Failover normally requests one earlier.
 */
static uint64_t periodic_probe_at_us(const struct server *s)
{
	return s->probe_started_us + 2 * s->group->settings.probe_interval_us;
}

/*
 * When a requested probe is sent: at once for failover, which spaces its own
 * probes, and for a request that arrived after the last probe was started.
 * Otherwise there is a gap, so that probes are not sent back to back for
 * requests that no answer lets proceed: with an isolated primary that was over
 * 20,000 probes a second, which left the home no time for anything else.
 */
static uint64_t requested_probe_at_us(const struct server *s)
{
	if (!s->probe_requested)
		return UINT64_MAX;
	if (s->probe_urgent)
		return 0;
	if (s->probe_failed)
		return s->probe_started_us + FAILED_PROBE_GAP_US;
	if (s->probe_earliest_us > s->probe_started_us)
		return 0;
	return s->probe_started_us + PROBE_GAP_US;
}

/* Sends what is due on the server's probe and long-poll connections. */
void probe_tick(struct server *s, uint64_t now_us)
{
	bool probe;

	if (s->index < 0)
		return;
	if (now_us >= periodic_probe_at_us(s))
		probe_request(s, now_us);
	probe_for_confirming(s);
	probe = now_us >= requested_probe_at_us(s);
	if (!s->probe && (probe || s->calls.length))
		open_probe(s, now_us);
	else if (s->probe && s->probe->state == CONN_IDLE && s->calls.length)
		send_call(s, now_us);
	else if (s->probe && s->probe->state == CONN_IDLE && probe)
		send_probe(s, now_us);
	long_poll_tick(s, now_us);
}

/* When probe_tick() has something to send; UINT64_MAX: never. */
uint64_t probe_next_us(const struct server *s)
{
	if (s->index < 0)
		return UINT64_MAX;
	if (s->probe && s->probe->state != CONN_IDLE)
		return periodic_probe_at_us(s);
	return MIN(periodic_probe_at_us(s), requested_probe_at_us(s));
}
