#include "server_txn.h"

#include "server.h"
#include "server_exec.h"
#include "server_node.h"
#include "server_session.h"
#include "server_util.h"

/* Gives the lock to the next that waits for it and can be reached. */
static void release_lock(struct server *srv)
{
	struct session *next;

	srv->writer = NULL;
	while ((next = g_queue_pop_head(&srv->lock_waiters))) {
		next->txn.queued = false;
		session_wake(next);
		if (session_cut_off(next))
			continue;
		srv->writer = next;
		next->txn.has_lock = true;
		next->active_us = util_now_us();
		return;
	}
}

/* Ends the SQLite transaction, if any, and gives back handle and lock. */
static void leave(struct session *s)
{
	struct txn *txn = &s->txn;
	struct sql_error err;

	exec_close_portals(s);
	if (txn->open && !sqlite3_get_autocommit(txn->handle->db))
		sql_run(txn->handle, "ROLLBACK", &err);
	txn->open = false;
	if (txn->handle)
		sql_give(s->srv->sql, txn->handle);
	txn->handle = NULL;
	if (txn->record)
		g_byte_array_set_size(txn->record, 0);
	if (txn->queued) {
		g_queue_remove(&s->srv->lock_waiters, s);
		txn->queued = false;
	}
	if (txn->has_lock) {
		txn->has_lock = false;
		release_lock(s->srv);
	}
}

/* Starts a transaction; nothing is locked and no snapshot is taken yet. */
void txn_begin(struct session *s, bool implicit, bool read_only, bool stable)
{
	s->txn.state = TXN_BLOCK;
	s->txn.implicit = implicit;
	s->txn.read_only = read_only;
	s->txn.stable = stable;
	s->txn.lost = false;
	s->srv->counts.transactions++;
}

/* Makes sure of a handle for reading; the snapshot comes with the first read.
 */
enum txn_result txn_need_read(struct session *s, struct sql_error *err)
{
	struct txn *txn = &s->txn;

	if (txn->open)
		return TXN_OK;
	if (!txn->handle)
		txn->handle = sql_take(s->srv->sql, err);
	if (!txn->handle)
		return TXN_ERROR;
	txn->handle->session = s;
	if (!sql_run(txn->handle, "BEGIN", err))
		return TXN_ERROR;
	txn->open = true;
	return TXN_OK;
}

/* Whether the log went on since the transaction's snapshot. */
static bool is_stale(struct session *s)
{
	struct log_position at;
	struct sql_error err;

	if (!s->txn.open || !s->txn.stable)
		return false;
	return sql_get_position(s->txn.handle, &at, &err) &&
	       at.position != node_mark(s->srv->node).applied;
}

/*
 * Makes sure of the write lock and the handle that writes. What the
 * transaction read before counts as of an older snapshot, as it does with
 * PostgreSQL's READ COMMITTED; with a stricter level it fails when that is
 * not the newest.
 */
enum txn_result txn_need_write(struct session *s, struct sql_error *err)
{
	struct server *srv = s->srv;
	struct txn *txn = &s->txn;
	struct sql_error ignored;

	if (txn->handle && txn->handle == sql_writer(srv->sql))
		return TXN_OK;
	if (txn->read_only || !node_can_write(srv->node)) {
		sql_set_error(err, "25006",
			      "cannot write in a read-only transaction");
		return TXN_ERROR;
	}
	if (!txn->has_lock && srv->writer) {
		if (!txn->queued)
			g_queue_push_tail(&srv->lock_waiters, s);
		txn->queued = true;
		return TXN_PARK;
	}
	srv->writer = s;
	txn->has_lock = true;
	if (is_stale(s)) {
		sql_set_error(err, "40001", "could not serialize access");
		return TXN_ERROR;
	}
	if (txn->open) {
		exec_close_portals(s);
		sql_run(txn->handle, "ROLLBACK", &ignored);
		txn->open = false;
	}
	if (txn->handle)
		sql_give(srv->sql, txn->handle);
	txn->handle = sql_writer(srv->sql);
	txn->handle->session = s;
	if (!sql_run(txn->handle, "BEGIN IMMEDIATE", err))
		return TXN_ERROR;
	txn->open = true;
	if (!txn->record)
		txn->record = g_byte_array_new();
	return TXN_OK;
}

/* Commits what was written, as an entry of the log. */
static bool commit_written(struct session *s, struct sql_error *err)
{
	struct server *srv = s->srv;

	if (!node_can_write(srv->node)) {
		sql_set_error(err, "25006", "the server is not primary");
		return false;
	}
	if (!node_commit(srv->node, s->txn.handle, s->txn.record,
			 &s->txn.last_commit, err))
		return false;
	srv->counts.commits++;
	if (srv->drop_answers) {
		srv->drop_answers--;
		srv->counts.dropped_answers++;
		session_abort(s);
	}
	return true;
}

/*
 * Commits the transaction and leaves it, whatever comes of it. False when it
 * failed; then nothing of it stands.
 */
bool txn_commit(struct session *s, struct sql_error *err)
{
	struct txn *txn = &s->txn;
	bool done = true;

	if (txn->lost) {
		sql_set_error(err, "25006", "the server is no longer primary");
		done = false;
	} else if (txn->record && txn->record->len) {
		done = commit_written(s, err);
	} else if (txn->open) {
		done = sql_run(txn->handle, "COMMIT", err);
	}
	leave(s);
	txn->state = TXN_IDLE;
	txn->lost = false;
	return done;
}

/* Rolls the transaction back and leaves it. */
void txn_rollback(struct session *s)
{
	if (s->txn.state != TXN_IDLE)
		s->srv->counts.rollbacks++;
	leave(s);
	s->txn.state = TXN_IDLE;
	s->txn.lost = false;
}

/* After an error: a block stays failed until its end, else all is over. */
void txn_fail(struct session *s)
{
	bool block = s->txn.state != TXN_IDLE && !s->txn.implicit;

	txn_rollback(s);
	if (block)
		s->txn.state = TXN_FAILED;
}

/* Sets the error for a statement in a block that failed. */
void txn_set_failed_error(struct sql_error *err)
{
	sql_set_error(err, "25P02",
		      "current transaction is aborted, commands ignored until "
		      "end of transaction block");
}

/*
 * Ends every write transaction of an old primary, the open one and those that
 * wait for the lock; their clients learn it with their next message.
 */
void txn_fence(struct server *srv)
{
	struct session *waiter, *writer = srv->writer;

	while ((waiter = g_queue_pop_head(&srv->lock_waiters))) {
		waiter->txn.queued = false;
		session_wake(waiter);
	}
	if (!writer)
		return;
	leave(writer);
	writer->txn.lost = writer->txn.state == TXN_BLOCK;
}
