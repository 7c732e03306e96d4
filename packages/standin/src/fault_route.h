/*
 * A route of the fault proxy: a port that is listened on, a target that its
 * connections are carried to, and the faults that they meet on the way.
 */
#ifndef STANDIN_FAULT_ROUTE_H
#define STANDIN_FAULT_ROUTE_H

#include <sys/socket.h>

#include <glib.h>
#include <json-glib/json-glib.h>

#include "fault_clock.h"

/* Up is from the client to the target. */
enum fault_direction { FAULT_UP, FAULT_DOWN, FAULT_DIRECTIONS };

/* Reset the connection that carries the last of so many bytes. */
struct fault_drop {
	bool armed;
	uint64_t bytes_left;
};

struct fault_settings {
	bool cut;
	uint64_t delay_us;
	uint64_t jitter_us;
	GRand *jitter_rand;
	double loss; /* probability, 0 to 1 */
	uint64_t stall_us;
	GRand *loss_rand;
	uint64_t paused_until_us;
	bool silent_new[FAULT_DIRECTIONS];
	struct fault_drop drop[FAULT_DIRECTIONS];
};

struct fault_counters {
	uint64_t accepted;
	uint64_t connect_failures;
	uint64_t resets;
	uint64_t stalls;
	uint64_t bytes[FAULT_DIRECTIONS];
	uint64_t swallowed[FAULT_DIRECTIONS];
	uint64_t swallowed_ends;
};

struct fault_route {
	char *name;
	uv_loop_t *loop;
	struct fault_clock *clock;
	uv_tcp_t *listener;
	int reserve_fd;
	struct sockaddr_storage address;
	struct sockaddr_storage target;
	GQueue connections;
	struct fault_settings settings;
	struct fault_counters counters;
};

struct fault_route *fault_route_create(uv_loop_t *loop,
				       struct fault_clock *clock,
				       const char *name, const char *listen,
				       const char *target, GError **error);
void fault_route_destroy(struct fault_route *route);
bool fault_route_set_target(struct fault_route *route, const char *target,
			    GError **error);
uint16_t fault_route_port(const struct fault_route *route);

void fault_route_cut(struct fault_route *route);
void fault_route_delay(struct fault_route *route, uint64_t delay_us,
		       uint64_t jitter_us, uint32_t seed);
void fault_route_lose(struct fault_route *route, double loss, uint64_t stall_us,
		      uint32_t seed);
void fault_route_pause(struct fault_route *route, uint64_t until_us);
void fault_route_silence(struct fault_route *route,
			 enum fault_direction direction, bool existing,
			 bool future);
void fault_route_drop_after(struct fault_route *route,
			    enum fault_direction direction, uint64_t bytes);
bool fault_route_heal(struct fault_route *route, bool keep_delay,
		      bool reset_silent, GError **error);
JsonObject *fault_route_state(const struct fault_route *route);

#endif
