#include "wire.h"

#include "line.h"

#include <string.h>

struct wire {
	uv_tcp_t tcp;
	uv_connect_t connecting;
	const struct wire_events *events;
	void *ctx;
	GString *in;
	bool closing;
	char space[16384];
};

struct outgoing {
	uv_write_t req;
	char *data;
};

static void on_freed(uv_handle_t *handle)
{
	struct wire *w = handle->data;

	g_string_free(w->in, TRUE);
	g_free(w);
}

/* Closes; its events have ended. */
void wire_close(struct wire *w, bool reset)
{
	if (!w || w->closing)
		return;
	w->closing = true;
	if (!reset || uv_tcp_close_reset(&w->tcp, on_freed))
		uv_close((uv_handle_t *)&w->tcp, on_freed);
}

static void on_end(struct wire *w)
{
	if (w->closing)
		return;
	wire_close(w, false);
	w->events->closed(w->ctx);
}

static void give_space(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct wire *w = handle->data;

	(void)size;
	*buf = uv_buf_init(w->space, sizeof(w->space));
}

static void take_lines(struct wire *w)
{
	size_t end;

	while (!w->closing &&
	       (end = line_find_end(str_from_gstring(w->in), 0))) {
		char *line = g_strndup(w->in->str, end - 2);

		g_string_erase(w->in, 0, (gssize)end);
		w->events->line(w->ctx, str_from_c(line));
		g_free(line);
	}
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct wire *w = stream->data;

	if (n < 0) {
		on_end(w);
		return;
	}
	g_string_append_len(w->in, buf->base, n);
	take_lines(w);
}

static struct wire *create(uv_loop_t *loop, const struct wire_events *events,
			   void *ctx)
{
	struct wire *w = g_new0(struct wire, 1);

	uv_tcp_init(loop, &w->tcp);
	w->tcp.data = w;
	w->events = events;
	w->ctx = ctx;
	w->in = g_string_new(NULL);
	return w;
}

static void on_connected(uv_connect_t *req, int status)
{
	struct wire *w = req->data;

	if (w->closing)
		return;
	if (status < 0) {
		on_end(w);
		return;
	}
	uv_tcp_nodelay(&w->tcp, 1);
	uv_read_start((uv_stream_t *)&w->tcp, give_space, on_read);
	if (w->events->opened)
		w->events->opened(w->ctx);
}

/* Starts to connect; `opened` or `closed` follows. */
struct wire *wire_connect(uv_loop_t *loop, const char *address, uint16_t port,
			  const struct wire_events *events, void *ctx)
{
	struct wire *w = create(loop, events, ctx);
	struct sockaddr_in to;

	uv_ip4_addr(address, port, &to);
	w->connecting.data = w;
	uv_tcp_connect(&w->connecting, &w->tcp, (struct sockaddr *)&to,
		       on_connected);
	return w;
}

/* The next connection of a listener, NULL when it is gone already. */
struct wire *wire_accept(uv_stream_t *listener,
			 const struct wire_events *events)
{
	struct wire *w = create(listener->loop, events, NULL);

	if (uv_accept(listener, (uv_stream_t *)&w->tcp)) {
		wire_close(w, false);
		return NULL;
	}
	uv_tcp_nodelay(&w->tcp, 1);
	uv_read_start((uv_stream_t *)&w->tcp, give_space, on_read);
	return w;
}

/* Whose connection it is. */
void wire_set_ctx(struct wire *w, void *ctx)
{
	w->ctx = ctx;
}

static void on_written(uv_write_t *req, int status)
{
	struct outgoing *out = req->data;

	(void)status;
	g_free(out->data);
	g_free(out);
}

/* Sends whole lines. */
void wire_send(struct wire *w, const GString *text)
{
	struct outgoing *out;
	uv_buf_t buf;

	if (w->closing)
		return;
	out = g_new0(struct outgoing, 1);
	out->data = g_memdup2(text->str, text->len);
	out->req.data = out;
	buf = uv_buf_init(out->data, (unsigned)text->len);
	uv_write(&out->req, (uv_stream_t *)&w->tcp, &buf, 1, on_written);
}
