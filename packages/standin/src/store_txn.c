#include "store_operation.h"

#include <string.h>

#include "control_http.h"

/* etcd's limit for a branch. */
#define MAX_TXN_OPS 128

static int compare_number(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

/*
 * How the key's present target compares with the wanted one. The value of
 * a key that isn't there differs from every value, as in etcd.
 */
static bool compare_target(const struct store_entry *entry, JsonObject *compare,
			   int *order, struct store_error *error)
{
	const char *target = control_string(compare, "target", "VERSION");
	g_autoptr(GBytes) value = store_get_bytes(compare, "value", error);

	if (strcmp(target, "VERSION") == 0)
		*order = compare_number(entry ? entry->version : 0,
					control_int(compare, "version", 0));
	else if (strcmp(target, "CREATE") == 0)
		*order = compare_number(entry ? entry->create_revision : 0,
					control_int(compare, "create_revision",
						    0));
	else if (strcmp(target, "MOD") == 0)
		*order =
			compare_number(entry ? entry->mod_revision : 0,
				       control_int(compare, "mod_revision", 0));
	else if (strcmp(target, "VALUE") == 0 && entry)
		*order = g_bytes_compare(entry->value, value);
	else if (strcmp(target, "VALUE") != 0)
		store_fail(error, STORE_INVALID_ARGUMENT,
			   "unknown compare target \"%s\"", target);
	return entry || strcmp(target, "VALUE") != 0;
}

static bool compare_holds(struct store_kv *kv, JsonObject *compare,
			  struct store_error *error)
{
	static const char *const members[] = { "key",
					       "target",
					       "result",
					       "version",
					       "create_revision",
					       "mod_revision",
					       "value",
					       NULL };
	const char *result = control_string(compare, "result", "EQUAL");
	g_autoptr(GBytes) key = store_get_bytes(compare, "key", error);
	int order = 0;

	store_only_members(compare, members, error);
	if (g_bytes_get_size(key) == 0)
		store_fail(error, STORE_INVALID_ARGUMENT,
			   "etcdserver: key is not provided");
	if (!compare_target(store_table_get(kv->table, key, 0), compare, &order,
			    error))
		return false;
	if (strcmp(result, "EQUAL") == 0)
		return order == 0;
	if (strcmp(result, "NOT_EQUAL") == 0)
		return order != 0;
	if (strcmp(result, "GREATER") == 0)
		return order > 0;
	if (strcmp(result, "LESS") == 0)
		return order < 0;
	store_fail(error, STORE_INVALID_ARGUMENT,
		   "unknown compare result \"%s\"", result);
	return false;
}

static JsonArray *get_array(JsonObject *body, const char *name)
{
	JsonNode *node = json_object_get_member(body, name);

	return node && JSON_NODE_HOLDS_ARRAY(node) ? json_node_get_array(node) :
						     NULL;
}

static guint array_length(JsonArray *array)
{
	return array ? json_array_get_length(array) : 0;
}

static JsonObject *array_object(JsonArray *array, guint i,
				struct store_error *error)
{
	JsonNode *node = json_array_get_element(array, i);

	if (JSON_NODE_HOLDS_OBJECT(node))
		return json_node_get_object(node);
	store_fail(error, STORE_INVALID_ARGUMENT, "not an object");
	return NULL;
}

static const char *const request_names[] = { "request_put", "request_range",
					     "request_delete_range" };
static const char *const response_names[] = { "response_put", "response_range",
					      "response_delete_range" };

static struct operation *read_request(struct store_kv *kv, JsonObject *request,
				      struct store_error *error)
{
	JsonObject *body;
	enum operation_kind kind;

	for (kind = OP_PUT; kind <= OP_DELETE; kind++) {
		body = store_get_object(request, request_names[kind]);
		if (body)
			return store_read_operation(kv, kind, body, error);
	}
	store_fail(error, STORE_INVALID_ARGUMENT,
		   "etcdserver: key is not provided");
	return NULL;
}

/*
 * Reads a transaction's branch. A key may be put once only, or the order
 * of the writes would matter within one revision.
 */
static GPtrArray *read_branch(struct store_kv *kv, JsonArray *requests,
			      struct store_error *error)
{
	GPtrArray *ops = g_ptr_array_new_with_free_func(store_operation_free);
	g_autoptr(GHashTable)
		seen = g_hash_table_new(g_bytes_hash, g_bytes_equal);
	guint i;

	for (i = 0; i < array_length(requests); i++) {
		JsonObject *request = array_object(requests, i, error);
		struct operation *op =
			request ? read_request(kv, request, error) : NULL;

		if (!op)
			break;
		g_ptr_array_add(ops, op);
		if (op->kind == OP_PUT &&
		    !g_hash_table_add(seen, op->range.key))
			store_fail(error, STORE_INVALID_ARGUMENT,
				   "etcdserver: duplicate key given in txn "
				   "request");
	}
	return ops;
}

static void run_branch(struct store_kv *kv, GPtrArray *ops, JsonObject *answer)
{
	JsonArray *responses = json_array_new();
	guint i;

	store_table_begin(kv->table, kv->now_us);
	for (i = 0; i < ops->len; i++) {
		const struct operation *op = g_ptr_array_index(ops, i);
		JsonObject *response = json_object_new();

		json_object_set_object_member(response,
					      response_names[op->kind],
					      store_run_operation(kv, op));
		json_array_add_object_element(responses, response);
	}
	json_object_set_array_member(answer, "responses", responses);
}

static bool all_hold(struct store_kv *kv, JsonArray *compares,
		     struct store_error *error)
{
	bool holds = true;
	guint i;

	for (i = 0; i < array_length(compares); i++) {
		JsonObject *compare = array_object(compares, i, error);

		if (!compare || !compare_holds(kv, compare, error))
			holds = false;
	}
	return holds;
}

/*
 * A transaction: all compares hold, or the other branch is run.
 */
JsonObject *store_call_txn(struct store_kv *kv, JsonObject *body,
			   struct store_error *error)
{
	static const char *const members[] = { "compare", "success", "failure",
					       NULL };
	JsonArray *success = get_array(body, "success");
	JsonArray *failure = get_array(body, "failure");
	g_autoptr(GPtrArray) then = NULL;
	g_autoptr(GPtrArray) otherwise = NULL;
	JsonObject *answer;
	bool holds;

	store_only_members(body, members, error);
	if (array_length(success) > MAX_TXN_OPS ||
	    array_length(failure) > MAX_TXN_OPS)
		store_fail(error, STORE_INVALID_ARGUMENT,
			   "etcdserver: too many operations in txn request");
	holds = all_hold(kv, get_array(body, "compare"), error);
	then = read_branch(kv, success, error);
	otherwise = read_branch(kv, failure, error);
	if (error->code != STORE_OK)
		return NULL;
	answer = json_object_new();
	if (holds)
		json_object_set_boolean_member(answer, "succeeded", TRUE);
	run_branch(kv, holds ? then : otherwise, answer);
	store_set_header(answer, store_table_revision(kv->table));
	return answer;
}
