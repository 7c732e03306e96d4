#ifndef CELERYQUAY_CORE_HOMES_H
#define CELERYQUAY_CORE_HOMES_H

/*
 * The homes of a database are the proxies that connect to its servers: the
 * first few in the order of weighted rendezvous hashing, in which those near
 * the servers come first. A change of one proxy moves only the databases of
 * that proxy.
 */

#include <celeryquay/core/model.h>
#include <celeryquay/core/types.h>

struct home_candidate {
	const char *name;
	const char *data_centre;
	const char *region;
	bool leaving; /* ranks after all that are not leaving */
};

/*
 * Writes the indexes of the candidates to out, best first, at most `max`;
 * returns their number. The same inputs give the same order on every proxy.
 */
unsigned homes_rank(const struct database_conf *db,
		    const struct home_candidate *candidates, unsigned n,
		    unsigned *out, unsigned max);

/*
 * The same for one candidate at a time, if no server is near any candidate and
 * none is leaving: the candidates with the highest scores for a database's seed
 * are its homes.
 */
uint64_t homes_seed(const struct database_conf *db);
uint64_t homes_score(uint64_t seed, const char *name);
/* A candidate of weight w wins against one of weight 1 with odds of w to 1. */
uint64_t homes_weighted_score(uint64_t seed, const char *name, unsigned weight);

#endif
