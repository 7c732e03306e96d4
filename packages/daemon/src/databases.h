#ifndef CELERYQUAY_DAEMON_DATABASES_H
#define CELERYQUAY_DAEMON_DATABASES_H

/*
 * The table of databases: which proxies are the homes of each, and the groups
 * of those databases that have a home on this proxy.
 */

#include "node.h"

#include <celeryquay/core/group.h>

#define DATABASES_MAX_HOMES 4

struct databases;

struct databases *databases_create(struct node *node);
void databases_destroy(struct databases *d);
/*
 * To be called when members or configuration have changed: the next ticks
 * compute the homes again, some databases per tick.
 */
void databases_mark_stale(struct databases *d);
void databases_tick(struct databases *d, uint64_t now_us);
/* The homes of a database, best first; returns how many. */
unsigned databases_homes(struct databases *d, const struct database_conf *conf,
			 const struct member_info **out, unsigned max);
/* The group of a database that has a home here, else NULL. */
struct group *databases_group(struct databases *d, struct str service,
			      struct str name);
/* Passes upstream events to the group that owns the connection. */
extern const struct upstream_events databases_upstream_events;
void databases_stop(struct databases *d, uint64_t now_us);
bool databases_idle(const struct databases *d);
void databases_write_status(struct databases *d, GString *out, uint64_t now_us);
void databases_update_counters(struct databases *d);

#endif
