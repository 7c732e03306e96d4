/*
 * Connections to servers. They are lent to a session for a statement or a
 * transaction, or carry a probe, and keep the values and prepared statements
 * of the last sessions, so that the next one with the same finds them there.
 */
#define LOG_MODULE "conn"
#include "relay_internal.h"

#include <celeryquay/base/log.h>

#include <string.h>

#define REFUSED_US (150 * USEC_PER_MSEC)
/* A home that lacks this configuration gets it within seconds. */
#define UNKNOWN_DATABASE_US (500 * USEC_PER_MSEC)
#define NEAR_FULL 2 /* free connections at a server that count as few */
#define FEW_CONNS 2
#define START_US (4 * USEC_PER_SEC)
#define QUIET_COUNTS_US (250 * USEC_PER_MSEC)
#define STUCK_US (200 * USEC_PER_MSEC)
#define STUCK_LATENCIES 6
#define UNCLAIMED_US (150 * USEC_PER_MSEC) /* a dropped answer is awaited */
#define SPARE_CLOSE_US (600 * USEC_PER_MSEC) /* when few are free */

/* Starts to open a connection of an account, or the proxy's own. */
struct rconn *rcn_open(struct rserver *s, const char *account, uint64_t now_us)
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

/* Frees a connection; the table of connections does it. */
void rcn_free(gpointer conn)
{
	struct rconn *c = conn;

	g_hash_table_destroy(c->values);
	g_hash_table_destroy(c->prepared);
	g_free(c->step_key);
	g_free(c->step_value);
	g_free(c->account);
	g_free(c);
}

/* Forgets a connection that is closed already, or is closed by this. */
static void forget(struct rconn *c)
{
	struct rserver *s = c->server;

	if (s->probing == c)
		s->probing = NULL;
	s->n_conns--;
	if (!s->n_conns)
		s->n_stuck = 0;
	if (c->state == RCONN_OPENING)
		g_queue_unlink(&s->opening, &c->link);
	if (c->state == RCONN_IDLE)
		g_queue_unlink(&s->idle, &c->link);
	if (c->step != STEP_NONE)
		s->n_busy--;
	rlm_forget(c);
	if (c->state == RCONN_LENT && c->step == STEP_CALLER)
		s->in_flight--;
	if (c->session)
		c->session->conn = NULL;
	g_hash_table_remove(s->relay->conns, &c->id);
}

/* Closes it; the session that has it is told nothing. */
void rcn_close(struct rconn *c)
{
	c->relay->ops->close(c->relay->ctx, c->id);
	forget(c);
}

/* Sends one statement; its answer or loss is the next event. */
void rcn_send(struct rconn *c, enum rstep step,
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
	rcl_on_sent(c->server);
	if (!statement->id.len)
		counter_add(c->relay->n_own, 1);
	c->relay->ops->send(c->relay->ctx, c->id, statement);
}

/* How many of the session's values the connection has not, or others. */
static unsigned differences(const struct rconn *c, const struct rsession *s)
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
 * Whose connection the session needs there. Between proxies a connection
 * carries all accounts' statements, each with its name.
 */
const char *rcn_account(const struct rserver *s, const struct rsession *session)
{
	if (s->service->peers || !s->relay->guards.own_connections)
		return "";
	return session->account;
}

static bool is_of(const struct rconn *c, const char *account)
{
	return !strcmp(c->account, account);
}

static bool has_one_of(const GQueue *conns, const char *account)
{
	GList *l;

	for (l = conns->head; l; l = l->next)
		if (is_of(l->data, account))
			return true;
	return false;
}

/* Whether an idle connection of the account is there. */
bool rcn_has_idle(const struct rserver *s, const char *account)
{
	return has_one_of(&s->idle, account);
}

/* Whether one of the account is being opened. */
bool rcn_is_opening(const struct rserver *s, const char *account)
{
	return has_one_of(&s->opening, account);
}

/* The idle connection that needs the least to serve the session, or NULL. */
struct rconn *rcn_take(struct rserver *s, const struct rsession *session)
{
	const char *account = rcn_account(s, session);
	struct rconn *best = NULL;
	unsigned least = 0;
	GList *l;

	for (l = s->idle.head; l; l = l->next) {
		unsigned n;

		if (!is_of(l->data, account))
			continue;
		n = differences(l->data, session);
		if (best && n >= least)
			continue;
		best = l->data;
		least = n;
		if (!n)
			break;
	}
	return best;
}

/*
 * With client accounts a proxy needs a connection for each of many accounts. If
 * all that start anew took what there is, the first ones would leave none to
 * the others until the servers forget the former lives.
 */
static bool takes_all(const struct rserver *s, uint64_t now_us)
{
	const struct relay *r = s->relay;

	return !r->settings.accounts && now_us < r->started_us + START_US;
}

/*
 * Whether one more may be opened: the server's limit holds for all proxies
 * together. Above half of it each keeps to its first ones, so that proxies
 * that start anew find room while the servers still count those of their
 * former lives; these take what there is.
 */
bool rcn_may_open(const struct rserver *s, uint64_t now_us)
{
	unsigned limit = s->service->max_connections;
	unsigned there = MAX(s->status.connections, s->n_conns);

	if (!rsv_is_up(s) || now_us < s->refused_until_us)
		return false;
	if (!limit || s->n_conns < s->relay->settings.warm_connections)
		return true;
	if (there + NEAR_FULL > limit)
		return false;
	if (takes_all(s, now_us))
		return true;
	return s->n_conns < FEW_CONNS + s->n_stuck || there * 2 < limit;
}

/*
 * Where no more connections may be opened, one account's is closed for
 * another's: the one that was not used for longest. False: there is none.
 */
bool rcn_make_room(struct rserver *s, bool close, uint64_t now_us)
{
	if (!s->relay->settings.accounts || s->service->peers ||
	    !s->idle.length || !rsv_is_up(s) || now_us < s->refused_until_us)
		return false;
	if (close)
		rcn_close(g_queue_peek_tail(&s->idle));
	return true;
}

/* The session has it from now on. */
void rcn_lend(struct rconn *c, struct rsession *session)
{
	g_queue_unlink(&c->server->idle, &c->link);
	c->state = RCONN_LENT;
	c->session = session;
	session->conn = c;
}

/*
 * The session needs it no more; an open transaction is rolled back first, in
 * the name of the caller's own statement if there is one.
 */
void rcn_roll_back(struct rconn *c, struct str id, uint64_t now_us)
{
	struct relay_statement st = { .verb = RELAY_ROLLBACK, .id = id };

	if (c->session) {
		c->session->conn = NULL;
		c->session = NULL;
	}
	if (c->step != STEP_NONE)
		return; /* its answer comes first */
	if (c->in_block)
		rcn_send(c, STEP_ROLLBACK, &st, USEC_PER_SEC, now_us);
	else
		rcn_give_back(c, now_us);
}

/* The session needs it no more. */
void rcn_give_back(struct rconn *c, uint64_t now_us)
{
	if (c->session || c->in_block) {
		rcn_roll_back(c, STR(""), now_us);
		return;
	}
	if (c->step != STEP_NONE)
		return;
	if (!rsv_is_wanted(c->server, now_us)) {
		rcn_close(c);
		return;
	}
	c->state = RCONN_IDLE;
	c->used_us = now_us;
	c->deadline_us = NEVER_US;
	g_queue_push_head_link(&c->server->idle, &c->link);
}

/*
 * Whether this proxy is to have connections to the server at all. One that is
 * listed for a service that no configuration names is nobody's.
 */
bool rcn_is_ours(const struct rserver *s)
{
	const struct rservice *v = s->service;

	return v->peers || (v->is_home && v->configured);
}

/* Closes the connections that nothing is in flight on. */
void rcn_close_idle(struct rserver *s)
{
	while (s->idle.head)
		rcn_close(s->idle.head->data);
}

static void close_spare(struct rserver *s, uint64_t now_us)
{
	const struct relay_settings *set = &s->relay->settings;
	uint64_t after_us = set->idle_close_us;
	struct rconn *c = g_queue_peek_tail(&s->idle);

	if (!c)
		return;
	if (s->service->max_connections &&
	    s->status.connections + NEAR_FULL >= s->service->max_connections)
		after_us = SPARE_CLOSE_US;
	if (!rsv_takes_work(s, now_us))
		after_us = 0;
	/* The last one shows that the process is the same, see server.c. */
	if (!rsv_is_wanted(s, now_us) || !rcn_is_ours(s) ||
	    (s->n_conns > set->warm_connections &&
	     now_us > c->used_us + after_us))
		rcn_close(c);
}

/* Closes spare connections and keeps the first ones warm. */
void rcn_tick(struct rserver *s, uint64_t now_us)
{
	close_spare(s, now_us);
	if (rcn_is_ours(s) && rsv_takes_work(s, now_us) && !s->opening.length &&
	    s->n_conns < s->relay->settings.warm_connections &&
	    rcn_may_open(s, now_us))
		rcn_open(s, "", now_us);
}

/*
 * The server was silent since its last answer; but for long before the probe
 * nothing may have been asked of it.
 */
static uint64_t silent_since_us(const struct rconn *c)
{
	uint64_t asked_us =
		c->sent_us > QUIET_COUNTS_US ? c->sent_us - QUIET_COUNTS_US : 0;

	return MAX(c->server->heard_us, asked_us);
}

/* A connection ended while something was in flight on it. */
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

static void expired(struct rconn *c, uint64_t now_us)
{
	struct rsession *session = c->session;
	struct rserver *s = c->server;

	log_ended(c, "connection-silent", now_us);
	if (c->step == STEP_CALLER)
		rol_on_lost(&s->outlier, now_us);
	counter_add(c->relay->n_lost, 1);
	if (s->probing == c)
		rsv_failed(s, false, silent_since_us(c));
	rsv_probe_soon(s);
	rlm_on_lost(c, now_us);
	rcn_close(c);
	rsv_conn_broke(s, now_us);
	if (session)
		rrun_on_lost(session, s, true, now_us);
}

/*
 * Whether its answer is so late that it is probably lost: it can't be counted
 * on, so that another may be opened in its place.
 */
static bool is_stuck(const struct rconn *c, uint64_t now_us)
{
	uint64_t after_us =
		MAX(STUCK_US, STUCK_LATENCIES * c->server->latency_us);

	return c->step == STEP_CALLER && now_us > c->sent_us + after_us;
}

/* Closes a connection whose answer is overdue. */
static void check_answer(struct rconn *c, uint64_t now_us)
{
	if (c->state == RCONN_OPENING || c->step == STEP_NONE)
		return;
	if (now_us >= c->deadline_us ||
	    (!c->session && is_stuck(c, now_us - UNCLAIMED_US)))
		expired(c, now_us);
	else if (is_stuck(c, now_us))
		c->server->n_stuck++;
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
 * Closes what is overdue. Failure: a connection falls silent for good while
 * new ones work. It shows as a statement without an answer. A connection with
 * such a statement is never used again, so that no late answer can reach
 * another caller.
 */
void rcn_expire(struct relay *r, uint64_t now_us)
{
	GPtrArray *list = list_conns(r);
	unsigned i;

	for (i = 0; i < list->len; i++)
		conn_at(list, i)->server->n_stuck = 0;
	/* One lent connection's end never closes another. */
	for (i = 0; i < list->len; i++)
		check_answer(conn_at(list, i), now_us);
	g_ptr_array_free(list, TRUE);
}

static void log_not_opened(const struct rserver *s,
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

/* The platform's word on an opening. */
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
					  UNKNOWN_DATABASE_US :
					  REFUSED_US);
		log_not_opened(s, answer);
		s->heard_us = now_us;
		forget(c);
		rrun_dispatch(r, now_us);
		return;
	}
	c->opened_us = now_us;
	rsv_conn_opened(s, now_us);
	rsv_heard(s, answer, c->sent_us, now_us);
	g_queue_unlink(&s->opening, &c->link);
	c->state = RCONN_LENT;
	rcn_give_back(c, now_us);
	rsv_tick(s, now_us);
	rlm_serve_all(r, now_us);
	rrun_dispatch(r, now_us);
}

/* What an answer to a caller's statement shows of its server's load. */
static void note_load(struct rconn *c, enum relay_code code, uint64_t took_us,
		      uint64_t now_us)
{
	struct rserver *s = c->server;
	const struct relay_profile *profile = NULL;

	s->latency_us = (s->latency_us * 7 + took_us) / 8;
	rmt_answered(s, took_us);
	if (s->service->peers)
		return;
	rol_on_answer(&s->outlier, code, now_us);
	if (c->session)
		profile = relay_catalog_profile(c->relay->catalog,
						c->session->database);
	if (profile)
		rcl_on_answer(s, took_us, profile->aim_us, code, now_us);
}

/* An answer to what a connection had in flight. */
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
		note_load(c, answer->code, now_us - sent_us, now_us);
	}
	rsv_conn_answered(s, c, sent_us);
	rsv_heard(s, answer, sent_us, now_us);
	if (step == STEP_STATUS || step == STEP_ORDER)
		rsv_probe_answered(c, answer, now_us);
	else if (step == STEP_TAKE)
		rlm_on_answer(c, answer, now_us);
	else
		rrun_on_answer(c, step, answer, now_us);
	rrun_dispatch(r, now_us);
}

/* A connection broke, or could not be opened. */
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
		rol_on_lost(&s->outlier, now_us);
	counter_add(r->n_lost, 1);
	if (opening)
		rsv_failed(s, refused, c->sent_us);
	else
		s->open_after_us = now_us;
	rsv_probe_soon(s);
	rlm_on_lost(c, now_us);
	forget(c);
	if (!opening)
		rsv_conn_broke(s, now_us);
	if (session)
		rrun_on_lost(session, s, false, now_us);
	rsv_tick(s, now_us);
	rlm_serve_all(r, now_us);
	rrun_dispatch(r, now_us);
}
