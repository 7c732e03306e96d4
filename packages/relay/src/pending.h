#ifndef CELERYQUAY_RELAY_PENDING_H
#define CELERYQUAY_RELAY_PENDING_H

/*
 * Promotions that may still take effect, by any proxy. Each claim of the duty
 * record states the promotions that it may be used for, besides the earlier
 * ones that may still take effect.
 */

#include <celeryquay/relay/relay.h>

struct rpending;

struct rpending *rpending_create(void);
void rpending_destroy(struct rpending *p);

/* The duty record states the promotions of its claim. */
void rpending_on_duty(struct rpending *p, const struct relay_duty *duty,
		      uint64_t now_us);
/* The store may have forgotten claims together with what they stated. */
void rpending_on_store_returned(struct rpending *p, uint64_t now_us);

/*
 * A claim of this proxy is prepared, on condition that the record's revision is
 * `expected`. Plans of earlier claims that were not carried out are dropped.
 */
void rpending_begin_claim(struct rpending *p, uint64_t expected,
			  uint64_t now_us);
/* The claim may be used to promote the server. term: the newest one seen. */
void rpending_plan(struct rpending *p, const char *service, const char *server,
		   uint64_t term, uint64_t now_us);
/*
 * What the claim states; strings are valid until the next call of this module.
 * The caller frees the array.
 */
struct relay_promotion *rpending_list(const struct rpending *p, unsigned *n,
				      uint64_t now_us);
/* Whether the claim made on that condition states the promotion. */
bool rpending_is_planned(const struct rpending *p, const char *service,
			 const char *server, uint64_t expected);

/* The platform is asked to promote the server. */
void rpending_on_sent(struct rpending *p, const char *service,
		      const char *server, uint64_t token, uint64_t now_us);
/*
 * It answered, or the call was given up. False: the service's newest call is
 * another one.
 */
bool rpending_on_answered(struct rpending *p, const char *service,
			  uint64_t token, enum relay_promoted outcome);
/* The service's calls that have no answer are given up; false: none is. */
bool rpending_give_up(struct rpending *p, const char *service);
/* Whether a call with another token awaits its answer. */
bool rpending_is_call_open(const struct rpending *p, uint64_t token);
/* It had accepted the promotion, which has not taken effect for seconds. */
void rpending_on_not_settled(struct rpending *p, const char *service);
/* The server was seen to lead in the term: a promotion took effect. */
void rpending_on_leader(struct rpending *p, const char *service,
			const char *server, uint64_t term);

/* The promotions of a service that may still take effect. */
struct rpending_view {
	unsigned n; /* their number, including unknown ones */
	/* One may take effect soon, also if its server is down now. */
	bool must_be_awaited;
	/*
	 * The server that all of those, or else all, name; NULL: they differ or
	 * are unknown.
	 */
	const char *server;
};

struct rpending_view rpending_of(const struct rpending *p, const char *service,
				 uint64_t now_us);
/*
 * Whether a promotion of a server other than `primary` (may be NULL) may take
 * effect soon.
 */
bool rpending_may_replace(const struct rpending *p, const char *service,
			  const char *primary, uint64_t now_us);

#endif
