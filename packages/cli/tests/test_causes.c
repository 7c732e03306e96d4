/*
 * Callers report refused statements. `celeryquay causes` must show the most
 * frequent causes from the logs alone, whichever proxies wrote the lines.
 */
#include "causes.h"

#include <celeryquay/suite.h>
#include <string.h>

/* The output for a log with these lines; freed with g_free(). */
static char *causes_of(const char *lines, bool json, struct err *err)
{
	struct causes *c = causes_create();
	GString *out = g_string_new(NULL);
	FILE *log = fmemopen((char *)lines, strlen(lines), "r");

	causes_read(c, "log", log, err);
	fclose(log);
	if (json)
		causes_write_json(c, out);
	else
		causes_write_text(c, out);
	causes_destroy(c);
	return g_string_free(out, FALSE);
}

#define LINE(id, from, code, rest)                                        \
	"{\"event\":\"statement\",\"id\":\"" id "\",\"from_proxy\":" from \
	",\"service\":\"ledger\",\"code\":\"" code "\"," rest "}\n"
#define SERVER(why) "{\"server\":\"s\",\"passed_over\":\"" why "\"}"
#define SERVERS(a, b) "\"servers\":[" SERVER(a) "," SERVER(b) "]"

START_TEST(each_cause_is_counted)
{
	struct err err = { 0 };
	char *text = causes_of(
		LINE("1", "false", "BUSY", SERVERS("at-limit", "lagging")) LINE(
			"2", "false", "BUSY", SERVERS("at-limit", "lagging"))
			LINE("3", "false", "BUSY",
			     SERVERS("lease-over", "lagging"))
				LINE("4", "false", "IN_DOUBT", SERVERS("", ""))
					LINE("5", "false", "OK",
					     SERVERS("", "")),
		false, &err);

	ck_assert(!err.code);
	ck_assert_ptr_nonnull(strstr(text, "4 statements"));
	ck_assert_ptr_nonnull(strstr(text, "2   50.0 %  replicas-behind"));
	ck_assert_ptr_nonnull(strstr(text, "1   25.0 %  primary-not-confirm"));
	ck_assert_ptr_nonnull(strstr(text, "1   25.0 %  answer-lost"));
	ck_assert_ptr_nonnull(strstr(text, "most at ledger: 2"));
	g_free(text);
}
END_TEST

/*
 * The proxy that the caller is connected to knows only that a home refused the
 * statement; the cause is in the home's line with the same id.
 */
START_TEST(cause_of_refusal_is_taken_from_home)
{
	struct err err = { 0 };
	const char *lines = LINE(
		"1", "false", "BUSY",
		"\"why\":\"the home refused it\",\"homes\":[" SERVER("") "]")
		LINE("1", "true", "BUSY",
		     SERVERS("no-connection", "not-the-primary"))
			LINE("2", "false", "BUSY",
			     "\"why\":\"the home refused it\","
			     "\"homes\":[" SERVER("") "]");
	char *text = causes_of(lines, true, &err);

	ck_assert_ptr_nonnull(strstr(text, "\"statements\":2,"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"connections-used-up\",\"statements\":1"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"home-refused\",\"statements\":1"));
	g_free(text);
}
END_TEST

START_TEST(broken_line_is_reported_and_others_count)
{
	struct err err = { 0 };
	char *text = causes_of("{\"event\":\"statement\",\n" LINE(
				       "1", "false", "ABORTED", "\"why\":\"\""),
			       false, &err);

	ck_assert_int_eq(err.code, ERR_BAD_LOG);
	ck_assert_ptr_nonnull(strstr(err.message, "log:1"));
	ck_assert_ptr_nonnull(strstr(text, "server-lost"));
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("causes");

	tcase_add_test(tc, each_cause_is_counted);
	tcase_add_test(tc, cause_of_refusal_is_taken_from_home);
	tcase_add_test(tc, broken_line_is_reported_and_others_count);
	return suite_main("causes", tc);
}
