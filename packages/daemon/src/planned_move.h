#ifndef CELERYQUAY_DAEMON_PLANNED_MOVE_H
#define CELERYQUAY_DAEMON_PLANNED_MOVE_H

/*
 * A planned change of a database's primary. An operator may request it at any
 * proxy; the database's first home carries it out, and any other proxy forwards
 * the request to that home.
 */

#include "node.h"

struct planned_move;

/* err->code is ERR_NONE if the change has begun. */
typedef void (*planned_move_fn)(void *user, const struct err *err);

struct planned_move *planned_move_create(struct node *node);
void planned_move_destroy(struct planned_move *m);
/*
 * done() is called when the home has answered or after a timeout, possibly
 * before this function returns.
 */
void planned_move_start(struct planned_move *m, const char *database,
			const char *server, planned_move_fn done, void *user);
/*
 * Handles a text message from another proxy. False if it does not belong to a
 * planned move.
 */
bool planned_move_on_message(struct planned_move *m,
			     const struct member_info *from, uint64_t id,
			     const char *msg);
void planned_move_tick(struct planned_move *m, uint64_t now_us);

#endif
