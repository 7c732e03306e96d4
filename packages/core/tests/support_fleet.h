#ifndef CELERYQUAY_CORE_SUPPORT_FLEET_H
#define CELERYQUAY_CORE_SUPPORT_FLEET_H

/*
 * A simulated fleet of nodes that exchange messages on a virtual clock, with
 * seeded delays, message loss and partitions. Node i is named n<i> (four
 * digits, as n0006) and is in data centre i % data_centres; data centre d is
 * in region d % regions.
 */

#include <celeryquay/core/confsync.h>
#include <celeryquay/core/member.h>

struct fleet;

struct fleet_settings {
	unsigned n; /* number of nodes, running or not */
	unsigned data_centres;
	unsigned regions;
	double loss; /* share of messages that are lost, 0 to 1 */
	uint64_t tick_us; /* interval between a node's ticks */
	uint32_t seed; /* of the fleet's random numbers */
	bool confsync; /* nodes also synchronize the configuration */
	struct member_settings members;
	struct confsync_settings spread;
};

struct fleet_hooks {
	void (*changed)(void *ctx, unsigned node, const struct member_info *m);
	void (*in_force)(void *ctx, unsigned node, struct item *item);
	void (*rejected)(void *ctx, unsigned node, const char *key,
			 uint64_t revision);
	/* Whether to drop a message, in addition to loss and partitions. */
	bool (*blocked)(void *ctx, unsigned from, unsigned to);
};

enum fleet_kind { FLEET_GOSSIP, FLEET_CONF, FLEET_KIND_COUNT };

/* Totals over all nodes since fleet_reset_counts(). */
struct fleet_counts {
	uint64_t messages[FLEET_KIND_COUNT];
	uint64_t bytes[FLEET_KIND_COUNT];
	uint64_t max_node_bytes[FLEET_KIND_COUNT]; /* the most sent by one node
						    */
	uint64_t largest[FLEET_KIND_COUNT]; /* size of the largest message */
	/* Transport links: opened on use, closed after 15 s without use. */
	uint64_t links_opened;
	uint64_t cpu_ns[FLEET_KIND_COUNT];
	uint64_t malformed; /* messages refused by their receiver */
};

void fleet_settings_default(struct fleet_settings *s, unsigned n);
struct fleet *fleet_create(const struct fleet_settings *settings,
			   const struct fleet_hooks *hooks, void *ctx);
void fleet_destroy(struct fleet *f);
uint64_t fleet_now(const struct fleet *f);
/* Advances the clock, running the events that fall due. */
void fleet_run(struct fleet *f, uint64_t duration_us);
typedef bool (*fleet_condition_fn)(struct fleet *f, void *ctx);
/* Runs until the condition, checked every step_us, holds or limit_us passed. */
bool fleet_run_until(struct fleet *f, fleet_condition_fn condition, void *ctx,
		     uint64_t step_us, uint64_t limit_us);

/* Starts a node as a new process; its seeds are nodes 0 to 2, less itself. */
void fleet_start(struct fleet *f, unsigned node);
/* Starts n nodes from node `first` on. */
void fleet_start_all(struct fleet *f, unsigned first, unsigned n);
/* Sets the clock error that the node's next process starts with. */
void fleet_set_clock_offset(struct fleet *f, unsigned node, int64_t offset_us);
/* Ends the process without notice to the other nodes. */
void fleet_kill(struct fleet *f, unsigned node);
/* Stops or resumes the process; messages queue up while it is paused. */
void fleet_set_paused(struct fleet *f, unsigned node, bool paused);
/* Messages between partitions are lost. All nodes begin in partition 0. */
void fleet_set_partition(struct fleet *f, unsigned node, unsigned partition);
/* Sets the share of messages that are lost. */
void fleet_set_loss(struct fleet *f, double loss);

unsigned fleet_size(const struct fleet *f);
/* Counts the node's processes from 1; 0 while the node is not running. */
unsigned fleet_generation(const struct fleet *f, unsigned node);
bool fleet_is_up(const struct fleet *f, unsigned node);
const char *fleet_name(const struct fleet *f, unsigned node);
const char *fleet_data_centre(const struct fleet *f, unsigned node);
const char *fleet_region(const struct fleet *f, unsigned node);
struct members *fleet_members(struct fleet *f, unsigned node);
struct confsync *fleet_confsync(struct fleet *f, unsigned node);
struct model *fleet_model(struct fleet *f, unsigned node);
/* The state of node b in node a's table; MEMBER_LEFT if it is not there. */
enum member_state fleet_view(struct fleet *f, unsigned a, unsigned b);
/*
 * Wrong entries in the tables of all running nodes: a running node not seen as
 * live, or a stopped one seen as live.
 */
unsigned fleet_wrong_views(struct fleet *f);
void fleet_reset_counts(struct fleet *f);
void fleet_counts(const struct fleet *f, struct fleet_counts *out);
/* Delivers a message to a node as if member `from` had sent it. */
bool fleet_inject(struct fleet *f, unsigned node, enum fleet_kind kind,
		  const char *from, struct str bytes, struct err *err);
/* The last message of a kind that any node sent; for mutation tests. */
GBytes *fleet_last_message(struct fleet *f, enum fleet_kind kind);

#endif
