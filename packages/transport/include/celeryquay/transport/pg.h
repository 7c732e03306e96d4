#ifndef CELERYQUAY_TRANSPORT_PG_H
#define CELERYQUAY_TRANSPORT_PG_H

/*
 * Connections to servers through libpq: non-blocking, in pipeline mode, on a
 * libuv loop. Implements struct upstream_ops.
 */

#include <celeryquay/core/upstream.h>
#include <uv.h>

extern const struct upstream_ops pg_ops;

struct upstream *pg_create(uv_loop_t *loop,
			   const struct upstream_events *events, void *ctx);
void pg_destroy(struct upstream *u);
unsigned pg_open_connections(const struct upstream *u);

#endif
