#ifndef CELERYQUAY_TRANSPORT_STORE_WATCH_H
#define CELERYQUAY_TRANSPORT_STORE_WATCH_H

/*
 * A watch of a prefix: a streamed answer with one JSON object per line, and a
 * timer that ends the watch when no line comes for too long.
 */

#include "store_call.h"

struct watch;

struct watch_target {
	const char *prefix;
	uint64_t from_revision; /* the first one whose changes are delivered */
	uint64_t silence_timeout_us; /* longest time without a line */
};

/*
 * Stores the watch in *slot. When the watch ends by itself, *slot is set to
 * NULL before the `ended` callback.
 */
void watch_open(struct watch **slot, struct store_link *link, uv_loop_t *loop,
		const struct watch_target *target,
		const struct store_watch_events *events, void *ctx);
void watch_close(struct watch **slot);

#endif
