/*
 * The fake's client accounts: each has one key, which operators can revoke and
 * restore, and a rate limit. Each relay polls the store for the configuration
 * that contains them.
 */
#include "support_history.h"

#define POLL_INTERVAL_US (300 * MS)

/* A reply of the store to a relay's poll. */
struct answer {
	unsigned relay;
	unsigned life; /* of the relay's process that asked */
	struct relay_catalog *catalog;
	uint64_t asked_at_us; /* when it asked */
};

static void answer_free(gpointer data)
{
	struct answer *a = data;

	relay_catalog_unref(a->catalog);
	g_free(a);
}

/* Returns the account's name; the caller frees it. */
char *accounts_name(unsigned account)
{
	return g_strdup_printf("account%u", account);
}

/* Returns the account's key; the caller frees it. */
char *accounts_key(unsigned account)
{
	return g_strdup_printf("secret%u", account);
}

/* Sets the relay settings that concern client accounts. */
void accounts_settings(struct relay_settings *settings)
{
	settings->accounts = settings->limits = true;
	settings->key_max_age_us = FAKE_KEY_MAX_AGE_US;
	settings->limit_window_us = FAKE_WINDOW_US;
	settings->limit_overage = FAKE_OVERAGE;
	settings->limit_slack = FAKE_SLACK;
}

/* Adds the accounts and the keys that are valid now to the catalog. */
void accounts_add(const struct fake *f, struct relay_catalog *c)
{
	unsigned i;

	for (i = 0; i < f->n_accounts; i++) {
		struct relay_account a = { .name = accounts_name(i),
					   .rate_per_s = FAKE_RATE,
					   .burst = FAKE_BURST };
		char *key = accounts_key(i);

		relay_catalog_add_account(c, &a);
		if (!f->key_revoked_at_us[i])
			relay_catalog_add_key(c, key, a.name);
		g_free(key);
		g_free(a.name);
	}
}

static void answer_event(struct fake *f, void *data)
{
	const struct answer *a = data;
	struct fake_relay *r = &f->relays[a->relay];

	if (a->life != r->life)
		return;
	relay_on_catalog(r->relay, a->catalog, f->now_us);
	relay_on_known_as_of(r->relay, a->asked_at_us);
}

/* A relay that is cut off from the store keeps polling. */
static void poll_event(struct fake *f, void *data)
{
	struct fake_relay *r = data;
	struct answer *a;

	fake_at(f, -1, POLL_INTERVAL_US, poll_event, r, NULL);
	if (r->deaf)
		return;
	a = g_new0(struct answer, 1);
	a->relay = r->index;
	a->life = r->life;
	a->catalog = fake_catalog(f);
	a->asked_at_us = f->now_us;
	fake_at(f, (int)r->index, fake_random(f, 2 * MS, 200 * MS),
		answer_event, a, answer_free);
}

/* Starts the relays' polling, 1 ms apart. */
void accounts_start(struct fake *f)
{
	unsigned i;

	for (i = 0; i < f->n_relays; i++)
		fake_at(f, -1, i * MS, poll_event, &f->relays[i], NULL);
}

void fake_set_key_revoked(struct fake *f, unsigned account, bool take)
{
	f->key_revoked_at_us[account] = take ? f->now_us : 0;
	f->config_version++;
}
