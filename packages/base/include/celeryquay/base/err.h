#ifndef CELERYQUAY_BASE_ERR_H
#define CELERYQUAY_BASE_ERR_H

/*
 * Numbered error codes, and the error struct which a function that can fail
 * fills in. A test checks docs/errors.md against ERR_LIST.
 */

#include <stdbool.h>

/* What an error tells the caller about the effect of its request. */
enum err_outcome {
	ERR_OUTCOME_NOT_RUN,
	ERR_OUTCOME_ROLLED_BACK,
	ERR_OUTCOME_UNKNOWN,
};

/*
 * X(name, number, HTTP status, outcome, meaning). Number ranges: 10xx invalid
 * requests; 11xx authentication and authorization; 12xx limits and deadlines;
 * 13xx upstreams; 14xx writes and transactions; 15xx settings, configuration
 * and logs; 16xx the store; 17xx peers; 19xx internal errors.
 */
#define ERR_LIST(X)                                                             \
	X(BAD_JSON, 1001, 400, NOT_RUN, "the body is not valid JSON")           \
	X(BAD_FIELD, 1002, 400, NOT_RUN,                                        \
	  "a field is missing, unknown or of a wrong type")                     \
	X(TOO_DEEP, 1003, 400, NOT_RUN, "the JSON is nested too deeply")        \
	X(BODY_TOO_LARGE, 1004, 413, NOT_RUN,                                   \
	  "the body is larger than the limit")                                  \
	X(NO_SUCH_PATH, 1005, 404, NOT_RUN, "there is nothing at this path")    \
	X(BAD_METHOD, 1006, 405, NOT_RUN, "the path has no such method")        \
	X(NO_SUCH_DATABASE, 1007, 404, NOT_RUN,                                 \
	  "the service or database is not known")                               \
	X(NO_SUCH_PROFILE, 1008, 404, NOT_RUN, "the profile is not known")      \
	X(BAD_SESSION, 1009, 400, NOT_RUN,                                      \
	  "the session token is malformed or its signature is wrong")           \
	X(BAD_KEY, 1010, 400, NOT_RUN, "the Idempotency-Key is malformed")      \
	X(KEY_REUSED, 1011, 422, NOT_RUN,                                       \
	  "the Idempotency-Key was used before with another body")              \
	X(BAD_HEADER, 1012, 400, NOT_RUN, "a header is malformed")              \
	X(NO_TOKEN, 1101, 401, NOT_RUN, "the request carries no caller token")  \
	X(BAD_TOKEN, 1102, 401, NOT_RUN, "the caller token is not known")       \
	X(FORBIDDEN, 1103, 403, NOT_RUN,                                        \
	  "the caller has no right to this service, profile or call")           \
	X(OVERLOADED, 1201, 503, NOT_RUN,                                       \
	  "the queue can not meet the deadline")                                \
	X(DEADLINE, 1202, 504, NOT_RUN,                                         \
	  "the deadline passed before the statements ran")                      \
	X(SHARE_USED_UP, 1203, 429, NOT_RUN,                                    \
	  "the caller's or profile's share of the queue is used up")            \
	X(ANSWER_TOO_LARGE, 1204, 422, ROLLED_BACK,                             \
	  "the answer is larger than the profile's limit")                      \
	X(STOPPING, 1205, 503, NOT_RUN, "this proxy is stopping")               \
	X(TIMED_OUT, 1206, 504, ROLLED_BACK,                                    \
	  "the deadline passed while the statements ran")                       \
	X(NOT_READY, 1207, 503, NOT_RUN,                                        \
	  "this proxy does not have the whole configuration yet")               \
	X(NO_PRIMARY, 1301, 503, NOT_RUN, "the database has no primary now")    \
	X(NO_SERVER, 1302, 503, NOT_RUN,                                        \
	  "no server can answer within the profile's bounds")                   \
	X(NO_MAJORITY, 1303, 503, NOT_RUN,                                      \
	  "replicas are too far behind to confirm a write")                     \
	X(CONNECT_FAILED, 1304, 503, NOT_RUN,                                   \
	  "no connection to the server could be opened")                        \
	X(CONNECTION_LOST, 1305, 503, ROLLED_BACK,                              \
	  "the connection broke before the commit was sent")                    \
	X(STATEMENT_FAILED, 1306, 422, ROLLED_BACK,                             \
	  "the server refused a statement")                                     \
	X(READ_ONLY, 1307, 422, ROLLED_BACK,                                    \
	  "a read profile was used for a statement that writes")                \
	X(LOST_HISTORY, 1308, 409, NOT_RUN,                                     \
	  "the session has seen writes that the database no longer has")        \
	X(UNKNOWN_OUTCOME, 1401, 504, UNKNOWN,                                  \
	  "the outcome of a write or transaction could not be learned in time") \
	X(SETTLED_NOT_RUN, 1402, 503, NOT_RUN,                                  \
	  "the write did not commit and never will")                            \
	X(NO_SUCH_TRANSACTION, 1403, 404, ROLLED_BACK,                          \
	  "the transaction is not known, or has ended or been idle too long")   \
	X(NOT_YOUR_TRANSACTION, 1404, 403, NOT_RUN,                             \
	  "the transaction belongs to another caller")                          \
	X(TRANSACTION_BUSY, 1405, 409, NOT_RUN,                                 \
	  "the transaction is still running a request")                         \
	X(TRANSACTION_CONTROL, 1406, 422, NOT_RUN,                              \
	  "a statement would begin or end a transaction by itself")             \
	X(TRANSACTION_COMMITTED, 1407, 409, UNKNOWN,                            \
	  "the transaction was committed and can not be rolled back")           \
	X(BAD_SETTINGS, 1501, 400, NOT_RUN,                                     \
	  "a settings file is wrong; file and key are named")                   \
	X(BAD_ITEM, 1502, 422, NOT_RUN, "a configuration item is wrong")        \
	X(CONFLICT, 1503, 409, NOT_RUN,                                         \
	  "the item was changed by somebody else meanwhile")                    \
	X(NO_SUCH_ITEM, 1504, 404, NOT_RUN, "there is no such item")            \
	X(NOT_LOGGED, 1505, 404, NOT_RUN, "no line of the logs has this id")    \
	X(BAD_LOG, 1506, 422, NOT_RUN,                                          \
	  "a log can't be read, or has a line that is no JSON object")          \
	X(STORE_DOWN, 1601, 503, UNKNOWN, "the store does not answer")          \
	X(STORE_REFUSED, 1602, 502, NOT_RUN, "the store refused a call")        \
	X(STORE_COMPACTED, 1603, 410, NOT_RUN,                                  \
	  "the revision is older than what the store keeps")                    \
	X(PEER_LOST, 1701, 503, UNKNOWN, "the peer does not answer")            \
	X(BAD_MESSAGE, 1702, 400, NOT_RUN, "a peer's message is malformed")     \
	X(NO_HOME, 1703, 503, NOT_RUN,                                          \
	  "no proxy that serves this database can be reached")                  \
	X(SYSTEM, 1901, 500, UNKNOWN, "a system call failed")                   \
	X(INTERNAL, 1902, 500, UNKNOWN, "a defect of celeryquay")

#define ERR_ENUM(name, number, http, outcome, meaning) ERR_##name = (number),
enum err_code { ERR_NONE = 0, ERR_LIST(ERR_ENUM) };
#undef ERR_ENUM

/* With the NUL; longer messages are truncated. */
#define ERR_MESSAGE_SIZE 256

struct err {
	enum err_code code;
	char message[ERR_MESSAGE_SIZE];
};

/* One row of the table of error codes. */
struct err_info {
	enum err_code code;
	const char *name;
	int http_status;
	enum err_outcome outcome;
	const char *meaning;
};

void err_set(struct err *err, enum err_code code, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void err_prefix(struct err *err, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void err_clear(struct err *err);
const struct err_info *err_info(enum err_code code);
const struct err_info *err_table(unsigned *count);
const char *err_outcome_name(enum err_outcome outcome);

#endif
