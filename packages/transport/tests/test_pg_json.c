#include "pg_json.h"
#include "pg_param.h"

#include <celeryquay/suite.h>
#include <math.h>

#define OID_TEXT 25
#define OID_NUMERIC 1700

static void check_value(Oid type, struct str text, const char *want)
{
	GString *out = g_string_new(NULL);

	pg_json_value(out, type, text);
	ck_assert_str_eq(out->str, want);
	g_string_free(out, TRUE);
}

START_TEST(numbers_are_json_numbers)
{
	check_value(PG_OID_INT8, STR("-9223372036854775808"),
		    "-9223372036854775808");
	check_value(PG_OID_INT2, STR("0"), "0");
	check_value(PG_OID_FLOAT8, STR("0.1"), "0.1");
	check_value(PG_OID_FLOAT8, STR("1e+22"), "1e+22");
	check_value(PG_OID_FLOAT4, STR("-0"), "-0");
}
END_TEST

START_TEST(values_that_are_no_json_numbers_become_strings)
{
	check_value(PG_OID_FLOAT8, STR("NaN"), "\"NaN\"");
	check_value(PG_OID_FLOAT8, STR("-Infinity"), "\"-Infinity\"");
	check_value(PG_OID_FLOAT8, STR("1."), "\"1.\"");
	check_value(PG_OID_FLOAT8, STR("1e"), "\"1e\"");
	check_value(PG_OID_INT8, STR("01"), "\"01\"");
	check_value(PG_OID_INT8, STR(""), "\"\"");
	check_value(PG_OID_INT8, STR("-"), "\"-\"");
	check_value(OID_NUMERIC, STR("12345678901234567890.5"),
		    "\"12345678901234567890.5\"");
}
END_TEST

START_TEST(booleans)
{
	check_value(PG_OID_BOOL, STR("t"), "true");
	check_value(PG_OID_BOOL, STR("f"), "false");
}
END_TEST

START_TEST(bytes_in_both_formats)
{
	check_value(PG_OID_BYTEA, STR("\\x"), "{\"bytes\":\"\"}");
	check_value(PG_OID_BYTEA, STR("\\x00ff10"), "{\"bytes\":\"AP8Q\"}");
	check_value(PG_OID_BYTEA, STR("a\\000b\\\\"),
		    "{\"bytes\":\"YQBiXA==\"}");
}
END_TEST

START_TEST(long_bytes_are_one_base64_text)
{
	GString *hex = g_string_new("\\x");
	GString *out = g_string_new(NULL);
	char *want;
	int i;

	for (i = 0; i < 1000; i++)
		g_string_append(hex, "00");
	pg_json_value(out, PG_OID_BYTEA, str_from_gstring(hex));
	want = g_base64_encode((const guchar[1000]){ 0 }, 1000);
	ck_assert_uint_eq(out->len, strlen(want) + strlen("{\"bytes\":\"\"}"));
	ck_assert_ptr_nonnull(strstr(out->str, want));
	g_free(want);
	g_string_free(out, TRUE);
	g_string_free(hex, TRUE);
}
END_TEST

START_TEST(strings_are_escaped)
{
	check_value(OID_TEXT, STR("plain"), "\"plain\"");
	check_value(OID_TEXT, STR("a\"b\\c\nd\te\x01"),
		    "\"a\\\"b\\\\c\\nd\\te\\u0001\"");
	check_value(OID_TEXT, STR("Jyv\xc3\xa4skyl\xc3\xa4 \"x\""),
		    "\"Jyv\xc3\xa4skyl\xc3\xa4 \\\"x\\\"\"");
}
END_TEST

START_TEST(an_escape_is_found_at_every_position)
{
	char text[33];
	unsigned len;
	unsigned at;

	for (len = 1; len < sizeof(text); len++) {
		for (at = 0; at < len; at++) {
			char *want;

			memset(text, 'x', len);
			text[len] = '\0';
			text[at] = '"';
			want = g_strdup_printf("\"%.*s\\\"%s\"", (int)at, text,
					       text + at + 1);
			check_value(OID_TEXT, str_from_c(text), want);
			g_free(want);
		}
	}
}
END_TEST

/*
 * Another program has stored bytes in a table that are not valid UTF-8. JSON
 * must be UTF-8, so without a replacement the caller could not parse any of its
 * answer.
 */
START_TEST(bytes_that_are_not_utf8_do_not_spoil_the_answer)
{
	check_value(OID_TEXT, STR("a\xff\"b"), "\"a\xef\xbf\xbd\\\"b\"");
}
END_TEST

START_TEST(parameters_become_text_with_types)
{
	const struct value values[] = {
		{ .type = VALUE_NULL },
		{ .type = VALUE_BOOL, .u.b = true },
		{ .type = VALUE_INT, .u.i = INT64_MIN },
		{ .type = VALUE_FLOAT, .u.f = -INFINITY },
		{ .type = VALUE_TEXT, .u.s = { "abcd", 2 } },
		{ .type = VALUE_BYTES, .u.s = STR("\0\xff") },
	};
	const char *const texts[] = { NULL,   "t",  "-9223372036854775808",
				      "-inf", "ab", "\\x00ff" };
	const Oid types[] = { 0, 16, 20, 701, 0, 17 };
	struct upstream_step step = { .sql = { "SELECT 1;", 8 },
				      .n_params = G_N_ELEMENTS(values),
				      .params = values };
	struct pg_params p = { 0 };
	unsigned i;

	ck_assert(pg_params_check(&step, NULL));
	pg_params_set(&p, &step);
	ck_assert_str_eq(p.sql, "SELECT 1");
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		ck_assert_pstr_eq(p.values[i], texts[i]);
		ck_assert_uint_eq(p.types[i], types[i]);
	}
	pg_params_clear(&p);
}
END_TEST

static TCase *cases(void)
{
	TCase *t = tcase_create("values");

	tcase_add_test(t, numbers_are_json_numbers);
	tcase_add_test(t, values_that_are_no_json_numbers_become_strings);
	tcase_add_test(t, booleans);
	tcase_add_test(t, bytes_in_both_formats);
	tcase_add_test(t, long_bytes_are_one_base64_text);
	tcase_add_test(t, strings_are_escaped);
	tcase_add_test(t, an_escape_is_found_at_every_position);
	tcase_add_test(t, bytes_that_are_not_utf8_do_not_spoil_the_answer);
	tcase_add_test(t, parameters_become_text_with_types);
	return t;
}

int main(void)
{
	return suite_main("pg_json", cases());
}
