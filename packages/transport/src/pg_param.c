#include "pg_param.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Buffer size for a 64-bit integer or a double as text, with its NUL. */
#define NUMBER_SIZE G_ASCII_DTOSTR_BUF_SIZE
/* Buffers above this size are not kept for the next statement. */
#define KEPT_TEXT_MAX ((size_t)64 * 1024)

/*
 * Fails with BAD_FIELD if the SQL or a text parameter contains a NUL. libpq's
 * strings are NUL-terminated: it would truncate them there, and the server
 * would run another statement than the caller's. Checked before anything is
 * sent.
 */
bool pg_params_check(const struct upstream_step *step, struct err *err)
{
	unsigned i;

	if (memchr(step->sql.data, '\0', step->sql.len)) {
		err_set(err, ERR_BAD_FIELD, "the SQL holds a NUL character");
		return false;
	}
	for (i = 0; i < step->n_params; i++) {
		const struct value *v = &step->params[i];

		if (v->type != VALUE_TEXT || !v->u.s.len)
			continue;
		if (memchr(v->u.s.data, '\0', v->u.s.len)) {
			err_set(err, ERR_BAD_FIELD,
				"parameter %u holds a NUL character", i + 1);
			return false;
		}
	}
	return true;
}

static size_t value_size(const struct value *v)
{
	switch (v->type) {
	case VALUE_NULL:
		return 0;
	case VALUE_TEXT:
		return v->u.s.len + 1;
	case VALUE_BYTES:
		return 2 * v->u.s.len + sizeof("\\x");
	default:
		return NUMBER_SIZE;
	}
}

static void reserve(struct pg_params *p, const struct upstream_step *step)
{
	size_t need = step->sql.len + 1;
	unsigned i;

	for (i = 0; i < step->n_params; i++)
		need += value_size(&step->params[i]);
	if (need > p->text_size ||
	    (p->text_size > KEPT_TEXT_MAX && need <= KEPT_TEXT_MAX)) {
		g_free(p->text);
		p->text_size = MAX(need, 1024);
		p->text = g_malloc(p->text_size);
	}
	if (step->n_params > p->capacity) {
		p->capacity = MAX(step->n_params, 16);
		p->types = g_renew(Oid, p->types, p->capacity);
		p->values = g_renew(const char *, p->values, p->capacity);
	}
}

static char *put_text(char *at, struct str s)
{
	if (s.len)
		memcpy(at, s.data, s.len);
	at[s.len] = '\0';
	return at + s.len + 1;
}

static char *put_int(char *at, int64_t value)
{
	char digits[NUMBER_SIZE];
	uint64_t rest = value < 0 ? -(uint64_t)value : (uint64_t)value;
	size_t n = sizeof(digits);

	do {
		digits[--n] = (char)('0' + rest % 10);
		rest /= 10;
	} while (rest);
	if (value < 0)
		digits[--n] = '-';
	memcpy(at, digits + n, sizeof(digits) - n);
	at += sizeof(digits) - n;
	*at = '\0';
	return at + 1;
}

static char *put_float(char *at, double value)
{
	return at + strlen(g_ascii_dtostr(at, NUMBER_SIZE, value)) + 1;
}

static char *put_hex(char *at, struct str s)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	*at++ = '\\';
	*at++ = 'x';
	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.data[i];

		*at++ = digits[c >> 4];
		*at++ = digits[c & 15];
	}
	*at = '\0';
	return at + 1;
}

/* Writes one value at `at`; returns the address after it. */
static char *put_value(char *at, const struct value *v, Oid *type)
{
	*type = PG_OID_ANY;
	switch (v->type) {
	case VALUE_NULL:
		break;
	case VALUE_BOOL:
		*type = PG_OID_BOOL;
		return put_text(at, v->u.b ? STR("t") : STR("f"));
	case VALUE_INT:
		*type = PG_OID_INT8;
		return put_int(at, v->u.i);
	case VALUE_FLOAT:
		*type = PG_OID_FLOAT8;
		return put_float(at, v->u.f);
	case VALUE_TEXT:
		/* Untyped, so that a date or numeric column accepts it too. */
		return put_text(at, v->u.s);
	case VALUE_BYTES:
		*type = PG_OID_BYTEA;
		return put_hex(at, v->u.s);
	}
	return at;
}

/*
 * Fills the buffers from a step. They are valid until the next call; libpq
 * copies their contents when the statement is sent.
 */
void pg_params_set(struct pg_params *p, const struct upstream_step *step)
{
	char *at;
	unsigned i;

	reserve(p, step);
	p->sql = p->text;
	at = put_text(p->text, step->sql);
	for (i = 0; i < step->n_params; i++) {
		const struct value *v = &step->params[i];

		p->values[i] = v->type == VALUE_NULL ? NULL : at;
		at = put_value(at, v, &p->types[i]);
	}
}

/* Frees the buffers; the struct may be used again. */
void pg_params_clear(struct pg_params *p)
{
	g_free(p->text);
	g_free(p->types);
	g_free(p->values);
	memset(p, 0, sizeof(*p));
}
