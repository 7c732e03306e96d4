#define LOG_MODULE "entry"
#include "access.h"
#include "databases.h"
#include "entry_private.h"
#include "remote.h"

#include <celeryquay/base/log.h>
#include <celeryquay/core/group.h>
#include <celeryquay/transport/wire.h>

#include <inttypes.h>
#include <string.h>

/* Retry budget: tokens earned by each first attempt, and the maximum. */
#define RETRY_TOKENS_PER_REQUEST 0.1
#define RETRY_TOKENS_MAX 100.0

static void exchange_destroy(gpointer data)
{
	struct exchange *x = data;

	request_unref(x->request);
	item_unref(x->profile);
	item_unref(x->database);
	g_free(x);
}

struct entry *entry_create(struct node *node)
{
	struct entry *e = g_new0(struct entry, 1);
	struct counter_set *set = node->counters;

	e->node = node;
	e->exchanges = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     exchange_destroy);
	retry_budget_init(&e->budget, RETRY_TOKENS_PER_REQUEST,
			  RETRY_TOKENS_MAX);
	e->requests = counter_get(set, COUNTER_COUNT,
				  "celeryquay_requests_total", NULL,
				  "Callers' requests.");
	e->retries = counter_get(set, COUNTER_COUNT, "celeryquay_retries_total",
				 NULL, "Requests sent to another home.");
	e->homes_lost = counter_get(
		set, COUNTER_COUNT, "celeryquay_homes_lost_total", NULL,
		"Homes lost while a request waited for them.");
	e->latency = counter_get(set, COUNTER_HISTOGRAM,
				 "celeryquay_request_seconds", NULL,
				 "Time from a request to its answer.");
	return e;
}

/* Callers that still wait get no answer. */
void entry_destroy(struct entry *e)
{
	if (!e)
		return;
	g_hash_table_destroy(e->exchanges);
	g_free(e);
}

/*
 * Logs the error and answers the caller with it; for requests that are not yet
 * in the table of exchanges.
 */
static void refuse(struct front_request *fr, struct request *request,
		   const struct err *err)
{
	struct answer *a = answer_error(err->code, "%s", err->message);

	entry_log_refused(request, err);
	front_answer(fr, request, a, STR(""));
	answer_unref(a);
	request_unref(request);
}

/*
 * Refuses requests until a signing key is in force. While a node starts, a
 * caller and a database may be in force before any key; a write acknowledged
 * then would return no session token, and the session's next read could miss
 * it.
 */
static bool can_sign(struct node *node, struct err *err)
{
	if (model_signing_key(node->model))
		return true;
	err_set(err, ERR_NOT_READY,
		"this proxy has no signing key for session tokens");
	return false;
}

/*
 * Checks the caller's rights and the session, and fills in database, profile
 * and deadline. False with err set when the request is refused.
 */
static bool admit_request(struct exchange *x, struct str token,
			  struct str session, struct err *err)
{
	struct node *node = x->entry->node;
	const struct caller_conf *caller;
	struct request *r = x->request;

	caller = access_caller(node, r, token, err);
	if (!caller || !can_sign(node, err) ||
	    !access_database(node, r, caller, &x->database, err) ||
	    !access_profile(node, r, caller, &x->profile, err) ||
	    !session_decode(node->model, session, &x->session, err))
		return false;
	r->caller = request_copy_bytes(r, caller->name, strlen(caller->name));
	x->caller_share = caller->share;
	r->seen = session_seen(&x->session, exchange_database(x));
	if (!x->profile)
		return true;
	x->deadline_at_us =
		x->arrived_at_us + x->profile->u.profile.deadline_us;
	r->read_only = x->profile->u.profile.access == ACCESS_READ;
	return true;
}

/* Returns "holder/id/random", which is unique to the exchange. */
static char *make_unique_key(const struct exchange *x)
{
	struct node *node = x->entry->node;
	char id[STR_U64_SIZE], random[STR_U64_SIZE];
	char *head, *key;

	str_put_u64(id, x->id);
	str_put_u64(random, g_rand_int(node->rng));
	head = str_join(str_from_c(node->holder), '/', str_from_c(id));
	key = str_join(str_from_c(head), '/', str_from_c(random));
	g_free(head);
	return key;
}

/*
 * Sets the idempotency key: the caller's with its name before it or, so that
 * every write has one, a key made here.
 */
static void set_idempotency_key(struct exchange *x)
{
	struct request *r = x->request;
	char *key;

	if (r->key_given)
		key = str_join(r->caller, '/', r->key);
	else
		key = make_unique_key(x);
	r->key = request_copy_bytes(r, key, strlen(key));
	g_free(key);
}

/*
 * Splits a transaction id "home~id" into the home's name and the group's own
 * id. False when it is malformed.
 */
static bool split_transaction(struct exchange *x)
{
	struct request *r = x->request;
	const char *at;
	size_t n;

	if (!exchange_within_transaction(x))
		return true;
	at = memchr(r->transaction.data, TRANSACTION_SEPARATOR,
		    r->transaction.len);
	if (!at)
		return false;
	n = (size_t)(at - r->transaction.data);
	if (!n || n >= sizeof(x->home))
		return false;
	memcpy(x->home, r->transaction.data, n);
	x->home[n] = '\0';
	r->transaction.data = at + 1;
	r->transaction.len -= n + 1;
	return true;
}

/*
 * The caller disconnected: a read is cancelled, a write already sent goes on.
 */
static void on_disconnect(struct node_waiter *w)
{
	struct exchange *x = (struct exchange *)w;
	struct group *g;

	x->fr = NULL;
	if (!x->local || x->retry_at_us)
		return;
	g = databases_group(x->entry->node->databases, x->request->service,
			    x->request->database);
	if (g)
		group_cancel(g, x->request, node_now_us());
}

static struct exchange *exchange_create(struct entry *e,
					struct front_request *fr,
					struct request *request)
{
	struct exchange *x = g_new0(struct exchange, 1);

	x->waiter.gone = on_disconnect;
	x->entry = e;
	x->id = ++e->next_id;
	x->fr = fr;
	x->request = request;
	x->arrived_at_us = node_now_us();
	x->deadline_at_us = x->arrived_at_us + ACCESS_DEFAULT_DEADLINE_US;
	request->id = x->id;
	return x;
}

/* Handles a caller's request; takes ownership of the reference to it. */
void entry_on_request(struct entry *e, struct front_request *fr,
		      struct request *request, struct str token,
		      struct str session)
{
	struct exchange *x = exchange_create(e, fr, request);
	struct err err = { 0 };

	counter_add(e->requests, 1);
	if (!split_transaction(x)) {
		err_set(&err, ERR_NO_SUCH_TRANSACTION,
			"the transaction's id is malformed");
		goto err;
	}
	if (!admit_request(x, token, session, &err))
		goto err;
	set_idempotency_key(x);
	retry_budget_on_first_try(&e->budget);
	g_hash_table_insert(e->exchanges, &x->id, x);
	front_set_user(fr, x);
	exchange_dispatch(x, "first");
	return;
err:
	refuse(fr, request_ref(request), &err);
	exchange_destroy(x);
}

/*
 * Handles an answer from another proxy. A late one is dropped: its exchange has
 * ended or has been sent to another home since.
 */
void entry_on_answer(struct entry *e, const char *from, uint64_t correlation,
		     struct str body)
{
	uint64_t id = exchange_id(correlation);
	struct exchange *x = g_hash_table_lookup(e->exchanges, &id);
	struct err err = { 0 };
	struct answer *a;

	if (!x || x->local || x->retry_at_us || strcmp(from, x->home) != 0 ||
	    exchange_correlation(x) != correlation) {
		LOG_DBG("late answer %" PRIu64 " from proxy %s dropped",
			correlation, from);
		return;
	}
	a = wire_unpack_answer(body, &err);
	if (!a) {
		LOG_WARN("malformed answer from proxy %s dropped: %s", from,
			 err.message);
		return;
	}
	exchange_on_answer(x, a);
	answer_unref(a);
}

static void check_home(struct exchange *x, uint64_t now_us)
{
	enum peer_liveness liveness =
		remote_peer_liveness(x->entry->node->remote, x->home,
				     x->incarnation, x->sent_at_us, now_us);

	if (liveness != PEER_ALIVE)
		exchange_on_home_lost(x, liveness == PEER_GONE);
}

static void sweep_one(struct exchange *x, uint64_t now_us)
{
	if (x->local && !x->retry_at_us)
		return; /* the group enforces the deadline */
	if (now_us >= x->deadline_at_us)
		exchange_on_deadline(x);
	else if (x->retry_at_us && now_us >= x->retry_at_us)
		exchange_dispatch(x, "home moving");
	else if (!x->retry_at_us)
		check_home(x, now_us);
}

/*
 * Handles expired deadlines, due retries and lost homes; called every few
 * milliseconds.
 */
void entry_sweep(struct entry *e, uint64_t now_us)
{
	GList *all = g_hash_table_get_values(e->exchanges);
	GList *l;

	for (l = all; l; l = l->next)
		sweep_one(l->data, now_us);
	g_list_free(all);
}

/* Whether no caller waits for an answer. */
bool entry_idle(const struct entry *e)
{
	return !g_hash_table_size(e->exchanges);
}
