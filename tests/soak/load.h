#ifndef SOAK_LOAD_H
#define SOAK_LOAD_H

/*
 * How unevenly proxies and callers are sized, drawn from the seed by a random
 * stream of its own, so that the faults of a seed stay the same.
 */

#include <glib.h>
#include <stdbool.h>

#define LOAD_PROXIES_MAX 160
/*
 * A fleet whose homes are pooled. With fewer proxies all of them connect to the
 * servers, with fewer connections a service has no more than four homes.
 */
#define LOAD_POOLED_PROXIES 11
#define LOAD_POOLED_PROXIES_MOST 13
#define LOAD_POOLED_CONNECTIONS 25

struct load_proxy {
	const char *cpu; /* the setting's text; NULL: not set */
	unsigned mbps;
};

struct load {
	const char *home_pooling; /* the setting; NULL: not set */
	unsigned pooled_proxies; /* in a fleet with pooled homes; 0: a small one
				  */
	unsigned pressing_percent; /* callers that make no pauses */
	struct load_proxy proxies[LOAD_PROXIES_MAX];
};

/* Proxies alike, as before there were capacities; all callers make pauses. */
void load_even(struct load *l);
void load_draw(struct load *l, guint32 seed);
/* One line on the first n proxies; free it. */
char *load_text(const struct load *l, unsigned n);

#endif
