#include <celeryquay/transport/kv_pack.h>

#include <zlib.h>

/* Smaller ones fit a few packets as they are. */
#define PACK_LEAST_BYTES 4096
/* More than any store takes; what claims to be larger is no value. */
#define UNPACKED_MAX_BYTES ((size_t)8 * 1024 * 1024)

/* Only if it halves the value at least. */
GBytes *kv_pack(struct str value)
{
	uLongf len = value.len / 2;
	guint8 *out;

	if (value.len < PACK_LEAST_BYTES)
		return NULL;
	out = g_malloc(len);
	if (compress2(out, &len, (const Bytef *)value.data, value.len,
		      Z_DEFAULT_COMPRESSION) != Z_OK) {
		g_free(out);
		return NULL;
	}
	return g_bytes_new_take(g_realloc(out, len), len);
}

/* Takes no more memory than the size says, whatever the bytes would yield. */
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
