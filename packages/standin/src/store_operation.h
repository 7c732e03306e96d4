/*
 * The operations on keys that stand alone or in a transaction: each is read
 * and checked as a whole before any of its transaction is run.
 */
#ifndef STANDIN_STORE_OPERATION_H
#define STANDIN_STORE_OPERATION_H

#include "store_kv.h"

enum operation_kind { OP_PUT, OP_RANGE, OP_DELETE };

struct operation {
	enum operation_kind kind;
	struct store_range range;
	GBytes *value;
	int64_t lease;
	int64_t limit;
	int64_t revision;
	bool keys_only;
};

struct operation *store_read_operation(struct store_kv *kv,
				       enum operation_kind kind,
				       JsonObject *body,
				       struct store_error *error);
JsonObject *store_run_operation(struct store_kv *kv,
				const struct operation *op);
void store_operation_free(gpointer data);

#endif
