#ifndef CELERYQUAY_TRANSPORT_KV_FEED_H
#define CELERYQUAY_TRANSPORT_KV_FEED_H

/*
 * Serves the keys that this proxy follows in a store to other proxies, as the
 * store would: everything once, then the changes. Each answer says how long ago
 * the store last answered. Changes are numbered by a cursor that is valid for
 * this process only.
 */

#include <celeryquay/transport/kv_follow.h>
#include <celeryquay/transport/ready.h>

struct kv_feed;

struct kv_feed *kv_feed_create(uv_loop_t *loop, const struct kv_codec *codec);
/* Call it before the HTTP port that it serves is destroyed. */
void kv_feed_destroy(struct kv_feed *f);

/* Values of up to value_max bytes are sent; larger ones are named only. */
void kv_feed_set_value_max(struct kv_feed *f, size_t value_max);

/* To be called from the follower's events of the same meaning. */
void kv_feed_set(struct kv_feed *f, const char *key, uint64_t revision,
		 struct str value);
void kv_feed_delete(struct kv_feed *f, const char *key, uint64_t revision);
/* The value of a key and its stamp; false: there is none. */
bool kv_feed_get(const struct kv_feed *f, const char *key, uint64_t *revision,
		 struct str *value);
/*
 * The changes reported so far form one consistent state; at: its revision of
 * the store.
 */
void kv_feed_commit(struct kv_feed *f, uint64_t at);
/* The store answered age_us ago. */
void kv_feed_store_answered(struct kv_feed *f, uint64_t age_us);
/*
 * Everything that the store had at known_at_us, by the boot clock, has been
 * reported.
 */
void kv_feed_known_as_of(struct kv_feed *f, uint64_t known_at_us);

/*
 * Answers a request of another proxy: "since=R" for every key, where a value
 * not newer than R is left out, or "after=C&waitMs=N" for what changed since
 * cursor C, with up to N ms of waiting.
 */
void kv_feed_handle_request(struct kv_feed *f, struct str query,
			    struct ready_request *wait);

#endif
