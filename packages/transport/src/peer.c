#include "peer_private.h"

#include <string.h>
#include <zmq.h>

#define LOG_MODULE "peer"
#include <celeryquay/base/log.h>

/* Maximum number of sockets in the context; each link takes one. */
#define SOCKETS_MAX 8192
/* Maximum number of messages that ZeroMQ queues for each sending peer. */
#define QUEUE_MESSAGES_MAX 1000
#define MESSAGE_BYTES_MAX (64LL * 1024 * 1024)
#define HANDSHAKE_TIMEOUT_MS 3000
#define LISTEN_BACKLOG 4096
/*
 * Maximum number of messages delivered in one iteration of the loop. The rest
 * follows in the next one, so that other sockets are served in between.
 */
#define MESSAGES_PER_ITERATION_MAX 128
/* Frames of a message: id of the connection, header, body. */
#define FRAMES 3
/* Message property with the sender's key, as set by the ZAP handler. */
#define USER_ID_PROPERTY "User-Id"

struct received {
	zmq_msg_t frames[FRAMES + 1]; /* the last one for surplus frames */
	unsigned n; /* frames kept, at most FRAMES */
	bool well_formed; /* the message has exactly three frames */
};

static struct str frame(struct received *r, unsigned i)
{
	return (struct str){ .data = zmq_msg_data(&r->frames[i]),
			     .len = zmq_msg_size(&r->frames[i]) };
}

static void received_clear(struct received *r)
{
	while (r->n)
		zmq_msg_close(&r->frames[--r->n]);
}

/* Receives one message; false when there is none. */
static bool receive(void *socket, struct received *r)
{
	bool more = true;

	memset(r, 0, sizeof(*r));
	r->well_formed = true;
	while (more) {
		zmq_msg_t *msg = &r->frames[r->n];

		zmq_msg_init(msg);
		if (zmq_msg_recv(msg, socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(msg);
			return false;
		}
		more = zmq_msg_more(msg);
		if (r->n < FRAMES) {
			r->n++;
			continue;
		}
		zmq_msg_close(msg);
		r->well_formed = false;
	}
	r->well_formed = r->well_formed && r->n == FRAMES;
	return true;
}

/*
 * Whether the message was sent under a key that is allowed now. A key removed
 * from the list must lose its effect at once, but connections made under it
 * stay open, so the key is checked for each message.
 */
static bool is_allowed(struct peer *p, struct received *r)
{
	if (!p->encrypted)
		return true;
	return peer_auth_is_allowed(p, zmq_msg_gets(&r->frames[1],
						    USER_ID_PROPERTY));
}

static void deliver(struct peer *p, struct received *r)
{
	struct peer_header h;

	if (!r->well_formed || !is_allowed(p, r) ||
	    !peer_header_unpack(p, frame(r, 1), &h)) {
		LOG_DBG("malformed or unauthorized message of %u frames dropped",
			r->n);
		return;
	}
	p->received[h.kind] += frame(r, 1).len + frame(r, 2).len;
	p->events.message(p->ctx, h.kind, h.from, h.correlation, frame(r, 2));
}

static void on_router(void *data);

static void on_resume(uv_idle_t *idle)
{
	uv_idle_stop(idle);
	on_router(idle->data);
}

static void on_router(void *data)
{
	struct peer *p = data;
	unsigned n;

	for (n = 0; n < MESSAGES_PER_ITERATION_MAX; n++) {
		struct received r;
		bool got = receive(p->router, &r);

		if (got)
			deliver(p, &r);
		received_clear(&r);
		if (!got)
			return;
	}
	/*
	 * The descriptor may not signal the messages that are left, so they
	 * are received in the loop's next iteration.
	 */
	uv_idle_start(p->resume_idle, on_resume);
}

static bool set_keys(struct peer *p, const struct peer_settings *s,
		     struct err *err)
{
	p->encrypted = s->curve_secret != NULL;
	if (!p->encrypted)
		return true;
	if (!s->curve_public ||
	    strlen(s->curve_secret) != PEER_KEY_TEXT_SIZE - 1 ||
	    strlen(s->curve_public) != PEER_KEY_TEXT_SIZE - 1) {
		err_set(err, ERR_BAD_SETTINGS,
			"the peers' keys must have 40 characters each");
		return false;
	}
	g_strlcpy(p->keys.secret, s->curve_secret, PEER_KEY_TEXT_SIZE);
	g_strlcpy(p->keys.public, s->curve_public, PEER_KEY_TEXT_SIZE);
	return peer_set_allowed(p, s->allowed) && peer_auth_open(p, err);
}

static bool set_options(struct peer *p, const struct peer_settings *s)
{
	int64_t bytes = MESSAGE_BYTES_MAX;
	bool v6 = strchr(s->host, ':');

	return peer_set_option(p->router, ZMQ_LINGER, 0) &&
	       peer_set_option(p->router, ZMQ_IPV6, v6) &&
	       peer_set_option(p->router, ZMQ_RCVHWM, QUEUE_MESSAGES_MAX) &&
	       peer_set_option(p->router, ZMQ_BACKLOG, LISTEN_BACKLOG) &&
	       peer_set_option(p->router, ZMQ_HANDSHAKE_IVL,
			       HANDSHAKE_TIMEOUT_MS) &&
	       !zmq_setsockopt(p->router, ZMQ_MAXMSGSIZE, &bytes,
			       sizeof(bytes)) &&
	       (!p->encrypted || peer_auth_server(p, p->router));
}

static bool bind_router(struct peer *p, const struct peer_settings *s)
{
	char endpoint[96];
	size_t len = sizeof(endpoint);
	const char *colon;

	g_snprintf(endpoint, sizeof(endpoint),
		   strchr(s->host, ':') ? "tcp://[%s]:%u" : "tcp://%s:%u",
		   s->host, s->port);
	if (zmq_bind(p->router, endpoint) ||
	    zmq_getsockopt(p->router, ZMQ_LAST_ENDPOINT, endpoint, &len))
		return false;
	colon = strrchr(endpoint, ':');
	p->port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
	return true;
}

static bool open_router(struct peer *p, const struct peer_settings *s,
			struct err *err)
{
	p->router = zmq_socket(p->context, ZMQ_ROUTER);
	if (!p->router || !set_options(p, s) || !bind_router(p, s)) {
		err_set(err, ERR_SYSTEM, "listen for peers on %s:%u: %s",
			s->host, s->port, zmq_strerror(zmq_errno()));
		return false;
	}
	p->router_watch = peer_watch_create(p->loop, p->router, on_router, p);
	if (!p->router_watch) {
		err_set(err, ERR_SYSTEM,
			"listen for peers: cannot watch the socket");
		return false;
	}
	peer_watch_start(p->router_watch);
	return true;
}

/*
 * Listens for the other proxies. Returns NULL with BAD_SETTINGS for a malformed
 * key, with SYSTEM when the address cannot be used. With keys but no list of
 * allowed ones, only this node's own key is allowed.
 */
struct peer *peer_create(uv_loop_t *loop, const struct peer_settings *settings,
			 const struct peer_events *events, void *ctx,
			 struct err *err)
{
	struct peer *p = g_new0(struct peer, 1);

	p->loop = loop;
	p->events = *events;
	p->ctx = ctx;
	p->incarnation = settings->incarnation;
	g_strlcpy(p->name, settings->name, sizeof(p->name));
	p->resume_idle = g_new0(uv_idle_t, 1);
	uv_idle_init(loop, p->resume_idle);
	p->resume_idle->data = p;
	p->links = peer_links_create(p);
	p->context = zmq_ctx_new();
	zmq_ctx_set(p->context, ZMQ_MAX_SOCKETS, SOCKETS_MAX);
	if (!set_keys(p, settings, err) || !open_router(p, settings, err)) {
		peer_destroy(p);
		return NULL;
	}
	return p;
}

static void free_idle(uv_handle_t *handle)
{
	g_free(handle);
}

static void close_socket(void *socket)
{
	if (socket)
		zmq_close(socket);
}

/* Closes every link. Must not be called from within the message event. */
void peer_destroy(struct peer *p)
{
	if (!p)
		return;
	peer_links_destroy(p->links);
	peer_watch_close(p->router_watch);
	peer_watch_close(p->zap_watch);
	uv_close((uv_handle_t *)p->resume_idle, free_idle);
	close_socket(p->router);
	close_socket(p->zap);
	zmq_ctx_term(p->context);
	g_strfreev(p->keys.allowed);
	memset(p->keys.secret, 0, sizeof(p->keys.secret));
	g_free(p);
}

/* Returns the port that the other proxies connect to. */
uint16_t peer_port(const struct peer *p)
{
	return p->port;
}

/*
 * Replaces the list of keys that may connect. For a key rotation, first both
 * keys are allowed on all nodes, then the nodes change to the new one, then the
 * old one is removed. Returns false and keeps the list if a key is malformed.
 */
bool peer_set_allowed(struct peer *p, const char *const *allowed)
{
	const char *own[] = { p->keys.public, NULL };
	unsigned i;

	if (!allowed || !allowed[0])
		allowed = own;
	for (i = 0; allowed[i]; i++) {
		if (strlen(allowed[i]) != PEER_KEY_TEXT_SIZE - 1)
			return false;
	}
	g_strfreev(p->keys.allowed);
	p->keys.allowed = g_strdupv((char **)allowed);
	return true;
}

/* Returns the bytes of headers and bodies accepted for sending. */
uint64_t peer_bytes_sent(const struct peer *p, enum peer_kind kind)
{
	return p->sent[kind];
}

/* Returns the bytes of headers and bodies delivered. */
uint64_t peer_bytes_received(const struct peer *p, enum peer_kind kind)
{
	return p->received[kind];
}
