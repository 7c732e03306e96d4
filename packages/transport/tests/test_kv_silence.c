/*
 * The store stops answering and recovers. The proxies choose their sources and
 * time limits themselves, as in a small fleet without watchers and in a large
 * one with them.
 */
#include "support_kv.h"

#include <celeryquay/suite.h>

#define SMALL_FLEET 8
#define LARGE_FLEET 74

static bool has_lost_call(void *ctx)
{
	const struct proxy *p = ctx;

	return p->n_store_failed > 0;
}

struct calls {
	const struct proxy *proxy;
	unsigned n;
};

static bool called_again(void *ctx)
{
	const struct calls *c = ctx;

	return c->proxy->store_calls > c->n;
}

/*
 * Runs the loop until the proxy has lost a call and sent another that will
 * never be answered. Returns how many of its calls have failed by then.
 */
static unsigned run_until_call_lost(struct proxy *p)
{
	struct calls c = { p, 0 };

	loop_until(&rig.loop, has_lost_call, p);
	c.n = p->store_calls;
	loop_until(&rig.loop, called_again, &c);
	return p->n_store_failed;
}

/*
 * Has the store stop answering in a fleet of n_proxies that has read
 * everything.
 */
static unsigned start_with_silent_store(unsigned n_proxies, struct proxy *p)
{
	kv_rig_start_fleet(n_proxies);
	kv_rig_expect("op/config", "one");
	kv_rig_store(KV_RIG_SILENT);
	return run_until_call_lost(p);
}

/*
 * The store recovers and acknowledges a change of the configuration just after
 * a proxy has sent a call that will never be answered. If the proxy waits for
 * that call's limit, it stays with the old configuration for up to 4 s. The
 * proof is that no call fails between the store's recovery and the change.
 */
START_TEST(a_store_that_is_back_is_read_at_once)
{
	unsigned lost = start_with_silent_store(SMALL_FLEET, &rig.follower);

	kv_rig_store(KV_RIG_ANSWERS);
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	ck_assert_uint_eq(rig.follower.n_store_failed, lost);
	kv_rig_end();
}
END_TEST

/*
 * The same in a large fleet, where one proxy watches the store for the others.
 * Fails if the watcher's wait for a lost call is added to the followers' waits.
 */
START_TEST(a_watcher_notices_the_recovery_for_its_followers)
{
	unsigned lost = start_with_silent_store(LARGE_FLEET, &rig.watcher);

	rig.watcher.store = KV_RIG_ANSWERS;
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	ck_assert_uint_eq(rig.watcher.n_store_failed, lost);
	kv_rig_end();
}
END_TEST

/*
 * The watcher dies while the store is silent. Its follower has to find by
 * itself that the store is back, while it waits for a call that is never
 * answered.
 */
START_TEST(the_watcher_dies_while_the_store_is_silent)
{
	start_with_silent_store(LARGE_FLEET, &rig.watcher);
	rig.watcher.ignores_requests = true;
	loop_until(&rig.loop, has_lost_call, &rig.follower);
	rig.follower.store = KV_RIG_ANSWERS;
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	kv_rig_end();
}
END_TEST

/*
 * The store is back and answers every third call only. Fails if each of the
 * other calls takes its whole time limit.
 */
START_TEST(a_store_that_answers_some_calls_only)
{
	unsigned lost = start_with_silent_store(SMALL_FLEET, &rig.follower);

	kv_rig_put("op/config", "two");
	kv_rig_store(KV_RIG_EVERY_THIRD);
	rig.follower.store_calls = 0;
	kv_rig_expect("op/config", "two");
	ck_assert_uint_eq(rig.follower.n_store_failed, lost);
	kv_rig_end();
}
END_TEST

/*
 * The store is back but slow: an answer takes as long as the proxy waits before
 * it repeats the call. The late answer must be accepted, or none ever would be.
 */
START_TEST(a_late_answer_counts)
{
	unsigned lost = start_with_silent_store(SMALL_FLEET, &rig.follower);

	kv_rig_put("op/config", "two");
	kv_rig_store(KV_RIG_LATE);
	kv_rig_expect("op/config", "two");
	ck_assert_uint_eq(rig.follower.n_store_failed, lost);
	kv_rig_end();
}
END_TEST

/*
 * A proxy starts while the store is silent. Fails if its first read of
 * everything has the time limit of a long poll, for which callers would be
 * refused longer.
 */
START_TEST(a_first_read_while_the_store_is_silent)
{
	unsigned lost;

	kv_rig_start_fleet(SMALL_FLEET);
	rig.follower.store = KV_RIG_SILENT;
	lost = run_until_call_lost(&rig.follower);
	rig.follower.store = KV_RIG_ANSWERS;
	kv_rig_expect("op/config", "one");
	ck_assert_uint_eq(rig.follower.n_store_failed, lost);
	kv_rig_end();
}
END_TEST

static bool refused_3_answers(void *ctx)
{
	(void)ctx;
	return rig.follower.n_malformed >= 3;
}

/*
 * Truncated answers of the store must not change or remove anything; each is
 * counted, and everything is requested again.
 */
START_TEST(a_truncated_answer_changes_nothing)
{
	kv_rig_start_fleet(SMALL_FLEET);
	kv_rig_expect("op/config", "one");
	kv_rig_store(KV_RIG_TRUNCATED);
	kv_rig_put("op/config", "two");
	loop_until(&rig.loop, refused_3_answers, NULL);
	ck_assert_str_eq(g_hash_table_lookup(rig.follower.values, "op/config"),
			 "one");
	ck_assert_str_eq(g_hash_table_lookup(rig.follower.values, "servers/a"),
			 "up");
	kv_rig_store(KV_RIG_ANSWERS);
	kv_rig_expect("op/config", "two");
	kv_rig_end();
}
END_TEST

static bool fed_again(void *ctx)
{
	const struct calls *c = ctx;

	return rig.follower.n_feed_answered > c->n;
}

/*
 * A watcher stalls for a moment, and the store doesn't answer one of its
 * followers. Fails if only an answer of the store itself ends the outage for
 * that follower: it would then hold back the deletion of every server from then
 * on, although its watcher reports them.
 */
START_TEST(servers_that_left_are_dropped_after_a_silence)
{
	struct calls c = { 0 };

	kv_rig_start_fleet(LARGE_FLEET);
	kv_rig_expect("op/config", "one");
	rig.follower.store = KV_RIG_SILENT;
	rig.watcher.ignores_requests = true;
	loop_until(&rig.loop, has_lost_call, &rig.follower);
	rig.watcher.ignores_requests = false;
	c.n = rig.follower.n_feed_answered;
	loop_until(&rig.loop, fed_again, &c);
	kv_rig_put("servers/a", NULL);
	kv_rig_expect("servers/a", NULL);
	kv_rig_end();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("kv silence");

	tcase_set_timeout(tc, 0);
	tcase_add_test(tc, a_store_that_is_back_is_read_at_once);
	tcase_add_test(tc, a_watcher_notices_the_recovery_for_its_followers);
	tcase_add_test(tc, the_watcher_dies_while_the_store_is_silent);
	tcase_add_test(tc, a_store_that_answers_some_calls_only);
	tcase_add_test(tc, a_late_answer_counts);
	tcase_add_test(tc, a_first_read_while_the_store_is_silent);
	tcase_add_test(tc, a_truncated_answer_changes_nothing);
	tcase_add_test(tc, servers_that_left_are_dropped_after_a_silence);
	return suite_main("kv silence", tc);
}
