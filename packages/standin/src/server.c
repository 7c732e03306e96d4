#include "server.h"

#include <string.h>

#include "control_http.h"
#include "server_fn.h"
#include "server_node.h"
#include "server_pull.h"
#include "server_repl.h"
#include "server_service.h"
#include "server_session.h"
#include "server_util.h"

#define LOG_MODULE "server"

#define BACKLOG 1024
#define SPARE_READERS 4
#define MAX_READERS 400
#define HOUSEKEEPING_MS 20
#define US_PER_MS 1000
#define KEEPALIVE_US UINT64_C(10000000)

/* Wakes the sessions whose wait the last changes ended. */
static void wake_waiters(struct server *srv)
{
	struct session *s;
	GList *link;

	srv->changed = false;
	for (link = srv->sessions.head; link; link = link->next) {
		s = link->data;
		if ((s->park == PARK_WAIT && fn_wait_is_over(s)) ||
		    (s->park == PARK_PULL && pull_is_over(s)))
			session_wake(s);
	}
}

/* Runs the sessions that were woken, and those that they wake. */
static void run_sessions(struct server *srv)
{
	struct session *s;

	while ((s = g_queue_pop_head(&srv->runnable))) {
		s->runnable = false;
		session_run(s);
	}
}

/* Applies entries of the log that have become due. */
static void on_apply_timer(uv_timer_t *timer)
{
	server_kick(timer->data);
}

/* The systems that run over the server's state when something happened. */
static void on_tick(uv_idle_t *tick)
{
	struct server *srv = tick->data;
	uint64_t now_us = util_now_us();
	uint64_t due_us;

	uv_idle_stop(tick);
	if (srv->paused)
		return;
	due_us = node_apply(srv->node, now_us);
	run_sessions(srv);
	if (srv->changed)
		wake_waiters(srv);
	if (due_us && due_us <= now_us)
		server_kick(srv);
	else if (due_us)
		uv_timer_start(&srv->apply, on_apply_timer,
			       (due_us - now_us) / US_PER_MS + 1, 0);
}

/* Has the tick run in the loop's next round, before it waits again. */
void server_kick(struct server *srv)
{
	if (!srv->paused)
		uv_idle_start(&srv->tick, on_tick);
}

/* Notes that the status changed. */
void server_changed(struct server *srv)
{
	srv->changed = true;
	server_kick(srv);
}

/*
 * Ends a transaction that keeps the write lock from others while its client
 * says nothing: a client that died or went silent would stop all writes.
 */
static void end_idle_writer(struct server *srv)
{
	struct session *s = srv->writer;
	uint64_t limit_us;

	limit_us = (uint64_t)srv->options->idle_writer_ms * US_PER_MS;
	if (!s || s->park != PARK_NONE ||
	    g_queue_is_empty(&srv->lock_waiters) ||
	    util_now_us() - s->active_us < limit_us)
		return;
	LOG_INFO("ends an idle transaction that others wait for");
	srv->counts.idle_writers_ended++;
	session_end(s, "25P03", "idle in a transaction that others wait for");
}

/*
 * Ends the sessions whose clients have been out of reach for so long that the
 * keepalive of TCP would have noticed; else silent connections would keep
 * their places below the limit for good.
 */
static void end_unreachable(struct server *srv)
{
	uint64_t now_us = util_now_us();
	struct session *s;
	GList *link;

	for (link = srv->sessions.head; link; link = link->next) {
		s = link->data;
		if (!session_cut_off(s))
			s->cut_off_us = 0;
		else if (!s->cut_off_us)
			s->cut_off_us = now_us;
		else if (!s->dead && now_us - s->cut_off_us > KEEPALIVE_US)
			session_end(s, "08006", "keepalive failed");
	}
}

/* Looks after what has no event of its own. */
static void on_housekeeping(uv_timer_t *timer)
{
	struct server *srv = timer->data;

	if (srv->paused)
		return;
	end_idle_writer(srv);
	end_unreachable(srv);
}

/* Accepts a connection. */
static void on_connection(uv_stream_t *listener, int status)
{
	if (status == 0)
		session_accept(listener->data);
}

/* Adds or changes the address of another server. */
bool server_set_peer(struct server *srv, const char *name, const char *address)
{
	struct sockaddr_storage parsed;

	if (!control_parse_address(address, &parsed, NULL))
		return false;
	g_hash_table_replace(srv->peers, g_strdup(name), g_strdup(address));
	return true;
}

/* Takes the peers of the options, "NAME=HOST:PORT" each. */
static bool take_peers(struct server *srv)
{
	char **peer, **parts;
	bool done = true;

	for (peer = srv->options->peers; done && peer && *peer; peer++) {
		parts = g_strsplit(*peer, "=", 2);
		done = parts[0] && parts[1] &&
		       server_set_peer(srv, parts[0], parts[1]);
		if (!done)
			LOG_ERR("bad peer %s", *peer);
		g_strfreev(parts);
	}
	return done;
}

/* Makes the loop's handles. */
static void init_handles(struct server *srv)
{
	uv_idle_init(srv->loop, &srv->tick);
	uv_timer_init(srv->loop, &srv->apply);
	uv_timer_init(srv->loop, &srv->housekeeping);
	uv_timer_init(srv->loop, &srv->pause);
	uv_tcp_init(srv->loop, &srv->listener);
	srv->tick.data = srv;
	srv->apply.data = srv;
	srv->housekeeping.data = srv;
	srv->pause.data = srv;
	srv->listener.data = srv;
	uv_timer_start(&srv->housekeeping, on_housekeeping, HOUSEKEEPING_MS,
		       HOUSEKEEPING_MS);
}

/* Makes a server with its database and log. NULL when something failed. */
struct server *server_create(uv_loop_t *loop,
			     const struct server_options *options)
{
	struct server *srv = g_new0(struct server, 1);
	struct sql_error err;

	srv->loop = loop;
	srv->options = options;
	srv->lag_us = (uint64_t)options->lag_ms * US_PER_MS;
	srv->receive_lag_us = (uint64_t)options->receive_lag_ms * US_PER_MS;
	srv->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	srv->partition =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	init_handles(srv);
	srv->node = node_create(srv);
	srv->repl = repl_create(srv);
	srv->service = service_create(srv, options->workers);
	srv->sql = sql_create(MIN(options->connection_limit + SPARE_READERS,
				  MAX_READERS),
			      fn_register, &err);
	if (!srv->sql) {
		LOG_ERR("no database: %s", err.message);
		return NULL;
	}
	if (!take_peers(srv) || !node_start(srv->node))
		return NULL;
	repl_check(srv->repl);
	return srv;
}

/*
 * Closes and frees all. The loop runs twice without waiting, as a handle's
 * callback may close another one; other handles on it may stay open.
 */
void server_destroy(struct server *srv)
{
	while (!g_queue_is_empty(&srv->sessions))
		session_close(g_queue_peek_head(&srv->sessions));
	service_destroy(srv->service);
	repl_destroy(srv->repl);
	uv_close((uv_handle_t *)&srv->listener, NULL);
	uv_close((uv_handle_t *)&srv->tick, NULL);
	uv_close((uv_handle_t *)&srv->apply, NULL);
	uv_close((uv_handle_t *)&srv->housekeeping, NULL);
	uv_close((uv_handle_t *)&srv->pause, NULL);
	uv_run(srv->loop, UV_RUN_NOWAIT);
	uv_run(srv->loop, UV_RUN_NOWAIT);
	node_destroy(srv->node);
	sql_destroy(srv->sql);
	g_hash_table_destroy(srv->peers);
	g_hash_table_destroy(srv->partition);
	g_free(srv);
}

/* Starts to listen for clients and replicas. */
bool server_listen(struct server *srv)
{
	struct sockaddr_storage address;

	if (!control_parse_address(srv->options->listen, &address, NULL) ||
	    uv_tcp_bind(&srv->listener, (struct sockaddr *)&address, 0) ||
	    uv_listen((uv_stream_t *)&srv->listener, BACKLOG, on_connection)) {
		LOG_ERR("can't listen on %s", srv->options->listen);
		return false;
	}
	return true;
}

/* The port that it listens on. */
int server_port(const struct server *srv)
{
	struct sockaddr_storage address;
	int len = sizeof(address);

	if (uv_tcp_getsockname(&srv->listener, (struct sockaddr *)&address,
			       &len))
		return 0;
	return control_address_port(&address);
}

/* Whether the peer of this name is cut off by a partition. */
bool server_cut_off(const struct server *srv, const char *peer)
{
	return g_hash_table_contains(srv->partition, peer);
}

/* Has every connection read or not, and run, as the faults now say. */
static void refresh(struct server *srv)
{
	struct session *s;
	GList *link, *next;

	for (link = srv->sessions.head; link; link = next) {
		next = link->next;
		s = link->data;
		session_update_reading(s);
		if (session_cut_off(s))
			continue;
		if (s->dead)
			session_close(s);
		else if (s->park == PARK_NONE)
			session_wake(s);
	}
	repl_check(srv->repl);
	server_kick(srv);
}

/* Cuts off the named peers, and only them; takes the table over. */
void server_set_partition(struct server *srv, GHashTable *names)
{
	g_hash_table_destroy(srv->partition);
	srv->partition = names;
	refresh(srv);
}

/* Goes on after a pause. */
static void on_pause_over(uv_timer_t *timer)
{
	struct server *srv = timer->data;

	srv->paused = false;
	refresh(srv);
}

/* Stops all but the control port for a time; what is due waits. */
void server_pause(struct server *srv, uint64_t ms)
{
	srv->paused = true;
	repl_check(srv->repl);
	uv_timer_start(&srv->pause, on_pause_over, ms, 0);
}

/* Has all connections of clients go silent for good; new ones work. */
void server_silence(struct server *srv)
{
	struct session *s;
	GList *link;

	for (link = srv->sessions.head; link; link = link->next) {
		s = link->data;
		if (s->peer && strcmp(s->peer, "client") != 0)
			continue;
		s->silent = true;
		session_update_reading(s);
	}
}

/* Ends all faults but those that are for good. */
void server_heal(struct server *srv)
{
	uv_timer_stop(&srv->pause);
	srv->paused = false;
	srv->drop_answers = 0;
	g_hash_table_remove_all(srv->partition);
	refresh(srv);
}
