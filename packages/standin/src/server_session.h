#ifndef STANDIN_SERVER_SESSION_H
#define STANDIN_SERVER_SESSION_H

/*
 * One client connection: its socket, its buffers, the messages that arrive,
 * and what it waits for.
 */

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <uv.h>

#include "server_exec.h"
#include "server_txn.h"

struct server;

enum session_phase {
	PHASE_STARTUP,
	PHASE_PASSWORD,
	PHASE_DELAY,
	PHASE_READY,
};

enum session_park {
	PARK_NONE,
	PARK_DELAY,
	PARK_LOCK,
	PARK_WAIT,
	PARK_PULL,
	PARK_WORK,
};

/* What a parked cq_wait() or cq_pull() waits for. */
struct session_wait {
	bool asked;
	bool done;
	uint64_t term;
	uint64_t received;
	uint64_t applied;
	uint64_t granted;
	uint64_t timeout_ms;
};

struct session {
	struct server *srv;
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned open_handles;
	GList link; /* in the server's list of sessions */

	enum session_phase phase;
	enum session_park park;
	char *peer; /* "client", or the name of a server */
	bool counted;
	bool runnable;
	bool silent; /* for good */
	bool eof;
	bool closing;
	bool aborted; /* to be closed without sending what it has */
	bool dead; /* ended, but its client must not see that yet */
	bool writing;
	uint64_t active_us;
	uint64_t cut_off_us; /* since when it has been seen cut off, or 0 */

	GByteArray *in;
	size_t in_at;
	GByteArray *out;

	struct txn txn;
	struct exec exec;
	struct session_wait wait;
};

void session_accept(struct server *srv);
void session_run(struct session *s);
void session_wake(struct session *s);
void session_park(struct session *s, enum session_park park,
		  uint64_t timeout_ms);
bool session_cut_off(const struct session *s);
void session_update_reading(struct session *s);
void session_end(struct session *s, const char *state, const char *message);
void session_abort(struct session *s);
void session_close(struct session *s);

#endif
