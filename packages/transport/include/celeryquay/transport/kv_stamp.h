#ifndef CELERYQUAY_TRANSPORT_KV_STAMP_H
#define CELERYQUAY_TRANSPORT_KV_STAMP_H

/*
 * A stamp orders everything that a store says, also after it came back from an
 * older copy and gives revisions out again: the store's era is in the upper
 * bits, a revision of that era in the lower ones. The stamps of a store without
 * eras are its revisions.
 */

#include <stdbool.h>
#include <stdint.h>

#define KV_REVISION_BITS 40
#define KV_REVISION_MAX ((UINT64_C(1) << KV_REVISION_BITS) - 1)
/* Stamps fit into a signed 64-bit number. */
#define KV_ERA_MAX ((UINT64_C(1) << (63 - KV_REVISION_BITS)) - 1)

/* revision: at most KV_REVISION_MAX, or with era 0 a stamp itself. */
uint64_t kv_stamp(uint64_t era, uint64_t revision);
uint64_t kv_stamp_era(uint64_t stamp);
uint64_t kv_stamp_revision(uint64_t stamp);
/* Parses an era; NULL: the store has none, it is 0. False: malformed. */
bool kv_stamp_parse_era(const char *text, uint64_t *era);

#endif
