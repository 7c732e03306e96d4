#ifndef CELERYQUAY_TESTS_SUPPORT_PG_H
#define CELERYQUAY_TESTS_SUPPORT_PG_H

/*
 * A stand-in for the primary, a fault proxy in front of it, a struct upstream
 * on a loop, and a list of all events that it reported.
 */

#include "support_loop.h"
#include "support_process.h"

#include <celeryquay/transport/pg.h>

#define PG_TIMEOUT_US (60 * USEC_PER_SEC)

enum pg_event_kind { PG_EVENT_OPENED, PG_EVENT_DONE, PG_EVENT_LOST };

/* A recorded event of struct upstream_events. */
struct pg_event {
	enum pg_event_kind kind;
	conn_id id;
	struct err err;
	/* Copied from struct upstream_result; set only for PG_EVENT_DONE. */
	char sqlstate[6];
	unsigned steps_done;
	unsigned n_kept;
	char *results;
	char **last_step_row;
	bool conn_usable;
};

struct pg_rig {
	struct child *server;
	struct child *proxy;
	unsigned proxy_port; /* route of the proxy to the server */
	uv_loop_t loop;
	struct upstream *upstream;
	GPtrArray *recorded; /* struct pg_event, in order */
	unsigned wanted; /* number of events that pg_rig_wait() waits for */
	bool run_again; /* on_done() starts another run, once */
};

extern struct pg_rig pg_rig;

void pg_rig_setup(void);
void pg_rig_teardown(void);
void pg_rig_open_at(conn_id id, const char *host, unsigned port,
		    uint64_t timeout_us);
/* Opens a connection directly to the server and waits until it is open. */
void pg_rig_open(conn_id id);
/* Opens one through the fault proxy and waits until it is open. */
void pg_rig_open_faulty(conn_id id);
void pg_rig_run(conn_id id, const struct upstream_step *steps, unsigned n,
		uint64_t max_bytes, uint64_t timeout_us);
/* Starts one statement without parameters whose rows are kept. */
void pg_rig_start(conn_id id, const char *sql);
/* Waits until n events have been recorded in all; returns the n-th. */
const struct pg_event *pg_rig_wait(unsigned n);
const struct pg_event *pg_rig_wait_next(void);
const struct pg_event *pg_rig_event(unsigned i);
const struct pg_event *pg_rig_query(conn_id id, const char *sql);
void pg_rig_fault(const char *path, const char *body);

/* A step whose rows are kept, and one whose rows are not kept. */
#define KEPT(text)                                  \
	{                                           \
		.sql = STR(text), .keep_rows = true \
	}
#define UNKEPT(text)             \
	{                        \
		.sql = STR(text) \
	}

#endif
