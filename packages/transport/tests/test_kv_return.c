/*
 * The store comes back from an older copy: what was written since is gone, its
 * revisions are given out again, and it has a new era.
 */
#include "support_kv.h"

#include <celeryquay/suite.h>

/* Restores a copy that lacks the last configuration and n other writes. */
static void lose_writes(unsigned n)
{
	kv_rig_copy();
	kv_rig_put("op/config", "lost");
	kv_rig_expect("op/config", "lost");
	while (n--)
		kv_rig_put("servers/a", "up");
	kv_rig_restore();
}

/* Fails if a key that is written under a lower revision is ignored. */
START_TEST(a_lower_revision_of_a_new_era_counts)
{
	kv_rig_start();
	lose_writes(5);
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	kv_rig_end();
}
END_TEST

/* Fails if the same revision counts as the same value. */
START_TEST(a_revision_given_out_again_counts)
{
	kv_rig_start();
	lose_writes(0);
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	kv_rig_end();
}
END_TEST

/* Fails if what the return removed is kept. */
START_TEST(a_key_that_the_copy_lacks_goes)
{
	kv_rig_start();
	kv_rig_expect("op/config", "one");
	kv_rig_copy();
	kv_rig_put("op/extra", "lost");
	kv_rig_put("servers/c", "up");
	kv_rig_expect("op/extra", "lost");
	kv_rig_expect("servers/c", "up");
	kv_rig_restore();
	kv_rig_expect("op/extra", NULL);
	kv_rig_expect("servers/c", NULL);
	kv_rig_end();
}
END_TEST

static bool watcher_lost_store(void *ctx)
{
	(void)ctx;
	return rig.watcher.n_store_failed > 0;
}

/* Fails if a watch goes on in a new era whose revisions have passed it. */
START_TEST(a_watch_that_the_new_era_has_again)
{
	unsigned i;

	kv_rig_start();
	kv_rig_expect("op/config", "one");
	kv_rig_copy();
	kv_rig_put("servers/a", "lost");
	kv_rig_expect("servers/a", "lost");
	kv_rig_store(KV_RIG_REFUSES);
	loop_until(&rig.loop, watcher_lost_store, NULL);
	kv_rig_restore();
	kv_rig_put("op/config", "two");
	for (i = 0; i < 5; i++)
		kv_rig_put("servers/b", "up");
	kv_rig_store(KV_RIG_ANSWERS);
	kv_rig_expect("op/config", "two");
	kv_rig_expect("servers/a", "up");
	kv_rig_end();
}
END_TEST

static bool watcher_returned(void *ctx)
{
	(void)ctx;
	return rig.watcher.era == rig.era;
}

static bool follower_failed_feed(void *ctx)
{
	(void)ctx;
	return rig.follower.n_feed_failed > 0;
}

/* Fails if a watcher that has not heard of the return is believed. */
START_TEST(an_answer_of_an_older_era_loses)
{
	struct kv_feed *current;

	kv_rig_start();
	lose_writes(5);
	rig.follower.source_url = NULL;
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	current = rig.watcher.feed;
	rig.watcher.feed = rig.stale_feed =
		kv_feed_create(&rig.loop, &kv_rig_codec);
	kv_feed_set(rig.stale_feed, "op/config", kv_stamp(1, 4), STR("lost"));
	kv_feed_set(rig.stale_feed, "servers/c", kv_stamp(1, 7), STR("up"));
	kv_feed_commit(rig.stale_feed, kv_stamp(1, 9));
	rig.follower.source_url = rig.watcher.url;
	loop_until(&rig.loop, follower_failed_feed, NULL);
	kv_feed_destroy(current);
	ck_assert_str_eq(g_hash_table_lookup(rig.follower.values, "op/config"),
			 "two");
	ck_assert_ptr_null(
		g_hash_table_lookup(rig.follower.values, "servers/c"));
	kv_rig_end();
}
END_TEST

/* Fails if followers hear only of the lost keys that their watcher knew. */
START_TEST(a_follower_that_knew_more_than_its_watcher)
{
	kv_rig_start();
	kv_rig_expect("op/config", "one");
	kv_rig_copy();
	rig.watcher.store = KV_RIG_REFUSES;
	rig.follower.source_url = NULL;
	kv_rig_put("op/extra", "lost");
	kv_rig_expect("op/extra", "lost");
	rig.follower.source_url = rig.watcher.url;
	rig.follower.store = KV_RIG_REFUSES;
	kv_rig_restore();
	rig.watcher.store = KV_RIG_ANSWERS;
	loop_until(&rig.loop, watcher_returned, NULL);
	kv_rig_expect("op/extra", NULL);
	ck_assert_uint_eq(rig.follower.era, rig.era);
	ck_assert_uint_eq(rig.follower.n_forgotten, 1);
	kv_rig_end();
}
END_TEST

/* Fails if pages of two eras are taken for one range. */
START_TEST(a_return_between_two_pages)
{
	kv_rig_start();
	kv_rig_expect("op/config", "one");
	rig.follower.source_url = NULL;
	rig.follower.is_paged = true;
	kv_rig_copy();
	kv_rig_put("servers/c", "lost");
	kv_rig_expect("servers/c", "lost");
	rig.restore_after_page = true;
	kv_rig_restore();
	kv_rig_expect("servers/c", NULL);
	ck_assert(!rig.restore_after_page);
	ck_assert_uint_eq(rig.follower.era, rig.era);
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	kv_rig_end();
}
END_TEST

/* Fails if a key that its writer soon writes again is reported as gone. */
START_TEST(a_key_that_is_written_again_does_not_go)
{
	kv_rig_start();
	kv_rig_expect("op/config", "one");
	kv_rig_copy();
	kv_rig_put("servers/c", "up");
	kv_rig_expect("servers/c", "up");
	kv_rig_restore();
	loop_until(&rig.loop, watcher_returned, NULL);
	kv_rig_put("servers/c", "again");
	kv_rig_expect("servers/c", "again");
	ck_assert_uint_eq(rig.watcher.n_gone, 0);
	ck_assert_uint_eq(rig.follower.n_gone, 0);
	kv_rig_end();
}
END_TEST

/* Fails if the era can be made to run back, or a revision to change it. */
START_TEST(stamps_are_ordered_by_era_first)
{
	uint64_t era;

	ck_assert_uint_lt(kv_stamp(1, KV_REVISION_MAX), kv_stamp(2, 1));
	ck_assert_uint_eq(kv_stamp_era(kv_stamp(3, 7)), 3);
	ck_assert_uint_eq(kv_stamp_revision(kv_stamp(3, 7)), 7);
	ck_assert_uint_eq(kv_stamp(0, kv_stamp(3, 7)), kv_stamp(3, 7));
	ck_assert_uint_le(kv_stamp(KV_ERA_MAX, KV_REVISION_MAX), INT64_MAX);
	ck_assert(kv_stamp_parse_era("12", &era));
	ck_assert_uint_eq(era, 12);
	ck_assert(kv_stamp_parse_era(NULL, &era));
	ck_assert_uint_eq(era, 0);
	ck_assert(!kv_stamp_parse_era("", &era));
	ck_assert(!kv_stamp_parse_era("-1", &era));
	ck_assert(!kv_stamp_parse_era("99999999", &era));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("kv return");

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, a_lower_revision_of_a_new_era_counts);
	tcase_add_test(tc, a_revision_given_out_again_counts);
	tcase_add_test(tc, a_key_that_the_copy_lacks_goes);
	tcase_add_test(tc, a_watch_that_the_new_era_has_again);
	tcase_add_test(tc, an_answer_of_an_older_era_loses);
	tcase_add_test(tc, a_follower_that_knew_more_than_its_watcher);
	tcase_add_test(tc, a_return_between_two_pages);
	tcase_add_test(tc, a_key_that_is_written_again_does_not_go);
	tcase_add_test(tc, stamps_are_ordered_by_era_first);
	return suite_main("kv return", tc);
}
