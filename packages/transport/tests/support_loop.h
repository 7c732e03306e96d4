#ifndef CELERYQUAY_TESTS_SUPPORT_LOOP_H
#define CELERYQUAY_TESTS_SUPPORT_LOOP_H

/*
 * Runs a test's loop until a condition holds; fails the test if it never does.
 */

#include <stdbool.h>
#include <uv.h>

void loop_until(uv_loop_t *loop, bool (*holds)(void *ctx), void *ctx);
/*
 * Runs the remaining callbacks after everything was destroyed and closes the
 * loop.
 */
void loop_end(uv_loop_t *loop);

#endif
