#ifndef CELERYQUAY_RELAY_STATEMENT_H
#define CELERYQUAY_RELAY_STATEMENT_H

/*
 * What passes between a caller's session, the relay and a server: statements
 * and their answers, free of any encoding. Views are valid for the call that
 * hands them over.
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
	/* The relay's own, towards servers only. */
	RELAY_RESET,
	RELAY_STATUS,
	RELAY_PAUSE, /* a replica takes nothing from terms below `term` */
	RELAY_RESUME,
	RELAY_STEP_DOWN, /* a primary below `term` becomes a replica */
	/* Between proxies: tokens of the account `name`, as many as `text`. */
	RELAY_TAKE,
};

struct relay_statement {
	enum relay_verb verb;
	struct str id; /* the caller's; empty: the relay's own statement */
	struct str name; /* SET: the value's; PREPARE, EXECUTE, DEALLOCATE */
	struct str text; /* the rest: item, data, value or shape, unchanged */
	struct position after; /* run only on a log with it; term 0: any */
	uint64_t term; /* PAUSE, STEP_DOWN */
	/* Between proxies: it is refused unless a server is found in that. */
	uint64_t wait_us; /* 0: nothing was said */
	struct str account; /* whose it is; empty: nothing was said */
};

enum relay_code {
	RELAY_OK,
	/* Nothing of the caller's request is or will be kept. */
	RELAY_BUSY,
	RELAY_ABORTED,
	RELAY_LAGGING,
	RELAY_READ_ONLY,
	RELAY_MOVED,
	RELAY_TOO_MANY, /* connections */
	/* It ran, or nothing is known. */
	RELAY_FAILED,
	RELAY_TIMED_OUT,
	RELAY_IN_DOUBT,
	/* Refused. */
	RELAY_NO_STATEMENT,
	RELAY_NO_DATABASE,
	RELAY_MALFORMED,
	RELAY_UNAUTHORIZED, /* the key is of no account */
	RELAY_OTHER, /* a code that the relay has no rule for */
	RELAY_CODES,
};

/* What a caller may believe after a code. */
enum relay_outcome {
	RELAY_OUTCOME_DONE,
	RELAY_OUTCOME_NOT_RUN, /* nothing of it is or will be kept */
	RELAY_OUTCOME_FAILED, /* a read, or a server's own error */
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

/* What a server says of itself. */
struct relay_status {
	enum server_role role;
	uint64_t term;
	struct position received;
	uint64_t held; /* the term of the newest PAUSE, 0: none */
	uint64_t lag_us;
	unsigned busy;
	unsigned connections; /* of all proxies together */
};

struct relay_answer {
	enum relay_code code;
	struct str rows; /* encoded, passed on as they came */
	struct str text; /* OK: the server's signature; else the error's */
	char state; /* 'I' idle, 'T' in a transaction, 'E' it failed */
	struct position position; /* of the server's log; term 0: none */
	bool has_status; /* answers to STATUS, PAUSE, RESUME, STEP_DOWN */
	struct relay_status status;
};

#endif
