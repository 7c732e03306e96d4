#ifndef CELERYQUAY_BASE_COUNTER_H
#define CELERYQUAY_BASE_COUNTER_H

/*
 * Metrics of the process: counters, gauges and fixed-bucket histograms, kept in
 * one table and written as Prometheus text. All of it runs on one thread.
 */

#include <glib.h>
#include <stdint.h>

struct counter_set;
struct counter;

enum counter_kind { COUNTER_COUNT, COUNTER_GAUGE, COUNTER_HISTOGRAM };

struct counter_set *counter_set_create(void);
void counter_set_destroy(struct counter_set *set);

/*
 * Returns the metric with this name and these labels, and creates it if there
 * is none. labels: a Prometheus label list without braces, such as
 * role="replica", or NULL for no labels.
 */
struct counter *counter_get(struct counter_set *set, enum counter_kind kind,
			    const char *name, const char *labels,
			    const char *help);
void counter_add(struct counter *c, uint64_t n);
void counter_set(struct counter *c, int64_t value);
void counter_observe_us(struct counter *c, uint64_t us);
uint64_t counter_value(const struct counter *c);
void counter_write(const struct counter_set *set, GString *out);

#endif
