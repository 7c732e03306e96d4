/*
 * One direction of a connection: what was read from one socket waits until
 * it may be written to the other.
 */
#ifndef STANDIN_FAULT_PIPE_H
#define STANDIN_FAULT_PIPE_H

#include "fault_route.h"

struct fault_connection;

struct fault_pipe {
	struct fault_alarm alarm;
	struct fault_connection *connection;
	enum fault_direction direction;
	uv_stream_t *from;
	uv_stream_t *to;
	uv_shutdown_t shutdown;
	GQueue waiting;
	size_t queued;
	unsigned writing;
	bool reading;
	bool ended; /* nothing more comes from the source */
	bool finished; /* the target was told so */
	bool broken; /* the target takes nothing more */
	bool silent; /* nothing goes through */
	bool swallowed; /* something was lost, so it stays silent */
	bool dropping; /* a reset is on its way */
};

void fault_pipe_init(struct fault_pipe *pipe,
		     struct fault_connection *connection,
		     enum fault_direction direction, uv_tcp_t *from,
		     uv_tcp_t *to);
size_t fault_pipe_clear(struct fault_pipe *pipe);
void fault_pipe_pump(struct fault_pipe *pipe);
void fault_pipe_silence(struct fault_pipe *pipe);
void fault_pipe_heal(struct fault_pipe *pipe);
bool fault_pipe_is_over(const struct fault_pipe *pipe);

#endif
