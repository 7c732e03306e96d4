#define LOG_MODULE "group"
#include "group_internal.h"

static bool is_confirmed(const struct run *run)
{
	const struct group *g = run->group;

	if (!g->guards.confirm_writes && run->type->writes)
		return true;
	if (!g->guards.confirm_reads && !run->type->writes)
		return true;
	return fresh_is_durable(g->fresh, run->position);
}

/*
 * Whether another primary leads a later term. The position may be lost together
 * with the old primary, and what that one reported proves nothing.
 */
static bool is_superseded(const struct run *run)
{
	return fresh_term(run->group->fresh) > run->position.term;
}

static void send_reply(struct run *run)
{
	struct answer *reply = run->reply;

	run->reply = NULL;
	run_answer(run, reply);
}

/* At the deadline; a write that no majority confirmed may be done or lost. */
static void on_deadline(struct run *run)
{
	if (run->type->writes) {
		settle_give_up(run);
		return;
	}
	run_fail(run, ERR_TIMED_OUT, 0, "the deadline passed");
}

/* Settles a write with the new primary; retries a read. */
static void on_superseded(struct run *run, uint64_t now_us)
{
	if (run->type->writes)
		settle_begin(run, now_us);
	else if (run_may_retry(run, now_us))
		run_reroute(run, 0, now_us);
	else
		run_fail(run, ERR_NO_SERVER, 0,
			 "the server that was read is no longer the primary");
}

static void confirm_one(struct run *run, uint64_t now_us)
{
	if (!is_confirmed(run)) {
		if (now_us >= run->deadline_us) {
			on_deadline(run);
			return;
		}
		if (is_superseded(run)) {
			on_superseded(run, now_us);
			return;
		}
		if (now_us < run->confirm_until_us)
			return;
	}
	send_reply(run);
}

/*
 * Sends the answers whose position a majority has. Without this check a write
 * could be acknowledged that was committed only by an isolated primary, which
 * still takes itself for the leader: its report counts as one vote, and no
 * replica that could be promoted has the write.
 */
void confirm_all(struct group *g, uint64_t now_us)
{
	GList *l, *next;

	for (l = g->runs[RUN_CONFIRMING].head; l; l = next) {
		next = l->next;
		confirm_one(l->data, now_us);
	}
}
