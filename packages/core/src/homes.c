#include <celeryquay/core/homes.h>

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Number of hashes of a candidate, of which the highest is its score: one, and
 * one more for each server in its data centre.
 */
#define BASE_HASHES 1
#define HASHES_PER_NEAR_SERVER 1

/* Candidates are ordered by tier, then by the highest score. */
struct ranked {
	unsigned candidate;
	unsigned tier;
	uint64_t score;
};

/* In the order of preference: a server in its region, none, leaving. */
enum tier { TIER_REGION, TIER_FAR, TIER_LEAVING };

static bool ranks_before(const struct ranked *a, const struct ranked *b)
{
	if (a->tier != b->tier)
		return a->tier < b->tier;
	if (a->score != b->score)
		return a->score > b->score;
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

static unsigned hash_count(const struct database_conf *db,
			   const struct home_candidate *c)
{
	unsigned n_hashes = BASE_HASHES;
	unsigned i;

	for (i = 0; i < db->n_servers; i++) {
		if (!strcmp(db->servers[i].data_centre, c->data_centre))
			n_hashes += HASHES_PER_NEAR_SERVER;
	}
	return n_hashes;
}

/*
 * The highest of several hashes. A candidate with w hashes wins against one
 * with a single hash with odds of w to 1. This is rendezvous hashing with
 * integer weights, without a logarithm that might round differently on another
 * machine.
 */
static uint64_t highest_score(uint64_t seed, const char *name,
			      unsigned n_hashes)
{
	uint64_t best = 0;
	size_t len = strlen(name);
	unsigned i;

	for (i = 0; i < n_hashes; i++) {
		uint64_t score = XXH3_64bits_withSeed(name, len, seed + i);

		best = MAX(best, score);
	}
	return best;
}

/* The seed of a database's hashes. */
uint64_t homes_seed(const struct database_conf *db)
{
	uint64_t seed = XXH3_64bits(db->service, strlen(db->service));

	return XXH3_64bits_withSeed(db->name, strlen(db->name), seed);
}

/* The score of a candidate of that weight. */
uint64_t homes_weighted_score(uint64_t seed, const char *name, unsigned weight)
{
	return highest_score(seed, name, weight);
}

/* The score of a candidate that no server is near. */
uint64_t homes_score(uint64_t seed, const char *name)
{
	return highest_score(seed, name, BASE_HASHES);
}

/* Inserts into the sorted array of at most max; returns the new count. */
static unsigned insert_ranked(struct ranked *best, unsigned count, unsigned max,
			      struct ranked r)
{
	unsigned i = count;

	if (count == max) {
		if (!ranks_before(&r, &best[count - 1]))
			return count;
		i = count - 1;
	}
	while (i > 0 && ranks_before(&r, &best[i - 1])) {
		best[i] = best[i - 1];
		i--;
	}
	best[i] = r;
	return MIN(count + 1, max);
}

/*
 * Candidates in the region of a server rank before the others, leaving ones
 * last. Within a tier, each server in the candidate's data centre adds a hash.
 * A candidate's score doesn't depend on the other candidates, so one that joins
 * or leaves moves only the databases that it takes over or had.
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
		r.score = highest_score(seed, c->name, hash_count(db, c));
		count = insert_ranked(best, count, max, r);
	}
	for (i = 0; i < count; i++)
		out[i] = best[i].candidate;
	g_free(best);
	return count;
}
