#include "ports.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

struct ports {
	GArray *fds; /* sockets that are bound and never listen */
};

/* Without any port. */
struct ports *ports_create(void)
{
	struct ports *p = g_new0(struct ports, 1);

	p->fds = g_array_new(FALSE, FALSE, sizeof(int));
	return p;
}

static int bind_any(int fd)
{
	struct sockaddr_in name = { .sin_family = AF_INET };
	socklen_t size = sizeof(name);
	int on = 1;

	name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(fd, (struct sockaddr *)&name, size) ||
	    getsockname(fd, (struct sockaddr *)&name, &size))
		return 0;
	return ntohs(name.sin_port);
}

/*
 * A port that has a bound socket is not chosen by the system, neither for a
 * socket bound to port 0 nor for an outgoing connection. Since the socket has
 * SO_REUSEADDR and never listens, a process that is told the port can still
 * listen on it if it sets that option too, as libuv and libzmq do.
 */
int ports_reserve(struct ports *p, struct err *err)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int port = fd < 0 ? 0 : bind_any(fd);

	if (port) {
		g_array_append_val(p->fds, fd);
		return port;
	}
	err_set(err, ERR_SYSTEM, "can't reserve a port: %s", g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return 0;
}

/* NULL is ignored. */
void ports_destroy(struct ports *p)
{
	unsigned i;

	if (!p)
		return;
	for (i = 0; i < p->fds->len; i++)
		close(g_array_index(p->fds, int, i));
	g_array_free(p->fds, TRUE);
	g_free(p);
}
