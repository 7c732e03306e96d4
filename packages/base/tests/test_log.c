#define _GNU_SOURCE
#include <celeryquay/base/log_event.h>

#include <celeryquay/suite.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <string.h>
#include <unistd.h>

static int fds[2];
static uint64_t now_us;

static uint64_t clock_us(void)
{
	return now_us;
}

static void start(const struct log_budget *budget)
{
	ck_assert_int_eq(pipe2(fds, O_CLOEXEC), 0);
	now_us += 10000000;
	log_event_set_clock(clock_us);
	log_event_set_node("node \"1\"");
	log_sink_open(fds[1], budget);
}

static void end(void)
{
	log_sink_open(-1, NULL);
	close(fds[0]);
	close(fds[1]);
}

/* Reads everything that is in the pipe now. */
static char *read_all(void)
{
	GString *out = g_string_new(NULL);
	char buf[4096];
	ssize_t n;

	fcntl(fds[0], F_SETFL, O_NONBLOCK);
	while ((n = read(fds[0], buf, sizeof(buf))) > 0)
		g_string_append_len(out, buf, n);
	fcntl(fds[0], F_SETFL, 0);
	return g_string_free(out, FALSE);
}

static unsigned count(const char *text, const char *word)
{
	unsigned n = 0;

	while ((text = strstr(text, word))) {
		text += strlen(word);
		n++;
	}
	return n;
}

static bool put(enum log_class class, const char *text)
{
	struct log_line *l = log_event(class, "test");

	if (!l)
		return false;
	log_cstr(l, "text", text);
	log_event_end(l);
	return true;
}

START_TEST(lines_are_valid_json_for_any_bytes)
{
	static const char odd[] = "a\"b\\c\n\x01\xff";
	struct log_line *l;
	JsonNode *root;
	JsonObject *o;
	char *text;

	start(NULL);
	l = log_event(LOG_STATE, "all");
	ck_assert_ptr_nonnull(l);
	log_str(l, "text", (struct str){ odd, sizeof(odd) - 2 });
	log_u64(l, "number", UINT64_MAX / 2);
	log_list_begin(l, "list");
	log_object_begin(l, NULL);
	log_bool(l, "yes", true);
	log_object_end(l);
	log_cstr(l, NULL, NULL);
	log_list_end(l);
	log_object_begin(l, "empty");
	log_object_end(l);
	log_event_end(l);
	log_sink_flush();
	text = read_all();
	ck_assert_uint_eq(count(text, "\n"), 1);
	root = json_from_string(text, NULL);
	ck_assert_msg(root != NULL, "%s", text);
	o = json_node_get_object(root);
	ck_assert_str_eq(json_object_get_string_member(o, "node"),
			 "node \"1\"");
	ck_assert_str_eq(json_object_get_string_member(o, "text"),
			 "a\"b\\c\n\x01");
	ck_assert_uint_eq(
		json_array_get_length(json_object_get_array_member(o, "list")),
		2);
	ck_assert_ptr_nonnull(json_object_get_object_member(o, "empty"));
	json_node_unref(root);
	g_free(text);
	end();
}
END_TEST

/*
 * A burst of successful statements must not use up the budget: the line which
 * says why a request was refused would be dropped.
 */
START_TEST(routine_lines_are_dropped_first)
{
	static const struct log_budget budget = { 100, 1000000 };
	unsigned i, kept[LOG_CLASS_COUNT] = { 0 };
	char *text;

	start(&budget);
	for (i = 0; i < 200; i++)
		kept[LOG_ROUTINE] += put(LOG_ROUTINE, "well");
	for (i = 0; i < 200; i++)
		kept[LOG_FAILURE] += put(LOG_FAILURE, "refused");
	for (i = 0; i < 5; i++)
		kept[LOG_STATE] += put(LOG_STATE, "primary");
	ck_assert_uint_eq(kept[LOG_ROUTINE], 50);
	ck_assert_uint_eq(kept[LOG_FAILURE], 40);
	ck_assert_uint_eq(kept[LOG_STATE], 5);
	ck_assert_uint_eq(log_sink_dropped(), 310);
	log_sink_flush();
	text = read_all();
	ck_assert_uint_eq(count(text, "\n"), 95);
	g_free(text);
	end();
}
END_TEST

/* The next second has a new budget and starts with the drop counts. */
START_TEST(dropped_lines_are_reported)
{
	static const struct log_budget budget = { 10, 1000000 };
	unsigned i;
	char *text;

	start(&budget);
	for (i = 0; i < 20; i++)
		put(LOG_FAILURE, "refused");
	now_us += 999999;
	ck_assert(!put(LOG_FAILURE, "refused"));
	now_us++;
	ck_assert(put(LOG_FAILURE, "refused"));
	log_sink_flush();
	text = read_all();
	ck_assert_uint_eq(count(text, "\n"), 11);
	ck_assert_msg(strstr(text, "\"event\":\"log-dropped\",\"routine\":0,"
				   "\"failure\":12,\"state\":0}\n") != NULL,
		      "%s", text);
	g_free(text);
	end();
}
END_TEST

/*
 * If the log collector hangs, the pipe fills. A proxy that then blocks in
 * write() would stall all of its callers.
 */
START_TEST(a_full_pipe_does_not_block)
{
	uint64_t before = log_sink_dropped();
	unsigned i, kept = 0;
	char *text;
	int flags;

	start(NULL);
	flags = fcntl(fds[1], F_GETFL);
	for (i = 0; i < 20000; i++) {
		kept += put(LOG_FAILURE, "refused for lack of a server");
		log_sink_flush();
	}
	ck_assert_uint_eq(log_sink_dropped() - before, 20000 - kept);
	ck_assert_uint_gt(kept, 1000);
	ck_assert_uint_lt(kept, 10000);
	/* The flags of the shared open file description are unchanged. */
	ck_assert_int_eq(fcntl(fds[1], F_GETFL), flags);
	text = read_all();
	ck_assert_uint_gt(strlen(text), 32768);
	g_free(text);
	log_sink_flush();
	text = read_all();
	ck_assert_uint_gt(strlen(text), 0);
	g_free(text);
	end();
}
END_TEST

/* When the collector has exited, log lines are lost but the proxy goes on. */
START_TEST(a_closed_pipe_is_not_fatal)
{
	unsigned i;

	signal(SIGPIPE, SIG_IGN);
	start(NULL);
	close(fds[0]);
	for (i = 0; i < 10000; i++) {
		put(LOG_FAILURE, "refused for lack of a server");
		log_sink_flush();
	}
	fds[0] = open("/dev/null", O_RDONLY | O_CLOEXEC);
	end();
}
END_TEST

int main(void)
{
	TCase *tests = tcase_create("log");

	tcase_add_test(tests, lines_are_valid_json_for_any_bytes);
	tcase_add_test(tests, routine_lines_are_dropped_first);
	tcase_add_test(tests, dropped_lines_are_reported);
	tcase_add_test(tests, a_full_pipe_does_not_block);
	tcase_add_test(tests, a_closed_pipe_is_not_fatal);
	return suite_main("log", tests);
}
