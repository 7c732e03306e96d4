#ifndef CELERYQUAY_TESTS_SUPPORT_FAKE_SQL_H
#define CELERYQUAY_TESTS_SUPPORT_FAKE_SQL_H

/* Sessions of the fake connections on the servers' side. */

#include "support_fake_upstream.h"

#define FAKE_MAX_PARAMS 8

struct fake_step {
	char *sql;
	unsigned n_params;
	char *params[FAKE_MAX_PARAMS]; /* as text */
	bool keep_rows; /* return the rows in the result */
};

/* A run: the steps sent to the server, and the result that it sends back. */
struct fake_run {
	GPtrArray *steps; /* struct fake_step */
	unsigned next; /* index of the next step */
	uint64_t wait_until_us; /* end of a cq_wait or SLOW step, 0: none */
	bool slept;
	GString *results; /* JSON of the rows kept */
	struct upstream_result result;
	char *row[4]; /* cells of the last row, NULL beyond its end */
};

struct fake_session {
	struct fake_sql *sql;
	unsigned server;
	bool open; /* the connection exists */
	bool block; /* in a transaction block */
	bool failed; /* the block failed; only ROLLBACK is accepted */
	bool read_only; /* the block is read-only */
	bool has_snapshot; /* the block reads at the snapshot's position */
	struct position snapshot;
	uint64_t key; /* number of the key claimed in the block, 0: none */
	enum fdb_kind kind; /* of that key's row, like the next three */
	int64_t at;
	char *digest;
	char *summary;
	uint64_t trip; /* stored in the block, 0: none */
	char *variable; /* the session variable, NULL: not set */
	struct position last_commit;
	bool committed; /* within this run */
	/* The block removes outcome rows or creates their table. */
	bool maintenance;
	bool fail_position; /* the next cq_commit_position is refused */
};

enum fake_progress { FAKE_DONE, FAKE_WAITS };

struct fake_session *fake_session_create(struct fake_sql *sql, unsigned server);
void fake_session_destroy(struct fake_session *s);
/* Ends the session with its connection and rolls its block back. */
void fake_session_end(struct fake_session *s);
/* Continues a run. FAKE_WAITS: it waits, to be called again later. */
enum fake_progress fake_session_run(struct fake_session *s,
				    struct fake_run *run);

struct fake_run *fake_run_create(const struct upstream_step *steps,
				 unsigned n_steps);
void fake_run_destroy(struct fake_run *run);

struct sim *fake_sql_sim(struct fake_sql *sql);
struct fdb *fake_sql_db(struct fake_sql *sql);
/* The session whose open block claimed the key; NULL: none. */
struct fake_session *fake_sql_claim(struct fake_sql *sql, unsigned server,
				    uint64_t key);
void fake_sql_set_claim(struct fake_sql *sql, unsigned server, uint64_t key,
			struct fake_session *holder);
/* Stores the trip and the remaining columns of a key's outcome row. */
void fake_sql_note_row(struct fake_sql *sql, uint64_t key, const char *digest,
		       const char *summary, uint64_t trip);
/* The trip of the log entry with this key. */
uint64_t fake_sql_trip(struct fake_sql *sql, uint64_t key);
const char *fake_sql_digest(struct fake_sql *sql, uint64_t key);
const char *fake_sql_summary(struct fake_sql *sql, uint64_t key);
uint64_t fake_sql_nonce(struct fake_sql *sql);
/* Stores the column "at" of the outcome row with this key number. */
void fake_sql_note_row_time(struct fake_sql *sql, uint64_t key, int64_t at);
/* Marks the outcome rows with an earlier "at" as removed. */
void fake_sql_note_removal(struct fake_sql *sql, int64_t before);
/*
 * Whether this maintenance block is one of the n of
 * fake_sql_fail_after_commit(); decrements n if so.
 */
bool fake_sql_take_failure_after_commit(struct fake_sql *sql, unsigned server);

#endif
