#ifndef CELERYQUAY_CORE_GROUP_INTERNAL_H
#define CELERYQUAY_CORE_GROUP_INTERNAL_H

/*
 * Shared by the group's files: its tables (servers, connections, requests, long
 * transactions) and the processing steps that work on them.
 */

#include <celeryquay/core/admit.h>
#include <celeryquay/core/group.h>
#include <celeryquay/core/retry.h>
#include <celeryquay/core/route.h>

#include "conn_pool.h"
#include "group_sql.h"
#include "outcome.h"

/*
 * Added to the caller's limit on result bytes: room for the element that
 * cq_read_position() appends to the results.
 */
#define POSITION_RESULT_MAX_BYTES 128

/*
 * Safety checks, all on in production. Tests switch single ones off to show
 * that the test would notice their absence.
 */
struct group_guards {
	/* Insert each write's key into the outcome table. */
	bool outcome_key;
	/* Refuse a key that is sent again with another body. */
	bool check_digest;
	/* Detect by the commit position that a statement ended the block. */
	bool check_split;
	/* Refuse statements whose first word begins or ends a transaction. */
	bool refuse_control;
	/* Acknowledge a write only once a majority has received it. */
	bool confirm_writes;
	/* The same for an outcome that was read from the outcome table. */
	bool confirm_repeats;
	/* The same for the position that a read on the primary saw. */
	bool confirm_reads;
	/* Settle an uncertain write instead of reporting it as not run. */
	bool settle;
	/* Settle refusals of requests of which another try may still run. */
	bool settle_resends;
	/* Settle refusals of keys that were answered as unknown before. */
	bool remember_unknown;
	/* A read must have seen at least what its session has seen. */
	bool check_read_position;
	/* Check a queued read's freshness bounds again when it starts. */
	bool check_age;
	/* Reset a connection's session state before its next use. */
	bool clean_state;
	/* Accept a status only with the configured server's name. */
	bool check_name;
	/* A long transaction serves only the caller that began it. */
	bool check_caller;
};

/* A grant, promote or follow call that waits for the probe connection. */
struct server_call {
	enum failover_call kind;
	uint64_t term;
	char name[64]; /* the holder; for CALL_FOLLOW the primary's name */
};

struct server {
	struct group *group;
	char *name;
	char *host;
	uint16_t port;
	unsigned slots; /* configured number of concurrent requests */
	unsigned connections; /* connection limit for all homes together */
	bool leaving; /* marked as leaving in the configuration */
	bool removed; /* not in use; freed once its connections are closed */
	int index; /* index in fresh and failover; -1 once removed */
	struct admit *admit; /* the queue before its slots */

	GQueue work_conns; /* struct conn of role CONN_WORK */
	struct conn *probe; /* for probes and failover calls; NULL: none */
	struct conn *long_poll; /* for the long poll cq_wait(); NULL: none */
	unsigned pinned; /* number of long transactions on the server */

	bool probe_requested; /* a probe was requested and not yet sent */
	bool probe_urgent; /* failover requested it: sent without delay */
	bool probe_failed; /* the last probe failed */
	uint64_t probe_earliest_us; /* earliest start that serves the request */
	uint64_t probe_started_us; /* start of the last probe or opening */
	GQueue calls; /* queued struct server_call */
	struct server_call call; /* the call in flight, if call_running */
	bool call_running;
	bool call_stale; /* in flight for a failover object that was freed */
	char *status_json; /* JSON of the last status; parsed: status */
	struct server_status status;

	uint64_t heard_us; /* time of the last answer on any connection */
	uint64_t open_after_us; /* no opening before this time (back-off) */
	uint64_t open_backoff_us; /* next back-off; 0: the least */
	uint64_t latency_us; /* smoothed service time of a request */

	uint64_t outcome_table_term; /* term for which the outcome table was
					ensured */
	bool preparing; /* its creation is in flight */
	uint64_t prepare_retry_at_us; /* no creation is sent before this */
};

struct run;

enum run_state {
	RUN_WAITING, /* waits for a server; wait_code says why */
	RUN_QUEUED, /* waits for a slot of its server */
	RUN_RUNNING, /* statements run; no commit was sent yet */
	RUN_COMMITTING, /* the commit was sent */
	RUN_CONFIRMING, /* waits until a majority has its position */
	RUN_SETTLE_WAIT, /* uncertain; waits for the next try to settle */
	RUN_SETTLING, /* a try to settle is in flight */
	RUN_ANSWERED, /* waits for run_flush() to deliver the answer */
	RUN_STATES,
};

/* The properties of a kind of request. */
struct run_type {
	const char *name;
	bool to_primary; /* routed like a write */
	bool writes; /* has its outcome recorded in the outcome table */
	/*
	 * Sends the first pipeline; the run has a slot and run->conn. NULL:
	 * the request is not routed and can't be retried from the start.
	 */
	void (*start)(struct run *run, uint64_t now_us);
};

struct txn;

/* A request from its arrival to its answer. */
struct run {
	struct group *group;
	const struct run_type *type;
	enum run_state state;
	GList link; /* in the group's list of that state */
	struct admit_entry *entry; /* its place in a queue or slot; else NULL */
	unsigned share; /* the caller's share of the slots, in percent */
	struct request *request;
	const struct profile *profile;
	group_answer_fn answer;
	void *user;

	uint64_t arrived_us;
	uint64_t deadline_us;
	uint64_t next_try_at_us; /* time of the next try while it waits */
	uint64_t began_us; /* start of the present try; 0: not started */
	unsigned tries; /* how often it was queued at a server */
	enum err_code wait_code; /* error if it still waits at the deadline */
	const char *wait_text;

	struct server *server;
	struct conn *conn;
	struct txn *txn;
	uint64_t age_us; /* upper bound of the age of the data it reads */
	bool by_primary; /* its server was the primary when it started */
	char *key; /* key of its outcome row */
	struct str digest; /* request digest in that row; or transaction id */
	GString *results; /* JSON elements of a write's results */
	struct position floor; /* what the server had applied at its start */
	bool uncertain; /* its commit, or another try's, may have been sent */
	bool sent_before; /* another try may have inserted its key or may yet */
	bool running_key_added; /* counted in group->running_keys */

	struct answer *reply; /* the answer, sent once confirmed */
	struct position position; /* a majority must have it to confirm */
	uint64_t confirm_until_us; /* reply is sent unconfirmed after this */
	struct answer *refusal; /* sent if settling finds no commit */
	bool settle_only; /* unused */
};

/* A long transaction, on a connection of its own. */
struct txn {
	struct group *group;
	char *id;
	char *caller;
	struct profile profile; /* a copy, which outlives the request */
	struct admit_entry *entry; /* the slot that it holds */
	struct server *server;
	struct conn *conn; /* NULL: the connection was lost */
	struct run *run; /* the request in flight; NULL: none */
	uint64_t busy_us; /* total duration of its requests */
	uint64_t used_us; /* time at which the last request ended */
	uint64_t age_us; /* upper bound of its data's age when it began */
	uint64_t began_us; /* time at which it began */
	bool by_primary;
};

/* The end of the primary's log at a time of the home's monotonic clock. */
struct clean_mark {
	uint64_t us; /* time at which the mark was made */
	struct position at; /* last position of the log then */
};

struct group {
	char *service;
	char *database;
	char *label; /* service/database */
	char *user;
	char *dbname;
	unsigned reserve; /* connections per server for the first home only */
	struct group_settings settings;
	char *holder; /* name under which this proxy takes terms in failover */
	const struct group_ops *ops;
	void *ctx;
	GRand *rng;
	struct group_guards guards;
	struct group_counts counts;
	struct retry_budget retries; /* for retries of requests */

	GPtrArray *servers; /* struct server; the first n_active are in use */
	unsigned n_active;
	struct conn_pool *conns;
	struct fresh *fresh;
	struct failover *failover;

	GQueue runs[RUN_STATES]; /* struct run, by state */
	GHashTable *by_request; /* request -> run */
	GHashTable *txns; /* id -> struct txn */
	uint64_t txn_count; /* long transactions begun; part of their ids */
	GHashTable *unknown; /* set of keys answered as unknown */
	GQueue unknown_order; /* the same keys, oldest first */
	GHashTable *running_keys; /* key -> number of unanswered writes */

	unsigned rank; /* this proxy's rank among the homes; 0: the first */
	bool stopping; /* new requests are refused */
	bool hold_writes; /* failover holds new writes back */
	bool news; /* server state changed: waiting requests are routed anew */
	bool again; /* the next tick is due at once */
	uint64_t tracking_started_us; /* when fresh and failover were created */
	uint64_t lag_since_us; /* when lag_position was noted; 0: no lag */
	struct position lag_position; /* log end that no majority has yet */
	uint64_t next_clean_at_us; /* time of the next outcome removal */
	uint64_t outcome_index_term; /* term for which the index was ensured */
	GQueue clean_marks; /* struct clean_mark, oldest first */
	unsigned clean_commit_step; /* steps before COMMIT in the removal */
	bool cleaning; /* a removal is in flight */
};

/* group.c */
struct group_guards *group_test_guards(struct group *g);
void group_process(struct group *g, uint64_t now_us);
struct server *group_server(struct group *g, int index);
struct server *group_primary(struct group *g);
bool group_is_home(const struct group *g);
bool group_is_serving(const struct group *g);

/* group_conf.c: servers added and removed by the configuration */
struct server *conf_find_server(struct group *g, const char *name);
void conf_free_removed(struct group *g);

/* group_server.c: servers and their connections */
struct server *server_create(struct group *g, const struct server_conf *conf);
void server_configure(struct server *s, const struct server_conf *conf);
void server_destroy(struct server *s);
struct upstream_target server_target(const struct server *s);
unsigned server_slots(const struct server *s);
bool server_may_long_poll(const struct server *s);
bool server_is_up(const struct server *s, uint64_t now_us);
void server_mark_alive(struct server *s, uint64_t started_us, uint64_t now_us);
struct conn *server_acquire_conn(struct server *s, uint64_t now_us);
void server_release_conn(struct conn *c, uint64_t now_us);
bool server_record_commit(struct conn *c, const struct upstream_result *result);
void server_ensure_outcome_table(struct server *s, uint64_t now_us);
void server_tick(struct server *s, uint64_t now_us);
uint64_t server_next_us(const struct server *s);
void server_close_unused(struct server *s);
extern const struct conn_events server_conn_events;

/* group_probe.c: status probes, long polls and failover calls */
void probe_request_all(struct group *g, uint64_t since_us);
void probe_request(struct server *s, uint64_t since_us);
void probe_tick(struct server *s, uint64_t now_us);
void probe_call(struct server *s, const struct server_call *call);
void probe_forget_calls(struct server *s);
void probe_on_opened(struct server *s, const struct err *err, uint64_t now_us);
void probe_on_lost(struct server *s, uint64_t now_us);
uint64_t probe_next_us(const struct server *s);
bool probe_majority_stale(struct group *g, uint64_t now_us);
bool probe_majority_known(struct group *g);

/* group_failover.c: the functions that failover calls */
extern const struct failover_ops group_failover_ops;

/* group_run.c: life cycle and answers of requests */
struct run *run_create(struct group *g, const struct run_type *type,
		       struct request *request, const struct profile *profile,
		       unsigned share, group_answer_fn answer, void *user,
		       uint64_t now_us);
void run_destroy(struct run *run);
void run_set_state(struct run *run, enum run_state state);
void run_answer(struct run *run, struct answer *answer);
void run_fail(struct run *run, enum err_code code, uint64_t retry_after_us,
	      const char *fmt, ...) __attribute__((format(printf, 4, 5)));
void run_refuse(struct run *run, struct answer *refusal);
void run_confirm(struct run *run, struct answer *reply, struct position p,
		 uint64_t now_us);
void run_reroute(struct run *run, uint64_t wait_us, uint64_t now_us);
bool run_may_retry(struct run *run, uint64_t now_us);
void run_detach(struct run *run, uint64_t now_us);
void run_drop_conn(struct run *run);
void run_free_slot(struct run *run, uint64_t now_us);
void run_flush(struct group *g);
struct answer *run_success_answer(struct run *run, const GString *results);
struct answer *run_statement_error_answer(const struct upstream_result *result);

/* group_unknown.c: keys answered as unknown, keys of running writes */
void unknown_key_add(struct group *g, const char *key);
void unknown_key_remove(struct group *g, const char *key);
bool unknown_key_has(const struct group *g, const char *key);
bool running_key_add(struct group *g, const char *key);
void running_key_remove(struct group *g, const char *key);

/* group_route.c: choice of a server, and the queues before its slots */
void route_waiting(struct group *g, uint64_t now_us);
void route_queued(struct group *g, uint64_t now_us);
void route_drain_queue(struct server *s, bool writes_only, uint64_t now_us);
uint64_t route_next_us(struct group *g);

/* group_confirm.c: acknowledgement once a majority has a position */
void confirm_all(struct group *g, uint64_t now_us);

/* group_read.c, group_write.c, group_settle.c, group_txn.c: request kinds */
extern const struct run_type read_type;
extern const struct run_type write_type;
extern const struct run_type begin_read_type;
extern const struct run_type begin_write_type;
extern const struct run_type settle_type;
extern const struct run_type txn_type;
extern const struct run_type commit_type;
bool read_may_run(const struct run *run, const struct server *s,
		  uint64_t now_us);
void read_record_start_position(struct run *run, const struct server *s);
bool read_check_position(const struct run *run, const struct server *s,
			 struct position p);
void write_add_key(struct run *run, struct conn *c, const char *state);
void write_read_outcome(struct run *run, uint64_t now_us);
void write_on_body_error(struct run *run, const struct upstream_result *result,
			 uint64_t now_us);
void write_on_body_lost(struct run *run, const struct upstream_result *result,
			uint64_t now_us);
bool write_was_split(const struct run *run, const struct conn *c,
		     const struct upstream_result *result);
void write_on_split(struct run *run, uint64_t now_us);
void write_roll_back(struct run *run, struct answer *refusal, uint64_t now_us);
bool write_is_new_commit(const struct conn *c, struct position p);
void write_send_commit(struct run *run, uint64_t now_us);
void settle_begin(struct run *run, uint64_t now_us);
void settle_all(struct group *g, uint64_t now_us);
void settle_on_row(struct run *run, const struct outcome_row *row,
		   struct position p, uint64_t now_us);
void settle_give_up(struct run *run);
void txn_run(struct run *run, uint64_t now_us);
void txn_end(struct txn *txn, uint64_t now_us);
void txn_tick(struct group *g, uint64_t now_us);
uint64_t txn_next_us(struct group *g);
void txn_destroy(gpointer txn);
void txn_on_closed(struct txn *txn);

/* group_clean.c: removal of old outcome rows */
int64_t clean_at_value(const struct server *s);
void clean_tick(struct group *g, uint64_t now_us);

#endif
