#ifndef CELERYQUAY_TRANSPORT_WIRE_H
#define CELERYQUAY_TRANSPORT_WIRE_H

/*
 * Packs and unpacks requests and answers as MessagePack, for PEER_REQUEST and
 * PEER_ANSWER. A message is a map with small integer keys. Unknown keys are
 * skipped, so that proxies of two releases can run side by side.
 */

#include <celeryquay/core/request.h>

GBytes *wire_pack_request(const struct request *r);
struct request *wire_unpack_request(struct str data, struct err *err);
GBytes *wire_pack_answer(const struct answer *a);
struct answer *wire_unpack_answer(struct str data, struct err *err);

#endif
