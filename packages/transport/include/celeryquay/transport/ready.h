#ifndef CELERYQUAY_TRANSPORT_READY_H
#define CELERYQUAY_TRANSPORT_READY_H

/*
 * An HTTP port for the readiness checks of a load balancer, for pages that
 * operators read, such as metrics, and for other proxies' requests, whose
 * answers may be deferred.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <glib.h>
#include <uv.h>

struct ready;

/* A request without an answer so far. */
struct ready_request;

struct ready_page {
	const char *path;
	const char *type; /* the Content-Type */
	/*
	 * One of the two: write() fills the page at once; ask() takes a request
	 * that is answered with ready_answer(), at once or later.
	 */
	void (*write)(void *ctx, GString *out);
	void (*ask)(void *ctx, struct str query, struct ready_request *wait);
};

/* Adds a header to the answer. */
void ready_add_header(struct ready_request *w, const char *name,
		      const char *value);
/* Answers the request, once; the wait is invalid afterwards. */
void ready_answer(struct ready_request *w, int status, struct str body);
/*
 * Sets the callback for a client that disconnects before its answer; NULL:
 * none.
 */
void ready_on_disconnect(struct ready_request *w,
			 void (*on_disconnect)(void *ctx), void *ctx);

struct ready_settings {
	const char *address; /* "IP:PORT" */
	const char *path; /* path of the readiness check; answers 200 or 503 */
	bool (*is_ready)(void *ctx);
	const struct ready_page *pages; /* not copied */
	unsigned n_pages;
	void *ctx;
};

struct ready *ready_create(uv_loop_t *loop,
			   const struct ready_settings *settings,
			   struct err *err);
void ready_destroy(struct ready *r);
/* The port that is bound; 0: none. */
uint16_t ready_port(const struct ready *r);

#endif
