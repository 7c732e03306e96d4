#ifndef CELERYQUAY_DAEMON_ADMIN_PRIVATE_H
#define CELERYQUAY_DAEMON_ADMIN_PRIVATE_H

/* Shared by the admin files: replies, and calls that are answered later. */

#include "admin.h"

/* An operator's call that is answered asynchronously. */
struct admin_call {
	struct node_waiter waiter; /* must be the first member */
	struct front_request *fr; /* NULL once the operator has disconnected */
	char *key; /* item key, path of a move, or "fleet"; logged */
	char *operator_name;
};

/* admin_call.c: replies, and calls that are answered later */
void admin_reply_error(struct front_request *fr, enum err_code code,
		       const char *message);
void admin_reply_json(struct front_request *fr, GString *out);
struct admin_call *admin_call_create(struct front_request *fr, const char *key,
				     const char *operator_name);
struct front_request *admin_call_end(struct admin_call *call);

/* admin_items.c: configuration items; key is what follows /v1/items */
void admin_items_on_request(struct node *node, struct front_request *fr,
			    struct str method, const char *key, struct str body,
			    const char *operator_name);

#endif
