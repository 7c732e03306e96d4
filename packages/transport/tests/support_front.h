#ifndef CELERYQUAY_TESTS_SUPPORT_FRONT_H
#define CELERYQUAY_TESTS_SUPPORT_FRONT_H

/*
 * Fixture for tests of the front: a front on its own loop, an owner that
 * chooses the answer by the request's profile, and callers in threads, over a
 * raw socket or with libcurl.
 */

#include <celeryquay/transport/front.h>

/* Requests with this profile wait until front_fixture_release(). */
#define PROFILE_HOLD "hold"
/* The answer has BIG_ANSWER_BYTES of results. */
#define PROFILE_BIG "big"
#define PROFILE_UNKNOWN "unknown" /* UNKNOWN_OUTCOME, no retry_after_us */
#define PROFILE_FULL "full" /* OVERLOADED, retry after 1.5 s */
#define PROFILE_REPEATED "repeated" /* the answer is marked repeated */
#define BIG_ANSWER_BYTES ((size_t)16 * 1024 * 1024)

/* Body of a request to run one statement. */
#define RUN_BODY(profile) \
	"{\"profile\":\"" profile "\",\"statements\":[{\"sql\":\"x\"}]}"

struct front_fixture {
	uv_loop_t loop;
	struct front *front;
	struct front_settings settings;
	/* struct front_request that wait; NULL after their caller has gone */
	GPtrArray *held;
	GPtrArray *held_requests; /* struct request, by the same index */
	unsigned requests; /* number of request events */
	unsigned gone; /* number of gone events */
	unsigned admin; /* number of admin events */
	/* Fields of the last request. */
	enum request_kind kind;
	bool key_given;
	char *service;
	char *database;
	char *transaction;
	char *key;
	char *digest;
	char *token;
	char *session;
};

/* Sets defaults, which a test may change before front_fixture_open(). */
void front_fixture_init(struct front_fixture *fixture);
void front_fixture_open(struct front_fixture *fixture);
void front_fixture_release(struct front_fixture *fixture);
void front_fixture_close(struct front_fixture *fixture);
void front_fixture_run_until(struct front_fixture *fixture,
			     const unsigned *counter, unsigned wanted);
void front_fixture_run_until_connections(struct front_fixture *fixture,
					 unsigned wanted);

/* A caller on a raw socket; sends and reads in a thread of its own. */
struct raw_client;

struct raw_client *raw_client_open(uint16_t port);
/* The errno of an attempt to connect, 0 if it went through. */
int raw_client_try(uint16_t port);
/* Runs the loop while a thread sends all data or the connection breaks. */
void raw_client_send(struct front_fixture *fixture, struct raw_client *b,
		     const char *data, size_t len);
void raw_client_send_text(struct front_fixture *fixture, struct raw_client *b,
			  const char *text);
/* Sends without running the loop; the text must fit the socket buffer. */
void raw_client_send_now(struct raw_client *b, const char *text);
/* Clears the text that was read so far. */
void raw_client_clear(struct raw_client *b);
/*
 * Runs the loop until the text or the end of the stream has been read. Returns
 * everything read since the last clearing.
 */
const char *raw_client_read(struct front_fixture *fixture, struct raw_client *b,
			    const char *until);
void raw_client_close(struct raw_client *b);

/* Response to a request sent with libcurl. */
struct fetched {
	long status;
	long version; /* CURL_HTTP_VERSION_... */
	GString *headers;
	GString *body;
	int result; /* CURLcode */
};

/* Sends a POST with libcurl; version is a CURL_HTTP_VERSION_... number. */
struct fetched *fetch(struct front_fixture *fixture, const char *url,
		      long version, const char *body);
void fetched_free(struct fetched *f);

#endif
