#ifndef CELERYQUAY_CORE_GROUP_SQL_H
#define CELERYQUAY_CORE_GROUP_SQL_H

/*
 * The proxy's own statements, and what can be determined about a caller's
 * statement from its first word and a search for a few words in it. The proxy
 * has no SQL parser.
 */

#include <celeryquay/base/str.h>

#define SQL_BEGIN STR("BEGIN")
#define SQL_BEGIN_READ STR("BEGIN READ ONLY")
#define SQL_COMMIT STR("COMMIT")
#define SQL_ROLLBACK STR("ROLLBACK")
#define SQL_DISCARD STR("DISCARD ALL")
#define SQL_CHECK STR("SELECT 1")
#define SQL_STATUS STR("SELECT cq_status()")
#define SQL_WAIT STR("SELECT cq_wait($1, $2, $3, $4, $5)")
#define SQL_GRANT STR("SELECT cq_grant($1, $2)")
#define SQL_PROMOTE STR("SELECT cq_promote($1, $2)")
#define SQL_FOLLOW STR("SELECT cq_follow($1, $2)")
#define SQL_COMMIT_POSITION STR("SELECT cq_commit_position()")
#define SQL_READ_POSITION STR("SELECT cq_read_position()")

#define SQL_OUTCOME_CREATE                                    \
	STR("CREATE TABLE IF NOT EXISTS celeryquay_outcome (" \
	    "key TEXT PRIMARY KEY, digest TEXT NOT NULL, "    \
	    "state TEXT NOT NULL, at BIGINT NOT NULL, "       \
	    "summary TEXT NOT NULL)")
#define SQL_OUTCOME_INDEX                                       \
	STR("CREATE INDEX IF NOT EXISTS celeryquay_outcome_at " \
	    "ON celeryquay_outcome (at)")
/* Parameters: key, digest, state, at. */
#define SQL_OUTCOME_INSERT                    \
	STR("INSERT INTO celeryquay_outcome " \
	    "(key, digest, state, at, summary) VALUES ($1, $2, $3, $4, '')")
/*
 * Parameters: key, at, summary. Without the row that this transaction inserted
 * the digest is NULL, which the table refuses (23502). So when the transaction
 * was rolled back midway, the statements after that can't be committed.
 */
#define SQL_OUTCOME_FINISH                                       \
	STR("INSERT INTO celeryquay_outcome "                    \
	    "(key, digest, state, at, summary) "                 \
	    "SELECT $1, (SELECT digest FROM celeryquay_outcome " \
	    "WHERE key = $1), 'done', $2, $3 WHERE true "        \
	    "ON CONFLICT (key) DO UPDATE SET summary = excluded.summary")
/* Parameter: key. */
#define SQL_OUTCOME_READ                                             \
	STR("SELECT state, digest, summary FROM celeryquay_outcome " \
	    "WHERE key = $1")
/* Parameters: the time before which rows are removed, maximum of rows. */
#define SQL_OUTCOME_REMOVE                                      \
	STR("DELETE FROM celeryquay_outcome WHERE key IN ("     \
	    "SELECT key FROM celeryquay_outcome WHERE at < $1 " \
	    "ORDER BY at LIMIT $2)")

/* SQLSTATEs on which the handling of an error depends. */
#define SQLSTATE_DUPLICATE_KEY "23505"
#define SQLSTATE_READ_ONLY "25006"
#define SQLSTATE_SERIALIZATION "40001"
#define SQLSTATE_DEADLOCK "40P01"
#define SQLSTATE_TOO_MANY "53300"

/*
 * Whether the statement would begin, end or divide a transaction (savepoints),
 * or change its mode. Blanks, comments and empty statements before it are
 * skipped.
 */
bool group_sql_controls_transaction(struct str sql);
/*
 * Whether the statement may leave session state to the next user of the
 * connection. True for everything that isn't recognised as a query or a change
 * of rows without such an effect.
 */
bool group_sql_leaves_state(struct str sql);

#endif
