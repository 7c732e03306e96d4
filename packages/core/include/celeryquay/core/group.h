#ifndef CELERYQUAY_CORE_GROUP_H
#define CELERYQUAY_CORE_GROUP_H

/*
 * The server group of one database, as managed by a proxy that is one of the
 * database's homes: connections to its servers, status probes, freshness,
 * queues, running requests, confirmation of writes by a majority, settling of
 * writes with an uncertain outcome, long transactions and failover. Driven by
 * calls, upstream events and ticks; acts only through upstream_ops and
 * group_ops.
 */

#include <celeryquay/core/failover.h>
#include <celeryquay/core/fresh.h>
#include <celeryquay/core/request.h>
#include <celeryquay/core/upstream.h>

struct group;

typedef void (*group_answer_fn)(void *user, struct request *request,
				struct answer *answer);

struct group_ops {
	/* A primary was promoted: record it in the store if that answers. */
	void (*record)(void *ctx, struct group *g, uint64_t term,
		       const char *server, const char *holder);
};

/* Counters since the group was created. */
struct group_counts {
	uint64_t reads_replica; /* reads done by a replica */
	uint64_t reads_primary; /* reads done by the primary */
	uint64_t writes_done;
	uint64_t not_run; /* requests answered as not run */
	uint64_t unknown; /* requests answered with an unknown outcome */
	uint64_t settled_done; /* uncertain writes that proved to be done */
	uint64_t settled_not_run; /* uncertain writes that did not commit */
	uint64_t promotions;
	uint64_t refused; /* requests refused by a full queue or limit */
	uint64_t conns_opened;
	uint64_t conns_lost;
	uint64_t outcome_rows_removed;
};

struct group_settings {
	struct failover_settings failover;
	uint64_t probe_interval_us;
	uint64_t idle_transaction_us; /* idle time-out of long transactions */
	uint64_t outcome_retention_us; /* least time that keys are kept */
	unsigned outcome_removals_per_s; /* 0: outcome rows are kept */
	unsigned homes; /* number of proxies that connect to the servers */
	const char *password; /* for the servers, NULL: none; must outlive it */
};

void group_settings_default(struct group_settings *s);

/* Copies the configuration. Opens no connection before the first tick. */
struct group *group_create(const struct database_conf *conf,
			   const struct group_settings *settings,
			   const char *holder, struct upstream *upstream,
			   const struct upstream_ops *ops,
			   const struct group_ops *group_ops, void *ctx,
			   GRand *rng, uint64_t now_us);
void group_destroy(struct group *g);

/* Applies a changed configuration: servers added, removed or changed. */
void group_reconfigure(struct group *g, const struct database_conf *conf,
		       uint64_t now_us);
/*
 * Sets this proxy's rank among the homes. With a rank of settings.homes or more
 * it is no home and closes its connections once its requests are answered.
 */
void group_set_rank(struct group *g, unsigned rank, uint64_t now_us);

/*
 * Runs a request. answer() is called once, never from within this call; the
 * profile must live until then.
 */
void group_run(struct group *g, struct request *request,
	       const struct profile *profile, unsigned caller_share,
	       group_answer_fn answer, void *user, uint64_t now_us);
/* The caller disconnected: drops a queued request; a running one goes on. */
void group_cancel(struct group *g, struct request *request, uint64_t now_us);
/* Starts a planned change of the primary to the named server. */
bool group_move_primary(struct group *g, const char *server, uint64_t now_us,
			struct err *err);
/* Does what is due by time and delivers the answers. */
void group_tick(struct group *g, uint64_t now_us);
/* The latest time for the next tick; 0: at once. */
uint64_t group_next_tick_us(const struct group *g);

/* Upstream events, for connections that group_owns() reports as its own. */
bool group_owns(const struct group *g, conn_id id);
void group_on_opened(struct group *g, conn_id id, const struct err *err,
		     uint64_t now_us);
void group_on_done(struct group *g, conn_id id, struct upstream_result *result,
		   uint64_t now_us);
void group_on_lost(struct group *g, conn_id id, const struct err *err,
		   uint64_t now_us);

/* Refuses new requests and transactions; those begun go on to their end. */
void group_stop(struct group *g, uint64_t now_us);
/* Whether no request and no long transaction is left. */
bool group_is_idle(const struct group *g);

const struct group_counts *group_counts(const struct group *g);
const struct fresh *group_fresh(const struct group *g);
/* Appends the group's state as one JSON object, for /status. */
void group_write_status(struct group *g, GString *out, uint64_t now_us);

#endif
