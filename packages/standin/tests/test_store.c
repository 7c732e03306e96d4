#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <celeryquay/suite.h>

#include "../src/store_lease.h"
#include "store_fixture.h"

START_TEST(keys_are_put_read_and_deleted)
{
	static const char kv[] = "{\"key\":\"YQ==\",\"create_revision\":\"2\","
				 "\"mod_revision\":\"3\",\"version\":\"2\","
				 "\"value\":\"Mg==\"}";
	g_autofree char *one =
		g_strdup_printf("{\"kvs\":[%s],\"count\":\"1\"}", kv);
	g_autofree char *first = g_strdup_printf(
		"{\"kvs\":[%s],\"more\":true,\"count\":\"2\"}", kv);

	expect("/v3/kv/range", "{\"key\":\"YQ==\"}", "{}");
	put(KEY_A, "MQ==");
	put(KEY_A, "Mg==");
	put(KEY_B, "MQ==");
	expect("/v3/kv/range", "{\"key\":\"YQ==\"}", one);
	expect("/v3/kv/range",
	       "{\"key\":\"YQ==\",\"range_end\":\"AA==\",\"limit\":\"1\"}",
	       first);
	expect("/v3/kv/range",
	       "{\"key\":\"YQ==\",\"range_end\":\"Yw==\",\"keys_only\":true}",
	       "{\"kvs\":[{\"key\":\"YQ==\",\"create_revision\":\"2\","
	       "\"mod_revision\":\"3\",\"version\":\"2\"},"
	       "{\"key\":\"Yg==\",\"create_revision\":\"4\","
	       "\"mod_revision\":\"4\",\"version\":\"1\"}],\"count\":\"2\"}");
	expect("/v3/kv/deleterange",
	       "{\"key\":\"YQ==\",\"range_end\":\"AA==\"}",
	       "{\"deleted\":\"2\"}");
	expect("/v3/kv/range", "{\"key\":\"YQ==\"}", "{}");
	ck_assert_int_eq(state_int(control, "revision"), 5);
	ck_assert_int_eq(state_int(control, "keys"), 0);
}
END_TEST

START_TEST(old_revisions_are_read_until_compacted)
{
	put(KEY_A, "MQ==");
	put(KEY_A, "Mg==");
	expect("/v3/kv/deleterange", "{\"key\":\"YQ==\"}",
	       "{\"deleted\":\"1\"}");
	expect("/v3/kv/range", "{\"key\":\"YQ==\",\"revision\":\"2\"}",
	       "{\"kvs\":[{\"key\":\"YQ==\",\"create_revision\":\"2\","
	       "\"mod_revision\":\"2\",\"version\":\"1\","
	       "\"value\":\"MQ==\"}],\"count\":\"1\"}");
	expect("/v3/kv/compaction", "{\"revision\":\"3\"}", "{}");
	expect("/v3/kv/range", "{\"key\":\"YQ==\",\"revision\":\"3\"}",
	       "{\"kvs\":[{\"key\":\"YQ==\",\"create_revision\":\"2\","
	       "\"mod_revision\":\"3\",\"version\":\"2\","
	       "\"value\":\"Mg==\"}],\"count\":\"1\"}");
	expect_error("/v3/kv/range", "{\"key\":\"YQ==\",\"revision\":\"2\"}",
		     400, 11);
	expect_error("/v3/kv/range", "{\"key\":\"YQ==\",\"revision\":\"9\"}",
		     400, 11);
	expect_error("/v3/kv/compaction", "{\"revision\":\"3\"}", 400, 11);
}
END_TEST

START_TEST(restore_gives_revisions_out_again)
{
	put(KEY_A, "MQ==");
	put(KEY_A, "Mg==");
	put(KEY_B, "MQ==");
	fault("/restore", "{\"revision\":2}");
	expect("/v3/kv/range", "{\"key\":\"YQ==\"}",
	       "{\"kvs\":[{\"key\":\"YQ==\",\"create_revision\":\"2\","
	       "\"mod_revision\":\"2\",\"version\":\"1\","
	       "\"value\":\"MQ==\"}],\"count\":\"1\"}");
	expect("/v3/kv/range", "{\"key\":\"Yg==\"}", "{}");
	ck_assert_int_eq(state_int(control, "revision"), 2);
	ck_assert_int_eq(state_int(control, "keys"), 1);
	ck_assert_int_eq(state_int(control, "era"), 1);
	put(KEY_B, "Mg==");
	ck_assert_int_eq(state_int(control, "revision"), 3);
}
END_TEST

START_TEST(txn_compares)
{
	static const struct {
		const char *compare;
		bool holds;
	} cases[] = {
		{ "\"target\":\"VERSION\",\"version\":\"2\"", true },
		{ "\"target\":\"CREATE\",\"create_revision\":\"2\"", true },
		{ "\"target\":\"MOD\",\"mod_revision\":\"3\"", true },
		{ "\"target\":\"MOD\",\"mod_revision\":\"2\"", false },
		{ "\"target\":\"VALUE\",\"value\":\"Mg==\"", true },
		{ "\"target\":\"VALUE\",\"value\":\"MQ==\"", false },
		{ "\"target\":\"MOD\",\"result\":\"GREATER\","
		  "\"mod_revision\":\"2\"",
		  true },
		{ "\"target\":\"MOD\",\"result\":\"LESS\","
		  "\"mod_revision\":\"3\"",
		  false },
		{ "\"target\":\"VALUE\",\"result\":\"NOT_EQUAL\","
		  "\"value\":\"MQ==\"",
		  true },
	};
	size_t i;

	put(KEY_A, "MQ==");
	put(KEY_A, "Mg==");
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *body =
			g_strdup_printf("{\"compare\":[{\"key\":\"YQ==\",%s}]}",
					cases[i].compare);

		expect("/v3/kv/txn", body,
		       cases[i].holds ?
			       "{\"succeeded\":true,\"responses\":[]}" :
			       "{\"responses\":[]}");
	}
}
END_TEST

/*
 * Two operators change one profile at the same moment, each on the revision
 * that both have read. One must win and the other be told so.
 */
START_TEST(txn_of_two_at_once_lets_one_win)
{
	static const char body[] =
		"{\"compare\":[{\"key\":\"YQ==\",\"target\":\"MOD\","
		"\"mod_revision\":\"2\"}],"
		"\"success\":[{\"request_put\":{\"key\":\"YQ==\","
		"\"value\":\"Mg==\"}},{\"request_put\":{\"key\":\"Yg==\"}}],"
		"\"failure\":[{\"request_range\":{\"key\":\"YQ==\","
		"\"keys_only\":true}}]}";
	static const char header[] =
		"\"header\":{\"cluster_id\":\"1\",\"member_id\":\"1\","
		"\"revision\":\"3\",\"raft_term\":\"1\"}";
	g_autofree char *won = g_strdup_printf(
		"{\"succeeded\":true,\"responses\":["
		"{\"response_put\":{%s}},{\"response_put\":{%s}}]}",
		header, header);
	g_autofree char *lost =
		g_strdup_printf("{\"responses\":[{\"response_range\":{\"kvs\":["
				"{\"key\":\"YQ==\",\"create_revision\":\"2\","
				"\"mod_revision\":\"3\",\"version\":\"2\"}],"
				"\"count\":\"1\",%s}}]}",
				header);

	put(KEY_A, "MQ==");
	expect("/v3/kv/txn", body, won);
	expect("/v3/kv/txn", body, lost);
}
END_TEST

START_TEST(bad_calls_are_refused_whole)
{
	static const struct {
		const char *path;
		const char *body;
		long status;
		int code;
	} cases[] = {
		{ "/v3/kv/put", "{\"value\":\"MQ==\"}", 400, 3 },
		{ "/v3/kv/put", "{\"key\":\"YQ==\",\"prev_kv\":true}", 400, 3 },
		{ "/v3/kv/put", "{\"key\":\"YQ\"}", 400, 3 },
		{ "/v3/kv/put", "not json", 400, 3 },
		{ "/v3/kv/put", "{\"key\":\"YQ==\",\"lease\":\"7\"}", 404, 5 },
		{ "/v3/kv/txn",
		  "{\"success\":[{\"request_put\":{\"key\":\"YQ==\"}},"
		  "{\"request_put\":{\"key\":\"YQ==\"}}]}",
		  400, 3 },
		{ "/v3/kv/txn",
		  "{\"success\":[{\"request_put\":{\"key\":\"YQ==\"}},{}]}",
		  400, 3 },
		{ "/v3/kv/txn",
		  "{\"compare\":[{\"key\":\"YQ==\",\"target\":\"LEASE\"}]}",
		  400, 3 },
		{ "/v3/watch", "{}", 400, 3 },
		{ "/v3/lease/revoke", "{\"ID\":\"7\"}", 404, 5 },
		{ "/v3/lease/grant", "{\"TTL\":\"0\"}", 400, 11 },
		{ "/v3/nothing", "{}", 404, 5 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		expect_error(cases[i].path, cases[i].body, cases[i].status,
			     cases[i].code);
	ck_assert_int_eq(state_int(control, "revision"), 1);
}
END_TEST

/*
 * The holder of a lease is paused for longer than the lease lasts. Its key
 * goes, the watches tell, and when the holder wakes its keepalive finds no
 * lease.
 */
START_TEST(lease_takes_its_keys_along)
{
	g_autoptr(GString) seen = g_string_new(NULL);
	int watch = open_watch(WATCH_A, seen);

	expect("/v3/lease/grant", "{\"TTL\":1000,\"ID\":7}",
	       "{\"ID\":\"7\",\"TTL\":\"1000\"}");
	expect_error("/v3/lease/grant", "{\"TTL\":\"1\",\"ID\":\"7\"}", 400, 9);
	expect("/v3/kv/put", "{\"key\":\"YQ==\",\"lease\":\"7\"}", "{}");
	socket_read_until(watch, seen, "\"lease\":\"7\"");
	fault("/lapse_leases", "{}");
	socket_read_until(watch, seen,
			  "{\"type\":\"DELETE\",\"kv\":{\"key\":\"YQ==\","
			  "\"mod_revision\":\"3\"}}");
	close(watch);
	expect("/v3/lease/keepalive", "{\"ID\":\"7\"}",
	       "{\"result\":{\"header\":{\"cluster_id\":\"1\","
	       "\"member_id\":\"1\",\"revision\":\"3\","
	       "\"raft_term\":\"1\"},\"ID\":\"7\"}}");
}
END_TEST

START_TEST(lease_expires_or_is_revoked)
{
	expect("/v3/lease/grant", "{\"TTL\":\"1\",\"ID\":\"7\"}",
	       "{\"ID\":\"7\",\"TTL\":\"1\"}");
	wait_state(control, "leases_expired", 1);
	expect("/v3/lease/grant", "{\"TTL\":\"1000\",\"ID\":\"8\"}",
	       "{\"ID\":\"8\",\"TTL\":\"1000\"}");
	expect("/v3/kv/put", "{\"key\":\"Yg==\",\"lease\":\"8\"}", "{}");
	expect("/v3/lease/revoke", "{\"ID\":\"8\"}", "{}");
	ck_assert_int_eq(state_int(control, "keys"), 0);
}
END_TEST

/*
 * The store was without a leader for longer than a lease lasts. Its holder
 * could not keep it alive, so it has its whole time again afterwards.
 */
START_TEST(leases_start_anew_after_an_outage)
{
	struct store_table *table = store_table_create();
	struct store_leases *leases = store_leases_create(table);
	g_autoptr(GBytes) key = g_bytes_new_static("a", 1);
	uint64_t s = G_USEC_PER_SEC;

	ck_assert_int_eq(store_lease_grant(leases, 7, 2, 0), 7);
	store_table_begin(table, 0);
	store_table_put(table, key, key, 7);
	store_leases_renew_all(leases, 10 * s);
	ck_assert(!store_leases_tick(leases, 12 * s - 1));
	ck_assert_int_eq(store_lease_keepalive(leases, 7, 12 * s - 1), 2);
	ck_assert(!store_leases_tick(leases, 14 * s - 2));
	ck_assert_uint_eq(store_table_size(table), 1);
	ck_assert(store_leases_tick(leases, 14 * s - 1));
	ck_assert_uint_eq(store_table_size(table), 0);
	ck_assert_int_eq(store_lease_keepalive(leases, 7, 14 * s), 0);
	store_leases_destroy(leases);
	store_table_destroy(table);
}
END_TEST

START_TEST(watch_starts_at_a_revision)
{
	g_autoptr(GString) seen = g_string_new(NULL);
	int watch;

	put(KEY_A, "MQ==");
	put(KEY_B, "MQ==");
	put(KEY_A, "Mg==");
	watch = open_watch("{\"create_request\":{\"key\":\"YQ==\","
			   "\"start_revision\":\"2\","
			   "\"progress_notify\":true}}",
			   seen);
	put(KEY_A, "Mw==");
	socket_read_until(watch, seen, "\"value\":\"Mw==\"}}]}}\n");
	ck_assert_ptr_nonnull(strstr(seen->str, "\"mod_revision\":\"2\""));
	ck_assert_ptr_nonnull(strstr(seen->str, "\"mod_revision\":\"4\""));
	ck_assert_ptr_null(strstr(seen->str, KEY_B));
	socket_read_until(watch, seen,
			  "{\"result\":{\"header\":{\"cluster_id\":\"1\","
			  "\"member_id\":\"1\",\"revision\":\"5\","
			  "\"raft_term\":\"1\"}}}\n");
	close(watch);
}
END_TEST

START_TEST(watch_waits_for_a_later_revision)
{
	g_autoptr(GString) seen = g_string_new(NULL);
	int watch = open_watch("{\"create_request\":{\"key\":\"YQ==\","
			       "\"start_revision\":\"3\"}}",
			       seen);

	put(KEY_A, "MQ==");
	put(KEY_A, "Mg==");
	socket_read_until(watch, seen, "\"mod_revision\":\"3\"");
	ck_assert_ptr_null(strstr(seen->str, "\"mod_revision\":\"2\""));
	close(watch);
}
END_TEST

/*
 * A proxy was away for so long that the store has compacted what it missed.
 * Its watch must be canceled rather than go on with a gap.
 */
START_TEST(watch_of_a_compacted_revision_is_canceled)
{
	g_autoptr(GString) seen = g_string_new(NULL);
	int watch;

	put(KEY_A, "MQ==");
	put(KEY_A, "Mg==");
	fault("/compact", "{}");
	watch = open_watch("{\"create_request\":{\"key\":\"YQ==\","
			   "\"start_revision\":\"2\"}}",
			   seen);
	socket_read_until(watch, seen,
			  "\"canceled\":true,\"compact_revision\":\"3\"");
	close(watch);
	g_string_truncate(seen, 0);
	watch = open_watch("{\"create_request\":{\"key\":\"YQ==\","
			   "\"start_revision\":\"3\"}}",
			   seen);
	socket_read_until(watch, seen, "\"mod_revision\":\"3\"");
	close(watch);
}
END_TEST

START_TEST(keys_are_loaded_at_start)
{
	g_autofree char *path = NULL;
	int fd = g_file_open_tmp("store-XXXXXX.json", &path, NULL);
	const char *arguments[] = { "--load", path, NULL };

	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(write(fd, "{\"a\":{\"x\":1}}", 13), 13);
	close(fd);
	child_stop(&store);
	child_start(&store, "celeryquay-standin-store", arguments);
	http = child_port(&store, "http");
	expect("/v3/kv/range", "{\"key\":\"YQ==\"}",
	       "{\"kvs\":[{\"key\":\"YQ==\",\"create_revision\":\"2\","
	       "\"mod_revision\":\"2\",\"version\":\"1\","
	       "\"value\":\"eyJ4IjoxfQ==\"}],\"count\":\"1\"}");
	unlink(path);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("stand-in");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, keys_are_put_read_and_deleted);
	tcase_add_test(tcase, old_revisions_are_read_until_compacted);
	tcase_add_test(tcase, restore_gives_revisions_out_again);
	tcase_add_test(tcase, txn_compares);
	tcase_add_test(tcase, txn_of_two_at_once_lets_one_win);
	tcase_add_test(tcase, bad_calls_are_refused_whole);
	tcase_add_test(tcase, lease_takes_its_keys_along);
	tcase_add_test(tcase, lease_expires_or_is_revoked);
	tcase_add_test(tcase, leases_start_anew_after_an_outage);
	tcase_add_test(tcase, watch_starts_at_a_revision);
	tcase_add_test(tcase, watch_waits_for_a_later_revision);
	tcase_add_test(tcase, watch_of_a_compacted_revision_is_canceled);
	tcase_add_test(tcase, keys_are_loaded_at_start);
	return suite_main("store", tcase);
}
