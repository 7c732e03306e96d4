#include "support_history.h"

#include <celeryquay/suite.h>

#define RELAYS 4
#define CALLERS 40
#define CONNECTIONS 80 /* of the primary; more than wait in its queue */
#define WORK_US (30 * MS) /* for which a statement occupies a slot */
#define QUEUE_US (300 * MS) /* longest wait for a slot before it is shed */
#define LOAD_US (10 * USEC_PER_SEC)
/* Statements that the primary's slots can run in LOAD_US. */
#define CAPACITY (FAKE_SLOTS * LOAD_US / WORK_US)

static unsigned
	n_in_time; /* statements that succeeded within FAKE_LATENCY_TARGET_US */
static uint64_t pause_us; /* mean pause of a caller between two statements */

static void next_operation_event(struct fake *f, void *data);

static void pause_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->told == RELAY_OK &&
	    f->now_us <= s->begun_us + FAKE_LATENCY_TARGET_US)
		n_in_time++;
	fake_at(f, -1, fake_random(f, pause_us / 2, pause_us * 3 / 2),
		next_operation_event, s, NULL);
}

static void next_operation_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	hist_start(f, s, fake_chance(f, 0.4) ? RELAY_WRITE : RELAY_READ, "",
		   "1");
}

static void configure(struct relay *r, bool guard)
{
	struct rservice *v = g_hash_table_lookup(r->services, "group0");

	v->max_connections = CONNECTIONS;
	r->guards.limit_in_flight = guard;
}

static struct fake *start(uint32_t seed, bool guard)
{
	struct fake *f = fake_create(seed, RELAYS, 1);
	unsigned i;

	n_in_time = 0;
	pause_us = 100 * MS;
	fake_run(f, USEC_PER_SEC);
	f->servers[0].work_us = WORK_US;
	f->servers[0].queue_us = QUEUE_US;
	f->max_connections = CONNECTIONS;
	for (i = 0; i < RELAYS; i++)
		configure(f->relays[i].relay, guard);
	for (i = 0; i < CALLERS; i++) {
		struct hist_session *s =
			hist_open(f, i % RELAYS, 0, RELAY_KIND_PRIMARY);

		s->next = pause_event;
		next_operation_event(f, s);
	}
	return f;
}

static void end(struct fake *f)
{
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}

static unsigned in_time_under_load(uint32_t seed, bool guard)
{
	struct fake *f = start(seed, guard);

	fake_run(f, LOAD_US);
	end(f);
	return n_in_time;
}

/*
 * All replicas are behind, and callers ask for twice what the primary alone can
 * run. Guards against statements that all wait in its queue for as long as an
 * answer may take, so that hardly any is served in time.
 */
START_TEST(test_an_overloaded_primary_serves_what_it_can)
{
	unsigned with = in_time_under_load((uint32_t)_i, true);
	unsigned without = in_time_under_load((uint32_t)_i, false);

	ck_assert_uint_gt(with, CAPACITY * 3 / 4);
	ck_assert_uint_lt(without, with / 2);
}
END_TEST

/*
 * Guards against callers that are refused after an overload is over because the
 * limit on statements in flight stays.
 */
START_TEST(test_the_limit_is_lifted_after_an_overload)
{
	struct fake *f = start((uint32_t)_i, true);
	unsigned before;

	fake_run(f, LOAD_US);
	pause_us = 2 * USEC_PER_SEC;
	fake_run(f, 5 * USEC_PER_SEC);
	before = f->n_codes[RELAY_BUSY];
	fake_run(f, LOAD_US);
	ck_assert_uint_eq(f->n_codes[RELAY_BUSY], before);
	end(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("overload");

	tcase_add_loop_test(tc, test_an_overloaded_primary_serves_what_it_can,
			    0, 5);
	tcase_add_loop_test(tc, test_the_limit_is_lifted_after_an_overload, 0,
			    5);
	return suite_main("overload", tc);
}
