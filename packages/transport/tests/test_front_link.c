#include "support_front.h"
#include "support_loop.h"
#include <celeryquay/suite.h>

#include <curl/curl.h>
#include <glib/gstdio.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <string.h>

#define RUN_PATH "/v1/ledger/miles-1"
#define HOLD_BODY RUN_BODY(PROFILE_HOLD)
#define HEAD "POST " RUN_PATH " HTTP/1.1\r\nHost: x\r\n"
/* Requests that keep their connection: answered at once, and held. */
#define QUICK HEAD "Content-Length: 42\r\n\r\n" RUN_BODY("a")
#define HELD HEAD "Content-Length: 45\r\n\r\n" HOLD_BODY
/* Long enough to receive a complete request on a loaded machine. */
#define SHORT_TIMEOUT_US (500 * USEC_PER_MSEC)

/*
 * HTTP/2: preface, empty SETTINGS, HEADERS of a POST without END_STREAM, DATA
 * with END_STREAM.
 */
#define H2_PREFACE "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
#define H2_SETTINGS "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
#define H2_HEADERS(flags) "\x00\x00\x19\x01" flags "\x00\x00\x00\x01"
#define H2_FIELDS "\x83\x86\x04\x12" RUN_PATH "\x41\x01x"
#define H2_DATA(len, body) "\x00\x00" len "\x00\x01\x00\x00\x00\x01" body
#define H2_OPEN H2_PREFACE H2_SETTINGS H2_HEADERS("\x04") H2_FIELDS
#define H2_HELD H2_OPEN H2_DATA("\x2d", HOLD_BODY)
#define H2_BIG H2_OPEN H2_DATA("\x2c", RUN_BODY(PROFILE_BIG))
#define BIG HEAD "Content-Length: 44\r\n\r\n" RUN_BODY(PROFILE_BIG)
#define TEXT(literal)                        \
	{                                    \
		literal, sizeof(literal) - 1 \
	}

static struct front_fixture fixture;

static void setup(void)
{
	front_fixture_init(&fixture);
}

static void teardown(void)
{
	front_fixture_close(&fixture);
}

static struct raw_client *caller(void)
{
	return raw_client_open(front_caller_port(fixture.front));
}

static const struct str held_requests[] = { TEXT(HELD), TEXT(H2_HELD) };
static const struct str big_requests[] = { TEXT(BIG), TEXT(H2_BIG) };

/*
 * A caller disconnects while its statements wait for a slot. The owner must get
 * one gone event, or the slot is used for an answer that nobody reads. On
 * HTTP/1, h2o doesn't read from a connection whose request is being served.
 */
START_TEST(hang_up_while_waiting_is_seen)
{
	struct raw_client *b;

	front_fixture_open(&fixture);
	b = caller();
	raw_client_send(&fixture, b, held_requests[_i].data,
			held_requests[_i].len);
	front_fixture_run_until(&fixture, &fixture.requests, 1);
	ck_assert_uint_eq(fixture.gone, 0);
	raw_client_close(b);
	front_fixture_run_until(&fixture, &fixture.gone, 1);
	front_fixture_run_until_connections(&fixture, 0);
	ck_assert_uint_eq(fixture.gone, 1);
	ck_assert_uint_eq(front_exchanges(fixture.front), 0);
}
END_TEST

/* A caller disconnects while its response is being sent: no gone event. */
START_TEST(hang_up_during_the_answer_is_survived)
{
	struct raw_client *b;

	front_fixture_open(&fixture);
	b = caller();
	raw_client_send_text(&fixture, b, BIG);
	raw_client_read(&fixture, b, "0123456789");
	raw_client_close(b);
	front_fixture_run_until_connections(&fixture, 0);
	ck_assert_uint_eq(fixture.gone, 0);
	ck_assert_uint_eq(front_exchanges(fixture.front), 0);
}
END_TEST

/* Incomplete requests: a caller that disconnects then causes no event. */
static const char *const unfinished[] = {
	"P",
	"POST " RUN_PATH " HTTP/1.1\r\nHost:",
	HEAD "Content-Length: 42\r\n\r\n{\"profile\"",
	HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"pr",
	H2_PREFACE,
};

START_TEST(hang_up_in_a_request_is_no_event)
{
	struct raw_client *b;

	front_fixture_open(&fixture);
	b = caller();
	raw_client_send_text(&fixture, b, unfinished[_i]);
	front_fixture_run_until_connections(&fixture, 1);
	raw_client_close(b);
	front_fixture_run_until_connections(&fixture, 0);
	ck_assert_uint_eq(fixture.requests, 0);
	ck_assert_uint_eq(fixture.gone, 0);
}
END_TEST

/*
 * Two requests are sent at once on one connection. While the first waits, its
 * connection is watched for a hang-up. The second must neither be taken for a
 * hang-up nor get lost.
 */
START_TEST(next_request_waits_its_turn)
{
	struct raw_client *b;
	struct raw_client *clock;

	front_fixture_open(&fixture);
	b = caller();
	raw_client_send_text(&fixture, b, HELD HELD);
	front_fixture_run_until(&fixture, &fixture.requests, 1);
	/* When a later caller's hang-up is noticed, the first was watched. */
	clock = caller();
	raw_client_send_text(&fixture, clock, HELD);
	front_fixture_run_until(&fixture, &fixture.requests, 2);
	raw_client_close(clock);
	front_fixture_run_until(&fixture, &fixture.gone, 1);
	front_fixture_release(&fixture);
	front_fixture_run_until(&fixture, &fixture.requests, 3);
	front_fixture_release(&fixture);
	raw_client_send_text(
		&fixture, b,
		HEAD "Connection: close\r\nContent-Length: 42\r\n\r\n" RUN_BODY(
			"a"));
	raw_client_read(&fixture, b, NULL);
	ck_assert_uint_eq(fixture.requests, 4);
	ck_assert_uint_eq(fixture.gone, 1);
	raw_client_close(b);
}
END_TEST

/*
 * A caller sends a body above the limit and reads only after it has sent all of
 * it. It must read the response, which says that nothing ran, and not a reset.
 */
START_TEST(too_large_body_is_answered)
{
	size_t len = 6 << 20;
	char *body = g_strnfill(len, 'x');
	struct raw_client *b;
	const char *text;

	front_fixture_open(&fixture);
	b = caller();
	raw_client_send_text(
		&fixture, b,
		_i ? HEAD "Content-Length: 6291456\r\n\r\n" :
		     HEAD "Transfer-Encoding: chunked\r\n\r\n600000\r\n");
	raw_client_send(&fixture, b, body, len);
	text = raw_client_read(&fixture, b, NULL);
	ck_assert_msg(g_str_has_prefix(text, "HTTP/1.1 413 "), "%s", text);
	ck_assert_ptr_nonnull(strstr(text, "\"name\":\"BODY_TOO_LARGE\""));
	ck_assert_ptr_nonnull(strstr(text, "{\"outcome\":\"not_run\""));
	raw_client_close(b);
	g_free(body);
}
END_TEST

/* Incomplete requests. */
static const struct str slow[] = {
	TEXT("POST " RUN_PATH),
	TEXT(HEAD "X-A: b\r\n"),
	TEXT(HEAD "Content-Length: 42\r\n\r\n{"),
	TEXT(H2_OPEN),
};

/*
 * A caller sends part of a request and then nothing. Some thousands of such
 * connections would use up the limit, so they are closed. A connection that is
 * idle between two requests belongs to a caller's pool and stays open.
 */
START_TEST(slow_request_is_closed_and_idle_connection_stays)
{
	struct raw_client *idle;
	struct raw_client *b;

	fixture.settings.header_timeout_us = SHORT_TIMEOUT_US;
	front_fixture_open(&fixture);
	idle = caller();
	raw_client_send_text(&fixture, idle, QUICK);
	raw_client_read(&fixture, idle, "}\n");
	b = caller();
	raw_client_send(&fixture, b, slow[_i].data, slow[_i].len);
	raw_client_read(&fixture, b, NULL);
	front_fixture_run_until_connections(&fixture, 1);
	ck_assert_uint_eq(fixture.requests, 1);
	raw_client_clear(idle);
	raw_client_send_text(&fixture, idle, QUICK);
	ck_assert_ptr_nonnull(
		strstr(raw_client_read(&fixture, idle, "}\n"), " 200 OK"));
	raw_client_close(idle);
	raw_client_close(b);
}
END_TEST

/*
 * During a planned stop, the request that is being served gets its response, a
 * request that was sent before the stop but not read yet is served too, and an
 * idle connection is closed. The operators' port still answers, so that the
 * load balancer learns of the stop.
 */
START_TEST(stop_cuts_no_request)
{
	struct raw_client *b;
	struct raw_client *idle;
	struct raw_client *sent;
	struct raw_client *admin;
	const char *text;

	front_fixture_open(&fixture);
	b = caller();
	raw_client_send_text(&fixture, b, HELD);
	front_fixture_run_until(&fixture, &fixture.requests, 1);
	idle = caller();
	raw_client_send_text(&fixture, idle, QUICK);
	raw_client_read(&fixture, idle, "}\n");
	sent = caller();
	front_fixture_run_until_connections(&fixture, 3);
	raw_client_send_now(sent, QUICK);
	front_stop_accepting(fixture.front);
	text = raw_client_read(&fixture, sent, NULL);
	ck_assert_msg(strstr(text, " 200 OK"), "%s", text);
	raw_client_read(&fixture, idle, NULL);
	front_fixture_run_until_connections(&fixture, 1);
	admin = raw_client_open(front_admin_port(fixture.front));
	raw_client_send_text(&fixture, admin, "GET /health HTTP/1.0\r\n\r\n");
	ck_assert_ptr_nonnull(
		strstr(raw_client_read(&fixture, admin, NULL), " 200 OK"));
	front_fixture_release(&fixture);
	text = raw_client_read(&fixture, b, NULL);
	ck_assert_msg(strstr(text, " 200 OK") &&
			      strstr(text, "Connection: close"),
		      "%s", text);
	ck_assert_int_ne(raw_client_try(front_caller_port(fixture.front)), 0);
	front_fixture_run_until_connections(&fixture, 0);
	raw_client_close(b);
	raw_client_close(idle);
	raw_client_close(sent);
	raw_client_close(admin);
}
END_TEST

/*
 * A caller on one connection above the limit gets OVERLOADED with a
 * Retry-After at once, and those within the limit are still served.
 */
START_TEST(connection_above_the_limit_is_refused)
{
	struct raw_client *first;
	struct raw_client *b;
	const char *text;

	fixture.settings.max_connections = 1;
	front_fixture_open(&fixture);
	first = caller();
	raw_client_send_text(&fixture, first, QUICK);
	raw_client_read(&fixture, first, "}\n");
	b = caller();
	raw_client_send_text(&fixture, b, QUICK);
	text = raw_client_read(&fixture, b, NULL);
	ck_assert_msg(strstr(text, " 503 ") && strstr(text, "OVERLOADED") &&
			      strstr(text, "retry-after: 1\r\n"),
		      "%s", text);
	raw_client_clear(first);
	raw_client_send_text(&fixture, first, QUICK);
	ck_assert_ptr_nonnull(
		strstr(raw_client_read(&fixture, first, "}\n"), "200 OK"));
	raw_client_close(first);
	raw_client_close(b);
}
END_TEST

/* A caller is answered while another doesn't read its 16 MiB. */
START_TEST(unread_answer_delays_no_other_caller)
{
	struct raw_client *stuck;
	struct raw_client *b;

	front_fixture_open(&fixture);
	stuck = caller();
	raw_client_send_text(&fixture, stuck, BIG);
	front_fixture_run_until(&fixture, &fixture.requests, 1);
	b = caller();
	raw_client_send_text(&fixture, b, QUICK);
	ck_assert_ptr_nonnull(
		strstr(raw_client_read(&fixture, b, "}\n"), "200 OK"));
	raw_client_close(b);
	raw_client_close(stuck);
}
END_TEST

/*
 * A caller never reads its response; on HTTP/2 it doesn't enlarge its flow
 * control window. Its connection is closed, or the 16 MiB would stay in memory
 * for ever and a planned stop would wait for it.
 */
START_TEST(unread_answer_is_closed)
{
	struct raw_client *b;

	fixture.settings.header_timeout_us = SHORT_TIMEOUT_US;
	front_fixture_open(&fixture);
	b = caller();
	raw_client_send(&fixture, b, big_requests[_i].data,
			big_requests[_i].len);
	front_fixture_run_until(&fixture, &fixture.requests, 1);
	front_fixture_run_until_connections(&fixture, 0);
	ck_assert_uint_eq(front_exchanges(fixture.front), 0);
	raw_client_close(b);
}
END_TEST

/* Destroying the front ends waiting requests and a partly sent response. */
START_TEST(destroy_ends_everything)
{
	struct raw_client *b[3];
	unsigned i;

	front_fixture_open(&fixture);
	for (i = 0; i < 3; i++)
		b[i] = caller();
	raw_client_send(&fixture, b[0], held_requests[0].data,
			held_requests[0].len);
	raw_client_send(&fixture, b[1], held_requests[1].data,
			held_requests[1].len);
	raw_client_send_text(&fixture, b[2], BIG);
	front_fixture_run_until(&fixture, &fixture.requests, 3);
	front_destroy(fixture.front);
	fixture.front = NULL;
	for (i = 0; i < 3; i++) {
		raw_client_read(&fixture, b[i], NULL);
		raw_client_close(b[i]);
	}
	ck_assert_uint_eq(fixture.gone, 0);
}
END_TEST

/* Writes a self-signed certificate and its key, which are valid for an hour. */
static void write_certificate(const char *cert_path, const char *key_path)
{
	EVP_PKEY *key = EVP_EC_gen("P-256");
	X509 *cert = X509_new();
	X509_NAME *name = X509_get_subject_name(cert);
	FILE *file;

	X509_set_version(cert, 2);
	ASN1_INTEGER_set(X509_get_serialNumber(cert), 1);
	X509_gmtime_adj(X509_getm_notBefore(cert), -3600);
	X509_gmtime_adj(X509_getm_notAfter(cert), 3600);
	X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
				   (const unsigned char *)"x", -1, -1, 0);
	X509_set_issuer_name(cert, name);
	X509_set_pubkey(cert, key);
	ck_assert_int_gt(X509_sign(cert, key, EVP_sha256()), 0);
	file = fopen(cert_path, "w");
	PEM_write_X509(file, cert);
	fclose(file);
	file = fopen(key_path, "w");
	PEM_write_PrivateKey(file, key, NULL, NULL, 0, NULL, NULL);
	fclose(file);
	X509_free(cert);
	EVP_PKEY_free(key);
}

static void assert_tls(long version, const char *body, size_t min_len)
{
	char *url = g_strdup_printf("https://127.0.0.1:%u" RUN_PATH,
				    front_caller_port(fixture.front));
	struct fetched *f = fetch(&fixture, url, version, body);

	ck_assert_msg(f->result == CURLE_OK, "%s",
		      curl_easy_strerror((CURLcode)f->result));
	ck_assert_int_eq(f->status, 200);
	ck_assert_int_eq(f->version, version);
	ck_assert_uint_ge(f->body->len, min_len);
	ck_assert_ptr_nonnull(strstr(f->headers->str, "; Secure"));
	fetched_free(f);
	g_free(url);
}

START_TEST(tls_serves_both_versions)
{
	char *dir = g_dir_make_tmp("front-XXXXXX", NULL);
	char *cert = g_build_filename(dir, "cert.pem", NULL);
	char *key = g_build_filename(dir, "key.pem", NULL);

	write_certificate(cert, key);
	fixture.settings.callers.tls_certificate = cert;
	fixture.settings.callers.tls_key = key;
	front_fixture_open(&fixture);
	assert_tls(CURL_HTTP_VERSION_1_1, RUN_BODY("a"), 1);
	assert_tls(CURL_HTTP_VERSION_2_0, RUN_BODY("a"), 1);
	assert_tls(CURL_HTTP_VERSION_1_1, RUN_BODY(PROFILE_BIG),
		   BIG_ANSWER_BYTES);
	assert_tls(CURL_HTTP_VERSION_2_0, RUN_BODY(PROFILE_BIG),
		   BIG_ANSWER_BYTES);
	g_remove(cert);
	g_remove(key);
	g_rmdir(dir);
	g_free(cert);
	g_free(key);
	g_free(dir);
}
END_TEST

START_TEST(bad_settings_are_named)
{
	static const struct front_events none = { 0 };
	struct front_settings s;
	struct err err = { 0 };

	front_fixture_open(&fixture);
	s = fixture.settings;
	s.callers.tls_certificate = "/nonexistent/cert.pem";
	s.callers.tls_key = "/nonexistent/key.pem";
	ck_assert_ptr_null(front_create(&fixture.loop, &s, &none, NULL, &err));
	ck_assert_int_eq(err.code, ERR_BAD_SETTINGS);
	ck_assert_ptr_nonnull(strstr(err.message, "/nonexistent/cert.pem"));
	s = fixture.settings;
	s.operators.port = front_admin_port(fixture.front);
	ck_assert_ptr_null(front_create(&fixture.loop, &s, &none, NULL, &err));
	ck_assert_int_eq(err.code, ERR_SYSTEM);
}
END_TEST

static TCase *cases(void)
{
	TCase *tc = tcase_create("front_link");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, hang_up_while_waiting_is_seen, 0, 2);
	tcase_add_test(tc, hang_up_during_the_answer_is_survived);
	tcase_add_loop_test(tc, hang_up_in_a_request_is_no_event, 0,
			    G_N_ELEMENTS(unfinished));
	tcase_add_test(tc, next_request_waits_its_turn);
	tcase_add_loop_test(tc, too_large_body_is_answered, 0, 2);
	tcase_add_loop_test(tc,
			    slow_request_is_closed_and_idle_connection_stays, 0,
			    G_N_ELEMENTS(slow));
	tcase_add_test(tc, stop_cuts_no_request);
	tcase_add_test(tc, connection_above_the_limit_is_refused);
	tcase_add_test(tc, unread_answer_delays_no_other_caller);
	tcase_add_loop_test(tc, unread_answer_is_closed, 0, 2);
	tcase_add_test(tc, destroy_ends_everything);
	tcase_add_test(tc, tls_serves_both_versions);
	tcase_add_test(tc, bad_settings_are_named);
	return tc;
}

int main(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return suite_main("front_link", cases());
}
