#ifndef CELERYQUAY_RELAY_DURABLE_H
#define CELERYQUAY_RELAY_DURABLE_H

/*
 * Whether a server that is to be promoted has all commits that were
 * acknowledged. Prefix: rdurable_.
 */

#include "relay_internal.h"

/* The table of servers that were removed from a service. */
GPtrArray *rdurable_missing_new(void);
/* The server has reported its status. */
void rdurable_on_status(struct rserver *s, uint64_t now_us);
/*
 * Whether a server that has left the list goes on receiving commits, as far as
 * can be seen, and so has to be asked how much it has.
 */
bool rdurable_is_holder(const struct rserver *s);
/* The server left the list long ago and is removed. */
void rdurable_on_removed(const struct rserver *s);
/* Another process has its id now. */
void rdurable_on_restarted(const struct rserver *s, uint64_t now_us);
/* A server of that id is listed again. */
void rdurable_on_listed(struct rservice *v, const char *id);
/* Appends views of those that are missing, struct relay_holder. */
void rdurable_list_missing(const struct rservice *v, GArray *holders,
			   uint64_t now_us);
/* Gives up servers that have been missing for holder_wait_us. */
void rdurable_expire_missing(struct rservice *v, uint64_t now_us);
/*
 * Whether the target may lack acknowledged commits that another server has.
 * by: the id of that server, or empty.
 */
bool rdurable_may_lack_commits(const struct rservice *v,
			       const struct rserver *target, const char **by,
			       uint64_t now_us);
/* Whether no server may be promoted in place of a failed primary for now. */
bool rdurable_is_withheld(struct rservice *v, uint64_t now_us);

#endif
