#ifndef CELERYQUAY_CORE_FAILOVER_INTERNAL_H
#define CELERYQUAY_CORE_FAILOVER_INTERNAL_H

/*
 * State shared by the files of failover: failover_watch.c detects that the
 * primary must be replaced, failover_ballot.c takes a new term and promotes a
 * server, failover_move.c runs a planned switchover ("move"), failover.c
 * dispatches calls, answers and ticks to them.
 */

#include <celeryquay/core/failover.h>

#include <inttypes.h>

/* Consecutive failed probes before a silent primary is replaced. */
#define MIN_UNANSWERED_PROBES 3
/* Refused probes before refused_after_us applies to the primary. */
#define MIN_REFUSED_PROBES 2
/* Minimum time between two tries of a grant or follow call that failed. */
#define CALL_RETRY_INTERVAL_US (20 * USEC_PER_MSEC)
/*
 * Time limit of the grant and the follow phase, in call timeouts. A ballot
 * without a majority by then has failed; another holder's ballot is given as
 * long before this proxy starts its own.
 */
#define PHASE_CALL_TIMEOUTS 3
/* Server index that stands for none. */
#define NO_SERVER (-1)

/*
 * Rules that keep acknowledged writes and prevent needless promotions. All are
 * on; the tests switch them off one by one to show that the checks detect it.
 */
struct failover_guards {
	/* Safety: no acknowledged write is lost, one primary per term. */
	bool majority; /* a promotion needs grants of a majority of all */
	bool own_grant; /* only grants of this term to this holder count */
	bool highest; /* promotes the granter with the highest last entry */
	bool new_term; /* one promotion per term */
	bool rest_majority; /* an excluded server's grant does not count */
	bool move_highest; /* a move's target that is behind isn't promoted */
	/* No needless promotion. */
	bool min_probes; /* several failed probes, not one, mean silence */
	bool own_pause; /* silence while this process was paused is ignored */
	bool progress; /* waits while replicas still receive from the primary */
	bool reachable; /* no ballot unless a majority is reachable */
	bool foreign_ballot; /* another holder's ballot gets time to end */
	bool damping; /* minimum time between two planned switchovers */
};

/* Why the primary is to be replaced. */
enum failover_reason {
	REASON_NONE,
	REASON_SILENT, /* its probes are not answered */
	REASON_REFUSED, /* its host refuses connections */
	REASON_CUT_OFF, /* unreachable from here, though replicas receive */
	REASON_NO_PRIMARY, /* no server is known to be the primary */
	REASON_FENCED, /* a server granted a later term without a primary */
	REASON_STALLED, /* its writes reach no majority */
	REASON_MOVE, /* planned switchover */
};

struct failover_server {
	char name[64];
	bool marked_leaving; /* by the operators' configuration */
	bool known; /* a status has been received */
	struct server_status status; /* newest status */
	uint64_t status_started_at_us; /* start of the call that it answers */
	uint64_t alive_at_us; /* start of the latest call that was answered */
	uint64_t log_grew_after_us; /* start of the call before the growth */
	/* Probes since the last answer. */
	bool probing; /* a probe is in flight */
	uint64_t probe_sent_at_us; /* start of the latest probe */
	uint64_t first_unanswered_at_us; /* start of the first failed probe */
	unsigned n_unanswered; /* failed probes, refused ones included */
	unsigned n_refused;
	/* Whether the server follows the primary. */
	uint64_t followed_term; /* term whose primary it confirmed to follow */
	uint64_t not_following_since_us; /* 0: it follows the primary */
	uint64_t follow_due_at_us; /* earliest time of the next follow call */
};

/* Detects a primary whose log a majority does not receive. */
struct failover_stall {
	uint64_t term; /* term of the indexes */
	uint64_t majority_index; /* highest index that a majority has */
	uint64_t since_us; /* the primary is ahead since then, 0: it is not */
	unsigned count; /* consecutive promotions because of stalled writes */
};

struct failover {
	struct failover_settings settings;
	struct failover_guards guards;
	const struct failover_ops *ops;
	void *ctx;
	GRand *rng;
	char *holder; /* this proxy as the holder of terms */
	unsigned rank; /* of this proxy among the database's homes, 0 first */
	unsigned n_servers;
	struct failover_server servers[FRESH_MAX_SERVERS];

	enum failover_phase phase;
	uint64_t deadline_us; /* end of the phase, 0: none */
	uint64_t last_call_at_us; /* latest current time passed in */
	uint64_t resumed_at_us; /* earlier silence does not count */

	/* What is known of the group. */
	int primary; /* server index or NO_SERVER */
	uint64_t primary_term; /* highest term with a known primary */
	uint64_t no_primary_since_us;
	uint64_t max_term; /* highest term granted or led on any server */
	uint64_t max_term_raised_at_us; /* by another holder, 0: never */
	struct failover_stall stall;
	enum failover_reason reason; /* of the latest ballot */

	/* The ballot. */
	uint64_t term; /* that it asks the servers to grant */
	int excluded; /* server that must not be promoted, or NO_SERVER */
	int target; /* server being promoted */
	unsigned attempts; /* failed ones since the last new primary */
	uint32_t granters; /* bit per server that granted the term */
	uint32_t refusers; /* bit per server that refused it */
	struct position granted_position[FRESH_MAX_SERVERS]; /* last entry */
	uint64_t grant_sent_at_us[FRESH_MAX_SERVERS]; /* latest grant call */
	uint64_t grant_due_at_us[FRESH_MAX_SERVERS]; /* time of the next one */

	/* The planned switchover. */
	bool moving;
	int move_target;
	bool holding; /* new writes are held back */
	uint64_t move_started_at_us;
	uint64_t last_move_at_us; /* its promotion, 0: none yet */
	uint64_t next_auto_move_at_us; /* earliest automatic one, 0: not set */
};

struct failover_guards *failover_guards(struct failover *f);

unsigned failover_majority(const struct failover *f);
bool failover_is_leaving(const struct failover *f, unsigned server);
void failover_log_decision(struct failover *f, const char *what,
			   const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void failover_enter_phase(struct failover *f, enum failover_phase phase,
			  uint64_t deadline_us);

/* failover_watch.c */
void watch_on_alive(struct failover *f, unsigned server, uint64_t started_us);
void watch_on_status(struct failover *f, unsigned server, uint64_t started_us,
		     const struct server_status *status, uint64_t now_us);
void watch_on_unanswered(struct failover *f, unsigned server, bool refused);
void watch_on_new_primary(struct failover *f);
bool watch_is_reachable(const struct failover *f, unsigned server,
			uint64_t now_us);
unsigned watch_count_reachable(const struct failover *f, int except,
			       uint64_t now_us);
enum failover_reason watch_reason(struct failover *f, uint64_t now_us);
const char *watch_reason_name(enum failover_reason reason);

/* failover_ballot.c */
void ballot_start(struct failover *f, enum failover_reason reason,
		  uint64_t now_us);
void ballot_on_grant(struct failover *f, unsigned server,
		     const struct server_status *status, uint64_t now_us);
void ballot_on_promote(struct failover *f, unsigned server,
		       const struct server_status *status, uint64_t now_us);
void ballot_on_failure(struct failover *f, unsigned server,
		       enum failover_call call, uint64_t now_us);
void ballot_tick(struct failover *f, uint64_t now_us);
void ballot_back_off(struct failover *f, uint64_t now_us);

/* failover_move.c */
bool move_start(struct failover *f, int target, uint64_t now_us,
		struct err *err);
void move_tick(struct failover *f, uint64_t now_us);
void move_finish(struct failover *f);
void move_if_leaving(struct failover *f, uint64_t now_us);

#endif
