#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>

/*
 * Failover calls these from within its own functions, so they only queue probes
 * and calls. The next probe_tick() sends them, usually within the same event.
 */

static void request_probe(void *ctx, unsigned server)
{
	struct group *g = ctx;
	struct server *s = group_server(g, (int)server);

	s->probe_requested = s->probe_urgent = true;
	g->again = true;
}

static void queue_call(struct group *g, unsigned server,
		       enum failover_call kind, uint64_t term, const char *name)
{
	struct server_call call = { .kind = kind, .term = term };

	g_strlcpy(call.name, name, sizeof(call.name));
	probe_call(group_server(g, (int)server), &call);
	g->again = true;
}

static void queue_grant(void *ctx, unsigned server, uint64_t term,
			const char *holder)
{
	queue_call(ctx, server, CALL_GRANT, term, holder);
}

static void queue_promote(void *ctx, unsigned server, uint64_t term,
			  const char *holder)
{
	queue_call(ctx, server, CALL_PROMOTE, term, holder);
}

static void queue_follow(void *ctx, unsigned server, uint64_t term,
			 unsigned primary)
{
	struct group *g = ctx;

	queue_call(g, server, CALL_FOLLOW, term,
		   group_server(g, (int)primary)->name);
}

static void record(void *ctx, uint64_t term, unsigned primary,
		   const char *holder)
{
	struct group *g = ctx;

	g->counts.promotions++;
	if (g->ops && g->ops->record)
		g->ops->record(g->ctx, g, term,
			       group_server(g, (int)primary)->name, holder);
}

/*
 * Holds new writes back. Queued ones are moved to the waiting requests when
 * their turn comes, so that the queue does not expire them during the hold.
 */
static void hold_writes(void *ctx, bool hold)
{
	struct group *g = ctx;

	g->hold_writes = hold;
	g->news = true;
	g->again = true;
}

static void decision(void *ctx, const char *what, const char *detail)
{
	struct group *g = ctx;

	log_decision("failover", "database", g->label, "what", what, "detail",
		     detail, NULL);
}

/* The number of writes that run or wait for their confirmation. */
static unsigned running_writes(void *ctx)
{
	static const enum run_state states[] = { RUN_RUNNING, RUN_COMMITTING,
						 RUN_CONFIRMING };
	struct group *g = ctx;
	unsigned n = 0;
	size_t i;
	GList *l;

	for (i = 0; i < G_N_ELEMENTS(states); i++) {
		for (l = g->runs[states[i]].head; l; l = l->next)
			n += ((struct run *)l->data)->type->writes;
	}
	return n;
}

const struct failover_ops group_failover_ops = {
	.probe = request_probe,
	.grant = queue_grant,
	.promote = queue_promote,
	.follow = queue_follow,
	.record = record,
	.hold_writes = hold_writes,
	.decision = decision,
	.running_writes = running_writes,
};
