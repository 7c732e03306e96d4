/*
 * A proxy gets SIGTERM. A caller that the load balancer still sends to it asks
 * for a read that takes long at the server, but less than its route's timeout,
 * and ends before the last sixth of graceS.
 */
#include "sim.h"

#include <stdlib.h>
#include <string.h>

/* timeoutMs of the route. */
#define TIMEOUT_MS 3000
/* After the SIGTERM; the balancer's second miss comes at 2 s. */
#define SENT_AFTER_US (1900 * MS)
#define GRACE_US (6 * SEC)
/* lossSlackMs */
#define SLACK_US (200 * MS)

static struct caller *late;

static void ask(void *data)
{
	struct caller *c = data;

	if (!c->n_sent)
		caller_send(c, "READ slow-2700");
}

static void stop(void *data)
{
	proxy_stop(data);
}

static void come(void *data)
{
	late = caller_open(data, "bounded_staleness", "late");
	late->on_answer = ask;
}

/* Whether the rule counts the end of the caller's connection. */
static bool is_counted(uint64_t stop_us)
{
	return late->ended && late->waiting &&
	       late->ended_us > late->sent_us + SLACK_US &&
	       late->ended_us < late->sent_us + TIMEOUT_MS * MS &&
	       late->ended_us < stop_us + GRACE_US * 5 / 6;
}

int main(int argc, char **argv)
{
	bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
	struct proxy *first;
	struct caller *warm;
	uint64_t stop_us;

	if (argc < 2)
		return CASE_NOT_RUN;
	sim_init(argv[1]);
	server_add("i-1", true);
	server_add("i-2", false);
	server_add("i-3", false);
	config_put(1, TIMEOUT_MS);
	first = proxy_add("frontend-1");
	proxy_add("frontend-2");
	sim_start_proxies();
	warm = caller_open(first, "primary", "warm");
	sim_run_until(sim_now() + SEC);
	caller_send(warm, "WRITE trip boiler");
	sim_run_until(sim_now() + 4 * SEC);
	if (warm->waiting || strcmp(warm->code, "COMPLETE"))
		sim_end(CASE_NOT_RUN, "the first write was not served");
	caller_close(warm);
	/* Right after a question of the balancer: the next two are misses. */
	stop_us = first->asked_us + SEC + 20 * MS;
	while (stop_us < sim_now())
		stop_us += SEC;
	if (trouble)
		sim_at(stop_us, stop, first);
	sim_at(stop_us + SENT_AFTER_US, come, first);
	sim_run_until(stop_us + GRACE_US + 2 * SEC);
	if (!late || !late->n_sent)
		sim_end(CASE_NOT_RUN, "the caller could not ask");
	if (!late->waiting && !strcmp(late->code, "COMPLETE"))
		sim_end(CASE_HELD, "the read was answered");
	if (!is_counted(stop_us))
		sim_end(CASE_HELD, "the rule doesn't count this end");
	sim_end(CASE_BROKEN,
		"a read that servers were at work on got no answer");
}
