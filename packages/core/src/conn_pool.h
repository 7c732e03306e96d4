#ifndef CELERYQUAY_CORE_CONN_POOL_H
#define CELERYQUAY_CORE_CONN_POOL_H

/*
 * The connections of one database by their ids, with the state, user and
 * deadline of each. A run is a pipeline of steps; a connection executes one run
 * at a time. A connection whose run timed out is closed at once, so that no
 * late answer can reach another request.
 */

#include <celeryquay/core/upstream.h>

struct conn_pool;
struct server;
struct txn;

enum conn_role {
	CONN_PROBE, /* status probes and the calls of failover */
	CONN_LONG_POLL, /* long poll for changed positions */
	CONN_WORK, /* callers' statements and the group's own runs */
	CONN_ROLES,
};

enum conn_state { CONN_OPENING, CONN_IDLE, CONN_BUSY, CONN_GONE };

struct conn;

/*
 * The run that was sent has ended. If result->conn_usable is false, the
 * connection is freed when this returns.
 */
typedef void (*conn_done_fn)(void *user, struct conn *c,
			     struct upstream_result *result, uint64_t now_us);

struct conn {
	conn_id id;
	struct conn_pool *pool;
	struct server *server;
	enum conn_role role;
	enum conn_state state;
	uint64_t started_us; /* start of the opening or of the latest run */
	uint64_t heard_us; /* time of the last answer */
	uint64_t deadline_us; /* of the opening or run, UINT64_MAX: none */
	bool suspect; /* must answer a check before it is used */
	bool pinned; /* reserved for a run or a long transaction */
	struct txn *txn; /* the long transaction, NULL: none */
	bool in_block; /* a transaction block is open, or may be */
	bool dirty; /* session state may differ from a new connection's */
	struct position commit; /* of the last commit on this connection */
	/* The run in flight, or the one being built. */
	conn_done_fn done;
	void *user; /* argument of done() */
	GArray *steps; /* struct upstream_step */
	GPtrArray *params; /* parameter arrays allocated for the steps */
	GStringChunk *text; /* text of the parameters in params */
	GList link; /* in the server's list */
};

struct conn_events {
	/*
	 * An opening ended. err NULL: the connection is idle; otherwise it is
	 * freed when this returns.
	 */
	void (*opened)(void *ctx, struct conn *c, const struct err *err,
		       uint64_t now_us);
	/* An idle connection broke; it is freed when this returns. */
	void (*lost)(void *ctx, struct conn *c, const struct err *err,
		     uint64_t now_us);
	/* A run was not answered in time; called before its done function. */
	void (*silent)(void *ctx, struct conn *c, uint64_t now_us);
	/* The connection is removed from the pool, for whatever reason. */
	void (*closed)(void *ctx, struct conn *c);
};

struct conn_pool *conn_pool_create(struct upstream *upstream,
				   const struct upstream_ops *ops,
				   const struct conn_events *events, void *ctx);
void conn_pool_destroy(struct conn_pool *pool);
/* For mutation tests: false keeps a connection whose run timed out. */
void conn_pool_set_close_on_timeout(struct conn_pool *pool, bool close);

struct conn *conn_pool_open(struct conn_pool *pool, struct server *server,
			    enum conn_role role,
			    const struct upstream_target *target,
			    uint64_t timeout_us, uint64_t now_us);
bool conn_pool_owns(const struct conn_pool *pool, conn_id id);
void conn_pool_on_opened(struct conn_pool *pool, conn_id id,
			 const struct err *err, uint64_t now_us);
void conn_pool_on_done(struct conn_pool *pool, conn_id id,
		       struct upstream_result *result, uint64_t now_us);
void conn_pool_on_lost(struct conn_pool *pool, conn_id id,
		       const struct err *err, uint64_t now_us);
/* Closes the connections past their deadlines and notifies their users. */
void conn_pool_expire(struct conn_pool *pool, uint64_t now_us);
/* The next deadline, UINT64_MAX for none. */
uint64_t conn_pool_next_deadline_us(const struct conn_pool *pool);
unsigned conn_pool_count(const struct conn_pool *pool);

/* To build a run: begin, add steps, send. */
void conn_begin(struct conn *c);
void conn_add_step(struct conn *c, struct str sql, bool keep_rows);
void conn_add_statement(struct conn *c, const struct statement *statement);
/* Add a parameter to the step that was added last; text is copied. */
void conn_add_text_param(struct conn *c, struct str text);
void conn_add_int_param(struct conn *c, int64_t i);
void conn_send(struct conn *c, uint64_t max_bytes, uint64_t timeout_us,
	       conn_done_fn done, void *user, uint64_t now_us);
/* Closes at once; a run in flight ends without its done function. */
void conn_close(struct conn *c);

#endif
