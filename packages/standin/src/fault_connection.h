/*
 * One connection through a route: two sockets, and for each direction a
 * queue of what was read and may not be written yet.
 */
#ifndef STANDIN_FAULT_CONNECTION_H
#define STANDIN_FAULT_CONNECTION_H

#include "fault_pipe.h"

struct fault_connection {
	struct fault_route *route;
	GList link;
	uv_tcp_t client;
	uv_tcp_t target;
	uv_connect_t connect;
	unsigned handles;
	bool has_target;
	bool connected; /* or has no target to connect to */
	bool closing;
	struct fault_pipe pipes[FAULT_DIRECTIONS];
};

void fault_connection_accept(struct fault_route *route, uv_stream_t *listener);
void fault_connection_close(struct fault_connection *connection, bool reset);
void fault_connection_close_if_over(struct fault_connection *connection);
void fault_connection_pump(struct fault_connection *connection);
void fault_connection_silence(struct fault_connection *connection,
			      enum fault_direction direction);
void fault_connection_heal(struct fault_connection *connection,
			   bool reset_silent);
bool fault_connection_is_silent(const struct fault_connection *connection);

#endif
