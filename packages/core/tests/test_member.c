#include "support_fleet.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

#define SEC USEC_PER_SEC

/* What the fleet's hooks have counted, and which messages they block. */
struct hook_state {
	struct fleet *fleet;
	unsigned suspects; /* reports of a suspect member, by any node */
	unsigned deaths; /* reports of a dead member, by any node */
	unsigned deaths_of[16]; /* the same by the dead member's index */
	int rx_blocked_node; /* receives no message; -1: none */
	int cut_a, cut_b; /* ends of a broken link; -1: none */
};

static void on_changed(void *ctx, unsigned node, const struct member_info *m)
{
	struct hook_state *hook_state = ctx;
	unsigned index = (unsigned)strtoul(m->name + 1, NULL, 10);

	(void)node;
	hook_state->suspects += m->state == MEMBER_SUSPECT;
	if (m->state != MEMBER_DEAD)
		return;
	hook_state->deaths++;
	if (index < G_N_ELEMENTS(hook_state->deaths_of))
		hook_state->deaths_of[index]++;
}

static bool is_blocked(void *ctx, unsigned from, unsigned to)
{
	struct hook_state *hook_state = ctx;
	int a = (int)from, b = (int)to;

	return b == hook_state->rx_blocked_node ||
	       (a == hook_state->cut_a && b == hook_state->cut_b) ||
	       (a == hook_state->cut_b && b == hook_state->cut_a);
}

static const struct fleet_hooks hooks = { .changed = on_changed,
					  .blocked = is_blocked };

static bool views_agree(struct fleet *f, void *ctx)
{
	(void)ctx;
	return fleet_wrong_views(f) == 0;
}

/* Starts a fleet and runs it until all nodes know each other. */
static struct fleet *start_fleet(struct fleet_settings *s,
				 struct hook_state *hook_state)
{
	struct fleet *f;

	memset(hook_state, 0, sizeof(*hook_state));
	hook_state->rx_blocked_node = hook_state->cut_a = hook_state->cut_b =
		-1;
	f = fleet_create(s, &hooks, hook_state);
	hook_state->fleet = f;
	fleet_start_all(f, 0, s->n);
	ck_assert(fleet_run_until(f, views_agree, NULL, SEC / 10, 60 * SEC));
	fleet_run(f, 5 * SEC);
	return f;
}

static bool all_joined(struct fleet *f, void *ctx)
{
	unsigned i, n = *(unsigned *)ctx;

	for (i = 0; i < n; i++) {
		if (!members_joined(fleet_members(f, i)))
			return false;
	}
	return true;
}

START_TEST(nodes_join_and_stay_alive)
{
	struct fleet_settings s;
	struct fleet_counts counts;
	struct hook_state hook_state;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&s, 60);
	s.data_centres = 4;
	f = start_fleet(&s, &hook_state);
	ck_assert(all_joined(f, &s.n));
	for (i = 1; i < members_count(fleet_members(f, 7)); i++)
		ck_assert_int_lt(
			strcmp(members_at(fleet_members(f, 7), i - 1)->name,
			       members_at(fleet_members(f, 7), i)->name),
			0);
	fleet_reset_counts(f);
	fleet_run(f, 60 * SEC);
	fleet_counts(f, &counts);
	ck_assert_uint_eq(hook_state.suspects, 0);
	ck_assert_uint_eq(counts.malformed, 0);
	ck_assert_uint_le(counts.largest[FLEET_GOSSIP],
			  s.members.max_message_bytes);
	/* At rest two probes and two answers a second: far below 1 KB/s. */
	ck_assert_uint_le(counts.max_node_bytes[FLEET_GOSSIP], 30000);
	fleet_destroy(f);
}
END_TEST

START_TEST(lone_node_has_joined_when_no_seed_answers)
{
	struct fleet_settings s;
	struct fleet *f;

	fleet_settings_default(&s, 3);
	f = fleet_create(&s, NULL, NULL);
	fleet_start(f, 1);
	ck_assert(!members_joined(fleet_members(f, 1)));
	fleet_run(f, 15 * SEC);
	ck_assert(members_joined(fleet_members(f, 1)));
	ck_assert_uint_eq(members_count(fleet_members(f, 1)), 1);
	fleet_destroy(f);
}
END_TEST

/*
 * The VM of a home is lost. Its databases have no home, and their callers wait,
 * until the other nodes have detected that. All must do so within seconds, and
 * none may declare another node dead meanwhile.
 */
START_TEST(crashed_node_is_dead_in_all_views_within_seconds)
{
	unsigned sizes[] = { 3, 8, 60 };
	unsigned k, i;

	for (k = 0; k < G_N_ELEMENTS(sizes); k++) {
		struct fleet_settings s;
		struct hook_state hook_state;
		struct fleet *f;

		fleet_settings_default(&s, sizes[k]);
		f = start_fleet(&s, &hook_state);
		fleet_kill(f, 1);
		ck_assert(fleet_run_until(f, views_agree, NULL, SEC / 10,
					  9 * SEC));
		ck_assert_uint_eq(hook_state.deaths, sizes[k] - 1);
		for (i = 0; i < sizes[k]; i++) {
			if (i != 1)
				ck_assert_int_eq(fleet_view(f, i, 1),
						 MEMBER_DEAD);
		}
		fleet_destroy(f);
	}
}
END_TEST

/*
 * The hypervisor pauses a VM for a minute, and the others declare it dead. When
 * it resumes, its clock has jumped and all its probes are unanswered. It must
 * not declare the others dead, and must be alive in all tables soon.
 */
START_TEST(paused_node_returns_and_declares_none_dead)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	uint64_t before;

	fleet_settings_default(&s, 8);
	f = start_fleet(&s, &hook_state);
	before = members_self(fleet_members(f, 3))->incarnation;
	fleet_set_paused(f, 3, true);
	fleet_run(f, 60 * SEC);
	ck_assert_uint_eq(hook_state.deaths, 7);
	ck_assert_int_eq(fleet_view(f, 0, 3), MEMBER_DEAD);
	fleet_set_paused(f, 3, false);
	ck_assert(fleet_run_until(f, views_agree, NULL, SEC / 10, 10 * SEC));
	fleet_run(f, 30 * SEC);
	ck_assert_uint_eq(fleet_wrong_views(f), 0);
	ck_assert_uint_eq(hook_state.deaths, 7);
	ck_assert_uint_eq(hook_state.deaths_of[3], 7);
	ck_assert_uint_gt(members_self(fleet_members(f, 3))->incarnation,
			  before);
	fleet_destroy(f);
}
END_TEST

/*
 * A process is restarted under its name and address within a second, too soon
 * for the others to detect its absence. Connections to the old process are
 * broken and its homes are empty, so the others must learn at once that this is
 * a new process.
 */
START_TEST(restarted_process_replaces_the_old_one)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	uint64_t old, changes;

	fleet_settings_default(&s, 8);
	f = start_fleet(&s, &hook_state);
	old = members_find(fleet_members(f, 0), "n0005")->incarnation;
	changes = members_change_count(fleet_members(f, 0));
	fleet_kill(f, 5);
	fleet_run(f, SEC / 2);
	fleet_start(f, 5);
	fleet_run(f, 3 * SEC);
	ck_assert_uint_gt(
		members_find(fleet_members(f, 0), "n0005")->incarnation, old);
	ck_assert_uint_gt(members_change_count(fleet_members(f, 0)), changes);
	ck_assert_uint_eq(fleet_wrong_views(f), 0);
	fleet_run(f, 30 * SEC);
	ck_assert_uint_eq(hook_state.deaths, 0);
	fleet_destroy(f);
}
END_TEST

/*
 * A VM is replaced by one whose clock is an hour behind. The new process starts
 * with an incarnation below that of the old one, which the others have declared
 * dead. It must become alive in all tables nevertheless.
 */
START_TEST(restart_with_a_clock_set_back_is_alive)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;

	fleet_settings_default(&s, 8);
	f = start_fleet(&s, &hook_state);
	fleet_kill(f, 2);
	fleet_run(f, 20 * SEC);
	ck_assert_int_eq(fleet_view(f, 0, 2), MEMBER_DEAD);
	fleet_set_clock_offset(f, 2, -3600 * (int64_t)SEC);
	fleet_start(f, 2);
	ck_assert(fleet_run_until(f, views_agree, NULL, SEC / 10, 10 * SEC));
	fleet_run(f, 30 * SEC);
	ck_assert_uint_eq(fleet_wrong_views(f), 0);
	fleet_destroy(f);
}
END_TEST

/*
 * Two regions are partitioned for an hour, and each declares the other's nodes
 * dead. After the partition callers of one region get no service from homes in
 * the other until the nodes have found each other again. While the tables merge
 * no node may declare nodes of its own side dead.
 */
START_TEST(regions_rejoin_after_partition_of_an_hour)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&s, 40);
	s.data_centres = 4;
	s.regions = 2;
	f = start_fleet(&s, &hook_state);
	for (i = 0; i < s.n; i += 2)
		fleet_set_partition(f, i, 1);
	fleet_run(f, 3600 * SEC);
	ck_assert_uint_eq(hook_state.deaths, 800);
	ck_assert_int_eq(fleet_view(f, 0, 1), MEMBER_DEAD);
	for (i = 0; i < s.n; i += 2)
		fleet_set_partition(f, i, 0);
	ck_assert(fleet_run_until(f, views_agree, NULL, SEC, 60 * SEC));
	fleet_run(f, 60 * SEC);
	ck_assert_uint_eq(hook_state.deaths, 800);
	fleet_destroy(f);
}
END_TEST

/*
 * A partition lasts longer than dead members are kept in the tables, so no node
 * knows a member of the other side to probe. Only the seeds in the settings
 * reconnect the two sides.
 */
START_TEST(seeds_reconnect_after_the_dead_are_forgotten)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&s, 12);
	s.members.dead_retention_us = 120 * SEC;
	f = start_fleet(&s, &hook_state);
	for (i = 6; i < s.n; i++)
		fleet_set_partition(f, i, 1);
	fleet_run(f, 600 * SEC);
	ck_assert_uint_eq(members_count(fleet_members(f, 8)), 6);
	for (i = 6; i < s.n; i++)
		fleet_set_partition(f, i, 0);
	ck_assert(fleet_run_until(f, views_agree, NULL, SEC, 120 * SEC));
	fleet_destroy(f);
}
END_TEST

/*
 * One message in a hundred is lost for ten minutes, then one in ten for one
 * minute. No node may be declared dead, or homes would move for no reason all
 * the time.
 */
START_TEST(message_loss_causes_no_death)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;

	fleet_settings_default(&s, 60);
	f = start_fleet(&s, &hook_state);
	fleet_set_loss(f, 0.01);
	fleet_run(f, 600 * SEC);
	ck_assert_uint_eq(hook_state.deaths, 0);
	fleet_set_loss(f, 0.10);
	fleet_run(f, 60 * SEC);
	ck_assert_uint_eq(hook_state.deaths, 0);
	fleet_destroy(f);
}
END_TEST

/*
 * A node's network card sends but receives nothing. The node sees all its
 * probes fail and would tell all others that every node is dead. The others
 * must not declare each other dead; only this node may be declared dead.
 */
START_TEST(node_that_receives_nothing_kills_no_other)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	unsigned i, j;

	fleet_settings_default(&s, 8);
	f = start_fleet(&s, &hook_state);
	hook_state.rx_blocked_node = 4;
	for (j = 0; j < 60; j++) {
		fleet_run(f, SEC);
		for (i = 0; i < 7; i++) {
			if (i == 4 || i == 6)
				continue;
			ck_assert_int_ne(fleet_view(f, i, 6), MEMBER_DEAD);
		}
	}
	hook_state.rx_blocked_node = -1;
	ck_assert(fleet_run_until(f, views_agree, NULL, SEC, 30 * SEC));
	fleet_destroy(f);
}
END_TEST

/*
 * The link between two nodes is broken while both reach all others. Without
 * indirect probes each would declare the other dead and tell all nodes.
 */
START_TEST(broken_link_between_two_causes_no_death)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;

	fleet_settings_default(&s, 8);
	f = start_fleet(&s, &hook_state);
	hook_state.cut_a = 2;
	hook_state.cut_b = 5;
	fleet_run(f, 120 * SEC);
	ck_assert_uint_eq(hook_state.deaths, 0);
	fleet_destroy(f);
}
END_TEST

/* A member that answers no probes but sends other messages is alive. */
START_TEST(other_traffic_keeps_member_alive)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&s, 2);
	f = start_fleet(&s, &hook_state);
	hook_state.rx_blocked_node = 1;
	for (i = 0; i < 60; i++) {
		fleet_run(f, SEC / 2);
		members_on_alive(fleet_members(f, 0), "n0001", fleet_now(f));
	}
	ck_assert_int_ne(fleet_view(f, 0, 1), MEMBER_DEAD);
	fleet_destroy(f);
}
END_TEST

/*
 * An operator stops a node. It announces that before it stops working. From
 * then on it gets no new work, although it still answers, and after its last
 * message it is LEFT and not DEAD, so that no node acts on a death.
 */
START_TEST(leaving_node_gets_no_work_and_is_not_dead)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&s, 8);
	f = start_fleet(&s, &hook_state);
	members_leave(fleet_members(f, 6), fleet_now(f));
	fleet_run(f, 3 * SEC);
	for (i = 0; i < s.n; i++)
		ck_assert_int_eq(fleet_view(f, i, 6), MEMBER_LEAVING);
	ck_assert(!member_is_live(members_find(fleet_members(f, 0), "n0006")));
	fleet_run(f, 30 * SEC);
	ck_assert_int_eq(fleet_view(f, 0, 6), MEMBER_LEAVING);
	members_announce_exit(fleet_members(f, 6), fleet_now(f));
	fleet_kill(f, 6);
	fleet_run(f, 3 * SEC);
	for (i = 0; i < s.n; i++) {
		if (i != 6)
			ck_assert_int_eq(fleet_view(f, i, 6), MEMBER_LEFT);
	}
	ck_assert_uint_eq(hook_state.deaths, 0);
	fleet_start(f, 6);
	ck_assert(fleet_run_until(f, views_agree, NULL, SEC / 10, 10 * SEC));
	fleet_destroy(f);
}
END_TEST

/* Delivers a message to node 0; ERR_NONE or the code of the refusal. */
static enum err_code inject_message(struct fleet *f, const void *data,
				    size_t len)
{
	struct str bytes = { .data = data, .len = len };
	struct err err = { 0 };

	fleet_inject(f, 0, FLEET_GOSSIP, "n0001", bytes, &err);
	return err.code;
}

/*
 * A peer with a faulty build sends messages that are truncated or have flipped
 * bits. A malformed message must be refused as a whole; none may crash the node
 * or fill its table.
 */
START_TEST(malformed_messages_are_refused)
{
	static const uint8_t huge_array[] = { 0x81, 0x0d, 0xdd, 0xff,
					      0xff, 0xff, 0xff };
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	GRand *rng = g_rand_new_with_seed(7);
	unsigned i, round;

	fleet_settings_default(&s, 8);
	f = start_fleet(&s, &hook_state);
	ck_assert_int_eq(inject_message(f, huge_array, sizeof(huge_array)),
			 ERR_BAD_MESSAGE);
	for (round = 0; round < 40; round++) {
		GBytes *last;
		struct str m;
		uint8_t *copy;

		fleet_run(f, SEC / 10);
		last = g_bytes_ref(fleet_last_message(f, FLEET_GOSSIP));
		m = str_from_bytes(last);
		ck_assert_uint_gt(m.len, 0);
		copy = g_memdup2(m.data, m.len);
		for (i = 0; i < m.len; i++)
			ck_assert_int_eq(inject_message(f, copy, i),
					 ERR_BAD_MESSAGE);
		for (i = 0; i < 200; i++) {
			unsigned at = (unsigned)g_rand_int_range(rng, 0,
								 (gint32)m.len);

			copy[at] ^= 1U << g_rand_int_range(rng, 0, 8);
			inject_message(f, copy, m.len);
			copy[at] = (uint8_t)m.data[at];
		}
		g_free(copy);
		g_bytes_unref(last);
	}
	g_rand_free(rng);
	fleet_destroy(f);
}
END_TEST

/* A field or a message type that a later release adds must be ignored. */
START_TEST(unknown_fields_and_types_are_ignored)
{
	struct fleet_settings s;
	struct hook_state hook_state;
	struct fleet *f;
	struct str m;
	GByteArray *more = g_byte_array_new();
	static const uint8_t field[] = { 0xcc, 0xc8, 0x93, 0x01, 0xc0, 0x80 };
	static const uint8_t type_only[] = { 0x84, 0x01, 0x63, 0x02, 0xa1, 'x',
					     0x06, 0xa1, 'h',  0x07, 0x05 };

	fleet_settings_default(&s, 2);
	f = start_fleet(&s, &hook_state);
	m = str_from_bytes(fleet_last_message(f, FLEET_GOSSIP));
	g_byte_array_append(more, (const uint8_t *)m.data, (guint)m.len);
	ck_assert_int_eq(more->data[0] & 0xf0, 0x80);
	more->data[0]++;
	g_byte_array_append(more, field, sizeof(field));
	ck_assert_int_eq(inject_message(f, more->data, more->len), ERR_NONE);
	ck_assert_int_eq(inject_message(f, type_only, sizeof(type_only)),
			 ERR_NONE);
	g_byte_array_free(more, TRUE);
	fleet_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("member");

	tcase_add_test(tcase, nodes_join_and_stay_alive);
	tcase_add_test(tcase, lone_node_has_joined_when_no_seed_answers);
	tcase_add_test(tcase, crashed_node_is_dead_in_all_views_within_seconds);
	tcase_add_test(tcase, paused_node_returns_and_declares_none_dead);
	tcase_add_test(tcase, restarted_process_replaces_the_old_one);
	tcase_add_test(tcase, restart_with_a_clock_set_back_is_alive);
	tcase_add_test(tcase, regions_rejoin_after_partition_of_an_hour);
	tcase_add_test(tcase, seeds_reconnect_after_the_dead_are_forgotten);
	tcase_add_test(tcase, message_loss_causes_no_death);
	tcase_add_test(tcase, node_that_receives_nothing_kills_no_other);
	tcase_add_test(tcase, broken_link_between_two_causes_no_death);
	tcase_add_test(tcase, other_traffic_keeps_member_alive);
	tcase_add_test(tcase, leaving_node_gets_no_work_and_is_not_dead);
	tcase_add_test(tcase, malformed_messages_are_refused);
	tcase_add_test(tcase, unknown_fields_and_types_are_ignored);
	return suite_main("member", tcase);
}
