#ifndef CELERYQUAY_DAEMON_ACCESS_H
#define CELERYQUAY_DAEMON_ACCESS_H

/*
 * Authorisation: maps bearer tokens to callers and operators, and checks which
 * services, databases and profiles a caller may use.
 */

#include "node.h"

/*
 * Deadline of requests that name no profile: statements within a transaction,
 * commit and roll back.
 */
#define ACCESS_DEFAULT_DEADLINE_US (10 * USEC_PER_SEC)

const struct caller_conf *access_caller(struct node *node,
					const struct request *r,
					struct str token, struct err *err);
bool access_database(struct node *node, const struct request *r,
		     const struct caller_conf *caller, struct item **out,
		     struct err *err);
bool access_profile(struct node *node, const struct request *r,
		    const struct caller_conf *caller, struct item **out,
		    struct err *err);
/*
 * Returns the name of the operator that the token belongs to; NULL with err set
 * when the token is missing, unknown or without operator rights.
 */
const char *access_operator(struct node *node, struct str token,
			    struct err *err);

#endif
