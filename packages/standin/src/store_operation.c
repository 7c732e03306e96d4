#include "store_operation.h"

#include "control_http.h"

/* The platform's limit for a value. */
#define MAX_VALUE_BYTES ((gsize)1024 * 1024)

static const char *const put_members[] = { "key", "value", "lease", NULL };
static const char *const range_members[] = { "key",	  "range_end",
					     "limit",	  "revision",
					     "keys_only", "serializable",
					     NULL };
static const char *const delete_members[] = { "key", "range_end", NULL };

/*
 * Frees an operation; NULL is let be.
 */
void store_operation_free(gpointer data)
{
	struct operation *op = data;

	if (!op)
		return;
	g_clear_pointer(&op->range.key, g_bytes_unref);
	g_clear_pointer(&op->range.end, g_bytes_unref);
	g_clear_pointer(&op->value, g_bytes_unref);
	g_free(op);
}

static void check_put(struct store_kv *kv, const struct operation *op,
		      struct store_error *error)
{
	if (g_bytes_get_size(op->value) > MAX_VALUE_BYTES)
		store_fail(error, STORE_INVALID_ARGUMENT,
			   "etcdserver: request is too large");
	if (op->lease != 0 && !store_lease_exists(kv->leases, op->lease))
		store_fail(error, STORE_NOT_FOUND,
			   "etcdserver: requested lease not found");
}

static void check_range(struct store_kv *kv, const struct operation *op,
			struct store_error *error)
{
	if (op->revision > store_table_revision(kv->table))
		store_fail(error, STORE_OUT_OF_RANGE,
			   "etcdserver: mvcc: required revision is a future "
			   "revision");
	if (op->revision > 0 && op->revision < store_table_compacted(kv->table))
		store_fail(error, STORE_OUT_OF_RANGE,
			   "etcdserver: mvcc: required revision has been "
			   "compacted");
}

/*
 * Reads one operation and checks it; NULL, with the error set, if it can't be
 * run. Frees with store_operation_free().
 */
struct operation *store_read_operation(struct store_kv *kv,
				       enum operation_kind kind,
				       JsonObject *body,
				       struct store_error *error)
{
	const char *const *members[] = { put_members, range_members,
					 delete_members };
	struct operation *op = g_new0(struct operation, 1);

	op->kind = kind;
	store_only_members(body, members[kind], error);
	op->range.key = store_get_bytes(body, "key", error);
	op->range.end = store_get_bytes(body, "range_end", error);
	op->value = store_get_bytes(body, "value", error);
	op->lease = control_int(body, "lease", 0);
	op->limit = control_int(body, "limit", 0);
	op->revision = control_int(body, "revision", 0);
	op->keys_only = control_bool(body, "keys_only", false);
	if (g_bytes_get_size(op->range.key) == 0)
		store_fail(error, STORE_INVALID_ARGUMENT,
			   "etcdserver: key is not provided");
	if (kind == OP_PUT)
		check_put(kv, op, error);
	if (kind == OP_RANGE)
		check_range(kv, op, error);
	if (error->code == STORE_OK)
		return op;
	store_operation_free(op);
	return NULL;
}

static void run_range(struct store_kv *kv, const struct operation *op,
		      JsonObject *answer)
{
	g_autoptr(GPtrArray)
		found = store_table_range(kv->table, &op->range, op->revision);
	JsonArray *kvs = json_array_new();
	guint shown = found->len;
	guint i;

	if (op->limit > 0 && op->limit < found->len)
		shown = (guint)op->limit;
	for (i = 0; i < shown; i++)
		json_array_add_object_element(
			kvs, store_entry_json(g_ptr_array_index(found, i),
					      op->keys_only));
	if (shown > 0)
		json_object_set_array_member(answer, "kvs", kvs);
	else
		json_array_unref(kvs);
	if (shown < found->len)
		json_object_set_boolean_member(answer, "more", TRUE);
	store_set_int(answer, "count", found->len);
}

/*
 * Runs a checked operation within the change that was begun last.
 */
JsonObject *store_run_operation(struct store_kv *kv, const struct operation *op)
{
	JsonObject *answer = json_object_new();

	switch (op->kind) {
	case OP_PUT:
		store_table_put(kv->table, op->range.key, op->value, op->lease);
		break;
	case OP_RANGE:
		run_range(kv, op, answer);
		break;
	case OP_DELETE:
		store_set_int(answer, "deleted",
			      store_table_delete(kv->table, &op->range));
		break;
	}
	store_set_header(answer, store_table_revision(kv->table));
	return answer;
}
