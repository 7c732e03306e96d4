#include "support_group.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define TICK_US (1 * USEC_PER_MSEC)
#define DEADLINE_US (5 * USEC_PER_SEC)
/* A home whose last tick is older than this counts as unresponsive. */
#define TICK_OVERDUE_US (100 * USEC_PER_MSEC)

struct rig_home {
	struct rig *rig;
	unsigned index;
	int node;
	unsigned incarnation; /* number of starts */
	uint64_t last_tick_at_us; /* time of the last tick */
	bool up;
	struct upstream *upstream;
	struct group *group;
	GRand *rng;
};

struct rig {
	struct rig_settings settings;
	struct sim *sim;
	struct fdb *db;
	struct fake_sql *sql;
	struct database_conf *conf;
	struct rig_home homes[RIG_MAX_HOMES];
	GPtrArray *calls; /* owned */
	GPtrArray *old_upstreams; /* of crashed homes; owned */
};

void rig_settings_default(struct rig_settings *s)
{
	memset(s, 0, sizeof(*s));
	s->n_servers = 3;
	s->n_homes = 1;
	s->network.latency_us = 500;
	s->network.jitter_us = 100;
	group_settings_default(&s->group);
	s->slots = 3;
	s->connections = 20;
}

static void conf_free(struct database_conf *conf)
{
	unsigned i;

	for (i = 0; i < conf->n_servers; i++) {
		g_free(conf->servers[i].name);
		g_free(conf->servers[i].host);
	}
	g_free(conf->servers);
	g_free(conf);
}

static struct database_conf *make_conf(const struct rig_settings *s)
{
	struct database_conf *conf = g_new0(struct database_conf, 1);
	unsigned i;

	conf->service = (char *)"ledger";
	conf->name = (char *)"miles-1";
	conf->user = (char *)"celeryquay";
	conf->dbname = (char *)"miles";
	conf->reserve = 2;
	conf->n_servers = s->n_servers;
	conf->servers = g_new0(struct server_conf, s->n_servers);
	for (i = 0; i < s->n_servers; i++) {
		conf->servers[i].name = g_strdup(fdb_name(i));
		conf->servers[i].host = g_strdup("127.0.0.1");
		conf->servers[i].port = (uint16_t)(FAKE_PORT_BASE + i);
		conf->servers[i].slots = s->slots;
		conf->servers[i].connections = s->connections;
	}
	return conf;
}

struct database_conf *rig_conf(struct rig *r)
{
	return r->conf;
}

static void on_opened(void *ctx, conn_id id, const struct err *err)
{
	struct rig_home *h = ctx;

	if (h->up)
		group_on_opened(h->group, id, err, sim_now(h->rig->sim));
}

static void on_done(void *ctx, conn_id id, struct upstream_result *result)
{
	struct rig_home *h = ctx;

	if (h->up)
		group_on_done(h->group, id, result, sim_now(h->rig->sim));
}

static void on_lost(void *ctx, conn_id id, const struct err *err)
{
	struct rig_home *h = ctx;

	if (h->up)
		group_on_lost(h->group, id, err, sim_now(h->rig->sim));
}

static const struct upstream_events events = {
	.opened = on_opened,
	.done = on_done,
	.lost = on_lost,
};

static void on_tick(void *ctx, void *data)
{
	struct rig_home *h = ctx;

	if (!h->up || *(unsigned *)data != h->incarnation)
		return;
	h->last_tick_at_us = sim_now(h->rig->sim);
	group_tick(h->group, h->last_tick_at_us);
	sim_at(h->rig->sim, h->node, TICK_US, on_tick, h,
	       g_memdup2(data, sizeof(unsigned)));
}

static void start_home(struct rig_home *h)
{
	struct rig *r = h->rig;
	char holder[32];

	h->incarnation++;
	h->up = true;
	g_snprintf(holder, sizeof(holder), "proxy-%u/%u", h->index,
		   h->incarnation);
	h->upstream = fake_upstream_create(r->sql, h->node, &events, h);
	h->group = group_create(r->conf, &r->settings.group, holder,
				h->upstream, &fake_upstream_ops, NULL, NULL,
				h->rng, sim_now(r->sim));
	group_set_rank(h->group, h->index, sim_now(r->sim));
	sim_at(r->sim, h->node, 0, on_tick, h,
	       g_memdup2(&h->incarnation, sizeof(h->incarnation)));
}

void rig_crash_home(struct rig *r, unsigned home)
{
	struct rig_home *h = &r->homes[home];

	if (!h->up)
		return;
	h->up = false;
	fake_upstream_kill(h->upstream);
	group_destroy(h->group);
	h->group = NULL;
	g_ptr_array_add(r->old_upstreams, h->upstream);
}

void rig_restart_home(struct rig *r, unsigned home)
{
	if (!r->homes[home].up)
		start_home(&r->homes[home]);
}

bool rig_home_unresponsive(const struct rig *r, unsigned home)
{
	const struct rig_home *h = &r->homes[home];

	return !h->up || sim_now(r->sim) > h->last_tick_at_us + TICK_OVERDUE_US;
}

static void start_servers(struct rig *r)
{
	unsigned i;

	for (i = 0; i < r->settings.n_servers; i++)
		fdb_grant(r->db, i, 1, "operator");
	fdb_promote(r->db, 0, 1, "operator");
	for (i = 1; i < r->settings.n_servers; i++)
		fdb_follow(r->db, i, 1, 0);
}

static void call_free(gpointer data)
{
	struct rig_call *c = data;

	request_unref(c->request);
	g_free(c->results);
	g_free(c->transaction);
	g_free(c);
}

struct rig *rig_create(uint32_t seed, const struct rig_settings *settings)
{
	struct rig *r = g_new0(struct rig, 1);
	unsigned i;

	r->settings = *settings;
	r->settings.group.homes = MAX(settings->n_homes, 1);
	r->sim = sim_create(seed, &settings->network);
	r->db = fdb_create(r->sim, settings->n_servers);
	r->sql = fake_sql_create(r->sim, r->db, settings->n_servers);
	r->conf = make_conf(settings);
	fake_sql_set_limit(r->sql, settings->connections);
	r->calls = g_ptr_array_new_with_free_func(call_free);
	r->old_upstreams = g_ptr_array_new_with_free_func(
		(GDestroyNotify)fake_upstream_destroy);
	start_servers(r);
	for (i = 0; i < settings->n_homes; i++) {
		struct rig_home *h = &r->homes[i];

		h->rig = r;
		h->index = i;
		h->node = (int)(settings->n_servers + i);
		h->rng = g_rand_new_with_seed(seed + i);
		start_home(h);
	}
	return r;
}

void rig_destroy(struct rig *r)
{
	unsigned i;

	for (i = 0; i < r->settings.n_homes; i++) {
		struct rig_home *h = &r->homes[i];

		if (h->up)
			rig_crash_home(r, i);
		g_rand_free(h->rng);
	}
	g_ptr_array_free(r->old_upstreams, TRUE);
	g_ptr_array_free(r->calls, TRUE);
	fake_sql_destroy(r->sql);
	fdb_destroy(r->db);
	sim_destroy(r->sim);
	conf_free(r->conf);
	g_free(r);
}

struct sim *rig_sim(struct rig *r)
{
	return r->sim;
}

struct fdb *rig_db(struct rig *r)
{
	return r->db;
}

struct fake_sql *rig_sql(struct rig *r)
{
	return r->sql;
}

struct group *rig_group(struct rig *r, unsigned home)
{
	return r->homes[home].group;
}

struct upstream *rig_upstream(struct rig *r, unsigned home)
{
	return r->homes[home].upstream;
}

int rig_node(const struct rig *r, unsigned home)
{
	return r->homes[home].node;
}

void rig_run_for(struct rig *r, uint64_t duration_us)
{
	sim_run(r->sim, sim_now(r->sim) + duration_us);
}

bool rig_wait(struct rig *r, struct rig_call *c, uint64_t timeout_us)
{
	uint64_t end_at_us = sim_now(r->sim) + timeout_us;

	while (!c->answers && sim_now(r->sim) < end_at_us)
		rig_run_for(r, USEC_PER_MSEC);
	return c->answers != 0;
}

unsigned rig_primary(struct rig *r)
{
	struct server_status st;
	unsigned i, best = 0;
	uint64_t term = 0;

	for (i = 0; i < r->settings.n_servers; i++) {
		fdb_status(r->db, i, &st);
		if (st.role == ROLE_PRIMARY && st.term > term) {
			term = st.term;
			best = i;
		}
	}
	return best;
}

struct rig_call *rig_call(struct rig *r, unsigned home, enum access access,
			  uint64_t trip)
{
	struct rig_call *c = g_new0(struct rig_call, 1);
	char key[32];

	c->rig = r;
	c->home = home;
	c->trip = trip;
	c->request = request_create(REQUEST_RUN);
	c->request->caller = STR("van");
	g_snprintf(key, sizeof(key), "k%" PRIu64, trip);
	c->request->key = request_copy_bytes(c->request, key, strlen(key));
	c->request->digest = c->request->key;
	c->request->deadline_left_us = DEADLINE_US;
	c->request->statements = g_new0(struct statement, 8);
	c->profile.name = (char *)"profile";
	c->profile.access = access;
	c->profile.deadline_us = DEADLINE_US;
	c->profile.share = 100;
	g_ptr_array_add(r->calls, c);
	return c;
}

void rig_add(struct rig_call *c, const char *sql, int64_t param)
{
	struct request *q = c->request;
	struct statement *s = &q->statements[q->n_statements++];

	s->sql = request_copy_bytes(q, sql, strlen(sql));
	s->n_params = 1;
	s->params = g_new0(struct value, 1);
	s->params[0].type = VALUE_INT;
	s->params[0].u.i = param;
}

static void on_answer(void *user, struct request *request,
		      struct answer *answer)
{
	struct rig_call *c = user;
	gsize len = 0;

	(void)request;
	c->answers++;
	c->answered_us = sim_now(c->rig->sim);
	c->outcome = answer->outcome;
	c->code = answer->err.code;
	c->retry_after_us = answer->retry_after_us;
	c->seen = answer->seen;
	c->by_primary = answer->by_primary;
	c->age_us = answer->age_us;
	c->repeated = answer->repeated;
	c->transaction = str_dup(answer->transaction);
	g_strlcpy(c->server, answer->server, sizeof(c->server));
	if (answer->results) {
		const char *text = g_bytes_get_data(answer->results, &len);

		c->results = g_strndup(text, len);
	}
}

/* A call to a home that is down is never answered. */
void rig_send(struct rig_call *c)
{
	struct rig_home *h = &c->rig->homes[c->home];

	c->sent_us = sim_now(c->rig->sim);
	if (h->up)
		group_run(h->group, c->request, &c->profile, 100, on_answer, c,
			  c->sent_us);
}

struct rig_call *rig_write(struct rig *r, unsigned home, uint64_t trip)
{
	struct rig_call *c = rig_call(r, home, ACCESS_WRITE, trip);

	rig_add(c, "WRITE $1", (int64_t)trip);
	rig_send(c);
	return c;
}

struct rig_call *rig_read(struct rig *r, unsigned home, uint64_t max_age_us,
			  struct position seen)
{
	struct rig_call *c = rig_call(r, home, ACCESS_READ, 0);

	rig_add(c, "READ", 0);
	c->profile.max_age_us = max_age_us;
	c->request->seen = seen;
	rig_send(c);
	return c;
}

bool rig_result_contains(const struct rig_call *c, uint64_t trip)
{
	char before[32], first[32];

	if (!c->results)
		return false;
	g_snprintf(before, sizeof(before), " %" PRIu64 " ", trip);
	g_snprintf(first, sizeof(first), "\"%" PRIu64 " ", trip);
	return strstr(c->results, before) || strstr(c->results, first);
}
