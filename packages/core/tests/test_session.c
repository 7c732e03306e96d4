#include "support_status.h"

#include <celeryquay/core/session.h>
#include <celeryquay/suite.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct model *keys;

static void setup(void)
{
	keys = model_create();
	put_key(keys, "k1", 1, 1, "signing");
}

static void teardown(void)
{
	model_destroy(keys);
}

static struct position at(uint64_t term, uint64_t index)
{
	return (struct position){ term, index };
}

static GString *encode(const struct session *s)
{
	GString *text = g_string_new(NULL);

	ck_assert(session_encode(keys, s, text, NULL));
	ck_assert_uint_le(text->len, SESSION_MAX_TEXT_LEN);
	return text;
}

static bool decodes(const GString *text)
{
	struct session s;
	struct err err = { 0 };
	bool ok = session_decode(keys, str_from_gstring(text), &s, &err);

	ck_assert(ok || (err.code == ERR_BAD_SESSION && s.count == 0));
	return ok;
}

START_TEST(test_encoded_session_decodes_to_the_same)
{
	struct session s = { 0 }, decoded;
	GString *text;

	session_raise(&s, "ledger/miles-1", at(3, 120));
	session_raise(&s, "codebook/codes-1", at(UINT64_MAX, UINT64_MAX));
	text = encode(&s);
	ck_assert(session_decode(keys, str_from_gstring(text), &decoded, NULL));
	ck_assert_uint_eq(decoded.count, 2);
	ck_assert_uint_eq(session_seen(&decoded, "ledger/miles-1").term, 3);
	ck_assert_uint_eq(session_seen(&decoded, "ledger/miles-1").index, 120);
	ck_assert_uint_eq(session_seen(&decoded, "codebook/codes-1").index,
			  UINT64_MAX);
	ck_assert_uint_eq(session_seen(&decoded, "other/db").term, 0);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(test_empty_text_is_an_empty_session)
{
	struct session s;

	ck_assert(session_decode(keys, STR(""), &s, NULL));
	ck_assert_uint_eq(s.count, 0);
}
END_TEST

/* An answer that arrives late must not take a session back in time. */
START_TEST(test_a_lower_position_changes_nothing)
{
	struct session s = { 0 };

	session_raise(&s, "a/b", at(3, 10));
	session_raise(&s, "a/b", at(3, 9));
	ck_assert_uint_eq(session_seen(&s, "a/b").index, 10);
	session_raise(&s, "a/b", at(2, 900));
	ck_assert_uint_eq(session_seen(&s, "a/b").index, 10);
	session_raise(&s, "a/b", at(4, 5));
	ck_assert_uint_eq(session_seen(&s, "a/b").term, 4);
	session_raise(&s, "c/d", at(0, 0));
	ck_assert_uint_eq(s.count, 1);
}
END_TEST

START_TEST(test_least_recently_seen_database_is_dropped)
{
	struct session s = { 0 };
	char name[32];
	unsigned i;

	for (i = 0; i < SESSION_MAX_DATABASES; i++) {
		snprintf(name, sizeof(name), "s/d%u", i);
		session_raise(&s, name, at(1, i + 1));
	}
	session_raise(&s, "s/d0", at(1, 1));
	session_raise(&s, "s/new", at(1, 1));
	ck_assert_uint_eq(s.count, SESSION_MAX_DATABASES);
	ck_assert_uint_eq(session_seen(&s, "s/d0").term, 1);
	ck_assert_uint_eq(session_seen(&s, "s/d1").term, 0);
	ck_assert_uint_eq(session_seen(&s, "s/new").term, 1);
}
END_TEST

/* With the longest names the token keeps its limit; the latest entries stay. */
START_TEST(test_token_length_is_bounded)
{
	struct session s = { 0 }, decoded;
	char name[96];
	GString *text;
	unsigned i;

	for (i = 0; i < SESSION_MAX_DATABASES; i++) {
		snprintf(name, sizeof(name), "%095u", i);
		session_raise(&s, name, at(UINT64_MAX, UINT64_MAX));
	}
	text = encode(&s);
	ck_assert(session_decode(keys, str_from_gstring(text), &decoded, NULL));
	ck_assert_uint_ge(decoded.count, 10);
	ck_assert_uint_eq(session_seen(&decoded, name).term, UINT64_MAX);
	g_string_free(text, TRUE);
}
END_TEST

/* A token with any one wrong character is refused, and so is a shorter one. */
START_TEST(test_forged_tokens_are_refused)
{
	struct session s = { 0 };
	GString *text;
	size_t i;

	session_raise(&s, "ledger/miles-1", at(3, 120));
	text = encode(&s);
	for (i = 0; i < text->len; i++) {
		char c = text->str[i];

		text->str[i] = c == 'A' ? 'E' : 'A';
		ck_assert(!decodes(text));
		text->str[i] = '=';
		ck_assert(!decodes(text));
		text->str[i] = c;
	}
	g_string_append_c(text, 'A');
	ck_assert(!decodes(text));
	while (text->len > 1) {
		g_string_truncate(text, text->len - 1);
		ck_assert(text->len == i || !decodes(text));
	}
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(test_random_tokens_are_refused)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdef-_0123";
	GRand *rng = g_rand_new_with_seed(7);
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < 20000; i++) {
		int len = g_rand_int_range(rng, 1, 120);

		g_string_assign(text, "AQJrM"); /* version 1, id "k1" */
		while (len--)
			g_string_append_c(text,
					  digits[g_rand_int_range(rng, 0, 38)]);
		ck_assert(!decodes(text));
	}
	g_string_set_size(text, SESSION_MAX_TEXT_LEN + 1);
	ck_assert(!decodes(text));
	g_string_free(text, TRUE);
	g_rand_free(rng);
}
END_TEST

/*
 * An operator changes the signing key. Clients whose tokens were signed with
 * the old key lose their sessions unless both keys are accepted for a time.
 */
START_TEST(test_keys_change_with_overlap)
{
	struct session s = { 0 };
	GString *old, *new;
	struct item *tombstone;

	session_raise(&s, "a/b", at(1, 1));
	old = encode(&s);
	put_key(keys, "k2", 2, 2, "accepting");
	new = encode(&s);
	ck_assert_str_eq(old->str, new->str);
	g_string_free(new, TRUE);
	put_key(keys, "k2", 3, 2, "signing");
	new = encode(&s);
	ck_assert_str_ne(old->str, new->str);
	put_key(keys, "k1", 4, 1, "accepting");
	ck_assert(decodes(old));
	ck_assert(decodes(new));
	tombstone = item_tombstone("key/k1", 5);
	model_put(keys, tombstone);
	item_unref(tombstone);
	ck_assert(!decodes(old));
	ck_assert(decodes(new));
	g_string_free(old, TRUE);
	g_string_free(new, TRUE);
}
END_TEST

START_TEST(test_no_token_without_a_signing_key)
{
	struct session s = { 0 };
	GString *text = g_string_new(NULL);
	struct err err = { 0 };

	put_key(keys, "k1", 2, 1, "accepting");
	ck_assert(!session_encode(keys, &s, text, &err));
	ck_assert_int_eq(err.code, ERR_INTERNAL);
	ck_assert_uint_eq(text->len, 0);
	g_string_free(text, TRUE);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("session");

	tcase_add_checked_fixture(t, setup, teardown);
	tcase_add_test(t, test_encoded_session_decodes_to_the_same);
	tcase_add_test(t, test_empty_text_is_an_empty_session);
	tcase_add_test(t, test_a_lower_position_changes_nothing);
	tcase_add_test(t, test_least_recently_seen_database_is_dropped);
	tcase_add_test(t, test_token_length_is_bounded);
	tcase_add_test(t, test_forged_tokens_are_refused);
	tcase_add_test(t, test_random_tokens_are_refused);
	tcase_add_test(t, test_keys_change_with_overlap);
	tcase_add_test(t, test_no_token_without_a_signing_key);
	return suite_main("session", t);
}
