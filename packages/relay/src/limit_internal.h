#ifndef CELERYQUAY_RELAY_LIMIT_INTERNAL_H
#define CELERYQUAY_RELAY_LIMIT_INTERNAL_H

/*
 * Rate limits of client accounts. Prefixes: rlimit_ operations that wait for a
 * token, and the requests for tokens; rgrantor_ the grantors, which give
 * tokens.
 */

#include "relay_internal.h"

/* A proxy that is listed, or was until recently, and may be a grantor. */
struct member {
	char *name;
	uint64_t
		listed_at_us; /* joined the list then, 0: it was in the first */
	uint64_t left_us; /* left the list then, 0: still listed */
	unsigned list; /* number of the newest list with it */
};

/* A proxy that gives tokens of one account. */
struct grantor {
	char *name;
	uint64_t backoff_until_us; /* not asked until then */
};

/* The rate limit of one account, as seen by this proxy. */
struct rlimit {
	char *account;
	struct relay *relay;
	/* This proxy's token bucket, if it is a grantor of the account. */
	double tokens;
	uint64_t refilled_at_us; /* last refill, 0: never used yet */
	/* Operations of this proxy's callers that need tokens. */
	GQueue waiting; /* struct rsession by arrival */
	struct rconn *ask; /* carries the request in flight, or NULL */
	unsigned n_grantors;
	struct grantor grantors[MAX_GRANTORS]; /* in asking order */
	unsigned ranked; /* n_member_changes that `grantors` are of */
	unsigned chosen; /* index of the grantor that is being asked */
	uint64_t chosen_at_us; /* it was chosen then, 0: none is being asked */
	/* The limit is in force: it refused an operation a short time ago. */
	uint64_t last_refused_at_us; /* last refusal, 0: not in force */
	uint64_t n_refused; /* operations, since it came into force */
	double given_per_s; /* average rate of tokens that came here */
	uint64_t given_at_us; /* given_per_s was updated then */
	uint64_t last_retry_at_us; /* when the last refused caller was told to
				      retry */
};

/* grantor.c */
void rgrantor_init(struct relay *r);
void rgrantor_clear(struct relay *r);
void rgrantor_update_ranking(struct rlimit *l);
bool rgrantor_grant(struct rlimit *l, unsigned wanted, unsigned *given,
		    uint64_t *wait_us, uint64_t now_us);
void rgrantor_tick(struct relay *r, uint64_t now_us);

/* limit.c */
struct rlimit *rlimit_find(struct relay *r, const char *account);

#endif
