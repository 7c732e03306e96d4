#include "store.h"

#include <stdio.h>
#include <string.h>

#include "process.h"

#define TICK_MS 10
#define PROGRESS_MS 5000

struct options {
	char *listen;
	char *control;
	char *load;
	gint progress_ms;
	gboolean exit_with_stdin;
};

static void on_timer(uv_timer_t *timer)
{
	store_front_tick(timer->data);
}

/*
 * An empty store. A watch that asked for progress gets a sign of life after
 * `progress_us` without events.
 */
struct store *store_create(uv_loop_t *loop, uint64_t progress_us)
{
	struct store *store = g_new0(struct store, 1);

	store->loop = loop;
	store->kv.table = store_table_create();
	store->kv.leases = store_leases_create(store->kv.table);
	store->kv.now_us = store_now_us();
	store->reset_us = store->kv.now_us;
	store->calls =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&store->held);
	store->http = control_http_create(loop, NULL, 0, store);
	control_http_set_raw(store->http, store_on_request);
	store->control = control_http_create(loop, store_control_routes,
					     store_control_route_count, store);
	store->watches =
		store_watches_create(store->kv.table, store->http, progress_us);
	uv_timer_init(loop, &store->timer);
	store->timer.data = store;
	uv_timer_start(&store->timer, on_timer, TICK_MS, TICK_MS);
	return store;
}

/*
 * Breaks all connections and frees.
 */
void store_destroy(struct store *store)
{
	uv_close((uv_handle_t *)&store->timer, NULL);
	store_front_drop_all(store);
	control_http_destroy(store->http);
	control_http_destroy(store->control);
	store_watches_destroy(store->watches);
	store_leases_destroy(store->kv.leases);
	store_table_destroy(store->kv.table);
	g_hash_table_destroy(store->calls);
	g_free(store->faults.lose_path);
	g_free(store);
}

static void load_member(JsonObject *object, const char *name, JsonNode *value,
			gpointer data)
{
	struct store *store = data;
	char *text = json_to_string(value, FALSE);
	g_autoptr(GBytes) key = g_bytes_new(name, strlen(name));
	g_autoptr(GBytes) bytes = g_bytes_new_take(text, strlen(text));

	(void)object;
	store_table_begin(store->kv.table, store->kv.now_us);
	store_table_put(store->kv.table, key, bytes, 0);
}

/*
 * Puts the members of a JSON file, each key with its value as JSON text.
 */
bool store_load(struct store *store, const char *path, GError **error)
{
	g_autoptr(JsonParser) parser = json_parser_new();
	JsonNode *root;

	if (!json_parser_load_from_file(parser, path, error))
		return false;
	root = json_parser_get_root(parser);
	if (!root || !JSON_NODE_HOLDS_OBJECT(root)) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
			    "%s is not a JSON object", path);
		return false;
	}
	json_object_foreach_member(json_node_get_object(root), load_member,
				   store);
	return true;
}

static void print_ready(const struct store *store)
{
	JsonObject *ready = json_object_new();

	json_object_set_int_member(ready, "http",
				   control_http_port(store->http));
	json_object_set_int_member(ready, "control",
				   control_http_port(store->control));
	process_print_ready(ready);
}

static bool parse_options(int argc, char **argv, struct options *options,
			  GError **error)
{
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &options->listen,
		  "Where the API listens", "HOST:PORT" },
		{ "control", 0, 0, G_OPTION_ARG_STRING, &options->control,
		  "Where the control port listens", "HOST:PORT" },
		{ "load", 0, 0, G_OPTION_ARG_FILENAME, &options->load,
		  "JSON object of keys to start with", "FILE" },
		{ "progress-ms", 0, 0, G_OPTION_ARG_INT, &options->progress_ms,
		  "Between signs of life on a silent watch", "MS" },
		{ "exit-with-stdin", 0, 0, G_OPTION_ARG_NONE,
		  &options->exit_with_stdin, "Stop at the end of stdin", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *context =
		g_option_context_new("- stand-in for the platform's store");
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, error);
	g_option_context_free(context);
	return parsed;
}

static bool start(struct store *store, const struct options *options,
		  GError **error)
{
	const char *any = "127.0.0.1:0";

	if (options->load && !store_load(store, options->load, error))
		return false;
	return control_http_listen(store->http,
				   options->listen ? options->listen : any,
				   error) &&
	       control_http_listen(store->control,
				   options->control ? options->control : any,
				   error);
}

int main(int argc, char **argv)
{
	struct options options = { .progress_ms = PROGRESS_MS };
	g_autoptr(GError) error = NULL;
	struct process *process;
	struct store *store;
	uv_loop_t loop;

	process_log_json();
	if (!parse_options(argc, argv, &options, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	uv_loop_init(&loop);
	process = process_create(&loop, options.exit_with_stdin);
	store = store_create(&loop, (uint64_t)options.progress_ms * 1000);
	if (start(store, &options, &error)) {
		print_ready(store);
		process_run(process);
	} else {
		fprintf(stderr, "%s\n", error->message);
	}
	store_destroy(store);
	process_destroy(process);
	uv_loop_close(&loop);
	g_free(options.listen);
	g_free(options.control);
	g_free(options.load);
	return error ? 1 : 0;
}
