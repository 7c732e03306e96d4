#ifndef CELERYQUAY_TRANSPORT_KV_FOLLOW_H
#define CELERYQUAY_TRANSPORT_KV_FOLLOW_H

/*
 * Follows a key-value store over HTTP: reads everything once, page by page,
 * then receives the changes by long polling. A codec, a table of functions,
 * builds the requests and parses the answers.
 */

#include <celeryquay/transport/http.h>
#include <celeryquay/transport/kv_stamp.h>

struct kv_item {
	const char *key;
	uint64_t revision; /* a stamp, as all revisions here */
	bool deleted;
	struct str value; /* data NULL: none, or left out by the sender */
	/* compressed, written instead of value if data is not NULL */
	struct str packed;
};

struct kv_answer {
	uint64_t at; /* revision of the store */
	uint64_t cursor; /* where the next watch starts; 0: at `at` */
	/* Of another proxy: time since the store last answered it. */
	uint64_t age_us;
	/*
	 * Of another proxy: the time up to which it knows everything that the
	 * store had, relative to the arrival of the request (negative: before
	 * it); INT64_MIN: not given.
	 */
	int64_t known_us;
	uint64_t written; /* revision that a write was given */
	bool more; /* further pages follow */
	bool partial; /* of another proxy: only the changes after `since` */
};

typedef void (*kv_item_fn)(void *ctx, const struct kv_item *item);
/* Called before the items; false: they are not wanted. */
typedef bool (*kv_begin_fn)(void *ctx, const struct kv_answer *answer);

struct kv_codec {
	/* The page of the range after this key; NULL: the first page. */
	char *(*range_url)(const char *base, const char *page);
	/*
	 * A long poll, answered when there is a change after this revision of
	 * the store, which is no stamp.
	 */
	char *(*watch_url)(const char *base, uint64_t revision,
			   unsigned wait_ms);
	/* Reads one key. read() parses the answer, which has no `at`. */
	char *(*key_url)(const char *base, const char *key);
	/*
	 * Range and watch at another proxy. since: values up to this revision
	 * of the store are known and need not be sent.
	 */
	char *(*feed_range_url)(const char *base, uint64_t since);
	char *(*feed_watch_url)(const char *base, uint64_t cursor,
				unsigned wait_ms);
	/*
	 * Parses an answer and calls `take` for each item; begin and take may
	 * be NULL. era: the store's; 0: it has none, or the answer is another
	 * proxy's, which holds stamps. False: malformed.
	 */
	bool (*read)(struct str body, uint64_t era, struct kv_answer *answer,
		     kv_begin_fn begin, kv_item_fn take, void *ctx);
	/*
	 * Compresses a value. If this is NULL or returns NULL, the value is
	 * sent uncompressed.
	 */
	GBytes *(*pack)(struct str value);
	/* Writes an answer in the format that read() parses. */
	void (*write)(GString *out, const struct kv_answer *answer,
		      const struct kv_item *items, unsigned n);
	/*
	 * Response header with the store's era: a number that rises when the
	 * store comes back from an older copy. NULL: it has none.
	 */
	const char *era_header;
	long history_gone_status; /* HTTP status for an `at` whose history is
				     gone */
	long not_found; /* HTTP status for a key that doesn't exist */
	/*
	 * Keys under this prefix expire unless refreshed. If one is missing
	 * after an outage, its deletion is held back for a while.
	 */
	const char *expiring_prefix;
};

/* Where the next range or watch is sent, and its time limits. */
struct kv_source {
	/* base URL of a proxy, "http://IP:PORT"; NULL: the store */
	const char *base;
	unsigned wait_ms;
	/* A call without an answer is sent again after this time; 0: never. */
	unsigned repeat_ms;
	/*
	 * Limit until the answer begins and between two of its parts; longer
	 * than wait_ms.
	 */
	uint64_t timeout_us;
	uint64_t total_timeout_us; /* limit of the whole call */
};

struct kv_events {
	/* Each revision of a key is reported once. */
	void (*set)(void *ctx, const char *key, uint64_t revision,
		    struct str value);
	void (*gone)(void *ctx, const char *key, uint64_t revision);
	/*
	 * The changes reported so far form one consistent state; at: its
	 * revision of the store.
	 */
	void (*settled)(void *ctx, uint64_t at);
	/*
	 * The first page of the first range has been reported and others
	 * follow. source() may choose another source for these by its content.
	 */
	void (*first_page)(void *ctx);
	/*
	 * Called before each call to choose its source; base is copied.
	 * reads_all: the call reads everything if the source stays the same.
	 */
	void (*source)(void *ctx, bool reads_all, struct kv_source *out);
	/*
	 * A call to the store was answered or failed. took_us: its duration if
	 * it was no watch, otherwise 0.
	 */
	void (*store_call_ended)(void *ctx, bool answers, uint64_t took_us);
	/*
	 * The store's era is known for the first time, or the store returned:
	 * it came back from an older copy, what was written since that copy is
	 * gone, and its revisions are given out again. Everything is read
	 * again then.
	 */
	void (*era)(void *ctx, uint64_t era, bool returned);
	/*
	 * The copy lacks the key. gone() follows unless it is written again
	 * soon.
	 */
	void (*forgotten)(void *ctx, const char *key);
	/* An item of a key was ignored, because a newer one is known. */
	void (*left_aside)(void *ctx, const char *key, uint64_t revision,
			   uint64_t known);
	/* An answer of len bytes is malformed; the call will be repeated. */
	void (*refused)(void *ctx, long status, size_t len);
	/*
	 * Everything that the store had at this time of the boot clock has been
	 * reported.
	 */
	void (*known)(void *ctx, uint64_t known_at_us);
	/*
	 * A proxy named a value without sending it; source() has to choose the
	 * store once, for this value.
	 */
	void (*missing)(void *ctx);
	/*
	 * A call to another proxy was answered or failed. age_us: time since
	 * the store last answered that proxy. Returns whether that is recent
	 * enough.
	 */
	bool (*fed)(void *ctx, bool answered, uint64_t age_us);
};

struct kv_follow;

struct kv_follow *kv_follow_create(uv_loop_t *loop, struct http *http,
				   const char *base,
				   const struct kv_codec *codec,
				   const struct kv_events *events, void *ctx);
/* Call it after http_destroy(), which ends the calls in flight. */
void kv_follow_destroy(struct kv_follow *f);
/* The era of the store, as far as it is known. */
uint64_t kv_follow_era(const struct kv_follow *f);
/*
 * To be called with the era of the answer to a call made elsewhere. False: what
 * has been read so far is of another era, so the answer can't be used.
 */
bool kv_follow_check_era(struct kv_follow *f, uint64_t era);
/* Parses the answer to such a call and reports its items. */
bool kv_follow_read(struct kv_follow *f, struct str body,
		    struct kv_answer *answer);
/* The last revision taken of a key; 0: none. */
uint64_t kv_follow_revision(const struct kv_follow *f, const char *key);

#endif
