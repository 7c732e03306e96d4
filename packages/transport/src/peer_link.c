#include "peer_private.h"

#include <stdatomic.h>
#include <string.h>
#include <zmq.h>

#define LOG_MODULE "peer"
#include <celeryquay/base/log.h>

/* Maximum number of messages that ZeroMQ queues for one peer. */
#define QUEUE_MESSAGES_MAX 1000
/*
 * Maximum bytes of bodies sent without a copy that ZeroMQ may hold for one
 * peer.
 */
#define ZERO_COPY_UNSENT_MAX (64L * 1024 * 1024)
/* Minimum size of frames that are sent without a copy. */
#define ZERO_COPY_SIZE_MIN 8192
/*
 * Limits of the messages that wait while the link is being established: their
 * number, the bytes of their bodies, and the time.
 */
#define WAITING_MESSAGES_MAX 256
#define WAITING_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define WAITING_TIMEOUT_MS 1000
/*
 * Links not used for this long are closed, so that only links with traffic stay
 * open.
 */
#define IDLE_TIMEOUT_MS 15000
/* Interval at which idle links are looked for. */
#define SWEEP_INTERVAL_MS 5000
/*
 * A socket that has not connected for this long is replaced by a new one:
 * ZeroMQ does not retry after a refused handshake, but the peer may allow the
 * key by now.
 */
#define CONNECT_TIMEOUT_MS 3000
/* The same if the peer's key is a guess, after which the next key is tried. */
#define GUESSED_KEY_TIMEOUT_MS 1000
/*
 * A link that goes silent while messages are sent is closed when its bytes stay
 * unacknowledged for TCP_TIMEOUT_MS. The heartbeat is for the receiver, which
 * never sends and would keep the connections of peers that have vanished. Its
 * interval is long: with 1,399 links each way, one heartbeat a minute would
 * take 14.4 KB/s, all that a node has for control traffic.
 */
#define TCP_TIMEOUT_MS 3000
#define HEARTBEAT_INTERVAL_MS 300000
#define HEARTBEAT_TIMEOUT_MS 10000
#define HANDSHAKE_TIMEOUT_MS 3000
#define RECONNECT_DELAY_MS 50
#define RECONNECT_DELAY_MAX_MS 1000

/* A message that waits until its link is established. */
struct waiting {
	GBytes *header;
	GBytes *body;
	uint64_t queued_at_ms;
};

/*
 * Counts the bytes of bodies that ZeroMQ has not released yet. Shared with
 * ZeroMQ's thread.
 */
struct byte_counter {
	atomic_int refs;
	atomic_long bytes;
};

struct link {
	struct peer *peer;
	char *key; /* in the table of links */
	char endpoint[96];
	char server_key[PEER_KEY_TEXT_SIZE];
	unsigned guess; /* index for guess_key(); used if the key is unknown */
	void *socket;
	struct peer_watch *watch;
	GQueue waiting; /* struct waiting, oldest first */
	size_t waiting_bytes; /* total size of their bodies */
	uint64_t created_at_ms;
	uint64_t used_at_ms; /* time of the last attempt to send */
	uint64_t down_since_ms; /* time of first failed send; 0: none */
	struct byte_counter *unsent; /* bytes that ZeroMQ has not sent yet */
};

struct peer_links {
	struct peer *peer;
	GHashTable *table; /* name, or host and port of a seed -> link */
	uv_timer_t *sweep;
};

static void byte_counter_unref(struct byte_counter *c)
{
	if (atomic_fetch_sub(&c->refs, 1) == 1)
		g_free(c);
}

/* A body that is sent without a copy, until ZeroMQ releases it. */
struct shared_body {
	GBytes *bytes;
	struct byte_counter *unsent;
};

/* Called on ZeroMQ's thread when it no longer needs a body. */
static void release_body(void *data, void *hint)
{
	struct shared_body *h = hint;

	(void)data;
	atomic_fetch_sub(&h->unsent->bytes, (long)g_bytes_get_size(h->bytes));
	byte_counter_unref(h->unsent);
	g_bytes_unref(h->bytes);
	g_free(h);
}

static void init_shared(zmq_msg_t *msg, struct byte_counter *counter,
			GBytes *bytes)
{
	struct shared_body *h = g_new(struct shared_body, 1);
	gsize len;
	/* ZeroMQ's parameter is not const, but it doesn't write. */
	void *data = (void *)g_bytes_get_data(bytes, &len);

	h->bytes = g_bytes_ref(bytes);
	h->unsent = counter;
	atomic_fetch_add(&counter->refs, 1);
	atomic_fetch_add(&counter->bytes, (long)len);
	zmq_msg_init_data(msg, data, len, release_body, h);
}

static void init_copied(zmq_msg_t *msg, GBytes *bytes)
{
	struct str s = str_from_bytes(bytes);

	zmq_msg_init_size(msg, s.len);
	memcpy(zmq_msg_data(msg), s.data, s.len);
}

static bool send_frame(struct link *l, GBytes *bytes, int flags)
{
	zmq_msg_t msg;

	if (g_bytes_get_size(bytes) < ZERO_COPY_SIZE_MIN)
		init_copied(&msg, bytes);
	else
		init_shared(&msg, l->unsent, bytes);
	if (zmq_msg_send(&msg, l->socket, flags | ZMQ_DONTWAIT) >= 0)
		return true;
	zmq_msg_close(&msg);
	return false;
}

/*
 * Sends both frames or none: once ZeroMQ has taken the first it takes the
 * second too.
 */
static bool send_now(struct link *l, GBytes *header, GBytes *body)
{
	if (!send_frame(l, header, ZMQ_SNDMORE))
		return false;
	if (!send_frame(l, body, 0)) {
		LOG_WARN("only the header of a message to %s was sent: %s",
			 l->endpoint, zmq_strerror(zmq_errno()));
		return false;
	}
	l->down_since_ms = 0;
	return true;
}

static void waiting_free(struct link *l, struct waiting *w)
{
	l->waiting_bytes -= g_bytes_get_size(w->body);
	g_bytes_unref(w->header);
	g_bytes_unref(w->body);
	g_free(w);
}

/*
 * Drops messages that have waited too long: the sender has given up by then,
 * and a request delivered late would be executed although nobody waits for it.
 */
static void drop_old(struct link *l)
{
	uint64_t now = uv_now(l->peer->loop);
	struct waiting *w;

	while ((w = g_queue_peek_head(&l->waiting)) &&
	       now - w->queued_at_ms > WAITING_TIMEOUT_MS)
		waiting_free(l, g_queue_pop_head(&l->waiting));
}

/* Sends waiting messages in order, as many as the socket takes. */
static void send_waiting(struct link *l)
{
	struct waiting *w;

	drop_old(l);
	while ((w = g_queue_peek_head(&l->waiting)) &&
	       send_now(l, w->header, w->body))
		waiting_free(l, g_queue_pop_head(&l->waiting));
	if (l->waiting.length)
		peer_watch_start(l->watch);
	else
		peer_watch_stop(l->watch);
}

static void on_link_changed(void *data)
{
	struct link *l = data;
	size_t len = sizeof(int);
	int events = 0;

	/* Reading the events also clears the signal of the descriptor. */
	zmq_getsockopt(l->socket, ZMQ_EVENTS, &events, &len);
	if (events & ZMQ_POLLOUT)
		send_waiting(l);
}

static bool queue_message(struct link *l, GBytes *header, GBytes *body)
{
	uint64_t now = uv_now(l->peer->loop);
	struct waiting *w;

	if (!l->down_since_ms)
		l->down_since_ms = now ? now : 1;
	drop_old(l);
	if (now - l->down_since_ms > WAITING_TIMEOUT_MS ||
	    l->waiting.length >= WAITING_MESSAGES_MAX ||
	    l->waiting_bytes + g_bytes_get_size(body) > WAITING_BYTES_MAX)
		return false;
	w = g_new(struct waiting, 1);
	w->header = g_bytes_ref(header);
	w->body = g_bytes_ref(body);
	w->queued_at_ms = now;
	l->waiting_bytes += g_bytes_get_size(body);
	g_queue_push_tail(&l->waiting, w);
	peer_watch_start(l->watch);
	return true;
}

static bool link_send(struct link *l, GBytes *header, GBytes *body)
{
	l->used_at_ms = uv_now(l->peer->loop);
	if (atomic_load(&l->unsent->bytes) > ZERO_COPY_UNSENT_MAX)
		return false;
	if (l->waiting.length)
		send_waiting(l);
	if (!l->waiting.length && send_now(l, header, body))
		return true;
	return queue_message(l, header, body);
}

static void link_destroy(void *data)
{
	struct link *l = data;

	while (l->waiting.length)
		waiting_free(l, g_queue_pop_head(&l->waiting));
	peer_watch_close(l->watch);
	if (l->socket)
		zmq_close(l->socket);
	byte_counter_unref(l->unsent);
	g_free(l->key);
	g_free(l);
}

/*
 * ZMQ_IMMEDIATE: ZeroMQ queues messages only for established connections, so a
 * restarted peer does not get messages that were meant for its predecessor.
 */
static bool set_options(void *socket, bool v6)
{
	return peer_set_option(socket, ZMQ_LINGER, 0) &&
	       peer_set_option(socket, ZMQ_IMMEDIATE, 1) &&
	       peer_set_option(socket, ZMQ_IPV6, v6) &&
	       peer_set_option(socket, ZMQ_SNDHWM, QUEUE_MESSAGES_MAX) &&
	       peer_set_option(socket, ZMQ_RCVHWM, 1) &&
	       peer_set_option(socket, ZMQ_HANDSHAKE_IVL,
			       HANDSHAKE_TIMEOUT_MS) &&
	       peer_set_option(socket, ZMQ_RECONNECT_IVL, RECONNECT_DELAY_MS) &&
	       peer_set_option(socket, ZMQ_RECONNECT_IVL_MAX,
			       RECONNECT_DELAY_MAX_MS) &&
	       peer_set_option(socket, ZMQ_HEARTBEAT_IVL,
			       HEARTBEAT_INTERVAL_MS) &&
	       peer_set_option(socket, ZMQ_HEARTBEAT_TIMEOUT,
			       HEARTBEAT_TIMEOUT_MS) &&
	       peer_set_option(socket, ZMQ_HEARTBEAT_TTL,
			       HEARTBEAT_INTERVAL_MS + HEARTBEAT_TIMEOUT_MS) &&
	       peer_set_option(socket, ZMQ_TCP_MAXRT, TCP_TIMEOUT_MS);
}

static bool link_open(struct link *l)
{
	struct peer *p = l->peer;

	l->socket = zmq_socket(p->context, ZMQ_DEALER);
	if (!l->socket || !set_options(l->socket, l->endpoint[6] == '['))
		return false;
	if (p->encrypted && !peer_auth_client(p, l->socket, l->server_key))
		return false;
	l->watch = peer_watch_create(p->loop, l->socket, on_link_changed, l);
	return l->watch && !zmq_connect(l->socket, l->endpoint);
}

static void write_endpoint(const struct member_info *to, char *out, size_t room)
{
	bool v6 = strchr(to->host, ':');

	g_snprintf(out, room, v6 ? "tcp://[%s]:%u" : "tcp://%s:%u", to->host,
		   to->peer_port);
}

/*
 * Returns the key to try: first this node's own, which most nodes share, then
 * the allowed keys in turn.
 */
static const char *guess_key(const struct peer_keys *keys, unsigned guess)
{
	char **allowed = keys->allowed;
	unsigned n = g_strv_length(allowed);

	if (!guess || !n)
		return keys->public;
	return allowed[(guess - 1) % n];
}

/*
 * Sets the key that the peer has to present. Of a seed only the address is
 * known: it has one of the allowed keys, which are tried in turn. Each seed has
 * an index of its own: with a shared one, two seeds with two different keys
 * might never be tried with the right ones.
 */
static void choose_key(struct peer_links *links, struct link *l,
		       const struct member_info *to)
{
	if (to->curve_public[0])
		g_strlcpy(l->server_key, to->curve_public, PEER_KEY_TEXT_SIZE);
	else if (links->peer->encrypted)
		g_strlcpy(l->server_key,
			  guess_key(&links->peer->keys, l->guess),
			  PEER_KEY_TEXT_SIZE);
}

static struct link *link_create(struct peer_links *links,
				const struct member_info *to, const char *key,
				unsigned guess)
{
	struct link *l = g_new0(struct link, 1);

	l->peer = links->peer;
	l->guess = guess;
	l->key = g_strdup(key);
	l->created_at_ms = uv_now(l->peer->loop);
	l->unsent = g_new0(struct byte_counter, 1);
	atomic_init(&l->unsent->refs, 1);
	write_endpoint(to, l->endpoint, sizeof(l->endpoint));
	choose_key(links, l, to);
	if (!link_open(l)) {
		LOG_WARN("link to %s: %s", l->endpoint,
			 zmq_strerror(zmq_errno()));
		link_destroy(l);
		return NULL;
	}
	g_hash_table_insert(links->table, l->key, l);
	return l;
}

/* Whether the link has the member's current address and key. */
static bool is_current(const struct link *l, const struct member_info *to)
{
	char endpoint[sizeof(l->endpoint)];

	write_endpoint(to, endpoint, sizeof(endpoint));
	if (strcmp(endpoint, l->endpoint) != 0)
		return false;
	return !l->peer->encrypted || !to->curve_public[0] ||
	       !strcmp(to->curve_public, l->server_key);
}

static bool connect_timed_out(const struct link *l,
			      const struct member_info *to)
{
	uint64_t since = MAX(l->created_at_ms, l->down_since_ms);
	bool guessed = l->peer->encrypted && !to->curve_public[0];

	return l->down_since_ms &&
	       uv_now(l->peer->loop) - since >
		       (guessed ? GUESSED_KEY_TIMEOUT_MS : CONNECT_TIMEOUT_MS);
}

/*
 * Moves the waiting messages to the link that replaces another. A request may
 * arrive from a process that has just taken over a name, before its new address
 * and key are known here. Its answer then waits on the old link; if it were
 * dropped with that link, the entry proxy would wait until its deadline.
 */
static void move_waiting(struct link *l, struct link *from)
{
	struct waiting *w;

	while ((w = g_queue_pop_head(&from->waiting))) {
		from->waiting_bytes -= g_bytes_get_size(w->body);
		l->waiting_bytes += g_bytes_get_size(w->body);
		g_queue_push_tail(&l->waiting, w);
	}
	if (l->waiting.length)
		peer_watch_start(l->watch);
}

static struct link *find_link(struct peer_links *links,
			      const struct member_info *to)
{
	char address[96];
	const char *key = to->name;
	struct link *old, *l;

	if (!key[0]) {
		write_endpoint(to, address, sizeof(address));
		key = address;
	}
	old = g_hash_table_lookup(links->table, key);
	if (old && is_current(old, to) && !connect_timed_out(old, to))
		return old;
	if (old)
		g_hash_table_steal(links->table, key);
	l = link_create(links, to, key, old ? old->guess + 1 : 0);
	if (l && old)
		move_waiting(l, old);
	if (old)
		link_destroy(old);
	return l;
}

static gboolean is_idle(gpointer key, gpointer value, gpointer now)
{
	struct link *l = value;

	(void)key;
	return *(uint64_t *)now - l->used_at_ms > IDLE_TIMEOUT_MS;
}

static void on_sweep(uv_timer_t *timer)
{
	struct peer_links *links = timer->data;
	uint64_t now = uv_now(timer->loop);

	g_hash_table_foreach_remove(links->table, is_idle, &now);
}

/* Creates an empty table of links. */
struct peer_links *peer_links_create(struct peer *p)
{
	struct peer_links *links = g_new0(struct peer_links, 1);

	links->peer = p;
	links->table = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     link_destroy);
	links->sweep = g_new0(uv_timer_t, 1);
	uv_timer_init(p->loop, links->sweep);
	links->sweep->data = links;
	uv_timer_start(links->sweep, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
	return links;
}

static void free_timer(uv_handle_t *handle)
{
	g_free(handle);
}

/* Closes every link; drops the waiting messages. NULL is ignored. */
void peer_links_destroy(struct peer_links *links)
{
	if (!links)
		return;
	uv_close((uv_handle_t *)links->sweep, free_timer);
	g_hash_table_destroy(links->table);
	g_free(links);
}

/*
 * Sends a message, or queues it for up to one second while the link is being
 * established. The body's bytes may be freed on ZeroMQ's thread. Returns false
 * if the queue to the peer is full or the peer cannot be reached.
 */
bool peer_send(struct peer *p, const struct member_info *to,
	       enum peer_kind kind, uint64_t correlation, GBytes *body)
{
	struct link *l = find_link(p->links, to);
	GBytes *header;
	bool sent;

	if (!l)
		return false;
	header = peer_header_pack(p, kind, correlation);
	sent = link_send(l, header, body);
	if (sent)
		p->sent[kind] +=
			g_bytes_get_size(header) + g_bytes_get_size(body);
	g_bytes_unref(header);
	return sent;
}

/*
 * A member may have changed: if its link has an outdated address or key,
 * replaces the link and moves the waiting messages to the new one at once.
 */
void peer_update_link(struct peer *p, const struct member_info *member)
{
	struct link *l = g_hash_table_lookup(p->links->table, member->name);

	if (l && !is_current(l, member))
		find_link(p->links, member);
}

/* Closes the link to a member; the next message opens a new one. */
void peer_close_link(struct peer *p, const char *name)
{
	g_hash_table_remove(p->links->table, name);
}
