#include "support_cluster_internal.h"

/* An insert without a reply, or an entry without a majority, is uncertain. */
#define REPLY_TIMEOUT_US (300 * USEC_PER_MSEC)
#define CONFIRM_TIMEOUT_US (1 * USEC_PER_SEC)
#define CONFIRM_POLL_US (10 * USEC_PER_MSEC)
/* Wait before an uncertain write is settled. */
#define SETTLE_RETRY_US (50 * USEC_PER_MSEC)
/* A write that is still open after this is answered as unknown. */
#define WRITE_DEADLINE_US (4 * USEC_PER_SEC)

void write_answer(struct cluster *c, struct write *w, enum write_state state)
{
	w->state = state;
	if (state == WRITE_ACKNOWLEDGED) {
		c->counts.acknowledged++;
		c->last_ack_at_us = sim_now(c->sim);
		check_ack(c, w);
	} else if (state == WRITE_NOT_RUN) {
		c->counts.not_run++;
	} else {
		c->counts.unknown++;
	}
}

bool write_is_answered(const struct write *w)
{
	return w->state >= WRITE_ACKNOWLEDGED;
}

static void set_state(struct cluster *c, struct write *w,
		      enum write_state state)
{
	w->state = state;
	w->state_at_us = sim_now(c->sim);
}

static void answer_if_confirmed(struct cluster *c, struct write *w)
{
	unsigned majority = c->settings.n_servers / 2 + 1;
	bool must = w->settling ? c->rules.settle_needs_majority :
				  c->rules.ack_needs_majority;

	if (!must || (unsigned)__builtin_popcount(w->confirmed_by) >= majority)
		write_answer(c, w, w->outcome);
}

/*
 * Handles a server's reported log position. A server that granted a later term
 * than the write's does not count as confirming it: it may be receiving the old
 * entry as part of a later primary's log, and a primary of a term in between
 * may lack the entry and still win.
 */
void write_on_position(struct cluster *c, unsigned home, unsigned server,
		       const struct server_status *st)
{
	struct write *w;
	unsigned i;

	for (i = c->first_open; i < c->writes->len; i++) {
		w = g_ptr_array_index(c->writes, i);
		if (w->home != home || w->state != WRITE_CONFIRMING ||
		    st->received < w->at.index ||
		    (c->rules.ack_in_term && st->term != w->at.term) ||
		    (c->rules.ack_before_grant && st->granted > w->at.term))
			continue;
		w->confirmed_by |= 1U << server;
		answer_if_confirmed(c, w);
	}
}

void write_on_inserted(struct cluster *c, const struct call *call)
{
	struct write *w = call->write;

	if (write_is_answered(w) || call->attempt != w->attempt)
		return;
	if (call->result == FDB_READ_ONLY) {
		if (w->state == WRITE_SENT)
			write_answer(c, w, WRITE_NOT_RUN);
		else
			set_state(c, w, WRITE_UNCERTAIN);
		return;
	}
	if (w->state != WRITE_SENT && w->state != WRITE_SETTLING)
		return;
	w->settling = w->state == WRITE_SETTLING;
	w->outcome = call->found_done ? WRITE_ACKNOWLEDGED : WRITE_NOT_RUN;
	w->at = call->at;
	w->confirmed_by = 0;
	set_state(c, w, WRITE_CONFIRMING);
	answer_if_confirmed(c, w);
}

static void send_insert(struct home *h, struct write *w, enum fdb_kind kind)
{
	struct call call = { .kind = C_INSERT, .write = w, .insert = kind };

	w->attempt++;
	call.attempt = w->attempt;
	call.server = (unsigned)failover_primary(h->failover);
	cluster_send_call(h, call);
}

/*
 * Settles an uncertain write with a tombstone sent to the current primary: it
 * either finds the write's row or prevents it from being inserted later.
 */
static void settle(struct home *h, struct write *w)
{
	if (!h->c->rules.settle_before_not_run) {
		write_answer(h->c, w, WRITE_NOT_RUN);
		return;
	}
	if (failover_primary(h->failover) < 0)
		return;
	set_state(h->c, w, WRITE_SETTLING);
	send_insert(h, w, FDB_TOMBSTONE);
}

static void write_tick(struct home *h, struct write *w)
{
	struct cluster *c = h->c;
	uint64_t age_us = sim_now(c->sim) - w->state_at_us;

	if (sim_now(c->sim) >= w->deadline_at_us)
		write_answer(c, w, WRITE_UNKNOWN);
	else if (w->state != WRITE_UNCERTAIN &&
		 age_us >= (w->state == WRITE_CONFIRMING ? CONFIRM_TIMEOUT_US :
							   REPLY_TIMEOUT_US))
		set_state(c, w, WRITE_UNCERTAIN);
	else if (w->state == WRITE_UNCERTAIN && age_us >= SETTLE_RETRY_US)
		settle(h, w);
}

/*
 * Advances the home's open writes, and polls the servers' positions while one
 * waits for its majority.
 */
static void on_confirm_timer(void *ctx, void *data)
{
	struct home *h = ctx;
	struct cluster *c = h->c;
	struct call call = { .kind = C_STATUS };
	bool waiting = false;
	struct write *w;
	unsigned i;

	if (*(unsigned *)data != h->incarnation)
		return;
	while (c->first_open < c->writes->len &&
	       write_is_answered(g_ptr_array_index(c->writes, c->first_open)))
		c->first_open++;
	for (i = c->first_open; i < c->writes->len; i++) {
		w = g_ptr_array_index(c->writes, i);
		if (w->home != h->index || write_is_answered(w))
			continue;
		write_tick(h, w);
		waiting = waiting || w->state == WRITE_CONFIRMING;
	}
	for (i = 0; waiting && i < c->settings.n_servers; i++) {
		call.server = i;
		cluster_send_call(h, call);
	}
	sim_at(c->sim, h->node, CONFIRM_POLL_US, on_confirm_timer, h,
	       g_memdup2(data, sizeof(unsigned)));
}

static void on_write_timer(void *ctx, void *data)
{
	struct home *h = ctx;
	struct cluster *c = h->c;
	struct write *w;

	if (*(unsigned *)data != h->incarnation || !c->writing)
		return;
	sim_at(c->sim, h->node, c->settings.write_interval_us, on_write_timer,
	       h, g_memdup2(data, sizeof(unsigned)));
	if (h->holding || failover_primary(h->failover) < 0)
		return;
	w = g_new0(struct write, 1);
	w->key = c->writes->len + 1;
	w->home = h->index;
	w->deadline_at_us = sim_now(c->sim) + WRITE_DEADLINE_US;
	g_ptr_array_add(c->writes, w);
	set_state(c, w, WRITE_SENT);
	send_insert(h, w, FDB_DONE);
}

unsigned write_count_running(const struct home *h)
{
	const struct write *w;
	unsigned i, n = 0;

	for (i = h->c->first_open; i < h->c->writes->len; i++) {
		w = g_ptr_array_index(h->c->writes, i);
		if (w->home == h->index && w->state == WRITE_SENT)
			n++;
	}
	return n;
}

/* Starts the timers of a home. */
void write_start_home(struct home *h)
{
	struct cluster *c = h->c;

	sim_at(c->sim, h->node, 0, on_confirm_timer, h,
	       g_memdup2(&h->incarnation, sizeof(h->incarnation)));
	sim_at(c->sim, h->node, c->settings.write_interval_us, on_write_timer,
	       h, g_memdup2(&h->incarnation, sizeof(h->incarnation)));
}
