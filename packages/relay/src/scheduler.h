#ifndef CELERYQUAY_RELAY_SCHEDULER_H
#define CELERYQUAY_RELAY_SCHEDULER_H

/*
 * The statements that wait at a home of a service whose homes are pooled: which
 * one starts next, which are refused, and when their callers are told to retry.
 * Prefix: rsched_.
 */

#include "relay_internal.h"

struct rsched;

struct rsched *rsched_create(void);
/* NULL is ignored. No statement may wait any more. */
void rsched_destroy(struct rsched *q);
/* Whether the session's statement waits here, rather than for another home. */
bool rsched_applies(const struct rsession *s);
/* Queues the run; its state is RRUN_QUEUED then. */
void rsched_push(struct rsession *s, uint64_t now_us);
bool rsched_is_queued(const struct rsession *s);
/* The run has got its server. */
void rsched_on_started(struct rsession *s);
/* The run won't start: its caller is answered or gone. */
void rsched_cancel(struct rsession *s);
/* Starts what can be started, at all services. */
void rsched_dispatch(struct relay *r, uint64_t now_us);
/* Refuses a run that has just been queued, if it won't be served in time. */
void rsched_check(struct rsession *s, uint64_t now_us);
/* Refuses the runs that won't be served in time any more. */
void rsched_tick(struct relay *r, uint64_t now_us);
/* A server of the service answered the session's statement. */
void rsched_on_answer(const struct rsession *s, const struct rserver *server,
		      enum relay_code code, uint64_t took_us, uint64_t now_us);
/* The server's process is another one: its speed is not known. */
void rsched_on_restarted(const struct rserver *server);
/* When the server would be done with the run, and its account's preference. */
uint64_t rsched_completion_us(const struct rserver *server,
			      const struct rsession *s, uint64_t now_us);
/* Adds what the decision on the session's statement rests on. */
void rsched_put_inputs(const struct rsession *s, struct log_line *l);
/* Appends the queue of a service, as JSON members. */
void rsched_write_status(const struct rservice *v, GString *out);

#endif
