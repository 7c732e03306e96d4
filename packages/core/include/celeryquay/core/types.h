#ifndef CELERYQUAY_CORE_TYPES_H
#define CELERYQUAY_CORE_TYPES_H

/* Value types shared by all modules of the core. Times are in microseconds. */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <stdbool.h>
#include <stdint.h>

#define USEC_PER_MSEC UINT64_C(1000)
#define USEC_PER_SEC UINT64_C(1000000)

/* A position in a database's replication log. Term 0: no position known. */
struct position {
	uint64_t term;
	uint64_t index;
};

/* A term of a log and the index of the first entry written in it. */
struct history_entry {
	uint64_t term;
	uint64_t start;
};

/* The number of terms kept of a log's history. */
#define HISTORY_MAX 64

/*
 * The terms of a log, oldest first. Of a log with more terms than fit, the
 * newest are kept; a position before the first kept entry counts as part of
 * the history if its term is older, see history_contains().
 */
struct history {
	unsigned count;
	struct history_entry entries[HISTORY_MAX];
};

enum server_role { ROLE_UNKNOWN, ROLE_REPLICA, ROLE_PRIMARY };

/* A server's own report of its state: the answer to cq_status(). */
struct server_status {
	char name[64]; /* the server's own name, from its configuration */
	uint64_t term; /* the term that it leads or follows */
	enum server_role role;
	bool fenced; /* it granted a term above its own */
	bool leaving; /* it is marked as about to be taken out of service */
	bool granted_ok; /* the grant, promote or follow call was accepted */
	uint64_t granted; /* the highest term that it granted */
	char holder[64]; /* the proxy to which it granted that term */
	uint64_t received; /* index of the last log entry received */
	uint64_t applied; /* index of the last log entry applied */
	struct history history;
	char following[64]; /* name of the server it replicates from, or "" */
	unsigned connections; /* client connections open now */
	unsigned connection_limit; /* the most it accepts */
};

/* Whether a log with this history contains the position. */
bool history_contains(const struct history *h, struct position p);
/* The term of the entry at an index; 0 if it precedes the kept history. */
uint64_t history_term_at(const struct history *h, uint64_t index);

#endif
