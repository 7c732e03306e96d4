#include "peer_private.h"

#include <zmq.h>

static void free_watch(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_poll(uv_poll_t *poll, int status, int events)
{
	struct peer_watch *w = poll->data;

	(void)status;
	(void)events;
	if (w->data)
		w->ready(w->data);
}

/*
 * Creates a watch for a socket's descriptor, not started yet. The descriptor
 * only signals that the socket's state has changed, so `ready` has to read
 * until the socket returns EAGAIN.
 */
struct peer_watch *peer_watch_create(uv_loop_t *loop, void *socket,
				     void (*ready)(void *), void *data)
{
	struct peer_watch *w;
	int fd = -1;
	size_t len = sizeof(fd);

	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &len))
		return NULL;
	w = g_new0(struct peer_watch, 1);
	w->ready = ready;
	w->data = data;
	if (uv_poll_init(loop, &w->poll, fd)) {
		g_free(w);
		return NULL;
	}
	w->poll.data = w;
	return w;
}

/* Starts watching; an earlier change is signalled too. */
void peer_watch_start(struct peer_watch *w)
{
	uv_poll_start(&w->poll, UV_READABLE, on_poll);
}

/* Stops watching until the next start. */
void peer_watch_stop(struct peer_watch *w)
{
	uv_poll_stop(&w->poll);
}

/*
 * Removes the descriptor from the loop; must be called before the socket is
 * closed.
 */
void peer_watch_close(struct peer_watch *w)
{
	if (!w)
		return;
	w->data = NULL;
	uv_close((uv_handle_t *)&w->poll, free_watch);
}

/* Sets an integer option of a socket. */
bool peer_set_option(void *socket, int option, int value)
{
	return !zmq_setsockopt(socket, option, &value, sizeof(value));
}
