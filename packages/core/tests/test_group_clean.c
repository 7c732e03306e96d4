#include "support_group.h"

#include <celeryquay/suite.h>
#include <check.h>
#include <stdlib.h>

/* Retention and removal of the idempotency keys of writes. */

#define RETENTION_US (120 * USEC_PER_SEC)
/*
 * By when an expired key is removed: one minute is added to the retention, and
 * removals are tried once a minute.
 */
#define REMOVAL_LIMIT_US (RETENTION_US + 200 * USEC_PER_SEC)

static struct rig *start_rig(unsigned n_homes)
{
	struct rig_settings s;
	struct rig *r;

	rig_settings_default(&s);
	s.n_homes = n_homes;
	s.group.outcome_retention_us = RETENTION_US;
	r = rig_create(1, &s);
	rig_run_for(r, 500 * USEC_PER_MSEC);
	return r;
}

static void write_trip(struct rig *r, unsigned home, uint64_t trip)
{
	struct rig_call *c = rig_write(r, home, trip);

	ck_assert(rig_wait(r, c, 5 * USEC_PER_SEC));
	ck_assert_int_eq(c->outcome, OUTCOME_DONE);
}

/*
 * A client repeats a write after an hour without a network. If the home's clock
 * is a day ahead, or was set after the home started, the write's key seems
 * older than the retention; were it removed, the write would be stored twice.
 * So only elapsed time may expire a key, and it must do so.
 */
START_TEST(key_is_kept_for_retention)
{
	struct rig *r = start_rig(1);
	uint64_t trip;

	for (trip = 1; trip <= 40; trip++) {
		write_trip(r, 0, trip);
		rig_run_for(r, 10 * USEC_PER_SEC);
		ck_assert(!fake_sql_removed(rig_sql(r), trip));
		if (trip > RETENTION_US / (10 * USEC_PER_SEC))
			ck_assert(!fake_sql_removed(rig_sql(r), trip - 11));
	}
	ck_assert(fake_sql_removed(rig_sql(r), 1));
	rig_run_for(r, REMOVAL_LIMIT_US);
	ck_assert(fake_sql_removed(rig_sql(r), 39));
	rig_destroy(r);
}
END_TEST

/*
 * A write comes after a time without writes that is longer than the retention.
 * The log did not move meanwhile, so marks older than the retention have the
 * log's position of just before the write. They must not remove its key.
 */
START_TEST(key_written_after_idle_time_is_kept)
{
	struct rig *r = start_rig(1);

	rig_run_for(r, RETENTION_US + 30 * USEC_PER_SEC);
	write_trip(r, 0, 7);
	rig_run_for(r, RETENTION_US);
	ck_assert(!fake_sql_removed(rig_sql(r), 7));
	rig_destroy(r);
}
END_TEST

/*
 * A home that restarts does not know the age of the stored keys, so it waits
 * for the whole retention, whatever its clock says.
 */
START_TEST(restarted_home_waits_for_whole_retention)
{
	struct rig *r = start_rig(1);

	write_trip(r, 0, 7);
	rig_run_for(r, 100 * USEC_PER_SEC);
	rig_crash_home(r, 0);
	rig_restart_home(r, 0);
	rig_run_for(r, 100 * USEC_PER_SEC);
	ck_assert(!fake_sql_removed(rig_sql(r), 7));
	rig_run_for(r, REMOVAL_LIMIT_US);
	write_trip(r, 0, 8);
	rig_run_for(r, REMOVAL_LIMIT_US);
	ck_assert(fake_sql_removed(rig_sql(r), 7));
	rig_destroy(r);
}
END_TEST

/*
 * An isolated primary appends to its log, and a failover discards that tail.
 * The new primary's rows take the same log positions, so a mark that the home
 * made in the discarded tail must not remove them.
 */
START_TEST(mark_in_lost_log_tail_removes_nothing)
{
	struct rig *r = start_rig(1);
	struct group *g = rig_group(r, 0);
	const struct clean_mark *mark;
	struct position at;
	uint64_t key, mark_index;
	int i;

	write_trip(r, 0, 1);
	for (i = 1; i < 3; i++) {
		sim_block(rig_sim(r), 0, i, true);
		sim_block(rig_sim(r), i, 0, true);
	}
	for (key = 1; key <= 100; key++)
		fdb_insert(rig_db(r), 0, key, FDB_EMPTY, &at);
	rig_run_for(r, 300 * USEC_PER_MSEC);
	g_queue_clear_full(&g->clean_marks, g_free);
	rig_run_for(r, 5 * USEC_PER_MSEC);
	mark = g_queue_peek_head(&g->clean_marks);
	mark_index = mark->at.index;
	rig_run_for(r, 10 * USEC_PER_SEC);
	ck_assert_uint_ne(rig_primary(r), 0);
	rig_run_for(r, RETENTION_US + 20 * USEC_PER_SEC);
	ck_assert_uint_gt(mark_index,
			  fdb_log_length(rig_db(r), rig_primary(r)));
	write_trip(r, 0, 7);
	rig_run_for(r, RETENTION_US - 10 * USEC_PER_SEC);
	ck_assert(!fake_sql_removed(rig_sql(r), 7));
	rig_destroy(r);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("clean");

	tcase_add_test(t, key_is_kept_for_retention);
	tcase_add_test(t, key_written_after_idle_time_is_kept);
	tcase_add_test(t, restarted_home_waits_for_whole_retention);
	tcase_add_test(t, mark_in_lost_log_tail_removes_nothing);
	return suite_main("group_clean", t);
}
