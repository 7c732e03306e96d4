#include <celeryquay/relay/feed_source.h>

#include <celeryquay/suite.h>
#include <string.h>

#define ZONES 4
#define MS USEC_PER_MSEC
/* Ages of an answer that a follower accepts, and that it doesn't. */
#define FRESH_AGE_US (1000 * MS)
#define STALE_AGE_US (4000 * MS)

static struct relay_server_info infos[400];
static char names[400][16];
static char zones[ZONES][8];

/*
 * Lists n proxies in four data centres; the first of each has the widest link.
 */
static void list_proxies(unsigned n)
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
			.capacity.mbps = i < ZONES ? 200 : 10,
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

/* The proxy that is asked next; NULL: the store is. */
static const struct relay_server_info *next_proxy(struct feed_source *f,
						  uint64_t now_us)
{
	return feed_source_plan(f, false, now_us).proxy;
}

/* In a fleet of up to 16, every proxy asks the store itself. */
START_TEST(a_small_fleet_asks_the_store)
{
	struct feed_source *f;

	list_proxies(16);
	f = start(5, 16);
	ck_assert_ptr_null(next_proxy(f, 0));
	ck_assert(!feed_source_is_watcher(f));
	feed_source_destroy(f);
}
END_TEST

/*
 * Of 73 proxies, four ask the store; each other one asks the watcher of its
 * data centre.
 */
START_TEST(a_large_fleet_has_a_few_watchers)
{
	unsigned i, n_watchers = 0;

	list_proxies(73);
	for (i = 0; i < 73; i++) {
		struct feed_source *f = start(i, 73);
		const struct relay_server_info *p = next_proxy(f, 0);

		n_watchers += feed_source_is_watcher(f);
		ck_assert_int_eq(feed_source_is_watcher(f), p == NULL);
		/* Followers rely on its answers: no call waits long. */
		ck_assert_uint_le(feed_source_plan(f, false, 0).wait_ms, 800);
		if (p) {
			ck_assert_str_eq(p->zone, infos[i].zone);
			ck_assert_uint_eq(p->capacity.mbps, 200);
		}
		feed_source_destroy(f);
	}
	ck_assert_uint_eq(n_watchers, ZONES);
}
END_TEST

static unsigned count_watchers(unsigned n)
{
	unsigned i, n_watchers = 0;

	list_proxies(n);
	for (i = 0; i < n; i++) {
		struct feed_source *f = start(i, n);

		n_watchers += feed_source_is_watcher(f);
		feed_source_destroy(f);
	}
	return n_watchers;
}

/*
 * Each data centre has one more watcher for each 64 of its proxies, so that no
 * watcher is asked by all.
 */
START_TEST(watchers_grow_with_the_fleet)
{
	ck_assert_uint_eq(count_watchers(128), ZONES);
	ck_assert_uint_eq(count_watchers(300), ZONES * 2);
}
END_TEST

/* Fails when a proxy's position in the list decides whether it is a watcher. */
START_TEST(the_order_of_the_list_does_not_matter)
{
	unsigned i;

	list_proxies(300);
	for (i = 0; i < 300; i++) {
		struct feed_source *f = start(i, 300);
		bool watches = feed_source_is_watcher(f);
		struct relay_server_info rotated[300];
		unsigned j;

		for (j = 0; j < 300; j++)
			rotated[j] = infos[(j + 7 * i) % 300];
		feed_source_on_proxies(f, rotated, 300);
		ck_assert_int_eq(feed_source_is_watcher(f), watches);
		feed_source_destroy(f);
	}
}
END_TEST

/*
 * Guards against a fleet of 300 proxies that each watch the store: their calls
 * made up most of all calls to the platform. The first watcher of a data centre
 * is the proxy with the widest link.
 */
START_TEST(a_very_large_fleet_shares_a_few_watchers)
{
	unsigned i;

	list_proxies(300);
	for (i = 0; i < 300; i++) {
		struct feed_source *f = start(i, 300);
		const struct relay_server_info *p = next_proxy(f, 0);

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
 * Guards against a configuration of 17 KB that each of 294 followers reads from
 * the store; followers that got no answer went without it. A watcher with a
 * wide link sends it to all of its data centre; a narrow link must not be
 * saturated with it for seconds.
 */
START_TEST(a_watchers_value_size_follows_its_link)
{
	struct feed_source *wide, *narrow;

	list_proxies(300);
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

/*
 * Guards against a whole fleet that reads a large configuration from the store
 * at once, though its watchers have links wide enough to send it.
 */
START_TEST(wide_watchers_relieve_the_store)
{
	static const struct {
		unsigned proxies, mbps;
		size_t min_bytes, max_bytes; /* that a watcher sends */
	} cases[] = {
		{ 400, 1000, 600 * 1024, 2048 * 1024 },
		{ 400, 10, 0, 10 * 1024 },
		{ 40, 200, 0, 600 * 1024 },
	};
	struct feed_source *f;
	size_t bytes;

	list_proxies(cases[_i].proxies);
	infos[0].capacity.mbps = cases[_i].mbps;
	f = start(0, cases[_i].proxies);
	bytes = feed_source_value_max(f);
	ck_assert_uint_ge(bytes, cases[_i].min_bytes);
	ck_assert_uint_le(bytes, cases[_i].max_bytes);
	feed_source_destroy(f);
}
END_TEST

/*
 * The operators drop a route while the watcher of this data centre is cut off
 * from the store. Guards against followers that stay with that watcher and so
 * keep serving the route.
 */
START_TEST(a_watcher_that_is_behind_is_left)
{
	const struct relay_server_info *p;
	struct feed_source *f;

	list_proxies(73);
	f = start(5, 73);
	p = next_proxy(f, 0);
	ck_assert_str_eq(p->id, "p1");
	feed_source_on_answer(f, p->id, true, FRESH_AGE_US, 0);
	ck_assert_ptr_eq(next_proxy(f, 0), p);
	feed_source_on_answer(f, p->id, true, STALE_AGE_US, 0);
	/* The store is asked first: it has what was missed. */
	ck_assert_ptr_null(next_proxy(f, 0));
	p = next_proxy(f, 1100 * MS);
	ck_assert_ptr_nonnull(p);
	ck_assert_str_ne(p->id, "p1");
	ck_assert_str_ne(p->zone, infos[5].zone);
	p = next_proxy(f, 11000 * MS);
	ck_assert_str_eq(p->id, "p1");
	feed_source_destroy(f);
}
END_TEST

/* A value that a watcher doesn't send is read from the store, by one call. */
START_TEST(a_missing_value_is_read_from_the_store_once)
{
	const struct relay_server_info *p;
	struct feed_source *f;

	list_proxies(73);
	f = start(5, 73);
	p = next_proxy(f, 0);
	feed_source_on_value_missing(f);
	ck_assert_ptr_null(next_proxy(f, 0));
	ck_assert_ptr_eq(next_proxy(f, 0), p);
	feed_source_destroy(f);
}
END_TEST

static bool asks_store(const struct feed_plan *plan)
{
	return !plan->proxy;
}

/*
 * A call to the store gets no answer. Guards against a next call that waits for
 * its whole timeout, so that the store's return is noticed that much later.
 */
START_TEST(calls_to_a_silent_store_are_repeated)
{
	struct feed_source *f;
	struct feed_plan plan;

	list_proxies(8);
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

/*
 * A proxy whose watcher is behind, and which gets no answer from the store
 * either.
 */
static struct feed_source *start_in_store_outage(void)
{
	struct feed_source *f;

	list_proxies(73);
	f = start(5, 73);
	feed_source_on_answer(f, "p1", true, STALE_AGE_US, 0);
	feed_source_on_store(f, false, 0);
	return f;
}

/*
 * The store doesn't answer a fleet of 73. Guards against followers that leave
 * their watchers and call the store without a pause, so that it gets the calls
 * of all of them when it is back.
 */
START_TEST(followers_rarely_call_a_silent_store)
{
	struct feed_source *f = start_in_store_outage();
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
					      STALE_AGE_US, ms * MS);
	}
	ck_assert_uint_ge(n_store, 4);
	ck_assert_uint_le(n_store, 10);
	feed_source_destroy(f);
}
END_TEST

/*
 * The store answers the watcher of one data centre again and not that of this
 * one. Guards against a follower that only asks its own watcher, and learns of
 * the store's return no sooner than that. The watcher that was left is not
 * asked meanwhile, since each return to it would cost a call to the store.
 */
START_TEST(all_watchers_are_asked_in_a_store_outage)
{
	struct feed_source *f = start_in_store_outage();
	GHashTable *asked = g_hash_table_new(g_str_hash, g_str_equal);
	const struct relay_server_info *p = NULL;
	unsigned i;

	for (i = 0; i < 2 * ZONES; i++) {
		p = next_proxy(f, 1);
		ck_assert_ptr_nonnull(p);
		ck_assert_str_ne(p->id, "p1");
		g_hash_table_add(asked, p->id);
		feed_source_on_answer(f, p->id, true, STALE_AGE_US, 1);
	}
	ck_assert_uint_eq(g_hash_table_size(asked), ZONES - 1);
	p = next_proxy(f, 1);
	ck_assert(feed_source_on_answer(f, p->id, true, FRESH_AGE_US, 1));
	/* The other watchers may not have noticed yet. */
	ck_assert_ptr_eq(next_proxy(f, 2), p);
	ck_assert_str_eq(next_proxy(f, 11000 * MS)->id, "p1");
	g_hash_table_destroy(asked);
	feed_source_destroy(f);
}
END_TEST

/*
 * The only watcher is behind, and the store answers nobody. Guards against
 * followers that all ask the store for that reason.
 */
START_TEST(the_only_watcher_is_asked_in_a_store_outage)
{
	const struct relay_server_info *p;
	struct feed_source *f;
	unsigned i;

	list_proxies(73);
	for (i = 0; i < 73; i++)
		infos[i].feed_port = i == 1 ? 1 : 0;
	f = start(5, 73);
	feed_source_on_answer(f, "p1", true, STALE_AGE_US, 0);
	ck_assert_ptr_null(next_proxy(f, 0));
	feed_source_on_store(f, false, 0);
	p = next_proxy(f, 0);
	ck_assert_ptr_nonnull(p);
	ck_assert_str_eq(p->id, "p1");
	feed_source_destroy(f);
}
END_TEST

/* All watchers are dead at the same time; the store is asked instead. */
START_TEST(without_a_watcher_the_store_is_asked)
{
	const struct relay_server_info *p;
	struct feed_source *f;
	uint64_t now_us = 0;
	unsigned i;

	list_proxies(73);
	f = start(5, 73);
	for (i = 0; i < ZONES; i++) {
		p = next_proxy(f, now_us);
		ck_assert_ptr_nonnull(p);
		feed_source_on_answer(f, p->id, false, 0, now_us);
		now_us += 1100 * MS;
	}
	ck_assert_ptr_null(next_proxy(f, now_us));
	feed_source_destroy(f);
}
END_TEST

/* Proxies of an older release have no feed and must not be asked for one. */
START_TEST(proxies_without_a_feed_are_not_asked)
{
	const struct relay_server_info *p;
	struct feed_source *f;

	list_proxies(73);
	infos[1].feed_port = 0;
	f = start(5, 73);
	p = next_proxy(f, 0);
	ck_assert_ptr_nonnull(p);
	ck_assert_str_ne(p->id, "p1");
	feed_source_on_proxies(f, infos, 3);
	ck_assert_ptr_null(next_proxy(f, 0));
	feed_source_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("feed source");

	tcase_add_test(tc, a_small_fleet_asks_the_store);
	tcase_add_test(tc, a_large_fleet_has_a_few_watchers);
	tcase_add_test(tc, watchers_grow_with_the_fleet);
	tcase_add_test(tc, the_order_of_the_list_does_not_matter);
	tcase_add_test(tc, a_very_large_fleet_shares_a_few_watchers);
	tcase_add_test(tc, a_watchers_value_size_follows_its_link);
	tcase_add_loop_test(tc, wide_watchers_relieve_the_store, 0, 3);
	tcase_add_test(tc, a_watcher_that_is_behind_is_left);
	tcase_add_test(tc, a_missing_value_is_read_from_the_store_once);
	tcase_add_test(tc, calls_to_a_silent_store_are_repeated);
	tcase_add_test(tc, followers_rarely_call_a_silent_store);
	tcase_add_test(tc, all_watchers_are_asked_in_a_store_outage);
	tcase_add_test(tc, the_only_watcher_is_asked_in_a_store_outage);
	tcase_add_test(tc, without_a_watcher_the_store_is_asked);
	tcase_add_test(tc, proxies_without_a_feed_are_not_asked);
	return suite_main("feed source", tc);
}
