#ifndef CELERYQUAY_RELAY_ROSTER_H
#define CELERYQUAY_RELAY_ROSTER_H

/*
 * The roster of a service: a record in the store of the servers that may have
 * acknowledged commits, whether they are listed or not. A proxy that starts
 * learns from it who was listed before. Prefix: rroster_.
 */

#include "relay_internal.h"

struct rroster *rroster_create(void);
void rroster_destroy(struct rroster *t);
/* A list of servers was applied, so that record and list can be compared. */
void rroster_on_listed(struct rservice *v, uint64_t now_us);
/* Whether another server has taken over the address and with it the log. */
bool rroster_is_succeeded(const struct rservice *v,
			  const struct relay_holder *h);
/* Writes the record if it lacks a server, or names one that is gone. */
void rroster_tick(struct rservice *v, uint64_t now_us);
/*
 * Whether this proxy knows of all servers that may have acknowledged commits,
 * also of those that left the list before it started.
 */
bool rroster_knows_all(const struct rservice *v, uint64_t now_us);

#endif
