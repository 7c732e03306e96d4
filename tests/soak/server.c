#include "server.h"

#include "line.h"
#include "member.h"
#include "wire.h"

#include <string.h>

#define QUEUE_US (60 * MS) /* what would wait longer is shed */
#define BACKLOG 128
#define LIE_ONE_IN 50

/* A connection of a proxy. */
struct conn {
	struct server *server;
	struct wire *wire;
	unsigned number;
	unsigned pending; /* answers under way */
	bool started;
	bool gone;
	char state;
	bool read_only;
	bool wrote;
	struct attempt *attempt; /* whose transaction it is */
	GHashTable *values;
	GHashTable *prepared; /* name -> "READ shape" or "WRITE shape" */
};

/* An answer on its way. */
struct reply {
	struct conn *conn;
	GString *text;
};

static bool chance(const struct server *s, double share)
{
	return share > 0 && g_rand_double(s->groups->rng) < share;
}

static void conn_free(struct conn *c)
{
	g_hash_table_destroy(c->values);
	g_hash_table_destroy(c->prepared);
	g_free(c);
}

static void forget(struct conn *c)
{
	if (c->gone)
		return;
	c->gone = true;
	if (c->started)
		c->server->n_conns--;
	g_ptr_array_remove_fast(c->server->conns, c);
	if (!c->pending)
		conn_free(c);
}

static void drop(struct conn *c)
{
	wire_close(c->wire, true);
	forget(c);
}

static void on_reply(void *data)
{
	struct reply *r = data;
	struct conn *c = r->conn;

	c->pending--;
	if (c->gone) {
		if (!c->pending)
			conn_free(c);
	} else if (!c->server->dark) {
		wire_send(c->wire, r->text);
	}
	g_string_free(r->text, TRUE);
	g_free(r);
}

static void reply(struct conn *c, GString *text, uint64_t after_us)
{
	struct reply *r = g_new0(struct reply, 1);

	r->conn = c;
	r->text = text;
	c->pending++;
	later(c->server->groups->loop, after_us, on_reply, r);
}

static void put_ready(GString *out, const struct conn *c)
{
	struct position p = group_position(c->server);

	g_string_append_printf(out,
			       "READY %c %" G_GUINT64_FORMAT
			       ".%" G_GUINT64_FORMAT "\r\n",
			       c->state, p.term, p.index);
}

static void refuse_start(struct conn *c, const char *why)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out, "ERROR %s\r\n", why);
	wire_send(c->wire, out);
	g_string_free(out, TRUE);
	wire_close(c->wire, false);
	forget(c);
}

/* STARTUP service who [id] */
static void start(struct conn *c, struct str line)
{
	struct server *s = c->server;
	struct str service, id;
	GString *out;

	str_split_first_word(&line);
	service = str_split_first_word(&line);
	str_split_first_word(&line);
	id = str_split_first_word(&line);
	if (service.len != strlen("group0") ||
	    service.data[service.len - 1] != (char)('0' + s->group) ||
	    (id.len && !str_eq(id, str_from_c(s->id)))) {
		refuse_start(c, "MOVED another");
		return;
	}
	if (s->n_conns >= s->groups->max_connections) {
		s->n_over++;
		refuse_start(c, "MAXCONN full");
		return;
	}
	c->started = true;
	s->n_conns++;
	out = g_string_new(NULL);
	put_ready(out, c);
	reply(c, out, 0);
}

static void put_status(GString *out, const struct server *s)
{
	g_string_append_printf(out,
			       "DATAROW %s %" G_GUINT64_FORMAT
			       " %" G_GUINT64_FORMAT ".%u %" G_GUINT64_FORMAT
			       " %u 0 %u\r\nCOMPLETE -\r\n",
			       s->role == ROLE_PRIMARY ? "primary" : "replica",
			       s->term, s->term, s->log->len, s->held, 0,
			       s->n_conns);
}

/* Orders of a proxy: PAUSE, RESUME, STEPDOWN, STATUS. True: it was one. */
static bool run_order(struct conn *c, struct str text)
{
	struct server *s = c->server;
	struct str word = str_split_first_word(&text);
	uint64_t term = 0;
	GString *out;

	str_to_u64(text, &term);
	if (s->groups->lie == LIE_FENCE && !str_eq(word, STR("STATUS")))
		term = 0;
	if (str_eq(word, STR("PAUSE"))) {
		if (s->role == ROLE_REPLICA && term > s->term)
			s->held = MAX(s->held, term);
	} else if (str_eq(word, STR("RESUME"))) {
		s->held = 0;
	} else if (str_eq(word, STR("STEPDOWN"))) {
		if (s->role == ROLE_PRIMARY && term > s->term) {
			s->role = ROLE_REPLICA;
			member_list(s);
		}
	} else if (!str_eq(word, STR("STATUS"))) {
		return false;
	}
	out = g_string_new(NULL);
	put_status(out, s);
	put_ready(out, c);
	reply(c, out, 0);
	return true;
}

static bool has_position(const struct server *s, struct position p)
{
	if (!p.term || s->groups->lie == LIE_STALE)
		return true;
	return p.term <= s->term && (s->applied >= p.index || p.term < s->term);
}

static enum relay_code begin(struct conn *c, const struct relay_statement *st)
{
	if (st->verb == RELAY_BEGIN && c->server->role != ROLE_PRIMARY)
		return RELAY_READ_ONLY;
	if (!has_position(c->server, st->after))
		return RELAY_LAGGING;
	c->state = 'T';
	c->read_only = st->verb == RELAY_BEGIN_READ;
	c->wrote = false;
	c->attempt = NULL;
	return RELAY_OK;
}

/* What prepares a connection for a caller's statement, or cleans it. */
static enum relay_code run_own(struct conn *c, const struct relay_statement *st)
{
	switch (st->verb) {
	case RELAY_BEGIN:
	case RELAY_BEGIN_READ:
		return begin(c, st);
	case RELAY_ROLLBACK:
		c->state = 'I';
		return RELAY_OK;
	case RELAY_RESET:
		if (c->server->groups->lie == LIE_VALUES)
			return RELAY_OK;
		g_hash_table_remove_all(c->values);
		g_hash_table_remove_all(c->prepared);
		return RELAY_OK;
	case RELAY_SET:
		g_hash_table_replace(c->values, str_dup(st->name),
				     str_dup(st->text));
		return RELAY_OK;
	case RELAY_PREPARE_READ:
	case RELAY_PREPARE_WRITE:
		g_hash_table_replace(
			c->prepared, str_dup(st->name),
			g_strdup_printf("%s %.*s",
					st->verb == RELAY_PREPARE_WRITE ?
						"WRITE" :
						"READ",
					(int)st->text.len, st->text.data));
		return RELAY_OK;
	default:
		return RELAY_MALFORMED;
	}
}

static enum relay_code refusal(struct conn *c, const struct ask *k,
			       const struct relay_statement *st)
{
	struct server *s = c->server;
	bool plain = c->state == 'T' && !c->read_only;
	char *name;
	bool known;

	if (c->state == 'E')
		return RELAY_MALFORMED;
	if (chance(s, s->sheds))
		return RELAY_BUSY;
	if (s->role != ROLE_PRIMARY &&
	    (k->writes || (plain && (st->verb != RELAY_COMMIT || c->wrote))))
		return RELAY_READ_ONLY;
	if (!has_position(s, st->after))
		return RELAY_LAGGING;
	if (st->verb != RELAY_EXECUTE)
		return RELAY_OK;
	name = str_dup(st->name);
	known = g_hash_table_contains(c->prepared, name);
	g_free(name);
	return known ? RELAY_OK : RELAY_NO_STATEMENT;
}

static void check_session(struct conn *c, const struct ask *k,
			  const struct relay_statement *st)
{
	struct audit *audit = c->server->groups->audit;
	char *values = audit_values(c->values);
	char *name = str_dup(st->name);
	const char *shape = g_hash_table_lookup(c->prepared, name);

	if (strcmp(values, k->values))
		audit_wrong(audit, "%s ran with values %s for %s", k->id,
			    values, k->values);
	if (st->verb == RELAY_EXECUTE && g_strcmp0(shape, k->shape))
		audit_wrong(audit, "%s ran %s for %s", k->id, shape, k->shape);
	g_free(name);
	g_free(values);
}

static void check_transaction(struct conn *c, struct ask *k)
{
	struct audit *audit = c->server->groups->audit;

	if (k->in_transaction != (c->state == 'T')) {
		audit_wrong(audit, "%s ran %s its transaction", k->id,
			    k->in_transaction ? "outside" : "inside another's");
		return;
	}
	if (c->state != 'T')
		return;
	if (!c->attempt) {
		c->attempt = k->attempt;
		k->attempt->conn = c->number;
	}
	if (c->attempt != k->attempt || k->attempt->conn != c->number)
		audit_wrong(audit, "%s ran in another's transaction", k->id);
}

/* When a commit must have been acknowledged for a read to see it. */
static bool must_see(const struct attempt *t, const struct group_commit *c)
{
	uint64_t since_us = t->begun_us;

	if (!c->acked_us || c->lost || c->group != t->service)
		return false;
	if (t->kind == RELAY_KIND_OWN_WRITES &&
	    c->attempt->session == t->session)
		return c->acked_us < since_us;
	if (t->kind != RELAY_KIND_PRIMARY)
		since_us -= SOAK_AGE_US;
	return c->acked_us < since_us;
}

static void check_fresh(const struct server *s, const struct ask *k)
{
	const struct groups *g = s->groups;
	unsigned i;

	for (i = g->commits->len - 1; i > 0; i--) {
		const struct group_commit *c = group_commit_at(g, i);

		if (c->group != s->group || c->lost)
			continue;
		if (group_has(s, i))
			return;
		if (must_see(k->attempt, c)) {
			audit_wrong(g->audit,
				    "%s at %s lacks a commit that was told "
				    "%u ms before",
				    k->id, s->id,
				    (unsigned)((k->attempt->begun_us -
						c->acked_us) /
					       MS));
			return;
		}
	}
}

static bool is_same(const struct ask *k, const struct relay_statement *st)
{
	return k->verb == st->verb && str_eq(st->text, str_from_c(k->text)) &&
	       (st->verb == RELAY_EXECUTE ||
		str_eq(st->name, str_from_c(k->name)));
}

/* A caller's statement takes effect. */
static void take_effect(struct conn *c, struct ask *k)
{
	check_transaction(c, k);
	if (!k->writes && k->verb != RELAY_COMMIT)
		check_fresh(c->server, k);
	if (k->verb == RELAY_COMMIT ? c->wrote : k->writes && c->state == 'I')
		k->commit = group_commit(c->server, k->attempt);
	c->wrote = c->wrote || k->writes;
	g_ptr_array_add(k->signatures,
			g_strdup_printf("%s.%s.%u", c->server->id, k->id,
					k->signatures->len));
}

static uint64_t *earliest_slot(struct server *s)
{
	uint64_t *best = s->free_us;
	unsigned i;

	for (i = 1; i < SLOTS; i++)
		if (s->free_us[i] < *best)
			best = &s->free_us[i];
	return best;
}

static const char *code_word(enum relay_code code)
{
	static const char *const words[RELAY_CODES] = {
		[RELAY_BUSY] = "BUSY",
		[RELAY_LAGGING] = "LAGGING",
		[RELAY_READ_ONLY] = "READONLY",
		[RELAY_NO_STATEMENT] = "NOSTMT",
		[RELAY_MALFORMED] = "MALFORMED",
	};

	return words[code] ? words[code] : "FAILED";
}

/* For the lies that take place when a statement has run. */
static void tell_lies(struct conn *c, struct ask *k, enum relay_code *code)
{
	struct groups *g = c->server->groups;

	if (g->lie == LIE_SIGNATURE && g->commits->len % LIE_ONE_IN == 0)
		g_ptr_array_set_size(k->signatures, 0);
	if (!k->commit || k->commit % LIE_ONE_IN)
		return;
	if (g->lie == LIE_TWICE)
		group_commit(c->server, k->attempt);
	if (g->lie == LIE_REFUSED)
		*code = RELAY_BUSY;
}

static void run_callers(struct conn *c, struct ask *k,
			const struct relay_statement *st, GString *out)
{
	uint64_t now_us = later_now_us(), *slot = earliest_slot(c->server);
	enum relay_code code = RELAY_BUSY;

	if (*slot < now_us + QUEUE_US)
		code = refusal(c, k, st);
	if (code == RELAY_OK) {
		check_session(c, k, st);
		take_effect(c, k);
		tell_lies(c, k, &code);
	}
	if (code == RELAY_OK) {
		*slot = MAX(*slot, now_us) + c->server->work_us;
		g_string_append_printf(
			out, "DATAROW %s\r\nCOMPLETE %s\r\n", k->id,
			k->signatures->len ?
				(char *)g_ptr_array_index(
					k->signatures, k->signatures->len - 1) :
				"another");
	} else {
		g_string_append_printf(out, "ERROR %s %s\r\n", code_word(code),
				       c->server->id);
		if (c->state == 'T' && code != RELAY_BUSY)
			c->state = 'E';
	}
	if (st->verb == RELAY_COMMIT && code != RELAY_BUSY)
		c->state = 'I';
}

/* A statement that somebody sent by hand. */
static struct ask *adopt(struct conn *c, const struct relay_statement *st)
{
	struct audit *audit = c->server->groups->audit;
	struct ask *k = audit_ask(audit);
	char *name = str_dup(st->name);

	k->attempt = c->state == 'T' && c->attempt ? c->attempt :
						     audit_attempt(audit);
	k->verb = st->verb;
	k->in_transaction = c->state != 'I';
	k->name = name;
	k->text = str_dup(st->text);
	k->values = audit_values(c->values);
	k->shape = g_strdup(g_hash_table_lookup(c->prepared, name));
	k->writes = st->verb == RELAY_WRITE ||
		    (st->verb == RELAY_EXECUTE && k->shape &&
		     g_str_has_prefix(k->shape, "WRITE"));
	return k;
}

static void run(struct conn *c, const struct relay_statement *st)
{
	struct server *s = c->server;
	struct ask *k = st->id.len ? audit_find(s->groups->audit, st->id) :
				     NULL;
	bool is_own = !st->id.len || st->verb == RELAY_BEGIN ||
		      st->verb == RELAY_BEGIN_READ ||
		      st->verb == RELAY_ROLLBACK;
	GString *out = g_string_new(NULL);
	enum relay_code code;

	if (!k && !is_own && s->groups->adopts)
		k = adopt(c, st);
	if (st->id.len && !s->groups->adopts && (!k || !is_same(k, st)))
		audit_wrong(s->groups->audit, "nobody asked for %.*s",
			    (int)st->id.len, st->id.data);
	if (!is_own && k) {
		run_callers(c, k, st, out);
	} else {
		code = run_own(c, st);
		if (code == RELAY_OK)
			g_string_append(out, "COMPLETE -\r\n");
		else
			g_string_append_printf(out, "ERROR %s -\r\n",
					       code_word(code));
	}
	put_ready(out, c);
	if (!is_own && chance(s, s->mutes))
		g_string_free(out, TRUE);
	else
		reply(c, out, is_own ? 0 : s->work_us);
}

static void on_line(void *ctx, struct str line)
{
	struct conn *c = ctx;
	struct relay_statement st;
	struct str rest = line;

	if (c->server->dark)
		return;
	if (!c->started) {
		start(c, line);
		return;
	}
	str_split_first_word(&rest);
	str_split_first_word(&rest);
	if (run_order(c, rest))
		return;
	if (line_parse_peer_query(line, &st)) {
		run(c, &st);
		return;
	}
	if (!str_eq(line, STR("TERMINATE")))
		audit_wrong(c->server->groups->audit, "not understood: %.*s",
			    (int)line.len, line.data);
	drop(c);
}

static void on_closed(void *ctx)
{
	forget(ctx);
}

static const struct wire_events events = { NULL, on_line, on_closed };

static void on_connection(uv_stream_t *listener, int status)
{
	struct server *s = listener->data;
	struct wire *w = status < 0 ? NULL : wire_accept(listener, &events);
	struct conn *c;

	if (!w)
		return;
	if (s->down) {
		wire_set_ctx(w, NULL);
		wire_close(w, true);
		return;
	}
	c = g_new0(struct conn, 1);
	c->server = s;
	c->wire = w;
	c->number = ++s->groups->n_conns;
	c->state = 'I';
	c->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->prepared =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	wire_set_ctx(w, c);
	g_ptr_array_add(s->conns, c);
}

/* Listens on a port that the kernel picks. */
bool server_listen(struct server *s, uv_tcp_t *listener, uint16_t *port)
{
	struct sockaddr_in name;
	int size = sizeof(name);

	uv_ip4_addr("127.0.0.1", 0, &name);
	uv_tcp_init(s->groups->loop, listener);
	listener->data = s;
	if (uv_tcp_bind(listener, (struct sockaddr *)&name, 0) ||
	    uv_listen((uv_stream_t *)listener, BACKLOG, on_connection) ||
	    uv_tcp_getsockname(listener, (struct sockaddr *)&name, &size))
		return false;
	*port = ntohs(name.sin_port);
	return true;
}

/* Its process ended, or its power. */
void server_cut(struct server *s)
{
	while (s->conns->len)
		drop(g_ptr_array_index(s->conns, 0));
}
