#ifndef CELERYQUAY_CORE_CONFSYNC_INTERNAL_H
#define CELERYQUAY_CORE_CONFSYNC_INTERNAL_H

/*
 * Shared by the files of the configuration gossip. confsync.c holds the public
 * functions and handles input from the store; confsync_table.c holds the items
 * and their hashes; confsync_apply.c decides which items are applied;
 * confsync_news.c pushes updates to peers; confsync_repair.c runs anti-entropy
 * and the initial fetch; confsync_message.c is the codec.
 */

#include <celeryquay/core/confsync.h>

#include "member_pack.h"

#define CONFSYNC_MAX_KEY_BYTES 255
/* Hash buckets of the table, compared to find where two tables differ. */
#define CONFSYNC_BUCKETS 256
/* Size of a bit set of the buckets. */
#define CONFSYNC_MASK_BYTES (CONFSYNC_BUCKETS / 8)
/* Upper bound of the setting rounds. */
#define CONFSYNC_MAX_ROUNDS 16
/*
 * Replaced values that are remembered, so that the table's hash as of some
 * revisions ago can be computed.
 */
#define CONFSYNC_MAX_REPLACED 256

/* One key of the table. */
struct entry {
	char *key;
	uint64_t key_hash;
	struct item *item; /* current value or tombstone; NULL: none */
	/* revision of a rejected value newer than the item; 0: none */
	uint64_t bad_revision;
	uint64_t requested_revision; /* last requested from a peer */
	/* before this, the same revision is not requested again */
	uint64_t request_again_at_us;
	uint64_t last_list; /* number of the last store list with the key */
	struct entry *update_next; /* links of the update queue */
	struct entry *update_prev;
	bool update_queued;
	unsigned update_sent; /* rounds in which it was pushed */
};

/* A value that was in force from old_revision until before new_revision. */
struct replaced_value {
	uint64_t old_revision;
	uint64_t new_revision;
	uint64_t hash; /* its share of the table's hash */
};

/* The known items and tombstones, with hashes to compare tables by. */
struct confsync_table {
	GTree *entries; /* by key */
	uint64_t hash; /* XOR over live items' keys and revisions */
	uint64_t buckets[CONFSYNC_BUCKETS]; /* the same per bucket */
	uint64_t max_revision; /* highest ever set */
	unsigned n_items;
	unsigned n_tombstones;
	unsigned n_bad; /* entries with a bad_revision */
	uint64_t min_bad_revision; /* lowest bad_revision, UINT64_MAX: none */
	uint64_t changes; /* counts modifications of the table */
	/* ring buffer of the last replaced values */
	struct replaced_value replaced[CONFSYNC_MAX_REPLACED];
	unsigned n_replaced; /* ever written to the ring buffer */
	/* highest new_revision that the ring buffer has overwritten */
	uint64_t replaced_floor;
	/* The last hash that confsync_table_hash_at() computed. */
	uint64_t cached_changes;
	uint64_t cached_revision;
	uint64_t cached_hash;
};

enum conf_type {
	CONF_UPDATE = 1, /* new items, some without their value */
	CONF_REQUEST = 2, /* requests the items of these keys */
	CONF_ITEMS = 3, /* items that were requested or found missing */
	CONF_DIGEST = 4, /* the header: compare table hashes */
	CONF_REVISION = 5, /* the header: tells the sender's revision */
	CONF_BUCKETS = 6, /* table hashes differ: the bucket hashes */
	CONF_KEYS = 7, /* keys and revisions of the buckets in the mask */
	CONF_FETCH = 8, /* requests the items after the cursor */
	CONF_FETCH_PART = 9, /* answers a fetch: items, cursor, last */
	CONF_BUSY = 10, /* answers a fetch: try another member */
};

/* An item in a message; the views point into the message. */
struct conf_item {
	struct str key;
	uint64_t revision;
	bool removed; /* tombstone */
	bool has_json; /* else key and revision alone */
	struct str json;
};

/* A received message. */
struct conf_message {
	uint64_t type;
	uint64_t revision; /* the sender's confsync_revision() */
	bool has_revision_hash;
	uint64_t revision_hash; /* of the sender's table as of that revision */
	uint64_t hash; /* of the sender's current table */
	bool as_update; /* request: answer with CONF_UPDATE, not CONF_ITEMS */
	struct str cursor; /* the last key of the fetch so far */
	bool last; /* no items follow this part */
	struct str mask; /* bit set of the buckets covered, may be empty */
	bool has_buckets;
	uint32_t buckets[CONFSYNC_BUCKETS];
	GArray *items; /* struct conf_item */
};

/* A message to be sent. */
struct conf_out {
	enum conf_type type;
	bool as_update;
	const char *cursor; /* NULL: none */
	bool last;
	const uint8_t *mask; /* NULL: none */
	bool buckets; /* include the table's bucket hashes */
	GArray *items; /* struct conf_item */
	size_t size; /* upper bound of the packed size, in bytes */
};

/* Entries that are still being pushed, the newest last. */
struct conf_update_queue {
	struct entry *head;
	struct entry *tail;
	unsigned count;
	uint64_t next_at_us; /* the next round */
};

struct confsync {
	struct confsync_settings settings;
	struct members *members;
	struct model *model;
	const struct confsync_ops *ops;
	void *ctx;
	GRand *rng;
	struct confsync_table table;
	struct conf_update_queue updates;
	GHashTable *revisions; /* member name -> its last revision */
	/* all events up to here were seen, rejected values included */
	uint64_t complete_revision;
	/* highest of the watch's events, becomes complete with the next tick */
	uint64_t watch_revision;
	bool listing; /* between list_begin and list_done */
	bool listed; /* a list is done, so watch events have no gap */
	uint64_t list_seq; /* lists begun so far */
	bool ready; /* configuration is loaded, see confsync_ready() */
	bool watcher;
	/* members_change_count() when watcher was computed */
	uint64_t watcher_generation;
	char *fetch_cursor; /* last key of the initial fetch so far */
	bool fetch_pending; /* a request awaits its answer */
	uint64_t next_fetch_at_us;
	uint64_t next_digest_at_us;
	unsigned digests_sent;
	int64_t tokens; /* bytes that may be sent; negative: overdrawn */
	uint64_t refilled_at_us; /* when tokens were last added */
	uint64_t bytes_sent;
	struct confsync_stats stats;
};

/* confsync_table.c */
void confsync_table_init(struct confsync_table *t);
void confsync_table_clear(struct confsync_table *t);
struct entry *confsync_table_find(struct confsync_table *t, const char *key);
struct entry *confsync_table_get(struct confsync_table *t, const char *key);
/* Replaces the entry's item, if any; takes a reference of its own. */
void confsync_table_set(struct confsync_table *t, struct entry *entry,
			struct item *item);
void confsync_table_set_bad(struct confsync_table *t, struct entry *entry,
			    uint64_t revision);
/* Drops the oldest tombstones above max_tombstones if no longer needed. */
void confsync_table_trim(struct confsync *c);
/* Hash of the table as of a revision; false when it can't be computed. */
bool confsync_table_hash_at(struct confsync_table *t, uint64_t revision,
			    uint64_t *out);
unsigned confsync_bucket(const struct entry *entry);
uint64_t entry_revision(const struct entry *entry);
bool entry_is_live(const struct entry *entry);

/* confsync_apply.c */
enum apply_result {
	APPLY_DONE, /* now in force */
	APPLY_STALE, /* an equal or higher revision is known */
	APPLY_REJECTED, /* the value is invalid */
	APPLY_REFUSED, /* was removed before; the sender is stale */
};
enum apply_result confsync_apply(struct confsync *c, const struct conf_item *in,
				 bool from_store, struct err *err);
/*
 * Raises this node's revision to a peer's if its table as of that revision has
 * the peer's hash.
 */
void confsync_learn_revision(struct confsync *c, uint64_t revision,
			     uint64_t revision_hash);

/* confsync_news.c */
void confsync_update_add(struct confsync *c, struct entry *entry);
void confsync_update_drop(struct confsync *c, struct entry *entry);
void confsync_update_tick(struct confsync *c, uint64_t now_us);
void confsync_on_update(struct confsync *c, const struct conf_message *msg,
			const struct member_info *from, uint64_t now_us);
void confsync_on_request(struct confsync *c, const struct conf_message *msg,
			 const struct member_info *from);

/* confsync_repair.c */
void confsync_repair_tick(struct confsync *c, uint64_t now_us);
void confsync_on_digest(struct confsync *c, const struct conf_message *msg,
			const struct member_info *from);
void confsync_on_buckets(struct confsync *c, const struct conf_message *msg,
			 const struct member_info *from);
void confsync_on_keys(struct confsync *c, const struct conf_message *msg,
		      const struct member_info *from, uint64_t now_us);
void confsync_on_items(struct confsync *c, const struct conf_message *msg,
		       const struct member_info *from);
void confsync_on_fetch(struct confsync *c, const struct conf_message *msg,
		       const struct member_info *from);
void confsync_on_fetch_part(struct confsync *c, const struct conf_message *msg,
			    uint64_t now_us);
void confsync_on_busy(struct confsync *c, uint64_t now_us);

/* confsync_message.c */
bool conf_parse(struct conf_message *msg, struct unpack *u, struct err *err);
void conf_clear(struct conf_message *msg);
void conf_out_init(struct conf_out *o, enum conf_type type);
void conf_out_clear(struct conf_out *o);
/* False when it exceeds limit bytes; the first item is always added. */
bool conf_out_item(struct conf_out *o, const struct entry *entry, bool body,
		   size_t limit);
bool conf_out_key(struct conf_out *o, struct str key, uint64_t revision,
		  bool removed, size_t limit);
GBytes *conf_pack(const struct conf_out *o, struct confsync *c);

/* confsync.c */
void confsync_send(struct confsync *c, const struct member_info *to,
		   struct conf_out *o);
/* A random member with an open link; without one, any member. */
const struct member_info *confsync_neighbour(struct confsync *c);
/* A random member, preferably of another data centre. */
const struct member_info *confsync_remote_member(struct confsync *c);

#endif
