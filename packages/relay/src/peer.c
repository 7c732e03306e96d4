/*
 * Other proxies, as the store lists them.
 */
#define LOG_MODULE "peer"
#include "relay_internal.h"

#include <celeryquay/base/log.h>
#include <celeryquay/relay/server_list.h>

#define PEERS_HELD_US (8 * USEC_PER_SEC)
/* Between two lists, for each proxy that is known. */
#define PEERS_PAUSE_US USEC_PER_MSEC
/* A list that grows no more for so long is whole. */
#define PEERS_CALM_US (500 * USEC_PER_MSEC)
/* Without such a list: the store takes no entries, or others come on and on. */
#define PEERS_WAIT_US (4 * USEC_PER_SEC)
/* A change of less than this part of all is small. */
#define FEW_PEERS_SHARE 8

static bool is_self(const struct relay *r, const char *name)
{
	return !strcmp(r->name, name);
}

/* Another proxy. */
struct rpeer {
	struct relay_server_info info;
	unsigned list; /* the last that named it */
};

static void peer_free(gpointer data)
{
	struct rpeer *p = data;

	relay_server_info_clear(&p->info);
	g_free(p);
}

/* An empty table of proxies, by name. */
GHashTable *rpr_table(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     peer_free);
}

/* Another proxy by its name, NULL when it isn't listed. */
const struct relay_server_info *rpr_find(const struct relay *r,
					 const char *name)
{
	const struct rpeer *p = g_hash_table_lookup(r->peers, name);

	return p ? &p->info : NULL;
}

static void add_peer(struct relay *r, const struct relay_server_info *info,
		     GPtrArray *came)
{
	struct rpeer *p = g_new0(struct rpeer, 1);

	relay_server_info_copy(&p->info, info);
	p->list = r->peers_lists;
	g_hash_table_insert(r->peers, g_strdup(p->info.id), p);
	g_ptr_array_add(came, p->info.id);
}

static void take_peer(struct relay *r, const struct relay_server_info *info,
		      GPtrArray *came, uint64_t now_us)
{
	struct rpeer *p = g_hash_table_lookup(r->peers, info->id);

	if (!p) {
		add_peer(r, info, came);
		return;
	}
	p->list = r->peers_lists;
	if (relay_server_info_equal(&p->info, info))
		return;
	relay_server_info_replace(&p->info, info);
	rvi_update_home(r, &p->info, now_us);
}

/* Adds the names that the newest list lacks. */
static void find_gone(struct relay *r, GPtrArray *gone)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, r->peers);
	while (g_hash_table_iter_next(&iter, &name, &value))
		if (((struct rpeer *)value)->list != r->peers_lists)
			g_ptr_array_add(gone, name);
}

/* Takes over who came and who went, a service at a time. */
static void count_changes(struct relay *r, const GPtrArray *came,
			  const GPtrArray *gone)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		for (i = 0; i < came->len; i++)
			rrk_on_come(value, g_ptr_array_index(came, i));
		for (i = 0; i < gone->len; i++)
			rrk_on_gone(value, g_ptr_array_index(gone, i));
	}
}

static void log_peers(const struct relay *r, const char *event,
		      unsigned n_others)
{
	struct log_line *l = log_event(LOG_STATE, event);

	if (!l)
		return;
	log_u64(l, "others", n_others);
	log_u64(l, "before", g_hash_table_size(r->peers));
	log_event_end(l);
}

static bool is_small_change(unsigned n, unsigned n_known)
{
	unsigned change = n > n_known ? n - n_known : n_known - n;

	return change * FEW_PEERS_SHARE < n_known;
}

/*
 * Failure: a whole fleet starts for the first time. Each proxy knows of few
 * others or none, takes itself for one of few, and connects to all servers of
 * all services, which are more than it has descriptors for. Guard: nobody is a
 * home before a list has named this proxy, so that it is no older than its
 * start, and grows no more. A process that starts again is listed already, and
 * waits for nothing.
 */
static bool knows_fleet(const struct relay *r, uint64_t now_us)
{
	if (now_us >= r->started_us + PEERS_WAIT_US)
		return true;
	return r->self_listed && now_us >= r->peers_grew_us + PEERS_CALM_US;
}

static bool names_self(const struct relay *r,
		       const struct relay_server_info *infos, unsigned n)
{
	unsigned i;

	for (i = 0; i < n; i++)
		if (is_self(r, infos[i].id))
			return true;
	return false;
}

static void note_list(struct relay *r, const struct relay_server_info *infos,
		      unsigned n, uint64_t now_us)
{
	bool is_first = !r->peers_lists && !r->peers_held;
	unsigned n_known = rrl_proxies(r);

	r->self_listed = r->self_listed || names_self(r, infos, n);
	if (is_first ? !r->self_listed :
		       n > n_known && !is_small_change(n, n_known))
		r->peers_grew_us = now_us;
	if (is_first)
		r->knows_fleet = r->self_listed;
}

static unsigned count_others(const struct relay *r,
			     const struct relay_server_info *infos, unsigned n)
{
	unsigned i, n_others = 0;

	for (i = 0; i < n; i++)
		n_others += !is_self(r, infos[i].id);
	return n_others;
}

/* Takes over what differs from the list before. */
static void merge_peers(struct relay *r, const struct relay_server_info *infos,
			unsigned n, uint64_t now_us)
{
	GPtrArray *came = g_ptr_array_new(), *gone = g_ptr_array_new();
	unsigned i;

	r->peers_lists++;
	for (i = 0; i < n; i++)
		if (!is_self(r, infos[i].id))
			take_peer(r, &infos[i], came, now_us);
	find_gone(r, gone);
	count_changes(r, came, gone);
	for (i = 0; i < gone->len; i++)
		g_hash_table_remove(r->peers, g_ptr_array_index(gone, i));
	if (came->len || gone->len)
		r->peers_changed++;
	g_ptr_array_unref(came);
	g_ptr_array_unref(gone);
}

static void take_peers(struct relay *r, const struct relay_server_info *infos,
		       unsigned n, uint64_t now_us)
{
	log_peers(r, "proxies", count_others(r, infos, n));
	merge_peers(r, infos, n, now_us);
	if (rrl_update(r))
		rrl_list_served(r);
	rvi_list_all(r, now_us);
	rrun_dispatch(r, now_us);
}

static void free_held(struct relay *r)
{
	unsigned i;

	for (i = 0; i < r->n_held; i++)
		relay_server_info_clear(&r->peers_held[i]);
	g_clear_pointer(&r->peers_held, g_free);
	r->n_held = 0;
}

static void hold_peers(struct relay *r, const struct relay_server_info *infos,
		       unsigned n, uint64_t now_us)
{
	unsigned i;

	log_peers(r, "proxies-held", count_others(r, infos, n));
	r->peers_held = g_new(struct relay_server_info, n + 1);
	for (i = 0; i < n; i++)
		relay_server_info_copy(&r->peers_held[i], &infos[i]);
	r->n_held = n;
	r->peers_held_us = now_us;
}

/* Frees what is known of other proxies. */
void rpr_clear(struct relay *r)
{
	free_held(r);
	g_hash_table_destroy(r->peers);
	g_ptr_array_unref(r->served);
}

/*
 * In a large fleet proxies come and go all the time, and each list is work that
 * grows with the fleet. A small change may wait: whoever can't be reached any
 * more is noticed without the list. Grantors of limits go by its age.
 */
bool relay_takes_peers(const struct relay *r, unsigned n, uint64_t now_us)
{
	unsigned n_known = rrl_proxies(r);

	return r->settings.limits || !is_small_change(n, n_known) ||
	       now_us >= r->peers_us + n_known * PEERS_PAUSE_US;
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
	unsigned n_others = count_others(r, infos, n_infos);

	note_list(r, infos, n_infos, now_us);
	feed_source_on_proxies(r->feed_source, infos, n_infos);
	rgr_on_peers(r, infos, n_infos, now_us);
	free_held(r);
	r->peers_us = now_us;
	if (n_others * 2 >= g_hash_table_size(r->peers))
		take_peers(r, infos, n_infos, now_us);
	else
		hold_peers(r, infos, n_infos, now_us);
}

/* Says nothing of homes, which go by all of them. */
void relay_on_first_peers(struct relay *r,
			  const struct relay_server_info *infos,
			  unsigned n_infos, uint64_t now_us)
{
	(void)now_us;
	feed_source_on_proxies(r->feed_source, infos, n_infos);
}

/* Another configuration: the homes of its databases. */
void rpr_on_catalog(struct relay *r, uint64_t now_us)
{
	r->peers_changed++; /* other limits, other homes */
	rrl_update(r);
	rrl_list_served(r); /* also for services that come or go */
	rvi_list_all(r, now_us);
}

/* Homes are taken over once it is known who else there is. */
static void begin_serving(struct relay *r, uint64_t now_us)
{
	r->knows_fleet = true;
	rrl_update(r);
	rrl_list_served(r);
	rvi_list_all(r, now_us);
}

/* Believes a short list that nothing has followed. */
void rpr_tick(struct relay *r, uint64_t now_us)
{
	if (!r->knows_fleet && knows_fleet(r, now_us))
		begin_serving(r, now_us);
	if (r->peers_held && now_us > r->peers_held_us + PEERS_HELD_US) {
		take_peers(r, r->peers_held, r->n_held, now_us);
		free_held(r);
	}
	rrl_end_spares(r, now_us);
}
