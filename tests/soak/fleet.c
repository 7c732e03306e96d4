#include "fleet.h"

#include "wire.h"

#include <args.h>
#include <celeryquay/client/http.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define WATCH_MS 20
#define BALANCER_MS 1000
#define MISSES_MOST 2
#define RESTART_US (300 * MS)
#define STOP_WAIT_US (10 * SEC)
#define GRACE_S 6 /* what proxies are told of a planned stop */
#define CALLERS_PORT 8784
#define PEERS_PORT 7440
#define FEED_PORT 7455
#define METRICS_PORT 9464
#define FIRST_HOST 10
#define METRICS_WAIT_MS 1000

/* An address of this process alone, so that ports can be the same for all. */
static void set_address(struct fleet_proxy *p)
{
	unsigned pid = (unsigned)getpid();

	g_snprintf(p->address, sizeof(p->address), "127.%u.%u.%u",
		   16 + (pid >> 8) % 128, pid % 256, FIRST_HOST + p->index);
}

static char *settings_text(const struct fleet_proxy *p)
{
	const struct load *load = p->fleet->load;
	const struct load_proxy *size = &load->proxies[p->index];
	GString *out = g_string_new("{\"relay\":{");

	if (load->home_pooling)
		g_string_append_printf(out, "\"home_pooling\":\"%s\",",
				       load->home_pooling);
	g_string_append_printf(out,
			       "\"driver\":\"kv\",\"name\":\"%s\","
			       "\"zone\":\"a\",\"log_level\":\"info\","
			       "\"log_decisions\":true},\"driver\":{",
			       p->name);
	if (size->cpu)
		g_string_append_printf(out, "\"cpu\":%s,", size->cpu);
	g_string_append_printf(
		out,
		"\"callers\":\"%s:%u\",\"peers\":\"%s:%u\","
		"\"feed\":\"%s:%u\",\"mbps\":%u,\"readiness\":\"%s:%u\","
		"\"metrics\":\"%s:%u\",\"store\":\"127.0.0.1:%u\","
		"\"control\":\"127.0.0.1:%u\","
		"\"bounds\":{\"graceS\":%u}}}",
		p->address, CALLERS_PORT, p->address, PEERS_PORT, p->address,
		FEED_PORT, size->mbps, p->address, FLEET_READY_PORT, p->address,
		METRICS_PORT, p->store, p->store, GRACE_S);
	return g_string_free(out, FALSE);
}

static bool write_settings(struct fleet_proxy *p)
{
	char *text = settings_text(p);
	bool ok;

	p->settings = g_strdup_printf("%s/%s.json", p->fleet->dir, p->name);
	ok = g_file_set_contents(p->settings, text, -1, NULL);
	g_free(text);
	return ok;
}

static void launch(struct fleet_proxy *p)
{
	const char *args[] = { "--settings", p->settings, NULL };
	struct err err = { 0 };

	p->child = child_start_no_wait("celeryquayd", args, &err);
	p->end_expected = false;
	p->stopped_us = 0;
	p->disturbed_us = later_now_us();
	p->misses = MISSES_MOST;
	p->ready = false;
	p->has_answered = false;
	if (!p->child)
		audit_wrong(p->fleet->audit, "%s: %s", p->name, err.message);
}

static void on_restart(void *data)
{
	struct fleet_proxy *p = data;

	if (!p->fleet->ending && !p->child)
		launch(p);
}

/*
 * A process that has only begun to start does not handle signals yet, and ends
 * by SIGTERM itself.
 */
static bool is_end_allowed(const struct fleet_proxy *p, int code)
{
	return p->end_expected && (!code || code == -SIGKILL ||
				   (code == -SIGTERM && !p->has_answered));
}

/* Its process ended; the platform starts it anew. */
static void on_ended(struct fleet_proxy *p)
{
	int code = child_wait(p->child);

	if (!is_end_allowed(p, code))
		audit_wrong(p->fleet->audit, "%s ended by itself: %d", p->name,
			    code);
	child_destroy(p->child);
	p->child = NULL;
	p->ready = false;
	later(p->fleet->loop, RESTART_US, on_restart, p);
}

static void on_watch(uv_timer_t *timer)
{
	struct fleet *f = timer->data;
	unsigned i;

	for (i = 0; i < f->n; i++) {
		struct fleet_proxy *p = &f->proxies[i];

		if (p->child && !child_alive(p->child))
			on_ended(p);
	}
}

/* One question of the balancer. */
struct question {
	struct fleet_proxy *proxy;
	struct wire *wire;
};

static void answered(struct question *q, bool good)
{
	struct fleet_proxy *p = q->proxy;

	if (good)
		p->misses = 0;
	else
		p->misses++;
	p->ready = p->misses < MISSES_MOST;
	p->asked = false;
	g_free(q);
}

static void on_question_open(void *ctx)
{
	struct question *q = ctx;
	GString *text = g_string_new("GET /api/readyz HTTP/1.1\r\n"
				     "Host: proxy\r\n"
				     "Connection: close\r\n\r\n");

	wire_send(q->wire, text);
	g_string_free(text, TRUE);
}

static void on_question_line(void *ctx, struct str line)
{
	struct question *q = ctx;

	wire_close(q->wire, false);
	q->proxy->has_answered = true;
	answered(q, str_starts_with(line, STR("HTTP/1.1 200")));
}

static void on_question_closed(void *ctx)
{
	answered(ctx, false);
}

static const struct wire_events question_events = { on_question_open,
						    on_question_line,
						    on_question_closed };

static void ask(struct fleet_proxy *p)
{
	struct question *q = g_new0(struct question, 1);

	p->asked = true;
	q->proxy = p;
	q->wire = wire_connect(p->fleet->loop, p->address, FLEET_READY_PORT,
			       &question_events, q);
}

/* A proxy that leaves a question open misses it. */
static void on_balancer(uv_timer_t *timer)
{
	struct fleet *f = timer->data;
	unsigned i;

	for (i = 0; i < f->n; i++) {
		struct fleet_proxy *p = &f->proxies[i];

		if (!p->asked) {
			ask(p);
			continue;
		}
		p->misses++;
		p->ready = p->misses < MISSES_MOST;
	}
}

/* One that is down for a moment gets no signal. */
void fleet_signal(struct fleet_proxy *p, int number)
{
	if (!p->child)
		return;
	if (number == SIGTERM && !p->stopped_us)
		p->stopped_us = later_now_us();
	if (number == SIGTERM || number == SIGKILL)
		p->end_expected = true;
	if (number != SIGTERM && number != SIGHUP)
		p->disturbed_us = later_now_us();
	child_signal(p->child, number);
}

/* The caller knows that its routes exist. */
void fleet_fault(struct fleet *f, const char *path, const char *format, ...)
{
	struct http_call call = { 0 };
	struct http_reply reply = { 0 };
	va_list args;
	char *body;

	va_start(args, format);
	body = g_strdup_vprintf(format, args);
	va_end(args);
	call.body = body;
	http_call(f->http, f->faults_control, path, &call, &reply);
	if (reply.status != 200)
		audit_wrong(f->audit, "the fault proxy did not take %s %s",
			    path, body);
	http_reply_clear(&reply);
	g_free(body);
}

static int route_port(const struct fleet *f, const char *prefix, unsigned i)
{
	JsonObject *routes =
		json_object_get_object_member(child_ready(f->faults), "routes");
	char *name = g_strdup_printf("%s-%u", prefix, i);
	int port = (int)json_object_get_int_member(routes, name);

	g_free(name);
	return port;
}

static bool start_faults(struct fleet *f, const struct groups *g,
			 uint16_t store_port)
{
	GPtrArray *args = args_create();
	struct err err = { 0 };
	unsigned i;

	args_add(args, "--control");
	args_add(args, "127.0.0.1:0");
	for (i = 0; i < g->n * GROUP_SIZE; i++) {
		args_add(args, "--route");
		args_add(args, "server-%u=127.0.0.1:0>127.0.0.1:%u", i,
			 g->servers[i].port);
	}
	for (i = 0; i < f->n; i++) {
		args_add(args, "--route");
		args_add(args, "front-%u=127.0.0.1:0>%s:%u", i,
			 f->proxies[i].address, CALLERS_PORT);
		args_add(args, "--route");
		args_add(args, "store-%u=127.0.0.1:0>127.0.0.1:%u", i,
			 store_port);
	}
	f->faults = args_start("celeryquay-faultproxy", args, &err);
	if (f->faults)
		f->faults_control = (int)child_ready_int(f->faults, "control");
	return f->faults;
}

static void start_timer(struct fleet *f, uv_timer_t *timer, uv_timer_cb fn,
			unsigned every_ms)
{
	uv_timer_init(f->loop, timer);
	timer->data = f;
	uv_timer_start(timer, fn, every_ms, every_ms);
}

/* Starts all; servers are told to have the fault proxy's ports. */
struct fleet *fleet_create(uv_loop_t *loop, struct audit *audit,
			   const struct load *load, unsigned n,
			   struct groups *groups, uint16_t store_port)
{
	struct fleet *f = g_new0(struct fleet, 1);
	unsigned i;

	f->loop = loop;
	f->audit = audit;
	f->load = load;
	f->n = n;
	f->dir = g_dir_make_tmp("celeryquay-soak-XXXXXX", NULL);
	f->http = http_create();
	for (i = 0; i < n; i++) {
		f->proxies[i].fleet = f;
		f->proxies[i].index = i;
		g_snprintf(f->proxies[i].name, sizeof(f->proxies[i].name),
			   "proxy-%u", i);
		set_address(&f->proxies[i]);
	}
	if (!start_faults(f, groups, store_port))
		return NULL;
	for (i = 0; i < groups->n * GROUP_SIZE; i++)
		groups->servers[i].port = (uint16_t)route_port(f, "server", i);
	for (i = 0; i < n; i++) {
		struct fleet_proxy *p = &f->proxies[i];

		p->front = (uint16_t)route_port(f, "front", i);
		p->store = (uint16_t)route_port(f, "store", i);
		if (!write_settings(p))
			return NULL;
		launch(p);
	}
	start_timer(f, &f->watch, on_watch, WATCH_MS);
	start_timer(f, &f->balancer, on_balancer, BALANCER_MS);
	return f;
}

struct fleet_proxy *fleet_pick(struct fleet *f, GRand *rng)
{
	unsigned i, at = (unsigned)g_rand_int_range(rng, 0, (gint32)f->n);

	for (i = 0; i < f->n; i++) {
		struct fleet_proxy *p = &f->proxies[(at + i) % f->n];

		if (p->ready)
			return p;
	}
	return NULL;
}

bool fleet_all_ready(const struct fleet *f)
{
	unsigned i;

	for (i = 0; i < f->n; i++)
		if (!f->proxies[i].ready)
			return false;
	return true;
}

static bool is_configured(const struct fleet_proxy *p, unsigned version)
{
	struct http_call call = { .host = p->address,
				  .timeout_ms = METRICS_WAIT_MS };
	struct http_reply reply = { 0 };
	char *line = g_strdup_printf("\nceleryquay_relay_config_version{} %u\n",
				     version);
	bool has;

	http_call(p->fleet->http, FLEET_READY_PORT, "/metrics", &call, &reply);
	has = reply.status == 200 && strstr(reply.body->str, line);
	http_reply_clear(&reply);
	g_free(line);
	return has;
}

bool fleet_all_configured(const struct fleet *f, unsigned version)
{
	unsigned i;

	for (i = 0; i < f->n; i++)
		if (!is_configured(&f->proxies[i], version))
			return false;
	return true;
}

unsigned fleet_most_files(const struct fleet *f)
{
	unsigned i, most = 0;

	for (i = 0; i < f->n; i++) {
		char *path;
		unsigned n = 0;
		GDir *dir;

		if (!f->proxies[i].child)
			continue;
		path = g_strdup_printf("/proc/%d/fd",
				       child_pid(f->proxies[i].child));
		dir = g_dir_open(path, 0, NULL);
		while (dir && g_dir_read_name(dir))
			n++;
		if (dir)
			g_dir_close(dir);
		g_free(path);
		most = MAX(most, n);
	}
	return most;
}

static unsigned memory_kb(pid_t pid)
{
	char *path = g_strdup_printf("/proc/%d/status", pid);
	char *text = NULL, *line;
	unsigned kb = 0;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		line = strstr(text, "VmRSS:");
		if (line)
			sscanf(line, "VmRSS: %u", &kb);
	}
	g_free(text);
	g_free(path);
	return kb;
}

unsigned fleet_most_memory_kb(const struct fleet *f)
{
	unsigned i, most = 0;

	for (i = 0; i < f->n; i++)
		if (f->proxies[i].child)
			most = MAX(most,
				   memory_kb(child_pid(f->proxies[i].child)));
	return most;
}

/* True when no process had to be killed. */
static bool stop_all(struct fleet *f)
{
	uint64_t until_us = later_now_us() + STOP_WAIT_US;
	bool left = true, good = true;
	unsigned i;

	for (i = 0; i < f->n; i++)
		fleet_signal(&f->proxies[i], SIGTERM);
	while (left && later_now_us() < until_us) {
		left = false;
		for (i = 0; i < f->n; i++)
			left |= f->proxies[i].child &&
				child_alive(f->proxies[i].child);
		uv_run(f->loop, UV_RUN_NOWAIT);
		g_usleep(WATCH_MS * MS);
	}
	for (i = 0; i < f->n; i++) {
		struct fleet_proxy *p = &f->proxies[i];

		if (!p->child)
			continue;
		if (child_alive(p->child)) {
			audit_wrong(f->audit, "%s did not stop", p->name);
			child_signal(p->child, SIGKILL);
			good = false;
		}
		child_destroy(p->child);
		p->child = NULL;
	}
	return good;
}

/* The loop turns meanwhile, so that sessions can end. */
bool fleet_destroy(struct fleet *f)
{
	unsigned i;
	bool good;

	f->ending = true;
	uv_timer_stop(&f->watch);
	uv_timer_stop(&f->balancer);
	good = stop_all(f);
	child_destroy(f->faults);
	http_destroy(f->http);
	for (i = 0; i < f->n; i++) {
		g_unlink(f->proxies[i].settings);
		g_free(f->proxies[i].settings);
	}
	g_rmdir(f->dir);
	g_free(f->dir);
	return good;
}
