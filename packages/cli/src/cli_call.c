#include "cli.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

/* Prints the error and returns the code, so that callers can return it. */
enum cli_exit cli_fail(enum cli_exit code, const char *fmt, ...)
{
	va_list args;

	fputs("celeryquay: ", stderr);
	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
	return code;
}

static enum cli_exit exit_for(const struct http_reply *reply)
{
	int64_t code = 0;

	if (reply->json)
		code = json_object_get_int_member_with_default(reply->json,
							       "code", 0);
	switch (code) {
	case ERR_CONFLICT:
		return CLI_CONFLICT;
	case ERR_NO_SUCH_ITEM:
	case ERR_NO_SUCH_DATABASE:
		return CLI_NOT_FOUND;
	case ERR_STORE_DOWN:
		return CLI_NO_ANSWER;
	default:
		return CLI_FAILED;
	}
}

static enum cli_exit report(const struct http_reply *reply)
{
	if (!reply->json)
		return cli_fail(CLI_FAILED,
				"the proxy answered with HTTP status %ld and "
				"not with JSON: %s",
				reply->status, reply->body->str);
	return cli_fail(exit_for(reply), "%s (%s %" G_GINT64_FORMAT ")",
			http_str(reply, "message"), http_str(reply, "name"),
			json_object_get_int_member_with_default(reply->json,
								"code", 0));
}

/* Calls the operators' port; on failure prints the error. */
enum cli_exit cli_call(struct cli *cli, const char *method, const char *path,
		       const char *body, struct http_reply *reply)
{
	struct http_call call = {
		.host = cli->host,
		.ca_file = cli->ca_file,
		.method = method,
		.token = cli->token,
		.body = body,
	};

	http_call(cli->http, cli->port, path, &call, reply);
	if (!reply->status)
		return cli_fail(CLI_NO_ANSWER,
				"no answer from the proxy at %s:%d", cli->host,
				cli->port);
	if (reply->status >= 300)
		return report(reply);
	return CLI_OK;
}

/* The JSON text of an object; freed with g_free(). */
char *cli_json_text(JsonObject *object, bool pretty)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_node_set_object(node, object);
	text = json_to_string(node, pretty);
	json_node_unref(node);
	return text;
}

/* Prints an object, indented. */
void cli_print_json(JsonObject *object)
{
	char *text = cli_json_text(object, true);

	puts(text);
	g_free(text);
}

/* A unique id for a change; freed with g_free(). */
char *cli_change_id(void)
{
	return g_uuid_string_random();
}
