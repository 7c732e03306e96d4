#include "support_history.h"

#include <celeryquay/suite.h>

/* After 8 s a proxy replaces a primary that others still reach. */
#define LONG_CUT_US (14 * USEC_PER_SEC)

static struct hist_session *writers[3];

static void write_next(struct fake *f, void *data)
{
	struct hist_session *s = data;

	hist_start(f, s, s->state == 'I' ? RELAY_WRITE : RELAY_ROLLBACK, "",
		   "1");
}

/* Three relays with a caller each that writes all the while. */
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

/* All is well again within some seconds: one primary, and writes. */
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
 * A primary dies by night, its process (0) or its host (1). Installers are
 * without codes until another leads.
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
 * One proxy of three loses its way to the primary for a moment. Replacing it
 * would stop the writes of all others for a second.
 */
START_TEST(test_short_cut_of_one_relay_changes_nothing)
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
 * A primary is replaced as one proxy lost it for good; others still reach the
 * old one, which goes on. What it stores after the promotion is gone later.
 */
START_TEST(test_old_primary_is_not_believed)
{
	struct fake *f = start((uint32_t)_i + 10);

	fake_cut(f, 0, 0, true);
	fake_run(f, LONG_CUT_US);
	ck_assert_uint_ge(f->n_promotions, 1);
	end(f);
}
END_TEST

/*
 * A second primary is cut off like the first, an hour later. What was left of
 * the first change made the second one skip its fence, and writes that the
 * old primary stored were told as stored, and gone.
 */
START_TEST(test_second_change_fences_too)
{
	struct fake *f = start((uint32_t)_i + 20);

	fake_cut(f, 0, 0, true);
	fake_run(f, LONG_CUT_US);
	ck_assert_uint_ge(f->n_promotions, 1);
	fake_heal(f);
	fake_run(f, 4 * USEC_PER_SEC);
	fake_cut(f, 0, fake_primary(f, 0)->index, true);
	fake_run(f, LONG_CUT_US);
	ck_assert_uint_ge(f->n_promotions, 2);
	end(f);
}
END_TEST

/* What is wrong when one proxy of three hears nothing of a change. */
static char *history_of_a_deaf_relay(uint32_t seed, bool guard)
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
	fake_run(f, f->promote_us - (seed % 8) * 40 * MS);
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
 * The store's answers reach all proxies but one when a primary has crashed.
 * That one sees the old primary come back and a replica paused, which it
 * resumed; the replica confirmed the old primary, and an installer's code that
 * was stored there was gone with the promotion a moment later.
 */
START_TEST(test_a_deaf_proxy_ends_no_pause)
{
	char *wrong = history_of_a_deaf_relay((uint32_t)_i, true);

	ck_assert_str_eq(wrong, "");
	g_free(wrong);
}
END_TEST

START_TEST(test_ended_pauses_are_noticed)
{
	unsigned i, n = 0;

	for (i = 0; i < 40; i++) {
		char *wrong = history_of_a_deaf_relay(i, false);

		n += *wrong != 0;
		g_free(wrong);
	}
	ck_assert_uint_gt(n, 0);
}
END_TEST

/*
 * The platform's word on a promotion is lost, after it was carried out. The
 * proxy asked for one more, of another server, and took the lead from the new
 * primary without a fence.
 */
START_TEST(test_lost_word_promotes_no_other)
{
	struct fake *f = start((uint32_t)_i + 30);

	fake_crash(f, 0);
	while (!f->duty_revision)
		fake_run(f, MS / 2);
	fake_run(f, 5 * MS);
	f->lose_words = true;
	fake_run(f, 3 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	end(f);
}
END_TEST

/*
 * A primary is to be taken away as planned. No acknowledged trip may be lost,
 * though replicas trail.
 */
START_TEST(test_planned_move_loses_nothing)
{
	struct fake *f = start(3);
	unsigned i, lost = 0;

	f->servers[1].lag_us = f->servers[2].lag_us = 100 * MS;
	f->servers[0].leaving = true;
	fake_list(f);
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
 * A primary steps down as planned and runs reads on as a replica. A proxy
 * whose list is old held its lease on it, and a dispatcher who read there saw
 * nothing of what was booked at the new primary 100 ms before.
 */
START_TEST(test_a_planned_move_waits_for_leases)
{
	struct fake *f = start((uint32_t)_i + 100);
	struct hist_session *reader;

	f->promote_us = 300 * MS;
	f->relays[0].list_held = true;
	hist_close(f, writers[0]);
	reader = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	reader->next = read_next;
	read_next(f, reader);
	fake_run(f, fake_random(f, 0, 500) * MS);
	f->servers[0].leaving = true;
	fake_list(f);
	fake_run(f, 4 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	f->relays[0].list_held = false;
	end(f);
}
END_TEST

/*
 * A primary that lost the store leaves the list, but answers. It was never
 * told to step down, and nobody could replace it.
 */
START_TEST(test_unlisted_primary_steps_down)
{
	struct fake *f = start(4);

	f->servers[0].listed = false;
	fake_list(f);
	fake_run(f, 8 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	ck_assert_int_eq(f->servers[0].role, ROLE_REPLICA);
	end(f);
}
END_TEST

/*
 * A proxy is suspended between its claim and the promotion; another claims
 * after it and promotes. The first wakes up with a token that is too low.
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
			fake_freeze(f, i, 8 * USEC_PER_SEC);
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

/* The same story, told by the checker once the guard is off. */
START_TEST(test_old_claim_is_noticed)
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

/* A slow write at a primary that all but its own proxy have lost. */
static void write_late(struct fake *f)
{
	unsigned i;

	f->promote_us = 300 * MS;
	f->servers[0].slow_us = 1985 * MS; /* the limit is 2 s */
	for (i = 1; i < 3; i++) {
		fake_cut(f, i, 0, true);
		fake_cut(f, 0, i, true);
	}
	fake_run(f, 4 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
}

/*
 * A trip waits long in the queue of a primary that was cut off with its proxy.
 * Another is promoted meanwhile; the old one stores the trip all the same, and
 * the plumber was told so, but the log with it is thrown away.
 */
START_TEST(test_late_write_is_not_told)
{
	struct fake *f = start((uint32_t)_i + 60);

	write_late(f);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

/* The same story, told by the checker once the guard is off. */
START_TEST(test_late_write_is_noticed)
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
 * A primary and one of its two replicas lose power together; the other replica
 * was promoted alone. When both came back before that took effect, one
 * confirmed for the other, and a trip that they stored was told as stored, and
 * gone.
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
	tcase_add_loop_test(tc, test_a_deaf_proxy_ends_no_pause, 0, 40);
	tcase_add_test(tc, test_ended_pauses_are_noticed);
	tcase_add_test(tc, test_short_cut_of_one_relay_changes_nothing);
	tcase_add_loop_test(tc, test_old_primary_is_not_believed, 0, 5);
	tcase_add_loop_test(tc, test_second_change_fences_too, 0, 5);
	tcase_add_loop_test(tc, test_lost_word_promotes_no_other, 0, 5);
	tcase_add_test(tc, test_planned_move_loses_nothing);
	tcase_add_loop_test(tc, test_a_planned_move_waits_for_leases, 0, 12);
	tcase_add_test(tc, test_unlisted_primary_steps_down);
	tcase_add_loop_test(tc, test_suspended_relay_uses_no_old_claim, 0, 5);
	tcase_add_test(tc, test_old_claim_is_noticed);
	tcase_add_loop_test(tc, test_late_write_is_not_told, 0, 5);
	tcase_add_test(tc, test_late_write_is_noticed);
	tcase_add_loop_test(tc, test_lone_replica_is_not_promoted, 0, 5);
	return suite_main("change", tc);
}
