#include "plan.h"

#include <signal.h>

#define FIRST_US (500 * MS)

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
	RELEASE,
	STORE_FAULT,
	STORE_FINE,
	FORGET,
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
	[RELEASE] = "release",
	[STORE_FAULT] = "store fault",
	[STORE_FINE] = "store fine",
	[FORGET] = "store forgets",
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
	unsigned n_servers;
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
	unsigned server = draw(p, 0, p->n_servers);
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

static gint by_time(gconstpointer a, gconstpointer b)
{
	const struct event *x = a, *y = b;

	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

/* Faults until length_us, on average one in gap_ms; some overlap. */
struct plan *plan_create(uint32_t seed, unsigned n_proxies, unsigned n_servers,
			 uint64_t length_us, unsigned gap_ms)
{
	struct plan *p = g_new0(struct plan, 1);
	uint64_t at_us = FIRST_US;

	p->rng = g_rand_new_with_seed(seed);
	p->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	p->n_proxies = n_proxies;
	p->n_servers = n_servers;
	while (at_us < length_us) {
		add_fault(p, at_us);
		at_us += draw(p, 1, 2 * gap_ms) * MS;
	}
	g_array_sort(p->events, by_time);
	return p;
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
		group_crash(s);
		break;
	case DARK:
		s->dark = !s->down;
		break;
	case RESTART:
		group_restart(s);
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
	default:
		group_release(s);
		break;
	}
}

static void run_proxy(const struct event *e)
{
	static const int signals[] = {
		[KILL] = SIGKILL, [TERM] = SIGTERM,	[TERM_AGAIN] = SIGTERM,
		[STOP] = SIGSTOP, [CONTINUE] = SIGCONT, [HUP] = SIGHUP,
	};
	struct fleet *f = e->plan->fleet;
	unsigned i;

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
