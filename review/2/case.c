/*
 * A service whose commits need one replica (syncReplicas 1). One replica is
 * being replaced (draining), the other receives nothing for a while, and the
 * primary crashes meanwhile.
 */
#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define N_CALLERS 4
#define PAUSE_US (100 * MS) /* between two writes of a caller */

static struct server *primary, *draining, *behind;

static void write_next(void *data)
{
	caller_send(data, "WRITE trip boiler");
}

static void on_answer(void *data)
{
	struct caller *c = data;

	sim_at(sim_now() + PAUSE_US, write_next, c);
}

static void drain(void *data)
{
	(void)data;
	sim_record("%s reports that it is draining", draining->id);
	draining->draining = true;
	server_list(draining);
}

static void lag(void *data)
{
	(void)data;
	sim_record("%s receives nothing from now on", behind->id);
	behind->receives_nothing = true;
}

static void crash(void *data)
{
	(void)data;
	server_crash(primary);
}

static void recover(void *data)
{
	(void)data;
	sim_record("%s receives again", behind->id);
	behind->receives_nothing = false;
}

/* The acknowledged commits of the first term that the new primary lacks. */
static unsigned count_lost(uint64_t until_us)
{
	unsigned i, n = 0;

	for (i = 1; i < servers_commits->len; i++) {
		const struct commit *c =
			&g_array_index(servers_commits, struct commit, i);

		if (!c->acked || c->acked_us > until_us ||
		    server_has(servers_promoted, i))
			continue;
		sim_record("%s was acknowledged at %.3f and isn't in the log "
			   "of %s",
			   c->id, (double)c->acked_us / SEC,
			   servers_promoted->id);
		n++;
	}
	return n;
}

int main(int argc, char **argv)
{
	bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	struct proxy *proxies[3];
	uint64_t start_us, crash_us;
	char text[96];
	unsigned i, n_lost;

	if (argc < 2)
		return CASE_NOT_RUN;
	sim_init(argv[1]);
	servers_sync_replicas = 1;
	primary = server_add("i-1", true);
	draining = server_add("i-2", false);
	behind = server_add("i-3", false);
	config_put(1, 800);
	for (i = 0; i < G_N_ELEMENTS(proxies); i++) {
		g_snprintf(text, sizeof(text), "frontend-%u", i + 1);
		proxies[i] = proxy_add(text);
	}
	sim_start_proxies();
	start_us = sim_now();
	for (i = 0; i < N_CALLERS; i++) {
		struct caller *c;

		g_snprintf(text, sizeof(text), "u%u", i + 1);
		c = caller_open(proxies[i % G_N_ELEMENTS(proxies)], "primary",
				text);
		c->on_answer = on_answer;
	}
	sim_at(start_us + 6 * SEC, drain, NULL);
	crash_us = start_us + 9 * SEC;
	if (trouble) {
		sim_at(start_us + 7 * SEC, lag, NULL);
		sim_at(crash_us, crash, NULL);
		sim_at(start_us + 14 * SEC, recover, NULL);
	}
	sim_run_until(start_us + 20 * SEC);
	if (servers_commits->len < 20)
		sim_end(CASE_NOT_RUN, "hardly a write was made");
	if (!servers_promoted)
		sim_end(trouble ? CASE_NOT_RUN : CASE_HELD,
			"no server was promoted");
	n_lost = count_lost(crash_us);
	if (!n_lost)
		sim_end(CASE_HELD, "the new primary has all commits");
	g_snprintf(text, sizeof(text),
		   "%u acknowledged commits aren't in the log of %s", n_lost,
		   servers_promoted->id);
	sim_end(CASE_BROKEN, text);
}
