#include "route_sim_internal.h"

#include <stdlib.h>

#define LOOK_AGAIN_US (10 * MS)

/* The index that an answer must show if its snapshot is taken at a time. */
static uint64_t needed_index(const struct run *r, const struct job *job,
			     uint64_t time_us)
{
	uint64_t max_age_us = job->kind->profile.max_age_us;
	uint64_t since_us = time_us > max_age_us ? time_us - max_age_us : 0;

	since_us = MIN(since_us, job->request.arrived_us);
	return MAX(group_model_acknowledged_before(r->model, since_us),
		   job->request.seen.index);
}

/* With full knowledge: whether a replica could serve the read now. */
void flow_note_possible(void *ctx, void *data, uint64_t arg)
{
	struct run *r = ctx;
	struct job *job = data;
	unsigned i;

	(void)arg;
	for (i = 1; i < MODEL_SERVERS; i++) {
		if (group_model_applied(r->model, i) >=
		    needed_index(r, job, now(r)))
			job->possible = true;
	}
}

static void close_job(struct run *r)
{
	r->n_open--;
	if (!r->n_open && r->n_arrived == r->set->n_requests)
		group_model_stop(r->model);
}

struct kind_result *kind_result(struct run *r, const struct job *job)
{
	return &r->result->kinds[job->kind - r->set->kinds];
}

/* Without an answer, unless a copy of it is still under way. */
void flow_refuse(struct run *r, struct job *job)
{
	struct job *original = job->original ? job->original : job;

	trial_left_queue(r, job, false);
	if (--original->attempts || original->served)
		return;
	kind_result(r, original)->refused++;
	close_job(r);
}

static void answer(struct run *r, struct job *job)
{
	struct kind_result *kind = kind_result(r, job);
	uint64_t latency_us = now(r) - job->request.arrived_us;

	job->served = true;
	samples_add(&r->result->latency_us, latency_us);
	samples_add(&kind->latency_us, latency_us);
	if (now(r) > job->request.deadline_us) {
		kind->late++;
	} else {
		kind->useful++;
		if (r->n_arrived < r->set->n_requests)
			r->useful_us += job->service_us + round_trip_us(r);
	}
	close_job(r);
}

static void raise_session(struct session *s, uint64_t index)
{
	s->seen.term = MODEL_TERM;
	s->seen.index = MAX(s->seen.index, index);
}

static void acknowledge(struct run *r, struct job *job)
{
	group_model_acknowledged(r->model, job->wrote);
	raise_session(job->session, job->wrote);
	r->recent[r->n_recent++ % RECENT] = job->session;
	answer(r, job);
}

void flow_on_status(void *ctx)
{
	struct run *r = ctx;
	GList *l = r->unconfirmed.head;

	while (l) {
		struct job *job = l->data;
		struct position p = { MODEL_TERM, job->wrote };
		GList *next = l->next;

		if (fresh_is_durable(r->fresh, p)) {
			g_queue_delete_link(&r->unconfirmed, l);
			acknowledge(r, job);
		}
		l = next;
	}
}

/* The server's answer is back at the proxy. */
void flow_answer_read(struct run *r, struct job *job, uint64_t index)
{
	raise_session(job->session, index);
	answer(r, job);
}

/* The first copy's answer counts. */
static void finish_read(struct run *r, struct job *job, uint64_t index)
{
	struct job *original = job->original ? job->original : job;

	original->attempts--;
	if (original->served)
		return;
	original->by_replica = job->by_replica;
	original->possible |= job->possible;
	flow_answer_read(r, original, index);
	trial_answered(r, job, index);
}

static void finish(void *ctx, void *data, uint64_t index)
{
	struct run *r = ctx;
	struct job *job = data;
	struct position p = { MODEL_TERM, index };

	admit_done(r->queues[job->server], &job->entry,
		   now(r) - job->entry.started_us);
	fresh_on_applied(r->fresh, job->server, p);
	flow_run_next(r, job->server);
	if (is_read(job)) {
		finish_read(r, job, index);
		return;
	}
	g_queue_push_tail(&r->unconfirmed, job);
	flow_on_status(r);
}

static void commit(void *ctx, void *data, uint64_t arg)
{
	struct run *r = ctx;
	struct job *job = data;

	(void)arg;
	job->wrote = group_model_commit(r->model);
	event_queue_at(r->events, now(r) + r->set->deployment->latency_us,
		       finish, r, job, job->wrote);
}

void flow_check_snapshot(struct run *r, struct job *job, uint64_t index)
{
	if (index < job->request.seen.index)
		r->result->stale_session++;
	else if (index < needed_index(r, job, now(r)))
		r->result->stale_age++;
	job->by_replica = job->server != 0;
	job->possible |= job->by_replica;
}

/* The statement is at its server, which takes the snapshot. */
static void execute(void *ctx, void *data, uint64_t arg)
{
	struct run *r = ctx;
	struct job *job = data;
	uint64_t index = group_model_applied(r->model, job->server);
	uint64_t done_us;

	(void)arg;
	if (r->set->slow > 0 && job->server == MODEL_SERVERS - 1)
		job->service_us =
			(uint64_t)((double)job->service_us * r->set->slow);
	done_us = now(r) + job->service_us;
	if (is_read(job) && g_rand_double(r->rng) < r->set->stall_part)
		done_us += r->set->stall_us;
	if (!is_read(job)) {
		event_queue_at(r->events, done_us, commit, r, job, 0);
		return;
	}
	flow_check_snapshot(r, job, index);
	trial_executed(r, job, index);
	event_queue_at(r->events, done_us + r->set->deployment->latency_us,
		       finish, r, job, index);
}

void flow_view_servers(const struct run *r, const struct job *job,
		       struct route_server *out)
{
	unsigned i;

	for (i = 0; i < MODEL_SERVERS; i++) {
		struct admit *a = r->queues[i];

		out[i] = (struct route_server){
			.up = true,
			.is_primary = i == 0,
			.slots = r->set->deployment->slots,
			.running = admit_running(a),
			.queued = admit_queued(a),
		};
		out[i].latency_us =
			admit_expected_service_us(a, job->entry.profile);
		out[i].wait_us = admit_predict_wait_us(a, job->entry.caller,
						       job->entry.profile,
						       job->entry.caller_share,
						       now(r));
	}
}

bool flow_may_run(struct run *r, struct job *job)
{
	struct route_server view[MODEL_SERVERS];

	if (r->set->policy != CELERYQUAY || !is_read(job))
		return true;
	flow_view_servers(r, job, view);
	return route_may_serve(r->fresh, view, MODEL_SERVERS, &job->request,
			       job->server, now(r));
}

void flow_run_next(struct run *r, unsigned server)
{
	struct admit *a = r->queues[server];
	struct admit_entry *e;

	while ((e = admit_pop_expired(a, now(r))))
		flow_refuse(r, (struct job *)e);
	while ((e = admit_pop(a, now(r)))) {
		struct job *job = (struct job *)e;

		trial_left_queue(r, job, true);
		if (flow_may_run(r, job)) {
			event_queue_at(r->events,
				       now(r) + r->set->deployment->latency_us,
				       execute, r, job, 0);
			continue;
		}
		admit_done(a, e, 0);
		event_queue_at(r->events, now(r), flow_place, r, job, 0);
	}
}

static int choose(struct run *r, struct job *job, struct route_choice *choice)
{
	struct route_server view[MODEL_SERVERS];

	if (r->set->policy == PRIMARY_ONLY || !is_read(job))
		return 0;
	if (r->set->policy == ROUND_ROBIN) {
		r->next_replica++;
		return 1 + (int)(r->next_replica % (MODEL_SERVERS - 1));
	}
	flow_view_servers(r, job, view);
	route_choose(r->fresh, view, MODEL_SERVERS, &job->request, now(r),
		     r->rng, choice);
	return choice->server;
}

/* Queues at the server; false: refused there. */
bool flow_push(struct run *r, struct job *job, unsigned server)
{
	uint64_t retry_us;

	job->server = server;
	if (!admit_push(r->queues[server], &job->entry, now(r), &retry_us,
			NULL)) {
		flow_refuse(r, job);
		return false;
	}
	trial_queued(r, job);
	flow_run_next(r, server);
	return true;
}

/* Chooses a server and queues there, or looks again later. */
void flow_place(void *ctx, void *data, uint64_t arg)
{
	struct run *r = ctx;
	struct job *job = data;
	struct route_choice choice = { .wait_us = LOOK_AGAIN_US };
	int server;

	(void)arg;
	if (now(r) >= job->request.deadline_us) {
		flow_refuse(r, job);
		return;
	}
	if (trial_follow(r, job))
		return;
	server = choose(r, job, &choice);
	if (server < 0) {
		if (choice.why == ROUTE_WAIT_CONFIRM)
			group_model_confirm(r->model, job->request.arrived_us);
		event_queue_at(r->events, now(r) + MAX(choice.wait_us, 100),
			       flow_place, r, job, 0);
		return;
	}
	flow_push(r, job, (unsigned)server);
}
