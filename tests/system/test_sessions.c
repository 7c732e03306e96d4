#include "support_load.h"
#include "support_operator.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define CALLERS 16

static struct cluster *start(unsigned lag_ms, bool faults)
{
	struct cluster_spec spec;
	struct err err = { 0 };
	struct cluster *c;

	cluster_default(&spec);
	spec.lag_ms = lag_ms;
	spec.peer_faults = faults;
	c = cluster_start(&spec, &err);
	ck_assert_msg(c != NULL, "%s", err.message);
	return c;
}

static void print_counts(const char *name, const struct load_counts *n)
{
	printf("%s: %u requests; writes: %u done, %u not run, %u unknown; "
	       "reads: %u done (%u by replicas), %u refused\n",
	       name, n->requests, n->writes_done, n->writes_not_run,
	       n->writes_unknown, n->reads_done, n->reads_by_replicas,
	       n->reads_refused);
}

/*
 * Story: replicas are two seconds behind. Plumbers save trips and look at them
 * at once, through whichever proxy answers; a summary from a replica would
 * lack the last trips, and the next one, from the primary, would have them.
 */
START_TEST(sessions_hold_while_replicas_lag_far)
{
	struct cluster *c = start(2000, false);
	struct load *load = load_start(c, CALLERS);
	struct load_counts n;

	load_let_run(load, 4000);
	n = load_stop(load);
	print_counts("lag", &n);
	ck_assert_uint_eq(n.reads_refused, 0);
	ck_assert_uint_eq(n.writes_not_run + n.writes_unknown, 0);
	cluster_destroy(c);
}
END_TEST

/* Puts each replica of the database back by some positions. */
static void jump_back(struct cluster *c, unsigned steps)
{
	unsigned i;

	for (i = 0; i < CLUSTER_SERVERS_PER_DATABASE; i++) {
		int64_t applied = standin_number(c, c->servers[i].control,
						 "status/applied");
		char *body = g_strdup_printf("{\"position\":%" G_GINT64_FORMAT
					     "}",
					     MAX(applied - (int64_t)steps, 1));

		/* The primary refuses; whoever it is stays as it is. */
		cluster_control(c, c->servers[i].control, "/jump_back", body);
		g_free(body);
	}
}

/*
 * Story: a replica is restored from an hour ago and replays its log. Its word
 * of a moment ago says that it has all of a session's writes; the read that is
 * sent to it then finds rows of the past.
 */
START_TEST(sessions_never_go_back_with_a_replica)
{
	struct cluster *c = start(100, false);
	struct load *load = load_start(c, CALLERS);
	struct load_counts n;
	unsigned i;

	for (i = 0; i < 20; i++) {
		load_let_run(load, 200);
		jump_back(c, 1 + i * 10);
	}
	load_let_run(load, 500);
	n = load_stop(load);
	print_counts("jump back", &n);
	ck_assert_uint_gt(n.reads_by_replicas, 0);
	ck_assert_uint_eq(n.writes_unknown, 0);
	cluster_destroy(c);
}
END_TEST

static void peers_of(struct cluster *c, unsigned proxy, const char *path)
{
	char *body = g_strdup_printf("{\"route\":\"peer-%s\","
				     "\"reset_silent\":true}",
				     c->proxies[proxy].name);

	ck_assert(cluster_control(c, c->faults_control, path, body));
	g_free(body);
}

/*
 * Story: a home hears nothing of the others any more, but still reaches the
 * servers and its own callers; the others choose another home. Then the
 * primary dies, and both homes order a promotion. Callers who roam between the
 * two must notice nothing but a delay.
 */
START_TEST(home_cut_off_from_its_peers_breaks_no_promise)
{
	struct cluster *c = start(20, true);
	struct load *load = load_start(c, CALLERS);
	struct load_counts n;
	int primary;
	unsigned i;

	for (i = 0; i < 3; i++) {
		load_let_run(load, 100);
		peers_of(c, i, "/blackhole");
		load_let_run(load, 150);
		if (i == 1) {
			primary = cluster_primary(c, "ledger/miles-1");
			ck_assert_int_ge(primary, 0);
			child_signal(c->servers[primary].child, SIGKILL);
			child_wait(c->servers[primary].child);
			load_let_run(load, 150);
		}
		peers_of(c, i, "/heal");
	}
	load_let_run(load, 150);
	n = load_stop(load);
	print_counts("cut off", &n);
	cluster_destroy(c);
}
END_TEST

/*
 * Story: the hypervisor pauses a home in the middle of its work; the others
 * take over. When it wakes it goes on as if nothing had happened: it still
 * believes itself the home, holds connections with work in flight and answers
 * that nobody waits for any more.
 */
START_TEST(paused_home_breaks_no_promise_when_it_wakes)
{
	struct cluster *c = start(20, false);
	struct load *load = load_start(c, CALLERS);
	struct load_counts n;
	unsigned i;

	for (i = 0; i < 3; i++) {
		load_let_run(load, 200);
		load_avoid(load, i, true);
		child_signal(c->proxies[i].child, SIGSTOP);
		load_let_run(load, 300);
		child_signal(c->proxies[i].child, SIGCONT);
		load_avoid(load, i, false);
	}
	load_let_run(load, 300);
	n = load_stop(load);
	print_counts("paused", &n);
	cluster_destroy(c);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		sessions_hold_while_replicas_lag_far,
		sessions_never_go_back_with_a_replica,
		home_cut_off_from_its_peers_breaks_no_promise,
		paused_home_breaks_no_promise_when_it_wakes,
	};

	return run_tests("sessions", tests, G_N_ELEMENTS(tests));
}
