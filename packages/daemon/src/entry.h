#ifndef CELERYQUAY_DAEMON_ENTRY_H
#define CELERYQUAY_DAEMON_ENTRY_H

/*
 * Follows a caller's request from its arrival to its answer: checks rights,
 * profile and session, sends the request to a home of its database, here or on
 * another proxy, and to the next home when that one is lost.
 */

#include "node.h"

struct entry;

struct entry *entry_create(struct node *node);
void entry_destroy(struct entry *e);
void entry_on_request(struct entry *e, struct front_request *fr,
		      struct request *request, struct str token,
		      struct str session);
/* Handles an answer from a home on another proxy. */
void entry_on_answer(struct entry *e, const char *from, uint64_t correlation,
		     struct str body);
void entry_sweep(struct entry *e, uint64_t now_us);
bool entry_idle(const struct entry *e);

#endif
