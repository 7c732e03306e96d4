#include "cli.h"

#include <celeryquay/base/version.h>

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Defaults of --slots and --connections, for `upstream add`. */
#define DEFAULT_SLOTS 3
#define DEFAULT_CONNECTIONS 20
#define DEFAULT_TOP 10 /* of --top, for `load` */

typedef enum cli_exit (*command_fn)(struct cli *cli, char **args);
typedef enum cli_exit (*item_fn)(struct cli *cli, const char *kind,
				 char **args);

struct command {
	const char *words[2];
	const char *usage;
	unsigned min_args;
	unsigned max_args;
	command_fn run;
};

struct item_command {
	const char *verb;
	const char *usage;
	unsigned min_args;
	unsigned max_args;
	item_fn run;
};

static const struct command commands[] = {
	{ { "status", NULL }, "", 0, 0, cli_status },
	{ { "fleet", NULL }, "", 0, 0, cli_fleet },
	{ { "move", NULL }, "SERVICE/DATABASE SERVER", 2, 2, cli_move },
	{ { "upstream", "add" },
	  "SERVICE/DATABASE SERVER ADDRESS:PORT",
	  3,
	  3,
	  cli_upstream_add },
	{ { "upstream", "leave" },
	  "SERVICE/DATABASE SERVER",
	  2,
	  2,
	  cli_upstream_leave },
	{ { "upstream", "remove" },
	  "SERVICE/DATABASE SERVER",
	  2,
	  2,
	  cli_upstream_remove },
	{ { "token", "new" }, "", 0, 0, cli_token_new },
	{ { "key", "new" }, "ID", 1, 1, cli_key_new },
	{ { "peer-key", "new" }, "", 0, 0, cli_peer_key_new },
	{ { "settings", "check" }, "FILE", 1, 1, cli_settings_check },
	{ { "explain", NULL }, "ID FILE|-...", 2, 10000, cli_explain },
	{ { "causes", NULL }, "FILE|-...", 1, 10000, cli_causes },
	{ { "load", NULL }, "FILE|-...", 1, 10000, cli_load },
};

static const char *const kinds[] = { "profile", "database", "caller",
				     "limit",	"key",	    "member" };

static const struct item_command item_commands[] = {
	{ "list", "", 0, 0, cli_item_list },
	{ "get", "NAME", 1, 1, cli_item_get },
	{ "set", "NAME FILE|JSON|-", 2, 2, cli_item_set },
	{ "edit", "NAME FIELD=VALUE...", 2, 100, cli_item_edit },
	{ "diff", "NAME FILE|JSON|-", 2, 2, cli_item_diff },
	{ "remove", "NAME", 1, 1, cli_item_remove },
};

/* The text of --help that follows the options; freed with g_free(). */
static char *describe(void)
{
	GString *out = g_string_new("Commands:\n");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		g_string_append_printf(
			out, "  %s %s%s%s\n", commands[i].words[0],
			commands[i].words[1] ? commands[i].words[1] : "",
			commands[i].words[1] ? " " : "", commands[i].usage);
	for (i = 0; i < G_N_ELEMENTS(item_commands); i++)
		g_string_append_printf(out, "  KIND %s %s\n",
				       item_commands[i].verb,
				       item_commands[i].usage);
	g_string_append(out, "KIND is one of:");
	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		g_string_append_printf(out, " %s", kinds[i]);
	g_string_append(out,
			"\nExit codes: 0 done, 1 failed, 2 wrong usage, "
			"3 conflict with another change,\n4 not found, 5 not "
			"in force on all proxies in time, 6 no answer");
	return g_string_free(out, FALSE);
}

static enum cli_exit check_count(char **args, unsigned min, unsigned max,
				 const char *usage)
{
	unsigned n = g_strv_length(args);

	if (n >= min && n <= max)
		return CLI_OK;
	return cli_fail(CLI_USAGE, "wrong number of arguments; expected: %s",
			usage);
}

static enum cli_exit run_item(struct cli *cli, const char *kind, char **args)
{
	enum cli_exit code;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(item_commands); i++) {
		const struct item_command *c = &item_commands[i];

		if (strcmp(args[0], c->verb) != 0)
			continue;
		code = check_count(args + 1, c->min_args, c->max_args,
				   c->usage);
		return code ? code : c->run(cli, kind, args + 1);
	}
	return cli_fail(CLI_USAGE, "%s: no such command, see --help", args[0]);
}

static bool matches(const struct command *c, char **args)
{
	if (strcmp(args[0], c->words[0]) != 0)
		return false;
	if (!c->words[1])
		return true;
	return args[1] && !strcmp(args[1], c->words[1]);
}

static enum cli_exit run_command(struct cli *cli, char **args)
{
	enum cli_exit code;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		const struct command *c = &commands[i];
		unsigned words = c->words[1] ? 2 : 1;

		if (!matches(c, args))
			continue;
		code = check_count(args + words, c->min_args, c->max_args,
				   c->usage);
		return code ? code : c->run(cli, args + words);
	}
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (!strcmp(args[0], kinds[i]) && args[1])
			return run_item(cli, kinds[i], args + 1);
	}
	return cli_fail(CLI_USAGE, "%s: no such command, see --help", args[0]);
}

/* Splits ADDRESS:PORT into host and port; false if it is not of that form. */
static bool set_proxy(struct cli *cli, const char *proxy)
{
	const char *colon = proxy ? strrchr(proxy, ':') : NULL;

	if (!colon)
		return false;
	cli->host = g_strndup(proxy, (gsize)(colon - proxy));
	cli->port = atoi(colon + 1);
	return cli->port > 0;
}

struct options {
	char *proxy;
	char *token_file;
	gboolean json;
	gboolean dry_run;
	gboolean version;
	gint64 expect_revision;
	int wait_s;
	char **rest;
};

static bool parse_options(int *argc, char ***argv, struct options *o,
			  struct cli *cli)
{
	GOptionEntry entries[] = {
		{ "proxy", 'p', 0, G_OPTION_ARG_STRING, &o->proxy,
		  "Operators' port of the proxy (or $CELERYQUAY_PROXY)",
		  "ADDRESS:PORT" },
		{ "token-file", 't', 0, G_OPTION_ARG_FILENAME, &o->token_file,
		  "File with the operator's token (or $CELERYQUAY_TOKEN)",
		  "FILE" },
		{ "ca-file", 0, 0, G_OPTION_ARG_FILENAME, &cli->ca_file,
		  "Use TLS and trust the CA certificate in this file", "FILE" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &o->json,
		  "Print JSON instead of tables", NULL },
		{ "dry-run", 'n', 0, G_OPTION_ARG_NONE, &o->dry_run,
		  "Check a change without making it", NULL },
		{ "expect-revision", 'r', 0, G_OPTION_ARG_INT64,
		  &o->expect_revision,
		  "Change the item only if it has this revision", "N" },
		{ "wait", 'w', 0, G_OPTION_ARG_INT, &o->wait_s,
		  "Wait until a change is in force on all proxies, or a move "
		  "is done",
		  "SECONDS" },
		{ "data-centre", 0, 0, G_OPTION_ARG_STRING, &cli->data_centre,
		  "Data centre of the server to add", "NAME" },
		{ "region", 0, 0, G_OPTION_ARG_STRING, &cli->region,
		  "Region of the server to add", "NAME" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &cli->slots,
		  "Concurrent statements on the server to add", "N" },
		{ "connections", 0, 0, G_OPTION_ARG_INT, &cli->connections,
		  "Connection limit of the server to add", "N" },
		{ "second", 0, 0, G_OPTION_ARG_STRING, &cli->second,
		  "Show the load of this second alone", "TIME" },
		{ "from", 0, 0, G_OPTION_ARG_STRING, &cli->from,
		  "Show the load from this second on", "TIME" },
		{ "to", 0, 0, G_OPTION_ARG_STRING, &cli->to,
		  "Show the load up to this second", "TIME" },
		{ "top", 0, 0, G_OPTION_ARG_INT, &cli->top,
		  "Most rows in each list of a second (10)", "N" },
		{ "version", 'V', 0, G_OPTION_ARG_NONE, &o->version,
		  "Print the version and exit", NULL },
		{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->rest,
		  NULL, "COMMAND..." },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context = g_option_context_new("- operate celeryquay");
	char *description = describe();
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_description(context, description);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok) {
		cli_fail(CLI_USAGE, "%s", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	g_free(description);
	return ok;
}

static bool read_token(struct cli *cli, const char *file)
{
	GError *error = NULL;

	if (!file) {
		cli->token = g_strdup(g_getenv("CELERYQUAY_TOKEN"));
		return true;
	}
	if (!g_file_get_contents(file, &cli->token, NULL, &error)) {
		cli_fail(CLI_USAGE, "%s", error->message);
		g_error_free(error);
		return false;
	}
	g_strstrip(cli->token);
	return true;
}

/* Whether the command runs without a proxy. */
static bool is_local(char **args)
{
	return !strcmp(args[0], "settings") || !strcmp(args[0], "token") ||
	       !strcmp(args[0], "peer-key") || !strcmp(args[0], "explain") ||
	       !strcmp(args[0], "causes") || !strcmp(args[0], "load");
}

static void apply_options(struct cli *cli, const struct options *o)
{
	cli->json = o->json;
	cli->dry_run = o->dry_run;
	cli->expect_revision = o->expect_revision;
	cli->wait_s = o->wait_s;
}

static enum cli_exit run(struct cli *cli, const struct options *o)
{
	const char *proxy = o->proxy ? o->proxy : g_getenv("CELERYQUAY_PROXY");

	if (o->version) {
		puts("celeryquay " CQ_VERSION);
		return CLI_OK;
	}
	if (!o->rest)
		return cli_fail(CLI_USAGE, "no command, see --help");
	if (!is_local(o->rest) && !set_proxy(cli, proxy))
		return cli_fail(CLI_USAGE, "no proxy to ask: expected --proxy "
					   "ADDRESS:PORT");
	if (!read_token(cli, o->token_file))
		return CLI_USAGE;
	apply_options(cli, o);
	return run_command(cli, o->rest);
}

/* Parses the command line, runs one command, exits with its code. */
int main(int argc, char **argv)
{
	struct options options = { .expect_revision = -1 };
	struct cli cli = {
		.slots = DEFAULT_SLOTS,
		.connections = DEFAULT_CONNECTIONS,
		.top = DEFAULT_TOP,
	};
	enum cli_exit code = CLI_USAGE;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	cli.http = http_create();
	if (parse_options(&argc, &argv, &options, &cli))
		code = run(&cli, &options);
	http_destroy(cli.http);
	curl_global_cleanup();
	g_strfreev(options.rest);
	g_free(options.proxy);
	g_free(options.token_file);
	g_free(cli.data_centre);
	g_free(cli.region);
	g_free(cli.second);
	g_free(cli.from);
	g_free(cli.to);
	g_free(cli.ca_file);
	g_free(cli.token);
	g_free(cli.host);
	return (int)code;
}
