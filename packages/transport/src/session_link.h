#ifndef CELERYQUAY_TRANSPORT_SESSION_LINK_H
#define CELERYQUAY_TRANSPORT_SESSION_LINK_H

/*
 * Common parts of the connections to callers and to servers: numbers, one read
 * buffer for all, writes, deferred calls and deadlines. A front and an upstream
 * begin with a group, their connections with a link.
 */

#include <celeryquay/transport/session.h>

#define SESSION_READ_BYTES (64 * 1024)

struct session_group;

struct session_link {
	uv_tcp_t tcp;
	struct session_group *group;
	uint64_t number;
	bool has_deadline; /* its entry in `deadlines` is in force */
};

struct session_group_ops {
	/* empty: end of stream or read error */
	void (*read)(struct session_link *l, struct str in);
	/* The call requested by session_link_defer(). */
	void (*on_deferred)(struct session_link *l);
	void (*on_deadline)(struct session_link *l);
	void (*write_failed)(struct session_link *l);
	/* Frees what the link owns; the link itself is freed afterwards. */
	void (*clear)(struct session_link *l);
};

struct session_group {
	const struct session_group_ops *ops;
	struct session_setup setup;
	uv_idle_t deferred_idle; /* runs while `deferred` isn't empty */
	uv_timer_t timer; /* expires at the oldest deadline in force */
	unsigned open_handles; /* handles not closed yet */
	unsigned deadline_ms;
	GHashTable *links; /* number -> struct session_link */
	GArray *deferred; /* numbers of the links with a deferred call */
	GQueue deadlines; /* struct deadline, oldest first */
	GString *out; /* the bytes that session_link_send() sends */
	char buffer[SESSION_READ_BYTES];
};

void session_group_init(struct session_group *g,
			const struct session_setup *setup,
			const struct session_group_ops *ops,
			unsigned deadline_ms);
/* The relay. Call session_group_wake() after a call of one of its functions. */
struct relay *session_group_relay(const struct session_group *g);
void session_group_wake(const struct session_group *g);
void session_group_close(struct session_group *g);
struct session_link *session_group_find(struct session_group *g,
					uint64_t number);
/* Close callback for a further handle of the group; its data is the group. */
void session_group_on_closed(uv_handle_t *handle);

void session_link_add(struct session_link *l, struct session_group *g,
		      uint64_t number);
bool session_link_is_closing(const struct session_link *l);
void session_link_remove(struct session_link *l);
/* These two return a libuv error or 0. */
int session_link_send(struct session_link *l);
int session_link_read(struct session_link *l);
void session_link_defer(struct session_link *l);
void session_link_start_deadline(struct session_link *l);

#endif
