/*
 * Chooses the server that runs a statement or transaction, and the connection.
 * Candidates are compared by their estimated cost in microseconds: what the
 * statement would probably take there, plus penalties.
 */
#define LOG_MODULE "pick"
#include "connlimit.h"
#include "homes.h"
#include "scheduler.h"

/* Added to a replica's known lag before it is expected to be up to date. */
#define LAG_MARGIN_US (30 * USEC_PER_MSEC)
/* The lag that a replica of unknown lag is expected to have at most. */
#define USUAL_LAG_US (100 * USEC_PER_MSEC)
/* How long a replica that refused a read as lagging counts as lagging. */
#define LAGGING_PENALTY_US (500 * USEC_PER_MSEC)
/* Of a home that is probably cut off from the primary; above any load. */
#define BAD_HOME_COST_US (500 * USEC_PER_MSEC)
#define OPEN_COST_US (12 * USEC_PER_MSEC) /* of opening a connection */
#define OTHER_ZONE_COST_US (25 * USEC_PER_MSEC)
/* Reads avoid the primary, since no other server can run writes. */
#define PRIMARY_FACTOR_NUM 3
#define PRIMARY_FACTOR_DEN 2
#define PRIMARY_COST_US (25 * USEC_PER_MSEC)
/*
 * The longest gap between two statements that need the primary in which it
 * counts as unavailable throughout.
 */
#define MAX_WANTED_GAP_US (500 * USEC_PER_MSEC)
/*
 * A server with nothing but outstanding requests is taken to be down after this
 * silence, which is longer than most statements.
 */
#define SILENT_AFTER_US (300 * USEC_PER_MSEC)

static uint64_t cost_us(const struct rserver *s, uint64_t now_us)
{
	unsigned slots = MAX(s->info.slots, 1);
	unsigned load = MAX(s->in_flight, s->status.busy);
	uint64_t cost = s->latency_us + s->latency_us * load / slots;

	if (s->service->primary == s)
		cost = cost * PRIMARY_FACTOR_NUM / PRIMARY_FACTOR_DEN +
		       PRIMARY_COST_US;
	if (g_strcmp0(s->info.zone, s->relay->zone))
		cost += OTHER_ZONE_COST_US;
	if (s->service->peers && !via_is_good_home(s, now_us))
		cost += BAD_HOME_COST_US;
	if (s->relay->guards.avoid_outliers)
		cost += routlier_cost_us(&s->outlier, now_us);
	return cost;
}

/*
 * The cost of a server's lack of an idle connection. It includes the time that
 * the run has waited so far. Otherwise, when the cheapest server's connections
 * are all in use, or a new one is never established, the statement would wait
 * there until it is refused, while other servers with idle connections cost
 * just a few ms more.
 */
static uint64_t wait_cost_us(const struct rserver *s,
			     const struct rsession *session, uint64_t now_us)
{
	const struct rrun *run = &session->run;

	if (rconn_has_idle(s, rconn_account(s, session)))
		return 0;
	return OPEN_COST_US + (now_us - MIN(run->arrived_us, now_us));
}

/* The reason why the primary may run nothing now; NULL: it may. */
static const char *primary_blocker(const struct rserver *s, uint64_t now_us)
{
	if (!rserver_takes_primary_work(s, now_us))
		return "leaving";
	if (!rserver_is_up(s))
		return "down";
	if (!rprimary_lease_holds(s->service, now_us))
		return "lease-over";
	if (rfailover_is_running(s->service))
		return "being-replaced";
	return NULL;
}

static bool primary_may_run(const struct rserver *s, uint64_t now_us)
{
	return !primary_blocker(s, now_us);
}

/*
 * Whether a replica can be expected to have applied the log up to the floor,
 * the position that a read must see: it has reported so, or the floor is older
 * than its lag and it has not lagged recently. The server checks the floor,
 * too, which is sent along; its refusal costs a round trip.
 */
static bool is_fresh_enough(const struct rserver *s,
			    const struct rsample *floor, uint64_t now_us)
{
	if (position_cmp(s->applied, floor->position) >= 0 ||
	    !s->relay->guards.check_floor)
		return true;
	if (s->lag_us != NEVER_US &&
	    now_us > floor->us + s->lag_us + LAG_MARGIN_US)
		return true;
	return now_us > floor->us + USUAL_LAG_US &&
	       now_us > s->lag_seen_at_us + LAGGING_PENALTY_US;
}

/* The reason why a replica may not run the read; NULL: it may. */
static const char *replica_blocker(const struct rserver *s,
				   const struct rsample *floor, uint64_t now_us)
{
	if (!rserver_takes_work(s, now_us))
		return s->info.leaving ? "leaving" : "not-listed";
	if (!rserver_is_up(s))
		return "down";
	if (s->status.role != ROLE_REPLICA)
		return "not-a-replica";
	if (!is_fresh_enough(s, floor, now_us))
		return "lagging";
	return NULL;
}

static bool floor_of(const struct rsession *s,
		     const struct relay_profile *profile,
		     const struct rservice *v, struct rsample *out,
		     uint64_t now_us)
{
	if (!rprimary_read_floor(v, profile->max_age_us, now_us, out))
		return false;
	if (profile->kind == RELAY_KIND_OWN_WRITES &&
	    position_cmp(s->floor, out->position) > 0)
		*out = (struct rsample){ .us = s->floor_at_us,
					 .position = s->floor };
	return true;
}

static unsigned count_failures(const struct rrun *run, const struct rserver *s)
{
	unsigned i, n = 0;

	for (i = 0; i < run->tries; i++)
		if (run->failed_by[i] == s)
			n++;
	return n;
}

/*
 * Where one home runs all statements of a service it knows what each server has
 * to do, so that it goes by when the statement would be done there.
 */
static uint64_t session_cost_us(const struct rserver *s,
				const struct rsession *session, uint64_t now_us)
{
	uint64_t cost;

	if (s->service->peers || !s->service->pooled)
		return cost_us(s, now_us);
	cost = rsched_completion_us(s, session, now_us);
	if (s->service->primary == s)
		cost = cost * PRIMARY_FACTOR_NUM / PRIMARY_FACTOR_DEN +
		       PRIMARY_COST_US;
	if (s->relay->guards.avoid_outliers)
		cost += routlier_cost_us(&s->outlier, now_us);
	return cost;
}

/* Makes the server the best candidate if it is the cheapest so far. */
void rpick_consider(struct rserver *s, struct rserver **best, uint64_t *least,
		    const struct rsession *session, uint64_t now_us)
{
	uint64_t cost;

	if (!connlimit_can_provide(s, session, now_us))
		return;
	cost = session_cost_us(s, session, now_us) +
	       wait_cost_us(s, session, now_us) +
	       count_failures(&session->run, s) * USEC_PER_SEC;
	if (*best && cost >= *least)
		return;
	*best = s;
	*least = cost;
}

static struct rserver *choose_read(struct rsession *s, struct rservice *v,
				   const struct relay_profile *profile,
				   struct position *after, uint64_t now_us)
{
	struct rserver *best = NULL;
	struct rsample floor = { 0 };
	uint64_t least = 0;
	bool has_floor = floor_of(s, profile, v, &floor, now_us);
	bool has_primary = v->primary && primary_may_run(v->primary, now_us);
	unsigned i;

	*after = floor.position;
	for (i = 0; i < v->servers->len; i++) {
		struct rserver *server = rservice_server(v, i);
		bool ok = server == v->primary ?
				  has_primary :
				  has_floor && !replica_blocker(server, &floor,
								now_us);

		if (ok)
			rpick_consider(server, &best, &least, s, now_us);
	}
	return best;
}

/* Whether it has answered of late, or nothing is outstanding. */
static bool is_responsive(const struct rserver *s, uint64_t now_us)
{
	return s->idle.length || now_us < s->heard_us + SILENT_AFTER_US;
}

static uint64_t work_left_us(const struct rserver *s, uint64_t cost_us)
{
	return inflight_running(s) * cost_us / 2;
}

/* Which of the service's slots may run the session's statement. */
void rpick_room(const struct rsession *s, struct rservice *v, uint64_t cost_us,
		struct squeue_room *out, uint64_t now_us)
{
	const struct relay_profile *profile =
		relay_catalog_profile(s->relay->catalog, s->database);
	struct rsample floor = { 0 };
	bool has_floor = profile && floor_of(s, profile, v, &floor, now_us);
	unsigned i;

	*out = (struct squeue_room){ 0 };
	for (i = 0; i < v->servers->len; i++) {
		struct rserver *server = rservice_server(v, i);

		if (!is_responsive(server, now_us))
			continue;
		if (server == v->primary) {
			if (!primary_may_run(server, now_us))
				continue;
			out->primary_slots = MAX(server->info.slots, 1);
			out->primary_work_us = work_left_us(server, cost_us);
		} else if (has_floor &&
			   !replica_blocker(server, &floor, now_us)) {
			out->replica_slots += MAX(server->info.slots, 1);
			out->replica_work_us += work_left_us(server, cost_us);
		}
	}
}

/* Finds an idle connection to the chosen server, or starts to open one. */
void rpick_find_conn(struct rsession *s, struct rpick *out, uint64_t now_us)
{
	struct rserver *server = out->server;

	if (inflight_is_full(server))
		return;
	out->conn = rconn_find_idle(server, s);
	if (!out->conn)
		connlimit_open(server, s, now_us);
}

/*
 * Tracks since when statements have needed the primary while it could not be
 * used. A gap of more than MAX_WANTED_GAP_US between them starts anew.
 */
void rpick_track_primary_use(struct rservice *v, uint64_t wanted_at_us,
			     uint64_t now_us)
{
	if (v->primary && primary_may_run(v->primary, now_us)) {
		v->primary_usable_at_us = now_us;
		v->unserved_since_us = 0;
	} else if (!v->unserved_since_us ||
		   now_us > wanted_at_us + MAX_WANTED_GAP_US) {
		v->unserved_since_us = now_us;
	}
}

/* Chooses one of the service's own servers rather than a home; or NULL. */
static struct rserver *choose_own(struct rsession *s, struct rservice *v,
				  const struct relay_profile *profile,
				  struct rpick *out, uint64_t now_us)
{
	struct rserver *server = NULL;

	if (!s->run.to_primary) {
		server = choose_read(s, v, profile, &out->after, now_us);
		out->why = !server		? "no-server" :
			   server == v->primary ? "primary-cheaper" :
						  "replica";
	} else {
		if (v->primary_usable_at_us == now_us)
			server = v->primary;
		out->why = server ? "primary" : "no-primary";
	}
	if (server == v->primary || !s->relay->guards.check_floor)
		out->after = (struct position){ 0 };
	return server;
}

/*
 * Chooses a server and a connection for the session's run. If there is no idle
 * connection the run stays in the queue, and one is opened where possible.
 */
void rpick_choose(struct rsession *s, struct rpick *out, uint64_t now_us)
{
	const struct relay_profile *profile =
		relay_catalog_profile(s->relay->catalog, s->database);
	struct rservice *v;

	*out = (struct rpick){ .why = "no-service" };
	if (!profile)
		return;
	v = g_hash_table_lookup(s->relay->services, profile->service);
	if (!v)
		return;
	if ((!v->is_home && !s->peer) ||
	    via_is_standby(s, v, profile, now_us)) {
		via_choose(s, profile, v, out, now_us);
		return;
	}
	if (s->peer)
		role_on_asked(v, now_us);
	rpick_track_primary_use(v, v->wanted_at_us, now_us);
	v->wanted_at_us = now_us;
	rprimary_renew_lease(v, now_us);
	out->server = choose_own(s, v, profile, out, now_us);
	if (out->server)
		rpick_find_conn(s, out, now_us);
	else if (via_may_bypass(s, v, now_us))
		via_choose(s, profile, v, out, now_us);
	else
		out->cut_off = s->peer && via_is_cut_off(v, now_us);
}

static const char *role_name(const struct rserver *s)
{
	if (s->service->primary == s)
		return "primary";
	return s->status.role == ROLE_REPLICA ? "replica" : "unknown";
}

static void log_server(struct rserver *s, const struct rsession *session,
		       const char *blocker, struct log_line *l, uint64_t now_us)
{
	if (!blocker && inflight_is_full(s))
		blocker = "at-limit";
	if (!blocker && !connlimit_can_provide(s, session, now_us))
		blocker = "no-connection";
	log_object_begin(l, NULL);
	log_cstr(l, "server", s->info.id);
	log_cstr(l, "passed_over", blocker ? blocker : "");
	if (s->heard_us)
		log_u64(l, "heard_ms",
			(now_us - MIN(s->heard_us, now_us)) / USEC_PER_MSEC);
	log_u64(l, "in_flight", s->in_flight);
	log_u64(l, "limit", (uint64_t)s->limit.most);
	log_u64(l, "stuck", s->n_stuck);
	log_u64(l, "connections", s->n_conns);
	log_u64(l, "idle", s->idle.length);
	log_u64(l, "latency_ms", s->latency_us / USEC_PER_MSEC);
	if (s->service->peers) {
		log_object_end(l);
		return;
	}
	log_cstr(l, "role", role_name(s));
	rlog_position(l, "applied", s->applied);
	if (s->lag_us != NEVER_US)
		log_u64(l, "lag_ms", s->lag_us / USEC_PER_MSEC);
	log_u64(l, "connections_of_all", s->status.connections);
	log_u64(l, "cost_us", cost_us(s, now_us));
	log_object_end(l);
}

static void log_homes(const struct rservice *via,
		      const struct rsession *session, struct log_line *l,
		      uint64_t now_us)
{
	unsigned i;

	log_list_begin(l, "homes");
	for (i = 0; i < via->servers->len; i++) {
		struct rserver *s = rservice_server(via, i);
		const char *blocker = !s->listed	? "not-listed" :
				      !rserver_is_up(s) ? "down" :
							  NULL;

		log_server(s, session, blocker, l, now_us);
	}
	log_list_end(l);
}

static const char *blocker_of(const struct rsession *s,
			      const struct rserver *server,
			      const struct rsample *floor, uint64_t now_us)
{
	if (server == server->service->primary)
		return primary_blocker(server, now_us);
	if (s->run.to_primary)
		return "not-the-primary";
	if (!floor)
		return "no-known-position";
	return replica_blocker(server, floor, now_us);
}

/* Logs each server of the service, with the reason why it can't run this. */
void rpick_log_candidates(const struct rsession *s,
			  const struct relay_profile *profile,
			  struct log_line *l, uint64_t now_us)
{
	struct relay *r = s->relay;
	struct rservice *v = g_hash_table_lookup(r->services, profile->service);
	struct rservice *via = g_hash_table_lookup(r->via, s->database);
	struct rsample floor = { 0 };
	bool has_floor = floor_of(s, profile, v, &floor, now_us);
	unsigned i;

	if (via && !s->peer)
		log_homes(via, s, l, now_us);
	if (!v->is_home && !s->peer)
		return;
	log_list_begin(l, "servers");
	for (i = 0; i < v->servers->len; i++) {
		struct rserver *server = rservice_server(v, i);

		log_server(server, s,
			   blocker_of(s, server, has_floor ? &floor : NULL,
				      now_us),
			   l, now_us);
	}
	log_list_end(l);
}
