#include "store.h"

#include "control_http.h"
#include "later.h"

#include <string.h>

#define SLOW_US (400 * MS)
#define LOST_US (5 * SEC) /* callers wait less for what never comes */
#define TICK_MS 10
#define LOSE_ONE_IN 3
#define HISTORY 4000 /* events; more than a run has */
#define FIRST_REVISION 1000
/* After a return: what was written is written again, what has gone lapses. */
#define REWRITE_MAX_MS 2000
#define LAPSE_US (3600 * MS) /* three heartbeats of silence */

struct item {
	char *key;
	char *value; /* NULL: deleted */
	uint64_t revision;
	int64_t lease;
};

struct lease {
	int64_t id;
	uint64_t ttl_us;
	uint64_t until_us;
};

/* What the store holds, or a copy of it. */
struct state {
	uint64_t revision;
	GTree *items; /* key -> struct item */
	GHashTable *leases; /* id -> struct lease */
	int64_t n_leases;
};

/* A call without an answer yet. */
struct call {
	struct store *store;
	h2o_req_t *req;
	uint64_t due_us;
	uint64_t after; /* of a watch */
	bool watches;
	bool has_run;
	uint64_t era; /* in which it has run */
	unsigned status;
	JsonNode *answer;
};

struct store {
	uv_loop_t *loop;
	struct control_http *http;
	uv_timer_t tick;
	store_promote_fn promote;
	void *ctx;
	enum store_fault fault;
	struct state state;
	struct state copy; /* items NULL: there is none */
	uint64_t era; /* rises with each return from the copy */
	uint64_t forgotten; /* events up to this one are gone */
	GPtrArray *events; /* struct item, oldest first */
	/* key -> value, as the platform's own writers have it */
	GHashTable *written;
	uint64_t rewrite_due_us; /* 0: nothing is to be written again */
	uint64_t lapse_due_us; /* 0: nothing lapses */
	unsigned n_calls;
	GQueue held; /* struct call */
};

static void item_free(gpointer data)
{
	struct item *i = data;

	g_free(i->key);
	g_free(i->value);
	g_free(i);
}

static struct item *item_new(const char *key, const char *value,
			     uint64_t revision, int64_t lease)
{
	struct item *i = g_new0(struct item, 1);

	i->key = g_strdup(key);
	i->value = g_strdup(value);
	i->revision = revision;
	i->lease = lease;
	return i;
}

static gint compare(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

static struct state state_create(uint64_t revision)
{
	return (struct state){
		.revision = revision,
		.items = g_tree_new_full(compare, NULL, g_free, item_free),
		.leases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free),
	};
}

static void state_clear(struct state *state)
{
	g_clear_pointer(&state->items, g_tree_destroy);
	g_clear_pointer(&state->leases, g_hash_table_destroy);
}

static struct state state_copy(const struct state *from)
{
	struct state copy = state_create(from->revision);
	GHashTableIter iter;
	GTreeNode *n;
	gpointer value;

	copy.n_leases = from->n_leases;
	for (n = g_tree_node_first(from->items); n; n = g_tree_node_next(n)) {
		const struct item *i = g_tree_node_value(n);

		g_tree_replace(copy.items, g_strdup(i->key),
			       item_new(i->key, i->value, i->revision,
					i->lease));
	}
	g_hash_table_iter_init(&iter, from->leases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct lease *l = g_memdup2(value, sizeof(*l));

		g_hash_table_insert(copy.leases, &l->id, l);
	}
	return copy;
}

static void set(struct store *s, const char *key, const char *value,
		int64_t lease)
{
	g_ptr_array_add(s->events,
			item_new(key, value, s->state.revision, lease));
	if (s->events->len > HISTORY)
		g_ptr_array_remove_index(s->events, 0);
	if (value)
		g_tree_replace(s->state.items, g_strdup(key),
			       item_new(key, value, s->state.revision, lease));
	else
		g_tree_remove(s->state.items, key);
}

static JsonNode *node_of(JsonObject *object)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);

	json_node_take_object(node, object);
	return node;
}

static JsonObject *item_json(const struct item *i)
{
	JsonObject *o = json_object_new();

	json_object_set_string_member(o, "key", i->key);
	json_object_set_int_member(o, "revision", (gint64)i->revision);
	if (i->value) {
		char *text = g_base64_encode((const guchar *)i->value,
					     strlen(i->value));

		json_object_set_string_member(o, "value", text);
		json_object_set_int_member(o, "leaseId", i->lease);
		g_free(text);
	} else {
		json_object_set_boolean_member(o, "deleted", TRUE);
	}
	return o;
}

static char *query_value(const h2o_req_t *req, const char *name)
{
	const char *base = req->path.base;
	char *query, *found = NULL;
	GHashTable *all;

	if (req->query_at == SIZE_MAX)
		return g_strdup("");
	query = g_strndup(base + req->query_at + 1,
			  req->path.len - req->query_at - 1);
	all = g_uri_parse_params(query, -1, "&", G_URI_PARAMS_NONE, NULL);
	if (all)
		found = g_strdup(g_hash_table_lookup(all, name));
	if (all)
		g_hash_table_unref(all);
	g_free(query);
	return found ? found : g_strdup("");
}

static uint64_t query_number(const h2o_req_t *req, const char *name)
{
	char *text = query_value(req, name);
	uint64_t value = g_ascii_strtoull(text, NULL, 10);

	g_free(text);
	return value;
}

struct page {
	JsonArray *items;
	char *prefix;
	char *after;
};

static gboolean add_to_page(gpointer key, gpointer value, gpointer data)
{
	struct page *p = data;

	if (g_str_has_prefix(key, p->prefix) &&
	    (!*p->after || strcmp(key, p->after) > 0))
		json_array_add_object_element(p->items, item_json(value));
	return FALSE;
}

static JsonNode *range(struct store *s, const h2o_req_t *req)
{
	struct page p = { json_array_new(), query_value(req, "prefix"),
			  query_value(req, "after") };
	JsonObject *o = json_object_new();

	g_tree_foreach(s->state.items, add_to_page, &p);
	json_object_set_array_member(o, "items", p.items);
	json_object_set_boolean_member(o, "hasMore", FALSE);
	json_object_set_int_member(o, "at", (gint64)s->state.revision);
	g_free(p.prefix);
	g_free(p.after);
	return node_of(o);
}

/* NULL when nothing happened since. */
static JsonNode *news(struct store *s, uint64_t after)
{
	JsonArray *events = json_array_new();
	JsonObject *o;
	unsigned i;

	for (i = 0; i < s->events->len; i++) {
		const struct item *e = g_ptr_array_index(s->events, i);

		if (e->revision > after)
			json_array_add_object_element(events, item_json(e));
	}
	if (!json_array_get_length(events)) {
		json_array_unref(events);
		return NULL;
	}
	o = json_object_new();
	json_object_set_array_member(o, "events", events);
	json_object_set_int_member(o, "at", (gint64)s->state.revision);
	return node_of(o);
}

static JsonNode *no_news(const struct store *s)
{
	JsonObject *o = json_object_new();

	json_object_set_array_member(o, "events", json_array_new());
	json_object_set_int_member(o, "at", (gint64)s->state.revision);
	return node_of(o);
}

static const struct item *find(const struct store *s, const char *key)
{
	return g_tree_lookup(s->state.items, key);
}

static bool holds(const struct store *s, JsonArray *conditions)
{
	unsigned i;

	for (i = 0; conditions && i < json_array_get_length(conditions); i++) {
		JsonObject *o = json_array_get_object_element(conditions, i);
		const struct item *item = find(s, control_string(o, "key", ""));

		if (control_int(o, "revision", 0) !=
		    (item ? (int64_t)item->revision : 0))
			return false;
	}
	return true;
}

static JsonNode *conflict(const struct store *s, JsonArray *conditions)
{
	JsonArray *items = json_array_new();
	JsonObject *o = json_object_new();
	unsigned i;

	for (i = 0; i < json_array_get_length(conditions); i++) {
		const struct item *item =
			find(s, control_string(json_array_get_object_element(
						       conditions, i),
					       "key", ""));

		if (item)
			json_array_add_object_element(items, item_json(item));
	}
	json_object_set_array_member(o, "items", items);
	return node_of(o);
}

static void set_all(struct store *s, JsonArray *keys)
{
	unsigned i;

	for (i = 0; keys && i < json_array_get_length(keys); i++) {
		JsonObject *o = json_array_get_object_element(keys, i);
		size_t len;
		guchar *value =
			g_base64_decode(control_string(o, "value", ""), &len);
		char *text = g_strndup((char *)value, len);

		set(s, control_string(o, "key", ""), text,
		    control_int(o, "leaseId", 0));
		g_free(text);
		g_free(value);
	}
}

static JsonNode *transact(struct store *s, JsonObject *body, unsigned *status)
{
	JsonArray *conditions =
		json_object_get_array_member(body, "precondition");
	JsonArray *keys = json_object_get_array_member(body, "setKeys");
	JsonObject *o;
	int64_t lease = 0;

	if (!holds(s, conditions)) {
		*status = 412;
		return conflict(s, conditions);
	}
	if (keys && json_array_get_length(keys))
		lease = control_int(json_array_get_object_element(keys, 0),
				    "leaseId", 0);
	if (lease && !g_hash_table_contains(s->state.leases, &lease)) {
		*status = 404;
		return NULL;
	}
	s->state.revision++;
	set_all(s, keys);
	o = json_object_new();
	json_object_set_int_member(o, "revision", (gint64)s->state.revision);
	return node_of(o);
}

static JsonNode *grant(struct store *s, JsonObject *body)
{
	struct lease *l = g_new0(struct lease, 1);
	JsonObject *o = json_object_new();

	l->id = ++s->state.n_leases;
	l->ttl_us = (uint64_t)control_int(body, "ttlMs", 1000) * MS;
	l->until_us = later_now_us() + l->ttl_us;
	g_hash_table_insert(s->state.leases, &l->id, l);
	json_object_set_int_member(o, "leaseId", l->id);
	json_object_set_int_member(o, "ttlMs", (gint64)(l->ttl_us / MS));
	return node_of(o);
}

static void end_lease(struct store *s, int64_t id)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GTreeNode *n;
	unsigned i;

	for (n = g_tree_node_first(s->state.items); n;
	     n = g_tree_node_next(n)) {
		const struct item *item = g_tree_node_value(n);

		if (item->lease == id)
			g_ptr_array_add(keys, g_strdup(item->key));
	}
	for (i = 0; i < keys->len; i++)
		store_put(s, g_ptr_array_index(keys, i), NULL);
	g_ptr_array_free(keys, TRUE);
	g_hash_table_remove(s->state.leases, &id);
}

static char *header(const h2o_req_t *req, const char *name)
{
	ssize_t at =
		h2o_find_header_by_str(&req->headers, name, strlen(name), -1);

	if (at < 0)
		return g_strdup("");
	return g_strndup(req->headers.entries[at].value.base,
			 req->headers.entries[at].value.len);
}

static unsigned promote(struct store *s, const h2o_req_t *req, JsonObject *body)
{
	char *holder = header(req, "x-lease-holder");
	char *token = header(req, "x-fencing-token");
	unsigned status = s->promote(s->ctx,
				     control_string(body, "service", ""),
				     control_string(body, "id", ""), holder,
				     g_ascii_strtoull(token, NULL, 10));

	g_free(token);
	g_free(holder);
	return status;
}

static bool is_below(const h2o_req_t *req, const char *path)
{
	return req->path_normalized.len > strlen(path) &&
	       !memcmp(req->path_normalized.base, path, strlen(path));
}

static int64_t id_after(const h2o_req_t *req, const char *path)
{
	return g_ascii_strtoll(req->path_normalized.base + strlen(path), NULL,
			       10);
}

static JsonNode *run(struct store *s, const h2o_req_t *req, JsonObject *body,
		     unsigned *status)
{
	static const char keep[] = "/api/kv-keep/";
	static const char end[] = "/api/kv-lease-end/";
	struct lease *lease;
	int64_t id;

	*status = 200;
	if (control_http_path_is(req, "/api/kv-range"))
		return range(s, req);
	if (control_http_path_is(req, "/api/kv-txn"))
		return transact(s, body, status);
	if (control_http_path_is(req, "/api/kv-lease"))
		return grant(s, body);
	if (control_http_path_is(req, "/promotions")) {
		*status = promote(s, req, body);
		return NULL;
	}
	if (is_below(req, keep)) {
		id = id_after(req, keep);
		lease = g_hash_table_lookup(s->state.leases, &id);
		if (lease)
			lease->until_us = later_now_us() + lease->ttl_us;
		else
			*status = 404;
		return NULL;
	}
	if (is_below(req, end)) {
		end_lease(s, id_after(req, end));
		return NULL;
	}
	*status = 404;
	return NULL;
}

static void run_call(struct call *c)
{
	JsonNode *body = control_http_parse(c->req);

	c->answer = run(c->store, c->req,
			body ? json_node_get_object(body) : NULL, &c->status);
	c->has_run = true;
	c->era = c->store->era;
	if (body)
		json_node_unref(body);
}

static void finish(struct call *c, bool lost)
{
	if (lost) {
		control_http_drop(c->store->http, c->req);
		g_clear_pointer(&c->answer, json_node_unref);
	} else {
		control_http_add_number(c->req, "store-era",
					c->has_run ? c->era : c->store->era);
		control_http_answer(c->req, c->status, c->answer);
	}
	g_free(c);
}

static bool is_due(struct call *c, uint64_t now_us)
{
	if (c->watches && !c->answer && c->status == 200)
		c->answer = news(c->store, c->after);
	if (c->answer && c->watches)
		return true;
	if (now_us < c->due_us)
		return false;
	if (c->watches && c->status == 200)
		c->answer = no_news(c->store);
	return true;
}

static void end_leases(struct store *s, uint64_t now_us)
{
	GList *all = g_hash_table_get_values(s->state.leases), *l;

	for (l = all; l; l = l->next) {
		const struct lease *lease = l->data;

		if (lease->until_us <= now_us)
			end_lease(s, lease->id);
	}
	g_list_free(all);
}

/* The platform's own writers write again what the return has undone. */
static void rewrite(struct store *s)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, s->written);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct item *item = find(s, key);

		if (item && !strcmp(item->value, value))
			continue;
		s->state.revision++;
		set(s, key, value, 0);
	}
}

/* What the return has brought back and nobody writes goes. */
static void lapse(struct store *s)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GTreeNode *n;
	unsigned i;

	for (n = g_tree_node_first(s->state.items); n;
	     n = g_tree_node_next(n)) {
		const struct item *item = g_tree_node_value(n);

		if (!item->lease && g_str_has_prefix(item->key, "servers/") &&
		    !g_hash_table_contains(s->written, item->key))
			g_ptr_array_add(keys, g_strdup(item->key));
	}
	for (i = 0; i < keys->len; i++)
		store_put(s, g_ptr_array_index(keys, i), NULL);
	g_ptr_array_free(keys, TRUE);
}

static void follow_return(struct store *s, uint64_t now_us)
{
	if (s->rewrite_due_us && now_us >= s->rewrite_due_us) {
		s->rewrite_due_us = 0;
		rewrite(s);
	}
	if (s->lapse_due_us && now_us >= s->lapse_due_us) {
		s->lapse_due_us = 0;
		lapse(s);
	}
}

static void on_tick(uv_timer_t *timer)
{
	struct store *s = timer->data;
	uint64_t now_us = later_now_us();
	GList *l = s->held.head;

	if (s->fault == STORE_REFUSES || s->fault == STORE_HANGS)
		return;
	follow_return(s, now_us);
	end_leases(s, now_us);
	while (l) {
		GList *next = l->next;
		struct call *c = l->data;

		if (is_due(c, now_us)) {
			g_queue_delete_link(&s->held, l);
			if (!c->watches && !c->has_run)
				run_call(c);
			finish(c,
			       !c->status || (s->fault == STORE_LOSES &&
					      ++s->n_calls % LOSE_ONE_IN == 0));
		}
		l = next;
	}
}

static bool has_history(const struct store *s, uint64_t after)
{
	return after >= s->forgotten && after <= s->state.revision;
}

static void begin_watch(struct call *c, uint64_t now_us)
{
	c->watches = true;
	c->status = 200;
	c->after = query_number(c->req, "after");
	c->due_us = now_us + query_number(c->req, "waitMs") * MS;
	if (!has_history(c->store, c->after)) {
		c->status = 410;
		c->due_us = now_us;
	}
}

static bool on_request(void *data, h2o_req_t *req)
{
	struct store *s = data;
	struct call *c = g_new0(struct call, 1);
	uint64_t now_us = later_now_us();

	c->store = s;
	c->req = req;
	if (s->fault == STORE_UNAVAILABLE || s->fault == STORE_REFUSES) {
		c->status = 503;
		finish(c, s->fault == STORE_REFUSES);
		return true;
	}
	if (s->fault == STORE_SLOW)
		c->due_us = now_us + SLOW_US;
	if (control_http_path_is(req, "/api/kv-watch")) {
		begin_watch(c, now_us);
	} else if (s->fault == STORE_GOOD) {
		run_call(c);
		if (c->status) {
			finish(c, false);
			return true;
		}
		c->due_us = now_us + LOST_US;
	}
	g_queue_push_tail(&s->held, c);
	return true;
}

/* An empty store on a port of its own; NULL: there is none. */
struct store *store_create(uv_loop_t *loop, store_promote_fn promote_fn,
			   void *ctx)
{
	struct store *s = g_new0(struct store, 1);

	s->loop = loop;
	s->promote = promote_fn;
	s->ctx = ctx;
	s->era = 1;
	s->state = state_create(FIRST_REVISION);
	s->written =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->events = g_ptr_array_new_with_free_func(item_free);
	s->http = control_http_create(loop, NULL, 0, s);
	control_http_set_raw(s->http, on_request);
	uv_timer_init(loop, &s->tick);
	s->tick.data = s;
	uv_timer_start(&s->tick, on_tick, TICK_MS, TICK_MS);
	if (control_http_listen(s->http, "127.0.0.1:0", NULL))
		return s;
	store_destroy(s);
	return NULL;
}

static void drop_held(struct store *s)
{
	struct call *c;

	while ((c = g_queue_pop_head(&s->held)))
		finish(c, true);
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* Memory goes with the loop's next turn. */
void store_destroy(struct store *s)
{
	if (!s)
		return;
	drop_held(s);
	control_http_destroy(s->http);
	state_clear(&s->state);
	state_clear(&s->copy);
	g_ptr_array_free(s->events, TRUE);
	g_hash_table_destroy(s->written);
	uv_close((uv_handle_t *)&s->tick, on_closed);
}

uint16_t store_port(const struct store *s)
{
	return control_http_port(s->http);
}

uint64_t store_put(struct store *s, const char *key, const char *value)
{
	if (value)
		g_hash_table_replace(s->written, g_strdup(key),
				     g_strdup(value));
	else
		g_hash_table_remove(s->written, key);
	if (!value && !find(s, key))
		return s->state.revision;
	s->state.revision++;
	set(s, key, value, 0);
	return s->state.revision;
}

/* All leases last on from now. */
static void extend_leases(struct store *s)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, s->state.leases);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct lease *)value)->until_us =
			later_now_us() + ((struct lease *)value)->ttl_us;
}

/*
 * Held calls are carried out when the store comes back, unless connections
 * were refused: their callers gave up long before.
 */
void store_set_fault(struct store *s, enum store_fault fault)
{
	if (fault == STORE_REFUSES) {
		drop_held(s);
		control_http_cut_all(s->http);
	}
	control_http_set_refusing(s->http, fault == STORE_REFUSES);
	/* A lease lasts at least as long as the outage. */
	if (s->fault && !fault)
		extend_leases(s);
	s->fault = fault;
}

void store_forget_history(struct store *s)
{
	s->forgotten = s->state.revision;
	g_ptr_array_set_size(s->events, 0);
}

/* Replaces an earlier copy. */
void store_copy(struct store *s)
{
	state_clear(&s->copy);
	s->copy = state_copy(&s->state);
}

static void end_impossible_watches(struct store *s)
{
	GList *l;

	for (l = s->held.head; l; l = l->next) {
		struct call *c = l->data;

		if (!c->watches || has_history(s, c->after))
			continue;
		c->status = 410;
		c->due_us = 0;
	}
}

/*
 * Comes back from the copy, if there is one; what was written since is gone,
 * leases too. The platform's own writers write again after rewrite_ms.
 */
void store_restore(struct store *s, unsigned rewrite_ms)
{
	const struct item *last;

	if (!s->copy.items)
		return;
	s->era++;
	state_clear(&s->state);
	s->state = state_copy(&s->copy);
	while (s->events->len) {
		last = g_ptr_array_index(s->events, s->events->len - 1);
		if (last->revision <= s->state.revision)
			break;
		g_ptr_array_set_size(s->events, (gint)s->events->len - 1);
	}
	s->forgotten = MIN(s->forgotten, s->state.revision);
	extend_leases(s);
	end_impossible_watches(s);
	s->rewrite_due_us =
		later_now_us() + MIN(rewrite_ms, REWRITE_MAX_MS) * MS;
	s->lapse_due_us = later_now_us() + LAPSE_US;
}
