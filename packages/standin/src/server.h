#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

/*
 * The state of one server that its parts share, the tick that runs them, and
 * the faults that it was told to play.
 */

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <uv.h>

#include "server_sql.h"

struct node;
struct repl;
struct session;
struct service;

struct server_options {
	char *name;
	char *listen;
	char *control;
	char **peers;
	char *follow;
	char *init;
	char *state_dir;
	char *password;
	gint64 primary_term;
	int connection_limit;
	int connect_delay_ms;
	int lag_ms;
	int receive_lag_ms;
	int statement_cost_us;
	int workers;
	int idle_writer_ms;
	gboolean exit_with_stdin;
};

struct server_counts {
	uint64_t accepted;
	uint64_t refused_connections;
	uint64_t connections_max;
	uint64_t transactions;
	uint64_t commits;
	uint64_t rollbacks;
	uint64_t errors;
	uint64_t statements;
	uint64_t reads;
	uint64_t writes;
	uint64_t functions;
	uint64_t controls;
	uint64_t pulls;
	uint64_t dropped_answers;
	uint64_t idle_writers_ended;
};

struct server {
	uv_loop_t *loop;
	const struct server_options *options;
	uint64_t lag_us;
	uint64_t receive_lag_us;
	GHashTable *peers; /* name to "host:port" */

	struct sql *sql;
	struct node *node;
	struct repl *repl;
	struct service *service;

	uv_tcp_t listener;
	uv_idle_t tick;
	uv_timer_t apply;
	uv_timer_t housekeeping;
	uv_timer_t pause;
	GQueue sessions;
	GQueue runnable;
	unsigned clients;
	bool changed; /* the status changed since waiters were last looked at */

	struct session *writer; /* has the write lock */
	GQueue lock_waiters;

	bool paused;
	GHashTable *partition; /* names that are cut off, "client" for all */
	unsigned drop_answers;

	struct server_counts counts;
};

struct server *server_create(uv_loop_t *loop,
			     const struct server_options *options);
void server_destroy(struct server *srv);
bool server_listen(struct server *srv);
int server_port(const struct server *srv);

void server_kick(struct server *srv);
void server_changed(struct server *srv);

bool server_cut_off(const struct server *srv, const char *peer);
void server_set_partition(struct server *srv, GHashTable *names);
void server_pause(struct server *srv, uint64_t ms);
void server_silence(struct server *srv);
void server_heal(struct server *srv);
bool server_set_peer(struct server *srv, const char *name, const char *address);

#endif
