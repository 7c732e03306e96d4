/*
 * Which proxies give tokens of an account's rate limit, and how many; limit.c
 * has the requests for them.
 *
 * An account's grantors are the first MAX_GRANTORS listed proxies in
 * rendezvous order. Each has a token bucket with an equal part of the account's
 * rate and burst.
 *
 * Failure: the two sides of a network partition each count an account's
 * operations, and together admit twice its limit. Guard: each side reaches only
 * its own grantors, and no grantor gives more than its part. A grantor needs a
 * list that is at most key_max_age_us old. A proxy that left the list is ranked
 * for that long after, and a new one gives no tokens for that long, so there
 * are never more than MAX_GRANTORS at once. A bucket starts nearly empty, so
 * that a grantor that restarts gives no token twice.
 */
#define LOG_MODULE "grantor"
#include "limit_internal.h"

#include <string.h>
#include <xxhash.h>

#define MAX_TOKENS_PER_REQUEST 64
/* The greatest age of a list where key_max_age_us sets no limit. */
#define DEFAULT_MAX_AGE_US (5 * USEC_PER_SEC)
/*
 * Parts of the allowance above rate and burst (see allowed_excess()): what a
 * bucket holds in addition, since requests are not spread evenly over the
 * grantors, and what it starts with.
 */
#define BUCKET_SPARE_SHARE 0.5
#define INITIAL_SPARE_SHARE 0.4

static uint64_t list_max_age_us(const struct relay *r)
{
	return r->settings.key_max_age_us ? r->settings.key_max_age_us :
					    DEFAULT_MAX_AGE_US;
}

static void member_free(gpointer data)
{
	struct member *m = data;

	g_free(m->name);
	g_free(m);
}

/* Creates the empty table of proxies that may be grantors. */
void rgrantor_init(struct relay *r)
{
	r->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   member_free);
}

/* Frees the table; no limit may exist any more. */
void rgrantor_clear(struct relay *r)
{
	g_hash_table_destroy(r->members);
}

static struct member *member_of(struct relay *r, const char *name)
{
	struct member *m = g_hash_table_lookup(r->members, name);

	if (m)
		return m;
	m = g_new0(struct member, 1);
	m->name = g_strdup(name);
	m->left_us = NEVER_US; /* until it is listed */
	g_hash_table_insert(r->members, m->name, m);
	r->n_member_changes++;
	return m;
}

static void record_listed(struct relay *r, const char *name,
			  uint64_t listed_at_us)
{
	struct member *m = member_of(r, name);

	m->list = r->n_member_lists;
	if (!m->left_us)
		return;
	m->left_us = 0;
	m->listed_at_us = listed_at_us;
}

static void record_left(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *m = value;

		if (!m->left_us && m->list != r->n_member_lists)
			m->left_us = now_us;
	}
}

/* Handles a new list of proxies, which may include this one. */
void rgrantor_on_peers(struct relay *r, const struct relay_server_info *infos,
		       unsigned n_infos, uint64_t now_us)
{
	bool is_first = !r->n_member_lists;
	unsigned i;

	if (!r->settings.limits)
		return;
	r->n_member_lists++;
	for (i = 0; i < n_infos; i++)
		record_listed(r, infos[i].id, is_first ? 0 : now_us);
	record_left(r, now_us);
}

/* Drops proxies that left so long ago that no list in use has them. */
void rgrantor_tick(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct member *m = value;

		if (!m->left_us || now_us < m->left_us + list_max_age_us(r))
			continue;
		g_hash_table_iter_remove(&iter);
		r->n_member_changes++;
	}
}

static uint64_t score(const char *name, const char *account)
{
	return XXH3_64bits_withSeed(name, strlen(name),
				    XXH3_64bits(account, strlen(account)));
}

/* Inserts a proxy into the best ones by score if it is one of them. */
static void insert_ranked(const struct member *best[], unsigned *n,
			  const struct member *m, const char *account)
{
	unsigned i, at = *n;

	while (at &&
	       score(m->name, account) > score(best[at - 1]->name, account))
		at--;
	if (at == MAX_GRANTORS)
		return;
	*n = MIN(*n + 1, MAX_GRANTORS);
	for (i = *n - 1; i > at; i--)
		best[i] = best[i - 1];
	best[at] = m;
}

/*
 * Orders the grantors to ask: this proxy first, since that needs no request,
 * then the others in an order that differs between proxies.
 */
static unsigned asking_order(const struct rlimit *l, const char *name)
{
	const char *self = l->relay->name;

	if (!strcmp(name, self))
		return 0;
	return 1 + (unsigned)(score(name, self) % G_MAXINT);
}

static int compare_asking_order(gconstpointer a, gconstpointer b,
				gpointer limit)
{
	unsigned x = asking_order(limit, ((const struct grantor *)a)->name);
	unsigned y = asking_order(limit, ((const struct grantor *)b)->name);

	return (x > y) - (x < y);
}

static bool is_self_ranked(const struct rlimit *l)
{
	unsigned i;

	for (i = 0; i < l->n_grantors; i++)
		if (!strcmp(l->grantors[i].name, l->relay->name))
			return true;
	return false;
}

/*
 * Empties the bucket of a new grantor: the former one may have given the tokens
 * that would have gathered here.
 */
static void empty_bucket(struct rlimit *l)
{
	l->tokens = 0;
	l->refilled_at_us = l->relay->ticked_us;
}

/* Determines the account's grantors anew if the list has changed. */
void rgrantor_update_ranking(struct rlimit *l)
{
	const struct member *best[MAX_GRANTORS];
	bool was_other = l->n_grantors && !is_self_ranked(l);
	struct relay *r = l->relay;
	GHashTableIter iter;
	gpointer value;
	unsigned i, n = 0;

	if (l->ranked == r->n_member_changes)
		return;
	l->ranked = r->n_member_changes;
	g_hash_table_iter_init(&iter, r->members);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		insert_ranked(best, &n, value, l->account);
	for (i = 0; i < l->n_grantors; i++)
		g_free(l->grantors[i].name);
	for (i = 0; i < n; i++)
		l->grantors[i] =
			(struct grantor){ .name = g_strdup(best[i]->name) };
	l->n_grantors = n;
	l->chosen = n; /* the request in flight went by the old ranking */
	l->chosen_at_us = 0;
	g_qsort_with_data(l->grantors, (gint)n, sizeof(l->grantors[0]),
			  compare_asking_order, l);
	if (was_other && is_self_ranked(l))
		empty_bucket(l);
}

static bool is_grantor(const struct rlimit *l, uint64_t now_us)
{
	const struct relay *r = l->relay;
	const struct member *self = g_hash_table_lookup(r->members, r->name);

	if (!self || self->left_us || r->stopping ||
	    raccount_keys_age_us(r, now_us) > list_max_age_us(r) ||
	    (self->listed_at_us &&
	     now_us < self->listed_at_us + list_max_age_us(r)))
		return false;
	return is_self_ranked(l);
}

/*
 * The operations that may be admitted in a time window above the account's rate
 * and burst, by the settings limit_overage and limit_slack.
 */
static double allowed_excess(const struct relay *r,
			     const struct relay_account *a)
{
	const struct relay_settings *set = &r->settings;
	double window_s = (double)set->limit_window_us / USEC_PER_SEC;

	return set->limit_overage * (a->rate_per_s * window_s + a->burst) +
	       set->limit_slack;
}

/*
 * From when on tokens gather in an unused bucket. This process before a
 * restart, or the former grantor, may have given those from before.
 */
static uint64_t filling_since_us(const struct relay *r)
{
	const struct member *self = g_hash_table_lookup(r->members, r->name);
	uint64_t since_us = self->listed_at_us ?
				    self->listed_at_us + list_max_age_us(r) :
				    0;

	return MAX(since_us, r->started_us);
}

static void refill(struct rlimit *l, const struct relay_account *a,
		   uint64_t now_us)
{
	double share = 1.0 / l->n_grantors;
	double spare = allowed_excess(l->relay, a);
	double capacity = (a->burst + BUCKET_SPARE_SHARE * spare) * share;

	if (!l->refilled_at_us) {
		l->tokens = INITIAL_SPARE_SHARE * spare * share;
		l->refilled_at_us = filling_since_us(l->relay);
	}
	l->tokens += a->rate_per_s * share *
		     (double)(now_us - l->refilled_at_us) / USEC_PER_SEC;
	l->tokens = MIN(l->tokens, capacity);
	l->refilled_at_us = now_us;
}

/* The time until the bucket has a whole token. */
static uint64_t next_token_after_us(const struct rlimit *l,
				    const struct relay_account *a)
{
	double rate = a->rate_per_s / l->n_grantors;

	if (rate <= 0)
		return USEC_PER_SEC;
	return (uint64_t)((1 - l->tokens) / rate * USEC_PER_SEC) + 1;
}

/*
 * Gives up to `wanted` tokens; when fewer, wait_us is the time until the next.
 * Returns false if this proxy is no grantor of the account.
 */
bool rgrantor_grant(struct rlimit *l, unsigned wanted, unsigned *given,
		    uint64_t *wait_us, uint64_t now_us)
{
	const struct relay_account *a =
		relay_catalog_account(l->relay->catalog, l->account);

	*given = 0;
	*wait_us = 0;
	rgrantor_update_ranking(l);
	if (!a || !is_grantor(l, now_us))
		return false;
	refill(l, a, now_us);
	if (a->rate_per_s > 0 || a->burst > 0)
		*given = (unsigned)MIN((double)wanted, l->tokens);
	l->tokens -= *given;
	if (*given < wanted)
		*wait_us = next_token_after_us(l, a);
	return true;
}

static void send_answer(struct rsession *s, enum relay_code code,
			const char *text)
{
	struct relay_answer answer = { .code = code,
				       .text = str_from_c(text),
				       .state = 'I' };

	s->relay->ops->answer(s->relay->ctx, s->id, &answer);
}

/* Answers another proxy's request for a number of an account's tokens. */
void rgrantor_on_request(struct rsession *s, const struct relay_statement *st,
			 uint64_t now_us)
{
	char *account = str_dup(st->name);
	uint64_t wanted = 0, wait_us = 0;
	unsigned given = 0;
	char text[64];

	if (!str_to_u64(st->text, &wanted) ||
	    !relay_catalog_account(s->relay->catalog, account) ||
	    !rgrantor_grant(rlimit_find(s->relay, account),
			    (unsigned)MIN(wanted, MAX_TOKENS_PER_REQUEST),
			    &given, &wait_us, now_us)) {
		send_answer(s, RELAY_MOVED, "no grantor of it");
	} else {
		g_snprintf(text, sizeof(text), "%u %" G_GUINT64_FORMAT, given,
			   wait_us);
		send_answer(s, RELAY_OK, text);
	}
	g_free(account);
}
