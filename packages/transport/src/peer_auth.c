#include "peer_private.h"

#include <string.h>
#include <zmq.h>

#define LOG_MODULE "peer"
#include <celeryquay/base/log.h>

/* ZeroMQ's authentication protocol, ZAP 1.0. */
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_DOMAIN "celeryquay"
/* Frames kept of a request, and bytes of a frame with its NUL. */
#define ZAP_FRAMES_MAX 16
#define ZAP_FRAME_SIZE 256

enum zap_frame {
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_DOMAIN_NAME,
	ZAP_ADDRESS,
	ZAP_IDENTITY,
	ZAP_MECHANISM,
	ZAP_CREDENTIALS,
	ZAP_FRAMES,
};

struct zap_request {
	unsigned n;
	size_t len[ZAP_FRAMES_MAX];
	char frames[ZAP_FRAMES_MAX][ZAP_FRAME_SIZE];
};

/* Receives all frames of one request; false when there is none. */
static bool receive(void *socket, struct zap_request *out)
{
	size_t size = sizeof(int);
	int more = 1;
	int n;

	memset(out, 0, sizeof(*out));
	while (more) {
		char spare[ZAP_FRAME_SIZE];
		bool room = out->n < ZAP_FRAMES_MAX;
		char *to = room ? out->frames[out->n] : spare;

		n = zmq_recv(socket, to, ZAP_FRAME_SIZE - 1, ZMQ_DONTWAIT);
		if (n < 0)
			return false;
		if (room)
			out->len[out->n++] = MIN((size_t)n, ZAP_FRAME_SIZE - 1);
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

static bool key_text(const struct zap_request *r, char *out)
{
	if (r->n != ZAP_FRAMES ||
	    strcmp(r->frames[ZAP_MECHANISM], "CURVE") != 0 ||
	    r->len[ZAP_CREDENTIALS] != PEER_KEY_BYTES)
		return false;
	return zmq_z85_encode(out, (const uint8_t *)r->frames[ZAP_CREDENTIALS],
			      PEER_KEY_BYTES) != NULL;
}

static void reply(void *socket, const struct zap_request *r, bool allowed,
		  const char *key)
{
	const char *status = allowed ? "200" : "400";
	const char *text = allowed ? "OK" : "key is not allowed";

	zmq_send(socket, "1.0", 3, ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(socket, r->frames[ZAP_REQUEST_ID], r->len[ZAP_REQUEST_ID],
		 ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(socket, status, strlen(status), ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(socket, text, strlen(text), ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(socket, key, strlen(key), ZMQ_SNDMORE | ZMQ_DONTWAIT);
	zmq_send(socket, "", 0, ZMQ_DONTWAIT);
}

/* Whether messages under this public key are accepted now. */
bool peer_auth_is_allowed(const struct peer *p, const char *key)
{
	char **allowed = p->keys.allowed;

	return key && g_strv_contains((const char *const *)allowed, key);
}

/* Accepts or refuses every connection whose handshake is pending. */
static void on_zap(void *data)
{
	struct peer *p = data;
	struct zap_request r;

	while (receive(p->zap, &r)) {
		char key[PEER_KEY_TEXT_SIZE] = "";
		bool allowed = key_text(&r, key) &&
			       peer_auth_is_allowed(p, key);

		if (!allowed)
			LOG_WARN("connection from %s refused, key '%s'",
				 r.frames[ZAP_ADDRESS], key);
		reply(p->zap, &r, allowed, allowed ? key : "");
	}
}

/*
 * Binds the ZAP handler, which decides which keys may connect. It must be bound
 * before the first socket listens: without a handler ZeroMQ accepts every
 * key.
 */
bool peer_auth_open(struct peer *p, struct err *err)
{
	p->zap = zmq_socket(p->context, ZMQ_REP);
	if (!p->zap || !peer_set_option(p->zap, ZMQ_LINGER, 0) ||
	    zmq_bind(p->zap, ZAP_ENDPOINT)) {
		err_set(err, ERR_SYSTEM, "authentication of peers: %s",
			zmq_strerror(zmq_errno()));
		return false;
	}
	p->zap_watch = peer_watch_create(p->loop, p->zap, on_zap, p);
	if (!p->zap_watch) {
		err_set(err, ERR_SYSTEM,
			"authentication of peers: cannot watch the socket");
		return false;
	}
	peer_watch_start(p->zap_watch);
	return true;
}

/* Makes a socket require CURVE authentication of connecting peers. */
bool peer_auth_server(struct peer *p, void *socket)
{
	return peer_set_option(socket, ZMQ_CURVE_SERVER, 1) &&
	       !zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, p->keys.secret,
			       PEER_KEY_TEXT_SIZE) &&
	       !zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, ZAP_DOMAIN,
			       strlen(ZAP_DOMAIN));
}

/* Makes a socket present this node's key and require the server's key. */
bool peer_auth_client(struct peer *p, void *socket, const char *server_key)
{
	return !zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server_key,
			       PEER_KEY_TEXT_SIZE) &&
	       !zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, p->keys.public,
			       PEER_KEY_TEXT_SIZE) &&
	       !zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, p->keys.secret,
			       PEER_KEY_TEXT_SIZE);
}
