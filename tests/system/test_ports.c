#include "support_operator.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#ifndef IP_LOCAL_PORT_RANGE
#define IP_LOCAL_PORT_RANGE 51
#endif

/* How another process comes to a port that it did not choose. */
enum way { LISTENS, LISTENS_REUSED, CONNECTS, WAYS };

#define PORTS_MAX 3

/* Sockets of another process that ask for any free port. */
struct neighbour {
	int fds[PORTS_MAX * WAYS];
	unsigned n;
};

static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in name = { .sin_family = AF_INET };

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	name.sin_port = htons((uint16_t)port);
	return name;
}

/*
 * Asks the system for any free port of a range that holds only this one. A
 * kernel before Linux 6.3 has no such range; there the port itself is bound
 * without SO_REUSEADDR, which succeeds where the system could choose it.
 */
static void ask_for_port(struct neighbour *n, enum way way, int port,
			 int to_port)
{
	uint32_t range = (uint32_t)port << 16 | (uint32_t)port;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in any = loopback(0), to = loopback(to_port);
	int on = 1;

	ck_assert_int_ge(fd, 0);
	n->fds[n->n++] = fd;
	if (setsockopt(fd, IPPROTO_IP, IP_LOCAL_PORT_RANGE, &range,
		       sizeof(range))) {
		any = loopback(port);
		if (way != LISTENS)
			return;
	}
	if (way == LISTENS_REUSED)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (way == CONNECTS) {
		if (connect(fd, (struct sockaddr *)&to, sizeof(to)))
			return;
	} else if (bind(fd, (struct sockaddr *)&any, sizeof(any)) ||
		   listen(fd, 1)) {
		return;
	}
}

static void leave(struct neighbour *n)
{
	while (n->n)
		close(n->fds[--n->n]);
}

static struct cluster *start(void)
{
	struct cluster_spec spec;
	struct err err = { 0 };
	struct cluster *c;

	cluster_default(&spec);
	spec.n_proxies = 1;
	spec.n_databases = 1;
	c = cluster_start(&spec, &err);
	ck_assert_msg(c != NULL, "%s", err.message);
	return c;
}

static void end(struct child *child)
{
	child_signal(child, SIGKILL);
	child_wait(child);
}

/*
 * Fails when a stopped proxy's ports are given to another process, so that its
 * restart ends with "address already in use".
 */
START_TEST(a_proxy_restarts_beside_others_that_take_ports)
{
	struct cluster *c = start();
	struct cluster_proxy *p = &c->proxies[0];
	const int ports[PORTS_MAX] = { p->http, p->admin, p->peer };
	struct neighbour n = { 0 };
	struct err err = { 0 };
	enum way way = (enum way)_i;
	unsigned i;

	end(p->child);
	for (i = 0; i < PORTS_MAX; i++)
		ask_for_port(&n, way, ports[i], c->store_port);
	ck_assert_msg(cluster_start_proxy(c, 0, &err), "%s", err.message);
	ck_assert(cluster_wait_healthy(c));
	ck_assert_int_eq(p->http, ports[0]);
	ck_assert_int_eq(p->admin, ports[1]);
	ck_assert_int_eq(p->peer, ports[2]);
	leave(&n);
	cluster_destroy(c);
}
END_TEST

/*
 * The same for a server. Connections that its end has left in TIME_WAIT keep
 * its ports for a minute, too, so that this one does not fail without the
 * reservation.
 */
START_TEST(a_server_restarts_beside_others_that_take_ports)
{
	struct cluster *c = start();
	struct cluster_server *s = &c->servers[1];
	const int ports[] = { s->port, s->control };
	struct neighbour n = { 0 };
	struct err err = { 0 };
	enum way way = (enum way)_i;
	unsigned i;

	end(s->child);
	for (i = 0; i < G_N_ELEMENTS(ports); i++)
		ask_for_port(&n, way, ports[i], c->store_port);
	ck_assert_msg(cluster_start_server(c, 1, 0, &err), "%s", err.message);
	ck_assert_int_eq(s->port, ports[0]);
	ck_assert_int_eq(s->control, ports[1]);
	leave(&n);
	cluster_destroy(c);
}
END_TEST

int main(void)
{
	TCase *t = tcase_create("ports");

	tcase_add_loop_test(t, a_proxy_restarts_beside_others_that_take_ports,
			    0, WAYS);
	tcase_add_loop_test(t, a_server_restarts_beside_others_that_take_ports,
			    0, WAYS);
	return suite_main("ports", t);
}
