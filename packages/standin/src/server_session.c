#include "server_session.h"

#include <string.h>

#include "server.h"
#include "server_service.h"
#include "server_util.h"

#define LOG_MODULE "session"

#define PROTOCOL_3 196608
#define SSL_REQUEST 80877103
#define GSS_REQUEST 80877104
#define AUTH_CLEARTEXT 3
#define MESSAGE_MAX (64 << 20)
#define READ_SIZE (64 << 10)
#define OUT_MAX (4 << 20)
#define SERVER_PREFIX "cq-server/"
#define CLIENT "client"

struct pending_write {
	uv_write_t req;
	GByteArray *data;
};

static char read_buffer[READ_SIZE];

/* Whether its peer can't be reached, or it went silent for good. */
bool session_cut_off(const struct session *s)
{
	return s->silent || (s->peer && server_cut_off(s->srv, s->peer));
}

/* Frees the session when its last handle is closed. */
static void on_handle_closed(uv_handle_t *handle)
{
	struct session *s = handle->data;

	if (--s->open_handles)
		return;
	g_byte_array_free(s->in, TRUE);
	g_byte_array_free(s->out, TRUE);
	if (s->txn.record)
		g_byte_array_free(s->txn.record, TRUE);
	g_free(s->peer);
	g_free(s);
}

/* Rolls back what is open and leaves all queues. */
static void leave_server(struct session *s)
{
	struct server *srv = s->srv;

	txn_rollback(s);
	service_leave(srv->service, s);
	if (s->runnable)
		g_queue_remove(&srv->runnable, s);
	s->runnable = false;
	if (s->counted)
		srv->clients--;
	s->counted = false;
}

/* Closes the connection at once; nothing more is sent. */
void session_close(struct session *s)
{
	if (s->closing)
		return;
	s->closing = true;
	leave_server(s);
	exec_clear(s);
	g_queue_unlink(&s->srv->sessions, &s->link);
	uv_close((uv_handle_t *)&s->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&s->timer, on_handle_closed);
}

/* Has the connection closed, without what it has not sent, after this step. */
void session_abort(struct session *s)
{
	s->aborted = true;
}

/* Frees what was written, and goes on if the session waited for it. */
static void on_written(uv_write_t *req, int status)
{
	struct pending_write *write = (struct pending_write *)req;
	struct session *s = req->data;

	(void)status;
	g_byte_array_free(write->data, TRUE);
	g_free(write);
	s->writing = false;
	if (!s->closing)
		session_wake(s);
}

/* Hands all output over to the loop, to be written as the socket takes it. */
static void write_later(struct session *s)
{
	struct pending_write *write = g_new0(struct pending_write, 1);
	uv_buf_t buf;

	write->data = s->out;
	write->req.data = s;
	s->out = g_byte_array_new();
	buf = uv_buf_init((char *)write->data->data, write->data->len);
	s->writing = true;
	if (uv_write(&write->req, (uv_stream_t *)&s->tcp, &buf, 1, on_written))
		on_written(&write->req, -1);
}

/* Sends the output, at once as far as the socket takes it. */
static void flush(struct session *s)
{
	uv_buf_t buf;
	int n;

	if (!s->out->len || s->writing)
		return;
	buf = uv_buf_init((char *)s->out->data, s->out->len);
	n = uv_try_write((uv_stream_t *)&s->tcp, &buf, 1);
	if (n < 0 && n != UV_EAGAIN) {
		g_byte_array_set_size(s->out, 0);
		return;
	}
	if (n > 0)
		g_byte_array_remove_range(s->out, 0, (guint)n);
	if (s->out->len)
		write_later(s);
}

/* Ends the connection with an error, which a cut-off client doesn't see. */
void session_end(struct session *s, const char *state, const char *message)
{
	if (session_cut_off(s)) {
		leave_server(s);
		s->dead = true;
		return;
	}
	wire_put_error(s->out, "FATAL", state, message);
	flush(s);
	session_close(s);
}

/* Marks the session to be run in the next tick. */
void session_wake(struct session *s)
{
	uv_timer_stop(&s->timer);
	s->park = PARK_NONE;
	if (!s->runnable)
		g_queue_push_tail(&s->srv->runnable, s);
	s->runnable = true;
	server_kick(s->srv);
}

/* Wakes a session whose time has come. */
static void on_timer(uv_timer_t *timer)
{
	struct session *s = timer->data;

	s->wait.done = s->park == PARK_WAIT || s->park == PARK_PULL;
	session_wake(s);
}

/* Parks the session until it is woken, or for a time if that is above 0. */
void session_park(struct session *s, enum session_park park,
		  uint64_t timeout_ms)
{
	s->park = park;
	if (timeout_ms)
		uv_timer_start(&s->timer, on_timer, timeout_ms, 0);
}

/* Says that the connection is ready for queries. */
static void welcome(struct session *s)
{
	struct server *srv = s->srv;
	size_t start;

	wire_put_auth(s->out, 0);
	wire_put_parameter(s->out, "server_version", "15.0 (stand-in)");
	wire_put_parameter(s->out, "server_encoding", "UTF8");
	wire_put_parameter(s->out, "client_encoding", "UTF8");
	wire_put_parameter(s->out, "DateStyle", "ISO, MDY");
	wire_put_parameter(s->out, "integer_datetimes", "on");
	wire_put_parameter(s->out, "standard_conforming_strings", "on");
	start = wire_begin(s->out, 'K');
	wire_put_i32(s->out, (int32_t)srv->counts.accepted);
	wire_put_i32(s->out, 0);
	wire_end(s->out, start);
	wire_put_ready(s->out, TXN_IDLE);
	s->phase = PHASE_READY;
}

/* Lets the connection in after the time that setting one up takes. */
static void delay_welcome(struct session *s)
{
	int delay_ms = s->srv->options->connect_delay_ms;

	s->phase = PHASE_DELAY;
	if (delay_ms > 0)
		session_park(s, PARK_DELAY, (uint64_t)delay_ms);
}

/* Counts the connection, or refuses it above the limit. */
static bool admit(struct session *s)
{
	struct server *srv = s->srv;

	if (strcmp(s->peer, CLIENT) != 0)
		return true;
	if (srv->clients >= (unsigned)srv->options->connection_limit) {
		srv->counts.refused_connections++;
		session_end(s, "53300", "sorry, too many clients already");
		return false;
	}
	s->counted = true;
	srv->clients++;
	srv->counts.connections_max =
		MAX(srv->counts.connections_max, srv->clients);
	return true;
}

/* Reads the start-up parameters for the name of the peer. */
static void read_parameters(struct session *s, struct wire_in *in)
{
	const size_t prefix = strlen(SERVER_PREFIX);
	const char *name, *value;

	g_free(s->peer);
	s->peer = g_strdup(CLIENT);
	while (*(name = wire_get_cstr(in))) {
		value = wire_get_cstr(in);
		if (strcmp(name, "application_name") != 0 ||
		    strncmp(value, SERVER_PREFIX, prefix) != 0)
			continue;
		g_free(s->peer);
		s->peer = g_strdup(value + prefix);
	}
}

/* Handles the first message, which may ask for encryption before. */
static bool handle_startup(struct session *s, struct wire_in *in)
{
	int32_t code = wire_get_i32(in);

	if (code == SSL_REQUEST || code == GSS_REQUEST) {
		wire_put_u8(s->out, 'N');
		return true;
	}
	if (code != PROTOCOL_3) {
		session_close(s);
		return true;
	}
	read_parameters(s, in);
	if (session_cut_off(s))
		return false;
	if (!admit(s))
		return true;
	if (s->srv->options->password) {
		s->phase = PHASE_PASSWORD;
		wire_put_auth(s->out, AUTH_CLEARTEXT);
		return true;
	}
	delay_welcome(s);
	return true;
}

/* Handles the password. */
static void handle_password(struct session *s, char type, struct wire_in *in)
{
	if (type != 'p' ||
	    strcmp(wire_get_cstr(in), s->srv->options->password) != 0) {
		session_end(s, "28P01", "password authentication failed");
		return;
	}
	delay_welcome(s);
}

/* Handles one message; false when it has to be handled again later. */
static bool handle_message(struct session *s, char type, struct wire_in *in)
{
	switch (s->phase) {
	case PHASE_STARTUP:
		return handle_startup(s, in);
	case PHASE_PASSWORD:
		handle_password(s, type, in);
		return true;
	default:
		break;
	}
	if (type == 'X') {
		session_close(s);
		return true;
	}
	return exec_message(s, type, in) != EXEC_PARK;
}

/*
 * Finds the next whole message in the input. Returns its length with what
 * comes before its body, 0 when it has not all arrived.
 */
static size_t next_message(struct session *s, char *type, struct wire_in *body)
{
	size_t prefix = s->phase == PHASE_STARTUP ? 0 : 1;
	struct wire_in in = { s->in->data + s->in_at, s->in->data + s->in->len,
			      false };
	int32_t len;

	*type = prefix ? (char)wire_get_u8(&in) : 0;
	len = wire_get_i32(&in);
	if (in.bad)
		return 0;
	if (len < 4 || len > MESSAGE_MAX) {
		LOG_ERR("a message of %d bytes", len);
		session_close(s);
		return 0;
	}
	body->at = wire_get_bytes(&in, (size_t)len - 4);
	body->end = in.at;
	body->bad = false;
	return in.bad ? 0 : prefix + (size_t)len;
}

/* Handles what has arrived until it is parked, closed or used up. */
static void handle_input(struct session *s)
{
	struct wire_in body;
	size_t len;
	char type;

	while (!s->closing && !s->aborted && s->park == PARK_NONE) {
		if (s->phase == PHASE_DELAY)
			welcome(s);
		if (s->writing && s->out->len > OUT_MAX)
			return;
		len = next_message(s, &type, &body);
		if (!len)
			break;
		if (!handle_message(s, type, &body))
			break;
		if (s->closing)
			return;
		s->in_at += len;
	}
	if (s->in_at) {
		g_byte_array_remove_range(s->in, 0, (guint)s->in_at);
		s->in_at = 0;
	}
}

/*
 * Runs the session as far as it goes. What has arrived is run even when the
 * client is gone meanwhile, as PostgreSQL does with a statement that it has:
 * so a write may commit after its client gave up.
 */
void session_run(struct session *s)
{
	if (s->closing || s->dead || s->srv->paused || session_cut_off(s))
		return;
	s->active_us = util_now_us();
	handle_input(s);
	if (s->closing)
		return;
	if (s->aborted) {
		session_close(s);
		return;
	}
	if (s->park != PARK_WORK)
		flush(s);
	if (s->eof && s->park == PARK_NONE)
		session_close(s);
}

/* Gives the loop the buffer that all sessions read into. */
static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

/* Takes what arrived. */
static void on_read(uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
	struct session *s = stream->data;

	if (n > 0)
		g_byte_array_append(s->in, (const guint8 *)buf->base, (guint)n);
	if (n < 0) {
		s->eof = true;
		uv_read_stop(stream);
	}
	session_run(s);
	if (!s->closing && session_cut_off(s))
		session_update_reading(s);
}

/* Reads from the socket, unless a partition or a silence keeps it from that. */
void session_update_reading(struct session *s)
{
	if (s->closing || s->eof)
		return;
	if (session_cut_off(s))
		uv_read_stop((uv_stream_t *)&s->tcp);
	else
		uv_read_start((uv_stream_t *)&s->tcp, on_alloc, on_read);
}

/* Accepts a connection. */
void session_accept(struct server *srv)
{
	struct session *s = g_new0(struct session, 1);

	s->srv = srv;
	s->in = g_byte_array_new();
	s->out = g_byte_array_new();
	s->txn.state = TXN_IDLE;
	exec_init(&s->exec);
	uv_tcp_init(srv->loop, &s->tcp);
	uv_timer_init(srv->loop, &s->timer);
	s->open_handles = 2;
	s->tcp.data = s;
	s->timer.data = s;
	s->link.data = s;
	g_queue_push_tail_link(&srv->sessions, &s->link);
	srv->counts.accepted++;
	if (uv_accept((uv_stream_t *)&srv->listener, (uv_stream_t *)&s->tcp)) {
		session_close(s);
		return;
	}
	uv_tcp_nodelay(&s->tcp, 1);
	session_update_reading(s);
}
