#include "fault_clock.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <glib.h>

#define US_PER_S 1000000u

struct fault_clock {
	int fd;
	uv_poll_t poll;
	GTree *armed; /* struct fault_alarm *, by deadline */
};

/*
 * The monotonic clock that all deadlines go by.
 */
uint64_t fault_now_us(void)
{
	return uv_hrtime() / 1000;
}

static int compare_alarms(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct fault_alarm *left = a;
	const struct fault_alarm *right = b;

	(void)data;
	if (left->due_us != right->due_us)
		return left->due_us < right->due_us ? -1 : 1;
	return (left > right) - (left < right);
}

static struct fault_alarm *first_alarm(struct fault_clock *clock)
{
	GTreeNode *node = g_tree_node_first(clock->armed);

	return node ? g_tree_node_key(node) : NULL;
}

static void set_timer(struct fault_clock *clock)
{
	const struct fault_alarm *first = first_alarm(clock);
	struct itimerspec spec = { 0 };

	if (first) {
		/* All zero would stop the timer rather than fire it. */
		uint64_t due_us = MAX(first->due_us, 1);

		spec.it_value.tv_sec = (time_t)(due_us / US_PER_S);
		spec.it_value.tv_nsec = (long)(due_us % US_PER_S) * 1000;
	}
	timerfd_settime(clock->fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void on_timer(uv_poll_t *poll, int status, int events)
{
	struct fault_clock *clock = poll->data;
	uint64_t now_us = fault_now_us();
	struct fault_alarm *alarm;
	uint64_t expirations;

	(void)status;
	(void)events;
	if (read(clock->fd, &expirations, sizeof(expirations)) < 0)
		return;
	for (;;) {
		alarm = first_alarm(clock);
		if (!alarm || alarm->due_us > now_us)
			break;
		g_tree_remove(clock->armed, alarm);
		alarm->armed = false;
		alarm->fire(alarm);
	}
	set_timer(clock);
}

/*
 * A clock without alarms, or NULL if the kernel gives no timer.
 */
struct fault_clock *fault_clock_create(uv_loop_t *loop)
{
	struct fault_clock *clock = g_new0(struct fault_clock, 1);

	clock->fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (clock->fd < 0) {
		g_free(clock);
		return NULL;
	}
	clock->armed = g_tree_new_full(compare_alarms, NULL, NULL, NULL);
	uv_poll_init(loop, &clock->poll, clock->fd);
	clock->poll.data = clock;
	uv_poll_start(&clock->poll, UV_READABLE, on_timer);
	return clock;
}

static void on_closed(uv_handle_t *handle)
{
	struct fault_clock *clock = handle->data;

	close(clock->fd);
	g_tree_unref(clock->armed);
	g_free(clock);
}

/*
 * Frees the clock once the loop has closed its handle. No alarm may be
 * armed any more.
 */
void fault_clock_destroy(struct fault_clock *clock)
{
	if (clock)
		uv_close((uv_handle_t *)&clock->poll, on_closed);
}

/*
 * Fires the alarm once at a time of fault_now_us(), or at once if that has
 * passed; a deadline that it had before is forgotten.
 */
void fault_clock_arm(struct fault_clock *clock, struct fault_alarm *alarm,
		     uint64_t due_us)
{
	if (alarm->armed && alarm->due_us == due_us)
		return;
	if (alarm->armed)
		g_tree_remove(clock->armed, alarm);
	alarm->due_us = due_us;
	alarm->armed = true;
	g_tree_insert(clock->armed, alarm, alarm);
	if (first_alarm(clock) == alarm)
		set_timer(clock);
}

/*
 * Takes the alarm off the clock, if it is on it.
 */
void fault_clock_disarm(struct fault_clock *clock, struct fault_alarm *alarm)
{
	if (!alarm->armed)
		return;
	g_tree_remove(clock->armed, alarm);
	alarm->armed = false;
}
