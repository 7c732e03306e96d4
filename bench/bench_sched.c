/*
 * What the queue of a home costs with 1,000 waiting statements of 85 accounts:
 * CPU time of a push and the start of the first one, CPU time of a forecast of
 * a statement behind all others, and memory. Each time is the least of several
 * rounds, which other processes disturb least.
 */
#include <celeryquay/sched/queue.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define WAITING 1000
#define ACCOUNTS 85
#define ROUNDS 25
#define DECISIONS 20000
#define FORECASTS 100
#define MS 1000
#define SLOTS 18
#define SERVICE_US (33 * MS)
#define SEED 22

struct load {
	const char *name;
	uint64_t target_us;
};

/*
 * A slot becomes free every 33 / 18 ms, so that most statements of the second
 * one become late while they wait.
 */
static const struct load loads[] = {
	{ "in_time", (uint64_t)3600 * 1000 * MS },
	{ "late", 400 * MS },
};

struct bench {
	const struct load *load;
	struct squeue *queue;
	struct squeue_entry *entries;
	char accounts[ACCOUNTS][16];
	GRand *rng;
	uint64_t now_us;
};

static void push(struct bench *b, struct squeue_entry *e)
{
	*e = (struct squeue_entry){
		.priority = (unsigned)g_rand_int_range(b->rng, 0, 3),
		.account = b->accounts[g_rand_int_range(b->rng, 0, ACCOUNTS)],
		.weight = 1,
		.primary_only = !g_rand_int_range(b->rng, 0, 8),
		.due_us = b->now_us + b->load->target_us,
		.cost_us = (uint64_t)g_rand_int_range(b->rng, 5 * MS, 60 * MS),
	};
	squeue_push(b->queue, e, b->now_us);
}

static size_t heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

static void bench_init(struct bench *b, const struct load *load)
{
	unsigned i;

	*b = (struct bench){ .load = load,
			     .rng = g_rand_new_with_seed(SEED),
			     .now_us = 1000 * MS };
	for (i = 0; i < ACCOUNTS; i++)
		g_snprintf(b->accounts[i], sizeof(b->accounts[i]), "account-%u",
			   i);
}

static void fill(struct bench *b)
{
	unsigned i;

	b->queue = squeue_create();
	b->entries = g_new(struct squeue_entry, WAITING);
	for (i = 0; i < WAITING; i++)
		push(b, &b->entries[i]);
}

static void bench_clear(struct bench *b)
{
	struct squeue_entry *e;

	while ((e = squeue_first(b->queue, b->now_us)))
		squeue_cancel(b->queue, e);
	squeue_destroy(b->queue);
	g_free(b->entries);
	g_rand_free(b->rng);
}

/* The first one starts and ends as expected; another one arrives. */
static void decide(struct bench *b)
{
	struct squeue_entry *e;

	b->now_us += SERVICE_US / SLOTS;
	e = squeue_first(b->queue, b->now_us);
	squeue_start(b->queue, e);
	push(b, e);
}

static void forecast_last(struct bench *b)
{
	const struct squeue_room room = { .primary_slots = 6,
					  .replica_slots = 12 };
	struct squeue_forecast f = { 0 };
	struct squeue_entry *e = squeue_first(b->queue, b->now_us);
	uint64_t wait_us = 0;

	for (; e; e = squeue_next(e))
		wait_us = squeue_forecast_us(&f, e, &room);
	if (!wait_us)
		abort(); /* 1,000 statements can't all start at once */
}

/* The least CPU time in ns that n calls took, by call. */
static double least_ns(struct bench *b, void (*fn)(struct bench *b), unsigned n)
{
	double least = 0;
	unsigned i, j;

	for (i = 0; i < ROUNDS; i++) {
		clock_t start = clock();
		double ns;

		for (j = 0; j < n; j++)
			fn(b);
		ns = (double)(clock() - start) * 1e9 / CLOCKS_PER_SEC / n;
		if (!i || ns < least)
			least = ns;
	}
	return least;
}

static void run(const struct load *load)
{
	double decision_ns, forecast_ns;
	struct bench b;

	bench_init(&b, load);
	fill(&b);
	decision_ns = least_ns(&b, decide, DECISIONS);
	forecast_ns = least_ns(&b, forecast_last, FORECASTS);
	printf("{\"bench\":\"sched\",\"load\":\"%s\",\"waiting\":%u,"
	       "\"decision_ns\":%.0f,\"forecast_last_ns\":%.0f}\n",
	       load->name, squeue_length(b.queue), decision_ns, forecast_ns);
	bench_clear(&b);
}

/* Before anything else: what was freed may still count as in use. */
static void run_memory(void)
{
	struct bench b;
	size_t before;

	bench_init(&b, &loads[0]);
	before = heap_bytes();
	fill(&b);
	printf("{\"bench\":\"sched_memory\",\"waiting\":%u,"
	       "\"bytes_each\":%.0f}\n",
	       squeue_length(b.queue),
	       (double)(heap_bytes() - before) / WAITING);
	bench_clear(&b);
}

int main(void)
{
	size_t i;

	run_memory();
	for (i = 0; i < G_N_ELEMENTS(loads); i++)
		run(&loads[i]);
	return EXIT_SUCCESS;
}
