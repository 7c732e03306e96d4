#include "group_internal.h"

/*
 * Keys of requests that were answered with an unknown outcome. A caller sends
 * such a request again under its key. If that try is refused before it runs (no
 * primary, a full queue), "not run" would be taken as the outcome of the key,
 * although the first try may be done. So the refusal of a remembered key is
 * settled before it is sent.
 */

/* The most keys remembered; beyond it the oldest is dropped. */
#define MAX_UNKNOWN_KEYS 4096

/* Remembers a key that was answered as unknown. */
void unknown_key_add(struct group *g, const char *key)
{
	char *copy;

	if (!g->guards.remember_unknown ||
	    g_hash_table_contains(g->unknown, key))
		return;
	if (g->unknown_order.length >= MAX_UNKNOWN_KEYS)
		g_hash_table_remove(g->unknown,
				    g_queue_pop_head(&g->unknown_order));
	copy = g_strdup(key);
	g_hash_table_add(g->unknown, copy);
	g_queue_push_tail(&g->unknown_order, copy);
}

/* Forgets a key whose outcome is known by now. */
void unknown_key_remove(struct group *g, const char *key)
{
	gpointer own = g_hash_table_lookup(g->unknown, key);

	if (!own)
		return;
	g_queue_remove(&g->unknown_order, own);
	g_hash_table_remove(g->unknown, key);
}

/* Whether the key was answered as unknown and not settled since. */
bool unknown_key_has(const struct group *g, const char *key)
{
	return g_hash_table_contains(g->unknown, key);
}

/*
 * Keys of the writes that are not answered yet. A request that is sent again
 * while its first try still runs waits for the first one's lock on the key. If
 * it were then answered "rolled back" at its deadline, that would be taken as
 * the outcome of the key, which the first try may commit a moment later. So it
 * is treated as sent before, and its refusal is settled.
 */

/* Adds a write with this key; true if another one has it already. */
bool running_key_add(struct group *g, const char *key)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(g->running_keys, key));

	g_hash_table_replace(g->running_keys, g_strdup(key),
			     GUINT_TO_POINTER(n + 1));
	return n > 0;
}

/* Removes a write with this key, which was answered. */
void running_key_remove(struct group *g, const char *key)
{
	guint n = GPOINTER_TO_UINT(g_hash_table_lookup(g->running_keys, key));

	if (n > 1)
		g_hash_table_replace(g->running_keys, g_strdup(key),
				     GUINT_TO_POINTER(n - 1));
	else
		g_hash_table_remove(g->running_keys, key);
}
