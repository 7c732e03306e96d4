#include "server_pull.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "server.h"
#include "server_node.h"
#include "server_session.h"

#define PULL_WAIT_MS 1000
#define PULL_MAX_ENTRIES 2000
#define PULL_MAX_BYTES (1 << 20)

struct pull {
	uint64_t term;
	uint64_t from;
	uint64_t term_at_from;
};

/* Appends the description of the columns. */
static void put_columns(GByteArray *out)
{
	size_t start = wire_begin(out, 'T');

	wire_put_i16(out, 4);
	wire_put_column(out, "kind", WIRE_OID_TEXT, 0);
	wire_put_column(out, "term", WIRE_OID_INT8, 0);
	wire_put_column(out, "position", WIRE_OID_INT8, 0);
	wire_put_column(out, "data", WIRE_OID_BYTEA, 1);
	wire_end(out, start);
}

/* Appends one row. */
static void put_row(GByteArray *out, const char *kind, uint64_t term,
		    uint64_t position, const void *data, size_t len)
{
	size_t start = wire_begin(out, 'D');
	char number[32];

	wire_put_i16(out, 4);
	wire_put_value(out, kind, strlen(kind));
	g_snprintf(number, sizeof(number), "%" PRIu64, term);
	wire_put_value(out, number, strlen(number));
	g_snprintf(number, sizeof(number), "%" PRIu64, position);
	wire_put_value(out, number, strlen(number));
	wire_put_value(out, data, len);
	wire_end(out, start);
}

/* Appends the entries after a position, as many as go into one answer. */
static int put_entries(GByteArray *out, const struct slog *log, uint64_t from)
{
	const struct log_entry *entry;
	size_t bytes = 0;
	int count = 0;

	while (count < PULL_MAX_ENTRIES && bytes < PULL_MAX_BYTES) {
		entry = slog_get(log, ++from);
		if (!entry)
			break;
		put_row(out, PULL_ENTRY, entry->term, entry->position,
			entry->data, entry->len);
		bytes += entry->len;
		count++;
	}
	return count;
}

/* Appends the whole answer. */
static void answer(struct session *s, const struct pull *pull)
{
	const struct node *node = s->srv->node;
	const struct slog *log = node_log(node);
	uint64_t term = node_mark(node).term;
	GString *history;
	char tag[32];
	int rows = 1;

	put_columns(s->out);
	if (!node_is_primary(node) || (pull->term && pull->term != term)) {
		put_row(s->out, PULL_REFUSED, term, slog_last(log), "", 0);
	} else if (!slog_has(log, pull->term_at_from, pull->from)) {
		history = g_string_new(NULL);
		node_put_history(node, history);
		put_row(s->out, PULL_MISMATCH, term, slog_last(log),
			history->str, history->len);
		g_string_free(history, TRUE);
	} else {
		put_row(s->out, PULL_HEAD, term, slog_last(log), "", 0);
		rows += put_entries(s->out, log, pull->from);
	}
	g_snprintf(tag, sizeof(tag), "SELECT %d", rows);
	wire_put_tag(s->out, tag);
}

/* Whether a parked pull has something to answer. */
bool pull_is_over(const struct session *s)
{
	const struct node *node = s->srv->node;

	return !node_is_primary(node) || node_mark(node).term != s->wait.term ||
	       slog_last(node_log(node)) != s->wait.received;
}

/* Runs a pull; it waits until there are entries, or for a while. */
enum exec_result pull_run(struct session *s, const char *text,
			  struct sql_error *err)
{
	const struct node *node = s->srv->node;
	struct pull pull;
	char name[64];

	if (sscanf(text,
		   "%*[^(](%" SCNu64 ", %" SCNu64 ", %" SCNu64 ", '%63[^']')",
		   &pull.term, &pull.from, &pull.term_at_from, name) != 4) {
		sql_set_error(err, "42883", "cq_pull: wrong arguments");
		return EXEC_FAILED;
	}
	s->wait.term = node_mark(node).term;
	s->wait.received = pull.from;
	if (!s->wait.done && node_is_primary(node) &&
	    (!pull.term || pull.term == s->wait.term) &&
	    slog_has(node_log(node), pull.term_at_from, pull.from) &&
	    !pull_is_over(s)) {
		session_park(s, PARK_PULL, PULL_WAIT_MS);
		return EXEC_PARK;
	}
	s->wait.done = false;
	s->srv->counts.pulls++;
	answer(s, &pull);
	return EXEC_DONE;
}
