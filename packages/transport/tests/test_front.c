#include "support_front.h"
#include <celeryquay/suite.h>

#include <curl/curl.h>
#include <string.h>

#define RUN_PATH "/v1/ledger/miles-1"
#define TX_PATH RUN_PATH "/transactions/proxy-1~9"
#define STATEMENTS "{\"statements\":[{\"sql\":\"x\"}]}"
#define KEY_128                                                            \
	"0123456789012345678901234567890123456789012345678901234567890123" \
	"0123456789012345678901234567890123456789012345678901234567890123"

static struct front_fixture fixture;

static void setup(void)
{
	front_fixture_init(&fixture);
	front_fixture_open(&fixture);
}

static void teardown(void)
{
	front_fixture_close(&fixture);
}

/* Sends one request on a connection of its own. */
static struct raw_client *ask(uint16_t port, const char *method,
			      const char *path, const char *headers,
			      const char *body)
{
	struct raw_client *b = raw_client_open(port);
	char *text = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
		"Content-Length: %zu\r\n%s\r\n%s",
		method, path, strlen(body), headers, body);

	raw_client_send_text(&fixture, b, text);
	g_free(text);
	return b;
}

struct row {
	const char *method;
	const char *path;
	const char *headers;
	const char *body;
	unsigned status;
	const char *wanted; /* part of the response */
};

static const struct row refused[] = {
	{ "POST", "/", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", "/v1", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", "/v1/ledger", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", "/v2/ledger/miles-1", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", "/v1//miles-1", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", RUN_PATH "/", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", RUN_PATH "/other", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", RUN_PATH "?a=b", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", "/v1/led%67er/miles-1", "", "{}", 404, "NO_SUCH_PATH" },
	{ "POST", TX_PATH "/abort", "", "", 404, "NO_SUCH_PATH" },
	{ "POST", TX_PATH "/commit/x", "", "", 404, "NO_SUCH_PATH" },
	{ "GET", "/health", "", "", 404, "NO_SUCH_PATH" },
	{ "GET", RUN_PATH, "", "", 405, "allow: POST\r\n" },
	{ "PUT", RUN_PATH, "", "{}", 405, "BAD_METHOD" },
	{ "DELETE", RUN_PATH "/transactions", "", "", 405, "BAD_METHOD" },
	{ "PUT", TX_PATH, "", "", 405, "allow: POST, DELETE\r\n" },
	{ "DELETE", TX_PATH "/commit", "", "", 405, "BAD_METHOD" },
	{ "POST", RUN_PATH, "", "{", 400,
	  "\"code\":1001,\"name\":\"BAD_JSON\"" },
	{ "POST", RUN_PATH, "", "{}", 400, "profile: the field is missing" },
	{ "POST", RUN_PATH "/transactions", "", RUN_BODY("a"), 400,
	  "statements: this call has no such field" },
	{ "POST", TX_PATH, "", RUN_BODY("a"), 400,
	  "profile: this call has no such field" },
	{ "POST", TX_PATH "/commit", "", STATEMENTS, 400, "BAD_FIELD" },
	{ "POST", RUN_PATH, "Idempotency-Key: a b\r\n", RUN_BODY("a"), 400,
	  "BAD_KEY" },
	{ "POST", RUN_PATH, "Idempotency-Key: \xc3\xa9\r\n", RUN_BODY("a"), 400,
	  "BAD_KEY" },
	{ "POST", RUN_PATH, "Idempotency-Key: " KEY_128 "x\r\n", RUN_BODY("a"),
	  400, "BAD_KEY" },
	{ "POST", RUN_PATH, "Idempotency-Key: a\r\nIdempotency-Key: b\r\n",
	  RUN_BODY("a"), 400, "BAD_KEY" },
	{ "POST", RUN_PATH, "Idempotency-Key:\r\n", RUN_BODY("a"), 400,
	  "BAD_KEY" },
	{ "POST", RUN_PATH, "Transfer-Encoding: odd\r\n", RUN_BODY("a"), 400,
	  "BAD_HEADER" },
};

START_TEST(bad_request_is_refused)
{
	const struct row *row = &refused[_i];
	struct raw_client *b = ask(front_caller_port(fixture.front),
				   row->method, row->path, row->headers,
				   row->body);
	const char *text = raw_client_read(&fixture, b, NULL);
	char status[32];

	g_snprintf(status, sizeof(status), "HTTP/1.1 %u ", row->status);
	ck_assert_msg(g_str_has_prefix(text, status), "%s %s: %s", row->method,
		      row->path, text);
	ck_assert_msg(strstr(text, row->wanted), "%s %s: %s", row->method,
		      row->path, text);
	ck_assert_msg(strstr(text, "{\"outcome\":\"not_run\""), "%s", text);
	ck_assert_msg(strstr(text, "content-type: application/json"), "%s",
		      text);
	ck_assert_uint_eq(fixture.requests, 0);
	raw_client_close(b);
}
END_TEST

/* h2o answers by itself, in plain text, what it can't parse as HTTP. */
START_TEST(not_http_is_refused)
{
	static const char *const texts[] = {
		"POST " RUN_PATH " HTTP/1.1\r\nNo colon\r\n\r\n",
		"\x16\x03\x01\x02",
		"\r\n\r\n\r\n!",
	};
	struct raw_client *b =
		raw_client_open(front_caller_port(fixture.front));
	const char *text;

	raw_client_send_text(&fixture, b, texts[_i]);
	text = raw_client_read(&fixture, b, NULL);
	ck_assert_msg(g_str_has_prefix(text, "HTTP/1.1 400 "), "%s", text);
	ck_assert_uint_eq(fixture.requests, 0);
	raw_client_close(b);
}
END_TEST

START_TEST(headers_are_bounded)
{
	char *value = g_strnfill(20000, 'a');
	char *headers = g_strdup_printf("X-Long: %s\r\n", value);
	struct raw_client *b = ask(front_caller_port(fixture.front), "POST",
				   RUN_PATH, headers, RUN_BODY("a"));

	ck_assert_ptr_nonnull(
		strstr(raw_client_read(&fixture, b, NULL), "BAD_HEADER"));
	ck_assert_uint_eq(fixture.requests, 0);
	raw_client_close(b);
	g_free(headers);
	g_free(value);
}
END_TEST

struct call {
	const char *method;
	const char *path;
	const char *body;
	enum request_kind kind;
	const char *transaction;
};

static const struct call calls[] = {
	{ "POST", RUN_PATH, RUN_BODY("a"), REQUEST_RUN, "" },
	{ "POST", RUN_PATH "/transactions", "{\"profile\":\"a\"}",
	  REQUEST_BEGIN, "" },
	{ "POST", TX_PATH, STATEMENTS, REQUEST_IN_TRANSACTION, "proxy-1~9" },
	{ "POST", TX_PATH "/commit", "", REQUEST_COMMIT, "proxy-1~9" },
	{ "POST", TX_PATH "/commit", "{}", REQUEST_COMMIT, "proxy-1~9" },
	{ "DELETE", TX_PATH, "", REQUEST_ROLLBACK, "proxy-1~9" },
};

START_TEST(call_is_handed_over)
{
	const struct call *call = &calls[_i];
	struct raw_client *b = ask(front_caller_port(fixture.front),
				   call->method, call->path, "", call->body);
	const char *text = raw_client_read(&fixture, b, NULL);

	ck_assert_msg(strstr(text, "\"outcome\":\"done\""), "%s", text);
	ck_assert_int_eq(fixture.kind, call->kind);
	ck_assert_str_eq(fixture.service, "ledger");
	ck_assert_str_eq(fixture.database, "miles-1");
	ck_assert_str_eq(fixture.transaction, call->transaction);
	ck_assert_uint_eq(fixture.requests, 1);
	raw_client_close(b);
}
END_TEST

START_TEST(headers_are_read)
{
	struct raw_client *b = ask(front_caller_port(fixture.front), "POST",
				   RUN_PATH,
				   "Authorization: bearer abc\r\n"
				   "Cookie: a=b; celeryquay_session=cookie\r\n"
				   "Celeryquay-Session: header\r\n"
				   "Idempotency-Key: " KEY_128 "\r\n",
				   RUN_BODY("a"));

	raw_client_read(&fixture, b, NULL);
	raw_client_close(b);
	ck_assert_str_eq(fixture.token, "abc");
	ck_assert_str_eq(fixture.session, "header");
	ck_assert_str_eq(fixture.key, KEY_128);
	ck_assert(fixture.key_given);
	b = ask(front_caller_port(fixture.front), "POST", RUN_PATH,
		"Authorization: Basic abc\r\n"
		"Cookie: xceleryquay_session=no; celeryquay_session=cookie\r\n",
		RUN_BODY("a"));
	raw_client_read(&fixture, b, NULL);
	raw_client_close(b);
	ck_assert_str_eq(fixture.token, "");
	ck_assert_str_eq(fixture.session, "cookie");
	ck_assert_str_eq(fixture.key, "");
	ck_assert(!fixture.key_given);
}
END_TEST

static char *digest_of(const char *path, const char *body)
{
	struct raw_client *b =
		ask(front_caller_port(fixture.front), "POST", path, "", body);

	raw_client_read(&fixture, b, NULL);
	raw_client_close(b);
	return g_strdup(fixture.digest);
}

/*
 * A client whose response was lost sends the request again with the same
 * Idempotency-Key, but its JSON library may write the fields in another order:
 * the digest must be the same. It must differ for another amount under the same
 * key, for a string in place of a number, and for another database.
 */
START_TEST(digest_depends_on_meaning_alone)
{
	char *one = digest_of(RUN_PATH, "{\"profile\":\"w\",\"statements\":"
					"[{\"sql\":\"x\",\"params\":[1]}]}");
	char *same = digest_of(RUN_PATH,
			       "{ \"statements\": [ {\"params\": [1], "
			       "\"sql\":\"x\"}],\"profile\":\"w\"}");
	char *text = digest_of(RUN_PATH,
			       "{\"profile\":\"w\",\"statements\":"
			       "[{\"sql\":\"x\",\"params\":[\"1\"]}]}");
	char *two = digest_of(RUN_PATH, "{\"profile\":\"w\",\"statements\":"
					"[{\"sql\":\"x\",\"params\":[2]}]}");
	char *moved = digest_of("/v1/ledger/miles-2",
				"{\"profile\":\"w\",\"statements\":"
				"[{\"sql\":\"x\",\"params\":[1]}]}");

	ck_assert_uint_eq(strlen(one), 64);
	ck_assert_str_eq(one, same);
	ck_assert_str_ne(one, text);
	ck_assert_str_ne(one, two);
	ck_assert_str_ne(one, moved);
	g_free(one);
	g_free(same);
	g_free(text);
	g_free(two);
	g_free(moved);
}
END_TEST

struct expected_answer {
	const char *path;
	const char *body;
	const char *wanted[6];
};

static const struct expected_answer answers[] = {
	{ RUN_PATH,
	  RUN_BODY("a"),
	  { "HTTP/1.1 200 OK\r\n",
	    "{\"outcome\":\"done\",\"results\":[{\"rows\":[[1]]}],"
	    "\"session\":\"new-session\",\"served_by\":{\"server\":"
	    "\"codes-1-a\",\"role\":\"replica\",\"age_ms\":2}}",
	    "\r\nceleryquay-session: new-session\r\n",
	    "\r\nset-cookie: celeryquay_session=new-session; Path=/; HttpOnly;"
	    " SameSite=Strict\r\n" } },
	{ RUN_PATH,
	  RUN_BODY(PROFILE_REPEATED),
	  { "HTTP/1.1 200 OK\r\n", ",\"repeated\":true}" } },
	{ RUN_PATH "/transactions",
	  "{\"profile\":\"a\"}",
	  { "HTTP/1.1 201 Created\r\n", "\"transaction\":\"proxy-1~9\"",
	    "\r\nlocation: " TX_PATH "\r\n" } },
	{ TX_PATH "/commit",
	  "",
	  { "HTTP/1.1 200 OK\r\n", "\"role\":\"primary\"" } },
	{ RUN_PATH,
	  RUN_BODY(PROFILE_FULL),
	  { "HTTP/1.1 503 Service Unavailable\r\n", "\r\nretry-after: 2\r\n",
	    "\"retry_after_ms\":1500",
	    "{\"outcome\":\"not_run\",\"code\":1201,\"name\":\"OVERLOADED\","
	    "\"message\":\"the queue is full\"" } },
	/* Status 504 without retry_after_us still has a Retry-After. */
	{ RUN_PATH,
	  RUN_BODY(PROFILE_UNKNOWN),
	  { "HTTP/1.1 504 ", "\"outcome\":\"unknown\"",
	    "\r\nretry-after: 1\r\n" } },
};

START_TEST(answer_is_sent)
{
	const struct expected_answer *expected_answer = &answers[_i];
	struct raw_client *b = ask(front_caller_port(fixture.front), "POST",
				   expected_answer->path, "",
				   expected_answer->body);
	const char *text = raw_client_read(&fixture, b, NULL);
	unsigned i;

	for (i = 0; expected_answer->wanted[i]; i++)
		ck_assert_msg(strstr(text, expected_answer->wanted[i]),
			      "%s: %s", expected_answer->wanted[i], text);
	raw_client_close(b);
}
END_TEST

static const long versions[] = { CURL_HTTP_VERSION_1_1, CURL_HTTP_VERSION_2_0,
				 CURL_HTTP_VERSION_2_PRIOR_KNOWLEDGE };

/* A response of 16 MiB is complete over each version of HTTP. */
START_TEST(big_answer_is_complete)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u" RUN_PATH,
				    front_caller_port(fixture.front));
	struct fetched *f =
		fetch(&fixture, url, versions[_i], RUN_BODY(PROFILE_BIG));
	const char *data;
	size_t i;

	ck_assert_int_eq(f->result, CURLE_OK);
	ck_assert_int_eq(f->status, 200);
	ck_assert_int_eq(f->version == CURL_HTTP_VERSION_1_1, _i == 0);
	data = strstr(f->body->str, "\"results\":");
	ck_assert_ptr_nonnull(data);
	data += strlen("\"results\":");
	for (i = 0; i < BIG_ANSWER_BYTES; i++)
		if (data[i] != (char)('0' + i % 10))
			ck_abort_msg("byte %zu differs", i);
	ck_assert_ptr_eq(strstr(data + BIG_ANSWER_BYTES, ",\"session\":"),
			 data + BIG_ANSWER_BYTES);
	fetched_free(f);
	g_free(url);
}
END_TEST

START_TEST(operators_have_their_own_port)
{
	struct raw_client *b = ask(front_admin_port(fixture.front), "PUT",
				   "/items/profile/write?x=1",
				   "Authorization: Bearer op\r\n", "{}");

	ck_assert_ptr_nonnull(strstr(raw_client_read(&fixture, b, NULL),
				     "\r\n\r\nPUT /items/profile/write?x=1 op "
				     "{}"));
	ck_assert_uint_eq(fixture.admin, 1);
	ck_assert_uint_eq(fixture.requests, 0);
	raw_client_close(b);
	b = ask(front_admin_port(fixture.front), "PUT", "/items/profile/write",
		"", "[[[[[[[[[[[[[[[[[");
	ck_assert_ptr_nonnull(
		strstr(raw_client_read(&fixture, b, NULL), "TOO_DEEP"));
	ck_assert_uint_eq(fixture.admin, 1);
	raw_client_close(b);
}
END_TEST

static TCase *cases(void)
{
	TCase *tc = tcase_create("front");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_loop_test(tc, bad_request_is_refused, 0,
			    G_N_ELEMENTS(refused));
	tcase_add_loop_test(tc, not_http_is_refused, 0, 3);
	tcase_add_test(tc, headers_are_bounded);
	tcase_add_loop_test(tc, call_is_handed_over, 0, G_N_ELEMENTS(calls));
	tcase_add_test(tc, headers_are_read);
	tcase_add_test(tc, digest_depends_on_meaning_alone);
	tcase_add_loop_test(tc, answer_is_sent, 0, G_N_ELEMENTS(answers));
	tcase_add_loop_test(tc, big_answer_is_complete, 0,
			    G_N_ELEMENTS(versions));
	tcase_add_test(tc, operators_have_their_own_port);
	return tc;
}

int main(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return suite_main("front", cases());
}
