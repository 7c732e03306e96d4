#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>

/* Ends long transactions that their callers have stopped using. */

/* When the transaction will have been idle for too long. */
static uint64_t idle_deadline_us(const struct txn *txn)
{
	return txn->used_us + txn->group->settings.idle_transaction_us;
}

/* Returns a transaction that was idle for too long, NULL: there is none. */
static struct txn *find_idle(struct group *g, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->txns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct txn *txn = value;

		if (!txn->run && now_us >= idle_deadline_us(txn))
			return txn;
	}
	return NULL;
}

/*
 * Rolls back transactions that were idle for too long: the caller may be gone
 * for good, while the transaction holds a slot, a connection and the locks of
 * what it wrote.
 */
void txn_tick(struct group *g, uint64_t now_us)
{
	struct txn *txn;

	while ((txn = find_idle(g, now_us))) {
		LOG_INFO(
			"%s: ending a transaction of %s that is idle for too long",
			g->label, txn->caller);
		txn_end(txn, now_us);
	}
}

/* When the next transaction will have been idle for too long. */
uint64_t txn_next_us(struct group *g)
{
	uint64_t next_us = UINT64_MAX;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, g->txns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (!((struct txn *)value)->run)
			next_us = MIN(next_us, idle_deadline_us(value));
	}
	return next_us;
}
