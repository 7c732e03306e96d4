#define LOG_MODULE "main"
#include "node.h"
#include "planned_stop.h"
#include "relay_node.h"

#include <celeryquay/base/log.h>
#include <celeryquay/base/log_sink.h>
#include <celeryquay/base/version.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define EXIT_USAGE 2
/* How long the loop runs at exit before open handles are closed by force. */
#define CLOSE_TIMEOUT_MS 2000

struct options {
	char *settings; /* path of the settings file */
	gboolean check; /* only check the settings file */
	gboolean version;
};

static void on_signal(uv_signal_t *handle, int number)
{
	struct node *node = handle->data;

	(void)number;
	planned_stop_signal(node->stop);
}

static void on_walk(uv_handle_t *handle, void *arg)
{
	(void)arg;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void on_close_timeout(uv_timer_t *timer)
{
	uv_stop(timer->loop);
}

/*
 * The destroyed components close their handles asynchronously, so the loop runs
 * until all are closed. Handles that are still open after CLOSE_TIMEOUT_MS are
 * closed here. The timeout's timer is unreferenced, so that it does not keep
 * the loop alive by itself.
 */
static void close_loop(uv_loop_t *loop)
{
	uv_timer_t timeout;

	uv_timer_init(loop, &timeout);
	uv_timer_start(&timeout, on_close_timeout, CLOSE_TIMEOUT_MS, 0);
	uv_unref((uv_handle_t *)&timeout);
	uv_run(loop, UV_RUN_DEFAULT);
	uv_walk(loop, on_walk, NULL);
	uv_run(loop, UV_RUN_DEFAULT);
	uv_loop_close(loop);
}

static void watch_signal(uv_loop_t *loop, uv_signal_t *handle,
			 struct node *node, int number)
{
	uv_signal_init(loop, handle);
	handle->data = node;
	uv_signal_start(handle, on_signal, number);
}

/* Runs one proxy until it has stopped; returns the exit code. */
static int run(const struct node_settings *settings)
{
	uv_signal_t on_term, on_int;
	struct err err = { 0 };
	struct node *node;
	uv_loop_t loop;

	uv_loop_init(&loop);
	node = node_create(&loop, settings, &err);
	if (!node) {
		fprintf(stderr, "celeryquayd: %s (%d)\n", err.message,
			err.code);
		return EXIT_FAILURE;
	}
	watch_signal(&loop, &on_term, node, SIGTERM);
	watch_signal(&loop, &on_int, node, SIGINT);
	node_print_ready(node);
	uv_run(&loop, UV_RUN_DEFAULT);
	node_destroy(node);
	uv_close((uv_handle_t *)&on_term, NULL);
	uv_close((uv_handle_t *)&on_int, NULL);
	close_loop(&loop);
	return EXIT_SUCCESS;
}

static bool parse_options(int *argc, char ***argv, struct options *options)
{
	GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings,
		  "The settings file (JSON), see celeryquayd.json(5)", "FILE" },
		{ "check", 'c', 0, G_OPTION_ARG_NONE, &options->check,
		  "Check the settings file and exit", NULL },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &options->version,
		  "Print the version and exit", NULL },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new("- database proxy");
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok) {
		fprintf(stderr, "celeryquayd: %s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return ok;
}

/*
 * Exit codes: 0 after a planned stop or if --check found the settings valid,
 * 1 if the settings are invalid or a port can't be opened, 2 for an invalid
 * command line.
 */
int main(int argc, char **argv)
{
	struct options options = { 0 };
	struct node_settings *settings;
	struct err err = { 0 };
	int code;

	if (!parse_options(&argc, &argv, &options))
		return EXIT_USAGE;
	if (options.version) {
		printf("celeryquayd " CQ_VERSION "\n");
		return EXIT_SUCCESS;
	}
	if (!options.settings) {
		fprintf(stderr, "celeryquayd: --settings FILE is required\n");
		return EXIT_USAGE;
	}
	if (relay_node_is_configured(options.settings)) {
		code = relay_node_run(options.settings, options.check);
		g_free(options.settings);
		return code;
	}
	settings = node_settings_load(options.settings, &err);
	if (!settings ||
	    !node_settings_check_files(settings, options.settings, &err)) {
		fprintf(stderr, "celeryquayd: %s (%d)\n", err.message,
			err.code);
		node_settings_destroy(settings);
		return EXIT_FAILURE;
	}
	/* Writing to a connection closed by a caller must not end the process.
	 */
	signal(SIGPIPE, SIG_IGN);
	log_init(settings->name, settings->log_level, settings->log_decisions);
	if (!options.check)
		log_sink_open(STDOUT_FILENO, &settings->log_budget);
	if (options.check)
		code = printf("settings are good\n") < 0;
	else
		code = run(settings);
	node_settings_destroy(settings);
	g_free(options.settings);
	return code;
}
