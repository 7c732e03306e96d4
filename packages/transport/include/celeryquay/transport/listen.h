#ifndef CELERYQUAY_TRANSPORT_LISTEN_H
#define CELERYQUAY_TRANSPORT_LISTEN_H

/* Parses addresses "IP:PORT" and listens on them. */

#include <celeryquay/base/err.h>
#include <uv.h>

/*
 * Returns false if malformed, otherwise an allocated host; port 0 is allowed.
 */
bool listen_split(const char *address, char **host, uint16_t *port);
/* Port 0: the kernel picks one. False and SYSTEM on failure. */
bool listen_start(uv_tcp_t *listener, const char *address, int backlog,
		  uv_connection_cb on_connection, struct err *err);

#endif
