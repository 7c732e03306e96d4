#ifndef CELERYQUAY_TRANSPORT_PEER_H
#define CELERYQUAY_TRANSPORT_PEER_H

/*
 * Messages between proxies over ZeroMQ: one bound ROUTER socket to receive, one
 * DEALER socket per member to send. If keys are set, CURVE authenticates and
 * encrypts both directions, and only messages under an allowed public key are
 * accepted. Messages may be lost when a peer is down; a sender that needs an
 * answer has to use a timeout.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <celeryquay/core/member.h>
#include <uv.h>

enum peer_kind {
	PEER_GOSSIP = 1,
	PEER_CONF = 2,
	PEER_REQUEST = 3,
	PEER_ANSWER = 4,
	PEER_ADMIN = 5,
};

struct peer;

struct peer_settings {
	const char *host; /* numeric address to bind */
	uint16_t port; /* port to bind; 0: chosen by the kernel */
	const char *name; /* this node's name */
	uint64_t incarnation; /* of this process; changes with a restart */
	/* Z85 keys of 40 characters; all NULL: no encryption. */
	const char *curve_secret;
	const char *curve_public;
	/*
	 * Public keys that may connect, NULL-terminated; two during a key
	 * rotation. NULL or empty: only this node's own key.
	 */
	const char *const *allowed;
};

struct peer_events {
	/*
	 * A message has arrived. from: the name that the sender, whose key has
	 * been authenticated, gives itself. body is valid during the call.
	 */
	void (*message)(void *ctx, enum peer_kind kind, const char *from,
			uint64_t correlation, struct str body);
};

struct peer *peer_create(uv_loop_t *loop, const struct peer_settings *settings,
			 const struct peer_events *events, void *ctx,
			 struct err *err);
void peer_destroy(struct peer *p);
uint16_t peer_port(const struct peer *p);
/*
 * Connects on first use. False when the queue to that peer is full or the peer
 * cannot be reached.
 */
bool peer_send(struct peer *p, const struct member_info *to,
	       enum peer_kind kind, uint64_t correlation, GBytes *body);
/*
 * A member may have another address or key: its waiting messages are moved to a
 * new link.
 */
void peer_update_link(struct peer *p, const struct member_info *member);
/* A member has left or restarted as a new incarnation: closes the link. */
void peer_close_link(struct peer *p, const char *name);
bool peer_set_allowed(struct peer *p, const char *const *allowed);
uint64_t peer_bytes_sent(const struct peer *p, enum peer_kind kind);
uint64_t peer_bytes_received(const struct peer *p, enum peer_kind kind);

#endif
