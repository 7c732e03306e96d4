#include "support_status.h"

#include <celeryquay/suite.h>
#include <stdlib.h>

static bool has(const struct history *h, uint64_t term, uint64_t index)
{
	return history_contains(h, (struct position){ term, index });
}

START_TEST(test_term_at)
{
	struct history h = history_of(1, 1, 3, 101, 0);

	ck_assert_uint_eq(history_term_at(&h, 0), 0);
	ck_assert_uint_eq(history_term_at(&h, 1), 1);
	ck_assert_uint_eq(history_term_at(&h, 100), 1);
	ck_assert_uint_eq(history_term_at(&h, 101), 3);
	ck_assert_uint_eq(history_term_at(&h, 5000), 3);
}
END_TEST

START_TEST(test_has)
{
	struct history h = history_of(1, 1, 3, 101, 0);

	ck_assert(has(&h, 1, 100));
	ck_assert(!has(&h, 1, 101));
	ck_assert(!has(&h, 2, 101));
	ck_assert(has(&h, 3, 101));
	ck_assert(!has(&h, 3, 100));
	ck_assert(!has(&h, 4, 200));
}
END_TEST

START_TEST(test_position_zero_is_in_every_history)
{
	struct history empty = { 0 };

	ck_assert(has(&empty, 0, 0));
	ck_assert(!has(&empty, 1, 1));
}
END_TEST

/*
 * A position before the first kept entry may belong to the history, unless its
 * term is that of the first kept entry or a later one.
 */
START_TEST(test_position_before_first_kept_entry)
{
	struct history h = history_of(7, 1000, 9, 2000, 0);

	ck_assert(has(&h, 6, 999));
	ck_assert(!has(&h, 7, 999));
	ck_assert(!has(&h, 8, 999));
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("history");

	tcase_add_test(t, test_term_at);
	tcase_add_test(t, test_has);
	tcase_add_test(t, test_position_zero_is_in_every_history);
	tcase_add_test(t, test_position_before_first_kept_entry);
	return suite_main("history", t);
}
