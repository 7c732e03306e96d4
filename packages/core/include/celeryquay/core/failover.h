#ifndef CELERYQUAY_CORE_FAILOVER_H
#define CELERYQUAY_CORE_FAILOVER_H

/*
 * Monitors the servers of one database and replaces a failed primary:
 * 1. detect that the primary must be replaced;
 * 2. ballot: ask all servers to grant a new term; grants of a majority fence
 *    the old primary;
 * 3. promote the server with the highest (term, position) among the granters;
 * 4. record the new primary and tell the other servers to follow it.
 * This is one state machine, driven by ticks and by the answers to its calls.
 * It acts only through struct failover_ops. A term is used for one promotion
 * only: if a promotion is not answered, the next try takes a new term.
 */

#include <celeryquay/core/fresh.h>
#include <celeryquay/core/types.h>

struct failover;

enum failover_phase {
	FAILOVER_WATCH, /* monitoring only */
	FAILOVER_GRANT, /* waiting for the grants of a majority */
	FAILOVER_PROMOTE, /* waiting for the target's promotion */
	FAILOVER_FOLLOW, /* waiting for a majority to follow the new primary */
	FAILOVER_DRAIN, /* planned switchover: running writes finish */
	FAILOVER_BACKOFF, /* waiting before the next ballot */
};

struct failover_ops {
	/*
	 * The first four are calls to a server. Each is answered by
	 * failover_on_status(), failover_on_failure() or failover_on_refused().
	 */
	void (*probe)(void *ctx, unsigned server);
	void (*grant)(void *ctx, unsigned server, uint64_t term,
		      const char *holder);
	void (*promote)(void *ctx, unsigned server, uint64_t term,
			const char *holder);
	void (*follow)(void *ctx, unsigned server, uint64_t term,
		       unsigned primary);
	/* A primary was promoted; record it once the store is available. */
	void (*record)(void *ctx, uint64_t term, unsigned primary,
		       const char *holder);
	/* Hold new writes back (true) or let them run (false). */
	void (*hold_writes)(void *ctx, bool hold);
	/* Writes one line to the decision log. */
	void (*decision)(void *ctx, const char *what, const char *detail);
	/*
	 * Number of writes still running while new ones are held back. A
	 * planned switchover waits for them, for drain_us at most. NULL: not
	 * known, it does not wait.
	 */
	unsigned (*running_writes)(void *ctx);
};

enum failover_call { CALL_PROBE, CALL_GRANT, CALL_PROMOTE, CALL_FOLLOW };

struct failover_settings {
	uint64_t probe_interval_us; /* between two probes of a server */
	uint64_t suspect_after_us; /* silence before a primary is replaced */
	uint64_t call_timeout_us; /* time for the answer to one call */
	uint64_t rank_delay_us; /* extra wait of a home, times its rank */
	uint64_t backoff_us; /* after a failed ballot, doubled, jittered */
	uint64_t damping_us; /* minimum time between planned switchovers */
	uint64_t refused_after_us; /* as suspect_after_us, if it refuses */
	uint64_t stalled_after_us; /* stall before a primary is replaced */
	uint64_t cut_off_after_us; /* silence, if replicas still receive */
	uint64_t drain_us; /* time limit of a planned switchover's drain */
};

void failover_settings_default(struct failover_settings *s);

/*
 * holder: name and incarnation of this proxy, to which servers grant terms;
 * unique to this process.
 */
struct failover *failover_create(const struct failover_settings *settings,
				 unsigned n_servers, const char *holder,
				 const struct failover_ops *ops, void *ctx,
				 GRand *rng, uint64_t now_us);
void failover_destroy(struct failover *f);

/*
 * Sets the server's name as it appears in the `following` field of other
 * servers' statuses. Without it, a server that follows the wrong primary is
 * not noticed until it lags.
 */
void failover_set_name(struct failover *f, unsigned server, const char *name);
/* Sets this proxy's rank among the database's homes; rank 0 acts first. */
void failover_set_rank(struct failover *f, unsigned rank);
void failover_set_leaving(struct failover *f, unsigned server, bool leaving);
void failover_tick(struct failover *f, uint64_t now_us);
void failover_on_status(struct failover *f, unsigned server,
			enum failover_call call, uint64_t started_us,
			const struct server_status *status, uint64_t now_us);
/* The call was not answered in time, or the server's connection failed. */
void failover_on_failure(struct failover *f, unsigned server,
			 enum failover_call call, uint64_t now_us);
/*
 * The call failed because the server's host refused the connection: no process
 * listens there. This is stronger evidence of a failure than silence. Not for a
 * refusal that the server itself sent (53300, wrong password): that shows that
 * the server is alive.
 */
void failover_on_refused(struct failover *f, unsigned server,
			 enum failover_call call, uint64_t now_us);
/* The server answered another module's call that was sent at started_us. */
void failover_on_alive(struct failover *f, unsigned server,
		       uint64_t started_us);
/*
 * Starts a planned switchover to the target, -1 for the most advanced replica.
 * False with err set if a change of primary is running, no primary is known,
 * the target can't become primary, or the last planned switchover was less than
 * damping_us ago.
 */
bool failover_move(struct failover *f, int target, uint64_t now_us,
		   struct err *err);
/* The primary as far as this proxy knows, -1: none. */
int failover_primary(const struct failover *f);
/* The highest term for which a primary was seen. */
uint64_t failover_term(const struct failover *f);
enum failover_phase failover_phase(const struct failover *f);
/* When failover_tick() must be called next, at the latest. */
uint64_t failover_next_tick_us(const struct failover *f);

#endif
