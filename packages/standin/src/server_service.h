#ifndef STANDIN_SERVER_SERVICE_H
#define STANDIN_SERVER_SERVICE_H

/*
 * The model of service time: a number of workers, each of which a statement
 * occupies for a while, so that a server has a known capacity.
 */

#include <stdint.h>

struct server;
struct service;
struct session;

struct service *service_create(struct server *srv, int workers);
void service_destroy(struct service *service);
void service_enter(struct service *service, struct session *s,
		   uint64_t cost_us);
void service_leave(struct service *service, const struct session *s);

#endif
