#include "plan.h"

#include "member.h"
#include "operator.h"

#include <signal.h>

#define FIRST_US (500 * MS)
#define CHANGES_SEED 0x6d656d62 /* they draw beside the other faults */
#define RETURNS_SEED 0x72657475 /* they draw beside all others, too */
#define UNEVEN_SEED 0x756e6576 /* and so do these */
#define FLAPS_MOST 4 /* they end within PLAN_TAIL_US */
#define CHANGES_FIRST_US (1500 * MS)
#define CHANGES_LEAST_MS 2000 /* from one to the next */
#define CHANGES_MOST_MS 5000
#define CHANGE_US (3 * SEC)
#define CRASH_FENCE_MS 250
#define DARK_FENCE_MS 900
#define CALMER 4 /* times as rare are other faults in half of the seeds */
#define CROWDED 4 /* a group of more servers has one leave */

enum action {
	KILL,
	TERM,
	TERM_AGAIN,
	STOP,
	CONTINUE,
	HUP,
	KILL_ALL,
	CRASH,
	DARK,
	RESTART,
	LAG,
	CATCH_UP,
	SHED,
	SHED_NO_MORE,
	MUTE,
	MUTE_NO_MORE,
	SLOW,
	SLOW_NO_MORE,
	RELEASE,
	LEAD_CRASH,
	LEAD_DARK,
	LEAD_RELEASE,
	LEAD_LEAVE,
	LEAD_LAPSE,
	REPLICA_CRASH,
	REPLICA_LAPSE,
	REPLICA_LEAVE,
	JOIN,
	JOIN_SAME, /* where one has crashed, which is given up */
	BACK, /* who crashed last, under its id */
	RETURN_SAME, /* and under another, at its address or another one */
	RETURN_OTHER,
	THIN_OUT,
	PROMOTE_LATE, /* from now on */
	STORE_FAULT,
	STORE_FINE,
	FORGET,
	COPY,
	RETURN,
	CONFIGURE,
	RESET_ROUTE,
	DELAY_ROUTE,
	SILENCE_ROUTE,
	SILENCE_OPEN, /* what is open falls silent for good; new ones work */
	ONE_WAY,
	HEAL_ROUTE,
	ACTIONS,
};

static const char *const action_names[ACTIONS] = {
	[KILL] = "kill",
	[TERM] = "stop",
	[TERM_AGAIN] = "stop again",
	[STOP] = "pause",
	[CONTINUE] = "continue",
	[HUP] = "reload",
	[KILL_ALL] = "kill all from",
	[CRASH] = "crash",
	[DARK] = "darken",
	[RESTART] = "restart",
	[LAG] = "lag",
	[CATCH_UP] = "catch up",
	[SHED] = "shed",
	[SHED_NO_MORE] = "shed no more",
	[MUTE] = "mute",
	[MUTE_NO_MORE] = "mute no more",
	[SLOW] = "slow",
	[SLOW_NO_MORE] = "slow no more",
	[RELEASE] = "release",
	[LEAD_CRASH] = "crash the primary",
	[LEAD_DARK] = "darken the primary",
	[LEAD_RELEASE] = "release the primary",
	[LEAD_LEAVE] = "the primary leaves",
	[LEAD_LAPSE] = "the primary's entry lapses",
	[REPLICA_CRASH] = "crash a replica",
	[REPLICA_LAPSE] = "a replica's entry lapses",
	[REPLICA_LEAVE] = "a replica leaves",
	[JOIN] = "join",
	[JOIN_SAME] = "join where one crashed",
	[BACK] = "back",
	[RETURN_SAME] = "back under another id",
	[RETURN_OTHER] = "back under another id and address",
	[THIN_OUT] = "thin out",
	[PROMOTE_LATE] = "late promotions",
	[STORE_FAULT] = "store fault",
	[STORE_FINE] = "store fine",
	[FORGET] = "store forgets",
	[COPY] = "store is copied",
	[RETURN] = "store comes back from the copy",
	[CONFIGURE] = "operators write",
	[RESET_ROUTE] = "reset route",
	[DELAY_ROUTE] = "delay route",
	[SILENCE_ROUTE] = "silence route",
	[SILENCE_OPEN] = "silence what is open of route",
	[ONE_WAY] = "cut one way of route",
	[HEAL_ROUTE] = "heal route",
};

enum route_kind { ROUTE_SERVER, ROUTE_STORE, ROUTE_FRONT, ROUTES };

struct event {
	struct plan *plan;
	uint64_t at_us;
	enum action action;
	unsigned index; /* of the proxy, server, route */
	unsigned amount; /* ms of lag or delay, the store's fault, the kind */
	enum route_kind route;
};

struct plan {
	GRand *rng;
	GArray *events;
	unsigned n_proxies;
	unsigned n_servers; /* at the start */
	struct fleet *fleet;
	struct groups *groups;
	struct store *store;
	struct callers *callers;
};

static unsigned draw(struct plan *p, unsigned from, unsigned below)
{
	return (unsigned)g_rand_int_range(p->rng, (gint32)from, (gint32)below);
}

static void add(struct plan *p, uint64_t at_us, enum action action,
		unsigned index, unsigned amount)
{
	struct event e = { .plan = p,
			   .at_us = at_us,
			   .action = action,
			   .index = index,
			   .amount = amount };

	g_array_append_val(p->events, e);
}

/* Where a server that is there at the start has its place. */
static unsigned place_of(unsigned server)
{
	return server / GROUP_FIRST * GROUP_SIZE + server % GROUP_FIRST;
}

static void add_route(struct plan *p, uint64_t at_us, uint64_t end_us)
{
	static const enum action kinds[] = { RESET_ROUTE, DELAY_ROUTE,
					     SILENCE_ROUTE, SILENCE_OPEN,
					     ONE_WAY };
	struct event e = { .plan = p, .at_us = at_us };

	e.action = kinds[draw(p, 0, G_N_ELEMENTS(kinds))];
	e.route = (enum route_kind)draw(p, 0, ROUTES);
	e.index = draw(p, 0,
		       e.route == ROUTE_SERVER ? p->n_servers : p->n_proxies);
	if (e.route == ROUTE_SERVER)
		e.index = place_of(e.index);
	e.amount = draw(p, 20, 250);
	g_array_append_val(p->events, e);
	e.action = HEAL_ROUTE;
	e.at_us = end_us;
	g_array_append_val(p->events, e);
}

/* One fault, and its end where it has one. */
static void add_fault(struct plan *p, uint64_t at_us)
{
	unsigned proxy = draw(p, 0, p->n_proxies);
	unsigned server = place_of(draw(p, 0, p->n_servers));
	uint64_t end_us = at_us + draw(p, 300, 3500) * MS;
	unsigned what = draw(p, 0, 100);

	if (what < 10) {
		add(p, at_us, KILL, proxy, 0);
	} else if (what < 22) {
		add(p, at_us, TERM, proxy, 0);
		if (draw(p, 0, 3) == 0)
			add(p, at_us + 400 * MS, TERM_AGAIN, proxy, 0);
	} else if (what < 32) {
		add(p, at_us, STOP, proxy, 0);
		add(p, end_us, CONTINUE, proxy, 0);
	} else if (what < 35) {
		add(p, at_us, HUP, proxy, 0);
	} else if (what < 37) {
		add(p, at_us, KILL_ALL, 0, 0);
	} else if (what < 48) {
		add(p, at_us, CRASH, server, 0);
		add(p, end_us + 2 * SEC, RESTART, server, 0);
	} else if (what < 55) {
		add(p, at_us, DARK, server, 0);
		add(p, end_us + SEC, RESTART, server, 0);
	} else if (what < 63) {
		add(p, at_us, LAG, server, draw(p, 50, 3000));
		add(p, end_us, CATCH_UP, server, 0);
	} else if (what < 67) {
		add(p, at_us, SHED, server, draw(p, 10, 60));
		add(p, end_us, SHED_NO_MORE, server, 0);
	} else if (what < 71) {
		add(p, at_us, MUTE, server, draw(p, 2, 20));
		add(p, end_us, MUTE_NO_MORE, server, 0);
	} else if (what < 76) {
		add(p, at_us, RELEASE, server, 0);
	} else if (what < 86) {
		add(p, at_us, STORE_FAULT, 0,
		    draw(p, STORE_REFUSES, STORE_LOSES + 1));
		add(p, end_us, STORE_FINE, 0, 0);
	} else if (what < 88) {
		add(p, at_us, FORGET, 0, 0);
	} else {
		add_route(p, at_us, end_us);
	}
}

/* How the primary goes; about when the replicas are paused for it. */
static unsigned add_lead_fault(struct plan *p, uint64_t at_us, unsigned group)
{
	unsigned what = draw(p, 0, 10);

	if (what < 7) {
		add(p, at_us, LEAD_CRASH, group, 0);
		return CRASH_FENCE_MS;
	}
	if (what < 8) {
		add(p, at_us, LEAD_DARK, group, 0);
		return DARK_FENCE_MS;
	}
	add(p, at_us, what == 8 ? LEAD_RELEASE : LEAD_LEAVE, group, 0);
	return 0;
}

static void add_return(struct plan *p, uint64_t at_us, unsigned group)
{
	static const enum action kinds[] = { RETURN_SAME,  RETURN_SAME,
					     RETURN_OTHER, RETURN_OTHER,
					     BACK,	   JOIN_SAME };

	add(p, at_us, kinds[draw(p, 0, G_N_ELEMENTS(kinds))], group, 0);
}

/* Some proxies' lists trail. */
static void add_deaf_proxy(struct plan *p, uint64_t at_us)
{
	struct event e = { .plan = p,
			   .at_us = at_us,
			   .action = SILENCE_ROUTE,
			   .route = ROUTE_STORE };

	e.index = draw(p, 0, p->n_proxies);
	g_array_append_val(p->events, e);
	e.action = HEAL_ROUTE;
	e.at_us += draw(p, 300, 6000) * MS;
	g_array_append_val(p->events, e);
}

/* One of what happens to other servers near a change of primary. */
static void add_beside(struct plan *p, uint64_t at_us, unsigned group)
{
	unsigned what = draw(p, 0, 100), pick = draw(p, 0, GROUP_SIZE);

	if (what < 55) {
		add(p, at_us, JOIN, group, 0);
	} else if (what < 65) {
		add(p, at_us, REPLICA_CRASH, group, pick);
		add_return(p, at_us + draw(p, 200, 1500) * MS, group);
	} else if (what < 73) {
		add(p, at_us, REPLICA_LAPSE, group, draw(p, 200, 2000));
	} else if (what < 79) {
		add(p, at_us, LEAD_LAPSE, group, draw(p, 200, 2000));
	} else if (what < 86) {
		add(p, at_us, REPLICA_LEAVE, group, pick);
	} else if (what < 96) {
		add_deaf_proxy(p, at_us);
	} else {
		add(p, at_us, FORGET, 0, 0);
	}
}

/*
 * A primary goes, and within about a second servers of its group come, go and
 * come back: any time, and more often between the replicas' pauses and the
 * promotion, which takes effect late. Some changes meet another group's.
 */
static void add_change(struct plan *p, uint64_t at_us)
{
	unsigned group = draw(p, 0, p->n_servers / GROUP_FIRST);
	unsigned late_ms = draw(p, 0, 5) ? draw(p, 200, 600) :
					   draw(p, 1000, 2500);
	unsigned n = draw(p, 2, 5), i;
	uint64_t fence_us = at_us + add_lead_fault(p, at_us, group) * MS;
	uint64_t back_us = fence_us + draw(p, 350, 1250) * MS;

	add(p, at_us, PROMOTE_LATE, group, late_ms);
	for (i = 0; i < n; i++)
		add_beside(p,
			   i % 2 ? at_us + draw(p, 0, 2000) * MS - 700 * MS :
				   fence_us + draw(p, 0, 500) * MS,
			   group);
	add_return(p, back_us, group);
	if (draw(p, 0, 2))
		add_deaf_proxy(p, back_us + draw(p, 100, 500) * MS);
	add(p, at_us + CHANGE_US, THIN_OUT, group, 0);
}

/* In series, and now and then two groups at a time. */
static void add_changes(struct plan *p, uint64_t length_us)
{
	uint64_t at_us = CHANGES_FIRST_US;

	while (at_us + CHANGE_US < length_us) {
		add_change(p, at_us);
		at_us += draw(p, CHANGES_LEAST_MS, CHANGES_MOST_MS) * MS;
	}
}

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct event *x = a, *y = b;

	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/*
 * Faults until length_us, on average one in gap_ms; some overlap. The servers
 * come and go besides, unless they are to stay, and then half of the seeds have
 * fewer other faults, which hide what the changes alone do.
 */
struct plan *plan_create(uint32_t seed, unsigned n_proxies, unsigned n_servers,
			 uint64_t length_us, unsigned gap_ms, bool stay)
{
	struct plan *p = g_new0(struct plan, 1);
	uint64_t at_us = FIRST_US;

	p->rng = g_rand_new_with_seed(seed ^ CHANGES_SEED);
	p->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	p->n_proxies = n_proxies;
	p->n_servers = n_servers;
	if (!stay) {
		gap_ms *= draw(p, 0, 2) ? CALMER : 1;
		add_changes(p, length_us);
	}
	g_rand_set_seed(p->rng, seed);
	while (at_us < length_us) {
		add_fault(p, at_us);
		at_us += draw(p, 1, 2 * gap_ms) * MS;
	}
	g_array_sort(p->events, by_time);
	return p;
}

/*
 * The store is copied, is away for a moment, and comes back from the copy;
 * operators write before, meanwhile and after. A proxy may start just then.
 */
static void add_store_return(struct plan *p, uint64_t at_us)
{
	unsigned proxy = draw(p, 0, p->n_proxies);
	uint64_t away_us = at_us + draw(p, 500, 4000) * MS;
	uint64_t back_us = away_us + draw(p, 50, 1500) * MS;

	add(p, at_us, COPY, 0, 0);
	add(p, at_us + draw(p, 0, 4000) * MS, CONFIGURE, 0, 0);
	if (draw(p, 0, 4))
		add(p, away_us, STORE_FAULT, 0,
		    draw(p, STORE_REFUSES, STORE_LOSES + 1));
	add(p, back_us, RETURN, 0, draw(p, 0, 2000));
	add(p, back_us, STORE_FINE, 0, 0);
	add(p, back_us + draw(p, 0, 3000) * MS, CONFIGURE, 0, 0);
	if (!draw(p, 0, 3))
		add(p, back_us + draw(p, 0, 1000) * MS, KILL, proxy, 0);
}

void plan_add_returns(struct plan *p, uint32_t seed, uint64_t length_us)
{
	uint64_t at_us = FIRST_US;

	g_rand_set_seed(p->rng, seed ^ RETURNS_SEED);
	while (at_us < length_us) {
		add_store_return(p, at_us);
		at_us += draw(p, 3000, 8000) * MS;
	}
	g_array_sort(p->events, by_time);
}

/* It refuses most statements, or is away, again and again. */
static void add_flaps(struct plan *p, uint64_t at_us, unsigned server)
{
	bool crashes = draw(p, 0, 2);
	unsigned i, n = draw(p, 2, FLAPS_MOST + 1);

	for (i = 0; i < n; i++) {
		uint64_t end_us = at_us + draw(p, 100, 600) * MS;

		add(p, at_us, crashes ? CRASH : SHED, server,
		    crashes ? 0 : draw(p, 60, 101));
		add(p, end_us, crashes ? RESTART : SHED_NO_MORE, server, 0);
		at_us = end_us + draw(p, 100, 600) * MS;
	}
}

/* All bytes between a proxy and its callers and the store are late. */
static void add_narrow_link(struct plan *p, uint64_t at_us, uint64_t end_us)
{
	struct event e = { .plan = p, .at_us = at_us, .action = DELAY_ROUTE };

	e.index = draw(p, 0, p->n_proxies);
	e.amount = draw(p, 20, 120);
	e.route = ROUTE_FRONT;
	g_array_append_val(p->events, e);
	e.route = ROUTE_STORE;
	g_array_append_val(p->events, e);
	e.action = HEAL_ROUTE;
	e.at_us = end_us;
	g_array_append_val(p->events, e);
	e.route = ROUTE_FRONT;
	g_array_append_val(p->events, e);
}

void plan_add_uneven(struct plan *p, uint32_t seed, uint64_t length_us)
{
	uint64_t at_us = FIRST_US;

	g_rand_set_seed(p->rng, seed ^ UNEVEN_SEED);
	while (at_us < length_us) {
		unsigned server = place_of(draw(p, 0, p->n_servers));
		unsigned what = draw(p, 0, 3);
		uint64_t end_us = at_us + draw(p, 1000, 4000) * MS;

		if (what == 0) {
			add(p, at_us, SLOW, server, draw(p, 12, 80));
			add(p, end_us, SLOW_NO_MORE, server, 0);
		} else if (what == 1) {
			add_flaps(p, at_us, server);
		} else {
			add_narrow_link(p, at_us, end_us);
		}
		at_us += draw(p, 1000, 4000) * MS;
	}
	g_array_sort(p->events, by_time);
}

static const char *route_name(enum route_kind kind)
{
	static const char *const names[] = { "server", "store", "front" };

	return names[kind];
}

static void describe(const struct event *e, GString *out)
{
	g_string_append_printf(out, "%.3f s: %s ", (double)e->at_us / SEC,
			       action_names[e->action]);
	if (e->action >= RESET_ROUTE)
		g_string_append_printf(out, "%s-%u", route_name(e->route),
				       e->index);
	else if (e->action >= STORE_FAULT)
		g_string_append_printf(out, "%u", e->amount);
	else if (e->action >= LEAD_CRASH)
		g_string_append_printf(out, "group%u %u", e->index, e->amount);
	else
		g_string_append_printf(out, "%s-%u %u",
				       e->action >= CRASH ? "server" : "proxy",
				       e->index, e->amount);
}

/* Free it. */
char *plan_text(const struct plan *p)
{
	GString *out = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < p->events->len; i++) {
		describe(&g_array_index(p->events, struct event, i), out);
		g_string_append_c(out, '\n');
	}
	return g_string_free(out, FALSE);
}

static void fault_route(const struct event *e, const char *path,
			const char *more)
{
	fleet_fault(e->plan->fleet, path, "{\"route\":\"%s-%u\"%s}",
		    route_name(e->route), e->index, more);
}

static void run_route(const struct event *e)
{
	char *delay;

	switch (e->action) {
	case RESET_ROUTE:
		fault_route(e, "/cut", "");
		break;
	case DELAY_ROUTE:
		delay = g_strdup_printf(",\"ms\":%u,\"jitter_ms\":%u",
					e->amount, e->amount / 2);
		fault_route(e, "/delay", delay);
		g_free(delay);
		break;
	case SILENCE_ROUTE:
		fault_route(e, "/blackhole", "");
		break;
	case SILENCE_OPEN:
		fault_route(e, "/blackhole", ",\"new\":false");
		break;
	case ONE_WAY:
		fault_route(e, "/blackhole", ",\"direction\":\"down\"");
		break;
	default:
		fault_route(e, "/heal", ",\"reset_silent\":true");
		break;
	}
	if (e->route != ROUTE_SERVER)
		e->plan->fleet->proxies[e->index].disturbed_us = later_now_us();
}

static void run_server(const struct event *e)
{
	struct server *s = &e->plan->groups->servers[e->index];

	switch (e->action) {
	case CRASH:
		member_crash(s);
		break;
	case DARK:
		s->dark = !s->down;
		break;
	case RESTART:
		member_restart(s);
		break;
	case LAG:
		s->lag_us = e->amount * MS;
		break;
	case CATCH_UP:
		s->lag_us = 8 * MS;
		break;
	case SHED:
		s->sheds = e->amount / 100.0;
		break;
	case SHED_NO_MORE:
		s->sheds = 0;
		break;
	case MUTE:
		s->mutes = e->amount / 100.0;
		break;
	case MUTE_NO_MORE:
		s->mutes = 0;
		break;
	case SLOW:
		s->work_us = e->amount * MS;
		break;
	case SLOW_NO_MORE:
		s->work_us = WORK_US;
		break;
	default:
		member_release(s);
		break;
	}
}

/* One of a crowd leaves, so that others can join later. */
static void thin_out(struct groups *g, unsigned group)
{
	struct server *s = member_replica(g, group, 0);
	unsigned i, n = 0;

	for (i = 0; i < GROUP_SIZE; i++)
		n += !g->servers[group * GROUP_SIZE + i].down;
	if (s && n > CROWDED)
		member_leave(s);
}

static void run_member(const struct event *e, struct server *s)
{
	if (e->action == LEAD_CRASH || e->action == REPLICA_CRASH)
		member_crash(s);
	else if (e->action == LEAD_LAPSE || e->action == REPLICA_LAPSE)
		member_lapse(s, e->amount * MS);
	else if (e->action == LEAD_DARK)
		s->dark = true;
	else if (e->action == LEAD_RELEASE)
		member_release(s);
	else
		member_leave(s);
}

/* Who is dark is seen again, whoever comes. */
static void run_return(const struct event *e)
{
	struct groups *g = e->plan->groups;
	struct server *crashed = member_crashed(g, e->index);
	struct server *place = member_free_place(g, e->index);
	unsigned i;

	for (i = 0; e->action != JOIN && i < GROUP_SIZE; i++)
		g->servers[e->index * GROUP_SIZE + i].dark = false;
	if (e->action == JOIN && place)
		member_join(place);
	else if (e->action == JOIN_SAME && crashed)
		member_join(crashed);
	else if (e->action == BACK && crashed)
		member_restart(crashed);
	else if (e->action == RETURN_SAME && crashed)
		member_return(crashed, crashed);
	else if (e->action == RETURN_OTHER && crashed && place)
		member_return(crashed, place);
}

/* Which server it befalls is known only now. */
static void run_change(const struct event *e)
{
	struct groups *g = e->plan->groups;
	struct server *lead = group_primary(g, e->index);
	struct server *replica = member_replica(g, e->index, e->amount);

	if (e->action == PROMOTE_LATE)
		g->late_us = e->amount * MS;
	else if (e->action == THIN_OUT)
		thin_out(g, e->index);
	else if (e->action >= JOIN)
		run_return(e);
	else if (e->action >= REPLICA_CRASH && replica)
		run_member(e, replica);
	else if (e->action <= LEAD_LAPSE && lead)
		run_member(e, lead);
}

static void run_proxy(const struct event *e)
{
	static const int signals[] = {
		[KILL] = SIGKILL, [TERM] = SIGTERM,	[TERM_AGAIN] = SIGTERM,
		[STOP] = SIGSTOP, [CONTINUE] = SIGCONT, [HUP] = SIGHUP,
	};
	struct fleet *f = e->plan->fleet;
	unsigned i;

	/* One that has ended meanwhile may be back, too young to be told. */
	if (e->action == TERM_AGAIN && !f->proxies[e->index].stopped_us)
		return;
	if (e->action != KILL_ALL)
		fleet_signal(&f->proxies[e->index], signals[e->action]);
	for (i = 0; e->action == KILL_ALL && i < f->n; i++)
		fleet_signal(&f->proxies[i], SIGKILL);
}

static void on_event(void *data)
{
	const struct event *e = data;
	struct plan *p = e->plan;

	if (e->action != TERM && e->action != TERM_AGAIN && e->action != HUP)
		callers_note_fault(p->callers);
	if (e->action >= RESET_ROUTE)
		run_route(e);
	else if (e->action == STORE_FAULT)
		store_set_fault(p->store, (enum store_fault)e->amount);
	else if (e->action == STORE_FINE)
		store_set_fault(p->store, STORE_GOOD);
	else if (e->action == FORGET)
		store_forget_history(p->store);
	else if (e->action == COPY)
		store_copy(p->store);
	else if (e->action == RETURN)
		store_restore(p->store, e->amount);
	else if (e->action == CONFIGURE)
		operator_put_config(p->store, p->groups);
	else if (e->action >= LEAD_CRASH)
		run_change(e);
	else if (e->action >= CRASH)
		run_server(e);
	else
		run_proxy(e);
}

void plan_start(struct plan *p, uv_loop_t *loop, struct fleet *fleet,
		struct groups *groups, struct store *store,
		struct callers *callers)
{
	unsigned i;

	p->fleet = fleet;
	p->groups = groups;
	p->store = store;
	p->callers = callers;
	for (i = 0; i < p->events->len; i++) {
		struct event *e = &g_array_index(p->events, struct event, i);

		later(loop, e->at_us, on_event, e);
	}
}
