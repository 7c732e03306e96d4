#include "conn_pool.h"

/* Maximum parameters of a step whose parameters the pool allocates. */
#define MAX_STEP_PARAMS 8
#define TEXT_CHUNK_BYTES 512

struct conn_pool {
	struct upstream *upstream;
	const struct upstream_ops *ops;
	const struct conn_events *events;
	void *ctx;
	GHashTable *conns; /* id -> struct conn */
	uint64_t id_prefix; /* upper 32 bits of all its connections' ids */
	uint32_t last_sequence; /* lower 32 bits of the newest id */
	bool close_on_timeout; /* true except in tests */
};

/*
 * The ids of two pools on the same upstream must differ, so their upper half
 * is the number of the pool within the process.
 */
static uint64_t next_id_prefix(void)
{
	static uint32_t pools;

	return (uint64_t)++pools << 32;
}

static void conn_free(struct conn *c)
{
	g_array_free(c->steps, TRUE);
	g_ptr_array_free(c->params, TRUE);
	g_string_chunk_free(c->text);
	g_free(c);
}

/* Creates an empty pool; ctx is passed to the events. */
struct conn_pool *conn_pool_create(struct upstream *upstream,
				   const struct upstream_ops *ops,
				   const struct conn_events *events, void *ctx)
{
	struct conn_pool *pool = g_new0(struct conn_pool, 1);

	pool->upstream = upstream;
	pool->ops = ops;
	pool->events = events;
	pool->ctx = ctx;
	pool->conns = g_hash_table_new(g_int64_hash, g_int64_equal);
	pool->id_prefix = next_id_prefix();
	pool->close_on_timeout = true;
	return pool;
}

/* Removes a connection from the pool and frees it. */
static void remove_conn(struct conn *c)
{
	struct conn_pool *pool = c->pool;

	pool->events->closed(pool->ctx, c);
	g_hash_table_remove(pool->conns, &c->id);
	conn_free(c);
}

/* Closes all connections, without events or calls of done functions. */
void conn_pool_destroy(struct conn_pool *pool)
{
	GHashTableIter iter;
	gpointer c;

	if (!pool)
		return;
	g_hash_table_iter_init(&iter, pool->conns);
	while (g_hash_table_iter_next(&iter, NULL, &c)) {
		pool->ops->close(pool->upstream, ((struct conn *)c)->id);
		conn_free(c);
	}
	g_hash_table_destroy(pool->conns);
	g_free(pool);
}

/* Lets a test show what closing on timeout guards against. */
void conn_pool_set_close_on_timeout(struct conn_pool *pool, bool close)
{
	pool->close_on_timeout = close;
}

/* Starts to open a connection; events->opened() reports the result. */
struct conn *conn_pool_open(struct conn_pool *pool, struct server *server,
			    enum conn_role role,
			    const struct upstream_target *target,
			    uint64_t timeout_us, uint64_t now_us)
{
	struct conn *c = g_new0(struct conn, 1);

	c->id = pool->id_prefix | ++pool->last_sequence;
	c->pool = pool;
	c->server = server;
	c->role = role;
	c->state = CONN_OPENING;
	c->started_us = now_us;
	c->deadline_us = now_us + timeout_us;
	c->steps = g_array_new(FALSE, TRUE, sizeof(struct upstream_step));
	c->params = g_ptr_array_new_with_free_func(g_free);
	c->text = g_string_chunk_new(TEXT_CHUNK_BYTES);
	c->link.data = c;
	g_hash_table_insert(pool->conns, &c->id, c);
	pool->ops->open(pool->upstream, c->id, target, timeout_us);
	return c;
}

/* Whether the id was assigned by this pool, even if it is closed by now. */
bool conn_pool_owns(const struct conn_pool *pool, conn_id id)
{
	return (id >> 32) << 32 == pool->id_prefix;
}

static struct conn *find(const struct conn_pool *pool, conn_id id)
{
	return g_hash_table_lookup(pool->conns, &id);
}

/* An opening ended; err NULL: it succeeded. */
void conn_pool_on_opened(struct conn_pool *pool, conn_id id,
			 const struct err *err, uint64_t now_us)
{
	struct conn *c = find(pool, id);

	if (!c || c->state != CONN_OPENING)
		return;
	c->deadline_us = UINT64_MAX;
	c->state = err && err->code ? CONN_GONE : CONN_IDLE;
	if (c->state == CONN_GONE) {
		pool->events->opened(pool->ctx, c, err, now_us);
		remove_conn(c);
		return;
	}
	c->heard_us = now_us;
	pool->events->opened(pool->ctx, c, NULL, now_us);
}

/* Ends the run in flight and calls its done function. */
static void finish(struct conn *c, struct upstream_result *result,
		   uint64_t now_us)
{
	conn_done_fn done = c->done;
	void *user = c->user;

	c->deadline_us = UINT64_MAX;
	c->state = result->conn_usable ? CONN_IDLE : CONN_GONE;
	c->done = NULL;
	c->user = NULL;
	done(user, c, result, now_us);
}

/*
 * A run has ended. An id that is not in the pool any more belongs to a closed
 * connection: its late answer is dropped.
 */
void conn_pool_on_done(struct conn_pool *pool, conn_id id,
		       struct upstream_result *result, uint64_t now_us)
{
	struct conn *c = find(pool, id);
	bool usable = result->conn_usable;

	if (!c || c->state != CONN_BUSY)
		return;
	if (usable)
		c->heard_us = now_us;
	finish(c, result, now_us);
	if (!usable && find(pool, id))
		conn_close(c);
}

/* A connection broke; a run in flight or an opening fails. */
void conn_pool_on_lost(struct conn_pool *pool, conn_id id,
		       const struct err *err, uint64_t now_us)
{
	struct upstream_result result = { .err = *err };
	struct conn *c = find(pool, id);

	if (!c)
		return;
	if (c->state == CONN_BUSY) {
		conn_pool_on_done(pool, id, &result, now_us);
		return;
	}
	if (c->state == CONN_OPENING) {
		conn_pool_on_opened(pool, id, err, now_us);
		return;
	}
	c->state = CONN_GONE;
	pool->events->lost(pool->ctx, c, err, now_us);
	remove_conn(c);
}

/*
 * A connection is past its deadline. It is closed before its user is notified:
 * the server may still answer, and no request waits for that answer any more.
 */
static void expire(struct conn *c, uint64_t now_us)
{
	struct conn_pool *pool = c->pool;
	struct upstream_result result = { 0 };
	conn_id id = c->id;

	err_set(&result.err, ERR_TIMED_OUT, "no answer in time");
	if (c->state == CONN_OPENING) {
		pool->ops->close(pool->upstream, id);
		result.err.code = ERR_CONNECT_FAILED;
		conn_pool_on_opened(pool, id, &result.err, now_us);
		return;
	}
	if (pool->close_on_timeout)
		pool->ops->close(pool->upstream, id);
	else
		result.conn_usable = true;
	pool->events->silent(pool->ctx, c, now_us);
	finish(c, &result, now_us);
	if (pool->close_on_timeout && find(pool, id))
		remove_conn(c);
}

/* The connection with the earliest passed deadline, the oldest of equals. */
static struct conn *find_most_overdue(const struct conn_pool *pool,
				      uint64_t now_us)
{
	struct conn *due = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, pool->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct conn *c = value;

		if (c->deadline_us > now_us)
			continue;
		if (!due || c->deadline_us < due->deadline_us ||
		    (c->deadline_us == due->deadline_us && c->id < due->id))
			due = c;
	}
	return due;
}

/* Handles all connections that are past their deadlines. */
void conn_pool_expire(struct conn_pool *pool, uint64_t now_us)
{
	struct conn *due;

	/* A user's callback may change the pool, so search it anew. */
	while ((due = find_most_overdue(pool, now_us)))
		expire(due, now_us);
}

/* The earliest deadline of all connections. */
uint64_t conn_pool_next_deadline_us(const struct conn_pool *pool)
{
	uint64_t next_us = UINT64_MAX;
	GHashTableIter iter;
	gpointer c;

	g_hash_table_iter_init(&iter, pool->conns);
	while (g_hash_table_iter_next(&iter, NULL, &c))
		next_us = MIN(next_us, ((struct conn *)c)->deadline_us);
	return next_us;
}

/* Number of connections, including those being opened. */
unsigned conn_pool_count(const struct conn_pool *pool)
{
	return g_hash_table_size(pool->conns);
}

/* Starts to build a run on an idle connection. */
void conn_begin(struct conn *c)
{
	g_assert(c->state == CONN_IDLE);
	g_array_set_size(c->steps, 0);
	g_ptr_array_set_size(c->params, 0);
	g_string_chunk_clear(c->text);
}

/* Adds a step; sql must stay valid until the run has ended. */
void conn_add_step(struct conn *c, struct str sql, bool keep_rows)
{
	struct upstream_step step = { .sql = sql, .keep_rows = keep_rows };

	g_array_append_val(c->steps, step);
}

/*
 * Adds a caller's statement as a step whose rows are kept. The statement must
 * stay valid until the run has ended.
 */
void conn_add_statement(struct conn *c, const struct statement *statement)
{
	struct upstream_step step = {
		.sql = statement->sql,
		.n_params = statement->n_params,
		.params = statement->params,
		.keep_rows = true,
	};

	g_array_append_val(c->steps, step);
}

static void add_param(struct conn *c, struct value value)
{
	struct upstream_step *step = &g_array_index(
		c->steps, struct upstream_step, c->steps->len - 1);
	struct value *params = (struct value *)step->params;

	if (!params) {
		params = g_new0(struct value, MAX_STEP_PARAMS);
		g_ptr_array_add(c->params, params);
		step->params = params;
	}
	g_assert(step->n_params < MAX_STEP_PARAMS);
	params[step->n_params++] = value;
}

/* A text parameter of the step that was added last. */
void conn_add_text_param(struct conn *c, struct str text)
{
	struct value value = { .type = VALUE_TEXT };

	value.u.s.data =
		g_string_chunk_insert_len(c->text, text.data, (gssize)text.len);
	value.u.s.len = text.len;
	add_param(c, value);
}

/* An integer parameter of the step that was added last. */
void conn_add_int_param(struct conn *c, int64_t i)
{
	struct value value = { .type = VALUE_INT };

	value.u.i = i;
	add_param(c, value);
}

/*
 * Sends the run that was built. done() is called once, from an upstream event
 * or from conn_pool_expire(), unless the connection is closed before that.
 */
void conn_send(struct conn *c, uint64_t max_bytes, uint64_t timeout_us,
	       conn_done_fn done, void *user, uint64_t now_us)
{
	struct conn_pool *pool = c->pool;

	c->state = CONN_BUSY;
	c->done = done;
	c->user = user;
	c->started_us = now_us;
	c->deadline_us = now_us + timeout_us;
	/*
	 * No time limit for the upstream: the pool checks the deadline by the
	 * clock of its now_us arguments.
	 */
	pool->ops->run(pool->upstream, c->id,
		       (const struct upstream_step *)(void *)c->steps->data,
		       c->steps->len, max_bytes, 0);
}

/* Closes at once, without calling a done function. */
void conn_close(struct conn *c)
{
	c->pool->ops->close(c->pool->upstream, c->id);
	remove_conn(c);
}
