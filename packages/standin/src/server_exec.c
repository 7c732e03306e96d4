#include "server_exec.h"

#include <string.h>

#include "server.h"
#include "server_extended.h"
#include "server_portal.h"
#include "server_pull.h"
#include "server_service.h"
#include "server_session.h"

/* Frees a portal of the table. */
static void free_portal(gpointer data)
{
	portal_destroy(data);
}

/* Drops a parsed statement of the table. */
static void free_parsed(gpointer data)
{
	parsed_unref(data);
}

/* Prepares for a new connection. */
void exec_init(struct exec *exec)
{
	exec->statements = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, free_parsed);
	exec->portals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      free_portal);
}

/* Frees all that the connection prepared. */
void exec_clear(struct session *s)
{
	portal_destroy(s->exec.running);
	s->exec.running = NULL;
	g_hash_table_destroy(s->exec.portals);
	g_hash_table_destroy(s->exec.statements);
}

/* Closes the SQLite statements of all portals, before their handle goes. */
void exec_close_portals(struct session *s)
{
	GHashTableIter iter;
	gpointer portal;

	if (s->exec.running)
		portal_close(s->exec.running);
	g_hash_table_iter_init(&iter, s->exec.portals);
	while (g_hash_table_iter_next(&iter, NULL, &portal))
		portal_close(portal);
}

/* Answers an error and fails the transaction. */
enum exec_result exec_fail(struct session *s, const struct sql_error *err)
{
	s->srv->counts.errors++;
	wire_put_error(s->out, "ERROR", err->state, err->message);
	txn_fail(s);
	return EXEC_FAILED;
}

/* Begins a transaction block with the modes that the text names. */
static void run_begin(struct session *s, const char *text)
{
	bool stable = split_has_word(text, "SERIALIZABLE") ||
		      split_has_word(text, "REPEATABLE");
	bool read_only = split_has_word(text, "ONLY");

	if (s->txn.state == TXN_IDLE) {
		txn_begin(s, false, read_only, stable);
	} else if (s->txn.implicit) {
		s->txn.implicit = false;
		s->txn.read_only = read_only;
		s->txn.stable = stable;
	}
}

/* Commits; a transaction that failed is rolled back and says so. */
static bool run_commit(struct session *s, const char **tag,
		       struct sql_error *err)
{
	if (s->txn.state != TXN_FAILED)
		return txn_commit(s, err);
	txn_rollback(s);
	*tag = "ROLLBACK";
	return true;
}

/* Forgets the prepared statements that the text names, or all. */
static void run_deallocate(struct session *s, const char *text)
{
	char **words = g_strsplit_set(text, " \t\n", -1);
	const char *name = "";
	size_t i;

	for (i = 1; words[i]; i++) {
		if (*words[i])
			name = words[i];
	}
	if (!g_ascii_strcasecmp(name, "ALL"))
		g_hash_table_remove_all(s->exec.statements);
	else
		g_hash_table_remove(s->exec.statements, name);
	g_strfreev(words);
}

/* Runs a statement that is about the transaction or the connection. */
enum exec_result exec_control(struct session *s, const struct parsed *parsed,
			      struct sql_error *err)
{
	const char *tag = split_tag(parsed->text);
	bool done = true;

	s->srv->counts.controls++;
	if (s->txn.state == TXN_FAILED && parsed->kind != KIND_COMMIT &&
	    parsed->kind != KIND_ROLLBACK) {
		txn_set_failed_error(err);
		return EXEC_FAILED;
	}
	switch (parsed->kind) {
	case KIND_EMPTY:
		wire_put_empty(s->out, 'I');
		return EXEC_DONE;
	case KIND_BEGIN:
		run_begin(s, parsed->text);
		break;
	case KIND_COMMIT:
		done = run_commit(s, &tag, err);
		break;
	case KIND_ROLLBACK:
		txn_rollback(s);
		break;
	case KIND_DISCARD:
		g_hash_table_remove_all(s->exec.statements);
		break;
	case KIND_DEALLOCATE:
		run_deallocate(s, parsed->text);
		break;
	case KIND_SET:
		break;
	default:
		sql_set_error(err, "0A000", "%.40s is not supported",
			      parsed->text);
		done = false;
		break;
	}
	if (done)
		wire_put_tag(s->out, tag);
	return done ? EXEC_DONE : EXEC_FAILED;
}

/* Whether SQLite runs it. */
bool exec_is_data(const struct parsed *parsed)
{
	return parsed->kind == KIND_READ || parsed->kind == KIND_WRITE;
}

/* Makes the parsed form of a statement, SHOW as a call of a function. */
struct parsed *exec_parse(const char *text)
{
	struct parsed *parsed;
	char **words;
	char *show;

	if (split_kind(text) != KIND_SHOW)
		return parsed_create(text);
	words = g_strsplit_set(text, " \t\n;'\"\\", 3);
	show = g_strdup_printf("SELECT cq_show('%s') AS \"%s\"",
			       words[1] ? words[1] : "",
			       words[1] ? words[1] : "");
	parsed = parsed_create(show);
	g_free(show);
	g_strfreev(words);
	return parsed;
}

/* Runs one statement of a simple Query with all its rows. */
static enum exec_result run_simple(struct session *s, struct portal *portal,
				   struct sql_error *err)
{
	enum exec_result result;

	if (portal->parsed->kind == KIND_PULL)
		return pull_run(s, portal->parsed->text, err);
	if (!exec_is_data(portal->parsed))
		return exec_control(s, portal->parsed, err);
	result = portal_start(s, portal, err);
	if (result != EXEC_DONE)
		return result;
	if (portal->stmt && portal->stmt->columns)
		portal_put_columns(s->out, portal->stmt, portal->has_row);
	return portal_run(s, portal, 0, err);
}

/*
 * Ends what runs up to a Sync or a simple Query's end: commits an implicit
 * transaction, waits for the service time, says that it is ready.
 */
static enum exec_result finish(struct session *s)
{
	struct sql_error err;

	if (s->txn.state == TXN_BLOCK && s->txn.implicit &&
	    !txn_commit(s, &err)) {
		s->srv->counts.errors++;
		wire_put_error(s->out, "ERROR", err.state, err.message);
	}
	if (s->exec.debt_us && !s->exec.working) {
		s->exec.working = true;
		session_park(s, PARK_WORK, 0);
		service_enter(s->srv->service, s, s->exec.debt_us);
		return EXEC_PARK;
	}
	s->exec.debt_us = 0;
	s->exec.working = false;
	wire_put_ready(s->out, (char)s->txn.state);
	return EXEC_DONE;
}

/* Takes up a simple Query's next statement; false when there is none. */
static bool next_statement(struct exec *exec, const char *text)
{
	const char *at = text + exec->query_at;
	char *statement = split_next(&at);
	struct parsed *parsed;

	if (!statement)
		return false;
	parsed = exec_parse(statement);
	exec->running = portal_create(parsed);
	exec->query_at = (size_t)(at - text);
	parsed_unref(parsed);
	g_free(statement);
	return true;
}

/* Handles a simple Query: statement by statement, up to the first error. */
static enum exec_result handle_query(struct session *s, struct wire_in *in)
{
	struct exec *exec = &s->exec;
	const char *text = wire_get_cstr(in);
	struct sql_error err;
	enum exec_result result;

	while (exec->running || next_statement(exec, text)) {
		result = run_simple(s, exec->running, &err);
		if (result == EXEC_PARK)
			return EXEC_PARK;
		portal_destroy(exec->running);
		exec->running = NULL;
		if (result == EXEC_FAILED) {
			exec_fail(s, &err);
			exec->query_at = strlen(text);
			break;
		}
	}
	if (!exec->query_at)
		wire_put_empty(s->out, 'I');
	if (finish(s) == EXEC_PARK)
		return EXEC_PARK;
	exec->query_at = 0;
	return EXEC_DONE;
}

/* Handles one message of a connection that is ready. */
enum exec_result exec_message(struct session *s, char type, struct wire_in *in)
{
	enum exec_result result;

	if (type == 'S') {
		s->exec.skipping = false;
		return finish(s);
	}
	if (s->exec.skipping)
		return EXEC_DONE;
	if (type == 'Q')
		return handle_query(s, in);
	result = extended_message(s, type, in);
	if (result == EXEC_FAILED)
		s->exec.skipping = true;
	return result;
}
