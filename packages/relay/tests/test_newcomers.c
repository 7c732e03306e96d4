#include "support_history.h"

#include <celeryquay/suite.h>

/*
 * Servers that are listed, lost, or come back under another id while a primary
 * is replaced.
 */

#define SEEDS 60
#define N_RELAYS 3
#define CHANGE_LIMIT_US (20 * USEC_PER_SEC)
#define REST_US (9 * USEC_PER_SEC)

static struct hist_session *callers[N_RELAYS];

static void next_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->open && s->state != 'I')
		hist_start(f, s, RELAY_ROLLBACK, "", "");
	else if (s->open)
		hist_start(f, s, fake_chance(f, 0.5) ? RELAY_WRITE : RELAY_READ,
			   "", "1");
}

/* The guard that the proxies go without, by its place; NULL: none. */
static const size_t *guard_off;

/* Three proxies with a caller each that writes and reads all the while. */
static struct fake *start(uint32_t seed)
{
	struct fake *f = fake_create(seed, N_RELAYS, 1);
	unsigned i;

	for (i = 0; guard_off && i < N_RELAYS; i++)
		((bool *)relay_guards_of(f->relays[i].relay))[*guard_off] =
			false;
	f->promote_us = 300 * MS + seed % 8 * 100 * MS;
	fake_run(f, 6 * USEC_PER_SEC);
	for (i = 0; i < N_RELAYS; i++) {
		callers[i] = hist_open(f, i, 0, RELAY_KIND_PRIMARY);
		callers[i]->next = next_event;
		next_event(f, callers[i]);
	}
	fake_run(f, USEC_PER_SEC);
	return f;
}

/* What was wrong until a while after all has healed. */
static char *end(struct fake *f)
{
	unsigned acked, i;
	char *wrong;

	for (i = 0; i < f->n_relays; i++) {
		f->relays[i].list_lag_us = 0;
		f->relays[i].list_held = false;
		f->relays[i].deaf = false;
	}
	fake_heal(f);
	fake_list(f);
	fake_run(f, REST_US);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	wrong = g_strdup(hist_check(f));
	if (!*wrong && hist_acknowledged(f) < acked + 50) {
		g_free(wrong);
		wrong = g_strdup("nothing is stored any more");
	}
	fake_destroy(f);
	return wrong;
}

static const struct rservice *service_at(const struct fake *f, unsigned relay)
{
	return g_hash_table_lookup(f->relays[relay].relay->services, "group0");
}

/* The relay that replaces the primary and has come that far, or -1. */
static int changer_in(const struct fake *f, enum rphase phase)
{
	unsigned i;

	for (i = 0; i < f->n_relays; i++)
		if (service_at(f, i)->phase == phase)
			return (int)i;
	return -1;
}

static int run_until(struct fake *f, enum rphase phase)
{
	uint64_t limit_us = f->now_us + CHANGE_LIMIT_US;

	while (changer_in(f, phase) < 0 && f->now_us < limit_us)
		fake_run(f, MS);
	return changer_in(f, phase);
}

static const enum rphase phases[] = { PHASE_FENCE, PHASE_HOLD, PHASE_PROMOTE,
				      PHASE_SETTLE };

static int run_into_a_phase(struct fake *f, uint32_t seed)
{
	int changer = run_until(f, phases[seed % G_N_ELEMENTS(phases)]);

	fake_run(f, fake_random(f, 0, 200) * MS);
	return changer;
}

static char *new_server_in_a_change(uint32_t seed)
{
	struct fake *f = start(seed);

	fake_crash(f, 0);
	run_into_a_phase(f, seed);
	fake_join(f, 0);
	fake_run(f, fake_random(f, 20, 400) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

static char *new_server_that_the_changer_sees_late(uint32_t seed)
{
	struct fake *f = start(seed);
	int changer;

	fake_crash(f, 0);
	changer = run_until(f, PHASE_FENCE);
	if (changer >= 0)
		f->relays[changer].list_lag_us = 2 * USEC_PER_SEC;
	if (seed % 2)
		run_until(f, PHASE_HOLD);
	fake_run(f, fake_random(f, 0, 10) * MS);
	fake_join(f, 0);
	fake_run(f, fake_random(f, 20, 400) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

static char *new_server_after_the_platform_was_told(uint32_t seed)
{
	struct fake *f = start(seed);
	int changer;

	fake_crash(f, 0);
	changer = run_until(f, PHASE_PROMOTE);
	if (changer >= 0)
		f->relays[changer].list_lag_us = 2 * USEC_PER_SEC;
	fake_join(f, 0);
	fake_run(f, fake_random(f, 20, 200) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

static char *new_server_just_before_the_pauses(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i, late = seed % N_RELAYS;

	f->relays[late].list_lag_us = 3 * USEC_PER_SEC;
	for (i = 0; i < N_RELAYS; i++)
		f->relays[i].deaf = i != late;
	fake_join(f, 0);
	fake_run(f, fake_random(f, 0, 700) * MS);
	fake_crash(f, 0);
	run_until(f, PHASE_HOLD);
	fake_run(f, fake_random(f, 0, 400) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

static char *paused_replica_comes_back_as_another(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned replica = 1 + seed / 4 % 2;

	fake_crash(f, 0);
	run_into_a_phase(f, seed);
	fake_crash(f, replica);
	fake_run(f, fake_random(f, 20, 300) * MS);
	fake_return(f, replica);
	fake_run(f, fake_random(f, 0, 200) * MS);
	fake_return(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

static char *planned_change_of_all_servers(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i;

	for (i = 0; i < GROUP_SIZE; i++) {
		fake_join(f, 0);
		fake_run(f, fake_random(f, 0, 300) * MS);
		fake_leave(f, i, 7 * USEC_PER_SEC);
		fake_run(f, fake_random(f, 0, 500) * MS);
	}
	run_into_a_phase(f, seed);
	fake_crash(f, fake_random(f, 0, GROUP_SIZE));
	fake_run(f, 9 * USEC_PER_SEC);
	return end(f);
}

static char *promotion_that_takes_effect_late(uint32_t seed)
{
	struct fake *f = start(seed);

	f->promote_late_us = fake_random(f, 300, 1200) * MS;
	f->promote_us = 1000 * MS;
	fake_crash(f, 0);
	run_until(f, PHASE_PROMOTE);
	f->lose_claims = 1;
	fake_run(f, fake_random(f, 0, 1500) * MS);
	if (seed % 2)
		fake_join(f, 0);
	fake_return(f, 0);
	fake_run(f, 6 * USEC_PER_SEC);
	return end(f);
}

static char *promotions_that_are_given_up(uint32_t seed)
{
	struct fake *f = start(seed);

	f->promote_late_us = fake_random(f, 2000, 3000) * MS;
	f->promote_us = 1000 * MS;
	f->lose_words = true;
	f->void_promotions = seed / 2 % 4;
	fake_crash(f, 0);
	run_until(f, PHASE_PROMOTE);
	fake_run(f, fake_random(f, 0, 3000) * MS);
	if (seed % 2)
		fake_restart(f, 0);
	else
		fake_return(f, 0);
	fake_run(f, 14 * USEC_PER_SEC);
	return end(f);
}

/* The store's side has one replica, the other side all else. */
static void part(struct fake *f, unsigned lonely, unsigned replica)
{
	unsigned i, server;

	f->relays[lonely].deaf = true;
	f->relays[lonely].list_held = true;
	for (i = 0; i < N_RELAYS; i++)
		for (server = 0; server < GROUP_SIZE; server++)
			fake_cut(f, i, server,
				 (i == lonely) == (server == replica));
	for (server = 0; server < GROUP_SIZE; server++)
		f->servers[server].listed = server == replica;
	fake_list(f);
}

static char *servers_that_are_gone_elsewhere(uint32_t seed)
{
	struct fake *f = start(seed);

	part(f, seed % N_RELAYS, 1 + seed / N_RELAYS % 2);
	fake_run(f, 14 * USEC_PER_SEC);
	return end(f);
}

static void list_alone(struct fake *f, unsigned relay, unsigned server)
{
	struct fake_server *s = &f->servers[server];
	struct relay_server_info info = { .id = s->id,
					  .service = s->service,
					  .host = "10.0.0.1",
					  .port = 1,
					  .zone = "a",
					  .role = s->role,
					  .slots = FAKE_SLOTS,
					  .born_ms = s->born_ms };

	relay_on_servers(f->relays[relay].relay, &info, 1, f->now_us);
}

static char *list_with_the_old_primary_alone(uint32_t seed)
{
	struct fake *f = fake_create(seed, N_RELAYS, 1);
	unsigned i, last = N_RELAYS - 1;

	f->promote_us = 300 * MS + seed % 8 * 100 * MS;
	f->relays[last].list_held = true;
	fake_run(f, 6 * USEC_PER_SEC);
	for (i = 0; i < N_RELAYS; i++) {
		callers[i] = hist_open(f, i, 0, RELAY_KIND_PRIMARY);
		callers[i]->next = next_event;
		next_event(f, callers[i]);
	}
	fake_crash(f, 0);
	run_until(f, PHASE_PROMOTE);
	for (i = 0; i < last; i++)
		f->relays[i].list_held = true;
	list_alone(f, last, fake_return(f, 0));
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

static char *planned_change_with_an_unreached_replica(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned acked;
	char *wrong;

	fake_cut(f, seed % N_RELAYS, 2, true);
	f->servers[0].leaving = true;
	fake_list(f);
	fake_run(f, 10 * USEC_PER_SEC);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	if (hist_acknowledged(f) > acked)
		return end(f);
	wrong = end(f);
	g_free(wrong);
	return g_strdup("nothing is stored for 10 s");
}

static char *step_down_that_is_forgotten_late(uint32_t seed)
{
	struct fake *f = start(seed);
	unsigned i;

	for (i = 0; i < N_RELAYS; i++)
		fake_cut(f, i, 2, i == seed % N_RELAYS);
	f->servers[0].leaving = true;
	fake_list(f);
	run_until(f, PHASE_PROMOTE);
	fake_run(f, fake_random(f, 0, 300) * MS);
	fake_reborn(f, 0, true);
	fake_run(f, 4 * USEC_PER_SEC);
	return end(f);
}

typedef char *(*story_fn)(uint32_t seed);

static void check_promises(story_fn story)
{
	uint32_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		char *wrong = story(seed);

		ck_assert_msg(!*wrong, "seed %u: %s", seed, wrong);
		g_free(wrong);
	}
}

static void check_is_noticed(story_fn story, size_t guard)
{
	unsigned n = 0;
	uint32_t seed;

	guard_off = &guard;
	for (seed = 0; seed < SEEDS; seed++) {
		char *wrong = story(seed);

		n += *wrong != 0;
		g_free(wrong);
	}
	guard_off = NULL;
	ck_assert_uint_gt(n, 0);
}

/*
 * A primary dies and its replicas are paused. A new server of the service is
 * listed, which nobody pauses; the old primary comes back under another id,
 * the new server confirms it, and a code that an installer was told is stored
 * there is gone with the promotion.
 * The cause: one replica's word was enough, also that of a server which no
 * pause could have reached. The evidence: each log had primary-confirmed by
 * the new server, 50 ms after it was listed, in all plays with the fault and
 * in none without.
 */
START_TEST(test_a_server_that_is_listed_in_a_change)
{
	check_promises(new_server_in_a_change);
}
END_TEST

/* The same in the last moments, when the change can't be called off. */
START_TEST(test_a_server_that_is_listed_at_last)
{
	check_promises(new_server_after_the_platform_was_told);
}
END_TEST

START_TEST(test_what_new_servers_say_is_noticed)
{
	check_is_noticed(new_server_after_the_platform_was_told,
			 offsetof(struct relay_guards, doubt_newcomers));
}
END_TEST

/*
 * The same, while the proxy that replaces the primary is the last to hear of
 * the new server: it has told the platform by then.
 */
START_TEST(test_a_server_that_the_changer_sees_late)
{
	check_promises(new_server_that_the_changer_sees_late);
}
END_TEST

/*
 * A new server confirms the primary at two proxies, rightly, just before it
 * dies. The third proxy has not heard of the new server when it pauses the
 * others and has one promoted.
 */
START_TEST(test_a_server_that_the_changer_never_paused)
{
	check_promises(new_server_just_before_the_pauses);
}
END_TEST

START_TEST(test_a_server_that_was_not_paused_is_noticed)
{
	check_is_noticed(new_server_just_before_the_pauses,
			 offsetof(struct relay_guards, claim_after_fence));
}
END_TEST

/*
 * A paused replica crashes and comes back with its log under another id,
 * without its pause; then the old primary does, and the two confirm each other.
 */
START_TEST(test_a_pause_that_is_gone_with_its_id)
{
	check_promises(paused_replica_comes_back_as_another);
}
END_TEST

/* All servers are replaced at once, as planned, and one more crashes. */
START_TEST(test_a_release_in_a_change)
{
	check_promises(planned_change_of_all_servers);
}
END_TEST

/*
 * The platform is told of a promotion and its answer is lost; it takes effect
 * when the change was given up, and an old primary serves again by then.
 */
START_TEST(test_a_promotion_that_takes_effect_late)
{
	check_promises(promotion_that_takes_effect_late);
}
END_TEST

/*
 * Each try of a promotion goes unanswered, and the first ones come to nothing.
 * The proxy gives up and lets replicas receive again; the old primary is back,
 * they confirm it, and then the last try takes effect.
 */
START_TEST(test_promotions_that_are_given_up)
{
	check_promises(promotions_that_are_given_up);
}
END_TEST

/*
 * A partition leaves a proxy with the primary and one replica, without the
 * store. For all others both are gone after some seconds, and the last replica
 * is promoted; what the old primary goes on to store is thrown away when the
 * partition ends.
 */
START_TEST(test_servers_that_are_gone_elsewhere)
{
	check_promises(servers_that_are_gone_elsewhere);
}
END_TEST

START_TEST(test_servers_that_are_gone_are_noticed)
{
	check_is_noticed(servers_that_are_gone_elsewhere,
			 offsetof(struct relay_guards, check_list_age));
}
END_TEST

/*
 * A proxy has just started, and of a service's servers the list has one alone:
 * the old primary, which came back while another is promoted. The entries of
 * the others lapsed in an outage of the store.
 */
START_TEST(test_a_list_with_the_old_primary_alone)
{
	check_promises(list_with_the_old_primary_alone);
}
END_TEST

/*
 * A primary steps down as planned, and the proxy that replaces it can't reach
 * one replica. It made the fence anew each time, and nobody led for as long.
 */
START_TEST(test_a_replica_that_is_not_reached)
{
	check_promises(planned_change_with_an_unreached_replica);
}
END_TEST

/*
 * In the same change the old primary starts again just before the promotion,
 * has forgotten that it stepped down, and the replica that was not paused
 * confirms it to others.
 */
START_TEST(test_a_step_down_that_is_forgotten_late)
{
	check_promises(step_down_that_is_forgotten_late);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("newcomers");

	tcase_add_test(tc, test_a_server_that_is_listed_in_a_change);
	tcase_add_test(tc, test_a_server_that_is_listed_at_last);
	tcase_add_test(tc, test_what_new_servers_say_is_noticed);
	tcase_add_test(tc, test_a_server_that_the_changer_sees_late);
	tcase_add_test(tc, test_a_server_that_the_changer_never_paused);
	tcase_add_test(tc, test_a_server_that_was_not_paused_is_noticed);
	tcase_add_test(tc, test_a_pause_that_is_gone_with_its_id);
	tcase_add_test(tc, test_a_release_in_a_change);
	tcase_add_test(tc, test_a_promotion_that_takes_effect_late);
	tcase_add_test(tc, test_promotions_that_are_given_up);
	tcase_add_test(tc, test_servers_that_are_gone_elsewhere);
	tcase_add_test(tc, test_servers_that_are_gone_are_noticed);
	tcase_add_test(tc, test_a_list_with_the_old_primary_alone);
	tcase_add_test(tc, test_a_replica_that_is_not_reached);
	tcase_add_test(tc, test_a_step_down_that_is_forgotten_late);
	return suite_main("newcomers", tc);
}
