#include "store.h"

#include <string.h>

#define LOG_MODULE "store_front"
#define LOG_INFO(...)                                                          \
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_INFO, "MODULE", LOG_MODULE, \
			 "MESSAGE", __VA_ARGS__)

#define WATCH_PATH "/v3/watch"
#define REAP_TICKS 20
#define ERA_HEADER "store-era"

/*
 * A request whose answer is held back: either it hasn't been run (hang), or
 * its answer is ready and waits until it is due (slow).
 */
struct held {
	struct store *store;
	h2o_req_t *req;
	GList link;
	bool listed;
	bool has_run;
	JsonNode *answer;
	unsigned status;
	uint64_t due_us;
};

/*
 * The clock that leases, delays and counters go by.
 */
uint64_t store_now_us(void)
{
	return uv_hrtime() / 1000;
}

static void unlist(struct held *held)
{
	if (held->listed)
		g_queue_unlink(&held->store->held, &held->link);
	held->listed = false;
}

static void on_held_disposed(void *data)
{
	struct held *held = data;

	unlist(held);
	g_clear_pointer(&held->answer, json_node_unref);
}

static struct held *hold(struct store *store, h2o_req_t *req)
{
	struct held *held = h2o_mem_alloc_shared(&req->pool, sizeof(*held),
						 on_held_disposed);

	memset(held, 0, sizeof(*held));
	held->store = store;
	held->req = req;
	held->link.data = held;
	held->listed = true;
	g_queue_push_tail_link(&store->held, &held->link);
	return held;
}

static bool loses_answer(struct store *store, const h2o_req_t *req)
{
	struct store_faults *faults = &store->faults;

	if (faults->lose_count <= 0)
		return false;
	if (faults->lose_path && !control_http_path_is(req, faults->lose_path))
		return false;
	faults->lose_count--;
	return true;
}

static void answer_later(struct store *store, h2o_req_t *req, unsigned status,
			 JsonNode *answer)
{
	struct held *held = hold(store, req);

	held->has_run = true;
	held->answer = answer;
	held->status = status;
	held->due_us = store->kv.now_us + store->faults.slow_us;
}

static void answer_error(h2o_req_t *req, const struct store_error *error)
{
	control_http_answer(req, store_error_status(error->code),
			    store_error_json(error));
}

static void run_call(struct store *store, const struct store_call *call,
		     h2o_req_t *req, JsonObject *body)
{
	struct store_error error = { 0 };
	JsonObject *result = call->run(&store->kv, body, &error);
	JsonNode *answer = result ? store_object_node(result) :
				    store_error_json(&error);
	unsigned status = store_error_status(error.code);

	if (loses_answer(store, req)) {
		LOG_INFO("answer to %s is lost", call->path);
		json_node_unref(answer);
		control_http_drop(store->http, req);
		return;
	}
	if (store->faults.slow_us > 0)
		answer_later(store, req, status, answer);
	else
		control_http_answer(req, status, answer);
}

static void run_request(struct store *store, h2o_req_t *req)
{
	const struct store_call *call = store_find_call(
		req->path_normalized.base, req->path_normalized.len);
	struct store_error error = { 0 };
	JsonNode *body = control_http_parse(req);

	control_http_add_number(req, ERA_HEADER, store->era);
	store->kv.now_us = store_now_us();
	if (!body)
		store_fail(&error, STORE_INVALID_ARGUMENT,
			   "the body is not a JSON object");
	else if (call)
		run_call(store, call, req, json_node_get_object(body));
	else if (control_http_path_is(req, WATCH_PATH))
		store_watch_open(store->watches, req,
				 json_node_get_object(body), store->kv.now_us,
				 &error);
	else
		store_fail(&error, STORE_NOT_FOUND, "Not Found");
	if (error.code != STORE_OK)
		answer_error(req, &error);
	g_clear_pointer(&body, json_node_unref);
	store_watches_pump(store->watches, store_now_us());
}

static void count_call(struct store *store, const h2o_req_t *req)
{
	g_autofree char *path =
		g_strndup(req->path_normalized.base, req->path_normalized.len);
	uint64_t *count = g_hash_table_lookup(store->calls, path);

	if (!count) {
		count = g_new0(uint64_t, 1);
		g_hash_table_insert(store->calls, g_steal_pointer(&path),
				    count);
	}
	(*count)++;
}

/*
 * Takes every request of the store's port.
 */
bool store_on_request(void *data, h2o_req_t *req)
{
	struct store *store = data;
	struct store_error error = { 0 };

	count_call(store, req);
	switch (store->faults.outage) {
	case OUTAGE_NONE:
		run_request(store, req);
		break;
	case OUTAGE_UNAVAILABLE:
		control_http_add_number(req, ERA_HEADER, store->era);
		store_fail(&error, STORE_UNAVAILABLE, "etcdserver: no leader");
		answer_error(req, &error);
		break;
	case OUTAGE_REFUSE:
		control_http_drop(store->http, req);
		break;
	case OUTAGE_HANG:
		hold(store, req);
		break;
	}
	return true;
}

static void release(struct held *held)
{
	unlist(held);
	if (!held->has_run)
		run_request(held->store, held->req);
	else
		control_http_answer(held->req, held->status,
				    g_steal_pointer(&held->answer));
}

/*
 * Answers the held requests that are due. Those that were held unrun in an
 * outage are run now, long after their client may have given up: the effect
 * of a call that timed out may still come.
 */
static void release_due(struct store *store)
{
	uint64_t now_us = store_now_us();
	GList *link = store->held.head;

	while (link) {
		struct held *held = link->data;

		link = link->next;
		if (held->due_us <= now_us)
			release(held);
	}
}

/*
 * Drops every held request and open watch.
 */
void store_front_drop_all(struct store *store)
{
	struct held *held;

	while (!g_queue_is_empty(&store->held)) {
		held = g_queue_peek_head(&store->held);
		unlist(held);
		control_http_drop(store->http, held->req);
	}
	store_watches_close_all(store->watches);
	control_http_cut_all(store->http);
}

/*
 * Comes back from a copy of a revision: what was written since is gone, and its
 * revisions are given out again. Open watches end.
 */
void store_restore(struct store *store, int64_t revision)
{
	store->era++;
	LOG_INFO("back at revision %" G_GINT64_FORMAT
		 ", era %" G_GUINT64_FORMAT,
		 revision, store->era);
	store_table_rewind(store->kv.table, revision);
	store_watches_close_all(store->watches);
}

/*
 * Starts or ends an outage. Leases don't expire in one and start anew after
 * it, as in etcd, where only a leader expires them.
 */
void store_set_outage(struct store *store, enum store_outage outage)
{
	bool refuse = outage == OUTAGE_REFUSE;

	LOG_INFO("outage mode %d -> %d", store->faults.outage, outage);
	store->faults.outage = outage;
	control_http_set_refusing(store->http, refuse);
	if (refuse)
		store_front_drop_all(store);
	if (outage == OUTAGE_UNAVAILABLE)
		store_watches_close_all(store->watches);
	if (outage != OUTAGE_NONE)
		return;
	store_leases_renew_all(store->kv.leases, store_now_us());
	release_due(store);
}

/*
 * Expires leases, sends what is due on watches and answers what is held.
 */
void store_front_tick(struct store *store)
{
	store->kv.now_us = store_now_us();
	if (store->faults.outage == OUTAGE_NONE) {
		store_leases_tick(store->kv.leases, store->kv.now_us);
		release_due(store);
		store_watches_pump(store->watches, store->kv.now_us);
	}
	if (++store->ticks % REAP_TICKS == 0)
		store_watches_reap(store->watches);
}
