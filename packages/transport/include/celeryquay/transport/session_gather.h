#ifndef CELERYQUAY_TRANSPORT_SESSION_GATHER_H
#define CELERYQUAY_TRANSPORT_SESSION_GATHER_H

/*
 * Assembles answers of several messages from a byte stream. An answer that
 * arrives in one piece is parsed in place; only one that arrives in parts is
 * copied.
 */

#include <celeryquay/transport/session_codec.h>

struct session_gather {
	GString *pending; /* the received part of an incomplete answer */
	bool returned; /* the answer in `pending` has been returned */
	/*
	 * Start of the next message, as an offset from the start of the answer,
	 * and the bytes from there on that are known to hold no end of it.
	 */
	size_t message_at;
	size_t searched;
};

/* Handles one message without its terminator; base: start of the answer. */
typedef enum session_read_result (*session_message_fn)(
	void *ctx, const char *base, struct str message,
	struct relay_answer *answer);

void session_gather_init(struct session_gather *g);
void session_gather_clear(struct session_gather *g);
/* Works as a codec's reader_feed. */
enum session_read_result session_gather_feed(struct session_gather *g,
					     const struct session_codec *codec,
					     session_message_fn take, void *ctx,
					     struct str *input,
					     struct relay_answer *answer);

#endif
