#ifndef CELERYQUAY_TRANSPORT_PEER_PRIVATE_H
#define CELERYQUAY_TRANSPORT_PEER_PRIVATE_H

/* Declarations shared by the peer_*.c files. */

#include <celeryquay/transport/peer.h>

/* Version of the protocol, sent in every header. */
#define PEER_PROTOCOL 1
/* Size of an array indexed by enum peer_kind. */
#define PEER_KINDS_SIZE (PEER_ADMIN + 1)
/* Size of a buffer for a node's name, with its NUL. */
#define PEER_NAME_SIZE 64
/* Sizes of a key: as Z85 text with its NUL, and in binary. */
#define PEER_KEY_TEXT_SIZE 41
#define PEER_KEY_BYTES 32

/*
 * Watches a ZeroMQ socket's descriptor on the loop. Freed by the loop after
 * peer_watch_close(), when the socket's owner may be gone already.
 */
struct peer_watch {
	uv_poll_t poll;
	void (*ready)(void *data); /* called when the descriptor is readable */
	void *data; /* NULL after peer_watch_close() */
};

struct peer_keys {
	char secret[PEER_KEY_TEXT_SIZE];
	char public[PEER_KEY_TEXT_SIZE];
	char **allowed; /* Z85, NULL-ended */
};

struct peer_links;

struct peer {
	uv_loop_t *loop;
	void *context; /* ZeroMQ context */
	void *router; /* socket that receives the peers' messages */
	void *zap; /* socket of the ZAP handler; NULL without encryption */
	struct peer_watch *router_watch;
	struct peer_watch *zap_watch;
	uv_idle_t *resume_idle; /* active while messages are left to receive */
	struct peer_links *links;
	struct peer_events events;
	void *ctx;
	char name[PEER_NAME_SIZE];
	uint64_t incarnation;
	uint16_t port; /* port that the router is bound to */
	bool encrypted;
	struct peer_keys keys;
	/* Bytes of headers and bodies, by kind of message. */
	uint64_t sent[PEER_KINDS_SIZE];
	uint64_t received[PEER_KINDS_SIZE];
};

struct peer_header {
	enum peer_kind kind;
	char from[PEER_NAME_SIZE]; /* the sender's name */
	uint64_t incarnation; /* the sender's incarnation */
	uint64_t correlation;
};

/* peer_watch.c */
struct peer_watch *peer_watch_create(uv_loop_t *loop, void *socket,
				     void (*ready)(void *), void *data);
void peer_watch_start(struct peer_watch *w);
void peer_watch_stop(struct peer_watch *w);
void peer_watch_close(struct peer_watch *w);
bool peer_set_option(void *socket, int option, int value);

/* peer_header.c */
GBytes *peer_header_pack(const struct peer *p, enum peer_kind kind,
			 uint64_t correlation);
bool peer_header_unpack(const struct peer *p, struct str data,
			struct peer_header *out);

/* peer_auth.c */
bool peer_auth_open(struct peer *p, struct err *err);
bool peer_auth_server(struct peer *p, void *socket);
bool peer_auth_client(struct peer *p, void *socket, const char *server_key);
bool peer_auth_is_allowed(const struct peer *p, const char *key);

/* peer_link.c */
struct peer_links *peer_links_create(struct peer *p);
void peer_links_destroy(struct peer_links *links);

#endif
