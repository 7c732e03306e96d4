#ifndef CELERYQUAY_CORE_FRESH_H
#define CELERYQUAY_CORE_FRESH_H

/*
 * Freshness: an upper bound of the age of each server's data, derived from
 * probes only. If a probe of the primary that started at time s found position
 * p, everything acknowledged before s is at or before p, provided that a
 * majority, probed at s or later, had granted no higher term. So the data of a
 * server that applied p is at most now - s old. Without new probes the ages
 * grow, so a proxy that is cut off together with an old primary can't take old
 * data for fresh.
 */

#include <celeryquay/core/types.h>

/* Maximum number of servers of a database. */
#define FRESH_MAX_SERVERS 16

struct fresh;

struct fresh *fresh_create(unsigned n_servers);
void fresh_destroy(struct fresh *f);

/*
 * The server answered a probe that was sent at started_us with this status. For
 * a long poll (cq_wait), started_us must be the start of the poll: the status
 * may stem from any time after it.
 */
void fresh_on_status(struct fresh *f, unsigned server, uint64_t started_us,
		     const struct server_status *status);
/* An answer (cq_read_position) shows that the server has applied p. */
void fresh_on_applied(struct fresh *f, unsigned server, struct position p);
/* The connection to the server broke or it was rebuilt: its log may differ. */
void fresh_forget(struct fresh *f, unsigned server);

/*
 * The highest term that had a primary; 0 if none is known or a majority has
 * granted a higher one.
 */
uint64_t fresh_term(const struct fresh *f);
/* Server index of that term's primary, or -1. */
int fresh_primary(const struct fresh *f);
/* Upper bound of the age of the server's data; UINT64_MAX: not known. */
uint64_t fresh_age_us(const struct fresh *f, unsigned server, uint64_t now_us);
/* Whether the server has applied its log up to p, in the same history. */
bool fresh_has_applied(const struct fresh *f, unsigned server,
		       struct position p);
/* Whether p was lost: the log of the current term went on without it. */
bool fresh_is_lost(const struct fresh *f, struct position p);
/*
 * The time until which a majority is known to have granted no term above the
 * current one, 0: never.
 */
uint64_t fresh_confirmed_until_us(const struct fresh *f);
/* Whether a majority has p in a way that survives every promotion. */
bool fresh_is_durable(const struct fresh *f, struct position p);
/*
 * Estimated time until the server has applied p and everything acknowledged
 * before since_us; UINT64_MAX: not known.
 */
uint64_t fresh_catch_up_us(const struct fresh *f, unsigned server,
			   struct position p, uint64_t since_us,
			   uint64_t now_us);
/* The server's latest status, NULL if none is known. */
const struct server_status *fresh_status(const struct fresh *f,
					 unsigned server);

#endif
