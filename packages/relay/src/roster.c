/*
 * The roster of a service.
 *
 * Failure: a replica loses the store, its entry expires, and it goes on
 * receiving. A proxy that starts then does not know of it and promotes another
 * replica, which lacks commits that were acknowledged because the first one had
 * them. Guard: whoever sees a listed server that the roster lacks adds it, and
 * it stays there after it has left the list. A proxy that starts treats a
 * server of the roster that isn't listed like one that has just left the list:
 * it is asked how much it has, and is waited for if it doesn't answer.
 *
 * Only services whose commits must reach replicas first have a roster. Any home
 * may write it, on condition that it is unchanged. A proxy that found none when
 * it started doesn't know who left the list before; it writes one that is not
 * settled, and one that is once it has run for holder_wait_us. A roster that
 * was written before the store came back from an older copy may lack servers,
 * so it names the store's era and is written again.
 */
#define LOG_MODULE "roster"
#include "roster.h"

#include "durable.h"

#include <celeryquay/base/log.h>

#include <string.h>

/* Up to this is waited, so that homes don't all write at once. */
#define WRITE_JITTER_US (300 * USEC_PER_MSEC)
#define WRITE_RETRY_US USEC_PER_SEC
/*
 * A server is removed from the roster only if that has not changed for this
 * long: another home may still reach a server that this one has given up.
 */
#define REMOVE_AFTER_US (60 * USEC_PER_SEC)

struct rroster {
	uint64_t revision; /* of the record, 0: there is none */
	uint64_t era; /* of the store, in which it was written */
	bool settled; /* its writer knew of all servers */
	uint64_t seen_at_us; /* when this revision was first seen */
	GPtrArray *recorded; /* struct relay_holder, which owns its strings */
	GHashTable *known; /* set of ids that were listed or recorded once */
	uint64_t write_at_us; /* not before; 0: no write is due */
};

static void holder_free(gpointer data)
{
	struct relay_holder *h = data;

	g_free((char *)h->id);
	g_free((char *)h->host);
	g_free(h);
}

struct rroster *rroster_create(void)
{
	struct rroster *t = g_new0(struct rroster, 1);

	t->recorded = g_ptr_array_new_with_free_func(holder_free);
	t->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return t;
}

void rroster_destroy(struct rroster *t)
{
	g_ptr_array_unref(t->recorded);
	g_hash_table_destroy(t->known);
	g_free(t);
}

static bool is_needed(const struct rservice *v)
{
	return v->sync_replicas && v->configured && !v->peers;
}

bool rroster_is_succeeded(const struct rservice *v,
			  const struct relay_holder *h)
{
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (s->listed && s->info.port == h->port &&
		    !strcmp(s->info.host, h->host) &&
		    strcmp(s->info.id, h->id) != 0)
			return true;
	}
	return false;
}

/* A server that is recorded and not listed. */
static void add_unlisted(struct rservice *v, const struct relay_holder *h,
			 uint64_t now_us)
{
	struct relay_server_info info = {
		.id = (char *)h->id,
		.service = v->name,
		.host = (char *)h->host,
		.port = h->port,
		.zone = "",
		.unusable = true,
	};

	registry_add_unlisted(v->relay, &info, now_us);
}

void rroster_on_listed(struct rservice *v, uint64_t now_us)
{
	struct rroster *t = v->roster;
	unsigned i;

	if (!is_needed(v) || !v->relay->listed)
		return;
	for (i = 0; i < v->servers->len; i++)
		g_hash_table_add(t->known,
				 g_strdup(rservice_server(v, i)->info.id));
	for (i = 0; i < t->recorded->len; i++) {
		const struct relay_holder *h = t->recorded->pdata[i];

		if (g_hash_table_add(t->known, g_strdup(h->id)) &&
		    !rroster_is_succeeded(v, h))
			add_unlisted(v, h, now_us);
	}
}

static void set_recorded(struct rroster *t, const struct relay_roster *roster)
{
	unsigned i;

	g_ptr_array_set_size(t->recorded, 0);
	for (i = 0; i < roster->n_servers; i++) {
		struct relay_holder *h =
			g_memdup2(&roster->servers[i], sizeof(*h));

		h->id = g_strdup(h->id);
		h->host = g_strdup(h->host);
		g_ptr_array_add(t->recorded, h);
	}
}

/* The record in the store; revision 0: there is none. */
void relay_on_roster(struct relay *r, const char *service,
		     const struct relay_roster *roster, uint64_t now_us)
{
	struct rservice *v = registry_service(r, service);
	struct rroster *t = v->roster;

	if (roster->revision && roster->revision <= t->revision)
		return;
	t->revision = roster->revision;
	t->era = roster->era;
	t->settled = roster->settled;
	t->seen_at_us = now_us;
	t->write_at_us = 0;
	set_recorded(t, roster);
	rroster_on_listed(v, now_us);
}

static bool is_current(const struct rservice *v)
{
	return v->roster->revision && v->roster->era == v->relay->store_era;
}

bool rroster_knows_all(const struct rservice *v, uint64_t now_us)
{
	const struct relay *r = v->relay;

	return (is_current(v) && v->roster->settled) ||
	       now_us >= r->started_us + r->settings.holder_wait_us;
}

static bool is_recorded(const struct rroster *t, const char *id)
{
	unsigned i;

	for (i = 0; i < t->recorded->len; i++) {
		const struct relay_holder *h = t->recorded->pdata[i];

		if (!strcmp(h->id, id))
			return true;
	}
	return false;
}

static bool is_held(const GArray *holders, const char *id)
{
	unsigned i;

	for (i = 0; i < holders->len; i++)
		if (!strcmp(g_array_index(holders, struct relay_holder, i).id,
			    id))
			return true;
	return false;
}

/* The servers that may have acknowledged commits, as views. */
static GArray *list_holders(const struct rservice *v, uint64_t now_us)
{
	GArray *holders =
		g_array_new(FALSE, FALSE, sizeof(struct relay_holder));
	unsigned i;

	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);
		struct relay_holder h = { s->info.id, s->info.host,
					  s->info.port };

		if (!s->moved)
			g_array_append_val(holders, h);
	}
	rdurable_list_missing(v, holders, now_us);
	return holders;
}

static bool lacks_one(const struct rroster *t, const GArray *holders)
{
	unsigned i;

	for (i = 0; i < holders->len; i++)
		if (!is_recorded(
			    t,
			    g_array_index(holders, struct relay_holder, i).id))
			return true;
	return false;
}

static bool names_one_that_is_gone(const struct rroster *t,
				   const GArray *holders, uint64_t now_us)
{
	unsigned i;

	if (now_us < t->seen_at_us + REMOVE_AFTER_US)
		return false;
	for (i = 0; i < t->recorded->len; i++) {
		const struct relay_holder *h = t->recorded->pdata[i];

		if (!is_held(holders, h->id))
			return true;
	}
	return false;
}

/* Servers of the record stay in it until they may be removed. */
static void keep_recorded(const struct rroster *t, GArray *holders,
			  uint64_t now_us)
{
	unsigned i;

	if (now_us >= t->seen_at_us + REMOVE_AFTER_US)
		return;
	for (i = 0; i < t->recorded->len; i++) {
		const struct relay_holder *h = t->recorded->pdata[i];

		if (!is_held(holders, h->id))
			g_array_append_vals(holders, h, 1);
	}
}

static void write_roster(struct rservice *v, GArray *holders, uint64_t now_us)
{
	struct relay *r = v->relay;
	struct relay_roster roster = { .revision = v->roster->revision,
				       .era = r->store_era,
				       .settled =
					       rroster_knows_all(v, now_us) };

	keep_recorded(v->roster, holders, now_us);
	roster.servers = (const struct relay_holder *)holders->data;
	roster.n_servers = holders->len;
	v->roster->write_at_us = now_us + WRITE_RETRY_US;
	r->ops->write_roster(r->ctx, v->name, &roster);
}

static bool is_up_to_date(const struct rservice *v, const GArray *holders,
			  uint64_t now_us)
{
	const struct rroster *t = v->roster;

	return is_current(v) && t->settled == rroster_knows_all(v, now_us) &&
	       !lacks_one(t, holders) &&
	       !names_one_that_is_gone(t, holders, now_us);
}

void rroster_tick(struct rservice *v, uint64_t now_us)
{
	struct rroster *t = v->roster;
	GArray *holders;

	if (!is_needed(v) || !v->is_home || !v->relay->listed ||
	    now_us < t->write_at_us)
		return;
	holders = list_holders(v, now_us);
	if (is_up_to_date(v, holders, now_us))
		t->write_at_us = 0;
	else if (t->write_at_us)
		write_roster(v, holders, now_us);
	else
		t->write_at_us = now_us + 1 +
				 (uint64_t)g_rand_int_range(v->relay->rng, 0,
							    WRITE_JITTER_US);
	g_array_free(holders, TRUE);
}
