#ifndef STANDIN_SERVER_TXN_H
#define STANDIN_SERVER_TXN_H

/*
 * The transaction of one connection, and the write lock: one transaction at a
 * time writes, the others wait for it in order of arrival.
 */

#include <stdbool.h>
#include <glib.h>

#include "server_log.h"
#include "server_sql.h"

struct server;
struct session;

enum txn_state {
	TXN_IDLE = 'I',
	TXN_BLOCK = 'T',
	TXN_FAILED = 'E',
};

enum txn_result {
	TXN_OK,
	TXN_PARK, /* try again when the session is woken */
	TXN_ERROR,
};

struct txn {
	enum txn_state state;
	bool implicit; /* ends at the next Sync */
	bool read_only;
	bool stable; /* repeatable read or serializable */
	bool lost; /* ended by a fence, which the client isn't told yet */
	bool open; /* the handle is inside a transaction */
	bool has_lock;
	bool queued; /* waits for the lock */
	struct sql_handle *handle;
	GByteArray *record;
	struct log_position last_commit;
};

void txn_begin(struct session *s, bool implicit, bool read_only, bool stable);
enum txn_result txn_need_read(struct session *s, struct sql_error *err);
enum txn_result txn_need_write(struct session *s, struct sql_error *err);
bool txn_commit(struct session *s, struct sql_error *err);
void txn_rollback(struct session *s);
void txn_fail(struct session *s);
void txn_set_failed_error(struct sql_error *err);
void txn_fence(struct server *srv);

#endif
