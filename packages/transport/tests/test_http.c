/*
 * Tests of the HTTP client's silence_us, with a server that sends its response
 * in parts and may stop before the last.
 */
#include "support_loop.h"

#include <celeryquay/core/types.h>
#include <celeryquay/suite.h>
#include <celeryquay/transport/http.h>

#include <string.h>

#define PARTS 12
#define PART_MS 50 /* interval between two parts */
#define SILENCE_US (300 * USEC_PER_MSEC)
#define PART "0123456789"

/* The server's end of the connection. */
struct server_connection {
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned n_written; /* parts */
};

static struct {
	uv_loop_t loop;
	uv_tcp_t listener;
	struct http *http;
	struct server_connection *server_connection;
	unsigned stops_after; /* parts that the server sends */
	struct http_call *call;
	bool done;
	char *era; /* the response's header of that name */
	char *other; /* of a name that it doesn't have */
	enum err_code code; /* of done() */
	size_t len; /* of the body */
} rig;

static void write_text(const char *text)
{
	uv_buf_t buf = uv_buf_init((char *)text, (unsigned)strlen(text));

	ck_assert_int_gt(
		uv_try_write((uv_stream_t *)&rig.server_connection->tcp, &buf,
			     1),
		0);
}

static void on_part(uv_timer_t *timer)
{
	struct server_connection *a = rig.server_connection;

	if (a->n_written == rig.stops_after) {
		uv_timer_stop(timer);
		return;
	}
	write_text(PART);
	if (++a->n_written == PARTS)
		uv_timer_stop(timer);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	static char bytes[4096];

	(void)handle;
	(void)size;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_request(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	char head[128];

	(void)stream;
	(void)buf;
	if (n <= 0 || rig.server_connection->n_written)
		return;
	g_snprintf(head, sizeof(head),
		   "HTTP/1.1 200 OK\r\nEra: 7\r\n"
		   "Content-Length: %zu\r\n\r\n",
		   PARTS * strlen(PART));
	write_text(head);
	uv_timer_start(&rig.server_connection->timer, on_part, PART_MS,
		       PART_MS);
}

static void on_connection(uv_stream_t *listener, int status)
{
	ck_assert_int_eq(status, 0);
	rig.server_connection = g_new0(struct server_connection, 1);
	uv_tcp_init(&rig.loop, &rig.server_connection->tcp);
	uv_timer_init(&rig.loop, &rig.server_connection->timer);
	ck_assert_int_eq(uv_accept(listener,
				   (uv_stream_t *)&rig.server_connection->tcp),
			 0);
	uv_read_start((uv_stream_t *)&rig.server_connection->tcp, on_alloc,
		      on_request);
}

static void on_done(void *ctx, const struct err *err, bool not_sent,
		    long status, struct str body)
{
	(void)ctx;
	(void)not_sent;
	(void)status;
	rig.done = true;
	rig.code = err->code;
	rig.len = body.len;
	rig.era = g_strdup(http_response_header(rig.call, "era"));
	rig.other = g_strdup(http_response_header(rig.call, "other"));
}

static bool is_done(void *ctx)
{
	(void)ctx;
	return rig.done;
}

static uint16_t listen_anywhere(void)
{
	struct sockaddr_in in;
	int len = sizeof(in);

	uv_tcp_init(&rig.loop, &rig.listener);
	uv_ip4_addr("127.0.0.1", 0, &in);
	uv_tcp_bind(&rig.listener, (struct sockaddr *)&in, 0);
	uv_listen((uv_stream_t *)&rig.listener, 1, on_connection);
	uv_tcp_getsockname(&rig.listener, (struct sockaddr *)&in, &len);
	return ntohs(in.sin_port);
}

/* Makes one call, to which the server sends only so many parts. */
static void call(unsigned stops_after)
{
	static const struct http_events events = { .done = on_done };
	struct http_request request = { .method = HTTP_GET,
					.timeout_us = 20 * USEC_PER_SEC,
					.connect_timeout_us = USEC_PER_SEC,
					.silence_us = SILENCE_US };
	struct err err = { 0 };
	char *url;

	memset(&rig, 0, sizeof(rig));
	rig.stops_after = stops_after;
	uv_loop_init(&rig.loop);
	url = g_strdup_printf("http://127.0.0.1:%u/", listen_anywhere());
	rig.http = http_create(&rig.loop, &err);
	ck_assert(rig.http != NULL);
	request.url = url;
	rig.call = http_start(rig.http, &request, &events, NULL);
	loop_until(&rig.loop, is_done, NULL);
	http_destroy(rig.http);
	uv_close((uv_handle_t *)&rig.server_connection->timer, NULL);
	uv_close((uv_handle_t *)&rig.server_connection->tcp, NULL);
	uv_close((uv_handle_t *)&rig.listener, NULL);
	uv_run(&rig.loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&rig.loop), 0);
	g_free(rig.server_connection);
	g_free(url);
}

/*
 * A large response over a slow link must not be cut off and requested again,
 * although it takes longer than silence_us in total.
 */
START_TEST(an_answer_that_goes_on_is_not_silent)
{
	ck_assert_uint_gt(PARTS * PART_MS * USEC_PER_MSEC, SILENCE_US);
	call(PARTS);
	ck_assert_int_eq(rig.code, 0);
	ck_assert_uint_eq(rig.len, PARTS * strlen(PART));
	g_free(rig.era);
}
END_TEST

/* Its headers are known when the call is done, those it lacks are NULL. */
START_TEST(headers_of_the_answer)
{
	call(PARTS);
	ck_assert_str_eq(rig.era, "7");
	ck_assert_ptr_null(rig.other);
	g_free(rig.era);
}
END_TEST

/* A call must not wait on after its server has vanished. */
START_TEST(an_answer_that_stops_is_silent)
{
	call(3);
	ck_assert_int_eq(rig.code, ERR_STORE_DOWN);
	g_free(rig.era);
}
END_TEST

/* The limit also applies before the first byte of the body. */
START_TEST(an_answer_that_never_begins_is_silent)
{
	call(0);
	ck_assert_int_eq(rig.code, ERR_STORE_DOWN);
	g_free(rig.era);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("http");

	tcase_add_test(tc, an_answer_that_goes_on_is_not_silent);
	tcase_add_test(tc, headers_of_the_answer);
	tcase_add_test(tc, an_answer_that_stops_is_silent);
	tcase_add_test(tc, an_answer_that_never_begins_is_silent);
	return suite_main("http", tc);
}
