#define _GNU_SOURCE
#include <celeryquay/base/log_sink.h>

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

/* Bounds the lines not read yet; a reader that is further behind loses lines.
 */
#define BUFFER_MAX_BYTES ((size_t)256 * 1024)
/*
 * Limits of a batch of routine lines. They are batched since one write() costs
 * more than one line.
 */
#define BATCH_MAX_BYTES ((size_t)32 * 1024)
#define FLUSH_INTERVAL_US ((uint64_t)500 * 1000)
/* The budget is counted per window of this length. */
#define WINDOW_US ((uint64_t)1000 * 1000)
/* A pipe that poll() reports as writable accepts this much without blocking. */
#define CHUNK_BYTES ((size_t)4096)
/* Share of the budget that a class may use; the rest is for higher classes. */
#define ROUTINE_PERCENT 50
#define FAILURE_PERCENT 90

static const struct log_budget no_limit = { UINT64_MAX / 100,
					    UINT64_MAX / 100 };

static struct {
	int fd;
	bool private; /* own open file description, in non-blocking mode */
	struct log_budget budget;
	GString *buffer;
	bool urgent; /* the buffer holds failure or state lines */
	uint64_t flushed_at_us;
	uint64_t window_start_us; /* start of the current budget window */
	uint64_t lines; /* accepted in the current window */
	uint64_t bytes; /* accepted in the current window */
	uint64_t dropped[LOG_CLASS_COUNT]; /* not reported yet */
	bool drop_report_due; /* may be reported; set once per window */
	uint64_t dropped_total;
} sink = { .fd = -1 };

/*
 * If nobody reads standard output, a blocking write() would stop the process.
 * Non-blocking mode is a property of the open file description, which other
 * processes may share, so a pipe is opened a second time. Where that is not
 * possible, each write is limited to what poll() says will not block.
 */
static int reopen_nonblocking(int fd)
{
	struct stat st;
	char path[32];

	if (fstat(fd, &st) || !S_ISFIFO(st.st_mode))
		return -1;
	g_snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	return open(path, O_WRONLY | O_NONBLOCK | O_CLOEXEC);
}

/* Writes to fd from now on; budget NULL: limited only by the buffer. */
void log_sink_open(int fd, const struct log_budget *budget)
{
	int own = reopen_nonblocking(fd);

	if (sink.private)
		close(sink.fd);
	sink.private = own >= 0;
	sink.fd = sink.private ? own : fd;
	sink.budget = budget ? *budget : no_limit;
	sink.urgent = sink.drop_report_due = false;
	sink.window_start_us = sink.lines = sink.bytes = sink.dropped_total = 0;
	memset(sink.dropped, 0, sizeof(sink.dropped));
	if (sink.buffer)
		g_string_truncate(sink.buffer, 0);
}

static GString *buffer(void)
{
	if (!sink.buffer)
		sink.buffer = g_string_sized_new(2 * BATCH_MAX_BYTES);
	return sink.buffer;
}

static bool is_writable(void)
{
	struct pollfd p = { .fd = sink.fd, .events = POLLOUT };

	return sink.private || (poll(&p, 1, 0) == 1 && (p.revents & POLLOUT));
}

/* Writes as much as the reader accepts without blocking. */
void log_sink_flush(void)
{
	GString *b = buffer();
	size_t done = 0;

	while (sink.fd >= 0 && done < b->len && is_writable()) {
		size_t max_bytes = sink.private ?
					   b->len - done :
					   MIN(b->len - done, CHUNK_BYTES);
		ssize_t n = write(sink.fd, b->str + done, max_bytes);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			break;
		done += (size_t)n;
	}
	g_string_erase(b, 0, (gssize)done);
	sink.urgent = sink.urgent && b->len;
}

/* Flushes if urgent lines are buffered or the flush interval has passed. */
void log_sink_flush_due(uint64_t now_us)
{
	if (!sink.urgent && now_us < sink.flushed_at_us + FLUSH_INTERVAL_US)
		return;
	sink.flushed_at_us = now_us;
	if (sink.buffer && sink.buffer->len)
		log_sink_flush();
}

static void append(const char *line, size_t len)
{
	g_string_append_len(buffer(), line, (gssize)len);
	g_string_append_c(buffer(), '\n');
	if (buffer()->len >= BATCH_MAX_BYTES)
		log_sink_flush();
}

static void advance_window(uint64_t now_us)
{
	if (now_us < sink.window_start_us + WINDOW_US &&
	    now_us >= sink.window_start_us)
		return;
	sink.window_start_us = now_us;
	sink.lines = 0;
	sink.bytes = 0;
	sink.drop_report_due = true;
}

static void count_dropped(enum log_class class)
{
	sink.dropped[class]++;
	sink.dropped_total++;
}

static bool is_accepted(enum log_class class)
{
	static const uint64_t percent[LOG_CLASS_COUNT] = {
		[LOG_ROUTINE] = ROUTINE_PERCENT,
		[LOG_FAILURE] = FAILURE_PERCENT,
		[LOG_STATE] = 100,
	};

	return sink.lines * 100 < sink.budget.lines_per_s * percent[class] &&
	       sink.bytes * 100 < sink.budget.bytes_per_s * percent[class] &&
	       buffer()->len < BUFFER_MAX_BYTES;
}

/*
 * Whether a line of this class is accepted now; counts it as dropped if not.
 * Asked before a line is formatted, to save the work for dropped lines.
 */
bool log_sink_has_room(enum log_class class, uint64_t now_us)
{
	advance_window(now_us);
	if (sink.fd < 0)
		return false;
	if (is_accepted(class))
		return true;
	count_dropped(class);
	return false;
}

/* Buffers a line for which there is room; a later flush writes it. */
void log_sink_put(enum log_class class, const char *line, size_t len)
{
	sink.lines++;
	sink.bytes += len + 1;
	if (class != LOG_ROUTINE)
		sink.urgent = true;
	append(line, len);
}

/*
 * Returns the drop counts not yet reported and marks them as reported.
 * False if there are none, if this window's counts were taken already, or if
 * the buffer is over half full because the reader is slow.
 */
bool log_sink_take_drop_counts(uint64_t dropped[LOG_CLASS_COUNT])
{
	if (!sink.drop_report_due || buffer()->len > BUFFER_MAX_BYTES / 2)
		return false;
	sink.drop_report_due = false;
	if (!sink.dropped[LOG_ROUTINE] && !sink.dropped[LOG_FAILURE] &&
	    !sink.dropped[LOG_STATE])
		return false;
	memcpy(dropped, sink.dropped, sizeof(sink.dropped));
	memset(sink.dropped, 0, sizeof(sink.dropped));
	return true;
}

/* Number of lines dropped since the sink was opened. */
uint64_t log_sink_dropped(void)
{
	return sink.dropped_total;
}
