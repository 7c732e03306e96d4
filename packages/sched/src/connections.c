#include <celeryquay/sched/connections.h>

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* The time constant of the moving average of an account's uses. */
#define RATE_PERIOD_US (5 * 1000 * 1000)
#define US_PER_S 1e6

struct account_usage {
	double rate; /* uses a second when it was noted last */
	uint64_t noted_at_us;
};

struct sconn_usage {
	GHashTable *accounts; /* name -> struct account_usage */
};

/* Nothing is known at first. */
struct sconn_usage *sconn_usage_create(void)
{
	struct sconn_usage *u = g_new0(struct sconn_usage, 1);

	u->accounts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return u;
}

/* NULL is ignored. */
void sconn_usage_destroy(struct sconn_usage *u)
{
	if (!u)
		return;
	g_hash_table_destroy(u->accounts);
	g_free(u);
}

static double decayed_rate(const struct account_usage *a, uint64_t now_us)
{
	double periods =
		(double)(now_us - MIN(a->noted_at_us, now_us)) / RATE_PERIOD_US;

	return a->rate * exp(-periods);
}

/* Notes one use of a connection of the account. */
void sconn_usage_note(struct sconn_usage *u, const char *account,
		      uint64_t now_us)
{
	struct account_usage *a = g_hash_table_lookup(u->accounts, account);

	if (!a) {
		a = g_new0(struct account_usage, 1);
		g_hash_table_insert(u->accounts, g_strdup(account), a);
	}
	a->rate = decayed_rate(a, now_us) + US_PER_S / RATE_PERIOD_US;
	a->noted_at_us = now_us;
}

/* The account's uses a second; 0 for one that is not known. */
double sconn_usage_rate(const struct sconn_usage *u, const char *account,
			uint64_t now_us)
{
	const struct account_usage *a =
		g_hash_table_lookup(u->accounts, account);

	return a ? decayed_rate(a, now_us) : 0;
}

/*
 * The expected uses of an account's next connection to close. Of several, each
 * further one is used only when all others are.
 */
static double expected_use(const struct sconn_usage *u,
			   const struct sconn_idle *i, uint64_t now_us)
{
	unsigned n = i->n_idle + i->n_busy;
	double rate = sconn_usage_rate(u, i->account, now_us);

	return i->n_idle > 1 ? rate / (n * n) : rate;
}

/* Whether the account has no other connection than the idle one. */
static bool is_last(const struct sconn_idle *i)
{
	return i->n_idle + i->n_busy == 1;
}

/* Whether an account other than this one has several idle connections. */
static bool has_several_idle(const struct sconn_idle *idle, unsigned n,
			     const char *account)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (idle[i].n_idle > 1 && strcmp(idle[i].account, account) != 0)
			return true;
	return false;
}

/*
 * Closing the connection that was idle for longest closes those of all small
 * accounts in turn, so that each of their statements opens one anew. Closing
 * the one that is used least keeps those of most.
 */
int sconn_victim(const struct sconn_usage *u, const struct sconn_idle *idle,
		 unsigned n, const char *account, uint64_t now_us)
{
	bool spares_last = has_several_idle(idle, n, account);
	double least = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < n; i++) {
		double use;

		if (!idle[i].n_idle || !strcmp(idle[i].account, account) ||
		    (spares_last && is_last(&idle[i])))
			continue;
		use = expected_use(u, &idle[i], now_us);
		if (best >= 0 && use >= least)
			continue;
		best = (int)i;
		least = use;
	}
	return best;
}

/*
 * One of n connections that are in use becomes free after about one n + 1-th of
 * a service time; each statement that waits before takes one.
 */
bool sconn_should_open(unsigned n_busy, unsigned n_opening, unsigned n_waiting,
		       uint64_t service_us)
{
	unsigned n = n_busy + n_opening;

	if (!n)
		return true;
	return service_us * (n_waiting + 1) / (n + 1) > SCONN_OPEN_COST_US;
}

/*
 * An account that reads at all replicas keeps a connection to each, which
 * servers with few connections don't have for all accounts.
 */
uint64_t sconn_read_penalty_us(const char *account, const char *server)
{
	uint64_t seed = XXH3_64bits(account, strlen(account));

	if (!*account)
		return 0;
	return XXH3_64bits_withSeed(server, strlen(server), seed) %
	       (SCONN_OPEN_COST_US + 1);
}
