#ifndef CELERYQUAY_CORE_ADMIT_H
#define CELERYQUAY_CORE_ADMIT_H

/*
 * Admission queue of a server's slots: weighted fair queueing between callers,
 * priorities within a caller, shares per profile and caller, deadlines. A
 * request that can't be run before its deadline is refused at once with the
 * time after which a retry makes sense. Entries are owned by the user of the
 * queue.
 */

#include <celeryquay/core/model.h>
#include <celeryquay/core/types.h>

struct admit;

/* A request in the queue or in a slot. */
struct admit_entry {
	struct str caller; /* must live as long as the entry is queued */
	const struct profile *profile;
	unsigned caller_share; /* weight, in percent */
	uint64_t deadline_us; /* instant */
	void *user;
	/* The rest is set by admit. */
	uint64_t queued_at_us;
	struct admit_flow *flow;
	struct admit_profile_state *profile_state;
	double estimate_us; /* expected service time */
	uint64_t started_us; /* instant */
	GList *link;
};

struct admit *admit_create(unsigned slots);
void admit_destroy(struct admit *a);
void admit_set_slots(struct admit *a, unsigned slots);

/*
 * Queues an entry, or refuses it: OVERLOADED or SHARE_USED_UP with
 * *retry_after_us set. The queue keeps no pointer to a refused entry.
 */
bool admit_push(struct admit *a, struct admit_entry *e, uint64_t now_us,
		uint64_t *retry_after_us, struct err *err);
/* Takes a free slot for the next entry to run; NULL: none. */
struct admit_entry *admit_pop(struct admit *a, uint64_t now_us);
/* Removes a queued entry (caller gone, routed elsewhere). */
void admit_remove(struct admit *a, struct admit_entry *e);
/* Removes an entry whose deadline can't be met any more; NULL: none. */
struct admit_entry *admit_pop_expired(struct admit *a, uint64_t now_us);
/* Frees a popped entry's slot; its service time updates the estimate. */
void admit_done(struct admit *a, struct admit_entry *e, uint64_t service_us);
unsigned admit_queued(const struct admit *a);
unsigned admit_running(const struct admit *a);
/* The expected time to run all queued requests; 0 when none is queued. */
uint64_t admit_backlog_us(const struct admit *a);
/* The expected service time of a profile's request. */
uint64_t admit_expected_service_us(const struct admit *a,
				   const struct profile *profile);
/* How long a request of this caller and profile would wait if pushed now. */
uint64_t admit_predict_wait_us(const struct admit *a, struct str caller,
			       const struct profile *profile,
			       unsigned caller_share, uint64_t now_us);

#endif
