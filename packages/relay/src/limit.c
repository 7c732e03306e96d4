/*
 * Rate limits of client accounts over all proxies: operations that wait for a
 * token.
 *
 * For each operation that arrives, the proxy asks one of the account's grantors
 * for a token; grantor.c says why all grantors together keep the limit. A
 * grantor without a token answers when it will have one. Until then only the
 * others are asked, and when none has tokens, callers are refused at once.
 */
#define LOG_MODULE "limit"
#include "homes.h"
#include "limit_internal.h"

#include <string.h>

/* How long a grantor's answer is awaited before the next one is asked. */
#define GRANT_TIMEOUT_US (60 * USEC_PER_MSEC)
/* How long a proxy is not asked that failed or says that it is no grantor. */
#define FAILED_GRANTOR_BACKOFF_US (500 * USEC_PER_MSEC)
/* Connections to a grantor close this long after the last request. */
#define UNUSED_CLOSE_US (3 * USEC_PER_SEC)
#define LIMITS_TICK_US (20 * USEC_PER_MSEC)
/* A limit is in force ("binds") for this long after its last refusal. */
#define BINDS_US (5 * USEC_PER_SEC)
/* A removed account's bucket is kept this long after its last refill. */
#define FORGET_US (60 * USEC_PER_SEC)
/* After how long callers are told to retry where no grantor is known. */
#define NO_GRANTOR_RETRY_AFTER_US USEC_PER_SEC
/* The period over which the rate of tokens that came here is averaged. */
#define GIVEN_AVERAGE_US USEC_PER_SEC
/* Lower bound of that rate where refused callers are told when to retry. */
#define MIN_GIVEN_PER_S 1.0

static void limit_free(gpointer data)
{
	struct rlimit *l = data;
	unsigned i;

	for (i = 0; i < l->n_grantors; i++)
		g_free(l->grantors[i].name);
	g_free(l->account);
	g_free(l);
}

/* Creates the empty tables of limits. */
void rlimit_init(struct relay *r)
{
	r->limits = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					  limit_free);
	r->limits_active = g_hash_table_new(NULL, NULL);
	r->grantors = rservice_create(r, RELAY_LIMITS);
	r->grantors->peers = true;
	rgrantor_init(r);
}

/* Frees the tables; no connection or session may exist any more. */
void rlimit_clear(struct relay *r)
{
	rgrantor_clear(r);
	g_hash_table_destroy(r->limits_active);
	g_hash_table_destroy(r->limits);
	rservice_destroy(r->grantors);
}

/* The limit of an account, created on first use. */
struct rlimit *rlimit_find(struct relay *r, const char *account)
{
	struct rlimit *l = g_hash_table_lookup(r->limits, account);

	if (!l) {
		l = g_new0(struct rlimit, 1);
		l->account = g_strdup(account);
		l->relay = r;
		l->ranked = r->n_member_changes - 1;
		g_queue_init(&l->waiting);
		g_hash_table_insert(r->limits, l->account, l);
	}
	rgrantor_update_ranking(l);
	return l;
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

/* Updates the average rate with n tokens that came now; n may be 0. */
static void update_given_rate(struct rlimit *l, unsigned n, uint64_t now_us)
{
	uint64_t since_us = MIN(now_us - l->given_at_us, GIVEN_AVERAGE_US);
	double kept = 1 - (double)since_us / GIVEN_AVERAGE_US;

	l->given_per_s = l->given_per_s * kept +
			 n * (double)USEC_PER_SEC / GIVEN_AVERAGE_US;
	l->given_at_us = now_us;
}

/* Assumes the account's whole rate until this proxy's part of it is known. */
static void begin_binding(struct rlimit *l, uint64_t now_us)
{
	const struct relay_account *a =
		relay_catalog_account(l->relay->catalog, l->account);

	log_binds(l, true);
	l->given_per_s = a ? a->rate_per_s : 0;
	l->given_at_us = now_us;
	l->last_retry_at_us = 0;
}

static void record_refused(struct rlimit *l, uint64_t now_us)
{
	l->n_refused++;
	counter_add(l->relay->n_limited, 1);
	if (!l->last_refused_at_us)
		begin_binding(l, now_us);
	l->last_refused_at_us = now_us;
}

/* When the first grantor may have a token, not before now; NEVER_US: none. */
static uint64_t first_token_at_us(const struct rlimit *l, uint64_t now_us)
{
	uint64_t first_at_us = NEVER_US;
	unsigned i;

	for (i = 0; i < l->n_grantors; i++)
		first_at_us = MIN(first_at_us, l->grantors[i].backoff_until_us);
	return l->n_grantors ? MAX(first_at_us, now_us) : NEVER_US;
}

/*
 * After how long the next refused caller should retry. If all were told when
 * the next token comes, they would retry together, one would get it, and the
 * others would use up their retries. So each is told a time after that of the
 * one refused before, at the intervals in which tokens come here.
 */
static uint64_t next_retry_after_us(struct rlimit *l, uint64_t now_us)
{
	uint64_t first_at_us = first_token_at_us(l, now_us);
	uint64_t apart_us;

	if (first_at_us == NEVER_US)
		return NO_GRANTOR_RETRY_AFTER_US;
	update_given_rate(l, 0, now_us);
	apart_us =
		(uint64_t)(USEC_PER_SEC / MAX(l->given_per_s, MIN_GIVEN_PER_S));
	l->last_retry_at_us = MAX(first_at_us, l->last_retry_at_us + apart_us);
	return l->last_retry_at_us - now_us;
}

static void refuse(struct rlimit *l, struct rsession *s, uint64_t now_us)
{
	uint64_t wait_us;
	char text[64];

	record_refused(l, now_us);
	wait_us = next_retry_after_us(l, now_us);
	g_snprintf(text, sizeof(text),
		   "the account is at its limit; come back in %u ms",
		   (unsigned)(wait_us / USEC_PER_MSEC) + 1);
	rrun_fail(s, RELAY_BUSY, text, now_us);
}

static void refuse_unservable(struct rlimit *l, uint64_t first_at_us,
			      uint64_t now_us)
{
	GList *link, *next;

	for (link = l->waiting.head; link; link = next) {
		struct rsession *s = link->data;

		next = link->next;
		if (first_at_us <= s->run.token_deadline_us &&
		    now_us < s->run.token_deadline_us)
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
 * Starts operations in the order of arrival, one for each token. A token counts
 * in the time window in which it was asked for, so none is kept for an
 * operation that arrived after the request.
 */
static void distribute(struct rlimit *l, unsigned given, uint64_t asked_us,
		       uint64_t now_us)
{
	update_given_rate(l, given, now_us);
	while (given-- && l->waiting.head && !came_later(l, asked_us)) {
		GList *link = g_queue_pop_head_link(&l->waiting);

		rrun_begin(link->data, now_us);
	}
}

static struct rserver *server_of(struct relay *r, const char *name,
				 uint64_t now_us)
{
	const struct relay_server_info *p = peers_find(r, name);
	struct rserver *s;

	if (!p)
		return NULL;
	s = via_list_home(r->grantors, p, now_us);
	s->asked_us = now_us;
	return s;
}

static bool is_failing(const struct rserver *s)
{
	return s->failing_since_us != 0;
}

/* Chooses the first grantor that may have a token; false: none may now. */
static bool choose_grantor(struct rlimit *l, uint64_t now_us)
{
	unsigned i;

	if (l->chosen_at_us)
		return true;
	for (i = 0; i < l->n_grantors; i++) {
		const struct grantor *g = &l->grantors[i];

		if (now_us < g->backoff_until_us)
			continue;
		l->chosen = i;
		l->chosen_at_us = now_us;
		return true;
	}
	return false;
}

/* The chosen grantor is not asked again for that time. */
static void back_off(struct rlimit *l, uint64_t for_us, uint64_t now_us)
{
	if (l->chosen < l->n_grantors)
		l->grantors[l->chosen].backoff_until_us = now_us + for_us;
	l->chosen_at_us = 0;
}

static void ask_self(struct rlimit *l, uint64_t now_us)
{
	uint64_t wait_us;
	unsigned given;

	if (!rgrantor_grant(l, l->waiting.length, &given, &wait_us, now_us))
		wait_us = FAILED_GRANTOR_BACKOFF_US;
	if (wait_us)
		back_off(l, wait_us, now_us);
	l->chosen_at_us = 0;
	distribute(l, given, now_us, now_us);
}

static void send_request(struct rlimit *l, struct rserver *server,
			 uint64_t now_us)
{
	struct rconn *c = g_queue_peek_head(&server->idle);
	char text[STR_U64_SIZE];
	struct relay_statement st = {
		.verb = RELAY_TAKE,
		.name = str_from_c(l->account),
	};

	st.text.data = text;
	st.text.len = str_put_u64(text, l->waiting.length);
	g_queue_unlink(&server->idle, &c->link);
	c->state = RCONN_IN_USE;
	c->ask = l;
	l->ask = c;
	rconn_send(c, STEP_TAKE, &st, GRANT_TIMEOUT_US, now_us);
}

/*
 * Asks the chosen grantor, another proxy, once there is a connection. Returns
 * false if it can't be asked.
 */
static bool ask_other(struct rlimit *l, uint64_t now_us)
{
	struct rserver *server =
		server_of(l->relay, l->grantors[l->chosen].name, now_us);

	if (!server || is_failing(server) ||
	    now_us > l->chosen_at_us + GRANT_TIMEOUT_US) {
		back_off(l, FAILED_GRANTOR_BACKOFF_US, now_us);
		return false;
	}
	if (server->idle.length)
		send_request(l, server, now_us);
	else if (!server->opening.length)
		rconn_open(server, "", now_us);
	return true;
}

/* Asks one grantor after the other for tokens for the waiting operations. */
static void request_tokens(struct rlimit *l, uint64_t now_us)
{
	while (l->waiting.length && !l->ask) {
		if (!choose_grantor(l, now_us)) {
			refuse_unservable(l, first_token_at_us(l, now_us),
					  now_us);
			return;
		}
		if (!strcmp(l->grantors[l->chosen].name, l->relay->name))
			ask_self(l, now_us);
		else if (ask_other(l, now_us))
			return;
	}
}

/* Handles a grantor's answer: the tokens, and when it will have more. */
void rlimit_on_answer(struct rconn *c, const struct relay_answer *answer,
		      uint64_t now_us)
{
	struct rlimit *l = c->ask;
	struct str rest = answer->text;
	uint64_t asked_us = c->sent_us;
	uint64_t given = 0, wait_us = 0;

	c->ask = NULL;
	rconn_release(c, now_us);
	if (!l)
		return;
	l->ask = NULL;
	if (answer->code != RELAY_OK ||
	    !str_to_u64(str_split_first_word(&rest), &given) ||
	    !str_to_u64(rest, &wait_us))
		wait_us = FAILED_GRANTOR_BACKOFF_US;
	if (wait_us)
		back_off(l, wait_us, now_us);
	l->chosen_at_us = 0;
	distribute(l, (unsigned)given, asked_us, now_us);
	request_tokens(l, now_us);
}

/* Handles a lost connection with a request: the next grantor is asked. */
void rlimit_on_lost(struct rconn *c, uint64_t now_us)
{
	struct rlimit *l = c->ask;

	if (!l)
		return;
	c->ask = NULL;
	l->ask = NULL;
	rserver_on_failure(c->server, false, now_us);
	back_off(l, FAILED_GRANTOR_BACKOFF_US, now_us);
}

/* Drops the request in flight on a connection that this proxy closes. */
void rlimit_on_closing(struct rconn *c)
{
	if (!c->ask)
		return;
	c->ask->ask = NULL;
	c->ask->chosen_at_us = 0;
	c->ask = NULL;
}

/* Goes on with all limits after a connection was opened or lost. */
void rlimit_request_all(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->limits_active);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct rlimit *)value)->waiting.length)
			request_tokens(value, now_us);
}

/* Whether the session's operation needs a token before it starts. */
bool rlimit_applies(const struct rsession *s)
{
	const struct relay *r = s->relay;
	bool has_token = s->state != 'I' && s->has_txn_token;

	return r->settings.limits && r->guards.limit_accounts && !s->peer &&
	       *s->account && !has_token;
}

/* Queues the operation for a token, which it may get at once. */
void rlimit_queue(struct rsession *s, uint64_t now_us)
{
	struct rlimit *l = rlimit_find(s->relay, s->account);

	s->run.state = RRUN_AWAITING_TOKEN;
	g_hash_table_add(s->relay->limits_active, l);
	g_queue_push_tail_link(&l->waiting, &s->run.link);
	request_tokens(l, now_us);
}

/* Removes the operation of a session that ends from the queue. */
void rlimit_dequeue(struct rsession *s)
{
	struct rlimit *l = g_hash_table_lookup(s->relay->limits, s->account);

	if (l)
		g_queue_unlink(&l->waiting, &s->run.link);
}

/* Refuses an operation that has waited too long for its token. */
void rlimit_on_timeout(struct rsession *s, uint64_t now_us)
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

		if (!s->listed || now_us < s->asked_us + UNUSED_CLOSE_US)
			continue;
		s->listed = false;
		s->unlisted_at_us = now_us;
	}
}

/* Handles a limit's timers; true: it needs none any more. */
static bool tick_limit(struct rlimit *l, uint64_t now_us)
{
	request_tokens(l, now_us);
	if (l->last_refused_at_us &&
	    now_us >= l->last_refused_at_us + BINDS_US) {
		log_binds(l, false);
		l->last_refused_at_us = 0;
		l->n_refused = 0;
	}
	return !l->last_refused_at_us && !l->waiting.length && !l->ask;
}

/* Handles the timers of all limits. */
void rlimit_tick(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (!r->settings.limits ||
	    now_us < r->limits_ticked_at_us + LIMITS_TICK_US)
		return;
	r->limits_ticked_at_us = now_us;
	rgrantor_tick(r, now_us);
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
	       now_us > l->refilled_at_us + FORGET_US;
}

/*
 * Drops the limits of accounts that are no longer configured. An account that
 * is soon configured again finds its bucket unchanged.
 */
void rlimit_on_catalog(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->limits);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (is_forgotten(value, now_us))
			g_hash_table_iter_remove(&iter);
}

/* Appends the limits in force, as JSON. */
void rlimit_write_status(const struct relay *r, GString *out)
{
	const char *comma = "";
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, r->limits_active);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rlimit *l = value;

		if (!l->last_refused_at_us)
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
