#ifndef CELERYQUAY_TRANSPORT_PG_PARAM_H
#define CELERYQUAY_TRANSPORT_PG_PARAM_H

/*
 * Converts SQL and parameters to the form that libpq takes: NUL-terminated text
 * with type OIDs. The buffers are reused from one statement to the next.
 */

#include <celeryquay/core/upstream.h>
#include <libpq-fe.h>

enum pg_oid {
	PG_OID_ANY = 0, /* the server infers the type */
	PG_OID_BOOL = 16,
	PG_OID_BYTEA = 17,
	PG_OID_INT8 = 20,
	PG_OID_INT2 = 21,
	PG_OID_INT4 = 23,
	PG_OID_FLOAT4 = 700,
	PG_OID_FLOAT8 = 701,
};

struct pg_params {
	char *text; /* buffer that holds the SQL and the values */
	size_t text_size; /* allocated bytes of `text` */
	unsigned capacity; /* allocated elements of `types` and `values` */
	Oid *types;
	const char **values; /* point into `text`; NULL for SQL NULL */
	const char *sql; /* points into `text` */
};

bool pg_params_check(const struct upstream_step *step, struct err *err);
void pg_params_set(struct pg_params *p, const struct upstream_step *step);
void pg_params_clear(struct pg_params *p);

#endif
