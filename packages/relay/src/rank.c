/*
 * Where proxies stand among the homes of a service.
 *
 * This proxy's own place is kept as a count of those before it, which one proxy
 * that comes or goes changes by one at most. Who the others are is worked out
 * only for services that somebody asks for.
 */
#include "relay_internal.h"

#include <celeryquay/core/homes.h>

/* A proxy's place: the higher draw is before the lower one. */
static bool is_before(uint64_t draw, const char *name, uint64_t other_draw,
		      const char *other_name)
{
	if (draw != other_draw)
		return draw > other_draw;
	return strcmp(name, other_name) < 0;
}

static bool is_before_self(const struct rservice *v, const char *name)
{
	return is_before(homes_draw(v->rank.seed, name), name, v->rank.draw,
			 v->relay->name);
}

/* Among the proxies that are listed now. */
void rrk_init(struct rservice *v)
{
	struct database_conf conf = { .service = v->name, .name = v->name };
	GHashTableIter iter;
	gpointer name;

	v->rank.seed = homes_seed(&conf);
	v->rank.draw = homes_draw(v->rank.seed, v->relay->name);
	v->rank.n_before = 0;
	g_hash_table_iter_init(&iter, v->relay->peers);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		rrk_on_come(v, name);
}

/* Another proxy is listed. */
void rrk_on_come(struct rservice *v, const char *name)
{
	v->rank.n_before += is_before_self(v, name);
}

/* One that was listed is no more. */
void rrk_on_gone(struct rservice *v, const char *name)
{
	v->rank.n_before -= is_before_self(v, name);
}

/* A proxy among the first of a service. */
struct place {
	const char *name;
	uint64_t draw;
};

/* Inserts it among the first so far, at most max; returns how many. */
static unsigned insert_place(struct place *first, unsigned n, unsigned max,
			     struct place p)
{
	unsigned i = n;

	while (i > 0 && is_before(p.draw, p.name, first[i - 1].draw,
				  first[i - 1].name)) {
		if (i < max)
			first[i] = first[i - 1];
		i--;
	}
	if (i == max)
		return n;
	first[i] = p;
	return MIN(n + 1, max);
}

/*
 * The names of the first `max` proxies, best first, this one among them; the
 * array has room for as many. Returns how many there are.
 */
unsigned rrk_first(const struct rservice *v, const char **names, unsigned max)
{
	struct place *first = g_new(struct place, max);
	struct place p = { v->relay->name, v->rank.draw };
	GHashTableIter iter;
	gpointer name;
	unsigned i, n;

	n = insert_place(first, 0, max, p);
	g_hash_table_iter_init(&iter, v->relay->peers);
	while (g_hash_table_iter_next(&iter, &name, NULL)) {
		p.name = name;
		p.draw = homes_draw(v->rank.seed, name);
		n = insert_place(first, n, max, p);
	}
	for (i = 0; i < n; i++)
		names[i] = first[i].name;
	g_free(first);
	return n;
}
