#include "args.h"
#include "cluster_private.h"

/* Starts the fault proxy, with a route to each server. */
bool cluster_start_faults(struct cluster *c, struct err *err)
{
	GPtrArray *args = args_create();
	JsonObject *routes;
	unsigned i;

	args_add(args, "--control");
	args_add(args, ANY_PORT);
	for (i = 0; i < c->n_servers; i++) {
		args_add(args, "--route");
		args_add(args, "%s=" ANY_PORT ">127.0.0.1:%d",
			 c->servers[i].name, c->servers[i].port);
	}
	c->faults = args_start("celeryquay-faultproxy", args, err);
	if (!c->faults)
		return false;
	c->faults_control = (int)child_ready_int(c->faults, "control");
	routes =
		json_object_get_object_member(child_ready(c->faults), "routes");
	for (i = 0; i < c->n_servers; i++)
		c->servers[i].route_port = (int)json_object_get_int_member(
			routes, c->servers[i].name);
	return true;
}

/*
 * Adds a route to the fault proxy, or gives an existing route a new target.
 * Returns the port on which the route listens, 0 on failure.
 */
int cluster_route(struct cluster *c, const char *name, int target)
{
	char *body = g_strdup_printf("{\"name\":\"%s\","
				     "\"target\":\"127.0.0.1:%d\"}",
				     name, target);
	struct http_call call = { .body = body };
	struct http_reply reply = { 0 };
	int port = 0;

	http_call(c->http, c->faults_control, "/route", &call, &reply);
	if (reply.status == 200 && reply.json)
		port = (int)json_object_get_int_member_with_default(reply.json,
								    "port", 0);
	http_reply_clear(&reply);
	g_free(body);
	return port;
}

/* Adds or updates the routes "peer-NAME" and "store-NAME" of a proxy. */
bool cluster_add_proxy_routes(struct cluster *c, struct cluster_proxy *p)
{
	char *name = g_strconcat("store-", p->name, NULL);

	p->store = cluster_route(c, name, c->store_port);
	g_free(name);
	name = g_strconcat("peer-", p->name, NULL);
	p->announce = cluster_route(c, name, p->peer);
	g_free(name);
	return p->store && p->announce;
}
