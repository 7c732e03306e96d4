#include "later.h"

#include <glib.h>

struct later {
	uv_timer_t timer;
	later_fn fn;
	void *data;
};

/* The steady clock, in microseconds. */
uint64_t later_now_us(void)
{
	return uv_hrtime() / 1000;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_timer(uv_timer_t *timer)
{
	struct later *l = timer->data;

	l->fn(l->data);
	uv_close((uv_handle_t *)timer, on_closed);
}

/* Rounded to milliseconds, which is what the loop can do. */
void later(uv_loop_t *loop, uint64_t after_us, later_fn fn, void *data)
{
	struct later *l = g_new0(struct later, 1);

	l->fn = fn;
	l->data = data;
	uv_timer_init(loop, &l->timer);
	l->timer.data = l;
	uv_update_time(loop);
	uv_timer_start(&l->timer, on_timer, after_us / MS, 0);
}
