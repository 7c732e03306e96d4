#include "support_history.h"

#include <celeryquay/suite.h>
#include <stdlib.h>

#define SEEDS 60
#define RELAYS 3
#define GROUPS 2
#define SESSIONS 6
#define WORKLOAD_US (25 * USEC_PER_SEC)

static const char *const names[] = { "a", "b", "c" };

static void next_operation_event(struct fake *f, void *data);

static void start_operation(struct fake *f, struct hist_session *s)
{
	const char *name = names[fake_random(f, 0, 3)];
	char text[16];

	g_snprintf(text, sizeof(text), "%u", (unsigned)fake_random(f, 0, 4));
	switch (fake_random(f, 0, 12)) {
	case 0:
		hist_start(f, s, RELAY_SET, name, text);
		return;
	case 1:
		hist_start(f, s, RELAY_PREPARE_READ, name, text);
		return;
	case 2:
		hist_start(f, s, RELAY_PREPARE_WRITE, name, text);
		return;
	case 3:
		hist_start(f, s, RELAY_BEGIN_READ, "", "");
		break;
	case 4:
	case 5:
		hist_start(f, s, RELAY_BEGIN, "", "");
		break;
	case 6:
	case 7:
		hist_start(f, s, RELAY_EXECUTE, name, text);
		return;
	case 8:
	case 9:
		hist_start(f, s, RELAY_WRITE, "", text);
		return;
	default:
		hist_start(f, s, RELAY_READ, "", text);
		return;
	}
	s->left = (unsigned)fake_random(f, 0, 4);
}

static void continue_transaction(struct fake *f, struct hist_session *s)
{
	if (s->state == 'E' || (!s->left && fake_chance(f, 0.2))) {
		hist_start(f, s, RELAY_ROLLBACK, "", "");
	} else if (!s->left) {
		hist_start(f, s, RELAY_COMMIT, "", "");
	} else {
		s->left--;
		hist_start(f, s, fake_chance(f, 0.4) ? RELAY_WRITE : RELAY_READ,
			   "", "1");
	}
}

static struct hist_session *open_session(struct fake *f, unsigned relay)
{
	struct hist_session *s =
		hist_open(f, relay, (unsigned)fake_random(f, 0, GROUPS),
			  (enum relay_kind)fake_random(f, 0, 3));

	s->next = next_operation_event;
	fake_at(f, -1, MS, next_operation_event, s, NULL);
	return s;
}

/*
 * Starts the caller's next operation. Some callers leave, also in the middle of
 * a transaction, and open another session.
 */
static void next_operation_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (!s->open || s->now)
		return;
	if (fake_chance(f, 0.01)) {
		hist_close(f, s);
		open_session(f, s->relay);
	} else if (s->state == 'I') {
		start_operation(f, s);
	} else {
		continue_transaction(f, s);
	}
}

static void inject_fault(struct fake *f)
{
	unsigned server = (unsigned)fake_random(f, 0, GROUPS * GROUP_SIZE);
	unsigned relay = (unsigned)fake_random(f, 0, RELAYS);
	struct fake_server *p =
		fake_primary(f, (unsigned)fake_random(f, 0, GROUPS));

	switch (fake_random(f, 0, 8)) {
	case 0:
		fake_crash(f, p ? p->index : server);
		break;
	case 1:
		f->servers[p ? p->index : server].dark = true;
		break;
	case 2:
		fake_cut(f, relay, p ? p->index : server, true);
		break;
	case 3:
		f->servers[server].lag_us = fake_random(f, 10, 2000) * MS;
		break;
	case 4:
		f->lose_answers = 0.05;
		break;
	case 5:
		fake_suspend_relay(f, relay, 2 * USEC_PER_SEC);
		break;
	case 6:
		f->lose_claims = 0.5;
		break;
	default:
		fake_cut(f, relay, server, true);
		break;
	}
}

/*
 * Runs callers under faults, one or two at a time, that end after some seconds.
 * A server that crashed is down for at least two seconds.
 */
static void run_workload(struct fake *f)
{
	uint64_t end_us = f->now_us + WORKLOAD_US;
	unsigned i;

	for (i = 0; i < SESSIONS; i++)
		open_session(f, i % RELAYS);
	f->busy = 0.01;
	f->promote_duration_us = fake_random(f, 400, 1001) * MS;
	while (f->now_us < end_us) {
		fake_run(f, fake_random(f, 100, 1500) * MS);
		inject_fault(f);
		if (fake_chance(f, 0.5)) {
			fake_run(f, fake_random(f, 1, 400) * MS);
			inject_fault(f);
		}
		fake_run(f, fake_random(f, 2000, 4500) * MS);
		fake_heal(f);
		f->busy = 0.01;
	}
}

static unsigned n_seeds(void)
{
	const char *value = g_getenv("CQ_SEEDS");

	return value ? (unsigned)strtoul(value, NULL, 10) : SEEDS;
}

/*
 * Callers write, read and run transactions while servers crash, stop answering
 * or lag, and proxies are cut off or suspended. Whatever the order of events,
 * no caller may get an answer that is not true.
 */
START_TEST(test_answers_are_true_under_faults)
{
	unsigned seed, promotions = 0, acked = 0;

	for (seed = 1; seed <= n_seeds(); seed++) {
		struct fake *f = fake_create(seed, RELAYS, GROUPS);

		fake_run(f, USEC_PER_SEC);
		run_workload(f);
		ck_assert_msg(!*hist_check(f), "seed %u:\n%s", seed,
			      hist_check(f));
		promotions += f->n_promotions;
		acked += hist_acknowledged(f);
		fake_destroy(f);
	}
	ck_assert_uint_gt(promotions, n_seeds());
	ck_assert_uint_gt(acked, 100 * n_seeds());
}
END_TEST

/*
 * Names of the guards, by their index in struct relay_guards. The first and the
 * last sixteen have tests of their own: confirm_writes, fresh_claim and
 * resume_under_duty in test_change; distrust_restarted in test_reborn;
 * claim_after_fence, distrust_unpaused, distrust_newly_listed and
 * check_list_age in test_newcomers; avoid_outliers, limit_in_flight,
 * leave_when_cut_off and renew_lease_at_once, on which no checked rule depends,
 * in test_routing, test_overload and test_homes; the four of accounts in
 * test_accounts; expect_forgotten in test_store_return.
 */
static const char *const guards[] = {
	"confirm_writes",     "await_lease_expiry",    "fence",
	"check_floor",	      "clean_values",	       "no_write_retry",
	"fresh_claim",	      "resume_under_duty",     "avoid_outliers",
	"limit_in_flight",    "distrust_restarted",    "claim_after_fence",
	"distrust_unpaused",  "distrust_newly_listed", "check_list_age",
	"leave_when_cut_off", "own_connections",       "check_keys",
	"check_key_age",      "limit_accounts",	       "renew_lease_at_once",
	"expect_forgotten",   "await_promotions",
};

#define GUARD_SEEDS 400

/*
 * Guards against a checker that misses violations: with one guard off, it must
 * report one for at least one seed.
 */
START_TEST(test_checker_reports_a_disabled_guard)
{
	unsigned seed, i;
	bool caught = false;

	ck_assert_uint_eq(sizeof(struct relay_guards), G_N_ELEMENTS(guards));
	for (seed = 1; seed <= GUARD_SEEDS && !caught; seed++) {
		struct fake *f = fake_create(seed, RELAYS, GROUPS);

		for (i = 0; i < RELAYS; i++)
			((bool *)relay_guards_of(f->relays[i].relay))[_i] =
				false;
		fake_run(f, USEC_PER_SEC);
		run_workload(f);
		caught = *hist_check(f);
		fake_destroy(f);
	}
	ck_assert_msg(caught, "checker missed violations without %s",
		      guards[_i]);
}
END_TEST

static GLogWriterOutput discard_log(GLogLevelFlags level,
				    const GLogField *fields, gsize n_fields,
				    gpointer data)
{
	(void)level;
	(void)fields;
	(void)n_fields;
	(void)data;
	return G_LOG_WRITER_HANDLED;
}

int main(void)
{
	TCase *tc = tcase_create("histories");

	g_log_set_writer_func(discard_log, NULL, NULL);
	tcase_add_test(tc, test_answers_are_true_under_faults);
	tcase_add_loop_test(tc, test_checker_reports_a_disabled_guard, 1,
			    G_N_ELEMENTS(guards) - 17);
	return suite_main("histories", tc);
}
