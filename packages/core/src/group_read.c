#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>

/* Wait before the next attempt when a server was reset to an older state. */
#define SERVER_RESET_RETRY_US (5 * USEC_PER_MSEC)

/*
 * Whether the server may run the read now. It was chosen when the read was
 * queued; since then its data may have become too old, or a new term may have
 * changed its history.
 */
bool read_may_run(const struct run *run, const struct server *s,
		  uint64_t now_us)
{
	const struct fresh *f = run->group->fresh;
	uint64_t max_age_us = run->profile->max_age_us;
	uint64_t since_us = now_us > max_age_us ? now_us - max_age_us : 0;
	uint64_t age_us = fresh_age_us(f, (unsigned)s->index, now_us);

	if (!run->group->guards.check_age)
		return true;
	return age_us != UINT64_MAX &&
	       now_us - age_us >= MIN(since_us, run->arrived_us) &&
	       fresh_has_applied(f, (unsigned)s->index, run->request->seen);
}

/* Records the last known applied position of the server as the read begins. */
void read_record_start_position(struct run *run, const struct server *s)
{
	const struct server_status *st =
		fresh_status(run->group->fresh, (unsigned)s->index);

	run->floor = (struct position){ 0, 0 };
	if (!st)
		return;
	run->floor.index = st->applied;
	run->floor.term = history_term_at(&st->history, st->applied);
}

/* Whether p is at or after needed, and needed is in the history. */
static bool covers(const struct history *h, struct position p,
		   struct position needed)
{
	if (!needed.term)
		return true;
	return p.index >= needed.index && history_contains(h, needed);
}

/*
 * Guards against a server that went back to an older state after it was chosen:
 * it was rebuilt from an old copy, or the end of its log was removed when
 * another primary was promoted. Its connection may outlive that, and the
 * statement then sees less data than the choice assumed. So the position that
 * the statement itself saw must be in the server's known history, and not
 * before what the session had seen and what the server had applied.
 */
bool read_check_position(const struct run *run, const struct server *s,
			 struct position p)
{
	const struct server_status *st;

	if (!run->group->guards.check_read_position)
		return true;
	if (s->index < 0)
		return false;
	st = fresh_status(run->group->fresh, (unsigned)s->index);
	return st && history_contains(&st->history, p) &&
	       covers(&st->history, p, run->request->seen) &&
	       covers(&st->history, p, run->floor);
}

/*
 * The connection can't be used any more. If it was lost, the read may be
 * repeated, since it changes nothing.
 */
static void on_conn_failed(struct run *run,
			   const struct upstream_result *result,
			   uint64_t now_us)
{
	enum err_code code = result->err.code;

	run_detach(run, now_us);
	if (code == ERR_CONNECTION_LOST && run_may_retry(run, now_us))
		run_reroute(run, 0, now_us);
	else
		run_refuse(run, run_statement_error_answer(result));
}

static bool is_conflict(const struct upstream_result *result)
{
	return !strcmp(result->sqlstate, SQLSTATE_SERIALIZATION) ||
	       !strcmp(result->sqlstate, SQLSTATE_DEADLOCK);
}

static void on_error(struct run *run, const struct upstream_result *result,
		     uint64_t now_us)
{
	run_detach(run, now_us);
	if (is_conflict(result) && run_may_retry(run, now_us))
		run_reroute(run, 0, now_us);
	else
		run_refuse(run, run_statement_error_answer(result));
}

/* The server went back to an older state: probes it and repeats the read. */
static void on_server_reset(struct run *run, uint64_t now_us)
{
	struct server *s = run->server;

	probe_request(s, now_us);
	run_detach(run, now_us);
	if (run_may_retry(run, now_us))
		run_reroute(run, SERVER_RESET_RETRY_US, now_us);
	else
		run_fail(run, ERR_NO_SERVER, SERVER_RESET_RETRY_US,
			 "the server %s lost a part of what it had", s->name);
}

static void on_read(void *user, struct conn *c, struct upstream_result *result,
		    uint64_t now_us)
{
	struct run *run = user;
	struct server *s = run->server;
	struct answer *reply;
	struct position p;

	if (!result->conn_usable) {
		on_conn_failed(run, result, now_us);
		return;
	}
	server_mark_alive(s, c->started_us, now_us);
	if (result->err.code) {
		on_error(run, result, now_us);
		return;
	}
	c->in_block = false;
	if (!outcome_take_position(result->results, &p) ||
	    !read_check_position(run, s, p)) {
		on_server_reset(run, now_us);
		return;
	}
	fresh_on_applied(run->group->fresh, (unsigned)s->index, p);
	reply = run_success_answer(run, result->results);
	reply->seen = p;
	run_detach(run, now_us);
	if (run->by_primary)
		run_confirm(run, reply, p, now_us);
	else
		run_answer(run, reply);
}

/* Sends the transaction and the query of its position as one pipeline. */
static void start(struct run *run, uint64_t now_us)
{
	const struct request *r = run->request;
	uint64_t max_bytes = run->profile->max_answer_bytes;
	struct conn *c = run->conn;
	unsigned i;

	read_record_start_position(run, run->server);
	c->in_block = true;
	conn_begin(c);
	conn_add_step(c, SQL_BEGIN_READ, false);
	for (i = 0; i < r->n_statements; i++) {
		conn_add_statement(c, &r->statements[i]);
		c->dirty |= group_sql_leaves_state(r->statements[i].sql);
	}
	conn_add_step(c, SQL_READ_POSITION, true);
	conn_add_step(c, SQL_COMMIT, false);
	conn_send(c, max_bytes ? max_bytes + POSITION_RESULT_MAX_BYTES : 0,
		  run->deadline_us - now_us, on_read, run, now_us);
}

const struct run_type read_type = {
	.name = "read",
	.start = start,
};
