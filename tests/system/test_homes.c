#include "support_load.h"
#include "support_operator.h"

#include <signal.h>
#include <stdio.h>

#define PROXIES 8
#define CALLERS 12

static struct cluster *start(void)
{
	struct cluster_spec spec;
	struct err err = { 0 };
	struct cluster *c;

	cluster_default(&spec);
	spec.lag_ms = 20;
	spec.n_proxies = PROXIES;
	spec.extra_settings = "\"timing\":{\"stop_health_ms\":300}";
	c = cluster_start(&spec, &err);
	ck_assert_msg(c != NULL, "%s", err.message);
	return c;
}

static void connections_must_be_within(struct cluster *c)
{
	unsigned i;

	for (i = 0; i < c->n_servers; i++) {
		int control = c->servers[i].control;
		unsigned limit =
			c->spec.databases[i / CLUSTER_SERVERS_PER_DATABASE]
				.connections;
		int64_t most =
			standin_number(c, control, "counts/connections_max");

		printf("%s: at most %d connections of %u, %d refused\n",
		       c->servers[i].name, (int)most, limit,
		       (int)standin_number(c, control,
					   "counts/refused_connections"));
		ck_assert_int_ge(most, 0);
		ck_assert_int_le(most, limit);
		ck_assert_int_eq(standin_number(c, control,
						"counts/refused_connections"),
				 0);
	}
}

/*
 * Story: 8 proxies before a server that takes 20 connections are replaced one
 * after the other, some planned, some killed, under load. Each change moves
 * homes; if the old and the new one both filled their part, the server would
 * refuse connections, and the next failover would find none.
 */
START_TEST(connections_stay_within_the_limit_while_proxies_come_and_go)
{
	struct cluster *c = start();
	struct load *load = load_start(c, CALLERS);
	struct load_counts n;
	struct err err = { 0 };
	unsigned i;

	load_let_run(load, 200);
	for (i = 0; i < PROXIES; i++) {
		bool planned = i % 2;

		load_avoid(load, i, true);
		child_signal(c->proxies[i].child, planned ? SIGTERM : SIGKILL);
		child_wait(c->proxies[i].child);
		load_let_run(load, 100);
		ck_assert_msg(cluster_start_proxy(c, i, &err), "%s",
			      err.message);
		ck_assert(cluster_wait_healthy(c));
		load_avoid(load, i, false);
		load_let_run(load, 100);
	}
	n = load_stop(load);
	printf("homes: %u requests; writes: %u done, %u not run, %u unknown; "
	       "reads: %u done, %u refused\n",
	       n.requests, n.writes_done, n.writes_not_run, n.writes_unknown,
	       n.reads_done, n.reads_refused);
	connections_must_be_within(c);
	cluster_destroy(c);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		connections_stay_within_the_limit_while_proxies_come_and_go,
	};

	return run_tests("homes", tests, G_N_ELEMENTS(tests));
}
