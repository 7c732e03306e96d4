#include "cli.h"

#include <celeryquay/base/strict_json.h>

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define WAIT_POLL_US 200000 /* pause between two polls of the fleet */

static char *item_path(const char *key)
{
	return g_strdup_printf("/v1/items/%s", key);
}

static char *item_key(const char *kind, const char *name)
{
	return g_strdup_printf("%s/%s", kind, name);
}

/* Reads an item; *value is NULL and *revision 0 if it does not exist. */
enum cli_exit cli_item_read(struct cli *cli, const char *key,
			    JsonObject **value, int64_t *revision)
{
	struct http_call call = { .host = cli->host,
				  .ca_file = cli->ca_file,
				  .token = cli->token };
	struct http_reply reply = { 0 };
	char *path = item_path(key);
	enum cli_exit code = CLI_OK;

	*value = NULL;
	*revision = 0;
	http_call(cli->http, cli->port, path, &call, &reply);
	if (reply.status == 404)
		goto out;
	if (reply.status != 200 || !reply.json) {
		code = cli_call(cli, NULL, path, NULL, &reply);
		goto out;
	}
	*value = json_object_ref(
		json_object_get_object_member(reply.json, "value"));
	*revision = json_object_get_int_member_with_default(reply.json,
							    "revision", 0);
out:
	http_reply_clear(&reply);
	g_free(path);
	return code;
}

static char *make_body(struct cli *cli, JsonObject *value, int64_t revision)
{
	JsonObject *body = json_object_new();
	char *change = cli_change_id();
	char *text;

	if (value)
		json_object_set_object_member(body, "value",
					      json_object_ref(value));
	json_object_set_int_member(
		body, "expect_revision",
		cli->expect_revision >= 0 ? cli->expect_revision : revision);
	json_object_set_string_member(body, "change", change);
	json_object_set_boolean_member(body, "dry_run", cli->dry_run);
	text = cli_json_text(body, false);
	json_object_unref(body);
	g_free(change);
	return text;
}

/* Writes an item, or removes it if value is NULL; waits if wait_s is set. */
enum cli_exit cli_item_write(struct cli *cli, const char *key,
			     JsonObject *value, int64_t revision)
{
	struct http_reply reply = { 0 };
	char *body = make_body(cli, value, revision);
	char *path = item_path(key);
	enum cli_exit code;
	int64_t written = 0;

	code = cli_call(cli, value ? "PUT" : "DELETE", path, body, &reply);
	if (code)
		goto out;
	if (cli->json)
		cli_print_json(reply.json);
	else if (cli->dry_run)
		printf("%s: valid, not changed (dry run)\n", key);
	else
		printf("%s: revision %" G_GINT64_FORMAT "\n", key,
		       json_object_get_int_member(reply.json, "revision"));
	written = json_object_get_int_member_with_default(reply.json,
							  "revision", 0);
	if (cli->wait_s && !cli->dry_run)
		code = cli_wait_in_force(cli, written);
out:
	http_reply_clear(&reply);
	g_free(path);
	g_free(body);
	return code;
}

/*
 * Counts the members that are not known to have reached the revision; prints
 * them to stderr if asked to.
 */
static unsigned count_lagging(JsonArray *members, int64_t revision, bool print)
{
	unsigned i, lagging = 0, n = json_array_get_length(members);

	for (i = 0; i < n; i++) {
		JsonObject *m = json_array_get_object_element(members, i);
		bool known = !json_object_get_null_member(m, "revision");
		int64_t has = json_object_get_int_member_with_default(
			m, "revision", 0);

		if (known && has >= revision)
			continue;
		lagging++;
		if (print)
			fprintf(stderr, "  %s: %s%" G_GINT64_FORMAT "\n",
				json_object_get_string_member(m, "name"),
				known ? "revision " :
					"no answer, counted as revision ",
				has);
	}
	return lagging;
}

/* Polls until the revision is in force on all proxies, for up to wait_s. */
enum cli_exit cli_wait_in_force(struct cli *cli, int64_t revision)
{
	gint64 deadline_us =
		g_get_monotonic_time() + (gint64)cli->wait_s * G_USEC_PER_SEC;
	struct http_reply reply = { 0 };
	enum cli_exit code;

	for (;;) {
		JsonArray *members;
		unsigned n, lagging;
		bool last = g_get_monotonic_time() >= deadline_us;

		code = cli_call(cli, NULL, "/v1/fleet", NULL, &reply);
		if (code)
			break;
		members = json_object_get_array_member(reply.json, "members");
		n = json_array_get_length(members);
		lagging = count_lagging(members, revision, last);
		fprintf(stderr, "in force on %u of %u proxies\n", n - lagging,
			n);
		if (!lagging)
			break;
		if (last) {
			code = cli_fail(CLI_NOT_IN_FORCE,
					"the change is made, but not in "
					"force on all proxies after %d s",
					cli->wait_s);
			break;
		}
		usleep(WAIT_POLL_US);
	}
	http_reply_clear(&reply);
	return code;
}

static void print_row(JsonObject *item)
{
	char *text = cli_json_text(json_object_get_object_member(item, "value"),
				   false);

	printf("%-32s %10" G_GINT64_FORMAT "  %s\n",
	       json_object_get_string_member(item, "key"),
	       json_object_get_int_member(item, "revision"), text);
	g_free(text);
}

/* KIND list */
enum cli_exit cli_item_list(struct cli *cli, const char *kind, char **args)
{
	struct http_reply reply = { 0 };
	char *path = item_path(kind);
	enum cli_exit code;
	JsonArray *items;
	unsigned i;

	(void)args;
	code = cli_call(cli, NULL, path, NULL, &reply);
	if (code)
		goto out;
	if (cli->json) {
		cli_print_json(reply.json);
		goto out;
	}
	items = json_object_get_array_member(reply.json, "items");
	printf("%-32s %10s  %s\n", "KEY", "REVISION", "VALUE");
	for (i = 0; i < json_array_get_length(items); i++)
		print_row(json_array_get_object_element(items, i));
out:
	http_reply_clear(&reply);
	g_free(path);
	return code;
}

/* KIND get NAME */
enum cli_exit cli_item_get(struct cli *cli, const char *kind, char **args)
{
	char *key = item_key(kind, args[0]);
	JsonObject *value;
	enum cli_exit code;
	int64_t revision;

	code = cli_item_read(cli, key, &value, &revision);
	if (!code && !value)
		code = cli_fail(CLI_NOT_FOUND, "there is no %s", key);
	if (!code) {
		if (!cli->json)
			printf("%s: revision %" G_GINT64_FORMAT "\n", key,
			       revision);
		cli_print_json(value);
	}
	if (value)
		json_object_unref(value);
	g_free(key);
	return code;
}

/* Reads a value: JSON text, the name of a file, or "-" for standard input. */
static JsonObject *read_value(const char *arg)
{
	JsonParser *parser = json_parser_new();
	JsonObject *value = NULL;
	struct err reason = { 0 };
	GError *error = NULL;
	char *text = NULL;
	JsonNode *root;

	if (*arg == '{')
		text = g_strdup(arg);
	else if (!g_file_get_contents(strcmp(arg, "-") ? arg : "/dev/stdin",
				      &text, NULL, &error))
		goto out;
	if (!strict_json_load(parser, str_from_c(text), &reason))
		goto out;
	root = json_parser_get_root(parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		value = json_object_ref(json_node_get_object(root));
out:
	if (error) {
		cli_fail(CLI_USAGE, "%s", error->message);
		g_error_free(error);
	} else if (reason.code) {
		cli_fail(CLI_USAGE, "%s", reason.message);
	} else if (!value) {
		cli_fail(CLI_USAGE, "the value is not a JSON object");
	}
	g_free(text);
	g_object_unref(parser);
	return value;
}

/* KIND set NAME FILE|JSON|- */
enum cli_exit cli_item_set(struct cli *cli, const char *kind, char **args)
{
	JsonObject *value = read_value(args[1]);
	char *key = item_key(kind, args[0]);
	JsonObject *old = NULL;
	int64_t revision = 0;
	enum cli_exit code;

	if (!value) {
		g_free(key);
		return CLI_USAGE;
	}
	code = cli_item_read(cli, key, &old, &revision);
	if (!code)
		code = cli_item_write(cli, key, value, revision);
	if (old)
		json_object_unref(old);
	json_object_unref(value);
	g_free(key);
	return code;
}

/* Sets FIELD=VALUE in an object; a VALUE that is not JSON becomes a string. */
static bool set_field(JsonObject *value, const char *arg)
{
	const char *equals = strchr(arg, '=');
	JsonNode *node;
	char *name;

	if (!equals || equals == arg)
		return false;
	name = g_strndup(arg, (gsize)(equals - arg));
	node = strict_json_parse(str_from_c(equals + 1), NULL);
	if (!node) {
		node = json_node_new(JSON_NODE_VALUE);
		json_node_set_string(node, equals + 1);
	}
	json_object_set_member(value, name, node);
	g_free(name);
	return true;
}

/* KIND edit NAME FIELD=VALUE ... */
enum cli_exit cli_item_edit(struct cli *cli, const char *kind, char **args)
{
	char *key = item_key(kind, args[0]);
	JsonObject *value = NULL;
	int64_t revision = 0;
	enum cli_exit code;
	unsigned i;

	code = cli_item_read(cli, key, &value, &revision);
	if (!code && !value)
		code = cli_fail(CLI_NOT_FOUND, "there is no %s", key);
	for (i = 1; !code && args[i]; i++) {
		if (!set_field(value, args[i]))
			code = cli_fail(CLI_USAGE,
					"expected FIELD=VALUE, got '%s'",
					args[i]);
	}
	if (!code)
		code = cli_item_write(cli, key, value, revision);
	if (value)
		json_object_unref(value);
	g_free(key);
	return code;
}

static char *member_text(JsonObject *o, const char *name)
{
	JsonNode *node = o ? json_object_get_member(o, name) : NULL;

	return node ? json_to_string(node, FALSE) : NULL;
}

/*
 * Prints the old and the new value of each field that differs, except the id
 * of the last change; returns how many do.
 */
static unsigned print_diff(JsonObject *old, JsonObject *new)
{
	GList *names = json_object_get_members(new);
	GList *l, *more = old ? json_object_get_members(old) : NULL;
	unsigned n_differ = 0;

	for (l = more; l; l = l->next) {
		if (!json_object_has_member(new, l->data))
			names = g_list_append(names, l->data);
	}
	for (l = names; l; l = l->next) {
		char *before = member_text(old, l->data);
		char *after = member_text(new, l->data);

		if (strcmp(l->data, "change") != 0 &&
		    g_strcmp0(before, after) != 0) {
			n_differ++;
			if (before)
				printf("- %s: %s\n", (char *)l->data, before);
			if (after)
				printf("+ %s: %s\n", (char *)l->data, after);
		}
		g_free(before);
		g_free(after);
	}
	g_list_free(names);
	g_list_free(more);
	return n_differ;
}

/* KIND diff NAME FILE|JSON|-; exit code 1 if they differ, as with diff(1). */
enum cli_exit cli_item_diff(struct cli *cli, const char *kind, char **args)
{
	JsonObject *value = read_value(args[1]);
	char *key = item_key(kind, args[0]);
	JsonObject *old = NULL;
	int64_t revision = 0;
	enum cli_exit code = CLI_USAGE;

	if (!value)
		goto out;
	code = cli_item_read(cli, key, &old, &revision);
	if (!code && print_diff(old, value))
		code = CLI_FAILED;
	json_object_unref(value);
	if (old)
		json_object_unref(old);
out:
	g_free(key);
	return code;
}

/* KIND remove NAME */
enum cli_exit cli_item_remove(struct cli *cli, const char *kind, char **args)
{
	char *key = item_key(kind, args[0]);
	JsonObject *value = NULL;
	int64_t revision = 0;
	enum cli_exit code;

	code = cli_item_read(cli, key, &value, &revision);
	if (!code && !value)
		code = cli_fail(CLI_NOT_FOUND, "there is no %s", key);
	if (!code)
		code = cli_item_write(cli, key, NULL, revision);
	if (value)
		json_object_unref(value);
	g_free(key);
	return code;
}
