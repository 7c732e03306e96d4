#ifndef CELERYQUAY_RELAY_RELAY_H
#define CELERYQUAY_RELAY_RELAY_H

/*
 * The relay serves callers' sessions, one per connection, in front of groups of
 * servers whose primaries are promoted on demand. It keeps each session's
 * values and prepared statements, lends it a server connection per statement or
 * transaction, decides which server may run it, and replaces failed primaries.
 *
 * The relay does no I/O: it is driven by the calls below and by ticks, and acts
 * only through relay_ops. Times are microseconds of a clock that also counts
 * while the VM is suspended. An op must not call back into the relay.
 */

#include <celeryquay/base/counter.h>
#include <celeryquay/relay/catalog.h>
#include <celeryquay/relay/statement.h>
#include <celeryquay/sched/placement.h>

struct relay;

/* A server as the platform lists it. */
struct relay_server_info {
	char *id;
	char *service;
	char *host;
	uint16_t port;
	char *zone; /* its data centre */
	bool leaving; /* it is about to stop */
	enum server_role role; /* its own claim when it was listed */
	unsigned slots; /* statements that it can run at once */
	/*
	 * Start of its process in Unix ms, 0: unknown. A process that starts
	 * under the id of an earlier one has a later start.
	 */
	uint64_t started_at_ms;
	/* Its entry became unreadable: it gets no new work. */
	bool unusable;
	/*
	 * The store came back from a copy that lacks its entry, so other
	 * proxies may not know of it until it is written again.
	 */
	bool forgotten;
	/*
	 * Of a proxy: the port at which other proxies can read the store's
	 * contents from it, 0: none.
	 */
	uint16_t feed_port;
	struct splace_capacity capacity; /* of a proxy */
};

/*
 * A promotion that a claim of the duty record may be used for. Whoever claims
 * the duty later restates it as long as it may take effect.
 */
struct relay_promotion {
	const char *service;
	const char *server; /* id of the server to promote */
	/* Revision of the record before the claim that stated it first. */
	uint64_t claim;
	uint64_t term; /* the newest term that the claimant had seen */
};

/* The duty record in the store. */
struct relay_duty {
	uint64_t revision; /* 0: there is none */
	const char *holder; /* name of the proxy that claimed last */
	const struct relay_promotion *promotions;
	unsigned n_promotions;
	/* False: a release wrote it that does not state its promotions. */
	bool states_promotions;
};

/* A server that may have acknowledged commits. */
struct relay_holder {
	const char *id;
	const char *host;
	uint16_t port;
};

/*
 * Who may have acknowledged commits of a service, also when they have left the
 * list of servers. Kept in the store for services with sync_replicas.
 */
struct relay_roster {
	uint64_t revision; /* 0: there is none */
	uint64_t era; /* of the store, in which it was written */
	/* Its writer knew of all servers that had been listed before. */
	bool settled;
	const struct relay_holder *servers;
	unsigned n_servers;
};

/* What became of a request to promote. */
enum relay_promoted {
	RELAY_PROMOTED_ACCEPTED,
	RELAY_PROMOTED_REFUSED, /* or not sent: it never takes effect */
	RELAY_PROMOTED_UNKNOWN, /* no answer: it may take effect */
};

struct relay_ops {
	/* Sends the answer to the session's one statement in flight. */
	void (*answer)(void *ctx, uint64_t session,
		       const struct relay_answer *answer);
	/* Closes the session's connection once its answers are written. */
	void (*hang_up)(void *ctx, uint64_t session);
	/*
	 * Opens a connection. Answered by relay_conn_opened() or
	 * relay_conn_lost(). account: the client account that the server is
	 * told the connection is for; empty: the proxy itself.
	 */
	void (*open)(void *ctx, uint64_t conn,
		     const struct relay_server_info *server,
		     const char *account);
	/* Answered by relay_conn_answer() or relay_conn_lost(). */
	void (*send)(void *ctx, uint64_t conn,
		     const struct relay_statement *statement);
	/* Closes at once; no event for the connection follows. */
	void (*close)(void *ctx, uint64_t conn);
	/*
	 * Claims the duty of replacing failed primaries: writes the duty record
	 * on condition that its revision is still `expected` (0: there is
	 * none). Answered by relay_on_claimed().
	 */
	void (*claim)(void *ctx, uint64_t expected,
		      const struct relay_promotion *promotions,
		      unsigned n_promotions);
	/*
	 * Asks the platform to promote the server. Answered by
	 * relay_on_promoted() with the token.
	 */
	void (*promote)(void *ctx, const char *service, const char *server,
			uint64_t token);
	/*
	 * Gives up the requests to promote a server of that service which have
	 * no answer. None of them is answered any more.
	 */
	void (*cancel_promotions)(void *ctx, const char *service);
	/*
	 * Writes the service's roster on condition that its revision is still
	 * roster->revision. The store reports the new one.
	 */
	void (*write_roster)(void *ctx, const char *service,
			     const struct relay_roster *roster);
};

struct relay_settings {
	const char *name; /* of this proxy */
	const char *zone; /* its data centre */
	uint64_t probe_interval_us; /* between two probes of a server */
	/*
	 * Length of a primary's lease: how long it is relied on after a replica
	 * confirmed that it knows of no later one.
	 */
	uint64_t authority_us;
	/* A primary is replaced after it was silent for this long, ... */
	uint64_t suspect_after_us;
	uint64_t refused_after_us; /* ... or refused connections for this */
	uint64_t promote_least_us; /* shortest duration of a promotion */
	/* No other proxy claims the duty for this long after a claim. */
	uint64_t claim_hold_us;
	/* A server that left the list is removed after this. */
	uint64_t gone_after_us;
	/*
	 * No server is promoted for this long after one left the list that may
	 * have acknowledged commits which all others lack; see sync_replicas.
	 */
	uint64_t holder_wait_us;
	uint64_t idle_close_us; /* after this, idle connections are closed */
	unsigned warm_connections; /* kept open at each server */
	/* In a stop, transactions may go on this long: half of the grace. */
	uint64_t drain_us;
	/* From the stop signal until the platform kills the process. */
	uint64_t stop_grace_us;
	bool accounts; /* callers need the key of a client account */
	struct splace_capacity capacity; /* of this proxy */
	/* Whether one home of a service runs all its statements. */
	enum splace_pooling home_pooling;
	/*
	 * Keys are accepted only if the proxy knows what the store had less
	 * than this ago, since a key may have been revoked. 0: no limit.
	 */
	uint64_t key_max_age_us;
	bool limits; /* accounts have rate limits */
	/*
	 * In any window of limit_window_us at most rate x window + burst
	 * operations of an account run, and beyond that limit_overage (a
	 * share of that number) and limit_slack (operations) more.
	 */
	uint64_t limit_window_us;
	double limit_overage;
	double limit_slack;
	bool log_statements; /* whether statements are logged at all */
	/* One in this many successful statements is logged, 0: none. */
	unsigned log_sample;
};

void relay_settings_default(struct relay_settings *s);

struct relay *relay_create(const struct relay_settings *settings,
			   const struct relay_ops *ops, void *ctx,
			   struct counter_set *counters, GRand *rng,
			   uint64_t now_us);
void relay_destroy(struct relay *r);

/* Calls of the platform: configuration, servers, the duty record. */

/*
 * A new configuration can't be read. The one in force stays, but no key is
 * known to be valid until a readable one comes.
 */
void relay_on_catalog_unreadable(struct relay *r);
/* All that the store had at known_us has been reported to the relay. */
void relay_on_known_as_of(struct relay *r, uint64_t known_us);
/* A version not newer than the one in force is ignored. Takes a reference. */
void relay_on_catalog(struct relay *r, struct relay_catalog *catalog,
		      uint64_t now_us);
/* The whole list; infos are copied. */
void relay_on_servers(struct relay *r, const struct relay_server_info *infos,
		      unsigned n_infos, uint64_t now_us);
/*
 * The whole list of running proxies, with name, host, port and zone of each.
 * Before the first list this proxy connects to all servers.
 */
void relay_on_peers(struct relay *r, const struct relay_server_info *infos,
		    unsigned n_infos, uint64_t now_us);
/*
 * Part of the list, before it is complete: a proxy in it may be asked for the
 * rest.
 */
void relay_on_partial_peers(struct relay *r,
			    const struct relay_server_info *infos,
			    unsigned n_infos, uint64_t now_us);
/*
 * Whether relay_on_peers() should be called now with a list of n proxies; if
 * not, a later list replaces it.
 */
bool relay_wants_peers(const struct relay *r, unsigned n, uint64_t now_us);
/*
 * Decides whether the store or another proxy is asked for all this. Owned by
 * the relay.
 */
struct feed_source;
struct feed_source *relay_feed_source(struct relay *r);
void relay_on_duty(struct relay *r, const struct relay_duty *duty,
		   uint64_t now_us);
/* Called before the list of servers that the store had at the same time. */
void relay_on_roster(struct relay *r, const char *service,
		     const struct relay_roster *roster, uint64_t now_us);
/*
 * All that the store had at this revision has been reported. Revisions count as
 * those of the duty record do.
 */
void relay_on_revision(struct relay *r, uint64_t revision);
/* Called with each answer of the store, and each call that got none. */
void relay_on_store(struct relay *r, bool answers, uint64_t now_us);
/*
 * The store's era was read. returned: it rose, because the store came back from
 * an older copy and writes that it had acknowledged may be gone.
 */
void relay_on_store_era(struct relay *r, uint64_t era, bool returned,
			uint64_t now_us);
/*
 * Another proxy passed on what the store said at heard_us; the store does not
 * answer that proxy now.
 */
void relay_on_store_heard_at(struct relay *r, uint64_t heard_us);
/* Duration of a call to the store that does not wait for news. */
void relay_on_store_call(struct relay *r, uint64_t took_us);
enum relay_claim { RELAY_CLAIM_DONE, RELAY_CLAIM_LOST, RELAY_CLAIM_UNKNOWN };
/* revision: the new one when DONE, the current one when LOST. */
void relay_on_claimed(struct relay *r, enum relay_claim outcome,
		      uint64_t revision, uint64_t now_us);
void relay_on_promoted(struct relay *r, const char *service, uint64_t token,
		       enum relay_promoted outcome, uint64_t now_us);

/*
 * Whether a request to promote may still be sent with the token. To be asked
 * just before it is: connecting takes time, and the VM may have been suspended.
 */
bool relay_may_send_promotion(const struct relay *r, uint64_t token,
			      uint64_t now_us);

/* Sessions of callers. The driver chooses the sessions' ids. */

/*
 * key: the caller's; the key of no account counts as none. False: the key or
 * the database is unknown (`answer` says which) and no session is created.
 */
bool relay_session_open(struct relay *r, uint64_t session, const char *database,
			const char *key, struct relay_answer *answer,
			uint64_t now_us);
/*
 * The same for a session that another proxy opens and lends to sessions of its
 * own. It may also send RESET, STATUS and positions that a read must see, and
 * names the client account with each statement; its key is ignored.
 */
bool relay_session_open_peer(struct relay *r, uint64_t session,
			     const char *database, const char *key,
			     struct relay_answer *answer, uint64_t now_us);
/* One at a time: the next only after the answer to the previous one. */
void relay_session_statement(struct relay *r, uint64_t session,
			     const struct relay_statement *statement,
			     uint64_t now_us);
void relay_session_closed(struct relay *r, uint64_t session, uint64_t now_us);

/* Connections to servers. */

/* answer->code OK: it is open, answer->position is the server's. */
void relay_conn_opened(struct relay *r, uint64_t conn,
		       const struct relay_answer *answer, uint64_t now_us);
void relay_conn_answer(struct relay *r, uint64_t conn,
		       const struct relay_answer *answer, uint64_t now_us);
/* refused: the host answered that nothing listens at the port. */
void relay_conn_lost(struct relay *r, uint64_t conn, bool refused,
		     uint64_t now_us);

void relay_tick(struct relay *r, uint64_t now_us);
/* Latest time of the next tick. */
uint64_t relay_next_tick_us(const struct relay *r);

/* Whether new callers may be sent to this proxy. */
bool relay_is_ready(const struct relay *r);
/*
 * Begins a planned stop: sessions end when they become idle, transactions
 * within drain_us.
 */
void relay_stop(struct relay *r, uint64_t now_us);
/* The same, but what is in flight is answered at once. */
void relay_stop_now(struct relay *r, uint64_t now_us);
/*
 * Whether the process may end; to be asked after each tick of a stop. Shortly
 * before the grace is over, all that is in flight gets an error.
 */
bool relay_is_stopped(struct relay *r, bool has_unsent, uint64_t now_us);
bool relay_is_idle(const struct relay *r);
/* The process ends: logs the sessions that this cuts off. */
void relay_end(struct relay *r, uint64_t now_us);
/* Updates the gauges before metrics are read. */
void relay_set_gauges(struct relay *r, uint64_t now_us);
/* Appends the state as one JSON object. */
void relay_write_status(struct relay *r, GString *out, uint64_t now_us);

#endif
