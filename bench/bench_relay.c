/*
 * The relay on the fake platform of its tests and a virtual clock: how many of
 * the reads that may go to replicas do, how many statements of its own it
 * needs, and how long writes stop when a primary crashes, falls silent or is
 * to leave. One JSON row for each; the same on every machine.
 */
#include "support_history.h"

#include <stdio.h>
#include <string.h>

#define RELAYS 3
#define CALLERS 6 /* of each relay */
#define REST_US (20 * USEC_PER_SEC)
#define SEEDS 20
#define GAP_LIMIT_MS 10000
#define READS_OF_TEN 8

static GLogWriterOutput no_log(GLogLevelFlags level, const GLogField *fields,
			       gsize n_fields, gpointer data)
{
	(void)level;
	(void)fields;
	(void)n_fields;
	(void)data;
	return G_LOG_WRITER_HANDLED;
}

static uint64_t total(const struct fake *f,
		      struct counter *(*of)(const struct relay *r))
{
	uint64_t sum = 0;
	unsigned i;

	for (i = 0; i < f->n_relays; i++)
		sum += counter_value(of(f->relays[i].relay));
	return sum;
}

static struct counter *replica_reads(const struct relay *r)
{
	return r->n_reads_replica;
}

static struct counter *primary_reads(const struct relay *r)
{
	return r->n_reads_primary;
}

static struct counter *own_statements(const struct relay *r)
{
	return r->n_own;
}

static struct counter *writes(const struct relay *r)
{
	return r->n_writes;
}

static void next_event(struct fake *f, void *data);

/* Callers think for a while between two statements. */
static void think(struct fake *f, void *data)
{
	fake_at(f, -1, fake_random(f, 20, 60) * MS, next_event, data, NULL);
}

static void next_event(struct fake *f, void *data)
{
	struct hist_session *s = data;
	bool reads = fake_random(f, 0, 10) < READS_OF_TEN;

	if (s->open && !s->now)
		hist_start(f, s, reads ? RELAY_READ : RELAY_WRITE, "", "1");
}

static void run_rest(void)
{
	struct fake *f = fake_create(1, RELAYS, 1);
	uint64_t at_replicas, at_primary, done, own;
	unsigned i;

	fake_run(f, USEC_PER_SEC);
	for (i = 0; i < RELAYS * CALLERS; i++) {
		struct hist_session *s = hist_open(
			f, i % RELAYS, 0,
			i % 2 ? RELAY_KIND_OWN_WRITES : RELAY_KIND_BOUNDED);

		s->next = think;
		next_event(f, s);
	}
	own = total(f, own_statements);
	fake_run(f, REST_US);
	own = total(f, own_statements) - own;
	at_replicas = total(f, replica_reads);
	at_primary = total(f, primary_reads);
	done = at_replicas + at_primary + total(f, writes);
	printf("{\"bench\": \"relay_rest\", \"statements\": %u, "
	       "\"replica_share\": %.3f, \"own_per_100\": %.1f, "
	       "\"wrong\": %d}\n",
	       (unsigned)done,
	       (double)at_replicas / (double)(at_replicas + at_primary),
	       100.0 * (double)own / (double)done, *hist_check(f) != 0);
	fake_destroy(f);
}

static void write_next(struct fake *f, void *data)
{
	struct hist_session *s = data;

	hist_start(f, s, s->state == 'I' ? RELAY_WRITE : RELAY_ROLLBACK, "",
		   "1");
}

static void crash(struct fake *f)
{
	fake_crash(f, 0);
}

static void darken(struct fake *f)
{
	f->servers[0].dark = true;
}

static void leave(struct fake *f)
{
	f->servers[0].leaving = true;
	fake_publish_lists(f);
}

static const struct fault {
	const char *name;
	void (*strike)(struct fake *f);
} faults[] = {
	{ "crash", crash },
	{ "dark", darken },
	{ "planned", leave },
};

/* The time until the primary is another and a write is told as done. */
static uint64_t gap_ms(struct fake *f, const struct fault *fault)
{
	uint64_t since_us, last_us;
	unsigned acked;

	fault->strike(f);
	since_us = last_us = f->now_us;
	acked = hist_acknowledged(f);
	while (f->now_us < since_us + GAP_LIMIT_MS * MS) {
		fake_run(f, MS);
		if (hist_acknowledged(f) == acked)
			continue;
		if (f->n_promotions)
			return (f->now_us - last_us) / MS;
		acked = hist_acknowledged(f);
		last_us = f->now_us;
	}
	return GAP_LIMIT_MS;
}

static void run_fault(const struct fault *fault)
{
	unsigned seed, i, wrong = 0;
	uint64_t longest = 0, sum = 0;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct fake *f = fake_create(seed, RELAYS, 1);
		uint64_t ms;

		fake_run(f, USEC_PER_SEC);
		for (i = 0; i < RELAYS; i++) {
			struct hist_session *s =
				hist_open(f, i, 0, RELAY_KIND_PRIMARY);

			s->next = write_next;
			write_next(f, s);
		}
		fake_run(f, USEC_PER_SEC);
		ms = gap_ms(f, fault);
		longest = MAX(longest, ms);
		sum += ms;
		wrong += *hist_check(f) != 0;
		fake_destroy(f);
	}
	printf("{\"bench\": \"relay_gap\", \"fault\": \"%s\", "
	       "\"seeds\": %d, \"mean_ms\": %u, \"max_ms\": %u, "
	       "\"wrong\": %u}\n",
	       fault->name, SEEDS, (unsigned)(sum / SEEDS), (unsigned)longest,
	       wrong);
}

int main(void)
{
	unsigned i;

	g_log_set_writer_func(no_log, NULL, NULL);
	run_rest();
	for (i = 0; i < G_N_ELEMENTS(faults); i++)
		run_fault(&faults[i]);
	return 0;
}
