#include "support_fleet_store.h"

#include <string.h>

/* Interval at which the store answers lists and watches. */
#define WATCH_STEP_US (50 * USEC_PER_MSEC)

struct value {
	uint64_t revision;
	char *json; /* NULL: removed */
};

struct store_event {
	char *key;
	struct value value;
};

struct watch {
	unsigned generation; /* of the watching process; 0: no watch */
	unsigned next_event; /* index of the next event to deliver */
	bool unreachable; /* the node can not reach the store */
};

struct fleet_store {
	struct fleet *fleet;
	unsigned n;
	GHashTable *keys; /* key -> struct value */
	GArray *events; /* struct store_event, all changes so far */
	struct watch *watches; /* one per node */
	uint64_t revision; /* of the last change */
	uint64_t list_count;
	bool down;
};

static void value_free(gpointer data)
{
	struct value *value = data;

	g_free(value->json);
	g_free(value);
}

/* Creates an empty store at revision 1. */
struct fleet_store *fleet_store_create(struct fleet *f)
{
	struct fleet_store *s = g_new0(struct fleet_store, 1);

	s->fleet = f;
	s->n = fleet_size(f);
	s->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					value_free);
	s->events = g_array_new(FALSE, FALSE, sizeof(struct store_event));
	s->watches = g_new0(struct watch, s->n);
	s->revision = 1;
	return s;
}

/* Frees the store, not the fleet. */
void fleet_store_destroy(struct fleet_store *s)
{
	unsigned i;

	for (i = 0; i < s->events->len; i++) {
		struct store_event *e =
			&g_array_index(s->events, struct store_event, i);

		g_free(e->key);
		g_free(e->value.json);
	}
	g_array_free(s->events, TRUE);
	g_hash_table_destroy(s->keys);
	g_free(s->watches);
	g_free(s);
}

/* Writes a value (NULL: removes the key); watches get it at the next step. */
uint64_t fleet_store_put(struct fleet_store *s, const char *key,
			 const char *json)
{
	struct value *value = g_new0(struct value, 1);
	struct store_event event = { .key = g_strdup(key) };

	value->revision = event.value.revision = ++s->revision;
	value->json = g_strdup(json);
	event.value.json = g_strdup(json);
	g_hash_table_replace(s->keys, g_strdup(key), value);
	g_array_append_val(s->events, event);
	return s->revision;
}

static void answer_list(struct fleet_store *s, unsigned node)
{
	struct confsync *c = fleet_confsync(s->fleet, node);
	uint64_t now_us = fleet_now(s->fleet);
	GHashTableIter iter;
	gpointer key, data;

	s->list_count++;
	confsync_list_begin(c);
	g_hash_table_iter_init(&iter, s->keys);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		struct value *value = data;

		if (value->json)
			confsync_from_store(c, key, value->revision, false,
					    str_from_c(value->json), now_us,
					    NULL);
	}
	confsync_list_done(c, s->revision, now_us);
	s->watches[node].generation = fleet_generation(s->fleet, node);
	s->watches[node].next_event = s->events->len;
}

static void deliver_events(struct fleet_store *s, unsigned node)
{
	struct confsync *c = fleet_confsync(s->fleet, node);
	struct watch *w = &s->watches[node];

	while (w->next_event < s->events->len) {
		const struct store_event *e = &g_array_index(
			s->events, struct store_event, w->next_event++);

		confsync_from_store(c, e->key, e->value.revision,
				    !e->value.json, str_from_c(e->value.json),
				    fleet_now(s->fleet), NULL);
	}
}

static void update_watch(struct fleet_store *s, unsigned node)
{
	struct watch *w = &s->watches[node];
	struct confsync *c = fleet_confsync(s->fleet, node);
	bool wanted = c && !s->down && !w->unreachable &&
		      confsync_is_watcher(c);

	if (!wanted || w->generation != fleet_generation(s->fleet, node))
		w->generation = 0;
	if (!wanted)
		return;
	if (!w->generation)
		answer_list(s, node);
	else
		deliver_events(s, node);
}

/* Runs the fleet; lists and watches are answered every 50 ms. */
void fleet_store_run(struct fleet_store *s, uint64_t duration_us)
{
	uint64_t end_us = fleet_now(s->fleet) + duration_us;
	unsigned i;

	while (fleet_now(s->fleet) < end_us) {
		for (i = 0; i < s->n; i++)
			update_watch(s, i);
		fleet_run(s->fleet,
			  MIN(WATCH_STEP_US, end_us - fleet_now(s->fleet)));
	}
}

/* While the store is down it answers no lists and delivers no events. */
void fleet_store_set_down(struct fleet_store *s, bool down)
{
	s->down = down;
}

/* Sets whether the node can not reach the store. */
void fleet_store_set_unreachable(struct fleet_store *s, unsigned node,
				 bool unreachable)
{
	s->watches[node].unreachable = unreachable;
}

/* Whether a node has a watch. */
bool fleet_store_watched_by(const struct fleet_store *s, unsigned node)
{
	return s->watches[node].generation != 0;
}

/* The number of nodes that have a watch. */
unsigned fleet_store_watch_count(const struct fleet_store *s)
{
	unsigned i, n = 0;

	for (i = 0; i < s->n; i++)
		n += s->watches[i].generation != 0;
	return n;
}

/* The number of lists answered so far. */
uint64_t fleet_store_list_count(const struct fleet_store *s)
{
	return s->list_count;
}

/* The revision of the last change. */
uint64_t fleet_store_revision(const struct fleet_store *s)
{
	return s->revision;
}

/* The number of running nodes whose own revision is below this one. */
unsigned fleet_store_lagging(struct fleet_store *s, uint64_t revision)
{
	unsigned i, n = 0;

	for (i = 0; i < s->n; i++) {
		struct confsync *c = fleet_confsync(s->fleet, i);

		n += c && confsync_revision(c) < revision;
	}
	return n;
}

static bool differs(struct fleet_store *s, struct model *model)
{
	GHashTableIter iter;
	gpointer key, data;

	g_hash_table_iter_init(&iter, s->keys);
	while (g_hash_table_iter_next(&iter, &key, &data)) {
		struct value *value = data;
		struct item *item = model_get(model, key);
		bool exists = item && !item->removed;

		if (exists != (value->json != NULL) ||
		    (exists && item->revision != value->revision))
			return true;
	}
	return false;
}

/* The number of running nodes whose model differs from the store. */
unsigned fleet_store_differing(struct fleet_store *s)
{
	unsigned i, n = 0;

	for (i = 0; i < s->n; i++) {
		if (fleet_is_up(s->fleet, i))
			n += differs(s, fleet_model(s->fleet, i));
	}
	return n;
}

/* The JSON of a valid database item with three servers, about 600 bytes. */
char *fleet_store_database(unsigned change)
{
	GString *json = g_string_new(NULL);
	unsigned i;

	g_string_printf(json,
			"{\"change\":\"change-%08u\",\"user\":\"proxy\","
			"\"dbname\":\"miles\",\"reserve\":2,\"servers\":[",
			change);
	for (i = 0; i < 3; i++)
		g_string_append_printf(
			json,
			"%s{\"name\":\"ledger-%u-%c\",\"host\":\"10.20.30.%u\","
			"\"port\":5432,\"data_centre\":\"dc-%02u\","
			"\"region\":\"region-%u\",\"slots\":3,"
			"\"connections\":20,\"state\":\"active\"}",
			i ? "," : "", change, 'a' + (int)i, i + 1, i, i % 2);
	g_string_append(json, "]}");
	return g_string_free(json, FALSE);
}
