#ifndef CELERYQUAY_CORE_SUPPORT_FLEET_HEAP_H
#define CELERYQUAY_CORE_SUPPORT_FLEET_HEAP_H

/* Event queue of a simulated fleet: ticks and messages, ordered by time. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct fleet_event {
	uint64_t at_us;
	uint64_t sequence; /* orders events of the same time */
	unsigned node; /* that ticks or receives the message */
	unsigned generation; /* tick: the process that it is for */
	unsigned from; /* message: the sender */
	unsigned kind; /* message: enum fleet_kind */
	GBytes *message; /* NULL: a tick */
};

struct fleet_heap {
	GArray *events; /* a binary heap of struct fleet_event */
	uint64_t sequence; /* of the next event pushed */
};

void fleet_heap_init(struct fleet_heap *h);
void fleet_heap_clear(struct fleet_heap *h);
/* Takes over the reference to the message. */
void fleet_heap_push(struct fleet_heap *h, struct fleet_event e);
struct fleet_event fleet_heap_pop(struct fleet_heap *h);
/* The time of the first event; UINT64_MAX when there is none. */
uint64_t fleet_heap_next_us(const struct fleet_heap *h);

#endif
