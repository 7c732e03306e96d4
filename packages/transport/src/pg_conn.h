#ifndef CELERYQUAY_TRANSPORT_PG_CONN_H
#define CELERYQUAY_TRANSPORT_PG_CONN_H

/*
 * One connection to a server: opens it, watches its socket and deadlines, and
 * executes one run at a time. Reports its events to the table of connections
 * (pg_table.h) that it belongs to.
 */

#include "pg_run.h"

#include <celeryquay/transport/pg.h>

struct pg_conn;

struct pg_conn *pg_conn_create(struct upstream *table, conn_id id);
void pg_conn_destroy(struct pg_conn *c);
conn_id pg_conn_id(const struct pg_conn *c);
bool pg_conn_idle(const struct pg_conn *c);
void pg_conn_open(struct pg_conn *c, const struct upstream_target *target,
		  uint64_t timeout_us);
void pg_conn_run(struct pg_conn *c, const struct upstream_step *steps,
		 unsigned n_steps, uint64_t max_bytes, uint64_t timeout_us);
/* Continues the work that was deferred by pg_table_defer(). */
void pg_conn_resume(struct pg_conn *c);
GList *pg_conn_link(struct pg_conn *c);

#endif
