#ifndef CELERYQUAY_TRANSPORT_FRONT_H
#define CELERYQUAY_TRANSPORT_FRONT_H

/*
 * The HTTP server of the proxy, on top of h2o: the callers' port and the
 * operators' port. HTTP/1.1 and HTTP/2, with TLS if a certificate is set. The
 * owner of a front is the code that created it and receives its events.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/core/request.h>
#include <celeryquay/core/session.h>
#include <uv.h>

struct front;
/* One HTTP request and its response; valid until it is answered or gone. */
struct front_request;

struct front_listener {
	const char *host; /* IPv4 or IPv6 address */
	uint16_t port; /* 0: the kernel picks one */
	const char *tls_certificate; /* path of a PEM file; NULL: no TLS */
	const char *tls_key; /* path of a PEM file */
};

struct front_settings {
	struct front_listener callers;
	struct front_listener operators;
	size_t max_body_bytes; /* of a request */
	/* Base time for receiving a request; large ones get more. */
	uint64_t header_timeout_us;
	unsigned max_connections; /* on the callers' port */
};

struct front_events {
	/*
	 * A caller's request has been parsed. The bearer token and the
	 * session text are empty when absent, and are views that live as long
	 * as the exchange. The owner gets one reference to the request; the
	 * request's key is the Idempotency-Key, empty when absent.
	 */
	void (*request)(void *ctx, struct front_request *fr,
			struct request *request, struct str token,
			struct str session);
	/* The caller hung up before the answer; fr is invalid after this. */
	void (*gone)(void *ctx, struct front_request *fr);
	/*
	 * A request on the operators' port, to be answered with
	 * front_reply(), during this call or later.
	 */
	void (*admin)(void *ctx, struct front_request *fr, struct str method,
		      struct str path, struct str token, struct str body);
};

struct front *front_create(uv_loop_t *loop,
			   const struct front_settings *settings,
			   const struct front_events *events, void *ctx,
			   struct err *err);
void front_destroy(struct front *f);
uint16_t front_caller_port(const struct front *f);
uint16_t front_admin_port(const struct front *f);
/* Sends the answer; session_text is the new session token, empty for none. */
void front_answer(struct front_request *fr, const struct request *request,
		  const struct answer *answer, struct str session_text);
/* Sends a response on the operators' port. Copies the body. */
void front_reply(struct front_request *fr, int status, const char *type,
		 struct str body);
void *front_user(const struct front_request *fr);
void front_set_user(struct front_request *fr, void *user);
/* Stops accepting on the callers' port, closes idle connections gracefully. */
void front_stop_accepting(struct front *f);
unsigned front_connections(const struct front *f);
unsigned front_exchanges(const struct front *f);

/* Parses a request body alone, for tests and fuzzing. */
struct request *front_parse_body(struct str body, struct err *err);

#endif
