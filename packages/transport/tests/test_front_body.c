#include "front_private.h"
#include <celeryquay/suite.h>

#include <string.h>

/* A body with these parameters. */
#define PARAM(text)                                              \
	"{\"profile\":\"write\",\"statements\":[{\"sql\":\"x\"," \
	"\"params\":[" text "]}]}"

static struct request *parse(const char *body, struct err *err)
{
	return front_parse_body(str_from_c(body), err);
}

START_TEST(every_type_of_parameter_is_read)
{
	static const char body[] =
		" {\"statements\" : [ {\"params\":[null,true,-12,2.5e1,"
		"\"a\\u00e9\\\"\",{\"bytes\":\"AP8=\"},"
		"9223372036854775807,-9223372036854775808,{\"bytes\":\"\"}],"
		"\"sql\":\"INSERT\"},{\"sql\":\"SELECT 1\"}],"
		"\"profile\":\"write\"}\n";
	struct err err = { 0 };
	struct request *r = parse(body, &err);
	const struct value *v;

	ck_assert_msg(r != NULL, "%s", err.message);
	ck_assert(str_eq(r->profile, STR("write")));
	ck_assert_uint_eq(r->n_statements, 2);
	ck_assert(str_eq(r->statements[1].sql, STR("SELECT 1")));
	ck_assert_uint_eq(r->statements[1].n_params, 0);
	ck_assert_uint_eq(r->statements[0].n_params, 9);
	v = r->statements[0].params;
	ck_assert_int_eq(v[0].type, VALUE_NULL);
	ck_assert(v[1].type == VALUE_BOOL && v[1].u.b);
	ck_assert(v[2].type == VALUE_INT && v[2].u.i == -12);
	ck_assert(v[3].type == VALUE_FLOAT && v[3].u.f == 25);
	ck_assert_int_eq(v[4].type, VALUE_TEXT);
	ck_assert(str_eq(v[4].u.s, STR("a\xc3\xa9\"")));
	ck_assert_int_eq(v[5].type, VALUE_BYTES);
	ck_assert(str_eq(v[5].u.s, STR("\0\xff")));
	ck_assert(v[6].u.i == INT64_MAX && v[7].u.i == INT64_MIN);
	ck_assert(v[8].type == VALUE_BYTES && v[8].u.s.len == 0);
	request_unref(r);
}
END_TEST

struct bad {
	const char *body;
	enum err_code code;
	const char *message; /* part of the expected message */
};

static const struct bad bad_bodies[] = {
	/* Not JSON, or accepted only by a lenient parser. */
	{ "", ERR_BAD_JSON, "empty" },
	{ "  ", ERR_BAD_JSON, "empty" },
	{ "{", ERR_BAD_JSON, "" },
	{ "{\"profile\":\"a\"", ERR_BAD_JSON, "" },
	{ "{\"profile\":\"a\",}", ERR_BAD_JSON, "" },
	{ "{\"profile\" \"a\"}", ERR_BAD_JSON, "" },
	{ "{profile:1}", ERR_BAD_JSON, "" },
	{ "}", ERR_BAD_JSON, "unmatched closing bracket" },
	{ "{]", ERR_BAD_JSON, "" },
	{ "{}{}", ERR_BAD_JSON, "more than one" },
	{ "{} x", ERR_BAD_JSON, "more than one" },
	{ "/* c */{}", ERR_BAD_JSON, "not JSON" },
	{ "{'profile':1}", ERR_BAD_JSON, "not JSON" },
	{ "var x = {}", ERR_BAD_JSON, "not JSON" },
	{ "\xef\xbb\xbf{}", ERR_BAD_JSON, "not JSON" },
	{ "{\"profile\":\"\xff\"}", ERR_BAD_JSON, "not UTF-8" },
	{ "{\"profile\":\"\xed\xa0\x80\"}", ERR_BAD_JSON, "not UTF-8" },
	{ "{\"profile\":\"a\nb\"}", ERR_BAD_JSON, "control character" },
	{ "{\"profile\":\"a", ERR_BAD_JSON, "does not end" },
	{ "{\"profile\":\"\\q\"}", ERR_BAD_JSON, "escape" },
	{ "{\"profile\":\"\\u12g4\"}", ERR_BAD_JSON, "hexadecimal" },
	{ "{\"profile\":\"\\ud800\"}", ERR_BAD_JSON, "" },
	{ "{\"profile\":\"\\udc00\"}", ERR_BAD_JSON, "" },
	{ "{\"profile\":\"\\ud800\\u0041\"}", ERR_BAD_JSON, "" },
	{ "{\"profile\":\"a\\u0000\"}", ERR_BAD_FIELD, "NUL" },
	{ PARAM("tru"), ERR_BAD_JSON, "" },
	{ PARAM("NaN"), ERR_BAD_JSON, "" },
	{ PARAM("012"), ERR_BAD_JSON, "not a number" },
	{ PARAM("0x10"), ERR_BAD_JSON, "" },
	{ PARAM("1."), ERR_BAD_JSON, "not a number" },
	{ PARAM(".5"), ERR_BAD_JSON, "" },
	{ PARAM("+1"), ERR_BAD_JSON, "" },
	{ PARAM("- 1"), ERR_BAD_JSON, "not a number" },
	{ PARAM("1e"), ERR_BAD_JSON, "not a number" },
	{ PARAM("1e400"), ERR_BAD_FIELD, "statements[0].params[0]" },
	{ PARAM("9223372036854775808"), ERR_BAD_FIELD, "64 bits" },
	{ PARAM("-9223372036854775809"), ERR_BAD_FIELD, "64 bits" },
	{ PARAM("99999999999999999999"), ERR_BAD_FIELD, "64 bits" },
	/* JSON with other fields or types than a request has. */
	{ "[]", ERR_BAD_FIELD, "body" },
	{ "null", ERR_BAD_FIELD, "body" },
	{ "{}", ERR_BAD_FIELD, "profile: the field is missing" },
	{ "{\"profile\":\"a\"}", ERR_BAD_FIELD, "statements: the field" },
	{ "{\"profile\":1,\"statements\":[{\"sql\":\"x\"}]}", ERR_BAD_FIELD,
	  "profile: a string" },
	{ "{\"profile\":\"a\",\"statements\":{}}", ERR_BAD_FIELD,
	  "statements: a list" },
	{ "{\"profile\":\"a\",\"statements\":[]}", ERR_BAD_FIELD,
	  "statements: the list is empty" },
	{ "{\"profile\":\"a\",\"statements\":[1]}", ERR_BAD_FIELD,
	  "statements[0]: an object" },
	{ "{\"profile\":\"a\",\"statements\":[{}]}", ERR_BAD_FIELD,
	  "statements[0]" },
	{ "{\"profile\":\"a\",\"statements\":[{\"sql\":\"x\"},{\"sql\":1}]}",
	  ERR_BAD_FIELD, "statements[1].sql: a string" },
	{ "{\"profile\":\"a\",\"statements\":[{\"sql\":\"\"}]}", ERR_BAD_FIELD,
	  "statements[0].sql" },
	{ "{\"profile\":\"a\",\"statements\":[{\"sql\":\"x\",\"params\":{}}]}",
	  ERR_BAD_FIELD, "statements[0].params: a list" },
	{ "{\"profile\":\"a\",\"statements\":[{\"sql\":\"x\",\"more\":1}]}",
	  ERR_BAD_FIELD, "statements[0]: takes" },
	{ "{\"profile\":\"a\",\"statements\":[{\"sql\":\"x\"}],\"more\":1}",
	  ERR_BAD_FIELD, "unknown field" },
	{ PARAM("[1]"), ERR_BAD_FIELD, "statements[0].params[0]: a list" },
	{ PARAM("1,{}"), ERR_BAD_FIELD, "statements[0].params[1]: an object" },
	{ PARAM("{\"bytes\":1}"), ERR_BAD_FIELD, "an object is" },
	{ PARAM("{\"text\":\"AA==\"}"), ERR_BAD_FIELD, "an object is" },
	{ PARAM("{\"bytes\":\"AA=\"}"), ERR_BAD_FIELD, "not base64" },
	{ PARAM("{\"bytes\":\"A===\"}"), ERR_BAD_FIELD, "not base64" },
	{ PARAM("{\"bytes\":\"AA=A\"}"), ERR_BAD_FIELD, "not base64" },
	{ PARAM("{\"bytes\":\"A A=\"}"), ERR_BAD_FIELD, "not base64" },
	/* Duplicate keys, of which the parser would keep the last. */
	{ "{\"profile\":\"a\",\"profile\":\"b\","
	  "\"statements\":[{\"sql\":\"x\"}]}",
	  ERR_BAD_FIELD, "twice" },
	{ "{\"profile\":\"a\",\"pro\\u0066ile\":\"b\","
	  "\"statements\":[{\"sql\":\"x\"}]}",
	  ERR_BAD_FIELD, "twice" },
	{ "{\"profile\":\"a\",\"statements\":[{\"sql\":\"x\",\"sql\":\"y\"}]}",
	  ERR_BAD_FIELD, "twice" },
	{ PARAM("{\"bytes\":\"\",\"bytes\":\"AA==\"}"), ERR_BAD_FIELD,
	  "twice" },
};

START_TEST(bad_body_is_refused)
{
	const struct bad *bad = &bad_bodies[_i];
	struct err err = { 0 };
	struct request *r = parse(bad->body, &err);

	ck_assert_msg(!r, "%s", bad->body);
	ck_assert_msg(err.code == bad->code, "%s: %s", bad->body, err.message);
	ck_assert_msg(strstr(err.message, bad->message), "%s: %s", bad->body,
		      err.message);
}
END_TEST

/*
 * The JSON parser recurses for each opening bracket, so a body of a megabyte of
 * them would overflow the proxy's stack and end every other caller's requests.
 */
START_TEST(deep_nesting_is_refused)
{
	size_t len = 1 << 20;
	char *body = g_malloc(len);
	struct err err = { 0 };

	memset(body, '[', len);
	ck_assert_ptr_null(front_parse_body((struct str){ body, len }, &err));
	ck_assert_int_eq(err.code, ERR_TOO_DEEP);
	g_free(body);
}
END_TEST

static char *repeat(const char *head, const char *part, unsigned n,
		    const char *tail)
{
	GString *out = g_string_new(head);
	unsigned i;

	for (i = 0; i < n; i++)
		g_string_append_printf(out, "%s%s", i ? "," : "", part);
	g_string_append(out, tail);
	return g_string_free(out, FALSE);
}

static void assert_limit(const char *head, const char *part, unsigned limit,
			 const char *tail)
{
	char *at_limit = repeat(head, part, limit, tail);
	char *above_limit = repeat(head, part, limit + 1, tail);
	struct err err = { 0 };
	struct request *r = parse(at_limit, &err);

	ck_assert_msg(r != NULL, "%s", err.message);
	request_unref(r);
	ck_assert_ptr_null(parse(above_limit, &err));
	ck_assert_int_eq(err.code, ERR_BAD_FIELD);
	g_free(at_limit);
	g_free(above_limit);
}

START_TEST(counts_are_bounded)
{
	assert_limit("{\"profile\":\"a\",\"statements\":[", "{\"sql\":\"x\"}",
		     1000, "]}");
	assert_limit("{\"profile\":\"a\",\"statements\":[{\"sql\":\"x\","
		     "\"params\":[",
		     "1", 10000, "]}]}");
}
END_TEST

#define MUTANTS 20000

static void random_body(GRand *rng, GString *out)
{
	static const char *const values[] = {
		"1",
		"-0",
		"0",
		"-17",
		"999999999999999999",
		"1000000000000000000",
		"012",
		"1.5",
		"1e2",
		"null",
		"true",
		"false",
		"nul",
		"{\"bytes\":\"AP8=\"}",
		"\"\"",
		"\"a\\n\\t\\\\\\\"\\/\\b\\f\\r\"",
		"\"\\u00e9\"",
		"\"\\ud83d\\ude00\"",
		"\"\303\251 \360\237\230\200\"",
		"\" \"",
		"[]",
	};
	int n = g_rand_int_range(rng, 0, 4);

	g_string_assign(out, "{\"profile\" : \"read\",\"statements\":[");
	g_string_append(out, "{\"sql\":\"SELECT 'a' || $1\"},{\"params\":[");
	while (n--)
		g_string_append_printf(
			out, "%s%s",
			values[g_rand_int_range(rng, 0, G_N_ELEMENTS(values))],
			n ? ", " : "");
	g_string_append(out, "] ,\"sql\":\"x\"}]}\n");
}

/* Removes, adds or replaces a byte at up to two places. */
static void mutate(GRand *rng, GString *text)
{
	static const char bytes[] = "{}[],:\"\\ 0123456789-.entruls\n\303";
	int n = g_rand_int_range(rng, 0, 3);

	while (n--) {
		gssize at = g_rand_int_range(rng, 0, (gint32)text->len);
		char c = bytes[g_rand_int_range(rng, 0, sizeof(bytes) - 1)];

		if (g_rand_boolean(rng))
			g_string_erase(text, at, 1);
		if (g_rand_boolean(rng))
			g_string_insert_c(text, at, c);
	}
}

static bool same_meaning(struct request *a, struct request *b)
{
	front_set_digest(a);
	front_set_digest(b);
	return str_eq(a->digest, b->digest);
}

/*
 * Most bodies are parsed by front_parse_plain(), the others with JSON-GLib. If
 * both read a number differently, the same mileage would be saved as different
 * values by two requests. The requests are compared by their digests, which
 * cover all of their fields.
 */
START_TEST(plain_reader_reads_like_the_library)
{
	GRand *rng = g_rand_new_with_seed(21);
	GString *text = g_string_new(NULL);
	unsigned i, n_plain = 0;
	struct err err = { 0 };

	for (i = 0; i < MUTANTS; i++) {
		struct request *plain, *full;

		random_body(rng, text);
		mutate(rng, text);
		plain = front_parse_plain(REQUEST_RUN, true, true,
					  str_from_gstring(text));
		if (!plain)
			continue;
		n_plain++;
		full = front_parse_json(REQUEST_RUN, str_from_gstring(text),
					&err);
		ck_assert_msg(full != NULL, "%s: %s", text->str, err.message);
		ck_assert_msg(same_meaning(plain, full), "%s", text->str);
		request_unref(plain);
		request_unref(full);
	}
	ck_assert_uint_gt(n_plain, MUTANTS / 10);
	g_string_free(text, TRUE);
	g_rand_free(rng);
}
END_TEST

START_TEST(plain_reader_takes_common_bodies)
{
	static const char *const bodies[] = {
		PARAM("1, \"a\\\"b\" ,null,true,false"),
		"{\"profile\":\"read\",\"statements\":[{\"sql\":\"x\"}]}",
		" { \"statements\" : [ { \"sql\" : \"x\" } ] , \"profile\" : "
		"\"read\" } \n",
	};
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		struct request *r = front_parse_plain(REQUEST_RUN, true, true,
						      str_from_c(bodies[i]));

		ck_assert_msg(r != NULL, "%s", bodies[i]);
		request_unref(r);
	}
}
END_TEST

static TCase *cases(void)
{
	TCase *tc = tcase_create("body");

	tcase_add_test(tc, every_type_of_parameter_is_read);
	tcase_add_loop_test(tc, bad_body_is_refused, 0,
			    G_N_ELEMENTS(bad_bodies));
	tcase_add_test(tc, deep_nesting_is_refused);
	tcase_add_test(tc, counts_are_bounded);
	tcase_add_test(tc, plain_reader_reads_like_the_library);
	tcase_add_test(tc, plain_reader_takes_common_bodies);
	return tc;
}

int main(void)
{
	return suite_main("front_body", cases());
}
