#include "support_pg.h"

#include <check.h>
#include <string.h>

struct pg_rig pg_rig;

static struct pg_event *record_event(enum pg_event_kind kind, conn_id id,
				     const struct err *err)
{
	struct pg_event *event = g_new0(struct pg_event, 1);

	event->kind = kind;
	event->id = id;
	event->err = *err;
	g_ptr_array_add(pg_rig.recorded, event);
	return event;
}

static void on_opened(void *ctx, conn_id id, const struct err *err)
{
	(void)ctx;
	record_event(PG_EVENT_OPENED, id, err);
}

static void on_done(void *ctx, conn_id id, struct upstream_result *result)
{
	struct pg_event *event = record_event(PG_EVENT_DONE, id, &result->err);

	(void)ctx;
	memcpy(event->sqlstate, result->sqlstate, sizeof(event->sqlstate));
	event->steps_done = result->steps_done;
	event->n_kept = result->n_kept;
	event->results = g_strdup(result->results->str);
	event->last_step_row = g_strdupv(result->last_step_row);
	event->conn_usable = result->conn_usable;
	if (pg_rig.run_again) {
		pg_rig.run_again = false;
		pg_rig_start(id, "SELECT 'again'");
	}
}

static void on_lost(void *ctx, conn_id id, const struct err *err)
{
	(void)ctx;
	record_event(PG_EVENT_LOST, id, err);
}

static const struct upstream_events events = {
	.opened = on_opened,
	.done = on_done,
	.lost = on_lost,
};

static void event_free(gpointer data)
{
	struct pg_event *event = data;

	g_free(event->results);
	g_strfreev(event->last_step_row);
	g_free(event);
}

static void start_processes(void)
{
	const char *const server[] = {
		"celeryquay-standin-server",
		"--name",
		"s1",
		"--primary-term",
		"1",
		"--connect-delay-ms",
		"0",
		"--exit-with-stdin",
		NULL,
	};
	char *route;
	JsonObject *routes;

	pg_rig.server = child_start(server, NULL);
	route = g_strdup_printf("db=127.0.0.1:0>127.0.0.1:%u",
				child_port(pg_rig.server, "port"));
	pg_rig.proxy = child_start(
		(const char *const[]){ "celeryquay-faultproxy", "--route",
				       route, "--exit-with-stdin", NULL },
		NULL);
	routes = json_object_get_object_member(child_ready(pg_rig.proxy),
					       "routes");
	pg_rig.proxy_port = (unsigned)json_object_get_int_member(routes, "db");
	g_free(route);
}

/* Starts the processes and creates a struct upstream without connections. */
void pg_rig_setup(void)
{
	memset(&pg_rig, 0, sizeof(pg_rig));
	start_processes();
	uv_loop_init(&pg_rig.loop);
	pg_rig.recorded = g_ptr_array_new_with_free_func(event_free);
	pg_rig.upstream = pg_create(&pg_rig.loop, &events, NULL);
}

/*
 * Stops everything. Connections still open are closed by pg_destroy(), which
 * must not report an event.
 */
void pg_rig_teardown(void)
{
	unsigned n_recorded = pg_rig.recorded->len;

	pg_destroy(pg_rig.upstream);
	loop_end(&pg_rig.loop);
	ck_assert_uint_eq(pg_rig.recorded->len, n_recorded);
	g_ptr_array_unref(pg_rig.recorded);
	child_kill(pg_rig.proxy);
	child_kill(pg_rig.server);
}

/* Starts opening a connection. */
void pg_rig_open_at(conn_id id, const char *host, unsigned port,
		    uint64_t timeout_us)
{
	struct upstream_target target = {
		.host = host,
		.port = (uint16_t)port,
		.user = "celeryquay",
		.dbname = "test",
	};

	pg_ops.open(pg_rig.upstream, id, &target, timeout_us);
}

static void open_port(conn_id id, unsigned port)
{
	const struct pg_event *event;

	pg_rig_open_at(id, "127.0.0.1", port, PG_TIMEOUT_US);
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->kind, PG_EVENT_OPENED);
	ck_assert_uint_eq(event->id, id);
	ck_assert_msg(!event->err.code, "%s", event->err.message);
}

void pg_rig_open(conn_id id)
{
	open_port(id, child_port(pg_rig.server, "port"));
}

void pg_rig_open_faulty(conn_id id)
{
	open_port(id, pg_rig.proxy_port);
}

/* Starts a run; no event may be reported from within the call. */
void pg_rig_run(conn_id id, const struct upstream_step *steps, unsigned n,
		uint64_t max_bytes, uint64_t timeout_us)
{
	unsigned n_recorded = pg_rig.recorded->len;

	pg_ops.run(pg_rig.upstream, id, steps, n, max_bytes, timeout_us);
	ck_assert_uint_eq(pg_rig.recorded->len, n_recorded);
}

void pg_rig_start(conn_id id, const char *sql)
{
	struct upstream_step step = { .sql = str_from_c(sql),
				      .keep_rows = true };

	pg_rig_run(id, &step, 1, 0, PG_TIMEOUT_US);
}

static bool enough_recorded(void *ctx)
{
	(void)ctx;
	return pg_rig.recorded->len >= pg_rig.wanted;
}

const struct pg_event *pg_rig_event(unsigned i)
{
	return g_ptr_array_index(pg_rig.recorded, i);
}

const struct pg_event *pg_rig_wait(unsigned n)
{
	pg_rig.wanted = n;
	loop_until(&pg_rig.loop, enough_recorded, NULL);
	return pg_rig_event(n - 1);
}

const struct pg_event *pg_rig_wait_next(void)
{
	return pg_rig_wait(pg_rig.recorded->len + 1);
}

/* Runs one statement and waits for its result. */
const struct pg_event *pg_rig_query(conn_id id, const char *sql)
{
	const struct pg_event *event;

	pg_rig_start(id, sql);
	event = pg_rig_wait_next();
	ck_assert_int_eq(event->kind, PG_EVENT_DONE);
	return event;
}

/* Sends a control request for a fault on the route to the fault proxy. */
void pg_rig_fault(const char *path, const char *body)
{
	json_object_unref(child_control(pg_rig.proxy, path, body));
}
