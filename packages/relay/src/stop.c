/*
 * A planned stop: when sessions end, and when the process may.
 *
 * Failure: the platform gives a stopping process a time of grace. The process
 * ends sooner by a fixed time of its own, and a statement that a server is
 * still at work on gets no answer, not even an error. Guard: the process ends
 * as soon as nothing is left to do. What is still in flight shortly before the
 * grace is over gets an error that is true, see rrun_on_stop(), and is then
 * given time to reach its caller.
 */
#define LOG_MODULE "stop"
#include "stop.h"

#include <celeryquay/base/log.h>

/* Part of the grace that is kept for the last answers, and its maximum. */
#define MARGIN_DIVISOR 4
#define MARGIN_MAX_US (500 * USEC_PER_MSEC)
/* How long the last answers may take to be written. */
#define FLUSH_TIMEOUT_US (300 * USEC_PER_MSEC)
/* The process runs for so long, since callers may still be sent to it. */
#define RUN_MIN_US (3 * USEC_PER_SEC)
/*
 * Sessions at rest end from then on: at half of the time that transactions
 * have, which they may use up.
 */
#define REST_ENDS_MAX_US (1500 * USEC_PER_MSEC)
/* Sessions that rest in a failed transaction have this long beyond that. */
#define FAILED_REST_US (1500 * USEC_PER_MSEC)

/* A planned stop begins. */
void relay_stop(struct relay *r, uint64_t now_us)
{
	if (r->stopping)
		return;
	r->stopping = true;
	r->stop_us = now_us;
}

/* The grace is over: what is in flight is answered now. */
void relay_stop_now(struct relay *r, uint64_t now_us)
{
	relay_stop(r, now_us);
	r->settings.stop_grace_us = 0;
}

/* Until then transactions may go on. */
uint64_t rstop_transactions_end_us(const struct relay *r)
{
	return r->stop_us +
	       MIN(r->settings.drain_us, r->settings.stop_grace_us / 2);
}

/* From then on a session ends when it is at rest. */
uint64_t rstop_rest_ends_us(const struct relay *r)
{
	uint64_t half_us = (rstop_transactions_end_us(r) - r->stop_us) / 2;

	return r->stop_us + MIN(half_us, REST_ENDS_MAX_US);
}

/* When all that is still in flight has to be answered. */
static uint64_t limit_us(const struct relay *r)
{
	uint64_t grace_us = r->settings.stop_grace_us;

	return r->stop_us + grace_us -
	       MIN(grace_us / MARGIN_DIVISOR, MARGIN_MAX_US);
}

static bool has_statements(const struct relay *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (rrun_is_active(value))
			return true;
	return false;
}

/* Whether no session is left. */
bool relay_is_idle(const struct relay *r)
{
	return !g_hash_table_size(r->sessions);
}

static bool must_finish(const struct relay *r, bool has_unsent, uint64_t now_us)
{
	if (now_us >= limit_us(r))
		return true;
	if (now_us < r->stop_us + RUN_MIN_US ||
	    now_us < rstop_transactions_end_us(r))
		return false;
	if (relay_is_idle(r))
		return true;
	return now_us >= rstop_transactions_end_us(r) + FAILED_REST_US &&
	       !has_statements(r) && !has_unsent;
}

static void log_finish(const struct relay *r, uint64_t now_us)
{
	struct log_line *l = log_event(LOG_STATE, "finishing");

	if (!l)
		return;
	log_u64(l, "after_ms", (now_us - r->stop_us) / USEC_PER_MSEC);
	log_u64(l, "grace_ms", r->settings.stop_grace_us / USEC_PER_MSEC);
	log_u64(l, "sessions", g_hash_table_size(r->sessions));
	log_event_end(l);
}

/* Answers all statements in flight and ends all sessions. */
static void finish(struct relay *r, uint64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	log_finish(r, now_us);
	r->finishing_since_us = now_us;
	g_hash_table_iter_init(&iter, r->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	for (i = 0; i < list->len; i++)
		rsession_finish(g_ptr_array_index(list, i), now_us);
	g_ptr_array_free(list, TRUE);
}

/*
 * Whether the process may end; answers what is in flight before. has_unsent:
 * answers wait to be written to callers.
 */
bool relay_is_stopped(struct relay *r, bool has_unsent, uint64_t now_us)
{
	if (!r->stopping)
		return false;
	if (!r->finishing_since_us) {
		if (!must_finish(r, has_unsent, now_us))
			return false;
		finish(r, now_us);
	}
	return relay_is_idle(r) ||
	       now_us >= r->finishing_since_us + FLUSH_TIMEOUT_US;
}

/* The process ends: logs the sessions that this cuts off. */
void relay_end(struct relay *r, uint64_t now_us)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->sessions);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rsession *s = value;

		if (rrun_is_active(s) || s->state != 'I')
			rlog_session(s, "cut", "the proxy stopped", now_us);
	}
}
