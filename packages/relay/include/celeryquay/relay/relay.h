#ifndef CELERYQUAY_RELAY_RELAY_H
#define CELERYQUAY_RELAY_RELAY_H

/*
 * Callers whose sessions are connections, in front of groups of servers whose
 * primaries are promoted on demand. The relay keeps each session's values and
 * prepared statements, lends it a server connection per statement or
 * transaction, decides which server may run it, and replaces failed primaries.
 *
 * Pure: driven by calls in and ticks, acts through relay_ops only. Times are
 * microseconds of a clock that also counts while the VM is suspended. No
 * function calls an op that calls back in.
 */

#include <celeryquay/base/counter.h>
#include <celeryquay/relay/catalog.h>
#include <celeryquay/relay/statement.h>

struct relay;

/* A server as the platform lists it. */
struct relay_server_info {
	char *id;
	char *service;
	char *host;
	uint16_t port;
	char *zone; /* its data centre */
	bool leaving;
	enum server_role role; /* as it saw itself when it was listed */
	unsigned slots;
	/*
	 * Unix ms of its process's start, 0: not said. A process that starts
	 * under the id of an earlier one has a later start.
	 */
	uint64_t born_ms;
	/* Its entry can't be read any more: not to be used. */
	bool unusable;
	/* Of a proxy: where others follow the store through it, 0: nowhere. */
	uint16_t feed_port;
	unsigned mbps; /* of its link */
};

struct relay_ops {
	/* The answer to the one statement that a session has in flight. */
	void (*answer)(void *ctx, uint64_t session,
		       const struct relay_answer *answer);
	/* Close the session's connection once what was answered is out. */
	void (*hang_up)(void *ctx, uint64_t session);
	/*
	 * Answered by relay_conn_opened() or relay_conn_lost(). account: whose
	 * connection it is, as the server is told; empty: the proxy's own.
	 */
	void (*open)(void *ctx, uint64_t conn,
		     const struct relay_server_info *server,
		     const char *account);
	/* Answered by relay_conn_answer() or relay_conn_lost(). */
	void (*send)(void *ctx, uint64_t conn,
		     const struct relay_statement *statement);
	/* Closes at once; no event for it follows. */
	void (*close)(void *ctx, uint64_t conn);
	/*
	 * Writes the record of who replaces primaries, on condition that its
	 * revision is still `expected` (0: there is none). Answered by
	 * relay_on_claimed().
	 */
	void (*claim)(void *ctx, uint64_t expected);
	/* Has the server promoted. Answered by relay_on_promoted(). */
	void (*promote)(void *ctx, const char *service, const char *server,
			uint64_t token);
};

struct relay_settings {
	const char *name; /* of this proxy */
	const char *zone; /* its data centre */
	uint64_t probe_interval_us;
	uint64_t authority_us; /* how long a replica's word holds */
	uint64_t suspect_after_us; /* a silent primary */
	uint64_t refused_after_us; /* one that refuses connections */
	uint64_t promote_least_us; /* a promotion takes at least this long */
	uint64_t claim_hold_us; /* a claim is not contested for this long */
	uint64_t gone_after_us; /* a server that left the list */
	uint64_t idle_close_us; /* spare connections */
	unsigned warm_connections; /* kept open at each server */
	uint64_t drain_us; /* a stop: transactions may run on this long */
	bool accounts; /* callers need the key of a client account */
	/* A key opens nothing that may have been taken away for so long. */
	uint64_t key_max_age_us; /* 0: no limit */
	bool limits; /* accounts have limits */
	/*
	 * Operations of an account that run in any such window: at most rate x
	 * window + burst, and beyond that this share of it and so many more.
	 */
	uint64_t limit_window_us;
	double limit_overage;
	double limit_slack;
	bool log_statements; /* whether any line is about one */
	unsigned log_sample; /* of those that went well one in so many */
};

void relay_settings_default(struct relay_settings *s);

struct relay *relay_create(const struct relay_settings *settings,
			   const struct relay_ops *ops, void *ctx,
			   struct counter_set *counters, GRand *rng,
			   uint64_t now_us);
void relay_destroy(struct relay *r);

/* The platform's side: configuration, servers, the duty record. */

/*
 * A configuration that can't be read: the one in force goes on, but nobody
 * knows which keys are good until another comes.
 */
void relay_on_catalog_unreadable(struct relay *r);
/* All that the store had then is known, or was told since. */
void relay_on_known(struct relay *r, uint64_t known_us);
/* An older version than the one in force is left aside. Takes a reference. */
void relay_on_catalog(struct relay *r, struct relay_catalog *catalog,
		      uint64_t now_us);
/* The whole list; infos are copied. */
void relay_on_servers(struct relay *r, const struct relay_server_info *infos,
		      unsigned n_infos, uint64_t now_us);
/*
 * The proxies that run now, by name, host, port and zone of each; without a
 * word of any, this one connects to all servers.
 */
void relay_on_peers(struct relay *r, const struct relay_server_info *infos,
		    unsigned n_infos, uint64_t now_us);
/* Some of them, before all are known: one of these may be asked for the rest.
 */
void relay_on_first_peers(struct relay *r,
			  const struct relay_server_info *infos,
			  unsigned n_infos, uint64_t now_us);
/*
 * Whether a list of so many proxies is to be passed on now, or a later one in
 * its place.
 */
bool relay_takes_peers(const struct relay *r, unsigned n, uint64_t now_us);
/* Who is asked for all this, the store or another proxy; the relay's own. */
struct feed_source;
struct feed_source *relay_feed_source(struct relay *r);
/* The duty record as the store has it: revision 0 when there is none. */
void relay_on_duty(struct relay *r, uint64_t revision, const char *holder,
		   uint64_t now_us);
/*
 * All that the store had at this revision has been told; the numbers are those
 * of the duty record.
 */
void relay_on_revision(struct relay *r, uint64_t revision);
/* Whether the store answers; told with every answer and failure. */
void relay_on_store(struct relay *r, bool answers, uint64_t now_us);
/* Another proxy, which the store doesn't answer now, heard it then. */
void relay_on_store_heard(struct relay *r, uint64_t heard_us);
void relay_on_store_call(struct relay *r, uint64_t took_us);
enum relay_claim { RELAY_CLAIM_DONE, RELAY_CLAIM_LOST, RELAY_CLAIM_UNKNOWN };
/* revision: the new one when DONE, the present one when LOST. */
void relay_on_claimed(struct relay *r, enum relay_claim outcome,
		      uint64_t revision, uint64_t now_us);
void relay_on_promoted(struct relay *r, const char *service, bool accepted,
		       uint64_t now_us);

/* Callers' side. The caller of these picks the sessions' numbers. */

/*
 * key: the caller's; of no account is as good as none. False: the key or the
 * database isn't known (answer says so) and nothing is kept.
 */
bool relay_session_open(struct relay *r, uint64_t session, const char *database,
			const char *key, struct relay_answer *answer,
			uint64_t now_us);
/*
 * The same for a session that another proxy lends to its own. It may also send
 * RESET, STATUS and positions that a read must see, and says with each
 * statement whose it is; its key is ignored.
 */
bool relay_session_open_peer(struct relay *r, uint64_t session,
			     const char *database, const char *key,
			     struct relay_answer *answer, uint64_t now_us);
/* One at a time: the next only after the answer to the one before. */
void relay_session_statement(struct relay *r, uint64_t session,
			     const struct relay_statement *statement,
			     uint64_t now_us);
void relay_session_closed(struct relay *r, uint64_t session, uint64_t now_us);

/* Servers' side. */

/* code OK: it stands, answer->position is the server's. */
void relay_conn_opened(struct relay *r, uint64_t conn,
		       const struct relay_answer *answer, uint64_t now_us);
void relay_conn_answer(struct relay *r, uint64_t conn,
		       const struct relay_answer *answer, uint64_t now_us);
/* refused: the host answered that nothing listens there. */
void relay_conn_lost(struct relay *r, uint64_t conn, bool refused,
		     uint64_t now_us);

void relay_tick(struct relay *r, uint64_t now_us);
/* When the next tick is due at the latest. */
uint64_t relay_next_tick_us(const struct relay *r);

/* Whether it has a configuration and can serve by it. */
bool relay_is_ready(const struct relay *r);
/* Sessions end as they become idle, transactions within drain_us. */
void relay_stop(struct relay *r, uint64_t now_us);
bool relay_is_idle(const struct relay *r);
/* The process ends: what that cuts is told. */
void relay_end(struct relay *r, uint64_t now_us);
void relay_set_gauges(struct relay *r, uint64_t now_us);
/* Appends the state as one JSON object. */
void relay_write_status(struct relay *r, GString *out, uint64_t now_us);

#endif
