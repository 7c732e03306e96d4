/*
 * The homes of a database's service, as servers that this proxy lends its
 * sessions connections to: which of them it knows, which one runs a statement,
 * and when one that is cut off is passed by.
 *
 * A proxy that can't reach a primary that others may reach goes through one of
 * them in the same way. What came from a proxy is never passed on again.
 */
#define LOG_MODULE "via"
#include "relay_internal.h"

#define VIA_HOMES 3 /* that a proxy keeps connections to */
#define HELP_TRIES 3 /* a queue's turn has room for no more */
#define REFUSED_COST_US (200 * USEC_PER_MSEC) /* above what load costs */
/* Most changes of server and lost packets are over by then. */
#define HELP_AFTER_US (200 * USEC_PER_MSEC)
/*
 * A home that said so is tried again after that. A proxy of many asks for one
 * database about once a second, and cuts last for seconds.
 */
#define CUT_OFF_US (5 * USEC_PER_SEC)
/* With homes that are cut off among them, so many at most. */
#define VIA_HOMES_MOST 8
/* Homes that are asked for first are there after some 20 ms. */
#define ISOLATED_US (500 * USEC_PER_MSEC)
/* A crashed primary leaves its homes without for 1.3 to 2.5 s. */
#define NO_HOME_US USEC_PER_SEC
#define MIND_US (200 * USEC_PER_MSEC)
#define WANTED_US (3 * USEC_PER_SEC) /* a database was asked for */
/*
 * For so long after that its homes are kept. Probes of three homes for that
 * long cost what it takes to connect to them again.
 */
#define KEPT_US (10 * USEC_PER_SEC)

/* Those near first; among them each proxy prefers others. */
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

/* The best of these proxies that is not in the service's list yet. */
static const struct relay_server_info *next_of(const GPtrArray *names,
					       const struct rservice *v,
					       const struct rservice *via)
{
	const struct relay_server_info *best = NULL;
	unsigned i, j;

	for (i = 0; i < names->len; i++) {
		const struct relay_server_info *p =
			rpr_find(v->relay, g_ptr_array_index(names, i));

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

/* A proxy as a server of the database, made when it isn't there. */
struct rserver *rvi_list_home(struct rservice *via,
			      const struct relay_server_info *p,
			      uint64_t now_us)
{
	struct relay *r = via->relay;
	struct relay_server_info info = *p;
	char *key = g_strconcat("@", via->name, "/", p->id, NULL);
	struct rserver *s = g_hash_table_lookup(r->servers, key);

	info.service = via->name;
	if (s) {
		rsv_update(s, &info, now_us);
		g_free(key);
		return s;
	}
	s = rsv_create(via, &info, now_us);
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
		s->unlisted_us = now_us;
	}
}

static void list_homes(struct rservice *via, struct rservice *v,
		       uint64_t now_us)
{
	const GPtrArray *homes = rrl_homes(v);
	unsigned i;

	unlist_homes(via, now_us);
	for (i = 0; i < VIA_HOMES; i++) {
		const struct relay_server_info *p = next_of(homes, v, via);

		if (!p)
			break;
		rvi_list_home(via, p, now_us);
	}
	via->homes_changed = v->homes_changed;
}

/* Whether nobody has asked for the database for a while. */
static bool is_at_rest(const struct rservice *via, uint64_t now_us)
{
	return now_us > via->wanted_us + KEPT_US;
}

/* Whether the service's homes are others than those that are listed. */
static bool are_homes_other(const struct rservice *via, struct rservice *v)
{
	rrl_homes(v);
	return via->homes_changed != v->homes_changed;
}

/* A proxy has another address now. */
void rvi_update_home(struct relay *r, const struct relay_server_info *p,
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
				rvi_list_home(via, p, now_us);
		}
	}
}

/*
 * Failure: a database isn't asked for here any more, or was taken out of the
 * configuration; its homes stay listed, and one that stopped, or that refuses
 * the database, is connected to several times a second for ever.
 */
void rvi_list_all(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->via);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *via = value;
		struct rservice *v = rls_service_of(r, via->name);

		if (!v || is_at_rest(via, now_us))
			unlist_homes(via, now_us);
		else if (are_homes_other(via, v))
			list_homes(via, v, now_us);
	}
}

/* Whether it failed, or refused a connection or a statement just now. */
static bool is_bad_home(const struct rserver *s, uint64_t now_us)
{
	return s->failing_us || now_us < s->refused_until_us ||
	       (s->heard_us && !rvi_is_good_home(s, now_us));
}

static bool is_reached(const struct rservice *via)
{
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		const struct rserver *s = rservice_server(via, i);

		if (s->listed && rsv_is_up(s))
			return true;
	}
	return false;
}

/*
 * Failure: the few homes that this proxy knows are cut off, or lack the
 * configuration, and its callers are refused while other homes serve. Guard:
 * as many more are listed as are bad, until all are good again.
 *
 * Failure: a network partition leaves all homes of a service on the other
 * side, and callers here are refused though its servers are in reach. Guard:
 * where no home is reached, the proxies next in rank are asked, which are the
 * same for all on this side and become homes for that.
 */
static void mind_homes(struct rservice *via, struct rservice *v,
		       uint64_t now_us)
{
	const struct relay_server_info *p;
	unsigned i, n_listed = 0, n_good = 0;

	for (i = 0; i < via->servers->len; i++) {
		const struct rserver *s = rservice_server(via, i);

		n_listed += s->listed;
		n_good += s->listed && !is_bad_home(s, now_us);
	}
	if (n_listed > VIA_HOMES && n_good == n_listed) {
		list_homes(via, v, now_us);
		return;
	}
	if (n_good >= VIA_HOMES || n_listed >= VIA_HOMES_MOST)
		return;
	p = next_of(rrl_homes(v), v, via);
	if (!p && !is_reached(via))
		p = next_of(rrl_spares(v), v, via);
	if (p)
		rvi_list_home(via, p, now_us);
}

/* Notes since when no home of a database can serve, as far as is known. */
static void note_good_homes(struct rservice *via, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		const struct rserver *s = rservice_server(via, i);

		if (s->listed && rvi_is_good_home(s, now_us)) {
			via->in_vain_us = 0;
			return;
		}
	}
	if (!via->in_vain_us)
		via->in_vain_us = now_us;
}

/*
 * Lets go of homes that nobody asks for. True: there are none left.
 *
 * Failure: a proxy of a large fleet is asked for each of thousands of databases
 * now and then. Without an end it comes to hold connections to the homes of
 * all of them, and both sides probe these on and on.
 */
static bool let_go(struct rservice *via, uint64_t now_us)
{
	if (!is_at_rest(via, now_us))
		return false;
	if (via->homes_changed)
		unlist_homes(via, now_us);
	via->homes_changed = 0; /* to be listed anew when it is asked for */
	return !via->servers->len;
}

/* Looks after the homes of what callers ask for. */
static void mind_all(struct relay *r, uint64_t now_us)
{
	unsigned n_wanted = 0, n_lost = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->via);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct rservice *via = value;
		struct rservice *v = rls_service_of(r, via->name);

		if (let_go(via, now_us)) {
			g_hash_table_iter_remove(&iter);
			continue;
		}
		if (!v || v->is_home || now_us > via->wanted_us + WANTED_US)
			continue;
		mind_homes(via, v, now_us);
		note_good_homes(via, now_us);
		n_wanted++;
		n_lost += !is_reached(via);
	}
	if (n_lost * 2 <= n_wanted)
		r->isolated_us = 0;
	else if (!r->isolated_us)
		r->isolated_us = now_us;
}

/* Whether most of what callers ask for has had no home for a while. */
bool rvi_is_isolated(const struct relay *r, uint64_t now_us)
{
	return r->isolated_us && now_us > r->isolated_us + ISOLATED_US;
}

/*
 * Whether a session's database has had no home here for a while that can
 * serve it. A replaced primary is back sooner.
 */
bool rvi_has_no_home(const struct rsession *s, uint64_t now_us)
{
	const struct rservice *via =
		g_hash_table_lookup(s->relay->via, s->database);

	return s->relay->guards.leave_when_cut_off && via && via->in_vain_us &&
	       now_us > via->in_vain_us + NO_HOME_US;
}

/* Looks after homes now and then. */
void rvi_tick(struct relay *r, uint64_t now_us)
{
	if (now_us < r->minded_us + MIND_US)
		return;
	r->minded_us = now_us;
	mind_all(r, now_us);
}

/* The homes of the service, as servers of this database. */
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
	if (are_homes_other(via, v))
		list_homes(via, v, now_us);
	return via;
}

/*
 * Whether others may reach a primary that this proxy can't: it fails here, or
 * no replica can be heard, and no change of primary explains that.
 */
static bool others_may_reach(const struct rservice *v, uint64_t now_us)
{
	if (rch_is_running(v) || now_us < v->usable_us + HELP_AFTER_US)
		return false;
	if (!v->usable_us)
		return true; /* it was made a home and isn't ready yet */
	return v->primary && (v->primary->failing_us || !rld_holds(v, now_us));
}

/* Whether a run of a caller's may go through another proxy. */
bool rvi_may_help(const struct rsession *s, struct rservice *v, uint64_t now_us)
{
	return !s->peer && rrl_homes(v)->len && s->run.tries < HELP_TRIES &&
	       others_may_reach(v, now_us);
}

static bool fails_for_long(const struct rserver *s, uint64_t now_us)
{
	return s->failing_us && now_us > s->failing_us + HELP_AFTER_US;
}

/* Whether the primary has failed for a while, or all that could confirm it. */
static bool is_known_to_fail(const struct rservice *v, uint64_t now_us)
{
	unsigned i;

	if (fails_for_long(v->primary, now_us))
		return true;
	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (s != v->primary && !fails_for_long(s, now_us))
			return false;
	}
	return true;
}

/*
 * Whether another proxy's statement should be told at once that this home
 * can't serve it.
 *
 * Failure: some homes are cut off from a primary, or from all of its replicas.
 * Proxies that go through them have their callers refused, each after a
 * queue's turn, while other homes serve. Guard: such a home says so, which
 * ordinary load never does, and the statement goes to another one.
 */
bool rvi_is_cut_off(struct rservice *v, uint64_t now_us)
{
	if (!rrl_homes(v)->len || !v->primary || !others_may_reach(v, now_us))
		return false;
	return (v->in_vain_us && now_us > v->in_vain_us + HELP_AFTER_US) ||
	       is_known_to_fail(v, now_us);
}

/* Whether it is reached, and has not said just now that it can't serve. */
bool rvi_is_good_home(const struct rserver *s, uint64_t now_us)
{
	return rsv_is_up(s) &&
	       (!s->cut_off_us || now_us > s->cut_off_us + CUT_OFF_US);
}

/*
 * A home had no server for a run in time. One that only helps round a cut may
 * be cut off itself, so that others are asked first; where homes are the only
 * way, asking another would add to an overload. True: another may be asked.
 */
bool rvi_on_refused(const struct rsession *s, struct rserver *home)
{
	const struct rservice *v = rls_service_of(s->relay, s->database);

	home->latency_us += REFUSED_COST_US;
	return v && v->is_home && s->run.tries + 1 < HELP_TRIES;
}

/*
 * A database that was at rest is asked for: its homes are connected to now, not
 * with the next tick.
 */
static void open_homes(struct rservice *via, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < via->servers->len; i++) {
		struct rserver *s = rservice_server(via, i);

		if (s->listed && !s->heard_us && !s->n_conns)
			rsv_tick(s, now_us);
	}
}

/* Chooses a home for the session's run. */
void rvi_choose(struct rsession *s, const struct relay_profile *profile,
		struct rservice *v, struct rpick *out, uint64_t now_us)
{
	struct rservice *via = via_of(v, profile->database, now_us);
	struct rserver *best = NULL;
	uint64_t least = 0;
	unsigned i;

	out->why = "no-home";
	via->wanted_us = now_us;
	if (v->is_home && !rrun_has_time_for_peer(s, now_us))
		return;
	for (i = 0; i < via->servers->len; i++) {
		struct rserver *server = rservice_server(via, i);

		if (server->listed && rsv_is_up(server))
			rpk_consider(server, &best, &least, s, now_us);
	}
	if (!best) {
		open_homes(via, now_us);
		return;
	}
	out->server = best;
	out->why = "home";
	if (profile->kind == RELAY_KIND_OWN_WRITES && !s->run.to_primary)
		out->after = s->floor;
	rpk_take_conn(s, out, now_us);
}
