#ifndef STANDIN_SERVER_STATE_H
#define STANDIN_SERVER_STATE_H

/*
 * The file that keeps a server's log, grants and role, so that a process that
 * was killed comes back with all that it had promised. Records are appended;
 * reading them back in order gives the state.
 */

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "server_log.h"

struct state_file;

struct state_role {
	bool primary;
	uint64_t term; /* the own one of a primary, the followed one's else */
	const char *following;
};

/* What loading calls for each record. */
struct state_ops {
	void (*entry)(void *user, struct log_entry *entry);
	void (*cut)(void *user, uint64_t last);
	void (*granted)(void *user, uint64_t term, const char *holder);
	void (*role)(void *user, const struct state_role *role);
};

struct state_file *state_open(const char *dir, const char *name,
			      const struct state_ops *ops, void *user);
void state_close(struct state_file *file);

void state_entry(struct state_file *file, const struct log_entry *entry);
void state_cut(struct state_file *file, uint64_t last);
void state_granted(struct state_file *file, uint64_t term, const char *holder);
void state_role(struct state_file *file, const struct state_role *role);

#endif
