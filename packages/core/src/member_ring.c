#include "member_internal.h"

#include <string.h>
#include <xxhash.h>

/*
 * The choice of neighbours. All members are placed on several rings, each
 * ordered by another hash of their names; two rings hold only the own region. A
 * node probes its successors on the rings and sends gossip to its successors
 * and predecessors. So each member is watched by a few others, connections
 * between nodes last, and the graph of neighbours has short paths between all
 * nodes. With random partners each probe would open a connection of its own,
 * which takes ten times as many bytes as the probe.
 */

/* Up to this number of members, all are neighbours of each other. */
#define FULL_MESH_MAX 13
/* Tries to find a random neighbour that is present. */
#define RANDOM_TRIES 8

/* Successor and predecessor of this node on one ring, as found so far. */
struct ring_sides {
	struct member *next;
	struct member *previous;
	uint32_t next_distance;
	uint32_t previous_distance;
};

/* Initializes empty lists, filled in the next tick. */
void member_ring_init(struct members *m)
{
	m->rings.targets = g_ptr_array_new();
	m->rings.neighbours = g_ptr_array_new();
	m->rings.stale = true;
}

/* Frees the lists. */
void member_ring_clear(struct members *m)
{
	g_ptr_array_free(m->rings.targets, TRUE);
	g_ptr_array_free(m->rings.neighbours, TRUE);
}

/* Sets the member's positions on the rings, which depend only on its name. */
void member_ring_set_positions(struct member *member)
{
	size_t len = strlen(member->info.name);
	unsigned i;

	for (i = 0; i < MEMBER_RINGS; i++)
		member->ring_pos[i] = XXH32(member->info.name, len, i + 1);
}

static void add_once(GPtrArray *list, struct member *member)
{
	if (member && !g_ptr_array_find(list, member, NULL))
		g_ptr_array_add(list, member);
}

/*
 * Distances are measured in one direction around the ring, so the farthest
 * member is the predecessor.
 */
static void update_sides(struct ring_sides *sides, struct member *member,
			 uint32_t distance)
{
	if (!sides->next || distance < sides->next_distance) {
		sides->next = member;
		sides->next_distance = distance;
	}
	if (!sides->previous || distance > sides->previous_distance) {
		sides->previous = member;
		sides->previous_distance = distance;
	}
}

static void find_ring_neighbours(struct members *m, struct ring_sides *sides)
{
	const struct member *self = m->self;
	unsigned i, ring;

	for (i = 0; i < m->table->len; i++) {
		struct member *member = g_ptr_array_index(m->table, i);
		bool same_region;

		if (member == self || !member_is_present(member))
			continue;
		same_region = !strcmp(member->info.region, self->info.region);
		for (ring = 0; ring < MEMBER_RINGS; ring++) {
			if (ring >= MEMBER_GLOBAL_RINGS && !same_region)
				continue;
			update_sides(&sides[ring], member,
				     member->ring_pos[ring] -
					     self->ring_pos[ring]);
		}
	}
}

static void add_all_members(struct members *m)
{
	unsigned i;

	for (i = 0; i < m->table->len; i++) {
		struct member *member = g_ptr_array_index(m->table, i);

		if (member != m->self && member_is_present(member)) {
			g_ptr_array_add(m->rings.targets, member);
			g_ptr_array_add(m->rings.neighbours, member);
		}
	}
}

static void add_ring_neighbours(struct members *m)
{
	struct ring_sides sides[MEMBER_RINGS] = { 0 };
	unsigned ring;

	find_ring_neighbours(m, sides);
	for (ring = 0; ring < MEMBER_RINGS; ring++) {
		add_once(m->rings.targets, sides[ring].next);
		add_once(m->rings.neighbours, sides[ring].next);
		add_once(m->rings.neighbours, sides[ring].previous);
	}
}

/* Builds the lists again if the set of present members changed. */
void member_ring_update(struct members *m)
{
	struct member_rings *r = &m->rings;

	if (!r->stale)
		return;
	r->stale = false;
	g_ptr_array_set_size(r->targets, 0);
	g_ptr_array_set_size(r->neighbours, 0);
	if (m->n_live <= FULL_MESH_MAX)
		add_all_members(m);
	else
		add_ring_neighbours(m);
	r->next_target = r->targets->len;
}

static void shuffle(struct members *m)
{
	GPtrArray *list = m->rings.targets;
	unsigned i;

	for (i = list->len; i > 1; i--) {
		unsigned j = (unsigned)g_rand_int_range(m->rng, 0, (int)i);
		gpointer t = list->pdata[i - 1];

		list->pdata[i - 1] = list->pdata[j];
		list->pdata[j] = t;
	}
	m->rings.next_target = 0;
}

/*
 * The next member to probe; all targets are probed once before one is probed
 * again. NULL if none is present.
 */
struct member *member_ring_next_target(struct members *m)
{
	struct member_rings *r = &m->rings;
	unsigned tries = r->targets->len;

	while (tries--) {
		struct member *member;

		if (r->next_target >= r->targets->len)
			shuffle(m);
		member = g_ptr_array_index(r->targets, r->next_target++);
		if (member_is_present(member))
			return member;
	}
	return NULL;
}

/* Whether this node is one of those that probe the member. */
bool member_ring_watches(const struct members *m, struct member *member)
{
	return g_ptr_array_find(m->rings.targets, member, NULL);
}

/*
 * A random neighbour; any present member if no neighbour is found that is
 * present. NULL if there is none.
 */
struct member *member_ring_random(struct members *m)
{
	GPtrArray *list = m->rings.neighbours;
	unsigned i;

	for (i = 0; i < RANDOM_TRIES && list->len; i++) {
		int at = g_rand_int_range(m->rng, 0, (int)list->len);
		struct member *member = g_ptr_array_index(list, at);

		if (member_is_present(member))
			return member;
	}
	return member_table_random(m, member_is_present);
}
