#include "support_store.h"

#include <check.h>
#include <string.h>

/* What the watch has delivered. */
static struct {
	GPtrArray *events; /* char *: "+key=value", "-key=" for a removal */
	uint64_t progress; /* revision of the last progress notice */
	struct err ended; /* code 0: the watch has not ended */
	bool unwatch; /* stop the watch at the next event */
	unsigned wanted; /* number of events that has_events() waits for */
} seen;

static void setup(void)
{
	store_rig_setup();
	memset(&seen, 0, sizeof(seen));
	seen.events = g_ptr_array_new_with_free_func(g_free);
}

static void teardown(void)
{
	store_rig_teardown();
	g_ptr_array_unref(seen.events);
}

static void on_event(void *ctx, const struct store_kv *kv)
{
	(void)ctx;
	g_ptr_array_add(seen.events,
			g_strdup_printf("%s%s=%s", kv->removed ? "-" : "+",
					kv->key + strlen(PREFIX),
					kv->value.data));
	ck_assert_uint_gt(kv->mod_revision, 0);
	if (seen.unwatch)
		store_unwatch(store_rig.store);
}

static void on_progress(void *ctx, uint64_t revision)
{
	(void)ctx;
	seen.progress = revision;
}

static void on_ended(void *ctx, const struct err *err)
{
	(void)ctx;
	ck_assert_int_eq(seen.ended.code, 0);
	seen.ended = *err;
}

static const struct store_watch_events watch_events = {
	.event = on_event,
	.progress = on_progress,
	.ended = on_ended,
};

static void watch(uint64_t from, uint64_t silent_us)
{
	memset(&seen.ended, 0, sizeof(seen.ended));
	store_watch(store_rig.store, PREFIX, from, silent_us, &watch_events,
		    NULL);
}

static bool has_events(void *ctx)
{
	(void)ctx;
	return seen.events->len >= seen.wanted;
}

static bool has_progress(void *ctx)
{
	return seen.progress >= *(const uint64_t *)ctx;
}

static bool has_ended(void *ctx)
{
	(void)ctx;
	return seen.ended.code != 0;
}

static bool is_watched(void *ctx)
{
	JsonObject *state = child_control(store_rig.server, "/state", NULL);
	bool watched = json_object_get_int_member(state, "watches") ==
		       *(const int *)ctx;

	json_object_unref(state);
	return watched;
}

static void wait_watches(int n)
{
	loop_until(&store_rig.loop, is_watched, &n);
}

START_TEST(a_watch_reports_changes_in_order_and_progress)
{
	uint64_t made = rig_put(PREFIX "a", 0, "1");
	uint64_t last;

	watch(made + 1, TIMEOUT_US);
	made = rig_put(PREFIX "a", made, "2");
	rig_put("/elsewhere", 0, "3");
	last = rig_put(PREFIX "a", made, NULL);
	seen.wanted = 2;
	loop_until(&store_rig.loop, has_events, NULL);
	ck_assert_str_eq(g_ptr_array_index(seen.events, 0), "+a=2");
	ck_assert_str_eq(g_ptr_array_index(seen.events, 1), "-a=");
	loop_until(&store_rig.loop, has_progress, &last);
	ck_assert_uint_eq(seen.events->len, 2);
	ck_assert_int_eq(seen.ended.code, 0);
}
END_TEST

START_TEST(a_watch_starts_at_the_given_revision)
{
	uint64_t made = rig_put(PREFIX "a", 0, "1");

	rig_put(PREFIX "b", 0, "2");
	rig_put(PREFIX "c", 0, "3");
	watch(made + 1, TIMEOUT_US);
	seen.wanted = 2;
	loop_until(&store_rig.loop, has_events, NULL);
	ck_assert_str_eq(g_ptr_array_index(seen.events, 0), "+b=2");
	ck_assert_str_eq(g_ptr_array_index(seen.events, 1), "+c=3");
}
END_TEST

/*
 * A device between the store and a proxy drops its state of the watch's
 * connection. The proxy would never apply a change again; the watch has to end
 * because the progress notices are missing.
 */
START_TEST(a_watch_without_progress_notices_ends)
{
	int one = 1;

	watch(1, 1 * USEC_PER_SEC);
	loop_until(&store_rig.loop, is_watched, &one);
	store_rig_control("/silent_watches", "{}");
	loop_until(&store_rig.loop, has_ended, NULL);
	ck_assert_int_eq(seen.ended.code, ERR_STORE_DOWN);
	ck_assert_ptr_nonnull(strstr(seen.ended.message, "silent"));
	watch(1, TIMEOUT_US);
	rig_put(PREFIX "a", 0, "1");
	seen.wanted = 1;
	loop_until(&store_rig.loop, has_events, NULL);
}
END_TEST

/*
 * A proxy returns after a long outage, and the store no longer has the changes
 * since then. The proxy has to read all keys again, or it would miss removals.
 */
START_TEST(a_watch_from_a_compacted_revision_ends_with_that_error)
{
	rig_put(PREFIX "a", 0, "1");
	rig_put(PREFIX "b", 0, "1");
	store_rig_control("/compact", "{}");
	watch(1, TIMEOUT_US);
	loop_until(&store_rig.loop, has_ended, NULL);
	ck_assert_int_eq(seen.ended.code, ERR_STORE_COMPACTED);
}
END_TEST

/* Fails if a watch goes on from a revision of an earlier era. */
START_TEST(a_watch_from_an_earlier_era_ends_like_a_compacted_one)
{
	uint64_t first = rig_put(PREFIX "a", 0, "1");

	store_rig_control("/restore", "{\"revision\": 1}");
	rig_put(PREFIX "b", 0, "1");
	watch(first + 1, TIMEOUT_US);
	loop_until(&store_rig.loop, has_ended, NULL);
	ck_assert_int_eq(seen.ended.code, ERR_STORE_COMPACTED);
	ck_assert_uint_eq(seen.events->len, 0);
}
END_TEST

START_TEST(a_watch_ends_with_an_outage)
{
	watch(1, TIMEOUT_US);
	wait_watches(1);
	store_rig_control("/outage", "{\"mode\": \"refuse\"}");
	loop_until(&store_rig.loop, has_ended, NULL);
	ck_assert_int_eq(seen.ended.code, ERR_STORE_DOWN);
	watch(1, TIMEOUT_US);
	loop_until(&store_rig.loop, has_ended, NULL);
	ck_assert_int_eq(seen.ended.code, ERR_STORE_DOWN);
}
END_TEST

START_TEST(a_watch_of_a_store_without_leader_ends)
{
	store_rig_control("/outage", "{\"mode\": \"unavailable\"}");
	watch(1, TIMEOUT_US);
	loop_until(&store_rig.loop, has_ended, NULL);
	ck_assert_int_eq(seen.ended.code, ERR_STORE_DOWN);
	ck_assert_ptr_nonnull(strstr(seen.ended.message, "no leader"));
}
END_TEST

START_TEST(unwatch_from_an_event_stops_later_events)
{
	rig_put(PREFIX "a", 0, "1");
	rig_put(PREFIX "b", 0, "1");
	seen.unwatch = true;
	seen.wanted = 1;
	watch(1, TIMEOUT_US);
	loop_until(&store_rig.loop, has_events, NULL);
	wait_watches(0);
	ck_assert_uint_eq(seen.events->len, 1);
	ck_assert_int_eq(seen.ended.code, 0);
}
END_TEST

START_TEST(destroy_works_with_calls_and_a_watch_open)
{
	store_rig_control("/outage", "{\"mode\": \"hang\"}");
	store_get(store_rig.store, KEY, rig_on_range, NULL);
	store_cas(store_rig.store, KEY, 0, NULL, rig_on_cas, NULL);
	watch(1, TIMEOUT_US);
	uv_run(&store_rig.loop, UV_RUN_NOWAIT);
	store_range(store_rig.store, PREFIX, rig_on_range, NULL);
}
END_TEST

static void destroy_on_range(void *user, const struct err *err,
			     uint64_t revision, const struct store_kv *kvs,
			     unsigned n)
{
	rig_on_range(user, err, revision, kvs, n);
	store_destroy(store_rig.store);
	store_rig.store = NULL;
}

static bool is_destroyed(void *ctx)
{
	(void)ctx;
	return !store_rig.store;
}

START_TEST(destroy_works_from_a_callback)
{
	watch(1, TIMEOUT_US);
	store_get(store_rig.store, KEY, destroy_on_range, NULL);
	store_get(store_rig.store, KEY, rig_on_range, NULL);
	loop_until(&store_rig.loop, is_destroyed, NULL);
}
END_TEST

static TCase *watch_tests(void)
{
	TCase *t = tcase_create("watch");

	tcase_set_timeout(t, 300);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, a_watch_reports_changes_in_order_and_progress);
	tcase_add_test(t, a_watch_starts_at_the_given_revision);
	tcase_add_test(t, a_watch_without_progress_notices_ends);
	tcase_add_test(t,
		       a_watch_from_a_compacted_revision_ends_with_that_error);
	tcase_add_test(t,
		       a_watch_from_an_earlier_era_ends_like_a_compacted_one);
	tcase_add_test(t, a_watch_ends_with_an_outage);
	tcase_add_test(t, a_watch_of_a_store_without_leader_ends);
	tcase_add_test(t, destroy_works_with_calls_and_a_watch_open);
	tcase_add_test(t, destroy_works_from_a_callback);
	tcase_add_test(t, unwatch_from_an_event_stops_later_events);
	return t;
}

int main(void)
{
	Suite *s = suite_create("store_watch");
	SRunner *runner;
	int failed;

	suite_add_tcase(s, watch_tests());
	runner = srunner_create(s);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
