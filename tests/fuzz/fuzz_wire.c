#include "peer_private.h"

#include <celeryquay/transport/wire.h>

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Packing, unpacking and packing again must give the same bytes. */
static void check_request(struct request *r)
{
	GBytes *once = wire_pack_request(r);
	struct err err = { 0 };
	struct request *again = wire_unpack_request(str_from_bytes(once), &err);
	GBytes *twice;

	if (!again)
		abort();
	twice = wire_pack_request(again);
	if (!g_bytes_equal(once, twice))
		abort();
	request_unref(again);
	g_bytes_unref(once);
	g_bytes_unref(twice);
}

static void check_answer(struct answer *a)
{
	GBytes *once = wire_pack_answer(a);
	struct err err = { 0 };
	struct answer *again = wire_unpack_answer(str_from_bytes(once), &err);
	GBytes *twice;

	if (!again || again->outcome != a->outcome)
		abort();
	twice = wire_pack_answer(again);
	if (!g_bytes_equal(once, twice))
		abort();
	answer_unref(again);
	g_bytes_unref(once);
	g_bytes_unref(twice);
}

/* Unpacks the input as a request, an answer and a link's header. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str message = { .data = (const char *)data, .len = size };
	struct peer peer = { .incarnation = 7 };
	struct peer_header header;
	struct err err = { 0 };
	struct request *r = wire_unpack_request(message, &err);
	struct answer *a;

	if (r)
		check_request(r);
	else if (err.code != ERR_BAD_MESSAGE)
		abort();
	a = wire_unpack_answer(message, &err);
	if (a)
		check_answer(a);
	peer_header_unpack(&peer, message, &header);
	request_unref(r);
	answer_unref(a);
	return 0;
}
