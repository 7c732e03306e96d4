#ifndef CELERYQUAY_RELAY_WAIT_H
#define CELERYQUAY_RELAY_WAIT_H

/*
 * Statements that wait for a server and a connection, for how long, and what
 * the caller is told when they are refused. Prefix: rwait_.
 */

#include "relay_internal.h"

/*
 * Sets the run's deadlines. wait_us: how long another proxy said that it may
 * wait here; 0: it did not say, or it is a caller's own.
 */
void rwait_set_deadlines(struct rsession *s,
			 const struct relay_profile *profile, uint64_t wait_us,
			 uint64_t now_us);
/* How long another proxy is told that the run may wait there. */
uint64_t rwait_peer_wait_us(const struct rrun *run, uint64_t now_us);
/* Queues the run; its state is RRUN_QUEUED then. */
void rwait_push(struct rsession *s, uint64_t now_us);
/* The run has got its server. */
void rwait_on_started(struct rsession *s);
/* The run won't start: its caller is answered or gone. */
void rwait_cancel(struct rsession *s);
/* Starts the runs, in the queues' order, for which there is a connection. */
void rwait_dispatch(struct relay *r, uint64_t now_us);
/* Whether a run that was shed may go back to the queue. */
bool rwait_may_requeue(const struct rsession *s, uint64_t now_us);
/* Refuses the run; its caller is told to retry after that time. */
void rwait_refuse(struct rsession *s, uint64_t retry_after_us, uint64_t now_us);
/* The same, if it has waited for its queue timeout. */
void rwait_check(struct rsession *s, uint64_t now_us);
/* Refuses a run that no server could take; see rwait_may_requeue(). */
void rwait_refuse_unserved(struct rsession *s, uint64_t now_us);

#endif
