/*
 * A call that would do harm if it came late is given up while its bytes are
 * held up on the way: the server's receive buffer is full. The server reads on
 * only after that, and must not get the whole request. One row for each way in
 * which a call ends.
 */
#include "support_loop.h"

#include <celeryquay/core/types.h>
#include <celeryquay/suite.h>
#include <celeryquay/transport/http.h>
#include <celeryquay/transport/http_json.h>

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define BODY_BYTES ((size_t)192 * 1024)
#define RECEIVE_BUFFER_BYTES 4096
#define TIMEOUT_US (300 * USEC_PER_MSEC)
#define LONG_US (60 * USEC_PER_SEC)
#define POLL_MS 10000 /* fails the test */

static struct {
	uv_loop_t loop;
	struct http *http;
	struct http_call *call;
	bool done;
	bool not_sent;
	bool may_send;
	char *body;
	int listener;
	uint16_t port;
} rig;

static void start_listening(void)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(in);
	int size = RECEIVE_BUFFER_BYTES;

	rig.listener = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(rig.listener, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert(!bind(rig.listener, (struct sockaddr *)&in, sizeof(in)));
	ck_assert(!listen(rig.listener, 1));
	getsockname(rig.listener, (struct sockaddr *)&in, &len);
	rig.port = ntohs(in.sin_port);
}

static void on_done(void *ctx, const struct err *err, bool not_sent,
		    long status, struct str body)
{
	(void)ctx;
	(void)err;
	(void)status;
	(void)body;
	rig.done = true;
	rig.not_sent = not_sent;
	rig.call = NULL;
}

static bool may_send(void *ctx)
{
	(void)ctx;
	return rig.may_send;
}

static void start_call(uint64_t timeout_us)
{
	static const struct http_events events = { .may_send = may_send,
						   .done = on_done };
	struct err err = { 0 };
	char *url = g_strdup_printf("http://127.0.0.1:%u/", rig.port);

	uv_loop_init(&rig.loop);
	rig.http = http_create(&rig.loop, &err);
	rig.call = http_json_post_once(rig.http, url, NULL, rig.body,
				       timeout_us, &events, NULL);
	g_free(url);
}

static void set_up(void)
{
	memset(&rig, 0, sizeof(rig));
	rig.may_send = true;
	rig.body = g_strnfill(BODY_BYTES, 'x');
	start_listening();
}

/* Runs the client until its bytes have filled the server's buffer. */
static int accept_held_call(void)
{
	struct pollfd p = { .fd = rig.listener, .events = POLLIN };
	int fd;

	while (!poll(&p, 1, 0))
		uv_run(&rig.loop, UV_RUN_NOWAIT);
	fd = accept(rig.listener, NULL, NULL);
	p.fd = fd;
	while (!poll(&p, 1, 0))
		uv_run(&rig.loop, UV_RUN_NOWAIT);
	return fd;
}

/* Number of bytes until the connection ends. */
static size_t read_all(int fd, bool *was_reset)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	size_t total = 0;
	char buf[4096];
	ssize_t n;

	do {
		ck_assert_int_eq(poll(&p, 1, POLL_MS), 1);
		n = read(fd, buf, sizeof(buf));
		total += n > 0 ? (size_t)n : 0;
	} while (n > 0);
	*was_reset = n < 0 && errno == ECONNRESET;
	close(fd);
	return total;
}

static void check_dropped(int fd)
{
	bool was_reset;
	size_t n = read_all(fd, &was_reset);

	ck_assert_msg(n < BODY_BYTES && was_reset,
		      "%zu bytes were delivered after the end", n);
}

static void tear_down(void)
{
	http_destroy(rig.http);
	uv_run(&rig.loop, UV_RUN_DEFAULT);
	uv_loop_close(&rig.loop);
	g_free(rig.body);
	close(rig.listener);
}

/* Guards against a request that arrives after its sender gave it up. */
START_TEST(a_timed_out_call_is_dropped)
{
	int fd;

	set_up();
	start_call(TIMEOUT_US);
	fd = accept_held_call();
	while (!rig.done)
		uv_run(&rig.loop, UV_RUN_ONCE);
	ck_assert(!rig.not_sent);
	check_dropped(fd);
	tear_down();
}
END_TEST

START_TEST(a_cancelled_call_is_dropped)
{
	int fd;

	set_up();
	start_call(LONG_US);
	fd = accept_held_call();
	http_cancel(rig.call);
	check_dropped(fd);
	tear_down();
}
END_TEST

START_TEST(a_call_of_a_client_that_ends_is_dropped)
{
	int fd;

	set_up();
	start_call(LONG_US);
	fd = accept_held_call();
	http_destroy(rig.http);
	rig.http = NULL;
	check_dropped(fd);
	tear_down();
}
END_TEST

static void run_client(void)
{
	signal(SIGTERM, SIG_DFL);
	start_call(LONG_US);
	uv_run(&rig.loop, UV_RUN_DEFAULT);
	_exit(0);
}

/* Guards against a request that outlives the process that sent it. */
START_TEST(a_call_of_a_killed_process_is_dropped)
{
	struct pollfd p = { .events = POLLIN };
	pid_t pid;
	int fd;

	set_up();
	pid = fork();
	ck_assert_int_ge(pid, 0);
	if (!pid)
		run_client();
	fd = accept(rig.listener, NULL, NULL);
	p.fd = fd;
	ck_assert_int_eq(poll(&p, 1, POLL_MS), 1);
	ck_assert(!kill(pid, _i ? SIGTERM : SIGKILL));
	waitpid(pid, NULL, 0);
	check_dropped(fd);
	g_free(rig.body);
	close(rig.listener);
}
END_TEST

/* Guards against a request that is sent after its permission has ended. */
START_TEST(a_call_that_may_not_be_sent_is_not)
{
	bool was_reset;
	int fd;

	set_up();
	rig.may_send = false;
	start_call(LONG_US);
	while (!rig.done)
		uv_run(&rig.loop, UV_RUN_ONCE);
	ck_assert(rig.not_sent);
	fd = accept(rig.listener, NULL, NULL);
	ck_assert_uint_eq(read_all(fd, &was_reset), 0);
	tear_down();
}
END_TEST

/* Guards against an unknown outcome for a call that reached nobody. */
START_TEST(a_refused_call_was_not_sent)
{
	set_up();
	close(rig.listener);
	start_call(LONG_US);
	while (!rig.done)
		uv_run(&rig.loop, UV_RUN_ONCE);
	ck_assert(rig.not_sent);
	rig.listener = -1;
	tear_down();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("http_drop");

	tcase_add_test(tc, a_timed_out_call_is_dropped);
	tcase_add_test(tc, a_cancelled_call_is_dropped);
	tcase_add_test(tc, a_call_of_a_client_that_ends_is_dropped);
	tcase_add_loop_test(tc, a_call_of_a_killed_process_is_dropped, 0, 2);
	tcase_add_test(tc, a_call_that_may_not_be_sent_is_not);
	tcase_add_test(tc, a_refused_call_was_not_sent);
	return suite_main("http_drop", tc);
}
