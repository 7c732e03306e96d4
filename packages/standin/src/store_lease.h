/*
 * The store's leases: a lease that isn't kept alive expires, and the keys
 * that hang on it go with it.
 */
#ifndef STANDIN_STORE_LEASE_H
#define STANDIN_STORE_LEASE_H

#include "store_table.h"

struct store_leases;

struct store_leases *store_leases_create(struct store_table *table);
void store_leases_destroy(struct store_leases *leases);

int64_t store_lease_grant(struct store_leases *leases, int64_t id,
			  int64_t ttl_s, uint64_t now_us);
int64_t store_lease_keepalive(struct store_leases *leases, int64_t id,
			      uint64_t now_us);
bool store_lease_revoke(struct store_leases *leases, int64_t id,
			uint64_t now_us);
unsigned store_leases_revoke_all(struct store_leases *leases, uint64_t now_us);
bool store_lease_exists(const struct store_leases *leases, int64_t id);
guint store_leases_count(const struct store_leases *leases);
uint64_t store_leases_expired(const struct store_leases *leases);
bool store_leases_tick(struct store_leases *leases, uint64_t now_us);
void store_leases_renew_all(struct store_leases *leases, uint64_t now_us);

#endif
