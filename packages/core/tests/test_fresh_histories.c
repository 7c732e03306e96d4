/*
 * Random histories of a group: writes, log pulls, ballots that overlap or stop
 * half-way, late promotions, servers that follow a new primary, probes whose
 * answers are late, lost or out of order. After every step the ages, majorities
 * and losses that fresh reports are checked against the logs of all servers.
 * The environment variable CQ_HISTORIES sets the number of histories.
 */
#include "support_status.h"

#include <celeryquay/suite.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_SERVERS 5
#define LOG_MAX 2000
#define STEPS 1500
#define HISTORIES 300
#define PROBES_MAX 64
#define CLAIMS_MAX 4096
#define TERMS_MAX 128

struct server {
	uint64_t log[LOG_MAX]; /* term of the entry, 1-based */
	uint64_t received; /* index of the last entry */
	uint64_t applied; /* index of the last applied entry */
	uint64_t granted; /* the highest term granted */
	uint64_t term; /* term in which it is primary; 0: replica */
	int following; /* index of its primary; -1: none */
	uint64_t following_term; /* the term of that primary */
	/* [term]: last index of the term received before a higher grant. */
	uint64_t proven[TERMS_MAX];
};

struct probe {
	unsigned server;
	uint64_t started_us;
	bool status_taken; /* the probe has reached its server */
	struct server_status status;
};

/* A position that became acknowledged or was reported lost. */
struct claim {
	struct position at;
	uint64_t time_us; /* when that was recorded */
};

struct claims {
	unsigned count;
	struct claim list[CLAIMS_MAX];
};

static struct group {
	GRand *rng;
	uint64_t now_us;
	unsigned n;
	struct server servers[MAX_SERVERS];
	uint64_t ballot; /* term of the last ballot */
	bool granted_current[MAX_SERVERS]; /* the server granted it */
	int winner; /* of the last ballot; -1: none yet */
	unsigned n_probes;
	struct probe probes[PROBES_MAX];
	struct fresh *fresh;
	struct claims acked; /* received by a majority within their term */
	struct claims lost; /* reported by fresh_is_lost() */
	unsigned seed;
	unsigned ages_checked;
	unsigned claims_checked;
	unsigned promotions;
} g;

/* Like ck_assert(), which is too slow for the inner loops. */
static void require(bool condition, const char *what)
{
	if (!condition)
		ck_abort_msg("seed %u at %d us: %s", g.seed, (int)g.now_us,
			     what);
}

static unsigned random_below(unsigned n)
{
	return (unsigned)g_rand_int_range(g.rng, 0, (gint32)n);
}

/* Whether the server's log up to index `end` contains the position. */
static bool log_has(const struct server *s, struct position p, uint64_t end)
{
	return p.index <= end && s->log[p.index] == p.term;
}

static void claim(struct claims *c, struct position p)
{
	if (c->count && c->list[c->count - 1].at.term == p.term &&
	    c->list[c->count - 1].at.index >= p.index)
		return;
	require(c->count < CLAIMS_MAX, "too many claims");
	c->list[c->count++] = (struct claim){ p, g.now_us };
}

/* Records as acknowledged the last entry of the term a majority ever had. */
static void update_acked(uint64_t term)
{
	uint64_t highest = 0;
	unsigned i, k;

	for (i = 0; i < g.n; i++) {
		uint64_t index = g.servers[i].proven[term];
		unsigned count = 0;

		for (k = 0; k < g.n; k++)
			count += g.servers[k].proven[term] >= index;
		if (count > g.n / 2)
			highest = MAX(highest, index);
	}
	if (highest)
		claim(&g.acked, (struct position){ term, highest });
}

static void append(struct server *s, uint64_t term)
{
	require(s->received + 1 < LOG_MAX, "the log is too long");
	s->log[++s->received] = term;
	if (s->granted <= term) {
		s->proven[term] = s->received;
		update_acked(term);
	}
}

static void append_write(struct server *s)
{
	if (s->term && s->granted <= s->term) {
		append(s, s->term);
		s->applied = s->received;
	}
}

static void pull_entries(struct server *s)
{
	const struct server *from;
	unsigned count = 1 + random_below(4);

	if (s->term || s->following < 0 || s->granted > s->following_term)
		return;
	from = &g.servers[s->following];
	if (from->term != s->following_term)
		return;
	while (count-- && s->received < from->received)
		append(s, from->log[s->received + 1]);
}

static void follow(struct server *s, unsigned primary)
{
	const struct server *p = &g.servers[primary];
	uint64_t common = 0;

	if (!p->term || p == s || s->granted > p->term ||
	    (s->term && s->term >= p->term) ||
	    (s->following >= 0 && s->following_term > p->term))
		return;
	while (common < s->received && common < p->received &&
	       s->log[common + 1] == p->log[common + 1])
		common++;
	s->received = common;
	s->applied = MIN(s->applied, common);
	s->term = 0;
	s->following = (int)primary;
	s->following_term = p->term;
}

static void start_ballot(void)
{
	require(++g.ballot < TERMS_MAX, "too many ballots");
	memset(g.granted_current, 0, sizeof(g.granted_current));
	g.winner = -1;
}

static bool log_is_newer(const struct server *a, const struct server *b)
{
	uint64_t x = a->received ? a->log[a->received] : 0;
	uint64_t y = b->received ? b->log[b->received] : 0;

	return x > y || (x == y && a->received > b->received);
}

static void grant(unsigned i)
{
	unsigned count = 0;
	unsigned k;

	if (!g.ballot || g.servers[i].granted >= g.ballot || g.winner >= 0)
		return;
	g.servers[i].granted = g.ballot;
	g.granted_current[i] = true;
	for (k = 0; k < g.n; k++)
		count += g.granted_current[k];
	if (count <= g.n / 2)
		return;
	g.winner = (int)i;
	for (k = 0; k < g.n; k++) {
		if (g.granted_current[k] &&
		    log_is_newer(&g.servers[k], &g.servers[g.winner]))
			g.winner = (int)k;
	}
}

/*
 * The new primary's log must contain every acknowledged entry, and none that
 * was reported lost.
 */
static void promote(void)
{
	struct server *s;
	unsigned i;

	if (g.winner < 0)
		return;
	s = &g.servers[g.winner];
	if (s->granted != g.ballot || s->term == g.ballot)
		return;
	for (i = 0; i < g.acked.count; i++)
		require(log_has(s, g.acked.list[i].at, s->received),
			"an acknowledged write did not survive the promotion");
	for (i = 0; i < g.lost.count; i++)
		require(!log_has(s, g.lost.list[i].at, s->received),
			"a write reported as lost survived the promotion");
	s->term = g.ballot;
	s->following = -1;
	append(s, s->term);
	s->applied = s->received;
	g.promotions++;
}

static struct server_status status_of(const struct server *s)
{
	struct server_status out = { .granted = s->granted,
				     .received = s->received,
				     .applied = s->applied };
	struct history *h = &out.history;
	uint64_t i;

	for (i = 1; i <= s->received; i++) {
		if (h->count && h->entries[h->count - 1].term == s->log[i])
			continue;
		require(h->count < HISTORY_MAX, "too many terms");
		h->entries[h->count].term = s->log[i];
		h->entries[h->count++].start = i;
	}
	out.role = s->term ? ROLE_PRIMARY : ROLE_REPLICA;
	out.term = s->term;
	out.fenced = s->term && s->granted > s->term;
	if (!s->term && h->count)
		out.term = h->entries[h->count - 1].term;
	return out;
}

static void send_probe(unsigned i)
{
	struct probe *p;

	if (g.n_probes == PROBES_MAX)
		return;
	p = &g.probes[g.n_probes++];
	p->server = i;
	p->started_us = g.now_us;
	p->status_taken = false;
}

/* A random probe reaches its server, or its answer arrives or is lost. */
static void advance_probe(void)
{
	struct probe *p;

	if (!g.n_probes)
		return;
	p = &g.probes[random_below(g.n_probes)];
	if (!p->status_taken) {
		p->status_taken = true;
		p->status = status_of(&g.servers[p->server]);
		return;
	}
	if (random_below(8))
		fresh_on_status(g.fresh, p->server, p->started_us, &p->status);
	*p = g.probes[--g.n_probes];
}

static void check_age(unsigned i)
{
	uint64_t age_us = fresh_age_us(g.fresh, i, g.now_us);
	const struct server *s = &g.servers[i];
	unsigned k;

	if (age_us == UINT64_MAX)
		return;
	g.ages_checked++;
	for (k = 0; k < g.acked.count; k++) {
		const struct claim *c = &g.acked.list[k];

		if (c->time_us < g.now_us - age_us)
			require(log_has(s, c->at, s->applied),
				"older than the reported age");
	}
}

/* Whether an entry at or after p, or of a later term, is acknowledged. */
static bool is_acked(struct position p)
{
	unsigned i;

	for (i = 0; i < g.acked.count; i++) {
		const struct position *a = &g.acked.list[i].at;

		if (a->term > p.term ||
		    (a->term == p.term && a->index >= p.index))
			return true;
	}
	return false;
}

static void check_position(struct position p)
{
	if (fresh_is_durable(g.fresh, p)) {
		g.claims_checked++;
		require(is_acked(p), "no majority has it as reported");
		claim(&g.acked, p);
	}
	if (fresh_is_lost(g.fresh, p) && g.lost.count < CLAIMS_MAX)
		g.lost.list[g.lost.count++] = (struct claim){ p, g.now_us };
}

static void step(void)
{
	unsigned i = random_below(g.n);
	struct server *s = &g.servers[i];

	g.now_us += 1 + random_below(3);
	switch (random_below(32)) {
	case 0:
		if (!random_below(4))
			start_ballot();
		break;
	case 1:
	case 2:
		grant(i);
		break;
	case 3:
	case 4:
		promote();
		break;
	case 5:
	case 6:
	case 7:
		follow(s, random_below(g.n));
		break;
	case 8:
	case 9:
		append_write(s);
		break;
	case 10:
		s->applied +=
			random_below((unsigned)(s->received - s->applied) + 1);
		break;
	case 11:
	case 12:
	case 13:
	case 14:
		pull_entries(s);
		break;
	case 15:
	case 16:
	case 17:
	case 18:
		send_probe(i);
		break;
	default:
		advance_probe();
		break;
	}
}

static void run_history(unsigned seed)
{
	unsigned i;

	memset(&g, 0, sizeof(g));
	g.seed = seed;
	g.rng = g_rand_new_with_seed(seed);
	g.n = seed % 3 ? 3 : 5;
	g.winner = -1;
	g.now_us = 1000;
	g.fresh = fresh_create(g.n);
	for (i = 0; i < g.n; i++)
		g.servers[i].following = -1;
	for (i = 0; i < STEPS; i++) {
		const struct server *s = &g.servers[random_below(g.n)];
		uint64_t index = 1 + random_below((unsigned)s->received + 1);

		step();
		check_age(random_below(g.n));
		if (index <= s->received)
			check_position(
				(struct position){ s->log[index], index });
	}
	fresh_destroy(g.fresh);
	g_rand_free(g.rng);
}

START_TEST(test_reports_match_all_logs)
{
	const char *count = getenv("CQ_HISTORIES");
	unsigned n = count ? (unsigned)atoi(count) : HISTORIES;
	unsigned ages = 0, claims = 0, lost = 0, promotions = 0;
	unsigned i;

	for (i = 1; i <= n; i++) {
		run_history(i);
		ages += g.ages_checked;
		claims += g.claims_checked;
		lost += g.lost.count;
		promotions += g.promotions;
	}
	printf("%u histories, %u promotions, checked: %u ages, %u majorities, "
	       "%u losses\n",
	       n, promotions, ages, claims, lost);
	ck_assert_uint_gt(ages, n);
	ck_assert_uint_gt(claims, n);
	ck_assert_uint_gt(lost, n);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("fresh_histories");

	tcase_add_test(t, test_reports_match_all_logs);
	return suite_main("fresh_histories", t);
}
