#include "support_history.h"
#include "support_log.h"

#include <celeryquay/suite.h>
#include <string.h>

/*
 * If an acknowledged write is lost, the logs alone must show the cause: which
 * replica's confirmation made the proxy rely on that primary.
 */

static struct fake *fake;
static FILE *log_file;

static void next_write(struct fake *f, void *data)
{
	hist_start(f, data, RELAY_WRITE, "", "1");
}

/* Starts a single proxy, so that it writes all log lines, and a caller. */
static void start(uint32_t seed)
{
	struct hist_session *s;

	fake = fake_create(seed, 1, 1);
	log_file = fake_log_open(fake);
	fake_publish_lists(fake);
	fake_run(fake, 6 * USEC_PER_SEC);
	s = hist_open(fake, 0, 0, RELAY_KIND_PRIMARY);
	s->next = next_write;
	next_write(fake, s);
	fake_run(fake, USEC_PER_SEC);
}

static void end(void)
{
	ck_assert_str_eq(hist_check(fake), "");
	fake_log_close(log_file);
	fake_destroy(fake);
}

static const char *text_of(JsonObject *line, const char *key)
{
	ck_assert_msg(json_object_has_member(line, key), "no %s", key);
	return json_object_get_string_member(line, key);
}

static int64_t number_of(JsonObject *line, const char *key)
{
	ck_assert_msg(json_object_has_member(line, key), "no %s", key);
	return json_object_get_int_member(line, key);
}

/* Number of the event's lines that name replica `by` and that term. */
static unsigned count(const char *event, const char *by, int64_t term,
		      const char *why)
{
	GPtrArray *lines = fake_log_lines(log_file, event);
	unsigned i, n = 0;

	for (i = 0; i < lines->len; i++) {
		JsonObject *line = fake_log_line(lines, i);

		if (strcmp(text_of(line, "by"), by) ||
		    number_of(line, "term") != term)
			continue;
		n++;
		if (why)
			ck_assert_str_eq(text_of(line, "why"), why);
	}
	g_ptr_array_unref(lines);
	return n;
}

/* Why the server's confirmation was last ignored, "" if it never was. */
static const char *last_reason(const char *by)
{
	static char why[16];
	GPtrArray *lines = fake_log_lines(log_file, "word-left-aside");
	unsigned i;

	*why = 0;
	for (i = 0; i < lines->len; i++) {
		JsonObject *line = fake_log_line(lines, i);

		if (!strcmp(text_of(line, "by"), by))
			g_strlcpy(why, text_of(line, "why"), sizeof(why));
	}
	g_ptr_array_unref(lines);
	return why;
}

/*
 * A primary crashes and is replaced. The log names the replica whose
 * confirmation the lease on the new primary rests on, the evidence for it, and
 * how long that replica had been listed.
 */
START_TEST(test_change_logs_confirming_replica)
{
	const struct fake_server *p;
	GPtrArray *lines;
	unsigned i, n = 0;

	start(1);
	fake_crash(fake, 0);
	fake_run(fake, 5 * USEC_PER_SEC);
	p = fake_primary(fake, 0);
	ck_assert_str_ne(p->id, "s0");
	lines = fake_log_lines(log_file, "primary-confirmed");
	for (i = 0; i < lines->len; i++) {
		JsonObject *line = fake_log_line(lines, i);

		ck_assert_str_eq(text_of(line, "service"), "group0");
		ck_assert_str_ne(text_of(line, "by"), text_of(line, "server"));
		if (strcmp(text_of(line, "evidence"), "status"))
			ck_assert_str_eq(text_of(line, "evidence"), "applied");
		if (strcmp(text_of(line, "server"), p->id))
			continue;
		n++;
		ck_assert_int_eq(number_of(line, "term"), (int64_t)p->term);
		ck_assert_str_ne(text_of(line, "by"), "s0");
		ck_assert_int_ge(number_of(line, "listed_ms"), 7000);
		ck_assert_int_le(number_of(line, "asked_ms"), 750);
	}
	ck_assert_uint_ge(n, 1);
	ck_assert_uint_le(n, N_EVIDENCE_KINDS);
	g_ptr_array_unref(lines);
	end();
}
END_TEST

/*
 * Checks that no two lines of the event agree in server, term and evidence;
 * returns the number of lines.
 */
static unsigned check_no_duplicate_lines(const char *event)
{
	GPtrArray *lines = fake_log_lines(log_file, event);
	GHashTable *seen_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	unsigned i, n = lines->len;

	for (i = 0; i < n; i++) {
		JsonObject *line = fake_log_line(lines, i);
		char *key = g_strdup_printf(
			"%s of term %d by %s", text_of(line, "by"),
			(int)number_of(line, "term"),
			json_object_get_string_member_with_default(
				line, "evidence", "word"));

		ck_assert_msg(!g_hash_table_contains(seen_keys, key),
			      "%s: %s twice", event, key);
		g_hash_table_add(seen_keys, key);
	}
	g_hash_table_destroy(seen_keys);
	g_ptr_array_unref(lines);
	return n;
}

/* The number of log lines per change of primary is bounded. */
START_TEST(test_lines_of_a_change_are_bounded)
{
	GPtrArray *lines;
	unsigned i;

	start(2);
	for (i = 0; i < 4; i++) {
		const struct fake_server *p = fake_primary(fake, 0);

		fake_crash(fake, p->index);
		fake_add_replica(fake, 0);
		fake_run(fake, 6 * USEC_PER_SEC);
		fake_restart(fake, p->index);
		fake_run(fake, 6 * USEC_PER_SEC);
	}
	ck_assert_uint_ge(check_no_duplicate_lines("primary-confirmed"), 5);
	ck_assert_uint_ge(check_no_duplicate_lines("word-left-aside"), 4);
	lines = fake_log_lines(log_file, "primary");
	ck_assert_uint_eq(lines->len, 5);
	g_ptr_array_unref(lines);
	lines = fake_log_lines(log_file, "change");
	ck_assert_uint_le(lines->len, 4 * 8);
	g_ptr_array_unref(lines);
	end();
}
END_TEST

/* The log says that a newly listed server's confirmation is ignored. */
START_TEST(test_new_servers_confirmation_is_ignored)
{
	unsigned number;

	start(3);
	number = fake_add_replica(fake, 0);
	fake_run(fake, 2 * USEC_PER_SEC);
	ck_assert_uint_eq(count("word-left-aside", fake->servers[number].id, 1,
				"new"),
			  1);
	end();
}
END_TEST

/* The same for a restarted replica while the other replica is down. */
START_TEST(test_restarted_servers_confirmation_is_ignored)
{
	unsigned n;

	start(4);
	n = count("word-left-aside", "s1", 1, "new");
	fake_crash(fake, 2);
	fake_restart_at_once(fake, 1, true);
	fake_run(fake, 3 * USEC_PER_SEC);
	ck_assert_str_eq(last_reason("s1"), "restarted");
	ck_assert_uint_eq(count("word-left-aside", "s1", 1, NULL), n + 1);
	end();
}
END_TEST

/*
 * The store is unreachable and a replica is down: with an outdated list the
 * other replica's confirmation alone is ignored.
 */
START_TEST(test_confirmation_with_outdated_list_is_ignored)
{
	unsigned n;

	start(5);
	n = count("word-left-aside", "s1", 1, "new");
	fake->relays[0].deaf = true;
	fake_crash(fake, 2);
	fake_run(fake, 3500 * MS);
	ck_assert_uint_eq(count("word-left-aside", "s1", 1, NULL), n);
	fake_run(fake, 2 * USEC_PER_SEC);
	ck_assert_str_eq(last_reason("s1"), "old-list");
	ck_assert_uint_eq(count("word-left-aside", "s1", 1, NULL), n + 1);
	end();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("lease_log");

	tcase_add_test(tc, test_change_logs_confirming_replica);
	tcase_add_test(tc, test_lines_of_a_change_are_bounded);
	tcase_add_test(tc, test_new_servers_confirmation_is_ignored);
	tcase_add_test(tc, test_restarted_servers_confirmation_is_ignored);
	tcase_add_test(tc, test_confirmation_with_outdated_list_is_ignored);
	return suite_main("lease_log", tc);
}
