#ifndef CELERYQUAY_HARNESS_CLUSTER_H
#define CELERYQUAY_HARNESS_CLUSTER_H

/*
 * A cluster of processes on loopback: a store stand-in, databases of three
 * server stand-ins each, proxies, and optionally a fault proxy between them.
 */

#include "child.h"
#include "ports.h"

#include <celeryquay/client/http.h>

#define CLUSTER_MAX_DATABASES 4
#define CLUSTER_SERVERS_PER_DATABASE 3
#define CLUSTER_MAX_PROXIES 40

struct cluster_database {
	const char *service;
	const char *name;
	const char *init_sql; /* run by the first primary */
	unsigned slots; /* of each server, as configured in the store */
	unsigned connections; /* connection limit of each server */
};

/* The CURVE keys of one proxy for its peers, as written in its settings. */
struct cluster_keys {
	const char *secret;
	const char *public;
	const char *allowed; /* JSON array of public keys */
};

struct cluster_spec {
	unsigned n_databases;
	struct cluster_database databases[CLUSTER_MAX_DATABASES];
	unsigned n_proxies;
	unsigned lag_ms; /* replication lag of the replicas */
	bool faults; /* reach each server through the fault proxy */
	bool peer_faults; /* also each proxy's peers and the store */
	bool durable; /* the servers' log survives a restart */
	unsigned connect_delay_ms;
	unsigned statement_cost_us; /* work per statement; needs workers */
	unsigned workers; /* of each server; 0: statements cost no time */
	const char *extra_settings; /* JSON members for each proxy, or NULL */
	const struct cluster_keys *keys; /* one entry per proxy, or NULL */
	const char *tls_certificate; /* file for both listeners; NULL: no TLS */
	const char *tls_key; /* file */
};

struct cluster_server {
	char name[64];
	const char *database; /* service/name */
	struct child *child;
	int port; /* on which it listens */
	int route_port; /* the fault proxy's port for it, or `port` */
	int control; /* port for control calls */
};

struct cluster_proxy {
	char name[32];
	struct child *child;
	int http; /* port for callers */
	int admin; /* port for operators */
	int peer; /* port for peers */
	int announce; /* the fault proxy's port for its peers; 0: none */
	int store; /* the fault proxy's port for the store; 0: none */
};

struct cluster {
	struct cluster_spec spec;
	char *dir; /* private temporary directory */
	char token[48]; /* of the client account "demo" */
	struct child *store;
	int store_port;
	int store_control; /* port */
	struct child *faults; /* the fault proxy; NULL: none */
	int faults_control; /* port */
	unsigned n_servers;
	struct cluster_server
		servers[CLUSTER_MAX_DATABASES * CLUSTER_SERVERS_PER_DATABASE];
	char *database_names[CLUSTER_MAX_DATABASES];
	struct cluster_proxy proxies[CLUSTER_MAX_PROXIES];
	struct http *http;
	struct ports *ports; /* of proxies and servers, for their restarts */
};

/*
 * Default cluster: the databases of the documentation's first steps,
 * ledger/miles-1 and codebook/codes-1, with three proxies.
 */
void cluster_default(struct cluster_spec *spec);
/* Starts all and waits until every proxy is healthy; NULL and err if not. */
struct cluster *cluster_start(const struct cluster_spec *spec, struct err *err);
void cluster_destroy(struct cluster *c);
/* Starts or restarts proxy `i`, with the other started proxies as seeds. */
bool cluster_start_proxy(struct cluster *c, unsigned i, struct err *err);
/*
 * Starts or restarts server `i`, as primary of the term `primary_term`, or, if
 * that is 0, as a replica of its database's first server.
 */
bool cluster_start_server(struct cluster *c, unsigned i, unsigned primary_term,
			  struct err *err);
/*
 * POSTs a control call, such as "/lag" with {"ms":100}, to a control port;
 * whether the status was 200.
 */
bool cluster_control(struct cluster *c, int port, const char *path,
		     const char *body);
/* Adds or redirects a route of the fault proxy; its port, 0 on failure. */
int cluster_route(struct cluster *c, const char *name, int target);
/* The server that reports the role primary with the highest term, or -1. */
int cluster_primary(struct cluster *c, const char *database);
/*
 * Waits until every proxy's /health gives 200; false after a wide limit, 60 s
 * of pauses between polls.
 */
bool cluster_wait_healthy(struct cluster *c);
/* Prints the ready line of the demo, see README. */
void cluster_print_ready(const struct cluster *c);

#endif
