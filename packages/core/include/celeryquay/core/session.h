#ifndef CELERYQUAY_CORE_SESSION_H
#define CELERYQUAY_CORE_SESSION_H

/*
 * The session token holds the position that the session has seen in each
 * database. It is signed, so that any proxy can serve the next request of the
 * session.
 */

#include <celeryquay/core/model.h>
#include <celeryquay/core/types.h>

/* Databases in a session; one more drops the one not seen for longest. */
#define SESSION_MAX_DATABASES 16
/* Length limit of a token's text form, in bytes. */
#define SESSION_MAX_TEXT_LEN 2048

struct session_entry {
	char database[96]; /* service/database */
	struct position seen;
};

struct session {
	unsigned count; /* entries in use */
	/* the database seen last comes last */
	struct session_entry entries[SESSION_MAX_DATABASES];
};

/*
 * Decodes a token; the empty text gives an empty session. BAD_SESSION when it
 * is malformed or has no valid signature.
 */
bool session_decode(struct model *keys, struct str text, struct session *out,
		    struct err *err);
/* Appends the token to out, signed with the newest signing key. */
bool session_encode(struct model *keys, const struct session *session,
		    GString *out, struct err *err);
/* What the session has seen of "service/database"; term 0: nothing. */
struct position session_seen(const struct session *s, const char *database);
/* Raises the session's position; a lower one of the same term is ignored. */
void session_raise(struct session *s, const char *database, struct position p);

#endif
