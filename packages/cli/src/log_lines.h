#ifndef CELERYQUAY_CLI_LOG_LINES_H
#define CELERYQUAY_CLI_LOG_LINES_H

/* Reads logs of proxies line by line, with bounded memory. */

#include <celeryquay/base/err.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/*
 * Handles one line, from its first brace on; false if it is not a JSON object.
 */
typedef bool (*log_line_fn)(void *ctx, const char *text, size_t len);

/*
 * Calls handle for each line, up to the end of the log. Broken lines are
 * skipped; *err (BAD_LOG) names the first of them.
 */
void log_lines_read(const char *name, FILE *log, log_line_fn handle, void *ctx,
		    struct err *err);

/*
 * The JSON object of a line, NULL if it is not one. It belongs to the parser,
 * which the caller unrefs.
 */
JsonObject *log_lines_parse(JsonParser *parser, const char *text, size_t len);
/* The value of a field; "", 0 or false if there is no such field. */
const char *log_lines_text(JsonObject *line, const char *key);
int64_t log_lines_number(JsonObject *line, const char *key);
bool log_lines_bool(JsonObject *line, const char *key);

/* Why a queue that forecasts waits refused a statement. */
enum log_refusal {
	LOG_REFUSAL_NONE, /* it did not, or the line does not tell */
	LOG_REFUSAL_OVERLOAD, /* it would not have been served in time */
	LOG_REFUSAL_NO_SERVER, /* no server that may run it was usable */
};
/* From the line with a statement's outcome. */
enum log_refusal log_lines_refusal(JsonObject *line);

#endif
