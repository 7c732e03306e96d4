#ifndef CELERYQUAY_SCHED_PLACEMENT_H
#define CELERYQUAY_SCHED_PLACEMENT_H

/*
 * Which proxies are homes of a service, by capacity; how many; in which order
 * the others try them; and how many of a server's connections they leave free.
 */

#include <stdbool.h>
#include <stdint.h>

/* Number of homes of a service whose homes are pooled. */
#define SPLACE_POOLED_HOMES 3

enum splace_pooling { SPLACE_AUTO, SPLACE_ON, SPLACE_OFF };

/* False: unknown word. */
bool splace_pooling_parse(const char *word, enum splace_pooling *out);

/* What a proxy can carry, as it announces it; 0: unknown. */
struct splace_capacity {
	unsigned cpu_permille; /* share of a core, in thousandths */
	unsigned mbps; /* bandwidth of its network link */
};

/* The smallest and the largest capacities in a fleet. Zero-initialized. */
struct splace_fleet {
	struct splace_capacity least, most;
};

void splace_fleet_add(struct splace_fleet *f, const struct splace_capacity *c);

/* Relative to the smallest proxy: 1 to 8; 1 where something is unknown. */
unsigned splace_weight(const struct splace_fleet *f,
		       const struct splace_capacity *c);

struct splace_facts {
	enum splace_pooling pooling; /* setting */
	bool accounts; /* connections belong to client accounts */
	struct splace_fleet fleet;
	unsigned homes; /* that the service would have if not pooled */
	unsigned min_homes; /* fewest that any service has */
};

bool splace_is_pooled(const struct splace_facts *facts);

/*
 * How many of a server's connections the home of this rank (0 is the first)
 * leaves free. restarted: the server still counts those of its former process.
 */
unsigned splace_connection_reserve(unsigned limit, unsigned rank,
				   bool restarted);

/* How one proxy sees one home of a service. Zero-initialized. */
struct splace_home {
	uint64_t good_since_us; /* instant, 0: it is bad */
	bool was_bad; /* since this proxy listed it */
};

/* Notes whether the home can be used now. */
void splace_home_note(struct splace_home *h, bool is_good, uint64_t now_us);
/* Whether it may be preferred to the homes that rank after it. */
bool splace_home_is_preferred(const struct splace_home *h, uint64_t now_us);

#endif
