#include "peer_private.h"
#include "wire_private.h"

#include <msgpack.h>
#include <string.h>

enum {
	HEADER_VERSION,
	HEADER_KIND,
	HEADER_FROM,
	HEADER_INCARNATION,
	HEADER_CORRELATION,
	HEADER_FIELDS,
};

/* Initial size of the buffer for a header. */
#define HEADER_INITIAL_SIZE 128
/* Odd, so that different incarnations give different salts. */
#define SALT_FACTOR 0x9e3779b97f4a7c15ULL

/*
 * A proxy that restarts keeps its name, host and port, and numbers its requests
 * from the beginning again. An answer to the old process could then be taken
 * for the answer to a request of the new one: a caller would get another
 * caller's rows. So the process's salt is added to the correlation of each
 * request sent and subtracted from that of each answer received; an answer to
 * an earlier process gets a number that no request has.
 */
static uint64_t salt(const struct peer *p)
{
	return p->incarnation * SALT_FACTOR;
}

static int append(void *out, const char *data, size_t len)
{
	g_byte_array_append(out, (const guint8 *)data, (guint)len);
	return 0;
}

/* Packs the header, which is sent as a message's first frame. */
GBytes *peer_header_pack(const struct peer *p, enum peer_kind kind,
			 uint64_t correlation)
{
	GByteArray *out = g_byte_array_sized_new(HEADER_INITIAL_SIZE);
	size_t len = strlen(p->name);
	msgpack_packer pk;

	if (kind == PEER_REQUEST)
		correlation += salt(p);
	msgpack_packer_init(&pk, out, append);
	msgpack_pack_array(&pk, HEADER_FIELDS);
	msgpack_pack_int(&pk, PEER_PROTOCOL);
	msgpack_pack_int(&pk, (int)kind);
	msgpack_pack_str(&pk, len);
	msgpack_pack_str_body(&pk, p->name, len);
	msgpack_pack_uint64(&pk, p->incarnation);
	msgpack_pack_uint64(&pk, correlation);
	return g_byte_array_free_to_bytes(out);
}

static bool take_number(const msgpack_object *o, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*out = o->via.u64;
	return true;
}

static bool take_name(const msgpack_object *o, char *out)
{
	if (o->type != MSGPACK_OBJECT_STR || !o->via.str.size ||
	    o->via.str.size >= PEER_NAME_SIZE ||
	    memchr(o->via.str.ptr, '\0', o->via.str.size))
		return false;
	memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

static bool read_header(const struct peer *p, const msgpack_object *o,
			struct peer_header *out)
{
	const msgpack_object *f = o->via.array.ptr;
	uint64_t version;
	uint64_t kind;

	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < HEADER_FIELDS)
		return false;
	if (!take_number(&f[HEADER_VERSION], &version) ||
	    version != PEER_PROTOCOL)
		return false;
	if (!take_number(&f[HEADER_KIND], &kind) || kind < PEER_GOSSIP ||
	    kind > PEER_ADMIN)
		return false;
	out->kind = (enum peer_kind)kind;
	if (!take_name(&f[HEADER_FROM], out->from) ||
	    !take_number(&f[HEADER_INCARNATION], &out->incarnation) ||
	    !take_number(&f[HEADER_CORRELATION], &out->correlation))
		return false;
	if (out->kind == PEER_ANSWER)
		out->correlation -= salt(p);
	return true;
}

/* Parses a header; false if it is malformed or of another version. */
bool peer_header_unpack(const struct peer *p, struct str data,
			struct peer_header *out)
{
	msgpack_unpacked message;
	struct err err;
	size_t off = 0;
	bool ok;

	if (!wire_scan(data, &err))
		return false;
	msgpack_unpacked_init(&message);
	ok = msgpack_unpack_next(&message, data.data, data.len, &off) ==
		     MSGPACK_UNPACK_SUCCESS &&
	     read_header(p, &message.data, out);
	msgpack_unpacked_destroy(&message);
	return ok;
}
