#ifndef CELERYQUAY_DAEMON_NODE_H
#define CELERYQUAY_DAEMON_NODE_H

/*
 * One proxy: owns the event loop's handles, the cluster state (members,
 * configuration, databases) and the transports, and connects them. Each
 * component has its own file and reaches the others through struct node.
 */

#include "node_settings.h"

#include <celeryquay/base/counter.h>
#include <celeryquay/core/confsync.h>
#include <celeryquay/core/member.h>
#include <celeryquay/core/model.h>
#include <celeryquay/core/upstream.h>
#include <celeryquay/transport/front.h>
#include <celeryquay/transport/pg.h>
#include <celeryquay/transport/peer.h>
#include <celeryquay/transport/store.h>
#include <uv.h>

/* Versions of the protocol between proxies that this one speaks. */
#define PEER_VERSION_MIN 1
#define PEER_VERSION_MAX 1

/*
 * Common head of the user data attached to an HTTP exchange of the front. It
 * must be the first member of that data, because the rest differs between
 * exchanges of callers and of operators.
 */
struct node_waiter {
	/* Called when the client closed the connection; nobody gets a reply. */
	void (*gone)(struct node_waiter *w);
};

struct node {
	const struct node_settings *settings;
	uv_loop_t *loop;
	GRand *rng;
	uint64_t incarnation; /* start time, ms since 1970 */
	char holder[96]; /* "NAME/INCARNATION", unique for each start */
	struct counter_set *counters;
	struct model *model;
	struct members *members;
	struct confsync *confsync;
	struct upstream *upstream;
	struct store *store;
	struct peer *peer;
	struct front *front;
	struct databases *databases;
	struct entry *entry;
	struct remote *remote;
	struct survey *survey;
	struct planned_move *planned_move;
	struct store_sync *store_sync;
	struct admin *admin;
	struct planned_stop *stop;
	uv_timer_t tick;
	uint64_t swept_at_us; /* time of the last sweep, see on_tick() */
};

struct node *node_create(uv_loop_t *loop, const struct node_settings *settings,
			 struct err *err);
void node_destroy(struct node *node);
/* Monotonic clock, in us. */
uint64_t node_now_us(void);
/* Wall clock, in ms since 1970. */
uint64_t node_wall_ms(void);
/* Prints one JSON line on stdout with the process id and the open ports. */
void node_print_ready(const struct node *node);
/* Whether the member is this node. */
bool node_is_self(const struct node *node, const struct member_info *member);

#endif
