#include "support_fake_sql.h"

#include <string.h>

/* Interval at which a waiting run is continued. */
#define WAIT_POLL_US 300
/* Duration of a login at the server. */
#define CONNECT_US (10 * USEC_PER_MSEC)
/* Repetition of a connection's close message until it arrives. */
#define CLOSE_RETRY_US (100 * USEC_PER_MSEC)
#define CLOSE_MAX_TRIES 100

struct upstream {
	struct fake_sql *sql;
	int node;
	const struct upstream_events *events;
	void *ctx;
	GHashTable *conns; /* id -> struct fake_conn, not closed */
	GPtrArray *all_conns; /* struct fake_conn, closed ones too; owned */
};

struct fake_conn {
	struct upstream *u;
	conn_id id;
	unsigned server;
	bool closed; /* on the proxy's side */
	bool muted; /* messages in both directions are dropped */
	unsigned close_tries;
	struct fake_session *session; /* NULL until accepted */
	GQueue sent; /* struct fake_run, not completed at the server yet */
	GQueue done; /* struct fake_run, with answers in transit */
};

struct server_state {
	uint64_t service_us; /* duration of each run */
	unsigned lost_commit_replies; /* number of answers to lose */
	unsigned late_failures; /* number of maintenance blocks to fail late */
	unsigned connections; /* open now */
	unsigned connection_limit; /* max. open connections */
	unsigned refused_connections; /* connections refused at the limit */
	unsigned max_connections; /* highest number open at once */
	GHashTable *claims; /* key -> session */
};

/* The columns of an outcome row that the fake database does not store. */
struct row_columns {
	char *digest;
	char *summary;
	uint64_t trip;
};

struct fake_sql {
	struct sim *sim;
	struct fdb *db;
	unsigned n_servers;
	struct server_state servers[FDB_MAX_SERVERS];
	GHashTable *rows; /* key -> struct row_text */
	GPtrArray *upstreams;
	uint64_t last_nonce; /* the last nonce given */
	GHashTable *row_times; /* number of a key -> its row's "at", int64_t */
	GHashTable *removed; /* numbers of the keys of removed rows */
};

static void row_free(gpointer data)
{
	struct row_columns *row = data;

	g_free(row->digest);
	g_free(row->summary);
	g_free(row);
}

struct fake_sql *fake_sql_create(struct sim *sim, struct fdb *db,
				 unsigned n_servers)
{
	struct fake_sql *sql = g_new0(struct fake_sql, 1);
	unsigned i;

	sql->sim = sim;
	sql->db = db;
	sql->n_servers = n_servers;
	sql->rows = g_hash_table_new_full(NULL, NULL, NULL, row_free);
	sql->upstreams = g_ptr_array_new();
	sql->row_times = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	sql->removed = g_hash_table_new(NULL, NULL);
	for (i = 0; i < n_servers; i++) {
		sql->servers[i].claims = g_hash_table_new(NULL, NULL);
		sql->servers[i].service_us = 200;
		sql->servers[i].connection_limit = UINT_MAX;
	}
	return sql;
}

void fake_sql_destroy(struct fake_sql *sql)
{
	unsigned i;

	for (i = 0; i < sql->n_servers; i++)
		g_hash_table_destroy(sql->servers[i].claims);
	g_hash_table_destroy(sql->rows);
	g_hash_table_destroy(sql->row_times);
	g_hash_table_destroy(sql->removed);
	g_ptr_array_free(sql->upstreams, TRUE);
	g_free(sql);
}

void fake_sql_note_row_time(struct fake_sql *sql, uint64_t key, int64_t at)
{
	g_hash_table_insert(sql->row_times, GSIZE_TO_POINTER(key),
			    g_memdup2(&at, sizeof(at)));
}

/* Only marks the rows; the log and its rows stay as they are. */
void fake_sql_note_removal(struct fake_sql *sql, int64_t before)
{
	GHashTableIter iter;
	gpointer key, at;

	g_hash_table_iter_init(&iter, sql->row_times);
	while (g_hash_table_iter_next(&iter, &key, &at)) {
		if (*(int64_t *)at < before)
			g_hash_table_add(sql->removed, key);
	}
}

bool fake_sql_removed(struct fake_sql *sql, uint64_t trip)
{
	return g_hash_table_contains(sql->removed, GSIZE_TO_POINTER(trip));
}

void fake_sql_fail_after_commit(struct fake_sql *sql, unsigned server,
				unsigned n)
{
	sql->servers[server].late_failures = n;
}

bool fake_sql_take_failure_after_commit(struct fake_sql *sql, unsigned server)
{
	if (!sql->servers[server].late_failures)
		return false;
	sql->servers[server].late_failures--;
	return true;
}

struct sim *fake_sql_sim(struct fake_sql *sql)
{
	return sql->sim;
}

struct fdb *fake_sql_db(struct fake_sql *sql)
{
	return sql->db;
}

struct fake_session *fake_sql_claim(struct fake_sql *sql, unsigned server,
				    uint64_t key)
{
	return g_hash_table_lookup(sql->servers[server].claims,
				   GSIZE_TO_POINTER(key));
}

void fake_sql_set_claim(struct fake_sql *sql, unsigned server, uint64_t key,
			struct fake_session *holder)
{
	GHashTable *claims = sql->servers[server].claims;

	if (holder)
		g_hash_table_insert(claims, GSIZE_TO_POINTER(key), holder);
	else
		g_hash_table_remove(claims, GSIZE_TO_POINTER(key));
}

void fake_sql_note_row(struct fake_sql *sql, uint64_t key, const char *digest,
		       const char *summary, uint64_t trip)
{
	struct row_columns *row;

	/* A tombstone on one server does not replace another's done row. */
	if (!trip && g_hash_table_contains(sql->rows, GSIZE_TO_POINTER(key)))
		return;
	row = g_new0(struct row_columns, 1);
	row->digest = g_strdup(digest);
	row->summary = g_strdup(summary);
	row->trip = trip;
	g_hash_table_insert(sql->rows, GSIZE_TO_POINTER(key), row);
}

uint64_t fake_sql_trip(struct fake_sql *sql, uint64_t key)
{
	struct row_columns *row =
		g_hash_table_lookup(sql->rows, GSIZE_TO_POINTER(key));

	return row && row->trip ? row->trip : key >> 16;
}

const char *fake_sql_digest(struct fake_sql *sql, uint64_t key)
{
	struct row_columns *row =
		g_hash_table_lookup(sql->rows, GSIZE_TO_POINTER(key));

	return row ? row->digest : "";
}

const char *fake_sql_summary(struct fake_sql *sql, uint64_t key)
{
	struct row_columns *row =
		g_hash_table_lookup(sql->rows, GSIZE_TO_POINTER(key));

	return row ? row->summary : "";
}

uint64_t fake_sql_nonce(struct fake_sql *sql)
{
	return ++sql->last_nonce;
}

void fake_sql_set_service(struct fake_sql *sql, unsigned server,
			  uint64_t service_us)
{
	sql->servers[server].service_us = service_us;
}

void fake_sql_lose_commit_replies(struct fake_sql *sql, unsigned server,
				  unsigned n)
{
	sql->servers[server].lost_commit_replies = n;
}

void fake_sql_set_limit(struct fake_sql *sql, unsigned connection_limit)
{
	unsigned i;

	for (i = 0; i < sql->n_servers; i++)
		sql->servers[i].connection_limit = connection_limit;
}

unsigned fake_sql_refused_connections(const struct fake_sql *sql,
				      unsigned server)
{
	return sql->servers[server].refused_connections;
}

unsigned fake_sql_connections(const struct fake_sql *sql, unsigned server)
{
	return sql->servers[server].connections;
}

unsigned fake_sql_max_connections(const struct fake_sql *sql, unsigned server)
{
	return sql->servers[server].max_connections;
}

static void end_session(struct fake_conn *c)
{
	if (!c->session || !c->session->open)
		return;
	fake_session_end(c->session);
	c->u->sql->servers[c->server].connections--;
}

static void conn_free(gpointer data)
{
	struct fake_conn *c = data;

	if (c->session)
		fake_session_destroy(c->session);
	g_queue_clear_full(&c->sent, (GDestroyNotify)fake_run_destroy);
	g_queue_clear_full(&c->done, (GDestroyNotify)fake_run_destroy);
	g_free(c);
}

struct upstream *fake_upstream_create(struct fake_sql *sql, int node,
				      const struct upstream_events *events,
				      void *ctx)
{
	struct upstream *u = g_new0(struct upstream, 1);

	u->sql = sql;
	u->node = node;
	u->events = events;
	u->ctx = ctx;
	u->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
	u->all_conns = g_ptr_array_new_with_free_func(conn_free);
	g_ptr_array_add(sql->upstreams, u);
	return u;
}

void fake_upstream_destroy(struct upstream *u)
{
	g_ptr_array_remove(u->sql->upstreams, u);
	g_hash_table_destroy(u->conns);
	g_ptr_array_free(u->all_conns, TRUE);
	g_free(u);
}

static void send_to_server(struct fake_conn *c, uint64_t extra_us, sim_fn fn)
{
	if (!c->muted)
		sim_send(c->u->sql->sim, c->u->node, (int)c->server, extra_us,
			 fn, c, NULL, 0);
}

static void send_to_proxy(struct fake_conn *c, uint64_t extra_us, sim_fn fn)
{
	if (!c->muted)
		sim_send(c->u->sql->sim, (int)c->server, c->u->node, extra_us,
			 fn, c, NULL, 0);
}

/* Reports to the proxy that the connection was lost. */
static void notify_lost(void *ctx, void *data)
{
	struct fake_conn *c = ctx;
	struct err err = { .code = ERR_CONNECTION_LOST };

	(void)data;
	if (c->closed)
		return;
	c->closed = true;
	g_hash_table_remove(c->u->conns, &c->id);
	g_strlcpy(err.message, "the connection broke", sizeof(err.message));
	c->u->events->lost(c->u->ctx, c->id, &err);
}

static void notify_opened(void *ctx, void *data)
{
	struct fake_conn *c = ctx;

	(void)data;
	if (!c->closed)
		c->u->events->opened(c->u->ctx, c->id, NULL);
}

static void fail_opening(struct fake_conn *c, const char *why)
{
	struct err err = { .code = ERR_CONNECT_FAILED };

	if (c->closed)
		return;
	c->closed = true;
	g_hash_table_remove(c->u->conns, &c->id);
	g_strlcpy(err.message, why, sizeof(err.message));
	c->u->events->opened(c->u->ctx, c->id, &err);
}

static void notify_refused(void *ctx, void *data)
{
	(void)data;
	fail_opening(ctx, "Connection refused");
}

static void notify_too_many(void *ctx, void *data)
{
	(void)data;
	fail_opening(ctx, "FATAL:  too many connections");
}

static void accept_conn(void *ctx, void *data)
{
	struct fake_conn *c = ctx;
	struct server_state *side = &c->u->sql->servers[c->server];

	(void)data;
	if (side->connections >= side->connection_limit) {
		side->refused_connections++;
		send_to_proxy(c, 0, notify_too_many);
		return;
	}
	c->session = fake_session_create(c->u->sql, c->server);
	side->connections++;
	side->max_connections = MAX(side->max_connections, side->connections);
	send_to_proxy(c, CONNECT_US, notify_opened);
}

static void open_conn(struct upstream *u, conn_id id,
		      const struct upstream_target *target, uint64_t timeout_us)
{
	struct fake_conn *c = g_new0(struct fake_conn, 1);

	(void)timeout_us;
	c->u = u;
	c->id = id;
	c->server = target->port - FAKE_PORT_BASE;
	g_queue_init(&c->sent);
	g_queue_init(&c->done);
	g_ptr_array_add(u->all_conns, c);
	g_hash_table_insert(u->conns, &c->id, c);
	if (sim_refuses(u->sql->sim, u->node, (int)c->server))
		sim_at(u->sql->sim, u->node, USEC_PER_MSEC, notify_refused, c,
		       NULL);
	else
		send_to_server(c, 0, accept_conn);
}

/* Delivers the oldest completed run's answer to the proxy. */
static void notify_done(void *ctx, void *data)
{
	struct fake_conn *c = ctx;
	struct fake_run *run = g_queue_pop_head(&c->done);

	(void)data;
	if (!run)
		return;
	if (!c->closed)
		c->u->events->done(c->u->ctx, c->id, &run->result);
	fake_run_destroy(run);
}

static void continue_run(void *ctx, void *data)
{
	struct fake_conn *c = ctx;
	struct server_state *side = &c->u->sql->servers[c->server];
	struct fake_run *run = c->sent.head ? c->sent.head->data : NULL;

	(void)data;
	if (!run || !c->session || !c->session->open)
		return;
	if (fake_session_run(c->session, run) == FAKE_WAITS) {
		sim_at(c->u->sql->sim, (int)c->server, WAIT_POLL_US,
		       continue_run, c, NULL);
		return;
	}
	g_queue_pop_head(&c->sent);
	if (c->session->committed && side->lost_commit_replies) {
		side->lost_commit_replies--;
		fake_run_destroy(run);
		end_session(c);
		send_to_proxy(c, 0, notify_lost);
		return;
	}
	c->session->committed = false;
	g_queue_push_tail(&c->done, run);
	send_to_proxy(c, 0, notify_done);
	if (c->sent.length)
		sim_at(c->u->sql->sim, (int)c->server, 0, continue_run, c,
		       NULL);
}

static void on_run_received(void *ctx, void *data)
{
	struct fake_conn *c = ctx;

	(void)data;
	sim_at(c->u->sql->sim, (int)c->server,
	       c->u->sql->servers[c->server].service_us, continue_run, c, NULL);
}

static void run_steps(struct upstream *u, conn_id id,
		      const struct upstream_step *steps, unsigned n_steps,
		      uint64_t max_bytes, uint64_t timeout_us)
{
	struct fake_conn *c = g_hash_table_lookup(u->conns, &id);

	(void)max_bytes;
	(void)timeout_us;
	g_assert(c);
	g_queue_push_tail(&c->sent, fake_run_create(steps, n_steps));
	/* If a run is in progress, the server starts this one after it. */
	if (c->sent.length == 1)
		send_to_server(c, 0, on_run_received);
}

static void on_close(void *ctx, void *data)
{
	(void)data;
	end_session(ctx);
}

/*
 * Repeats the close message until it arrives. On a muted connection it never
 * does; there the server detects the end itself, at the last try.
 */
static void retry_close(void *ctx, void *data)
{
	struct fake_conn *c = ctx;

	(void)data;
	if (++c->close_tries > CLOSE_MAX_TRIES ||
	    (c->session && !c->session->open))
		return;
	if (c->muted && c->close_tries == CLOSE_MAX_TRIES)
		end_session(c);
	send_to_server(c, 0, on_close);
	sim_at(c->u->sql->sim, SIM_NO_NODE, CLOSE_RETRY_US, retry_close, c,
	       NULL);
}

static void close_conn(struct upstream *u, conn_id id)
{
	struct fake_conn *c = g_hash_table_lookup(u->conns, &id);

	if (!c)
		return;
	c->closed = true;
	g_hash_table_remove(u->conns, &c->id);
	send_to_server(c, 0, on_close);
	sim_at(u->sql->sim, SIM_NO_NODE, CLOSE_RETRY_US, retry_close, c, NULL);
}

const struct upstream_ops fake_upstream_ops = {
	.open = open_conn,
	.run = run_steps,
	.close = close_conn,
};

void fake_upstream_mute(struct upstream *u, unsigned server)
{
	unsigned i;

	for (i = 0; i < u->all_conns->len; i++) {
		struct fake_conn *c = g_ptr_array_index(u->all_conns, i);

		if (c->server == server)
			c->muted = true;
	}
}

void fake_upstream_kill(struct upstream *u)
{
	unsigned i;

	for (i = 0; i < u->all_conns->len; i++) {
		struct fake_conn *c = g_ptr_array_index(u->all_conns, i);

		c->closed = true;
		end_session(c);
	}
	g_hash_table_remove_all(u->conns);
}

static void crash_conns(struct upstream *u, unsigned server, bool silent)
{
	unsigned i;

	for (i = 0; i < u->all_conns->len; i++) {
		struct fake_conn *c = g_ptr_array_index(u->all_conns, i);

		if (c->server != server)
			continue;
		end_session(c);
		if (!silent && !c->closed)
			send_to_proxy(c, 0, notify_lost);
		c->muted = true;
	}
}

void fake_sql_crash(struct fake_sql *sql, unsigned server, bool silent)
{
	unsigned i;

	for (i = 0; i < sql->upstreams->len; i++)
		crash_conns(g_ptr_array_index(sql->upstreams, i), server,
			    silent);
	sim_down(sql->sim, (int)server, silent);
}

void fake_sql_restart(struct fake_sql *sql, unsigned server)
{
	sim_up(sql->sim, (int)server);
	fdb_restart(sql->db, server);
}

unsigned fake_count_trip(struct fake_sql *sql, unsigned server, uint64_t trip)
{
	unsigned n = 0;
	uint64_t i;

	for (i = 1; i <= fdb_log_length(sql->db, server); i++) {
		const struct fdb_entry *e = fdb_log_at(sql->db, server, i);

		n += e->kind == FDB_DONE && fake_sql_trip(sql, e->key) == trip;
	}
	return n;
}
