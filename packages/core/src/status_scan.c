#include "status_scan.h"

#include <stddef.h>
#include <string.h>

/* Numbers of up to this many digits fit into 64 bits. */
#define MAX_DIGITS 18

struct scan {
	const char *p; /* next character */
	const char *end;
};

enum kind {
	KIND_NUMBER,
	KIND_COUNT, /* a number that is capped at UINT_MAX */
	KIND_BOOL,
	KIND_NAME,
	KIND_ROLE,
	KIND_HISTORY,
};

/* A member of the JSON object and the field that it is read into. */
struct member {
	struct str key;
	enum kind kind;
	bool optional;
	size_t offset;
	size_t size; /* of the field; bounds a name */
};

#define MEMBER(key, kind, field, optional)                            \
	{                                                             \
		{ key, sizeof(key) - 1 }, kind, optional,             \
			offsetof(struct server_status, field),        \
			sizeof(((struct server_status *)NULL)->field) \
	}

/* In the order in which machines usually write them. */
static const struct member members[] = {
	MEMBER("server", KIND_NAME, name, true),
	MEMBER("term", KIND_NUMBER, term, false),
	MEMBER("role", KIND_ROLE, role, false),
	MEMBER("fenced", KIND_BOOL, fenced, true),
	MEMBER("granted", KIND_NUMBER, granted, false),
	MEMBER("holder", KIND_NAME, holder, true),
	MEMBER("granted_ok", KIND_BOOL, granted_ok, true),
	MEMBER("received", KIND_NUMBER, received, false),
	MEMBER("applied", KIND_NUMBER, applied, false),
	MEMBER("history", KIND_HISTORY, history, false),
	MEMBER("following", KIND_NAME, following, true),
	MEMBER("leaving", KIND_BOOL, leaving, true),
	MEMBER("connections", KIND_COUNT, connections, false),
	MEMBER("connection_limit", KIND_COUNT, connection_limit, false),
};

static bool take(struct scan *s, char c)
{
	if (s->p == s->end || *s->p != c)
		return false;
	s->p++;
	return true;
}

static bool take_word(struct scan *s, struct str word)
{
	if ((size_t)(s->end - s->p) < word.len ||
	    memcmp(s->p, word.data, word.len) != 0)
		return false;
	s->p += word.len;
	return true;
}

static bool take_number(struct scan *s, uint64_t *out)
{
	const char *from = s->p;
	uint64_t value = 0;

	while (s->p < s->end && g_ascii_isdigit(*s->p)) {
		if (s->p - from == MAX_DIGITS)
			return false;
		value = value * 10 + (uint64_t)(*s->p++ - '0');
	}
	*out = value;
	return s->p > from && (*from != '0' || s->p - from == 1);
}

static bool take_count(struct scan *s, unsigned *out)
{
	uint64_t value;

	if (!take_number(s, &value))
		return false;
	*out = (unsigned)MIN(value, UINT_MAX);
	return true;
}

static bool take_bool(struct scan *s, bool *out)
{
	*out = take_word(s, STR("true"));
	return *out || take_word(s, STR("false"));
}

/* Printable ASCII without escapes that fits with its NUL; null: empty. */
static bool take_name(struct scan *s, char *out, size_t size)
{
	size_t n = 0;

	if (take_word(s, STR("null")))
		return true;
	if (!take(s, '"'))
		return false;
	while (s->p < s->end && *s->p != '"') {
		if (!g_ascii_isprint(*s->p) || *s->p == '\\' || n + 1 == size)
			return false;
		out[n++] = *s->p++;
	}
	out[n] = '\0';
	return take(s, '"');
}

static bool take_role(struct scan *s, enum server_role *out)
{
	*out = ROLE_PRIMARY;
	if (take_word(s, STR("\"primary\"")))
		return true;
	*out = ROLE_REPLICA;
	return take_word(s, STR("\"replica\""));
}

/* [[term,start],...] with both rising; at most HISTORY_MAX entries. */
static bool take_history(struct scan *s, struct history *out)
{
	struct history_entry last = { 0 };

	if (!take(s, '['))
		return false;
	if (take(s, ']'))
		return true;
	do {
		struct history_entry *e = &out->entries[out->count];

		if (out->count == HISTORY_MAX || !take(s, '[') ||
		    !take_number(s, &e->term) || !take(s, ',') ||
		    !take_number(s, &e->start) || !take(s, ']'))
			return false;
		if (e->term <= last.term || e->start <= last.start)
			return false;
		last = *e;
		out->count++;
	} while (take(s, ','));
	return take(s, ']');
}

static bool take_value(struct scan *s, const struct member *m,
		       struct server_status *status)
{
	void *out = (char *)status + m->offset;

	switch (m->kind) {
	case KIND_NUMBER:
		return take_number(s, out);
	case KIND_COUNT:
		return take_count(s, out);
	case KIND_BOOL:
		return take_bool(s, out);
	case KIND_NAME:
		return take_name(s, out, m->size);
	case KIND_ROLE:
		return take_role(s, out);
	case KIND_HISTORY:
		return take_history(s, out);
	}
	return false;
}

/* Reads the next key and finds its member, trying the expected one first. */
static const struct member *take_key(struct scan *s, size_t expected)
{
	size_t i;

	if (!take(s, '"'))
		return NULL;
	for (i = 0; i < G_N_ELEMENTS(members); i++) {
		size_t at = (expected + i) % G_N_ELEMENTS(members);
		const struct member *m = &members[at];
		struct scan ahead = *s;

		if (take_word(&ahead, m->key) &&
		    take_word(&ahead, STR("\":"))) {
			*s = ahead;
			return m;
		}
	}
	return NULL;
}

static bool has_all(unsigned seen)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(members); i++) {
		if (!members[i].optional && !(seen & 1U << i))
			return false;
	}
	return true;
}

/*
 * Reads a status without blanks, escapes, unknown or repeated members, whose
 * numbers have at most MAX_DIGITS digits and no leading zeros. False for any
 * other text, which may still be a valid status: the JSON library decides. A
 * status read here gives the same result as with the library.
 */
bool status_scan(struct str json, struct server_status *out)
{
	struct scan s = { .p = json.data, .end = json.data + json.len };
	const struct member *m;
	unsigned seen = 0;
	size_t next = 0;

	memset(out, 0, sizeof(*out));
	if (!take(&s, '{'))
		return false;
	do {
		m = take_key(&s, next);
		if (!m || seen & 1U << (m - members))
			return false;
		seen |= 1U << (m - members);
		next = (size_t)(m - members) + 1;
		if (!take_value(&s, m, out))
			return false;
	} while (take(&s, ','));
	return take(&s, '}') && s.p == s.end && has_all(seen);
}
