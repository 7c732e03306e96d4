#ifndef CELERYQUAY_RELAY_INTERNAL_H
#define CELERYQUAY_RELAY_INTERNAL_H

/*
 * The relay's data structures and the modules that work on them. Prefixes:
 * rserver_ servers, rconn_ their connections, rsession_ callers' sessions,
 * rrun_ the statement that a session has in flight, rpick_ the choice of the
 * server that runs it, rprimary_ who is primary and for how long that is
 * certain, rtrust_ which replicas' confirmations of that are trusted,
 * rsuspect_ whether that server must be replaced, rfailover_ failover, the
 * replacement of a primary, rtarget_ who may be promoted, rdurable_ whether it
 * has all that was acknowledged, rroster_ who may have that, rfence_ the fence,
 * rduty_ the duty record, rpending_ promotions that may still take effect,
 * rcleanup_ cleanup after failovers, rpartition_ network partitions, peers_
 * other proxies, role_ roles, rank_ ranks, via_ homes that sessions go through,
 * raccount_ client accounts, rlimit_ their limits, rgrantor_ the proxies that
 * grant tokens of these, routlier_ servers that fail in part, inflight_ limits
 * of what is in flight at a server, rlog_ log lines, rmetrics_ metrics,
 * rstatus_ what /status says, rstop_ planned stops.
 */

#include <celeryquay/base/log_event.h>
#include <celeryquay/core/retry.h>
#include <celeryquay/relay/feed_source.h>
#include <celeryquay/relay/relay.h>
#include <celeryquay/sched/admission.h>
#include <celeryquay/sched/placement.h>
#include <celeryquay/sched/queue.h>

#define NEVER_US UINT64_MAX
#define TICK_US (20 * USEC_PER_MSEC)
/*
 * The time from a claim within which its promotion takes effect, or never does:
 * the claim may be used for 1.5 s, the platform may take 1.5 s to be told and
 * one second to carry it out; one more second is a margin.
 */
#define PROMOTION_MAX_US (5 * USEC_PER_SEC)

struct rservice;
struct rserver;
struct rsession;
struct rlimit;
struct rpending;
struct rroster;
struct rsched;
struct sconn_usage;

/* The database name that a proxy gives when it asks another for tokens. */
#define RELAY_LIMITS "*limits"
/*
 * Number of proxies that grant an account's tokens. When one is lost, the
 * others still grant most of the account's rate.
 */
#define MAX_GRANTORS 4

#define MAX_RUN_TRIES 6

/* The kind of request that a connection has in flight. */
enum rstep {
	STEP_NONE,
	STEP_RESET,
	STEP_SET,
	STEP_PREPARE,
	STEP_BEGIN,
	STEP_CALLER, /* the caller's own statement */
	STEP_ROLLBACK,
	STEP_STATUS, /* a probe */
	STEP_ORDER, /* PAUSE, RESUME or STEP_DOWN */
	STEP_TAKE, /* a request for tokens of an account's rate limit */
};

enum rconn_state { RCONN_OPENING, RCONN_IDLE, RCONN_IN_USE };

struct rconn {
	uint64_t id;
	struct relay *relay;
	struct rserver *server;
	enum rconn_state state;
	char *account; /* that it was opened for; empty: the proxy's own */
	bool in_block; /* a transaction is open on it, or may be */
	struct rsession *session; /* that uses it; NULL: none, or it is gone */
	enum rstep step;
	struct rlimit *ask; /* STEP_TAKE: of the tokens asked for, or NULL */
	char *step_key; /* name of the value, or key in `prepared` */
	char *step_value; /* the value, or the prepared name at the server */
	uint64_t opened_us;
	uint64_t sent_us; /* the step in flight, or the opening, began then */
	uint64_t deadline_us; /* of the step in flight */
	uint64_t used_us; /* became idle then */
	GHashTable *values; /* name -> value, as the server has them */
	GHashTable *prepared; /* kind and shape -> name at the server */
	unsigned n_names; /* prepared names used since the last reset */
	GList link; /* in the server's idle or opening connections */
};

/* The cost of a server's recent failures; see outlier.c. */
struct routlier {
	uint64_t cost_us; /* moving average per statement, decays */
	uint64_t updated_at_us; /* cost_us was updated then */
};

/* The limit of connections to a server that are busy at once; see
 * inflight_limit.c. */
struct inflight_limit {
	double most; /* the limit, 0: none */
	unsigned peak; /* most busy at once since the last evaluation */
	unsigned n; /* answers since then */
	unsigned n_slow; /* of these, slow or shed */
	uint64_t evaluated_at_us; /* last evaluation */
};

/* The kinds of evidence that a replica was not paused at some instant. */
enum revidence {
	EVIDENCE_STATUS, /* it said so in answer to a probe */
	EVIDENCE_APPLIED, /* it has applied a write made after that instant */
	N_EVIDENCE_KINDS
};

struct rserver {
	struct relay *relay;
	struct rservice *service;
	struct relay_server_info info;
	bool listed; /* the platform's latest list names it */
	unsigned list; /* number of the last list that named it */
	bool moved; /* another server answers at its address */
	bool refused; /* nothing listens at its address */
	bool probe_requested; /* a probe is sent with the next tick */
	bool order_pending; /* an order is sent in place of the next status */
	uint64_t seen_pause_term; /* term of the pause seen last; cleanup.c */
	uint64_t seen_pause_at_us; /* when that pause was first seen */
	uint64_t listed_at_us; /* when it was first listed */
	uint64_t unlisted_at_us; /* when it left the list, 0: it is listed */
	uint64_t refused_at_us; /* when `refused` was first seen, if it is */
	uint64_t leaving_at_us; /* when it was first listed as leaving */

	struct rconn *probing; /* carries the probe in flight, or NULL */
	GQueue idle; /* connections that are not in use */
	GQueue opening; /* connections that are not open yet */
	unsigned n_conns; /* including those being opened */
	unsigned in_flight; /* number of callers' statements in flight */
	unsigned n_busy; /* connections that wait for an answer */
	unsigned n_stuck; /* of n_busy: the answer is probably lost */
	/* Of n_busy: the server has probably run it, by the last tick. */
	unsigned n_overdue;
	uint64_t open_after_us; /* no connection is opened before this */
	uint64_t refused_until_us; /* avoided until then: it refused one */
	/* A proxy: when it last answered that it is cut off; 0: never. */
	uint64_t cut_off_us;
	struct splace_home home; /* a proxy: whether it may be preferred */

	struct position applied; /* the newest position that it reported */
	uint64_t lag_seen_at_us; /* when it last lacked what a read must see */
	uint64_t lag_us; /* upper bound of its lag, NEVER_US: unknown */
	struct relay_status status; /* the last one received */
	struct position received_max; /* the newest it ever reported */
	/* Since when it reports less than that, 0: it doesn't. */
	uint64_t log_lost_at_us;
	uint64_t status_at_us; /* when that was asked for, 0: no status yet */
	unsigned status_own_conns; /* this proxy's connections to it then */
	uint64_t heard_us; /* when the last answer came, 0: never */
	uint64_t asked_us; /* a grantor: when it was asked for tokens */
	/*
	 * When a connection broke, 0: none did, or the process is known to be
	 * the same one.
	 */
	uint64_t conn_broke_at_us;
	/*
	 * Since when it may not know of a pause, as after a restart, 0: it
	 * is not in doubt; see trust.c.
	 */
	uint64_t doubted_at_us;
	bool doubted_as_new; /* for being newly listed, not for a restart */
	uint64_t agreed_at_us; /* when it knew of no term above agreed_term */
	uint64_t agreed_term;
	/* By kind: the primary_changes in which a confirmation was logged. */
	uint64_t confirmation_logged[N_EVIDENCE_KINDS];
	/* The primary_changes in which its being disregarded was logged. */
	uint64_t disregard_logged;
	const char *disregard_reason; /* the reason that was logged then */
	uint64_t failing_since_us; /* since when probes fail, 0: they don't */
	uint64_t back_at_us; /* when it answered again after that, 0: never */
	uint64_t probed_at_us; /* when the last probe was sent */
	uint64_t latency_us; /* smoothed, of callers' statements */
	struct routlier outlier;
	struct inflight_limit limit;
	struct sconn_usage *usage; /* by account, NULL: not needed */

	enum relay_verb order; /* the order pending or sent last */
	uint64_t order_term; /* the term that it carries */
	uint64_t order_sent_at_us;
};

enum rphase {
	PHASE_WATCH, /* no change of primary runs */
	PHASE_CLAIM, /* the duty record is being written */
	PHASE_FENCE, /* the old primary is being kept from committing */
	PHASE_CATCH_UP, /* the target receives the rest of the old log */
	PHASE_LEASE_EXPIRY, /* other proxies' leases on the old primary run out
			     */
	PHASE_PROMOTE, /* the platform was told to promote the target */
	PHASE_AWAIT_PRIMARY, /* it accepted; the target doesn't lead yet */
};

#define MAX_SAMPLES 64

/*
 * A position of the primary's log: whatever was acknowledged before `us` is at
 * or before it.
 */
struct rsample {
	uint64_t us;
	struct position position;
};

/* This proxy's rank among those that may be homes of a service. */
struct rrank {
	uint64_t seed; /* the service's, from which each draw is computed */
	uint64_t draw; /* this proxy's; higher ones rank first */
	unsigned n_ranked_before; /* number of proxies that rank before this one
				   */
};

struct rservice {
	struct relay *relay;
	char *name; /* where `peers` is set, a database's */
	bool peers; /* its servers are other proxies */
	bool is_home; /* this proxy connects to its servers */
	bool configured; /* the configuration in force names it */
	/* Other proxies reach the primary, which fails for this one. */
	bool alive_for_others;
	bool act_scheduled; /* act_not_before_us is set for this failure */
	bool stepped_down; /* the old primary confirmed its step-down */
	bool withheld; /* no promotion: who may have more is missing */
	unsigned n_samples; /* ever taken; index of the next modulo the size */
	bool pooled; /* one of its homes runs all, if it can; placement.c */
	struct rsched *sched; /* what waits here, NULL: nothing yet */
	struct rrank rank;
	GPtrArray *homes; /* names; only role_homes() updates them */
	GPtrArray *spares; /* names; only role_spares() updates them */
	unsigned homes_peers_version; /* the relay's n_peer_changes that they
					 reflect */
	uint64_t asked_as_spare_at_us; /* when last asked as a spare, 0: it is
					  none */
	/* Version of the homes; with `peers`: the one listed last, or 0. */
	unsigned homes_version;
	unsigned max_connections;
	/* How many replicas have a commit before it is acknowledged. */
	unsigned sync_replicas;
	uint64_t primary_usable_at_us; /* when a primary was last usable here */
	/* Since when statements have no usable primary or home, or 0. */
	uint64_t unserved_since_us;
	GPtrArray *servers; /* struct rserver */
	/* Servers that were removed lately, struct rholder; see durable.c */
	GPtrArray *missing;
	struct rroster *roster;
	bool had_several_servers; /* it once had several servers at once */

	struct rserver *primary; /* NULL: not known */
	uint64_t term; /* the highest seen */
	uint64_t term_seen_at_us; /* when that was first seen */
	/* The primary's log when it was first seen to lead in its term. */
	struct position lead_start;
	uint64_t lead_seen_at_us; /* when that was */
	uint64_t primary_changes; /* how often `primary` changed */
	/* The lease's start: a replica knew of no higher term then. */
	uint64_t confirmed_us;
	struct rserver *confirmed_by; /* that replica; NULL: none, or gone */
	uint64_t wanted_at_us; /* when a statement last needed the primary */
	uint64_t no_primary_us; /* since when there is none */
	uint64_t watch_started_at_us; /* replicas are watched for progress */
	struct position watch_position; /* the newest of theirs at its start */
	struct rsample samples[MAX_SAMPLES]; /* a ring, oldest overwritten */
	uint64_t samples_term;

	enum rphase phase;
	unsigned tries; /* promotions that failed under this fence */
	uint64_t phase_started_at_us;
	uint64_t act_not_before_us; /* jitter, and back-off after a failure */
	const char *reason; /* why the primary is replaced, for the log */
	struct rserver *old; /* the primary being replaced */
	uint64_t term_at_start; /* the highest seen when the change began */
	struct position old_position; /* end of its log after its step-down */
	struct rserver *target; /* the server being promoted */
	uint64_t fence_term; /* the term of the pauses and step-down */
	uint64_t fenced_at_us; /* when the fence was complete, 0: it isn't */
	/* An earlier promotion may take effect, and is waited for. */
	bool promotion_awaited;
};

enum rrun_state {
	RRUN_NONE,
	RRUN_AWAITING_TOKEN, /* waits for a token of its account; limit.c */
	RRUN_QUEUED, /* queued for a server and a connection */
	RRUN_RUNNING, /* has a connection */
	RRUN_BACKING_OFF, /* waits to retry on its connection; server was busy
			   */
	RRUN_CONFIRMING, /* executed; checks that the primary still is it */
};

#define TRY_SERVER_SIZE 48 /* longer names are cut off in logs */

/* A failed try that had no effect at the server. */
struct rtry {
	char server[TRY_SERVER_SIZE];
	enum relay_code code;
	uint64_t after_us; /* from the statement's arrival to the failure */
};

/* The statement that a session has in flight. */
struct rrun {
	enum rrun_state state;
	enum relay_verb verb;
	GString *id;
	GString *name;
	GString *text;
	bool writes;
	unsigned priority; /* 0 is the highest */
	unsigned account_priority; /* of its account, second to `priority` */
	GString *begin_id; /* id of the BEGIN that no server has seen yet */
	bool begins; /* opens the transaction at the server first */
	bool sent; /* a server may have run the caller's statement */
	bool to_primary; /* no replica may run it */
	uint64_t arrived_us;
	uint64_t deadline_us; /* of its profile's timeout */
	uint64_t due_us; /* deadline of its profile's latency target */
	uint64_t queue_deadline_us; /* refused then if no server was found */
	uint64_t token_deadline_us; /* refused then if it has no token */
	uint64_t again_us; /* the next try is not before then */
	uint64_t answered_us; /* the server answered then; RRUN_CONFIRMING */
	struct rserver *failed_by[MAX_RUN_TRIES]; /* servers of failed tries */
	struct rtry failed[MAX_RUN_TRIES]; /* the same tries, for the log */
	GString *server; /* name of the server of the last try */
	enum relay_code code; /* answer to the last failed try */
	unsigned tries; /* failed ones */
	struct rserver *executed_by; /* server that ran it; RRUN_CONFIRMING */
	struct position after; /* a replica's log must reach this */
	GList link; /* in the relay's waiting runs, or a limit's */
	/* Waits for the service's servers there, NULL: not; see scheduler.c */
	struct rservice *queued_at;
	struct squeue_entry wait; /* in that queue */
	uint64_t forecast_us; /* its wait by the last check, UINT64_MAX: none */
	enum sadmit_verdict verdict; /* of the last check */
	bool pooled; /* the homes of its service are */
	/* The answer that the caller gets once it is confirmed. */
	GString *rows;
	GString *signature;
	struct position position;
	uint64_t term; /* the service's term when the run got its server */
};

/* A prepared statement of a session. */
struct rprepared {
	bool writes;
	char *shape; /* its text, as PREPARE gave it */
};

struct rsession {
	uint64_t id;
	struct relay *relay;
	char *database;
	char *key; /* the caller's secret: not logged or passed on */
	char *account; /* the caller's; empty: the database needs none */
	char state; /* of the transaction, as in struct relay_answer */
	GHashTable *values; /* name -> value */
	GHashTable *prepared; /* name -> struct rprepared */
	struct position floor; /* its reads must see the log up to this */
	uint64_t floor_at_us; /* the primary's log had reached it then */
	struct rconn *conn; /* that it uses now, or NULL */
	bool read_only; /* the open transaction is */
	bool wrote; /* the open transaction has written */
	bool has_txn_token; /* the open transaction has its token */
	uint64_t used_us; /* last statement or answer */
	bool hung_up; /* its caller was told to disconnect */
	bool peer; /* opened by another proxy */
	struct rrun run;
};

/*
 * Guards against failures. Tests switch each off to prove that their checkers
 * find the failure. All are on otherwise.
 */
struct relay_guards {
	bool confirm_writes; /* no success while another may be primary */
	bool await_lease_expiry; /* other proxies' leases run out first */
	bool fence; /* the old primary can't commit any more */
	bool check_floor; /* a replica has what the read must see */
	bool clean_values; /* a session's values don't reach the next one */
	bool no_write_retry; /* what may have run isn't sent again */
	bool fresh_claim; /* no promotion with an outdated token */
	bool resume_under_duty; /* no pause of a running change is ended */
	bool avoid_outliers; /* servers that fail in part cost more */
	bool limit_in_flight; /* excess load queues here, not at a server */
	bool distrust_restarted; /* a restarted server has forgotten its state
				  */
	bool claim_after_fence; /* the fence covers every listed server */
	bool distrust_unpaused; /* a promotion ends pauses, too */
	bool distrust_newly_listed; /* a newly listed server may miss a change
				     */
	bool check_list_age; /* a stale list weakens a confirmation */
	bool leave_when_cut_off; /* callers move to proxies that can serve */
	bool own_connections; /* a connection serves one account */
	bool check_keys; /* with each operation */
	bool check_key_age; /* outdated keys, maybe revoked, are refused */
	bool limit_accounts; /* each operation takes a token */
	bool renew_lease_at_once; /* a statement renews an expired lease at once
				   */
	/* Claims and servers that a store has forgotten still count. */
	bool expect_forgotten;
	/* A promotion that may take effect keeps others from being made. */
	bool await_promotions;
};

struct relay {
	struct relay_settings settings;
	struct relay_guards guards;
	unsigned n_member_changes; /* counts changes of `members` */
	unsigned n_member_lists; /* lists of members received so far */
	char *name; /* of this proxy */
	char *zone; /* its data centre */
	const struct relay_ops *ops;
	void *ctx;
	GRand *rng;
	struct relay_catalog *catalog;
	GHashTable *services; /* name -> struct rservice */
	GHashTable *servers; /* id -> struct rserver */
	GHashTable *conns; /* id -> struct rconn */
	GHashTable *sessions; /* id -> struct rsession */
	GHashTable *peers; /* name -> struct rpeer: other proxies */
	unsigned n_peer_lists; /* lists of proxies merged so far */
	/* Counts changes of anything that decides who the homes are. */
	unsigned n_peer_changes;
	uint64_t peers_listed_at_us; /* time of the last list of proxies */
	/*
	 * Time of the last list that was larger by more than a few proxies, or
	 * of the first one if it did not name this proxy.
	 */
	uint64_t peers_grew_at_us;
	GPtrArray *served; /* struct rservice that the tick runs; see role.c */
	GPtrArray *active; /* struct rserver that the tick runs */
	GPtrArray *scheduled; /* struct rservice with a queue; scheduler.c */
	unsigned n_scheduled; /* statements in these queues */
	struct feed_source *feed_source;
	struct rplace *place;
	/* A list of proxies that is not applied yet, NULL: none; see peer.c */
	struct relay_server_info *peers_pending;
	uint64_t peers_pending_since_us; /* time at which it came */
	unsigned n_peers_pending; /* entries in it */
	bool active_stale; /* `active` must be rebuilt */
	bool self_listed; /* a list has named this proxy */
	bool knows_fleet; /* the list of proxies is complete; see peer.c */
	/* Database -> struct rservice whose servers are its homes; see via.c */
	GHashTable *via;
	uint64_t next_conn; /* id of the next connection */
	GQueue waiting; /* struct rrun by arrival */
	GHashTable *limits; /* account -> struct rlimit */
	GHashTable *limits_active; /* of these, the ones that the tick runs */
	GHashTable *members; /* proxies that may grant tokens; grantor.c */
	struct rservice *grantors; /* proxies that are asked for tokens */
	uint64_t limits_ticked_at_us; /* time at which the tick last ran the
					 limits */
	/* This proxy knows all that the store had at this time; 0: nothing. */
	uint64_t known_us;
	/* The newest configuration could not be read. */
	bool unreadable;
	uint64_t store_heard_at_us; /* time of the store's last answer */
	/* All that the store had at this revision has been reported. */
	uint64_t known_revision;
	uint64_t store_era; /* the newest era of the store that was read */
	unsigned n_server_lists; /* lists of servers received so far */
	bool store_lost; /* the store does not answer */
	bool listed; /* a list of servers has been received */
	uint64_t started_us; /* time of relay_create() */
	uint64_t ticked_us; /* time of the last tick */
	/* Time of the last removal of servers that had left the list. */
	uint64_t servers_swept_at_us;
	/* Time of the last check of the homes in use; see via.c */
	uint64_t homes_checked_at_us;
	/*
	 * Since when more than half of the databases in use have had no
	 * reachable home; 0: they have.
	 */
	uint64_t isolated_since_us;
	struct retry_budget retries;
	uint64_t stop_us; /* start of a planned stop, if `stopping` */
	/* Since when all that comes is refused, 0: it isn't; see stop.c */
	uint64_t finishing_since_us;
	bool stopping;

	/*
	 * The duty record: which proxy replaces failed primaries. A proxy
	 * claims the duty by writing it.
	 */
	bool duty_known; /* the record, or its absence, has been read */
	uint64_t duty_revision; /* the record's in the store, 0: no record */
	char *duty_holder; /* name of the proxy that claimed last */
	uint64_t duty_changed_at_us; /* time at which a new revision was seen */
	/*
	 * Last time at which another proxy was seen to have claimed the duty;
	 * it may have been replacing a primary then.
	 */
	uint64_t duty_others_seen_at_us;
	/* The same, not counting the record as first read; 0: never. */
	uint64_t duty_others_claimed_at_us;
	/* Since then a claim that the store has forgotten may be in use. */
	uint64_t store_returned_at_us;
	bool claiming; /* a claim awaits its answer */
	uint64_t claimed_at_us; /* start of the claim that gave `token` */
	uint64_t claim_sent_at_us; /* start of the last claim */
	uint64_t claim_expected; /* the revision that it replaces */
	uint64_t token; /* revision of this process's claim, 0: none */
	uint64_t token_expected; /* the revision that this claim replaced */
	struct rpending *pending; /* promotions that may take effect */

	struct counter *n_reads_replica;
	struct counter *n_reads_primary;
	struct counter *n_writes;
	struct counter *n_refused;
	struct counter *n_in_doubt;
	struct counter *n_promotions;
	struct counter *n_own;
	struct counter *n_opened;
	struct counter *n_lost;
	struct counter *n_limited;
	struct rmetrics *metrics;
};

/* relay.c */
struct relay_guards *relay_guards_of(struct relay *r);

/* registry.c */
struct rservice *registry_service(struct relay *r, const char *name);
struct rservice *registry_service_of_database(const struct relay *r,
					      const char *database);
void registry_remove_unlisted(struct relay *r, uint64_t now_us);
/* Adds a server that is not in the list. An id that is in use is ignored. */
void registry_add_unlisted(struct relay *r,
			   const struct relay_server_info *info,
			   uint64_t now_us);

/* position.c */
int position_cmp(struct position a, struct position b);
struct position position_max(struct position a, struct position b);

/* server.c */
struct rserver *rserver_create(struct rservice *service,
			       const struct relay_server_info *info,
			       uint64_t now_us);
void rserver_destroy(gpointer server);
void rserver_update(struct rserver *s, const struct relay_server_info *info,
		    uint64_t now_us);
bool rserver_is_unchanged(const struct rserver *s,
			  const struct relay_server_info *info);
bool rserver_keeps_conns(const struct rserver *s, uint64_t now_us);
bool rserver_is_up(const struct rserver *s);
/* Whether it may get new work: it is listed, or left the list a moment ago. */
bool rserver_takes_work(const struct rserver *s, uint64_t now_us);
/* The same for a primary, which keeps its work until it is replaced. */
bool rserver_takes_primary_work(const struct rserver *s, uint64_t now_us);
void rserver_on_answer(struct rserver *s, const struct relay_answer *answer,
		       uint64_t sent_us, uint64_t now_us);
void rserver_on_failure(struct rserver *s, bool refused, uint64_t since_us);
/* These three track whether its process is still the same; see server.c. */
void rserver_on_conn_broke(struct rserver *s, uint64_t now_us);
void rserver_on_conn_answered(struct rserver *s, const struct rconn *c,
			      uint64_t sent_us);
void rserver_on_conn_opened(struct rserver *s, uint64_t now_us);
void rserver_probe_soon(struct rserver *s);
void rserver_order(struct rserver *s, enum relay_verb verb, uint64_t term);
void rserver_repeat_order(struct rserver *s, enum relay_verb verb,
			  uint64_t term, uint64_t now_us);
void rserver_on_probe_answered(struct rconn *c,
			       const struct relay_answer *answer,
			       uint64_t now_us);
void rserver_tick(struct rserver *s, uint64_t now_us);
struct rservice *rservice_create(struct relay *r, const char *name);
void rservice_destroy(gpointer service);
struct rserver *rservice_server(const struct rservice *v, unsigned index);

/* conn.c */
struct rconn *rconn_open(struct rserver *s, const char *account,
			 uint64_t now_us);
void rconn_free(gpointer conn);
void rconn_close(struct rconn *c);
void rconn_send(struct rconn *c, enum rstep step,
		const struct relay_statement *statement, uint64_t timeout_us,
		uint64_t now_us);
struct rconn *rconn_find_idle(struct rserver *s,
			      const struct rsession *session);
const char *rconn_account(const struct rserver *s,
			  const struct rsession *session);
bool rconn_has_idle(const struct rserver *s, const char *account);
bool rconn_is_opening(const struct rserver *s, const char *account);
void rconn_assign(struct rconn *c, struct rsession *session);
void rconn_release(struct rconn *c, uint64_t now_us);
void rconn_roll_back(struct rconn *c, struct str id, uint64_t now_us);
void rconn_close_idle(struct rserver *s);
/* Whether this proxy keeps connections to the server at all. */
bool rconn_is_wanted(const struct rserver *s);
void rconn_tick(struct rserver *s, uint64_t now_us);
void rconn_expire(struct relay *r, uint64_t now_us);

/* session.c */
struct rsession *rsession_create(struct relay *r, uint64_t id,
				 const char *database, const char *key);
void rsession_destroy(gpointer session);
void rsession_tick(struct rsession *s, uint64_t now_us);
void rsession_end_if_stopping(struct rsession *s, uint64_t now_us);
void rsession_finish(struct rsession *s, uint64_t now_us);
void rsession_end_if_isolated(struct rsession *s, uint64_t now_us);
void rsession_end_if_cut_off(struct rsession *s, uint64_t now_us);
void rsession_answer(struct rsession *s, enum relay_code code,
		     const char *text);
/* Rolls back an open transaction and releases its connection. */
void rsession_abort_transaction(struct rsession *s, uint64_t now_us);

/* account.c */
enum relay_code raccount_check_key(struct rsession *s, uint64_t now_us,
				   const char **why);
uint64_t raccount_keys_age_us(const struct relay *r, uint64_t now_us);
bool raccount_are_keys_stale(const struct relay *r, uint64_t now_us);
unsigned raccount_priority(const struct rsession *s);

/* limit.c */
void rlimit_init(struct relay *r);
void rlimit_clear(struct relay *r);
void rlimit_on_catalog(struct relay *r, uint64_t now_us);
void rlimit_on_answer(struct rconn *c, const struct relay_answer *answer,
		      uint64_t now_us);
void rlimit_on_lost(struct rconn *c, uint64_t now_us);
void rlimit_on_closing(struct rconn *c);
void rlimit_request_all(struct relay *r, uint64_t now_us);
bool rlimit_applies(const struct rsession *s);
void rlimit_queue(struct rsession *s, uint64_t now_us);
void rlimit_dequeue(struct rsession *s);
void rlimit_on_timeout(struct rsession *s, uint64_t now_us);
void rlimit_tick(struct relay *r, uint64_t now_us);
void rlimit_write_status(const struct relay *r, GString *out);

/* grantor.c */
void rgrantor_on_peers(struct relay *r, const struct relay_server_info *infos,
		       unsigned n_infos, uint64_t now_us);
void rgrantor_on_request(struct rsession *s, const struct relay_statement *st,
			 uint64_t now_us);

/* run.c */
void rrun_begin(struct rsession *s, uint64_t now_us);
void rrun_fail(struct rsession *s, enum relay_code code, const char *text,
	       uint64_t now_us);
void rrun_try_start(struct rsession *s, uint64_t now_us);
void rrun_start(struct rsession *s, const struct relay_statement *statement,
		bool writes, uint64_t now_us);
void rrun_record(struct rsession *s, const struct relay_statement *statement,
		 uint64_t now_us);
void rrun_on_answer(struct rconn *c, enum rstep step,
		    const struct relay_answer *answer, uint64_t now_us);
void rrun_on_lost(struct rsession *s, struct rserver *server, bool timed_out,
		  uint64_t now_us);
void rrun_on_stop(struct rsession *s, uint64_t now_us);
void rrun_tick(struct rsession *s, uint64_t now_us);
bool rrun_is_active(const struct rsession *s);
bool rrun_has_time_for_peer(const struct rsession *s, uint64_t now_us);

/* steps.c: prepares a connection for its session's statement */
void rstep_next(struct rconn *c, uint64_t now_us);
bool rstep_on_answer(struct rconn *c, enum rstep step,
		     const struct relay_answer *answer);

/* pick.c */
struct rpick {
	struct rserver *server; /* NULL: none can run it now */
	struct rconn *conn; /* idle connection to it; NULL: none */
	struct position after; /* a replica's log must reach this */
	const char *why; /* reason for the choice, for logs */
	bool cut_off; /* another proxy may reach the primary; refuse it */
};
void rpick_choose(struct rsession *s, struct rpick *out, uint64_t now_us);
void rpick_consider(struct rserver *s, struct rserver **best, uint64_t *least,
		    const struct rsession *session, uint64_t now_us);
/* Slots of the servers that may run the session's run; cost_us: its own. */
void rpick_room(const struct rsession *s, struct rservice *v, uint64_t cost_us,
		struct squeue_room *out, uint64_t now_us);
void rpick_find_conn(struct rsession *s, struct rpick *out, uint64_t now_us);
/* Tracks since when the primary has been needed but could not be used. */
void rpick_track_primary_use(struct rservice *v, uint64_t wanted_at_us,
			     uint64_t now_us);
void rpick_log_candidates(const struct rsession *s,
			  const struct relay_profile *profile,
			  struct log_line *l, uint64_t now_us);

/* outlier.c */
uint64_t routlier_cost_us(const struct routlier *o, uint64_t now_us);
void routlier_on_answer(struct routlier *o, enum relay_code code,
			uint64_t now_us);
void routlier_on_lost(struct routlier *o, uint64_t now_us);

/* inflight_limit.c */
bool inflight_is_full(const struct rserver *s);
unsigned inflight_running(const struct rserver *s);
void inflight_on_sent(struct rserver *s);
void inflight_on_answer(struct rserver *s, uint64_t took_us,
			uint64_t target_latency_us, enum relay_code code,
			uint64_t now_us);

/* trust.c */
bool rtrust_is_in_doubt(const struct rserver *s, uint64_t now_us);
bool rtrust_is_list_fresh(const struct relay *r, uint64_t at_us);
void rtrust_end_doubts(const struct rservice *v, uint64_t unpaused_us);
bool rtrust_suffices_alone(const struct rserver *s, uint64_t now_us);
uint64_t rtrust_lease_start_us(const struct rserver *s, uint64_t now_us);

/* primary.c */
bool rprimary_lease_holds(const struct rservice *v, uint64_t at_us);
void rprimary_on_status(struct rserver *s, uint64_t started_us,
			uint64_t now_us);
void rprimary_on_position(struct rserver *s, struct position p,
			  uint64_t sent_us);
void rprimary_probe_all(struct rservice *v);
void rprimary_on_listed(struct rserver *s, uint64_t now_us);
void rprimary_on_unpaused(struct rserver *s, uint64_t now_us);
void rprimary_on_maybe_restarted(struct rserver *s, uint64_t now_us);
bool rprimary_needs_renewal(const struct rservice *v, uint64_t now_us);
void rprimary_renew_lease(struct rservice *v, uint64_t now_us);
void rprimary_on_applied(struct rserver *s, struct position p, uint64_t now_us);
void rprimary_on_read_only(struct rserver *s, uint64_t now_us);
void rprimary_drop(struct rserver *s, uint64_t now_us);
bool rprimary_read_floor(const struct rservice *v, uint64_t max_age_us,
			 uint64_t now_us, struct rsample *out);

/* duty.c */
bool rduty_is_held_elsewhere(const struct relay *r, uint64_t now_us);
bool rduty_is_claim_valid(const struct relay *r, uint64_t now_us);
void rduty_claim(struct relay *r, uint64_t now_us);
void rduty_await_forgotten(struct relay *r, uint64_t now_us);
void rduty_on_store_returned(struct relay *r, uint64_t now_us);

/* cleanup.c */
void rcleanup_tick(struct rservice *v, uint64_t now_us);

/* fence.c */
uint64_t rfence_next_term(const struct rservice *v);
bool rfence_any_unpaused(const struct rservice *v);
bool rfence_pause_others(struct rservice *v, uint64_t now_us);
bool rfence_at_most_one_unpaused(const struct rservice *v);
bool rfence_pauses_reported_again(const struct rservice *v);
bool rfence_knows_all_servers(const struct rservice *v);

/* failover.c */
void rfailover_tick(struct rservice *v, uint64_t now_us);
void rfailover_on_claimed(struct relay *r, enum relay_claim outcome,
			  uint64_t now_us);
/* Another proxy has claimed the duty while a promotion was requested. */
void rfailover_on_duty_lost(struct relay *r, uint64_t now_us);
void rfailover_on_promoted(struct rservice *v, enum relay_promoted outcome,
			   uint64_t now_us);
void rfailover_on_status(struct rserver *s, uint64_t now_us);
void rfailover_on_maybe_restarted(struct rserver *s, uint64_t now_us);
bool rfailover_is_running(const struct rservice *v);
bool rfailover_is_promotion_pending(const struct rservice *v, uint64_t now_us);
const char *rfailover_phase_name(enum rphase phase);
uint64_t rfailover_expected_primary_at_us(const struct rservice *v);

/* rlog.c */
bool rlog_is_sampled(const struct relay *r, const GString *id);
const char *rlog_kind_name(enum relay_kind kind);
void rlog_position(struct log_line *l, const char *key, struct position p);
void rlog_statement(const struct rsession *s, enum relay_code code,
		    struct str text, uint64_t now_us);
void rlog_route(const struct rsession *s, const struct rpick *pick,
		uint64_t now_us);
void rlog_retry(const struct rsession *s, const char *server,
		enum relay_code code, uint64_t now_us);
void rlog_session(const struct rsession *s, const char *event, const char *why,
		  uint64_t now_us);
struct log_line *rlog_server(const struct rserver *s, const char *event);
void rlog_server_event(const struct rserver *s, const char *event);
void rlog_not_relied_on(struct rserver *by, uint64_t counts_us,
			bool is_doubted);

/* rmetrics.c */
struct rmetrics *rmetrics_create(struct counter_set *set);
void rmetrics_destroy(struct rmetrics *m);
void rmetrics_statement(const struct rsession *s, enum relay_code code,
			uint64_t now_us);
void rmetrics_waited(const struct relay *r, uint64_t us);
void rmetrics_refused(const struct relay *r, enum sadmit_verdict verdict);
void rmetrics_answered(const struct rserver *s, uint64_t us);
void rmetrics_store_era(struct relay *r, uint64_t era, bool returned);
void rmetrics_store_call(const struct relay *r, uint64_t us);
void rmetrics_pause(const struct relay *r);
void rmetrics_fence_repeated(const struct relay *r);
void rmetrics_set_gauges(const struct relay *r, uint64_t now_us);

#endif
