#include "support_slots.h"

#include <celeryquay/sched/queue.h>
#include <math.h>

#define MS 1000
#define SECOND (1000 * MS)
#define DURATION_US ((uint64_t)60 * SECOND)
#define FLOOD_FACTOR 8
#define LARGE_FACTOR 8
#define PROFILES 3
#define SLOTS_PRIMARY 6
#define SLOTS_REPLICA 12
#define SEEDS 3
#define SLOTS (SLOTS_PRIMARY + SLOTS_REPLICA)

/* The timetables of page 0022. */
static const struct profile {
	unsigned priority;
	double per_s;
	uint64_t mean_us, target_us, timeout_us;
	double write_share;
} profiles[PROFILES] = {
	{ 0, 145, 11 * MS, 200 * MS, 1000 * MS, 0.2 },
	{ 1, 680, 33 * MS, 400 * MS, 1000 * MS, -1 /* of the load */ },
	{ 2, 253, 55 * MS, 1500 * MS, 3000 * MS, 0 },
};

struct statement {
	struct squeue_entry
		entry; /* first, so that an entry is its statement */
	char account[8];
	unsigned account_number;
	unsigned profile;
	uint64_t at_us, service_us;
	uint64_t done_us; /* 0: not started */
};

struct slot {
	struct statement *running;
};

struct result {
	unsigned n_arrived[SLOTS_ACCOUNTS];
	unsigned n_in_time[SLOTS_ACCOUNTS]; /* started within the target */
};

struct play {
	const struct slots_load *load;
	bool has_flood;
	uint32_t seed;
	struct squeue *queue;
	GArray *statements;
	GQueue open[PROFILES]; /* by timeout; may have started */
	struct slot slots[SLOTS]; /* the primary's first */
	struct result *out;
};

static uint64_t exponential_us(GRand *rng, double mean_us)
{
	return 1 + (uint64_t)(-log(1 - g_rand_double(rng)) * mean_us);
}

static double size_of(const struct slots_load *l, unsigned account)
{
	return account < l->n_large ? LARGE_FACTOR : 1;
}

/* How often all accounts together send a profile, at the load asked for. */
static double rate_of(const struct slots_load *l, unsigned profile)
{
	double work = 0;
	unsigned i;

	for (i = 0; i < PROFILES; i++)
		work += profiles[i].per_s * (double)profiles[i].mean_us;
	return profiles[profile].per_s * l->load * SLOTS * SECOND / work;
}

/*
 * Each account and profile has a random sequence of its own, so that a flood
 * changes nothing of what the others send.
 */
static void add_stream(struct play *p, unsigned account, unsigned profile)
{
	const struct slots_load *l = p->load;
	const struct profile *c = &profiles[profile];
	uint32_t seed =
		(p->seed * SLOTS_ACCOUNTS + account) * PROFILES + profile;
	GRand *rng = g_rand_new_with_seed(seed);
	double sizes = SLOTS_ACCOUNTS + l->n_large * (LARGE_FACTOR - 1.0);
	double per_s = rate_of(l, profile) * size_of(l, account) / sizes;
	double writes = c->write_share < 0 ? l->write_share : c->write_share;
	uint64_t at_us = 0;

	if (p->has_flood && account == l->flood)
		per_s *= FLOOD_FACTOR;
	while ((at_us += exponential_us(rng, SECOND / per_s)) < DURATION_US) {
		struct statement s = {
			.account_number = account,
			.profile = profile,
			.at_us = at_us,
			.service_us = exponential_us(rng, (double)c->mean_us),
			.entry = { .priority = l->one_priority ? 1 :
								 c->priority,
				   .weight = 1,
				   .primary_only = g_rand_double(rng) < writes,
				   .due_us = at_us + c->target_us,
				   .cost_us = c->mean_us },
		};

		g_snprintf(s.account, sizeof(s.account), "a%u", account);
		g_array_append_val(p->statements, s);
	}
	g_rand_free(rng);
}

static gint compare_arrivals(gconstpointer x, gconstpointer y)
{
	const struct statement *a = x, *b = y;

	return (a->at_us > b->at_us) - (a->at_us < b->at_us);
}

static struct slot *free_slot(struct play *p, unsigned first, unsigned end)
{
	unsigned i;

	for (i = first; i < end; i++) {
		if (!p->slots[i].running)
			return &p->slots[i];
	}
	return NULL;
}

/* Reads leave the primary's slots to writes where they can. */
static struct slot *slot_for(struct play *p, const struct statement *s)
{
	struct slot *slot = NULL;

	if (!s->entry.primary_only)
		slot = free_slot(p, SLOTS_PRIMARY, SLOTS);
	return slot ? slot : free_slot(p, 0, SLOTS_PRIMARY);
}

static void start(struct play *p, struct slot *slot, struct statement *s,
		  uint64_t now_us)
{
	slot->running = s;
	s->done_us = now_us + s->service_us;
	p->out->n_in_time[s->account_number] += now_us <= s->entry.due_us;
	squeue_start(p->queue, &s->entry);
}

static void dispatch(struct play *p, uint64_t now_us)
{
	struct squeue_entry *e = squeue_first(p->queue, now_us), *next;

	for (; e && free_slot(p, 0, SLOTS); e = next) {
		struct statement *s = (struct statement *)e;
		struct slot *slot = slot_for(p, s);

		next = squeue_next(e);
		if (slot)
			start(p, slot, s, now_us);
	}
}

static void finish(struct play *p, struct slot *slot)
{
	struct statement *s = slot->running;

	slot->running = NULL;
	squeue_charge(p->queue, s->account, s->entry.weight, s->entry.cost_us,
		      s->service_us);
}

static void arrive(struct play *p, struct statement *s)
{
	s->entry.account = s->account;
	p->out->n_arrived[s->account_number]++;
	squeue_push(p->queue, &s->entry, s->at_us);
	g_queue_push_tail(&p->open[s->profile], s);
}

static void drop_timed_out(struct play *p, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < PROFILES; i++) {
		struct statement *s;

		while ((s = g_queue_peek_head(&p->open[i])) &&
		       (s->done_us ||
			s->at_us + profiles[i].timeout_us <= now_us)) {
			if (!s->done_us)
				squeue_cancel(p->queue, &s->entry);
			g_queue_pop_head(&p->open[i]);
		}
	}
}

static struct slot *next_to_finish(struct play *p)
{
	struct slot *first = NULL;
	unsigned i;

	for (i = 0; i < SLOTS; i++) {
		struct slot *s = &p->slots[i];

		if (s->running &&
		    (!first || s->running->done_us < first->running->done_us))
			first = s;
	}
	return first;
}

/* Returns false once all have been served or dropped. */
static gboolean step(struct play *p, unsigned *n_arrived)
{
	struct statement *next = NULL;
	struct slot *done = next_to_finish(p);
	uint64_t now_us;

	if (*n_arrived < p->statements->len)
		next = &g_array_index(p->statements, struct statement,
				      *n_arrived);
	if (!next && !done)
		return FALSE;
	if (!done || (next && next->at_us < done->running->done_us)) {
		now_us = next->at_us;
		arrive(p, next);
		(*n_arrived)++;
	} else {
		now_us = done->running->done_us;
		finish(p, done);
	}
	drop_timed_out(p, now_us);
	dispatch(p, now_us);
	return TRUE;
}

static void play(const struct slots_load *load, bool has_flood, uint32_t seed,
		 struct result *out)
{
	struct play p = { .load = load,
			  .has_flood = has_flood,
			  .seed = seed,
			  .queue = squeue_create(),
			  .out = out };
	unsigned i, j, n_arrived = 0;

	*out = (struct result){ 0 };
	p.statements = g_array_new(FALSE, TRUE, sizeof(struct statement));
	for (i = 0; i < SLOTS_ACCOUNTS; i++) {
		for (j = 0; j < PROFILES; j++)
			add_stream(&p, i, j);
	}
	g_array_sort(p.statements, compare_arrivals);
	while (step(&p, &n_arrived))
		;
	g_assert_cmpuint(squeue_length(p.queue), ==, 0);
	for (j = 0; j < PROFILES; j++)
		g_queue_clear(&p.open[j]);
	g_array_free(p.statements, TRUE);
	squeue_destroy(p.queue);
}

static double service_of_others(const struct result *r, unsigned account)
{
	unsigned n_arrived = 0, n_in_time = 0, i;

	for (i = 0; i < SLOTS_ACCOUNTS; i++) {
		if (i == account)
			continue;
		n_arrived += r->n_arrived[i];
		n_in_time += r->n_in_time[i];
	}
	return (double)n_in_time / n_arrived;
}

double slots_cost_of_flood(const struct slots_load *load)
{
	double cost = 0;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct result without, with;

		play(load, false, seed, &without);
		play(load, true, seed, &with);
		cost += service_of_others(&without, load->flood) -
			service_of_others(&with, load->flood);
	}
	return cost / SEEDS;
}
