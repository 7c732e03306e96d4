#include "support_slots.h"

#include <celeryquay/suite.h>

/* Page 0022, requirement 1. */
#define MAX_COST 0.02
#define PAGE_WRITES 0.12

/*
 * Urgent work of the account that floods goes before tolerant reads of all
 * others, however much service it has had. Guards against priorities that undo
 * the fairness between accounts.
 */
START_TEST(test_a_flood_of_all_profiles_in_overload)
{
	const struct slots_load load = { .load = 1.3,
					 .write_share = PAGE_WRITES,
					 .flood = 84 };

	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST);
}
END_TEST

/* Guards against a large account whose flood takes what the others use. */
START_TEST(test_a_flood_of_a_large_account)
{
	struct slots_load load = { .load = 0.95,
				   .write_share = PAGE_WRITES,
				   .n_large = 5 };

	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST);
	load.load = 1.3;
	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fairness");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, test_a_flood_of_all_profiles_in_overload);
	tcase_add_test(tc, test_a_flood_of_a_large_account);
	return suite_main("fairness", tc);
}
