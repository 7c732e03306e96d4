#include "support_history.h"

#include <celeryquay/suite.h>

static struct fake *start(unsigned n_relays)
{
	struct fake *f = fake_create(1, n_relays, 1);

	fake_run(f, USEC_PER_SEC);
	return f;
}

static void end(struct fake *f)
{
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}

/*
 * Two callers with different languages share a server connection. Guards
 * against a session's values that stay on the connection: the second caller
 * would read in the first one's language.
 */
START_TEST(test_values_stay_with_their_session)
{
	struct fake *f = start(1);
	struct hist_session *a = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	struct hist_session *b = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);

	ck_assert_int_eq(hist_run(f, a, RELAY_SET, "lang", "fi"), RELAY_OK);
	ck_assert_int_eq(hist_run(f, a, RELAY_READ, "", "1"), RELAY_OK);
	ck_assert_int_eq(hist_run(f, b, RELAY_READ, "", "1"), RELAY_OK);
	ck_assert_int_eq(hist_run(f, b, RELAY_SET, "lang", "sw"), RELAY_OK);
	ck_assert_int_eq(hist_run(f, b, RELAY_READ, "", "1"), RELAY_OK);
	ck_assert_int_eq(hist_run(f, a, RELAY_READ, "", "1"), RELAY_OK);
	end(f);
}
END_TEST

/*
 * Two callers prepare different statements under one name. Guards against a
 * choice by the name alone, with which one would run the other's statement.
 */
START_TEST(test_prepared_names_collide)
{
	struct fake *f = start(1);
	struct hist_session *a = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	struct hist_session *b = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);

	ck_assert_int_eq(hist_run(f, a, RELAY_PREPARE_WRITE, "s", "x"),
			 RELAY_OK);
	ck_assert_int_eq(hist_run(f, b, RELAY_PREPARE_READ, "s", "x"),
			 RELAY_OK);
	ck_assert_int_eq(hist_run(f, a, RELAY_EXECUTE, "s", "1"), RELAY_OK);
	ck_assert_int_eq(hist_run(f, b, RELAY_EXECUTE, "s", "1"), RELAY_OK);
	ck_assert_uint_eq(hist_acknowledged(f), 1);
	ck_assert_int_eq(hist_run(f, a, RELAY_PREPARE_WRITE, "s", "y"),
			 RELAY_OK);
	ck_assert_int_eq(hist_run(f, a, RELAY_EXECUTE, "s", "1"), RELAY_OK);
	ck_assert_int_eq(hist_run(f, b, RELAY_DEALLOCATE, "s", ""), RELAY_OK);
	ck_assert_int_eq(hist_run(f, b, RELAY_EXECUTE, "s", "1"),
			 RELAY_NO_STATEMENT);
	end(f);
}
END_TEST

/*
 * A caller disconnects in the middle of a transaction. Guards against a
 * transaction that stays open on the server connection: the next caller would
 * write into it, or commit it.
 */
START_TEST(test_abandoned_transaction_is_rolled_back)
{
	struct fake *f = start(1);
	struct hist_session *a = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	struct hist_session *b = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	unsigned i;

	ck_assert_int_eq(hist_run(f, a, RELAY_BEGIN, "", ""), RELAY_OK);
	ck_assert_int_eq(hist_run(f, a, RELAY_WRITE, "", "1"), RELAY_OK);
	hist_start(f, a, RELAY_WRITE, "", "2");
	fake_run(f, 2 * MS);
	hist_close(f, a);
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(hist_run(f, b, RELAY_WRITE, "", "3"),
				 RELAY_OK);
	ck_assert_uint_eq(f->commits->len - 1, 5);
	end(f);
}
END_TEST

/*
 * A transaction is idle until its time is over, then its caller asks for the
 * commit. Nothing may be stored, and the caller must be told so.
 */
START_TEST(test_expired_transaction_is_refused)
{
	struct fake *f = start(1);
	struct hist_session *a = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);

	ck_assert_int_eq(hist_run(f, a, RELAY_BEGIN, "", ""), RELAY_OK);
	ck_assert_int_eq(hist_run(f, a, RELAY_WRITE, "", "1"), RELAY_OK);
	fake_run(f, 6 * USEC_PER_SEC);
	ck_assert_int_eq(hist_run(f, a, RELAY_READ, "", "1"), RELAY_MALFORMED);
	ck_assert_int_eq(hist_run(f, a, RELAY_COMMIT, "", ""), RELAY_ABORTED);
	ck_assert_int_eq(a->state, 'I');
	ck_assert_uint_eq(f->commits->len, 1);
	end(f);
}
END_TEST

/*
 * The answer to a write is lost. Guards against sending the write again, which
 * stores it twice, and against reporting it as refused, after which the caller
 * sends it again.
 */
START_TEST(test_lost_answer_is_in_doubt)
{
	struct fake *f = start(1);
	struct hist_session *a = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);

	f->lose_answers = 1;
	ck_assert_int_eq(hist_run(f, a, RELAY_WRITE, "", "1"), RELAY_IN_DOUBT);
	f->lose_answers = 0;
	fake_run(f, USEC_PER_SEC);
	ck_assert_uint_eq(f->commits->len, 2);
	ck_assert_int_eq(hist_run(f, a, RELAY_WRITE, "", "2"), RELAY_OK);
	end(f);
}
END_TEST

/*
 * A proxy shuts down as planned while one caller is idle and another is in a
 * transaction. The first one's session is closed; the second one may complete
 * its transaction.
 */
START_TEST(test_shutdown_lets_transactions_complete)
{
	struct fake *f = start(1);
	struct hist_session *a = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	struct hist_session *b = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);

	ck_assert_int_eq(hist_run(f, a, RELAY_BEGIN, "", ""), RELAY_OK);
	ck_assert_int_eq(hist_run(f, a, RELAY_WRITE, "", "1"), RELAY_OK);
	relay_stop(f->relays[0].relay, f->now_us);
	ck_assert(!relay_is_ready(f->relays[0].relay));
	fake_run(f, 2 * USEC_PER_SEC);
	ck_assert(!b->open);
	ck_assert(a->open);
	ck_assert_int_eq(hist_run(f, a, RELAY_COMMIT, "", ""), RELAY_OK);
	fake_run(f, USEC_PER_SEC);
	ck_assert(!a->open);
	end(f);
}
END_TEST

static void read_next(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->open)
		hist_start(f, s, RELAY_READ, "", "1");
}

/*
 * A proxy shuts down while one caller sends one statement after another and
 * another's transaction is open. Guards against a statement of the first that
 * is never answered, and against the loss of the second one's transaction.
 */
START_TEST(test_shutdown_closes_between_statements)
{
	struct fake *f = start(1);
	struct hist_session *a = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	struct hist_session *b = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);

	hist_run(f, a, RELAY_BEGIN, "", "");
	ck_assert_int_eq(hist_run(f, a, RELAY_WRITE, "", "1"), RELAY_OK);
	f->servers[0].slow_us = 120 * MS;
	relay_stop(f->relays[0].relay, f->now_us);
	b->next = read_next;
	read_next(f, b);
	fake_run(f, 1400 * MS);
	ck_assert(b->open);
	fake_run(f, 1500 * MS);
	ck_assert(!b->open);
	ck_assert_ptr_null(b->now);
	ck_assert_int_eq(hist_run(f, a, RELAY_COMMIT, "", ""), RELAY_OK);
	end(f);
}
END_TEST

/*
 * The list names the same servers each time. Guards against keys of the table
 * of servers that are freed with a list: each list left connections behind
 * until a server was full.
 */
START_TEST(test_unchanged_list_keeps_connections)
{
	struct fake *f = start(1);
	unsigned i, n = f->n_serials;

	for (i = 0; i < 50; i++) {
		fake_publish_lists(f);
		fake_run(f, 20 * MS);
	}
	ck_assert_uint_eq(f->n_serials, n);
	ck_assert_uint_eq(g_hash_table_size(f->relays[0].relay->servers), 3);
	end(f);
}
END_TEST

/* A configuration with nothing but a version and a profile of the database. */
static struct relay_catalog *catalog(uint64_t version, const char *database)
{
	struct relay_catalog *c = relay_catalog_create(version, 0);
	struct relay_profile profile = {
		.database = (char *)database,
		.service = "group0",
		.kind = RELAY_KIND_PRIMARY,
		.timeout_us = FAKE_STATEMENT_TIMEOUT_US,
		.target_latency_us = FAKE_STATEMENT_TIMEOUT_US,
	};

	relay_catalog_add_profile(c, &profile);
	return c;
}

static bool opens(struct fake *f, uint64_t session, const char *database)
{
	struct relay_answer answer;

	return relay_session_open(f->relays[0].relay, session, database, "",
				  &answer, f->now_us);
}

/*
 * Operators drop a database. Guards against a delayed answer of the store that
 * still has it and comes after the newer one: callers would be served by a
 * configuration that was replaced.
 */
START_TEST(test_older_configuration_changes_nothing)
{
	struct fake *f = start(1);
	struct relay *r = f->relays[0].relay;
	struct relay_catalog *older = catalog(8, "dropped");
	struct relay_catalog *newer = catalog(9, "kept");
	struct relay_catalog *same = catalog(9, "dropped");

	relay_on_catalog(r, older, f->now_us);
	ck_assert(opens(f, 1, "dropped"));
	relay_on_catalog(r, newer, f->now_us);
	relay_on_catalog(r, older, f->now_us);
	relay_on_catalog(r, same, f->now_us);
	ck_assert_uint_eq(relay_catalog_version(r->catalog), 9);
	ck_assert(!opens(f, 2, "dropped"));
	ck_assert(opens(f, 3, "kept"));
	relay_catalog_unref(older);
	relay_catalog_unref(newer);
	relay_catalog_unref(same);
	end(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("sessions");

	tcase_add_test(tc, test_older_configuration_changes_nothing);
	tcase_add_test(tc, test_values_stay_with_their_session);
	tcase_add_test(tc, test_prepared_names_collide);
	tcase_add_test(tc, test_abandoned_transaction_is_rolled_back);
	tcase_add_test(tc, test_expired_transaction_is_refused);
	tcase_add_test(tc, test_lost_answer_is_in_doubt);
	tcase_add_test(tc, test_shutdown_lets_transactions_complete);
	tcase_add_test(tc, test_shutdown_closes_between_statements);
	tcase_add_test(tc, test_unchanged_list_keeps_connections);
	return suite_main("sessions", tc);
}
