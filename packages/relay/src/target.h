#ifndef CELERYQUAY_RELAY_TARGET_H
#define CELERYQUAY_RELAY_TARGET_H

/* Which servers a change of primary may promote. Prefix: rtarget_. */

#include "relay_internal.h"

/* Whether it answers, and is known to be a replica. */
bool rtarget_is_replica(const struct rserver *s);
/* Whether a change could promote a server now. */
bool rtarget_exists(const struct rservice *v);
/* Whether a change may promote a server that is leaving. */
bool rtarget_may_be_leaving(const struct rservice *v);
/* The server to promote in place of the primary, or NULL. */
struct rserver *rtarget_best(const struct rservice *v);
/* The same beside earlier promotions that may still take effect. */
struct rserver *rtarget_choose(const struct rservice *v, uint64_t now_us);
/* The best of those that will go on running, or NULL. */
struct rserver *rtarget_successor(const struct rservice *v);
/* Whether that one has nearly all of the primary's log. */
bool rtarget_is_successor_near(const struct rservice *v, uint64_t now_us);
/* Asks for what must be known of that. */
void rtarget_refresh(const struct rservice *v, uint64_t now_us);
/* Logs what each server has when one of them is promoted. */
void rtarget_log_candidates(const struct rservice *v,
			    const struct rserver *chosen);

#endif
