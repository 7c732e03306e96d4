#include "member_internal.h"

#include <string.h>
#include <xxhash.h>

/* Random rows tried before the table is searched in order. */
#define RANDOM_TRIES 8

/* Whether the state means that the process no longer runs. */
bool member_is_gone(enum member_state state)
{
	return state == MEMBER_DEAD || state == MEMBER_LEFT;
}

/* Whether messages should be sent to the member. */
bool member_is_present(const struct member *member)
{
	return !member_is_gone(member->info.state);
}

/* The part of the table whose digest includes the member. */
unsigned member_bucket(const struct member *member)
{
	return member->hash % MEMBER_BUCKETS;
}

/* The index of the name, or where it would be inserted. */
static unsigned table_search(struct members *m, struct str name, bool *found)
{
	unsigned low = 0;
	unsigned high = m->table->len;

	*found = false;
	while (low < high) {
		unsigned middle = low + (high - low) / 2;
		struct member *member = g_ptr_array_index(m->table, middle);
		int order = str_cmp(str_from_c(member->info.name), name);

		if (!order) {
			*found = true;
			return middle;
		}
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* The member of this name, NULL if there is none. */
struct member *member_table_find(struct members *m, struct str name)
{
	bool found;
	unsigned index = table_search(m, name, &found);

	return found ? g_ptr_array_index(m->table, index) : NULL;
}

static void copy_text(char *to, size_t size, struct str from)
{
	size_t len = MIN(from.len, size - 1);

	memcpy(to, from.data, len);
	to[len] = '\0';
}

/* Copies the properties of the process from a full claim. */
void member_table_copy_details(struct member *member, const struct claim *c)
{
	struct member_info *info = &member->info;

	copy_text(info->host, sizeof(info->host), c->host);
	info->peer_port = c->port;
	copy_text(info->data_centre, sizeof(info->data_centre), c->data_centre);
	copy_text(info->region, sizeof(info->region), c->region);
	copy_text(info->curve_public, sizeof(info->curve_public),
		  c->curve_public);
	info->version_min = c->version_min;
	info->version_max = c->version_max;
	member->process_hash = c->process_hash;
}

/* Adds a row from a full claim; NULL if it exists or the table is full. */
struct member *member_table_add(struct members *m, const struct claim *c)
{
	struct member *member;
	unsigned index;
	bool found;

	index = table_search(m, c->name, &found);
	if (found || m->table->len >= MEMBER_TABLE_MAX)
		return NULL;
	member = g_new0(struct member, 1);
	copy_text(member->info.name, sizeof(member->info.name), c->name);
	member->hash = member_name_hash(c->name);
	member_ring_set_positions(member);
	member->info.incarnation = c->incarnation;
	member->info.state = c->state;
	member_table_copy_details(member, c);
	g_ptr_array_insert(m->table, (int)index, member);
	member_table_after_change(m, member);
	return member;
}

/* The member's part of its bucket's digest; 0 if it is dead or has left. */
static uint32_t table_digest(const struct member *member)
{
	uint64_t words[2] = { member->info.incarnation, 0 };

	if (member_is_gone(member->info.state))
		return 0;
	words[1] = (uint64_t)member->process_hash << 1;
	words[1] |= member->info.state == MEMBER_LEAVING;
	return (uint32_t)XXH64(words, sizeof(words), member->hash);
}

/* Subtracts the member from counts and digests, before it is changed. */
void member_table_before_change(struct members *m, const struct member *member)
{
	m->n_live -= !member_is_gone(member->info.state);
	m->n_dead -= member->info.state == MEMBER_DEAD;
	m->buckets[member_bucket(member)] ^= table_digest(member);
}

/* Adds the member to counts and digests again, after the change. */
void member_table_after_change(struct members *m, struct member *member)
{
	bool present = member_is_present(member);

	m->rings.stale |= present != member->in_rings;
	member->in_rings = present;
	m->n_live += !member_is_gone(member->info.state);
	m->n_dead += member->info.state == MEMBER_DEAD;
	m->buckets[member_bucket(member)] ^= table_digest(member);
}

/* Removes members that have been dead or left for dead_retention_us. */
void member_table_forget(struct members *m, uint64_t now_us)
{
	unsigned i = m->table->len;

	/* So that no list refers to a member that is removed. */
	member_ring_update(m);
	while (i--) {
		struct member *member = g_ptr_array_index(m->table, i);

		if (member == m->self || !member_is_gone(member->info.state) ||
		    now_us - member->state_since_us <
			    m->settings.dead_retention_us)
			continue;
		member_gossip_drop(m, member);
		member_probe_forget(m, member);
		member_table_before_change(m, member);
		g_ptr_array_remove_index(m->table, i);
	}
}

/* A random other member that passes the filter; NULL if there is none. */
struct member *member_table_random(struct members *m, member_filter_fn filter)
{
	unsigned n = m->table->len;
	unsigned i, start;

	for (i = 0; i < RANDOM_TRIES; i++) {
		unsigned at = (unsigned)g_rand_int_range(m->rng, 0, (int)n);
		struct member *member = g_ptr_array_index(m->table, at);

		if (member != m->self && filter(member))
			return member;
	}
	start = (unsigned)g_rand_int_range(m->rng, 0, (int)n);
	for (i = 0; i < n; i++) {
		struct member *member =
			g_ptr_array_index(m->table, (start + i) % n);

		if (member != m->self && filter(member))
			return member;
	}
	return NULL;
}
