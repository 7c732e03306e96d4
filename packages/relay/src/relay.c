/*
 * The relay as a whole: its creation, what the platform reports to it, and the
 * tick.
 */
#define LOG_MODULE "relay"
#include "homes.h"
#include "pending.h"
#include "scheduler.h"
#include "status.h"
#include "wait.h"

#include <celeryquay/base/log.h>
#include <string.h>

/* One in this many successful statements is logged; see docs/OPERATIONS.md. */
#define LOG_SAMPLE 64
/* Budget of retries: the share that a statement adds, and the maximum. */
#define RETRY_EARN 0.1
#define RETRY_MAX 20
#define FIRST_ERA 1 /* of a store that never came back from a copy */

/* The design note on the relay gives the reasons for the defaults. */
void relay_settings_default(struct relay_settings *s)
{
	*s = (struct relay_settings){
		.name = "proxy",
		.zone = "",
		.probe_interval_us = 250 * USEC_PER_MSEC,
		.authority_us = 750 * USEC_PER_MSEC,
		.suspect_after_us = 700 * USEC_PER_MSEC,
		.refused_after_us = 200 * USEC_PER_MSEC,
		.promote_least_us = 300 * USEC_PER_MSEC,
		.claim_hold_us = 3 * USEC_PER_SEC,
		.gone_after_us = 5500 * USEC_PER_MSEC,
		.holder_wait_us = 10 * USEC_PER_SEC,
		.idle_close_us = 1500 * USEC_PER_MSEC,
		.warm_connections = 1,
		.drain_us = 3 * USEC_PER_SEC,
		.stop_grace_us = 6 * USEC_PER_SEC,
		.log_statements = true,
		.log_sample = LOG_SAMPLE,
	};
}

static struct counter *count(struct counter_set *set, const char *name,
			     const char *help)
{
	return counter_get(set, COUNTER_COUNT, name, NULL, help);
}

static void create_counters(struct relay *r, struct counter_set *set)
{
	r->n_reads_replica = count(set, "celeryquay_relay_reads_replica_total",
				   "reads that replicas ran");
	r->n_reads_primary = count(set, "celeryquay_relay_reads_primary_total",
				   "reads that primaries ran");
	r->n_writes = count(set, "celeryquay_relay_writes_total",
			    "writes reported as done");
	r->n_refused = count(set, "celeryquay_relay_refused_total",
			     "statements reported as not run, or failed");
	r->n_in_doubt = count(set, "celeryquay_relay_in_doubt_total",
			      "writes whose outcome is not known");
	r->n_promotions = count(set, "celeryquay_relay_promotions_total",
				"promotions requested of the platform");
	r->n_own = count(set, "celeryquay_relay_own_statements_total",
			 "statements to servers that no caller sent");
	r->n_opened = count(set, "celeryquay_relay_connections_opened_total",
			    "connections to servers");
	r->n_limited = count(set, "celeryquay_relay_limited_total",
			     "operations refused for their account's limit");
	r->n_lost = count(set, "celeryquay_relay_connections_lost_total",
			  "connections to servers that broke or fell silent");
}

/* Opens no connection before relay_on_catalog(). */
struct relay *relay_create(const struct relay_settings *settings,
			   const struct relay_ops *ops, void *ctx,
			   struct counter_set *counters, GRand *rng,
			   uint64_t now_us)
{
	struct relay *r = g_new0(struct relay, 1);

	r->settings = *settings;
	memset(&r->guards, true, sizeof(r->guards));
	r->name = g_strdup(settings->name);
	r->zone = g_strdup(settings->zone);
	r->ops = ops;
	r->ctx = ctx;
	r->rng = rng;
	r->started_us = now_us;
	r->ticked_us = now_us;
	r->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    rservice_destroy);
	r->servers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					   rserver_destroy);
	r->conns = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					 rconn_free);
	r->sessions = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    rsession_destroy);
	r->pending = rpending_create();
	r->peers = peers_table_new();
	r->place = rplace_create(settings);
	r->knows_fleet = true; /* until the first list of proxies */
	r->served = g_ptr_array_new();
	r->active = g_ptr_array_new();
	r->scheduled = g_ptr_array_new();
	r->feed_source = feed_source_create(r->name, r->zone);
	if (settings->accounts)
		feed_source_set_max_age(r->feed_source,
					settings->key_max_age_us);
	r->via = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
				       rservice_destroy);
	rlimit_init(r);
	g_queue_init(&r->waiting);
	retry_budget_init(&r->retries, RETRY_EARN, RETRY_MAX);
	create_counters(r, counters);
	r->metrics = rmetrics_create(counters);
	r->store_heard_at_us = now_us;
	return r;
}

/* Decides whom the platform asks for the configuration and the lists. */
struct feed_source *relay_feed_source(struct relay *r)
{
	return r->feed_source;
}

/* For tests; all guards are on at first. */
struct relay_guards *relay_guards_of(struct relay *r)
{
	return &r->guards;
}

/* Frees the relay; the driver closes connections and sessions. */
void relay_destroy(struct relay *r)
{
	if (!r)
		return;
	g_hash_table_destroy(r->sessions);
	g_hash_table_destroy(r->conns);
	g_hash_table_destroy(r->services);
	g_hash_table_destroy(r->via);
	rlimit_clear(r);
	g_hash_table_destroy(r->servers);
	rpending_destroy(r->pending);
	peers_clear(r);
	g_ptr_array_unref(r->active);
	g_ptr_array_unref(r->scheduled);
	feed_source_destroy(r->feed_source);
	rplace_destroy(r->place);
	relay_catalog_unref(r->catalog);
	rmetrics_destroy(r->metrics);
	g_free(r->duty_holder);
	g_free(r->name);
	g_free(r->zone);
	g_free(r);
}

static void log_config(const char *event, const struct relay *r,
		       const struct relay_catalog *catalog)
{
	struct log_line *l = log_event(LOG_STATE, event);

	if (!l)
		return;
	log_u64(l, "version", relay_catalog_version(catalog));
	log_u64(l, "before",
		r->catalog ? relay_catalog_version(r->catalog) : 0);
	log_u64(l, "services", relay_catalog_services(catalog));
	log_event_end(l);
}

/* Applies the configuration of services. */
static void configure_services(struct relay *r)
{
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct rservice *)value)->configured = false;
	for (i = 0; i < relay_catalog_services(r->catalog); i++) {
		const struct relay_service_conf *conf =
			relay_catalog_service_at(r->catalog, i);
		struct rservice *v = registry_service(r, conf->name);

		v->configured = true;
		v->max_connections = conf->max_connections;
		v->sync_replicas = conf->sync_replicas;
	}
}

/* Applies a configuration that is newer than the one in force. */
void relay_on_catalog(struct relay *r, struct relay_catalog *catalog,
		      uint64_t now_us)
{
	/*
	 * The store's answers may be late, or come from a copy that lags
	 * behind; an older version would bring back rules that the operators
	 * have replaced.
	 */
	if (r->catalog && relay_catalog_version(catalog) <=
				  relay_catalog_version(r->catalog)) {
		log_config("config-left-aside", r, catalog);
		return;
	}
	log_config("config", r, catalog);
	r->unreadable = false;
	relay_catalog_unref(r->catalog);
	r->catalog = relay_catalog_ref(catalog);
	configure_services(r);
	peers_on_catalog(r, now_us);
	rlimit_on_catalog(r, now_us);
	rwait_dispatch(r, now_us);
}

/*
 * A configuration that can't be read may revoke keys; going on with the one
 * before it would accept them. So no key counts as valid until another comes.
 */
void relay_on_catalog_unreadable(struct relay *r)
{
	r->unreadable = true;
}

/* Calls may come out of order; the latest time counts. */
void relay_on_known_as_of(struct relay *r, uint64_t known_us)
{
	r->known_us = MAX(r->known_us, known_us);
}

/*
 * Whether this process made the claim; an earlier process of the same name may
 * have made one, too. The record may be read before the claim is answered.
 */
static bool is_own_claim(const struct relay *r, uint64_t revision,
			 const char *holder)
{
	if (revision == r->token)
		return true;
	return r->claiming && !g_strcmp0(holder, r->name);
}

static void note_claim(struct relay *r, uint64_t revision, const char *holder,
		       bool is_first, uint64_t now_us)
{
	r->duty_revision = revision;
	r->duty_changed_at_us = now_us;
	if (is_own_claim(r, revision, holder))
		return;
	r->duty_others_seen_at_us = now_us;
	r->duty_others_claimed_at_us = is_first ? 0 : now_us;
	if (r->guards.fresh_claim)
		rfailover_on_duty_lost(r, now_us);
}

/*
 * Applies the duty record unless a newer revision is known. The record may also
 * be gone, if the store came back from a copy that lacks it.
 */
void relay_on_duty(struct relay *r, const struct relay_duty *duty,
		   uint64_t now_us)
{
	bool is_first = !r->duty_known;

	r->duty_known = true;
	if (duty->revision && duty->revision < r->duty_revision)
		return;
	rpending_on_duty(r->pending, duty, now_us);
	if (duty->revision != r->duty_revision)
		note_claim(r, duty->revision, duty->holder, is_first, now_us);
	g_free(r->duty_holder);
	r->duty_holder = g_strdup(duty->holder);
}

/*
 * An answer of the store, or the lack of one. The time since its last answer is
 * the greatest age that its contents can have here.
 */
void relay_on_store(struct relay *r, bool answers, uint64_t now_us)
{
	struct log_line *l = NULL;

	if (answers == r->store_lost)
		l = log_event(LOG_STATE, answers ? "store-back" : "store-lost");
	if (l) {
		log_u64(l, "heard_ms",
			(now_us - MIN(r->store_heard_at_us, now_us)) /
				USEC_PER_MSEC);
		log_event_end(l);
	}
	r->store_lost = !answers;
	if (answers)
		r->store_heard_at_us = now_us;
}

static void log_returned(const struct relay *r, uint64_t era, uint64_t now_us)
{
	struct log_line *l = log_event(LOG_STATE, "store-returned");

	if (!l)
		return;
	log_u64(l, "era", era);
	log_u64(l, "revision", r->known_revision);
	log_u64(l, "heard_ms",
		(now_us - MIN(r->store_heard_at_us, now_us)) / USEC_PER_MSEC);
	log_event_end(l);
}

/*
 * The store's era; returned: the store just came back from an older copy. It
 * may also have done so just before this proxy started, unless it is in its
 * first era.
 */
void relay_on_store_era(struct relay *r, uint64_t era, bool returned,
			uint64_t now_us)
{
	r->store_era = MAX(r->store_era, era);
	rmetrics_store_era(r, era, returned);
	if (returned) {
		log_returned(r, era, now_us);
		rduty_on_store_returned(r, now_us);
	} else if (era > FIRST_ERA) {
		rduty_await_forgotten(r, now_us);
	}
}

/* Sets the age of what is known, but not whether the store answers. */
void relay_on_store_heard_at(struct relay *r, uint64_t heard_us)
{
	r->store_heard_at_us = heard_us;
}

/* Calls may come out of order; the highest revision counts. */
void relay_on_revision(struct relay *r, uint64_t revision)
{
	r->known_revision = MAX(r->known_revision, revision);
}

/* Records the duration of a call that does not wait for news. */
void relay_on_store_call(struct relay *r, uint64_t took_us)
{
	rmetrics_store_call(r, took_us);
}

static void log_claimed(const struct relay *r, enum relay_claim outcome,
			uint64_t revision, uint64_t now_us)
{
	static const char *const names[] = {
		[RELAY_CLAIM_DONE] = "done",
		[RELAY_CLAIM_LOST] = "another has it",
		[RELAY_CLAIM_UNKNOWN] = "no answer",
	};
	struct log_line *l = log_event(LOG_STATE, "claim");

	if (!l)
		return;
	log_cstr(l, "outcome", names[outcome]);
	log_u64(l, "revision", revision);
	log_u64(l, "took_ms",
		(now_us - MIN(r->claim_sent_at_us, now_us)) / USEC_PER_MSEC);
	log_event_end(l);
}

static void on_own_claim(struct relay *r, uint64_t revision, uint64_t now_us)
{
	struct relay_duty duty = { .revision = revision,
				   .holder = r->name,
				   .states_promotions = true };

	r->token = revision;
	r->token_expected = r->claim_expected;
	r->claimed_at_us = r->claim_sent_at_us;
	relay_on_duty(r, &duty, now_us);
}

/* What the other claim states is not known until the record has been read. */
static void on_lost_claim(struct relay *r, uint64_t revision, uint64_t now_us)
{
	r->token = 0;
	if (revision <= r->duty_revision)
		return;
	r->duty_known = false;
	note_claim(r, revision, "another", false, now_us);
	g_free(r->duty_holder);
	r->duty_holder = g_strdup("another");
}

/* The outcome of a claim. */
void relay_on_claimed(struct relay *r, enum relay_claim outcome,
		      uint64_t revision, uint64_t now_us)
{
	r->claiming = false;
	log_claimed(r, outcome, revision, now_us);
	if (outcome == RELAY_CLAIM_DONE)
		on_own_claim(r, revision, now_us);
	else if (outcome == RELAY_CLAIM_LOST)
		on_lost_claim(r, revision, now_us);
	rfailover_on_claimed(r, outcome, now_us);
}

/* The platform's answer to a request to promote. */
void relay_on_promoted(struct relay *r, const char *service, uint64_t token,
		       enum relay_promoted outcome, uint64_t now_us)
{
	struct rservice *v = g_hash_table_lookup(r->services, service);

	if (!rpending_on_answered(r->pending, service, token, outcome) || !v)
		return;
	rfailover_on_promoted(v, outcome, now_us);
	rfailover_tick(v, now_us);
}

bool relay_may_send_promotion(const struct relay *r, uint64_t token,
			      uint64_t now_us)
{
	return !r->guards.fresh_claim ||
	       (token == r->token && rduty_is_claim_valid(r, now_us));
}

static void tick_sessions(struct relay *r, uint64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	g_hash_table_iter_init(&iter, r->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	for (i = 0; i < list->len; i++)
		rsession_tick(g_ptr_array_index(list, i), now_us);
	g_ptr_array_free(list, TRUE);
}

/*
 * Lists the servers that this proxy has, or should have, connections to. In a
 * large fleet these are few.
 */
static void list_active(struct relay *r)
{
	GHashTableIter iter;
	gpointer value;

	if (!r->active_stale)
		return;
	g_ptr_array_set_size(r->active, 0);
	g_hash_table_iter_init(&iter, r->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rserver *s = value;

		if (rconn_is_wanted(s) || s->n_conns)
			g_ptr_array_add(r->active, value);
	}
	r->active_stale = false;
}

static void tick_servers(struct relay *r, uint64_t now_us)
{
	unsigned i;

	list_active(r);
	for (i = 0; i < r->active->len; i++)
		rserver_tick(g_ptr_array_index(r->active, i), now_us);
}

/* Runs all periodic work. */
void relay_tick(struct relay *r, uint64_t now_us)
{
	unsigned i;

	r->ticked_us = now_us;
	if (!r->catalog)
		return;
	rconn_expire(r, now_us);
	peers_tick(r, now_us);
	via_tick(r, now_us);
	rpartition_tick(r, now_us);
	registry_remove_unlisted(r, now_us);
	tick_servers(r, now_us);
	for (i = 0; i < r->served->len; i++)
		rfailover_tick(g_ptr_array_index(r->served, i), now_us);
	tick_sessions(r, now_us);
	rlimit_tick(r, now_us);
	rsched_tick(r, now_us);
	rwait_dispatch(r, now_us);
}

/* Latest time of the next relay_tick(). */
uint64_t relay_next_tick_us(const struct relay *r)
{
	uint64_t next_us = r->ticked_us + TICK_US;
	GList *l;

	for (l = r->waiting.head; l; l = l->next) {
		const struct rsession *s = l->data;

		next_us = MIN(next_us, s->run.queue_deadline_us);
	}
	return next_us;
}

static bool is_home_of_none(const struct relay *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct rservice *)value)->is_home)
			return false;
	return true;
}

/* Whether new callers may be sent to this proxy. */
bool relay_is_ready(const struct relay *r)
{
	GHashTableIter iter;
	gpointer value;

	if (!r->catalog || !r->listed || r->stopping || !r->knows_fleet ||
	    raccount_are_keys_stale(r, r->ticked_us) ||
	    via_is_isolated(r, r->ticked_us) ||
	    rpartition_is_any_cut_off(r, r->ticked_us))
		return false;
	g_hash_table_iter_init(&iter, r->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (rserver_is_up(value))
			return true;
	return g_hash_table_size(r->peers) && is_home_of_none(r);
}

/* Updates the gauges before metrics are read. */
void relay_set_gauges(struct relay *r, uint64_t now_us)
{
	rmetrics_set_gauges(r, now_us);
}

/* Appends the state as one JSON object. */
void relay_write_status(struct relay *r, GString *out, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;
	const char *comma = "";
	GHashTable *conns = rstatus_count_conns(r);

	g_string_append_printf(out,
			       "{\"sessions\":%u,\"waiting\":%u,"
			       "\"connections\":%u,\"services\":[",
			       g_hash_table_size(r->sessions),
			       r->waiting.length + r->n_scheduled,
			       g_hash_table_size(r->conns));
	g_hash_table_iter_init(&iter, r->services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		g_string_append(out, comma);
		rstatus_write_service(value, conns, out, now_us);
		comma = ",";
	}
	g_hash_table_destroy(conns);
	g_string_append(out, "]");
	if (r->settings.accounts) {
		g_string_append_printf(
			out, ",\"accounts\":%u,\"keys_good\":%s,\"limits\":[",
			r->catalog ? relay_catalog_accounts(r->catalog) : 0,
			raccount_are_keys_stale(r, now_us) ? "false" : "true");
		rlimit_write_status(r, out);
		g_string_append(out, "]");
	}
	g_string_append(out, "}");
}
