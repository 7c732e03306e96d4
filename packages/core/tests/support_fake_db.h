#ifndef CELERYQUAY_TESTS_SUPPORT_FAKE_DB_H
#define CELERYQUAY_TESTS_SUPPORT_FAKE_DB_H

/*
 * A simulated database group on the virtual clock with the semantics of
 * docs/design/0002: terms, grants, a log that replicas pull, and following,
 * which matches the logs and removes the replica's diverging tail. The only
 * rows are those of the outcome table: a key that is done or a tombstone. Log
 * and grants survive a crash.
 */

#include "support_sim.h"

#define FDB_MAX_SERVERS 5

enum fdb_kind { FDB_EMPTY, FDB_DONE, FDB_TOMBSTONE };

struct fdb_entry {
	uint64_t term;
	uint64_t key;
	enum fdb_kind kind;
	uint64_t committed_at_us; /* when the primary committed it */
	uint64_t received_at_us; /* when this server received it */
};

enum fdb_result { FDB_OK, FDB_DUPLICATE, FDB_READ_ONLY };

/*
 * The servers' rules. All are on by default; mutation tests switch one off and
 * expect a check to fail.
 */
struct fdb_rules {
	bool fenced_commits_nothing; /* fenced: granted a later term */
	bool grants_once; /* each term to one holder only */
	bool fenced_takes_no_log; /* as replica, it receives no entries */
	bool follow_removes_tail; /* entries that the primary's log lacks */
};

struct fdb;
/* Called on each promotion. */
typedef void (*fdb_promoted_fn)(void *ctx, unsigned server, uint64_t term);

/* Server i is node i of the simulation. */
struct fdb *fdb_create(struct sim *sim, unsigned n_servers);
void fdb_destroy(struct fdb *db);
struct fdb_rules *fdb_rules(struct fdb *db);
void fdb_set_promoted(struct fdb *db, fdb_promoted_fn promoted, void *ctx);
/* Delay between receiving and applying an entry at a replica. */
void fdb_set_lag(struct fdb *db, unsigned server, uint64_t lag_us);
/* To be called after sim_up(); the server resumes the role that it had. */
void fdb_restart(struct fdb *db, unsigned server);
const char *fdb_name(unsigned server);

void fdb_status(struct fdb *db, unsigned server, struct server_status *out);
bool fdb_grant(struct fdb *db, unsigned server, uint64_t term,
	       const char *holder);
bool fdb_promote(struct fdb *db, unsigned server, uint64_t term,
		 const char *holder);
bool fdb_follow(struct fdb *db, unsigned server, uint64_t term,
		unsigned primary);
void fdb_set_leaving(struct fdb *db, unsigned server, bool leaving);
/* Whether it is a primary that no later grant fences. */
bool fdb_can_write(const struct fdb *db, unsigned server);

/*
 * Commits one outcome row. *at is the position of its entry, or the end of the
 * log if nothing was committed.
 */
enum fdb_result fdb_insert(struct fdb *db, unsigned server, uint64_t key,
			   enum fdb_kind kind, struct position *at);
/* The log entry of the row with this key at the server; NULL: none. */
const struct fdb_entry *fdb_find(struct fdb *db, unsigned server, uint64_t key);
unsigned fdb_log_length(const struct fdb *db, unsigned server);
/* The entry at a 1-based index. */
const struct fdb_entry *fdb_log_at(const struct fdb *db, unsigned server,
				   uint64_t index);

#endif
