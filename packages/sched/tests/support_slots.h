#ifndef CELERYQUAY_SUPPORT_SLOTS_H
#define CELERYQUAY_SUPPORT_SLOTS_H

/*
 * Plays the statements of 85 accounts against the slots of one service on
 * virtual time: page 0022's profiles, their targets and timeouts, and Poisson
 * arrivals. What isn't started before its timeout is taken out of the queue.
 */

#include <stdbool.h>

#define SLOTS_ACCOUNTS 85

struct slots_load {
	double load; /* work that arrives, of the capacity of all slots */
	double write_share; /* of the bulk of the work; page: 0.12 */
	bool one_priority; /* all profiles have the same */
	unsigned n_large; /* the first accounts, at eight times the others */
	unsigned flood; /* account that sends at eight times its usual rate */
};

/*
 * What the flood costs the others: by how much the share of their statements
 * that start within their target is less with it than without.
 */
double slots_cost_of_flood(const struct slots_load *load);

#endif
