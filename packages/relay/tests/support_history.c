#include "support_history.h"

#include <string.h>

/* Number of newest acknowledged commits that a read is checked against. */
#define CHECKED_COMMITS_MAX 300
#define ANSWER_TIMEOUT_US (10 * USEC_PER_SEC)
#define REPORT_MAX 2000 /* bytes; later violations are not reported */

/* An operation that a server ran, for the check of the rate limits. */
struct operation {
	unsigned account;
	uint64_t sent_us;
	uint64_t ran_at_us;
};

/* A transaction, or a statement outside of one. */
struct attempt {
	unsigned session;
	unsigned n_commits; /* how often it was stored */
	unsigned commit; /* the newest of these */
	bool told_not_stored; /* its caller was refused */
	bool acked; /* its caller was told that it succeeded */
	uint64_t acked_at_us;
	unsigned conn; /* serial of the connection that ran `first`, 0: none */
	unsigned first; /* number of its first statement in the transaction */
	bool ran; /* a server has run a statement of it */
};

/*
 * A read at a server without a commit that it had to see: a violation unless
 * a promotion rolled the commit back.
 */
struct missed {
	unsigned commit;
	unsigned statement;
	uint64_t us;
};

struct hist {
	GPtrArray *sessions;
	GPtrArray *statements;
	GPtrArray *attempts;
	GArray *operations; /* struct operation */
	GArray *acked; /* numbers of commits in the order of their answers */
	GArray *missed;
	GString *wrong;
	bool checked;
};

static void statement_free(gpointer data)
{
	struct hist_statement *st = data;

	g_free(st->values);
	g_free(st->shape);
	g_free(st->name);
	g_free(st->text);
	g_free(st);
}

static void session_free(gpointer data)
{
	struct hist_session *s = data;

	g_hash_table_destroy(s->values);
	g_hash_table_destroy(s->prepared);
	g_free(s);
}

/* Creates an empty history. */
struct hist *hist_create(void)
{
	struct hist *h = g_new0(struct hist, 1);

	h->sessions = g_ptr_array_new_with_free_func(session_free);
	h->statements = g_ptr_array_new_with_free_func(statement_free);
	h->attempts = g_ptr_array_new_with_free_func(g_free);
	h->operations = g_array_new(FALSE, FALSE, sizeof(struct operation));
	h->acked = g_array_new(FALSE, FALSE, sizeof(unsigned));
	h->missed = g_array_new(FALSE, FALSE, sizeof(struct missed));
	h->wrong = g_string_new(NULL);
	return h;
}

/* Frees the history and its sessions. */
void hist_destroy(struct hist *h)
{
	g_ptr_array_free(h->sessions, TRUE);
	g_ptr_array_free(h->statements, TRUE);
	g_ptr_array_free(h->attempts, TRUE);
	g_array_free(h->operations, TRUE);
	g_array_free(h->acked, TRUE);
	g_array_free(h->missed, TRUE);
	g_string_free(h->wrong, TRUE);
	g_free(h);
}

/* Records that a guarantee was violated. */
void hist_violation(struct fake *f, const char *format, ...)
{
	GString *out = f->hist->wrong;
	va_list args;

	if (out->len > REPORT_MAX)
		return;
	g_string_append_printf(out, "%u ms: ", (unsigned)(f->now_us / MS));
	va_start(args, format);
	g_string_append_vprintf(out, format, args);
	va_end(args);
	g_string_append_c(out, '\n');
}

static struct attempt *attempt_of(const struct fake *f, unsigned number)
{
	return g_ptr_array_index(f->hist->attempts, number - 1);
}

static unsigned add_attempt(struct fake *f, const struct hist_session *s)
{
	struct attempt *a = g_new0(struct attempt, 1);

	a->session = s->number;
	g_ptr_array_add(f->hist->attempts, a);
	return f->hist->attempts->len;
}

/* All names and values as text, sorted by name. */
static char *values_text(GHashTable *values)
{
	GList *names = g_list_sort(g_hash_table_get_keys(values),
				   (GCompareFunc)strcmp);
	GString *out = g_string_new(NULL);
	GList *l;

	for (l = names; l; l = l->next)
		g_string_append_printf(out, "%s=%s ", (char *)l->data,
				       (char *)g_hash_table_lookup(values,
								   l->data));
	g_list_free(names);
	return g_string_free(out, FALSE);
}

/* Opens a session of a caller of the account at a relay. */
struct hist_session *hist_open_account(struct fake *f, unsigned relay,
				       unsigned group, enum relay_kind kind,
				       unsigned account)
{
	static const char *const kinds[] = { "primary", "bounded", "own" };
	struct hist_session *s = g_new0(struct hist_session, 1);
	char *database = g_strdup_printf("%s%u", kinds[kind], group);
	struct relay_answer answer;
	char *key;

	s->number = f->hist->sessions->len + 1;
	s->relay = relay;
	s->group = group;
	s->kind = kind;
	s->account = account;
	s->open = true;
	s->state = 'I';
	s->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_ptr_array_add(f->hist->sessions, s);
	key = f->accounts ? accounts_key(s->account) : g_strdup("");
	s->open = relay_session_open(f->relays[relay].relay, s->number,
				     database, key, &answer, f->now_us);
	if (!s->open && !f->accounts)
		hist_violation(f, "%s is not known", database);
	g_free(key);
	g_free(database);
	return s;
}

/* Opens a caller's session at a relay; accounts take turns. */
struct hist_session *hist_open(struct fake *f, unsigned relay, unsigned group,
			       enum relay_kind kind)
{
	unsigned number = f->hist->sessions->len + 1;
	unsigned account = f->n_accounts ? number % f->n_accounts : 0;

	return hist_open_account(f, relay, group, kind, account);
}

/* The caller disconnects, even with a statement in flight. */
void hist_close(struct fake *f, struct hist_session *s)
{
	if (!s->open)
		return;
	s->open = false;
	s->now = NULL;
	relay_session_closed(f->relays[s->relay].relay, s->number, f->now_us);
}

static void statement_event(struct fake *f, void *data)
{
	struct hist_statement *h = data;
	struct hist_session *s =
		g_ptr_array_index(f->hist->sessions, h->session - 1);
	char *id = g_strdup_printf("%u", h->number);
	struct relay_statement st = { .verb = h->verb,
				      .id = str_from_c(id),
				      .name = str_from_c(h->name),
				      .text = str_from_c(h->text) };

	h->arrived = true;
	if (s->open)
		relay_session_statement(f->relays[s->relay].relay, s->number,
					&st, f->now_us);
	g_free(id);
}

/* Sends the session's next statement. */
void hist_start(struct fake *f, struct hist_session *s, enum relay_verb verb,
		const char *name, const char *text)
{
	struct hist_statement *h = g_new0(struct hist_statement, 1);

	g_ptr_array_add(f->hist->statements, h);
	h->number = f->hist->statements->len;
	h->session = s->number;
	h->verb = verb;
	h->name = g_strdup(name);
	h->text = g_strdup(text);
	h->in_transaction = s->state != 'I';
	if (s->state == 'I') {
		s->attempt = add_attempt(f, s);
		s->begun_us = f->now_us;
	}
	h->attempt = s->attempt;
	h->started_at_us = s->begun_us;
	h->sent_us = f->now_us;
	h->values = values_text(s->values);
	h->shape = g_strdup(g_hash_table_lookup(s->prepared, name));
	h->writes = verb == RELAY_WRITE ||
		    (verb == RELAY_EXECUTE && h->shape && *h->shape == 'w');
	s->now = h;
	fake_at(f, (int)s->relay, 0, statement_event, h, NULL);
}

/* A statement's id is its number. */
char *hist_last_id(const struct fake *f)
{
	return g_strdup_printf("%u", f->hist->statements->len);
}

/* Runs one statement and waits for its answer. */
enum relay_code hist_run(struct fake *f, struct hist_session *s,
			 enum relay_verb verb, const char *name,
			 const char *text)
{
	uint64_t until_us = f->now_us + ANSWER_TIMEOUT_US;
	struct hist_statement *h;

	hist_start(f, s, verb, name, text);
	h = s->now;
	while (!h->answered && fake_step(f, until_us))
		;
	return h->answered ? h->code : RELAY_CODES;
}

/* Opens new sessions, which retry until their writes are stored. */
bool hist_accepts_writes(struct fake *f, uint64_t limit_us)
{
	uint64_t until_us = f->now_us + limit_us;
	unsigned i;

	for (i = 0; i < f->n_relays * f->n_groups; i++) {
		struct hist_session *s = hist_open(f, i % f->n_relays,
						   i / f->n_relays,
						   RELAY_KIND_PRIMARY);

		while (hist_run(f, s, RELAY_WRITE, "", "1") != RELAY_OK) {
			if (!s->open || f->now_us > until_us)
				return false;
			fake_run(f, 100 * MS);
		}
		hist_close(f, s);
	}
	return true;
}

static bool means_not_stored(enum relay_code code)
{
	return code >= RELAY_BUSY && code <= RELAY_TOO_MANY;
}

static void apply_success(struct hist_session *s,
			  const struct hist_statement *h)
{
	bool writes = h->verb == RELAY_PREPARE_WRITE;

	if (h->verb == RELAY_SET)
		g_hash_table_replace(s->values, g_strdup(h->name),
				     g_strdup(h->text));
	else if (writes || h->verb == RELAY_PREPARE_READ)
		g_hash_table_replace(s->prepared, g_strdup(h->name),
				     g_strdup_printf("%c%s", writes ? 'w' : 'r',
						     h->text));
	else if (h->verb == RELAY_DEALLOCATE)
		g_hash_table_remove(s->prepared, h->name);
}

static bool needs_server(const struct hist_statement *h)
{
	return h->verb == RELAY_READ || h->verb == RELAY_WRITE ||
	       h->verb == RELAY_EXECUTE;
}

static void note_acked(struct fake *f, const struct hist_statement *h)
{
	struct attempt *a = attempt_of(f, h->attempt);

	if (h->in_transaction ? h->verb != RELAY_COMMIT : !h->writes)
		return;
	a->acked = true;
	a->acked_at_us = f->now_us;
	if (a->n_commits)
		g_array_append_val(f->hist->acked, a->commit);
	else if (h->writes)
		hist_violation(f, "%u acknowledged, but nothing is stored",
			       h->number);
}

/* Records and checks a relay's answer to a caller. */
void hist_answer(void *relay, uint64_t session, const struct relay_answer *a)
{
	struct fake *f = ((struct fake_relay *)relay)->fake;
	struct hist_session *s =
		g_ptr_array_index(f->hist->sessions, session - 1);
	struct hist_statement *h = s->now;
	char *id;

	if (!s->open || !h) {
		hist_violation(f, "unsolicited answer");
		return;
	}
	id = g_strdup_printf("%u", h->number);
	s->now = NULL;
	s->state = a->state;
	h->answered = true;
	h->code = s->told = a->code;
	f->n_codes[a->code]++;
	g_snprintf(s->said, sizeof(s->said), "%.*s", (int)a->text.len,
		   a->text.data);
	if (a->code == RELAY_OK) {
		apply_success(s, h);
		note_acked(f, h);
		if (needs_server(h) && !str_eq(a->rows, str_from_c(id)))
			hist_violation(f, "%s got another's rows", id);
	}
	if (means_not_stored(a->code))
		attempt_of(f, h->attempt)->told_not_stored = true;
	g_free(id);
	if (s->next)
		fake_at(f, -1, MS, s->next, s, NULL);
}

/* A session whose end its relay has yet to learn. */
struct ended {
	unsigned relay;
	unsigned life; /* of the relay's process */
	uint64_t session;
};

static void ended_event(struct fake *f, void *data)
{
	const struct ended *e = data;

	if (e->life == f->relays[e->relay].life)
		relay_session_closed(f->relays[e->relay].relay, e->session,
				     f->now_us);
}

/* A relay ended a caller's session. */
void hist_hang_up(void *relay, uint64_t session)
{
	struct fake *f = ((struct fake_relay *)relay)->fake;
	struct hist_session *s =
		g_ptr_array_index(f->hist->sessions, session - 1);
	struct ended ended;

	/* What lies unread in the session's socket is read first. */
	if (s->now && !s->now->arrived)
		return;
	s->open = false;
	ended.relay = s->relay;
	ended.life = f->relays[s->relay].life;
	ended.session = session;
	fake_at(f, (int)s->relay, MS, ended_event,
		g_memdup2(&ended, sizeof(ended)), g_free);
}

/* Statements of a relay's callers that have no answer. */
unsigned hist_unanswered(const struct fake *f, unsigned relay)
{
	unsigned i, n = 0;

	for (i = 0; i < f->hist->sessions->len; i++) {
		const struct hist_session *s =
			g_ptr_array_index(f->hist->sessions, i);

		n += s->relay == relay && s->now;
	}
	return n;
}

/* A relay's process ended, and with it all its sessions. */
void hist_relay_ended(struct fake *f, unsigned relay)
{
	unsigned i;

	for (i = 0; i < f->hist->sessions->len; i++) {
		struct hist_session *s =
			g_ptr_array_index(f->hist->sessions, i);

		if (s->relay == relay)
			s->open = false;
	}
}

/* Looks up a caller's statement by its id. */
const struct hist_statement *hist_find(struct fake *f, struct str id)
{
	uint64_t number = 0;

	g_assert(str_to_u64(id, &number));
	return g_ptr_array_index(f->hist->statements, number - 1);
}

/* Checks that only the relay of the caller's session forwards a statement. */
void hist_forwarded(struct fake *f, const struct fake_conn *c, struct str id)
{
	const struct hist_statement *h = hist_find(f, id);
	const struct hist_session *s =
		g_ptr_array_index(f->hist->sessions, h->session - 1);

	if (s->relay != c->relay)
		hist_violation(f, "%u was passed on twice", h->number);
}

static bool must_see(const struct fake *f, const struct hist_session *s,
		     const struct hist_statement *h, unsigned commit)
{
	const struct fake_commit *c =
		&g_array_index(f->commits, struct fake_commit, commit);
	const struct attempt *a = attempt_of(f, c->attempt);
	uint64_t age_us = s->kind == RELAY_KIND_PRIMARY ? 0 : FAKE_MAX_AGE_US;

	if (c->group != s->group)
		return false;
	if (s->kind == RELAY_KIND_OWN_WRITES && a->session == s->number &&
	    a->acked_at_us < h->started_at_us)
		return true;
	return a->acked_at_us + age_us < h->started_at_us;
}

static void check_fresh(struct fake *f, const struct fake_server *server,
			const struct hist_statement *h)
{
	const struct hist_session *s =
		g_ptr_array_index(f->hist->sessions, h->session - 1);
	unsigned i, n = f->hist->acked->len;

	for (i = n; i && i + CHECKED_COMMITS_MAX > n; i--) {
		struct missed m = { .statement = h->number, .us = f->now_us };

		m.commit = g_array_index(f->hist->acked, unsigned, i - 1);
		if (must_see(f, s, h, m.commit) &&
		    !fake_log_has(f, server, m.commit))
			g_array_append_val(f->hist->missed, m);
	}
}

static void check_transaction(struct fake *f, struct fake_conn *c,
			      const struct hist_statement *h)
{
	struct attempt *a = attempt_of(f, h->attempt);

	if (h->in_transaction != (c->state == 'T')) {
		hist_violation(f, "%u wrongly in or out of a transaction",
			       h->number);
		return;
	}
	if (!h->in_transaction)
		return;
	if (c->attempt && c->attempt != h->attempt)
		hist_violation(f, "%u in another operation's transaction",
			       h->number);
	c->attempt = h->attempt;
	if (a->conn && a->conn != c->serial && a->first != h->number)
		hist_violation(f, "%u leaves its connection", h->number);
	if (!a->conn || a->first == h->number) {
		a->conn = c->serial;
		a->first = h->number;
	}
}

/* Rate limits count an operation when its first statement runs. */
static void note_operation(struct fake *f, const struct hist_session *s,
			   const struct hist_statement *h)
{
	struct attempt *a = attempt_of(f, h->attempt);
	struct operation o = { s->account, h->sent_us, f->now_us };

	if (a->ran)
		return;
	a->ran = true;
	g_array_append_val(f->hist->operations, o);
}

static void check_account(struct fake *f, const struct fake_conn *c,
			  const struct hist_statement *h)
{
	const struct hist_session *s =
		g_ptr_array_index(f->hist->sessions, h->session - 1);
	uint64_t gone_us = f->key_revoked_at_us[s->account];
	char *name = accounts_name(s->account);

	if (strcmp(c->account, name))
		hist_violation(f, "%u of %s runs on a connection of '%s'",
			       h->number, name, c->account);
	if (gone_us && h->sent_us > gone_us + FAKE_KEY_MAX_AGE_US)
		hist_violation(f, "%u runs, %u ms after its key was revoked",
			       h->number,
			       (unsigned)((h->sent_us - gone_us) / MS));
	note_operation(f, s, h);
	g_free(name);
}

/* Checks a caller's statement that a server is about to run. */
void hist_ran(struct fake *f, struct fake_conn *c,
	      const struct hist_statement *h, const struct relay_statement *st)
{
	char *values = values_text(c->values);
	char *name = g_strndup(st->name.len ? st->name.data : "", st->name.len);
	const char *shape = g_hash_table_lookup(c->prepared, name);

	if (strcmp(values, h->values))
		hist_violation(f, "%u runs with variables %snot %s", h->number,
			       values, h->values);
	if (h->verb == RELAY_EXECUTE && g_strcmp0(shape, h->shape))
		hist_violation(f, "%u runs prepared as %s not %s", h->number,
			       shape, h->shape);
	if (h->verb != st->verb || !str_eq(st->text, str_from_c(h->text)))
		hist_violation(f, "%u was changed", h->number);
	check_transaction(f, c, h);
	if (f->accounts)
		check_account(f, c, h);
	f->n_replica_reads += c->server->role == ROLE_REPLICA;
	f->relays[c->relay].n_ran++;
	if (needs_server(h) && !h->writes)
		check_fresh(f, c->server, h);
	g_free(values);
	g_free(name);
}

/* A server stored a commit. */
void hist_committed(struct fake *f, unsigned commit)
{
	const struct fake_commit *c =
		&g_array_index(f->commits, struct fake_commit, commit);
	struct attempt *a = attempt_of(f, c->attempt);

	a->commit = commit;
	if (++a->n_commits > 1)
		hist_violation(f, "session %u: operation stored twice",
			       a->session);
}

unsigned hist_acknowledged(const struct fake *f)
{
	return f->hist->acked->len;
}

unsigned hist_operation_count(const struct fake *f)
{
	return f->hist->operations->len;
}

/* Operations of the account that were sent and run within a window. */
static unsigned count_window(const struct fake *f, unsigned account,
			     uint64_t from_us)
{
	unsigned i, n = 0;

	for (i = 0; i < f->hist->operations->len; i++) {
		const struct operation *o = &g_array_index(f->hist->operations,
							   struct operation, i);

		n += o->account == account && o->sent_us >= from_us &&
		     o->ran_at_us < from_us + FAKE_WINDOW_US;
	}
	return n;
}

static void check_limits(struct fake *f)
{
	unsigned i;

	for (i = 0; i < f->hist->operations->len; i++) {
		const struct operation *o = &g_array_index(f->hist->operations,
							   struct operation, i);
		unsigned n = count_window(f, o->account, o->sent_us);

		if (n > FAKE_WINDOW_MAX)
			hist_violation(f,
				       "%u operations of account %u from %u ms",
				       n, o->account,
				       (unsigned)(o->sent_us / MS));
	}
}

static void check_attempts(struct fake *f)
{
	unsigned i;

	for (i = 1; i <= f->hist->attempts->len; i++) {
		const struct attempt *a = attempt_of(f, i);
		const struct fake_commit *c = &g_array_index(
			f->commits, struct fake_commit, a->commit);

		if (!a->n_commits)
			continue;
		if (a->told_not_stored)
			hist_violation(
				f, "session %u: refused, but stored as %u.%u",
				a->session, (unsigned)c->term, c->number);
		if (a->acked && c->stale)
			hist_violation(
				f,
				"session %u: an old primary's %u.%u acknowledged",
				a->session, (unsigned)c->term, c->number);
	}
}

/* A commit that was acknowledged is in the log of each later primary. */
static void check_durability(struct fake *f)
{
	unsigned i;

	for (i = 0; i < f->hist->acked->len; i++) {
		unsigned commit = g_array_index(f->hist->acked, unsigned, i);
		const struct fake_commit *c =
			&g_array_index(f->commits, struct fake_commit, commit);

		if (c->lost)
			hist_violation(f, "%u.%u was acknowledged and is lost",
				       (unsigned)c->term, c->number);
	}
}

/* Checks the whole history once; later calls return the same text. */
const char *hist_check(struct fake *f)
{
	unsigned i;

	if (f->hist->checked)
		return f->hist->wrong->str;
	f->hist->checked = true;
	check_attempts(f);
	if (f->sync_replicas)
		check_durability(f);
	if (f->limits)
		check_limits(f);
	for (i = 0; i < f->hist->missed->len; i++) {
		const struct missed *m =
			&g_array_index(f->hist->missed, struct missed, i);
		const struct fake_commit *c = &g_array_index(
			f->commits, struct fake_commit, m->commit);

		if (!c->lost)
			hist_violation(f, "%u at %u ms missed %u.%u",
				       m->statement, (unsigned)(m->us / MS),
				       (unsigned)c->term, c->number);
	}
	return f->hist->wrong->str;
}
