#ifndef CELERYQUAY_RELAY_SUSPECT_H
#define CELERYQUAY_RELAY_SUSPECT_H

/* When a service needs another primary. */

#include "relay_internal.h"

/* Why the primary must be replaced, NULL if it need not or can't be. */
const char *rsuspect_reason(struct rservice *v, uint64_t now_us);

#endif
