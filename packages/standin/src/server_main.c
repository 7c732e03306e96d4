#include "process.h"
#include "server.h"
#include "server_control.h"
#include "server_util.h"

#define LOG_MODULE "main"

static struct server_options options = {
	.connection_limit = 20,
	.connect_delay_ms = 10,
	.workers = 1,
	.idle_writer_ms = 2000,
};

static const GOptionEntry entries[] = {
	{ "name", 0, 0, G_OPTION_ARG_STRING, &options.name,
	  "the server's name in its group", "NAME" },
	{ "listen", 0, 0, G_OPTION_ARG_STRING, &options.listen,
	  "address for clients and replicas", "HOST:PORT" },
	{ "control", 0, 0, G_OPTION_ARG_STRING, &options.control,
	  "address of the control port", "HOST:PORT" },
	{ "peer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.peers,
	  "another server's address; repeatable", "NAME=HOST:PORT" },
	{ "primary-term", 0, 0, G_OPTION_ARG_INT64, &options.primary_term,
	  "start as the primary of this term", "TERM" },
	{ "follow", 0, 0, G_OPTION_ARG_STRING, &options.follow,
	  "start as a replica of this server", "NAME" },
	{ "init", 0, 0, G_OPTION_ARG_FILENAME, &options.init,
	  "SQL that a new primary runs first", "FILE" },
	{ "state-dir", 0, 0, G_OPTION_ARG_FILENAME, &options.state_dir,
	  "folder that keeps log, grants and role over a restart", "DIR" },
	{ "password", 0, 0, G_OPTION_ARG_STRING, &options.password,
	  "password to ask for; none is asked for without it", "PASSWORD" },
	{ "connection-limit", 0, 0, G_OPTION_ARG_INT, &options.connection_limit,
	  "most connections of clients (20)", "N" },
	{ "connect-delay-ms", 0, 0, G_OPTION_ARG_INT, &options.connect_delay_ms,
	  "time that a new connection takes (10)", "MS" },
	{ "lag-ms", 0, 0, G_OPTION_ARG_INT, &options.lag_ms,
	  "time from receiving an entry to applying it", "MS" },
	{ "receive-lag-ms", 0, 0, G_OPTION_ARG_INT, &options.receive_lag_ms,
	  "time that an entry takes to be received", "MS" },
	{ "statement-cost-us", 0, 0, G_OPTION_ARG_INT,
	  &options.statement_cost_us,
	  "time that a statement occupies a worker (off)", "US" },
	{ "workers", 0, 0, G_OPTION_ARG_INT, &options.workers,
	  "number of workers for --statement-cost-us (1)", "N" },
	{ "idle-writer-ms", 0, 0, G_OPTION_ARG_INT, &options.idle_writer_ms,
	  "how long an idle transaction may keep others from writing (2000)",
	  "MS" },
	{ "exit-with-stdin", 0, 0, G_OPTION_ARG_NONE, &options.exit_with_stdin,
	  "exit when standard input is closed", NULL },
	G_OPTION_ENTRY_NULL,
};

/* Reads the options. */
static bool read_options(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool done;

	g_option_context_set_summary(
		context, "A stand-in for one server of a database group: the "
			 "PostgreSQL protocol\nin front, SQLite behind, and a "
			 "log that replicas pull. For tests and trials.");
	g_option_context_add_main_entries(context, entries, NULL);
	done = g_option_context_parse(context, &argc, &argv, &error);
	if (done && !options.name) {
		g_set_error(&error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
			    "--name is needed");
		done = false;
	}
	if (!done)
		g_printerr("%s\n", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	if (!options.listen)
		options.listen = g_strdup("127.0.0.1:0");
	if (!options.control)
		options.control = g_strdup("127.0.0.1:0");
	return done;
}

/* Says on standard output that the server is ready, and where. */
static void say_ready(const struct server *srv, const struct control_http *http)
{
	JsonObject *ready = json_object_new();

	json_object_set_string_member(ready, "name", options.name);
	json_object_set_int_member(ready, "port", server_port(srv));
	json_object_set_int_member(ready, "control", control_http_port(http));
	process_print_ready(ready);
}

/* Runs a server until it is told to end; false when it can't start. */
static bool run(uv_loop_t *loop)
{
	struct process *process;
	struct control_http *http;
	struct server *srv;
	GError *error = NULL;

	srv = server_create(loop, &options);
	if (!srv || !server_listen(srv))
		return false;
	http = control_http_create(loop, server_control_routes,
				   server_control_route_count, srv);
	if (!control_http_listen(http, options.control, &error)) {
		LOG_ERR("%s", error->message);
		g_error_free(error);
		return false;
	}
	process = process_create(loop, options.exit_with_stdin);
	say_ready(srv, http);
	process_run(process);
	server_destroy(srv);
	control_http_destroy(http);
	process_destroy(process);
	return true;
}

int main(int argc, char **argv)
{
	uv_loop_t loop;

	if (!read_options(argc, argv))
		return 2;
	process_log_json();
	uv_loop_init(&loop);
	if (!run(&loop))
		return 1;
	uv_loop_close(&loop);
	return 0;
}
