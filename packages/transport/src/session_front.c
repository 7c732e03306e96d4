#define LOG_MODULE "session-front"
#include "session_link.h"

#include <celeryquay/base/log.h>
#include <celeryquay/transport/listen.h>

#include <poll.h>

#define LISTEN_BACKLOG 1024
#define PENDING_MAX_BYTES ((size_t)64 * 1024)
#define QUEUED_MAX_BYTES ((size_t)4 * 1024 * 1024)
#define KEEPALIVE_S 10
/* How long a connection that was hung up may take to end. */
#define LINGER_MS 2000
/*
 * Turns of the loop before a session at rest is hung up: in the first the
 * sockets are read, and the second comes after that.
 */
#define HANG_UP_TURNS 2

struct session_front {
	struct session_group group;
	uv_tcp_t listener;
	uv_check_t last_look; /* after the sockets, before the listener ends */
	bool stopping;
	bool stopped;
	uint64_t last_number;
};

struct caller {
	struct session_link link;
	uv_shutdown_t shutdown;
	GString *pending; /* unparsed; NULL until there is some */
	size_t searched;
	bool open; /* it was told, and its end was not */
	bool in_flight;
	bool processing;
	bool stopped_reading;
	bool failed; /* to be dropped outside of any call */
	bool hung_up;
	unsigned
		hang_up_in; /* turns, unless a statement comes; 0: not at all */
	char state;
};

static const struct session_codec *codec_of(const struct caller *caller)
{
	return caller->link.group->setup.codec;
}

static struct caller *find(void *ctx, uint64_t number)
{
	struct session_front *f = ((struct session_ends *)ctx)->front;

	return (struct caller *)session_group_find(&f->group, number);
}

static void clear(struct session_link *link)
{
	struct caller *caller = (struct caller *)link;

	if (caller->pending)
		g_string_free(caller->pending, TRUE);
}

/* Tells the session's end, once. */
static void end_session(struct caller *caller)
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

/* Ends the connection; never called from within a call. */
static void drop(struct session_link *link)
{
	if (session_link_is_closing(link))
		return;
	session_link_remove(link);
	end_session((struct caller *)link);
}

static void fail(struct caller *caller)
{
	if (caller->failed)
		return;
	caller->failed = true;
	session_link_go_on_later(&caller->link);
}

/* Sends what the group's `out` holds. */
static void send_out(struct caller *caller)
{
	if (session_link_send(&caller->link) ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&caller->link.tcp) >
		    QUEUED_MAX_BYTES)
		fail(caller);
}

/* Everything is out: the session is over; the caller's end is awaited. */
static void on_shut_down(uv_shutdown_t *req, int status)
{
	struct caller *caller = req->data;

	if (status == UV_ECANCELED)
		return;
	end_session(caller);
	if (status)
		drop(&caller->link);
}

static void start_reading(struct caller *caller)
{
	caller->stopped_reading = false;
	if (session_link_read(&caller->link))
		fail(caller);
}

/*
 * A close with unread bytes would reset the connection and could cut the last
 * answer off, so reading goes on until the caller closes or the time is up.
 */
static void hang_up(struct caller *caller)
{
	if (caller->hung_up)
		return;
	caller->hung_up = true;
	session_link_limit(&caller->link);
	if (caller->stopped_reading)
		start_reading(caller);
	caller->shutdown.data = caller;
	if (uv_shutdown(&caller->shutdown, (uv_stream_t *)&caller->link.tcp,
			on_shut_down))
		fail(caller);
}

/* The session begins, or the caller is told why not. */
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
		caller->hang_up_in = 0;
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

/* Whether the next message may be looked at now. */
static bool may_go_on(const struct caller *caller)
{
	return !caller->in_flight && !caller->hung_up && !caller->failed &&
	       !session_link_is_closing(&caller->link);
}

/* Takes messages off the front of *in until one has to be waited for. */
static void process(struct caller *caller, struct str *in)
{
	const struct session_codec *codec = codec_of(caller);

	caller->processing = true;
	while (may_go_on(caller)) {
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

/* Goes on with what has been kept. */
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

/* Keeps what could not be looked at yet. */
static void keep(struct caller *caller, struct str in)
{
	if (!in.len)
		return;
	if (!caller->pending)
		caller->pending = g_string_sized_new(in.len);
	g_string_append_len(caller->pending, in.data, (gssize)in.len);
}

/* Memory is scarce: a caller that sends ahead is not read for a while. */
static void pace(struct caller *caller)
{
	bool full = caller->in_flight && caller->pending &&
		    caller->pending->len > PENDING_MAX_BYTES;

	if (session_link_is_closing(&caller->link) || caller->hung_up)
		return;
	if (full && !caller->stopped_reading) {
		uv_read_stop((uv_stream_t *)&caller->link.tcp);
		caller->stopped_reading = true;
	} else if (!full && caller->stopped_reading) {
		start_reading(caller);
	}
}

/* Whether the caller ends the session here, also while a statement runs. */
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
		keep(caller, in);
		process_pending(caller);
	} else {
		process(caller, &in);
		if (!caller->hung_up)
			keep(caller, in);
	}
	pace(caller);
}

/* Whether something is there to be read or accepted. */
static bool is_readable(const uv_tcp_t *tcp)
{
	struct pollfd p = { .events = POLLIN };

	if (uv_fileno((const uv_handle_t *)tcp, &p.fd))
		return false;
	return poll(&p, 1, 0) > 0;
}

/*
 * One turn less until the session is hung up. A turn may be long: what came
 * since the sockets were read is read first.
 */
static void hang_up_soon(struct caller *caller)
{
	if (caller->hang_up_in == 1 && !is_readable(&caller->link.tcp)) {
		caller->hang_up_in = 0;
		hang_up(caller);
		return;
	}
	caller->hang_up_in = MAX(caller->hang_up_in - 1, 1);
	session_link_go_on_later(&caller->link);
}

static void go_on(struct session_link *link)
{
	struct caller *caller = (struct caller *)link;

	if (caller->failed)
		drop(link);
	else if (caller->hang_up_in)
		hang_up_soon(caller);
	else if (caller->pending && !caller->hung_up)
		process_pending(caller);
	pace(caller);
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
	.go_on = go_on,
	.late = drop,
	.write_failed = drop,
	.clear = clear,
};

/* Listens for callers at once; they are served as the loop runs. */
struct session_front *session_front_create(const struct session_setup *setup,
					   const char *address, struct err *err)
{
	struct session_front *f = g_new0(struct session_front, 1);

	session_group_init(&f->group, setup, &group_ops, LINGER_MS);
	uv_tcp_init(setup->loop, &f->listener);
	f->listener.data = f;
	uv_check_init(setup->loop, &f->last_look);
	f->last_look.data = f;
	f->group.handles += 2;
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
	uv_close((uv_handle_t *)&f->last_look, session_group_on_closed);
}

/* NULL is ignored. The loop has to run on until the handles are closed. */
void session_front_destroy(struct session_front *f)
{
	if (!f)
		return;
	close_listener(f);
	session_group_end(&f->group);
}

/* Answers the statement that the session has in flight. */
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
		session_link_go_on_later(&caller->link);
}

/*
 * Closes the session's connection once what was answered is out.
 *
 * Failure: a proxy is slow, and a caller's next statement lies unread in the
 * socket for as long. It is read after the hang-up and thrown away: a request
 * that ends without an answer. Guard: the sockets are read once more first,
 * and a statement that is there is answered; the relay then decides anew.
 */
void session_front_hang_up(void *ctx, uint64_t session)
{
	struct caller *caller = find(ctx, session);

	if (!caller || caller->in_flight || caller->hang_up_in)
		return;
	if (has_pending(caller)) {
		hang_up(caller);
		return;
	}
	caller->hang_up_in = HANG_UP_TURNS;
	session_link_go_on_later(&caller->link);
}

/* The sockets were looked at; what is there now is accepted next. */
static void on_last_look(uv_check_t *check)
{
	struct session_front *f = check->data;

	if (!is_readable(&f->listener))
		close_listener(f);
}

/*
 * New connections are refused, but for those that stand already.
 *
 * Failure: a proxy that stops is slow, and a caller's connection waits to be
 * accepted, with a statement on it. The end of the listener resets it: a
 * request that ends without an answer. Guard: what waits is accepted first.
 */
void session_front_stop_accepting(struct session_front *f)
{
	if (f->stopping)
		return;
	f->stopping = true;
	if (is_readable(&f->listener))
		uv_check_start(&f->last_look, on_last_look);
	else
		close_listener(f);
}

/* The one that the kernel picked, if it was to; 0: none. */
uint16_t session_front_port(const struct session_front *f)
{
	struct sockaddr_in in = { 0 };
	int len = sizeof(in);

	uv_tcp_getsockname(&f->listener, (struct sockaddr *)&in, &len);
	return ntohs(in.sin_port);
}
