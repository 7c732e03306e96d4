#include <celeryquay/sched/speed.h>

#include <glib.h>
#include <math.h>

/* The newest service time counts one eighth of a moving average. */
#define WEIGHT 8.0
/* Without a new measurement a server's slowness halves after this long. */
#define HALF_LIFE_US (UINT64_C(2) * 1000 * 1000)
#define MIN_SLOWNESS 0.25
#define MAX_SLOWNESS 16.0
/* A server that came back has caches to fill and sessions to take over. */
#define RAMP_US (UINT64_C(2) * 1000 * 1000)
#define RAMP_START 0.25

struct server_speed {
	double log_slowness; /* base 2; 0: as fast as its peers */
	uint64_t noted_at_us;
};

struct profile_time {
	double mean_us;
	double mean_log; /* of the logarithm of the time in us, base 2 */
};

struct sspeed {
	GHashTable *profiles; /* name -> struct profile_time */
	GHashTable *servers; /* server -> struct server_speed */
};

/* Nothing is known at first. */
struct sspeed *sspeed_create(void)
{
	struct sspeed *s = g_new0(struct sspeed, 1);

	s->profiles =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return s;
}

/* NULL is ignored. */
void sspeed_destroy(struct sspeed *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->profiles);
	g_hash_table_destroy(s->servers);
	g_free(s);
}

static struct profile_time *time_of(struct sspeed *s, const char *profile,
				    double first_us)
{
	struct profile_time *t = g_hash_table_lookup(s->profiles, profile);

	if (t)
		return t;
	t = g_new(struct profile_time, 1);
	t->mean_us = first_us;
	t->mean_log = log2(first_us);
	g_hash_table_insert(s->profiles, g_strdup(profile), t);
	return t;
}

static struct server_speed *speed_of(struct sspeed *s, const char *server)
{
	struct server_speed *v = g_hash_table_lookup(s->servers, server);

	if (v)
		return v;
	v = g_new0(struct server_speed, 1);
	g_hash_table_insert(s->servers, g_strdup(server), v);
	return v;
}

static double decayed(const struct server_speed *v, uint64_t now_us)
{
	double half_lives =
		(double)(now_us - MIN(v->noted_at_us, now_us)) / HALF_LIFE_US;

	return v->log_slowness * exp2(-half_lives);
}

/*
 * Records a service time. Servers are compared by the logarithm of its ratio to
 * what the profile's statements take at all servers, so that a profile of long
 * statements doesn't make the server that runs them look slow, and one very
 * long statement counts little. It is compared with the mean of the logarithms:
 * most times are below the mean time, and servers that are measured would look
 * faster than the average, as which one counts that isn't.
 */
void sspeed_note(struct sspeed *s, const char *server, const char *profile,
		 uint64_t took_us, uint64_t now_us)
{
	double us = MAX((double)took_us, 1);
	struct profile_time *t = time_of(s, profile, us);
	struct server_speed *v = speed_of(s, server);
	double sample = log2(us) - t->mean_log;
	double before = decayed(v, now_us);

	sample = CLAMP(sample, -log2(MAX_SLOWNESS), log2(MAX_SLOWNESS));
	v->log_slowness = before + (sample - before) / WEIGHT;
	v->noted_at_us = now_us;
	t->mean_us += (us - t->mean_us) / WEIGHT;
	t->mean_log += (log2(us) - t->mean_log) / WEIGHT;
}

/* Voids what is known of a server that started again or left. */
void sspeed_forget(struct sspeed *s, const char *server)
{
	g_hash_table_remove(s->servers, server);
}

/* The expected service time of a profile's statement. */
uint64_t sspeed_expected_us(const struct sspeed *s, const char *profile,
			    uint64_t default_us)
{
	const struct profile_time *t =
		g_hash_table_lookup(s->profiles, profile);

	return t ? (uint64_t)t->mean_us : default_us;
}

/* How many times as long as its peers the server takes. */
double sspeed_slowness(const struct sspeed *s, const char *server,
		       uint64_t now_us)
{
	const struct server_speed *v = g_hash_table_lookup(s->servers, server);

	if (!v)
		return 1;
	return CLAMP(exp2(decayed(v, now_us)), MIN_SLOWNESS, MAX_SLOWNESS);
}

/* The share of its slots that a server may be given after its return. */
double sspeed_ramp(uint64_t since_us, uint64_t now_us)
{
	uint64_t for_us = now_us - MIN(since_us, now_us);

	if (for_us >= RAMP_US)
		return 1;
	return RAMP_START + (1 - RAMP_START) * (double)for_us / RAMP_US;
}

/* When the server would finish one more statement. */
uint64_t sspeed_completion_us(uint64_t service_us, double slowness,
			      unsigned in_flight, unsigned slots)
{
	double waves = 1 + (double)in_flight / MAX(slots, 1);

	return (uint64_t)((double)service_us * slowness * waves);
}
