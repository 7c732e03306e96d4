#include <celeryquay/core/retry.h>

#include <celeryquay/suite.h>
#include <stdlib.h>

/*
 * All servers of a database fail for a minute and every request is retried.
 * Without a bound the retries put twice the load on the servers that come back.
 * Here all first tries fail.
 */
START_TEST(test_retries_are_a_fraction_of_first_tries)
{
	struct retry_budget b;
	unsigned retries = 0;
	unsigned i;

	retry_budget_init(&b, 0.1, 10);
	for (i = 0; i < 10000; i++) {
		retry_budget_on_first_try(&b);
		retries += retry_budget_take(&b);
	}
	ck_assert_uint_le(retries, 1000 + 10);
	ck_assert_uint_ge(retries, 1000);
}
END_TEST

START_TEST(test_budget_does_not_grow_past_its_limit)
{
	struct retry_budget b;
	unsigned i;

	retry_budget_init(&b, 0.5, 3);
	for (i = 0; i < 1000; i++)
		retry_budget_on_first_try(&b);
	for (i = 0; i < 3; i++)
		ck_assert(retry_budget_take(&b));
	ck_assert(!retry_budget_take(&b));
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("retry");

	tcase_add_test(t, test_retries_are_a_fraction_of_first_tries);
	tcase_add_test(t, test_budget_does_not_grow_past_its_limit);
	return suite_main("retry", t);
}
