#include "support_group.h"

struct event {
	uint64_t at_us;
	uint64_t number; /* order of events due at the same time */
	int relay; /* held while this relay is frozen, -1: none */
	fake_fn fn;
	void *data;
	GDestroyNotify free_data;
};

static gint event_cmp(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct event *x = a, *y = b;

	(void)data;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->number < y->number ? -1 : x->number > y->number;
}

static void event_free(gpointer data)
{
	struct event *e = data;

	if (e->free_data)
		e->free_data(e->data);
	g_free(e);
}

/* Schedules an event; its data is freed after it has run. */
void fake_at(struct fake *f, int relay, uint64_t delay_us, fake_fn fn,
	     void *data, GDestroyNotify free_data)
{
	struct event *e = g_new0(struct event, 1);

	e->at_us = f->now_us + delay_us;
	e->number = f->n_events++;
	e->relay = relay;
	e->fn = fn;
	e->data = data;
	e->free_data = free_data;
	g_tree_insert(f->events, e, e);
}

/* Runs the next event due by until_us; false when there is none. */
bool fake_step(struct fake *f, uint64_t until_us)
{
	GTreeNode *node = g_tree_node_first(f->events);
	struct event *e = node ? g_tree_node_key(node) : NULL;

	if (!e || e->at_us > until_us) {
		f->now_us = until_us;
		return false;
	}
	g_tree_steal(f->events, e);
	f->now_us = e->at_us;
	if (e->relay >= 0 && f->relays[e->relay].frozen_until_us > f->now_us) {
		e->at_us = f->relays[e->relay].frozen_until_us;
		e->number = f->n_events++;
		g_tree_insert(f->events, e, e);
		return true;
	}
	e->fn(f, e->data);
	event_free(e);
	return true;
}

/* Runs all events of the next `us` microseconds. */
void fake_run(struct fake *f, uint64_t us)
{
	uint64_t until_us = f->now_us + us;

	while (fake_step(f, until_us))
		;
}

/* A random number of [from, to). */
uint64_t fake_random(struct fake *f, uint64_t from, uint64_t to)
{
	return from +
	       (uint64_t)g_rand_int_range(f->rng, 0, (gint32)(to - from));
}

/* True with probability `share`; 0 draws no random number. */
bool fake_chance(struct fake *f, double share)
{
	return share > 0 && g_rand_double(f->rng) < share;
}

/* The queue of events, ordered by time. */
GTree *fake_events_create(void)
{
	return g_tree_new_full(event_cmp, NULL, event_free, NULL);
}
