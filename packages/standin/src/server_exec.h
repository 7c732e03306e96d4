#ifndef STANDIN_SERVER_EXEC_H
#define STANDIN_SERVER_EXEC_H

/*
 * What a connection runs: prepared statements, portals, and the simple and
 * the extended query messages.
 */

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "server_sql.h"
#include "server_split.h"
#include "server_wire.h"

struct parsed;
struct session;

enum exec_result {
	EXEC_DONE,
	EXEC_PARK, /* handle the same message again when woken */
	EXEC_FAILED,
};

struct exec {
	GHashTable *statements;
	GHashTable *portals;
	bool skipping; /* an error came: skip to the next Sync */
	uint64_t debt_us; /* service time of what ran since the Sync */
	bool working; /* the service time is being waited for */
	size_t query_at; /* how far a simple Query has come */
	struct portal *running; /* the simple Query's statement */
};

void exec_init(struct exec *exec);
void exec_clear(struct session *s);
void exec_close_portals(struct session *s);

struct parsed *exec_parse(const char *text);
bool exec_is_data(const struct parsed *parsed);
enum exec_result exec_control(struct session *s, const struct parsed *parsed,
			      struct sql_error *err);
enum exec_result exec_fail(struct session *s, const struct sql_error *err);
enum exec_result exec_message(struct session *s, char type, struct wire_in *in);

#endif
