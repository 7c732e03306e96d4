/*
 * Whether a network partition keeps this proxy from serving while others can.
 *
 * Failure: a partition leaves some proxies without the store, with an old
 * primary whose lease has expired or with replicas alone. Their callers are
 * refused with each statement and each retry for as long as the partition
 * lasts, while proxies on the other side could serve them. Guard: such a proxy
 * reports that it is not ready, so that new callers go elsewhere, and ends a
 * caller's session right after a refusal, so that its retry goes elsewhere too.
 *
 * With three of six proxies cut off for 7 s and one service of three affected,
 * the share of statements served in time, weighted by their worth, is 0.957
 * without this and 0.972 with it.
 *
 * A proxy is cut off if the store doesn't answer, statements have not been able
 * to get a primary for a while, and another proxy can't be reached either. An
 * outage of the store alone leaves primaries in use; a primary that crashes
 * during one leaves the other proxies reachable. In neither case may all
 * proxies refuse callers.
 */
#include "homes.h"

/*
 * Statements must have lacked a primary for this long. A crashed primary is
 * replaced in 1.3 to 2.5 s, and all proxies refuse its callers alike meanwhile;
 * a store that doesn't answer takes longer to detect.
 */
#define UNSERVED_MIN_US USEC_PER_SEC

static bool misses_its_primary(const struct rservice *v, uint64_t now_us)
{
	return v->unserved_since_us &&
	       now_us > v->unserved_since_us + UNSERVED_MIN_US;
}

/*
 * Whether another proxy that is a home, or was asked for help, doesn't answer.
 */
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

			if (s->listed && s->failing_since_us)
				return true;
		}
	}
	return false;
}

/* Whether this proxy can't serve the service while others may. */
bool rpartition_is_cut_off(const struct rservice *v, uint64_t now_us)
{
	return v->relay->guards.leave_when_cut_off && v->relay->store_lost &&
	       misses_its_primary(v, now_us) && misses_a_proxy(v->relay);
}

/* The same, for any service. */
bool rpartition_is_any_cut_off(const struct relay *r, uint64_t now_us)
{
	unsigned i;

	if (!r->store_lost)
		return false;
	for (i = 0; i < r->served->len; i++)
		if (rpartition_is_cut_off(g_ptr_array_index(r->served, i),
					  now_us))
			return true;
	return false;
}

/*
 * A proxy that is not ready gets no statements, which would show that the
 * primary is usable again. So this keeps probing for it as if they came.
 */
void rpartition_tick(struct relay *r, uint64_t now_us)
{
	unsigned i;

	if (!r->store_lost)
		return;
	for (i = 0; i < r->served->len; i++) {
		struct rservice *v = g_ptr_array_index(r->served, i);

		if (!rpartition_is_cut_off(v, now_us))
			continue;
		rpick_track_primary_use(v, now_us, now_us);
		v->wanted_at_us = now_us;
	}
}
