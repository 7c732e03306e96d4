#ifndef STANDIN_SERVER_PULL_H
#define STANDIN_SERVER_PULL_H

/*
 * The serving end of replication: the answers to cq_pull(term, from,
 * term_at_from, name). Each row has a kind, a term, a position and data:
 *
 *   head      the primary's term and its last position
 *   mismatch  the same, with its history as JSON: it has no such entry `from`
 *   refused   this server is not the primary of that term
 *   entry     an entry of the log
 */

#include "server_exec.h"

#define PULL_HEAD "head"
#define PULL_MISMATCH "mismatch"
#define PULL_REFUSED "refused"
#define PULL_ENTRY "entry"

enum exec_result pull_run(struct session *s, const char *text,
			  struct sql_error *err);
bool pull_is_over(const struct session *s);

#endif
