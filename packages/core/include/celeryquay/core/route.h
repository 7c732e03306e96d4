#ifndef CELERYQUAY_CORE_ROUTE_H
#define CELERYQUAY_CORE_ROUTE_H

/*
 * Chooses the server of a database that runs a request. Without side effects:
 * the functions take the candidates and return a choice with its reason, which
 * goes to the decision log.
 */

#include <celeryquay/core/fresh.h>
#include <celeryquay/core/model.h>
#include <celeryquay/core/types.h>

/* Why a server, or none, was chosen. */
enum route_reason {
	ROUTE_PRIMARY_WRITE,
	ROUTE_REPLICA_FRESH,
	ROUTE_PRIMARY_ONLY_FRESH, /* no replica may serve the read */
	ROUTE_PRIMARY_LESS_LOADED,
	ROUTE_WAIT_REPLICA, /* a replica is expected to serve it soon */
	/* A majority must confirm the primary first, as with max age 0. */
	ROUTE_WAIT_CONFIRM,
	ROUTE_NONE_LOST_HISTORY,
	ROUTE_NONE_NO_PRIMARY,
	ROUTE_NONE_NO_SERVER,
};

/* Why a server was not chosen; each is one letter in the decision log. */
enum route_skip {
	ROUTE_SKIP_NONE, /* chosen, or may be chosen */
	ROUTE_SKIP_DOWN, /* not connected, or silent */
	ROUTE_SKIP_LEAVING, /* about to be taken out of use */
	ROUTE_SKIP_BEHIND_SESSION, /* lacks what the session has seen */
	ROUTE_SKIP_TOO_OLD, /* its data may exceed the maximum age */
	ROUTE_SKIP_SLOWER, /* a replica that may serve, but was not preferred */
	ROUTE_SKIP_ROLE, /* its role: a replica for a write, a primary for a
			    read */
};

struct route_server {
	bool up; /* connected, and answers came in time */
	bool leaving; /* about to be taken out of use */
	bool is_primary;
	unsigned slots; /* statements that it may run at once */
	unsigned running; /* slots in use */
	unsigned queued; /* requests waiting for a slot */
	uint64_t latency_us; /* smoothed service time of a statement */
	/*
	 * Predicted wait of this request for a slot, from
	 * admit_predict_wait_us(); 0: estimated from the load.
	 */
	uint64_t wait_us;
};

struct route_request {
	const struct profile *profile;
	struct position seen; /* what the session has seen */
	uint64_t arrived_us;
	uint64_t deadline_us;
};

struct route_choice {
	int server; /* index in fresh, -1: none now */
	enum route_reason why;
	uint64_t wait_us; /* with ROUTE_WAIT_*: route again after this time */
	uint64_t age_us; /* upper bound of the data's age at the choice */
	enum route_skip passed[FRESH_MAX_SERVERS]; /* reason by server */
};

void route_choose(const struct fresh *fresh, const struct route_server *servers,
		  unsigned n_servers, const struct route_request *req,
		  uint64_t now_us, GRand *rng, struct route_choice *out);
/* Whether a read that waited in the server's queue may still run there. */
bool route_may_serve(const struct fresh *fresh,
		     const struct route_server *servers, unsigned n_servers,
		     const struct route_request *req, unsigned server,
		     uint64_t now_us);
const char *route_reason_name(enum route_reason why);
char route_skip_letter(enum route_skip pass);

#endif
