#include "entry_private.h"

#include <celeryquay/base/log.h>
#include <celeryquay/base/log_event.h>
#include <celeryquay/core/request.h>

#include <xxhash.h>

/* One in this many successful requests is logged; failures all are. */
#define LOG_SAMPLE_INTERVAL 64

static bool is_sampled(struct str id)
{
	return id.len && !(XXH3_64bits(id.data, id.len) % LOG_SAMPLE_INTERVAL);
}

/* Logs to which home a request is sent, and why. */
void entry_log_dispatch(const struct exchange *x, const char *why)
{
	char attempt[STR_U64_SIZE];
	char *id;

	if (!log_decisions_enabled())
		return;
	str_put_u64(attempt, x->attempts);
	id = str_dup(x->request->key);
	log_decision("dispatch", "id", id, "database", exchange_database(x),
		     "home", x->home, "attempt", attempt, "why", why, NULL);
	g_free(id);
}

/*
 * Adds an error's fields. A database server's own message may contain a
 * caller's data, so the general meaning of the code is logged in its place.
 */
static void put_error_fields(struct log_line *l, const struct err *err)
{
	const struct err_info *info = err_info(err->code);
	bool from_server = err->code == ERR_STATEMENT_FAILED;

	log_cstr(l, "code", info->name);
	log_u64(l, "number", err->code);
	log_cstr(l, "why", from_server ? info->meaning : err->message);
}

/*
 * Logs the answer to a caller's request. The id is the caller's name and its
 * idempotency key, or a key that the entry made; the home logs the same id.
 */
void entry_log_request(const struct exchange *x, const struct answer *a,
		       uint64_t now_us)
{
	const struct request *r = x->request;
	bool done = a->outcome == OUTCOME_DONE;
	struct log_line *l;

	if (done && !is_sampled(r->key))
		return;
	l = log_event(done ? LOG_ROUTINE : LOG_FAILURE, "request");
	if (!l)
		return;
	log_str(l, "id", r->key);
	log_str(l, "caller", r->caller);
	log_cstr(l, "database", exchange_database(x));
	log_str(l, "profile", r->profile);
	log_u64(l, "entry_number", x->id);
	log_cstr(l, "outcome", outcome_name(a->outcome));
	if (!done)
		put_error_fields(l, &a->err);
	log_cstr(l, "sqlstate", a->sqlstate);
	log_cstr(l, "home", x->home);
	log_bool(l, "home_is_self", x->local);
	log_u64(l, "tries", x->attempts);
	log_cstr(l, "server", a->server);
	log_u64(l, "total_ms", (now_us - x->arrived_at_us) / USEC_PER_MSEC);
	log_u64(l, "time_left_ms",
		x->deadline_at_us > now_us ?
			(x->deadline_at_us - now_us) / USEC_PER_MSEC :
			0);
	log_u64(l, "retry_after_ms", a->retry_after_us / USEC_PER_MSEC);
	log_bool(l, "caller_left", !x->fr);
	log_event_end(l);
}

/* Logs a request refused before it got an id of its own. */
void entry_log_refused(const struct request *r, const struct err *err)
{
	struct log_line *l = log_event(LOG_FAILURE, "request");

	if (!l)
		return;
	log_str(l, "id", r->key);
	log_str(l, "service", r->service);
	log_str(l, "name", r->database);
	log_str(l, "profile", r->profile);
	log_cstr(l, "outcome", outcome_name(OUTCOME_NOT_RUN));
	put_error_fields(l, err);
	log_event_end(l);
}
