#include <celeryquay/base/clock.h>
#include <celeryquay/base/counter.h>
#include <celeryquay/base/err.h>
#include <celeryquay/base/settings.h>
#include <celeryquay/base/str.h>

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

START_TEST(str_reads_numbers)
{
	uint64_t n = 7;

	ck_assert(str_to_u64(STR("18446744073709551615"), &n));
	ck_assert(n == UINT64_MAX);
	ck_assert(!str_to_u64(STR("18446744073709551616"), &n));
	ck_assert(!str_to_u64(STR(""), &n));
	ck_assert(!str_to_u64(STR("-1"), &n));
	ck_assert(!str_to_u64(STR("1 "), &n));
	ck_assert(n == UINT64_MAX);
}
END_TEST

START_TEST(str_writes_numbers)
{
	char text[STR_U64_SIZE];
	char *joined;

	ck_assert_uint_eq(str_put_u64(text, 0), 1);
	ck_assert_str_eq(text, "0");
	ck_assert_uint_eq(str_put_u64(text, UINT64_MAX), 20);
	ck_assert_str_eq(text, "18446744073709551615");
	joined = str_join(STR("a"), '/', STR(""));
	ck_assert_str_eq(joined, "a/");
	g_free(joined);
	joined = str_join(STR(""), '/', STR("bc"));
	ck_assert_str_eq(joined, "/bc");
	g_free(joined);
}
END_TEST

START_TEST(str_orders_as_bytes)
{
	ck_assert(str_cmp(STR("ab"), STR("abc")) < 0);
	ck_assert(str_cmp(STR("b"), STR("abc")) > 0);
	ck_assert(str_cmp(STR("a\0b"), STR("a\0b")) == 0);
	ck_assert(!str_eq(STR("a\0b"), STR("a\0c")));
	ck_assert(str_starts_with(STR("abc"), STR("ab")));
}
END_TEST

START_TEST(err_rows_are_ordered_and_unique)
{
	unsigned i, n;
	const struct err_info *table = err_table(&n);

	for (i = 1; i < n; i++)
		ck_assert_int_lt(table[i - 1].code, table[i].code);
}
END_TEST

START_TEST(err_prefix_keeps_the_code)
{
	struct err err = { 0 };

	err_set(&err, ERR_BAD_FIELD, "%s", "x");
	err_prefix(&err, "statement %d: ", 3);
	ck_assert_int_eq(err.code, ERR_BAD_FIELD);
	ck_assert_str_eq(err.message, "statement 3: x");
}
END_TEST

/*
 * Guards against a code that was added in the source only: an operator who
 * looks up an answer's number in docs/errors.md would find no row, or another
 * name.
 */
START_TEST(err_page_lists_every_row)
{
	unsigned i, n;
	const struct err_info *table = err_table(&n);
	char *page;

	ck_assert(g_file_get_contents(CQ_SOURCE "/docs/errors.md", &page, NULL,
				      NULL));
	for (i = 0; i < n; i++) {
		char *row = g_strdup_printf("| %d | `%s` | %d | %s | %s |",
					    table[i].code, table[i].name,
					    table[i].http_status,
					    err_outcome_name(table[i].outcome),
					    table[i].meaning);

		ck_assert_msg(strstr(page, row) != NULL, "missing: %s", row);
		g_free(row);
	}
	g_free(page);
}
END_TEST

static struct settings *read_json(const char *json, struct err *err)
{
	return settings_from_data("file.json", json, strlen(json), err);
}

START_TEST(settings_name_file_key_and_reason)
{
	struct err err = { 0 };
	struct settings *s = read_json("{\"port\":\"80\",\"prot\":1}", &err);
	int64_t port;

	ck_assert(!settings_int(s, "port", 0, 65535, 0, &port, &err));
	ck_assert_str_eq(err.message,
			 "file.json: port: expected a whole number");
	ck_assert(!settings_reject_unknown(s, &err));
	ck_assert_str_eq(err.message, "file.json: prot: unknown key");
	settings_destroy(s);
}
END_TEST

START_TEST(settings_check_ranges_and_lists)
{
	struct err err = { 0 };
	struct settings *s = read_json("{\"n\":70000,\"l\":[\"a\",1]}", &err);
	char **list = NULL;
	int64_t n;

	ck_assert(!settings_int(s, "n", 0, 65535, 0, &n, &err));
	ck_assert(strstr(err.message, "70000 is not from 0 to 65535"));
	ck_assert(!settings_str_list(s, "l", &list, &err));
	ck_assert_ptr_null(list);
	ck_assert(!settings_int(s, "absent", 0, 9, SETTINGS_REQUIRED_INT, &n,
				&err));
	ck_assert_str_eq(err.message, "file.json: absent: missing");
	settings_destroy(s);
}
END_TEST

START_TEST(settings_take_amounts_with_a_fraction)
{
	struct err err = { 0 };
	struct settings *s =
		read_json("{\"a\":200,\"b\":10.9,\"c\":-1,\"d\":\"1\"}", &err);
	unsigned n;

	ck_assert(settings_uint_truncated(s, "a", 0, &n, &err));
	ck_assert_uint_eq(n, 200);
	ck_assert(settings_uint_truncated(s, "b", 0, &n, &err));
	ck_assert_uint_eq(n, 10);
	ck_assert(settings_uint_truncated(s, "absent", 7, &n, &err));
	ck_assert_uint_eq(n, 7);
	ck_assert(!settings_uint_truncated(s, "c", 0, &n, &err));
	ck_assert(strstr(err.message, "c: -1 is not from 0 to"));
	ck_assert(!settings_uint_truncated(s, "d", 0, &n, &err));
	ck_assert_str_eq(err.message, "file.json: d: expected a number");
	settings_destroy(s);
}
END_TEST

START_TEST(settings_refuse_non_objects)
{
	struct err err = { 0 };

	ck_assert_ptr_null(read_json("[1]", &err));
	ck_assert_int_eq(err.code, ERR_BAD_SETTINGS);
	ck_assert_ptr_null(read_json("{", &err));
	ck_assert_ptr_null(read_json("", &err));
}
END_TEST

/*
 * The JSON library recurses for each level of nesting. A profile of 100,000
 * brackets in the store would overflow the stack and crash every proxy that
 * reads it.
 */
START_TEST(settings_refuse_deep_nesting)
{
	char *deep = g_strnfill(100000, '[');
	struct err err = { 0 };
	struct settings *s;

	ck_assert_ptr_null(read_json(deep, &err));
	ck_assert_str_eq(err.message, "file.json: byte 32: nested too deeply");
	s = read_json("{\"a\":\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\\\"[\"}",
		      &err);
	ck_assert_ptr_nonnull(s);
	settings_destroy(s);
	g_free(deep);
}
END_TEST

/* Fails if a long job does not sleep and so starves other threads. */
START_TEST(a_paced_job_sleeps_for_as_long_as_it_runs)
{
	uint64_t started_at_us = clock_boot_us(), busy_us = 0, busy_since_us;
	struct pace pace = { 0 };

	pace_step(NULL);
	while (busy_us < 40000) {
		busy_since_us = clock_boot_us();
		while (clock_boot_us() < busy_since_us + 1000)
			;
		busy_us += 1000;
		/* The next step is the 16th, which reads the clock. */
		pace.steps = 15;
		pace_step(&pace);
	}
	ck_assert_uint_ge(clock_boot_us() - started_at_us,
			  40000 + 40000 * 3 / 4);
}
END_TEST

START_TEST(pacing_does_not_change_what_is_read)
{
	const char *text = "{\"list\": [{\"n\": 1}, {\"n\": 2}], \"m\": 3}";
	struct pace pace = { 0 };
	struct err err = { 0 };
	struct settings *s = settings_from_data_paced(
		"item", text, strlen(text), &pace, &err);
	int64_t m = 0;

	ck_assert_ptr_nonnull(s);
	ck_assert_uint_eq(settings_list_length(s, "list"), 2);
	ck_assert(settings_int(s, "m", 0, 9, 0, &m, &err));
	ck_assert_int_eq(m, 3);
	ck_assert_uint_ge(pace.steps, 2);
	settings_destroy(s);
}
END_TEST

START_TEST(counters_write_one_family_each)
{
	struct counter_set *set = counter_set_create();
	struct counter *a = counter_get(set, COUNTER_COUNT, "reads_total",
					"role=\"replica\"", "Reads.");
	struct counter *h =
		counter_get(set, COUNTER_HISTOGRAM, "seconds", NULL, "Time.");
	GString *out = g_string_new(NULL);

	counter_add(a, 2);
	ck_assert_ptr_eq(a, counter_get(set, COUNTER_COUNT, "reads_total",
					"role=\"replica\"", "Reads."));
	counter_get(set, COUNTER_COUNT, "reads_total", "role=\"primary\"",
		    "Reads.");
	counter_observe_us(h, 700);
	counter_write(set, out);
	ck_assert(strstr(out->str, "# TYPE reads_total counter\n"
				   "reads_total{role=\"replica\"} 2\n"
				   "reads_total{role=\"primary\"} 0\n"));
	ck_assert(strstr(out->str, "seconds_bucket{le=\"0.001\"} 1\n"));
	ck_assert(strstr(out->str, "seconds_bucket{le=\"0.0005\"} 0\n"));
	ck_assert(strstr(out->str, "seconds_count{} 1\n"));
	g_string_free(out, TRUE);
	counter_set_destroy(set);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("base");

	tcase_add_test(tests, str_reads_numbers);
	tcase_add_test(tests, str_writes_numbers);
	tcase_add_test(tests, str_orders_as_bytes);
	tcase_add_test(tests, err_rows_are_ordered_and_unique);
	tcase_add_test(tests, err_prefix_keeps_the_code);
	tcase_add_test(tests, err_page_lists_every_row);
	tcase_add_test(tests, settings_name_file_key_and_reason);
	tcase_add_test(tests, settings_check_ranges_and_lists);
	tcase_add_test(tests, settings_take_amounts_with_a_fraction);
	tcase_add_test(tests, settings_refuse_non_objects);
	tcase_add_test(tests, settings_refuse_deep_nesting);
	tcase_add_test(tests, a_paced_job_sleeps_for_as_long_as_it_runs);
	tcase_add_test(tests, pacing_does_not_change_what_is_read);
	tcase_add_test(tests, counters_write_one_family_each);
	return suite_main("base", tests);
}
