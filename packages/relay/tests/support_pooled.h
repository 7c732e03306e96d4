#ifndef CELERYQUAY_TESTS_SUPPORT_POOLED_H
#define CELERYQUAY_TESTS_SUPPORT_POOLED_H

/*
 * A fleet of proxies of two sizes in front of one group of servers whose homes
 * are pooled, and loads: statements that arrive at a given rate, whether
 * earlier ones have been answered or not.
 */

#include "support_history.h"

#define POOLED_RELAYS 12
/* Of a server; too few for each proxy to have some: 5 homes if not pooled. */
#define POOLED_CONNECTIONS 25

/* Statements of one kind and account. Zero-initialized. */
struct load {
	enum relay_kind kind;
	unsigned account;
	double per_s;
	double writes; /* share of the statements */
	unsigned avoid; /* bit set of the relays at which it has no callers */
	/* The rest is set by the load. */
	struct fake *fake;
	GPtrArray *idle[MAX_RELAYS]; /* sessions without a statement */
	bool stopped;
	uint64_t since_us; /* earlier statements are not counted */
	unsigned n_sent;
	unsigned n_ok;
	unsigned n_in_time; /* of n_ok, within FAKE_LATENCY_TARGET_US */
	unsigned n_refused; /* with a code that says that it did not run */
	unsigned n_without_retry_time; /* of these, no time to retry was told */
	unsigned n_refused_late; /* of these, after the statement's timeout */
	unsigned n_in_doubt;
	unsigned n_failed; /* with any other code */
	uint64_t last_in_doubt_us; /* when the last of these was sent */
};

/* The usual options of a pooled fleet without accounts. */
struct fake_options pooled_options(void);
/* Creates the fake, and lets the proxies connect. */
struct fake *pooled_start(uint32_t seed, const struct fake_options *o);
/* Checks the history, and frees the fake. */
void pooled_end(struct fake *f);
const struct rservice *pooled_service(const struct fake *f, unsigned relay);
/* The proxy with that rank among all; 0 is the first home. */
unsigned pooled_ranked(const struct fake *f, unsigned rank);
/* Ends the relay's process, and its connections with it. */
void pooled_kill(struct fake *f, unsigned relay);
/* Blocks all of the relay's messages to others, both ways, or none. */
void pooled_isolate(struct fake *f, unsigned relay, bool isolated);
/* Callers' statements that servers ran for all relays. */
unsigned pooled_ran(const struct fake *f);

void load_start(struct fake *f, struct load *l);
/* No more statements are sent. */
void load_stop(struct load *l);
/* Counts only the statements that are sent from now on. */
void load_reset(struct load *l);
/* The number of statements that have an answer. */
unsigned load_answered(const struct load *l);
void load_free(struct load *l);

#endif
