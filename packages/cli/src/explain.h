#ifndef CELERYQUAY_CLI_EXPLAIN_H
#define CELERYQUAY_CLI_EXPLAIN_H

/*
 * Shows what became of one statement, from the logs of any number of proxies:
 * the lines with its id in the order of their time, each with the state that
 * the proxy which wrote it had logged before. Logs are read once, line by
 * line; lines about other statements are not kept.
 */

#include <celeryquay/base/err.h>
#include <json-glib/json-glib.h>
#include <stdio.h>

struct explain;

struct explain *explain_create(const char *id);
void explain_destroy(struct explain *e);
/*
 * Reads one log to its end. Lines that are not a JSON object and an
 * incomplete last line are skipped; *err (BAD_LOG) then names the first one.
 */
void explain_read(struct explain *e, const char *name, FILE *log,
		  struct err *err);
/* Whether any line has the statement's id. */
bool explain_found(const struct explain *e);
/* Appends the timeline as text, or as one JSON object. */
void explain_write_text(struct explain *e, GString *out);
void explain_write_json(struct explain *e, GString *out);

#endif
