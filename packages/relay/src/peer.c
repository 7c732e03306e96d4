/*
 * Other proxies. A server's connections are for all proxies together. Where
 * there are too many proxies for each to have some, only a few of them, the
 * service's homes, connect to its servers; the others lend their sessions
 * connections to homes. A home treats these as sessions of its own, so every
 * decision about servers is made there; the session's values, prepared
 * statements and floor come along with each use: via.c.
 */
#define LOG_MODULE "peer"
#include "relay_internal.h"

#include <celeryquay/base/log.h>
#include <celeryquay/core/homes.h>

/* Tenths of a connection at a server, for a proxy that serves by itself. */
#define DIRECT_TENTHS 25
#define HOME_CONNS 5 /* at a server, for a home */
#define HOMES_LEAST 4
/*
 * Each home probes each server, and knows of the others' load only by that:
 * with 34 homes before servers of 170 connections a day had 43,900 statements
 * of the proxies' own, with 16 homes 15,800.
 */
#define HOMES_MOST 16
#define HOMES_MAX 64
/*
 * Proxies next in rank to the homes, for those that reach none. Of a split
 * that leaves a third of the proxies on one side, four more leave one service
 * in 6,561 without any on that side; four homes alone, one in 81.
 */
#define SPARES 4
/* A spare that nobody has asked for so long is none any more. */
#define SPARE_US (10 * USEC_PER_SEC)
#define PEERS_HELD_US (8 * USEC_PER_SEC)

static bool is_self(const struct relay *r, const char *name)
{
	return !strcmp(r->name, name);
}

static unsigned homes_wanted(const struct rservice *v, unsigned n)
{
	unsigned limit = v->max_connections;

	if (!limit || n * DIRECT_TENTHS <= limit * 10)
		return n;
	return MIN(CLAMP(limit / HOME_CONNS, HOMES_LEAST, HOMES_MOST), n);
}

static unsigned rank(const struct rservice *v,
		     const struct home_candidate *candidates, unsigned n,
		     unsigned *order)
{
	struct database_conf conf = { .service = v->name, .name = v->name };
	unsigned wanted = MIN(homes_wanted(v, n) + SPARES, HOMES_MAX);

	return homes_rank(&conf, candidates, n, order, wanted);
}

static struct home_candidate *list_candidates(const struct relay *r,
					      unsigned *n)
{
	struct home_candidate *list =
		g_new0(struct home_candidate, r->peers->len + 1);
	unsigned i;

	*n = 0;
	list[(*n)++] = (struct home_candidate){ r->name, r->zone, "", false };
	for (i = 0; i < r->peers->len; i++) {
		const struct relay_server_info *p =
			g_ptr_array_index(r->peers, i);

		list[(*n)++] =
			(struct home_candidate){ p->id, p->zone, "", false };
	}
	return list;
}

static void log_home(const struct rservice *v, unsigned n_proxies)
{
	struct log_line *l = log_event(LOG_STATE, "home");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_bool(l, "home", v->is_home);
	log_u64(l, "proxies", n_proxies);
	log_u64(l, "limit", v->max_connections);
	log_event_end(l);
}

/* Nobody was looked for before; it can't be missing yet. */
static void become_home(struct rservice *v)
{
	v->is_home = true;
	v->no_primary_us = v->relay->ticked_us;
	v->usable_us = 0;
	log_home(v, v->relay->peers->len + 1);
}

/* Works out who the service's homes are. */
static void rank_service(struct rservice *v)
{
	unsigned order[HOMES_MAX];
	unsigned i, n, n_ranked, n_homes;
	struct home_candidate *list = list_candidates(v->relay, &n);
	bool is_home;

	n_ranked = rank(v, list, n, order);
	n_homes = MIN(homes_wanted(v, n), n_ranked);
	is_home = (n <= HOMES_MAX && homes_wanted(v, n) == n) ||
		  (v->spare_us && v->relay->ticked_us < v->spare_us + SPARE_US);
	g_ptr_array_set_size(v->homes, 0);
	g_ptr_array_set_size(v->spares, 0);
	for (i = 0; i < n_ranked; i++) {
		const char *name = list[order[i]].name;

		if (!is_self(v->relay, name))
			g_ptr_array_add(i < n_homes ? v->homes : v->spares,
					g_strdup(name));
		else if (i < n_homes)
			is_home = true;
	}
	v->homes_changed++;
	g_free(list);
	if (is_home && !v->is_home) {
		become_home(v);
	} else if (v->is_home && !is_home) {
		v->is_home = false;
		log_home(v, n);
	}
}

/*
 * Another proxy wants the service served here. One that isn't a home becomes
 * one for a while: it is a spare, asked by proxies that reach no home.
 */
void rpr_on_asked(struct rservice *v, uint64_t now_us)
{
	if (v->is_home && !v->spare_us)
		return;
	v->spare_us = now_us;
	if (!v->is_home)
		become_home(v);
}

/* Spares that are not asked any more end being homes. */
static void end_spares(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *v = value;

		if (!v->spare_us || now_us < v->spare_us + SPARE_US ||
		    rch_is_running(v))
			continue;
		v->spare_us = 0;
		rank_service(v);
	}
}

static void rank_all(struct relay *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		rank_service(value);
}

static void free_info(gpointer data)
{
	struct relay_server_info *info = data;

	g_free(info->id);
	g_free(info->service);
	g_free(info->host);
	g_free(info->zone);
	g_free(info);
}

/* An empty table of proxies. */
GPtrArray *rpr_table(void)
{
	return g_ptr_array_new_with_free_func(free_info);
}

static GPtrArray *copy_peers(const struct relay *r,
			     const struct relay_server_info *infos, unsigned n)
{
	GPtrArray *list = rpr_table();
	unsigned i;

	for (i = 0; i < n; i++) {
		struct relay_server_info *copy;

		if (is_self(r, infos[i].id))
			continue;
		copy = g_memdup2(&infos[i], sizeof(infos[i]));
		copy->id = g_strdup(infos[i].id);
		copy->service = NULL;
		copy->host = g_strdup(infos[i].host);
		copy->zone = g_strdup(infos[i].zone);
		g_ptr_array_add(list, copy);
	}
	return list;
}

static void log_peers(const struct relay *r, const char *event,
		      const GPtrArray *list)
{
	struct log_line *l = log_event(LOG_STATE, event);

	if (!l)
		return;
	log_u64(l, "others", list->len);
	log_u64(l, "before", r->peers->len);
	log_event_end(l);
}

static void take_peers(struct relay *r, GPtrArray *list, uint64_t now_us)
{
	log_peers(r, "proxies", list);
	g_ptr_array_free(r->peers, TRUE);
	r->peers = list;
	rank_all(r);
	rvi_list_all(r, now_us);
	rrun_dispatch(r, now_us);
}

/*
 * The proxies as they are now; this one is passed over.
 *
 * Failure: leases run out in an outage of the store, the list is empty for a
 * moment, and each of many proxies takes itself for one of few and connects to
 * all servers. Guard: a list that lost more than half at once is believed only
 * after PEERS_HELD_US without another.
 */
void relay_on_peers(struct relay *r, const struct relay_server_info *infos,
		    unsigned n_infos, uint64_t now_us)
{
	GPtrArray *list = copy_peers(r, infos, n_infos);

	feed_source_on_proxies(r->feed_source, infos, n_infos);
	rgr_on_peers(r, infos, n_infos, now_us);
	g_clear_pointer(&r->peers_held, g_ptr_array_unref);
	if (list->len * 2 >= r->peers->len) {
		take_peers(r, list, now_us);
		return;
	}
	log_peers(r, "proxies-held", list);
	r->peers_held = list;
	r->peers_held_us = now_us;
}

/* Another configuration: the homes of its databases. */
void rpr_on_catalog(struct relay *r, uint64_t now_us)
{
	rank_all(r);
	rvi_list_all(r, now_us);
}

/* Believes a short list that nothing has followed. */
void rpr_tick(struct relay *r, uint64_t now_us)
{
	if (r->peers_held && now_us > r->peers_held_us + PEERS_HELD_US)
		take_peers(r, g_steal_pointer(&r->peers_held), now_us);
	end_spares(r, now_us);
}
