#include "group.h"

#include "member.h"

#include <string.h>

#define STREAM_MS 4
#define FOLLOW_US SEC /* an old primary follows a new one after that */
#define PROMOTE_US (300 * MS)
#define ANSWER_US SEC /* what takes longer is not answered */
#define REPORT_US (100 * MS) /* until the store has a late one's new role */
#define LAG_US (8 * MS)
#define AGE_US (3600 * (int64_t)SEC) /* of the first servers */

static bool is_on_line(const struct server *s)
{
	return !s->down && !s->dark;
}

struct group_commit *group_commit_at(const struct groups *g, unsigned place)
{
	return &g_array_index(g->commits, struct group_commit, place);
}

/* Whether it is in what the server has applied. */
bool group_has(const struct server *s, unsigned place)
{
	unsigned at = group_commit_at(s->groups, place)->number;

	return at <= s->applied &&
	       g_array_index(s->log, unsigned, at - 1) == place;
}

/* The one that runs in the highest term, NULL: none. */
struct server *group_primary(struct groups *g, unsigned group)
{
	struct server *best = NULL;
	unsigned i;

	for (i = group * GROUP_SIZE; i < (group + 1) * GROUP_SIZE; i++) {
		struct server *s = &g->servers[i];

		if (is_on_line(s) && s->role == ROLE_PRIMARY &&
		    (!best || s->term > best->term))
			best = s;
	}
	return best;
}

struct position group_position(const struct server *s)
{
	return (struct position){ .term = s->term, .index = s->applied };
}

/* Rolls back what the primary's log hasn't, and follows its term. */
static void join_term(struct server *s, const struct server *p)
{
	unsigned n = 0, most = MIN(s->log->len, p->log->len);
	bool led = s->role == ROLE_PRIMARY;

	while (n < most && g_array_index(s->log, unsigned, n) ==
				   g_array_index(p->log, unsigned, n))
		n++;
	g_array_set_size(s->log, n);
	s->applied = MIN(s->applied, n);
	s->term = p->term;
	s->role = ROLE_REPLICA;
	s->reaches_us = 0;
	if (led)
		member_list(s);
}

static void receive(struct server *s, const struct server *p, uint64_t now_us)
{
	unsigned place;

	while (s->log->len < p->log->len) {
		place = g_array_index(p->log, unsigned, s->log->len);
		if (group_commit_at(s->groups, place)->us + s->lag_us / 2 >
		    now_us)
			break;
		g_array_append_val(s->log, place);
	}
}

static void apply(struct server *s, uint64_t now_us)
{
	while (s->applied < s->log->len) {
		unsigned place = g_array_index(s->log, unsigned, s->applied);

		if (group_commit_at(s->groups, place)->us + s->lag_us > now_us)
			break;
		s->applied++;
	}
}

/* A primary that stepped down has sent all that it stored before. */
static void receive_left(struct server *s, uint64_t now_us)
{
	unsigned i;

	for (i = s->group * GROUP_SIZE; i < (s->group + 1) * GROUP_SIZE; i++) {
		const struct server *old = &s->groups->servers[i];

		if (is_on_line(old) && old->term == s->term &&
		    old->role == ROLE_REPLICA)
			receive(s, old, now_us);
	}
}

static void stream(struct server *s, uint64_t now_us)
{
	struct server *p = group_primary(s->groups, s->group);

	if (!is_on_line(s))
		s->reaches_us = 0;
	if (s->down || s == p)
		return;
	if (s->role == ROLE_REPLICA)
		apply(s, now_us);
	if (!p && is_on_line(s) && s->held <= s->term)
		receive_left(s, now_us);
	if (!p || !is_on_line(s) || p->term < s->term || s->held > p->term)
		return;
	if (s->role == ROLE_PRIMARY) {
		if (!s->reaches_us)
			s->reaches_us = now_us;
		if (now_us < s->reaches_us + FOLLOW_US)
			return;
	}
	if (s->role == ROLE_PRIMARY || s->term < p->term)
		join_term(s, p);
	receive(s, p, now_us);
	apply(s, now_us);
}

static void on_stream(uv_timer_t *timer)
{
	struct groups *g = timer->data;
	uint64_t now_us = later_now_us();
	unsigned i;

	for (i = 0; i < g->n * GROUP_SIZE; i++)
		stream(&g->servers[i], now_us);
}

/* NULL: no process has that id, or ever had. */
struct server *group_find(struct groups *g, const char *id)
{
	unsigned i;

	for (i = 0; i < g->n * GROUP_SIZE; i++)
		if (!strcmp(g->servers[i].id, id))
			return &g->servers[i];
	return NULL;
}

/* For a call that frees it. */
struct due *group_due(const struct server *s)
{
	struct due *d = g_new0(struct due, 1);

	d->groups = s->groups;
	memcpy(d->id, s->id, sizeof(d->id));
	d->crashed_us = s->crashed_us;
	return d;
}

/* What isn't in the new primary's log is lost, acknowledged or not. */
static void lead(struct server *s)
{
	struct groups *g = s->groups;
	unsigned i;

	s->applied = s->log->len;
	s->role = ROLE_PRIMARY;
	s->term = ++g->top_term[s->group];
	s->held = 0;
	g->n_promotions++;
	for (i = 1; i < g->commits->len; i++) {
		struct group_commit *c = group_commit_at(g, i);

		if (c->group == s->group && !group_has(s, i))
			c->lost = true;
	}
}

static void on_reported(void *data)
{
	struct due *d = data;
	const struct server *s = group_find(d->groups, d->id);

	if (s && !s->down)
		member_list(s);
	g_free(d);
}

static void on_promoted(void *data)
{
	struct due *d = data;
	struct server *s = group_find(d->groups, d->id);

	if (s && !s->down && s->role != ROLE_PRIMARY)
		lead(s);
	later(d->groups->loop, d->groups->late_us ? REPORT_US : 0, on_reported,
	      d);
}

/* The call that the platform takes; its status, 0: no answer comes. */
unsigned groups_promote(void *ctx, const char *service, const char *id,
			const char *holder, uint64_t token)
{
	struct groups *g = ctx;
	struct server *s = group_find(g, id);

	(void)service;
	if (token < g->token ||
	    (token == g->token && g_strcmp0(holder, g->holder)))
		audit_wrong(g->audit, "token %u of %s after %u of %s",
			    (unsigned)token, holder, (unsigned)g->token,
			    g->holder);
	g->token = token;
	g_free(g->holder);
	g->holder = g_strdup(holder);
	if (!s || s->down)
		return 409;
	if (s->role == ROLE_PRIMARY)
		return 200;
	later(g->loop, PROMOTE_US + g->late_us, on_promoted, group_due(s));
	return g->late_us < ANSWER_US ? 200 : 0;
}

/* Appends to the primary's log. */
unsigned group_commit(struct server *s, struct attempt *attempt)
{
	struct groups *g = s->groups;
	unsigned place = g->commits->len;
	struct group_commit c = {
		.attempt = attempt,
		.group = s->group,
		.number = s->log->len + 1,
		.us = later_now_us(),
		.replaced = s->term < g->top_term[s->group],
		.lost = s->term < g->top_term[s->group],
	};

	if (attempt->n_commits++)
		audit_wrong(g->audit, "a write of session %u ran twice",
			    attempt->session);
	if (attempt->promised && !c.lost)
		audit_wrong(g->audit,
			    "session %u was told that nothing is kept",
			    attempt->session);
	g_array_append_val(g->commits, c);
	g_array_append_val(s->log, place);
	s->applied = s->log->len;
	return place;
}

static void create_server(struct groups *g, unsigned index)
{
	struct server *s = &g->servers[index];

	s->groups = g;
	s->index = index;
	s->group = index / GROUP_SIZE;
	s->absent = index % GROUP_SIZE >= GROUP_FIRST;
	s->down = s->absent;
	s->born_us = g_get_real_time() - AGE_US;
	g_snprintf(s->id, sizeof(s->id), "s%u", index);
	s->role = index % GROUP_SIZE ? ROLE_REPLICA : ROLE_PRIMARY;
	s->term = 1;
	s->lag_us = LAG_US;
	s->work_us = WORK_US;
	s->log = g_array_new(FALSE, FALSE, sizeof(unsigned));
	s->conns = g_ptr_array_new();
}

/* Groups at rest that nobody knows of. */
struct groups *groups_create(uv_loop_t *loop, struct audit *audit, GRand *rng,
			     unsigned n, unsigned max_connections)
{
	struct groups *g = g_new0(struct groups, 1);
	unsigned i;

	g->loop = loop;
	g->audit = audit;
	g->rng = rng;
	g->n = n;
	g->n_most = n * GROUP_FIRST;
	g->max_connections = max_connections;
	g->commits = g_array_new(FALSE, TRUE, sizeof(struct group_commit));
	g_array_set_size(g->commits, 1);
	for (i = 0; i < n; i++)
		g->top_term[i] = 1;
	for (i = 0; i < n * GROUP_SIZE; i++)
		create_server(g, i);
	uv_timer_init(loop, &g->stream);
	g->stream.data = g;
	uv_timer_start(&g->stream, on_stream, STREAM_MS, STREAM_MS);
	return g;
}
