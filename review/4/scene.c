/*
 * syncReplicas is 1. One replica loses the store, but neither the primary nor
 * the proxies, and its entry expires. A proxy that starts during a rolling
 * restart doesn't know of it. The primary crashes, and that proxy promotes the
 * other replica, which lacks what only the first one had received.
 */
#include "world.h"

#include <pthread.h>
#include <signal.h>
#include <string.h>

#define PROXIES 3
#define ACKED_MAX 50000
#define CUT_S 5.0 /* of the replica from the store */
#define CRASH_S 7.0 /* of the primary */
#define GAP_S 2.0 /* between two stops of the rolling restart */
/* From the cut until the first stop, and until the crash. */
#define STOP_AFTER_S 0.45
#define CRASH_AFTER_S 4.75

static char acked[ACKED_MAX][24];
static unsigned n_acked;
static volatile bool ending;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void note_acked(const char *id)
{
	pthread_mutex_lock(&lock);
	if (n_acked < ACKED_MAX)
		strcpy(acked[n_acked++], id);
	pthread_mutex_unlock(&lock);
}

/* Writes through one proxy, a statement after the other. */
static void *write_all_the_time(void *data)
{
	unsigned p = (unsigned)(uintptr_t)data;
	struct caller c = { .fd = -1 };
	char id[24];

	while (!ending) {
		if (c.fd < 0 && !caller_open(&c, p, WORLD_DB_PRIMARY)) {
			world_sleep_ms(50);
			continue;
		}
		new_id(id);
		if (!caller_ask(&c, id, "WRITE 1a4 x", 2500))
			caller_close(&c);
		else if (!strcmp(c.code, "COMPLETE"))
			note_acked(id);
		record("proxy %u answers %s: %s %s", p, id, c.code, c.text);
		world_sleep_ms(strcmp(c.code, "COMPLETE") ? 100 : 10);
	}
	return NULL;
}

/* The acknowledged writes that the promoted server's log lacks. */
static unsigned count_lost(int leader)
{
	unsigned i, n = 0;

	for (i = 0; i < n_acked; i++) {
		if (server_has((unsigned)leader, acked[i]))
			continue;
		record("acknowledged and not in the log of %s: %s",
		       server_id((unsigned)leader), acked[i]);
		n++;
	}
	return n;
}

static void play(void)
{
	double beat_s = server_beat_s(2), start_s;
	unsigned p;

	while (server_beat_s(2) == beat_s)
		world_sleep_ms(1);
	start_s = world_now_s();
	if (world_trouble())
		server_cut_from_store(2, true);
	for (p = 0; p < PROXIES; p++) {
		world_sleep_until(start_s + STOP_AFTER_S + p * GAP_S);
		proxy_signal(p, SIGTERM);
	}
	world_sleep_until(start_s + CRASH_AFTER_S);
	server_crash(0);
	world_sleep_until(start_s + CUT_S);
	if (world_trouble())
		server_cut_from_store(2, false);
	world_sleep_until(start_s + CRASH_AFTER_S + CRASH_S);
	server_restart(0);
	world_sleep_until(start_s + CRASH_AFTER_S + CRASH_S + 5);
}

int main(void)
{
	static const struct world_options options = {
		.n_proxies = PROXIES,
		.sync_replicas = 1,
		.promote_ms = 1000,
		.receive_ms = { 10, 90, 10 },
	};
	pthread_t writers[PROXIES];
	unsigned p, n_lost;
	int leader;

	world_start(&options);
	for (p = 0; p < PROXIES; p++)
		proxy_start(p);
	if (!proxies_wait_ready(PROXIES, 20000))
		world_end(2);
	for (p = 0; p < PROXIES; p++)
		pthread_create(&writers[p], NULL, write_all_the_time,
			       (void *)(uintptr_t)p);
	world_sleep_ms(5000);
	play();
	ending = true;
	for (p = 0; p < PROXIES; p++)
		pthread_join(writers[p], NULL);
	leader = server_leader();
	if (leader <= 0 || !promotions_count())
		world_end(2);
	n_lost = count_lost(leader);
	record("%u writes acknowledged, %u of them not in the log of %s",
	       n_acked, n_lost, server_id((unsigned)leader));
	world_end(n_lost > 0);
}
