#ifndef CELERYQUAY_TESTS_SUPPORT_DURABLE_H
#define CELERYQUAY_TESTS_SUPPORT_DURABLE_H

/*
 * Changes of primary in a service whose commits must reach a replica before
 * they are acknowledged. Each path is played with orders and times of events
 * that are drawn from seeds; no acknowledged commit may be lost, and writes
 * must succeed again.
 */

#include "support_story.h"

#define DURABLE_SEEDS 40
#define DURABLE_RELAYS 3
/* A proxy that starts waits for that long for servers that it can't know. */
#define DURABLE_START_WAIT_US (10 * USEC_PER_SEC)
/* Acknowledged in a second by three callers; about 300 without a fault. */
#define DURABLE_ACKNOWLEDGED_MIN 50
/* From a crash until writes succeed at a server that has all commits. */
#define DURABLE_FAILOVER_MAX_US (4 * USEC_PER_SEC)
/* Until a server that left the list is given up, and one is promoted. */
#define DURABLE_GIVEN_UP_US (20 * USEC_PER_SEC)

/* The primary and both replicas at the start. */
enum { PRIMARY, HOLDER, BEHIND };

struct durable_path {
	const char *name;
	void (*play)(struct fake *f);
};

/* No seed may show a violation. */
void durable_check_path(const struct durable_path *path);
/* The first and only promotion so far is made by then. */
void durable_check_promotion(struct fake *f, uint64_t within_us);

struct fake *durable_start(uint32_t seed);
struct fake *durable_start_with(uint32_t seed, unsigned sync_replicas);
/* Opens a writing session at each proxy that has none. */
void durable_open_writers(struct fake *f);
/* Runs for a time that is drawn from that range, which excludes to_ms. */
void durable_run_for(struct fake *f, unsigned from_ms, unsigned to_ms);
/* The server crashes and is back, with its log, within 11 s. */
void durable_crash_for(struct fake *f, unsigned server, unsigned least_ms);
/* The same, after 2 s at the least. */
void durable_crash_for_a_while(struct fake *f, unsigned server);
/* Leaves; a new server has its log within a second of its end. */
void durable_leave(struct fake *f, unsigned server, uint64_t drain_us);
void durable_stop_receiving(struct fake *f, unsigned server);
/* After that many milliseconds. */
void durable_receive_again(struct fake *f, unsigned server, unsigned ms);
/* The replica goes on receiving, but its entry expires. */
void durable_lose_the_store(struct fake *f, unsigned server);
void durable_reach_the_store(struct fake *f, unsigned server);
/* One after the other, or all at once if gap_to_ms is 0. */
void durable_restart_relays(struct fake *f, unsigned gap_from_ms,
			    unsigned gap_to_ms);

#endif
