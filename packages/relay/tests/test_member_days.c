#include "support_history.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

/*
 * Random histories in which servers of a service join, leave and return, and
 * proxies restart, at the time when a primary is replaced.
 */

#define SEEDS 60
#define RELAYS 3
#define GROUPS 2
#define SESSIONS 6
#define EPISODES 5
/* Members change within this time before and after the primary's fault. */
#define MEMBER_CHANGE_SPAN_MS 1500
#define MAX_MEMBERS 5 /* running servers of a group */
#define RECOVERY_US (10 * USEC_PER_SEC) /* after the last episode */
/* How long until writes succeed again, at most. */
#define WRITES_TIMEOUT_US (15 * USEC_PER_SEC)

static void next_event(struct fake *f, void *data);

static struct hist_session *callers[SESSIONS];

/* Opens a session for each caller that has none. */
static void open_sessions(struct fake *f)
{
	unsigned i;

	for (i = 0; i < SESSIONS; i++) {
		if (callers[i] && callers[i]->open)
			continue;
		callers[i] = hist_open(f, i % RELAYS,
				       (unsigned)fake_random(f, 0, GROUPS),
				       (enum relay_kind)fake_random(f, 0, 3));
		callers[i]->next = next_event;
		fake_at(f, -1, MS, next_event, callers[i], NULL);
	}
}

/* Starts a caller's next statement, alone or in a transaction. */
static void next_event(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (!s->open || s->now)
		return;
	if (fake_chance(f, 0.01)) {
		hist_close(f, s);
		open_sessions(f);
	} else if (s->state == 'E') {
		hist_start(f, s, RELAY_ROLLBACK, "", "");
	} else if (s->state != 'I' && !s->left) {
		hist_start(f, s, RELAY_COMMIT, "", "");
	} else if (s->state == 'I' && fake_chance(f, 0.2)) {
		s->left = (unsigned)fake_random(f, 0, 4);
		hist_start(f, s, RELAY_BEGIN, "", "");
	} else {
		s->left -= s->state != 'I';
		hist_start(f, s, fake_chance(f, 0.5) ? RELAY_WRITE : RELAY_READ,
			   "", "1");
	}
}

static bool may_restart(const struct fake *f, unsigned server)
{
	return f->servers[server].down && !f->servers[server].replaced;
}

static void return_event(struct fake *f, void *data)
{
	if (may_restart(f, GPOINTER_TO_UINT(data)) &&
	    f->n_servers < MAX_SERVERS)
		fake_rejoin_with_new_id(f, GPOINTER_TO_UINT(data));
}

static void restart_event(struct fake *f, void *data)
{
	if (may_restart(f, GPOINTER_TO_UINT(data)))
		fake_restart_at_once(f, GPOINTER_TO_UINT(data), true);
}

/* The server returns soon, with a new id or its own, or when faults end. */
static void crash(struct fake *f, unsigned server)
{
	fake_fn back = fake_chance(f, 0.6) ? return_event : restart_event;

	fake_crash(f, server);
	if (fake_chance(f, 0.8))
		fake_at(f, -1, fake_random(f, 20, 2500) * MS, back,
			GUINT_TO_POINTER(server), NULL);
}

static void reconnect_event(struct fake *f, void *data)
{
	f->relays[GPOINTER_TO_UINT(data)].drop_lists = false;
	fake_set_store_reachable(f, GPOINTER_TO_UINT(data), true);
}

static void cut_off_from_store(struct fake *f, unsigned relay)
{
	fake_set_store_reachable(f, relay, false);
	f->relays[relay].drop_lists = true;
	if (fake_chance(f, 0.5))
		fake_at(f, -1, fake_random(f, 200, 3000) * MS, reconnect_event,
			GUINT_TO_POINTER(relay), NULL);
}

/* Injects a random fault of the platform or of a relay. */
static void inject_fault(struct fake *f, unsigned relay)
{
	switch (fake_random(f, 0, 8)) {
	case 0:
		f->lose_claims = 0.5;
		break;
	case 1:
		f->promote_call_delay_us = fake_random(f, 200, 2500) * MS;
		break;
	case 2:
		f->lose_promote_replies = true;
		f->n_promotions_to_drop = (unsigned)fake_random(f, 0, 3);
		break;
	case 3:
		cut_off_from_store(f, relay);
		break;
	case 4:
		f->relays[relay].drop_lists = true;
		break;
	case 5:
		fake_suspend_relay(f, relay, fake_random(f, 200, 2500) * MS);
		break;
	default:
		f->relays[relay].list_delay_us = fake_random(f, 50, 2500) * MS;
		break;
	}
}

static void member_event(struct fake *f, void *data)
{
	unsigned group = GPOINTER_TO_UINT(data), all[MAX_SERVERS];
	unsigned n = fake_running_servers(f, group, all);
	unsigned server = n ? all[fake_random(f, 0, n)] : 0;
	unsigned relay = (unsigned)fake_random(f, 0, RELAYS);

	switch (n ? fake_random(f, 0, 10) : 9) {
	case 0:
	case 1:
		if (n < MAX_MEMBERS && f->n_servers < MAX_SERVERS &&
		    fake_primary(f, group))
			fake_add_replica(f, group);
		break;
	case 2:
		if (fake_may_stop(f, server))
			fake_leave(f, server, fake_random(f, 1000, 7000) * MS);
		break;
	case 3:
	case 4:
		if (fake_may_stop(f, server))
			crash(f, server);
		break;
	case 5:
		fake_restart_at_once(f, server, true);
		break;
	case 6:
	case 7:
		fake_restart_relay(f, relay);
		break;
	case 8:
		fake_cut(f, relay, server, true);
		break;
	default:
		inject_fault(f, relay);
		break;
	}
}

/* Ends the primary, or makes it unreachable for some proxies or all. */
static void end_primary_event(struct fake *f, void *data)
{
	struct fake_server *p = fake_primary(f, GPOINTER_TO_UINT(data));
	unsigned n_cut = (unsigned)fake_random(f, 0, 2 * RELAYS);

	if (!p || !fake_may_stop(f, p->index))
		return;
	if (n_cut > RELAYS)
		crash(f, p->index);
	else if (!n_cut)
		fake_leave(f, p->index, fake_random(f, 1500, 7000) * MS);
	else if (fake_chance(f, 0.3))
		p->dark = true;
	else
		while (n_cut)
			fake_cut(f, --n_cut, p->index, true);
}

/* A fault of the primary among 2 to 6 random changes of members and faults. */
static void episode(struct fake *f)
{
	unsigned group = (unsigned)fake_random(f, 0, GROUPS);
	unsigned i, n = (unsigned)fake_random(f, 2, 7);

	fake_at(f, -1, MEMBER_CHANGE_SPAN_MS * MS, end_primary_event,
		GUINT_TO_POINTER(group), NULL);
	for (i = 0; i < n; i++)
		fake_at(f, -1,
			fake_random(f, 0, 2 * MEMBER_CHANGE_SPAN_MS + 1) * MS,
			member_event, GUINT_TO_POINTER(group), NULL);
	fake_run(f, 2 * MEMBER_CHANGE_SPAN_MS * MS +
			    fake_random(f, 500, 4500) * MS);
}

static void heal(struct fake *f)
{
	unsigned i, all[MAX_SERVERS];

	fake_heal(f);
	f->n_promotions_to_drop = 0;
	for (i = 0; i < RELAYS; i++) {
		f->relays[i].list_delay_us = 0;
		f->relays[i].drop_lists = false;
		fake_set_store_reachable(f, i, true);
	}
	for (i = 0; i < GROUPS; i++)
		if (fake_running_servers(f, i, all) < GROUP_SIZE &&
		    fake_primary(f, i) && f->n_servers < MAX_SERVERS)
			fake_add_replica(f, i);
	fake_publish_lists(f);
}

/* Runs one history: episodes with faults, each followed by a recovery. */
static void day(struct fake *f)
{
	unsigned i;

	memset(callers, 0, sizeof(callers));
	f->promote_duration_us = fake_random(f, 400, 1001) * MS;
	for (i = 0; i < EPISODES; i++) {
		open_sessions(f);
		f->busy = 0.01;
		fake_run(f, fake_random(f, 500, 1500) * MS);
		episode(f);
		heal(f);
		/* The next faults may begin before recovery is complete. */
		fake_run(f, fake_random(f, 0, 4000) * MS);
	}
	fake_run(f, RECOVERY_US);
}

static unsigned env_number(const char *name, unsigned none)
{
	const char *value = g_getenv(name);

	return value ? (unsigned)strtoul(value, NULL, 10) : none;
}

/*
 * Servers join, leave and return under a new id or their own while a primary is
 * replaced; lists and the store's replies come late, and proxies restart
 * meanwhile. Whatever the order of events, no guarantee to callers may be
 * broken, and writes succeed again afterwards.
 */
START_TEST(test_member_changes_keep_guarantees)
{
	unsigned first = env_number("CQ_FIRST_SEED", 1);
	unsigned n = env_number("CQ_SEEDS", SEEDS);
	unsigned seed, promotions = 0, acked = 0, bad = 0;

	for (seed = first; seed < first + n; seed++) {
		struct fake *f = fake_create(seed, RELAYS, GROUPS);
		bool is_writable;

		fake_run(f, 6 * USEC_PER_SEC);
		day(f);
		is_writable = hist_accepts_writes(f, WRITES_TIMEOUT_US);
		if (*hist_check(f) || !is_writable) {
			bad++;
			g_printerr("seed %u: %s%s\n", seed, hist_check(f),
				   is_writable ? "" : "not writable again");
		}
		promotions += f->n_promotions;
		acked += hist_acknowledged(f);
		fake_destroy(f);
	}
	ck_assert_msg(!bad, "%u of %u seeds", bad, n);
	ck_assert_uint_gt(promotions, n);
	ck_assert_uint_gt(acked, 100 * n);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("member-days");

	tcase_add_test(tc, test_member_changes_keep_guarantees);
	return suite_main("member-days", tc);
}
