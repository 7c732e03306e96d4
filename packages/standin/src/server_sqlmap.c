#include "server_sqlmap.h"

#include <errno.h>
#include <string.h>

#include "server_wire.h"

#define NUMBER_MAX 64

struct state_by_code {
	int code;
	const char *state;
};

struct state_by_text {
	const char *part;
	const char *state;
};

struct oid_by_type {
	const char *part;
	int32_t oid;
};

static const struct state_by_code states[] = {
	{ SQLITE_CONSTRAINT_UNIQUE, "23505" },
	{ SQLITE_CONSTRAINT_PRIMARYKEY, "23505" },
	{ SQLITE_CONSTRAINT_ROWID, "23505" },
	{ SQLITE_CONSTRAINT_NOTNULL, "23502" },
	{ SQLITE_CONSTRAINT_FOREIGNKEY, "23503" },
	{ SQLITE_CONSTRAINT_CHECK, "23514" },
	{ SQLITE_MISMATCH, "22P02" },
	{ SQLITE_READONLY, "25006" },
	{ SQLITE_BUSY, "55P03" },
	{ SQLITE_LOCKED, "55P03" },
	{ SQLITE_INTERRUPT, "57014" },
	{ SQLITE_TOOBIG, "54000" },
	{ SQLITE_FULL, "53100" },
	{ SQLITE_NOMEM, "53200" },
};

static const struct state_by_text texts[] = {
	{ "no such table", "42P01" },
	{ "no such column", "42703" },
	{ "has no column named", "42703" },
	{ "no such function", "42883" },
	{ "wrong number of arguments to function", "42883" },
	{ "already exists", "42P07" },
	{ "syntax error", "42601" },
	{ "incomplete input", "42601" },
	{ "unrecognized token", "42601" },
	{ "ambiguous column name", "42702" },
	{ "integer overflow", "22003" },
	{ "values for", "42601" },
};

/* Parts of a declared type, in the order of SQLite's rules of affinity. */
static const struct oid_by_type types[] = {
	{ "BOOL", WIRE_OID_BOOL },   { "INT", WIRE_OID_INT8 },
	{ "SERIAL", WIRE_OID_INT8 }, { "CHAR", WIRE_OID_TEXT },
	{ "CLOB", WIRE_OID_TEXT },   { "TEXT", WIRE_OID_TEXT },
	{ "BLOB", WIRE_OID_BYTEA },  { "BYTEA", WIRE_OID_BYTEA },
	{ "REAL", WIRE_OID_FLOAT8 }, { "FLOA", WIRE_OID_FLOAT8 },
	{ "DOUB", WIRE_OID_FLOAT8 }, { "NUMERIC", WIRE_OID_FLOAT8 },
};

/* The SQLSTATE for an error of SQLite. */
const char *sqlmap_state(int code, const char *message)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		if (states[i].code == code || states[i].code == (code & 0xff))
			return states[i].state;
	}
	if ((code & 0xff) == SQLITE_CONSTRAINT)
		return "23000";
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		if (strstr(message, texts[i].part))
			return texts[i].state;
	}
	return (code & 0xff) == SQLITE_ERROR ? "42000" : "XX000";
}

/* Binds a number that came as text. */
static bool bind_number(sqlite3_stmt *st, int index, const char *text,
			bool whole, struct sql_error *err)
{
	gint64 integer;
	double real;
	char *end;

	errno = 0;
	if (whole) {
		integer = g_ascii_strtoll(text, &end, 10);
		if (*text && !*end && !errno) {
			sqlite3_bind_int64(st, index, integer);
			return true;
		}
	} else {
		real = g_ascii_strtod(text, &end);
		if (*text && !*end) {
			sqlite3_bind_double(st, index, real);
			return true;
		}
	}
	sql_set_error(err, errno == ERANGE ? "22003" : "22P02",
		      "invalid input for a number: \"%s\"", text);
	return false;
}

/* Binds a bool that came as text. */
static bool bind_bool(sqlite3_stmt *st, int index, const char *text,
		      struct sql_error *err)
{
	static const char *const yes[] = { "t", "true", "1", "on", "yes", "y" };
	static const char *const no[] = { "f", "false", "0", "off", "no", "n" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(yes); i++) {
		if (!g_ascii_strcasecmp(text, yes[i])) {
			sqlite3_bind_int(st, index, 1);
			return true;
		}
		if (!g_ascii_strcasecmp(text, no[i])) {
			sqlite3_bind_int(st, index, 0);
			return true;
		}
	}
	sql_set_error(err, "22P02", "invalid input for a bool: \"%s\"", text);
	return false;
}

/* Binds bytes that came as \x and hexadecimal digits, else as they are. */
static bool bind_hex(sqlite3_stmt *st, int index, const struct sql_param *param,
		     struct sql_error *err)
{
	int32_t i, len = (param->len - 2) / 2;
	uint8_t *bytes;
	int high, low;

	if (param->len < 2 || param->data[0] != '\\' || param->data[1] != 'x') {
		sqlite3_bind_blob(st, index, param->data, param->len,
				  SQLITE_TRANSIENT);
		return true;
	}
	bytes = g_malloc((gsize)len + 1);
	for (i = 0; i < len; i++) {
		high = g_ascii_xdigit_value((char)param->data[2 + 2 * i]);
		low = g_ascii_xdigit_value((char)param->data[3 + 2 * i]);
		if (high < 0 || low < 0 || param->len % 2) {
			sql_set_error(err, "22P02", "invalid hex digit");
			g_free(bytes);
			return false;
		}
		bytes[i] = (uint8_t)(high << 4 | low);
	}
	sqlite3_bind_blob(st, index, bytes, len, g_free);
	return true;
}

/* Binds a parameter in text format. */
static bool bind_text(sqlite3_stmt *st, int index,
		      const struct sql_param *param, struct sql_error *err)
{
	char text[NUMBER_MAX];
	int32_t oid = param->oid;

	if (oid == WIRE_OID_BYTEA)
		return bind_hex(st, index, param, err);
	if (oid == 0 || oid == WIRE_OID_TEXT || param->len >= NUMBER_MAX) {
		sqlite3_bind_text(st, index, (const char *)param->data,
				  param->len, SQLITE_TRANSIENT);
		return true;
	}
	memcpy(text, param->data, (size_t)param->len);
	text[param->len] = '\0';
	switch (oid) {
	case WIRE_OID_BOOL:
		return bind_bool(st, index, text, err);
	case WIRE_OID_INT2:
	case WIRE_OID_INT4:
	case WIRE_OID_INT8:
		return bind_number(st, index, text, true, err);
	case WIRE_OID_FLOAT4:
	case WIRE_OID_FLOAT8:
	case WIRE_OID_NUMERIC:
		return bind_number(st, index, text, false, err);
	default:
		sqlite3_bind_text(st, index, text, -1, SQLITE_TRANSIENT);
		return true;
	}
}

/* Binds a parameter in binary format. */
static bool bind_binary(sqlite3_stmt *st, int index,
			const struct sql_param *param, struct sql_error *err)
{
	struct wire_in in = { param->data, param->data + param->len, false };

	switch (param->oid) {
	case 0:
	case WIRE_OID_BYTEA:
		sqlite3_bind_blob(st, index, param->data, param->len,
				  SQLITE_TRANSIENT);
		break;
	case WIRE_OID_TEXT:
		sqlite3_bind_text(st, index, (const char *)param->data,
				  param->len, SQLITE_TRANSIENT);
		break;
	case WIRE_OID_BOOL:
		sqlite3_bind_int(st, index, wire_get_u8(&in));
		break;
	case WIRE_OID_INT4:
		sqlite3_bind_int64(st, index, wire_get_i32(&in));
		break;
	case WIRE_OID_INT8:
		sqlite3_bind_int64(st, index, (sqlite3_int64)wire_get_u64(&in));
		break;
	default:
		in.bad = true;
		break;
	}
	if (in.bad)
		sql_set_error(err, "22P03", "binary type %d is not known",
			      param->oid);
	return !in.bad;
}

/* Binds one parameter by its declared type; without one it is text. */
bool sqlmap_bind(sqlite3_stmt *st, int index, const struct sql_param *param,
		 struct sql_error *err)
{
	if (!param->data) {
		sqlite3_bind_null(st, index);
		return true;
	}
	if (param->format)
		return bind_binary(st, index, param, err);
	return bind_text(st, index, param, err);
}

/* The type by the column's declaration, 0 when it has none that is known. */
int32_t sqlmap_declared_oid(sqlite3_stmt *st, int column)
{
	const char *declared = sqlite3_column_decltype(st, column);
	int32_t oid = 0;
	char *upper;
	size_t i;

	if (!declared)
		return 0;
	upper = g_ascii_strup(declared, -1);
	for (i = 0; i < G_N_ELEMENTS(types) && !oid; i++) {
		if (strstr(upper, types[i].part))
			oid = types[i].oid;
	}
	g_free(upper);
	return oid;
}

/* The type of the column's value on the current row. */
int32_t sqlmap_value_oid(sqlite3_stmt *st, int column)
{
	switch (sqlite3_column_type(st, column)) {
	case SQLITE_INTEGER:
		return WIRE_OID_INT8;
	case SQLITE_FLOAT:
		return WIRE_OID_FLOAT8;
	case SQLITE_BLOB:
		return WIRE_OID_BYTEA;
	default:
		return WIRE_OID_TEXT;
	}
}

/* Appends a bool as 't' or 'f'. */
static void put_bool(GByteArray *out, sqlite3_stmt *st, int column)
{
	const unsigned char *text;
	bool yes;

	if (sqlite3_column_type(st, column) == SQLITE_TEXT) {
		text = sqlite3_column_text(st, column);
		yes = text[0] == 't' || text[0] == 'T';
	} else {
		yes = sqlite3_column_int64(st, column) != 0;
	}
	wire_put_value(out, yes ? "t" : "f", 1);
}

/* Appends a float8 with as many digits as it takes to read it back. */
static void put_real(GByteArray *out, double value)
{
	char text[NUMBER_MAX];

	g_ascii_formatd(text, sizeof(text), "%.15g", value);
	if (g_ascii_strtod(text, NULL) != value)
		g_ascii_formatd(text, sizeof(text), "%.17g", value);
	wire_put_value(out, text, strlen(text));
}

/* Appends bytes as \x and hexadecimal digits. */
static void put_hex(GByteArray *out, const uint8_t *bytes, size_t len)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	wire_put_i32(out, (int32_t)(2 + 2 * len));
	wire_put_bytes(out, "\\x", 2);
	for (i = 0; i < len; i++) {
		wire_put_u8(out, (uint8_t)digits[bytes[i] >> 4]);
		wire_put_u8(out, (uint8_t)digits[bytes[i] & 15]);
	}
}

/* Appends a value of the current row in the text format of the column. */
void sqlmap_put_value(GByteArray *out, sqlite3_stmt *st, int column,
		      int32_t oid)
{
	int type = sqlite3_column_type(st, column);
	const void *data;

	if (type == SQLITE_NULL) {
		wire_put_i32(out, -1);
		return;
	}
	if (type != SQLITE_BLOB && oid == WIRE_OID_BOOL) {
		put_bool(out, st, column);
		return;
	}
	switch (type) {
	case SQLITE_FLOAT:
		put_real(out, sqlite3_column_double(st, column));
		break;
	case SQLITE_BLOB:
		data = sqlite3_column_blob(st, column);
		put_hex(out, data, (size_t)sqlite3_column_bytes(st, column));
		break;
	default:
		data = sqlite3_column_text(st, column);
		wire_put_value(out, data,
			       (size_t)sqlite3_column_bytes(st, column));
		break;
	}
}
