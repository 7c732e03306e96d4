#include "fault_pipe.h"

#include "fault_connection.h"

#define READ_BYTES 16384
/* Above this a pipe stops reading, below half of it it starts again. */
#define MAX_QUEUED ((size_t)1024 * 1024)

enum chunk_kind {
	CHUNK_DATA,
	CHUNK_END, /* the source has sent its last byte */
	CHUNK_RESET, /* the source was reset */
};

struct chunk {
	enum chunk_kind kind;
	struct fault_pipe *pipe;
	GList link;
	uint64_t due_us;
	char *data;
	size_t size;
	uv_write_t write;
};

static void chunk_free(struct chunk *chunk)
{
	g_free(chunk->data);
	g_free(chunk);
}

/*
 * Forgets what waits to be written. Returns how many bytes that was.
 */
size_t fault_pipe_clear(struct fault_pipe *pipe)
{
	struct chunk *chunk;
	size_t cleared = 0;

	while (!g_queue_is_empty(&pipe->waiting)) {
		chunk = g_queue_pop_head_link(&pipe->waiting)->data;
		pipe->queued -= chunk->size;
		cleared += chunk->size;
		chunk_free(chunk);
	}
	return cleared;
}

/*
 * A direction is over when its end was told, or is swallowed for good.
 */
bool fault_pipe_is_over(const struct fault_pipe *pipe)
{
	return pipe->finished || (pipe->silent && pipe->ended);
}

/*
 * When a chunk may be written: after the delay, with its jitter, and after
 * the stall of a retransmission if it is one of those that were lost. The
 * queue keeps the order of a TCP stream, so what follows waits as well.
 */
static uint64_t pick_due(struct fault_pipe *pipe)
{
	struct fault_route *route = pipe->connection->route;
	struct fault_settings *settings = &route->settings;
	uint64_t due_us = fault_now_us() + settings->delay_us;

	if (settings->jitter_us > 0)
		due_us += (uint64_t)(g_rand_double(settings->jitter_rand) *
				     (double)settings->jitter_us);
	if (settings->loss > 0 &&
	    g_rand_double(settings->loss_rand) < settings->loss) {
		due_us += settings->stall_us;
		route->counters.stalls++;
	}
	return due_us;
}

static void queue_chunk(struct fault_pipe *pipe, enum chunk_kind kind,
			char *data, size_t size)
{
	struct chunk *chunk = g_new0(struct chunk, 1);

	chunk->kind = kind;
	chunk->pipe = pipe;
	chunk->link.data = chunk;
	chunk->data = data;
	chunk->size = size;
	chunk->due_us = pick_due(pipe);
	pipe->queued += size;
	g_queue_push_tail_link(&pipe->waiting, &chunk->link);
}

static struct fault_pipe *reverse_of(struct fault_pipe *pipe)
{
	return &pipe->connection->pipes[1 - pipe->direction];
}

static void swallow(struct fault_pipe *pipe, size_t size)
{
	struct fault_route *route = pipe->connection->route;

	route->counters.swallowed[pipe->direction] += size;
	pipe->swallowed = true;
}

/*
 * Cuts the bytes off after which the connection is to be reset. Returns how
 * many of them still go through.
 */
static size_t count_drop(struct fault_pipe *pipe, size_t size)
{
	struct fault_route *route = pipe->connection->route;
	struct fault_drop *drop = &route->settings.drop[pipe->direction];

	if (!drop->armed)
		return size;
	if (size < drop->bytes_left) {
		drop->bytes_left -= size;
		return size;
	}
	drop->armed = false;
	pipe->dropping = true;
	return (size_t)drop->bytes_left;
}

static void take_bytes(struct fault_pipe *pipe, char *data, size_t size)
{
	struct fault_route *route = pipe->connection->route;

	route->counters.bytes[pipe->direction] += size;
	if (pipe->silent || pipe->broken || pipe->dropping) {
		if (pipe->silent)
			swallow(pipe, size);
		g_free(data);
		return;
	}
	size = count_drop(pipe, size);
	if (size > 0)
		queue_chunk(pipe, CHUNK_DATA, data, size);
	else
		g_free(data);
	if (pipe->dropping)
		queue_chunk(pipe, CHUNK_RESET, NULL, 0);
	fault_pipe_pump(pipe);
}

static void take_end(struct fault_pipe *pipe, enum chunk_kind kind)
{
	pipe->ended = true;
	pipe->reading = false;
	if (pipe->silent) {
		pipe->swallowed = true;
		pipe->connection->route->counters.swallowed_ends++;
		fault_connection_close_if_over(pipe->connection);
		return;
	}
	queue_chunk(pipe, kind, NULL, 0);
	fault_pipe_pump(pipe);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	buf->base = g_malloc(READ_BYTES);
	buf->len = READ_BYTES;
}

static void on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	struct fault_pipe *pipe = stream->data;

	if (got > 0) {
		take_bytes(pipe, buf->base, (size_t)got);
		return;
	}
	g_free(buf->base);
	if (got < 0)
		take_end(pipe, got == UV_EOF ? CHUNK_END : CHUNK_RESET);
}

/*
 * Reads as long as the queue is small. A full queue leaves the bytes to the
 * kernel, whose window then slows the sender down.
 */
static void adjust_reading(struct fault_pipe *pipe)
{
	const struct fault_connection *connection = pipe->connection;

	if (connection->closing || !connection->connected || pipe->ended)
		return;
	if (!connection->has_target && pipe->direction == FAULT_DOWN)
		return;
	if (pipe->reading && pipe->queued > MAX_QUEUED) {
		uv_read_stop(pipe->from);
		pipe->reading = false;
	} else if (!pipe->reading && pipe->queued <= MAX_QUEUED / 2) {
		uv_read_start(pipe->from, on_alloc, on_read);
		pipe->reading = true;
	}
}

static void on_written(uv_write_t *write, int status)
{
	struct chunk *chunk = write->data;
	struct fault_pipe *pipe = chunk->pipe;
	struct fault_pipe *reverse = reverse_of(pipe);

	pipe->writing--;
	pipe->queued -= chunk->size;
	chunk_free(chunk);
	if (pipe->connection->closing)
		return;
	if (status < 0 && !pipe->broken) {
		pipe->broken = true;
		if (!reverse->silent) {
			queue_chunk(reverse, CHUNK_RESET, NULL, 0);
			fault_pipe_pump(reverse);
		}
	}
	if (!pipe->connection->closing)
		fault_pipe_pump(pipe);
}

static void on_shutdown(uv_shutdown_t *shutdown, int status)
{
	struct fault_pipe *pipe = shutdown->data;

	(void)status;
	if (pipe->connection->closing)
		return;
	pipe->finished = true;
	fault_connection_close_if_over(pipe->connection);
}

static void write_chunk(struct fault_pipe *pipe, struct chunk *chunk)
{
	uv_buf_t buf = uv_buf_init(chunk->data, (unsigned)chunk->size);

	chunk->write.data = chunk;
	pipe->writing++;
	if (uv_write(&chunk->write, pipe->to, &buf, 1, on_written) == 0)
		return;
	pipe->writing--;
	pipe->broken = true;
	pipe->queued -= chunk->size;
	chunk_free(chunk);
}

static void deliver_end(struct fault_pipe *pipe)
{
	pipe->shutdown.data = pipe;
	if (uv_shutdown(&pipe->shutdown, pipe->to, on_shutdown) == 0)
		return;
	pipe->finished = true;
	fault_connection_close_if_over(pipe->connection);
}

static void deliver(struct fault_pipe *pipe, struct chunk *chunk)
{
	enum chunk_kind kind = chunk->kind;

	if (kind == CHUNK_DATA) {
		write_chunk(pipe, chunk);
		return;
	}
	chunk_free(chunk);
	if (kind == CHUNK_END)
		deliver_end(pipe);
	else
		fault_connection_close(pipe->connection, true);
}

/*
 * Writes what is due. An end goes out after all bytes before it.
 */
void fault_pipe_pump(struct fault_pipe *pipe)
{
	struct fault_route *route = pipe->connection->route;
	uint64_t now_us = fault_now_us();
	uint64_t due_us;
	struct chunk *chunk;

	while (!pipe->connection->closing &&
	       !g_queue_is_empty(&pipe->waiting)) {
		chunk = g_queue_peek_head(&pipe->waiting);
		due_us = MAX(chunk->due_us, route->settings.paused_until_us);
		if (due_us > now_us) {
			fault_clock_arm(route->clock, &pipe->alarm, due_us);
			break;
		}
		if (chunk->kind != CHUNK_DATA && pipe->writing > 0)
			break;
		g_queue_unlink(&pipe->waiting, &chunk->link);
		deliver(pipe, chunk);
	}
	adjust_reading(pipe);
}

static void on_alarm(struct fault_alarm *alarm)
{
	fault_pipe_pump((struct fault_pipe *)alarm);
}

/*
 * Prepares a direction; the sockets need not be open yet.
 */
void fault_pipe_init(struct fault_pipe *pipe,
		     struct fault_connection *connection,
		     enum fault_direction direction, uv_tcp_t *from,
		     uv_tcp_t *to)
{
	pipe->alarm.fire = on_alarm;
	pipe->connection = connection;
	pipe->direction = direction;
	pipe->from = (uv_stream_t *)from;
	pipe->to = (uv_stream_t *)to;
	pipe->silent = connection->route->settings.silent_new[direction];
	g_queue_init(&pipe->waiting);
	from->data = pipe;
}

/*
 * From now on the bytes of a direction vanish, with those that were on
 * their way, and so does its end.
 */
void fault_pipe_silence(struct fault_pipe *pipe)
{
	pipe->silent = true;
	fault_clock_disarm(pipe->connection->route->clock, &pipe->alarm);
	if (!g_queue_is_empty(&pipe->waiting))
		swallow(pipe, fault_pipe_clear(pipe));
	adjust_reading(pipe);
}

/*
 * Delivers what was held back. If it has lost bytes it stays silent.
 */
void fault_pipe_heal(struct fault_pipe *pipe)
{
	GList *link;

	if (!pipe->swallowed)
		pipe->silent = false;
	for (link = pipe->waiting.head; link; link = link->next)
		((struct chunk *)link->data)->due_us = 0;
	fault_clock_disarm(pipe->connection->route->clock, &pipe->alarm);
	fault_pipe_pump(pipe);
}
