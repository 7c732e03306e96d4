#include "store_table.h"

struct store_table {
	GTree *keys; /* GBytes * -> GPtrArray * of entries, oldest first */
	GPtrArray *events;
	uint64_t first_event;
	int64_t revision;
	int64_t compacted;
	guint size;
	uint64_t now_us;
	bool wrote;
};

static void entry_clear(gpointer data)
{
	struct store_entry *entry = data;

	g_bytes_unref(entry->key);
	g_clear_pointer(&entry->value, g_bytes_unref);
}

static void entry_unref(gpointer data)
{
	g_rc_box_release_full(data, entry_clear);
}

static int compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return g_bytes_compare(a, b);
}

/*
 * An empty table at revision 1, as etcd's is.
 */
struct store_table *store_table_create(void)
{
	struct store_table *table = g_new0(struct store_table, 1);

	table->keys = g_tree_new_full(compare_keys, NULL,
				      (GDestroyNotify)g_bytes_unref,
				      (GDestroyNotify)g_ptr_array_unref);
	table->events = g_ptr_array_new_with_free_func(entry_unref);
	table->revision = 1;
	return table;
}

/*
 * Frees the table and every entry that was taken from it.
 */
void store_table_destroy(struct store_table *table)
{
	if (!table)
		return;
	g_tree_unref(table->keys);
	g_ptr_array_unref(table->events);
	g_free(table);
}

/*
 * The revision of the last change.
 */
int64_t store_table_revision(const struct store_table *table)
{
	return table->revision;
}

/*
 * The revision of the last compaction; what lies before it is gone.
 */
int64_t store_table_compacted(const struct store_table *table)
{
	return table->compacted;
}

/*
 * How many keys there are.
 */
guint store_table_size(const struct store_table *table)
{
	return table->size;
}

/*
 * Starts a change: the writes that follow share one revision.
 */
void store_table_begin(struct store_table *table, uint64_t now_us)
{
	table->now_us = now_us;
	table->wrote = false;
}

static const struct store_entry *version_at(GPtrArray *versions,
					    int64_t revision)
{
	const struct store_entry *entry;
	guint i = versions->len;

	while (i > 0) {
		entry = g_ptr_array_index(versions, --i);
		if (revision == 0 || entry->mod_revision <= revision)
			return entry->deleted ? NULL : entry;
	}
	return NULL;
}

static void append(struct store_table *table, struct store_entry *entry)
{
	GPtrArray *versions = g_tree_lookup(table->keys, entry->key);

	if (!versions) {
		versions = g_ptr_array_new_with_free_func(entry_unref);
		g_tree_insert(table->keys, g_bytes_ref(entry->key), versions);
	}
	if (!table->wrote)
		table->revision++;
	table->wrote = true;
	entry->mod_revision = table->revision;
	entry->at_us = table->now_us;
	g_ptr_array_add(versions, entry);
	g_ptr_array_add(table->events, g_rc_box_acquire(entry));
}

/*
 * Sets a key, within the change that was begun last.
 */
void store_table_put(struct store_table *table, GBytes *key, GBytes *value,
		     int64_t lease)
{
	const struct store_entry *old = store_table_get(table, key, 0);
	struct store_entry *entry = g_rc_box_new0(struct store_entry);

	entry->key = g_bytes_ref(key);
	entry->value = g_bytes_ref(value);
	entry->lease = lease;
	entry->version = old ? old->version + 1 : 1;
	append(table, entry);
	entry->create_revision = old ? old->create_revision : table->revision;
	if (!old)
		table->size++;
}

/*
 * Deletes the keys of a range, within the change that was begun last.
 * Returns how many there were.
 */
unsigned store_table_delete(struct store_table *table,
			    const struct store_range *range)
{
	g_autoptr(GPtrArray) found = store_table_range(table, range, 0);
	guint i;

	for (i = 0; i < found->len; i++) {
		const struct store_entry *old = g_ptr_array_index(found, i);
		struct store_entry *entry = g_rc_box_new0(struct store_entry);

		entry->key = g_bytes_ref(old->key);
		entry->deleted = true;
		append(table, entry);
		table->size--;
	}
	return found->len;
}

/*
 * The version of a key at a revision (0: now), or NULL if there is none.
 */
const struct store_entry *store_table_get(const struct store_table *table,
					  GBytes *key, int64_t revision)
{
	GPtrArray *versions = g_tree_lookup(table->keys, key);

	return versions ? version_at(versions, revision) : NULL;
}

static bool is_zero_byte(GBytes *bytes)
{
	gsize size;
	const char *data = g_bytes_get_data(bytes, &size);

	return size == 1 && data[0] == '\0';
}

/*
 * Whether a key lies in a range. As in etcd, an empty `end` means the one
 * key, and an `end` of one zero byte means all keys from `key` on.
 */
bool store_range_matches(const struct store_range *range, GBytes *key)
{
	if (g_bytes_get_size(range->end) == 0)
		return g_bytes_equal(range->key, key);
	if (g_bytes_compare(key, range->key) < 0)
		return false;
	return is_zero_byte(range->end) || g_bytes_compare(key, range->end) < 0;
}

/*
 * The entries of a range at a revision (0: now), in the order of their
 * keys. The table owns the entries, the caller the array.
 */
GPtrArray *store_table_range(const struct store_table *table,
			     const struct store_range *range, int64_t revision)
{
	GPtrArray *found = g_ptr_array_new();
	GTreeNode *node = g_tree_lower_bound(table->keys, range->key);
	const struct store_entry *entry;

	while (node && store_range_matches(range, g_tree_node_key(node))) {
		entry = version_at(g_tree_node_value(node), revision);
		if (entry)
			g_ptr_array_add(found, (gpointer)entry);
		node = g_tree_node_next(node);
	}
	return found;
}

/*
 * The entries that hang on a lease.
 */
GPtrArray *store_table_leased(const struct store_table *table, int64_t lease)
{
	GPtrArray *found = g_ptr_array_new();
	GTreeNode *node = g_tree_node_first(table->keys);
	const struct store_entry *entry;

	for (; node; node = g_tree_node_next(node)) {
		entry = version_at(g_tree_node_value(node), 0);
		if (entry && entry->lease == lease)
			g_ptr_array_add(found, (gpointer)entry);
	}
	return found;
}

static void compact_versions(GPtrArray *versions, int64_t revision)
{
	const struct store_entry *entry;
	guint keep = 0;
	guint i;

	for (i = 0; i < versions->len; i++) {
		entry = g_ptr_array_index(versions, i);
		if (entry->mod_revision > revision)
			break;
		keep = entry->deleted ? i + 1 : i;
	}
	if (keep > 0)
		g_ptr_array_remove_range(versions, 0, keep);
}

/*
 * Forgets the versions and events before a revision, but not the versions
 * that are current at it.
 */
void store_table_compact(struct store_table *table, int64_t revision)
{
	g_autoptr(GPtrArray) empty = g_ptr_array_new();
	GTreeNode *node = g_tree_node_first(table->keys);
	uint64_t keep = store_table_find_event(table, revision);
	guint i;

	for (; node; node = g_tree_node_next(node)) {
		GPtrArray *versions = g_tree_node_value(node);

		compact_versions(versions, revision);
		if (versions->len == 0)
			g_ptr_array_add(empty, g_tree_node_key(node));
	}
	for (i = 0; i < empty->len; i++)
		g_tree_remove(table->keys, g_ptr_array_index(empty, i));
	if (keep > table->first_event)
		g_ptr_array_remove_range(table->events, 0,
					 (guint)(keep - table->first_event));
	table->first_event = keep;
	table->compacted = revision;
}

/* Removes the versions after a revision; true if none is left. */
static bool rewind_versions(GPtrArray *versions, int64_t revision)
{
	const struct store_entry *last;

	while (versions->len) {
		last = g_ptr_array_index(versions, versions->len - 1);
		if (last->mod_revision <= revision)
			break;
		g_ptr_array_set_size(versions, (gint)versions->len - 1);
	}
	return !versions->len;
}

static void rewind_events(struct store_table *table, int64_t revision)
{
	uint64_t end = store_table_find_event(table, revision + 1);

	g_ptr_array_set_size(table->events, (gint)(end - table->first_event));
}

/*
 * Goes back to what the table held at a revision that is not compacted; the
 * revisions after it are given out again.
 */
void store_table_rewind(struct store_table *table, int64_t revision)
{
	g_autoptr(GPtrArray) empty = g_ptr_array_new();
	GTreeNode *node = g_tree_node_first(table->keys);
	guint i;

	table->size = 0;
	for (; node; node = g_tree_node_next(node)) {
		GPtrArray *versions = g_tree_node_value(node);

		if (rewind_versions(versions, revision))
			g_ptr_array_add(empty, g_tree_node_key(node));
		else if (version_at(versions, 0))
			table->size++;
	}
	for (i = 0; i < empty->len; i++)
		g_tree_remove(table->keys, g_ptr_array_index(empty, i));
	rewind_events(table, revision);
	table->revision = revision;
}

/*
 * The number of the oldest event that is still there. Events are numbered
 * from 0 over the table's whole life.
 */
uint64_t store_table_first_event(const struct store_table *table)
{
	return table->first_event;
}

/*
 * The number that the next event will get.
 */
uint64_t store_table_end_event(const struct store_table *table)
{
	return table->first_event + table->events->len;
}

/*
 * The number of the first event at or after a revision.
 */
uint64_t store_table_find_event(const struct store_table *table,
				int64_t revision)
{
	const struct store_entry *entry;
	guint low = 0;
	guint high = table->events->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		entry = g_ptr_array_index(table->events, middle);
		if (entry->mod_revision < revision)
			low = middle + 1;
		else
			high = middle;
	}
	return table->first_event + low;
}

/*
 * An event by its number, from the first to before the end.
 */
const struct store_entry *store_table_event(const struct store_table *table,
					    uint64_t number)
{
	return g_ptr_array_index(table->events, number - table->first_event);
}
