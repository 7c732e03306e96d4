#ifndef STANDIN_SERVER_LOG_H
#define STANDIN_SERVER_LOG_H

/*
 * The server's log of committed transactions: entries by position, and the
 * history that says at which position each term starts. No I/O.
 */

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

struct log_position {
	uint64_t term;
	uint64_t position;
};

struct log_entry {
	uint64_t term;
	uint64_t position;
	uint64_t received_us;
	size_t len;
	uint8_t data[];
};

struct log_term {
	uint64_t term;
	uint64_t first;
};

struct slog;

struct slog *slog_create(void);
void slog_destroy(struct slog *log);

struct log_entry *log_entry_create(uint64_t term, uint64_t position,
				   const uint8_t *data, size_t len);

void slog_append(struct slog *log, struct log_entry *entry);
void slog_cut(struct slog *log, uint64_t last);
uint64_t slog_last(const struct slog *log);
uint64_t slog_last_term(const struct slog *log);
uint64_t slog_term_at(const struct slog *log, uint64_t position);
bool slog_has(const struct slog *log, uint64_t term, uint64_t position);
struct log_entry *slog_get(const struct slog *log, uint64_t position);

const struct log_term *slog_history(const struct slog *log, size_t *count);
uint64_t slog_last_common(const struct slog *log, const struct log_term *theirs,
			  size_t count, uint64_t their_last);

#endif
