#ifndef CELERYQUAY_TRANSPORT_KV_FEED_H
#define CELERYQUAY_TRANSPORT_KV_FEED_H

/*
 * Serves to other proxies what this one follows in a store: all of it once,
 * then what changes, as a store would. An answer says how long ago the store
 * was heard. Changes are numbered by a cursor of this process.
 */

#include <celeryquay/transport/kv_follow.h>
#include <celeryquay/transport/ready.h>

struct kv_feed;

struct kv_feed *kv_feed_create(uv_loop_t *loop, const struct kv_codec *codec);
/* Before the port that it serves. */
void kv_feed_destroy(struct kv_feed *f);

/* Values of up to so many bytes are sent, others are only named. */
void kv_feed_limit(struct kv_feed *f, size_t value_max);

/* As the follower tells them. */
void kv_feed_set(struct kv_feed *f, const char *key, uint64_t revision,
		 struct str value);
void kv_feed_gone(struct kv_feed *f, const char *key, uint64_t revision);
/* What was told so far belongs together; `at` is the store's revision. */
void kv_feed_settled(struct kv_feed *f, uint64_t at);
/* The store was heard that long before. */
void kv_feed_heard(struct kv_feed *f, uint64_t age_us);
/* All that the store had then is known, by the boot clock. */
void kv_feed_known(struct kv_feed *f, uint64_t known_us);

/*
 * A call of another proxy: "since=R" for all, where what is not newer than R
 * comes without its value, or "after=C&waitMs=N" for what changed since C.
 */
void kv_feed_ask(struct kv_feed *f, struct str query, struct ready_wait *wait);

#endif
