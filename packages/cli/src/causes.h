#ifndef CELERYQUAY_CLI_CAUSES_H
#define CELERYQUAY_CLI_CAUSES_H

/* Counts, from logs, why callers' statements were refused or failed. */

#include <celeryquay/base/err.h>
#include <glib.h>
#include <stdio.h>

struct causes;

struct causes *causes_create(void);
void causes_destroy(struct causes *c);
/*
 * Reads one log; to be called for the logs of all proxies, in any order. *err
 * (BAD_LOG) names the first broken line; the other lines are counted.
 */
void causes_read(struct causes *c, const char *name, FILE *log,
		 struct err *err);
/* Appends the counts as a table or as JSON, the most frequent cause first. */
void causes_write_text(struct causes *c, GString *out);
void causes_write_json(struct causes *c, GString *out);

#endif
