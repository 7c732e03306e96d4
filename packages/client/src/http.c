#include <celeryquay/client/http.h>

#include <celeryquay/base/strict_json.h>

#include <curl/curl.h>

#define DEFAULT_TIMEOUT_MS 30000L
#define DEFAULT_HOST "127.0.0.1"

struct http {
	CURL *easy;
};

/* Creates a client with a connection of its own. */
struct http *http_create(void)
{
	struct http *h = g_new0(struct http, 1);

	h->easy = curl_easy_init();
	return h;
}

/* Closes the connection and frees the client. */
void http_destroy(struct http *h)
{
	if (!h)
		return;
	curl_easy_cleanup(h->easy);
	g_free(h);
}

static size_t on_body(char *data, size_t size, size_t n, void *user)
{
	g_string_append_len(user, data, (gssize)(size * n));
	return size * n;
}

static struct curl_slist *add_header(struct curl_slist *list, const char *name,
				     const char *value)
{
	char *line;

	if (!value)
		return list;
	line = g_strdup_printf("%s%s", name, value);
	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static struct curl_slist *make_headers(const struct http_call *call)
{
	struct curl_slist *list = NULL;

	list = add_header(list, "Authorization: Bearer ", call->token);
	list = add_header(list, "Celeryquay-Session: ", call->session);
	list = add_header(list, "Idempotency-Key: ", call->key);
	list = add_header(list, "Content-Type: application/json", "");
	return add_header(list, "Expect:", "");
}

static void parse_body(struct http_reply *reply)
{
	JsonNode *root;

	reply->parser = json_parser_new();
	if (!strict_json_load(reply->parser, str_from_gstring(reply->body),
			      NULL))
		return;
	root = json_parser_get_root(reply->parser);
	if (root && JSON_NODE_HOLDS_OBJECT(root))
		reply->json = json_node_get_object(root);
}

/* Makes one request; status 0 if no complete answer came. */
void http_call(struct http *h, int port, const char *path,
	       const struct http_call *call, struct http_reply *reply)
{
	struct curl_slist *headers = make_headers(call);
	char *url = g_strdup_printf("%s://%s:%d%s",
				    call->ca_file ? "https" : "http",
				    call->host ? call->host : DEFAULT_HOST,
				    port, path);

	http_reply_clear(reply);
	reply->body = g_string_new(NULL);
	curl_easy_reset(h->easy);
	curl_easy_setopt(h->easy, CURLOPT_URL, url);
	curl_easy_setopt(h->easy, CURLOPT_NOSIGNAL, 1L);
	if (call->ca_file)
		curl_easy_setopt(h->easy, CURLOPT_CAINFO, call->ca_file);
	curl_easy_setopt(h->easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(h->easy, CURLOPT_WRITEDATA, reply->body);
	curl_easy_setopt(h->easy, CURLOPT_TIMEOUT_MS,
			 call->timeout_ms ? call->timeout_ms :
					    DEFAULT_TIMEOUT_MS);
	if (call->body)
		curl_easy_setopt(h->easy, CURLOPT_POSTFIELDS, call->body);
	if (call->method)
		curl_easy_setopt(h->easy, CURLOPT_CUSTOMREQUEST, call->method);
	if (curl_easy_perform(h->easy) == CURLE_OK)
		curl_easy_getinfo(h->easy, CURLINFO_RESPONSE_CODE,
				  &reply->status);
	parse_body(reply);
	curl_slist_free_all(headers);
	g_free(url);
}

/* Frees what a reply holds and zeroes it for reuse. */
void http_reply_clear(struct http_reply *reply)
{
	if (reply->body)
		g_string_free(reply->body, TRUE);
	if (reply->parser)
		g_object_unref(reply->parser);
	*reply = (struct http_reply){ 0 };
}

/* A string member of the JSON reply; "" if there is none. */
const char *http_str(const struct http_reply *reply, const char *key)
{
	if (!reply->json)
		return "";
	return json_object_get_string_member_with_default(reply->json, key, "");
}
