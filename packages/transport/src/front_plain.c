#include "front_private.h"

#include <string.h>

/*
 * Limits up to which this parser reads a body. One with more is left to
 * front_parse_json(), which enforces the limits.
 */
#define STATEMENTS_MAX 1000
#define PARAMETERS_MAX 10000
/* Digits of an integer that is read here: any of 18 digits fits 64 bits. */
#define DIGITS_MAX 18

/* State of the parser; strings are unescaped within the body. */
struct plain_parser {
	char *p; /* next byte; the body ends in a NUL, which begins no token */
	struct request *r;
	unsigned params; /* parameters read so far, of all statements */
};

static void skip_blanks(struct plain_parser *b)
{
	while (*b->p == ' ' || *b->p == '\n' || *b->p == '\r' || *b->p == '\t')
		b->p++;
}

/* Skips the byte and the white space around it, if the byte comes next. */
static bool take(struct plain_parser *b, char c)
{
	skip_blanks(b);
	if (*b->p != c)
		return false;
	b->p++;
	skip_blanks(b);
	return true;
}

static bool take_literal(struct plain_parser *b, const char *word)
{
	size_t len = strlen(word);

	if (strncmp(b->p, word, len) != 0)
		return false;
	b->p += len;
	return true;
}

/* The byte that a one-letter escape stands for; 0 for any other escape. */
static char unescape(char c)
{
	static const char letters[] = "\"\\/bfnrt";
	static const char bytes[] = "\"\\/\b\f\n\r\t";
	const char *at = c ? strchr(letters, c) : NULL;

	return at ? bytes[at - letters] : '\0';
}

/* Reads a string, unescapes it in place and puts a NUL after it. */
static bool take_text(struct plain_parser *b, struct str *out)
{
	char *to;

	if (*b->p != '"')
		return false;
	out->data = to = ++b->p;
	while (*b->p != '"') {
		char c = *b->p++;

		if ((unsigned char)c < 0x20)
			return false;
		if (c == '\\') {
			c = unescape(*b->p++);
			if (!c)
				return false;
		}
		*to++ = c;
	}
	b->p++;
	*to = '\0';
	out->len = (size_t)(to - out->data);
	return true;
}

/*
 * Reads an integer. A fraction or an exponent is not consumed, so that the
 * next token fails and the body is left to front_parse_json().
 */
static bool take_int(struct plain_parser *b, int64_t *out)
{
	bool negative = *b->p == '-';
	const char *from = b->p += negative;
	int64_t value = 0;

	while (g_ascii_isdigit(*b->p)) {
		if (b->p - from == DIGITS_MAX)
			return false;
		value = value * 10 + (*b->p++ - '0');
	}
	*out = negative ? -value : value;
	return b->p > from && (*from != '0' || b->p - from == 1);
}

static bool take_value(struct plain_parser *b, struct value *v)
{
	switch (*b->p) {
	case '"':
		v->type = VALUE_TEXT;
		return take_text(b, &v->u.s);
	case 'n':
		v->type = VALUE_NULL;
		return take_literal(b, "null");
	case 't':
		v->type = VALUE_BOOL;
		v->u.b = true;
		return take_literal(b, "true");
	case 'f':
		v->type = VALUE_BOOL;
		v->u.b = false;
		return take_literal(b, "false");
	default:
		v->type = VALUE_INT;
		return take_int(b, &v->u.i);
	}
}

/* Makes room for element n; the size doubles when n is a power of two. */
static void *grow(void *list, unsigned n, size_t size)
{
	if (n & (n - 1))
		return list;
	return g_realloc_n(list, MAX(1, 2 * (size_t)n), size);
}

static bool take_params(struct plain_parser *b, struct statement *s)
{
	if (!take(b, '['))
		return false;
	if (take(b, ']'))
		return true;
	do {
		struct value *v;

		if (b->params++ == PARAMETERS_MAX)
			return false;
		s->params = grow(s->params, s->n_params, sizeof(*s->params));
		v = &s->params[s->n_params++];
		memset(v, 0, sizeof(*v));
		if (!take_value(b, v))
			return false;
	} while (take(b, ','));
	return take(b, ']');
}

static bool take_key(struct plain_parser *b, struct str *out)
{
	return take_text(b, out) && take(b, ':');
}

static bool take_statement(struct plain_parser *b, struct statement *s)
{
	bool params = false;
	struct str key;

	if (!take(b, '{'))
		return false;
	do {
		if (!take_key(b, &key))
			return false;
		if (str_eq(key, STR("sql")) && !s->sql.len) {
			if (!take_text(b, &s->sql) || !s->sql.len)
				return false;
		} else if (str_eq(key, STR("params")) && !params) {
			params = true;
			if (!take_params(b, s))
				return false;
		} else {
			return false;
		}
	} while (take(b, ','));
	return take(b, '}') && s->sql.len;
}

static bool take_statements(struct plain_parser *b)
{
	struct request *r = b->r;

	if (!take(b, '['))
		return false;
	do {
		struct statement *s;

		if (r->n_statements == STATEMENTS_MAX)
			return false;
		r->statements =
			grow(r->statements, r->n_statements, sizeof(*s));
		s = &r->statements[r->n_statements++];
		memset(s, 0, sizeof(*s));
		if (!take_statement(b, s))
			return false;
	} while (take(b, ','));
	return take(b, ']');
}

/* Reads the outermost object, which must have each expected member once. */
static bool take_fields(struct plain_parser *b, bool profile, bool statements)
{
	struct str key;

	if (!take(b, '{'))
		return false;
	do {
		if (!take_key(b, &key))
			return false;
		if (str_eq(key, STR("profile")) && profile) {
			profile = false;
			if (!take_text(b, &b->r->profile))
				return false;
		} else if (str_eq(key, STR("statements")) && statements) {
			statements = false;
			if (!take_statements(b))
				return false;
		} else {
			return false;
		}
	} while (take(b, ','));
	return take(b, '}') && !*b->p && !profile && !statements;
}

/*
 * Fast parser for simple bodies, as most are: strings without \u, integers,
 * each field once and no unknown field. Returns NULL for any other body, which
 * may still be valid: front_parse_json() decides and reports what is wrong. For
 * every body that this parser accepts, both must give the same request.
 */
struct request *front_parse_plain(enum request_kind kind, bool profile,
				  bool statements, struct str body)
{
	struct plain_parser b;
	char *copy;

	/* Also refuses a body with a NUL, which would end it early. */
	if (!g_utf8_validate_len(body.data, body.len, NULL))
		return NULL;
	copy = g_strndup(body.data, body.len);
	b = (struct plain_parser){ .p = copy, .r = request_create(kind) };
	b.r->body = g_bytes_new_take(copy, body.len);
	if (take_fields(&b, profile, statements))
		return b.r;
	request_unref(b.r);
	return NULL;
}
