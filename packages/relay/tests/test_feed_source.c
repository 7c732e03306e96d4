#include <celeryquay/relay/feed_source.h>

#include <celeryquay/suite.h>
#include <string.h>

#define ZONES 4
#define MS USEC_PER_MSEC
#define AGE_OK_US (1000 * MS)
#define AGE_OLD_US (4000 * MS)

static struct relay_server_info infos[400];
static char names[400][16];
static char zones[ZONES][8];

/* n proxies over four data centres; the first of each has the widest link. */
static void list(unsigned n)
{
	unsigned i;

	for (i = 0; i < ZONES; i++)
		g_snprintf(zones[i], sizeof(zones[i]), "hall-%u", i);
	for (i = 0; i < n; i++) {
		g_snprintf(names[i], sizeof(names[i]), "p%u", i);
		infos[i] = (struct relay_server_info){
			.id = names[i],
			.host = "127.0.0.1",
			.zone = zones[i % ZONES],
			.feed_port = (uint16_t)(1000 + i),
			.mbps = i < ZONES ? 200 : 10,
		};
	}
}

static struct feed_source *start(unsigned self, unsigned n)
{
	struct feed_source *f =
		feed_source_create(infos[self].id, infos[self].zone);

	feed_source_on_proxies(f, infos, n);
	return f;
}

static const struct relay_server_info *proxy_of(struct feed_source *f,
						uint64_t now_us)
{
	return feed_source_plan(f, false, now_us).proxy;
}

START_TEST(a_small_fleet_asks_the_store)
{
	struct feed_source *f;

	list(16);
	f = start(5, 16);
	ck_assert_ptr_null(proxy_of(f, 0));
	ck_assert(!feed_source_is_watcher(f));
	feed_source_destroy(f);
}
END_TEST

/* Of 73 proxies, four ask the store; all others ask the one near them. */
START_TEST(a_few_watch_for_a_large_one)
{
	unsigned i, n_watchers = 0;

	list(73);
	for (i = 0; i < 73; i++) {
		struct feed_source *f = start(i, 73);
		const struct relay_server_info *p = proxy_of(f, 0);

		n_watchers += feed_source_is_watcher(f);
		ck_assert_int_eq(feed_source_is_watcher(f), p == NULL);
		/* Others rely on what it hears: it may not wait for long. */
		ck_assert_uint_le(feed_source_plan(f, false, 0).wait_ms, 800);
		if (p) {
			ck_assert_str_eq(p->zone, infos[i].zone);
			ck_assert_uint_eq(p->mbps, 200);
		}
		feed_source_destroy(f);
	}
	ck_assert_uint_eq(n_watchers, ZONES);
}
END_TEST

static unsigned count_watchers(unsigned n)
{
	unsigned i, n_watchers = 0;

	list(n);
	for (i = 0; i < n; i++) {
		struct feed_source *f = start(i, n);

		n_watchers += feed_source_is_watcher(f);
		feed_source_destroy(f);
	}
	return n_watchers;
}

/* One watcher more for each 64, so that none is asked by all. */
START_TEST(watchers_grow_with_the_fleet)
{
	ck_assert_uint_eq(count_watchers(128), ZONES);
	ck_assert_uint_eq(count_watchers(300), ZONES * 2);
}
END_TEST

/* Fails when a proxy's place in the list decides whether it watches. */
START_TEST(the_order_of_a_list_does_not_matter)
{
	unsigned i;

	list(300);
	for (i = 0; i < 300; i++) {
		struct feed_source *f = start(i, 300);
		bool watches = feed_source_is_watcher(f);
		struct relay_server_info turned[300];
		unsigned j;

		for (j = 0; j < 300; j++)
			turned[j] = infos[(j + 7 * i) % 300];
		feed_source_on_proxies(f, turned, 300);
		ck_assert_int_eq(feed_source_is_watcher(f), watches);
		feed_source_destroy(f);
	}
}
END_TEST

/*
 * Three hundred proxies that each watch the store made most of all calls to
 * the platform. The first watcher of a hall is the one with the widest link.
 */
START_TEST(a_very_large_fleet_shares_a_few_watchers)
{
	unsigned i;

	list(300);
	for (i = 0; i < 300; i++) {
		struct feed_source *f = start(i, 300);
		const struct relay_server_info *p = proxy_of(f, 0);

		ck_assert_int_eq(feed_source_is_watcher(f), p == NULL);
		if (p)
			ck_assert_str_eq(p->zone, infos[i].zone);
		if (i < ZONES)
			ck_assert(feed_source_is_watcher(f));
		feed_source_destroy(f);
	}
}
END_TEST

/*
 * A configuration of 17 KB was read at the store by each of 294 followers, and
 * those whom the store didn't answer went without it. A wide link carries it
 * to all of a hall; a narrow one must not be filled with it for seconds.
 */
START_TEST(what_is_sent_goes_by_the_link)
{
	struct feed_source *wide, *narrow;

	list(300);
	wide = start(1, 300);
	narrow = start(5, 300);
	ck_assert_uint_ge(feed_source_value_max(wide), 17 * 1024);
	ck_assert_uint_le(feed_source_value_max(wide), 100 * 1024);
	ck_assert_uint_lt(feed_source_value_max(narrow), 17 * 1024);
	feed_source_destroy(narrow);
	feed_source_destroy(wide);
	narrow = feed_source_create("p5", zones[1]);
	ck_assert_uint_eq(feed_source_value_max(narrow), 0);
	feed_source_destroy(narrow);
}
END_TEST

/* Fails when a whole fleet reads a large configuration at the store at once. */
START_TEST(a_store_is_spared_where_watchers_are_wider)
{
	static const struct {
		unsigned proxies, mbps;
		size_t least, most; /* bytes that a watcher sends */
	} cases[] = {
		{ 400, 1000, 600 * 1024, 2048 * 1024 },
		{ 400, 10, 0, 10 * 1024 },
		{ 40, 200, 0, 600 * 1024 },
	};
	struct feed_source *f;
	size_t bytes;

	list(cases[_i].proxies);
	infos[0].mbps = cases[_i].mbps;
	f = start(0, cases[_i].proxies);
	bytes = feed_source_value_max(f);
	ck_assert_uint_ge(bytes, cases[_i].least);
	ck_assert_uint_le(bytes, cases[_i].most);
	feed_source_destroy(f);
}
END_TEST

/*
 * The operators drop a route. The watcher of this hall is cut off from the
 * store, and every proxy that asks it would serve the route on and on.
 */
START_TEST(a_watcher_that_is_behind_is_left)
{
	const struct relay_server_info *p;
	struct feed_source *f;

	list(73);
	f = start(5, 73);
	p = proxy_of(f, 0);
	ck_assert_str_eq(p->id, "p1");
	feed_source_on_answer(f, p->id, true, AGE_OK_US, 0);
	ck_assert_ptr_eq(proxy_of(f, 0), p);
	feed_source_on_answer(f, p->id, true, AGE_OLD_US, 0);
	/* The store itself first: it has what was missed. */
	ck_assert_ptr_null(proxy_of(f, 0));
	p = proxy_of(f, 1100 * MS);
	ck_assert_ptr_nonnull(p);
	ck_assert_str_ne(p->id, "p1");
	ck_assert_str_ne(p->zone, infos[5].zone);
	p = proxy_of(f, 11000 * MS);
	ck_assert_str_eq(p->id, "p1");
	feed_source_destroy(f);
}
END_TEST

/* What a watcher doesn't send comes from the store, by one call. */
START_TEST(what_is_missing_is_asked_for_once)
{
	const struct relay_server_info *p;
	struct feed_source *f;

	list(73);
	f = start(5, 73);
	p = proxy_of(f, 0);
	feed_source_on_missing(f);
	ck_assert_ptr_null(proxy_of(f, 0));
	ck_assert_ptr_eq(proxy_of(f, 0), p);
	feed_source_destroy(f);
}
END_TEST

static bool asks_store(const struct feed_plan *plan)
{
	return !plan->proxy;
}

/*
 * The store gives one call no answer. Were the next one to wait for its limit,
 * the store's return would be noticed that much later.
 */
START_TEST(a_silent_store_is_asked_again_and_again)
{
	struct feed_source *f;
	struct feed_plan plan;

	list(8);
	f = start(5, 8);
	plan = feed_source_plan(f, false, 0);
	ck_assert_uint_eq(plan.repeat_ms, 0);
	feed_source_on_store(f, false, 0);
	plan = feed_source_plan(f, false, 0);
	ck_assert_uint_gt(plan.repeat_ms, 0);
	ck_assert_uint_le(plan.repeat_ms, 400);
	ck_assert_uint_gt(plan.timeout_us, plan.repeat_ms * MS);
	feed_source_on_store(f, true, 0);
	plan = feed_source_plan(f, false, 0);
	ck_assert_uint_eq(plan.repeat_ms, 0);
	feed_source_destroy(f);
}
END_TEST

/* The watcher is behind, and the store is silent for this one, too. */
static struct feed_source *start_in_silence(void)
{
	struct feed_source *f;

	list(73);
	f = start(5, 73);
	feed_source_on_answer(f, "p1", true, AGE_OLD_US, 0);
	feed_source_on_store(f, false, 0);
	return f;
}

/*
 * The store is silent for a fleet of 73. Each that follows a watcher left it
 * and asked the store on and on, and the store met them all when it was back.
 */
START_TEST(followers_ask_a_silent_store_rarely)
{
	struct feed_source *f = start_in_silence();
	unsigned n_store = 0;
	struct feed_plan plan;
	uint64_t ms;

	for (ms = 0; ms < 20000; ms += 250) {
		plan = feed_source_plan(f, false, ms * MS);
		n_store += asks_store(&plan);
		if (asks_store(&plan))
			feed_source_on_store(f, false, ms * MS);
		else
			feed_source_on_answer(f, plan.proxy->id, true,
					      AGE_OLD_US, ms * MS);
	}
	ck_assert_uint_ge(n_store, 4);
	ck_assert_uint_le(n_store, 10);
	feed_source_destroy(f);
}
END_TEST

/*
 * The store answers one hall's watcher again and not this hall's. Who went on
 * with its own watcher would hear of the return with it. The one that was left
 * stays out, or each return to it would cost a call to the store.
 */
START_TEST(each_watcher_is_heard_in_a_silence)
{
	struct feed_source *f = start_in_silence();
	GHashTable *asked = g_hash_table_new(g_str_hash, g_str_equal);
	const struct relay_server_info *p = NULL;
	unsigned i;

	for (i = 0; i < 2 * ZONES; i++) {
		p = proxy_of(f, 1);
		ck_assert_ptr_nonnull(p);
		ck_assert_str_ne(p->id, "p1");
		g_hash_table_add(asked, p->id);
		feed_source_on_answer(f, p->id, true, AGE_OLD_US, 1);
	}
	ck_assert_uint_eq(g_hash_table_size(asked), ZONES - 1);
	p = proxy_of(f, 1);
	ck_assert(feed_source_on_answer(f, p->id, true, AGE_OK_US, 1));
	/* Others may not have noticed yet. */
	ck_assert_ptr_eq(proxy_of(f, 2), p);
	ck_assert_str_eq(proxy_of(f, 11000 * MS)->id, "p1");
	g_hash_table_destroy(asked);
	feed_source_destroy(f);
}
END_TEST

/*
 * A hall has one watcher, which is behind, and the store is silent for all.
 * Those that follow it must not all ask the store for that.
 */
START_TEST(the_only_watcher_is_asked_in_a_silence)
{
	const struct relay_server_info *p;
	struct feed_source *f;
	unsigned i;

	list(73);
	for (i = 0; i < 73; i++)
		infos[i].feed_port = i == 1 ? 1 : 0;
	f = start(5, 73);
	feed_source_on_answer(f, "p1", true, AGE_OLD_US, 0);
	ck_assert_ptr_null(proxy_of(f, 0));
	feed_source_on_store(f, false, 0);
	p = proxy_of(f, 0);
	ck_assert_ptr_nonnull(p);
	ck_assert_str_eq(p->id, "p1");
	feed_source_destroy(f);
}
END_TEST

/* All watchers are dead at once: the store is still there. */
START_TEST(without_a_watcher_the_store_is_asked)
{
	const struct relay_server_info *p;
	struct feed_source *f;
	uint64_t now_us = 0;
	unsigned i;

	list(73);
	f = start(5, 73);
	for (i = 0; i < ZONES; i++) {
		p = proxy_of(f, now_us);
		ck_assert_ptr_nonnull(p);
		feed_source_on_answer(f, p->id, false, 0, now_us);
		now_us += 1100 * MS;
	}
	ck_assert_ptr_null(proxy_of(f, now_us));
	feed_source_destroy(f);
}
END_TEST

/* Proxies of an older release have no feed: nobody asks them for one. */
START_TEST(who_has_no_feed_is_not_asked)
{
	const struct relay_server_info *p;
	struct feed_source *f;

	list(73);
	infos[1].feed_port = 0;
	f = start(5, 73);
	p = proxy_of(f, 0);
	ck_assert_ptr_nonnull(p);
	ck_assert_str_ne(p->id, "p1");
	feed_source_on_proxies(f, infos, 3);
	ck_assert_ptr_null(proxy_of(f, 0));
	feed_source_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("feed source");

	tcase_add_test(tc, a_small_fleet_asks_the_store);
	tcase_add_test(tc, a_few_watch_for_a_large_one);
	tcase_add_test(tc, watchers_grow_with_the_fleet);
	tcase_add_test(tc, the_order_of_a_list_does_not_matter);
	tcase_add_test(tc, a_very_large_fleet_shares_a_few_watchers);
	tcase_add_test(tc, what_is_sent_goes_by_the_link);
	tcase_add_loop_test(tc, a_store_is_spared_where_watchers_are_wider, 0,
			    3);
	tcase_add_test(tc, a_watcher_that_is_behind_is_left);
	tcase_add_test(tc, what_is_missing_is_asked_for_once);
	tcase_add_test(tc, a_silent_store_is_asked_again_and_again);
	tcase_add_test(tc, followers_ask_a_silent_store_rarely);
	tcase_add_test(tc, each_watcher_is_heard_in_a_silence);
	tcase_add_test(tc, the_only_watcher_is_asked_in_a_silence);
	tcase_add_test(tc, without_a_watcher_the_store_is_asked);
	tcase_add_test(tc, who_has_no_feed_is_not_asked);
	return suite_main("feed source", tc);
}
