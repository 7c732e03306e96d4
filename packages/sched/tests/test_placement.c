#include <celeryquay/sched/placement.h>

#include <celeryquay/suite.h>

#define SECOND (1000 * 1000)

static const struct splace_capacity small = { .cpu_permille = 84, .mbps = 10 };
static const struct splace_capacity large = { .cpu_permille = 500,
					      .mbps = 200 };
static const struct splace_capacity unknown = { 0 };

static struct splace_fleet fleet_of(const struct splace_capacity *a,
				    const struct splace_capacity *b)
{
	struct splace_fleet f = { 0 };

	splace_fleet_add(&f, a);
	splace_fleet_add(&f, b);
	return f;
}

/*
 * Guards against small proxies that are homes as often as large ones and serve
 * a service more slowly than these would.
 */
START_TEST(test_weight_follows_capacity)
{
	struct splace_fleet f = fleet_of(&small, &large);
	struct splace_capacity narrow = { .cpu_permille = 500, .mbps = 10 };

	ck_assert_uint_eq(splace_weight(&f, &small), 1);
	ck_assert_uint_eq(splace_weight(&f, &large), 5);
	ck_assert_uint_eq(splace_weight(&f, &narrow), 1);
}
END_TEST

/*
 * Guards against a rolling upgrade in which proxies that announce nothing are
 * never homes, or count as the smallest.
 */
START_TEST(test_unknown_capacity_has_weight_one)
{
	struct splace_fleet f = fleet_of(&unknown, &large);

	ck_assert_uint_eq(splace_weight(&f, &unknown), 1);
	ck_assert_uint_eq(splace_weight(&f, &large), 1);
}
END_TEST

/* Guards against deployments that are pooled without being configured so. */
START_TEST(test_pooled_only_where_called_for)
{
	struct splace_capacity medium = { .cpu_permille = 400, .mbps = 200 };
	struct splace_facts facts = { .homes = 13, .min_homes = 4 };

	facts.fleet = fleet_of(&small, &medium);
	ck_assert(!splace_is_pooled(&facts));
	facts.accounts = true;
	ck_assert(splace_is_pooled(&facts));
	facts.pooling = SPLACE_OFF;
	ck_assert(!splace_is_pooled(&facts));
	facts = (struct splace_facts){ .homes = 15, .min_homes = 4 };
	facts.fleet = fleet_of(&small, &large);
	ck_assert(splace_is_pooled(&facts));
	facts.homes = 4;
	ck_assert(!splace_is_pooled(&facts));
	facts = (struct splace_facts){ .homes = 15, .pooling = SPLACE_ON };
	ck_assert(splace_is_pooled(&facts));
}
END_TEST

/*
 * The first home is lost while the server still counts its connections. Guards
 * against a standby that finds none free.
 */
START_TEST(test_a_standby_finds_connections)
{
	unsigned limit = 66;
	unsigned first = limit - splace_connection_reserve(limit, 0, false);
	unsigned standby = limit - splace_connection_reserve(limit, 1, false);

	ck_assert_uint_ge(standby - first, 12);
	ck_assert_uint_lt(standby, limit);
	ck_assert_uint_eq(splace_connection_reserve(0, 0, false),
			  splace_connection_reserve(0, 1, false));
}
END_TEST

/*
 * All proxies restart while the server still counts the connections of the
 * former first home, which used all but its reserve. Guards against a first
 * home that opens none until the server has dropped those.
 */
START_TEST(test_a_restarted_home_finds_connections)
{
	unsigned limit = 66;
	unsigned counted = limit - splace_connection_reserve(limit, 0, false);

	ck_assert_uint_ge(limit - counted -
				  splace_connection_reserve(limit, 0, true),
			  12);
}
END_TEST

/* Guards against statements that go back and forth to a home that flaps. */
START_TEST(test_a_home_that_flaps_is_not_preferred)
{
	struct splace_home h = { 0 };
	uint64_t now = SECOND;
	unsigned i;

	splace_home_note(&h, true, now);
	ck_assert(splace_home_is_preferred(&h, now));
	for (i = 0; i < 10; i++) {
		splace_home_note(&h, false, now);
		ck_assert(!splace_home_is_preferred(&h, now));
		now += SECOND / 2;
		splace_home_note(&h, true, now);
		ck_assert(!splace_home_is_preferred(&h, now));
		now += SECOND / 2;
	}
	splace_home_note(&h, true, now + SECOND / 2);
	ck_assert(splace_home_is_preferred(&h, now + SECOND / 2));
}
END_TEST

START_TEST(test_setting)
{
	enum splace_pooling p = SPLACE_AUTO;

	ck_assert(splace_pooling_parse("off", &p));
	ck_assert_int_eq(p, SPLACE_OFF);
	ck_assert(!splace_pooling_parse("maybe", &p));
	ck_assert_int_eq(p, SPLACE_OFF);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("placement");

	tcase_add_test(tc, test_weight_follows_capacity);
	tcase_add_test(tc, test_unknown_capacity_has_weight_one);
	tcase_add_test(tc, test_pooled_only_where_called_for);
	tcase_add_test(tc, test_a_standby_finds_connections);
	tcase_add_test(tc, test_a_restarted_home_finds_connections);
	tcase_add_test(tc, test_a_home_that_flaps_is_not_preferred);
	tcase_add_test(tc, test_setting);
	return suite_main("placement", tc);
}
