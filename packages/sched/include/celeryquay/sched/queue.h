#ifndef CELERYQUAY_SCHED_QUEUE_H
#define CELERYQUAY_SCHED_QUEUE_H

/*
 * The queue of statements that wait for the servers of one service: by
 * priority, fair between client accounts, then by deadline of the latency
 * target. It predicts how long a statement would wait. Entries are owned by the
 * user of the queue. Times are microseconds.
 */

#include <celeryquay/base/str.h>

struct squeue;
struct squeue_flow;

/* A statement in the queue. */
struct squeue_entry {
	unsigned priority; /* 0 is the highest */
	const char *account; /* copied by squeue_push(); "": none */
	unsigned weight; /* of the account; at least 1 */
	bool primary_only; /* no replica may run it */
	bool begun; /* its operation has run a statement already */
	uint64_t due_us; /* instant at which its latency target ends */
	uint64_t cost_us; /* expected service time */
	void *user;
	/* The rest is set by the queue. */
	struct squeue_flow *flow;
	double start_tag; /* virtual time at which it is to start */
	uint64_t number; /* order of arrival */
	bool late; /* counted as unable to meet its latency target */
	GSequenceIter *at; /* NULL: not in a queue */
	GSequenceIter *at_due; /* of those that are not late */
};

/* What runs, and what could run at once, at a service's servers. */
struct squeue_room {
	unsigned primary_slots; /* 0: no usable primary */
	unsigned replica_slots; /* of the replicas that may run reads */
	uint64_t primary_work_us; /* expected service time left there */
	uint64_t replica_work_us;
};

struct squeue *squeue_create(void);
/* The queue must be empty. */
void squeue_destroy(struct squeue *q);
void squeue_push(struct squeue *q, struct squeue_entry *e, uint64_t now_us);
/* Takes an entry out because it starts. */
void squeue_start(struct squeue *q, struct squeue_entry *e);
/* Takes an entry out that won't start: it is refused, or its caller is gone. */
void squeue_cancel(struct squeue *q, struct squeue_entry *e);
/*
 * Corrects the account's virtual time once the service time of a statement is
 * known: cost_us is what was expected for it.
 */
void squeue_charge(struct squeue *q, const char *account, unsigned weight,
		   uint64_t cost_us, uint64_t service_us);
/*
 * The entries in the order in which they are to start; NULL: no more.
 * squeue_first() first moves those that can't meet their target any more behind
 * the others. An entry may be taken out once the next one is known.
 */
struct squeue_entry *squeue_first(struct squeue *q, uint64_t now_us);
struct squeue_entry *squeue_next(const struct squeue_entry *e);
unsigned squeue_length(const struct squeue *q);

/*
 * Predicts the waits of entries, visited in the order in which they are to
 * start. Zero-initialized.
 */
struct squeue_forecast {
	uint64_t primary_work_us; /* ahead, for the primary alone */
	uint64_t read_work_us; /* ahead, for any server */
};

/*
 * How long the entry waits behind those visited before; UINT64_MAX: nothing may
 * run it now. Counts the entry as visited.
 */
uint64_t squeue_forecast_us(struct squeue_forecast *f,
			    const struct squeue_entry *e,
			    const struct squeue_room *room);

/* What waits, for operators. */
struct squeue_count {
	const char *account;
	unsigned priority;
	unsigned n;
	uint64_t work_us; /* expected service time */
};
/* Calls fn once for each account and priority with entries. */
void squeue_each_count(const struct squeue *q,
		       void (*fn)(const struct squeue_count *count, void *ctx),
		       void *ctx);

#endif
