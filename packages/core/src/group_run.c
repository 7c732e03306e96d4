#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>
#include <stdarg.h>
#include <stdio.h>

/* Minimum of time left for a retry; with less it would likely time out. */
#define RETRY_MIN_REMAINING_US (20 * USEC_PER_MSEC)
/*
 * How long the answer to a read on the primary waits until a majority has the
 * position that the read saw.
 */
#define READ_CONFIRM_TIMEOUT_US (250 * USEC_PER_MSEC)
/* The inverse weight of a new sample in the smoothed latency. */
#define LATENCY_SMOOTHING_DIVISOR 8

/*
 * Adds a run for the request to the table, in RUN_WAITING. The profile must
 * outlive the run.
 */
struct run *run_create(struct group *g, const struct run_type *type,
		       struct request *request, const struct profile *profile,
		       unsigned share, group_answer_fn answer, void *user,
		       uint64_t now_us)
{
	struct run *run = g_new0(struct run, 1);

	run->group = g;
	run->type = type;
	run->request = request_ref(request);
	run->profile = profile;
	run->share = share;
	run->answer = answer;
	run->user = user;
	run->arrived_us = now_us;
	run->deadline_us = now_us + request->deadline_left_us;
	run->next_try_at_us = now_us;
	run->wait_code = ERR_DEADLINE;
	run->wait_text = "the deadline passed";
	run->link.data = run;
	run->sent_before = request->resend && g->guards.settle_resends;
	run->state = RUN_WAITING;
	g_queue_push_tail_link(&g->runs[RUN_WAITING], &run->link);
	g_hash_table_insert(g->by_request, request, run);
	return run;
}

/* Frees a run that is in no list and has neither slot nor connection. */
void run_destroy(struct run *run)
{
	request_unref(run->request);
	answer_unref(run->reply);
	answer_unref(run->refusal);
	if (run->results)
		g_string_free(run->results, TRUE);
	if (run->running_key_added)
		running_key_remove(run->group, run->key);
	g_free(run->key);
	g_free(run->entry);
	g_free(run);
}

/* Moves the run to the list of its new state. */
void run_set_state(struct run *run, enum run_state state)
{
	struct group *g = run->group;

	if (run->state == state)
		return;
	g_queue_unlink(&g->runs[run->state], &run->link);
	run->state = state;
	g_queue_push_tail_link(&g->runs[state], &run->link);
}

static void smooth_latency(struct server *s, uint64_t took_us)
{
	s->latency_us =
		(s->latency_us * (LATENCY_SMOOTHING_DIVISOR - 1) + took_us) /
		LATENCY_SMOOTHING_DIVISOR;
}

/* Gives the run's slot back, or takes the run out of the queue. */
void run_free_slot(struct run *run, uint64_t now_us)
{
	struct server *s = run->server;
	uint64_t took_us = run->began_us ? now_us - run->began_us : 0;

	if (!run->entry)
		return;
	if (run->state == RUN_QUEUED) {
		admit_remove(s->admit, run->entry);
	} else {
		admit_done(s->admit, run->entry, took_us);
		if (took_us)
			smooth_latency(s, took_us);
	}
	g_clear_pointer(&run->entry, g_free);
	run->group->again = true;
}

/* Closes the run's connection, even with statements in flight. */
void run_drop_conn(struct run *run)
{
	struct conn *c = run->conn;

	run->conn = NULL;
	if (c && c->state != CONN_GONE)
		conn_close(c);
}

/* Releases the slot and the connection, whose session state is then reset. */
void run_detach(struct run *run, uint64_t now_us)
{
	struct conn *c = run->conn;

	run_free_slot(run, now_us);
	run->conn = NULL;
	if (c && c->state == CONN_IDLE)
		server_release_conn(c, now_us);
}

static void count_outcome(struct run *run, const struct answer *a)
{
	struct group_counts *counts = &run->group->counts;

	if (run->uncertain && a->outcome == OUTCOME_DONE)
		counts->settled_done++;
	else if (run->uncertain && a->outcome != OUTCOME_UNKNOWN)
		counts->settled_not_run++;
	switch (a->outcome) {
	case OUTCOME_DONE:
		if (run->type->writes)
			counts->writes_done++;
		else if (run->by_primary)
			counts->reads_primary++;
		else
			counts->reads_replica++;
		break;
	case OUTCOME_UNKNOWN:
		counts->unknown++;
		break;
	case OUTCOME_NOT_RUN:
		counts->not_run++;
		break;
	case OUTCOME_ROLLED_BACK:
		break;
	}
}

/*
 * Remembers a key that was answered as unknown, and forgets it once the outcome
 * is certain: the write is done, or a refusal of it was settled.
 */
static void update_unknown_keys(struct run *run, const struct answer *a)
{
	if (a->outcome == OUTCOME_UNKNOWN)
		unknown_key_add(run->group, run->key);
	else if (a->outcome == OUTCOME_DONE || run->uncertain)
		unknown_key_remove(run->group, run->key);
}

/*
 * Sets the final answer, whose reference is taken over. run_flush() delivers it
 * later, because the callback may call into the group again.
 */
void run_answer(struct run *run, struct answer *answer)
{
	struct answer *old = run->reply;

	g_assert(!run->entry);
	run_drop_conn(run);
	run->reply = answer;
	answer_unref(old);
	run_set_state(run, RUN_ANSWERED);
	count_outcome(run, answer);
	if (run->type->writes)
		update_unknown_keys(run, answer);
}

/*
 * Whether the refusal is safe without settling the outcome: the key is known to
 * be another request's, or the entry proxy turns to another home, which gives
 * the answer.
 */
static bool is_safe_without_settling(const struct answer *refusal)
{
	return refusal->err.code == ERR_KEY_REUSED ||
	       refusal->err.code == ERR_STOPPING ||
	       refusal->err.code == ERR_NO_HOME;
}

/*
 * Refuses the run; the answer's reference is taken over. Guards against a false
 * "not run": when the request was sent before, to another home or with an
 * answer that the outcome is unknown, that attempt may be committed already or
 * still commit. Then the refusal is answered only once a tombstone in the
 * outcome table prevents that commit.
 */
void run_refuse(struct run *run, struct answer *refusal)
{
	if (!run->type->writes || !run->sent_before ||
	    is_safe_without_settling(refusal)) {
		/*
		 * Warns the entry proxy that the next home's refusal is no
		 * proof either: the earlier attempt may be committed.
		 */
		refusal->repeated = run->type->writes && run->sent_before;
		run_answer(run, refusal);
		return;
	}
	run_drop_conn(run);
	answer_unref(run->refusal);
	run->refusal = refusal;
	run->uncertain = true;
	run->next_try_at_us = 0;
	run->group->again = true;
	run_set_state(run, RUN_SETTLE_WAIT);
}

/* Refuses with a code and a text; retry_after_us 0: no advice to retry. */
void run_fail(struct run *run, enum err_code code, uint64_t retry_after_us,
	      const char *fmt, ...)
{
	char text[ERR_MESSAGE_SIZE];
	struct answer *a;
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	a = answer_error(code, "%s", text);
	a->retry_after_us = retry_after_us;
	run_refuse(run, a);
}

/* Creates the answer to a failed statement, with code, text and SQLSTATE. */
struct answer *run_statement_error_answer(const struct upstream_result *result)
{
	struct answer *a =
		answer_error(result->err.code, "%s", result->err.message);

	g_strlcpy(a->sqlstate, result->sqlstate, sizeof(a->sqlstate));
	return a;
}

/* Creates a successful answer with the results; NULL: an empty list. */
struct answer *run_success_answer(struct run *run, const GString *results)
{
	struct answer *a = answer_create(OUTCOME_DONE);
	GString *list = g_string_sized_new((results ? results->len : 0) + 2);

	g_string_append_c(list, '[');
	if (results)
		g_string_append_len(list, results->str, (gssize)results->len);
	g_string_append_c(list, ']');
	a->results = g_string_free_to_bytes(list);
	a->by_primary = run->by_primary;
	a->age_us = run->age_us;
	if (run->server)
		g_strlcpy(a->server, run->server->name, sizeof(a->server));
	return a;
}

/*
 * Answers with the reply, whose reference is taken over, once a majority has
 * the position, which may be at once. A read is answered after
 * READ_CONFIRM_TIMEOUT_US even if no majority has it.
 */
void run_confirm(struct run *run, struct answer *reply, struct position p,
		 uint64_t now_us)
{
	answer_unref(run->reply);
	run->reply = reply;
	run->position = p;
	run->confirm_until_us = UINT64_MAX;
	if (!run->type->writes)
		run->confirm_until_us = now_us + READ_CONFIRM_TIMEOUT_US;
	run_set_state(run, RUN_CONFIRMING);
	run->group->news = true;
}

/*
 * Whether the run may be retried: it can start anew, enough time is left, and
 * the retry budget allows it, of which a token is taken.
 */
bool run_may_retry(struct run *run, uint64_t now_us)
{
	if (!run->type->start ||
	    now_us + RETRY_MIN_REMAINING_US >= run->deadline_us)
		return false;
	return retry_budget_take(&run->group->retries);
}

/* Returns the run to RUN_WAITING, to be routed again after wait_us. */
void run_reroute(struct run *run, uint64_t wait_us, uint64_t now_us)
{
	run_detach(run, now_us);
	run->server = NULL;
	run->next_try_at_us = now_us + wait_us;
	run->began_us = 0;
	run_set_state(run, RUN_WAITING);
	run->group->again = true;
}

/* Delivers all answers that are ready. Callbacks may call into the group. */
void run_flush(struct group *g)
{
	GList *l;

	while ((l = g->runs[RUN_ANSWERED].head)) {
		struct run *run = l->data;

		g_queue_unlink(&g->runs[RUN_ANSWERED], l);
		g_hash_table_remove(g->by_request, run->request);
		run->answer(run->user, run->request, run->reply);
		run_destroy(run);
	}
}
