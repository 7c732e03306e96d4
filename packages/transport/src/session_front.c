#define LOG_MODULE "session-front"
#include "session_link.h"

#include <celeryquay/base/log.h>
#include <celeryquay/transport/listen.h>

#include <poll.h>

#define LISTEN_BACKLOG 1024
#define PAUSE_READ_BYTES ((size_t)64 * 1024)
#define QUEUED_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define KEEPALIVE_S 10
/* How long the caller may take to close a connection that was hung up. */
#define LINGER_MS 2000
/*
 * Loop iterations before an idle session is hung up: the sockets are read in
 * the first, and the second comes after that.
 */
#define HANG_UP_ITERATIONS 2

struct session_front {
	struct session_group group;
	uv_tcp_t listener;
	uv_check_t accept_check; /* after polling, before the listener closes */
	bool stopping;
	bool stopped;
	uint64_t last_number;
};

struct caller {
	struct session_link link;
	uv_shutdown_t shutdown;
	GString *pending; /* received, not parsed yet; NULL: none so far */
	size_t searched;
	bool open; /* reported to the relay as open, not as closed */
	bool in_flight;
	bool processing;
	bool stopped_reading;
	bool failed; /* to be dropped in a deferred call */
	bool hung_up;
	/* until the hang-up, unless a statement arrives; 0: none is due */
	unsigned hang_up_iterations;
	char state;
};

static const struct session_codec *codec_of(const struct caller *caller)
{
	return caller->link.group->setup.codec;
}

static struct caller *find(void *ctx, uint64_t number)
{
	struct session_front *f = ((struct session_endpoints *)ctx)->front;

	return (struct caller *)session_group_find(&f->group, number);
}

static void clear(struct session_link *link)
{
	struct caller *caller = (struct caller *)link;

	if (caller->pending)
		g_string_free(caller->pending, TRUE);
}

/* Reports the session's end, once. */
static void report_closed(struct caller *caller)
{
	struct session_group *g = caller->link.group;

	if (!caller->open)
		return;
	caller->open = false;
	g->setup.host->session_closed(session_group_relay(g),
				      caller->link.number,
				      g->setup.host->now_us());
	session_group_wake(g);
}

/*
 * Closes the connection and reports it. Must not be called from one of the
 * relay's ops.
 */
static void drop(struct session_link *link)
{
	if (session_link_is_closing(link))
		return;
	session_link_remove(link);
	report_closed((struct caller *)link);
}

static void drop_deferred(struct caller *caller)
{
	if (caller->failed)
		return;
	caller->failed = true;
	session_link_defer(&caller->link);
}

/* Sends the contents of the group's `out`. */
static void send_out(struct caller *caller)
{
	if (session_link_send(&caller->link) ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&caller->link.tcp) >
		    QUEUED_MAX_BYTES)
		drop_deferred(caller);
}

/*
 * Everything has been sent: the session is over. The connection stays until the
 * caller closes it.
 */
static void on_shut_down(uv_shutdown_t *req, int status)
{
	struct caller *caller = req->data;

	if (status == UV_ECANCELED)
		return;
	report_closed(caller);
	if (status)
		drop(&caller->link);
}

static void start_reading(struct caller *caller)
{
	caller->stopped_reading = false;
	if (session_link_read(&caller->link))
		drop_deferred(caller);
}

/*
 * Closing a socket with unread bytes would reset the connection and could cut
 * off the last answer. So reading continues until the caller closes the
 * connection or LINGER_MS has passed.
 */
static void hang_up(struct caller *caller)
{
	if (caller->hung_up)
		return;
	caller->hung_up = true;
	session_link_start_deadline(&caller->link);
	if (caller->stopped_reading)
		start_reading(caller);
	caller->shutdown.data = caller;
	if (uv_shutdown(&caller->shutdown, (uv_stream_t *)&caller->link.tcp,
			on_shut_down))
		drop_deferred(caller);
}

/* Opens the session or tells the caller why not. */
static void take_startup(struct caller *caller, struct str message)
{
	struct session_group *g = caller->link.group;
	struct relay_answer answer = { .code = RELAY_MALFORMED,
				       .text = STR("startup"),
				       .state = caller->state };
	struct str database, key;

	if (codec_of(caller)->parse_startup(message, &database, &key)) {
		char *name = str_dup(database), *secret = str_dup(key);

		answer.code = RELAY_OK;
		answer.text = STR("");
		caller->open = g->setup.host->session_open(
			session_group_relay(g), caller->link.number, name,
			secret, &answer, g->setup.host->now_us());
		session_group_wake(g);
		g_free(secret);
		g_free(name);
	}
	codec_of(caller)->put_opened(g->out, &answer);
	send_out(caller);
	if (!caller->open)
		hang_up(caller);
}

static void take_message(struct caller *caller, struct str message)
{
	struct session_group *g = caller->link.group;
	struct relay_answer malformed = { .code = RELAY_MALFORMED,
					  .state = caller->state };
	struct relay_statement statement;

	if (!caller->open) {
		take_startup(caller, message);
	} else if (codec_of(caller)->parse_statement(message, &statement)) {
		caller->in_flight = true;
		caller->hang_up_iterations = 0;
		g->setup.host->session_statement(session_group_relay(g),
						 caller->link.number,
						 &statement,
						 g->setup.host->now_us());
		session_group_wake(g);
	} else if (!statement.id.len) {
		drop(&caller->link);
	} else {
		codec_of(caller)->put_answer(g->out, &malformed);
		send_out(caller);
	}
}

/* Whether the next message may be parsed now. */
static bool may_process(const struct caller *caller)
{
	return !caller->in_flight && !caller->hung_up && !caller->failed &&
	       !session_link_is_closing(&caller->link);
}

/*
 * Handles messages from the front of *in until one is incomplete or has to
 * wait.
 */
static void process(struct caller *caller, struct str *in)
{
	const struct session_codec *codec = codec_of(caller);

	caller->processing = true;
	while (may_process(caller)) {
		size_t len = codec->length(*in, caller->searched);

		caller->searched = len ? 0 : in->len;
		if (MAX(len, caller->searched) > codec->max_bytes) {
			drop(&caller->link);
			break;
		}
		if (!len)
			break;
		take_message(caller,
			     (struct str){ in->data,
					   len - codec->trailer_bytes });
		in->data += len;
		in->len -= len;
	}
	caller->processing = false;
}

/* Handles the bytes that were kept. */
static void process_pending(struct caller *caller)
{
	GString *pending = caller->pending;
	struct str in = str_from_gstring(pending);

	process(caller, &in);
	g_string_erase(pending, 0, (gssize)(pending->len - in.len));
}

static bool has_pending(const struct caller *caller)
{
	return caller->pending && caller->pending->len;
}

/* Keeps bytes that can't be parsed yet. */
static void append_pending(struct caller *caller, struct str in)
{
	if (!in.len)
		return;
	if (!caller->pending)
		caller->pending = g_string_sized_new(in.len);
	g_string_append_len(caller->pending, in.data, (gssize)in.len);
}

/*
 * Bounds the memory for a caller that sends ahead: reading pauses while too
 * much is pending.
 */
static void throttle(struct caller *caller)
{
	bool full = caller->in_flight && caller->pending &&
		    caller->pending->len > PAUSE_READ_BYTES;

	if (session_link_is_closing(&caller->link) || caller->hung_up)
		return;
	if (full && !caller->stopped_reading) {
		uv_read_stop((uv_stream_t *)&caller->link.tcp);
		caller->stopped_reading = true;
	} else if (!full && caller->stopped_reading) {
		start_reading(caller);
	}
}

/*
 * Whether the bytes are the message that ends the session, which may also come
 * while a statement runs.
 */
static bool ends_session(const struct caller *caller, struct str in)
{
	const struct session_codec *codec = codec_of(caller);

	if (has_pending(caller) || in.len <= codec->trailer_bytes ||
	    codec->length(in, 0) != in.len)
		return false;
	in.len -= codec->trailer_bytes;
	return codec->is_end(in);
}

static void take_bytes(struct session_link *link, struct str in)
{
	struct caller *caller = (struct caller *)link;

	if (in.len && caller->hung_up)
		return;
	if (!in.len || ends_session(caller, in)) {
		drop(link);
	} else if (has_pending(caller)) {
		append_pending(caller, in);
		process_pending(caller);
	} else {
		process(caller, &in);
		if (!caller->hung_up)
			append_pending(caller, in);
	}
	throttle(caller);
}

/* Whether there is something to read or to accept. */
static bool is_readable(const uv_tcp_t *tcp)
{
	struct pollfd p = { .events = POLLIN };

	if (uv_fileno((const uv_handle_t *)tcp, &p.fd))
		return false;
	return poll(&p, 1, 0) > 0;
}

/*
 * Counts one iteration down to the hang-up. An iteration may take long, so
 * bytes that came since the sockets were polled are read first.
 */
static void count_down_hang_up(struct caller *caller)
{
	if (caller->hang_up_iterations == 1 &&
	    !is_readable(&caller->link.tcp)) {
		caller->hang_up_iterations = 0;
		hang_up(caller);
		return;
	}
	caller->hang_up_iterations = MAX(caller->hang_up_iterations - 1, 1);
	session_link_defer(&caller->link);
}

static void on_deferred(struct session_link *link)
{
	struct caller *caller = (struct caller *)link;

	if (caller->failed)
		drop(link);
	else if (caller->hang_up_iterations)
		count_down_hang_up(caller);
	else if (caller->pending && !caller->hung_up)
		process_pending(caller);
	throttle(caller);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct session_front *f = listener->data;
	struct caller *caller;

	if (status) {
		LOG_WARN("a caller was not accepted: %s", uv_strerror(status));
		return;
	}
	caller = g_new0(struct caller, 1);
	caller->state = 'I';
	uv_tcp_init(f->group.setup.loop, &caller->link.tcp);
	session_link_add(&caller->link, &f->group,
			 f->group.setup.first_number + ++f->last_number);
	if (uv_accept(listener, (uv_stream_t *)&caller->link.tcp)) {
		drop(&caller->link);
		return;
	}
	uv_tcp_nodelay(&caller->link.tcp, 1);
	uv_tcp_keepalive(&caller->link.tcp, 1, KEEPALIVE_S);
	start_reading(caller);
}

static const struct session_group_ops group_ops = {
	.read = take_bytes,
	.on_deferred = on_deferred,
	.on_deadline = drop,
	.write_failed = drop,
	.clear = clear,
};

/* Listens at once; callers are served while the loop runs. */
struct session_front *session_front_create(const struct session_setup *setup,
					   const char *address, struct err *err)
{
	struct session_front *f = g_new0(struct session_front, 1);

	session_group_init(&f->group, setup, &group_ops, LINGER_MS);
	uv_tcp_init(setup->loop, &f->listener);
	f->listener.data = f;
	uv_check_init(setup->loop, &f->accept_check);
	f->accept_check.data = f;
	f->group.open_handles += 2;
	if (listen_start(&f->listener, address, LISTEN_BACKLOG, on_connection,
			 err))
		return f;
	session_front_destroy(f);
	return NULL;
}

static void close_listener(struct session_front *f)
{
	if (f->stopped)
		return;
	f->stopped = true;
	uv_close((uv_handle_t *)&f->listener, session_group_on_closed);
	uv_close((uv_handle_t *)&f->accept_check, session_group_on_closed);
}

/* NULL is ignored. The loop has to run until the handles are closed. */
void session_front_destroy(struct session_front *f)
{
	if (!f)
		return;
	close_listener(f);
	session_group_close(&f->group);
}

/* Answers the session's statement in flight. */
void session_front_answer(void *ctx, uint64_t session,
			  const struct relay_answer *answer)
{
	struct caller *caller = find(ctx, session);

	if (!caller || !caller->in_flight || caller->hung_up)
		return;
	caller->in_flight = false;
	caller->state = answer->state;
	codec_of(caller)->put_answer(caller->link.group->out, answer);
	send_out(caller);
	if (!caller->processing && has_pending(caller))
		session_link_defer(&caller->link);
}

static bool has_whole_message(const struct caller *caller)
{
	return has_pending(caller) &&
	       codec_of(caller)->length(str_from_gstring(caller->pending), 0);
}

/*
 * Closes the session's connection after the pending answers have been sent.
 *
 * A statement that the caller sent ahead, and that was read, is answered first.
 * If only its beginning was read, the rest is on its way, and the session ends
 * after that; the relay decides again.
 *
 * If the proxy is slow, a caller's next statement may lie unread in the socket
 * meanwhile. Read after the hang-up it would be discarded: a request without an
 * answer. So the sockets are read once more first, and a statement found there
 * is answered; the relay then decides again.
 */
void session_front_hang_up(void *ctx, uint64_t session)
{
	struct caller *caller = find(ctx, session);

	if (!caller || caller->in_flight || caller->hang_up_iterations)
		return;
	if (has_pending(caller)) {
		if (has_whole_message(caller))
			session_link_defer(&caller->link);
		return;
	}
	caller->hang_up_iterations = HANG_UP_ITERATIONS;
	session_link_defer(&caller->link);
}

/*
 * The sockets have been polled. While connections are waiting they are accepted
 * in the next iteration.
 */
static void on_accept_check(uv_check_t *check)
{
	struct session_front *f = check->data;

	if (!is_readable(&f->listener))
		close_listener(f);
}

/*
 * Refuses new connections, except those that the kernel has already completed.
 *
 * If a stopping proxy is slow, a caller's connection may still wait to be
 * accepted, with a statement already sent. Closing the listener would reset it:
 * a request without an answer. So waiting connections are accepted first.
 */
void session_front_stop_accepting(struct session_front *f)
{
	if (f->stopping)
		return;
	f->stopping = true;
	if (is_readable(&f->listener))
		uv_check_start(&f->accept_check, on_accept_check);
	else
		close_listener(f);
}

bool session_front_has_unsent(const struct session_front *f)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->group.links);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct session_link *l = value;

		if (uv_stream_get_write_queue_size(
			    (const uv_stream_t *)&l->tcp))
			return true;
	}
	return false;
}

/* The port that is bound; 0: none. */
uint16_t session_front_port(const struct session_front *f)
{
	struct sockaddr_in in = { 0 };
	int len = sizeof(in);

	uv_tcp_getsockname(&f->listener, (struct sockaddr *)&in, &len);
	return ntohs(in.sin_port);
}
