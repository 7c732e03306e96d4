#ifndef CELERYQUAY_RELAY_INTERNAL_H
#define CELERYQUAY_RELAY_INTERNAL_H

/*
 * The relay's tables and the systems that run over them. Prefixes: rsv_
 * servers, rcn_ their connections, rss_ callers' sessions, rrun_ the statement
 * that a session has in flight, rpk_ which server runs it, rld_ who is
 * primary, rwd_ whose word on that counts, rch_ its replacement, rfn_ the
 * fence of that, rdt_ the duty record, rtd_ what changes leave behind, rco_
 * network partitions, rpr_ other proxies, rrl_ roles, rrk_ ranks, rvi_ homes
 * that sessions go through, rac_ client accounts, rlm_ their limits, rgr_ who
 * gives tokens of these, rol_ servers that fail in part, rcl_ limits of what is
 * in flight at a server, rlg_ log lines, rmt_ metrics.
 */

#include <celeryquay/base/log_event.h>
#include <celeryquay/core/retry.h>
#include <celeryquay/relay/feed_source.h>
#include <celeryquay/relay/relay.h>

#define NEVER_US UINT64_MAX
#define TICK_US (20 * USEC_PER_MSEC)
/*
 * A promotion takes effect within this time of its claim, or never: a claim
 * serves for 1.5 s, the platform may take 1.5 s to be told and a second to
 * carry it out; and a second more.
 */
#define PROMOTED_WITHIN_US (5 * USEC_PER_SEC)

struct rservice;
struct rserver;
struct rsession;
struct rlimit;

/* What a proxy that asks for tokens names in place of a database. */
#define RELAY_LIMITS "*limits"
/* Of an account; with one gone, the others still give most of its rate. */
#define LIMIT_GRANTORS 4

#define RUN_TRIES 6

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

enum rconn_state { RCONN_OPENING, RCONN_IDLE, RCONN_LENT };

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
	uint64_t noted_us; /* cost_us was updated then */
};

/* The limit of connections to a server that are busy at once; see climit.c. */
struct rclimit {
	double most; /* the limit, 0: none */
	unsigned peak; /* most busy at once since the last evaluation */
	unsigned n; /* answers since then */
	unsigned n_slow; /* of these, slow or shed */
	uint64_t judged_us; /* last evaluation */
};

/* What shows that a replica was not paused. */
enum revidence { EVIDENCE_STATUS, EVIDENCE_APPLIED, EVIDENCES };

struct rserver {
	struct relay *relay;
	struct rservice *service;
	struct relay_server_info info;
	bool listed;
	unsigned list; /* the last that named it */
	bool moved; /* another server answers at its address */
	bool refused; /* nothing listens there */
	bool probe_now;
	bool order_wanted; /* in place of the next status */
	uint64_t held_seen; /* this pause, see tidy.c */
	uint64_t held_seen_us; /* was first seen then */
	uint64_t listed_us; /* was first listed then */
	uint64_t unlisted_us; /* left the list then */
	uint64_t leaving_us; /* was first seen leaving then */

	struct rconn *probing; /* carries a status or an order now */
	GQueue idle;
	GQueue opening;
	unsigned n_conns; /* opening ones included */
	unsigned in_flight; /* callers' statements */
	unsigned n_busy; /* connections that wait for an answer */
	unsigned n_stuck; /* of these, answers that are probably lost */
	uint64_t open_after_us;
	uint64_t refused_until_us; /* it refused a connection */
	uint64_t cut_off_us; /* a proxy that said then that it can't serve */

	struct position applied; /* the newest that it showed */
	uint64_t lagging_us; /* it lacked what a read must see then */
	uint64_t lag_us; /* how far behind it was at most, NEVER_US: unknown */
	struct relay_status status;
	uint64_t status_us; /* start of the probe that gave it, 0: none */
	uint64_t heard_us;
	uint64_t asked_us; /* a grantor: for tokens */
	uint64_t broke_us; /* a connection broke then, 0: all is known */
	uint64_t doubted_us; /* it may know of no pause since, 0: no; word.c */
	bool doubted_as_new; /* since it was listed, not for a restart */
	uint64_t agreed_us; /* it knew of no term above agreed_term then */
	uint64_t agreed_term;
	uint64_t confirmed_change[EVIDENCES]; /* the last primary_changes */
	uint64_t left_aside_change; /* the last that its word was told in */
	const char *left_aside_why; /* and the reason then */
	uint64_t failing_us; /* since when probes fail, 0: they don't */
	uint64_t probed_us; /* the last probe was sent then */
	uint64_t latency_us; /* smoothed, of callers' statements */
	struct routlier outlier;
	struct rclimit limit;

	enum relay_verb order;
	uint64_t order_term;
	uint64_t order_sent_us;
};

enum rphase {
	PHASE_WATCH,
	PHASE_CLAIM, /* the duty record is being written */
	PHASE_FENCE, /* nobody may commit at the old primary any more */
	PHASE_CATCH_UP, /* the target gets what the old primary has */
	PHASE_HOLD, /* what others know of the old primary runs out */
	PHASE_PROMOTE, /* the platform was told */
	PHASE_SETTLE, /* the target doesn't lead yet */
};

#define SAMPLES 64

/* Whatever was acknowledged before `us` is at or before `position`. */
struct rsample {
	uint64_t us;
	struct position position;
};

/* This proxy's place among those that may be homes of a service. */
struct rrank {
	uint64_t seed; /* what the service's draws start from */
	uint64_t draw; /* this proxy's */
	unsigned n_before; /* proxies with a better one */
};

struct rservice {
	struct relay *relay;
	char *name;
	bool peers; /* its servers are proxies, its name is a database's */
	bool is_home; /* this proxy connects to its servers */
	bool configured; /* the configuration in force has it */
	bool alive_elsewhere; /* others reach a primary that fails here */
	bool act_armed;
	bool stepped_down; /* the old primary said so */
	unsigned n_samples;
	struct rrank rank;
	GPtrArray *homes; /* names; only rrl_homes() has them up to date */
	GPtrArray *spares; /* names; the same with rrl_spares() */
	unsigned homes_of; /* the relay's peers_changed that they are of */
	uint64_t spare_us; /* as a spare, this proxy was asked last then */
	unsigned homes_changed; /* how often; peers: when they were listed */
	unsigned max_connections;
	uint64_t usable_us; /* a primary could be used here then */
	uint64_t in_vain_us; /* since when statements want it in vain, or 0 */
	GPtrArray *servers; /* struct rserver */
	bool had_others; /* more than one at once */

	struct rserver *primary; /* NULL: not known */
	uint64_t term; /* the highest that was seen */
	uint64_t term_us; /* for the first time then */
	uint64_t primary_changes; /* how often another was taken for it */
	uint64_t confirmed_us; /* a replica knew of no higher term then */
	struct rserver *confirmed_by; /* this one; NULL: none, or it is gone */
	uint64_t wanted_us; /* a statement needed the primary then */
	uint64_t no_primary_us; /* since when there is none */
	uint64_t watch_us; /* the primary fails; replicas are watched since */
	struct position watch_position; /* the newest that one had then */
	struct rsample samples[SAMPLES]; /* a ring, oldest overwritten */
	uint64_t samples_term;

	enum rphase phase;
	unsigned tries;
	uint64_t phase_us;
	uint64_t act_after_us; /* jitter, and damping after a failure */
	const char *reason;
	struct rserver *old; /* the primary being replaced */
	uint64_t old_term; /* the highest that was seen at its start */
	struct position old_position;
	struct rserver *target;
	uint64_t fence_term;
	uint64_t fenced_us;
	uint64_t told_us; /* the platform was then, 0: never */
	char *told_to; /* to promote this one, by its id */
	bool told_before; /* and may act yet on what an earlier fence was for */
};

enum rrun_state {
	RRUN_NONE,
	RRUN_LIMITED, /* waits for a token of its account; limit.c */
	RRUN_WAITING, /* queued for a server and a connection */
	RRUN_RUNNING, /* has a connection */
	RRUN_PAUSED, /* waits to retry on its connection; server was busy */
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
	uint64_t give_up_us; /* refused then if no server was found */
	uint64_t token_by_us; /* refused then if it has no token */
	uint64_t again_us; /* the next try is not before then */
	uint64_t answered_us; /* the server answered then; RRUN_CONFIRMING */
	struct rserver *failed_by[RUN_TRIES]; /* servers of failed tries */
	struct rtry failed[RUN_TRIES]; /* the same tries, for the log */
	GString *server; /* name of the server of the last try */
	enum relay_code code; /* answer to the last failed try */
	unsigned tries; /* failed ones */
	struct rserver *done_by; /* server that ran it; RRUN_CONFIRMING */
	struct position after; /* a replica's log must reach this */
	GList link; /* in the relay's waiting runs, or a limit's */
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
	uint64_t floor_us; /* the primary's log had reached it then */
	struct rconn *conn; /* that it uses now, or NULL */
	bool read_only; /* the open transaction is */
	bool wrote; /* the open transaction has written */
	bool limited; /* the open transaction has its token */
	uint64_t used_us; /* last statement or answer */
	bool hung_up; /* its caller was told to disconnect */
	bool peer; /* opened by another proxy */
	struct rrun run;
};

/*
 * Guards that tests switch off to see that their checkers notice. All are on
 * otherwise.
 */
struct relay_guards {
	bool confirm_writes; /* told only if no other primary can be */
	bool hold_before_promote; /* what others know runs out first */
	bool fence; /* the old primary can't commit any more */
	bool check_floor; /* a replica has what the read must see */
	bool clean_values; /* no value goes to the next session */
	bool no_second_write_try; /* what may have run isn't sent again */
	bool fresh_claim; /* no promotion with an old token */
	bool resume_under_duty; /* no pause of a running change is ended */
	bool avoid_outliers; /* servers that fail in part cost more */
	bool limit_in_flight; /* what would queue at a server waits here */
	bool doubt_reborn; /* what a server knew before its start is gone */
	bool claim_after_fence; /* no server is missing in the fence */
	bool doubt_unpaused; /* a promotion ends pauses, too */
	bool doubt_newcomers; /* who was just listed may know of no change */
	bool check_list_age; /* a word may count here alone */
	bool leave_when_cut_off; /* callers go to proxies that can serve */
	bool own_connections; /* a connection is of one account */
	bool check_keys; /* with each operation */
	bool check_key_age; /* a key may have been taken away */
	bool limit_accounts; /* each operation takes a token */
	bool renew_at_once; /* a lease that a statement waits for */
};

struct relay {
	struct relay_settings settings;
	struct relay_guards guards;
	unsigned members_changed; /* how often */
	unsigned members_lists; /* how many came */
	char *name;
	char *zone;
	const struct relay_ops *ops;
	void *ctx;
	GRand *rng;
	struct relay_catalog *catalog;
	GHashTable *services; /* name -> struct rservice */
	GHashTable *servers; /* id -> struct rserver */
	GHashTable *conns; /* id -> struct rconn */
	GHashTable *sessions; /* id -> struct rsession */
	GHashTable *peers; /* name -> struct rpeer: other proxies */
	unsigned peers_lists; /* how many came */
	unsigned peers_changed; /* how often homes may have changed */
	uint64_t peers_us; /* the last came then */
	uint64_t peers_grew_us; /* by more than a few */
	GPtrArray *served; /* struct rservice to look after; see role.c */
	GPtrArray *active; /* struct rserver, the same */
	struct feed_source *feed_source;
	struct relay_server_info *peers_held; /* a list not believed yet */
	uint64_t peers_held_us;
	unsigned n_held; /* proxies in it */
	bool active_stale; /* `active` is to be listed anew */
	bool self_listed; /* a list has named this proxy */
	bool knows_fleet; /* who else there is; see peer.c */
	GHashTable
		*via; /* database -> struct rservice whose servers are homes */
	uint64_t next_conn;
	GQueue waiting; /* struct rrun by arrival */
	GHashTable *limits; /* account -> struct rlimit */
	GHashTable *limits_active; /* those that have something to do */
	GHashTable *members; /* proxies that may grant; grantor.c */
	struct rservice *grantors; /* proxies that are asked for tokens */
	uint64_t limits_us; /* they were looked after then */
	uint64_t known_us; /* all that the store had then is known */
	bool unreadable; /* a configuration that could not be read came */
	uint64_t store_heard_us; /* the store's last answer */
	uint64_t known_revision; /* what the store had then was told */
	unsigned servers_lists; /* how often one came */
	bool store_lost; /* it has not answered since */
	bool listed; /* the list of servers came */
	uint64_t started_us;
	uint64_t ticked_us;
	uint64_t swept_us; /* servers that are gone were taken out then */
	uint64_t minded_us; /* homes were looked after then */
	uint64_t isolated_us; /* since when hardly a home is reached, 0: not */
	struct retry_budget retries;
	uint64_t stop_us;
	bool stopping;

	/* The duty of replacing primaries. */
	bool duty_known;
	uint64_t duty_revision;
	char *duty_holder;
	uint64_t duty_changed_us;
	uint64_t duty_used_us; /* another may have been at a change then */
	uint64_t duty_others_us; /* another claimed it then, 0: not since start
				  */
	bool claiming;
	uint64_t claimed_us; /* start of the claim that gave the token */
	uint64_t claim_sent_us;
	uint64_t token; /* 0: none */

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

/* listed.c */
struct rservice *rls_service(struct relay *r, const char *name);
struct rservice *rls_service_of(const struct relay *r, const char *database);
void rls_sweep(struct relay *r, uint64_t now_us);

/* position.c */
int position_cmp(struct position a, struct position b);
struct position position_max(struct position a, struct position b);

/* server.c */
struct rserver *rsv_create(struct rservice *service,
			   const struct relay_server_info *info,
			   uint64_t now_us);
void rsv_destroy(gpointer server);
void rsv_update(struct rserver *s, const struct relay_server_info *info,
		uint64_t now_us);
bool rsv_is_as_listed(const struct rserver *s,
		      const struct relay_server_info *info);
bool rsv_is_wanted(const struct rserver *s, uint64_t now_us);
bool rsv_is_up(const struct rserver *s);
/* Whether new work may go there: listed, or gone only a moment ago. */
bool rsv_takes_work(const struct rserver *s, uint64_t now_us);
/* The same for a primary, which goes on until another has its place. */
bool rsv_leads_on(const struct rserver *s, uint64_t now_us);
void rsv_heard(struct rserver *s, const struct relay_answer *answer,
	       uint64_t sent_us, uint64_t now_us);
void rsv_failed(struct rserver *s, bool refused, uint64_t since_us);
/* Whether it still is the process that it was; see server.c. */
void rsv_conn_broke(struct rserver *s, uint64_t now_us);
void rsv_conn_answered(struct rserver *s, const struct rconn *c,
		       uint64_t sent_us);
void rsv_conn_opened(struct rserver *s, uint64_t now_us);
void rsv_probe_soon(struct rserver *s);
void rsv_order(struct rserver *s, enum relay_verb verb, uint64_t term);
void rsv_order_again(struct rserver *s, enum relay_verb verb, uint64_t term,
		     uint64_t now_us);
void rsv_probe_answered(struct rconn *c, const struct relay_answer *answer,
			uint64_t now_us);
void rsv_tick(struct rserver *s, uint64_t now_us);
struct rservice *rservice_create(struct relay *r, const char *name);
void rservice_destroy(gpointer service);
struct rserver *rservice_server(const struct rservice *v, unsigned index);

/* conn.c */
struct rconn *rcn_open(struct rserver *s, const char *account, uint64_t now_us);
void rcn_free(gpointer conn);
void rcn_close(struct rconn *c);
void rcn_send(struct rconn *c, enum rstep step,
	      const struct relay_statement *statement, uint64_t timeout_us,
	      uint64_t now_us);
struct rconn *rcn_take(struct rserver *s, const struct rsession *session);
bool rcn_may_open(const struct rserver *s, uint64_t now_us);
const char *rcn_account(const struct rserver *s,
			const struct rsession *session);
bool rcn_has_idle(const struct rserver *s, const char *account);
bool rcn_is_opening(const struct rserver *s, const char *account);
/* `close` false: only checks whether there is one to close. */
bool rcn_make_room(struct rserver *s, bool close, uint64_t now_us);
void rcn_lend(struct rconn *c, struct rsession *session);
void rcn_give_back(struct rconn *c, uint64_t now_us);
void rcn_roll_back(struct rconn *c, struct str id, uint64_t now_us);
void rcn_close_idle(struct rserver *s);
/* Whether this proxy keeps connections to the server at all. */
bool rcn_is_ours(const struct rserver *s);
void rcn_tick(struct rserver *s, uint64_t now_us);
void rcn_expire(struct relay *r, uint64_t now_us);

/* session.c */
struct rsession *rss_create(struct relay *r, uint64_t id, const char *database,
			    const char *key);
void rss_destroy(gpointer session);
void rss_tick(struct rsession *s, uint64_t now_us);
void rss_end_if_stopping(struct rsession *s, uint64_t now_us);
void rss_end_if_isolated(struct rsession *s, uint64_t now_us);
void rss_end_if_cut_off(struct rsession *s, uint64_t now_us);
void rss_answer(struct rsession *s, enum relay_code code, const char *text);
/* Rolls back an open transaction and releases its connection. */
void rss_abort(struct rsession *s, uint64_t now_us);

/* account.c */
enum relay_code rac_check(struct rsession *s, uint64_t now_us,
			  const char **why);
uint64_t rac_age_us(const struct relay *r, uint64_t now_us);
bool rac_is_stale(const struct relay *r, uint64_t now_us);
unsigned rac_priority(const struct rsession *s);

/* limit.c */
void rlm_init(struct relay *r);
void rlm_clear(struct relay *r);
void rlm_on_catalog(struct relay *r, uint64_t now_us);
void rlm_on_answer(struct rconn *c, const struct relay_answer *answer,
		   uint64_t now_us);
void rlm_on_lost(struct rconn *c, uint64_t now_us);
void rlm_forget(struct rconn *c);
void rlm_serve_all(struct relay *r, uint64_t now_us);
bool rlm_applies(const struct rsession *s);
void rlm_take(struct rsession *s, uint64_t now_us);
void rlm_drop(struct rsession *s);
void rlm_give_up(struct rsession *s, uint64_t now_us);
void rlm_tick(struct relay *r, uint64_t now_us);
void rlm_write_status(const struct relay *r, GString *out);

/* grantor.c */
void rgr_on_peers(struct relay *r, const struct relay_server_info *infos,
		  unsigned n_infos, uint64_t now_us);
void rgr_on_asked(struct rsession *s, const struct relay_statement *st,
		  uint64_t now_us);

/* run.c */
void rrun_begin(struct rsession *s, uint64_t now_us);
void rrun_refuse_limited(struct rsession *s, const char *text, uint64_t now_us);
void rrun_start(struct rsession *s, const struct relay_statement *statement,
		bool writes, uint64_t now_us);
void rrun_note(struct rsession *s, const struct relay_statement *statement,
	       uint64_t now_us);
void rrun_dispatch(struct relay *r, uint64_t now_us);
void rrun_on_answer(struct rconn *c, enum rstep step,
		    const struct relay_answer *answer, uint64_t now_us);
void rrun_on_lost(struct rsession *s, struct rserver *server, bool timed_out,
		  uint64_t now_us);
void rrun_tick(struct rsession *s, uint64_t now_us);
bool rrun_is_active(const struct rsession *s);
bool rrun_has_time_for_peer(const struct rsession *s, uint64_t now_us);

/* steps.c: prepares a connection for its session's statement */
void rstep_next(struct rconn *c, uint64_t now_us);
bool rstep_done(struct rconn *c, enum rstep step,
		const struct relay_answer *answer);

/* pick.c */
struct rpick {
	struct rserver *server; /* NULL: none can run it now */
	struct rconn *conn; /* idle connection to it; NULL: none */
	struct position after; /* a replica's log must reach this */
	const char *why; /* reason for the choice, for logs */
	bool cut_off; /* another proxy may reach the primary; refuse it */
};
void rpk_choose(struct rsession *s, struct rpick *out, uint64_t now_us);
void rpk_consider(struct rserver *s, struct rserver **best, uint64_t *least,
		  const struct rsession *session, uint64_t now_us);
void rpk_take_conn(struct rsession *s, struct rpick *out, uint64_t now_us);
/* Tracks since when the primary has been needed but could not be used. */
void rpk_note_primary_use(struct rservice *v, uint64_t wanted_us,
			  uint64_t now_us);
void rpk_log_candidates(const struct rsession *s,
			const struct relay_profile *profile, struct log_line *l,
			uint64_t now_us);

/* peer.c */
GHashTable *rpr_table(void);
void rpr_clear(struct relay *r);
const struct relay_server_info *rpr_find(const struct relay *r,
					 const char *name);
void rpr_on_catalog(struct relay *r, uint64_t now_us);
void rpr_tick(struct relay *r, uint64_t now_us);

/* role.c */
unsigned rrl_proxies(const struct relay *r);
bool rrl_update(struct relay *r);
void rrl_list_served(struct relay *r);
GPtrArray *rrl_homes(struct rservice *v);
GPtrArray *rrl_spares(struct rservice *v);
void rrl_on_service(struct rservice *v);
void rrl_on_asked(struct rservice *v, uint64_t now_us);
void rrl_end_spares(struct relay *r, uint64_t now_us);

/* rank.c */
void rrk_init(struct rservice *v);
void rrk_on_come(struct rservice *v, const char *name);
void rrk_on_gone(struct rservice *v, const char *name);
unsigned rrk_first(const struct rservice *v, const char **names, unsigned max);

/* via.c */
void rvi_update_home(struct relay *r, const struct relay_server_info *p,
		     uint64_t now_us);
struct rserver *rvi_list_home(struct rservice *via,
			      const struct relay_server_info *p,
			      uint64_t now_us);
void rvi_list_all(struct relay *r, uint64_t now_us);
void rvi_tick(struct relay *r, uint64_t now_us);
bool rvi_may_help(const struct rsession *s, struct rservice *v,
		  uint64_t now_us);
bool rvi_is_isolated(const struct relay *r, uint64_t now_us);
bool rvi_has_no_home(const struct rsession *s, uint64_t now_us);
bool rvi_is_cut_off(struct rservice *v, uint64_t now_us);
bool rvi_is_good_home(const struct rserver *s, uint64_t now_us);
bool rvi_on_refused(const struct rsession *s, struct rserver *home);
void rvi_choose(struct rsession *s, const struct relay_profile *profile,
		struct rservice *v, struct rpick *out, uint64_t now_us);

/* cutoff.c */
bool rco_is_cut_off(const struct rservice *v, uint64_t now_us);
bool rco_is_any_cut_off(const struct relay *r, uint64_t now_us);
void rco_tick(struct relay *r, uint64_t now_us);

/* outlier.c */
uint64_t rol_cost_us(const struct routlier *o, uint64_t now_us);
void rol_on_answer(struct routlier *o, enum relay_code code, uint64_t now_us);
void rol_on_lost(struct routlier *o, uint64_t now_us);

/* climit.c */
bool rcl_is_full(const struct rserver *s);
void rcl_on_sent(struct rserver *s);
void rcl_on_answer(struct rserver *s, uint64_t took_us, uint64_t aim_us,
		   enum relay_code code, uint64_t now_us);

/* word.c */
bool rwd_is_doubted(const struct rserver *s, uint64_t now_us);
bool rwd_is_list_fresh(const struct relay *r, uint64_t at_us);
void rwd_end_doubts(const struct rservice *v, uint64_t unpaused_us);
bool rwd_counts_alone(const struct rserver *s, uint64_t now_us);
uint64_t rwd_since_us(const struct rserver *s, uint64_t now_us);

/* lead.c */
bool rld_holds(const struct rservice *v, uint64_t at_us);
void rld_on_status(struct rserver *s, uint64_t started_us, uint64_t now_us);
void rld_on_position(struct rserver *s, struct position p, uint64_t sent_us);
void rld_ask(struct rservice *v);
void rld_on_listed(struct rserver *s, uint64_t now_us);
void rld_on_unpaused(struct rserver *s, uint64_t now_us);
void rld_on_doubt(struct rserver *s, uint64_t now_us);
bool rld_wants(const struct rservice *v, uint64_t now_us);
void rld_renew(struct rservice *v, uint64_t now_us);
void rld_on_applied(struct rserver *s, struct position p, uint64_t now_us);
void rld_on_read_only(struct rserver *s, uint64_t now_us);
void rld_drop(struct rserver *s, uint64_t now_us);
bool rld_floor(const struct rservice *v, uint64_t max_age_us, uint64_t now_us,
	       struct rsample *out);

/* duty.c */
bool rdt_is_others(const struct relay *r, uint64_t now_us);
bool rdt_is_fresh(const struct relay *r, uint64_t now_us);
void rdt_claim(struct relay *r, uint64_t now_us);

/* tidy.c */
void rtd_tick(struct rservice *v, uint64_t now_us);

/* fence.c */
uint64_t rfn_term(const struct rservice *v);
bool rfn_any_unpaused(const struct rservice *v);
bool rfn_pause_others(struct rservice *v, uint64_t now_us);
bool rfn_no_two_are_left(const struct rservice *v);
bool rfn_pauses_stand(const struct rservice *v);
bool rfn_knows_all_servers(const struct rservice *v);

/* change.c */
void rch_tick(struct rservice *v, uint64_t now_us);
void rch_on_claimed(struct relay *r, enum relay_claim outcome, uint64_t now_us);
void rch_on_promoted(struct rservice *v, bool accepted, uint64_t now_us);
void rch_on_status(struct rserver *s, uint64_t now_us);
void rch_on_doubt(struct rserver *s, uint64_t now_us);
bool rch_is_running(const struct rservice *v);
bool rch_is_told(const struct rservice *v, uint64_t now_us);
const char *rch_phase_name(enum rphase phase);
uint64_t rch_expected_us(const struct rservice *v);

/* rlog.c */
bool rlg_is_sampled(const struct relay *r, const GString *id);
const char *rlg_kind_name(enum relay_kind kind);
void rlg_position(struct log_line *l, const char *key, struct position p);
void rlg_statement(const struct rsession *s, enum relay_code code,
		   struct str text, uint64_t now_us);
void rlg_route(const struct rsession *s, const struct rpick *pick,
	       uint64_t now_us);
void rlg_retry(const struct rsession *s, const char *server,
	       enum relay_code code, uint64_t now_us);
void rlg_session(const struct rsession *s, const char *event, const char *why,
		 uint64_t now_us);
struct log_line *rlg_server(const struct rserver *s, const char *event);
void rlg_server_event(const struct rserver *s, const char *event);
void rlg_left_aside(struct rserver *by, uint64_t counts_us, bool is_doubted);

/* rmetrics.c */
struct rmetrics *rmt_create(struct counter_set *set);
void rmt_destroy(struct rmetrics *m);
void rmt_statement(const struct rsession *s, enum relay_code code,
		   uint64_t now_us);
void rmt_waited(const struct relay *r, uint64_t us);
void rmt_answered(const struct rserver *s, uint64_t us);
void rmt_store_call(const struct relay *r, uint64_t us);
void rmt_pause(const struct relay *r);
void rmt_fence_again(const struct relay *r);
void rmt_set_gauges(const struct relay *r, uint64_t now_us);

#endif
