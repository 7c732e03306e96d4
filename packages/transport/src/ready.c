#include <celeryquay/transport/listen.h>
#include <celeryquay/transport/ready.h>

#include <glib.h>
#include <h2o.h>

#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 64
#define IDLE_TIMEOUT_MS 60000
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_UNAVAILABLE 503

struct ready {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_idle_t last_handle; /* closed last; its callback frees the struct */
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	GQueue connections;
	struct ready_settings settings;
	char *path;
	bool destroyed;
};

struct connection {
	uv_tcp_t tcp; /* first member: h2o passes this handle back */
	struct ready *ready;
	GList link;
};

struct handler {
	h2o_handler_t super;
	struct ready *ready;
};

/* Allocated from its request's pool and freed with it. */
struct ready_request {
	h2o_req_t *req;
	void (*on_disconnect)(void *ctx);
	void *ctx;
	bool answered;
};

static void free_ready(uv_handle_t *last_handle)
{
	struct ready *r = last_handle->data;

	g_free(r->path);
	g_free(r);
}

/*
 * The handles that h2o closed with its context lie in this memory, so it must
 * be freed after their close callbacks.
 */
static void on_listener_closed(uv_handle_t *listener)
{
	struct ready *r = listener->data;

	uv_idle_init(r->loop, &r->last_handle);
	r->last_handle.data = r;
	uv_close((uv_handle_t *)&r->last_handle, free_ready);
}

static void close_if_unused(struct ready *r)
{
	if (!r->destroyed || r->connections.length)
		return;
	h2o_context_dispose(&r->context);
	h2o_config_dispose(&r->config);
	uv_close((uv_handle_t *)&r->listener, on_listener_closed);
}

static void on_connection_closed(uv_handle_t *handle)
{
	struct connection *c = (struct connection *)handle;
	struct ready *r = c->ready;

	g_queue_unlink(&r->connections, &c->link);
	g_free(c);
	close_if_unused(r);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct ready *r = listener->data;
	struct connection *c;

	if (status < 0 || r->destroyed)
		return;
	c = g_new0(struct connection, 1);
	c->ready = r;
	c->link.data = c;
	uv_tcp_init(r->loop, &c->tcp);
	g_queue_push_tail_link(&r->connections, &c->link);
	if (uv_accept(listener, (uv_stream_t *)&c->tcp) < 0) {
		uv_close((uv_handle_t *)&c->tcp, on_connection_closed);
		return;
	}
	h2o_accept(&r->accept, h2o_uv_socket_create((uv_stream_t *)&c->tcp,
						    on_connection_closed));
}

static bool is_path(const h2o_req_t *req, const char *path)
{
	return h2o_memis(req->path_normalized.base, req->path_normalized.len,
			 path, strlen(path));
}

static const struct ready_page *find_page(const struct ready *r,
					  const h2o_req_t *req)
{
	unsigned i;

	for (i = 0; i < r->settings.n_pages; i++)
		if (is_path(req, r->settings.pages[i].path))
			return &r->settings.pages[i];
	return NULL;
}

static void reply(h2o_req_t *req, int status, const GString *body)
{
	req->res.status = status;
	req->res.reason = status == HTTP_OK ? "OK" : "No";
	h2o_send_inline(req, body ? body->str : "", body ? body->len : 0);
}

static void send_page(h2o_req_t *req, const struct ready *r,
		      const struct ready_page *page)
{
	GString *body = g_string_new(NULL);

	page->write(r->settings.ctx, body);
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, page->type, strlen(page->type));
	reply(req, HTTP_OK, body);
	g_string_free(body, TRUE);
}

/* Called when the request ends, answered or not. */
static void on_request_end(void *data)
{
	struct ready_request *w = data;

	if (!w->answered && w->on_disconnect)
		w->on_disconnect(w->ctx);
}

/* Adds a header to the answer; name and value are copied. */
void ready_add_header(struct ready_request *w, const char *name,
		      const char *value)
{
	h2o_mem_pool_t *pool = &w->req->pool;
	h2o_iovec_t name_copy = h2o_strdup(pool, name, SIZE_MAX);
	h2o_iovec_t value_copy = h2o_strdup(pool, value, SIZE_MAX);

	h2o_add_header_by_str(pool, &w->req->res.headers, name_copy.base,
			      name_copy.len, 0, name, value_copy.base,
			      value_copy.len);
}

void ready_answer(struct ready_request *w, int status, struct str body)
{
	h2o_req_t *req = w->req;

	w->answered = true;
	req->res.status = status;
	req->res.reason = status == HTTP_OK ? "OK" : "No";
	h2o_send_inline(req, body.data ? body.data : "", body.len);
}

/* Sets the callback for a client that disconnects before its answer. */
void ready_on_disconnect(struct ready_request *w,
			 void (*on_disconnect)(void *ctx), void *ctx)
{
	w->on_disconnect = on_disconnect;
	w->ctx = ctx;
}

static void handle_page(h2o_req_t *req, const struct ready *r,
			const struct ready_page *page)
{
	struct ready_request *w =
		h2o_mem_alloc_shared(&req->pool, sizeof(*w), on_request_end);
	struct str query = STR("");

	*w = (struct ready_request){ .req = req };
	if (req->query_at != SIZE_MAX)
		query = (struct str){ req->path.base + req->query_at + 1,
				      req->path.len - req->query_at - 1 };
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
		       NULL, page->type, strlen(page->type));
	page->ask(r->settings.ctx, query, w);
}

static int on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct ready *r = ((struct handler *)handler)->ready;
	const struct ready_page *page = find_page(r, req);

	bool is_get =
		h2o_memis(req->method.base, req->method.len, H2O_STRLIT("GET"));
	int status = HTTP_NOT_FOUND;

	if (is_get && page) {
		if (page->ask)
			handle_page(req, r, page);
		else
			send_page(req, r, page);
		return 0;
	}
	if (is_get && is_path(req, r->path))
		status = r->settings.is_ready(r->settings.ctx) ?
				 HTTP_OK :
				 HTTP_UNAVAILABLE;
	reply(req, status, NULL);
	return 0;
}

static void http_init(struct ready *r)
{
	struct handler *handler;
	h2o_hostconf_t *host;

	h2o_config_init(&r->config);
	r->config.http1.req_timeout = IDLE_TIMEOUT_MS;
	host = h2o_config_register_host(
		&r->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	handler = (struct handler *)h2o_create_handler(&host->fallback_path,
						       sizeof(*handler));
	handler->super.on_req = on_request;
	handler->ready = r;
	h2o_context_init(&r->context, r->loop, &r->config);
	r->accept.ctx = &r->context;
	r->accept.hosts = r->config.hosts;
}

/* NULL and SYSTEM if listening fails. */
struct ready *ready_create(uv_loop_t *loop,
			   const struct ready_settings *settings,
			   struct err *err)
{
	struct ready *r = g_new0(struct ready, 1);

	r->loop = loop;
	r->settings = *settings;
	r->path = g_strdup(settings->path);
	http_init(r);
	uv_tcp_init(loop, &r->listener);
	r->listener.data = r;
	if (listen_start(&r->listener, settings->address, LISTEN_BACKLOG,
			 on_connection, err))
		return r;
	ready_destroy(r);
	return NULL;
}

/* The bound port. */
uint16_t ready_port(const struct ready *r)
{
	struct sockaddr_in in = { 0 };
	int len = sizeof(in);

	uv_tcp_getsockname(&r->listener, (struct sockaddr *)&in, &len);
	return ntohs(in.sin_port);
}

/*
 * NULL is ignored. The memory is freed once the loop has run the close
 * callbacks.
 */
void ready_destroy(struct ready *r)
{
	GList *l;
	uv_os_fd_t fd;

	if (!r)
		return;
	r->destroyed = true;
	for (l = r->connections.head; l; l = l->next) {
		struct connection *c = l->data;

		/* h2o owns the handle and closes it at end of stream. */
		if (!uv_fileno((uv_handle_t *)&c->tcp, &fd))
			shutdown(fd, SHUT_RDWR);
	}
	close_if_unused(r);
}
