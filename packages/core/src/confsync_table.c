#include "confsync_internal.h"

#include <string.h>
#include <xxhash.h>

/* Needed tombstones are kept up to this multiple of max_tombstones. */
#define TOMBSTONES_HARD_FACTOR 4

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return strcmp(a, b);
}

static void entry_free(gpointer data)
{
	struct entry *entry = data;

	item_unref(entry->item);
	g_free(entry->key);
	g_free(entry);
}

/* Initializes an empty table. */
void confsync_table_init(struct confsync_table *t)
{
	memset(t, 0, sizeof(*t));
	t->entries = g_tree_new_full(compare_keys, NULL, NULL, entry_free);
	t->min_bad_revision = UINT64_MAX;
}

/* Frees the entries. */
void confsync_table_clear(struct confsync_table *t)
{
	g_tree_destroy(t->entries);
}

/* The entry of a key, or NULL. */
struct entry *confsync_table_find(struct confsync_table *t, const char *key)
{
	return g_tree_lookup(t->entries, key);
}

/* The entry of a key; creates an empty one if needed. */
struct entry *confsync_table_get(struct confsync_table *t, const char *key)
{
	struct entry *entry = confsync_table_find(t, key);

	if (entry)
		return entry;
	entry = g_new0(struct entry, 1);
	entry->key = g_strdup(key);
	entry->key_hash = XXH64(key, strlen(key), 0);
	g_tree_insert(t->entries, entry->key, entry);
	return entry;
}

/* The revision of the entry's item or tombstone, 0 without one. */
uint64_t entry_revision(const struct entry *entry)
{
	return entry && entry->item ? entry->item->revision : 0;
}

/* Whether the entry has a value in force. */
bool entry_is_live(const struct entry *entry)
{
	return entry && entry->item && !entry->item->removed;
}

/* The hash bucket of the entry. */
unsigned confsync_bucket(const struct entry *entry)
{
	return entry->key_hash % CONFSYNC_BUCKETS;
}

/* The share of a live entry in the table's hash. */
static uint64_t live_hash(const struct entry *entry)
{
	uint64_t revision = entry->item->revision;

	return XXH64(&revision, sizeof(revision), entry->key_hash);
}

/* Adds the entry to the hashes, or removes it: XOR is its own inverse. */
static void toggle_hash(struct confsync_table *t, const struct entry *entry)
{
	uint64_t hash = live_hash(entry);

	t->hash ^= hash;
	t->buckets[confsync_bucket(entry)] ^= hash;
}

/* Records a value that is replaced, overwriting the oldest record. */
static void record_replaced(struct confsync_table *t, const struct entry *entry,
			    uint64_t new_revision)
{
	struct replaced_value *slot =
		&t->replaced[t->n_replaced++ % CONFSYNC_MAX_REPLACED];

	t->replaced_floor = MAX(t->replaced_floor, slot->new_revision);
	slot->old_revision = entry->item->revision;
	slot->new_revision = new_revision;
	slot->hash = live_hash(entry);
}

static gboolean find_min_bad(gpointer key, gpointer value, gpointer user)
{
	struct confsync_table *t = user;
	struct entry *entry = value;

	(void)key;
	if (entry->bad_revision)
		t->min_bad_revision =
			MIN(t->min_bad_revision, entry->bad_revision);
	return FALSE;
}

/* Sets the revision of the entry's rejected value; 0 clears it. */
void confsync_table_set_bad(struct confsync_table *t, struct entry *entry,
			    uint64_t revision)
{
	if (entry->bad_revision == revision)
		return;
	t->n_bad -= entry->bad_revision != 0;
	t->n_bad += revision != 0;
	entry->bad_revision = revision;
	t->min_bad_revision = UINT64_MAX;
	if (t->n_bad)
		g_tree_foreach(t->entries, find_min_bad, t);
}

/* Replaces the entry's item, if any; takes a reference of its own. */
void confsync_table_set(struct confsync_table *t, struct entry *entry,
			struct item *item)
{
	if (entry_is_live(entry)) {
		record_replaced(t, entry, item->revision);
		toggle_hash(t, entry);
		t->n_items--;
	} else if (entry->item) {
		t->n_tombstones--;
	}
	item_unref(entry->item);
	entry->item = item_ref(item);
	if (item->removed) {
		t->n_tombstones++;
	} else {
		toggle_hash(t, entry);
		t->n_items++;
	}
	if (entry->bad_revision && entry->bad_revision <= item->revision)
		confsync_table_set_bad(t, entry, 0);
	t->max_revision = MAX(t->max_revision, item->revision);
	t->changes++;
}

static gboolean find_oldest_tombstone(gpointer key, gpointer value,
				      gpointer user)
{
	struct entry **oldest = user;
	struct entry *entry = value;

	(void)key;
	if (!entry->item || entry_is_live(entry))
		return FALSE;
	if (!*oldest || entry_revision(entry) < entry_revision(*oldest))
		*oldest = entry;
	return FALSE;
}

/*
 * Drops the oldest tombstones above the limit. One at or below this node's
 * revision is not needed: a key that is missing from a complete table is known
 * to be removed, see is_resurrection(). Newer ones are kept up to
 * TOMBSTONES_HARD_FACTOR times the limit.
 */
void confsync_table_trim(struct confsync *c)
{
	struct confsync_table *t = &c->table;
	unsigned limit = c->settings.max_tombstones;

	while (t->n_tombstones > limit) {
		struct entry *oldest = NULL;

		g_tree_foreach(t->entries, find_oldest_tombstone, &oldest);
		if (entry_revision(oldest) > confsync_revision(c) &&
		    t->n_tombstones <= TOMBSTONES_HARD_FACTOR * limit)
			return;
		confsync_update_drop(c, oldest);
		confsync_table_set_bad(t, oldest, 0);
		t->n_tombstones--;
		t->changes++;
		g_tree_remove(t->entries, oldest->key);
	}
}

struct hash_at_revision {
	uint64_t revision;
	uint64_t hash;
};

static gboolean add_live(gpointer key, gpointer value, gpointer user)
{
	struct hash_at_revision *at = user;
	struct entry *entry = value;

	(void)key;
	if (entry_is_live(entry) && entry_revision(entry) <= at->revision)
		at->hash ^= live_hash(entry);
	return FALSE;
}

static uint64_t compute_hash_at(struct confsync_table *t, uint64_t revision)
{
	struct hash_at_revision at = { .revision = revision };
	unsigned i, n = MIN(t->n_replaced, CONFSYNC_MAX_REPLACED);

	g_tree_foreach(t->entries, add_live, &at);
	for (i = 0; i < n; i++) {
		const struct replaced_value *r = &t->replaced[i];

		if (r->old_revision <= revision && r->new_revision > revision)
			at.hash ^= r->hash;
	}
	return at.hash;
}

/*
 * Hash of keys and revisions as of a revision: newer items are left out, and
 * the values that they replaced are included. False when more values were
 * replaced since than are remembered.
 */
bool confsync_table_hash_at(struct confsync_table *t, uint64_t revision,
			    uint64_t *out)
{
	if (revision >= t->max_revision) {
		*out = t->hash;
		return true;
	}
	if (revision < t->replaced_floor)
		return false;
	if (t->cached_changes != t->changes || t->cached_revision != revision) {
		t->cached_hash = compute_hash_at(t, revision);
		t->cached_changes = t->changes;
		t->cached_revision = revision;
	}
	*out = t->cached_hash;
	return true;
}
