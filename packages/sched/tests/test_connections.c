#include <celeryquay/sched/connections.h>

#include <celeryquay/suite.h>
#include <glib.h>

#define MS 1000
#define SECOND (1000 * MS)
#define MINUTE (60 * (uint64_t)SECOND)

/* Notes uses at that rate for a minute, until now_us. */
static void use(struct sconn_usage *u, const char *account, unsigned per_s,
		uint64_t now_us)
{
	unsigned n = 60 * per_s, i;

	for (i = 0; i < n; i++)
		sconn_usage_note(u, account,
				 now_us - MINUTE + i * MINUTE / (n - 1));
}

/* Guards against rates that depend on how uses are spaced, or never fall. */
START_TEST(test_rate_follows_use)
{
	struct sconn_usage *u = sconn_usage_create();
	uint64_t now_us = 2 * MINUTE;

	use(u, "a", 20, now_us);
	use(u, "b", 2, now_us);
	ck_assert_double_eq_tol(sconn_usage_rate(u, "a", now_us), 20, 1);
	ck_assert_double_eq_tol(sconn_usage_rate(u, "b", now_us), 2, 0.3);
	ck_assert_double_eq(sconn_usage_rate(u, "unknown", now_us), 0);
	ck_assert_double_lt(sconn_usage_rate(u, "a", now_us + MINUTE), 0.01);
	/* A clock reading from before the last use is not a negative age. */
	ck_assert_double_le(sconn_usage_rate(u, "a", 0), 21);
	sconn_usage_destroy(u);
}
END_TEST

/*
 * Guards against connections of all accounts that are closed in turn, so that
 * each statement opens one anew.
 */
START_TEST(test_the_least_used_is_closed)
{
	struct sconn_usage *u = sconn_usage_create();
	const struct sconn_idle idle[] = { { "a", 1, 0 },
					   { "b", 1, 0 },
					   { "c", 1, 0 } };
	uint64_t now_us = 2 * MINUTE;

	use(u, "a", 20, now_us);
	use(u, "b", 2, now_us);
	use(u, "c", 10, now_us);
	ck_assert_int_eq(sconn_victim(u, idle, 3, "d", now_us), 1);
	sconn_usage_destroy(u);
}
END_TEST

/* Guards against an account that closes its own connection to open one. */
START_TEST(test_never_the_asking_accounts_own)
{
	struct sconn_usage *u = sconn_usage_create();
	const struct sconn_idle idle[] = { { "a", 1, 0 },
					   { "b", 3, 0 },
					   { "c", 0, 5 } };
	uint64_t now_us = 2 * MINUTE;

	use(u, "a", 20, now_us);
	ck_assert_int_eq(sconn_victim(u, idle, 3, "b", now_us), 0);
	ck_assert_int_eq(sconn_victim(u, idle + 1, 2, "b", now_us), -1);
	ck_assert_int_eq(sconn_victim(u, NULL, 0, "b", now_us), -1);
	sconn_usage_destroy(u);
}
END_TEST

/* Of accounts with several, the one whose further ones are used least. */
START_TEST(test_of_several_the_least_used_is_closed)
{
	struct sconn_usage *u = sconn_usage_create();
	const struct sconn_idle idle[] = { { "a", 2, 0 },
					   { "b", 2, 0 },
					   { "c", 2, 4 } };
	uint64_t now_us = 2 * MINUTE;

	use(u, "a", 10, now_us);
	use(u, "b", 8, now_us);
	use(u, "c", 10, now_us);
	ck_assert_int_eq(sconn_victim(u, idle, 2, "d", now_us), 1);
	/* the sixth of c's connections is used less than b's second */
	ck_assert_int_eq(sconn_victim(u, idle, 3, "d", now_us), 2);
	sconn_usage_destroy(u);
}
END_TEST

/*
 * Guards against an account that loses its only connection while another one
 * keeps several that nobody uses.
 */
START_TEST(test_surplus_is_closed_before_a_last_one)
{
	struct sconn_usage *u = sconn_usage_create();
	const struct sconn_idle idle[] = { { "rare", 1, 0 },
					   { "busy", 2, 0 },
					   { "in-use", 1, 1 } };
	uint64_t now_us = 2 * MINUTE;

	use(u, "rare", 1, now_us);
	use(u, "busy", 100, now_us);
	use(u, "in-use", 10, now_us);
	ck_assert_int_eq(sconn_victim(u, idle, 2, "d", now_us), 1);
	/* One that has others in use is not an account's last one. */
	ck_assert_int_eq(sconn_victim(u, idle, 3, "d", now_us), 2);
	ck_assert_int_eq(sconn_victim(u, idle, 1, "d", now_us), 0);
	sconn_usage_destroy(u);
}
END_TEST

/* Guards against connections that cost more slot time than they save. */
START_TEST(test_opened_when_waiting_takes_longer)
{
	/* None that could become free. */
	ck_assert(sconn_should_open(0, 0, 1, 1 * MS));
	/* Free after 2 x 10 / 2 ms, 2 x 20 / 2 ms. */
	ck_assert(!sconn_should_open(1, 0, 1, 10 * MS));
	ck_assert(sconn_should_open(1, 0, 1, 20 * MS));
	/* One of many becomes free sooner. */
	ck_assert(!sconn_should_open(9, 0, 1, 33 * MS));
	/* Those that are being opened serve others that wait. */
	ck_assert(!sconn_should_open(1, 8, 1, 33 * MS));
	/* Many wait before. */
	ck_assert(sconn_should_open(1, 0, 9, 11 * MS));
	ck_assert(!sconn_should_open(1, 0, 1, SCONN_OPEN_COST_US));
}
END_TEST

/*
 * Guards against a preference that overrides load, that differs between calls,
 * or that sends all accounts to the same replica.
 */
START_TEST(test_read_penalty)
{
	unsigned i, n_first = 0;

	for (i = 0; i < 1000; i++) {
		char *account = g_strdup_printf("account-%u", i);
		uint64_t a = sconn_read_penalty_us(account, "server-a");
		uint64_t b = sconn_read_penalty_us(account, "server-b");

		ck_assert_uint_le(a, SCONN_OPEN_COST_US);
		ck_assert_uint_le(b, SCONN_OPEN_COST_US);
		ck_assert_uint_eq(a,
				  sconn_read_penalty_us(account, "server-a"));
		n_first += a < b;
		g_free(account);
	}
	/* Half, and four standard deviations to both sides. */
	ck_assert_uint_ge(n_first, 437);
	ck_assert_uint_le(n_first, 563);
	ck_assert_uint_eq(sconn_read_penalty_us("", "server-a"), 0);
	ck_assert_uint_eq(sconn_read_penalty_us("", "server-b"), 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("connections");

	tcase_add_test(tc, test_rate_follows_use);
	tcase_add_test(tc, test_the_least_used_is_closed);
	tcase_add_test(tc, test_never_the_asking_accounts_own);
	tcase_add_test(tc, test_of_several_the_least_used_is_closed);
	tcase_add_test(tc, test_surplus_is_closed_before_a_last_one);
	tcase_add_test(tc, test_opened_when_waiting_takes_longer);
	tcase_add_test(tc, test_read_penalty);
	return suite_main("connections", tc);
}
