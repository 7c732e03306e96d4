#ifndef CELERYQUAY_TESTS_SUPPORT_GROUP_H
#define CELERYQUAY_TESTS_SUPPORT_GROUP_H

/*
 * A small platform on a virtual clock: groups of three servers with a log, the
 * duty record, promotions, and relays in front of them. All delays and faults
 * come from one seed. Callers' side and checker: support_history.h.
 */

#include "relay_internal.h"

#define MS USEC_PER_MSEC
#define FAKE_SLOTS 3
#define MAX_RELAYS (MAX_SERVERS + 1)
#define MAX_GROUPS 2
#define GROUP_SIZE 3 /* at the start */
#define MAX_NEWCOMERS 40 /* of one history */
#define FAKE_ACCOUNTS 3
#define MAX_SERVERS (MAX_GROUPS * GROUP_SIZE + MAX_NEWCOMERS)

struct hist;

struct fake_relay {
	struct fake *fake;
	unsigned index;
	char name[8];
	struct relay *relay;
	struct counter_set *counters;
	uint64_t frozen_until_us;
	bool dead;
	bool unlisted;
	bool deaf; /* towards the store: it hears of no claim, and has none */
	bool list_held; /* the list of servers doesn't reach it */
	uint64_t list_lag_us; /* or reaches it so late */
	unsigned n_lists_due; /* on their way */
	bool list_missed; /* one never came, and none since */
	uint64_t list_revision; /* the newest one that came */
	unsigned life; /* of its process; news for an earlier one are void */
	uint64_t known; /* the store's revision as it was told */
};

struct fake_server {
	unsigned index;
	unsigned group;
	char id[8];
	char service[8];
	bool down; /* crashed: connections are refused */
	bool dark; /* silent towards all */
	bool leaving;
	bool listed;
	bool replaced; /* its process is gone for good, another has its log */
	bool led; /* its term; it forgets a step-down when it starts anew */
	uint64_t born_ms;
	enum server_role role;
	uint64_t term;
	uint64_t held;
	uint64_t lag_us; /* of what it applies; it receives in half of that */
	uint64_t down_us;
	uint64_t slow_us; /* callers' statements wait this long in its queue */
	uint64_t work_us; /* a caller's statement takes a slot so long */
	uint64_t queue_us; /* what would wait longer for a slot is shed */
	uint64_t free_us[FAKE_SLOTS]; /* when each slot is */
	double sheds; /* share of callers' statements that it refuses */
	double mutes; /* share of its answers to callers that never come */
	unsigned n_ran; /* callers' statements that it was sent */
	uint64_t reaches_us; /* an old primary reaches the new one since */
	GArray *log; /* unsigned: numbers of commits, received */
	unsigned applied;
	unsigned n_conns;
};

/* A connection as its server has it. */
struct fake_conn {
	uint64_t key;
	unsigned serial;
	unsigned relay;
	uint64_t id;
	struct fake_server *server; /* NULL: a relay is */
	struct fake_relay *peer; /* whose session it is */
	char *database;
	char *account; /* whose it is, as the server was told */
	bool open;
	bool broken; /* nothing comes through any more, for good */
	uint64_t last_us[2]; /* the newest arrival at server and relay */
	GHashTable *values;
	GHashTable *prepared; /* name -> kind and shape */
	char state;
	bool read_only;
	bool wrote;
	unsigned attempt; /* whose transaction it is, 0: not known */
};

struct fake_commit {
	unsigned attempt;
	unsigned group;
	unsigned number;
	uint64_t term;
	uint64_t us;
	bool stale; /* at a server that another had replaced */
	bool lost; /* a promotion rolled it back */
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
	unsigned side[MAX_RELAYS]; /* relays of two sides don't reach each other
				    */
	GHashTable *conns; /* key -> struct fake_conn */
	unsigned n_serials;
	unsigned max_connections;
	bool homes; /* relays know each other */
	unsigned n_codes[RELAY_CODES]; /* that callers were told */
	unsigned n_replica_reads;
	double lose_answers; /* share of statements without one */
	double busy; /* share that servers refuse */
	double lose_claims;
	bool lose_words; /* on promotions; they are carried out */
	unsigned void_promotions; /* but for so many of the next */
	uint64_t
		promote_late_us; /* a promotion's call is carried out so late */
	uint64_t promote_us; /* until a promotion takes effect */
	GArray *commits; /* struct fake_commit; the first is unused */
	uint64_t top_term[MAX_GROUPS];
	unsigned n_promotions;
	uint64_t last_token; /* that a relay sent */
	unsigned last_holder;
	uint64_t platform_token; /* the newest that came to the platform */
	uint64_t revision; /* the store's: of lists and of the duty record */
	uint64_t duty_revision;
	char duty_holder[8];
	bool accounts; /* callers have keys; support_accounts.c */
	uint64_t config_version;
	uint64_t key_gone_us[FAKE_ACCOUNTS]; /* taken away then, 0: it is good
					      */
	struct hist *hist;
};

typedef void (*fake_fn)(struct fake *f, void *data);

#define PEER_SESSION ((uint64_t)1 << 60) /* and the connection's key */
#define FAKE_AIM_US (200 * MS)
#define FAKE_AGE_US (300 * MS) /* of bounded reads */
#define FAKE_KEY_AGE_US (5 * USEC_PER_SEC)
#define FAKE_RATE 40 /* operations a second of each account */
#define FAKE_BURST 8
#define FAKE_WINDOW_US (2 * USEC_PER_SEC)
#define FAKE_SLACK 8
#define FAKE_OVERAGE 0.1
#define FAKE_WINDOW_MOST                                                \
	((unsigned)((FAKE_RATE * 2 + FAKE_BURST) * (1 + FAKE_OVERAGE) + \
		    FAKE_SLACK))
#define FAKE_LIMIT_US (2 * USEC_PER_SEC) /* of a statement */

struct fake *fake_create(uint32_t seed, unsigned n_relays, unsigned n_groups);
/* The same with client accounts, and proxies that know each other. */
struct fake *fake_create_accounts(uint32_t seed, unsigned n_relays,
				  unsigned n_groups);
void fake_destroy(struct fake *f);
void fake_run(struct fake *f, uint64_t us);
bool fake_step(struct fake *f, uint64_t until_us);
/* relay: its events are held while it is frozen; -1: of none. */
void fake_at(struct fake *f, int relay, uint64_t delay_us, fake_fn fn,
	     void *data, GDestroyNotify free_data);
uint64_t fake_random(struct fake *f, uint64_t from, uint64_t to);
bool fake_chance(struct fake *f, double share);

struct fake_server *fake_primary(struct fake *f, unsigned group);
/* Those of the group that run and stay; how many. */
unsigned fake_members(const struct fake *f, unsigned group, unsigned *out);
/* Whether it runs and stays, and another does beside it. */
bool fake_may_go(const struct fake *f, unsigned server);
void fake_crash(struct fake *f, unsigned server);
void fake_restart(struct fake *f, unsigned server);
/* Its process ends and starts anew at once, under the id that it had. */
void fake_reborn(struct fake *f, unsigned server, bool keeps_log);
/* A new replica with the log of the others; its number. */
unsigned fake_join(struct fake *f, unsigned group);
/* A crashed server's log comes back under another id; its number. */
unsigned fake_return(struct fake *f, unsigned server);
/* The server is to leave; its process ends after that time. */
void fake_leave(struct fake *f, unsigned server, uint64_t drain_us);
void fake_cut(struct fake *f, unsigned relay, unsigned server, bool cut);
void fake_freeze(struct fake *f, unsigned relay, uint64_t us);
void fake_store(struct fake *f, unsigned relay, bool answers);
/* Its process ends, and another of its name begins at once. */
void fake_restart_relay(struct fake *f, unsigned relay);
void fake_list(struct fake *f);
void fake_heal(struct fake *f);
bool fake_log_has(const struct fake *f, const struct fake_server *s,
		  unsigned commit);

/* An account's only key is taken away, or given back. */
void fake_take_key(struct fake *f, unsigned account, bool take);

/* Between the parts of the fake. */
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
