#include "front_private.h"

#include <sys/socket.h>
#include <unistd.h>

/*
 * Limits of a lingering close: for how long, and how many bytes, the front
 * still reads and discards what an answered caller sends.
 */
#define LINGER_TIMEOUT_MS 2000
#define LINGER_MAX_BYTES ((size_t)64 * 1024 * 1024)

/* A connection that h2o has closed and that is read until its caller ends. */
struct front_linger {
	uv_tcp_t tcp; /* first member: libuv passes it to callbacks */
	struct front *front;
	GList link; /* in front.lingers */
	uint64_t deadline_ms; /* loop time */
	size_t bytes; /* discarded so far */
};

static char discarded[64 * 1024];

static void on_closed(uv_handle_t *handle)
{
	struct front_linger *l = (struct front_linger *)handle;
	struct front *f = l->front;

	g_queue_unlink(&f->lingers, &l->link);
	g_free(l);
	front_free_if_closed(f);
}

static void close_linger(struct front_linger *l)
{
	if (!uv_is_closing((uv_handle_t *)&l->tcp))
		uv_close((uv_handle_t *)&l->tcp, on_closed);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(discarded, sizeof(discarded));
}

static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct front_linger *l = (struct front_linger *)stream;

	(void)buf;
	if (n > 0)
		l->bytes += (size_t)n;
	if (n < 0 || l->bytes > LINGER_MAX_BYTES ||
	    uv_now(stream->loop) > l->deadline_ms)
		close_linger(l);
}

/*
 * Prepares a lingering close. A caller whose body is too large is answered
 * while it is still sending. If the socket were closed then, the kernel would
 * answer the next data with a reset, which discards a response that the caller
 * has not read yet: the caller would see a broken connection and couldn't know
 * that nothing ran. So a duplicated descriptor keeps the connection open. It
 * is closed when the caller has closed its side too, or at the limits above.
 */
void front_linger_prepare(struct front_connection *c)
{
	uv_os_fd_t fd;

	if (c->linger_fd >= 0 || uv_fileno((uv_handle_t *)&c->tcp, &fd))
		return;
	c->linger_fd = dup(fd);
}

/*
 * h2o has closed its descriptor: shuts down the sending side, then reads and
 * discards what the caller still sends.
 */
void front_linger_begin(struct front_connection *c)
{
	struct front *f = c->port->front;
	struct front_linger *l;

	if (c->linger_fd < 0)
		return;
	shutdown(c->linger_fd, SHUT_WR);
	l = g_new0(struct front_linger, 1);
	l->front = f;
	l->link.data = l;
	l->deadline_ms = uv_now(f->loop) + LINGER_TIMEOUT_MS;
	uv_tcp_init(f->loop, &l->tcp);
	g_queue_push_tail_link(&f->lingers, &l->link);
	if (uv_tcp_open(&l->tcp, c->linger_fd)) {
		close(c->linger_fd);
		close_linger(l);
	} else if (f->destroyed ||
		   uv_read_start((uv_stream_t *)&l->tcp, on_alloc, on_read)) {
		close_linger(l);
	}
	c->linger_fd = -1;
}

/* Closes the lingering connections whose time is up, or all of them. */
void front_linger_sweep(struct front *f, bool all)
{
	uint64_t now = uv_now(f->loop);
	GList *i;

	for (i = f->lingers.head; i; i = i->next) {
		struct front_linger *l = i->data;

		if (all || now > l->deadline_ms)
			close_linger(l);
	}
}
