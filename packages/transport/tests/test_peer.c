#include <celeryquay/suite.h>

#include <celeryquay/transport/peer.h>

#include <string.h>
#include <zmq.h>

#define KEY_TEXT_SIZE 41
/* Bounds a wait for messages; long, since only a fault lets it expire. */
#define WAIT_TIMEOUT_MS 60000

struct keys {
	char public[KEY_TEXT_SIZE];
	char secret[KEY_TEXT_SIZE];
};

/* A proxy under test and the messages that it has received. */
struct node {
	struct peer *peer;
	struct member_info info;
	unsigned messages; /* number of messages received */
	size_t bytes; /* total size of their bodies */
	enum peer_kind kind; /* this and the rest: of the last message */
	char from[64];
	uint64_t correlation;
	char body[64];
};

static uv_loop_t loop;
static bool timed_out;

static void setup(void)
{
	uv_loop_init(&loop);
	timed_out = false;
}

static void teardown(void)
{
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
}

static void on_message(void *ctx, enum peer_kind kind, const char *from,
		       uint64_t correlation, struct str body)
{
	struct node *n = ctx;

	n->messages++;
	n->bytes += body.len;
	n->kind = kind;
	n->correlation = correlation;
	g_strlcpy(n->from, from, sizeof(n->from));
	g_strlcpy(n->body, body.data, MIN(sizeof(n->body), body.len + 1));
}

static const struct peer_events events = { .message = on_message };

static struct keys make_keys(void)
{
	struct keys k;

	ck_assert_int_eq(zmq_curve_keypair(k.public, k.secret), 0);
	return k;
}

static void node_open(struct node *n, const char *name, uint64_t incarnation,
		      uint16_t port, const struct keys *keys,
		      const char *const *allowed)
{
	struct peer_settings s = { .host = "127.0.0.1",
				   .port = port,
				   .name = name,
				   .incarnation = incarnation,
				   .allowed = allowed };
	struct err err = { 0 };

	memset(n, 0, sizeof(*n));
	if (keys) {
		s.curve_secret = keys->secret;
		s.curve_public = keys->public;
		g_strlcpy(n->info.curve_public, keys->public, KEY_TEXT_SIZE);
	}
	n->peer = peer_create(&loop, &s, &events, n, &err);
	ck_assert_msg(n->peer != NULL, "%s", err.message);
	g_strlcpy(n->info.name, name, sizeof(n->info.name));
	g_strlcpy(n->info.host, s.host, sizeof(n->info.host));
	n->info.peer_port = peer_port(n->peer);
}

static bool send_text(struct node *from, struct node *to, enum peer_kind kind,
		      uint64_t correlation, const char *text)
{
	GBytes *body = g_bytes_new(text, strlen(text));
	bool sent = peer_send(from->peer, &to->info, kind, correlation, body);

	g_bytes_unref(body);
	return sent;
}

static void on_timeout(uv_timer_t *timer)
{
	(void)timer;
	timed_out = true;
}

/* Runs the loop until the counter is reached; fails after WAIT_TIMEOUT_MS. */
static void run_until(const unsigned *counter, unsigned wanted)
{
	uv_timer_t timer;

	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_timeout, WAIT_TIMEOUT_MS, 0);
	while (*counter < wanted && !timed_out)
		uv_run(&loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
	ck_assert_uint_ge(*counter, wanted);
}

static void on_pause_end(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

/* Runs the loop for 20 ms, between two checks of a condition. */
static void run_briefly(void)
{
	uv_timer_t timer;

	uv_timer_init(&loop, &timer);
	uv_timer_start(&timer, on_pause_end, 20, 0);
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}

START_TEST(message_arrives_unchanged)
{
	struct node a;
	struct node b;

	node_open(&a, "proxy-1", 5, 0, NULL, NULL);
	node_open(&b, "proxy-2", 6, 0, NULL, NULL);
	ck_assert(send_text(&a, &b, PEER_ADMIN, 77, "hello"));
	run_until(&b.messages, 1);
	ck_assert_int_eq(b.kind, PEER_ADMIN);
	ck_assert_str_eq(b.from, "proxy-1");
	ck_assert_uint_eq(b.correlation, 77);
	ck_assert_str_eq(b.body, "hello");
	ck_assert_uint_gt(peer_bytes_sent(a.peer, PEER_ADMIN), 5);
	ck_assert_uint_eq(peer_bytes_sent(a.peer, PEER_ADMIN),
			  peer_bytes_received(b.peer, PEER_ADMIN));
	peer_destroy(a.peer);
	peer_destroy(b.peer);
}
END_TEST

/*
 * More messages than one iteration of the loop delivers, and bodies large
 * enough to be sent without a copy.
 */
START_TEST(many_messages_arrive_in_order)
{
	GBytes *big = g_bytes_new_take(g_malloc0(1 << 20), 1 << 20);
	struct node a;
	struct node b;
	unsigned i;

	node_open(&a, "proxy-1", 5, 0, NULL, NULL);
	node_open(&b, "proxy-2", 6, 0, NULL, NULL);
	ck_assert(send_text(&a, &b, PEER_GOSSIP, 0, "first"));
	run_until(&b.messages, 1);
	for (i = 1; i <= 600; i++)
		ck_assert(send_text(&a, &b, PEER_GOSSIP, i, "more"));
	for (i = 0; i < 8; i++)
		ck_assert(peer_send(a.peer, &b.info, PEER_CONF, i, big));
	run_until(&b.messages, 609);
	ck_assert_uint_eq(b.messages, 609);
	ck_assert_uint_eq(b.correlation, 7);
	ck_assert_uint_eq(b.bytes, 5 + 600 * 4 + (8 << 20));
	g_bytes_unref(big);
	peer_destroy(a.peer);
	peer_destroy(b.peer);
}
END_TEST

/*
 * A request is sent to a home proxy. Before that answers, the entry proxy is
 * replaced by a new process with the same name and port, which numbers its
 * requests from 1 again. The old answer reaches the new process. If it were
 * taken for the answer to the new request 1, a caller would get another
 * caller's rows.
 */
START_TEST(answer_to_an_earlier_process_is_not_taken)
{
	struct node entry;
	struct node home;
	uint64_t asked;
	uint16_t port;

	node_open(&entry, "entry", 1000, 0, NULL, NULL);
	node_open(&home, "home", 2000, 0, NULL, NULL);
	ck_assert(send_text(&entry, &home, PEER_REQUEST, 1, "old"));
	run_until(&home.messages, 1);
	asked = home.correlation;
	ck_assert(send_text(&home, &entry, PEER_ANSWER, asked, "rows"));
	run_until(&entry.messages, 1);
	ck_assert_uint_eq(entry.correlation, 1);

	port = peer_port(entry.peer);
	peer_destroy(entry.peer);
	node_open(&entry, "entry", 1001, port, NULL, NULL);
	peer_close_link(home.peer, "entry");
	ck_assert(send_text(&home, &entry, PEER_ANSWER, asked, "rows"));
	run_until(&entry.messages, 1);
	ck_assert_uint_ne(entry.correlation, 1);
	peer_destroy(entry.peer);
	peer_destroy(home.peer);
}
END_TEST

/* Nothing listens at the peer: sending must fail, not queue forever. */
START_TEST(queue_to_an_unreachable_peer_is_bounded)
{
	struct node a;
	struct node b;
	unsigned taken = 0;

	node_open(&a, "proxy-1", 5, 0, NULL, NULL);
	node_open(&b, "proxy-2", 6, 0, NULL, NULL);
	peer_destroy(b.peer);
	while (taken < 100000 && send_text(&a, &b, PEER_REQUEST, 1, "x"))
		taken++;
	ck_assert_uint_lt(taken, 100000);
	ck_assert_uint_gt(taken, 0);
	peer_destroy(a.peer);
}
END_TEST

START_TEST(message_under_an_allowed_key_is_delivered)
{
	struct keys fleet = make_keys();
	const char *allowed[] = { fleet.public, NULL };
	struct node a;
	struct node b;

	node_open(&a, "proxy-1", 5, 0, &fleet, allowed);
	node_open(&b, "proxy-2", 6, 0, &fleet, allowed);
	ck_assert(send_text(&a, &b, PEER_GOSSIP, 0, "hello"));
	run_until(&b.messages, 1);
	ck_assert_str_eq(b.body, "hello");
	peer_destroy(a.peer);
	peer_destroy(b.peer);
}
END_TEST

/*
 * Of a seed only the address is known, not its name or key. The node tries the
 * keys that it allows in turn, so it can join also during a key rotation, when
 * the seed has another key than the node itself.
 */
START_TEST(seed_without_a_known_key_is_reached)
{
	struct keys old = make_keys();
	struct keys new = make_keys();
	const char *allowed[] = { old.public, new.public, NULL };
	struct member_info seed;
	struct node a;
	struct node b;

	node_open(&a, "proxy-1", 5, 0, &old, allowed);
	node_open(&b, "proxy-2", 6, 0, &new, allowed);
	seed = b.info;
	seed.name[0] = seed.curve_public[0] = '\0';
	while (!b.messages) {
		GBytes *body = g_bytes_new_static("join", 4);

		peer_send(a.peer, &seed, PEER_GOSSIP, 0, body);
		g_bytes_unref(body);
		run_briefly();
	}
	ck_assert_str_eq(b.body, "join");
	peer_destroy(a.peer);
	peer_destroy(b.peer);
}
END_TEST

/*
 * An impostor knows a proxy's address and public key, but its own key is not
 * allowed. No message from it may be delivered. A message from an allowed peer,
 * sent after the impostor's was refused, shows that delivery works.
 */
START_TEST(message_under_an_unknown_key_is_refused)
{
	struct keys fleet = make_keys();
	struct keys other = make_keys();
	const char *allowed[] = { fleet.public, NULL };
	const char *both[] = { fleet.public, other.public, NULL };
	struct node impostor;
	struct node a;
	struct node b;

	node_open(&impostor, "proxy-1", 5, 0, &other, both);
	node_open(&a, "proxy-1", 5, 0, &fleet, allowed);
	node_open(&b, "proxy-2", 6, 0, &fleet, allowed);
	ck_assert(send_text(&impostor, &b, PEER_REQUEST, 0, "drop"));
	ck_assert(send_text(&a, &b, PEER_GOSSIP, 0, "hello"));
	run_until(&b.messages, 1);
	while (send_text(&impostor, &b, PEER_REQUEST, 0, "drop"))
		run_briefly();
	ck_assert(send_text(&a, &b, PEER_GOSSIP, 0, "hello"));
	run_until(&b.messages, 2);
	ck_assert_uint_eq(b.messages, 2);
	ck_assert_str_eq(b.body, "hello");
	ck_assert_uint_eq(peer_bytes_received(b.peer, PEER_REQUEST), 0);
	peer_destroy(impostor.peer);
	peer_destroy(a.peer);
	peer_destroy(b.peer);
}
END_TEST

/*
 * The operators replace a key that has leaked. A link established under the old
 * key is still open when that key is removed from the list; from then on no
 * message from it may be delivered.
 */
START_TEST(removed_key_is_refused_on_an_open_link)
{
	struct keys old = make_keys();
	struct keys new = make_keys();
	const char *both[] = { old.public, new.public, NULL };
	const char *rest[] = { new.public, NULL };
	struct node leaked;
	struct node a;
	struct node b;

	node_open(&leaked, "proxy-1", 5, 0, &old, both);
	node_open(&a, "proxy-3", 5, 0, &new, both);
	node_open(&b, "proxy-2", 6, 0, &new, both);
	ck_assert(send_text(&leaked, &b, PEER_GOSSIP, 0, "before"));
	run_until(&b.messages, 1);
	ck_assert(peer_set_allowed(b.peer, rest));
	ck_assert(send_text(&leaked, &b, PEER_REQUEST, 0, "after"));
	ck_assert(send_text(&a, &b, PEER_GOSSIP, 0, "hello"));
	run_until(&b.messages, 2);
	ck_assert_str_eq(b.from, "proxy-3");
	ck_assert_uint_eq(peer_bytes_received(b.peer, PEER_REQUEST), 0);
	peer_destroy(leaked.peer);
	peer_destroy(a.peer);
	peer_destroy(b.peer);
}
END_TEST

/*
 * The operators rotate keys in the wrong order: a proxy that already uses its
 * new key is refused by one that does not allow it yet. ZeroMQ does not retry
 * after such a refusal, but once the key is allowed the link must be
 * established.
 */
START_TEST(link_recovers_when_its_key_is_allowed)
{
	struct keys old = make_keys();
	struct keys new = make_keys();
	const char *both[] = { old.public, new.public, NULL };
	const char *first[] = { old.public, NULL };
	struct node a;
	struct node b;

	node_open(&a, "proxy-1", 5, 0, &new, both);
	node_open(&b, "proxy-2", 6, 0, &old, first);
	while (send_text(&a, &b, PEER_GOSSIP, 0, "early"))
		run_briefly();
	ck_assert(peer_set_allowed(b.peer, both));
	while (!b.messages) {
		send_text(&a, &b, PEER_GOSSIP, 0, "late");
		run_briefly();
	}
	ck_assert_str_eq(b.body, "late");
	peer_destroy(a.peer);
	peer_destroy(b.peer);
}
END_TEST

/* A plain ZeroMQ socket sends frames that a proxy never sends. */
START_TEST(malformed_messages_are_dropped)
{
	void *context = zmq_ctx_new();
	void *raw = zmq_socket(context, ZMQ_DEALER);
	struct node a;
	char endpoint[64];
	int none = 0;

	node_open(&a, "proxy-1", 5, 0, NULL, NULL);
	g_snprintf(endpoint, sizeof(endpoint), "tcp://127.0.0.1:%u",
		   peer_port(a.peer));
	zmq_setsockopt(raw, ZMQ_LINGER, &none, sizeof(none));
	ck_assert_int_eq(zmq_connect(raw, endpoint), 0);
	zmq_send(raw, "alone", 5, 0);
	zmq_send(raw, "no header", 9, ZMQ_SNDMORE);
	zmq_send(raw, "body", 4, 0);
	/* Another protocol's version, an unknown kind, no name. */
	zmq_send(raw, "\x95\x02\x01\xa1p\x01\x01", 7, ZMQ_SNDMORE);
	zmq_send(raw, "body", 4, 0);
	zmq_send(raw, "\x95\x01\x09\xa1p\x01\x01", 7, ZMQ_SNDMORE);
	zmq_send(raw, "body", 4, 0);
	zmq_send(raw, "\x95\x01\x01\xa0\x01\x01", 6, ZMQ_SNDMORE);
	zmq_send(raw, "body", 4, 0);
	zmq_send(raw, "\x95\x01\x01\xa1p\x01\x01", 7, ZMQ_SNDMORE);
	zmq_send(raw, "body", 4, ZMQ_SNDMORE);
	zmq_send(raw, "one too many", 12, 0);
	zmq_send(raw, "\x95\x01\x01\xa1p\x01\x01", 7, ZMQ_SNDMORE);
	zmq_send(raw, "good", 4, 0);
	run_until(&a.messages, 1);
	ck_assert_uint_eq(a.messages, 1);
	ck_assert_str_eq(a.body, "good");
	peer_destroy(a.peer);
	zmq_close(raw);
	zmq_ctx_term(context);
}
END_TEST

START_TEST(bad_settings_are_named)
{
	struct peer_settings s = { .host = "127.0.0.1",
				   .name = "proxy-1",
				   .curve_secret = "short",
				   .curve_public = "short" };
	struct err err = { 0 };
	struct node a;

	ck_assert_ptr_null(peer_create(&loop, &s, &events, NULL, &err));
	ck_assert_int_eq(err.code, ERR_BAD_SETTINGS);
	node_open(&a, "proxy-1", 5, 0, NULL, NULL);
	s.curve_secret = s.curve_public = NULL;
	s.port = peer_port(a.peer);
	ck_assert_ptr_null(peer_create(&loop, &s, &events, NULL, &err));
	ck_assert_int_eq(err.code, ERR_SYSTEM);
	peer_destroy(a.peer);
}
END_TEST

static TCase *cases(void)
{
	TCase *tc = tcase_create("peer");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, message_arrives_unchanged);
	tcase_add_test(tc, many_messages_arrive_in_order);
	tcase_add_test(tc, answer_to_an_earlier_process_is_not_taken);
	tcase_add_test(tc, queue_to_an_unreachable_peer_is_bounded);
	tcase_add_test(tc, message_under_an_allowed_key_is_delivered);
	tcase_add_test(tc, seed_without_a_known_key_is_reached);
	tcase_add_test(tc, message_under_an_unknown_key_is_refused);
	tcase_add_test(tc, removed_key_is_refused_on_an_open_link);
	tcase_add_test(tc, link_recovers_when_its_key_is_allowed);
	tcase_add_test(tc, malformed_messages_are_dropped);
	tcase_add_test(tc, bad_settings_are_named);
	return tc;
}

int main(void)
{
	return suite_main("peer", cases());
}
