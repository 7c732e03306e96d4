#include "store_lease.h"

struct lease {
	int64_t id;
	int64_t ttl_s;
	uint64_t expires_us;
};

struct store_leases {
	struct store_table *table;
	GHashTable *by_id; /* int64_t -> struct lease */
	int64_t last_id;
	uint64_t expired;
};

/*
 * No leases yet; `table` holds the keys that will hang on them.
 */
struct store_leases *store_leases_create(struct store_table *table)
{
	struct store_leases *leases = g_new0(struct store_leases, 1);

	leases->table = table;
	leases->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      g_free);
	leases->last_id = 1000;
	return leases;
}

/*
 * Frees the leases, and leaves the keys alone.
 */
void store_leases_destroy(struct store_leases *leases)
{
	if (!leases)
		return;
	g_hash_table_destroy(leases->by_id);
	g_free(leases);
}

static void renew(struct lease *lease, uint64_t now_us)
{
	lease->expires_us = now_us + (uint64_t)lease->ttl_s * G_USEC_PER_SEC;
}

/*
 * Grants a lease, with an id of the store's choice if `id` is 0. Returns
 * the id, or 0 if the wanted one is taken.
 */
int64_t store_lease_grant(struct store_leases *leases, int64_t id,
			  int64_t ttl_s, uint64_t now_us)
{
	struct lease *lease;

	while (id == 0 || (id == leases->last_id &&
			   g_hash_table_contains(leases->by_id, &id)))
		id = ++leases->last_id;
	if (g_hash_table_contains(leases->by_id, &id))
		return 0;
	lease = g_new0(struct lease, 1);
	lease->id = id;
	lease->ttl_s = ttl_s;
	renew(lease, now_us);
	g_hash_table_insert(leases->by_id, &lease->id, lease);
	return id;
}

/*
 * Starts the lease's time anew. Returns its length in seconds, or 0 if
 * there is no such lease, as after it expired.
 */
int64_t store_lease_keepalive(struct store_leases *leases, int64_t id,
			      uint64_t now_us)
{
	struct lease *lease = g_hash_table_lookup(leases->by_id, &id);

	if (!lease)
		return 0;
	renew(lease, now_us);
	return lease->ttl_s;
}

/*
 * Ends a lease and deletes its keys in one revision. Returns false if
 * there is no such lease.
 */
bool store_lease_revoke(struct store_leases *leases, int64_t id,
			uint64_t now_us)
{
	g_autoptr(GBytes) no_end = g_bytes_new(NULL, 0);
	g_autoptr(GPtrArray) found = NULL;
	guint i;

	if (!g_hash_table_remove(leases->by_id, &id))
		return false;
	found = store_table_leased(leases->table, id);
	store_table_begin(leases->table, now_us);
	for (i = 0; i < found->len; i++) {
		const struct store_entry *entry = g_ptr_array_index(found, i);
		struct store_range range = { entry->key, no_end };

		store_table_delete(leases->table, &range);
	}
	return true;
}

/*
 * Ends every lease, as if none had been kept alive. Returns how many.
 */
unsigned store_leases_revoke_all(struct store_leases *leases, uint64_t now_us)
{
	g_autoptr(GList) ids = g_hash_table_get_keys(leases->by_id);
	unsigned count = 0;
	const GList *link;

	for (link = ids; link; link = link->next)
		count += store_lease_revoke(leases, *(int64_t *)link->data,
					    now_us);
	return count;
}

/*
 * Whether keys can hang on this lease.
 */
bool store_lease_exists(const struct store_leases *leases, int64_t id)
{
	return g_hash_table_contains(leases->by_id, &id);
}

/*
 * How many leases there are.
 */
guint store_leases_count(const struct store_leases *leases)
{
	return g_hash_table_size(leases->by_id);
}

/*
 * How many leases have expired since the start.
 */
uint64_t store_leases_expired(const struct store_leases *leases)
{
	return leases->expired;
}

static const struct lease *find_expired(const struct store_leases *leases,
					uint64_t now_us)
{
	GHashTableIter iter;
	gpointer lease;

	g_hash_table_iter_init(&iter, leases->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &lease)) {
		if (((struct lease *)lease)->expires_us <= now_us)
			return lease;
	}
	return NULL;
}

/*
 * Revokes the leases whose time is over. Returns whether there were any.
 */
bool store_leases_tick(struct store_leases *leases, uint64_t now_us)
{
	const struct lease *lease = find_expired(leases, now_us);
	bool any = lease != NULL;

	while (lease) {
		leases->expired++;
		store_lease_revoke(leases, lease->id, now_us);
		lease = find_expired(leases, now_us);
	}
	return any;
}

/*
 * Starts every lease's time anew, as etcd does after it was without a
 * leader: clients could not keep them alive meanwhile.
 */
void store_leases_renew_all(struct store_leases *leases, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer lease;

	g_hash_table_iter_init(&iter, leases->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &lease))
		renew(lease, now_us);
}
