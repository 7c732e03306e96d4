#ifndef CELERYQUAY_CLI_LOAD_H
#define CELERYQUAY_CLI_LOAD_H

/*
 * Shows from logs, for each second, which statements were refused, which waited
 * and where, and which connections were closed or refused.
 */

#include <celeryquay/base/err.h>
#include <glib.h>
#include <stdio.h>

struct load;

struct load_range {
	int64_t from_s; /* first second that is shown, since 1970 */
	int64_t to_s; /* last one */
	unsigned top; /* most rows of each list of a second; at least 1 */
};

/* Reads "2026-12-02T19:38:31" (UTC, with or without Z), or seconds since 1970.
 */
bool load_parse_second(const char *text, int64_t *out);
struct load *load_create(const struct load_range *range);
void load_destroy(struct load *l);
/*
 * Reads one log; to be called for the logs of all proxies, in any order. *err
 * (BAD_LOG) names the first broken line; the other lines are counted.
 */
void load_read(struct load *l, const char *name, FILE *log, struct err *err);
/* Appends the seconds in order, as tables or as one JSON object. */
void load_write_text(const struct load *l, GString *out);
void load_write_json(const struct load *l, GString *out);

#endif
