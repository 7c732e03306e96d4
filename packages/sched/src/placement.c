#include <celeryquay/sched/placement.h>

#include <glib.h>
#include <string.h>

#define MAX_WEIGHT 8
/*
 * Homes are pooled where the largest proxy has at least this many times the
 * processor of the smallest: work that takes a fifth of the one takes all of
 * the other.
 */
#define UNEVEN_CPU_RATIO 5
/*
 * The part of a server's connections that the first home leaves free: a standby
 * that takes over needs some at once, while the server still counts those of
 * the first home.
 */
#define FIRST_RESERVE_DIVISOR 4
#define STANDBY_RESERVE 2
/* Two for each of the other homes, which probe the servers. */
#define RESTART_RESERVE 4
/*
 * A home that was bad is preferred again after it was good for this long, so
 * that statements don't follow one that flaps.
 */
#define PREFERRED_AGAIN_US (UINT64_C(1000) * 1000)

/* Parses the setting; false: unknown word. */
bool splace_pooling_parse(const char *word, enum splace_pooling *out)
{
	static const char *const words[] = {
		[SPLACE_AUTO] = "auto",
		[SPLACE_ON] = "on",
		[SPLACE_OFF] = "off",
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(words); i++) {
		if (strcmp(word, words[i]) != 0)
			continue;
		*out = (enum splace_pooling)i;
		return true;
	}
	return false;
}

static unsigned lower(unsigned least, unsigned value)
{
	return least && least < value ? least : value;
}

static bool is_known(const struct splace_capacity *c)
{
	return c->cpu_permille && c->mbps;
}

/* Takes a proxy into account; one of unknown capacity changes nothing. */
void splace_fleet_add(struct splace_fleet *f, const struct splace_capacity *c)
{
	if (!is_known(c))
		return;
	f->least.cpu_permille = lower(f->least.cpu_permille, c->cpu_permille);
	f->least.mbps = lower(f->least.mbps, c->mbps);
	f->most.cpu_permille = MAX(f->most.cpu_permille, c->cpu_permille);
	f->most.mbps = MAX(f->most.mbps, c->mbps);
}

/*
 * The weight of a proxy in rendezvous hashing. The lesser of its two ratios
 * counts, since a home needs both its processor and its link.
 */
unsigned splace_weight(const struct splace_fleet *f,
		       const struct splace_capacity *c)
{
	unsigned ratio;

	if (!is_known(c) || !is_known(&f->least))
		return 1;
	ratio = MIN(c->cpu_permille / f->least.cpu_permille,
		    c->mbps / f->least.mbps);
	return CLAMP(ratio, 1, MAX_WEIGHT);
}

static bool is_uneven(const struct splace_fleet *f)
{
	return f->most.cpu_permille >=
		       f->least.cpu_permille * UNEVEN_CPU_RATIO &&
	       f->least.cpu_permille;
}

/*
 * Whether a service's statements all go through its first home while that can
 * be used. Many homes before few slots each have a queue of their own, so no
 * order holds between their statements, and each needs connections of every
 * account.
 */
bool splace_is_pooled(const struct splace_facts *facts)
{
	if (facts->pooling == SPLACE_OFF || facts->homes <= facts->min_homes)
		return false;
	return facts->pooling == SPLACE_ON || facts->accounts ||
	       is_uneven(&facts->fleet);
}

/*
 * How many of a server's connections a home leaves to the others. After a
 * restart the server still counts those of the former process, so the first
 * home may use what it left free for a standby.
 */
unsigned splace_connection_reserve(unsigned limit, unsigned rank,
				   bool restarted)
{
	if (rank)
		return STANDBY_RESERVE;
	if (restarted)
		return RESTART_RESERVE;
	return MAX(limit / FIRST_RESERVE_DIVISOR, STANDBY_RESERVE);
}

/* Notes whether the home can be used now. */
void splace_home_note(struct splace_home *h, bool is_good, uint64_t now_us)
{
	if (!is_good) {
		h->good_since_us = 0;
		h->was_bad = true;
	} else if (!h->good_since_us) {
		h->good_since_us = now_us;
	}
}

/* Whether the home may be preferred to those that rank after it. */
bool splace_home_is_preferred(const struct splace_home *h, uint64_t now_us)
{
	if (!h->good_since_us)
		return false;
	return !h->was_bad || now_us >= h->good_since_us + PREFERRED_AGAIN_US;
}
