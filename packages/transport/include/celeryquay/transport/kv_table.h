#ifndef CELERYQUAY_TRANSPORT_KV_TABLE_H
#define CELERYQUAY_TRANSPORT_KV_TABLE_H

/*
 * The last revision taken of each key, so that each revision is taken once, in
 * whatever order pages, events and answers report it. Deletions seen while the
 * store is unreliable can be held back for a while.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct kv_table;

struct kv_table *kv_table_create(void);
void kv_table_destroy(struct kv_table *t);
/* True if the revision is newer than the one taken. */
bool kv_table_put(struct kv_table *t, const char *key, uint64_t revision);
/*
 * A range named the key without its value. True if at least this revision has
 * been taken.
 */
bool kv_table_confirm(struct kv_table *t, const char *key, uint64_t revision);
/* True if the key was removed. hold: the deletion is held back instead. */
bool kv_table_delete(struct kv_table *t, const char *key, uint64_t revision,
		     bool hold);
/* Call put or confirm for each item of the range between begin and end. */
void kv_table_range_begin(struct kv_table *t);
/*
 * Adds the deleted keys to `gone`, and those whose deletion is held back to
 * `held`. at: the store's revision when the range began.
 */
void kv_table_range_end(struct kv_table *t, uint64_t at,
			const char *held_prefix, GPtrArray *gone,
			GPtrArray *held);
/* Stops holding deletions back: adds the keys that have not reappeared. */
void kv_table_release_held(struct kv_table *t, GPtrArray *gone);
/* The last revision taken of a key; 0: none. */
uint64_t kv_table_revision(const struct kv_table *t, const char *key);

#endif
