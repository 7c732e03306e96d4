#include <celeryquay/core/types.h>

/* The term of the entry at an index; 0 if it precedes the kept history. */
uint64_t history_term_at(const struct history *h, uint64_t index)
{
	unsigned i;

	for (i = h->count; i > 0; i--) {
		if (h->entries[i - 1].start <= index)
			return h->entries[i - 1].term;
	}
	return 0;
}

/*
 * Whether a log with this history contains the position, judged by terms only;
 * the caller must compare the position with the end of the log itself. Terms
 * only rise along a log, so a position before the first kept entry can be part
 * of it only with an older term.
 */
bool history_contains(const struct history *h, struct position p)
{
	if (!p.term || !p.index)
		return true;
	if (!h->count)
		return false;
	if (p.index < h->entries[0].start)
		return p.term < h->entries[0].term;
	return history_term_at(h, p.index) == p.term;
}
