#define LOG_MODULE "stop"
#include "planned_stop.h"
#include "databases.h"
#include "entry.h"
#include "remote.h"

#include <celeryquay/base/log.h>

/*
 * How long the node must have been idle before it announces its departure.
 * Other proxies may send it requests until they have learned that it is
 * leaving.
 */
#define IDLE_BEFORE_DEPARTURE_US (1 * USEC_PER_SEC)
/* How long the loop runs on so that the departure notice is sent. */
#define DEPARTURE_SEND_US (50 * USEC_PER_MSEC)

enum stop_state {
	STOP_NOT_BEGUN,
	STOP_HEALTH_RED, /* health is red, requests are still accepted */
	STOP_DRAINING, /* nothing new is accepted */
	STOP_DEPARTING, /* the departure notice is being sent */
	STOP_DONE,
};

struct planned_stop {
	struct node *node;
	enum stop_state state;
	uint64_t begun_at_us; /* time of the first signal */
	uint64_t last_busy_at_us; /* when something last ran */
	uint64_t departed_at_us; /* when the departure notice was sent */
};

/* The stop begins with the first signal. */
struct planned_stop *planned_stop_create(struct node *node)
{
	struct planned_stop *s = g_new0(struct planned_stop, 1);

	s->node = node;
	return s;
}

void planned_stop_destroy(struct planned_stop *s)
{
	g_free(s);
}

/* Whether a planned stop has begun. */
bool planned_stop_begun(const struct planned_stop *s)
{
	return s->state != STOP_NOT_BEGUN;
}

static void end_loop(struct planned_stop *s, const char *why)
{
	s->state = STOP_DONE;
	log_decision("stop", "step", "ended", "why", why, NULL);
	uv_stop(s->node->loop);
}

/* The first signal begins the stop, the second one ends it at once. */
void planned_stop_signal(struct planned_stop *s)
{
	if (s->state != STOP_NOT_BEGUN) {
		end_loop(s, "second signal");
		return;
	}
	s->state = STOP_HEALTH_RED;
	s->begun_at_us = node_now_us();
	members_leave(s->node->members, s->begun_at_us);
	databases_mark_stale(s->node->databases);
	log_decision("stop", "step", "health red", "why", "signal", NULL);
}

static void begin_draining(struct planned_stop *s, uint64_t now_us)
{
	s->state = STOP_DRAINING;
	s->last_busy_at_us = now_us;
	front_stop_accepting(s->node->front);
	databases_stop(s->node->databases, now_us);
	log_decision("stop", "step", "draining", "why", "balancer had its time",
		     NULL);
}

/*
 * Tells the other members that this node is gone. Without the notice they would
 * continue to probe it and suspect it for a second before they consider it
 * dead.
 */
static void announce_departure(struct planned_stop *s, uint64_t now_us)
{
	s->state = STOP_DEPARTING;
	s->departed_at_us = now_us;
	members_announce_exit(s->node->members, now_us);
}

static bool is_busy(const struct planned_stop *s)
{
	const struct node *node = s->node;

	return !entry_idle(node->entry) || !remote_idle(node->remote) ||
	       !databases_idle(node->databases) ||
	       front_exchanges(node->front) > 0;
}

/*
 * Ends the loop once the departure notice has been sent. Guards against a
 * request that is cut off: a proxy that has not received the notice yet may
 * still forward one here, so a node that is busy again returns to draining.
 */
static void finish_departure(struct planned_stop *s, uint64_t now_us)
{
	if (is_busy(s)) {
		s->state = STOP_DRAINING;
		s->last_busy_at_us = now_us;
		log_decision("stop", "step", "draining", "why",
			     "a request came after the last word", NULL);
	} else if (now_us - s->departed_at_us >= DEPARTURE_SEND_US) {
		end_loop(s, "idle");
	}
}

/* Takes the next step of the stop when it is due. */
void planned_stop_tick(struct planned_stop *s, uint64_t now_us)
{
	const struct node_settings *settings = s->node->settings;

	if (s->state == STOP_NOT_BEGUN || s->state == STOP_DONE)
		return;
	if (now_us - s->begun_at_us >= settings->stop_limit_us) {
		end_loop(s, "limit reached");
		return;
	}
	if (s->state == STOP_DEPARTING) {
		finish_departure(s, now_us);
		return;
	}
	if (s->state == STOP_HEALTH_RED) {
		if (now_us - s->begun_at_us >= settings->stop_health_us)
			begin_draining(s, now_us);
		return;
	}
	if (is_busy(s))
		s->last_busy_at_us = now_us;
	else if (now_us - s->last_busy_at_us >= IDLE_BEFORE_DEPARTURE_US)
		announce_departure(s, now_us);
}
