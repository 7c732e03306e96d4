#include <celeryquay/base/strict_json.h>

#include <string.h>

#define SPACES " \t\r\n"

/* What may come next. */
enum expected {
	EXPECT_VALUE,
	EXPECT_VALUE_OR_END, /* after '[' */
	EXPECT_NAME,
	EXPECT_NAME_OR_END, /* after '{' */
	EXPECT_COLON,
	EXPECT_COMMA_OR_END,
	EXPECT_NOTHING, /* after the outermost value */
};

struct scan {
	const char *p; /* next byte */
	const char *start;
	const char *end;
	unsigned depth; /* of open objects and lists */
	unsigned depth_max;
	uint64_t objects; /* bit n: what is open at depth n is an object */
	unsigned members; /* of all objects so far */
	enum expected expected;
};

static bool fail(const struct scan *s, struct err *err, enum err_code code,
		 const char *reason)
{
	err_set(err, code, "byte %zu: %s", (size_t)(s->p - s->start), reason);
	return false;
}

static bool scan_hex(struct scan *s, unsigned *value, struct err *err)
{
	unsigned i;

	*value = 0;
	for (i = 0; i < 4; i++) {
		if (s->p == s->end || !g_ascii_isxdigit(*s->p))
			return fail(s, err, ERR_BAD_JSON,
				    "\\u takes four hexadecimal digits");
		*value = *value << 4 | (unsigned)g_ascii_xdigit_value(*s->p++);
	}
	return true;
}

static bool is_surrogate(unsigned value, unsigned first)
{
	return value >= first && value < first + 0x400;
}

/* Reads what follows \u; a NUL would end the string in JSON-GLib. */
static bool scan_unicode(struct scan *s, struct err *err)
{
	unsigned value, low;

	if (!scan_hex(s, &value, err))
		return false;
	if (!value)
		return fail(s, err, ERR_BAD_FIELD, "a string contains a NUL");
	if (is_surrogate(value, 0xdc00))
		return fail(s, err, ERR_BAD_JSON, "half a surrogate pair");
	if (!is_surrogate(value, 0xd800))
		return true;
	if (s->end - s->p < 2 || s->p[0] != '\\' || s->p[1] != 'u')
		return fail(s, err, ERR_BAD_JSON, "half a surrogate pair");
	s->p += 2;
	if (!scan_hex(s, &low, err))
		return false;
	return is_surrogate(low, 0xdc00) ||
	       fail(s, err, ERR_BAD_JSON, "half a surrogate pair");
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
 * Reads a number. JSON-GLib would read 012 as octal, which is 10, and wrap an
 * integer of more than 64 bits, so that a different mileage than the one the
 * caller sent would be saved.
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

static bool scan_word(struct scan *s, struct err *err)
{
	static const char *const words[] = { "true", "false", "null" };
	size_t left = (size_t)(s->end - s->p);
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(words); i++) {
		size_t len = strlen(words[i]);

		if (left < len || memcmp(s->p, words[i], len) != 0)
			continue;
		s->p += len;
		return true;
	}
	return fail(s, err, ERR_BAD_JSON, "not JSON");
}

/* A value, or what was opened, has ended. */
static void end_value(struct scan *s)
{
	s->expected = s->depth ? EXPECT_COMMA_OR_END : EXPECT_NOTHING;
}

static bool is_in_object(const struct scan *s)
{
	return s->objects >> s->depth & 1;
}

static bool open_bracket(struct scan *s, bool object, struct err *err)
{
	if (s->depth == s->depth_max)
		return fail(s, err, ERR_TOO_DEEP, "nested too deeply");
	s->p++;
	s->depth++;
	s->objects &= ~(UINT64_C(1) << s->depth);
	s->objects |= (uint64_t)object << s->depth;
	s->expected = object ? EXPECT_NAME_OR_END : EXPECT_VALUE_OR_END;
	return true;
}

static bool close_bracket(struct scan *s, struct err *err)
{
	if (*s->p != (is_in_object(s) ? '}' : ']'))
		return fail(s, err, ERR_BAD_JSON, "unmatched closing bracket");
	s->p++;
	s->depth--;
	end_value(s);
	return true;
}

static bool scan_value(struct scan *s, struct err *err)
{
	char c = *s->p;
	bool ok;

	if (c == '{' || c == '[')
		return open_bracket(s, c == '{', err);
	if (c == '"') {
		s->p++;
		ok = scan_string(s, err);
	} else if (c == '-' || g_ascii_isdigit(c)) {
		ok = scan_number(s, err);
	} else {
		ok = scan_word(s, err);
	}
	end_value(s);
	return ok;
}

static bool scan_name(struct scan *s, struct err *err)
{
	if (*s->p != '"')
		return fail(s, err, ERR_BAD_JSON,
			    "not JSON: a name is expected");
	s->p++;
	s->members++;
	s->expected = EXPECT_COLON;
	return scan_string(s, err);
}

static bool scan_colon(struct scan *s, struct err *err)
{
	if (*s->p != ':')
		return fail(s, err, ERR_BAD_JSON, "a colon is expected");
	s->p++;
	s->expected = EXPECT_VALUE;
	return true;
}

static bool scan_comma(struct scan *s)
{
	s->p++;
	s->expected = is_in_object(s) ? EXPECT_NAME : EXPECT_VALUE;
	return true;
}

/* Reads the next token; the next byte is no space. */
static bool scan_token(struct scan *s, struct err *err)
{
	bool closes = *s->p == '}' || *s->p == ']';

	switch (s->expected) {
	case EXPECT_VALUE_OR_END:
	case EXPECT_VALUE:
		if (closes && s->expected == EXPECT_VALUE_OR_END)
			return close_bracket(s, err);
		return closes ? fail(s, err, ERR_BAD_JSON,
				     "unmatched closing bracket") :
				scan_value(s, err);
	case EXPECT_NAME_OR_END:
	case EXPECT_NAME:
		if (closes && s->expected == EXPECT_NAME_OR_END)
			return close_bracket(s, err);
		return scan_name(s, err);
	case EXPECT_COLON:
		return scan_colon(s, err);
	case EXPECT_COMMA_OR_END:
		if (closes)
			return close_bracket(s, err);
		return *s->p == ',' ? scan_comma(s) :
				      fail(s, err, ERR_BAD_JSON,
					   "a comma is expected");
	case EXPECT_NOTHING:
		break;
	}
	return fail(s, err, ERR_BAD_JSON, "more than one value");
}

static void skip_spaces(struct scan *s)
{
	while (s->p < s->end && *s->p && strchr(SPACES, *s->p))
		s->p++;
}

bool strict_json_check(struct str text, unsigned depth_max, unsigned *members,
		       struct err *err)
{
	struct scan s = { .p = text.data,
			  .start = text.data,
			  .end = text.data + text.len,
			  .depth_max = depth_max };

	g_assert(depth_max < 64);
	if (!g_utf8_validate_len(text.data, text.len, &s.p))
		return fail(&s, err, ERR_BAD_JSON, "not UTF-8");
	s.p = text.data;
	for (skip_spaces(&s); s.p < s.end; skip_spaces(&s))
		if (!scan_token(&s, err))
			return false;
	if (s.expected != EXPECT_NOTHING)
		return fail(&s, err, ERR_BAD_JSON,
			    s.depth ? "the text ends early" :
				      "the text is empty");
	if (members)
		*members = s.members;
	return true;
}

bool strict_json_load(JsonParser *parser, struct str text, struct err *err)
{
	struct err own = { 0 };
	GError *error = NULL;

	if (!strict_json_check(text, STRICT_JSON_DEPTH_MAX, NULL,
			       err ? err : &own))
		return false;
	if (json_parser_load_from_data(parser, text.data, (gssize)text.len,
				       &error))
		return true;
	if (err)
		err_set(err, ERR_BAD_JSON, "%s", error->message);
	g_error_free(error);
	return false;
}

JsonNode *strict_json_parse(struct str text, struct err *err)
{
	JsonParser *parser = json_parser_new();
	JsonNode *root = NULL;

	if (strict_json_load(parser, text, err))
		root = json_parser_steal_root(parser);
	g_object_unref(parser);
	return root;
}
