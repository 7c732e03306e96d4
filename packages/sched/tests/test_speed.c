#include <celeryquay/sched/speed.h>

#include <celeryquay/suite.h>
#include <glib.h>
#include <math.h>

#define MS 1000
#define SECOND (1000 * MS)
#define MEAN_US (20 * MS)

static const char *const servers[] = { "a", "b", "c" };

static uint64_t exponential_us(GRand *rng, double mean_us)
{
	return (uint64_t)(-log(1 - g_rand_double(rng)) * mean_us);
}

/* Each server runs a statement of that time, times its slowness. */
static void note_round(struct sspeed *s, const double *slowness, uint64_t us,
		       uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(servers); i++)
		sspeed_note(s, servers[i], "p",
			    (uint64_t)((double)us * slowness[i]), now_us);
}

/*
 * One server runs short statements, another one those of 50 times the length,
 * the third one both. Guards against a mix of profiles that is taken for a slow
 * server.
 */
START_TEST(test_mix_of_profiles_changes_nothing)
{
	struct sspeed *s = sspeed_create();
	uint64_t now_us = SECOND;
	unsigned i;

	for (i = 0; i < 300; i++) {
		bool is_long = i % 3 == 0;

		now_us += 5 * MS;
		sspeed_note(s, "a", "short", 2 * MS, now_us);
		sspeed_note(s, "b", "long", 100 * MS, now_us);
		sspeed_note(s, "c", is_long ? "long" : "short",
			    is_long ? 100 * MS : 2 * MS, now_us);
	}
	for (i = 0; i < G_N_ELEMENTS(servers); i++)
		ck_assert_double_eq_tol(sspeed_slowness(s, servers[i], now_us),
					1, 0.05);
	ck_assert_uint_eq(sspeed_expected_us(s, "short", 0), 2 * MS);
	ck_assert_uint_eq(sspeed_expected_us(s, "long", 0), 100 * MS);
	ck_assert_uint_eq(sspeed_expected_us(s, "unknown", 7 * MS), 7 * MS);
	sspeed_destroy(s);
}
END_TEST

/*
 * Guards against a server that takes eight times as long and gets reads like
 * its peers: within 20 of its statements, it counts as at least half as slow.
 */
START_TEST(test_slow_server_is_seen)
{
	const double even[] = { 1, 1, 1 }, one_slow[] = { 1, 8, 1 };
	struct sspeed *s = sspeed_create();
	uint64_t now_us = SECOND;
	double fast;
	unsigned i;

	for (i = 0; i < 100; i++, now_us += 10 * MS)
		note_round(s, even, MEAN_US, now_us);
	for (i = 0; i < 20; i++, now_us += 10 * MS)
		note_round(s, one_slow, MEAN_US, now_us);
	fast = MAX(sspeed_slowness(s, "a", now_us),
		   sspeed_slowness(s, "c", now_us));
	ck_assert_double_ge(sspeed_slowness(s, "b", now_us) / fast, 4);
	ck_assert_double_gt(sspeed_slowness(s, "b", now_us), 1);
	/* As slow in the expected end of one more statement. */
	ck_assert_uint_ge(sspeed_completion_us(MEAN_US,
					       sspeed_slowness(s, "b", now_us),
					       0, 6),
			  4 * sspeed_completion_us(MEAN_US, fast, 0, 6));
	for (i = 0; i < 60; i++, now_us += 10 * MS)
		note_round(s, even, MEAN_US, now_us);
	ck_assert_double_eq_tol(sspeed_slowness(s, "b", now_us) /
					sspeed_slowness(s, "a", now_us),
				1, 0.1);
	sspeed_destroy(s);
}
END_TEST

/*
 * Page 0022: a server whose speed is unknown is treated as average. Guards
 * against servers that have been measured and count as faster than that because
 * most service times are below their mean.
 */
START_TEST(test_varying_times_look_neither_slow_nor_fast)
{
	struct sspeed *s = sspeed_create();
	GRand *rng = g_rand_new_with_seed(7);
	uint64_t now_us = SECOND;
	double sum = 0;
	unsigned i, j, n = 0;

	for (i = 0; i < 3000; i++) {
		now_us += 5 * MS;
		sspeed_note(s, servers[i % 3], "p",
			    exponential_us(rng, MEAN_US), now_us);
		for (j = 0; i >= 100 && j < G_N_ELEMENTS(servers); j++, n++)
			sum += log2(sspeed_slowness(s, servers[j], now_us));
	}
	ck_assert_double_eq_tol(exp2(sum / n), 1, 0.1);
	ck_assert_double_eq(sspeed_slowness(s, "unknown", now_us), 1);
	g_rand_free(rng);
	sspeed_destroy(s);
}
END_TEST

/*
 * Guards against a server that is avoided for good, since nothing that it runs
 * shows that it has recovered.
 */
START_TEST(test_slowness_decays)
{
	const double one_slow[] = { 1, 8, 1 };
	struct sspeed *s = sspeed_create();
	uint64_t now_us = SECOND;
	double before, after;
	unsigned i;

	for (i = 0; i < 20; i++, now_us += 10 * MS)
		note_round(s, one_slow, MEAN_US, now_us);
	before = sspeed_slowness(s, "b", now_us);
	after = sspeed_slowness(s, "b", now_us + 2 * SECOND);
	ck_assert_double_gt(before, 1.5);
	ck_assert_double_lt(after, before);
	ck_assert_double_gt(after, 1);
	ck_assert_double_eq_tol(sspeed_slowness(s, "b",
						now_us + 60 * (uint64_t)SECOND),
				1, 0.01);
	sspeed_forget(s, "b");
	ck_assert_double_eq(sspeed_slowness(s, "b", now_us), 1);
	sspeed_destroy(s);
}
END_TEST

/* Guards against a server that hangs and is never tried again. */
START_TEST(test_slowness_is_clamped)
{
	struct sspeed *s = sspeed_create();
	uint64_t now_us = SECOND;
	unsigned i;

	for (i = 0; i < 1000; i++) {
		unsigned j;

		/* The others keep the expected time where it is. */
		for (j = 0; j < 20; j++)
			sspeed_note(s, "a", "p", MS, now_us);
		sspeed_note(s, "b", "p", 100 * SECOND, now_us);
		sspeed_note(s, "c", "p", 0, now_us);
		now_us += MS;
		for (j = 0; j < G_N_ELEMENTS(servers); j++) {
			double x = sspeed_slowness(s, servers[j], now_us);

			ck_assert_double_ge(x, 0.25);
			ck_assert_double_le(x, 16);
		}
	}
	sspeed_destroy(s);
}
END_TEST

/* Guards against a server that is flooded as soon as it is back. */
START_TEST(test_ramp)
{
	uint64_t since_us = 10 * SECOND, t;
	double last = 0;

	ck_assert_double_eq(sspeed_ramp(since_us, since_us), 0.25);
	for (t = 0; t <= 2 * SECOND; t += 100 * MS) {
		double share = sspeed_ramp(since_us, since_us + t);

		ck_assert_double_gt(share, last);
		last = share;
	}
	ck_assert_double_eq(last, 1);
	ck_assert_double_eq(sspeed_ramp(since_us, 100 * SECOND), 1);
	ck_assert_double_eq(sspeed_ramp(since_us, 0), 0.25);
}
END_TEST

/* Guards against a read at a server with a queue before it. */
START_TEST(test_completion)
{
	ck_assert_uint_eq(sspeed_completion_us(MEAN_US, 1, 0, 6), MEAN_US);
	ck_assert_uint_eq(sspeed_completion_us(MEAN_US, 1, 12, 6), 3 * MEAN_US);
	ck_assert_uint_eq(sspeed_completion_us(MEAN_US, 2, 6, 6), 4 * MEAN_US);
	ck_assert_uint_eq(sspeed_completion_us(MEAN_US, 1, 1, 0), 2 * MEAN_US);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("speed");

	tcase_add_test(tc, test_mix_of_profiles_changes_nothing);
	tcase_add_test(tc, test_slow_server_is_seen);
	tcase_add_test(tc, test_varying_times_look_neither_slow_nor_fast);
	tcase_add_test(tc, test_slowness_decays);
	tcase_add_test(tc, test_slowness_is_clamped);
	tcase_add_test(tc, test_ramp);
	tcase_add_test(tc, test_completion);
	return suite_main("speed", tc);
}
