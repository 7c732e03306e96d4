#ifndef CELERYQUAY_BASE_CLOCK_H
#define CELERYQUAY_BASE_CLOCK_H

#include <stdint.h>

/* Microseconds since the VM started, the time that it was suspended included.
 */
uint64_t clock_boot_us(void);

#endif
