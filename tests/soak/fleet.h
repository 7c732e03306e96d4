#ifndef SOAK_FLEET_H
#define SOAK_FLEET_H

/*
 * The proxies as processes of their own, the fault proxy between them and all
 * others, and the balancer that asks the proxies whether they are ready.
 */

#include "group.h"
#include "load.h"

#include <child.h>

#define PROXIES_MAX LOAD_PROXIES_MAX
#define FLEET_READY_PORT 8785

struct fleet;
struct http;

struct fleet_proxy {
	struct fleet *fleet;
	unsigned index;
	char name[16];
	char address[24];
	char *settings; /* file */
	struct child *child; /* NULL: it is down for a moment */
	uint16_t front; /* where callers are sent */
	uint16_t store;
	bool ready;
	bool asked; /* the balancer waits for an answer */
	bool has_answered; /* the balancer, since this process started */
	unsigned misses;
	bool end_expected;
	uint64_t stopped_us; /* SIGTERM was sent then, 0: not */
	uint64_t disturbed_us; /* by anything but a planned stop */
};

struct fleet {
	uv_loop_t *loop;
	struct audit *audit;
	const struct load *load;
	char *dir;
	unsigned n;
	struct fleet_proxy proxies[PROXIES_MAX];
	struct child *faults;
	int faults_control;
	struct http *http;
	uv_timer_t watch;
	uv_timer_t balancer;
	bool ending;
};

struct fleet *fleet_create(uv_loop_t *loop, struct audit *audit,
			   const struct load *load, unsigned n,
			   struct groups *groups, uint16_t store_port);
/* Ends all processes; true when each went in time. */
bool fleet_destroy(struct fleet *f);
void fleet_signal(struct fleet_proxy *p, int number);
/* A call of the fault proxy, such as "/delay"; body: its JSON. */
void fleet_fault(struct fleet *f, const char *path, const char *format, ...)
	G_GNUC_PRINTF(3, 4);
/* One that the balancer sends callers to; NULL: none. */
struct fleet_proxy *fleet_pick(struct fleet *f, GRand *rng);
bool fleet_all_ready(const struct fleet *f);
/* All have this version of the configuration in force, by their metrics. */
bool fleet_all_configured(const struct fleet *f, unsigned version);
/* The most that any proxy has now. */
unsigned fleet_most_files(const struct fleet *f);
unsigned fleet_most_memory_kb(const struct fleet *f);

#endif
