/*
 * Planned stops. What a proxy has accepted gets its answer, or an error that is
 * true before the platform's grace is over, whatever it waits for.
 */
#include "support_history.h"

#include <celeryquay/suite.h>
#include <string.h>

#define SEEDS 30
#define RELAYS 3
#define SESSIONS 8
#define GRACE_US (6 * USEC_PER_SEC)
#define TIMEOUT_US (3 * USEC_PER_SEC)
/* The balancer sends callers for so long after the signal. */
#define ACCEPTED_MS 2500

static struct hist_session *callers[SESSIONS];

static struct fake *start_with(uint32_t seed, const struct fake_options *o)
{
	struct fake *f = fake_create_with(seed, o);

	memset(callers, 0, sizeof(callers));
	fake_run(f, USEC_PER_SEC);
	return f;
}

static struct fake *start(uint32_t seed, uint64_t grace_us)
{
	struct fake_options o = { .n_relays = RELAYS,
				  .n_groups = 1,
				  .statement_timeout_us = TIMEOUT_US,
				  .stop_grace_us = grace_us };

	return start_with(seed, &o);
}

/*
 * Runs until the stopping relay's process may end, or until the platform would
 * kill it. Returns the time that this took.
 */
static uint64_t run_stop(struct fake *f, unsigned relay, uint64_t stop_us)
{
	const struct fake_relay *r = &f->relays[relay];

	while (f->now_us < r->frozen_until_us ||
	       (!relay_is_stopped(r->relay, false, f->now_us) &&
		f->now_us < stop_us + 2 * GRACE_US))
		fake_run(f, 20 * MS);
	return f->now_us - stop_us;
}

/*
 * A read that a server works on for less than its timeout. Guards against a
 * stop that ends by a clock of its own while it has time left.
 */
START_TEST(test_slow_read_gets_its_answer)
{
	struct fake *f = start((uint32_t)_i, GRACE_US);
	uint64_t stop_us = f->now_us, took_us;
	struct hist_session *s;
	unsigned i;

	relay_stop(f->relays[0].relay, stop_us);
	for (i = 0; i < f->n_servers; i++)
		f->servers[i].slow_us = fake_random(f, 2000, 2700) * MS;
	fake_run(f, fake_random(f, 0, ACCEPTED_MS) * MS);
	s = hist_open(f, 0, 0, RELAY_KIND_BOUNDED);
	hist_start(f, s, RELAY_READ, "", "1");
	took_us = run_stop(f, 0, stop_us);
	ck_assert_uint_lt(took_us, GRACE_US);
	ck_assert_ptr_null(s->now);
	ck_assert_int_eq(s->told, RELAY_OK);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

/* Guards against a stop that waits though nothing is left to do. */
START_TEST(test_idle_proxy_ends_early)
{
	struct fake *f = start((uint32_t)_i, GRACE_US * (1 + (unsigned)_i));
	uint64_t stop_us = f->now_us;

	hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	relay_stop(f->relays[0].relay, stop_us);
	ck_assert_uint_le(run_stop(f, 0, stop_us),
			  GRACE_US * (1 + (unsigned)_i) / 2 + 100 * MS);
	fake_destroy(f);
}
END_TEST

/* Guards against a stop that cuts an answer which its caller reads slowly. */
START_TEST(test_unsent_answers_are_waited_for)
{
	struct fake *f = start(1, GRACE_US);
	struct relay *r = f->relays[0].relay;
	uint64_t stop_us = f->now_us;

	hist_run(f, hist_open(f, 0, 0, RELAY_KIND_PRIMARY), RELAY_BEGIN, "",
		 "");
	relay_stop(r, stop_us);
	while (f->now_us < stop_us + GRACE_US - USEC_PER_SEC) {
		ck_assert(!relay_is_stopped(r, true, f->now_us));
		fake_run(f, 20 * MS);
	}
	run_stop(f, 0, stop_us);
	ck_assert_uint_lt(f->now_us, stop_us + GRACE_US);
	fake_destroy(f);
}
END_TEST

static const uint64_t graces_ms[] = { 0, 200, 1000, 2000, 4500, 6000, 20000 };

/* Guards against an end after the platform's grace, however short that is. */
START_TEST(test_end_is_within_the_grace)
{
	uint64_t grace_us = graces_ms[_i] * MS;
	struct fake *f = start(1, grace_us ? grace_us : 1);
	uint64_t stop_us = f->now_us;
	struct hist_session *s = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	unsigned i;

	for (i = 0; i < f->n_servers; i++)
		f->servers[i].slow_us = 2900 * MS;
	hist_start(f, s, RELAY_WRITE, "", "1");
	fake_run(f, 50 * MS);
	relay_stop(f->relays[0].relay, stop_us);
	ck_assert_uint_le(run_stop(f, 0, stop_us), MAX(grace_us, 500 * MS));
	ck_assert_uint_eq(hist_unanswered(f, 0), 0);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

static void next_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (!s->open || s->now)
		return;
	if (s->state == 'E')
		hist_start(f, s, RELAY_ROLLBACK, "", "");
	else if (s->state == 'T' && fake_chance(f, 0.4))
		hist_start(f, s, RELAY_COMMIT, "", "");
	else if (s->state == 'I' && fake_chance(f, 0.4))
		hist_start(f, s, RELAY_BEGIN, "", "");
	else
		hist_start(f, s, fake_chance(f, 0.5) ? RELAY_WRITE : RELAY_READ,
			   "", "1");
}

static void open_callers(struct fake *f)
{
	unsigned i;

	for (i = 0; i < SESSIONS; i++) {
		callers[i] = hist_open(f, i % 2, 0,
				       (enum relay_kind)fake_random(f, 0, 3));
		callers[i]->next = next_event;
		next_event(f, callers[i]);
	}
}

static void make_slow(struct fake *f)
{
	unsigned i;

	for (i = 0; i < f->n_servers; i++)
		f->servers[i].slow_us = fake_random(f, 500, 3500) * MS;
}

static void lose_answers(struct fake *f)
{
	f->lose_answers = 0.5;
}

static void shed_load(struct fake *f)
{
	f->busy = 0.9;
}

static void lose_primary(struct fake *f)
{
	fake_crash(f, 0);
}

static void hang_all(struct fake *f)
{
	unsigned i;

	for (i = 0; i < f->n_servers; i++)
		f->servers[i].dark = true;
}

/* Writes are executed, and nobody confirms the primary any more. */
static void lose_lease(struct fake *f)
{
	fake_cut(f, 0, 1, true);
	fake_cut(f, 0, 2, true);
	fake_set_store_reachable(f, 0, false);
	f->servers[0].slow_us = 400 * MS;
}

static void stop_another(struct fake *f)
{
	make_slow(f);
	relay_stop(f->relays[1].relay, f->now_us);
}

static void suspend(struct fake *f)
{
	make_slow(f);
	fake_suspend_relay(f, 0, fake_random(f, 500, 9000) * MS);
}

static void stop_now(struct fake *f)
{
	make_slow(f);
	fake_run(f, fake_random(f, 0, 2000) * MS);
	relay_stop_now(f->relays[0].relay, f->now_us);
}

struct wait {
	const char *name; /* for what statements wait */
	void (*begin)(struct fake *f);
};

static const struct wait waits[] = {
	{ "a server's work", make_slow },  { "a lost answer", lose_answers },
	{ "another try", shed_load },	   { "a primary", lose_primary },
	{ "silent servers", hang_all },	   { "a confirmation", lose_lease },
	{ "two that stop", stop_another }, { "a suspended VM", suspend },
	{ "a second signal", stop_now },
};

/* The platforms: all proxies connect to servers, homes, pooled homes. */
static struct fake *start_platform(uint32_t seed)
{
	struct fake_options o = { .n_relays = RELAYS,
				  .n_groups = 1,
				  .statement_timeout_us = 12 * USEC_PER_SEC,
				  .stop_grace_us = GRACE_US };

	if (seed % 3 == 0)
		return start_with(seed, &o);
	o.n_relays = FAKE_POOLED_RELAYS;
	o.homes = true;
	o.max_connections = FAKE_POOLED_CONNECTIONS;
	o.home_pooling = seed % 3 == 1 ? SPLACE_ON : SPLACE_OFF;
	o.n_accounts = FAKE_ACCOUNTS;
	o.limits = true;
	return start_with(seed, &o);
}

/*
 * Stops a proxy among statements that wait for something. Returns what is
 * wrong, "" if nothing; the caller frees it.
 */
static char *stop_while_waiting(const struct wait *wait, uint32_t seed)
{
	struct fake *f = start_platform(seed);
	uint64_t stop_us, took_us;
	unsigned n_unanswered;
	char *wrong;

	open_callers(f);
	fake_run(f, fake_random(f, 200, 1500) * MS);
	stop_us = f->now_us;
	relay_stop(f->relays[0].relay, stop_us);
	fake_run(f, fake_random(f, 0, 3000) * MS);
	wait->begin(f);
	took_us = run_stop(f, 0, stop_us);
	n_unanswered = hist_unanswered(f, 0);
	fake_restart_relay(f, 0);
	fake_heal(f);
	fake_run(f, 4 * USEC_PER_SEC);
	if (n_unanswered)
		wrong = g_strdup_printf("%u without an answer", n_unanswered);
	else if (took_us > GRACE_US && wait->begin != suspend)
		wrong = g_strdup_printf("it took %u ms",
					(unsigned)(took_us / MS));
	else
		wrong = g_strdup(hist_check(f));
	fake_destroy(f);
	return wrong;
}

/*
 * Guards against a stop that ends what it has accepted without an answer, or
 * with one that is not true.
 */
START_TEST(test_all_is_answered)
{
	uint32_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		char *wrong = stop_while_waiting(&waits[_i], seed);

		ck_assert_msg(!*wrong, "%s, seed %u: %s", waits[_i].name, seed,
			      wrong);
		g_free(wrong);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("stop");

	tcase_add_loop_test(tc, test_slow_read_gets_its_answer, 0, 20);
	tcase_add_loop_test(tc, test_idle_proxy_ends_early, 0, 3);
	tcase_add_test(tc, test_unsent_answers_are_waited_for);
	tcase_add_loop_test(tc, test_end_is_within_the_grace, 0,
			    G_N_ELEMENTS(graces_ms));
	tcase_add_loop_test(tc, test_all_is_answered, 0, G_N_ELEMENTS(waits));
	return suite_main("stop", tc);
}
