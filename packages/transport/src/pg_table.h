#ifndef CELERYQUAY_TRANSPORT_PG_TABLE_H
#define CELERYQUAY_TRANSPORT_PG_TABLE_H

/*
 * The part of struct upstream that its connections use: the loop, the shared
 * buffers, the queue of connections with deferred work, and the functions that
 * report their events.
 */

#include "pg_conn.h"

uv_loop_t *pg_table_loop(struct upstream *u);
struct pg_params *pg_table_params(struct upstream *u);
/* Has pg_conn_resume() called in the loop's next iteration. */
void pg_table_defer(struct upstream *u, struct pg_conn *c);
struct pg_run *pg_table_take_run(struct upstream *u);
void pg_table_give_run(struct upstream *u, struct pg_run *run);
/*
 * Events. The user may call any operation from within an event, so the
 * connection's state must be consistent before these functions are called.
 * `opened` with an error, `lost`, and `done` with an unusable connection free
 * the connection before the user is notified.
 */
void pg_table_opened(struct upstream *u, struct pg_conn *c);
void pg_table_open_failed(struct upstream *u, struct pg_conn *c,
			  const struct err *err);
void pg_table_done(struct upstream *u, struct pg_conn *c, struct pg_run *run);
void pg_table_lost(struct upstream *u, struct pg_conn *c,
		   const struct err *err);

#endif
