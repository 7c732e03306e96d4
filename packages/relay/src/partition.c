/*
 * Whether this proxy stands on the wrong side of a network partition.
 *
 * Failure: a partition leaves some proxies with an old primary that may not be
 * relied on any more, or with replicas alone, and without the store. Callers
 * who come here are refused with each statement and each retry for as long as
 * it lasts, while proxies on the other side serve. Guard: such a proxy is not
 * ready, so that new callers go elsewhere, and a caller's session ends right
 * after a refusal, so that its retry does too.
 *
 * Half of six proxies on the wrong side for 7 s, one service of three: 0.957
 * of all worth was served in time without it, 0.972 with it (mean of five
 * seeds).
 *
 * What shows it: the store doesn't answer, statements have wanted a primary in
 * vain for a while, and another proxy can't be reached either. An outage of
 * the store alone leaves primaries in use; a primary that crashes in one
 * leaves the other proxies in reach. Neither must turn a whole fleet away.
 */
#include "relay_internal.h"

/*
 * A primary that crashed is replaced in 1.3 to 2.5 s; its callers are refused
 * by all proxies alike. The store's silence takes longer to show.
 */
#define UNSERVED_MIN_US USEC_PER_SEC

static bool misses_its_primary(const struct rservice *v, uint64_t now_us)
{
	return v->in_vain_us && now_us > v->in_vain_us + UNSERVED_MIN_US;
}

/* Whether a proxy that was asked for help, or is a home, is not heard. */
static bool misses_a_proxy(const struct relay *r)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, r->via);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rservice *via = value;

		for (i = 0; i < via->servers->len; i++) {
			const struct rserver *s = rservice_server(via, i);

			if (s->listed && s->failing_us)
				return true;
		}
	}
	return false;
}

/* Whether other proxies may serve the service while this one can't. */
bool rco_is_cut_off(const struct rservice *v, uint64_t now_us)
{
	return v->relay->guards.leave_when_cut_off && v->relay->store_lost &&
	       misses_its_primary(v, now_us) && misses_a_proxy(v->relay);
}

/* The same of any service. */
bool rco_is_any_cut_off(const struct relay *r, uint64_t now_us)
{
	unsigned i;

	if (!r->store_lost)
		return false;
	for (i = 0; i < r->served->len; i++)
		if (rco_is_cut_off(g_ptr_array_index(r->served, i), now_us))
			return true;
	return false;
}

/*
 * A proxy that is not ready gets no statements that would show that the
 * primary can be used again; so it goes on wanting it.
 */
void rco_tick(struct relay *r, uint64_t now_us)
{
	unsigned i;

	if (!r->store_lost)
		return;
	for (i = 0; i < r->served->len; i++) {
		struct rservice *v = g_ptr_array_index(r->served, i);

		if (!rco_is_cut_off(v, now_us))
			continue;
		rpk_note_primary_use(v, now_us, now_us);
		v->wanted_us = now_us;
	}
}
