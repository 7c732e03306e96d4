#include "server_node.h"

#include <string.h>

#include "server.h"
#include "server_apply.h"
#include "server_record.h"
#include "server_repl.h"
#include "server_split.h"
#include "server_state.h"
#include "server_txn.h"
#include "server_util.h"

#define LOG_MODULE "node"

#define START_HOLDER "start"

struct node {
	struct server *srv;
	struct slog *log;
	struct apply *apply;
	struct state_file *state;
	bool primary;
	uint64_t term; /* the own one, 0 when not primary */
	uint64_t followed_term;
	char *following;
	uint64_t granted;
	char *holder;
	bool leaving;
	bool loaded; /* there was state to load */
};

/* Takes an entry that was kept. */
static void load_entry(void *user, struct log_entry *entry)
{
	struct node *node = user;

	node->loaded = true;
	slog_append(node->log, entry);
}

/* Takes a cut that was kept. */
static void load_cut(void *user, uint64_t last)
{
	slog_cut(((struct node *)user)->log, last);
}

/* Takes a grant that was kept. */
static void load_granted(void *user, uint64_t term, const char *holder)
{
	struct node *node = user;

	node->loaded = true;
	node->granted = term;
	g_free(node->holder);
	node->holder = g_strdup(holder);
}

/* Takes a role that was kept. */
static void load_role(void *user, const struct state_role *role)
{
	struct node *node = user;

	node->loaded = true;
	node->primary = role->primary;
	node->term = role->primary ? role->term : 0;
	node->followed_term = role->primary ? 0 : role->term;
	g_free(node->following);
	node->following = *role->following ? g_strdup(role->following) : NULL;
}

static const struct state_ops load_ops = { load_entry, load_cut, load_granted,
					   load_role };

/* Makes a node with an empty log that is a replica of nobody. */
struct node *node_create(struct server *srv)
{
	struct node *node = g_new0(struct node, 1);

	node->srv = srv;
	node->log = slog_create();
	node->apply = apply_create(srv, node->log);
	node->holder = g_strdup("");
	return node;
}

/* Frees the node. */
void node_destroy(struct node *node)
{
	if (!node)
		return;
	state_close(node->state);
	apply_destroy(node->apply);
	slog_destroy(node->log);
	g_free(node->following);
	g_free(node->holder);
	g_free(node);
}

/* Keeps the role. */
static void keep_role(struct node *node)
{
	struct state_role role;

	role.primary = node->primary;
	role.term = node->primary ? node->term : node->followed_term;
	role.following = node->following;
	state_role(node->state, &role);
}

/* Appends an entry to the log and keeps it. */
static void append(struct node *node, struct log_entry *entry)
{
	entry->received_us = util_now_us();
	slog_append(node->log, entry);
	state_entry(node->state, entry);
	server_changed(node->srv);
}

/* Runs the statements of the init file as one transaction of the log. */
static bool run_init(struct node *node, const char *path)
{
	struct sql_handle *writer = sql_writer(node->srv->sql);
	GByteArray *record = g_byte_array_new();
	struct log_position at;
	struct sql_error err;
	char *text = NULL, *statement;
	const char *rest;
	bool done = false;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		sql_set_error(&err, "58P01", "can't read %s", path);
		goto err;
	}
	rest = text;
	while ((statement = split_next(&rest))) {
		record_put(record, statement, NULL, 0);
		g_free(statement);
	}
	done = sql_run(writer, "BEGIN IMMEDIATE", &err) &&
	       record_replay(writer, record->data, record->len, &err) &&
	       node_commit(node, writer, record, &at, &err);
err:
	if (!done)
		LOG_ERR("init: %s", err.message);
	g_byte_array_free(record, TRUE);
	g_free(text);
	return done;
}

/* Becomes the primary of a term: its first entry is an empty one. */
static void become_primary(struct node *node, uint64_t term)
{
	struct log_entry *entry;

	node->primary = true;
	node->term = term;
	node->followed_term = 0;
	g_clear_pointer(&node->following, g_free);
	keep_role(node);
	entry = log_entry_create(term, slog_last(node->log) + 1, NULL, 0);
	append(node, entry);
	apply_to(node->apply, entry->position);
	LOG_INFO("primary of term %" G_GUINT64_FORMAT " from position "
		 "%" G_GUINT64_FORMAT,
		 term, entry->position);
}

/* Loads what was kept, or starts afresh in the role of the options. */
bool node_start(struct node *node)
{
	const struct server_options *options = node->srv->options;

	if (options->state_dir) {
		node->state = state_open(options->state_dir, options->name,
					 &load_ops, node);
		if (!node->state)
			return false;
	}
	if (node->loaded) {
		apply_to(node->apply, slog_last(node->log));
		return true;
	}
	if (options->primary_term > 0) {
		load_granted(node, (uint64_t)options->primary_term,
			     START_HOLDER);
		state_granted(node->state, node->granted, node->holder);
		become_primary(node, node->granted);
		return !options->init || run_init(node, options->init);
	}
	node->following = g_strdup(options->follow);
	keep_role(node);
	return true;
}

/* Whether it believes that it is the primary. */
bool node_is_primary(const struct node *node)
{
	return node->primary;
}

/* Whether it is a primary that nobody fenced. */
bool node_can_write(const struct node *node)
{
	return node->primary && node->granted <= node->term;
}

/* Whether it may take entries from the server that it follows. */
bool node_can_receive(const struct node *node)
{
	if (node->primary || !node->following)
		return false;
	return !node->followed_term || node->granted <= node->followed_term;
}

/* The term that the status reports. */
static uint64_t own_term(const struct node *node)
{
	return node->primary ? node->term : slog_last_term(node->log);
}

/* The numbers that a change of state shows in. */
struct node_mark node_mark(const struct node *node)
{
	struct node_mark mark;

	mark.term = own_term(node);
	mark.received = slog_last(node->log);
	mark.applied = apply_position(node->apply);
	mark.granted = node->granted;
	return mark;
}

/* The log; it is the node's to change. */
struct slog *node_log(const struct node *node)
{
	return node->log;
}

/* The term of the primary that it follows, 0 when that is not known yet. */
uint64_t node_followed_term(const struct node *node)
{
	return node->followed_term;
}

/* The name of the server that it follows, or NULL. */
const char *node_following(const struct node *node)
{
	return node->following;
}

/*
 * Raises the granted term. An old primary's open write transaction ends here,
 * before the grant is answered: had it committed later, the new primary would
 * not have its entry, though its client was told that it is done.
 */
static void raise_granted(struct node *node, uint64_t term, const char *holder)
{
	g_free(node->holder);
	node->holder = g_strdup(holder);
	node->granted = term;
	state_granted(node->state, term, holder);
	if (node->primary && term > node->term)
		txn_fence(node->srv);
	repl_check(node->srv->repl);
	server_changed(node->srv);
}

/* Grants a term to a holder; false when it was granted to another already. */
bool node_grant(struct node *node, uint64_t term, const char *holder)
{
	if (term == node->granted && term)
		return !strcmp(holder, node->holder);
	if (term <= node->granted)
		return false;
	raise_granted(node, term, holder);
	LOG_INFO("granted term %" G_GUINT64_FORMAT " to %s", term, holder);
	return true;
}

/* Becomes the primary of a term that it granted to this holder. */
bool node_promote(struct node *node, uint64_t term, const char *holder)
{
	if (term != node->granted || strcmp(holder, node->holder) != 0)
		return false;
	if (node->primary && node->term == term)
		return true;
	if (slog_last_term(node->log) >= term)
		return false;
	apply_to(node->apply, slog_last(node->log));
	become_primary(node, term);
	repl_check(node->srv->repl);
	return true;
}

/* Follows the primary of a term, if it granted none above that. */
bool node_follow(struct node *node, uint64_t term, const char *server)
{
	const char *own = node->srv->options->name;

	if (!term || term < node->granted)
		return false;
	if (node->primary && node->term == term)
		return !strcmp(server, own);
	if (!strcmp(server, own))
		return false;
	if (!node->primary && node->followed_term == term &&
	    !g_strcmp0(server, node->following))
		return true;
	if (term > node->granted)
		raise_granted(node, term, "");
	node->primary = false;
	node->term = 0;
	node->followed_term = term;
	g_free(node->following);
	node->following = g_strdup(server);
	keep_role(node);
	repl_check(node->srv->repl);
	server_changed(node->srv);
	LOG_INFO("follows %s in term %" G_GUINT64_FORMAT, server, term);
	return true;
}

/* Marks the server as leaving or not. */
void node_set_leaving(struct node *node, bool leaving)
{
	node->leaving = leaving;
}

/*
 * Commits the writer's transaction together with the log position, and
 * appends its record to the log. On an error nothing is appended and the
 * transaction is still open.
 */
bool node_commit(struct node *node, struct sql_handle *handle,
		 const GByteArray *record, struct log_position *at,
		 struct sql_error *err)
{
	at->term = node->term;
	at->position = slog_last(node->log) + 1;
	if (!sql_set_position(handle, *at, err) ||
	    !sql_run(handle, "COMMIT", err))
		return false;
	append(node, log_entry_create(at->term, at->position, record->data,
				      record->len));
	apply_committed(node->apply);
	return true;
}

/* Takes an entry from the followed primary; node_can_receive() held. */
void node_receive(struct node *node, struct log_entry *entry)
{
	append(node, entry);
}

/* Learns the term of the primary that it was started to follow. */
bool node_adopt_term(struct node *node, uint64_t term)
{
	if (node->followed_term)
		return node->followed_term == term;
	if (!term || term < node->granted)
		return false;
	node->followed_term = term;
	if (term > node->granted)
		raise_granted(node, term, "");
	keep_role(node);
	return true;
}

/*
 * Removes the entries after a position, which the primary does not have. Where
 * reads could see them already, the database is built anew without them.
 */
void node_cut(struct node *node, uint64_t last)
{
	LOG_INFO("cuts the log from %" G_GUINT64_FORMAT
		 " to %" G_GUINT64_FORMAT,
		 slog_last(node->log), last);
	slog_cut(node->log, last);
	state_cut(node->state, last);
	if (apply_position(node->apply) > last)
		apply_rebuild(node->apply, last);
	server_changed(node->srv);
}

/* Goes back to an earlier position, as after a restore; false on a primary. */
bool node_jump_back(struct node *node, uint64_t position)
{
	if (node->primary)
		return false;
	apply_jump_back(node->apply, position);
	return true;
}

/* Applies what is due; returns when the next entry is, 0 when there is none. */
uint64_t node_apply(struct node *node, uint64_t now_us)
{
	if (node->primary)
		return 0;
	return apply_due(node->apply, now_us);
}

/* Appends the history as JSON. */
void node_put_history(const struct node *node, GString *out)
{
	const struct log_term *history;
	size_t i, count;

	history = slog_history(node->log, &count);
	g_string_append_c(out, '[');
	for (i = 0; i < count; i++)
		g_string_append_printf(
			out, "%s[%" G_GUINT64_FORMAT ",%" G_GUINT64_FORMAT "]",
			i ? "," : "", history[i].term, history[i].first);
	g_string_append_c(out, ']');
}

/* Whether it is fenced for the term that it leads or follows. */
static bool is_fenced(const struct node *node)
{
	if (node->primary)
		return node->granted > node->term;
	return node->followed_term && node->granted > node->followed_term;
}

/* Appends the status as JSON; granted_ok below 0 leaves that field out. */
void node_put_status(const struct node *node, GString *out, int granted_ok)
{
	const struct server *srv = node->srv;

	g_string_append(out, "{\"server\":");
	util_json_string(out, srv->options->name);
	g_string_append_printf(
		out, ",\"term\":%" G_GUINT64_FORMAT ",\"role\":\"%s\"",
		own_term(node), node->primary ? "primary" : "replica");
	g_string_append_printf(out,
			       ",\"fenced\":%s,\"granted\":%" G_GUINT64_FORMAT,
			       is_fenced(node) ? "true" : "false",
			       node->granted);
	g_string_append(out, ",\"holder\":");
	util_json_string(out, node->holder);
	if (granted_ok >= 0)
		g_string_append_printf(out, ",\"granted_ok\":%s",
				       granted_ok ? "true" : "false");
	g_string_append_printf(out,
			       ",\"received\":%" G_GUINT64_FORMAT
			       ",\"applied\":%" G_GUINT64_FORMAT
			       ",\"history\":",
			       slog_last(node->log),
			       apply_position(node->apply));
	node_put_history(node, out);
	g_string_append(out, ",\"following\":");
	if (node->following)
		util_json_string(out, node->following);
	else
		g_string_append(out, "null");
	g_string_append_printf(out,
			       ",\"leaving\":%s,\"connections\":%u,"
			       "\"connection_limit\":%d}",
			       node->leaving ? "true" : "false", srv->clients,
			       srv->options->connection_limit);
}
