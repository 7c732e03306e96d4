/* Which proxies are the homes of a service, while proxies join and leave. */
#include "support_history.h"

#include <celeryquay/core/homes.h>
#include <celeryquay/suite.h>
#include <string.h>

#define PROXIES 200
#define CHANGES 60
#define SELF 0
#define SERVER_CONNECTIONS 80 /* connections that a server takes: 16 homes */

static char names[PROXIES][16];

static struct relay_server_info info_of(unsigned i)
{
	return (struct relay_server_info){ .id = names[i],
					   .host = (char *)"127.0.0.1",
					   .zone = (char *)"" };
}

static void name_all(const struct fake *f)
{
	unsigned i;

	g_strlcpy(names[SELF], f->relays[0].relay->name, sizeof(names[SELF]));
	for (i = SELF + 1; i < PROXIES; i++)
		g_snprintf(names[i], sizeof(names[i]), "other-%u", i);
}

/* Configures n_services services; the first one is group0. */
static void configure(struct fake *f, unsigned n_services)
{
	struct relay_catalog *c = relay_catalog_create(99, 0);
	struct relay_service_conf conf = { .max_connections =
						   SERVER_CONNECTIONS };
	char name[16];
	unsigned i;

	conf.name = name;
	for (i = 0; i < n_services; i++) {
		g_snprintf(name, sizeof(name), "group%u", i);
		relay_catalog_add_service(c, &conf);
	}
	relay_on_catalog(f->relays[0].relay, c, f->now_us);
	relay_catalog_unref(c);
}

static void give_list(struct fake *f, const bool *listed)
{
	struct relay_server_info infos[PROXIES];
	unsigned i, n = 0;

	for (i = 0; i < PROXIES; i++)
		if (listed[i])
			infos[n++] = info_of(i);
	relay_on_peers(f->relays[0].relay, infos, n, f->now_us);
}

/*
 * Ranks this proxy and the listed ones with homes_rank(); writes the first
 * `max` names, best first, and returns how many.
 */
static unsigned rank_all(const bool *listed, const char **first, unsigned max)
{
	struct database_conf db = { .service = (char *)"group0",
				    .name = (char *)"group0" };
	struct home_candidate all[PROXIES];
	unsigned order[PROXIES], i, n = 0;

	for (i = 0; i < PROXIES; i++)
		if (listed[i] || i == SELF)
			all[n++] = (struct home_candidate){ names[i], "", "",
							    false };
	n = homes_rank(&db, all, n, order, max);
	for (i = 0; i < n; i++)
		first[i] = all[order[i]].name;
	return n;
}

static void check_names(const GPtrArray *actual, const char *const *expected,
			unsigned n)
{
	unsigned i, at = 0;

	for (i = 0; i < n; i++) {
		if (!strcmp(expected[i], names[SELF]))
			continue;
		ck_assert_uint_lt(at, actual->len);
		ck_assert_str_eq(actual->pdata[at++], expected[i]);
	}
	ck_assert_uint_eq(at, actual->len);
}

static void check_homes(struct fake *f, const bool *listed)
{
	struct rservice *v =
		g_hash_table_lookup(f->relays[0].relay->services, "group0");
	const char *expected[20];
	bool is_home = false;
	unsigned i, n = rank_all(listed, expected, 20);

	for (i = 0; i < 16; i++)
		is_home |= !strcmp(expected[i], names[SELF]);
	ck_assert_uint_eq(n, 20);
	ck_assert_int_eq(v->is_home, is_home);
	check_names(role_homes(v), expected, 16);
	check_names(role_spares(v), expected + 16, 4);
}

/*
 * Guards against proxies that disagree on homes after partial changes of the
 * list: the result must be the same as of ranking the whole list.
 */
START_TEST(homes_follow_each_change_of_the_list)
{
	struct fake *f = fake_create((uint32_t)_i, 1, 1);
	bool listed[PROXIES];
	unsigned i, k;

	name_all(f);
	configure(f, 1);
	for (i = 0; i < PROXIES; i++)
		listed[i] = fake_chance(f, 0.7);
	give_list(f, listed);
	for (i = 0; i < CHANGES; i++) {
		for (k = 0; k < 5; k++) {
			unsigned at =
				(unsigned)fake_random(f, 0, PROXIES) % PROXIES;

			listed[at] = !listed[at];
		}
		give_list(f, listed);
		check_homes(f, listed);
	}
	fake_destroy(f);
}
END_TEST

/*
 * Guards against many restarts in a large fleet that make every proxy process a
 * list each time.
 */
START_TEST(small_changes_of_a_large_fleet_are_batched)
{
	struct fake *f = fake_create(1, 1, 1);
	struct relay *r = f->relays[0].relay;
	bool listed[PROXIES];
	unsigned i;

	for (i = 0; i < PROXIES; i++)
		listed[i] = true;
	name_all(f);
	configure(f, 1);
	ck_assert(relay_wants_peers(r, PROXIES, f->now_us));
	give_list(f, listed);
	ck_assert(!relay_wants_peers(r, PROXIES - 1, f->now_us + 100 * MS));
	ck_assert(relay_wants_peers(r, PROXIES / 2, f->now_us + 100 * MS));
	ck_assert(relay_wants_peers(r, PROXIES * 2, f->now_us + 100 * MS));
	ck_assert(relay_wants_peers(r, PROXIES - 1, f->now_us + 200 * MS));
	fake_destroy(f);
}
END_TEST

static bool is_home(struct fake *f)
{
	const struct rservice *v =
		g_hash_table_lookup(f->relays[0].relay->services, "group0");

	return v->is_home;
}

/* Lists the first n proxies, with or without this one, and lets 200 ms pass. */
static void give_list_of_first(struct fake *f, unsigned n, bool self)
{
	bool listed[PROXIES] = { false };
	unsigned i;

	for (i = 1; i < n; i++)
		listed[i] = true;
	listed[SELF] = self;
	give_list(f, listed);
	relay_tick(f->relays[0].relay, f->now_us);
	f->now_us += 200 * MS;
	relay_tick(f->relays[0].relay, f->now_us);
}

/*
 * Guards against a proxy of a starting fleet that takes itself for one of few,
 * and so for a home, as the list doesn't name all yet.
 */
START_TEST(a_proxy_waits_for_a_complete_list)
{
	struct fake *f = fake_create((uint32_t)_i, 1, 1);
	struct relay *r = f->relays[0].relay;
	unsigned n;

	name_all(f);
	give_list_of_first(f, 0, false);
	configure(f, 1);
	ck_assert(!is_home(f));
	ck_assert(!relay_is_ready(r));
	for (n = 4; n <= PROXIES / 2; n *= 2) {
		give_list_of_first(f, n, n > 16);
		ck_assert(!is_home(f));
	}
	f->now_us += 500 * MS;
	relay_tick(r, f->now_us);
	ck_assert(r->knows_fleet);
	ck_assert_uint_eq(g_hash_table_size(r->peers), n / 2 - 1);
	fake_destroy(f);
}
END_TEST

/*
 * Guards against a restarted proxy, listed already, that waits before it
 * serves.
 */
START_TEST(a_proxy_that_is_listed_does_not_wait)
{
	struct fake *f = fake_create(1, 1, 1);

	name_all(f);
	give_list_of_first(f, 3, true);
	configure(f, 1);
	ck_assert(is_home(f));
	fake_destroy(f);
}
END_TEST

/* Guards against a proxy that can't list itself and so never serves. */
START_TEST(a_proxy_does_not_wait_for_ever)
{
	struct fake *f = fake_create(1, 1, 1);

	name_all(f);
	give_list_of_first(f, 3, false);
	configure(f, 1);
	ck_assert(!is_home(f));
	f->now_us += 4 * USEC_PER_SEC;
	relay_tick(f->relays[0].relay, f->now_us);
	ck_assert(is_home(f));
	fake_destroy(f);
}
END_TEST

/* Guards against a proxy that keeps connecting to another one's old address. */
START_TEST(a_proxy_is_found_at_its_new_address)
{
	struct fake *f = fake_create(1, 1, 1);
	struct relay *r = f->relays[0].relay;
	struct relay_server_info moved[2];

	name_all(f);
	configure(f, 1);
	moved[0] = info_of(1);
	moved[1] = info_of(2);
	relay_on_peers(r, moved, 2, f->now_us);
	moved[1].host = (char *)"127.0.0.2";
	relay_on_peers(r, moved, 2, f->now_us);
	ck_assert_str_eq(peers_find(r, names[2])->host, "127.0.0.2");
	ck_assert_str_eq(peers_find(r, names[1])->host, "127.0.0.1");
	ck_assert_ptr_null(peers_find(r, names[SELF]));
	fake_destroy(f);
}
END_TEST

/*
 * Guards against a fleet with many services in which each has as many homes as
 * the load of all of them needs.
 */
START_TEST(homes_follow_a_services_share_of_the_fleet)
{
	static const unsigned homes[][2] = {
		/* services, homes of each */
		{ 1, 16 },
		{ 25, 16 },
		{ 50, 8 },
		{ 200, 4 },
	};
	struct fake *f = fake_create(1, 1, 1);
	bool listed[PROXIES];
	struct rservice *v;
	unsigned i;

	for (i = 0; i < PROXIES; i++)
		listed[i] = true;
	name_all(f);
	configure(f, homes[_i][0]);
	give_list(f, listed);
	v = g_hash_table_lookup(f->relays[0].relay->services, "group0");
	ck_assert_uint_eq(role_homes(v)->len + v->is_home, homes[_i][1]);
	ck_assert_uint_eq(role_spares(v)->len, 4);
	fake_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("rank");

	tcase_add_loop_test(tc, homes_follow_each_change_of_the_list, 1, 11);
	tcase_add_loop_test(tc, homes_follow_a_services_share_of_the_fleet, 0,
			    4);
	tcase_add_test(tc, small_changes_of_a_large_fleet_are_batched);
	tcase_add_loop_test(tc, a_proxy_waits_for_a_complete_list, 1, 4);
	tcase_add_test(tc, a_proxy_that_is_listed_does_not_wait);
	tcase_add_test(tc, a_proxy_does_not_wait_for_ever);
	tcase_add_test(tc, a_proxy_is_found_at_its_new_address);
	return suite_main("rank", tc);
}
