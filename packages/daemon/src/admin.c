#define LOG_MODULE "admin"
#include "access.h"
#include "admin_private.h"
#include "databases.h"
#include "planned_move.h"
#include "planned_stop.h"
#include "store_sync.h"
#include "survey.h"

#include <celeryquay/base/log.h>
#include <celeryquay/base/version.h>
#include <json-glib/json-glib.h>

#include <inttypes.h>
#include <string.h>

#define TYPE_JSON "application/json"
#define TYPE_METRICS "text/plain; version=0.0.4"

struct admin {
	struct node *node;
	uint64_t started_at_us;
};

struct admin *admin_create(struct node *node)
{
	struct admin *a = g_new0(struct admin, 1);

	a->node = node;
	a->started_at_us = node_now_us();
	return a;
}

/* Does not answer calls that are still pending. */
void admin_destroy(struct admin *a)
{
	g_free(a);
}

/*
 * Answers 503 while the proxy starts or stops, so that the load balancer sends
 * no callers here. A proxy without a signing key refuses every request, so it
 * counts as starting.
 */
static void reply_health(struct admin *a, struct front_request *fr)
{
	if (planned_stop_begun(a->node->stop))
		front_reply(fr, 503, TYPE_JSON,
			    STR("{\"status\":\"stopping\"}\n"));
	else if (!confsync_ready(a->node->confsync) ||
		 !model_signing_key(a->node->model) ||
		 !members_joined(a->node->members))
		front_reply(fr, 503, TYPE_JSON,
			    STR("{\"status\":\"starting\"}\n"));
	else
		front_reply(fr, 200, TYPE_JSON, STR("{\"status\":\"ok\"}\n"));
}

static void set_counter(struct node *node, enum counter_kind kind,
			const char *name, int64_t value, const char *help)
{
	counter_set(counter_get(node->counters, kind, name, NULL, help), value);
}

static void reply_metrics(struct admin *a, struct front_request *fr)
{
	struct node *node = a->node;
	GString *out = g_string_new(NULL);

	databases_update_counters(node->databases);
	set_counter(node, COUNTER_GAUGE, "celeryquay_members",
		    members_count(node->members),
		    "Members of the fleet known to this proxy.");
	set_counter(node, COUNTER_GAUGE, "celeryquay_caller_connections",
		    front_connections(node->front),
		    "Open connections from callers.");
	set_counter(node, COUNTER_GAUGE, "celeryquay_upstream_connections",
		    pg_open_connections(node->upstream),
		    "Open connections to database servers.");
	set_counter(node, COUNTER_GAUGE, "celeryquay_config_revision",
		    (int64_t)confsync_revision(node->confsync),
		    "Revision up to which the configuration is in force.");
	set_counter(node, COUNTER_COUNT, "celeryquay_store_calls_total",
		    (int64_t)store_calls(node->store),
		    "Calls to the platform's store.");
	set_counter(node, COUNTER_COUNT, "celeryquay_gossip_bytes_sent_total",
		    (int64_t)members_bytes_sent(node->members),
		    "Bytes of membership messages sent.");
	set_counter(node, COUNTER_COUNT, "celeryquay_config_bytes_sent_total",
		    (int64_t)confsync_bytes_sent(node->confsync),
		    "Bytes of configuration messages sent.");
	counter_write(node->counters, out);
	front_reply(fr, 200, TYPE_METRICS, str_from_gstring(out));
	g_string_free(out, TRUE);
}

static const char *state_name(enum member_state state)
{
	static const char *const names[] = {
		[MEMBER_ALIVE] = "alive",     [MEMBER_SUSPECT] = "suspect",
		[MEMBER_LEAVING] = "leaving", [MEMBER_LEFT] = "left",
		[MEMBER_DEAD] = "dead",
	};

	return names[state];
}

static void append_members(struct node *node, GString *out)
{
	unsigned i, n = members_count(node->members);

	g_string_append_c(out, '[');
	for (i = 0; i < n; i++) {
		const struct member_info *m = members_at(node->members, i);

		g_string_append_printf(
			out,
			"%s{\"name\":\"%s\",\"host\":\"%s\",\"peer_port\":%u,"
			"\"data_centre\":\"%s\",\"region\":\"%s\","
			"\"state\":\"%s\",\"incarnation\":%" PRIu64 "}",
			i ? "," : "", m->name, m->host, m->peer_port,
			m->data_centre, m->region, state_name(m->state),
			m->incarnation);
	}
	g_string_append_c(out, ']');
}

static void reply_status(struct admin *a, struct front_request *fr)
{
	struct node *node = a->node;
	uint64_t now = node_now_us();
	GString *out = g_string_new(NULL);

	g_string_append_printf(
		out,
		"{\"name\":\"%s\",\"version\":\"" CQ_VERSION "\","
		"\"data_centre\":\"%s\",\"region\":\"%s\",\"uptime_ms\":%" PRIu64
		",\"stopping\":%s,\"config_revision\":%" PRIu64
		",\"store_watcher\":%s,\"members\":",
		node->settings->name, node->settings->data_centre,
		node->settings->region,
		(now - a->started_at_us) / USEC_PER_MSEC,
		planned_stop_begun(node->stop) ? "true" : "false",
		confsync_revision(node->confsync),
		confsync_is_watcher(node->confsync) ? "true" : "false");
	append_members(node, out);
	g_string_append(out, ",\"databases\":");
	databases_write_status(node->databases, out, now);
	g_string_append_c(out, '}');
	admin_reply_json(fr, out);
}

static void on_survey_done(void *user, GString *json)
{
	struct front_request *fr = admin_call_end(user);
	GString *out;

	if (!fr)
		return;
	out = g_string_new("{\"members\":");
	g_string_append_len(out, json->str, (gssize)json->len);
	g_string_append_c(out, '}');
	admin_reply_json(fr, out);
}

static void on_move_started(void *user, const struct err *err)
{
	struct admin_call *call = user;
	struct front_request *fr;

	log_decision("move", "database", call->key, "operator",
		     call->operator_name, "result",
		     err->code ? err->message : "begun", NULL);
	fr = admin_call_end(call);
	if (fr && err->code)
		admin_reply_error(fr, err->code, err->message);
	else if (fr)
		front_reply(fr, 202, TYPE_JSON, STR("{\"moving\":true}\n"));
}

/*
 * POST /v1/move/SERVICE/DATABASE/SERVER: starts a planned move of the primary
 * to the server. path is what follows /v1/move/.
 */
static void start_move(struct admin *a, struct front_request *fr,
		       const char *path, const char *operator_name)
{
	char *database = g_strdup(path);
	char *server = strrchr(database, '/');

	if (!server || strchr(database, '/') == server) {
		admin_reply_error(fr, ERR_NO_SUCH_PATH,
				  "expected /v1/move/SERVICE/DATABASE/SERVER");
		goto out;
	}
	*server++ = '\0';
	planned_move_start(a->node->planned_move, database, server,
			   on_move_started,
			   admin_call_create(fr, path, operator_name));
out:
	g_free(database);
}

static void route(struct admin *a, struct front_request *fr, struct str method,
		  const char *path, struct str body, const char *operator_name)
{
	static const char items[] = "/v1/items";
	static const char move[] = "/v1/move/";

	if (!strcmp(path, "/metrics"))
		reply_metrics(a, fr);
	else if (!strcmp(path, "/status"))
		reply_status(a, fr);
	else if (!strcmp(path, "/v1/fleet"))
		survey_start(a->node->survey, on_survey_done,
			     admin_call_create(fr, "fleet", operator_name));
	else if (g_str_has_prefix(path, items))
		admin_items_on_request(a->node, fr, method,
				       path + strlen(items), body,
				       operator_name);
	else if (g_str_has_prefix(path, move) && str_eq(method, STR("POST")))
		start_move(a, fr, path + strlen(move), operator_name);
	else
		admin_reply_error(fr, ERR_NO_SUCH_PATH, path);
}

/* Handles one request on the operators' port. */
void admin_on_request(struct admin *a, struct front_request *fr,
		      struct str method, struct str path, struct str token,
		      struct str body)
{
	struct err err = { 0 };
	const char *operator_name;
	char *text;

	if (str_eq(path, STR("/health"))) {
		reply_health(a, fr);
		return;
	}
	operator_name = access_operator(a->node, token, &err);
	if (!operator_name) {
		admin_reply_error(fr, err.code, err.message);
		return;
	}
	text = str_dup(path);
	route(a, fr, method, text, body, operator_name);
	g_free(text);
}
