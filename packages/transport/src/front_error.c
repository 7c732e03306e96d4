#include "front_private.h"

#include <string.h>

/* Output stream that replaces the body of an error response of h2o's own. */
struct error_stream {
	h2o_ostream_t super;
	h2o_iovec_t body; /* empty after it has been sent */
};

static enum err_code code_of(int status)
{
	return status == 413 ? ERR_BODY_TOO_LARGE : ERR_BAD_HEADER;
}

static void do_send(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs,
		    size_t n, h2o_send_state_t state)
{
	struct error_stream *s = (struct error_stream *)self;

	(void)bufs;
	(void)n;
	h2o_ostream_send_next(self, req, &s->body, s->body.len ? 1 : 0, state);
	s->body.len = 0;
}

static h2o_iovec_t error_body(h2o_req_t *req)
{
	const struct err_info *info = err_info(code_of(req->res.status));
	struct err err = { .code = info->code };
	GString *text;
	h2o_iovec_t body;

	g_strlcpy(err.message, info->meaning, sizeof(err.message));
	text = front_error_text(err_outcome_name(info->outcome), &err, 0, "");
	body = h2o_strdup(&req->pool, text->str, text->len);
	g_string_free(text, TRUE);
	return body;
}

/*
 * A request that is too large or isn't valid HTTP never reaches the handler:
 * h2o answers it in plain text. Callers expect JSON with an error code in every
 * response, so the text is replaced.
 */
static void on_setup(h2o_filter_t *self, h2o_req_t *req, h2o_ostream_t **slot)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	struct error_stream *s;

	(void)self;
	if (req->res.status >= 400 && !front_made_response(req->_generator)) {
		s = (struct error_stream *)h2o_add_ostream(req, sizeof(*s),
							   slot);
		slot = &s->super.next;
		s->super.do_send = do_send;
		s->body = error_body(req);
		req->res.content_length = s->body.len;
		h2o_set_header(&req->pool, &req->res.headers,
			       H2O_TOKEN_CONTENT_TYPE,
			       H2O_STRLIT("application/json"), 1);
		if (sock)
			front_linger_prepare(sock->on_close.data);
	}
	h2o_setup_next_ostream(req, slot);
}

/* Registers the filter on the path, which serves all requests. */
void front_error_register(h2o_pathconf_t *path)
{
	h2o_filter_t *filter = h2o_create_filter(path, sizeof(*filter));

	filter->on_setup_ostream = on_setup;
}
