#ifndef CELERYQUAY_CLI_LOG_LINES_H
#define CELERYQUAY_CLI_LOG_LINES_H

/* Reads logs of proxies line by line, with bounded memory. */

#include <celeryquay/base/err.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* One line from its brace on. False: it is no JSON object. */
typedef bool (*log_line_fn)(void *ctx, const char *text, size_t len);

/* To its end; *err names the first line that is broken. */
void log_lines_read(const char *name, FILE *log, log_line_fn take, void *ctx,
		    struct err *err);

/* The object of a line, NULL when it is none; unref the parser. */
JsonObject *log_lines_parse(JsonParser *parser, const char *text, size_t len);
/* "" and 0 where there is no such field. */
const char *log_lines_text(JsonObject *line, const char *key);
int64_t log_lines_number(JsonObject *line, const char *key);
bool log_lines_bool(JsonObject *line, const char *key);

#endif
