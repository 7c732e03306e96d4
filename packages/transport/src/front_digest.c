#include "front_private.h"

#include <celeryquay/core/sha256.h>
#include <string.h>

static void add_bytes(GString *out, const void *data, size_t len)
{
	g_string_append_len(out, data, (gssize)len);
}

static void add_text(GString *out, struct str s)
{
	uint64_t len = GUINT64_TO_LE((uint64_t)s.len);

	add_bytes(out, &len, sizeof(len));
	add_bytes(out, s.data, s.len);
}

static void add_number(GString *out, const void *number)
{
	uint64_t bits;

	memcpy(&bits, number, sizeof(bits));
	bits = GUINT64_TO_LE(bits);
	add_bytes(out, &bits, sizeof(bits));
}

static void add_value(GString *out, const struct value *v)
{
	g_string_append_c(out, (char)('0' + v->type));
	switch (v->type) {
	case VALUE_NULL:
		break;
	case VALUE_BOOL:
		g_string_append_c(out, v->u.b ? '1' : '0');
		break;
	case VALUE_INT:
		add_number(out, &v->u.i);
		break;
	case VALUE_FLOAT:
		add_number(out, &v->u.f);
		break;
	case VALUE_TEXT:
	case VALUE_BYTES:
		add_text(out, v->u.s);
		break;
	}
}

static void add_statement(GString *out, const struct statement *s)
{
	uint64_t n = s->n_params;
	unsigned i;

	add_text(out, s->sql);
	add_number(out, &n);
	for (i = 0; i < s->n_params; i++)
		add_value(out, &s->params[i]);
}

/*
 * Sets the request's digest, which tells whether an Idempotency-Key comes with
 * the same request again or with a different one. It is the SHA-256 of the
 * parsed request, so white space and the order of fields don't matter: a
 * client library may change them when it sends the request again. Each string
 * is preceded by its length, so that two different requests can't give the
 * same bytes.
 */
void front_set_digest(struct request *request)
{
	GString *out = g_string_sized_new(1024);
	char hex[SHA256_HEX_LEN + 1];
	unsigned i;

	g_string_append_c(out, (char)('0' + request->kind));
	add_text(out, request->service);
	add_text(out, request->database);
	add_text(out, request->transaction);
	add_text(out, request->profile);
	for (i = 0; i < request->n_statements; i++)
		add_statement(out, &request->statements[i]);
	sha256_hex(str_from_gstring(out), hex);
	request->digest = request_copy_bytes(request, hex, SHA256_HEX_LEN);
	g_string_free(out, TRUE);
}
