#include "support_fleet_heap.h"

static bool is_before(const struct fleet_event *a, const struct fleet_event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

/* Adds an event; events of the same time are popped in push order. */
void fleet_heap_push(struct fleet_heap *h, struct fleet_event e)
{
	struct fleet_event *events;
	unsigned i;

	e.sequence = h->sequence++;
	g_array_append_val(h->events, e);
	events = (struct fleet_event *)h->events->data;
	for (i = h->events->len - 1; i; i = (i - 1) / 2) {
		if (!is_before(&e, &events[(i - 1) / 2]))
			break;
		events[i] = events[(i - 1) / 2];
	}
	events[i] = e;
}

/* Removes and returns the first event; the heap must not be empty. */
struct fleet_event fleet_heap_pop(struct fleet_heap *h)
{
	struct fleet_event *events = (struct fleet_event *)h->events->data;
	struct fleet_event first = events[0];
	unsigned n = h->events->len - 1;
	struct fleet_event last = events[n];
	unsigned i = 0, child = 1;

	while (child < n) {
		if (child + 1 < n &&
		    is_before(&events[child + 1], &events[child]))
			child++;
		if (!is_before(&events[child], &last))
			break;
		events[i] = events[child];
		i = child;
		child = 2 * i + 1;
	}
	events[i] = last;
	g_array_set_size(h->events, n);
	return first;
}

void fleet_heap_init(struct fleet_heap *h)
{
	h->events = g_array_new(FALSE, FALSE, sizeof(struct fleet_event));
	h->sequence = 0;
}

/* Frees the events and their messages. */
void fleet_heap_clear(struct fleet_heap *h)
{
	guint i;

	for (i = 0; i < h->events->len; i++) {
		struct fleet_event *e =
			&g_array_index(h->events, struct fleet_event, i);

		if (e->message)
			g_bytes_unref(e->message);
	}
	g_array_free(h->events, TRUE);
}

/* The time of the first event; UINT64_MAX when there is none. */
uint64_t fleet_heap_next_us(const struct fleet_heap *h)
{
	if (!h->events->len)
		return UINT64_MAX;
	return g_array_index(h->events, struct fleet_event, 0).at_us;
}
