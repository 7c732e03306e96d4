#ifndef CELERYQUAY_TESTS_SUPPORT_HISTORY_H
#define CELERYQUAY_TESTS_SUPPORT_HISTORY_H

/*
 * Callers of the fake's relays, and the record of all that they asked for and
 * were told, which is checked for what must always hold.
 */

#include "support_group.h"

struct hist_statement {
	unsigned number; /* its id */
	unsigned session;
	unsigned attempt; /* a transaction, or the statement alone */
	enum relay_verb verb;
	bool writes;
	bool in_transaction;
	char *values; /* the session's, as its caller knows them */
	char *shape; /* of the prepared statement */
	uint64_t since_us; /* of the statement or its transaction */
	uint64_t sent_us; /* by its caller */
	char *name;
	char *text;
	bool answered;
	enum relay_code code;
};

struct hist_session {
	unsigned number;
	unsigned relay;
	unsigned group;
	enum relay_kind kind;
	unsigned account; /* where there are accounts */
	bool open;
	char state;
	GHashTable *values;
	GHashTable *prepared; /* name -> kind and shape */
	unsigned attempt;
	uint64_t begun_us;
	struct hist_statement *now; /* without an answer yet */
	enum relay_code told; /* by the last answer */
	char said[64]; /* its text */
	fake_fn next; /* runs after each answer, with this session */
	unsigned left; /* for `next` */
};

struct hist *hist_create(void);
void hist_destroy(struct hist *h);
struct hist_session *hist_open(struct fake *f, unsigned relay, unsigned group,
			       enum relay_kind kind);
void hist_close(struct fake *f, struct hist_session *s);
void hist_start(struct fake *f, struct hist_session *s, enum relay_verb verb,
		const char *name, const char *text);
/* Waits for the answer; RELAY_CODES if none comes. */
enum relay_code hist_run(struct fake *f, struct hist_session *s,
			 enum relay_verb verb, const char *name,
			 const char *text);
/* Whether each relay stores a write of each group, in all within that time. */
bool hist_serves(struct fake *f, uint64_t limit_us);
/* The id of the newest statement, as its caller knows it; free it. */
char *hist_last_id(const struct fake *f);
/* Operations that a server ran. */
unsigned hist_ran_in_all(const struct fake *f);
unsigned hist_acknowledged(const struct fake *f);
/* "" or what was wrong so far. */
const char *hist_check(struct fake *f);

/* The fake's side. */
void hist_wrong(struct fake *f, const char *format, ...) G_GNUC_PRINTF(2, 3);
void hist_answer(void *relay, uint64_t session, const struct relay_answer *a);
void hist_hang_up(void *relay, uint64_t session);
void hist_relay_ended(struct fake *f, unsigned relay);
void hist_passed_on(struct fake *f, const struct fake_conn *c, struct str id);
const struct hist_statement *hist_find(struct fake *f, struct str id);
void hist_ran(struct fake *f, struct fake_conn *c,
	      const struct hist_statement *h, const struct relay_statement *st);
void hist_committed(struct fake *f, unsigned commit);

#endif
