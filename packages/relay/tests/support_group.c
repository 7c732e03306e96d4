#include "support_group.h"
#include "support_history.h"

#include <string.h>

#define CONNECT_DELAY_US (10 * MS) /* delay of a connection's opening */
#define CONNECT_TIMEOUT_US (500 * MS)
/* How long until the far end drops a broken connection. */
#define DROP_DELAY_US (3 * USEC_PER_SEC)

/* How often a primary looks for the replicas that have received a commit. */
#define SYNC_INTERVAL_US MS

/* A message on a connection, in either direction. */
struct message {
	uint64_t key;
	struct relay_statement st;
	struct relay_answer answer;
	char *texts[4];
	enum { M_OPENED, M_ANSWER, M_LOST, M_REFUSED } kind;
};

static uint64_t network_delay_us(struct fake *f)
{
	return fake_random(f, MS / 2, 3 * MS / 2);
}

static struct fake_commit *commit_of(const struct fake *f, unsigned number)
{
	return &g_array_index(f->commits, struct fake_commit, number);
}

static bool has_received(const struct fake *f, const struct fake_server *s,
			 unsigned commit)
{
	unsigned at = commit_of(f, commit)->number;

	return at <= s->log->len &&
	       g_array_index(s->log, unsigned, at - 1) == commit;
}

bool fake_is_durable(const struct fake *f, const struct fake_server *primary,
		     unsigned commit)
{
	unsigned i, n = 0;

	for (i = 0; i < f->n_servers; i++) {
		const struct fake_server *s = &f->servers[i];

		if (s != primary && s->group == primary->group && !s->down &&
		    !s->dark && has_received(f, s, commit))
			n++;
	}
	return n >= f->sync_replicas;
}

/* Whether the server has applied the commit. */
bool fake_log_has(const struct fake *f, const struct fake_server *s,
		  unsigned commit)
{
	unsigned at = commit_of(f, commit)->number;

	return at <= s->applied &&
	       g_array_index(s->log, unsigned, at - 1) == commit;
}

static bool is_partitioned(const struct fake *f, const struct fake_conn *c)
{
	return c->peer && f->side[c->relay] != f->side[c->peer->index];
}

static bool is_blocked(const struct fake *f, const struct fake_conn *c)
{
	return c->broken || is_partitioned(f, c) ||
	       (c->server &&
		(c->server->dark || f->cut[c->relay][c->server->index]));
}

static uint64_t key_of(unsigned relay, uint64_t conn)
{
	return (uint64_t)relay << 48 | conn;
}

static void message_free(gpointer data)
{
	struct message *m = data;
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(m->texts); i++)
		g_free(m->texts[i]);
	g_free(m);
}

static struct str keep(struct message *m, unsigned i, struct str s)
{
	m->texts[i] = g_strndup(s.len ? s.data : "", s.len);
	return (struct str){ .data = m->texts[i], .len = s.len };
}

static void conn_free(gpointer data)
{
	struct fake_conn *c = data;

	if (c->open && c->server)
		c->server->n_conns--;
	g_free(c->database);
	g_free(c->account);
	g_hash_table_destroy(c->values);
	g_hash_table_destroy(c->prepared);
	g_free(c);
}

/* Index of the relay at the far end; -1: a server, or a dead relay. */
static int far_relay(const struct fake_conn *c)
{
	return c->peer && !c->peer->dead ? (int)c->peer->index : -1;
}

static void drop_event(struct fake *f, void *data)
{
	struct fake_conn *c = g_hash_table_lookup(f->conns, data);

	if (c && c->open && c->peer && !c->peer->dead)
		relay_session_closed(c->peer->relay, PEER_SESSION | c->key,
				     f->now_us);
	g_hash_table_remove(f->conns, data);
}

static void drop_later(struct fake *f, struct fake_conn *c, uint64_t us)
{
	fake_at(f, far_relay(c), us, drop_event,
		g_memdup2(&c->key, sizeof(c->key)), g_free);
}

/* Whether a message is lost now; the first loss breaks the connection. */
static bool is_lost(struct fake *f, struct fake_conn *c)
{
	if (!is_blocked(f, c))
		return false;
	if (!c->broken)
		drop_later(f, c, DROP_DELAY_US);
	c->broken = true;
	return true;
}

/* The delay after which a message arrives; each direction is in order. */
static uint64_t arrival_us(struct fake *f, struct fake_conn *c, unsigned way,
			   uint64_t delay_us)
{
	c->last_arrival_us[way] =
		MAX(c->last_arrival_us[way], f->now_us + delay_us);
	return c->last_arrival_us[way] - f->now_us;
}

static void relay_event(struct fake *f, void *data)
{
	struct message *m = data;
	struct relay *r = f->relays[m->key >> 48].relay;
	uint64_t id = m->key & (((uint64_t)1 << 48) - 1);

	if (m->kind == M_OPENED)
		relay_conn_opened(r, id, &m->answer, f->now_us);
	else if (m->kind == M_ANSWER)
		relay_conn_answer(r, id, &m->answer, f->now_us);
	else
		relay_conn_lost(r, id, m->kind == M_REFUSED, f->now_us);
}

static void send_to_relay(struct fake *f, struct fake_conn *c,
			  struct message *m, uint64_t delay_us)
{
	if (is_lost(f, c)) {
		message_free(m);
		return;
	}
	m->key = c->key;
	fake_at(f, (int)c->relay,
		arrival_us(f, c, 1, delay_us + network_delay_us(f)),
		relay_event, m, message_free);
}

static struct position position_of(const struct fake_server *s)
{
	return (struct position){ .term = s->term, .index = s->applied };
}

static bool has_position(const struct fake *f, const struct fake_server *s,
			 struct position p)
{
	unsigned last;

	if (!p.term)
		return true;
	if (p.term > s->term)
		return false;
	if (s->applied >= p.index)
		return true;
	if (!s->applied)
		return false;
	last = g_array_index(s->log, unsigned, s->applied - 1);
	return commit_of(f, last)->term > p.term;
}

static void put_status(struct fake_server *s, struct relay_answer *a)
{
	a->has_status = true;
	a->status = (struct relay_status){
		.role = s->role,
		.term = s->term,
		.received = { .term = s->term, .index = s->log->len },
		.held = s->held,
		.connections = s->n_conns,
	};
}

/* Runs a relay's own command, or its preparation of a caller's statement. */
static void run_relay_statement(struct fake_conn *c,
				const struct relay_statement *st,
				struct relay_answer *a)
{
	struct fake_server *s = c->server;

	switch (st->verb) {
	case RELAY_RESET:
		g_hash_table_remove_all(c->values);
		g_hash_table_remove_all(c->prepared);
		return;
	case RELAY_SET:
		g_hash_table_replace(c->values, str_dup(st->name),
				     str_dup(st->text));
		return;
	case RELAY_PREPARE_READ:
	case RELAY_PREPARE_WRITE:
		g_hash_table_replace(
			c->prepared, str_dup(st->name),
			g_strdup_printf("%c%.*s",
					st->verb == RELAY_PREPARE_WRITE ? 'w' :
									  'r',
					(int)st->text.len, st->text.data));
		return;
	case RELAY_ROLLBACK:
		c->state = 'I';
		return;
	case RELAY_PAUSE:
		if (s->role == ROLE_REPLICA && st->term > s->term)
			s->held = MAX(s->held, st->term);
		break;
	case RELAY_RESUME:
		s->held = 0;
		break;
	case RELAY_STEP_DOWN:
		if (s->role == ROLE_PRIMARY && st->term > s->term)
			s->role = ROLE_REPLICA;
		break;
	default:
		break;
	}
	put_status(s, a);
}

static void run_begin(struct fake *f, struct fake_conn *c,
		      const struct relay_statement *st, struct relay_answer *a)
{
	if (st->verb == RELAY_BEGIN && c->server->role != ROLE_PRIMARY) {
		a->code = RELAY_READ_ONLY;
	} else if (!has_position(f, c->server, st->after)) {
		a->code = RELAY_LAGGING;
	} else {
		c->state = 'T';
		c->read_only = st->verb == RELAY_BEGIN_READ;
		c->wrote = false;
		c->attempt = 0;
	}
}

/* Appends a commit to the primary's log; returns its number. */
static unsigned commit(struct fake *f, struct fake_server *s, unsigned attempt)
{
	unsigned number = f->commits->len;
	struct fake_commit entry = {
		.attempt = attempt,
		.group = s->group,
		.number = s->log->len + 1,
		.term = s->term,
		.us = f->now_us,
		.stale = s->term < f->top_term[s->group],
		.lost = s->term < f->top_term[s->group],
	};

	g_array_append_val(f->commits, entry);
	g_array_append_val(s->log, number);
	s->applied = s->log->len;
	hist_committed(f, number);
	return number;
}

static uint64_t *earliest_slot(struct fake_server *s)
{
	uint64_t *best = s->free_at_us;
	unsigned i;

	for (i = 1; i < FAKE_SLOTS; i++)
		if (s->free_at_us[i] < *best)
			best = &s->free_at_us[i];
	return best;
}

/* Whether the wait for a slot is so long that the server sheds load. */
static bool sheds_load(const struct fake *f, struct fake_server *s)
{
	return s->work_us && *earliest_slot(s) > f->now_us + s->queue_us;
}

/* Occupies a slot for work_us; returns the time until that is done. */
static uint64_t occupy_slot(const struct fake *f, struct fake_server *s,
			    uint64_t work_us)
{
	uint64_t *slot = earliest_slot(s);

	if (!work_us)
		return 0;
	*slot = MAX(*slot, f->now_us) + work_us;
	return *slot - f->now_us;
}

static enum relay_code refusal(struct fake *f, struct fake_conn *c,
			       const struct hist_statement *h,
			       const struct relay_statement *st)
{
	struct fake_server *s = c->server;
	bool plain = c->state == 'T' && !c->read_only;
	char *name;
	bool known;

	s->n_ran++;
	/* No draw for a server that doesn't shed: others' histories stay. */
	if (sheds_load(f, s) || fake_chance(f, f->busy) ||
	    (s->sheds && fake_chance(f, s->sheds)))
		return RELAY_BUSY;
	if (s->role != ROLE_PRIMARY &&
	    (h->writes || (plain && (st->verb != RELAY_COMMIT || c->wrote))))
		return RELAY_READ_ONLY;
	if (!has_position(f, s, st->after))
		return RELAY_LAGGING;
	if (st->verb != RELAY_EXECUTE)
		return RELAY_OK;
	name = str_dup(st->name);
	known = g_hash_table_contains(c->prepared, name);
	g_free(name);
	return known ? RELAY_OK : RELAY_NO_STATEMENT;
}

/*
 * Runs a caller's statement: the history checks it, then it takes effect.
 * Returns the number of the commit that it made, 0: none.
 */
static unsigned run_caller_statement(struct fake *f, struct fake_conn *c,
				     struct message *m, struct relay_answer *a)
{
	const struct hist_statement *h = hist_find(f, m->st.id);
	unsigned number = 0;

	a->code = c->state == 'E' ? RELAY_MALFORMED : refusal(f, c, h, &m->st);
	if (a->code == RELAY_OK) {
		hist_ran(f, c, h, &m->st);
		if (m->st.verb == RELAY_COMMIT ? c->wrote :
						 h->writes && c->state == 'I')
			number = commit(f, c->server, h->attempt);
		c->wrote = c->wrote || h->writes;
		a->rows = m->st.id;
		a->text = STR("signature");
	} else if (c->state == 'T' && a->code != RELAY_BUSY) {
		c->state = 'E';
	}
	if (m->st.verb == RELAY_COMMIT && a->code != RELAY_BUSY)
		c->state = 'I';
	return number;
}

/* An answer that waits for replicas to receive a commit. */
struct unsent {
	uint64_t key; /* of the connection */
	unsigned commit;
	uint64_t delay_us; /* of the answer, after that */
	struct message *answer;
};

static void unsent_free(gpointer data)
{
	struct unsent *u = data;

	if (u->answer)
		message_free(u->answer);
	g_free(u);
}

static void durable_event(struct fake *f, void *data)
{
	struct unsent *u = data;
	struct fake_conn *c = g_hash_table_lookup(f->conns, &u->key);
	struct unsent *again;

	if (!c)
		return;
	if (fake_is_durable(f, c->server, u->commit)) {
		send_to_relay(f, c, g_steal_pointer(&u->answer), u->delay_us);
		return;
	}
	again = g_memdup2(u, sizeof(*u));
	u->answer = NULL;
	fake_at(f, -1, SYNC_INTERVAL_US, durable_event, again, unsent_free);
}

/* Sends the answer to a commit once enough replicas have received that. */
static void send_once_durable(struct fake *f, const struct fake_conn *c,
			      unsigned number, struct message *answer,
			      uint64_t delay_us)
{
	struct unsent *u = g_new0(struct unsent, 1);

	u->key = c->key;
	u->commit = number;
	u->answer = answer;
	u->delay_us = delay_us;
	fake_at(f, -1, SYNC_INTERVAL_US, durable_event, u, unsent_free);
}

static void server_event(struct fake *f, void *data)
{
	struct message *m = data;
	struct fake_conn *c = g_hash_table_lookup(f->conns, &m->key);
	struct message *out;
	struct relay_answer a = { .text = STR("-") };
	uint64_t work_us = 0;
	unsigned number = 0;

	if (!c || is_lost(f, c))
		return;
	if (c->peer) {
		relay_session_statement(c->peer->relay, PEER_SESSION | c->key,
					&m->st, f->now_us);
		return;
	}
	if (m->st.id.len)
		number = run_caller_statement(f, c, m, &a);
	else if (m->st.verb == RELAY_BEGIN || m->st.verb == RELAY_BEGIN_READ)
		run_begin(f, c, &m->st, &a);
	else
		run_relay_statement(c, &m->st, &a);
	if (m->st.id.len && a.code == RELAY_OK)
		work_us = occupy_slot(f, c->server, c->server->work_us);
	out = g_new0(struct message, 1);
	out->kind = M_ANSWER;
	out->answer = a;
	out->answer.state = c->state;
	out->answer.position = position_of(c->server);
	out->answer.rows = keep(out, 0, a.rows);
	if (m->st.id.len &&
	    (fake_chance(f, f->lose_answers) ||
	     (c->server->mutes && fake_chance(f, c->server->mutes)))) {
		if (fake_chance(f, 0.5))
			out->kind = M_LOST;
		else
			c->broken = true;
		drop_later(f, c, 0);
	}
	if (m->st.id.len)
		work_us += fake_random(f, MS, 5 * MS);
	if (number && f->sync_replicas)
		send_once_durable(f, c, number, out, work_us);
	else
		send_to_relay(f, c, out, work_us);
}

static void open_peer(struct fake *f, struct fake_conn *c)
{
	struct message *m = g_new0(struct message, 1);

	if (c->peer->dead)
		m->kind = M_REFUSED;
	else
		c->open = relay_session_open_peer(c->peer->relay,
						  PEER_SESSION | c->key,
						  c->database, "", &m->answer,
						  f->now_us);
	if (!c->open)
		drop_later(f, c, 0);
	send_to_relay(f, c, m, 0);
}

static void opened_event(struct fake *f, void *data)
{
	struct fake_conn *c = g_hash_table_lookup(f->conns, data);
	struct message *m;
	uint64_t work_us = 0;

	if (!c)
		return;
	if (c->peer && !is_partitioned(f, c)) {
		open_peer(f, c);
		return;
	}
	m = g_new0(struct message, 1);
	if (c->peer || c->server->dark || f->cut[c->relay][c->server->index]) {
		m->kind = M_LOST;
		m->key = c->key;
		fake_at(f, (int)c->relay, CONNECT_TIMEOUT_US, relay_event, m,
			message_free);
		drop_later(f, c, 0);
		return;
	}
	if (c->server->replaced) {
		m->answer.code = RELAY_MOVED;
		drop_later(f, c, 0);
	} else if (c->server->down) {
		m->kind = M_REFUSED;
		drop_later(f, c, 0);
	} else if (c->server->n_conns >= f->max_connections) {
		m->answer.code = RELAY_TOO_MANY;
		f->n_full++;
		drop_later(f, c, 0);
	} else {
		c->open = true;
		c->server->n_conns++;
		f->n_opened++;
		work_us = occupy_slot(f, c->server, f->open_work_us);
	}
	m->answer.state = 'I';
	m->answer.position = position_of(c->server);
	send_to_relay(f, c, m, work_us);
}

/* Opens a connection; the far end accepts, refuses or doesn't respond. */
void fake_open(void *ctx, uint64_t conn, const struct relay_server_info *info,
	       const char *account)
{
	struct fake_relay *r = ctx;
	struct fake_conn *c = g_new0(struct fake_conn, 1);
	unsigned i;

	for (i = 0; i < r->fake->n_servers; i++)
		if (!strcmp(r->fake->servers[i].id, info->id))
			c->server = &r->fake->servers[i];
	for (i = 0; i < r->fake->n_relays; i++)
		if (!strcmp(r->fake->relays[i].name, info->id))
			c->peer = &r->fake->relays[i];
	c->database = g_strdup(info->service);
	c->account = g_strdup(account);
	c->key = key_of(r->index, conn);
	c->serial = ++r->fake->n_serials;
	c->relay = r->index;
	c->id = conn;
	c->state = 'I';
	c->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_hash_table_insert(r->fake->conns, &c->key, c);
	fake_at(r->fake, far_relay(c), CONNECT_DELAY_US, opened_event,
		g_memdup2(&c->key, sizeof(c->key)), g_free);
}

/* Sends a statement to the server or to the other relay. */
void fake_send(void *ctx, uint64_t conn, const struct relay_statement *st)
{
	struct fake_relay *r = ctx;
	uint64_t key = key_of(r->index, conn);
	struct fake_conn *c = g_hash_table_lookup(r->fake->conns, &key);
	struct message *m;
	uint64_t delay_us;

	if (!c || is_lost(r->fake, c))
		return;
	m = g_new0(struct message, 1);
	m->key = key;
	m->st = *st;
	m->st.id = keep(m, 0, st->id);
	m->st.name = keep(m, 1, st->name);
	m->st.text = keep(m, 2, st->text);
	m->st.account = keep(m, 3, st->account);
	delay_us = arrival_us(r->fake, c, 0, network_delay_us(r->fake));
	if (c->peer && st->id.len)
		hist_forwarded(r->fake, c, st->id);
	else if (st->id.len)
		delay_us += c->server->slow_us;
	fake_at(r->fake, far_relay(c), delay_us, server_event, m, message_free);
}

/* The relay closes a connection; the far end learns it after a delay. */
void fake_close(void *ctx, uint64_t conn)
{
	struct fake_relay *r = ctx;
	uint64_t key = key_of(r->index, conn);
	struct fake_conn *c = g_hash_table_lookup(r->fake->conns, &key);

	if (c && !is_lost(r->fake, c))
		drop_later(r->fake, c,
			   arrival_us(r->fake, c, 0,
				      network_delay_us(r->fake)));
}

/* Sends a message to the relay that opened the peer session. */
static void send_to_peer(struct fake *f, uint64_t session, int kind,
			 const struct relay_answer *a)
{
	uint64_t key = session ^ PEER_SESSION;
	struct fake_conn *c = g_hash_table_lookup(f->conns, &key);
	struct message *m;

	if (!c)
		return;
	m = g_new0(struct message, 1);
	m->kind = kind;
	m->answer = *a;
	m->answer.rows = keep(m, 0, a->rows);
	m->answer.text = keep(m, 1, a->text);
	send_to_relay(f, c, m, 0);
	if (kind == M_LOST)
		drop_later(f, c, 0);
}

/* Delivers an answer to a caller, or to another relay. */
void fake_answer(void *ctx, uint64_t session, const struct relay_answer *a)
{
	if (session < PEER_SESSION)
		hist_answer(ctx, session, a);
	send_to_peer(((struct fake_relay *)ctx)->fake, session, M_ANSWER, a);
}

/* Tells a caller or another relay that the session ended. */
void fake_hang_up(void *ctx, uint64_t session)
{
	struct relay_answer none = { 0 };

	if (session < PEER_SESSION)
		hist_hang_up(ctx, session);
	send_to_peer(((struct fake_relay *)ctx)->fake, session, M_LOST, &none);
}

/* The table of connections: key -> struct fake_conn. */
GHashTable *fake_conns_create(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				     conn_free);
}
