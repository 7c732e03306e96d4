/*
 * The statement that a session has in flight: it waits for a server and a
 * connection, runs, and is answered. What has certainly left nothing behind
 * is tried again elsewhere while there is time; a write whose answer is
 * missing never is, and its caller is told that nothing is known.
 */
#define LOG_MODULE "run"
#include "relay_internal.h"

#include <celeryquay/base/log.h>

#define TRY_PAUSE_US (8 * USEC_PER_MSEC)
#define QUEUE_TIMEOUT_SHARE 4 /* of a profile's aim */
/* The same for a token: its limit would meet a caller that comes back, too. */
#define TOKEN_WAIT_SHARE 2
/* What another proxy uses of it when it was not told. */
#define PEER_SHARE_NUM 3
#define PEER_SHARE_DEN 4
/* About as long as a statement runs: a connection may come free in it. */
#define PEER_LEAST_US (15 * USEC_PER_MSEC)
#define ROUND_TRIP_US (10 * USEC_PER_MSEC) /* to the caller and back */
#define COME_BACK_US (100 * USEC_PER_MSEC)
#define CONFIRM_US (500 * USEC_PER_MSEC)
#define SECOND_TRY_US (150 * USEC_PER_MSEC)
#define SECOND_TRY_LATENCIES 6

/* Whether a statement is in flight; no other may come before its answer. */
bool rrun_is_active(const struct rsession *s)
{
	return s->run.state != RRUN_NONE;
}

static bool in_transaction(const struct rsession *s)
{
	return s->state != 'I';
}

/* Nothing of it can have been kept, wherever it was sent so far. */
static bool can_start_over(const struct rsession *s)
{
	const struct rrun *run = &s->run;

	if (in_transaction(s))
		return run->begins && !s->wrote;
	return !run->sent || !run->writes ||
	       !s->relay->guards.no_second_write_try;
}

static void end(struct rsession *s)
{
	if (s->run.state == RRUN_WAITING)
		g_queue_unlink(&s->relay->waiting, &s->run.link);
	s->run.state = RRUN_NONE;
}

static void count_answer(struct rsession *s, enum relay_code code,
			 uint64_t now_us)
{
	struct relay *r = s->relay;

	rmt_statement(s, code, now_us);

	if (code == RELAY_IN_DOUBT)
		counter_add(r->n_in_doubt, 1);
	else if (code != RELAY_OK)
		counter_add(r->n_refused, 1);
	else if (s->run.writes)
		counter_add(r->n_writes, 1);
}

/* Ends the run with an answer; state is what the caller sees from now on. */
static void answer(struct rsession *s, char state,
		   const struct relay_answer *from, uint64_t now_us)
{
	struct relay_answer out = *from;

	rlg_statement(s, from->code, from->text, now_us);
	end(s);
	s->state = state;
	out.state = state;
	count_answer(s, from->code, now_us);
	s->relay->ops->answer(s->relay->ctx, s->id, &out);
	s->used_us = now_us;
	rss_end_if_stopping(s, now_us);
	if (from->code != RELAY_BUSY)
		return;
	rss_end_if_isolated(s, now_us);
	rss_end_if_cut_off(s, now_us);
}

/* Ends the run without success: a transaction fails with it. */
static void fail(struct rsession *s, enum relay_code code, const char *text,
		 uint64_t now_us)
{
	struct relay_answer a = { .code = code, .text = str_from_c(text) };
	char state = 'I';

	if (in_transaction(s) && s->run.verb != RELAY_COMMIT)
		state = 'E';
	rss_abort(s, now_us);
	answer(s, state, &a, now_us);
}

static void succeed(struct rsession *s, const struct relay_answer *from,
		    uint64_t now_us)
{
	char state = in_transaction(s) && s->run.verb != RELAY_COMMIT ? 'T' :
									'I';

	if (!s->peer && position_cmp(from->position, s->floor) > 0) {
		s->floor = from->position;
		s->floor_us = now_us;
	}
	answer(s, state, from, now_us);
}

/*
 * Failure: an old primary that was cut off commits a write after another was
 * promoted; the caller is told that it is stored, and it is gone. Guard: a
 * write is told as done only if nobody else can have become primary before
 * its answer came. False: that can't be said yet.
 */
static bool confirm(struct rsession *s, uint64_t now_us)
{
	struct rrun *run = &s->run;
	struct rservice *v = run->done_by->service;
	struct relay_answer a = {
		.code = RELAY_OK,
		.rows = str_from_gstring(run->rows),
		.text = str_from_gstring(run->signature),
		.position = run->position,
	};

	if (v->primary == run->done_by && v->term == run->term &&
	    rld_holds(v, run->answered_us)) {
		succeed(s, &a, now_us);
		return true;
	}
	if (v->primary == run->done_by && v->term == run->term &&
	    now_us < run->answered_us + CONFIRM_US)
		return false;
	fail(s, RELAY_IN_DOUBT, "the primary may have been replaced", now_us);
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
	run->done_by = server;
	run->answered_us = now_us;
	run->state = RRUN_CONFIRMING;
	if (!confirm(s, now_us))
		rld_ask(server->service);
}

static void set_text(GString *to, struct str from)
{
	g_string_truncate(to, 0);
	g_string_append_len(to, from.data, (gssize)from.len);
}

/* What logs say of the statement that came. */
void rrun_note(struct rsession *s, const struct relay_statement *statement,
	       uint64_t now_us)
{
	struct rrun *run = &s->run;

	set_text(run->id, statement->id);
	g_string_truncate(run->server, 0);
	run->verb = statement->verb;
	run->writes = false;
	run->sent = false;
	run->tries = 0;
	run->arrived_us = now_us;
	run->deadline_us = now_us;
}

static void note_try(struct rrun *run, struct rserver *server,
		     enum relay_code code, uint64_t now_us)
{
	struct rtry *t = &run->failed[run->tries];

	g_strlcpy(t->server, server->info.id, sizeof(t->server));
	t->code = code;
	t->after_us = now_us - run->arrived_us;
	run->failed_by[run->tries++] = server;
}

/* Lends it a connection if one can be had now. */
static void try_start(struct rsession *s, uint64_t now_us)
{
	struct rrun *run = &s->run;
	struct rpick pick;

	if (now_us < run->again_us)
		return;
	rpk_choose(s, &pick, now_us);
	if (pick.cut_off) {
		fail(s, RELAY_MOVED, "this proxy is cut off from it", now_us);
		return;
	}
	if (!pick.conn)
		return;
	rlg_route(s, &pick, now_us);
	set_text(run->server, str_from_c(pick.server->info.id));
	rmt_waited(s->relay, now_us - run->arrived_us);
	g_queue_unlink(&s->relay->waiting, &run->link);
	run->state = RRUN_RUNNING;
	run->after = pick.after;
	run->term = pick.server->service->term;
	counter_add(pick.server == pick.server->service->primary ?
			    s->relay->n_reads_primary :
			    s->relay->n_reads_replica,
		    run->writes ? 0 : 1);
	rcn_lend(pick.conn, s);
	rstep_next(pick.conn, now_us);
}

static bool goes_before(const struct rrun *a, const struct rrun *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a->account_priority != b->account_priority)
		return a->account_priority < b->account_priority;
	return a->due_us < b->due_us;
}

/* By priority, then by when it is due. */
static void wait_turn(struct rsession *s)
{
	GQueue *waiting = &s->relay->waiting;
	GList *before = waiting->tail;

	while (before &&
	       goes_before(&s->run, &((struct rsession *)before->data)->run))
		before = before->prev;
	s->run.state = RRUN_WAITING;
	if (before)
		g_queue_insert_after_link(waiting, before, &s->run.link);
	else
		g_queue_push_head_link(waiting, &s->run.link);
}

/* It left nothing behind at the server; once more, elsewhere if possible. */
static void start_over(struct rsession *s, struct rserver *server,
		       enum relay_code code, uint64_t now_us)
{
	struct rrun *run = &s->run;

	if (s->conn)
		rcn_give_back(s->conn, now_us);
	run->code = code;
	run->sent = false;
	if (run->tries == RUN_TRIES) {
		fail(s, code == RELAY_MOVED ? RELAY_BUSY : code,
		     "no server took it", now_us);
		return;
	}
	note_try(run, server, code, now_us);
	run->again_us = now_us;
	if (code != RELAY_MOVED) /* which no load explains */
		run->again_us += (run->tries - 1) * TRY_PAUSE_US;
	rlg_retry(s, server->info.id, code, now_us);
	wait_turn(s);
}

/*
 * How long a statement may wait untried. A caller that is refused early can
 * still come back in time; one that was held can't. Where even the early one
 * can't, since its latency target is too short for that, it waits for as long
 * as it may still be served in time: of urgent statements with a target of
 * 100 ms 5.0 % were late and 0.9 % refused, and 3.7 % and 0.5 % with this
 * (five seeds of five days of faults).
 */
static uint64_t queue_timeout_us(const struct relay_profile *profile,
				 bool for_peer)
{
	uint64_t us = profile->aim_us / QUEUE_TIMEOUT_SHARE;

	if (us + COME_BACK_US >= profile->aim_us)
		us = profile->aim_us;
	/* The other proxy may have waited, too. */
	if (for_peer)
		us = us * PEER_SHARE_NUM / PEER_SHARE_DEN;

	us = us > 2 * ROUND_TRIP_US ? us - ROUND_TRIP_US : us / 2;
	return MIN(us, profile->timeout_us);
}

/*
 * Whether one more proxy may be asked after one that refused.
 *
 * Failure: one after the other is asked while each waits in vain, and the
 * caller is refused when its aim is nearly over. Guard: each is told how long
 * it may wait, which is what is left here, and none is asked for less than a
 * queue's turn.
 */
bool rrun_has_time_for_peer(const struct rsession *s, uint64_t now_us)
{
	return !s->run.tries || now_us + PEER_LEAST_US <= s->run.give_up_us;
}

/* Takes in a statement that needs a server. */
void rrun_start(struct rsession *s, const struct relay_statement *statement,
		bool writes, uint64_t now_us)
{
	const struct relay_profile *profile =
		relay_catalog_profile(s->relay->catalog, s->database);
	struct rrun *run = &s->run;

	if (!profile) {
		run->state = RRUN_RUNNING;
		fail(s, RELAY_NO_DATABASE, "no such database", now_us);
		return;
	}
	set_text(run->name, statement->name);
	set_text(run->text, statement->text);
	run->writes = writes;
	run->begins = in_transaction(s) && !s->conn;
	run->to_primary = profile->kind == RELAY_KIND_PRIMARY || writes ||
			  (in_transaction(s) && !s->read_only);
	run->priority = profile->priority;
	run->account_priority = rac_priority(s);
	run->deadline_us = now_us + profile->timeout_us;
	run->due_us = now_us + profile->aim_us;
	run->give_up_us = now_us + queue_timeout_us(profile, s->peer);
	if (statement->wait_us)
		run->give_up_us =
			now_us + MIN(statement->wait_us, profile->timeout_us);
	run->token_by_us = now_us + profile->aim_us / TOKEN_WAIT_SHARE;
	run->again_us = 0;
	run->code = RELAY_BUSY;
	run->after = (struct position){ 0 };
	if (s->conn) {
		run->state = RRUN_RUNNING;
		set_text(run->server, str_from_c(s->conn->server->info.id));
		rstep_next(s->conn, now_us);
		return;
	}
	retry_budget_first_try(&s->relay->retries);
	if (rlm_applies(s))
		rlm_take(s, now_us);
	else
		rrun_begin(s, now_us);
}

/* The run may begin; a transaction has its token for all of its statements. */
void rrun_begin(struct rsession *s, uint64_t now_us)
{
	s->limited = in_transaction(s);
	/* Its time for a server begins now. */
	s->run.give_up_us += now_us - s->run.arrived_us;
	wait_turn(s);
	try_start(s, now_us);
}

/* Its account has no token for it; nothing has seen it. */
void rrun_refuse_limited(struct rsession *s, const char *text, uint64_t now_us)
{
	fail(s, RELAY_BUSY, text, now_us);
}

/* Starts what waits, in the order of arrival, as far as it can. */
void rrun_dispatch(struct relay *r, uint64_t now_us)
{
	GList *l = r->waiting.head;

	while (l) {
		GList *next = l->next;

		try_start(l->data, now_us);
		l = next;
	}
}

static bool says_not_run(enum relay_code code)
{
	return code == RELAY_BUSY || code == RELAY_LAGGING ||
	       code == RELAY_READ_ONLY || code == RELAY_MOVED ||
	       code == RELAY_TOO_MANY || code == RELAY_NO_STATEMENT;
}

static void note_refusal(struct rserver *server, enum relay_code code,
			 uint64_t now_us)
{
	if (server->service->peers)
		return;
	if (code == RELAY_LAGGING)
		server->lagging_us = now_us;
	if (code == RELAY_MOVED)
		server->moved = true;
	if (code == RELAY_READ_ONLY)
		rld_on_read_only(server, now_us);
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
	rcn_give_back(c, now_us);
	s->wrote = false;
	/* A home has confirmed it already. */
	if (wrote && s->relay->guards.confirm_writes && !server->service->peers)
		start_confirm(s, server, from, now_us);
	else
		succeed(s, from, now_us);
}

/* The server was busy within a transaction: the same again, soon. */
static bool pause_run(struct rconn *c, const struct relay_answer *from,
		      uint64_t now_us)
{
	struct rrun *run = &c->session->run;

	if (from->code != RELAY_BUSY || from->state != 'T' ||
	    run->tries >= RUN_TRIES)
		return false;
	note_try(run, c->server, from->code, now_us);
	run->sent = false;
	run->state = RRUN_PAUSED;
	run->again_us = now_us + run->tries * TRY_PAUSE_US;
	rlg_retry(c->session, c->server->info.id, from->code, now_us);
	return true;
}

/* No server could be had; the text says when to come back. */
static void refuse(struct rsession *s, uint64_t now_us)
{
	const struct rservice *v = rls_service_of(s->relay, s->database);
	uint64_t until_us = 0, wait_us = COME_BACK_US;
	char text[64];

	if (v && s->run.to_primary)
		until_us = rch_expected_us(v);
	if (until_us > now_us + wait_us)
		wait_us = until_us - now_us;
	g_snprintf(text, sizeof(text), "no server in time; come back in %u ms",
		   (unsigned)(wait_us / USEC_PER_MSEC));
	/* That a home is cut off from a server is no caller's matter. */
	fail(s, s->run.code == RELAY_MOVED ? RELAY_BUSY : s->run.code, text,
	     now_us);
}

/*
 * A server shed it. Failure: it is sent to an overloaded server again and again
 * although its time to wait is over, and its caller is told to come back when
 * the latency target is nearly used up. Guard: then it is refused at once.
 */
static void on_shed(struct rsession *s, struct rserver *server, uint64_t now_us)
{
	struct rrun *run = &s->run;

	if (now_us < run->give_up_us || run->tries == RUN_TRIES) {
		start_over(s, server, RELAY_BUSY, now_us);
		return;
	}
	note_try(run, server, RELAY_BUSY, now_us);
	run->code = RELAY_BUSY;
	refuse(s, now_us);
}

static void on_refusal(struct rconn *c, const struct relay_answer *from,
		       uint64_t now_us)
{
	struct rsession *s = c->session;
	struct rserver *server = c->server;
	bool reads = !s->run.writes && s->run.verb != RELAY_COMMIT;
	char *text;

	note_refusal(server, from->code, now_us);
	if (server->service->peers && from->code == RELAY_MOVED)
		server->cut_off_us = now_us;
	if (from->code == RELAY_NO_STATEMENT)
		c->n_names = G_MAXUINT; /* its table is wrong: reset it */
	if (says_not_run(from->code))
		s->run.sent = false;
	if (server->service->peers && from->code == RELAY_BUSY &&
	    !rvi_on_refused(s, server)) {
		fail(s, from->code, "the home refused it", now_us);
		return;
	}
	if (from->code == RELAY_BUSY && can_start_over(s)) {
		on_shed(s, server, now_us);
		return;
	}
	if ((says_not_run(from->code) ||
	     (from->code == RELAY_FAILED && reads)) &&
	    can_start_over(s)) {
		start_over(s, server, from->code, now_us);
		return;
	}
	if (in_transaction(s) && pause_run(c, from, now_us))
		return;
	text = str_dup(from->text);
	fail(s, from->code == RELAY_NO_STATEMENT ? RELAY_ABORTED : from->code,
	     text, now_us);
	g_free(text);
}

/* A step before the caller's own failed. */
static void on_setup_refusal(struct rconn *c, const struct relay_answer *from,
			     uint64_t now_us)
{
	struct rsession *s = c->session;
	struct rserver *server = c->server;

	note_refusal(server, from->code, now_us);
	if (can_start_over(s))
		start_over(s, server,
			   says_not_run(from->code) ? from->code : RELAY_BUSY,
			   now_us);
	else
		fail(s, RELAY_ABORTED, "the session could not be set up",
		     now_us);
}

/* An answer on a connection that no session waits for any more. */
static void on_unclaimed(struct rconn *c, enum rstep step,
			 const struct relay_answer *from, uint64_t now_us)
{
	bool is_known = step == STEP_CALLER || step == STEP_BEGIN ||
			step == STEP_ROLLBACK;

	if (!is_known || (step == STEP_ROLLBACK && from->code != RELAY_OK))
		rcn_close(c);
	else
		rcn_give_back(c, now_us);
}

/* Takes in the answer to a connection's step. */
void rrun_on_answer(struct rconn *c, enum rstep step,
		    const struct relay_answer *from, uint64_t now_us)
{
	c->in_block = from->state != 'I';
	if (!c->session) {
		on_unclaimed(c, step, from, now_us);
		return;
	}
	if (step == STEP_CALLER && from->code == RELAY_OK)
		on_success(c, from, now_us);
	else if (step == STEP_CALLER)
		on_refusal(c, from, now_us);
	else if (rstep_done(c, step, from))
		rstep_next(c, now_us);
	else
		on_setup_refusal(c, from, now_us);
}

/*
 * The connection that the session had is gone, its transaction with it; or the
 * answer took too long.
 */
void rrun_on_lost(struct rsession *s, struct rserver *server, bool timed_out,
		  uint64_t now_us)
{
	struct rrun *run = &s->run;

	if (run->state == RRUN_NONE) {
		rlg_session(s, "transaction-ended",
			    timed_out ? "the server did not answer" :
					"the server was lost",
			    now_us);
		s->state = 'E';
		s->wrote = false;
		return;
	}
	if (can_start_over(s) && now_us < run->deadline_us)
		start_over(s, server, RELAY_BUSY, now_us);
	else if (can_start_over(s) && !timed_out)
		fail(s, RELAY_BUSY, "the server was lost", now_us);
	else if (!run->sent || (in_transaction(s) &&
				(run->verb != RELAY_COMMIT || !s->wrote)))
		fail(s, RELAY_ABORTED, "the server was lost", now_us);
	else if (run->writes || run->verb == RELAY_COMMIT)
		fail(s, RELAY_IN_DOUBT, "the server's answer is lost", now_us);
	else
		fail(s, RELAY_TIMED_OUT, "the server did not answer", now_us);
}

/*
 * Failure: a read's answer is lost, or its server hangs, while the others
 * answer. It shows as a read that takes its whole timeout. A second copy goes
 * to another server; the first's answer is dropped when it comes. The budget
 * keeps second copies from adding to an overload.
 */
static void second_try(struct rsession *s, uint64_t now_us)
{
	struct rconn *c = s->conn;
	uint64_t after_us;

	if (!c || s->run.tries || s->run.writes || in_transaction(s) ||
	    c->step != STEP_CALLER)
		return;
	after_us = MAX(SECOND_TRY_US,
		       SECOND_TRY_LATENCIES * c->server->latency_us);
	if (now_us < c->sent_us + after_us ||
	    !retry_budget_take(&s->relay->retries))
		return;
	s->run.sent = false;
	rol_on_lost(&c->server->outlier, now_us);
	/* It was not refused in its time; the second copy has one of its own.
	 */
	s->run.give_up_us += now_us - s->run.arrived_us;
	start_over(s, c->server, RELAY_BUSY, now_us);
}

/* Timers of a run. */
void rrun_tick(struct rsession *s, uint64_t now_us)
{
	struct rrun *run = &s->run;

	switch (run->state) {
	case RRUN_LIMITED:
		if (now_us >= run->token_by_us)
			rlm_give_up(s, now_us);
		break;
	case RRUN_WAITING:
		if (now_us >= run->give_up_us)
			refuse(s, now_us);
		break;
	case RRUN_RUNNING:
		second_try(s, now_us);
		break;
	case RRUN_PAUSED:
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
