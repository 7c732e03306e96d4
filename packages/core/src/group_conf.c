#include "group_internal.h"

#include <string.h>

/* Applies the configuration of the group's servers. */

static void copy_database_conf(struct group *g,
			       const struct database_conf *conf)
{
	g_free(g->user);
	g_free(g->dbname);
	g->user = g_strdup(conf->user);
	g->dbname = g_strdup(conf->dbname);
	g->reserve = conf->reserve;
}

/*
 * Creates freshness and failover anew, as both know the servers in use by
 * index, and forgets what was known before.
 */
static void reset_tracking(struct group *g, uint64_t now_us)
{
	unsigned i;

	fresh_destroy(g->fresh);
	failover_destroy(g->failover);
	g->hold_writes = false;
	g->lag_since_us = 0;
	g->tracking_started_us = now_us;
	g->fresh = fresh_create(g->n_active);
	g->failover = failover_create(&g->settings.failover, g->n_active,
				      g->holder, &group_failover_ops, g, g->rng,
				      now_us);
	for (i = 0; i < g->n_active; i++) {
		struct server *s = group_server(g, (int)i);

		s->index = (int)i;
		probe_forget_calls(s);
		s->probe_requested = s->probe_urgent = true;
		failover_set_name(g->failover, i, s->name);
		failover_set_leaving(g->failover, i, s->leaving);
	}
	failover_set_rank(g->failover, g->rank);
}

/* The server in use with this name; NULL if there is none. */
struct server *conf_find_server(struct group *g, const char *name)
{
	guint i;

	for (i = 0; i < g->servers->len; i++) {
		struct server *s = g_ptr_array_index(g->servers, i);

		if (!strcmp(s->name, name) && !s->removed)
			return s;
	}
	return NULL;
}

/* Removes a server: no new requests; connections are closed when idle. */
static void remove_server(struct server *s, uint64_t now_us)
{
	route_drain_queue(s, false, now_us);
	s->removed = true;
	s->index = -1;
	server_close_unused(s);
}

static bool same_address(const struct server *s, const struct server_conf *conf)
{
	return s->port == conf->port && !strcmp(s->host, conf->host);
}

/*
 * Returns the existing server of this name with the new configuration, or a new
 * one. If its address changed, the existing one is removed and created anew:
 * its connections lead to the old address, and what is known of it belongs to
 * the process there.
 */
static struct server *reuse_or_create_server(struct group *g,
					     const struct server_conf *conf,
					     uint64_t now_us)
{
	struct server *s = conf_find_server(g, conf->name);

	if (s && same_address(s, conf)) {
		server_configure(s, conf);
		return s;
	}
	if (s)
		remove_server(s, now_us);
	return server_create(g, conf);
}

static bool is_listed(const struct database_conf *conf, const char *name)
{
	unsigned i;

	for (i = 0; i < conf->n_servers; i++) {
		if (!strcmp(conf->servers[i].name, name))
			return true;
	}
	return false;
}

/*
 * Puts the servers in the order of the configuration, followed by the removed
 * ones. True if the servers in use or their order changed.
 */
static bool reorder_servers(struct group *g, const struct database_conf *conf,
			    uint64_t now_us)
{
	GPtrArray *order = g_ptr_array_new();
	unsigned n = MIN(conf->n_servers, FRESH_MAX_SERVERS);
	bool changed = n != g->n_active;
	unsigned i;

	for (i = 0; i < n; i++) {
		struct server *s =
			reuse_or_create_server(g, &conf->servers[i], now_us);

		changed |= s->index != (int)i;
		g_ptr_array_add(order, s);
	}
	for (i = 0; i < g->servers->len; i++) {
		struct server *s = g_ptr_array_index(g->servers, i);

		if (!s->removed && is_listed(conf, s->name))
			continue;
		if (!s->removed)
			remove_server(s, now_us);
		g_ptr_array_add(order, s);
	}
	g_ptr_array_free(g->servers, TRUE);
	g->servers = order;
	g->n_active = n;
	return changed;
}

/*
 * Applies a changed configuration. If the servers in use changed, freshness and
 * failover are created anew. Requests and the connections of servers that stay
 * in use are kept.
 */
void group_reconfigure(struct group *g, const struct database_conf *conf,
		       uint64_t now_us)
{
	unsigned i;

	copy_database_conf(g, conf);
	if (reorder_servers(g, conf, now_us)) {
		reset_tracking(g, now_us);
	} else {
		for (i = 0; i < g->n_active; i++)
			failover_set_leaving(g->failover, i,
					     group_server(g, (int)i)->leaving);
	}
	g->news = true;
	g->again = true;
}

/* Frees the removed servers that have no connection left. */
void conf_free_removed(struct group *g)
{
	guint i = g->n_active;

	while (i < g->servers->len) {
		struct server *s = g_ptr_array_index(g->servers, i);

		server_close_unused(s);
		if (s->work_conns.length || s->probe || s->long_poll ||
		    s->pinned) {
			i++;
			continue;
		}
		g_ptr_array_remove_index(g->servers, i);
		server_destroy(s);
	}
}
