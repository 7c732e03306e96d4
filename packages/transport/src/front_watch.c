#include "front_private.h"

#include <sys/socket.h>

#define LOG_MODULE "front"
#include <celeryquay/base/log.h>

/*
 * Least rate at which a request must be received and a response read, beyond
 * the time that every request has.
 */
#define MIN_RATE_BYTES_PER_MS 32
/* Longest interval between checks for slow callers. */
#define TICK_MAX_MS 1000

/*
 * Shuts down one or both directions of the socket; h2o then reads the end of
 * the stream and closes the connection.
 */
void front_shutdown_socket(struct front_connection *c, int how)
{
	uv_os_fd_t fd;

	if (c->sock && !uv_fileno((uv_handle_t *)&c->tcp, &fd))
		shutdown(fd, how);
}

/*
 * The caller has closed its side or has sent more data. More data is the next
 * request: it stays in the socket's buffer for h2o, and the watch ends, because
 * reading on would let the caller fill that buffer.
 */
static void on_read(h2o_socket_t *sock, const char *err)
{
	struct front_connection *c = sock->on_close.data;
	struct front_request *fr = c->watched;

	front_watch_stop(fr);
	if (err)
		front_hang_up(fr);
}

static void on_watch_due(h2o_timeout_entry_t *entry)
{
	struct front_request *fr =
		H2O_STRUCT_FROM_MEMBER(struct front_request, watch, entry);

	fr->connection->watched = fr;
	h2o_socket_read_start(fr->connection->sock, on_read);
}

/*
 * Watches for the caller hanging up before it is answered. h2o doesn't read
 * from an HTTP/1 connection while its request is served, so a hang-up would go
 * unnoticed and the caller's statements would keep their slot. After a request
 * has waited for 100 ms, the front reads from its connection; shorter requests
 * cost nothing. On HTTP/2, h2o itself notices the end of the stream.
 */
void front_watch_start(struct front_request *fr)
{
	struct front *f = fr->front;

	fr->watch.cb = on_watch_due;
	if (!fr->connection->http2 && !fr->answered)
		h2o_timeout_link(f->loop, &f->context.hundred_ms_timeout,
				 &fr->watch);
}

/* Ends the watch and leaves the socket to h2o. */
void front_watch_stop(struct front_request *fr)
{
	if (h2o_timeout_is_linked(&fr->watch))
		h2o_timeout_unlink(&fr->watch);
	if (fr->connection->watched != fr)
		return;
	fr->connection->watched = NULL;
	h2o_socket_read_stop(fr->connection->sock);
}

/* Milliseconds that a request of this size may take to be received. */
static uint64_t time_allowed(const struct front *f, size_t bytes)
{
	return f->header_timeout_us / USEC_PER_MSEC +
	       bytes / MIN_RATE_BYTES_PER_MS;
}

/*
 * Whether a partial HTTP/1 request, or the first request of a refused
 * connection, has taken too long.
 */
static bool is_request_overdue(struct front *f, struct front_connection *c,
			       uint64_t now)
{
	size_t bytes = c->sock->input->size;

	if (c->exchanges || c->http2 || (!bytes && !c->refused)) {
		c->partial_since_ms = 0;
		return false;
	}
	if (!c->partial_since_ms)
		c->partial_since_ms = now;
	return now - c->partial_since_ms > time_allowed(f, bytes);
}

/*
 * Closes the connection of an HTTP/2 request that has taken too long to be
 * received. On HTTP/2 each request has a buffer of its own.
 */
static int check_http2_request(h2o_req_t *req, void *data)
{
	struct front *f = data;
	struct timeval *now = h2o_get_timestamp(&f->context, NULL, NULL);
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	int64_t age;

	if (req->processed_at.at.tv_sec ||
	    !req->timestamps.request_begin_at.tv_sec)
		return 0;
	age = h2o_timeval_subtract(&req->timestamps.request_begin_at, now);
	age /= (int64_t)USEC_PER_MSEC;
	if (age <= (int64_t)time_allowed(f, req->entity.len))
		return 0;
	LOG_INFO("HTTP/2 connection closed, request incomplete after %d ms",
		 (int)age);
	front_shutdown_socket(sock->on_close.data, SHUT_RDWR);
	return 0;
}

/*
 * Closes the connection of a caller that doesn't read its response, which
 * would otherwise stay in memory and delay a planned stop. A slice must be read
 * within the time that a request of its size may take.
 */
static void check_answer(struct front_request *fr, uint64_t now)
{
	if (!fr->answered ||
	    now - fr->slice_at_ms <=
		    time_allowed(fr->front, FRONT_SLICE_MAX_BYTES))
		return;
	LOG_INFO("connection closed, caller does not read the response");
	front_shutdown_socket(fr->connection, SHUT_RDWR);
}

static void check_connection(struct front *f, struct front_connection *c,
			     uint64_t now)
{
	if (!c->sock || !is_request_overdue(f, c, now))
		return;
	LOG_INFO("connection closed, only %zu bytes of a request in %u ms",
		 c->sock->input->size, (unsigned)(now - c->partial_since_ms));
	front_shutdown_socket(c, SHUT_RDWR);
}

/*
 * Callers' connections may be idle for minutes between requests, but once a
 * request has begun, all of it must be received soon. Otherwise a caller that
 * sends a byte now and then could hold a connection and its buffer for ever,
 * and a few thousand such callers would use up the limit on connections.
 */
static void on_tick(uv_timer_t *timer)
{
	struct front *f = timer->data;
	uint64_t now = uv_now(f->loop);
	GList *l;

	for (l = f->connections.head; l; l = l->next)
		check_connection(f, l->data, now);
	for (l = f->exchanges.head; l; l = l->next)
		check_answer(l->data, now);
	front_linger_sweep(f, false);
	f->config.http2.callbacks.foreach_request(&f->context,
						  check_http2_request, f);
}

/* Starts the periodic check for slow callers. */
void front_tick_start(struct front *f)
{
	uint64_t ms = f->header_timeout_us / USEC_PER_MSEC / 4;

	ms = CLAMP(ms, 1, TICK_MAX_MS);
	uv_timer_init(f->loop, &f->tick);
	f->tick.data = f;
	uv_timer_start(&f->tick, on_tick, ms, ms);
}
