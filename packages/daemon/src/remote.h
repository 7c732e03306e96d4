#ifndef CELERYQUAY_DAEMON_REMOTE_H
#define CELERYQUAY_DAEMON_REMOTE_H

/*
 * Messages from the other proxies: dispatches them by kind, runs requests that
 * they forward to a home here, and keeps track of which peers still respond.
 */

#include "node.h"

struct remote;

struct remote *remote_create(struct node *node);
void remote_destroy(struct remote *r);
extern const struct peer_events remote_peer_events;
enum peer_liveness {
	PEER_ALIVE,
	/* Silent, dead or no member: what it was sent may still be running. */
	PEER_SILENT,
	PEER_GONE, /* it left or restarted: all that it ran has ended */
};

/*
 * Whether a peer still responds that was sent a request at sent_at_us, when its
 * incarnation was known to be this one. Pings it when in doubt.
 */
enum peer_liveness remote_peer_liveness(struct remote *r, const char *name,
					uint64_t incarnation,
					uint64_t sent_at_us, uint64_t now_us);
void remote_tick(struct remote *r, uint64_t now_us);
bool remote_idle(const struct remote *r);
/* Sends an admin message to another proxy; it may be lost. */
void remote_send_admin_message(struct remote *r, const struct member_info *to,
			       uint64_t correlation, const char *word);

#endif
