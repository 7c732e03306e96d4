/*
 * What the proxies of the fleet can carry, and which services' homes are pooled
 * because of that or of client accounts; celeryquay/sched/placement.h has the
 * rules.
 */
#define LOG_MODULE "placement"
#include "homes.h"

struct rplace {
	struct splace_capacity self;
	struct splace_fleet fleet; /* of the listed proxies and this one */
};

/* Knows only this proxy at first. */
struct rplace *rplace_create(const struct relay_settings *settings)
{
	struct rplace *p = g_new0(struct rplace, 1);

	p->self = settings->capacity;
	splace_fleet_add(&p->fleet, &p->self);
	return p;
}

/* Frees what rplace_create() returned. */
void rplace_destroy(struct rplace *p)
{
	g_free(p);
}

/*
 * Takes the listed proxies into account. True: weights may have changed, since
 * they are relative to the smallest proxy.
 */
bool rplace_update(struct relay *r)
{
	struct rplace *p = r->place;
	struct splace_capacity least = p->fleet.least;
	GHashTableIter iter;
	gpointer name;

	p->fleet = (struct splace_fleet){ 0 };
	splace_fleet_add(&p->fleet, &p->self);
	g_hash_table_iter_init(&iter, r->peers);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		splace_fleet_add(&p->fleet, &peers_find(r, name)->capacity);
	return p->fleet.least.cpu_permille != least.cpu_permille ||
	       p->fleet.least.mbps != least.mbps;
}

/*
 * Whether the service's homes are pooled. homes: how many it would have
 * otherwise; min_homes: the fewest of any service.
 */
bool rplace_is_pooled(const struct rservice *v, unsigned homes,
		      unsigned min_homes)
{
	const struct relay *r = v->relay;
	struct splace_facts facts = {
		.pooling = r->settings.home_pooling,
		.accounts = r->settings.accounts,
		.fleet = r->place->fleet,
		.homes = homes,
		.min_homes = min_homes,
	};

	return splace_is_pooled(&facts);
}

/* The weight of a proxy among the homes of pooled services. */
unsigned rplace_weight(const struct relay *r, const char *name)
{
	const struct relay_server_info *info = peers_find(r, name);

	return splace_weight(&r->place->fleet,
			     info ? &info->capacity : &r->place->self);
}

/* Logs that the service's homes are pooled from now on, or no longer. */
void rplace_log(const struct rservice *v)
{
	const struct rplace *p = v->relay->place;
	struct log_line *l = log_event(LOG_STATE, "homes-pooled");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_bool(l, "pooled", v->pooled);
	log_bool(l, "accounts", v->relay->settings.accounts);
	log_u64(l, "least_cpu_permille", p->fleet.least.cpu_permille);
	log_u64(l, "most_cpu_permille", p->fleet.most.cpu_permille);
	log_u64(l, "least_mbps", p->fleet.least.mbps);
	log_u64(l, "proxies", role_proxy_count(v->relay));
	log_event_end(l);
}
