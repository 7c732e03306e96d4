/*
 * The registry of services, and of the servers that the platform lists for
 * them.
 */
#define LOG_MODULE "listed"
#include "durable.h"
#include "homes.h"
#include "roster.h"
#include "wait.h"

#include <string.h>

/* Interval between two removals of servers that have left the list. */
#define SWEEP_INTERVAL_US (200 * USEC_PER_MSEC)

/* The service of that name; created if it is new. */
struct rservice *registry_service(struct relay *r, const char *name)
{
	struct rservice *v = g_hash_table_lookup(r->services, name);

	if (v)
		return v;
	v = rservice_create(r, name);
	v->configured = r->catalog && relay_catalog_service(r->catalog, name);
	g_hash_table_insert(r->services, v->name, v);
	role_on_new_service(v);
	return v;
}

/* The service of a database by the configuration in force, or NULL. */
struct rservice *registry_service_of_database(const struct relay *r,
					      const char *database)
{
	const struct relay_profile *profile =
		relay_catalog_profile(r->catalog, database);

	return profile ? g_hash_table_lookup(r->services, profile->service) :
			 NULL;
}

static struct rserver *add_server(struct relay *r,
				  const struct relay_server_info *info,
				  uint64_t now_us)
{
	struct rservice *v = registry_service(r, info->service);
	struct rserver *s = rserver_create(v, info, now_us);

	if (!v->servers->len)
		v->no_primary_us = now_us;
	g_hash_table_insert(r->servers, g_strdup(info->id), s);
	g_ptr_array_add(v->servers, s);
	v->had_several_servers |= v->servers->len > 1;
	rdurable_on_listed(v, info->id);
	rprimary_on_listed(s, now_us);
	rlog_server_event(s, "server-listed");
	return s;
}

void registry_add_unlisted(struct relay *r,
			   const struct relay_server_info *info,
			   uint64_t now_us)
{
	struct rserver *s;

	if (g_hash_table_contains(r->servers, info->id))
		return;
	s = add_server(r, info, now_us);
	s->listed = false;
	s->unlisted_at_us = now_us;
	rlog_server_event(s, "server-unlisted");
}

static void close_conns(struct rserver *s)
{
	struct relay *r = s->relay;
	GHashTableIter iter;
	gpointer value;
	GPtrArray *list = g_ptr_array_new();
	unsigned i;

	g_hash_table_iter_init(&iter, r->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct rconn *)value)->server == s)
			g_ptr_array_add(list, value);
	for (i = 0; i < list->len; i++) {
		struct rconn *c = g_ptr_array_index(list, i);
		struct rsession *session = c->session;

		rconn_close(c);
		if (session)
			rrun_on_lost(session, s, false, r->ticked_us);
	}
	g_ptr_array_free(list, TRUE);
}

static bool is_confirming(struct relay *r, const struct rserver *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rsession *session = value;

		if (session->run.executed_by == s &&
		    session->run.state == RRUN_CONFIRMING)
			return true;
	}
	return false;
}

/*
 * Whether a server that left the list gone_after_us ago has to be removed from
 * the table of servers; if so, all other references to it are dropped.
 */
static bool drop_if_expired(struct relay *r, struct rserver *s, uint64_t now_us)
{
	struct rservice *v = s->service;

	if (s->listed ||
	    now_us < s->unlisted_at_us + r->settings.gone_after_us ||
	    is_confirming(r, s) || rdurable_is_holder(s))
		return false;
	rlog_server_event(s, "server-gone");
	close_conns(s);
	rprimary_drop(s, now_us);
	if (v->old == s)
		v->old = NULL;
	if (v->target == s)
		v->target = NULL;
	if (v->confirmed_by == s)
		v->confirmed_by = NULL;
	g_ptr_array_remove(v->servers, s);
	rdurable_on_removed(s);
	return true;
}

/* Removes the servers that left the list gone_after_us ago. */
void registry_remove_unlisted(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	if (now_us < r->servers_swept_at_us + SWEEP_INTERVAL_US)
		return;
	r->servers_swept_at_us = now_us;
	g_hash_table_iter_init(&iter, r->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (drop_if_expired(r, value, now_us))
			g_hash_table_iter_remove(&iter);
	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		rdurable_expire_missing(value, now_us);
		rroster_tick(value, now_us);
	}
}

/* Marks the servers that the list names, and unlists the others. */
static void unlist_missing(struct relay *r,
			   const struct relay_server_info *infos,
			   unsigned n_infos, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	r->n_server_lists++;
	for (i = 0; i < n_infos; i++) {
		struct rserver *s =
			g_hash_table_lookup(r->servers, infos[i].id);

		if (s)
			s->list = r->n_server_lists;
	}
	g_hash_table_iter_init(&iter, r->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rserver *s = value;

		if (s->list == r->n_server_lists || !s->listed ||
		    s->service->peers)
			continue;
		s->listed = false;
		s->unlisted_at_us = now_us;
		rlog_server_event(s, "server-unlisted");
	}
}

/* Applies the current list of servers. */
void relay_on_servers(struct relay *r, const struct relay_server_info *infos,
		      unsigned n_infos, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	r->listed = true;
	unlist_missing(r, infos, n_infos, now_us);
	for (i = 0; i < n_infos; i++) {
		struct rserver *s =
			g_hash_table_lookup(r->servers, infos[i].id);

		if (!s && infos[i].unusable)
			continue;
		if (s && rserver_is_unchanged(s, &infos[i]))
			continue;
		if (s)
			rserver_update(s, &infos[i], now_us);
		else
			s = add_server(r, &infos[i], now_us);
		rserver_tick(s, now_us);
	}
	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		rroster_on_listed(value, now_us);
	rwait_dispatch(r, now_us);
}
