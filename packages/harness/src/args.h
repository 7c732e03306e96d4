#ifndef CELERYQUAY_HARNESS_ARGS_H
#define CELERYQUAY_HARNESS_ARGS_H

/* Builds the command line of a child process, argument by argument. */

#include "child.h"

GPtrArray *args_create(void);
void args_add(GPtrArray *args, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
struct child *args_start(const char *program, GPtrArray *args, struct err *err);

#endif
