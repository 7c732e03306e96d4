#include <celeryquay/base/clock.h>

#include <time.h>

#define US_PER_S UINT64_C(1000000)
#define NS_PER_US 1000

/*
 * CLOCK_MONOTONIC does not advance while a VM is suspended, so a resumed node
 * would still rely on deadlines that expired during the suspension.
 */
uint64_t clock_boot_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * US_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_US;
}
