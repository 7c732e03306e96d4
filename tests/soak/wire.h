#ifndef SOAK_WIRE_H
#define SOAK_WIRE_H

/* A TCP connection of lines that end in CR LF, from either end. */

#include <celeryquay/base/str.h>
#include <glib.h>
#include <uv.h>

struct wire;

struct wire_events {
	void (*opened)(void *ctx); /* of wire_connect() alone; may be NULL */
	void (*line)(void *ctx, struct str line); /* without its CR LF */
	void (*closed)(void *ctx); /* by the other end; the wire is gone */
};

struct wire *wire_connect(uv_loop_t *loop, const char *address, uint16_t port,
			  const struct wire_events *events, void *ctx);
struct wire *wire_accept(uv_stream_t *listener,
			 const struct wire_events *events);
void wire_set_ctx(struct wire *w, void *ctx);
void wire_send(struct wire *w, const GString *text);
/* The other end is told nothing more by events. NULL is fine. */
void wire_close(struct wire *w, bool reset);

#endif
