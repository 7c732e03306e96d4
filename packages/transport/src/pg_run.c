#define LOG_MODULE "pg"
#include "pg_run.h"
#include "pg_rows.h"

#include <celeryquay/base/log.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/*
 * Limits of the work done in one iteration of the loop, so that other
 * connections are not delayed: bytes of JSON produced, and time taken.
 */
#define ITERATION_BYTES_MAX ((size_t)256 * 1024)
#define ITERATION_USEC_MAX 1000
/* Number of rows converted between two reads of the clock. */
#define ROWS_PER_CLOCK_READ 32
/*
 * If the run's limit in bytes is at most this, libpq buffers all rows of a step
 * before they are converted to JSON. That takes half the instructions per row,
 * at the price of a few times the limit in memory. Above it, and without a
 * limit, libpq's single-row mode is used: each row is a result of its own.
 */
#define BUFFER_ROWS_LIMIT_MAX ((uint64_t)2 * 1024 * 1024)
/*
 * Maximum number of bytes that a value takes on the wire for each byte that it
 * takes in JSON: 3 in a row of one digit, and some more for TLS.
 */
#define WIRE_BYTES_PER_JSON_BYTE 4
/* Bytes received on the socket that do not count against the limit. */
#define UNCOUNTED_BYTES_MAX ((uint64_t)256 * 1024)

struct pg_run {
	struct upstream_result result;
	struct pg_rows rows;
	GByteArray *last_step_row; /* buffer of pg_row_copy() for
				      result.last_step_row */
	GByteArray *kept_steps; /* keep_rows of each step, one byte each */
	unsigned n_steps;
	unsigned step; /* index of the step whose results arrive now */
	uint64_t max_bytes; /* limit of the results; 0: none */
	bool read_only; /* a READ ONLY transaction was begun */
	bool step_ended; /* last PQgetResult() was the NULL after a step */
	PGresult *buffered_rows; /* not all converted yet; NULL: none */
	int next_row; /* index of the next row of `buffered_rows` */
	unsigned reads; /* reads since the last result */
	uint64_t received_at_start; /* socket_received() at the first read */
};

/* The work done so far in one iteration of the loop. */
struct iteration {
	size_t start; /* length of the results at its start */
	unsigned rows; /* calls of iteration_is_over(), about one per row */
	gint64 began_at_us; /* first read of the clock; 0: not read yet */
};

/* Creates an idle run, which can be used any number of times. */
struct pg_run *pg_run_create(void)
{
	struct pg_run *run = g_new0(struct pg_run, 1);

	pg_rows_init(&run->rows);
	run->last_step_row = g_byte_array_new();
	run->kept_steps = g_byte_array_new();
	return run;
}

/* Frees the run and its result; NULL is ignored. */
void pg_run_destroy(struct pg_run *run)
{
	if (!run)
		return;
	pg_rows_clear(&run->rows);
	g_byte_array_unref(run->last_step_row);
	g_byte_array_unref(run->kept_steps);
	PQclear(run->buffered_rows);
	g_free(run);
}

/* Frees the run's results and large buffers until its next use. */
void pg_run_recycle(struct pg_run *run)
{
	PQclear(run->buffered_rows);
	run->buffered_rows = NULL;
	pg_rows_reset(&run->rows);
}

/* Returns the result; complete once the run is DONE or BROKEN. */
struct upstream_result *pg_run_result(struct pg_run *run)
{
	return &run->result;
}

/* Whether a transaction still open after the run was begun READ ONLY. */
bool pg_run_read_only(const struct pg_run *run)
{
	return run->read_only;
}

/* Returns the first line of a libpq message, without the line end. */
struct str pg_first_line(const char *text)
{
	return (struct str){ .data = text, .len = strcspn(text, "\r\n") };
}

static void reset(struct pg_run *run, const struct upstream_step *steps,
		  unsigned n_steps)
{
	unsigned i;

	pg_rows_reset(&run->rows);
	memset(&run->result, 0, sizeof(run->result));
	run->result.results = run->rows.out;
	run->result.conn_usable = true;
	g_byte_array_set_size(run->kept_steps, n_steps);
	for (i = 0; i < n_steps; i++)
		run->kept_steps->data[i] = steps[i].keep_rows;
	run->n_steps = n_steps;
	run->step = 0;
	run->step_ended = false;
	run->reads = 0;
}

/*
 * Sets the run's error. Only the first error is kept, since later ones are its
 * consequences.
 */
void pg_run_fail(struct pg_run *run, enum err_code code, const char *fmt, ...)
{
	struct err *err = &run->result.err;
	va_list args;

	if (err->code)
		return;
	err->code = code;
	va_start(args, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, args);
	va_end(args);
}

/* Fails the run because the connection broke. */
void pg_run_fail_lost(struct pg_run *run, const PGconn *pq)
{
	struct str reason = pg_first_line(PQerrorMessage(pq));

	pg_run_fail(run, ERR_CONNECTION_LOST, "%.*s", (int)reason.len,
		    reason.len ? reason.data : "the connection broke");
	run->result.conn_usable = false;
}

/*
 * Whether the text begins with the word, ignoring case. The word is written in
 * capitals.
 */
static inline bool starts_with_word(const char *text, const char *word)
{
	while (*word && (*text & ~0x20) == *word) {
		text++;
		word++;
	}
	return !*word;
}

/*
 * Whether the step begins a READ ONLY transaction. Within one, SQLSTATE 25006
 * is the caller's mistake; otherwise it means that the server is not, or is no
 * longer, the primary.
 */
static bool begins_read_only(struct str sql)
{
	const size_t len = sizeof("READ ONLY") - 1;
	size_t i;

	if (sql.len < len || (!starts_with_word(sql.data, "BEGIN") &&
			      !starts_with_word(sql.data, "START")))
		return false;
	for (i = 0; i + len <= sql.len; i++) {
		if (starts_with_word(sql.data + i, "READ") &&
		    starts_with_word(sql.data + i + len - 4, "ONLY"))
			return true;
	}
	return false;
}

static bool send_step(PGconn *pq, struct pg_params *params,
		      const struct upstream_step *step)
{
	pg_params_set(params, step);
	return PQsendQueryParams(pq, params->sql, (int)step->n_params,
				 params->types, params->values, NULL, NULL, 0);
}

static bool keeps_rows(const struct pg_run *run)
{
	return run->step < run->n_steps && run->kept_steps->data[run->step];
}

/*
 * Chooses whether libpq returns the rows of the next step singly or all at
 * once. A step whose rows are not kept has one row or none, so it needs no
 * single-row mode.
 */
static void begin_step(const struct pg_run *run, PGconn *pq)
{
	if (keeps_rows(run) &&
	    (!run->max_bytes || run->max_bytes > BUFFER_ROWS_LIMIT_MAX))
		PQsetSingleRowMode(pq);
}

/*
 * Queues the steps and the sync and sends as much as the socket takes. Returns
 * false with the error set if a step has a NUL in its text (nothing was sent,
 * conn_usable stays true) or if the connection broke (conn_usable is false).
 */
bool pg_run_send(struct pg_run *run, PGconn *pq, struct pg_params *params,
		 const struct upstream_step *steps, unsigned n_steps,
		 uint64_t max_bytes, bool read_only)
{
	unsigned i;

	reset(run, steps, n_steps);
	run->max_bytes = max_bytes;
	run->read_only = read_only;
	for (i = 0; i < n_steps; i++) {
		if (!pg_params_check(&steps[i], &run->result.err))
			return false;
	}
	for (i = 0; i < n_steps; i++) {
		if (!send_step(pq, params, &steps[i]))
			goto lost;
		if (begins_read_only(steps[i].sql))
			run->read_only = true;
	}
	if (!PQpipelineSync(pq))
		goto lost;
	begin_step(run, pq);
	return true;

lost:
	pg_run_fail_lost(run, pq);
	return false;
}

static bool is_last(const struct pg_run *run)
{
	return run->step + 1 == run->n_steps;
}

static enum pg_run_state finish(struct pg_run *run)
{
	pg_rows_undo(&run->rows);
	run->result.n_kept = run->rows.n_objects;
	if (run->result.err.code)
		run->result.last_step_row = NULL;
	return run->result.conn_usable ? PG_RUN_DONE : PG_RUN_BROKEN;
}

static enum pg_run_state check_size(struct pg_run *run)
{
	if (!run->max_bytes || run->rows.out->len <= run->max_bytes)
		return PG_RUN_AGAIN;
	pg_run_fail(run, ERR_ANSWER_TOO_LARGE,
		    "the answer is larger than %" G_GUINT64_FORMAT " bytes",
		    run->max_bytes);
	run->result.conn_usable = false;
	return finish(run);
}

static void take_row(struct pg_run *run, const PGresult *res, int row)
{
	if (is_last(run) && !run->result.last_step_row)
		run->result.last_step_row =
			pg_row_copy(run->last_step_row, res, row);
	if (keeps_rows(run))
		pg_rows_add(&run->rows, res, row);
}

static enum pg_run_state take_end(struct pg_run *run, PGresult *res)
{
	run->result.steps_done++;
	if (keeps_rows(run))
		pg_rows_end(&run->rows, res);
	return check_size(run);
}

static bool iteration_is_over(struct iteration *it, const struct pg_run *run)
{
	gint64 now;

	if (run->rows.out->len - it->start > ITERATION_BYTES_MAX)
		return true;
	if (++it->rows % ROWS_PER_CLOCK_READ)
		return false;
	now = g_get_monotonic_time();
	if (!it->began_at_us)
		it->began_at_us = now;
	return now - it->began_at_us > ITERATION_USEC_MAX;
}

/* Converts rows that libpq has buffered, within the iteration's limits. */
static enum pg_run_state take_buffered(struct pg_run *run, struct iteration *it)
{
	PGresult *res = run->buffered_rows;
	int n = keeps_rows(run) ? PQntuples(res) : MIN(PQntuples(res), 1);
	enum pg_run_state state = PG_RUN_AGAIN;

	while (run->next_row < n && state == PG_RUN_AGAIN) {
		if (run->next_row && iteration_is_over(it, run))
			return PG_RUN_AGAIN;
		take_row(run, res, run->next_row++);
		state = check_size(run);
	}
	if (state == PG_RUN_AGAIN)
		state = take_end(run, res);
	run->buffered_rows = NULL;
	PQclear(res);
	return state;
}

/*
 * Sets the run's error from a statement's error. FATAL and PANIC mean that the
 * server ends the connection too.
 */
static void take_error(struct pg_run *run, const PGresult *res,
		       const PGconn *pq)
{
	const char *state = PQresultErrorField(res, PG_DIAG_SQLSTATE);
	const char *text = PQresultErrorField(res, PG_DIAG_MESSAGE_PRIMARY);
	const char *severity =
		PQresultErrorField(res, PG_DIAG_SEVERITY_NONLOCALIZED);
	enum err_code code = ERR_STATEMENT_FAILED;

	pg_rows_undo(&run->rows);
	if (run->result.err.code)
		return;
	if (!state || !text) {
		pg_run_fail_lost(run, pq);
		return;
	}
	g_strlcpy(run->result.sqlstate, state, sizeof(run->result.sqlstate));
	if (severity &&
	    (!strcmp(severity, "FATAL") || !strcmp(severity, "PANIC")))
		code = ERR_CONNECTION_LOST;
	else if (run->read_only && !strcmp(state, "25006"))
		code = ERR_READ_ONLY;
	pg_run_fail(run, code, "%s", text);
}

/*
 * COPY puts the connection into another mode of the protocol: the server would
 * wait for data that is never sent, and the caller for its answer.
 */
static void take_copy(struct pg_run *run)
{
	pg_rows_undo(&run->rows);
	pg_run_fail(run, ERR_STATEMENT_FAILED, "COPY is not supported");
	run->result.conn_usable = false;
}

/* Processes one result; frees it unless its rows are converted later. */
static enum pg_run_state take_result(struct pg_run *run, PGresult *res,
				     const PGconn *pq)
{
	enum pg_run_state state = PG_RUN_AGAIN;

	switch (PQresultStatus(res)) {
	case PGRES_SINGLE_TUPLE:
		take_row(run, res, 0);
		state = check_size(run);
		break;
	case PGRES_TUPLES_OK:
		run->buffered_rows = res;
		run->next_row = 0;
		return PG_RUN_AGAIN;
	case PGRES_COMMAND_OK:
	case PGRES_EMPTY_QUERY:
		state = take_end(run, res);
		break;
	case PGRES_PIPELINE_ABORTED:
		break;
	case PGRES_PIPELINE_SYNC:
		state = finish(run);
		break;
	case PGRES_COPY_IN:
	case PGRES_COPY_OUT:
	case PGRES_COPY_BOTH:
		take_copy(run);
		state = finish(run);
		break;
	default:
		take_error(run, res, pq);
		if (!run->result.conn_usable)
			state = finish(run);
		break;
	}
	PQclear(res);
	return state;
}

/* Processes the NULL that ends a step's results; false if it is unexpected. */
static bool take_separator(struct pg_run *run, PGconn *pq)
{
	if (run->step_ended || run->step >= run->n_steps)
		return false;
	run->step_ended = true;
	run->step++;
	begin_step(run, pq);
	return true;
}

static enum pg_run_state take_next(struct pg_run *run, PGconn *pq)
{
	PGresult *res = PQgetResult(pq);

	run->reads = 0;
	if (res) {
		run->step_ended = false;
		return take_result(run, res, pq);
	}
	if (take_separator(run, pq))
		return PG_RUN_AGAIN;
	pg_run_fail(run, ERR_CONNECTION_LOST,
		    "the server's answers are out of order");
	run->result.conn_usable = false;
	return finish(run);
}

/* Returns the bytes received by the socket since it was opened; 0 on error. */
static uint64_t socket_received(const PGconn *pq)
{
	struct tcp_info info;
	socklen_t len = sizeof(info);

	memset(&info, 0, sizeof(info));
	if (getsockopt(PQsocket(pq), IPPROTO_TCP, TCP_INFO, &info, &len))
		return 0;
	return info.tcpi_bytes_received;
}

/*
 * Whether a result exceeds the limit before it is complete. libpq buffers a row
 * until its last byte has arrived, so one row of a gigabyte would take a
 * gigabyte of memory here. The socket's count of received bytes shows it
 * earlier.
 */
static bool exceeds_limit_early(struct pg_run *run, const PGconn *pq)
{
	uint64_t received;

	if (!run->max_bytes)
		return false;
	received = socket_received(pq);
	if (++run->reads == 1) {
		run->received_at_start = received;
		return false;
	}
	return received - run->received_at_start >
	       run->max_bytes * WIRE_BYTES_PER_JSON_BYTE + UNCOUNTED_BYTES_MAX;
}

static enum pg_run_state wait_for_more(struct pg_run *run, const PGconn *pq)
{
	if (!exceeds_limit_early(run, pq))
		return PG_RUN_WAIT;
	pg_run_fail(run, ERR_ANSWER_TOO_LARGE,
		    "the answer grows larger than %" G_GUINT64_FORMAT " bytes",
		    run->max_bytes);
	run->result.conn_usable = false;
	return finish(run);
}

/*
 * Processes the results that have arrived, within the limits of one iteration
 * of the loop.
 */
enum pg_run_state pg_run_read(struct pg_run *run, PGconn *pq)
{
	struct iteration it = { .start = run->rows.out->len };
	enum pg_run_state state;

	do {
		if (run->buffered_rows)
			state = take_buffered(run, &it);
		else if (PQisBusy(pq))
			return wait_for_more(run, pq);
		else
			state = take_next(run, pq);
	} while (state == PG_RUN_AGAIN && !iteration_is_over(&it, run));
	return state;
}
