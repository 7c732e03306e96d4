#include "pg_json.h"
#include "pg_param.h"

#include <string.h>

/*
 * Size of the buffer for decoded hex. A multiple of 3, so that the base64 text
 * of each chunk can be appended without padding in between.
 */
#define HEX_CHUNK_BYTES 768
/* Maximum length of the escape sequence of one byte (\u00xx). */
#define ESCAPE_BYTES_MAX 6
/* Number of bytes that plain_word() checks at a time. */
#define WORD_BYTES 8

/*
 * Reserves space for n more bytes at the end of `out` and returns its address.
 * The length changes only with advance().
 */
static inline char *reserve(GString *out, size_t n)
{
	size_t len = out->len;

	if (out->allocated_len - len <= n) {
		g_string_set_size(out, len + n);
		out->len = len;
	}
	return out->str + len;
}

static inline void advance(GString *out, const char *to)
{
	out->len = (size_t)(to - out->str);
}

static inline void put(GString *out, struct str s)
{
	memcpy(reserve(out, s.len), s.data, s.len);
	out->len += s.len;
}

static inline void put_byte(GString *out, char c)
{
	*reserve(out, 1) = c;
	out->len++;
}

/* Writes the terminating NUL of the GString. */
static inline void terminate(GString *out)
{
	*reserve(out, 0) = '\0';
}

/* How a byte has to be treated within a JSON string. */
enum byte_class {
	BYTE_PLAIN, /* copied as it is */
	BYTE_ESCAPE, /* needs an escape sequence */
	BYTE_HIGH /* not ASCII: must be checked for valid UTF-8 */
};

static enum byte_class classify(unsigned char c)
{
	if (c >= 0x80)
		return BYTE_HIGH;
	if (c < 0x20 || c == '"' || c == '\\')
		return BYTE_ESCAPE;
	return BYTE_PLAIN;
}

/*
 * Whether 8 bytes are all plain. Each term sets the high bit of every byte that
 * is not plain. A borrow may set the high bit of a plain byte as well, but only
 * if a byte below it is not plain, so the result is still right.
 */
static inline bool plain_word(uint64_t word)
{
	const uint64_t ones = 0x0101010101010101;
	const uint64_t quote = word ^ (ones * '"');
	const uint64_t slash = word ^ (ones * '\\');
	const uint64_t high = (word - ones * 0x20) | (quote - ones) |
			      (slash - ones) | word;

	return !(high & (ones * 0x80));
}

static char *put_escape(char *at, unsigned char c)
{
	static const char hex[] = "0123456789abcdef";

	*at++ = '\\';
	switch (c) {
	case '"':
	case '\\':
		*at++ = (char)c;
		break;
	case '\n':
		*at++ = 'n';
		break;
	case '\r':
		*at++ = 'r';
		break;
	case '\t':
		*at++ = 't';
		break;
	default:
		*at++ = 'u';
		*at++ = '0';
		*at++ = '0';
		*at++ = hex[c >> 4];
		*at++ = hex[c & 15];
		break;
	}
	return at;
}

static void put_escaped(GString *out, struct str s)
{
	char *at = reserve(out, s.len * ESCAPE_BYTES_MAX);
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.data[i];

		if (classify(c) == BYTE_ESCAPE)
			at = put_escape(at, c);
		else
			*at++ = (char)c;
	}
	advance(out, at);
}

/*
 * A server whose database has no encoding (SQL_ASCII) may send bytes that are
 * not valid UTF-8, which would make the caller's whole answer invalid JSON.
 * They are replaced by U+FFFD.
 */
static void put_special(GString *out, struct str s)
{
	char *valid;

	if (g_utf8_validate_len(s.data, s.len, NULL)) {
		put_escaped(out, s);
		return;
	}
	valid = g_utf8_make_valid(s.data, (gssize)s.len);
	put_escaped(out, str_from_c(valid));
	g_free(valid);
}

/* Appends a JSON string; copies plain bytes while it checks them. */
static void put_string(GString *out, struct str s)
{
	char *at = reserve(out, s.len + WORD_BYTES);
	size_t i = 0;

	*at++ = '"';
	for (; i + WORD_BYTES <= s.len; i += WORD_BYTES) {
		uint64_t word;

		memcpy(&word, s.data + i, WORD_BYTES);
		if (!plain_word(word))
			break;
		memcpy(at + i, &word, WORD_BYTES);
	}
	for (; i < s.len; i++) {
		if (classify((unsigned char)s.data[i]) != BYTE_PLAIN)
			break;
		at[i] = s.data[i];
	}
	if (i == s.len) {
		advance(out, at + i);
	} else {
		advance(out, at);
		put_special(out, s);
	}
	put_byte(out, '"');
}

static size_t skip_digits(struct str s, size_t i)
{
	while (i < s.len && g_ascii_isdigit(s.data[i]))
		i++;
	return i;
}

/* Whether the text is a number in JSON's grammar; "NaN" is not. */
static bool is_number(struct str s)
{
	size_t i = s.len && s.data[0] == '-';
	size_t start = i;

	i = skip_digits(s, i);
	if (i == start || (s.data[start] == '0' && i > start + 1))
		return false;
	if (i < s.len && s.data[i] == '.') {
		start = ++i;
		i = skip_digits(s, i);
		if (i == start)
			return false;
	}
	if (i < s.len && (s.data[i] == 'e' || s.data[i] == 'E')) {
		i++;
		if (i < s.len && (s.data[i] == '+' || s.data[i] == '-'))
			i++;
		start = i;
		i = skip_digits(s, i);
		if (i == start)
			return false;
	}
	return i == s.len;
}

/*
 * The text is copied: servers send floats in the shortest form that parses back
 * to the same value.
 */
static void put_number(GString *out, struct str s)
{
	if (is_number(s))
		put(out, s);
	else
		put_string(out, s);
}

static void put_bool(GString *out, struct str s)
{
	if (s.len && s.data[0] == 't')
		put(out, STR("true"));
	else if (s.len && s.data[0] == 'f')
		put(out, STR("false"));
	else
		put_string(out, s);
}

static void put_base64(GString *out, const guchar *data, size_t len)
{
	char *text = g_base64_encode(data, len);

	put(out, str_from_c(text));
	g_free(text);
}

/* Converts bytea's older "escape" format (setting bytea_output). */
static void put_escape_format(GString *out, struct str s)
{
	char *text = str_dup(s);
	size_t len = 0;
	unsigned char *data =
		PQunescapeBytea((const unsigned char *)text, &len);

	if (data)
		put_base64(out, data, len);
	PQfreemem(data);
	g_free(text);
}

static void put_hex_format(GString *out, struct str s)
{
	guchar chunk[HEX_CHUNK_BYTES];
	size_t i = 2;

	while (i + 1 < s.len) {
		size_t n = 0;

		for (; i + 1 < s.len && n < sizeof(chunk); i += 2) {
			int high = g_ascii_xdigit_value(s.data[i]);
			int low = g_ascii_xdigit_value(s.data[i + 1]);

			chunk[n++] = (guchar)((high << 4 | low) & 0xff);
		}
		put_base64(out, chunk, n);
	}
}

static void put_bytes(GString *out, struct str s)
{
	put(out, STR("{\"bytes\":\""));
	if (str_starts_with(s, STR("\\x")))
		put_hex_format(out, s);
	else
		put_escape_format(out, s);
	put(out, STR("\"}"));
}

static void put_value(GString *out, Oid type, struct str text)
{
	switch (type) {
	case PG_OID_INT2:
	case PG_OID_INT4:
	case PG_OID_INT8:
	case PG_OID_FLOAT4:
	case PG_OID_FLOAT8:
		put_number(out, text);
		break;
	case PG_OID_BOOL:
		put_bool(out, text);
		break;
	case PG_OID_BYTEA:
		put_bytes(out, text);
		break;
	default:
		put_string(out, text);
		break;
	}
}

/*
 * Appends one value that is not NULL. Integers and floats become numbers (NaN
 * and infinities strings), booleans true or false, bytes an object. All other
 * types become strings with the server's text, numeric included, because a
 * JSON parser would round it.
 */
void pg_json_value(GString *out, Oid type, struct str text)
{
	put_value(out, type, text);
	terminate(out);
}

/* Starts the object of one statement's result and writes its columns. */
void pg_json_begin(GString *out, const PGresult *res)
{
	int n = PQnfields(res);
	int i;

	put(out, STR("{\"columns\":["));
	for (i = 0; i < n; i++) {
		if (i)
			put_byte(out, ',');
		put_string(out, str_from_c(PQfname(res, i)));
	}
	put(out, STR("],\"rows\":["));
	terminate(out);
}

/* Appends one row as a JSON array. */
void pg_json_row(GString *out, const PGresult *res, int row, bool first)
{
	int n = PQnfields(res);
	int i;

	put(out, first ? STR("[") : STR(",["));
	for (i = 0; i < n; i++) {
		struct str text;

		if (i)
			put_byte(out, ',');
		text.len = (size_t)PQgetlength(res, row, i);
		if (!text.len && PQgetisnull(res, row, i)) {
			put(out, STR("null"));
			continue;
		}
		text.data = PQgetvalue(res, row, i);
		put_value(out, PQftype(res, i), text);
	}
	put_byte(out, ']');
	terminate(out);
}

/* Ends the object that pg_json_begin() started. */
void pg_json_end(GString *out, uint64_t rows_affected)
{
	char digits[20];
	size_t n = sizeof(digits);

	do {
		digits[--n] = (char)('0' + rows_affected % 10);
		rows_affected /= 10;
	} while (rows_affected);
	put(out, STR("],\"rows_affected\":"));
	put(out, (struct str){ .data = digits + n, .len = sizeof(digits) - n });
	put_byte(out, '}');
	terminate(out);
}
