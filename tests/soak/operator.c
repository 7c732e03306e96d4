#include "operator.h"

#include "later.h"

static unsigned last_version; /* 0: none was written */

/* The same profiles each time; only the version differs. */
unsigned operator_put_config(struct store *s, const struct groups *g)
{
	static const char *const kinds[][2] = {
		{ "primary", "primary" },
		{ "bounded", "bounded_staleness" },
		{ "own", "read_your_writes" },
	};
	GString *routes = g_string_new(NULL), *services = g_string_new(NULL);
	char *text;
	unsigned i, k;

	for (i = 0; i < g->n; i++) {
		g_string_append_printf(services,
				       "%s{\"name\":\"group%u\","
				       "\"maxConns\":%u,\"syncReplicas\":0}",
				       i ? "," : "", i, g->max_connections);
		for (k = 0; k < G_N_ELEMENTS(kinds); k++)
			g_string_append_printf(
				routes,
				"%s{\"databaseName\":\"%s%u\",\"service\":"
				"\"group%u\",\"type\":\"%s\","
				"\"maxStalenessMs\":%u,\"timeoutMs\":800,"
				"\"targetLatencyMs\":200,\"priority\":%u}",
				i || k ? "," : "", kinds[k][0], i, i,
				kinds[k][1], SOAK_AGE_US / MS, k);
	}
	text = g_strdup_printf("{\"version\":%u,\"routes\":[%s],"
			       "\"services\":[%s],"
			       "\"limits\":{\"txIdleMs\":2000}}",
			       ++last_version, routes->str, services->str);
	store_put(s, "op/config", text);
	g_free(text);
	g_string_free(routes, TRUE);
	g_string_free(services, TRUE);
	return last_version;
}

unsigned operator_version(void)
{
	return last_version;
}
