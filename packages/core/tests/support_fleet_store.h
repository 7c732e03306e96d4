#ifndef CELERYQUAY_CORE_SUPPORT_FLEET_STORE_H
#define CELERYQUAY_CORE_SUPPORT_FLEET_STORE_H

/*
 * A simulated configuration store: keys with revisions, and the lists and
 * watches of the nodes that are watchers. All watches end when the store goes
 * down.
 */

#include "support_fleet.h"

struct fleet_store;

struct fleet_store *fleet_store_create(struct fleet *f);
void fleet_store_destroy(struct fleet_store *s);
/* Writes a value (NULL: removes the key); returns the revision. */
uint64_t fleet_store_put(struct fleet_store *s, const char *key,
			 const char *json);
/* Runs the fleet; lists and watches are answered every 50 ms. */
void fleet_store_run(struct fleet_store *s, uint64_t duration_us);
void fleet_store_set_down(struct fleet_store *s, bool down);
/* Whether the node can not reach the store. */
void fleet_store_set_unreachable(struct fleet_store *s, unsigned node,
				 bool unreachable);
/* Whether a node has a watch, and the number of nodes that have one. */
bool fleet_store_watched_by(const struct fleet_store *s, unsigned node);
unsigned fleet_store_watch_count(const struct fleet_store *s);
/* The number of lists answered so far. */
uint64_t fleet_store_list_count(const struct fleet_store *s);
/* The revision of the last change. */
uint64_t fleet_store_revision(const struct fleet_store *s);
/* The number of running nodes whose own revision is below this one. */
unsigned fleet_store_lagging(struct fleet_store *s, uint64_t revision);
/* The number of running nodes whose model differs from the store. */
unsigned fleet_store_differing(struct fleet_store *s);
/*
 * The JSON of a valid database item with three servers, about 600 bytes. The
 * names in it contain the number `change`.
 */
char *fleet_store_database(unsigned change);

#endif
