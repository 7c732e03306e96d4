#ifndef CELERYQUAY_TESTS_SUPPORT_HISTORY_H
#define CELERYQUAY_TESTS_SUPPORT_HISTORY_H

/*
 * Callers of the fake's relays, and the history of their requests and answers,
 * which is checked for the guarantees that must always hold.
 */

#include "support_group.h"

struct hist_statement {
	unsigned number; /* its id, from 1 */
	unsigned session;
	unsigned attempt; /* number of the operation that it belongs to: a
			   * transaction, or this statement alone */
	enum relay_verb verb;
	bool writes;
	bool in_transaction;
	char *values; /* session variables that its caller has set */
	char *shape; /* kind and text of the prepared statement */
	uint64_t started_at_us; /* start of its operation */
	uint64_t sent_us; /* when its caller sent it */
	char *name;
	char *text;
	bool arrived; /* at the relay */
	bool answered;
	enum relay_code code;
};

struct hist_session {
	unsigned number;
	unsigned relay;
	unsigned group;
	enum relay_kind kind;
	unsigned account; /* used if the fake has accounts */
	bool open;
	char state;
	GHashTable *values; /* session variables: name -> value */
	GHashTable *prepared; /* name -> kind and shape */
	unsigned attempt; /* number of the newest operation */
	uint64_t begun_us; /* when that started */
	struct hist_statement *now; /* awaiting its answer, or NULL */
	enum relay_code told; /* code of the last answer */
	char said[64]; /* text of the last answer */
	fake_fn next; /* called with this session 1 ms after each answer */
	unsigned left; /* free for use by `next` */
	void *user; /* the same */
};

struct hist *hist_create(void);
void hist_destroy(struct hist *h);
struct hist_session *hist_open(struct fake *f, unsigned relay, unsigned group,
			       enum relay_kind kind);
/* The same for a caller of that account. */
struct hist_session *hist_open_account(struct fake *f, unsigned relay,
				       unsigned group, enum relay_kind kind,
				       unsigned account);
void hist_close(struct fake *f, struct hist_session *s);
void hist_start(struct fake *f, struct hist_session *s, enum relay_verb verb,
		const char *name, const char *text);
/* Waits up to 10 s for the answer; RELAY_CODES if none comes. */
enum relay_code hist_run(struct fake *f, struct hist_session *s,
			 enum relay_verb verb, const char *name,
			 const char *text);
/* Whether each relay accepts a write to each group, all within limit_us. */
bool hist_accepts_writes(struct fake *f, uint64_t limit_us);
/* Returns the id of the newest statement; the caller frees it. */
char *hist_last_id(const struct fake *f);
/* Number of statements of a relay's callers that have no answer. */
unsigned hist_unanswered(const struct fake *f, unsigned relay);
/* Number of operations that servers ran. */
unsigned hist_operation_count(const struct fake *f);
/* Number of commits that were acknowledged to callers. */
unsigned hist_acknowledged(const struct fake *f);
/* Returns the violations found, "" if none; owned by the history. */
const char *hist_check(struct fake *f);

/* Called by the fake. */
void hist_violation(struct fake *f, const char *format, ...)
	G_GNUC_PRINTF(2, 3);
void hist_answer(void *relay, uint64_t session, const struct relay_answer *a);
void hist_hang_up(void *relay, uint64_t session);
void hist_relay_ended(struct fake *f, unsigned relay);
void hist_forwarded(struct fake *f, const struct fake_conn *c, struct str id);
const struct hist_statement *hist_find(struct fake *f, struct str id);
void hist_ran(struct fake *f, struct fake_conn *c,
	      const struct hist_statement *h, const struct relay_statement *st);
void hist_committed(struct fake *f, unsigned commit);

#endif
