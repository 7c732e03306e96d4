#ifndef CELERYQUAY_RELAY_FEED_SOURCE_H
#define CELERYQUAY_RELAY_FEED_SOURCE_H

/*
 * Decides where a proxy reads the configuration and the list of servers: from
 * the store itself, or from another proxy that watches the store for several.
 * In a small fleet all proxies watch the store; in a larger one a few watchers
 * of each data centre do, and the others follow these. A proxy that gets
 * nothing current asks the store, wherever the fault is.
 *
 * Does no I/O. Times are microseconds of any steady clock.
 */

#include <celeryquay/relay/relay.h>

struct feed_source;

struct feed_source *feed_source_create(const char *name, const char *zone);
void feed_source_destroy(struct feed_source *f);
/* The listed proxies, which may include this one. Copied. */
void feed_source_on_proxies(struct feed_source *f,
			    const struct relay_server_info *infos,
			    unsigned n_infos);
/*
 * Keeps what the proxy knows younger than max_age_us while the store answers;
 * 0: no limit.
 */
void feed_source_set_max_age(struct feed_source *f, uint64_t max_age_us);
/* The next call to make. */
struct feed_plan {
	/* Whom to ask; NULL: the store. Valid until the next list. */
	const struct relay_server_info *proxy;
	unsigned wait_ms; /* how long the callee may wait for news */
	/* The call is sent again after this long unanswered; 0: never. */
	unsigned repeat_ms;
	uint64_t timeout_us; /* longest time without a byte of the answer */
	uint64_t total_timeout_us; /* longest time of the whole call */
};

/* reads_all: the call reads everything, not only changes. */
struct feed_plan feed_source_plan(struct feed_source *f, bool reads_all,
				  uint64_t now_us);
/*
 * The outcome of a call to another proxy: no answer (answered false), or what
 * the store had said age_us before. True if that is recent enough.
 */
bool feed_source_on_answer(struct feed_source *f, const char *name,
			   bool answered, uint64_t age_us, uint64_t now_us);
/* Whether the store answered a call of this proxy. */
void feed_source_on_store(struct feed_source *f, bool answered,
			  uint64_t now_us);
/* A value can only be had from the store: the next plan asks it. */
void feed_source_on_value_missing(struct feed_source *f);
/*
 * The largest value that this proxy may send to each of its followers, in
 * bytes; 0: its bandwidth is unknown.
 */
size_t feed_source_value_max(const struct feed_source *f);
/* Whether this proxy watches the store for others. */
bool feed_source_is_watcher(const struct feed_source *f);

#endif
