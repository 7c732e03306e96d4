/*
 * The rank of proxies among the homes of a service, by rendezvous hashing.
 *
 * This proxy's own rank is kept as the number of proxies before it, which a
 * proxy that is added or removed changes by one at most. The names of the
 * others are computed only for services that are in use. In services whose
 * homes are pooled, a proxy counts by its weight.
 */
#include "homes.h"

#include <celeryquay/core/homes.h>

/* Whether a proxy ranks before another: the higher draw comes first. */
static bool is_before(uint64_t draw, const char *name, uint64_t other_draw,
		      const char *other_name)
{
	if (draw != other_draw)
		return draw > other_draw;
	return strcmp(name, other_name) < 0;
}

static uint64_t draw_of(const struct rservice *v, const char *name)
{
	unsigned weight = v->pooled ? rplace_weight(v->relay, name) : 1;

	return homes_weighted_score(v->rank.seed, name, weight);
}

static bool is_before_self(const struct rservice *v, const char *name)
{
	return is_before(draw_of(v, name), name, v->rank.draw, v->relay->name);
}

/* Ranks this proxy among those that are listed now. */
void rank_init(struct rservice *v)
{
	struct database_conf conf = { .service = v->name, .name = v->name };
	GHashTableIter iter;
	gpointer name;

	v->rank.seed = homes_seed(&conf);
	v->rank.draw = draw_of(v, v->relay->name);
	v->rank.n_ranked_before = 0;
	g_hash_table_iter_init(&iter, v->relay->peers);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		rank_on_added(v, name);
}

/* Another proxy has been listed. */
void rank_on_added(struct rservice *v, const char *name)
{
	v->rank.n_ranked_before += is_before_self(v, name);
}

/* Another proxy has left the list. */
void rank_on_removed(struct rservice *v, const char *name)
{
	v->rank.n_ranked_before -= is_before_self(v, name);
}

/* A proxy and its draw for a service. */
struct ranked_proxy {
	const char *name;
	uint64_t draw;
};

/*
 * Inserts p into the n best so far and keeps at most max. Returns how many
 * there are then.
 */
static unsigned insert_best(struct ranked_proxy *best, unsigned n, unsigned max,
			    struct ranked_proxy p)
{
	unsigned i = n;

	while (i > 0 &&
	       is_before(p.draw, p.name, best[i - 1].draw, best[i - 1].name)) {
		if (i < max)
			best[i] = best[i - 1];
		i--;
	}
	if (i == max)
		return n;
	best[i] = p;
	return MIN(n + 1, max);
}

/*
 * Writes the names of the best `max` proxies, this one included, best first.
 * Returns how many there are.
 */
unsigned rank_best(const struct rservice *v, const char **names, unsigned max)
{
	struct ranked_proxy *best = g_new(struct ranked_proxy, max);
	struct ranked_proxy p = { v->relay->name, v->rank.draw };
	GHashTableIter iter;
	gpointer name;
	unsigned i, n;

	n = insert_best(best, 0, max, p);
	g_hash_table_iter_init(&iter, v->relay->peers);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		p.name = name;
		p.draw = draw_of(v, name);
		n = insert_best(best, n, max, p);
	}
	for (i = 0; i < n; i++)
		names[i] = best[i].name;
	g_free(best);
	return n;
}
