#include "server_portal.h"

#include <string.h>

#include "server.h"
#include "server_pull.h"
#include "server_record.h"
#include "server_session.h"

static const char function_start[] = "SELECT cq_";

/* Makes a parsed statement out of the text of one. */
struct parsed *parsed_create(const char *text)
{
	struct parsed *parsed = g_new0(struct parsed, 1);

	parsed->refs = 1;
	parsed->text = g_strdup(text);
	parsed->kind = split_kind(text);
	parsed->is_function = !g_ascii_strncasecmp(text, function_start,
						   strlen(function_start));
	parsed->oids = g_array_new(FALSE, FALSE, sizeof(int32_t));
	return parsed;
}

/* Adds an owner. */
struct parsed *parsed_ref(struct parsed *parsed)
{
	parsed->refs++;
	return parsed;
}

/* Drops an owner; the last one frees it. */
void parsed_unref(struct parsed *parsed)
{
	if (--parsed->refs)
		return;
	g_array_free(parsed->oids, TRUE);
	g_free(parsed->text);
	g_free(parsed);
}

/* Makes a portal without parameters; it becomes one of the owners. */
struct portal *portal_create(struct parsed *parsed)
{
	struct portal *portal = g_new0(struct portal, 1);

	portal->parsed = parsed_ref(parsed);
	portal->params = g_array_new(FALSE, FALSE, sizeof(struct sql_param));
	return portal;
}

/* Closes and frees the portal. */
void portal_destroy(struct portal *portal)
{
	if (!portal)
		return;
	portal_close(portal);
	parsed_unref(portal->parsed);
	g_array_free(portal->params, TRUE);
	g_free(portal->body);
	g_free(portal);
}

/* Gives the SQLite statement back; rows not yet read are lost. */
void portal_close(struct portal *portal)
{
	if (!portal->stmt)
		return;
	sql_finish(portal->handle, portal->stmt);
	portal->stmt = NULL;
	portal->has_row = false;
}

/* Whether a write statement changed anything; an entry is for changes only. */
static bool has_changed(struct portal *portal)
{
	sqlite3 *db = portal->handle->db;

	if (portal->has_row)
		return true;
	if (sqlite3_total_changes64(db) != portal->changes_before)
		return true;
	return portal->schema_before >= 0 &&
	       portal->schema_before != sql_schema_version(portal->handle);
}

/* Adds a statement that wrote to the record of its transaction, once. */
static void add_record(struct session *s, struct portal *portal)
{
	if (portal->parsed->kind != KIND_WRITE || portal->recorded)
		return;
	if (!has_changed(portal))
		return;
	portal->recorded = true;
	record_put(s->txn.record, portal->parsed->text,
		   (const struct sql_param *)(void *)portal->params->data,
		   (int)portal->params->len);
}

/* Takes one step. Only a finished statement closes itself. */
static enum exec_result step(struct session *s, struct portal *portal,
			     struct sql_error *err)
{
	sqlite3 *db = portal->handle->db;
	int rc;

	portal->handle->writing = !portal->stmt->read_only;
	rc = sqlite3_step(portal->stmt->st);
	portal->handle->writing = false;

	portal->has_row = rc == SQLITE_ROW;
	if (rc != SQLITE_ROW && rc != SQLITE_DONE) {
		sql_read_error(portal->handle, err);
		return EXEC_FAILED;
	}
	portal->changes = sqlite3_changes(db);
	add_record(s, portal);
	return EXEC_DONE;
}

/* Makes sure of the handle that the statement needs. */
static enum exec_result need_handle(struct session *s, struct portal *portal,
				    struct sql_error *err)
{
	enum txn_result result;

	if (portal->parsed->kind == KIND_WRITE)
		result = txn_need_write(s, err);
	else
		result = txn_need_read(s, err);
	if (result == TXN_ERROR)
		return EXEC_FAILED;
	if (result == TXN_PARK) {
		session_park(s, PARK_LOCK, 0);
		return EXEC_PARK;
	}
	portal->handle = s->txn.handle;
	return EXEC_DONE;
}

/* Counts a statement and the service time that it takes. */
static void count(struct session *s, const struct parsed *parsed)
{
	struct server_counts *counts = &s->srv->counts;

	counts->statements++;
	if (parsed->is_function)
		counts->functions++;
	else if (parsed->kind == KIND_WRITE)
		counts->writes++;
	else
		counts->reads++;
	if (!parsed->is_function)
		s->exec.debt_us += (uint64_t)s->srv->options->statement_cost_us;
}

/* Prepares the statement and binds its parameters. */
static bool prepare(struct portal *portal, struct sql_error *err)
{
	portal->stmt = sql_prepare(portal->handle, portal->parsed->text, err);
	if (!portal->stmt)
		return false;
	return sql_bind(portal->stmt,
			(const struct sql_param *)(void *)portal->params->data,
			(int)portal->params->len, err);
}

/* Whether the transaction still takes statements. */
static bool check_txn(struct session *s, struct sql_error *err)
{
	if (s->txn.state == TXN_FAILED) {
		txn_set_failed_error(err);
		return false;
	}
	if (s->txn.lost) {
		sql_set_error(err, "25006", "the server is no longer primary");
		return false;
	}
	return true;
}

/*
 * Takes the statement to its first row or its end, unless that was done. The
 * session may be parked on the way; then the same call is made again.
 */
enum exec_result portal_start(struct session *s, struct portal *portal,
			      struct sql_error *err)
{
	struct parsed *parsed = portal->parsed;
	enum exec_result result;

	if (portal->started)
		return EXEC_DONE;
	if (!check_txn(s, err))
		return EXEC_FAILED;
	if (s->txn.state == TXN_IDLE)
		txn_begin(s, true, false, false);
	result = need_handle(s, portal, err);
	if (result != EXEC_DONE)
		return result;
	if (!prepare(portal, err))
		return EXEC_FAILED;
	if (!portal->stmt->read_only && parsed->kind == KIND_READ) {
		portal_close(portal);
		parsed->kind = KIND_WRITE;
		return portal_start(s, portal, err);
	}
	if (parsed->kind == KIND_WRITE) {
		portal->changes_before =
			sqlite3_total_changes64(portal->handle->db);
		portal->schema_before =
			split_is_schema(parsed->text) ?
				sql_schema_version(portal->handle) :
				-1;
	}
	result = step(s, portal, err);
	sql_note_columns(portal->stmt);
	if (result == EXEC_DONE && s->wait.asked) {
		portal_close(portal);
		s->wait.asked = false;
		session_park(s, PARK_WAIT, s->wait.timeout_ms);
		return EXEC_PARK;
	}
	s->wait.done = false;
	portal->started = true;
	count(s, parsed);
	return result;
}

/* Appends the RowDescription of a statement. */
void portal_put_columns(GByteArray *out, struct sql_stmt *stmt, bool on_row)
{
	size_t start = wire_begin(out, 'T');
	int i;

	wire_put_i16(out, (int16_t)stmt->columns);
	for (i = 0; i < stmt->columns; i++)
		wire_put_column(out, sqlite3_column_name(stmt->st, i),
				sql_column_oid(stmt, i, on_row), 0);
	wire_end(out, start);
}

/* Describes a portal that was started. */
void portal_describe(struct session *s, struct portal *portal)
{
	if (portal->stmt && portal->stmt->columns)
		portal_put_columns(s->out, portal->stmt, portal->has_row);
	else
		wire_put_empty(s->out, 'n');
}

/* Appends the current row. */
static void put_row(GByteArray *out, struct sql_stmt *stmt)
{
	size_t start = wire_begin(out, 'D');
	int i;

	wire_put_i16(out, (int16_t)stmt->columns);
	for (i = 0; i < stmt->columns; i++)
		sql_put_value(out, stmt, i);
	wire_end(out, start);
}

/* Appends the CommandComplete of a statement. */
static void put_tag(struct session *s, struct portal *portal)
{
	const char *word = split_tag(portal->parsed->text);
	char tag[64];

	if (portal->parsed->kind != KIND_WRITE)
		g_snprintf(tag, sizeof(tag), "SELECT %" G_GUINT64_FORMAT,
			   portal->rows);
	else if (split_is_schema(portal->parsed->text))
		split_schema_tag(portal->parsed->text, tag, sizeof(tag));
	else
		g_snprintf(tag, sizeof(tag), "%s %d", word ? word : "UPDATE",
			   portal->changes);
	wire_put_tag(s->out, tag);
}

/*
 * Sends the rows of a started portal, at most max_rows unless that is 0, and
 * the end of the command when there are no more.
 */
enum exec_result portal_run(struct session *s, struct portal *portal,
			    int32_t max_rows, struct sql_error *err)
{
	uint64_t sent = 0;

	while (portal->stmt && portal->has_row) {
		if (max_rows > 0 && sent == (uint64_t)max_rows) {
			wire_put_empty(s->out, 's');
			return EXEC_DONE;
		}
		put_row(s->out, portal->stmt);
		sent++;
		portal->rows++;
		if (step(s, portal, err) != EXEC_DONE)
			return EXEC_FAILED;
	}
	portal_close(portal);
	put_tag(s, portal);
	return EXEC_DONE;
}
