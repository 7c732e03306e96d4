#ifndef CELERYQUAY_CORE_FRESH_SAMPLES_H
#define CELERYQUAY_CORE_FRESH_SAMPLES_H

/*
 * A bounded list of samples of the primary's position: at the start of the
 * probe or later, its log ended at that position. Recent samples are kept more
 * densely than old ones.
 */

#include <celeryquay/core/types.h>

#define MAX_FRESH_SAMPLES 128

struct fresh_sample {
	uint64_t started_us; /* start of the probe */
	uint64_t first_seen_at_us; /* start of the first probe finding `at` */
	struct position at; /* end of the primary's log */
};

struct fresh_samples {
	unsigned count;
	struct fresh_sample
		list[MAX_FRESH_SAMPLES]; /* by started_us, oldest first */
};

/* Compares in the order of promotions: by term, then by index. */
bool position_is_before(struct position a, struct position b);
void fresh_samples_add(struct fresh_samples *s, uint64_t started_us,
		       struct position at);
void fresh_samples_drop_after(struct fresh_samples *s, uint64_t time_us);
void fresh_samples_prune(struct fresh_samples *s, uint64_t confirmed_until_us);
uint64_t fresh_samples_passed_at_us(const struct fresh_samples *s,
				    uint64_t index);

#endif
