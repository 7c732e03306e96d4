#include "cli.h"

#include <stdio.h>
#include <string.h>

#define WAIT_POLL_US 50000 /* pause between two reads of the primary */

static void print_members(JsonArray *members)
{
	unsigned i, n = json_array_get_length(members);

	printf("%-16s %-10s %-14s %-12s %s\n", "MEMBER", "STATE", "DATA CENTRE",
	       "REGION", "ADDRESS");
	for (i = 0; i < n; i++) {
		JsonObject *m = json_array_get_object_element(members, i);

		printf("%-16s %-10s %-14s %-12s %s:%" G_GINT64_FORMAT "\n",
		       json_object_get_string_member(m, "name"),
		       json_object_get_string_member(m, "state"),
		       json_object_get_string_member(m, "data_centre"),
		       json_object_get_string_member(m, "region"),
		       json_object_get_string_member(m, "host"),
		       json_object_get_int_member(m, "peer_port"));
	}
}

static const char *text_or(JsonObject *o, const char *name, const char *other)
{
	return json_object_get_string_member_with_default(o, name, other);
}

static int64_t int_or(JsonObject *o, const char *name)
{
	return json_object_get_int_member_with_default(o, name, -1);
}

static void print_server(JsonObject *s)
{
	char age[32] = "-";

	if (int_or(s, "age_ms") >= 0)
		g_snprintf(age, sizeof(age), "%" G_GINT64_FORMAT " ms",
			   int_or(s, "age_ms"));
	printf("  %-18s %-8s %8" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
	       " %10s%s\n",
	       text_or(s, "name", "?"), text_or(s, "role", "?"),
	       int_or(s, "received"), int_or(s, "applied"), age,
	       json_object_get_boolean_member_with_default(s, "leaving",
							   FALSE) ?
		       "  leaving" :
		       "");
}

static void print_database(JsonObject *db)
{
	JsonObject *group = json_object_get_object_member(db, "group");
	JsonArray *servers;
	unsigned i;

	printf("\n%s: home of rank %" G_GINT64_FORMAT ", term %" G_GINT64_FORMAT
	       ", primary %s\n",
	       text_or(db, "database", "?"), int_or(db, "rank"),
	       int_or(group, "term"), text_or(group, "primary", "none"));
	if (!json_object_has_member(group, "servers"))
		return;
	servers = json_object_get_array_member(group, "servers");
	printf("  %-18s %-8s %8s %8s %10s\n", "SERVER", "ROLE", "RECEIVED",
	       "APPLIED", "AGE");
	for (i = 0; i < json_array_get_length(servers); i++)
		print_server(json_array_get_object_element(servers, i));
}

/* status: the proxy, the members it knows, and its databases. */
enum cli_exit cli_status(struct cli *cli, char **args)
{
	struct http_reply reply = { 0 };
	JsonArray *databases;
	enum cli_exit code;
	unsigned i;

	(void)args;
	code = cli_call(cli, NULL, "/status", NULL, &reply);
	if (code)
		goto out;
	if (cli->json) {
		cli_print_json(reply.json);
		goto out;
	}
	printf("%s, version %s, up %" G_GINT64_FORMAT " s, configuration at "
	       "revision %" G_GINT64_FORMAT "\n\n",
	       http_str(&reply, "name"), http_str(&reply, "version"),
	       int_or(reply.json, "uptime_ms") / 1000,
	       int_or(reply.json, "config_revision"));
	print_members(json_object_get_array_member(reply.json, "members"));
	databases = json_object_get_array_member(reply.json, "databases");
	for (i = 0; i < json_array_get_length(databases); i++)
		print_database(json_array_get_object_element(databases, i));
out:
	http_reply_clear(&reply);
	return code;
}

/* fleet: the configuration revision that each member has in force. */
enum cli_exit cli_fleet(struct cli *cli, char **args)
{
	struct http_reply reply = { 0 };
	JsonArray *members;
	enum cli_exit code;
	unsigned i;

	(void)args;
	code = cli_call(cli, NULL, "/v1/fleet", NULL, &reply);
	if (code)
		goto out;
	if (cli->json) {
		cli_print_json(reply.json);
		goto out;
	}
	members = json_object_get_array_member(reply.json, "members");
	printf("%-16s %-14s %s\n", "MEMBER", "DATA CENTRE", "REVISION");
	for (i = 0; i < json_array_get_length(members); i++) {
		JsonObject *m = json_array_get_object_element(members, i);
		bool known = !json_object_get_null_member(m, "revision");

		printf("%-16s %-14s ", text_or(m, "name", "?"),
		       text_or(m, "data_centre", "?"));
		if (known)
			printf("%" G_GINT64_FORMAT "\n", int_or(m, "revision"));
		else
			puts("no answer");
	}
out:
	http_reply_clear(&reply);
	return code;
}

static bool is_primary(struct cli *cli, const char *key, const char *server,
		       enum cli_exit *code)
{
	JsonObject *value = NULL;
	int64_t revision = 0;
	bool is = false;

	*code = cli_item_read(cli, key, &value, &revision);
	if (!*code && value)
		is = !strcmp(text_or(value, "server", ""), server);
	if (value)
		json_object_unref(value);
	return is;
}

/* Polls the stored primary of the database until it is the server. */
static enum cli_exit wait_for_primary(struct cli *cli, const char *database,
				      const char *server)
{
	gint64 deadline_us =
		g_get_monotonic_time() + (gint64)cli->wait_s * G_USEC_PER_SEC;
	char *key = g_strconcat("primary/", database, NULL);
	enum cli_exit code;

	while (!is_primary(cli, key, server, &code) && !code) {
		if (g_get_monotonic_time() >= deadline_us)
			code = cli_fail(CLI_NOT_IN_FORCE,
					"%s is not recorded as the primary "
					"of %s after %d s; the move may still "
					"be going on",
					server, database, cli->wait_s);
		else
			g_usleep(WAIT_POLL_US);
	}
	if (!code)
		printf("%s: primary is %s\n", database, server);
	g_free(key);
	return code;
}

/* move SERVICE/DATABASE SERVER: starts a planned change of primary. */
enum cli_exit cli_move(struct cli *cli, char **args)
{
	char *path = g_strdup_printf("/v1/move/%s/%s", args[0], args[1]);
	struct http_reply reply = { 0 };
	enum cli_exit code;

	code = cli_call(cli, "POST", path, "{}", &reply);
	if (!code)
		printf("%s: moving the primary to %s\n", args[0], args[1]);
	http_reply_clear(&reply);
	g_free(path);
	if (!code && cli->wait_s)
		code = wait_for_primary(cli, args[0], args[1]);
	return code;
}
