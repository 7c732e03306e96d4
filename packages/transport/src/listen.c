#include <celeryquay/transport/listen.h>

#include <celeryquay/base/str.h>

#include <string.h>

/* Splits at the last colon; the part before it must not be empty. */
bool listen_split(const char *address, char **host, uint16_t *port)
{
	const char *colon = strrchr(address, ':');
	uint64_t number;

	if (!colon || colon == address ||
	    !str_to_u64(str_from_c(colon + 1), &number) || number > UINT16_MAX)
		return false;
	*host = g_strndup(address, (gsize)(colon - address));
	*port = (uint16_t)number;
	return true;
}

/*
 * The handle must be initialized; the calling code closes it, also after a
 * failure.
 */
bool listen_start(uv_tcp_t *listener, const char *address, int backlog,
		  uv_connection_cb on_connection, struct err *err)
{
	struct sockaddr_in in;
	char *host = NULL;
	uint16_t port;
	int status = UV_EINVAL;

	if (listen_split(address, &host, &port))
		status = uv_ip4_addr(host, port, &in);
	g_free(host);
	if (!status)
		status = uv_tcp_bind(listener, (struct sockaddr *)&in, 0);
	if (!status)
		status = uv_listen((uv_stream_t *)listener, backlog,
				   on_connection);
	if (status)
		err_set(err, ERR_SYSTEM, "listen on %s: %s", address,
			uv_strerror(status));
	return !status;
}
