#include "args.h"
#include "cluster_private.h"

#include <errno.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Limit for all proxies together; only the pauses between polls count. */
#define HEALTH_TIMEOUT_MS 60000
#define HEALTH_POLL_INTERVAL_US 20000

static const char miles_sql[] =
	"CREATE TABLE trip(id INTEGER PRIMARY KEY, purpose TEXT, miles REAL);";
static const char codes_sql[] =
	"CREATE TABLE code(id INTEGER PRIMARY KEY, brand TEXT, code TEXT);";

/* Default cluster: two databases and three proxies. */
void cluster_default(struct cluster_spec *spec)
{
	*spec = (struct cluster_spec){
		.n_databases = 2,
		.n_proxies = 3,
		.connect_delay_ms = 10,
	};
	spec->databases[0] = (struct cluster_database){
		.service = "ledger",
		.name = "miles-1",
		.init_sql = miles_sql,
		.slots = 3,
		.connections = 20,
	};
	spec->databases[1] = (struct cluster_database){
		.service = "codebook",
		.name = "codes-1",
		.init_sql = codes_sql,
		.slots = 2,
		.connections = 30,
	};
}

static char *write_file(struct cluster *c, const char *name, const char *text)
{
	char *path = g_build_filename(c->dir, name, NULL);

	g_file_set_contents(path, text, -1, NULL);
	return path;
}

static const struct cluster_database *database_of(const struct cluster *c,
						  unsigned server)
{
	return &c->spec.databases[server / CLUSTER_SERVERS_PER_DATABASE];
}

static void add_role_args(struct cluster *c, GPtrArray *args, unsigned i,
			  unsigned primary_term)
{
	const struct cluster_database *db = database_of(c, i);
	char *name, *path;

	if (!primary_term) {
		args_add(args, "--follow");
		args_add(args, "%s-a", db->name);
		return;
	}
	name = g_strdup_printf("%s.sql", db->name);
	path = write_file(c, name, db->init_sql);
	args_add(args, "--primary-term");
	args_add(args, "%u", primary_term);
	args_add(args, "--init");
	args_add(args, "%s", path);
	g_free(path);
	g_free(name);
}

static void add_server_args(struct cluster *c, GPtrArray *args, unsigned i)
{
	struct cluster_server *s = &c->servers[i];

	args_add(args, "--name");
	args_add(args, "%s", s->name);
	args_add(args, "--listen");
	args_add(args, "127.0.0.1:%d", s->port);
	args_add(args, "--control");
	args_add(args, "127.0.0.1:%d", s->control);
	args_add(args, "--connection-limit");
	args_add(args, "%u", database_of(c, i)->connections);
	args_add(args, "--connect-delay-ms");
	args_add(args, "%u", c->spec.connect_delay_ms);
	args_add(args, "--lag-ms");
	args_add(args, "%u", c->spec.lag_ms);
	if (c->spec.workers) {
		args_add(args, "--workers");
		args_add(args, "%u", c->spec.workers);
		args_add(args, "--statement-cost-us");
		args_add(args, "%u", c->spec.statement_cost_us);
	}
	if (c->spec.durable) {
		args_add(args, "--state-dir");
		args_add(args, "%s/%s", c->dir, s->name);
	}
}

/* Sends a server the addresses of all servers of its database. */
static bool send_peer_addresses(struct cluster *c, unsigned i)
{
	unsigned first = i - i % CLUSTER_SERVERS_PER_DATABASE;
	GString *body = g_string_new("{");
	unsigned j;
	bool ok;

	for (j = first; j < first + CLUSTER_SERVERS_PER_DATABASE; j++)
		g_string_append_printf(body, "%s\"%s\":\"127.0.0.1:%d\"",
				       j > first ? "," : "", c->servers[j].name,
				       c->servers[j].port);
	g_string_append_c(body, '}');
	ok = cluster_control(c, c->servers[i].control, "/peers", body->str);
	g_string_free(body, TRUE);
	return ok;
}

/* Reserves the ports of a process before its first start; it keeps them. */
static bool reserve_ports(struct cluster *c, int *const *ports, unsigned n,
			  struct err *err)
{
	unsigned i;

	for (i = 0; i < n; i++) {
		if (!*ports[i])
			*ports[i] = ports_reserve(c->ports, err);
		if (!*ports[i])
			return false;
	}
	return true;
}

/* Starts or restarts a server; primary_term 0: as replica of the first one. */
bool cluster_start_server(struct cluster *c, unsigned i, unsigned primary_term,
			  struct err *err)
{
	struct cluster_server *s = &c->servers[i];
	int *const ports[] = { &s->port, &s->control };
	bool restarted = s->port != 0;
	GPtrArray *args;
	char *path;

	child_destroy(s->child);
	s->child = NULL;
	if (!reserve_ports(c, ports, G_N_ELEMENTS(ports), err))
		return false;
	if (c->spec.durable) {
		path = g_build_filename(c->dir, s->name, NULL);
		g_mkdir_with_parents(path, 0700);
		g_free(path);
	}
	args = args_create();
	add_server_args(c, args, i);
	add_role_args(c, args, i, primary_term);
	s->child = args_start("celeryquay-standin-server", args, err);
	if (!s->child)
		return false;
	return !restarted || send_peer_addresses(c, i);
}

static bool start_servers(struct cluster *c, struct err *err)
{
	unsigned i;

	for (i = 0; i < c->n_servers; i++) {
		struct cluster_server *s = &c->servers[i];

		g_snprintf(s->name, sizeof(s->name), "%s-%c",
			   database_of(c, i)->name,
			   'a' + (int)(i % CLUSTER_SERVERS_PER_DATABASE));
		s->database =
			c->database_names[i / CLUSTER_SERVERS_PER_DATABASE];
		if (!cluster_start_server(
			    c, i, i % CLUSTER_SERVERS_PER_DATABASE ? 0 : 1,
			    err))
			return false;
		s->route_port = s->port;
	}
	for (i = 0; i < c->n_servers; i++) {
		if (!send_peer_addresses(c, i)) {
			err_set(err, ERR_SYSTEM,
				"control call /peers to %s failed",
				c->servers[i].name);
			return false;
		}
	}
	return true;
}

static bool start_store(struct cluster *c, struct err *err)
{
	char *text = cluster_configuration(c);
	char *path = write_file(c, "configuration.json", text);
	GPtrArray *args = args_create();

	args_add(args, "--listen");
	args_add(args, ANY_PORT);
	args_add(args, "--control");
	args_add(args, ANY_PORT);
	args_add(args, "--load");
	args_add(args, "%s", path);
	c->store = args_start("celeryquay-standin-store", args, err);
	g_free(path);
	g_free(text);
	if (!c->store)
		return false;
	c->store_port = (int)child_ready_int(c->store, "http");
	c->store_control = (int)child_ready_int(c->store, "control");
	return true;
}

/* Starts or restarts a proxy; a restarted one keeps its ports. */
bool cluster_start_proxy(struct cluster *c, unsigned i, struct err *err)
{
	struct cluster_proxy *p = &c->proxies[i];
	int *const ports[] = { &p->http, &p->admin, &p->peer };
	char *text, *name, *path;
	GPtrArray *args;

	child_destroy(p->child);
	p->child = NULL;
	if (!reserve_ports(c, ports, G_N_ELEMENTS(ports), err))
		return false;
	g_snprintf(p->name, sizeof(p->name), "proxy-%u", i + 1);
	if (c->spec.peer_faults && !p->announce &&
	    !cluster_add_proxy_routes(c, p)) {
		err_set(err, ERR_SYSTEM,
			"the fault proxy could not add the routes of %s",
			p->name);
		return false;
	}
	text = cluster_settings(c, i);
	name = g_strdup_printf("%s.json", p->name);
	path = write_file(c, name, text);
	args = args_create();
	args_add(args, "--settings");
	args_add(args, "%s", path);
	p->child = args_start("celeryquayd", args, err);
	g_free(path);
	g_free(name);
	g_free(text);
	if (!p->child)
		return false;
	return !c->spec.peer_faults || cluster_add_proxy_routes(c, p);
}

static void set_database_names(struct cluster *c)
{
	unsigned i;

	for (i = 0; i < c->spec.n_databases; i++)
		c->database_names[i] =
			g_strdup_printf("%s/%s", c->spec.databases[i].service,
					c->spec.databases[i].name);
	c->n_servers = c->spec.n_databases * CLUSTER_SERVERS_PER_DATABASE;
}

static bool start_proxies(struct cluster *c, struct err *err)
{
	unsigned i;

	for (i = 0; i < c->spec.n_proxies; i++) {
		if (!cluster_start_proxy(c, i, err))
			return false;
	}
	if (cluster_wait_healthy(c))
		return true;
	err_set(err, ERR_SYSTEM, "the proxies did not become healthy");
	return false;
}

static bool needs_fault_proxy(const struct cluster_spec *spec)
{
	return spec->faults || spec->peer_faults;
}

/* Starts all and waits until every proxy is healthy; NULL and err if not. */
struct cluster *cluster_start(const struct cluster_spec *spec, struct err *err)
{
	struct cluster *c = g_new0(struct cluster, 1);

	c->spec = *spec;
	c->dir = g_dir_make_tmp("celeryquay-XXXXXX", NULL);
	c->http = http_create();
	c->ports = ports_create();
	g_snprintf(c->token, sizeof(c->token), "%08x%08x%08x%08x",
		   g_random_int(), g_random_int(), g_random_int(),
		   g_random_int());
	set_database_names(c);
	if (start_servers(c, err) &&
	    (!needs_fault_proxy(spec) || cluster_start_faults(c, err)) &&
	    start_store(c, err) && start_proxies(c, err))
		return c;
	cluster_destroy(c);
	return NULL;
}

static void remove_tree(const char *path)
{
	GDir *dir = g_dir_open(path, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		char *child = g_build_filename(path, name, NULL);

		if (g_file_test(child, G_FILE_TEST_IS_DIR))
			remove_tree(child);
		else
			g_unlink(child);
		g_free(child);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(path);
}

/* Stops every process, the proxies first by SIGKILL; removes the directory. */
void cluster_destroy(struct cluster *c)
{
	unsigned i;

	if (!c)
		return;
	for (i = 0; i < c->spec.n_proxies; i++) {
		if (c->proxies[i].child)
			child_signal(c->proxies[i].child, SIGKILL);
		child_destroy(c->proxies[i].child);
	}
	child_destroy(c->faults);
	for (i = 0; i < c->n_servers; i++)
		child_destroy(c->servers[i].child);
	child_destroy(c->store);
	http_destroy(c->http);
	ports_destroy(c->ports);
	for (i = 0; i < c->spec.n_databases; i++)
		g_free(c->database_names[i]);
	remove_tree(c->dir);
	g_free(c->dir);
	g_free(c);
}

/* POSTs a control call to a control port; whether the status was 200. */
bool cluster_control(struct cluster *c, int port, const char *path,
		     const char *body)
{
	struct http_call call = { .body = body };
	struct http_reply reply = { 0 };
	bool ok;

	http_call(c->http, port, path, &call, &reply);
	ok = reply.status == 200;
	http_reply_clear(&reply);
	return ok;
}

/* The term of a server that reports the role primary, else 0. */
static int64_t primary_term(struct cluster *c, const struct cluster_server *s)
{
	struct http_call call = { .timeout_ms = 2000 };
	struct http_reply reply = { 0 };
	JsonObject *status;
	int64_t term = 0;

	http_call(c->http, s->control, "/state", &call, &reply);
	if (reply.status != 200 || !reply.json)
		goto out;
	status = json_object_get_object_member(reply.json, "status");
	if (!strcmp(json_object_get_string_member(status, "role"), "primary"))
		term = json_object_get_int_member(status, "term");
out:
	http_reply_clear(&reply);
	return term;
}

/* The server that reports the role primary with the highest term, or -1. */
int cluster_primary(struct cluster *c, const char *database)
{
	int64_t best_term = 0;
	int best = -1;
	unsigned i;

	for (i = 0; i < c->n_servers; i++) {
		int64_t term;

		if (strcmp(c->servers[i].database, database) != 0 ||
		    !child_alive(c->servers[i].child))
			continue;
		term = primary_term(c, &c->servers[i]);
		if (term > best_term) {
			best_term = term;
			best = (int)i;
		}
	}
	return best;
}

static bool is_healthy(struct cluster *c, unsigned i)
{
	struct http_call call = {
		.timeout_ms = 2000,
		.ca_file = c->spec.tls_certificate,
	};
	struct http_reply reply = { 0 };
	bool ok;

	http_call(c->http, c->proxies[i].admin, "/health", &call, &reply);
	ok = reply.status == 200;
	http_reply_clear(&reply);
	return ok;
}

/*
 * Waits until every proxy's /health gives 200; false after a wide limit, 60 s
 * of pauses between polls.
 */
bool cluster_wait_healthy(struct cluster *c)
{
	unsigned i, waited_us = 0;

	for (i = 0; i < c->spec.n_proxies; i++) {
		while (!is_healthy(c, i)) {
			if (waited_us >= HEALTH_TIMEOUT_MS * 1000)
				return false;
			usleep(HEALTH_POLL_INTERVAL_US);
			waited_us += HEALTH_POLL_INTERVAL_US;
		}
	}
	return true;
}

static void print_proxies(const struct cluster *c)
{
	unsigned i;

	for (i = 0; i < c->spec.n_proxies; i++)
		printf("%s{\"name\":\"%s\",\"pid\":%d,\"http\":%d,"
		       "\"admin\":%d}",
		       i ? "," : "", c->proxies[i].name,
		       (int)child_pid(c->proxies[i].child), c->proxies[i].http,
		       c->proxies[i].admin);
}

static void print_servers(const struct cluster *c)
{
	unsigned i;

	for (i = 0; i < c->n_servers; i++)
		printf("%s{\"database\":\"%s\",\"name\":\"%s\",\"pid\":%d,"
		       "\"port\":%d,\"control\":%d}",
		       i ? "," : "", c->servers[i].database, c->servers[i].name,
		       (int)child_pid(c->servers[i].child), c->servers[i].port,
		       c->servers[i].control);
}

/* Prints the ready line: one line of JSON on standard output. */
void cluster_print_ready(const struct cluster *c)
{
	printf("{\"ready\": true, \"proxies\": [");
	print_proxies(c);
	printf("], \"servers\": [");
	print_servers(c);
	printf("], \"store\": {\"pid\":%d,\"http\":%d,\"control\":%d}, "
	       "\"token\": \"%s\"}\n",
	       (int)child_pid(c->store), c->store_port, c->store_control,
	       c->token);
	fflush(stdout);
}
