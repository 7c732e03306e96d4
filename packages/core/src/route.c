#include <celeryquay/core/route.h>

/* Time from the choice to the statement's snapshot, beyond the queue's wait. */
#define SNAPSHOT_MARGIN_US (2 * USEC_PER_MSEC)
/* Bounds of the time after which a waiting request is routed again. */
#define RECHECK_MIN_US 500ULL
#define RECHECK_MAX_US (10 * USEC_PER_MSEC)
/* A read that would wait longer for a replica may go to an idle primary. */
#define PRIMARY_OFFLOAD_WAIT_US (500 * USEC_PER_MSEC)
/* A read waiting for the primary's confirmation is routed again after this. */
#define CONFIRM_RECHECK_US (1 * USEC_PER_MSEC)

/* The inputs of one choice, and its result. */
struct choice_context {
	const struct fresh *fresh;
	const struct route_server *servers;
	unsigned n_servers;
	const struct route_request *req;
	uint64_t now_us;
	int primary; /* index of the primary, -1: none known */
	struct route_choice *out;
};

/* Estimated time that a new request waits for a slot of the server. */
static uint64_t expected_wait_us(const struct route_server *s)
{
	unsigned slots = MAX(s->slots, 1);

	if (s->wait_us)
		return s->wait_us;
	if (s->running < slots && !s->queued)
		return 0;
	return (s->queued + 1) * s->latency_us / slots;
}

/*
 * The cost by which servers are compared, in microseconds: the expected time
 * until the request is done, and more for each slot that is in use, so that
 * idle servers share the load.
 */
static double load_cost(const struct route_server *s)
{
	double latency_us = (double)MAX(s->latency_us, 1);
	double taken = (double)s->running / MAX(s->slots, 1);

	return (double)expected_wait_us(s) + latency_us * (1 + taken);
}

/*
 * The instant up to which the server's data must be complete. Never later than
 * the request's arrival: its caller can know only of writes that were
 * acknowledged before.
 */
static uint64_t needed_up_to_us(const struct choice_context *c,
				uint64_t wait_us)
{
	uint64_t start_us = c->now_us + wait_us + SNAPSHOT_MARGIN_US;
	uint64_t max_age_us = c->req->profile->max_age_us;
	uint64_t up_to_us = start_us > max_age_us ? start_us - max_age_us : 0;

	return MIN(up_to_us, c->req->arrived_us);
}

/* Whether the data is fresh enough for a read that waits so long for a slot. */
static bool fresh_enough(const struct choice_context *c, unsigned i,
			 uint64_t wait_us)
{
	uint64_t age_us = fresh_age_us(c->fresh, i, c->now_us);

	return age_us != UINT64_MAX &&
	       c->now_us - age_us >= needed_up_to_us(c, wait_us);
}

/*
 * Whether the server reports the primary role but isn't the present primary:
 * its term is an older one, or it was fenced. The part of its log that the
 * other servers lack is about to be removed, so a session that reads there
 * would hold a position that is then lost.
 */
static bool was_deposed(const struct choice_context *c, unsigned i)
{
	const struct server_status *s = fresh_status(c->fresh, i);

	return s && s->role == ROLE_PRIMARY && (int)i != c->primary;
}

/* Why a server may not serve a read; ROUTE_SKIP_NONE: it may. */
static enum route_skip read_skip_reason(const struct choice_context *c,
					unsigned i, uint64_t wait_us)
{
	if (!c->servers[i].up)
		return ROUTE_SKIP_DOWN;
	if (c->servers[i].leaving && (int)i != c->primary)
		return ROUTE_SKIP_LEAVING;
	if (was_deposed(c, i))
		return ROUTE_SKIP_ROLE;
	if (!fresh_has_applied(c->fresh, i, c->req->seen))
		return ROUTE_SKIP_BEHIND_SESSION;
	if (!fresh_enough(c, i, wait_us))
		return ROUTE_SKIP_TOO_OLD;
	return ROUTE_SKIP_NONE;
}

static void set_choice(struct choice_context *c, int server,
		       enum route_reason why)
{
	c->out->server = server;
	c->out->why = why;
	if (server < 0)
		return;
	c->out->passed[server] = ROUTE_SKIP_NONE;
	c->out->age_us = fresh_age_us(c->fresh, (unsigned)server, c->now_us);
}

static void set_wait(struct choice_context *c, enum route_reason why,
		     uint64_t wait_us)
{
	set_choice(c, -1, why);
	c->out->wait_us = CLAMP(wait_us, RECHECK_MIN_US, RECHECK_MAX_US);
}

/*
 * The replica with the least cost of those that may serve the read, a random
 * one of equals; -1: none may.
 */
static int best_replica(struct choice_context *c, GRand *rng)
{
	double best_cost = 0;
	unsigned equals = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < c->n_servers; i++) {
		double cost = load_cost(&c->servers[i]);

		if ((int)i == c->primary ||
		    c->out->passed[i] != ROUTE_SKIP_NONE)
			continue;
		if (best >= 0 && cost > best_cost)
			continue;
		equals = best >= 0 && cost == best_cost ? equals + 1 : 1;
		if (equals > 1 && g_rand_int_range(rng, 0, (gint32)equals))
			continue;
		best = (int)i;
		best_cost = cost;
	}
	return best;
}

/* Marks the servers that might have served the read, but were not chosen. */
static void mark_slower(struct choice_context *c, int best)
{
	unsigned i;

	for (i = 0; i < c->n_servers; i++) {
		if (c->out->passed[i] != ROUTE_SKIP_NONE || (int)i == best)
			continue;
		c->out->passed[i] = (int)i == c->primary ? ROUTE_SKIP_ROLE :
							   ROUTE_SKIP_SLOWER;
	}
}

/* Whether the wait for the server is above the bound or past the deadline. */
static bool wait_is_too_long(const struct choice_context *c, int i)
{
	const struct route_server *s = &c->servers[i];
	uint64_t wait_us = expected_wait_us(s);

	return wait_us > PRIMARY_OFFLOAD_WAIT_US ||
	       c->now_us + wait_us + s->latency_us > c->req->deadline_us;
}

/*
 * Whether a read goes to the primary although a replica may serve it. Only if
 * it would wait too long for the replica, or past its deadline, and the primary
 * has more than one slot free, so that one is left for a write.
 */
static bool offload_to_primary(const struct choice_context *c, int replica)
{
	const struct route_server *p;

	if (c->primary < 0 || c->out->passed[c->primary] != ROUTE_SKIP_NONE)
		return false;
	p = &c->servers[c->primary];
	return wait_is_too_long(c, replica) && !p->leaving && !p->queued &&
	       p->running + 1 < p->slots;
}

/*
 * The instant up to which a replica's data must be complete to serve the read;
 * 0: only the session's position counts.
 */
static uint64_t awaited_up_to_us(const struct choice_context *c, unsigned i)
{
	if (c->out->passed[i] == ROUTE_SKIP_TOO_OLD ||
	    !c->req->profile->max_age_us)
		return c->req->arrived_us;
	return 0;
}

/*
 * The shortest time after which a replica is expected to be able to serve the
 * read; UINT64_MAX: none is.
 */
static uint64_t time_to_replica_us(const struct choice_context *c)
{
	uint64_t min_us = UINT64_MAX;
	unsigned i;

	for (i = 0; i < c->n_servers; i++) {
		uint64_t due_us;

		if ((int)i == c->primary || !c->servers[i].up ||
		    c->servers[i].leaving || was_deposed(c, i))
			continue;
		due_us = fresh_catch_up_us(c->fresh, i, c->req->seen,
					   awaited_up_to_us(c, i), c->now_us);
		min_us = MIN(min_us, due_us);
	}
	return min_us;
}

/* Lets the read wait if a replica is due before the profile's limit. */
static bool wait_for_replica(struct choice_context *c)
{
	uint64_t limit_us = c->req->profile->wait_for_replica_us;
	uint64_t end_us =
		MIN(c->req->arrived_us + limit_us, c->req->deadline_us);
	uint64_t due_us;

	if (c->now_us >= end_us)
		return false;
	due_us = time_to_replica_us(c);
	if (due_us > end_us - c->now_us)
		return false;
	set_wait(c, ROUTE_WAIT_REPLICA, due_us);
	return true;
}

/*
 * Decides on a read that no replica may serve. If the primary's data is too old
 * as well, the read first waits for a probe of the primary: a replica has to
 * catch up with the position that the probe finds.
 */
static void choose_without_replica(struct choice_context *c)
{
	enum route_skip primary = ROUTE_SKIP_DOWN;

	if (c->primary >= 0)
		primary = c->out->passed[c->primary];
	if (primary == ROUTE_SKIP_TOO_OLD)
		set_wait(c, ROUTE_WAIT_CONFIRM, CONFIRM_RECHECK_US);
	else if (wait_for_replica(c))
		return;
	else if (primary == ROUTE_SKIP_NONE)
		set_choice(c, c->primary, ROUTE_PRIMARY_ONLY_FRESH);
	else
		set_choice(c, -1, ROUTE_NONE_NO_SERVER);
}

static void choose_read(struct choice_context *c, GRand *rng)
{
	unsigned i;
	int best;

	for (i = 0; i < c->n_servers; i++) {
		uint64_t wait_us = expected_wait_us(&c->servers[i]);

		c->out->passed[i] = read_skip_reason(c, i, wait_us);
	}
	best = best_replica(c, rng);
	if (best < 0) {
		choose_without_replica(c);
		return;
	}
	if (offload_to_primary(c, best)) {
		set_choice(c, c->primary, ROUTE_PRIMARY_LESS_LOADED);
		mark_slower(c, c->primary);
		return;
	}
	set_choice(c, best, ROUTE_REPLICA_FRESH);
	mark_slower(c, best);
}

/*
 * Writes go to the primary, even while it is leaving, until another server has
 * become the primary. A server that lacks what the session has seen is no
 * longer the primary.
 */
static void choose_write(struct choice_context *c)
{
	unsigned i;

	for (i = 0; i < c->n_servers; i++)
		c->out->passed[i] = ROUTE_SKIP_ROLE;
	if (c->primary < 0) {
		set_choice(c, -1, ROUTE_NONE_NO_PRIMARY);
		return;
	}
	if (!c->servers[c->primary].up)
		c->out->passed[c->primary] = ROUTE_SKIP_DOWN;
	else if (!fresh_has_applied(c->fresh, (unsigned)c->primary,
				    c->req->seen))
		c->out->passed[c->primary] = ROUTE_SKIP_BEHIND_SESSION;
	else
		c->out->passed[c->primary] = ROUTE_SKIP_NONE;
	if (c->out->passed[c->primary] == ROUTE_SKIP_NONE)
		set_choice(c, c->primary, ROUTE_PRIMARY_WRITE);
	else
		set_choice(c, -1, ROUTE_NONE_NO_PRIMARY);
}

/*
 * Chooses a server. The age in the result holds at now_us, so the choice must
 * be checked again for a request that leaves a queue, except for a write on the
 * primary. servers[i] describes the server i of fresh.
 */
void route_choose(const struct fresh *fresh, const struct route_server *servers,
		  unsigned n_servers, const struct route_request *req,
		  uint64_t now_us, GRand *rng, struct route_choice *out)
{
	struct choice_context c = {
		.fresh = fresh,
		.servers = servers,
		.n_servers = n_servers,
		.req = req,
		.now_us = now_us,
		.primary = fresh_primary(fresh),
		.out = out,
	};

	*out = (struct route_choice){ .server = -1 };
	if (fresh_is_lost(fresh, req->seen))
		set_choice(&c, -1, ROUTE_NONE_LOST_HISTORY);
	else if (req->profile->access == ACCESS_WRITE)
		choose_write(&c);
	else
		choose_read(&c, rng);
}

/*
 * Whether a read that waited for a slot of the server may still run there; if
 * not, another choice must be made for it.
 */
bool route_may_serve(const struct fresh *fresh,
		     const struct route_server *servers, unsigned n_servers,
		     const struct route_request *req, unsigned server,
		     uint64_t now_us)
{
	struct choice_context c = {
		.fresh = fresh,
		.servers = servers,
		.n_servers = n_servers,
		.req = req,
		.now_us = now_us,
		.primary = fresh_primary(fresh),
	};

	return read_skip_reason(&c, server, 0) == ROUTE_SKIP_NONE;
}

/* The reason's name in the decision log. */
const char *route_reason_name(enum route_reason why)
{
	static const char *const names[] = {
		[ROUTE_PRIMARY_WRITE] = "primary_write",
		[ROUTE_REPLICA_FRESH] = "replica_fresh",
		[ROUTE_PRIMARY_ONLY_FRESH] = "primary_only_fresh",
		[ROUTE_PRIMARY_LESS_LOADED] = "primary_less_loaded",
		[ROUTE_WAIT_REPLICA] = "wait_replica",
		[ROUTE_WAIT_CONFIRM] = "wait_confirm",
		[ROUTE_NONE_LOST_HISTORY] = "none_lost_history",
		[ROUTE_NONE_NO_PRIMARY] = "none_no_primary",
		[ROUTE_NONE_NO_SERVER] = "none_no_server",
	};

	return names[why];
}

/* The letter in the decision log for why a server was not chosen. */
char route_skip_letter(enum route_skip pass)
{
	static const char letters[] = {
		[ROUTE_SKIP_NONE] = '-',    [ROUTE_SKIP_DOWN] = 'd',
		[ROUTE_SKIP_LEAVING] = 'l', [ROUTE_SKIP_BEHIND_SESSION] = 'b',
		[ROUTE_SKIP_TOO_OLD] = 'o', [ROUTE_SKIP_SLOWER] = 's',
		[ROUTE_SKIP_ROLE] = 'r',
	};

	return letters[pass];
}
