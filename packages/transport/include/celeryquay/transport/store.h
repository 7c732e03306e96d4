#ifndef CELERYQUAY_TRANSPORT_STORE_H
#define CELERYQUAY_TRANSPORT_STORE_H

/*
 * Client of the platform's key-value store (docs/design/0003). It speaks the
 * etcd v3 JSON API over HTTP, with libcurl's multi interface on a libuv loop.
 * Each call has a timeout; a call that failed after it was sent may have taken
 * effect.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <uv.h>

struct store;

struct store_kv {
	char *key;
	struct str value; /* followed by a NUL byte */
	uint64_t mod_revision; /* of the key's last change */
	bool removed; /* in a watch's event: the key was deleted */
};

typedef void (*store_range_fn)(void *user, const struct err *err,
			       uint64_t revision, const struct store_kv *kvs,
			       unsigned n);
/*
 * took_effect: the compare succeeded and the write was made. `current` is the
 * key as stored when the compare failed; NULL if there is no such key.
 */
typedef void (*store_cas_fn)(void *user, const struct err *err,
			     bool took_effect, uint64_t revision,
			     const struct store_kv *current);

struct store_watch_events {
	void (*event)(void *ctx, const struct store_kv *kv);
	/* A progress notice: all events up to this revision were delivered. */
	void (*progress)(void *ctx, uint64_t revision);
	/*
	 * The watch ended: the stream broke or was closed, no line came within
	 * the silence timeout, or from_revision is compacted (STORE_COMPACTED).
	 * The user has to read the prefix again.
	 */
	void (*ended)(void *ctx, const struct err *err);
};

struct store *store_create(uv_loop_t *loop, const char *const *urls,
			   uint64_t timeout_us);
void store_destroy(struct store *s);
void store_range(struct store *s, const char *prefix, store_range_fn done,
		 void *user);
void store_get(struct store *s, const char *key, store_range_fn done,
	       void *user);
/*
 * Writes value (NULL: removes the key) if the key's mod revision is
 * `expected` (0: if there is no such key). When the compare fails, the callback
 * gets the stored key and value in `current`.
 */
void store_cas(struct store *s, const char *key, uint64_t expected,
	       const struct str *value, store_cas_fn done, void *user);
/*
 * A client has one watch at a time. It ends when neither an event nor a
 * progress notice comes for silence_timeout_us.
 */
void store_watch(struct store *s, const char *prefix, uint64_t from_revision,
		 uint64_t silence_timeout_us,
		 const struct store_watch_events *events, void *ctx);
void store_unwatch(struct store *s);
uint64_t store_calls(const struct store *s);

#endif
