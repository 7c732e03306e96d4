#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>
#include <string.h>

#define OPEN_TIMEOUT_US (1 * USEC_PER_SEC)
#define OPEN_BACKOFF_MIN_US (20 * USEC_PER_MSEC)
#define OPEN_BACKOFF_MAX_US (1 * USEC_PER_SEC)
#define CLEANUP_TIMEOUT_US (1 * USEC_PER_SEC)
/* For the statement that checks an idle connection. */
#define IDLE_CHECK_TIMEOUT_US (300 * USEC_PER_MSEC)
/* For the creation of the outcome table. */
#define PREPARE_TIMEOUT_US (2 * USEC_PER_SEC)
/* The number of steps before its COMMIT: BEGIN and CREATE TABLE. */
#define PREPARE_COMMIT_STEP 2
/* The least time between two creations of the outcome table. */
#define PREPARE_RETRY_US (100 * USEC_PER_MSEC)
/* An idle connection that answered less than this ago needs no check. */
#define IDLE_CHECK_AFTER_US (2 * USEC_PER_SEC)
/* Connections per server that run no requests: probe and long poll. */
#define CONTROL_CONNS 2
/*
 * Connections beyond the slots: for settling, for the removal of outcomes, and
 * to replace those whose session state is being reset.
 */
#define SPARE_CONNS 1

/* Copies the values of the configuration, except name and index. */
void server_configure(struct server *s, const struct server_conf *conf)
{
	g_free(s->host);
	s->host = g_strdup(conf->host);
	s->port = conf->port;
	s->slots = MAX(conf->slots, 1);
	s->connections = conf->connections;
	s->leaving = conf->leaving;
	admit_set_slots(s->admit, server_slots(s));
}

/* Creates a server; it opens no connections. */
struct server *server_create(struct group *g, const struct server_conf *conf)
{
	struct server *s = g_new0(struct server, 1);

	s->group = g;
	s->name = g_strdup(conf->name);
	s->index = -1;
	s->admit = admit_create(1);
	g_queue_init(&s->work_conns);
	g_queue_init(&s->calls);
	server_configure(s, conf);
	return s;
}

/* Frees the server; its connections must be closed before. */
void server_destroy(struct server *s)
{
	g_queue_clear_full(&s->calls, g_free);
	admit_destroy(s->admit);
	g_free(s->status_json);
	g_free(s->name);
	g_free(s->host);
	g_free(s);
}

/* The connection parameters; valid until the server is reconfigured. */
struct upstream_target server_target(const struct server *s)
{
	return (struct upstream_target){
		.host = s->host,
		.port = s->port,
		.user = s->group->user,
		.password = s->group->settings.password,
		.dbname = s->group->dbname,
	};
}

/*
 * The number of connections that this home may open to the server. The homes
 * share equally what remains without the reserve; only the first home, which
 * takes over after a failure, may use the reserve too. So all homes together
 * stay within the server's limit.
 */
static unsigned conn_limit_share(const struct server *s)
{
	const struct group *g = s->group;
	unsigned homes = MAX(g->settings.homes, 1);
	unsigned open = s->connections - MIN(s->connections, g->reserve);
	unsigned part = open / homes;

	return g->rank ? part : part + MIN(s->connections, g->reserve);
}

/* Whether the share leaves room for a long-poll connection. */
bool server_may_long_poll(const struct server *s)
{
	return conn_limit_share(s) > CONTROL_CONNS;
}

/* The most connections for statements that the home may open here. */
static unsigned max_work_conns(const struct server *s)
{
	unsigned share = conn_limit_share(s);

	if (!server_may_long_poll(s))
		return 1;
	return MIN(share - CONTROL_CONNS, s->slots + SPARE_CONNS);
}

/*
 * How many requests run at once: the configured slots, or fewer if there are
 * not enough connections.
 */
unsigned server_slots(const struct server *s)
{
	unsigned conns = max_work_conns(s);

	return MAX(1, MIN(s->slots, conns > 1 ? conns - SPARE_CONNS : 1));
}

/* How many are kept open when idle; homes other than the first keep one. */
static unsigned warm_conns(const struct server *s)
{
	if (s->removed || s->index < 0 || !group_is_home(s->group))
		return 0;
	return s->group->rank ? 1 : max_work_conns(s);
}

/* Whether the server answered recently enough to be taken for alive. */
bool server_is_up(const struct server *s, uint64_t now_us)
{
	const struct group_settings *set = &s->group->settings;
	uint64_t wait_limit_us =
		2 * set->probe_interval_us + set->failover.call_timeout_us;

	return s->index >= 0 && s->heard_us &&
	       now_us < s->heard_us + wait_limit_us;
}

/* Records that the server answered what was sent at started_us. */
void server_mark_alive(struct server *s, uint64_t started_us, uint64_t now_us)
{
	s->heard_us = now_us;
	if (s->index >= 0)
		failover_on_alive(s->group->failover, (unsigned)s->index,
				  started_us);
}

static bool may_open(const struct server *s, uint64_t now_us)
{
	return s->work_conns.length < max_work_conns(s) && !s->removed &&
	       s->index >= 0 && now_us >= s->open_after_us;
}

static void open_work(struct server *s, uint64_t now_us)
{
	struct upstream_target target = server_target(s);
	struct conn *c = conn_pool_open(s->group->conns, s, CONN_WORK, &target,
					OPEN_TIMEOUT_US, now_us);

	g_queue_push_tail_link(&s->work_conns, &c->link);
}

/* How many connections for statements are being opened. */
static unsigned count_opening(const struct server *s)
{
	unsigned n = 0;
	GList *l;

	for (l = s->work_conns.head; l; l = l->next)
		n += ((struct conn *)l->data)->state == CONN_OPENING;
	return n;
}

static void on_checked(void *user, struct conn *c,
		       struct upstream_result *result, uint64_t now_us)
{
	struct server *s = user;

	if (!result->conn_usable)
		return;
	server_mark_alive(s, c->started_us, now_us);
	c->suspect = false;
	server_release_conn(c, now_us);
}

/*
 * Sends a cheap statement on a connection that was idle for a while. Something
 * between the two ends, such as a firewall, may have dropped the connection
 * without notice, and a request sent on it would find out only at its deadline.
 */
static void check(struct conn *c, uint64_t now_us)
{
	conn_begin(c);
	conn_add_step(c, SQL_CHECK, false);
	conn_send(c, 0, IDLE_CHECK_TIMEOUT_US, on_checked, c->server, now_us);
}

/*
 * Returns an idle connection, preferring the one used last; NULL if none is
 * ready. In that case suspect ones are being checked, or one more is being
 * opened if the limit allows it.
 */
struct conn *server_acquire_conn(struct server *s, uint64_t now_us)
{
	GList *l, *next;

	for (l = s->work_conns.head; l; l = next) {
		struct conn *c = l->data;

		next = l->next;
		if (c->state != CONN_IDLE || c->pinned)
			continue;
		if (now_us >= c->heard_us + IDLE_CHECK_AFTER_US)
			c->suspect = true;
		if (!c->suspect)
			return c;
		check(c, now_us);
	}
	if (may_open(s, now_us) && !count_opening(s))
		open_work(s, now_us);
	return NULL;
}

static void on_cleaned(void *user, struct conn *c,
		       struct upstream_result *result, uint64_t now_us)
{
	struct server *s = user;

	if (!result->conn_usable)
		return;
	server_mark_alive(s, c->started_us, now_us);
	if (result->err.code) {
		conn_close(c);
		return;
	}
	if (c->in_block)
		c->in_block = false;
	else
		c->dirty = false;
	server_release_conn(c, now_us);
}

/*
 * Returns a connection to the pool after its use. Before it can be used again,
 * an open transaction block is rolled back and session state is discarded, so
 * that neither reaches the next caller. A connection on which that fails is
 * closed.
 */
void server_release_conn(struct conn *c, uint64_t now_us)
{
	struct server *s = c->server;
	bool clean = s->group->guards.clean_state;

	c->pinned = false;
	if (s->removed || s->index < 0 || !group_is_home(s->group)) {
		conn_close(c);
		return;
	}
	if (clean && (c->in_block || c->dirty)) {
		conn_begin(c);
		conn_add_step(c, c->in_block ? SQL_ROLLBACK : SQL_DISCARD,
			      false);
		conn_send(c, 0, CLEANUP_TIMEOUT_US, on_cleaned, s, now_us);
		return;
	}
	c->in_block = c->dirty = false;
	g_queue_unlink(&s->work_conns, &c->link);
	g_queue_push_head_link(&s->work_conns, &c->link);
	s->group->again = true;
}

/*
 * Records the commit position after a transaction of the proxy's own. False:
 * it is not known, and the connection must be closed. This is the case if the
 * COMMIT was done and the step after it failed. A caller's write on such a
 * connection would be reported as split, as the connection's last commit would
 * differ from the recorded one.
 */
bool server_record_commit(struct conn *c, const struct upstream_result *result)
{
	if (result->err.code || !result->last_step_row ||
	    !position_parse(str_from_c(result->last_step_row[0]), &c->commit))
		return false;
	c->in_block = false;
	return true;
}

static void on_prepared(void *user, struct conn *c,
			struct upstream_result *result, uint64_t now_us)
{
	struct server *s = user;
	const struct server_status *st;
	bool commit_known;

	s->preparing = false;
	s->prepare_retry_at_us = now_us + PREPARE_RETRY_US;
	if (!result->conn_usable)
		return;
	server_mark_alive(s, c->started_us, now_us);
	st = s->index < 0 ? NULL :
			    fresh_status(s->group->fresh, (unsigned)s->index);
	commit_known = server_record_commit(c, result);
	if (commit_known && st) {
		s->outcome_table_term = st->term;
		s->group->news = true;
	} else {
		LOG_WARN("%s: no outcome table at %s: %s", s->group->label,
			 s->name, result->err.message);
	}
	if (commit_known || result->steps_done < PREPARE_COMMIT_STEP)
		server_release_conn(c, now_us);
	else
		conn_close(c);
}

/* Creates the outcome table if it is missing; once per server and term. */
void server_ensure_outcome_table(struct server *s, uint64_t now_us)
{
	struct conn *c;

	if (s->preparing || now_us < s->prepare_retry_at_us)
		return;
	c = server_acquire_conn(s, now_us);
	if (!c)
		return;
	s->preparing = true;
	c->in_block = true;
	conn_begin(c);
	conn_add_step(c, SQL_BEGIN, false);
	conn_add_step(c, SQL_OUTCOME_CREATE, false);
	conn_add_step(c, SQL_COMMIT, false);
	conn_add_step(c, SQL_COMMIT_POSITION, false);
	conn_send(c, 0, PREPARE_TIMEOUT_US, on_prepared, s, now_us);
}

/* Closes idle connections beyond the number that may be kept. */
static void close_surplus(struct server *s)
{
	bool in_use = !s->removed && group_is_home(s->group);
	unsigned keep = in_use ? max_work_conns(s) : 0;
	GList *l, *prev;

	for (l = s->work_conns.tail; l && s->work_conns.length > keep;
	     l = prev) {
		struct conn *c = l->data;

		prev = l->prev;
		if (c->state == CONN_IDLE && !c->pinned)
			conn_close(c);
	}
}

/* Keeps idle connections open, to spare requests the time of an opening. */
void server_tick(struct server *s, uint64_t now_us)
{
	close_surplus(s);
	while (s->work_conns.length < warm_conns(s) && may_open(s, now_us))
		open_work(s, now_us);
}

/* When server_tick() has a connection to open; UINT64_MAX: never. */
uint64_t server_next_us(const struct server *s)
{
	if (s->work_conns.length >= warm_conns(s))
		return UINT64_MAX;
	return s->open_after_us;
}

/*
 * Closes idle connections and the control connections of a server that was
 * removed or of which this proxy is no home any more.
 */
void server_close_unused(struct server *s)
{
	close_surplus(s);
	if (s->probe)
		conn_close(s->probe);
	if (s->long_poll)
		conn_close(s->long_poll);
}

static void back_off(struct server *s, uint64_t now_us)
{
	uint64_t wait_us = MAX(s->open_backoff_us, OPEN_BACKOFF_MIN_US);

	s->open_after_us = now_us + wait_us;
	s->open_backoff_us = MIN(2 * wait_us, OPEN_BACKOFF_MAX_US);
}

static void on_opened(void *ctx, struct conn *c, const struct err *err,
		      uint64_t now_us)
{
	struct group *g = ctx;
	struct server *s = c->server;

	if (c->role == CONN_PROBE) {
		probe_on_opened(s, err, now_us);
		return;
	}
	if (err) {
		LOG_DBG("%s: no connection to %s: %s", g->label, s->name,
			err->message);
		back_off(s, now_us);
		return;
	}
	s->open_backoff_us = 0;
	g->counts.conns_opened++;
	g->again = true;
}

static void on_lost(void *ctx, struct conn *c, const struct err *err,
		    uint64_t now_us)
{
	struct group *g = ctx;

	LOG_DBG("%s: connection to %s lost: %s", g->label, c->server->name,
		err->message);
	g->counts.conns_lost++;
	if (c->role == CONN_PROBE)
		probe_on_lost(c->server, now_us);
}

/*
 * A pipeline on the connection timed out. The server's other connections may
 * be dead too: those whose last answer came before the pipeline was sent must
 * answer a check before they are used.
 */
static void on_silent(void *ctx, struct conn *c, uint64_t now_us)
{
	struct group *g = ctx;
	GList *l;

	(void)now_us;
	g->counts.conns_lost++;
	for (l = c->server->work_conns.head; l; l = l->next) {
		struct conn *other = l->data;

		if (other->heard_us <= c->started_us)
			other->suspect = true;
	}
}

static void on_closed(void *ctx, struct conn *c)
{
	struct server *s = c->server;

	(void)ctx;
	if (c->txn)
		txn_on_closed(c->txn);
	if (c->role == CONN_WORK)
		g_queue_unlink(&s->work_conns, &c->link);
	else if (s->probe == c)
		s->probe = NULL;
	else if (s->long_poll == c)
		s->long_poll = NULL;
}

const struct conn_events server_conn_events = {
	.opened = on_opened,
	.lost = on_lost,
	.silent = on_silent,
	.closed = on_closed,
};
