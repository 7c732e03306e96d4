#include "wire_private.h"

#include <msgpack.h>
#include <string.h>

/* Sets BAD_MESSAGE; always returns false. */
static bool bad(struct err *err, const char *what, uint64_t key)
{
	err_set(err, ERR_BAD_MESSAGE, "%s, field %u", what, (unsigned)key);
	return false;
}

static bool take_number(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool take_flag(const msgpack_object *o, bool *out)
{
	if (o->type != MSGPACK_OBJECT_BOOLEAN)
		return false;
	*out = o->via.boolean;
	return true;
}

/* Sets *out to a view into the message. */
static bool take_text(const msgpack_object *o, size_t max, struct str *out)
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size > max)
		return false;
	*out = (struct str){ .data = o->via.str.ptr, .len = o->via.str.size };
	return true;
}

/* Copies a text that has no NUL byte and adds one, which `room` includes. */
static bool take_chars(const msgpack_object *o, char *out, size_t room)
{
	struct str s;

	if (!take_text(o, room - 1, &s) || memchr(s.data, '\0', s.len))
		return false;
	memcpy(out, s.data, s.len);
	out[s.len] = '\0';
	return true;
}

static bool take_position(const msgpack_object *o, struct position *out)
{
	return o->type == MSGPACK_OBJECT_ARRAY && o->via.array.size >= 2 &&
	       take_number(&o->via.array.ptr[0], &out->term) &&
	       take_number(&o->via.array.ptr[1], &out->index);
}

/* An integer parameter must fit the server's signed 64-bit integers. */
static bool take_integer(const msgpack_object *o, struct value *v)
{
	v->type = VALUE_INT;
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		v->u.i = o->via.i64;
		return true;
	}
	v->u.i = (int64_t)o->via.u64;
	return o->via.u64 <= INT64_MAX;
}

static bool take_value(const msgpack_object *o, struct value *v)
{
	switch (o->type) {
	case MSGPACK_OBJECT_NIL:
		v->type = VALUE_NULL;
		return true;
	case MSGPACK_OBJECT_BOOLEAN:
		v->type = VALUE_BOOL;
		v->u.b = o->via.boolean;
		return true;
	case MSGPACK_OBJECT_POSITIVE_INTEGER:
	case MSGPACK_OBJECT_NEGATIVE_INTEGER:
		return take_integer(o, v);
	case MSGPACK_OBJECT_FLOAT64:
		v->type = VALUE_FLOAT;
		v->u.f = o->via.f64;
		return true;
	case MSGPACK_OBJECT_STR:
		v->type = VALUE_TEXT;
		return take_text(o, SIZE_MAX, &v->u.s);
	case MSGPACK_OBJECT_BIN:
		v->type = VALUE_BYTES;
		v->u.s = (struct str){ .data = o->via.bin.ptr,
				       .len = o->via.bin.size };
		return true;
	default:
		return false;
	}
}

static bool take_params(const msgpack_object *o, struct statement *s,
			unsigned *total)
{
	unsigned i;

	if (o->type != MSGPACK_OBJECT_ARRAY || s->params)
		return false;
	if (o->via.array.size > WIRE_PARAMETERS_MAX - *total)
		return false;
	s->n_params = o->via.array.size;
	*total += s->n_params;
	s->params = g_new0(struct value, s->n_params);
	for (i = 0; i < s->n_params; i++) {
		if (!take_value(&o->via.array.ptr[i], &s->params[i]))
			return false;
	}
	return true;
}

static bool take_statement(const msgpack_object *o, struct statement *s,
			   unsigned *total)
{
	unsigned i;

	if (o->type != MSGPACK_OBJECT_MAP)
		return false;
	for (i = 0; i < o->via.map.size; i++) {
		const msgpack_object_kv *kv = &o->via.map.ptr[i];
		uint64_t key;

		if (!take_number(&kv->key, &key))
			return false;
		if (key == WIRE_SQL && !take_text(&kv->val, SIZE_MAX, &s->sql))
			return false;
		if (key == WIRE_PARAMS && !take_params(&kv->val, s, total))
			return false;
	}
	return s->sql.len > 0;
}

static bool take_statements(const msgpack_object *o, struct request *r)
{
	unsigned total = 0;
	unsigned i;

	if (o->type != MSGPACK_OBJECT_ARRAY || r->statements ||
	    o->via.array.size > WIRE_STATEMENTS_MAX)
		return false;
	r->n_statements = o->via.array.size;
	r->statements = g_new0(struct statement, r->n_statements);
	for (i = 0; i < r->n_statements; i++) {
		if (!take_statement(&o->via.array.ptr[i], &r->statements[i],
				    &total))
			return false;
	}
	return true;
}

/* Offsets of the text fields in struct request, by their key. */
static const size_t text_offsets[] = {
	[WIRE_SERVICE] = offsetof(struct request, service),
	[WIRE_DATABASE] = offsetof(struct request, database),
	[WIRE_PROFILE] = offsetof(struct request, profile),
	[WIRE_CALLER] = offsetof(struct request, caller),
	[WIRE_KEY] = offsetof(struct request, key),
	[WIRE_DIGEST] = offsetof(struct request, digest),
	[WIRE_TRANSACTION] = offsetof(struct request, transaction),
};

static struct str *text_field(struct request *r, uint64_t key)
{
	if (key >= G_N_ELEMENTS(text_offsets) || !text_offsets[key])
		return NULL;
	return (struct str *)((char *)r + text_offsets[key]);
}

static bool take_kind(const msgpack_object *o, struct request *r)
{
	uint64_t kind;

	if (!take_number(o, &kind) || kind > REQUEST_SETTLE)
		return false;
	r->kind = (enum request_kind)kind;
	return true;
}

static bool request_field(struct request *r, uint64_t key,
			  const msgpack_object *o)
{
	struct str *text = text_field(r, key);

	if (text)
		return take_text(o, WIRE_NAME_MAX, text);
	switch (key) {
	case WIRE_KIND:
		return take_kind(o, r);
	case WIRE_ID:
		return take_number(o, &r->id);
	case WIRE_KEY_GIVEN:
		return take_flag(o, &r->key_given);
	case WIRE_RESEND:
		return take_flag(o, &r->resend);
	case WIRE_READ_ONLY:
		return take_flag(o, &r->read_only);
	case WIRE_SEEN:
		return take_position(o, &r->seen);
	case WIRE_DEADLINE_LEFT:
		return take_number(o, &r->deadline_left_us);
	case WIRE_STATEMENTS:
		return take_statements(o, r);
	default:
		return true; /* a field of a later release */
	}
}

/*
 * The outcome must be in range; no default is assumed for it, since zero means
 * "done". An answer without an outcome is rejected by open_map().
 */
static bool take_outcome(const msgpack_object *o, struct answer *a)
{
	uint64_t outcome;

	if (!take_number(o, &outcome) || outcome > OUTCOME_UNKNOWN)
		return false;
	a->outcome = (enum outcome)outcome;
	return true;
}

static bool take_code(const msgpack_object *o, struct answer *a)
{
	uint64_t code;

	if (!take_number(o, &code) || code > INT32_MAX)
		return false;
	a->err.code = (enum err_code)code;
	return true;
}

static bool take_results(const msgpack_object *o, struct answer *a)
{
	if (o->type != MSGPACK_OBJECT_BIN || a->results)
		return false;
	a->results = g_bytes_new(o->via.bin.ptr, o->via.bin.size);
	return true;
}

static bool take_answer_transaction(const msgpack_object *o, struct answer *a)
{
	struct str s;

	if (!take_text(o, WIRE_NAME_MAX, &s))
		return false;
	a->transaction.data =
		g_string_chunk_insert_len(a->arena, s.data, (gssize)s.len);
	a->transaction.len = s.len;
	return true;
}

static bool answer_field(struct answer *a, uint64_t key,
			 const msgpack_object *o)
{
	switch (key) {
	case WIRE_OUTCOME:
		return take_outcome(o, a);
	case WIRE_CODE:
		return take_code(o, a);
	case WIRE_MESSAGE:
		return take_chars(o, a->err.message, sizeof(a->err.message));
	case WIRE_RETRY_AFTER:
		return take_number(o, &a->retry_after_us);
	case WIRE_SQLSTATE:
		return take_chars(o, a->sqlstate, sizeof(a->sqlstate));
	case WIRE_RESULTS:
		return take_results(o, a);
	case WIRE_ANSWER_SEEN:
		return take_position(o, &a->seen);
	case WIRE_SERVER:
		return take_chars(o, a->server, sizeof(a->server));
	case WIRE_BY_PRIMARY:
		return take_flag(o, &a->by_primary);
	case WIRE_AGE:
		return take_number(o, &a->age_us);
	case WIRE_REPEATED:
		return take_flag(o, &a->repeated);
	case WIRE_ANSWER_TRANSACTION:
		return take_answer_transaction(o, a);
	default:
		return true; /* a field of a later release */
	}
}

/*
 * Checks a message with wire_scan() and parses it to objects that point into
 * it. The first key must be `first`: requests and answers both begin with their
 * required field, the kind or the outcome.
 */
static bool open_map(struct str data, msgpack_unpacked *out, uint64_t first,
		     struct err *err)
{
	const msgpack_object *o = &out->data;
	size_t off = 0;
	uint64_t key;

	msgpack_unpacked_init(out);
	if (!wire_scan(data, err))
		return false;
	if (msgpack_unpack_next(out, data.data, data.len, &off) !=
	    MSGPACK_UNPACK_SUCCESS)
		return bad(err, "not MessagePack", 0);
	if (o->type != MSGPACK_OBJECT_MAP || !o->via.map.size ||
	    !take_number(&o->via.map.ptr[0].key, &key) || key != first)
		return bad(err, "not a map with its required first field",
			   first);
	return true;
}

static bool read_request(struct request *r, const msgpack_object *o,
			 struct err *err)
{
	unsigned i;

	for (i = 0; i < o->via.map.size; i++) {
		const msgpack_object_kv *kv = &o->via.map.ptr[i];
		uint64_t key = 0;

		if (!take_number(&kv->key, &key) ||
		    !request_field(r, key, &kv->val))
			return bad(err, "bad value in a request", key);
	}
	if (!r->service.len || !r->database.len)
		return bad(err, "a request without its database",
			   WIRE_DATABASE);
	return true;
}

static bool read_answer(struct answer *a, const msgpack_object *o,
			struct err *err)
{
	unsigned i;

	for (i = 0; i < o->via.map.size; i++) {
		const msgpack_object_kv *kv = &o->via.map.ptr[i];
		uint64_t key = 0;

		if (!take_number(&kv->key, &key) ||
		    !answer_field(a, key, &kv->val))
			return bad(err, "bad value in an answer", key);
	}
	return true;
}

/*
 * Unpacks a request. Its strings are views into its `body`, a copy of the
 * message. Returns NULL and sets BAD_MESSAGE when the message is malformed or
 * exceeds a limit.
 */
struct request *wire_unpack_request(struct str data, struct err *err)
{
	struct request *r = request_create(REQUEST_RUN);
	msgpack_unpacked message;

	r->body = g_bytes_new(data.data, data.len);
	if (!open_map(str_from_bytes(r->body), &message, WIRE_KIND, err) ||
	    !read_request(r, &message.data, err)) {
		request_unref(r);
		r = NULL;
	}
	msgpack_unpacked_destroy(&message);
	return r;
}

/*
 * Unpacks an answer; the results are copied once. Returns NULL and sets
 * BAD_MESSAGE when the message is malformed or exceeds a limit.
 */
struct answer *wire_unpack_answer(struct str data, struct err *err)
{
	struct answer *a = answer_create(OUTCOME_UNKNOWN);
	msgpack_unpacked message;

	if (!open_map(data, &message, WIRE_OUTCOME, err) ||
	    !read_answer(a, &message.data, err)) {
		answer_unref(a);
		a = NULL;
	}
	msgpack_unpacked_destroy(&message);
	return a;
}
