/*
 * Callers' sessions: their values, prepared statements and open transaction.
 * Statements that need no server are answered here.
 */
#define LOG_MODULE "session"
#include "homes.h"
#include "stop.h"
#include "wait.h"

#include <celeryquay/base/log.h>

#include <string.h>

/* A session that is idle for this long may be ended by a planned stop. */
#define MIN_IDLE_US (100 * USEC_PER_MSEC)
/*
 * How long an isolated proxy reports itself as not ready before it ends
 * sessions. The load balancer has by then seen two such answers, a second
 * apart, and sends no new sessions here.
 */
#define NOT_READY_US (3 * USEC_PER_SEC)
/* Bounds the values, and the prepared statements, of one session. */
#define MAX_VALUES 256

static void prepared_free(gpointer data)
{
	struct rprepared *p = data;

	g_free(p->shape);
	g_free(p);
}

/* Creates a session without values, outside a transaction. */
struct rsession *rsession_create(struct relay *r, uint64_t id,
				 const char *database, const char *key)
{
	struct rsession *s = g_new0(struct rsession, 1);

	s->id = id;
	s->relay = r;
	s->database = g_strdup(database);
	s->key = g_strdup(key);
	s->account = g_strdup("");
	s->state = 'I';
	s->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->prepared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    prepared_free);
	s->run.id = g_string_new(NULL);
	s->run.begin_id = g_string_new(NULL);
	s->run.name = g_string_new(NULL);
	s->run.text = g_string_new(NULL);
	s->run.rows = g_string_new(NULL);
	s->run.signature = g_string_new(NULL);
	s->run.server = g_string_new(NULL);
	s->run.link.data = s;
	return s;
}

/* Frees a session that has no connection and is in no queue. */
void rsession_destroy(gpointer session)
{
	struct rsession *s = session;

	g_string_free(s->run.id, TRUE);
	g_string_free(s->run.begin_id, TRUE);
	g_string_free(s->run.name, TRUE);
	g_string_free(s->run.text, TRUE);
	g_string_free(s->run.rows, TRUE);
	g_string_free(s->run.signature, TRUE);
	g_string_free(s->run.server, TRUE);
	g_hash_table_destroy(s->values);
	g_hash_table_destroy(s->prepared);
	g_free(s->database);
	g_free(s->key);
	g_free(s->account);
	g_free(s);
}

/* Answers a statement without a server. */
void rsession_answer(struct rsession *s, enum relay_code code, const char *text)
{
	struct relay_answer answer = {
		.code = code,
		.text = str_from_c(text),
		.state = s->state,
	};

	/* Only errors are logged here; they are the caller's own. */
	if (code != RELAY_OK)
		rlog_statement(s, code, answer.text, s->used_us);
	s->relay->ops->answer(s->relay->ctx, s->id, &answer);
}

/* Rolls back an open transaction and releases its connection. */
void rsession_abort_transaction(struct rsession *s, uint64_t now_us)
{
	if (s->conn)
		rconn_release(s->conn, now_us);
	s->wrote = false;
}

static void run_set(struct rsession *s, const struct relay_statement *st)
{
	if (g_hash_table_size(s->values) >= MAX_VALUES) {
		rsession_answer(s, RELAY_MALFORMED, "too many values are set");
		return;
	}
	g_hash_table_replace(s->values, str_dup(st->name), str_dup(st->text));
	rsession_answer(s, RELAY_OK, "-");
}

static void run_prepare(struct rsession *s, const struct relay_statement *st)
{
	struct rprepared *p;

	if (g_hash_table_size(s->prepared) >= MAX_VALUES) {
		rsession_answer(s, RELAY_MALFORMED,
				"too many prepared statements");
		return;
	}
	p = g_new0(struct rprepared, 1);
	p->writes = st->verb == RELAY_PREPARE_WRITE;
	p->shape = str_dup(st->text);
	g_hash_table_replace(s->prepared, str_dup(st->name), p);
	rsession_answer(s, RELAY_OK, "-");
}

static void run_deallocate(struct rsession *s, const struct relay_statement *st)
{
	char *name = str_dup(st->name);
	bool had = g_hash_table_remove(s->prepared, name);

	g_free(name);
	if (had)
		rsession_answer(s, RELAY_OK, "-");
	else
		rsession_answer(s, RELAY_NO_STATEMENT,
				"no statement of that name");
}

static void run_begin(struct rsession *s, const struct relay_statement *st)
{
	if (s->state != 'I') {
		rsession_answer(s, RELAY_MALFORMED, "a transaction is open");
		return;
	}
	if (!relay_catalog_profile(s->relay->catalog, s->database)) {
		rsession_answer(s, RELAY_NO_DATABASE, "no such database");
		return;
	}
	g_string_truncate(s->run.begin_id, 0);
	g_string_append_len(s->run.begin_id, st->id.data, (gssize)st->id.len);
	s->state = 'T';
	s->read_only = st->verb == RELAY_BEGIN_READ;
	s->wrote = false;
	s->has_txn_token = false;
	rsession_answer(s, RELAY_OK, "-");
}

static void run_rollback(struct rsession *s, const struct relay_statement *st,
			 uint64_t now_us)
{
	if (s->state == 'I') {
		rsession_answer(s, RELAY_MALFORMED, "no transaction is open");
		return;
	}
	if (s->conn)
		rconn_roll_back(s->conn, st->id, now_us);
	s->wrote = false;
	s->state = 'I';
	rsession_answer(s, RELAY_OK, "-");
}

static void run_commit(struct rsession *s, const struct relay_statement *st,
		       uint64_t now_us)
{
	if (s->state == 'I') {
		rsession_answer(s, RELAY_MALFORMED, "no transaction is open");
	} else if (s->state == 'E') {
		rsession_abort_transaction(s, now_us);
		s->state = 'I';
		rsession_answer(s, RELAY_ABORTED, "the transaction had failed");
	} else {
		rrun_start(s, st, false, now_us);
	}
}

static void run_execute(struct rsession *s, const struct relay_statement *st,
			uint64_t now_us)
{
	char *name = str_dup(st->name);
	struct rprepared *p = g_hash_table_lookup(s->prepared, name);

	g_free(name);
	if (p)
		rrun_start(s, st, p->writes, now_us);
	else
		rsession_answer(s, RELAY_NO_STATEMENT,
				"no statement of that name");
}

static void run_statement(struct rsession *s, const struct relay_statement *st,
			  uint64_t now_us)
{
	switch (st->verb) {
	case RELAY_SET:
		run_set(s, st);
		break;
	case RELAY_PREPARE_READ:
	case RELAY_PREPARE_WRITE:
		run_prepare(s, st);
		break;
	case RELAY_DEALLOCATE:
		run_deallocate(s, st);
		break;
	case RELAY_BEGIN:
	case RELAY_BEGIN_READ:
		run_begin(s, st);
		break;
	case RELAY_EXECUTE:
		run_execute(s, st, now_us);
		break;
	case RELAY_READ:
	case RELAY_WRITE:
		rrun_start(s, st, st->verb == RELAY_WRITE, now_us);
		break;
	default:
		rsession_answer(s, RELAY_MALFORMED,
				"not a statement that a caller may send");
		break;
	}
}

static void log_refused_session(const struct relay *r, uint64_t session,
				const char *database,
				const struct relay_answer *answer)
{
	struct log_line *l = log_event(LOG_FAILURE, "session-refused");

	if (!l)
		return;
	log_u64(l, "session", session);
	log_cstr(l, "database", database);
	log_u64(l, "config",
		r->catalog ? relay_catalog_version(r->catalog) : 0);
	log_cstr(l, "code", relay_code_info(answer->code)->name);
	log_str(l, "why", answer->text);
	log_event_end(l);
}

/* The key is checked first, so that strangers can't probe database names. */
static enum relay_code check_session(struct rsession *s, const char **why,
				     uint64_t now_us)
{
	struct relay *r = s->relay;
	enum relay_code code;

	if (!r->catalog) {
		*why = "no configuration yet";
		return RELAY_BUSY;
	}
	code = s->peer ? RELAY_OK : raccount_check_key(s, now_us, why);
	if (code != RELAY_OK)
		return code;
	if (relay_catalog_profile(r->catalog, s->database) ||
	    (s->peer && !strcmp(s->database, RELAY_LIMITS)))
		return RELAY_OK;
	*why = "no such database";
	return RELAY_NO_DATABASE;
}

static bool open_session(struct relay *r, uint64_t session, bool peer,
			 const char *database, const char *key,
			 struct relay_answer *answer, uint64_t now_us)
{
	struct rsession *s = rsession_create(r, session, database, key);
	const char *why = "";

	s->used_us = now_us;
	s->peer = peer;
	*answer = (struct relay_answer){ .state = 'I' };
	answer->code = check_session(s, &why, now_us);
	if (answer->code != RELAY_OK) {
		answer->text = str_from_c(why);
		log_refused_session(r, session, database, answer);
		rsession_destroy(s);
		return false;
	}
	g_hash_table_insert(r->sessions, &s->id, s);
	return true;
}

/* Opens a caller's session. Each transaction looks its database up anew. */
bool relay_session_open(struct relay *r, uint64_t session, const char *database,
			const char *key, struct relay_answer *answer,
			uint64_t now_us)
{
	return open_session(r, session, false, database, key, answer, now_us);
}

/* Opens a session for another proxy, which carries its callers' statements. */
bool relay_session_open_peer(struct relay *r, uint64_t session,
			     const char *database, const char *key,
			     struct relay_answer *answer, uint64_t now_us)
{
	return open_session(r, session, true, database, key, answer, now_us);
}

/*
 * Handles the fields that only proxies may send; false: a caller sent them, or
 * a statement without an id. A floor holds only for the statement or
 * transaction that it comes with, since the next may be another caller's.
 */
static bool accept_peer_fields(struct rsession *s,
			       const struct relay_statement *st)
{
	if (!s->peer)
		return st->id.len && !st->after.term;
	if (s->state == 'I') {
		s->floor = st->after;
		s->floor_at_us = s->used_us;
		g_free(s->account);
		s->account = str_dup(st->account);
	}
	return true;
}

static void run_reset(struct rsession *s)
{
	g_hash_table_remove_all(s->values);
	g_hash_table_remove_all(s->prepared);
	rsession_answer(s, RELAY_OK, "-");
}

static bool needs_server(enum relay_verb verb)
{
	return verb == RELAY_BEGIN || verb == RELAY_BEGIN_READ ||
	       verb == RELAY_READ || verb == RELAY_WRITE ||
	       verb == RELAY_EXECUTE || verb == RELAY_COMMIT;
}

/*
 * Checks the session's key before a statement that needs a server, and answers
 * the statement if it may not run. A transaction whose key was revoked is
 * rolled back.
 */
static bool check_key(struct rsession *s, const struct relay_statement *st,
		      uint64_t now_us)
{
	const char *why = "";
	enum relay_code code = RELAY_OK;

	if (s->state != 'E' && needs_server(st->verb))
		code = raccount_check_key(s, now_us, &why);
	if (code == RELAY_OK)
		return true;
	if (s->state == 'T') {
		rsession_abort_transaction(s, now_us);
		s->state = st->verb == RELAY_COMMIT ? 'I' : 'E';
		code = RELAY_ABORTED;
	}
	rsession_answer(s, code, why);
	return false;
}

/* Whether the process is about to end, too late for a server to run it. */
static bool is_refused_by_stop(const struct rsession *s, enum relay_verb verb)
{
	return s->relay->finishing_since_us && s->state == 'I' &&
	       needs_server(verb);
}

/* The session is then over, unless its caller has sent more. */
static void refuse_in_stop(struct rsession *s)
{
	rsession_answer(s, RELAY_BUSY, "the proxy stops");
	s->hung_up = true;
	s->relay->ops->hang_up(s->relay->ctx, s->id);
}

/* Handles a caller's statement; it is answered now or later. */
void relay_session_statement(struct relay *r, uint64_t session,
			     const struct relay_statement *statement,
			     uint64_t now_us)
{
	struct rsession *s = g_hash_table_lookup(r->sessions, &session);

	if (!s || rrun_is_active(s))
		return;
	s->used_us = now_us;
	s->hung_up = false; /* sent before the caller saw the hang-up */
	rrun_record(s, statement, now_us);
	if (!accept_peer_fields(s, statement))
		rsession_answer(s, RELAY_MALFORMED,
				"not a statement that a caller may send");
	else if (!check_key(s, statement, now_us))
		return;
	else if (is_refused_by_stop(s, statement->verb))
		refuse_in_stop(s);
	else if (s->peer && statement->verb == RELAY_RESET)
		run_reset(s);
	else if (s->peer && statement->verb == RELAY_TAKE)
		rgrantor_on_request(s, statement, now_us);
	else if (s->peer && statement->verb == RELAY_STATUS)
		rsession_answer(s, RELAY_OK, "-");
	else if (statement->verb == RELAY_COMMIT)
		run_commit(s, statement, now_us);
	else if (statement->verb == RELAY_ROLLBACK)
		run_rollback(s, statement, now_us);
	else if (s->state == 'E')
		rsession_answer(s, RELAY_MALFORMED,
				"the transaction has failed");
	else
		run_statement(s, statement, now_us);
}

/*
 * Handles the end of a caller's connection. A statement in flight at a server
 * goes on there, and its answer is dropped.
 */
void relay_session_closed(struct relay *r, uint64_t session, uint64_t now_us)
{
	struct rsession *s = g_hash_table_lookup(r->sessions, &session);

	if (!s)
		return;
	if (rrun_is_active(s))
		rlog_session(s, "caller-left", "its connection ended", now_us);
	if (s->run.state == RRUN_QUEUED)
		rwait_cancel(s);
	if (s->run.state == RRUN_AWAITING_TOKEN)
		rlimit_dequeue(s);
	rsession_abort_transaction(s, now_us);
	g_hash_table_remove(r->sessions, &session);
	rwait_dispatch(r, now_us);
}

static bool is_idle_too_long(const struct rsession *s, uint64_t now_us)
{
	uint64_t limit_us =
		relay_catalog_idle_transaction_us(s->relay->catalog);

	if (s->state != 'T' || rrun_is_active(s) || !s->conn)
		return false;
	if (s->relay->stopping && now_us > rstop_transactions_end_us(s->relay))
		return true;
	return limit_us && now_us > s->used_us + limit_us;
}

/*
 * Ends a session during a planned stop, once the load balancer sends no new
 * ones here. If it were closed while the caller's next request is on its way,
 * that request would get no answer. So a session ends right after an answer,
 * or when it has been idle for MIN_IDLE_US.
 */
void rsession_end_if_stopping(struct rsession *s, uint64_t now_us)
{
	struct relay *r = s->relay;

	if (!r->stopping || s->hung_up || rrun_is_active(s) ||
	    s->state != 'I' || now_us < rstop_rest_ends_us(r))
		return;
	s->hung_up = true;
	r->ops->hang_up(r->ctx, s->id);
}

/*
 * Ends a session shortly before the process does. A statement in flight gets an
 * error, an open transaction is rolled back.
 */
void rsession_finish(struct rsession *s, uint64_t now_us)
{
	struct relay *r = s->relay;

	if (rrun_is_active(s))
		rrun_on_stop(s, now_us);
	if (s->state == 'T') {
		rsession_abort_transaction(s, now_us);
		s->state = 'E';
	}
	if (s->hung_up)
		return;
	s->hung_up = true;
	r->ops->hang_up(r->ctx, s->id);
}

/*
 * Ends a session right after a refusal while a network partition separates this
 * proxy from all homes, once the load balancer sends no new ones here.
 * Otherwise sessions that callers keep open would be refused statement by
 * statement, while other proxies would serve them.
 */
void rsession_end_if_isolated(struct rsession *s, uint64_t now_us)
{
	struct relay *r = s->relay;

	if (s->peer || s->hung_up || !r->isolated_since_us || s->state != 'I' ||
	    now_us < r->isolated_since_us + NOT_READY_US)
		return;
	s->hung_up = true;
	r->ops->hang_up(r->ctx, s->id);
}

/* The same when a partition separates it from one service's primary. */
void rsession_end_if_cut_off(struct rsession *s, uint64_t now_us)
{
	struct relay *r = s->relay;
	const struct rservice *v = registry_service_of_database(r, s->database);
	bool cut_off;

	if (s->peer || s->hung_up || s->state != 'I' || !v)
		return;
	cut_off = v->is_home ? rpartition_is_cut_off(v, now_us) :
			       via_has_no_home(s, now_us);
	if (!cut_off)
		return;
	s->hung_up = true;
	r->ops->hang_up(r->ctx, s->id);
}

/* Ends idle transactions, and sessions when the proxy stops. */
void rsession_tick(struct rsession *s, uint64_t now_us)
{
	struct relay *r = s->relay;

	rrun_tick(s, now_us);
	if (is_idle_too_long(s, now_us)) {
		rlog_session(s, "transaction-ended", "idle for too long",
			     now_us);
		rsession_abort_transaction(s, now_us);
		s->state = 'E';
	}
	if (now_us > s->used_us + MIN_IDLE_US ||
	    now_us > rstop_transactions_end_us(r))
		rsession_end_if_stopping(s, now_us);
}
