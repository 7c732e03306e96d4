/*
 * A promotion call that its sender has given up, or that outlives its sender,
 * takes effect late. No other server of the service may be promoted beside it:
 * what callers had stored at the first one would be lost. One path each; the
 * seed selects the moments. The platform does not check tokens.
 */
#include "support_story.h"

#include <celeryquay/suite.h>
#include <string.h>

#define SEEDS 20
#define RELAYS SCENARIO_RELAYS
#define PRIMARY 0
#define PATH_US (14 * USEC_PER_SEC)

static void run_for(struct fake *f, unsigned from_ms, unsigned to_ms)
{
	fake_run(f, fake_random(f, from_ms, to_ms) * MS);
}

/*
 * The primary crashes, and the first promotion call takes late_ms longer, with
 * no answer to anyone. Returns the proxy that sent it.
 */
static unsigned send_late_call(struct fake *f, unsigned from_ms, unsigned to_ms)
{
	int sender;

	f->promote_call_delay_us = fake_random(f, from_ms, to_ms) * MS;
	f->lose_promote_replies = true;
	fake_crash(f, PRIMARY);
	sender = scenario_run_until(f, PHASE_PROMOTE);
	ck_assert_int_ge(sender, 0);
	fake_run(f, 3 * MS);
	f->promote_call_delay_us = 0;
	return (unsigned)sender;
}

static void answer_again(struct fake *f)
{
	f->lose_promote_replies = false;
}

static unsigned named_server(const struct fake *f)
{
	return f->named[0].server;
}

static void cut_off_sender(struct fake *f, unsigned sender)
{
	f->relays[sender].deaf = true;
	f->relays[sender].drop_lists = true;
}

static void rejoin_sender(struct fake *f, unsigned sender)
{
	f->relays[sender].drop_lists = false;
	fake_set_store_reachable(f, sender, true);
}

/* The sender is cut off, and the server that it named is told to leave. */
static void named_server_leaves(struct fake *f)
{
	unsigned sender = send_late_call(f, 2200, 4500);

	cut_off_sender(f, sender);
	run_for(f, 100, 1500);
	answer_again(f);
	fake_leave(f, named_server(f), fake_random(f, 6000, 9000) * MS);
	run_for(f, 1500, 2500);
	rejoin_sender(f, sender);
}

static void restart_event(struct fake *f, void *data)
{
	fake_restart(f, GPOINTER_TO_UINT(data));
}

/* The server that it named crashes and comes back before the call arrives. */
static void named_server_crashes(struct fake *f)
{
	unsigned sender = send_late_call(f, 5500, 7500);
	unsigned named = named_server(f);

	cut_off_sender(f, sender);
	run_for(f, 100, 800);
	answer_again(f);
	fake_crash(f, named);
	fake_at(f, -1, fake_random(f, 3500, 5000) * MS, restart_event,
		GUINT_TO_POINTER(named), NULL);
	run_for(f, 1500, 2500);
	rejoin_sender(f, sender);
}

static void named_server_restarts_at_once(struct fake *f)
{
	unsigned sender = send_late_call(f, 2200, 5500);

	cut_off_sender(f, sender);
	run_for(f, 100, 3000);
	answer_again(f);
	fake_restart_at_once(f, named_server(f), true);
	run_for(f, 500, 1500);
	rejoin_sender(f, sender);
}

/* Its entry expires, and other proxies forget it. */
static void named_server_is_unlisted(struct fake *f)
{
	unsigned sender = send_late_call(f, 4000, 6500);
	struct fake_server *named = &f->servers[named_server(f)];

	cut_off_sender(f, sender);
	answer_again(f);
	named->without_store = true;
	named->listed = false;
	fake_publish_lists(f);
	run_for(f, 4000, 7000);
	named->without_store = false;
	named->listed = true;
	rejoin_sender(f, sender);
	fake_publish_lists(f);
}

/* A new process of the sender's name may claim at once. */
static void sender_is_killed(struct fake *f)
{
	unsigned sender = send_late_call(f, 1000, 5000);

	run_for(f, 0, 900);
	fake_restart_relay(f, sender);
	answer_again(f);
	if (fake_chance(f, 0.5))
		fake_leave(f, named_server(f), 9 * USEC_PER_SEC);
}

static void all_proxies_are_killed(struct fake *f)
{
	unsigned i;

	send_late_call(f, 1000, 5000);
	run_for(f, 0, 900);
	for (i = 0; i < RELAYS; i++)
		fake_restart_relay(f, i);
	answer_again(f);
	if (fake_chance(f, 0.5))
		fake_leave(f, named_server(f), 9 * USEC_PER_SEC);
}

static void sender_is_stopped(struct fake *f)
{
	unsigned sender = send_late_call(f, 1500, 5000);

	run_for(f, 0, 900);
	relay_stop(f->relays[sender].relay, f->now_us);
	run_for(f, 100, 3000);
	fake_restart_relay(f, sender);
	answer_again(f);
	fake_leave(f, named_server(f), 9 * USEC_PER_SEC);
}

static void sender_is_suspended(struct fake *f)
{
	unsigned sender = send_late_call(f, 1500, 5000);

	fake_suspend_relay(f, sender, fake_random(f, 2000, 6000) * MS);
	answer_again(f);
	run_for(f, 100, 2500);
	if (fake_chance(f, 0.5))
		fake_leave(f, named_server(f), 9 * USEC_PER_SEC);
}

/* The sender dies between the claim that states a promotion and the call. */
static void sender_dies_before_the_call(struct fake *f)
{
	int sender;

	fake_crash(f, PRIMARY);
	sender = scenario_run_until(f, PHASE_LEASE_EXPIRY);
	ck_assert_int_ge(sender, 0);
	run_for(f, 0, 400);
	fake_restart_relay(f, (unsigned)sender);
}

/* Promotions take effect, but no answer arrives. */
static void answers_are_lost(struct fake *f)
{
	f->lose_promote_replies = true;
	fake_crash(f, PRIMARY);
	run_for(f, 1000, 4000);
	answer_again(f);
	fake_crash(f, named_server(f));
}

/* The store comes back without the claim. */
static void store_forgets_the_claim(struct fake *f)
{
	unsigned sender;

	fake_copy_store(f);
	sender = send_late_call(f, 1500, 4500);
	cut_off_sender(f, sender);
	run_for(f, 0, 900);
	fake_restore_store(f);
	answer_again(f);
	fake_leave(f, named_server(f), 9 * USEC_PER_SEC);
	run_for(f, 500, 2500);
	rejoin_sender(f, sender);
}

/* Some claims get no answer and are written late, or never. */
static void claims_are_written_late(struct fake *f)
{
	unsigned sender;

	f->lose_claims = 0.3;
	sender = send_late_call(f, 1500, 4500);
	cut_off_sender(f, sender);
	answer_again(f);
	run_for(f, 300, 1500);
	fake_leave(f, named_server(f), 9 * USEC_PER_SEC);
	run_for(f, 1500, 2500);
	rejoin_sender(f, sender);
}

static void platform_refuses(struct fake *f)
{
	f->refuses_promotions = true;
	fake_crash(f, PRIMARY);
	run_for(f, 1000, 3000);
	f->refuses_promotions = false;
}

/* The old primary is back before the call arrives. */
static void old_primary_is_back(struct fake *f)
{
	unsigned sender = send_late_call(f, 3000, 9000);

	cut_off_sender(f, sender);
	run_for(f, 500, 2500);
	answer_again(f);
	if (fake_chance(f, 0.5))
		f->n_promotions_to_drop = 3;
	fake_restart(f, PRIMARY);
	run_for(f, 500, 1500);
	rejoin_sender(f, sender);
}

/* Any of the above faults, in any order. */
static void drawn_faults(struct fake *f)
{
	unsigned sender = send_late_call(f, 500, 7000);
	unsigned i;

	if (fake_chance(f, 0.5))
		answer_again(f);
	for (i = 0; i < 4; i++) {
		unsigned relay = fake_chance(f, 0.5) ?
					 sender :
					 (unsigned)fake_random(f, 0, RELAYS);
		unsigned server = (unsigned)fake_random(f, 0, GROUP_SIZE);

		run_for(f, 0, 1800);
		switch (fake_random(f, 0, 6)) {
		case 0:
			fake_restart_relay(f, relay);
			break;
		case 1:
			fake_suspend_relay(f, relay,
					   fake_random(f, 500, 4000) * MS);
			break;
		case 2:
			if (fake_may_stop(f, server))
				fake_leave(f, server, 9 * USEC_PER_SEC);
			break;
		case 3:
			fake_restart_at_once(f, server, true);
			break;
		case 4:
			f->promote_call_delay_us = fake_random(f, 0, 3000) * MS;
			break;
		default:
			fake_restart(f, PRIMARY);
			break;
		}
	}
}

struct path {
	const char *name;
	void (*play)(struct fake *f);
	bool is_shown; /* without the guard a violation is found */
};

static const struct path paths[] = {
	{ "named server leaves", named_server_leaves, true },
	{ "named server crashes", named_server_crashes, false },
	{ "named server restarts at once", named_server_restarts_at_once,
	  false },
	{ "named server is unlisted", named_server_is_unlisted, true },
	{ "sender is killed", sender_is_killed, true },
	{ "all proxies are killed", all_proxies_are_killed, true },
	{ "sender is stopped", sender_is_stopped, true },
	{ "sender is suspended", sender_is_suspended, true },
	{ "sender dies before the call", sender_dies_before_the_call, false },
	{ "answers are lost", answers_are_lost, false },
	{ "store forgets the claim", store_forgets_the_claim, true },
	{ "claims are written late", claims_are_written_late, true },
	{ "platform refuses", platform_refuses, false },
	{ "old primary is back", old_primary_is_back, false },
	{ "drawn faults", drawn_faults, true },
};

static bool without_guard;

static char *play(const struct path *path, uint32_t seed)
{
	struct fake *f = scenario_start(seed, USEC_PER_SEC);
	unsigned i;

	f->takes_any_token = true;
	for (i = 0; i < RELAYS && without_guard; i++)
		relay_guards_of(f->relays[i].relay)->await_promotions = false;
	scenario_open_callers(f);
	run_for(f, 500, 1500);
	path->play(f);
	scenario_open_callers(f);
	fake_run(f, PATH_US);
	return scenario_finish(f);
}

/* Guards against two servers that are promoted beside each other. */
START_TEST(test_late_promotion_is_the_only_one)
{
	const struct path *path = &paths[_i];
	GString *wrong = g_string_new(NULL);
	unsigned n_wrong = 0;
	uint32_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		char *text = play(path, seed);

		if (*text && !n_wrong++)
			g_string_printf(wrong, "seed %u: %.200s", seed, text);
		g_free(text);
	}
	ck_assert_msg(!n_wrong, "%s: %u of %u seeds, %s", path->name, n_wrong,
		      SEEDS, wrong->str);
	g_string_free(wrong, TRUE);
}
END_TEST

/* Guards against paths that would pass without what they are meant to test. */
START_TEST(test_paths_need_the_guard)
{
	const struct path *path = &paths[_i];
	bool noticed = false;
	uint32_t seed;

	if (!path->is_shown)
		return;
	without_guard = true;
	for (seed = 0; seed < SEEDS && !noticed; seed++) {
		char *text = play(path, seed);

		noticed = *text;
		g_free(text);
	}
	without_guard = false;
	ck_assert_msg(noticed, "%s: no seed shows the failure", path->name);
}
END_TEST

/* From a crash until a server is promoted, with replies and no other fault. */
#define FAILOVER_MAX_US (3 * USEC_PER_SEC)

/* Guards against a wait for promotions when none is under way. */
START_TEST(test_next_crash_is_not_delayed)
{
	struct fake *f = scenario_start((uint32_t)_i, USEC_PER_SEC);

	fake_crash(f, PRIMARY);
	fake_run(f, FAILOVER_MAX_US + f->promote_duration_us);
	ck_assert_uint_eq(f->n_promotions, 1);
	fake_restart(f, PRIMARY);
	fake_run(f, USEC_PER_SEC);
	fake_crash(f, named_server(f));
	/* The duty may be held by another proxy for three seconds. */
	fake_run(f,
		 FAILOVER_MAX_US + f->promote_duration_us + 3 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 2);
	fake_destroy(f);
}
END_TEST

/* Guards against two changes of one proxy that drop each other's promotion. */
START_TEST(test_two_services_under_one_claim)
{
	struct fake *f = fake_create((uint32_t)_i, RELAYS, MAX_GROUPS);
	unsigned group;

	fake_run(f, USEC_PER_SEC);
	fake_crash(f, 0);
	fake_run(f, fake_random(f, 0, 800) * MS);
	fake_crash(f, GROUP_SIZE);
	fake_run(f, 9 * USEC_PER_SEC);
	for (group = 0; group < MAX_GROUPS; group++)
		ck_assert_uint_eq(f->top_term[group], 2);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

static bool delivers_given_up;

/*
 * The call is held up on its way, and its sender is suspended until another
 * proxy has claimed the duty.
 */
static char *held_call_of_a_suspended_sender(uint32_t seed)
{
	struct fake *f = scenario_start(seed, USEC_PER_SEC);
	unsigned sender;

	f->takes_any_token = f->checks_arrivals = true;
	f->drops_given_up = !delivers_given_up;
	scenario_open_callers(f);
	run_for(f, 500, 1500);
	sender = send_late_call(f, 4500, 9000);
	answer_again(f);
	fake_suspend_relay(f, sender, fake_random(f, 3600, 4300) * MS);
	fake_run(f, PATH_US);
	return scenario_finish(f);
}

/* Guards against a call under way with a token that is not the newest. */
START_TEST(test_call_is_given_up_for_a_newer_token)
{
	scenario_check_guarantees(held_call_of_a_suspended_sender);
}
END_TEST

/* Guards against a checker that misses a call which is delivered after that. */
START_TEST(test_checker_finds_a_lower_token)
{
	bool noticed = false;
	uint32_t seed;

	delivers_given_up = true;
	for (seed = 0; seed < SEEDS && !noticed; seed++) {
		char *text = held_call_of_a_suspended_sender(seed);

		noticed = *text;
		g_free(text);
	}
	delivers_given_up = false;
	ck_assert(noticed);
}
END_TEST

/* Guards against two calls under way whose tokens may arrive in any order. */
START_TEST(test_calls_are_made_one_token_at_a_time)
{
	struct fake *f = fake_create((uint32_t)_i, RELAYS, MAX_GROUPS);
	unsigned group;

	f->takes_any_token = f->checks_arrivals = true;
	f->drops_given_up = true;
	fake_run(f, USEC_PER_SEC);
	fake_crash(f, 0);
	fake_run(f, fake_random(f, 0, 300) * MS);
	fake_crash(f, GROUP_SIZE);
	while (!f->named[0].at_us && !f->named[1].at_us) {
		f->promote_call_delay_us = fake_random(f, 0, 800) * MS;
		fake_run(f, MS);
	}
	f->promote_call_delay_us = 0;
	fake_run(f, 9 * USEC_PER_SEC);
	for (group = 0; group < MAX_GROUPS; group++)
		ck_assert_uint_eq(f->top_term[group], 2);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pending");

	tcase_add_loop_test(tc, test_late_promotion_is_the_only_one, 0,
			    G_N_ELEMENTS(paths));
	tcase_add_loop_test(tc, test_paths_need_the_guard, 0,
			    G_N_ELEMENTS(paths));
	tcase_add_loop_test(tc, test_next_crash_is_not_delayed, 0, 8);
	tcase_add_loop_test(tc, test_two_services_under_one_claim, 0, 20);
	tcase_add_test(tc, test_call_is_given_up_for_a_newer_token);
	tcase_add_test(tc, test_checker_finds_a_lower_token);
	tcase_add_loop_test(tc, test_calls_are_made_one_token_at_a_time, 0, 20);
	return suite_main("pending", tc);
}
