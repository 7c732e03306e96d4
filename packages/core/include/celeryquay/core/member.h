#ifndef CELERYQUAY_CORE_MEMBER_H
#define CELERYQUAY_CORE_MEMBER_H

/*
 * Failure detection and membership of the proxies, in the manner of SWIM: each
 * node probes a few others, asks further nodes to probe indirectly before it
 * suspects a member, and piggybacks changes on these messages (gossip). An
 * incarnation number tells a restarted node from its earlier process. The bytes
 * sent per second are bounded whatever the size of the fleet. No guarantee
 * depends on the result: the views of two nodes may differ for a while.
 */

#include <celeryquay/core/types.h>

enum member_state {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_LEAVING,
	MEMBER_LEFT,
	MEMBER_DEAD,
};

struct member_info {
	char name[64];
	char host[64]; /* numeric address, for connections from peers */
	uint16_t peer_port;
	char data_centre[32];
	char region[32];
	char curve_public[41]; /* Z85, empty without encryption */
	/*
	 * Start time of the process in ms since 1970; a member raises its own
	 * to refute a false claim about itself.
	 */
	uint64_t incarnation;
	unsigned version_min; /* range of peer protocol versions it speaks */
	unsigned version_max;
	enum member_state state;
};

struct members;

/* The callbacks may only read from struct members, not change it. */
struct member_ops {
	/*
	 * Sends one gossip message, which may be lost. For a seed whose name is
	 * not yet known, to->name is its address as host:port.
	 */
	void (*send)(void *ctx, const struct member_info *to, GBytes *message);
	/*
	 * Another member was added, changed its state, or was replaced by a new
	 * process of the same name. Not called for this node itself.
	 */
	void (*changed)(void *ctx, const struct member_info *member);
};

struct member_settings {
	uint64_t probe_interval_us; /* one member is probed per interval */
	uint64_t probe_timeout_us; /* then others are asked to probe */
	/*
	 * Shortest time from suspicion to dead for up to 10 members; grows with
	 * the logarithm of their number.
	 */
	uint64_t suspect_timeout_us;
	/* Members that are dead or have left are removed after this time. */
	uint64_t dead_retention_us;
	/* Between pings to a dead member; twice that between pings to seeds. */
	uint64_t dead_probe_interval_us;
	/* Between rounds of gossip messages while changes are queued. */
	uint64_t gossip_interval_us;
	uint64_t sync_interval_us; /* between comparisons of whole tables */
	unsigned indirect_probes; /* members asked to probe a silent one */
	unsigned gossip_fanout; /* receivers per gossip round */
	unsigned max_message_bytes;
	/* Gossip and table repairs wait once it is used up; probes do not. */
	unsigned max_bytes_per_s;
	/* At which a starting node requests the table from another member. */
	unsigned max_join_bytes_per_s;
};

void member_settings_default(struct member_settings *s);

struct members *members_create(const struct member_settings *settings,
			       const struct member_info *self,
			       const struct member_ops *ops, void *ctx,
			       GRand *rng, uint64_t now_us);
void members_destroy(struct members *m);
/* Adds a seed's address, from the settings or the platform's list. */
void members_add_seed(struct members *m, const char *host, uint16_t peer_port,
		      uint64_t now_us);
void members_tick(struct members *m, uint64_t now_us);
/*
 * Handles a gossip message from an authenticated peer. Fails with BAD_MESSAGE
 * if it is malformed; nothing of it is then applied.
 */
bool members_on_message(struct members *m, struct str message, uint64_t now_us,
			struct err *err);
/* Other traffic from the member shows that it is alive. */
void members_on_alive(struct members *m, const char *name, uint64_t now_us);
/* Announces that this node is leaving, so that it is given no new work. */
void members_leave(struct members *m, uint64_t now_us);
/* Announces to a few members that the process exits; call it last. */
void members_announce_exit(struct members *m, uint64_t now_us);
/*
 * Whether the table is complete enough to place work by: it was fetched from
 * another member, or there is no seed, or none answered for some seconds.
 */
bool members_joined(const struct members *m);
/* Counts the calls of ops->changed and this node's own changes of state. */
uint64_t members_change_count(const struct members *m);
unsigned members_count(const struct members *m);
/* Ordered by name, this node included. NULL past the end. */
const struct member_info *members_at(const struct members *m, unsigned i);
/*
 * The few members with which this node regularly exchanges probes and gossip,
 * so that a connection to them stays open. NULL past the end; valid until the
 * next tick.
 */
unsigned members_neighbour_count(const struct members *m);
const struct member_info *members_neighbour(const struct members *m,
					    unsigned i);
const struct member_info *members_find(const struct members *m,
				       const char *name);
const struct member_info *members_self(const struct members *m);
/* Whether the member may be given work: it is alive or suspect. */
bool member_is_live(const struct member_info *m);
uint64_t members_bytes_sent(const struct members *m);

#endif
