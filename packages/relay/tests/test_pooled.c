/*
 * Services whose homes are pooled: which home runs statements, before and
 * during failures of homes, and while proxies disagree on who is one.
 * test_pooled_load.c has overloads.
 */
#include "support_pooled.h"

#include <celeryquay/suite.h>

#define TAKEOVER_US (2 * USEC_PER_SEC) /* until a standby serves */
#define GOOD_AGAIN_US USEC_PER_SEC /* before a home is preferred again */
#define SEEDS 6

/* Writes and reads of all three kinds, well below what the servers can run. */
struct mix {
	struct load loads[RELAY_KINDS];
};

static void mix_start(struct fake *f, struct mix *m, unsigned avoid)
{
	unsigned i;

	*m = (struct mix){ 0 };
	for (i = 0; i < RELAY_KINDS; i++) {
		m->loads[i].kind = (enum relay_kind)i;
		m->loads[i].per_s = 40;
		m->loads[i].writes = 0.3;
		m->loads[i].avoid = avoid;
		load_start(f, &m->loads[i]);
	}
}

static void mix_reset(struct mix *m)
{
	unsigned i;

	for (i = 0; i < RELAY_KINDS; i++)
		load_reset(&m->loads[i]);
}

/* The sums of all loads. */
static struct load mix_sum(const struct mix *m)
{
	struct load sum = { 0 };
	unsigned i;

	for (i = 0; i < RELAY_KINDS; i++) {
		const struct load *l = &m->loads[i];

		sum.n_sent += l->n_sent;
		sum.n_ok += l->n_ok;
		sum.n_refused += l->n_refused;
		sum.n_in_doubt += l->n_in_doubt;
		sum.n_failed += l->n_failed;
		sum.last_in_doubt_us =
			MAX(sum.last_in_doubt_us, l->last_in_doubt_us);
	}
	return sum;
}

/* Runs for that time, and checks that all that is sent then succeeds. */
static void check_all_succeed(struct fake *f, struct mix *m, uint64_t us)
{
	struct load sum;
	unsigned i;

	mix_reset(m);
	fake_run(f, us);
	for (i = 0; i < RELAY_KINDS; i++)
		load_stop(&m->loads[i]);
	fake_run(f, 2 * FAKE_STATEMENT_TIMEOUT_US);
	sum = mix_sum(m);
	/* 120 a second are drawn; four standard deviations fewer in 2 s. */
	ck_assert_uint_gt(sum.n_sent, 89 * us / USEC_PER_SEC);
	ck_assert_uint_eq(sum.n_refused, 0);
	ck_assert_uint_eq(sum.n_in_doubt, 0);
	ck_assert_uint_eq(sum.n_failed, 0);
	ck_assert_uint_eq(sum.n_ok, sum.n_sent);
}

static void mix_end(struct fake *f, struct mix *m)
{
	unsigned i;

	pooled_end(f);
	for (i = 0; i < RELAY_KINDS; i++)
		load_free(&m->loads[i]);
}

static struct fake *start(uint32_t seed)
{
	struct fake_options o = pooled_options();

	return pooled_start(seed, &o);
}

static unsigned count_homes(const struct fake *f)
{
	unsigned i, n = 0;

	for (i = 0; i < f->n_relays; i++)
		n += pooled_service(f, i)->is_home;
	return n;
}

/*
 * Guards against several homes with a queue each, among which no order holds:
 * callers of all proxies, standbys too, are served by the first home alone.
 */
START_TEST(the_first_home_runs_all_statements)
{
	struct fake *f = start((uint32_t)_i);
	unsigned first = pooled_ranked(f, 0), others, i;
	struct mix m;

	for (i = 0; i < f->n_relays; i++)
		ck_assert(pooled_service(f, i)->pooled);
	ck_assert_uint_eq(count_homes(f), SPLACE_POOLED_HOMES);
	mix_start(f, &m, 0);
	fake_run(f, 3 * USEC_PER_SEC);
	others = pooled_ran(f) - f->relays[first].n_ran;
	check_all_succeed(f, &m, 3 * USEC_PER_SEC);
	ck_assert_uint_eq(pooled_ran(f) - f->relays[first].n_ran, others);
	mix_end(f, &m);
}
END_TEST

#define CONNECT_US (50 * MS) /* until a proxy has connected to the homes */

/*
 * Guards against a proxy that takes a first home which it is still connecting
 * to for one that was bad, and sends the statements of the next second, the
 * first ones for a database, to a standby.
 */
START_TEST(a_new_database_is_served_by_the_first_home)
{
	struct fake *f = start((uint32_t)_i);
	unsigned first = pooled_ranked(f, 0), ran, i;

	for (i = 0; i < f->n_relays; i++) {
		struct hist_session *s =
			hist_open(f, i, 0, (enum relay_kind)(i % RELAY_KINDS));

		hist_run(f, s, RELAY_READ, "", "1");
		fake_run(f, CONNECT_US);
		ran = f->relays[first].n_ran;
		hist_run(f, s, RELAY_READ, "", "1");
		ck_assert_int_eq(s->told, RELAY_OK);
		ck_assert_uint_eq(f->relays[first].n_ran, ran + 1);
	}
	pooled_end(f);
}
END_TEST

/*
 * Guards against pooling where it was not asked for: without it five homes are
 * in use, the same that proxies of unknown capacity choose.
 */
START_TEST(homes_are_as_before_without_pooling)
{
	struct fake_options o = pooled_options(), plain = pooled_options();
	struct fake *f, *old;
	unsigned i, n_used = 0;
	struct mix m;

	o.home_pooling = SPLACE_OFF;
	plain.home_pooling = SPLACE_AUTO;
	for (i = 0; i < POOLED_RELAYS; i++)
		plain.capacities[i] = (struct splace_capacity){ 0 };
	f = pooled_start((uint32_t)_i, &o);
	old = pooled_start((uint32_t)_i, &plain);
	ck_assert_uint_eq(count_homes(f), POOLED_CONNECTIONS / 5);
	for (i = 0; i < POOLED_RELAYS; i++) {
		ck_assert(!pooled_service(f, i)->pooled);
		ck_assert(pooled_service(f, i)->is_home ==
			  pooled_service(old, i)->is_home);
	}
	pooled_end(old);
	mix_start(f, &m, 0);
	check_all_succeed(f, &m, 3 * USEC_PER_SEC);
	for (i = 0; i < POOLED_RELAYS; i++)
		n_used += f->relays[i].n_ran > 0;
	ck_assert_uint_gt(n_used, SPLACE_POOLED_HOMES);
	mix_end(f, &m);
}
END_TEST

enum home_fault { HOME_KILLED, HOME_ISOLATED, HOME_FAULTS };

/* What was sent by the end of `us` after the fault may be in doubt. */
static void check_only_in_flight_in_doubt(const struct mix *m,
					  uint64_t fault_us, uint64_t us)
{
	ck_assert_uint_le(mix_sum(m).last_in_doubt_us, fault_us + us);
}

/*
 * Guards against callers that wait for a first home that died or fell silent,
 * or that learn nothing about writes which were not even sent to it. A write in
 * flight to a home that falls silent is in doubt; until the proxy notices, more
 * are sent there.
 */
START_TEST(a_standby_takes_over)
{
	struct fake *f = start((uint32_t)_i / HOME_FAULTS);
	bool killed = _i % HOME_FAULTS == HOME_KILLED;
	unsigned first = pooled_ranked(f, 0), second = pooled_ranked(f, 1);
	uint64_t fault_us;
	unsigned ran;
	struct mix m;

	mix_start(f, &m, 1u << first);
	fake_run(f, 2 * USEC_PER_SEC + (uint64_t)_i * MS);
	fault_us = f->now_us;
	if (killed)
		pooled_kill(f, first);
	else
		pooled_isolate(f, first, true);
	fake_run(f, TAKEOVER_US);
	check_only_in_flight_in_doubt(&m, fault_us,
				      killed ? 10 * MS : TAKEOVER_US);
	ran = f->relays[second].n_ran;
	check_all_succeed(f, &m, 2 * USEC_PER_SEC);
	ck_assert_uint_gt(f->relays[second].n_ran, ran + 200);
	ck_assert_uint_eq(f->n_full, 0);
	mix_end(f, &m);
}
END_TEST

/*
 * Guards against statements that follow a home that flaps: one that is reached
 * again must be good for a second before it is preferred again, and then is.
 */
START_TEST(a_home_is_preferred_again_after_a_second)
{
	struct fake *f = start((uint32_t)_i);
	unsigned first = pooled_ranked(f, 0), ran;
	struct mix m;

	mix_start(f, &m, 1u << first);
	fake_run(f, 2 * USEC_PER_SEC);
	pooled_isolate(f, first, true);
	fake_run(f, 3 * USEC_PER_SEC);
	ran = f->relays[first].n_ran;
	pooled_isolate(f, first, false);
	fake_run(f, GOOD_AGAIN_US);
	ck_assert_uint_eq(f->relays[first].n_ran, ran);
	fake_run(f, 9 * USEC_PER_SEC);
	ran = pooled_ran(f) - f->relays[first].n_ran;
	check_all_succeed(f, &m, 2 * USEC_PER_SEC);
	ck_assert_uint_eq(pooled_ran(f) - f->relays[first].n_ran, ran);
	mix_end(f, &m);
}
END_TEST

/* A planned stop of the relay's process; callers of others go on. */
static void stop_relay(struct fake *f, unsigned relay)
{
	f->relays[relay].unlisted = true;
	relay_stop(f->relays[relay].relay, f->now_us);
	fake_publish_lists(f);
	fake_run(f, 3 * USEC_PER_SEC);
}

/* It starts again, as a relay of the current version. */
static void start_relay_again(struct fake *f, unsigned relay)
{
	f->relays[relay].old = false;
	f->relays[relay].capacity = pooled_options().capacities[relay];
	fake_restart_relay(f, relay);
	f->relays[relay].unlisted = false;
	fake_publish_lists(f);
	fake_run(f, 3 * USEC_PER_SEC);
}

/*
 * The proxies of a fleet are replaced by a newer version one after the other.
 * Guards against callers that are refused because old and new proxies disagree
 * on the homes, and while a home stops.
 */
START_TEST(nobody_is_refused_in_a_rolling_stop)
{
	struct fake_options o = pooled_options();
	struct fake *f;
	struct load sum;
	unsigned i;
	struct mix m;

	for (i = 0; i < POOLED_RELAYS / 2; i++) {
		o.old[i] = true;
		o.capacities[i] = (struct splace_capacity){ 0 };
	}
	f = pooled_start((uint32_t)_i, &o);
	for (i = 0; i < GROUP_SIZE; i++) {
		f->servers[i].work_us = 20 * MS;
		f->servers[i].queue_us = 300 * MS;
	}
	ck_assert(!pooled_service(f, 0)->pooled);
	ck_assert(pooled_service(f, POOLED_RELAYS - 1)->pooled);
	mix_start(f, &m, 0);
	fake_run(f, 2 * USEC_PER_SEC);
	mix_reset(&m);
	for (i = 0; i < POOLED_RELAYS; i++) {
		unsigned k;

		for (k = 0; k < RELAY_KINDS; k++)
			m.loads[k].avoid = 1u << i;
		stop_relay(f, i);
		start_relay_again(f, i);
	}
	sum = mix_sum(&m);
	ck_assert_uint_eq(sum.n_refused, 0);
	ck_assert_uint_eq(sum.n_in_doubt, 0);
	ck_assert_uint_eq(sum.n_failed, 0);
	for (i = 0; i < POOLED_RELAYS; i++)
		ck_assert(pooled_service(f, i)->pooled);
	check_all_succeed(f, &m, 2 * USEC_PER_SEC);
	mix_end(f, &m);
}
END_TEST

/* Gives the relay a list of proxies without those of that bit set. */
static void give_list_without(struct fake *f, unsigned relay, unsigned missing)
{
	struct relay_server_info infos[POOLED_RELAYS] = { 0 };
	unsigned i, n = 0;

	for (i = 0; i < f->n_relays; i++)
		if (!(missing >> i & 1))
			infos[n++] = (struct relay_server_info){
				.id = f->relays[i].name,
				.host = (char *)"10.0.0.2",
				.zone = (char *)"a",
				.capacity = f->relays[i].capacity,
			};
	relay_on_peers(f->relays[relay].relay, infos, n, f->now_us);
}

/*
 * The store comes back from an older copy that lacks three proxies, the first
 * home among them; every other proxy reads it. Guards against statements that
 * depend on the agreement of proxies on homes.
 */
START_TEST(statements_go_on_with_an_older_list)
{
	struct fake *f = start((uint32_t)_i);
	unsigned first = pooled_ranked(f, 0), missing, i;
	struct mix m;

	missing = 1u << first | 1u << (first + 3) % POOLED_RELAYS |
		  1u << (first + 7) % POOLED_RELAYS;
	mix_start(f, &m, 0);
	fake_run(f, 2 * USEC_PER_SEC);
	for (i = 0; i < POOLED_RELAYS; i += 2)
		give_list_without(f, i, missing);
	check_all_succeed(f, &m, 4 * USEC_PER_SEC);
	mix_end(f, &m);
}
END_TEST

/* The same if all proxies read that list, and later a complete one again. */
START_TEST(statements_go_on_while_proxies_are_not_listed)
{
	struct fake *f = start((uint32_t)_i);
	unsigned first = pooled_ranked(f, 0), second = pooled_ranked(f, 1);
	struct load sum;
	struct mix m;

	mix_start(f, &m, 0);
	fake_run(f, 2 * USEC_PER_SEC);
	mix_reset(&m);
	f->relays[first].unlisted = f->relays[second].unlisted = true;
	fake_publish_lists(f);
	fake_run(f, 4 * USEC_PER_SEC);
	f->relays[first].unlisted = f->relays[second].unlisted = false;
	fake_publish_lists(f);
	fake_run(f, USEC_PER_SEC);
	sum = mix_sum(&m);
	ck_assert_uint_eq(sum.n_refused + sum.n_in_doubt + sum.n_failed, 0);
	check_all_succeed(f, &m, 3 * USEC_PER_SEC);
	mix_end(f, &m);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pooled");

	tcase_add_loop_test(tc, the_first_home_runs_all_statements, 0, SEEDS);
	tcase_add_loop_test(tc, a_new_database_is_served_by_the_first_home, 0,
			    SEEDS);
	tcase_add_loop_test(tc, homes_are_as_before_without_pooling, 0, 3);
	tcase_add_loop_test(tc, a_standby_takes_over, 0, SEEDS * HOME_FAULTS);
	tcase_add_loop_test(tc, a_home_is_preferred_again_after_a_second, 0,
			    SEEDS);
	tcase_add_loop_test(tc, nobody_is_refused_in_a_rolling_stop, 0, SEEDS);
	tcase_add_loop_test(tc, statements_go_on_with_an_older_list, 0, SEEDS);
	tcase_add_loop_test(tc, statements_go_on_while_proxies_are_not_listed,
			    0, SEEDS);
	return suite_main("pooled", tc);
}
