#include <celeryquay/transport/session_gather.h>

void session_gather_init(struct session_gather *g)
{
	*g = (struct session_gather){ .pending = g_string_new(NULL) };
}

/* Doesn't free the struct itself. */
void session_gather_clear(struct session_gather *g)
{
	g_string_free(g->pending, TRUE);
}

/* Continues to parse the answer at the start of the bytes. */
static enum session_read_result scan(struct session_gather *g,
				     const struct session_codec *codec,
				     session_message_fn take, void *ctx,
				     struct str bytes,
				     struct relay_answer *answer)
{
	enum session_read_result result = SESSION_MORE;

	while (result == SESSION_MORE) {
		struct str rest = { bytes.data + g->message_at,
				    bytes.len - g->message_at };
		size_t len = codec->length(rest, g->searched);

		if (len > codec->max_bytes ||
		    (!len && rest.len >= codec->max_bytes))
			return SESSION_MALFORMED;
		g->searched = len ? 0 : rest.len;
		if (!len)
			return SESSION_MORE;
		g->message_at += len;
		rest.len = len - codec->trailer_bytes;
		result = take(ctx, bytes.data, rest, answer);
	}
	return result;
}

/* Consumes all of the input unless an answer ends within it. */
enum session_read_result session_gather_feed(struct session_gather *g,
					     const struct session_codec *codec,
					     session_message_fn take, void *ctx,
					     struct str *input,
					     struct relay_answer *answer)
{
	struct str bytes = *input;
	enum session_read_result result;
	size_t n_left = 0;

	if (g->returned)
		g_string_truncate(g->pending, 0);
	g->returned = false;
	if (g->pending->len) {
		g_string_append_len(g->pending, bytes.data, (gssize)bytes.len);
		bytes = str_from_gstring(g->pending);
	}
	result = scan(g, codec, take, ctx, bytes, answer);
	if (result == SESSION_ANSWER) {
		g->returned = g->pending->len > 0;
		n_left = bytes.len - g->message_at;
		g->message_at = 0;
	} else if (result == SESSION_MORE && !g->pending->len) {
		g_string_append_len(g->pending, bytes.data, (gssize)bytes.len);
	}
	input->data += input->len - n_left;
	input->len = n_left;
	return result;
}
