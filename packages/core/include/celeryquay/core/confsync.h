#ifndef CELERYQUAY_CORE_CONFSYNC_H
#define CELERYQUAY_CORE_CONFSYNC_H

/*
 * Distributes configuration items between proxies by gossip. Updates are pushed
 * at once to a few random members, which forward them; digests compared with a
 * random member repair what was missed. The higher revision wins, and a removal
 * has a revision too, so nothing reverts. A node that starts fetches all items
 * from peers. A few members of each region, picked by rendezvous hashing, watch
 * the store.
 */

#include <celeryquay/core/member.h>
#include <celeryquay/core/model.h>

struct confsync;

struct confsync_ops {
	void (*send)(void *ctx, const struct member_info *to, GBytes *message);
	/* An item or tombstone has replaced the previous one of its key. */
	void (*in_force)(void *ctx, struct item *item);
	/* The store or a peer sent an invalid item; the last valid stays. */
	void (*rejected)(void *ctx, const char *key, uint64_t revision,
			 const struct err *err);
};

struct confsync_settings {
	unsigned fanout; /* members that each round of updates goes to */
	unsigned rounds; /* in which a node sends the same update */
	uint64_t round_interval_us; /* between rounds */
	uint64_t digest_interval_us; /* between digests */
	unsigned max_message_bytes; /* a larger item is sent alone */
	/* Send budget; only updates may overdraw it, repairs wait. */
	unsigned max_bytes_per_s;
	unsigned burst_bytes; /* that may be saved up while idle */
	unsigned watchers_per_region;
	unsigned max_tombstones; /* beyond these the oldest are dropped */
};

struct confsync_stats {
	unsigned items; /* without tombstones */
	unsigned tombstones;
	unsigned bad_keys; /* keys whose newest value was rejected */
	uint64_t conflicts; /* equal revision, different content */
	uint64_t refused; /* removed items offered by stale peers */
	uint64_t repaired; /* items that updates had missed */
};

void confsync_settings_default(struct confsync_settings *s);

struct confsync *confsync_create(const struct confsync_settings *settings,
				 struct members *members, struct model *model,
				 const struct confsync_ops *ops, void *ctx,
				 GRand *rng, uint64_t now_us);
void confsync_destroy(struct confsync *c);
/*
 * Input from the store. First a list: confsync_list_begin(), one
 * confsync_from_store() for each key, confsync_list_done() with the revision
 * of the answer. After that a watch that starts after that revision and skips
 * nothing: confsync_from_store() in the store's order, and confsync_progress()
 * for a progress notice. All events of one revision must be passed in before
 * the next tick. A value is validated before it is applied: false with the
 * error for an invalid one.
 */
void confsync_list_begin(struct confsync *c);
bool confsync_from_store(struct confsync *c, const char *key, uint64_t revision,
			 bool removed, struct str json, uint64_t now_us,
			 struct err *err);
/* All keys up to the revision were listed: missing ones were removed. */
void confsync_list_done(struct confsync *c, uint64_t revision, uint64_t now_us);
/* The watch has delivered all events up to this revision. */
void confsync_progress(struct confsync *c, uint64_t revision, uint64_t now_us);
/* False with BAD_MESSAGE for a malformed one, of which nothing is applied. */
bool confsync_on_message(struct confsync *c, const char *from,
			 struct str message, uint64_t now_us, struct err *err);
void confsync_tick(struct confsync *c, uint64_t now_us);
/* Whether this node should be watching the store. */
bool confsync_is_watcher(const struct confsync *c);
/*
 * The highest revision R such that this node has each item as the store held it
 * at R, or a newer one. It stays below the revision of a rejected value.
 */
uint64_t confsync_revision(const struct confsync *c);
/* The member's last known revision; 0 when unknown. */
uint64_t confsync_member_revision(const struct confsync *c, const char *name);
/* Whether the configuration has been loaded from the store or from peers. */
bool confsync_ready(const struct confsync *c);
void confsync_stats(const struct confsync *c, struct confsync_stats *out);
uint64_t confsync_bytes_sent(const struct confsync *c);

#endif
