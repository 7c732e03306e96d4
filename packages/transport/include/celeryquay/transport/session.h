#ifndef CELERYQUAY_TRANSPORT_SESSION_H
#define CELERYQUAY_TRANSPORT_SESSION_H

/*
 * The connections of sessions, between a relay and the wire: the front has
 * those of callers, each of which is one session, the upstream those to
 * servers.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/relay/relay.h>
#include <celeryquay/transport/session_codec.h>
#include <uv.h>

struct relay_node;

/*
 * Who has the relay, and its functions that connections call, as relay.h
 * declares them. They are called from the loop, never from within an op.
 */
struct session_host {
	struct relay *(*relay)(struct relay_node *node);
	uint64_t (*now_us)(void);
	void (*wake)(struct relay_node *node); /* after each of the others */
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

/* What the ctx of the relay's ops begins with. */
struct session_ends {
	struct session_front *front;
	struct session_upstream *upstream;
};

struct session_setup {
	const struct session_host *host;
	struct relay_node *node;
	uv_loop_t *loop;
	const struct session_codec *codec;
	uint64_t first_number; /* a front's sessions count from it */
};

/* Listens on "IP:PORT". */
struct session_front *session_front_create(const struct session_setup *setup,
					   const char *address,
					   struct err *err);
/* name: what servers are told where a connection is of no account. */
struct session_upstream *session_upstream_create(
	const struct session_setup *setup, const char *name);
/* They close every connection without a word to the relay. */
void session_front_destroy(struct session_front *f);
void session_upstream_destroy(struct session_upstream *u);

void session_front_stop_accepting(struct session_front *f);
uint16_t session_front_port(const struct session_front *f);

/* The relay's ops. */
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
