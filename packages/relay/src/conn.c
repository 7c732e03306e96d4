/*
 * The pool of connections to servers. A connection is assigned to a session
 * for a statement or a transaction, or carries a probe. It keeps the values
 * and prepared statements of earlier sessions, so that a session with the same
 * ones need not send them again.
 */
#define LOG_MODULE "conn"
#include "connlimit.h"
#include "scheduler.h"
#include "wait.h"

#include <celeryquay/base/log.h>

#include <string.h>

/* No connection is opened for this time after the server refused one. */
#define REFUSED_BACKOFF_US (150 * USEC_PER_MSEC)
/* The same where a home doesn't know the database yet; it will in seconds. */
#define UNKNOWN_DATABASE_BACKOFF_US (500 * USEC_PER_MSEC)
/* Silence from before a request counts for this long at most. */
#define MAX_PRIOR_SILENCE_US (250 * USEC_PER_MSEC)
/*
 * An answer is probably lost after this time, or this multiple of the server's
 * smoothed latency, whichever is longer.
 */
#define STUCK_MIN_US (200 * USEC_PER_MSEC)
#define STUCK_LATENCIES 6
/*
 * A server has probably run a statement after this time, or this multiple of
 * its smoothed latency, which 99 in 100 statements take less than.
 */
#define OVERDUE_MIN_US (60 * USEC_PER_MSEC)
#define OVERDUE_LATENCIES 4
/* How much longer an answer that no session waits for any more may take. */
#define ABANDONED_ANSWER_US (150 * USEC_PER_MSEC)

/* Starts to open a connection for an account; "": for the proxy itself. */
struct rconn *rconn_open(struct rserver *s, const char *account,
			 uint64_t now_us)
{
	struct rconn *c = g_new0(struct rconn, 1);

	c->id = ++s->relay->next_conn;
	c->relay = s->relay;
	c->server = s;
	c->account = g_strdup(account);
	c->state = RCONN_OPENING;
	c->sent_us = now_us;
	c->deadline_us = NEVER_US;
	c->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->link.data = c;
	s->n_conns++;
	g_queue_push_tail_link(&s->opening, &c->link);
	g_hash_table_insert(s->relay->conns, &c->id, c);
	counter_add(s->relay->n_opened, 1);
	s->relay->ops->open(s->relay->ctx, c->id, &s->info, c->account);
	return c;
}

/* Frees a connection; called by the hash table of connections. */
void rconn_free(gpointer conn)
{
	struct rconn *c = conn;

	g_hash_table_destroy(c->values);
	g_hash_table_destroy(c->prepared);
	g_free(c->step_key);
	g_free(c->step_value);
	g_free(c->account);
	g_free(c);
}

/* Removes a connection that is closed, or is being closed, from all tables. */
static void remove_conn(struct rconn *c)
{
	struct rserver *s = c->server;

	if (s->probing == c)
		s->probing = NULL;
	s->n_conns--;
	if (!s->n_conns)
		s->n_stuck = s->n_overdue = 0;
	if (c->state == RCONN_OPENING)
		g_queue_unlink(&s->opening, &c->link);
	if (c->state == RCONN_IDLE)
		g_queue_unlink(&s->idle, &c->link);
	if (c->step != STEP_NONE)
		s->n_busy--;
	rlimit_on_closing(c);
	if (c->state == RCONN_IN_USE && c->step == STEP_CALLER)
		s->in_flight--;
	if (c->session)
		c->session->conn = NULL;
	g_hash_table_remove(s->relay->conns, &c->id);
}

/* Closes a connection; its session, if any, is not notified. */
void rconn_close(struct rconn *c)
{
	c->relay->ops->close(c->relay->ctx, c->id);
	remove_conn(c);
}

/* Sends one statement. The connection is busy until its answer or loss. */
void rconn_send(struct rconn *c, enum rstep step,
		const struct relay_statement *statement, uint64_t timeout_us,
		uint64_t now_us)
{
	if (c->step == STEP_NONE)
		c->server->n_busy++;
	c->step = step;
	c->sent_us = now_us;
	c->deadline_us = now_us + timeout_us;
	if (step == STEP_CALLER)
		c->server->in_flight++;
	inflight_on_sent(c->server);
	if (!statement->id.len)
		counter_add(c->relay->n_own, 1);
	c->relay->ops->send(c->relay->ctx, c->id, statement);
}

/* The number of values in which the connection and the session differ. */
static unsigned count_differences(const struct rconn *c,
				  const struct rsession *s)
{
	unsigned n_same = 0, n = g_hash_table_size(c->values);
	GHashTableIter iter;
	gpointer key, value;

	if (!n && !g_hash_table_size(s->values))
		return 0;
	g_hash_table_iter_init(&iter, s->values);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const char *has = g_hash_table_lookup(c->values, key);

		if (has && !strcmp(has, value))
			n_same++;
	}
	return g_hash_table_size(s->values) - n_same + (n - n_same);
}

/*
 * The account whose connection to the server the session needs; empty: any.
 * A connection between proxies carries all accounts' statements, each with its
 * account's name.
 */
const char *rconn_account(const struct rserver *s,
			  const struct rsession *session)
{
	if (s->service->peers || !s->relay->guards.own_connections)
		return "";
	return session->account;
}

static bool belongs_to(const struct rconn *c, const char *account)
{
	return !strcmp(c->account, account);
}

static bool has_conn_of(const GQueue *conns, const char *account)
{
	GList *l;

	for (l = conns->head; l; l = l->next)
		if (belongs_to(l->data, account))
			return true;
	return false;
}

/* Whether the server has an idle connection of the account. */
bool rconn_has_idle(const struct rserver *s, const char *account)
{
	return has_conn_of(&s->idle, account);
}

/* Whether a connection of the account is being opened. */
bool rconn_is_opening(const struct rserver *s, const char *account)
{
	return has_conn_of(&s->opening, account);
}

/* The idle connection whose values differ least from the session's, or NULL. */
struct rconn *rconn_find_idle(struct rserver *s, const struct rsession *session)
{
	const char *account = rconn_account(s, session);
	struct rconn *best = NULL;
	unsigned least = 0;
	GList *l;

	for (l = s->idle.head; l; l = l->next) {
		unsigned n;

		if (!belongs_to(l->data, account))
			continue;
		n = count_differences(l->data, session);
		if (best && n >= least)
			continue;
		best = l->data;
		least = n;
		if (!n)
			break;
	}
	return best;
}

/* Assigns an idle connection to the session. */
void rconn_assign(struct rconn *c, struct rsession *session)
{
	g_queue_unlink(&c->server->idle, &c->link);
	c->state = RCONN_IN_USE;
	c->session = session;
	session->conn = c;
}

/*
 * Takes the connection from its session and makes it idle, after the rollback
 * of an open transaction. `id` is the id of the caller's ROLLBACK; empty: the
 * rollback is the relay's own.
 */
void rconn_roll_back(struct rconn *c, struct str id, uint64_t now_us)
{
	struct relay_statement st = { .verb = RELAY_ROLLBACK, .id = id };

	if (c->session) {
		c->session->conn = NULL;
		c->session = NULL;
	}
	if (c->step != STEP_NONE)
		return; /* wait for the answer in flight */
	if (c->in_block)
		rconn_send(c, STEP_ROLLBACK, &st, USEC_PER_SEC, now_us);
	else
		rconn_release(c, now_us);
}

/* Takes the connection from its session and makes it idle or closes it. */
void rconn_release(struct rconn *c, uint64_t now_us)
{
	if (c->session || c->in_block) {
		rconn_roll_back(c, STR(""), now_us);
		return;
	}
	if (c->step != STEP_NONE)
		return;
	if (!rserver_keeps_conns(c->server, now_us)) {
		rconn_close(c);
		return;
	}
	c->state = RCONN_IDLE;
	c->used_us = now_us;
	c->deadline_us = NEVER_US;
	g_queue_push_head_link(&c->server->idle, &c->link);
}

/*
 * Whether this proxy keeps connections to the server at all. No proxy does if
 * the server is listed for a service that is in no configuration.
 */
bool rconn_is_wanted(const struct rserver *s)
{
	const struct rservice *v = s->service;

	return v->peers || (v->is_home && v->configured);
}

/* Closes all idle connections to the server. */
void rconn_close_idle(struct rserver *s)
{
	while (s->idle.head)
		rconn_close(s->idle.head->data);
}

static void close_spare(struct rserver *s, uint64_t now_us)
{
	const struct relay_settings *set = &s->relay->settings;
	uint64_t after_us = connlimit_idle_close_us(s, now_us);
	struct rconn *c = g_queue_peek_tail(&s->idle);

	if (!c)
		return;
	if (!rserver_takes_work(s, now_us))
		after_us = 0;
	/* The last one proves that the server did not restart, see server.c. */
	if (!rserver_keeps_conns(s, now_us) || !rconn_is_wanted(s) ||
	    (s->n_conns > set->warm_connections &&
	     now_us > c->used_us + after_us))
		rconn_close(c);
}

/* Closes spare connections and keeps the configured number open. */
void rconn_tick(struct rserver *s, uint64_t now_us)
{
	close_spare(s, now_us);
	if (rconn_is_wanted(s) && rserver_takes_work(s, now_us) &&
	    !s->opening.length &&
	    s->n_conns < s->relay->settings.warm_connections &&
	    connlimit_may_open(s, now_us))
		rconn_open(s, "", now_us);
}

/*
 * Since when the server counts as silent: since its last answer, but not for
 * longer than MAX_PRIOR_SILENCE_US before the request, since nothing may have
 * been sent to it for long before that.
 */
static uint64_t silent_since_us(const struct rconn *c)
{
	uint64_t asked_us = c->sent_us > MAX_PRIOR_SILENCE_US ?
				    c->sent_us - MAX_PRIOR_SILENCE_US :
				    0;

	return MAX(c->server->heard_us, asked_us);
}

/* Logs the end of a connection that was in use. */
static void log_ended(const struct rconn *c, const char *event, uint64_t now_us)
{
	struct log_line *l;

	if (c->step == STEP_NONE && !c->session)
		return;
	l = log_event(LOG_FAILURE, event);
	if (!l)
		return;
	log_str(l, "id",
		c->session ? str_from_gstring(c->session->run.id) : STR(""));
	log_cstr(l, "service", c->server->service->name);
	log_cstr(l, "server", c->server->info.id);
	log_u64(l, "connection", c->id);
	log_bool(l, "in_flight", c->step != STEP_NONE);
	log_u64(l, "sent_ms_ago", (now_us - c->sent_us) / USEC_PER_MSEC);
	log_event_end(l);
}

static void on_timeout(struct rconn *c, uint64_t now_us)
{
	struct rsession *session = c->session;
	struct rserver *s = c->server;

	log_ended(c, "connection-silent", now_us);
	if (c->step == STEP_CALLER)
		routlier_on_lost(&s->outlier, now_us);
	counter_add(c->relay->n_lost, 1);
	if (s->probing == c)
		rserver_on_failure(s, false, silent_since_us(c));
	rserver_probe_soon(s);
	rlimit_on_lost(c, now_us);
	rconn_close(c);
	rserver_on_conn_broke(s, now_us);
	if (session)
		rrun_on_lost(session, s, true, now_us);
}

/*
 * Whether the answer is so late that it is probably lost. Another connection
 * may be opened in place of such a one.
 */
static bool is_stuck(const struct rconn *c, uint64_t now_us)
{
	uint64_t after_us =
		MAX(STUCK_MIN_US, STUCK_LATENCIES * c->server->latency_us);

	return c->step == STEP_CALLER && now_us > c->sent_us + after_us;
}

/*
 * Whether a server that keeps no queue has run the statement by now. It is
 * still waited for, but no longer keeps others from the server: where a part of
 * the answers is lost, these would soon take up all that may be in flight.
 */
static bool is_overdue(const struct rconn *c, uint64_t now_us)
{
	uint64_t after_us =
		MAX(OVERDUE_MIN_US, OVERDUE_LATENCIES * c->server->latency_us);

	return now_us > c->sent_us + after_us;
}

/* Closes a connection whose answer is overdue. */
static void check_answer(struct rconn *c, uint64_t now_us)
{
	if (c->state == RCONN_OPENING || c->step == STEP_NONE)
		return;
	if (now_us >= c->deadline_us ||
	    (!c->session && is_stuck(c, now_us - ABANDONED_ANSWER_US)))
		on_timeout(c, now_us);
	else {
		c->server->n_stuck += is_stuck(c, now_us);
		c->server->n_overdue += is_overdue(c, now_us);
	}
}

static struct rconn *conn_at(const GPtrArray *list, unsigned i)
{
	return g_ptr_array_index(list, i);
}

static GPtrArray *list_conns(struct relay *r)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	return list;
}

/*
 * Closes connections whose answer is overdue. A single connection can stop
 * delivering data while new ones work, and its statement then gets no answer.
 * Such a connection is never used again, so that no late answer can reach
 * another caller.
 */
void rconn_expire(struct relay *r, uint64_t now_us)
{
	GPtrArray *list = list_conns(r);
	unsigned i;

	for (i = 0; i < list->len; i++) {
		conn_at(list, i)->server->n_stuck = 0;
		conn_at(list, i)->server->n_overdue = 0;
	}
	/* The list stays valid: closing one connection closes no other. */
	for (i = 0; i < list->len; i++)
		check_answer(conn_at(list, i), now_us);
	g_ptr_array_free(list, TRUE);
}

static void log_open_refused(const struct rserver *s,
			     const struct relay_answer *answer)
{
	struct log_line *l = log_event(LOG_FAILURE, "connection-refused");

	if (!l)
		return;
	log_cstr(l, "service", s->service->name);
	log_cstr(l, "server", s->info.id);
	log_cstr(l, "code", relay_code_info(answer->code)->name);
	log_str(l, "why", answer->text);
	log_u64(l, "own", s->n_conns);
	log_u64(l, "of_all", s->status.connections);
	log_u64(l, "limit", s->service->max_connections);
	log_event_end(l);
}

/* Handles the platform's answer to the opening of a connection. */
void relay_conn_opened(struct relay *r, uint64_t conn,
		       const struct relay_answer *answer, uint64_t now_us)
{
	struct rconn *c = g_hash_table_lookup(r->conns, &conn);
	struct rserver *s;

	if (!c)
		return;
	s = c->server;
	if (answer->code != RELAY_OK) {
		if (answer->code == RELAY_MOVED)
			s->moved = true;
		s->refused_until_us =
			now_us + (answer->code == RELAY_NO_DATABASE ?
					  UNKNOWN_DATABASE_BACKOFF_US :
					  REFUSED_BACKOFF_US);
		log_open_refused(s, answer);
		s->heard_us = now_us;
		remove_conn(c);
		if (answer->code == RELAY_TOO_MANY)
			connlimit_on_full(s);
		rwait_dispatch(r, now_us);
		return;
	}
	c->opened_us = now_us;
	rserver_on_conn_opened(s, now_us);
	rserver_on_answer(s, answer, c->sent_us, now_us);
	g_queue_unlink(&s->opening, &c->link);
	c->state = RCONN_IN_USE;
	rconn_release(c, now_us);
	rserver_tick(s, now_us);
	rlimit_request_all(r, now_us);
	rwait_dispatch(r, now_us);
}

/* Updates the server's load figures from an answer to a caller's statement. */
static void record_load(struct rconn *c, enum relay_code code, uint64_t took_us,
			uint64_t now_us)
{
	struct rserver *s = c->server;
	const struct relay_profile *profile = NULL;

	s->latency_us = (s->latency_us * 7 + took_us) / 8;
	rmetrics_answered(s, took_us);
	if (s->service->peers)
		return;
	routlier_on_answer(&s->outlier, code, now_us);
	if (c->session)
		rsched_on_answer(c->session, s, code, took_us, now_us);
	if (c->session)
		profile = relay_catalog_profile(c->relay->catalog,
						c->session->database);
	if (profile)
		inflight_on_answer(s, took_us, profile->target_latency_us, code,
				   now_us);
}

/* Handles the answer to a connection's request in flight. */
void relay_conn_answer(struct relay *r, uint64_t conn,
		       const struct relay_answer *answer, uint64_t now_us)
{
	struct rconn *c = g_hash_table_lookup(r->conns, &conn);
	struct rserver *s;
	enum rstep step;
	uint64_t sent_us;

	if (!c || c->step == STEP_NONE)
		return;
	s = c->server;
	step = c->step;
	sent_us = c->sent_us;
	c->step = STEP_NONE;
	s->n_busy--;
	if (step == STEP_CALLER) {
		s->in_flight--;
		record_load(c, answer->code, now_us - sent_us, now_us);
	}
	rserver_on_conn_answered(s, c, sent_us);
	rserver_on_answer(s, answer, sent_us, now_us);
	if (step == STEP_STATUS || step == STEP_ORDER)
		rserver_on_probe_answered(c, answer, now_us);
	else if (step == STEP_TAKE)
		rlimit_on_answer(c, answer, now_us);
	else
		rrun_on_answer(c, step, answer, now_us);
	rwait_dispatch(r, now_us);
}

/* Handles a connection that broke or could not be opened. */
void relay_conn_lost(struct relay *r, uint64_t conn, bool refused,
		     uint64_t now_us)
{
	struct rconn *c = g_hash_table_lookup(r->conns, &conn);
	struct rsession *session;
	struct rserver *s;
	bool opening;

	if (!c)
		return;
	s = c->server;
	session = c->session;
	opening = c->state == RCONN_OPENING;
	log_ended(c, "connection-lost", now_us);
	if (c->step == STEP_CALLER)
		routlier_on_lost(&s->outlier, now_us);
	counter_add(r->n_lost, 1);
	if (opening)
		rserver_on_failure(s, refused, c->sent_us);
	else
		s->open_after_us = now_us;
	rserver_probe_soon(s);
	rlimit_on_lost(c, now_us);
	remove_conn(c);
	if (!opening)
		rserver_on_conn_broke(s, now_us);
	if (session)
		rrun_on_lost(session, s, false, now_us);
	rserver_tick(s, now_us);
	rlimit_request_all(r, now_us);
	rwait_dispatch(r, now_us);
}
