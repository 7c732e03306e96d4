#define LOG_MODULE "pg"
#include "pg_table.h"

#include <celeryquay/base/log.h>

/* Maximum number of idle runs kept, with their buffers, for reuse. */
#define SPARE_RUNS_MAX 64

struct upstream {
	uv_loop_t *loop;
	const struct upstream_events *events;
	void *ctx;
	GHashTable *conns; /* conn_id -> struct pg_conn */
	GQueue deferred; /* struct pg_conn, queued by its own link */
	uv_idle_t idle; /* active while `deferred` is not empty */
	struct pg_params params;
	GPtrArray *spare_runs; /* idle struct pg_run, at most SPARE_RUNS_MAX */
};

/* Returns the loop that all connections run on. */
uv_loop_t *pg_table_loop(struct upstream *u)
{
	return u->loop;
}

/* Returns the shared parameter buffers; valid until the next call. */
struct pg_params *pg_table_params(struct upstream *u)
{
	return &u->params;
}

/* Takes a spare run, or creates one if there is none. */
struct pg_run *pg_table_take_run(struct upstream *u)
{
	if (!u->spare_runs->len)
		return pg_run_create();
	return g_ptr_array_remove_index_fast(u->spare_runs,
					     u->spare_runs->len - 1);
}

/*
 * Recycles a run; frees it if there are enough spare ones. NULL is ignored.
 */
void pg_table_give_run(struct upstream *u, struct pg_run *run)
{
	if (!run)
		return;
	pg_run_recycle(run);
	if (u->spare_runs->len < SPARE_RUNS_MAX)
		g_ptr_array_add(u->spare_runs, run);
	else
		pg_run_destroy(run);
}

static bool is_queued(struct upstream *u, GList *link)
{
	return link->prev || link->next || u->deferred.head == link;
}

static void cancel_deferred(struct upstream *u, struct pg_conn *c)
{
	GList *link = pg_conn_link(c);

	if (!is_queued(u, link))
		return;
	g_queue_unlink(&u->deferred, link);
	if (!u->deferred.length)
		uv_idle_stop(&u->idle);
}

static void resume_deferred(uv_idle_t *idle)
{
	struct upstream *u = idle->data;
	unsigned n = u->deferred.length;

	while (n-- && u->deferred.head) {
		struct pg_conn *c = u->deferred.head->data;

		cancel_deferred(u, c);
		pg_conn_resume(c);
	}
}

/* Schedules pg_conn_resume() for the loop's next iteration. */
void pg_table_defer(struct upstream *u, struct pg_conn *c)
{
	GList *link = pg_conn_link(c);

	if (is_queued(u, link))
		return;
	g_queue_push_tail_link(&u->deferred, link);
	uv_idle_start(&u->idle, resume_deferred);
}

static struct pg_conn *find_conn(struct upstream *u, conn_id id)
{
	return g_hash_table_lookup(u->conns, &id);
}

static struct pg_conn *add_conn(struct upstream *u, conn_id id)
{
	struct pg_conn *c = pg_conn_create(u, id);
	gint64 *key = g_new(gint64, 1);

	*key = (gint64)id;
	g_hash_table_insert(u->conns, key, c);
	return c;
}

static void remove_conn(struct upstream *u, struct pg_conn *c)
{
	conn_id id = pg_conn_id(c);

	cancel_deferred(u, c);
	g_hash_table_remove(u->conns, &id);
	pg_conn_destroy(c);
}

/* Reports that the connection is open. */
void pg_table_opened(struct upstream *u, struct pg_conn *c)
{
	struct err none = { 0 };

	u->events->opened(u->ctx, pg_conn_id(c), &none);
}

/* Reports that the connection could not be opened; frees it. */
void pg_table_open_failed(struct upstream *u, struct pg_conn *c,
			  const struct err *err)
{
	struct err copy = *err;
	conn_id id = pg_conn_id(c);

	remove_conn(u, c);
	u->events->opened(u->ctx, id, &copy);
}

/* Reports a run's result; frees the connection if it is unusable. */
void pg_table_done(struct upstream *u, struct pg_conn *c, struct pg_run *run)
{
	conn_id id = pg_conn_id(c);

	if (!pg_run_result(run)->conn_usable)
		remove_conn(u, c);
	u->events->done(u->ctx, id, pg_run_result(run));
	pg_table_give_run(u, run);
}

/* Reports that an idle connection broke; frees it. */
void pg_table_lost(struct upstream *u, struct pg_conn *c, const struct err *err)
{
	struct err copy = *err;
	conn_id id = pg_conn_id(c);

	remove_conn(u, c);
	u->events->lost(u->ctx, id, &copy);
}

static void open_conn(struct upstream *u, conn_id id,
		      const struct upstream_target *target, uint64_t timeout_us)
{

	if (find_conn(u, id)) {
		LOG_ERR("connection %" G_GUINT64_FORMAT " exists", id);
		return;
	}
	pg_conn_open(add_conn(u, id), target, timeout_us);
}

/*
 * A run on an unknown id fails with CONNECTION_LOST: the connection may have
 * broken before the user learned of it.
 */
static void run_steps(struct upstream *u, conn_id id,
		      const struct upstream_step *steps, unsigned n_steps,
		      uint64_t max_bytes, uint64_t timeout_us)
{
	struct pg_conn *c = find_conn(u, id);

	if (c && !pg_conn_idle(c)) {
		LOG_ERR("connection %" G_GUINT64_FORMAT " is not idle", id);
		return;
	}
	if (!c)
		c = add_conn(u, id);
	pg_conn_run(c, steps, n_steps, max_bytes, timeout_us);
}

static void close_conn(struct upstream *u, conn_id id)
{
	struct pg_conn *c = find_conn(u, id);

	if (c)
		remove_conn(u, c);
}

const struct upstream_ops pg_ops = {
	.open = open_conn,
	.run = run_steps,
	.close = close_conn,
};

/* Creates an empty table of connections on a loop. */
struct upstream *pg_create(uv_loop_t *loop,
			   const struct upstream_events *events, void *ctx)
{
	struct upstream *u = g_new0(struct upstream, 1);

	u->loop = loop;
	u->events = events;
	u->ctx = ctx;
	u->conns = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					 NULL);
	u->spare_runs = g_ptr_array_new();
	g_queue_init(&u->deferred);
	uv_idle_init(loop, &u->idle);
	u->idle.data = u;
	return u;
}

static void free_table(uv_handle_t *idle)
{
	struct upstream *u = idle->data;
	unsigned i;

	for (i = 0; i < u->spare_runs->len; i++)
		pg_run_destroy(g_ptr_array_index(u->spare_runs, i));
	g_ptr_array_unref(u->spare_runs);
	g_hash_table_unref(u->conns);
	pg_params_clear(&u->params);
	g_free(u);
}

/*
 * Closes all connections without events. The memory is freed in the loop's
 * next iteration. NULL is ignored.
 */
void pg_destroy(struct upstream *u)
{
	GHashTableIter iter;
	gpointer conn;

	if (!u)
		return;
	while (g_hash_table_size(u->conns)) {
		g_hash_table_iter_init(&iter, u->conns);
		g_hash_table_iter_next(&iter, NULL, &conn);
		remove_conn(u, conn);
	}
	uv_close((uv_handle_t *)&u->idle, free_table);
}

/* Returns the number of connections that are open or being opened. */
unsigned pg_open_connections(const struct upstream *u)
{
	return g_hash_table_size(u->conns);
}
