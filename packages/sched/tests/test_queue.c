#include "support_slots.h"

#include <celeryquay/sched/queue.h>
#include <celeryquay/suite.h>

#define MS 1000
#define SECOND (1000 * MS)
/* Page 0022, requirement 1. */
#define MAX_COST_OF_FLOOD 0.02

/* An entry that can meet its target for a long time. */
static struct squeue_entry entry(const char *account, uint64_t cost_us)
{
	return (struct squeue_entry){ .priority = 1,
				      .account = account,
				      .weight = 1,
				      .due_us = 1000 * (uint64_t)SECOND,
				      .cost_us = cost_us };
}

static void push(struct squeue *q, struct squeue_entry *e, const char *account,
		 uint64_t cost_us)
{
	*e = entry(account, cost_us);
	squeue_push(q, e, 0);
}

/* Starts the first entry. */
static struct squeue_entry *start(struct squeue *q, uint64_t now_us)
{
	struct squeue_entry *e = squeue_first(q, now_us);

	ck_assert_ptr_nonnull(e);
	squeue_start(q, e);
	return e;
}

static void cancel_all(struct squeue *q)
{
	struct squeue_entry *e;

	while ((e = squeue_first(q, 0)))
		squeue_cancel(q, e);
}

/* Each entry goes before the next for one reason, against all later ones. */
START_TEST(test_order)
{
	struct squeue *q = squeue_create();
	struct squeue_entry e[6], *x;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(e); i++) {
		e[i] = entry("a", 10 * MS);
		e[i].priority = 2;
		e[i].due_us = 10 * SECOND;
	}
	/* begun: first, although it is late and of the lowest priority */
	e[0].begun = true;
	e[0].due_us = 0;
	e[0].priority = 3;
	e[1].priority = 0;
	e[2].account = "b"; /* has had less service than a */
	e[2].due_us = 11 * SECOND;
	/* e[3] is due before e[4] of the same virtual time */
	e[3].account = "c";
	e[3].due_us = 12 * SECOND;
	e[4].account = "d";
	e[4].due_us = 13 * SECOND;
	e[5].due_us = SECOND +
		      5 * MS; /* late, although its priority is the highest */
	e[5].priority = 0;
	squeue_charge(q, "c", 1, 0, 5 * MS);
	squeue_charge(q, "d", 1, 0, 5 * MS);
	for (i = G_N_ELEMENTS(e); i > 0; i--)
		squeue_push(q, &e[i - 1], SECOND);
	ck_assert_uint_eq(squeue_length(q), G_N_ELEMENTS(e));
	for (i = 0, x = squeue_first(q, SECOND); x; x = squeue_next(x), i++)
		ck_assert_ptr_eq(x, &e[i]);
	ck_assert_uint_eq(i, G_N_ELEMENTS(e));
	cancel_all(q);
	ck_assert_uint_eq(squeue_length(q), 0);
	squeue_destroy(q);
}
END_TEST

/*
 * Guards against an entry that was in time when it came, and that stays before
 * others after it can't meet its target any more.
 */
START_TEST(test_an_entry_becomes_late_while_it_waits)
{
	struct squeue *q = squeue_create();
	struct squeue_entry first = entry("a", 10 * MS);
	struct squeue_entry other = entry("b", 10 * MS);

	first.priority = 0;
	first.due_us = 100 * MS;
	squeue_push(q, &other, 0);
	squeue_push(q, &first, 0);
	ck_assert_ptr_eq(squeue_first(q, 90 * MS), &first);
	ck_assert_ptr_eq(squeue_first(q, 90 * MS + 1), &other);
	ck_assert_ptr_eq(squeue_next(&other), &first);
	cancel_all(q);
	squeue_destroy(q);
}
END_TEST

/*
 * Plays two accounts that always have entries before one slot, and returns how
 * many times as much service the first one had.
 */
static double play_two(const unsigned weights[2], const uint64_t costs_us[2],
		       const uint64_t services_us[2])
{
	static const char *const names[] = { "a", "b" };
	struct squeue *q = squeue_create();
	struct squeue_entry waiting[2][2];
	uint64_t had_us[2] = { 0 }, now_us = 0;
	unsigned i, j;

	for (i = 0; i < 4; i++) {
		struct squeue_entry *e = &waiting[i / 2][i % 2];

		*e = entry(names[i / 2], costs_us[i / 2]);
		e->weight = weights[i / 2];
		squeue_push(q, e, 0);
	}
	while (now_us < 100 * (uint64_t)SECOND) {
		struct squeue_entry *e = start(q, now_us);

		j = e == &waiting[1][0] || e == &waiting[1][1];
		now_us += services_us[j];
		had_us[j] += services_us[j];
		squeue_charge(q, names[j], weights[j], costs_us[j],
			      services_us[j]);
		squeue_push(q, e, now_us);
	}
	cancel_all(q);
	squeue_destroy(q);
	return (double)had_us[0] / (double)had_us[1];
}

/* Guards against shares that follow the number of statements. */
START_TEST(test_accounts_share_service_time)
{
	const unsigned even[] = { 1, 1 }, four_to_one[] = { 4, 1 };
	const uint64_t same_us[] = { 20 * MS, 20 * MS };
	const uint64_t long_us[] = { 80 * MS, 10 * MS };

	ck_assert_double_eq_tol(play_two(even, same_us, same_us), 1, 0.02);
	ck_assert_double_eq_tol(play_two(even, long_us, long_us), 1, 0.02);
	ck_assert_double_eq_tol(play_two(four_to_one, same_us, same_us), 4,
				0.08);
	ck_assert_double_eq_tol(play_two(four_to_one, long_us, long_us), 4,
				0.08);
}
END_TEST

/*
 * Guards against an account that has more than its share because its
 * statements take longer than expected.
 */
START_TEST(test_charge_corrects_expected_service_time)
{
	const unsigned even[] = { 1, 1 }, four_to_one[] = { 4, 1 };
	const uint64_t expected_us[] = { 20 * MS, 20 * MS };
	const uint64_t took_us[] = { 80 * MS, 10 * MS };

	ck_assert_double_eq_tol(play_two(even, expected_us, took_us), 1, 0.05);
	ck_assert_double_eq_tol(play_two(four_to_one, expected_us, took_us), 4,
				0.2);
}
END_TEST

/*
 * Guards against an account that pays for statements that were refused, or
 * whose callers are gone.
 */
START_TEST(test_cancel_gives_the_expected_service_time_back)
{
	struct squeue *q = squeue_create();
	struct squeue_entry cancelled[10], a, b;
	unsigned i;

	/* Other work keeps virtual time where it is. */
	push(q, &b, "b", 50 * MS);
	for (i = 0; i < G_N_ELEMENTS(cancelled); i++)
		push(q, &cancelled[i], "a", 50 * MS);
	for (i = 0; i < G_N_ELEMENTS(cancelled); i++)
		squeue_cancel(q, &cancelled[i]);
	start(q, 0);
	push(q, &b, "b", 50 * MS);
	push(q, &a, "a", 50 * MS);
	ck_assert_ptr_eq(start(q, 0), &a);
	ck_assert_ptr_eq(start(q, 0), &b);
	squeue_destroy(q);
}
END_TEST

/* Guards against an account that saves up service while it sends nothing. */
START_TEST(test_no_credit_for_idle_time)
{
	struct squeue *q = squeue_create();
	struct squeue_entry b[20], a[20];
	unsigned i, n_a = 0;

	for (i = 0; i < 1000; i++) {
		push(q, &b[0], "b", 50 * MS);
		start(q, 0);
	}
	for (i = 0; i < G_N_ELEMENTS(a); i++) {
		push(q, &a[i], "a", 50 * MS);
		push(q, &b[i], "b", 50 * MS);
	}
	for (i = 0; i < G_N_ELEMENTS(a); i++)
		n_a += *start(q, 0)->account == 'a';
	ck_assert_uint_ge(n_a, 9);
	ck_assert_uint_le(n_a, 11);
	cancel_all(q);
	squeue_destroy(q);
}
END_TEST

/*
 * Statements without an account are in the order of their targets, whichever of
 * them came first or is longer.
 */
START_TEST(test_without_accounts_by_target)
{
	struct squeue *q = squeue_create();
	struct squeue_entry e[3];
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(e); i++) {
		e[i] = entry("", (3 - i) * 100 * MS);
		e[i].due_us = (10 - i) * SECOND;
		squeue_push(q, &e[i], 0);
	}
	for (i = G_N_ELEMENTS(e); i > 0; i--)
		ck_assert_ptr_eq(start(q, 0), &e[i - 1]);
	squeue_destroy(q);
}
END_TEST

/*
 * One of 85 accounts of the same size sends at eight times its usual rate.
 * Guards against a queue in which the others pay for it.
 */
START_TEST(test_a_flood_just_under_capacity)
{
	struct slots_load load = { .load = 0.95,
				   .write_share = 0.12,
				   .flood = 84 };

	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST_OF_FLOOD);
	load.write_share = 0.5;
	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST_OF_FLOOD);
	load.one_priority = true;
	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST_OF_FLOOD);
}
END_TEST

/* The profiles' own priorities are in test_fairness.c. */
START_TEST(test_a_flood_of_one_priority_in_overload)
{
	struct slots_load load = { .load = 1.3,
				   .write_share = 0.12,
				   .one_priority = true,
				   .flood = 84 };

	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST_OF_FLOOD);
	load.n_large = 5;
	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST_OF_FLOOD);
	load.flood = 0;
	ck_assert_double_lt(slots_cost_of_flood(&load), MAX_COST_OF_FLOOD);
}
END_TEST

static uint64_t forecast(struct squeue_forecast *f,
			 const struct squeue_room *room, bool primary_only)
{
	struct squeue_entry e = entry("a", 60 * MS);

	e.primary_only = primary_only;
	return squeue_forecast_us(f, &e, room);
}

/* Guards against reads that aren't counted where only the primary runs them. */
START_TEST(test_forecast_with_a_primary_alone)
{
	const struct squeue_room room = { .primary_slots = 6,
					  .primary_work_us = 120 * MS };
	struct squeue_forecast f = { 0 };

	ck_assert_uint_eq(forecast(&f, &room, true), 20 * MS);
	ck_assert_uint_eq(forecast(&f, &room, false), 30 * MS);
	ck_assert_uint_eq(forecast(&f, &room, true), 40 * MS);
	ck_assert_uint_eq(forecast(&f, &room, false), 50 * MS);
}
END_TEST

/*
 * Guards against writes that are expected to start at replicas, and reads that
 * are expected to wait for the primary.
 */
START_TEST(test_forecast_with_replicas)
{
	const struct squeue_room room = { .primary_slots = 6,
					  .replica_slots = 12,
					  .primary_work_us = 360 * MS,
					  .replica_work_us = 360 * MS };
	struct squeue_forecast f = { 0 };
	unsigned i;

	ck_assert_uint_eq(forecast(&f, &room, true), 60 * MS);
	/* 360 ms before the 12 replica slots */
	ck_assert_uint_eq(forecast(&f, &room, false), 30 * MS);
	for (i = 0; i < 100; i++)
		forecast(&f, &room, true);
	ck_assert_uint_eq(forecast(&f, &room, true),
			  60 * MS + 101 * 60 * MS / 6);
	ck_assert_uint_eq(forecast(&f, &room, false), 35 * MS);
}
END_TEST

/* With many reads before it, a read starts at the primary, too. */
START_TEST(test_forecast_counts_the_primary_for_reads)
{
	const struct squeue_room room = { .primary_slots = 6,
					  .replica_slots = 12 };
	struct squeue_forecast f = { 0 };
	unsigned i;

	for (i = 0; i < 18; i++)
		forecast(&f, &room, false);
	ck_assert_uint_eq(forecast(&f, &room, false), 60 * MS);
}
END_TEST

/* Guards against a division by zero and a wait of 0 without servers. */
START_TEST(test_forecast_without_a_usable_server)
{
	const struct squeue_room none = { 0 };
	const struct squeue_room replicas = { .replica_slots = 12,
					      .replica_work_us = 120 * MS };
	struct squeue_forecast f = { 0 };

	ck_assert(forecast(&f, &none, true) == UINT64_MAX);
	ck_assert(forecast(&f, &none, false) == UINT64_MAX);
	f = (struct squeue_forecast){ 0 };
	ck_assert(forecast(&f, &replicas, true) == UINT64_MAX);
	ck_assert_uint_eq(forecast(&f, &replicas, false), 10 * MS);
}
END_TEST

struct seen {
	unsigned calls, n;
	uint64_t work_us;
	unsigned n_a1; /* of account a and priority 1 */
};

static void note_count(const struct squeue_count *count, void *ctx)
{
	struct seen *s = ctx;

	s->calls++;
	s->n += count->n;
	s->work_us += count->work_us;
	if (!g_strcmp0(count->account, "a") && count->priority == 1)
		s->n_a1 += count->n;
}

/* Guards against a status page that leaves out what waits. */
START_TEST(test_counts_by_account_and_priority)
{
	struct squeue *q = squeue_create();
	struct squeue_entry e[4];
	struct seen seen = { 0 };
	unsigned i;

	for (i = 0; i < 3; i++)
		push(q, &e[i], i < 2 ? "a" : "b", 10 * MS);
	e[3] = entry("a", 10 * MS);
	e[3].priority = 2;
	squeue_push(q, &e[3], 0);
	squeue_each_count(q, note_count, &seen);
	ck_assert_uint_eq(seen.calls, 3);
	ck_assert_uint_eq(seen.n, 4);
	ck_assert_uint_eq(seen.n_a1, 2);
	ck_assert_uint_eq(seen.work_us, 40 * MS);
	cancel_all(q);
	squeue_destroy(q);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("queue");

	tcase_set_timeout(tc, 120);
	tcase_add_test(tc, test_order);
	tcase_add_test(tc, test_an_entry_becomes_late_while_it_waits);
	tcase_add_test(tc, test_accounts_share_service_time);
	tcase_add_test(tc, test_charge_corrects_expected_service_time);
	tcase_add_test(tc, test_cancel_gives_the_expected_service_time_back);
	tcase_add_test(tc, test_no_credit_for_idle_time);
	tcase_add_test(tc, test_without_accounts_by_target);
	tcase_add_test(tc, test_a_flood_just_under_capacity);
	tcase_add_test(tc, test_a_flood_of_one_priority_in_overload);
	tcase_add_test(tc, test_forecast_with_a_primary_alone);
	tcase_add_test(tc, test_forecast_with_replicas);
	tcase_add_test(tc, test_forecast_counts_the_primary_for_reads);
	tcase_add_test(tc, test_forecast_without_a_usable_server);
	tcase_add_test(tc, test_counts_by_account_and_priority);
	return suite_main("queue", tc);
}
