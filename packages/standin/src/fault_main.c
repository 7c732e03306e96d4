#include "fault_control.h"

#include <stdio.h>
#include <string.h>

#include "process.h"

struct options {
	char *control;
	char **routes;
	gboolean exit_with_stdin;
};

static bool parse_options(int argc, char **argv, struct options *options,
			  GError **error)
{
	const GOptionEntry entries[] = {
		{ "control", 0, 0, G_OPTION_ARG_STRING, &options->control,
		  "Where the control port listens", "HOST:PORT" },
		{ "route", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->routes,
		  "A route to carry; may be repeated",
		  "NAME=HOST:PORT>HOST:PORT" },
		{ "exit-with-stdin", 0, 0, G_OPTION_ARG_NONE,
		  &options->exit_with_stdin, "Stop at the end of stdin", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *context =
		g_option_context_new("- TCP proxy that injects faults");
	bool parsed;

	g_option_context_add_main_entries(context, entries, NULL);
	parsed = g_option_context_parse(context, &argc, &argv, error);
	g_option_context_free(context);
	return parsed;
}

static bool add_route(struct fault_proxy *proxy, const char *text,
		      GError **error)
{
	const char *equals = strchr(text, '=');
	const char *arrow = equals ? strchr(equals, '>') : NULL;
	g_autofree char *name = NULL;
	g_autofree char *listen = NULL;

	if (!arrow) {
		g_set_error(error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
			    "not NAME=HOST:PORT>HOST:PORT: '%s'", text);
		return false;
	}
	name = g_strndup(text, (gsize)(equals - text));
	listen = g_strndup(equals + 1, (gsize)(arrow - equals - 1));
	return fault_proxy_add(proxy, name, listen, arrow + 1, error);
}

static bool start(struct fault_proxy *proxy, struct control_http *control,
		  const struct options *options, GError **error)
{
	char **route;

	if (!proxy->clock) {
		g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_FAILED,
			    "can't create a timer");
		return false;
	}
	for (route = options->routes; route && *route; route++) {
		if (!add_route(proxy, *route, error))
			return false;
	}
	return control_http_listen(
		control, options->control ? options->control : "127.0.0.1:0",
		error);
}

static void print_ready(const struct fault_proxy *proxy,
			const struct control_http *control)
{
	JsonObject *ready = json_object_new();
	JsonObject *routes = json_object_new();
	GHashTableIter iter;
	gpointer name;
	gpointer route;

	json_object_set_int_member(ready, "control",
				   control_http_port(control));
	g_hash_table_iter_init(&iter, proxy->routes);
	while (g_hash_table_iter_next(&iter, &name, &route))
		json_object_set_int_member(routes, name,
					   fault_route_port(route));
	json_object_set_object_member(ready, "routes", routes);
	process_print_ready(ready);
}

static void destroy_route(gpointer data)
{
	fault_route_destroy(data);
}

static bool run(uv_loop_t *loop, const struct options *options, GError **error)
{
	struct process *process =
		process_create(loop, options->exit_with_stdin);
	struct fault_proxy proxy = { .loop = loop };
	struct control_http *control;
	bool started;

	proxy.clock = fault_clock_create(loop);
	proxy.routes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     destroy_route);
	control = control_http_create(loop, fault_control_routes,
				      fault_control_route_count, &proxy);
	started = start(&proxy, control, options, error);
	if (started) {
		print_ready(&proxy, control);
		process_run(process);
	}
	g_hash_table_destroy(proxy.routes);
	control_http_destroy(control);
	fault_clock_destroy(proxy.clock);
	process_destroy(process);
	return started;
}

int main(int argc, char **argv)
{
	struct options options = { 0 };
	g_autoptr(GError) error = NULL;
	uv_loop_t loop;

	process_log_json();
	if (!parse_options(argc, argv, &options, &error)) {
		fprintf(stderr, "%s\n", error->message);
		return 2;
	}
	uv_loop_init(&loop);
	if (!run(&loop, &options, &error))
		fprintf(stderr, "%s\n", error->message);
	uv_loop_close(&loop);
	g_free(options.control);
	g_strfreev(options.routes);
	return error ? 1 : 0;
}
