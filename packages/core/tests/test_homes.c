#include <celeryquay/core/homes.h>

#include <celeryquay/suite.h>
#include <stdio.h>
#include <stdlib.h>

#define N_PROXIES 16
#define N_DATABASES 2000
#define N_HOMES 2

static struct server_conf servers[] = {
	{ .data_centre = "hall-a", .region = "fi-south" },
	{ .data_centre = "hall-b", .region = "fi-south" },
};
static char names[N_PROXIES][16];
static struct home_candidate proxies[N_PROXIES];

static void setup(void)
{
	unsigned i;

	for (i = 0; i < N_PROXIES; i++) {
		snprintf(names[i], sizeof(names[i]), "proxy-%u", i);
		proxies[i].name = names[i];
		proxies[i].data_centre = i % 2 ? "hall-a" : "hall-c";
		proxies[i].region = i < 8 ? "fi-south" : "ke-coast";
		proxies[i].leaving = false;
	}
}

static unsigned rank(unsigned database, const struct home_candidate *all,
		     unsigned n, unsigned *out, unsigned max)
{
	char name[16];
	struct database_conf db = { .service = "ledger",
				    .name = name,
				    .n_servers = G_N_ELEMENTS(servers),
				    .servers = servers };

	snprintf(name, sizeof(name), "miles-%u", database);
	return homes_rank(&db, all, n, out, max);
}

START_TEST(test_near_proxies_first_leaving_ones_last)
{
	unsigned out[N_PROXIES];
	unsigned i;

	proxies[3].leaving = true;
	for (i = 0; i < 100; i++) {
		unsigned k;

		ck_assert_uint_eq(rank(i, proxies, N_PROXIES, out, N_PROXIES),
				  N_PROXIES);
		for (k = 0; k < 7; k++)
			ck_assert_uint_lt(out[k], 8);
		ck_assert_uint_eq(out[N_PROXIES - 1], 3);
	}
}
END_TEST

/* Proxies in the data centre of a server have twice the weight. */
START_TEST(test_databases_follow_weights)
{
	unsigned count[N_PROXIES] = { 0 };
	unsigned out[1];
	unsigned i;

	for (i = 0; i < N_DATABASES; i++) {
		rank(i, proxies, N_PROXIES, out, 1);
		count[out[0]]++;
	}
	/* 4 with weight 2 and 4 with weight 1: 333 and 167 expected. */
	for (i = 0; i < 8; i++) {
		ck_assert_uint_ge(count[i], i % 2 ? 270 : 120);
		ck_assert_uint_le(count[i], i % 2 ? 400 : 220);
	}
}
END_TEST

/*
 * If homes depended on the number of proxies, the loss of one of many would
 * move every database, and all server connections would be opened again
 * elsewhere. Only the lost proxy's databases may move.
 */
START_TEST(test_only_the_lost_proxys_databases_move)
{
	struct home_candidate fewer[N_PROXIES - 1];
	unsigned before[N_HOMES], after[N_HOMES];
	unsigned moved = 0;
	unsigned i, k;

	for (i = 0, k = 0; i < N_PROXIES; i++) {
		if (i != 5)
			fewer[k++] = proxies[i];
	}
	for (i = 0; i < N_DATABASES; i++) {
		const char *old, *new;

		rank(i, proxies, N_PROXIES, before, N_HOMES);
		rank(i, fewer, N_PROXIES - 1, after, N_HOMES);
		old = proxies[before[0]].name;
		new = fewer[after[0]].name;
		if (before[0] == 5) {
			moved++;
			old = proxies[before[1]].name;
		}
		ck_assert_str_eq(old, new);
	}
	ck_assert_uint_gt(moved, 0);
}
END_TEST

START_TEST(test_order_of_candidates_does_not_matter)
{
	struct home_candidate reversed[N_PROXIES];
	unsigned a[N_HOMES], b[N_HOMES];
	unsigned i;

	for (i = 0; i < N_PROXIES; i++)
		reversed[i] = proxies[N_PROXIES - 1 - i];
	for (i = 0; i < 200; i++) {
		rank(i, proxies, N_PROXIES, a, N_HOMES);
		rank(i, reversed, N_PROXIES, b, N_HOMES);
		ck_assert_str_eq(proxies[a[0]].name, reversed[b[0]].name);
		ck_assert_str_eq(proxies[a[1]].name, reversed[b[1]].name);
	}
	ck_assert_uint_eq(rank(1, proxies, 1, a, N_HOMES), 1);
	ck_assert_uint_eq(rank(1, proxies, 0, a, N_HOMES), 0);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("homes");

	tcase_add_checked_fixture(t, setup, NULL);
	tcase_add_test(t, test_near_proxies_first_leaving_ones_last);
	tcase_add_test(t, test_databases_follow_weights);
	tcase_add_test(t, test_only_the_lost_proxys_databases_move);
	tcase_add_test(t, test_order_of_candidates_does_not_matter);
	return suite_main("homes", t);
}
