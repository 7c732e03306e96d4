#ifndef SOAK_GROUP_H
#define SOAK_GROUP_H

/*
 * Groups of servers with a replicated log: who leads, in which term, what each
 * has received and applied, and the platform's promotions. Connections to them:
 * server.h; how they come and go: member.h.
 */

#include "audit.h"
#include "later.h"
#include "store.h"

#include <uv.h>

#define GROUP_FIRST 3 /* servers at the start */
#define GROUP_SIZE 8 /* places for servers, each has an address */
#define GROUPS_MAX 2
#define SERVERS_MAX (GROUPS_MAX * GROUP_SIZE)
#define SLOTS 3
#define WORK_US (4 * MS) /* of a statement, unless the server is slow */
#define SERVER_ID_SIZE 16
#define SOAK_AGE_US (300 * MS) /* of bounded reads */

struct group_commit {
	struct attempt *attempt;
	unsigned group;
	unsigned number;
	uint64_t us;
	uint64_t acked_us; /* its caller was told, 0: not yet */
	bool replaced; /* made where another had been promoted */
	bool lost; /* a promotion rolled it back */
};

/* A place, and the process that has it. */
struct server {
	struct groups *groups;
	unsigned index;
	unsigned group;
	char id[SERVER_ID_SIZE];
	uint16_t port; /* that proxies are told */
	bool absent; /* no process has the place; it is down, too */
	bool down;
	uint64_t crashed_us;
	int64_t born_us; /* wall clock */
	bool dark; /* it neither reads nor answers */
	bool leaving;
	enum server_role role;
	uint64_t term;
	uint64_t held;
	uint64_t reaches_us; /* an old primary reaches the new one since */
	uint64_t lag_us; /* of what it applies; it receives in half of that */
	GArray *log; /* unsigned: places in the table of commits */
	unsigned applied;
	uint64_t free_us[SLOTS];
	uint64_t work_us; /* a statement takes this long */
	double sheds; /* share of callers' statements that it refuses */
	double mutes; /* share of their answers that never come */
	unsigned n_conns;
	unsigned n_over; /* connections that it refused over its limit */
	GPtrArray *conns; /* server.c's */
};

/* What servers do wrong on purpose, so that a check is seen to notice it. */
enum group_lie {
	LIE_NONE,
	LIE_STALE, /* positions that reads must see are passed over */
	LIE_SIGNATURE, /* an answer has another's signature */
	LIE_TWICE, /* a write in fifty is stored twice */
	LIE_VALUES, /* values of the last session stay */
	LIE_REFUSED, /* a write in fifty is told as refused and stored */
	LIE_FENCE, /* PAUSE and STEPDOWN do nothing */
	LIES,
};

struct groups {
	uv_loop_t *loop;
	enum group_lie lie;
	bool adopts; /* statements that nobody here has sent are taken, too */
	struct audit *audit;
	struct store *store;
	GRand *rng;
	uv_timer_t stream;
	unsigned n;
	unsigned max_connections;
	struct server servers[SERVERS_MAX];
	uint64_t top_term[GROUPS_MAX];
	GArray *commits; /* struct group_commit; the first is unused */
	uint64_t token;
	char *holder;
	unsigned n_promotions;
	uint64_t late_us; /* later than usual a promotion takes effect */
	unsigned n_ids; /* given to processes since the start */
	unsigned n_most; /* servers at a time */
	unsigned n_conns; /* ever, for their numbers */
};

/* What happens to a process later, unless it has ended by then. */
struct due {
	struct groups *groups;
	char id[SERVER_ID_SIZE];
	uint64_t crashed_us; /* before: the last time */
	bool replaced; /* when it has drained */
};

struct groups *groups_create(uv_loop_t *loop, struct audit *audit, GRand *rng,
			     unsigned n, unsigned max_connections);
unsigned groups_promote(void *ctx, const char *service, const char *id,
			const char *holder, uint64_t token);
/* Places the commit in the primary's log; its place. */
unsigned group_commit(struct server *s, struct attempt *attempt);
struct group_commit *group_commit_at(const struct groups *g, unsigned place);
bool group_has(const struct server *s, unsigned place);
struct due *group_due(const struct server *s);
struct server *group_find(struct groups *g, const char *id);
struct server *group_primary(struct groups *g, unsigned group);
struct position group_position(const struct server *s);

#endif
