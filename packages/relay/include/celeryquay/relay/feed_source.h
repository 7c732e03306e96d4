#ifndef CELERYQUAY_RELAY_FEED_SOURCE_H
#define CELERYQUAY_RELAY_FEED_SOURCE_H

/*
 * Whom a proxy asks for the configuration and the list of servers: the store
 * itself, or another proxy that watches it for several. In a small fleet all
 * ask the store; in a larger one a few watchers of each data centre do. A
 * proxy that hears nothing current asks the store, whoever is to blame.
 *
 * Pure: times are microseconds of any steady clock.
 */

#include <celeryquay/relay/relay.h>

struct feed_source;

struct feed_source *feed_source_create(const char *name, const char *zone);
void feed_source_destroy(struct feed_source *f);
/* The proxies as they are listed, this one among them or not. Copied. */
void feed_source_on_proxies(struct feed_source *f,
			    const struct relay_server_info *infos,
			    unsigned n_infos);
/*
 * What is known is to be of less than so long ago, however it is asked for, as
 * long as the store answers; 0: no matter.
 */
void feed_source_keep_young(struct feed_source *f, uint64_t max_age_us);
/* The next call. */
struct feed_plan {
	/* NULL: the store. Valid until the next list. */
	const struct relay_server_info *proxy;
	unsigned wait_ms; /* for news */
	/* Sent once more after so long without an answer; 0: not at all. */
	unsigned repeat_ms;
	uint64_t timeout_us; /* without a byte of the answer */
	uint64_t most_us; /* of the whole call */
};

/* reads_all: the call reads all rather than what changes. */
struct feed_plan feed_source_plan(struct feed_source *f, bool reads_all,
				  uint64_t now_us);
/*
 * What the proxy that was asked answered: nothing (answered false), or what
 * the store had said age_us before. True when that is current.
 */
bool feed_source_on_answer(struct feed_source *f, const char *name,
			   bool answered, uint64_t age_us, uint64_t now_us);
/* The store answered a call of this proxy, or did not. */
void feed_source_on_store(struct feed_source *f, bool answered,
			  uint64_t now_us);
/* A value is only at the store: the next plan is for it. */
void feed_source_on_missing(struct feed_source *f);
/*
 * How large a value this one may send to all that are to ask it, in bytes;
 * 0: its link is not known.
 */
size_t feed_source_value_max(const struct feed_source *f);
/* Whether others are to ask this one. */
bool feed_source_is_watcher(const struct feed_source *f);

#endif
