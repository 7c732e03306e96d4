#define LOG_MODULE "node"
#include "node.h"
#include "admin.h"
#include "databases.h"
#include "entry.h"
#include "planned_move.h"
#include "planned_stop.h"
#include "remote.h"
#include "store_sync.h"
#include "survey.h"

#include <celeryquay/base/log.h>

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Periods of the timer, and of the checks that need not run at each tick. */
#define TICK_PERIOD_MS 5
#define SWEEP_PERIOD_US (20 * USEC_PER_MSEC)

/* Monotonic clock, in microseconds. */
uint64_t node_now_us(void)
{
	return uv_hrtime() / 1000;
}

/* Wall clock in ms since 1970, for values that outlive the process. */
uint64_t node_wall_ms(void)
{
	return (uint64_t)g_get_real_time() / USEC_PER_MSEC;
}

/* Whether the member is this node, by name. */
bool node_is_self(const struct node *node, const struct member_info *member)
{
	return !strcmp(member->name, node->settings->name);
}

static void on_front_request(void *ctx, struct front_request *fr,
			     struct request *request, struct str token,
			     struct str session)
{
	struct node *node = ctx;

	entry_on_request(node->entry, fr, request, token, session);
}

static void on_front_gone(void *ctx, struct front_request *fr)
{
	struct node_waiter *w = front_user(fr);

	(void)ctx;
	if (w)
		w->gone(w);
}

static void on_front_admin(void *ctx, struct front_request *fr,
			   struct str method, struct str path, struct str token,
			   struct str body)
{
	struct node *node = ctx;

	admin_on_request(node->admin, fr, method, path, token, body);
}

static const struct front_events front_events = {
	.request = on_front_request,
	.gone = on_front_gone,
	.admin = on_front_admin,
};

static void send_gossip(void *ctx, const struct member_info *to,
			GBytes *message)
{
	struct node *node = ctx;

	peer_send(node->peer, to, PEER_GOSSIP, 0, message);
}

static void on_member_changed(void *ctx, const struct member_info *member)
{
	struct node *node = ctx;
	bool gone = member->state == MEMBER_DEAD ||
		    member->state == MEMBER_LEFT;

	LOG_INFO("member %s is now in state %d", member->name,
		 (int)member->state);
	if (node->databases)
		databases_mark_stale(node->databases);
	if (gone)
		peer_close_link(node->peer, member->name);
	else
		peer_update_link(node->peer, member);
}

static const struct member_ops member_ops = {
	.send = send_gossip,
	.changed = on_member_changed,
};

static void send_conf(void *ctx, const struct member_info *to, GBytes *message)
{
	struct node *node = ctx;

	peer_send(node->peer, to, PEER_CONF, 0, message);
}

static void seed_from_item(struct node *node, const struct item *item)
{
	const struct member_conf *m = &item->u.member;

	if (item->kind == ITEM_MEMBER && !item->removed && !m->leaving)
		members_add_seed(node->members, m->host, m->peer_port,
				 node_now_us());
}

static void on_item_in_force(void *ctx, struct item *item)
{
	struct node *node = ctx;
	char revision[32];

	g_snprintf(revision, sizeof(revision), "%" PRIu64, item->revision);
	log_decision("config", "item", item->key, "revision", revision, "what",
		     item->removed ? "removed" : "in force", NULL);
	seed_from_item(node, item);
	if (node->databases)
		databases_mark_stale(node->databases);
}

static void on_item_rejected(void *ctx, const char *key, uint64_t revision,
			     const struct err *err)
{
	struct node *node = ctx;

	LOG_WARN("item %s at revision %" PRIu64
		 " rejected, the last valid value stays in force: %s",
		 key, revision, err->message);
	counter_add(counter_get(node->counters, COUNTER_COUNT,
				"celeryquay_config_rejected_total", NULL,
				"Configuration items rejected as invalid."),
		    1);
}

static const struct confsync_ops confsync_ops = {
	.send = send_conf,
	.in_force = on_item_in_force,
	.rejected = on_item_rejected,
};

static struct member_info make_self(const struct node *node)
{
	const struct node_settings *s = node->settings;
	struct member_info self = {
		.peer_port = s->announce_port ? s->announce_port :
						peer_port(node->peer),
		.incarnation = node->incarnation,
		.version_min = PEER_VERSION_MIN,
		.version_max = PEER_VERSION_MAX,
		.state = MEMBER_ALIVE,
	};

	g_strlcpy(self.name, s->name, sizeof(self.name));
	g_strlcpy(self.host, s->announce_host ? s->announce_host : s->peer_host,
		  sizeof(self.host));
	g_strlcpy(self.data_centre, s->data_centre, sizeof(self.data_centre));
	g_strlcpy(self.region, s->region, sizeof(self.region));
	if (s->curve_public)
		g_strlcpy(self.curve_public, s->curve_public,
			  sizeof(self.curve_public));
	return self;
}

static bool create_peer(struct node *node, struct err *err)
{
	const struct node_settings *s = node->settings;
	struct peer_settings settings = {
		.host = s->peer_host,
		.port = s->peer_port,
		.name = s->name,
		.incarnation = node->incarnation,
		.curve_secret = s->curve_secret,
		.curve_public = s->curve_public,
		.allowed = (const char *const *)s->curve_allowed,
	};

	node->peer = peer_create(node->loop, &settings, &remote_peer_events,
				 node, err);
	return node->peer != NULL;
}

static void create_fleet(struct node *node, uint64_t now)
{
	struct member_info self = make_self(node);
	struct member_settings members;
	struct confsync_settings confsync;
	unsigned i;

	member_settings_default(&members);
	confsync_settings_default(&confsync);
	node->members = members_create(&members, &self, &member_ops, node,
				       node->rng, now);
	node->confsync = confsync_create(&confsync, node->members, node->model,
					 &confsync_ops, node, node->rng, now);
	for (i = 0; i < node->settings->n_seeds; i++)
		members_add_seed(node->members, node->settings->seeds[i].host,
				 node->settings->seeds[i].port, now);
}

static struct front_listener make_listener(const struct listen_settings *s)
{
	return (struct front_listener){
		.host = s->host,
		.port = s->port,
		.tls_certificate = s->tls_certificate,
		.tls_key = s->tls_key,
	};
}

static bool create_front(struct node *node, struct err *err)
{
	const struct node_settings *s = node->settings;
	struct front_settings settings = {
		.callers = make_listener(&s->callers),
		.operators = make_listener(&s->operators),
		.max_body_bytes = s->max_body_bytes,
		.header_timeout_us = s->header_timeout_us,
		.max_connections = s->max_connections,
	};

	node->front =
		front_create(node->loop, &settings, &front_events, node, err);
	return node->front != NULL;
}

static void on_tick(uv_timer_t *timer)
{
	struct node *node = timer->data;
	uint64_t now = node_now_us();

	members_tick(node->members, now);
	confsync_tick(node->confsync, now);
	store_sync_tick(node->store_sync, now);
	databases_tick(node->databases, now);
	if (now - node->swept_at_us >= SWEEP_PERIOD_US) {
		node->swept_at_us = now;
		remote_tick(node->remote, now);
		entry_sweep(node->entry, now);
		survey_tick(node->survey, now);
		planned_move_tick(node->planned_move, now);
	}
	planned_stop_tick(node->stop, now);
	log_sink_flush_due(now);
}

static void start_tick(struct node *node)
{
	uv_timer_init(node->loop, &node->tick);
	node->tick.data = node;
	uv_timer_start(&node->tick, on_tick, 0, TICK_PERIOD_MS);
}

static void create_components(struct node *node)
{
	node->databases = databases_create(node);
	node->entry = entry_create(node);
	node->store_sync = store_sync_create(node);
	node->admin = admin_create(node);
	node->stop = planned_stop_create(node);
}

static void set_identity(struct node *node)
{
	node->incarnation = node_wall_ms();
	g_snprintf(node->holder, sizeof(node->holder), "%s/%" PRIu64,
		   node->settings->name, node->incarnation);
}

/*
 * Creates a proxy and opens its listeners; the calling function runs the loop.
 * The settings must outlive the proxy. Returns NULL with ERR_SYSTEM if a port
 * can't be opened.
 */
struct node *node_create(uv_loop_t *loop, const struct node_settings *settings,
			 struct err *err)
{
	struct node *node = g_new0(struct node, 1);

	node->loop = loop;
	node->settings = settings;
	node->rng = g_rand_new();
	set_identity(node);
	node->counters = counter_set_create();
	node->model = model_create();
	node->remote = remote_create(node);
	node->survey = survey_create(node);
	node->planned_move = planned_move_create(node);
	if (!create_peer(node, err))
		goto err;
	create_fleet(node, node_now_us());
	node->upstream = pg_create(loop, &databases_upstream_events, node);
	node->store = store_create(loop,
				   (const char *const *)settings->store_urls,
				   settings->store_timeout_us);
	create_components(node);
	if (!create_front(node, err))
		goto err;
	start_tick(node);
	return node;
err:
	node_destroy(node);
	return NULL;
}

/*
 * Destroys the components, in about the reverse order of their creation.
 * Callers whose requests are still open get no reply.
 */
void node_destroy(struct node *node)
{
	if (!node)
		return;
	log_flush();
	if (node->tick.data)
		uv_close((uv_handle_t *)&node->tick, NULL);
	front_destroy(node->front);
	store_destroy(node->store);
	databases_destroy(node->databases);
	pg_destroy(node->upstream);
	planned_stop_destroy(node->stop);
	admin_destroy(node->admin);
	store_sync_destroy(node->store_sync);
	entry_destroy(node->entry);
	confsync_destroy(node->confsync);
	members_destroy(node->members);
	peer_destroy(node->peer);
	planned_move_destroy(node->planned_move);
	survey_destroy(node->survey);
	remote_destroy(node->remote);
	model_destroy(node->model);
	counter_set_destroy(node->counters);
	g_rand_free(node->rng);
	g_free(node);
}

/* Prints one JSON line on stdout with the process id and the open ports. */
void node_print_ready(const struct node *node)
{
	printf("{\"ready\":true,\"name\":\"%s\",\"pid\":%d,\"http\":%u,"
	       "\"admin\":%u,\"peer\":%u}\n",
	       node->settings->name, (int)getpid(),
	       front_caller_port(node->front), front_admin_port(node->front),
	       peer_port(node->peer));
	fflush(stdout);
}
