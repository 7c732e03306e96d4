#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

/*
 * Stand-ins for what surrounds the proxies: the platform's store, its promotion
 * call, the servers of three services, and callers. Each behaves like a sound
 * one unless a case orders otherwise. The proxies are separate processes,
 * started with the command of the deploy file. All addresses are in one random
 * /24 of the loopback range.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define WORLD_PROXIES_MAX 6
#define WORLD_SERVICES 3
#define WORLD_COPIES 3 /* servers of a service */
#define WORLD_SERVERS (WORLD_SERVICES * WORLD_COPIES)
#define WORLD_DB_PRIMARY "dbentry"
#define WORLD_DB_OWN "dbsummary"
#define WORLD_DB_BOUNDED "dbview"

/* A call of POST /promotions, in the order of arrival at the platform. */
struct world_promotion {
	double at_s;
	char holder[32];
	char target[32];
	uint64_t token;
	int status;
};

struct world_options {
	unsigned n_proxies;
	unsigned sync_replicas;
	unsigned promote_ms; /* from the call until the target leads */
	/* From a commit at the primary until a server of the first service
	 * receives it. */
	unsigned receive_ms[WORLD_COPIES];
};

/*
 * Reads TROUBLE, RECORD (file) and CASE_DIR (temporary folder) from the
 * environment; exits with 2 on failure.
 */
void world_start(const struct world_options *options);
/* Ends all processes; exits with the code. */
void world_end(int code) __attribute__((noreturn));
/* Whether the case's disruption is on: TROUBLE isn't 0. */
bool world_trouble(void);
double world_now_s(void);
void world_sleep_until(double at_s);
void world_sleep_ms(unsigned ms);
/* Appends a line with the time since the start to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Proxies. */
void proxy_start(unsigned p);
void proxy_signal(unsigned p, int number);
/* How often it ended without a signal of this program to end it. */
unsigned proxy_own_ends(unsigned p);
/* Whether its readiness address answers 200. */
bool proxy_is_ready(unsigned p);
bool proxies_wait_ready(unsigned n, unsigned timeout_ms);

/* The store. */
uint64_t store_put(const char *key, const void *value, size_t len);

/* Servers; 0 to 2 are the first service's, 0 is its primary at the start. */
void server_crash(unsigned s);
void server_restart(unsigned s);
/* The server and the store don't reach each other, or do again. */
void server_cut_from_store(unsigned s, bool cut);
/* When it last reported to the store. */
double server_beat_s(unsigned s);
/* Whether its log has the commit that the statement of that id made. */
bool server_has(unsigned s, const char *id);
/* Planned: it reports that it is draining, and goes on running. */
void server_drain(unsigned s);
/* Whether the commit was made after another server had been promoted. */
bool commit_was_replaced(const char *id);
const char *server_id(unsigned s);
/* The one of the first service that leads in the highest term, -1: none. */
int server_leader(void);

/*
 * Cuts the proxy whose promotion call arrives next off from the platform, as
 * that call is on the way. Nothing passes while it is cut off, and no new
 * connection is established. When it heals, bytes that were held up arrive,
 * unless their sender has reset the connection.
 */
void platform_cut_next_caller(void);
/* The proxy that is cut off, -1: none. */
int platform_cut_proxy(void);
bool platform_is_cut(unsigned p);
/* The server that the call which was held up names, -1: none was. */
int platform_held_target(void);
void platform_heal(unsigned p);
unsigned promotions_count(void);
struct world_promotion promotion_at(unsigned i);

/* A caller's connection. */
struct caller {
	int fd;
	char *in;
	size_t len, size;
	char code[32]; /* COMPLETE, the word of an ERROR, or CLOSED, SILENT */
	char text[256]; /* signature or text */
	char state;
};

bool caller_open(struct caller *c, unsigned p, const char *db);
/* Sends one statement and waits for its whole answer. */
bool caller_ask(struct caller *c, const char *id, const char *text,
		unsigned timeout_ms);
bool caller_send(struct caller *c, const char *id, const char *text);
bool caller_receive(struct caller *c, unsigned timeout_ms);
void caller_close(struct caller *c);
/* A new id of a statement. */
const char *new_id(char out[24]);

#endif
