#include "server_repl.h"

#include <inttypes.h>
#include <string.h>
#include <json-glib/json-glib.h>
#include <libpq-fe.h>

#include "server.h"
#include "server_node.h"
#include "server_pull.h"
#include "server_util.h"

#define LOG_MODULE "repl"

#define RETRY_MS 50
#define REFUSED_RETRY_MS 20
#define ANSWER_MS 3000

enum column {
	COLUMN_KIND,
	COLUMN_TERM,
	COLUMN_POSITION,
	COLUMN_DATA,
	COLUMN_COUNT,
};

/* An entry on its way, while the receive lag lasts. */
struct arriving {
	uint64_t due_us;
	struct log_entry *entry;
};

struct repl {
	struct server *srv;
	PGconn *conn;
	char *upstream;
	uint64_t term;
	bool connected;
	bool pulling;
	uv_poll_t *poll;
	uv_timer_t retry;
	uv_timer_t arrival;
	GQueue arriving;
};

static void connect_upstream(struct repl *repl);
static void on_socket(uv_poll_t *poll, int status, int events);
static void process(struct repl *repl);

/* Frees an entry that never arrived. */
static void free_arriving(gpointer data)
{
	struct arriving *arriving = data;

	g_free(arriving->entry);
	g_free(arriving);
}

/* Frees a poll handle. */
static void on_poll_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/* Ends the connection; what is still on its way is lost. */
static void disconnect(struct repl *repl)
{
	if (repl->poll) {
		uv_poll_stop(repl->poll);
		uv_close((uv_handle_t *)repl->poll, on_poll_closed);
		repl->poll = NULL;
	}
	g_clear_pointer(&repl->conn, PQfinish);
	g_clear_pointer(&repl->upstream, g_free);
	repl->connected = false;
	repl->pulling = false;
	uv_timer_stop(&repl->retry);
	uv_timer_stop(&repl->arrival);
	g_queue_clear_full(&repl->arriving, free_arriving);
}

/* Tries again after a while. */
static void on_retry(uv_timer_t *timer)
{
	struct repl *repl = timer->data;

	disconnect(repl);
	repl_check(repl);
}

/* Ends the connection and tries again later. */
static void retry(struct repl *repl, uint64_t ms)
{
	disconnect(repl);
	uv_timer_start(&repl->retry, on_retry, ms, 0);
}

/* Waits for the socket. */
static void wait_for(struct repl *repl, int events)
{
	uv_poll_start(repl->poll, events, on_socket);
}

/*
 * Starts anew when nothing comes for longer than a pull may wait: a connection
 * that something between has lost track of stays silent for good.
 */
static void expect_answer(struct repl *repl)
{
	uv_timer_start(&repl->retry, on_retry, ANSWER_MS, 0);
}

/* Sends the next pull, from the last entry that is there or on its way. */
static void send_pull(struct repl *repl)
{
	const struct slog *log = node_log(repl->srv->node);
	const struct arriving *last = g_queue_peek_tail(&repl->arriving);
	uint64_t from = slog_last(log);
	uint64_t term = slog_last_term(log);
	char text[256];

	if (last) {
		from = last->entry->position;
		term = last->entry->term;
	}
	g_snprintf(text, sizeof(text),
		   "SELECT * FROM cq_pull(%" PRIu64 ", %" PRIu64 ", %" PRIu64
		   ", '%s')",
		   repl->term, from, term, repl->srv->options->name);
	if (!PQsendQuery(repl->conn, text) || PQflush(repl->conn) < 0) {
		retry(repl, RETRY_MS);
		return;
	}
	repl->pulling = true;
	expect_answer(repl);
	wait_for(repl, UV_READABLE);
}

/* Hands the entries that arrived by now to the node. */
static void take_arrived(struct repl *repl)
{
	uint64_t now_us = util_now_us();
	struct arriving *first;

	while ((first = g_queue_peek_head(&repl->arriving))) {
		if (first->due_us > now_us)
			break;
		g_queue_pop_head(&repl->arriving);
		node_receive(repl->srv->node, first->entry);
		g_free(first);
	}
}

/* Takes what arrived and waits for the rest. */
static void on_arrival(uv_timer_t *timer)
{
	struct repl *repl = timer->data;
	const struct arriving *first;

	if (repl->srv->paused)
		return;
	take_arrived(repl);
	first = g_queue_peek_head(&repl->arriving);
	if (first)
		uv_timer_start(timer, on_arrival,
			       (first->due_us - util_now_us()) / 1000 + 1, 0);
}

/* Reads a column that is a number. */
static uint64_t column_u64(const PGresult *result, int row, enum column column)
{
	return g_ascii_strtoull(PQgetvalue(result, row, column), NULL, 10);
}

/* Takes an entry: at once, or after the receive lag. */
static void take_entry(struct repl *repl, const PGresult *result, int row)
{
	struct arriving *arriving = g_new0(struct arriving, 1);

	arriving->entry = log_entry_create(
		column_u64(result, row, COLUMN_TERM),
		column_u64(result, row, COLUMN_POSITION),
		(const uint8_t *)PQgetvalue(result, row, COLUMN_DATA),
		(size_t)PQgetlength(result, row, COLUMN_DATA));
	arriving->due_us = util_now_us() + repl->srv->receive_lag_us;
	g_queue_push_tail(&repl->arriving, arriving);
}

/* Reads a history in JSON. NULL when it is none; the caller frees it. */
static GArray *read_history(const char *json, size_t len)
{
	GArray *history = g_array_new(FALSE, FALSE, sizeof(struct log_term));
	JsonParser *parser = json_parser_new();
	struct log_term term;
	JsonArray *terms, *pair;
	guint i;

	if (!json_parser_load_from_data(parser, json, (gssize)len, NULL) ||
	    !JSON_NODE_HOLDS_ARRAY(json_parser_get_root(parser))) {
		g_array_free(history, TRUE);
		g_object_unref(parser);
		return NULL;
	}
	terms = json_node_get_array(json_parser_get_root(parser));
	for (i = 0; i < json_array_get_length(terms); i++) {
		pair = json_array_get_array_element(terms, i);
		term.term = (uint64_t)json_array_get_int_element(pair, 0);
		term.first = (uint64_t)json_array_get_int_element(pair, 1);
		g_array_append_val(history, term);
	}
	g_object_unref(parser);
	return history;
}

/* Cuts the log back to the last entry that the primary has too. */
static void take_mismatch(struct repl *repl, const PGresult *result)
{
	struct node *node = repl->srv->node;
	uint64_t last = column_u64(result, 0, COLUMN_POSITION);
	GArray *history;

	history = read_history(PQgetvalue(result, 0, COLUMN_DATA),
			       (size_t)PQgetlength(result, 0, COLUMN_DATA));
	if (!history)
		return;
	g_queue_clear_full(&repl->arriving, free_arriving);
	node_cut(node, slog_last_common(
			       node_log(node),
			       (const struct log_term *)(void *)history->data,
			       history->len, last));
	g_array_free(history, TRUE);
}

/* Takes the answer to a pull; false when there is no use in another one now. */
static bool take_answer(struct repl *repl, const PGresult *result)
{
	struct node *node = repl->srv->node;
	const char *kind;
	int row;

	if (PQresultStatus(result) != PGRES_TUPLES_OK ||
	    PQnfields(result) != COLUMN_COUNT || !PQntuples(result))
		return false;
	kind = PQgetvalue(result, 0, COLUMN_KIND);
	if (!strcmp(kind, PULL_REFUSED))
		return false;
	if (!node_adopt_term(node, column_u64(result, 0, COLUMN_TERM)) ||
	    !node_can_receive(node))
		return false;
	repl->term = node_followed_term(node);
	if (!strcmp(kind, PULL_MISMATCH)) {
		take_mismatch(repl, result);
		return true;
	}
	for (row = 1; row < PQntuples(result); row++)
		take_entry(repl, result, row);
	on_arrival(&repl->arrival);
	return true;
}

/* Goes on with setting up the connection. */
static void process_connecting(struct repl *repl)
{
	switch (PQconnectPoll(repl->conn)) {
	case PGRES_POLLING_OK:
		repl->connected = true;
		PQsetnonblocking(repl->conn, 1);
		send_pull(repl);
		break;
	case PGRES_POLLING_READING:
		wait_for(repl, UV_READABLE);
		break;
	case PGRES_POLLING_WRITING:
		wait_for(repl, UV_WRITABLE);
		break;
	default:
		retry(repl, RETRY_MS);
		break;
	}
}

/* Goes on with what the socket has. */
static void process(struct repl *repl)
{
	PGresult *result;
	bool again = true;

	if (!repl->connected) {
		process_connecting(repl);
		return;
	}
	if (!PQconsumeInput(repl->conn)) {
		retry(repl, RETRY_MS);
		return;
	}
	while (repl->conn && !PQisBusy(repl->conn)) {
		result = PQgetResult(repl->conn);
		if (!result) {
			repl->pulling = false;
			break;
		}
		again = take_answer(repl, result) && again;
		PQclear(result);
	}
	if (!repl->conn)
		return;
	if (!again)
		retry(repl, REFUSED_RETRY_MS);
	else if (!repl->pulling)
		send_pull(repl);
}

/* Hears from the socket. */
static void on_socket(uv_poll_t *poll, int status, int events)
{
	struct repl *repl = poll->data;

	(void)status;
	(void)events;
	if (repl->conn)
		process(repl);
}

/* Starts a connection to the followed server, if its address is known. */
static void connect_upstream(struct repl *repl)
{
	struct server *srv = repl->srv;
	const char *following = node_following(srv->node);
	const char *address = g_hash_table_lookup(srv->peers, following);
	char **parts;
	char *info;

	if (!address) {
		retry(repl, RETRY_MS);
		return;
	}
	parts = g_strsplit(address, ":", 2);
	info = g_strdup_printf(
		"host=%s port=%s user=cq dbname=cq sslmode=disable "
		"gssencmode=disable application_name=cq-server/%s "
		"password=%s",
		parts[0], parts[1] ? parts[1] : "0", srv->options->name,
		srv->options->password ? srv->options->password : "none");
	g_strfreev(parts);
	repl->conn = PQconnectStart(info);
	g_free(info);
	if (!repl->conn || PQstatus(repl->conn) == CONNECTION_BAD) {
		retry(repl, RETRY_MS);
		return;
	}
	repl->upstream = g_strdup(following);
	repl->term = node_followed_term(srv->node);
	repl->poll = g_new0(uv_poll_t, 1);
	uv_poll_init(srv->loop, repl->poll, PQsocket(repl->conn));
	repl->poll->data = repl;
	expect_answer(repl);
	wait_for(repl, UV_WRITABLE);
}

/* Makes a puller that waits to be told what to do by repl_check(). */
struct repl *repl_create(struct server *srv)
{
	struct repl *repl = g_new0(struct repl, 1);

	repl->srv = srv;
	g_queue_init(&repl->arriving);
	uv_timer_init(srv->loop, &repl->retry);
	uv_timer_init(srv->loop, &repl->arrival);
	repl->retry.data = repl;
	repl->arrival.data = repl;
	return repl;
}

/* Frees the puller when its last timer is closed. */
static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* Closes the puller; the loop has to run on to free it. */
void repl_destroy(struct repl *repl)
{
	if (!repl)
		return;
	disconnect(repl);
	uv_close((uv_handle_t *)&repl->retry, NULL);
	uv_close((uv_handle_t *)&repl->arrival, on_closed);
}

/* Stops hearing from the socket, as behind a partition. */
static void stop_hearing(struct repl *repl)
{
	if (repl->poll)
		uv_poll_stop(repl->poll);
	uv_timer_stop(&repl->arrival);
}

/*
 * Makes the connection fit the node's state: none when it may not receive, or
 * one to the server that it follows, which is not heard while cut off or
 * paused.
 */
void repl_check(struct repl *repl)
{
	struct server *srv = repl->srv;
	const char *following = node_following(srv->node);

	if (!node_can_receive(srv->node)) {
		disconnect(repl);
		return;
	}
	if (repl->upstream &&
	    (strcmp(repl->upstream, following) != 0 ||
	     (repl->term && repl->term != node_followed_term(srv->node))))
		disconnect(repl);
	if (srv->paused || server_cut_off(srv, following)) {
		stop_hearing(repl);
		return;
	}
	if (!repl->conn) {
		connect_upstream(repl);
		return;
	}
	wait_for(repl,
		 repl->connected ? UV_READABLE : UV_READABLE | UV_WRITABLE);
	on_arrival(&repl->arrival);
}
