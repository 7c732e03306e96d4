#include "conn_pool.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

/* The connection pool, with a mock upstream that only records the calls. */

struct upstream {
	unsigned opened;
	unsigned closed;
	conn_id last_id; /* connection that was opened or used last */
};

struct request_mock {
	unsigned answers;
	enum err_code code;
	char text[32];
};

static unsigned n_opened, n_failed, n_lost, n_silent, n_closed;

static void open_conn(struct upstream *u, conn_id id,
		      const struct upstream_target *target, uint64_t timeout_us)
{
	(void)target;
	(void)timeout_us;
	u->opened++;
	u->last_id = id;
}

static void run_steps(struct upstream *u, conn_id id,
		      const struct upstream_step *steps, unsigned n_steps,
		      uint64_t max_bytes, uint64_t timeout_us)
{
	(void)steps;
	(void)n_steps;
	(void)max_bytes;
	(void)timeout_us;
	u->last_id = id;
}

static void close_conn(struct upstream *u, conn_id id)
{
	(void)id;
	u->closed++;
}

static const struct upstream_ops ops = {
	.open = open_conn,
	.run = run_steps,
	.close = close_conn,
};

static void on_opened(void *ctx, struct conn *c, const struct err *err,
		      uint64_t now_us)
{
	(void)ctx;
	(void)c;
	(void)now_us;
	if (err)
		n_failed++;
	else
		n_opened++;
}

static void on_lost(void *ctx, struct conn *c, const struct err *err,
		    uint64_t now_us)
{
	(void)ctx;
	(void)c;
	(void)err;
	(void)now_us;
	n_lost++;
}

static void on_silent(void *ctx, struct conn *c, uint64_t now_us)
{
	(void)ctx;
	(void)c;
	(void)now_us;
	n_silent++;
}

static void on_closed(void *ctx, struct conn *c)
{
	(void)ctx;
	(void)c;
	n_closed++;
}

static const struct conn_events events = {
	.opened = on_opened,
	.lost = on_lost,
	.silent = on_silent,
	.closed = on_closed,
};

static void on_done(void *user, struct conn *c, struct upstream_result *result,
		    uint64_t now_us)
{
	struct request_mock *m = user;

	(void)c;
	(void)now_us;
	m->answers++;
	m->code = result->err.code;
	if (result->results)
		g_strlcpy(m->text, result->results->str, sizeof(m->text));
}

static struct upstream mock;
static struct conn_pool *pool;

static void setup(void)
{
	memset(&mock, 0, sizeof(mock));
	n_opened = n_failed = n_lost = n_silent = n_closed = 0;
	pool = conn_pool_create(&mock, &ops, &events, NULL);
}

static void teardown(void)
{
	conn_pool_destroy(pool);
}

static struct conn *open_one(uint64_t now_us)
{
	struct upstream_target target = { 0 };
	struct conn *c =
		conn_pool_open(pool, NULL, CONN_WORK, &target, 1000, now_us);

	conn_pool_on_opened(pool, c->id, NULL, now_us);
	return c;
}

static void send_one(struct conn *c, struct request_mock *m, uint64_t now_us)
{
	conn_begin(c);
	conn_add_step(c, STR("SELECT 1"), true);
	conn_send(c, 0, 100, on_done, m, now_us);
}

static void answer(conn_id id, const char *text, uint64_t now_us)
{
	struct upstream_result result = { .conn_usable = true };

	result.results = g_string_new(text);
	conn_pool_on_done(pool, id, &result, now_us);
	g_string_free(result.results, TRUE);
}

/*
 * A statement times out and its caller is told so; its rows arrive later, while
 * the next caller's statement runs. That caller must not get them, so the
 * connection is closed at the timeout.
 */
START_TEST(late_answer_reaches_no_request)
{
	struct request_mock slow = { 0 }, next = { 0 };
	struct conn *c = open_one(0);
	conn_id id = c->id;

	send_one(c, &slow, 0);
	conn_pool_expire(pool, 100);
	ck_assert_uint_eq(slow.answers, 1);
	ck_assert_int_eq(slow.code, ERR_TIMED_OUT);
	ck_assert_uint_eq(mock.closed, 1);
	ck_assert_uint_eq(n_silent, 1);
	c = open_one(110);
	ck_assert(c->id != id);
	send_one(c, &next, 110);
	answer(id, "of the first", 120);
	ck_assert_uint_eq(next.answers, 0);
	answer(c->id, "of the second", 130);
	ck_assert_str_eq(next.text, "of the second");
	ck_assert_uint_eq(slow.answers, 1);
}
END_TEST

/*
 * The failure above, with the guard switched off: on a connection that stays
 * open after the timeout, the next request gets the late rows.
 */
START_TEST(late_answer_reaches_next_request_without_guard)
{
	struct request_mock slow = { 0 }, next = { 0 };
	struct conn *c = open_one(0);

	conn_pool_set_close_on_timeout(pool, false);
	send_one(c, &slow, 0);
	conn_pool_expire(pool, 100);
	send_one(c, &next, 110);
	answer(c->id, "of the first", 120);
	ck_assert_str_eq(next.text, "of the first");
}
END_TEST

/* A loss that is reported twice ends the request once, with its error. */
START_TEST(lost_connection_ends_its_run_once)
{
	struct err err = { .code = ERR_CONNECTION_LOST };
	struct request_mock m = { 0 };
	struct conn *c = open_one(0);
	conn_id id = c->id;

	send_one(c, &m, 0);
	conn_pool_on_lost(pool, id, &err, 10);
	conn_pool_on_lost(pool, id, &err, 11);
	conn_pool_expire(pool, 1000);
	ck_assert_uint_eq(m.answers, 1);
	ck_assert_int_eq(m.code, ERR_CONNECTION_LOST);
	ck_assert_uint_eq(conn_pool_count(pool), 0);
	ck_assert_uint_eq(n_closed, 1);
	ck_assert_uint_eq(n_lost, 0);
}
END_TEST

/* After conn_close() neither an answer nor the deadline reports a result. */
START_TEST(closing_drops_the_answer)
{
	struct request_mock m = { 0 };
	struct conn *c = open_one(0);
	conn_id id = c->id;

	send_one(c, &m, 0);
	conn_close(c);
	answer(id, "late", 10);
	conn_pool_expire(pool, 1000);
	ck_assert_uint_eq(m.answers, 0);
	ck_assert_uint_eq(n_closed, 1);
}
END_TEST

START_TEST(opening_times_out)
{
	struct upstream_target target = { 0 };

	conn_pool_open(pool, NULL, CONN_WORK, &target, 1000, 0);
	ck_assert_uint_eq(conn_pool_next_deadline_us(pool), 1000);
	conn_pool_expire(pool, 999);
	ck_assert_uint_eq(n_failed, 0);
	conn_pool_expire(pool, 1000);
	ck_assert_uint_eq(n_failed, 1);
	ck_assert_uint_eq(mock.closed, 1);
	ck_assert_uint_eq(conn_pool_count(pool), 0);
}
END_TEST

START_TEST(pool_owns_only_its_connections)
{
	struct conn_pool *other = conn_pool_create(&mock, &ops, &events, NULL);
	struct conn *c = open_one(0);

	ck_assert(conn_pool_owns(pool, c->id));
	ck_assert(!conn_pool_owns(other, c->id));
	conn_pool_destroy(other);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("conn_pool");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, late_answer_reaches_no_request);
	tcase_add_test(t, late_answer_reaches_next_request_without_guard);
	tcase_add_test(t, lost_connection_ends_its_run_once);
	tcase_add_test(t, closing_drops_the_answer);
	tcase_add_test(t, opening_times_out);
	tcase_add_test(t, pool_owns_only_its_connections);
	return suite_main("conn_pool", t);
}
