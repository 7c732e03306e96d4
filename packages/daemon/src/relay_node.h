#ifndef CELERYQUAY_DAEMON_RELAY_NODE_H
#define CELERYQUAY_DAEMON_RELAY_NODE_H

/*
 * A proxy that relays sessions: one relay on one loop, with a driver that
 * speaks to the platform, to callers and to servers. Drivers are tables of
 * functions, so that no platform's names are known here.
 */

#include <celeryquay/base/settings.h>
#include <celeryquay/relay/relay.h>
#include <uv.h>

struct relay_node;
struct relay_driver_state;

struct relay_driver {
	const char *name; /* as settings name it */
	/*
	 * Reads its part of the settings, listens and connects. `ops` and
	 * `ctx` are what the relay is to be created with.
	 */
	struct relay_driver_state *(*create)(struct relay_node *node,
					     struct settings *settings,
					     struct err *err);
	void (*destroy)(struct relay_driver_state *d);
	const struct relay_ops *ops; /* ctx: struct relay_driver_state */
	/* A stop begins: the balancer's check turns red. */
	void (*stop)(struct relay_driver_state *d);
	/* The settings file was changed. */
	void (*reload)(struct relay_driver_state *d);
};

/* The drivers that this build has, ended by NULL. */
extern const struct relay_driver *const relay_drivers[];

/* What a driver needs of its node. */
uv_loop_t *relay_node_loop(struct relay_node *n);
struct relay *relay_node_relay(struct relay_node *n);
struct counter_set *relay_node_counters(struct relay_node *n);
const char *relay_node_name(const struct relay_node *n);
const char *relay_node_zone(const struct relay_node *n);
/* What a driver knows of them; before the relay is created. */
struct relay_settings *relay_node_settings(struct relay_node *n);
/* Microseconds of the boot-time clock. */
uint64_t relay_node_now_us(void);
/* A driver calls it after each event that it passed to the relay. */
void relay_node_wake(struct relay_node *n);

/* True when the settings file asks for a relay. */
bool relay_node_wanted(const char *settings_path);
/* Runs one relay until it has stopped; the exit code of the process. */
int relay_node_run(const char *settings_path, bool check_only);

#endif
