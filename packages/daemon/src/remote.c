#define LOG_MODULE "remote"
#include "remote.h"
#include "databases.h"
#include "entry.h"
#include "planned_move.h"
#include "survey.h"

#include <celeryquay/base/log.h>
#include <celeryquay/core/group.h>
#include <celeryquay/transport/wire.h>

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* A peer that has sent nothing for this long is pinged. */
#define PING_AFTER_US (100 * USEC_PER_MSEC)
/* A peer that has sent nothing for this long counts as lost for the request. */
#define SILENT_AFTER_US (600 * USEC_PER_MSEC)

/* How long, and how many, answers wait for a node to become a known member. */
#define PENDING_ANSWER_TIMEOUT_US (2 * USEC_PER_SEC)
#define PENDING_ANSWERS_MAX 1024

/* Texts of admin messages; surveys and planned moves add their own. */
#define WORD_PING "ping"
#define WORD_PONG "pong"

struct peer_contact {
	uint64_t heard_at_us; /* time of its latest message; 0: none */
	uint64_t pinged_at_us; /* time of the latest ping to it; 0: none */
	/* Its incarnation at its start, from a pong; 0: unknown. */
	uint64_t first_incarnation;
};

/* A request that runs here for the entry of another proxy. */
struct forwarded {
	struct remote *remote;
	char from[64];
	uint64_t correlation;
	struct item *profile;
};

/* An answer that waits until its node becomes a known member. */
struct pending_answer {
	char to[64];
	uint64_t correlation;
	GBytes *body;
	uint64_t expires_at_us;
};

struct remote {
	struct node *node;
	GHashTable *peers; /* name -> struct peer_contact */
	unsigned running; /* forwarded requests that run here */
	GQueue pending; /* of struct pending_answer, oldest first */
};

struct remote *remote_create(struct node *node)
{
	struct remote *r = g_new0(struct remote, 1);

	r->node = node;
	r->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&r->pending);
	return r;
}

static void pending_destroy(gpointer data)
{
	struct pending_answer *h = data;

	g_bytes_unref(h->body);
	g_free(h);
}

/* Groups must be destroyed before, as they call back into the tables. */
void remote_destroy(struct remote *r)
{
	if (!r)
		return;
	g_queue_clear_full(&r->pending, pending_destroy);
	g_hash_table_destroy(r->peers);
	g_free(r);
}

static struct peer_contact *get_contact(struct remote *r, const char *name)
{
	struct peer_contact *contact = g_hash_table_lookup(r->peers, name);

	if (!contact) {
		contact = g_new0(struct peer_contact, 1);
		g_hash_table_insert(r->peers, g_strdup(name), contact);
	}
	return contact;
}

/* Sends an admin message; it may be lost. */
void remote_send_admin_message(struct remote *r, const struct member_info *to,
			       uint64_t correlation, const char *word)
{
	GBytes *body = g_bytes_new(word, strlen(word));

	peer_send(r->node->peer, to, PEER_ADMIN, correlation, body);
	g_bytes_unref(body);
}

static void ping(struct remote *r, struct peer_contact *contact,
		 const struct member_info *m, uint64_t now_us)
{
	if (now_us < contact->pinged_at_us + PING_AFTER_US)
		return;
	contact->pinged_at_us = now_us;
	remote_send_admin_message(r, m, 0, WORD_PING);
}

/*
 * A home that died, or whose link broke without notice, looks like a slow one.
 * The answer to a ping tells them apart long before the deadline.
 *
 * A home that restarted under the same name answers pings but knows nothing of
 * what it was sent before, so that the entry would wait until the deadline. Its
 * incarnation grows, but so does that of a home that refutes a suspicion. The
 * pong carries the incarnation at its start: if that is above the one known at
 * the sending, the home has restarted since.
 */
enum peer_liveness remote_peer_liveness(struct remote *r, const char *name,
					uint64_t incarnation,
					uint64_t sent_at_us, uint64_t now_us)
{
	const struct member_info *m = members_find(r->node->members, name);
	struct peer_contact *contact = get_contact(r, name);
	uint64_t since = MAX(contact->heard_at_us, sent_at_us);

	if (contact->first_incarnation > incarnation)
		return PEER_GONE;
	if (m && m->state == MEMBER_LEFT)
		return PEER_GONE;
	if (!m || m->state == MEMBER_DEAD || now_us >= since + SILENT_AFTER_US)
		return PEER_SILENT;
	if (now_us >= since + PING_AFTER_US || m->incarnation > incarnation)
		ping(r, contact, m, now_us);
	return PEER_ALIVE;
}

/*
 * Keeps an answer until the address of its node is known. The other members
 * hear of a node that has just started before it has heard of all of them,
 * and send it requests. If it dropped their answers, an entry would still get
 * pongs, wait until the deadline and report the outcome of a write as unknown.
 * The address arrives within moments; until then the answer is pending.
 */
static void queue_answer(struct remote *r, const char *to, uint64_t correlation,
			 GBytes *body)
{
	struct pending_answer *h;

	if (r->pending.length >= PENDING_ANSWERS_MAX) {
		LOG_WARN("answer %" PRIu64
			 " dropped: proxy %s is not a known member"
			 " and too many answers wait already",
			 correlation, to);
		return;
	}
	h = g_new0(struct pending_answer, 1);
	g_strlcpy(h->to, to, sizeof(h->to));
	h->correlation = correlation;
	h->body = g_bytes_ref(body);
	h->expires_at_us = node_now_us() + PENDING_ANSWER_TIMEOUT_US;
	g_queue_push_tail(&r->pending, h);
}

static void send_body(struct remote *r, const struct member_info *to,
		      uint64_t correlation, GBytes *body)
{
	if (!peer_send(r->node->peer, to, PEER_ANSWER, correlation, body))
		LOG_WARN("answer %" PRIu64
			 " dropped: the queue to proxy %s is full",
			 correlation, to->name);
}

static void send_answer(struct remote *r, const char *to, uint64_t correlation,
			const struct answer *answer)
{
	const struct member_info *m = members_find(r->node->members, to);
	GBytes *body = wire_pack_answer(answer);

	if (m)
		send_body(r, m, correlation, body);
	else
		queue_answer(r, to, correlation, body);
	g_bytes_unref(body);
}

static void retry_pending(struct remote *r, struct pending_answer *h,
			  uint64_t now_us)
{
	const struct member_info *m = members_find(r->node->members, h->to);

	if (m) {
		send_body(r, m, h->correlation, h->body);
	} else if (now_us < h->expires_at_us) {
		g_queue_push_tail(&r->pending, h);
		return;
	} else {
		LOG_WARN("answer %" PRIu64
			 " dropped: proxy %s did not become a known"
			 " member in time",
			 h->correlation, h->to);
	}
	pending_destroy(h);
}

/* Sends pending answers whose nodes have become known members. */
void remote_tick(struct remote *r, uint64_t now_us)
{
	unsigned n;

	for (n = r->pending.length; n; n--)
		retry_pending(r, g_queue_pop_head(&r->pending), now_us);
}

static void on_group_answer(void *user, struct request *request,
			    struct answer *answer)
{
	struct forwarded *f = user;
	struct remote *r = f->remote;

	(void)request;
	r->running--;
	send_answer(r, f->from, f->correlation, answer);
	item_unref(f->profile);
	g_free(f);
}

static struct item *find_item(struct remote *r, const char *kind,
			      struct str name)
{
	char *key = g_strdup_printf("%s/%.*s", kind, (int)name.len, name.data);
	struct item *item = model_get(r->node->model, key);

	g_free(key);
	return item && !item->removed ? item : NULL;
}

static void refuse(struct remote *r, const char *from, uint64_t correlation,
		   enum err_code code, const char *why)
{
	struct answer *a = answer_error(code, "%s", why);

	send_answer(r, from, correlation, a);
	answer_unref(a);
}

/* Runs a request for the entry that forwarded it. */
static void run_forwarded(struct remote *r, const char *from,
			  uint64_t correlation, struct request *request)
{
	struct item *caller = find_item(r, "caller", request->caller);
	struct item *profile = NULL;
	struct forwarded *f;
	struct group *g;

	g = databases_group(r->node->databases, request->service,
			    request->database);
	if (!g) {
		refuse(r, from, correlation, ERR_NO_HOME,
		       "this proxy is not a home of the database");
		return;
	}
	if (request->profile.len) {
		profile = find_item(r, "profile", request->profile);
		if (!profile) {
			refuse(r, from, correlation, ERR_NO_SUCH_PROFILE,
			       "the profile is not configured at the home");
			return;
		}
	}
	if (!profile &&
	    (request->kind == REQUEST_RUN || request->kind == REQUEST_BEGIN)) {
		refuse(r, from, correlation, ERR_BAD_MESSAGE,
		       "the request names no profile");
		return;
	}
	f = g_new0(struct forwarded, 1);
	f->remote = r;
	g_strlcpy(f->from, from, sizeof(f->from));
	f->correlation = correlation;
	f->profile = profile ? item_ref(profile) : NULL;
	r->running++;
	group_run(g, request, profile ? &profile->u.profile : NULL,
		  caller ? caller->u.caller.share : 0, on_group_answer, f,
		  node_now_us());
}

static void on_request(struct remote *r, const char *from, uint64_t correlation,
		       struct str body)
{
	struct err err = { 0 };
	struct request *request = wire_unpack_request(body, &err);

	if (!request) {
		LOG_WARN("malformed request from proxy %s refused: %s", from,
			 err.message);
		refuse(r, from, correlation, ERR_BAD_MESSAGE, err.message);
		return;
	}
	run_forwarded(r, from, correlation, request);
	request_unref(request);
}

/*
 * A pong's correlation is the peer's incarnation at its start; peers of an
 * older version send 0.
 */
static void on_pong(struct remote *r, const char *from,
		    uint64_t first_incarnation)
{
	struct peer_contact *contact = get_contact(r, from);

	contact->first_incarnation =
		MAX(contact->first_incarnation, first_incarnation);
}

static void on_admin(struct remote *r, const char *from, uint64_t correlation,
		     struct str body)
{
	const struct member_info *m = members_find(r->node->members, from);
	char *word;

	if (!m)
		return;
	word = str_dup(body);
	if (!strcmp(word, WORD_PING))
		remote_send_admin_message(r, m, r->node->incarnation,
					  WORD_PONG);
	else if (!strcmp(word, WORD_PONG))
		on_pong(r, from, correlation);
	else if (!survey_on_message(r->node->survey, m, correlation, word) &&
		 !planned_move_on_message(r->node->planned_move, m, correlation,
					  word))
		LOG_WARN("proxy %s sent an unknown admin message '%s', ignored",
			 from, word);
	g_free(word);
}

static void on_message(void *ctx, enum peer_kind kind, const char *from,
		       uint64_t correlation, struct str body)
{
	struct node *node = ctx;
	struct remote *r = node->remote;
	uint64_t now = node_now_us();
	struct err err = { 0 };

	get_contact(r, from)->heard_at_us = now;
	switch (kind) {
	case PEER_GOSSIP:
		members_on_message(node->members, body, now, &err);
		break;
	case PEER_CONF:
		confsync_on_message(node->confsync, from, body, now, &err);
		break;
	case PEER_REQUEST:
		on_request(r, from, correlation, body);
		break;
	case PEER_ANSWER:
		entry_on_answer(node->entry, from, correlation, body);
		break;
	case PEER_ADMIN:
		on_admin(r, from, correlation, body);
		break;
	}
	if (err.code)
		LOG_WARN("invalid message from proxy %s: %s", from,
			 err.message);
}

const struct peer_events remote_peer_events = { .message = on_message };

/* Whether no request runs here for other proxies and no answer is pending. */
bool remote_idle(const struct remote *r)
{
	return !r->running && !r->pending.length;
}
