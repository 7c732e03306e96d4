#include "front_private.h"

#include <string.h>

/* Bytes of the name of a service, a database or a transaction in a path. */
#define SEGMENT_MAX 128
#define SEGMENTS_MAX 6

static const char segment_bytes[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				    "abcdefghijklmnopqrstuvwxyz"
				    "0123456789-._~:@";

static bool is_segment(struct str s)
{
	size_t i;

	if (!s.len || s.len > SEGMENT_MAX)
		return false;
	for (i = 0; i < s.len; i++) {
		if (!s.data[i] || !strchr(segment_bytes, s.data[i]))
			return false;
	}
	return true;
}

/* Splits the path at its slashes; returns 0 if a segment is malformed. */
static unsigned split(struct str path, struct str *out)
{
	const char *end = path.data + path.len;
	const char *p = path.data;
	unsigned n = 0;

	while (p < end && *p == '/' && n < SEGMENTS_MAX) {
		const char *start = p + 1;
		const char *slash = memchr(start, '/', (size_t)(end - start));

		p = slash ? slash : end;
		out[n].data = start;
		out[n].len = (size_t)(p - start);
		if (!is_segment(out[n]))
			return 0;
		n++;
	}
	return p == end ? n : 0;
}

/*
 * Sets the kind of request by the number of segments and the method. Returns
 * false if the path doesn't have the method.
 */
static bool find_kind(struct str method, unsigned n, struct front_path *out)
{
	bool post = str_eq(method, STR("POST"));

	out->allow = "POST";
	switch (n) {
	case 3:
		out->kind = REQUEST_RUN;
		return post;
	case 4:
		out->kind = REQUEST_BEGIN;
		return post;
	case 5:
		out->allow = "POST, DELETE";
		out->kind = post ? REQUEST_IN_TRANSACTION : REQUEST_ROLLBACK;
		return post || str_eq(method, STR("DELETE"));
	default:
		out->kind = REQUEST_COMMIT;
		return post;
	}
}

/*
 * Parses the path of a caller's request; fails with NO_SUCH_PATH or
 * BAD_METHOD. Names are not percent-decoded, and none may contain an escaped
 * byte.
 */
bool front_path_parse(struct str method, struct str path,
		      struct front_path *out, struct err *err)
{
	struct str s[SEGMENTS_MAX];
	unsigned n = split(path, s);

	memset(out, 0, sizeof(*out));
	if (n < 3 || !str_eq(s[0], STR("v1")) ||
	    (n > 3 && !str_eq(s[3], STR("transactions"))) ||
	    (n > 5 && !str_eq(s[5], STR("commit")))) {
		err_set(err, ERR_NO_SUCH_PATH, "nothing at this path");
		return false;
	}
	if (!find_kind(method, n, out)) {
		err_set(err, ERR_BAD_METHOD, "the path allows only %s",
			out->allow);
		return false;
	}
	out->service = s[1];
	out->database = s[2];
	out->transaction = n > 4 ? s[4] : STR("");
	return true;
}
