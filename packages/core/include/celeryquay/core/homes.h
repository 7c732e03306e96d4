#ifndef CELERYQUAY_CORE_HOMES_H
#define CELERYQUAY_CORE_HOMES_H

/*
 * The homes of a database: proxies in the order of weighted rendezvous
 * hashing, those near its servers first. Only the first few connect to the
 * servers. A change of one member moves only that member's databases.
 */

#include <celeryquay/core/model.h>
#include <celeryquay/core/types.h>

struct home_candidate {
	const char *name;
	const char *data_centre;
	const char *region;
	bool leaving; /* ranks after all that stay */
};

/*
 * Writes the indexes of the candidates, best first, at most `max`; returns how
 * many. The same inputs give the same order on every proxy.
 */
unsigned homes_rank(const struct database_conf *db,
		    const struct home_candidate *candidates, unsigned n,
		    unsigned *out, unsigned max);

/*
 * The same one candidate at a time, where no server is near any of them: the
 * highest draws of a database's seed are its homes.
 */
uint64_t homes_seed(const struct database_conf *db);
uint64_t homes_draw(uint64_t seed, const char *name);

#endif
