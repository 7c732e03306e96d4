#include "support_group.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

/* Long transactions: begin, several requests, then commit or rollback. */

static struct rig *create_rig(void)
{
	struct rig_settings s;
	struct rig *r;

	rig_settings_default(&s);
	s.group.idle_transaction_us = USEC_PER_SEC;
	r = rig_create(1, &s);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	return r;
}

static struct rig_call *begin(struct rig *r, enum access access)
{
	struct rig_call *c = rig_call(r, 0, access, 0);

	c->request->kind = REQUEST_BEGIN;
	c->profile.max_age_us = 5 * USEC_PER_SEC;
	rig_send(c);
	rig_wait(r, c, USEC_PER_SEC);
	return c;
}

/* A request in the transaction that began_call began; not sent yet. */
static struct rig_call *in_transaction(const struct rig_call *began_call,
				       enum request_kind kind)
{
	struct rig_call *c = rig_call(began_call->rig, 0, ACCESS_WRITE, 0);
	struct request *q = c->request;

	q->kind = kind;
	q->transaction = request_copy_bytes(q, began_call->transaction,
					    strlen(began_call->transaction));
	return c;
}

static struct rig_call *send_and_wait(struct rig_call *c)
{
	rig_send(c);
	ck_assert(rig_wait(c->rig, c, 6 * USEC_PER_SEC));
	return c;
}

static struct rig_call *write_in_transaction(const struct rig_call *began_call,
					     uint64_t trip)
{
	struct rig_call *c = in_transaction(began_call, REQUEST_IN_TRANSACTION);

	rig_add(c, "WRITE $1", (int64_t)trip);
	return c;
}

START_TEST(commit_stores_what_was_written)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *c;

	ck_assert_int_eq(b->outcome, OUTCOME_DONE);
	ck_assert_uint_gt(strlen(b->transaction), 32);
	c = send_and_wait(write_in_transaction(b, 7));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 0);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert(c->repeated);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	ck_assert(group_is_idle(rig_group(r, 0)));
	rig_destroy(r);
}
END_TEST

START_TEST(rollback_stores_nothing)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *c;

	send_and_wait(write_in_transaction(b, 7));
	c = send_and_wait(in_transaction(b, REQUEST_ROLLBACK));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->code, ERR_NO_SUCH_TRANSACTION);
	ck_assert_int_eq(c->outcome, OUTCOME_ROLLED_BACK);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 0);
	rig_destroy(r);
}
END_TEST

/*
 * The server's answer to the commit is lost, and the caller sends the commit
 * again, under another key or none. Whatever the keys are, the transaction must
 * commit once, and both answers must state that.
 */
START_TEST(lost_commit_answer_is_settled)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *c;

	send_and_wait(write_in_transaction(b, 7));
	fake_sql_lose_commit_replies(rig_sql(r), 0, 1);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	c = send_and_wait(in_transaction(b, REQUEST_ROLLBACK));
	ck_assert_int_ne(c->outcome, OUTCOME_ROLLED_BACK);
	ck_assert_int_ne(c->outcome, OUTCOME_NOT_RUN);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	rig_destroy(r);
}
END_TEST

/*
 * A caller got no answer to its commit and rolls back to be sure, but the
 * commit had succeeded. If the rollback were answered with "done", the caller
 * would write the same data again, and it would be stored twice.
 */
START_TEST(rollback_after_the_commit_is_refused)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *c;

	send_and_wait(write_in_transaction(b, 7));
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	c = send_and_wait(in_transaction(b, REQUEST_ROLLBACK));
	ck_assert_int_eq(c->code, ERR_TRANSACTION_COMMITTED);
	ck_assert_int_eq(c->outcome, OUTCOME_UNKNOWN);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 1);
	rig_destroy(r);
}
END_TEST

static struct rig_call *begin_read_at_primary(struct rig *r)
{
	struct rig_call *c = rig_call(r, 0, ACCESS_READ, 0);

	c->request->kind = REQUEST_BEGIN;
	rig_send(c);
	rig_run_for(r, 100 * USEC_PER_MSEC);
	return c;
}

/*
 * A long transaction reads at a primary whose replicas lack the last write. If
 * the primary is lost, so is that write, and a session that holds its position
 * could read nothing afterwards. So an answer in a transaction waits a limited
 * time for a majority to have what was read, as that of a single read does.
 */
START_TEST(primary_reads_in_transaction_wait_for_majority)
{
	struct rig *r = create_rig();
	struct rig_call *b, *c;
	unsigned i;

	for (i = 1; i < 3; i++) {
		sim_block(rig_sim(r), 0, i, true);
		sim_block(rig_sim(r), i, 0, true);
	}
	rig_write(r, 0, 7);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	b = begin_read_at_primary(r);
	ck_assert_uint_eq(b->answers, 0);
	ck_assert(rig_wait(r, b, USEC_PER_SEC));
	ck_assert(b->by_primary);
	c = in_transaction(b, REQUEST_IN_TRANSACTION);
	rig_add(c, "READ", 0);
	rig_send(c);
	rig_run_for(r, 100 * USEC_PER_MSEC);
	ck_assert_uint_eq(c->answers, 0);
	sim_heal(rig_sim(r));
	ck_assert(rig_wait(r, c, USEC_PER_SEC));
	ck_assert(rig_result_contains(c, 7));
	ck_assert(fresh_is_durable(group_fresh(rig_group(r, 0)), c->seen));
	rig_destroy(r);

	r = create_rig();
	group_test_guards(rig_group(r, 0))->confirm_reads = false;
	for (i = 1; i < 3; i++) {
		sim_block(rig_sim(r), 0, i, true);
		sim_block(rig_sim(r), i, 0, true);
	}
	rig_write(r, 0, 7);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	b = begin_read_at_primary(r);
	ck_assert_int_eq(b->outcome, OUTCOME_DONE);
	ck_assert_uint_eq(b->answers, 1);
	rig_destroy(r);
}
END_TEST

/*
 * A caller names the transaction of another caller, by mistake or on purpose.
 * It must neither read nor change anything in it.
 */
START_TEST(another_caller_is_refused)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *c;

	c = write_in_transaction(b, 8);
	c->request->caller = STR("truck");
	send_and_wait(c);
	ck_assert_int_eq(c->code, ERR_NOT_YOUR_TRANSACTION);
	c = in_transaction(b, REQUEST_COMMIT);
	c->request->caller = STR("truck");
	send_and_wait(c);
	ck_assert_int_eq(c->code, ERR_NOT_YOUR_TRANSACTION);
	c = send_and_wait(write_in_transaction(b, 7));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);

	group_test_guards(rig_group(r, 0))->check_caller = false;
	c = write_in_transaction(b, 8);
	c->request->caller = STR("truck");
	send_and_wait(c);
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	rig_destroy(r);
}
END_TEST

START_TEST(one_request_at_a_time)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *slow = in_transaction(b, REQUEST_IN_TRANSACTION);
	struct rig_call *c;

	rig_add(slow, "SLOW $1", 100000);
	rig_send(slow);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->code, ERR_TRANSACTION_BUSY);
	ck_assert(rig_wait(r, slow, USEC_PER_SEC));
	ck_assert_int_eq(slow->outcome, OUTCOME_DONE);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	rig_destroy(r);
}
END_TEST

/*
 * A caller begins a transaction and sends nothing more. The transaction holds a
 * slot and locks, so after its idle limit it must be rolled back and the slot
 * be free.
 */
START_TEST(idle_transaction_is_rolled_back)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *c;

	send_and_wait(write_in_transaction(b, 7));
	ck_assert(!group_is_idle(rig_group(r, 0)));
	rig_run_for(r, 1100 * USEC_PER_MSEC);
	ck_assert(group_is_idle(rig_group(r, 0)));
	ck_assert_uint_eq(
		admit_running(group_server(rig_group(r, 0), 0)->admit), 0);
	c = send_and_wait(write_in_transaction(b, 8));
	ck_assert_int_eq(c->code, ERR_NO_SUCH_TRANSACTION);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->code, ERR_NO_SUCH_TRANSACTION);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 0);
	rig_destroy(r);
}
END_TEST

/* Long transactions must leave a slot free for other writes. */
START_TEST(share_of_long_transactions_is_bounded)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *second = begin(r, ACCESS_WRITE);
	struct rig_call *w;

	ck_assert_int_eq(b->outcome, OUTCOME_DONE);
	ck_assert_int_eq(second->code, ERR_OVERLOADED);
	ck_assert_uint_gt(second->retry_after_us, 0);
	w = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, w, USEC_PER_SEC));
	ck_assert_int_eq(w->outcome, OUTCOME_DONE);
	send_and_wait(in_transaction(b, REQUEST_ROLLBACK));
	b = begin(r, ACCESS_WRITE);
	ck_assert_int_eq(b->outcome, OUTCOME_DONE);
	rig_destroy(r);
}
END_TEST

START_TEST(failed_statement_rolls_back_transaction)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *c;

	send_and_wait(write_in_transaction(b, 7));
	c = in_transaction(b, REQUEST_IN_TRANSACTION);
	rig_add(c, "FAIL", 0);
	send_and_wait(c);
	ck_assert_int_eq(c->outcome, OUTCOME_ROLLED_BACK);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_ROLLED_BACK);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 7), 0);
	rig_destroy(r);
}
END_TEST

/* The primary's process crashes during a transaction, which rolls it back. */
START_TEST(broken_connection_rolls_back_transaction)
{
	struct rig *r = create_rig();
	struct rig_call *b = begin(r, ACCESS_WRITE);
	struct rig_call *c;

	send_and_wait(write_in_transaction(b, 7));
	fake_sql_crash(rig_sql(r), 0, false);
	rig_run_for(r, 10 * USEC_PER_MSEC);
	c = send_and_wait(write_in_transaction(b, 8));
	ck_assert_int_eq(c->code, ERR_NO_SUCH_TRANSACTION);
	ck_assert_int_eq(c->outcome, OUTCOME_ROLLED_BACK);
	c = send_and_wait(in_transaction(b, REQUEST_COMMIT));
	ck_assert_int_eq(c->outcome, OUTCOME_ROLLED_BACK);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), rig_primary(r), 7), 0);
	rig_destroy(r);
}
END_TEST

START_TEST(reads_in_transaction_stay_on_their_server)
{
	struct rig *r = create_rig();
	struct rig_call *w = rig_write(r, 0, 7);
	struct rig_call *b, *c;

	ck_assert(rig_wait(r, w, USEC_PER_SEC));
	rig_run_for(r, 100 * USEC_PER_MSEC);
	b = begin(r, ACCESS_READ);
	ck_assert_int_eq(b->outcome, OUTCOME_DONE);
	c = in_transaction(b, REQUEST_IN_TRANSACTION);
	rig_add(c, "READ", 0);
	send_and_wait(c);
	ck_assert(rig_result_contains(c, 7));
	ck_assert_str_eq(c->server, b->server);
	/* Its data may be as old as the transaction's first snapshot. */
	rig_run_for(r, 300 * USEC_PER_MSEC);
	c = in_transaction(b, REQUEST_IN_TRANSACTION);
	rig_add(c, "READ", 0);
	send_and_wait(c);
	ck_assert_uint_ge(c->age_us, 300 * USEC_PER_MSEC);
	c = send_and_wait(write_in_transaction(b, 8));
	ck_assert_int_eq(c->code, ERR_READ_ONLY);
	ck_assert_uint_eq(fake_count_trip(rig_sql(r), 0, 8), 0);
	rig_destroy(r);
}
END_TEST

/*
 * A session reads another caller's recent write in a long write transaction and
 * rolls the transaction back. Its next read, at a replica that lags, must not
 * be from before that write: a session never goes back in time.
 */
START_TEST(reads_in_write_transaction_raise_the_session)
{
	struct rig *r = create_rig();
	struct rig_call *w, *b, *c;

	fdb_set_lag(rig_db(r), 1, USEC_PER_SEC);
	fdb_set_lag(rig_db(r), 2, USEC_PER_SEC);
	w = rig_write(r, 0, 7);
	ck_assert(rig_wait(r, w, USEC_PER_SEC));
	b = begin(r, ACCESS_WRITE);
	c = in_transaction(b, REQUEST_IN_TRANSACTION);
	rig_add(c, "READ", 0);
	send_and_wait(c);
	ck_assert(rig_result_contains(c, 7));
	send_and_wait(in_transaction(b, REQUEST_ROLLBACK));
	c = rig_read(r, 0, 60 * USEC_PER_SEC, c->seen);
	ck_assert(rig_wait(r, c, 3 * USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
	ck_assert(rig_result_contains(c, 7));
	rig_destroy(r);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("transactions");

	tcase_add_test(t, commit_stores_what_was_written);
	tcase_add_test(t, rollback_stores_nothing);
	tcase_add_test(t, lost_commit_answer_is_settled);
	tcase_add_test(t, rollback_after_the_commit_is_refused);
	tcase_add_test(t, primary_reads_in_transaction_wait_for_majority);
	tcase_add_test(t, another_caller_is_refused);
	tcase_add_test(t, one_request_at_a_time);
	tcase_add_test(t, idle_transaction_is_rolled_back);
	tcase_add_test(t, share_of_long_transactions_is_bounded);
	tcase_add_test(t, failed_statement_rolls_back_transaction);
	tcase_add_test(t, broken_connection_rolls_back_transaction);
	tcase_add_test(t, reads_in_transaction_stay_on_their_server);
	tcase_add_test(t, reads_in_write_transaction_raise_the_session);
	return suite_main("group_transactions", t);
}
