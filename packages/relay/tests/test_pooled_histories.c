/*
 * Services whose homes are pooled: one home runs the statements of all proxies,
 * from one queue, and others take over from it.
 */
#include "support_history.h"

#include <celeryquay/suite.h>

#define CALLERS 40 /* keep the servers' slots busy */
#define WORK_US (30 * MS) /* for which a statement occupies a slot */

static struct hist_session *callers[CALLERS];

static struct rservice *service_at(struct fake *f, unsigned relay)
{
	return g_hash_table_lookup(f->relays[relay].relay->services, "group0");
}

/* The relay that is the service's home of this rank. */
static unsigned home_of_rank(struct fake *f, unsigned rank)
{
	unsigned i;

	for (i = 0; i < f->n_relays; i++)
		if (service_at(f, i)->rank.n_ranked_before == rank)
			return i;
	ck_abort_msg("no home of rank %u", rank);
	return 0;
}

static void next_operation_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (!s->open)
		return;
	if (s->state == 'E')
		hist_start(f, s, RELAY_ROLLBACK, "", "");
	else if (s->state == 'T')
		hist_start(f, s, s->left ? RELAY_WRITE : RELAY_COMMIT, "", "1");
	else if (fake_chance(f, 0.2))
		hist_start(f, s, RELAY_BEGIN, "", "");
	else
		hist_start(f, s, fake_chance(f, 0.4) ? RELAY_WRITE : RELAY_READ,
			   "", "1");
	s->left = s->state == 'T' && fake_chance(f, 0.5);
}

static struct fake *start(uint32_t seed, bool accounts)
{
	struct fake *f = fake_create_pooled(seed, accounts);
	unsigned i;

	fake_run(f, USEC_PER_SEC);
	for (i = 0; i < f->n_relays; i++)
		ck_assert(service_at(f, i)->pooled);
	for (i = 0; i < f->n_servers; i++)
		f->servers[i].work_us = WORK_US;
	for (i = 0; i < CALLERS; i++) {
		callers[i] = hist_open(f, i % f->n_relays, 0,
				       (enum relay_kind)(i / 2 % 3));
		callers[i]->next = next_operation_event;
		next_operation_event(f, callers[i]);
	}
	return f;
}

static void end(struct fake *f)
{
	unsigned i;

	for (i = 0; i < CALLERS; i++)
		callers[i]->next = NULL;
	fake_run(f, 5 * USEC_PER_SEC);
	for (i = 0; i < f->n_relays; i++) {
		if (f->relays[i].dead)
			continue;
		ck_assert_uint_eq(f->relays[i].relay->n_scheduled, 0);
		ck_assert_uint_eq(f->relays[i].relay->waiting.length, 0);
	}
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}

static void check_all_answered(struct fake *f)
{
	unsigned seen[CALLERS], i;

	for (i = 0; i < CALLERS; i++)
		seen[i] = callers[i]->attempt;
	fake_run(f, 4 * USEC_PER_SEC);
	for (i = 0; i < CALLERS; i++)
		if (callers[i]->open)
			ck_assert_uint_gt(callers[i]->attempt, seen[i]);
}

/*
 * Guards against statements that stay in the queue for ever, or break the
 * promises of writes and reads, while more wait than the slots can run.
 */
START_TEST(test_one_home_serves_all)
{
	struct fake *f = start((uint32_t)_i, _i % 2);
	unsigned first = home_of_rank(f, 0), n_here = 0, n_elsewhere = 0, i, j;

	for (i = 0; i < 100; i++) {
		fake_run(f, 20 * MS);
		for (j = 0; j < f->n_relays; j++)
			*(j == first ? &n_here : &n_elsewhere) +=
				f->relays[j].relay->n_scheduled;
	}
	/* A proxy to which the first one is new asks another meanwhile. */
	ck_assert_uint_gt(n_here, 100);
	ck_assert_uint_lt(n_elsewhere, n_here / 4);
	check_all_answered(f);
	ck_assert_uint_eq(f->n_codes[RELAY_IN_DOUBT], 0);
	end(f);
}
END_TEST

/*
 * The first home loses its rank while statements wait there. Guards against
 * statements that wait there until they are refused, since the tick no longer
 * runs the service.
 */
START_TEST(test_a_home_loses_its_rank)
{
	struct fake *f = start((uint32_t)_i, false);
	unsigned first = home_of_rank(f, 0), i;
	struct relay *r = f->relays[first].relay;
	struct rservice *v = service_at(f, first);

	for (i = 0; i < 100 && r->n_scheduled < 9; i++)
		fake_run(f, 10 * MS);
	for (i = 0; i < CALLERS; i++)
		callers[i]->next = NULL; /* only those that wait go on */
	fake_run(f, 10 * MS);
	ck_assert_uint_gt(r->n_scheduled, 0);
	v->rank.n_ranked_before = FAKE_POOLED_RELAYS - 1;
	ck_assert(role_update_all(r));
	role_update_served(r);
	ck_assert(!v->is_home);
	fake_run(f, USEC_PER_SEC);
	ck_assert(v->is_home); /* as a spare, for those that waited */
	end(f);
}
END_TEST

/*
 * Guards against statements that are lost with the first home, or run twice,
 * and against standbys that don't take over.
 */
START_TEST(test_a_standby_takes_over)
{
	struct fake *f = start((uint32_t)_i, _i % 2);
	unsigned first = home_of_rank(f, 0), i;
	unsigned next = home_of_rank(f, 1);

	fake_run(f, 2 * USEC_PER_SEC + (uint64_t)_i * MS);
	for (i = 0; i < CALLERS; i++)
		if (callers[i]->relay == first)
			callers[i]->open = false;
	f->relays[first].dead = true;
	fake_suspend_relay(f, first, 3600 * USEC_PER_SEC);
	fake_run(f, 3 * USEC_PER_SEC);
	check_all_answered(f);
	ck_assert(service_at(f, next)->sched);
	end(f);
}
END_TEST

/* The primary is replaced while statements wait for it. */
START_TEST(test_the_primary_is_replaced)
{
	struct fake *f = start((uint32_t)_i, _i % 2);

	fake_run(f, USEC_PER_SEC + (uint64_t)_i * 7 * MS);
	fake_crash(f, 0);
	fake_run(f, 5 * USEC_PER_SEC);
	ck_assert_uint_gt(f->n_promotions, 0);
	check_all_answered(f);
	end(f);
}
END_TEST

/*
 * Guards against a queue timeout, as a proxy gives it whose homes are not
 * pooled, that is taken for all the time that the statement has left.
 */
START_TEST(test_a_queue_timeout_is_not_the_time_left)
{
	struct fake *f = start((uint32_t)_i, false);
	unsigned i, entry = 0;

	while (service_at(f, entry)->is_home)
		entry++;
	service_at(f, entry)->pooled = false;
	fake_run(f, 5 * USEC_PER_SEC);
	for (i = 0; i < CALLERS; i++)
		if (callers[i]->relay == entry)
			ck_assert_int_ne(callers[i]->told, RELAY_IN_DOUBT);
	ck_assert_uint_eq(f->n_codes[RELAY_IN_DOUBT], 0);
	ck_assert_uint_eq(f->n_codes[RELAY_TIMED_OUT], 0);
	end(f);
}
END_TEST

/* Lists 80 proxies to the first relay; all but one have the same capacity. */
static void list_proxies(struct fake *f, unsigned large)
{
	struct relay_server_info infos[80] = { 0 };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(infos); i++) {
		infos[i].id = g_strdup_printf("proxy-%u", i);
		infos[i].host = (char *)"127.0.0.1";
		infos[i].zone = (char *)"";
		infos[i].capacity.cpu_permille = i == large ? 800 : 100;
		infos[i].capacity.mbps = i == large ? 800 : 100;
	}
	relay_on_peers(f->relays[0].relay, infos, G_N_ELEMENTS(infos),
		       f->now_us);
	for (i = 0; i < G_N_ELEMENTS(infos); i++)
		g_free(infos[i].id);
}

/*
 * A proxy announces another capacity. Guards against homes that stay those of
 * the capacities before until a proxy comes or goes.
 */
START_TEST(test_homes_follow_capacities)
{
	struct fake *f = fake_create_pooled(1, false);
	struct rservice *v = service_at(f, 0);
	const char *names[SPLACE_POOLED_HOMES];
	unsigned large, i;

	for (large = 0; large < 40; large++) {
		list_proxies(f, large);
		ck_assert(v->pooled && !v->is_home);
		ck_assert_uint_eq(role_homes(v)->len, SPLACE_POOLED_HOMES);
		rank_best(v, names, SPLACE_POOLED_HOMES);
		for (i = 0; i < SPLACE_POOLED_HOMES; i++)
			ck_assert_str_eq(g_ptr_array_index(role_homes(v), i),
					 names[i]);
	}
	fake_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pooled");

	tcase_set_timeout(tc, 300);
	tcase_add_loop_test(tc, test_one_home_serves_all, 0, 6);
	tcase_add_loop_test(tc, test_a_home_loses_its_rank, 0, 6);
	tcase_add_loop_test(tc, test_a_standby_takes_over, 0, 12);
	tcase_add_loop_test(tc, test_the_primary_is_replaced, 0, 12);
	tcase_add_loop_test(tc, test_a_queue_timeout_is_not_the_time_left, 0,
			    4);
	tcase_add_test(tc, test_homes_follow_capacities);
	return suite_main("pooled", tc);
}
