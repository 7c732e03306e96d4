#include "caller.h"

#include "wire.h"

#include <string.h>

#define LIMIT_US (4 * SEC) /* an answer must be there; timeouts are 800 ms */
#define THINK_MS_LEAST 5
#define THINK_MS_MOST 60
#define AGAIN_US (60 * MS)
#define ITEMS 40
#define NAMES 3
#define STATEMENTS_MOST 4 /* of a transaction */
#define CALM_US (4 * SEC) /* after a fault */
#define STOP_US (7 * SEC) /* from SIGTERM to the process's end */

struct caller {
	struct callers *all;
	struct wire *wire;
	struct fleet_proxy *proxy;
	unsigned session; /* counts connections of all callers */
	unsigned service;
	enum relay_kind kind;
	bool started;
	char state;
	unsigned left; /* statements until COMMIT */
	bool wrote;
	bool ready_due; /* COMPLETE or ERROR was there */
	struct attempt *attempt;
	struct ask *ask; /* without an answer */
	uint64_t asked_us;
	enum relay_code code;
	char *rows;
	char *signature;
	GHashTable *values;
	GHashTable *prepared; /* name -> "READ shape" or "WRITE shape" */
};

struct callers {
	struct fleet *fleet;
	struct groups *groups;
	GRand *rng;
	unsigned n;
	unsigned n_sessions;
	struct caller *callers;
	struct callers_count count;
	uint64_t fault_us;
	unsigned n_pressing; /* the last ones of all */
	bool resting;
};

static unsigned draw(struct callers *all, unsigned below)
{
	return (unsigned)g_rand_int_range(all->rng, 0, (gint32)below);
}

static void connect_caller(void *data);
static void next(void *data);

static void reconnect(struct caller *c)
{
	later(c->all->fleet->loop, AGAIN_US, connect_caller, c);
}

static void hang_up(struct caller *c)
{
	wire_close(c->wire, draw(c->all, 2) == 0);
	c->wire = NULL;
	c->ask = NULL;
	reconnect(c);
}

/* Whether nothing but a planned stop of its proxy can have cut it. */
static bool is_planned(const struct caller *c)
{
	const struct fleet_proxy *p = c->proxy;
	uint64_t now_us = later_now_us();

	return p->stopped_us && now_us < p->stopped_us + STOP_US &&
	       now_us > c->all->fault_us + CALM_US &&
	       now_us > p->disturbed_us + CALM_US;
}

static void on_closed(void *ctx)
{
	struct caller *c = ctx;

	c->wire = NULL;
	if (c->ask) {
		c->all->count.cut++;
		if (is_planned(c)) {
			c->all->count.cut_by_stop++;
			audit_wrong(c->all->fleet->audit,
				    "%s was cut by the stop of %s", c->ask->id,
				    c->proxy->name);
		}
	}
	c->ask = NULL;
	reconnect(c);
}

static bool needs_server(const struct ask *k)
{
	return k->verb == RELAY_READ || k->verb == RELAY_WRITE ||
	       k->verb == RELAY_EXECUTE || k->verb == RELAY_COMMIT;
}

static bool is_signed(const struct ask *k, const char *signature)
{
	unsigned i;

	for (i = 0; i < k->signatures->len; i++)
		if (!g_strcmp0(g_ptr_array_index(k->signatures, i), signature))
			return true;
	return false;
}

static void check_success(struct caller *c)
{
	struct ask *k = c->ask;
	struct audit *audit = c->all->fleet->audit;
	struct group_commit *commit;

	if (!is_signed(k, c->signature) || g_strcmp0(c->rows, k->id))
		audit_wrong(audit, "%s got rows of %s, signed %s", k->id,
			    c->rows, c->signature);
	if (!k->commit) {
		if (k->verb == RELAY_COMMIT ? c->wrote :
					      k->writes && !k->in_transaction)
			audit_wrong(audit, "%s is stored nowhere", k->id);
		return;
	}
	commit = group_commit_at(c->all->groups, k->commit);
	commit->acked_us = later_now_us();
	if (commit->replaced)
		audit_wrong(audit, "%s was stored at a replaced primary",
			    k->id);
}

static void note_promise(struct caller *c)
{
	struct ask *k = c->ask;

	k->attempt->promised = true;
	if (k->commit && !group_commit_at(c->all->groups, k->commit)->lost)
		audit_wrong(c->all->fleet->audit,
			    "%s was told as refused and is stored", k->id);
}

static void note_session(struct caller *c)
{
	struct ask *k = c->ask;

	if (k->verb == RELAY_SET)
		g_hash_table_replace(c->values, g_strdup(k->name),
				     g_strdup(k->text));
	else if (k->verb == RELAY_PREPARE_READ ||
		 k->verb == RELAY_PREPARE_WRITE)
		g_hash_table_replace(
			c->prepared, g_strdup(k->name),
			g_strdup_printf("%s %s",
					k->verb == RELAY_PREPARE_WRITE ?
						"WRITE" :
						"READ",
					k->text));
}

static void count(struct caller *c)
{
	struct callers_count *n = &c->all->count;

	if (c->code == RELAY_OK)
		n->ok++;
	else if (c->code >= RELAY_BUSY && c->code <= RELAY_TOO_MANY)
		n->refused++;
	else if (c->code == RELAY_IN_DOUBT)
		n->in_doubt++;
	else
		n->failed++;
}

static bool is_pressing(const struct caller *c)
{
	const struct callers *all = c->all;

	return c >= all->callers + (all->n - all->n_pressing);
}

static uint64_t pause_us(const struct caller *c)
{
	if (is_pressing(c))
		return 0;
	return (THINK_MS_LEAST + draw(c->all, THINK_MS_MOST)) * MS;
}

static void finish(struct caller *c)
{
	struct ask *k = c->ask;
	bool is_session = k->verb == RELAY_SET ||
			  k->verb == RELAY_PREPARE_READ ||
			  k->verb == RELAY_PREPARE_WRITE;

	count(c);
	if (c->code == RELAY_OK && needs_server(k))
		check_success(c);
	if (c->code == RELAY_OK)
		note_session(c);
	else if (c->code >= RELAY_BUSY && c->code <= RELAY_TOO_MANY)
		note_promise(c);
	c->ask = NULL;
	if ((is_session && c->code != RELAY_OK) ||
	    (c->state != 'I' && k->verb == RELAY_COMMIT))
		hang_up(c);
	else
		later(c->all->fleet->loop, pause_us(c), next, c);
}

static enum relay_code code_of(struct str word)
{
	static const char *const words[RELAY_CODES] = {
		[RELAY_BUSY] = "BUSY",	      [RELAY_ABORTED] = "ABORTED",
		[RELAY_LAGGING] = "LAGGING",  [RELAY_READ_ONLY] = "READONLY",
		[RELAY_MOVED] = "MOVED",      [RELAY_TOO_MANY] = "MAXCONN",
		[RELAY_IN_DOUBT] = "INDOUBT",
	};
	unsigned i;

	for (i = 0; i < RELAY_CODES; i++)
		if (words[i] && str_eq(word, str_from_c(words[i])))
			return (enum relay_code)i;
	return RELAY_FAILED;
}

static void on_line(void *ctx, struct str line)
{
	struct caller *c = ctx;
	struct str rest = line, word = str_split_first_word(&rest);

	if (str_eq(word, STR("ERROR")) && !c->ask) {
		hang_up(c); /* not taken, or the session's end */
	} else if (str_eq(word, STR("READY")) && !c->started) {
		c->started = true;
		later(c->all->fleet->loop, MS, next, c);
	} else if (!c->ask) {
		audit_wrong(c->all->fleet->audit,
			    "session %u was told %.*s, unasked", c->session,
			    (int)line.len, line.data);
	} else if (str_eq(word, STR("DATAROW"))) {
		g_free(c->rows);
		c->rows = str_dup(rest);
	} else if (str_eq(word, STR("COMPLETE"))) {
		g_free(c->signature);
		c->signature = str_dup(rest);
		c->code = RELAY_OK;
		c->ready_due = true;
	} else if (str_eq(word, STR("ERROR"))) {
		c->code = code_of(str_split_first_word(&rest));
		c->ready_due = true;
	} else if (str_eq(word, STR("READY")) && c->ready_due) {
		c->state = rest.data[0];
		c->ready_due = false;
		finish(c);
	} else {
		audit_wrong(c->all->fleet->audit, "not understood: %.*s",
			    (int)line.len, line.data);
	}
}

static void on_open(void *ctx)
{
	static const char *const kinds[] = { "primary", "bounded", "own" };
	struct caller *c = ctx;
	GString *out = g_string_new(NULL);

	g_string_printf(out, "STARTUP %s%u caller%u\r\n", kinds[c->kind],
			c->service, c->session);
	wire_send(c->wire, out);
	g_string_free(out, TRUE);
}

static const struct wire_events events = { on_open, on_line, on_closed };

static void connect_caller(void *data)
{
	struct caller *c = data;

	if (c->all->resting || c->wire)
		return;
	c->proxy = fleet_pick(c->all->fleet, c->all->rng);
	if (!c->proxy) {
		reconnect(c);
		return;
	}
	c->session = ++c->all->n_sessions;
	c->started = c->ready_due = false;
	c->state = 'I';
	c->attempt = NULL;
	c->asked_us = later_now_us();
	g_hash_table_remove_all(c->values);
	g_hash_table_remove_all(c->prepared);
	c->wire = wire_connect(c->all->fleet->loop, "127.0.0.1",
			       c->proxy->front, &events, c);
}

static void put_word(GString *out, const char *word)
{
	if (word && *word)
		g_string_append_printf(out, " %s", word);
}

/* Sends one; the words are those of the protocol. */
static void ask(struct caller *c, enum relay_verb verb, const char *words,
		const char *name, const char *text)
{
	struct ask *k = audit_ask(c->all->fleet->audit);
	GString *out = g_string_new(NULL);

	if (c->state == 'I') {
		c->attempt = audit_attempt(c->all->fleet->audit);
		c->attempt->session = c->session;
		c->attempt->service = c->service;
		c->attempt->kind = c->kind;
		c->attempt->begun_us = later_now_us();
		c->wrote = false;
	}
	k->attempt = c->attempt;
	k->verb = verb;
	k->in_transaction = c->state != 'I';
	k->name = g_strdup(name ? name : "");
	k->text = g_strdup(text ? text : "");
	k->values = audit_values(c->values);
	if (verb == RELAY_EXECUTE)
		k->shape = g_strdup(g_hash_table_lookup(c->prepared, name));
	k->writes = verb == RELAY_WRITE ||
		    (k->shape && g_str_has_prefix(k->shape, "WRITE"));
	c->wrote = c->wrote || k->writes;
	c->ask = k;
	c->asked_us = later_now_us();
	g_string_printf(out, "QUERY %s", k->id);
	put_word(out, words);
	put_word(out, name);
	if (verb == RELAY_PREPARE_READ)
		put_word(out, "READ");
	if (verb == RELAY_PREPARE_WRITE)
		put_word(out, "WRITE");
	put_word(out, text);
	g_string_append(out, "\r\n");
	wire_send(c->wire, out);
	g_string_free(out, TRUE);
}

static void ask_data(struct caller *c, bool may_write)
{
	char item[32], name[8];

	g_snprintf(item, sizeof(item), "i%u", draw(c->all, ITEMS));
	g_snprintf(name, sizeof(name), "p%u", draw(c->all, NAMES));
	if (g_hash_table_contains(c->prepared, name) && draw(c->all, 3) == 0) {
		const char *shape = g_hash_table_lookup(c->prepared, name);
		bool writes = g_str_has_prefix(shape, "WRITE");

		if (writes)
			g_strlcat(item, " data", sizeof(item));
		if (may_write || !writes) {
			ask(c, RELAY_EXECUTE, "EXECUTE", name, item);
			return;
		}
		item[strlen(item) - strlen(" data")] = '\0';
	}
	if (may_write && draw(c->all, 3) == 0) {
		g_strlcat(item, " data", sizeof(item));
		ask(c, RELAY_WRITE, "WRITE", NULL, item);
	} else {
		ask(c, RELAY_READ, "READ", NULL, item);
	}
}

static void ask_session(struct caller *c, bool may_write)
{
	char name[8], text[16];

	g_snprintf(text, sizeof(text), "v%u", draw(c->all, 1000));
	if (draw(c->all, 2)) {
		g_snprintf(name, sizeof(name), "n%u", draw(c->all, NAMES));
		ask(c, RELAY_SET, "SET", name, text);
		return;
	}
	g_snprintf(name, sizeof(name), "p%u", draw(c->all, NAMES));
	ask(c,
	    may_write && draw(c->all, 2) ? RELAY_PREPARE_WRITE :
					   RELAY_PREPARE_READ,
	    "PREPARE", name, text);
}

/* What the caller does next. */
static void next(void *data)
{
	struct caller *c = data;
	bool may_write = c->kind != RELAY_KIND_BOUNDED;
	unsigned what = draw(c->all, 100);

	if (!c->wire || !c->started || c->ask || c->all->resting)
		return;
	if (c->state == 'E') {
		ask(c, RELAY_ROLLBACK, "ROLLBACK", NULL, NULL);
	} else if (what < 1) {
		hang_up(c);
	} else if (c->state == 'T' && c->left) {
		c->left--;
		ask_data(c, may_write);
	} else if (c->state == 'T' && what < 15) {
		ask(c, RELAY_ROLLBACK, "ROLLBACK", NULL, NULL);
	} else if (c->state == 'T') {
		ask(c, RELAY_COMMIT, "COMMIT", NULL, NULL);
	} else if (what < 15) {
		ask_session(c, may_write);
	} else if (what < 30) {
		c->left = 1 + draw(c->all, STATEMENTS_MOST);
		if (may_write)
			ask(c, RELAY_BEGIN, "BEGIN", NULL, NULL);
		else
			ask(c, RELAY_BEGIN_READ, "BEGIN READ", NULL, NULL);
	} else {
		ask_data(c, may_write);
	}
}

static void look(void *data)
{
	struct callers *all = data;
	uint64_t now_us = later_now_us();
	unsigned i;

	for (i = 0; i < all->n; i++) {
		struct caller *c = &all->callers[i];

		if (!c->wire || (!c->ask && c->started) ||
		    now_us < c->asked_us + LIMIT_US)
			continue;
		all->count.late++;
		hang_up(c);
	}
	if (!all->resting)
		later(all->fleet->loop, 100 * MS, look, all);
}

/* Each with one session at a time, of all kinds and services. */
struct callers *callers_create(struct fleet *f, struct groups *g, GRand *rng,
			       unsigned n)
{
	struct callers *all = g_new0(struct callers, 1);
	unsigned i;

	all->fleet = f;
	all->groups = g;
	all->rng = rng;
	all->n = n;
	all->callers = g_new0(struct caller, n);
	for (i = 0; i < n; i++) {
		struct caller *c = &all->callers[i];

		c->all = all;
		c->kind = (enum relay_kind)(i % 3);
		c->service = i / 3 % g->n;
		c->values = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free);
		c->prepared = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, g_free);
		connect_caller(c);
	}
	look(all);
	return all;
}

void callers_press(struct callers *all, unsigned percent)
{
	all->n_pressing = all->n * percent / 100;
}

void callers_rest(struct callers *all)
{
	all->resting = true;
}

void callers_note_fault(struct callers *all)
{
	all->fault_us = later_now_us();
}

struct callers_count callers_count(const struct callers *all)
{
	return all->count;
}
