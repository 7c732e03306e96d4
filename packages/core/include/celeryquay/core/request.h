#ifndef CELERYQUAY_CORE_REQUEST_H
#define CELERYQUAY_CORE_REQUEST_H

/*
 * A caller's request and its answer, as they pass between the HTTP front end,
 * the proxy that serves the database (its home) and the upstreams. Both are
 * reference-counted.
 */

#include <celeryquay/core/model.h>
#include <celeryquay/core/session.h>
#include <celeryquay/core/types.h>

enum value_type {
	VALUE_NULL,
	VALUE_BOOL,
	VALUE_INT,
	VALUE_FLOAT,
	VALUE_TEXT,
	VALUE_BYTES,
};

struct value {
	enum value_type type;
	union {
		bool b;
		int64_t i;
		double f;
		struct str s; /* VALUE_TEXT, VALUE_BYTES; in the arena */
	} u;
};

struct statement {
	struct str sql;
	unsigned n_params;
	struct value *params;
};

enum request_kind {
	REQUEST_RUN, /* statements as one transaction */
	REQUEST_BEGIN, /* begins a transaction of several requests */
	REQUEST_IN_TRANSACTION, /* statements within such a transaction */
	REQUEST_COMMIT,
	REQUEST_ROLLBACK,
	REQUEST_SETTLE, /* asks for a write's outcome, between proxies only */
};

struct request {
	int refs;
	enum request_kind kind;
	uint64_t id; /* unique within the entry proxy's incarnation */
	struct str service;
	struct str database;
	struct str profile; /* the profile's name */
	struct str caller; /* the client account's name, from its token */
	/* The idempotency key; the entry proxy makes one when none is given. */
	struct str key;
	bool key_given; /* the key came from the caller */
	/* The entry proxy sent it before, so its key may be stored already. */
	bool resend;
	bool read_only; /* by the profile, as the entry proxy knows it */
	struct str digest; /* hash of the body, hex */
	struct str transaction; /* its id, for the kinds within one */
	struct position seen; /* what the session has seen of the database */
	uint64_t deadline_left_us; /* time left at the hand-over */
	unsigned n_statements;
	struct statement *statements;
	GBytes *body; /* the JSON or message that the strings point into */
	GStringChunk *arena;
};

struct request *request_create(enum request_kind kind);
struct request *request_ref(struct request *r);
void request_unref(struct request *r);
/* Copies bytes to memory that the request frees. */
struct str request_copy_bytes(struct request *r, const char *data, size_t len);

enum outcome {
	OUTCOME_DONE,
	OUTCOME_NOT_RUN,
	OUTCOME_ROLLED_BACK,
	OUTCOME_UNKNOWN, /* may or may not be done */
};

struct answer {
	int refs;
	enum outcome outcome;
	/* Failure: the code, its text, and when to retry. */
	struct err err;
	uint64_t retry_after_us; /* 0: no advice */
	char sqlstate[6]; /* empty: not an error of the server */
	/* Success. */
	GBytes *results; /* JSON text of the "results" list */
	struct position seen; /* to which the session is raised */
	char server[64]; /* name of the server that ran it */
	bool by_primary;
	uint64_t age_us; /* upper bound of the data's age */
	/*
	 * The first outcome of the key, answered again. With a refusal: an
	 * earlier attempt with the key may have been committed.
	 */
	bool repeated;
	struct str transaction; /* id, in the answer to REQUEST_BEGIN */
	GStringChunk *arena;
};

struct answer *answer_create(enum outcome outcome);
struct answer *answer_error(enum err_code code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
struct answer *answer_ref(struct answer *a);
void answer_unref(struct answer *a);
const char *outcome_name(enum outcome outcome);

#endif
