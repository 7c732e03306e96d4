#define LOG_MODULE "group"
#include "group_internal.h"

#include <celeryquay/base/log.h>

/* Between two removals while old rows are left. */
#define CLEAN_INTERVAL_US (1 * USEC_PER_SEC)
/* After a removal that left no old rows, or failed. */
#define CLEAN_IDLE_INTERVAL_US (60 * USEC_PER_SEC)
#define CLEAN_TIMEOUT_US (5 * USEC_PER_SEC)
/*
 * Marks made per retention time. A row is kept longer than the retention by up
 * to the time between two marks.
 */
#define MARKS_PER_RETENTION 24
/*
 * Upper bound of the age of the status from which a home takes the "at" of the
 * keys that it inserts; a home with an older one inserts none.
 */
#define CLAIM_STATUS_AGE_MAX_US (60 * USEC_PER_SEC)
/*
 * Added to a log index to give a row's "at". It is above every time in
 * milliseconds since 1970, see clean_at_value().
 */
#define ROW_AT_BASE ((int64_t)1 << 53)

static void on_cleaned(void *user, struct conn *c,
		       struct upstream_result *result, uint64_t now_us)
{
	struct server *s = user;
	struct group *g = s->group;
	uint64_t removed = 0;
	bool commit_known;

	g->cleaning = false;
	g->next_clean_at_us = now_us + CLEAN_IDLE_INTERVAL_US;
	if (!result->conn_usable)
		return;
	server_mark_alive(s, c->started_us, now_us);
	commit_known = server_record_commit(c, result);
	if (commit_known) {
		g->outcome_index_term = fresh_term(g->fresh);
		removed = outcome_rows_affected(result->results);
	} else {
		LOG_WARN("%s: old outcomes could not be removed: %s", g->label,
			 result->err.message);
	}
	g->counts.outcome_rows_removed += removed;
	if (removed >= g->settings.outcome_removals_per_s)
		g->next_clean_at_us = now_us + CLEAN_INTERVAL_US;
	if (commit_known || result->steps_done < g->clean_commit_step)
		server_release_conn(c, now_us);
	else
		conn_close(c);
}

/*
 * The value of "at" for a key that is inserted now at the primary: the end of
 * the primary's log as far as this home knows it, plus a base above every time
 * in milliseconds that an older version wrote there. If it is not known, the
 * greatest value, with which the row is never removed.
 */
int64_t clean_at_value(const struct server *s)
{
	const struct server_status *st =
		s->index < 0 ?
			NULL :
			fresh_status(s->group->fresh, (unsigned)s->index);

	return st ? ROW_AT_BASE + (int64_t)st->received : INT64_MAX;
}

/* Makes a mark at the end of the log, a few times per retention time. */
static void note_mark(struct group *g, const struct server *primary,
		      uint64_t now_us)
{
	const struct server_status *st =
		fresh_status(g->fresh, (unsigned)primary->index);
	struct clean_mark *last = g_queue_peek_tail(&g->clean_marks);
	uint64_t gap_us =
		g->settings.outcome_retention_us / MARKS_PER_RETENTION;

	if (!st || (last && now_us < last->us + gap_us))
		return;
	last = g_new(struct clean_mark, 1);
	last->us = now_us;
	last->at = (struct position){ st->term, st->received };
	g_queue_push_tail(&g->clean_marks, last);
}

/*
 * Rows whose "at" is below the returned value may be removed. Wall clocks are
 * not used, as they can be wrong or be set: a home whose clock is a day ahead
 * would remove keys in use, and requests repeated under them would run twice.
 * Instead, a row below a mark was inserted before the mark was made (or a
 * moment later, by a home with an older status), and the home's monotonic clock
 * tells how long ago that was. A mark whose position is no longer in the log
 * after a failover says nothing about the rows that replaced it and is ignored.
 * A home that starts has no marks and removes nothing for a whole retention
 * time: keys are then kept longer, never shorter.
 */
static int64_t removable_before(struct group *g, const struct server *primary,
				uint64_t now_us)
{
	const struct server_status *st =
		fresh_status(g->fresh, (unsigned)primary->index);
	uint64_t kept_us =
		g->settings.outcome_retention_us + CLAIM_STATUS_AGE_MAX_US;
	int64_t before = 0;
	GList *l;

	for (l = g->clean_marks.head; st && l; l = l->next) {
		const struct clean_mark *mark = l->data;

		if (now_us < mark->us + kept_us)
			break;
		if (history_contains(&st->history, mark->at) &&
		    mark->at.index <= st->received)
			before = ROW_AT_BASE + (int64_t)mark->at.index;
	}
	return before;
}

/* Drops marks that are superseded by a newer one older than the retention. */
static void drop_marks(struct group *g, uint64_t now_us)
{
	uint64_t kept_us =
		g->settings.outcome_retention_us + CLAIM_STATUS_AGE_MAX_US;

	while (g->clean_marks.length > 1) {
		const struct clean_mark *next = g->clean_marks.head->next->data;

		if (now_us < next->us + kept_us)
			return;
		g_free(g_queue_pop_head(&g->clean_marks));
	}
}

static void start(struct server *s, struct conn *c, uint64_t now_us)
{
	struct group *g = s->group;

	g->cleaning = true;
	g->clean_commit_step = 2;
	c->in_block = true;
	conn_begin(c);
	conn_add_step(c, SQL_BEGIN, false);
	if (g->outcome_index_term != fresh_term(g->fresh)) {
		conn_add_step(c, SQL_OUTCOME_INDEX, false);
		g->clean_commit_step++;
	}
	conn_add_step(c, SQL_OUTCOME_REMOVE, true);
	conn_add_int_param(c, removable_before(g, s, now_us));
	conn_add_int_param(c, (int64_t)g->settings.outcome_removals_per_s);
	conn_add_step(c, SQL_COMMIT, false);
	conn_add_step(c, SQL_COMMIT_POSITION, false);
	conn_send(c, 0, CLEAN_TIMEOUT_US, on_cleaned, s, now_us);
}

/*
 * Removes outcome rows whose retention time is over, at a bounded rate and only
 * while no request is queued at the primary. Only the first home does it, so
 * that the homes don't wait for each other's locks.
 */
void clean_tick(struct group *g, uint64_t now_us)
{
	struct server *s = group_primary(g);
	struct conn *c;

	if (s) {
		note_mark(g, s, now_us);
		drop_marks(g, now_us);
	}
	if (now_us < g->next_clean_at_us || g->cleaning)
		return;
	g->next_clean_at_us = now_us + CLEAN_INTERVAL_US;
	if (g->rank || g->stopping || g->hold_writes || !s ||
	    !g->settings.outcome_removals_per_s ||
	    s->outcome_table_term != fresh_term(g->fresh) ||
	    admit_queued(s->admit))
		return;
	c = server_acquire_conn(s, now_us);
	if (c)
		start(s, c, now_us);
}
