#include "pg_rows.h"
#include "pg_json.h"

#include <string.h>

/* Initial size of the buffer; most answers fit into it. */
#define INITIAL_SIZE 1024
/* A buffer above this size is not kept for the next run. */
#define KEPT_SIZE_MAX ((size_t)64 * 1024)

/* Initializes an empty list. */
void pg_rows_init(struct pg_rows *rows)
{
	rows->out = g_string_sized_new(INITIAL_SIZE);
}

/* Frees the buffer. */
void pg_rows_clear(struct pg_rows *rows)
{
	g_string_free(rows->out, TRUE);
}

/* Empties the list for the next run; frees a large buffer. */
void pg_rows_reset(struct pg_rows *rows)
{
	if (rows->out->allocated_len > KEPT_SIZE_MAX) {
		g_string_free(rows->out, TRUE);
		rows->out = g_string_sized_new(INITIAL_SIZE);
	}
	g_string_truncate(rows->out, 0);
	rows->n_objects = 0;
	rows->in_object = false;
	rows->has_row = false;
}

static void begin_object(struct pg_rows *rows, const PGresult *res)
{
	if (rows->in_object)
		return;
	rows->in_object = true;
	rows->has_row = false;
	rows->object_start = rows->out->len;
	if (rows->n_objects)
		g_string_append_c(rows->out, ',');
	pg_json_begin(rows->out, res);
}

/* Adds a row to the step's object; the first row starts the object. */
void pg_rows_add(struct pg_rows *rows, const PGresult *res, int row)
{
	begin_object(rows, res);
	pg_json_row(rows->out, res, row, !rows->has_row);
	rows->has_row = true;
}

/*
 * Number of rows that a command changed. 0 for SELECT and FETCH, whose command
 * tags count the rows that they read.
 */
static uint64_t rows_affected(PGresult *res)
{
	struct str tag = str_from_c(PQcmdStatus(res));
	uint64_t n = 0;

	if (str_starts_with(tag, STR("SELECT")) ||
	    str_starts_with(tag, STR("FETCH")))
		return 0;
	str_to_u64(str_from_c(PQcmdTuples(res)), &n);
	return n;
}

/* Ends the step's object; starts one without rows if none was added. */
void pg_rows_end(struct pg_rows *rows, PGresult *res)
{
	begin_object(rows, res);
	pg_json_end(rows->out, rows_affected(res));
	rows->n_objects++;
	rows->in_object = false;
}

/* Removes the unfinished object of a step that failed after some rows. */
void pg_rows_undo(struct pg_rows *rows)
{
	if (rows->in_object)
		g_string_truncate(rows->out, rows->object_start);
	rows->in_object = false;
}

/*
 * Copies a row as text into the buffer and returns a NULL-terminated list of
 * strings, valid until the buffer changes. SQL NULL becomes an empty string.
 */
char **pg_row_copy(GByteArray *buffer, const PGresult *res, int row)
{
	unsigned n = (unsigned)PQnfields(res);
	guint size = (n + 1) * (guint)sizeof(char *);
	char **list;
	char *at;
	unsigned i;

	for (i = 0; i < n; i++)
		size += (guint)PQgetlength(res, row, (int)i) + 1;
	g_byte_array_set_size(buffer, size);
	list = (char **)(void *)buffer->data;
	at = (char *)(list + n + 1);
	for (i = 0; i < n; i++) {
		size_t len = (size_t)PQgetlength(res, row, (int)i) + 1;

		memcpy(at, PQgetvalue(res, row, (int)i), len);
		list[i] = at;
		at += len;
	}
	list[n] = NULL;
	return list;
}
