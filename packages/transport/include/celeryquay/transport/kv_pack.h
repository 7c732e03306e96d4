#ifndef CELERYQUAY_TRANSPORT_KV_PACK_H
#define CELERYQUAY_TRANSPORT_KV_PACK_H

/* Values that go from proxy to proxy, compressed (zlib). */

#include <celeryquay/base/str.h>
#include <stdbool.h>

/* NULL where it saves too little. */
GBytes *kv_pack(struct str value);
/* The value, which is known to have so many bytes; NULL: it can't be read. */
GBytes *kv_unpack(struct str packed, size_t size);

#endif
