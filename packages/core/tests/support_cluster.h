#ifndef CELERYQUAY_TESTS_SUPPORT_CLUSTER_H
#define CELERYQUAY_TESTS_SUPPORT_CLUSTER_H

/*
 * A simulated cluster: a fake database group and the proxies that serve it (its
 * homes). Each home has a struct failover and a writer that follows the rules
 * of design.md for acknowledging and settling writes. Every answer of a writer
 * is checked against the logs of all servers, when it is given and at the end.
 */

#include "support_fake_db.h"

#include <celeryquay/core/failover.h>

#define CLUSTER_MAX_HOMES 4

struct cluster;

/*
 * The writer's rules. All are on by default; mutation tests switch one off and
 * expect a check to fail.
 */
struct cluster_rules {
	bool ack_needs_majority; /* a majority has received the entry */
	bool ack_in_term; /* count only servers whose term is the entry's */
	bool ack_before_grant; /* ignore servers that granted a later term */
	bool settle_needs_majority; /* as ack_needs_majority, when settling */
	bool settle_before_not_run; /* insert a tombstone before "not run" */
};

struct cluster_settings {
	unsigned n_servers;
	unsigned n_homes;
	struct failover_settings failover;
	struct sim_network network;
	uint64_t write_interval_us; /* between a home's writes, 0: no writes */
	/* Time to reconnect after a call timed out, 0: not simulated. */
	uint64_t connect_us;
	uint64_t syn_retransmit_us; /* added per lost handshake */
};

struct cluster_counts {
	unsigned acknowledged;
	unsigned not_run;
	unsigned unknown;
	unsigned promotions;
	unsigned grants; /* grants that raised a server's granted term */
};

/* Called for each line of a home's decision log. */
typedef void (*cluster_decision_fn)(void *ctx, unsigned home, const char *what,
				    const char *detail);

void cluster_settings_default(struct cluster_settings *s);
/* Starts with server 0 as the primary of term 1 and all others following. */
struct cluster *cluster_create(uint32_t seed,
			       const struct cluster_settings *settings);
/* Starts with replicas only. */
struct cluster *cluster_create_bare(uint32_t seed,
				    const struct cluster_settings *settings);
void cluster_destroy(struct cluster *c);
struct sim *cluster_sim(struct cluster *c);
struct fdb *cluster_db(struct cluster *c);
struct cluster_rules *cluster_rules(struct cluster *c);
struct failover *cluster_failover(struct cluster *c, unsigned home);
int cluster_node(const struct cluster *c, unsigned home);
void cluster_set_decision(struct cluster *c, cluster_decision_fn decision,
			  void *ctx);
void cluster_run_for(struct cluster *c, uint64_t duration_us);
/* The server promoted in the highest term, whether or not homes know it. */
unsigned cluster_primary(const struct cluster *c);
uint64_t cluster_last_ack_at_us(const struct cluster *c);
/* The longest time for which a home held back its writes. */
uint64_t cluster_longest_hold_us(const struct cluster *c);
const struct cluster_counts *cluster_counts(const struct cluster *c);

void cluster_crash_server(struct cluster *c, unsigned server, bool silent);
void cluster_restart_server(struct cluster *c, unsigned server);
void cluster_crash_home(struct cluster *c, unsigned home);
void cluster_restart_home(struct cluster *c, unsigned home);
/* Ends partitions and pauses and restarts the servers and homes down. */
void cluster_heal(struct cluster *c);
void cluster_stop_writes(struct cluster *c);

/* The first violated guarantee, "" if none. */
const char *cluster_violation(const struct cluster *c);
/* Also checks the final log; call it after healing. */
const char *cluster_check_end(struct cluster *c);

#endif
