#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>
#include <string.h>

/*
 * Settling of a write with an uncertain outcome: its commit was sent and its
 * result is not known. A tombstone row with the write's key is inserted on the
 * present primary. If the insertion commits, the write can never commit, since
 * the key is unique in every log that contains the tombstone. If the key exists
 * already, its row tells the outcome. Either result counts only once a majority
 * has it in the term of the primary that reported it: the report of an old
 * primary alone proves nothing.
 */

/* Between two tries, if the first one gave no result. */
#define SETTLE_RETRY_DELAY_US (10 * USEC_PER_MSEC)
/* Limit of one try, so that a dead connection leaves time for more tries. */
#define SETTLE_TRY_TIMEOUT_US (300 * USEC_PER_MSEC)
/* BEGIN goes before the insertion of the key. */
#define STEPS_BEFORE_KEY 1

/* The deadline has passed without a result: answers that it is unknown. */
void settle_give_up(struct run *run)
{
	run_drop_conn(run);
	run_answer(run, answer_error(ERR_UNKNOWN_OUTCOME,
				     "the outcome could not be learned by the "
				     "deadline"));
}

/* Starts settling: only the outcome table can now tell how the write ended. */
void settle_begin(struct run *run, uint64_t now_us)
{
	run_drop_conn(run);
	run_free_slot(run, now_us);
	run->uncertain = true;
	run->next_try_at_us = now_us;
	run->group->again = true;
	if (!run->group->guards.settle) {
		run_answer(run, answer_error(ERR_SETTLED_NOT_RUN,
					     "guessed instead of settled"));
		return;
	}
	run_set_state(run, RUN_SETTLE_WAIT);
}

/* This try gave no result; the next one goes to the primary of that time. */
static void schedule_retry(struct run *run, uint64_t now_us)
{
	run_detach(run, now_us);
	run->next_try_at_us = now_us + SETTLE_RETRY_DELAY_US;
	probe_request_all(run->group, now_us);
	run_set_state(run, RUN_SETTLE_WAIT);
}

static struct answer *not_run(struct run *run)
{
	struct answer *refusal = run->refusal;

	run->refusal = NULL;
	if (refusal)
		return refusal;
	return answer_error(ERR_SETTLED_NOT_RUN,
			    "the write did not commit and never will");
}

static struct answer *earlier_result(struct run *run,
				     const struct outcome_row *row,
				     struct position p)
{
	struct answer *a = answer_create(OUTCOME_DONE);

	a->results = outcome_results(row->summary);
	a->repeated = true;
	a->by_primary = true;
	a->seen = p;
	if (run->server)
		g_strlcpy(a->server, run->server->name, sizeof(a->server));
	return a;
}

static void confirm(struct run *run, struct answer *reply, struct position p,
		    uint64_t now_us)
{
	if (!run->group->guards.confirm_repeats) {
		run_answer(run, reply);
		return;
	}
	run_confirm(run, reply, p, now_us);
}

/*
 * The answer according to a row with this request's digest. If the request is
 * the rollback of a transaction whose commit was done but never acknowledged,
 * the answer must not be "rolled back".
 */
static struct answer *answer_for_row(struct run *run,
				     const struct outcome_row *row,
				     struct position p)
{
	if (row->state != OUTCOME_ROW_DONE)
		return not_run(run);
	if (run->request->kind == REQUEST_ROLLBACK)
		return answer_error(ERR_TRANSACTION_COMMITTED,
				    "the transaction was committed before");
	return earlier_result(run, row, p);
}

/*
 * Answers by the key's row, which was seen at position p. A row with another
 * digest belongs to another request: this one is not done, and can't be as long
 * as that row exists.
 */
void settle_on_row(struct run *run, const struct outcome_row *row,
		   struct position p, uint64_t now_us)
{
	bool same = !run->group->guards.check_digest ||
		    str_eq(str_from_c(row->digest), run->digest);
	struct answer *reply;

	if (!same)
		reply = answer_error(ERR_KEY_REUSED,
				     "the Idempotency-Key was used before with "
				     "another body");
	else
		reply = answer_for_row(run, row, p);
	confirm(run, reply, p, now_us);
}

static void on_row(void *user, struct conn *c, struct upstream_result *result,
		   uint64_t now_us)
{
	struct run *run = user;
	struct outcome_row row;
	struct position p;
	bool ok;

	if (!result->conn_usable) {
		schedule_retry(run, now_us);
		return;
	}
	server_mark_alive(run->server, c->started_us, now_us);
	if (result->err.code) {
		schedule_retry(run, now_us);
		return;
	}
	c->in_block = false;
	ok = outcome_take_position(result->results, &p) &&
	     outcome_row_parse(result->results, &row);
	if (!ok || row.state == OUTCOME_ROW_NONE) {
		schedule_retry(run, now_us);
	} else {
		run_detach(run, now_us);
		settle_on_row(run, &row, p, now_us);
	}
	if (ok)
		outcome_row_clear(&row);
}

static uint64_t try_timeout_us(const struct run *run, uint64_t now_us)
{
	return MIN(run->deadline_us - now_us, SETTLE_TRY_TIMEOUT_US);
}

static void read_row(struct run *run, uint64_t now_us)
{
	struct conn *c = run->conn;

	conn_begin(c);
	conn_add_step(c, SQL_ROLLBACK, false);
	conn_add_step(c, SQL_BEGIN_READ, false);
	conn_add_step(c, SQL_OUTCOME_READ, true);
	conn_add_text_param(c, str_from_c(run->key));
	conn_add_step(c, SQL_READ_POSITION, true);
	conn_add_step(c, SQL_COMMIT, false);
	conn_send(c, 0, try_timeout_us(run, now_us), on_row, run, now_us);
}

static void on_tombstone(void *user, struct conn *c,
			 struct upstream_result *result, uint64_t now_us)
{
	struct run *run = user;
	struct server *s = run->server;
	struct position p;

	if (!result->conn_usable) {
		schedule_retry(run, now_us);
		return;
	}
	server_mark_alive(s, c->started_us, now_us);
	if (result->err.code) {
		if (result->steps_done == STEPS_BEFORE_KEY &&
		    !strcmp(result->sqlstate, SQLSTATE_DUPLICATE_KEY) &&
		    now_us < run->deadline_us)
			read_row(run, now_us);
		else
			schedule_retry(run, now_us);
		return;
	}
	c->in_block = false;
	if (!result->last_step_row || s->index < 0 ||
	    !position_parse(str_from_c(result->last_step_row[0]), &p) ||
	    !write_is_new_commit(c, p)) {
		run_drop_conn(run);
		schedule_retry(run, now_us);
		return;
	}
	c->commit = p;
	fresh_on_applied(run->group->fresh, (unsigned)s->index, p);
	run_detach(run, now_us);
	confirm(run, not_run(run), p, now_us);
}

/* Starts one try: inserts a tombstone on the present primary. */
static void start(struct run *run, uint64_t now_us)
{
	struct conn *c = run->conn;

	run_set_state(run, RUN_SETTLING);
	c->pinned = true;
	c->in_block = true;
	conn_begin(c);
	conn_add_step(c, SQL_BEGIN, false);
	write_add_key(run, c, "tombstone");
	conn_add_step(c, SQL_COMMIT, false);
	conn_add_step(c, SQL_COMMIT_POSITION, false);
	conn_send(c, 0, try_timeout_us(run, now_us), on_tombstone, run, now_us);
}

static void settle_one(struct run *run, uint64_t now_us)
{
	struct group *g = run->group;
	struct server *s = group_primary(g);

	if (now_us >= run->deadline_us) {
		settle_give_up(run);
		return;
	}
	if ((!g->news && now_us < run->next_try_at_us) || !s ||
	    !server_is_up(s, now_us))
		return;
	if (s->outcome_table_term != fresh_term(g->fresh)) {
		server_ensure_outcome_table(s, now_us);
		return;
	}
	run->conn = server_acquire_conn(s, now_us);
	if (!run->conn)
		return;
	run->server = s;
	start(run, now_us);
}

/*
 * Starts the next try of all uncertain writes for which it is due. They need no
 * slot, as they are few and urgent.
 */
void settle_all(struct group *g, uint64_t now_us)
{
	GList *l, *next;

	for (l = g->runs[RUN_SETTLE_WAIT].head; l; l = next) {
		next = l->next;
		settle_one(l->data, now_us);
	}
}

const struct run_type settle_type = {
	.name = "settle",
	.writes = true,
};
