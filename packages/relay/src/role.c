/*
 * Which services this proxy is a home of, and who the other homes are.
 *
 * A server's connections are for all proxies together. Where there are too many
 * proxies for each to have some, only a few of them, the service's homes,
 * connect to its servers; the others lend their sessions connections to homes.
 * A home treats these as sessions of its own, so every decision about servers
 * is made there; the session's values, prepared statements and floor come along
 * with each use: via.c.
 */
#define LOG_MODULE "role"
#include "relay_internal.h"

/* Tenths of a connection at a server, for a proxy that serves by itself. */
#define DIRECT_TENTHS 25
#define HOME_CONNS 5 /* at a server, for a home */
#define HOMES_LEAST 4
/* Each home probes each server, and knows of the others' load only by that. */
#define HOMES_MOST 16
#define HOMES_MAX 64
/* Homes that each proxy is for others, where services share a fleet. */
#define HOMES_A_PROXY 2
/*
 * Proxies next in rank to the homes, for those that reach none. Of a split
 * that leaves a third of the proxies on one side, four more leave one service
 * in 6,561 without any on that side; four homes alone, one in 81.
 */
#define SPARES 4
/* A spare that nobody has asked for so long is none any more. */
#define SPARE_US (10 * USEC_PER_SEC)

/* This one included. */
unsigned rrl_proxies(const struct relay *r)
{
	return g_hash_table_size(r->peers) + 1;
}

/*
 * A service's share of the fleet. A fleet is sized for what all services have
 * to do; where they are as many as the proxies, homes by the servers'
 * connections alone would keep a connection to each of these for hardly a
 * statement, and probe it all the same.
 */
static unsigned fleet_share(const struct rservice *v, unsigned n)
{
	const struct relay_catalog *c = v->relay->catalog;
	unsigned n_services = c ? relay_catalog_services(c) : 0;

	return n * HOMES_A_PROXY / MAX(n_services, 1);
}

/* How many of n proxies are homes of the service. */
static unsigned homes_wanted(const struct rservice *v, unsigned n)
{
	unsigned limit = v->max_connections;
	unsigned most = MIN(HOMES_MOST, fleet_share(v, n));

	if (!limit || n * DIRECT_TENTHS <= limit * 10)
		return MIN(n, HOMES_MAX);
	return MIN(MAX(MIN(limit / HOME_CONNS, most), HOMES_LEAST), n);
}

static void log_home(const struct rservice *v)
{
	struct log_line *l = log_event(LOG_STATE, "home");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_bool(l, "home", v->is_home);
	log_u64(l, "proxies", rrl_proxies(v->relay));
	log_u64(l, "limit", v->max_connections);
	log_event_end(l);
}

/* Nobody was looked for before; it can't be missing yet. */
static void become_home(struct rservice *v)
{
	v->is_home = true;
	v->no_primary_us = v->relay->ticked_us;
	v->usable_us = 0;
	log_home(v);
}

/* Whether this proxy stands in for homes that others don't reach. */
static bool is_spare_in_use(const struct rservice *v)
{
	return v->spare_us && v->relay->ticked_us < v->spare_us + SPARE_US;
}

static void end_home(struct rservice *v)
{
	v->is_home = false;
	if (v->servers->len)
		log_home(v);
}

/* Becomes a home of the service, or ends being one; whether it did. */
static bool update_role(struct rservice *v)
{
	unsigned wanted = homes_wanted(v, rrl_proxies(v->relay));
	bool is_home = (v->rank.n_before < wanted && v->relay->knows_fleet) ||
		       is_spare_in_use(v);

	if (is_home == v->is_home)
		return false;
	if (is_home)
		become_home(v);
	else
		end_home(v);
	return true;
}

/*
 * Lists the services whose servers must be looked after here: the rest of a
 * large fleet's costs nothing between two changes.
 */
void rrl_list_served(struct relay *r)
{
	GHashTableIter iter;
	gpointer value;

	r->active_stale = true;
	g_ptr_array_set_size(r->served, 0);
	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *v = value;

		if ((v->is_home && v->configured) || rch_is_running(v))
			g_ptr_array_add(r->served, v);
	}
}

/* Takes over what lists and limits say now; whether a role was changed. */
bool rrl_update(struct relay *r)
{
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		changed |= update_role(value);
	return changed;
}

/* Copies the names of others; whether they differ from those before. */
static bool copy_names(GPtrArray *to, const char *const *names, unsigned n,
		       const char *self)
{
	unsigned i, n_others = 0;
	bool differs = false;

	for (i = 0; i < n; i++) {
		if (!strcmp(names[i], self))
			continue;
		if (n_others == to->len)
			g_ptr_array_add(to, NULL);
		if (g_strcmp0(to->pdata[n_others], names[i])) {
			g_free(to->pdata[n_others]);
			to->pdata[n_others] = g_strdup(names[i]);
			differs = true;
		}
		n_others++;
	}
	differs |= n_others < to->len;
	g_ptr_array_set_size(to, (gint)n_others);
	return differs;
}

/* Brings the names of the service's homes and spares up to date. */
static void list_homes(struct rservice *v)
{
	const char *names[HOMES_MAX];
	unsigned n_homes = homes_wanted(v, rrl_proxies(v->relay));
	unsigned n = rrk_first(v, names, MIN(n_homes + SPARES, HOMES_MAX));

	if (copy_names(v->homes, names, n_homes, v->relay->name))
		v->homes_changed++;
	copy_names(v->spares, names + n_homes, n - n_homes, v->relay->name);
	v->homes_of = v->relay->peers_changed;
}

/* The names of the other homes. */
GPtrArray *rrl_homes(struct rservice *v)
{
	if (v->homes_of != v->relay->peers_changed)
		list_homes(v);
	return v->homes;
}

/* The names of those next in rank; see via.c. */
GPtrArray *rrl_spares(struct rservice *v)
{
	rrl_homes(v);
	return v->spares;
}

/* A service that nobody knew before. */
void rrl_on_service(struct rservice *v)
{
	rrk_init(v);
	update_role(v);
}

/*
 * Another proxy wants the service served here. One that isn't a home becomes
 * one for a while: it is a spare, asked by proxies that reach no home.
 */
void rrl_on_asked(struct rservice *v, uint64_t now_us)
{
	if (v->is_home && !v->spare_us)
		return;
	v->spare_us = now_us;
	if (v->is_home)
		return;
	become_home(v);
	rrl_list_served(v->relay);
}

/* Spares that are not asked any more end being homes. */
void rrl_end_spares(struct relay *r, uint64_t now_us)
{
	bool ended = false;
	unsigned i;

	for (i = 0; i < r->served->len; i++) {
		struct rservice *v = g_ptr_array_index(r->served, i);

		if (!v->spare_us || now_us < v->spare_us + SPARE_US ||
		    rch_is_running(v))
			continue;
		v->spare_us = 0;
		ended |= update_role(v);
	}
	if (ended)
		rrl_list_served(r);
}
