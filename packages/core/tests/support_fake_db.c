#include "support_fake_db.h"

#include <string.h>

/* A replica repeats a pull that has not been answered for this long. */
#define PULL_TIMEOUT_US (100 * USEC_PER_MSEC)
#define PULL_BATCH 8 /* max. entries in an answer */

struct fdb_server {
	struct fdb *db;
	unsigned index;
	GArray *log; /* struct fdb_entry */
	struct history history; /* terms of the log and where each starts */
	GHashTable *rows; /* key -> index in the log, 1-based */
	bool primary;
	uint64_t term; /* as primary */
	uint64_t followed_term; /* of the primary that it follows */
	int following; /* index of that primary, -1: none */
	uint64_t granted; /* highest term granted */
	char holder[64]; /* to whom that term was granted */
	uint64_t applied; /* index of the last applied entry */
	uint64_t lag_us; /* between receiving and applying an entry */
	bool leaving;
	uint64_t last_pull_number; /* answers to earlier pulls are stale */
	struct fdb_pull *parked[FDB_MAX_SERVERS]; /* by replica, may be NULL */
};

struct fdb {
	struct sim *sim;
	unsigned n;
	struct fdb_rules rules;
	fdb_promoted_fn promoted;
	void *ctx;
	struct fdb_server servers[FDB_MAX_SERVERS];
};

/* A replica's pull, and the primary's answer to it. */
struct fdb_pull {
	unsigned replica;
	unsigned primary;
	uint64_t number;
	uint64_t term; /* of the primary */
	uint64_t received; /* length of the replica's log */
	uint64_t last_term; /* of the replica's log */
	struct history history; /* of the replica's log */
	/* The answer: n entries that come after the common part of the logs. */
	uint64_t common; /* length of the common part */
	unsigned n;
	struct fdb_entry entries[PULL_BATCH];
};

static const char *const server_names[FDB_MAX_SERVERS] = {
	"codes-1-a", "codes-1-b", "codes-1-c", "codes-1-d", "codes-1-e"
};

struct fdb *fdb_create(struct sim *sim, unsigned n_servers)
{
	struct fdb *db = g_new0(struct fdb, 1);
	unsigned i;

	db->sim = sim;
	db->n = n_servers;
	memset(&db->rules, true, sizeof(db->rules));
	for (i = 0; i < n_servers; i++) {
		db->servers[i].db = db;
		db->servers[i].index = i;
		db->servers[i].following = -1;
		db->servers[i].log =
			g_array_new(FALSE, FALSE, sizeof(struct fdb_entry));
		db->servers[i].rows = g_hash_table_new(NULL, NULL);
	}
	return db;
}

static void drop_parked(struct fdb_server *s)
{
	unsigned i;

	for (i = 0; i < FDB_MAX_SERVERS; i++)
		g_clear_pointer(&s->parked[i], g_free);
}

void fdb_destroy(struct fdb *db)
{
	unsigned i;

	for (i = 0; i < db->n; i++) {
		drop_parked(&db->servers[i]);
		g_array_free(db->servers[i].log, TRUE);
		g_hash_table_destroy(db->servers[i].rows);
	}
	g_free(db);
}

struct fdb_rules *fdb_rules(struct fdb *db)
{
	return &db->rules;
}

void fdb_set_promoted(struct fdb *db, fdb_promoted_fn promoted, void *ctx)
{
	db->promoted = promoted;
	db->ctx = ctx;
}

void fdb_set_lag(struct fdb *db, unsigned server, uint64_t lag_us)
{
	db->servers[server].lag_us = lag_us;
}

const char *fdb_name(unsigned server)
{
	return server_names[server];
}

unsigned fdb_log_length(const struct fdb *db, unsigned server)
{
	return db->servers[server].log->len;
}

const struct fdb_entry *fdb_log_at(const struct fdb *db, unsigned server,
				   uint64_t index)
{
	return &g_array_index(db->servers[server].log, struct fdb_entry,
			      index - 1);
}

static uint64_t last_term(const struct fdb_server *s)
{
	if (!s->log->len)
		return 0;
	return g_array_index(s->log, struct fdb_entry, s->log->len - 1).term;
}

static void record_term(struct fdb_server *s, uint64_t term, uint64_t index)
{
	struct history *h = &s->history;

	if (h->count && h->entries[h->count - 1].term == term)
		return;
	if (h->count == HISTORY_MAX)
		memmove(h->entries, h->entries + 1,
			--h->count * sizeof(h->entries[0]));
	h->entries[h->count].term = term;
	h->entries[h->count++].start = index;
}

static void append(struct fdb_server *s, struct fdb_entry e)
{
	record_term(s, e.term, s->log->len + 1);
	e.received_at_us = sim_now(s->db->sim);
	g_array_append_val(s->log, e);
	if (e.kind != FDB_EMPTY)
		g_hash_table_insert(s->rows, GSIZE_TO_POINTER(e.key),
				    GUINT_TO_POINTER(s->log->len));
}

static void truncate_log(struct fdb_server *s, uint64_t length)
{
	const struct fdb_entry *e;
	uint64_t i;

	for (i = s->log->len; i > length; i--) {
		e = fdb_log_at(s->db, s->index, i);
		if (e->kind != FDB_EMPTY)
			g_hash_table_remove(s->rows, GSIZE_TO_POINTER(e->key));
	}
	if (length < s->log->len)
		g_array_set_size(s->log, (guint)length);
	while (s->history.count &&
	       s->history.entries[s->history.count - 1].start > length)
		s->history.count--;
	s->applied = MIN(s->applied, length);
}

/*
 * A primary applies its entries immediately, a replica lag_us after receiving
 * them. Returns the index of the last applied entry.
 */
static uint64_t apply(struct fdb_server *s)
{
	uint64_t now_us = sim_now(s->db->sim);
	const struct fdb_entry *e = (const struct fdb_entry *)s->log->data;

	while (s->applied < s->log->len &&
	       (s->primary ||
		e[s->applied].received_at_us + s->lag_us <= now_us))
		s->applied++;
	return s->applied;
}

void fdb_status(struct fdb *db, unsigned server, struct server_status *out)
{
	struct fdb_server *s = &db->servers[server];

	memset(out, 0, offsetof(struct server_status, history));
	out->term = s->primary ? s->term : last_term(s);
	out->role = s->primary ? ROLE_PRIMARY : ROLE_REPLICA;
	out->fenced = s->primary && s->granted > s->term;
	out->leaving = s->leaving;
	out->granted = s->granted;
	g_strlcpy(out->holder, s->holder, sizeof(out->holder));
	out->received = s->log->len;
	out->applied = apply(s);
	out->history = s->history;
	g_strlcpy(out->following,
		  s->following < 0 ? "" : server_names[s->following],
		  sizeof(out->following));
	out->connections = 0;
	out->connection_limit = 20;
}

bool fdb_grant(struct fdb *db, unsigned server, uint64_t term,
	       const char *holder)
{
	struct fdb_server *s = &db->servers[server];

	if (term == s->granted && term && db->rules.grants_once)
		return !strcmp(s->holder, holder);
	if (term < s->granted || (term == s->granted && db->rules.grants_once))
		return false;
	s->granted = term;
	g_strlcpy(s->holder, holder, sizeof(s->holder));
	return true;
}

bool fdb_can_write(const struct fdb *db, unsigned server)
{
	const struct fdb_server *s = &db->servers[server];

	return s->primary &&
	       (s->granted <= s->term || !db->rules.fenced_commits_nothing);
}

/* Fills in the entries that follow the common part of both logs. */
static void fill_answer(const struct fdb_server *s, struct fdb_pull *p)
{
	const struct fdb_entry *e = (const struct fdb_entry *)s->log->data;
	uint64_t common = MIN(p->received, s->log->len);
	unsigned i = p->history.count;

	/* Logs that both reach an index with the same term agree up to it. */
	while (common) {
		while (i && p->history.entries[i - 1].start > common)
			i--;
		if (i && p->history.entries[i - 1].term == e[common - 1].term)
			break;
		common--;
	}
	p->common = common;
	p->n = MIN(PULL_BATCH, s->log->len - (unsigned)common);
	memcpy(p->entries, e + common, p->n * sizeof(*e));
}

static void send_pull(struct fdb_server *s);
static void on_pull_answer(void *ctx, void *data);

/* Answers a pull, or parks it until there are new entries. */
static void answer_pull(struct fdb_server *s, struct fdb_pull *p)
{
	struct fdb *db = s->db;

	if (!s->primary || s->term != p->term) {
		g_free(p);
		return;
	}
	fill_answer(s, p);
	if (!p->n && p->common == p->received) {
		g_free(s->parked[p->replica]);
		s->parked[p->replica] = p;
		return;
	}
	sim_send(db->sim, (int)s->index, (int)p->replica, 0, on_pull_answer,
		 &db->servers[p->replica], p, sizeof(*p));
}

static void answer_parked_pulls(struct fdb_server *s)
{
	struct fdb_pull *p;
	unsigned i;

	for (i = 0; i < s->db->n; i++) {
		p = g_steal_pointer(&s->parked[i]);
		if (p)
			answer_pull(s, p);
	}
}

static void on_pull(void *ctx, void *data)
{
	answer_pull(ctx, g_memdup2(data, sizeof(struct fdb_pull)));
}

static bool can_receive(const struct fdb_server *s)
{
	return !s->primary && s->following >= 0 &&
	       (s->granted <= s->followed_term ||
		!s->db->rules.fenced_takes_no_log);
}

static void on_pull_answer(void *ctx, void *data)
{
	struct fdb_server *s = ctx;
	struct fdb_pull *p = data;
	unsigned i;

	if (!can_receive(s) || p->number != s->last_pull_number ||
	    p->term != s->followed_term || (int)p->primary != s->following ||
	    p->received != s->log->len || p->last_term != last_term(s))
		return;
	if (s->db->rules.follow_removes_tail)
		truncate_log(s, p->common);
	for (i = 0; i < p->n; i++)
		append(s, p->entries[i]);
	s->applied = MIN(s->applied, s->log->len);
	send_pull(s);
}

static void on_pull_timeout(void *ctx, void *data)
{
	struct fdb_server *s = ctx;

	if (*(uint64_t *)data == s->last_pull_number)
		send_pull(s);
}

static void send_pull(struct fdb_server *s)
{
	struct fdb *db = s->db;
	struct fdb_pull *p;
	uint64_t number = ++s->last_pull_number;

	if (!can_receive(s))
		return;
	p = g_new(struct fdb_pull, 1);
	p->replica = s->index;
	p->primary = (unsigned)s->following;
	p->number = number;
	p->term = s->followed_term;
	p->received = s->log->len;
	p->last_term = last_term(s);
	p->history = s->history;
	sim_send(db->sim, (int)s->index, s->following, 0, on_pull,
		 &db->servers[s->following], p, 0);
	sim_at(db->sim, (int)s->index, PULL_TIMEOUT_US, on_pull_timeout, s,
	       g_memdup2(&number, sizeof(number)));
}

bool fdb_promote(struct fdb *db, unsigned server, uint64_t term,
		 const char *holder)
{
	struct fdb_server *s = &db->servers[server];
	struct fdb_entry e = { .term = term,
			       .committed_at_us = sim_now(db->sim) };

	if (s->granted != term || strcmp(s->holder, holder) != 0)
		return false;
	if (s->primary && s->term == term)
		return true;
	if (last_term(s) >= term)
		return false;
	s->primary = true;
	s->term = term;
	s->following = -1;
	s->last_pull_number++;
	drop_parked(s);
	append(s, e);
	apply(s);
	if (db->promoted)
		db->promoted(db->ctx, server, term);
	return true;
}

bool fdb_follow(struct fdb *db, unsigned server, uint64_t term,
		unsigned primary)
{
	struct fdb_server *s = &db->servers[server];

	if (!term || term < s->granted || primary == server ||
	    (s->primary && s->term == term))
		return false;
	if (!s->primary && s->followed_term == term &&
	    s->following == (int)primary)
		return true;
	if (term > s->granted) {
		s->granted = term;
		s->holder[0] = '\0';
	}
	s->primary = false;
	s->followed_term = term;
	s->following = (int)primary;
	drop_parked(s);
	send_pull(s);
	return true;
}

void fdb_set_leaving(struct fdb *db, unsigned server, bool leaving)
{
	db->servers[server].leaving = leaving;
}

void fdb_restart(struct fdb *db, unsigned server)
{
	struct fdb_server *s = &db->servers[server];

	drop_parked(s);
	s->last_pull_number++;
	send_pull(s);
}

const struct fdb_entry *fdb_find(struct fdb *db, unsigned server, uint64_t key)
{
	struct fdb_server *s = &db->servers[server];
	unsigned index = GPOINTER_TO_UINT(
		g_hash_table_lookup(s->rows, GSIZE_TO_POINTER(key)));

	return index ? fdb_log_at(db, server, index) : NULL;
}

enum fdb_result fdb_insert(struct fdb *db, unsigned server, uint64_t key,
			   enum fdb_kind kind, struct position *at)
{
	struct fdb_server *s = &db->servers[server];
	struct fdb_entry e = { .term = s->term,
			       .key = key,
			       .kind = kind,
			       .committed_at_us = sim_now(db->sim) };

	at->term = last_term(s);
	at->index = s->log->len;
	if (!fdb_can_write(db, server))
		return FDB_READ_ONLY;
	if (fdb_find(db, server, key))
		return FDB_DUPLICATE;
	append(s, e);
	apply(s);
	at->term = s->term;
	at->index = s->log->len;
	answer_parked_pulls(s);
	return FDB_OK;
}
