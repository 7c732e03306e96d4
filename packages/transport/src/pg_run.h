#ifndef CELERYQUAY_TRANSPORT_PG_RUN_H
#define CELERYQUAY_TRANSPORT_PG_RUN_H

/*
 * One run of steps in a pipeline on an open connection: sends the statements,
 * then converts the results as they arrive to a struct upstream_result. Never
 * blocks; the caller has to watch the socket.
 */

#include "pg_param.h"

struct pg_run;

enum pg_run_state {
	PG_RUN_WAIT, /* needs more data from the server */
	PG_RUN_AGAIN, /* has more to do in the loop's next iteration */
	PG_RUN_DONE, /* ended; the pipeline is in sync again */
	PG_RUN_BROKEN, /* failed; the connection must not be used again */
};

struct pg_run *pg_run_create(void);
void pg_run_destroy(struct pg_run *run);
void pg_run_recycle(struct pg_run *run);
bool pg_run_send(struct pg_run *run, PGconn *pq, struct pg_params *params,
		 const struct upstream_step *steps, unsigned n_steps,
		 uint64_t max_bytes, bool read_only);
enum pg_run_state pg_run_read(struct pg_run *run, PGconn *pq);
void pg_run_fail(struct pg_run *run, enum err_code code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void pg_run_fail_lost(struct pg_run *run, const PGconn *pq);
bool pg_run_read_only(const struct pg_run *run);
struct upstream_result *pg_run_result(struct pg_run *run);

struct str pg_first_line(const char *text);

#endif
