#ifndef CELERYQUAY_RELAY_LIMIT_INTERNAL_H
#define CELERYQUAY_RELAY_LIMIT_INTERNAL_H

/*
 * Limits of client accounts. Prefixes: rlm_ operations that wait for a token,
 * and who is asked for it; rgr_ who gives tokens, and how many.
 */

#include "relay_internal.h"

struct member {
	char *name;
	uint64_t listed_us; /* 0: it was when this proxy began */
	uint64_t left_us; /* 0: it is listed */
	unsigned list; /* the newest that it is in */
};

struct grantor {
	char *name;
	uint64_t empty_until_us;
};

struct rlimit {
	char *account;
	struct relay *relay;
	/* As one that grants. */
	double tokens;
	uint64_t filled_us; /* 0: not yet */
	/* As one that asks. */
	GQueue waiting; /* struct rsession by arrival */
	struct rconn *ask; /* in flight */
	unsigned n_grantors;
	struct grantor grantors[LIMIT_GRANTORS]; /* in the order of asking */
	unsigned ranked; /* members_changed when they were */
	unsigned chosen;
	uint64_t chosen_us; /* one is waited for since, 0: none is */
	uint64_t refused_us; /* the last operation; 0: it does not bind */
	uint64_t n_refused; /* since it binds */
	double given_per_s; /* tokens that came here, while it binds */
	uint64_t given_us; /* the same is of then */
	uint64_t turn_us; /* the last that was refused is to come back then */
};

/* grantor.c */
void rgr_init(struct relay *r);
void rgr_clear(struct relay *r);
void rgr_rank(struct rlimit *l);
bool rgr_grant(struct rlimit *l, unsigned wanted, unsigned *given,
	       uint64_t *wait_us, uint64_t now_us);
void rgr_tick(struct relay *r, uint64_t now_us);

/* limit.c */
struct rlimit *rlm_find(struct relay *r, const char *account);

#endif
