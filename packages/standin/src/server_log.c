#include "server_log.h"

#include <string.h>

struct slog {
	GPtrArray *entries; /* the entry of position p is at p - 1 */
	GArray *history;
};

/* Creates an empty log. */
struct slog *slog_create(void)
{
	struct slog *log = g_new0(struct slog, 1);

	log->entries = g_ptr_array_new_with_free_func(g_free);
	log->history = g_array_new(FALSE, FALSE, sizeof(struct log_term));
	return log;
}

/* Frees the log and its entries. */
void slog_destroy(struct slog *log)
{
	if (!log)
		return;
	g_ptr_array_free(log->entries, TRUE);
	g_array_free(log->history, TRUE);
	g_free(log);
}

/* Makes an entry with a copy of the data. Whoever appends it gives it away. */
struct log_entry *log_entry_create(uint64_t term, uint64_t position,
				   const uint8_t *data, size_t len)
{
	struct log_entry *entry = g_malloc(sizeof(*entry) + len);

	entry->term = term;
	entry->position = position;
	entry->received_us = 0;
	entry->len = len;
	if (len)
		memcpy(entry->data, data, len);
	return entry;
}

/*
 * Appends an entry, whose position must be the one after the last and whose
 * term must not be below the last one's. The log owns it from then on.
 */
void slog_append(struct slog *log, struct log_entry *entry)
{
	struct log_term start = { entry->term, entry->position };

	g_assert(entry->position == slog_last(log) + 1);
	g_assert(entry->term >= slog_last_term(log));
	if (entry->term > slog_last_term(log))
		g_array_append_val(log->history, start);
	g_ptr_array_add(log->entries, entry);
}

/* Removes every entry after position `last`. */
void slog_cut(struct slog *log, uint64_t last)
{
	const struct log_term *start;

	if (last >= slog_last(log))
		return;
	g_ptr_array_set_size(log->entries, (gint)last);
	while (log->history->len) {
		start = &g_array_index(log->history, struct log_term,
				       log->history->len - 1);
		if (start->first <= last)
			break;
		g_array_set_size(log->history, log->history->len - 1);
	}
}

/* The position of the last entry, 0 for an empty log. */
uint64_t slog_last(const struct slog *log)
{
	return log->entries->len;
}

/* The term of the last entry, 0 for an empty log. */
uint64_t slog_last_term(const struct slog *log)
{
	if (!log->history->len)
		return 0;
	return g_array_index(log->history, struct log_term,
			     log->history->len - 1)
		.term;
}

/* The term of the entry at a position, 0 where there is none. */
uint64_t slog_term_at(const struct slog *log, uint64_t position)
{
	const struct log_entry *entry = slog_get(log, position);

	return entry ? entry->term : 0;
}

/* Whether the log has this entry; position 0 of term 0 is in every log. */
bool slog_has(const struct slog *log, uint64_t term, uint64_t position)
{
	if (position > slog_last(log))
		return false;
	return slog_term_at(log, position) == term;
}

/* The entry at a position, or NULL. It stays the log's. */
struct log_entry *slog_get(const struct slog *log, uint64_t position)
{
	if (!position || position > log->entries->len)
		return NULL;
	return g_ptr_array_index(log->entries, position - 1);
}

/* The first position of each term in the log, in order. */
const struct log_term *slog_history(const struct slog *log, size_t *count)
{
	*count = log->history->len;
	return (const struct log_term *)(void *)log->history->data;
}

/* The last position of the index-th term of a history. */
static uint64_t term_end(const struct log_term *history, size_t count,
			 size_t index, uint64_t last)
{
	return index + 1 < count ? history[index + 1].first - 1 : last;
}

/*
 * The last position that this log and another have in common. Two logs that
 * have a term in common are the same up to the shorter one's end of that term,
 * since a term has one primary and a replica takes entries only after one that
 * it has too.
 */
uint64_t slog_last_common(const struct slog *log, const struct log_term *theirs,
			  size_t count, uint64_t their_last)
{
	const struct log_term *ours;
	size_t our_count, i, j;
	uint64_t common = 0, our_end, their_end;

	ours = slog_history(log, &our_count);
	for (i = 0; i < our_count; i++) {
		for (j = 0; j < count; j++) {
			if (ours[i].term != theirs[j].term ||
			    ours[i].first != theirs[j].first)
				continue;
			our_end = term_end(ours, our_count, i, slog_last(log));
			their_end = term_end(theirs, count, j, their_last);
			common = MAX(common, MIN(our_end, their_end));
		}
	}
	return common;
}
