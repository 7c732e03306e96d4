#define LOG_MODULE "admin"
#include "admin_private.h"
#include "store_sync.h"

#include <celeryquay/base/log.h>
#include <celeryquay/base/strict_json.h>
#include <json-glib/json-glib.h>

#include <inttypes.h>
#include <string.h>

/* Appends an item as JSON for operators; a key's secret is never included. */
static void append_item(GString *out, const struct item *item)
{
	g_string_append_printf(out,
			       "{\"key\":\"%s\",\"revision\":%" PRIu64
			       ",\"value\":",
			       item->key, item->revision);
	if (item->kind == ITEM_KEY)
		g_string_append_printf(
			out, "{\"state\":\"%s\"}",
			item->u.signing_key.signing ? "signing" : "accepting");
	else
		g_string_append(out, item->json);
	g_string_append_c(out, '}');
}

struct item_list {
	GString *out;
	const char *prefix; /* only items whose keys begin with this */
	bool comma; /* the next item needs a comma before it */
};

static void list_item(struct item *item, void *ctx)
{
	struct item_list *list = ctx;

	if (item->removed || !g_str_has_prefix(item->key, list->prefix))
		return;
	if (list->comma)
		g_string_append_c(list->out, ',');
	append_item(list->out, item);
	list->comma = true;
}

/*
 * Replies with the item of that key or, if there is none and the key has no
 * '/', with the list of all items whose keys begin with it.
 */
static void get_items(struct node *node, struct front_request *fr,
		      const char *key)
{
	struct item *item = model_get(node->model, key);
	struct item_list list = { .prefix = key };

	list.out = g_string_new(NULL);
	if (item && !item->removed) {
		append_item(list.out, item);
		admin_reply_json(fr, list.out);
		return;
	}
	if (strchr(key, '/')) {
		g_string_free(list.out, TRUE);
		admin_reply_error(fr, ERR_NO_SUCH_ITEM, key);
		return;
	}
	g_string_append(list.out, "{\"items\":[");
	model_each(node->model, list_item, &list);
	g_string_append_printf(list.out, "],\"revision\":%" PRIu64 "}",
			       confsync_revision(node->confsync));
	admin_reply_json(fr, list.out);
}

static void on_change_done(void *user, const struct err *err, uint64_t revision)
{
	struct admin_call *call = user;
	struct front_request *fr;
	GString *out;

	log_decision("change", "item", call->key, "operator",
		     call->operator_name, "result",
		     err->code ? err->message : "in force", NULL);
	out = g_string_new(NULL);
	g_string_append_printf(out, "{\"key\":\"%s\",\"revision\":%" PRIu64 "}",
			       call->key, revision);
	fr = admin_call_end(call);
	if (fr && !err->code)
		admin_reply_json(fr, g_steal_pointer(&out));
	else if (fr)
		admin_reply_error(fr, err->code, err->message);
	if (out)
		g_string_free(out, TRUE);
}

/* The checked body of a PUT or DELETE request. */
struct change_body {
	JsonParser *parser;
	JsonObject *value; /* NULL in a removal */
	const char *change; /* the operator's id for this change */
	int64_t expected_revision; /* revision that the item must have */
	bool dry_run;
};

static bool parse_change(struct str body, bool removal, struct change_body *out,
			 struct err *err)
{
	JsonObject *o;
	JsonNode *root, *value;

	out->parser = json_parser_new();
	if (!strict_json_load(out->parser, body, NULL) ||
	    !(root = json_parser_get_root(out->parser)) ||
	    !JSON_NODE_HOLDS_OBJECT(root)) {
		err_set(err, ERR_BAD_JSON, "the body is not a JSON object");
		return false;
	}
	o = json_node_get_object(root);
	value = json_object_get_member(o, "value");
	if (!removal && (!value || !JSON_NODE_HOLDS_OBJECT(value))) {
		err_set(err, ERR_BAD_FIELD, "value: a JSON object is required");
		return false;
	}
	out->value = removal ? NULL : json_node_get_object(value);
	out->change =
		json_object_get_string_member_with_default(o, "change", NULL);
	out->expected_revision = json_object_get_int_member_with_default(
		o, "expect_revision", -1);
	out->dry_run = json_object_get_boolean_member_with_default(o, "dry_run",
								   FALSE);
	if (!out->change || !*out->change || out->expected_revision < 0) {
		err_set(err, ERR_BAD_FIELD,
			"change (not empty) and expect_revision (0 or more) "
			"are required");
		return false;
	}
	return true;
}

/* The JSON text to store: the value, with the id of the change added. */
static char *value_to_json(const struct change_body *body)
{
	JsonNode *node = json_node_new(JSON_NODE_OBJECT);
	char *text;

	json_object_set_string_member(body->value, "change", body->change);
	json_node_set_object(node, body->value);
	text = json_to_string(node, FALSE);
	json_node_unref(node);
	return text;
}

/*
 * Copies the present secret into a change of a signing key that has none:
 * operators change a key's state without ever seeing its secret.
 */
static void copy_secret(struct node *node, const char *key,
			const struct change_body *body)
{
	const struct item *item = model_get(node->model, key);
	const struct key_conf *k;
	char *secret;

	if (!item || item->removed || item->kind != ITEM_KEY ||
	    json_object_has_member(body->value, "secret"))
		return;
	k = &item->u.signing_key;
	secret = g_base64_encode(k->secret, sizeof(k->secret));
	json_object_set_string_member(body->value, "secret", secret);
	g_free(secret);
}

/* Refuses an invalid item before it reaches the store or another proxy. */
static bool check_value(const char *key, const char *text, struct err *err)
{
	struct item *item = item_parse(key, 1, str_from_c(text), err);

	item_unref(item);
	return item != NULL;
}

static void reply_dry_run(struct front_request *fr, const char *key)
{
	GString *out = g_string_new(NULL);

	g_string_append_printf(out, "{\"key\":\"%s\",\"dry_run\":true}", key);
	admin_reply_json(fr, out);
}

/* Handles PUT and DELETE of one item. */
static void change_item(struct node *node, struct front_request *fr,
			const char *key, struct str body, bool removal,
			const char *operator_name)
{
	struct change_body parsed = { 0 };
	struct err err = { 0 };
	char *text = NULL;
	struct str view;

	if (!parse_change(body, removal, &parsed, &err))
		goto err;
	if (!removal) {
		copy_secret(node, key, &parsed);
		text = value_to_json(&parsed);
		if (!check_value(key, text, &err))
			goto err;
	}
	if (parsed.dry_run) {
		reply_dry_run(fr, key);
		goto out;
	}
	view = str_from_c(text);
	store_sync_change(node->store_sync, key,
			  (uint64_t)parsed.expected_revision,
			  removal ? NULL : &view, parsed.change, on_change_done,
			  admin_call_create(fr, key, operator_name));
	goto out;
err:
	admin_reply_error(fr, err.code, err.message);
out:
	g_free(text);
	if (parsed.parser)
		g_object_unref(parsed.parser);
}

/* Handles GET, PUT and DELETE of items; GET also takes a prefix of keys. */
void admin_items_on_request(struct node *node, struct front_request *fr,
			    struct str method, const char *key, struct str body,
			    const char *operator_name)
{
	if (*key == '/')
		key++;
	if (str_eq(method, STR("GET")))
		get_items(node, fr, key);
	else if (str_eq(method, STR("PUT")))
		change_item(node, fr, key, body, false, operator_name);
	else if (str_eq(method, STR("DELETE")))
		change_item(node, fr, key, body, true, operator_name);
	else
		admin_reply_error(
			fr, ERR_BAD_METHOD,
			"only GET, PUT and DELETE are allowed on items");
}
