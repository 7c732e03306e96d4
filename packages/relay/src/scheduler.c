#define LOG_MODULE "sched"
#include "scheduler.h"

#include "homes.h"
#include "wait.h"

#include <celeryquay/sched/admission.h>
#include <celeryquay/sched/connections.h>
#include <celeryquay/sched/queue.h>
#include <celeryquay/sched/speed.h>

#include <string.h>

/* An account's weight, by the priority that operators give it. */
#define WEIGHT_HIGHEST 4
#define WEIGHT_SECOND 2
/* Expected service time of a profile that has not run yet, of its target. */
#define UNKNOWN_COST_DIVISOR 8
/*
 * The time that a statement needs at the server counts this many times against
 * its deadline: nine in ten need less than twice the mean.
 */
#define COST_MARGIN 2
/*
 * Statements for which no connection is found at one event, of those that only
 * the primary may run and of the others; the next event goes on from the first
 * again. It bounds the work of an answer while many accounts wait for
 * connections.
 */
#define MAX_FAILED_STARTS 16
/* Statements that are looked at for one event; most are passed over. */
#define MAX_LOOKED_AT 256
/* Interval between two checks of all that waits. */
#define CHECK_INTERVAL_US (20 * USEC_PER_MSEC)

struct rsched {
	struct squeue *queue;
	struct sspeed *speed;
	struct sretry retry;
	uint64_t checked_at_us; /* time of the last check of all that waits */
};

/* A queue in which nothing waits, and no service time is known. */
struct rsched *rsched_create(void)
{
	struct rsched *q = g_new0(struct rsched, 1);

	q->queue = squeue_create();
	q->speed = sspeed_create();
	return q;
}

/* Frees the queue; sessions own its entries. */
void rsched_destroy(struct rsched *q)
{
	if (!q)
		return;
	squeue_destroy(q->queue);
	sspeed_destroy(q->speed);
	g_free(q);
}

/* The queue of a service; created on first use. */
static struct rsched *sched_of(struct rservice *v)
{
	if (!v->sched) {
		v->sched = rsched_create();
		g_ptr_array_add(v->relay->scheduled, v);
	}
	return v->sched;
}

static struct rservice *service_of(const struct rsession *s)
{
	return registry_service_of_database(s->relay, s->database);
}

/*
 * A standby's own callers wait for the first home instead, in the queue of
 * wait.c.
 */
bool rsched_applies(const struct rsession *s)
{
	const struct rservice *v = service_of(s);

	return v && v->pooled && v->is_home &&
	       (s->peer || !v->rank.n_ranked_before);
}

static unsigned weight_of(const struct rsession *s)
{
	unsigned priority = raccount_priority(s);

	if (!priority)
		return WEIGHT_HIGHEST;
	return priority == 1 ? WEIGHT_SECOND : 1;
}

/* Queues the run by its profile, its account and its expected service time. */
void rsched_push(struct rsession *s, uint64_t now_us)
{
	struct rservice *v = service_of(s);
	struct rsched *q = sched_of(v);
	struct rrun *run = &s->run;
	uint64_t target_us = run->due_us - run->arrived_us;

	run->wait = (struct squeue_entry){
		.priority = run->priority,
		.account = s->account,
		.weight = weight_of(s),
		.primary_only = run->to_primary,
		.begun = run->tries > 0,
		.due_us = run->due_us,
		.cost_us = sspeed_expected_us(q->speed, s->database,
					      target_us / UNKNOWN_COST_DIVISOR),
		.user = s,
	};
	run->state = RRUN_QUEUED;
	run->queued_at = v;
	s->relay->n_scheduled++;
	squeue_push(q->queue, &run->wait, now_us);
}

/* Whether the run waits in a service's queue rather than in that of wait.c. */
bool rsched_is_queued(const struct rsession *s)
{
	return s->run.queued_at != NULL;
}

/* Takes the run out of its queue; its account pays the expected time. */
void rsched_on_started(struct rsession *s)
{
	squeue_start(s->run.queued_at->sched->queue, &s->run.wait);
	s->run.queued_at = NULL;
	s->relay->n_scheduled--;
}

/* Takes the run out of its queue; its account pays nothing. */
void rsched_cancel(struct rsession *s)
{
	squeue_cancel(s->run.queued_at->sched->queue, &s->run.wait);
	s->run.queued_at = NULL;
	s->relay->n_scheduled--;
}

/*
 * Whether no server of the service can take one more statement now. If none is
 * up, the statements have to be tried: they may go through another home, or be
 * refused since this one is cut off.
 */
static bool is_full(const struct rservice *v)
{
	bool is_any_up = false;
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (!rserver_is_up(s))
			continue;
		if (!inflight_is_full(s))
			return false;
		is_any_up = true;
	}
	return is_any_up;
}

/* Whether it is known that the statement can't start now. */
static bool is_held(const struct rservice *v, const struct squeue_entry *e,
		    uint64_t now_us)
{
	const struct rsession *s = e->user;

	return now_us < s->run.again_us ||
	       (e->primary_only && v->primary && rserver_is_up(v->primary) &&
		inflight_is_full(v->primary));
}

/*
 * Statements for the primary that can't start must not keep reads from the
 * slots of replicas, so failures are counted for each of the two kinds.
 */
static void dispatch(struct rservice *v, uint64_t now_us)
{
	struct squeue_entry *e = squeue_first(v->sched->queue, now_us), *next;
	unsigned n_failed[2] = { 0 }, n;

	for (n = 0; e && n < MAX_LOOKED_AT && !is_full(v); n++, e = next) {
		unsigned *failed = &n_failed[e->primary_only];

		next = squeue_next(e);
		if (*failed == MAX_FAILED_STARTS || is_held(v, e, now_us))
			continue;
		rrun_try_start(e->user, now_us);
		*failed += e->at != NULL;
	}
}

/* Starts what can be started, service by service. */
void rsched_dispatch(struct relay *r, uint64_t now_us)
{
	unsigned i;

	for (i = 0; r->n_scheduled && i < r->scheduled->len; i++) {
		struct rservice *v = g_ptr_array_index(r->scheduled, i);

		if (squeue_length(v->sched->queue))
			dispatch(v, now_us);
	}
}

/* When a statement like this would be admitted, and how far apart. */
static uint64_t retry_after_us(struct rservice *v, const struct rrun *run,
			       const struct squeue_room *room,
			       const struct sadmit_request *request,
			       uint64_t now_us)
{
	unsigned slots = room->primary_slots + room->replica_slots;
	uint64_t at_us = 0, free_after_us = 0;

	if (request->wait_us == UINT64_MAX)
		at_us = rfailover_expected_primary_at_us(v);
	else
		at_us = now_us + request->wait_us + request->cost_us -
			MIN(run->deadline_us - MIN(now_us, run->deadline_us),
			    request->wait_us + request->cost_us);
	if (at_us > now_us)
		free_after_us = at_us - now_us;
	return sretry_after_us(&v->sched->retry, free_after_us,
			       run->wait.cost_us / MAX(slots, 1), now_us);
}

/*
 * A statement that misses its latency target is still of use until its timeout,
 * less what its caller may have used for earlier attempts, which is not known
 * here: half of that time.
 */
static uint64_t useful_until_us(const struct rrun *run)
{
	uint64_t due_us = MIN(run->due_us, run->deadline_us);

	return due_us + (run->deadline_us - due_us) / 2;
}

/*
 * Refuses the run if it won't be served in time. Its work still counts as ahead
 * of those behind it, since its caller is expected to retry: without that, one
 * account at eight times its rate cost others 0.036 of service in a test.
 */
static void check(struct rsession *s, struct squeue_forecast *forecast,
		  uint64_t now_us)
{
	struct rrun *run = &s->run;
	struct rservice *v = run->queued_at;
	struct squeue_room room;
	struct sadmit_request request = {
		.cost_us = run->wait.cost_us * COST_MARGIN,
		.deadline_us = useful_until_us(run),
		.patience_us = run->queue_deadline_us,
	};
	enum sadmit_verdict verdict;

	rpick_room(s, v, run->wait.cost_us, &room, now_us);
	request.wait_us = squeue_forecast_us(forecast, &run->wait, &room);
	verdict = sadmit_check(&request, now_us);
	run->forecast_us = request.wait_us;
	run->verdict = verdict;
	if (verdict == SADMIT_WAIT)
		return;
	rmetrics_refused(s->relay, verdict);
	rwait_refuse(s, retry_after_us(v, run, &room, &request, now_us),
		     now_us);
}

/* Its wait rests on what waits before it. */
void rsched_check(struct rsession *s, uint64_t now_us)
{
	struct rservice *v = s->run.queued_at;
	struct squeue_forecast forecast = { 0 };
	struct squeue_room room;
	struct squeue_entry *e = squeue_first(v->sched->queue, now_us);

	rpick_room(s, v, s->run.wait.cost_us, &room, now_us);
	for (; e != &s->run.wait; e = squeue_next(e))
		squeue_forecast_us(&forecast, e, &room);
	check(s, &forecast, now_us);
}

static void check_all(struct rservice *v, uint64_t now_us)
{
	struct squeue_forecast forecast = { 0 };
	struct squeue_entry *e = squeue_first(v->sched->queue, now_us), *next;

	v->sched->checked_at_us = now_us;
	for (; e; e = next) {
		next = squeue_next(e);
		check(e->user, &forecast, now_us);
	}
}

/*
 * What was admitted is refused as soon as it can't be served any more, such as
 * after the loss of a server, and not only at its deadline.
 */
void rsched_tick(struct relay *r, uint64_t now_us)
{
	unsigned i;

	for (i = 0; r->n_scheduled && i < r->scheduled->len; i++) {
		struct rservice *v = g_ptr_array_index(r->scheduled, i);

		if (squeue_length(v->sched->queue) &&
		    now_us >= v->sched->checked_at_us + CHECK_INTERVAL_US)
			check_all(v, now_us);
	}
}

/*
 * The account has paid the expected service time if the statement was queued;
 * statements of a transaction after the first are not. A refusal takes less
 * than a statement that runs, and says nothing about the server's speed.
 */
void rsched_on_answer(const struct rsession *s, const struct rserver *server,
		      enum relay_code code, uint64_t took_us, uint64_t now_us)
{
	struct rservice *v = server->service;

	if (!v->pooled)
		return;
	if (code == RELAY_OK)
		sspeed_note(sched_of(v)->speed, server->info.id, s->database,
			    took_us, now_us);
	squeue_charge(sched_of(v)->queue, s->account, weight_of(s),
		      s->run.wait.cost_us, took_us);
}

/* Forgets the speed of the server's former process. */
void rsched_on_restarted(const struct rserver *server)
{
	if (server->service->sched)
		sspeed_forget(server->service->sched->speed, server->info.id);
}

/*
 * When the server would be done with the run. A replica that the account
 * doesn't prefer counts as later.
 */
uint64_t rsched_completion_us(const struct rserver *server,
			      const struct rsession *s, uint64_t now_us)
{
	struct rservice *v = server->service;
	const struct sspeed *speed = sched_of(v)->speed;
	uint64_t service_us =
		sspeed_expected_us(speed, s->database, s->run.wait.cost_us);
	uint64_t done_us = sspeed_completion_us(
		service_us, sspeed_slowness(speed, server->info.id, now_us),
		inflight_running(server), MAX(server->info.slots, 1));

	if (v->primary == server)
		return done_us;
	return done_us + sconn_read_penalty_us(s->account, server->info.id);
}

/* Adds the queue's length and what was expected of the run to a log line. */
void rsched_put_inputs(const struct rsession *s, struct log_line *l)
{
	const struct rservice *v = service_of(s);

	if (!v || !v->sched)
		return;
	log_u64(l, "queue", squeue_length(v->sched->queue));
	log_u64(l, "expected_service_ms", s->run.wait.cost_us / USEC_PER_MSEC);
	if (s->run.verdict != SADMIT_WAIT)
		log_cstr(l, "refused_for", sadmit_verdict_name(s->run.verdict));
	if (s->run.forecast_us == UINT64_MAX)
		log_cstr(l, "expected_wait", "no-server");
	else
		log_u64(l, "expected_wait_ms",
			s->run.forecast_us / USEC_PER_MSEC);
}

struct status_text {
	GString *out;
	const char *comma;
};

static void write_count(const struct squeue_count *count, void *ctx)
{
	struct status_text *t = ctx;

	g_string_append_printf(t->out, "%s{\"account\":", t->comma);
	log_append_json_string(t->out, count->account, strlen(count->account));
	g_string_append_printf(t->out,
			       ",\"priority\":%u,\"statements\":%u,"
			       "\"work_ms\":%" G_GUINT64_FORMAT "}",
			       count->priority, count->n,
			       count->work_us / USEC_PER_MSEC);
	t->comma = ",";
}

/* Appends the statements that wait, by account and priority, as JSON. */
void rsched_write_status(const struct rservice *v, GString *out)
{
	struct status_text t = { out, "" };

	g_string_append(out, ",\"queue\":[");
	if (v->sched)
		squeue_each_count(v->sched->queue, write_count, &t);
	g_string_append(out, "]");
}
