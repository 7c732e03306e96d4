#include "server_apply.h"

#include "server.h"
#include "server_record.h"
#include "server_util.h"

#define LOG_MODULE "apply"

#define BATCH 2000

struct apply {
	struct server *srv;
	const struct slog *log;
	uint64_t applied;
};

/* Starts at position 0; the log is the node's. */
struct apply *apply_create(struct server *srv, const struct slog *log)
{
	struct apply *apply = g_new0(struct apply, 1);

	apply->srv = srv;
	apply->log = log;
	return apply;
}

/* Frees it. */
void apply_destroy(struct apply *apply)
{
	g_free(apply);
}

/* The last position that reads can see. */
uint64_t apply_position(const struct apply *apply)
{
	return apply->applied;
}

/* Notes that the log's last entry was committed by a client's transaction. */
void apply_committed(struct apply *apply)
{
	apply->applied = slog_last(apply->log);
}

/* Replays the entries up to a position within the writer's transaction. */
static bool replay(struct apply *apply, uint64_t to, struct sql_error *err)
{
	struct sql_handle *writer = sql_writer(apply->srv->sql);
	struct log_position at = { 0, 0 };
	const struct log_entry *entry;

	while (apply->applied < to) {
		entry = slog_get(apply->log, apply->applied + 1);
		if (!record_replay(writer, entry->data, entry->len, err))
			return false;
		apply->applied++;
		at.term = entry->term;
		at.position = entry->position;
	}
	return !at.position || sql_set_position(writer, at, err);
}

/*
 * Applies the log up to a position in one transaction, from an empty database
 * when `wipe` is set. An entry that ran on the primary and fails here means
 * that the two differ: no answer of this server could be trusted after that.
 */
static void run(struct apply *apply, uint64_t to, bool wipe)
{
	struct sql_handle *writer = sql_writer(apply->srv->sql);
	struct sql_error err;

	if (!sql_run(writer, "BEGIN IMMEDIATE", &err))
		goto err;
	if (wipe) {
		if (!sql_wipe(writer, &err))
			goto err;
		apply->applied = 0;
	}
	if (!replay(apply, to, &err) || !sql_run(writer, "COMMIT", &err))
		goto err;
	server_changed(apply->srv);
	return;
err:
	g_error("can't apply entry %" G_GUINT64_FORMAT ": %s",
		apply->applied + 1, err.message);
}

/* Applies the log up to a position, whether due or not. */
void apply_to(struct apply *apply, uint64_t position)
{
	if (position > apply->applied)
		run(apply, position, false);
}

/*
 * Applies entries that are due, at most a batch of them. Returns when the next
 * one is due, 0 when there is none.
 */
uint64_t apply_due(struct apply *apply, uint64_t now_us)
{
	uint64_t lag_us = apply->srv->lag_us;
	uint64_t to = apply->applied;
	const struct log_entry *entry;

	while (to < apply->applied + BATCH) {
		entry = slog_get(apply->log, to + 1);
		if (!entry || entry->received_us + lag_us > now_us)
			break;
		to++;
	}
	apply_to(apply, to);
	entry = slog_get(apply->log, apply->applied + 1);
	return entry ? entry->received_us + lag_us : 0;
}

/* Empties the database and applies the log again up to a position. */
void apply_rebuild(struct apply *apply, uint64_t position)
{
	uint64_t start_us = util_now_us();

	run(apply, position, true);
	LOG_INFO("rebuilt to %" G_GUINT64_FORMAT " in %" G_GUINT64_FORMAT " us",
		 position, util_now_us() - start_us);
}

/*
 * Goes back to an earlier position, as a server does that was set up anew from
 * a backup. It still has the rest of its log and applies it after the lag.
 */
void apply_jump_back(struct apply *apply, uint64_t position)
{
	uint64_t now_us = util_now_us();
	uint64_t at;

	if (position >= apply->applied)
		return;
	apply_rebuild(apply, position);
	for (at = position + 1; at <= slog_last(apply->log); at++)
		slog_get(apply->log, at)->received_us = now_us;
}
