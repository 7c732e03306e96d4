#include "front_private.h"

#include <string.h>

/*
 * Levels of nesting. A valid body has at most 5, the deepest being a parameter
 * that is an object.
 */
#define DEPTH_MAX 16
/* Bytes allowed outside strings, besides numbers and brackets. */
#define PUNCTUATION " \t\r\n,:truefalsn"

struct scan {
	const char *p; /* next byte */
	const char *start;
	const char *end;
	unsigned depth; /* of open objects and lists */
	unsigned members; /* of all objects so far */
	bool closed; /* the outermost value has ended */
};

static bool fail(const struct scan *s, struct err *err, enum err_code code,
		 const char *reason)
{
	err_set(err, code, "byte %zu: %s", (size_t)(s->p - s->start), reason);
	return false;
}

/* Reads the digits of \uXXXX. Refuses 0: PostgreSQL text can't hold a NUL. */
static bool scan_unicode(struct scan *s, struct err *err)
{
	unsigned value = 0;
	unsigned i;

	for (i = 0; i < 4; i++) {
		if (s->p == s->end || !g_ascii_isxdigit(*s->p))
			return fail(s, err, ERR_BAD_JSON,
				    "\\u takes four hexadecimal digits");
		value = value << 4 | (unsigned)g_ascii_xdigit_value(*s->p++);
	}
	return value || fail(s, err, ERR_BAD_FIELD, "a string contains a NUL");
}

static bool scan_escape(struct scan *s, struct err *err)
{
	if (s->p == s->end || !*s->p || !strchr("\"\\/bfnrtu", *s->p))
		return fail(s, err, ERR_BAD_JSON, "unknown escape");
	return *s->p++ != 'u' || scan_unicode(s, err);
}

static bool scan_string(struct scan *s, struct err *err)
{
	while (s->p < s->end) {
		unsigned char c = (unsigned char)*s->p++;

		if (c == '"')
			return true;
		if (c < 0x20)
			return fail(s, err, ERR_BAD_JSON,
				    "a control character in a string");
		if (c == '\\' && !scan_escape(s, err))
			return false;
	}
	return fail(s, err, ERR_BAD_JSON, "a string does not end");
}

static size_t skip_digits(struct scan *s)
{
	const char *from = s->p;

	while (s->p < s->end && g_ascii_isdigit(*s->p))
		s->p++;
	return (size_t)(s->p - from);
}

/* Skips the next byte if it is one of these. */
static bool skip_one_of(struct scan *s, const char *bytes)
{
	if (s->p == s->end || !*s->p || !strchr(bytes, *s->p))
		return false;
	s->p++;
	return true;
}

/*
 * Whether the number fits a signed integer of 64 bits. Up to 19 digits always
 * fit an unsigned one, in which it is compared.
 */
static bool fits_int64(const char *digits, size_t n, bool negative)
{
	uint64_t limit = (uint64_t)INT64_MAX + negative;
	uint64_t value;

	return n <= 19 &&
	       str_to_u64((struct str){ .data = digits, .len = n }, &value) &&
	       value <= limit;
}

/*
 * Reads a number that is valid in JSON. The parser would read 012 as octal,
 * which is 10, and wrap an integer of more than 64 bits, so that a different
 * mileage than the one the caller sent would be saved.
 */
static bool scan_number(struct scan *s, struct err *err)
{
	bool negative = skip_one_of(s, "-");
	const char *digits = s->p;
	size_t n = skip_digits(s);
	bool integer = true;

	if (!n || (n > 1 && *digits == '0'))
		return fail(s, err, ERR_BAD_JSON, "not a number");
	if (skip_one_of(s, ".")) {
		integer = false;
		if (!skip_digits(s))
			return fail(s, err, ERR_BAD_JSON, "not a number");
	}
	if (skip_one_of(s, "eE")) {
		integer = false;
		skip_one_of(s, "+-");
		if (!skip_digits(s))
			return fail(s, err, ERR_BAD_JSON, "not a number");
	}
	if (integer && !fits_int64(digits, n, negative))
		return fail(s, err, ERR_BAD_FIELD,
			    "an integer takes more than 64 bits");
	return true;
}

static bool scan_bracket(struct scan *s, char c, struct err *err)
{
	if (c == '{' || c == '[') {
		if (++s->depth > DEPTH_MAX)
			return fail(s, err, ERR_TOO_DEEP,
				    "nested deeper than 16 levels");
		return true;
	}
	if (!s->depth)
		return fail(s, err, ERR_BAD_JSON, "unmatched closing bracket");
	s->closed = !--s->depth;
	return true;
}

static bool scan_one(struct scan *s, struct err *err)
{
	char c = *s->p++;

	if (s->closed && !g_ascii_isspace(c))
		return fail(s, err, ERR_BAD_JSON, "more than one value");
	switch (c) {
	case '"':
		return scan_string(s, err);
	case '{':
	case '}':
	case '[':
	case ']':
		return scan_bracket(s, c, err);
	case ':':
		s->members++;
		return true;
	default:
		break;
	}
	if (c == '-' || g_ascii_isdigit(c)) {
		s->p--;
		return scan_number(s, err);
	}
	return (c && strchr(PUNCTUATION, c)) ||
	       fail(s, err, ERR_BAD_JSON, "not JSON");
}

/*
 * Checks a body before it is parsed, for what JSON-GLib accepts but a caller
 * must not send. JSON-GLib recurses for each level of nesting, so a megabyte of
 * brackets would crash the process. It accepts comments, single quotes, octal
 * numbers, raw control characters and a second value, wraps large integers and
 * keeps only the last of duplicate keys. *members is set to the number of
 * members of all objects, by which read_body() notices duplicate keys. Fails
 * with BAD_JSON, BAD_FIELD or TOO_DEEP.
 */
bool front_scan(struct str body, unsigned *members, struct err *err)
{
	struct scan s = { .p = body.data,
			  .start = body.data,
			  .end = body.data + body.len };

	if (!g_utf8_validate_len(body.data, body.len, &s.p))
		return fail(&s, err, ERR_BAD_JSON, "not UTF-8");
	s.p = body.data;
	while (s.p < s.end) {
		if (!scan_one(&s, err))
			return false;
	}
	*members = s.members;
	return true;
}
