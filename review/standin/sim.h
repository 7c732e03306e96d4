#ifndef REVIEW_SIM_H
#define REVIEW_SIM_H

/*
 * What the review's scripts start besides the proxies, in one process with one
 * thread: the platform's store and promotion call, a database of three servers,
 * the load balancer's question, and callers.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define MS UINT64_C(1000)
#define SEC UINT64_C(1000000)

/* Exit codes of a script. */
enum { CASE_HELD, CASE_BROKEN, CASE_NOT_RUN };

typedef void (*sim_fn)(void *data);

/* Opens record.txt in the case's folder; ends the process on failure. */
void sim_init(const char *folder);
/* Microseconds since sim_init(), by the steady clock. */
uint64_t sim_now(void);
/* Calls fn once at that time. */
void sim_at(uint64_t at_us, sim_fn fn, void *data);
void sim_run_until(uint64_t at_us);
/* Writes a line with the time to the record. */
void sim_record(const char *format, ...) G_GNUC_PRINTF(1, 2);
/* Ends all proxies, writes the verdict and ends the process. */
G_NORETURN void sim_end(int code, const char *why);

/* A value of NULL deletes the key. */
void store_put(const char *key, const char *value, gssize len);

/* A server of the database "db", of term 1 at first. */
struct server {
	char id[16];
	uint16_t port;
	bool leads;
	bool draining;
	bool down; /* its process ended */
	bool receives_nothing;
	uint64_t term;
	uint64_t held; /* the term of a PAUSE; 0: none */
	GArray *log; /* of unsigned: numbers of commits */
};

/* A write that was asked for; `acked` once its caller was told. */
struct commit {
	char *id;
	bool acked;
	uint64_t acked_us;
};

/* How many replicas must have received a commit before it is acknowledged. */
extern unsigned servers_sync_replicas;
/* Commits by number; 0 is unused. */
extern GArray *servers_commits;
/* The server that the last promotion made primary, and what it had. */
extern struct server *servers_promoted;

struct server *server_add(const char *id, bool leads);
/* Writes the server's entry. */
void server_list(struct server *s);
/* The server's process ends; its entry goes after three heartbeats. */
void server_crash(struct server *s);
bool server_has(const struct server *s, unsigned commit);

/* The configuration: one route for each type of database. */
void config_put(unsigned version, unsigned timeout_ms);

struct proxy {
	char name[16];
	char address[24];
	char *settings;
	pid_t pid; /* 0: not running */
	unsigned n_ended; /* how often its process ended by itself */
	bool stopping;
	unsigned misses; /* of the balancer's questions, in a row */
	uint64_t asked_us; /* when the balancer last asked */
};

struct proxy *proxy_add(const char *name);
void proxy_start(struct proxy *p);
void proxy_stop(struct proxy *p); /* SIGTERM, and SIGKILL after graceS */
bool proxies_are_ready(void);
/* Starts all proxies; returns once each counts as ready. */
void sim_start_proxies(void);

/* A caller: a connection on which one statement at a time is sent. */
struct caller {
	struct proxy *proxy;
	char name[16];
	void *link;
	bool open; /* READY was received after STARTUP */
	bool ended; /* the other end closed */
	bool waiting; /* a statement has no complete answer yet */
	char id[24]; /* of the last statement */
	uint64_t sent_us;
	uint64_t ended_us;
	char code[32]; /* of the last answer: "COMPLETE" or the error's word */
	GString *answer;
	sim_fn on_answer; /* NULL: none */
	unsigned n_sent;
};

struct caller *caller_open(struct proxy *p, const char *database,
			   const char *name);
void caller_send(struct caller *c, const char *text);
void caller_close(struct caller *c);

#endif
