#ifndef CELERYQUAY_DAEMON_PLANNED_STOP_H
#define CELERYQUAY_DAEMON_PLANNED_STOP_H

/*
 * A planned stop, in steps. First the health check turns red while the node
 * still serves, so that the load balancer stops sending to it. Then no new
 * connections are accepted, the homes move to other proxies and what is running
 * finishes. Then the event loop ends. A second signal or stop_limit_ms ends the
 * loop at once.
 */

#include "node.h"

struct planned_stop;

struct planned_stop *planned_stop_create(struct node *node);
void planned_stop_destroy(struct planned_stop *s);
/* Handles a stop signal; the second one ends the process at once. */
void planned_stop_signal(struct planned_stop *s);
bool planned_stop_begun(const struct planned_stop *s);
void planned_stop_tick(struct planned_stop *s, uint64_t now_us);

#endif
