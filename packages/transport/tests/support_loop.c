#include "support_loop.h"

#include <check.h>

/*
 * Time limit for a condition, wide enough for a loaded machine under a
 * sanitizer.
 */
#define TIMEOUT_MS 60000
/* Interval at which a condition is checked if no event in the loop occurs. */
#define POLL_INTERVAL_MS 5

static void on_tick(uv_timer_t *timer)
{
	(void)timer;
}

/* Runs the loop until the condition holds. */
void loop_until(uv_loop_t *loop, bool (*holds)(void *ctx), void *ctx)
{
	uint64_t end = uv_hrtime() + TIMEOUT_MS * 1000000ULL;
	bool in_time = true;
	uv_timer_t tick;

	uv_timer_init(loop, &tick);
	uv_timer_start(&tick, on_tick, POLL_INTERVAL_MS, POLL_INTERVAL_MS);
	while (!holds(ctx) && (in_time = uv_hrtime() < end))
		uv_run(loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&tick, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
	ck_assert_msg(in_time, "the condition never holds");
}

/* Every handle must be closed or closing, or the loop would not end. */
void loop_end(uv_loop_t *loop)
{
	uv_run(loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(loop), 0);
}
