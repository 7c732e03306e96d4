#ifndef STANDIN_SERVER_NODE_H
#define STANDIN_SERVER_NODE_H

/*
 * One server of a group: its role, term and grants, its log, and how far the
 * log is applied to its database.
 */

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "server_log.h"
#include "server_sql.h"

struct server;
struct node;

/* What cq_wait() watches. */
struct node_mark {
	uint64_t term;
	uint64_t received;
	uint64_t applied;
	uint64_t granted;
};

struct node *node_create(struct server *srv);
void node_destroy(struct node *node);
bool node_start(struct node *node);

bool node_is_primary(const struct node *node);
bool node_can_write(const struct node *node);
bool node_can_receive(const struct node *node);
struct node_mark node_mark(const struct node *node);
struct slog *node_log(const struct node *node);
uint64_t node_followed_term(const struct node *node);
const char *node_following(const struct node *node);

bool node_grant(struct node *node, uint64_t term, const char *holder);
bool node_promote(struct node *node, uint64_t term, const char *holder);
bool node_follow(struct node *node, uint64_t term, const char *server);
void node_set_leaving(struct node *node, bool leaving);

bool node_commit(struct node *node, struct sql_handle *handle,
		 const GByteArray *record, struct log_position *at,
		 struct sql_error *err);
void node_receive(struct node *node, struct log_entry *entry);
bool node_adopt_term(struct node *node, uint64_t term);
void node_cut(struct node *node, uint64_t last);
bool node_jump_back(struct node *node, uint64_t position);
uint64_t node_apply(struct node *node, uint64_t now_us);

void node_put_history(const struct node *node, GString *out);
void node_put_status(const struct node *node, GString *out, int granted_ok);

#endif
