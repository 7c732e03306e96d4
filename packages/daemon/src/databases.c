#define LOG_MODULE "databases"
#include "databases.h"
#include "store_sync.h"

#include <celeryquay/base/log.h>
#include <celeryquay/core/homes.h>

#include <string.h>

/* Bounds how many databases one tick places, and so how long the tick takes. */
#define PLACEMENTS_PER_TICK_MAX 32
/* A group is kept at least this long after its home moved to another proxy. */
#define MOVED_GROUP_MIN_KEEP_US (2 * USEC_PER_SEC)

struct database {
	char *name; /* service/database */
	struct item *item; /* the configuration that the group runs */
	struct group *group; /* NULL: no home here */
	unsigned rank; /* of this proxy among the homes; 0 is the best */
	uint64_t moved_at_us; /* when the home moved away; 0: it has not */
};

/* The homes of one database among the present candidates. */
struct ranking {
	unsigned n;
	const struct member_info *homes[DATABASES_MAX_HOMES];
};

struct databases {
	struct node *node;
	GHashTable *rankings; /* database_conf, borrowed -> struct ranking */
	GHashTable *by_name; /* name -> struct database */
	GPtrArray *order; /* the same databases, in the order of placement */
	GPtrArray *homes; /* the few of them that have a group here */
	struct home_candidate *candidates;
	const struct member_info **candidate_members;
	unsigned n_candidates;
	bool candidates_stale;
	bool items_stale; /* the model changed: read its items again */
	unsigned cursor; /* next database to place */
	unsigned unplaced; /* how many are still to be placed */
};

static void database_destroy(gpointer data)
{
	struct database *db = data;

	group_destroy(db->group);
	item_unref(db->item);
	g_free(db->name);
	g_free(db);
}

/* Creates an empty table, which the first tick fills from the model. */
struct databases *databases_create(struct node *node)
{
	struct databases *d = g_new0(struct databases, 1);

	d->node = node;
	d->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	d->rankings = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	d->order = g_ptr_array_new_with_free_func(database_destroy);
	d->homes = g_ptr_array_new();
	d->candidates_stale = true;
	d->items_stale = true;
	return d;
}

/* Closes every group at once. */
void databases_destroy(struct databases *d)
{
	if (!d)
		return;
	g_hash_table_destroy(d->rankings);
	g_hash_table_destroy(d->by_name);
	g_ptr_array_free(d->homes, TRUE);
	g_ptr_array_free(d->order, TRUE);
	g_free(d->candidates);
	g_free(d->candidate_members);
	g_free(d);
}

/* Marks the homes as out of date; cheap, may be called often. */
void databases_mark_stale(struct databases *d)
{
	d->candidates_stale = true;
	d->items_stale = true;
}

/* Lists the live and leaving members, by name, as candidates for homes. */
static void refresh_candidates(struct databases *d)
{
	unsigned i, total = members_count(d->node->members);

	if (!d->candidates_stale)
		return;
	g_hash_table_remove_all(d->rankings);
	d->candidates = g_renew(struct home_candidate, d->candidates, total);
	d->candidate_members = g_renew(const struct member_info *,
				       d->candidate_members, total);
	d->n_candidates = 0;
	for (i = 0; i < total; i++) {
		const struct member_info *m = members_at(d->node->members, i);
		bool leaving = m->state == MEMBER_LEAVING;

		if (!member_is_live(m) && !leaving)
			continue;
		d->candidates[d->n_candidates] = (struct home_candidate){
			.name = m->name,
			.data_centre = m->data_centre,
			.region = m->region,
			.leaving = leaving,
		};
		d->candidate_members[d->n_candidates++] = m;
	}
	d->candidates_stale = false;
}

static struct ranking *rank(struct databases *d,
			    const struct database_conf *conf)
{
	unsigned ranked[DATABASES_MAX_HOMES];
	struct ranking *r = g_new(struct ranking, 1);
	unsigned i;

	r->n = homes_rank(conf, d->candidates, d->n_candidates, ranked,
			  DATABASES_MAX_HOMES);
	for (i = 0; i < r->n; i++)
		r->homes[i] = d->candidate_members[ranked[i]];
	return r;
}

/*
 * Gets the homes of a database, best first; returns how many. Called for every
 * request: as computing the ranking takes 69 us with 1,400 members, it is
 * cached until a member or an item changes.
 */
unsigned databases_homes(struct databases *d, const struct database_conf *conf,
			 const struct member_info **out, unsigned max)
{
	struct ranking *r;
	unsigned i, n;

	refresh_candidates(d);
	r = g_hash_table_lookup(d->rankings, conf);
	if (!r) {
		r = rank(d, conf);
		g_hash_table_insert(d->rankings, (gpointer)conf, r);
	}
	n = MIN(r->n, max);
	for (i = 0; i < n; i++)
		out[i] = r->homes[i];
	return n;
}

/*
 * This node's rank for a database, 0 being the best; DATABASES_MAX_HOMES when
 * it is not among the homes.
 */
static unsigned own_rank(struct databases *d, const struct database_conf *conf)
{
	const struct member_info *homes[DATABASES_MAX_HOMES];
	unsigned i, n = databases_homes(d, conf, homes, DATABASES_MAX_HOMES);

	for (i = 0; i < n; i++) {
		if (node_is_self(d->node, homes[i]))
			return i;
	}
	return DATABASES_MAX_HOMES;
}

static void on_record(void *ctx, struct group *g, uint64_t term,
		      const char *server, const char *holder)
{
	struct databases *d = ctx;
	guint i;

	for (i = 0; i < d->homes->len; i++) {
		struct database *db = g_ptr_array_index(d->homes, i);

		if (db->group == g)
			store_sync_record(d->node->store_sync, db->name, term,
					  server, holder);
	}
}

static const struct group_ops group_ops = { .record = on_record };

static struct group_settings make_group_settings(const struct node *node)
{
	struct group_settings s;

	group_settings_default(&s);
	s.probe_interval_us = node->settings->probe_interval_us;
	s.failover.probe_interval_us = node->settings->probe_interval_us;
	s.failover.suspect_after_us = node->settings->suspect_after_us;
	s.idle_transaction_us = node->settings->idle_transaction_us;
	s.homes = node->settings->homes;
	s.password = node->settings->upstream_password;
	return s;
}

static void log_home(const struct database *db, const char *why)
{
	char rank[16];

	g_snprintf(rank, sizeof(rank), "%u", db->rank);
	log_decision("home", "database", db->name, "rank", rank, "why", why,
		     NULL);
}

static void become_home(struct databases *d, struct database *db,
			uint64_t now_us)
{
	struct group_settings settings = make_group_settings(d->node);

	db->group = group_create(&db->item->u.database, &settings,
				 d->node->holder, d->node->upstream, &pg_ops,
				 &group_ops, d, d->node->rng, now_us);
	g_ptr_array_add(d->homes, db);
}

/*
 * Updates this node's rank for a database; creates its group, or marks it for
 * closing, accordingly.
 */
static void place_database(struct databases *d, struct database *db,
			   uint64_t now_us)
{
	unsigned rank = DATABASES_MAX_HOMES;
	bool home;

	if (!db->item->removed)
		rank = own_rank(d, &db->item->u.database);
	home = rank < d->node->settings->homes;
	if (home && !db->group)
		become_home(d, db, now_us);
	if (!db->group || (rank == db->rank && home == !db->moved_at_us))
		return;
	db->rank = rank;
	db->moved_at_us = home ? 0 : now_us;
	group_set_rank(db->group, rank, now_us);
	log_home(db, home ? "placed" : "moved away");
}

/*
 * Closes the group of a home that moved away, once it is idle, so that no
 * running request is cut off.
 */
static void close_moved_group(struct databases *d, struct database *db,
			      uint64_t now_us)
{
	if (!db->moved_at_us)
		return;
	if (now_us - db->moved_at_us < MOVED_GROUP_MIN_KEEP_US ||
	    !group_is_idle(db->group))
		return;
	group_destroy(db->group);
	db->group = NULL;
	g_ptr_array_remove_fast(d->homes, db);
	log_home(db, "closed");
}

static void take_in_item(struct item *item, void *ctx)
{
	struct databases *d = ctx;
	const char *name = strchr(item->key, '/') + 1;
	struct database *db;

	if (item->kind != ITEM_DATABASE)
		return;
	db = g_hash_table_lookup(d->by_name, name);
	if (!db && item->removed)
		return;
	if (!db) {
		db = g_new0(struct database, 1);
		db->name = g_strdup(name);
		db->rank = DATABASES_MAX_HOMES;
		g_hash_table_insert(d->by_name, db->name, db);
		g_ptr_array_add(d->order, db);
	}
	if (db->item && db->item->revision == item->revision)
		return;
	item_unref(db->item);
	db->item = item_ref(item);
	if (db->group && !item->removed)
		group_reconfigure(db->group, &item->u.database, node_now_us());
}

/*
 * Places at most PLACEMENTS_PER_TICK_MAX databases, so that a change of members
 * doesn't stall the event loop.
 */
static void place_some_databases(struct databases *d, uint64_t now_us)
{
	unsigned n = MIN(d->unplaced, PLACEMENTS_PER_TICK_MAX);

	d->unplaced -= n;
	for (; n; n--) {
		d->cursor = (d->cursor + 1) % d->order->len;
		place_database(d, g_ptr_array_index(d->order, d->cursor),
			       now_us);
	}
}

/* Takes in changed items, places some databases and ticks the groups. */
void databases_tick(struct databases *d, uint64_t now_us)
{
	guint i;

	/*
	 * A starting node that knows no other member yet would rank itself as
	 * the home of every database, in parallel to the real homes.
	 */
	if (!members_joined(d->node->members))
		return;
	if (d->items_stale) {
		model_each(d->node->model, take_in_item, d);
		d->items_stale = false;
		d->unplaced = d->order->len;
	}
	place_some_databases(d, now_us);
	/* Backwards: removal moves the last element into the freed place. */
	for (i = d->homes->len; i; i--) {
		struct database *db = g_ptr_array_index(d->homes, i - 1);

		if (group_next_tick_us(db->group) <= now_us)
			group_tick(db->group, now_us);
		close_moved_group(d, db, now_us);
	}
}

/* The group of a database, NULL when it has no home on this proxy. */
struct group *databases_group(struct databases *d, struct str service,
			      struct str name)
{
	char *key = str_join(service, '/', name);
	struct database *db = g_hash_table_lookup(d->by_name, key);

	g_free(key);
	return db ? db->group : NULL;
}

static struct group *find_owner(struct databases *d, conn_id id)
{
	guint i;

	for (i = 0; i < d->homes->len; i++) {
		struct database *db = g_ptr_array_index(d->homes, i);

		if (group_owns(db->group, id))
			return db->group;
	}
	return NULL;
}

static void on_opened(void *ctx, conn_id id, const struct err *err)
{
	struct node *node = ctx;
	struct group *g = find_owner(node->databases, id);

	if (g)
		group_on_opened(g, id, err, node_now_us());
}

static void on_done(void *ctx, conn_id id, struct upstream_result *result)
{
	struct node *node = ctx;
	struct group *g = find_owner(node->databases, id);

	if (g)
		group_on_done(g, id, result, node_now_us());
}

static void on_lost(void *ctx, conn_id id, const struct err *err)
{
	struct node *node = ctx;
	struct group *g = find_owner(node->databases, id);

	if (g)
		group_on_lost(g, id, err, node_now_us());
}

const struct upstream_events databases_upstream_events = {
	.opened = on_opened,
	.done = on_done,
	.lost = on_lost,
};

/* Tells every group to accept no new requests and finish the running ones. */
void databases_stop(struct databases *d, uint64_t now_us)
{
	guint i;

	for (i = 0; i < d->homes->len; i++) {
		struct database *db = g_ptr_array_index(d->homes, i);

		group_stop(db->group, now_us);
	}
}

/* Whether no group has running or queued requests. */
bool databases_idle(const struct databases *d)
{
	guint i;

	for (i = 0; i < d->homes->len; i++) {
		struct database *db = g_ptr_array_index(d->homes, i);

		if (!group_is_idle(db->group))
			return false;
	}
	return true;
}

/* Appends a JSON list of the groups that have a home here. */
void databases_write_status(struct databases *d, GString *out, uint64_t now_us)
{
	const char *comma = "";
	guint i;

	g_string_append_c(out, '[');
	for (i = 0; i < d->homes->len; i++) {
		struct database *db = g_ptr_array_index(d->homes, i);

		g_string_append_printf(out,
				       "%s{\"database\":\"%s\",\"rank\":%u,"
				       "\"group\":",
				       comma, db->name, db->rank);
		group_write_status(db->group, out, now_us);
		g_string_append_c(out, '}');
		comma = ",";
	}
	g_string_append_c(out, ']');
}

static void set_count(struct databases *d, const char *name, const char *db,
		      uint64_t value, const char *help)
{
	char *labels = g_strdup_printf("database=\"%s\"", db);

	counter_set(counter_get(d->node->counters, COUNTER_COUNT, name, labels,
				help),
		    (int64_t)value);
	g_free(labels);
}

/* Copies the groups' counts into the metrics. */
void databases_update_counters(struct databases *d)
{
	guint i;

	for (i = 0; i < d->homes->len; i++) {
		struct database *db = g_ptr_array_index(d->homes, i);
		const struct group_counts *c;

		c = group_counts(db->group);
		set_count(d, "celeryquay_reads_replica_total", db->name,
			  c->reads_replica, "Reads that replicas served.");
		set_count(d, "celeryquay_reads_primary_total", db->name,
			  c->reads_primary, "Reads that primaries served.");
		set_count(d, "celeryquay_writes_done_total", db->name,
			  c->writes_done, "Writes acknowledged.");
		set_count(d, "celeryquay_not_run_total", db->name, c->not_run,
			  "Requests answered as not run.");
		set_count(d, "celeryquay_unknown_total", db->name, c->unknown,
			  "Writes whose outcome stayed unknown.");
		set_count(d, "celeryquay_settled_done_total", db->name,
			  c->settled_done, "Uncertain writes found done.");
		set_count(d, "celeryquay_settled_not_run_total", db->name,
			  c->settled_not_run,
			  "Uncertain writes found not run.");
		set_count(d, "celeryquay_promotions_total", db->name,
			  c->promotions, "Primaries promoted from here.");
		set_count(d, "celeryquay_refused_total", db->name, c->refused,
			  "Requests that the queue refused.");
	}
}
