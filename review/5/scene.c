/*
 * The primary crashes. A proxy is cut off from the platform as its promotion
 * call is on the way, and gives the call up by closing the connection. The
 * server that it named begins to drain. Three seconds after the first claim
 * another proxy promotes another server, and the call that was held up arrives:
 * two servers are promoted, and what the first one acknowledges is lost.
 */
#include "world.h"

#include <pthread.h>
#include <string.h>

#define PROXIES 3
#define WRITERS (4 * PROXIES)
#define ACKED_MAX 50000
#define CRASH_S 7.0 /* of the primary */
#define CUT_S 2.9 /* of the proxy from the platform */
#define DRAIN_AFTER_S 1.0 /* the cut; planned */
#define WATCH_S 10.0 /* from the crash to the end */

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
		world_sleep_ms(strcmp(c.code, "COMPLETE") ? 20 : 5);
	}
	return NULL;
}

/* The primary crashes, and whoever promotes first is cut off as it does. */
static void play(void)
{
	double crash_s = world_now_s(), cut_s = 0;
	bool is_back = false, drains = false;

	if (world_trouble())
		platform_cut_next_caller();
	server_crash(0);
	while (world_now_s() < crash_s + WATCH_S) {
		double now_s = world_now_s();
		int p = platform_cut_proxy(), target = platform_held_target();

		if (p >= 0 && !cut_s)
			cut_s = now_s;
		if (cut_s && !drains && now_s >= cut_s + DRAIN_AFTER_S) {
			drains = true;
			server_drain((unsigned)target);
		}
		if (p >= 0 && now_s >= cut_s + CUT_S)
			platform_heal((unsigned)p);
		if (!is_back && now_s >= crash_s + CRASH_S) {
			is_back = true;
			server_restart(0);
		}
		world_sleep_ms(5);
	}
}

/* The acknowledged writes that a primary made after it had been replaced. */
static unsigned count_replaced(void)
{
	unsigned i, n = 0;

	for (i = 0; i < n_acked; i++) {
		if (!commit_was_replaced(acked[i]))
			continue;
		record("acknowledged, and made after the promotion: %s",
		       acked[i]);
		n++;
	}
	return n;
}

int main(void)
{
	static const struct world_options options = {
		.n_proxies = PROXIES,
		.promote_ms = 1000,
		.receive_ms = { 10, 10, 10 },
	};
	pthread_t writers[WRITERS];
	unsigned i, n_wrong;

	world_start(&options);
	for (i = 0; i < PROXIES; i++)
		proxy_start(i);
	if (!proxies_wait_ready(PROXIES, 20000))
		world_end(2);
	for (i = 0; i < WRITERS; i++)
		pthread_create(&writers[i], NULL, write_all_the_time,
			       (void *)(uintptr_t)(i % PROXIES));
	world_sleep_ms(4000);
	play();
	ending = true;
	for (i = 0; i < WRITERS; i++)
		pthread_join(writers[i], NULL);
	if (!promotions_count())
		world_end(2);
	n_wrong = count_replaced();
	record("%u writes acknowledged, %u of them at a replaced primary",
	       n_acked, n_wrong);
	world_end(n_wrong > 0);
}
