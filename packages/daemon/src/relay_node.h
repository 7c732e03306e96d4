#ifndef CELERYQUAY_DAEMON_RELAY_NODE_H
#define CELERYQUAY_DAEMON_RELAY_NODE_H

/*
 * A proxy that relays sessions: one relay on one event loop, with a driver that
 * communicates with the platform, callers and servers. A driver is a table of
 * functions, so that this code depends on no platform.
 */

#include <celeryquay/base/settings.h>
#include <celeryquay/relay/relay.h>
#include <uv.h>

struct relay_node;
struct relay_driver_state;

struct relay_driver {
	const char *name; /* value of the "driver" setting */
	/*
	 * Reads the driver's section of the settings, opens listeners and
	 * connects. NULL with err set on failure. The relay is created after
	 * it, with `ops` and the returned state as their ctx.
	 */
	struct relay_driver_state *(*create)(struct relay_node *node,
					     struct settings *settings,
					     struct err *err);
	void (*destroy)(struct relay_driver_state *d);
	const struct relay_ops *ops; /* ctx: struct relay_driver_state */
	/* A planned stop begins: the load balancer's check must turn red. */
	void (*stop)(struct relay_driver_state *d);
	/* Whether answers wait to be written to callers. */
	bool (*has_unsent)(const struct relay_driver_state *d);
	/* SIGHUP: reloads what the driver can reload. */
	void (*reload)(struct relay_driver_state *d);
};

/* The drivers of this build, terminated by NULL. */
extern const struct relay_driver *const relay_drivers[];

/* Accessors for drivers. */
uv_loop_t *relay_node_loop(struct relay_node *n);
struct relay *relay_node_relay(struct relay_node *n);
struct counter_set *relay_node_counters(struct relay_node *n);
const char *relay_node_name(const struct relay_node *n);
const char *relay_node_zone(const struct relay_node *n);
/* A driver may change them until the relay is created. */
struct relay_settings *relay_node_settings(struct relay_node *n);
/* The boot-time clock, in us; all times passed to the relay are its. */
uint64_t relay_node_now_us(void);
/* Re-arms the tick; call it after each event passed to the relay. */
void relay_node_schedule_tick(struct relay_node *n);

/* Whether the settings file has a "relay" section. */
bool relay_node_is_configured(const char *settings_path);
/* Runs one relay until it has stopped; returns the exit code. */
int relay_node_run(const char *settings_path, bool check_only);

#endif
