#ifndef CELERYQUAY_TESTS_SUPPORT_LOG_H
#define CELERYQUAY_TESTS_SUPPORT_LOG_H

/* Captures the log of the fake's relays in a file, for a test to read. */

#include "support_group.h"

#include <json-glib/json-glib.h>
#include <stdio.h>

FILE *fake_log_open(struct fake *f);
void fake_log_close(FILE *log);
void fake_log_rewind(FILE *log);
GPtrArray *fake_log_lines(FILE *log, const char *event);
JsonObject *fake_log_line(const GPtrArray *lines, unsigned i);

#endif
