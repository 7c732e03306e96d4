#include "member_pack.h"

#include <string.h>

/* More than any message needs; bounds the recursion of check_object(). */
#define PACK_MAX_DEPTH 8
#define PACK_ZONE_CHUNK 4096

/* Starts a message: a map with this number of fields. */
void pack_begin(struct pack *p, unsigned fields)
{
	msgpack_sbuffer_init(&p->buffer);
	msgpack_packer_init(&p->packer, &p->buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&p->packer, fields);
}

/* Packs the key of the next value. */
void pack_key(struct pack *p, unsigned key)
{
	msgpack_pack_uint64(&p->packer, key);
}

/* Packs an unsigned number in its shortest form. */
void pack_u64(struct pack *p, uint64_t value)
{
	msgpack_pack_uint64(&p->packer, value);
}

/* Packs a string with its length. */
void pack_str(struct pack *p, struct str value)
{
	msgpack_pack_str(&p->packer, value.len);
	msgpack_pack_str_body(&p->packer, value.data, value.len);
}

/* Packs binary data. */
void pack_bin(struct pack *p, const void *data, size_t len)
{
	msgpack_pack_bin(&p->packer, len);
	msgpack_pack_bin_body(&p->packer, data, len);
}

/* Packs the header of an array; the caller packs its n elements next. */
void pack_array(struct pack *p, size_t n)
{
	msgpack_pack_array(&p->packer, n);
}

/* Packs a key and a number. */
void pack_field_u64(struct pack *p, unsigned key, uint64_t value)
{
	pack_key(p, key);
	pack_u64(p, value);
}

/* Packs a key and a string. */
void pack_field_str(struct pack *p, unsigned key, struct str value)
{
	pack_key(p, key);
	pack_str(p, value);
}

/* Ends the message; copies it, as the packer's buffer is mostly unused. */
GBytes *pack_end(struct pack *p)
{
	GBytes *bytes = g_bytes_new(p->buffer.data, p->buffer.size);

	msgpack_sbuffer_destroy(&p->buffer);
	return bytes;
}

static uint64_t read_be(const uint8_t *p, unsigned n)
{
	uint64_t value = 0;

	while (n--)
		value = value << 8 | *p++;
	return value;
}

/*
 * Reads the header of one object: its size in bytes, header included but
 * elements excluded, and the number of objects that follow as its elements.
 * False for 0xc1, which MessagePack never uses, and for a truncated header.
 */
static bool read_head(const uint8_t *p, size_t left, uint64_t *size,
		      uint64_t *elements)
{
	/* By type byte from 0xc0 on: bytes of the length field, other bytes. */
	static const uint8_t length_bytes[32] = {
		[0x04] = 1, [0x05] = 2, [0x06] = 4, [0x07] = 1, [0x08] = 2,
		[0x09] = 4, [0x19] = 1, [0x1a] = 2, [0x1b] = 4, [0x1c] = 2,
		[0x1d] = 4, [0x1e] = 2, [0x1f] = 4,
	};
	static const uint8_t fixed_bytes[32] = {
		[0x07] = 1, [0x08] = 1, [0x09] = 1,  [0x0a] = 4, [0x0b] = 8,
		[0x0c] = 1, [0x0d] = 2, [0x0e] = 4,  [0x0f] = 8, [0x10] = 1,
		[0x11] = 2, [0x12] = 4, [0x13] = 8,  [0x14] = 2, [0x15] = 3,
		[0x16] = 5, [0x17] = 9, [0x18] = 17,
	};
	unsigned index = *p - 0xc0U;
	uint64_t count;

	*size = 1;
	*elements = 0;
	if (*p < 0x80 || *p >= 0xe0)
		return true; /* fixint, the byte is its value */
	if (*p < 0x90)
		*elements = 2ULL * (*p & 0x0f);
	else if (*p < 0xa0)
		*elements = *p & 0x0f;
	else if (*p < 0xc0)
		*size += *p & 0x1f;
	if (*p < 0xc0)
		return true;
	if (*p == 0xc1 || left < 1U + length_bytes[index])
		return false;
	*size += length_bytes[index] + fixed_bytes[index];
	count = read_be(p + 1, length_bytes[index]);
	if (*p >= 0xde)
		*elements = 2 * count;
	else if (*p >= 0xdc)
		*elements = count;
	else
		*size += count;
	return true;
}

/*
 * The size of one complete object in bytes, 0 if it is truncated or nested too
 * deep. For a short message that announces an array of billions, msgpack-c
 * would allocate the array before it finds the message too short. This check
 * rejects such a message, as each element takes at least one byte and must be
 * present.
 */
static size_t check_object(const uint8_t *p, size_t left, unsigned depth)
{
	uint64_t size, elements;
	size_t used;

	if (!left || !depth || !read_head(p, left, &size, &elements))
		return 0;
	if (size > left || elements > left - size)
		return 0;
	used = (size_t)size;
	while (elements--) {
		size_t n = check_object(p + used, left - used, depth - 1);

		if (!n)
			return 0;
		used += n;
	}
	return used;
}

/* Parses data that is exactly one map; fails with BAD_MESSAGE otherwise. */
bool unpack_open(struct unpack *u, struct str data, struct err *err)
{
	size_t used = check_object((const uint8_t *)data.data, data.len,
				   PACK_MAX_DEPTH);
	size_t off = 0;
	int rc;

	if (!used || used != data.len) {
		err_set(err, ERR_BAD_MESSAGE,
			"not exactly one complete MessagePack object");
		return false;
	}
	msgpack_zone_init(&u->zone, PACK_ZONE_CHUNK);
	rc = msgpack_unpack(data.data, data.len, &off, &u->zone, &u->root);
	if (rc != MSGPACK_UNPACK_SUCCESS ||
	    u->root.type != MSGPACK_OBJECT_MAP) {
		err_set(err, ERR_BAD_MESSAGE,
			"MessagePack object is not a map");
		msgpack_zone_destroy(&u->zone);
		return false;
	}
	return true;
}

/* Frees the parsed objects; strings that were read remain in the data. */
void unpack_close(struct unpack *u)
{
	msgpack_zone_destroy(&u->zone);
}

/* The value of a key; the first one if the key is repeated. */
const msgpack_object *unpack_field(const msgpack_object *map, unsigned key)
{
	uint32_t i;

	for (i = 0; i < map->via.map.size; i++) {
		const msgpack_object_kv *kv = &map->via.map.ptr[i];

		if (kv->key.type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
		    kv->key.via.u64 == key)
			return &kv->val;
	}
	return NULL;
}

/* Reads a number of at most max. */
bool unpack_u64(const msgpack_object *o, uint64_t max, uint64_t *out)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
		return false;
	*out = o->via.u64;
	return true;
}

/* msgpack-c leaves the pointer of an empty string uninitialized. */
static struct str view(const char *data, uint32_t len)
{
	struct str s = { .data = len ? data : "", .len = len };

	return s;
}

/* Reads a string of at most max bytes, none of them NUL. */
bool unpack_str(const msgpack_object *o, size_t max, struct str *out)
{
	struct str s;

	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size > max)
		return false;
	s = view(o->via.str.ptr, o->via.str.size);
	if (memchr(s.data, 0, s.len))
		return false;
	*out = s;
	return true;
}

/* Reads binary data. */
bool unpack_bin(const msgpack_object *o, struct str *out)
{
	if (o->type != MSGPACK_OBJECT_BIN)
		return false;
	*out = view(o->via.bin.ptr, o->via.bin.size);
	return true;
}

/* Reads an optional number; if it is absent, *out is unchanged. */
bool unpack_field_u64(const msgpack_object *map, unsigned key, uint64_t max,
		      uint64_t *out)
{
	const msgpack_object *o = unpack_field(map, key);

	return !o || unpack_u64(o, max, out);
}

/* Reads an optional string; if it is absent, *out is unchanged. */
bool unpack_field_str(const msgpack_object *map, unsigned key, size_t max,
		      struct str *out)
{
	const msgpack_object *o = unpack_field(map, key);

	return !o || unpack_str(o, max, out);
}
