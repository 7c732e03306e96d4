#ifndef SOAK_PLAN_H
#define SOAK_PLAN_H

/* Which faults happen when: drawn from the seed before anything runs. */

#include "caller.h"

struct plan;

struct plan *plan_create(uint32_t seed, unsigned n_proxies, unsigned n_servers,
			 uint64_t length_us, unsigned gap_ms, bool stay);
/*
 * Adds returns of the store from older copies until length_us, and operators'
 * writes.
 */
void plan_add_returns(struct plan *p, uint32_t seed, uint64_t length_us);
/*
 * Adds servers that are slow or flap, and proxies with narrow links. They draw
 * beside the other faults, which stay the same.
 */
void plan_add_uneven(struct plan *p, uint32_t seed, uint64_t length_us);
/* One line for each, "2.350 s: kill proxy-1". */
char *plan_text(const struct plan *p);
/* Lets all happen, from now on. */
void plan_start(struct plan *p, uv_loop_t *loop, struct fleet *fleet,
		struct groups *groups, struct store *store,
		struct callers *callers);

#endif
