#include "support_loop.h"

#include <celeryquay/suite.h>
#include <celeryquay/transport/session.h>
#include <celeryquay/transport/session_gather.h>

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Less than the front's limit for unsent bytes. */
#define LONG_BYTES ((size_t)3 << 20)
#define SOCKET_BYTES 16384
#define STATEMENT_BYTES 16000
#define STATEMENTS_AHEAD 64
#define HANG_UP_ITERATIONS 8 /* more than a hang-up takes */
#define CONN 7

/* A front and an upstream on one loop, and the events that their relay got. */
static struct {
	struct session_endpoints
		ends; /* first member, since &rig is the ops' ctx */
	uv_loop_t loop;
	uint64_t session;
	unsigned opened, statements, closed, lost;
	bool refused;
	GString *answer;
} rig;

static size_t message_length(struct str bytes, size_t searched)
{
	const char *lf =
		memchr(bytes.data + searched, '\n', bytes.len - searched);

	return lf ? (size_t)(lf - bytes.data) + 1 : 0;
}

static bool is_end(struct str message)
{
	return str_eq(message, STR("bye"));
}

static bool parse_startup(struct str message, struct str *database,
			  struct str *key)
{
	*key = STR("");
	*database = message;
	return message.len > 0;
}

static bool parse_statement(struct str message, struct relay_statement *out)
{
	*out = (struct relay_statement){ .id = STR("1"), .text = message };
	return true;
}

/* Each answer in these tests is one message. */
static void put_answer(GString *out, const struct relay_answer *answer)
{
	str_append(out, answer->rows);
	g_string_append_c(out, '\n');
}

static void put_startup(GString *out, struct str service, struct str name,
			struct str server)
{
	(void)name;
	(void)server;
	str_append(out, service);
	g_string_append_c(out, '\n');
}

static void put_statement(GString *out, const struct relay_statement *statement)
{
	str_append(out, statement->text);
	g_string_append_c(out, '\n');
}

static void *reader_create(void)
{
	struct session_gather *g = g_new(struct session_gather, 1);

	session_gather_init(g);
	return g;
}

static void reader_destroy(void *reader)
{
	session_gather_clear(reader);
	g_free(reader);
}

static enum session_read_result take_message(void *ctx, const char *base,
					     struct str message,
					     struct relay_answer *answer)
{
	(void)ctx;
	(void)base;
	*answer = (struct relay_answer){ .rows = message };
	return SESSION_ANSWER;
}

static enum session_read_result reader_feed(void *reader, struct str *input,
					    struct relay_answer *answer);

static const struct session_codec codec = {
	.max_bytes = LONG_BYTES + 1,
	.trailer_bytes = 1,
	.length = message_length,
	.is_end = is_end,
	.parse_startup = parse_startup,
	.parse_statement = parse_statement,
	.put_opened = put_answer,
	.put_answer = put_answer,
	.put_startup = put_startup,
	.put_statement = put_statement,
	.reader_create = reader_create,
	.reader_destroy = reader_destroy,
	.reader_feed = reader_feed,
};

static enum session_read_result reader_feed(void *reader, struct str *input,
					    struct relay_answer *answer)
{
	return session_gather_feed(reader, &codec, take_message, NULL, input,
				   answer);
}

static struct relay *no_relay(struct relay_node *node)
{
	(void)node;
	return NULL;
}

static uint64_t no_time(void)
{
	return 0;
}

static void wake(struct relay_node *node)
{
	(void)node;
}

static bool on_session_open(struct relay *r, uint64_t session,
			    const char *database, const char *key,
			    struct relay_answer *answer, uint64_t now_us)
{
	(void)r;
	(void)key;
	(void)answer;
	(void)now_us;
	ck_assert_str_eq(database, "service");
	rig.session = session;
	return true;
}

static void on_statement(struct relay *r, uint64_t session,
			 const struct relay_statement *statement,
			 uint64_t now_us)
{
	(void)r;
	(void)now_us;
	ck_assert_uint_eq(session, rig.session);
	ck_assert_uint_eq(statement->text.len, STATEMENT_BYTES);
	rig.statements++;
}

static void on_session_closed(struct relay *r, uint64_t session,
			      uint64_t now_us)
{
	(void)r;
	(void)now_us;
	ck_assert_uint_eq(session, rig.session);
	rig.closed++;
}

static void on_conn_opened(struct relay *r, uint64_t conn,
			   const struct relay_answer *answer, uint64_t now_us)
{
	(void)r;
	(void)now_us;
	ck_assert_uint_eq(conn, CONN);
	ck_assert_int_eq(answer->code, RELAY_OK);
	rig.opened++;
}

static void on_conn_answer(struct relay *r, uint64_t conn,
			   const struct relay_answer *answer, uint64_t now_us)
{
	(void)r;
	(void)now_us;
	ck_assert_uint_eq(conn, CONN);
	str_append(rig.answer, answer->rows);
}

static void on_conn_lost(struct relay *r, uint64_t conn, bool refused,
			 uint64_t now_us)
{
	(void)r;
	(void)now_us;
	ck_assert_uint_eq(conn, CONN);
	rig.lost++;
	rig.refused = refused;
}

static const struct session_host host = {
	.relay = no_relay,
	.now_us = no_time,
	.wake = wake,
	.session_open = on_session_open,
	.session_statement = on_statement,
	.session_closed = on_session_closed,
	.conn_opened = on_conn_opened,
	.conn_answer = on_conn_answer,
	.conn_lost = on_conn_lost,
};

static void setup(void)
{
	struct session_setup s = { &host, NULL, &rig.loop, &codec, 0 };
	struct err err = { 0 };

	memset(&rig, 0, sizeof(rig));
	uv_loop_init(&rig.loop);
	rig.answer = g_string_new(NULL);
	rig.ends.upstream = session_upstream_create(&s, "proxy");
	rig.ends.front = session_front_create(&s, "127.0.0.1:0", &err);
	ck_assert_msg(rig.ends.front != NULL, "%s", err.message);
}

static void teardown(void)
{
	session_front_destroy(rig.ends.front);
	session_upstream_destroy(rig.ends.upstream);
	loop_end(&rig.loop);
	g_string_free(rig.answer, TRUE);
}

static bool is_open(void *ctx)
{
	(void)ctx;
	return rig.opened > 0;
}

static bool has_statement(void *ctx)
{
	(void)ctx;
	return rig.statements > 0;
}

static bool has_answer_or_end(void *ctx)
{
	(void)ctx;
	return rig.answer->len || rig.lost;
}

static bool has_ended(void *ctx)
{
	(void)ctx;
	return rig.lost && rig.closed;
}

static void connect_to(uint16_t port)
{
	struct relay_server_info info = {
		.id = "server",
		.service = "service",
		.host = "127.0.0.1",
		.port = port,
	};

	session_upstream_open(&rig, CONN, &info, "");
}

static void shrink_buffers(uv_handle_t *handle, void *arg)
{
	int send = SOCKET_BYTES, receive = SOCKET_BYTES;

	(void)arg;
	if (handle->type != UV_TCP || uv_is_closing(handle))
		return;
	ck_assert_int_eq(uv_send_buffer_size(handle, &send), 0);
	ck_assert_int_eq(uv_recv_buffer_size(handle, &receive), 0);
}

static void add_queued(uv_handle_t *handle, void *arg)
{
	size_t *queued = arg;

	if (handle->type == UV_TCP)
		*queued +=
			uv_stream_get_write_queue_size((uv_stream_t *)handle);
}

static void open_conn(void)
{
	connect_to(session_front_port(rig.ends.front));
	loop_until(&rig.loop, is_open, NULL);
}

/* Sends statements; the front handles one until it is answered. */
static void send_statements(unsigned n)
{
	char *text = g_strnfill(STATEMENT_BYTES, 's');
	struct relay_statement statement = { .text = str_from_c(text) };

	while (n--)
		session_upstream_send(&rig, CONN, &statement);
	loop_until(&rig.loop, has_statement, NULL);
	ck_assert_uint_eq(rig.statements, 1);
	g_free(text);
}

/*
 * Answers with a pattern of letters in which a missing or moved part is
 * noticed. check_answer() frees it.
 */
static char *answer_long(void)
{
	char *rows = g_malloc(LONG_BYTES + 1);
	struct relay_answer answer = { .rows = { rows, LONG_BYTES },
				       .state = 'I' };
	size_t i;

	for (i = 0; i < LONG_BYTES; i++)
		rows[i] = (char)('a' + (i + i / 4093) % 26);
	rows[LONG_BYTES] = '\0';
	session_front_answer(&rig, rig.session, &answer);
	return rows;
}

static void check_answer(char *rows)
{
	loop_until(&rig.loop, has_answer_or_end, NULL);
	ck_assert_uint_eq(rig.answer->len, LONG_BYTES);
	ck_assert(!memcmp(rig.answer->str, rows, LONG_BYTES));
	g_free(rows);
}

START_TEST(test_a_long_answer_arrives_whole)
{
	size_t queued = 0;
	char *rows;

	open_conn();
	uv_walk(&rig.loop, shrink_buffers, NULL);
	send_statements(1);
	rows = answer_long();
	uv_walk(&rig.loop, add_queued, &queued);
	ck_assert_uint_gt(queued, LONG_BYTES / 2);
	check_answer(rows);
	ck_assert_uint_eq(rig.lost + rig.closed, 0);
	session_front_hang_up(&rig, rig.session);
	loop_until(&rig.loop, has_ended, NULL);
	ck_assert_uint_eq(rig.closed, 1);
	ck_assert(!rig.refused);
}
END_TEST

/* Runs the loop until the session is hung up and its answer is being sent. */
static void hang_up_while_sending(void)
{
	unsigned i;

	session_front_hang_up(&rig, rig.session);
	for (i = 0; i < HANG_UP_ITERATIONS; i++)
		uv_run(&rig.loop, UV_RUN_NOWAIT);
	ck_assert(session_front_has_unsent(rig.ends.front));
}

/*
 * A caller sends more statements after its session was hung up. Fails if its
 * last answer is cut off: closing a socket with unread bytes makes the kernel
 * reset the connection, which discards data not yet delivered to the caller.
 */
START_TEST(test_a_hang_up_with_unread_bytes_cuts_no_answer)
{
	char *rows, *text = g_strnfill(STATEMENT_BYTES, 's');
	struct relay_statement statement = { .text = str_from_c(text) };
	unsigned i;

	open_conn();
	uv_walk(&rig.loop, shrink_buffers, NULL);
	send_statements(1);
	rows = answer_long();
	hang_up_while_sending();
	for (i = 0; i < STATEMENTS_AHEAD; i++)
		session_upstream_send(&rig, CONN, &statement);
	check_answer(rows);
	g_free(text);
	loop_until(&rig.loop, has_ended, NULL);
	ck_assert_uint_eq(rig.statements, 1);
	ck_assert_uint_eq(rig.closed, 1);
	ck_assert_uint_eq(rig.lost, 1);
}
END_TEST

static bool is_asked_or_lost(void *ctx)
{
	return rig.statements > *(unsigned *)ctx || rig.lost;
}

/*
 * Statements were read ahead when the session is hung up. Fails if one of them
 * gets no answer.
 */
START_TEST(test_statements_sent_ahead_are_answered_before_a_hang_up)
{
	struct relay_answer answer = { .rows = STR("x"), .state = 'I' };
	unsigned n;

	open_conn();
	send_statements(STATEMENTS_AHEAD);
	for (n = 1; n <= STATEMENTS_AHEAD; n++) {
		ck_assert_uint_eq(rig.statements, n);
		session_front_answer(&rig, rig.session, &answer);
		session_front_hang_up(&rig, rig.session);
		loop_until(&rig.loop, is_asked_or_lost, &n);
	}
	loop_until(&rig.loop, has_ended, NULL);
	ck_assert_uint_eq(rig.statements, STATEMENTS_AHEAD);
}
END_TEST

static bool has_second_statement(void *ctx)
{
	(void)ctx;
	return rig.statements > 1;
}

/*
 * A stopping proxy hangs up idle sessions. If it is slow, a caller's next
 * statement may lie unread in the socket then. Fails if that statement is read
 * and discarded, so that the connection ends without an answer.
 */
START_TEST(test_a_statement_that_is_there_is_answered_first)
{
	char *rows, *text = g_strnfill(STATEMENT_BYTES, 's');
	struct relay_statement statement = { .text = str_from_c(text) };

	open_conn();
	send_statements(1);
	check_answer(answer_long());
	g_string_truncate(rig.answer, 0);
	session_upstream_send(&rig, CONN, &statement);
	session_front_hang_up(&rig, rig.session);
	loop_until(&rig.loop, has_second_statement, NULL);
	rows = answer_long();
	session_front_hang_up(&rig, rig.session);
	check_answer(rows);
	loop_until(&rig.loop, has_ended, NULL);
	ck_assert_uint_eq(rig.statements, 2);
	g_free(text);
}
END_TEST

/* Fails if a statement that arrives just before a hang-up is discarded. */
START_TEST(a_statement_that_comes_before_a_hang_up_is_answered)
{
	char *text = g_strnfill(STATEMENT_BYTES, 's');
	struct relay_statement statement = { .text = str_from_c(text) };

	open_conn();
	send_statements(1);
	check_answer(answer_long());
	g_string_truncate(rig.answer, 0);
	session_front_hang_up(&rig, rig.session);
	uv_run(&rig.loop, UV_RUN_NOWAIT);
	session_upstream_send(&rig, CONN, &statement);
	loop_until(&rig.loop, has_second_statement, NULL);
	check_answer(answer_long());
	g_free(text);
}
END_TEST

static bool is_open_or_lost(void *ctx)
{
	(void)ctx;
	return rig.opened || rig.lost;
}

/* Fails if a stopping proxy resets a connection not accepted yet. */
START_TEST(a_caller_that_waits_is_accepted_before_the_end)
{
	uint16_t port = session_front_port(rig.ends.front);

	connect_to(port);
	session_front_stop_accepting(rig.ends.front);
	loop_until(&rig.loop, is_open_or_lost, NULL);
	ck_assert_uint_eq(rig.lost, 0);
	send_statements(1);
	loop_until(&rig.loop, has_statement, NULL);
}
END_TEST

static bool is_lost(void *ctx)
{
	(void)ctx;
	return rig.lost > 0;
}

START_TEST(test_a_refused_connection_is_told_as_such)
{
	uint16_t port = session_front_port(rig.ends.front);

	session_front_stop_accepting(rig.ends.front);
	uv_run(&rig.loop, UV_RUN_NOWAIT);
	connect_to(port);
	loop_until(&rig.loop, is_lost, NULL);
	ck_assert(rig.refused);
	ck_assert_uint_eq(rig.opened, 0);
}
END_TEST

static int accepted = -1;

static bool has_accepted(void *listener)
{
	struct pollfd p = { .fd = *(int *)listener, .events = POLLIN };

	if (poll(&p, 1, 0) > 0)
		accepted = accept(p.fd, NULL, NULL);
	return accepted >= 0;
}

static bool has_startup(void *ctx)
{
	char buf[64];

	(void)ctx;
	return recv(accepted, buf, sizeof(buf), MSG_DONTWAIT) > 0;
}

/*
 * Guards against an order that is delivered after its connection was closed:
 * an ordinary close would have the system deliver it.
 */
START_TEST(test_a_close_drops_what_is_under_way)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(in);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	char byte;

	ck_assert(!bind(listener, (struct sockaddr *)&in, sizeof(in)));
	ck_assert(!listen(listener, 1));
	getsockname(listener, (struct sockaddr *)&in, &len);
	connect_to(ntohs(in.sin_port));
	loop_until(&rig.loop, has_accepted, &listener);
	loop_until(&rig.loop, has_startup, NULL);
	session_upstream_close(&rig.ends, CONN);
	uv_run(&rig.loop, UV_RUN_NOWAIT);
	ck_assert_int_eq(recv(accepted, &byte, 1, 0), -1);
	ck_assert_int_eq(errno, ECONNRESET);
	close(accepted);
	close(listener);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("session");

	tcase_set_timeout(t, 180);
	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, test_a_long_answer_arrives_whole);
	tcase_add_test(t, test_a_hang_up_with_unread_bytes_cuts_no_answer);
	tcase_add_test(
		t, test_statements_sent_ahead_are_answered_before_a_hang_up);
	tcase_add_test(t, test_a_statement_that_is_there_is_answered_first);
	tcase_add_test(t, a_statement_that_comes_before_a_hang_up_is_answered);
	tcase_add_test(t, a_caller_that_waits_is_accepted_before_the_end);
	tcase_add_test(t, test_a_refused_connection_is_told_as_such);
	tcase_add_test(t, test_a_close_drops_what_is_under_way);
	return suite_main("session", t);
}
