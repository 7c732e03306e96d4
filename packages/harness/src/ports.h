#ifndef CELERYQUAY_HARNESS_PORTS_H
#define CELERYQUAY_HARNESS_PORTS_H

/*
 * Ports of 127.0.0.1 that stay reserved for processes that are restarted: while
 * none of them runs, the system gives the port to no other process.
 */

#include <celeryquay/base/err.h>
#include <glib.h>

struct ports;

struct ports *ports_create(void);
/* Reserves a free port until ports_destroy(); 0 and err on failure. */
int ports_reserve(struct ports *p, struct err *err);
void ports_destroy(struct ports *p);

#endif
