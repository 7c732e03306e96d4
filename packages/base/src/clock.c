#include <celeryquay/base/clock.h>

#include <time.h>

#define US_PER_S UINT64_C(1000000)
#define NS_PER_US 1000

/*
 * The monotonic clock stands still while a VM is suspended, and a node that
 * woke would rely on what has run out.
 */
uint64_t clock_boot_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * US_PER_S +
	       (uint64_t)ts.tv_nsec / NS_PER_US;
}
