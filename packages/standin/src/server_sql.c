#include "server_sql.h"

#include <errno.h>
#include <string.h>
#include <glib/gstdio.h>

#include "server_sqlmap.h"
#include "server_util.h"
#include "server_wire.h"

#define LOG_MODULE "sql"

#define CACHE_MAX 512
#define DB_NAME "data.db"

#define POSITION_TABLE "cq_log_position"

struct sql {
	char *dir;
	char *path;
	sql_setup_fn setup;
	struct sql_handle *writer;
	GQueue idle; /* read handles, the one used last at the head */
};

static const char writer_setup[] =
	"PRAGMA journal_mode=WAL;"
	"PRAGMA synchronous=OFF;"
	"PRAGMA wal_autocheckpoint=2000;"
	"PRAGMA temp_store=MEMORY;"
	"CREATE TABLE IF NOT EXISTS " POSITION_TABLE
	" (id INTEGER PRIMARY KEY, term INTEGER, position INTEGER);"
	"INSERT OR IGNORE INTO " POSITION_TABLE " VALUES (1, 0, 0);";

/* The last statement has the handle open the log of SQLite, by its name. */
static const char reader_setup[] = "PRAGMA synchronous=OFF;"
				   "PRAGMA query_only=ON;"
				   "PRAGMA temp_store=MEMORY;"
				   "SELECT count(*) FROM sqlite_schema;";

/* Frees a prepared statement. */
static void stmt_free(gpointer data)
{
	struct sql_stmt *stmt = data;

	sqlite3_finalize(stmt->st);
	g_free(stmt->text);
	g_free(stmt->numbers);
	g_free(stmt->declared);
	g_free(stmt);
}

/* Closes a handle. */
static void handle_close(struct sql_handle *handle)
{
	if (!handle)
		return;
	g_hash_table_destroy(handle->cache);
	sqlite3_close(handle->db);
	g_free(handle);
}

/* Opens one more handle on the database. */
static struct sql_handle *handle_open(struct sql *sql, const char *setup,
				      struct sql_error *err)
{
	const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE |
			  SQLITE_OPEN_NOMUTEX;
	struct sql_handle *handle = g_new0(struct sql_handle, 1);

	handle->cache =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, stmt_free);
	if (sqlite3_open_v2(sql->path, &handle->db, flags, NULL) != SQLITE_OK)
		goto err;
	sqlite3_extended_result_codes(handle->db, 1);
	if (sqlite3_exec(handle->db, setup, NULL, NULL, NULL) != SQLITE_OK)
		goto err;
	if (sql->setup)
		sql->setup(handle);
	return handle;
err:
	sql_read_error(handle, err);
	handle_close(handle);
	return NULL;
}

/* Makes a private folder for the database. */
static bool make_folder(struct sql *sql, struct sql_error *err)
{
	sql->dir = g_build_filename(g_get_tmp_dir(), "cq-server-XXXXXX", NULL);
	if (!g_mkdtemp(sql->dir)) {
		sql_set_error(err, "58030", "no folder %s: %s", sql->dir,
			      g_strerror(errno));
		return false;
	}
	sql->path = g_build_filename(sql->dir, DB_NAME, NULL);
	return true;
}

/*
 * Removes the folder from its parent. The handles keep the files open, so that
 * the space is given back with the process, also when that is killed.
 */
static void remove_folder(struct sql *sql)
{
	static const char *const suffixes[] = { "", "-wal", "-shm" };
	char *path;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(suffixes); i++) {
		path = g_strconcat(sql->path, suffixes[i], NULL);
		g_unlink(path);
		g_free(path);
	}
	g_rmdir(sql->dir);
}

/*
 * Makes an empty database with a number of handles that read. The function is
 * called for each handle.
 */
struct sql *sql_create(int readers, sql_setup_fn setup, struct sql_error *err)
{
	struct sql *sql = g_new0(struct sql, 1);
	struct sql_handle *handle;
	int i;

	sql->setup = setup;
	g_queue_init(&sql->idle);
	if (!make_folder(sql, err))
		goto err;
	sql->writer = handle_open(sql, writer_setup, err);
	for (i = 0; sql->writer && i < readers; i++) {
		handle = handle_open(sql, reader_setup, err);
		if (!handle)
			break;
		g_queue_push_tail(&sql->idle, handle);
	}
	remove_folder(sql);
	if (sql->writer && i == readers)
		return sql;
err:
	sql_destroy(sql);
	return NULL;
}

/* Closes every handle that was given back, and with them the database. */
void sql_destroy(struct sql *sql)
{
	if (!sql)
		return;
	while (!g_queue_is_empty(&sql->idle))
		handle_close(g_queue_pop_head(&sql->idle));
	handle_close(sql->writer);
	g_free(sql->path);
	g_free(sql->dir);
	g_free(sql);
}

/* The only handle that writes; who may use it is the caller's to settle. */
struct sql_handle *sql_writer(struct sql *sql)
{
	return sql->writer;
}

/* Takes a handle that reads out of the pool; NULL when none is left. */
struct sql_handle *sql_take(struct sql *sql, struct sql_error *err)
{
	struct sql_handle *handle = g_queue_pop_head(&sql->idle);

	if (!handle)
		sql_set_error(err, "53000", "too many transactions at once");
	return handle;
}

/* Gives a handle back; it must be outside any transaction. */
void sql_give(struct sql *sql, struct sql_handle *handle)
{
	handle->session = NULL;
	if (handle != sql->writer)
		g_queue_push_head(&sql->idle, handle);
}

/*
 * Notes the columns and their declared types. A change of the schema may have
 * added some since the statement was prepared; the first step shows it.
 */
void sql_note_columns(struct sql_stmt *stmt)
{
	int i, columns = sqlite3_column_count(stmt->st);

	if (stmt->declared && stmt->columns == columns)
		return;
	g_free(stmt->declared);
	stmt->columns = columns;
	stmt->declared = g_new0(int32_t, (gsize)stmt->columns + 1);
	for (i = 0; i < stmt->columns; i++)
		stmt->declared[i] = sqlmap_declared_oid(stmt->st, i);
}

/* Notes which $number each of the statement's parameters has. */
static void number_params(struct sql_stmt *stmt)
{
	const char *name;
	int i;

	stmt->params = sqlite3_bind_parameter_count(stmt->st);
	stmt->numbers = g_new0(int, (gsize)stmt->params + 1);
	for (i = 0; i < stmt->params; i++) {
		name = sqlite3_bind_parameter_name(stmt->st, i + 1);
		if (name && name[0] == '$')
			stmt->numbers[i] =
				(int)g_ascii_strtoll(name + 1, NULL, 10);
	}
}

/*
 * Takes the statement out of the handle's cache or prepares it. The text is
 * one statement. Returns NULL and the error when it can't be prepared; the
 * result goes back with sql_finish().
 */
struct sql_stmt *sql_prepare(struct sql_handle *handle, const char *text,
			     struct sql_error *err)
{
	struct sql_stmt *stmt;
	sqlite3_stmt *st = NULL;
	const char *tail = NULL;

	stmt = g_hash_table_lookup(handle->cache, text);
	if (stmt) {
		g_hash_table_steal(handle->cache, text);
		return stmt;
	}
	if (sqlite3_prepare_v3(handle->db, text, -1, SQLITE_PREPARE_PERSISTENT,
			       &st, &tail) != SQLITE_OK) {
		sql_read_error(handle, err);
		return NULL;
	}
	while (g_ascii_isspace(*tail) || *tail == ';')
		tail++;
	if (!st || *tail) {
		sql_set_error(err, "42601", "syntax error: one statement only");
		sqlite3_finalize(st);
		return NULL;
	}
	stmt = g_new0(struct sql_stmt, 1);
	stmt->st = st;
	stmt->text = g_strdup(text);
	stmt->read_only = sqlite3_stmt_readonly(st);
	sql_note_columns(stmt);
	number_params(stmt);
	return stmt;
}

/* Resets the statement and gives it back to the handle's cache. */
void sql_finish(struct sql_handle *handle, struct sql_stmt *stmt)
{
	if (!stmt)
		return;
	sqlite3_reset(stmt->st);
	if (stmt->params)
		sqlite3_clear_bindings(stmt->st);
	if (g_hash_table_contains(handle->cache, stmt->text)) {
		stmt_free(stmt);
		return;
	}
	if (g_hash_table_size(handle->cache) >= CACHE_MAX)
		g_hash_table_remove_all(handle->cache);
	g_hash_table_insert(handle->cache, stmt->text, stmt);
}

/* Binds the parameters to their $numbers. */
bool sql_bind(struct sql_stmt *stmt, const struct sql_param *params, int count,
	      struct sql_error *err)
{
	int i, number;

	for (i = 0; i < stmt->params; i++) {
		number = stmt->numbers[i];
		if (number < 1 || number > count) {
			sql_set_error(err, "08P01",
				      "parameter $%d has no value", number);
			return false;
		}
		if (!sqlmap_bind(stmt->st, i + 1, &params[number - 1], err))
			return false;
	}
	return true;
}

/* Runs a statement without parameters to its end, discarding its rows. */
bool sql_run(struct sql_handle *handle, const char *text, struct sql_error *err)
{
	struct sql_stmt *stmt = sql_prepare(handle, text, err);
	int rc;

	if (!stmt)
		return false;
	do {
		rc = sqlite3_step(stmt->st);
	} while (rc == SQLITE_ROW);
	if (rc != SQLITE_DONE)
		sql_read_error(handle, err);
	sql_finish(handle, stmt);
	return rc == SQLITE_DONE;
}

/* Reads the handle's last error, with the SQLSTATE that stands for it. */
void sql_read_error(struct sql_handle *handle, struct sql_error *err)
{
	const char *message = sqlite3_errmsg(handle->db);

	sql_set_error(err,
		      sqlmap_state(sqlite3_extended_errcode(handle->db),
				   message),
		      "%s", message);
}

/* Sets an error. */
void sql_set_error(struct sql_error *err, const char *state, const char *format,
		   ...)
{
	va_list args;

	g_strlcpy(err->state, state, sizeof(err->state));
	va_start(args, format);
	g_vsnprintf(err->message, sizeof(err->message), format, args);
	va_end(args);
}

/* The PostgreSQL type of a column; on a row, its value's where unknown. */
int32_t sql_column_oid(struct sql_stmt *stmt, int column, bool on_row)
{
	if (stmt->declared[column])
		return stmt->declared[column];
	return on_row ? sqlmap_value_oid(stmt->st, column) : WIRE_OID_TEXT;
}

/* Appends a column of the current row in text format. */
void sql_put_value(GByteArray *out, struct sql_stmt *stmt, int column)
{
	sqlmap_put_value(out, stmt->st, column, stmt->declared[column]);
}

/* Reads the log position as the handle's snapshot sees it. */
bool sql_get_position(struct sql_handle *handle, struct log_position *at,
		      struct sql_error *err)
{
	struct sql_stmt *stmt;
	bool found;

	stmt = sql_prepare(handle,
			   "SELECT term, position FROM " POSITION_TABLE
			   " WHERE id = 1",
			   err);
	if (!stmt)
		return false;
	found = sqlite3_step(stmt->st) == SQLITE_ROW;
	if (found) {
		at->term = (uint64_t)sqlite3_column_int64(stmt->st, 0);
		at->position = (uint64_t)sqlite3_column_int64(stmt->st, 1);
	} else {
		sql_read_error(handle, err);
	}
	sql_finish(handle, stmt);
	return found;
}

/* Sets the log position within the handle's transaction. */
bool sql_set_position(struct sql_handle *handle, struct log_position at,
		      struct sql_error *err)
{
	struct sql_stmt *stmt;
	bool done;

	stmt = sql_prepare(handle,
			   "UPDATE " POSITION_TABLE
			   " SET term = $1, position = $2 WHERE id = 1",
			   err);
	if (!stmt)
		return false;
	sqlite3_bind_int64(stmt->st, 1, (sqlite3_int64)at.term);
	sqlite3_bind_int64(stmt->st, 2, (sqlite3_int64)at.position);
	done = sqlite3_step(stmt->st) == SQLITE_DONE;
	if (!done)
		sql_read_error(handle, err);
	sql_finish(handle, stmt);
	return done;
}

/* The names of all tables and views but the server's own one. */
static GPtrArray *list_tables(struct sql_handle *handle, struct sql_error *err)
{
	GPtrArray *drops = g_ptr_array_new_with_free_func(g_free);
	struct sql_stmt *stmt;
	char *drop;

	stmt = sql_prepare(handle,
			   "SELECT type, name FROM sqlite_schema WHERE type IN "
			   "('view', 'table') AND name NOT LIKE 'sqlite\\_%' "
			   "ESCAPE '\\' AND name <> '" POSITION_TABLE
			   "' ORDER BY type DESC",
			   err);
	if (!stmt)
		return drops;
	while (sqlite3_step(stmt->st) == SQLITE_ROW) {
		drop = sqlite3_mprintf("DROP %s IF EXISTS \"%w\"",
				       sqlite3_column_text(stmt->st, 0),
				       sqlite3_column_text(stmt->st, 1));
		g_ptr_array_add(drops, g_strdup(drop));
		sqlite3_free(drop);
	}
	sql_finish(handle, stmt);
	return drops;
}

/* Removes all tables and views within the handle's transaction. */
bool sql_wipe(struct sql_handle *handle, struct sql_error *err)
{
	struct log_position none = { 0, 0 };
	GPtrArray *drops;
	bool done = true;
	guint i;

	g_hash_table_remove_all(handle->cache);
	drops = list_tables(handle, err);
	for (i = 0; done && i < drops->len; i++)
		done = sql_run(handle, g_ptr_array_index(drops, i), err);
	g_ptr_array_free(drops, TRUE);
	if (!done)
		LOG_ERR("can't wipe the database: %s", err->message);
	return done && sql_set_position(handle, none, err);
}

/* A number that changes with every change of the schema. */
int64_t sql_schema_version(struct sql_handle *handle)
{
	struct sql_error err;
	struct sql_stmt *stmt;
	int64_t version = -1;

	stmt = sql_prepare(handle, "PRAGMA schema_version", &err);
	if (!stmt)
		return version;
	if (sqlite3_step(stmt->st) == SQLITE_ROW)
		version = sqlite3_column_int64(stmt->st, 0);
	sql_finish(handle, stmt);
	return version;
}
