/*
 * The other proxies, as listed in the store.
 */
#define LOG_MODULE "peer"
#include "homes.h"
#include "wait.h"

#include <celeryquay/base/log.h>
#include <celeryquay/relay/server_list.h>

/* A list that lost more than half of the proxies is applied after this. */
#define SHORT_LIST_DELAY_US (8 * USEC_PER_SEC)
/* Minimum interval between two lists, for each known proxy. */
#define LIST_INTERVAL_PER_PROXY_US USEC_PER_MSEC
/* A list that has not grown for this long is complete. */
#define LIST_SETTLED_US (500 * USEC_PER_MSEC)
/*
 * Longest wait for a complete list, for a store that accepts no entries or a
 * fleet that keeps growing.
 */
#define LIST_WAIT_MAX_US (4 * USEC_PER_SEC)
/* A change of less than one in this many proxies is small. */
#define SMALL_CHANGE_DIVISOR 8

static bool is_self(const struct relay *r, const char *name)
{
	return !strcmp(r->name, name);
}

/* Another proxy. */
struct rpeer {
	struct relay_server_info info;
	unsigned list; /* number of the last list that named it */
};

static void peer_free(gpointer data)
{
	struct rpeer *p = data;

	relay_server_info_clear(&p->info);
	g_free(p);
}

/* An empty table of proxies, by name. */
GHashTable *peers_table_new(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     peer_free);
}

/* The other proxy of that name; NULL: not listed. */
const struct relay_server_info *peers_find(const struct relay *r,
					   const char *name)
{
	const struct rpeer *p = g_hash_table_lookup(r->peers, name);

	return p ? &p->info : NULL;
}

static void add_peer(struct relay *r, const struct relay_server_info *info,
		     GPtrArray *added)
{
	struct rpeer *p = g_new0(struct rpeer, 1);

	relay_server_info_copy(&p->info, info);
	p->list = r->n_peer_lists;
	g_hash_table_insert(r->peers, g_strdup(p->info.id), p);
	g_ptr_array_add(added, p->info.id);
}

static bool have_equal_capacity(const struct relay_server_info *a,
				const struct relay_server_info *b)
{
	return a->capacity.cpu_permille == b->capacity.cpu_permille &&
	       a->capacity.mbps == b->capacity.mbps;
}

/* Sets *reweigh if its capacity changed. */
static void update_peer(struct relay *r, const struct relay_server_info *info,
			GPtrArray *added, bool *reweigh, uint64_t now_us)
{
	struct rpeer *p = g_hash_table_lookup(r->peers, info->id);

	if (!p) {
		add_peer(r, info, added);
		return;
	}
	p->list = r->n_peer_lists;
	if (relay_server_info_equal(&p->info, info))
		return;
	*reweigh |= !have_equal_capacity(&p->info, info);
	relay_server_info_replace(&p->info, info);
	via_on_proxy_changed(r, &p->info, now_us);
}

/* Collects the names that the newest list lacks. */
static void find_removed(struct relay *r, GPtrArray *removed)
{
	GHashTableIter iter;
	gpointer name, value;

	g_hash_table_iter_init(&iter, r->peers);
	while (g_hash_table_iter_next(&iter, &name, &value))
		if (((struct rpeer *)value)->list != r->n_peer_lists)
			g_ptr_array_add(removed, name);
}

/* Updates this proxy's rank in each service. */
static void update_ranks(struct relay *r, const GPtrArray *added,
			 const GPtrArray *removed)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		for (i = 0; i < added->len; i++)
			rank_on_added(value, g_ptr_array_index(added, i));
		for (i = 0; i < removed->len; i++)
			rank_on_removed(value, g_ptr_array_index(removed, i));
	}
}

static void rank_all_anew(struct relay *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct rservice *)value)->pooled)
			rank_init(value);
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

	return change * SMALL_CHANGE_DIVISOR < n_known;
}

/*
 * Whether the list of proxies counts as complete. When a whole fleet starts for
 * the first time, each proxy knows few others or none; taking the fleet to be
 * that small, it would connect to all servers of all services, which are more
 * than it has file descriptors for. So a proxy becomes a home only after a list
 * has named it, and thus is no older than its start, and lists have stopped
 * growing. A process that is restarted is already listed and does not wait.
 */
static bool is_list_complete(const struct relay *r, uint64_t now_us)
{
	if (now_us >= r->started_us + LIST_WAIT_MAX_US)
		return true;
	return r->self_listed &&
	       now_us >= r->peers_grew_at_us + LIST_SETTLED_US;
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

/* Notes whether the list names this proxy, and whether it has grown. */
static void note_list(struct relay *r, const struct relay_server_info *infos,
		      unsigned n, uint64_t now_us)
{
	bool is_first = !r->n_peer_lists && !r->peers_pending;
	unsigned n_known = role_proxy_count(r);

	r->self_listed = r->self_listed || names_self(r, infos, n);
	if (is_first ? !r->self_listed :
		       n > n_known && !is_small_change(n, n_known))
		r->peers_grew_at_us = now_us;
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

/* Applies the differences to the previous list. */
static void merge_list(struct relay *r, const struct relay_server_info *infos,
		       unsigned n, uint64_t now_us)
{
	GPtrArray *added = g_ptr_array_new(), *removed = g_ptr_array_new();
	bool reweigh = false;
	unsigned i;

	r->n_peer_lists++;
	for (i = 0; i < n; i++)
		if (!is_self(r, infos[i].id))
			update_peer(r, &infos[i], added, &reweigh, now_us);
	find_removed(r, removed);
	update_ranks(r, added, removed);
	for (i = 0; i < removed->len; i++)
		g_hash_table_remove(r->peers, g_ptr_array_index(removed, i));
	reweigh |= rplace_update(r);
	if (reweigh)
		rank_all_anew(r);
	if (added->len || removed->len || reweigh)
		r->n_peer_changes++;
	g_ptr_array_unref(added);
	g_ptr_array_unref(removed);
}

static void apply_list(struct relay *r, const struct relay_server_info *infos,
		       unsigned n, uint64_t now_us)
{
	log_peers(r, "proxies", count_others(r, infos, n));
	merge_list(r, infos, n, now_us);
	if (role_update_all(r))
		role_update_served(r);
	via_update_homes(r, now_us);
	rwait_dispatch(r, now_us);
}

static void free_pending_list(struct relay *r)
{
	unsigned i;

	for (i = 0; i < r->n_peers_pending; i++)
		relay_server_info_clear(&r->peers_pending[i]);
	g_clear_pointer(&r->peers_pending, g_free);
	r->n_peers_pending = 0;
}

static void defer_list(struct relay *r, const struct relay_server_info *infos,
		       unsigned n, uint64_t now_us)
{
	unsigned i;

	log_peers(r, "proxies-held", count_others(r, infos, n));
	r->peers_pending = g_new(struct relay_server_info, n + 1);
	for (i = 0; i < n; i++)
		relay_server_info_copy(&r->peers_pending[i], &infos[i]);
	r->n_peers_pending = n;
	r->peers_pending_since_us = now_us;
}

/* Frees the lists of other proxies and of served services. */
void peers_clear(struct relay *r)
{
	free_pending_list(r);
	g_hash_table_destroy(r->peers);
	g_ptr_array_unref(r->served);
}

/*
 * In a large fleet proxies start and stop all the time, and the work for each
 * list grows with the fleet. A small change may wait, since a proxy that can't
 * be reached any more is noticed without the list. With rate limits every list
 * is taken, as the grantors of tokens depend on its age.
 */
bool relay_wants_peers(const struct relay *r, unsigned n, uint64_t now_us)
{
	unsigned n_known = role_proxy_count(r);

	return r->settings.limits || !is_small_change(n, n_known) ||
	       now_us >= r->peers_listed_at_us +
				 n_known * LIST_INTERVAL_PER_PROXY_US;
}

/*
 * The current list of proxies; the entry of this one is skipped.
 *
 * When the proxies' leases in the store expire during an outage, the list is
 * empty for a moment. Each of many proxies would take the fleet to be small and
 * connect to all servers. So a list that lost more than half of the proxies at
 * once is applied only after SHORT_LIST_DELAY_US without another list.
 */
void relay_on_peers(struct relay *r, const struct relay_server_info *infos,
		    unsigned n_infos, uint64_t now_us)
{
	unsigned n_others = count_others(r, infos, n_infos);

	note_list(r, infos, n_infos, now_us);
	feed_source_on_proxies(r->feed_source, infos, n_infos);
	rgrantor_on_peers(r, infos, n_infos, now_us);
	free_pending_list(r);
	r->peers_listed_at_us = now_us;
	if (n_others * 2 >= g_hash_table_size(r->peers))
		apply_list(r, infos, n_infos, now_us);
	else
		defer_list(r, infos, n_infos, now_us);
}

/* Leaves the homes as they are, since these depend on the whole list. */
void relay_on_partial_peers(struct relay *r,
			    const struct relay_server_info *infos,
			    unsigned n_infos, uint64_t now_us)
{
	(void)now_us;
	feed_source_on_proxies(r->feed_source, infos, n_infos);
}

/* Updates homes after a change of the configuration. */
void peers_on_catalog(struct relay *r, uint64_t now_us)
{
	r->n_peer_changes++; /* homes depend on connection limits */
	role_update_all(r);
	role_update_served(r); /* services may have been added or removed */
	via_update_homes(r, now_us);
}

/* Takes on the role of home once the list of proxies is complete. */
static void begin_serving(struct relay *r, uint64_t now_us)
{
	r->knows_fleet = true;
	role_update_all(r);
	role_update_served(r);
	via_update_homes(r, now_us);
}

/* Applies a short list that no other list has followed. */
void peers_tick(struct relay *r, uint64_t now_us)
{
	if (!r->knows_fleet && is_list_complete(r, now_us))
		begin_serving(r, now_us);
	if (r->peers_pending &&
	    now_us > r->peers_pending_since_us + SHORT_LIST_DELAY_US) {
		apply_list(r, r->peers_pending, r->n_peers_pending, now_us);
		free_pending_list(r);
	}
	role_end_spares(r, now_us);
}
