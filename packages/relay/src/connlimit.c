#define LOG_MODULE "connlimit"
#include "connlimit.h"

#include <celeryquay/sched/connections.h>

#include <string.h>

/*
 * With fewer free connections at a server no further one is opened; at this
 * number spare ones are closed early.
 */
#define MIN_FREE_CONNS 2
/*
 * Connections that a proxy may have to a server that is above half full, apart
 * from those whose answer is probably lost.
 */
#define MAX_CONNS_ABOVE_HALF 2
/* How long after its start a proxy may open up to the server's limit. */
#define START_PERIOD_US (4 * USEC_PER_SEC)
/*
 * Idle time after which a home through which all statements of a service go
 * closes a connection of an account: each such home keeps the connections that
 * are used most anyway, and a new one costs a slot 12 ms.
 */
#define ACCOUNT_IDLE_CLOSE_US (10 * USEC_PER_SEC)
/*
 * Homes of a service whose homes are pooled ask for a status that is older than
 * this when they want to open a connection: one that takes over needs to know
 * which connections the servers have dropped, and what other homes opened.
 */
#define STATUS_FRESH_US (500 * USEC_PER_MSEC)
/*
 * Connections into its reserve that a home keeps: the count of the others' is
 * older than its own.
 */
#define MAX_EXCESS 4
/* Idle time after which a spare connection to a nearly full server closes. */
#define NEARLY_FULL_CLOSE_US (600 * USEC_PER_MSEC)

/*
 * Whether the proxy may open connections up to the server's limit. With client
 * accounts it needs a connection for each of many accounts. If all proxies that
 * restart took every free connection, the first ones would leave none to the
 * others until the servers have dropped the connections from before the
 * restart.
 */
static bool may_fill_server(const struct rserver *s, uint64_t now_us)
{
	const struct relay *r = s->relay;

	return !r->settings.accounts &&
	       now_us < r->started_us + START_PERIOD_US;
}

/* Connections to the server that other proxies had when it last said so. */
static unsigned others_conns(const struct rserver *s)
{
	return s->status.connections > s->status_own_conns ?
		       s->status.connections - s->status_own_conns :
		       0;
}

/*
 * How many connections a home of a service whose homes are pooled may still
 * open; negative: it has too many. The first home needs nearly all, and the
 * others some when they take over from it.
 */
static int free_conns(const struct rserver *s, unsigned limit, uint64_t now_us)
{
	unsigned others = others_conns(s);
	/* Only a former process of the first home can have had that many. */
	bool restarted = now_us < s->relay->started_us + START_PERIOD_US &&
			 others * 2 > limit;
	unsigned reserve = splace_connection_reserve(
		limit, s->service->rank.n_ranked_before, restarted);

	return (int)limit - (int)(s->n_conns + others + reserve);
}

/*
 * Whether one more connection may be opened. The server's limit holds for all
 * proxies together. Above half of it each proxy keeps to MAX_CONNS_ABOVE_HALF,
 * so that restarted proxies find room while the servers still count their
 * connections from before the restart; without accounts, a proxy that has just
 * started may open up to the limit.
 */
bool connlimit_may_open(const struct rserver *s, uint64_t now_us)
{
	unsigned limit = s->service->max_connections;
	unsigned there = MAX(s->status.connections, s->n_conns);

	if (!rserver_is_up(s) || now_us < s->refused_until_us)
		return false;
	if (!limit || s->n_conns < s->relay->settings.warm_connections)
		return true;
	if (s->service->pooled)
		return free_conns(s, limit, now_us) > 0;
	if (there + MIN_FREE_CONNS > limit)
		return false;
	if (may_fill_server(s, now_us))
		return true;
	return s->n_conns < MAX_CONNS_ABOVE_HALF + s->n_stuck ||
	       there * 2 < limit;
}

static bool has_victim(const struct rserver *s, uint64_t now_us)
{
	return s->relay->settings.accounts && !s->service->peers &&
	       s->idle.length && rserver_is_up(s) &&
	       now_us >= s->refused_until_us;
}

static void count_conn(GHashTable *counts, const struct rconn *c, bool idle)
{
	struct sconn_idle *i = g_hash_table_lookup(counts, c->account);

	if (!i) {
		i = g_new0(struct sconn_idle, 1);
		i->account = c->account;
		g_hash_table_insert(counts, c->account, i);
	}
	i->n_idle += idle;
	i->n_busy += !idle;
}

/* The server's connections, counted by account. */
static GHashTable *count_conns(const struct rserver *s)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->relay->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rconn *c = value;

		if (c->server == s && c->state != RCONN_OPENING)
			count_conn(counts, c, c->state == RCONN_IDLE);
	}
	return counts;
}

static struct rconn *longest_idle_of(const struct rserver *s,
				     const char *account)
{
	GList *l;

	for (l = s->idle.tail; l; l = l->prev)
		if (!strcmp(((struct rconn *)l->data)->account, account))
			return l->data;
	return NULL;
}

/* The idle connection that is used least; NULL: none is another account's. */
static struct rconn *least_used(const struct rserver *s, const char *account,
				uint64_t now_us)
{
	GHashTable *counts = count_conns(s);
	unsigned n = g_hash_table_size(counts), i = 0;
	struct sconn_idle *list = g_new(struct sconn_idle, n);
	struct rconn *found = NULL;
	GHashTableIter iter;
	gpointer value;
	int victim;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		list[i++] = *(const struct sconn_idle *)value;
	victim = sconn_victim(s->usage, list, n, account, now_us);
	if (victim >= 0 && (unsigned)victim < i)
		found = longest_idle_of(s, list[victim].account);
	g_free(list);
	g_hash_table_destroy(counts);
	return found;
}

static void log_closed(const struct rconn *c, const char *account,
		       uint64_t now_us)
{
	const struct rserver *s = c->server;
	struct log_line *l = log_event(LOG_ROUTINE, "connection-closed");

	if (!l)
		return;
	log_cstr(l, "service", s->service->name);
	log_cstr(l, "server", s->info.id);
	log_cstr(l, "account", c->account);
	log_cstr(l, "for", account);
	log_u64(l, "idle_ms", (now_us - c->used_us) / USEC_PER_MSEC);
	log_u64(l, "own", s->n_conns);
	log_u64(l, "of_all", s->status.connections);
	log_u64(l, "of_all_ms_ago",
		(now_us - MIN(s->status_at_us, now_us)) / USEC_PER_MSEC);
	log_event_end(l);
}

/*
 * Closes an idle connection so that the account can have one. False: there is
 * none to close.
 */
static bool close_for(struct rserver *s, const char *account, uint64_t now_us)
{
	struct rconn *c = g_queue_peek_tail(&s->idle);

	if (!has_victim(s, now_us))
		return false;
	if (s->service->pooled && s->usage)
		c = least_used(s, account, now_us);
	if (!c)
		return false;
	log_closed(c, account, now_us);
	rconn_close(c);
	return true;
}

/* Whether the run can get a connection to the server, now or soon. */
bool connlimit_can_provide(struct rserver *s, const struct rsession *session,
			   uint64_t now_us)
{
	const char *account = rconn_account(s, session);

	return !inflight_is_full(s) &&
	       (rconn_has_idle(s, account) || rconn_is_opening(s, account) ||
		connlimit_may_open(s, now_us) || has_victim(s, now_us));
}

/* The account's connections to the server that wait for an answer. */
static unsigned count_busy(const struct rserver *s, const char *account)
{
	unsigned n = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->relay->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rconn *c = value;

		n += c->server == s && c->step != STEP_NONE && !c->in_block &&
		     !strcmp(c->account, account);
	}
	return n;
}

/* Opens a connection for the session, if it may and if that is worth it. */
void connlimit_open(struct rserver *s, const struct rsession *session,
		    uint64_t now_us)
{
	const char *account = rconn_account(s, session);

	if (rconn_is_opening(s, account))
		return;
	if (s->service->pooled && now_us > s->status_at_us + STATUS_FRESH_US)
		rserver_probe_soon(s);
	if (s->service->pooled && *account &&
	    !sconn_should_open(count_busy(s, account), 0, 1,
			       session->run.wait.cost_us))
		return;
	if (connlimit_may_open(s, now_us)) {
		rconn_open(s, account, now_us);
		return;
	}
	if (close_for(s, account, now_us))
		rconn_open(s, account, now_us);
}

/*
 * All connections that are not this proxy's are others', whatever the server
 * reported before. Otherwise a home would try again with each statement until
 * the next status.
 */
void connlimit_on_full(struct rserver *s)
{
	if (!s->service->pooled)
		return;
	s->status.connections = s->service->max_connections;
	s->status_own_conns = s->n_conns - s->opening.length;
	rserver_probe_soon(s);
}

/* Counts a use of the account's connections. */
void connlimit_on_used(struct rserver *s, const struct rsession *session,
		       uint64_t now_us)
{
	if (!s->service->pooled || !s->relay->settings.accounts)
		return;
	if (!s->usage)
		s->usage = sconn_usage_create();
	sconn_usage_note(s->usage, session->account, now_us);
}

/*
 * Spare connections to a nearly full server are closed early, so that other
 * proxies find some.
 */
uint64_t connlimit_idle_close_us(const struct rserver *s, uint64_t now_us)
{
	unsigned limit = s->service->max_connections;

	/* What it opened just after its start is the standbys' reserve. */
	if (limit && s->service->pooled &&
	    free_conns(s, limit, now_us) < -MAX_EXCESS)
		return 0;

	if (s->service->pooled && s->relay->settings.accounts &&
	    !s->service->peers && !s->service->rank.n_ranked_before)
		return ACCOUNT_IDLE_CLOSE_US;
	if (limit && s->status.connections + MIN_FREE_CONNS >= limit)
		return NEARLY_FULL_CLOSE_US;
	return s->relay->settings.idle_close_us;
}
