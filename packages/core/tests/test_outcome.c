#include "group_sql.h"
#include "outcome.h"
#include "status_scan.h"

#include <celeryquay/core/upstream.h>
#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

/* Parsers of servers' answers: statuses, positions and outcome rows. */

#define STATUS                                                             \
	"{\"server\":\"codes-1-a\",\"term\":3,\"role\":\"replica\","       \
	"\"fenced\":false,\"granted\":3,\"holder\":\"proxy-2/17\","        \
	"\"received\":120,\"applied\":118,\"history\":[[1,1],[3,101]],"    \
	"\"following\":\"codes-1-b\",\"leaving\":false,\"connections\":7," \
	"\"connection_limit\":20}"

START_TEST(status_is_parsed)
{
	struct server_status st;
	struct err err = { 0 };

	ck_assert(status_parse(STR(STATUS), &st, &err));
	ck_assert_str_eq(st.name, "codes-1-a");
	ck_assert_uint_eq(st.term, 3);
	ck_assert_int_eq(st.role, ROLE_REPLICA);
	ck_assert_uint_eq(st.received, 120);
	ck_assert_uint_eq(st.applied, 118);
	ck_assert_uint_eq(st.history.count, 2);
	ck_assert_uint_eq(st.history.entries[1].start, 101);
	ck_assert_str_eq(st.following, "codes-1-b");
	ck_assert_uint_eq(st.connection_limit, 20);
}
END_TEST

/* Each case replaces one part of a valid status by an invalid one. */
START_TEST(invalid_status_is_refused)
{
	static const struct {
		const char *good;
		const char *bad;
	} rows[] = {
		{ "\"term\":3", "\"term\":-3" },
		{ "\"term\":3", "\"term\":\"3\"" },
		{ "\"term\":3,", "" },
		{ "\"replica\"", "\"leader\"" },
		{ "\"received\":120,", "" },
		{ "[3,101]", "[3,1]" },
		{ "[3,101]", "[1,101]" },
		{ "[3,101]", "[3]" },
		{ "[3,101]", "3" },
		{ "[3,101]", "[3,\"x\"]" },
		{ "[[1,1],[3,101]]", "{}" },
		{ "\"codes-1-b\"", "7" },
		{ "\"connections\":7,", "" },
		{ "}", "" },
	};
	struct server_status st;
	struct err err = { 0 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		GString *text = g_string_new(STATUS);

		ck_assert_uint_gt(g_string_replace(text, rows[i].good,
						   rows[i].bad, 0),
				  0);
		ck_assert_msg(!status_parse(str_from_gstring(text), &st, &err),
			      "case %zu", i);
		ck_assert_int_eq(err.code, ERR_BAD_MESSAGE);
		g_string_free(text, TRUE);
	}
}
END_TEST

#define N_MUTATED_STATUSES 20000
/* A JSON string of one byte more than a status has room for. */
static const char long_name[] =
	"\"0123456789012345678901234567890123456789012345678901"
	"234567890123\"";

/* Writes a status of random values, many of them extreme or invalid. */
static void random_status(GRand *rng, GString *out)
{
	static const char *const numbers[] = {
		"0",
		"1",
		"7",
		"4294967295",
		"4294967296",
		"999999999999999999",
		"9223372036854775807",
		"012",
		"-1",
		"1.5",
		"1e3",
		"true",
	};
	static const char *const names[] = {
		"\"codes-1-a\"", "\"\"",    "null", "\"a\\u0041\"", "7",
		"\"\303\266\"",	 long_name,
	};
	static const char *const histories[] = {
		"[]",
		"[[1,1]]",
		"[[1,1],[3,101]]",
		"[[3,101],[1,1]]",
		"[[1,1],[2,1]]",
		"[[0,1]]",
		"[[1,2,3]]",
		"[[1]]",
		"{}",
	};
	static const char *const keys[] = {
		"term",	   "granted",	  "received",
		"applied", "connections", "connection_limit",
	};
	static const char *const texts[] = { "server", "holder", "following" };
	static const char *const flags[] = { "fenced", "leaving",
					     "granted_ok" };
	size_t i;

	g_string_assign(out, "{\"role\":\"primary\"");
	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		g_string_append_printf(
			out, ",\"%s\":%s", keys[i],
			numbers[g_rand_boolean(rng) ?
					2 :
					g_rand_int_range(rng, 0, 12)]);
	for (i = 0; i < G_N_ELEMENTS(texts); i++)
		g_string_append_printf(out, ",\"%s\":%s", texts[i],
				       names[g_rand_int_range(rng, 0, 7)]);
	for (i = 0; i < G_N_ELEMENTS(flags); i++)
		g_string_append_printf(out, ",\"%s\":%s", flags[i],
				       g_rand_boolean(rng) ? "true" : "false");
	g_string_append_printf(out, ",\"history\":%s}",
			       histories[g_rand_int_range(rng, 0, 9)]);
}

/* Replaces, removes or inserts a byte in up to two places. */
static void mutate(GRand *rng, GString *text)
{
	static const char bytes[] = "{}[],:\"\\ 0123456789-.entruls\n\303";
	int n = g_rand_int_range(rng, 0, 3);

	while (n--) {
		gssize at = g_rand_int_range(rng, 0, (gint32)text->len);
		char c = bytes[g_rand_int_range(rng, 0, sizeof(bytes) - 1)];

		if (g_rand_boolean(rng))
			g_string_erase(text, at, 1);
		if (g_rand_boolean(rng))
			g_string_insert_c(text, at, c);
	}
}

static bool same_history(const struct history *a, const struct history *b)
{
	unsigned i;

	for (i = 0; i < a->count && i < b->count; i++) {
		if (a->entries[i].term != b->entries[i].term ||
		    a->entries[i].start != b->entries[i].start)
			return false;
	}
	return a->count == b->count;
}

static bool same_status(const struct server_status *a,
			const struct server_status *b)
{
	return !strcmp(a->name, b->name) && !strcmp(a->holder, b->holder) &&
	       !strcmp(a->following, b->following) && a->term == b->term &&
	       a->role == b->role && a->fenced == b->fenced &&
	       a->leaving == b->leaving && a->granted_ok == b->granted_ok &&
	       a->granted == b->granted && a->received == b->received &&
	       a->applied == b->applied && a->connections == b->connections &&
	       a->connection_limit == b->connection_limit &&
	       same_history(&a->history, &b->history);
}

/*
 * Servers' statuses are read by a scanner, and by the JSON library where the
 * scanner does not accept the text. If the two read a text differently, a write
 * could be confirmed by a position that no server has reported. A blank before
 * the text makes status_parse() use the library.
 */
START_TEST(scanner_agrees_with_the_library)
{
	GRand *rng = g_rand_new_with_seed(20);
	GString *text = g_string_new(NULL);
	struct server_status scanned, st;
	unsigned i, n_scanned = 0;
	struct err err = { 0 };

	for (i = 0; i < N_MUTATED_STATUSES; i++) {
		if (g_rand_boolean(rng))
			g_string_assign(text, STATUS);
		else
			random_status(rng, text);
		mutate(rng, text);
		if (!status_scan(str_from_gstring(text), &scanned))
			continue;
		n_scanned++;
		g_string_prepend_c(text, ' ');
		ck_assert_msg(status_parse(str_from_gstring(text), &st, &err),
			      "%s", text->str);
		ck_assert_msg(same_status(&scanned, &st), "%s", text->str);
	}
	ck_assert_uint_gt(n_scanned, N_MUTATED_STATUSES / 10);
	g_string_free(text, TRUE);
	g_rand_free(rng);
}
END_TEST

START_TEST(scanner_accepts_the_servers_form)
{
	struct server_status st;

	ck_assert(status_scan(STR(STATUS), &st));
	ck_assert_str_eq(st.holder, "proxy-2/17");
}
END_TEST

START_TEST(position_is_two_numbers)
{
	static const char *const bad[] = {
		"",	":",	"1",
		"1:",	":1",	"a:1",
		"1:1a", "-1:2", "1:99999999999999999999"
	};
	struct position p = { 9, 9 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		ck_assert(!position_parse(str_from_c(bad[i]), &p));
	ck_assert_uint_eq(p.term, 9);
	ck_assert(position_parse(STR("3:120"), &p));
	ck_assert_uint_eq(p.term, 3);
	ck_assert_uint_eq(p.index, 120);
}
END_TEST

#define ELEMENT(cell) \
	"{\"columns\":[\"c\"],\"rows\":[[" cell "]],\"rows_affected\":0}"

/*
 * A caller's result holds text that looks like the element with the position
 * that the proxy adds. The position must be cut off the end, and the caller's
 * result stay complete.
 */
START_TEST(position_is_cut_off_the_end)
{
	static const char list[] = ELEMENT(
		"\"{\\\"columns\\\":[],\\\"rows\\\":[[\\\"9:9\\\"]]}\"");
	GString *results = g_string_new(list);
	struct position p;

	g_string_append(results, "," ELEMENT("\"3:120\""));
	ck_assert(outcome_take_position(results, &p));
	ck_assert_str_eq(results->str, list);
	ck_assert_uint_eq(p.index, 120);
	g_string_assign(results, ELEMENT("\"3:120\""));
	ck_assert(outcome_take_position(results, &p));
	ck_assert_str_eq(results->str, "");
	ck_assert(!outcome_take_position(results, &p));
	g_string_assign(results, ELEMENT("\"x\""));
	ck_assert(!outcome_take_position(results, &p));
	ck_assert_str_eq(results->str, ELEMENT("\"x\""));
	g_string_free(results, TRUE);
}
END_TEST

START_TEST(row_is_parsed)
{
	struct outcome_row row;
	GString *s = g_string_new(
		"{\"columns\":[\"state\",\"digest\",\"summary\"],\"rows\":"
		"[[\"done\",\"d1\",\"[{\\\"rows\\\":[]}]\"]],"
		"\"rows_affected\":0}");

	ck_assert(outcome_row_parse(s, &row));
	ck_assert_int_eq(row.state, OUTCOME_ROW_DONE);
	ck_assert_str_eq(row.digest, "d1");
	ck_assert_str_eq(row.summary, "[{\"rows\":[]}]");
	outcome_row_clear(&row);
	g_string_assign(s, "{\"columns\":[],\"rows\":[],\"rows_affected\":0}");
	ck_assert(outcome_row_parse(s, &row));
	ck_assert_int_eq(row.state, OUTCOME_ROW_NONE);
	g_string_assign(s, ELEMENT("\"done\""));
	ck_assert(!outcome_row_parse(s, &row));
	g_string_assign(s, "{");
	ck_assert(!outcome_row_parse(s, &row));
	g_string_free(s, TRUE);
}
END_TEST

START_TEST(summary_is_bounded)
{
	GString *results = g_string_new(ELEMENT("1"));
	GString *summary = outcome_summary(results);
	GBytes *returned;
	char *big;

	ck_assert_str_eq(summary->str, "[" ELEMENT("1") "]");
	returned = outcome_results(summary->str);
	ck_assert_uint_eq(g_bytes_get_size(returned), summary->len);
	g_bytes_unref(returned);
	g_string_free(summary, TRUE);
	big = g_strnfill(MAX_OUTCOME_SUMMARY_BYTES, 'x');
	g_string_printf(results,
			"{\"columns\":[\"c\"],\"rows\":[[\"%s\"]],"
			"\"rows_affected\":17}",
			big);
	summary = outcome_summary(results);
	ck_assert_str_eq(summary->str, "[{\"columns\":[],\"rows\":[],"
				       "\"rows_affected\":17}]");
	ck_assert_uint_eq(outcome_rows_affected(results), 17);
	g_string_free(summary, TRUE);
	g_string_free(results, TRUE);
	g_free(big);
	returned = outcome_results("damaged");
	ck_assert_uint_eq(g_bytes_get_size(returned), 2);
	g_bytes_unref(returned);
}
END_TEST

/* Keys of two callers never collide, however names and keys are chosen. */
START_TEST(keys_of_callers_differ)
{
	char *a = outcome_key(STR("van"), STR("1/k"));
	char *b = outcome_key(STR("van/1"), STR("k"));
	char *c = outcome_transaction_key(STR("van"), STR("k"));
	char *d = outcome_key(STR("van"), STR("transaction:k"));

	ck_assert_str_ne(a, b);
	ck_assert_str_ne(c, d);
	g_free(a);
	g_free(b);
	g_free(c);
	g_free(d);
}
END_TEST

START_TEST(transaction_control_is_recognised)
{
	static const char *const control[] = {
		"BEGIN",
		"commit",
		"  Rollback",
		"\t\v\f\r\nEND",
		"ABORT",
		"start transaction",
		"SAVEPOINT a",
		"release a",
		";;COMMIT",
		"-- x\nCOMMIT",
		"-- x\rCOMMIT",
		"/* a /* b */ c */COMMIT",
		"/**/ ; -- \n ; COMMIT",
		"PREPARE TRANSACTION 'x'",
		"prepare/**/transaction 'x'",
		"SET TRANSACTION READ WRITE",
		"SET LOCAL transaction_read_only = off",
		"SET SESSION CHARACTERISTICS AS TRANSACTION READ WRITE",
		"RESET default_transaction_read_only",
		"COMMIT;",
		"",
		"-- nothing",
		"/* open",
	};
	static const char *const harmless[] = {
		"SELECT 'COMMIT'",     "INSERT INTO begin VALUES (1)",
		"(SELECT 1)",	       "WITH x AS (SELECT 1) SELECT * FROM x",
		"beginning",	       "PREPARE p AS SELECT 1",
		"SET search_path = x", "UPDATE t SET a = 'end'",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(control); i++)
		ck_assert_msg(
			group_sql_controls_transaction(str_from_c(control[i])),
			"%s", control[i]);
	for (i = 0; i < G_N_ELEMENTS(harmless); i++)
		ck_assert_msg(!group_sql_controls_transaction(
				      str_from_c(harmless[i])),
			      "%s", harmless[i]);
}
END_TEST

/*
 * One caller's query creates a temporary table with the name of a real one. The
 * next caller on that connection would read it in place of the real table and
 * see the first caller's rows.
 */
START_TEST(statements_that_leave_state_are_recognised)
{
	static const char *const stateful[] = {
		"SET search_path = x",
		"CREATE TEMP TABLE t (a int)",
		"PREPARE p AS SELECT 1",
		"LISTEN x",
		"DO $$ $$",
		"DECLARE c CURSOR WITH HOLD FOR SELECT 1",
		"SELECT Set_Config('a.b', 'x', false)",
		"SELECT pg_advisory_lock(1)",
		"(SELECT 1)",
		"SELECT id INTO TEMP code FROM brand",
		"select * into/**/pg_temp.code from brand",
		"WITH x AS (SELECT 1 AS id) SELECT id INTO TEMP code FROM x",
		"UPDATE pg_settings SET setting = 'x' WHERE name = 'a'",
		"SELECT dblink_connect('c', 'x')",
		"SELECT setseed(0.5)",
	};
	static const char *const stateless[] = {
		"SELECT 1",
		" /* x */ insert into t values (1)",
		"UPDATE t SET a = 1",
		"DELETE FROM t",
		"MERGE INTO t USING s ON true WHEN MATCHED THEN DELETE",
		"WITH x AS (SELECT 1) SELECT * FROM x",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(stateful); i++)
		ck_assert_msg(group_sql_leaves_state(str_from_c(stateful[i])),
			      "%s", stateful[i]);
	for (i = 0; i < G_N_ELEMENTS(stateless); i++)
		ck_assert_msg(!group_sql_leaves_state(str_from_c(stateless[i])),
			      "%s", stateless[i]);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("outcome");

	tcase_add_test(t, status_is_parsed);
	tcase_add_test(t, invalid_status_is_refused);
	tcase_add_test(t, scanner_agrees_with_the_library);
	tcase_add_test(t, scanner_accepts_the_servers_form);
	tcase_add_test(t, position_is_two_numbers);
	tcase_add_test(t, position_is_cut_off_the_end);
	tcase_add_test(t, row_is_parsed);
	tcase_add_test(t, summary_is_bounded);
	tcase_add_test(t, keys_of_callers_differ);
	tcase_add_test(t, transaction_control_is_recognised);
	tcase_add_test(t, statements_that_leave_state_are_recognised);
	return suite_main("outcome", t);
}
