#include "group_internal.h"

#include <inttypes.h>

static const char *role_name(const struct group *g, unsigned i)
{
	const struct server_status *st = fresh_status(g->fresh, i);

	if (!st)
		return "unknown";
	return fresh_primary(g->fresh) == (int)i ? "primary" :
	       st->role == ROLE_PRIMARY		 ? "old_primary" :
						   "replica";
}

static unsigned count_busy(const struct server *s)
{
	unsigned n = 0;
	GList *l;

	for (l = s->work_conns.head; l; l = l->next)
		n += ((struct conn *)l->data)->state == CONN_BUSY;
	return n;
}

static void write_age(GString *out, uint64_t age_us)
{
	if (age_us == UINT64_MAX)
		g_string_append(out, ",\"age_ms\":null");
	else
		g_string_append_printf(out, ",\"age_ms\":%" PRIu64,
				       age_us / USEC_PER_MSEC);
}

static void write_server(struct group *g, unsigned i, GString *out,
			 uint64_t now_us)
{
	const struct server *s = group_server(g, (int)i);
	const struct server_status *st = fresh_status(g->fresh, i);
	bool leaving = s->leaving || (st && st->leaving);

	/* Names are checked when they are configured; none needs escaping. */
	g_string_append_printf(out,
			       "{\"name\":\"%s\",\"role\":\"%s\",\"up\":%s,"
			       "\"leaving\":%s,\"slots\":%u,\"running\":%u,"
			       "\"queued\":%u,\"pinned\":%u,"
			       "\"connections\":%u,\"busy\":%u,"
			       "\"latency_us\":%" PRIu64,
			       s->name, role_name(g, i),
			       server_is_up(s, now_us) ? "true" : "false",
			       leaving ? "true" : "false", server_slots(s),
			       admit_running(s->admit), admit_queued(s->admit),
			       s->pinned, s->work_conns.length, count_busy(s),
			       s->latency_us);
	write_age(out, fresh_age_us(g->fresh, i, now_us));
	if (st)
		g_string_append_printf(out,
				       ",\"term\":%" PRIu64
				       ",\"received\":%" PRIu64
				       ",\"applied\":%" PRIu64,
				       st->term, st->received, st->applied);
	g_string_append_c(out, '}');
}

static void write_counts(const struct group_counts *c, GString *out)
{
	const struct {
		const char *name;
		uint64_t value;
	} rows[] = {
		{ "reads_replica", c->reads_replica },
		{ "reads_primary", c->reads_primary },
		{ "writes_done", c->writes_done },
		{ "not_run", c->not_run },
		{ "unknown", c->unknown },
		{ "settled_done", c->settled_done },
		{ "settled_not_run", c->settled_not_run },
		{ "promotions", c->promotions },
		{ "refused", c->refused },
		{ "conns_opened", c->conns_opened },
		{ "conns_lost", c->conns_lost },
		{ "outcome_rows_removed", c->outcome_rows_removed },
	};
	size_t i;

	g_string_append(out, ",\"counts\":{");
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(out, "%s\"%s\":%" PRIu64, i ? "," : "",
				       rows[i].name, rows[i].value);
	g_string_append_c(out, '}');
}

static void write_runs(const struct group *g, GString *out)
{
	static const char *const names[RUN_STATES] = {
		[RUN_WAITING] = "waiting",
		[RUN_QUEUED] = "queued",
		[RUN_RUNNING] = "running",
		[RUN_COMMITTING] = "committing",
		[RUN_CONFIRMING] = "confirming",
		[RUN_SETTLE_WAIT] = "settle_wait",
		[RUN_SETTLING] = "settling",
		[RUN_ANSWERED] = "answered",
	};
	unsigned i;

	g_string_append(out, ",\"requests\":{");
	for (i = 0; i < RUN_STATES; i++)
		g_string_append_printf(out, "%s\"%s\":%u", i ? "," : "",
				       names[i], g->runs[i].length);
	g_string_append_c(out, '}');
}

/* Appends the group's state as one JSON object. */
void group_write_status(struct group *g, GString *out, uint64_t now_us)
{
	const struct server *primary = group_primary(g);
	unsigned i;

	g_string_append_printf(out,
			       "{\"database\":\"%s\",\"rank\":%u,"
			       "\"term\":%" PRIu64 ",\"primary\":",
			       g->label, g->rank, fresh_term(g->fresh));
	if (primary)
		g_string_append_printf(out, "\"%s\"", primary->name);
	else
		g_string_append(out, "null");
	g_string_append_printf(out,
			       ",\"failover_phase\":%d,\"hold_writes\":%s,"
			       "\"stopping\":%s,\"transactions\":%u,"
			       "\"servers\":[",
			       failover_phase(g->failover),
			       g->hold_writes ? "true" : "false",
			       g->stopping ? "true" : "false",
			       g_hash_table_size(g->txns));
	for (i = 0; i < g->n_active; i++) {
		if (i)
			g_string_append_c(out, ',');
		write_server(g, i, out, now_us);
	}
	g_string_append_c(out, ']');
	write_runs(g, out);
	write_counts(&g->counts, out);
	g_string_append_c(out, '}');
}
