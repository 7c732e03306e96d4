#define LOG_MODULE "session-upstream"
#include "session_link.h"

#include <celeryquay/base/log.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

#define OPEN_TIMEOUT_MS 1000
#define USER_TIMEOUT_MS 3000

struct session_upstream {
	struct session_group group;
	const char *name;
};

struct server_conn {
	struct session_link link;
	uv_connect_t connect;
	GString *startup; /* the startup message, sent once connected */
	void *reader;
	bool opened;
	unsigned outstanding; /* statements sent and not answered yet */
};

static struct session_link *find(void *ctx, uint64_t number)
{
	struct session_upstream *u =
		((struct session_endpoints *)ctx)->upstream;

	return session_group_find(&u->group, number);
}

static void clear(struct session_link *link)
{
	struct server_conn *conn = (struct server_conn *)link;

	g_string_free(conn->startup, TRUE);
	link->group->setup.codec->reader_destroy(conn->reader);
}

/*
 * Closes the connection and reports its loss. Must not be called from one of
 * the relay's ops.
 */
static void drop_conn(struct server_conn *conn, bool refused)
{
	struct session_group *g = conn->link.group;

	if (session_link_is_closing(&conn->link))
		return;
	session_link_remove(&conn->link);
	g->setup.host->conn_lost(session_group_relay(g), conn->link.number,
				 refused, g->setup.host->now_us());
	session_group_wake(g);
}

static void drop(struct session_link *link)
{
	drop_conn((struct server_conn *)link, false);
}

/* Passes an answer to the relay. */
static void take_answer(struct server_conn *conn,
			const struct relay_answer *answer)
{
	struct session_group *g = conn->link.group;
	const struct session_host *host = g->setup.host;

	if (conn->opened && !conn->outstanding) {
		LOG_WARN("a server sent an answer with no statement in flight");
		drop(&conn->link);
	} else if (conn->opened) {
		conn->outstanding--;
		host->conn_answer(session_group_relay(g), conn->link.number,
				  answer, host->now_us());
		session_group_wake(g);
	} else {
		conn->link.has_deadline = false;
		conn->opened = answer->code == RELAY_OK;
		if (!conn->opened)
			session_link_remove(&conn->link);
		host->conn_opened(session_group_relay(g), conn->link.number,
				  answer, host->now_us());
		session_group_wake(g);
	}
}

static void take_bytes(struct session_link *link, struct str in)
{
	struct server_conn *conn = (struct server_conn *)link;
	const struct session_codec *codec = link->group->setup.codec;
	enum session_read_result result = SESSION_MORE;
	struct relay_answer answer;

	if (!in.len)
		drop(link);
	while (in.len && !session_link_is_closing(link)) {
		result = codec->reader_feed(conn->reader, &in, &answer);
		if (result != SESSION_ANSWER)
			break;
		take_answer(conn, &answer);
	}
	if (result == SESSION_MALFORMED) {
		LOG_WARN("a server's answer is malformed");
		drop(link);
	}
}

static void on_connected(uv_connect_t *req, int status)
{
	struct server_conn *conn = req->data;
	GString *out = conn->link.group->out;

	if (session_link_is_closing(&conn->link))
		return;
	if (!status) {
		g_string_append_len(out, conn->startup->str,
				    (gssize)conn->startup->len);
		status = session_link_send(&conn->link);
	}
	if (!status)
		status = session_link_read(&conn->link);
	if (status)
		drop_conn(conn,
			  status == UV_ECONNREFUSED || status == UV_ECONNRESET);
}

static void set_option(int fd, int level, int option, int value)
{
	if (setsockopt(fd, level, option, &value, sizeof(value)))
		LOG_WARN("socket option %d could not be set", option);
}

/*
 * With these a host that vanished is noticed within three seconds, whether or
 * not data is being sent.
 *
 * Failure: an order that ends a pause is held up, and its connection is closed.
 * The system delivers the order later, when another proxy has made a pause of
 * its own, and the replica confirms an old primary. Guard: each close, also by
 * the end of the process, drops what the server has not received.
 */
static void set_options(struct server_conn *conn)
{
	const struct linger abort_on_close = { .l_onoff = 1, .l_linger = 0 };
	uv_os_fd_t fd;

	if (uv_fileno((uv_handle_t *)&conn->link.tcp, &fd))
		return;
	if (setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
		       sizeof(abort_on_close)))
		LOG_WARN("SO_LINGER could not be set");
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, 2);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}

static const struct session_group_ops group_ops = {
	.read = take_bytes,
	.on_deferred = drop,
	.on_deadline = drop,
	.write_failed = drop,
	.clear = clear,
};

/* Connects to nothing yet. The name is not copied. */
struct session_upstream *session_upstream_create(
	const struct session_setup *setup, const char *name)
{
	struct session_upstream *u = g_new0(struct session_upstream, 1);

	session_group_init(&u->group, setup, &group_ops, OPEN_TIMEOUT_MS);
	u->name = name;

	return u;
}

/* NULL is ignored. The loop has to run until the handles are closed. */
void session_upstream_destroy(struct session_upstream *u)
{
	if (u)
		session_group_close(&u->group);
}

/*
 * Creates the connection's socket. On failure the handle is initialized without
 * one, so that it can be closed.
 */
static int init_conn(struct session_upstream *u, struct server_conn *conn)
{
	int status =
		uv_tcp_init_ex(u->group.setup.loop, &conn->link.tcp, AF_INET);

	if (status)
		uv_tcp_init(u->group.setup.loop, &conn->link.tcp);
	else
		set_options(conn);
	return status;
}

/*
 * Connects and sends the startup message; the outcome is reported in a later
 * loop iteration.
 */
void session_upstream_open(void *ctx, uint64_t number,
			   const struct relay_server_info *server,
			   const char *account)
{
	struct session_upstream *u =
		((struct session_endpoints *)ctx)->upstream;
	const struct session_codec *codec = u->group.setup.codec;
	struct server_conn *conn = g_new0(struct server_conn, 1);
	int status = init_conn(u, conn);
	struct sockaddr_in in;

	session_link_add(&conn->link, &u->group, number);
	conn->reader = codec->reader_create();
	conn->startup = g_string_new(NULL);
	codec->put_startup(conn->startup, str_from_c(server->service),
			   str_from_c(*account ? account : u->name),
			   str_from_c(server->id));
	conn->connect.data = conn;
	if (!status)
		status = uv_ip4_addr(server->host, server->port, &in);
	if (!status)
		status = uv_tcp_connect(&conn->connect, &conn->link.tcp,
					(struct sockaddr *)&in, on_connected);
	if (status)
		session_link_defer(&conn->link);
	else
		session_link_start_deadline(&conn->link);
}

/* Sends a statement; its answer comes in a later loop iteration. */
void session_upstream_send(void *ctx, uint64_t number,
			   const struct relay_statement *statement)
{
	struct session_link *link = find(ctx, number);

	if (!link)
		return;
	((struct server_conn *)link)->outstanding++;
	link->group->setup.codec->put_statement(link->group->out, statement);
	if (session_link_send(link))
		session_link_defer(link);
}

/* Closes the connection at once; no event follows. */
void session_upstream_close(void *ctx, uint64_t number)
{
	struct session_link *link = find(ctx, number);

	if (link)
		session_link_remove(link);
}
