#include "support_front.h"
#include "support_loop.h"

#include <check.h>
#include <curl/curl.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static GBytes *make_big(void)
{
	char *data = g_malloc(BIG_ANSWER_BYTES);
	size_t i;

	for (i = 0; i < BIG_ANSWER_BYTES; i++)
		data[i] = (char)('0' + i % 10);
	return g_bytes_new_take(data, BIG_ANSWER_BYTES);
}

static struct answer *make_answer(const struct request *r)
{
	struct answer *a;

	if (str_eq(r->profile, STR(PROFILE_FULL))) {
		a = answer_error(ERR_OVERLOADED, "the queue is full");
		a->retry_after_us = 1500000;
		return a;
	}
	if (str_eq(r->profile, STR(PROFILE_UNKNOWN)))
		return answer_error(ERR_UNKNOWN_OUTCOME, "no server answered");
	a = answer_create(OUTCOME_DONE);
	g_strlcpy(a->server, "codes-1-a", sizeof(a->server));
	a->age_us = 1500;
	a->by_primary = r->kind == REQUEST_COMMIT;
	a->transaction = STR("proxy-1~9");
	a->repeated = str_eq(r->profile, STR(PROFILE_REPEATED));
	if (str_eq(r->profile, STR(PROFILE_BIG)))
		a->results = make_big();
	else
		a->results = g_bytes_new_static("[{\"rows\":[[1]]}]", 16);
	return a;
}

static void answer(struct front_request *fr, struct request *r)
{
	struct answer *a = make_answer(r);

	front_answer(fr, r, a, STR("new-session"));
	answer_unref(a);
}

static void keep(char **slot, struct str s)
{
	g_free(*slot);
	*slot = str_dup(s);
}

static void on_request(void *ctx, struct front_request *fr, struct request *r,
		       struct str token, struct str session)
{
	struct front_fixture *fixture = ctx;

	fixture->requests++;
	fixture->kind = r->kind;
	fixture->key_given = r->key_given;
	keep(&fixture->service, r->service);
	keep(&fixture->database, r->database);
	keep(&fixture->transaction, r->transaction);
	keep(&fixture->key, r->key);
	keep(&fixture->digest, r->digest);
	keep(&fixture->token, token);
	keep(&fixture->session, session);
	if (str_eq(r->profile, STR(PROFILE_HOLD))) {
		front_set_user(fr, GUINT_TO_POINTER(fixture->held->len + 1));
		g_ptr_array_add(fixture->held, fr);
		g_ptr_array_add(fixture->held_requests, r);
		return;
	}
	answer(fr, r);
	request_unref(r);
}

static void on_gone(void *ctx, struct front_request *fr)
{
	struct front_fixture *fixture = ctx;
	unsigned i = GPOINTER_TO_UINT(front_user(fr));

	fixture->gone++;
	ck_assert_uint_gt(i, 0);
	ck_assert_ptr_eq(fixture->held->pdata[i - 1], fr);
	fixture->held->pdata[i - 1] = NULL;
}

static void on_admin(void *ctx, struct front_request *fr, struct str method,
		     struct str path, struct str token, struct str body)
{
	struct front_fixture *fixture = ctx;
	GString *text = g_string_new(NULL);

	fixture->admin++;
	g_string_append_len(text, method.data, (gssize)method.len);
	g_string_append_c(text, ' ');
	g_string_append_len(text, path.data, (gssize)path.len);
	g_string_append_c(text, ' ');
	g_string_append_len(text, token.data, (gssize)token.len);
	g_string_append_c(text, ' ');
	g_string_append_len(text, body.data, (gssize)body.len);
	front_reply(fr, 200, "text/plain", str_from_gstring(text));
	g_string_free(text, TRUE);
}

/* Default settings have limits that no test reaches. */
void front_fixture_init(struct front_fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	uv_loop_init(&fixture->loop);
	fixture->held = g_ptr_array_new();
	fixture->held_requests = g_ptr_array_new();
	fixture->settings = (struct front_settings){
		.callers = { .host = "127.0.0.1" },
		.operators = { .host = "127.0.0.1" },
		.max_body_bytes = 1 << 20,
		.header_timeout_us = 60 * USEC_PER_SEC,
		.max_connections = 1000,
	};
}

/* Starts the front; fails the test if the front can't start. */
void front_fixture_open(struct front_fixture *fixture)
{
	static const struct front_events events = {
		.request = on_request,
		.gone = on_gone,
		.admin = on_admin,
	};
	struct err err = { 0 };

	fixture->front = front_create(&fixture->loop, &fixture->settings,
				      &events, fixture, &err);
	ck_assert_msg(fixture->front != NULL, "%s", err.message);
}

/* Answers the waiting requests whose callers have not gone. */
void front_fixture_release(struct front_fixture *fixture)
{
	unsigned i;

	for (i = 0; i < fixture->held->len; i++) {
		struct request *r = fixture->held_requests->pdata[i];

		if (fixture->held->pdata[i])
			answer(fixture->held->pdata[i], r);
		request_unref(r);
	}
	g_ptr_array_set_size(fixture->held, 0);
	g_ptr_array_set_size(fixture->held_requests, 0);
}

/* Destroys the front; fails if a handle is left on the loop. */
void front_fixture_close(struct front_fixture *fixture)
{
	unsigned i;

	front_destroy(fixture->front);
	loop_end(&fixture->loop);
	for (i = 0; i < fixture->held_requests->len; i++)
		request_unref(fixture->held_requests->pdata[i]);
	g_ptr_array_unref(fixture->held);
	g_ptr_array_unref(fixture->held_requests);
	g_free(fixture->service);
	g_free(fixture->database);
	g_free(fixture->transaction);
	g_free(fixture->key);
	g_free(fixture->digest);
	g_free(fixture->token);
	g_free(fixture->session);
}

struct counter_target {
	const unsigned *counter;
	unsigned wanted;
};

static bool is_counted(void *ctx)
{
	struct counter_target *c = ctx;

	return *c->counter >= c->wanted;
}

/* Runs the loop until the counter has reached this value. */
void front_fixture_run_until(struct front_fixture *fixture,
			     const unsigned *counter, unsigned wanted)
{
	struct counter_target c = { .counter = counter, .wanted = wanted };

	loop_until(&fixture->loop, is_counted, &c);
	ck_assert_uint_eq(*counter, wanted);
}

struct connections_target {
	struct front *front;
	unsigned wanted;
};

static bool is_connected(void *ctx)
{
	struct connections_target *c = ctx;

	return front_connections(c->front) == c->wanted;
}

/* Runs the loop until the front has this number of connections. */
void front_fixture_run_until_connections(struct front_fixture *fixture,
					 unsigned wanted)
{
	struct connections_target c = { .front = fixture->front,
					.wanted = wanted };

	loop_until(&fixture->loop, is_connected, &c);
}

struct raw_client {
	int fd;
	GString *text; /* what was read */
	const char *data; /* still to be sent */
	size_t len; /* of data */
	const char *until; /* text to read up to; NULL: the end of the stream */
	gint done; /* the thread has finished; atomic */
};

static bool is_done(void *ctx)
{
	return g_atomic_int_get((gint *)ctx);
}

int raw_client_try(uint16_t port)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int error = 0;

	uv_ip4_addr("127.0.0.1", port, &address);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)))
		error = errno;
	close(fd);
	return error;
}

/* Connects; the kernel does so without the front's loop running. */
struct raw_client *raw_client_open(uint16_t port)
{
	struct raw_client *b = g_new0(struct raw_client, 1);
	struct sockaddr_in address;

	uv_ip4_addr("127.0.0.1", port, &address);
	b->fd = socket(AF_INET, SOCK_STREAM, 0);
	b->text = g_string_new(NULL);
	ck_assert_int_eq(connect(b->fd, (struct sockaddr *)&address,
				 sizeof(address)),
			 0);
	return b;
}

static void run(struct front_fixture *fixture, struct raw_client *b,
		GThreadFunc function)
{
	GThread *thread;

	b->done = 0;
	thread = g_thread_new("caller", function, b);
	loop_until(&fixture->loop, is_done, &b->done);
	g_thread_join(thread);
}

static gpointer send_all(gpointer data)
{
	struct raw_client *b = data;

	while (b->len) {
		ssize_t n = send(b->fd, b->data, b->len, MSG_NOSIGNAL);

		if (n <= 0)
			break;
		b->data += n;
		b->len -= (size_t)n;
	}
	g_atomic_int_set(&b->done, 1);
	return NULL;
}

void raw_client_send(struct front_fixture *fixture, struct raw_client *b,
		     const char *data, size_t len)
{
	b->data = data;
	b->len = len;
	run(fixture, b, send_all);
}

void raw_client_send_text(struct front_fixture *fixture, struct raw_client *b,
			  const char *text)
{
	raw_client_send(fixture, b, text, strlen(text));
}

void raw_client_send_now(struct raw_client *b, const char *text)
{
	ck_assert_int_eq(send(b->fd, text, strlen(text), MSG_NOSIGNAL),
			 (ssize_t)strlen(text));
}

void raw_client_clear(struct raw_client *b)
{
	g_string_truncate(b->text, 0);
}

static gpointer read_some(gpointer data)
{
	struct raw_client *b = data;
	char buf[65536];

	while (!b->until || !strstr(b->text->str, b->until)) {
		ssize_t n = recv(b->fd, buf, sizeof(buf), 0);

		if (n <= 0)
			break;
		g_string_append_len(b->text, buf, n);
	}
	g_atomic_int_set(&b->done, 1);
	return NULL;
}

const char *raw_client_read(struct front_fixture *fixture, struct raw_client *b,
			    const char *until)
{
	b->until = until;
	run(fixture, b, read_some);
	return b->text->str;
}

void raw_client_close(struct raw_client *b)
{
	close(b->fd);
	g_string_free(b->text, TRUE);
	g_free(b);
}

struct fetch_job {
	struct fetched *out;
	const char *url;
	const char *body;
	long version;
	gint done;
};

static size_t append(char *data, size_t size, size_t n, void *out)
{
	g_string_append_len(out, data, (gssize)(size * n));
	return size * n;
}

static gpointer perform(gpointer data)
{
	struct fetch_job *f = data;
	CURL *curl = curl_easy_init();

	curl_easy_setopt(curl, CURLOPT_URL, f->url);
	curl_easy_setopt(curl, CURLOPT_HTTP_VERSION, f->version);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, f->body);
	curl_easy_setopt(curl, CURLOPT_SSL_VERIFYPEER, 0L);
	curl_easy_setopt(curl, CURLOPT_SSL_VERIFYHOST, 0L);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, f->out->body);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, f->out->headers);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	f->out->result = curl_easy_perform(curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &f->out->status);
	curl_easy_getinfo(curl, CURLINFO_HTTP_VERSION, &f->out->version);
	curl_easy_cleanup(curl);
	g_atomic_int_set(&f->done, 1);
	return NULL;
}

struct fetched *fetch(struct front_fixture *fixture, const char *url,
		      long version, const char *body)
{
	struct fetch_job f = { .url = url, .version = version, .body = body };
	GThread *thread;

	f.out = g_new0(struct fetched, 1);
	f.out->headers = g_string_new(NULL);
	f.out->body = g_string_new(NULL);
	thread = g_thread_new("caller", perform, &f);
	loop_until(&fixture->loop, is_done, &f.done);
	g_thread_join(thread);
	return f.out;
}

void fetched_free(struct fetched *f)
{
	g_string_free(f->headers, TRUE);
	g_string_free(f->body, TRUE);
	g_free(f);
}
