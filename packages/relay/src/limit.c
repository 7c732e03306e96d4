/*
 * Limits of client accounts, over all proxies.
 *
 * An account's limit is divided among a few proxies, its grantors: the first in
 * rendezvous order of those that are listed. Each has a token bucket with its
 * part of the rate and of the burst, and gives tokens to the proxies that
 * callers come to, one for each operation, after the operation has come. A
 * grantor without a token says when it has one; until then the other grantors
 * are asked, and then callers are refused at once.
 *
 * Failure: two halves of a split fleet each count an account's operations, and
 * together let twice its limit through. Guard: each half has only the grantors
 * on its side, and no grantor gives more than its part. Who is a grantor goes
 * by a list that is younger than key_max_age_us, in which whoever left counts
 * on for as long, and whoever is new waits for as long; so there are never more
 * than so many. A bucket begins nearly empty, so that a grantor that starts
 * anew gives no token twice.
 */
#define LOG_MODULE "limit"
#include "relay_internal.h"

#include <string.h>
#include <xxhash.h>

/* What a grantor may be silent, until the next one is asked. */
#define ASK_US (60 * USEC_PER_MSEC)
/* One that is no grantor, by its own list, is not asked for so long. */
#define NO_GRANTOR_US (500 * USEC_PER_MSEC)
#define ASK_MOST 64 /* tokens at once */
/* Connections to grantors that are not asked close after that. */
#define UNUSED_US (3 * USEC_PER_SEC)
#define TICK_LIMITS_US (20 * USEC_PER_MSEC)
#define BINDS_US (5 * USEC_PER_SEC) /* a limit that refused binds so long */
#define FORGET_US (60 * USEC_PER_SEC)
#define DEFAULT_AGE_US (5 * USEC_PER_SEC)
/*
 * Of what the rule leaves above rate and burst: how much a bucket holds more,
 * since callers don't come to its grantor evenly; and how much it begins with.
 */
#define SPARE_SHARE 0.5
#define FIRST_SHARE 0.4

struct member {
	char *name;
	uint64_t listed_us; /* 0: it was when this proxy began */
	uint64_t left_us; /* 0: it is listed */
};

struct grantor {
	char *name;
	uint64_t empty_until_us;
};

struct rlimit {
	char *account;
	struct relay *relay;
	/* As one that grants. */
	double tokens;
	uint64_t filled_us; /* 0: not yet */
	/* As one that asks. */
	GQueue waiting; /* struct rsession by arrival */
	struct rconn *ask; /* in flight */
	unsigned n_grantors;
	struct grantor grantors[LIMIT_GRANTORS]; /* in the order of asking */
	unsigned ranked; /* members_changed when they were */
	unsigned chosen;
	uint64_t chosen_us; /* one is waited for since, 0: none is */
	uint64_t refused_us; /* the last operation; 0: it does not bind */
	uint64_t n_refused; /* since it binds */
};

static uint64_t max_age_us(const struct relay *r)
{
	return r->settings.key_max_age_us ? r->settings.key_max_age_us :
					    DEFAULT_AGE_US;
}

static void member_free(gpointer data)
{
	struct member *m = data;

	g_free(m->name);
	g_free(m);
}

static void limit_free(gpointer data)
{
	struct rlimit *l = data;
	unsigned i;

	for (i = 0; i < l->n_grantors; i++)
		g_free(l->grantors[i].name);
	g_free(l->account);
	g_free(l);
}

/* No account has been seen yet. */
void rlm_init(struct relay *r)
{
	r->limits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  limit_free);
	r->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   member_free);
	r->limits_active = g_hash_table_new(NULL, NULL);
	r->grantors = rservice_create(r, RELAY_LIMITS);
	r->grantors->peers = true;
}

/* After the connections and sessions are gone. */
void rlm_clear(struct relay *r)
{
	g_hash_table_destroy(r->limits_active);
	g_hash_table_destroy(r->limits);
	g_hash_table_destroy(r->members);
	rservice_destroy(r->grantors);
}

static void add_member(struct relay *r, const char *name, uint64_t listed_us)
{
	struct member *m = g_hash_table_lookup(r->members, name);

	if (m && !m->left_us)
		return;
	if (!m) {
		m = g_new0(struct member, 1);
		m->name = g_strdup(name);
		g_hash_table_insert(r->members, m->name, m);
		r->members_changed++;
	}
	m->left_us = 0;
	m->listed_us = listed_us;
}

static bool is_listed(const struct relay_server_info *infos, unsigned n_infos,
		      const char *name)
{
	unsigned i;

	for (i = 0; i < n_infos; i++)
		if (!strcmp(infos[i].id, name))
			return true;
	return false;
}

/* The proxies as they are listed now, this one included if it is. */
void rlm_on_peers(struct relay *r, const struct relay_server_info *infos,
		  unsigned n_infos, uint64_t now_us)
{
	bool is_first = !g_hash_table_size(r->members);
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, r->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *m = value;

		if (!m->left_us && !is_listed(infos, n_infos, m->name))
			m->left_us = now_us;
	}
	for (i = 0; i < n_infos; i++)
		add_member(r, infos[i].id, is_first ? 0 : now_us);
}

static void forget_left(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *m = value;

		if (!m->left_us || now_us < m->left_us + max_age_us(r))
			continue;
		g_hash_table_iter_remove(&iter);
		r->members_changed++;
	}
}

static uint64_t score(const char *name, const char *account)
{
	return XXH3_64bits_withSeed(name, strlen(name),
				    XXH3_64bits(account, strlen(account)));
}

static void take_place(const struct member *best[], unsigned *n,
		       const struct member *m, const char *account)
{
	unsigned i, at = *n;

	while (at &&
	       score(m->name, account) > score(best[at - 1]->name, account))
		at--;
	if (at == LIMIT_GRANTORS)
		return;
	*n = MIN(*n + 1, LIMIT_GRANTORS);
	for (i = *n - 1; i > at; i--)
		best[i] = best[i - 1];
	best[at] = m;
}

/* This one first, which costs nothing; then each proxy has its own order. */
static unsigned place_of(const struct rlimit *l, const char *name)
{
	const char *self = l->relay->name;

	if (!strcmp(name, self))
		return 0;
	return 1 + (unsigned)(score(name, self) % G_MAXINT);
}

static int by_place(gconstpointer a, gconstpointer b, gpointer limit)
{
	unsigned x = place_of(limit, ((const struct grantor *)a)->name);
	unsigned y = place_of(limit, ((const struct grantor *)b)->name);

	return (x > y) - (x < y);
}

/* Works out who the account's grantors are, if the list has changed. */
static void rank(struct rlimit *l)
{
	const struct member *best[LIMIT_GRANTORS];
	struct relay *r = l->relay;
	GHashTableIter iter;
	gpointer value;
	unsigned i, n = 0;

	if (l->ranked == r->members_changed || l->ask)
		return;
	l->ranked = r->members_changed;
	g_hash_table_iter_init(&iter, r->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		take_place(best, &n, value, l->account);
	for (i = 0; i < l->n_grantors; i++)
		g_free(l->grantors[i].name);
	for (i = 0; i < n; i++)
		l->grantors[i] =
			(struct grantor){ .name = g_strdup(best[i]->name) };
	l->n_grantors = n;
	l->chosen_us = 0;
	g_qsort_with_data(l->grantors, (gint)n, sizeof(l->grantors[0]),
			  by_place, l);
}

static struct rlimit *limit_of(struct relay *r, const char *account)
{
	struct rlimit *l = g_hash_table_lookup(r->limits, account);

	if (!l) {
		l = g_new0(struct rlimit, 1);
		l->account = g_strdup(account);
		l->relay = r;
		l->ranked = r->members_changed - 1;
		g_queue_init(&l->waiting);
		g_hash_table_insert(r->limits, l->account, l);
	}
	rank(l);
	return l;
}

static bool is_grantor(const struct rlimit *l, uint64_t now_us)
{
	const struct relay *r = l->relay;
	const struct member *self = g_hash_table_lookup(r->members, r->name);
	unsigned i;

	if (!self || self->left_us || r->stopping ||
	    rac_age_us(r, now_us) > max_age_us(r) ||
	    (self->listed_us && now_us < self->listed_us + max_age_us(r)))
		return false;
	for (i = 0; i < l->n_grantors; i++)
		if (!strcmp(l->grantors[i].name, r->name))
			return true;
	return false;
}

/* What the rule leaves above the rate and the burst of a window. */
static double spare_of(const struct relay *r, const struct relay_account *a)
{
	const struct relay_settings *set = &r->settings;
	double window_s = (double)set->limit_window_us / USEC_PER_SEC;

	return set->limit_overage * (a->rate_per_s * window_s + a->burst) +
	       set->limit_slack;
}

/*
 * From when on tokens gather in a bucket that has given none: an earlier life
 * of this process, or the grantor before it, gave those of before.
 */
static uint64_t begins_us(const struct relay *r)
{
	const struct member *self = g_hash_table_lookup(r->members, r->name);
	uint64_t since_us = self->listed_us ? self->listed_us + max_age_us(r) :
					      0;

	return MAX(since_us, r->started_us);
}

static void fill(struct rlimit *l, const struct relay_account *a,
		 uint64_t now_us)
{
	double part = 1.0 / l->n_grantors;
	double spare = spare_of(l->relay, a);
	double most = (a->burst + SPARE_SHARE * spare) * part;

	if (!l->filled_us) {
		l->tokens = FIRST_SHARE * spare * part;
		l->filled_us = begins_us(l->relay);
	}
	l->tokens += a->rate_per_s * part * (double)(now_us - l->filled_us) /
		     USEC_PER_SEC;
	l->tokens = MIN(l->tokens, most);
	l->filled_us = now_us;
}

/* Until a whole token is there. */
static uint64_t until_next_us(const struct rlimit *l,
			      const struct relay_account *a)
{
	double rate = a->rate_per_s / l->n_grantors;

	if (rate <= 0)
		return USEC_PER_SEC;
	return (uint64_t)((1 - l->tokens) / rate * USEC_PER_SEC) + 1;
}

/* Gives up to so many tokens. False: this proxy is no grantor. */
static bool grant(struct rlimit *l, unsigned wanted, unsigned *given,
		  uint64_t *wait_us, uint64_t now_us)
{
	const struct relay_account *a =
		relay_catalog_account(l->relay->catalog, l->account);

	*given = 0;
	*wait_us = 0;
	if (!a || !is_grantor(l, now_us))
		return false;
	fill(l, a, now_us);
	if (a->rate_per_s > 0 || a->burst > 0)
		*given = (unsigned)MIN((double)wanted, l->tokens);
	l->tokens -= *given;
	if (*given < wanted)
		*wait_us = until_next_us(l, a);
	return true;
}

static void answer_ask(struct rsession *s, enum relay_code code,
		       const char *text)
{
	struct relay_answer answer = { .code = code,
				       .text = str_from_c(text),
				       .state = 'I' };

	s->relay->ops->answer(s->relay->ctx, s->id, &answer);
}

/* Another proxy asks for tokens: their account and how many. */
void rlm_on_asked(struct rsession *s, const struct relay_statement *st,
		  uint64_t now_us)
{
	char *account = str_dup(st->name);
	uint64_t wanted = 0, wait_us = 0;
	unsigned given = 0;
	char text[64];

	if (!str_to_u64(st->text, &wanted) ||
	    !relay_catalog_account(s->relay->catalog, account) ||
	    !grant(limit_of(s->relay, account), (unsigned)MIN(wanted, ASK_MOST),
		   &given, &wait_us, now_us)) {
		answer_ask(s, RELAY_MOVED, "no grantor of it");
	} else {
		g_snprintf(text, sizeof(text), "%u %" G_GUINT64_FORMAT, given,
			   wait_us);
		answer_ask(s, RELAY_OK, text);
	}
	g_free(account);
}

static void log_binds(const struct rlimit *l, bool begins)
{
	struct log_line *line =
		log_event(LOG_STATE, begins ? "limit-binds" : "limit-ends");

	if (!line)
		return;
	log_cstr(line, "account", l->account);
	log_u64(line, "refused", l->n_refused);
	log_u64(line, "grantors", l->n_grantors);
	log_event_end(line);
}

static void note_refused(struct rlimit *l, uint64_t now_us)
{
	l->n_refused++;
	counter_add(l->relay->n_limited, 1);
	if (!l->refused_us)
		log_binds(l, true);
	l->refused_us = now_us;
}

/* When the first grantor has a token again; now, if one may have. */
static uint64_t first_us(const struct rlimit *l, uint64_t now_us)
{
	uint64_t first = NEVER_US;
	unsigned i;

	for (i = 0; i < l->n_grantors; i++)
		first = MIN(first, l->grantors[i].empty_until_us);
	return l->n_grantors ? MAX(first, now_us) : NEVER_US;
}

static void refuse(struct rlimit *l, struct rsession *s, uint64_t now_us)
{
	uint64_t first = first_us(l, now_us);
	uint64_t wait_us = first == NEVER_US ? USEC_PER_SEC : first - now_us;
	char text[64];

	note_refused(l, now_us);
	g_snprintf(text, sizeof(text),
		   "the account is at its limit; come back in %u ms",
		   (unsigned)(wait_us / USEC_PER_MSEC) + 1);
	rrun_refuse_limited(s, text, now_us);
}

static void refuse_late(struct rlimit *l, uint64_t first, uint64_t now_us)
{
	GList *link, *next;

	for (link = l->waiting.head; link; link = next) {
		struct rsession *s = link->data;

		next = link->next;
		if (first <= s->run.token_by_us && now_us < s->run.token_by_us)
			continue;
		g_queue_unlink(&l->waiting, link);
		refuse(l, s, now_us);
	}
}

static bool came_later(const struct rlimit *l, uint64_t asked_us)
{
	const struct rsession *s = l->waiting.head->data;

	return s->run.arrived_us > asked_us;
}

/*
 * Operations begin in the order in which they came. A token is of the window in
 * which it was asked for: none is kept for an operation that came later.
 */
static void hand_out(struct rlimit *l, unsigned given, uint64_t asked_us,
		     uint64_t now_us)
{
	while (given-- && l->waiting.head && !came_later(l, asked_us)) {
		GList *link = g_queue_pop_head_link(&l->waiting);

		rrun_begin(link->data, now_us);
	}
}

static struct rserver *server_of(struct relay *r, const char *name,
				 uint64_t now_us)
{
	const struct relay_server_info *p = rvi_find_peer(r, name);
	struct rserver *s;

	if (!p)
		return NULL;
	s = rvi_list_home(r->grantors, p, now_us);
	s->asked_us = now_us;
	return s;
}

static bool fails(const struct rserver *s)
{
	return s->failing_us != 0;
}

/* The next one that may have a token; false: none may now. */
static bool choose(struct rlimit *l, uint64_t now_us)
{
	unsigned i;

	if (l->chosen_us)
		return true;
	for (i = 0; i < l->n_grantors; i++) {
		const struct grantor *g = &l->grantors[i];

		if (now_us < g->empty_until_us)
			continue;
		l->chosen = i;
		l->chosen_us = now_us;
		return true;
	}
	return false;
}

/* The chosen one is not asked again for so long. */
static void leave(struct rlimit *l, uint64_t for_us, uint64_t now_us)
{
	if (l->chosen < l->n_grantors)
		l->grantors[l->chosen].empty_until_us = now_us + for_us;
	l->chosen_us = 0;
}

static void ask_self(struct rlimit *l, uint64_t now_us)
{
	uint64_t wait_us;
	unsigned given;

	if (!grant(l, l->waiting.length, &given, &wait_us, now_us))
		wait_us = NO_GRANTOR_US;
	if (wait_us)
		leave(l, wait_us, now_us);
	l->chosen_us = 0;
	hand_out(l, given, now_us, now_us);
}

static void send_ask(struct rlimit *l, struct rserver *server, uint64_t now_us)
{
	struct rconn *c = g_queue_peek_head(&server->idle);
	char text[STR_U64_SIZE];
	struct relay_statement st = {
		.verb = RELAY_TAKE,
		.name = str_from_c(l->account),
	};

	st.text.data = text;
	st.text.len = str_put_u64(text, MIN(l->waiting.length, ASK_MOST));
	g_queue_unlink(&server->idle, &c->link);
	c->state = RCONN_LENT;
	c->ask = l;
	l->ask = c;
	rcn_send(c, STEP_TAKE, &st, ASK_US, now_us);
}

/* True: an answer is awaited. False: the chosen one can't be asked. */
static bool ask_other(struct rlimit *l, uint64_t now_us)
{
	struct rserver *server =
		server_of(l->relay, l->grantors[l->chosen].name, now_us);

	if (!server || fails(server) || now_us > l->chosen_us + ASK_US) {
		leave(l, NO_GRANTOR_US, now_us);
		return false;
	}
	if (server->idle.length)
		send_ask(l, server, now_us);
	else if (!server->opening.length)
		rcn_open(server, "", now_us);
	return true;
}

/* Asks for what the waiting operations need, one grantor after the other. */
static void serve(struct rlimit *l, uint64_t now_us)
{
	while (l->waiting.length && !l->ask) {
		if (!choose(l, now_us)) {
			refuse_late(l, first_us(l, now_us), now_us);
			return;
		}
		if (!strcmp(l->grantors[l->chosen].name, l->relay->name))
			ask_self(l, now_us);
		else if (ask_other(l, now_us))
			return;
	}
}

/* A grantor's answer. */
void rlm_on_answer(struct rconn *c, const struct relay_answer *answer,
		   uint64_t now_us)
{
	struct rlimit *l = c->ask;
	struct str rest = answer->text;
	uint64_t asked_us = c->sent_us;
	uint64_t given = 0, wait_us = 0;

	c->ask = NULL;
	rcn_give_back(c, now_us);
	if (!l)
		return;
	l->ask = NULL;
	if (answer->code != RELAY_OK ||
	    !str_to_u64(str_take_word(&rest), &given) ||
	    !str_to_u64(rest, &wait_us))
		wait_us = NO_GRANTOR_US;
	if (wait_us)
		leave(l, wait_us, now_us);
	l->chosen_us = 0;
	hand_out(l, (unsigned)given, asked_us, now_us);
	serve(l, now_us);
}

/* The connection ended, and what was asked on it: the next one is asked. */
void rlm_on_lost(struct rconn *c, uint64_t now_us)
{
	struct rlimit *l = c->ask;

	if (!l)
		return;
	c->ask = NULL;
	l->ask = NULL;
	rsv_failed(c->server, false, now_us);
	leave(l, NO_GRANTOR_US, now_us);
}

/* It is closed by this proxy; nothing of it counts any more. */
void rlm_forget(struct rconn *c)
{
	if (!c->ask)
		return;
	c->ask->ask = NULL;
	c->ask->chosen_us = 0;
	c->ask = NULL;
}

/* A connection to a grantor stands, or one was lost. */
void rlm_serve_all(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->limits_active);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct rlimit *)value)->waiting.length)
			serve(value, now_us);
}

/* Whether the session's operation takes a token before it begins. */
bool rlm_applies(const struct rsession *s)
{
	const struct relay *r = s->relay;
	bool has_token = s->state != 'I' && s->limited;

	return r->settings.limits && r->guards.limit_accounts && !s->peer &&
	       *s->account && !has_token;
}

/* The operation waits for its token, which may be there at once. */
void rlm_take(struct rsession *s, uint64_t now_us)
{
	struct rlimit *l = limit_of(s->relay, s->account);

	s->run.state = RRUN_LIMITED;
	g_hash_table_add(s->relay->limits_active, l);
	g_queue_push_tail_link(&l->waiting, &s->run.link);
	serve(l, now_us);
}

/* The session ends, or its operation was given up. */
void rlm_drop(struct rsession *s)
{
	struct rlimit *l = g_hash_table_lookup(s->relay->limits, s->account);

	if (l)
		g_queue_unlink(&l->waiting, &s->run.link);
}

/* The operation has waited for as long as it may. */
void rlm_give_up(struct rsession *s, uint64_t now_us)
{
	struct rlimit *l = g_hash_table_lookup(s->relay->limits, s->account);

	if (!l)
		return;
	g_queue_unlink(&l->waiting, &s->run.link);
	refuse(l, s, now_us);
}

static void close_unused(struct relay *r, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < r->grantors->servers->len; i++) {
		struct rserver *s = rservice_server(r->grantors, i);

		if (!s->listed || now_us < s->asked_us + UNUSED_US)
			continue;
		s->listed = false;
		s->unlisted_us = now_us;
	}
}

/* True: there is nothing left to look after. */
static bool tick_limit(struct rlimit *l, uint64_t now_us)
{
	serve(l, now_us);
	if (l->refused_us && now_us >= l->refused_us + BINDS_US) {
		log_binds(l, false);
		l->refused_us = 0;
		l->n_refused = 0;
	}
	return !l->refused_us && !l->waiting.length && !l->ask;
}

/* Goes on with what waits. */
void rlm_tick(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!r->settings.limits || now_us < r->limits_us + TICK_LIMITS_US)
		return;
	r->limits_us = now_us;
	forget_left(r, now_us);
	close_unused(r, now_us);
	g_hash_table_iter_init(&iter, r->limits_active);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (tick_limit(value, now_us))
			g_hash_table_iter_remove(&iter);
}

static bool is_forgotten(const struct rlimit *l, uint64_t now_us)
{
	const struct relay *r = l->relay;

	return !relay_catalog_account(r->catalog, l->account) &&
	       !g_hash_table_contains(r->limits_active, l) &&
	       now_us > l->filled_us + FORGET_US;
}

/*
 * Accounts that the configuration has no more. One that comes back at once
 * finds its bucket as it was.
 */
void rlm_on_catalog(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->limits);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_forgotten(value, now_us))
			g_hash_table_iter_remove(&iter);
}

/* Appends the limits that bind, as JSON. */
void rlm_write_status(const struct relay *r, GString *out)
{
	const char *comma = "";
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, r->limits_active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rlimit *l = value;

		if (!l->refused_us)
			continue;
		g_string_append_printf(out,
				       "%s{\"account\":\"%s\",\"refused\":"
				       "%" G_GUINT64_FORMAT ",\"grantors\":[",
				       comma, l->account, l->n_refused);
		for (i = 0; i < l->n_grantors; i++)
			g_string_append_printf(out, "%s\"%s\"", i ? "," : "",
					       l->grantors[i].name);
		g_string_append(out, "]}");
		comma = ",";
	}
}
