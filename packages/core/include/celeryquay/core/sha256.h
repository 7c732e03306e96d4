#ifndef CELERYQUAY_CORE_SHA256_H
#define CELERYQUAY_CORE_SHA256_H

/*
 * SHA-256 of tokens and of requests. OpenSSL's one-shot function looks up the
 * algorithm on each call, which costs more than hashing a short text.
 */

#include <celeryquay/base/str.h>

#define SHA256_HEX_LEN 64

/* Writes the hash in lower-case hexadecimal digits, and a NUL. */
void sha256_hex(struct str text, char out[SHA256_HEX_LEN + 1]);

#endif
