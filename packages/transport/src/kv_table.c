#include <celeryquay/transport/kv_table.h>

struct entry {
	uint64_t revision;
	bool held; /* deleted, but not reported yet */
	bool seen; /* occurred in the range being read */
};

struct kv_table {
	GHashTable *entries;
};

struct kv_table *kv_table_create(void)
{
	struct kv_table *t = g_new0(struct kv_table, 1);

	t->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return t;
}

/* NULL is ignored. */
void kv_table_destroy(struct kv_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->entries);
	g_free(t);
}

/* A held deletion is cancelled; the revision that was taken isn't new. */
bool kv_table_put(struct kv_table *t, const char *key, uint64_t revision)
{
	struct entry *e = g_hash_table_lookup(t->entries, key);

	if (!e) {
		e = g_new0(struct entry, 1);
		g_hash_table_insert(t->entries, g_strdup(key), e);
	}
	e->seen = true;
	if (revision < e->revision)
		return false;
	e->held = false;
	if (revision == e->revision)
		return false;
	e->revision = revision;
	return true;
}

/* A newer revision that was taken counts as well. */
bool kv_table_confirm(struct kv_table *t, const char *key, uint64_t revision)
{
	struct entry *e = g_hash_table_lookup(t->entries, key);

	if (!e || e->revision < revision)
		return false;
	e->seen = true;
	return true;
}

/* An event not newer than the revision taken is ignored. */
bool kv_table_delete(struct kv_table *t, const char *key, uint64_t revision,
		     bool hold)
{
	struct entry *e = g_hash_table_lookup(t->entries, key);

	if (!e || revision <= e->revision)
		return false;
	if (hold) {
		e->held = true;
		e->revision = revision;
		return false;
	}
	g_hash_table_remove(t->entries, key);
	return true;
}

/* Clears the marks of an earlier range. */
void kv_table_range_begin(struct kv_table *t)
{
	GHashTableIter iter;
	gpointer e;

	g_hash_table_iter_init(&iter, t->entries);
	while (g_hash_table_iter_next(&iter, NULL, &e))
		((struct entry *)e)->seen = false;
}

/*
 * A key that was not in the range was deleted, unless it was written after the
 * range began. Deletions under held_prefix (NULL: none) are held back.
 */
void kv_table_range_end(struct kv_table *t, uint64_t at,
			const char *held_prefix, GPtrArray *gone,
			GPtrArray *held)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, t->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct entry *e = value;

		if (e->seen || e->revision > at)
			continue;
		if (held_prefix && g_str_has_prefix(key, held_prefix)) {
			e->held = true;
			g_ptr_array_add(held, g_strdup(key));
			continue;
		}
		g_ptr_array_add(gone, g_strdup(key));
		g_hash_table_iter_remove(&iter);
	}
}

/* The array must own its elements. */
void kv_table_release_held(struct kv_table *t, GPtrArray *gone)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, t->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (!((struct entry *)value)->held)
			continue;
		g_ptr_array_add(gone, g_strdup(key));
		g_hash_table_iter_remove(&iter);
	}
}

uint64_t kv_table_revision(const struct kv_table *t, const char *key)
{
	struct entry *e = g_hash_table_lookup(t->entries, key);

	return e ? e->revision : 0;
}
