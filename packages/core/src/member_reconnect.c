#include "member_internal.h"

#include <string.h>

/* Pings per second that a dead member gets from the whole fleet. */
#define DEAD_PINGS_PER_S 0.5
/* Seeds that a node without other members pings at a time. */
#define SEEDS_PER_TRY 3

static bool is_dead(const struct member *member)
{
	return member->info.state == MEMBER_DEAD;
}

/* Pings a random dead member, with the claim of its death to refute. */
void member_reconnect_dead(struct members *m)
{
	struct member *member = member_table_random(m, is_dead);

	if (member)
		member_ping(m, &member->info, member, member_next_seq(m));
}

/*
 * Pings a dead member from time to time. After a partition of an hour between
 * regions each side regards the other as dead and, without these pings, would
 * never contact it again. With few dead members only some of the nodes send one
 * in each interval, so that a dead member is not pinged by the whole fleet.
 */
static void maybe_ping_dead(struct members *m, uint64_t now_us)
{
	struct member_prober *p = &m->prober;
	double seconds =
		(double)m->settings.dead_probe_interval_us / USEC_PER_SEC;
	double share;

	if (!m->n_dead || now_us < p->next_dead_at_us)
		return;
	p->next_dead_at_us = now_us + m->settings.dead_probe_interval_us;
	share = m->n_dead * DEAD_PINGS_PER_S * seconds / m->n_live;
	if (m->n_live > 1 && g_rand_double(m->rng) >= share)
		return;
	member_reconnect_dead(m);
}

static bool seed_is_live(struct members *m, const struct member_seed *seed)
{
	unsigned i;

	for (i = 0; i < m->table->len; i++) {
		struct member *member = g_ptr_array_index(m->table, i);

		if (member->info.peer_port == seed->port &&
		    member_is_present(member) &&
		    !strcmp(member->info.host, seed->host))
			return true;
	}
	return false;
}

static void ping_seed(struct members *m, const struct member_seed *seed)
{
	struct member_info to = { .peer_port = seed->port };

	g_strlcpy(to.host, seed->host, sizeof(to.host));
	g_snprintf(to.name, sizeof(to.name), "%s:%u", seed->host, seed->port);
	member_ping(m, &to, NULL, member_next_seq(m));
}

/*
 * Pings seeds that no present member has as its address: some per probe
 * interval while this node knows no other member, else one per two dead-probe
 * intervals.
 */
static void ping_some_seeds(struct members *m, uint64_t now_us)
{
	struct member_prober *p = &m->prober;
	bool alone = m->n_live == 1;
	unsigned i, tries = alone ? SEEDS_PER_TRY : 1;

	if (!p->seeds->len || now_us < p->next_seed_at_us)
		return;
	p->next_seed_at_us =
		now_us + (alone ? m->settings.probe_interval_us :
				  2 * m->settings.dead_probe_interval_us);
	for (i = 0; i < MIN(tries, p->seeds->len); i++) {
		int at = g_rand_int_range(m->rng, 0, (int)p->seeds->len);
		const struct member_seed *seed =
			&g_array_index(p->seeds, struct member_seed, at);

		if (!seed_is_live(m, seed))
			ping_seed(m, seed);
	}
}

/* Adds an address to ping; in a full list it replaces a random one. */
void member_reconnect_add_seed(struct members *m, const char *host,
			       uint16_t port)
{
	GArray *seeds = m->prober.seeds;
	struct member_seed seed = { .port = port };
	unsigned i;

	g_strlcpy(seed.host, host, sizeof(seed.host));
	for (i = 0; i < seeds->len; i++) {
		const struct member_seed *other =
			&g_array_index(seeds, struct member_seed, i);

		if (other->port == port && !strcmp(other->host, seed.host))
			return;
	}
	if (seeds->len < MEMBER_SEEDS_MAX) {
		g_array_append_val(seeds, seed);
		return;
	}
	i = (unsigned)g_rand_int_range(m->rng, 0, (int)seeds->len);
	g_array_index(seeds, struct member_seed, i) = seed;
}

/* Pings dead members and seeds that are due. */
void member_reconnect_tick(struct members *m, uint64_t now_us)
{
	maybe_ping_dead(m, now_us);
	ping_some_seeds(m, now_us);
}
