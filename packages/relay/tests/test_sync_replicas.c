/*
 * Changes of primary in a service whose commits must reach a replica before
 * they are acknowledged. Each path is played with orders and times of events
 * that are drawn from seeds; no acknowledged commit may be lost, and writes
 * must succeed again.
 */
#include "support_story.h"

#include <celeryquay/suite.h>
#include <string.h>

#define SEEDS 40
#define RELAYS 3
/* The primary and both replicas at the start. */
enum { PRIMARY, HOLDER, BEHIND };
/* Longest outage of a server. */
#define OUTAGE_MAX_MS 11000
/* Until writes succeed again once the faults have ended. */
#define RECOVERY_US (12 * USEC_PER_SEC)
/* A proxy that starts waits for that long for servers that it can't know. */
#define START_WAIT_US (10 * USEC_PER_SEC)
/* Acknowledged in a second by three callers; about 300 without a fault. */
#define ACKNOWLEDGED_MIN 50

static struct hist_session *writers[RELAYS];

static void write_next(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->open && !s->now)
		hist_start(f, s, s->state == 'I' ? RELAY_WRITE : RELAY_ROLLBACK,
			   "", "1");
}

static void open_writers(struct fake *f)
{
	unsigned i;

	for (i = 0; i < RELAYS; i++) {
		if (writers[i] && writers[i]->open)
			continue;
		writers[i] = hist_open(f, i, 0, RELAY_KIND_PRIMARY);
		writers[i]->next = write_next;
		write_next(f, writers[i]);
	}
}

static struct fake *start_with(uint32_t seed, unsigned sync_replicas)
{
	struct fake_options o = { .n_relays = RELAYS,
				  .n_groups = 1,
				  .sync_replicas = sync_replicas };
	struct fake *f = fake_create_with(seed, &o);

	memset(writers, 0, sizeof(writers));
	f->promote_duration_us = 300 * MS + seed % 8 * 100 * MS;
	fake_run(f, START_WAIT_US + USEC_PER_SEC);
	open_writers(f);
	fake_run(f, fake_random(f, 500, 1500) * MS);
	return f;
}

static struct fake *start(uint32_t seed)
{
	return start_with(seed, 1);
}

static char *finish(struct fake *f)
{
	unsigned acked;
	char *wrong;

	fake_heal(f);
	fake_publish_lists(f);
	fake_run(f, RECOVERY_US);
	open_writers(f);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	wrong = g_strdup(hist_check(f));
	if (!*wrong && hist_acknowledged(f) < acked + ACKNOWLEDGED_MIN) {
		g_free(wrong);
		wrong = g_strdup("hardly any more is stored");
	}
	fake_destroy(f);
	return wrong;
}

static void run_for(struct fake *f, unsigned from_ms, unsigned to_ms)
{
	fake_run(f, fake_random(f, from_ms, to_ms) * MS);
}

static void restart_event(struct fake *f, void *data)
{
	fake_restart(f, GPOINTER_TO_UINT(data));
}

/* The server crashes and is back, with its log, within OUTAGE_MAX_MS. */
static void crash_for_a_while(struct fake *f, unsigned server)
{
	fake_crash(f, server);
	fake_at(f, -1, fake_random(f, 2000, OUTAGE_MAX_MS) * MS, restart_event,
		GUINT_TO_POINTER(server), NULL);
}

static void successor_event(struct fake *f, void *data)
{
	unsigned server = GPOINTER_TO_UINT(data);

	if (f->servers[server].replaced)
		fake_rejoin_with_new_id(f, server);
}

/* Leaves; a new server has its log within a second of its end. */
static void leave(struct fake *f, unsigned server, uint64_t drain_us)
{
	fake_leave(f, server, drain_us);
	fake_at(f, -1, drain_us + fake_random(f, 20, 1000) * MS,
		successor_event, GUINT_TO_POINTER(server), NULL);
}

static void stop_receiving(struct fake *f, unsigned server)
{
	f->servers[server].receives_nothing = true;
}

static void receive_event(struct fake *f, void *data)
{
	f->servers[GPOINTER_TO_UINT(data)].receives_nothing = false;
}

static void receive_again(struct fake *f, unsigned server, unsigned ms)
{
	fake_at(f, -1, ms * MS, receive_event, GUINT_TO_POINTER(server), NULL);
}

/* The replica with the newest log is leaving when the primary crashes. */
static void leaving_holder(struct fake *f)
{
	leave(f, HOLDER, 8 * USEC_PER_SEC);
	run_for(f, 0, 1500);
	stop_receiving(f, BEHIND);
	run_for(f, 300, 2500);
	fake_crash(f, PRIMARY);
	receive_again(f, BEHIND, (unsigned)fake_random(f, 500, 5000));
	fake_run(f, 10 * USEC_PER_SEC);
}

/* It ends before another server has received its log. */
static void holder_ends_early(struct fake *f)
{
	leave(f, HOLDER, fake_random(f, 1200, 3500) * MS);
	stop_receiving(f, BEHIND);
	run_for(f, 300, 1100);
	fake_crash(f, PRIMARY);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* It goes on receiving while its entry has left the list. */
static void unlisted_holder(struct fake *f)
{
	f->servers[HOLDER].without_store = true;
	f->servers[HOLDER].listed = false;
	fake_publish_lists(f);
	stop_receiving(f, BEHIND);
	run_for(f, 200, 2500);
	fake_crash(f, PRIMARY);
	fake_run(f, 4 * USEC_PER_SEC);
	f->servers[HOLDER].without_store = false;
	f->servers[HOLDER].listed = true;
	fake_publish_lists(f);
	fake_run(f, 4 * USEC_PER_SEC);
}

/* The primary is replaced as planned, and nobody stays that has its log. */
static void leaving_primary(struct fake *f)
{
	leave(f, HOLDER, fake_random(f, 6000, 9000) * MS);
	run_for(f, 0, 1500);
	stop_receiving(f, BEHIND);
	run_for(f, 300, 2000);
	leave(f, PRIMARY, 7 * USEC_PER_SEC);
	receive_again(f, BEHIND, (unsigned)fake_random(f, 2000, 9000));
	fake_run(f, 12 * USEC_PER_SEC);
}

/* The primary and the only replica that has its log crash at once. */
static void crashed_holder(struct fake *f)
{
	stop_receiving(f, BEHIND);
	run_for(f, 300, 2000);
	crash_for_a_while(f, HOLDER);
	run_for(f, 0, 50);
	crash_for_a_while(f, PRIMARY);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* The same, and proxies start that have never known the replica. */
static void crashed_holder_and_new_relays(struct fake *f)
{
	unsigned i;

	stop_receiving(f, BEHIND);
	run_for(f, 300, 2000);
	crash_for_a_while(f, HOLDER);
	fake_crash(f, PRIMARY);
	run_for(f, 3000, 4500);
	for (i = 0; i < RELAYS; i++)
		if (fake_chance(f, 0.7))
			fake_restart_relay(f, i);
	open_writers(f);
	fake_run(f, 10 * USEC_PER_SEC);
}

/* The replica starts again under its id and has lost its log. */
static void holder_without_its_log(struct fake *f)
{
	stop_receiving(f, BEHIND);
	run_for(f, 300, 2000);
	crash_for_a_while(f, PRIMARY);
	run_for(f, 0, 300);
	fake_restart_at_once(f, HOLDER, false);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* Some proxies can't reach the replica that has the newest log. */
static void unreachable_holder(struct fake *f)
{
	unsigned i;

	stop_receiving(f, BEHIND);
	run_for(f, 300, 2000);
	for (i = 0; i < RELAYS; i++)
		if (fake_chance(f, 0.5))
			fake_cut(f, i, HOLDER, true);
	fake_crash(f, PRIMARY);
	fake_run(f, 8 * USEC_PER_SEC);
}

/* A proxy is suspended in the change, calls and their answers are lost. */
static void duty_moves(struct fake *f)
{
	unsigned i;

	leave(f, HOLDER, 12 * USEC_PER_SEC);
	stop_receiving(f, BEHIND);
	run_for(f, 300, 1500);
	f->lose_claims = fake_chance(f, 0.5) ? 0.5 : 0;
	f->n_promotions_to_drop = (unsigned)fake_random(f, 0, 3);
	fake_crash(f, PRIMARY);
	run_for(f, 200, 1500);
	for (i = 0; i < RELAYS; i++)
		if (!g_strcmp0(f->relays[i].name, f->duty_holder))
			fake_suspend_relay(f, i,
					   fake_random(f, 500, 4000) * MS);
	fake_run(f, 10 * USEC_PER_SEC);
}

/* The server that is being promoted dies before it leads. */
static void target_dies(struct fake *f)
{
	stop_receiving(f, BEHIND);
	run_for(f, 300, 1500);
	fake_crash(f, PRIMARY);
	while (!f->last_token)
		fake_run(f, MS);
	run_for(f, 0, 1200);
	crash_for_a_while(f, HOLDER);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* A primary that was just promoted crashes before the other has followed. */
static void new_primary_dies(struct fake *f)
{
	unsigned n = f->n_promotions;

	f->servers[BEHIND].receives_at_once = (unsigned)fake_random(f, 0, 4);
	stop_receiving(f, BEHIND);
	run_for(f, 300, 1500);
	fake_crash(f, PRIMARY);
	while (f->n_promotions == n)
		fake_run(f, MS);
	receive_again(f, BEHIND, (unsigned)fake_random(f, 0, 500));
	run_for(f, 0, 600);
	crash_for_a_while(f, HOLDER);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* Both replicas that a server needs to be known for are away for long. */
static void long_outage(struct fake *f)
{
	stop_receiving(f, BEHIND);
	run_for(f, 300, 2000);
	fake_crash(f, HOLDER);
	fake_at(f, -1, fake_random(f, 9500, OUTAGE_MAX_MS) * MS, restart_event,
		GUINT_TO_POINTER(HOLDER), NULL);
	run_for(f, 0, 100);
	fake_crash(f, PRIMARY);
	fake_run(f, 14 * USEC_PER_SEC);
}

/*
 * A server is listed while one that leaves is promoted, and confirms the old
 * primary to a proxy that still reaches it.
 */
static void newcomer_confirms(struct fake *f)
{
	fake_crash(f, BEHIND);
	fake_run(f, 10 * USEC_PER_SEC);
	leave(f, HOLDER, 30 * USEC_PER_SEC);
	fake_cut(f, 1, PRIMARY, true);
	fake_cut(f, 2, PRIMARY, true);
	scenario_run_until(f, PHASE_LEASE_EXPIRY);
	run_for(f, 0, 300);
	fake_add_replica(f, 0);
	fake_run(f, 6 * USEC_PER_SEC);
}

/* The replica goes on receiving, but its entry expires. */
static void lose_the_store(struct fake *f, unsigned server)
{
	f->servers[server].without_store = true;
	f->servers[server].listed = false;
	fake_publish_lists(f);
}

static void reach_the_store(struct fake *f, unsigned server)
{
	f->servers[server].without_store = false;
	f->servers[server].listed = true;
	fake_publish_lists(f);
}

/* The other replica is behind by up to half of that. */
static void fall_behind(struct fake *f, unsigned server)
{
	f->servers[server].lag_us = fake_random(f, 100, 400) * MS;
}

/* The replica whose entry expires is the only one that is up to date. */
static void lose_the_holder(struct fake *f)
{
	fall_behind(f, BEHIND);
	lose_the_store(f, HOLDER);
}

/* The replica is listed again that long after the crash. */
static void crash_primary(struct fake *f, unsigned from_ms, unsigned to_ms)
{
	crash_for_a_while(f, PRIMARY);
	run_for(f, from_ms, to_ms);
	reach_the_store(f, HOLDER);
}

static void restart_relays(struct fake *f, unsigned gap_from_ms,
			   unsigned gap_to_ms)
{
	unsigned i;

	for (i = 0; i < RELAYS; i++) {
		fake_restart_relay(f, i);
		if (gap_to_ms)
			run_for(f, gap_from_ms, gap_to_ms);
		open_writers(f);
	}
}

/* Proxies start one after the other and don't know the replica. */
static void unlisted_holder_and_new_relays(struct fake *f)
{
	lose_the_holder(f);
	restart_relays(f, 300, 1000);
	run_for(f, 0, 1000);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* All proxies start at once. */
static void unlisted_holder_and_killed_relays(struct fake *f)
{
	lose_the_holder(f);
	run_for(f, 0, 1000);
	restart_relays(f, 0, 0);
	run_for(f, 500, 4000);
	crash_primary(f, 300, 1500);
	fake_run(f, 14 * USEC_PER_SEC);
}

/* One proxy is new and may be the first to act; the others know. */
static void unlisted_holder_and_an_added_relay(struct fake *f)
{
	lose_the_holder(f);
	run_for(f, 0, 4000);
	fake_restart_relay(f, (unsigned)fake_random(f, 0, RELAYS));
	open_writers(f);
	run_for(f, 300, 2000);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* It stays without the store for longer than proxies keep what they know. */
static void long_unlisted_holder(struct fake *f)
{
	lose_the_holder(f);
	run_for(f, 4000, 20000);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* The same, and proxies start meanwhile. */
static void long_unlisted_holder_and_new_relays(struct fake *f)
{
	lose_the_holder(f);
	run_for(f, 2000, 15000);
	restart_relays(f, 0, 1000);
	run_for(f, 500, 12000);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* Some proxies can't reach it either. */
static void unlisted_and_unreachable_holder(struct fake *f)
{
	unsigned i;

	fall_behind(f, BEHIND);
	for (i = 0; i < RELAYS; i++)
		if (fake_chance(f, 0.6))
			fake_cut(f, i, HOLDER, true);
	lose_the_store(f, HOLDER);
	run_for(f, 1000, 6000);
	crash_for_a_while(f, PRIMARY);
	run_for(f, 300, 2500);
	memset(f->cut, 0, sizeof(f->cut));
	reach_the_store(f, HOLDER);
	fake_run(f, 12 * USEC_PER_SEC);
}

static void holder_unlisted_twice(struct fake *f)
{
	lose_the_holder(f);
	run_for(f, 500, 7000);
	reach_the_store(f, HOLDER);
	run_for(f, 0, 1500);
	lose_the_store(f, HOLDER);
	run_for(f, 0, 3000);
	if (fake_chance(f, 0.5))
		restart_relays(f, 100, 500);
	crash_primary(f, 300, 3000);
	fake_run(f, 12 * USEC_PER_SEC);
}

/* The store comes back from a copy that lacks the replica's entry. */
static void store_forgets_the_holder(struct fake *f)
{
	fall_behind(f, BEHIND);
	f->servers[HOLDER].listed = false;
	fake_copy_store(f);
	f->servers[HOLDER].listed = true;
	f->servers[HOLDER].without_store = true;
	run_for(f, 100, 1000);
	fake_restore_store(f);
	run_for(f, 0, 4000);
	if (fake_chance(f, 0.5))
		restart_relays(f, 100, 500);
	crash_primary(f, 300, 3000);
	fake_run(f, 14 * USEC_PER_SEC);
}

/* It ends, and a new server has its log at its address. */
static void unlisted_holder_is_succeeded(struct fake *f)
{
	lose_the_holder(f);
	run_for(f, 500, 3000);
	if (fake_chance(f, 0.5))
		restart_relays(f, 100, 400);
	fake_crash(f, HOLDER);
	run_for(f, 0, 600);
	fake_rejoin_with_new_id(f, HOLDER);
	run_for(f, 0, 600);
	crash_for_a_while(f, PRIMARY);
	fake_run(f, 14 * USEC_PER_SEC);
}

/* The primary is cut off from the proxies, and does not crash. */
static void primary_is_cut_off(struct fake *f)
{
	unsigned i;

	lose_the_holder(f);
	restart_relays(f, 100, 600);
	for (i = 0; i < RELAYS; i++)
		fake_cut(f, i, PRIMARY, true);
	run_for(f, 1000, 4000);
	memset(f->cut, 0, sizeof(f->cut));
	reach_the_store(f, HOLDER);
	fake_run(f, 14 * USEC_PER_SEC);
}

static void connections_event(struct fake *f, void *data)
{
	f->max_connections = GPOINTER_TO_UINT(data);
}

/* The servers take no more connections, so they can't be asked. */
static void full_servers(struct fake *f)
{
	unsigned limit = f->max_connections;

	stop_receiving(f, BEHIND);
	run_for(f, 300, 1500);
	f->max_connections = 1;
	crash_for_a_while(f, PRIMARY);
	fake_restart_at_once(f, fake_chance(f, 0.5) ? HOLDER : BEHIND, true);
	fake_at(f, -1, fake_random(f, 500, 6000) * MS, connections_event,
		GUINT_TO_POINTER(limit), NULL);
	fake_run(f, 10 * USEC_PER_SEC);
}

static unsigned any_server(struct fake *f)
{
	return (unsigned)fake_random(f, 0, f->n_servers);
}

/* One of the faults above, at any server and at any time. */
static void inject_fault(struct fake *f)
{
	unsigned server = any_server(f);
	unsigned relay = (unsigned)fake_random(f, 0, RELAYS);

	switch (fake_random(f, 0, 8)) {
	case 0:
	case 1:
		if (!f->servers[server].down)
			crash_for_a_while(f, server);
		break;
	case 2:
		if (fake_may_stop(f, server))
			leave(f, server, fake_random(f, 3000, 9000) * MS);
		break;
	case 3:
	case 4:
		stop_receiving(f, server);
		receive_again(f, server, (unsigned)fake_random(f, 500, 7000));
		break;
	case 5:
		fake_cut(f, relay, server, true);
		break;
	case 6:
		fake_suspend_relay(f, relay, fake_random(f, 200, 3000) * MS);
		break;
	default:
		f->relays[relay].list_delay_us = fake_random(f, 0, 2000) * MS;
		break;
	}
}

static void drawn_faults(struct fake *f)
{
	unsigned i;

	for (i = 0; i < 8; i++) {
		inject_fault(f);
		run_for(f, 0, 2500);
		open_writers(f);
	}
	for (i = 0; i < RELAYS; i++)
		f->relays[i].list_delay_us = 0;
	fake_run(f, 10 * USEC_PER_SEC);
}

struct path {
	const char *name;
	void (*play)(struct fake *f);
};

static const struct path paths[] = {
	{ "leaving holder", leaving_holder },
	{ "holder ends early", holder_ends_early },
	{ "unlisted holder", unlisted_holder },
	{ "leaving primary", leaving_primary },
	{ "crashed holder", crashed_holder },
	{ "crashed holder, new relays", crashed_holder_and_new_relays },
	{ "holder without its log", holder_without_its_log },
	{ "unreachable holder", unreachable_holder },
	{ "duty moves", duty_moves },
	{ "target dies", target_dies },
	{ "new primary dies", new_primary_dies },
	{ "long outage", long_outage },
	{ "newcomer confirms", newcomer_confirms },
	{ "full servers", full_servers },
	{ "unlisted holder, new relays", unlisted_holder_and_new_relays },
	{ "unlisted holder, killed relays", unlisted_holder_and_killed_relays },
	{ "unlisted holder, added relay", unlisted_holder_and_an_added_relay },
	{ "long unlisted holder", long_unlisted_holder },
	{ "long unlisted holder, new relays",
	  long_unlisted_holder_and_new_relays },
	{ "unreachable unlisted holder", unlisted_and_unreachable_holder },
	{ "holder unlisted twice", holder_unlisted_twice },
	{ "store forgets the holder", store_forgets_the_holder },
	{ "unlisted holder is succeeded", unlisted_holder_is_succeeded },
	{ "primary is cut off", primary_is_cut_off },
	{ "drawn faults", drawn_faults },
};

/* Guards against a promotion that loses what was acknowledged. */
START_TEST(test_promotion_keeps_acknowledged_commits)
{
	const struct path *path = &paths[_i];
	GString *wrong = g_string_new(NULL);
	unsigned n_wrong = 0;
	uint32_t seed;

	for (seed = 0; seed < SEEDS; seed++) {
		struct fake *f = start(seed);
		char *text;

		path->play(f);
		text = finish(f);
		if (*text && !n_wrong++)
			g_string_printf(wrong, "seed %u: %.200s", seed, text);
		g_free(text);
	}
	ck_assert_msg(!n_wrong, "%s: %u of %u seeds, %s", path->name, n_wrong,
		      SEEDS, wrong->str);
	g_string_free(wrong, TRUE);
}
END_TEST

/* From a crash until writes succeed at a server that has all commits. */
#define FAILOVER_MAX_US (4 * USEC_PER_SEC)

/* Guards against a wait for servers that stay while one that leaves has all. */
START_TEST(test_leaving_holder_takes_over)
{
	struct fake *f = start((uint32_t)_i);
	unsigned acked;

	leave(f, HOLDER, 9 * USEC_PER_SEC);
	stop_receiving(f, BEHIND);
	run_for(f, 300, 500);
	fake_crash(f, PRIMARY);
	receive_again(f, BEHIND, 1000);
	acked = hist_acknowledged(f);
	fake_run(f, FAILOVER_MAX_US);
	ck_assert_uint_gt(hist_acknowledged(f), acked + ACKNOWLEDGED_MIN);
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}
END_TEST

/* Guards against a step-down that nobody can follow for seconds. */
START_TEST(test_leaving_primary_serves_until_one_is_near)
{
	struct fake *f = start((uint32_t)_i);
	unsigned acked;

	leave(f, HOLDER, 12 * USEC_PER_SEC);
	stop_receiving(f, BEHIND);
	run_for(f, 700, 900);
	leave(f, PRIMARY, 9 * USEC_PER_SEC);
	fake_run(f, USEC_PER_SEC);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	ck_assert_uint_gt(hist_acknowledged(f), acked + ACKNOWLEDGED_MIN);
	fake_destroy(f);
}
END_TEST

/* Guards against a planned change that loses what a replica had not received.
 */
START_TEST(test_planned_change_waits_for_a_successor)
{
	struct fake *f = start_with((uint32_t)_i, 0);
	unsigned i, lost = 0;

	stop_receiving(f, HOLDER);
	stop_receiving(f, BEHIND);
	run_for(f, 700, 900);
	leave(f, PRIMARY, 9 * USEC_PER_SEC);
	receive_again(f, HOLDER, 3000);
	receive_again(f, BEHIND, 3000);
	fake_run(f, 8 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 1);
	for (i = 1; i < f->commits->len; i++)
		lost += g_array_index(f->commits, struct fake_commit, i).lost;
	ck_assert_uint_eq(lost, 0);
	fake_destroy(f);
}
END_TEST

/* The primary and the replica that has its log are lost for good. */
static struct fake *start_without_holder(uint32_t seed)
{
	struct fake *f = start(seed);

	stop_receiving(f, BEHIND);
	run_for(f, 300, 1500);
	fake_crash(f, HOLDER);
	fake_crash(f, PRIMARY);
	return f;
}

/* Until a server that left the list is given up, and one is promoted. */
#define GIVEN_UP_US (20 * USEC_PER_SEC)

/* Guards against a service that stays without a primary for ever. */
START_TEST(test_lost_holder_is_given_up)
{
	struct fake *f = start_without_holder((uint32_t)_i);

	fake_run(f, GIVEN_UP_US);
	ck_assert_uint_eq(f->n_promotions, 1);
	fake_destroy(f);
}
END_TEST

/* Guards against operators who can't give up what is lost at once. */
START_TEST(test_operator_gives_up_durability)
{
	struct fake *f = start_without_holder((uint32_t)_i);
	struct relay_catalog *catalog;
	unsigned i;

	fake_run(f, 11 * USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 0);
	ck_assert_uint_eq(f->servers[BEHIND].held, 0);
	f->config_version++;
	f->sync_replicas = 0;
	catalog = fake_catalog(f);
	for (i = 0; i < RELAYS; i++)
		relay_on_catalog(f->relays[i].relay, catalog, f->now_us);
	relay_catalog_unref(catalog);
	fake_run(f, FAILOVER_MAX_US);
	ck_assert_uint_eq(f->n_promotions, 1);
	fake_destroy(f);
}
END_TEST

/* Guards against a wait for replicas where no commit waits for them. */
START_TEST(test_new_relays_without_sync_replicas_do_not_wait)
{
	struct fake *f = start_with((uint32_t)_i, 0);

	restart_relays(f, 0, 0);
	fake_run(f, USEC_PER_SEC);
	fake_crash(f, PRIMARY);
	fake_run(f, FAILOVER_MAX_US);
	ck_assert_uint_eq(f->n_promotions, 1);
	fake_destroy(f);
}
END_TEST

/* Guards against a wait for a replica that left for good long ago. */
START_TEST(test_replica_lost_long_ago_is_not_awaited)
{
	struct fake *f = start((uint32_t)_i);

	fake_crash(f, HOLDER);
	fake_run(f, GIVEN_UP_US);
	fake_crash(f, PRIMARY);
	fake_run(f, FAILOVER_MAX_US);
	ck_assert_uint_eq(f->n_promotions, 1);
	fake_destroy(f);
}
END_TEST

/* Guards against a planned change that waits though the log is at hand. */
START_TEST(test_planned_change_after_a_restart_does_not_wait)
{
	struct fake *f = start((uint32_t)_i);

	restart_relays(f, 0, 0);
	fake_run(f, USEC_PER_SEC);
	leave(f, PRIMARY, 9 * USEC_PER_SEC);
	fake_run(f, FAILOVER_MAX_US);
	ck_assert_uint_eq(f->n_promotions, 1);
	fake_destroy(f);
}
END_TEST

/* Guards against a wait for servers that the roster shows not to exist. */
START_TEST(test_crash_after_a_restart_is_answered)
{
	struct fake *f = start((uint32_t)_i);

	restart_relays(f, 0, 0);
	fake_run(f, USEC_PER_SEC);
	fake_crash(f, PRIMARY);
	fake_run(f, FAILOVER_MAX_US);
	ck_assert_uint_eq(f->n_promotions, 1);
	fake_destroy(f);
}
END_TEST

/* Guards against a wait without a roster that does not end. */
START_TEST(test_wait_without_a_roster_ends)
{
	struct fake *f = start((uint32_t)_i);

	memset(f->rosters, 0, sizeof(f->rosters));
	restart_relays(f, 0, 0);
	fake_crash(f, PRIMARY);
	fake_run(f, START_WAIT_US - USEC_PER_SEC);
	ck_assert_uint_eq(f->n_promotions, 0);
	fake_run(f, GIVEN_UP_US - START_WAIT_US);
	ck_assert_uint_eq(f->n_promotions, 1);
	fake_destroy(f);
}
END_TEST

static bool is_in_roster(const struct fake *f, unsigned server)
{
	const struct fake_roster *roster = &f->rosters[0];
	unsigned i;

	for (i = 0; i < roster->n; i++)
		if (roster->servers[i] == server)
			return true;
	return false;
}

/* Until a server that ended is taken out of the roster. */
#define ROSTER_UPDATE_US (75 * USEC_PER_SEC)

/* Guards against a roster that lacks a server, or keeps those of all time. */
START_TEST(test_roster_follows_the_servers)
{
	struct fake *f = start((uint32_t)_i);
	unsigned added;

	ck_assert(is_in_roster(f, PRIMARY) && is_in_roster(f, HOLDER) &&
		  is_in_roster(f, BEHIND));
	ck_assert_uint_le(f->n_rosters_written, 3);
	added = fake_add_replica(f, 0);
	fake_run(f, USEC_PER_SEC);
	ck_assert(is_in_roster(f, added));
	lose_the_store(f, HOLDER);
	fake_leave(f, BEHIND, 100 * MS);
	fake_run(f, ROSTER_UPDATE_US);
	ck_assert(is_in_roster(f, HOLDER));
	ck_assert(!is_in_roster(f, BEHIND));
	ck_assert_uint_le(f->n_rosters_written, 7);
	fake_destroy(f);
}
END_TEST

/* Guards against trust in a roster from before the store's return. */
START_TEST(test_roster_is_written_again_after_a_return)
{
	struct fake *f = start((uint32_t)_i);

	fake_copy_store(f);
	fake_restore_store(f);
	ck_assert(f->rosters[0].era != f->era);
	fake_run(f, 2 * USEC_PER_SEC);
	ck_assert(f->rosters[0].era == f->era);
	ck_assert_uint_eq(f->rosters[0].n, GROUP_SIZE);
	fake_destroy(f);
}
END_TEST

/* Guards against calls of the store for services that need no roster. */
START_TEST(test_no_roster_without_sync_replicas)
{
	struct fake *f = start_with((uint32_t)_i, 0);

	fake_run(f, USEC_PER_SEC);
	ck_assert_uint_eq(f->n_rosters_written, 0);
	fake_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("sync_replicas");

	tcase_add_loop_test(tc, test_promotion_keeps_acknowledged_commits, 0,
			    G_N_ELEMENTS(paths));
	tcase_add_loop_test(tc, test_leaving_holder_takes_over, 0, 8);
	tcase_add_loop_test(tc, test_leaving_primary_serves_until_one_is_near,
			    0, 4);
	tcase_add_loop_test(tc, test_planned_change_waits_for_a_successor, 0,
			    4);
	tcase_add_loop_test(tc, test_lost_holder_is_given_up, 0, 4);
	tcase_add_loop_test(tc, test_operator_gives_up_durability, 0, 4);
	tcase_add_loop_test(
		tc, test_new_relays_without_sync_replicas_do_not_wait, 0, 4);
	tcase_add_loop_test(tc, test_replica_lost_long_ago_is_not_awaited, 0,
			    4);
	tcase_add_loop_test(
		tc, test_planned_change_after_a_restart_does_not_wait, 0, 4);
	tcase_add_loop_test(tc, test_crash_after_a_restart_is_answered, 0, 4);
	tcase_add_loop_test(tc, test_wait_without_a_roster_ends, 0, 4);
	tcase_add_loop_test(tc, test_roster_follows_the_servers, 0, 4);
	tcase_add_loop_test(tc, test_roster_is_written_again_after_a_return, 0,
			    4);
	tcase_add_loop_test(tc, test_no_roster_without_sync_replicas, 0, 2);
	return suite_main("sync_replicas", tc);
}
