/*
 * Sends statements through the homes of a service (role.c), which are proxies
 * that this one treats as servers of the database: which homes it lists, which
 * one runs a statement, and when one that is cut off is avoided.
 *
 * A proxy that can't reach a primary which other proxies may reach goes through
 * one of these in the same way. A statement that came from a proxy is never
 * sent on to another one.
 */
#define LOG_MODULE "via"
#include "homes.h"

#include <string.h>

#define HOMES_LISTED 3 /* homes of a database that a proxy connects to */
/* Tries of a statement; the queue timeout leaves no time for more. */
#define HELP_TRIES 3
/*
 * Added to the latency of a home that refused a statement: more than what load
 * adds.
 */
#define REFUSAL_PENALTY_US (200 * USEC_PER_MSEC)
/*
 * Another proxy is asked if the primary could not be used for this long: most
 * changes of primary and packet losses are over by then.
 */
#define HELP_AFTER_US (200 * USEC_PER_MSEC)
/*
 * A home that reported that it is cut off is used again after this. In a large
 * fleet a proxy asks for one database about once a second, and partitions last
 * for seconds.
 */
#define CUT_OFF_RETRY_US (5 * USEC_PER_SEC)
/* The most homes that are listed when some of them are bad. */
#define HOMES_LISTED_MAX 8
/*
 * Without reachable homes for this long a proxy is isolated. Connecting to the
 * homes of a database that is new here takes some 20 ms.
 */
#define ISOLATED_AFTER_US (500 * USEC_PER_MSEC)
/*
 * A database counts as without homes if none could serve it for this long.
 * After a crash of the primary, homes are without one for 1.3 to 2.5 s.
 */
#define NO_HOME_AFTER_US USEC_PER_SEC
/* Interval between two checks of the homes in use. */
#define HOMES_INTERVAL_US (200 * USEC_PER_MSEC)
/* A database is in use for this long after a statement for it. */
#define IN_USE_US (3 * USEC_PER_SEC)
/*
 * Its homes stay listed for this long after a statement. Probing three homes
 * for that long costs as much as connecting to them again.
 */
#define HOMES_KEPT_US (10 * USEC_PER_SEC)

/*
 * Less is better: proxies in the same data centre come first, then a hash of
 * both names, so that each proxy prefers different ones.
 */
static uint64_t preference(const struct relay *r,
			   const struct relay_server_info *p)
{
	char *both = g_strconcat(r->name, "/", p->id, NULL);
	uint64_t draw = g_str_hash(both);

	g_free(both);
	if (g_strcmp0(p->zone, r->zone))
		draw += UINT64_C(1) << 32;
	return draw;
}

/* The best of the named proxies that `via` doesn't list yet; NULL: none. */
static const struct relay_server_info *best_unlisted(const GPtrArray *names,
						     const struct rservice *v,
						     const struct rservice *via)
{
	const struct relay_server_info *best = NULL;
	unsigned i, j;

	for (i = 0; i < names->len; i++) {
		const struct relay_server_info *p =
			peers_find(v->relay, g_ptr_array_index(names, i));

		for (j = 0; p && j < via->servers->len; j++) {
			const struct rserver *s = rservice_server(via, j);

			if (s->listed && !strcmp(s->info.id, p->id))
				p = NULL;
		}
		if (p && (!best ||
			  preference(v->relay, p) < preference(v->relay, best)))
			best = p;
	}
	return best;
}

/* Lists a proxy as a server of the database; creates or updates its entry. */
struct rserver *via_list_home(struct rservice *via,
			      const struct relay_server_info *p,
			      uint64_t now_us)
{
	struct relay *r = via->relay;
	struct relay_server_info info = *p;
	char *key = g_strconcat("@", via->name, "/", p->id, NULL);
	struct rserver *s = g_hash_table_lookup(r->servers, key);

	info.service = via->name;
	if (s) {
		rserver_update(s, &info, now_us);
		g_free(key);
		return s;
	}
	s = rserver_create(via, &info, now_us);
	g_hash_table_insert(r->servers, key, s);
	g_ptr_array_add(via->servers, s);
	return s;
}

static void unlist_homes(struct rservice *via, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		struct rserver *s = rservice_server(via, i);

		s->listed = false;
		s->unlisted_at_us = now_us;
	}
}

static void list_homes(struct rservice *via, struct rservice *v,
		       uint64_t now_us)
{
	const GPtrArray *homes = role_homes(v);
	unsigned i;

	unlist_homes(via, now_us);
	for (i = 0; i < HOMES_LISTED; i++) {
		const struct relay_server_info *p =
			best_unlisted(homes, v, via);

		if (!p)
			break;
		via_list_home(via, p, now_us);
	}
	via->homes_version = v->homes_version;
}

/* Whether no statement has needed the database for HOMES_KEPT_US. */
static bool is_at_rest(const struct rservice *via, uint64_t now_us)
{
	return now_us > via->wanted_at_us + HOMES_KEPT_US;
}

/* Whether the service's homes have changed since `via` listed them. */
static bool have_homes_changed(const struct rservice *via, struct rservice *v)
{
	role_homes(v);
	return via->homes_version != v->homes_version;
}

/* The entry of a proxy, such as its address, has changed. */
void via_on_proxy_changed(struct relay *r, const struct relay_server_info *p,
			  uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->via);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *via = value;
		unsigned i;

		for (i = 0; i < via->servers->len; i++) {
			struct rserver *s = rservice_server(via, i);

			if (s->listed && !strcmp(s->info.id, p->id))
				via_list_home(via, p, now_us);
		}
	}
}

/*
 * Brings the homes of all databases up to date. Those of a database that is not
 * used here any more, or was removed from the configuration, are unlisted:
 * otherwise the proxy would for ever try several times a second to connect to a
 * home that has stopped, or that refuses the database.
 */
void via_update_homes(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->via);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *via = value;
		struct rservice *v = registry_service_of_database(r, via->name);

		if (!v || is_at_rest(via, now_us))
			unlist_homes(via, now_us);
		else if (have_homes_changed(via, v))
			list_homes(via, v, now_us);
	}
}

/* Whether it fails, or has just refused a connection or a statement. */
static bool is_bad_home(const struct rserver *s, uint64_t now_us)
{
	return s->failing_since_us || now_us < s->refused_until_us ||
	       (s->heard_us && !via_is_good_home(s, now_us));
}

/* Whether any listed home answers. */
static bool is_any_home_up(const struct rservice *via)
{
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		const struct rserver *s = rservice_server(via, i);

		if (s->listed && rserver_is_up(s))
			return true;
	}
	return false;
}

/*
 * The few homes of a service whose homes are pooled may all be cut off from its
 * primary, while other proxies reach it.
 */
static bool needs_spares(const struct rservice *via, const struct rservice *v,
			 unsigned n_good)
{
	return !is_any_home_up(via) || (v->pooled && !n_good);
}

/*
 * The few homes that this proxy lists may be cut off, or lack the
 * configuration; its callers would be refused while other homes serve. So one
 * more is listed for each that is bad, until all are good again.
 *
 * A network partition may leave all homes of a service on the other side;
 * callers here would be refused although its servers can be reached. So if no
 * home can be reached, the proxies next in rank, the spares, are asked. They
 * are the same for all proxies on this side, and become homes when asked.
 */
static void adjust_homes(struct rservice *via, struct rservice *v,
			 uint64_t now_us)
{
	const struct relay_server_info *p;
	unsigned i, n_listed = 0, n_good = 0;

	for (i = 0; i < via->servers->len; i++) {
		const struct rserver *s = rservice_server(via, i);

		n_listed += s->listed;
		n_good += s->listed && !is_bad_home(s, now_us);
	}
	if (n_listed > HOMES_LISTED && n_good == n_listed) {
		list_homes(via, v, now_us);
		return;
	}
	if (n_good >= HOMES_LISTED || n_listed >= HOMES_LISTED_MAX)
		return;
	p = best_unlisted(role_homes(v), v, via);
	if (!p && needs_spares(via, v, n_good))
		p = best_unlisted(role_spares(v), v, via);
	if (p)
		via_list_home(via, p, now_us);
}

/* Notes since when no home of a database is known to be able to serve. */
static void note_good_homes(struct rservice *via, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		const struct rserver *s = rservice_server(via, i);

		if (s->listed && via_is_good_home(s, now_us)) {
			via->unserved_since_us = 0;
			return;
		}
	}
	if (!via->unserved_since_us)
		via->unserved_since_us = now_us;
}

/*
 * Unlists the homes of a database that is not in use. True: none are left.
 *
 * A proxy of a large fleet gets a statement for each of thousands of databases
 * now and then. If homes stayed listed, it would end up with connections to the
 * homes of all of them, which both sides would probe for ever.
 */
static bool release_homes(struct rservice *via, uint64_t now_us)
{
	if (!is_at_rest(via, now_us))
		return false;
	if (via->homes_version)
		unlist_homes(via, now_us);
	via->homes_version = 0; /* the next statement lists them again */
	return !via->servers->len;
}

/* Checks the homes of all databases in use. */
static void adjust_all_homes(struct relay *r, uint64_t now_us)
{
	unsigned n_in_use = 0, n_unreachable = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->via);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *via = value;
		struct rservice *v = registry_service_of_database(r, via->name);

		if (release_homes(via, now_us)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (!v || v->is_home || now_us > via->wanted_at_us + IN_USE_US)
			continue;
		adjust_homes(via, v, now_us);
		note_good_homes(via, now_us);
		n_in_use++;
		n_unreachable += !is_any_home_up(via);
	}
	if (n_unreachable * 2 <= n_in_use)
		r->isolated_since_us = 0;
	else if (!r->isolated_since_us)
		r->isolated_since_us = now_us;
}

/* Whether most databases in use have had no reachable home for a while. */
bool via_is_isolated(const struct relay *r, uint64_t now_us)
{
	return r->isolated_since_us &&
	       now_us > r->isolated_since_us + ISOLATED_AFTER_US;
}

/*
 * Whether no listed home has been able to serve the session's database for a
 * while. A primary that is being replaced is back sooner.
 */
bool via_has_no_home(const struct rsession *s, uint64_t now_us)
{
	const struct rservice *via =
		g_hash_table_lookup(s->relay->via, s->database);

	return s->relay->guards.leave_when_cut_off && via &&
	       via->unserved_since_us &&
	       now_us > via->unserved_since_us + NO_HOME_AFTER_US;
}

/* Checks the homes every HOMES_INTERVAL_US. */
void via_tick(struct relay *r, uint64_t now_us)
{
	if (now_us < r->homes_checked_at_us + HOMES_INTERVAL_US)
		return;
	r->homes_checked_at_us = now_us;
	adjust_all_homes(r, now_us);
}

/* The homes of the service as servers of this database; created if new. */
static struct rservice *via_of(struct rservice *v, const char *database,
			       uint64_t now_us)
{
	struct relay *r = v->relay;
	struct rservice *via = g_hash_table_lookup(r->via, database);

	if (!via) {
		via = rservice_create(r, database);
		via->peers = true;
		g_hash_table_insert(r->via, via->name, via);
	}
	if (have_homes_changed(via, v))
		list_homes(via, v, now_us);
	return via;
}

/*
 * Whether other proxies may reach a primary that this one can't: it fails here,
 * or no replica confirms it, and no change of primary explains that.
 */
static bool others_may_reach(const struct rservice *v, uint64_t now_us)
{
	if (rfailover_is_running(v) ||
	    now_us < v->primary_usable_at_us + HELP_AFTER_US)
		return false;
	if (!v->primary_usable_at_us)
		return true; /* this proxy has only just become a home */
	return v->primary && (v->primary->failing_since_us ||
			      !rprimary_lease_holds(v, now_us));
}

/*
 * Whether a home that can't reach the primary may send a caller's statement
 * through another home.
 */
bool via_may_bypass(const struct rsession *s, struct rservice *v,
		    uint64_t now_us)
{
	return !s->peer && role_homes(v)->len && s->run.tries < HELP_TRIES &&
	       others_may_reach(v, now_us);
}

static bool has_failed_long(const struct rserver *s, uint64_t now_us)
{
	return s->failing_since_us &&
	       now_us > s->failing_since_us + HELP_AFTER_US;
}

/* Whether the primary, or each server that could confirm it, has long failed.
 */
static bool is_primary_unusable(const struct rservice *v, uint64_t now_us)
{
	unsigned i;

	if (has_failed_long(v->primary, now_us))
		return true;
	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (s != v->primary && !has_failed_long(s, now_us))
			return false;
	}
	return true;
}

/*
 * Whether a statement of another proxy should be answered at once with a report
 * that this home is cut off.
 *
 * Some homes may be cut off from a primary, or from all of its replicas.
 * Callers of proxies that go through them would be refused, each after the
 * queue timeout, while other homes serve. Such a home therefore reports that it
 * is cut off, which it never does under mere load, and the statement goes to
 * another home.
 */
bool via_is_cut_off(struct rservice *v, uint64_t now_us)
{
	if (!role_homes(v)->len || !v->primary || !others_may_reach(v, now_us))
		return false;
	return (v->unserved_since_us &&
		now_us > v->unserved_since_us + HELP_AFTER_US) ||
	       is_primary_unusable(v, now_us);
}

/* Whether it is up and has not lately reported that it is cut off. */
bool via_is_good_home(const struct rserver *s, uint64_t now_us)
{
	return rserver_is_up(s) &&
	       (!s->cut_off_us || now_us > s->cut_off_us + CUT_OFF_RETRY_US);
}

/*
 * A home refused a statement as no server could take it in time. True: another
 * home may be tried. That is so only if this proxy is a home that goes round a
 * partition, as the home that it asked may be cut off, too. A proxy that is no
 * home must not try another one, and a standby must not run the statement
 * itself: that would add to an overload.
 */
bool via_may_try_another(const struct rsession *s, struct rserver *home)
{
	const struct rservice *v =
		registry_service_of_database(s->relay, s->database);

	home->latency_us += REFUSAL_PENALTY_US;
	if (!v || !v->is_home || (v->pooled && v->rank.n_ranked_before))
		return false;
	return s->run.tries + 1 < HELP_TRIES;
}

/*
 * Connects to the homes of a database that was not in use, rather than leaving
 * that to the next tick.
 */
static void open_homes(struct rservice *via, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		struct rserver *s = rservice_server(via, i);

		if (s->listed && !s->heard_us && !s->n_conns)
			rserver_tick(s, now_us);
	}
}

/* The listed entry of a home; NULL: it is not listed. */
static struct rserver *find_listed(const struct rservice *via, const char *id)
{
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		struct rserver *s = rservice_server(via, i);

		if (s->listed && !strcmp(s->info.id, id))
			return s;
	}
	return NULL;
}

/*
 * Notes whether the home can be used now. One that is still being connected to
 * is not known to be bad: it need not be good for a while before it is
 * preferred.
 */
static void note_home(struct rserver *s, uint64_t now_us)
{
	if (s->heard_us || s->failing_since_us)
		splace_home_note(&s->home,
				 rserver_is_up(s) && !is_bad_home(s, now_us),
				 now_us);
}

/* Whether an earlier try of the statement failed there. */
static bool has_failed(const struct rrun *run, const struct rserver *s)
{
	unsigned i;

	for (i = 0; i < run->tries; i++)
		if (run->failed_by[i] == s)
			return true;
	return false;
}

/*
 * The home that ranks first among those that may be preferred and have not
 * failed the session's statement; NULL: none. A home of the service counts only
 * those that rank before itself.
 */
static struct rserver *first_preferred(struct rservice *via, struct rservice *v,
				       const struct rsession *session,
				       uint64_t now_us)
{
	const GPtrArray *names = role_homes(v);
	unsigned n = v->is_home ? MIN(v->rank.n_ranked_before, names->len) :
				  names->len;
	unsigned i;

	for (i = 0; i < n; i++) {
		struct rserver *s =
			find_listed(via, g_ptr_array_index(names, i));

		/* One that was never connected to has not been bad. */
		if (!s || (!s->heard_us && !s->failing_since_us))
			continue;
		note_home(s, now_us);
		if (!has_failed(&session->run, s) &&
		    splace_home_is_preferred(&s->home, now_us))
			return s;
	}
	return NULL;
}

/*
 * Whether a home leaves its callers' statements to one that ranks before it.
 * Statements of a service whose homes are pooled run in one order only if they
 * wait in one queue.
 */
bool via_is_standby(const struct rsession *s, struct rservice *v,
		    const struct relay_profile *profile, uint64_t now_us)
{
	struct rservice *via;

	if (!v->pooled || s->peer || s->run.tries)
		return false;
	via = via_of(v, profile->database, now_us);
	via->wanted_at_us = now_us;
	if (first_preferred(via, v, s, now_us)) {
		v->unserved_since_us = 0; /* another home serves it */
		return true;
	}
	open_homes(via, now_us);
	return false;
}

static struct rserver *cheapest_home(const struct rservice *via,
				     const struct rsession *s, uint64_t now_us)
{
	struct rserver *best = NULL;
	uint64_t least = 0;
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		struct rserver *server = rservice_server(via, i);

		if (server->listed && rserver_is_up(server))
			rpick_consider(server, &best, &least, s, now_us);
	}
	return best;
}

/* Chooses a home for the session's statement. */
void via_choose(struct rsession *s, const struct relay_profile *profile,
		struct rservice *v, struct rpick *out, uint64_t now_us)
{
	struct rservice *via = via_of(v, profile->database, now_us);
	struct rserver *best = NULL;

	out->why = "no-home";
	via->wanted_at_us = now_us;
	if (v->is_home && !rrun_has_time_for_peer(s, now_us))
		return;
	if (v->pooled)
		best = first_preferred(via, v, s, now_us);
	if (!best)
		best = cheapest_home(via, s, now_us);
	if (!best) {
		open_homes(via, now_us);
		return;
	}
	out->server = best;
	out->why = "home";
	if (profile->kind == RELAY_KIND_OWN_WRITES && !s->run.to_primary)
		out->after = s->floor;
	rpick_find_conn(s, out, now_us);
}
