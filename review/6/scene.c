/*
 * Another writer puts bytes that can't be read under servers/. Each proxy that
 * reads them crashes, and crashes again after each start.
 */
#include "world.h"

#include <stdlib.h>
#include <string.h>

#define PROXIES 3
#define ENTRY_BYTES 200000 /* a value may have 1,048,576 */
#define WATCH_S 10.0
/* A process that ends this often in a day is a fault. */
#define ENDS_MAX 2

/* Asks each proxy for one write; the number that answered COMPLETE. */
static unsigned write_once(void)
{
	unsigned p, n = 0;

	for (p = 0; p < PROXIES; p++) {
		struct caller c;
		char id[24];

		new_id(id);
		if (!caller_open(&c, p, WORLD_DB_PRIMARY)) {
			record("proxy %u takes no caller: %s", p, c.code);
			continue;
		}
		caller_ask(&c, id, "WRITE 1a4 x", 2500);
		record("proxy %u answers %s: %s %s", p, id, c.code, c.text);
		n += !strcmp(c.code, "COMPLETE");
		caller_close(&c);
	}
	return n;
}

/* Without the trouble the same length of brackets, without the quote. */
static void put_entry(void)
{
	const char *front = world_trouble() ? "/* \" */" : "/* - */";
	char *value = malloc(ENTRY_BYTES);

	memset(value, '[', ENTRY_BYTES);
	memcpy(value, front, strlen(front));
	store_put("servers/i-other", value, ENTRY_BYTES);
	record("another writer puts servers/i-other, %d bytes", ENTRY_BYTES);
	free(value);
}

int main(void)
{
	static const struct world_options options = {
		.n_proxies = PROXIES,
		.promote_ms = 1000,
		.receive_ms = { 10, 10, 10 },
	};
	unsigned p, n_ended = 0;
	double put_s;

	world_start(&options);
	for (p = 0; p < PROXIES; p++)
		proxy_start(p);
	if (!proxies_wait_ready(PROXIES, 20000))
		world_end(2);
	world_sleep_ms(5000);
	if (write_once() != PROXIES)
		world_end(2);
	put_entry();
	put_s = world_now_s();
	while (world_now_s() < put_s + WATCH_S) {
		write_once();
		world_sleep_ms(500);
	}
	for (p = 0; p < PROXIES; p++) {
		record("proxy %u ended %u times by itself", p,
		       proxy_own_ends(p));
		n_ended += proxy_own_ends(p) > ENDS_MAX;
	}
	world_end(n_ended >= 2);
}
