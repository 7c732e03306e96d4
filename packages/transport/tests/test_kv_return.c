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

static bool follower_lost_store(void *ctx)
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
	loop_until(&rig.loop, follower_lost_store, NULL);
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

int main(void)
{
	TCase *tc = tcase_create("kv return");

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, a_lower_revision_of_a_new_era_counts);
	tcase_add_test(tc, a_revision_given_out_again_counts);
	tcase_add_test(tc, a_key_that_the_copy_lacks_goes);
	tcase_add_test(tc, a_watch_that_the_new_era_has_again);
	return suite_main("kv return", tc);
}
