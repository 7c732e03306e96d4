#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The index of a server in a database's list; -1 if it is not listed. */
static int find_server(JsonArray *servers, const char *name)
{
	unsigned i, n = json_array_get_length(servers);

	for (i = 0; i < n; i++) {
		JsonObject *s = json_array_get_object_element(servers, i);

		if (!strcmp(json_object_get_string_member_with_default(
				    s, "name", ""),
			    name))
			return (int)i;
	}
	return -1;
}

/* Changes the list of servers of a database's item. */
typedef enum cli_exit (*change_fn)(struct cli *cli, JsonArray *servers,
				   char **args);

/* Reads a database's item, changes its list of servers and writes it back. */
static enum cli_exit change_servers(struct cli *cli, char **args,
				    change_fn change)
{
	char *key = g_strdup_printf("database/%s", args[0]);
	JsonObject *value = NULL;
	int64_t revision = 0;
	enum cli_exit code;

	code = cli_item_read(cli, key, &value, &revision);
	if (!code && !value)
		code = cli_fail(CLI_NOT_FOUND, "there is no %s", key);
	if (!code)
		code = change(cli,
			      json_object_get_array_member(value, "servers"),
			      args);
	if (!code)
		code = cli_item_write(cli, key, value, revision);
	if (value)
		json_object_unref(value);
	g_free(key);
	return code;
}

static enum cli_exit add(struct cli *cli, JsonArray *servers, char **args)
{
	const char *colon = strrchr(args[2], ':');
	JsonObject *server;
	char *host;

	if (!colon)
		return cli_fail(CLI_USAGE, "expected ADDRESS:PORT, got '%s'",
				args[2]);
	if (find_server(servers, args[1]) >= 0)
		return cli_fail(CLI_FAILED, "server %s is already listed",
				args[1]);
	server = json_object_new();
	host = g_strndup(args[2], (gsize)(colon - args[2]));
	json_object_set_string_member(server, "name", args[1]);
	json_object_set_string_member(server, "host", host);
	json_object_set_int_member(server, "port", atoi(colon + 1));
	json_object_set_string_member(server, "data_centre",
				      cli->data_centre ? cli->data_centre : "");
	json_object_set_string_member(server, "region",
				      cli->region ? cli->region : "");
	json_object_set_int_member(server, "slots", cli->slots);
	json_object_set_int_member(server, "connections", cli->connections);
	json_object_set_string_member(server, "state", "active");
	json_array_add_object_element(servers, server);
	g_free(host);
	return CLI_OK;
}

static enum cli_exit leave(struct cli *cli, JsonArray *servers, char **args)
{
	int i = find_server(servers, args[1]);

	(void)cli;
	if (i < 0)
		return cli_fail(CLI_NOT_FOUND, "there is no server %s",
				args[1]);
	json_object_set_string_member(json_array_get_object_element(servers,
								    (guint)i),
				      "state", "leaving");
	return CLI_OK;
}

static enum cli_exit drop(struct cli *cli, JsonArray *servers, char **args)
{
	int i = find_server(servers, args[1]);

	(void)cli;
	if (i < 0)
		return cli_fail(CLI_NOT_FOUND, "there is no server %s",
				args[1]);
	json_array_remove_element(servers, (guint)i);
	return CLI_OK;
}

/* upstream add SERVICE/DATABASE SERVER ADDRESS:PORT */
enum cli_exit cli_upstream_add(struct cli *cli, char **args)
{
	return change_servers(cli, args, add);
}

/* upstream leave SERVICE/DATABASE SERVER */
enum cli_exit cli_upstream_leave(struct cli *cli, char **args)
{
	return change_servers(cli, args, leave);
}

/* upstream remove SERVICE/DATABASE SERVER */
enum cli_exit cli_upstream_remove(struct cli *cli, char **args)
{
	return change_servers(cli, args, drop);
}
