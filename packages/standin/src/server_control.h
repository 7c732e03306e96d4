#ifndef STANDIN_SERVER_CONTROL_H
#define STANDIN_SERVER_CONTROL_H

/*
 * The routes of the server's control port, by which a test makes it play
 * faults and reads its state. Their data is a struct server.
 */

#include "control_http.h"

extern const struct control_route server_control_routes[];
extern const size_t server_control_route_count;

#endif
