/*
 * The store's calls that are answered at once: keys, transactions and
 * leases, from a JSON object to a JSON answer.
 */
#ifndef STANDIN_STORE_KV_H
#define STANDIN_STORE_KV_H

#include "store_json.h"
#include "store_lease.h"

struct store_kv {
	struct store_table *table;
	struct store_leases *leases;
	uint64_t now_us;
};

struct store_call {
	const char *path;
	/* NULL, with the error set, if the call is refused. */
	JsonObject *(*run)(struct store_kv *kv, JsonObject *body,
			   struct store_error *error);
};

JsonObject *store_call_txn(struct store_kv *kv, JsonObject *body,
			   struct store_error *error);
const struct store_call *store_find_call(const char *path, gsize length);

#endif
