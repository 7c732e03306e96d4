#ifndef CELERYQUAY_CORE_UPSTREAM_H
#define CELERYQUAY_CORE_UPSTREAM_H

/*
 * The interface to connections to database servers. The transport over libpq
 * and the fakes in the tests implement struct upstream_ops; both report back
 * through struct upstream_events. All operations are asynchronous; an event is
 * never delivered from within the call that causes it.
 */

#include <celeryquay/core/request.h>
#include <celeryquay/core/types.h>

struct upstream; /* opaque; defined by the implementation */

/* Identifies a connection; chosen by the user of struct upstream_ops. */
typedef uint64_t conn_id;

struct upstream_target {
	const char *host;
	uint16_t port;
	const char *user;
	const char *password; /* NULL: none */
	const char *dbname;
};

/* One statement of a pipeline. sql and params must live until the result. */
struct upstream_step {
	struct str sql;
	unsigned n_params;
	const struct value *params;
	bool keep_rows; /* append the step's result to the JSON results */
};

struct upstream_result {
	struct err err; /* error of the first step that failed */
	char sqlstate[6]; /* its SQLSTATE; "" if not sent by the server */
	unsigned steps_done; /* steps that succeeded before the failed one */
	GString *results; /* JSON elements of kept steps, comma-separated */
	unsigned n_kept; /* number of those elements */
	char **last_step_row; /* last step's first row, NULL-ended; or NULL */
	bool conn_usable; /* false: the connection is closed or must be */
};

struct upstream_ops {
	void (*open)(struct upstream *u, conn_id id,
		     const struct upstream_target *target, uint64_t timeout_us);
	/*
	 * Runs steps in one pipeline with one sync at the end; after a failed
	 * step the rest is skipped. max_bytes bounds the results (0: no limit);
	 * a larger answer fails with ANSWER_TOO_LARGE. timeout_us 0: no limit.
	 */
	void (*run)(struct upstream *u, conn_id id,
		    const struct upstream_step *steps, unsigned n_steps,
		    uint64_t max_bytes, uint64_t timeout_us);
	/* Closes at once, even with steps in flight; no event follows. */
	void (*close)(struct upstream *u, conn_id id);
};

struct upstream_events {
	/* Opening ended. err NULL or with code 0: the connection is usable. */
	void (*opened)(void *ctx, conn_id id, const struct err *err);
	/* A pipeline ended. The implementation frees the result afterwards. */
	void (*done)(void *ctx, conn_id id, struct upstream_result *result);
	/* An idle connection was lost. */
	void (*lost)(void *ctx, conn_id id, const struct err *err);
};

/* Parses the JSON text of a status; fails with BAD_MESSAGE. */
bool status_parse(struct str json, struct server_status *out, struct err *err);
/* Parses "term:index". */
bool position_parse(struct str text, struct position *out);

#endif
