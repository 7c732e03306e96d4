#include "support_fleet.h"
#include "support_fleet_heap.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define SEED_COUNT 3
#define PORT_BASE 10000
/* A link unused for this long counts as closed, see docs/design/0013. */
#define LINK_IDLE_MS 15000
/* Wall-clock time in ms since 1970 when the virtual clock is 0. */
#define START_MS 1700000000000ULL

struct node {
	struct fleet *fleet;
	unsigned index;
	char name[16];
	char dc[16];
	char region[16];
	struct members *members;
	struct confsync *confsync;
	struct model *model;
	GRand *rng;
	unsigned generation; /* counts processes from 1; 0: not running */
	unsigned last_generation; /* processes started so far */
	unsigned partition;
	int64_t clock_offset_us; /* wall clock minus true time */
	bool paused;
	GQueue pending; /* struct fleet_event, received while paused */
	uint64_t bytes[FLEET_KIND_COUNT]; /* sent */
};

struct fleet {
	struct fleet_settings settings;
	struct fleet_hooks hooks;
	void *ctx;
	GRand *rng;
	uint64_t now_us;
	struct node *nodes;
	struct fleet_heap heap;
	GBytes *last[FLEET_KIND_COUNT]; /* last message sent by any node */
	/* [from * n + to]: last use of the link in ms, plus 1; 0: never. */
	uint32_t *links;
	struct fleet_counts counts;
};

/* The product's default settings, one data centre, no loss. */
void fleet_settings_default(struct fleet_settings *s, unsigned n)
{
	memset(s, 0, sizeof(*s));
	s->n = n;
	s->data_centres = s->regions = 1;
	s->tick_us = 100 * USEC_PER_MSEC;
	s->seed = 1;
	member_settings_default(&s->members);
	confsync_settings_default(&s->spread);
}

/*
 * Random one-way delay: from 0.25 ms within a data centre, 1 ms within a
 * region, 40 ms between regions, to half as much again.
 */
static uint64_t delivery_delay_us(struct fleet *f, const struct node *a,
				  const struct node *b)
{
	double us = 40000;

	if (!strcmp(a->dc, b->dc))
		us = 250;
	else if (!strcmp(a->region, b->region))
		us = 1000;
	return (uint64_t)(us * g_rand_double_range(f->rng, 1.0, 1.5));
}

static struct node *find_node_by_port(struct fleet *f, uint16_t port)
{
	unsigned index = port - PORT_BASE;

	return index < f->settings.n ? &f->nodes[index] : NULL;
}

/* Records a use of the link; counts it as opened if it was closed. */
static void use_link(struct fleet *f, unsigned from, unsigned to)
{
	uint32_t *last_use_ms = &f->links[(size_t)from * f->settings.n + to];
	uint32_t now_ms = (uint32_t)(f->now_us / USEC_PER_MSEC) + 1;

	f->counts.links_opened += !*last_use_ms ||
				  now_ms - *last_use_ms > LINK_IDLE_MS;
	*last_use_ms = now_ms;
}

static void send_message(struct node *from, const struct member_info *to,
			 enum fleet_kind kind, GBytes *message)
{
	struct fleet *f = from->fleet;
	struct node *node = find_node_by_port(f, to->peer_port);
	size_t len = g_bytes_get_size(message);
	struct fleet_event e = { .kind = kind, .from = from->index };

	f->counts.messages[kind]++;
	f->counts.bytes[kind] += len;
	f->counts.largest[kind] = MAX(f->counts.largest[kind], len);
	from->bytes[kind] += len;
	if (f->last[kind])
		g_bytes_unref(f->last[kind]);
	f->last[kind] = g_bytes_ref(message);
	if (node)
		use_link(f, from->index, node->index);
	if (!node || !node->generation || node->partition != from->partition ||
	    g_rand_double(f->rng) < f->settings.loss)
		return;
	if (f->hooks.blocked &&
	    f->hooks.blocked(f->ctx, from->index, node->index))
		return;
	e.at_us = f->now_us + delivery_delay_us(f, from, node);
	e.node = node->index;
	e.message = g_bytes_ref(message);
	fleet_heap_push(&f->heap, e);
}

static void send_gossip(void *ctx, const struct member_info *to,
			GBytes *message)
{
	send_message(ctx, to, FLEET_GOSSIP, message);
}

static void send_conf(void *ctx, const struct member_info *to, GBytes *message)
{
	send_message(ctx, to, FLEET_CONF, message);
}

static void on_changed(void *ctx, const struct member_info *m)
{
	struct node *node = ctx;
	struct fleet *f = node->fleet;

	if (f->hooks.changed)
		f->hooks.changed(f->ctx, node->index, m);
}

static void on_in_force(void *ctx, struct item *item)
{
	struct node *node = ctx;
	struct fleet *f = node->fleet;

	if (f->hooks.in_force)
		f->hooks.in_force(f->ctx, node->index, item);
}

static void on_rejected(void *ctx, const char *key, uint64_t revision,
			const struct err *err)
{
	struct node *node = ctx;
	struct fleet *f = node->fleet;

	(void)err;
	if (f->hooks.rejected)
		f->hooks.rejected(f->ctx, node->index, key, revision);
}

static const struct member_ops member_ops = { send_gossip, on_changed };
static const struct confsync_ops confsync_ops = { send_conf, on_in_force,
						  on_rejected };

/* Creates a fleet; no node is running yet. */
struct fleet *fleet_create(const struct fleet_settings *settings,
			   const struct fleet_hooks *hooks, void *ctx)
{
	struct fleet *f = g_new0(struct fleet, 1);
	unsigned i, dc;

	f->settings = *settings;
	if (hooks)
		f->hooks = *hooks;
	f->ctx = ctx;
	f->rng = g_rand_new_with_seed(settings->seed);
	fleet_heap_init(&f->heap);
	f->nodes = g_new0(struct node, settings->n);
	f->links = g_new0(uint32_t, (gsize)settings->n * settings->n);
	for (i = 0; i < settings->n; i++) {
		struct node *node = &f->nodes[i];

		node->fleet = f;
		node->index = i;
		dc = i % settings->data_centres;
		g_snprintf(node->name, sizeof(node->name), "n%04u", i);
		g_snprintf(node->dc, sizeof(node->dc), "dc-%02u", dc);
		g_snprintf(node->region, sizeof(node->region), "region-%u",
			   dc % settings->regions);
		g_queue_init(&node->pending);
	}
	return f;
}

static void event_free(gpointer data)
{
	struct fleet_event *e = data;

	g_bytes_unref(e->message);
	g_free(e);
}

static void node_clear(struct node *node)
{
	confsync_destroy(node->confsync);
	members_destroy(node->members);
	model_destroy(node->model);
	if (node->rng)
		g_rand_free(node->rng);
	g_queue_clear_full(&node->pending, event_free);
	node->confsync = NULL;
	node->members = NULL;
	node->model = NULL;
	node->rng = NULL;
	node->generation = 0;
	node->paused = false;
}

/* Stops all nodes and frees the fleet. */
void fleet_destroy(struct fleet *f)
{
	unsigned i;

	for (i = 0; i < f->settings.n; i++)
		node_clear(&f->nodes[i]);
	for (i = 0; i < FLEET_KIND_COUNT; i++) {
		if (f->last[i])
			g_bytes_unref(f->last[i]);
	}
	fleet_heap_clear(&f->heap);
	g_free(f->links);
	g_free(f->nodes);
	g_rand_free(f->rng);
	g_free(f);
}

/* The virtual time in us; it starts at 0. */
uint64_t fleet_now(const struct fleet *f)
{
	return f->now_us;
}

/* CPU time of this process in ns. */
static uint64_t cpu_now(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return (uint64_t)t.tv_sec * 1000000000ULL + (uint64_t)t.tv_nsec;
}

static void run_tick(struct fleet *f, struct node *node)
{
	uint64_t t0 = cpu_now(), t1, t2;

	members_tick(node->members, f->now_us);
	t1 = cpu_now();
	f->counts.cpu_ns[FLEET_GOSSIP] += t1 - t0;
	if (!node->confsync)
		return;
	confsync_tick(node->confsync, f->now_us);
	t2 = cpu_now();
	f->counts.cpu_ns[FLEET_CONF] += t2 - t1;
}

/* Delivers a message to a node as if member `from` had sent it. */
bool fleet_inject(struct fleet *f, unsigned node, enum fleet_kind kind,
		  const char *from, struct str bytes, struct err *err)
{
	struct node *to = &f->nodes[node];

	if (kind == FLEET_GOSSIP)
		return members_on_message(to->members, bytes, f->now_us, err);
	return confsync_on_message(to->confsync, from, bytes, f->now_us, err);
}

static void deliver(struct fleet *f, struct node *node,
		    const struct fleet_event *e)
{
	struct err err = { 0 };
	uint64_t t0 = cpu_now();

	if (!fleet_inject(f, node->index, e->kind, f->nodes[e->from].name,
			  str_from_bytes(e->message), &err))
		f->counts.malformed++;
	f->counts.cpu_ns[e->kind] += cpu_now() - t0;
}

static void schedule_tick(struct fleet *f, struct node *node, uint64_t at_us)
{
	struct fleet_event e = { .at_us = at_us,
				 .node = node->index,
				 .generation = node->generation };

	fleet_heap_push(&f->heap, e);
}

static void run_event(struct fleet *f, struct fleet_event *e)
{
	struct node *node = &f->nodes[e->node];

	if (!e->message) {
		if (e->generation != node->generation || node->paused)
			return;
		run_tick(f, node);
		schedule_tick(f, node, f->now_us + f->settings.tick_us);
		return;
	}
	if (node->generation && node->paused) {
		g_queue_push_tail(&node->pending, g_memdup2(e, sizeof(*e)));
		return;
	}
	if (node->generation)
		deliver(f, node, e);
	g_bytes_unref(e->message);
}

/* Advances the clock, running the events that fall due. */
void fleet_run(struct fleet *f, uint64_t duration_us)
{
	uint64_t end_us = f->now_us + duration_us;

	while (fleet_heap_next_us(&f->heap) <= end_us) {
		struct fleet_event e = fleet_heap_pop(&f->heap);

		f->now_us = MAX(f->now_us, e.at_us);
		run_event(f, &e);
	}
	f->now_us = end_us;
}

/* Runs until the condition holds; false if it does not within limit_us. */
bool fleet_run_until(struct fleet *f, fleet_condition_fn condition, void *ctx,
		     uint64_t step_us, uint64_t limit_us)
{
	uint64_t end_us = f->now_us + limit_us;

	while (!condition(f, ctx)) {
		if (f->now_us >= end_us)
			return false;
		fleet_run(f, step_us);
	}
	return true;
}

static void make_info(const struct node *node, struct member_info *info)
{
	uint64_t clock_us =
		node->fleet->now_us + (uint64_t)node->clock_offset_us;

	memset(info, 0, sizeof(*info));
	g_strlcpy(info->name, node->name, sizeof(info->name));
	g_snprintf(info->host, sizeof(info->host), "10.0.%u.%u",
		   node->index / 250, node->index % 250 + 1);
	info->peer_port = (uint16_t)(PORT_BASE + node->index);
	g_strlcpy(info->data_centre, node->dc, sizeof(info->data_centre));
	g_strlcpy(info->region, node->region, sizeof(info->region));
	memset(info->curve_public, 'k', sizeof(info->curve_public) - 1);
	info->incarnation = START_MS + (uint64_t)((int64_t)clock_us / 1000);
	info->version_min = info->version_max = 1;
}

static void add_seeds(struct node *node)
{
	struct fleet *f = node->fleet;
	unsigned i;

	for (i = 0; i < MIN(SEED_COUNT, f->settings.n); i++) {
		struct member_info seed;

		if (i == node->index)
			continue;
		make_info(&f->nodes[i], &seed);
		members_add_seed(node->members, seed.host, seed.peer_port,
				 f->now_us);
	}
}

/* Starts a node as a new process. */
void fleet_start(struct fleet *f, unsigned index)
{
	struct node *node = &f->nodes[index];
	struct member_info self;
	uint64_t phase;

	node_clear(node);
	node->generation = ++node->last_generation;
	node->rng = g_rand_new_with_seed(g_rand_int(f->rng));
	make_info(node, &self);
	node->members = members_create(&f->settings.members, &self, &member_ops,
				       node, node->rng, f->now_us);
	if (f->settings.confsync) {
		node->model = model_create();
		node->confsync = confsync_create(&f->settings.spread,
						 node->members, node->model,
						 &confsync_ops, node, node->rng,
						 f->now_us);
	}
	add_seeds(node);
	phase = g_rand_int(f->rng) % f->settings.tick_us;
	schedule_tick(f, node, f->now_us + phase);
}

/* Starts n nodes at the same time, from node `first` on. */
void fleet_start_all(struct fleet *f, unsigned first, unsigned n)
{
	unsigned i;

	for (i = first; i < first + n; i++)
		fleet_start(f, i);
}

/* Sets the clock error that the node's next process starts with. */
void fleet_set_clock_offset(struct fleet *f, unsigned node, int64_t offset_us)
{
	f->nodes[node].clock_offset_us = offset_us;
}

/* Ends the process without notice to the other nodes. */
void fleet_kill(struct fleet *f, unsigned node)
{
	node_clear(&f->nodes[node]);
}

/* A resumed process first runs its timers, then reads the queued messages. */
void fleet_set_paused(struct fleet *f, unsigned index, bool paused)
{
	struct node *node = &f->nodes[index];
	struct fleet_event *e;

	node->paused = paused;
	if (paused)
		return;
	run_tick(f, node);
	schedule_tick(f, node, f->now_us + f->settings.tick_us);
	while ((e = g_queue_pop_head(&node->pending))) {
		deliver(f, node, e);
		event_free(e);
	}
}

/* Messages between nodes of different partitions are lost. */
void fleet_set_partition(struct fleet *f, unsigned node, unsigned partition)
{
	f->nodes[node].partition = partition;
}

/* Sets the share of messages that are lost. */
void fleet_set_loss(struct fleet *f, double loss)
{
	f->settings.loss = loss;
}

/* The number of nodes, running or not. */
unsigned fleet_size(const struct fleet *f)
{
	return f->settings.n;
}

/* Counts the node's processes from 1; 0 while the node is not running. */
unsigned fleet_generation(const struct fleet *f, unsigned node)
{
	return f->nodes[node].generation;
}

/* Whether the node has a process, paused or not. */
bool fleet_is_up(const struct fleet *f, unsigned node)
{
	return f->nodes[node].generation != 0;
}

const char *fleet_name(const struct fleet *f, unsigned node)
{
	return f->nodes[node].name;
}

const char *fleet_data_centre(const struct fleet *f, unsigned node)
{
	return f->nodes[node].dc;
}

const char *fleet_region(const struct fleet *f, unsigned node)
{
	return f->nodes[node].region;
}

/* NULL when the node is not running. */
struct members *fleet_members(struct fleet *f, unsigned node)
{
	return f->nodes[node].members;
}

/* NULL when the node is not running or has no confsync. */
struct confsync *fleet_confsync(struct fleet *f, unsigned node)
{
	return f->nodes[node].confsync;
}

/* NULL when the node is not running or has no confsync. */
struct model *fleet_model(struct fleet *f, unsigned node)
{
	return f->nodes[node].model;
}

/* The state of node b in node a's table; MEMBER_LEFT if it is not there. */
enum member_state fleet_view(struct fleet *f, unsigned a, unsigned b)
{
	const struct member_info *m =
		members_find(f->nodes[a].members, f->nodes[b].name);

	return m ? m->state : MEMBER_LEFT;
}

static unsigned wrong_views_of(struct fleet *f, const struct node *node,
			       unsigned up)
{
	unsigned i, right = 0, wrong = 0;
	unsigned n = members_count(node->members);

	for (i = 0; i < n; i++) {
		const struct member_info *m = members_at(node->members, i);
		const struct node *other = find_node_by_port(f, m->peer_port);

		if (!member_is_live(m))
			continue;
		if (other && other->generation)
			right++;
		else
			wrong++;
	}
	return wrong + (up - right);
}

/*
 * Wrong entries in the tables of all running nodes: a running node not seen as
 * live, or a stopped one seen as live.
 */
unsigned fleet_wrong_views(struct fleet *f)
{
	unsigned i, up = 0, wrong = 0;

	for (i = 0; i < f->settings.n; i++)
		up += f->nodes[i].generation != 0;
	for (i = 0; i < f->settings.n; i++) {
		if (f->nodes[i].generation)
			wrong += wrong_views_of(f, &f->nodes[i], up);
	}
	return wrong;
}

/* Sets all counts to 0. */
void fleet_reset_counts(struct fleet *f)
{
	unsigned i;

	memset(&f->counts, 0, sizeof(f->counts));
	for (i = 0; i < f->settings.n; i++)
		memset(f->nodes[i].bytes, 0, sizeof(f->nodes[i].bytes));
}

/* Traffic and CPU time since fleet_reset_counts(). */
void fleet_counts(const struct fleet *f, struct fleet_counts *out)
{
	unsigned i, kind;

	*out = f->counts;
	for (i = 0; i < f->settings.n; i++) {
		for (kind = 0; kind < FLEET_KIND_COUNT; kind++)
			out->max_node_bytes[kind] =
				MAX(out->max_node_bytes[kind],
				    f->nodes[i].bytes[kind]);
	}
}

/* The last message of a kind that any node sent; for mutation tests. */
GBytes *fleet_last_message(struct fleet *f, enum fleet_kind kind)
{
	return f->last[kind];
}
