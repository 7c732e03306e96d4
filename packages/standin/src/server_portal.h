#ifndef STANDIN_SERVER_PORTAL_H
#define STANDIN_SERVER_PORTAL_H

/*
 * A statement that was parsed, and a portal: a statement with its parameters
 * on its way through execution.
 */

#include "server_exec.h"

/* Owned by the connection's table and by each portal that runs it. */
struct parsed {
	int refs;
	char *text;
	enum sql_kind kind;
	bool is_function; /* one of the cq_ functions: no service time */
	GArray *oids; /* int32_t, the declared types of the parameters */
};

struct portal {
	struct parsed *parsed;
	uint8_t *body; /* what the parameters point into */
	GArray *params;
	struct sql_handle *handle;
	struct sql_stmt *stmt;
	bool started;
	bool has_row; /* the statement stands on a row not yet sent */
	bool recorded;
	uint64_t rows;
	int changes;
	int64_t schema_before;
	int64_t changes_before;
};

struct parsed *parsed_create(const char *text);
struct parsed *parsed_ref(struct parsed *parsed);
void parsed_unref(struct parsed *parsed);

struct portal *portal_create(struct parsed *parsed);
void portal_destroy(struct portal *portal);
void portal_close(struct portal *portal);

enum exec_result portal_start(struct session *s, struct portal *portal,
			      struct sql_error *err);
void portal_describe(struct session *s, struct portal *portal);
enum exec_result portal_run(struct session *s, struct portal *portal,
			    int32_t max_rows, struct sql_error *err);
void portal_put_columns(GByteArray *out, struct sql_stmt *stmt, bool on_row);

#endif
