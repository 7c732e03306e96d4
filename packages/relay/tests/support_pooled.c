#include "support_pooled.h"

#include <celeryquay/suite.h>
#include <math.h>
#include <string.h>

#define SETTLE_US (2 * USEC_PER_SEC) /* until all have connected */

/* One proxy in three is a large one. */
struct fake_options pooled_options(void)
{
	struct fake_options o = {
		.n_relays = POOLED_RELAYS,
		.n_groups = 1,
		.max_connections = POOLED_CONNECTIONS,
		.homes = true,
		.home_pooling = SPLACE_ON,
	};
	unsigned i;

	for (i = 0; i < o.n_relays; i++)
		o.capacities[i] = i % 3 ? (struct splace_capacity){ 84, 10 } :
					  (struct splace_capacity){ 500, 200 };
	return o;
}

struct fake *pooled_start(uint32_t seed, const struct fake_options *o)
{
	struct fake *f = fake_create_with(seed, o);

	fake_run(f, SETTLE_US);
	return f;
}

void pooled_end(struct fake *f)
{
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}

const struct rservice *pooled_service(const struct fake *f, unsigned relay)
{
	return g_hash_table_lookup(f->relays[relay].relay->services, "group0");
}

unsigned pooled_ranked(const struct fake *f, unsigned rank)
{
	unsigned i = 0;

	while (pooled_service(f, i)->rank.n_ranked_before != rank)
		ck_assert_uint_lt(++i, f->n_relays);
	return i;
}

/*
 * Other proxies learn of it at once. Servers drop the connections later: only
 * then do they accept others in their place.
 */
void pooled_kill(struct fake *f, unsigned relay)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	f->relays[relay].dead = true;
	for (i = 0; i < f->n_servers; i++)
		fake_cut(f, relay, i, true);
	g_hash_table_iter_init(&iter, f->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fake_conn *c = value;

		if (c->relay == relay)
			fake_close(&f->relays[relay], c->id);
		else if (c->peer && c->peer->index == relay)
			fake_hang_up(c->peer, PEER_SESSION | c->key);
	}
	fake_suspend_relay(f, relay, 3600 * USEC_PER_SEC);
}

void pooled_isolate(struct fake *f, unsigned relay, bool isolated)
{
	unsigned i;

	f->side[relay] = isolated;
	for (i = 0; i < f->n_servers; i++)
		fake_cut(f, relay, i, isolated);
	fake_set_store_reachable(f, relay, !isolated);
}

unsigned pooled_ran(const struct fake *f)
{
	unsigned i, n = 0;

	for (i = 0; i < f->n_relays; i++)
		n += f->relays[i].n_ran;
	return n;
}

static bool did_not_run(enum relay_code code)
{
	return code >= RELAY_BUSY && code <= RELAY_TOO_MANY;
}

static void count_refusal(struct load *l, const struct hist_session *s)
{
	l->n_refused++;
	l->n_without_retry_time += !strstr(s->said, "come back in ");
	l->n_refused_late += l->fake->now_us >
			     s->begun_us + FAKE_STATEMENT_TIMEOUT_US;
}

/* An answer came 1 ms ago. */
static void answered_event(struct fake *f, void *data)
{
	struct hist_session *s = data;
	struct load *l = s->user;

	g_ptr_array_add(l->idle[s->relay], s);
	if (s->begun_us < l->since_us)
		return;
	if (s->told == RELAY_OK) {
		l->n_ok++;
		l->n_in_time += f->now_us <=
				s->begun_us + FAKE_LATENCY_TARGET_US;
	} else if (did_not_run(s->told)) {
		count_refusal(l, s);
	} else if (s->told == RELAY_IN_DOUBT || s->told == RELAY_TIMED_OUT) {
		l->n_in_doubt++;
		l->last_in_doubt_us = MAX(l->last_in_doubt_us, s->begun_us);
	} else {
		l->n_failed++;
	}
}

static struct hist_session *open_session(struct load *l, unsigned relay)
{
	struct hist_session *s =
		hist_open_account(l->fake, relay, 0, l->kind, l->account);

	s->next = answered_event;
	s->user = l;
	return s;
}

/* An idle session at a random relay, or a new one. */
static struct hist_session *take_session(struct load *l)
{
	struct hist_session *s;
	unsigned relay;
	GPtrArray *idle;

	do {
		relay = (unsigned)fake_random(l->fake, 0, l->fake->n_relays);
	} while (l->avoid >> relay & 1);
	idle = l->idle[relay];
	while (idle->len) {
		s = g_ptr_array_steal_index(idle, idle->len - 1);
		if (s->open)
			return s;
	}
	return open_session(l, relay);
}

/* Arrivals are a Poisson process. */
static uint64_t interval_us(const struct load *l)
{
	double draw = g_rand_double(l->fake->rng);

	return (uint64_t)(-log(1 - draw) / l->per_s * USEC_PER_SEC);
}

static void arrival_event(struct fake *f, void *data)
{
	struct load *l = data;
	struct hist_session *s;

	if (l->stopped)
		return;
	s = take_session(l);
	if (s->open) {
		l->n_sent++;
		hist_start(f, s,
			   fake_chance(f, l->writes) ? RELAY_WRITE : RELAY_READ,
			   "", "1");
	}
	fake_at(f, -1, interval_us(l), arrival_event, l, NULL);
}

void load_start(struct fake *f, struct load *l)
{
	unsigned i;

	l->fake = f;
	for (i = 0; i < MAX_RELAYS; i++)
		l->idle[i] = g_ptr_array_new();
	fake_at(f, -1, interval_us(l), arrival_event, l, NULL);
}

void load_stop(struct load *l)
{
	l->stopped = true;
}

void load_reset(struct load *l)
{
	l->n_sent = l->n_ok = l->n_in_time = l->n_refused = 0;
	l->n_without_retry_time = l->n_refused_late = 0;
	l->n_in_doubt = l->n_failed = 0;
	l->last_in_doubt_us = 0;
	l->since_us = l->fake->now_us;
}

unsigned load_answered(const struct load *l)
{
	return l->n_ok + l->n_refused + l->n_in_doubt + l->n_failed;
}

void load_free(struct load *l)
{
	unsigned i;

	for (i = 0; i < MAX_RELAYS; i++)
		g_ptr_array_free(l->idle[i], TRUE);
}
