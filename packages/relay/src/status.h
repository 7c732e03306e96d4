#ifndef CELERYQUAY_RELAY_STATUS_H
#define CELERYQUAY_RELAY_STATUS_H

/* What /status says of a service. Prefix: rstatus_. */

#include "relay_internal.h"

/* This proxy's connections, counted by server and account. */
GHashTable *rstatus_count_conns(const struct relay *r);
/* Appends the service as a JSON object; conns: of rstatus_count_conns(). */
void rstatus_write_service(struct rservice *v, GHashTable *conns, GString *out,
			   uint64_t now_us);

#endif
