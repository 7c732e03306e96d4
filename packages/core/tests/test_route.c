#include "support_status.h"

#include <celeryquay/core/route.h>
#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define N_SERVERS 3

static struct fresh *f;
static GRand *rng;
static struct route_server servers[N_SERVERS];
static struct profile profile;
static struct route_request req;
static struct route_choice choice;

/* Server 0 is the primary of term 1; all have 100 entries as of 100 ms. */
static void setup(void)
{
	struct history h = history_of(1, 1, 0);
	struct server_status p = primary_status(1, 100, h);
	struct server_status r = replica_status(1, 100, 100, h);
	unsigned i;

	f = fresh_create(N_SERVERS);
	rng = g_rand_new_with_seed(1);
	fresh_on_status(f, 0, 100 * MS, &p);
	fresh_on_status(f, 1, 100 * MS, &r);
	fresh_on_status(f, 2, 100 * MS, &r);
	for (i = 0; i < N_SERVERS; i++)
		servers[i] = (struct route_server){ .up = true,
						    .is_primary = !i,
						    .slots = 3,
						    .latency_us = 5 * MS };
	profile = (struct profile){ .access = ACCESS_READ,
				    .max_age_us = 5000 * MS };
	req = (struct route_request){ .profile = &profile,
				      .arrived_us = 150 * MS,
				      .deadline_us = 1150 * MS };
}

static void teardown(void)
{
	fresh_destroy(f);
	g_rand_free(rng);
}

static enum route_reason route(uint64_t now_ms)
{
	route_choose(f, servers, N_SERVERS, &req, now_ms * MS, rng, &choice);
	return choice.why;
}

static void status(unsigned server, uint64_t ms, struct server_status s)
{
	fresh_on_status(f, server, ms * MS, &s);
}

static const char *pass_letters(void)
{
	static char letters[N_SERVERS + 1];
	unsigned i;

	for (i = 0; i < N_SERVERS; i++)
		letters[i] = route_skip_letter(choice.passed[i]);
	return letters;
}

START_TEST(test_writes_go_to_the_primary)
{
	profile.access = ACCESS_WRITE;
	ck_assert_int_eq(route(150), ROUTE_PRIMARY_WRITE);
	ck_assert_int_eq(choice.server, 0);
	ck_assert_str_eq(pass_letters(), "-rr");
	servers[0].leaving = true;
	ck_assert_int_eq(route(150), ROUTE_PRIMARY_WRITE);
	servers[0].up = false;
	ck_assert_int_eq(route(150), ROUTE_NONE_NO_PRIMARY);
	ck_assert_int_eq(choice.server, -1);
	ck_assert_str_eq(pass_letters(), "drr");
}
END_TEST

/* The session has seen a later term, so the known primary is an old one. */
START_TEST(test_writes_wait_when_the_session_saw_a_later_term)
{
	profile.access = ACCESS_WRITE;
	req.seen = (struct position){ 2, 101 };
	ck_assert_int_eq(route(150), ROUTE_NONE_NO_PRIMARY);
	ck_assert_str_eq(pass_letters(), "brr");
}
END_TEST

START_TEST(test_reads_are_spread_over_replicas)
{
	unsigned count[N_SERVERS] = { 0 };
	unsigned i;

	for (i = 0; i < 300; i++) {
		ck_assert_int_eq(route(150), ROUTE_REPLICA_FRESH);
		count[choice.server]++;
	}
	ck_assert_uint_eq(count[0], 0);
	ck_assert_uint_gt(count[1], 100);
	ck_assert_uint_gt(count[2], 100);
	ck_assert_uint_eq(choice.age_us, 50 * MS);
}
END_TEST

START_TEST(test_less_loaded_replica_is_chosen)
{
	servers[1].running = 2;
	ck_assert_int_eq(route(150), ROUTE_REPLICA_FRESH);
	ck_assert_int_eq(choice.server, 2);
	ck_assert_str_eq(pass_letters(), "rs-");
	servers[2].latency_us = 500 * MS;
	servers[2].running = 1;
	route(150);
	ck_assert_int_eq(choice.server, 1);
}
END_TEST

/*
 * A session's read lacks the session's own write if it goes to a replica that
 * has not applied the write. The session's position rules that replica out.
 */
START_TEST(test_a_session_reads_its_own_write)
{
	struct history h = history_of(1, 1, 0);

	status(0, 140, primary_status(1, 101, h));
	status(1, 140, replica_status(1, 101, 101, h));
	req.seen = (struct position){ 1, 101 };
	ck_assert_int_eq(route(150), ROUTE_REPLICA_FRESH);
	ck_assert_int_eq(choice.server, 1);
	ck_assert_str_eq(pass_letters(), "r-b");
	servers[1].up = false;
	ck_assert_int_eq(route(150), ROUTE_PRIMARY_ONLY_FRESH);
	ck_assert_int_eq(choice.server, 0);
	ck_assert_str_eq(pass_letters(), "-db");
}
END_TEST

START_TEST(test_leaving_replicas_get_no_reads)
{
	servers[1].leaving = true;
	route(150);
	ck_assert_int_eq(choice.server, 2);
	ck_assert_str_eq(pass_letters(), "rl-");
	servers[2].leaving = true;
	ck_assert_int_eq(route(150), ROUTE_PRIMARY_ONLY_FRESH);
}
END_TEST

START_TEST(test_data_is_no_older_than_the_profile_allows)
{
	profile.max_age_us = 40 * MS;
	/* All were confirmed at 100 ms: 50 ms old, for the primary too. */
	ck_assert_int_eq(route(150), ROUTE_WAIT_CONFIRM);
	ck_assert_str_eq(pass_letters(), "ooo");
	profile.max_age_us = 60 * MS;
	ck_assert_int_eq(route(150), ROUTE_REPLICA_FRESH);
	/* The expected wait for a slot counts as age. */
	servers[1].running = servers[2].running = 3;
	servers[1].queued = servers[2].queued = 10;
	ck_assert_int_eq(route(150), ROUTE_PRIMARY_ONLY_FRESH);
	ck_assert_str_eq(pass_letters(), "-oo");
}
END_TEST

/*
 * A read with a maximum age of 0 must see every write that was acknowledged
 * before it came. Only a server confirmed after its arrival may serve it, or it
 * could lack a write that another caller has just finished.
 */
START_TEST(test_max_age_0_needs_a_later_confirmation)
{
	struct history h = history_of(1, 1, 0);

	profile.max_age_us = 0;
	ck_assert_int_eq(route(150), ROUTE_WAIT_CONFIRM);
	ck_assert_uint_gt(choice.wait_us, 0);
	status(0, 151, primary_status(1, 101, h));
	ck_assert_int_eq(route(152), ROUTE_WAIT_CONFIRM);
	status(1, 151, replica_status(1, 101, 100, h));
	ck_assert_int_eq(route(152), ROUTE_PRIMARY_ONLY_FRESH);
	status(2, 151, replica_status(1, 101, 101, h));
	ck_assert_int_eq(route(152), ROUTE_REPLICA_FRESH);
	ck_assert_int_eq(choice.server, 2);
}
END_TEST

START_TEST(test_waits_for_a_replica_within_its_limit)
{
	struct history h = history_of(1, 1, 0);

	status(0, 140, primary_status(1, 101, h));
	status(1, 140, replica_status(1, 101, 100, h));
	status(2, 140, replica_status(1, 101, 100, h));
	req.seen = (struct position){ 1, 101 };
	profile.wait_for_replica_us = 500 * MS;
	ck_assert_int_eq(route(150), ROUTE_WAIT_REPLICA);
	ck_assert_uint_gt(choice.wait_us, 0);
	/* The limit counts from the arrival; after it the primary is chosen. */
	status(0, 640, primary_status(1, 101, h));
	status(1, 640, replica_status(1, 101, 100, h));
	ck_assert_int_eq(route(651), ROUTE_PRIMARY_ONLY_FRESH);
	/* Both lag by more than the limit, so there is no wait. */
	req.arrived_us = 650 * MS;
	profile.wait_for_replica_us = 20 * MS;
	ck_assert_int_eq(route(651), ROUTE_PRIMARY_ONLY_FRESH);
}
END_TEST

START_TEST(test_primary_relieves_replicas_that_miss_the_deadline)
{
	servers[1].running = servers[2].running = 3;
	servers[1].queued = servers[2].queued = 900;
	ck_assert_int_eq(route(150), ROUTE_PRIMARY_LESS_LOADED);
	/* The primary's last free slot is kept for writes. */
	servers[0].running = 2;
	ck_assert_int_eq(route(150), ROUTE_REPLICA_FRESH);
}
END_TEST

/*
 * A read that would wait more than 500 ms for a replica goes to an idle
 * primary. Such heavy reads are few, so the replicas' share of the reads hardly
 * falls.
 */
START_TEST(test_primary_relieves_replicas_with_long_queues)
{
	servers[1].running = servers[2].running = 3;
	servers[1].queued = servers[2].queued = 1;
	servers[1].wait_us = servers[2].wait_us = 400 * MS;
	ck_assert_int_eq(route(150), ROUTE_REPLICA_FRESH);
	servers[1].wait_us = servers[2].wait_us = 600 * MS;
	ck_assert_int_eq(route(150), ROUTE_PRIMARY_LESS_LOADED);
	servers[0].queued = 1;
	ck_assert_int_eq(route(150), ROUTE_REPLICA_FRESH);
}
END_TEST

START_TEST(test_no_primary)
{
	struct history h = history_of(1, 1, 0);

	status(1, 140, replica_status(2, 100, 100, h));
	status(2, 140, replica_status(2, 100, 100, h));
	ck_assert_int_eq(route(150), ROUTE_REPLICA_FRESH);
	/* A deposed primary serves no reads: its log's end may be removed. */
	ck_assert_int_eq(choice.passed[0], ROUTE_SKIP_ROLE);
	profile.access = ACCESS_WRITE;
	ck_assert_int_eq(route(150), ROUTE_NONE_NO_PRIMARY);
	profile.access = ACCESS_READ;
	profile.max_age_us = 0;
	ck_assert_int_eq(route(150), ROUTE_NONE_NO_SERVER);
}
END_TEST

START_TEST(test_lost_history_is_reported)
{
	struct history h2 = history_of(1, 1, 2, 101, 0);

	status(1, 140, primary_status(2, 101, h2));
	status(2, 140, replica_status(2, 101, 100, h2));
	req.seen = (struct position){ 1, 105 };
	ck_assert_int_eq(route(150), ROUTE_NONE_LOST_HISTORY);
	profile.access = ACCESS_WRITE;
	ck_assert_int_eq(route(150), ROUTE_NONE_LOST_HISTORY);
}
END_TEST

START_TEST(test_every_reason_has_a_name)
{
	int why;

	for (why = 0; why <= ROUTE_NONE_NO_SERVER; why++)
		ck_assert_uint_gt(strlen(route_reason_name(why)), 0);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("route");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, test_writes_go_to_the_primary);
	tcase_add_test(t, test_writes_wait_when_the_session_saw_a_later_term);
	tcase_add_test(t, test_reads_are_spread_over_replicas);
	tcase_add_test(t, test_less_loaded_replica_is_chosen);
	tcase_add_test(t, test_a_session_reads_its_own_write);
	tcase_add_test(t, test_leaving_replicas_get_no_reads);
	tcase_add_test(t, test_data_is_no_older_than_the_profile_allows);
	tcase_add_test(t, test_max_age_0_needs_a_later_confirmation);
	tcase_add_test(t, test_waits_for_a_replica_within_its_limit);
	tcase_add_test(t,
		       test_primary_relieves_replicas_that_miss_the_deadline);
	tcase_add_test(t, test_primary_relieves_replicas_with_long_queues);
	tcase_add_test(t, test_no_primary);
	tcase_add_test(t, test_lost_history_is_reported);
	tcase_add_test(t, test_every_reason_has_a_name);
	return suite_main("route", t);
}
