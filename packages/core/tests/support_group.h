#ifndef CELERYQUAY_TESTS_SUPPORT_GROUP_H
#define CELERYQUAY_TESTS_SUPPORT_GROUP_H

/*
 * A test rig: the homes of one database (the proxies that serve it), each a
 * struct group on its own node, with a fake database group on the virtual
 * clock.
 */

#include "support_fake_upstream.h"

#include "group_internal.h"

#define RIG_MAX_HOMES 4

struct rig;

struct rig_settings {
	unsigned n_servers;
	unsigned n_homes;
	struct sim_network network;
	struct group_settings group;
	unsigned slots; /* per server, as configured */
	unsigned connections; /* limit per server, enforced by the fake too */
};

/* One request and its answer. */
struct rig_call {
	struct rig *rig;
	unsigned home; /* to which it is sent */
	struct request *request;
	struct profile profile;
	uint64_t trip;
	uint64_t sent_us; /* when it was sent */
	unsigned answers; /* number of answers received */
	uint64_t answered_us; /* when it was last answered */
	enum outcome outcome;
	enum err_code code;
	uint64_t retry_after_us;
	char *results;
	struct position seen;
	char server[64];
	bool by_primary;
	uint64_t age_us;
	bool repeated;
	char *transaction;
};

void rig_settings_default(struct rig_settings *s);
/* Starts with server 0 as the primary of term 1 and all others following. */
struct rig *rig_create(uint32_t seed, const struct rig_settings *settings);
void rig_destroy(struct rig *r);
struct sim *rig_sim(struct rig *r);
struct fdb *rig_db(struct rig *r);
struct fake_sql *rig_sql(struct rig *r);
struct group *rig_group(struct rig *r, unsigned home);
struct upstream *rig_upstream(struct rig *r, unsigned home);
int rig_node(const struct rig *r, unsigned home);
void rig_run_for(struct rig *r, uint64_t duration_us);
/* Runs until the call is answered, or for timeout_us. True if answered. */
bool rig_wait(struct rig *r, struct rig_call *c, uint64_t timeout_us);
/* Ends a home's process. */
void rig_crash_home(struct rig *r, unsigned home);
/* Starts a new process in its place. */
void rig_restart_home(struct rig *r, unsigned home);
/* Whether the home is down or has missed its ticks. */
bool rig_home_unresponsive(const struct rig *r, unsigned home);
/* The primary of the highest term. */
unsigned rig_primary(struct rig *r);
/* The rig's configuration, for group_reconfigure(). */
struct database_conf *rig_conf(struct rig *r);

/* Creates a call without sending it; its key is "k<trip>", its caller "van". */
struct rig_call *rig_call(struct rig *r, unsigned home, enum access access,
			  uint64_t trip);
/* Adds a statement with one parameter. */
void rig_add(struct rig_call *c, const char *sql, int64_t param);
void rig_send(struct rig_call *c);
/* Sends a write that stores the trip. */
struct rig_call *rig_write(struct rig *r, unsigned home, uint64_t trip);
/* Sends a read of all trips, with data of at most this age. */
struct rig_call *rig_read(struct rig *r, unsigned home, uint64_t max_age_us,
			  struct position seen);
/* Whether the call's results contain the trip. */
bool rig_result_contains(const struct rig_call *c, uint64_t trip);

#endif
