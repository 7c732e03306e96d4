#ifndef CELERYQUAY_TESTS_SUPPORT_KV_H
#define CELERYQUAY_TESTS_SUPPORT_KV_H

/*
 * A store, a proxy that watches it, and one that follows it through that
 * proxy, on one loop. The store of the test is a table whose calls are counted;
 * answers are lines of words.
 */

#include "support_loop.h"

#include <celeryquay/relay/feed_source.h>
#include <celeryquay/transport/kv_feed.h>

struct row {
	uint64_t revision;
	char *value; /* NULL: it was deleted */
};

/* What the store does with a proxy's calls. */
enum kv_rig_mode {
	KV_RIG_ANSWERS,
	KV_RIG_SILENT, /* it takes the call and never answers */
	KV_RIG_REFUSES,
	KV_RIG_LATE, /* after KV_RIG_LATE_MS */
	KV_RIG_SOME, /* it answers the third call of three */
	KV_RIG_CUT /* its answers end in their first line */
};

#define KV_RIG_LATE_MS 350

/* A proxy: what it follows, and what it serves. */
struct proxy {
	struct kv_follow *follow;
	struct kv_feed *feed;
	struct ready *port;
	char *url;
	GHashTable *has; /* key -> value */
	char *store_url;
	enum kv_rig_mode store;
	unsigned store_calls;
	unsigned key_calls; /* of these, for one key */
	struct feed_source *decides; /* whom it asks; NULL: `asks` */
	const char *asks; /* the other's URL; NULL: the store */
	bool asks_once; /* the store */
	bool is_paged; /* the store's range has a second page */
	bool learns; /* of the watcher from the first page */
	bool mute; /* it answers nobody */
	GQueue muted; /* struct ready_wait */
	unsigned n_settled, n_heard, n_lost, n_fed, n_left, n_missing;
	unsigned n_refused;
	uint64_t age_us;
	uint64_t known_us;
};

struct kv_rig {
	uv_loop_t loop;
	struct http *http;
	struct ready *port;
	char *url;
	GHashTable *rows; /* key -> struct row */
	uint64_t revision;
	unsigned calls;
	unsigned fail_ranges; /* the next ones are refused */
	bool down;
	bool boasts; /* the watcher says that it knows what is to come */
	GQueue held; /* struct ready_wait: calls that get no answer */
	struct proxy watcher, follower;
	struct kv_feed *behind; /* nothing new is told to it; NULL: none is */
};

extern struct kv_rig rig;
/* "at cursor age partial" and "key revision [value]" lines. */
extern const struct kv_codec kv_rig_codec;

void kv_rig_start(void);
/*
 * Both at once, while the store answers the watcher in this way. The follower
 * learns of the watcher from the first of two pages.
 */
void kv_rig_start_together(enum kv_rig_mode mode);
/*
 * As kv_rig_start(), with the proxies' own decisions on whom to ask, as in a
 * fleet of so many.
 */
void kv_rig_start_fleet(unsigned n_proxies);
void kv_rig_end(void);
/* Writes a key of the store; NULL: it is deleted. */
void kv_rig_put(const char *key, const char *value);
/* Turns the loop until the follower has that; value NULL: it is gone. */
void kv_rig_expect(const char *key, const char *value);
/* What the store does with both proxies' calls. */
void kv_rig_store(enum kv_rig_mode mode);

#endif
