#ifndef CELERYQUAY_TESTS_SUPPORT_CLUSTER_INTERNAL_H
#define CELERYQUAY_TESTS_SUPPORT_CLUSTER_INTERNAL_H

/*
 * Declarations shared by the parts of the simulated cluster:
 * support_cluster.c has the homes and their calls, support_cluster_writer.c
 * the writes, support_cluster_check.c the checks of the guarantees.
 */

#include "support_cluster.h"

enum call_kind {
	C_PROBE = CALL_PROBE,
	C_GRANT = CALL_GRANT,
	C_PROMOTE = CALL_PROMOTE,
	C_FOLLOW = CALL_FOLLOW,
	C_STATUS, /* the writer's status request */
	C_INSERT,
};

enum write_state {
	WRITE_SENT,
	WRITE_CONFIRMING, /* inserted; waits for a majority to receive it */
	WRITE_UNCERTAIN, /* no answer in time; a tombstone will decide */
	WRITE_SETTLING, /* the tombstone was sent */
	/* Answered: */
	WRITE_ACKNOWLEDGED,
	WRITE_NOT_RUN,
	WRITE_UNKNOWN,
};

struct write {
	uint64_t key;
	unsigned home;
	enum write_state state;
	enum write_state outcome; /* its answer once a majority has the entry */
	unsigned attempt; /* number of inserts sent; older replies are stale */
	bool settling; /* the entry is a tombstone's or that of a found row */
	struct position at; /* position to be confirmed */
	uint32_t confirmed_by; /* bit per server that received the position */
	uint64_t state_at_us; /* when the state was entered */
	uint64_t deadline_at_us; /* time of the answer "unknown" */
};

struct home {
	struct cluster *c;
	unsigned index;
	int node; /* in the simulation */
	unsigned incarnation; /* number of starts */
	struct failover *failover; /* NULL while down */
	uint64_t tick_at_us; /* time of the scheduled tick, 0: none */
	uint64_t tick_number; /* of the scheduled tick; older ones are stale */
	bool holding; /* new writes are held back */
	uint64_t hold_set_at_us; /* when holding was last set */
	/* When the oldest unanswered call was sent, by server; 0: none. */
	uint64_t oldest_call_at_us[FDB_MAX_SERVERS];
	unsigned connection[FDB_MAX_SERVERS]; /* number, by server */
};

struct call {
	unsigned home;
	unsigned incarnation; /* of the home */
	unsigned connection; /* number of the connection used */
	unsigned server;
	enum call_kind kind;
	uint64_t started_at_us; /* when it was sent */
	uint64_t term;
	unsigned primary;
	char holder[64];
	struct write *write; /* of C_INSERT */
	unsigned attempt;
	enum fdb_kind insert;
	/* The answer. */
	enum fdb_result result;
	bool found_done; /* the server has the write's row as done */
	struct position at;
	struct server_status status;
};

struct cluster {
	struct cluster_settings settings;
	struct cluster_rules rules;
	struct sim *sim;
	struct fdb *db;
	struct home homes[CLUSTER_MAX_HOMES];
	GPtrArray *writes; /* struct write */
	unsigned first_open; /* index; all writes before it are answered */
	bool writing; /* homes send new writes */
	uint64_t last_ack_at_us; /* when a write was last acknowledged */
	uint64_t longest_hold_us; /* longest time that writes were held back */
	struct cluster_counts counts;
	GArray *leaders; /* struct leader, in order of promotion */
	cluster_decision_fn decision;
	void *decision_ctx;
	char violation[256]; /* the first violated guarantee, "": none */
};

/* A promotion. */
struct leader {
	uint64_t term;
	unsigned server;
	uint64_t at_us;
};

/* support_cluster.c */
void cluster_send_call(struct home *h, struct call call);

/* support_cluster_writer.c */
bool write_is_answered(const struct write *w);
void write_answer(struct cluster *c, struct write *w, enum write_state state);
void write_on_position(struct cluster *c, unsigned home, unsigned server,
		       const struct server_status *st);
void write_on_inserted(struct cluster *c, const struct call *call);
unsigned write_count_running(const struct home *h);
void write_start_home(struct home *h);

/* support_cluster_check.c */
void check_promotion(void *ctx, unsigned server, uint64_t term);
void check_ack(struct cluster *c, const struct write *w);

#endif
