#define LOG_MODULE "pg"
#include "pg_table.h"

#include <celeryquay/base/log.h>
#include <openssl/ssl.h>
#include <stdio.h>
#include <string.h>

/*
 * TCP keep-alive detects an idle connection that a device on the path, such as
 * a firewall, has dropped from its table. Runs have their own timeout.
 */
#define KEEPALIVE_IDLE_S "10"
#define KEEPALIVE_INTERVAL_S "5"
#define KEEPALIVE_COUNT "3"
#define TCP_USER_TIMEOUT_MS "20000"

enum pg_conn_state {
	PG_CONN_OPENING,
	PG_CONN_IDLE,
	PG_CONN_RUNNING,
	PG_CONN_FAILED, /* the event follows in the loop's next iteration */
};

struct pg_conn {
	struct upstream *table;
	conn_id id;
	enum pg_conn_state state;
	PGconn *pq;
	SSL *ssl; /* NULL: no TLS */
	uv_poll_t *poll; /* NULL: no socket is watched */
	int poll_fd; /* descriptor that `poll` was created for */
	int poll_events; /* events being watched for; 0: stopped */
	uv_timer_t timer;
	uint64_t timer_due_at_us; /* when the timer fires; 0: stopped */
	uint64_t deadline_at_us; /* end of the timeout; 0: none */
	uint64_t timeout_us; /* timeout behind the deadline; for messages */
	struct pg_run *run; /* the run in progress; NULL: none */
	bool read_only; /* a READ ONLY transaction is open */
	GList link; /* in the table's queue of deferred connections */
	struct err err; /* error of a failed attempt to open */
};

static uint64_t now_us(void)
{
	return uv_hrtime() / 1000;
}

/* Returns the connection's link for the table's queue. */
GList *pg_conn_link(struct pg_conn *c)
{
	return &c->link;
}

/* Returns the id that the user chose. */
conn_id pg_conn_id(const struct pg_conn *c)
{
	return c->id;
}

/* Whether a run may be started. */
bool pg_conn_idle(const struct pg_conn *c)
{
	return c->state == PG_CONN_IDLE;
}

static void on_poll(uv_poll_t *poll, int status, int events);

static void free_poll(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * Must be called before libpq closes the socket or immediately afterwards.
 */
static void close_poll(struct pg_conn *c)
{
	if (!c->poll)
		return;
	uv_close((uv_handle_t *)c->poll, free_poll);
	c->poll = NULL;
	c->poll_events = 0;
}

static void stop_poll(struct pg_conn *c)
{
	if (c->poll && c->poll_events)
		uv_poll_stop(c->poll);
	c->poll_events = 0;
}

/*
 * Watches libpq's socket for the events. libpq may have replaced its socket
 * since the last call (a retry without TLS after an attempt with it), or may
 * have none: then false.
 */
static bool watch(struct pg_conn *c, int events)
{
	int fd = PQsocket(c->pq);

	if (c->poll && fd != c->poll_fd)
		close_poll(c);
	if (fd < 0)
		return false;
	if (!c->poll) {
		c->poll = g_new0(uv_poll_t, 1);
		if (uv_poll_init(pg_table_loop(c->table), c->poll, fd)) {
			g_free(c->poll);
			c->poll = NULL;
			return false;
		}
		c->poll->data = c;
		c->poll_fd = fd;
	}
	if (events != c->poll_events)
		uv_poll_start(c->poll, events, on_poll);
	c->poll_events = events;
	return true;
}

static void on_timer(uv_timer_t *timer);

/*
 * Arms the timer for the deadline unless it already fires earlier; on_timer()
 * then arms it again. Most runs end long before their deadline, so this saves
 * stopping and restarting the timer for each of them.
 */
static void arm_timer(struct pg_conn *c)
{
	uint64_t now = now_us();
	uint64_t remaining_us;

	if (c->timer_due_at_us && c->timer_due_at_us <= c->deadline_at_us)
		return;
	remaining_us = c->deadline_at_us > now ? c->deadline_at_us - now : 0;
	c->timer_due_at_us = c->deadline_at_us;
	uv_timer_start(&c->timer, on_timer,
		       (remaining_us + USEC_PER_MSEC - 1) / USEC_PER_MSEC, 0);
}

static void set_deadline(struct pg_conn *c, uint64_t timeout_us)
{
	c->timeout_us = timeout_us;
	c->deadline_at_us = timeout_us ? now_us() + timeout_us : 0;
	if (timeout_us)
		arm_timer(c);
}

static void finish_run(struct pg_conn *c)
{
	struct pg_run *run = c->run;

	c->run = NULL;
	c->deadline_at_us = 0;
	c->state = PG_CONN_IDLE;
	if (pg_run_result(run)->conn_usable) {
		c->read_only = pg_run_read_only(run) &&
			       PQtransactionStatus(c->pq) != PQTRANS_IDLE;
		watch(c, UV_READABLE);
	}
	pg_table_done(c->table, c, run);
}

static void report_idle_lost(struct pg_conn *c)
{
	struct str reason = pg_first_line(PQerrorMessage(c->pq));
	struct err err;

	err_set(&err, ERR_CONNECTION_LOST, "%.*s", (int)reason.len,
		reason.data);
	pg_table_lost(c->table, c, &err);
}

/*
 * OpenSSL may have buffered bytes that it has already read from the socket. The
 * socket does not become readable for them, so without this check the result
 * would not be read until the timeout.
 */
static bool tls_has_buffered(const struct pg_conn *c)
{
	return c->ssl && SSL_pending(c->ssl) > 0;
}

static void watch_for_more(struct pg_conn *c)
{
	if (c->poll_events)
		return;
	watch(c, PQflush(c->pq) ? UV_READABLE | UV_WRITABLE : UV_READABLE);
}

static void read_run(struct pg_conn *c)
{
	enum pg_run_state state = pg_run_read(c->run, c->pq);

	while (state == PG_RUN_WAIT && tls_has_buffered(c) &&
	       PQconsumeInput(c->pq))
		state = pg_run_read(c->run, c->pq);
	if (state == PG_RUN_AGAIN) {
		/* Reading on would only grow libpq's buffer. */
		stop_poll(c);
		pg_table_defer(c->table, c);
		return;
	}
	if (state == PG_RUN_WAIT && PQstatus(c->pq) == CONNECTION_OK) {
		watch_for_more(c);
		return;
	}
	if (state == PG_RUN_WAIT)
		pg_run_fail_lost(c->run, c->pq);
	finish_run(c);
}

static void read_idle(struct pg_conn *c)
{
	PGnotify *notify;

	/* Makes libpq parse the messages that belong to no run. */
	PQisBusy(c->pq);
	while ((notify = PQnotifies(c->pq)))
		PQfreemem(notify);
	if (PQstatus(c->pq) != CONNECTION_OK)
		report_idle_lost(c);
}

static void on_socket_ready(struct pg_conn *c, int events)
{
	if (events & UV_WRITABLE && PQflush(c->pq) == 0)
		watch(c, UV_READABLE);
	if (events & UV_READABLE)
		PQconsumeInput(c->pq);
	if (PQstatus(c->pq) != CONNECTION_OK)
		close_poll(c);
	if (c->state == PG_CONN_RUNNING)
		read_run(c);
	else
		read_idle(c);
}

static void open_failed(struct pg_conn *c)
{
	struct str reason = pg_first_line(PQerrorMessage(c->pq));

	err_set(&c->err, ERR_CONNECT_FAILED, "%.*s", (int)reason.len,
		reason.data);
	pg_table_open_failed(c->table, c, &c->err);
}

static void opened(struct pg_conn *c)
{
	if (PQsetnonblocking(c->pq, 1) || !PQenterPipelineMode(c->pq) ||
	    !watch(c, UV_READABLE)) {
		open_failed(c);
		return;
	}
	c->ssl = PQsslInUse(c->pq) ? PQgetssl(c->pq) : NULL;
	c->state = PG_CONN_IDLE;
	c->deadline_at_us = 0;
	pg_table_opened(c->table, c);
}

static void continue_opening(struct pg_conn *c)
{
	bool watched;

	/* libpq may close the socket and reuse its descriptor number. */
	stop_poll(c);
	switch (PQconnectPoll(c->pq)) {
	case PGRES_POLLING_OK:
		opened(c);
		return;
	case PGRES_POLLING_READING:
		watched = watch(c, UV_READABLE);
		break;
	case PGRES_POLLING_WRITING:
		watched = watch(c, UV_WRITABLE);
		break;
	default:
		watched = false;
		break;
	}
	if (!watched)
		open_failed(c);
}

static void on_poll(uv_poll_t *poll, int status, int events)
{
	struct pg_conn *c = poll->data;

	if (status < 0) {
		/* libuv has stopped the handle; libpq will find the error. */
		c->poll_events = 0;
		events = UV_READABLE;
	}
	if (c->state == PG_CONN_OPENING)
		continue_opening(c);
	else
		on_socket_ready(c, events);
}

static void on_timer(uv_timer_t *timer)
{
	struct pg_conn *c = timer->data;
	uint64_t ms = c->timeout_us / USEC_PER_MSEC;

	c->timer_due_at_us = 0;
	if (!c->deadline_at_us)
		return;
	if (c->deadline_at_us > now_us()) {
		arm_timer(c);
		return;
	}
	if (c->state == PG_CONN_OPENING) {
		err_set(&c->err, ERR_CONNECT_FAILED,
			"no connection within %" G_GUINT64_FORMAT " ms", ms);
		pg_table_open_failed(c->table, c, &c->err);
	} else if (c->state == PG_CONN_RUNNING) {
		/*
		 * The result may still arrive after the request has been
		 * answered with the timeout, so the connection must not be
		 * used again.
		 */
		pg_run_fail(c->run, ERR_TIMED_OUT,
			    "no answer within %" G_GUINT64_FORMAT " ms", ms);
		pg_run_result(c->run)->conn_usable = false;
		finish_run(c);
	}
}

/* Creates a connection that is not open yet. */
struct pg_conn *pg_conn_create(struct upstream *table, conn_id id)
{
	struct pg_conn *c = g_new0(struct pg_conn, 1);

	c->table = table;
	c->id = id;
	c->state = PG_CONN_FAILED;
	c->link.data = c;
	uv_timer_init(pg_table_loop(table), &c->timer);
	c->timer.data = c;
	return c;
}

static void free_conn(uv_handle_t *timer)
{
	g_free(timer->data);
}

/* Closes the connection in any state, without an event. */
void pg_conn_destroy(struct pg_conn *c)
{
	close_poll(c);
	PQfinish(c->pq);
	c->pq = NULL;
	pg_table_give_run(c->table, c->run);
	c->run = NULL;
	uv_close((uv_handle_t *)&c->timer, free_conn);
}

static void log_notice(void *arg, const PGresult *res)
{
	const struct pg_conn *c = arg;
	struct str text = pg_first_line(PQresultErrorMessage(res));

	LOG_DBG("connection %" G_GUINT64_FORMAT ": %.*s", c->id, (int)text.len,
		text.data);
}

static PGconn *start_connecting(const struct upstream_target *target)
{
	char port[8];
	const char *const pairs[][2] = {
		/*
		 * Both are set; otherwise libpq would take the missing one from
		 * its environment (PGHOST, PGHOSTADDR).
		 */
		{ "host", target->host },
		{ "hostaddr", target->host },
		{ "port", port },
		{ "user", target->user },
		{ "password", target->password },
		{ "dbname", target->dbname },
		{ "application_name", "celeryquay" },
		{ "client_encoding", "UTF8" },
		{ "target_session_attrs", "any" },
		/* GSSAPI blocks: it reads files and contacts other servers. */
		{ "gssencmode", "disable" },
		{ "keepalives", "1" },
		{ "keepalives_idle", KEEPALIVE_IDLE_S },
		{ "keepalives_interval", KEEPALIVE_INTERVAL_S },
		{ "keepalives_count", KEEPALIVE_COUNT },
		{ "tcp_user_timeout", TCP_USER_TIMEOUT_MS },
	};
	const char *keys[G_N_ELEMENTS(pairs) + 1] = { NULL };
	const char *values[G_N_ELEMENTS(pairs) + 1] = { NULL };
	size_t i;

	snprintf(port, sizeof(port), "%u", target->port);
	for (i = 0; i < G_N_ELEMENTS(pairs); i++) {
		keys[i] = pairs[i][0];
		values[i] = pairs[i][1];
	}
	return PQconnectStartParams(keys, values, 0);
}

/* Starts opening the connection; the `opened` event gives the outcome. */
void pg_conn_open(struct pg_conn *c, const struct upstream_target *target,
		  uint64_t timeout_us)
{
	c->pq = start_connecting(target);
	c->state = PG_CONN_OPENING;
	if (PQstatus(c->pq) == CONNECTION_BAD || !watch(c, UV_WRITABLE)) {
		struct str reason = pg_first_line(PQerrorMessage(c->pq));

		c->state = PG_CONN_FAILED;
		err_set(&c->err, ERR_CONNECT_FAILED, "%.*s", (int)reason.len,
			reason.data);
		pg_table_defer(c->table, c);
		return;
	}
	PQsetNoticeReceiver(c->pq, log_notice, c);
	/* Includes the SQLSTATE in the error text of a refused connection. */
	PQsetErrorVerbosity(c->pq, PQERRORS_VERBOSE);
	set_deadline(c, timeout_us);
}

/*
 * Starts a run on an idle connection, or on one that was never opened: that run
 * fails with CONNECTION_LOST.
 */
void pg_conn_run(struct pg_conn *c, const struct upstream_step *steps,
		 unsigned n_steps, uint64_t max_bytes, uint64_t timeout_us)
{
	bool sent;

	c->run = pg_table_take_run(c->table);
	sent = pg_run_send(c->run, c->pq, pg_table_params(c->table), steps,
			   n_steps, max_bytes, c->read_only);
	if (!sent) {
		close_poll(c);
		c->state = PG_CONN_FAILED;
		pg_table_defer(c->table, c);
		return;
	}
	c->state = PG_CONN_RUNNING;
	if (PQflush(c->pq))
		watch(c, UV_READABLE | UV_WRITABLE);
	set_deadline(c, timeout_us);
}

/* Continues the work deferred by the loop's previous iteration. */
void pg_conn_resume(struct pg_conn *c)
{
	if (c->state == PG_CONN_RUNNING)
		read_run(c);
	else if (c->run)
		finish_run(c);
	else
		pg_table_open_failed(c->table, c, &c->err);
}
