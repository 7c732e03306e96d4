/*
 * Promotions that may still take effect.
 *
 * Failure: a proxy asks the platform to promote a server, gets no answer, and
 * loses the duty or ends. Its successor knows nothing of the call and promotes
 * another server. The first promotion takes effect as well: proxies rely on its
 * server until the second one leads, and what it acknowledges is lost. Guard:
 * the claim that a promotion is made under states it, so each proxy that claims
 * after it knows of it, whatever became of the call. As long as it may take
 * effect the service's next promotion names the same server, which is harmless
 * twice; if that server can't lead, no other is named until AWAITED_US have
 * passed.
 *
 * A promotion is not pending any more once its claimant had it refused, or its
 * server was seen to lead in a newer term, which one promotion causes. The
 * others are forgotten after KEPT_US.
 *
 * A store that returns from an older copy may have forgotten claims. What this
 * proxy knows of is kept, and an unknown promotion of any service is awaited.
 */
#define LOG_MODULE "pending"
#include "pending.h"

#include <celeryquay/base/log.h>
#include <celeryquay/base/log_event.h>
#include <celeryquay/core/types.h>

#include <string.h>

/*
 * From the sight of a claim until its promotions take effect or never will: the
 * call is made and given up within 2.4 s of the claim, and carried out within a
 * second once the platform reads it. The rest is for a slow platform.
 */
#define AWAITED_US (10 * USEC_PER_SEC)
/* The same server is named for this long if it can lead. */
#define KEPT_US (60 * USEC_PER_SEC)
/* A claim by another proxy may restate what was settled or dropped here. */
#define REMEMBERED_US (2 * KEPT_US)
/* A claim by a release that states no promotions, or one that is forgotten. */
#define UNSTATED_US (5 * USEC_PER_SEC)

enum state {
	PLANNED, /* by this process, which has not called the platform */
	PENDING,
	ACCEPTED, /* by the platform, in answer to this process */
	SETTLED, /* took effect or never will */
};

struct entry {
	char *service;
	char *server;
	uint64_t claim; /* record's revision before the claim that stated it */
	uint64_t term; /* newest term that the claimant had seen */
	uint64_t seen_at_us; /* when this proxy first saw that claim */
	bool own; /* stated by this process */
	uint64_t token; /* that this process sent it with, 0: it hasn't */
	bool answered; /* or given up */
	enum state state;
};

struct rpending {
	GPtrArray *entries; /* struct entry */
	GHashTable *led_terms; /* service -> uint64_t, newest term counted */
	uint64_t claim; /* of the claim in preparation, or the last one */
	uint64_t unstated_until_us; /* unknown promotions may take effect */
};

static void entry_free(gpointer data)
{
	struct entry *e = data;

	g_free(e->service);
	g_free(e->server);
	g_free(e);
}

struct rpending *rpending_create(void)
{
	struct rpending *p = g_new0(struct rpending, 1);

	p->entries = g_ptr_array_new_with_free_func(entry_free);
	p->led_terms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return p;
}

void rpending_destroy(struct rpending *p)
{
	g_ptr_array_unref(p->entries);
	g_hash_table_destroy(p->led_terms);
	g_free(p);
}

static struct entry *entry_at(const struct rpending *p, unsigned i)
{
	return p->entries->pdata[i];
}

static bool is_live(const struct entry *e, uint64_t now_us)
{
	return (e->state == PENDING || e->state == ACCEPTED) &&
	       now_us < e->seen_at_us + KEPT_US;
}

static void drop_old(struct rpending *p, uint64_t now_us)
{
	unsigned i;

	for (i = p->entries->len; i; i--)
		if (now_us >= entry_at(p, i - 1)->seen_at_us + REMEMBERED_US)
			g_ptr_array_remove_index_fast(p->entries, i - 1);
}

static struct entry *find(const struct rpending *p,
			  const struct relay_promotion *promotion)
{
	unsigned i;

	for (i = 0; i < p->entries->len; i++) {
		struct entry *e = entry_at(p, i);

		if (e->claim == promotion->claim &&
		    !strcmp(e->service, promotion->service) &&
		    !strcmp(e->server, promotion->server))
			return e;
	}
	return NULL;
}

static struct entry *add(struct rpending *p,
			 const struct relay_promotion *promotion,
			 uint64_t now_us)
{
	struct entry *e = g_new0(struct entry, 1);

	e->service = g_strdup(promotion->service);
	e->server = g_strdup(promotion->server);
	e->claim = promotion->claim;
	e->term = promotion->term;
	e->seen_at_us = now_us;
	g_ptr_array_add(p->entries, e);
	return e;
}

static void log_stated(const struct entry *e)
{
	struct log_line *l = log_event(LOG_STATE, "promotion-stated");

	if (!l)
		return;
	log_cstr(l, "service", e->service);
	log_cstr(l, "server", e->server);
	log_u64(l, "claim", e->claim);
	log_bool(l, "own", e->own);
	log_event_end(l);
}

void rpending_on_duty(struct rpending *p, const struct relay_duty *duty,
		      uint64_t now_us)
{
	unsigned i;

	drop_old(p, now_us);
	if (!duty->states_promotions)
		p->unstated_until_us = now_us + UNSTATED_US;
	for (i = 0; i < duty->n_promotions; i++) {
		struct entry *e = find(p, &duty->promotions[i]);

		if (e)
			continue;
		e = add(p, &duty->promotions[i], now_us);
		e->state = PENDING;
		log_stated(e);
	}
}

void rpending_on_store_returned(struct rpending *p, uint64_t now_us)
{
	p->unstated_until_us = now_us + UNSTATED_US;
}

void rpending_begin_claim(struct rpending *p, uint64_t expected,
			  uint64_t now_us)
{
	unsigned i;

	drop_old(p, now_us);
	p->claim = expected;
	for (i = 0; i < p->entries->len; i++)
		if (entry_at(p, i)->state == PLANNED)
			entry_at(p, i)->state = SETTLED;
}

void rpending_plan(struct rpending *p, const char *service, const char *server,
		   uint64_t term, uint64_t now_us)
{
	struct relay_promotion promotion = { service, server, p->claim, term };
	struct entry *e = find(p, &promotion);

	if (!e)
		e = add(p, &promotion, now_us);
	if (e->own ? e->state != SETTLED : e->state == PENDING)
		return;
	e->own = true;
	e->state = PLANNED;
	log_stated(e);
}

struct relay_promotion *rpending_list(const struct rpending *p, unsigned *n,
				      uint64_t now_us)
{
	struct relay_promotion *list =
		g_new(struct relay_promotion, p->entries->len);
	unsigned i;

	*n = 0;
	for (i = 0; i < p->entries->len; i++) {
		const struct entry *e = entry_at(p, i);

		if (e->state == PLANNED || is_live(e, now_us))
			list[(*n)++] =
				(struct relay_promotion){ e->service, e->server,
							  e->claim, e->term };
	}
	return list;
}

bool rpending_is_planned(const struct rpending *p, const char *service,
			 const char *server, uint64_t expected)
{
	struct relay_promotion promotion = { service, server, expected, 0 };
	const struct entry *e = find(p, &promotion);

	return e && e->own && e->state == PLANNED;
}

void rpending_on_sent(struct rpending *p, const char *service,
		      const char *server, uint64_t token, uint64_t now_us)
{
	struct relay_promotion promotion = { service, server, p->claim, 0 };
	struct entry *e = find(p, &promotion);

	if (!e)
		e = add(p, &promotion, now_us);
	e->own = true;
	e->answered = false;
	e->state = PENDING;
	e->token = token;
}

/* This process's newest promotion of the service that was sent. */
static struct entry *newest_sent(const struct rpending *p, const char *service)
{
	struct entry *newest = NULL;
	unsigned i;

	for (i = 0; i < p->entries->len; i++) {
		struct entry *e = entry_at(p, i);

		if (e->token && !strcmp(e->service, service) &&
		    (!newest || e->token > newest->token))
			newest = e;
	}
	return newest;
}

static struct entry *find_sent(const struct rpending *p, const char *service,
			       uint64_t token)
{
	unsigned i;

	for (i = 0; i < p->entries->len; i++) {
		struct entry *e = entry_at(p, i);

		if (e->token == token && !strcmp(e->service, service))
			return e;
	}
	return NULL;
}

bool rpending_on_answered(struct rpending *p, const char *service,
			  uint64_t token, enum relay_promoted outcome)
{
	struct entry *e = find_sent(p, service, token);

	if (!e)
		return false;
	e->answered = true;
	if (e->state == PENDING && outcome == RELAY_PROMOTED_ACCEPTED)
		e->state = ACCEPTED;
	else if (e->state == PENDING && outcome == RELAY_PROMOTED_REFUSED)
		e->state = SETTLED;
	return e == newest_sent(p, service);
}

bool rpending_give_up(struct rpending *p, const char *service)
{
	bool any = false;
	unsigned i;

	for (i = 0; i < p->entries->len; i++) {
		struct entry *e = entry_at(p, i);

		if (!e->token || e->answered ||
		    strcmp(e->service, service) != 0)
			continue;
		e->answered = true;
		any = true;
	}
	return any;
}

bool rpending_is_call_open(const struct rpending *p, uint64_t token)
{
	unsigned i;

	for (i = 0; i < p->entries->len; i++) {
		const struct entry *e = entry_at(p, i);

		if (e->token && e->token != token && !e->answered)
			return true;
	}
	return false;
}

void rpending_on_not_settled(struct rpending *p, const char *service)
{
	struct entry *e = newest_sent(p, service);

	if (e && e->state == ACCEPTED)
		e->state = SETTLED;
}

/* Whether a leader in that term was counted; counts it otherwise. */
static bool is_counted(struct rpending *p, const char *service, uint64_t term)
{
	uint64_t *led = g_hash_table_lookup(p->led_terms, service);

	if (led && *led >= term)
		return true;
	g_hash_table_replace(p->led_terms, g_strdup(service),
			     g_memdup2(&term, sizeof(term)));
	return false;
}

void rpending_on_leader(struct rpending *p, const char *service,
			const char *server, uint64_t term)
{
	struct entry *oldest = NULL;
	unsigned i;

	if (is_counted(p, service, term))
		return;
	for (i = 0; i < p->entries->len; i++) {
		struct entry *e = entry_at(p, i);

		if ((e->state == PENDING || e->state == ACCEPTED) &&
		    e->term < term && !strcmp(e->service, service) &&
		    !strcmp(e->server, server) &&
		    (!oldest || e->seen_at_us < oldest->seen_at_us))
			oldest = e;
	}
	if (oldest)
		oldest->state = SETTLED;
}

/* Of the promotions first seen after since_us. */
static struct rpending_view view_since(const struct rpending *p,
				       const char *service, uint64_t since_us,
				       uint64_t now_us)
{
	struct rpending_view view = { 0 };
	bool same = true;
	unsigned i;

	for (i = 0; i < p->entries->len; i++) {
		const struct entry *e = entry_at(p, i);

		if (!is_live(e, now_us) || e->seen_at_us <= since_us ||
		    strcmp(e->service, service) != 0)
			continue;
		same = same && (!view.n++ || !strcmp(view.server, e->server));
		view.server = e->server;
	}
	if (!same)
		view.server = NULL;
	return view;
}

struct rpending_view rpending_of(const struct rpending *p, const char *service,
				 uint64_t now_us)
{
	struct rpending_view awaited = view_since(
		p, service, now_us - MIN(now_us, AWAITED_US), now_us);

	awaited.must_be_awaited = awaited.n;
	if (now_us < p->unstated_until_us)
		return (struct rpending_view){ awaited.n + 1, true, NULL };
	return awaited.n ? awaited : view_since(p, service, 0, now_us);
}

bool rpending_may_replace(const struct rpending *p, const char *service,
			  const char *primary, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < p->entries->len; i++) {
		const struct entry *e = entry_at(p, i);

		if (is_live(e, now_us) && now_us < e->seen_at_us + AWAITED_US &&
		    !strcmp(e->service, service) &&
		    g_strcmp0(e->server, primary) != 0)
			return true;
	}
	return false;
}
