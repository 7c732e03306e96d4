#include "fresh_samples.h"

#include <string.h>

/* Whether a is lower than b: by term, then by index. */
bool position_is_before(struct position a, struct position b)
{
	return a.term < b.term || (a.term == b.term && a.index < b.index);
}

static void remove_at(struct fresh_samples *s, unsigned i)
{
	s->count--;
	memmove(&s->list[i], &s->list[i + 1],
		(s->count - i) * sizeof(s->list[0]));
}

/*
 * Makes room: drops the sample that leaves the smallest gap in relation to its
 * distance from the newest one. So the spacing grows in proportion to the age,
 * and a replica that is far behind still has a tight bound.
 */
static void drop_cheapest(struct fresh_samples *s)
{
	uint64_t newest_us = s->list[s->count - 1].started_us;
	unsigned best = 1;
	double best_cost = -1;
	unsigned i;

	for (i = 1; i + 1 < s->count; i++) {
		const struct fresh_sample *p = &s->list[i];
		double gap = (double)(p[1].started_us - p[-1].started_us);
		double cost = gap / (double)(newest_us - p->started_us + 1);

		if (best_cost < 0 || cost < best_cost) {
			best_cost = cost;
			best = i;
		}
	}
	remove_at(s, best);
}

/* Adds a sample; its probe may have started before those of other samples. */
void fresh_samples_add(struct fresh_samples *s, uint64_t started_us,
		       struct position at)
{
	unsigned i;

	if (s->count == MAX_FRESH_SAMPLES)
		drop_cheapest(s);
	i = s->count;
	while (i > 0 && s->list[i - 1].started_us > started_us) {
		s->list[i] = s->list[i - 1];
		i--;
	}
	s->list[i] = (struct fresh_sample){ started_us, started_us, at };
	s->count++;
}

/* Drops the samples whose probe started after time_us. */
void fresh_samples_drop_after(struct fresh_samples *s, uint64_t time_us)
{
	while (s->count && s->list[s->count - 1].started_us > time_us)
		s->count--;
}

/*
 * Drops each sample up to confirmed_until_us if a later one has the same or a
 * lower position and so gives a better bound. The kept sample takes over when
 * its position was first seen, so that an idle primary does not make old
 * positions look new.
 */
void fresh_samples_prune(struct fresh_samples *s, uint64_t confirmed_until_us)
{
	struct fresh_sample *kept = NULL;
	unsigned i;

	for (i = s->count; i > 0; i--) {
		struct fresh_sample *p = &s->list[i - 1];

		if (p->started_us > confirmed_until_us)
			continue;
		if (!kept || position_is_before(p->at, kept->at)) {
			kept = p;
			continue;
		}
		if (p->at.index == kept->at.index)
			kept->first_seen_at_us = p->first_seen_at_us;
		remove_at(s, i - 1);
		kept--;
	}
}

/* Start of the first probe that found the log past the index, 0: none did. */
uint64_t fresh_samples_passed_at_us(const struct fresh_samples *s,
				    uint64_t index)
{
	unsigned i;

	for (i = 0; i < s->count; i++) {
		if (s->list[i].at.index > index)
			return s->list[i].first_seen_at_us;
	}
	return 0;
}
