/*
 * The statement that a session has in flight: it waits for a server and a
 * connection, runs, and is answered. A try that certainly had no effect is
 * retried, on another server if possible, while there is time. A write whose
 * answer is missing is never retried; its caller is told that the outcome is
 * unknown (RELAY_IN_DOUBT).
 */
#define LOG_MODULE "run"
#include "connlimit.h"
#include "homes.h"
#include "scheduler.h"
#include "wait.h"

#include <celeryquay/base/log.h>

/*
 * Linear backoff: the n-th retry waits n - 1 times as long, or n times as long
 * within a transaction.
 */
#define RETRY_BACKOFF_US (8 * USEC_PER_MSEC)
/*
 * The wait for a token is the latency target divided by this. It may be longer
 * than that for a server, since a caller that retries meets the same rate limit
 * again.
 */
#define TOKEN_WAIT_DIVISOR 2
/*
 * The least time left for which another proxy is asked: about as long as a
 * statement runs, so that a connection may become idle meanwhile.
 */
#define MIN_PEER_WAIT_US (15 * USEC_PER_MSEC)
/*
 * How long an executed write may wait for the proof that its primary was not
 * replaced before its caller is told that the outcome is unknown.
 */
#define CONFIRM_TIMEOUT_US (500 * USEC_PER_MSEC)
/*
 * A read is sent to another server after this time, or this multiple of its
 * server's smoothed latency, whichever is longer.
 */
#define LATE_READ_MIN_US (150 * USEC_PER_MSEC)
#define LATE_READ_LATENCIES 6

/* Whether a statement is in flight; the next one must wait for its answer. */
bool rrun_is_active(const struct rsession *s)
{
	return s->run.state != RRUN_NONE;
}

static bool in_transaction(const struct rsession *s)
{
	return s->state != 'I';
}

/* Whether none of the tries so far can have had an effect at a server. */
static bool can_retry(const struct rsession *s)
{
	const struct rrun *run = &s->run;

	if (in_transaction(s))
		return run->begins && !s->wrote;
	return !run->sent || !run->writes || !s->relay->guards.no_write_retry;
}

static void finish(struct rsession *s)
{
	if (s->run.state == RRUN_QUEUED)
		rwait_cancel(s);
	s->run.state = RRUN_NONE;
}

static void count_answer(struct rsession *s, enum relay_code code,
			 uint64_t now_us)
{
	struct relay *r = s->relay;

	rmetrics_statement(s, code, now_us);

	if (code == RELAY_IN_DOUBT)
		counter_add(r->n_in_doubt, 1);
	else if (code != RELAY_OK)
		counter_add(r->n_refused, 1);
	else if (s->run.writes)
		counter_add(r->n_writes, 1);
}

/* Ends the run with an answer; `state` is the session's state from now on. */
static void send_answer(struct rsession *s, char state,
			const struct relay_answer *from, uint64_t now_us)
{
	struct relay_answer out = *from;

	rlog_statement(s, from->code, from->text, now_us);
	finish(s);
	s->state = state;
	out.state = state;
	count_answer(s, from->code, now_us);
	s->relay->ops->answer(s->relay->ctx, s->id, &out);
	s->used_us = now_us;
	rsession_end_if_stopping(s, now_us);
	if (from->code != RELAY_BUSY)
		return;
	rsession_end_if_isolated(s, now_us);
	rsession_end_if_cut_off(s, now_us);
}

/* Ends the run with an error; an open transaction fails with it. */
void rrun_fail(struct rsession *s, enum relay_code code, const char *text,
	       uint64_t now_us)
{
	struct relay_answer a = { .code = code, .text = str_from_c(text) };
	char state = 'I';

	if (in_transaction(s) && s->run.verb != RELAY_COMMIT)
		state = 'E';
	rsession_abort_transaction(s, now_us);
	send_answer(s, state, &a, now_us);
}

static void succeed(struct rsession *s, const struct relay_answer *from,
		    uint64_t now_us)
{
	char state = in_transaction(s) && s->run.verb != RELAY_COMMIT ? 'T' :
									'I';

	if (!s->peer && position_cmp(from->position, s->floor) > 0) {
		s->floor = from->position;
		s->floor_at_us = now_us;
	}
	send_answer(s, state, from, now_us);
}

/*
 * Reports an executed write to its caller once it is certain that no other
 * server can have become primary before the answer came. Otherwise an old
 * primary behind a network partition could commit a write after another was
 * promoted, and a write that the caller believes stored would be lost.
 * Returns false while this is not certain yet.
 */
static bool confirm(struct rsession *s, uint64_t now_us)
{
	struct rrun *run = &s->run;
	struct rservice *v = run->executed_by->service;
	struct relay_answer a = {
		.code = RELAY_OK,
		.rows = str_from_gstring(run->rows),
		.text = str_from_gstring(run->signature),
		.position = run->position,
	};

	if (v->primary == run->executed_by && v->term == run->term &&
	    rprimary_lease_holds(v, run->answered_us)) {
		succeed(s, &a, now_us);
		return true;
	}
	if (v->primary == run->executed_by && v->term == run->term &&
	    now_us < run->answered_us + CONFIRM_TIMEOUT_US)
		return false;
	rrun_fail(s, RELAY_IN_DOUBT, "the primary may have been replaced",
		  now_us);
	return true;
}

static void start_confirm(struct rsession *s, struct rserver *server,
			  const struct relay_answer *from, uint64_t now_us)
{
	struct rrun *run = &s->run;

	g_string_truncate(run->rows, 0);
	g_string_append_len(run->rows, from->rows.data, (gssize)from->rows.len);
	g_string_truncate(run->signature, 0);
	g_string_append_len(run->signature, from->text.data,
			    (gssize)from->text.len);
	run->position = from->position;
	run->executed_by = server;
	run->answered_us = now_us;
	run->state = RRUN_CONFIRMING;
	if (!confirm(s, now_us))
		rprimary_probe_all(server->service);
}

static void set_text(GString *to, struct str from)
{
	g_string_truncate(to, 0);
	g_string_append_len(to, from.data, (gssize)from.len);
}

/* Records what log lines say about a statement that arrived. */
void rrun_record(struct rsession *s, const struct relay_statement *statement,
		 uint64_t now_us)
{
	struct rrun *run = &s->run;

	set_text(run->id, statement->id);
	g_string_truncate(run->server, 0);
	run->verb = statement->verb;
	run->writes = false;
	run->sent = false;
	run->tries = 0;
	run->forecast_us = 0; /* the last statement's, for log lines */
	run->arrived_us = now_us;
	run->deadline_us = now_us;
}

static void record_try(struct rrun *run, struct rserver *server,
		       enum relay_code code, uint64_t now_us)
{
	struct rtry *t = &run->failed[run->tries];

	g_strlcpy(t->server, server->info.id, sizeof(t->server));
	t->code = code;
	t->after_us = now_us - run->arrived_us;
	run->failed_by[run->tries++] = server;
}

/* Gives a queued run a connection and starts it, if one is available now. */
void rrun_try_start(struct rsession *s, uint64_t now_us)
{
	struct rrun *run = &s->run;
	struct rpick pick;

	if (now_us < run->again_us)
		return;
	rpick_choose(s, &pick, now_us);
	if (pick.cut_off) {
		rrun_fail(s, RELAY_MOVED, "this proxy is cut off from it",
			  now_us);
		return;
	}
	if (!pick.conn)
		return;
	rlog_route(s, &pick, now_us);
	set_text(run->server, str_from_c(pick.server->info.id));
	rmetrics_waited(s->relay, now_us - run->arrived_us);
	rwait_on_started(s);
	run->state = RRUN_RUNNING;
	run->after = pick.after;
	run->term = pick.server->service->term;
	counter_add(pick.server == pick.server->service->primary ?
			    s->relay->n_reads_primary :
			    s->relay->n_reads_replica,
		    run->writes ? 0 : 1);
	connlimit_on_used(pick.server, s, now_us);
	rconn_assign(pick.conn, s);
	rstep_next(pick.conn, now_us);
}

/* Queues a run whose last try had no effect again, to retry it elsewhere. */
static void enqueue_retry(struct rsession *s, struct rserver *server,
			  enum relay_code code, uint64_t now_us)
{
	struct rrun *run = &s->run;

	if (s->conn)
		rconn_release(s->conn, now_us);
	run->code = code;
	run->sent = false;
	if (run->tries == MAX_RUN_TRIES && run->pooled) {
		rwait_refuse_unserved(s, now_us);
		return;
	}
	if (run->tries == MAX_RUN_TRIES) {
		rrun_fail(s, code == RELAY_MOVED ? RELAY_BUSY : code,
			  "no server could execute it", now_us);
		return;
	}
	record_try(run, server, code, now_us);
	run->again_us = now_us;
	if (code != RELAY_MOVED) /* not due to load, so no backoff */
		run->again_us += (run->tries - 1) * RETRY_BACKOFF_US;
	rlog_retry(s, server->info.id, code, now_us);
	rwait_push(s, now_us);
}

/*
 * Whether another proxy may be asked after one refused. If several proxies in
 * turn queued the statement for their full timeout, its caller would be refused
 * when its latency target has nearly passed. So each proxy is told the time
 * left here as its limit, and none is asked when that is less than
 * MIN_PEER_WAIT_US.
 */
bool rrun_has_time_for_peer(const struct rsession *s, uint64_t now_us)
{
	return !s->run.tries ||
	       now_us + MIN_PEER_WAIT_US <= s->run.queue_deadline_us;
}

/* Accepts a statement that needs a server. */
void rrun_start(struct rsession *s, const struct relay_statement *statement,
		bool writes, uint64_t now_us)
{
	const struct relay_profile *profile =
		relay_catalog_profile(s->relay->catalog, s->database);
	struct rrun *run = &s->run;

	if (!profile) {
		run->state = RRUN_RUNNING;
		rrun_fail(s, RELAY_NO_DATABASE, "no such database", now_us);
		return;
	}
	set_text(run->name, statement->name);
	set_text(run->text, statement->text);
	run->writes = writes;
	run->begins = in_transaction(s) && !s->conn;
	run->to_primary = profile->kind == RELAY_KIND_PRIMARY || writes ||
			  (in_transaction(s) && !s->read_only);
	run->priority = profile->priority;
	run->account_priority = raccount_priority(s);
	rwait_set_deadlines(s, profile, statement->wait_us, now_us);
	run->token_deadline_us =
		now_us + profile->target_latency_us / TOKEN_WAIT_DIVISOR;
	run->again_us = 0;
	run->code = RELAY_BUSY;
	run->after = (struct position){ 0 };
	if (s->conn) {
		run->state = RRUN_RUNNING;
		set_text(run->server, str_from_c(s->conn->server->info.id));
		rstep_next(s->conn, now_us);
		return;
	}
	retry_budget_on_first_try(&s->relay->retries);
	if (rlimit_applies(s))
		rlimit_queue(s, now_us);
	else
		rrun_begin(s, now_us);
}

/*
 * Queues a run that needs no token or has got it. One token serves all
 * statements of a transaction.
 */
void rrun_begin(struct rsession *s, uint64_t now_us)
{
	s->has_txn_token = in_transaction(s);
	/* The queue timeout starts now, after the wait for the token. */
	s->run.queue_deadline_us += now_us - s->run.arrived_us;
	rwait_push(s, now_us);
	rrun_try_start(s, now_us);
	if (s->run.state == RRUN_QUEUED && rsched_is_queued(s))
		rsched_check(s, now_us);
}

static bool is_not_executed(enum relay_code code)
{
	return code == RELAY_BUSY || code == RELAY_LAGGING ||
	       code == RELAY_READ_ONLY || code == RELAY_MOVED ||
	       code == RELAY_TOO_MANY || code == RELAY_NO_STATEMENT;
}

static void record_refusal(struct rserver *server, enum relay_code code,
			   uint64_t now_us)
{
	if (server->service->peers)
		return;
	if (code == RELAY_LAGGING)
		server->lag_seen_at_us = now_us;
	if (code == RELAY_MOVED)
		server->moved = true;
	if (code == RELAY_READ_ONLY)
		rprimary_on_read_only(server, now_us);
}

static void on_success(struct rconn *c, const struct relay_answer *from,
		       uint64_t now_us)
{
	struct rsession *s = c->session;
	struct rserver *server = c->server;
	struct rrun *run = &s->run;
	bool done = !in_transaction(s) || run->verb == RELAY_COMMIT;
	bool wrote = run->writes || (run->verb == RELAY_COMMIT && s->wrote);

	if (in_transaction(s) && run->writes)
		s->wrote = true;
	if (!done) {
		succeed(s, from, now_us);
		return;
	}
	rconn_release(c, now_us);
	s->wrote = false;
	/* The proxy that is the service's home has confirmed it already. */
	if (wrote && s->relay->guards.confirm_writes && !server->service->peers)
		start_confirm(s, server, from, now_us);
	else
		succeed(s, from, now_us);
}

/*
 * Schedules the retry of a statement that a busy server refused within a
 * transaction, on the same connection. Returns false if it can't be retried.
 */
static bool schedule_retry(struct rconn *c, const struct relay_answer *from,
			   uint64_t now_us)
{
	struct rrun *run = &c->session->run;

	if (from->code != RELAY_BUSY || from->state != 'T' ||
	    run->tries >= MAX_RUN_TRIES)
		return false;
	record_try(run, c->server, from->code, now_us);
	run->sent = false;
	run->state = RRUN_BACKING_OFF;
	run->again_us = now_us + run->tries * RETRY_BACKOFF_US;
	rlog_retry(c->session, c->server->info.id, from->code, now_us);
	return true;
}

/* A server shed the statement; enqueue_retry() refuses it after the last try.
 */
static void on_shed(struct rsession *s, struct rserver *server, uint64_t now_us)
{
	struct rrun *run = &s->run;

	if (rwait_may_requeue(s, now_us) || run->tries == MAX_RUN_TRIES) {
		enqueue_retry(s, server, RELAY_BUSY, now_us);
		return;
	}
	record_try(run, server, RELAY_BUSY, now_us);
	run->code = RELAY_BUSY;
	rwait_refuse_unserved(s, now_us);
}

/*
 * Where homes are pooled the home's text says when to retry; elsewhere another
 * home may be free sooner.
 */
static void refuse_like_home(struct rsession *s,
			     const struct relay_answer *from, uint64_t now_us)
{
	char *text = s->run.pooled && from->text.len ?
			     str_dup(from->text) :
			     g_strdup("the home refused it");

	rrun_fail(s, from->code, text, now_us);
	g_free(text);
}

static void on_refusal(struct rconn *c, const struct relay_answer *from,
		       uint64_t now_us)
{
	struct rsession *s = c->session;
	struct rserver *server = c->server;
	bool reads = !s->run.writes && s->run.verb != RELAY_COMMIT;
	char *text;

	record_refusal(server, from->code, now_us);
	if (server->service->peers && from->code == RELAY_MOVED)
		server->cut_off_us = now_us;
	if (from->code == RELAY_NO_STATEMENT)
		c->n_names = G_MAXUINT; /* force a reset: `prepared` is wrong */
	if (is_not_executed(from->code))
		s->run.sent = false;
	if (server->service->peers && from->code == RELAY_BUSY &&
	    !via_may_try_another(s, server)) {
		refuse_like_home(s, from, now_us);
		return;
	}
	if (from->code == RELAY_BUSY && can_retry(s)) {
		on_shed(s, server, now_us);
		return;
	}
	if ((is_not_executed(from->code) ||
	     (from->code == RELAY_FAILED && reads)) &&
	    can_retry(s)) {
		enqueue_retry(s, server, from->code, now_us);
		return;
	}
	if (in_transaction(s) && schedule_retry(c, from, now_us))
		return;
	text = str_dup(from->text);
	rrun_fail(s,
		  from->code == RELAY_NO_STATEMENT ? RELAY_ABORTED : from->code,
		  text, now_us);
	g_free(text);
}

/* A server refused a step that prepares the connection for the statement. */
static void on_setup_refusal(struct rconn *c, const struct relay_answer *from,
			     uint64_t now_us)
{
	struct rsession *s = c->session;
	struct rserver *server = c->server;

	record_refusal(server, from->code, now_us);
	if (can_retry(s))
		enqueue_retry(s, server,
			      is_not_executed(from->code) ? from->code :
							    RELAY_BUSY,
			      now_us);
	else
		rrun_fail(s, RELAY_ABORTED, "the session could not be set up",
			  now_us);
}

/* Handles an answer on a connection whose session has left it. */
static void on_abandoned_answer(struct rconn *c, enum rstep step,
				const struct relay_answer *from,
				uint64_t now_us)
{
	bool is_known = step == STEP_CALLER || step == STEP_BEGIN ||
			step == STEP_ROLLBACK;

	if (!is_known || (step == STEP_ROLLBACK && from->code != RELAY_OK))
		rconn_close(c);
	else
		rconn_release(c, now_us);
}

/* Handles the answer to a connection's step. */
void rrun_on_answer(struct rconn *c, enum rstep step,
		    const struct relay_answer *from, uint64_t now_us)
{
	c->in_block = from->state != 'I';
	if (!c->session) {
		on_abandoned_answer(c, step, from, now_us);
		return;
	}
	if (step == STEP_CALLER && from->code == RELAY_OK)
		on_success(c, from, now_us);
	else if (step == STEP_CALLER)
		on_refusal(c, from, now_us);
	else if (rstep_on_answer(c, step, from))
		rstep_next(c, now_us);
	else
		on_setup_refusal(c, from, now_us);
}

/* What is certain of a statement whose answer won't come. */
static enum relay_code code_without_answer(const struct rsession *s,
					   bool timed_out)
{
	const struct rrun *run = &s->run;

	if (can_retry(s) && !timed_out)
		return RELAY_BUSY;
	if (!run->sent ||
	    (in_transaction(s) && (run->verb != RELAY_COMMIT || !s->wrote)))
		return RELAY_ABORTED;
	if (run->writes || run->verb == RELAY_COMMIT)
		return RELAY_IN_DOUBT;
	return RELAY_TIMED_OUT;
}

static const char *why_without_answer(enum relay_code code)
{
	if (code == RELAY_IN_DOUBT)
		return "the server's answer is lost";
	if (code == RELAY_TIMED_OUT)
		return "the server did not answer";
	return "the server was lost";
}

/*
 * Ends the run because the process does. Its connection ends with the process,
 * so a transaction is rolled back, and a read keeps nothing.
 */
void rrun_on_stop(struct rsession *s, uint64_t now_us)
{
	enum relay_code code = RELAY_IN_DOUBT;

	if (s->run.state == RRUN_AWAITING_TOKEN)
		rlimit_dequeue(s);
	if (s->run.state != RRUN_CONFIRMING)
		code = code_without_answer(s, false);
	rrun_fail(s, code, "the proxy stops", now_us);
}

/*
 * Handles the loss of the session's connection, and its open transaction with
 * it, or an answer that took too long.
 */
void rrun_on_lost(struct rsession *s, struct rserver *server, bool timed_out,
		  uint64_t now_us)
{
	struct rrun *run = &s->run;
	enum relay_code code;

	if (run->state == RRUN_NONE) {
		rlog_session(s, "transaction-ended",
			     timed_out ? "the server did not answer" :
					 "the server was lost",
			     now_us);
		s->state = 'E';
		s->wrote = false;
		return;
	}
	if (can_retry(s) && now_us < run->deadline_us) {
		enqueue_retry(s, server, RELAY_BUSY, now_us);
		return;
	}
	code = code_without_answer(s, timed_out);
	rrun_fail(s, code, why_without_answer(code), now_us);
}

/*
 * Retries a read on another server when its answer is late. If an answer is
 * lost, or one server hangs while the others answer, the read would otherwise
 * take its whole timeout. The first answer is dropped if it still comes. The
 * retry budget keeps these retries from adding to an overload.
 */
static void retry_late_read(struct rsession *s, uint64_t now_us)
{
	struct rconn *c = s->conn;
	uint64_t after_us;

	if (!c || s->run.tries || s->run.writes || in_transaction(s) ||
	    c->step != STEP_CALLER)
		return;
	after_us = MAX(LATE_READ_MIN_US,
		       LATE_READ_LATENCIES * c->server->latency_us);
	/* A home that answers probes has it in its queue. */
	if (s->run.pooled && c->server->service->peers &&
	    !c->server->failing_since_us)
		return;
	if (now_us < c->sent_us + after_us ||
	    !retry_budget_take(&s->relay->retries))
		return;
	s->run.sent = false;
	routlier_on_lost(&c->server->outlier, now_us);
	/* The retry gets a queue timeout of its own. */
	s->run.queue_deadline_us += now_us - s->run.arrived_us;
	enqueue_retry(s, c->server, RELAY_BUSY, now_us);
}

/* Handles the timers of a run. */
void rrun_tick(struct rsession *s, uint64_t now_us)
{
	struct rrun *run = &s->run;

	switch (run->state) {
	case RRUN_AWAITING_TOKEN:
		if (now_us >= run->token_deadline_us)
			rlimit_on_timeout(s, now_us);
		break;
	case RRUN_QUEUED:
		rwait_check(s, now_us);
		break;
	case RRUN_RUNNING:
		retry_late_read(s, now_us);
		break;
	case RRUN_BACKING_OFF:
		if (now_us < run->again_us)
			break;
		run->state = RRUN_RUNNING;
		if (s->conn)
			rstep_next(s->conn, now_us);
		break;
	case RRUN_CONFIRMING:
		confirm(s, now_us);
		break;
	default:
		break;
	}
}
