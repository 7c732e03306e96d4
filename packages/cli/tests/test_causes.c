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

#define WHY(text) "\"why\":\"" text "\","
#define NOT_IN_TIME WHY("no server in time; come back in 812 ms")
#define FORECAST                      \
	"\"queue\":40,"               \
	"\"expected_service_ms\":11," \
	"\"refused_for\":\"overload\",\"expected_wait_ms\":700,"
#define NO_SERVER \
	"\"queue\":2,\"refused_for\":\"no-server\",\"expected_wait\":\"no-server\","

/*
 * A queue that forecasts waits refuses statements while servers are busy or
 * unusable. Guards against taking that for a connection that was awaited.
 */
START_TEST(refusals_by_forecast_are_told_apart)
{
	struct err err = { 0 };
	char *text = causes_of(
		LINE("1", "false", "BUSY",
		     NOT_IN_TIME FORECAST SERVERS(
			     "", "")) LINE("2", "false", "BUSY",
					   NOT_IN_TIME FORECAST SERVERS(
						   "at-limit", "lagging"))
			LINE("3", "false", "BUSY",
			     NOT_IN_TIME NO_SERVER SERVERS("", ""))
				LINE("4", "false", "BUSY",
				     NOT_IN_TIME NO_SERVER SERVERS("down",
								   "down"))
					LINE("5", "false", "BUSY",
					     WHY("the account is at its limit")
						     FORECAST SERVERS("", "")),
		true, &err);

	ck_assert(!err.code);
	ck_assert_ptr_nonnull(
		strstr(text, "\"overload-forecast\",\"statements\":2"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"no-usable-server\",\"statements\":1"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"servers-down\",\"statements\":1"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"connection-awaited\",\"statements\":1"));
	g_free(text);
}
END_TEST

/*
 * The home's words are passed on where homes are pooled. Guards against
 * counting that as a connection to a home that was awaited: the cause is in the
 * home's line. A statement that was refused in the queue before the homes is of
 * that queue.
 */
START_TEST(refusal_that_is_passed_on_has_the_cause_of_the_home)
{
	static const char homes[] = "\"homes\":[" SERVER("") "]";
	struct err err = { 0 };
	char *lines = g_strconcat(
		LINE("1", "true", "BUSY", NOT_IN_TIME FORECAST SERVERS("", "")),
		"{\"event\":\"statement\",\"id\":\"1\",\"code\":\"BUSY\","
		"\"server\":\"s\",\"tries\":[]," NOT_IN_TIME,
		homes, "}\n",
		"{\"event\":\"statement\",\"id\":\"2\",\"code\":\"BUSY\","
		"\"server\":\"s\",\"tries\":[{\"server\":\"s\"}]," NOT_IN_TIME,
		homes, "}\n",
		"{\"event\":\"statement\",\"id\":\"3\",\"code\":\"BUSY\","
		"\"server\":\"\"," NOT_IN_TIME,
		homes, "}\n", NULL);
	char *text = causes_of(lines, true, &err);

	ck_assert(!err.code);
	ck_assert_ptr_nonnull(
		strstr(text, "\"overload-forecast\",\"statements\":1"));
	ck_assert_ptr_nonnull(
		strstr(text, "\"connection-awaited\",\"statements\":2"));
	g_free(text);
	g_free(lines);
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
	tcase_add_test(tc, refusals_by_forecast_are_told_apart);
	tcase_add_test(tc, refusal_that_is_passed_on_has_the_cause_of_the_home);
	tcase_add_test(tc, broken_line_is_reported_and_others_count);
	return suite_main("causes", tc);
}
