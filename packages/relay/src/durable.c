/*
 * Durability: whether a server that is to be promoted has all commits that were
 * acknowledged.
 *
 * Failure: the primary is lost, and the server with the newest log is lost too
 * or out of reach. Another one is promoted, and commits that replicas had
 * received, and that were acknowledged for that, are rolled back. Guard: a
 * service whose commits must reach replicas first (sync_replicas) gets no
 * primary that may lack one as long as a server that may have it can come back.
 *
 * Each acknowledged commit is on sync_replicas replicas. So the newest log of
 * those that are known has all of them if fewer than sync_replicas are unknown.
 * A server need not be known if its process was seen to be gone and the target
 * has received what the primary had after that, if another server has its log,
 * or if it led a term and the target follows in the newest one.
 *
 * That a server is not in the list is no sign of its end: one that only lost
 * the store goes on receiving. It is given up holder_wait_us after it was last
 * heard of. A proxy that starts learns from the roster who left the list
 * before; without one it takes some server for missing for that long.
 */
#define LOG_MODULE "durable"
#include "durable.h"
#include "roster.h"
#include "target.h"

#include <celeryquay/base/log.h>

#include <string.h>

/* A server that may have commits which the target lacks. */
struct rholder {
	char *id;
	char *host;
	uint16_t port;
	struct position newest; /* that it was known to have */
	uint64_t led_term; /* of which it was the primary, 0: none */
	uint64_t ended_at_us; /* its process was gone, 0: it may be running */
	uint64_t heard_at_us; /* it was listed or answered last */
	bool restarted; /* its process ended; another has its id */
};

static void holder_free(gpointer data)
{
	struct rholder *h = data;

	g_free(h->id);
	g_free(h->host);
	g_free(h);
}

/* A view of a server, which owns the strings. */
static struct rholder holder_view(const struct rserver *s)
{
	return (struct rholder){
		.id = s->info.id,
		.host = s->info.host,
		.port = s->info.port,
		.newest = s->received_max,
		.led_term = s->status.role == ROLE_PRIMARY ? s->status.term : 0,
		.ended_at_us = s->refused ? s->refused_at_us : 0,
		.heard_at_us = MAX(s->unlisted_at_us, s->heard_us),
	};
}

/* The table of servers that were removed from the list of a service. */
GPtrArray *rdurable_missing_new(void)
{
	return g_ptr_array_new_with_free_func(holder_free);
}

/*
 * Handles the position that the server reports. One that starts anew may have
 * lost its log, and with it what only it had. What it had counts until it has
 * received as much again, or for holder_wait_us.
 */
void rdurable_on_status(struct rserver *s, uint64_t now_us)
{
	struct position received = s->status.received;

	if (position_cmp(received, s->received_max) < 0) {
		if (!s->log_lost_at_us)
			s->log_lost_at_us = now_us;
		if (now_us <
		    s->log_lost_at_us + s->relay->settings.holder_wait_us)
			return;
	}
	s->log_lost_at_us = 0;
	s->received_max = received;
}

bool rdurable_is_holder(const struct rserver *s)
{
	return s->service->sync_replicas && !s->listed && !s->service->peers &&
	       rtarget_is_replica(s);
}

static struct rholder *add_missing(const struct rserver *s)
{
	struct rholder *h = g_new(struct rholder, 1);

	*h = holder_view(s);
	h->id = g_strdup(h->id);
	h->host = g_strdup(h->host);
	g_ptr_array_add(s->service->missing, h);
	return h;
}

/* The server left the list long ago and is removed from the service. */
void rdurable_on_removed(const struct rserver *s)
{
	if (!s->service->peers)
		add_missing(s);
}

/*
 * Another process has the server's id, and may lack the log of the former one.
 * That one may have received more than it had last reported.
 */
void rdurable_on_restarted(const struct rserver *s, uint64_t now_us)
{
	struct rholder *h;

	if (!s->service->sync_replicas || s->service->peers)
		return;
	h = add_missing(s);
	h->restarted = true;
	h->ended_at_us = h->heard_at_us = now_us;
}

/* A server of that id is listed again. */
void rdurable_on_listed(struct rservice *v, const char *id)
{
	unsigned i;

	for (i = v->missing->len; i; i--) {
		const struct rholder *h = v->missing->pdata[i - 1];

		if (!h->restarted && !strcmp(h->id, id))
			g_ptr_array_remove_index_fast(v->missing, i - 1);
	}
}

static bool is_given_up(const struct rservice *v, const struct rholder *h,
			uint64_t now_us)
{
	return now_us >= h->heard_at_us + v->relay->settings.holder_wait_us;
}

static void log_given_up(const struct rservice *v, const struct rholder *h)
{
	struct log_line *l = log_event(LOG_STATE, "holder-given-up");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_cstr(l, "server", h->id);
	rlog_position(l, "received", h->newest);
	log_event_end(l);
}

void rdurable_list_missing(const struct rservice *v, GArray *holders,
			   uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < v->missing->len; i++) {
		const struct rholder *h = v->missing->pdata[i];
		struct relay_holder view = { h->id, h->host, h->port };

		if (!h->restarted && !is_given_up(v, h, now_us) &&
		    !rroster_is_succeeded(v, &view))
			g_array_append_val(holders, view);
	}
}

/* Gives up servers that have been missing for holder_wait_us. */
void rdurable_expire_missing(struct rservice *v, uint64_t now_us)
{
	unsigned i;

	for (i = v->missing->len; i; i--) {
		const struct rholder *h = v->missing->pdata[i - 1];

		if (!is_given_up(v, h, now_us))
			continue;
		if (v->sync_replicas && !h->restarted)
			log_given_up(v, h);
		g_ptr_array_remove_index_fast(v->missing, i - 1);
	}
}

static bool is_succeeded(const struct rservice *v, const struct rholder *h)
{
	struct relay_holder view = { h->id, h->host, h->port };

	return rroster_is_succeeded(v, &view);
}

/* Whether the server has received what the primary had since then. */
static bool has_reached(const struct rservice *v, const struct rserver *s,
			uint64_t since_us)
{
	struct position received = s->status.received;
	unsigned n = MIN(v->n_samples, MAX_SAMPLES);
	unsigned i;

	if (v->lead_seen_at_us >= since_us && received.term == v->term &&
	    position_cmp(received, v->lead_start) >= 0)
		return true;
	for (i = 0; i < n; i++) {
		const struct rsample *sample =
			&v->samples[(v->n_samples - 1 - i) % MAX_SAMPLES];

		if (sample->us >= since_us &&
		    position_cmp(sample->position, received) <= 0)
			return true;
	}
	return false;
}

/*
 * Whether the target follows in the newest term. A replica may join a term
 * before it has received what the primary had at the term's start.
 */
static bool follows_newest_term(const struct rservice *v,
				const struct rserver *target)
{
	struct position received = target->status.received;

	return received.term == v->term &&
	       (v->lead_start.term != v->term ||
		position_cmp(received, v->lead_start) >= 0);
}

/* Whether a server that isn't known may have commits that the target lacks. */
static bool may_have_more(const struct rservice *v, const struct rholder *h,
			  const struct rserver *target)
{
	if (is_succeeded(v, h))
		return false;
	if (h->led_term)
		return !follows_newest_term(v, target);
	if (position_cmp(h->newest, target->status.received) > 0)
		return true;
	return !h->ended_at_us || !has_reached(v, target, h->ended_at_us);
}

/* Whether what the server has received is known and can't change any more. */
static bool is_known(const struct rservice *v, const struct rserver *s)
{
	if (rtarget_is_replica(s))
		return true;
	return v->phase != PHASE_WATCH && s->status.held >= v->fence_term &&
	       s->status_at_us;
}

static bool server_may_have_more(const struct rservice *v,
				 const struct rserver *s,
				 const struct rserver *target)
{
	struct rholder h = holder_view(s);

	if (is_known(v, s))
		return position_cmp(h.newest, target->status.received) > 0 &&
		       !is_succeeded(v, &h);
	return may_have_more(v, &h, target);
}

/*
 * Whether the target may lack acknowledged commits that another server has.
 * by: the id of that server, or empty.
 */
bool rdurable_may_lack_commits(const struct rservice *v,
			       const struct rserver *target, const char **by,
			       uint64_t now_us)
{
	unsigned i, n = 0;

	*by = "";
	if (!v->sync_replicas)
		return false;
	if (v->phase != PHASE_WATCH && v->stepped_down &&
	    position_cmp(target->status.received, v->old_position) >= 0)
		return false;
	for (i = 0; i < v->servers->len; i++) {
		const struct rserver *s = rservice_server(v, i);

		if (!server_may_have_more(v, s, target))
			continue;
		*by = s->info.id;
		n++;
	}
	for (i = 0; i < v->missing->len; i++) {
		const struct rholder *h = v->missing->pdata[i];

		if (is_given_up(v, h, now_us) || !may_have_more(v, h, target))
			continue;
		*by = h->id;
		n++;
	}
	/*
	 * What the target has received since this proxy started doesn't matter:
	 * a replica that left the list before may have received more.
	 */
	n += !rroster_knows_all(v, now_us);
	return n >= v->sync_replicas;
}

static void log_withheld(const struct rservice *v, const struct rserver *target,
			 const char *by)
{
	struct log_line *l = log_event(LOG_STATE, "promotion-withheld");

	if (!l)
		return;
	log_cstr(l, "service", v->name);
	log_cstr(l, "server", target->info.id);
	log_cstr(l, "by", by);
	log_event_end(l);
}

/*
 * Whether no server may be promoted in place of a failed primary for now: a
 * change would only pause the replicas in vain.
 */
bool rdurable_is_withheld(struct rservice *v, uint64_t now_us)
{
	const struct rserver *target = rtarget_choose(v, now_us);
	const char *by = "";
	bool is_withheld;

	is_withheld = target && !(v->primary && rserver_is_up(v->primary)) &&
		      rdurable_may_lack_commits(v, target, &by, now_us);
	if (is_withheld && !v->withheld)
		log_withheld(v, target, by);
	v->withheld = is_withheld;
	return is_withheld;
}
