#ifndef CELERYQUAY_TESTS_SUPPORT_GROUP_H
#define CELERYQUAY_TESTS_SUPPORT_GROUP_H

/*
 * A fake platform on a virtual clock: groups of three servers with a
 * replicated log, the duty record in the store, promotions, and relays in
 * front of the servers. All delays and faults are drawn from one seed. The
 * callers and the checker are in support_history.h.
 */

#include "homes.h"

#define MS USEC_PER_MSEC
#define FAKE_SLOTS 3
#define MAX_RELAYS (MAX_SERVERS + 1)
#define MAX_GROUPS 2
#define GROUP_SIZE 3 /* servers of a group at the start */
#define MAX_ADDED_SERVERS 40 /* servers added during one history */
#define FAKE_ACCOUNTS 3 /* unless options say otherwise */
#define MAX_ACCOUNTS 40
#define MAX_SERVERS (MAX_GROUPS * GROUP_SIZE + MAX_ADDED_SERVERS)

struct hist;

struct fake_relay {
	struct fake *fake;
	unsigned index;
	char name[8];
	struct relay *relay;
	struct counter_set *counters;
	uint64_t frozen_until_us; /* events for it are held until then */
	bool dead; /* refuses connections of other relays */
	bool unlisted; /* absent from the list of relays */
	/* Of an older version: announces no capacity, never pools homes. */
	bool old;
	struct splace_capacity capacity;
	unsigned n_ran; /* callers' statements that servers ran for it */
	bool deaf; /* cut off from the store: no duty record, no claims */
	bool drop_lists; /* lists of servers are dropped on their way to it */
	uint64_t list_delay_us; /* additional delay of lists of servers */
	unsigned n_lists_in_flight; /* lists in flight to it */
	bool list_dropped; /* the newest list to arrive was dropped */
	uint64_t list_revision; /* store revision of the newest list received */
	/* Times that it gave up promotion calls of the group. */
	unsigned n_cancelled[MAX_GROUPS];
	unsigned life; /* process number; events for others are dropped */
	uint64_t known; /* newest store revision that it was told */
	bool had[MAX_SERVERS]; /* servers of the newest list received */
	uint64_t era; /* of the store, as far as the relay knows */
	uint64_t returned_at_us; /* when it learned of that era */
	/* It learns of a return of the store this much later. */
	uint64_t return_delay_us;
	uint64_t return_due_us; /* when it learns of the last return */
};

struct fake_server {
	unsigned index;
	unsigned group;
	char id[8];
	char service[8];
	uint16_t port; /* shared with the successor that has its log */
	bool down; /* crashed: connections are refused */
	bool dark; /* unresponsive: receives and sends nothing */
	bool leaving; /* shuts down soon, as planned */
	bool receives_nothing; /* replication to it has stopped */
	/* Commits that it receives in one replication interval; 0: any. */
	unsigned receives_at_once;
	bool listed; /* in the list of servers */
	bool forgotten; /* the copy that the store came back from lacks it */
	bool without_store; /* it can't write its entry */
	bool replaced; /* ended for good; a new id may have its log */
	bool was_primary; /* of its term; kept after a step-down */
	uint64_t started_at_ms; /* start time of its process, as listed */
	enum server_role role;
	uint64_t term;
	uint64_t held; /* paused: follows no primary of a lower term, 0: not */
	uint64_t lag_us; /* replication lag: commits are applied after it,
			  * received after half of it */
	uint64_t down_at_us; /* when it crashed */
	uint64_t slow_us; /* queueing delay of callers' statements */
	uint64_t work_us; /* time that a caller's statement occupies a slot */
	uint64_t queue_us; /* longest wait for a slot before it sheds load */
	uint64_t free_at_us[FAKE_SLOTS]; /* when each slot becomes free */
	double sheds; /* share of callers' statements that it refuses */
	double mutes; /* share of its answers to callers that get lost */
	unsigned n_ran; /* callers' statements that it received */
	uint64_t reachable_since_us; /* since when an old primary reaches the
				      * new one, 0: it doesn't */
	GArray *log; /* unsigned: numbers of the commits received */
	unsigned applied; /* length of the applied prefix of the log */
	unsigned n_conns; /* open connections */
};

/* A connection of a relay to a server, or to another relay. */
struct fake_conn {
	uint64_t key; /* unique among all relays */
	unsigned serial; /* order of creation, from 1 */
	unsigned relay; /* index of the relay that opened it */
	uint64_t id; /* number that this relay gave it */
	struct fake_server *server; /* NULL: the other end is a relay */
	struct fake_relay *peer; /* relay at the other end, or NULL */
	char *database;
	char *account; /* client account that the relay opened it for */
	bool open;
	bool broken; /* delivers nothing any more */
	uint64_t last_arrival_us[2]; /* latest arrivals at far end and relay */
	GHashTable *values; /* session variables: name -> value */
	GHashTable *prepared; /* name -> kind and shape */
	char state; /* 'I' idle, 'T' in a transaction, 'E' in a failed one */
	bool read_only; /* the transaction is */
	bool wrote; /* the transaction has written */
	unsigned attempt; /* owner of the transaction, 0: not known */
};

struct fake_commit {
	unsigned attempt;
	unsigned group;
	unsigned number; /* position in the log, from 1 */
	uint64_t term;
	uint64_t us; /* when it was stored */
	bool stale; /* stored at a primary that had already been replaced */
	bool lost; /* rolled back by a promotion */
};

#define FAKE_STATED_MAX 32

/* What a claim of the duty record states. */
struct fake_stated {
	unsigned n;
	struct {
		char service[8];
		char server[8];
		uint64_t claim;
		uint64_t term;
	} list[FAKE_STATED_MAX];
};

/* The record of a group's servers in the store. */
struct fake_roster {
	uint64_t revision;
	uint64_t era;
	bool settled;
	unsigned n;
	unsigned servers[MAX_SERVERS];
};

/* What a copy of the store holds. */
struct fake_copy {
	uint64_t revision;
	uint64_t duty_revision;
	char duty_holder[8];
	struct fake_stated stated;
	struct fake_roster rosters[MAX_GROUPS];
	bool listed[MAX_SERVERS];
};

/* The server that a promotion call names. */
struct fake_named {
	unsigned server;
	uint64_t at_us; /* when the call was sent, 0: never */
};

struct fake {
	uint64_t now_us;
	uint64_t n_events;
	GTree *events;
	GRand *rng;
	unsigned n_relays;
	unsigned n_groups;
	unsigned n_servers;
	struct fake_relay relays[MAX_RELAYS];
	struct fake_server servers[MAX_SERVERS];
	bool cut[MAX_RELAYS][MAX_RELAYS];
	unsigned side[MAX_RELAYS]; /* relays of different sides can't reach
				    * each other */
	GHashTable *conns; /* key -> struct fake_conn */
	unsigned n_serials;
	unsigned max_connections;
	/* Replicas that must have a commit before it is acknowledged. */
	unsigned sync_replicas;
	uint64_t statement_timeout_us;
	uint64_t stop_grace_us; /* 0: the relays' default */
	unsigned n_opened; /* connections that servers accepted */
	unsigned n_full; /* connections that servers refused at their limit */
	uint64_t open_work_us; /* time that opening one occupies a slot */
	enum splace_pooling home_pooling;
	unsigned priorities[RELAY_KINDS]; /* of the profiles, by kind */
	bool homes; /* relays receive the list of relays */
	unsigned n_codes[RELAY_CODES]; /* answers to callers, by code */
	unsigned n_replica_reads; /* callers' statements run by replicas */
	double lose_answers; /* share of callers' statements whose answer is
			      * lost */
	double busy; /* share of callers' statements that servers refuse */
	double lose_claims; /* share of claims and of promotion calls whose
			     * reply is lost */
	bool lose_promote_replies; /* replies to promotion calls are lost */
	unsigned n_promotions_to_drop; /* next promotion calls to drop */
	uint64_t
		promote_call_delay_us; /* additional delay of promotion calls */
	bool takes_any_token; /* the platform does not check tokens */
	/* Calls are lost if their sender gives them up before they arrive. */
	bool drops_given_up;
	bool checks_arrivals; /* a call with a lower token is a violation */
	bool refuses_promotions; /* the platform refuses all calls */
	uint64_t promote_duration_us; /* from the call until a promotion takes
					 effect */
	GArray *commits; /* struct fake_commit; the first is unused */
	uint64_t top_term[MAX_GROUPS]; /* highest term of each group */
	unsigned n_promotions; /* that took effect */
	uint64_t last_token; /* newest token that a relay sent */
	unsigned last_token_relay; /* index of the relay that sent it */
	struct fake_named named[MAX_GROUPS]; /* by the last promotion call */
	uint64_t platform_token; /* highest token that reached the platform */
	/*
	 * Store revision of lists and of the duty record. Like all revisions
	 * here it has the store's era in the upper bits.
	 */
	uint64_t revision;
	uint64_t era; /* of the store; rises when it returns from its copy */
	struct fake_copy copy;
	uint64_t duty_revision; /* revision of the duty record, 0: no claim */
	char duty_holder[8]; /* name of the relay that claimed last */
	struct fake_stated stated; /* by the duty record */
	struct fake_roster rosters[MAX_GROUPS];
	unsigned n_rosters_written;
	bool accounts; /* callers have keys; see support_accounts.c */
	unsigned n_accounts;
	bool limits; /* accounts have rate limits */
	uint64_t config_version;
	uint64_t key_revoked_at_us[MAX_ACCOUNTS]; /* when the account's key was
						   * revoked, 0: it is valid */
	struct hist *hist;
};

typedef void (*fake_fn)(struct fake *f, void *data);

/* Marks sessions between relays; the other bits are the connection's key. */
#define PEER_SESSION ((uint64_t)1 << 60)
#define FAKE_LATENCY_TARGET_US (200 * MS) /* latency target of an operation */
#define FAKE_MAX_AGE_US (300 * MS) /* staleness bound of bounded reads */
/* How long a relay may accept a key without confirmation by the store. */
#define FAKE_KEY_MAX_AGE_US (5 * USEC_PER_SEC)
#define FAKE_RATE 40 /* operations per second of each account */
#define FAKE_BURST 8
#define FAKE_WINDOW_US (2 * USEC_PER_SEC) /* window of a rate limit */
#define FAKE_SLACK 8
#define FAKE_OVERAGE 0.1
/* Operations of an account that may run in one window (2 s). */
#define FAKE_WINDOW_MAX                                                 \
	((unsigned)((FAKE_RATE * 2 + FAKE_BURST) * (1 + FAKE_OVERAGE) + \
		    FAKE_SLACK))
#define FAKE_STATEMENT_TIMEOUT_US (2 * USEC_PER_SEC) /* statement time-out */

/* A platform other than the usual one. Zero-initialized. */
struct fake_options {
	unsigned n_relays;
	unsigned n_groups;
	unsigned max_connections; /* of a server; 0: as usual */
	bool homes; /* relays receive the list of relays */
	enum splace_pooling home_pooling;
	unsigned priorities[RELAY_KINDS]; /* of the profiles, by kind */
	unsigned n_accounts; /* 0: callers have no accounts */
	bool limits; /* accounts have rate limits */
	unsigned sync_replicas; /* of all services */
	uint64_t statement_timeout_us; /* 0: as usual */
	uint64_t stop_grace_us; /* of relays; 0: as usual */
	struct splace_capacity capacities[MAX_RELAYS];
	bool old[MAX_RELAYS]; /* relays of an older version */
};

struct fake *fake_create_with(uint32_t seed, const struct fake_options *o);
struct fake *fake_create(uint32_t seed, unsigned n_relays, unsigned n_groups);
/* The same with client accounts, and relays that know each other. */
struct fake *fake_create_accounts(uint32_t seed, unsigned n_relays,
				  unsigned n_groups);
/*
 * FAKE_POOLED_RELAYS relays that know each other and one group, the homes of
 * which are pooled: with that many connections it would have five of them.
 */
#define FAKE_POOLED_RELAYS 11
#define FAKE_POOLED_CONNECTIONS 26
struct fake *fake_create_pooled(uint32_t seed, bool accounts);
void fake_destroy(struct fake *f);
void fake_run(struct fake *f, uint64_t us);
bool fake_step(struct fake *f, uint64_t until_us);
/*
 * Schedules fn after delay_us. Events of a relay (its index) are held while it
 * is frozen; -1: of no relay.
 */
void fake_at(struct fake *f, int relay, uint64_t delay_us, fake_fn fn,
	     void *data, GDestroyNotify free_data);
uint64_t fake_random(struct fake *f, uint64_t from, uint64_t to);
bool fake_chance(struct fake *f, double share);

struct fake_server *fake_primary(struct fake *f, unsigned group);
/* Stores the indices of the group's servers that run and stay; their number. */
unsigned fake_running_servers(const struct fake *f, unsigned group,
			      unsigned *out);
/* Whether the server runs and stays, and another of its group does too. */
bool fake_may_stop(const struct fake *f, unsigned server);
void fake_crash(struct fake *f, unsigned server);
void fake_restart(struct fake *f, unsigned server);
/* Its process ends and restarts at once under the same id. */
void fake_restart_at_once(struct fake *f, unsigned server, bool keeps_log);
/* Adds a replica with a copy of the newest log; returns its index. */
unsigned fake_add_replica(struct fake *f, unsigned group);
/* Starts a server with a crashed one's log under a new id; its index. */
unsigned fake_rejoin_with_new_id(struct fake *f, unsigned server);
/*
 * The server is listed as leaving; its process ends after drain_us. Its log
 * can be had again with fake_rejoin_with_new_id().
 */
void fake_leave(struct fake *f, unsigned server, uint64_t drain_us);
void fake_cut(struct fake *f, unsigned relay, unsigned server, bool cut);
void fake_suspend_relay(struct fake *f, unsigned relay, uint64_t us);
void fake_set_store_reachable(struct fake *f, unsigned relay, bool answers);
/* Its process ends, and another of the same name starts at once. */
void fake_restart_relay(struct fake *f, unsigned relay);
void fake_publish_lists(struct fake *f);
/* Makes a copy of the store. */
void fake_copy_store(struct fake *f);
/*
 * The store comes back from that copy. Servers write their entries again within
 * two seconds, and relays learn of it.
 */
void fake_restore_store(struct fake *f);
void fake_heal(struct fake *f);
bool fake_log_has(const struct fake *f, const struct fake_server *s,
		  unsigned commit);
/* Whether as many replicas have received the commit as must have it. */
bool fake_is_durable(const struct fake *f, const struct fake_server *primary,
		     unsigned commit);

/* Revokes an account's only key, or makes it valid again. */
void fake_set_key_revoked(struct fake *f, unsigned account, bool take);

/* Used between the files of the fake. */
void accounts_settings(struct relay_settings *settings);
void accounts_add(const struct fake *f, struct relay_catalog *c);
void accounts_start(struct fake *f);
char *accounts_name(unsigned account);
char *accounts_key(unsigned account);
struct relay_catalog *fake_catalog(const struct fake *f);
GTree *fake_events_create(void);
GHashTable *fake_conns_create(void);
void fake_open(void *ctx, uint64_t conn, const struct relay_server_info *info,
	       const char *account);
void fake_send(void *ctx, uint64_t conn, const struct relay_statement *st);
void fake_close(void *ctx, uint64_t conn);
void fake_answer(void *ctx, uint64_t session, const struct relay_answer *a);
void fake_hang_up(void *ctx, uint64_t session);

#endif
