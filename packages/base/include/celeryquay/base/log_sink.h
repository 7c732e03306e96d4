#ifndef CELERYQUAY_BASE_LOG_SINK_H
#define CELERYQUAY_BASE_LOG_SINK_H

/*
 * Writes log lines to a file descriptor without blocking, within a budget of
 * lines and bytes per second. Lines that exceed it are dropped and counted; a
 * log line reports the counts. Until the sink is opened nothing is logged.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Importance of a line, ascending: lower classes are dropped first. */
enum log_class {
	LOG_ROUTINE, /* a request that succeeded */
	LOG_FAILURE, /* one refused, failed or of unknown outcome */
	LOG_STATE, /* a change of state, or start and stop of the process */
	LOG_CLASS_COUNT,
};

struct log_budget {
	uint64_t lines_per_s;
	uint64_t bytes_per_s;
};

/*
 * Resets all counts to 0 and discards buffered lines. budget NULL: lines are
 * limited only by the size of the buffer.
 */
void log_sink_open(int fd, const struct log_budget *budget);
/* Whether a line of this class is accepted now; counts it as dropped if not. */
bool log_sink_has_room(enum log_class class, uint64_t now_us);
/* Adds a line, given without its line feed. */
void log_sink_put(enum log_class class, const char *line, size_t len);
/* Takes the drop counts not yet reported; false: nothing to report now. */
bool log_sink_take_drop_counts(uint64_t dropped[LOG_CLASS_COUNT]);
/* Writes as much as the reader accepts without blocking. */
void log_sink_flush(void);
/* Flushes if urgent lines are buffered or the flush interval has passed. */
void log_sink_flush_due(uint64_t now_us);
/* Number of lines dropped since the sink was opened. */
uint64_t log_sink_dropped(void);

#endif
