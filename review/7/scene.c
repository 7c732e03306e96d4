/*
 * A proxy is cut off from the platform as its promotion call is on the way. It
 * gives the call up by closing the connection, so the bytes that were held up
 * arrive when the cut heals: a stale token after another proxy's newer one.
 */
#include "world.h"

#include <string.h>

#define PROXIES 3
#define CUT_S 5.0 /* of the proxy from the platform */
#define CRASH_S 7.0 /* of the primary */
#define WATCH_S 16.0 /* from the crash to the end */

static void write_some(void)
{
	struct caller c;
	char id[24];
	unsigned i;

	if (!caller_open(&c, 0, WORLD_DB_PRIMARY))
		return;
	for (i = 0; i < 20; i++) {
		if (!caller_ask(&c, new_id(id), "WRITE 1a4 x", 2500))
			break;
		record("proxy 0 answers %s: %s %s", id, c.code, c.text);
		world_sleep_ms(50);
	}
	caller_close(&c);
}

/* The primary crashes, and whoever promotes first is cut off as it does. */
static void play(void)
{
	double crash_s = world_now_s(), cut_s = 0;
	bool is_back = false;

	if (world_trouble())
		platform_cut_next_caller();
	server_crash(0);
	while (world_now_s() < crash_s + WATCH_S) {
		int p = platform_cut_proxy();

		if (p >= 0 && !cut_s)
			cut_s = world_now_s();
		if (p >= 0 && world_now_s() >= cut_s + CUT_S)
			platform_heal((unsigned)p);
		if (!is_back && world_now_s() >= crash_s + CRASH_S) {
			is_back = true;
			server_restart(0);
		}
		world_sleep_ms(5);
	}
}

/* Whether a call carried a lower token than the platform had seen. */
static bool is_any_stale(void)
{
	struct world_promotion newest = { 0 };
	unsigned i, n = promotions_count();
	bool found = false;

	for (i = 0; i < n; i++) {
		struct world_promotion r = promotion_at(i);

		if (r.token < newest.token) {
			record("%s sent token %lu, after %s had sent %lu",
			       r.holder, (unsigned long)r.token, newest.holder,
			       (unsigned long)newest.token);
			found = true;
		} else {
			newest = r;
		}
	}
	return found;
}

int main(void)
{
	static const struct world_options options = {
		.n_proxies = PROXIES,
		.promote_ms = 1000,
		.receive_ms = { 10, 10, 10 },
	};
	unsigned p;

	world_start(&options);
	for (p = 0; p < PROXIES; p++)
		proxy_start(p);
	if (!proxies_wait_ready(PROXIES, 20000))
		world_end(2);
	world_sleep_ms(6000);
	write_some();
	play();
	if (!promotions_count())
		world_end(2);
	world_end(is_any_stale());
}
