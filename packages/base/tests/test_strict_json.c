#include <celeryquay/base/strict_json.h>

#include <celeryquay/suite.h>
#include <pthread.h>
#include <string.h>

struct row {
	const char *text;
	enum err_code code; /* 0: it is accepted */
};

static const struct row rows[] = {
	{ "{}", 0 },
	{ " [ ] ", 0 },
	{ "[1,-0,1.5,-2e-3,0.0E+1]", 0 },
	{ "{\"a\":{\"b\":[true,false,null]},\"c\":\"\\u00e9\"}", 0 },
	{ "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\"", 0 },
	{ "\"\\ud83d\\ude00\"", 0 },
	{ "9223372036854775807", 0 },
	{ "-9223372036854775808", 0 },
	{ "", ERR_BAD_JSON },
	{ " ", ERR_BAD_JSON },
	{ "{", ERR_BAD_JSON },
	{ "[1", ERR_BAD_JSON },
	{ "[1,]", ERR_BAD_JSON },
	{ "[,1]", ERR_BAD_JSON },
	{ "[1 2]", ERR_BAD_JSON },
	{ "{\"a\"}", ERR_BAD_JSON },
	{ "{\"a\":}", ERR_BAD_JSON },
	{ "{\"a\":1,}", ERR_BAD_JSON },
	{ "{a:1}", ERR_BAD_JSON },
	{ "{1:1}", ERR_BAD_JSON },
	{ "[}", ERR_BAD_JSON },
	{ "{]", ERR_BAD_JSON },
	{ "]", ERR_BAD_JSON },
	{ "{} {}", ERR_BAD_JSON },
	{ "{}x", ERR_BAD_JSON },
	{ "'a'", ERR_BAD_JSON },
	{ "/* \" */ {}", ERR_BAD_JSON },
	{ "{} // \"", ERR_BAD_JSON },
	{ "# a\n{}", ERR_BAD_JSON },
	{ "\357\273\277{}", ERR_BAD_JSON },
	{ "{\"a\":\f1}", ERR_BAD_JSON },
	{ "var a = {}", ERR_BAD_JSON },
	{ "nul", ERR_BAD_JSON },
	{ "nulll", ERR_BAD_JSON },
	{ "True", ERR_BAD_JSON },
	{ "NaN", ERR_BAD_JSON },
	{ "012", ERR_BAD_JSON },
	{ "0x1", ERR_BAD_JSON },
	{ "+1", ERR_BAD_JSON },
	{ ".5", ERR_BAD_JSON },
	{ "1.", ERR_BAD_JSON },
	{ "1e", ERR_BAD_JSON },
	{ "-", ERR_BAD_JSON },
	{ "\"\\x\"", ERR_BAD_JSON },
	{ "\"\\u12\"", ERR_BAD_JSON },
	{ "\"\n\"", ERR_BAD_JSON },
	{ "\"a", ERR_BAD_JSON },
	{ "\"\303\"", ERR_BAD_JSON },
	{ "\"\\u0000\"", ERR_BAD_FIELD },
	{ "\"\\ud83d\"", ERR_BAD_JSON },
	{ "\"\\ud83d\\u0041\"", ERR_BAD_JSON },
	{ "\"\\ude00\"", ERR_BAD_JSON },
	{ "9223372036854775808", ERR_BAD_FIELD },
};

/* Guards against a text that JSON-GLib reads otherwise than RFC 8259. */
START_TEST(grammar_is_that_of_json)
{
	const struct row *row = &rows[_i];
	struct err err = { 0 };
	JsonNode *root = strict_json_parse(str_from_c(row->text), &err);

	ck_assert_msg(err.code == row->code, "%s: %s", row->text, err.message);
	ck_assert(!root == (row->code != 0));
	if (root)
		json_node_unref(root);
}
END_TEST

/* Guards against a limit of nesting that is off by one, or not applied. */
START_TEST(nesting_is_limited)
{
	GString *text = g_string_new(NULL);
	struct err err = { 0 };
	unsigned depth, i;
	JsonNode *root;

	for (depth = STRICT_JSON_DEPTH_MAX; depth; depth--) {
		g_string_truncate(text, 0);
		for (i = 0; i < depth; i++)
			g_string_append(text, i % 2 ? "{\"a\":" : "[");
		g_string_append_c(text, '1');
		for (i = depth; i; i--)
			g_string_append_c(text, i % 2 ? ']' : '}');
		root = strict_json_parse(str_from_gstring(text), &err);
		ck_assert_msg(root != NULL, "%u: %s", depth, err.message);
		json_node_unref(root);
		g_string_prepend(text, "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[");
		ck_assert_ptr_null(
			strict_json_parse(str_from_gstring(text), &err));
		ck_assert_int_eq(err.code, ERR_TOO_DEEP);
	}
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(members_are_counted)
{
	unsigned members;

	ck_assert(strict_json_check(
		STR("{\"a\":[{\"b\":1,\"b\":{}}],\"c\":\"d\"}"), 8, &members,
		NULL));
	ck_assert_uint_eq(members, 4);
}
END_TEST

static unsigned depth_of(JsonNode *node);

static void note_member(JsonObject *object, const char *name, JsonNode *node,
			gpointer depth)
{
	unsigned *most = depth;

	(void)object;
	(void)name;
	*most = MAX(*most, depth_of(node));
}

static unsigned depth_of(JsonNode *node)
{
	unsigned most = 0, i;

	if (JSON_NODE_HOLDS_OBJECT(node)) {
		json_object_foreach_member(json_node_get_object(node),
					   note_member, &most);
		return most + 1;
	}
	if (!JSON_NODE_HOLDS_ARRAY(node))
		return 0;
	for (i = 0; i < json_array_get_length(json_node_get_array(node)); i++)
		most = MAX(most, depth_of(json_array_get_element(
					 json_node_get_array(node), i)));
	return most + 1;
}

#define MUTANTS 40000
#define MUTANT_MAX_BYTES 40000
/* Far less than texts of MUTANT_MAX_BYTES brackets would need. */
#define STACK_BYTES ((size_t)256 * 1024)

/* Parts of texts, among them what only JSON-GLib reads. */
static const char *const parts[] = {
	"{",	  "}",	   "[",	      "]",    ",",	 ":",	     "\"",
	"'",	  "\"a\"", "'a'",     "/*",   "*/",	 "//",	     "\n",
	"\\\"",	  "#",	   "1",	      "-1.5", "true",	 "\\",	     "null",
	" ",	  "\"\\",  "\\u0041", "[[[[", "{\"a\":", "/* \" */", "]]]]",
	"\"b\":", "0",	   "e9",      "\t",
};

static void draw_text(GRand *rng, GString *text)
{
	int n = g_rand_int_range(rng, 1, 24);

	g_string_truncate(text, 0);
	while (n--) {
		const char *part =
			parts[g_rand_int_range(rng, 0, G_N_ELEMENTS(parts))];
		int times = g_rand_int_range(rng, 0, 40) ?
				    1 :
				    g_rand_int_range(rng, 1, 5000);

		while (times-- && text->len < MUTANT_MAX_BYTES)
			g_string_append(text, part);
	}
}

/* Returns the first text whose reading breaks a promise, or NULL. */
static void *read_mutants(void *data)
{
	GRand *rng = g_rand_new_with_seed(1);
	GString *text = g_string_new(NULL);
	unsigned *n_read = data, i;
	char *wrong = NULL;

	for (i = 0; i < MUTANTS && !wrong; i++) {
		JsonNode *root;

		draw_text(rng, text);
		root = strict_json_parse(str_from_gstring(text), NULL);
		if (!root &&
		    strict_json_check(str_from_gstring(text),
				      STRICT_JSON_DEPTH_MAX, NULL, NULL))
			wrong = g_strdup(text->str);
		if (!root)
			continue;
		(*n_read)++;
		if (depth_of(root) > STRICT_JSON_DEPTH_MAX)
			wrong = g_strdup(text->str);
		json_node_unref(root);
	}
	g_string_free(text, TRUE);
	g_rand_free(rng);
	return wrong;
}

/* Guards against a text that passes the check and overflows the stack. */
START_TEST(what_passes_needs_little_stack)
{
	unsigned n_read = 0;
	pthread_attr_t attr;
	pthread_t thread;
	void *wrong;

	pthread_attr_init(&attr);
	ck_assert_int_eq(pthread_attr_setstacksize(&attr, STACK_BYTES), 0);
	ck_assert_int_eq(pthread_create(&thread, &attr, read_mutants, &n_read),
			 0);
	pthread_join(thread, &wrong);
	pthread_attr_destroy(&attr);
	ck_assert_msg(!wrong, "%s", (char *)wrong);
	ck_assert_uint_gt(n_read, MUTANTS / 100);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("strict_json");

	tcase_add_loop_test(tc, grammar_is_that_of_json, 0, G_N_ELEMENTS(rows));
	tcase_add_test(tc, nesting_is_limited);
	tcase_add_test(tc, members_are_counted);
	tcase_add_test(tc, what_passes_needs_little_stack);
	return suite_main("strict_json", tc);
}
