#include "admin_private.h"

#include <json-glib/json-glib.h>

#define TYPE_JSON "application/json"

static void append_json_string(GString *out, const char *s)
{
	JsonNode *node = json_node_new(JSON_NODE_VALUE);
	char *text;

	json_node_set_string(node, s);
	text = json_to_string(node, FALSE);
	g_string_append(out, text);
	g_free(text);
	json_node_unref(node);
}

/* Replies with an error, in the same JSON form that callers get. */
void admin_reply_error(struct front_request *fr, enum err_code code,
		       const char *message)
{
	const struct err_info *info = err_info(code);
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
			       "{\"outcome\":\"%s\",\"code\":%d,"
			       "\"name\":\"%s\",\"message\":",
			       err_outcome_name(info->outcome), code,
			       info->name);
	append_json_string(out, message);
	g_string_append(out, "}\n");
	front_reply(fr, info->http_status, TYPE_JSON, str_from_gstring(out));
	g_string_free(out, TRUE);
}

/* Replies 200 with the JSON text; takes ownership of out. */
void admin_reply_json(struct front_request *fr, GString *out)
{
	g_string_append_c(out, '\n');
	front_reply(fr, 200, TYPE_JSON, str_from_gstring(out));
	g_string_free(out, TRUE);
}

/*
 * Frees the call and returns the request to answer, NULL when the operator has
 * disconnected. The request may be freed as soon as it is answered, so the call
 * is detached from it first.
 */
struct front_request *admin_call_end(struct admin_call *call)
{
	struct front_request *fr = call->fr;

	if (fr)
		front_set_user(fr, NULL);
	g_free(call->key);
	g_free(call->operator_name);
	g_free(call);
	return fr;
}

/* The operator disconnected; the operation that the call started goes on. */
static void on_disconnect(struct node_waiter *w)
{
	((struct admin_call *)w)->fr = NULL;
}

/* Creates a call that is answered later, and attaches it to its request. */
struct admin_call *admin_call_create(struct front_request *fr, const char *key,
				     const char *operator_name)
{
	struct admin_call *call = g_new0(struct admin_call, 1);

	call->waiter.gone = on_disconnect;
	call->fr = fr;
	call->key = g_strdup(key);
	call->operator_name = g_strdup(operator_name);
	front_set_user(fr, call);
	return call;
}
