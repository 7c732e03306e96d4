#include "server_extended.h"

#include <string.h>

#include "server.h"
#include "server_portal.h"
#include "server_session.h"

/* Checks a statement with SQLite, on the handle that would run it. */
static bool check_statement(struct session *s, const struct parsed *parsed,
			    struct sql_error *err)
{
	struct sql_handle *handle = s->txn.handle;
	struct sql_stmt *stmt;

	if (!exec_is_data(parsed) || s->txn.state == TXN_FAILED)
		return true;
	if (!handle)
		handle = sql_take(s->srv->sql, err);
	if (!handle)
		return false;
	stmt = sql_prepare(handle, parsed->text, err);
	sql_finish(handle, stmt);
	if (handle != s->txn.handle)
		sql_give(s->srv->sql, handle);
	return stmt != NULL;
}

/* Handles Parse. */
static enum exec_result handle_parse(struct session *s, struct wire_in *in)
{
	const char *name = wire_get_cstr(in);
	const char *text = wire_get_cstr(in);
	int16_t i, count = wire_get_i16(in);
	struct parsed *parsed;
	struct sql_error err;
	int32_t oid;
	char *statement;

	statement = split_next(&text);
	parsed = exec_parse(statement ? statement : "");
	g_free(statement);
	for (i = 0; i < count; i++) {
		oid = wire_get_i32(in);
		g_array_append_val(parsed->oids, oid);
	}
	statement = split_next(&text);
	if (statement) {
		sql_set_error(&err, "42601",
			      "cannot insert multiple commands into a "
			      "prepared statement");
		g_free(statement);
		goto err;
	}
	if (*name && g_hash_table_contains(s->exec.statements, name)) {
		sql_set_error(&err, "42P05", "statement \"%s\" exists", name);
		goto err;
	}
	if (!check_statement(s, parsed, &err))
		goto err;
	g_hash_table_replace(s->exec.statements, g_strdup(name), parsed);
	wire_put_empty(s->out, '1');
	return EXEC_DONE;
err:
	parsed_unref(parsed);
	return exec_fail(s, &err);
}

/* Reads the parameters of a Bind into the portal, which owns the bytes. */
static void read_params(struct portal *portal, struct wire_in *in)
{
	const GArray *oids = portal->parsed->oids;
	struct wire_in formats;
	struct sql_param param;
	int16_t i, count, format_count, format = 0;

	format_count = wire_get_i16(in);
	formats = *in;
	wire_get_bytes(in, 2 * (size_t)MAX(format_count, 0));
	count = wire_get_i16(in);
	for (i = 0; i < count && !in->bad; i++) {
		if (i < format_count)
			format = wire_get_i16(&formats);
		param.format = format;
		param.oid = (guint)i < oids->len ?
				    g_array_index(oids, int32_t, i) :
				    0;
		param.len = wire_get_i32(in);
		param.data = param.len < 0 ?
				     NULL :
				     wire_get_bytes(in, (size_t)param.len);
		g_array_append_val(portal->params, param);
	}
}

/* Whether any result is asked for in binary format. */
static bool wants_binary(struct wire_in *in)
{
	int16_t i, count = wire_get_i16(in);
	bool binary = false;

	for (i = 0; i < count; i++) {
		if (wire_get_i16(in))
			binary = true;
	}
	return binary;
}

/* Handles Bind. */
static enum exec_result handle_bind(struct session *s, struct wire_in *in)
{
	size_t len = (size_t)(in->end - in->at);
	struct portal *portal = NULL;
	struct parsed *parsed;
	struct wire_in copy;
	struct sql_error err;
	const char *name;
	uint8_t *body;

	body = g_malloc(len + 1);
	memcpy(body, in->at, len);
	copy.at = body;
	copy.end = body + len;
	copy.bad = false;
	name = wire_get_cstr(&copy);
	parsed = g_hash_table_lookup(s->exec.statements, wire_get_cstr(&copy));
	if (!parsed) {
		g_free(body);
		sql_set_error(&err, "26000", "no such prepared statement");
		return exec_fail(s, &err);
	}
	portal = portal_create(parsed);
	portal->body = body;
	read_params(portal, &copy);
	if (wants_binary(&copy) || copy.bad) {
		sql_set_error(&err, copy.bad ? "08P01" : "0A000",
			      copy.bad ? "Bind message is cut off" :
					 "results come in text format only");
		portal_destroy(portal);
		return exec_fail(s, &err);
	}
	g_hash_table_replace(s->exec.portals, g_strdup(name), portal);
	wire_put_empty(s->out, '2');
	return EXEC_DONE;
}

/* Describes a prepared statement: its parameters and its columns. */
static enum exec_result describe_statement(struct session *s, const char *name)
{
	struct parsed *parsed = g_hash_table_lookup(s->exec.statements, name);
	struct sql_handle *handle = s->txn.handle;
	struct sql_stmt *stmt = NULL;
	struct sql_error err;
	size_t start;
	guint i;

	if (!parsed) {
		sql_set_error(&err, "26000", "no such prepared statement");
		return exec_fail(s, &err);
	}
	start = wire_begin(s->out, 't');
	wire_put_i16(s->out, (int16_t)parsed->oids->len);
	for (i = 0; i < parsed->oids->len; i++)
		wire_put_i32(s->out, g_array_index(parsed->oids, int32_t, i));
	wire_end(s->out, start);
	if (exec_is_data(parsed) && !handle)
		handle = sql_take(s->srv->sql, &err);
	if (exec_is_data(parsed) && handle)
		stmt = sql_prepare(handle, parsed->text, &err);
	if (stmt && stmt->columns)
		portal_put_columns(s->out, stmt, false);
	else
		wire_put_empty(s->out, 'n');
	if (handle)
		sql_finish(handle, stmt);
	if (handle && handle != s->txn.handle)
		sql_give(s->srv->sql, handle);
	return EXEC_DONE;
}

/*
 * Handles Describe. A portal is started by it, since SQLite knows the type of
 * a computed column only when there is a row.
 */
static enum exec_result handle_describe(struct session *s, struct wire_in *in)
{
	uint8_t what = wire_get_u8(in);
	const char *name = wire_get_cstr(in);
	enum exec_result result;
	struct portal *portal;
	struct sql_error err;

	if (what == 'S')
		return describe_statement(s, name);
	portal = g_hash_table_lookup(s->exec.portals, name);
	if (!portal) {
		sql_set_error(&err, "34000", "no such portal");
		return exec_fail(s, &err);
	}
	if (exec_is_data(portal->parsed)) {
		result = portal_start(s, portal, &err);
		if (result == EXEC_PARK)
			return result;
		if (result == EXEC_FAILED)
			return exec_fail(s, &err);
	}
	portal_describe(s, portal);
	return EXEC_DONE;
}

/* Handles Execute. */
static enum exec_result handle_execute(struct session *s, struct wire_in *in)
{
	const char *name = wire_get_cstr(in);
	int32_t max_rows = wire_get_i32(in);
	enum exec_result result;
	struct portal *portal;
	struct sql_error err;

	portal = g_hash_table_lookup(s->exec.portals, name);
	if (!portal) {
		sql_set_error(&err, "34000", "no such portal");
		return exec_fail(s, &err);
	}
	if (exec_is_data(portal->parsed)) {
		result = portal_start(s, portal, &err);
		if (result == EXEC_DONE)
			result = portal_run(s, portal, max_rows, &err);
	} else {
		result = exec_control(s, portal->parsed, &err);
	}
	return result == EXEC_FAILED ? exec_fail(s, &err) : result;
}

/* Handles Close. */
static enum exec_result handle_close(struct session *s, struct wire_in *in)
{
	uint8_t what = wire_get_u8(in);
	const char *name = wire_get_cstr(in);

	g_hash_table_remove(what == 'S' ? s->exec.statements : s->exec.portals,
			    name);
	wire_put_empty(s->out, '3');
	return EXEC_DONE;
}

/* Handles one message of the extended query protocol. */
enum exec_result extended_message(struct session *s, char type,
				  struct wire_in *in)
{
	struct sql_error err;

	switch (type) {
	case 'P':
		return handle_parse(s, in);
	case 'B':
		return handle_bind(s, in);
	case 'D':
		return handle_describe(s, in);
	case 'E':
		return handle_execute(s, in);
	case 'C':
		return handle_close(s, in);
	case 'H':
		return EXEC_DONE;
	default:
		sql_set_error(&err, "08P01", "unknown message type %d", type);
		return exec_fail(s, &err);
	}
}
