#ifndef SOAK_STORE_H
#define SOAK_STORE_H

/*
 * A stand-in for the platform's key-value store and its promotion call, over
 * HTTP: ranges, watches, transactions with preconditions, leases.
 */

#include <celeryquay/base/str.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

enum store_fault {
	STORE_GOOD,
	STORE_REFUSES, /* connections are reset */
	STORE_HANGS, /* no answers; what came may be carried out later */
	STORE_UNAVAILABLE, /* 503 */
	STORE_SLOW,
	STORE_LOSES, /* a third of its answers */
};

struct store;

/* The HTTP status of a promotion, 0: its answer is lost. */
typedef unsigned (*store_promote_fn)(void *ctx, const char *service,
				     const char *id, const char *holder,
				     uint64_t token);

struct store *store_create(uv_loop_t *loop, store_promote_fn promote,
			   void *ctx);
void store_destroy(struct store *s);
uint16_t store_port(const struct store *s);
/* The platform's own writes; NULL: the key goes. The revision. */
uint64_t store_put(struct store *s, const char *key, const char *value);
void store_set_fault(struct store *s, enum store_fault fault);
/* What was before is known no more; watches from there get 410. */
void store_forget_history(struct store *s);
/* Makes a copy of what the store holds. */
void store_copy(struct store *s);
/*
 * Comes back from that copy in the next era; nothing if there is none. What
 * servers and operators wrote since is written again after rewrite_ms.
 */
void store_restore(struct store *s, unsigned rewrite_ms);

#endif
