#include <celeryquay/suite.h>

#include <celeryquay/transport/wire.h>

#include <msgpack.h>
#include <string.h>

static struct request *example_request(void)
{
	struct request *r = request_create(REQUEST_IN_TRANSACTION);
	struct value *v = g_new0(struct value, 7);

	r->id = UINT64_MAX;
	r->service = STR("ledger");
	r->database = STR("miles-1");
	r->profile = STR("write");
	r->caller = STR("app");
	r->key = STR("k-1");
	r->key_given = true;
	r->resend = true;
	r->read_only = true;
	r->digest = STR("00ff");
	r->transaction = STR("proxy-1~9");
	r->seen = (struct position){ .term = 3, .index = 1ULL << 40 };
	r->deadline_left_us = 250000;
	v[0].type = VALUE_NULL;
	v[1].type = VALUE_BOOL;
	v[1].u.b = true;
	v[2].type = VALUE_INT;
	v[2].u.i = INT64_MIN;
	v[3].type = VALUE_INT;
	v[3].u.i = INT64_MAX;
	v[4].type = VALUE_FLOAT;
	v[4].u.f = 2.5;
	v[5].type = VALUE_TEXT;
	v[5].u.s = STR("a\0b");
	v[6].type = VALUE_BYTES;
	v[6].u.s = STR("\xff\x00");
	r->n_statements = 2;
	r->statements = g_new0(struct statement, 2);
	r->statements[0].sql = STR("INSERT INTO trip VALUES ($1)");
	r->statements[0].n_params = 7;
	r->statements[0].params = v;
	r->statements[1].sql = STR("SELECT 1");
	return r;
}

static void assert_str_eq(struct str a, struct str b)
{
	ck_assert(str_eq(a, b));
}

static void assert_value_eq(const struct value *a, const struct value *b)
{
	ck_assert_int_eq(a->type, b->type);
	if (a->type == VALUE_TEXT || a->type == VALUE_BYTES)
		assert_str_eq(a->u.s, b->u.s);
	else
		ck_assert_mem_eq(&a->u, &b->u, sizeof(a->u));
}

START_TEST(request_round_trip)
{
	struct request *in = example_request();
	GBytes *bytes = wire_pack_request(in);
	struct err err = { 0 };
	struct request *out = wire_unpack_request(str_from_bytes(bytes), &err);
	unsigned i;

	g_bytes_unref(bytes);
	ck_assert_msg(out != NULL, "%s", err.message);
	ck_assert_int_eq(out->kind, in->kind);
	ck_assert_uint_eq(out->id, in->id);
	assert_str_eq(out->service, in->service);
	assert_str_eq(out->database, in->database);
	assert_str_eq(out->profile, in->profile);
	assert_str_eq(out->caller, in->caller);
	assert_str_eq(out->key, in->key);
	ck_assert(out->key_given && out->resend && out->read_only);
	assert_str_eq(out->digest, in->digest);
	assert_str_eq(out->transaction, in->transaction);
	ck_assert_uint_eq(out->seen.term, in->seen.term);
	ck_assert_uint_eq(out->seen.index, in->seen.index);
	ck_assert_uint_eq(out->deadline_left_us, in->deadline_left_us);
	ck_assert_uint_eq(out->n_statements, 2);
	assert_str_eq(out->statements[0].sql, in->statements[0].sql);
	assert_str_eq(out->statements[1].sql, in->statements[1].sql);
	ck_assert_uint_eq(out->statements[0].n_params, 7);
	ck_assert_uint_eq(out->statements[1].n_params, 0);
	for (i = 0; i < 7; i++)
		assert_value_eq(&out->statements[0].params[i],
				&in->statements[0].params[i]);
	request_unref(in);
	request_unref(out);
}
END_TEST

START_TEST(answer_round_trip)
{
	struct answer *in = answer_error(ERR_OVERLOADED, "full: %d", 7);
	struct err err = { 0 };
	struct answer *out;
	GBytes *bytes;

	in->retry_after_us = 1500000;
	strcpy(in->sqlstate, "25006");
	in->results = g_bytes_new_static("[1]", 3);
	in->seen = (struct position){ .term = 2, .index = 9 };
	strcpy(in->server, "codes-1-a");
	in->by_primary = true;
	in->age_us = 12;
	in->repeated = true;
	in->transaction = STR("proxy-1~9");
	bytes = wire_pack_answer(in);
	out = wire_unpack_answer(str_from_bytes(bytes), &err);
	g_bytes_unref(bytes);
	ck_assert_msg(out != NULL, "%s", err.message);
	ck_assert_int_eq(out->outcome, OUTCOME_NOT_RUN);
	ck_assert_int_eq(out->err.code, ERR_OVERLOADED);
	ck_assert_str_eq(out->err.message, "full: 7");
	ck_assert_uint_eq(out->retry_after_us, 1500000);
	ck_assert_str_eq(out->sqlstate, "25006");
	ck_assert(g_bytes_equal(out->results, in->results));
	ck_assert_uint_eq(out->seen.term, 2);
	ck_assert_uint_eq(out->seen.index, 9);
	ck_assert_str_eq(out->server, "codes-1-a");
	ck_assert(out->by_primary && out->repeated);
	ck_assert_uint_eq(out->age_us, 12);
	assert_str_eq(out->transaction, STR("proxy-1~9"));
	answer_unref(in);
	answer_unref(out);
}
END_TEST

/*
 * The proxies are upgraded one by one, so a proxy of the next release may send
 * a field that this release doesn't know. The request must be served as if the
 * field weren't there.
 */
START_TEST(unknown_field_is_skipped)
{
	static const char message[] = "\x84\x01\x00\x03\xa1s\x04\xa1"
				      "d\xcd\x01\x00\x92\x01\x81\x02\xc0";
	struct err err = { 0 };
	struct request *r = wire_unpack_request(
		(struct str){ message, sizeof(message) - 1 }, &err);

	ck_assert_msg(r != NULL, "%s", err.message);
	assert_str_eq(r->service, STR("s"));
	assert_str_eq(r->database, STR("d"));
	request_unref(r);
}
END_TEST

struct bad {
	const char *why; /* shown when the test fails */
	struct str data; /* a message that must be rejected */
};

/* Keys: 1 kind, 2 id, 3 service, 4 database, 12 seen, 14 statements. */
static const struct bad bad_requests[] = {
	{ "empty", { "", 0 } },
	{ "not a map", { "\x91\x01", 2 } },
	{ "empty map", { "\x80", 1 } },
	{ "never used byte", { "\x81\x01\xc1", 3 } },
	{ "cut short", { "\x83\x01\x00\x03\xa1", 5 } },
	{ "trailing byte",
	  { "\x83\x01\x00\x03\xa1s\x04\xa1"
	    "d\x00",
	    10 } },
	{ "no kind",
	  { "\x82\x03\xa1s\x04\xa1"
	    "d",
	    7 } },
	{ "no database", { "\x82\x01\x00\x03\xa1s", 6 } },
	{ "unknown kind",
	  { "\x83\x01\x06\x03\xa1s\x04\xa1"
	    "d",
	    9 } },
	{ "kind is text",
	  { "\x83\x01\xa1x\x03\xa1s\x04\xa1"
	    "d",
	    10 } },
	{ "key is text",
	  { "\x83\x01\x00\xa1k\xa1s\x04\xa1"
	    "d",
	    10 } },
	{ "negative id",
	  { "\x84\x01\x00\x02\xff\x03\xa1s\x04\xa1"
	    "d",
	    11 } },
	{ "short position",
	  { "\x84\x01\x00\x0c\x91\x01\x03\xa1s\x04\xa1"
	    "d",
	    12 } },
	{ "huge list", { "\x82\x01\x00\x0e\xdd\xff\xff\xff\xff", 9 } },
	{ "huge map", { "\xdf\xff\xff\xff\xff", 5 } },
	{ "huge text", { "\x82\x01\x00\x03\xdb\xff\xff\xff\xff", 9 } },
	{ "too deep",
	  { "\x82\x01\x00\x0e\x91\x91\x91\x91\x91\x91\x91\x91\x00", 13 } },
	{ "statement without SQL",
	  { "\x84\x01\x00\x03\xa1s\x04\xa1"
	    "d\x0e\x91\x80",
	    12 } },
	{ "statements twice",
	  { "\x85\x01\x00\x03\xa1s\x04\xa1"
	    "d\x0e\x91\x81\x01\xa1x\x0e\x91\x81\x01\xa1x",
	    21 } },
	{ "list as parameter",
	  { "\x84\x01\x00\x03\xa1s\x04\xa1"
	    "d\x0e\x91\x82\x01\xa1x\x02\x91\x90",
	    18 } },
	{ "integer over 63 bits",
	  { "\x84\x01\x00\x03\xa1s\x04\xa1"
	    "d\x0e\x91\x82\x01\xa1x\x02\x91\xcf\xff\xff\xff\xff\xff\xff\xff"
	    "\xff",
	    26 } },
};

START_TEST(bad_request_is_refused)
{
	const struct bad *bad = &bad_requests[_i];
	struct err err = { 0 };
	struct request *r = wire_unpack_request(bad->data, &err);

	ck_assert_msg(!r, "%s", bad->why);
	ck_assert_msg(err.code == ERR_BAD_MESSAGE, "%s", bad->why);
}
END_TEST

static const struct bad bad_answers[] = {
	{ "no outcome", { "\x81\x08\xa1s", 4 } },
	{ "unknown outcome", { "\x81\x01\x04", 3 } },
	{ "results are text", { "\x82\x01\x00\x06\xa2[]", 7 } },
	{ "server with NUL", { "\x82\x01\x00\x08\xa1\x00", 6 } },
	{ "sqlstate too long",
	  { "\x82\x01\x00\x05\xa6"
	    "250061",
	    11 } },
	{ "results twice", { "\x83\x01\x00\x06\xc4\x01x\x06\xc4\x01x", 11 } },
};

/*
 * An answer without its outcome must not be taken for "done", whose number is
 * zero: the caller would believe that a write was made which never ran.
 */
START_TEST(bad_answer_is_refused)
{
	const struct bad *bad = &bad_answers[_i];
	struct err err = { 0 };
	struct answer *a = wire_unpack_answer(bad->data, &err);

	ck_assert_msg(!a, "%s", bad->why);
	ck_assert_msg(err.code == ERR_BAD_MESSAGE, "%s", bad->why);
}
END_TEST

/*
 * A valid message truncated at every length, and with every byte replaced by
 * every value, must cause no crash and no leak.
 */
START_TEST(damaged_messages_cause_no_crash)
{
	struct request *in = example_request();
	GBytes *bytes = wire_pack_request(in);
	gsize len;
	char *copy = g_bytes_unref_to_data(bytes, &len);
	size_t i;

	for (i = 0; i < len; i++) {
		struct err err = { 0 };
		struct request *r =
			wire_unpack_request((struct str){ copy, i }, &err);

		ck_assert(!r);
	}
	for (i = 0; i < len * 256; i++) {
		struct err err = { 0 };
		char was = copy[i / 256];

		copy[i / 256] = (char)(i % 256);
		request_unref(
			wire_unpack_request((struct str){ copy, len }, &err));
		copy[i / 256] = was;
	}
	g_free(copy);
	request_unref(in);
}
END_TEST

static TCase *cases(void)
{
	TCase *tc = tcase_create("wire");

	tcase_add_test(tc, request_round_trip);
	tcase_add_test(tc, answer_round_trip);
	tcase_add_test(tc, unknown_field_is_skipped);
	tcase_add_loop_test(tc, bad_request_is_refused, 0,
			    G_N_ELEMENTS(bad_requests));
	tcase_add_loop_test(tc, bad_answer_is_refused, 0,
			    G_N_ELEMENTS(bad_answers));
	tcase_add_test(tc, damaged_messages_cause_no_crash);
	return tc;
}

int main(void)
{
	return suite_main("wire", cases());
}
