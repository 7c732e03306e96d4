/*
 * The control port of the fault proxy: a table of routes by name, and the
 * handlers that set faults on one of them or on all ("*").
 */
#ifndef STANDIN_FAULT_CONTROL_H
#define STANDIN_FAULT_CONTROL_H

#include "control_http.h"
#include "fault_route.h"

struct fault_proxy {
	uv_loop_t *loop;
	struct fault_clock *clock;
	GHashTable *routes; /* name -> struct fault_route */
};

bool fault_proxy_add(struct fault_proxy *proxy, const char *name,
		     const char *listen, const char *target, GError **error);

extern const struct control_route fault_control_routes[];
extern const size_t fault_control_route_count;

#endif
