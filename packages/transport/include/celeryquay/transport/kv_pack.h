#ifndef CELERYQUAY_TRANSPORT_KV_PACK_H
#define CELERYQUAY_TRANSPORT_KV_PACK_H

/* Compresses values that are sent between proxies, with zlib. */

#include <celeryquay/base/str.h>
#include <stdbool.h>

/* NULL if compression saves too little. */
GBytes *kv_pack(struct str value);
/* Decompresses a value of `size` bytes; NULL if the input is malformed. */
GBytes *kv_unpack(struct str packed, size_t size);

#endif
