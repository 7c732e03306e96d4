#ifndef CELERYQUAY_TRANSPORT_SESSION_CODEC_H
#define CELERYQUAY_TRANSPORT_SESSION_CODEC_H

/*
 * The wire format of sessions, as a table of functions: the front and the
 * upstream handle connections, a codec handles messages. Parsed values are
 * views into the message.
 */

#include <celeryquay/relay/statement.h>

enum session_read_result { SESSION_MORE, SESSION_ANSWER, SESSION_MALFORMED };

struct session_codec {
	size_t max_bytes; /* a longer message closes its connection */
	/* length of the terminator, which parsers don't get */
	size_t trailer_bytes;
	/*
	 * The length of the first message with its terminator; 0: incomplete.
	 * The first `searched` bytes are known to hold no end.
	 */
	size_t (*length)(struct str bytes, size_t searched);

	/* Messages from a caller. */
	bool (*is_end)(struct str message);
	bool (*parse_startup)(struct str message, struct str *database,
			      struct str *key);
	/* False: malformed; out->id is set if it has a usable one. */
	bool (*parse_statement)(struct str message,
				struct relay_statement *out);
	/* The reply to a startup message: the session is open, or why not. */
	void (*put_opened)(GString *out, const struct relay_answer *answer);
	void (*put_answer)(GString *out, const struct relay_answer *answer);

	/* Messages to a server; `name` is the account's or this proxy's. */
	void (*put_startup)(GString *out, struct str service, struct str name,
			    struct str server);
	void (*put_statement)(GString *out,
			      const struct relay_statement *statement);
	/*
	 * One reader per connection; its first answer is the one to the
	 * startup.
	 */
	void *(*reader_create)(void);
	void (*reader_destroy)(void *reader);
	/*
	 * Consumes bytes from the front of *input: all of them, or those up to
	 * the end of a complete answer. The views in the answer are valid until
	 * the next call, and only as long as the input.
	 */
	enum session_read_result (*reader_feed)(void *reader, struct str *input,
						struct relay_answer *answer);
};

#endif
