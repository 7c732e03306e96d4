#ifndef CELERYQUAY_RELAY_STATEMENT_H
#define CELERYQUAY_RELAY_STATEMENT_H

/*
 * Statements and answers as they pass between a caller's session, the relay and
 * a server, independent of any wire encoding. Strings are views that are valid
 * only during the call that passes them.
 */

#include <celeryquay/core/types.h>

enum relay_verb {
	RELAY_BEGIN,
	RELAY_BEGIN_READ,
	RELAY_COMMIT,
	RELAY_ROLLBACK,
	RELAY_READ,
	RELAY_WRITE,
	RELAY_SET,
	RELAY_PREPARE_READ,
	RELAY_PREPARE_WRITE,
	RELAY_EXECUTE,
	RELAY_DEALLOCATE,
	/* Sent by the relay itself, to servers. */
	RELAY_RESET,
	RELAY_STATUS,
	RELAY_PAUSE, /* a replica replicates nothing from terms below `term` */
	RELAY_RESUME,
	RELAY_STEP_DOWN, /* a primary below `term` becomes a replica */
	/* Between proxies: asks for `text` tokens of the account `name`. */
	RELAY_TAKE,
};

struct relay_statement {
	enum relay_verb verb;
	struct str id; /* from the caller; empty: the relay's own statement */
	/* Of a value (SET) or statement (PREPARE, EXECUTE, DEALLOCATE). */
	struct str name;
	struct str text; /* the rest: item, data, value or shape, unchanged */
	struct position after; /* the log must reach this; term 0: any */
	uint64_t term; /* PAUSE, STEP_DOWN */
	/* Between proxies only. */
	uint64_t wait_us; /* refused if no server is free in time; 0: unset */
	struct str account; /* it runs for this one; empty: unset */
};

enum relay_code {
	RELAY_OK,
	/* The request had no effect and will have none. */
	RELAY_BUSY,
	RELAY_ABORTED,
	RELAY_LAGGING,
	RELAY_READ_ONLY,
	RELAY_MOVED,
	RELAY_TOO_MANY, /* connections */
	/* It ran, or its outcome is unknown. */
	RELAY_FAILED,
	RELAY_TIMED_OUT,
	RELAY_IN_DOUBT,
	/* Refused. */
	RELAY_NO_STATEMENT,
	RELAY_NO_DATABASE,
	RELAY_MALFORMED,
	RELAY_UNAUTHORIZED, /* no account has the key */
	RELAY_OTHER, /* a code that the relay has no rule for */
	RELAY_CODES,
};

/* What a caller may conclude from a code. */
enum relay_outcome {
	RELAY_OUTCOME_DONE,
	RELAY_OUTCOME_NOT_RUN, /* it had no effect and will have none */
	RELAY_OUTCOME_FAILED, /* a read failed, or a server gave an error */
	RELAY_OUTCOME_IN_DOUBT,
	RELAY_OUTCOMES,
};

struct relay_code_info {
	const char *name;
	const char *meaning;
	unsigned number;
	enum relay_outcome outcome;
};

const struct relay_code_info *relay_code_info(enum relay_code code);
const struct relay_code_info *relay_code_find(const char *name);
const char *relay_outcome_name(enum relay_outcome outcome);

/* A server's report on itself. */
struct relay_status {
	enum server_role role;
	uint64_t term;
	struct position received; /* newest log position that it has */
	uint64_t held; /* the term of the newest PAUSE, 0: none */
	uint64_t lag_us; /* how far it is behind its primary */
	unsigned busy; /* statements that it is running */
	unsigned connections; /* of all proxies together */
};

struct relay_answer {
	enum relay_code code;
	struct str rows; /* encoded, passed on unchanged */
	struct str text; /* OK: the server's signature; else the error text */
	char state; /* 'I' idle, 'T' in a transaction, 'E' in a failed one */
	struct position position; /* of the server's log; term 0: none */
	bool has_status; /* answers to STATUS, PAUSE, RESUME, STEP_DOWN */
	struct relay_status status;
};

#endif
