/*
 * bench_relay_fleet: the processor time that one proxy spends on the rest of
 * the fleet, for as many databases as proxies: at a start, when a proxy or a
 * server comes, when the configuration changes, and in each tick. Decisions
 * alone; nothing is parsed and nothing is sent.
 *
 * "power" is the exponent by which an event grows from the smallest to the
 * largest size.
 */
#include <celeryquay/base/counter.h>
#include <celeryquay/relay/relay.h>

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define MS UINT64_C(1000)
#define ROUNDS 5
#define TICKS 50
#define TICK_US (20 * MS)
#define ZONES 6
#define SERVERS_A_SERVICE 3
#define MAX_CONNECTIONS 80 /* homes stand between at any size here */
#define BATCHES 20 /* of news, in a start */
#define SELVES 20 /* proxies that are played in turn, to count */

enum event { START, PROXY, SERVER, CONFIG, TICK, EVENTS };

static const char *const event_names[EVENTS] = {
	[START] = "start",   [PROXY] = "proxy", [SERVER] = "server",
	[CONFIG] = "config", [TICK] = "tick",
};

struct bench {
	unsigned n; /* proxies, and services */
	struct relay *relay;
	struct counter_set *counters;
	GRand *rng;
	struct relay_server_info *proxies;
	struct relay_server_info *servers;
	uint64_t version;
	uint64_t now_us;
	unsigned n_opened; /* connections to servers */
};

static void answer(void *ctx, uint64_t session, const struct relay_answer *a)
{
	(void)ctx;
	(void)session;
	(void)a;
}

static void close_id(void *ctx, uint64_t id)
{
	(void)ctx;
	(void)id;
}

static void open_conn(void *ctx, uint64_t conn,
		      const struct relay_server_info *server,
		      const char *account)
{
	struct bench *b = ctx;

	(void)conn;
	(void)server;
	(void)account;
	b->n_opened++;
}

static void send_statement(void *ctx, uint64_t conn,
			   const struct relay_statement *statement)
{
	(void)ctx;
	(void)conn;
	(void)statement;
}

static void claim(void *ctx, uint64_t expected,
		  const struct relay_promotion *promotions,
		  unsigned n_promotions)
{
	(void)ctx;
	(void)expected;
	(void)promotions;
	(void)n_promotions;
}

static void promote(void *ctx, const char *service, const char *server,
		    uint64_t token)
{
	(void)ctx;
	(void)service;
	(void)server;
	(void)token;
}

static void cancel_promotions(void *ctx, const char *service)
{
	(void)ctx;
	(void)service;
}

static void write_roster(void *ctx, const char *service,
			 const struct relay_roster *roster)
{
	(void)ctx;
	(void)service;
	(void)roster;
}

static const struct relay_ops ops = {
	.answer = answer,
	.hang_up = close_id,
	.open = open_conn,
	.send = send_statement,
	.close = close_id,
	.claim = claim,
	.promote = promote,
	.cancel_promotions = cancel_promotions,
	.write_roster = write_roster,
};

static double cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static char *zone_of(unsigned i)
{
	static char names[ZONES][8];

	g_snprintf(names[i % ZONES], sizeof(names[0]), "zone-%u", i % ZONES);
	return names[i % ZONES];
}

static void make_proxies(struct bench *b)
{
	unsigned i;

	b->proxies = g_new0(struct relay_server_info, b->n);
	for (i = 0; i < b->n; i++)
		b->proxies[i] = (struct relay_server_info){
			.id = g_strdup_printf("frontend-%u", i),
			.host = (char *)"10.0.0.1",
			.port = 1,
			.zone = zone_of(i),
			.feed_port = 2,
			.capacity.mbps = i % 16 ? 20 : 1000,
		};
}

static void make_servers(struct bench *b)
{
	unsigned i;

	b->servers = g_new0(struct relay_server_info, b->n * SERVERS_A_SERVICE);
	for (i = 0; i < b->n * SERVERS_A_SERVICE; i++)
		b->servers[i] = (struct relay_server_info){
			.id = g_strdup_printf("i-%08x", i * 2654435761u),
			.service = g_strdup_printf("service-%u",
						   i / SERVERS_A_SERVICE),
			.host = (char *)"10.0.1.1",
			.port = 1,
			.zone = zone_of(i),
			.role = i % SERVERS_A_SERVICE ? ROLE_REPLICA :
							ROLE_PRIMARY,
			.slots = 3,
			.started_at_ms = 1,
		};
}

static void configure(struct bench *b)
{
	struct relay_catalog *c = relay_catalog_create(++b->version, 0);
	unsigned i;

	for (i = 0; i < b->n; i++) {
		char *name = g_strdup_printf("service-%u", i);
		struct relay_service_conf conf = {
			.name = name, .max_connections = MAX_CONNECTIONS
		};

		relay_catalog_add_service(c, &conf);
		g_free(name);
	}
	relay_on_catalog(b->relay, c, b->now_us);
	relay_catalog_unref(c);
}

/* All that a proxy hears at its start, in parts. */
static void hear_all(struct bench *b)
{
	unsigned i;

	configure(b);
	for (i = 1; i <= BATCHES; i++) {
		b->now_us += 200 * MS;
		relay_on_peers(b->relay, b->proxies, b->n * i / BATCHES,
			       b->now_us);
		relay_on_servers(b->relay, b->servers,
				 b->n * SERVERS_A_SERVICE * i / BATCHES,
				 b->now_us);
	}
}

static void run_event(struct bench *b, enum event event)
{
	unsigned i;

	switch (event) {
	case START:
		hear_all(b);
		break;
	case PROXY:
		relay_on_peers(b->relay, b->proxies, b->n - 1, b->now_us);
		relay_on_peers(b->relay, b->proxies, b->n, b->now_us);
		break;
	case SERVER:
		b->servers[0].leaving = !b->servers[0].leaving;
		relay_on_servers(b->relay, b->servers, b->n * SERVERS_A_SERVICE,
				 b->now_us);
		break;
	case CONFIG:
		configure(b);
		break;
	case TICK:
		for (i = 0; i < TICKS; i++)
			relay_tick(b->relay, b->now_us += TICK_US);
		break;
	case EVENTS:
		break;
	}
}

static void start(struct bench *b, unsigned n, unsigned self)
{
	struct relay_settings settings;

	*b = (struct bench){ .n = n, .now_us = G_USEC_PER_SEC };
	make_proxies(b);
	make_servers(b);
	relay_settings_default(&settings);
	settings.name = b->proxies[self].id;
	settings.zone = b->proxies[self].zone;
	b->counters = counter_set_create();
	b->rng = g_rand_new_with_seed(1);
	b->relay = relay_create(&settings, &ops, b, b->counters, b->rng,
				b->now_us);
}

static void stop(struct bench *b)
{
	unsigned i;

	relay_destroy(b->relay);
	counter_set_destroy(b->counters);
	g_rand_free(b->rng);
	for (i = 0; i < b->n; i++)
		g_free(b->proxies[i].id);
	for (i = 0; i < b->n * SERVERS_A_SERVICE; i++) {
		g_free(b->servers[i].id);
		g_free(b->servers[i].service);
	}
	g_free(b->proxies);
	g_free(b->servers);
}

/* The least of a few rounds: other work on the machine only adds to it. */
static double measure(unsigned n, enum event event)
{
	double least_us = INFINITY;
	unsigned round;

	for (round = 0; round < ROUNDS; round++) {
		struct bench b;
		double began_us;

		start(&b, n, 0);
		if (event != START)
			hear_all(&b);
		began_us = cpu_us();
		run_event(&b, event);
		least_us = MIN(least_us, cpu_us() - began_us);
		stop(&b);
	}
	return least_us;
}

/* What one proxy opens to servers at a start, in the middle of a few. */
static unsigned count_opened(unsigned n)
{
	struct bench b;
	unsigned i, sum = 0;

	for (i = 0; i < SELVES; i++) {
		start(&b, n, i);
		hear_all(&b);
		sum += b.n_opened;
		stop(&b);
	}
	return sum / SELVES;
}

int main(void)
{
	static const unsigned sizes[] = { 100, 300, 1000, 2000 };
	unsigned event, i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++)
		printf("{\"bench\": \"relay_fleet_conns\", \"proxies\": %u, "
		       "\"opened\": %u}\n",
		       sizes[i], count_opened(sizes[i]));
	for (event = 0; event < EVENTS; event++) {
		double us[G_N_ELEMENTS(sizes)];

		for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
			us[i] = measure(sizes[i], event);
			printf("{\"bench\": \"relay_fleet\", "
			       "\"event\": \"%s\", \"proxies\": %u, "
			       "\"us\": %.0f}\n",
			       event_names[event], sizes[i], us[i]);
		}
		printf("{\"bench\": \"relay_fleet_growth\", "
		       "\"event\": \"%s\", \"power\": %.2f}\n",
		       event_names[event],
		       log(us[i - 1] / us[0]) /
			       log((double)sizes[i - 1] / sizes[0]));
	}
	return EXIT_SUCCESS;
}
