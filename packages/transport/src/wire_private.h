#ifndef CELERYQUAY_TRANSPORT_WIRE_PRIVATE_H
#define CELERYQUAY_TRANSPORT_WIRE_PRIVATE_H

/*
 * Keys and limits shared by packing and unpacking. A key is never reused for
 * another field; a new field gets a new key.
 */

#include <celeryquay/transport/wire.h>

enum wire_request_key {
	WIRE_KIND = 1,
	WIRE_ID,
	WIRE_SERVICE,
	WIRE_DATABASE,
	WIRE_PROFILE,
	WIRE_CALLER,
	WIRE_KEY,
	WIRE_KEY_GIVEN,
	WIRE_RESEND,
	WIRE_DIGEST,
	WIRE_TRANSACTION,
	WIRE_SEEN,
	WIRE_DEADLINE_LEFT,
	WIRE_STATEMENTS,
	WIRE_READ_ONLY,
};

enum wire_statement_key {
	WIRE_SQL = 1,
	WIRE_PARAMS,
};

enum wire_answer_key {
	WIRE_OUTCOME = 1,
	WIRE_CODE,
	WIRE_MESSAGE,
	WIRE_RETRY_AFTER,
	WIRE_SQLSTATE,
	WIRE_RESULTS,
	WIRE_ANSWER_SEEN,
	WIRE_SERVER,
	WIRE_BY_PRIMARY,
	WIRE_AGE,
	WIRE_REPEATED,
	WIRE_ANSWER_TRANSACTION,
};

/* Maximum length of a text field such as a name, key or id, in bytes. */
#define WIRE_NAME_MAX 256
#define WIRE_STATEMENTS_MAX 1000 /* in one request */
#define WIRE_PARAMETERS_MAX 10000 /* in all statements of a request */
/*
 * Maximum nesting depth, counted from the message. A request needs the levels
 * message, request map, statement list, statement, parameter list and value.
 */
#define WIRE_DEPTH_MAX 8

/* wire_scan.c */
bool wire_scan(struct str data, struct err *err);

#endif
