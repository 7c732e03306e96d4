#ifndef CELERYQUAY_TESTS_SUPPORT_FAKE_UPSTREAM_H
#define CELERYQUAY_TESTS_SUPPORT_FAKE_UPSTREAM_H

/*
 * Connections to the servers of a fake database group on the virtual clock:
 * the struct upstream_ops that a struct group uses, with sessions, transaction
 * blocks and the outcome table on the servers' side. Statements of callers:
 *
 *   WRITE $1     stores the trip (a row with the number) $1
 *   READ         returns one row: the trips in the snapshot, space-separated
 *   FAIL         is refused with 23514
 *   SLOW $1      takes $1 microseconds longer
 *   SET $1       sets a session variable; SHOW reads it
 *   SNEAK        commits the open block, which no statement should be able to
 */

#include "support_fake_db.h"

#include <celeryquay/core/upstream.h>

/*
 * The servers' side, shared by all proxies. The outcome keys of callers must
 * end in a number.
 */
struct fake_sql;

struct fake_sql *fake_sql_create(struct sim *sim, struct fdb *db,
				 unsigned n_servers);
void fake_sql_destroy(struct fake_sql *sql);
/* Sets the time that each run takes at the server. */
void fake_sql_set_service(struct fake_sql *sql, unsigned server,
			  uint64_t service_us);
/* Ends the server's process; silent: takes its host down as well. */
void fake_sql_crash(struct fake_sql *sql, unsigned server, bool silent);
void fake_sql_restart(struct fake_sql *sql, unsigned server);
/*
 * Loses the answers to the next n runs that commit, together with their
 * connections. The commits themselves succeed.
 */
void fake_sql_lose_commit_replies(struct fake_sql *sql, unsigned server,
				  unsigned n);
/* Whether a removal of outcome rows covered the trip's row. */
bool fake_sql_removed(struct fake_sql *sql, uint64_t trip);
/*
 * The next n maintenance blocks of proxies (which remove outcome rows or create
 * their table) commit, but the query for their commit position is refused.
 */
void fake_sql_fail_after_commit(struct fake_sql *sql, unsigned server,
				unsigned n);
/* Sets the connection limit of each server; more are refused. */
void fake_sql_set_limit(struct fake_sql *sql, unsigned limit);
/* Number of connections refused at the limit. */
unsigned fake_sql_refused_connections(const struct fake_sql *sql,
				      unsigned server);
unsigned fake_sql_connections(const struct fake_sql *sql, unsigned server);
/* The highest number of connections open at once. */
unsigned fake_sql_max_connections(const struct fake_sql *sql, unsigned server);

/* Creates one proxy's connections; node is the proxy's in the simulation. */
struct upstream *fake_upstream_create(struct fake_sql *sql, int node,
				      const struct upstream_events *events,
				      void *ctx);
void fake_upstream_destroy(struct upstream *u);
/* Existing connections to the server go silent for good; new ones work. */
void fake_upstream_mute(struct upstream *u, unsigned server);
/* Ends the proxy's process: the servers see its connections close. */
void fake_upstream_kill(struct upstream *u);

extern const struct upstream_ops fake_upstream_ops;

/* The port of server i is this plus i. */
#define FAKE_PORT_BASE 1000

/* The number of entries with the trip in the server's log. */
unsigned fake_count_trip(struct fake_sql *sql, unsigned server, uint64_t trip);

#endif
