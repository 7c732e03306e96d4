#include <celeryquay/core/admit.h>

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define SLOTS 2
#define MAX_ENTRIES 4096

static struct admit *a;
static struct admit_entry entries[MAX_ENTRIES];
static unsigned n_entries;
static uint64_t retry_us;

static struct profile normal = { .name = "normal",
				 .priority = 5,
				 .share = 100 };
static struct profile urgent = { .name = "urgent",
				 .priority = 9,
				 .share = 100 };
static struct profile capped = { .name = "capped", .priority = 5, .share = 50 };

static void setup(void)
{
	a = admit_create(SLOTS);
	n_entries = 0;
}

static void teardown(void)
{
	admit_destroy(a);
}

static enum err_code push(const char *caller, const struct profile *profile,
			  uint64_t now_ms, uint64_t deadline_ms)
{
	struct admit_entry *e = &entries[n_entries++];
	struct err err = { 0 };

	memset(e, 0, sizeof(*e));
	e->caller = str_from_c(caller);
	e->profile = profile;
	e->caller_share = 100;
	e->deadline_us = deadline_ms * MS;
	if (!admit_push(a, e, now_ms * MS, &retry_us, &err)) {
		ck_assert_uint_gt(retry_us, 0);
		ck_assert_int_ne(err.code, ERR_NONE);
		return err.code;
	}
	return ERR_NONE;
}

/* Pops the next entry and completes it with the given service time. */
static struct admit_entry *serve(uint64_t now_ms, uint64_t service_ms)
{
	struct admit_entry *e = admit_pop(a, now_ms * MS);

	if (e)
		admit_done(a, e, service_ms * MS);
	return e;
}

static char next_caller(uint64_t now_ms, uint64_t service_ms)
{
	struct admit_entry *e = serve(now_ms, service_ms);

	return e ? e->caller.data[0] : '-';
}

static void drain(void)
{
	while (serve(0, 5))
		;
}

START_TEST(test_slots_limit_running_requests)
{
	struct admit_entry *e;

	ck_assert_ptr_null(admit_pop(a, 0));
	push("a", &normal, 0, 1000);
	push("a", &normal, 0, 1000);
	push("a", &normal, 0, 1000);
	e = admit_pop(a, 0);
	ck_assert_ptr_eq(e, &entries[0]);
	ck_assert_ptr_eq(admit_pop(a, 0), &entries[1]);
	ck_assert_ptr_null(admit_pop(a, 0));
	ck_assert_uint_eq(admit_running(a), 2);
	ck_assert_uint_eq(admit_queued(a), 1);
	ck_assert_uint_gt(admit_backlog_us(a), 0);
	admit_done(a, e, 5 * MS);
	ck_assert_ptr_eq(admit_pop(a, 0), &entries[2]);
	ck_assert_ptr_null(admit_pop(a, 0));
	admit_set_slots(a, 4);
	push("a", &normal, 0, 1000);
	ck_assert_ptr_nonnull(admit_pop(a, 0));
}
END_TEST

/*
 * A caller's bulk export fills the queue. With one queue for all callers,
 * another caller's single request would wait behind the whole export.
 */
START_TEST(test_flood_does_not_delay_other_caller)
{
	unsigned i;

	for (i = 0; i < 80; i++)
		ck_assert_int_eq(push("flood", &normal, 0, 100000), ERR_NONE);
	for (i = 0; i < 7; i++)
		serve(0, 5);
	ck_assert_int_eq(push("one", &normal, 0, 100000), ERR_NONE);
	ck_assert_int_eq(next_caller(0, 5), 'o');
}
END_TEST

/* Turns are shared by service time: b's requests take four times as long. */
START_TEST(test_fairness_counts_service_time)
{
	unsigned count[2] = { 0 };
	unsigned i;

	for (i = 0; i < 40; i++) {
		push("a", &normal, 0, 100000);
		push("b", &normal, 0, 100000);
	}
	for (i = 0; i < 40; i++) {
		struct admit_entry *e = admit_pop(a, 0);
		bool first = e->caller.data[0] == 'a';

		count[!first]++;
		admit_done(a, e, (first ? 5 : 20) * MS);
	}
	ck_assert_uint_ge(count[0], 30);
	ck_assert_uint_ge(count[1], 7);
}
END_TEST

START_TEST(test_shares_are_weights)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < 40; i++) {
		struct admit_entry *e = &entries[n_entries++];
		struct err err;

		*e = (struct admit_entry){ .caller = STR("a"),
					   .profile = &normal,
					   .caller_share = i % 2 ? 25 : 75,
					   .deadline_us = 100000 * MS };
		if (i % 2)
			e->caller = STR("b");
		ck_assert(admit_push(a, e, 0, &retry_us, &err));
	}
	for (i = 0; i < 20; i++)
		count += next_caller(0, 5) == 'a';
	ck_assert_uint_ge(count, 14);
	ck_assert_uint_le(count, 16);
}
END_TEST

START_TEST(test_priority_counts_within_a_caller_only)
{
	push("a", &normal, 0, 100000);
	push("a", &urgent, 0, 100000);
	push("b", &normal, 0, 100000);
	push("b", &normal, 0, 100000);
	ck_assert_ptr_eq(serve(0, 5), &entries[1]);
	ck_assert_int_eq(next_caller(0, 5), 'b');
	ck_assert_ptr_eq(serve(0, 5), &entries[0]);
	ck_assert_int_eq(next_caller(0, 5), 'b');
}
END_TEST

START_TEST(test_profile_share_holds_while_others_wait)
{
	struct admit_entry *first;

	push("a", &capped, 0, 100000);
	push("a", &capped, 0, 100000);
	push("b", &normal, 0, 100000);
	first = admit_pop(a, 0);
	ck_assert_ptr_eq(first, &entries[0]);
	/* Its share of 50 % is one of the two slots. */
	ck_assert_ptr_eq(admit_pop(a, 0), &entries[2]);
	admit_done(a, &entries[2], 5 * MS);
	/* No other profile waits, so it may use the free slot. */
	ck_assert_ptr_eq(admit_pop(a, 0), &entries[1]);
}
END_TEST

/*
 * A caller's exports run for an hour in the one slot that their profile's share
 * allows. If the caller earned credit for the turns that the share denied it,
 * it would then be served before all others until the credit is used up, and
 * another caller's reads would be refused for minutes.
 */
START_TEST(test_caller_at_profile_share_earns_no_credit)
{
	unsigned light_count = 0;
	struct admit_entry *heavy;
	unsigned i;

	for (i = 0; i < 10; i++)
		push("heavy", &capped, 0, 1000000);
	heavy = admit_pop(a, 0);
	for (i = 0; i < 1000; i++) {
		ck_assert_int_eq(push("light", &normal, 0, 1000000), ERR_NONE);
		ck_assert_int_eq(next_caller(0, 5), 'l');
	}
	admit_done(a, heavy, 5 * MS);
	for (i = 0; i < 10; i++)
		push("light", &normal, 0, 1000000);
	for (i = 0; i < 10; i++)
		light_count += next_caller(0, 5) == 'l';
	ck_assert_uint_ge(light_count, 4);
}
END_TEST

/* With every waiting profile at its share, a free slot is used nevertheless. */
START_TEST(test_free_slot_overrides_profile_shares)
{
	static struct profile other = { .name = "other", .share = 1 };

	admit_set_slots(a, 3);
	push("a", &capped, 0, 100000);
	push("b", &other, 0, 100000);
	ck_assert_ptr_nonnull(admit_pop(a, 0));
	ck_assert_ptr_nonnull(admit_pop(a, 0));
	push("a", &capped, 0, 100000);
	push("b", &other, 0, 100000);
	ck_assert_ptr_nonnull(admit_pop(a, 0));
}
END_TEST

/* The queue holds 128 entries per slot; one caller alone may use half of it. */
START_TEST(test_queue_is_bounded_and_keeps_room_for_others)
{
	unsigned i;

	for (i = 0; push("flood", &normal, 0, 10000000) == ERR_NONE; i++)
		;
	ck_assert_uint_eq(i, SLOTS * 128 / 2);
	ck_assert_int_eq(push("flood", &normal, 0, 10000000),
			 ERR_SHARE_USED_UP);
	for (i = 0; i < 20; i++)
		ck_assert_int_eq(push("one", &normal, 0, 10000000), ERR_NONE);
	drain();
}
END_TEST

/* Refused when pushed, with the time after which the queue is short enough. */
START_TEST(test_unmeetable_deadline_is_refused_at_once)
{
	unsigned i;

	for (i = 0; i < 20; i++) {
		push("a", &normal, 0, 100000);
		serve(0, 10);
	}
	for (i = 0; i < 20; i++)
		ck_assert_int_eq(push("a", &normal, 0, 100000), ERR_NONE);
	/* 20 requests of 10 ms in 2 slots: a wait of 100 ms. */
	ck_assert_int_eq(push("a", &normal, 0, 60), ERR_OVERLOADED);
	ck_assert_uint_ge(retry_us, 30 * MS);
	ck_assert_uint_le(retry_us, 100 * MS);
	ck_assert_int_eq(push("a", &normal, 0, 150), ERR_NONE);
	/* Another caller's request does not wait behind them. */
	ck_assert_int_eq(push("b", &normal, 0, 60), ERR_NONE);
	ck_assert_uint_eq(admit_queued(a), 22);
}
END_TEST

START_TEST(test_queued_entries_expire)
{
	push("a", &normal, 0, 1000);
	push("a", &normal, 0, 50);
	push("b", &normal, 0, 50);
	ck_assert_ptr_null(admit_pop_expired(a, 10 * MS));
	ck_assert_ptr_eq(admit_pop_expired(a, 50 * MS), &entries[1]);
	ck_assert_ptr_eq(admit_pop_expired(a, 50 * MS), &entries[2]);
	ck_assert_ptr_null(admit_pop_expired(a, 50 * MS));
	ck_assert_uint_eq(admit_queued(a), 1);
	ck_assert_ptr_eq(serve(60, 5), &entries[0]);
}
END_TEST

START_TEST(test_expired_entry_is_not_run)
{
	push("a", &normal, 0, 50);
	ck_assert_ptr_null(admit_pop(a, 50 * MS));
	ck_assert_ptr_eq(admit_pop_expired(a, 50 * MS), &entries[0]);
}
END_TEST

/*
 * A server stalls for a minute, so the estimated service time rises beyond
 * every deadline. If that estimate refused all requests, none would run to
 * correct it, and the proxy would refuse them for ever after the server's
 * recovery.
 */
START_TEST(test_too_high_estimate_is_corrected)
{
	unsigned i;

	push("a", &normal, 0, 100000);
	serve(0, 60000);
	for (i = 0; i < 60; i++) {
		ck_assert_int_eq(push("a", &normal, 0, 1000), ERR_NONE);
		ck_assert_ptr_nonnull(serve(0, 5));
	}
	ck_assert_int_eq(push("a", &normal, 0, 1000), ERR_NONE);
	ck_assert_int_eq(push("a", &normal, 0, 1000), ERR_NONE);
	ck_assert_int_eq(push("a", &normal, 0, 1000), ERR_NONE);
}
END_TEST

START_TEST(test_removed_entry_is_not_run)
{
	push("a", &normal, 0, 1000);
	push("a", &normal, 0, 1000);
	admit_remove(a, &entries[0]);
	ck_assert_uint_eq(admit_queued(a), 1);
	ck_assert_ptr_eq(serve(0, 5), &entries[1]);
	ck_assert_ptr_null(admit_pop(a, 0));
}
END_TEST

/* Random pushes, pops, completions and expiries lose or repeat no entry. */
START_TEST(test_random_operations_keep_counts)
{
	static const char *const callers[] = { "a", "b", "c", "d", "e" };
	const struct profile *profiles[] = { &normal, &urgent, &capped };
	GRand *rng = g_rand_new_with_seed(3);
	GPtrArray *running = g_ptr_array_new();
	unsigned pushed = 0, finished = 0;
	uint64_t ms;

	for (ms = 0; n_entries < MAX_ENTRIES; ms++) {
		struct admit_entry *e;
		int action = g_rand_int_range(rng, 0, 10);

		if (action < 5)
			pushed += push(callers[g_rand_int_range(rng, 0, 5)],
				       profiles[g_rand_int_range(rng, 0, 3)],
				       ms,
				       ms + g_rand_int_range(rng, 1, 300)) ==
				  ERR_NONE;
		else if (action < 9 && (e = admit_pop(a, ms * MS)))
			g_ptr_array_add(running, e);
		while ((e = admit_pop_expired(a, ms * MS)))
			finished++;
		if (running->len && g_rand_int_range(rng, 0, 2)) {
			e = g_ptr_array_remove_index(running, 0);
			admit_done(a, e, g_rand_int_range(rng, 0, 20) * MS);
			finished++;
		}
		ck_assert_uint_eq(admit_running(a), running->len);
		ck_assert_uint_eq(admit_queued(a) + running->len + finished,
				  pushed);
	}
	g_ptr_array_free(running, TRUE);
	g_rand_free(rng);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("admit");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, test_slots_limit_running_requests);
	tcase_add_test(t, test_flood_does_not_delay_other_caller);
	tcase_add_test(t, test_fairness_counts_service_time);
	tcase_add_test(t, test_shares_are_weights);
	tcase_add_test(t, test_priority_counts_within_a_caller_only);
	tcase_add_test(t, test_profile_share_holds_while_others_wait);
	tcase_add_test(t, test_caller_at_profile_share_earns_no_credit);
	tcase_add_test(t, test_free_slot_overrides_profile_shares);
	tcase_add_test(t, test_queue_is_bounded_and_keeps_room_for_others);
	tcase_add_test(t, test_unmeetable_deadline_is_refused_at_once);
	tcase_add_test(t, test_queued_entries_expire);
	tcase_add_test(t, test_expired_entry_is_not_run);
	tcase_add_test(t, test_too_high_estimate_is_corrected);
	tcase_add_test(t, test_removed_entry_is_not_run);
	tcase_add_test(t, test_random_operations_keep_counts);
	return suite_main("admit", t);
}
