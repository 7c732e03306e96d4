/*
 * Which services this proxy is a home of, and which proxies the other homes
 * are.
 *
 * All proxies share the connections that a server accepts. If there are too
 * many proxies for each to have some, only a few of them, the homes of the
 * service, connect to its servers; the others connect to homes and run their
 * sessions' statements there. A home treats these connections as sessions of
 * its own, so every decision about servers is made there; the session's values,
 * prepared statements and floor (the position that its reads must see) are sent
 * along with each use. See via.c.
 */
#define LOG_MODULE "role"
#include "homes.h"

/*
 * Tenths of a connection that each proxy must have at a server for all proxies
 * to connect to it.
 */
#define DIRECT_CONN_TENTHS 25
#define CONNS_PER_HOME 5 /* connections that a home should have at a server */
/* Fewest and most homes where not all proxies connect to the servers. */
#define LIMITED_HOMES_MIN 4
/* Each home probes each server, and learns of other homes' load only so. */
#define LIMITED_HOMES_MAX 16
#define HOMES_MAX 64 /* most homes of any service */
/* Services that each proxy should be a home of where services share a fleet. */
#define HOMES_PER_PROXY 2
/*
 * Spares: the proxies that rank next to the homes, and stand in for these where
 * no home can be reached. If a partition cuts off a third of the proxies, all
 * four homes of one service in 81 are among that third; with four spares, all
 * eight of one service in 6,561.
 */
#define SPARES 4
/*
 * The same where homes are pooled. If two thirds of the proxies are cut off
 * from a primary, all three homes and eight spares of a service in 86 are.
 */
#define POOLED_SPARES 8
/* A spare stops being a home if nobody has asked it for this long. */
#define SPARE_ACTIVE_US (10 * USEC_PER_SEC)

/* The number of proxies, this one included. */
unsigned role_proxy_count(const struct relay *r)
{
	return g_hash_table_size(r->peers) + 1;
}

/*
 * How many of n proxies a service may have as homes if all services get equally
 * many. A fleet is sized for the load of all services. With as many services as
 * proxies, homes counted by the servers' connections alone would keep
 * connections that hardly a statement uses, and that are probed all the same.
 */
static unsigned fleet_share(const struct rservice *v, unsigned n)
{
	const struct relay_catalog *c = v->relay->catalog;
	unsigned n_services = c ? relay_catalog_services(c) : 0;

	return n * HOMES_PER_PROXY / MAX(n_services, 1);
}

/* Whether each of n proxies can have enough connections to each server. */
static bool may_connect_directly(const struct rservice *v, unsigned n)
{
	unsigned limit = v->max_connections;

	return !limit || n * DIRECT_CONN_TENTHS <= limit * 10;
}

/* How many of n proxies are homes where not all are, unless they are pooled. */
static unsigned limited_homes(const struct rservice *v, unsigned n)
{
	unsigned max_homes = MIN(LIMITED_HOMES_MAX, fleet_share(v, n));

	return MAX(MIN(v->max_connections / CONNS_PER_HOME, max_homes),
		   LIMITED_HOMES_MIN);
}

/* How many of n proxies are homes of the service. */
static unsigned homes_wanted(const struct rservice *v, unsigned n)
{
	if (may_connect_directly(v, n))
		return MIN(n, HOMES_MAX);
	return MIN(v->pooled ? SPLACE_POOLED_HOMES : limited_homes(v, n), n);
}

/* Pools the service's homes, or stops that; its ranks change with it. */
static void update_pooling(struct rservice *v)
{
	unsigned n = role_proxy_count(v->relay);
	bool pooled =
		!may_connect_directly(v, n) &&
		rplace_is_pooled(v, limited_homes(v, n), LIMITED_HOMES_MIN);

	if (pooled == v->pooled)
		return;
	v->pooled = pooled;
	rank_init(v);
	rplace_log(v);
}

static void log_home(const struct rservice *v)
{
	struct log_line *l = log_event(LOG_STATE, "home");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_bool(l, "home", v->is_home);
	log_u64(l, "proxies", role_proxy_count(v->relay));
	log_u64(l, "limit", v->max_connections);
	log_event_end(l);
}

/*
 * The search for the service's primary starts now, so it does not count as
 * missing yet.
 */
static void become_home(struct rservice *v)
{
	v->is_home = true;
	v->no_primary_us = v->relay->ticked_us;
	v->primary_usable_at_us = 0;
	log_home(v);
}

/* Whether this proxy, as a spare, stands in for unreachable homes. */
static bool is_spare_in_use(const struct rservice *v)
{
	return v->asked_as_spare_at_us &&
	       v->relay->ticked_us < v->asked_as_spare_at_us + SPARE_ACTIVE_US;
}

static void stop_being_home(struct rservice *v)
{
	v->is_home = false;
	if (v->servers->len)
		log_home(v);
}

/* Becomes a home of the service, or stops being one. True: one of these. */
static bool update_role(struct rservice *v)
{
	unsigned wanted;
	bool is_home;

	update_pooling(v);
	wanted = homes_wanted(v, role_proxy_count(v->relay));
	is_home = (v->rank.n_ranked_before < wanted && v->relay->knows_fleet) ||
		  is_spare_in_use(v);

	if (is_home == v->is_home)
		return false;
	if (is_home)
		become_home(v);
	else
		stop_being_home(v);
	return true;
}

/*
 * Lists the services whose servers the tick has to run. In a large fleet they
 * are few; the others cost nothing until a list or configuration changes.
 */
void role_update_served(struct relay *r)
{
	GHashTableIter iter;
	gpointer value;

	r->active_stale = true;
	g_ptr_array_set_size(r->served, 0);
	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *v = value;

		if ((v->is_home && v->configured) || rfailover_is_running(v))
			g_ptr_array_add(r->served, v);
	}
}

/*
 * Adapts all roles to the current lists and connection limits. True: a role
 * has changed.
 */
bool role_update_all(struct relay *r)
{
	GHashTableIter iter;
	gpointer value;
	bool changed = false;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		changed |= update_role(value);
	return changed;
}

/* Copies the names without `self`. True: they differ from those before. */
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

/* Updates the names of the service's homes and spares. */
static void list_homes(struct rservice *v)
{
	const char *names[HOMES_MAX];
	unsigned n_homes = homes_wanted(v, role_proxy_count(v->relay));
	unsigned n_spares = v->pooled ? POOLED_SPARES : SPARES;
	unsigned n = rank_best(v, names, MIN(n_homes + n_spares, HOMES_MAX));

	if (copy_names(v->homes, names, n_homes, v->relay->name))
		v->homes_version++;
	copy_names(v->spares, names + n_homes, n - n_homes, v->relay->name);
	v->homes_peers_version = v->relay->n_peer_changes;
}

/* The names of the other homes. */
GPtrArray *role_homes(struct rservice *v)
{
	if (v->homes_peers_version != v->relay->n_peer_changes)
		list_homes(v);
	return v->homes;
}

/* Whether this proxy is a home by its rank, and not as a spare. */
bool role_is_ranked_home(const struct rservice *v)
{
	return v->is_home &&
	       v->rank.n_ranked_before <
		       homes_wanted(v, role_proxy_count(v->relay));
}

/* The names of the spares; see via.c. */
GPtrArray *role_spares(struct rservice *v)
{
	role_homes(v);
	return v->spares;
}

/* A service is new. */
void role_on_new_service(struct rservice *v)
{
	rank_init(v);
	update_role(v);
}

/*
 * Another proxy asks this one to serve the service. If it isn't a home, it is a
 * spare, asked by a proxy that reaches no home, and becomes a home for a while.
 */
void role_on_asked(struct rservice *v, uint64_t now_us)
{
	if (v->is_home && !v->asked_as_spare_at_us)
		return;
	v->asked_as_spare_at_us = now_us;
	if (v->is_home)
		return;
	become_home(v);
	role_update_served(v->relay);
}

/* Spares that are not asked any more stop being homes. */
void role_end_spares(struct relay *r, uint64_t now_us)
{
	bool ended = false;
	unsigned i;

	for (i = 0; i < r->served->len; i++) {
		struct rservice *v = g_ptr_array_index(r->served, i);

		if (!v->asked_as_spare_at_us ||
		    now_us < v->asked_as_spare_at_us + SPARE_ACTIVE_US ||
		    rfailover_is_running(v))
			continue;
		v->asked_as_spare_at_us = 0;
		ended |= update_role(v);
	}
	if (ended)
		role_update_served(r);
}
