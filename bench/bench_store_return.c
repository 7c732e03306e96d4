/*
 * bench_store_return: a store falls silent and is back, and a configuration is
 * acknowledged right after. How long until the last proxy of a fleet has heard
 * of the store's return, and until it has the configuration; how many calls the
 * store gets in the silence, and in the second after it. On a virtual clock,
 * with the proxies' own decisions on whom to ask, how often and for how long.
 *
 * A silence that ends before the first call in it is given up is noticed no
 * sooner than that: it is a case of its own ("short").
 *
 * The last proxy of 8, 74 and 300 had heard of the return after 4.37, 3.94 and
 * 4.39 s where a call in a silence was not repeated; now after 0.39, 0.43 and
 * 0.44 s.
 */
#include "event_queue.h"

#include <celeryquay/relay/feed_source.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS UINT64_C(1000)
#define ZONES 4
#define WAY_US (3 * MS)
#define SILENT_FROM_US (20 * 1000 * MS)
#define CONFIG_AFTER_US (100 * MS)
#define END_AFTER_US (12 * 1000 * MS)
#define PAUSE_LEAST_MS 60
#define PAUSE_MOST_MS 300
#define GATHER_US (200 * MS)
#define FEED_GATHER_US (10 * MS)

struct call {
	struct proxy *proxy;
	struct proxy *asked; /* NULL: the store */
	struct feed_plan plan;
	bool reads_all; /* answered without news */
	bool waits; /* at another proxy */
	bool over;
	unsigned revision; /* what another proxy's answer brings */
	uint64_t number; /* of the proxy's calls that count */
};

struct proxy {
	struct fleet *fleet;
	struct feed_source *source;
	char name[16];
	GPtrArray *calls; /* struct call, all that it sent */
	GPtrArray *waiting; /* struct call: asked of it, without an answer */
	uint64_t counts_from; /* the number of the first call that counts */
	uint64_t n_calls;
	struct proxy *source_of_last; /* NULL: the store */
	unsigned open; /* calls that count and are not over */
	uint64_t heard_us; /* when the store said what is known */
	unsigned pause_ms;
	unsigned revision;
	uint64_t back_us, config_us; /* 0: not yet */
};

struct fleet {
	struct event_queue *queue;
	GRand *rand;
	struct proxy *proxies;
	unsigned n;
	uint64_t silent_until_us;
	unsigned in_silence, right_after; /* calls to the store */
};

struct result {
	uint64_t back_max_us, config_max_us;
	unsigned n_late;
	double silence_calls_per_s;
	unsigned right_after;
};

static void send_call(void *ctx, void *data, uint64_t arg);

static uint64_t now_of(const struct proxy *p)
{
	return event_queue_now(p->fleet->queue);
}

static void at(struct proxy *p, uint64_t time_us, event_fn fn, void *data,
	       uint64_t arg)
{
	event_queue_at(p->fleet->queue, time_us, fn, p, data, arg);
}

static bool is_silent(const struct fleet *f, uint64_t time_us)
{
	return time_us >= SILENT_FROM_US && time_us < f->silent_until_us;
}

/* When the configuration is acknowledged. */
static uint64_t config_us(const struct fleet *f)
{
	return f->silent_until_us + CONFIG_AFTER_US;
}

static struct proxy *proxy_named(struct fleet *f, const char *name)
{
	return &f->proxies[atoi(name + 1)];
}

/* Calls that were sent before no longer count, whatever comes of them. */
static void forget_calls(struct proxy *p)
{
	p->counts_from = p->n_calls;
	p->open = 0;
}

static void answer_waiting(struct proxy *p);

/* What the store said at heard_us is known. */
static void learn(struct proxy *p, uint64_t heard_us, unsigned revision)
{
	uint64_t now_us = now_of(p), before_us = p->heard_us;
	bool is_news = revision > p->revision;

	p->heard_us = MAX(p->heard_us, heard_us);
	p->revision = MAX(p->revision, revision);
	if (!p->back_us && p->heard_us >= p->fleet->silent_until_us)
		p->back_us = now_us;
	if (!p->config_us && p->revision)
		p->config_us = now_us;
	if (is_news || p->heard_us > before_us + 1500 * MS)
		answer_waiting(p);
}

static void next_after(struct proxy *p, uint64_t delay_us)
{
	at(p, now_of(p) + delay_us, send_call, NULL, p->n_calls);
}

/* arg: the revision that the answer brings. */
static void on_store_answer(void *ctx, void *data, uint64_t arg)
{
	struct proxy *p = ctx;
	struct call *c = data;
	bool is_news = arg > p->revision;

	if (c->over || c->number < p->counts_from)
		return;
	c->over = true;
	forget_calls(p);
	p->pause_ms = 0;
	feed_source_on_store(p->source, true, now_of(p));
	learn(p, now_of(p), (unsigned)arg);
	next_after(p, is_news ? GATHER_US : 0);
}

/* The other's answer; arg: when the store was heard there. */
static void on_feed_answer(void *ctx, void *data, uint64_t arg)
{
	struct proxy *p = ctx;
	struct call *c = data;

	if (c->over || c->number < p->counts_from)
		return;
	c->over = true;
	forget_calls(p);
	p->pause_ms = 0;
	learn(p, arg, c->revision);
	feed_source_on_answer(p->source, c->asked->name, true, now_of(p) - arg,
			      now_of(p));
	next_after(p, FEED_GATHER_US);
}

static void answer_call(struct proxy *p, struct call *c)
{
	c->waits = false;
	c->revision = p->revision;
	at(c->proxy, now_of(p) + WAY_US, on_feed_answer, c, p->heard_us);
}

static void answer_waiting(struct proxy *p)
{
	GPtrArray *waiting = p->waiting;
	unsigned i;

	p->waiting = g_ptr_array_new();
	for (i = 0; i < waiting->len; i++)
		answer_call(p, g_ptr_array_index(waiting, i));
	g_ptr_array_unref(waiting);
}

static void on_feed_wait_over(void *ctx, void *data, uint64_t arg)
{
	struct proxy *p = ctx;
	struct call *c = data;

	(void)arg;
	if (c->waits && g_ptr_array_remove(p->waiting, c))
		answer_call(p, c);
}

static void reach_proxy(void *ctx, void *data, uint64_t arg)
{
	struct call *c = data;
	struct proxy *asked = c->asked;

	(void)ctx;
	(void)arg;
	if (c->reads_all || asked->revision > c->proxy->revision) {
		answer_call(asked, c);
		return;
	}
	c->waits = true;
	g_ptr_array_add(asked->waiting, c);
	at(asked, now_of(asked) + c->plan.wait_ms * MS, on_feed_wait_over, c,
	   0);
}

static void reach_store(void *ctx, void *data, uint64_t arg)
{
	struct proxy *p = ctx;
	struct fleet *f = p->fleet;
	struct call *c = data;
	uint64_t now_us = now_of(p), news_us = config_us(f);
	uint64_t answer_us = now_us + c->plan.wait_ms * MS;
	unsigned revision;

	(void)arg;
	f->in_silence += is_silent(f, now_us);
	f->right_after += now_us >= f->silent_until_us &&
			  now_us < f->silent_until_us + 1000 * MS;
	if (!p->revision && answer_us > news_us)
		answer_us = MAX(now_us, news_us);
	if (is_silent(f, now_us) || is_silent(f, answer_us))
		return;
	revision = answer_us >= news_us;
	at(p, answer_us + WAY_US, on_store_answer, c, revision);
}

static void on_limit(void *ctx, void *data, uint64_t arg)
{
	struct proxy *p = ctx;
	struct call *c = data;

	(void)arg;
	if (c->over || c->number < p->counts_from)
		return;
	c->over = true;
	if (--p->open)
		return; /* one that was sent later may be answered */
	forget_calls(p);
	if (c->asked) {
		feed_source_on_answer(p->source, c->asked->name, false, 0,
				      now_of(p));
		next_after(p, FEED_GATHER_US);
		return;
	}
	feed_source_on_store(p->source, false, now_of(p));
	p->pause_ms = CLAMP(p->pause_ms, PAUSE_LEAST_MS, PAUSE_MOST_MS);
	next_after(p, (p->pause_ms / 2 +
		       (uint64_t)g_rand_int_range(p->fleet->rand, 0,
						  (gint32)p->pause_ms)) *
			      MS);
	p->pause_ms *= 2;
}

/* arg: how many calls were sent when this one was planned. */
static void send_call(void *ctx, void *data, uint64_t arg)
{
	struct proxy *p = ctx;
	struct call *c;

	(void)data;
	if (arg != p->n_calls)
		return;
	c = g_new0(struct call, 1);
	g_ptr_array_add(p->calls, c);
	c->proxy = p;
	c->plan = feed_source_plan(p->source, false, now_of(p));
	if (c->plan.proxy) {
		c->asked = proxy_named(p->fleet, c->plan.proxy->id);
		forget_calls(p);
	}
	c->reads_all = c->asked != p->source_of_last;
	p->source_of_last = c->asked;
	c->number = p->n_calls++;
	p->open++;
	at(p, now_of(p) + WAY_US, c->asked ? reach_proxy : reach_store, c, 0);
	at(p, now_of(p) + c->plan.timeout_us, on_limit, c, 0);
	if (c->plan.repeat_ms)
		at(p, now_of(p) + c->plan.repeat_ms * MS, send_call, NULL,
		   p->n_calls);
}

static void start(struct fleet *f, unsigned n, uint64_t silence_us,
		  unsigned seed)
{
	struct relay_server_info *infos = g_new0(struct relay_server_info, n);
	static const char *const zones[ZONES] = { "a", "b", "c", "d" };
	unsigned i;

	*f = (struct fleet){ .n = n };
	f->queue = event_queue_create();
	f->rand = g_rand_new_with_seed(seed);
	f->proxies = g_new0(struct proxy, n);
	f->silent_until_us = SILENT_FROM_US + silence_us;
	for (i = 0; i < n; i++) {
		struct proxy *p = &f->proxies[i];

		g_snprintf(p->name, sizeof(p->name), "p%u", i);
		infos[i].id = p->name;
		infos[i].host = "127.0.0.1";
		infos[i].zone = (char *)zones[i % ZONES];
		infos[i].feed_port = 1;
		infos[i].capacity.mbps = i < ZONES ? 200 : 20;
	}
	for (i = 0; i < n; i++) {
		struct proxy *p = &f->proxies[i];

		p->fleet = f;
		p->calls = g_ptr_array_new_with_free_func(g_free);
		p->waiting = g_ptr_array_new();
		p->source = feed_source_create(p->name, infos[i].zone);
		feed_source_on_proxies(p->source, infos, n);
		at(p, (uint64_t)g_rand_int_range(f->rand, 0, 4000) * MS,
		   send_call, NULL, 0);
	}
	g_free(infos);
}

static void stop(struct fleet *f)
{
	unsigned i;

	for (i = 0; i < f->n; i++) {
		feed_source_destroy(f->proxies[i].source);
		g_ptr_array_unref(f->proxies[i].calls);
		g_ptr_array_unref(f->proxies[i].waiting);
	}
	g_free(f->proxies);
	g_rand_free(f->rand);
	event_queue_destroy(f->queue);
}

static void note(const struct fleet *f, struct result *r)
{
	double silence_s = (double)(f->silent_until_us - SILENT_FROM_US) / 1e6;
	unsigned i;

	for (i = 0; i < f->n; i++) {
		const struct proxy *p = &f->proxies[i];

		if (!p->back_us || !p->config_us) {
			r->n_late++;
			continue;
		}
		r->back_max_us =
			MAX(r->back_max_us, p->back_us - f->silent_until_us);
		r->config_max_us =
			MAX(r->config_max_us, p->config_us - config_us(f));
	}
	r->silence_calls_per_s =
		MAX(r->silence_calls_per_s, f->in_silence / silence_s);
	r->right_after = MAX(r->right_after, f->right_after);
}

static void play(unsigned n, uint64_t silence_us, unsigned seed,
		 struct result *r)
{
	struct fleet f;
	uint64_t end_us;

	start(&f, n, silence_us, seed);
	end_us = f.silent_until_us + END_AFTER_US;
	while (event_queue_now(f.queue) < end_us && event_queue_run(f.queue))
		;
	note(&f, r);
	stop(&f);
}

static void print(const char *kind, unsigned n, const struct result *r)
{
	printf("{\"bench\": \"store_return\", \"silence\": \"%s\", "
	       "\"proxies\": %u, \"back_max_ms\": %.0f, "
	       "\"config_max_ms\": %.0f, \"not_in_time\": %u, "
	       "\"calls_per_s\": %.0f, \"calls_right_after\": %u}\n",
	       kind, n, (double)r->back_max_us / 1e3,
	       (double)r->config_max_us / 1e3, r->n_late,
	       r->silence_calls_per_s, r->right_after);
}

int main(void)
{
	static const unsigned sizes[] = { 8, 74, 300 };
	unsigned i, seed;
	uint64_t ms;

	g_log_set_default_handler(g_log_default_handler, NULL);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct result noticed = { 0 }, brief = { 0 };

		for (seed = 1; seed <= 5; seed++) {
			for (ms = 4000; ms <= 8000; ms += 370)
				play(sizes[i], ms * MS, seed, &noticed);
			for (ms = 200; ms < 4000; ms += 370)
				play(sizes[i], ms * MS, seed, &brief);
		}
		print("noticed", sizes[i], &noticed);
		print("short", sizes[i], &brief);
	}
	return 0;
}
