#ifndef CELERYQUAY_CORE_MEMBER_INTERNAL_H
#define CELERYQUAY_CORE_MEMBER_INTERNAL_H

/*
 * Internal interface of the membership module. member.c has the public calls;
 * member_table.c the table of members; member_ring.c the choice of neighbours;
 * member_claim.c the rules by which claims change a member's state;
 * member_news.c the queue of changes to pass on; member_probe.c the probes;
 * member_reconnect.c the pings to dead members and seeds; member_sync.c the
 * comparison of whole tables; member_message.c the codec.
 */

#include <celeryquay/core/member.h>

#include "member_pack.h"

#define MEMBER_NAME_MAX (sizeof(((struct member_info *)NULL)->name) - 1)
#define MEMBER_HOST_MAX (sizeof(((struct member_info *)NULL)->host) - 1)
#define MEMBER_LOCATION_MAX (sizeof(((struct member_info *)NULL)->region) - 1)
#define MEMBER_CURVE_LEN 40

/* Rows of the table, so that peers cannot make it grow without bound. */
#define MEMBER_TABLE_MAX 16384
/* Distinct nodes counted as suspecting a member, the first one included. */
#define MEMBER_SUSPECTERS_MAX 4
/*
 * Parts of the table, by name hash, whose digests are compared; message.covered
 * has one bit for each.
 */
#define MEMBER_BUCKETS 64
/* Levels of the gossip queue, by how often an entry has been sent. */
#define MEMBER_GOSSIP_LEVELS 32
/* Rings of all members; the rings after them hold the own region only. */
#define MEMBER_GLOBAL_RINGS 4
#define MEMBER_RINGS 6
#define MEMBER_PROBES_MAX 64
#define MEMBER_RELAYS_MAX 64
#define MEMBER_SEEDS_MAX 256
#define MEMBER_VERIFY_MAX 64
/*
 * Failed probes by this node raise health_penalty up to this, and timeouts are
 * multiplied by 1 + health_penalty.
 */
#define MEMBER_HEALTH_PENALTY_MAX 3

struct member {
	struct member_info info;
	uint32_t hash; /* of the name */
	/* Hash of what a process never changes, computed by the process. */
	uint32_t process_hash;
	uint64_t state_since_us; /* when the state last changed */
	uint64_t heard_at_us; /* last sign of life that this node received */
	uint64_t contradicted_at_us; /* when last sent a claim to refute */
	/* Also set for a leaving member, whose state stays MEMBER_LEAVING. */
	bool suspected;
	unsigned suspect_index; /* in members.suspects */
	uint64_t suspected_at_us; /* start of the suspicion's timeout */
	/* Name hashes of the nodes suspecting it. */
	unsigned n_suspecters;
	uint32_t suspecters[MEMBER_SUSPECTERS_MAX];
	/* Its entry in the gossip queue. */
	struct member *gossip_prev;
	struct member *gossip_next;
	bool gossip_queued;
	bool gossip_full; /* sent as a full claim */
	unsigned gossip_sends; /* times sent, the level of the queue */
	bool verifying; /* in prober.verify */
	bool in_rings;
	uint32_t ring_pos[MEMBER_RINGS]; /* position on each ring */
};

/*
 * One statement about a member in a message. A short claim has the fields up to
 * the suspecters, a full claim all of them.
 */
struct claim {
	struct str name;
	uint64_t incarnation;
	enum member_state state;
	uint32_t process_hash;
	unsigned n_suspecters;
	uint32_t suspecters[MEMBER_SUSPECTERS_MAX];
	bool full; /* the fields below are set */
	struct str host;
	uint16_t port;
	struct str data_centre;
	struct str region;
	struct str curve_public;
	unsigned version_min;
	unsigned version_max;
};

enum message_type {
	MESSAGE_PING = 1, /* seq, target: answer with an ack */
	MESSAGE_ACK = 2, /* seq; target if sent on behalf of another */
	MESSAGE_PING_REQ = 3, /* seq, target: ping it for the sender */
	MESSAGE_GOSSIP = 4, /* claims only */
	MESSAGE_JOIN_REQUEST = 5, /* cursor: send full claims after it */
	MESSAGE_JOIN_PART = 6, /* claims, cursor, last */
	MESSAGE_DIGEST = 7, /* digests of the buckets */
	MESSAGE_DIFF = 8, /* claims of differing buckets, covered */
	MESSAGE_RECORD_REQUEST = 9, /* names: send their full claims */
	MESSAGE_RECORDS = 10, /* claims requested or found missing */
};

struct message {
	uint64_t type;
	struct claim sender; /* short, with host and port as well */
	uint64_t seq; /* of the ping that is sent, relayed or answered */
	struct str target; /* name of the member to ping, may be empty */
	struct str target_host;
	uint16_t target_port;
	bool want_full; /* the ack to this ping shall carry a full claim */
	struct str cursor; /* last name of the table sent so far */
	bool last; /* the table ends with this part */
	bool partial; /* the sender is still fetching the table itself */
	bool has_buckets;
	uint32_t buckets[MEMBER_BUCKETS]; /* digests of the sender's table */
	uint64_t covered; /* bit set of the buckets sent whole */
	GArray *claims; /* struct claim */
	GArray *names; /* struct str; full claims of these are requested */
};

/* A claim in a message that is being built. */
struct claim_out {
	const struct member *member;
	bool full;
};

/* A message that is being built; the fields are as in struct message. */
struct outgoing {
	enum message_type type;
	uint64_t seq;
	const char *target; /* NULL or 0 leaves a field out, here and below */
	const char *target_host;
	uint16_t target_port;
	bool want_full;
	const char *cursor;
	bool last;
	bool partial;
	const uint32_t *buckets;
	uint64_t covered;
	GArray *claims; /* struct claim_out */
	GArray *names; /* struct str */
	size_t size; /* upper bound of the packed size */
};

struct member_probe {
	struct member *member; /* NULL: the slot is free */
	uint32_t seq;
	bool was_suspected; /* when the probe started */
	bool indirect_sent;
	uint64_t indirect_at_us; /* when others are asked to ping it */
	uint64_t fails_at_us; /* when the probe fails */
};

/* A ping on behalf of another member. */
struct member_relay {
	uint32_t seq; /* 0: the slot is free */
	uint64_t origin_seq; /* of the request, for the ack sent back */
	char origin[MEMBER_NAME_MAX + 1]; /* who asked for the ping */
	char target[MEMBER_NAME_MAX + 1];
	uint64_t expires_at_us;
};

struct member_seed {
	char host[MEMBER_HOST_MAX + 1];
	uint16_t port;
};

struct member_rings {
	GPtrArray *targets; /* shuffled; each is probed once per round */
	GPtrArray *neighbours; /* targets and the members probing this node */
	unsigned next_target; /* index of the next target */
	bool stale; /* the lists must be built again */
};

struct member_prober {
	uint64_t next_probe_at_us;
	uint64_t next_verify_at_us;
	uint64_t next_dead_at_us;
	uint64_t next_seed_at_us;
	uint32_t seq;
	struct member_probe probes[MEMBER_PROBES_MAX];
	struct member_relay relays[MEMBER_RELAYS_MAX];
	unsigned next_relay; /* the oldest slot, used next */
	GQueue verify; /* members to probe out of turn */
	GArray *seeds; /* struct member_seed */
};

struct member_syncer {
	bool joined; /* has once had a complete table, or found no seed */
	bool fetching; /* the table is being fetched from other members */
	bool accept_partial; /* no member with a complete table was found */
	uint64_t started_at_us;
	uint64_t progress_at_us; /* when the cursor last advanced */
	char cursor[MEMBER_NAME_MAX + 1]; /* last name fetched */
	char source[MEMBER_NAME_MAX + 1]; /* asked member; empty: any */
	bool awaiting_part; /* a part was requested and has not arrived */
	uint64_t requested_at_us;
	/* Time of the next request, or timeout of the pending one. */
	uint64_t next_request_at_us;
	unsigned digests; /* digests sent */
	uint64_t next_digest_at_us;
	uint64_t digest_delay_us; /* short after a difference, then doubles */
};

/* Members whose changes are passed on, one list per level. */
struct member_gossip {
	struct member *head[MEMBER_GOSSIP_LEVELS];
	struct member *tail[MEMBER_GOSSIP_LEVELS];
	unsigned count;
	unsigned n_full; /* entries sent as full claims */
	uint64_t next_send_at_us;
};

struct members {
	struct member_settings settings;
	const struct member_ops *ops;
	void *ctx;
	GRand *rng;
	struct member *self;
	GPtrArray *table; /* ordered by name */
	GPtrArray *suspects;
	unsigned n_live; /* alive, suspect or leaving; self included */
	unsigned n_dead; /* dead, without those that left */
	uint32_t buckets[MEMBER_BUCKETS]; /* digests of the table's parts */
	uint64_t changes; /* see members_change_count() */
	bool left; /* this node announced its exit */
	uint64_t last_tick_at_us;
	uint64_t next_forget_at_us;
	/* Last probe of an unwatched member that a table says is dead. */
	uint64_t death_check_at_us;
	/* When the incarnation was last raised above another of this name. */
	uint64_t outbid_at_us;
	int64_t tokens; /* bytes that may be sent; negative: debt */
	uint64_t refilled_at_us; /* when the tokens were last refilled */
	uint64_t bytes_sent;
	unsigned health_penalty; /* 0: own probes succeed */
	struct member_rings rings;
	struct member_gossip gossip;
	struct member_prober prober;
	struct member_syncer syncer;
	GArray *missing_names; /* struct str; names without a full claim */
};

/* member_table.c */
struct member *member_table_find(struct members *m, struct str name);
struct member *member_table_add(struct members *m, const struct claim *c);
void member_table_copy_details(struct member *member, const struct claim *c);
void member_table_forget(struct members *m, uint64_t now_us);
/* To be called around each change of state, incarnation or process_hash. */
void member_table_before_change(struct members *m, const struct member *member);
void member_table_after_change(struct members *m, struct member *member);
typedef bool (*member_filter_fn)(const struct member *member);
bool member_is_present(const struct member *member);
struct member *member_table_random(struct members *m, member_filter_fn filter);
unsigned member_bucket(const struct member *member);
bool member_is_gone(enum member_state state);

/* member_ring.c */
void member_ring_init(struct members *m);
void member_ring_clear(struct members *m);
void member_ring_set_positions(struct member *member);
void member_ring_update(struct members *m);
struct member *member_ring_next_target(struct members *m);
bool member_ring_watches(const struct members *m, struct member *member);
struct member *member_ring_random(struct members *m);

/* member_claim.c */
enum claim_source {
	CLAIM_DIRECT, /* sent by the member itself */
	CLAIM_GOSSIP,
	CLAIM_SYNC, /* from another's table, possibly long out of date */
};
void member_on_claim(struct members *m, const struct claim *c,
		     enum claim_source source, uint32_t sender_hash,
		     uint64_t now_us);
void member_suspect(struct members *m, struct member *member, uint64_t now_us);
void member_suspicion_tick(struct members *m, uint64_t now_us);
/* After a pause of this process, in which it could not hear of suspects. */
void member_suspicion_shift(struct members *m, uint64_t gap_us,
			    uint64_t now_us);
void member_self_change(struct members *m, enum member_state state,
			uint64_t incarnation, uint64_t now_us);

/* member_news.c */
void member_gossip_add(struct members *m, struct member *member, bool full);
void member_gossip_drop(struct members *m, struct member *member);
void member_gossip_fill(struct members *m, struct outgoing *o);
void member_gossip_tick(struct members *m, uint64_t now_us);

/* member_probe.c */
void member_probe_init(struct members *m, uint64_t now_us);
void member_probe_clear(struct members *m);
void member_probe_tick(struct members *m, uint64_t now_us);
void member_probe_abandon(struct members *m);
void member_probe_forget(struct members *m, struct member *member);
void member_probe_verify(struct members *m, struct member *member);
void member_probe_alive(struct members *m, struct member *member);
uint32_t member_next_seq(struct members *m);
void member_ping(struct members *m, const struct member_info *to,
		 const struct member *member, uint32_t seq);
void member_on_ping(struct members *m, const struct message *msg,
		    const struct member_info *from);
void member_on_ping_req(struct members *m, const struct message *msg,
			const struct member_info *from, uint64_t now_us);
void member_on_ack(struct members *m, const struct message *msg,
		   uint64_t now_us);

/* member_reconnect.c */
void member_reconnect_tick(struct members *m, uint64_t now_us);
void member_reconnect_dead(struct members *m);
void member_reconnect_add_seed(struct members *m, const char *host,
			       uint16_t port);

/* member_sync.c */
void member_sync_init(struct members *m, uint64_t now_us);
void member_sync_tick(struct members *m, uint64_t now_us);
void member_sync_request_records(struct members *m,
				 const struct member_info *to);
void member_sync_add_referrals(struct members *m, struct outgoing *o);
void member_on_join_request(struct members *m, const struct message *msg,
			    const struct member_info *from);
void member_on_join_part(struct members *m, const struct message *msg,
			 size_t len, uint64_t now_us);
void member_on_digest(struct members *m, const struct message *msg,
		      const struct member_info *from, uint64_t now_us);
void member_on_diff(struct members *m, const struct message *msg,
		    const struct member_info *from, uint64_t now_us);
void member_on_record_request(struct members *m, const struct message *msg,
			      const struct member_info *from);

/* member_message.c */
bool message_parse(struct message *msg, struct unpack *u, struct err *err);
void message_clear(struct message *msg);
void outgoing_init(struct outgoing *o, const struct members *m,
		   enum message_type type);
void outgoing_clear(struct outgoing *o);
/* False if the message would grow beyond limit bytes. */
bool outgoing_claim(struct outgoing *o, const struct member *member, bool full,
		    size_t limit);
bool outgoing_name(struct outgoing *o, struct str name, size_t limit);
GBytes *outgoing_pack(const struct outgoing *o, const struct members *m);

/* member.c */
/* Packs and sends, with queued gossip as far as size and budget allow. */
void member_send(struct members *m, const struct member_info *to,
		 struct outgoing *o);
uint32_t member_process_hash(const struct member_info *info);
uint32_t member_name_hash(struct str name);
/* A timeout, lengthened while this node's own probes fail. */
uint64_t member_scale_timeout(const struct members *m, uint64_t us);

#endif
