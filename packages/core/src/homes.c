#include <celeryquay/core/homes.h>

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* How often a proxy draws: once, and once more for each server near it. */
#define DRAWS_BASE 1
#define DRAWS_PER_NEAR_SERVER 1

/* A candidate's place: the tier counts first, then the highest draw. */
struct ranked {
	unsigned candidate;
	unsigned tier;
	uint64_t draw;
};

enum tier { TIER_REGION, TIER_FAR, TIER_LEAVING };

static bool better(const struct ranked *a, const struct ranked *b)
{
	if (a->tier != b->tier)
		return a->tier < b->tier;
	if (a->draw != b->draw)
		return a->draw > b->draw;
	return a->candidate < b->candidate;
}

static enum tier candidate_tier(const struct database_conf *db,
				const struct home_candidate *c)
{
	unsigned i;

	if (c->leaving)
		return TIER_LEAVING;
	for (i = 0; i < db->n_servers; i++) {
		if (!strcmp(db->servers[i].region, c->region))
			return TIER_REGION;
	}
	return TIER_FAR;
}

static unsigned candidate_draws(const struct database_conf *db,
				const struct home_candidate *c)
{
	unsigned draws = DRAWS_BASE;
	unsigned i;

	for (i = 0; i < db->n_servers; i++) {
		if (!strcmp(db->servers[i].data_centre, c->data_centre))
			draws += DRAWS_PER_NEAR_SERVER;
	}
	return draws;
}

/*
 * The highest of several hashes. Whoever draws w times wins against one that
 * draws once with odds w to 1, which is rendezvous hashing with whole weights
 * and needs no logarithm that might round differently elsewhere.
 */
static uint64_t highest_draw(uint64_t seed, const char *name, unsigned draws)
{
	uint64_t best = 0;
	size_t len = strlen(name);
	unsigned i;

	for (i = 0; i < draws; i++) {
		uint64_t draw = XXH3_64bits_withSeed(name, len, seed + i);

		best = MAX(best, draw);
	}
	return best;
}

/* What a database's draws start from. */
uint64_t homes_seed(const struct database_conf *db)
{
	uint64_t seed = XXH3_64bits(db->service, strlen(db->service));

	return XXH3_64bits_withSeed(db->name, strlen(db->name), seed);
}

/* What a candidate draws that no server is near. */
uint64_t homes_draw(uint64_t seed, const char *name)
{
	return highest_draw(seed, name, DRAWS_BASE);
}

/* Inserts into the best so far, which are at most max; returns how many. */
static unsigned insert_ranked(struct ranked *best, unsigned count, unsigned max,
			      struct ranked r)
{
	unsigned i = count;

	if (count == max) {
		if (!better(&r, &best[count - 1]))
			return count;
		i = count - 1;
	}
	while (i > 0 && better(&r, &best[i - 1])) {
		best[i] = best[i - 1];
		i--;
	}
	best[i] = r;
	return MIN(count + 1, max);
}

/*
 * Writes the indexes of the candidates, best first, at most max; returns how
 * many. Those in the region of a server rank before the others, leaving ones
 * last; within a tier each server in the candidate's data centre is one more
 * draw. A candidate's draws don't depend on the others, so one that comes or
 * goes moves only the databases that it takes or had.
 */
unsigned homes_rank(const struct database_conf *db,
		    const struct home_candidate *candidates, unsigned n,
		    unsigned *out, unsigned max)
{
	uint64_t seed = homes_seed(db);
	struct ranked *best;
	unsigned count = 0;
	unsigned i;

	if (!max)
		return 0;
	best = g_new(struct ranked, max);
	for (i = 0; i < n; i++) {
		const struct home_candidate *c = &candidates[i];
		struct ranked r = { .candidate = i };

		r.tier = candidate_tier(db, c);
		r.draw = highest_draw(seed, c->name, candidate_draws(db, c));
		count = insert_ranked(best, count, max, r);
	}
	for (i = 0; i < count; i++)
		out[i] = best[i].candidate;
	g_free(best);
	return count;
}
