#ifndef CELERYQUAY_TESTS_SUPPORT_LOG_H
#define CELERYQUAY_TESTS_SUPPORT_LOG_H

/* The log that the fake's relays write, kept in a file for a test to read. */

#include "support_group.h"

#include <json-glib/json-glib.h>
#include <stdio.h>

/* All relays log as the node "proxy", at the fake's time. */
FILE *fake_log_open(struct fake *f);
void fake_log_close(FILE *log);
/* From its beginning, and whole. */
void fake_log_rewind(FILE *log);
/* The lines of that event so far, as JsonNode, in their order. */
GPtrArray *fake_log_lines(FILE *log, const char *event);
JsonObject *fake_log_line(const GPtrArray *lines, unsigned i);

#endif
