#ifndef CELERYQUAY_SCHED_CONNECTIONS_H
#define CELERYQUAY_SCHED_CONNECTIONS_H

/*
 * Connections to a server that has few of them, each opened for one client
 * account: which one is closed for another account, whether a new one is worth
 * its cost, and which replica an account prefers. Times are microseconds.
 */

#include <stdbool.h>
#include <stdint.h>

/* Time for which opening a connection occupies a slot of the server. */
#define SCONN_OPEN_COST_US (UINT64_C(12) * 1000)

struct sconn_usage;

/* How often each account uses a server's connections. */
struct sconn_usage *sconn_usage_create(void);
void sconn_usage_destroy(struct sconn_usage *u);
/* The account's statement or transaction begins at the server. */
void sconn_usage_note(struct sconn_usage *u, const char *account,
		      uint64_t now_us);
/* Uses a second, as a moving average. */
double sconn_usage_rate(const struct sconn_usage *u, const char *account,
			uint64_t now_us);

/* The idle connections of one account to the server. */
struct sconn_idle {
	const char *account;
	unsigned n_idle;
	unsigned n_busy;
};

/*
 * The index of the account whose least recently used idle connection is closed
 * to make room for one of `account`; -1: none, since all others are needed
 * more.
 */
int sconn_victim(const struct sconn_usage *u, const struct sconn_idle *idle,
		 unsigned n, const char *account, uint64_t now_us);

/*
 * Whether to open a connection for an account rather than wait for one of its
 * own that is in use. n_busy: connections of the account that are in use;
 * n_opening: that are being opened; n_waiting: its statements that wait;
 * service_us: expected service time of one.
 */
bool sconn_should_open(unsigned n_busy, unsigned n_opening, unsigned n_waiting,
		       uint64_t service_us);

/*
 * What reading from the server costs an account more than from the replica that
 * it prefers; at most SCONN_OPEN_COST_US.
 */
uint64_t sconn_read_penalty_us(const char *account, const char *server);

#endif
