/*
 * Who gives tokens of an account's limit, and how many; limit.c says how they
 * are asked for.
 *
 * The first few of the listed proxies in rendezvous order are the account's
 * grantors. Each has a token bucket with its part of the rate and of the burst.
 *
 * Failure: two halves of a split fleet each count an account's operations, and
 * together let twice its limit through. Guard: each half has only the grantors
 * on its side, and no grantor gives more than its part. Who is a grantor goes
 * by a list that is younger than key_max_age_us, in which whoever left counts
 * on for as long, and whoever is new waits for as long; so there are never more
 * than so many. A bucket begins nearly empty, so that a grantor that starts
 * anew gives no token twice.
 */
#define LOG_MODULE "grantor"
#include "limit_internal.h"

#include <string.h>
#include <xxhash.h>

#define ASK_MOST 64 /* tokens at once */
#define DEFAULT_AGE_US (5 * USEC_PER_SEC)
/*
 * Of what the rule leaves above rate and burst: how much a bucket holds more,
 * since callers don't come to its grantor evenly; and how much it begins with.
 */
#define SPARE_SHARE 0.5
#define FIRST_SHARE 0.4

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

/* Nobody is listed yet. */
void rgr_init(struct relay *r)
{
	r->members = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   member_free);
}

/* After the limits are gone. */
void rgr_clear(struct relay *r)
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
	r->members_changed++;
	return m;
}

static void note_listed(struct relay *r, const char *name, uint64_t listed_us)
{
	struct member *m = member_of(r, name);

	m->list = r->members_lists;
	if (!m->left_us)
		return;
	m->left_us = 0;
	m->listed_us = listed_us;
}

static void note_left(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->members);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct member *m = value;

		if (!m->left_us && m->list != r->members_lists)
			m->left_us = now_us;
	}
}

/* The proxies as they are listed now, this one included if it is. */
void rgr_on_peers(struct relay *r, const struct relay_server_info *infos,
		  unsigned n_infos, uint64_t now_us)
{
	bool is_first = !r->members_lists;
	unsigned i;

	if (!r->settings.limits)
		return;
	r->members_lists++;
	for (i = 0; i < n_infos; i++)
		note_listed(r, infos[i].id, is_first ? 0 : now_us);
	note_left(r, now_us);
}

/* Forgets who left so long ago that nobody goes by a list with it. */
void rgr_tick(struct relay *r, uint64_t now_us)
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

static bool is_ranked(const struct rlimit *l)
{
	unsigned i;

	for (i = 0; i < l->n_grantors; i++)
		if (!strcmp(l->grantors[i].name, l->relay->name))
			return true;
	return false;
}

/* The grantor before it has given what could have gathered here. */
static void begin_empty(struct rlimit *l)
{
	l->tokens = 0;
	l->filled_us = l->relay->ticked_us;
}

/* Works out who the account's grantors are, if the list has changed. */
void rgr_rank(struct rlimit *l)
{
	const struct member *best[LIMIT_GRANTORS];
	bool was_other = l->n_grantors && !is_ranked(l);
	struct relay *r = l->relay;
	GHashTableIter iter;
	gpointer value;
	unsigned i, n = 0;

	if (l->ranked == r->members_changed)
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
	l->chosen = n; /* what is in flight is of the ranking before */
	l->chosen_us = 0;
	g_qsort_with_data(l->grantors, (gint)n, sizeof(l->grantors[0]),
			  by_place, l);
	if (was_other && is_ranked(l))
		begin_empty(l);
}

static bool is_grantor(const struct rlimit *l, uint64_t now_us)
{
	const struct relay *r = l->relay;
	const struct member *self = g_hash_table_lookup(r->members, r->name);

	if (!self || self->left_us || r->stopping ||
	    rac_age_us(r, now_us) > max_age_us(r) ||
	    (self->listed_us && now_us < self->listed_us + max_age_us(r)))
		return false;
	return is_ranked(l);
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
bool rgr_grant(struct rlimit *l, unsigned wanted, unsigned *given,
	       uint64_t *wait_us, uint64_t now_us)
{
	const struct relay_account *a =
		relay_catalog_account(l->relay->catalog, l->account);

	*given = 0;
	*wait_us = 0;
	rgr_rank(l);
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
void rgr_on_asked(struct rsession *s, const struct relay_statement *st,
		  uint64_t now_us)
{
	char *account = str_dup(st->name);
	uint64_t wanted = 0, wait_us = 0;
	unsigned given = 0;
	char text[64];

	if (!str_to_u64(st->text, &wanted) ||
	    !relay_catalog_account(s->relay->catalog, account) ||
	    !rgr_grant(rlm_find(s->relay, account),
		       (unsigned)MIN(wanted, ASK_MOST), &given, &wait_us,
		       now_us)) {
		answer_ask(s, RELAY_MOVED, "no grantor of it");
	} else {
		g_snprintf(text, sizeof(text), "%u %" G_GUINT64_FORMAT, given,
			   wait_us);
		answer_ask(s, RELAY_OK, text);
	}
	g_free(account);
}
