#ifndef CELERYQUAY_TESTS_SUPPORT_SIM_H
#define CELERYQUAY_TESTS_SUPPORT_SIM_H

/*
 * A discrete-event simulation on a virtual clock, with seeded faults. Each
 * event belongs to one node; messages between nodes may be delayed, lost,
 * duplicated or reordered. The events of a paused node wait until it resumes;
 * those of a node that is down are dropped.
 */

#include <celeryquay/core/types.h>
#include <glib.h>

#define SIM_MAX_NODES 16
#define SIM_NO_NODE (-1) /* for events that no fault affects */

struct sim;

/*
 * An event's callback. The simulation owns data and frees it after the event,
 * also if the event is dropped.
 */
typedef void (*sim_fn)(void *ctx, void *data);

struct sim_network {
	uint64_t latency_us; /* one way */
	uint64_t jitter_us;
	double loss; /* probability per transmission */
	/*
	 * Delay of the first retransmission of a lost packet, doubled for each
	 * further one. 0: lost packets are not retransmitted.
	 */
	uint64_t retransmit_us;
	double duplicate; /* probability per message */
	double reorder; /* probability of an additional delay */
	uint64_t reorder_us; /* upper limit of that delay */
};

struct sim *sim_create(uint32_t seed, const struct sim_network *network);
void sim_destroy(struct sim *s);
uint64_t sim_now(const struct sim *s);
GRand *sim_rng(struct sim *s);
struct sim_network *sim_network(struct sim *s);
/* Runs all events up to a time. */
void sim_run(struct sim *s, uint64_t until_us);

/* Schedules an event of the node itself, such as a timer. */
void sim_at(struct sim *s, int node, uint64_t delay_us, sim_fn fn, void *ctx,
	    void *data);
/*
 * Sends a message of len bytes. len 0: never duplicated, as a request on a
 * connection.
 */
void sim_send(struct sim *s, int from, int to, uint64_t extra_us, sim_fn fn,
	      void *ctx, void *data, size_t len);

void sim_block(struct sim *s, int from, int to, bool blocked);
void sim_isolate(struct sim *s, int node, bool isolated);
void sim_pause(struct sim *s, int node, uint64_t duration_us);
/*
 * Silent: the host is down and does not answer. Otherwise only the process is
 * down and the host refuses connections.
 */
void sim_down(struct sim *s, int node, bool silent);
void sim_up(struct sim *s, int node);
bool sim_is_down(const struct sim *s, int node);
/* Whether a connection attempt from one node to the other is refused. */
bool sim_refuses(const struct sim *s, int from, int node);
/* Ends partitions and pauses; nodes that are down stay down. */
void sim_heal(struct sim *s);

#endif
