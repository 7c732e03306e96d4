#ifndef CELERYQUAY_TRANSPORT_STORE_CALL_H
#define CELERYQUAY_TRANSPORT_STORE_CALL_H

/*
 * Calls to the store with a single answer: picks the URL, tries the next one
 * when a server could not be reached, and tells errors from results.
 */

#include "store_body.h"

#include <celeryquay/transport/http.h>

/* The store's URLs and the state that all calls share. */
struct store_link {
	struct http *http;
	char **urls;
	unsigned n_urls;
	unsigned current; /* index of the URL for the next call */
	/* Of a call with all its attempts; for a watch, of the connection. */
	uint64_t timeout_us;
	uint64_t calls; /* HTTP calls made so far, a watch as one */
	uint64_t era; /* the newest that the store has answered with */
	GQueue open; /* calls without an answer yet; struct store_call */
};

/*
 * answer is NULL when err has a code; it is valid only during the callback.
 * era: the store's, when it answered.
 */
typedef void (*store_answer_fn)(void *ctx, const struct err *err,
				JsonObject *answer, uint64_t era);

struct store_post {
	const char *path;
	GString *body; /* freed by the call */
	/*
	 * A write gets a new connection: on a kept one that the server has
	 * just closed, libcurl would send it a second time by itself.
	 */
	bool writes;
};

void store_call(struct store_link *link, const struct store_post *post,
		store_answer_fn done, void *ctx);
void store_link_clear(struct store_link *link);
void store_link_url_failed(struct store_link *link, unsigned url_index);
/*
 * Reads the era of an answer into *era and the link. False with the error if it
 * is malformed, or older than one seen before.
 */
bool store_link_read_era(struct store_link *link, const struct http_call *call,
			 uint64_t *era, struct err *err);
char *store_link_url(const struct store_link *link, const char *path);

#endif
