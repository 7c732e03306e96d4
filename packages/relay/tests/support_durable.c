#include "support_durable.h"

#include <celeryquay/suite.h>
#include <string.h>

/* Longest outage of a server. */
#define OUTAGE_MAX_MS 11000
/* Until writes succeed again once the faults have ended. */
#define RECOVERY_US (12 * USEC_PER_SEC)

static struct hist_session *writers[DURABLE_RELAYS];

static void write_next(struct fake *f, void *data)
{
	struct hist_session *s = data;

	if (s->open && !s->now)
		hist_start(f, s, s->state == 'I' ? RELAY_WRITE : RELAY_ROLLBACK,
			   "", "1");
}

void durable_open_writers(struct fake *f)
{
	unsigned i;

	for (i = 0; i < DURABLE_RELAYS; i++) {
		if (writers[i] && writers[i]->open)
			continue;
		writers[i] = hist_open(f, i, 0, RELAY_KIND_PRIMARY);
		writers[i]->next = write_next;
		write_next(f, writers[i]);
	}
}

struct fake *durable_start_with(uint32_t seed, unsigned sync_replicas)
{
	struct fake_options o = { .n_relays = DURABLE_RELAYS,
				  .n_groups = 1,
				  .sync_replicas = sync_replicas };
	struct fake *f = fake_create_with(seed, &o);

	memset(writers, 0, sizeof(writers));
	f->promote_duration_us = 300 * MS + seed % 8 * 100 * MS;
	fake_run(f, DURABLE_START_WAIT_US + USEC_PER_SEC);
	durable_open_writers(f);
	fake_run(f, fake_random(f, 500, 1500) * MS);
	return f;
}

struct fake *durable_start(uint32_t seed)
{
	return durable_start_with(seed, 1);
}

static char *finish(struct fake *f)
{
	unsigned acked;
	char *wrong;

	fake_heal(f);
	fake_publish_lists(f);
	fake_run(f, RECOVERY_US);
	durable_open_writers(f);
	acked = hist_acknowledged(f);
	fake_run(f, USEC_PER_SEC);
	wrong = g_strdup(hist_check(f));
	if (!*wrong &&
	    hist_acknowledged(f) < acked + DURABLE_ACKNOWLEDGED_MIN) {
		g_free(wrong);
		wrong = g_strdup("hardly any more is stored");
	}
	fake_destroy(f);
	return wrong;
}

void durable_run_for(struct fake *f, unsigned from_ms, unsigned to_ms)
{
	fake_run(f, fake_random(f, from_ms, to_ms) * MS);
}

static void restart_event(struct fake *f, void *data)
{
	fake_restart(f, GPOINTER_TO_UINT(data));
}

void durable_crash_for(struct fake *f, unsigned server, unsigned least_ms)
{
	fake_crash(f, server);
	fake_at(f, -1, fake_random(f, least_ms, OUTAGE_MAX_MS) * MS,
		restart_event, GUINT_TO_POINTER(server), NULL);
}

void durable_crash_for_a_while(struct fake *f, unsigned server)
{
	durable_crash_for(f, server, 2000);
}

static void successor_event(struct fake *f, void *data)
{
	unsigned server = GPOINTER_TO_UINT(data);

	if (f->servers[server].replaced)
		fake_rejoin_with_new_id(f, server);
}

void durable_leave(struct fake *f, unsigned server, uint64_t drain_us)
{
	fake_leave(f, server, drain_us);
	fake_at(f, -1, drain_us + fake_random(f, 20, 1000) * MS,
		successor_event, GUINT_TO_POINTER(server), NULL);
}

void durable_stop_receiving(struct fake *f, unsigned server)
{
	f->servers[server].receives_nothing = true;
}

static void receive_event(struct fake *f, void *data)
{
	f->servers[GPOINTER_TO_UINT(data)].receives_nothing = false;
}

void durable_receive_again(struct fake *f, unsigned server, unsigned ms)
{
	fake_at(f, -1, ms * MS, receive_event, GUINT_TO_POINTER(server), NULL);
}

void durable_lose_the_store(struct fake *f, unsigned server)
{
	f->servers[server].without_store = true;
	f->servers[server].listed = false;
	fake_publish_lists(f);
}

void durable_reach_the_store(struct fake *f, unsigned server)
{
	f->servers[server].without_store = false;
	f->servers[server].listed = true;
	fake_publish_lists(f);
}

void durable_restart_relays(struct fake *f, unsigned gap_from_ms,
			    unsigned gap_to_ms)
{
	unsigned i;

	for (i = 0; i < DURABLE_RELAYS; i++) {
		fake_restart_relay(f, i);
		if (gap_to_ms)
			durable_run_for(f, gap_from_ms, gap_to_ms);
		durable_open_writers(f);
	}
}

void durable_check_path(const struct durable_path *path)
{
	GString *wrong = g_string_new(NULL);
	unsigned n_wrong = 0;
	uint32_t seed;

	for (seed = 0; seed < DURABLE_SEEDS; seed++) {
		struct fake *f = durable_start(seed);
		char *text;

		path->play(f);
		text = finish(f);
		if (*text && !n_wrong++)
			g_string_printf(wrong, "seed %u: %.200s", seed, text);
		g_free(text);
	}
	ck_assert_msg(!n_wrong, "%s: %u of %u seeds, %s", path->name, n_wrong,
		      DURABLE_SEEDS, wrong->str);
	g_string_free(wrong, TRUE);
}

void durable_check_promotion(struct fake *f, uint64_t within_us)
{
	fake_run(f, within_us);
	ck_assert_uint_eq(f->n_promotions, 1);
}
