#include "front_private.h"

#include <string.h>

#define JSON_TYPE "application/json"
#define COOKIE_HEAD "celeryquay_session="
#define COOKIE_TAIL "; Path=/; HttpOnly; SameSite=Strict"

static const char *reason(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 201:
		return "Created";
	case 400:
		return "Bad Request";
	case 401:
		return "Unauthorized";
	case 403:
		return "Forbidden";
	case 404:
		return "Not Found";
	case 405:
		return "Method Not Allowed";
	case 409:
		return "Conflict";
	case 413:
		return "Payload Too Large";
	case 422:
		return "Unprocessable Entity";
	case 429:
		return "Too Many Requests";
	case 503:
		return "Service Unavailable";
	case 504:
		return "Gateway Timeout";
	default:
		return status < 400 ? "OK" : "Error";
	}
}

static bool is_plain(char c)
{
	return c != '"' && c != '\\' && (unsigned char)c >= 0x20;
}

/*
 * Appends a JSON string, in which quotes, backslashes and control characters
 * are escaped. Runs of other bytes are copied in one piece.
 */
static void append_json_string(GString *out, struct str s)
{
	size_t i = 0;

	g_string_append_c(out, '"');
	while (i < s.len) {
		size_t run = i;

		while (i < s.len && is_plain(s.data[i]))
			i++;
		g_string_append_len(out, s.data + run, (gssize)(i - run));
		if (i == s.len)
			break;
		if ((unsigned char)s.data[i] < 0x20)
			g_string_append_printf(out, "\\u%04x",
					       (unsigned char)s.data[i]);
		else
			g_string_append_printf(out, "\\%c", s.data[i]);
		i++;
	}
	g_string_append_c(out, '"');
}

/* Appends a comma, the member's name and a string as its value. */
static void append_field(GString *out, const char *name, struct str value)
{
	g_string_append(out, ",\"");
	g_string_append(out, name);
	g_string_append(out, "\":");
	append_json_string(out, value);
}

static void add_header(h2o_req_t *req, const h2o_token_t *token,
		       struct str value)
{
	h2o_iovec_t copy = h2o_strdup(&req->pool, value.data, value.len);

	h2o_add_header(&req->pool, &req->res.headers, token, NULL, copy.base,
		       copy.len);
}

static void add_header_text(h2o_req_t *req, const h2o_token_t *token,
			    const char *value)
{
	add_header(req, token, str_from_c(value));
}

/* Passes the next bytes of the body to h2o, at most FRONT_SLICE_MAX_BYTES. */
static void send_slice(h2o_generator_t *generator, h2o_req_t *req)
{
	struct front_request *fr = (struct front_request *)generator;
	h2o_iovec_t bufs[FRONT_BODY_PARTS];
	size_t room = FRONT_SLICE_MAX_BYTES;
	size_t n = 0;

	fr->slice_at_ms = uv_now(fr->front->loop);
	while (fr->part < FRONT_BODY_PARTS && room) {
		struct str part = fr->parts[fr->part];
		size_t len = MIN(part.len - fr->offset, room);

		if (len)
			bufs[n++] = h2o_iovec_init(part.data + fr->offset, len);
		fr->offset += len;
		room -= len;
		if (fr->offset == part.len) {
			fr->part++;
			fr->offset = 0;
		}
	}
	h2o_send(req, bufs, n,
		 fr->part < FRONT_BODY_PARTS ? H2O_SEND_STATE_IN_PROGRESS :
					       H2O_SEND_STATE_FINAL);
}

/* Whether this generator is the front's, not one of h2o's own responses. */
bool front_made_response(const h2o_generator_t *generator)
{
	return generator && generator->proceed == send_slice;
}

/*
 * Sends the first `head` bytes of the text, the results, then the rest of the
 * text. The exchange may have been freed when this returns.
 */
static void send_body(struct front_request *fr, int status, const char *type,
		      size_t head)
{
	h2o_req_t *req = fr->req;
	struct str *p = fr->parts;

	p[0] = (struct str){ .data = fr->text->str, .len = head };
	p[1] = fr->results ? str_from_bytes(fr->results) : STR("");
	p[2] = (struct str){ .data = fr->text->str + head,
			     .len = fr->text->len - head };
	fr->answered = true;
	front_watch_stop(fr);
	req->res.status = status;
	req->res.reason = reason(status);
	req->res.content_length = p[0].len + p[1].len + p[2].len;
	add_header_text(req, H2O_TOKEN_CONTENT_TYPE, type);
	if (fr->connection->refused || fr->front->stopping)
		req->http1_is_persistent = 0;
	fr->generator.proceed = send_slice;
	h2o_start_response(req, &fr->generator);
	send_slice(&fr->generator, req);
}

/* Whether the status means that the proxy has given up on the request. */
static bool needs_retry_after(int status)
{
	return status == 429 || status == 503 || status == 504;
}

/*
 * Retry-After is in whole seconds: rounded up, and at least one for a request
 * that the proxy has given up on.
 */
static void add_retry_after(h2o_req_t *req, int status, uint64_t after_us)
{
	uint64_t seconds = (after_us + USEC_PER_SEC - 1) / USEC_PER_SEC;
	char text[24];

	if (!after_us && !needs_retry_after(status))
		return;
	g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, MAX(seconds, 1));
	add_header_text(req, H2O_TOKEN_RETRY_AFTER, text);
}

/* Rounds up to whole milliseconds. */
static unsigned long to_ms(uint64_t us)
{
	return (us + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
}

/* The JSON body of an error response; the calling code owns it. */
GString *front_error_text(const char *outcome, const struct err *err,
			  uint64_t retry_after_us, const char *sqlstate)
{
	const struct err_info *info = err_info(err->code);
	GString *text = g_string_sized_new(ERR_MESSAGE_SIZE);

	g_string_printf(text, "{\"outcome\":\"%s\",\"code\":%d,\"name\":\"%s\"",
			outcome, info->code, info->name);
	append_field(text, "message", str_from_c(err->message));
	if (sqlstate[0])
		append_field(text, "sqlstate", str_from_c(sqlstate));
	if (retry_after_us)
		g_string_append_printf(text, ",\"retry_after_ms\":%lu",
				       to_ms(retry_after_us));
	g_string_append(text, "}\n");
	return text;
}

static void send_error(struct front_request *fr, const char *outcome,
		       const struct err *err, uint64_t retry_after_us,
		       const char *sqlstate)
{
	const struct err_info *info = err_info(err->code);

	fr->text = front_error_text(outcome, err, retry_after_us, sqlstate);
	add_retry_after(fr->req, info->http_status, retry_after_us);
	if (info->code == ERR_NO_TOKEN || info->code == ERR_BAD_TOKEN)
		add_header_text(fr->req, H2O_TOKEN_WWW_AUTHENTICATE, "Bearer");
	if (info->code == ERR_BAD_METHOD && fr->allow)
		add_header_text(fr->req, H2O_TOKEN_ALLOW, fr->allow);
	send_body(fr, info->http_status, JSON_TYPE, fr->text->len);
}

/* Sends an error on an exchange that was not passed to the owner. */
void front_fail(struct front_request *fr, const struct err *err)
{
	send_error(fr, err_outcome_name(err_info(err->code)->outcome), err, 0,
		   "");
}

static void add_session(struct front_request *fr, struct str session)
{
	h2o_req_t *req = fr->req;
	bool tls = fr->connection->port->accept.ssl_ctx;
	h2o_iovec_t text = h2o_strdup(&req->pool, session.data, session.len);
	h2o_iovec_t cookie =
		h2o_concat(&req->pool, h2o_iovec_init(H2O_STRLIT(COOKIE_HEAD)),
			   text, h2o_iovec_init(H2O_STRLIT(COOKIE_TAIL)),
			   tls ? h2o_iovec_init(H2O_STRLIT("; Secure")) :
				 h2o_iovec_init(H2O_STRLIT("")));

	h2o_add_header_by_str(&req->pool, &req->res.headers,
			      H2O_STRLIT("celeryquay-session"), 0, NULL,
			      text.base, text.len);
	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_SET_COOKIE,
		       NULL, cookie.base, cookie.len);
}

static void add_location(h2o_req_t *req, const struct request *r,
			 struct str transaction)
{
	h2o_iovec_t path =
		h2o_concat(&req->pool, h2o_iovec_init(H2O_STRLIT("/v1/")),
			   h2o_iovec_init(r->service.data, r->service.len),
			   h2o_iovec_init(H2O_STRLIT("/")),
			   h2o_iovec_init(r->database.data, r->database.len),
			   h2o_iovec_init(H2O_STRLIT("/transactions/")),
			   h2o_iovec_init(transaction.data, transaction.len));

	h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_LOCATION, NULL,
		       path.base, path.len);
}

static void append_server(GString *out, const struct answer *a)
{
	char age_ms[STR_U64_SIZE];

	str_put_u64(age_ms, to_ms(a->age_us));
	g_string_append(out, ",\"served_by\":{\"server\":");
	append_json_string(out, str_from_c(a->server));
	g_string_append(out, a->by_primary ? ",\"role\":\"primary\"" :
					     ",\"role\":\"replica\"");
	g_string_append(out, ",\"age_ms\":");
	g_string_append(out, age_ms);
	g_string_append_c(out, '}');
}

static void send_done(struct front_request *fr, const struct request *request,
		      const struct answer *a, struct str session)
{
	bool begun = request->kind == REQUEST_BEGIN;
	GString *text = fr->text = g_string_sized_new(256 + session.len);
	size_t head;

	g_string_append(text, "{\"outcome\":\"done\"");
	if (begun) {
		append_field(text, "transaction", a->transaction);
		add_location(fr->req, request, a->transaction);
	}
	g_string_append(text, ",\"results\":");
	if (a->results)
		fr->results = g_bytes_ref(a->results);
	else
		g_string_append(text, "[]");
	head = text->len;
	if (session.len)
		append_field(text, "session", session);
	if (a->server[0])
		append_server(text, a);
	if (a->repeated)
		g_string_append(text, ",\"repeated\":true");
	g_string_append(text, "}\n");
	send_body(fr, begun ? 201 : 200, JSON_TYPE, head);
}

/*
 * Sends the answer. The owner must not use the exchange after this; further
 * calls are ignored. The results are sent without a copy, from a reference to
 * the answer's bytes.
 */
void front_answer(struct front_request *fr, const struct request *request,
		  const struct answer *answer, struct str session_text)
{
	if (fr->answered)
		return;
	if (session_text.len)
		add_session(fr, session_text);
	if (answer->outcome == OUTCOME_DONE)
		send_done(fr, request, answer, session_text);
	else
		send_error(fr, outcome_name(answer->outcome), &answer->err,
			   answer->retry_after_us, answer->sqlstate);
}

/*
 * Sends a response with this status, content type and body on the operators'
 * port. Ignored if the exchange has been answered.
 */
void front_reply(struct front_request *fr, int status, const char *type,
		 struct str body)
{
	if (fr->answered)
		return;
	fr->text = g_string_new_len(body.data, (gssize)body.len);
	send_body(fr, status, type, fr->text->len);
}

/*
 * Ends an exchange without telling its owner: sends an empty response with
 * status 503, after which h2o closes an HTTP/1 connection.
 */
void front_abandon(struct front_request *fr)
{
	struct front *f = fr->front;

	g_queue_unlink(&f->exchanges, &fr->link);
	fr->unlinked = true;
	if (fr->answered)
		return;
	fr->text = g_string_new(NULL);
	fr->req->http1_is_persistent = 0;
	send_body(fr, 503, JSON_TYPE, 0);
}
