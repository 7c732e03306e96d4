/*
 * Client accounts: statements run on connections of their own account, keys are
 * checked, and each account's rate of operations is limited.
 */
#include "connlimit.h"
#include "limit_internal.h"
#include "support_history.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 40
#define GUARD_SEEDS 60
#define RELAYS 5
#define GROUPS 2
#define SESSIONS 24
#define WORKLOAD_US (30 * USEC_PER_SEC)

static void next_operation_event(struct fake *f, void *data);

static void start_operation(struct fake *f, struct hist_session *s)
{
	switch (fake_random(f, 0, 8)) {
	case 0:
		hist_start(f, s, RELAY_SET, "a", "1");
		return;
	case 1:
		hist_start(f, s, RELAY_BEGIN, "", "");
		break;
	case 2:
		hist_start(f, s, RELAY_BEGIN_READ, "", "");
		break;
	case 3:
	case 4:
		hist_start(f, s, RELAY_WRITE, "", "1");
		return;
	default:
		hist_start(f, s, RELAY_READ, "", "1");
		return;
	}
	s->left = (unsigned)fake_random(f, 0, 4);
}

static void continue_transaction(struct fake *f, struct hist_session *s)
{
	if (s->state == 'E') {
		hist_start(f, s, RELAY_ROLLBACK, "", "");
	} else if (!s->left) {
		hist_start(f, s, RELAY_COMMIT, "", "");
	} else {
		s->left--;
		hist_start(f, s, RELAY_READ, "", "1");
	}
}

static void connect_event(struct fake *f, void *data)
{
	unsigned relay = GPOINTER_TO_UINT(data);
	struct hist_session *s =
		hist_open(f, relay, (unsigned)fake_random(f, 0, GROUPS),
			  (enum relay_kind)fake_random(f, 0, 3));

	s->next = next_operation_event;
	fake_at(f, -1, fake_random(f, 1, 100) * MS, next_operation_event, s,
		NULL);
}

/*
 * Starts the caller's next operation. A caller whose session was ended, or that
 * leaves, opens another one 300 ms later.
 */
static void next_operation_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->now)
		return;
	if (!s->open || fake_chance(f, 0.01)) {
		hist_close(f, s);
		s->next = NULL;
		fake_at(f, -1, 300 * MS, connect_event,
			GUINT_TO_POINTER(s->relay), NULL);
	} else if (s->state == 'I') {
		start_operation(f, s);
	} else {
		continue_transaction(f, s);
	}
}

static void inject_fault(struct fake *f)
{
	unsigned relay = (unsigned)fake_random(f, 0, RELAYS);
	unsigned account = (unsigned)fake_random(f, 0, FAKE_ACCOUNTS);
	unsigned i;

	switch (fake_random(f, 0, 7)) {
	case 0:
	case 1:
		fake_set_key_revoked(f, account,
				     !f->key_revoked_at_us[account]);
		break;
	case 2:
		fake_set_store_reachable(f, relay, false);
		break;
	case 3:
		fake_suspend_relay(f, relay,
				   fake_random(f, 1, 9) * USEC_PER_SEC);
		break;
	case 4:
		fake_restart_relay(f, relay);
		break;
	case 5:
		for (i = 0; i < RELAYS; i++)
			f->side[i] = (unsigned)fake_random(f, 0, 2);
		break;
	default:
		fake_crash(f, (unsigned)fake_random(f, 0, GROUPS * GROUP_SIZE));
		break;
	}
}

/*
 * Runs callers under faults that overlap. fake_heal() doesn't give revoked keys
 * back, and each proxy reaches the store again with a probability of 0.7.
 */
static void run_workload(struct fake *f)
{
	uint64_t end_us = f->now_us + WORKLOAD_US;
	unsigned i;

	for (i = 0; i < SESSIONS; i++)
		connect_event(f, GUINT_TO_POINTER(i % RELAYS));
	while (f->now_us < end_us) {
		fake_run(f, fake_random(f, 100, 1500) * MS);
		inject_fault(f);
		inject_fault(f);
		fake_run(f, fake_random(f, 2000, 9000) * MS);
		fake_heal(f);
		for (i = 0; i < RELAYS; i++)
			if (fake_chance(f, 0.7))
				fake_set_store_reachable(f, i, true);
	}
}

static unsigned n_seeds(void)
{
	const char *value = g_getenv("CQ_SEEDS");

	return value ? (unsigned)strtoul(value, NULL, 10) : SEEDS;
}

/*
 * Guards against statements that run on another account's connection, with a
 * revoked key or above the account's limit, when faults overlap.
 */
START_TEST(accounts_stay_separate_under_faults)
{
	unsigned seed, ran = 0;

	for (seed = 1; seed <= n_seeds(); seed++) {
		struct fake *f = fake_create_accounts(seed, RELAYS, GROUPS);

		fake_run(f, 6 * USEC_PER_SEC);
		run_workload(f);
		ck_assert_msg(!*hist_check(f), "seed %u:\n%s", seed,
			      hist_check(f));
		ran += hist_operation_count(f);
		fake_destroy(f);
	}
	ck_assert_uint_gt(ran, 500 * n_seeds());
}
END_TEST

static const size_t guards[] = {
	offsetof(struct relay_guards, own_connections),
	offsetof(struct relay_guards, check_keys),
	offsetof(struct relay_guards, check_key_age),
	offsetof(struct relay_guards, limit_accounts),
};

/*
 * Guards against a checker that misses violations: with one guard off, it must
 * report one for at least one seed.
 */
START_TEST(checker_reports_a_disabled_guard)
{
	bool caught = false;
	unsigned seed, i;

	for (seed = 1; seed <= GUARD_SEEDS && !caught; seed++) {
		struct fake *f = fake_create_accounts(seed, RELAYS, GROUPS);

		for (i = 0; i < RELAYS; i++)
			((bool *)relay_guards_of(
				f->relays[i].relay))[guards[_i]] = false;
		fake_run(f, 6 * USEC_PER_SEC);
		run_workload(f);
		caught = *hist_check(f);
		fake_destroy(f);
	}
	ck_assert_msg(caught, "checker missed violations without guard %d", _i);
}
END_TEST

static enum relay_code open_with(struct fake *f, const char *database,
				 const char *key)
{
	static uint64_t session = 100000;
	struct relay_answer answer;

	if (relay_session_open(f->relays[0].relay, ++session, database, key,
			       &answer, f->now_us))
		return RELAY_OK;
	return answer.code;
}

/*
 * Guards against a caller without a valid key that learns from the error code
 * which databases exist.
 */
START_TEST(keys_are_checked_before_databases)
{
	struct fake *f = fake_create_accounts(1, 1, 1);

	fake_run(f, USEC_PER_SEC);
	ck_assert_int_eq(open_with(f, "own0", "secret1"), RELAY_OK);
	ck_assert_int_eq(open_with(f, "none", "secret1"), RELAY_NO_DATABASE);
	ck_assert_int_eq(open_with(f, "own0", "other"), RELAY_UNAUTHORIZED);
	ck_assert_int_eq(open_with(f, "own0", ""), RELAY_UNAUTHORIZED);
	ck_assert_int_eq(open_with(f, "none", "other"), RELAY_UNAUTHORIZED);
	fake_destroy(f);
}
END_TEST

/*
 * Guards against revoked keys that stay valid because the newest configuration
 * can't be read: until one can be read, all keys are refused.
 */
START_TEST(unreadable_configuration_refuses_every_key)
{
	struct fake *f = fake_create_accounts(1, 1, 1);

	fake_run(f, USEC_PER_SEC);
	relay_on_catalog_unreadable(f->relays[0].relay);
	ck_assert_int_eq(open_with(f, "own0", "secret1"), RELAY_BUSY);
	f->config_version++;
	fake_run(f, USEC_PER_SEC);
	ck_assert_int_eq(open_with(f, "own0", "secret1"), RELAY_OK);
	fake_destroy(f);
}
END_TEST

/*
 * Guards against a transaction that continues or commits after its account's
 * key was revoked.
 */
START_TEST(a_transaction_ends_when_its_key_is_revoked)
{
	struct fake *f = fake_create_accounts(1, 2, 1);
	struct hist_session *s;

	fake_run(f, 6 * USEC_PER_SEC);
	s = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	ck_assert_int_eq(hist_run(f, s, RELAY_BEGIN, "", ""), RELAY_OK);
	ck_assert_int_eq(hist_run(f, s, RELAY_WRITE, "", "1"), RELAY_OK);
	fake_set_key_revoked(f, s->account, true);
	fake_run(f, USEC_PER_SEC);
	ck_assert_int_eq(hist_run(f, s, RELAY_COMMIT, "", ""), RELAY_ABORTED);
	ck_assert_int_eq(hist_run(f, s, RELAY_WRITE, "", "1"),
			 RELAY_UNAUTHORIZED);
	ck_assert_uint_eq(hist_acknowledged(f), 0);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

/*
 * Guards against keys that are judged by outdated information for as long as
 * the store doesn't answer: after FAKE_KEY_MAX_AGE_US all are refused, and once
 * the store answers they are valid again.
 */
START_TEST(keys_are_valid_again_once_the_store_answers)
{
	struct fake *f = fake_create_accounts(1, 2, 1);

	fake_run(f, 6 * USEC_PER_SEC);
	fake_set_store_reachable(f, 0, false);
	fake_run(f, FAKE_KEY_MAX_AGE_US + USEC_PER_SEC);
	ck_assert_int_eq(open_with(f, "own0", "secret1"), RELAY_BUSY);
	ck_assert(!relay_is_ready(f->relays[0].relay));
	fake_set_store_reachable(f, 0, true);
	fake_run(f, USEC_PER_SEC);
	ck_assert_int_eq(open_with(f, "own0", "secret1"), RELAY_OK);
	fake_destroy(f);
}
END_TEST

static void read_again_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->open && !s->now)
		hist_start(f, s, RELAY_READ, "", "1");
}

/*
 * Guards against a limit that is split among the proxies: an account whose
 * callers all use one proxy would only get that proxy's share.
 */
START_TEST(an_account_gets_its_whole_rate_at_one_proxy)
{
	struct fake *f = fake_create_accounts(1, RELAYS, 1);
	uint64_t us = 10 * USEC_PER_SEC;
	struct hist_session *s;
	unsigned i;

	fake_run(f, 6 * USEC_PER_SEC);
	for (i = 0; i < 6 * FAKE_ACCOUNTS; i++) {
		s = hist_open(f, 0, 0, RELAY_KIND_BOUNDED);
		if (s->account)
			continue;
		s->next = read_again_event;
		read_again_event(f, s);
	}
	fake_run(f, us);
	ck_assert_uint_ge(hist_operation_count(f),
			  FAKE_RATE * us / USEC_PER_SEC * 95 / 100);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

#define LIMITED_CALLERS 60 /* callers of one account that read at once */

/* Callers at their account's limit that retry when they were told to. */
struct retry_counts {
	unsigned refused; /* callers that were refused at first */
	unsigned refused_again; /* of these, on their retry */
};

static struct retry_counts retry_counts;

static void retry_event(struct fake *f, void *data)
{
	hist_start(f, data, RELAY_READ, "", "1");
}

/* s->left is 1 until the caller has been refused once. */
static void count_refusal_event(struct fake *f, void *data)
{
	struct hist_session *s = data;
	const char *at = strstr(s->said, "come back in ");

	if (s->told == RELAY_OK)
		return;
	if (!s->left) {
		retry_counts.refused_again++;
		return;
	}
	s->left = 0;
	retry_counts.refused++;
	ck_assert_ptr_nonnull(at);
	fake_at(f, -1,
		g_ascii_strtoull(at + strlen("come back in "), NULL, 10) * MS,
		retry_event, s, NULL);
}

/*
 * Guards against telling all refused callers the same retry time: they would
 * retry together, and most would be refused again.
 */
START_TEST(refused_callers_get_staggered_retry_times)
{
	struct fake *f = fake_create_accounts((uint32_t)_i, RELAYS, 1);
	unsigned i, n;

	retry_counts = (struct retry_counts){ 0 };
	fake_run(f, 6 * USEC_PER_SEC);
	for (i = 0, n = 0; n < LIMITED_CALLERS; i++) {
		struct hist_session *s = hist_open(f, 0, 0, RELAY_KIND_BOUNDED);

		if (s->account)
			continue;
		s->next = count_refusal_event;
		s->left = 1;
		retry_event(f, s);
		n++;
	}
	fake_run(f, 20 * USEC_PER_SEC);
	ck_assert_uint_gt(retry_counts.refused, LIMITED_CALLERS / 3);
	ck_assert_uint_lt(retry_counts.refused_again, retry_counts.refused / 5);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

/*
 * Whether a relay that has just started may open a third connection to a server
 * that has more than half of its connections in use.
 */
static bool may_open_third_connection(struct fake *f)
{
	struct relay *r = f->relays[0].relay;
	struct rserver *s;

	fake_run(f, 2 * USEC_PER_SEC);
	s = g_hash_table_lookup(r->servers, "s1");
	ck_assert(rserver_is_up(s));
	s->status.connections = f->max_connections / 2 + 1;
	s->n_conns = 2;
	return connlimit_may_open(s, f->now_us);
}

/*
 * Guards against a restarted fleet whose first proxies take all connections
 * that servers have left, one for each account, so that the other proxies have
 * to refuse their callers.
 */
START_TEST(a_starting_proxy_leaves_connections_to_others)
{
	struct fake *f = fake_create_accounts(1, 5, 1);
	struct fake *without = fake_create(1, 5, 1);

	ck_assert(!may_open_third_connection(f));
	ck_assert(may_open_third_connection(without));
	fake_destroy(f);
	fake_destroy(without);
}
END_TEST

/*
 * Gives the first relay a list of proxies without the one of index `missing`;
 * -1: a complete list.
 */
static void give_list_without(struct fake *f, int missing)
{
	struct relay_server_info infos[RELAYS] = { 0 };
	unsigned i, n = 0;

	for (i = 0; i < f->n_relays; i++)
		if ((int)i != missing)
			infos[n++].id = f->relays[i].name;
	rgrantor_on_peers(f->relays[0].relay, infos, n, f->now_us);
}

static bool grants_token(struct fake *f)
{
	struct rlimit *l = rlimit_find(f->relays[0].relay, "account0");
	uint64_t wait_us;
	unsigned given;

	return rgrantor_grant(l, 1, &given, &wait_us, f->now_us) && given;
}

/*
 * Guards against exceeding the limit through a fifth grantor, one that was just
 * listed, beside four that don't know of it yet.
 */
START_TEST(a_new_proxy_waits_before_it_grants_tokens)
{
	struct fake *f = fake_create_accounts(1, 2, 1);

	fake_run(f, 6 * USEC_PER_SEC);
	ck_assert(grants_token(f));
	give_list_without(f, 0);
	ck_assert(!grants_token(f));
	give_list_without(f, -1);
	ck_assert(!grants_token(f));
	fake_run(f, FAKE_KEY_MAX_AGE_US - 100 * MS);
	ck_assert(!grants_token(f));
	fake_run(f, 200 * MS);
	ck_assert(grants_token(f));
	fake_destroy(f);
}
END_TEST

static bool is_known_as_grantor(struct fake *f, const char *name)
{
	const struct rlimit *l = rlimit_find(f->relays[0].relay, "account0");
	unsigned i;

	for (i = 0; i < l->n_grantors; i++)
		if (!strcmp(l->grantors[i].name, name))
			return true;
	return false;
}

/*
 * Guards against exceeding the limit through a grantor that replaces one which
 * left the list and may not know that yet.
 */
START_TEST(a_delisted_grantor_is_kept_for_a_while)
{
	struct fake *f = fake_create_accounts(1, RELAYS, 1);
	unsigned left = 1;

	fake_run(f, 6 * USEC_PER_SEC);
	while (!is_known_as_grantor(f, f->relays[left].name))
		left++;
	give_list_without(f, (int)left);
	fake_run(f, FAKE_KEY_MAX_AGE_US - 100 * MS);
	ck_assert(is_known_as_grantor(f, f->relays[left].name));
	fake_run(f, 200 * MS);
	ck_assert(!is_known_as_grantor(f, f->relays[left].name));
	fake_destroy(f);
}
END_TEST

/*
 * Guards against a ranking that is only updated when no request for tokens is
 * in flight: under load there always is one.
 */
START_TEST(ranking_does_not_wait_for_a_request_in_flight)
{
	struct fake *f = fake_create_accounts(1, RELAYS, 1);
	struct rconn in_flight = { 0 };
	struct rlimit *l;
	unsigned left = 1;

	fake_run(f, 6 * USEC_PER_SEC);
	while (!is_known_as_grantor(f, f->relays[left].name))
		left++;
	l = rlimit_find(f->relays[0].relay, "account0");
	give_list_without(f, (int)left);
	fake_run(f, FAKE_KEY_MAX_AGE_US + 100 * MS);
	l->ask = &in_flight;
	ck_assert(!is_known_as_grantor(f, f->relays[left].name));
	l->ask = NULL;
	fake_destroy(f);
}
END_TEST

/*
 * Guards against a grantor without the store that grants tokens by a list of
 * proxies that may have been replaced.
 */
START_TEST(a_grantor_without_the_store_stops)
{
	struct fake *f = fake_create_accounts(1, 2, 1);

	fake_run(f, 6 * USEC_PER_SEC);
	fake_set_store_reachable(f, 0, false);
	fake_run(f, FAKE_KEY_MAX_AGE_US - USEC_PER_SEC);
	ck_assert(grants_token(f));
	fake_run(f, USEC_PER_SEC + 200 * MS);
	ck_assert(!grants_token(f));
	fake_destroy(f);
}
END_TEST

/*
 * Guards against a key that is listed for two accounts and admits callers to
 * one of them.
 */
START_TEST(a_key_of_two_accounts_admits_nobody)
{
	struct relay_catalog *c = relay_catalog_create(1, 0);
	struct relay_account a = { .name = "a" }, b = { .name = "b" };

	ck_assert(relay_catalog_add_account(c, &a));
	ck_assert(relay_catalog_add_account(c, &b));
	ck_assert(!relay_catalog_add_account(c, &a));
	ck_assert(relay_catalog_add_key(c, "1", "a"));
	ck_assert(relay_catalog_add_key(c, "1", "a"));
	ck_assert(!relay_catalog_add_key(c, "1", "b"));
	ck_assert(!relay_catalog_add_key(c, "1", "a"));
	ck_assert(!relay_catalog_add_key(c, "", "a"));
	ck_assert(!relay_catalog_add_key(c, "2", "none"));
	ck_assert(relay_catalog_add_key(c, "3", "b"));
	ck_assert(!relay_catalog_account_of_key(c, "1"));
	ck_assert(!relay_catalog_account_of_key(c, ""));
	ck_assert_str_eq(relay_catalog_account_of_key(c, "3")->name, "b");
	relay_catalog_unref(c);
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
	TCase *tc = tcase_create("accounts");

	g_log_set_writer_func(discard_log, NULL, NULL);
	tcase_add_test(tc, keys_are_checked_before_databases);
	tcase_add_test(tc, unreadable_configuration_refuses_every_key);
	tcase_add_test(tc, a_transaction_ends_when_its_key_is_revoked);
	tcase_add_test(tc, keys_are_valid_again_once_the_store_answers);
	tcase_add_test(tc, an_account_gets_its_whole_rate_at_one_proxy);
	tcase_add_loop_test(tc, refused_callers_get_staggered_retry_times, 1,
			    6);
	tcase_add_test(tc, a_starting_proxy_leaves_connections_to_others);
	tcase_add_test(tc, a_new_proxy_waits_before_it_grants_tokens);
	tcase_add_test(tc, a_delisted_grantor_is_kept_for_a_while);
	tcase_add_test(tc, ranking_does_not_wait_for_a_request_in_flight);
	tcase_add_test(tc, a_grantor_without_the_store_stops);
	tcase_add_test(tc, a_key_of_two_accounts_admits_nobody);
	tcase_add_test(tc, accounts_stay_separate_under_faults);
	tcase_add_loop_test(tc, checker_reports_a_disabled_guard, 0,
			    G_N_ELEMENTS(guards));
	return suite_main("accounts", tc);
}
