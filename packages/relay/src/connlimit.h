#ifndef CELERYQUAY_RELAY_CONNLIMIT_H
#define CELERYQUAY_RELAY_CONNLIMIT_H

/*
 * The connections that a server accepts, which all proxies and client accounts
 * share: whether one more may be opened, and which one is closed for it.
 * Prefix: connlimit_.
 */

#include "relay_internal.h"

bool connlimit_may_open(const struct rserver *s, uint64_t now_us);
/* Whether the run may be given a connection, now or by opening one. */
bool connlimit_can_provide(struct rserver *s, const struct rsession *session,
			   uint64_t now_us);
/* Opens a connection for the session's account, if that is worth its cost. */
void connlimit_open(struct rserver *s, const struct rsession *session,
		    uint64_t now_us);
/* The server refused a connection because its limit is reached. */
void connlimit_on_full(struct rserver *s);
/* The session begins to use a connection to the server. */
void connlimit_on_used(struct rserver *s, const struct rsession *session,
		       uint64_t now_us);
/* After how long without use a spare connection to the server is closed. */
uint64_t connlimit_idle_close_us(const struct rserver *s, uint64_t now_us);

#endif
