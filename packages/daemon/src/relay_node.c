#define LOG_MODULE "relay-node"
#include "relay_node.h"

#include <celeryquay/base/clock.h>
#include <celeryquay/base/log.h>
#include <celeryquay/base/log_event.h>
#include <celeryquay/base/version.h>

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/* Minimum of gone_after_us - authority_us, see check_times(). */
#define GONE_AFTER_MARGIN_US (2 * USEC_PER_SEC)
/*
 * Default limits of a proxy's log rate, its share of a log pipeline. 64 KiB/s
 * are 5.5 GB a day.
 */
#define DEFAULT_LOG_LINES_PER_S 200
#define DEFAULT_LOG_BYTES_PER_S 65536
#define LOG_SETTING_MAX 1000000000 /* upper bound of the log settings */
/* Loop iterations for closing handles at exit, which takes two or three. */
#define CLOSE_ITERATIONS_MAX 16

struct relay_node {
	uv_loop_t loop;
	char *driver_name;
	char *name;
	char *zone; /* data centre */
	char *log_level;
	bool log_decisions;
	struct log_budget log_budget;
	struct relay_settings settings;
	GRand *rng;
	struct counter_set *counters;
	struct relay *relay;
	const struct relay_driver *driver;
	struct relay_driver_state *state;
	uv_timer_t tick;
	uint64_t tick_due_at_us; /* when the armed tick is due */
	uv_signal_t on_term, on_int, on_hup;
	bool stopping;
};

/* The event loop on which the whole node runs. */
uv_loop_t *relay_node_loop(struct relay_node *n)
{
	return &n->loop;
}

/* The node's relay; NULL until the driver is created, then it outlives it. */
struct relay *relay_node_relay(struct relay_node *n)
{
	return n->relay;
}

/* The node's metrics. */
struct counter_set *relay_node_counters(struct relay_node *n)
{
	return n->counters;
}

/* The node's name from its settings. */
const char *relay_node_name(const struct relay_node *n)
{
	return n->name;
}

/* The node's data centre from its settings. */
const char *relay_node_zone(const struct relay_node *n)
{
	return n->zone;
}

/* The clock of all times that are passed to the relay. */
uint64_t relay_node_now_us(void)
{
	return clock_boot_us();
}

/* The relay's settings; a driver may change them until it is created. */
struct relay_settings *relay_node_settings(struct relay_node *n)
{
	return &n->settings;
}

static void on_tick(uv_timer_t *timer);

/*
 * Re-arms the timer if the relay's next tick is due earlier than the armed one.
 * A driver calls it after each event.
 */
void relay_node_schedule_tick(struct relay_node *n)
{
	uint64_t now_us, next_us;

	if (uv_is_closing((uv_handle_t *)&n->tick))
		return;
	next_us = relay_next_tick_us(n->relay);
	if (uv_is_active((uv_handle_t *)&n->tick) &&
	    next_us >= n->tick_due_at_us)
		return;
	n->tick_due_at_us = next_us;
	now_us = relay_node_now_us();
	uv_timer_start(&n->tick, on_tick,
		       next_us > now_us ? (next_us - now_us) / 1000 + 1 : 0, 0);
}

static void on_tick(uv_timer_t *timer)
{
	struct relay_node *n = timer->data;
	uint64_t now_us = relay_node_now_us();

	relay_tick(n->relay, now_us);
	log_sink_flush_due(now_us);
	if (n->stopping &&
	    relay_is_stopped(n->relay, n->driver->has_unsent(n->state),
			     now_us)) {
		uv_stop(&n->loop);
		return;
	}
	relay_node_schedule_tick(n);
}

static void log_signal(const char *event, int number)
{
	struct log_line *l = log_event(LOG_STATE, event);

	if (!l)
		return;
	log_u64(l, "signal", (uint64_t)number);
	log_event_end(l);
}

static void on_stop_signal(uv_signal_t *handle, int number)
{
	struct relay_node *n = handle->data;

	if (n->stopping) {
		log_signal("stopping-at-once", number);
		relay_stop_now(n->relay, relay_node_now_us());
		on_tick(&n->tick);
		return;
	}
	log_signal("stopping", number);
	n->stopping = true;
	relay_stop(n->relay, relay_node_now_us());
	n->driver->stop(n->state);
}

static void on_reload_signal(uv_signal_t *handle, int number)
{
	struct relay_node *n = handle->data;

	log_signal("reload", number);
	n->driver->reload(n->state);
}

static void watch_signal(struct relay_node *n, uv_signal_t *handle,
			 uv_signal_cb cb, int number)
{
	uv_signal_init(&n->loop, handle);
	handle->data = n;
	uv_signal_start(handle, cb, number);
	uv_unref((uv_handle_t *)handle);
}

static bool read_ms(struct settings *s, const char *key, uint64_t *us,
		    struct err *err)
{
	int64_t ms;

	if (!settings_int(s, key, 1, 600000, (int64_t)(*us / USEC_PER_MSEC),
			  &ms, err))
		return false;
	*us = (uint64_t)ms * USEC_PER_MSEC;
	return true;
}

static bool read_count(struct settings *s, const char *key, unsigned *out,
		       struct err *err)
{
	int64_t n;

	if (!settings_int(s, key, 0, 1000, *out, &n, err))
		return false;
	*out = (unsigned)n;
	return true;
}

static bool read_number(struct settings *s, const char *key, uint64_t *out,
			uint64_t fallback, struct err *err)
{
	int64_t n;

	if (!settings_int(s, key, 1, LOG_SETTING_MAX, (int64_t)fallback, &n,
			  err))
		return false;
	*out = (uint64_t)n;
	return true;
}

static bool read_log(struct relay_node *n, struct settings *s, struct err *err)
{
	struct log_budget *b = &n->log_budget;
	int64_t sample;

	if (!settings_str(s, "log_level", "info", &n->log_level, err) ||
	    !settings_bool(s, "log_decisions", true, &n->log_decisions, err) ||
	    !settings_int(s, "log_sample", 0, LOG_SETTING_MAX,
			  n->settings.log_sample, &sample, err) ||
	    !read_number(s, "log_lines_per_s", &b->lines_per_s,
			 DEFAULT_LOG_LINES_PER_S, err) ||
	    !read_number(s, "log_bytes_per_s", &b->bytes_per_s,
			 DEFAULT_LOG_BYTES_PER_S, err))
		return false;
	n->settings.log_sample = (unsigned)sample;
	n->settings.log_statements = n->log_decisions;
	return true;
}

static bool read_times(struct settings *s, struct relay_settings *set,
		       struct err *err)
{
	return read_ms(s, "probe_interval_ms", &set->probe_interval_us, err) &&
	       read_ms(s, "authority_ms", &set->authority_us, err) &&
	       read_ms(s, "suspect_after_ms", &set->suspect_after_us, err) &&
	       read_ms(s, "refused_after_ms", &set->refused_after_us, err) &&
	       read_ms(s, "promote_least_ms", &set->promote_least_us, err) &&
	       read_ms(s, "claim_hold_ms", &set->claim_hold_us, err) &&
	       read_ms(s, "gone_after_ms", &set->gone_after_us, err) &&
	       read_ms(s, "holder_wait_ms", &set->holder_wait_us, err) &&
	       read_ms(s, "idle_close_ms", &set->idle_close_us, err) &&
	       read_ms(s, "drain_ms", &set->drain_us, err) &&
	       read_ms(s, "stop_grace_ms", &set->stop_grace_us, err) &&
	       read_count(s, "warm_connections", &set->warm_connections, err);
}

/*
 * A primary's lease must have expired before other proxies remove a server that
 * left the list. The margin covers the age of the list on which a lease rests
 * and its late arrival, see trust.c.
 */
static bool check_times(struct settings *s, const struct relay_settings *set,
			struct err *err)
{
	if (set->gone_after_us >= set->authority_us + GONE_AFTER_MARGIN_US)
		return true;
	return settings_fail(s, "gone_after_ms", err,
			     "must be at least %u ms above authority_ms",
			     (unsigned)(GONE_AFTER_MARGIN_US / USEC_PER_MSEC));
}

static bool read_pooling(struct settings *s, enum splace_pooling *out,
			 struct err *err)
{
	char *word = NULL;
	bool ok;

	if (!settings_str(s, "home_pooling", "auto", &word, err))
		return false;
	ok = splace_pooling_parse(word, out) ||
	     settings_fail(s, "home_pooling", err,
			   "expected \"auto\", \"on\" or \"off\", got "
			   "\"%s\"",
			   word);
	g_free(word);
	return ok;
}

static bool read_relay(struct relay_node *n, struct settings *s,
		       struct err *err)
{
	relay_settings_default(&n->settings);
	if (!settings_str(s, "driver", SETTINGS_REQUIRED_STR, &n->driver_name,
			  err) ||
	    !settings_str(s, "name", SETTINGS_REQUIRED_STR, &n->name, err) ||
	    !settings_str(s, "zone", "", &n->zone, err) || !read_log(n, s, err))
		return false;
	n->settings.name = n->name;
	n->settings.zone = n->zone;
	return read_times(s, &n->settings, err) &&
	       read_pooling(s, &n->settings.home_pooling, err) &&
	       check_times(s, &n->settings, err) &&
	       settings_reject_unknown(s, err);
}

static const struct relay_driver *find_driver(const char *name)
{
	unsigned i;

	for (i = 0; relay_drivers[i]; i++)
		if (!strcmp(relay_drivers[i]->name, name))
			return relay_drivers[i];
	return NULL;
}

static bool check_names(struct relay_node *n, struct settings *relay,
			enum log_level *level, struct err *err)
{
	n->driver = find_driver(n->driver_name);
	if (!n->driver)
		return settings_fail(relay, "driver", err,
				     "this build has no driver \"%s\"",
				     n->driver_name);
	if (!log_level_parse(n->log_level, level))
		return settings_fail(relay, "log_level", err,
				     "unknown log level \"%s\"", n->log_level);
	return true;
}

/* Logs the start or end of the process, with its main settings. */
static void log_lifecycle(const char *event, const struct relay_node *n)
{
	const struct relay_settings *set = &n->settings;
	struct log_line *l = log_event(LOG_STATE, event);

	if (!l)
		return;
	log_cstr(l, "version", CQ_VERSION);
	log_cstr(l, "driver", n->driver_name);
	log_cstr(l, "zone", n->zone);
	log_u64(l, "pid", (uint64_t)getpid());
	log_u64(l, "authority_ms", set->authority_us / USEC_PER_MSEC);
	log_u64(l, "suspect_after_ms", set->suspect_after_us / USEC_PER_MSEC);
	log_u64(l, "drain_ms", set->drain_us / USEC_PER_MSEC);
	log_u64(l, "stop_grace_ms", set->stop_grace_us / USEC_PER_MSEC);
	log_u64(l, "log_sample", set->log_sample);
	log_u64(l, "dropped_lines", log_sink_dropped());
	log_event_end(l);
}

static void create_parts(struct relay_node *n)
{
	n->rng = g_rand_new();
	n->counters = counter_set_create();
	uv_timer_init(&n->loop, &n->tick);
	n->tick.data = n;
}

/* The relay is created after the driver, whose state is the ctx of its ops. */
static bool start(struct relay_node *n, struct settings *driver,
		  struct err *err)
{
	create_parts(n);
	n->state = n->driver->create(n, driver, err);
	if (!n->state)
		return false;
	n->relay = relay_create(&n->settings, n->driver->ops, n->state,
				n->counters, n->rng, relay_node_now_us());
	watch_signal(n, &n->on_term, on_stop_signal, SIGTERM);
	watch_signal(n, &n->on_int, on_stop_signal, SIGINT);
	watch_signal(n, &n->on_hup, on_reload_signal, SIGHUP);
	log_lifecycle("started", n);
	relay_node_schedule_tick(n);
	return true;
}

static void close_handle(uv_handle_t *handle)
{
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

/*
 * A signal that comes when its handle is closed would end the process before
 * the last log lines are written.
 */
static void block_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
}

/*
 * Destroys the driver and closes the node's own handles. They close within a
 * few iterations of the loop; the process ends even if one stays open.
 */
static void end_loop(struct relay_node *n)
{
	unsigned i;

	block_signals();
	n->driver->destroy(n->state);
	n->state = NULL;
	close_handle((uv_handle_t *)&n->tick);
	close_handle((uv_handle_t *)&n->on_term);
	close_handle((uv_handle_t *)&n->on_int);
	close_handle((uv_handle_t *)&n->on_hup);
	for (i = 0; i < CLOSE_ITERATIONS_MAX && uv_run(&n->loop, UV_RUN_NOWAIT);
	     i++)
		;
	if (uv_loop_close(&n->loop))
		LOG_DBG("event loop handles are still open at exit");
}

static void destroy(struct relay_node *n)
{
	if (n->state)
		n->driver->destroy(n->state);
	relay_destroy(n->relay);
	if (n->counters)
		counter_set_destroy(n->counters);
	if (n->rng)
		g_rand_free(n->rng);
	g_free(n->driver_name);
	g_free(n->name);
	g_free(n->zone);
	g_free(n->log_level);
	g_free(n);
}

/* Whether the settings file has a "relay" section. */
bool relay_node_is_configured(const char *settings_path)
{
	struct err err = { 0 };
	struct settings *s = settings_from_file(settings_path, &err);
	bool has_relay = s && settings_has(s, "relay");

	settings_destroy(s);
	return has_relay;
}

static bool load(struct relay_node *n, const char *path, bool check_only,
		 struct err *err)
{
	struct settings *file = settings_from_file(path, err);
	struct settings *relay = NULL, *driver = NULL;
	enum log_level level = LOG_LEVEL_INFO;
	bool ok = false;

	if (!file)
		return false;
	relay = settings_child(file, "relay", err);
	if (!relay || !read_relay(n, relay, err) ||
	    !check_names(n, relay, &level, err))
		goto out;
	driver = settings_child(file, "driver", err);
	if (!driver || !settings_reject_unknown(file, err))
		goto out;
	log_init(n->name, level, n->log_decisions);
	if (!check_only)
		log_sink_open(STDOUT_FILENO, &n->log_budget);
	ok = check_only || start(n, driver, err);
out:
	settings_destroy(driver);
	settings_destroy(relay);
	settings_destroy(file);
	return ok;
}

/* Nothing was started: the loop has no handles. */
static void end_check(struct relay_node *n)
{
	uv_loop_close(&n->loop);
	destroy(n);
}

/* Runs one relay until it has stopped; returns the exit code. */
int relay_node_run(const char *settings_path, bool check_only)
{
	struct relay_node *n = g_new0(struct relay_node, 1);
	struct err err = { 0 };

	signal(SIGPIPE, SIG_IGN);
	uv_loop_init(&n->loop);
	if (!load(n, settings_path, check_only, &err)) {
		fprintf(stderr, "celeryquayd: %s (%d)\n", err.message,
			err.code);
		if (check_only)
			end_check(n);
		return EXIT_FAILURE;
	}
	if (check_only) {
		printf("settings are good\n");
		end_check(n);
		return EXIT_SUCCESS;
	}
	uv_run(&n->loop, UV_RUN_DEFAULT);
	relay_end(n->relay, relay_node_now_us());
	log_lifecycle("stopped", n);
	end_loop(n);
	log_flush();
	destroy(n);
	return EXIT_SUCCESS;
}
