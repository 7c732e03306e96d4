#ifndef CELERYQUAY_CORE_MEMBER_PACK_H
#define CELERYQUAY_CORE_MEMBER_PACK_H

/*
 * Thin layer over msgpack-c for messages between members: maps with small
 * integer keys, validated when they are read. A reader skips unknown keys, so
 * that two releases can run side by side.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <msgpack.h>

struct pack {
	msgpack_sbuffer buffer;
	msgpack_packer packer;
};

void pack_begin(struct pack *p, unsigned fields);
void pack_key(struct pack *p, unsigned key);
void pack_u64(struct pack *p, uint64_t value);
void pack_str(struct pack *p, struct str value);
void pack_bin(struct pack *p, const void *data, size_t len);
void pack_array(struct pack *p, size_t n);
void pack_field_u64(struct pack *p, unsigned key, uint64_t value);
void pack_field_str(struct pack *p, unsigned key, struct str value);
GBytes *pack_end(struct pack *p);

/* Strings that are read point into the message, which must outlive them. */
struct unpack {
	msgpack_zone zone;
	msgpack_object root; /* a map */
};

bool unpack_open(struct unpack *u, struct str data, struct err *err);
void unpack_close(struct unpack *u);
/* NULL when the map has no such key. */
const msgpack_object *unpack_field(const msgpack_object *map, unsigned key);
/* False if the object has another type or exceeds max. */
bool unpack_u64(const msgpack_object *o, uint64_t max, uint64_t *out);
bool unpack_str(const msgpack_object *o, size_t max, struct str *out);
bool unpack_bin(const msgpack_object *o, struct str *out);
/* Optional field: if it is absent, true and *out is unchanged. */
bool unpack_field_u64(const msgpack_object *map, unsigned key, uint64_t max,
		      uint64_t *out);
bool unpack_field_str(const msgpack_object *map, unsigned key, size_t max,
		      struct str *out);

#endif
