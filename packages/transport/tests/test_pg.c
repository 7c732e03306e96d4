#include "support_pg.h"

#include <celeryquay/suite.h>
#include <string.h>

#define MAX_BYTES ((uint64_t)1024 * 1024)
#define LARGE_PARAM_BYTES ((gsize)48 * 1024 * 1024)

static void run(conn_id id, const struct upstream_step *steps, unsigned n)
{
	pg_rig_run(id, steps, n, 0, PG_TIMEOUT_US);
}

START_TEST(a_transaction_in_one_pipeline)
{
	const struct value values[] = { { .type = VALUE_INT, .u.i = 7 },
					{ .type = VALUE_TEXT,
					  .u.s = STR("hall \"a\"") } };
	const struct upstream_step steps[] = {
		UNKEPT("BEGIN"),
		KEPT("CREATE TABLE trip (id INTEGER PRIMARY KEY, name TEXT)"),
		{ .sql = STR("INSERT INTO trip VALUES ($1, $2)"),
		  .n_params = 2,
		  .params = values,
		  .keep_rows = true },
		KEPT("SELECT id, name FROM trip"),
		UNKEPT("COMMIT"),
		UNKEPT("SELECT cq_commit_position()"),
	};
	const struct pg_event *event;

	pg_rig_open(1);
	run(1, steps, G_N_ELEMENTS(steps));
	event = pg_rig_wait_next();
	ck_assert_msg(!event->err.code, "%s", event->err.message);
	ck_assert_uint_eq(event->steps_done, G_N_ELEMENTS(steps));
	ck_assert_uint_eq(event->n_kept, 3);
	ck_assert(event->conn_usable);
	ck_assert_str_eq(event->results,
			 "{\"columns\":[],\"rows\":[],\"rows_affected\":0},"
			 "{\"columns\":[],\"rows\":[],\"rows_affected\":1},"
			 "{\"columns\":[\"id\",\"name\"],"
			 "\"rows\":[[7,\"hall \\\"a\\\"\"]],"
			 "\"rows_affected\":0}");
	ck_assert_str_eq(event->last_step_row[0], "1:2");
	ck_assert_ptr_null(event->last_step_row[1]);
}
END_TEST

START_TEST(values_come_back_as_they_went)
{
	const struct value values[] = {
		{ .type = VALUE_INT, .u.i = INT64_MIN },
		{ .type = VALUE_FLOAT, .u.f = 0.1 },
		{ .type = VALUE_TEXT, .u.s = STR("") },
		{ .type = VALUE_BYTES, .u.s = STR("\0\xff\\") },
		{ .type = VALUE_NULL },
		{ .type = VALUE_BOOL, .u.b = true },
	};
	const struct upstream_step steps[] = {
		UNKEPT("CREATE TABLE v (i BIGINT, f DOUBLE PRECISION, t TEXT, "
		       "b BYTEA, n TEXT, o BOOLEAN)"),
		{ .sql = STR("INSERT INTO v VALUES ($1,$2,$3,$4,$5,$6)"),
		  .n_params = G_N_ELEMENTS(values),
		  .params = values },
		KEPT("SELECT i, f, t, b, n, o FROM v"),
	};
	JsonParser *parser = json_parser_new();
	const struct pg_event *event;
	JsonArray *row;

	pg_rig_open(1);
	run(1, steps, G_N_ELEMENTS(steps));
	event = pg_rig_wait_next();
	ck_assert_msg(!event->err.code, "%s", event->err.message);
	ck_assert(json_parser_load_from_data(parser, event->results, -1, NULL));
	row = json_array_get_array_element(
		json_object_get_array_member(
			json_node_get_object(json_parser_get_root(parser)),
			"rows"),
		0);
	ck_assert_int_eq(json_array_get_int_element(row, 0), INT64_MIN);
	ck_assert_double_eq(json_array_get_double_element(row, 1), 0.1);
	ck_assert_str_eq(json_array_get_string_element(row, 2), "");
	ck_assert_str_eq(json_object_get_string_member(
				 json_array_get_object_element(row, 3),
				 "bytes"),
			 "AP9c");
	ck_assert(json_array_get_null_element(row, 4));
	ck_assert(json_array_get_boolean_element(row, 5));
	g_object_unref(parser);
}
END_TEST

START_TEST(rows_are_listed_in_order_and_an_empty_list_has_columns)
{
	const struct pg_event *event;

	pg_rig_open(1);
	event = pg_rig_query(1, "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL "
				"SELECT i + 1 FROM n WHERE i < 4) "
				"SELECT i FROM n");
	ck_assert_str_eq(event->results, "{\"columns\":[\"i\"],\"rows\":"
					 "[[1],[2],[3],[4]],"
					 "\"rows_affected\":0}");
	event = pg_rig_query(1, "SELECT 1 AS one WHERE 0");
	ck_assert_str_eq(event->results, "{\"columns\":[\"one\"],\"rows\":[],"
					 "\"rows_affected\":0}");
	ck_assert_ptr_null(event->last_step_row);
}
END_TEST

/*
 * With a small limit libpq buffers all rows of a step, without one it returns
 * them singly. The JSON text must be the same.
 */
START_TEST(rows_are_the_same_with_a_limit_and_without)
{
	const struct upstream_step step =
		KEPT("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 "
		     "FROM n WHERE i < 5000) SELECT i, 'x' || i AS t FROM n");
	const struct pg_event *buffered;
	const struct pg_event *single;

	pg_rig_open(1);
	pg_rig_run(1, &step, 1, MAX_BYTES, PG_TIMEOUT_US);
	buffered = pg_rig_wait_next();
	pg_rig_run(1, &step, 1, 0, PG_TIMEOUT_US);
	single = pg_rig_wait_next();
	ck_assert_int_eq(buffered->err.code, 0);
	ck_assert_str_eq(buffered->results, single->results);
	ck_assert_str_eq(buffered->last_step_row[1], "x1");
	ck_assert_str_eq(single->last_step_row[1], "x1");
}
END_TEST

/*
 * A transaction's third step, its second INSERT, violates a primary key. The
 * remaining steps must not run, and the connection must serve the next caller
 * with nothing left of the failed transaction.
 */
START_TEST(after_a_failed_step_the_rest_is_skipped)
{
	const struct upstream_step steps[] = {
		UNKEPT("BEGIN"),
		KEPT("INSERT INTO code VALUES (2)"),
		KEPT("INSERT INTO code VALUES (1)"),
		KEPT("INSERT INTO code VALUES (3)"),
		UNKEPT("COMMIT"),
	};
	const struct pg_event *event;

	pg_rig_open(1);
	pg_rig_query(1, "CREATE TABLE code (id INTEGER PRIMARY KEY)");
	pg_rig_query(1, "INSERT INTO code VALUES (1)");
	run(1, steps, G_N_ELEMENTS(steps));
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->err.code, ERR_STATEMENT_FAILED);
	ck_assert_str_eq(event->sqlstate, "23505");
	ck_assert_uint_eq(event->steps_done, 2);
	ck_assert_uint_eq(event->n_kept, 1);
	ck_assert(event->conn_usable);
	pg_rig_query(1, "ROLLBACK");
	event = pg_rig_query(1, "SELECT id FROM code");
	ck_assert_str_eq(event->results, "{\"columns\":[\"id\"],\"rows\":[[1]],"
					 "\"rows_affected\":0}");
}
END_TEST

/*
 * A caller uses a read profile for a statement that writes, in a transaction of
 * two requests. The error must be READ_ONLY, which names the caller's profile
 * as the cause and not the server.
 */
START_TEST(a_write_in_a_read_only_transaction_is_the_callers_mistake)
{
	const struct upstream_step begin[] = { UNKEPT("BEGIN READ ONLY") };
	const struct pg_event *event;

	pg_rig_open(1);
	run(1, begin, 1);
	pg_rig_wait_next();
	event = pg_rig_query(1, "CREATE TABLE t (id INTEGER)");
	ck_assert_int_eq(event->err.code, ERR_READ_ONLY);
	ck_assert_str_eq(event->sqlstate, "25006");
	pg_rig_query(1, "ROLLBACK");
	event = pg_rig_query(1, "CREATE TABLE t (id INTEGER)");
	ck_assert_int_eq(event->err.code, 0);
}
END_TEST

START_TEST(a_write_on_a_server_that_is_not_primary_is_refused_by_it)
{
	struct child *replica = child_start(
		(const char *const[]){ "celeryquay-standin-server", "--name",
				       "s2", "--exit-with-stdin", NULL },
		NULL);
	const struct pg_event *event;

	pg_rig_open_at(1, "127.0.0.1", child_port(replica, "port"),
		       PG_TIMEOUT_US);
	pg_rig_wait_next();
	event = pg_rig_query(1, "CREATE TABLE t (id INTEGER)");
	ck_assert_int_eq(event->err.code, ERR_STATEMENT_FAILED);
	ck_assert_str_eq(event->sqlstate, "25006");
	child_stop(replica);
}
END_TEST

START_TEST(no_steps_are_a_round_trip)
{
	const struct pg_event *event;

	pg_rig_open(1);
	run(1, NULL, 0);
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->err.code, 0);
	ck_assert(event->conn_usable);
}
END_TEST

/*
 * A caller's SQL or parameter contains a NUL. libpq would send only the part
 * before it, so another statement than the caller's would run.
 */
START_TEST(a_nul_in_a_string_is_refused_before_anything_is_sent)
{
	const struct value value = { .type = VALUE_TEXT, .u.s = STR("a\0b") };
	const struct upstream_step steps[] = {
		UNKEPT("CREATE TABLE t (id INTEGER)"),
		KEPT("SELECT 1\0 WHERE 0"),
	};
	const struct upstream_step with_value = { .sql = STR("SELECT $1"),
						  .n_params = 1,
						  .params = &value };
	const struct pg_event *event;

	pg_rig_open(1);
	run(1, steps, 2);
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->err.code, ERR_BAD_FIELD);
	ck_assert_uint_eq(event->steps_done, 0);
	ck_assert(event->conn_usable);
	run(1, &with_value, 1);
	ck_assert_int_eq(pg_rig_wait_next()->err.code, ERR_BAD_FIELD);
	event = pg_rig_query(1, "CREATE TABLE t (id INTEGER)");
	ck_assert_int_eq(event->err.code, 0);
}
END_TEST

START_TEST(a_run_may_be_started_from_done)
{
	pg_rig_open(1);
	pg_rig.run_again = true;
	pg_rig_start(1, "SELECT 'first'");
	ck_assert_ptr_nonnull(strstr(pg_rig_wait(2)->results, "first"));
	ck_assert_ptr_nonnull(strstr(pg_rig_wait(3)->results, "again"));
}
END_TEST

/*
 * Two callers run statements at the same time, and the first one's result is
 * ready last. Each must get its own result.
 */
START_TEST(answers_on_two_connections_do_not_cross)
{
	const struct pg_event *slow;
	const struct pg_event *quick;

	pg_rig_open(1);
	pg_rig_open(2);
	pg_rig_start(1, "SELECT cq_wait(1, 1, 1, 1, 60000)");
	pg_rig_start(2, "SELECT 'quick'");
	quick = pg_rig_wait(3);
	ck_assert_uint_eq(quick->id, 2);
	ck_assert_ptr_nonnull(strstr(quick->results, "quick"));
	pg_rig_query(2, "CREATE TABLE t (id INTEGER)");
	pg_rig_wait(5);
	slow = pg_rig_event(pg_rig_event(3)->id == 1 ? 3 : 4);
	ck_assert_uint_eq(slow->id, 1);
	ck_assert_ptr_nonnull(strstr(slow->results, "primary"));
}
END_TEST

/*
 * A request is larger than all buffers on the path, and the server sends
 * nothing before it has received all of it. Sending must continue whenever the
 * socket becomes writable.
 */
START_TEST(a_large_parameter_is_sent_as_the_socket_takes_it)
{
	GString *large = g_string_new(NULL);
	struct value value = { .type = VALUE_TEXT };
	const struct upstream_step step = { .sql = STR(
						    "SELECT length($1) AS n"),
					    .n_params = 1,
					    .params = &value,
					    .keep_rows = true };
	const struct pg_event *event;

	g_string_set_size(large, LARGE_PARAM_BYTES);
	memset(large->str, 'x', large->len);
	value.u.s = str_from_gstring(large);
	pg_rig_open(1);
	run(1, &step, 1);
	event = pg_rig_wait_next();
	ck_assert_msg(!event->err.code, "%s", event->err.message);
	ck_assert(g_str_has_prefix(
		event->results, "{\"columns\":[\"n\"],\"rows\":[[50331648]]"));
	g_string_free(large, TRUE);
}
END_TEST

static TCase *cases(void)
{
	TCase *t = tcase_create("runs");

	tcase_add_checked_fixture(t, pg_rig_setup, pg_rig_teardown);
	tcase_add_test(t, a_transaction_in_one_pipeline);
	tcase_add_test(t, values_come_back_as_they_went);
	tcase_add_test(t,
		       rows_are_listed_in_order_and_an_empty_list_has_columns);
	tcase_add_test(t, rows_are_the_same_with_a_limit_and_without);
	tcase_add_test(t, after_a_failed_step_the_rest_is_skipped);
	tcase_add_test(
		t, a_write_in_a_read_only_transaction_is_the_callers_mistake);
	tcase_add_test(
		t, a_write_on_a_server_that_is_not_primary_is_refused_by_it);
	tcase_add_test(t, no_steps_are_a_round_trip);
	tcase_add_test(t, a_nul_in_a_string_is_refused_before_anything_is_sent);
	tcase_add_test(t, a_run_may_be_started_from_done);
	tcase_add_test(t, answers_on_two_connections_do_not_cross);
	tcase_add_test(t, a_large_parameter_is_sent_as_the_socket_takes_it);
	return t;
}

int main(void)
{
	return suite_main("pg", cases());
}
