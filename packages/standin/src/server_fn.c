#include "server_fn.h"

#include <string.h>

#include "server.h"
#include "server_node.h"
#include "server_session.h"

#define POSITION_TEXT_MAX 64

struct function {
	const char *name;
	int args;
	void (*call)(struct session *s, sqlite3_context *context,
		     sqlite3_value **args);
};

/* A function on one handle. */
struct bound {
	struct sql_handle *handle;
	const struct function *function;
};

/* Answers the status. */
static void answer_status(const struct session *s, sqlite3_context *context,
			  int granted_ok)
{
	GString *json = g_string_new(NULL);

	node_put_status(s->srv->node, json, granted_ok);
	sqlite3_result_text(context, json->str, (int)json->len,
			    SQLITE_TRANSIENT);
	g_string_free(json, TRUE);
}

/* Answers a position as text. */
static void answer_position(sqlite3_context *context, struct log_position at)
{
	char text[POSITION_TEXT_MAX];

	g_snprintf(text, sizeof(text),
		   "%" G_GUINT64_FORMAT ":%" G_GUINT64_FORMAT, at.term,
		   at.position);
	sqlite3_result_text(context, text, -1, SQLITE_TRANSIENT);
}

/* An argument that is a number; below 0 counts as 0. */
static uint64_t number(sqlite3_value *value)
{
	sqlite3_int64 n = sqlite3_value_int64(value);

	return n < 0 ? 0 : (uint64_t)n;
}

/* An argument that is a name, "" for NULL. */
static const char *name(sqlite3_value *value)
{
	const unsigned char *text = sqlite3_value_text(value);

	return text ? (const char *)text : "";
}

/*
 * Whether the session may change the server's role: not inside a transaction
 * that writes, which the change would end under the running statement.
 */
static bool may_change(const struct session *s, sqlite3_context *context)
{
	if (!s->txn.has_lock)
		return true;
	sqlite3_result_error(context, "not in a transaction that writes", -1);
	return false;
}

/* cq_status() */
static void call_status(struct session *s, sqlite3_context *context,
			sqlite3_value **args)
{
	(void)args;
	answer_status(s, context, -1);
}

/* Whether the status differs from what the waiting call gave. */
bool fn_wait_is_over(const struct session *s)
{
	struct node_mark mark = node_mark(s->srv->node);

	return mark.term != s->wait.term || mark.received != s->wait.received ||
	       mark.applied != s->wait.applied ||
	       mark.granted != s->wait.granted;
}

/*
 * cq_wait(term, received, applied, granted, timeout_ms): asks for the session
 * to be parked when nothing differs; it is called again after that.
 */
static void call_wait(struct session *s, sqlite3_context *context,
		      sqlite3_value **args)
{
	struct session_wait *wait = &s->wait;

	wait->term = number(args[0]);
	wait->received = number(args[1]);
	wait->applied = number(args[2]);
	wait->granted = number(args[3]);
	wait->timeout_ms = number(args[4]);
	wait->asked = !wait->done && wait->timeout_ms && !fn_wait_is_over(s);
	answer_status(s, context, -1);
}

/* cq_grant(term, holder) */
static void call_grant(struct session *s, sqlite3_context *context,
		       sqlite3_value **args)
{
	struct node *node = s->srv->node;

	if (may_change(s, context))
		answer_status(s, context,
			      node_grant(node, number(args[0]), name(args[1])));
}

/* cq_promote(term, holder) */
static void call_promote(struct session *s, sqlite3_context *context,
			 sqlite3_value **args)
{
	struct node *node = s->srv->node;

	if (may_change(s, context))
		answer_status(s, context,
			      node_promote(node, number(args[0]),
					   name(args[1])));
}

/* cq_follow(term, server) */
static void call_follow(struct session *s, sqlite3_context *context,
			sqlite3_value **args)
{
	struct node *node = s->srv->node;

	if (may_change(s, context))
		answer_status(s, context,
			      node_follow(node, number(args[0]),
					  name(args[1])));
}

/* cq_leave(flag) */
static void call_leave(struct session *s, sqlite3_context *context,
		       sqlite3_value **args)
{
	const char *flag = name(args[0]);

	node_set_leaving(s->srv->node,
			 *flag == 't' || *flag == 'T' || *flag == '1');
	answer_status(s, context, -1);
}

/* cq_commit_position() */
static void call_commit_position(struct session *s, sqlite3_context *context,
				 sqlite3_value **args)
{
	(void)args;
	answer_position(context, s->txn.last_commit);
}

/* cq_read_position() */
static void call_read_position(struct session *s, sqlite3_context *context,
			       sqlite3_value **args)
{
	struct log_position at;
	struct sql_error err;

	(void)args;
	if (sql_get_position(s->txn.handle, &at, &err))
		answer_position(context, at);
	else
		sqlite3_result_error(context, err.message, -1);
}

/* cq_show(name): what SHOW answers */
static void call_show(struct session *s, sqlite3_context *context,
		      sqlite3_value **args)
{
	const char *setting = name(args[0]);
	const char *value = "";

	if (!g_ascii_strcasecmp(setting, "transaction_read_only"))
		value = s->txn.read_only || !node_can_write(s->srv->node) ?
				"on" :
				"off";
	else if (!g_ascii_strcasecmp(setting, "server_version"))
		value = "15.0";
	else if (!g_ascii_strcasecmp(setting, "transaction_isolation"))
		value = s->txn.stable ? "serializable" : "read committed";
	sqlite3_result_text(context, value, -1, SQLITE_TRANSIENT);
}

static const struct function functions[] = {
	{ "cq_status", 0, call_status },
	{ "cq_wait", 5, call_wait },
	{ "cq_grant", 2, call_grant },
	{ "cq_promote", 2, call_promote },
	{ "cq_follow", 2, call_follow },
	{ "cq_leave", 1, call_leave },
	{ "cq_commit_position", 0, call_commit_position },
	{ "cq_read_position", 0, call_read_position },
	{ "cq_show", 1, call_show },
};

/*
 * Calls a function for the session that runs the statement. A statement that
 * writes can't have one: the replicas, which run it again, would get another
 * value.
 */
static void dispatch(sqlite3_context *context, int count, sqlite3_value **args)
{
	const struct bound *bound = sqlite3_user_data(context);

	(void)count;
	if (bound->handle->writing || !bound->handle->session)
		sqlite3_result_error(context, "not in a statement that writes",
				     -1);
	else
		bound->function->call(bound->handle->session, context, args);
}

/* Registers the functions on a new handle. */
void fn_register(struct sql_handle *handle)
{
	struct bound *bound;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(functions); i++) {
		bound = g_new0(struct bound, 1);
		bound->handle = handle;
		bound->function = &functions[i];
		sqlite3_create_function_v2(handle->db, bound->function->name,
					   bound->function->args,
					   SQLITE_UTF8 | SQLITE_DIRECTONLY,
					   bound, dispatch, NULL, NULL, g_free);
	}
}
