/*
 * Log lines about statements, sessions and servers. A statement that was
 * refused, failed or is in doubt is always logged, with the facts that decided
 * it; of successful ones, one in `log_sample` is. They are sampled by a hash of
 * the statement's id, so that the proxy that the caller is connected to and the
 * home that ran the statement log the same ones.
 */
#include "relay_internal.h"
#include "scheduler.h"

#include <string.h>
#include <xxhash.h>

static uint64_t ms(uint64_t us)
{
	return us / USEC_PER_MSEC;
}

static uint64_t ms_since(uint64_t us, uint64_t now_us)
{
	return ms(now_us - MIN(us, now_us));
}

static uint64_t ms_until(uint64_t us, uint64_t now_us)
{
	return us > now_us ? ms(us - now_us) : 0;
}

/* Begins a line about a statement; NULL: disabled, or no room for it. */
static struct log_line *begin(const struct relay *r, enum log_class class,
			      const char *event)
{
	return r->settings.log_statements ? log_event(class, event) : NULL;
}

/* Whether a statement is logged if it succeeds. */
bool rlog_is_sampled(const struct relay *r, const GString *id)
{
	unsigned every = r->settings.log_sample;

	return every && id->len && !(XXH3_64bits(id->str, id->len) % every);
}

/* Writes a position in the log as "term.index"; "-": unknown. */
void rlog_position(struct log_line *l, const char *key, struct position p)
{
	char text[2 * STR_U64_SIZE];
	size_t len = str_put_u64(text, p.term);

	text[len++] = '.';
	len += str_put_u64(text + len, p.index);
	log_str(l, key, p.term ? (struct str){ text, len } : STR("-"));
}

static const char *verb_name(enum relay_verb verb)
{
	static const char *const names[] = {
		[RELAY_BEGIN] = "BEGIN",
		[RELAY_BEGIN_READ] = "BEGIN READ",
		[RELAY_COMMIT] = "COMMIT",
		[RELAY_ROLLBACK] = "ROLLBACK",
		[RELAY_READ] = "READ",
		[RELAY_WRITE] = "WRITE",
		[RELAY_SET] = "SET",
		[RELAY_PREPARE_READ] = "PREPARE READ",
		[RELAY_PREPARE_WRITE] = "PREPARE WRITE",
		[RELAY_EXECUTE] = "EXECUTE",
		[RELAY_DEALLOCATE] = "DEALLOCATE",
	};

	return verb < G_N_ELEMENTS(names) && names[verb] ? names[verb] : "-";
}

/* The kind's name in settings, logs and metrics. */
const char *rlog_kind_name(enum relay_kind kind)
{
	static const char *const names[RELAY_KINDS] = {
		[RELAY_KIND_PRIMARY] = "primary",
		[RELAY_KIND_BOUNDED] = "bounded",
		[RELAY_KIND_OWN_WRITES] = "own_writes",
	};

	return names[kind];
}

/* The statement's id, session and account, and the configuration in force. */
static void put_context(struct log_line *l, const struct rsession *s)
{
	const struct relay *r = s->relay;
	const struct relay_profile *profile =
		relay_catalog_profile(r->catalog, s->database);

	log_str(l, "id", str_from_gstring(s->run.id));
	log_u64(l, "session", s->id);
	log_bool(l, "from_proxy", s->peer);
	log_cstr(l, "database", s->database);
	if (r->settings.accounts)
		log_cstr(l, "account", s->account);
	log_u64(l, "config", relay_catalog_version(r->catalog));
	if (!profile)
		return;
	log_cstr(l, "service", profile->service);
	log_cstr(l, "kind", rlog_kind_name(profile->kind));
}

static void put_tries(struct log_line *l, const struct rrun *run)
{
	unsigned i;

	log_list_begin(l, "tries");
	for (i = 0; i < run->tries; i++) {
		const struct rtry *t = &run->failed[i];

		log_object_begin(l, NULL);
		log_cstr(l, "server", t->server);
		log_cstr(l, "code", relay_code_info(t->code)->name);
		log_u64(l, "after_ms", ms(t->after_us));
		log_object_end(l);
	}
	log_list_end(l);
}

/* What this proxy knows about the primary. */
static void put_primary(struct log_line *l, const struct rservice *v,
			uint64_t now_us)
{
	const struct rserver *p = v->primary;

	log_object_begin(l, "primary");
	log_cstr(l, "server", p ? p->info.id : "");
	log_u64(l, "term", v->term);
	log_u64(l, "lease_left_ms",
		p ? ms_until(v->confirmed_us + v->relay->settings.authority_us,
			     now_us) :
		    0);
	log_cstr(l, "confirmed_by",
		 v->confirmed_by ? v->confirmed_by->info.id : "");
	if (!p)
		log_u64(l, "missing_ms", ms_since(v->no_primary_us, now_us));
	else if (p->failing_since_us)
		log_u64(l, "failing_ms", ms_since(p->failing_since_us, now_us));
	log_cstr(l, "change", rfailover_phase_name(v->phase));
	log_object_end(l);
}

/* The age of what this proxy's decision rests on. */
static void put_ages(struct log_line *l, const struct relay *r, uint64_t now_us)
{
	log_u64(l, "store_ms", ms_since(r->store_heard_at_us, now_us));
	if (r->settings.accounts)
		log_u64(l, "keys_ms", ms(raccount_keys_age_us(r, now_us)));
	log_bool(l, "store_up", !r->store_lost);
	log_u64(l, "waiting", r->waiting.length + r->n_scheduled);
}

/* All that decided which server runs the statement, if any. */
static void put_inputs(struct log_line *l, const struct rsession *s,
		       uint64_t now_us)
{
	const struct relay_profile *profile =
		relay_catalog_profile(s->relay->catalog, s->database);
	const struct rservice *v = NULL;

	put_ages(l, s->relay, now_us);
	rsched_put_inputs(s, l);
	if (profile)
		v = g_hash_table_lookup(s->relay->services, profile->service);
	if (!v)
		return;
	rlog_position(l, "min_position", s->run.after);
	put_primary(l, v, now_us);
	rpick_log_candidates(s, profile, l, now_us);
}

/* Whether the proxy wrote the text; a server's may contain a caller's data. */
static bool is_own_text(enum relay_code code)
{
	return code != RELAY_FAILED && code != RELAY_OTHER;
}

/* The outcome of a statement, logged when it is answered. */
void rlog_statement(const struct rsession *s, enum relay_code code,
		    struct str text, uint64_t now_us)
{
	const struct rrun *run = &s->run;
	const struct relay_code_info *info = relay_code_info(code);
	struct log_line *l;

	if (code == RELAY_OK && !rlog_is_sampled(s->relay, run->id))
		return;
	l = begin(s->relay, code == RELAY_OK ? LOG_ROUTINE : LOG_FAILURE,
		  "statement");
	if (!l)
		return;
	put_context(l, s);
	log_cstr(l, "verb", verb_name(run->verb));
	log_bool(l, "writes", run->writes);
	log_cstr(l, "code", info->name);
	log_u64(l, "number", info->number);
	log_cstr(l, "outcome", relay_outcome_name(info->outcome));
	if (code != RELAY_OK)
		log_str(l, "why",
			is_own_text(code) ?
				text :
				STR("the server's text is withheld"));
	log_u64(l, "total_ms", ms_since(run->arrived_us, now_us));
	log_u64(l, "time_left_ms", ms_until(run->deadline_us, now_us));
	log_bool(l, "sent", run->sent);
	log_str(l, "server", str_from_gstring(run->server));
	put_tries(l, run);
	if (code != RELAY_OK)
		put_inputs(l, s, now_us);
	log_event_end(l);
}

/* Which server a statement is sent to, and why; retries are always logged. */
void rlog_route(const struct rsession *s, const struct rpick *pick,
		uint64_t now_us)
{
	const struct rrun *run = &s->run;
	struct log_line *l;

	if (!run->tries && !rlog_is_sampled(s->relay, run->id))
		return;
	l = begin(s->relay, run->tries ? LOG_FAILURE : LOG_ROUTINE, "route");
	if (!l)
		return;
	put_context(l, s);
	log_cstr(l, "server", pick->server->info.id);
	log_cstr(l, "why", pick->why);
	log_u64(l, "try", run->tries + 1);
	log_u64(l, "waited_ms", ms_since(run->arrived_us, now_us));
	put_inputs(l, s, now_us);
	log_event_end(l);
}

/* A try failed without effect, and another one follows. */
void rlog_retry(const struct rsession *s, const char *server,
		enum relay_code code, uint64_t now_us)
{
	struct log_line *l = begin(s->relay, LOG_FAILURE, "retry");

	if (!l)
		return;
	put_context(l, s);
	log_cstr(l, "server", server);
	log_cstr(l, "code", relay_code_info(code)->name);
	log_u64(l, "try", s->run.tries);
	log_u64(l, "again_in_ms", ms_until(s->run.again_us, now_us));
	log_u64(l, "queue_timeout_in_ms",
		ms_until(s->run.queue_deadline_us, now_us));
	log_u64(l, "time_left_ms", ms_until(s->run.deadline_us, now_us));
	log_event_end(l);
}

/* An event of a session; the id is that of its last statement. */
void rlog_session(const struct rsession *s, const char *event, const char *why,
		  uint64_t now_us)
{
	struct log_line *l = begin(s->relay, LOG_FAILURE, event);

	if (!l)
		return;
	put_context(l, s);
	log_cstr(l, "why", why);
	log_bool(l, "in_flight", rrun_is_active(s));
	log_bool(l, "in_transaction", s->state != 'I');
	log_str(l, "server", str_from_gstring(s->run.server));
	log_u64(l, "since_ms", ms_since(s->used_us, now_us));
	log_event_end(l);
}

/* Begins a line about a server or another proxy; NULL: no room for it. */
struct log_line *rlog_server(const struct rserver *s, const char *event)
{
	struct log_line *l = log_event(LOG_STATE, event);

	if (!l)
		return NULL;
	log_cstr(l, s->service->peers ? "database" : "service",
		 s->service->name);
	log_cstr(l, s->service->peers ? "proxy" : "server", s->info.id);
	return l;
}

/* Logs an event of a server that needs no more fields. */
void rlog_server_event(const struct rserver *s, const char *event)
{
	struct log_line *l = rlog_server(s, event);

	if (l)
		log_event_end(l);
}

/* Why the replica's confirmation of the primary does not suffice alone. */
static const char *reason_not_alone(const struct rserver *by, bool is_doubted)
{
	static const char *const whys[] = { "old-list", "new", "restarted" };

	if (!is_doubted)
		return whys[0];
	return by->doubted_as_new ? whys[1] : whys[2];
}

/*
 * A replica's confirmation does not extend the primary's lease, since it counts
 * only together with those of other replicas, from counts_us on. Logged once
 * for each replica, primary and reason, so that an operator whose writes wait
 * sees which server is not relied on.
 */
void rlog_not_relied_on(struct rserver *by, uint64_t counts_us, bool is_doubted)
{
	const struct rservice *v = by->service;
	const char *why = reason_not_alone(by, is_doubted);
	struct log_line *l;

	if (counts_us >= by->agreed_at_us || counts_us > v->confirmed_us)
		return;
	if (by->disregard_logged == v->primary_changes &&
	    by->disregard_reason == why)
		return;
	by->disregard_logged = v->primary_changes;
	by->disregard_reason = why;
	l = log_event(LOG_STATE, "word-left-aside");
	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_cstr(l, "primary", v->primary->info.id);
	log_u64(l, "term", v->term);
	log_cstr(l, "by", by->info.id);
	log_cstr(l, "why", why);
	log_event_end(l);
}
