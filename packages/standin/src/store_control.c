#include "store.h"

#include <string.h>

static const char *const outage_names[] = {
	[OUTAGE_NONE] = "none",
	[OUTAGE_UNAVAILABLE] = "unavailable",
	[OUTAGE_REFUSE] = "refuse",
	[OUTAGE_HANG] = "hang",
};

static JsonNode *on_outage(void *data, JsonObject *body, unsigned *status)
{
	const char *mode = control_string(body, "mode", "");
	int i;

	for (i = OUTAGE_NONE; i <= OUTAGE_HANG; i++) {
		if (strcmp(outage_names[i], mode) != 0)
			continue;
		store_set_outage(data, (enum store_outage)i);
		return NULL;
	}
	*status = 400;
	return control_http_message("unknown mode \"%s\"", mode);
}

static JsonNode *on_slow(void *data, JsonObject *body, unsigned *status)
{
	struct store *store = data;
	int64_t ms = control_int(body, "ms", -1);

	if (ms < 0) {
		*status = 400;
		return control_http_message("\"ms\" must be 0 or more");
	}
	store->faults.slow_us = (uint64_t)ms * 1000;
	store_watches_set_delay(store->watches, store->faults.slow_us);
	return NULL;
}

static JsonNode *on_lose_answers(void *data, JsonObject *body, unsigned *status)
{
	struct store *store = data;

	(void)status;
	store->faults.lose_count = control_int(body, "count", 1);
	g_free(store->faults.lose_path);
	store->faults.lose_path = g_strdup(control_string(body, "path", NULL));
	return NULL;
}

static JsonNode *on_silent_watches(void *data, JsonObject *body,
				   unsigned *status)
{
	struct store *store = data;
	JsonObject *answer = json_object_new();

	(void)body;
	(void)status;
	json_object_set_int_member(answer, "watches",
				   store_watches_silence(store->watches));
	return store_object_node(answer);
}

static JsonNode *on_lapse_leases(void *data, JsonObject *body, unsigned *status)
{
	struct store *store = data;
	JsonObject *answer = json_object_new();
	uint64_t now_us = store_now_us();
	int64_t id = control_int(body, "ID", 0);
	unsigned count;

	(void)status;
	if (id != 0)
		count = store_lease_revoke(store->kv.leases, id, now_us);
	else
		count = store_leases_revoke_all(store->kv.leases, now_us);
	json_object_set_int_member(answer, "leases", count);
	return store_object_node(answer);
}

static JsonNode *on_compact(void *data, JsonObject *body, unsigned *status)
{
	struct store *store = data;
	int64_t now = store_table_revision(store->kv.table);
	int64_t revision = control_int(body, "revision", now);

	if (revision > now ||
	    revision < store_table_compacted(store->kv.table)) {
		*status = 400;
		return control_http_message("no such revision");
	}
	store_table_compact(store->kv.table, revision);
	return NULL;
}

static JsonNode *on_restore(void *data, JsonObject *body, unsigned *status)
{
	struct store *store = data;
	int64_t revision = control_int(body, "revision", 0);

	if (revision < 1 || revision > store_table_revision(store->kv.table) ||
	    revision < store_table_compacted(store->kv.table)) {
		*status = 400;
		return control_http_message("no such revision");
	}
	store_restore(store, revision);
	return NULL;
}

static JsonNode *on_replay(void *data, JsonObject *body, unsigned *status)
{
	struct store *store = data;
	int64_t events = control_int(body, "events", 1);

	if (events < 0) {
		*status = 400;
		return control_http_message("\"events\" must be 0 or more");
	}
	store_watches_replay(store->watches, (uint64_t)events);
	return NULL;
}

static JsonNode *on_reset_counters(void *data, JsonObject *body,
				   unsigned *status)
{
	struct store *store = data;

	(void)body;
	(void)status;
	store->reset_us = store_now_us();
	g_hash_table_remove_all(store->calls);
	store_watches_reset_waited(store->watches, store->reset_us);
	return NULL;
}

static int64_t add_calls(const struct store *store, JsonObject *state)
{
	JsonObject *calls = json_object_new();
	GHashTableIter iter;
	gpointer path;
	gpointer count;
	int64_t sum = 0;

	g_hash_table_iter_init(&iter, store->calls);
	while (g_hash_table_iter_next(&iter, &path, &count)) {
		int64_t n = (int64_t) * (uint64_t *)count;

		json_object_set_int_member(calls, path, n);
		sum += n;
	}
	json_object_set_object_member(state, "calls", calls);
	return sum;
}

static void add_rates(const struct store *store, JsonObject *state,
		      int64_t calls)
{
	uint64_t now_us = store_now_us();
	double seconds = (double)(now_us - store->reset_us) / G_USEC_PER_SEC;
	double waited =
		(double)store_watches_waited_us(store->watches, now_us) /
		G_USEC_PER_SEC;
	double divisor = MAX(seconds, 1e-6);

	json_object_set_double_member(state, "seconds", seconds);
	json_object_set_double_member(state, "watch_seconds", waited);
	json_object_set_double_member(state, "calls_per_second",
				      (double)calls / divisor);
	json_object_set_double_member(state, "watches_mean", waited / divisor);
}

static JsonNode *on_state(void *data, JsonObject *body, unsigned *status)
{
	struct store *store = data;
	JsonObject *state = json_object_new();

	(void)body;
	(void)status;
	json_object_set_int_member(state, "revision",
				   store_table_revision(store->kv.table));
	json_object_set_int_member(state, "era", (gint64)store->era);
	json_object_set_int_member(state, "compact_revision",
				   store_table_compacted(store->kv.table));
	json_object_set_int_member(state, "keys",
				   store_table_size(store->kv.table));
	json_object_set_int_member(state, "leases",
				   store_leases_count(store->kv.leases));
	json_object_set_int_member(
		state, "leases_expired",
		(gint64)store_leases_expired(store->kv.leases));
	json_object_set_int_member(state, "watches",
				   store_watches_count(store->watches));
	json_object_set_int_member(state, "watches_ended",
				   (gint64)store_watches_ended(store->watches));
	json_object_set_int_member(state, "held",
				   g_queue_get_length(&store->held));
	json_object_set_string_member(state, "outage",
				      outage_names[store->faults.outage]);
	add_rates(store, state, add_calls(store, state));
	return store_object_node(state);
}

const struct control_route store_control_routes[] = {
	{ "POST", "/outage", on_outage },
	{ "POST", "/slow", on_slow },
	{ "POST", "/lose_answers", on_lose_answers },
	{ "POST", "/silent_watches", on_silent_watches },
	{ "POST", "/lapse_leases", on_lapse_leases },
	{ "POST", "/compact", on_compact },
	{ "POST", "/restore", on_restore },
	{ "POST", "/replay", on_replay },
	{ "POST", "/reset_counters", on_reset_counters },
	{ "GET", "/state", on_state },
};
const size_t store_control_route_count = G_N_ELEMENTS(store_control_routes);
