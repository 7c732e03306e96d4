#include "support_fleet_store.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

#define SEC USEC_PER_SEC

static unsigned n_rejected;

static void on_rejected(void *ctx, unsigned node, const char *key,
			uint64_t revision)
{
	(void)ctx;
	(void)node;
	(void)key;
	(void)revision;
	n_rejected++;
}

static const struct fleet_hooks hooks = { .rejected = on_rejected };

static uint64_t put_limit(struct fleet_store *s, const char *name, int value)
{
	char *key = g_strdup_printf("limit/%s", name);
	char *json = g_strdup_printf("{\"change\":\"c%d\",\"value\":%d}", value,
				     value);
	uint64_t revision = fleet_store_put(s, key, json);

	g_free(key);
	g_free(json);
	return revision;
}

/* Starts a fleet and its store; three limits are in force on all nodes. */
static struct fleet_store *start_fleet(struct fleet_settings *settings,
				       struct fleet **out)
{
	struct fleet *f;
	struct fleet_store *s;

	n_rejected = 0;
	settings->confsync = true;
	f = fleet_create(settings, &hooks, NULL);
	s = fleet_store_create(f);
	put_limit(s, "a", 1);
	put_limit(s, "b", 2);
	put_limit(s, "c", 3);
	fleet_start_all(f, 0, settings->n);
	fleet_store_run(s, 20 * SEC);
	ck_assert_uint_eq(fleet_wrong_views(f), 0);
	ck_assert_uint_eq(fleet_store_differing(s), 0);
	ck_assert_uint_eq(fleet_store_lagging(s, fleet_store_revision(s)), 0);
	*out = f;
	return s;
}

static void end_fleet(struct fleet_store *s, struct fleet *f)
{
	fleet_store_destroy(s);
	fleet_destroy(f);
}

static int64_t limit_at(struct fleet *f, unsigned node, const char *name)
{
	return model_limit(fleet_model(f, node), name, -1);
}

/*
 * A change and a removal are in force on all 60 nodes within 3 s, and 6 s later
 * each node reports their revision as complete.
 */
START_TEST(change_is_in_force_on_all_nodes_within_3_s)
{
	struct fleet_settings settings;
	struct fleet_store *s;
	struct fleet *f;
	uint64_t revision;
	unsigned i;

	fleet_settings_default(&settings, 60);
	settings.data_centres = 10;
	settings.regions = 4;
	s = start_fleet(&settings, &f);
	ck_assert_uint_eq(fleet_store_watch_count(s), 8);
	put_limit(s, "a", 10);
	revision = fleet_store_put(s, "limit/b", NULL);
	fleet_store_run(s, 3 * SEC);
	for (i = 0; i < settings.n; i++) {
		ck_assert_int_eq(limit_at(f, i, "a"), 10);
		ck_assert_int_eq(limit_at(f, i, "b"), -1);
		ck_assert_int_eq(limit_at(f, i, "c"), 3);
	}
	fleet_store_run(s, 6 * SEC);
	ck_assert_uint_eq(fleet_store_lagging(s, revision), 0);
	end_fleet(s, f);
}
END_TEST

/* With 20 % of the messages lost, digests repair what the pushes missed. */
START_TEST(change_arrives_despite_message_loss)
{
	struct fleet_settings settings;
	struct fleet_store *s;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&settings, 60);
	settings.data_centres = 4;
	s = start_fleet(&settings, &f);
	fleet_set_loss(f, 0.2);
	for (i = 0; i < 20; i++) {
		put_limit(s, "a", 100 + (int)i);
		fleet_store_run(s, SEC / 5);
	}
	fleet_store_run(s, 15 * SEC);
	ck_assert_uint_eq(fleet_store_differing(s), 0);
	end_fleet(s, f);
}
END_TEST

/*
 * While nothing changes, a node sends only a digest header to one member per
 * interval, at most 200 bytes even with 3000 items.
 */
START_TEST(idle_digest_is_small)
{
	struct fleet_settings settings;
	struct fleet_counts counts;
	struct fleet_store *s;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&settings, 4);
	s = start_fleet(&settings, &f);
	for (i = 0; i < 3000; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "x%u", i);
		put_limit(s, name, 5);
	}
	/* A store outage makes the watchers read the items as one list. */
	fleet_store_set_down(s, true);
	fleet_store_run(s, SEC);
	fleet_store_set_down(s, false);
	fleet_store_run(s, 300 * SEC);
	ck_assert_uint_eq(fleet_store_differing(s), 0);
	fleet_reset_counts(f);
	fleet_store_run(s, 60 * SEC);
	fleet_counts(f, &counts);
	ck_assert_uint_le(counts.largest[FLEET_CONF], 200);
	end_fleet(s, f);
}
END_TEST

/*
 * An invalid value is written directly into the store. Every node must keep
 * the last good value, the nodes that read the bad one must report it as
 * rejected, and no node may report its revision as complete until a valid
 * value replaces it.
 */
START_TEST(rejected_item_leaves_last_good_value_in_force)
{
	struct fleet_settings settings;
	struct fleet_store *s;
	struct fleet *f;
	uint64_t bad, good;
	unsigned i;

	fleet_settings_default(&settings, 8);
	s = start_fleet(&settings, &f);
	bad = fleet_store_put(s, "limit/a", "{\"change\":\"x\",\"value\":[]}");
	fleet_store_run(s, 10 * SEC);
	for (i = 0; i < settings.n; i++)
		ck_assert_int_eq(limit_at(f, i, "a"), 1);
	/* Only the two watchers read the value from the store. */
	ck_assert_uint_eq(n_rejected, 2);
	ck_assert_uint_eq(fleet_store_lagging(s, bad), 8);
	put_limit(s, "b", 20);
	fleet_store_run(s, 10 * SEC);
	for (i = 0; i < settings.n; i++)
		ck_assert_int_eq(limit_at(f, i, "b"), 20);
	good = put_limit(s, "a", 7);
	fleet_store_run(s, 10 * SEC);
	ck_assert_uint_eq(fleet_store_lagging(s, good), 0);
	ck_assert_int_eq(limit_at(f, 5, "a"), 7);
	end_fleet(s, f);
}
END_TEST

/*
 * A VM is replaced while the store is down. The new process must get the whole
 * configuration from the other nodes.
 */
START_TEST(node_starts_while_the_store_is_down)
{
	struct fleet_settings settings;
	struct confsync_stats stats;
	struct fleet_store *s;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&settings, 8);
	settings.spread.max_message_bytes = 2000;
	s = start_fleet(&settings, &f);
	for (i = 0; i < 40; i++) {
		char *key = g_strdup_printf("database/ledger/miles-%u", i);
		char *json = fleet_store_database(i);

		fleet_store_put(s, key, json);
		g_free(key);
		g_free(json);
	}
	fleet_store_run(s, 60 * SEC);
	ck_assert_uint_eq(fleet_store_differing(s), 0);
	fleet_store_set_down(s, true);
	fleet_kill(f, 5);
	fleet_store_run(s, SEC);
	fleet_start(f, 5);
	fleet_store_run(s, 10 * SEC);
	ck_assert(confsync_ready(fleet_confsync(f, 5)));
	ck_assert_uint_eq(fleet_store_differing(s), 0);
	confsync_stats(fleet_confsync(f, 5), &stats);
	ck_assert_uint_eq(stats.items, 43);
	ck_assert_uint_eq(fleet_store_lagging(s, fleet_store_revision(s)), 0);
	end_fleet(s, f);
}
END_TEST

/*
 * A proxy is partitioned for an hour. Meanwhile an operator removes an item,
 * and so many others that its tombstone is dropped. The returning proxy still
 * has the item and must not spread it again: if the item is a caller's, the
 * caller would regain the access that the operator revoked.
 */
START_TEST(stale_node_does_not_restore_removed_item)
{
	struct fleet_settings settings;
	struct confsync_stats stats;
	struct fleet_store *s;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&settings, 6);
	settings.spread.max_tombstones = 4;
	s = start_fleet(&settings, &f);
	fleet_set_partition(f, 3, 1);
	fleet_store_set_unreachable(s, 3, true);
	fleet_store_run(s, 60 * SEC);
	fleet_store_put(s, "limit/a", NULL);
	for (i = 0; i < 20; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "x%u", i);
		put_limit(s, name, 5);
		fleet_store_run(s, SEC);
		g_snprintf(name, sizeof(name), "limit/x%u", i);
		fleet_store_put(s, name, NULL);
		fleet_store_run(s, SEC);
	}
	fleet_store_run(s, 3600 * SEC);
	confsync_stats(fleet_confsync(f, 0), &stats);
	ck_assert_uint_eq(stats.tombstones, 4);
	ck_assert_int_eq(limit_at(f, 3, "a"), 1);
	fleet_store_set_down(s, true);
	fleet_set_partition(f, 3, 0);
	for (i = 0; i < 60; i++) {
		fleet_store_run(s, SEC);
		ck_assert_int_eq(limit_at(f, i % 3, "a"), -1);
	}
	ck_assert_int_eq(limit_at(f, 3, "a"), -1);
	ck_assert_uint_eq(fleet_store_differing(s), 0);
	end_fleet(s, f);
}
END_TEST

/*
 * An item is removed while no node can reach the store, so no watch delivers
 * the removal. The list read afterwards must reveal it.
 */
START_TEST(list_reveals_removals_during_outage)
{
	struct fleet_settings settings;
	struct fleet_store *s;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&settings, 8);
	s = start_fleet(&settings, &f);
	fleet_store_set_down(s, true);
	fleet_store_run(s, 5 * SEC);
	fleet_store_put(s, "limit/c", NULL);
	put_limit(s, "b", 9);
	fleet_store_set_down(s, false);
	fleet_store_run(s, 5 * SEC);
	for (i = 0; i < settings.n; i++) {
		ck_assert_int_eq(limit_at(f, i, "c"), -1);
		ck_assert_int_eq(limit_at(f, i, "b"), 9);
	}
	ck_assert_uint_eq(fleet_store_differing(s), 0);
	end_fleet(s, f);
}
END_TEST

/*
 * Two regions are partitioned and only one of them receives changes from the
 * store. Within 60 s of the partition's end each change must be in force in the
 * other region too, and no node may fall back to the older value.
 */
START_TEST(region_catches_up_after_partition)
{
	struct fleet_settings settings;
	struct fleet_store *s;
	struct fleet *f;
	unsigned i;

	fleet_settings_default(&settings, 12);
	settings.data_centres = settings.regions = 2;
	s = start_fleet(&settings, &f);
	for (i = 0; i < settings.n; i += 2)
		fleet_set_partition(f, i, 1);
	fleet_store_set_down(s, true);
	fleet_store_run(s, 30 * SEC);
	/* One region gets both changes, the other keeps the old values. */
	for (i = 0; i < 2; i++) {
		char *json =
			g_strdup_printf("{\"change\":\"n%u\",\"value\":8}", i);

		confsync_from_store(fleet_confsync(f, 1),
				    i ? "limit/b" : "limit/a", 50 + i, false,
				    str_from_c(json), fleet_now(f), NULL);
		g_free(json);
	}
	fleet_store_run(s, 30 * SEC);
	ck_assert_int_eq(limit_at(f, 3, "a"), 8);
	ck_assert_int_eq(limit_at(f, 2, "a"), 1);
	for (i = 0; i < settings.n; i += 2)
		fleet_set_partition(f, i, 0);
	fleet_store_run(s, 60 * SEC);
	for (i = 0; i < settings.n; i++) {
		ck_assert_int_eq(limit_at(f, i, "a"), 8);
		ck_assert_int_eq(limit_at(f, i, "b"), 8);
	}
	end_fleet(s, f);
}
END_TEST

/*
 * A value with an older revision is ignored. One with the same revision but
 * other content is ignored too, and counted as a conflict.
 */
START_TEST(old_or_conflicting_values_change_nothing)
{
	struct fleet_settings settings;
	struct confsync_stats stats;
	struct fleet_store *s;
	struct fleet *f;
	struct confsync *c;

	fleet_settings_default(&settings, 3);
	s = start_fleet(&settings, &f);
	c = fleet_confsync(f, 0);
	put_limit(s, "a", 10);
	fleet_store_run(s, 3 * SEC);
	confsync_from_store(c, "limit/a", 2, false,
			    STR("{\"change\":\"old\",\"value\":1}"),
			    fleet_now(f), NULL);
	ck_assert_int_eq(limit_at(f, 0, "a"), 10);
	confsync_stats(c, &stats);
	ck_assert_uint_eq(stats.conflicts, 0);
	confsync_from_store(c, "limit/a", fleet_store_revision(s), false,
			    STR("{\"change\":\"other\",\"value\":11}"),
			    fleet_now(f), NULL);
	ck_assert_int_eq(limit_at(f, 0, "a"), 10);
	confsync_stats(c, &stats);
	ck_assert_uint_eq(stats.conflicts, 1);
	end_fleet(s, f);
}
END_TEST

/*
 * A watcher's VM dies. Another node must take its place, so that as many nodes
 * as before watch the store, and the other watches must not be restarted.
 */
START_TEST(dead_watcher_is_replaced)
{
	struct fleet_settings settings;
	struct fleet_store *s;
	struct fleet *f;
	uint64_t lists;
	unsigned i, victim = 0;

	fleet_settings_default(&settings, 20);
	s = start_fleet(&settings, &f);
	ck_assert_uint_eq(fleet_store_watch_count(s), 2);
	lists = fleet_store_list_count(s);
	while (!fleet_store_watched_by(s, victim))
		victim++;
	fleet_kill(f, victim);
	fleet_store_run(s, 15 * SEC);
	ck_assert_uint_eq(fleet_store_watch_count(s), 2);
	ck_assert_uint_eq(fleet_store_list_count(s), lists + 1);
	put_limit(s, "a", 77);
	fleet_store_run(s, 3 * SEC);
	for (i = 0; i < settings.n; i++) {
		if (i != victim)
			ck_assert_int_eq(limit_at(f, i, "a"), 77);
	}
	end_fleet(s, f);
}
END_TEST

/*
 * An operator waits until a change is in force on all nodes while one proxy is
 * partitioned. That proxy must be reported as lagging, and no node may report a
 * revision whose changes it does not have in force.
 */
START_TEST(revision_identifies_lagging_node)
{
	struct fleet_settings settings;
	struct fleet_store *s;
	struct fleet *f;
	uint64_t revision = 0;
	unsigned i, j;

	fleet_settings_default(&settings, 8);
	s = start_fleet(&settings, &f);
	fleet_set_partition(f, 6, 1);
	fleet_store_set_unreachable(s, 6, true);
	for (i = 0; i < 30; i++) {
		revision = put_limit(s, i % 2 ? "a" : "b", (int)i);
		fleet_store_run(s, SEC / 5);
		for (j = 0; j < settings.n; j++) {
			uint64_t member_revision =
				confsync_revision(fleet_confsync(f, j));

			if (member_revision >= revision)
				ck_assert_int_eq(
					limit_at(f, j, i % 2 ? "a" : "b"), i);
		}
	}
	fleet_store_run(s, 10 * SEC);
	ck_assert_uint_eq(fleet_store_lagging(s, revision), 1);
	ck_assert_uint_lt(confsync_revision(fleet_confsync(f, 6)), revision);
	ck_assert_uint_lt(confsync_member_revision(fleet_confsync(f, 0),
						   "n0006"),
			  revision);
	fleet_set_partition(f, 6, 0);
	fleet_store_run(s, 30 * SEC);
	ck_assert_uint_eq(fleet_store_lagging(s, revision), 0);
	ck_assert_uint_eq(confsync_member_revision(fleet_confsync(f, 0),
						   "n0006"),
			  revision);
	end_fleet(s, f);
}
END_TEST

static enum err_code inject(struct fleet *f, const void *data, size_t len)
{
	struct str bytes = { .data = data, .len = len };
	struct err err = { 0 };

	fleet_inject(f, 0, FLEET_CONF, "n0001", bytes, &err);
	return err.code;
}

/*
 * A faulty peer sends truncated messages and messages with flipped bits. Every
 * truncated one must be refused, and none may crash the node. A message of an
 * unknown type is accepted and ignored.
 */
START_TEST(malformed_messages_are_refused)
{
	static const uint8_t unknown_type[] = { 0x82, 0x01, 0x63, 0x63, 0xc0 };
	struct fleet_settings settings;
	struct fleet_store *s;
	struct fleet *f;
	GRand *rng = g_rand_new_with_seed(9);
	unsigned i, round;

	fleet_settings_default(&settings, 4);
	s = start_fleet(&settings, &f);
	ck_assert_int_eq(inject(f, unknown_type, sizeof(unknown_type)),
			 ERR_NONE);
	for (round = 0; round < 20; round++) {
		GBytes *last;
		struct str m;
		uint8_t *copy;

		put_limit(s, "a", (int)round);
		fleet_store_run(s, SEC / 5);
		last = g_bytes_ref(fleet_last_message(f, FLEET_CONF));
		m = str_from_bytes(last);
		ck_assert_uint_gt(m.len, 0);
		copy = g_memdup2(m.data, m.len);
		for (i = 0; i < m.len; i++)
			ck_assert_int_eq(inject(f, copy, i), ERR_BAD_MESSAGE);
		for (i = 0; i < 200; i++) {
			unsigned at = (unsigned)g_rand_int_range(rng, 0,
								 (gint32)m.len);

			copy[at] ^= 1U << g_rand_int_range(rng, 0, 8);
			inject(f, copy, m.len);
			copy[at] = (uint8_t)m.data[at];
		}
		g_free(copy);
		g_bytes_unref(last);
	}
	g_rand_free(rng);
	end_fleet(s, f);
}
END_TEST

int main(void)
{
	TCase *tcase = tcase_create("confsync");

	tcase_add_test(tcase, change_is_in_force_on_all_nodes_within_3_s);
	tcase_add_test(tcase, change_arrives_despite_message_loss);
	tcase_add_test(tcase, idle_digest_is_small);
	tcase_add_test(tcase, rejected_item_leaves_last_good_value_in_force);
	tcase_add_test(tcase, node_starts_while_the_store_is_down);
	tcase_add_test(tcase, stale_node_does_not_restore_removed_item);
	tcase_add_test(tcase, list_reveals_removals_during_outage);
	tcase_add_test(tcase, region_catches_up_after_partition);
	tcase_add_test(tcase, old_or_conflicting_values_change_nothing);
	tcase_add_test(tcase, dead_watcher_is_replaced);
	tcase_add_test(tcase, revision_identifies_lagging_node);
	tcase_add_test(tcase, malformed_messages_are_refused);
	return suite_main("confsync", tcase);
}
