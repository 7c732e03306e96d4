#ifndef CELERYQUAY_TRANSPORT_SESSION_H
#define CELERYQUAY_TRANSPORT_SESSION_H

/*
 * The connections of client sessions, between a relay and the network: the
 * front has those of callers, each of which is one session; the upstream has
 * those to servers.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/relay/relay.h>
#include <celeryquay/transport/session_codec.h>
#include <uv.h>

struct relay_node;

/*
 * Access to the relay, and its functions that connections call, as relay.h
 * declares them. They are called from the loop, never from within one of the
 * relay's ops.
 */
struct session_host {
	struct relay *(*relay)(struct relay_node *node);
	uint64_t (*now_us)(void);
	/* to be called after each call of the functions below */
	void (*wake)(struct relay_node *node);
	bool (*session_open)(struct relay *r, uint64_t session,
			     const char *database, const char *key,
			     struct relay_answer *answer, uint64_t now_us);
	void (*session_statement)(struct relay *r, uint64_t session,
				  const struct relay_statement *statement,
				  uint64_t now_us);
	void (*session_closed)(struct relay *r, uint64_t session,
			       uint64_t now_us);
	void (*conn_opened)(struct relay *r, uint64_t conn,
			    const struct relay_answer *answer, uint64_t now_us);
	void (*conn_answer)(struct relay *r, uint64_t conn,
			    const struct relay_answer *answer, uint64_t now_us);
	void (*conn_lost)(struct relay *r, uint64_t conn, bool refused,
			  uint64_t now_us);
};

/* The start of the struct that the ctx of the relay's ops points to. */
struct session_endpoints {
	struct session_front *front;
	struct session_upstream *upstream;
};

struct session_setup {
	const struct session_host *host;
	struct relay_node *node;
	uv_loop_t *loop;
	const struct session_codec *codec;
	/* The sessions of a front are numbered from first_number + 1. */
	uint64_t first_number;
};

/* Listens on "IP:PORT". */
struct session_front *session_front_create(const struct session_setup *setup,
					   const char *address,
					   struct err *err);
/*
 * name: sent to servers as the client's name on a connection that belongs to no
 * account.
 */
struct session_upstream *session_upstream_create(
	const struct session_setup *setup, const char *name);
/* Both close every connection without an event to the relay. */
void session_front_destroy(struct session_front *f);
void session_upstream_destroy(struct session_upstream *u);

void session_front_stop_accepting(struct session_front *f);
/* Whether answers wait to be written. */
bool session_front_has_unsent(const struct session_front *f);
uint16_t session_front_port(const struct session_front *f);

/* The relay's ops; see relay.h. */
void session_front_answer(void *ctx, uint64_t session,
			  const struct relay_answer *answer);
void session_front_hang_up(void *ctx, uint64_t session);
void session_upstream_open(void *ctx, uint64_t conn,
			   const struct relay_server_info *server,
			   const char *account);
void session_upstream_send(void *ctx, uint64_t conn,
			   const struct relay_statement *statement);
void session_upstream_close(void *ctx, uint64_t conn);

#endif
