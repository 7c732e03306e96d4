#ifndef STANDIN_SERVER_SQL_H
#define STANDIN_SERVER_SQL_H

/*
 * The SQLite database behind a server: one handle that writes, a pool of
 * handles that read, a cache of prepared statements on each, and the mapping
 * of values, types and errors between SQLite and PostgreSQL.
 */

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <sqlite3.h>

#include "server_log.h"

struct session;
struct sql;

struct sql_error {
	char state[6];
	char message[256];
};

/* A parameter as it came; data is NULL for NULL. */
struct sql_param {
	int32_t oid;
	int16_t format;
	int32_t len;
	const uint8_t *data;
};

struct sql_handle {
	sqlite3 *db;
	GHashTable *cache;
	struct session *session; /* the one that uses it, or NULL */
	bool writing; /* the running statement writes */
};

struct sql_stmt {
	sqlite3_stmt *st;
	char *text;
	bool read_only;
	int columns;
	int params;
	int *numbers; /* the $number of each SQLite parameter */
	int32_t *declared; /* the type of each column, 0 where unknown */
};

/* Registers functions on a new handle. */
typedef void (*sql_setup_fn)(struct sql_handle *handle);

struct sql *sql_create(int readers, sql_setup_fn setup, struct sql_error *err);
void sql_destroy(struct sql *sql);

struct sql_handle *sql_writer(struct sql *sql);
struct sql_handle *sql_take(struct sql *sql, struct sql_error *err);
void sql_give(struct sql *sql, struct sql_handle *handle);

struct sql_stmt *sql_prepare(struct sql_handle *handle, const char *text,
			     struct sql_error *err);
void sql_finish(struct sql_handle *handle, struct sql_stmt *stmt);
void sql_note_columns(struct sql_stmt *stmt);
bool sql_bind(struct sql_stmt *stmt, const struct sql_param *params, int count,
	      struct sql_error *err);
bool sql_run(struct sql_handle *handle, const char *text,
	     struct sql_error *err);
void sql_read_error(struct sql_handle *handle, struct sql_error *err);
void sql_set_error(struct sql_error *err, const char *state, const char *format,
		   ...) G_GNUC_PRINTF(3, 4);

int32_t sql_column_oid(struct sql_stmt *stmt, int column, bool on_row);
void sql_put_value(GByteArray *out, struct sql_stmt *stmt, int column);

bool sql_get_position(struct sql_handle *handle, struct log_position *at,
		      struct sql_error *err);
bool sql_set_position(struct sql_handle *handle, struct log_position at,
		      struct sql_error *err);
bool sql_wipe(struct sql_handle *handle, struct sql_error *err);
int64_t sql_schema_version(struct sql_handle *handle);

#endif
