#define LOG_MODULE "entry"
#include "databases.h"
#include "entry_private.h"
#include "remote.h"

#include <celeryquay/base/log.h>
#include <celeryquay/core/group.h>
#include <celeryquay/transport/wire.h>

#include <inttypes.h>
#include <string.h>

/*
 * Another proxy gets this much less time than is left, so that its answer
 * arrives before the caller's deadline.
 */
#define FORWARD_MARGIN_US (20 * USEC_PER_MSEC)
/* Delay before the next attempt when the home is moving or can't be reached. */
#define MOVING_RETRY_US (20 * USEC_PER_MSEC)
/* Low bits of a correlation: the attempt's number; the rest: exchange's id. */
#define ATTEMPT_BITS 16
#define ATTEMPT_MASK ((1U << ATTEMPT_BITS) - 1)

/*
 * "service/database", the name used in sessions. Only for admitted requests.
 */
const char *exchange_database(const struct exchange *x)
{
	return x->database->key + strlen("database/");
}

/*
 * The attempt's number is part of it, so that answers to earlier attempts are
 * dropped: a home that was considered lost may be asked again, and its refusal
 * of the first attempt says nothing of the others, one of which may be running
 * elsewhere.
 */
uint64_t exchange_correlation(const struct exchange *x)
{
	return x->id << ATTEMPT_BITS | (x->attempts & ATTEMPT_MASK);
}

/* The id of the exchange that a correlation belongs to. */
uint64_t exchange_id(uint64_t correlation)
{
	return correlation >> ATTEMPT_BITS;
}

/*
 * Puts the home's name before the id of a new transaction, so that any proxy
 * can find the home.
 */
static void name_transaction(struct exchange *x, struct answer *a)
{
	char *id;

	if (!a->transaction.len || x->request->kind != REQUEST_BEGIN)
		return;
	id = g_strdup_printf("%s%c%.*s", x->home, TRANSACTION_SEPARATOR,
			     (int)a->transaction.len, a->transaction.data);
	a->transaction.data = g_string_chunk_insert(a->arena, id);
	a->transaction.len = strlen(id);
	g_free(id);
}

/*
 * Sends the caller's final answer with the session advanced to the position
 * that was seen, and ends the exchange.
 */
static void finish(struct exchange *x, struct answer *a)
{
	struct entry *e = x->entry;
	GString *text = g_string_new(NULL);
	struct err err = { 0 };

	name_transaction(x, a);
	if (a->seen.term)
		session_raise(&x->session, exchange_database(x), a->seen);
	if (x->session.count &&
	    !session_encode(e->node->model, &x->session, text, &err))
		LOG_WARN("answer has no session token: %s", err.message);
	if (x->fr) {
		front_set_user(x->fr, NULL);
		front_answer(x->fr, x->request, a, str_from_gstring(text));
	}
	counter_observe_us(e->latency, node_now_us() - x->arrived_at_us);
	entry_log_request(x, a, node_now_us());
	g_string_free(text, TRUE);
	g_hash_table_remove(e->exchanges, &x->id);
}

static void finish_error(struct exchange *x, enum err_code code,
			 uint64_t retry_after_us, const char *message)
{
	struct answer *a = answer_error(code, "%s", message);

	a->retry_after_us = retry_after_us;
	finish(x, a);
	answer_unref(a);
}

/* Whether it ends a long transaction, whose commit may already be done. */
static bool ends_transaction(const struct exchange *x)
{
	return x->request->kind == REQUEST_COMMIT ||
	       x->request->kind == REQUEST_ROLLBACK;
}

/*
 * Whether the request may have changed data, so that a wrong "not run" would do
 * harm. A rollback counts too: it may follow a commit that was done but whose
 * answer was lost.
 */
static bool may_change_data(const struct exchange *x)
{
	if (ends_transaction(x))
		return true;
	return x->request->kind == REQUEST_RUN &&
	       x->profile->u.profile.access == ACCESS_WRITE;
}

/* Whether a home refused the request without a lookup in the database. */
static bool is_refused_without_lookup(const struct answer *a)
{
	if (a->outcome != OUTCOME_NOT_RUN)
		return false;
	return a->err.code == ERR_NO_HOME || a->err.code == ERR_STOPPING ||
	       a->err.code == ERR_NO_SUCH_PROFILE ||
	       a->err.code == ERR_BAD_MESSAGE;
}

/* Whether the home ran nothing and another home may be asked. */
static bool home_is_moving(const struct answer *a)
{
	return a->outcome == OUTCOME_NOT_RUN &&
	       (a->err.code == ERR_NO_HOME || a->err.code == ERR_STOPPING);
}

/* Whether the request belongs to a long transaction that has begun. */
bool exchange_within_transaction(const struct exchange *x)
{
	enum request_kind kind = x->request->kind;

	return kind == REQUEST_IN_TRANSACTION || kind == REQUEST_COMMIT ||
	       kind == REQUEST_ROLLBACK;
}

/* Whether only the home that holds the transaction can serve the request. */
static bool is_bound(const struct exchange *x)
{
	return exchange_within_transaction(x) && !x->settling;
}

static void finish_unknown(struct exchange *x)
{
	finish_error(x, ERR_UNKNOWN_OUTCOME, 0,
		     "no home reported the outcome of the request");
}

/*
 * Asks the transaction's home, if it is another proxy that can be reached, to
 * roll back: it may still hold the transaction, and a later commit through
 * another proxy could reach it. The answer is ignored.
 */
static void try_roll_back(const struct exchange *x)
{
	const struct node *node = x->entry->node;
	const struct member_info *home = members_find(node->members, x->home);
	enum request_kind kind = x->request->kind;
	GBytes *body;

	if (!home || node_is_self(node, home))
		return;
	x->request->kind = REQUEST_ROLLBACK;
	body = wire_pack_request(x->request);
	x->request->kind = kind;
	peer_send(node->peer, home, PEER_REQUEST, 0, body);
	g_bytes_unref(body);
}

/*
 * Answers that the transaction's state is unknown. "Rolled back" could
 * be wrong: a home that is silent, or that the other proxies consider dead, may
 * hold the transaction until its idle time-out, and commit it when asked to.
 */
static void finish_transaction_unknown(struct exchange *x)
{
	try_roll_back(x);
	finish_error(
		x, ERR_UNKNOWN_OUTCOME, 0,
		"the transaction's home does not answer and may still hold "
		"it open; roll it back or wait for its idle time-out");
}

/*
 * The transaction's home has ended or is no longer a home of the database.
 * Without a commit the transaction ends with its home. A commit may have been
 * done before, even if this request is a rollback; another home finds its
 * outcome.
 */
static void on_transaction_lost(struct exchange *x)
{
	if (!ends_transaction(x)) {
		finish_error(
			x, ERR_NO_SUCH_TRANSACTION, 0,
			"the transaction's home was lost, or is no longer a "
			"home of the database");
		return;
	}
	x->settling = true;
	x->request->resend = true;
	x->attempts = 0;
	exchange_dispatch(x, "settle a transaction");
}

/* Passes on the home's answer, or plans a new attempt if the home is moving. */
void exchange_on_answer(struct exchange *x, struct answer *a)
{
	uint64_t now = node_now_us();

	/* An earlier attempt may have committed; the next home can't know. */
	if (home_is_moving(a) && a->repeated)
		x->request->resend = true;
	if (home_is_moving(a) && is_bound(x))
		on_transaction_lost(x);
	else if (home_is_moving(a) && now + MOVING_RETRY_US < x->deadline_at_us)
		x->retry_at_us = now + MOVING_RETRY_US;
	else if (is_refused_without_lookup(a) && may_change_data(x) &&
		 x->request->resend)
		finish_unknown(x);
	else
		finish(x, a);
}

static void on_local_answer(void *user, struct request *request,
			    struct answer *answer)
{
	struct exchange *x = user;

	(void)request;
	exchange_on_answer(x, answer);
}

static void send_local(struct exchange *x, struct group *g)
{
	const struct profile *profile = x->profile ? &x->profile->u.profile :
						     NULL;

	x->local = true;
	group_run(g, x->request, profile, x->caller_share, on_local_answer, x,
		  x->sent_at_us);
}

static bool send_remote(struct exchange *x, const struct member_info *home)
{
	GBytes *body = wire_pack_request(x->request);
	bool sent;

	x->local = false;
	sent = peer_send(x->entry->node->peer, home, PEER_REQUEST,
			 exchange_correlation(x), body);
	g_bytes_unref(body);
	return sent;
}

/* How long the home may take, in microseconds. */
static uint64_t time_left(const struct exchange *x, uint64_t now, bool local)
{
	uint64_t margin = local ? 0 : FORWARD_MARGIN_US;

	if (now + margin >= x->deadline_at_us)
		return 0;
	return x->deadline_at_us - now - margin;
}

/*
 * Finds the homes to ask: the transaction's only one, else the database's. When
 * the transaction's home is lost, any home can find out from the transaction's
 * key in the outcome table whether its commit was done, or prevent it for good.
 */
static unsigned find_homes(struct exchange *x, const struct member_info **homes)
{
	struct node *node = x->entry->node;
	const struct member_info *m;

	if (!is_bound(x))
		return databases_homes(node->databases,
				       &x->database->u.database, homes,
				       DATABASES_MAX_HOMES);
	m = members_find(node->members, x->home);
	if (!m || m->state == MEMBER_DEAD || m->state == MEMBER_LEFT)
		return 0;
	homes[0] = m;
	return 1;
}

/*
 * Whether nothing can be running at the home: it announced that it left, or its
 * name is unknown. Members remember a dead node for two hours, and a
 * transaction there ends when idle for seconds; so an unknown name ended
 * long ago or never existed.
 */
static bool home_has_ended(const struct exchange *x)
{
	const struct member_info *m =
		members_find(x->entry->node->members, x->home);

	return !m || m->state == MEMBER_LEFT;
}

static void on_no_home(struct exchange *x)
{
	if (is_bound(x) && !ends_transaction(x) && !home_has_ended(x))
		finish_transaction_unknown(x);
	else if (is_bound(x))
		on_transaction_lost(x);
	else if (may_change_data(x) && x->request->resend)
		finish_unknown(x);
	else
		finish_error(x, ERR_NO_HOME, USEC_PER_SEC,
			     "no proxy is a home of this database at present");
}

/* Picks the next home in the list with each attempt, but not the lost one. */
static const struct member_info *pick_home(
	const struct exchange *x, const struct member_info *const *homes,
	unsigned n)
{
	unsigned used = MIN(n, x->entry->node->settings->homes);
	const struct member_info *home = homes[x->attempts % used];

	if (x->request->resend && used > 1 && !strcmp(home->name, x->home))
		home = homes[(x->attempts + 1) % used];
	return home;
}

/* Sends the request to a home, the next one in the list with each attempt. */
void exchange_dispatch(struct exchange *x, const char *why)
{
	const struct member_info *homes[DATABASES_MAX_HOMES];
	struct node *node = x->entry->node;
	unsigned n = find_homes(x, homes);
	const struct member_info *home;
	struct group *g = NULL;

	x->retry_at_us = 0;
	if (!n) {
		on_no_home(x);
		return;
	}
	home = pick_home(x, homes, n);
	g_strlcpy(x->home, home->name, sizeof(x->home));
	x->attempts++;
	x->incarnation = home->incarnation;
	x->sent_at_us = node_now_us();
	if (node_is_self(node, home))
		g = databases_group(node->databases, x->request->service,
				    x->request->database);
	if (node_is_self(node, home) && !g && is_bound(x)) {
		on_transaction_lost(x);
		return;
	}
	x->request->deadline_left_us = time_left(x, x->sent_at_us, g != NULL);
	entry_log_dispatch(x, why);
	if (g)
		send_local(x, g);
	else if (node_is_self(node, home) || !send_remote(x, home))
		x->retry_at_us = x->sent_at_us + MOVING_RETRY_US;
}

/*
 * The home was lost while it had the request. A read is sent to the next home.
 * So is a write: whichever run commits first enters the key in the outcome
 * table, and the other run finds it there and runs nothing.
 */
void exchange_on_home_lost(struct exchange *x, bool gone)
{
	struct entry *e = x->entry;

	counter_add(e->homes_lost, 1);
	LOG_WARN("home %s lost (ended or silent) while it had request %" PRIu64,
		 x->home, x->id);
	if (is_bound(x) && !ends_transaction(x) && !gone) {
		finish_transaction_unknown(x);
		return;
	}
	if (is_bound(x)) {
		on_transaction_lost(x);
		return;
	}
	if (!retry_budget_take(&e->budget)) {
		finish_error(x,
			     may_change_data(x) ? ERR_UNKNOWN_OUTCOME :
						  ERR_NO_HOME,
			     USEC_PER_SEC,
			     "the home was lost and the retry budget is "
			     "used up");
		return;
	}
	counter_add(e->retries, 1);
	x->request->resend = true;
	exchange_dispatch(x, "home lost");
}

/*
 * No answer in time: answers with an outcome that holds whatever the homes
 * still do with the request.
 */
void exchange_on_deadline(struct exchange *x)
{
	bool sent = x->sent_at_us && !x->retry_at_us;

	if (may_change_data(x) && (sent || x->request->resend))
		finish_unknown(x);
	else if (sent && exchange_within_transaction(x))
		finish_transaction_unknown(x);
	else
		finish_error(x, ERR_DEADLINE, USEC_PER_SEC,
			     "no home answered before the request's deadline");
}
