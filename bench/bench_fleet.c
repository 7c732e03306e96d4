/*
 * Members and configuration on a virtual clock: what a node spends at rest
 * and on an ordinary day, how fast a change is in force and a crash is known
 * everywhere, what loss does, and how long the parts of a cut fleet take to
 * find each other. 10 data centres in 4 regions. One JSON object a row on
 * standard output. bench_homes tells how many homes move.
 *
 * Arguments: sizes of fleets (10 100 400 1400; with CQ_BENCH_SHORT=1: 10 100).
 */

#include "samples.h"
#include "support_fleet_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEC USEC_PER_SEC
#define DATA_CENTRES 10
#define REGIONS 4
#define ITEMS 50
/*
 * What the transport adds, with keys, TCP and IP included, both ways: from
 * docs/design/0013, where a heartbeat and its answer take 310 bytes, and a new
 * link with a message of 300 bytes 2,157.
 */
#define MESSAGE_WIRE_BYTES 155
#define LINK_WIRE_BYTES (2157 - 300 - MESSAGE_WIRE_BYTES)
#define STARTS_PER_STEP_SHARE 100
#define STEP_US (100 * USEC_PER_MSEC)
#define REST_S 60
/* 2,200 changes a day are one in 39 s, 947 starts one in 91 s. */
#define DAY_S 360
#define DAY_CHANGE_S 39
#define DAY_RESTART_S 91
#define CHANGES 10
#define CHANGE_GAP_S 20
#define CRASHES 5
#define CRASH_GAP_S 25
#define LOSS_S 120
#define CUT_S 180
#define HEAL_LIMIT_S 300
#define MANY_ITEMS 10000
#define MANY_MEMBERS 10

struct run {
	struct fleet *fleet;
	struct fleet_store *store;
	unsigned n;
	unsigned items;
	unsigned changes; /* made so far */
	/* The change or crash that is being watched. */
	uint64_t revision;
	uint64_t began_us;
	struct samples times;
	const char *victim;
	/* Member and time of each suspicion that some node had first. */
	GHashTable *suspected;
	unsigned deaths;
};

static void on_in_force(void *ctx, unsigned node, struct item *item)
{
	struct run *r = ctx;

	(void)node;
	if (r->revision && item->revision == r->revision)
		samples_add(&r->times, fleet_now(r->fleet) - r->began_us);
}

static void on_changed(void *ctx, unsigned node, const struct member_info *m)
{
	struct run *r = ctx;

	(void)node;
	if (m->state == MEMBER_SUSPECT)
		g_hash_table_add(r->suspected,
				 g_strdup_printf("%s %" G_GUINT64_FORMAT,
						 m->name, m->incarnation));
	if (m->state != MEMBER_DEAD)
		return;
	if (r->victim && !strcmp(m->name, r->victim))
		samples_add(&r->times, fleet_now(r->fleet) - r->began_us);
	else
		r->deaths++;
}

static const struct fleet_hooks hooks = { .changed = on_changed,
					  .in_force = on_in_force };

static void put_change(struct run *r)
{
	unsigned number = r->changes++;
	char *key = g_strdup_printf("database/ledger/miles-%u", number % ITEMS);
	char *json = fleet_store_database(number);

	r->revision = fleet_store_put(r->store, key, json);
	r->began_us = fleet_now(r->fleet);
	g_free(key);
	g_free(json);
}

static bool settled(struct run *r)
{
	return !fleet_wrong_views(r->fleet) && !fleet_store_differing(r->store);
}

/* Runs until all agree; the time, or the limit. */
static uint64_t settle(struct run *r, unsigned limit_s)
{
	uint64_t began = fleet_now(r->fleet);

	while (!settled(r) && fleet_now(r->fleet) - began < limit_s * SEC)
		fleet_store_run(r->store, SEC);
	return fleet_now(r->fleet) - began;
}

static void print_head(const struct run *r, const char *what, double loss)
{
	printf("{\"bench\":\"fleet\",\"case\":\"%s\",\"members\":%u,"
	       "\"items\":%u,\"loss\":%.2f",
	       what, r->n, r->items, loss);
}

static void print_end(void)
{
	printf("}\n");
	fflush(stdout);
}

/* Bytes and processor time of a node and second since the counts began. */
static void print_costs(struct run *r, uint64_t us)
{
	struct fleet_counts c;
	double node_s = (double)r->n * (double)us / SEC;
	double s = (double)us / SEC;
	double bytes, messages;

	fleet_counts(r->fleet, &c);
	bytes = (double)(c.bytes[FLEET_GOSSIP] + c.bytes[FLEET_CONF]);
	messages = (double)(c.messages[FLEET_GOSSIP] + c.messages[FLEET_CONF]);
	printf(",\"member_bytes_per_s\":%.0f,\"conf_bytes_per_s\":%.0f,"
	       "\"bytes_per_s\":%.0f,\"most_bytes_per_s\":%.0f,"
	       "\"messages_per_s\":%.2f,\"links_per_s\":%.2f,"
	       "\"wire_bytes_per_s\":%.0f,\"core_percent\":%.4f",
	       (double)c.bytes[FLEET_GOSSIP] / node_s,
	       (double)c.bytes[FLEET_CONF] / node_s, bytes / node_s,
	       (double)(c.max_node_bytes[FLEET_GOSSIP] +
			c.max_node_bytes[FLEET_CONF]) /
		       s,
	       messages / node_s, (double)c.links_opened / node_s,
	       (bytes + messages * MESSAGE_WIRE_BYTES +
		(double)c.links_opened * LINK_WIRE_BYTES) /
		       node_s,
	       (double)(c.cpu_ns[FLEET_GOSSIP] + c.cpu_ns[FLEET_CONF]) /
		       node_s / 1e7);
}

static void print_times(struct run *r)
{
	printf(",\"p50_ms\":%.0f,\"p99_ms\":%.0f,\"max_ms\":%.0f,"
	       "\"samples\":%u",
	       samples_ms(&r->times, 0.5), samples_ms(&r->times, 0.99),
	       samples_ms(&r->times, 1.0), r->times.values->len);
}

static void forget_times(struct run *r)
{
	samples_clear(&r->times);
	samples_init(&r->times);
	r->revision = 0;
	r->victim = NULL;
	r->deaths = 0;
	g_hash_table_remove_all(r->suspected);
	fleet_reset_counts(r->fleet);
}

static void start_run(struct run *r, unsigned n, unsigned items)
{
	struct fleet_settings s;
	unsigned i, step = MAX(1, n / STARTS_PER_STEP_SHARE);

	memset(r, 0, sizeof(*r));
	fleet_settings_default(&s, n);
	s.data_centres = DATA_CENTRES;
	s.regions = REGIONS;
	s.confsync = true;
	r->n = n;
	r->items = items;
	r->fleet = fleet_create(&s, &hooks, r);
	r->store = fleet_store_create(r->fleet);
	r->suspected =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	samples_init(&r->times);
	for (i = 0; i < items; i++) {
		char *key = g_strdup_printf("database/ledger/miles-%u", i);
		char *json = fleet_store_database(i);

		fleet_store_put(r->store, key, json);
		g_free(key);
		g_free(json);
	}
	for (i = 0; i < n; i += step) {
		fleet_start_all(r->fleet, i, MIN(step, n - i));
		fleet_store_run(r->store, STEP_US);
	}
}

static void end_run(struct run *r)
{
	fleet_store_destroy(r->store);
	fleet_destroy(r->fleet);
	samples_clear(&r->times);
	g_hash_table_destroy(r->suspected);
}

/* All nodes start within ten seconds, as after a failure of everything. */
static void case_start(struct run *r)
{
	uint64_t us = settle(r, 3600);

	print_head(r, "start", 0);
	printf(",\"settled_s\":%.0f", (double)us / SEC);
	print_costs(r, fleet_now(r->fleet));
	print_end();
	fleet_store_run(r->store, 30 * SEC);
}

static void case_rest(struct run *r)
{
	uint64_t lists = fleet_store_list_count(r->store);

	forget_times(r);
	fleet_store_run(r->store, REST_S * SEC);
	print_head(r, "rest", 0);
	print_costs(r, REST_S * SEC);
	printf(",\"store_watches\":%u,\"store_lists\":%" G_GUINT64_FORMAT,
	       fleet_store_watch_count(r->store),
	       fleet_store_list_count(r->store) - lists);
	print_end();
}

/* Changes and restarts as often as on a day of the largest fleet. */
static void case_day(struct run *r)
{
	uint64_t lists = fleet_store_list_count(r->store);
	unsigned second;

	forget_times(r);
	for (second = 0; second < DAY_S; second++) {
		unsigned node = (second * 7 + 5) % r->n;

		if (second % DAY_CHANGE_S == 5)
			put_change(r);
		if (second % DAY_RESTART_S == 10)
			fleet_kill(r->fleet, node);
		if (second % DAY_RESTART_S == 10)
			fleet_start(r->fleet, node);
		fleet_store_run(r->store, SEC);
	}
	print_head(r, "day", 0);
	print_costs(r, DAY_S * SEC);
	printf(",\"store_watches\":%u,\"store_lists\":%" G_GUINT64_FORMAT,
	       fleet_store_watch_count(r->store),
	       fleet_store_list_count(r->store) - lists);
	print_end();
	settle(r, 120);
}

static void case_change(struct run *r, double loss)
{
	uint64_t lag_us = 0;
	unsigned i, lagging;

	forget_times(r);
	fleet_set_loss(r->fleet, loss);
	for (i = 0; i < CHANGES; i++) {
		unsigned steps = 0;

		put_change(r);
		do {
			fleet_store_run(r->store, SEC);
			steps++;
			lagging = fleet_store_lagging(r->store, r->revision);
		} while (lagging && steps < CHANGE_GAP_S);
		lag_us = MAX(lag_us, steps * SEC);
		fleet_store_run(r->store, (CHANGE_GAP_S - steps) * SEC);
	}
	fleet_set_loss(r->fleet, 0);
	print_head(r, "change", loss);
	print_times(r);
	printf(",\"missing\":%u,\"all_know_within_s\":%.0f",
	       CHANGES * r->n - r->times.values->len, (double)lag_us / SEC);
	print_costs(r, SEC * CHANGES * CHANGE_GAP_S);
	print_end();
}

static void case_loss(struct run *r, double loss)
{
	forget_times(r);
	fleet_set_loss(r->fleet, loss);
	fleet_store_run(r->store, LOSS_S * SEC);
	fleet_set_loss(r->fleet, 0);
	print_head(r, "loss", loss);
	printf(",\"suspicions_per_node_hour\":%.3f,\"deaths\":%u",
	       g_hash_table_size(r->suspected) * 3600.0 / LOSS_S / r->n,
	       r->deaths);
	print_costs(r, LOSS_S * SEC);
	print_end();
}

static void case_crash(struct run *r, double loss)
{
	unsigned i, victim, down = MIN(CRASHES, r->n / 4);

	forget_times(r);
	fleet_set_loss(r->fleet, loss);
	for (i = 0; i < down; i++) {
		victim = (r->n / 2 + i * 3) % r->n;
		r->victim = fleet_name(r->fleet, victim);
		r->began_us = fleet_now(r->fleet);
		fleet_kill(r->fleet, victim);
		fleet_store_run(r->store, CRASH_GAP_S * SEC);
	}
	fleet_set_loss(r->fleet, 0);
	print_head(r, "crash", loss);
	print_times(r);
	printf(",\"false_deaths\":%u", r->deaths);
	print_costs(r, SEC * down * CRASH_GAP_S);
	print_end();
	for (i = 0; i < down; i++)
		fleet_start(r->fleet, (r->n / 2 + i * 3) % r->n);
	settle(r, 300);
}

/* One region is cut off for a while, then together with the rest again. */
static void case_heal(struct run *r)
{
	uint64_t us;
	unsigned i;

	forget_times(r);
	for (i = 0; i < r->n; i++) {
		if (!strcmp(fleet_region(r->fleet, i), "region-0"))
			fleet_set_partition(r->fleet, i, 1);
	}
	fleet_store_run(r->store, CUT_S * SEC);
	print_head(r, "cut", 0);
	print_costs(r, CUT_S * SEC);
	print_end();
	for (i = 0; i < r->n; i++)
		fleet_set_partition(r->fleet, i, 0);
	forget_times(r);
	us = settle(r, HEAL_LIMIT_S);
	print_head(r, "heal", 0);
	printf(",\"settled_s\":%.0f,\"deaths\":%u", (double)us / SEC,
	       r->deaths);
	print_costs(r, MAX(us, SEC));
	print_end();
}

/* A new process takes members and configuration from the others. */
static void case_join(struct run *r)
{
	unsigned node = r->n - 1;
	uint64_t began, joined = 0, ready = 0;

	/* Not a watcher, which would ask the store. */
	while (node && fleet_store_watched_by(r->store, node))
		node--;
	forget_times(r);
	fleet_kill(r->fleet, node);
	fleet_store_run(r->store, SEC);
	fleet_start(r->fleet, node);
	began = fleet_now(r->fleet);
	while (!joined || !ready) {
		fleet_store_run(r->store, STEP_US);
		if (!ready && confsync_ready(fleet_confsync(r->fleet, node)))
			ready = fleet_now(r->fleet) - began;
		if (!joined && members_joined(fleet_members(r->fleet, node)))
			joined = fleet_now(r->fleet) - began;
	}
	print_head(r, "join", 0);
	printf(",\"joined_ms\":%.0f,\"ready_ms\":%.0f", (double)joined / 1000,
	       (double)ready / 1000);
	print_end();
}

static void run_size(unsigned n)
{
	struct run r;

	start_run(&r, n, ITEMS);
	case_start(&r);
	case_rest(&r);
	case_day(&r);
	case_change(&r, 0);
	case_change(&r, 0.05);
	case_loss(&r, 0.01);
	case_loss(&r, 0.05);
	case_crash(&r, 0);
	case_crash(&r, 0.01);
	case_join(&r);
	case_heal(&r);
	end_run(&r);
}

/* Few members with as much configuration as the largest fleet has. */
static void run_items(void)
{
	struct run r;

	start_run(&r, MANY_MEMBERS, MANY_ITEMS);
	case_start(&r);
	case_rest(&r);
	case_change(&r, 0);
	case_join(&r);
	end_run(&r);
}

int main(int argc, char **argv)
{
	static const unsigned sizes[] = { 10, 100, 400, 1400 };
	unsigned i, n = getenv("CQ_BENCH_SHORT") ? 2 : G_N_ELEMENTS(sizes);

	if (argc > 1) {
		for (i = 1; i < (unsigned)argc; i++)
			run_size((unsigned)strtoul(argv[i], NULL, 10));
		return EXIT_SUCCESS;
	}
	for (i = 0; i < n; i++)
		run_size(sizes[i]);
	run_items();
	return EXIT_SUCCESS;
}
