#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

/* Callers of the proxies; what each is told is checked as it comes. */

#include "fleet.h"

struct callers;

struct callers_count {
	unsigned ok;
	unsigned refused; /* told that nothing is kept */
	unsigned failed;
	unsigned in_doubt;
	unsigned cut; /* their connection ended without an answer */
	unsigned late; /* no answer at all in CALLER_LIMIT_US */
	unsigned cut_by_stop; /* by a planned stop and nothing else */
};

struct callers *callers_create(struct fleet *f, struct groups *g, GRand *rng,
			       unsigned n);
struct callers_count callers_count(const struct callers *c);
/* No fault but planned stops before this moment counts as over. */
void callers_note_fault(struct callers *c);
/* That many percent make no pauses between statements from now on. */
void callers_press(struct callers *c, unsigned percent);
/* They send nothing more. */
void callers_rest(struct callers *c);

#endif
