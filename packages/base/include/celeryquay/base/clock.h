#ifndef CELERYQUAY_BASE_CLOCK_H
#define CELERYQUAY_BASE_CLOCK_H

#include <stdint.h>

/*
 * Microseconds since the VM booted, including the time during which it was
 * suspended.
 */
uint64_t clock_boot_us(void);

#endif
