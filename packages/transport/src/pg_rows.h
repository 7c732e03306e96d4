#ifndef CELERYQUAY_TRANSPORT_PG_ROWS_H
#define CELERYQUAY_TRANSPORT_PG_ROWS_H

/*
 * Builds the results of a run as comma-separated JSON objects, one for each
 * step whose rows are kept, row by row as they arrive. The unfinished object of
 * a step that fails is removed.
 */

#include <celeryquay/base/str.h>
#include <libpq-fe.h>

struct pg_rows {
	GString *out; /* the JSON text */
	unsigned n_objects; /* number of finished objects in `out` */
	size_t object_start; /* offset in `out` of the unfinished object */
	bool in_object; /* `out` ends with an unfinished object */
	bool has_row; /* the unfinished object has a row */
};

void pg_rows_init(struct pg_rows *rows);
void pg_rows_clear(struct pg_rows *rows);
void pg_rows_reset(struct pg_rows *rows);
void pg_rows_add(struct pg_rows *rows, const PGresult *res, int row);
void pg_rows_end(struct pg_rows *rows, PGresult *res);
void pg_rows_undo(struct pg_rows *rows);

char **pg_row_copy(GByteArray *buffer, const PGresult *res, int row);

#endif
