/*
 * A caller reports a failed statement by its id. The proxies' logs alone must
 * be enough to find the cause.
 */
#include "explain.h"
#include "support_history.h"
#include "support_log.h"

#include <celeryquay/suite.h>
#include <string.h>
#include <sys/resource.h>

static struct fake *fake;
static FILE *log_file;

static void start(unsigned n_relays, bool homes)
{
	fake = fake_create(3, n_relays, 1);
	log_file = fake_log_open(fake);
	fake->homes = homes;
	fake_publish_lists(fake);
	fake_run(fake, USEC_PER_SEC);
}

static void end(void)
{
	fake_log_close(log_file);
	ck_assert_str_eq(hist_check(fake), "");
	fake_destroy(fake);
}

/* The output of `celeryquay explain` for the last statement of a caller. */
static char *explain_last(void)
{
	char *id = hist_last_id(fake);
	struct explain *e = explain_create(id);
	GString *out = g_string_new(NULL);
	struct err err = { 0 };

	fake_log_rewind(log_file);
	explain_read(e, "log", log_file, &err);
	ck_assert_msg(!err.code, "%s", err.message);
	ck_assert_msg(explain_found(e), "no line has the id %s", id);
	explain_write_text(e, out);
	explain_destroy(e);
	g_free(id);
	return g_string_free(out, FALSE);
}

static void check_says(const char *text, const char *cause)
{
	ck_assert_msg(strstr(text, cause) != NULL, "no \"%s\" in:\n%s", cause,
		      text);
}

/*
 * A write is refused: the primary's process died a moment before, and no
 * replica is promoted yet.
 */
START_TEST(write_refused_without_primary)
{
	struct hist_session *s;
	char *text;

	start(2, false);
	s = hist_open(fake, 0, 0, RELAY_KIND_PRIMARY);
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"), RELAY_OK);
	fake_crash(fake, 0);
	fake_run(fake, 400 * MS);
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"), RELAY_BUSY);
	text = explain_last();
	check_says(text, "BUSY (2001), not_run: no server could take it");
	check_says(text, "come back in");
	check_says(text, "primary: server=s0");
	check_says(text, "failing_ms=");
	check_says(text, "servers: server=s0 passed_over=down");
	check_says(text, "ms before: server-lost service=group0 server=s0 "
			 "why=refused");
	check_says(text, "ms before: change service=group0 step=");
	g_free(text);
	end();
}
END_TEST

/*
 * A read is refused: all replicas are 3 s behind, the profile allows 0.3 s, and
 * this proxy alone can't reach the primary.
 */
START_TEST(read_refused_without_fresh_replicas)
{
	struct hist_session *s, *w;
	char *text;
	unsigned i;

	start(2, false);
	s = hist_open(fake, 0, 0, RELAY_KIND_BOUNDED);
	w = hist_open(fake, 1, 0, RELAY_KIND_PRIMARY);
	fake->servers[1].lag_us = 3 * USEC_PER_SEC;
	fake->servers[2].lag_us = 3 * USEC_PER_SEC;
	for (i = 0; i < 20; i++) {
		hist_run(fake, w, RELAY_WRITE, "", "1");
		hist_run(fake, s, RELAY_READ, "", "1");
	}
	fake_cut(fake, 0, 0, true);
	for (i = 0; i < 5; i++)
		hist_run(fake, w, RELAY_WRITE, "", "1");
	for (i = 0; i < 40; i++)
		if (hist_run(fake, s, RELAY_READ, "", "1") != RELAY_OK)
			break;
	text = explain_last();
	check_says(text, "not_run");
	check_says(text, "min_position=");
	check_says(text, "server=s1 passed_over=");
	check_says(text, "kind=bounded");
	if (!strstr(text, "passed_over=lagging"))
		check_says(text, "passed_over=no-known-position");
	g_free(text);
	end();
}
END_TEST

/*
 * A write is refused: a new server is listed and both old replicas stop
 * answering. The primary is up, but only the new server confirms it, and the
 * confirmation of a new server doesn't count yet.
 */
START_TEST(write_refused_when_confirmation_does_not_count)
{
	struct hist_session *s;
	unsigned number;
	char *text;

	start(2, false);
	fake_run(fake, 6 * USEC_PER_SEC);
	s = hist_open(fake, 0, 0, RELAY_KIND_PRIMARY);
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"), RELAY_OK);
	number = fake_add_replica(fake, 0);
	fake->servers[1].dark = fake->servers[2].dark = true;
	fake_run(fake, 1500 * MS);
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"), RELAY_BUSY);
	text = explain_last();
	check_says(text, "servers: server=s0 passed_over=lease-over");
	check_says(text, "lease_left_ms=0");
	check_says(text, "ms before: primary-confirmed service=group0 "
			 "server=s0 term=1 by=s");
	check_says(text, "ms before: word-left-aside service=group0 "
			 "primary=s0 term=1 by=s3 why=new");
	ck_assert_uint_eq(number, 3);
	g_free(text);
	end();
}
END_TEST

/* The answer to a write is lost, so that its outcome is not known. */
START_TEST(write_in_doubt)
{
	struct hist_session *s;
	char *text;

	start(2, false);
	s = hist_open(fake, 0, 0, RELAY_KIND_PRIMARY);
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"), RELAY_OK);
	fake->lose_answers = 1;
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"),
			 RELAY_IN_DOUBT);
	text = explain_last();
	check_says(text, "IN_DOUBT (2009), in_doubt: a write was sent");
	check_says(text, "why=the server's answer is lost");
	check_says(text, "sent=true server=s0");
	check_says(text, "proxy connection-lost");
	g_free(text);
	end();
}
END_TEST

/* A transaction is still open when its proxy ends a planned stop. */
START_TEST(transaction_cut_at_planned_stop)
{
	struct hist_session *s;
	char *text;

	start(2, false);
	s = hist_open(fake, 0, 0, RELAY_KIND_PRIMARY);
	ck_assert_int_eq(hist_run(fake, s, RELAY_BEGIN, "", ""), RELAY_OK);
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"), RELAY_OK);
	relay_stop(fake->relays[0].relay, fake->now_us);
	relay_end(fake->relays[0].relay, fake->now_us);
	text = explain_last();
	check_says(text, "proxy cut");
	check_says(text, "why=the proxy stopped in_flight=false "
			 "in_transaction=true server=s0");
	g_free(text);
	end();
}
END_TEST

/* The caller's proxy and the home that refused the statement both log it. */
START_TEST(statement_through_home)
{
	struct hist_session *s;
	char *text;
	unsigned i;

	start(7, true);
	for (i = 0; i < fake->n_relays; i++) {
		const struct rservice *v = g_hash_table_lookup(
			fake->relays[i].relay->services, "group0");

		if (!v->is_home)
			break;
	}
	ck_assert_uint_lt(i, fake->n_relays);
	s = hist_open(fake, i, 0, RELAY_KIND_PRIMARY);
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"), RELAY_OK);
	fake_crash(fake, 0);
	fake_run(fake, 400 * MS);
	ck_assert_int_eq(hist_run(fake, s, RELAY_WRITE, "", "1"), RELAY_BUSY);
	text = explain_last();
	check_says(text, "from_proxy=true");
	check_says(text, "from_proxy=false");
	check_says(text, "why=the home refused it");
	check_says(text, "passed_over=down");
	g_free(text);
	end();
}
END_TEST

static void read_text(struct explain *e, const char *text, size_t len,
		      struct err *err)
{
	FILE *f = tmpfile();

	fwrite(text, 1, len, f);
	rewind(f);
	explain_read(e, "proxy.log", f, err);
	fclose(f);
}

static void check_error(const char *text, const char *message, bool found)
{
	struct explain *e = explain_create("a1");
	struct err err = { 0 };

	read_text(e, text, strlen(text), &err);
	ck_assert_int_eq(err.code, *message ? ERR_BAD_LOG : ERR_NONE);
	ck_assert_str_eq(err.message, message);
	ck_assert_int_eq(explain_found(e), found);
	explain_destroy(e);
}

#define GOOD "{\"id\":\"a1\",\"event\":\"statement\"}\n"

/*
 * A log collector cut a line off, or mixed in other text. The error names the
 * file and the line, and the other lines are still read.
 */
START_TEST(broken_logs_are_reported_by_file_and_line)
{
	check_error(GOOD, "", true);
	check_error("", "", false);
	check_error("Oct 3 host celeryquay: " GOOD, "", true);
	check_error(GOOD "\r\n\n", "", true);
	check_error("{\"id\":\"a1\"}x\n" GOOD, "proxy.log:1: not a JSON object",
		    true);
	check_error(GOOD "\n{\"id\":\"a1\",}\n",
		    "proxy.log:3: not a JSON object", true);
	check_error("hello\n", "proxy.log:1: not a JSON object", false);
	check_error(GOOD "{\"id\":\"a1\",\"eve",
		    "proxy.log:2: the file ends in the middle of the line",
		    true);
	check_error("{\"id\":\"a12\",\"why\":\"a1\"}\n", "", false);
	check_error("{\"id\":[\"a1\"],\"node\":7,\"event\":{}}\n", "", false);
}
END_TEST

/* Lines are sorted by their time, not by the order of the files. */
START_TEST(lines_are_sorted_by_time)
{
	static const char later[] =
		"{\"time\":\"2026-01-01T00:00:02.000Z\",\"node\":\"p1\","
		"\"event\":\"statement\",\"id\":\"a1\",\"code\":\"BUSY\"}\n";
	static const char sooner[] =
		"{\"time\":\"2026-01-01T00:00:01.000Z\",\"node\":\"p2\","
		"\"event\":\"config\",\"version\":7,\"steady_ms\":5}\n"
		"{\"time\":\"2026-01-01T00:00:01.500Z\",\"node\":\"p2\","
		"\"event\":\"statement\",\"id\":\"a1\",\"code\":\"OK\","
		"\"steady_ms\":505,\"from_proxy\":true}\n";
	struct explain *e = explain_create("a1");
	GString *out = g_string_new(NULL);
	struct err err = { 0 };
	JsonNode *root;

	read_text(e, later, strlen(later), &err);
	read_text(e, sooner, strlen(sooner), &err);
	explain_write_text(e, out);
	check_says(out->str, "a1: BUSY");
	check_says(out->str, "believed, 500 ms before: config version=7");
	ck_assert(strstr(out->str, "p1 statement") >
		  strstr(out->str, "p2 statement"));
	g_string_truncate(out, 0);
	explain_write_json(e, out);
	root = json_from_string(out->str, NULL);
	ck_assert_ptr_nonnull(root);
	ck_assert_str_eq(json_object_get_string_member(
				 json_node_get_object(root), "code"),
			 "BUSY");
	json_node_unref(root);
	g_string_free(out, TRUE);
	explain_destroy(e);
}
END_TEST

/*
 * A proxy was killed and restarted. The state that it had logged before, such
 * as a server that was down, does not explain a statement after the restart.
 */
START_TEST(restart_discards_earlier_state)
{
	static const char text[] =
		"{\"node\":\"p1\",\"event\":\"server-lost\",\"server\":\"s0\"}\n"
		"{\"node\":\"p2\",\"event\":\"started\"}\n"
		"{\"node\":\"p1\",\"event\":\"started\"}\n"
		"{\"node\":\"p1\",\"event\":\"primary\",\"service\":\"v\"}\n"
		"{\"node\":\"p1\",\"event\":\"primary\",\"service\":\"w\"}\n"
		"{\"node\":\"p1\",\"event\":\"proxy-lost\",\"database\":\"d\"}\n"
		"{\"node\":\"p1\",\"event\":\"statement\",\"id\":\"a1\","
		"\"service\":\"v\",\"database\":\"c\",\"code\":\"BUSY\"}\n";
	struct explain *e = explain_create("a1");
	GString *out = g_string_new(NULL);
	struct err err = { 0 };

	read_text(e, text, strlen(text), &err);
	explain_write_text(e, out);
	check_says(out->str, "started");
	check_says(out->str, "primary service=v");
	ck_assert(!strstr(out->str, "server-lost"));
	ck_assert(!strstr(out->str, "service=w"));
	ck_assert(!strstr(out->str, "proxy-lost"));
	g_string_free(out, TRUE);
	explain_destroy(e);
}
END_TEST

/* Bounds the growth; AddressSanitizer holds back 256 MB of freed memory. */
#ifdef __SANITIZE_ADDRESS__
#define GROWTH_MAX_KB (320 * 1024)
#else
#define GROWTH_MAX_KB 8192
#endif

static long peak_kb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return usage.ru_maxrss;
}

/* The log of many proxies for a day does not fit in the memory of a laptop. */
START_TEST(memory_does_not_grow_with_the_log)
{
	struct explain *e = explain_create("a1");
	FILE *f = tmpfile();
	struct err err = { 0 };
	unsigned i;
	long before;

	for (i = 0; i < 300000; i++)
		fprintf(f,
			"{\"time\":\"2026-01-01T00:00:02.000Z\",\"node\":"
			"\"p%u\",\"steady_ms\":%u,\"event\":\"%s\",\"id\":"
			"\"b%u\",\"version\":%u}\n",
			i % 50, i, i % 20 ? "statement" : "config", i, i);
	fputs(GOOD, f);
	rewind(f);
	before = peak_kb();
	explain_read(e, "log", f, &err);
	ck_assert_int_eq(err.code, ERR_NONE);
	ck_assert(explain_found(e));
	ck_assert_int_lt(peak_kb() - before, GROWTH_MAX_KB);
	fclose(f);
	explain_destroy(e);
}
END_TEST

/* Operators look codes up in docs/errors.md, so it must list each of them. */
START_TEST(docs_list_every_code)
{
	char *page;
	unsigned i;

	ck_assert(g_file_get_contents(CQ_SOURCE "/docs/errors.md", &page, NULL,
				      NULL));
	for (i = 0; i < RELAY_CODES; i++) {
		const struct relay_code_info *info = relay_code_info(i);
		char *row = g_strdup_printf("| %u | `%s` | %s | %s |",
					    info->number, info->name,
					    relay_outcome_name(info->outcome),
					    info->meaning);

		ck_assert_msg(strstr(page, row) != NULL, "missing: %s", row);
		ck_assert_ptr_eq(relay_code_find(info->name), info);
		g_free(row);
	}
	g_free(page);
}
END_TEST

/* The output of `celeryquay explain 7` for these lines. */
static char *explain_lines(const char *lines)
{
	struct explain *e = explain_create("7");
	GString *out = g_string_new(NULL);
	FILE *log = fmemopen((char *)lines, strlen(lines), "r");
	struct err err = { 0 };

	explain_read(e, "log", log, &err);
	fclose(log);
	ck_assert_msg(!err.code, "%s", err.message);
	explain_write_text(e, out);
	explain_destroy(e);
	return g_string_free(out, FALSE);
}

#define AT(time, node) "{\"time\":\"" time "\",\"node\":\"" node "\","
#define REFUSAL(from)                                                \
	"\"event\":\"statement\",\"id\":\"7\",\"from_proxy\":" from  \
	",\"service\":\"group0\",\"code\":\"BUSY\",\"number\":2001," \
	"\"outcome\":\"not_run\","                                   \
	"\"why\":\"no server in time; come back in 812 ms\""

/*
 * A home refuses a statement by the forecast of its queue, and the proxy that
 * the caller is connected to passes that on. Guards against an answer that says
 * BUSY and leaves it to the reader to find the home's line.
 */
START_TEST(refusal_by_forecast_is_named)
{
	char *text = explain_lines(AT(
		"1",
		"home") "\"event\":\"homes-pooled\",\"service\":"
			"\"group0\",\"pooled\":true}\n" AT("2", "home") REFUSAL(
				"true") ",\"queue\":40,\"expected_service_ms\":11,"
					"\"refused_for\":\"overload\",\"expected_wait_ms\":700}\n" AT(
						"3", "entry")
						REFUSAL("false") "}\n");

	check_says(text, "cause: overload at home: with 40 statements in the "
			 "queue it was expected to wait for 700 ms and to take "
			 "11 ms\n");
	check_says(text, "homes-pooled service=group0 pooled=true");
	g_free(text);
	text = explain_lines(AT("2", "home") REFUSAL(
		"false") ",\"queue\":0,\"expected_service_ms\":11,"
			 "\"refused_for\":\"no-server\",\"expected_wait\":\"no-server\"}\n");
	check_says(text, "cause: no usable server at home:");
	g_free(text);
	text = explain_lines(AT("2", "home")
				     REFUSAL("false") ",\"waiting\":4}\n");
	ck_assert_ptr_null(strstr(text, "cause:"));
	g_free(text);
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("explain");

	tcase_add_test(tests, write_refused_without_primary);
	tcase_add_test(tests, read_refused_without_fresh_replicas);
	tcase_add_test(tests, write_refused_when_confirmation_does_not_count);
	tcase_add_test(tests, write_in_doubt);
	tcase_add_test(tests, transaction_cut_at_planned_stop);
	tcase_add_test(tests, statement_through_home);
	tcase_add_test(tests, broken_logs_are_reported_by_file_and_line);
	tcase_add_test(tests, lines_are_sorted_by_time);
	tcase_add_test(tests, restart_discards_earlier_state);
	tcase_add_test(tests, memory_does_not_grow_with_the_log);
	tcase_add_test(tests, docs_list_every_code);
	tcase_add_test(tests, refusal_by_forecast_is_named);
	return suite_main("explain", tests);
}
