/*
 * celeryquay-demo, started by `make run`: a store stand-in, two databases of
 * three server stand-ins each, and by default three proxies, all on loopback.
 */
#include "cluster.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_USAGE 2

static bool parse_options(int *argc, char ***argv, int *lag_ms, int *proxies)
{
	GOptionEntry entries[] = {
		{ "lag-ms", 0, 0, G_OPTION_ARG_INT, lag_ms,
		  "Replication lag of the replicas", "MS" },
		{ "proxies", 0, 0, G_OPTION_ARG_INT, proxies,
		  "Number of proxies to start", "N" },
		G_OPTION_ENTRY_NULL,
	};
	GOptionContext *context =
		g_option_context_new("- start a demo cluster on loopback");
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	if (!ok) {
		fprintf(stderr, "celeryquay-demo: %s\n", error->message);
		g_error_free(error);
	}
	g_option_context_free(context);
	return ok && *proxies > 0 && *proxies <= CLUSTER_MAX_PROXIES;
}

/* Starts the cluster, prints the ready line and waits for SIGINT or SIGTERM. */
int main(int argc, char **argv)
{
	struct cluster_spec spec;
	struct err err = { 0 };
	struct cluster *c;
	int lag_ms = 50, proxies = 3;
	sigset_t set;
	int number;

	if (!parse_options(&argc, &argv, &lag_ms, &proxies))
		return EXIT_USAGE;
	sigemptyset(&set);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGTERM);
	cluster_default(&spec);
	spec.lag_ms = (unsigned)lag_ms;
	spec.n_proxies = (unsigned)proxies;
	c = cluster_start(&spec, &err);
	if (!c) {
		fprintf(stderr, "celeryquay-demo: %s\n", err.message);
		return EXIT_FAILURE;
	}
	/* Blocked after the children's start, since they inherit the mask. */
	sigprocmask(SIG_BLOCK, &set, NULL);
	cluster_print_ready(c);
	sigwait(&set, &number);
	cluster_destroy(c);
	return EXIT_SUCCESS;
}
