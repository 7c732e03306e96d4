#include "support_store.h"

#include <celeryquay/transport/kv_stamp.h>
#include <check.h>
#include <glib/gstdio.h>
#include <unistd.h>

static int64_t count_calls(const char *path)
{
	JsonObject *state = child_control(store_rig.server, "/state", NULL);
	JsonObject *calls = json_object_get_object_member(state, "calls");
	int64_t n = json_object_get_int_member_with_default(calls, path, 0);

	json_object_unref(state);
	return n;
}

START_TEST(a_key_is_created_changed_and_removed)
{
	uint64_t made = rig_put(KEY, 0, "{\"change\":\"a\"}");
	uint64_t changed;

	rig_get(KEY);
	ck_assert_uint_eq(store_rig.got.n, 1);
	ck_assert_str_eq(g_ptr_array_index(store_rig.got.keys, 0), KEY);
	ck_assert_str_eq(store_rig.got.value, "{\"change\":\"a\"}");
	ck_assert_uint_eq(store_rig.got.mod_revision, made);
	changed = rig_put(KEY, made, "{\"change\":\"b\"}");
	ck_assert_uint_gt(changed, made);
	rig_put(KEY, changed, NULL);
	rig_get(KEY);
	ck_assert_int_eq(store_rig.got.err.code, 0);
	ck_assert_uint_eq(store_rig.got.n, 0);
	ck_assert_uint_ge(store_calls(store_rig.store), 5);
}
END_TEST

/*
 * Two operators change the same profile at the same time. The second one must
 * not overwrite the first one's change and must get the stored value.
 */
START_TEST(of_two_concurrent_changes_the_second_gets_the_stored_value)
{
	uint64_t made = rig_put(KEY, 0, "{\"change\":\"first\"}");

	rig_cas(KEY, 0, "{\"change\":\"second\"}");
	ck_assert_int_eq(store_rig.got.err.code, 0);
	ck_assert(!store_rig.got.took_effect);
	ck_assert_str_eq(store_rig.got.value, "{\"change\":\"first\"}");
	ck_assert_uint_eq(store_rig.got.mod_revision, made);
	rig_cas(KEY "2", made, "{}");
	ck_assert(!store_rig.got.took_effect);
	ck_assert_uint_eq(store_rig.got.n, 0);
}
END_TEST

START_TEST(a_range_has_only_keys_with_the_prefix)
{
	rig_put("/celeryquay/v0/x", 0, "{}");
	rig_put(PREFIX "b", 0, "{}");
	rig_put(PREFIX "a", 0, "{}");
	rig_put("/celeryquay/v2/x", 0, "{}");
	rig_range(PREFIX);
	ck_assert_uint_eq(store_rig.got.n, 2);
	ck_assert_str_eq(g_ptr_array_index(store_rig.got.keys, 0), PREFIX "a");
	ck_assert_str_eq(g_ptr_array_index(store_rig.got.keys, 1), PREFIX "b");
	ck_assert_uint_gt(store_rig.got.revision, 0);
}
END_TEST

static char *write_load_file(unsigned n)
{
	GString *text = g_string_new("{");
	char *path;
	unsigned i;
	int fd = g_file_open_tmp("cq-store-XXXXXX.json", &path, NULL);

	ck_assert_int_ge(fd, 0);
	close(fd);
	for (i = 0; i < n; i++)
		g_string_append_printf(text, "%s\"" PREFIX "%04u\":%u",
				       i ? "," : "", i, i);
	g_string_append_c(text, '}');
	ck_assert(
		g_file_set_contents(path, text->str, (gssize)text->len, NULL));
	g_string_free(text, TRUE);
	return path;
}

START_TEST(a_long_range_is_read_in_pages)
{
	char *load = write_load_file(1203);
	unsigned i;

	child_kill(store_rig.server);
	store_rig_start_server(load);
	store_rig_open(NULL, TIMEOUT_US);
	rig_range(PREFIX);
	ck_assert_uint_eq(store_rig.got.n, 1203);
	for (i = 0; i < store_rig.got.n; i++) {
		char *key = g_strdup_printf(PREFIX "%04u", i);

		ck_assert_str_eq(g_ptr_array_index(store_rig.got.keys, i), key);
		g_free(key);
	}
	ck_assert_uint_eq(store_calls(store_rig.store), 3);
	g_unlink(load);
	g_free(load);
}
END_TEST

/*
 * The store makes an operator's change, but the answer is lost. The call must
 * report an unknown outcome and must not be retried without the user's
 * knowledge. The user reads the key and finds its change id there.
 */
/* The store comes back from a copy of its first revision. */
static void restore_first(void)
{
	store_rig_control("/restore", "{\"revision\": 1}");
}

/* Fails if a revision given out again is taken for the one before. */
START_TEST(revisions_of_a_new_era_are_higher)
{
	uint64_t first = rig_put(KEY, 0, "1"), again;

	restore_first();
	again = rig_put(KEY, 0, "2");
	ck_assert_uint_gt(again, first);
	ck_assert_uint_eq(kv_stamp_revision(again), kv_stamp_revision(first));
	rig_get(KEY);
	ck_assert_uint_eq(store_rig.got.mod_revision, again);
}
END_TEST

/* Fails if a write goes through on a revision that was given out again. */
START_TEST(a_write_on_a_revision_of_an_earlier_era_is_refused)
{
	uint64_t first = rig_put(KEY, 0, "1");

	restore_first();
	rig_put(KEY, 0, "2");
	rig_cas(KEY, first, "3");
	ck_assert_int_eq(store_rig.got.err.code, 0);
	ck_assert(!store_rig.got.took_effect);
	ck_assert_str_eq(store_rig.got.value, "2");
}
END_TEST

START_TEST(a_write_whose_answer_is_lost_has_an_unknown_outcome)
{
	rig_put(KEY, 0, "{\"change\":\"a\"}");
	store_rig_control("/lose_answers",
			  "{\"count\": 1, \"path\": \"/v3/kv/txn\"}");
	rig_cas(KEY, store_rig.got.revision, "{\"change\":\"b\"}");
	ck_assert_int_eq(store_rig.got.err.code, ERR_STORE_DOWN);
	ck_assert_int_eq(err_info(store_rig.got.err.code)->outcome,
			 ERR_OUTCOME_UNKNOWN);
	ck_assert_int_eq(count_calls("/v3/kv/txn"), 2);
	rig_get(KEY);
	ck_assert_str_eq(store_rig.got.value, "{\"change\":\"b\"}");
}
END_TEST

static void check_outage(const char *body)
{
	store_rig_open(NULL, SHORT_TIMEOUT_US);
	store_rig_control("/outage", body);
	rig_get(KEY);
	ck_assert_int_eq(store_rig.got.err.code, ERR_STORE_DOWN);
	rig_cas(KEY, 0, "{}");
	ck_assert_int_eq(store_rig.got.err.code, ERR_STORE_DOWN);
	store_rig_control("/outage", "{\"mode\": \"none\"}");
	store_rig_open(NULL, TIMEOUT_US);
	rig_get(KEY);
	ck_assert_int_eq(store_rig.got.err.code, 0);
}

START_TEST(a_store_that_refuses_connections_is_down)
{
	check_outage("{\"mode\": \"refuse\"}");
}
END_TEST

START_TEST(a_store_that_hangs_is_down)
{
	check_outage("{\"mode\": \"hang\"}");
}
END_TEST

START_TEST(a_store_without_leader_is_down)
{
	check_outage("{\"mode\": \"unavailable\"}");
}
END_TEST

START_TEST(a_call_that_is_not_understood_is_refused)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u/elsewhere",
				    child_port(store_rig.server, "http"));

	store_rig_open(url, TIMEOUT_US);
	rig_get(KEY);
	ck_assert_int_eq(store_rig.got.err.code, ERR_STORE_REFUSED);
	g_free(url);
}
END_TEST

/* One of the store's nodes is down; the call must succeed on the other one. */
START_TEST(a_call_to_an_unreachable_url_tries_the_next_url)
{
	store_rig_open("http://127.0.0.1:1", TIMEOUT_US);
	rig_put(KEY, 0, "{}");
	ck_assert_uint_eq(store_calls(store_rig.store), 2);
	rig_get(KEY);
	ck_assert_uint_eq(store_rig.got.n, 1);
	ck_assert_uint_eq(store_calls(store_rig.store), 3);
}
END_TEST

START_TEST(after_a_timeout_the_next_call_uses_the_next_url)
{
	struct child *other;
	char *url;

	other = store_rig.server;
	store_rig_start_server(NULL);
	url = g_strdup_printf("http://127.0.0.1:%u", child_port(other, "http"));
	json_object_unref(
		child_control(other, "/outage", "{\"mode\": \"hang\"}"));
	store_rig_open(url, SHORT_TIMEOUT_US);
	rig_get(KEY);
	ck_assert_int_eq(store_rig.got.err.code, ERR_STORE_DOWN);
	rig_get(KEY);
	ck_assert_int_eq(store_rig.got.err.code, 0);
	child_kill(other);
	g_free(url);
}
END_TEST

static TCase *call_tests(void)
{
	TCase *t = tcase_create("calls");

	tcase_set_timeout(t, 300);
	tcase_add_checked_fixture(t, store_rig_setup, store_rig_teardown);
	tcase_add_test(t, a_key_is_created_changed_and_removed);
	tcase_add_test(
		t, of_two_concurrent_changes_the_second_gets_the_stored_value);
	tcase_add_test(t, revisions_of_a_new_era_are_higher);
	tcase_add_test(t, a_write_on_a_revision_of_an_earlier_era_is_refused);
	tcase_add_test(t, a_range_has_only_keys_with_the_prefix);
	tcase_add_test(t, a_long_range_is_read_in_pages);
	tcase_add_test(t, a_write_whose_answer_is_lost_has_an_unknown_outcome);
	tcase_add_test(t, a_store_that_refuses_connections_is_down);
	tcase_add_test(t, a_store_that_hangs_is_down);
	tcase_add_test(t, a_store_without_leader_is_down);
	tcase_add_test(t, a_call_that_is_not_understood_is_refused);
	tcase_add_test(t, a_call_to_an_unreachable_url_tries_the_next_url);
	tcase_add_test(t, after_a_timeout_the_next_call_uses_the_next_url);
	return t;
}

int main(void)
{
	Suite *s = suite_create("store");
	SRunner *runner;
	int failed;

	suite_add_tcase(s, call_tests());
	runner = srunner_create(s);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
