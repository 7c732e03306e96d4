/*
 * The failover gap on the virtual clock: how long writes are impossible after
 * a fault, phase by phase, with the real struct group before fake servers.
 * One JSON row for each deployment, fault and method:
 *
 *   ballot     as built: terms from the servers, the store is told afterwards
 *   first      the same with the times of the first version
 *   cas_first  the store's compare-and-swap has to allow each change first
 *
 * Then false promotions a day, of a group whose primary pauses for 300 ms once
 * a minute while 1 % of the packets get lost.
 *
 * The first argument sets the failures per row (200), the second the days of
 * the last rows (1); CQ_BENCH_SHORT=1 takes 10 and 0.1. A third one names the
 * only fault to run.
 */
#include "failover_internal.h"
#include "group_internal.h"
#include "samples.h"
#include "support_cluster.h"
#include "support_group.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS USEC_PER_MSEC
#define LOOK_US 250
#define WRITE_EVERY_US (10 * MS)
#define WARM_UP_US (1500 * MS)
#define GIVE_UP_US (60 * USEC_PER_SEC)
#define NO_RANK 1000

enum fault {
	FAULT_CRASH,
	FAULT_SILENCE,
	FAULT_ISOLATED,
	FAULT_CUT_FROM_REPLICAS,
	FAULT_CUT_FROM_HOME,
	FAULT_PAUSE,
	FAULT_CRASH_LOSS,
	FAULT_CRASH_HOME,
	FAULT_SILENCE_TARGET,
	FAULT_NONE_MOVE,
	FAULT_NONE_MOVE_LOSS,
	FAULT_KINDS,
};

static const char *const fault_names[FAULT_KINDS] = {
	"crash",
	"silence",
	"isolated_primary", /* with a home that still believes in it */
	"cut_from_replicas", /* one way; the homes reach it */
	"cut_from_home", /* one way; all others reach it */
	"pause_5s",
	"crash_and_loss_1pct",
	"crash_and_first_home_dies",
	"silence_and_next_pauses_1500ms",
	"planned_move",
	"planned_move_with_loss_1pct",
};

enum method { METHOD_BALLOT, METHOD_FIRST, METHOD_CAS, METHODS };
static const char *const method_names[METHODS] = { "ballot", "first",
						   "cas_first" };

enum store { STORE_ANY, STORE_UP, STORE_SLOW, STORE_DOWN };
static const char *const store_names[] = { "any", "up", "slow_500ms",
					   "down_10s" };

static const struct {
	const char *name;
	uint64_t latency_us;
} deployments[] = {
	{ "ajopaivakirja", 1000 },
	{ "kilifi", 500 },
};

enum phase { DETECT, TERM, FENCE, PROMOTE, FOLLOW, WRITE, GAP, HOLD, PHASES };
static const char *const phase_names[PHASES] = { "detect",  "term",   "fence",
						 "promote", "follow", "write",
						 "gap",	    "hold" };

struct row {
	unsigned deployment;
	enum fault fault;
	enum method method;
	enum store store;
	unsigned n;
	unsigned missed; /* no write came through before the end */
	unsigned failed; /* writes sent after the fault and not done */
	struct samples phases[PHASES];
};

struct trial {
	const struct row *row;
	struct rig *rig;
	uint64_t seed;
	uint64_t fault_us; /* 0: not yet */
	uint64_t trip;
	GPtrArray *calls; /* the rig's, sent after the fault */
	enum failover_phase was[RIG_MAX_HOMES];
	bool cas_running;
	uint64_t suspect_us;
	uint64_t term_us;
	uint64_t fence_us;
	uint64_t promoted_us;
	uint64_t followed_us;
	uint64_t written_us;
	uint64_t held_us;
	uint64_t released_us;
};

static struct failover *failover_of(struct trial *t, unsigned home)
{
	struct group *g = rig_group(t->rig, home);

	return g ? g->failover : NULL;
}

static uint64_t now_of(struct trial *t)
{
	return sim_now(rig_sim(t->rig));
}

/* The baseline: the store answers, then this home may act. */
static void on_cas(void *ctx, void *data)
{
	struct trial *t = ctx;
	struct failover *f = failover_of(t, 0);

	(void)data;
	t->term_us = now_of(t);
	if (f)
		failover_set_rank(f, 0);
}

static uint64_t store_us(struct trial *t)
{
	uint64_t latency_us = deployments[t->row->deployment].latency_us;
	uint64_t answer_us = 2 * latency_us + 2 * MS;

	if (t->row->store == STORE_SLOW)
		return 500 * MS;
	if (t->row->store == STORE_DOWN)
		return t->fault_us + 10 * USEC_PER_SEC - now_of(t) + answer_us;
	return answer_us;
}

/* Whether the baseline would act now, if the store allowed it. */
static void watch_for_cas(struct trial *t, struct failover *f)
{
	enum failover_reason reason;

	if (t->cas_running || f->phase != FAILOVER_WATCH)
		return;
	failover_set_rank(f, 0);
	reason = watch_reason(f, now_of(t));
	failover_set_rank(f, NO_RANK);
	if (reason == REASON_NONE)
		return;
	t->cas_running = true;
	t->suspect_us = now_of(t);
	sim_at(rig_sim(t->rig), SIM_NO_NODE, store_us(t), on_cas, t, NULL);
}

/* The first of each step; of a change that begins anew, the last ones. */
static void note_phase(struct trial *t, enum failover_phase from,
		       enum failover_phase to)
{
	uint64_t now_us = now_of(t);

	if (to == FAILOVER_GRANT && !t->suspect_us)
		t->suspect_us = now_us;
	if (to == FAILOVER_GRANT && !t->term_us)
		t->term_us = now_us;
	if (to == FAILOVER_PROMOTE || from == FAILOVER_GRANT)
		t->fence_us = now_us;
	if (to == FAILOVER_FOLLOW ||
	    (from == FAILOVER_PROMOTE && to == FAILOVER_WATCH))
		t->promoted_us = now_us;
	if (to == FAILOVER_WATCH && t->promoted_us && !t->followed_us)
		t->followed_us = now_us;
}

static void look(void *ctx, void *data)
{
	struct trial *t = ctx;
	struct failover *f;
	struct rig_call *c;
	unsigned i;

	(void)data;
	for (i = 0; i < 2; i++) {
		f = failover_of(t, i);
		if (!f)
			continue;
		if (t->row->method == METHOD_CAS && i == 0 && t->fault_us)
			watch_for_cas(t, f);
		if (t->fault_us && f->phase != t->was[i])
			note_phase(t, t->was[i], f->phase);
		t->was[i] = f->phase;
		if (i == 0 && f->holding && !t->held_us)
			t->held_us = now_of(t);
		if (i == 0 && !f->holding && t->held_us && !t->released_us)
			t->released_us = now_of(t);
	}
	for (i = 0; i < t->calls->len && !t->written_us; i++) {
		c = g_ptr_array_index(t->calls, i);
		if (c->answers && c->outcome == OUTCOME_DONE)
			t->written_us = c->answered_us;
	}
	sim_at(rig_sim(t->rig), SIM_NO_NODE, LOOK_US, look, t, NULL);
}

/* Callers go to a home that lives; some to one that reaches the primary. */
static void write_one(void *ctx, void *data)
{
	struct trial *t = ctx;
	unsigned home = rig_group(t->rig, 0) ? 0 : 1;
	struct rig_call *c = rig_write(t->rig, home, ++t->trip);

	(void)data;
	if (t->fault_us)
		g_ptr_array_add(t->calls, c);
	if (t->row->fault == FAULT_ISOLATED ||
	    t->row->fault == FAULT_CUT_FROM_HOME)
		rig_write(t->rig, 1, ++t->trip);
	sim_at(rig_sim(t->rig), SIM_NO_NODE, WRITE_EVERY_US, write_one, t,
	       NULL);
}

static void block_both(struct trial *t, int a, int b)
{
	sim_block(rig_sim(t->rig), a, b, true);
	sim_block(rig_sim(t->rig), b, a, true);
}

static void inject(struct trial *t)
{
	struct sim *sim = rig_sim(t->rig);
	struct err err = { 0 };
	struct fake_sql *sql = rig_sql(t->rig);
	int home = rig_node(t->rig, 0);

	switch (t->row->fault) {
	case FAULT_CRASH_LOSS:
		sim_network(sim)->loss = 0.01;
		sim_network(sim)->retransmit_us = 200 * MS;
		fake_sql_crash(sql, 0, false);
		break;
	case FAULT_CRASH_HOME:
		rig_crash_home(t->rig, 0);
		fake_sql_crash(sql, 0, false);
		break;
	case FAULT_CRASH:
		fake_sql_crash(sql, 0, false);
		break;
	case FAULT_SILENCE_TARGET:
		sim_pause(sim, 1, 1 * USEC_PER_SEC + 500 * MS);
		fake_sql_crash(sql, 0, true);
		break;
	case FAULT_SILENCE:
		fake_sql_crash(sql, 0, true);
		break;
	case FAULT_ISOLATED:
		block_both(t, 0, 1);
		block_both(t, 0, 2);
		block_both(t, 0, home);
		block_both(t, rig_node(t->rig, 1), 1);
		block_both(t, rig_node(t->rig, 1), 2);
		break;
	case FAULT_CUT_FROM_REPLICAS:
		sim_block(sim, 0, 1, true);
		sim_block(sim, 0, 2, true);
		break;
	case FAULT_CUT_FROM_HOME:
		sim_block(sim, 0, home, true);
		break;
	case FAULT_NONE_MOVE_LOSS:
		sim_network(sim)->loss = 0.01;
		sim_network(sim)->retransmit_us = 200 * MS;
		group_move_primary(rig_group(t->rig, 0), fdb_name(1), now_of(t),
				   &err);
		break;
	case FAULT_NONE_MOVE:
		group_move_primary(rig_group(t->rig, 0), fdb_name(1), now_of(t),
				   &err);
		break;
	case FAULT_PAUSE:
		sim_pause(sim, 0, 5 * USEC_PER_SEC);
		break;
	default:
		break;
	}
}

static void first_version(struct failover_settings *s)
{
	s->probe_interval_us = 100 * MS;
	s->suspect_after_us = 700 * MS;
	s->call_timeout_us = 200 * MS;
	s->rank_delay_us = 400 * MS;
	s->refused_after_us = 700 * MS;
	s->stalled_after_us = 1000 * MS;
	s->cut_off_after_us = 2000 * MS;
}

static struct rig *create_rig(const struct row *row, uint32_t seed)
{
	struct rig_settings s;

	rig_settings_default(&s);
	s.n_homes = 2;
	s.network.latency_us = deployments[row->deployment].latency_us;
	s.network.jitter_us = s.network.latency_us / 5;
	if (row->method == METHOD_FIRST)
		first_version(&s.group.failover);
	return rig_create(seed, &s);
}

static void add(struct row *row, enum phase phase, uint64_t from_us,
		uint64_t to_us)
{
	if (from_us && to_us)
		samples_add(&row->phases[phase],
			    to_us > from_us ? to_us - from_us : 0);
}

static void collect(struct row *row, const struct trial *t)
{
	const struct rig_call *c;
	unsigned i;

	for (i = 0; i < t->calls->len; i++) {
		c = g_ptr_array_index(t->calls, i);
		row->failed += c->answers && c->outcome != OUTCOME_DONE;
	}
	add(row, HOLD, t->held_us, t->released_us);
	if (!t->written_us) {
		row->missed++;
		return;
	}
	add(row, GAP, t->fault_us, t->written_us);
	if (!t->promoted_us)
		return;
	add(row, DETECT, t->fault_us, t->suspect_us);
	add(row, TERM, t->suspect_us, t->term_us);
	add(row, FENCE, t->term_us, t->fence_us);
	add(row, PROMOTE, t->fence_us, t->promoted_us);
	add(row, FOLLOW, t->promoted_us, t->followed_us);
	add(row, WRITE, t->promoted_us, t->written_us);
}

/* One fault, at a random moment between two probes. */
static void run_trial(struct row *row, uint32_t seed)
{
	struct trial t = { .row = row };
	unsigned i;

	t.rig = create_rig(row, seed);
	t.calls = g_ptr_array_new();
	for (i = 0; row->method == METHOD_CAS && i < 2; i++)
		failover_set_rank(failover_of(&t, i), NO_RANK);
	look(&t, NULL);
	write_one(&t, NULL);
	rig_run_for(t.rig, WARM_UP_US + (uint64_t)g_rand_int_range(
						sim_rng(rig_sim(t.rig)), 0,
						(gint32)(300 * MS)));
	t.fault_us = now_of(&t);
	inject(&t);
	while ((!t.written_us || (t.promoted_us && !t.followed_us) ||
		(t.held_us && !t.released_us)) &&
	       now_of(&t) < t.fault_us + GIVE_UP_US)
		rig_run_for(t.rig, 5 * MS);
	rig_run_for(t.rig, 500 * MS);
	collect(row, &t);
	g_ptr_array_free(t.calls, TRUE);
	rig_destroy(t.rig);
}

static void print_row(struct row *row)
{
	unsigned i;

	printf("{\"bench\":\"failover\",\"deployment\":\"%s\",\"fault\":\"%s\","
	       "\"method\":\"%s\",\"store\":\"%s\",\"n\":%u,\"missed\":%u,"
	       "\"failed_writes\":%u",
	       deployments[row->deployment].name, fault_names[row->fault],
	       method_names[row->method], store_names[row->store], row->n,
	       row->missed, row->failed);
	for (i = 0; i < PHASES; i++)
		printf(",\"%s_p50_ms\":%.1f,\"%s_p99_ms\":%.1f,"
		       "\"%s_max_ms\":%.1f",
		       phase_names[i], samples_ms(&row->phases[i], 0.5),
		       phase_names[i], samples_ms(&row->phases[i], 0.99),
		       phase_names[i], samples_ms(&row->phases[i], 1));
	printf("}\n");
	fflush(stdout);
}

static void run_row(struct row row)
{
	unsigned i;

	for (i = 0; i < PHASES; i++)
		samples_init(&row.phases[i]);
	for (i = 0; i < row.n; i++)
		run_trial(&row, 1 + i);
	print_row(&row);
	for (i = 0; i < PHASES; i++)
		samples_clear(&row.phases[i]);
}

static bool is_wanted(const char *only, enum fault fault)
{
	return !only || !strcmp(only, fault_names[fault]);
}

static void run_deployment(unsigned deployment, unsigned n, const char *only)
{
	static const enum fault with_store[] = { FAULT_CRASH, FAULT_SILENCE,
						 FAULT_CUT_FROM_REPLICAS };
	struct row row = { .deployment = deployment, .n = n };
	unsigned i;

	for (row.fault = 0; row.fault < FAULT_KINDS; row.fault++) {
		if (!is_wanted(only, row.fault))
			continue;
		for (row.method = METHOD_BALLOT; row.method <= METHOD_FIRST;
		     row.method++)
			run_row(row);
	}
	row.method = METHOD_CAS;
	for (i = 0; i < G_N_ELEMENTS(with_store); i++) {
		row.fault = with_store[i];
		if (!is_wanted(only, row.fault))
			continue;
		for (row.store = STORE_UP; row.store <= STORE_DOWN; row.store++)
			run_row(row);
	}
}

/*
 * An idle database, so that nothing but the probes shows that the primary
 * lives. Every lost packet comes 200 ms late, then 400 ms, a lost SYN 1 s.
 */
static void run_quiet(unsigned deployment, enum method method, double days)
{
	struct cluster_settings s;
	struct cluster *c;
	uint64_t minutes = (uint64_t)(days * 24 * 60);
	uint64_t i;

	cluster_settings_default(&s);
	if (method == METHOD_FIRST)
		first_version(&s.failover);
	s.n_homes = 1;
	s.write_interval_us = 0;
	s.network.latency_us = deployments[deployment].latency_us;
	s.network.loss = 0.01;
	s.network.retransmit_us = 200 * MS;
	s.connect_us = 10 * MS;
	s.syn_retransmit_us = 1 * USEC_PER_SEC;
	c = cluster_create(1, &s);
	for (i = 0; i < minutes; i++) {
		cluster_run_for(c, 60 * USEC_PER_SEC);
		sim_pause(cluster_sim(c), (int)cluster_primary(c), 300 * MS);
	}
	printf("{\"bench\":\"failover_quiet\",\"deployment\":\"%s\","
	       "\"method\":\"%s\",\"days\":%.2f,\"pauses\":%" PRIu64
	       ",\"false_promotions\":%u,\"per_day\":%.2f}\n",
	       deployments[deployment].name, method_names[method], days,
	       minutes, cluster_counts(c)->promotions - 1,
	       (cluster_counts(c)->promotions - 1) / days);
	fflush(stdout);
	cluster_destroy(c);
}

int main(int argc, char **argv)
{
	bool brief = g_getenv("CQ_BENCH_SHORT") != NULL;
	unsigned n = brief ? 10 : 200;
	double days = brief ? 0.1 : 1;
	unsigned i;

	if (argc > 1)
		n = (unsigned)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		days = strtod(argv[2], NULL);
	for (i = 0; i < G_N_ELEMENTS(deployments); i++)
		run_deployment(i, n, argc > 3 ? argv[3] : NULL);
	for (i = 0; i < G_N_ELEMENTS(deployments); i++) {
		run_quiet(i, METHOD_BALLOT, days);
		run_quiet(i, METHOD_FIRST, days);
	}
	return 0;
}
