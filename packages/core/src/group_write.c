#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>
#include <string.h>

/*
 * A write is sent as two pipelines on one connection. The first begins the
 * transaction, inserts the key into the outcome table and runs the statements;
 * the second commits. Until the second is sent, nothing can ever be committed:
 * a server commits no block whose COMMIT it never got, and closing the
 * connection ends the block. So after a deadline or a broken connection before
 * that, "not run" is certain. From then on only the outcome table shows whether
 * the write was committed.
 */

/*
 * A commit isn't sent with less time than this left: it would likely end with
 * an unknown outcome.
 */
#define COMMIT_MIN_REMAINING_US (20 * USEC_PER_MSEC)
/* A commit without an answer by then is settled over another connection. */
#define COMMIT_TIMEOUT_US (1 * USEC_PER_SEC)
/* After this time without an answer the server is left to roll back alone. */
#define ROLLBACK_TIMEOUT_US (300 * USEC_PER_MSEC)
/* Wait before a write is routed again because its server isn't primary now. */
#define DEPOSED_RETRY_US (5 * USEC_PER_MSEC)
/* Steps of the first pipeline before the key's insertion: BEGIN. */
#define STEPS_BEFORE_KEY 1

static bool has_sqlstate(const struct upstream_result *result,
			 const char *state)
{
	return !strcmp(result->sqlstate, state);
}

/* Adds the step that inserts the run's key with a state. */
void write_add_key(struct run *run, struct conn *c, const char *state)
{
	conn_add_step(c, SQL_OUTCOME_INSERT, false);
	conn_add_text_param(c, str_from_c(run->key));
	conn_add_text_param(c, run->digest);
	conn_add_text_param(c, str_from_c(state));
	conn_add_int_param(c, clean_at_value(c->server));
}

/* The server is no longer the primary; nothing was committed. */
static void on_deposed(struct run *run, const struct upstream_result *result,
		       uint64_t now_us)
{
	probe_request_all(run->group, now_us);
	if (run->type->start) {
		run_reroute(run, DEPOSED_RETRY_US, now_us);
		return;
	}
	run_detach(run, now_us);
	run_refuse(run, run_statement_error_answer(result));
}

/* Nothing was committed: retries the write, or answers with the error. */
static void retry_or_refuse(struct run *run,
			    const struct upstream_result *result,
			    uint64_t now_us)
{
	run_detach(run, now_us);
	if (run_may_retry(run, now_us))
		run_reroute(run, 0, now_us);
	else
		run_refuse(run, run_statement_error_answer(result));
}

/*
 * Guards against a transaction that was ended midway, by a statement whose
 * first word didn't show it: the connection has committed something since the
 * block began. What ran before is then committed and the rest is not, so
 * neither "done" nor "not run" would be true.
 */
bool write_was_split(const struct run *run, const struct conn *c,
		     const struct upstream_result *result)
{
	struct position last = { 0, 0 };

	if (!run->group->guards.check_split)
		return false;
	if (!result->last_step_row ||
	    !position_parse(str_from_c(result->last_step_row[0]), &last))
		return true;
	return last.term != c->commit.term || last.index != c->commit.index;
}

/* Answers a write whose transaction was ended midway: outcome unknown. */
void write_on_split(struct run *run, uint64_t now_us)
{
	LOG_ERR("%s: a statement of %.*s ended its transaction early",
		run->group->label, (int)run->request->caller.len,
		run->request->caller.data);
	run_drop_conn(run);
	run_free_slot(run, now_us);
	run_answer(run, answer_error(ERR_UNKNOWN_OUTCOME,
				     "a statement ended the transaction by "
				     "itself; a part of it may be stored"));
}

static void on_rolled_back(void *user, struct conn *c,
			   struct upstream_result *result, uint64_t now_us)
{
	struct run *run = user;
	struct answer *refusal = g_steal_pointer(&run->reply);

	if (result->conn_usable && !result->err.code) {
		server_mark_alive(run->server, c->started_us, now_us);
		c->in_block = false;
		if (write_was_split(run, c, result)) {
			answer_unref(refusal);
			write_on_split(run, now_us);
			return;
		}
	}
	run_detach(run, now_us);
	run_refuse(run, refusal);
}

/*
 * Rolls back after a refused statement. Answers with the refusal, whose
 * reference is taken over, once it is known that nothing of the block was
 * committed.
 */
void write_roll_back(struct run *run, struct answer *refusal, uint64_t now_us)
{
	uint64_t left_us = run->deadline_us - MIN(now_us, run->deadline_us);
	struct conn *c = run->conn;

	answer_unref(run->reply);
	run->reply = refusal;
	conn_begin(c);
	conn_add_step(c, SQL_ROLLBACK, false);
	conn_add_step(c, SQL_COMMIT_POSITION, false);
	conn_send(c, 0, MIN(left_us, ROLLBACK_TIMEOUT_US), on_rolled_back, run,
		  now_us);
}

/* A statement or the insertion of the key was refused; the block is open. */
void write_on_body_error(struct run *run, const struct upstream_result *result,
			 uint64_t now_us)
{
	bool at_key = run->group->guards.outcome_key &&
		      result->steps_done == STEPS_BEFORE_KEY;

	if (at_key && has_sqlstate(result, SQLSTATE_DUPLICATE_KEY)) {
		write_read_outcome(run, now_us);
	} else if (has_sqlstate(result, SQLSTATE_READ_ONLY)) {
		on_deposed(run, result, now_us);
	} else if (at_key) {
		run->server->outcome_table_term = 0;
		retry_or_refuse(run, result, now_us);
	} else if (has_sqlstate(result, SQLSTATE_SERIALIZATION) ||
		   has_sqlstate(result, SQLSTATE_DEADLOCK)) {
		retry_or_refuse(run, result, now_us);
	} else {
		write_roll_back(run, run_statement_error_answer(result),
				now_us);
	}
}

/* The connection ended before a commit was sent; nothing was committed. */
void write_on_body_lost(struct run *run, const struct upstream_result *result,
			uint64_t now_us)
{
	if (result->err.code == ERR_CONNECTION_LOST) {
		retry_or_refuse(run, result, now_us);
		return;
	}
	run_detach(run, now_us);
	run_refuse(run, run_statement_error_answer(result));
}

static void on_body(void *user, struct conn *c, struct upstream_result *result,
		    uint64_t now_us)
{
	struct run *run = user;

	if (!result->conn_usable) {
		write_on_body_lost(run, result, now_us);
		return;
	}
	server_mark_alive(run->server, c->started_us, now_us);
	if (result->err.code) {
		write_on_body_error(run, result, now_us);
	} else if (write_was_split(run, c, result)) {
		write_on_split(run, now_us);
	} else if (now_us + COMMIT_MIN_REMAINING_US >= run->deadline_us) {
		run_detach(run, now_us);
		run_fail(run, ERR_TIMED_OUT, 0,
			 "the statements took all the time; rolled back");
	} else {
		run->results = g_string_new_len(result->results->str,
						(gssize)result->results->len);
		write_send_commit(run, now_us);
	}
}

/* Sends the first pipeline. */
static void start(struct run *run, uint64_t now_us)
{
	const struct request *r = run->request;
	struct conn *c = run->conn;
	unsigned i;

	if (run->results)
		g_string_free(run->results, TRUE);
	run->results = NULL;
	c->in_block = true;
	conn_begin(c);
	conn_add_step(c, SQL_BEGIN, false);
	if (run->group->guards.outcome_key)
		write_add_key(run, c, "done");
	for (i = 0; i < r->n_statements; i++) {
		conn_add_statement(c, &r->statements[i]);
		c->dirty |= group_sql_leaves_state(r->statements[i].sql);
	}
	conn_add_step(c, SQL_COMMIT_POSITION, false);
	conn_send(c, run->profile->max_answer_bytes, run->deadline_us - now_us,
		  on_body, run, now_us);
}

/*
 * Whether it is certain that a COMMIT with this SQLSTATE committed nothing. The
 * class shows it: a constraint, a conflict, a server that may not write. After
 * other errors (a lost connection, an internal error, "completion unknown") the
 * outcome isn't certain.
 */
static bool commit_refused(const struct upstream_result *result)
{
	static const char *const classes[] = { "22", "23", "25",
					       "40", "42", "P0" };
	size_t i;

	if (has_sqlstate(result, "40003"))
		return false;
	for (i = 0; i < G_N_ELEMENTS(classes); i++) {
		if (!strncmp(result->sqlstate, classes[i], 2))
			return true;
	}
	return false;
}

/* How many steps of the second pipeline are done. */
enum commit_step {
	COMMIT_STEP_NONE,
	COMMIT_STEP_OUTCOME_ROW,
	COMMIT_STEP_COMMIT
};

static void on_commit_error(struct run *run, struct conn *c,
			    const struct upstream_result *result,
			    uint64_t now_us)
{
	unsigned done = result->steps_done;

	if (!run->group->guards.outcome_key)
		done++;
	if (done >= COMMIT_STEP_COMMIT ||
	    (done == COMMIT_STEP_OUTCOME_ROW && !commit_refused(result))) {
		settle_begin(run, now_us);
		return;
	}
	if (done == COMMIT_STEP_OUTCOME_ROW)
		c->in_block = false;
	if (has_sqlstate(result, SQLSTATE_READ_ONLY)) {
		on_deposed(run, result, now_us);
		return;
	}
	if (has_sqlstate(result, SQLSTATE_SERIALIZATION)) {
		retry_or_refuse(run, result, now_us);
		return;
	}
	run_detach(run, now_us);
	run_refuse(run, run_statement_error_answer(result));
}

/* Whether a commit position is later than the connection's last one. */
bool write_is_new_commit(const struct conn *c, struct position p)
{
	return p.term > c->commit.term ||
	       (p.term == c->commit.term && p.index > c->commit.index);
}

/* Reads the commit's position; false when nothing new was committed. */
static bool read_commit_position(struct conn *c,
				 const struct upstream_result *result,
				 struct position *p)
{
	if (!result->last_step_row ||
	    !position_parse(str_from_c(result->last_step_row[0]), p))
		return false;
	return write_is_new_commit(c, *p);
}

static void on_commit(void *user, struct conn *c,
		      struct upstream_result *result, uint64_t now_us)
{
	struct run *run = user;
	struct server *s = run->server;
	struct answer *reply;
	struct position p;

	if (!result->conn_usable) {
		settle_begin(run, now_us);
		return;
	}
	server_mark_alive(s, c->started_us, now_us);
	if (result->err.code) {
		on_commit_error(run, c, result, now_us);
		return;
	}
	if (!read_commit_position(c, result, &p) || s->index < 0) {
		settle_begin(run, now_us);
		return;
	}
	c->in_block = false;
	c->commit = p;
	fresh_on_applied(run->group->fresh, (unsigned)s->index, p);
	reply = run_success_answer(run, run->results);
	reply->seen = p;
	reply->age_us = 0;
	run_detach(run, now_us);
	run_confirm(run, reply, p, now_us);
}

/*
 * Sends the second pipeline. From here on the write may be committed, and the
 * outcome is uncertain until the answer and a majority, or the outcome table,
 * show it.
 */
void write_send_commit(struct run *run, uint64_t now_us)
{
	uint64_t left_us = run->deadline_us - now_us;
	struct conn *c = run->conn;
	GString *summary = outcome_summary(run->results);

	run_set_state(run, RUN_COMMITTING);
	conn_begin(c);
	if (run->group->guards.outcome_key) {
		conn_add_step(c, SQL_OUTCOME_FINISH, false);
		conn_add_text_param(c, str_from_c(run->key));
		conn_add_int_param(c, clean_at_value(c->server));
		conn_add_text_param(c, str_from_gstring(summary));
	}
	conn_add_step(c, SQL_COMMIT, false);
	conn_add_step(c, SQL_COMMIT_POSITION, false);
	conn_send(c, 0, MIN(left_us / 2, COMMIT_TIMEOUT_US), on_commit, run,
		  now_us);
	g_string_free(summary, TRUE);
}

static void on_outcome(void *user, struct conn *c,
		       struct upstream_result *result, uint64_t now_us)
{
	struct run *run = user;
	struct outcome_row row;
	struct position p;
	bool ok;

	if (!result->conn_usable) {
		settle_begin(run, now_us);
		return;
	}
	server_mark_alive(run->server, c->started_us, now_us);
	if (result->err.code) {
		settle_begin(run, now_us);
		return;
	}
	c->in_block = false;
	ok = outcome_take_position(result->results, &p) &&
	     outcome_row_parse(result->results, &row);
	run_detach(run, now_us);
	if (!ok || row.state == OUTCOME_ROW_NONE)
		settle_begin(run, now_us);
	else
		settle_on_row(run, &row, p, now_us);
	if (ok)
		outcome_row_clear(&row);
}

/*
 * The key is in the outcome table already, so no statement of this attempt was
 * run: reads the key's row on the same connection, with the position at which
 * it was seen.
 */
void write_read_outcome(struct run *run, uint64_t now_us)
{
	struct conn *c = run->conn;

	c->in_block = true;
	conn_begin(c);
	conn_add_step(c, SQL_ROLLBACK, false);
	conn_add_step(c, SQL_BEGIN_READ, false);
	conn_add_step(c, SQL_OUTCOME_READ, true);
	conn_add_text_param(c, str_from_c(run->key));
	conn_add_step(c, SQL_READ_POSITION, true);
	conn_add_step(c, SQL_COMMIT, false);
	conn_send(c, 0, run->deadline_us - now_us, on_outcome, run, now_us);
}

const struct run_type write_type = {
	.name = "write",
	.to_primary = true,
	.writes = true,
	.start = start,
};
