#ifndef SOAK_SERVER_H
#define SOAK_SERVER_H

/* The servers' side of the line protocol; each run is checked as it starts. */

#include "group.h"

bool server_listen(struct server *s, uv_tcp_t *listener, uint16_t *port);
/* All of its connections break. */
void server_cut(struct server *s);

#endif
