#include "support_history.h"

#include <celeryquay/suite.h>

/* Longer than 8 s, when a proxy replaces a primary that others still reach. */
#define LONG_PARTITION_US (14 * USEC_PER_SEC)

static struct hist_session *writers[3];

static void write_next(struct fake *f, void *data)
{
	struct hist_session *s = data;

	hist_start(f, s, s->state == 'I' ? RELAY_WRITE : RELAY_ROLLBACK, "",
		   "1");
}

/* Starts three relays with a caller each that writes all the time. */
static struct fake *start(uint32_t seed)
{
	struct fake *f = fake_create(seed, 3, 1);
	unsigned i;

	fake_run(f, USEC_PER_SEC);
	for (i = 0; i < G_N_ELEMENTS(writers); i++) {
		writers[i] = hist_open(f, i, 0, RELAY_KIND_PRIMARY);
		writers[i]->next = write_next;
		write_next(f, writers[i]);
	}
	fake_run(f, USEC_PER_SEC);
	return f;
}

/*
 * Ends all faults: 5 s later writes succeed, and no guarantee was broken.
 */
static void end(struct fake *f)
{
	unsigned acked;

	fake_heal(f);
	fake_run(f, 5 * USEC_PER_SEC);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	ck_assert_uint_gt(hist_acknowledged(f), acked + 100);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}

/*
 * A primary crashes: its process (0) or its host (1). Writes fail until another
 * server is promoted, which must happen within 3.5 s.
 */
START_TEST(test_dead_primary_is_replaced)
{
	struct fake *f = start(1);
	unsigned acked;

	if (_i == 0)
		fake_crash(f, 0);
	else
		f->servers[0].dark = true;
	fake_run(f, 3500 * MS);
	ck_assert_uint_eq(f->n_promotions, 1);
	acked = hist_acknowledged(f);
	fake_run(f, 200 * MS);
	ck_assert_uint_gt(hist_acknowledged(f), acked);
	end(f);
}
END_TEST

/*
 * One proxy of three can't reach the primary for 2 s. Replacing the primary
 * would stop the writes of all others for a second.
 */
START_TEST(test_short_partition_of_one_relay_changes_nothing)
{
	struct fake *f = start(2);

	fake_cut(f, 0, 0, true);
	fake_run(f, 2000 * MS);
	fake_cut(f, 0, 0, false);
	fake_run(f, 2000 * MS);
	ck_assert_uint_eq(f->n_promotions, 0);
	end(f);
}
END_TEST

/*
 * One proxy can't reach the primary and replaces it; the others still reach the
 * old primary, which keeps running. Commits that it stores after the promotion
 * are rolled back later and must not be acknowledged.
 */
START_TEST(test_old_primary_is_not_relied_on)
{
	struct fake *f = start((uint32_t)_i + 10);

	fake_cut(f, 0, 0, true);
	fake_run(f, LONG_PARTITION_US);
	ck_assert_uint_ge(f->n_promotions, 1);
	end(f);
}
END_TEST

/*
 * A second primary is cut off like the first. State left over from the first
 * change must not let the second one skip its fence: writes that the old
 * primary stored would be acknowledged and then lost.
 */
START_TEST(test_second_change_fences_too)
{
	struct fake *f = start((uint32_t)_i + 20);

	fake_cut(f, 0, 0, true);
	fake_run(f, LONG_PARTITION_US);
	ck_assert_uint_ge(f->n_promotions, 1);
	fake_heal(f);
	fake_run(f, 4 * USEC_PER_SEC);
	fake_cut(f, 0, fake_primary(f, 0)->index, true);
	fake_run(f, LONG_PARTITION_US);
	ck_assert_uint_ge(f->n_promotions, 2);
	end(f);
}
END_TEST

/* Violations when one proxy of three is cut off from the store in a change. */
static char *change_without_store_access(uint32_t seed, bool guard)
{
	struct fake *f = start(seed);
	unsigned i;
	char *wrong;

	for (i = 0; i < f->n_relays; i++)
		f->relays[i].relay->guards.resume_under_duty = guard;
	f->relays[0].deaf = true;
	fake_crash(f, 0);
	while (!f->last_token)
		fake_run(f, MS);
	fake_run(f, f->promote_duration_us - (seed % 8) * 40 * MS);
	fake_restart(f, 0);
	fake_run(f, USEC_PER_SEC);
	f->relays[0].deaf = false;
	fake_heal(f);
	fake_run(f, 8 * USEC_PER_SEC);
	wrong = g_strdup(hist_check(f));
	fake_destroy(f);
	return wrong;
}

/*
 * A primary crashes while one proxy is cut off from the store. That proxy sees
 * the old primary come back and a replica that is paused. If it resumed the
 * replica, the replica would confirm the old primary, and writes acknowledged
 * there would be lost with the promotion.
 */
START_TEST(test_proxy_without_store_resumes_no_replica)
{
	char *wrong = change_without_store_access((uint32_t)_i, true);

	ck_assert_str_eq(wrong, "");
	g_free(wrong);
}
END_TEST

/* Without the guard resume_under_duty the checker finds that fault. */
START_TEST(test_checker_finds_resumed_replica)
{
	unsigned i, n = 0;

	for (i = 0; i < 40; i++) {
		char *wrong = change_without_store_access(i, false);

		n += *wrong != 0;
		g_free(wrong);
	}
	ck_assert_uint_gt(n, 0);
}
END_TEST

/*
 * The platform carries out a promotion, but its reply is lost. The proxy must
 * not request the promotion of another server: that would replace the new
 * primary without a fence.
 */
START_TEST(test_lost_reply_promotes_no_other_server)
{
	struct fake *f = start((uint32_t)_i + 30);

	fake_crash(f, 0);
	while (!f->duty_revision)
		fake_run(f, MS / 2);
	fake_run(f, 5 * MS);
	f->lose_promote_replies = true;
	fake_run(f, 3 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	end(f);
}
END_TEST

/*
 * A primary is replaced as planned while its replicas lag by 100 ms. No commit
 * may be lost.
 */
START_TEST(test_planned_change_loses_no_commit)
{
	struct fake *f = start(3);
	unsigned i, lost = 0;

	f->servers[1].lag_us = f->servers[2].lag_us = 100 * MS;
	f->servers[0].leaving = true;
	fake_publish_lists(f);
	fake_run(f, 6 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	for (i = 1; i < f->commits->len; i++)
		lost += g_array_index(f->commits, struct fake_commit, i).lost;
	ck_assert_uint_eq(lost, 0);
	end(f);
}
END_TEST

static void read_next(struct fake *f, void *data)
{
	hist_start(f, data, RELAY_READ, "", "1");
}

/*
 * A primary steps down as planned and continues to run reads as a replica. The
 * change must wait for the lease of a proxy with an outdated list: a read
 * through that proxy would miss what was written to the new primary 100 ms
 * earlier.
 */
START_TEST(test_planned_change_waits_for_leases)
{
	struct fake *f = start((uint32_t)_i + 100);
	struct hist_session *reader;

	f->promote_duration_us = 300 * MS;
	f->relays[0].drop_lists = true;
	hist_close(f, writers[0]);
	reader = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	reader->next = read_next;
	read_next(f, reader);
	fake_run(f, fake_random(f, 0, 500) * MS);
	f->servers[0].leaving = true;
	fake_publish_lists(f);
	fake_run(f, 4 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	f->relays[0].drop_lists = false;
	end(f);
}
END_TEST

/*
 * A primary that lost its connection to the store is no longer listed, but
 * still answers. It must be told to step down, or it can't be replaced.
 */
START_TEST(test_unlisted_primary_steps_down)
{
	struct fake *f = start(4);

	f->servers[0].listed = false;
	fake_publish_lists(f);
	fake_run(f, 8 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	ck_assert_int_eq(f->servers[0].role, ROLE_REPLICA);
	end(f);
}
END_TEST

/*
 * A proxy is suspended between its claim and the promotion; another proxy
 * claims after it and promotes. The first resumes with a token that is too low
 * and must not use it.
 */
static void suspend_claimant(struct fake *f)
{
	unsigned i;

	f->servers[0].dark = true;
	while (!f->duty_revision)
		fake_run(f, MS / 2);
	fake_run(f, 100 * MS);
	for (i = 0; i < 3; i++)
		if (!g_strcmp0(f->relays[i].name, f->duty_holder))
			fake_suspend_relay(f, i, 8 * USEC_PER_SEC);
	fake_run(f, 12 * USEC_PER_SEC);
	ck_assert_uint_ge(f->n_promotions, 1);
}

START_TEST(test_suspended_relay_uses_no_old_claim)
{
	struct fake *f = start((uint32_t)_i + 40);

	suspend_claimant(f);
	end(f);
}
END_TEST

/* Without the guard fresh_claim the checker finds that fault. */
START_TEST(test_checker_finds_old_claim)
{
	unsigned seed, i;
	bool caught = false;

	for (seed = 40; seed < 60 && !caught; seed++) {
		struct fake *f = start(seed);

		for (i = 0; i < f->n_relays; i++)
			relay_guards_of(f->relays[i].relay)->fresh_claim =
				false;
		suspend_claimant(f);
		caught = *hist_check(f);
		fake_destroy(f);
	}
	ck_assert_msg(caught, "an old claim is not noticed");
}
END_TEST

/* A slow write at a primary that only one proxy can reach. */
static void write_late(struct fake *f)
{
	unsigned i;

	f->promote_duration_us = 300 * MS;
	f->servers[0].slow_us = 1985 * MS; /* statements time out after 2 s */
	for (i = 1; i < 3; i++) {
		fake_cut(f, i, 0, true);
		fake_cut(f, 0, i, true);
	}
	fake_run(f, 4 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
}

/*
 * A write waits long in the queue of a primary that a partition separates from
 * all proxies but one. Another server is promoted meanwhile. The old primary
 * still stores the write, but its log is rolled back later, so the write must
 * not be acknowledged.
 */
START_TEST(test_late_write_is_not_acknowledged)
{
	struct fake *f = start((uint32_t)_i + 60);

	write_late(f);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

/* Without the guard confirm_writes the checker finds that fault. */
START_TEST(test_checker_finds_late_write)
{
	struct fake *f = start(60);
	unsigned i;

	for (i = 0; i < f->n_relays; i++)
		relay_guards_of(f->relays[i].relay)->confirm_writes = false;
	write_late(f);
	ck_assert_str_ne(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

/*
 * A primary and one of its two replicas lose power together. The other replica
 * must not be promoted alone: if both came back before the promotion took
 * effect, the replica would confirm the primary, and a write acknowledged there
 * would be lost.
 */
START_TEST(test_lone_replica_is_not_promoted)
{
	struct fake *f = start((uint32_t)_i + 80);

	fake_crash(f, 0);
	fake_crash(f, 2);
	fake_run(f, 5 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 0);
	end(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("change");

	tcase_add_loop_test(tc, test_dead_primary_is_replaced, 0, 2);
	tcase_add_loop_test(tc, test_proxy_without_store_resumes_no_replica, 0,
			    40);
	tcase_add_test(tc, test_checker_finds_resumed_replica);
	tcase_add_test(tc, test_short_partition_of_one_relay_changes_nothing);
	tcase_add_loop_test(tc, test_old_primary_is_not_relied_on, 0, 5);
	tcase_add_loop_test(tc, test_second_change_fences_too, 0, 5);
	tcase_add_loop_test(tc, test_lost_reply_promotes_no_other_server, 0, 5);
	tcase_add_test(tc, test_planned_change_loses_no_commit);
	tcase_add_loop_test(tc, test_planned_change_waits_for_leases, 0, 12);
	tcase_add_test(tc, test_unlisted_primary_steps_down);
	tcase_add_loop_test(tc, test_suspended_relay_uses_no_old_claim, 0, 5);
	tcase_add_test(tc, test_checker_finds_old_claim);
	tcase_add_loop_test(tc, test_late_write_is_not_acknowledged, 0, 5);
	tcase_add_test(tc, test_checker_finds_late_write);
	tcase_add_loop_test(tc, test_lone_replica_is_not_promoted, 0, 5);
	return suite_main("change", tc);
}
