#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>
#include <string.h>

/* Default of outcome_retention_us: keys are kept for a day. */
#define OUTCOME_RETENTION_S 86400
/* Each request earns a tenth of a retry; at most 20 are saved up. */
#define RETRY_TOKENS_PER_REQUEST 0.1
#define RETRY_TOKENS_MAX 20.0
/*
 * Advice in the refusal of a home that is stopping or is no home any more:
 * another proxy takes over soon.
 */
#define NOT_HOME_RETRY_AFTER_US (50 * USEC_PER_MSEC)

/* The defaults suit servers at a distance of at most a few milliseconds. */
void group_settings_default(struct group_settings *s)
{
	memset(s, 0, sizeof(*s));
	failover_settings_default(&s->failover);
	s->probe_interval_us = s->failover.probe_interval_us;
	s->idle_transaction_us = 10 * USEC_PER_SEC;
	s->outcome_retention_us = OUTCOME_RETENTION_S * USEC_PER_SEC;
	s->outcome_removals_per_s = 200;
	s->homes = 2;
}

/* The safety checks, for tests that switch single ones off. */
struct group_guards *group_test_guards(struct group *g)
{
	return &g->guards;
}

/* The server in use with this index; NULL if there is none, as for -1. */
struct server *group_server(struct group *g, int index)
{
	if (index < 0 || (unsigned)index >= g->n_active)
		return NULL;
	return g_ptr_array_index(g->servers, index);
}

/* The primary of the present term; NULL if none is known. */
struct server *group_primary(struct group *g)
{
	return group_server(g, fresh_primary(g->fresh));
}

/* Whether this proxy is one of the homes that connect to the servers. */
bool group_is_home(const struct group *g)
{
	return g->rank < MAX(g->settings.homes, 1);
}

/* Whether it is a home, or still has requests from when it was one. */
bool group_is_serving(const struct group *g)
{
	return group_is_home(g) || !group_is_idle(g);
}

static void init_tables(struct group *g)
{
	unsigned i;

	for (i = 0; i < RUN_STATES; i++)
		g_queue_init(&g->runs[i]);
	g->by_request = g_hash_table_new(NULL, NULL);
	g->txns = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					txn_destroy);
	g->unknown =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_queue_init(&g->unknown_order);
	g->running_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g->servers = g_ptr_array_new();
}

/* Creates the group of a database; see group.h. */
struct group *group_create(const struct database_conf *conf,
			   const struct group_settings *settings,
			   const char *holder, struct upstream *upstream,
			   const struct upstream_ops *ops,
			   const struct group_ops *group_ops, void *ctx,
			   GRand *rng, uint64_t now_us)
{
	struct group *g = g_new0(struct group, 1);

	g->service = g_strdup(conf->service);
	g->database = g_strdup(conf->name);
	g->label = g_strdup_printf("%s/%s", conf->service, conf->name);
	g->settings = *settings;
	g->holder = g_strdup(holder);
	g->ops = group_ops;
	g->ctx = ctx;
	g->rng = rng;
	memset(&g->guards, true, sizeof(g->guards));
	retry_budget_init(&g->retries, RETRY_TOKENS_PER_REQUEST,
			  RETRY_TOKENS_MAX);
	init_tables(g);
	g->conns = conn_pool_create(upstream, ops, &server_conn_events, g);
	group_reconfigure(g, conf, now_us);
	return g;
}

/* Frees all requests without an answer. */
static void destroy_runs(struct group *g)
{
	unsigned i;

	for (i = 0; i < RUN_STATES; i++) {
		GList *l;

		while ((l = g->runs[i].head)) {
			struct run *run = l->data;

			run->conn = NULL;
			run_free_slot(run, 0);
			g_queue_unlink(&g->runs[i], l);
			run_destroy(run);
		}
	}
}

/* Closes all connections at once. Open requests are never answered. */
void group_destroy(struct group *g)
{
	guint i;

	if (!g)
		return;
	destroy_runs(g);
	g_hash_table_destroy(g->by_request);
	g_hash_table_destroy(g->txns);
	g_queue_clear(&g->unknown_order);
	g_queue_clear_full(&g->clean_marks, g_free);
	g_hash_table_destroy(g->unknown);
	g_hash_table_destroy(g->running_keys);
	conn_pool_destroy(g->conns);
	for (i = 0; i < g->servers->len; i++)
		server_destroy(g_ptr_array_index(g->servers, i));
	g_ptr_array_free(g->servers, TRUE);
	failover_destroy(g->failover);
	fresh_destroy(g->fresh);
	g_free(g->service);
	g_free(g->database);
	g_free(g->label);
	g_free(g->user);
	g_free(g->dbname);
	g_free(g->holder);
	g_free(g);
}

/* Sets the rank, on which this home's share of the connections depends. */
void group_set_rank(struct group *g, unsigned rank, uint64_t now_us)
{
	unsigned i;

	(void)now_us;
	g->rank = rank;
	failover_set_rank(g->failover, rank);
	for (i = 0; i < g->n_active; i++) {
		struct server *s = group_server(g, (int)i);

		admit_set_slots(s->admit, server_slots(s));
	}
	g->news = true;
	g->again = true;
}

static const struct run_type *type_for(const struct request *r,
				       const struct profile *profile)
{
	switch (r->kind) {
	case REQUEST_SETTLE:
		return &settle_type;
	case REQUEST_BEGIN:
		return profile->access == ACCESS_WRITE ? &begin_write_type :
							 &begin_read_type;
	case REQUEST_RUN:
		return profile->access == ACCESS_WRITE ? &write_type :
							 &read_type;
	case REQUEST_COMMIT:
	case REQUEST_ROLLBACK:
		return &commit_type;
	default:
		return &txn_type;
	}
}

/* Refuses a request with a statement that would begin or end a transaction. */
static bool refuse_control(struct run *run)
{
	const struct request *r = run->request;
	unsigned i;

	if (!run->group->guards.refuse_control)
		return false;
	for (i = 0; i < r->n_statements; i++) {
		if (!group_sql_controls_transaction(r->statements[i].sql))
			continue;
		run_fail(run, ERR_TRANSACTION_CONTROL, 0,
			 "statement %u would begin or end a transaction",
			 i + 1);
		return true;
	}
	return false;
}

/*
 * Whether the profile was changed from read to write and the entry proxy does
 * not know it yet. The entry then takes the request for a read and may answer
 * "not run" when no answer comes in time, which would be false if it ran here
 * as a write. The request is refused instead; the entry sends it again and
 * receives the changed profile in the meantime.
 */
static bool profile_became_write(const struct run *run)
{
	return run->request->read_only && run->profile->access == ACCESS_WRITE;
}

/* Refuses what needs no server's state to be refused. */
static bool refuse_early(struct run *run)
{
	struct group *g = run->group;
	bool is_new = run->request->kind == REQUEST_RUN ||
		      run->request->kind == REQUEST_BEGIN;

	if (is_new && g->stopping) {
		run_fail(run, ERR_STOPPING, NOT_HOME_RETRY_AFTER_US,
			 "this proxy is stopping");
		return true;
	}
	if (!group_is_home(g) && is_new) {
		run_fail(run, ERR_NO_HOME, NOT_HOME_RETRY_AFTER_US,
			 "the home of this database is elsewhere now");
		return true;
	}
	if (is_new && profile_became_write(run)) {
		run_fail(run, ERR_NO_HOME, NOT_HOME_RETRY_AFTER_US,
			 "the profile allows writes, but not yet at the entry");
		return true;
	}
	return refuse_control(run);
}

/* Sets the outcome key, and whether another try may have used it before. */
static void set_key(struct run *run)
{
	const struct request *r = run->request;

	run->digest = r->digest;
	if (r->transaction.len) {
		run->key = outcome_transaction_key(r->caller, r->transaction);
		run->digest = r->transaction;
	} else {
		run->key = outcome_key(r->caller, r->key);
	}
	if (unknown_key_has(run->group, run->key))
		run->sent_before = true;
	if (run->type != &write_type)
		return;
	run->running_key_added = true;
	if (running_key_add(run->group, run->key))
		run->sent_before |= run->group->guards.settle_resends;
}

/* Accepts a request; see group.h. */
void group_run(struct group *g, struct request *request,
	       const struct profile *profile, unsigned caller_share,
	       group_answer_fn answer, void *user, uint64_t now_us)
{
	const struct run_type *type = type_for(request, profile);
	struct run *run = run_create(g, type, request, profile, caller_share,
				     answer, user, now_us);

	set_key(run);
	retry_budget_on_first_try(&g->retries);
	if (refuse_early(run))
		return;
	if (type == &settle_type)
		settle_begin(run, now_us);
	else if (type == &txn_type || type == &commit_type)
		txn_run(run, now_us);
	else
		group_process(g, now_us);
}

/*
 * The caller disconnected. A request that has not started is dropped, with an
 * answer that nobody reads; a running one is left to end, since its outcome
 * must be settled anyway.
 */
void group_cancel(struct group *g, struct request *request, uint64_t now_us)
{
	struct run *run = g_hash_table_lookup(g->by_request, request);

	if (!run || (run->state != RUN_WAITING && run->state != RUN_QUEUED))
		return;
	run_free_slot(run, now_us);
	run_answer(run, answer_error(ERR_DEADLINE, "the caller is gone"));
}

/* Starts a planned change of the primary to the named server. */
bool group_move_primary(struct group *g, const char *server, uint64_t now_us,
			struct err *err)
{
	struct server *s = conf_find_server(g, server);

	if (!s) {
		err_set(err, ERR_NO_SERVER, "there is no server %s", server);
		return false;
	}
	g->again = true;
	return failover_move(g->failover, s->index, now_us, err);
}

static void tick_servers(struct group *g, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < g->n_active; i++) {
		struct server *s = group_server(g, (int)i);

		if (!group_is_serving(g)) {
			server_close_unused(s);
			continue;
		}
		probe_tick(s, now_us);
		server_tick(s, now_us);
	}
	conf_free_removed(g);
}

/*
 * The first home creates the outcome table on a new primary ahead of the first
 * write.
 */
static void prepare_primary(struct group *g, uint64_t now_us)
{
	struct server *s = group_primary(g);

	if (!g->rank && s && server_is_up(s, now_us) &&
	    probe_majority_known(g) &&
	    s->outcome_table_term != fresh_term(g->fresh))
		server_ensure_outcome_table(s, now_us);
}

/* Runs all processing steps, ordered so that each uses the previous results. */
void group_process(struct group *g, uint64_t now_us)
{
	g->again = false;
	prepare_primary(g, now_us);
	confirm_all(g, now_us);
	settle_all(g, now_us);
	route_waiting(g, now_us);
	route_queued(g, now_us);
	tick_servers(g, now_us);
	g->news = false;
}

/* Does what is due by time, then all processing steps, then the answers. */
void group_tick(struct group *g, uint64_t now_us)
{
	conn_pool_expire(g->conns, now_us);
	if (group_is_home(g))
		failover_tick(g->failover, now_us);
	txn_tick(g, now_us);
	clean_tick(g, now_us);
	group_process(g, now_us);
	run_flush(g);
}

/* The next time at which a request needs work; 0: at once. */
static uint64_t runs_next_us(const struct group *g)
{
	uint64_t next_us = UINT64_MAX;
	GList *l;

	if (g->runs[RUN_ANSWERED].length)
		return 0;
	for (l = g->runs[RUN_CONFIRMING].head; l; l = l->next) {
		const struct run *run = l->data;

		next_us = MIN(next_us, run->deadline_us);
		next_us = MIN(next_us, run->confirm_until_us);
	}
	for (l = g->runs[RUN_SETTLE_WAIT].head; l; l = l->next) {
		const struct run *run = l->data;

		next_us = MIN(next_us, run->deadline_us);
		next_us = MIN(next_us, run->next_try_at_us);
	}
	return next_us;
}

/*
 * When the work that only a home does is due: failover, removal of outcomes,
 * creation of the outcome table.
 */
static uint64_t home_next_us(const struct group *g)
{
	const struct server *primary = group_primary((struct group *)g);
	uint64_t next_us = failover_next_tick_us(g->failover);

	next_us = MIN(next_us, g->next_clean_at_us);
	if (primary && !primary->preparing &&
	    primary->outcome_table_term != fresh_term(g->fresh))
		next_us = MIN(next_us, primary->prepare_retry_at_us);
	return next_us;
}

/*
 * The earliest time at which something is due; 0: at once. A proxy that is no
 * home any more goes on probing the servers until the last of its requests is
 * answered; else its writes would wait for their majority until the deadline.
 */
uint64_t group_next_tick_us(const struct group *g)
{
	struct group *mutable = (struct group *)g;
	uint64_t next_us = runs_next_us(g);
	unsigned i;

	if (g->again)
		return 0;
	next_us = MIN(next_us, conn_pool_next_deadline_us(g->conns));
	next_us = MIN(next_us, route_next_us(mutable));
	next_us = MIN(next_us, txn_next_us(mutable));
	if (group_is_home(g))
		next_us = MIN(next_us, home_next_us(g));
	if (!group_is_serving(g))
		return next_us;
	for (i = 0; i < g->n_active; i++) {
		const struct server *s = g_ptr_array_index(g->servers, i);

		next_us = MIN(next_us, probe_next_us(s));
		next_us = MIN(next_us, server_next_us(s));
	}
	return next_us;
}

/* Whether the connection was opened by this group. */
bool group_owns(const struct group *g, conn_id id)
{
	return conn_pool_owns(g->conns, id);
}

/* Runs the processing steps after an event and delivers the answers. */
static void after_event(struct group *g, uint64_t now_us)
{
	group_process(g, now_us);
	run_flush(g);
}

/* A connection was opened, or could not be. */
void group_on_opened(struct group *g, conn_id id, const struct err *err,
		     uint64_t now_us)
{
	conn_pool_on_opened(g->conns, id, err, now_us);
	after_event(g, now_us);
}

/* A pipeline ended. */
void group_on_done(struct group *g, conn_id id, struct upstream_result *result,
		   uint64_t now_us)
{
	conn_pool_on_done(g->conns, id, result, now_us);
	after_event(g, now_us);
}

/* An idle connection was lost. */
void group_on_lost(struct group *g, conn_id id, const struct err *err,
		   uint64_t now_us)
{
	conn_pool_on_lost(g->conns, id, err, now_us);
	after_event(g, now_us);
}

/* Refuses new requests; those begun, also long transactions, go on. */
void group_stop(struct group *g, uint64_t now_us)
{
	(void)now_us;
	g->stopping = true;
}

/* Whether no request and no long transaction is left. */
bool group_is_idle(const struct group *g)
{
	return !g_hash_table_size(g->by_request) && !g_hash_table_size(g->txns);
}

/* The counters since the group was created. */
const struct group_counts *group_counts(const struct group *g)
{
	return &g->counts;
}

/* What is known of the age of the servers' data. */
const struct fresh *group_fresh(const struct group *g)
{
	return g->fresh;
}
