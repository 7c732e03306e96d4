#include "support_history.h"

#include <celeryquay/suite.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Seeded random histories of a group with crashes, partitions, pauses, silent
 * connections and lost answers. In each of them an acknowledged write is stored
 * exactly once, a write answered as not run is not stored, and reads are as
 * fresh as their answers state. With one of the guards switched off the same
 * checks must fail.
 */

#define N_SEEDS 20
#define MAX_MUTATION_SEEDS 40
#define HISTORY_SECONDS 20

static const char *check_history(uint32_t seed, history_guards_fn guards)
{
	static char text[256];
	struct history_run *h = history_run_create(seed);

	history_run_set_guards(h, guards);
	g_strlcpy(text, history_run_check(h, HISTORY_SECONDS), sizeof(text));
	if (!guards)
		history_run_print(h, seed, text);
	history_run_destroy(h);
	return text;
}

START_TEST(guarantees_hold_in_all_histories)
{
	uint32_t seed;

	for (seed = 1; seed <= N_SEEDS; seed++)
		ck_assert_str_eq(check_history(seed, NULL), "");
}
END_TEST

static void disable_outcome_key(struct group_guards *guards)
{
	guards->outcome_key = false;
}

static void disable_confirm_writes(struct group_guards *guards)
{
	guards->confirm_writes = false;
}

static void disable_settle(struct group_guards *guards)
{
	guards->settle = false;
}

static void disable_settle_resends(struct group_guards *guards)
{
	guards->settle_resends = false;
}

static const struct mutation {
	const char *name;
	history_guards_fn disable;
} mutations[] = {
	{ "outcome_key", disable_outcome_key },
	{ "confirm_writes", disable_confirm_writes },
	{ "settle", disable_settle },
	{ "settle_resends", disable_settle_resends },
};

START_TEST(disabled_guard_is_detected)
{
	const struct mutation *m = &mutations[_i];
	const char *violation = "";
	uint32_t seed;

	for (seed = 1; seed <= MAX_MUTATION_SEEDS && !violation[0]; seed++)
		violation = check_history(seed, m->disable);
	printf("without %s: seed %u: %s\n", m->name, seed - 1, violation);
	ck_assert_str_ne(violation, "");
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("histories");

	tcase_add_test(t, guarantees_hold_in_all_histories);
	tcase_add_loop_test(t, disabled_guard_is_detected, 0,
			    G_N_ELEMENTS(mutations));
	return suite_main("group_histories", t);
}
