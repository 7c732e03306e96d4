#ifndef CELERYQUAY_DAEMON_SURVEY_H
#define CELERYQUAY_DAEMON_SURVEY_H

/*
 * Asks every live member which revision of the configuration it has in force,
 * so that an operator sees whether a change is in force everywhere.
 */

#include "node.h"

struct survey;

/*
 * Receives a JSON array of the live members and their revisions. A member that
 * did not answer has the revision null.
 */
typedef void (*survey_fn)(void *user, GString *json);

struct survey *survey_create(struct node *node);
void survey_destroy(struct survey *s);
/*
 * done() is called when all members have answered or after a timeout, possibly
 * before this function returns.
 */
void survey_start(struct survey *s, survey_fn done, void *user);
/*
 * Handles a text message from another proxy. False if it does not belong to a
 * survey.
 */
bool survey_on_message(struct survey *s, const struct member_info *from,
		       uint64_t id, const char *msg);
void survey_tick(struct survey *s, uint64_t now_us);

#endif
