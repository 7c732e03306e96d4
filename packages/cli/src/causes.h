#ifndef CELERYQUAY_CLI_CAUSES_H
#define CELERYQUAY_CLI_CAUSES_H

/* Why callers' statements were refused or failed, counted over logs. */

#include <celeryquay/base/err.h>
#include <glib.h>
#include <stdio.h>

struct causes;

struct causes *causes_create(void);
void causes_destroy(struct causes *c);
/* Logs of all proxies, in any order. */
void causes_read(struct causes *c, const char *name, FILE *log,
		 struct err *err);
/* A table, or JSON, of what was read; the most frequent cause first. */
void causes_write_text(struct causes *c, GString *out);
void causes_write_json(struct causes *c, GString *out);

#endif
