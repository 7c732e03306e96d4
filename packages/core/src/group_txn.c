#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>
#include <string.h>

/*
 * Long transactions. Each has a connection and a slot of its own from BEGIN to
 * its end. The key of the commit is made from the transaction's id, so that it
 * commits at most once, whatever keys its requests carry. A transaction that
 * writes inserts the key right after BEGIN, so that the commit can detect that
 * something ended the block in between. A failing statement ends the
 * transaction.
 */

/* A commit isn't sent with less time than this left. */
#define COMMIT_MIN_REMAINING_US (20 * USEC_PER_MSEC)
/* When a caller refused for too many long transactions should retry. */
#define PINNED_RETRY_AFTER_US (1 * USEC_PER_SEC)
/* Long transactions may hold at most the server's slots divided by this. */
#define PINNED_SLOTS_DIVISOR 2

static unsigned max_pinned(const struct server *s)
{
	return MAX(1, server_slots(s) / PINNED_SLOTS_DIVISOR);
}

/* Called when the connection is closed; the server then rolls back. */
void txn_on_closed(struct txn *txn)
{
	txn->conn = NULL;
}

/* Frees a transaction without ending it on the server. */
void txn_destroy(gpointer data)
{
	struct txn *txn = data;

	if (txn->conn)
		txn->conn->txn = NULL;
	if (txn->entry)
		admit_done(txn->server->admit, txn->entry, 0);
	txn->server->pinned--;
	g_free(txn->entry);
	g_free(txn->id);
	g_free(txn->caller);
	g_free(txn->profile.name);
	g_free(txn);
}

/* Separates the transaction from its connection, which is returned. */
static struct conn *detach_conn(struct txn *txn)
{
	struct conn *c = txn->conn;

	txn->conn = NULL;
	if (c)
		c->txn = NULL;
	return c;
}

/*
 * Ends the transaction. An open block is rolled back before its connection is
 * used again.
 */
void txn_end(struct txn *txn, uint64_t now_us)
{
	struct conn *c = detach_conn(txn);
	struct group *g = txn->group;

	if (c && c->state == CONN_IDLE)
		server_release_conn(c, now_us);
	else if (c && c->state == CONN_BUSY)
		conn_close(c);
	if (txn->entry) {
		admit_done(txn->server->admit, txn->entry, txn->busy_us);
		g_clear_pointer(&txn->entry, g_free);
	}
	g->again = true;
	g_hash_table_remove(g->txns, txn->id);
}

/*
 * Makes the id by which callers name a transaction. It can't be guessed from
 * other ids, but it needn't be kept secret either: a transaction serves only
 * the caller that began it.
 */
static char *make_id(struct group *g)
{
	GRand *rng = g->rng;

	return g_strdup_printf("%08x%08x%08x%08x-%" G_GINT64_MODIFIER "x",
			       g_rand_int(rng), g_rand_int(rng),
			       g_rand_int(rng), g_rand_int(rng),
			       ++g->txn_count);
}

/* Creates a transaction, which takes over the run's slot and connection. */
static struct txn *create(struct run *run, char *id, uint64_t now_us)
{
	struct txn *txn = g_new0(struct txn, 1);

	txn->group = run->group;
	txn->id = id;
	txn->caller = str_dup(run->request->caller);
	txn->profile = *run->profile;
	txn->profile.name = g_strdup(run->profile->name);
	txn->entry = g_steal_pointer(&run->entry);
	txn->server = run->server;
	txn->conn = g_steal_pointer(&run->conn);
	txn->conn->txn = txn;
	txn->busy_us = now_us - run->began_us;
	txn->used_us = now_us;
	txn->began_us = run->began_us;
	txn->age_us = run->age_us;
	txn->by_primary = run->by_primary;
	txn->server->pinned++;
	g_hash_table_insert(txn->group->txns, txn->id, txn);
	return txn;
}

/*
 * Reads the position that a READ ONLY block saw last; false when it is missing
 * or fails read_check_position().
 */
static bool check_read(struct run *run, const struct server *s,
		       const struct upstream_result *result, struct position *p)
{
	return result->last_step_row &&
	       position_parse(str_from_c(result->last_step_row[0]), p) &&
	       read_check_position(run, s, *p);
}

/*
 * Answers a request within a transaction. Guards against a session with a
 * position that a failover then removes: the answer with a position seen on the
 * primary waits for a majority to have it, as long as run_confirm() allows. The
 * transaction is open by then, so the request can't be retried from the start.
 */
static void answer_with_position(struct run *run, struct answer *reply,
				 struct position seen, uint64_t now_us)
{
	reply->seen = seen;
	run->type = &txn_type;
	if (seen.term && run->by_primary &&
	    !fresh_is_durable(run->group->fresh, seen))
		run_confirm(run, reply, seen, now_us);
	else
		run_answer(run, reply);
}

static void on_begun(struct run *run, struct upstream_result *result,
		     struct position seen, uint64_t now_us)
{
	struct answer *reply = run_success_answer(run, result->results);
	char *id = str_dup(run->digest);
	struct txn *txn = create(run, id, now_us);

	reply->transaction.data = g_string_chunk_insert(reply->arena, txn->id);
	reply->transaction.len = strlen(txn->id);
	answer_with_position(run, reply, seen, now_us);
}

static void on_begun_write(void *user, struct conn *c,
			   struct upstream_result *result, uint64_t now_us)
{
	struct run *run = user;
	struct position none = { 0, 0 };

	if (!result->conn_usable) {
		write_on_body_lost(run, result, now_us);
		return;
	}
	server_mark_alive(run->server, c->started_us, now_us);
	if (result->err.code)
		write_on_body_error(run, result, now_us);
	else if (write_was_split(run, c, result))
		write_on_split(run, now_us);
	else
		on_begun(run, result, none, now_us);
}

static void on_begun_read(void *user, struct conn *c,
			  struct upstream_result *result, uint64_t now_us)
{
	struct run *run = user;
	struct position p = { 0, 0 };

	if (!result->conn_usable) {
		write_on_body_lost(run, result, now_us);
		return;
	}
	server_mark_alive(run->server, c->started_us, now_us);
	if (result->err.code) {
		run_detach(run, now_us);
		run_refuse(run, run_statement_error_answer(result));
	} else if (!check_read(run, run->server, result, &p)) {
		probe_request(run->server, now_us);
		run_reroute(run, USEC_PER_MSEC, now_us);
	} else {
		on_begun(run, result, p, now_us);
	}
}

static void add_statements(struct run *run, struct conn *c)
{
	const struct request *r = run->request;
	unsigned i;

	for (i = 0; i < r->n_statements; i++) {
		conn_add_statement(c, &r->statements[i]);
		c->dirty |= group_sql_leaves_state(r->statements[i].sql);
	}
}

/* Refuses the run if the server has its maximum of long transactions. */
static bool refuse_if_too_many(struct run *run, uint64_t now_us)
{
	if (run->server->pinned < max_pinned(run->server))
		return false;
	run->group->counts.refused++;
	run_detach(run, now_us);
	run_fail(run, ERR_OVERLOADED, PINNED_RETRY_AFTER_US,
		 "too many long transactions are open");
	return true;
}

/* Gives the transaction an id, and makes the run's key from it. */
static void set_id(struct run *run)
{
	char *id = make_id(run->group);

	run->digest = request_copy_bytes(run->request, id, strlen(id));
	g_free(run->key);
	run->key = outcome_transaction_key(run->request->caller, run->digest);
	g_free(id);
}

static void start_write(struct run *run, uint64_t now_us)
{
	struct conn *c = run->conn;

	if (refuse_if_too_many(run, now_us))
		return;
	set_id(run);
	c->in_block = true;
	conn_begin(c);
	conn_add_step(c, SQL_BEGIN, false);
	if (run->group->guards.outcome_key)
		write_add_key(run, c, "done");
	add_statements(run, c);
	conn_add_step(c, SQL_COMMIT_POSITION, false);
	conn_send(c, run->profile->max_answer_bytes, run->deadline_us - now_us,
		  on_begun_write, run, now_us);
}

static void start_read(struct run *run, uint64_t now_us)
{
	struct conn *c = run->conn;

	if (refuse_if_too_many(run, now_us))
		return;
	set_id(run);
	read_record_start_position(run, run->server);
	c->in_block = true;
	conn_begin(c);
	conn_add_step(c, SQL_BEGIN_READ, false);
	add_statements(run, c);
	conn_add_step(c, SQL_READ_POSITION, false);
	conn_send(c, run->profile->max_answer_bytes, run->deadline_us - now_us,
		  on_begun_read, run, now_us);
}

/* Ends the transaction; its slot and connection go to the run that ends it. */
static void take_over_slot(struct run *run, struct txn *txn, uint64_t now_us)
{
	run_set_state(run, RUN_RUNNING);
	run->server = txn->server;
	run->age_us = txn->age_us;
	run->by_primary = txn->by_primary;
	run->began_us = now_us;
	run->conn = detach_conn(txn);
	run->entry = g_steal_pointer(&txn->entry);
	run->results = g_string_new(NULL);
	txn_end(txn, now_us);
}

/*
 * Returns the position that a write transaction saw, for the session. Guards
 * against a session that goes back in time: what the transaction read counts
 * like any other read, even if it is rolled back later. A position that no
 * majority has yet may be lost, so it is left out.
 */
static struct position seen_by_write(struct run *run,
				     const struct upstream_result *result)
{
	struct position none = { 0, 0 };
	struct position p;

	if (!outcome_take_position(result->results, &p) ||
	    !fresh_is_durable(run->group->fresh, p))
		return none;
	return p;
}

/* The statements of a request within the transaction are done or failed. */
static void on_statements(void *user, struct conn *c,
			  struct upstream_result *result, uint64_t now_us)
{
	struct run *run = user;
	struct txn *txn = run->txn;
	bool writes = txn->profile.access == ACCESS_WRITE;
	struct position p = { 0, 0 };

	txn->run = NULL;
	txn->busy_us += now_us - c->started_us;
	txn->used_us = now_us;
	if (result->conn_usable)
		server_mark_alive(txn->server, c->started_us, now_us);
	if (!result->conn_usable) {
		txn_end(txn, now_us);
		run_refuse(run, run_statement_error_answer(result));
		return;
	}
	if (result->err.code) {
		take_over_slot(run, txn, now_us);
		write_roll_back(run, run_statement_error_answer(result),
				now_us);
		return;
	}
	if (writes && write_was_split(run, c, result)) {
		conn_close(c);
		txn_end(txn, now_us);
		write_on_split(run, now_us);
		return;
	}
	if (writes) {
		p = seen_by_write(run, result);
	} else if (!check_read(run, txn->server, result, &p)) {
		txn_end(txn, now_us);
		run_fail(run, ERR_CONNECTION_LOST, 0,
			 "the server lost a part of what it had; rolled back");
		return;
	}
	answer_with_position(run, run_success_answer(run, result->results), p,
			     now_us);
}

/* Upper bound of the data's age: it may be as old as the first snapshot. */
static uint64_t data_age_us(const struct txn *txn, uint64_t now_us)
{
	if (txn->profile.access == ACCESS_WRITE)
		return txn->age_us;
	return txn->age_us + (now_us - txn->began_us);
}

/* Sends the statements of a request within the transaction. */
static void send_statements(struct run *run, struct txn *txn, uint64_t now_us)
{
	bool writes = txn->profile.access == ACCESS_WRITE;
	uint64_t max_bytes = txn->profile.max_answer_bytes;
	struct conn *c = txn->conn;

	run_set_state(run, RUN_RUNNING);
	run->txn = txn;
	run->server = txn->server;
	run->age_us = data_age_us(txn, now_us);
	run->by_primary = txn->by_primary;
	txn->run = run;
	conn_begin(c);
	add_statements(run, c);
	conn_add_step(c, SQL_READ_POSITION, writes);
	if (writes)
		conn_add_step(c, SQL_COMMIT_POSITION, false);
	conn_send(c, max_bytes ? max_bytes + POSITION_RESULT_MAX_BYTES : 0,
		  run->deadline_us - now_us, on_statements, run, now_us);
}

static void end_read(struct run *run, struct txn *txn, uint64_t now_us)
{
	run->age_us = txn->age_us;
	run->by_primary = txn->by_primary;
	run->server = txn->server;
	run->type = &txn_type;
	txn_end(txn, now_us);
	run_answer(run, run_success_answer(run, NULL));
}

/* Commits. After this the run is handled like any write, in group_write.c. */
static void commit(struct run *run, struct txn *txn, uint64_t now_us)
{
	if (txn->profile.access == ACCESS_READ) {
		end_read(run, txn, now_us);
		return;
	}
	if (now_us + COMMIT_MIN_REMAINING_US >= run->deadline_us) {
		txn_end(txn, now_us);
		run_fail(run, ERR_TIMED_OUT, 0,
			 "too little time to commit; rolled back");
		return;
	}
	take_over_slot(run, txn, now_us);
	write_send_commit(run, now_us);
}

static void roll_back(struct run *run, struct txn *txn, uint64_t now_us)
{
	run->type = &txn_type;
	run->server = txn->server;
	txn_end(txn, now_us);
	run_answer(run, run_success_answer(run, NULL));
}

/*
 * The transaction isn't in the table. Guards against a false "rolled back" for
 * it: its commit may be in flight, or have been done by this home or another
 * one. So a commit is settled by its key in the outcome table: either the row
 * of the commit is found, or a tombstone there keeps the refusal true.
 */
static void settle_unknown(struct run *run, uint64_t now_us)
{
	struct answer *refusal =
		answer_error(ERR_NO_SUCH_TRANSACTION,
			     "the transaction has ended without a commit");

	if (run->type != &commit_type) {
		run_answer(run, refusal);
		return;
	}
	run->refusal = refusal;
	settle_begin(run, now_us);
}

/* Whether the run may use the transaction now; otherwise it is refused. */
static bool may_use(struct run *run, const struct txn *txn)
{
	struct str caller = run->request->caller;

	if (run->group->guards.check_caller &&
	    !str_eq(str_from_c(txn->caller), caller)) {
		run_fail(run, ERR_NOT_YOUR_TRANSACTION, 0,
			 "the transaction belongs to another caller");
		return false;
	}
	if (txn->run) {
		run_fail(run, ERR_TRANSACTION_BUSY, 0,
			 "the transaction is still running a request");
		return false;
	}
	return true;
}

/* Runs a request for a long transaction: statements, commit or rollback. */
void txn_run(struct run *run, uint64_t now_us)
{
	struct group *g = run->group;
	char *id = str_dup(run->request->transaction);
	struct txn *txn = g_hash_table_lookup(g->txns, id);

	g_free(id);
	if (!txn) {
		settle_unknown(run, now_us);
		return;
	}
	if (!may_use(run, txn))
		return;
	if (!txn->conn) {
		txn_end(txn, now_us);
		run_fail(run, ERR_NO_SUCH_TRANSACTION, 0,
			 "the transaction's connection broke; rolled back");
	} else if (run->request->kind == REQUEST_COMMIT) {
		commit(run, txn, now_us);
	} else if (run->request->kind == REQUEST_ROLLBACK) {
		roll_back(run, txn, now_us);
	} else {
		send_statements(run, txn, now_us);
	}
}

const struct run_type begin_read_type = {
	.name = "begin",
	.start = start_read,
};

const struct run_type begin_write_type = {
	.name = "begin",
	.to_primary = true,
	.start = start_write,
};

const struct run_type txn_type = {
	.name = "transaction",
};

const struct run_type commit_type = {
	.name = "commit",
	.writes = true,
};
