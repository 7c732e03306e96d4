/*
 * Services whose homes are pooled, under loads that their servers can't run:
 * which statements are served, how the others are refused, and how many
 * connections that takes.
 */
#include "support_pooled.h"

#include <celeryquay/suite.h>

#define SEEDS 6
#define WORK_US (30 * MS) /* for which a statement occupies a slot */
#define QUEUE_US (300 * MS) /* longest wait for a slot before it is shed */
#define OPEN_WORK_US (12 * MS) /* for which a new connection does */
#define WARM_UP_US (3 * USEC_PER_SEC)
#define LOAD_US (10 * USEC_PER_SEC)
#define TAKEOVER_US (2 * USEC_PER_SEC) /* until a standby serves */

static double share(unsigned n, unsigned of)
{
	return of ? (double)n / of : 0;
}

static void set_work(struct fake *f, uint64_t work_us)
{
	unsigned i;

	f->open_work_us = OPEN_WORK_US;
	for (i = 0; i < GROUP_SIZE; i++) {
		f->servers[i].work_us = work_us;
		f->servers[i].queue_us = QUEUE_US;
	}
}

/* The share of the server's slot time that so many statements used. */
static double use_of(const struct fake_server *s, unsigned n)
{
	return (double)n * (double)s->work_us / (FAKE_SLOTS * (double)LOAD_US);
}

/* Every refusal says that nothing ran, and when to retry, while that helps. */
static void check_refusals(const struct load *l)
{
	ck_assert_uint_eq(l->n_without_retry_time, 0);
	ck_assert_uint_eq(l->n_refused_late, 0);
	ck_assert_uint_eq(l->n_in_doubt, 0);
	ck_assert_uint_eq(l->n_failed, 0);
}

static void start_loads(struct fake *f, struct load *loads, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		load_start(f, &loads[i]);
	fake_run(f, WARM_UP_US);
}

/* Counts what is sent within LOAD_US, and waits for the answers. */
static void measure(struct fake *f, struct load *loads, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		load_reset(&loads[i]);
	fake_run(f, LOAD_US);
	for (i = 0; i < n; i++)
		load_stop(&loads[i]);
	fake_run(f, 2 * FAKE_STATEMENT_TIMEOUT_US);
	for (i = 0; i < n; i++)
		ck_assert_uint_eq(load_answered(&loads[i]), loads[i].n_sent);
}

static void end(struct fake *f, struct load *loads, unsigned n)
{
	unsigned i;

	pooled_end(f);
	for (i = 0; i < n; i++)
		load_free(&loads[i]);
}

/*
 * All replicas are behind, and callers ask for twice what the primary can run.
 * Guards against urgent statements that wait behind others, slots that stay
 * free meanwhile, and refusals that come too late or without a time to retry.
 */
START_TEST(urgent_statements_are_served_in_an_overload)
{
	struct fake_options o = pooled_options();
	struct load loads[] = {
		{ .kind = RELAY_KIND_PRIMARY, .per_s = 40, .writes = 0.2 },
		{ .kind = RELAY_KIND_OWN_WRITES, .per_s = 160, .writes = 0.12 },
	};
	const struct load *urgent = &loads[0], *others = &loads[1];
	struct fake *f;

	o.priorities[RELAY_KIND_OWN_WRITES] = 1;
	f = pooled_start((uint32_t)_i, &o);
	set_work(f, WORK_US);
	f->servers[1].lag_us = f->servers[2].lag_us = 5 * USEC_PER_SEC;
	start_loads(f, loads, G_N_ELEMENTS(loads));
	measure(f, loads, G_N_ELEMENTS(loads));
	ck_assert_double_ge(share(urgent->n_in_time, urgent->n_sent), 0.95);
	ck_assert_double_ge(use_of(&f->servers[0], urgent->n_ok + others->n_ok),
			    0.75);
	check_refusals(urgent);
	check_refusals(others);
	ck_assert_uint_gt(others->n_refused, 0);
	end(f, loads, G_N_ELEMENTS(loads));
}
END_TEST

#define ACCOUNTS 8
#define USUAL_RATE 8
#define SURGE 8

/* Service of all accounts but the first, whose rate is so many times as high.
 */
static double service_of_others(uint32_t seed, unsigned times)
{
	struct fake_options o = pooled_options();
	struct load loads[ACCOUNTS] = { 0 };
	unsigned i, n_sent = 0, n_in_time = 0;
	struct fake *f;

	o.n_accounts = ACCOUNTS;
	f = pooled_start(seed, &o);
	set_work(f, WORK_US);
	for (i = 0; i < ACCOUNTS; i++)
		loads[i] = (struct load){
			.kind = RELAY_KIND_PRIMARY,
			.account = i,
			.per_s = i ? USUAL_RATE : USUAL_RATE * times,
			.writes = 0.2,
		};
	start_loads(f, loads, ACCOUNTS);
	measure(f, loads, ACCOUNTS);
	for (i = 1; i < ACCOUNTS; i++) {
		n_sent += loads[i].n_sent;
		n_in_time += loads[i].n_in_time;
	}
	for (i = 0; i < ACCOUNTS; i++)
		check_refusals(&loads[i]);
	end(f, loads, ACCOUNTS);
	return share(n_in_time, n_sent);
}

/*
 * One account at eight times its usual rate asks for more than is left.
 * Accounts have no rate limits here. Guards against others that pay for it.
 */
START_TEST(one_account_does_not_displace_others)
{
	double usual = service_of_others((uint32_t)_i, 1);
	double surge = service_of_others((uint32_t)_i, SURGE);

	ck_assert_double_gt(usual, 0.9);
	ck_assert_double_gt(surge, usual - 0.02);
}
END_TEST

/*
 * A primary becomes eight times slower. Guards against an estimate of the wait
 * that leaves its slots empty while writes are refused, and against reads that
 * wait there though replicas are free.
 */
START_TEST(the_slots_of_a_slow_primary_stay_in_use)
{
	struct fake_options o = pooled_options();
	struct load loads[] = {
		{ .kind = RELAY_KIND_PRIMARY, .per_s = 45, .writes = 1 },
		{ .kind = RELAY_KIND_BOUNDED, .per_s = 100 },
	};
	struct fake *f = pooled_start((uint32_t)_i, &o);
	unsigned at_replicas;

	set_work(f, 10 * MS);
	start_loads(f, loads, G_N_ELEMENTS(loads));
	f->servers[0].work_us *= 8;
	fake_run(f, WARM_UP_US);
	at_replicas = f->n_replica_reads;
	measure(f, loads, G_N_ELEMENTS(loads));
	at_replicas = f->n_replica_reads - at_replicas;
	ck_assert_double_ge(use_of(&f->servers[0], loads[0].n_ok), 0.75);
	ck_assert_double_ge(share(loads[1].n_in_time, loads[1].n_sent), 0.95);
	ck_assert_double_ge(share(at_replicas, loads[1].n_ok), 0.95);
	check_refusals(&loads[0]);
	check_refusals(&loads[1]);
	ck_assert_uint_eq(f->n_promotions, 0);
	end(f, loads, G_N_ELEMENTS(loads));
}
END_TEST

/*
 * One replica of two becomes eight times slower. Guards against reads that wait
 * there: a fifth of them would be as many as it can run.
 */
START_TEST(reads_avoid_a_slow_replica)
{
	struct fake_options o = pooled_options();
	struct load loads[] = {
		{ .kind = RELAY_KIND_PRIMARY, .per_s = 20, .writes = 0.5 },
		{ .kind = RELAY_KIND_BOUNDED, .per_s = 180 },
	};
	struct fake *f = pooled_start((uint32_t)_i, &o);
	unsigned before;

	set_work(f, 10 * MS);
	start_loads(f, loads, G_N_ELEMENTS(loads));
	f->servers[1].work_us *= 8;
	fake_run(f, WARM_UP_US);
	before = f->servers[1].n_ran;
	measure(f, loads, G_N_ELEMENTS(loads));
	ck_assert_double_ge(share(loads[1].n_in_time, loads[1].n_sent), 0.95);
	ck_assert_double_le(
		share(f->servers[1].n_ran - before, loads[1].n_sent), 0.2);
	end(f, loads, G_N_ELEMENTS(loads));
}
END_TEST

#define MANY_ACCOUNTS 32 /* more than a server has connections */
#define MANY_PER_S 135 /* statements of all of them */

/* Loads of accounts of very different size: the n-th has 1/n of the first. */
static void set_many_accounts(struct load *loads, unsigned avoid)
{
	double sum = 0;
	unsigned i;

	for (i = 0; i < MANY_ACCOUNTS; i++)
		sum += 1.0 / (i + 1);
	for (i = 0; i < MANY_ACCOUNTS; i++)
		loads[i] = (struct load){
			.kind = RELAY_KIND_OWN_WRITES,
			.account = i,
			.per_s = MANY_PER_S / sum / (i + 1),
			.writes = 0.12,
			.avoid = avoid,
		};
}

static struct fake *start_many_accounts(uint32_t seed, struct load *loads,
					bool avoid_first)
{
	struct fake_options o = pooled_options();
	struct fake *f;

	o.n_accounts = MANY_ACCOUNTS;
	f = pooled_start(seed, &o);
	set_work(f, 10 * MS);
	set_many_accounts(loads, avoid_first ? 1u << pooled_ranked(f, 0) : 0);
	start_loads(f, loads, MANY_ACCOUNTS);
	fake_run(f, WARM_UP_US);
	return f;
}

/*
 * Guards against connections that accounts take from each other in turn, so
 * that most statements need a new one, and against more than servers accept.
 */
START_TEST(connections_of_many_accounts_are_kept)
{
	struct load loads[MANY_ACCOUNTS];
	struct fake *f = start_many_accounts((uint32_t)_i, loads, false);
	unsigned opened = f->n_opened, n_sent = 0, n_ok = 0, i;

	measure(f, loads, MANY_ACCOUNTS);
	opened = f->n_opened - opened;
	for (i = 0; i < MANY_ACCOUNTS; i++) {
		n_sent += loads[i].n_sent;
		n_ok += loads[i].n_ok;
		check_refusals(&loads[i]);
	}
	ck_assert_double_ge(share(n_ok, n_sent), 0.95);
	ck_assert_double_lt(share(opened, n_ok), 1.0 / 6);
	ck_assert_uint_eq(f->n_full, 0);
	end(f, loads, MANY_ACCOUNTS);
}
END_TEST

/*
 * The first home falls silent; servers count its connections for three more
 * seconds. Guards against a standby that finds none left.
 */
START_TEST(a_standby_finds_connections)
{
	struct load loads[MANY_ACCOUNTS];
	struct fake *f = start_many_accounts((uint32_t)_i, loads, true);
	unsigned n_sent = 0, n_ok = 0, i;

	pooled_isolate(f, pooled_ranked(f, 0), true);
	fake_run(f, TAKEOVER_US);
	measure(f, loads, MANY_ACCOUNTS);
	for (i = 0; i < MANY_ACCOUNTS; i++) {
		n_sent += loads[i].n_sent;
		n_ok += loads[i].n_ok;
		check_refusals(&loads[i]);
	}
	ck_assert_double_ge(share(n_ok, n_sent), 0.95);
	ck_assert_uint_eq(f->n_full, 0);
	end(f, loads, MANY_ACCOUNTS);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pooled_load");

	tcase_add_loop_test(tc, urgent_statements_are_served_in_an_overload, 0,
			    SEEDS);
	tcase_add_loop_test(tc, one_account_does_not_displace_others, 0, SEEDS);
	tcase_add_loop_test(tc, the_slots_of_a_slow_primary_stay_in_use, 0,
			    SEEDS);
	tcase_add_loop_test(tc, reads_avoid_a_slow_replica, 0, SEEDS);
	tcase_add_loop_test(tc, connections_of_many_accounts_are_kept, 0,
			    SEEDS);
	tcase_add_loop_test(tc, a_standby_finds_connections, 0, SEEDS);
	return suite_main("pooled_load", tc);
}
