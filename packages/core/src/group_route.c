#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>
#include <inttypes.h>
#include <string.h>

/* Requests that may wait for a server at a time; further ones are refused. */
#define MAX_WAITING 1024
/* The time after which a refused caller is advised to retry. */
#define RETRY_AFTER_US (1 * USEC_PER_SEC)
/* A write that waits for the outcome table is routed again after this. */
#define PREPARE_RECHECK_US (5 * USEC_PER_MSEC)
/* Delay before a run that may not start where it was queued is routed again. */
#define REROUTE_DELAY_US (1 * USEC_PER_MSEC)

/* Predicts how long this run would wait in the server's queue and then take. */
static void predict(const struct run *run, const struct server *s,
		    struct route_server *out, uint64_t now_us)
{
	struct str caller = run->request->caller;

	out->latency_us = s->latency_us;
	if (!run->profile)
		return;
	out->wait_us = admit_predict_wait_us(s->admit, caller, run->profile,
					     run->share, now_us);
	out->latency_us = admit_expected_service_us(s->admit, run->profile);
}

/* Fills in the candidates for the choice of one run's server. */
static void fill_servers(const struct run *run, struct route_server *out,
			 uint64_t now_us)
{
	struct group *g = run->group;
	int primary = fresh_primary(g->fresh);
	unsigned i;

	for (i = 0; i < g->n_active; i++) {
		const struct server *s = group_server(g, (int)i);
		const struct server_status *st = fresh_status(g->fresh, i);

		out[i] = (struct route_server){
			.up = server_is_up(s, now_us),
			.leaving = s->leaving || (st && st->leaving),
			.is_primary = (int)i == primary,
			.slots = server_slots(s),
			.running = admit_running(s->admit),
			.queued = admit_queued(s->admit),
		};
		predict(run, s, &out[i], now_us);
	}
}

/* Logs the choice, its reason, and why the other servers were not chosen. */
static void log_choice(const struct run *run, const struct route_choice *choice,
		       const struct server *s)
{
	const struct group *g = run->group;
	char passed[FRESH_MAX_SERVERS + 1] = "";
	uint64_t age_us = choice->age_us == UINT64_MAX ? 0 : choice->age_us;
	char age[STR_U64_SIZE], queue[STR_U64_SIZE];
	unsigned i;
	char *id;

	if (!log_decisions_enabled())
		return;
	for (i = 0; i < g->n_active; i++)
		passed[i] = route_skip_letter(choice->passed[i]);
	passed[g->n_active] = '\0';
	str_put_u64(age, age_us / USEC_PER_MSEC);
	str_put_u64(queue, s ? admit_queued(s->admit) : 0);
	id = str_dup(run->request->key);
	log_decision("route", "id", id, "database", g->label, "kind",
		     run->type->name, "server", s ? s->name : "", "why",
		     route_reason_name(choice->why), "age_ms", age, "passed",
		     passed, "queue", queue, NULL);
	g_free(id);
}

/*
 * Lets the run wait until until_us, or until news of the servers. The code and
 * the text are its answer if the deadline passes first.
 */
static void wait_for(struct run *run, enum err_code code, const char *text,
		     uint64_t until_us)
{
	run->wait_code = code;
	run->wait_text = text;
	run->next_try_at_us = until_us;
}

/* Puts the run into the server's queue, or refuses it. */
static void enqueue(struct run *run, struct server *s,
		    const struct route_choice *choice, uint64_t now_us)
{
	uint64_t retry_after_us = 0;
	struct err err = { 0 };

	run->entry = g_new0(struct admit_entry, 1);
	run->entry->caller = run->request->caller;
	run->entry->profile = run->profile;
	run->entry->caller_share = run->share;
	run->entry->deadline_us = run->deadline_us;
	run->entry->user = run;
	if (!admit_push(s->admit, run->entry, now_us, &retry_after_us, &err)) {
		g_clear_pointer(&run->entry, g_free);
		run->group->counts.refused++;
		run_fail(run, err.code, retry_after_us, "%s", err.message);
		return;
	}
	run->server = s;
	run->age_us = choice->age_us;
	run->tries++;
	run_set_state(run, RUN_QUEUED);
}

/*
 * Whether the primary may be given a write now; if not, the run waits or is
 * refused. A write that no majority can confirm is refused before it runs, as
 * its outcome would be unknown.
 */
static bool write_may_start(struct run *run, struct server *s, uint64_t now_us)
{
	struct group *g = run->group;

	if (g->hold_writes) {
		wait_for(run, ERR_NO_PRIMARY, "the primary is being changed",
			 UINT64_MAX);
		return false;
	}
	if (!probe_majority_known(g)) {
		wait_for(run, ERR_NO_MAJORITY,
			 "no majority of the servers answered yet", UINT64_MAX);
		return false;
	}
	if (probe_majority_stale(g, now_us)) {
		run_free_slot(run, now_us);
		run_fail(run, ERR_NO_MAJORITY, RETRY_AFTER_US,
			 "no majority of the servers confirms writes now");
		return false;
	}
	if (s->outcome_table_term != fresh_term(g->fresh)) {
		wait_for(run, ERR_NO_PRIMARY,
			 "the primary is not ready for writes",
			 now_us + PREPARE_RECHECK_US);
		server_ensure_outcome_table(s, now_us);
		return false;
	}
	return true;
}

/* No server was chosen: lets the run wait, or refuses it if that can't help. */
static void route_none(struct run *run, const struct route_choice *choice,
		       uint64_t now_us)
{
	uint64_t recheck_at_us = now_us + choice->wait_us;

	switch (choice->why) {
	case ROUTE_WAIT_CONFIRM:
		probe_request_all(run->group, run->arrived_us);
		wait_for(run, ERR_NO_MAJORITY,
			 "no majority of the servers confirms the primary",
			 MAX(recheck_at_us, now_us + USEC_PER_MSEC));
		break;
	case ROUTE_WAIT_REPLICA:
		wait_for(run, ERR_NO_SERVER, "no server is fresh enough",
			 MAX(recheck_at_us, now_us + USEC_PER_MSEC));
		break;
	case ROUTE_NONE_LOST_HISTORY:
		run_fail(run, ERR_LOST_HISTORY, 0,
			 "the session has seen position %" PRIu64
			 " of term %" PRIu64 ", which was lost",
			 run->request->seen.index, run->request->seen.term);
		break;
	case ROUTE_NONE_NO_PRIMARY:
		wait_for(run, ERR_NO_PRIMARY, "the database has no primary now",
			 UINT64_MAX);
		break;
	default:
		wait_for(run, ERR_NO_SERVER,
			 "no server can answer within the profile's bounds",
			 UINT64_MAX);
		break;
	}
}

/* Chooses a server for the run, and puts it into that server's queue. */
static void route_one(struct run *run, const struct route_server *servers,
		      uint64_t now_us)
{
	struct group *g = run->group;
	struct route_request req = {
		.profile = run->profile,
		.seen = run->request->seen,
		.arrived_us = run->arrived_us,
		.deadline_us = run->deadline_us,
	};
	enum err_code waited = run->wait_code;
	struct route_choice choice;
	struct server *s;

	route_choose(g->fresh, servers, g->n_active, &req, now_us, g->rng,
		     &choice);
	s = group_server(g, choice.server);
	if (!s) {
		route_none(run, &choice, now_us);
		if (run->wait_code != waited)
			log_choice(run, &choice, NULL);
		return;
	}
	if (run->type->to_primary && !write_may_start(run, s, now_us))
		return;
	enqueue(run, s, &choice, now_us);
	if (run->state == RUN_QUEUED)
		log_choice(run, &choice, s);
}

static void fail_at_deadline(struct run *run)
{
	run_fail(run, run->wait_code, RETRY_AFTER_US, "%s", run->wait_text);
}

/* Routes the runs that wait for a server, in their order in the list. */
void route_waiting(struct group *g, uint64_t now_us)
{
	struct route_server servers[FRESH_MAX_SERVERS];
	GList *l, *next;
	unsigned n = 0;
	bool news = g->news;

	for (l = g->runs[RUN_WAITING].head; l; l = next) {
		struct run *run = l->data;

		next = l->next;
		if (now_us >= run->deadline_us) {
			fail_at_deadline(run);
			continue;
		}
		if (++n > MAX_WAITING) {
			g->counts.refused++;
			run_fail(run, ERR_OVERLOADED, RETRY_AFTER_US,
				 "too many requests wait for a server");
			continue;
		}
		if (!news && now_us < run->next_try_at_us)
			continue;
		fill_servers(run, servers, now_us);
		route_one(run, servers, now_us);
	}
}

/* Whether a queued run may still start where it was queued. */
static bool may_start(struct run *run, struct server *s, uint64_t now_us)
{
	if (run->type->to_primary)
		return group_primary(s->group) == s &&
		       write_may_start(run, s, now_us);
	return read_may_run(run, s, now_us);
}

/*
 * Records the age that a read's answer states, which is the data's age at the
 * start: it may have grown while the read was queued.
 */
static void note_age(struct run *run, const struct server *s, uint64_t now_us)
{
	uint64_t age_us =
		fresh_age_us(s->group->fresh, (unsigned)s->index, now_us);

	if (!run->type->to_primary && age_us != UINT64_MAX)
		run->age_us = age_us;
}

/* Starts a run that has a slot, if the choice still holds. */
static void start(struct run *run, struct conn *c, uint64_t now_us)
{
	struct server *s = run->server;

	run_set_state(run, RUN_RUNNING);
	if (!may_start(run, s, now_us)) {
		if (run->state == RUN_RUNNING)
			run_reroute(run, REROUTE_DELAY_US, now_us);
		return;
	}
	note_age(run, s, now_us);
	run->began_us = now_us;
	run->conn = c;
	c->pinned = true;
	run->by_primary = group_primary(s->group) == s;
	run->type->start(run, now_us);
}

/* Refuses queued runs as soon as their deadlines can't be met any more. */
static void expire(struct server *s, uint64_t now_us)
{
	struct admit_entry *e;

	while ((e = admit_pop_expired(s->admit, now_us))) {
		struct run *run = e->user;
		uint64_t wait_us = admit_backlog_us(s->admit);

		g_clear_pointer(&run->entry, g_free);
		run_fail(run, ERR_DEADLINE, MAX(wait_us, USEC_PER_MSEC),
			 "the queue did not move in time");
	}
}

/* Starts queued runs while there are a free slot and a connection. */
static void start_queued(struct server *s, uint64_t now_us)
{
	struct admit_entry *e;
	struct conn *c;

	while (admit_queued(s->admit) &&
	       admit_running(s->admit) < server_slots(s)) {
		c = server_acquire_conn(s, now_us);
		if (!c)
			return;
		e = admit_pop(s->admit, now_us);
		if (!e)
			return;
		start(e->user, c, now_us);
	}
}

/* Takes runs out of the server's queue, to be routed again. */
void route_drain_queue(struct server *s, bool writes_only, uint64_t now_us)
{
	GList *l, *next;

	for (l = s->group->runs[RUN_QUEUED].head; l; l = next) {
		struct run *run = l->data;

		next = l->next;
		if (run->server == s && (run->type->to_primary || !writes_only))
			run_reroute(run, 0, now_us);
	}
}

/* Works on the queues of all servers: expires, moves and starts runs. */
void route_queued(struct group *g, uint64_t now_us)
{
	struct server *primary = group_primary(g);
	unsigned i;

	for (i = 0; i < g->n_active; i++) {
		struct server *s = group_server(g, (int)i);

		expire(s, now_us);
		if (admit_queued(s->admit) && !server_is_up(s, now_us))
			route_drain_queue(s, false, now_us);
		else if (admit_queued(s->admit) && s != primary)
			route_drain_queue(s, true, now_us);
		start_queued(s, now_us);
	}
}

/* When the next run must be routed or expired, even without news of servers. */
uint64_t route_next_us(struct group *g)
{
	uint64_t next_us = UINT64_MAX;
	GList *l;

	for (l = g->runs[RUN_WAITING].head; l; l = l->next) {
		const struct run *run = l->data;

		next_us = MIN(next_us, run->deadline_us);
		next_us = MIN(next_us, run->next_try_at_us);
	}
	for (l = g->runs[RUN_QUEUED].head; l; l = l->next)
		next_us = MIN(next_us, ((struct run *)l->data)->deadline_us);
	return next_us;
}
