#ifndef CELERYQUAY_TRANSPORT_KV_FOLLOW_H
#define CELERYQUAY_TRANSPORT_KV_FOLLOW_H

/*
 * Follows a key-value store over HTTP: reads all of it once, page by page,
 * then one waiting call after the other brings what changes. How the store is
 * asked and answers is a table of functions.
 */

#include <celeryquay/transport/http.h>

struct kv_item {
	const char *key;
	uint64_t revision;
	bool deleted;
	struct str value; /* data NULL: none, or it is known already */
	struct str packed; /* to be written in its place; data NULL: not */
};

struct kv_answer {
	uint64_t at; /* the store's revision */
	uint64_t cursor; /* the watch goes on from it; a store's is `at` */
	uint64_t age_us; /* what another proxy says is so old */
	/*
	 * Of another proxy: when all that the store had was known there, after
	 * the question came (before it, if negative); INT64_MIN: not said.
	 */
	int64_t known_us;
	uint64_t written; /* the revision that a write got */
	bool more; /* pages follow */
	bool partial; /* of a proxy: only what is newer than `since` */
};

typedef void (*kv_item_fn)(void *ctx, const struct kv_item *item);

struct kv_codec {
	/* The next page after this key (NULL: the first one). */
	char *(*range_url)(const char *base, const char *page);
	/* Answered as soon as there is something newer than `at`. */
	char *(*watch_url)(const char *base, uint64_t at, unsigned wait_ms);
	/* One key; read() takes its answer, which has no `at`. */
	char *(*key_url)(const char *base, const char *key);
	/* The same two of another proxy; since: values up to it are known. */
	char *(*feed_range_url)(const char *base, uint64_t since);
	char *(*feed_watch_url)(const char *base, uint64_t cursor,
				unsigned wait_ms);
	/* Calls `take` with each item; false: it is no answer. */
	bool (*read)(struct str body, struct kv_answer *answer, kv_item_fn take,
		     void *ctx);
	/* Compresses a value; NULL, or it gives NULL: it is sent as it is. */
	GBytes *(*pack)(struct str value);
	/* Writes what read() reads. */
	void (*write)(GString *out, const struct kv_answer *answer,
		      const struct kv_item *items, unsigned n);
	long too_old; /* the status that says that `at` is */
	long not_found; /* the status of a key that went */
	/* Keys that are missing in an outage and may only have lapsed. */
	const char *held_prefix;
};

/* Whom the next range or watch asks, and how long it waits for news. */
struct kv_source {
	const char *base; /* "http://IP:PORT"; NULL: the store */
	unsigned wait_ms;
	/* It is sent once more after so long without an answer; 0: it isn't. */
	unsigned repeat_ms;
	/* Until the answer begins, and between two parts; more than it waits.
	 */
	uint64_t timeout_us;
	uint64_t most_us; /* of the whole call, however its answer goes on */
};

struct kv_events {
	/* Each revision once. */
	void (*set)(void *ctx, const char *key, uint64_t revision,
		    struct str value);
	void (*gone)(void *ctx, const char *key, uint64_t revision);
	/* What was told so far belongs together; at: the store's revision. */
	void (*settled)(void *ctx, uint64_t at);
	/*
	 * The first page of the first range was told, and others follow; whom
	 * they are asked from may go by it.
	 */
	void (*first_page)(void *ctx);
	/*
	 * Asked before each call; base is copied. reads_all: the call is to
	 * read all where the source stays the same.
	 */
	void (*source)(void *ctx, bool reads_all, struct kv_source *out);
	/*
	 * The store answered a call, or did not. took_us: of one that doesn't
	 * wait for news, 0 otherwise.
	 */
	void (*heard)(void *ctx, bool answers, uint64_t took_us);
	/* An answer of so many bytes can't be read; it is asked for again. */
	void (*refused)(void *ctx, long status, size_t len);
	/*
	 * All that the store had at that time of the boot clock is told.
	 */
	void (*known)(void *ctx, uint64_t known_us);
	/*
	 * A proxy told of a value that it doesn't send; the store is to be
	 * asked for it once.
	 */
	void (*missing)(void *ctx);
	/*
	 * Another proxy did; age_us: since the store was heard there. Says
	 * whether that is current.
	 */
	bool (*fed)(void *ctx, bool answered, uint64_t age_us);
};

struct kv_follow;

struct kv_follow *kv_follow_create(uv_loop_t *loop, struct http *http,
				   const char *base,
				   const struct kv_codec *codec,
				   const struct kv_events *events, void *ctx);
/* After http_destroy(), which ends its calls. */
void kv_follow_destroy(struct kv_follow *f);
/* Takes the items of an answer to another call. */
bool kv_follow_read(struct kv_follow *f, struct str body,
		    struct kv_answer *answer);
/* Of a key, as it was taken last; 0: there is none. */
uint64_t kv_follow_revision(const struct kv_follow *f, const char *key);

#endif
