#include "wire_private.h"

#include <msgpack.h>
#include <string.h>

/* Initial size of the buffer for the fields besides statements and results. */
#define PACK_INITIAL_BYTES 512

static int append(void *out, const char *data, size_t len)
{
	g_byte_array_append(out, (const guint8 *)data, (guint)len);
	return 0;
}

static void pack_text(msgpack_packer *pk, struct str s)
{
	msgpack_pack_str(pk, s.len);
	msgpack_pack_str_body(pk, s.data, s.len);
}

/*
 * The put_ functions of one field pack it and return 1, or return 0 when it has
 * its default, which the reader assumes for a field that is absent. With pk
 * NULL nothing is packed, which serves to count the fields.
 */
static unsigned put_text(msgpack_packer *pk, unsigned key, struct str s)
{
	if (!s.len)
		return 0;
	if (pk) {
		msgpack_pack_unsigned_int(pk, key);
		pack_text(pk, s);
	}
	return 1;
}

static unsigned put_number(msgpack_packer *pk, unsigned key, uint64_t n)
{
	if (!n)
		return 0;
	if (pk) {
		msgpack_pack_unsigned_int(pk, key);
		msgpack_pack_uint64(pk, n);
	}
	return 1;
}

static unsigned put_true(msgpack_packer *pk, unsigned key, bool flag)
{
	if (!flag)
		return 0;
	if (pk) {
		msgpack_pack_unsigned_int(pk, key);
		msgpack_pack_true(pk);
	}
	return 1;
}

static unsigned put_position(msgpack_packer *pk, unsigned key,
			     struct position p)
{
	if (!p.term && !p.index)
		return 0;
	if (pk) {
		msgpack_pack_unsigned_int(pk, key);
		msgpack_pack_array(pk, 2);
		msgpack_pack_uint64(pk, p.term);
		msgpack_pack_uint64(pk, p.index);
	}
	return 1;
}

static void pack_value(msgpack_packer *pk, const struct value *v)
{
	switch (v->type) {
	case VALUE_NULL:
		msgpack_pack_nil(pk);
		break;
	case VALUE_BOOL:
		if (v->u.b)
			msgpack_pack_true(pk);
		else
			msgpack_pack_false(pk);
		break;
	case VALUE_INT:
		msgpack_pack_int64(pk, v->u.i);
		break;
	case VALUE_FLOAT:
		msgpack_pack_double(pk, v->u.f);
		break;
	case VALUE_TEXT:
		pack_text(pk, v->u.s);
		break;
	case VALUE_BYTES:
		msgpack_pack_bin(pk, v->u.s.len);
		msgpack_pack_bin_body(pk, v->u.s.data, v->u.s.len);
		break;
	}
}

static void pack_statement(msgpack_packer *pk, const struct statement *s)
{
	unsigned i;

	msgpack_pack_map(pk, s->n_params ? 2 : 1);
	msgpack_pack_unsigned_int(pk, WIRE_SQL);
	pack_text(pk, s->sql);
	if (!s->n_params)
		return;
	msgpack_pack_unsigned_int(pk, WIRE_PARAMS);
	msgpack_pack_array(pk, s->n_params);
	for (i = 0; i < s->n_params; i++)
		pack_value(pk, &s->params[i]);
}

static unsigned put_statements(msgpack_packer *pk, const struct request *r)
{
	unsigned i;

	if (!r->n_statements)
		return 0;
	if (!pk)
		return 1;
	msgpack_pack_unsigned_int(pk, WIRE_STATEMENTS);
	msgpack_pack_array(pk, r->n_statements);
	for (i = 0; i < r->n_statements; i++)
		pack_statement(pk, &r->statements[i]);
	return 1;
}

/*
 * Packs the kind and all fields that don't have their default. Returns their
 * number; with pk NULL it only counts.
 */
static unsigned put_request(msgpack_packer *pk, const struct request *r)
{
	unsigned n = 0;

	if (pk) {
		msgpack_pack_unsigned_int(pk, WIRE_KIND);
		msgpack_pack_unsigned_int(pk, r->kind);
	}
	n++;
	n += put_number(pk, WIRE_ID, r->id);
	n += put_text(pk, WIRE_SERVICE, r->service);
	n += put_text(pk, WIRE_DATABASE, r->database);
	n += put_text(pk, WIRE_PROFILE, r->profile);
	n += put_text(pk, WIRE_CALLER, r->caller);
	n += put_text(pk, WIRE_KEY, r->key);
	n += put_true(pk, WIRE_KEY_GIVEN, r->key_given);
	n += put_true(pk, WIRE_RESEND, r->resend);
	n += put_true(pk, WIRE_READ_ONLY, r->read_only);
	n += put_text(pk, WIRE_DIGEST, r->digest);
	n += put_text(pk, WIRE_TRANSACTION, r->transaction);
	n += put_position(pk, WIRE_SEEN, r->seen);
	n += put_number(pk, WIRE_DEADLINE_LEFT, r->deadline_left_us);
	n += put_statements(pk, r);
	return n;
}

static unsigned put_results(msgpack_packer *pk, GBytes *results)
{
	struct str s;

	if (!results)
		return 0;
	if (!pk)
		return 1;
	s = str_from_bytes(results);
	msgpack_pack_unsigned_int(pk, WIRE_RESULTS);
	msgpack_pack_bin(pk, s.len);
	msgpack_pack_bin_body(pk, s.data, s.len);
	return 1;
}

static unsigned put_answer(msgpack_packer *pk, const struct answer *a)
{
	unsigned n = 0;

	if (pk) {
		msgpack_pack_unsigned_int(pk, WIRE_OUTCOME);
		msgpack_pack_unsigned_int(pk, a->outcome);
	}
	n++;
	n += put_number(pk, WIRE_CODE, a->err.code);
	n += put_text(pk, WIRE_MESSAGE, str_from_c(a->err.message));
	n += put_number(pk, WIRE_RETRY_AFTER, a->retry_after_us);
	n += put_text(pk, WIRE_SQLSTATE, str_from_c(a->sqlstate));
	n += put_position(pk, WIRE_ANSWER_SEEN, a->seen);
	n += put_text(pk, WIRE_SERVER, str_from_c(a->server));
	n += put_true(pk, WIRE_BY_PRIMARY, a->by_primary);
	n += put_number(pk, WIRE_AGE, a->age_us);
	n += put_true(pk, WIRE_REPEATED, a->repeated);
	n += put_text(pk, WIRE_ANSWER_TRANSACTION, a->transaction);
	n += put_results(pk, a->results);
	return n;
}

/* Packs a request as one MessagePack map; freed with g_bytes_unref(). */
GBytes *wire_pack_request(const struct request *r)
{
	GByteArray *out = g_byte_array_sized_new(PACK_INITIAL_BYTES);
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, append);
	msgpack_pack_map(&pk, put_request(NULL, r));
	put_request(&pk, r);
	return g_byte_array_free_to_bytes(out);
}

/*
 * Packs an answer as one MessagePack map, freed with g_bytes_unref(). The
 * results are copied once.
 */
GBytes *wire_pack_answer(const struct answer *a)
{
	gsize results = a->results ? g_bytes_get_size(a->results) : 0;
	GByteArray *out =
		g_byte_array_sized_new((guint)(PACK_INITIAL_BYTES + results));
	msgpack_packer pk;

	msgpack_packer_init(&pk, out, append);
	msgpack_pack_map(&pk, put_answer(NULL, a));
	put_answer(&pk, a);
	return g_byte_array_free_to_bytes(out);
}
