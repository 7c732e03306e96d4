#include "session_link.h"

#include <string.h>

struct queued_write {
	uv_write_t req;
	char bytes[];
};

struct deadline {
	uint64_t number;
	uint64_t at_ms; /* by the loop's clock */
};

/* Frees the group when its last handle has been closed. */
static void release_handle(struct session_group *g)
{
	if (--g->open_handles)
		return;
	g_hash_table_destroy(g->links);
	g_array_free(g->deferred, TRUE);
	g_queue_clear_full(&g->deadlines, g_free);
	g_string_free(g->out, TRUE);
	g_free(g);
}

/* The group is freed with its last handle. */
void session_group_on_closed(uv_handle_t *handle)
{
	release_handle(handle->data);
}

static void on_link_closed(uv_handle_t *handle)
{
	struct session_link *l = handle->data;
	struct session_group *g = l->group;

	g->ops->clear(l);
	g_free(l);
	release_handle(g);
}

/* The group is embedded at the start of a front or an upstream. */
void session_group_init(struct session_group *g,
			const struct session_setup *setup,
			const struct session_group_ops *ops,
			unsigned deadline_ms)
{
	g->ops = ops;
	g->setup = *setup;
	g->deadline_ms = deadline_ms;
	g->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	g->deferred = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_queue_init(&g->deadlines);
	g->out = g_string_new(NULL);
	uv_idle_init(setup->loop, &g->deferred_idle);
	uv_timer_init(setup->loop, &g->timer);
	g->deferred_idle.data = g->timer.data = g;
	g->open_handles = 2;
}

/* The relay that the connections report to. */
struct relay *session_group_relay(const struct session_group *g)
{
	return g->setup.host->relay(g->setup.node);
}

/* Has the relay act on what was reported. */
void session_group_wake(const struct session_group *g)
{
	g->setup.host->wake(g->setup.node);
}

/* Closes all handles; the loop has to run until they are closed. */
void session_group_close(struct session_group *g)
{
	GHashTableIter iter;
	gpointer value;

	uv_close((uv_handle_t *)&g->deferred_idle, session_group_on_closed);
	uv_close((uv_handle_t *)&g->timer, session_group_on_closed);
	g_hash_table_iter_init(&iter, g->links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct session_link *l = value;

		g_hash_table_iter_remove(&iter);
		uv_close((uv_handle_t *)&l->tcp, on_link_closed);
	}
}

/* NULL if the link was removed. */
struct session_link *session_group_find(struct session_group *g,
					uint64_t number)
{
	return g_hash_table_lookup(g->links, &number);
}

/* The link's handle must be initialized. */
void session_link_add(struct session_link *l, struct session_group *g,
		      uint64_t number)
{
	l->group = g;
	l->number = number;
	l->tcp.data = l;
	g->open_handles++;
	g_hash_table_insert(g->links, &l->number, l);
}

/* Whether the link was removed. */
bool session_link_is_closing(const struct session_link *l)
{
	return uv_is_closing((const uv_handle_t *)&l->tcp);
}

/*
 * The link is freed by the close callback, in the loop's current iteration at
 * the earliest.
 */
void session_link_remove(struct session_link *l)
{
	g_hash_table_remove(l->group->links, &l->number);
	uv_close((uv_handle_t *)&l->tcp, on_link_closed);
}

static void on_written(uv_write_t *req, int status)
{
	struct session_link *l = req->handle->data;

	g_free(req);
	if (status && status != UV_ECANCELED)
		l->group->ops->write_failed(l);
}

/* Queues a copy of the bytes that the socket didn't accept. */
static int queue_unsent(struct session_link *l, struct str unsent)
{
	struct queued_write *w = g_malloc(sizeof(*w) + unsent.len);
	uv_buf_t buf = uv_buf_init(w->bytes, (unsigned)unsent.len);
	int status;

	memcpy(w->bytes, unsent.data, unsent.len);
	status = uv_write(&w->req, (uv_stream_t *)&l->tcp, &buf, 1, on_written);
	if (status)
		g_free(w);
	return status;
}

/*
 * Writes directly first: most answers fit into the socket's buffer, so that no
 * allocation is needed.
 */
int session_link_send(struct session_link *l)
{
	GString *out = l->group->out;
	struct str unsent = str_from_gstring(out);
	uv_buf_t buf = uv_buf_init(out->str, (unsigned)out->len);
	int done = uv_try_write((uv_stream_t *)&l->tcp, &buf, 1);
	int status = done < 0 && done != UV_EAGAIN ? done : 0;

	if (done > 0) {
		unsent.data += done;
		unsent.len -= (size_t)done;
	}
	if (!status && unsent.len)
		status = queue_unsent(l, unsent);
	g_string_truncate(out, 0);
	return status;
}

static void alloc_buffer(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	struct session_link *l = handle->data;

	(void)suggested;
	*buf = uv_buf_init(l->group->buffer, SESSION_READ_BYTES);
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct session_link *l = stream->data;
	struct str in = { buf->base, n > 0 ? (size_t)n : 0 };

	if (n)
		l->group->ops->read(l, in);
}

/*
 * All links read into one buffer, since the bytes of a read are consumed at
 * once.
 */
int session_link_read(struct session_link *l)
{
	return uv_read_start((uv_stream_t *)&l->tcp, alloc_buffer, on_read);
}

static void on_deferred_idle(uv_idle_t *deferred_idle)
{
	struct session_group *g = deferred_idle->data;
	GArray *deferred = g->deferred;
	unsigned i;

	g->deferred = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	uv_idle_stop(deferred_idle);
	for (i = 0; i < deferred->len; i++) {
		struct session_link *l = session_group_find(
			g, g_array_index(deferred, uint64_t, i));

		if (l)
			g->ops->on_deferred(l);
	}
	g_array_free(deferred, TRUE);
}

/*
 * Has on_deferred() called for the link in the loop's next iteration, outside
 * of any other call.
 */
void session_link_defer(struct session_link *l)
{
	g_array_append_val(l->group->deferred, l->number);
	uv_idle_start(&l->group->deferred_idle, on_deferred_idle);
}

/*
 * Handles the deadlines that have passed and restarts the timer for the oldest
 * one in force.
 */
static void on_timer(uv_timer_t *timer)
{
	struct session_group *g = timer->data;
	uint64_t now_ms = uv_now(g->setup.loop);
	struct deadline *d;

	while ((d = g_queue_peek_head(&g->deadlines))) {
		struct session_link *l = session_group_find(g, d->number);

		if (l && l->has_deadline && d->at_ms > now_ms) {
			uv_timer_start(timer, on_timer, d->at_ms - now_ms, 0);
			return;
		}
		g_free(g_queue_pop_head(&g->deadlines));
		if (l && l->has_deadline)
			g->ops->on_deadline(l);
	}
}

/*
 * Starts the link's deadline: on_deadline() is called after deadline_ms unless
 * has_deadline is cleared by then.
 */
void session_link_start_deadline(struct session_link *l)
{
	struct session_group *g = l->group;
	struct deadline *d = g_new(struct deadline, 1);

	l->has_deadline = true;
	d->number = l->number;
	d->at_ms = uv_now(g->setup.loop) + g->deadline_ms;
	g_queue_push_tail(&g->deadlines, d);
	if (!uv_is_active((uv_handle_t *)&g->timer))
		uv_timer_start(&g->timer, on_timer, g->deadline_ms, 0);
}
