/*
 * The store's data: a sorted table of keys with the versions that have not
 * been compacted, and the log of events that watches are served from.
 */
#ifndef STANDIN_STORE_TABLE_H
#define STANDIN_STORE_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/* One version of a key; never changes once it is in the table. */
struct store_entry {
	GBytes *key;
	GBytes *value;
	int64_t create_revision;
	int64_t mod_revision;
	int64_t version;
	int64_t lease;
	bool deleted;
	uint64_t at_us;
};

/* Keys from `key` up to, and without, `end`; see store_range_matches(). */
struct store_range {
	GBytes *key;
	GBytes *end;
};

struct store_table;

struct store_table *store_table_create(void);
void store_table_destroy(struct store_table *table);

int64_t store_table_revision(const struct store_table *table);
int64_t store_table_compacted(const struct store_table *table);
guint store_table_size(const struct store_table *table);

void store_table_begin(struct store_table *table, uint64_t now_us);
void store_table_put(struct store_table *table, GBytes *key, GBytes *value,
		     int64_t lease);
unsigned store_table_delete(struct store_table *table,
			    const struct store_range *range);
void store_table_compact(struct store_table *table, int64_t revision);
void store_table_rewind(struct store_table *table, int64_t revision);

const struct store_entry *store_table_get(const struct store_table *table,
					  GBytes *key, int64_t revision);
GPtrArray *store_table_range(const struct store_table *table,
			     const struct store_range *range, int64_t revision);
GPtrArray *store_table_leased(const struct store_table *table, int64_t lease);
bool store_range_matches(const struct store_range *range, GBytes *key);

uint64_t store_table_first_event(const struct store_table *table);
uint64_t store_table_end_event(const struct store_table *table);
uint64_t store_table_find_event(const struct store_table *table,
				int64_t revision);
const struct store_entry *store_table_event(const struct store_table *table,
					    uint64_t number);

#endif
