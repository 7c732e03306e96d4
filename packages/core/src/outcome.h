#ifndef CELERYQUAY_CORE_OUTCOME_H
#define CELERYQUAY_CORE_OUTCOME_H

/*
 * The rows of the outcome table: the key and summary that are written for a
 * request, how a row is parsed, and the answer that it gives to a repetition of
 * the request.
 */

#include <celeryquay/core/request.h>

/* Maximum bytes of a summary; a longer answer is stored without its rows. */
#define MAX_OUTCOME_SUMMARY_BYTES 4096

enum outcome_state {
	OUTCOME_ROW_NONE,
	OUTCOME_ROW_DONE,
	OUTCOME_ROW_TOMBSTONE
};

struct outcome_row {
	enum outcome_state state;
	char *digest; /* of the request */
	char *summary; /* of the answer, see outcome_summary() */
};

/*
 * The row's key. It contains the caller's name, so that the keys of two callers
 * never collide; the name's length precedes it, so that a name with a '/' can't
 * be taken for a shorter name and its key.
 */
char *outcome_key(struct str caller, struct str key);
/* The key of a long transaction's commit, one per transaction. */
char *outcome_transaction_key(struct str caller, struct str transaction);

/*
 * The summary of the elements of a "results" list, which are passed separated
 * by commas.
 */
GString *outcome_summary(const GString *results);
/* The "results" list of a summary; "[]" if the summary is damaged. */
GBytes *outcome_results(const char *summary);

/*
 * Parses the answer to SQL_OUTCOME_READ. results holds the results of the kept
 * steps as JSON elements; the first one holds the row. False if malformed.
 */
bool outcome_row_parse(const GString *results, struct outcome_row *out);
void outcome_row_clear(struct outcome_row *row);

/*
 * Parses the last element of the results, which is the answer to
 * cq_read_position(), and removes it. False, with the results unchanged, if it
 * is not a position.
 */
bool outcome_take_position(GString *results, struct position *out);
/* Number of rows changed by the first kept step; 0 if malformed. */
uint64_t outcome_rows_affected(const GString *results);

#endif
