#include "store_kv.h"

#include <string.h>

#include "control_http.h"
#include "store_operation.h"

static JsonObject *run_single(struct store_kv *kv, enum operation_kind kind,
			      JsonObject *body, struct store_error *error)
{
	struct operation *op = store_read_operation(kv, kind, body, error);
	JsonObject *answer;

	if (!op)
		return NULL;
	store_table_begin(kv->table, kv->now_us);
	answer = store_run_operation(kv, op);
	store_operation_free(op);
	return answer;
}

static JsonObject *call_range(struct store_kv *kv, JsonObject *body,
			      struct store_error *error)
{
	return run_single(kv, OP_RANGE, body, error);
}

static JsonObject *call_put(struct store_kv *kv, JsonObject *body,
			    struct store_error *error)
{
	return run_single(kv, OP_PUT, body, error);
}

static JsonObject *call_delete(struct store_kv *kv, JsonObject *body,
			       struct store_error *error)
{
	return run_single(kv, OP_DELETE, body, error);
}

static JsonObject *call_compaction(struct store_kv *kv, JsonObject *body,
				   struct store_error *error)
{
	int64_t revision = control_int(body, "revision", 0);
	JsonObject *answer;

	if (revision <= store_table_compacted(kv->table))
		store_fail(error, STORE_OUT_OF_RANGE,
			   "etcdserver: mvcc: required revision has been "
			   "compacted");
	if (revision > store_table_revision(kv->table))
		store_fail(error, STORE_OUT_OF_RANGE,
			   "etcdserver: mvcc: required revision is a future "
			   "revision");
	if (error->code != STORE_OK)
		return NULL;
	store_table_compact(kv->table, revision);
	answer = json_object_new();
	store_set_header(answer, store_table_revision(kv->table));
	return answer;
}

static JsonObject *lease_answer(struct store_kv *kv, int64_t id, int64_t ttl_s)
{
	JsonObject *answer = json_object_new();

	store_set_header(answer, store_table_revision(kv->table));
	store_set_int(answer, "ID", id);
	store_set_int(answer, "TTL", ttl_s);
	return answer;
}

static JsonObject *call_grant(struct store_kv *kv, JsonObject *body,
			      struct store_error *error)
{
	int64_t ttl_s = control_int(body, "TTL", 0);
	int64_t id = control_int(body, "ID", 0);

	if (ttl_s <= 0 || ttl_s > INT32_MAX) {
		store_fail(error, STORE_OUT_OF_RANGE,
			   "etcdserver: bad lease TTL");
		return NULL;
	}
	id = store_lease_grant(kv->leases, id, ttl_s, kv->now_us);
	if (id != 0)
		return lease_answer(kv, id, ttl_s);
	store_fail(error, STORE_FAILED_PRECONDITION,
		   "etcdserver: lease already exists");
	return NULL;
}

static JsonObject *call_keepalive(struct store_kv *kv, JsonObject *body,
				  struct store_error *error)
{
	int64_t id = control_int(body, "ID", 0);
	int64_t ttl_s = store_lease_keepalive(kv->leases, id, kv->now_us);
	JsonObject *answer = json_object_new();

	(void)error;
	json_object_set_object_member(answer, "result",
				      lease_answer(kv, id, ttl_s));
	return answer;
}

static JsonObject *call_revoke(struct store_kv *kv, JsonObject *body,
			       struct store_error *error)
{
	int64_t id = control_int(body, "ID", 0);

	if (store_lease_revoke(kv->leases, id, kv->now_us))
		return lease_answer(kv, 0, 0);
	store_fail(error, STORE_NOT_FOUND,
		   "etcdserver: requested lease not found");
	return NULL;
}

static const struct store_call calls[] = {
	{ "/v3/kv/range", call_range },
	{ "/v3/kv/put", call_put },
	{ "/v3/kv/deleterange", call_delete },
	{ "/v3/kv/txn", store_call_txn },
	{ "/v3/kv/compaction", call_compaction },
	{ "/v3/lease/grant", call_grant },
	{ "/v3/lease/keepalive", call_keepalive },
	{ "/v3/lease/revoke", call_revoke },
};

/*
 * The call that a path stands for, or NULL.
 */
const struct store_call *store_find_call(const char *path, gsize length)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(calls); i++) {
		if (strlen(calls[i].path) == length &&
		    memcmp(calls[i].path, path, length) == 0)
			return &calls[i];
	}
	return NULL;
}
