#include "member.h"

#include "server.h"

#include <string.h>

#define GONE_US (3600 * MS) /* three heartbeats of silence */
#define DRAIN_US (7 * SEC)
#define LEAST_OTHERS 2 /* that stay when one leaves */

void member_list(const struct server *s)
{
	char *key = g_strconcat("servers/", s->id, NULL);
	char *value = g_strdup_printf(
		"{\"service\":\"group%u\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"a\",\"version\":\"1\",\"capacity\":%u,"
		"\"state\":\"%s\",\"coldRemainingMs\":0,\"seq\":1,"
		"\"born\":%" G_GINT64_FORMAT ",\"dbRole\":\"%s\"}",
		s->group, s->port, SLOTS, s->leaving ? "draining" : "ready",
		s->born_us / 1000,
		s->role == ROLE_PRIMARY ? "primary" : "replica");

	store_put(s->groups->store, key, value);
	g_free(value);
	g_free(key);
}

static void unlist(struct groups *g, const char *id)
{
	char *key = g_strconcat("servers/", id, NULL);

	store_put(g->store, key, NULL);
	g_free(key);
}

void members_list(struct groups *g)
{
	unsigned i;

	for (i = 0; i < g->n * GROUP_SIZE; i++)
		if (!g->servers[i].absent)
			member_list(&g->servers[i]);
}

struct server *member_free_place(struct groups *g, unsigned group)
{
	unsigned i;

	for (i = group * GROUP_SIZE; i < (group + 1) * GROUP_SIZE; i++)
		if (g->servers[i].absent)
			return &g->servers[i];
	return NULL;
}

struct server *member_crashed(struct groups *g, unsigned group)
{
	struct server *last = NULL;
	unsigned i;

	for (i = group * GROUP_SIZE; i < (group + 1) * GROUP_SIZE; i++) {
		struct server *s = &g->servers[i];

		if (s->down && !s->absent &&
		    (!last || s->crashed_us > last->crashed_us))
			last = s;
	}
	return last;
}

struct server *member_replica(struct groups *g, unsigned group, unsigned pick)
{
	struct server *all[GROUP_SIZE];
	unsigned i, n = 0;

	for (i = group * GROUP_SIZE; i < (group + 1) * GROUP_SIZE; i++)
		if (!g->servers[i].down && !g->servers[i].dark &&
		    g->servers[i].role == ROLE_REPLICA)
			all[n++] = &g->servers[i];
	return n ? all[pick % n] : NULL;
}

/* A new process, under an id that none had before. */
static void start_process(struct server *s)
{
	struct groups *g = s->groups;
	unsigned i, n = 0;

	s->absent = false;
	s->down = false;
	s->dark = false;
	s->leaving = false;
	s->held = 0;
	s->reaches_us = 0;
	s->born_us = g_get_real_time();
	g_snprintf(s->id, sizeof(s->id), "s%u-%u", s->index, ++g->n_ids);
	member_list(s);
	for (i = 0; i < g->n * GROUP_SIZE; i++)
		n += !g->servers[i].absent;
	g->n_most = MAX(g->n_most, n);
}

/* An entry stays for a while after its process, whatever runs there since. */
static void on_gone(void *data)
{
	struct due *d = data;
	const struct server *s = group_find(d->groups, d->id);

	if (!s || (s->down && s->crashed_us == d->crashed_us))
		unlist(d->groups, d->id);
	g_free(d);
}

/* Its process ends; what it stored stays. */
void member_crash(struct server *s)
{
	if (s->down)
		return;
	s->down = true;
	s->dark = false;
	s->held = 0;
	s->crashed_us = later_now_us();
	server_cut(s);
	later(s->groups->loop, GONE_US, on_gone, group_due(s));
}

static void follow_promotion(struct server *s)
{
	if (s->term < s->groups->top_term[s->group])
		s->role = ROLE_REPLICA;
}

void member_restart(struct server *s)
{
	s->dark = false;
	if (!s->down || s->absent)
		return;
	s->down = false;
	s->born_us = g_get_real_time();
	follow_promotion(s);
	member_list(s);
}

void member_return(struct server *s, struct server *to)
{
	GArray *log = to->log;

	if (!s->down || s->absent || (to != s && !to->absent))
		return;
	s->absent = true;
	to->log = s->log;
	s->log = log;
	to->applied = s->applied;
	to->term = s->term;
	to->role = s->role;
	follow_promotion(to);
	start_process(to);
}

/* What others have received, of the newest term that any of them knows. */
static const struct server *best_log(const struct server *place)
{
	const struct server *best = NULL;
	unsigned i;

	for (i = 0; i < GROUP_SIZE; i++) {
		const struct server *s =
			&place->groups->servers[place->group * GROUP_SIZE + i];

		if (!s->down && !s->dark &&
		    (!best || s->term > best->term ||
		     (s->term == best->term && s->log->len > best->log->len)))
			best = s;
	}
	return best;
}

void member_join(struct server *place)
{
	const struct server *from = best_log(place);

	if (!place->down || !from)
		return;
	g_array_set_size(place->log, 0);
	g_array_append_vals(place->log, from->log->data, from->log->len);
	place->applied = place->log->len;
	place->term = from->term;
	place->role = ROLE_REPLICA;
	start_process(place);
}

/* It ends; one that stays the group's has its place taken at once. */
static void on_drained(void *data)
{
	struct due *d = data;
	struct server *s = group_find(d->groups, d->id);

	if (s && s->leaving) {
		server_cut(s);
		unlist(d->groups, d->id);
		s->leaving = false;
		s->down = true;
		s->dark = false;
		s->absent = true;
		s->role = ROLE_REPLICA;
		if (d->replaced)
			start_process(s);
	}
	g_free(d);
}

static void drain(struct server *s, bool replaced)
{
	struct due *d = group_due(s);

	d->replaced = replaced;
	s->leaving = true;
	member_list(s);
	later(s->groups->loop, DRAIN_US, on_drained, d);
}

/* One that led has had its drain time to be replaced as primary. */
void member_release(struct server *s)
{
	if (!s->leaving && !s->down)
		drain(s, true);
}

void member_leave(struct server *s)
{
	unsigned i, n = 0;

	for (i = 0; i < GROUP_SIZE; i++) {
		const struct server *other =
			&s->groups->servers[s->group * GROUP_SIZE + i];

		n += other != s && !other->down && !other->dark &&
		     !other->leaving;
	}
	if (!s->leaving && !s->down && n >= LEAST_OTHERS)
		drain(s, false);
}

static void on_listed_again(void *data)
{
	struct due *d = data;
	const struct server *s = group_find(d->groups, d->id);

	if (s && !s->down)
		member_list(s);
	g_free(d);
}

void member_lapse(struct server *s, uint64_t for_us)
{
	if (s->down)
		return;
	unlist(s->groups, s->id);
	later(s->groups->loop, for_us, on_listed_again, group_due(s));
}
