#include "support_status.h"

#include <celeryquay/suite.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct model *model;

static void setup(void)
{
	model = model_create();
}

static void teardown(void)
{
	model_destroy(model);
}

#define SERVER                                                           \
	"{\"name\":\"a\",\"host\":\"127.0.0.1\",\"port\":1,\"slots\":3," \
	"\"connections\":20}"

START_TEST(test_profile)
{
	const struct profile *p;

	put_item(model, "profile/read-any", 5,
		 "{\"change\":\"1\",\"access\":\"read\",\"max_age_ms\":5000,"
		 "\"deadline_ms\":800,\"priority\":9,\"share\":40,"
		 "\"max_answer_bytes\":99,\"wait_for_replica_ms\":20}");
	p = model_profile(model, STR("read-any"));
	ck_assert_ptr_nonnull(p);
	ck_assert_str_eq(p->name, "read-any");
	ck_assert_int_eq(p->access, ACCESS_READ);
	ck_assert_uint_eq(p->max_age_us, 5000000);
	ck_assert(p->idempotent);
	ck_assert_uint_eq(p->deadline_us, 800000);
	ck_assert_uint_eq(p->priority, 9);
	ck_assert_uint_eq(p->share, 40);
	ck_assert_uint_eq(p->max_answer_bytes, 99);
	ck_assert_uint_eq(p->wait_for_replica_us, 20000);
	ck_assert_ptr_null(model_profile(model, STR("read")));
}
END_TEST

START_TEST(test_write_profile_defaults)
{
	const struct profile *p;

	put_item(model, "profile/w", 5,
		 "{\"change\":\"1\",\"access\":\"write\"}");
	p = model_profile(model, STR("w"));
	ck_assert_int_eq(p->access, ACCESS_WRITE);
	ck_assert(!p->idempotent);
	ck_assert_uint_eq(p->share, 100);
	ck_assert_uint_eq(p->max_age_us, 0);
}
END_TEST

START_TEST(test_database)
{
	const struct database_conf *db;

	put_item(model, "database/ledger/miles-1", 7,
		 "{\"change\":\"1\",\"user\":\"u\",\"reserve\":2,"
		 "\"servers\":[" SERVER ",{\"name\":\"b\","
		 "\"host\":\"::1\",\"port\":2,\"data_centre\":\"hall-a\","
		 "\"region\":\"fi-south\",\"slots\":2,\"connections\":9,"
		 "\"state\":\"leaving\"}]}");
	db = model_database(model, STR("ledger"), STR("miles-1"));
	ck_assert_ptr_nonnull(db);
	ck_assert_str_eq(db->service, "ledger");
	ck_assert_str_eq(db->dbname, "miles-1");
	ck_assert_uint_eq(db->reserve, 2);
	ck_assert_uint_eq(db->n_servers, 2);
	ck_assert(!db->servers[0].leaving);
	ck_assert_str_eq(db->servers[0].region, "");
	ck_assert(db->servers[1].leaving);
	ck_assert_str_eq(db->servers[1].data_centre, "hall-a");
	ck_assert_uint_eq(db->servers[1].connections, 9);
	ck_assert_ptr_null(model_database(model, STR("ledger"), STR("miles")));
}
END_TEST

START_TEST(test_other_kinds)
{
	put_item(model, "limit/x", 1, "{\"change\":\"1\",\"value\":-7}");
	put_item(model, "primary/s/d", 2,
		 "{\"change\":\"1\",\"term\":3,\"server\":\"a\","
		 "\"holder\":\"p/1\"}");
	put_item(model, "member/vm-1", 3,
		 "{\"change\":\"1\",\"host\":\"10.0.0.1\",\"peer_port\":9,"
		 "\"state\":\"leaving\"}");
	ck_assert_int_eq(model_limit(model, "x", 5), -7);
	ck_assert_int_eq(model_limit(model, "y", 5), 5);
	ck_assert_uint_eq(model_get(model, "primary/s/d")->u.primary.term, 3);
	ck_assert(model_get(model, "member/vm-1")->u.member.leaving);
	ck_assert_uint_eq(model_revision(model), 3);
}
END_TEST

struct bad_item {
	const char *key;
	const char *json;
	const char *expected_error; /* text that the error message contains */
};

static const struct bad_item bad_items[] = {
	{ "profile/p", "{\"change\":\"1\"}", "profile/p: access: missing" },
	{ "profile/p", "{\"access\":\"read\"}", "profile/p: change" },
	{ "profile/p", "{\"change\":\"1\",\"access\":\"rd\"}", "access" },
	{ "profile/p", "{\"change\":\"1\",\"access\":\"read\",\"max_age\":1}",
	  "max_age: unknown key" },
	{ "profile/p", "{\"change\":\"1\",\"access\":\"read\",\"share\":101}",
	  "share" },
	{ "profile/p", "{\"change\":\"1\",\"access\":\"read\",\"priority\":10}",
	  "priority" },
	{ "profile/p",
	  "{\"change\":\"1\",\"access\":\"read\",\"deadline_ms\":5,"
	  "\"wait_for_replica_ms\":6}",
	  "wait_for_replica_ms" },
	{ "profile/p", "[1]", "profile/p: not a JSON object" },
	{ "profile/p", "{", "profile/p" },
	{ "profile/a b", "{}", "no such kind" },
	{ "profile/..", "{}", "no such kind" },
	{ "profile/", "{}", "no such kind" },
	{ "profile", "{}", "no such kind" },
	{ "profile/a/b", "{}", "no such kind" },
	{ "thing/a", "{}", "no such kind" },
	{ "", "{}", "no such kind" },
	{ "database/s/d", "{\"change\":\"1\",\"user\":\"u\"}", "servers" },
	{ "database/s/d", "{\"change\":\"1\",\"user\":\"u\",\"servers\":[]}",
	  "servers" },
	{ "database/s/d", "{\"change\":\"1\",\"user\":\"u\",\"servers\":[7]}",
	  "element 0" },
	{ "database/s/d",
	  "{\"change\":\"1\",\"user\":\"u\",\"servers\":[" SERVER "," SERVER
	  "]}",
	  "two are named a" },
	{ "database/s/d",
	  "{\"change\":\"1\",\"user\":\"u\",\"reserve\":20,\"servers\":[" SERVER
	  "]}",
	  "reserve" },
	{ "database/s/d",
	  "{\"change\":\"1\",\"user\":\"u\",\"servers\":[{\"name\":\"a\","
	  "\"host\":\"h\",\"port\":70000,\"slots\":1,\"connections\":1}]}",
	  "servers[0]: port" },
	{ "database/s/d",
	  "{\"change\":\"1\",\"user\":\"u\",\"servers\":[{\"name\":\"a\","
	  "\"host\":\"h\",\"port\":1,\"slots\":4,\"connections\":3}]}",
	  "servers[0]: connections" },
	{ "caller/c", "{\"change\":\"1\"}", "token_sha256" },
	{ "caller/c", "{\"change\":\"1\",\"token_sha256\":[\"AB\"]}",
	  "element 0" },
	{ "key/k",
	  "{\"change\":\"1\",\"secret\":\"AAAA\",\"state\":\"signing\"}",
	  "secret" },
	{ "primary/s/d",
	  "{\"change\":\"1\",\"term\":0,\"server\":\"a\",\"holder\":\"h\"}",
	  "term" },
	{ "limit/x", "{\"change\":\"1\",\"value\":1.5}", "value" },
};

START_TEST(test_bad_items_are_refused)
{
	const struct bad_item *b = &bad_items[_i];
	struct err err = { 0 };

	ck_assert_ptr_null(item_parse(b->key, 1, str_from_c(b->json), &err));
	ck_assert_int_eq(err.code, ERR_BAD_ITEM);
	ck_assert_msg(strstr(err.message, b->expected_error), "%s",
		      err.message);
}
END_TEST

/*
 * A peer's item that is a megabyte of "[" crashes the proxy that parses it if
 * the JSON parser recurses for each of them without a limit.
 */
START_TEST(test_deep_item_is_refused)
{
	size_t len = 1000000;
	char *json = g_strnfill(len, '[');
	struct err err = { 0 };

	ck_assert_ptr_null(
		item_parse("limit/x", 1, (struct str){ json, len }, &err));
	ck_assert_int_eq(err.code, ERR_BAD_ITEM);
	g_free(json);
}
END_TEST

/*
 * An operator lowers a limit, and minutes later one proxy has the old value
 * again: a peer's update from before the change arrived late and was applied.
 * An item with a lower revision must change nothing.
 */
START_TEST(test_higher_revision_wins)
{
	struct item *tombstone;

	put_item(model, "limit/x", 5, "{\"change\":\"1\",\"value\":1}");
	put_item(model, "limit/x", 4, "{\"change\":\"0\",\"value\":0}");
	put_item(model, "limit/x", 5, "{\"change\":\"2\",\"value\":2}");
	ck_assert_int_eq(model_limit(model, "x", 9), 1);
	tombstone = item_tombstone("limit/x", 6);
	ck_assert(model_put(model, tombstone));
	ck_assert(!model_put(model, tombstone));
	item_unref(tombstone);
	put_item(model, "limit/x", 5, "{\"change\":\"1\",\"value\":1}");
	ck_assert_int_eq(model_limit(model, "x", 9), 9);
	ck_assert(model_get(model, "limit/x")->removed);
	put_item(model, "limit/x", 7, "{\"change\":\"3\",\"value\":3}");
	ck_assert_int_eq(model_limit(model, "x", 9), 3);
	ck_assert_ptr_null(item_tombstone("limit", 8));
}
END_TEST

/* A request keeps the item that it began with while an operator changes it. */
START_TEST(test_items_outlive_their_replacement)
{
	struct item *old_item;

	put_item(model, "limit/x", 5, "{\"change\":\"1\",\"value\":1}");
	old_item = item_ref(model_get(model, "limit/x"));
	put_item(model, "limit/x", 6, "{\"change\":\"2\",\"value\":2}");
	ck_assert_int_eq(old_item->u.limit.value, 1);
	ck_assert_str_eq(old_item->json, "{\"change\":\"1\",\"value\":1}");
	item_unref(old_item);
}
END_TEST

static void put_caller(const char *name, uint64_t revision, const char *token)
{
	unsigned char digest[SHA256_DIGEST_LENGTH];
	GString *json = g_string_new("{\"change\":\"1\",\"services\":[\"*\"],"
				     "\"token_sha256\":[\"");
	char *key = g_strdup_printf("caller/%s", name);
	unsigned i;

	SHA256((const unsigned char *)token, strlen(token), digest);
	for (i = 0; i < sizeof(digest); i++)
		g_string_append_printf(json, "%02x", digest[i]);
	g_string_append(json, "\"]}");
	put_item(model, key, revision, json->str);
	g_string_free(json, TRUE);
	g_free(key);
}

START_TEST(test_caller_by_token)
{
	const struct caller_conf *c;
	struct item *tombstone;

	put_caller("vans", 1, "secret-1");
	put_caller("desk", 2, "secret-2");
	c = model_caller_by_token(model, STR("secret-2"));
	ck_assert_str_eq(c->name, "desk");
	ck_assert_ptr_null(model_caller_by_token(model, STR("secret-3")));
	ck_assert_ptr_null(model_caller_by_token(model, STR("")));
	put_caller("desk", 3, "secret-3");
	ck_assert_ptr_null(model_caller_by_token(model, STR("secret-2")));
	ck_assert_ptr_nonnull(model_caller_by_token(model, STR("secret-3")));
	tombstone = item_tombstone("caller/vans", 4);
	model_put(model, tombstone);
	item_unref(tombstone);
	ck_assert_ptr_null(model_caller_by_token(model, STR("secret-1")));
}
END_TEST

static void append_key(struct item *item, void *ctx)
{
	g_string_append_printf(ctx, "%s ", item->key);
}

START_TEST(test_items_are_visited_in_order_of_keys)
{
	GString *keys = g_string_new(NULL);

	put_item(model, "limit/b", 1, "{\"change\":\"1\",\"value\":1}");
	put_item(model, "limit/a", 2, "{\"change\":\"1\",\"value\":1}");
	put_item(model, "limit/b", 3, "{\"change\":\"1\",\"value\":1}");
	model_each(model, append_key, keys);
	ck_assert_str_eq(keys->str, "limit/a limit/b ");
	g_string_free(keys, TRUE);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("model");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, test_profile);
	tcase_add_test(t, test_write_profile_defaults);
	tcase_add_test(t, test_database);
	tcase_add_test(t, test_other_kinds);
	tcase_add_loop_test(t, test_bad_items_are_refused, 0,
			    G_N_ELEMENTS(bad_items));
	tcase_add_test(t, test_deep_item_is_refused);
	tcase_add_test(t, test_higher_revision_wins);
	tcase_add_test(t, test_items_outlive_their_replacement);
	tcase_add_test(t, test_caller_by_token);
	tcase_add_test(t, test_items_are_visited_in_order_of_keys);
	return suite_main("model", t);
}
