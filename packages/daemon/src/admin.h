#ifndef CELERYQUAY_DAEMON_ADMIN_H
#define CELERYQUAY_DAEMON_ADMIN_H

/*
 * HTTP requests on the operators' port: health, metrics, status, configuration
 * items, fleet surveys and planned moves of a primary. Every path except
 * /health requires an operator's token.
 */

#include "node.h"

struct admin;

struct admin *admin_create(struct node *node);
void admin_destroy(struct admin *a);
void admin_on_request(struct admin *a, struct front_request *fr,
		      struct str method, struct str path, struct str token,
		      struct str body);

#endif
