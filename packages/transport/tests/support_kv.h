#ifndef CELERYQUAY_TESTS_SUPPORT_KV_H
#define CELERYQUAY_TESTS_SUPPORT_KV_H

/*
 * A store, a proxy that watches it (the watcher), and one that follows it
 * through the watcher (the follower), all on one loop. The store is a table
 * that counts the calls to it; answers are lines of words.
 */

#include "support_loop.h"

#include <celeryquay/relay/feed_source.h>
#include <celeryquay/transport/kv_feed.h>

struct row {
	uint64_t revision;
	char *value; /* NULL: deleted */
};

/* What the store holds, or a copy of it. */
struct kv_rig_state {
	GHashTable *rows; /* key -> struct row */
	uint64_t revision;
};

/* How the store treats a proxy's calls. */
enum kv_rig_mode {
	KV_RIG_ANSWERS,
	KV_RIG_SILENT, /* accepts calls and never answers */
	KV_RIG_REFUSES,
	KV_RIG_LATE, /* answers after KV_RIG_LATE_MS */
	KV_RIG_EVERY_THIRD, /* answers every third call */
	KV_RIG_TRUNCATED /* truncates its answers in their first line */
};

#define KV_RIG_LATE_MS 350

/* A proxy with its follower and its feed. */
struct proxy {
	struct kv_follow *follow;
	struct kv_feed *feed;
	struct ready *port;
	char *url;
	GHashTable *values; /* key -> value */
	char *store_url;
	enum kv_rig_mode store;
	unsigned store_calls;
	unsigned key_calls; /* of store_calls: reads of one key */
	/* chooses where it reads from; NULL: source_url */
	struct feed_source *source_choice;
	const char *source_url; /* URL of the other proxy; NULL: the store */
	bool ask_store_once; /* the next call goes to the store */
	bool is_paged; /* the store's range has a second page */
	/* switches to the watcher after the first page of its range */
	bool learns_watcher;
	bool ignores_requests; /* of other proxies */
	GQueue ignored_requests; /* struct ready_request */
	unsigned n_settled, n_store_results, n_store_failed, n_feed_answered,
		n_feed_failed, n_missing;
	unsigned n_malformed;
	unsigned n_left_aside, n_forgotten, n_gone;
	uint64_t era; /* of the store, 0: unknown */
	uint64_t age_us;
	uint64_t known_at_us;
};

struct kv_rig {
	uv_loop_t loop;
	struct http *http;
	struct ready *port;
	char *url;
	struct kv_rig_state state;
	struct kv_rig_state copy; /* rows NULL: none */
	uint64_t era;
	unsigned calls;
	/* number of ranges that are still to be refused */
	unsigned fail_ranges;
	bool store_down;
	/* The store comes back from its copy after the next first page. */
	bool restore_after_page;
	/*
	 * Proxies claim to know the store's state up to a time in the far
	 * future.
	 */
	bool claims_future;
	GQueue ignored_calls; /* to the store; struct ready_request */
	struct proxy watcher, follower;
	struct kv_feed *stale_feed; /* gets no updates; NULL: none */
};

extern struct kv_rig rig;
/*
 * Answers are a line "at cursor age partial [known [more]]" and lines "key
 * revision [value]".
 */
extern const struct kv_codec kv_rig_codec;

void kv_rig_start(void);
/*
 * Starts both proxies at once, with the store in this mode for the watcher. The
 * follower learns of the watcher from the first of two pages.
 */
void kv_rig_start_together(enum kv_rig_mode mode);
/*
 * As kv_rig_start(), but the proxies choose their sources as in a fleet of
 * n_proxies.
 */
void kv_rig_start_fleet(unsigned n_proxies);
void kv_rig_end(void);
/* Writes a key of the store; value NULL: deletes it. */
void kv_rig_put(const char *key, const char *value);
/* Makes a copy of the store. */
void kv_rig_copy(void);
/* The store comes back from that copy, in its next era. */
void kv_rig_restore(void);
/*
 * Runs the loop until the follower has this value; NULL: until the key is
 * absent.
 */
void kv_rig_expect(const char *key, const char *value);
/* Sets how the store treats both proxies' calls. */
void kv_rig_store(enum kv_rig_mode mode);

#endif
