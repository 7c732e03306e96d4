/*
 * Histograms and gauges of the relay. Their labels are the kinds of profiles,
 * not the profiles: with 3,400 databases one histogram each would be 58,000
 * lines per scrape and kind, and latency targets are set per kind.
 */
#include "relay_internal.h"

struct rmetrics {
	struct counter *statement[RELAY_KINDS][RELAY_OUTCOMES];
	struct counter *wait;
	struct counter *server;
	struct counter *hop;
	struct counter *store_call;
	struct counter *store_returns;
	struct counter *store_era;
	struct counter *pauses;
	struct counter *fences_again;
	struct counter *sessions;
	struct counter *transactions;
	struct counter *waiting;
	struct counter *refused[SADMIT_VERDICTS]; /* by verdict */
	struct counter *idle;
	struct counter *in_use;
	struct counter *opening;
	struct counter *config_version;
	struct counter *config_age;
	struct counter *list_age;
	struct counter *servers;
	struct counter *servers_down;
	struct counter *proxies;
	struct counter *without_primary;
	struct counter *withheld;
	struct counter *log_dropped;
};

static struct counter *histogram(struct counter_set *set, const char *name,
				 const char *labels, const char *help)
{
	return counter_get(set, COUNTER_HISTOGRAM, name, labels, help);
}

static struct counter *gauge(struct counter_set *set, const char *name,
			     const char *help)
{
	return counter_get(set, COUNTER_GAUGE, name, NULL, help);
}

static void create_statements(struct rmetrics *m, struct counter_set *set)
{
	char labels[64];
	unsigned kind, outcome;

	for (kind = 0; kind < RELAY_KINDS; kind++)
		for (outcome = 0; outcome < RELAY_OUTCOMES; outcome++) {
			g_snprintf(labels, sizeof(labels),
				   "kind=\"%s\",outcome=\"%s\"",
				   rlog_kind_name(kind),
				   relay_outcome_name(outcome));
			m->statement[kind][outcome] = histogram(
				set, "celeryquay_relay_statement_seconds",
				labels, "from a statement to its answer");
		}
}

static void create_gauges(struct rmetrics *m, struct counter_set *set)
{
	m->sessions = gauge(set, "celeryquay_relay_sessions",
			    "open sessions, other proxies' included");
	m->transactions = gauge(set, "celeryquay_relay_transactions",
				"sessions inside a transaction");
	m->waiting = gauge(set, "celeryquay_relay_waiting",
			   "statements that wait for a connection");
	m->idle = gauge(set, "celeryquay_relay_connections_idle",
			"connections that no session uses");
	m->in_use = gauge(set, "celeryquay_relay_connections_in_use",
			  "connections that sessions or probes use");
	m->opening = gauge(set, "celeryquay_relay_connections_opening",
			   "connections that are being opened");
	m->config_version = gauge(set, "celeryquay_relay_config_version",
				  "version of the configuration in force");
	m->config_age = gauge(set, "celeryquay_relay_config_age_milliseconds",
			      "since the configuration was confirmed");
	m->list_age = gauge(set,
			    "celeryquay_relay_server_list_age_milliseconds",
			    "since the list of servers was confirmed");
	m->servers = gauge(set, "celeryquay_relay_servers", "servers known");
	m->servers_down = gauge(set, "celeryquay_relay_servers_down",
				"of these, the ones that do not answer");
	m->store_era = gauge(set, "celeryquay_relay_store_era",
			     "the store's era, 0: it has none");
	m->proxies = gauge(set, "celeryquay_relay_proxies",
			   "other proxies that are listed");
	m->without_primary = gauge(set,
				   "celeryquay_relay_services_without_primary",
				   "services that this proxy connects to and "
				   "whose primary it can't use");
	m->withheld = gauge(set, "celeryquay_relay_promotions_withheld",
			    "services whose failed primary is not replaced, "
			    "as a server that may have more is missing");
	m->log_dropped = gauge(set, "celeryquay_log_dropped_lines",
			       "log lines dropped since the start");
}

static void create_refused(struct rmetrics *m, struct counter_set *set)
{
	static const char *const labels[] = {
		[SADMIT_REFUSE_OVERLOAD] = "reason=\"overload\"",
		[SADMIT_REFUSE_NO_SERVER] = "reason=\"no-server\"",
	};
	unsigned i;

	for (i = SADMIT_REFUSE_OVERLOAD; i < SADMIT_VERDICTS; i++)
		m->refused[i] = counter_get(
			set, COUNTER_COUNT,
			"celeryquay_relay_refused_waiting_total", labels[i],
			"statements refused as they would not be served in "
			"time");
}

/* A statement that waited, or was to wait, was refused. */
void rmetrics_refused(const struct relay *r, enum sadmit_verdict verdict)
{
	counter_add(r->metrics->refused[verdict], 1);
}

/* All metrics start at 0. */
struct rmetrics *rmetrics_create(struct counter_set *set)
{
	struct rmetrics *m = g_new0(struct rmetrics, 1);

	create_statements(m, set);
	m->wait = histogram(set, "celeryquay_relay_wait_seconds", NULL,
			    "from a statement to its connection");
	m->server = histogram(set, "celeryquay_relay_server_seconds", NULL,
			      "a server's answer to a caller's statement");
	m->hop = histogram(set, "celeryquay_relay_hop_seconds", NULL,
			   "another proxy's answer to a caller's statement");
	m->store_call = histogram(set, "celeryquay_relay_store_call_seconds",
				  NULL,
				  "the store's answer to a call that does "
				  "not wait for news");
	m->store_returns = counter_get(
		set, COUNTER_COUNT, "celeryquay_relay_store_returns_total",
		NULL, "returns of the store from an older copy");
	m->pauses = counter_get(set, COUNTER_COUNT,
				"celeryquay_relay_pauses_total", NULL,
				"pauses sent to servers, repeats included");
	m->fences_again = counter_get(
		set, COUNTER_COUNT, "celeryquay_relay_fences_again_total", NULL,
		"fences made again because a server appeared");
	create_refused(m, set);
	create_gauges(m, set);
	return m;
}

/* The counter set keeps the counters. */
void rmetrics_destroy(struct rmetrics *m)
{
	g_free(m);
}

/* The store's era was read; returned: it rose. */
void rmetrics_store_era(struct relay *r, uint64_t era, bool returned)
{
	counter_add(r->metrics->store_returns, returned);
	counter_set(r->metrics->store_era, (int64_t)era);
}

/* A statement is answered to its caller. */
void rmetrics_statement(const struct rsession *s, enum relay_code code,
			uint64_t now_us)
{
	const struct relay_profile *profile =
		relay_catalog_profile(s->relay->catalog, s->database);
	enum relay_outcome outcome = relay_code_info(code)->outcome;

	if (profile)
		counter_observe_us(
			s->relay->metrics->statement[profile->kind][outcome],
			now_us - s->run.arrived_us);
}

/* A statement got a connection after this time. */
void rmetrics_waited(const struct relay *r, uint64_t us)
{
	counter_observe_us(r->metrics->wait, us);
}

/* A server, or another proxy, answered a caller's statement. */
void rmetrics_answered(const struct rserver *s, uint64_t us)
{
	const struct rmetrics *m = s->relay->metrics;

	counter_observe_us(s->service->peers ? m->hop : m->server, us);
}

/* The store answered a call after this time. */
void rmetrics_store_call(const struct relay *r, uint64_t us)
{
	counter_observe_us(r->metrics->store_call, us);
}

/* A server is told to reject older terms (paused). */
void rmetrics_pause(const struct relay *r)
{
	counter_add(r->metrics->pauses, 1);
}

/* A server appeared that the pauses of a change of primary had missed. */
void rmetrics_fence_repeated(const struct relay *r)
{
	counter_add(r->metrics->fences_again, 1);
}

static void set_sessions(const struct relay *r)
{
	GHashTableIter iter;
	gpointer value;
	int64_t n = 0;

	g_hash_table_iter_init(&iter, r->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct rsession *)value)->state != 'I')
			n++;
	counter_set(r->metrics->sessions, g_hash_table_size(r->sessions));
	counter_set(r->metrics->transactions, n);
	counter_set(r->metrics->waiting, r->waiting.length + r->n_scheduled);
}

static void set_connections(const struct relay *r)
{
	int64_t idle = 0, opening = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rconn *c = value;

		idle += c->state == RCONN_IDLE;
		opening += c->state == RCONN_OPENING;
	}
	counter_set(r->metrics->idle, idle);
	counter_set(r->metrics->opening, opening);
	counter_set(r->metrics->in_use,
		    g_hash_table_size(r->conns) - idle - opening);
}

static void set_servers(const struct relay *r)
{
	int64_t n = 0, down = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rserver *s = value;

		if (s->service->peers)
			continue;
		n++;
		down += !rserver_is_up(s);
	}
	counter_set(r->metrics->servers, n);
	counter_set(r->metrics->servers_down, down);
	counter_set(r->metrics->proxies, g_hash_table_size(r->peers));
}

static void set_services(const struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	int64_t n = 0, withheld = 0;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rservice *v = value;

		n += v->is_home && !rprimary_lease_holds(v, now_us);
		withheld += v->withheld;
	}
	counter_set(r->metrics->withheld, withheld);
	counter_set(r->metrics->without_primary, n);
}

/* Updates the gauges. */
void rmetrics_set_gauges(const struct relay *r, uint64_t now_us)
{
	const struct rmetrics *m = r->metrics;
	uint64_t age_us = now_us - MIN(r->store_heard_at_us, now_us);

	set_sessions(r);
	set_connections(r);
	set_servers(r);
	set_services(r, now_us);
	counter_set(m->config_version,
		    r->catalog ? (int64_t)relay_catalog_version(r->catalog) :
				 0);
	counter_set(m->config_age, (int64_t)(age_us / USEC_PER_MSEC));
	counter_set(m->list_age, (int64_t)(age_us / USEC_PER_MSEC));
	counter_set(m->log_dropped, (int64_t)log_sink_dropped());
}
