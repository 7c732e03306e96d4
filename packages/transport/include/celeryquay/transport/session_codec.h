#ifndef CELERYQUAY_TRANSPORT_SESSION_CODEC_H
#define CELERYQUAY_TRANSPORT_SESSION_CODEC_H

/*
 * How sessions are written on the wire, as a table of functions: the front and
 * the upstream know connections, a codec knows messages. What is parsed comes
 * out as views of the message.
 */

#include <celeryquay/relay/statement.h>

enum session_feed { SESSION_MORE, SESSION_ANSWER, SESSION_BAD };

struct session_codec {
	size_t max_bytes; /* a longer message ends its connection */
	size_t trailer_bytes; /* end a message; the parsers don't get them */
	/* Of the first message; 0: its end is not there. */
	size_t (*length)(struct str bytes, size_t searched);

	/* A caller's messages. */
	bool (*is_end)(struct str message);
	bool (*parse_startup)(struct str message, struct str *database,
			      struct str *key);
	/* False: malformed; out->id is set if it has a usable one. */
	bool (*parse_statement)(struct str message,
				struct relay_statement *out);
	/* To a startup: that the session stands, or why not. */
	void (*put_opened)(GString *out, const struct relay_answer *answer);
	void (*put_answer)(GString *out, const struct relay_answer *answer);

	/* A server's; `name` is the account's, or this proxy's. */
	void (*put_startup)(GString *out, struct str service, struct str name,
			    struct str server);
	void (*put_statement)(GString *out,
			      const struct relay_statement *statement);
	/* One reader a connection; its first answer is the startup's. */
	void *(*reader_create)(void);
	void (*reader_destroy)(void *reader);
	/*
	 * Takes bytes off the front of *input, all of them unless an answer
	 * is complete, whose views are valid until the next call and for as
	 * long as the input.
	 */
	enum session_feed (*reader_feed)(void *reader, struct str *input,
					 struct relay_answer *answer);
};

#endif
