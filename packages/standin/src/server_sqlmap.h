#ifndef STANDIN_SERVER_SQLMAP_H
#define STANDIN_SERVER_SQLMAP_H

/*
 * The mapping of values, types and errors between PostgreSQL and SQLite.
 */

#include "server_sql.h"

bool sqlmap_bind(sqlite3_stmt *st, int index, const struct sql_param *param,
		 struct sql_error *err);
int32_t sqlmap_declared_oid(sqlite3_stmt *st, int column);
int32_t sqlmap_value_oid(sqlite3_stmt *st, int column);
void sqlmap_put_value(GByteArray *out, sqlite3_stmt *st, int column,
		      int32_t oid);
const char *sqlmap_state(int code, const char *message);

#endif
