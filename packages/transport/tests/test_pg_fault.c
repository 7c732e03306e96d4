#include "support_pg.h"

#include <arpa/inet.h>
#include <celeryquay/suite.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MB ((uint64_t)1024 * 1024)
/* A timeout that has to expire during a test, so it is short. */
#define SHORT_US (200 * USEC_PER_MSEC)

static const char forever[] = "SELECT cq_wait(1, 1, 1, 1, 600000)";
/* 20 MB in rows of 1 kB. */
static const char many_rows[] =
	"WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n "
	"WHERE i < 20480) SELECT hex(zeroblob(512)) AS h FROM n";
static const char one_row[] = "SELECT hex(zeroblob(10485760)) AS h";

static void run_one(conn_id id, const char *sql, uint64_t max_bytes,
		    uint64_t timeout_us)
{
	struct upstream_step step = { .sql = str_from_c(sql),
				      .keep_rows = true };

	pg_rig_run(id, &step, 1, max_bytes, timeout_us);
}

/* Returns a port, chosen by the kernel, that nothing listens on. */
static unsigned closed_port(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert(!bind(fd, (struct sockaddr *)&address, sizeof(address)));
	ck_assert(!getsockname(fd, (struct sockaddr *)&address, &len));
	close(fd);
	return ntohs(address.sin_port);
}

static void check_open_fails(const char *host, unsigned port, const char *text)
{
	const struct pg_event *event;

	pg_rig_open_at(1, host, port, PG_TIMEOUT_US);
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->kind, PG_EVENT_OPENED);
	ck_assert_int_eq(event->err.code, ERR_CONNECT_FAILED);
	ck_assert_msg(strstr(event->err.message, text) != NULL, "%s",
		      event->err.message);
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 0);
}

START_TEST(a_server_that_is_down_refuses)
{
	check_open_fails("127.0.0.1", closed_port(), "refused");
}
END_TEST

/* Resolving a name would block the loop, so only addresses are accepted. */
START_TEST(a_host_that_is_no_address_is_not_looked_up)
{
	check_open_fails("localhost", 5432, "localhost");
}
END_TEST

/*
 * libpq takes missing parameters from the environment, which is not part of the
 * settings and must not change the target.
 */
START_TEST(the_environment_does_not_redirect_connections)
{
	g_setenv("PGHOST", "one,two", TRUE);
	g_setenv("PGHOSTADDR", "192.0.2.1", TRUE);
	g_setenv("PGTARGETSESSIONATTRS", "standby", TRUE);
	pg_rig_open(1);
	g_unsetenv("PGHOST");
	g_unsetenv("PGHOSTADDR");
	g_unsetenv("PGTARGETSESSIONATTRS");
	ck_assert_int_eq(pg_rig_query(1, "SELECT 1")->err.code, 0);
}
END_TEST

START_TEST(a_server_at_its_connection_limit_is_reported)
{
	struct child *full = child_start(
		(const char *const[]){ "celeryquay-standin-server", "--name",
				       "full", "--connection-limit", "1",
				       "--exit-with-stdin", NULL },
		NULL);

	pg_rig_open_at(2, "127.0.0.1", child_port(full, "port"), PG_TIMEOUT_US);
	ck_assert_int_eq(pg_rig_wait_next()->err.code, 0);
	pg_rig_open_at(1, "127.0.0.1", child_port(full, "port"), PG_TIMEOUT_US);
	ck_assert_ptr_nonnull(strstr(pg_rig_wait_next()->err.message, "53300"));
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 1);
	child_kill(full);
}
END_TEST

START_TEST(opening_times_out_when_the_server_does_not_answer)
{
	pg_rig_fault("/blackhole", "{}");
	pg_rig_open_at(1, "127.0.0.1", pg_rig.proxy_port, SHORT_US);
	ck_assert_int_eq(pg_rig_wait_next()->err.code, ERR_CONNECT_FAILED);
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 0);
}
END_TEST

static bool statement_is_running(void *ctx)
{
	JsonObject *state = child_control(pg_rig.server, "/state", NULL);
	JsonObject *counts = json_object_get_object_member(state, "counts");
	bool running = json_object_get_int_member(counts, "controls") == 1;

	(void)ctx;
	json_object_unref(state);
	return running;
}

/*
 * The server dies while the second of three statements runs. The run must end
 * at once with CONNECTION_LOST and the number of steps that succeeded.
 */
START_TEST(the_connection_dies_in_mid_pipeline)
{
	const struct upstream_step steps[] = {
		UNKEPT("BEGIN"),
		UNKEPT("SELECT cq_wait(1, 1, 1, 1, 600000)"),
		UNKEPT("COMMIT"),
	};
	const struct pg_event *event;

	pg_rig_open(1);
	pg_rig_run(1, steps, 3, 0, 0);
	loop_until(&pg_rig.loop, statement_is_running, NULL);
	child_kill(pg_rig.server);
	pg_rig.server = NULL;
	event = pg_rig_wait_next();
	ck_assert_uint_eq(event->id, 1);
	ck_assert_int_eq(event->err.code, ERR_CONNECTION_LOST);
	ck_assert_uint_le(event->steps_done, 1);
	ck_assert(!event->conn_usable);
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 0);
}
END_TEST

START_TEST(an_idle_connection_that_breaks_is_reported)
{
	const struct pg_event *event;

	pg_rig_open_faulty(1);
	pg_rig_fault("/cut", "{}");
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->kind, PG_EVENT_LOST);
	ck_assert_int_eq(event->err.code, ERR_CONNECTION_LOST);
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 0);
}
END_TEST

START_TEST(a_run_on_a_connection_that_is_gone_is_answered)
{
	const struct pg_event *event = pg_rig_query(9, "SELECT 1");

	ck_assert_int_eq(event->err.code, ERR_CONNECTION_LOST);
	ck_assert(!event->conn_usable);
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 0);
}
END_TEST

/*
 * A device on the path drops an open connection from its table: the connection
 * goes silent for good while new ones work. The request must end at its
 * timeout, the connection must not be used again, and a new one must work.
 */
START_TEST(a_connection_that_goes_silent_is_closed_at_the_timeout)
{
	const struct pg_event *event;

	pg_rig_open_faulty(1);
	pg_rig_fault("/blackhole", "{\"new\": false}");
	run_one(1, "SELECT 1", 0, SHORT_US);
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->err.code, ERR_TIMED_OUT);
	ck_assert(!event->conn_usable);
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 0);
	pg_rig_open_faulty(2);
	ck_assert_int_eq(pg_rig_query(2, "SELECT 1")->err.code, 0);
}
END_TEST

static bool one_session_is_left(void *ctx)
{
	JsonObject *state = child_control(pg_rig.server, "/state", NULL);
	JsonObject *counts = json_object_get_object_member(state, "counts");
	bool one_left = json_object_get_int_member(counts, "sessions") == 1;

	(void)ctx;
	json_object_unref(state);
	return one_left;
}

/*
 * A connection is closed while the server still executes its request, and the
 * answer arrives later. It must not be reported, in particular not as a result
 * of the next connection with the same id.
 */
START_TEST(a_late_answer_after_close_is_never_reported)
{
	pg_rig_open_faulty(1);
	pg_rig_fault("/pause", "{}");
	pg_rig_start(1, "SELECT 'late'");
	uv_run(&pg_rig.loop, UV_RUN_NOWAIT);
	pg_ops.close(pg_rig.upstream, 1);
	pg_rig_open(1);
	pg_rig_fault("/heal", "{}");
	loop_until(&pg_rig.loop, one_session_is_left, NULL);
	ck_assert_uint_eq(pg_rig.recorded->len, 2);
	ck_assert_ptr_nonnull(
		strstr(pg_rig_query(1, "SELECT 'own'")->results, "own"));
}
END_TEST

START_TEST(close_works_in_every_state)
{
	pg_rig_open_at(1, "127.0.0.1", child_port(pg_rig.server, "port"), 0);
	pg_ops.close(pg_rig.upstream, 1);
	pg_rig_open_at(1, "nowhere", 1, 0);
	pg_ops.close(pg_rig.upstream, 1);
	pg_rig_open(2);
	pg_ops.close(pg_rig.upstream, 2);
	pg_rig_open(3);
	pg_rig_start(3, forever);
	pg_ops.close(pg_rig.upstream, 3);
	pg_rig_start(4, forever);
	pg_ops.close(pg_rig.upstream, 4);
	pg_ops.close(pg_rig.upstream, 4);
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 0);
	pg_rig_open(5);
	ck_assert_uint_eq(pg_rig.recorded->len, 3);
}
END_TEST

START_TEST(destroy_works_in_every_state)
{
	pg_rig_open(1);
	pg_rig_start(1, forever);
	pg_rig_open(2);
	pg_rig_start(2, many_rows);
	pg_rig_open_at(3, "127.0.0.1", child_port(pg_rig.server, "port"), 0);
	pg_rig_open_at(4, "nowhere", 1, 0);
	uv_run(&pg_rig.loop, UV_RUN_ONCE);
}
END_TEST

static void count_iteration(uv_prepare_t *prepare)
{
	unsigned *n_iterations = prepare->data;

	(*n_iterations)++;
}

/*
 * A result of 20 MB is read while other connections have small requests. It
 * must be spread over many iterations of the loop, so that the others are
 * served in between; also when an earlier large row has grown libpq's buffer so
 * much that the whole result fits into it.
 */
START_TEST(a_large_answer_takes_many_iterations_of_the_loop)
{
	unsigned n_iterations = 0;
	uv_prepare_t prepare;
	const struct pg_event *event;

	pg_rig_open(1);
	pg_rig_query(1, one_row);
	pg_rig_start(1, many_rows);
	uv_prepare_init(&pg_rig.loop, &prepare);
	prepare.data = &n_iterations;
	uv_prepare_start(&prepare, count_iteration);
	event = pg_rig_wait_next();
	uv_close((uv_handle_t *)&prepare, NULL);
	uv_run(&pg_rig.loop, UV_RUN_NOWAIT);
	ck_assert_msg(!event->err.code, "%s", event->err.message);
	ck_assert_uint_gt(strlen(event->results), 20 * MB);
	ck_assert_uint_gt(n_iterations, 20 * MB / (MB / 2));
}
END_TEST

static void check_too_large(const char *sql, uint64_t limit, const char *text)
{
	const struct pg_event *event;

	pg_rig_open_faulty(1);
	run_one(1, sql, limit, PG_TIMEOUT_US);
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->err.code, ERR_ANSWER_TOO_LARGE);
	ck_assert_ptr_nonnull(strstr(event->err.message, text));
	ck_assert(!event->conn_usable);
	ck_assert_uint_eq(pg_open_connections(pg_rig.upstream), 0);
}

START_TEST(an_answer_above_the_limit_ends_the_run)
{
	check_too_large(many_rows, 4 * MB, "the answer is larger");
}
END_TEST

/* With a small limit libpq buffers the rows; the buffer must be bounded too. */
START_TEST(buffered_rows_above_the_limit_end_the_run)
{
	check_too_large(many_rows, MB, "the answer grows larger");
}
END_TEST

START_TEST(buffered_rows_just_above_the_limit_end_the_run)
{
	check_too_large("SELECT 'ab' AS a", 25, "the answer is larger");
}
END_TEST

/*
 * libpq buffers a row until it is complete, so one row can take all the memory.
 * It is refused while it grows, or when it is complete if on a busy machine all
 * of it arrives between two iterations of the loop. Both errors name the
 * limit.
 */
START_TEST(a_single_row_above_the_limit_ends_the_run)
{
	check_too_large(one_row, MB, "larger than 1048576 bytes");
}
END_TEST

/* Bytes take more on the wire than in JSON; the limit applies to the JSON. */
START_TEST(bytes_within_the_limit_are_not_refused)
{
	const struct pg_event *event;

	pg_rig_open(1);
	run_one(1, "SELECT zeroblob(9437184) AS b", 13 * MB, PG_TIMEOUT_US);
	event = pg_rig_wait_next();
	ck_assert_msg(!event->err.code, "%s", event->err.message);
	ck_assert_uint_gt(strlen(event->results), 12 * MB);
}
END_TEST

START_TEST(an_answer_within_the_limit_is_whole)
{
	const struct pg_event *event;

	pg_rig_open(1);
	run_one(1, many_rows, 40 * MB, PG_TIMEOUT_US);
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->err.code, 0);
	ck_assert(g_str_has_suffix(event->results, "\"rows_affected\":0}"));
}
END_TEST

static TCase *cases(void)
{
	TCase *t = tcase_create("faults");

	tcase_add_checked_fixture(t, pg_rig_setup, pg_rig_teardown);
	tcase_add_test(t, a_server_that_is_down_refuses);
	tcase_add_test(t, a_host_that_is_no_address_is_not_looked_up);
	tcase_add_test(t, the_environment_does_not_redirect_connections);
	tcase_add_test(t, a_server_at_its_connection_limit_is_reported);
	tcase_add_test(t, opening_times_out_when_the_server_does_not_answer);
	tcase_add_test(t, the_connection_dies_in_mid_pipeline);
	tcase_add_test(t, an_idle_connection_that_breaks_is_reported);
	tcase_add_test(t, a_run_on_a_connection_that_is_gone_is_answered);
	tcase_add_test(t,
		       a_connection_that_goes_silent_is_closed_at_the_timeout);
	tcase_add_test(t, a_late_answer_after_close_is_never_reported);
	tcase_add_test(t, close_works_in_every_state);
	tcase_add_test(t, destroy_works_in_every_state);
	tcase_add_test(t, a_large_answer_takes_many_iterations_of_the_loop);
	tcase_add_test(t, an_answer_above_the_limit_ends_the_run);
	tcase_add_test(t, buffered_rows_above_the_limit_end_the_run);
	tcase_add_test(t, buffered_rows_just_above_the_limit_end_the_run);
	tcase_add_test(t, bytes_within_the_limit_are_not_refused);
	tcase_add_test(t, a_single_row_above_the_limit_ends_the_run);
	tcase_add_test(t, an_answer_within_the_limit_is_whole);
	return t;
}

int main(void)
{
	return suite_main("pg_fault", cases());
}
