/*
 * A store that falls silent and is back. The proxies decide by themselves whom
 * they ask and for how long, as in a small fleet and in one with watchers.
 */
#include "support_kv.h"

#include <celeryquay/suite.h>

#define SMALL 8
#define LARGE 74

static bool lost_once(void *ctx)
{
	const struct proxy *p = ctx;

	return p->n_lost > 0;
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
 * Until the proxy has a call at the store that will never be answered. Says how
 * many it has given up by then.
 */
static unsigned until_in_doubt(struct proxy *p)
{
	struct calls c = { p, 0 };

	loop_until(&rig.loop, lost_once, p);
	c.n = p->store_calls;
	loop_until(&rig.loop, called_again, &c);
	return p->n_lost;
}

/* The store falls silent for a fleet of so many, in which all is known. */
static unsigned start_in_silence(unsigned n_proxies, struct proxy *p)
{
	kv_rig_start_fleet(n_proxies);
	kv_rig_expect("op/config", "one");
	kv_rig_store(KV_RIG_SILENT);
	return until_in_doubt(p);
}

/*
 * The store falls silent, and the operators' change is acknowledged as it is
 * back. A proxy has just put a question that is never answered. It went on by
 * the old configuration until that question's limit had passed, for up to 4 s.
 * Evidence: no call is given up between the store's return and the news.
 */
START_TEST(a_store_that_is_back_is_read_at_once)
{
	unsigned lost = start_in_silence(SMALL, &rig.follower);

	kv_rig_store(KV_RIG_ANSWERS);
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	ck_assert_uint_eq(rig.follower.n_lost, lost);
	kv_rig_end();
}
END_TEST

/*
 * The same in a large fleet, through the proxy that watches the store for the
 * others. Its own wait came on top of the followers'.
 */
START_TEST(a_watcher_notices_it_for_the_others)
{
	unsigned lost = start_in_silence(LARGE, &rig.watcher);

	rig.watcher.store = KV_RIG_ANSWERS;
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	ck_assert_uint_eq(rig.watcher.n_lost, lost);
	kv_rig_end();
}
END_TEST

/*
 * The watcher dies in the silence. Who followed it must find the store by
 * itself, and by then it holds a question without an answer.
 */
START_TEST(the_watcher_dies_in_the_silence)
{
	start_in_silence(LARGE, &rig.watcher);
	rig.watcher.mute = true;
	loop_until(&rig.loop, lost_once, &rig.follower);
	rig.follower.store = KV_RIG_ANSWERS;
	kv_rig_put("op/config", "two");
	kv_rig_expect("op/config", "two");
	kv_rig_end();
}
END_TEST

/*
 * The store is back and answers one call of three. Each of the others cost the
 * whole limit of a call.
 */
START_TEST(a_store_that_answers_some_calls_only)
{
	unsigned lost = start_in_silence(SMALL, &rig.follower);

	kv_rig_put("op/config", "two");
	kv_rig_store(KV_RIG_SOME);
	rig.follower.store_calls = 0;
	kv_rig_expect("op/config", "two");
	ck_assert_uint_eq(rig.follower.n_lost, lost);
	kv_rig_end();
}
END_TEST

/*
 * The store is back and slow: an answer takes as long as the proxy waits
 * before it asks once more. A late answer must count, or none ever would.
 */
START_TEST(a_late_answer_counts)
{
	unsigned lost = start_in_silence(SMALL, &rig.follower);

	kv_rig_put("op/config", "two");
	kv_rig_store(KV_RIG_LATE);
	kv_rig_expect("op/config", "two");
	ck_assert_uint_eq(rig.follower.n_lost, lost);
	kv_rig_end();
}
END_TEST

/*
 * A proxy starts while the store is silent. The first read of all was given
 * the limit of a long call, and callers were refused that much longer.
 */
START_TEST(a_first_read_in_a_silence)
{
	unsigned lost;

	kv_rig_start_fleet(SMALL);
	rig.follower.store = KV_RIG_SILENT;
	lost = until_in_doubt(&rig.follower);
	rig.follower.store = KV_RIG_ANSWERS;
	kv_rig_expect("op/config", "one");
	ck_assert_uint_eq(rig.follower.n_lost, lost);
	kv_rig_end();
}
END_TEST

static bool refused_some(void *ctx)
{
	(void)ctx;
	return rig.follower.n_refused >= 3;
}

/*
 * The store's answers are cut. They name no new configuration and take nothing
 * away; each is counted, and all is asked for again.
 */
START_TEST(a_cut_answer_is_no_news)
{
	kv_rig_start_fleet(SMALL);
	kv_rig_expect("op/config", "one");
	kv_rig_store(KV_RIG_CUT);
	kv_rig_put("op/config", "two");
	loop_until(&rig.loop, refused_some, NULL);
	ck_assert_str_eq(g_hash_table_lookup(rig.follower.has, "op/config"),
			 "one");
	ck_assert_str_eq(g_hash_table_lookup(rig.follower.has, "servers/a"),
			 "up");
	kv_rig_store(KV_RIG_ANSWERS);
	kv_rig_expect("op/config", "two");
	kv_rig_end();
}
END_TEST

static bool fed_again(void *ctx)
{
	const struct calls *c = ctx;

	return rig.follower.n_fed > c->n;
}

/*
 * A watcher stands still for a moment, and the store doesn't answer one of
 * those that follow it. That proxy held all servers that left from then on,
 * although its watcher told of them: nothing but an answer of the store itself
 * ended the outage for it.
 */
START_TEST(servers_that_left_are_dropped_after_a_silence)
{
	struct calls c = { 0 };

	kv_rig_start_fleet(LARGE);
	kv_rig_expect("op/config", "one");
	rig.follower.store = KV_RIG_SILENT;
	rig.watcher.mute = true;
	loop_until(&rig.loop, lost_once, &rig.follower);
	rig.watcher.mute = false;
	c.n = rig.follower.n_fed;
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
	tcase_add_test(tc, a_watcher_notices_it_for_the_others);
	tcase_add_test(tc, the_watcher_dies_in_the_silence);
	tcase_add_test(tc, a_store_that_answers_some_calls_only);
	tcase_add_test(tc, a_late_answer_counts);
	tcase_add_test(tc, a_first_read_in_a_silence);
	tcase_add_test(tc, a_cut_answer_is_no_news);
	tcase_add_test(tc, servers_that_left_are_dropped_after_a_silence);
	return suite_main("kv silence", tc);
}
