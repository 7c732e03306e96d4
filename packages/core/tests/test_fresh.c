#include "support_status.h"

#include <celeryquay/suite.h>
#include <stdlib.h>

#define MS USEC_PER_MSEC
#define UNKNOWN UINT64_MAX

/*
 * At first server 0 is the primary of term 1, servers 1 and 2 are its replicas.
 */
static struct fresh *f;

static void setup(void)
{
	f = fresh_create(3);
}

static void teardown(void)
{
	fresh_destroy(f);
}

static struct position at(uint64_t term, uint64_t index)
{
	return (struct position){ term, index };
}

static void on_primary(unsigned server, uint64_t ms, uint64_t term,
		       uint64_t received, struct history h)
{
	struct server_status s = primary_status(term, received, h);

	fresh_on_status(f, server, ms * MS, &s);
}

static void on_replica(unsigned server, uint64_t ms, uint64_t granted,
		       uint64_t received, uint64_t applied, struct history h)
{
	struct server_status s = replica_status(granted, received, applied, h);

	fresh_on_status(f, server, ms * MS, &s);
}

/* Probes each server once, all started at `ms`; the replicas have caught up. */
static void probe_all(uint64_t ms, uint64_t index)
{
	struct history h = history_of(1, 1, 0);

	on_primary(0, ms, 1, index, h);
	on_replica(1, ms, 1, index, index, h);
	on_replica(2, ms, 1, index, index, h);
}

static uint64_t age_ms(unsigned server, uint64_t now_ms)
{
	uint64_t age_us = fresh_age_us(f, server, now_ms * MS);

	return age_us == UNKNOWN ? UNKNOWN : age_us / MS;
}

START_TEST(test_nothing_is_known_without_status)
{
	ck_assert_int_eq(fresh_primary(f), -1);
	ck_assert_uint_eq(fresh_term(f), 0);
	ck_assert_uint_eq(fresh_confirmed_until_us(f), 0);
	ck_assert_uint_eq(age_ms(0, 50), UNKNOWN);
	ck_assert_ptr_null(fresh_status(f, 0));
	ck_assert(!fresh_has_applied(f, 0, at(0, 0)));
	ck_assert(!fresh_is_durable(f, at(1, 1)));
	ck_assert(!fresh_is_lost(f, at(1, 1)));
}
END_TEST

START_TEST(test_sample_counts_once_a_majority_confirms_it)
{
	struct history h = history_of(1, 1, 0);

	on_primary(0, 10, 1, 5, h);
	on_replica(1, 9, 1, 5, 5, h);
	ck_assert_int_eq(fresh_primary(f), 0);
	ck_assert_uint_eq(fresh_confirmed_until_us(f), 9 * MS);
	ck_assert_uint_eq(age_ms(1, 20), UNKNOWN);
	on_replica(2, 12, 1, 5, 5, h);
	ck_assert_uint_eq(fresh_confirmed_until_us(f), 10 * MS);
	ck_assert_uint_eq(age_ms(0, 20), 10);
	ck_assert_uint_eq(age_ms(1, 20), 10);
	ck_assert_uint_eq(age_ms(2, 25), 15);
}
END_TEST

START_TEST(test_idle_primary_refreshes_replica_that_caught_up)
{
	struct history h = history_of(1, 1, 0);
	uint64_t ms;

	probe_all(10, 5);
	for (ms = 20; ms < 10000; ms += 10) {
		on_primary(0, ms, 1, 5, h);
		on_replica(1, ms, 1, 5, 5, h);
		on_replica(2, ms, 1, 5, 4, h);
		ck_assert_uint_eq(age_ms(1, ms + 3), 3);
		ck_assert_uint_eq(age_ms(2, ms + 3), UNKNOWN);
	}
}
END_TEST

START_TEST(test_lagging_replica_has_age_of_sample_it_covers)
{
	struct history h = history_of(1, 1, 0);

	probe_all(10, 5);
	probe_all(20, 8);
	on_primary(0, 30, 1, 12, h);
	on_replica(2, 30, 1, 12, 11, h);
	ck_assert_uint_eq(age_ms(1, 35), 15);
	ck_assert_uint_eq(age_ms(2, 35), 15);
	fresh_on_applied(f, 2, at(1, 12));
	ck_assert_uint_eq(age_ms(2, 35), 5);
	/* Its log is only known to reach index 8: index 12 does not count. */
	fresh_on_applied(f, 1, at(1, 12));
	ck_assert_uint_eq(age_ms(1, 35), 15);
}
END_TEST

/*
 * The proxy is partitioned together with the old primary while a new primary
 * commits elsewhere. Every probe of the old one still succeeds: if probes of
 * one server alone counted, callers would get outdated data as fresh.
 */
START_TEST(test_ages_grow_when_partitioned_with_old_primary)
{
	struct history h = history_of(1, 1, 0);
	uint64_t ms;

	probe_all(10, 5);
	for (ms = 20; ms <= 5000; ms += 10)
		on_primary(0, ms, 1, 5, h);
	ck_assert_uint_eq(fresh_confirmed_until_us(f), 10 * MS);
	ck_assert_uint_eq(age_ms(0, 5000), 4990);
	ck_assert_uint_eq(age_ms(1, 5000), 4990);
}
END_TEST

/* One server's grant of a higher term does not depose the primary, two do. */
START_TEST(test_majority_of_grants_deposes_primary)
{
	struct history h = history_of(1, 1, 0);

	probe_all(10, 5);
	on_replica(1, 20, 2, 5, 5, h);
	on_primary(0, 20, 1, 6, h);
	on_replica(2, 20, 1, 6, 6, h);
	ck_assert_int_eq(fresh_primary(f), 0);
	ck_assert_uint_eq(fresh_confirmed_until_us(f), 20 * MS);
	on_replica(2, 30, 2, 6, 6, h);
	on_primary(0, 30, 1, 7, h);
	ck_assert_int_eq(fresh_primary(f), -1);
	ck_assert_uint_eq(fresh_term(f), 0);
	ck_assert_uint_eq(age_ms(2, 50), 30);
	ck_assert_uint_eq(age_ms(0, 50), 30);
}
END_TEST

/* Ages confirmed in the old term stay valid while the next term begins. */
START_TEST(test_failover_keeps_ages_and_finds_new_primary)
{
	struct history h1 = history_of(1, 1, 0);
	struct history h2 = history_of(1, 1, 2, 6, 0);

	probe_all(10, 5);
	on_replica(1, 20, 2, 5, 5, h1);
	on_replica(2, 20, 2, 5, 5, h1);
	on_primary(1, 30, 2, 6, h2);
	ck_assert_uint_eq(fresh_term(f), 2);
	ck_assert_int_eq(fresh_primary(f), 1);
	ck_assert_uint_eq(age_ms(2, 40), 30);
	on_replica(2, 35, 2, 6, 5, h2);
	ck_assert_uint_eq(fresh_confirmed_until_us(f), 30 * MS);
	ck_assert_uint_eq(age_ms(1, 40), 10);
	ck_assert_uint_eq(age_ms(2, 40), 30);
	/* The old primary answers again and still reports itself as primary. */
	on_primary(0, 40, 1, 9, h1);
	ck_assert_int_eq(fresh_primary(f), 1);
	ck_assert_uint_eq(age_ms(0, 50), 40);
}
END_TEST

START_TEST(test_late_status_does_not_restore_old_role)
{
	struct history h1 = history_of(1, 1, 0);
	struct history h2 = history_of(1, 1, 2, 6, 0);

	probe_all(10, 5);
	on_replica(0, 50, 2, 5, 5, h2);
	on_primary(1, 50, 2, 6, h2);
	on_primary(0, 12, 1, 9, h1);
	ck_assert_int_eq(fresh_status(f, 0)->role, ROLE_REPLICA);
	ck_assert_int_eq(fresh_primary(f), 1);
}
END_TEST

/*
 * A server that reports less than before, or was forgotten, is not taken to
 * have applied what it reported earlier.
 */
START_TEST(test_shorter_log_replaces_known_log)
{
	struct history h = history_of(1, 1, 0);

	probe_all(10, 5);
	probe_all(20, 9);
	on_replica(1, 30, 1, 9, 4, h);
	ck_assert(!fresh_has_applied(f, 1, at(1, 5)));
	ck_assert_uint_eq(age_ms(1, 30), UNKNOWN);
	fresh_forget(f, 2);
	ck_assert(!fresh_has_applied(f, 2, at(1, 1)));
	ck_assert_uint_eq(age_ms(2, 30), UNKNOWN);
	ck_assert_ptr_null(fresh_status(f, 2));
}
END_TEST

START_TEST(test_has_applied)
{
	struct history h = history_of(1, 1, 3, 6, 0);

	on_primary(0, 10, 3, 8, h);
	on_replica(1, 10, 3, 8, 7, h);
	ck_assert(fresh_has_applied(f, 1, at(0, 0)));
	ck_assert(fresh_has_applied(f, 1, at(1, 5)));
	ck_assert(fresh_has_applied(f, 1, at(3, 7)));
	ck_assert(!fresh_has_applied(f, 1, at(3, 8)));
	ck_assert(!fresh_has_applied(f, 1, at(1, 6)));
	/*
	 * The primary has every entry of its own term, seen or not, and no
	 * entry that is not in its history.
	 */
	ck_assert(fresh_has_applied(f, 0, at(3, 900)));
	ck_assert(!fresh_has_applied(f, 0, at(4, 9)));
	ck_assert(!fresh_has_applied(f, 0, at(2, 6)));
}
END_TEST

START_TEST(test_majority_has)
{
	struct history h = history_of(1, 1, 0);

	probe_all(10, 5);
	ck_assert(fresh_is_durable(f, at(1, 5)));
	ck_assert(!fresh_is_durable(f, at(1, 6)));
	fresh_on_applied(f, 0, at(1, 6));
	ck_assert(!fresh_is_durable(f, at(1, 6)));
	on_replica(1, 20, 1, 6, 5, h);
	ck_assert(fresh_is_durable(f, at(1, 6)));
	fresh_forget(f, 1);
	ck_assert(!fresh_is_durable(f, at(1, 6)));
}
END_TEST

/*
 * Entries first seen in a log after its server granted a higher term may come
 * from a later primary; only those seen before count towards a majority.
 */
START_TEST(test_log_seen_after_a_grant_proves_nothing_new)
{
	struct history h = history_of(1, 1, 0);

	probe_all(10, 5);
	on_primary(0, 15, 1, 9, h);
	on_replica(1, 20, 2, 9, 5, h);
	ck_assert(fresh_is_durable(f, at(1, 5)));
	ck_assert(!fresh_is_durable(f, at(1, 9)));
}
END_TEST

/*
 * An acknowledged write is lost in the second failover. It was on the old
 * primary alone; the primary of term 3 got it from there and copied it to one
 * more server, which makes a majority of copies. But the third server's log
 * ends in term 2, so it ranks higher than that copy and wins the next
 * promotion.
 */
START_TEST(test_copies_of_old_term_entry_are_no_majority)
{
	struct history h1 = history_of(1, 1, 0);
	struct history h2 = history_of(1, 1, 2, 5, 0);
	struct history h3 = history_of(1, 1, 3, 6, 0);

	on_replica(2, 10, 2, 5, 5, h2);
	on_primary(0, 20, 3, 6, h3);
	on_replica(1, 20, 3, 5, 5, h1);
	ck_assert(!fresh_is_durable(f, at(1, 5)));
	/* Once the copy includes the first entry of term 3, it is safe. */
	on_replica(1, 30, 3, 6, 6, h3);
	ck_assert(fresh_is_durable(f, at(1, 5)));
	ck_assert(!fresh_is_durable(f, at(2, 5)));
}
END_TEST

/*
 * An entry that the next term's history lacks is lost once a majority has an
 * entry of that term.
 */
START_TEST(test_entry_is_lost_once_next_term_is_on_majority)
{
	struct history h2 = history_of(1, 1, 2, 6, 0);

	probe_all(10, 5);
	ck_assert(!fresh_is_lost(f, at(1, 7)));
	on_primary(1, 20, 2, 6, h2);
	ck_assert(!fresh_is_lost(f, at(1, 7)));
	on_replica(2, 20, 2, 6, 5, h2);
	ck_assert(fresh_is_lost(f, at(1, 7)));
	ck_assert(!fresh_is_lost(f, at(1, 5)));
	ck_assert(!fresh_is_lost(f, at(2, 9)));
	ck_assert(!fresh_is_lost(f, at(3, 1)));
	ck_assert(!fresh_is_lost(f, at(0, 0)));
}
END_TEST

/*
 * Few samples are kept of thousands of probes; the age must still exceed the
 * true lag by no more than a fifth and 10 ms.
 */
START_TEST(test_thinned_samples_keep_close_bounds)
{
	static const uint64_t lags_ms[] = { 10, 100, 2000, 60000 };
	struct history h = history_of(1, 1, 0);
	uint64_t lag_ms = lags_ms[_i];
	uint64_t ms;

	for (ms = 10; ms < 200000; ms += 5) {
		uint64_t applied = ms > lag_ms ? ms - lag_ms : 0;
		uint64_t age;

		on_primary(0, ms, 1, ms, h);
		on_replica(1, ms, 1, ms, applied, h);
		if (ms < 2 * lag_ms)
			continue;
		age = age_ms(1, ms);
		ck_assert_uint_ge(age, lag_ms);
		ck_assert_uint_le(age, lag_ms + lag_ms / 5 + 10);
	}
}
END_TEST

START_TEST(test_catch_up_estimate)
{
	struct history h = history_of(1, 1, 0);
	uint64_t ms;

	ck_assert_uint_eq(fresh_catch_up_us(f, 1, at(1, 1), MS, MS), UNKNOWN);
	for (ms = 10; ms < 1000; ms += 10) {
		on_primary(0, ms, 1, ms, h);
		on_replica(1, ms, 1, ms, ms > 100 ? ms - 100 : 0, h);
	}
	/* Index 995 is not seen yet; lag 100 ms, a sample each 10 ms. */
	ms = fresh_catch_up_us(f, 1, at(1, 995), 0, 990 * MS) / MS;
	ck_assert_uint_ge(ms, 90);
	ck_assert_uint_le(ms, 120);
	ck_assert_uint_eq(fresh_catch_up_us(f, 1, at(1, 5), 0, 990 * MS), 0);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("fresh");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, test_nothing_is_known_without_status);
	tcase_add_test(t, test_sample_counts_once_a_majority_confirms_it);
	tcase_add_test(t, test_idle_primary_refreshes_replica_that_caught_up);
	tcase_add_test(t, test_lagging_replica_has_age_of_sample_it_covers);
	tcase_add_test(t, test_ages_grow_when_partitioned_with_old_primary);
	tcase_add_test(t, test_majority_of_grants_deposes_primary);
	tcase_add_test(t, test_failover_keeps_ages_and_finds_new_primary);
	tcase_add_test(t, test_late_status_does_not_restore_old_role);
	tcase_add_test(t, test_shorter_log_replaces_known_log);
	tcase_add_test(t, test_has_applied);
	tcase_add_test(t, test_majority_has);
	tcase_add_test(t, test_log_seen_after_a_grant_proves_nothing_new);
	tcase_add_test(t, test_copies_of_old_term_entry_are_no_majority);
	tcase_add_test(t, test_entry_is_lost_once_next_term_is_on_majority);
	tcase_add_loop_test(t, test_thinned_samples_keep_close_bounds, 0, 4);
	tcase_add_test(t, test_catch_up_estimate);
	return suite_main("fresh", t);
}
