#ifndef CELERYQUAY_TRANSPORT_PG_JSON_H
#define CELERYQUAY_TRANSPORT_PG_JSON_H

/* Converts result rows to JSON text; the columns' type OIDs give the types. */

#include <celeryquay/base/str.h>
#include <libpq-fe.h>

void pg_json_begin(GString *out, const PGresult *res);
void pg_json_row(GString *out, const PGresult *res, int row, bool first);
void pg_json_end(GString *out, uint64_t rows_affected);
void pg_json_value(GString *out, Oid type, struct str text);

#endif
