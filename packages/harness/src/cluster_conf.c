#include "cluster_private.h"

#include <string.h>

static void add_servers_json(const struct cluster *c, unsigned db, GString *out)
{
	static const char *const centres[] = { "hall-a", "hall-b", "hall-c" };
	const struct cluster_database *conf = &c->spec.databases[db];
	unsigned i;

	for (i = 0; i < CLUSTER_SERVERS_PER_DATABASE; i++) {
		const struct cluster_server *s =
			&c->servers[db * CLUSTER_SERVERS_PER_DATABASE + i];

		g_string_append_printf(
			out,
			"%s{\"name\":\"%s\",\"host\":\"127.0.0.1\","
			"\"port\":%d,\"data_centre\":\"%s\","
			"\"region\":\"fi-south\",\"slots\":%u,"
			"\"connections\":%u,\"state\":\"active\"}",
			i ? "," : "", s->name, s->route_port, centres[i],
			conf->slots, conf->connections);
	}
}

static const char profiles_json[] =
	"\"/celeryquay/v1/profile/write\":{\"access\":\"write\","
	"\"idempotent\":false,\"deadline_ms\":5000,\"change\":\"start\"},"
	"\"/celeryquay/v1/profile/read-any\":{\"access\":\"read\","
	"\"max_age_ms\":5000,\"idempotent\":true,\"deadline_ms\":5000,"
	"\"change\":\"start\"},"
	"\"/celeryquay/v1/profile/read-fresh\":{\"access\":\"read\","
	"\"max_age_ms\":0,\"idempotent\":true,\"deadline_ms\":5000,"
	"\"change\":\"start\"},";

static void add_caller_json(const struct cluster *c, GString *out)
{
	char *hash =
		g_compute_checksum_for_string(G_CHECKSUM_SHA256, c->token, -1);
	guchar secret[32];
	char *base64;
	unsigned i;

	for (i = 0; i < sizeof(secret); i++)
		secret[i] = (guchar)g_random_int_range(0, 256);
	base64 = g_base64_encode(secret, sizeof(secret));
	g_string_append_printf(
		out,
		"\"/celeryquay/v1/caller/demo\":{\"token_sha256\":[\"%s\"],"
		"\"services\":[\"*\"],\"profiles\":[\"*\"],\"share\":100,"
		"\"operator\":true,\"change\":\"start\"},"
		"\"/celeryquay/v1/key/k1\":{\"secret\":\"%s\","
		"\"state\":\"signing\",\"change\":\"start\"}",
		hash, base64);
	g_free(base64);
	g_free(hash);
}

/* The store's initial keys and values as a JSON object; g_free() it. */
char *cluster_configuration(const struct cluster *c)
{
	GString *out = g_string_new("{");
	unsigned i;

	g_string_append(out, profiles_json);
	for (i = 0; i < c->spec.n_databases; i++) {
		g_string_append_printf(out,
				       "\"/celeryquay/v1/database/%s\":"
				       "{\"servers\":[",
				       c->database_names[i]);
		add_servers_json(c, i, out);
		g_string_append(out, "],\"user\":\"celeryquay\","
				     "\"dbname\":\"main\",\"reserve\":2,"
				     "\"change\":\"start\"},");
	}
	add_caller_json(c, out);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}

static void add_listener(GString *out, const struct cluster *c, const char *key,
			 int port)
{
	g_string_append_printf(
		out, "\"%s\":{\"host\":\"127.0.0.1\",\"port\":%d", key, port);
	if (c->spec.tls_certificate)
		g_string_append_printf(out,
				       ",\"tls_certificate\":\"%s\","
				       "\"tls_key\":\"%s\"",
				       c->spec.tls_certificate,
				       c->spec.tls_key);
	g_string_append(out, "},");
}

/* The port on which the other proxies connect to this one. */
static int peer_route(const struct cluster_proxy *p)
{
	return p->announce ? p->announce : p->peer;
}

static void add_seeds(GString *out, const struct cluster *c, unsigned i)
{
	const char *comma = "";
	unsigned j;

	g_string_append(out, ",\"seeds\":[");
	for (j = 0; j < c->spec.n_proxies; j++) {
		if (j == i || !c->proxies[j].peer)
			continue;
		g_string_append_printf(out, "%s\"127.0.0.1:%d\"", comma,
				       peer_route(&c->proxies[j]));
		comma = ",";
	}
	g_string_append_c(out, ']');
}

static void add_peers(GString *out, const struct cluster *c, unsigned i)
{
	const struct cluster_proxy *p = &c->proxies[i];
	const struct cluster_keys *keys = c->spec.keys;

	g_string_append_printf(out,
			       "\"peers\":{\"host\":\"127.0.0.1\","
			       "\"port\":%d",
			       p->peer);
	if (p->announce)
		g_string_append_printf(out, ",\"announce\":\"127.0.0.1:%d\"",
				       p->announce);
	if (keys)
		g_string_append_printf(out,
				       ",\"curve_secret\":\"%s\","
				       "\"curve_public\":\"%s\","
				       "\"curve_allowed\":%s",
				       keys[i].secret, keys[i].public,
				       keys[i].allowed);
	add_seeds(out, c, i);
	g_string_append(out, "}");
}

/* The settings file of proxy `i`; free with g_free(). */
char *cluster_settings(const struct cluster *c, unsigned i)
{
	static const char *const centres[] = { "hall-a", "hall-b", "hall-c",
					       "hall-d" };
	const struct cluster_proxy *p = &c->proxies[i];
	GString *out = g_string_new(NULL);

	g_string_append_printf(out,
			       "{\"name\":\"%s\",\"data_centre\":\"%s\","
			       "\"region\":\"fi-south\",",
			       p->name, centres[i % G_N_ELEMENTS(centres)]);
	add_listener(out, c, "callers", p->http);
	add_listener(out, c, "operators", p->admin);
	g_string_append_printf(out,
			       "\"store\":{\"urls\":"
			       "[\"http://127.0.0.1:%d\"]},",
			       p->store ? p->store : c->store_port);
	add_peers(out, c, i);
	if (c->spec.extra_settings)
		g_string_append_printf(out, ",%s", c->spec.extra_settings);
	g_string_append_c(out, '}');
	return g_string_free(out, FALSE);
}
