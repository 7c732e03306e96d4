#include "support_cluster_internal.h"

#include <stdio.h>
#include <string.h>

void cluster_settings_default(struct cluster_settings *s)
{
	memset(s, 0, sizeof(*s));
	s->n_servers = 3;
	s->n_homes = 2;
	failover_settings_default(&s->failover);
	s->network.latency_us = 500;
	s->network.jitter_us = 200;
	s->write_interval_us = 40 * USEC_PER_MSEC;
}

static void on_call(void *ctx, void *data);
static void on_refused(void *ctx, void *data);

/*
 * Sends a call on the home's connection to the server. If the connection's
 * oldest call has been unanswered for the call timeout, the connection is
 * replaced first.
 */
void cluster_send_call(struct home *h, struct call call)
{
	struct cluster *c = h->c;
	uint64_t now_us = sim_now(c->sim);
	uint64_t extra_us = 0;
	unsigned s = call.server;

	call.home = h->index;
	call.incarnation = h->incarnation;
	call.started_at_us = now_us;
	if (sim_refuses(c->sim, h->node, (int)s)) {
		sim_at(c->sim, h->node, 2 * c->settings.network.latency_us,
		       on_refused, c, g_memdup2(&call, sizeof(call)));
		return;
	}
	if (c->settings.connect_us && h->oldest_call_at_us[s] &&
	    now_us - h->oldest_call_at_us[s] >=
		    c->settings.failover.call_timeout_us) {
		h->connection[s]++;
		h->oldest_call_at_us[s] = 0;
		extra_us = c->settings.connect_us;
		while (g_rand_double(sim_rng(c->sim)) <
		       2 * c->settings.network.loss)
			extra_us += c->settings.syn_retransmit_us;
	}
	if (!h->oldest_call_at_us[s])
		h->oldest_call_at_us[s] = now_us;
	call.connection = h->connection[s];
	sim_send(c->sim, h->node, (int)s, extra_us, on_call, c,
		 g_memdup2(&call, sizeof(call)),
		 call.kind == C_INSERT ? 0 : sizeof(call));
}

static void on_reply(void *ctx, void *data);

/* Runs a call at the server and sends the answer. */
static void on_call(void *ctx, void *data)
{
	struct cluster *c = ctx;
	struct call *call = data;
	struct fdb *db = c->db;
	unsigned s = call->server;
	const struct fdb_entry *e;
	struct server_status before;
	bool ok = true;

	fdb_status(db, s, &before);
	if (call->kind == C_GRANT)
		ok = fdb_grant(db, s, call->term, call->holder);
	else if (call->kind == C_PROMOTE)
		ok = fdb_promote(db, s, call->term, call->holder);
	else if (call->kind == C_FOLLOW)
		ok = fdb_follow(db, s, call->term, call->primary);
	else if (call->kind == C_INSERT)
		call->result = fdb_insert(db, s, call->write->key, call->insert,
					  &call->at);
	e = call->kind == C_INSERT ? fdb_find(db, s, call->write->key) : NULL;
	call->found_done = e && e->kind == FDB_DONE;
	fdb_status(db, s, &call->status);
	call->status.granted_ok = ok;
	if (call->status.granted > before.granted)
		c->counts.grants++;
	sim_send(c->sim, (int)s, c->homes[call->home].node, 0, on_reply, c,
		 g_memdup2(call, sizeof(*call)),
		 call->kind == C_INSERT ? 0 : sizeof(*call));
}

static void schedule_tick(struct home *h);

static void on_tick(void *ctx, void *data)
{
	struct home *h = ctx;

	if (*(uint64_t *)data != h->tick_number)
		return;
	h->tick_at_us = 0;
	failover_tick(h->failover, sim_now(h->c->sim));
	schedule_tick(h);
}

static void schedule_tick(struct home *h)
{
	uint64_t next_us = failover_next_tick_us(h->failover);
	uint64_t now_us = sim_now(h->c->sim);

	if (h->tick_at_us && h->tick_at_us <= next_us)
		return;
	h->tick_at_us = MAX(next_us, now_us + 1);
	h->tick_number++;
	sim_at(h->c->sim, h->node, h->tick_at_us - now_us, on_tick, h,
	       g_memdup2(&h->tick_number, sizeof(h->tick_number)));
}

static void on_reply(void *ctx, void *data)
{
	struct cluster *c = ctx;
	struct call *call = data;
	struct home *h = &c->homes[call->home];

	if (call->incarnation != h->incarnation ||
	    call->connection != h->connection[call->server])
		return;
	h->oldest_call_at_us[call->server] = 0;
	if (call->kind <= C_FOLLOW)
		failover_on_status(h->failover, call->server,
				   (enum failover_call)call->kind,
				   call->started_at_us, &call->status,
				   sim_now(c->sim));
	else
		failover_on_alive(h->failover, call->server,
				  call->started_at_us);
	write_on_position(c, call->home, call->server, &call->status);
	if (call->kind == C_INSERT)
		write_on_inserted(c, call);
	schedule_tick(h);
}

static void on_refused(void *ctx, void *data)
{
	struct cluster *c = ctx;
	struct call *call = data;
	struct home *h = &c->homes[call->home];

	if (call->incarnation != h->incarnation)
		return;
	if (call->kind <= C_FOLLOW)
		failover_on_refused(h->failover, call->server,
				    (enum failover_call)call->kind,
				    sim_now(c->sim));
	else if (call->kind == C_INSERT &&
		 call->attempt == call->write->attempt &&
		 call->write->state == WRITE_SENT)
		write_answer(c, call->write, WRITE_NOT_RUN);
	schedule_tick(h);
}

static void op_probe(void *ctx, unsigned server)
{
	struct call call = { .kind = C_PROBE, .server = server };

	cluster_send_call(ctx, call);
}

static void op_term(struct home *h, enum call_kind kind, unsigned server,
		    uint64_t term, const char *holder)
{
	struct call call = { .kind = kind, .server = server, .term = term };

	g_strlcpy(call.holder, holder, sizeof(call.holder));
	cluster_send_call(h, call);
}

static void op_grant(void *ctx, unsigned server, uint64_t term,
		     const char *holder)
{
	op_term(ctx, C_GRANT, server, term, holder);
}

static void op_promote(void *ctx, unsigned server, uint64_t term,
		       const char *holder)
{
	op_term(ctx, C_PROMOTE, server, term, holder);
}

static void op_follow(void *ctx, unsigned server, uint64_t term,
		      unsigned primary)
{
	struct call call = { .kind = C_FOLLOW,
			     .server = server,
			     .term = term,
			     .primary = primary };

	cluster_send_call(ctx, call);
}

static void op_record(void *ctx, uint64_t term, unsigned primary,
		      const char *holder)
{
	(void)ctx;
	(void)term;
	(void)primary;
	(void)holder;
}

static void op_hold_writes(void *ctx, bool hold)
{
	struct home *h = ctx;
	uint64_t now_us = sim_now(h->c->sim);

	if (!hold)
		h->c->longest_hold_us =
			MAX(h->c->longest_hold_us, now_us - h->hold_set_at_us);
	h->holding = hold;
	h->hold_set_at_us = now_us;
}

static unsigned op_running_writes(void *ctx)
{
	return write_count_running(ctx);
}

static void op_decision(void *ctx, const char *what, const char *detail)
{
	struct home *h = ctx;
	struct cluster *c = h->c;

	if (g_getenv("CLUSTER_TRACE"))
		printf("%.3f home %u: %s %s\n",
		       (double)sim_now(c->sim) / USEC_PER_SEC, h->index, what,
		       detail);
	if (c->decision)
		c->decision(c->decision_ctx, h->index, what, detail);
}

static const struct failover_ops home_ops = {
	.probe = op_probe,
	.grant = op_grant,
	.promote = op_promote,
	.follow = op_follow,
	.record = op_record,
	.hold_writes = op_hold_writes,
	.decision = op_decision,
	.running_writes = op_running_writes,
};

static void start_home(struct home *h)
{
	struct cluster *c = h->c;
	char *holder;
	unsigned i;

	h->incarnation++;
	h->holding = false;
	h->tick_at_us = 0;
	memset(h->oldest_call_at_us, 0, sizeof(h->oldest_call_at_us));
	holder = g_strdup_printf("proxy-%u/%u", h->index, h->incarnation);
	h->failover = failover_create(&c->settings.failover,
				      c->settings.n_servers, holder, &home_ops,
				      h, sim_rng(c->sim), sim_now(c->sim));
	for (i = 0; i < c->settings.n_servers; i++)
		failover_set_name(h->failover, i, fdb_name(i));
	failover_set_rank(h->failover, h->index);
	g_free(holder);
	schedule_tick(h);
	write_start_home(h);
}

/* Creation and fault injection. */

struct cluster *cluster_create_bare(uint32_t seed,
				    const struct cluster_settings *settings)
{
	struct cluster *c = g_new0(struct cluster, 1);
	unsigned i;

	c->settings = *settings;
	memset(&c->rules, true, sizeof(c->rules));
	c->sim = sim_create(seed, &settings->network);
	c->db = fdb_create(c->sim, settings->n_servers);
	c->writes = g_ptr_array_new_with_free_func(g_free);
	c->leaders = g_array_new(FALSE, FALSE, sizeof(struct leader));
	c->writing = settings->write_interval_us > 0;
	fdb_set_promoted(c->db, check_promotion, c);
	for (i = 0; i < settings->n_homes; i++) {
		c->homes[i].c = c;
		c->homes[i].index = i;
		c->homes[i].node = cluster_node(c, i);
		start_home(&c->homes[i]);
	}
	return c;
}

struct cluster *cluster_create(uint32_t seed,
			       const struct cluster_settings *settings)
{
	struct cluster *c = cluster_create_bare(seed, settings);
	unsigned i;

	for (i = 0; i < settings->n_servers; i++)
		fdb_grant(c->db, i, 1, "start");
	fdb_promote(c->db, 0, 1, "start");
	for (i = 1; i < settings->n_servers; i++)
		fdb_follow(c->db, i, 1, 0);
	return c;
}

void cluster_destroy(struct cluster *c)
{
	unsigned i;

	for (i = 0; i < c->settings.n_homes; i++)
		failover_destroy(c->homes[i].failover);
	fdb_destroy(c->db);
	sim_destroy(c->sim);
	g_ptr_array_free(c->writes, TRUE);
	g_array_free(c->leaders, TRUE);
	g_free(c);
}

struct sim *cluster_sim(struct cluster *c)
{
	return c->sim;
}

struct fdb *cluster_db(struct cluster *c)
{
	return c->db;
}

struct cluster_rules *cluster_rules(struct cluster *c)
{
	return &c->rules;
}

struct failover *cluster_failover(struct cluster *c, unsigned home)
{
	return c->homes[home].failover;
}

int cluster_node(const struct cluster *c, unsigned home)
{
	return (int)(c->settings.n_servers + home);
}

void cluster_set_decision(struct cluster *c, cluster_decision_fn decision,
			  void *ctx)
{
	c->decision = decision;
	c->decision_ctx = ctx;
}

void cluster_run_for(struct cluster *c, uint64_t duration_us)
{
	sim_run(c->sim, sim_now(c->sim) + duration_us);
}

unsigned cluster_primary(const struct cluster *c)
{
	const struct leader *best = NULL, *l;
	unsigned i;

	for (i = 0; i < c->leaders->len; i++) {
		l = &g_array_index(c->leaders, struct leader, i);
		if (!best || l->term > best->term)
			best = l;
	}
	return best ? best->server : 0;
}

uint64_t cluster_last_ack_at_us(const struct cluster *c)
{
	return c->last_ack_at_us;
}

uint64_t cluster_longest_hold_us(const struct cluster *c)
{
	return c->longest_hold_us;
}

const struct cluster_counts *cluster_counts(const struct cluster *c)
{
	return &c->counts;
}

void cluster_crash_server(struct cluster *c, unsigned server, bool silent)
{
	sim_down(c->sim, (int)server, silent);
}

void cluster_restart_server(struct cluster *c, unsigned server)
{
	if (!sim_is_down(c->sim, (int)server))
		return;
	sim_up(c->sim, (int)server);
	fdb_restart(c->db, server);
}

/* The home's open writes get no answer any more and count as unknown. */
void cluster_crash_home(struct cluster *c, unsigned home)
{
	struct write *w;
	unsigned i;

	if (sim_is_down(c->sim, c->homes[home].node))
		return;
	sim_down(c->sim, c->homes[home].node, true);
	failover_destroy(c->homes[home].failover);
	c->homes[home].failover = NULL;
	for (i = c->first_open; i < c->writes->len; i++) {
		w = g_ptr_array_index(c->writes, i);
		if (w->home == home && !write_is_answered(w))
			write_answer(c, w, WRITE_UNKNOWN);
	}
}

void cluster_restart_home(struct cluster *c, unsigned home)
{
	if (!sim_is_down(c->sim, c->homes[home].node))
		return;
	sim_up(c->sim, c->homes[home].node);
	start_home(&c->homes[home]);
}

void cluster_heal(struct cluster *c)
{
	unsigned i;

	sim_heal(c->sim);
	for (i = 0; i < c->settings.n_servers; i++)
		cluster_restart_server(c, i);
	for (i = 0; i < c->settings.n_homes; i++)
		cluster_restart_home(c, i);
}

void cluster_stop_writes(struct cluster *c)
{
	c->writing = false;
}
