#include "front_private.h"

#include <celeryquay/base/strict_json.h>

#include <string.h>

#define BEARER "Bearer "
#define SESSION_COOKIE "celeryquay_session="
#define IDEMPOTENCY_KEY_MAX 128 /* bytes of an Idempotency-Key */
/* Bytes of the path and all headers. h2o itself would accept 400 KiB. */
#define HEADERS_MAX_BYTES 16384

/* Makes a copy that lives as long as the exchange. */
static struct str copy_to_pool(h2o_req_t *req, struct str s)
{
	return (struct str){
		.data = h2o_strdup(&req->pool, s.data, s.len).base,
		.len = s.len,
	};
}

static struct str to_str(h2o_iovec_t v)
{
	return (struct str){ .data = v.base ? v.base : "", .len = v.len };
}

static struct str header(h2o_req_t *req, const h2o_token_t *token)
{
	ssize_t i = h2o_find_header(&req->headers, token, -1);

	return i < 0 ? STR("") : to_str(req->headers.entries[i].value);
}

/* Returns how often the header occurs; its first value goes to *out. */
static unsigned header_by_name(h2o_req_t *req, struct str name, struct str *out)
{
	unsigned n = 0;
	ssize_t i = -1;

	*out = STR("");
	while ((i = h2o_find_header_by_str(&req->headers, name.data, name.len,
					   i)) >= 0) {
		if (!n++)
			*out = to_str(req->headers.entries[i].value);
	}
	return n;
}

/* The token of an "Authorization: Bearer" header; empty if there is none. */
static struct str bearer_token(h2o_req_t *req)
{
	struct str value = header(req, H2O_TOKEN_AUTHORIZATION);
	size_t skip = sizeof(BEARER) - 1;

	if (value.len <= skip ||
	    g_ascii_strncasecmp(value.data, BEARER, skip) != 0)
		return STR("");
	value.data += skip;
	value.len -= skip;
	return copy_to_pool(req, value);
}

/* Finds the session cookie's value in one Cookie header. */
static bool find_cookie(struct str cookies, struct str *out)
{
	const char *end = cookies.data + cookies.len;
	const char *p = cookies.data;
	size_t skip = sizeof(SESSION_COOKIE) - 1;

	while (p < end) {
		const char *stop = memchr(p, ';', (size_t)(end - p));

		if (!stop)
			stop = end;
		while (p < stop && *p == ' ')
			p++;
		if ((size_t)(stop - p) >= skip &&
		    !memcmp(p, SESSION_COOKIE, skip)) {
			out->data = p + skip;
			out->len = (size_t)(stop - out->data);
			return true;
		}
		p = stop + 1;
	}
	return false;
}

/* The session text from the header, else from the cookie, else empty. */
static struct str session_text(h2o_req_t *req)
{
	struct str value;
	ssize_t i = -1;

	if (header_by_name(req, STR("celeryquay-session"), &value))
		return copy_to_pool(req, value);
	while ((i = h2o_find_header(&req->headers, H2O_TOKEN_COOKIE, i)) >= 0) {
		if (find_cookie(to_str(req->headers.entries[i].value), &value))
			return copy_to_pool(req, value);
	}
	return STR("");
}

static bool read_idempotency_key(h2o_req_t *req, struct request *r,
				 struct err *err)
{
	struct str key;
	unsigned n = header_by_name(req, STR("idempotency-key"), &key);
	size_t i;

	if (!n)
		return true;
	if (n > 1 || !key.len || key.len > IDEMPOTENCY_KEY_MAX)
		goto bad;
	for (i = 0; i < key.len; i++) {
		if (!g_ascii_isgraph(key.data[i]))
			goto bad;
	}
	r->key_given = true;
	r->key = request_copy_bytes(r, key.data, key.len);
	return true;
bad:
	err_set(err, ERR_BAD_KEY,
		"Idempotency-Key: one header of 1 to %d visible ASCII bytes",
		IDEMPOTENCY_KEY_MAX);
	return false;
}

static bool check_headers(h2o_req_t *req, struct err *err)
{
	size_t bytes = req->input.path.len;
	size_t i;

	for (i = 0; i < req->headers.size; i++)
		bytes += req->headers.entries[i].name->len +
			 req->headers.entries[i].value.len;
	if (bytes <= HEADERS_MAX_BYTES)
		return true;
	err_set(err, ERR_BAD_HEADER, "more than %d bytes of headers",
		HEADERS_MAX_BYTES);
	return false;
}

static struct request *read_request(struct front_request *fr, struct err *err)
{
	h2o_req_t *req = fr->req;
	struct front_path path;
	struct request *r;

	if (!check_headers(req, err))
		return NULL;
	if (!front_path_parse(to_str(req->input.method),
			      to_str(req->input.path), &path, err)) {
		fr->allow = path.allow;
		return NULL;
	}
	r = front_parse(path.kind, to_str(req->entity), err);
	if (!r)
		return NULL;
	r->service = request_copy_bytes(r, path.service.data, path.service.len);
	r->database =
		request_copy_bytes(r, path.database.data, path.database.len);
	r->transaction = request_copy_bytes(r, path.transaction.data,
					    path.transaction.len);
	if (!read_idempotency_key(req, r, err)) {
		request_unref(r);
		return NULL;
	}
	front_set_digest(r);
	return r;
}

/* Answers a request on a connection above the limit. */
static void refuse(struct front_request *fr)
{
	struct err err = { 0 };

	err_set(&err, ERR_OVERLOADED, "too many connections");
	front_fail(fr, &err);
}

static void hand_over_request(struct front_request *fr)
{
	struct front *f = fr->front;
	struct err err = { 0 };
	struct request *r = read_request(fr, &err);

	if (!r) {
		front_fail(fr, &err);
		return;
	}
	fr->handed_over = true;
	front_watch_start(fr);
	f->events.request(f->ctx, fr, r, bearer_token(fr->req),
			  session_text(fr->req));
}

/*
 * Bodies on the operators' port are JSON too, and their parser also recurses
 * for each level of nesting, so the nesting is checked before.
 */
static bool check_admin(struct front_request *fr, struct err *err)
{
	struct str body = to_str(fr->req->entity);

	return check_headers(fr->req, err) &&
	       (!body.len ||
		strict_json_check(body, FRONT_DEPTH_MAX, NULL, err));
}

static void hand_over_admin(struct front_request *fr)
{
	struct front *f = fr->front;
	h2o_req_t *req = fr->req;
	struct str method = copy_to_pool(req, to_str(req->input.method));
	struct str path = copy_to_pool(req, to_str(req->input.path));
	struct str body = copy_to_pool(req, to_str(req->entity));
	struct err err = { 0 };

	if (!check_admin(fr, &err)) {
		front_fail(fr, &err);
		return;
	}
	fr->handed_over = true;
	front_watch_start(fr);
	f->events.admin(f->ctx, fr, method, path, bearer_token(req), body);
}

/* h2o frees the request, after its response was sent or without one. */
static void on_dispose(void *memory)
{
	struct front_request *fr = memory;
	struct front *f = fr->front;
	bool gone = fr->handed_over && !fr->answered;

	front_watch_stop(fr);
	if (!fr->unlinked)
		g_queue_unlink(&f->exchanges, &fr->link);
	fr->connection->exchanges--;
	if (gone)
		f->events.gone(f->ctx, fr);
	if (fr->text)
		g_string_free(fr->text, TRUE);
	if (fr->results)
		g_bytes_unref(fr->results);
}

/*
 * The caller of an HTTP/1 request has hung up: tells the owner, then sends an
 * empty response so that h2o closes the connection.
 */
void front_hang_up(struct front_request *fr)
{
	struct front *f = fr->front;

	fr->handed_over = false;
	f->events.gone(f->ctx, fr);
	front_abandon(fr);
}

/* h2o's handler for every request on every path. */
int front_on_request(h2o_handler_t *handler, h2o_req_t *req)
{
	struct front *f = ((struct front_handler *)handler)->front;
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	struct front_request *fr =
		h2o_mem_alloc_shared(&req->pool, sizeof(*fr), on_dispose);

	memset(fr, 0, sizeof(*fr));
	fr->front = f;
	fr->connection = sock->on_close.data;
	fr->connection->exchanges++;
	fr->connection->http2 = req->version >= 0x200;
	fr->req = req;
	fr->link.data = fr;
	g_queue_push_tail_link(&f->exchanges, &fr->link);
	if (fr->connection->refused)
		refuse(fr);
	else if (fr->connection->port->operators)
		hand_over_admin(fr);
	else
		hand_over_request(fr);
	return 0;
}

/* The pointer set with front_set_user(), NULL before. */
void *front_user(const struct front_request *fr)
{
	return fr->user;
}

/* Attaches a pointer of the owner's, which the front doesn't use. */
void front_set_user(struct front_request *fr, void *user)
{
	fr->user = user;
}
