#include <celeryquay/transport/kv_pack.h>

#include <zlib.h>

/* Smaller values fit into a few packets uncompressed. */
#define PACK_MIN_BYTES 4096
/*
 * More than any store accepts; a value that claims to be larger is malformed.
 */
#define UNPACKED_MAX_BYTES ((size_t)8 * 1024 * 1024)

/* Returns NULL unless the compressed size is at most half. */
GBytes *kv_pack(struct str value)
{
	uLongf len = value.len / 2;
	guint8 *out;

	if (value.len < PACK_MIN_BYTES)
		return NULL;
	out = g_malloc(len);
	if (compress2(out, &len, (const Bytef *)value.data, value.len,
		      Z_DEFAULT_COMPRESSION) != Z_OK) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(out, len), len);
}

/* Allocates no more than `size`, even if the data would decompress to more. */
GBytes *kv_unpack(struct str packed, size_t size)
{
	uLongf len = size;
	guint8 *out;

	if (!size || size > UNPACKED_MAX_BYTES)
		return NULL;
	out = g_malloc(size);
	if (uncompress(out, &len, (const Bytef *)packed.data, packed.len) !=
		    Z_OK ||
	    len != size) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(out, len);
}
