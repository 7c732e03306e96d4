#ifndef CELERYQUAY_DAEMON_ENTRY_PRIVATE_H
#define CELERYQUAY_DAEMON_ENTRY_PRIVATE_H

/*
 * Shared by the entry files. An exchange is one caller's request from its
 * arrival to its answer.
 */

#include "entry.h"

#include <celeryquay/core/retry.h>
#include <celeryquay/core/session.h>

/* Separates the home's name from the group's own id in a transaction id. */
#define TRANSACTION_SEPARATOR '~'

struct exchange {
	struct node_waiter waiter; /* must be the first member */
	struct entry *entry;
	uint64_t id; /* part of the correlation of every attempt */
	struct front_request *fr; /* NULL once the caller has disconnected */
	struct request *request;
	struct session session;
	struct item *profile; /* reference; NULL when the request names none */
	struct item *database;
	unsigned caller_share; /* weight, in percent */
	uint64_t arrived_at_us;
	uint64_t deadline_at_us;
	uint64_t sent_at_us; /* time of the latest attempt; 0: none yet */
	uint64_t incarnation; /* of the home, as known at sent_at_us */
	uint64_t retry_at_us; /* time of the next attempt; 0: none is planned */
	unsigned attempts;
	bool local; /* the home is this proxy */
	/* The transaction's home is lost; another finds the outcome. */
	bool settling;
	char home[64]; /* of the latest attempt; at first a transaction's */
};

struct entry {
	struct node *node;
	GHashTable *exchanges; /* id -> struct exchange */
	uint64_t next_id;
	struct retry_budget budget;
	struct counter *requests;
	struct counter *retries;
	struct counter *homes_lost;
	struct counter *latency;
};

/* entry_log.c */
void entry_log_dispatch(const struct exchange *x, const char *why);
void entry_log_request(const struct exchange *x, const struct answer *a,
		       uint64_t now_us);
void entry_log_refused(const struct request *r, const struct err *err);

/* entry_send.c: sends an exchange to homes and handles their answers */
const char *exchange_database(const struct exchange *x);
bool exchange_within_transaction(const struct exchange *x);
/* The correlation that an answer to the latest attempt carries. */
uint64_t exchange_correlation(const struct exchange *x);
uint64_t exchange_id(uint64_t correlation);
void exchange_dispatch(struct exchange *x, const char *why);
void exchange_on_answer(struct exchange *x, struct answer *a);
/* gone: all that the home ran has ended; false: it may still be running */
void exchange_on_home_lost(struct exchange *x, bool gone);
void exchange_on_deadline(struct exchange *x);

#endif
