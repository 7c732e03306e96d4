#ifndef CELERYQUAY_SCHED_SPEED_H
#define CELERYQUAY_SCHED_SPEED_H

/*
 * Service times of the statements of each profile, and how slow a server is
 * compared with its peers for the same profile. Times are microseconds.
 */

#include <stdbool.h>
#include <stdint.h>

struct sspeed;

/* Of the servers of one service. */
struct sspeed *sspeed_create(void);
void sspeed_destroy(struct sspeed *s);
/* A statement of the profile took this long at the server. */
void sspeed_note(struct sspeed *s, const char *server, const char *profile,
		 uint64_t took_us, uint64_t now_us);
/* The server started again or left: what is known of it is void. */
void sspeed_forget(struct sspeed *s, const char *server);

/* Expected service time of a profile's statement; default_us: unknown. */
uint64_t sspeed_expected_us(const struct sspeed *s, const char *profile,
			    uint64_t default_us);
/*
 * How many times as long as its peers the server takes, 1: as long or unknown;
 * from 0.25 to 16.
 */
double sspeed_slowness(const struct sspeed *s, const char *server,
		       uint64_t now_us);
/*
 * The share of its slots that a server which became usable at since_us may be
 * given: from a quarter to all within two seconds.
 */
double sspeed_ramp(uint64_t since_us, uint64_t now_us);
/*
 * When the server would finish one more statement of that service time.
 * in_flight: statements there now.
 */
uint64_t sspeed_completion_us(uint64_t service_us, double slowness,
			      unsigned in_flight, unsigned slots);

#endif
