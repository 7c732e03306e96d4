#include <celeryquay/sched/admission.h>

#include <celeryquay/suite.h>

#define MS 1000
#define SECOND (1000 * MS)
/* Page 0022. */
#define LEAST_RETRY_US (100 * MS)
#define MOST_RETRY_US (5 * SECOND)

/* Guards against statements that are held although they can't be served. */
START_TEST(test_refused_once_it_would_end_too_late)
{
	struct sadmit_request r = { .wait_us = 300 * MS,
				    .cost_us = 100 * MS,
				    .deadline_us = 10 * SECOND };
	uint64_t latest_us = 10 * SECOND - 400 * MS;

	ck_assert_int_eq(sadmit_check(&r, 0), SADMIT_WAIT);
	ck_assert_int_eq(sadmit_check(&r, latest_us), SADMIT_WAIT);
	ck_assert_int_eq(sadmit_check(&r, latest_us + 1),
			 SADMIT_REFUSE_OVERLOAD);
	ck_assert_int_eq(sadmit_check(&r, 11 * SECOND), SADMIT_REFUSE_OVERLOAD);
	r.wait_us = 10 * SECOND;
	ck_assert_int_eq(sadmit_check(&r, 0), SADMIT_REFUSE_OVERLOAD);
}
END_TEST

/*
 * Guards against refusals during a short change of primary, and against a wait
 * without end for one that doesn't come.
 */
START_TEST(test_without_a_server_until_patience_ends)
{
	struct sadmit_request r = { .wait_us = UINT64_MAX,
				    .cost_us = 100 * MS,
				    .deadline_us = 10 * SECOND,
				    .patience_us = 2 * SECOND };

	ck_assert_int_eq(sadmit_check(&r, 2 * SECOND - 1), SADMIT_WAIT);
	ck_assert_int_eq(sadmit_check(&r, 2 * SECOND), SADMIT_REFUSE_NO_SERVER);
}
END_TEST

START_TEST(test_verdicts_have_names)
{
	unsigned i, j;

	for (i = 0; i < SADMIT_VERDICTS; i++) {
		for (j = 0; j < i; j++)
			ck_assert_str_ne(sadmit_verdict_name(i),
					 sadmit_verdict_name(j));
	}
}
END_TEST

/* Guards against refused callers that all return at the same time. */
START_TEST(test_retries_are_spread)
{
	struct sretry r = { 0 };
	uint64_t now_us = SECOND, last_us = 0;
	unsigned i;

	for (i = 0; i < 100; i++) {
		uint64_t after_us =
			sretry_after_us(&r, 300 * MS, 5 * MS, now_us);

		if (i)
			ck_assert_uint_ge(now_us + after_us, last_us + 5 * MS);
		else
			ck_assert_uint_eq(after_us, 300 * MS);
		last_us = now_us + after_us;
		now_us += i % 3 * MS;
	}
}
END_TEST

/* Guards against callers that return before anything has changed, or never. */
START_TEST(test_retries_have_bounds)
{
	struct sretry r = { 0 };
	unsigned i;

	ck_assert_uint_eq(sretry_after_us(&r, 0, 5 * MS, SECOND),
			  LEAST_RETRY_US);
	for (i = 0; i < 10000; i++) {
		uint64_t after_us =
			sretry_after_us(&r, 200 * MS, 5 * MS, 2 * SECOND);

		ck_assert_uint_ge(after_us, 200 * MS);
		ck_assert_uint_le(after_us, MOST_RETRY_US);
	}
	r = (struct sretry){ 0 };
	ck_assert_uint_eq(sretry_after_us(&r, UINT64_MAX, 5 * MS, SECOND),
			  MOST_RETRY_US);
}
END_TEST

/* Guards against a burst that is long over and still delays retries. */
START_TEST(test_retries_after_a_burst)
{
	struct sretry r = { 0 };
	unsigned i;

	for (i = 0; i < 10000; i++)
		sretry_after_us(&r, 0, 5 * MS, SECOND);
	ck_assert_uint_eq(sretry_after_us(&r, 0, 5 * MS, 10 * SECOND),
			  LEAST_RETRY_US);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("admission");

	tcase_add_test(tc, test_refused_once_it_would_end_too_late);
	tcase_add_test(tc, test_without_a_server_until_patience_ends);
	tcase_add_test(tc, test_verdicts_have_names);
	tcase_add_test(tc, test_retries_are_spread);
	tcase_add_test(tc, test_retries_have_bounds);
	tcase_add_test(tc, test_retries_after_a_burst);
	return suite_main("admission", tc);
}
