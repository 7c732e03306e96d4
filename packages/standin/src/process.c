#include "process.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LOG_MODULE "process"
#define LOG_WARN(...)                                                 \
	g_log_structured(G_LOG_DOMAIN, G_LOG_LEVEL_WARNING, "MODULE", \
			 LOG_MODULE, "MESSAGE", __VA_ARGS__)

struct process {
	uv_loop_t *loop;
	uv_signal_t signals[2];
	uv_pipe_t input;
	bool has_input;
	bool stopping;
	char buffer[256];
};

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & (G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO))
		return "info";
	return "debug";
}

static GLogWriterOutput write_json(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
	JsonObject *line = json_object_new();
	g_autofree char *text = NULL;
	gsize i;

	(void)data;
	json_node_take_object(node, line);
	json_object_set_int_member(line, "at_us", g_get_real_time());
	json_object_set_string_member(line, "level", level_name(level));
	for (i = 0; i < count; i++) {
		const char *value = fields[i].value;

		if (strcmp(fields[i].key, "MODULE") == 0)
			json_object_set_string_member(line, "module", value);
		else if (strcmp(fields[i].key, "MESSAGE") == 0)
			json_object_set_string_member(line, "message", value);
	}
	text = json_to_string(node, FALSE);
	fprintf(stderr, "%s\n", text);
	return G_LOG_WRITER_HANDLED;
}

/*
 * Sends GLib's structured log to stderr, one JSON object a line.
 */
void process_log_json(void)
{
	g_log_set_writer_func(write_json, NULL, NULL);
}

/*
 * Prints {"ready":true,"pid":...} with the members of `ready`, which it
 * takes, as one line on stdout.
 */
void process_print_ready(JsonObject *ready)
{
	g_autoptr(JsonNode) node = json_node_new(JSON_NODE_OBJECT);
	g_autofree char *text = NULL;

	json_object_set_boolean_member(ready, "ready", TRUE);
	json_object_set_int_member(ready, "pid", getpid());
	json_node_take_object(node, ready);
	text = json_to_string(node, FALSE);
	printf("%s\n", text);
	fflush(stdout);
}

static void on_signal(uv_signal_t *handle, int number)
{
	struct process *process = handle->data;

	(void)number;
	process->stopping = true;
	uv_stop(process->loop);
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct process *process = handle->data;

	(void)size;
	*buf = uv_buf_init(process->buffer, sizeof(process->buffer));
}

static void on_input(uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
	struct process *process = stream->data;

	(void)buf;
	if (got >= 0)
		return;
	process->stopping = true;
	uv_stop(process->loop);
}

static void watch_input(struct process *process)
{
	uv_handle_type type = uv_guess_handle(STDIN_FILENO);
	int result;

	if (type != UV_NAMED_PIPE && type != UV_TTY) {
		LOG_WARN("stdin is neither a pipe nor a terminal; stopping");
		process->stopping = true;
		return;
	}
	uv_pipe_init(process->loop, &process->input, 0);
	process->input.data = process;
	process->has_input = true;
	result = uv_pipe_open(&process->input, STDIN_FILENO);
	if (result == 0)
		result = uv_read_start((uv_stream_t *)&process->input, on_alloc,
				       on_input);
	if (result == 0)
		return;
	LOG_WARN("can't watch stdin: %s; stopping", uv_strerror(result));
	process->stopping = true;
}

/*
 * Watches SIGTERM and SIGINT and, if asked, stdin, which must be a pipe or
 * a socket: its end stops the process, so that a test that dies takes its
 * stand-ins with it. SIGPIPE is ignored, as peers come and go.
 */
struct process *process_create(uv_loop_t *loop, bool exit_with_stdin)
{
	static const int numbers[] = { SIGTERM, SIGINT };
	struct process *process = g_new0(struct process, 1);
	size_t i;

	process->loop = loop;
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		uv_signal_init(loop, &process->signals[i]);
		process->signals[i].data = process;
		uv_signal_start(&process->signals[i], on_signal, numbers[i]);
	}
	if (exit_with_stdin)
		watch_input(process);
	return process;
}

/*
 * Runs the loop until the process is told to stop.
 */
void process_run(struct process *process)
{
	while (!process->stopping)
		uv_run(process->loop, UV_RUN_DEFAULT);
}

/*
 * Closes the handles, runs the loop until it is empty, and frees. Every
 * other user of the loop must have closed its handles before.
 */
void process_destroy(struct process *process)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(process->signals); i++)
		uv_close((uv_handle_t *)&process->signals[i], NULL);
	if (process->has_input)
		uv_close((uv_handle_t *)&process->input, NULL);
	uv_run(process->loop, UV_RUN_DEFAULT);
	g_free(process);
}
