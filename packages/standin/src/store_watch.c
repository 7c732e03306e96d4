#include "store_watch.h"

#include <string.h>

/* The generator is first: h2o hands it back in its callbacks. */
struct watch {
	h2o_generator_t generator;
	struct store_watches *watches;
	h2o_req_t *req;
	GList link;
	struct store_range range;
	int64_t start_revision;
	uint64_t next_event;
	uint64_t opened_us;
	uint64_t sent_us;
	bool wants_progress;
	bool created;
	bool canceled;
	bool silent;
	bool sending;
	bool ended;
	GString *pending;
	GString *in_flight;
};

struct store_watches {
	struct store_table *table;
	struct control_http *http;
	uint64_t progress_us;
	uint64_t delay_us;
	uint64_t now_us;
	uint64_t ended;
	uint64_t waited_us; /* of the watches that have ended */
	uint64_t reset_us;
	GQueue open;
};

/*
 * No watches yet. A watch that asked for progress and has seen no event for
 * `progress_us` gets an empty answer.
 */
struct store_watches *store_watches_create(struct store_table *table,
					   struct control_http *http,
					   uint64_t progress_us)
{
	struct store_watches *watches = g_new0(struct store_watches, 1);

	watches->table = table;
	watches->http = http;
	watches->progress_us = progress_us;
	g_queue_init(&watches->open);
	return watches;
}

/*
 * Frees the table of watches, which must all have ended.
 */
void store_watches_destroy(struct store_watches *watches)
{
	g_free(watches);
}

static uint64_t waited_us(const struct watch *watch, uint64_t now_us)
{
	uint64_t from_us = MAX(watch->opened_us, watch->watches->reset_us);

	return now_us > from_us ? now_us - from_us : 0;
}

static void on_dispose(void *data)
{
	struct watch *watch = data;
	struct store_watches *watches = watch->watches;

	watches->ended++;
	watches->waited_us += waited_us(watch, watches->now_us);
	g_queue_unlink(&watches->open, &watch->link);
	g_bytes_unref(watch->range.key);
	g_bytes_unref(watch->range.end);
	g_string_free(watch->pending, TRUE);
	g_string_free(watch->in_flight, TRUE);
}

static void flush(struct watch *watch)
{
	GString *sent = watch->pending;
	h2o_iovec_t buf;

	if (watch->sending || sent->len == 0)
		return;
	watch->pending = watch->in_flight;
	watch->in_flight = sent;
	g_string_truncate(watch->pending, 0);
	watch->sending = true;
	watch->sent_us = watch->watches->now_us;
	buf = h2o_iovec_init(sent->str, sent->len);
	h2o_send(watch->req, &buf, 1, H2O_SEND_STATE_IN_PROGRESS);
}

static void on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct watch *watch = (struct watch *)generator;

	(void)req;
	watch->sending = false;
	flush(watch);
}

static void on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	(void)generator;
	(void)req;
}

static JsonObject *new_result(const struct watch *watch)
{
	JsonObject *result = json_object_new();

	store_set_header(result, store_table_revision(watch->watches->table));
	return result;
}

static void queue_result(struct watch *watch, JsonObject *result)
{
	JsonObject *line = json_object_new();
	g_autoptr(JsonNode) node = store_object_node(line);
	g_autofree char *text = NULL;

	json_object_set_object_member(line, "result", result);
	text = json_to_string(node, FALSE);
	g_string_append_printf(watch->pending, "%s\n", text);
}

static void add_event(JsonArray *events, const struct store_entry *entry)
{
	JsonObject *event = json_object_new();

	if (entry->deleted)
		json_object_set_string_member(event, "type", "DELETE");
	json_object_set_object_member(event, "kv",
				      store_entry_json(entry, false));
	json_array_add_object_element(events, event);
}

static bool wants(const struct watch *watch, const struct store_entry *entry)
{
	return entry->mod_revision >= watch->start_revision &&
	       store_range_matches(&watch->range, entry->key);
}

/*
 * Moves the watch over the events that are due and queues those that it
 * wants. Events of one change carry one time, so a change is never split.
 */
static void queue_events(struct watch *watch, uint64_t until_us)
{
	const struct store_table *table = watch->watches->table;
	JsonArray *events = json_array_new();
	const struct store_entry *entry;
	JsonObject *result;

	while (watch->next_event < store_table_end_event(table)) {
		entry = store_table_event(table, watch->next_event);
		if (entry->at_us > until_us)
			break;
		if (wants(watch, entry))
			add_event(events, entry);
		watch->next_event++;
	}
	if (json_array_get_length(events) == 0) {
		json_array_unref(events);
		return;
	}
	result = new_result(watch);
	json_object_set_array_member(result, "events", events);
	queue_result(watch, result);
}

static void queue_canceled(struct watch *watch)
{
	JsonObject *result = new_result(watch);

	watch->canceled = true;
	json_object_set_boolean_member(result, "canceled", TRUE);
	store_set_int(result, "compact_revision",
		      store_table_compacted(watch->watches->table));
	queue_result(watch, result);
}

static void queue_created(struct watch *watch)
{
	JsonObject *result = new_result(watch);

	watch->created = true;
	json_object_set_boolean_member(result, "created", TRUE);
	queue_result(watch, result);
}

/*
 * Progress says that all events up to the header's revision were sent, so
 * it must wait for those that are held back by the delay.
 */
static void queue_progress(struct watch *watch)
{
	const struct store_watches *watches = watch->watches;

	if (!watch->wants_progress ||
	    watch->next_event < store_table_end_event(watches->table) ||
	    watches->now_us - watch->sent_us < watches->progress_us)
		return;
	queue_result(watch, new_result(watch));
}

static void pump(struct watch *watch)
{
	const struct store_watches *watches = watch->watches;
	uint64_t until_us = watches->now_us - watches->delay_us;

	if (watch->silent || watch->sending || watch->ended ||
	    watch->opened_us > until_us)
		return;
	if (!watch->created)
		queue_created(watch);
	if (!watch->canceled &&
	    watch->next_event < store_table_first_event(watches->table))
		queue_canceled(watch);
	if (!watch->canceled) {
		queue_events(watch, until_us);
		if (watch->pending->len == 0)
			queue_progress(watch);
	}
	flush(watch);
}

/*
 * Sends what is due on every watch.
 */
void store_watches_pump(struct store_watches *watches, uint64_t now_us)
{
	GList *link = watches->open.head;

	watches->now_us = now_us;
	while (link) {
		struct watch *watch = link->data;

		link = link->next;
		pump(watch);
	}
}

static struct watch *watch_create(struct store_watches *watches, h2o_req_t *req,
				  struct store_range range, int64_t start)
{
	struct watch *watch =
		h2o_mem_alloc_shared(&req->pool, sizeof(*watch), on_dispose);

	memset(watch, 0, sizeof(*watch));
	watch->generator.proceed = on_proceed;
	watch->generator.stop = on_stop;
	watch->watches = watches;
	watch->req = req;
	watch->link.data = watch;
	watch->range = range;
	watch->start_revision = start;
	watch->pending = g_string_new(NULL);
	watch->in_flight = g_string_new(NULL);
	g_queue_push_tail_link(&watches->open, &watch->link);
	return watch;
}

/*
 * The event to start from. A start before the last compaction gives a
 * number that is gone, by which the watch is canceled.
 */
static uint64_t first_event(const struct store_table *table, int64_t start)
{
	if (start == 0)
		return store_table_end_event(table);
	if (start < store_table_compacted(table))
		return 0;
	return store_table_find_event(table, start);
}

static void start_stream(h2o_req_t *req, h2o_generator_t *generator)
{
	req->res.status = 200;
	req->res.reason = "OK";
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, H2O_STRLIT("application/json"));
	h2o_start_response(req, generator);
}

/*
 * Opens a watch that streams its answer to the request. Returns false, with
 * the error set, if the body asks for what there isn't.
 */
bool store_watch_open(struct store_watches *watches, h2o_req_t *req,
		      JsonObject *body, uint64_t now_us,
		      struct store_error *error)
{
	static const char *const members[] = { "key", "range_end",
					       "start_revision",
					       "progress_notify", NULL };
	JsonObject *create = store_get_object(body, "create_request");
	struct store_range range;
	struct watch *watch;
	int64_t start;

	if (!create) {
		store_fail(error, STORE_INVALID_ARGUMENT, "no create_request");
		return false;
	}
	store_only_members(create, members, error);
	range.key = store_get_bytes(create, "key", error);
	range.end = store_get_bytes(create, "range_end", error);
	if (error->code != STORE_OK) {
		g_bytes_unref(range.key);
		g_bytes_unref(range.end);
		return false;
	}
	start = control_int(create, "start_revision", 0);
	watch = watch_create(watches, req, range, start);
	watch->next_event = first_event(watches->table, start);
	watch->wants_progress = control_bool(create, "progress_notify", false);
	watch->opened_us = now_us;
	watch->sent_us = now_us;
	start_stream(req, &watch->generator);
	return true;
}

static void end(struct watch *watch)
{
	control_http_cut(watch->watches->http, watch->req);
	if (watch->sending || watch->ended)
		return;
	watch->ended = true;
	h2o_send(watch->req, NULL, 0, H2O_SEND_STATE_ERROR);
}

/*
 * Ends the watches whose client has gone.
 */
void store_watches_reap(struct store_watches *watches)
{
	GList *link = watches->open.head;

	while (link) {
		struct watch *watch = link->data;

		link = link->next;
		if (control_http_peer_closed(watches->http, watch->req))
			end(watch);
	}
}

/*
 * Breaks every watch's connection.
 */
void store_watches_close_all(struct store_watches *watches)
{
	GList *link = watches->open.head;

	while (link) {
		struct watch *watch = link->data;

		link = link->next;
		end(watch);
	}
}

/*
 * From now on, what a watch sends comes this much after its cause.
 */
void store_watches_set_delay(struct store_watches *watches, uint64_t delay_us)
{
	watches->delay_us = delay_us;
}

/*
 * The watches that are open now never send again, and stay open. Returns
 * how many there are.
 */
unsigned store_watches_silence(struct store_watches *watches)
{
	GList *link;

	for (link = watches->open.head; link; link = link->next)
		((struct watch *)link->data)->silent = true;
	return watches->open.length;
}

/*
 * Every open watch sends the last events again.
 */
void store_watches_replay(struct store_watches *watches, uint64_t events)
{
	uint64_t first = store_table_first_event(watches->table);
	uint64_t end_event = store_table_end_event(watches->table);
	uint64_t from = end_event - MIN(events, end_event - first);
	GList *link;

	for (link = watches->open.head; link; link = link->next) {
		struct watch *watch = link->data;

		watch->next_event = MIN(watch->next_event, from);
	}
}

/*
 * How many watches are open.
 */
guint store_watches_count(const struct store_watches *watches)
{
	return watches->open.length;
}

/*
 * How many watches have ended since the start.
 */
uint64_t store_watches_ended(const struct store_watches *watches)
{
	return watches->ended;
}

/*
 * How long the watches have waited together since the last reset.
 */
uint64_t store_watches_waited_us(const struct store_watches *watches,
				 uint64_t now_us)
{
	uint64_t sum_us = watches->waited_us;
	GList *link;

	for (link = watches->open.head; link; link = link->next)
		sum_us += waited_us(link->data, now_us);
	return sum_us;
}

/*
 * Counts the time that watches wait from now on.
 */
void store_watches_reset_waited(struct store_watches *watches, uint64_t now_us)
{
	watches->waited_us = 0;
	watches->reset_us = now_us;
}
