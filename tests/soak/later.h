#ifndef SOAK_LATER_H
#define SOAK_LATER_H

/* What happens once after a while; the soak's clock. */

#include <stdint.h>
#include <uv.h>

#define MS 1000u
#define SEC 1000000u

typedef void (*later_fn)(void *data);

uint64_t later_now_us(void);
/* Runs even when its subject is gone: data must say by itself. */
void later(uv_loop_t *loop, uint64_t after_us, later_fn fn, void *data);

#endif
