/*
 * Fairness and goodput of the queue before one server's slots, on a virtual
 * clock: the product's admission beside first come first served, strict
 * priority, and groups by turns with priority within a group. One JSON row for
 * each scenario and policy.
 */
#include "event_queue.h"
#include "samples.h"

#include <celeryquay/core/admit.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define SLOTS 3
#define CALLERS 10
#define FLOOD 0 /* the caller that sends too much */
#define PRIORITIES 10
#define DURATION_US (120 * USEC_PER_SEC)
#define SEED 11

enum policy { FIFO, PRIORITY, GROUPS, FAIR, POLICIES };

static const char *const policy_names[] = { "first_come", "priority",
					    "groups_by_turns", "celeryquay" };

struct job {
	struct admit_entry entry; /* first, so that an entry is its job */
	unsigned caller;
	uint64_t arrived_us;
	uint64_t service_us;
};

/* One kind of traffic that a caller sends. */
struct traffic {
	unsigned caller;
	const struct profile *profile;
	double per_s;
	double service_us;
};

struct scenario {
	const char *name;
	const struct traffic *traffic;
	unsigned n_traffic;
};

struct run {
	enum policy policy;
	const struct scenario *scenario;
	struct event_queue *events;
	GRand *rng;
	struct admit *admit;
	GQueue queues[CALLERS][PRIORITIES]; /* of the baselines */
	unsigned next_group;
	unsigned queued;
	unsigned running;
	struct samples light_us; /* arrival to end, of all but the flood */
	struct samples flood_us;
	struct samples refusal_us; /* arrival to a refusal */
	uint64_t busy_us[CALLERS];
	uint64_t useful_us; /* service time of what met its deadline */
	unsigned arrived[CALLERS];
	unsigned useful[CALLERS];
	unsigned refused[CALLERS];
	unsigned late[CALLERS];
};

static struct profile point = { .name = "point",
				.priority = 5,
				.share = 100,
				.deadline_us = 500 * MS };
static struct profile summary = { .name = "summary",
				  .priority = 5,
				  .share = 100,
				  .deadline_us = 5000 * MS };
static struct profile urgent = { .name = "urgent",
				 .priority = 9,
				 .share = 100,
				 .deadline_us = 5000 * MS };

#define POINT_US (2.0 * MS)
#define SUMMARY_US (40.0 * MS)

/* One caller asks for twice the server's capacity in summaries. */
static const struct traffic flood[] = {
	{ FLOOD, &summary, 2 * SLOTS * 1e6 / SUMMARY_US, SUMMARY_US },
	{ 1, &point, 50, POINT_US },
	{ 2, &point, 50, POINT_US },
	{ 3, &point, 50, POINT_US },
	{ 4, &point, 50, POINT_US },
};
/* The same, but it marks its flood as urgent. */
static const struct traffic urgent_flood[] = {
	{ FLOOD, &urgent, 2 * SLOTS * 1e6 / SUMMARY_US, SUMMARY_US },
	{ 1, &point, 50, POINT_US },
	{ 2, &point, 50, POINT_US },
	{ 3, &point, 50, POINT_US },
	{ 4, &point, 50, POINT_US },
};
/* Two callers ask for more than all each, one of them in heavy requests. */
static const struct traffic heavy_beside_light[] = {
	{ FLOOD, &summary, 1.5 * SLOTS * 1e6 / SUMMARY_US, SUMMARY_US },
	{ 1, &point, 1.5 * SLOTS * 1e6 / POINT_US, POINT_US },
};
/* All ask for three times the capacity together. */
static const struct traffic overload[] = {
	{ FLOOD, &point, 0.75 * SLOTS * 1e6 / POINT_US, POINT_US },
	{ 1, &point, 0.75 * SLOTS * 1e6 / POINT_US, POINT_US },
	{ 2, &point, 0.75 * SLOTS * 1e6 / POINT_US, POINT_US },
	{ 3, &point, 0.75 * SLOTS * 1e6 / POINT_US, POINT_US },
};
/* Nine tenths of the capacity, many callers. */
static const struct traffic busy[] = {
	{ FLOOD, &summary, 0.3 * SLOTS * 1e6 / SUMMARY_US, SUMMARY_US },
	{ 1, &summary, 0.3 * SLOTS * 1e6 / SUMMARY_US, SUMMARY_US },
	{ 2, &point, 0.1 * SLOTS * 1e6 / POINT_US, POINT_US },
	{ 3, &point, 0.1 * SLOTS * 1e6 / POINT_US, POINT_US },
	{ 4, &point, 0.1 * SLOTS * 1e6 / POINT_US, POINT_US },
};

static const struct scenario scenarios[] = {
	{ "flood", flood, G_N_ELEMENTS(flood) },
	{ "urgent_flood", urgent_flood, G_N_ELEMENTS(urgent_flood) },
	{ "heavy_beside_light", heavy_beside_light,
	  G_N_ELEMENTS(heavy_beside_light) },
	{ "overload_3x", overload, G_N_ELEMENTS(overload) },
	{ "busy", busy, G_N_ELEMENTS(busy) },
};

static void push_baseline(struct run *r, struct job *job)
{
	unsigned caller = r->policy == GROUPS ? job->caller : 0;
	unsigned priority = r->policy == FIFO ? 0 :
						job->entry.profile->priority;

	g_queue_push_tail(&r->queues[caller][priority], job);
	r->queued++;
}

static struct job *pop_group(struct run *r, unsigned group)
{
	unsigned i;

	for (i = PRIORITIES; i > 0; i--) {
		if (r->queues[group][i - 1].length)
			return g_queue_pop_head(&r->queues[group][i - 1]);
	}
	return NULL;
}

static struct job *pop_baseline(struct run *r)
{
	struct job *job = NULL;
	unsigned i;

	if (!r->queued || r->running == SLOTS)
		return NULL;
	for (i = 0; i < CALLERS && !job; i++) {
		job = pop_group(r, r->next_group);
		if (r->policy == GROUPS)
			r->next_group = (r->next_group + 1) % CALLERS;
	}
	r->queued--;
	return job;
}

static void refuse(struct run *r, struct job *job)
{
	uint64_t waited_us = event_queue_now(r->events) - job->arrived_us;

	r->refused[job->caller]++;
	samples_add(&r->refusal_us, waited_us);
	g_free(job);
}

static void finish(void *ctx, void *data, uint64_t arg);

/* The baselines see that a deadline has passed when the request's turn comes.
 */
static struct job *pop(struct run *r)
{
	uint64_t now_us = event_queue_now(r->events);
	struct job *job;

	if (r->policy == FAIR)
		return (struct job *)admit_pop(r->admit, now_us);
	while ((job = pop_baseline(r)) && job->entry.deadline_us <= now_us)
		refuse(r, job);
	return job;
}

static void start_all(struct run *r)
{
	uint64_t now_us = event_queue_now(r->events);
	struct admit_entry *e;
	struct job *job;

	while (r->policy == FAIR && (e = admit_pop_expired(r->admit, now_us)))
		refuse(r, (struct job *)e);
	while ((job = pop(r))) {
		r->running++;
		event_queue_at(r->events, now_us + job->service_us, finish, r,
			       job, 0);
	}
}

static void note_useful(struct run *r, const struct job *job, uint64_t now_us)
{
	r->useful[job->caller]++;
	if (now_us <= DURATION_US)
		r->useful_us += job->service_us;
}

static void finish(void *ctx, void *data, uint64_t arg)
{
	struct run *r = ctx;
	struct job *job = data;
	uint64_t now_us = event_queue_now(r->events);

	(void)arg;
	r->running--;
	if (now_us <= DURATION_US)
		r->busy_us[job->caller] += job->service_us;
	if (now_us > job->entry.deadline_us)
		r->late[job->caller]++;
	else
		note_useful(r, job, now_us);
	samples_add(job->caller == FLOOD ? &r->flood_us : &r->light_us,
		    now_us - job->arrived_us);
	if (r->policy == FAIR)
		admit_done(r->admit, &job->entry, job->service_us);
	g_free(job);
	start_all(r);
}

static struct job *make_job(struct run *r, const struct traffic *t)
{
	static const char *const names[CALLERS] = { "0", "1", "2", "3", "4",
						    "5", "6", "7", "8", "9" };
	struct job *job = g_new0(struct job, 1);
	uint64_t now_us = event_queue_now(r->events);

	job->caller = t->caller;
	job->arrived_us = now_us;
	job->service_us = random_exp_us(r->rng, t->service_us);
	job->entry.caller = str_from_c(names[t->caller]);
	job->entry.profile = t->profile;
	job->entry.caller_share = 100;
	job->entry.deadline_us = now_us + t->profile->deadline_us;
	return job;
}

static void arrive(void *ctx, void *data, uint64_t arg)
{
	struct run *r = ctx;
	const struct traffic *t = data;
	uint64_t now_us = event_queue_now(r->events);
	struct job *job = make_job(r, t);
	uint64_t retry_us;

	(void)arg;
	r->arrived[t->caller]++;
	if (r->policy != FAIR)
		push_baseline(r, job);
	else if (!admit_push(r->admit, &job->entry, now_us, &retry_us, NULL))
		refuse(r, job);
	start_all(r);
	if (now_us < DURATION_US)
		event_queue_at(r->events,
			       now_us + random_exp_us(r->rng, 1e6 / t->per_s),
			       arrive, r, data, 0);
}

/* 1: each caller had the same time; 1/n: one had all. */
static double jain(const struct run *r)
{
	double sum = 0, squares = 0;
	unsigned n = 0;
	unsigned i;

	for (i = 0; i < CALLERS; i++) {
		double x = (double)r->busy_us[i];

		n += r->arrived[i] > 0;
		sum += x;
		squares += x * x;
	}
	return sum * sum / (n * squares);
}

static void print_row(struct run *r)
{
	unsigned arrived = 0, useful = 0, refused = 0, late = 0;
	unsigned i;

	for (i = 1; i < CALLERS; i++) {
		arrived += r->arrived[i];
		useful += r->useful[i];
		refused += r->refused[i];
		late += r->late[i];
	}
	printf("{\"bench\":\"admit\",\"scenario\":\"%s\",\"policy\":\"%s\","
	       "\"light_p50_ms\":%.1f,\"light_p99_ms\":%.1f,"
	       "\"light_in_time\":%.4f,\"light_refused\":%u,\"light_late\":%u,"
	       "\"flood_p50_ms\":%.1f,\"flood_in_time\":%.4f,"
	       "\"flood_refused\":%u,\"flood_late\":%u,"
	       "\"refusal_p99_ms\":%.1f,\"goodput\":%.3f,\"jain\":%.3f}\n",
	       r->scenario->name, policy_names[r->policy],
	       samples_ms(&r->light_us, 0.5), samples_ms(&r->light_us, 0.99),
	       (double)useful / arrived, refused, late,
	       samples_ms(&r->flood_us, 0.5),
	       (double)r->useful[FLOOD] / r->arrived[FLOOD], r->refused[FLOOD],
	       r->late[FLOOD], samples_ms(&r->refusal_us, 0.99),
	       (double)r->useful_us / ((double)DURATION_US * SLOTS), jain(r));
}

static void run_scenario(const struct scenario *scenario, enum policy policy)
{
	struct run r = { .policy = policy, .scenario = scenario };
	unsigned i;

	r.events = event_queue_create();
	r.rng = g_rand_new_with_seed(SEED);
	r.admit = admit_create(SLOTS);
	samples_init(&r.light_us);
	samples_init(&r.flood_us);
	samples_init(&r.refusal_us);
	for (i = 0; i < scenario->n_traffic; i++)
		event_queue_at(r.events, 1 + i, arrive, &r,
			       (void *)&scenario->traffic[i], 0);
	while (event_queue_run(r.events))
		;
	print_row(&r);
	samples_clear(&r.light_us);
	samples_clear(&r.flood_us);
	samples_clear(&r.refusal_us);
	admit_destroy(r.admit);
	g_rand_free(r.rng);
	event_queue_destroy(r.events);
}

int main(void)
{
	unsigned i, policy;

	for (i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		for (policy = 0; policy < POLICIES; policy++)
			run_scenario(&scenarios[i], (enum policy)policy);
	}
	return 0;
}
