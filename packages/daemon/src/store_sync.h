#ifndef CELERYQUAY_DAEMON_STORE_SYNC_H
#define CELERYQUAY_DAEMON_STORE_SYNC_H

/*
 * The proxy's use of the platform's key-value store: listing and watching the
 * configuration if this node is a watcher, operators' changes by
 * compare-and-swap, and records of new primaries.
 */

#include "node.h"

struct store_sync;

struct store_sync *store_sync_create(struct node *node);
void store_sync_destroy(struct store_sync *s);
void store_sync_tick(struct store_sync *s, uint64_t now_us);
/*
 * Records a new primary in the store, retrying until the store has it. Of
 * several records for one database only that with the newest term is kept.
 */
void store_sync_record(struct store_sync *s, const char *database,
		       uint64_t term, const char *server, const char *holder);

/* err->code is ERR_NONE on success; revision is that of the change. */
typedef void (*store_sync_done_fn)(void *user, const struct err *err,
				   uint64_t revision);
/*
 * Makes an operator's change of one item; a NULL value removes the item.
 * `expected` is the revision that the operator saw (0: a new item). `change` is
 * the change's id, stored in the value: if the store's answer is lost, it shows
 * whether the change took effect.
 */
void store_sync_change(struct store_sync *s, const char *key, uint64_t expected,
		       const struct str *value, const char *change,
		       store_sync_done_fn done, void *user);

#endif
