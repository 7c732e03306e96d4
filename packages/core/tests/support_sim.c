#include "support_sim.h"

struct sim_event {
	uint64_t at_us;
	uint64_t sequence; /* order among events of the same time */
	int from; /* sending node, SIM_NO_NODE: not a message */
	int node; /* where it runs */
	unsigned epoch; /* of the node when the event was scheduled */
	sim_fn fn;
	void *ctx;
	void *data;
};

struct sim_node {
	bool down;
	bool silent; /* while down: does not refuse connections either */
	unsigned epoch; /* number of times it went down */
	uint64_t paused_until_us;
	bool blocked[SIM_MAX_NODES]; /* messages to that node are dropped */
};

struct sim {
	uint64_t now_us;
	uint64_t next_sequence;
	GArray *heap; /* struct sim_event, a binary heap by time */
	GRand *rng;
	struct sim_network network;
	struct sim_node nodes[SIM_MAX_NODES];
};

struct sim *sim_create(uint32_t seed, const struct sim_network *network)
{
	struct sim *s = g_new0(struct sim, 1);

	s->now_us = USEC_PER_SEC;
	s->heap = g_array_new(FALSE, FALSE, sizeof(struct sim_event));
	s->rng = g_rand_new_with_seed(seed);
	s->network = *network;
	return s;
}

void sim_destroy(struct sim *s)
{
	unsigned i;

	for (i = 0; i < s->heap->len; i++)
		g_free(g_array_index(s->heap, struct sim_event, i).data);
	g_array_free(s->heap, TRUE);
	g_rand_free(s->rng);
	g_free(s);
}

uint64_t sim_now(const struct sim *s)
{
	return s->now_us;
}

GRand *sim_rng(struct sim *s)
{
	return s->rng;
}

struct sim_network *sim_network(struct sim *s)
{
	return &s->network;
}

static bool before(const struct sim_event *a, const struct sim_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static void push(struct sim *s, struct sim_event e)
{
	struct sim_event *h;
	unsigned i, parent;

	e.sequence = s->next_sequence++;
	g_array_append_val(s->heap, e);
	h = (struct sim_event *)s->heap->data;
	for (i = s->heap->len - 1; i; i = parent) {
		parent = (i - 1) / 2;
		if (!before(&e, &h[parent]))
			break;
		h[i] = h[parent];
	}
	h[i] = e;
}

static struct sim_event pop(struct sim *s)
{
	struct sim_event *h = (struct sim_event *)s->heap->data;
	struct sim_event first = h[0];
	struct sim_event last = h[s->heap->len - 1];
	unsigned n = s->heap->len - 1, i = 0, child;

	for (child = 1; child < n; child = 2 * i + 1) {
		if (child + 1 < n && before(&h[child + 1], &h[child]))
			child++;
		if (!before(&h[child], &last))
			break;
		h[i] = h[child];
		i = child;
	}
	h[i] = last;
	g_array_set_size(s->heap, n);
	return first;
}

static void run_event(struct sim *s, struct sim_event *e)
{
	struct sim_node *node = e->node == SIM_NO_NODE ? NULL :
							 &s->nodes[e->node];

	if (node && !node->down && node->paused_until_us > s->now_us) {
		e->at_us = node->paused_until_us;
		push(s, *e);
		return;
	}
	if (!node || (!node->down && node->epoch == e->epoch &&
		      (e->from < 0 || !s->nodes[e->from].blocked[e->node])))
		e->fn(e->ctx, e->data);
	g_free(e->data);
}

void sim_run(struct sim *s, uint64_t until_us)
{
	struct sim_event e;

	while (s->heap->len) {
		e = g_array_index(s->heap, struct sim_event, 0);
		if (e.at_us > until_us)
			break;
		e = pop(s);
		s->now_us = MAX(s->now_us, e.at_us);
		run_event(s, &e);
	}
	s->now_us = until_us;
}

static void schedule(struct sim *s, int from, int node, uint64_t delay_us,
		     sim_fn fn, void *ctx, void *data)
{
	struct sim_event e = {
		.at_us = s->now_us + delay_us,
		.from = from,
		.node = node,
		.epoch = node == SIM_NO_NODE ? 0 : s->nodes[node].epoch,
		.fn = fn,
		.ctx = ctx,
		.data = data,
	};

	push(s, e);
}

void sim_at(struct sim *s, int node, uint64_t delay_us, sim_fn fn, void *ctx,
	    void *data)
{
	schedule(s, SIM_NO_NODE, node, delay_us, fn, ctx, data);
}

/* Delay of one message, with its retransmissions; UINT64_MAX: lost. */
static uint64_t message_delay_us(struct sim *s)
{
	const struct sim_network *n = &s->network;
	uint64_t us = n->latency_us;
	uint64_t retransmit_delay_us = n->retransmit_us;

	if (n->jitter_us)
		us += (uint64_t)g_rand_int_range(s->rng, 0,
						 (gint32)n->jitter_us);
	while (n->loss > 0 && g_rand_double(s->rng) < n->loss) {
		if (!retransmit_delay_us)
			return UINT64_MAX;
		us += retransmit_delay_us;
		retransmit_delay_us *= 2;
	}
	if (n->reorder > 0 && g_rand_double(s->rng) < n->reorder)
		us += (uint64_t)g_rand_int_range(s->rng, 0,
						 (gint32)n->reorder_us);
	return us;
}

void sim_send(struct sim *s, int from, int to, uint64_t extra_us, sim_fn fn,
	      void *ctx, void *data, size_t len)
{
	uint64_t us = message_delay_us(s);

	if (len && s->network.duplicate > 0 &&
	    g_rand_double(s->rng) < s->network.duplicate)
		schedule(s, from, to, extra_us + 2 * s->network.latency_us, fn,
			 ctx, g_memdup2(data, len));
	if (us == UINT64_MAX || s->nodes[from].blocked[to]) {
		g_free(data);
		return;
	}
	schedule(s, from, to, extra_us + us, fn, ctx, data);
}

void sim_block(struct sim *s, int from, int to, bool blocked)
{
	s->nodes[from].blocked[to] = blocked;
}

void sim_isolate(struct sim *s, int node, bool isolated)
{
	int i;

	for (i = 0; i < SIM_MAX_NODES; i++) {
		if (i == node)
			continue;
		sim_block(s, node, i, isolated);
		sim_block(s, i, node, isolated);
	}
}

void sim_pause(struct sim *s, int node, uint64_t duration_us)
{
	s->nodes[node].paused_until_us = s->now_us + duration_us;
}

void sim_down(struct sim *s, int node, bool silent)
{
	s->nodes[node].down = true;
	s->nodes[node].silent = silent;
	s->nodes[node].epoch++;
}

void sim_up(struct sim *s, int node)
{
	s->nodes[node].down = false;
	s->nodes[node].paused_until_us = 0;
}

bool sim_is_down(const struct sim *s, int node)
{
	return s->nodes[node].down;
}

bool sim_refuses(const struct sim *s, int from, int node)
{
	return s->nodes[node].down && !s->nodes[node].silent &&
	       !s->nodes[from].blocked[node] && !s->nodes[node].blocked[from];
}

void sim_heal(struct sim *s)
{
	int i;

	for (i = 0; i < SIM_MAX_NODES; i++) {
		sim_isolate(s, i, false);
		s->nodes[i].paused_until_us = 0;
	}
}
