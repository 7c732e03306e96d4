#include <celeryquay/transport/http_json.h>

#include <celeryquay/base/strict_json.h>

#include <stdarg.h>

/* The calling code owns the node. */
JsonNode *http_json_parse(struct str body)
{
	JsonNode *root = strict_json_parse(body, NULL);

	if (root && !JSON_NODE_HOLDS_OBJECT(root))
		g_clear_pointer(&root, json_node_unref);
	return root;
}

/* The calling code owns the text. */
char *http_json_strings(const char *name, ...)
{
	JsonObject *object = json_object_new();
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	va_list args;
	char *text;

	va_start(args, name);
	for (; name; name = va_arg(args, const char *))
		json_object_set_string_member(object, name,
					      va_arg(args, const char *));
	va_end(args);
	json_node_take_object(node, object);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

/*
 * Sends the request once, and not after the call has ended: what would be
 * delivered later is dropped. done() is called once, from the loop, unless h is
 * destroyed before. */
struct http_call *http_json_post_once(struct http *h, const char *url,
				      const char *const *headers,
				      const char *body, uint64_t timeout_us,
				      const struct http_events *events,
				      void *ctx)
{
	struct http_request request = {
		.url = url,
		.body = str_from_c(body),
		.headers = headers,
		.timeout_us = timeout_us,
		.connect_timeout_us = timeout_us,
		.new_connection = true,
		.drops_undelivered = true,
	};

	return http_start(h, &request, events, ctx);
}
